#include <CUnit/CUnit.h>

#include "decide/left_servers.h"
#include "tests/suite.h"

static struct ggw_left_servers left;

static bool
takes(const char *id, ggw_ms now)
{
    g_autofree char *taken = ggw_left_servers_take(&left, now);

    return g_strcmp0(taken, id) == 0;
}

/* Guards against a server that has left and is used again after a return. */
static void
test_held_after_return(void)
{
    ggw_left_servers_init(&left);
    ggw_left_servers_removed(&left, "i-1", 0);
    CU_ASSERT_TRUE(ggw_left_servers_hold(&left, "i-1", true, 100));
    CU_ASSERT_FALSE(ggw_left_servers_hold(&left, "i-2", true, 100));
    CU_ASSERT_TRUE(takes(NULL, 99 + GGW_LEFT_HOLD_MS));
    CU_ASSERT_TRUE(takes("i-1", 100 + GGW_LEFT_HOLD_MS));
    CU_ASSERT_TRUE(takes(NULL, 200 + GGW_LEFT_HOLD_MS));
    ggw_left_servers_clear(&left);
}

/* Guards against a server that has started again and is not used. */
static void
test_written_anew(void)
{
    ggw_left_servers_init(&left);
    ggw_left_servers_removed(&left, "i-1", 0);
    CU_ASSERT_TRUE(ggw_left_servers_hold(&left, "i-1", true, 100));
    CU_ASSERT_FALSE(ggw_left_servers_hold(&left, "i-1", false, 200));
    CU_ASSERT_TRUE(takes(NULL, GGW_LEFT_MEMORY_MS / 2));
    CU_ASSERT_FALSE(ggw_left_servers_hold(&left, "i-1", true, 300));
    ggw_left_servers_clear(&left);
}

/* Guards against an entry that is used although it was removed anew. */
static void
test_removed_anew(void)
{
    ggw_left_servers_init(&left);
    ggw_left_servers_removed(&left, "i-1", 0);
    CU_ASSERT_TRUE(ggw_left_servers_hold(&left, "i-1", true, 100));
    ggw_left_servers_removed(&left, "i-1", 200);
    CU_ASSERT_TRUE(takes(NULL, GGW_LEFT_MEMORY_MS / 2));
    ggw_left_servers_clear(&left);
}

/* Guards against ids that are remembered for ever. */
static void
test_forgotten(void)
{
    ggw_left_servers_init(&left);
    ggw_left_servers_removed(&left, "i-1", 0);
    CU_ASSERT_TRUE(takes(NULL, GGW_LEFT_MEMORY_MS));
    CU_ASSERT_EQUAL(g_hash_table_size(left.left), 0);
    ggw_left_servers_clear(&left);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"held after return", test_held_after_return},
        {"written anew", test_written_anew},
        {"removed anew", test_removed_anew},
        {"forgotten", test_forgotten},
        CU_TEST_INFO_NULL,
    };

    return suite_run("left_servers", tests);
}
