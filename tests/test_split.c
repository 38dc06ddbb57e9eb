#include <CUnit/CUnit.h>
#include <math.h>

#include "decide/split.h"
#include "tests/suite.h"

/* Guards against shares that drift from the weights as requests add up. */
static void
test_shares(void)
{
    static const struct ggw_split_part parts[] = {
        {(char *)"a", 90}, {(char *)"b", 10}, {(char *)"c", 0}};
    double sent[3] = {0};

    for (int n = 1; n <= 1000; n++) {
        size_t i = ggw_split_pick(parts, 3, sent);

        CU_ASSERT_NOT_EQUAL(i, 2);
        CU_ASSERT_TRUE(fabs(sent[0] - 0.9 * n) <= 1);
    }
    CU_ASSERT_EQUAL(sent[0], 900);
    CU_ASSERT_EQUAL(sent[1], 100);
}

/* Guards against an index outside the parts when all weights are 0. */
static void
test_no_weight(void)
{
    static const struct ggw_split_part parts[] = {{(char *)"a", 0}};
    double sent[1] = {0};

    CU_ASSERT_EQUAL(ggw_split_pick(parts, 1, sent), 0);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"shares", test_shares},
        {"no weight", test_no_weight},
        CU_TEST_INFO_NULL,
    };

    return suite_run("split", tests);
}
