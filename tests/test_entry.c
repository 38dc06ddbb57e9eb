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

/* Gateways of domain "a": two with fast links, the others with thin ones. */
static GArray *
uneven(int thin, int fast_alive)
{
    GArray *array = g_array_new(FALSE, TRUE, sizeof(struct ggw_member));

    for (int i = 0; i < thin + 2; i++) {
        struct ggw_member m = {.name = (char *)(i < 2 ? "fast" : "thin"),
                               .failure_domain = (char *)"a"};

        m.capacity.link_mbps = i < 2 ? 200 : 10;
        m.capacity.cpu_percent = i < 2 ? 50 : 25;
        m.state = i < 2 - fast_alive ? GGW_MEMBER_DEAD : GGW_MEMBER_ALIVE;
        g_array_append_val(array, m);
    }
    return array;
}

/*
 * Guards against clients on thin links while fast ones have room: responses
 * of 90 kB held up everything else there for 72 ms.
 */
static void
test_thin_links(void)
{
    g_autoptr(GArray) members_of_a = uneven(14, 2);
    g_autoptr(GPtrArray) picked = ggw_entry_pick(members_of_a, "a");

    CU_ASSERT_EQUAL_FATAL(picked->len, 2);
    CU_ASSERT_STRING_EQUAL(
        ((struct ggw_member *)g_ptr_array_index(picked, 0))->name, "fast");
}

/* Guards against all clients of a domain on a few small machines. */
static void
test_too_few_fast(void)
{
    g_autoptr(GArray) one_left = uneven(14, 1);
    g_autoptr(GArray) none_left = uneven(14, 0);
    g_autoptr(GArray) many_thin = uneven(40, 2);
    g_autoptr(GPtrArray) of_one = ggw_entry_pick(one_left, "a");
    g_autoptr(GPtrArray) of_none = ggw_entry_pick(none_left, "a");
    g_autoptr(GPtrArray) of_many = ggw_entry_pick(many_thin, "a");

    CU_ASSERT_EQUAL(of_one->len, 15);
    CU_ASSERT_EQUAL(of_none->len, 14);
    CU_ASSERT_EQUAL(of_many->len, 42);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"own domain", test_own_domain},
        {"domain lost", test_domain_lost},
        {"thin links", test_thin_links},
        {"too few fast", test_too_few_fast},
        CU_TEST_INFO_NULL,
    };

    return suite_run("entry", tests);
}
