#include <CUnit/Basic.h>
#include <math.h>
#include <string.h>

#include "decide/view.h"

#define SEED 503
#define NAMES 4

static const char *const names[NAMES] = {"g1", "g2", "g3", "g4"};

static struct ggw_view *
new_view(int seeds)
{
    struct ggw_view_hello self = {.name = "g0",
                                  .failure_domain = "cairo-a",
                                  .host = "127.0.0.1",
                                  .port = 80,
                                  .incarnation = 100};

    return ggw_view_new(&self, seeds, 0);
}

static bool
hello(struct ggw_view *v, const char *name, uint64_t incarnation, bool leaving,
      ggw_ms now)
{
    struct ggw_view_hello h = {.name = name,
                               .failure_domain = "cairo-b",
                               .host = "127.0.0.1",
                               .port = 81,
                               .incarnation = incarnation,
                               .leaving = leaving};

    return ggw_view_hello(v, &h, now);
}

static enum ggw_member_state
state(struct ggw_view *v, const char *name)
{
    return ggw_view_state(ggw_view_find(v, name));
}

/* Applies a list of all names but @without, with @leaving marked leaving. */
static void
apply_list(struct ggw_view *v, uint64_t version, const char *without,
           const char *leaving, uint64_t incarnation)
{
    struct ggw_vm *vms = g_new0(struct ggw_vm, NAMES + 1);
    struct ggw_vm_list list = {.refs = 1, .version = version, .vms = vms};

    vms[list.len++] = (struct ggw_vm){.name = (char *)"g0",
                                      .failure_domain = (char *)"cairo-a"};
    for (int i = 0; i < NAMES; i++) {
        if (strcmp(names[i], without) == 0) {
            continue;
        }
        vms[list.len].name = (char *)names[i];
        vms[list.len].failure_domain = (char *)"cairo-b";
        vms[list.len].incarnation = incarnation;
        vms[list.len].leaving = strcmp(names[i], leaving) == 0;
        list.len++;
    }
    ggw_view_apply_vm_list(v, &list);
    g_free(vms);
}

/*
 * Guards against wrong timeouts for suspicion and death, silence counted while
 * this process was stalled, and a dead incarnation that is accepted again.
 */
static void
test_silence(void)
{
    struct ggw_view *v = new_view(0);

    CU_ASSERT_TRUE(hello(v, "g1", 5, false, 0));
    ggw_view_tick(v, GGW_SUSPECT_AFTER);
    CU_ASSERT_EQUAL(state(v, "g1"), GGW_MEMBER_ALIVE);
    ggw_view_tick(v, GGW_SUSPECT_AFTER + 1);
    CU_ASSERT_EQUAL(state(v, "g1"), GGW_MEMBER_SUSPECTED);
    CU_ASSERT_TRUE(ggw_view_record_heartbeat(v, "g1", 5, false, 800));
    CU_ASSERT_EQUAL(state(v, "g1"), GGW_MEMBER_ALIVE);
    ggw_view_add_stall(v, 5000);
    ggw_view_tick(v, 800 + 5000);
    CU_ASSERT_EQUAL(state(v, "g1"), GGW_MEMBER_ALIVE);
    ggw_view_tick(v, 800 + 5000 + GGW_DEAD_AFTER + 1);
    CU_ASSERT_EQUAL(state(v, "g1"), GGW_MEMBER_DEAD);
    CU_ASSERT_FALSE(hello(v, "g1", 5, false, 9000));
    CU_ASSERT_FALSE(ggw_view_record_heartbeat(v, "g1", 5, false, 9000));
    CU_ASSERT_TRUE(hello(v, "g1", 6, false, 9000));
    CU_ASSERT_EQUAL(state(v, "g1"), GGW_MEMBER_ALIVE);
    ggw_view_free(v);
}

/*
 * Guards against a member that left becoming alive again through an outdated
 * list of VMs or message, and against a list that marks an older incarnation
 * as leaving.
 */
static void
test_late_list(void)
{
    struct ggw_view *v = new_view(0);

    hello(v, "g1", 500, false, 0);
    apply_list(v, 2, "", "g1", 500);
    CU_ASSERT_EQUAL(state(v, "g1"), GGW_MEMBER_LEAVING);
    apply_list(v, 1, "", "", 500);
    CU_ASSERT_EQUAL(state(v, "g1"), GGW_MEMBER_LEAVING);
    apply_list(v, 3, "", "g1", 400);
    CU_ASSERT_EQUAL(state(v, "g1"), GGW_MEMBER_ALIVE);
    ggw_view_record_heartbeat(v, "g1", 500, true, 10);
    apply_list(v, 4, "", "", 500);
    CU_ASSERT_EQUAL(state(v, "g1"), GGW_MEMBER_LEAVING);
    CU_ASSERT_FALSE(hello(v, "g1", 499, false, 20));
    ggw_view_record_heartbeat(v, "g1", 500, false, 20);
    CU_ASSERT_EQUAL(state(v, "g1"), GGW_MEMBER_LEAVING);
    ggw_view_free(v);
}

/*
 * Guards against a gateway that counts itself in a majority without one: with
 * too few or outdated acknowledgements, or because dead members no longer
 * count, so that both sides of a network partition would have a majority.
 */
static void
test_majority(void)
{
    struct ggw_view *v = new_view(3);

    CU_ASSERT_EQUAL(ggw_view_cluster_size(v), 4);
    CU_ASSERT_EQUAL(ggw_view_majority_valid_until(v), -INFINITY);
    for (int i = 0; i < 3; i++) {
        hello(v, names[i], 5, false, 0);
    }
    ggw_view_record_ack(v, "g1", 5, 100);
    CU_ASSERT_EQUAL(ggw_view_majority_valid_until(v), -INFINITY);
    ggw_view_record_ack(v, "g2", 4, 200);
    CU_ASSERT_EQUAL(ggw_view_majority_valid_until(v), -INFINITY);
    ggw_view_record_ack(v, "g2", 5, 200);
    CU_ASSERT_EQUAL(ggw_view_majority_valid_until(v), 100 + GGW_SUSPECT_AFTER);
    ggw_view_tick(v, 3000);
    CU_ASSERT_EQUAL(state(v, "g3"), GGW_MEMBER_DEAD);
    CU_ASSERT_EQUAL(ggw_view_cluster_size(v), 4);
    apply_list(v, 1, "g3", "", 5);
    CU_ASSERT_EQUAL(ggw_view_cluster_size(v), 4); /* g4 is listed, g3 is not */
    apply_list(v, 2, "g4", "g3", 5);
    CU_ASSERT_EQUAL(ggw_view_cluster_size(v), 3);
    ggw_view_free(v);
    v = new_view(0);
    CU_ASSERT_EQUAL(ggw_view_majority_valid_until(v), INFINITY);
    ggw_view_free(v);
}

struct model {
    uint64_t incarnation; /* highest accepted */
    uint64_t gone;        /* highest that left or died */
    ggw_ms heard_at;
};

static void
random_event(struct ggw_view *v, GRand *r, struct model *model, ggw_ms now)
{
    int i = g_rand_int_range(r, 0, NAMES);
    uint64_t inc = (uint64_t)g_rand_int_range(r, 1, 12);
    bool leaving = g_rand_int_range(r, 0, 10) == 0;
    bool accepted = false;

    switch (g_rand_int_range(r, 0, 4)) {
    case 0:
        accepted = hello(v, names[i], inc, leaving, now);
        break;
    case 1:
        accepted = ggw_view_record_heartbeat(v, names[i], inc, leaving, now);
        break;
    case 2:
        apply_list(v, (uint64_t)g_rand_int_range(r, 0, 50),
                   names[g_rand_int_range(r, 0, NAMES)], names[i], inc);
        break;
    default:
        ggw_view_tick(v, now);
        break;
    }
    if (accepted) {
        CU_ASSERT_TRUE(inc >= model[i].incarnation);
        model[i].incarnation = inc;
        model[i].heard_at = now;
        if (leaving) {
            model[i].gone = inc;
        }
    }
}

/*
 * Guards against delayed and reordered messages that make an incarnation alive
 * again after it left, died or was replaced, or that make a silent member
 * alive.
 */
static void
test_random_histories(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);

    for (int history = 0; history < 300; history++) {
        struct ggw_view *v = new_view(0);
        struct model model[NAMES] = {0};
        ggw_ms now = 0;

        for (int step = 0; step < 300; step++) {
            now += g_rand_double_range(r, 0, 300);
            random_event(v, r, model, now);
            ggw_view_tick(v, now);
            for (int i = 0; i < NAMES; i++) {
                const struct ggw_view_member *m = ggw_view_find(v, names[i]);

                if (m == NULL) {
                    continue;
                }
                CU_ASSERT_TRUE(m->member.incarnation == model[i].incarnation);
                if (m->member.state == GGW_MEMBER_DEAD) {
                    model[i].gone = MAX(model[i].gone, model[i].incarnation);
                }
                if (m->member.state == GGW_MEMBER_ALIVE) {
                    CU_ASSERT_TRUE(m->member.incarnation > model[i].gone);
                    CU_ASSERT_TRUE(now - model[i].heard_at <=
                                   GGW_SUSPECT_AFTER);
                }
            }
        }
        ggw_view_free(v);
    }
}

/*
 * Guards against heartbeat traffic that grows with the square of the number of
 * gateways, and against timeouts that do not grow with the interval.
 */
static void
test_interval_factor(void)
{
    struct ggw_view_hello self = {.name = "gw-00",
                                  .incarnation = 1,
                                  .failure_domain = "fd",
                                  .host = "10.0.0.1",
                                  .port = 1};
    struct ggw_view *v = ggw_view_new(&self, 0, 0);
    char name[8];

    for (int i = 1; i < 30; i++) {
        struct ggw_view_hello hello = self;

        CU_ASSERT_EQUAL(ggw_view_interval_factor(v) > 1,
                        i > GGW_VIEW_UNSCALED_MAX);
        g_snprintf(name, sizeof(name), "gw-%02d", i);
        hello.name = name;
        CU_ASSERT_TRUE(ggw_view_hello(v, &hello, 0));
    }
    ggw_view_tick(v, GGW_SUSPECT_AFTER + 1);
    CU_ASSERT_EQUAL(ggw_view_state(ggw_view_find(v, "gw-01")),
                    GGW_MEMBER_ALIVE);
    ggw_view_tick(v, ggw_view_interval_factor(v) * GGW_SUSPECT_AFTER + 1);
    CU_ASSERT_EQUAL(ggw_view_state(ggw_view_find(v, "gw-01")),
                    GGW_MEMBER_SUSPECTED);
    ggw_view_free(v);
}

/* Longest time, in ms, for which a gateway that lost power may be listed. */
#define MAX_LISTED_AFTER_DEATH 7000.0

/* Heartbeats of 100 bytes that fit into 1% of 20 Mbit/s, per second. */
#define MAX_HEARTBEATS_PER_S 250

/*
 * Guards against heartbeats of hundreds of gateways that take more of a slow
 * link than the requests do, and against a factor so high that the death of a
 * gateway is noticed too late.
 */
static void
test_interval_factor_hundreds(void)
{
    static const int sizes[] = {48, 100, 189, 300};
    struct ggw_view_hello self = {.name = "gw-000",
                                  .incarnation = 1,
                                  .failure_domain = "fd",
                                  .host = "10.0.0.1",
                                  .port = 1};
    struct ggw_view *v = ggw_view_new(&self, 0, 0);
    char name[8];
    int n = 1;

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        double per_second;

        for (; n < sizes[i]; n++) {
            struct ggw_view_hello hello = self;

            g_snprintf(name, sizeof(name), "gw-%03d", n);
            hello.name = name;
            CU_ASSERT_TRUE(ggw_view_hello(v, &hello, 0));
        }
        per_second =
            n * 1000 / (ggw_view_interval_factor(v) * GGW_HEARTBEAT_INTERVAL);
        CU_ASSERT_TRUE(per_second <= MAX_HEARTBEATS_PER_S);
        CU_ASSERT_TRUE(ggw_view_interval_factor(v) * GGW_SUSPECT_AFTER <
                       MAX_LISTED_AFTER_DEATH - 2000);
    }
    ggw_view_free(v);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("view", NULL, NULL);
    CU_add_test(suite, "silence", test_silence);
    CU_add_test(suite, "late list", test_late_list);
    CU_add_test(suite, "majority", test_majority);
    CU_add_test(suite, "random histories", test_random_histories);
    CU_add_test(suite, "interval factor", test_interval_factor);
    CU_add_test(suite, "interval factor of hundreds",
                test_interval_factor_hundreds);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
