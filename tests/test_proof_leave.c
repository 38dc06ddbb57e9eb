#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "tests/suite.h"
#include "tests/system.h"

/* Requirements R3 and R7: longest time in ms from a change until no backend
 * server that it removes is sent a new request. */
#define BOUND_MS 3000

/* Time in ms for which the servers' counts are observed after a change; longer
 * than the bound, so that a late request shows. */
#define OBSERVATION_MS (BOUND_MS + 2000)

/* Longest time in ms from SIGTERM to the exit of a gateway: it accepts
 * requests for the keep time (2 s) and 1 s more, then finishes those in
 * flight. */
#define STOP_LIMIT_MS 15000

static const char *const mixed_load[] = {
    "--kind", "status,3,GET,/nile-strand/strand-status/status/{id}?id={id}",
    "--kind", "order,1,POST,/nile-strand/repair-orders/orders/{id}",
    "--kind", "record,1,GET,/nile-strand/archive/body/{size}?id={id},20000",
    "--rate", "150",
    NULL,
};

static const char *const kinds[] = {"status", "order", "record"};

static double observation_end;

static bool
observation_over(void *data)
{
    return system_wall_ms() >= observation_end;
}

/* What has_started() waits for: @started requests started by the backend
 * servers of @domain; NULL is all failure domains. */
struct start_progress {
    struct system *s;
    const char *domain;
    double started;
};

static bool
has_started(void *data)
{
    const struct start_progress *w = data;

    return system_count_sum(w->s, "started", NULL, w->domain) >= w->started;
}

static bool
await_started(struct system *s, const char *domain, double more)
{
    struct start_progress w = {
        s, domain, system_count_sum(s, "started", NULL, domain) + more};

    return client_await(has_started, &w, 30000);
}

static void
check_no_failures(const struct system_load *load)
{
    for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) {
        g_autofree char *sent = g_strconcat(kinds[i], "_sent", NULL);
        g_autofree char *served = g_strconcat(kinds[i], "_served", NULL);

        CU_ASSERT_EQUAL(system_load_figure(load, sent),
                        system_load_figure(load, served));
    }
}

/* Number of gateways that have a revision of the team's settings in force, or
 * a newer one. */
static int
gateways_with_revision(struct system *s, int revision)
{
    int n = 0;

    for (int i = 0; i < SYSTEM_GATEWAYS; i++) {
        struct reply *r = client_request(s->gateways[i].address, "GET",
                                         "/-/status", NULL, NULL);
        json_t *status = json_loads(reply_text(r), 0, NULL);
        const json_t *revisions = json_object_get(status, "revisions");

        n += json_integer_value(json_object_get(revisions, s->options.team)) >=
             revision;
        json_decref(status);
        reply_free(r);
    }
    return n;
}

static bool
any_has_revision(void *data)
{
    return gateways_with_revision(data, 2) > 0;
}

/* Requirements R3 and R9. Guards against new requests to a failure domain
 * after the bound when the platform fails as soon as the first gateway has
 * read that the domain is out: the other gateways must get the change from
 * their peers. */
static void
test_domain_out(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);
    struct system_load *load = system_load_start(s, mixed_load);
    double begin, last, others;

    CU_ASSERT(await_started(s, "cairo-b", 50));
    begin = system_wall_ms();
    CU_ASSERT_EQUAL(
        system_verb(s, NULL, (const char *[]){"domain-out", "cairo-b", NULL}),
        0);
    printf("    domain_out_verb %.0f ms\n", system_wall_ms() - begin);
    CU_ASSERT(client_await(any_has_revision, s, BOUND_MS));
    system_platform_fault(s, "{\"mode\":\"down\",\"prefix\":\"config/\"}");
    printf("    domain_out_platform_down %.0f ms, gateways up to date %d\n",
           system_wall_ms() - begin, gateways_with_revision(s, 2));
    observation_end = begin + OBSERVATION_MS;
    CU_ASSERT(client_await(observation_over, NULL, OBSERVATION_MS + 1000));
    last = system_count_max(s, "last_new_ms", NULL, "cairo-b");
    others = system_count_max(s, "last_new_ms", NULL, "cairo-a");
    printf("    domain_out_last_new %.0f ms, gateways up to date %d\n",
           last - begin, gateways_with_revision(s, 2));
    CU_ASSERT(last - begin <= BOUND_MS);
    CU_ASSERT(others > begin + BOUND_MS);
    system_platform_fault(s, "{\"mode\":\"none\"}");
    system_load_finish(load);
    CU_ASSERT_EQUAL(system_load_figure(load, "orders_ran_twice"), 0);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

/* Requirement R7. Guards against new requests to a backend server whose state
 * is "leaving" in the VM list while the server itself reports nothing. */
static void
test_leaving_in_list(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);
    struct system_load *load = system_load_start(s, mixed_load);
    double begin, last;

    CU_ASSERT(await_started(s, "cairo-b", 50));
    for (guint i = 0; i < s->servers->len; i++) {
        struct system_server *server = g_ptr_array_index(s->servers, i);

        server->leaving = strcmp(server->domain, "cairo-b") == 0 &&
                          strcmp(server->service, "archive") != 0;
    }
    begin = system_wall_ms();
    system_publish_vms(s);
    observation_end = begin + OBSERVATION_MS;
    CU_ASSERT(client_await(observation_over, NULL, OBSERVATION_MS + 1000));
    last = MAX(system_count_max(s, "last_new_ms", "strand-status", "cairo-b"),
               system_count_max(s, "last_new_ms", "repair-orders", "cairo-b"));
    printf("    leaving_last_new %.0f ms\n", last - begin);
    CU_ASSERT(last - begin <= BOUND_MS);
    CU_ASSERT(system_count_max(s, "last_new_ms", "archive", "cairo-b") >
              begin + BOUND_MS);
    system_load_finish(load);
    check_no_failures(load);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

/* What has_ended() waits for: the exit of a gateway. */
struct gateway_exit {
    struct system *s;
    int gateway;
};

static bool
has_ended(void *data)
{
    const struct gateway_exit *st = data;
    siginfo_t info = {0};

    waitid(P_PID, (id_t)st->s->gateways[st->gateway].process.pid, &info,
           WEXITED | WNOHANG | WNOWAIT);
    return info.si_pid != 0;
}

/* Requirement R8. Guards against requests that a gateway drops when SIGTERM
 * asks it to stop. */
static void
test_graceful_stop(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);
    struct system_load *load = system_load_start(s, mixed_load);
    struct gateway_exit st = {s, 1};

    CU_ASSERT(await_started(s, NULL, 100));
    system_signal_gateway(s, 1, SIGTERM);
    CU_ASSERT_FATAL(client_await(has_ended, &st, STOP_LIMIT_MS));
    CU_ASSERT_EQUAL(system_wait_gateway(s, 1), 0);
    CU_ASSERT(await_started(s, NULL, 100));
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    check_no_failures(load);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

static bool
process_ended(const struct system_process *process)
{
    siginfo_t info = {0};

    waitid(P_PID, (id_t)process->pid, &info, WEXITED | WNOHANG | WNOWAIT);
    return info.si_pid != 0;
}

/*
 * Guards against a gateway that SIGHUP, the request to reload its settings
 * file, kills during a graceful stop. This came about when the signal arrived
 * after the gateway had closed its signal handler.
 */
static void
test_reload_while_stopping(void)
{
    struct system *s = system_new(&system_cairo, 1);
    const struct system_process *process = &s->gateways[0].process;

    system_signal_gateway(s, 0, SIGTERM);
    while (!process_ended(process)) {
        system_signal_gateway(s, 0, SIGHUP);
        g_usleep(500);
    }
    CU_ASSERT_EQUAL(system_wait_gateway(s, 0), 0);
    CU_ASSERT_TRUE(system_free(s));
}

/*
 * Guards against a repeated SIGTERM that ends a gateway in the middle of its
 * shutdown and cuts the requests in progress.
 */
static void
test_terminated_twice(void)
{
    struct system *s = system_new(&system_cairo, 1);
    const struct system_process *process = &s->gateways[0].process;

    while (!process_ended(process)) {
        system_signal_gateway(s, 0, SIGTERM);
        g_usleep(500);
    }
    CU_ASSERT_EQUAL(system_wait_gateway(s, 0), 0);
    CU_ASSERT_TRUE(system_free(s));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"failure domain taken out", test_domain_out},
        {"server leaving in the VM list", test_leaving_in_list},
        {"graceful stop", test_graceful_stop},
        {"reload while stopping", test_reload_while_stopping},
        {"terminated twice", test_terminated_twice},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proof of leaving", tests);
}
