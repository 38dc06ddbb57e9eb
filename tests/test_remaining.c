#include <CUnit/CUnit.h>
#include <glib.h>
#include <math.h>

#include "decide/remaining.h"
#include "tests/suite.h"

#define SEED 44

#define MEDIAN 130.0 /* ms, run time of most requests */

/* Guards against an age that changes the estimate where it says nothing. */
static void
test_exponential(void)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(SEED);
    struct ggw_remaining r;

    ggw_remaining_init(&r);
    CU_ASSERT_EQUAL(ggw_remaining_time(&r, 10, 0.5), 0);
    for (int i = 0; i < 5000; i++) {
        ggw_remaining_add(&r, -log(1 - g_rand_double(rand)) * 100);
    }
    for (int age = 0; age <= 150; age += 50) {
        CU_ASSERT_DOUBLE_EQUAL(ggw_remaining_time(&r, age, 0.5), 69, 20);
        CU_ASSERT_DOUBLE_EQUAL(ggw_remaining_time(&r, age, 0.95), 300, 60);
    }
}

/* Guards against a long run that counts as near its end. */
static void
test_long_runs(void)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(SEED);
    struct ggw_remaining r;

    ggw_remaining_init(&r);
    for (int i = 0; i < 1000; i++) {
        ggw_ms run = MEDIAN * g_rand_double_range(rand, 0.7, 1.3);

        ggw_remaining_add(&r, i % 33 == 0 ? 7 * run : run);
    }
    CU_ASSERT_DOUBLE_EQUAL(ggw_remaining_time(&r, 0, 0.5), MEDIAN, 20);
    CU_ASSERT_DOUBLE_EQUAL(ggw_remaining_time(&r, 3 * MEDIAN, 0.5), 4 * MEDIAN,
                           MEDIAN);
    CU_ASSERT_EQUAL(ggw_remaining_time(&r, 5000, 0.5), 5000);
}

/* Guards against long runs of the past that count for ever. */
static void
test_forgets(void)
{
    struct ggw_remaining r;

    ggw_remaining_init(&r);
    for (int i = 0; i < 12000; i++) {
        ggw_remaining_add(&r, i < 1000 ? 7 * MEDIAN : MEDIAN);
    }
    CU_ASSERT_DOUBLE_EQUAL(ggw_remaining_time(&r, 0, 0.95), MEDIAN, 20);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"exponential", test_exponential},
        {"long runs", test_long_runs},
        {"forgets", test_forgets},
        CU_TEST_INFO_NULL,
    };

    return suite_run("remaining", tests);
}
