#include <CUnit/CUnit.h>
#include <string.h>

#include "decide/exposure.h"
#include "tests/suite.h"

#define OWNERS 3
#define SEED 46

static const struct ggw_exposure_limits trial = {
    .order = 1,
    .stage = GGW_ROLLOUT_TRIAL,
    .target = "v2",
    .percent = 10,
    .slack = 6,
};

/*
 * Guards against requests on a version that the stage of a roll-out closes,
 * and against an outage of servers of which the version is not known.
 */
static void
test_classes(void)
{
    static const struct {
        enum ggw_rollout_stage stage;
        bool listed;
        enum ggw_exposure_class target, old, other, unknown;
    } cases[] = {
        {GGW_ROLLOUT_NONE, false, GGW_EXPOSURE_OPEN, GGW_EXPOSURE_OPEN,
         GGW_EXPOSURE_OPEN, GGW_EXPOSURE_OPEN},
        {GGW_ROLLOUT_NONE, true, GGW_EXPOSURE_CLOSED, GGW_EXPOSURE_OPEN,
         GGW_EXPOSURE_CLOSED, GGW_EXPOSURE_CLOSED},
        {GGW_ROLLOUT_TRIAL, false, GGW_EXPOSURE_LIMITED, GGW_EXPOSURE_OPEN,
         GGW_EXPOSURE_OPEN, GGW_EXPOSURE_OPEN},
        {GGW_ROLLOUT_TRIAL, true, GGW_EXPOSURE_LIMITED, GGW_EXPOSURE_OPEN,
         GGW_EXPOSURE_CLOSED, GGW_EXPOSURE_CLOSED},
        {GGW_ROLLOUT_SWITCHING, true, GGW_EXPOSURE_OPEN, GGW_EXPOSURE_CLOSED,
         GGW_EXPOSURE_CLOSED, GGW_EXPOSURE_CLOSED},
        {GGW_ROLLOUT_COMPLETED, false, GGW_EXPOSURE_OPEN, GGW_EXPOSURE_CLOSED,
         GGW_EXPOSURE_CLOSED, GGW_EXPOSURE_CLOSED},
        {GGW_ROLLOUT_ROLLED_BACK, false, GGW_EXPOSURE_CLOSED,
         GGW_EXPOSURE_OPEN, GGW_EXPOSURE_OPEN, GGW_EXPOSURE_OPEN},
        {GGW_ROLLOUT_ROLLED_BACK, true, GGW_EXPOSURE_CLOSED, GGW_EXPOSURE_OPEN,
         GGW_EXPOSURE_CLOSED, GGW_EXPOSURE_CLOSED},
    };
    char *allowed[] = {(char *)"v1", NULL};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ggw_exposure_limits limits = {
            .stage = cases[i].stage,
            .target = cases[i].stage != GGW_ROLLOUT_NONE ? "v2" : NULL,
            .allowed = cases[i].listed ? allowed : NULL,
        };

        CU_ASSERT_EQUAL(ggw_exposure_classify(&limits, "v2"), cases[i].target);
        CU_ASSERT_EQUAL(ggw_exposure_classify(&limits, "v1"), cases[i].old);
        CU_ASSERT_EQUAL(ggw_exposure_classify(&limits, "v0"), cases[i].other);
        CU_ASSERT_EQUAL(ggw_exposure_classify(&limits, NULL),
                        cases[i].unknown);
    }
    CU_ASSERT_EQUAL(ggw_exposure_classify(NULL, "v2"), GGW_EXPOSURE_OPEN);
    CU_ASSERT_FALSE(ggw_exposure_is_target(NULL, "v2"));
}

/*
 * Guards against a share of the new version that exceeds the limit at any
 * time, and against an allowance that stays unused: a good version would miss
 * its deadline.
 */
static void
test_share(void)
{
    struct ggw_exposure_counter counter;

    ggw_exposure_begin(&counter, 1, 0);
    for (int n = 1; n <= 5000; n++) {
        bool target = ggw_exposure_allowance(&trial, &counter) >= 1;

        ggw_exposure_granted(&counter, true, target);
        CU_ASSERT_TRUE(counter.target <= 0.1 * n);
        CU_ASSERT_TRUE(counter.target >= 0.1 * (n - 1) - 1);
    }
}

/*
 * Guards against a sum over several owners above the limit, although each is
 * within its own, also when owners change and the new ones know nothing.
 */
static void
test_sum_of_owners(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    struct ggw_exposure_counter owners[OWNERS];
    int requests = 0;
    int target = 0;

    for (int i = 0; i < OWNERS; i++) {
        ggw_exposure_begin(&owners[i], 1, 1.0 / OWNERS);
    }
    for (int n = 0; n < 5000; n++) {
        int i = g_rand_int_range(r, 0, 6) % OWNERS;
        bool trial_due = ggw_exposure_allowance(&trial, &owners[i]) >= 1;

        if (n % 400 == 399) {
            ggw_exposure_begin(&owners[i], 1, 0); /* another gateway takes over
                                                   */
            continue;
        }
        ggw_exposure_granted(&owners[i], true, trial_due);
        requests++;
        target += trial_due;
        CU_ASSERT_TRUE(target <= 0.1 * requests + trial.slack);
    }
    CU_ASSERT_TRUE(target > 0.08 * requests);
}

/*
 * Guards against retries and hedges that raise the allowance: a version that
 * fails each request would then get more of the clients' requests.
 */
static void
test_retries(void)
{
    struct ggw_exposure_counter counter;

    ggw_exposure_begin(&counter, 1, 0);
    for (int n = 0; n < 100; n++) {
        ggw_exposure_granted(&counter, false, false);
    }
    CU_ASSERT_TRUE(ggw_exposure_allowance(&trial, &counter) < 1);
    for (int n = 0; n < 10; n++) {
        ggw_exposure_granted(&counter, true, false);
    }
    ggw_exposure_granted(&counter, false, true);
    CU_ASSERT_TRUE(ggw_exposure_allowance(&trial, &counter) < 1);
}

/*
 * Guards against an allowance lost with each grant that came too late, and
 * against a counter that falls below 0.
 */
static void
test_unused(void)
{
    struct ggw_exposure_counter counter;

    ggw_exposure_begin(&counter, 1, 0);
    for (int n = 0; n < 10; n++) {
        ggw_exposure_granted(&counter, true, false);
    }
    ggw_exposure_granted(&counter, true, true);
    CU_ASSERT_TRUE(ggw_exposure_allowance(&trial, &counter) < 1);
    ggw_exposure_returned(&counter, true, true);
    CU_ASSERT_TRUE(ggw_exposure_allowance(&trial, &counter) >= 1);
    ggw_exposure_returned(&counter, true, false);
    CU_ASSERT_TRUE(ggw_exposure_allowance(&trial, &counter) < 1);
    ggw_exposure_begin(&counter, 1, 0);
    ggw_exposure_returned(&counter, true, true);
    CU_ASSERT_EQUAL(counter.requests, 0);
    CU_ASSERT_EQUAL(counter.target, 0);
}

/*
 * Guards against a route that no trial reaches, because its requests arrive in
 * step with the growth of the allowance or are rare: a version may be bad on
 * one route only.
 */
static void
test_routes(void)
{
    static const char *const routes[] = {"a", "b", "c"};
    struct ggw_exposure_tally *t = ggw_exposure_tally_new();
    struct ggw_exposure_limits limits = trial;
    struct ggw_exposure_counter counter;
    int trials[G_N_ELEMENTS(routes)] = {0};

    limits.tally = t;
    ggw_exposure_begin(&counter, 1, 0);
    for (int n = 0; n < 2000; n++) {
        /* A tenth request of "a"; "c" is one in 50. */
        int route = n % 50 == 25 ? 2 : n % 10 == 0 ? 0 : 1;
        bool target =
            ggw_exposure_wants_trial(&limits, &counter, routes[route]);

        ggw_exposure_granted(&counter, true, target);
        ggw_exposure_tally_granted(t, routes[route], target ? "s" : NULL);
        trials[route] += target;
    }
    CU_ASSERT_TRUE(trials[0] >= 15);
    CU_ASSERT_TRUE(trials[1] >= 140);
    CU_ASSERT_TRUE(trials[2] >= 3);
    ggw_exposure_tally_free(t);
}

/*
 * Guards against a version on trial that gets most requests for a while,
 * because its servers were not ready while the allowance grew, and against an
 * allowance that is not used up then.
 */
static void
test_grown_allowance(void)
{
    struct ggw_exposure_tally *t = ggw_exposure_tally_new();
    struct ggw_exposure_limits limits = trial;
    struct ggw_exposure_counter counter;

    limits.tally = t;
    ggw_exposure_begin(&counter, 1, 0);
    for (int n = 0; n < 2000; n++) {
        ggw_exposure_granted(&counter, true, false);
    }
    for (int n = 1; n <= 2000; n++) {
        ggw_exposure_granted(&counter, true,
                             ggw_exposure_wants_trial(&limits, &counter, "a"));
        CU_ASSERT_TRUE(counter.target <= 0.3 * n + 1);
    }
    CU_ASSERT_TRUE(counter.target >= 0.1 * counter.requests - 1);
    ggw_exposure_tally_free(t);
}

static const struct ggw_rollout_sample *
find_sample(const GArray *samples, const char *route, const char *server)
{
    for (guint i = 0; i < samples->len; i++) {
        const struct ggw_rollout_sample *s =
            &g_array_index(samples, struct ggw_rollout_sample, i);

        if (strcmp(s->route, route) == 0 &&
            g_strcmp0(s->server, server) == 0) {
            CU_ASSERT_EQUAL(s->is_target, server != NULL);
            return s;
        }
    }
    CU_FAIL_FATAL("no such sample");
    return NULL;
}

/*
 * Guards against results that count for the wrong version, and against
 * failures that say nothing about a version: shed or cancelled attempts.
 */
static void
test_tally(void)
{
    struct ggw_exposure_tally *t = ggw_exposure_tally_new();
    struct ggw_message *m = ggw_rollout_counts_new("T", "S");
    GArray *samples = ((struct ggw_rollout_counts *)m)->samples;
    const struct ggw_rollout_sample *s;
    uint64_t changes;

    ggw_exposure_tally_granted(t, "r", "n1");
    for (int result = 0; result <= GGW_ATTEMPT_UNUSED; result++) {
        ggw_exposure_tally_result(t, "r", "n1",
                                  (enum ggw_attempt_result)result, 100);
    }
    ggw_exposure_tally_granted(t, "r", NULL);
    ggw_exposure_tally_result(t, "r", NULL, GGW_ATTEMPT_OK, 0.2);
    ggw_exposure_tally_result(t, "r", NULL, GGW_ATTEMPT_OK, 1e9);
    changes = ggw_exposure_tally_changes(t);
    ggw_exposure_tally_result(t, "r", NULL, GGW_ATTEMPT_CANCELLED, 1);
    CU_ASSERT_EQUAL(ggw_exposure_tally_changes(t), changes);
    ggw_exposure_tally_samples(t, samples);
    s = find_sample(samples, "r", "n1");
    CU_ASSERT_EQUAL(s->granted, 1);
    CU_ASSERT_EQUAL(s->failed, 4);
    CU_ASSERT_EQUAL(s->latencies[13], 1); /* 90.5 to 128 ms */
    s = find_sample(samples, "r", NULL);
    CU_ASSERT_EQUAL(s->granted, 1);
    CU_ASSERT_EQUAL(s->failed, 0);
    CU_ASSERT_EQUAL(s->latencies[0], 1);
    CU_ASSERT_EQUAL(s->latencies[GGW_ROLLOUT_LATENCY_BUCKETS - 1], 1);
    m->ops->destroy(m);
    ggw_exposure_tally_free(t);
}

/* Guards against memory that grows with each name that a gateway sends. */
static void
test_many_routes(void)
{
    struct ggw_exposure_tally *t = ggw_exposure_tally_new();
    struct ggw_message *m = ggw_rollout_counts_new("T", "S");
    GArray *samples = ((struct ggw_rollout_counts *)m)->samples;

    for (int i = 0; i < 2000; i++) {
        g_autofree char *route = g_strdup_printf("r%d", i);

        ggw_exposure_tally_granted(t, route, NULL);
    }
    ggw_exposure_tally_samples(t, samples);
    CU_ASSERT_EQUAL(samples->len, 257);
    CU_ASSERT_EQUAL(find_sample(samples, "", NULL)->granted, 2000 - 256);
    m->ops->destroy(m);
    ggw_exposure_tally_free(t);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"classes", test_classes},
        {"share", test_share},
        {"sum of owners", test_sum_of_owners},
        {"retries", test_retries},
        {"unused grants", test_unused},
        {"routes", test_routes},
        {"grown allowance", test_grown_allowance},
        {"tally", test_tally},
        {"many routes", test_many_routes},
        CU_TEST_INFO_NULL,
    };

    return suite_run("exposure", tests);
}
