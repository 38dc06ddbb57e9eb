#include <CUnit/CUnit.h>

#include "decide/distrust.h"
#include "tests/suite.h"

/* Times in ms. */
#define FIRST 1000.0
#define MINUTE 60000.0

/* Guards against a server that is distrusted without cause, or for ever. */
static void
test_one_response(void)
{
    ggw_ms until = ggw_distrust_until(0, FIRST);

    CU_ASSERT_FALSE(ggw_is_distrusted(0, 0));
    CU_ASSERT_FALSE(ggw_is_distrusted(0, FIRST));
    CU_ASSERT_TRUE(ggw_is_distrusted(until, FIRST));
    CU_ASSERT_TRUE(ggw_is_distrusted(until, FIRST + MINUTE - 1));
    CU_ASSERT_FALSE(ggw_is_distrusted(until, FIRST + MINUTE));
}

/* Guards against a further suspect response that prolongs nothing. */
static void
test_further_response(void)
{
    ggw_ms until = ggw_distrust_until(0, FIRST);

    until = ggw_distrust_until(until, FIRST + MINUTE / 2);
    CU_ASSERT_TRUE(ggw_is_distrusted(until, FIRST + 1.5 * MINUTE - 1));
    CU_ASSERT_FALSE(ggw_is_distrusted(until, FIRST + 1.5 * MINUTE));
}

/* Guards against a time that goes back and shortens the distrust. */
static void
test_time_goes_back(void)
{
    ggw_ms until = ggw_distrust_until(0, FIRST);

    CU_ASSERT_EQUAL(ggw_distrust_until(until, 0), until);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"one response", test_one_response},
        {"further response", test_further_response},
        {"time goes back", test_time_goes_back},
        CU_TEST_INFO_NULL,
    };

    return suite_run("distrust", tests);
}
