#include <signal.h>
#include <string.h>

#include "tests/suite.h"
#include "tests/system.h"

/* Requirements R3 and R7. */
#define BOUND_MS 3000

/* Time of the observation: well past the bound. */
#define WATCH_MS (BOUND_MS + 1000)

/* Longest pause of a gateway: past the 2 s deadline of an order and past the
 * 2 s after which its peers take it for dead. */
#define PAUSE_MS 3000

/* Time in which the work of one phase is done even under a sanitizer. */
#define PROGRESS_LIMIT_MS 60000

static const char lookups[] =
    "status,3,GET,/nile-strand/strand-status/status/{id}?id={id}";
static const char records[] =
    "record,1,GET,/nile-strand/archive/body/{size}?id={id},20000";
static const char orders[] =
    "order,1,POST,/nile-strand/repair-orders/orders/{id}";

static double watch_until;

static bool
watched(void *data)
{
    return system_wall_ms() >= watch_until;
}

static void
watch(double until)
{
    watch_until = until;
    CU_ASSERT(client_await(watched, NULL, WATCH_MS + 1000));
}

/* What client_await() waits for: a count of the load tool or of a server. */
struct progress {
    struct system *s;
    struct system_load *load;
    const char *name;
    double wanted;
};

static bool
has_served(void *data)
{
    const struct progress *p = data;

    return system_load_served(p->load, p->name) >= p->wanted;
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

    return system_server_count(p->s, p->name, "started") >= p->wanted;
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

/* Silences a server's connections; returns how many there were. */
static double
silence(struct system *s, const char *server)
{
    g_autofree char *json =
        g_strdup_printf("{\"route\":\"%s\",\"silent\":true}", server);
    double n = system_route_count(s, server, "connections");

    system_set_relay(s, json);
    return n;
}

/* One counter of the metrics pages, summed over all gateways. */
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

static double
failed(const struct system_load *load, const char *kind)
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
 * R4, 5.9. Guards against a gateway that uses a silent connection again, or
 * gives a server up whose new connections work. A silent connection costs at
 * most the one request that finds it.
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
    silent = silence(s, servers[0]);
    CU_ASSERT(silent > 0);
    CU_ASSERT(await_served(load, "status", 100));
    CU_ASSERT(await_started(s, servers[0], 20));
    accepted = system_route_count(s, servers[0], "accepted") - accepted;
    CU_ASSERT(accepted > 0);
    for (guint i = 0; i < G_N_ELEMENTS(servers); i++) {
        silent += silence(s, servers[i]);
    }
    CU_ASSERT(await_served(load, "status", 100));
    for (guint i = 0; i < G_N_ELEMENTS(servers); i++) {
        CU_ASSERT(await_started(s, servers[i], 20));
    }
    printf("    new connections of the first server %.0f, hedges %.0f\n",
           accepted, gateway_sum(s, "ggw_hedges_total"));
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    lost = failed(load, "status");
    printf("    silent_connections %.0f, status not served %.0f (%.2f%%)\n",
           silent, lost, 100 * lost / system_load_figure(load, "status_sent"));
    CU_ASSERT(lost <= silent);
    CU_ASSERT_EQUAL(failed(load, "record"), 0);
    CU_ASSERT_EQUAL(system_load_figure(load, "status_wrong"), 0);
    CU_ASSERT_EQUAL(system_load_figure(load, "record_wrong"), 0);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

/*
 * R5, R6. Guards against an order that a paused gateway sends after a client
 * has had it run through another gateway. Slow claims make it likely that the
 * pause falls between a claim and its request.
 */
static void
test_orders_across_pause(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);
    struct system_load *load = system_load_start(
        s, (const char *[]){"--kind", orders, "--rate", "150", "--retries",
                            "4", "--timeout-ms", "1000", "--counts",
                            system_control(s, "repair-orders"), NULL});

    system_platform_fault(
        s, "{\"mode\":\"slow\",\"ms\":200,\"prefix\":\"claims/\"}");
    for (int i = 2; i <= 4; i += 2) {
        double paused;

        CU_ASSERT(await_served(load, "order", 50));
        system_signal_gateway(s, i, SIGSTOP);
        paused = system_wall_ms();
        CU_ASSERT(await_served(load, "order", 50));
        watch(paused + PAUSE_MS);
        system_signal_gateway(s, i, SIGCONT);
    }
    CU_ASSERT(await_served(load, "order", 100));
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    CU_ASSERT(system_load_figure(load, "order_retried") > 0);
    check_orders(load);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

/* The gateways from this one on cannot read the change before the platform
 * goes down; one of each failure domain. */
#define FIRST_PAUSED 3

/* How many of the first gateways know the second revision of the settings. */
static int
knowing(struct system *s, int gateways_len)
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
any_knows(void *data)
{
    return knowing(data, FIRST_PAUSED) > 0;
}

/* R3, R9. Guards against new work for a failure domain when the whole platform
 * goes down before half of the gateways could read that the domain is out. */
static void
test_domain_out_in_outage(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);
    struct system_load *load =
        system_load_start(s, (const char *[]){"--kind", lookups, "--kind",
                                              records, "--rate", "150", NULL});
    double known, last;

    CU_ASSERT(await_served(load, "status", 100));
    for (int i = FIRST_PAUSED; i < SYSTEM_GATEWAYS; i++) {
        system_signal_gateway(s, i, SIGSTOP);
    }
    CU_ASSERT_EQUAL(
        system_verb(s, NULL, (const char *[]){"domain-out", "cairo-b", NULL}),
        0);
    CU_ASSERT(client_await(any_knows, s, BOUND_MS));
    known = system_wall_ms();
    system_platform_fault(s, "{\"mode\":\"down\"}");
    for (int i = FIRST_PAUSED; i < SYSTEM_GATEWAYS; i++) {
        system_signal_gateway(s, i, SIGCONT);
    }
    printf("    domain_out known at %d of %d when the others resumed\n",
           knowing(s, FIRST_PAUSED), FIRST_PAUSED);
    watch(known + WATCH_MS);
    last = system_count_max(s, "last_new_ms", NULL, "cairo-b");
    printf("    domain_out_last_new %.0f ms after the first knew\n",
           last - known);
    CU_ASSERT_EQUAL(knowing(s, SYSTEM_GATEWAYS), SYSTEM_GATEWAYS);
    CU_ASSERT(last - known <= BOUND_MS);
    CU_ASSERT(system_count_max(s, "last_new_ms", NULL, "cairo-a") >
              known + BOUND_MS);
    system_load_finish(load);
    CU_ASSERT_EQUAL(system_load_figure(load, "status_wrong"), 0);
    CU_ASSERT_EQUAL(system_load_figure(load, "record_wrong"), 0);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

/* R7. Guards against new work for a server that the VM list calls leaving
 * while its connections are silent, when gateways open new ones. */
static void
test_leaving_while_silent(void)
{
    static const char name[] = "strand-status-0";
    struct system *s = start_with_relay();
    struct system_load *load = system_load_start(
        s, (const char *[]){"--kind", lookups, "--rate", "150", NULL});
    double begin, last;

    CU_ASSERT(await_started(s, name, 20));
    CU_ASSERT(silence(s, name) > 0);
    CU_ASSERT(await_started(s, name, 10));
    for (guint i = 0; i < s->servers->len; i++) {
        struct system_server *server = g_ptr_array_index(s->servers, i);

        server->leaving = strcmp(server->name, name) == 0;
    }
    CU_ASSERT(silence(s, name) > 0);
    begin = system_wall_ms();
    system_publish_vms(s);
    watch(begin + WATCH_MS);
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

/* R5, R6. Guards against lookups that wait for a slow platform, and against
 * untrue answers to orders whose claims take most of their time. */
static void
test_slow_platform(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);
    struct system_load *load = system_load_start(
        s, (const char *[]){"--kind", lookups, "--kind", orders, "--rate",
                            "150", "--retries", "2", "--counts",
                            system_control(s, "repair-orders"), NULL});

    CU_ASSERT(await_served(load, "order", 50));
    system_platform_fault(s, "{\"mode\":\"slow\",\"ms\":1500}");
    CU_ASSERT(await_served(load, "status", 200));
    system_platform_fault(s, "{\"mode\":\"none\"}");
    CU_ASSERT(await_served(load, "order", 50));
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    CU_ASSERT_EQUAL(failed(load, "status"), 0);
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
