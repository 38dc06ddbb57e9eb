#include <CUnit/Basic.h>
#include <glib.h>
#include <math.h>

#include "decide/measure.h"

#define SEED 13
#define SECONDS 60

/*
 * Asks for a probe every ms and returns the most slot time, in ms, that probes
 * took in any window of one second.
 */
static double
max_slot_time_per_s(struct ggw_probe_budget *b, GRand *rand, ggw_ms cost,
                    int *probes)
{
    double *spent = g_new0(double, SECONDS * 1000);
    double window = 0, max_spent = 0;

    *probes = 0;
    for (int ms = 0; ms < SECONDS * 1000; ms++) {
        /* The bucket fills in the pauses of 3 s. */
        if (ms / 3000 % 2 == 0 && ggw_probe_budget_charge(b, cost, ms)) {
            spent[ms] = cost * g_rand_double(rand);
            ggw_probe_budget_refund(b, cost, spent[ms]);
            ++*probes;
        }
        window += spent[ms] - (ms >= 1000 ? spent[ms - 1000] : 0);
        max_spent = MAX(max_spent, window);
    }
    g_free(spent);
    return max_spent;
}

/*
 * Guards against probes that take more than their share of slot time, because
 * the bucket starts full or a full one adds to the refill of a second.
 */
static void
test_budget(void)
{
    GRand *rand = g_rand_new_with_seed(SEED);
    struct ggw_probe_budget b;
    int probes;
    double max_spent;

    ggw_probe_budget_init(&b, 1, 0);
    CU_ASSERT_FALSE(ggw_probe_budget_charge(&b, 1, 1000)); /* no slots */
    ggw_probe_budget_set(&b, 1, 8, 1000);
    CU_ASSERT_FALSE(ggw_probe_budget_charge(&b, 1, 1000)); /* starts empty */

    /* 1% of 8 slots is 80 ms in a second. */
    ggw_probe_budget_init(&b, 1, 0);
    ggw_probe_budget_set(&b, 1, 8, 0);
    max_spent = max_slot_time_per_s(&b, rand, 4, &probes);
    printf("probes %d, worst second %.2f ms of 80 ms ", probes, max_spent);
    CU_ASSERT_TRUE(max_spent <= 80);
    CU_ASSERT_TRUE(probes > 1000);

    /* One slot allows 10 ms; the bucket holds less than one probe. */
    ggw_probe_budget_init(&b, 1, 0);
    ggw_probe_budget_set(&b, 1, 1, 0);
    max_spent = max_slot_time_per_s(&b, rand, 2, &probes);
    CU_ASSERT_TRUE(max_spent <= 10 + 2);
    CU_ASSERT_TRUE(probes > 250);

    ggw_probe_budget_set(&b, 0, 8, SECONDS * 1000);
    CU_ASSERT_FALSE(ggw_probe_budget_charge(&b, 1, 1e9));
    g_rand_free(rand);
}

/*
 * Guards against probes that time out but are charged like short ones, so that
 * they take more than their share of slot time.
 */
static void
test_timeout(void)
{
    struct ggw_probe_budget b;

    ggw_probe_budget_init(&b, 1, 0);
    ggw_probe_budget_set(&b, 1, 8, 0);
    CU_ASSERT_TRUE(
        ggw_probe_budget_charge(&b, 100, 1000)); /* overdraws 8 ms */
    CU_ASSERT_FALSE(ggw_probe_budget_charge(&b, 100, 1100));
    ggw_probe_budget_refund(&b, 100, 100);
    /* The refill of 0.072 ms per ms pays off 92 ms and fills the bucket. */
    CU_ASSERT_FALSE(ggw_probe_budget_charge(&b, 100, 2380));
    CU_ASSERT_TRUE(ggw_probe_budget_charge(&b, 100, 2390));
    ggw_probe_budget_refund(&b, 100, 1); /* answered */
    CU_ASSERT_TRUE(ggw_probe_budget_charge(&b, 100, 2410));
}

/*
 * Guards against probes of servers that reported recently or have a probe in
 * flight.
 */
static void
test_pick(void)
{
    struct ggw_probe_candidate s[] = {
        {.heard_at = 500},
        {.heard_at = 300},
        {.heard_at = 100, .pending = true},
        {.heard_at = 1900},
    };

    CU_ASSERT_EQUAL(ggw_probe_due_at(s, 4), 1300);
    CU_ASSERT_EQUAL(ggw_probe_pick(s, 4, 1300), (size_t)-1);
    CU_ASSERT_EQUAL(ggw_probe_pick(s, 4, 2000), 1);
    s[0].heard_at = -INFINITY;
    CU_ASSERT_EQUAL(ggw_probe_pick(s, 4, 2000), 0);
    CU_ASSERT_EQUAL(ggw_probe_due_at(s, 0), INFINITY);
}

/*
 * Guards against a placement that comes after the gateway of the request has
 * given up waiting for it.
 */
static void
test_max_wait(void)
{
    CU_ASSERT_EQUAL(ggw_probe_max_wait(INFINITY), 8);
    CU_ASSERT_EQUAL(ggw_probe_max_wait(40), 8);
    CU_ASSERT_EQUAL(ggw_probe_max_wait(5), 0);
    for (int i = 0; i < 80; i++) {
        ggw_ms answer_time = 0.5 * i;

        CU_ASSERT_TRUE(ggw_probe_max_wait(answer_time) <= answer_time / 2);
    }
    CU_ASSERT_EQUAL(ggw_probe_max_wait(-1), 0);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("measure", NULL, NULL);
    CU_add_test(suite, "budget", test_budget);
    CU_add_test(suite, "timeout", test_timeout);
    CU_add_test(suite, "pick", test_pick);
    CU_add_test(suite, "max wait", test_max_wait);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
