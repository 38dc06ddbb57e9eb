#include <CUnit/Basic.h>
#include <math.h>

#include "decide/limit.h"
#include "decide/policy.h"

#define SEED 19
#define SERVERS 6
#define PICKS 6000

static struct ggw_policy
policy(const char *name, GRand *rand)
{
    return (struct ggw_policy){.ops = ggw_policy_find(name), .rand = rand};
}

/* Counts picks of each server out of PICKS. */
static void
count_picks(struct ggw_policy *p, const struct ggw_candidate *c, size_t len,
            int *counts)
{
    for (size_t i = 0; i < len; i++) {
        counts[i] = 0;
    }
    for (int i = 0; i < PICKS; i++) {
        size_t at = ggw_policy_pick(p, c, len, 0);

        if (at < len) {
            counts[at]++;
        }
    }
}

/*
 * Guards against a policy that sends work to a full, draining, ejected or
 * already tried server, or to none while one could take it.
 */
static void
test_eligible(void)
{
    GRand *rand = g_rand_new_with_seed(SEED);
    int broken = 0;

    for (const char *const *name = ggw_policy_names(); *name; name++) {
        struct ggw_policy p = policy(*name, rand);

        for (int n = 0; n < PICKS; n++) {
            struct ggw_candidate c[SERVERS] = {0};
            int usable = 0;
            size_t at;

            for (int i = 0; i < SERVERS; i++) {
                c[i].limit = g_rand_int_range(rand, 0, 3);
                c[i].in_flight = g_rand_int_range(rand, 0, 3);
                c[i].avoid = g_rand_int_range(rand, 0, 3) == 0;
                c[i].reported = g_rand_boolean(rand);
                c[i].load = g_rand_int_range(rand, 0, 9);
                usable += !c[i].avoid && c[i].in_flight < c[i].limit;
            }
            at = ggw_policy_pick(&p, c, SERVERS, n);
            broken += (at == GGW_POLICY_NONE) != (usable == 0);
            broken += at != GGW_POLICY_NONE &&
                      (c[at].avoid || c[at].in_flight >= c[at].limit);
        }
        CU_ASSERT_EQUAL(ggw_policy_pick(&p, NULL, 0, 0), GGW_POLICY_NONE);
    }
    CU_ASSERT_EQUAL(broken, 0);
    CU_ASSERT_PTR_NULL(ggw_policy_find("best"));
    g_rand_free(rand);
}

/* Guards against ties that all go to the same server. */
static void
test_spread(void)
{
    GRand *rand = g_rand_new_with_seed(SEED);

    for (const char *const *name = ggw_policy_names(); *name; name++) {
        struct ggw_policy p = policy(*name, rand);
        struct ggw_candidate c[SERVERS] = {0};
        int counts[SERVERS];

        for (int i = 0; i < SERVERS; i++) {
            c[i].limit = 2;
        }
        count_picks(&p, c, SERVERS, counts);
        for (int i = 0; i < SERVERS; i++) {
            /* 1000 expected, standard deviation 29 */
            CU_ASSERT_TRUE(counts[i] > 850 && counts[i] < 1150);
        }
    }
    g_rand_free(rand);
}

/* Guards against an owner that queues on a server while another is idle. */
static void
test_least_busy(void)
{
    GRand *rand = g_rand_new_with_seed(SEED);
    struct ggw_policy p = policy("slots", rand);
    struct ggw_candidate c[] = {
        {.limit = 4, .in_flight = 2},
        {.limit = 4, .in_flight = 1},
        {.limit = 2, .in_flight = 1},
        {.limit = 1, .in_flight = 1}, /* cold */
    };

    CU_ASSERT_EQUAL(ggw_policy_pick(&p, c, 4, 0), 1);
    c[3].in_flight = 0; /* a cold server takes work, or it stays cold */
    CU_ASSERT_EQUAL(ggw_policy_pick(&p, c, 4, 0), 3);
    p = policy("least_outstanding", rand);
    c[3].avoid = true;
    c[0].in_flight = 0;
    CU_ASSERT_EQUAL(ggw_policy_pick(&p, c, 4, 0), 0);
    g_rand_free(rand);
}

/* Guards against decisions on old reports, and on own requests counted twice.
 */
static void
test_report_age(void)
{
    struct ggw_candidate c = {.in_flight = 1, .reported = true, .load = 9};

    CU_ASSERT_DOUBLE_EQUAL(ggw_policy_load(&c, 0), 9, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(ggw_policy_load(&c, GGW_REPORT_HALF_LIFE), 5, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(ggw_policy_load(&c, 2 * GGW_REPORT_HALF_LIFE), 3,
                           1e-9);
    c.load = 0; /* sent before the own request arrived */
    CU_ASSERT_DOUBLE_EQUAL(ggw_policy_load(&c, 0), 1, 1e-9);
}

/*
 * Guards against a server that fails fast, looks idle and attracts work: 3 of
 * 6 servers answer half of their requests with an error at once.
 */
static void
test_fails_fast(void)
{
    GRand *rand = g_rand_new_with_seed(SEED);

    for (const char *const *name = ggw_policy_names(); *name; name++) {
        struct ggw_policy p = policy(*name, rand);
        struct ggw_candidate c[SERVERS] = {0};
        ggw_ms until[SERVERS][4] = {{0}};
        int failing = 0, sent = 0;

        for (int now = 0; now < PICKS; now++) {
            enum ggw_attempt_result result = GGW_ATTEMPT_OK;
            ggw_ms latency = 4;
            size_t at;

            for (int i = 0; i < SERVERS; i++) {
                c[i].limit = 4;
                c[i].in_flight = 0;
                for (int n = 0; n < 4; n++) {
                    c[i].in_flight += until[i][n] > now;
                }
            }
            at = ggw_policy_pick(&p, c, SERVERS, now);
            if (at == GGW_POLICY_NONE) {
                continue;
            }
            sent++;
            if (at < 3) {
                failing++;
                result = now % 2 != 0 ? GGW_ATTEMPT_ERROR : GGW_ATTEMPT_OK;
                latency = now % 2 != 0 ? 0.1 : 4;
            }
            for (int n = 0; n < 4; n++) {
                if (until[at][n] <= now) {
                    until[at][n] =
                        now + ggw_limit_hold_time(result, latency, 9);
                    break;
                }
            }
        }
        /* Half is their share; standard deviation 39. */
        CU_ASSERT_TRUE(failing < sent / 2 + 160);
    }
    g_rand_free(rand);
}

/* Guards against a slow, busy or distant server where a better one is free. */
static void
test_fastest(void)
{
    struct ggw_policy p = {ggw_policy_find("fastest"), g_rand_new_with_seed(1),
                           0};
    struct ggw_candidate c[] = {
        {.limit = 2, .slow_percent = 400, .reported_at = 990},
        {.limit = 2, .slow_percent = 100, .reported_at = 990, .cost = 0.5},
        {.limit = 2,
         .slow_percent = 100,
         .reported_at = 990,
         .in_flight = 1,
         .busy_limit = 1},
        {.limit = 2, .slow_percent = 100, .reported_at = 990, .in_flight = 2},
    };

    CU_ASSERT_EQUAL(ggw_policy_pick(&p, c, 4, 1000), 1);
    c[1].cost = 5; /* too far for its response */
    CU_ASSERT_EQUAL(ggw_policy_pick(&p, c, 4, 1000), 2);
    c[2].in_flight = 2;
    CU_ASSERT_EQUAL(ggw_policy_pick(&p, c, 4, 1000), 0);
    /* An old report says little: the spell has ended by now. */
    CU_ASSERT_TRUE(ggw_policy_work(&c[0], 5000) <
                   ggw_policy_work(&c[0], 1000));
    g_rand_free(p.rand);
}

/* Guards against slots that make a server slower than they are worth. */
static void
test_useful_slots(void)
{
    CU_ASSERT_EQUAL(ggw_policy_useful_slots(4, 80), 3);
    CU_ASSERT_EQUAL(ggw_policy_useful_slots(2, 80), 2);
    CU_ASSERT_EQUAL(ggw_policy_useful_slots(8, 100), 8);
    CU_ASSERT_EQUAL(ggw_policy_useful_slots(10, 80), 8);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("policy", NULL, NULL);
    CU_add_test(suite, "eligible", test_eligible);
    CU_add_test(suite, "spread", test_spread);
    CU_add_test(suite, "least_busy", test_least_busy);
    CU_add_test(suite, "report_age", test_report_age);
    CU_add_test(suite, "fails_fast", test_fails_fast);
    CU_add_test(suite, "fastest", test_fastest);
    CU_add_test(suite, "useful_slots", test_useful_slots);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
