#include <CUnit/CUnit.h>

#include "decide/readers.h"
#include "tests/suite.h"

/* Time within which a change has to reach every gateway. */
#define LIMIT_MS 2000.0

/* Interval at which readers say that they are answered. */
#define STATE_MS 300.0

static void
hear(struct ggw_readers *r, ggw_ms now)
{
    ggw_readers_heard(r, "n0", now);
    ggw_readers_heard(r, "n1", now);
}

/* Guards against calls of gateways that need not read. */
static void
test_few_readers(void)
{
    struct ggw_readers r;

    ggw_readers_init(&r, 0);
    for (int i = 0; i < 40; i++) {
        ggw_ms now = i * STATE_MS;

        hear(&r, now);
        CU_ASSERT_TRUE(ggw_readers_needed(&r, 0, now));
        CU_ASSERT_TRUE(ggw_readers_needed(&r, 1, now));
        CU_ASSERT_FALSE(ggw_readers_needed(&r, 2, now));
    }
    ggw_readers_lost(&r, "n0", 40 * STATE_MS);
    CU_ASSERT_FALSE(ggw_readers_needed(&r, 2, 40 * STATE_MS));
    ggw_readers_clear(&r);
}

/*
 * Guards against gateways that wait for readers which have said that the store
 * no longer answers them.
 */
static void
test_both_lost(void)
{
    struct ggw_readers r;

    ggw_readers_init(&r, 0);
    hear(&r, 5000);
    ggw_readers_lost(&r, "n0", 5100);
    ggw_readers_lost(&r, "n1", 5110);
    CU_ASSERT_TRUE(ggw_readers_needed(&r, 2, 5110));
    CU_ASSERT_FALSE(ggw_readers_needed(&r, 3, 5110));
    CU_ASSERT_TRUE(ggw_readers_needed(&r, 3, 5110 + 150));
    /* A reader that says it twice does not put the others off. */
    ggw_readers_lost(&r, "n1", 5200);
    CU_ASSERT_TRUE(ggw_readers_needed(&r, 2, 5200));
    /* The one that took over is answered. */
    ggw_readers_heard(&r, "n2", 5210);
    CU_ASSERT_FALSE(ggw_readers_needed(&r, 3, 5300));
    ggw_readers_clear(&r);
}

/* Guards against a reader that ended without a word. */
static void
test_silent(void)
{
    struct ggw_readers r;
    ggw_ms now = 5000;

    ggw_readers_init(&r, 0);
    hear(&r, now);
    while (!ggw_readers_needed(&r, 2, now)) {
        now += 10;
    }
    CU_ASSERT_TRUE(now - 5000 > 2 * STATE_MS);
    CU_ASSERT_TRUE(now - 5000 < LIMIT_MS / 2);
    /* One that fell silent long ago does not make all others read at once. */
    ggw_readers_heard(&r, "n0", 9000);
    ggw_readers_lost(&r, "n0", 9000);
    CU_ASSERT_TRUE(ggw_readers_needed(&r, 2, 9000));
    CU_ASSERT_FALSE(ggw_readers_needed(&r, 4, 9000));
    ggw_readers_clear(&r);
}

/* Guards against every gateway reading because it has just started. */
static void
test_start(void)
{
    struct ggw_readers r;

    ggw_readers_init(&r, 100);
    CU_ASSERT_FALSE(ggw_readers_needed(&r, 2, 100 + STATE_MS));
    CU_ASSERT_TRUE(ggw_readers_needed(&r, 2, 100 + LIMIT_MS));
    ggw_readers_clear(&r);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"few readers", test_few_readers},
        {"both lost", test_both_lost},
        {"silent", test_silent},
        {"start", test_start},
        CU_TEST_INFO_NULL,
    };

    return suite_run("readers", tests);
}
