#ifndef GGW_STANDINS_SERVER_STATE_H
#define GGW_STANDINS_SERVER_STATE_H

#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "common/fine_timer.h"
#include "standins/bad_version.h"
#include "standins/control.h"
#include "standins/endless.h"

/**
 * DOC: state of one server of the backend stand-in
 *
 * Command-line options, settings, load reports, counts, and the parts of the
 * control page that show and change them.
 */

#define SNAPSHOTS 512 /* load snapshots kept per server, for --lag-ms */

/*
 * Grace period in ms before max_cold_told counts. Gateways can keep to the
 * cold limit of a server that turns cold without warning only after one of
 * them has read a load report and has informed the others.
 */
#define COLD_REPORT_GRACE_MS 100

/**
 * struct snapshot - load of a server at one time
 * @taken_at: monotonic time in ms
 * @busy: running requests
 * @queue: waiting requests
 */
struct snapshot {
    ggw_ms taken_at;
    int busy, queue;
};

/**
 * struct server - one server
 * @slots: requests that run at a time
 * @queue_max: requests that wait for a slot; more are shed
 * @cold_limit: requests accepted at a time while the server is cold
 * @connections_max: open connections; more are closed at once
 * @fail_status: status of all responses, without running the requests; 0: off
 * @service_mean_ms: mean service time in ms
 * @slow: factor on the service time
 * @draining: shown in load reports
 * @paused: requests get no response
 * @short_body: responses of /body/ break off after half of the body
 * @pause_s: requests are shed, and gateways are asked to pause for so many s;
 *           0: off
 * @answered: a request has run since @pause_s was set last
 * @max_return: largest number of open requests from then until @answered
 * @lose_answers: requests run, but the connection closes without a response
 * @misleading: load reports show no load
 * @endless: response without an end that all requests and probes get, or NULL
 * @bad: faults of the version that the server runs
 * @incarnation: wall clock time of the last restart in ms
 * @cold_until: monotonic time in ms
 * @failing_until: end of the time in --cold-fails, monotonic in ms
 * @noise_start: start of the current or next noisy period, monotonic in ms
 * @noise_end: end of that period
 * @calls: struct call, all that have not ended
 * @waiting: struct call, in order of arrival
 * @conns: struct conn
 * @snapshots: ring buffer
 * @snapshots_len: snapshots taken so far
 * @shed: requests rejected by the queue limit or the cold limit
 * @late: requests whose deadline had passed before they ran
 * @max_cold: largest number of open requests while cold
 * @max_warm: the same while warm
 * @max_cold_told: @max_cold from COLD_REPORT_GRACE_MS after @cold_reported
 * @cold_reported: monotonic time in ms of the first load report with cold=1;
 *                 0: none yet
 * @last_arrival: wall clock time of the last new request in ms
 * @runs: order id to the number of times that it ran
 */
struct server {
    char *name;
    uint16_t port;
    uv_tcp_t listener;
    h2o_accept_ctx_t accept;
    h2o_hostconf_t *hosts[2];
    GRand *rand;
    /* settings, changed by the control page */
    int slots, queue_max, cold_limit, connections_max, fail_status;
    double service_mean_ms, slow, pause_s;
    bool draining, paused, short_body, lose_answers, misleading;
    const struct endless_form *endless;
    struct bad_version bad;
    /* state */
    uint64_t incarnation;
    ggw_ms cold_until, failing_until, noise_start, noise_end;
    GQueue calls, waiting, conns;
    int busy, connections;
    struct snapshot snapshots[SNAPSHOTS];
    unsigned snapshots_len;
    /* counts */
    uint64_t started, ran, shed, late, cancelled, probes, refused_connections;
    int max_cold, max_warm;
    int max_return;
    bool answered;
    int max_cold_told;
    ggw_ms cold_reported;
    ggw_ms last_arrival;
    GHashTable *runs;
};

static struct {
    gchar **servers;
    gchar *control, *service, *noisy;
    gint slots, queue, cold_ms, cold_limit, cold_fails, connections, open_ms;
    gint seed, lag_ms;
    gboolean misleading;
    gdouble service_ms, noisy_every, noisy_len, noisy_factor;
} opt = {
    .control = "127.0.0.1:0",
    .service = "exp",
    .slots = 2,
    .queue = 16,
    .cold_limit = 1,
    .connections = 200,
    .seed = 1,
    .service_ms = 4,
    .noisy_factor = 1,
};

static inline ggw_ms
now_ms(void)
{
    return ggw_clock_now(ggw_clock_system());
}

static inline bool
is_cold(const struct server *s)
{
    return now_ms() < s->cold_until;
}

static inline void
take_snapshot(struct server *s)
{
    struct snapshot *snapshot = &s->snapshots[s->snapshots_len++ % SNAPSHOTS];

    snapshot->taken_at = now_ms();
    snapshot->busy = s->busy;
    snapshot->queue = (int)s->waiting.length;
}

/* Returns the newest snapshot that is at least --lag-ms old, else no load. */
static inline struct snapshot
lagged_snapshot(const struct server *s)
{
    struct snapshot none = {0};
    ggw_ms max_taken_at = now_ms() - opt.lag_ms;

    for (unsigned i = s->snapshots_len; i > 0; i--) {
        const struct snapshot *snapshot = &s->snapshots[(i - 1) % SNAPSHOTS];

        if (snapshot->taken_at <= max_taken_at) {
            return *snapshot;
        }
        if (s->snapshots_len - i >= SNAPSHOTS - 1) {
            break;
        }
    }
    return none;
}

/* Returns the service time factor: --noisy simulates a noisy neighbour. */
static inline double
noise_factor(struct server *s)
{
    ggw_ms now = now_ms();

    if (opt.noisy_every <= 0) {
        return 1;
    }
    while (now >= s->noise_end) {
        s->noise_start = MAX(s->noise_end, now - opt.noisy_len) -
                         opt.noisy_every * log(1 - g_rand_double(s->rand));
        s->noise_end = s->noise_start + opt.noisy_len;
    }
    return now >= s->noise_start ? opt.noisy_factor : 1;
}

/* Draws a service time in ms. */
static inline ggw_ms
service_time(struct server *s)
{
    double t = s->service_mean_ms * s->slow * noise_factor(s);

    if (strcmp(opt.service, "const") != 0) {
        t *= -log(1 - g_rand_double(s->rand));
    }
    return t;
}

/* Starts a new incarnation, cold for @cold_ms ms, with new cold counts. */
static inline void
server_restart(struct server *s, double cold_ms)
{
    s->incarnation = (uint64_t)ggw_clock_wall(ggw_clock_system());
    s->cold_until = now_ms() + cold_ms;
    s->max_cold = s->max_cold_told = 0;
    s->cold_reported = 0;
}

/* Creates a server from "NAME" or "NAME=ADDRESS", not listening yet. */
static inline struct server *
server_new(const char *spec, guint32 seed)
{
    struct server *s = g_new0(struct server, 1);
    const char *equals = strchr(spec, '=');

    s->name = equals != NULL ? g_strndup(spec, (gsize)(equals - spec))
                             : g_strdup(spec);
    s->rand = g_rand_new_with_seed(seed);
    s->slots = opt.slots;
    s->queue_max = opt.queue;
    s->cold_limit = opt.cold_limit;
    s->connections_max = opt.connections;
    s->service_mean_ms = opt.service_ms;
    s->slow = 1;
    s->misleading = opt.misleading;
    s->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    server_restart(s, opt.cold_ms);
    take_snapshot(s);
    return s;
}

static inline json_t *
server_runs_json(const struct server *s)
{
    json_t *runs = json_object();
    GHashTableIter iter;
    gpointer order, n;

    g_hash_table_iter_init(&iter, s->runs);
    while (g_hash_table_iter_next(&iter, &order, &n)) {
        json_object_set_new(runs, order, json_integer(GPOINTER_TO_INT(n)));
    }
    return runs;
}

/* Returns the counts that the control page shows of a server. */
static inline json_t *
server_json(const struct server *s)
{
    return json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:i, s:i, s:i, s:i, s:b, s:f,"
        " s:I, s:i, s:i, s:o}",
        "started", (json_int_t)s->started, "ran", (json_int_t)s->ran, "shed",
        (json_int_t)s->shed, "late", (json_int_t)s->late, "cancelled",
        (json_int_t)s->cancelled, "probes", (json_int_t)s->probes,
        "refused_connections", (json_int_t)s->refused_connections, "busy",
        s->busy, "max_cold", s->max_cold, "max_warm", s->max_warm,
        "connections", s->connections, "cold", is_cold(s) ? 1 : 0,
        "last_new_ms", s->last_arrival, "incarnation",
        (json_int_t)s->incarnation, "max_cold_told", s->max_cold_told,
        "max_return", s->max_return, "runs", server_runs_json(s));
}

static inline void
server_reset(struct server *s)
{
    s->started = s->ran = s->shed = s->late = s->cancelled = s->probes = 0;
    s->refused_connections = 0;
    s->max_cold = s->max_warm = s->max_cold_told = 0;
    s->last_arrival = 0;
    g_hash_table_remove_all(s->runs);
}

static void close_connections(struct server *s);

/*
 * Applies "cold": a number restarts the server cold for that time in ms, true
 * restarts it cold for --cold-ms, or 5000 ms if that is not set, and false or
 * 0 makes it warm.
 */
static inline void
server_set_cold(struct server *s, const json_t *value)
{
    if (json_is_true(value)) {
        close_connections(s);
        server_restart(s, opt.cold_ms > 0 ? opt.cold_ms : 5000);
    }
    else if (json_number_value(value) > 0) {
        close_connections(s);
        server_restart(s, json_number_value(value));
    }
    else {
        s->cold_until = 0;
    }
}

/* Applies one key of a POST /-/set; returns false for an unknown key. */
static inline bool
server_set(struct server *s, const char *key, const json_t *value)
{
    bool enabled = json_is_true(value);
    double number = json_number_value(value);

    if (strcmp(key, "cold") == 0) {
        server_set_cold(s, value);
    }
    else if (strcmp(key, "slow") == 0) {
        s->slow = number;
    }
    else if (strcmp(key, "service_ms") == 0) {
        s->service_mean_ms = number;
    }
    else if (strcmp(key, "fail") == 0) {
        s->fail_status = enabled ? 503 : (int)number;
    }
    else if (strcmp(key, "draining") == 0) {
        s->draining = enabled;
    }
    else if (strcmp(key, "pause") == 0) {
        s->paused = enabled;
    }
    else if (strcmp(key, "retry_after") == 0) {
        s->pause_s = number;
        s->answered = false;
        s->max_return = 0;
    }
    else if (strcmp(key, "short_body") == 0) {
        s->short_body = enabled;
    }
    else if (strcmp(key, "lose_answers") == 0) {
        s->lose_answers = enabled;
    }
    else if (strcmp(key, "misleading") == 0) {
        s->misleading = enabled;
    }
    else if (strcmp(key, "endless") == 0) {
        s->endless = endless_find(json_string_value(value));
    }
    else if (strcmp(key, "bad_version") == 0) {
        bad_version_set(&s->bad, value, now_ms());
    }
    else if (strcmp(key, "connections") == 0) {
        s->connections_max = (int)number;
    }
    else if (strcmp(key, "reset") == 0) {
        server_reset(s);
    }
    else {
        return strcmp(key, "server") == 0;
    }
    return true;
}

static const GOptionEntry option_entries[] = {
    {"server", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.servers,
     "a server, repeatable; without a port, an unused one is taken",
     "NAME[=[IP:]PORT]"},
    {"control", 0, 0, G_OPTION_ARG_STRING, &opt.control,
     "address of the control page", "IP:PORT"},
    {"slots", 0, 0, G_OPTION_ARG_INT, &opt.slots,
     "requests that run at a time", "N"},
    {"queue", 0, 0, G_OPTION_ARG_INT, &opt.queue,
     "requests that wait for a slot", "N"},
    {"service-ms", 0, 0, G_OPTION_ARG_DOUBLE, &opt.service_ms,
     "mean service time", "MS"},
    {"service", 0, 0, G_OPTION_ARG_STRING, &opt.service,
     "distribution of the service time", "exp|const"},
    {"seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "random seed", "N"},
    {"cold-ms", 0, 0, G_OPTION_ARG_INT, &opt.cold_ms,
     "time from the start until warm", "MS"},
    {"cold-limit", 0, 0, G_OPTION_ARG_INT, &opt.cold_limit,
     "requests accepted at a time while cold", "N"},
    {"cold-fails", 0, 0, G_OPTION_ARG_INT, &opt.cold_fails,
     "time for which a cold server over its limit responds with 503", "MS"},
    {"connections", 0, 0, G_OPTION_ARG_INT, &opt.connections,
     "open connections at a time", "N"},
    {"open-ms", 0, 0, G_OPTION_ARG_INT, &opt.open_ms,
     "time to open a connection", "MS"},
    {"lag-ms", 0, 0, G_OPTION_ARG_INT, &opt.lag_ms,
     "minimum age of the load in load reports", "MS"},
    {"misleading", 0, 0, G_OPTION_ARG_NONE, &opt.misleading,
     "load reports show no load", NULL},
    {"noisy", 0, 0, G_OPTION_ARG_STRING, &opt.noisy,
     "multiply service times by FACTOR in periods of LEN ms, on average"
     " EVERY ms apart",
     "EVERY,LEN,FACTOR"},
    {NULL},
};

static inline bool
parse_flags(int *argc, char ***argv)
{
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;
    bool ok;

    g_option_context_add_main_entries(context, option_entries, NULL);
    ok = g_option_context_parse(context, argc, argv, &error);
    g_option_context_free(context);
    if (ok && opt.noisy != NULL &&
        sscanf(opt.noisy, "%lf,%lf,%lf", &opt.noisy_every, &opt.noisy_len,
               &opt.noisy_factor) != 3) {
        fprintf(stderr, "backend: --noisy must be EVERY,LEN,FACTOR\n");
        return false;
    }
    if (!ok || opt.servers == NULL) {
        fprintf(stderr, "backend: %s\n",
                ok ? "--server is missing" : error->message);
        g_clear_error(&error);
        return false;
    }
    return true;
}

#endif
