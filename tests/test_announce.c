#include <CUnit/CUnit.h>

#include "decide/announce.h"
#include "tests/suite.h"

/* Tick of an owner, in ms. */
#define TICK 100.0

/*
 * Guards against an announcement at every tick while the servers of a cluster
 * become warm one after another.
 */
static void
test_warming(void)
{
    struct ggw_announce_state s = {.announced = true, .warm_added = true};
    int sent = 0;

    for (int i = 1; i <= 100; i++) {
        ggw_ms now = TICK * i;

        if (ggw_announce_due(&s, now)) {
            s.announced_at = now;
            sent++;
        }
    }
    CU_ASSERT_EQUAL(sent, 10);
}

/*
 * Guards against a server that is no longer warm and gets requests without a
 * grant, and against idle slots that nobody knows of.
 */
static void
test_urgent(void)
{
    struct ggw_announce_state first = {0};
    struct ggw_announce_state removed = {.announced = true,
                                         .warm_removed = true};
    struct ggw_announce_state none_left = {.announced = true,
                                           .announced_free_slots = 4};
    struct ggw_announce_state some_free = {.announced = true, .free_slots = 1};

    CU_ASSERT_TRUE(ggw_announce_due(&first, 1));
    CU_ASSERT_TRUE(ggw_announce_due(&removed, 1));
    CU_ASSERT_TRUE(ggw_announce_due(&none_left, 1));
    CU_ASSERT_TRUE(ggw_announce_due(&some_free, 1));
}

/* Guards against announcements of what all gateways know already. */
static void
test_unchanged(void)
{
    struct ggw_announce_state s = {
        .announced = true, .announced_free_slots = 4, .free_slots = 4};

    CU_ASSERT_FALSE(ggw_announce_due(&s, 1e6));
    s.free_slots = 8;
    CU_ASSERT_FALSE(ggw_announce_due(&s, GGW_ANNOUNCE_INTERVAL - 1));
    CU_ASSERT_TRUE(ggw_announce_due(&s, GGW_ANNOUNCE_INTERVAL));
}

static void
test_round_slots(void)
{
    CU_ASSERT_EQUAL(ggw_announce_round_slots(-1), 0);
    CU_ASSERT_EQUAL(ggw_announce_round_slots(0), 0);
    CU_ASSERT_EQUAL(ggw_announce_round_slots(1), 1);
    CU_ASSERT_EQUAL(ggw_announce_round_slots(7), 4);
    CU_ASSERT_EQUAL(ggw_announce_round_slots(8), 8);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"warming", test_warming},
        {"urgent", test_urgent},
        {"unchanged", test_unchanged},
        {"round slots", test_round_slots},
        CU_TEST_INFO_NULL,
    };

    return suite_run("announce", tests);
}
