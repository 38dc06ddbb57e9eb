#include <string.h>
#include <unistd.h>

#include "tests/suite.h"
#include "tests/system.h"

/*
 * The figures of the proofs come from the backend stand-in; these tests guard
 * against a stand-in that counts or refuses wrongly.
 */

static const char *const services[] = {"s", NULL};
static const char *const domains[] = {"d", NULL};

static struct system *s;
static const char *address;

/* Starts one server "s-0" without gateways. */
static void
start(const char *const *flags)
{
    struct system_options options = system_cairo;

    options.services = services;
    options.domains = domains;
    options.servers = 1;
    options.backend_flags = flags;
    options.settings = NULL;
    s = system_new(&options, 0);
    address =
        ((struct system_server *)g_ptr_array_index(s->servers, 0))->address;
}

static int
open_get(const char *path)
{
    g_autofree char *text =
        g_strdup_printf("GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path);

    return client_send(address, text, strlen(text));
}

static int
status_of(struct reply *r, const char *outcome)
{
    g_autofree char *value = reply_header(r, "Backend-Outcome");
    int status = r->status;

    CU_ASSERT_EQUAL(g_strcmp0(value, outcome), 0);
    reply_free(r);
    return status;
}

static bool
has_started(void *data)
{
    return system_count_sum(s, "started", NULL, NULL) >= *(double *)data;
}

static void
test_queue_and_shedding(void)
{
    static const char *const flags[] = {
        "--slots",      "1",    "--queue", "1", "--service", "const",
        "--service-ms", "1000", NULL};
    double two = 2;
    int first, second;

    start(flags);
    first = open_get("/a");
    second = open_get("/b");
    CU_ASSERT(client_await(has_started, &two, 10000));
    CU_ASSERT_EQUAL(status_of(client_read(open_get("/c")), "not-run"), 503);
    CU_ASSERT_EQUAL(system_count_sum(s, "ran", NULL, NULL), 1);
    CU_ASSERT_EQUAL(status_of(client_read(first), NULL), 200);
    CU_ASSERT_EQUAL(status_of(client_read(second), NULL), 200);
    CU_ASSERT_EQUAL(system_count_sum(s, "ran", NULL, NULL), 2);
    CU_ASSERT_EQUAL(system_count_sum(s, "shed", NULL, NULL), 1);
    CU_ASSERT(system_free(s));
}

static bool
is_idle(void *data)
{
    return system_count_sum(s, "cancelled", NULL, NULL) == 1 &&
           system_count_sum(s, "busy", NULL, NULL) == 0;
}

static void
test_cancel_and_deadline(void)
{
    static const char *const flags[] = {"--service", "const", "--service-ms",
                                        "60000", NULL};
    double one = 1;
    int fd;

    start(flags);
    fd = open_get("/a");
    CU_ASSERT(client_await(has_started, &one, 10000));
    close(fd);
    CU_ASSERT(client_await(is_idle, NULL, 10000));
    CU_ASSERT_EQUAL(
        status_of(client_request(address, "GET", "/a",
                                 "Greengageway-Deadline: 1000\r\n", NULL),
                  "not-run"),
        504);
    CU_ASSERT_EQUAL(system_count_sum(s, "ran", NULL, NULL), 1);
    CU_ASSERT(system_free(s));
}

static void
test_cold_limit(void)
{
    static const char *const flags[] = {
        "--cold-ms",    "60000", "--service", "const",
        "--service-ms", "1000",  NULL};
    double one = 1;
    int fd;

    start(flags);
    fd = open_get("/a");
    CU_ASSERT(client_await(has_started, &one, 10000));
    CU_ASSERT_EQUAL(system_count_max(s, "max_cold", NULL, NULL), 1);
    CU_ASSERT_EQUAL(status_of(client_read(open_get("/b")), "not-run"), 503);
    CU_ASSERT_EQUAL(system_count_max(s, "max_cold", NULL, NULL), 2);
    CU_ASSERT_EQUAL(status_of(client_read(fd), NULL), 200);
    CU_ASSERT(system_free(s));
}

static void
test_lost_answer(void)
{
    static const char *const flags[] = {"--service-ms", "1", NULL};
    struct reply *r;

    start(flags);
    system_set_backend(s, "s", "{\"server\":\"*\",\"lose_answers\":true}");
    r = client_request(address, "POST", "/orders/o1", NULL, "{}");
    CU_ASSERT_EQUAL(r->status, 0);
    CU_ASSERT_EQUAL(system_count_sum(s, "ran", NULL, NULL), 1);
    reply_free(r);
    CU_ASSERT(system_free(s));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"queue and shedding", test_queue_and_shedding},
        {"cancellation and deadline", test_cancel_and_deadline},
        {"cold limit", test_cold_limit},
        {"lost answer", test_lost_answer},
        CU_TEST_INFO_NULL,
    };

    return suite_run("backend stand-in", tests);
}
