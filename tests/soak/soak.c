#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/soak/clients.h"
#include "tests/soak/plan.h"
#include "tests/soak/probes.h"

/*
 * Randomized soak test: runs real gateway processes under client traffic,
 * injects faults and checks the guarantees of the load balancer. The seed
 * determines the plan of faults; timing still differs between runs.
 */

/* Requests per second of all clients together. */
#define RATE_PER_S 80.0

/*
 * Phases of the traffic, ms: faults, recovery, and a check that requests are
 * served again.
 */
#define FAULTS_MS 15000.0
#define RECOVERY_MS 15000.0
#define CHECK_MS 4000.0

/*
 * Routes without requests in a large configuration, which is about as long as
 * the platform allows.
 */
#define FILLER_ROUTES 210

/* Interval of the timer that runs the plan, ms. */
#define TICK_MS 20

/* Time in which a gateway starts at the beginning of a run, ms. */
#define STARTUP_MS 1500.0

/* Time from the end of a step until the relay has ended its effect, ms. */
#define REVERT_LAG_MS 50.0

/* Cold start that a restarted server reports, ms. */
#define COLD_START_MS 3000.0

/* Pause that a server asks for, ms. */
#define PAUSE_MS 6000.0

/*
 * Time between two reports of a server after the store has taken a copy, and
 * longest time until it writes its entry after the return, ms.
 */
#define REPORT_INTERVAL_MS 1500.0
#define MAX_REWRITE_MS 2000.0

/* Ratios of unusual responses while a step lasts. */
#define UNFRAMED_RATIO 0.4
#define REPEAT_RATIO 0.2
#define ENDLESS_RATIO 0.05
#define MALFORMED_RATIO 0.1

struct soak;

/* A step in progress, whose effect is reverted at @until. */
struct active_step {
    struct soak *soak;
    struct soak_step step;
    ggw_ms until;
};

struct soak {
    uv_loop_t loop;
    uv_timer_t tick;
    GRand *rand;
    struct soak_record *record;
    struct soak_world world;
    struct soak_servers *servers;
    struct soak_clients *clients;
    struct soak_probes *probes;
    GArray *plan;
    guint next;
    GQueue active;          /* struct active_step */
    ggw_ms traffic_started; /* 0 before it starts */
    ggw_ms created_at;
    int version;
    bool large; /* the newest configuration is */
    bool verbose;
    bool copy_taken; /* from which the store returns later */
};

static void
log_step(const struct soak *s, const char *phase, const struct soak_step *step)
{
    if (s->verbose) {
        printf("%.0f %s %s target=%d how=%d length=%.0f\n", soak_now(), phase,
               soak_fault_names[step->fault], step->target, step->variant,
               step->duration);
        fflush(stdout);
    }
}

static void
add_rule(GString *s, const char *prefix, int kind, int service)
{
    static const char *const types[SOAK_KINDS] = {"idempotent",
                                                  "non_idempotent", "download",
                                                  "idempotent", "idempotent"};

    g_string_append_printf(
        s,
        "%s{\"Name\":\"r%u\",\"RouteType\":\"%s\",\"Priority\":%d,"
        "\"TargetLatencyMs\":400,\"Match\":{\"Prefix\":\"%s\"},"
        "\"Action\":{\"Service\":\"%s\",\"TimeoutMs\":3000,"
        "\"MaxAttempts\":3}}",
        kind > 0 ? "," : "", g_str_hash(prefix), types[kind], kind, prefix,
        soak_services[service % SOAK_SERVICES]);
}

/*
 * Configuration of a version; each routes SOAK_MOVED to the next service, and
 * adds and drops a route.
 */
static char *
config_text(int version, bool large)
{
    GString *s = g_string_new(NULL);

    g_string_append_printf(s,
                           "{\"Version\":\"%08x\",\"Listeners\":[{\"Host\":"
                           "\"soak.example\",\"Rules\":[",
                           version);
    for (int i = 0; i < SOAK_ADDED; i++) {
        add_rule(s, soak_prefixes[i], i, i == SOAK_MOVED ? version : i);
    }
    for (int i = MAX(version - SOAK_ADDED_VERSIONS + 1, 1); i <= version;
         i++) {
        g_autofree char *prefix = soak_added_prefix(i);

        add_rule(s, prefix, SOAK_ADDED, i);
    }
    for (int i = 0; large && i < FILLER_ROUTES; i++) {
        g_autofree char *prefix = g_strdup_printf("/filler-%d/", i);

        add_rule(s, prefix, SOAK_ADDED, i);
    }
    g_string_append(s, "]}],\"Clusters\":[");
    for (int i = 0; i < SOAK_SERVICES; i++) {
        g_string_append_printf(
            s,
            "%s{\"Name\":\"%s\",\"HealthPath\":\"/health\",\"MaxConns\":220,"
            "\"ColdStartS\":3,\"ColdPerS\":%g}",
            i > 0 ? "," : "", soak_services[i], SOAK_COLD_PER_S);
    }
    g_string_append(s, "]}");
    return g_string_free(s, FALSE);
}

/* Passed to version_acked(), which frees it. */
struct version_ack {
    struct soak *soak;
    int version;
};

static void
version_acked(void *data)
{
    struct version_ack *ack = data;

    soak_record_version_acked(ack->soak->record, ack->version, soak_now());
    g_free(ack);
}

static void
change_config(struct soak *s, bool large)
{
    struct version_ack *ack = g_new0(struct version_ack, 1);
    g_autofree char *text = NULL;

    ack->soak = s;
    ack->version = ++s->version;
    s->large = large;
    text = config_text(s->version, large);
    soak_record_version(s->record, s->version, s->version % SOAK_SERVICES,
                        soak_now());
    soak_world_write_row(&s->world, "op", "config", text, version_acked, ack);
}

static void
write_entry(struct soak *s, struct soak_server *server, const char *state,
            void (*acked)(void *data))
{
    g_autofree char *host =
        soak_world_host(&s->world, SOAK_NET_PUBLIC, server->index);
    g_autofree char *text = g_strdup_printf(
        "{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"%s\","
        "\"Version\":\"v1\",\"Slots\":2,\"State\":\"%s\",\"ColdLeftMs\":%.0f,"
        "\"Sequence\":1,\"born\":%" G_GUINT64_FORMAT "}",
        soak_services[server->service], host, SOAK_SERVER_PORT,
        soak_zones[server->zone], state,
        MAX(server->cold_until - soak_now(), 0), server->born);

    server->state = state;
    soak_world_write_row(&s->world, "servers", server->id, text, acked,
                         server);
}

static void
remove_entry(struct soak *s, struct soak_server *server,
             void (*acked)(void *data))
{
    server->state = NULL;
    soak_world_write_row(&s->world, "servers", server->id, NULL, acked,
                         server);
}

/* Sets the start of a drain, unless the server already has one. */
static void
mark_drained(struct soak_server *server, ggw_ms bound)
{
    if (isinf(server->drain_acked_at)) {
        server->drain_acked_at = soak_now();
        server->drain_bound = bound;
    }
}

/* The server was not restarted since the write that was acknowledged. */
static void
drain_acked(void *data)
{
    struct soak_server *server = data;

    if (server->running && server->drained_born == server->born) {
        mark_drained(server, SOAK_DRAIN_MS);
    }
}

/* Passed to zone_evacuated(), which frees it. */
struct zone_ack {
    struct soak *soak;
    int zone;
};

static bool
zone_is_evacuated(const struct soak *s, int zone)
{
    for (GList *i = s->active.head; i != NULL; i = i->next) {
        const struct active_step *a = i->data;

        if (a->step.fault == SOAK_EVACUATE_ZONE && a->step.target == zone) {
            return true;
        }
    }
    return false;
}

static void
zone_evacuated(void *data)
{
    struct zone_ack *ack = data;
    struct soak *s = ack->soak;

    for (int i = 0; i < SOAK_SERVERS && zone_is_evacuated(s, ack->zone); i++) {
        struct soak_server *server = soak_servers_get(s->servers, i);

        if (server->zone == ack->zone) {
            mark_drained(server, SOAK_EVACUATE_MS);
        }
    }
    g_free(ack);
}

static void
set_zone_evacuated(struct soak *s, int zone, bool evacuated)
{
    g_autofree char *key = g_strdup_printf("evacuate/%s", soak_zones[zone]);
    struct zone_ack *ack;

    if (evacuated) {
        ack = g_new0(struct zone_ack, 1);
        ack->soak = s;
        ack->zone = zone;
        soak_world_write_row(&s->world, "op", key, "{}", zone_evacuated, ack);
        return;
    }
    for (int i = 0; i < SOAK_SERVERS; i++) {
        struct soak_server *server = soak_servers_get(s->servers, i);

        if (server->zone == zone && server->drain_bound == SOAK_EVACUATE_MS) {
            server->drain_acked_at = INFINITY;
        }
    }
    soak_world_write_row(&s->world, "op", key, NULL, NULL, NULL);
}

static void
set_link(struct soak *s, const char *route, const struct soak_step *step,
         bool on)
{
    g_autofree char *json = NULL;

    json = on ? g_strdup_printf("{\"route\":\"%s-%02d\",%s}", route,
                                step->target, soak_link_faults[step->variant])
              : g_strdup_printf("{\"route\":\"%s-%02d\",\"cut\":false,"
                                "\"hold\":false,\"one_way\":false,"
                                "\"delay_ms\":0.1}",
                                route, step->target);
    soak_world_configure_relay(&s->world, json);
}

static void
restart_server(struct soak *s, struct soak_server *server)
{
    soak_server_start(server, COLD_START_MS);
    write_entry(s, server, "ready", NULL);
    if (zone_is_evacuated(s, server->zone)) {
        mark_drained(server, SOAK_EVACUATE_MS);
    }
}

/*
 * The store has returned from an older copy: the operator writes all that it
 * has stated again, and each server its entry some time later.
 */
static void
store_returned(void *data)
{
    struct soak *s = data;
    g_autofree char *text = config_text(s->version, s->large);

    soak_record_add_fault(s->record, SOAK_SCOPE_STORE, soak_now());
    soak_world_write_row(&s->world, "op", "config", text, NULL, NULL);
    for (int i = 0; i < SOAK_ZONES; i++) {
        g_autofree char *key = g_strdup_printf("evacuate/%s", soak_zones[i]);

        soak_world_write_row(&s->world, "op", key,
                             zone_is_evacuated(s, i) ? "{}" : NULL, NULL,
                             NULL);
    }
    for (int i = 0; i < SOAK_SERVERS; i++) {
        soak_servers_get(s->servers, i)->rewrite_at =
            soak_now() + g_rand_double_range(s->rand, 0, MAX_REWRITE_MS);
    }
}

static void
rewrite_entries(struct soak *s, ggw_ms now)
{
    for (int i = 0; i < SOAK_SERVERS; i++) {
        struct soak_server *server = soak_servers_get(s->servers, i);

        if (now < server->rewrite_at || !server->running) {
            continue;
        }
        server->rewrite_at =
            s->copy_taken ? now + REPORT_INTERVAL_MS : INFINITY;
        if (server->state != NULL) {
            write_entry(s, server, server->state, NULL);
        }
        else {
            remove_entry(s, server, NULL);
        }
    }
}

/* Gateway index or SOAK_SCOPE_* of a fault; G_MAXINT for maintenance. */
static int
fault_scope(const struct soak_step *step)
{
    switch (step->fault) {
    case SOAK_KILL_GATEWAY:
    case SOAK_PAUSE_GATEWAY:
    case SOAK_PEER_LINK:
    case SOAK_FRONT_LINK:
    case SOAK_STORE_LINK:
        return step->target;
    case SOAK_STORE_FAULT:
        return step->variant == SOAK_COMPACT ? SOAK_SCOPE_HISTORY
                                             : SOAK_SCOPE_STORE;
    case SOAK_SERVER_LINK:
    case SOAK_CRASH_SERVER:
    case SOAK_SLOW_SERVER:
    case SOAK_LOSE_RESPONSES:
    case SOAK_TRUNCATE_RESPONSES:
        return SOAK_SCOPE_SERVERS;
    default:
        return G_MAXINT;
    }
}

/* Sets what servers send; faults concern all servers of a service. */
static void
set_sent(struct soak *s, const struct soak_step *step, bool on)
{
    for (int i = 0; i < SOAK_SERVERS; i++) {
        struct soak_response_faults *faults =
            &soak_servers_get(s->servers, i)->faults;
        bool alike = i % SOAK_SERVICES == step->target % SOAK_SERVICES;

        if (step->fault == SOAK_UNFRAMED_RESPONSES) {
            faults->unframed_ratio = on ? UNFRAMED_RATIO : 0;
        }
        else if (step->fault == SOAK_REPEATED_RESPONSES && alike) {
            faults->repeat_ratio = on ? REPEAT_RATIO : 0;
        }
        else if (step->fault == SOAK_ENDLESS_RESPONSES && alike) {
            faults->endless_ratio = on ? ENDLESS_RATIO : 0;
        }
        else if (step->fault == SOAK_MALFORMED_RESPONSES && alike) {
            faults->malformed_ratio = on ? MALFORMED_RATIO : 0;
        }
    }
}

/* Begins a step if @on, else reverts it. */
static void
apply(struct soak *s, const struct soak_step *step, bool on)
{
    struct soak_world *w = &s->world;
    struct soak_server *server =
        soak_servers_get(s->servers, step->target % SOAK_SERVERS);

    switch (step->fault) {
    case SOAK_CHANGE_CONFIG:
        if (on) {
            change_config(s, step->variant == SOAK_LARGE_CONFIG);
        }
        break;
    case SOAK_EVACUATE_ZONE:
        set_zone_evacuated(s, step->target, on);
        break;
    case SOAK_STOP_GATEWAY:
        if (on && w->gateways[step->target].state == SOAK_RUNNING) {
            soak_world_signal(w, step->target, SIGTERM);
        }
        break;
    case SOAK_RELOAD_GATEWAY:
        if (on) {
            soak_world_signal(w, step->target, SIGHUP);
        }
        break;
    case SOAK_DRAIN_SERVER:
        if (on) {
            server->drained_born = server->born;
            write_entry(s, server, "draining", drain_acked);
        }
        else {
            soak_server_crash(server);
            restart_server(s, server);
        }
        break;
    case SOAK_KILL_GATEWAY:
        if (on) {
            soak_world_signal(w, step->target, SIGKILL);
        }
        break;
    case SOAK_KILL_ALL:
        for (int i = 0; on && i < SOAK_GATEWAYS; i++) {
            soak_world_signal(w, i, SIGKILL);
        }
        break;
    case SOAK_PAUSE_GATEWAY:
        soak_world_signal(w, step->target, on ? SIGSTOP : SIGCONT);
        break;
    case SOAK_PEER_LINK:
        set_link(s, "peer", step, on);
        break;
    case SOAK_FRONT_LINK:
        set_link(s, "front", step, on);
        break;
    case SOAK_STORE_LINK:
        set_link(s, "store", step, on);
        break;
    case SOAK_SERVER_LINK:
        soak_server_record_cut(server);
        set_link(s, "server", step, on);
        break;
    case SOAK_STORE_FAULT:
        soak_world_store_fault(
            w, on ? soak_store_faults[step->variant] : "{\"mode\":\"none\"}",
            NULL, NULL);
        break;
    case SOAK_CRASH_SERVER:
        if (on) {
            soak_server_crash(server);
        }
        else {
            restart_server(s, server);
        }
        break;
    case SOAK_SLOW_SERVER:
        server->slowdown = on ? 5 : 1;
        break;
    case SOAK_LOSE_RESPONSES:
        server->lose_ratio = on ? 0.2 : 0;
        break;
    case SOAK_TRUNCATE_RESPONSES:
        server->truncate_ratio = on ? 0.2 : 0;
        break;
    case SOAK_SERVER_LEAVES:
        if (on) {
            server->leaving = true;
        }
        else {
            soak_server_crash(server);
            restart_server(s, server);
        }
        break;
    case SOAK_SERVER_PAUSES:
        server->pause = on ? PAUSE_MS : 0;
        break;
    case SOAK_UNFRAMED_RESPONSES:
    case SOAK_REPEATED_RESPONSES:
    case SOAK_ENDLESS_RESPONSES:
    case SOAK_MALFORMED_RESPONSES:
        set_sent(s, step, on);
        break;
    case SOAK_REMOVE_ENTRY:
        if (on) {
            server->drained_born = server->born;
            remove_entry(s, server, drain_acked);
        }
        else {
            soak_server_crash(server);
            restart_server(s, server);
        }
        break;
    case SOAK_STORE_RETURNS:
        s->copy_taken = on;
        for (int i = 0; on && i < SOAK_SERVERS; i++) {
            soak_servers_get(s->servers, i)->rewrite_at = soak_now();
        }
        if (on) {
            soak_world_store_fault(w, "{\"mode\":\"copy\"}", NULL, NULL);
        }
        else {
            soak_world_store_fault(w, "{\"mode\":\"return\"}", store_returned,
                                   s);
        }
        break;
    case SOAK_FAULTS:
        break;
    }
}

/*
 * Whether the same fault already acts on the same target. It isn't begun
 * twice, as the first end would revert both.
 */
static bool
is_active(const struct soak *s, const struct soak_step *step)
{
    for (GList *i = s->active.head; i != NULL; i = i->next) {
        const struct active_step *a = i->data;

        if (a->step.fault == step->fault &&
            (a->step.target == step->target ||
             step->fault == SOAK_STORE_FAULT)) {
            return true;
        }
    }
    return false;
}

/* Whether a step has its effect at its beginning only. */
static bool
is_instant(const struct soak_step *step)
{
    switch (step->fault) {
    case SOAK_KILL_GATEWAY:
        return true;
    case SOAK_PEER_LINK:
    case SOAK_FRONT_LINK:
    case SOAK_STORE_LINK:
        return step->variant == SOAK_SILENT_LINK;
    case SOAK_STORE_FAULT:
        return step->variant == SOAK_COMPACT;
    default:
        return false;
    }
}

static void
record_fault(struct soak *s, const struct soak_step *step, ggw_ms until)
{
    int scope = fault_scope(step);

    if (scope != G_MAXINT) {
        soak_record_add_fault(
            s->record, scope,
            until + (scope == SOAK_SCOPE_SERVERS ? 0 : REVERT_LAG_MS));
    }
    for (int i = 0; step->fault == SOAK_KILL_ALL && i < SOAK_GATEWAYS; i++) {
        soak_record_add_fault(s->record, i, soak_now());
    }
}

static void
begin_step(struct soak *s, const struct soak_step *step, ggw_ms now)
{
    struct active_step *a;

    if (is_active(s, step)) {
        return;
    }
    a = g_new0(struct active_step, 1);
    a->soak = s;
    a->step = *step;
    a->until = now + step->duration;
    g_queue_push_tail(&s->active, a);
    record_fault(s, step, is_instant(step) ? now : a->until);
    log_step(s, "begin", step);
    apply(s, step, true);
}

static void
end_steps(struct soak *s, ggw_ms now)
{
    GList *next;

    for (GList *i = s->active.head; i != NULL; i = next) {
        struct active_step *a = i->data;

        next = i->next;
        if (a->until <= now) {
            g_queue_delete_link(&s->active, i);
            log_step(s, "end", &a->step);
            apply(s, &a->step, false);
            if (!is_instant(&a->step) && a->step.fault != SOAK_KILL_ALL) {
                record_fault(s, &a->step, now);
            }
            g_free(a);
        }
    }
}

/*
 * Starts the traffic after twice the start-up time of a gateway, so that each
 * group of clients can be served. Gateways that do not start are found at the
 * end: too few requests are served after the faults.
 */
static void
wait_for_start(struct soak *s, ggw_ms now)
{
    if (now > s->created_at + 2 * STARTUP_MS) {
        s->traffic_started = now;
        soak_clients_set_rate(s->clients, RATE_PER_S);
        soak_probes_set_active(s->probes, true);
    }
}

static void
tick_cb(uv_timer_t *timer)
{
    struct soak *s = timer->data;
    ggw_ms now = soak_now();
    ggw_ms at;

    soak_world_poll(&s->world, now);
    if (s->traffic_started == 0) {
        wait_for_start(s, now);
        return;
    }
    at = now - s->traffic_started;
    rewrite_entries(s, now);
    end_steps(s, now);
    while (s->next < s->plan->len &&
           g_array_index(s->plan, struct soak_step, s->next).at <= at) {
        begin_step(s, &g_array_index(s->plan, struct soak_step, s->next++),
                   now);
    }
    if (at > FAULTS_MS + RECOVERY_MS + CHECK_MS) {
        soak_clients_set_rate(s->clients, 0);
        soak_probes_set_active(s->probes, false);
        if (soak_clients_pending(s->clients) == 0) {
            uv_stop(&s->loop);
        }
    }
}

static void
set_up(struct soak *s, guint32 seed, const char *build, const char *dir)
{
    g_autofree char *servers = NULL;

    uv_loop_init(&s->loop);
    s->rand = g_rand_new_with_seed(seed + 1);
    s->record = soak_record_new();
    s->plan = soak_plan(seed, FAULTS_MS);
    soak_world_init(&s->world, &s->loop, s->record, build, dir);
    servers = g_strdup_printf("%s.%d", s->world.prefix, SOAK_NET_SERVERS);
    s->servers = soak_servers_new(&s->loop, s->record, s->rand, servers,
                                  SOAK_SERVER_PORT);
    change_config(s, false);
    for (int i = 0; i < SOAK_SERVERS; i++) {
        write_entry(s, soak_servers_get(s->servers, i), "ready", NULL);
    }
    for (int i = 0; i < SOAK_GATEWAYS; i++) {
        soak_world_start_gateway(&s->world, i);
    }
    s->clients = soak_clients_new(&s->world, s->rand);
    s->probes = soak_probes_new(&s->world, s->rand, &s->version);
    s->created_at = soak_now();
    uv_timer_init(&s->loop, &s->tick);
    s->tick.data = s;
    uv_timer_start(&s->tick, tick_cb, TICK_MS, TICK_MS);
}

/* Prints the summary and violations; returns the number of violations. */
static guint
report(struct soak *s, guint32 seed, const char *dir)
{
    const GPtrArray *violations = soak_record_violations(s->record);
    g_autofree char *summary = NULL;

    soak_record_finish(s->record, s->traffic_started + FAULTS_MS + RECOVERY_MS,
                       soak_now());
    summary = soak_record_summary(s->record);
    printf("seed %u: %s memory=%zuMiB\n", seed, summary,
           s->world.most_memory >> 20);
    for (guint i = 0; i < violations->len && i < 20; i++) {
        printf("  %s\n", (char *)g_ptr_array_index(violations, i));
    }
    if (violations->len > 0) {
        printf("  traffic began at %.0f; logs are in %s\n", s->traffic_started,
               dir);
    }
    return violations->len;
}

int
main(int argc, char **argv)
{
    static struct soak soak;
    const char *build = g_getenv("GGW_BUILD");
    g_autofree char *dir = NULL;
    guint32 seed;

    if (argc < 2) {
        fprintf(stderr, "usage: soak SEED [-v]\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    seed = (guint32)strtoul(argv[1], NULL, 10);
    soak.verbose = argc > 2;
    dir = g_dir_make_tmp("soak-XXXXXX", NULL);
    set_up(&soak, seed, build != NULL ? build : "build/asan", dir);
    uv_run(&soak.loop, UV_RUN_DEFAULT);
    soak_world_end(&soak.world);
    soak_servers_stop_listening(soak.servers);
    soak_world_release_prefix(&soak.world);
    return report(&soak, seed, dir) > 0;
}
