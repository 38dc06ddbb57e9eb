#include <CUnit/Basic.h>
#include <stdio.h>

#include "decide/owner.h"

#define GATEWAYS 6
#define SERVICES 600

static struct ggw_member members[GATEWAYS];
static char member_names[GATEWAYS][16];
static const char *const domains[] = {"cairo-a", "cairo-b", "cairo-c"};

static void
reset(void)
{
    for (int i = 0; i < GATEWAYS; i++) {
        snprintf(member_names[i], sizeof(member_names[i]), "gw-%d", i);
        members[i].name = member_names[i];
        members[i].failure_domain = (char *)domains[i % 3];
        members[i].state = GGW_MEMBER_ALIVE;
    }
}

static size_t
owner_of(int service, const char *domain)
{
    char name[16];

    snprintf(name, sizeof(name), "s%d", service);
    return ggw_owner_pick("nile-strand", name, domain, members, GATEWAYS);
}

/*
 * Guards against an owner in another failure domain than the servers, and
 * against one gateway that owns most services.
 */
static void
test_spread(void)
{
    int count[GATEWAYS] = {0};

    reset();
    for (int s = 0; s < SERVICES; s++) {
        size_t o = owner_of(s, "cairo-b");

        CU_ASSERT_STRING_EQUAL(members[o].failure_domain, "cairo-b");
        count[o]++;
    }
    CU_ASSERT_TRUE(count[1] > SERVICES * 4 / 10);
    CU_ASSERT_TRUE(count[4] > SERVICES * 4 / 10);
}

/*
 * Guards against an owner with a slow link, on which large responses delay the
 * messages between gateways.
 */
static void
test_slow_link(void)
{
    reset();
    members[1].capacity.link_mbps = 10;
    members[4].capacity.link_mbps = 200;
    for (int s = 0; s < SERVICES; s++) {
        CU_ASSERT_EQUAL(owner_of(s, "cairo-b"), 4);
    }
    members[4].state = GGW_MEMBER_DEAD;
    CU_ASSERT_EQUAL(owner_of(0, "cairo-b"), 1);
    members[4].capacity.link_mbps = 0;
    members[1].capacity.link_mbps = 0;
}

/*
 * Guards against a change of members that moves services which the changed
 * gateway does not own.
 */
static void
test_change_moves_only_owned_services(void)
{
    size_t before[SERVICES];

    reset();
    for (int s = 0; s < SERVICES; s++) {
        before[s] = owner_of(s, "cairo-b");
    }
    members[1].state = GGW_MEMBER_SUSPECTED;
    for (int s = 0; s < SERVICES; s++) {
        CU_ASSERT_EQUAL(owner_of(s, "cairo-b"), 4);
    }
    members[1].state = GGW_MEMBER_ALIVE;
    members[0].state = GGW_MEMBER_DEAD;
    for (int s = 0; s < SERVICES; s++) {
        CU_ASSERT_EQUAL(owner_of(s, "cairo-b"), before[s]);
    }
}

/*
 * Guards against services without an owner when no gateway of the failure
 * domain is alive.
 */
static void
test_other_domains_take_over(void)
{
    int count[GATEWAYS] = {0};

    reset();
    members[1].state = GGW_MEMBER_LEAVING;
    members[4].state = GGW_MEMBER_DEAD;
    for (int s = 0; s < SERVICES; s++) {
        count[owner_of(s, "cairo-b")]++;
    }
    CU_ASSERT_EQUAL(count[1] + count[4], 0);
    for (int i = 0; i < GATEWAYS; i++) {
        CU_ASSERT_TRUE(i == 1 || i == 4 || count[i] > SERVICES / 8);
        members[i].state = GGW_MEMBER_DEAD;
    }
    CU_ASSERT_EQUAL(owner_of(1, "cairo-b"), (size_t)-1);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("owner", NULL, NULL);
    CU_add_test(suite, "spread", test_spread);
    CU_add_test(suite, "slow link", test_slow_link);
    CU_add_test(suite, "change moves only owned services",
                test_change_moves_only_owned_services);
    CU_add_test(suite, "other domains take over",
                test_other_domains_take_over);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
