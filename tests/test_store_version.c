#include <CUnit/CUnit.h>

#include "decide/store_version.h"
#include "tests/suite.h"

/* Guards against an order that a counter of an earlier era can exceed. */
static void
test_order(void)
{
    uint64_t old = ggw_store_version(1, 1000);
    uint64_t now = ggw_store_version(2, 3);

    CU_ASSERT_TRUE(now > old);
    CU_ASSERT_EQUAL(ggw_store_version_era(now), 2);
    CU_ASSERT_EQUAL(ggw_store_version_counter(now), 3);
    CU_ASSERT_EQUAL(ggw_store_version_in_era(old, 2),
                    ggw_store_version(2, 1000));
    CU_ASSERT_EQUAL(ggw_store_version(0, 7), 7);
    /* Odd values never reach into the other part. */
    CU_ASSERT_EQUAL(ggw_store_version_era(ggw_store_version(1, UINT64_MAX)),
                    1);
    CU_ASSERT_EQUAL(
        ggw_store_version_counter(ggw_store_version(UINT64_MAX, 5)), 5);
}

/* Guards against an answer of another era that is taken for a newer one. */
static void
test_judge(void)
{
    static const struct {
        uint64_t known_era, copy_era, copy, era, counter;
        enum ggw_store_answer expected;
    } cases[] = {
        {0, 0, 0, 0, 5, GGW_STORE_ANSWER_SAME},
        {0, 0, 0, 3, 5, GGW_STORE_ANSWER_SAME},
        {1, 0, 0, 2, 5, GGW_STORE_ANSWER_RETURNED},
        {1, 1, 9, 1, 9, GGW_STORE_ANSWER_SAME},
        {1, 1, 9, 1, 8, GGW_STORE_ANSWER_OLDER},
        {1, 1, 9, 2, 8, GGW_STORE_ANSWER_RETURNED},
        {1, 1, 9, 2, 9, GGW_STORE_ANSWER_RETURNED},
        {1, 1, 9, 2, 10, GGW_STORE_ANSWER_RETURNED},
        {2, 1, 9, 2, 10, GGW_STORE_ANSWER_RETURNED},
        {2, 1, 9, 1, 10, GGW_STORE_ANSWER_IMPAIRED},
        {2, 2, 9, 1, 10, GGW_STORE_ANSWER_IMPAIRED},
        {2, 2, 9, 0, 10, GGW_STORE_ANSWER_IMPAIRED},
        {2, 0, 0, 1, 10, GGW_STORE_ANSWER_IMPAIRED},
        /* A copy whose era is not known. */
        {0, 0, 9, 0, 8, GGW_STORE_ANSWER_OLDER},
        {0, 0, 9, 1, 9, GGW_STORE_ANSWER_SAME},
        {0, 0, 9, 1, 8, GGW_STORE_ANSWER_RETURNED},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        CU_ASSERT_EQUAL(
            ggw_store_version_judge(
                cases[i].known_era,
                ggw_store_version(cases[i].copy_era, cases[i].copy),
                ggw_store_version(cases[i].era, cases[i].counter)),
            cases[i].expected);
    }
}

/* Guards against settings that go back, or that earlier versions refuse. */
static void
test_revision(void)
{
    uint64_t returned = ggw_store_version(2, 3);

    CU_ASSERT_EQUAL(ggw_store_version_revision(7, 0), 7);
    CU_ASSERT_EQUAL(ggw_store_version_revision(ggw_store_version(1, 9), 7), 9);
    CU_ASSERT_EQUAL(ggw_store_version_revision(returned, 9), returned);
    CU_ASSERT_TRUE(ggw_store_version_revision(ggw_store_version(1, 3), 9) > 9);
    CU_ASSERT_TRUE(ggw_store_version(GGW_STORE_ERA_MAX,
                                     GGW_STORE_COUNTER_MAX) <= INT64_MAX / 8);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"order", test_order},
        {"judge", test_judge},
        {"revision", test_revision},
        CU_TEST_INFO_NULL,
    };

    return suite_run("store_version", tests);
}
