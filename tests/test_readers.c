#include <CUnit/CUnit.h>

#include "decide/readers.h"
#include "tests/suite.h"

/* Longest time until a change has to reach every gateway. */
#define MAX_DELAY_MS 2000.0

/* Interval at which readers report that the store answers them. */
#define REPORT_INTERVAL_MS 300.0

static void
report_both(struct ggw_readers *r, ggw_ms now)
{
    ggw_readers_heard(r, "n0", now);
    ggw_readers_heard(r, "n1", now);
}

/*
 * Guards against store calls of gateways that need not read, while all is well
 * or when only one of the readers is lost.
 */
static void
test_few_readers(void)
{
    struct ggw_readers r;

    ggw_readers_init(&r, 0);
    for (int i = 0; i < 40; i++) {
        ggw_ms now = i * REPORT_INTERVAL_MS;

        report_both(&r, now);
        CU_ASSERT_TRUE(ggw_readers_needed(&r, 0, now));
        CU_ASSERT_TRUE(ggw_readers_needed(&r, 1, now));
        CU_ASSERT_FALSE(ggw_readers_needed(&r, 2, now));
    }
    ggw_readers_lost(&r, "n0", 40 * REPORT_INTERVAL_MS);
    CU_ASSERT_FALSE(ggw_readers_needed(&r, 2, 40 * REPORT_INTERVAL_MS));
    ggw_readers_clear(&r);
}

/*
 * Guards against gateways that wait for a timeout although all readers have
 * reported that the store no longer answers them.
 */
static void
test_both_lost(void)
{
    struct ggw_readers r;

    ggw_readers_init(&r, 0);
    report_both(&r, 5000);
    ggw_readers_lost(&r, "n0", 5100);
    ggw_readers_lost(&r, "n1", 5110);
    CU_ASSERT_TRUE(ggw_readers_needed(&r, 2, 5110));
    CU_ASSERT_FALSE(ggw_readers_needed(&r, 3, 5110));
    CU_ASSERT_TRUE(ggw_readers_needed(&r, 3, 5110 + 150));
    /* A repeated report does not delay the others. */
    ggw_readers_lost(&r, "n1", 5200);
    CU_ASSERT_TRUE(ggw_readers_needed(&r, 2, 5200));
    /* The store answers the gateway that took over. */
    ggw_readers_heard(&r, "n2", 5210);
    CU_ASSERT_FALSE(ggw_readers_needed(&r, 3, 5300));
    ggw_readers_clear(&r);
}

/*
 * Guards against changes that reach nobody in time because the readers ended
 * without a report, and against all gateways taking over at once.
 */
static void
test_silent(void)
{
    struct ggw_readers r;
    ggw_ms now = 5000;

    ggw_readers_init(&r, 0);
    report_both(&r, now);
    while (!ggw_readers_needed(&r, 2, now)) {
        now += 10;
    }
    CU_ASSERT_TRUE(now - 5000 > 2 * REPORT_INTERVAL_MS);
    CU_ASSERT_TRUE(now - 5000 < MAX_DELAY_MS / 2);
    /* A long silence before a report does not make all others read at once. */
    ggw_readers_heard(&r, "n0", 9000);
    ggw_readers_lost(&r, "n0", 9000);
    CU_ASSERT_TRUE(ggw_readers_needed(&r, 2, 9000));
    CU_ASSERT_FALSE(ggw_readers_needed(&r, 4, 9000));
    ggw_readers_clear(&r);
}

/*
 * Guards against every gateway reading the table right after its start, when
 * it has not heard of any reader yet.
 */
static void
test_start(void)
{
    struct ggw_readers r;

    ggw_readers_init(&r, 100);
    CU_ASSERT_FALSE(ggw_readers_needed(&r, 2, 100 + REPORT_INTERVAL_MS));
    CU_ASSERT_TRUE(ggw_readers_needed(&r, 2, 100 + MAX_DELAY_MS));
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
