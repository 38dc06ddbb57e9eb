#include "tests/suite.h"
#include "tests/system.h"

/* Time for the responses of one phase, even under a sanitizer. */
#define PROGRESS_LIMIT_MS 60000

static const char kind[] =
    "body,1,GET,/nile-strand/archive/body/{size}?id={id},4000000";

static double wanted;

static bool
has_served(void *data)
{
    return system_load_served(data, "body") >= wanted;
}

static struct system_load *
start(struct system *s)
{
    return system_load_start(s,
                             (const char *[]){"--kind", kind, "--rate", "20",
                                              "--timeout-ms", "20000", NULL});
}

/* R4. Guards against bodies of another request and against cut bodies that
 * look whole, from 0 to 4 MB. */
static void
test_whole_bodies(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);
    struct system_load *load = start(s);

    wanted = 60;
    CU_ASSERT(client_await(has_served, load, PROGRESS_LIMIT_MS));
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    CU_ASSERT_EQUAL(system_load_figure(load, "body_served"),
                    system_load_figure(load, "body_sent"));
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

/* R4. Guards against a body that ends short at the backend server and looks
 * whole to the client: with and without a length. */
static void
test_short_bodies(void)
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

/* R4. Guards against wrong bodies while backend servers cut responses, lose
 * them and turn cold in the middle of them. */
static void
test_bodies_under_faults(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);
    struct system_load *load = start(s);

    wanted = 20;
    CU_ASSERT(client_await(has_served, load, PROGRESS_LIMIT_MS));
    system_set_backend(s, "archive",
                       "{\"server\":\"archive-0\",\"short_body\":true}");
    system_set_backend(s, "archive",
                       "{\"server\":\"archive-1\",\"lose_answers\":true}");
    system_set_backend(s, "archive",
                       "{\"server\":\"archive-2\","
                       "\"cold\":500}");
    wanted = 60;
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
        {"whole bodies", test_whole_bodies},
        {"short bodies", test_short_bodies},
        {"bodies under faults", test_bodies_under_faults},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proof of bodies", tests);
}
