#include <CUnit/CUnit.h>
#include <string.h>

#include "decide/entry.h"
#include "tests/suite.h"

static const struct ggw_member members[] = {
    {.name = (char *)"a1", .failure_domain = (char *)"a"},
    {.name = (char *)"a2",
     .failure_domain = (char *)"a",
     .state = GGW_MEMBER_LEAVING},
    {.name = (char *)"b1", .failure_domain = (char *)"b"},
    {.name = (char *)"c1",
     .failure_domain = (char *)"c",
     .state = GGW_MEMBER_DEAD},
};

static GPtrArray *
pick(const char *domain)
{
    static GArray *array;

    if (array == NULL) {
        array = g_array_new(FALSE, FALSE, sizeof(struct ggw_member));
        g_array_append_vals(array, members, G_N_ELEMENTS(members));
    }
    return ggw_entry_pick(array, domain);
}

/* Guards against clients sent across failure domains, or to who leaves. */
static void
test_own_domain(void)
{
    g_autoptr(GPtrArray) picked = pick("a");

    CU_ASSERT_EQUAL_FATAL(picked->len, 1);
    CU_ASSERT_STRING_EQUAL(
        ((struct ggw_member *)g_ptr_array_index(picked, 0))->name, "a1");
}

/* Guards against clients without any gateway when theirs are gone. */
static void
test_domain_lost(void)
{
    g_autoptr(GPtrArray) lost = pick("c");
    g_autoptr(GPtrArray) unknown = pick(NULL);

    CU_ASSERT_EQUAL(lost->len, 2);
    CU_ASSERT_EQUAL(unknown->len, 2);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"own domain", test_own_domain},
        {"domain lost", test_domain_lost},
        CU_TEST_INFO_NULL,
    };

    return suite_run("entry", tests);
}
