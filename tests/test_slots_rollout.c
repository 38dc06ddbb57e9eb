#include <CUnit/CUnit.h>
#include <string.h>

#include "common/metrics.h"
#include "decide/owner.h"
#include "tests/slots_driver.h"
#include "tests/suite.h"

#define GATEWAYS 3

/* Servers s-0 to s-3 run the old version, s-4 and s-5 the new one. */
#define OLD_SERVERS 4
#define SERVERS 6

#define SLACK 4

/* Time in ms in which a stage and the grants before it have arrived. */
#define SETTLE_MS 50

static const char tree_round_robin_json[] =
    "{\"services\":{\"S\":{\"slots\":2,\"queue\":64,"
    "\"policy\":\"round_robin\",\"kinds\":{}}}}";

static void
publish_stage(struct node *n, uint64_t term, enum ggw_rollout_stage stage,
              double percent, int slack)
{
    struct ggw_message *m = ggw_rollout_limits_new("T", "S");
    struct ggw_rollout_limits *limits = (struct ggw_rollout_limits *)m;

    limits->order = 1;
    limits->term = term;
    limits->stage = stage;
    limits->target = g_strdup(NEW_VERSION);
    limits->exposure_percent = percent;
    limits->exposure_slack = slack;
    ggw_kernel_send(n->kernel, "slots", NULL, m);
}

/* Publishes a stage to all gateways but @except; -1 for none. */
static void
publish_stage_to_all(struct cluster *c, int except, uint64_t term,
                     enum ggw_rollout_stage stage, double percent)
{
    for (int i = 0; i < c->len; i++) {
        if (i != except) {
            publish_stage(&c->nodes[i], term, stage, percent, SLACK);
        }
    }
}

/*
 * Creates a cluster with a trial in progress: the gateways learn of the order
 * before the servers of the new version are listed.
 */
static struct cluster *
new_cluster(int gateways, double percent)
{
    struct cluster *c = slots_cluster(gateways, OLD_SERVERS, false);

    slots_stats.new_from = OLD_SERVERS;
    publish_stage_to_all(c, -1, 1, GGW_ROLLOUT_TRIAL, percent);
    cluster_run_once(c);
    for (int i = 0; i < c->len; i++) {
        slots_publish_servers(c, &c->nodes[i], 2, SERVERS, false, false);
    }
    cluster_run_once(c);
    return c;
}

static int
owner_of(const struct cluster *c)
{
    struct ggw_member members[CLUSTER_MAX] = {0};

    for (int i = 0; i < c->len; i++) {
        members[i].name = (char *)c->nodes[i].name;
        members[i].failure_domain = (char *)c->nodes[i].domain;
        members[i].host = (char *)"127.0.0.1";
        members[i].state = GGW_MEMBER_ALIVE;
    }
    return (int)ggw_owner_pick("T", "S", "cairo-a", members, (size_t)c->len);
}

static int
sum_except(const int *counts, int except)
{
    int n = 0;

    for (int i = 0; i < CLUSTER_MAX; i++) {
        n += i != except ? counts[i] : 0;
    }
    return n;
}

static void
reset_grants(void)
{
    memset(slots_stats.old_grants, 0, sizeof(slots_stats.old_grants));
    memset(slots_stats.new_grants, 0, sizeof(slots_stats.new_grants));
}

static int grants_wanted;

static bool
enough_grants(struct cluster *c)
{
    return slots_stats.grants >= grants_wanted;
}

static void
drive_grants(struct cluster *c, int n)
{
    grants_wanted = slots_stats.grants + n;
    CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
}

static bool
new_version_was_used(struct cluster *c)
{
    return sum_except(slots_stats.new_grants, -1) >= 100;
}

static int watched_gateway;

static bool
others_see_dead(struct cluster *c)
{
    for (int i = 0; i < c->len; i++) {
        if (i != watched_gateway &&
            !node_sees(&c->nodes[i], c->nodes[watched_gateway].name,
                       GGW_MEMBER_DEAD)) {
            return false;
        }
    }
    return true;
}

static void
set_links(struct cluster *c, enum relay_mode mode)
{
    for (int i = 0; i < c->len; i++) {
        relay_set_mode(&c->nodes[i].relay, mode);
    }
}

/*
 * Guards against more requests on a new version, over all gateways, than its
 * limit, while the gateways cannot reach each other and each owns all servers,
 * and after ownership has moved.
 */
static void
test_sum_over_gateways(void)
{
    struct cluster *c = new_cluster(GATEWAYS, 10);
    int old;
    int new;

    drive_grants(c, 1500);
    set_links(c, RELAY_CUT);
    watched_gateway = owner_of(c);
    CU_ASSERT_TRUE(slots_drive_until(c, others_see_dead));
    drive_grants(c, 1500);
    set_links(c, RELAY_FORWARD);
    CU_ASSERT_TRUE(slots_drive_until(c, cluster_joined));
    drive_grants(c, 1500);
    slots_stats.sending_stopped = true;
    slots_drive_for(c, SETTLE_MS);
    old = sum_except(slots_stats.old_grants, -1);
    new = sum_except(slots_stats.new_grants, -1);
    CU_ASSERT_TRUE(new <= 0.1 * (old + new) + SLACK);
    CU_ASSERT_TRUE(new >= 0.05 * (old + new));
    slots_cluster_free(c);
}

/**
 * struct last_counts - last counts of a gateway
 * @term, @held_old, @granted_old: see struct ggw_rollout_counts
 * @old, @new: slots granted on both versions on the route "r"
 * @other_routes: a sample has another route
 * @held_seen: the gateway reported requests on old servers
 * @messages: number of counts received in this term
 */
struct last_counts {
    uint64_t term;
    int held_old;
    int granted_old;
    uint32_t old;
    uint32_t new;
    bool other_routes;
    bool held_seen;
    int messages;
};

static struct last_counts last_counts[CLUSTER_MAX];

static void
store_counts(struct node *node, const struct ggw_rollout_counts *m)
{
    struct last_counts *last = &last_counts[node->name[3] - '0'];

    *last = (struct last_counts){
        .term = m->term,
        .held_old = m->held_old,
        .granted_old = m->granted_old,
        .messages = (last->term == m->term ? last->messages : 0) + 1,
        .held_seen = last->held_seen || m->held_old > 0,
    };
    for (guint i = 0; i < m->samples->len; i++) {
        const struct ggw_rollout_sample *s =
            &g_array_index(m->samples, struct ggw_rollout_sample, i);

        last->other_routes |= strcmp(s->route, "r") != 0;
        *(s->is_target ? &last->new : &last->old) += s->granted;
    }
}

/*
 * Guards against requests on a version on trial that no owner has counted: the
 * owner does not answer, and the other gateways place requests without it.
 */
static void
test_fallback_in_trial(void)
{
    struct cluster *c = new_cluster(GATEWAYS, 50);
    int owner = owner_of(c);
    uint64_t fallbacks;

    CU_ASSERT_TRUE(slots_drive_until(c, new_version_was_used));
    slots_drive_for(c, 500); /* the new servers are announced as warm */
    publish_stage_to_all(c, -1, 2, GGW_ROLLOUT_TRIAL, 0);
    slots_drive_for(c, SETTLE_MS);
    reset_grants();
    fallbacks = *ggw_counter("ggw_slots_fallback_grants_total");
    c->nodes[owner].paused = true;
    slots_drive_for(c, 400);
    CU_ASSERT_TRUE(*ggw_counter("ggw_slots_fallback_grants_total") >
                   fallbacks + 20);
    CU_ASSERT_EQUAL(sum_except(slots_stats.new_grants, -1), 0);
    c->nodes[owner].paused = false;
    CU_ASSERT_TRUE(slots_drive_until(c, cluster_joined));
    CU_ASSERT_EQUAL(sum_except(slots_stats.new_grants, -1), 0);

    /* Nor does one that was rolled back, of which no counts are sent. */
    memset(last_counts, 0, sizeof(last_counts));
    slots_stats.on_counts = store_counts;
    publish_stage_to_all(c, -1, 3, GGW_ROLLOUT_ROLLED_BACK, 50);
    slots_drive_for(c, SETTLE_MS);
    reset_grants();
    slots_drive_for(c, 1000);
    CU_ASSERT_EQUAL(sum_except(slots_stats.new_grants, -1), 0);
    CU_ASSERT_TRUE(sum_except(slots_stats.old_grants, -1) > 0);
    for (int i = 0; i < c->len; i++) {
        CU_ASSERT_EQUAL(last_counts[i].term, 3);
        CU_ASSERT_EQUAL(last_counts[i].messages, 1);
    }
    slots_cluster_free(c);
}

/*
 * Guards against requests on old servers that an owner has granted because it
 * has not learned of the switch, by gateways that have.
 */
static void
test_owner_learns_late(void)
{
    struct cluster *c = new_cluster(GATEWAYS, 50);
    int owner = owner_of(c);

    CU_ASSERT_TRUE(slots_drive_until(c, new_version_was_used));
    publish_stage_to_all(c, owner, 2, GGW_ROLLOUT_SWITCHING, 0);
    slots_drive_for(c, SETTLE_MS);
    reset_grants();
    slots_drive_for(c, 500);
    CU_ASSERT_TRUE(slots_stats.old_grants[owner] > 0);
    CU_ASSERT_EQUAL(sum_except(slots_stats.old_grants, owner), 0);
    CU_ASSERT_TRUE(sum_except(slots_stats.new_grants, owner) > 0);
    publish_stage(&c->nodes[owner], 2, GGW_ROLLOUT_SWITCHING, 0, 0);
    slots_drive_for(c, SETTLE_MS);
    reset_grants();
    drive_grants(c, 300);
    CU_ASSERT_EQUAL(sum_except(slots_stats.old_grants, -1), 0);
    slots_cluster_free(c);
}

/*
 * Guards against requests on old servers after the switch by gateways that get
 * no answer from the owner.
 */
static void
test_owner_silent(void)
{
    struct cluster *c = new_cluster(GATEWAYS, 50);
    int owner = owner_of(c);

    CU_ASSERT_TRUE(slots_drive_until(c, new_version_was_used));
    slots_drive_for(c, 500);
    c->nodes[owner].paused = true;
    publish_stage_to_all(c, owner, 2, GGW_ROLLOUT_SWITCHING, 0);
    slots_drive_for(c, SETTLE_MS);
    reset_grants();
    slots_drive_for(c, 2000);
    CU_ASSERT_EQUAL(sum_except(slots_stats.old_grants, -1), 0);
    CU_ASSERT_TRUE(sum_except(slots_stats.new_grants, -1) > 0);
    c->nodes[owner].paused = false;
    slots_cluster_free(c);
}

/*
 * Guards against counts from which the deciding gateway cannot judge: without
 * the routes of other gateways' requests, without the requests that still run
 * on old servers, or in too many messages.
 */
static void
test_counts(void)
{
    struct cluster *c = new_cluster(2, 50);
    int owner = owner_of(c);
    const struct last_counts *of_owner = &last_counts[owner];

    memset(last_counts, 0, sizeof(last_counts));
    slots_stats.on_counts = store_counts;
    slots_stats.route = "r";
    CU_ASSERT_TRUE(slots_drive_until(c, new_version_was_used));
    last_counts[owner].messages = 0;
    slots_drive_for(c, 1000);
    CU_ASSERT_TRUE(of_owner->messages >= 2 && of_owner->messages <= 6);
    CU_ASSERT_TRUE(of_owner->new > 50 && of_owner->old > 50);
    CU_ASSERT_FALSE(of_owner->other_routes);
    CU_ASSERT_TRUE(of_owner->granted_old > 0);
    CU_ASSERT_EQUAL(last_counts[1 - owner].new, 0);
    publish_stage_to_all(c, -1, 2, GGW_ROLLOUT_SWITCHING, 0);
    slots_drive_for(c, 400);
    for (int i = 0; i < c->len; i++) {
        CU_ASSERT_EQUAL(last_counts[i].term, 2);
        CU_ASSERT_TRUE(last_counts[i].held_seen);
        CU_ASSERT_EQUAL(last_counts[i].held_old, 0);
        CU_ASSERT_EQUAL(last_counts[i].granted_old, 0);
    }
    slots_cluster_free(c);
}

/*
 * Guards against requests on a version that the stage closes, or that are not
 * counted, by a policy that asks no owner, and against an older stage that
 * arrives later.
 */
static void
test_policy_without_owner(void)
{
    struct cluster *c = new_cluster(1, 50);

    slots_publish_tree(&c->nodes[0], 2, tree_round_robin_json);
    slots_drive_for(c, SETTLE_MS);
    reset_grants();
    drive_grants(c, 100);
    CU_ASSERT_EQUAL(slots_stats.new_grants[0], 0);
    publish_stage(&c->nodes[0], 3, GGW_ROLLOUT_COMPLETED, 0, 0);
    publish_stage(&c->nodes[0], 2, GGW_ROLLOUT_ROLLED_BACK, 0, 0);
    slots_drive_for(c, SETTLE_MS);
    reset_grants();
    drive_grants(c, 100);
    CU_ASSERT_EQUAL(slots_stats.old_grants[0], 0);
    slots_cluster_free(c);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"sum over gateways", test_sum_over_gateways},
        {"fallback in a trial", test_fallback_in_trial},
        {"owner learns late", test_owner_learns_late},
        {"owner silent", test_owner_silent},
        {"counts", test_counts},
        {"policy without owner", test_policy_without_owner},
        CU_TEST_INFO_NULL,
    };

    return suite_run("slots rollout", tests);
}
