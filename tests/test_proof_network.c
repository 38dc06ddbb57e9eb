#include <signal.h>
#include <string.h>

#include "tests/suite.h"
#include "tests/system.h"

/* Requirements R3 and R7: longest time in ms from a change until no backend
 * server that it removes is sent a new request. */
#define BOUND_MS 3000

/* Time in ms for which the servers' counts are observed after a change; longer
 * than the bound, so that a late request shows. */
#define OBSERVATION_MS (BOUND_MS + 1000)

/* Pause of a gateway in ms: longer than the 2 s deadline of an order and the
 * 2 s after which its peers declare it dead. */
#define PAUSE_MS 3000

/* Longest time in ms for the requests of one phase of a test, long enough for
 * a sanitizer build. */
#define PROGRESS_LIMIT_MS 60000

static const char lookups[] =
    "status,3,GET,/nile-strand/strand-status/status/{id}?id={id}";
static const char records[] =
    "record,1,GET,/nile-strand/archive/body/{size}?id={id},20000";
static const char orders[] =
    "order,1,POST,/nile-strand/repair-orders/orders/{id}";

static double observation_end;

static bool
observation_over(void *data)
{
    return system_wall_ms() >= observation_end;
}

/* Waits until a wall-clock time in ms. */
static void
observe_until(double until)
{
    observation_end = until;
    CU_ASSERT(client_await(observation_over, NULL, OBSERVATION_MS + 1000));
}

/*
 * What client_await() waits for: a count that reaches @target.
 * @name: kind of request of @load, or a backend server of @s
 */
struct progress {
    struct system *s;
    struct system_load *load;
    const char *name;
    double target;
};

static bool
has_served(void *data)
{
    const struct progress *p = data;

    return system_load_served(p->load, p->name) >= p->target;
}

static bool
await_served(struct system_load *load, const char *kind, double more)
{
    struct progress p = {NULL, load, kind,
                         system_load_served(load, kind) + more};

    return client_await(has_served, &p, PROGRESS_LIMIT_MS);
}

static bool
has_started(void *data)
{
    const struct progress *p = data;

    return system_server_count(p->s, p->name, "started") >= p->target;
}

static bool
await_started(struct system *s, const char *server, double more)
{
    struct progress p = {s, NULL, server,
                         system_server_count(s, server, "started") + more};

    return client_await(has_started, &p, PROGRESS_LIMIT_MS);
}

static struct system *
start_with_relay(void)
{
    struct system_options options = system_cairo;

    options.relay = true;
    return system_new(&options, SYSTEM_GATEWAYS);
}

/* Makes the relay stop forwarding data on a backend server's existing
 * connections, which stay open; returns their number. */
static double
silence_connections(struct system *s, const char *server)
{
    g_autofree char *json =
        g_strdup_printf("{\"route\":\"%s\",\"silent\":true}", server);
    double n = system_route_count(s, server, "connections");

    system_set_relay(s, json);
    return n;
}

/* Sum of a counter of the metrics pages over all gateways. */
static double
gateway_sum(struct system *s, const char *name)
{
    g_autofree char *start = g_strconcat("\n", name, " ", NULL);
    double sum = 0;

    for (int i = 0; i < SYSTEM_GATEWAYS; i++) {
        struct reply *r = client_request(s->gateways[i].address, "GET",
                                         "/-/metrics", NULL, NULL);
        const char *line = strstr(reply_text(r), start);

        sum += line != NULL ? g_ascii_strtod(line + strlen(start), NULL) : 0;
        reply_free(r);
    }
    return sum;
}

/* Number of requests of a kind that were sent but not served. */
static double
not_served(const struct system_load *load, const char *kind)
{
    g_autofree char *sent = g_strconcat(kind, "_sent", NULL);
    g_autofree char *served = g_strconcat(kind, "_served", NULL);

    return system_load_figure(load, sent) - system_load_figure(load, served);
}

static void
check_orders(struct system_load *load)
{
    CU_ASSERT_EQUAL(system_load_figure(load, "orders_ran_twice"), 0);
    CU_ASSERT_EQUAL(system_load_figure(load, "orders_refused_but_ran"), 0);
    CU_ASSERT_EQUAL(system_load_figure(load, "orders_served_but_not_ran"), 0);
}

/*
 * Requirement R4, design 5.9. Guards against a gateway that reuses a
 * connection after a request on it has timed out, or that stops using a
 * backend server to which new connections work. A silent connection may fail
 * at most one request, the one that detects it.
 */
static void
test_silent_connections(void)
{
    static const char *const servers[] = {"strand-status-0", "strand-status-1",
                                          "strand-status-2"};
    struct system *s = start_with_relay();
    struct system_load *load =
        system_load_start(s, (const char *[]){"--kind", lookups, "--kind",
                                              records, "--rate", "150", NULL});
    double silent, lost, accepted;

    CU_ASSERT(await_served(load, "status", 100));
    accepted = system_route_count(s, servers[0], "accepted");
    silent = silence_connections(s, servers[0]);
    CU_ASSERT(silent > 0);
    CU_ASSERT(await_served(load, "status", 100));
    CU_ASSERT(await_started(s, servers[0], 20));
    accepted = system_route_count(s, servers[0], "accepted") - accepted;
    CU_ASSERT(accepted > 0);
    for (guint i = 0; i < G_N_ELEMENTS(servers); i++) {
        silent += silence_connections(s, servers[i]);
    }
    CU_ASSERT(await_served(load, "status", 100));
    for (guint i = 0; i < G_N_ELEMENTS(servers); i++) {
        CU_ASSERT(await_started(s, servers[i], 20));
    }
    printf("    new connections of the first server %.0f, hedges %.0f\n",
           accepted, gateway_sum(s, "ggw_hedges_total"));
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    lost = not_served(load, "status");
    printf("    silent_connections %.0f, status not served %.0f (%.2f%%)\n",
           silent, lost, 100 * lost / system_load_figure(load, "status_sent"));
    CU_ASSERT(lost <= silent);
    CU_ASSERT_EQUAL(not_served(load, "record"), 0);
    CU_ASSERT_EQUAL(system_load_figure(load, "status_wrong"), 0);
    CU_ASSERT_EQUAL(system_load_figure(load, "record_wrong"), 0);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

/*
 * Requirements R5 and R6. Guards against an order that a gateway sends when it
 * resumes from a pause, after the client's retry through another gateway has
 * run it. Slow responses to claims make it likely that the pause falls between
 * a claim and the request to the backend server.
 */
static void
test_orders_across_pause(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);
    struct system_load *load = system_load_start(
        s, (const char *[]){"--kind", orders, "--rate", "150", "--retries",
                            "4", "--timeout-ms", "1000", "--counts",
                            system_control_address(s, "repair-orders"), NULL});

    system_platform_fault(
        s, "{\"mode\":\"slow\",\"ms\":200,\"prefix\":\"claims/\"}");
    for (int i = 2; i <= 4; i += 2) {
        double paused;

        CU_ASSERT(await_served(load, "order", 50));
        system_signal_gateway(s, i, SIGSTOP);
        paused = system_wall_ms();
        CU_ASSERT(await_served(load, "order", 50));
        observe_until(paused + PAUSE_MS);
        system_signal_gateway(s, i, SIGCONT);
    }
    CU_ASSERT(await_served(load, "order", 100));
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    CU_ASSERT(system_load_figure(load, "order_retried") > 0);
    check_orders(load);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

/* The gateways from this index on, one of each failure domain, are paused and
 * can't read the change before the platform goes down. */
#define FIRST_PAUSED 3

/* Number of gateways with at least revision 2 of the team's settings, of the
 * first @gateways_len. */
static int
gateways_with_revision(struct system *s, int gateways_len)
{
    int n = 0;

    for (int i = 0; i < gateways_len; i++) {
        struct reply *r = client_request(s->gateways[i].address, "GET",
                                         "/-/status", NULL, NULL);
        json_t *status = json_loads(reply_text(r), 0, NULL);
        const json_t *revisions = json_object_get(status, "revisions");

        n += json_integer_value(json_object_get(revisions, s->options.team)) >=
             2;
        json_decref(status);
        reply_free(r);
    }
    return n;
}

static bool
any_has_revision(void *data)
{
    return gateways_with_revision(data, FIRST_PAUSED) > 0;
}

/* Requirements R3 and R9. Guards against new requests to a failure domain when
 * the whole platform goes down before half of the gateways have read that the
 * domain is out. */
static void
test_domain_out_in_outage(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);
    struct system_load *load =
        system_load_start(s, (const char *[]){"--kind", lookups, "--kind",
                                              records, "--rate", "150", NULL});
    double first_update, last;

    CU_ASSERT(await_served(load, "status", 100));
    for (int i = FIRST_PAUSED; i < SYSTEM_GATEWAYS; i++) {
        system_signal_gateway(s, i, SIGSTOP);
    }
    CU_ASSERT_EQUAL(
        system_verb(s, NULL, (const char *[]){"domain-out", "cairo-b", NULL}),
        0);
    CU_ASSERT(client_await(any_has_revision, s, BOUND_MS));
    first_update = system_wall_ms();
    system_platform_fault(s, "{\"mode\":\"down\"}");
    for (int i = FIRST_PAUSED; i < SYSTEM_GATEWAYS; i++) {
        system_signal_gateway(s, i, SIGCONT);
    }
    printf("    domain_out up to date at %d of %d when the others resumed\n",
           gateways_with_revision(s, FIRST_PAUSED), FIRST_PAUSED);
    observe_until(first_update + OBSERVATION_MS);
    last = system_count_max(s, "last_new_ms", NULL, "cairo-b");
    printf(
        "    domain_out_last_new %.0f ms after the first gateway's update\n",
        last - first_update);
    CU_ASSERT_EQUAL(gateways_with_revision(s, SYSTEM_GATEWAYS),
                    SYSTEM_GATEWAYS);
    CU_ASSERT(last - first_update <= BOUND_MS);
    CU_ASSERT(system_count_max(s, "last_new_ms", NULL, "cairo-a") >
              first_update + BOUND_MS);
    system_load_finish(load);
    CU_ASSERT_EQUAL(system_load_figure(load, "status_wrong"), 0);
    CU_ASSERT_EQUAL(system_load_figure(load, "record_wrong"), 0);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

/* Requirement R7. Guards against new requests to a backend server that is
 * "leaving" in the VM list while its connections are silent, so that gateways
 * open new ones to it. */
static void
test_leaving_while_silent(void)
{
    static const char name[] = "strand-status-0";
    struct system *s = start_with_relay();
    struct system_load *load = system_load_start(
        s, (const char *[]){"--kind", lookups, "--rate", "150", NULL});
    double begin, last;

    CU_ASSERT(await_started(s, name, 20));
    CU_ASSERT(silence_connections(s, name) > 0);
    CU_ASSERT(await_started(s, name, 10));
    for (guint i = 0; i < s->servers->len; i++) {
        struct system_server *server = g_ptr_array_index(s->servers, i);

        server->leaving = strcmp(server->name, name) == 0;
    }
    CU_ASSERT(silence_connections(s, name) > 0);
    begin = system_wall_ms();
    system_publish_vms(s);
    observe_until(begin + OBSERVATION_MS);
    last = system_server_count(s, name, "last_new_ms");
    printf("    leaving_silent_last_new %.0f ms\n", last - begin);
    CU_ASSERT(last - begin <= BOUND_MS);
    CU_ASSERT(system_count_max(s, "last_new_ms", "strand-status", NULL) >
              begin + BOUND_MS);
    system_load_finish(load);
    CU_ASSERT_EQUAL(system_load_figure(load, "status_wrong"), 0);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

/* Requirements R5 and R6. Guards against lookups that wait for a slow
 * platform, and against wrong outcomes in the responses to orders whose claims
 * take most of the time until their deadline. */
static void
test_slow_platform(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);
    struct system_load *load = system_load_start(
        s, (const char *[]){"--kind", lookups, "--kind", orders, "--rate",
                            "150", "--retries", "2", "--counts",
                            system_control_address(s, "repair-orders"), NULL});

    CU_ASSERT(await_served(load, "order", 50));
    system_platform_fault(s, "{\"mode\":\"slow\",\"ms\":1500}");
    CU_ASSERT(await_served(load, "status", 200));
    system_platform_fault(s, "{\"mode\":\"none\"}");
    CU_ASSERT(await_served(load, "order", 50));
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    CU_ASSERT_EQUAL(not_served(load, "status"), 0);
    check_orders(load);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"silent connections", test_silent_connections},
        {"orders across a paused gateway", test_orders_across_pause},
        {"failure domain out in an outage", test_domain_out_in_outage},
        {"server leaving while silent", test_leaving_while_silent},
        {"slow platform", test_slow_platform},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proof of network faults", tests);
}
