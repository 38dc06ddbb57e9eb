#include "decide/rollout.h"

#include <math.h>
#include <string.h>

/*
 * Failures: the share that a good version has at least, by which the logarithm
 * of the likelihood ratio is not ruled by a handful of failures; weight of
 * that share beside the results of the others; and how a bad version's share
 * follows from it: FAILED_FACTOR times as much and FAILED_MORE.
 */
#define FAILED_FLOOR 0.03
#define FAILED_FLOOR_WEIGHT 20
#define FAILED_FACTOR 2
#define FAILED_MORE 0.09

/*
 * Slowness: a result is slow when it took at least SLOW_FACTOR times the
 * others' median. Shares of a good and of a bad version as above; the share of
 * a good one is at most SLOW_MOST, because the others' slow results come from
 * servers that are slow for a time and not from each server at all times.
 */
#define SLOW_FACTOR 2.5
#define SLOW_FLOOR 0.05
#define SLOW_MOST 0.12
#define SLOW_FLOOR_WEIGHT 20
#define SLOW_MORE 0.3

/* The share of failures is not taken to be higher for a bad version. */
#define FAILED_MOST 0.95

/* Fewest results of the others on a route that tell their median. */
#define MIN_REFERENCE 10

/* The others' shares follow about this many of their last results. */
#define REFERENCE_RESULTS 400

/*
 * Sequential test of failures: a version is bad when the cumulative sum of the
 * logarithm of the likelihood ratio reaches the threshold, whichever group is
 * left out. exp(-10) bounds the chance that independent results of a good
 * version do so from one start of the sum.
 */
#define FAILED_THRESHOLD 10

/*
 * Sequential test of slowness: servers that share machines with noisy
 * neighbours are slow for seconds, so that results in a row are not
 * independent. The sum of each single group has to stay above a threshold for
 * SLOW_PERSISTS ms at the same time. A sum is limited, so that it falls soon
 * when the group is no longer slow.
 */
#define SLOW_THRESHOLD 6
#define SLOW_SUM_MAX 7
#define SLOW_PERSISTS 2500.0

/* Groups with fewer results on a route are left out of its test of slowness.
 */
#define SLOW_MIN_RESULTS 5

/* Thresholds are this many times as high when the results are of one group. */
#define ONE_GROUP_FACTOR 1.5

/* The same for slowness while the load of the servers grows. */
#define SWITCHING_FACTOR 1.3

/*
 * Tests over all results, for shares too low for the sequential tests: number
 * of standard deviations, excess of the share, and number of bad results.
 */
#define FAILED_DEVIATIONS 6
#define FAILED_EXCESS 0.04
#define FAILED_MIN 15
#define SLOW_DEVIATIONS 3
#define SLOW_EXCESS 0.15
#define SLOW_MIN 6

/* Bounds of the time from the switch to the deadline, ms. */
#define SWITCH_MIN 3500.0
#define SWITCH_MAX 15000.0

/* Time for messages to all gateways and for the write to the store, ms. */
#define SWITCH_OVERHEAD 1500.0

/* The switch takes at most this part of the time to the deadline. */
#define SWITCH_SHARE 0.35

/*
 * The switch waits for this time at most, in ms, when the results of the new
 * version begin to look bad. They are then so already when they reach
 * DOUBT_FACTOR of the threshold of failures.
 */
#define SWITCH_HOLD 1000.0
#define DOUBT_FACTOR 0.5

/*
 * Time without any other server after which the new version gets all requests,
 * in ms. Entries that the platform has dropped during an outage of its store
 * are back within about 2 s of its return.
 */
#define OTHERS_GONE 5000.0

/**
 * struct reference - results of the others on a route
 * @results, @failed, @latencies: weighted; older results count less
 */
struct reference {
    double results;
    double failed;
    double latencies[GGW_ROLLOUT_LATENCY_BUCKETS];
};

/**
 * struct test - one test of a share
 * @sum: cumulative sum of the logarithm of the likelihood ratio
 * @results: number of results
 * @excess: results with the property beyond the expected number
 * @variance: of the expected number
 * @hits: results with the property
 */
struct test {
    double sum;
    double results;
    double excess;
    double variance;
    double hits;
};

enum test_kind {
    TEST_FAILED,
    TEST_SLOW,
    TESTS,
};

/**
 * struct group - tests of the results of the new version, by group
 * @own: over the results of the group
 * @without: over the results of all other groups
 */
struct group {
    struct test own[TESTS];
    struct test without[TESTS];
};

/**
 * struct route - results on one route, or on all
 * @name: name of the route
 * @reference: results of the others
 * @others: their number
 * @results: results of the new version
 * @all: tests over all groups
 * @groups: name of a group to struct group
 * @slow_since: since when all groups are slow, monotonic ms; INFINITY if not
 */
struct route {
    char *name;
    struct reference reference;
    uint64_t others;
    uint64_t results;
    struct test all[TESTS];
    GHashTable *groups;
    ggw_ms slow_since;
};

/**
 * struct reported - counts that a gateway has reported last
 * @epoch: when it began to count
 * @sample: counts; the texts are unset
 */
struct reported {
    uint64_t epoch;
    struct ggw_rollout_sample sample;
};

/**
 * struct ggw_rollout_judge - the judge
 * @routes: name to struct route
 * @pooled: results on all routes
 * @reported: reporter, route and server to struct reported
 * @groups: server to the name of its group
 * @totals: counts of all results
 */
struct ggw_rollout_judge {
    GHashTable *routes;
    struct route *pooled;
    GHashTable *reported;
    GHashTable *groups;
    struct ggw_rollout_finding totals;
};

static struct route *
route_new(const char *name)
{
    struct route *r = g_new0(struct route, 1);

    r->name = g_strdup(name);
    r->groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    r->slow_since = INFINITY;
    return r;
}

static void
route_free(gpointer data)
{
    struct route *r = data;

    g_hash_table_unref(r->groups);
    g_free(r->name);
    g_free(r);
}

struct ggw_rollout_judge *
ggw_rollout_judge_new(void)
{
    struct ggw_rollout_judge *j = g_new0(struct ggw_rollout_judge, 1);

    j->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, route_free);
    j->pooled = route_new("all routes");
    j->reported =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    j->groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return j;
}

void
ggw_rollout_judge_free(struct ggw_rollout_judge *j)
{
    if (j == NULL) {
        return;
    }
    g_hash_table_unref(j->routes);
    route_free(j->pooled);
    g_hash_table_unref(j->reported);
    g_hash_table_unref(j->groups);
    g_free(j);
}

void
ggw_rollout_judge_group(struct ggw_rollout_judge *j, const char *server,
                        const char *group)
{
    if (!g_hash_table_contains(j->groups, server)) {
        g_hash_table_insert(j->groups, g_strdup(server), g_strdup(group));
    }
}

static struct route *
get_route(struct ggw_rollout_judge *j, const char *name)
{
    struct route *r = g_hash_table_lookup(j->routes, name);

    if (r == NULL) {
        r = route_new(name);
        g_hash_table_insert(j->routes, r->name, r);
    }
    return r;
}

static uint32_t
grown(uint32_t now, uint32_t before)
{
    return now > before ? now - before : 0;
}

/* Returns what @sample has grown by since the reporter's last report. */
static struct ggw_rollout_sample
take_growth(struct ggw_rollout_judge *j, const char *reporter, uint64_t epoch,
            const struct ggw_rollout_sample *sample)
{
    g_autofree char *key = g_strdup_printf(
        "%s\n%s\n%d%s", reporter, sample->route, sample->is_target,
        sample->server != NULL ? sample->server : "");
    struct reported *r = g_hash_table_lookup(j->reported, key);
    struct ggw_rollout_sample out = *sample;

    if (r == NULL) {
        r = g_new0(struct reported, 1);
        g_hash_table_insert(j->reported, g_steal_pointer(&key), r);
    }
    if (r->epoch == epoch) {
        out.granted = grown(sample->granted, r->sample.granted);
        out.failed = grown(sample->failed, r->sample.failed);
        for (int i = 0; i < GGW_ROLLOUT_LATENCY_BUCKETS; i++) {
            out.latencies[i] =
                grown(sample->latencies[i], r->sample.latencies[i]);
        }
    }
    r->epoch = epoch;
    r->sample = *sample;
    r->sample.route = NULL;
    r->sample.server = NULL;
    return out;
}

static uint32_t
count_successes(const struct ggw_rollout_sample *s)
{
    uint32_t n = 0;

    for (int i = 0; i < GGW_ROLLOUT_LATENCY_BUCKETS; i++) {
        n += s->latencies[i];
    }
    return n;
}

static void
add_reference(struct ggw_rollout_judge *j, const struct ggw_rollout_sample *s)
{
    struct route *route = get_route(j, s->route);
    struct reference *r = &route->reference;
    uint32_t n = count_successes(s) + s->failed;
    double keep = exp(-(double)n / REFERENCE_RESULTS);

    route->others += n;
    r->results = r->results * keep + n;
    r->failed = r->failed * keep + s->failed;
    for (int i = 0; i < GGW_ROLLOUT_LATENCY_BUCKETS; i++) {
        r->latencies[i] = r->latencies[i] * keep + s->latencies[i];
    }
    j->totals.others += n;
    j->totals.others_failed += s->failed;
    j->totals.others_granted += s->granted;
}

/*
 * Returns the first bucket of slow results on a route;
 * GGW_ROLLOUT_LATENCY_BUCKETS if the others' median is not known.
 */
static int
get_slow_bucket(const struct reference *r)
{
    int factor = (int)lround(2 * log2(SLOW_FACTOR));
    double successes = r->results - r->failed;
    double n = 0;

    if (successes < MIN_REFERENCE) {
        return GGW_ROLLOUT_LATENCY_BUCKETS;
    }
    for (int i = 0; i < GGW_ROLLOUT_LATENCY_BUCKETS; i++) {
        n += r->latencies[i];
        if (n >= successes / 2) {
            return MIN(i + factor, GGW_ROLLOUT_LATENCY_BUCKETS - 1);
        }
    }
    return GGW_ROLLOUT_LATENCY_BUCKETS;
}

static double
sum_from(const double *latencies, int bucket)
{
    double n = 0;

    for (int i = bucket; i < GGW_ROLLOUT_LATENCY_BUCKETS; i++) {
        n += latencies[i];
    }
    return n;
}

static uint32_t
count_slow(const struct ggw_rollout_sample *s, int bucket)
{
    uint32_t n = 0;

    for (int i = bucket; i < GGW_ROLLOUT_LATENCY_BUCKETS; i++) {
        n += s->latencies[i];
    }
    return n;
}

/* Share of a good version: as the others have it, and at least @floor. */
static double
good_share(double hits, double results, double floor, double weight)
{
    return MAX((hits + floor * weight) / (results + weight), floor);
}

/**
 * struct growth - new results of one group, as a test sees them
 * @results: number of results
 * @hits: those that have the property
 * @expected: share that the others have, and at least the floor
 * @good, @bad: shares of a good and of a bad version for the sequential test
 * @sum_max: limit of struct test.sum
 */
struct growth {
    double results;
    double hits;
    double expected;
    double good;
    double bad;
    double sum_max;
};

static void
add_to_test(struct test *t, const struct growth *g)
{
    double other = g->results - g->hits;

    if (g->results <= 0) {
        return;
    }
    t->sum += g->hits * log(g->bad / g->good) +
              other * log((1 - g->bad) / (1 - g->good));
    t->sum = CLAMP(t->sum, 0, g->sum_max);
    t->results += g->results;
    t->hits += g->hits;
    t->excess += g->hits - g->results * g->expected;
    t->variance += g->results * g->expected * (1 - g->expected);
}

static void
add_to_tests(struct test tests[TESTS], const struct growth growth[TESTS])
{
    for (int i = 0; i < TESTS; i++) {
        add_to_test(&tests[i], &growth[i]);
    }
}

/* Returns the tests of a group. So far, all results are of other groups. */
static struct group *
get_group_tests(struct route *r, const char *name)
{
    struct group *g = g_hash_table_lookup(r->groups, name);

    if (g == NULL) {
        g = g_new0(struct group, 1);
        memcpy(g->without, r->all, sizeof(g->without));
        g_hash_table_insert(r->groups, g_strdup(name), g);
    }
    return g;
}

static void
add_to_route(struct route *r, const char *group,
             const struct growth growth[TESTS])
{
    struct group *own = get_group_tests(r, group);
    GHashTableIter iter;
    gpointer value;

    add_to_tests(r->all, growth);
    add_to_tests(own->own, growth);
    r->results += (uint64_t)growth[TEST_FAILED].results;
    g_hash_table_iter_init(&iter, r->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (value != own) {
            add_to_tests(((struct group *)value)->without, growth);
        }
    }
}

static const char *
get_group(const struct ggw_rollout_judge *j, const char *server)
{
    const char *group =
        server != NULL ? g_hash_table_lookup(j->groups, server) : NULL;

    return group != NULL ? group : server != NULL ? server : "";
}

static void
add_target(struct ggw_rollout_judge *j, const struct ggw_rollout_sample *s)
{
    struct route *route = get_route(j, s->route);
    const struct reference *r = &route->reference;
    int slow_bucket = get_slow_bucket(r);
    uint32_t successes = count_successes(s);
    uint32_t slow = count_slow(s, slow_bucket);
    struct growth growth[TESTS] = {
        [TEST_FAILED] = {.results = successes + s->failed,
                         .hits = s->failed,
                         .sum_max = INFINITY},
        [TEST_SLOW] = {.results = successes,
                       .hits = slow,
                       .sum_max = SLOW_SUM_MAX},
    };
    struct growth *failed = &growth[TEST_FAILED];
    struct growth *slowness = &growth[TEST_SLOW];

    failed->expected =
        good_share(r->failed, r->results, FAILED_FLOOR, FAILED_FLOOR_WEIGHT);
    failed->bad =
        MIN(FAILED_FACTOR * failed->expected + FAILED_MORE, FAILED_MOST);
    failed->good = MIN(failed->expected, failed->bad);
    slowness->expected =
        good_share(sum_from(r->latencies, slow_bucket), r->results - r->failed,
                   SLOW_FLOOR, SLOW_FLOOR_WEIGHT);
    slowness->good = MIN(slowness->expected, SLOW_MOST);
    slowness->bad = slowness->good + SLOW_MORE;
    if (slow_bucket == GGW_ROLLOUT_LATENCY_BUCKETS) {
        slowness->results = 0;
    }
    add_to_route(route, get_group(j, s->server), growth);
    add_to_route(j->pooled, get_group(j, s->server), growth);
    j->totals.results += successes + s->failed;
    j->totals.failed += s->failed;
    j->totals.slow += slow;
    j->totals.granted += s->granted;
}

void
ggw_rollout_judge_add(struct ggw_rollout_judge *j, const char *reporter,
                      uint64_t epoch, const GArray *samples)
{
    g_autoptr(GArray) growth =
        g_array_new(FALSE, FALSE, sizeof(struct ggw_rollout_sample));

    for (guint i = 0; i < samples->len; i++) {
        struct ggw_rollout_sample s =
            take_growth(j, reporter, epoch,
                        &g_array_index(samples, struct ggw_rollout_sample, i));

        g_array_append_val(growth, s);
        if (!s.is_target) {
            add_reference(j, &s);
        }
    }
    /* The others' results of the same time are known by now. */
    for (guint i = 0; i < growth->len; i++) {
        const struct ggw_rollout_sample *s =
            &g_array_index(growth, struct ggw_rollout_sample, i);

        if (s->is_target) {
            add_target(j, s);
        }
    }
}

static bool
is_failing(const struct test *t, double factor)
{
    return t->sum >= FAILED_THRESHOLD * factor ||
           (t->hits >= FAILED_MIN * factor &&
            t->excess >= FAILED_EXCESS * t->results &&
            t->excess >= FAILED_DEVIATIONS * factor * sqrt(t->variance));
}

static bool
is_slow(const struct test *t, double factor)
{
    return t->sum >= MIN(SLOW_THRESHOLD * factor, SLOW_SUM_MAX) ||
           (t->hits >= SLOW_MIN * factor &&
            t->excess >= SLOW_EXCESS * t->results &&
            t->excess >= SLOW_DEVIATIONS * factor * sqrt(t->variance));
}

/*
 * Whether the version fails on a route, whichever group is left out. With a
 * single group, its results alone decide.
 */
static bool
route_fails(const struct route *r, double factor)
{
    GHashTableIter iter;
    gpointer value;

    if (g_hash_table_size(r->groups) < 2) {
        return is_failing(&r->all[TEST_FAILED], factor * ONE_GROUP_FACTOR);
    }
    g_hash_table_iter_init(&iter, r->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct group *g = value;

        if (!is_failing(&g->without[TEST_FAILED], factor)) {
            return false;
        }
    }
    return true;
}

/* Whether each group with results is slow on a route. */
static bool
route_is_slow(const struct route *r, double factor)
{
    GHashTableIter iter;
    gpointer value;
    int groups = 0;

    if (g_hash_table_size(r->groups) < 2) {
        return is_slow(&r->all[TEST_SLOW], factor * ONE_GROUP_FACTOR);
    }
    g_hash_table_iter_init(&iter, r->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct test *own = &((struct group *)value)->own[TEST_SLOW];

        if (own->results < SLOW_MIN_RESULTS) {
            continue;
        }
        if (!is_slow(own, factor)) {
            return false;
        }
        groups++;
    }
    return groups >= 2;
}

static void
set_bad(struct ggw_rollout_finding *f, const struct route *r,
        enum test_kind kind)
{
    static const char *const names[TESTS] = {"failed", "were slow"};
    const struct test *t = &r->all[kind];

    f->bad = true;
    snprintf(f->reason, sizeof(f->reason),
             "%.0f of %.0f results %s on %.60s, %.1f expected", t->hits,
             t->results, names[kind], r->name, t->hits - t->excess);
}

static bool
check_route(struct route *r, ggw_ms now, bool switching,
            struct ggw_rollout_finding *f)
{
    f->doubtful |= route_fails(r, DOUBT_FACTOR);
    if (route_fails(r, 1)) {
        set_bad(f, r, TEST_FAILED);
    }
    if (!route_is_slow(r, switching ? SWITCHING_FACTOR : 1)) {
        r->slow_since = INFINITY;
        return f->bad;
    }
    r->slow_since = MIN(r->slow_since, now);
    f->maybe_slow = true;
    if (!f->bad && now - r->slow_since >= SLOW_PERSISTS) {
        set_bad(f, r, TEST_SLOW);
    }
    return f->bad;
}

static void
check_amount(const struct ggw_rollout_judge *j, struct ggw_rollout_finding *f)
{
    GHashTableIter iter;
    gpointer value;

    f->enough = f->results >= GGW_ROLLOUT_MIN_RESULTS;
    if (!f->enough) {
        snprintf(f->reason, sizeof(f->reason),
                 "%" G_GUINT64_FORMAT " results, %d are needed",
                 (guint64)f->results, GGW_ROLLOUT_MIN_RESULTS);
        return;
    }
    g_hash_table_iter_init(&iter, j->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct route *r = value;

        if (r->others >= GGW_ROLLOUT_ROUTE_OTHERS &&
            r->results < GGW_ROLLOUT_ROUTE_RESULTS) {
            f->enough = false;
            snprintf(f->reason, sizeof(f->reason),
                     "%" G_GUINT64_FORMAT " results on route %.60s, "
                     "%d are needed",
                     (guint64)r->results, r->name, GGW_ROLLOUT_ROUTE_RESULTS);
            return;
        }
    }
}

struct ggw_rollout_finding
ggw_rollout_judge_find(struct ggw_rollout_judge *j, ggw_ms now, bool switching)
{
    struct ggw_rollout_finding f = j->totals;
    GHashTableIter iter;
    gpointer value;

    check_amount(j, &f);
    if (check_route(j->pooled, now, switching, &f)) {
        return f;
    }
    g_hash_table_iter_init(&iter, j->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (check_route(value, now, switching, &f)) {
            return f;
        }
    }
    return f;
}

ggw_ms
ggw_rollout_switch_at(ggw_ms ordered_at, ggw_ms deadline,
                      ggw_ms longest_request)
{
    ggw_ms duration = deadline - ordered_at;
    ggw_ms most = MIN(SWITCH_MAX, SWITCH_SHARE * duration);
    ggw_ms needed = MAX(longest_request + SWITCH_OVERHEAD, SWITCH_MIN);

    return deadline - MIN(needed, most);
}

static struct ggw_rollout_step
step_to(enum ggw_rollout_stage stage, const char *reason)
{
    struct ggw_rollout_step step = {.stage = stage};

    g_strlcpy(step.reason, reason, sizeof(step.reason));
    return step;
}

static struct ggw_rollout_step
step_from_trial(const struct ggw_rollout_view *v)
{
    ggw_ms switch_at =
        ggw_rollout_switch_at(v->ordered_at, v->deadline, v->longest_request);

    if (v->proven) {
        return step_to(GGW_ROLLOUT_SWITCHING,
                       "the version was in use before the order");
    }
    if (v->finding.bad) {
        return step_to(GGW_ROLLOUT_ROLLED_BACK, v->finding.reason);
    }
    if (v->target_servers > 0 && v->now - v->others_gone_at >= OTHERS_GONE) {
        return step_to(GGW_ROLLOUT_SWITCHING,
                       "no server of another version is registered");
    }
    if (v->now < switch_at ||
        ((v->finding.doubtful || v->finding.maybe_slow) &&
         v->now < switch_at + SWITCH_HOLD)) {
        return step_to(GGW_ROLLOUT_TRIAL, "");
    }
    if (v->target_servers == 0) {
        return step_to(GGW_ROLLOUT_ROLLED_BACK,
                       "no server of the version is registered");
    }
    if (!v->finding.enough) {
        return step_to(GGW_ROLLOUT_ROLLED_BACK, v->finding.reason);
    }
    if (v->finding.doubtful) {
        return step_to(GGW_ROLLOUT_ROLLED_BACK,
                       "failures increase shortly before the switch");
    }
    return step_to(GGW_ROLLOUT_SWITCHING, "the results are as good as those "
                                          "of the other versions");
}

static struct ggw_rollout_step
step_from_switching(const struct ggw_rollout_view *v)
{
    bool others_gone = v->now - v->others_gone_at >= OTHERS_GONE;

    if (v->finding.bad && !v->proven && !others_gone) {
        return step_to(GGW_ROLLOUT_ROLLED_BACK, v->finding.reason);
    }
    if (v->drained) {
        return step_to(GGW_ROLLOUT_COMPLETED,
                       "no request is in progress on other versions");
    }
    return step_to(GGW_ROLLOUT_SWITCHING, "");
}

struct ggw_rollout_step
ggw_rollout_next(const struct ggw_rollout_view *view)
{
    switch (view->stage) {
    case GGW_ROLLOUT_TRIAL:
        return step_from_trial(view);
    case GGW_ROLLOUT_SWITCHING:
        return step_from_switching(view);
    case GGW_ROLLOUT_NONE:
    case GGW_ROLLOUT_COMPLETED:
    case GGW_ROLLOUT_ROLLED_BACK:
        break;
    }
    return step_to(view->stage, "");
}

bool
ggw_rollout_is_drained(const struct ggw_rollout_report *report, ggw_ms now,
                       uint64_t term, ggw_ms longest_request)
{
    if (report->state == GGW_MEMBER_DEAD) {
        return now - report->dead_since >= longest_request;
    }
    return now - report->heard_at <= GGW_ROLLOUT_REPORT_VALID &&
           report->term == term && report->old_requests == 0;
}
