#ifndef GGW_STANDINS_SERVER_STATE_H
#define GGW_STANDINS_SERVER_STATE_H

#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "common/fine_timer.h"
#include "standins/control.h"

/*
 * State of one server of the backend stand-in: settings, load reports, counts
 * and what the control page shows and changes.
 */

#define SNAPSHOTS 512 /* load reports kept for the lag option */

/*
 * A server that turns cold without warning can only count on gateways after
 * one of them has read a report and told the others.
 */
#define COLD_TOLD_MS 100

struct snapshot {
    ggw_ms when;
    int busy, queue;
};

struct server {
    char *name;
    uint16_t port;
    uv_tcp_t listener;
    h2o_accept_ctx_t accept;
    h2o_hostconf_t *hosts[2];
    GRand *rand;
    /* settings; the control page changes them */
    int slots, queue_max, cold_limit, connections_max, fail_status;
    double mean_ms, slow;
    bool draining, paused, short_body, lose_answers, misleading;
    /* state */
    uint64_t incarnation;
    ggw_ms cold_until, unusable_until, spell_start, spell_end;
    GQueue calls;   /* struct call, all that have not ended */
    GQueue waiting; /* struct call, in the order of arrival */
    GQueue conns;   /* struct conn */
    int busy, connections;
    struct snapshot snapshots[SNAPSHOTS];
    unsigned snapshots_len;
    /* counts */
    uint64_t started, ran, shed, late, cancelled, probes, refused_connections;
    int max_cold, max_warm;
    int max_cold_told; /* max_cold from COLD_TOLD_MS after the first report */
    ggw_ms cold_told;  /* when the first report with cold=1 left; 0: not yet */
    ggw_ms last_new;
    GHashTable *runs; /* order to its number of runs */
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
    struct snapshot *shot = &s->snapshots[s->snapshots_len++ % SNAPSHOTS];

    shot->when = now_ms();
    shot->busy = s->busy;
    shot->queue = (int)s->waiting.length;
}

/* The newest snapshot that is at least the configured lag old. */
static inline struct snapshot
lagged_snapshot(const struct server *s)
{
    struct snapshot none = {0};
    ggw_ms limit = now_ms() - opt.lag_ms;

    for (unsigned i = s->snapshots_len; i > 0; i--) {
        const struct snapshot *shot = &s->snapshots[(i - 1) % SNAPSHOTS];

        if (shot->when <= limit) {
            return *shot;
        }
        if (s->snapshots_len - i >= SNAPSHOTS - 1) {
            break;
        }
    }
    return none;
}

/* Service times grow by a factor during the spells of a noisy neighbour. */
static inline double
noise_factor(struct server *s)
{
    ggw_ms now = now_ms();

    if (opt.noisy_every <= 0) {
        return 1;
    }
    while (now >= s->spell_end) {
        s->spell_start = MAX(s->spell_end, now - opt.noisy_len) -
                         opt.noisy_every * log(1 - g_rand_double(s->rand));
        s->spell_end = s->spell_start + opt.noisy_len;
    }
    return now >= s->spell_start ? opt.noisy_factor : 1;
}

static inline ggw_ms
service_time(struct server *s)
{
    double t = s->mean_ms * s->slow * noise_factor(s);

    if (strcmp(opt.service, "const") != 0) {
        t *= -log(1 - g_rand_double(s->rand));
    }
    return t;
}

static inline void
server_restart(struct server *s, double cold_ms)
{
    s->incarnation = (uint64_t)ggw_clock_wall(ggw_clock_system());
    s->cold_until = now_ms() + cold_ms;
    s->max_cold = s->max_cold_told = 0;
    s->cold_told = 0;
}

static inline struct server *
server_new(const char *spec, guint32 seed)
{
    struct server *s = g_new0(struct server, 1);
    const char *eq = strchr(spec, '=');

    s->name =
        eq != NULL ? g_strndup(spec, (gsize)(eq - spec)) : g_strdup(spec);
    s->rand = g_rand_new_with_seed(seed);
    s->slots = opt.slots;
    s->queue_max = opt.queue;
    s->cold_limit = opt.cold_limit;
    s->connections_max = opt.connections;
    s->mean_ms = opt.service_ms;
    s->slow = 1;
    s->misleading = opt.misleading;
    s->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    server_restart(s, opt.cold_ms);
    take_snapshot(s);
    return s;
}

static inline json_t *
runs_json(const struct server *s)
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

static inline json_t *
server_json(const struct server *s)
{
    return json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:i, s:i, s:i, s:i, s:b, s:f,"
        " s:I, s:i, s:o}",
        "started", (json_int_t)s->started, "ran", (json_int_t)s->ran, "shed",
        (json_int_t)s->shed, "late", (json_int_t)s->late, "cancelled",
        (json_int_t)s->cancelled, "probes", (json_int_t)s->probes,
        "refused_connections", (json_int_t)s->refused_connections, "busy",
        s->busy, "max_cold", s->max_cold, "max_warm", s->max_warm,
        "connections", s->connections, "cold", is_cold(s) ? 1 : 0,
        "last_new_ms", s->last_new, "incarnation", (json_int_t)s->incarnation,
        "max_cold_told", s->max_cold_told, "runs", runs_json(s));
}

static inline void
server_reset(struct server *s)
{
    s->started = s->ran = s->shed = s->late = s->cancelled = s->probes = 0;
    s->refused_connections = 0;
    s->max_cold = s->max_warm = s->max_cold_told = 0;
    s->last_new = 0;
    g_hash_table_remove_all(s->runs);
}

static void close_connections(struct server *s);

/* A false or 0 for "cold" makes the server warm; a number is a time in ms. */
static inline void
set_cold(struct server *s, const json_t *value)
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

static inline bool
server_set(struct server *s, const char *key, const json_t *value)
{
    bool on = json_is_true(value);
    double number = json_number_value(value);

    if (strcmp(key, "cold") == 0) {
        set_cold(s, value);
    }
    else if (strcmp(key, "slow") == 0) {
        s->slow = number;
    }
    else if (strcmp(key, "service_ms") == 0) {
        s->mean_ms = number;
    }
    else if (strcmp(key, "fail") == 0) {
        s->fail_status = on ? 503 : (int)number;
    }
    else if (strcmp(key, "draining") == 0) {
        s->draining = on;
    }
    else if (strcmp(key, "pause") == 0) {
        s->paused = on;
    }
    else if (strcmp(key, "short_body") == 0) {
        s->short_body = on;
    }
    else if (strcmp(key, "lose_answers") == 0) {
        s->lose_answers = on;
    }
    else if (strcmp(key, "misleading") == 0) {
        s->misleading = on;
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

static const GOptionEntry entries[] = {
    {"server", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.servers,
     "a server, repeated; without a port an unused one", "NAME[=[IP:]PORT]"},
    {"control", 0, 0, G_OPTION_ARG_STRING, &opt.control, "control page",
     "IP:PORT"},
    {"slots", 0, 0, G_OPTION_ARG_INT, &opt.slots, "requests at a time", "N"},
    {"queue", 0, 0, G_OPTION_ARG_INT, &opt.queue, "requests that wait", "N"},
    {"service-ms", 0, 0, G_OPTION_ARG_DOUBLE, &opt.service_ms,
     "mean service time", "MS"},
    {"service", 0, 0, G_OPTION_ARG_STRING, &opt.service,
     "distribution of the service time", "exp|const"},
    {"seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "random seed", "N"},
    {"cold-ms", 0, 0, G_OPTION_ARG_INT, &opt.cold_ms, "time until warm", "MS"},
    {"cold-limit", 0, 0, G_OPTION_ARG_INT, &opt.cold_limit,
     "requests at a time while cold", "N"},
    {"cold-fails", 0, 0, G_OPTION_ARG_INT, &opt.cold_fails,
     "a cold server over its limit answers 503 for so long", "MS"},
    {"connections", 0, 0, G_OPTION_ARG_INT, &opt.connections,
     "connections at a time", "N"},
    {"open-ms", 0, 0, G_OPTION_ARG_INT, &opt.open_ms,
     "time to open a connection", "MS"},
    {"lag-ms", 0, 0, G_OPTION_ARG_INT, &opt.lag_ms, "age of load reports",
     "MS"},
    {"misleading", 0, 0, G_OPTION_ARG_NONE, &opt.misleading,
     "load reports always show an idle server", NULL},
    {"noisy", 0, 0, G_OPTION_ARG_STRING, &opt.noisy,
     "spells of LEN ms, on average every EVERY ms, with longer service",
     "EVERY,LEN,FACTOR"},
    {NULL},
};

static inline bool
parse_flags(int *argc, char ***argv)
{
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;
    bool ok;

    g_option_context_add_main_entries(context, entries, NULL);
    ok = g_option_context_parse(context, argc, argv, &error);
    g_option_context_free(context);
    if (ok && opt.noisy != NULL &&
        sscanf(opt.noisy, "%lf,%lf,%lf", &opt.noisy_every, &opt.noisy_len,
               &opt.noisy_factor) != 3) {
        fprintf(stderr, "backend: --noisy needs three numbers\n");
        return false;
    }
    if (!ok || opt.servers == NULL) {
        fprintf(stderr, "backend: %s\n", ok ? "no --server" : error->message);
        g_clear_error(&error);
        return false;
    }
    return true;
}

#endif
