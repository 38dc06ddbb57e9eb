#include <CUnit/CUnit.h>
#include <math.h>

#include "decide/backoff.h"
#include "tests/suite.h"

#define S "s-1"
#define BORN 1700

#define LEAVING GGW_BACKOFF_LEAVING
#define PAUSED GGW_BACKOFF_PAUSED
#define NONE GGW_BACKOFF_NONE

/*
 * Guards against a server that leaves and gets requests again without a new
 * lifetime: by an entry that is late, by one that comes back, by time.
 */
static void
test_leave(void)
{
    struct ggw_backoffs *b = ggw_backoffs_new();

    CU_ASSERT_EQUAL(ggw_backoffs_state(b, S, 0), NONE);
    CU_ASSERT_TRUE(ggw_backoffs_leave(b, S, BORN, 0));
    CU_ASSERT_FALSE(ggw_backoffs_leave(b, S, BORN, 1));
    ggw_backoffs_listed(b, S, BORN, 1000);
    ggw_backoffs_listed(b, S, BORN - 1, 1000);
    ggw_backoffs_listed(b, S, 0, 1000);
    ggw_backoffs_expire(b, 300000);
    CU_ASSERT_EQUAL(ggw_backoffs_state(b, S, 300000), LEAVING);
    ggw_backoffs_listed(b, S, BORN, 300000);
    ggw_backoffs_expire(b, 800000);
    CU_ASSERT_EQUAL(ggw_backoffs_state(b, S, 800000), LEAVING);
    ggw_backoffs_listed(b, S, BORN + 1, 800000);
    CU_ASSERT_EQUAL(ggw_backoffs_state(b, S, 800000), NONE);
    CU_ASSERT_TRUE(ggw_backoffs_leave(b, S, BORN + 1, 800000));
    ggw_backoffs_free(b);
}

/*
 * Guards against a first entry with a lifetime that ends a leave which the
 * server stated before its lifetime was known.
 */
static void
test_unknown_lifetime(void)
{
    struct ggw_backoffs *b = ggw_backoffs_new();

    ggw_backoffs_leave(b, S, 0, 0);
    ggw_backoffs_listed(b, S, BORN, 10);
    CU_ASSERT_EQUAL(ggw_backoffs_state(b, S, 10), LEAVING);
    ggw_backoffs_listed(b, S, BORN + 1, 20);
    CU_ASSERT_EQUAL(ggw_backoffs_state(b, S, 20), NONE);
    ggw_backoffs_free(b);
}

/*
 * Guards against a pause that is cut short by a shorter one or by a list, that
 * outlasts its time, or that has no bound.
 */
static void
test_pause(void)
{
    struct ggw_backoffs *b = ggw_backoffs_new();

    CU_ASSERT_FALSE(ggw_backoffs_pause(b, S, BORN, 0, 0));
    CU_ASSERT_FALSE(ggw_backoffs_pause(b, S, BORN, -5, 0));
    CU_ASSERT_EQUAL(ggw_backoffs_state(b, S, 0), NONE);
    CU_ASSERT_TRUE(ggw_backoffs_pause(b, S, BORN, 3000, 0));
    CU_ASSERT_FALSE(ggw_backoffs_pause(b, S, BORN, 1000, 100));
    CU_ASSERT_TRUE(ggw_backoffs_pause(b, S, BORN, 3000, 100));
    CU_ASSERT_EQUAL(ggw_backoffs_until(b, S), 3100);
    ggw_backoffs_listed(b, S, BORN, 200);
    ggw_backoffs_expire(b, 3099);
    CU_ASSERT_EQUAL(ggw_backoffs_state(b, S, 3099), PAUSED);
    CU_ASSERT_EQUAL(ggw_backoffs_state(b, S, 3100), NONE);
    CU_ASSERT_TRUE(ggw_backoffs_pause(b, S, BORN, INFINITY, 4000));
    CU_ASSERT_EQUAL(ggw_backoffs_until(b, S), 4000 + GGW_BACKOFF_MAX_PAUSE);
    ggw_backoffs_listed(b, S, BORN + 1, 4000);
    CU_ASSERT_EQUAL(ggw_backoffs_state(b, S, 4000), NONE);
    ggw_backoffs_free(b);
}

/* Guards against a pause whose end ends a leave. */
static void
test_leave_in_pause(void)
{
    struct ggw_backoffs *b = ggw_backoffs_new();

    ggw_backoffs_pause(b, S, BORN, 1000, 0);
    CU_ASSERT_TRUE(ggw_backoffs_leave(b, S, BORN, 10));
    ggw_backoffs_expire(b, 2000);
    CU_ASSERT_EQUAL(ggw_backoffs_state(b, S, 2000), LEAVING);
    ggw_backoffs_free(b);
}

/* Guards against servers that are remembered for ever. */
static void
test_forget(void)
{
    struct ggw_backoffs *b = ggw_backoffs_new();

    ggw_backoffs_leave(b, S, BORN, 0);
    ggw_backoffs_expire(b, 700000);
    CU_ASSERT_EQUAL(ggw_backoffs_state(b, S, 700000), NONE);
    ggw_backoffs_free(b);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"leave", test_leave},   {"unknown lifetime", test_unknown_lifetime},
        {"pause", test_pause},   {"leave in pause", test_leave_in_pause},
        {"forget", test_forget}, CU_TEST_INFO_NULL,
    };

    return suite_run("backoff", tests);
}
