#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

#include "common/fine_timer.h"

#define TIMERS 200

static struct ggw_fine_timers *set;
static struct ggw_fine_timer timers[TIMERS];
static ggw_ms previous_due, max_early;
static int fired;

static void
fire_cb(struct ggw_fine_timer *timer)
{
    ggw_ms early = timer->due - ggw_clock_now(ggw_clock_system());

    max_early = MAX(max_early, early);
    CU_ASSERT(timer->due >= previous_due);
    previous_due = timer->due;
    if (++fired == TIMERS / 2) {
        ggw_fine_timers_close(set);
    }
}

/*
 * Guards against timers that expire out of order, too early or after they have
 * been stopped. Random deadlines, half of the timers stopped again and one
 * deadline changed exercise insertion and removal in the heap.
 */
static void
test_order_and_stop(void)
{
    GRand *rand = g_rand_new_with_seed(7);
    ggw_ms now = ggw_clock_now(ggw_clock_system());
    uv_loop_t loop;

    uv_loop_init(&loop);
    set = ggw_fine_timers_new(&loop);
    CU_ASSERT_PTR_NOT_NULL_FATAL(set);
    for (int i = 0; i < TIMERS; i++) {
        ggw_fine_timer_start(set, &timers[i],
                             now + g_rand_double_range(rand, 0, 20), fire_cb);
    }
    for (int i = 0; i < TIMERS; i += 2) {
        ggw_fine_timer_stop(set, &timers[i]);
    }
    ggw_fine_timer_start(set, &timers[1], now + 21, fire_cb);
    uv_run(&loop, UV_RUN_DEFAULT);
    CU_ASSERT_EQUAL(fired, TIMERS / 2);
    CU_ASSERT(max_early <= 0);
    CU_ASSERT_EQUAL(previous_due, timers[1].due);
    CU_ASSERT_EQUAL(uv_loop_close(&loop), 0);
    g_rand_free(rand);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    if (CU_initialize_registry() != CUE_SUCCESS) {
        return 1;
    }
    suite = CU_add_suite("fine_timer", NULL, NULL);
    CU_add_test(suite, "order and stop", test_order_and_stop);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? 0 : 1;
}
