#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "common/metrics.h"
#include "tests/slots_driver.h"

static const char tree_round_robin_json[] =
    "{\"services\":{\"S\":{\"slots\":2,\"queue\":64,"
    "\"policy\":\"round_robin\",\"kinds\":{}}}}";

static const char tree_server_out_json[] =
    "{\"failure_domains\":{},\"backend_servers\":{\"s-1\":{\"state\":"
    "\"draining\"}}"
    ","
    "\"services\":{\"S\":{\"slots\":2,\"connections\":200,\"queue\":64,"
    "\"policy\":\"slots\",\"kinds\":{}}}}";

static const char tree_size_json[] =
    "{\"failure_domains\":{},\"backend_servers\":{},\"services\":{\"S\":{"
    "\"slots\":2,\"connections\":200,\"queue\":64,"
    "\"policy\":\"slots\",\"owner_scope\":\"size\",\"kinds\":{}}}}";

static const char tree_out_json[] =
    "{\"failure_domains\":{\"cairo-a\":{\"state\":\"out\"}},"
    "\"services\":{\"S\":{\"slots\":2,\"queue\":64,\"kinds\":{}}}}";

static const char tree_scout_json[] =
    "{\"services\":{\"S\":{\"slots\":2,\"connections\":200,\"queue\":64,"
    "\"policy\":\"fastest\",\"probes_per_s\":100,\"health_path\":\"/h\","
    "\"kinds\":{}}}}";

/* Longer than any owner has to answer, ms. */
#define PAUSE 60

static bool
all_slots_were_used(struct cluster *c)
{
    return slots_seen.most >= 2;
}

static bool
cold_server_was_used(struct cluster *c)
{
    return slots_seen.cold_grants >= 20;
}

static int grants_wanted;

static bool
enough_grants(struct cluster *c)
{
    return slots_seen.grants >= grants_wanted;
}

/* Whether all others have a gateway in a state. */
static bool
has_state(struct cluster *c, int of, enum ggw_member_state state)
{
    for (int i = 0; i < c->len; i++) {
        if (i != of && c->nodes[i].kernel != NULL &&
            !node_sees(&c->nodes[i], c->nodes[of].name, state)) {
            return false;
        }
    }
    return true;
}

static int state_of;

static bool
is_dead(struct cluster *c)
{
    return has_state(c, state_of, GGW_MEMBER_DEAD);
}

static uint64_t
fallback_grants(void)
{
    return *ggw_counter("ggw_slots_fallback_grants_total");
}

/* Guards against a sum of grants over all gateways above a server's slots. */
static void
test_limit_over_gateways(void)
{
    uint64_t before = fallback_grants();
    struct cluster *c = slots_cluster(3, 3, true);

    CU_ASSERT_TRUE(slots_drive_until(c, all_slots_were_used));
    CU_ASSERT_TRUE(slots_drive_until(c, cold_server_was_used));
    CU_ASSERT_EQUAL(slots_seen.cold_most, 1);
    /* A gateway that waited too long for an answer adds its share of one. */
    CU_ASSERT_TRUE(slots_seen.most <=
                   2 + (fallback_grants() > before ? 2 : 0));
    slots_cluster_free(c);
}

/*
 * Guards against a cold server that gets two requests, and against a gap in
 * grants longer than a suspicion takes, while each gateway in turn, and so the
 * owner, is paused until the others have buried it, and resumes.
 */
static void
test_owner_paused(void)
{
    struct cluster *c = slots_cluster(3, 3, true);
    ggw_ms gap = 0;

    CU_ASSERT_TRUE(slots_drive_until(c, cold_server_was_used));
    slots_drive_for(c, 300);
    for (int i = 0; i < c->len; i++) {
        slots_seen.longest_gap = 0;
        c->nodes[i].paused = true;
        state_of = i;
        CU_ASSERT_TRUE(slots_drive_until(c, is_dead));
        c->nodes[i].paused = false;
        CU_ASSERT_TRUE(slots_drive_until(c, cluster_joined));
        gap = MAX(gap, slots_seen.longest_gap);
        slots_seen.cold_grants = 0;
        CU_ASSERT_TRUE(slots_drive_until(c, cold_server_was_used));
    }
    printf("longest gap in grants %.1f ms, ", gap);
    CU_ASSERT_TRUE(gap < 700);
    CU_ASSERT_EQUAL(slots_seen.cold_most, 1);
    slots_cluster_free(c);
}

/* Guards against the loss of an owner that stops grants or breaks a limit. */
static void
test_owner_killed(void)
{
    struct cluster *c = slots_cluster(3, 3, true);

    CU_ASSERT_TRUE(slots_drive_until(c, cold_server_was_used));
    slots_drive_for(c, 300);
    for (int i = 0; i < 2; i++) {
        cluster_remove(c, &c->nodes[i]);
        slots_seen.open[i] = 0;
        grants_wanted = slots_seen.grants + 500;
        CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
        if (i == 0) {
            slots_seen.cold_grants = 0;
            CU_ASSERT_TRUE(slots_drive_until(c, cold_server_was_used));
        }
    }
    CU_ASSERT_EQUAL(slots_seen.cold_most, 1);
    /* Slots, plus one for each gateway that fell back (design 5.1). */
    CU_ASSERT_TRUE(slots_seen.most <= 2 + 2);
    slots_cluster_free(c);
}

/*
 * Guards against a minority that grants slots of a cold server: with every
 * link cut, each gateway believes to be the owner.
 */
static void
test_links_cut(void)
{
    struct cluster *c = slots_cluster(3, 3, true);
    int before;

    CU_ASSERT_TRUE(slots_drive_until(c, cold_server_was_used));
    slots_drive_for(c, 300);
    for (int i = 0; i < c->len; i++) {
        relay_set_mode(&c->nodes[i].relay, RELAY_CUT);
    }
    state_of = 0;
    CU_ASSERT_TRUE(slots_drive_until(c, is_dead));
    before = slots_seen.cold_grants;
    grants_wanted = slots_seen.grants + 500;
    CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
    CU_ASSERT_EQUAL(slots_seen.cold_grants, before);
    for (int i = 0; i < c->len; i++) {
        relay_set_mode(&c->nodes[i].relay, RELAY_CARRY);
    }
    CU_ASSERT_TRUE(slots_drive_until(c, cluster_joined));
    slots_seen.cold_grants = 0;
    CU_ASSERT_TRUE(slots_drive_until(c, cold_server_was_used));
    CU_ASSERT_EQUAL(slots_seen.cold_most, 1);
    /* Bound of design 5.1: the limit for each gateway that is an owner. */
    CU_ASSERT_TRUE(slots_seen.most <= 2 * 3);
    slots_cluster_free(c);
}

static bool
everything_refused(struct cluster *c)
{
    return slots_seen.refusals >= grants_wanted;
}

/*
 * Guards against work for servers that leave and for failure domains that are
 * out, also from requests that waited when the message arrived.
 */
static void
test_closed_servers(void)
{
    struct cluster *c = slots_cluster(1, 1, false);
    int grants;

    /* One cold server and four requests: three wait. */
    grants_wanted = 1;
    CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
    slots_seen.silent_driver = true;
    slots_publish_servers(c, &c->nodes[0], 2, 1, false, true);
    grants = slots_seen.grants;
    grants_wanted = REQUESTS - (int)slots_seen.running->len;
    CU_ASSERT_TRUE(cluster_wait(c, everything_refused));
    CU_ASSERT_TRUE(slots_seen.grants <= grants + 1);
    grants = slots_seen.grants;
    slots_publish_servers(c, &c->nodes[0], 3, 1, false, false);
    slots_publish_tree(&c->nodes[0], 2, tree_out_json);
    slots_seen.refusals = 0;
    grants_wanted = 1;
    cluster_run_once(c);
    slots_send_request(&c->nodes[0]);
    CU_ASSERT_TRUE(cluster_wait(c, everything_refused));
    CU_ASSERT_EQUAL(slots_seen.grants, grants);
    slots_cluster_free(c);
}

/* Guards against a request that is answered after it was cancelled. */
static void
test_cancel(void)
{
    struct cluster *c = slots_cluster(1, 1, false);
    int grants;

    grants_wanted = 1;
    CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
    slots_seen.silent_driver = true;
    grants = slots_seen.grants;
    /* The newest first, so that no slot becomes free in between. */
    for (uint64_t tag = slots_seen.next_tag; tag > 0; tag--) {
        ggw_kernel_send(c->nodes[0].kernel, "slots", &c->nodes[0].client->base,
                        ggw_slot_cancel_new(tag));
    }
    slots_drive_for(c, 100);
    CU_ASSERT_EQUAL(slots_seen.grants, grants);
    /* The slot was given back: a new request gets it. */
    grants_wanted = grants + 1;
    slots_send_request(&c->nodes[0]);
    CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
    slots_cluster_free(c);
}

static bool
spilled(struct cluster *c)
{
    return slots_seen.spilled >= 20;
}

/* Guards against slots that stay idle while another failure domain is full. */
static void
test_spill(void)
{
    struct cluster *c = slots_cluster_in("cairo-b", 2, 2, false);

    slots_drive_for(c, 1500);
    slots_seen.open[1] = 1000; /* the second gateway sends nothing more */
    CU_ASSERT_TRUE(slots_drive_until(c, spilled));
    CU_ASSERT_EQUAL(slots_seen.connections, 200 / 2);
    CU_ASSERT_TRUE(slots_seen.most <= 2 + 2);
    slots_cluster_free(c);
}

static bool
was_granted_out(struct cluster *c)
{
    return *ggw_counter("ggw_slots_refused_grants_total") >= 20;
}

/*
 * Guards against a second question to the home owner after a spilled request
 * was granted a server that only this gateway knows to be out: the first
 * question outlived its request.
 */
static void
test_spill_to_closed(void)
{
    struct cluster *c = slots_cluster_in("cairo-b", 2, 4, false);

    slots_publish_tree(&c->nodes[0], 2, tree_server_out_json);
    slots_seen.open[0] = -12;
    slots_seen.open[1] = 1000;
    CU_ASSERT_TRUE(slots_drive_until(c, was_granted_out));
    slots_drive_for(c, 500);
    slots_cluster_free(c);
}

/* Gateways in two failure domains, without servers. */
static struct cluster *
new_sized_cluster(int gateways)
{
    struct cluster *c = slots_cluster_in("cairo-b", gateways, 0, false);

    for (int i = 0; i < gateways; i++) {
        slots_publish_tree(&c->nodes[i], 2, tree_size_json);
    }
    cluster_run_once(c);
    return c;
}

/* Requests of gateway @i only, until it got @n grants. */
static void
expect_grants_of(struct cluster *c, int i, int n)
{
    for (int j = 0; j < c->len; j++) {
        slots_seen.open[j] = j == i ? 0 : 1000;
    }
    slots_seen.refusals = 0;
    slots_seen.spilled = 0;
    grants_wanted = slots_seen.grants + n;
    CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
    CU_ASSERT_EQUAL(slots_seen.refusals, 0);
    CU_ASSERT_EQUAL(slots_seen.spilled, 0);
}

/*
 * Guards against a gateway that takes a large service for one with a single
 * owner until it hears of its servers for a second time: that owner has none.
 */
static void
test_first_list(void)
{
    struct cluster *c = new_sized_cluster(4);

    for (int i = 0; i < 4; i++) {
        slots_publish_servers(c, &c->nodes[i], 2, 4 * 14, false, false);
    }
    for (int i = 0; i < 2; i++) {
        slots_publish_servers(c, &c->nodes[i], 3, 4 * 14, false, false);
    }
    slots_drive_for(c, 1500);
    expect_grants_of(c, 3, 100);
    slots_cluster_free(c);
}

/*
 * Guards against a gateway that starts after a service has shrunk, and divides
 * it otherwise than those which knew it before.
 */
static void
test_started_after_scale_in(void)
{
    struct cluster *c = new_sized_cluster(4);

    for (int i = 0; i < 3; i++) {
        slots_publish_servers(c, &c->nodes[i], 2, 4 * 14, false, false);
    }
    for (int i = 0; i < 4; i++) {
        slots_publish_servers(c, &c->nodes[i], 3, 4 * 5, false, false);
    }
    slots_seen.open[3] = 1000;
    slots_drive_for(c, 3000);
    expect_grants_of(c, 3, 100);
    slots_cluster_free(c);
}

/* Guards against a baseline that is limited or asks an owner. */
static void
test_baseline(void)
{
    struct cluster *c = slots_cluster(1, 2, false);

    slots_publish_tree(&c->nodes[0], 2, tree_round_robin_json);
    cluster_run_once(c);
    slots_seen.silent_driver = true;
    for (int i = 0; i < 10; i++) {
        slots_send_request(&c->nodes[0]);
    }
    grants_wanted = 10;
    CU_ASSERT_TRUE(cluster_wait(c, enough_grants));
    CU_ASSERT_EQUAL(slots_count_on("s-0"), 5);
    CU_ASSERT_EQUAL(slots_count_on("s-1"), 5);
    slots_cluster_free(c);
}

static bool
was_probed(struct cluster *c)
{
    return slots_seen.probes > 0;
}

/* Two gateways whose owner asks servers for their load, which takes a while.
 */
static struct cluster *
scouting_cluster(void)
{
    struct cluster *c = slots_cluster(2, 4, false);

    slots_drive_for(c, 1500);
    slots_seen.late_probes = true;
    for (int i = 0; i < 2; i++) {
        slots_publish_tree(&c->nodes[i], 2, tree_scout_json);
    }
    return c;
}

/*
 * Guards against an owner that counts as silent while it waits for the load
 * reports that it asks for: every fifth request was then placed without it.
 */
static void
test_owner_that_scouts(void)
{
    struct cluster *c = scouting_cluster();
    uint64_t before = fallback_grants();

    grants_wanted = slots_seen.grants + 200;
    CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
    /* A pause of this process is seen by the few requests under way. */
    CU_ASSERT_TRUE(fallback_grants() - before <= 200 / 10);
    slots_cluster_free(c);
}

/* Runs the cluster with a pause of this process every 100 ms. */
static bool
drive_with_pauses(struct cluster *c, bool (*condition)(struct cluster *))
{
    ggw_ms end = slots_now() + CLUSTER_LIMIT;

    while (!condition(c) && slots_now() < end) {
        slots_drive_for(c, 100);
        g_usleep(PAUSE * 1000);
    }
    return condition(c);
}

/*
 * Guards against a gateway that counts the owner as silent because it did not
 * run itself: answers that had arrived meanwhile were read only after that.
 */
static void
test_paused_gateway(void)
{
    struct cluster *c = scouting_cluster();
    uint64_t before = fallback_grants();

    grants_wanted = slots_seen.grants + 400;
    CU_ASSERT_TRUE(drive_with_pauses(c, enough_grants));
    CU_ASSERT_EQUAL(fallback_grants() - before, 0);
    slots_cluster_free(c);
}

/* Guards against a silent server whose draining nobody notices. */
static void
test_probe(void)
{
    struct cluster *c = slots_cluster(1, 1, false);

    slots_seen.drain_at_probe = true;
    CU_ASSERT_TRUE(cluster_wait(c, was_probed));
    cluster_run_once(c);
    slots_seen.refusals = 0;
    grants_wanted = 1;
    slots_send_request(&c->nodes[0]);
    CU_ASSERT_TRUE(cluster_wait(c, everything_refused));
    CU_ASSERT_EQUAL(slots_seen.grants, 0);
    slots_cluster_free(c);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("slots", NULL, NULL);
    CU_add_test(suite, "limit over gateways", test_limit_over_gateways);
    CU_add_test(suite, "owner paused", test_owner_paused);
    CU_add_test(suite, "owner killed", test_owner_killed);
    CU_add_test(suite, "links cut", test_links_cut);
    CU_add_test(suite, "closed servers", test_closed_servers);
    CU_add_test(suite, "cancel", test_cancel);
    CU_add_test(suite, "spill", test_spill);
    CU_add_test(suite, "spill to closed", test_spill_to_closed);
    CU_add_test(suite, "first list", test_first_list);
    CU_add_test(suite, "started after scale-in", test_started_after_scale_in);
    CU_add_test(suite, "baseline", test_baseline);
    CU_add_test(suite, "owner that scouts", test_owner_that_scouts);
    CU_add_test(suite, "paused gateway", test_paused_gateway);
    CU_add_test(suite, "probe", test_probe);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    g_array_unref(slots_seen.running);
    g_array_unref(slots_seen.unanswered);
    ggw_metrics_fini();
    return failures != 0;
}
