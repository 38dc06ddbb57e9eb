#include <string.h>
#include <unistd.h>

#include "kernel/clock.h"
#include "tests/suite.h"
#include "tests/system.h"

/**
 * DOC: tests of the backend stand-in
 *
 * The proof tests rely on the counts of the backend stand-in. These tests
 * guard against a stand-in that counts or rejects requests incorrectly, which
 * would make the proofs meaningless.
 */

static const char *const services[] = {"s", NULL};
static const char *const domains[] = {"d", NULL};

static struct system *s;
static const char *address;

/* Starts one server "s-0", without gateways. @flags are for the stand-in. */
static void
start_server(const char *const *flags)
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

/* Sends a GET request and returns the socket without reading a response. */
static int
open_get(const char *path)
{
    g_autofree char *text =
        g_strdup_printf("GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path);

    return client_send(address, text, strlen(text));
}

/*
 * Returns the status of a reply and frees it; checks its Backend-Outcome,
 * which must be absent when @outcome is NULL.
 */
static int
check_reply(struct reply *r, const char *outcome)
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

/*
 * Guards against a server that runs more requests than it has slots, or that
 * counts a shed request as run: with one slot and a queue of one, the third
 * request is rejected as not run.
 */
static void
test_queue_and_shedding(void)
{
    static const char *const flags[] = {
        "--slots",      "1",    "--queue", "1", "--service", "const",
        "--service-ms", "1000", NULL};
    double two_started = 2;
    int first, second;

    start_server(flags);
    first = open_get("/a");
    second = open_get("/b");
    CU_ASSERT(client_await(has_started, &two_started, 10000));
    CU_ASSERT_EQUAL(check_reply(client_read(open_get("/c")), "not-run"), 503);
    CU_ASSERT_EQUAL(system_count_sum(s, "ran", NULL, NULL), 1);
    CU_ASSERT_EQUAL(check_reply(client_read(first), NULL), 200);
    CU_ASSERT_EQUAL(check_reply(client_read(second), NULL), 200);
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

/*
 * Guards against a slot that stays busy after the client has closed the
 * connection, and against running a request whose deadline has passed.
 */
static void
test_cancel_and_deadline(void)
{
    static const char *const flags[] = {"--service", "const", "--service-ms",
                                        "60000", NULL};
    double one_started = 1;
    int fd;

    start_server(flags);
    fd = open_get("/a");
    CU_ASSERT(client_await(has_started, &one_started, 10000));
    close(fd);
    CU_ASSERT(client_await(is_idle, NULL, 10000));
    CU_ASSERT_EQUAL(
        check_reply(client_request(address, "GET", "/a",
                                   "Greengageway-Deadline: 1000\r\n", NULL),
                    "not-run"),
        504);
    CU_ASSERT_EQUAL(system_count_sum(s, "ran", NULL, NULL), 1);
    CU_ASSERT(system_free(s));
}

/*
 * Guards against a cold server that accepts requests over its limit, which is
 * 1 by default, or that leaves rejected ones out of max_cold: the gateways'
 * compliance with the limit is judged by that count.
 */
static void
test_cold_limit(void)
{
    static const char *const flags[] = {
        "--cold-ms",    "60000", "--service", "const",
        "--service-ms", "1000",  NULL};
    double one_started = 1;
    int fd;

    start_server(flags);
    fd = open_get("/a");
    CU_ASSERT(client_await(has_started, &one_started, 10000));
    CU_ASSERT_EQUAL(system_count_max(s, "max_cold", NULL, NULL), 1);
    CU_ASSERT_EQUAL(check_reply(client_read(open_get("/b")), "not-run"), 503);
    CU_ASSERT_EQUAL(system_count_max(s, "max_cold", NULL, NULL), 2);
    CU_ASSERT_EQUAL(check_reply(client_read(fd), NULL), 200);
    CU_ASSERT(system_free(s));
}

/*
 * Guards against a lost response that is sent after all, or whose request is
 * not counted as run.
 */
static void
test_lost_response(void)
{
    static const char *const flags[] = {"--service-ms", "1", NULL};
    struct reply *r;

    start_server(flags);
    system_set_backend(s, "s", "{\"server\":\"*\",\"lose_answers\":true}");
    r = client_request(address, "POST", "/orders/o1", NULL, "{}");
    CU_ASSERT_EQUAL(r->status, 0);
    CU_ASSERT_EQUAL(system_count_sum(s, "ran", NULL, NULL), 1);
    reply_free(r);
    CU_ASSERT(system_free(s));
}

/* Returns the status of a GET request. */
static int
status_of(const char *path)
{
    return check_reply(client_read(open_get(path)), NULL);
}

/*
 * Guards against a stand-in whose bad version is good, or bad where it is not
 * meant to be: on other routes, without load, or too early.
 */
static void
test_bad_version(void)
{
    static const char *const flags[] = {"--service-ms", "100", "--service",
                                        "const", NULL};
    double one_started = 1;
    ggw_ms start;
    int fd;

    start_server(flags);
    CU_ASSERT_EQUAL(status_of("/a"), 200);
    system_set_backend(s, "s",
                       "{\"server\":\"*\",\"bad_version\":"
                       "{\"fail_percent\":100,\"prefix\":\"/b\"}}");
    CU_ASSERT_EQUAL(status_of("/a"), 200);
    CU_ASSERT_EQUAL(status_of("/b"), 500);
    CU_ASSERT_EQUAL(system_count_sum(s, "ran", NULL, NULL), 3);
    system_set_backend(s, "s",
                       "{\"server\":\"*\",\"reset\":true,\"bad_version\":"
                       "{\"fail_percent\":100,\"busy\":2}}");
    fd = open_get("/a");
    CU_ASSERT(client_await(has_started, &one_started, 10000));
    CU_ASSERT_EQUAL(status_of("/b"), 500);
    CU_ASSERT_EQUAL(check_reply(client_read(fd), NULL), 200);
    start = ggw_clock_now(ggw_clock_system());
    system_set_backend(s, "s",
                       "{\"server\":\"*\",\"bad_version\":"
                       "{\"fail_percent\":100,\"after_ms\":300}}");
    while (status_of("/a") == 200) {
    }
    CU_ASSERT(ggw_clock_now(ggw_clock_system()) - start >= 300);
    system_set_backend(s, "s",
                       "{\"server\":\"*\",\"bad_version\":{\"slow\":4}}");
    start = ggw_clock_now(ggw_clock_system());
    CU_ASSERT_EQUAL(status_of("/a"), 200);
    CU_ASSERT(ggw_clock_now(ggw_clock_system()) - start >= 400);
    system_set_backend(s, "s", "{\"server\":\"*\",\"bad_version\":null}");
    CU_ASSERT_EQUAL(status_of("/a"), 200);
    CU_ASSERT(system_free(s));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"requests beyond slots and queue are shed", test_queue_and_shedding},
        {"disconnected client and expired deadline", test_cancel_and_deadline},
        {"cold server sheds requests over its limit", test_cold_limit},
        {"request runs although its response is lost", test_lost_response},
        {"version that is bad in each way", test_bad_version},
        CU_TEST_INFO_NULL,
    };

    return suite_run("backend stand-in", tests);
}
