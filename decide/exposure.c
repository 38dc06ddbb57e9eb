#include "decide/exposure.h"

#include <math.h>
#include <string.h>

/*
 * Routes that are counted apart. Names come from other gateways, so their
 * number must be bounded; further routes are counted together.
 */
#define MAX_ROUTES 256

/* Route of requests without one, and of those beyond MAX_ROUTES. */
#define OTHER_ROUTES ""

/* Part of the allowance, in grants, that is kept for routes with few trials.
 */
#define ROUTE_RESERVE 1.0

/* Multiple of the usual share in which a grown allowance is used up. */
#define CATCH_UP 3

bool
ggw_exposure_is_target(const struct ggw_exposure_limits *limits,
                       const char *version)
{
    return limits != NULL && limits->target != NULL && version != NULL &&
           strcmp(limits->target, version) == 0;
}

static enum ggw_exposure_class
classify_other(const struct ggw_exposure_limits *limits, const char *version)
{
    if (limits->allowed == NULL) {
        return GGW_EXPOSURE_OPEN;
    }
    return version != NULL &&
                   g_strv_contains((const char *const *)limits->allowed,
                                   version)
               ? GGW_EXPOSURE_OPEN
               : GGW_EXPOSURE_CLOSED;
}

enum ggw_exposure_class
ggw_exposure_classify(const struct ggw_exposure_limits *limits,
                      const char *version)
{
    bool target = ggw_exposure_is_target(limits, version);

    if (limits == NULL) {
        return GGW_EXPOSURE_OPEN;
    }
    switch (limits->stage) {
    case GGW_ROLLOUT_NONE:
        return classify_other(limits, version);
    case GGW_ROLLOUT_TRIAL:
        return target ? GGW_EXPOSURE_LIMITED : classify_other(limits, version);
    case GGW_ROLLOUT_SWITCHING:
    case GGW_ROLLOUT_COMPLETED:
        return target ? GGW_EXPOSURE_OPEN : GGW_EXPOSURE_CLOSED;
    case GGW_ROLLOUT_ROLLED_BACK:
        return target ? GGW_EXPOSURE_CLOSED : classify_other(limits, version);
    }
    return GGW_EXPOSURE_CLOSED;
}

bool
ggw_exposure_is_judged(const struct ggw_exposure_limits *limits)
{
    return limits != NULL && limits->order != 0 &&
           (limits->stage == GGW_ROLLOUT_TRIAL ||
            limits->stage == GGW_ROLLOUT_SWITCHING);
}

void
ggw_exposure_begin(struct ggw_exposure_counter *counter, uint64_t order,
                   double slack_share)
{
    *counter = (struct ggw_exposure_counter){.order = order,
                                             .slack_share = slack_share};
}

double
ggw_exposure_allowance(const struct ggw_exposure_limits *limits,
                       const struct ggw_exposure_counter *counter)
{
    return limits->percent * counter->requests / 100 +
           limits->slack * counter->slack_share - counter->target;
}

void
ggw_exposure_granted(struct ggw_exposure_counter *counter, bool first,
                     bool target)
{
    counter->requests += first;
    counter->target += target;
    counter->since_trial = target ? 0 : counter->since_trial + first;
}

void
ggw_exposure_returned(struct ggw_exposure_counter *counter, bool first,
                      bool target)
{
    counter->requests -= first && counter->requests > 0;
    counter->target -= target && counter->target > 0;
}

/**
 * struct route_counts - counts of one route
 * @old: results of all servers that do not run the new version
 * @trials: grants on servers of the new version
 * @servers: name of such a server to its struct ggw_rollout_sample
 */
struct route_counts {
    struct ggw_rollout_sample old;
    uint32_t trials;
    GHashTable *servers;
};

static void
route_counts_free(gpointer data)
{
    struct route_counts *counts = data;

    g_hash_table_destroy(counts->servers);
    g_free(counts);
}

struct ggw_exposure_tally {
    GHashTable *routes;
    uint64_t changes;
};

struct ggw_exposure_tally *
ggw_exposure_tally_new(void)
{
    struct ggw_exposure_tally *t = g_new0(struct ggw_exposure_tally, 1);

    t->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                      route_counts_free);
    return t;
}

void
ggw_exposure_tally_free(struct ggw_exposure_tally *t)
{
    if (t != NULL) {
        g_hash_table_destroy(t->routes);
        g_free(t);
    }
}

void
ggw_exposure_tally_reset(struct ggw_exposure_tally *t)
{
    g_hash_table_remove_all(t->routes);
    t->changes++;
}

uint64_t
ggw_exposure_tally_changes(const struct ggw_exposure_tally *t)
{
    return t->changes;
}

static const char *
route_name(const char *route)
{
    return route != NULL ? route : OTHER_ROUTES;
}

static struct route_counts *
ensure_route(struct ggw_exposure_tally *t, const char *route)
{
    const char *name = route_name(route);
    struct route_counts *counts = g_hash_table_lookup(t->routes, name);

    if (counts == NULL && g_hash_table_size(t->routes) >= MAX_ROUTES) {
        name = OTHER_ROUTES;
        counts = g_hash_table_lookup(t->routes, name);
    }
    if (counts == NULL) {
        counts = g_new0(struct route_counts, 1);
        counts->servers =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(t->routes, g_strdup(name), counts);
    }
    return counts;
}

bool
ggw_exposure_wants_trial(const struct ggw_exposure_limits *limits,
                         const struct ggw_exposure_counter *counter,
                         const char *route)
{
    double allowance = ggw_exposure_allowance(limits, counter);
    const struct route_counts *counts;

    if (allowance < 1 ||
        (counter->since_trial + 1) * limits->percent * CATCH_UP < 100) {
        return false;
    }
    if (allowance >= 1 + ROUTE_RESERVE) {
        return true;
    }
    counts = g_hash_table_lookup(limits->tally->routes, route_name(route));
    return counts == NULL ||
           counts->trials <=
               limits->percent * (counts->trials + counts->old.granted) / 100;
}

static struct ggw_rollout_sample *
ensure_sample(struct route_counts *counts, const char *server)
{
    struct ggw_rollout_sample *sample;

    if (server == NULL) {
        return &counts->old;
    }
    sample = g_hash_table_lookup(counts->servers, server);
    if (sample == NULL) {
        sample = g_new0(struct ggw_rollout_sample, 1);
        g_hash_table_insert(counts->servers, g_strdup(server), sample);
    }
    return sample;
}

void
ggw_exposure_tally_granted(struct ggw_exposure_tally *t, const char *route,
                           const char *server)
{
    struct route_counts *counts = ensure_route(t, route);

    counts->trials += server != NULL;
    ensure_sample(counts, server)->granted++;
    t->changes++;
}

static int
latency_bucket(ggw_ms latency)
{
    int bucket = latency > 1 ? (int)floor(2 * log2(latency)) : 0;

    return MIN(bucket, GGW_ROLLOUT_LATENCY_BUCKETS - 1);
}

void
ggw_exposure_tally_result(struct ggw_exposure_tally *t, const char *route,
                          const char *server, enum ggw_attempt_result result,
                          ggw_ms latency)
{
    struct ggw_rollout_sample *sample =
        ensure_sample(ensure_route(t, route), server);

    switch (result) {
    case GGW_ATTEMPT_OK:
        sample->latencies[latency_bucket(latency)]++;
        break;
    case GGW_ATTEMPT_ERROR:
    case GGW_ATTEMPT_REFUSED:
    case GGW_ATTEMPT_BROKEN:
    case GGW_ATTEMPT_SILENT:
        sample->failed++;
        break;
    case GGW_ATTEMPT_SHED:
    case GGW_ATTEMPT_CANCELLED:
    case GGW_ATTEMPT_UNUSED:
        return;
    }
    t->changes++;
}

static void
append_sample(GArray *samples, const struct ggw_rollout_sample *counts,
              const char *route, const char *server)
{
    struct ggw_rollout_sample sample = *counts;

    sample.route = g_strdup(route);
    sample.is_target = server != NULL;
    sample.server = g_strdup(server);
    g_array_append_val(samples, sample);
}

void
ggw_exposure_tally_samples(const struct ggw_exposure_tally *t, GArray *samples)
{
    GHashTableIter routes;
    GHashTableIter servers;
    gpointer route;
    gpointer server;
    gpointer value;

    g_hash_table_iter_init(&routes, t->routes);
    while (g_hash_table_iter_next(&routes, &route, &value)) {
        const struct route_counts *counts = value;

        append_sample(samples, &counts->old, route, NULL);
        g_hash_table_iter_init(&servers, counts->servers);
        while (g_hash_table_iter_next(&servers, &server, &value)) {
            append_sample(samples, value, route, server);
        }
    }
}
