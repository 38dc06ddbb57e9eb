#include <CUnit/CUnit.h>

#include "decide/domain_holds.h"
#include "tests/suite.h"

static struct ggw_domain_holds holds;

/* Returns whether exactly one change is due, to @out. */
static bool
takes_one(bool out, ggw_ms now)
{
    bool got = !out;
    g_autofree char *first = ggw_domain_holds_take(&holds, &got, now);
    g_autofree char *second = ggw_domain_holds_take(&holds, &got, now);

    return first != NULL && second == NULL && got == out;
}

static bool
takes_none(ggw_ms now)
{
    bool out;
    g_autofree char *domain = ggw_domain_holds_take(&holds, &out, now);

    return domain == NULL;
}

/* Guards against what was in force that goes back when the store returns. */
static void
test_held_after_return(void)
{
    ggw_domain_holds_init(&holds);
    CU_ASSERT_FALSE(ggw_domain_holds_note(&holds, "a", false, true, true, 0));
    CU_ASSERT_FALSE(ggw_domain_holds_note(&holds, "b", true, false, true, 9));
    CU_ASSERT_TRUE(takes_none(GGW_DOMAIN_HOLD_MS - 1));
    CU_ASSERT_TRUE(takes_one(false, GGW_DOMAIN_HOLD_MS));
    CU_ASSERT_TRUE(takes_one(true, GGW_DOMAIN_HOLD_MS + 9));
    CU_ASSERT_TRUE(takes_none(10 * GGW_DOMAIN_HOLD_MS));
    ggw_domain_holds_clear(&holds);
}

/* Guards against an order of the operator that waits, or is undone later. */
static void
test_written_anew(void)
{
    ggw_domain_holds_init(&holds);
    CU_ASSERT_TRUE(ggw_domain_holds_note(&holds, "a", true, false, false, 0));
    CU_ASSERT_FALSE(ggw_domain_holds_note(&holds, "a", false, true, true, 0));
    CU_ASSERT_TRUE(ggw_domain_holds_note(&holds, "a", true, true, false, 5));
    CU_ASSERT_TRUE(takes_none(10 * GGW_DOMAIN_HOLD_MS));
    CU_ASSERT_FALSE(ggw_domain_holds_note(&holds, "a", false, true, true, 0));
    CU_ASSERT_TRUE(ggw_domain_holds_note(&holds, "a", true, true, true, 5));
    CU_ASSERT_TRUE(takes_none(10 * GGW_DOMAIN_HOLD_MS));
    ggw_domain_holds_clear(&holds);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"held after return", test_held_after_return},
        {"written anew", test_written_anew},
        CU_TEST_INFO_NULL,
    };

    return suite_run("domain_holds", tests);
}
