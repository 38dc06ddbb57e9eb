#include "tests/suite.h"
#include "tests/system.h"

/* Longest time in ms for the responses of one phase of a test, long enough for
 * a sanitizer build. */
#define PROGRESS_LIMIT_MS 60000

static const char kind[] =
    "body,1,GET,/nile-strand/archive/body/{size}?id={id},4000000";

/* Number of served requests that has_served() waits for. */
static double served_target;

static bool
has_served(void *data)
{
    return system_load_served(data, "body") >= served_target;
}

static struct system_load *
start_load(struct system *s)
{
    return system_load_start(s,
                             (const char *[]){"--kind", kind, "--rate", "20",
                                              "--timeout-ms", "20000", NULL});
}

/* Requirement R4. Guards against a response that carries the body of another
 * request, and against a truncated body that is framed as complete. Bodies
 * have 0 to 4 MB. */
static void
test_complete_bodies(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);
    struct system_load *load = start_load(s);

    served_target = 60;
    CU_ASSERT(client_await(has_served, load, PROGRESS_LIMIT_MS));
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    CU_ASSERT_EQUAL(system_load_figure(load, "body_served"),
                    system_load_figure(load, "body_sent"));
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

/* Requirement R4. Guards against a body that the backend server truncates and
 * that the client takes for complete, with Content-Length and with chunked
 * encoding. */
static void
test_truncated_bodies(void)
{
    struct system *s = system_new(&system_cairo, 1);
    const char *address = s->gateways[0].address;
    struct reply *with_length, *chunked;

    system_set_backend(s, "archive", "{\"server\":\"*\",\"short_body\":true}");
    with_length = client_request(
        address, "GET", "/nile-strand/archive/body/300000?id=a", NULL, NULL);
    chunked = client_request(address, "GET",
                             "/nile-strand/archive/body/300000?id=a&chunked",
                             NULL, NULL);
    CU_ASSERT(!with_length->complete || with_length->status >= 500);
    CU_ASSERT(!chunked->complete || chunked->status >= 500);
    reply_free(with_length);
    reply_free(chunked);
    CU_ASSERT(system_free(s));
}

/* Requirement R4. Guards against wrong bodies while one backend server
 * truncates responses, another sends none and a third becomes cold under
 * load. */
static void
test_bodies_under_faults(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);
    struct system_load *load = start_load(s);

    served_target = 20;
    CU_ASSERT(client_await(has_served, load, PROGRESS_LIMIT_MS));
    system_set_backend(s, "archive",
                       "{\"server\":\"archive-0\",\"short_body\":true}");
    system_set_backend(s, "archive",
                       "{\"server\":\"archive-1\",\"lose_answers\":true}");
    system_set_backend(s, "archive",
                       "{\"server\":\"archive-2\","
                       "\"cold\":500}");
    served_target = 60;
    CU_ASSERT(client_await(has_served, load, PROGRESS_LIMIT_MS));
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    CU_ASSERT_EQUAL(system_load_figure(load, "body_wrong"), 0);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"complete bodies", test_complete_bodies},
        {"truncated bodies", test_truncated_bodies},
        {"bodies under faults", test_bodies_under_faults},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proof of bodies", tests);
}
