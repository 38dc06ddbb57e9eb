#include <glib/gstdio.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "tests/suite.h"
#include "tests/system.h"

/**
 * DOC: proof that a service may be removed while requests for it wait
 *
 * A service is taken out of the settings while requests for it run at its
 * servers, wait for a slot, and wait to be repeated. Each gets a response, and
 * one that states that the request did not run is true.
 */

/* Requests of each kind. */
#define REQUESTS 30

/* Service time of a server in ms, and what all servers run at a time. */
#define SERVICE_MS "1500"
#define RUNNING 4

/* As in the settings, in ms. */
#define TIMEOUT_MS 4000

/* Time in ms within which a change is in effect (R9), and a margin for a
 * sanitizer build on a busy machine. */
#define CHANGE_MS 3000
#define MARGIN_MS 2000

#define REMOVED                                                               \
    "\"removed\":{\"slots\":2,\"cold_limit\":2,\"cold_ms\":0,"                \
    "\"queue\":200,\"kinds\":{"                                               \
    "\"once\":{\"methods\":[\"POST\"],\"path_prefix\":\"/\","                 \
    "\"timeout_ms\":4000,\"idempotency\":\"once\",\"attempts\":3},"           \
    "\"read\":{\"methods\":[\"GET\"],\"path_prefix\":\"/\","                  \
    "\"timeout_ms\":4000,\"idempotency\":\"idempotent\",\"attempts\":3}}},"
#define REST                                                                  \
    "\"other\":{\"slots\":2,\"cold_limit\":2,\"cold_ms\":0,\"kinds\":{"       \
    "\"read\":{\"methods\":[\"GET\"],\"path_prefix\":\"/\","                  \
    "\"timeout_ms\":4000,\"idempotency\":\"idempotent\"}}}}}"
#define BEGIN                                                                 \
    "{\"failure_domains\":{\"d\":{\"state\":\"in\"}},"                        \
    "\"backend_servers\":{},\"services\":{"

static const char with_service[] = BEGIN REMOVED REST;
static const char without_service[] = BEGIN REST;

static const char *const services[] = {"removed", "other", NULL};
static const char *const domains[] = {"d", NULL};
static const char *const backend_flags[] = {
    "--slots",      "2",        "--queue",   "0",
    "--cold-limit", "2",        "--service", "const",
    "--service-ms", SERVICE_MS, NULL};

/**
 * struct answers - number of responses, by what they state
 * @slowest: time from the sending to the last response, ms
 */
struct answers {
    int served;
    int not_run;
    int unknown;
    int other;
    double slowest;
};

static struct system *s;
static int fds[REQUESTS];

static double
now_ms(void)
{
    return (double)g_get_monotonic_time() / 1e3;
}

static char *
write_settings(const char *text)
{
    char *path = NULL;
    int fd = g_file_open_tmp("ggw-removed-XXXXXX", &path, NULL);

    CU_ASSERT_FATAL(fd >= 0);
    close(fd);
    CU_ASSERT_TRUE_FATAL(g_file_set_contents(path, text, -1, NULL));
    return path;
}

static void
start_system(void)
{
    struct system_options options = system_cairo;
    g_autofree char *path = write_settings(with_service);

    options.team = "team";
    options.settings = path;
    options.services = services;
    options.domains = domains;
    options.servers = RUNNING / 2;
    options.backend_flags = backend_flags;
    s = system_new(&options, 2);
    g_unlink(path);
}

/* Sends the requests, half of them to each gateway. */
static void
send_requests(const char *method)
{
    for (int i = 0; i < REQUESTS; i++) {
        g_autofree char *text =
            g_strdup_printf("%s /team/removed/%d HTTP/1.1\r\nHost: a\r\n"
                            "Connection: close\r\nContent-Length: 0\r\n\r\n",
                            method, i);

        fds[i] = client_send(s->gateways[i % 2].address, text, strlen(text));
        CU_ASSERT_TRUE(fds[i] >= 0);
    }
}

static void
remove_service(void)
{
    g_autofree char *path = write_settings(without_service);
    g_autofree char *out = NULL;
    double at = now_ms();
    const char *const verb[] = {
        "apply", "--wait", "--gateway", s->gateways[0].address, path, NULL};
    int status = system_verb(s, &out, verb);

    printf("    apply: status %d after %.0f ms\n", status, now_ms() - at);
    CU_ASSERT_EQUAL(status, 0);
    g_unlink(path);
}

static void
count_answer(struct answers *a, const struct reply *r)
{
    g_autofree char *outcome =
        r->status != 0 ? reply_header(r, "Greengageway-Outcome") : NULL;

    if (r->status == 200) {
        a->served++;
    }
    else if (r->status == 503 && g_strcmp0(outcome, "not-run") == 0) {
        a->not_run++;
    }
    else if (g_strcmp0(outcome, "unknown") == 0) {
        a->unknown++;
    }
    else {
        a->other++;
    }
}

static struct answers
read_answers(double sent_at)
{
    struct answers a = {0};

    for (int i = 0; i < REQUESTS; i++) {
        struct reply *r = client_read(fds[i]);

        count_answer(&a, r);
        reply_free(r);
    }
    a.slowest = now_ms() - sent_at;
    return a;
}

/* Requests that the servers have begun to work on. */
static double
count_runs(void)
{
    return system_count_sum(s, "started", "removed", NULL) -
           system_count_sum(s, "shed", "removed", NULL);
}

static bool
are_running(void *data)
{
    return system_count_sum(s, "started", "removed", NULL) >= RUNNING;
}

/* Checks that requests sent now are refused, and that others are served. */
static void
check_removed(void)
{
    struct reply *r = client_request(s->gateways[0].address, "GET",
                                     "/team/removed/new", NULL, NULL);

    CU_ASSERT_EQUAL(r->status, 404);
    reply_free(r);
    r = client_request(s->gateways[1].address, "GET", "/team/other/a", NULL,
                       NULL);
    CU_ASSERT_EQUAL(r->status, 200);
    reply_free(r);
}

static void
finish(const char *name, const struct answers *a, double started)
{
    printf("    %s: %d served, %d not run, %d unknown, %d others; "
           "%.0f started; last response after %.0f ms\n",
           name, a->served, a->not_run, a->unknown, a->other, started,
           a->slowest);
    CU_ASSERT_EQUAL(a->other, 0);
    CU_ASSERT_TRUE(a->slowest < TIMEOUT_MS + MARGIN_MS);
    check_removed();
    CU_ASSERT_TRUE(system_free(s));
}

/*
 * Guards against requests that are cut, refused although they ran, or get no
 * response when their service is removed while they run or wait for a slot.
 */
static void
test_waiting(void)
{
    struct answers a;
    double sent_at, removed_at, started, last;

    start_system();
    sent_at = now_ms();
    send_requests("POST");
    CU_ASSERT_TRUE(client_await(are_running, NULL, TIMEOUT_MS));
    removed_at = system_wall_ms();
    remove_service();
    a = read_answers(sent_at);
    started = count_runs();
    last = system_count_max(s, "last_new_ms", "removed", NULL);
    printf("    last request started %.0f ms after the change\n",
           last - removed_at);
    CU_ASSERT_TRUE(last - removed_at < CHANGE_MS + MARGIN_MS);
    CU_ASSERT_TRUE(a.served >= RUNNING);
    CU_ASSERT_EQUAL(a.served + a.unknown, started);
    finish("waiting", &a, started);
}

/*
 * Guards against requests that are refused as not run after an attempt whose
 * response was lost, since no server is left to repeat them.
 */
static void
test_repeated(void)
{
    struct answers a;
    double sent_at, started;

    start_system();
    system_set_backend(s, "removed",
                       "{\"server\":\"*\",\"lose_answers\":true}");
    sent_at = now_ms();
    send_requests("GET");
    CU_ASSERT_TRUE(client_await(are_running, NULL, TIMEOUT_MS));
    remove_service();
    a = read_answers(sent_at);
    started = count_runs();
    CU_ASSERT_EQUAL(a.served, 0);
    CU_ASSERT_TRUE(a.unknown >= RUNNING);
    CU_ASSERT_EQUAL(a.unknown, started);
    finish("repeated", &a, started);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"waiting", test_waiting},
        {"repeated", test_repeated},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proof of a removed service", tests);
}
