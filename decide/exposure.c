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

void
ggw_exposure_begin(struct ggw_exposure_counter *counter, uint64_t order,
                   double slack)
{
    *counter = (struct ggw_exposure_counter){.order = order, .slack = slack};
}

double
ggw_exposure_allowance(const struct ggw_exposure_limits *limits,
                       const struct ggw_exposure_counter *counter)
{
    return limits->percent * counter->requests / 100 + counter->slack -
           counter->target;
}

void
ggw_exposure_granted(struct ggw_exposure_counter *counter, bool first,
                     bool target)
{
    counter->requests += first;
    counter->target += target;
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
 * @samples: results of the other versions and of the new one
 */
struct route_counts {
    struct ggw_rollout_sample samples[2];
};

struct ggw_exposure_tally {
    GHashTable *routes;
    uint64_t changes;
};

struct ggw_exposure_tally *
ggw_exposure_tally_new(void)
{
    struct ggw_exposure_tally *t = g_new0(struct ggw_exposure_tally, 1);

    t->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
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

static struct route_counts *
ensure_route(struct ggw_exposure_tally *t, const char *route)
{
    const char *name = route != NULL ? route : OTHER_ROUTES;
    struct route_counts *counts = g_hash_table_lookup(t->routes, name);

    if (counts == NULL && g_hash_table_size(t->routes) >= MAX_ROUTES) {
        name = OTHER_ROUTES;
        counts = g_hash_table_lookup(t->routes, name);
    }
    if (counts == NULL) {
        counts = g_new0(struct route_counts, 1);
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
    double trials;
    double requests;

    if (allowance < 1 || allowance >= 1 + ROUTE_RESERVE) {
        return allowance >= 1;
    }
    counts = ensure_route(limits->tally, route);
    trials = counts->samples[true].granted;
    requests = trials + counts->samples[false].granted;
    return trials <= limits->percent * requests / 100;
}

void
ggw_exposure_tally_granted(struct ggw_exposure_tally *t, const char *route,
                           bool target)
{
    ensure_route(t, route)->samples[target].granted++;
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
                          bool target, enum ggw_attempt_result result,
                          ggw_ms latency)
{
    struct ggw_rollout_sample *sample =
        &ensure_route(t, route)->samples[target];

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

void
ggw_exposure_tally_samples(const struct ggw_exposure_tally *t, GArray *samples)
{
    GHashTableIter iter;
    gpointer route;
    gpointer value;

    g_hash_table_iter_init(&iter, t->routes);
    while (g_hash_table_iter_next(&iter, &route, &value)) {
        const struct route_counts *counts = value;

        for (int target = 0; target < 2; target++) {
            struct ggw_rollout_sample sample = counts->samples[target];

            sample.route = g_strdup(route);
            sample.is_target = target;
            g_array_append_val(samples, sample);
        }
    }
}
