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

/*
 * Guards against clients that are sent to another failure domain or to a
 * gateway that is leaving.
 */
static void
test_own_domain(void)
{
    g_autoptr(GPtrArray) picked = pick("a");

    CU_ASSERT_EQUAL_FATAL(picked->len, 1);
    CU_ASSERT_STRING_EQUAL(
        ((struct ggw_member *)g_ptr_array_index(picked, 0))->name, "a1");
}

/*
 * Guards against clients without any gateway when none of their failure domain
 * is alive or their domain is unknown.
 */
static void
test_domain_lost(void)
{
    g_autoptr(GPtrArray) lost = pick("c");
    g_autoptr(GPtrArray) unknown = pick(NULL);

    CU_ASSERT_EQUAL(lost->len, 2);
    CU_ASSERT_EQUAL(unknown->len, 2);
}

/* Returns two gateways with fast links and others with slow links. */
static GArray *
members_with_links(int slow_count, int fast_alive)
{
    GArray *array = g_array_new(FALSE, TRUE, sizeof(struct ggw_member));

    for (int i = 0; i < slow_count + 2; i++) {
        struct ggw_member m = {.name = (char *)(i < 2 ? "fast" : "slow"),
                               .failure_domain = (char *)"a"};

        m.capacity.link_mbps = i < 2 ? 200 : 10;
        m.capacity.cpu_percent = i < 2 ? 50 : 25;
        m.state = i < 2 - fast_alive ? GGW_MEMBER_DEAD : GGW_MEMBER_ALIVE;
        g_array_append_val(array, m);
    }
    return array;
}

/*
 * Guards against clients on gateways with slow links while those with fast
 * links have capacity: a response of 90 kB blocks a link of 10 Mbit/s for
 * 72 ms.
 */
static void
test_slow_links(void)
{
    g_autoptr(GArray) members_of_domain = members_with_links(14, 2);
    g_autoptr(GPtrArray) picked = ggw_entry_pick(members_of_domain, "a");

    CU_ASSERT_EQUAL_FATAL(picked->len, 2);
    CU_ASSERT_STRING_EQUAL(
        ((struct ggw_member *)g_ptr_array_index(picked, 0))->name, "fast");
}

/*
 * Guards against overload of the gateways with fast links, when too few of
 * them are alive to carry all clients of the domain.
 */
static void
test_too_few_fast(void)
{
    g_autoptr(GArray) one_left = members_with_links(14, 1);
    g_autoptr(GArray) none_left = members_with_links(14, 0);
    g_autoptr(GArray) many_slow = members_with_links(40, 2);
    g_autoptr(GPtrArray) of_one = ggw_entry_pick(one_left, "a");
    g_autoptr(GPtrArray) of_none = ggw_entry_pick(none_left, "a");
    g_autoptr(GPtrArray) of_many = ggw_entry_pick(many_slow, "a");

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
        {"slow links", test_slow_links},
        {"too few fast", test_too_few_fast},
        CU_TEST_INFO_NULL,
    };

    return suite_run("entry", tests);
}
