#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "common/metrics.h"
#include "tests/slots_driver.h"

static const char tree_round_robin_json[] =
    "{\"services\":{\"S\":{\"slots\":2,\"queue\":64,"
    "\"policy\":\"round_robin\",\"kinds\":{}}}}";

static const char tree_server_draining_json[] =
    "{\"failure_domains\":{},\"backend_servers\":{\"s-1\":{\"state\":"
    "\"draining\"}}"
    ","
    "\"services\":{\"S\":{\"slots\":2,\"connections\":200,\"queue\":64,"
    "\"policy\":\"slots\",\"kinds\":{}}}}";

static const char tree_scope_size_json[] =
    "{\"failure_domains\":{},\"backend_servers\":{},\"services\":{\"S\":{"
    "\"slots\":2,\"connections\":200,\"queue\":64,"
    "\"policy\":\"slots\",\"owner_scope\":\"size\",\"kinds\":{}}}}";

static const char tree_domain_out_json[] =
    "{\"failure_domains\":{\"cairo-a\":{\"state\":\"out\"}},"
    "\"services\":{\"S\":{\"slots\":2,\"queue\":64,\"kinds\":{}}}}";

static const char tree_probe_json[] =
    "{\"services\":{\"S\":{\"slots\":2,\"connections\":200,\"queue\":64,"
    "\"policy\":\"fastest\",\"probes_per_s\":100,\"health_path\":\"/h\","
    "\"kinds\":{}}}}";

/* Pause in ms, longer than the time that any owner has to answer. */
#define PAUSE_MS 60

static bool
all_slots_were_used(struct cluster *c)
{
    return slots_stats.max_running >= 2;
}

static bool
cold_server_was_used(struct cluster *c)
{
    return slots_stats.cold_grants >= 20;
}

static int grants_wanted;

static bool
enough_grants(struct cluster *c)
{
    return slots_stats.grants >= grants_wanted;
}

/* Returns whether all other gateways see gateway @of in a state. */
static bool
others_see_state(struct cluster *c, int of, enum ggw_member_state state)
{
    for (int i = 0; i < c->len; i++) {
        if (i != of && c->nodes[i].kernel != NULL &&
            !node_sees(&c->nodes[i], c->nodes[of].name, state)) {
            return false;
        }
    }
    return true;
}

static int watched_gateway;

static bool
others_see_dead(struct cluster *c)
{
    return others_see_state(c, watched_gateway, GGW_MEMBER_DEAD);
}

static uint64_t
fallback_grants(void)
{
    return *ggw_counter("ggw_slots_fallback_grants_total");
}

/*
 * Guards against more concurrent grants on a server, over all gateways, than
 * the server has slots.
 */
static void
test_limit_over_gateways(void)
{
    uint64_t before = fallback_grants();
    struct cluster *c = slots_cluster(3, 3, true);

    CU_ASSERT_TRUE(slots_drive_until(c, all_slots_were_used));
    CU_ASSERT_TRUE(slots_drive_until(c, cold_server_was_used));
    CU_ASSERT_EQUAL(slots_stats.cold_max_running, 1);
    /* Each gateway in fallback may add its share of the slots, which is 1. */
    CU_ASSERT_TRUE(slots_stats.max_running <=
                   2 + (fallback_grants() > before ? 2 : 0));
    slots_cluster_free(c);
}

/*
 * Guards against two concurrent requests on a cold server, and against a gap
 * in grants longer than failure detection takes. Each gateway in turn, and so
 * the owner too, is paused until the others declare it dead, and then resumes.
 */
static void
test_owner_paused(void)
{
    struct cluster *c = slots_cluster(3, 3, true);
    ggw_ms gap = 0;

    CU_ASSERT_TRUE(slots_drive_until(c, cold_server_was_used));
    slots_drive_for(c, 300);
    for (int i = 0; i < c->len; i++) {
        slots_stats.longest_gap = 0;
        c->nodes[i].paused = true;
        watched_gateway = i;
        CU_ASSERT_TRUE(slots_drive_until(c, others_see_dead));
        c->nodes[i].paused = false;
        CU_ASSERT_TRUE(slots_drive_until(c, cluster_joined));
        gap = MAX(gap, slots_stats.longest_gap);
        slots_stats.cold_grants = 0;
        CU_ASSERT_TRUE(slots_drive_until(c, cold_server_was_used));
    }
    printf("longest gap in grants %.1f ms, ", gap);
    CU_ASSERT_TRUE(gap < 700);
    CU_ASSERT_EQUAL(slots_stats.cold_max_running, 1);
    slots_cluster_free(c);
}

/* Guards against an owner's loss that stops grants or exceeds a limit. */
static void
test_owner_killed(void)
{
    struct cluster *c = slots_cluster(3, 3, true);

    CU_ASSERT_TRUE(slots_drive_until(c, cold_server_was_used));
    slots_drive_for(c, 300);
    for (int i = 0; i < 2; i++) {
        cluster_remove(c, &c->nodes[i]);
        slots_stats.open_requests[i] = 0;
        grants_wanted = slots_stats.grants + 500;
        CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
        if (i == 0) {
            slots_stats.cold_grants = 0;
            CU_ASSERT_TRUE(slots_drive_until(c, cold_server_was_used));
        }
    }
    CU_ASSERT_EQUAL(slots_stats.cold_max_running, 1);
    /* The slots plus one for each gateway in fallback (design 5.1). */
    CU_ASSERT_TRUE(slots_stats.max_running <= 2 + 2);
    slots_cluster_free(c);
}

/*
 * Guards against grants on a cold server by a gateway without a majority. With
 * every link cut, each gateway considers itself the owner.
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
    watched_gateway = 0;
    CU_ASSERT_TRUE(slots_drive_until(c, others_see_dead));
    before = slots_stats.cold_grants;
    grants_wanted = slots_stats.grants + 500;
    CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
    CU_ASSERT_EQUAL(slots_stats.cold_grants, before);
    for (int i = 0; i < c->len; i++) {
        relay_set_mode(&c->nodes[i].relay, RELAY_FORWARD);
    }
    CU_ASSERT_TRUE(slots_drive_until(c, cluster_joined));
    slots_stats.cold_grants = 0;
    CU_ASSERT_TRUE(slots_drive_until(c, cold_server_was_used));
    CU_ASSERT_EQUAL(slots_stats.cold_max_running, 1);
    /* The limit applies per owner, and each gateway is one (design 5.1). */
    CU_ASSERT_TRUE(slots_stats.max_running <= 2 * 3);
    slots_cluster_free(c);
}

static bool
enough_refusals(struct cluster *c)
{
    return slots_stats.refusals >= grants_wanted;
}

/*
 * Guards against grants on servers that leave or whose failure domain is out
 * of service, also for requests that were queued before the change arrived.
 */
static void
test_closed_servers(void)
{
    struct cluster *c = slots_cluster(1, 1, false);
    int grants;

    /* The only server is cold, so three of the four requests wait. */
    grants_wanted = 1;
    CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
    slots_stats.sending_stopped = true;
    slots_publish_servers(c, &c->nodes[0], 2, 1, false, true);
    grants = slots_stats.grants;
    grants_wanted = OPEN_REQUESTS - (int)slots_stats.running_requests->len;
    CU_ASSERT_TRUE(cluster_wait(c, enough_refusals));
    CU_ASSERT_TRUE(slots_stats.grants <= grants + 1);
    grants = slots_stats.grants;
    slots_publish_servers(c, &c->nodes[0], 3, 1, false, false);
    slots_publish_tree(&c->nodes[0], 2, tree_domain_out_json);
    slots_stats.refusals = 0;
    grants_wanted = 1;
    cluster_run_once(c);
    slots_send_request(&c->nodes[0]);
    CU_ASSERT_TRUE(cluster_wait(c, enough_refusals));
    CU_ASSERT_EQUAL(slots_stats.grants, grants);
    slots_cluster_free(c);
}

/*
 * Guards against an answer to a request that was cancelled, and against a
 * cancelled grant that keeps its slot.
 */
static void
test_cancel(void)
{
    struct cluster *c = slots_cluster(1, 1, false);
    int grants;

    grants_wanted = 1;
    CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
    slots_stats.sending_stopped = true;
    grants = slots_stats.grants;
    /*
     * Cancels the newest request first, so that no slot becomes free while
     * others still wait.
     */
    for (uint64_t tag = slots_stats.next_tag; tag > 0; tag--) {
        ggw_kernel_send(c->nodes[0].kernel, "slots", &c->nodes[0].client->base,
                        ggw_slot_cancel_new(tag));
    }
    slots_drive_for(c, 100);
    CU_ASSERT_EQUAL(slots_stats.grants, grants);
    /* The cancelled grant has returned its slot, so a new request gets it. */
    grants_wanted = grants + 1;
    slots_send_request(&c->nodes[0]);
    CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
    slots_cluster_free(c);
}

static bool
enough_spilled_grants(struct cluster *c)
{
    return slots_stats.spilled_grants >= 20;
}

/* Guards against idle slots while another failure domain has none free. */
static void
test_spill(void)
{
    struct cluster *c = slots_cluster_in("cairo-b", 2, 2, false);

    slots_drive_for(c, 1500);
    slots_stats.open_requests[1] = 1000; /* gateway 1 sends no more */
    CU_ASSERT_TRUE(slots_drive_until(c, enough_spilled_grants));
    CU_ASSERT_EQUAL(slots_stats.connections, 200 / 2);
    CU_ASSERT_TRUE(slots_stats.max_running <= 2 + 2);
    slots_cluster_free(c);
}

static bool
enough_refused_grants(struct cluster *c)
{
    return *ggw_counter("ggw_slots_refused_grants_total") >= 20;
}

/*
 * Guards against a second acquire request to the home owner after a spilled
 * request was granted a server that only this gateway knows to be draining.
 * The first acquire request then outlived the slot request that it was for.
 */
static void
test_spill_to_closed(void)
{
    struct cluster *c = slots_cluster_in("cairo-b", 2, 4, false);

    slots_publish_tree(&c->nodes[0], 2, tree_server_draining_json);
    slots_stats.open_requests[0] = -12;
    slots_stats.open_requests[1] = 1000;
    CU_ASSERT_TRUE(slots_drive_until(c, enough_refused_grants));
    slots_drive_for(c, 500);
    slots_cluster_free(c);
}

/* Creates gateways in two failure domains, without servers. */
static struct cluster *
new_sized_cluster(int gateways)
{
    struct cluster *c = slots_cluster_in("cairo-b", gateways, 0, false);

    for (int i = 0; i < gateways; i++) {
        slots_publish_tree(&c->nodes[i], 2, tree_scope_size_json);
    }
    cluster_run_once(c);
    return c;
}

/*
 * Time in ms in which a gateway asks an owner again that did not answer in
 * time: the next heartbeat has arrived.
 */
#define HEARD_AGAIN 300

/*
 * Sends requests of gateway @i only, until it has @n grants. Returns false if
 * an owner did not answer in time: on a busy machine its loop, on the same
 * thread, may run more than the 5 ms later that a gateway waits.
 */
static bool
drive_grants_to(struct cluster *c, int i, int n)
{
    const uint64_t *unanswered = ggw_counter("ggw_slots_unanswered_total");
    uint64_t before = *unanswered;

    for (int j = 0; j < c->len; j++) {
        slots_stats.open_requests[j] = j == i ? 0 : 1000;
    }
    slots_stats.refusals = 0;
    slots_stats.spilled_grants = 0;
    grants_wanted = slots_stats.grants + n;
    CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
    return *unanswered == before;
}

/*
 * Expects that gateway @i gets @n grants without refusals or spilled grants
 * while its owners answer in time.
 */
static void
expect_grants_to(struct cluster *c, int i, int n)
{
    ggw_ms end = slots_now() + CLUSTER_WAIT_LIMIT_MS;

    while (!drive_grants_to(c, i, n) && slots_now() < end) {
        slots_drive_for(c, HEARD_AGAIN);
    }
    CU_ASSERT_TRUE(slots_now() < end);
    CU_ASSERT_EQUAL(slots_stats.refusals, 0);
    CU_ASSERT_EQUAL(slots_stats.spilled_grants, 0);
}

/*
 * Guards against a gateway that treats a large service as one with a single
 * owner until it receives the second list of VMs. Such an owner counts no
 * servers, because the other gateways use one owner per failure domain.
 */
static void
test_first_vm_list(void)
{
    struct cluster *c = new_sized_cluster(4);

    for (int i = 0; i < 4; i++) {
        slots_publish_servers(c, &c->nodes[i], 2, 4 * 14, false, false);
    }
    for (int i = 0; i < 2; i++) {
        slots_publish_servers(c, &c->nodes[i], 3, 4 * 14, false, false);
    }
    slots_drive_for(c, 1500);
    expect_grants_to(c, 3, 100);
    slots_cluster_free(c);
}

/*
 * Guards against a gateway that starts after a service has shrunk and divides
 * it differently from the gateways that know its earlier size.
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
    slots_stats.open_requests[3] = 1000;
    slots_drive_for(c, 3000);
    expect_grants_to(c, 3, 100);
    slots_cluster_free(c);
}

/*
 * Guards against limits or an owner's grant for a policy that needs no owner.
 */
static void
test_policy_without_owner(void)
{
    struct cluster *c = slots_cluster(1, 2, false);

    slots_publish_tree(&c->nodes[0], 2, tree_round_robin_json);
    cluster_run_once(c);
    slots_stats.sending_stopped = true;
    for (int i = 0; i < 10; i++) {
        slots_send_request(&c->nodes[0]);
    }
    grants_wanted = 10;
    CU_ASSERT_TRUE(cluster_wait(c, enough_grants));
    CU_ASSERT_EQUAL(slots_count_running("s-0"), 5);
    CU_ASSERT_EQUAL(slots_count_running("s-1"), 5);
    slots_cluster_free(c);
}

static bool
was_probed(struct cluster *c)
{
    return slots_stats.probes > 0;
}

/*
 * Creates two gateways whose owner probes servers before each placement. The
 * probes are answered after PROBE_DELAY.
 */
static struct cluster *
probing_cluster(void)
{
    struct cluster *c = slots_cluster(2, 4, false);

    slots_drive_for(c, 1500);
    slots_stats.delay_probe_results = true;
    for (int i = 0; i < 2; i++) {
        slots_publish_tree(&c->nodes[i], 2, tree_probe_json);
    }
    return c;
}

/*
 * Guards against an answer timeout of an owner that waits for load reports.
 * Without the longer timeout, every fifth request got a fallback grant.
 */
static void
test_owner_probes_first(void)
{
    struct cluster *c = probing_cluster();
    uint64_t before = fallback_grants();

    grants_wanted = slots_stats.grants + 200;
    CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
    /* A pause of this process can time out the few requests in flight. */
    CU_ASSERT_TRUE(fallback_grants() - before <= 200 / 10);
    slots_cluster_free(c);
}

/*
 * Guards against an owner that waits for load reports longer than a gateway
 * waits for its answer. A gateway whose settings do not have the probes yet
 * waits for the shorter time, so all its requests got a fallback grant.
 */
static void
test_owner_has_newer_settings(void)
{
    for (int newer = 0; newer < 2; newer++) {
        struct cluster *c = slots_cluster(2, 4, false);
        uint64_t before;

        slots_drive_for(c, 1500);
        slots_stats.delay_probe_results = true;
        before = fallback_grants();
        slots_publish_tree(&c->nodes[newer], 2, tree_probe_json);
        grants_wanted = slots_stats.grants + 200;
        CU_ASSERT_TRUE(slots_drive_until(c, enough_grants));
        /* A pause of this process can time out the requests in flight. */
        CU_ASSERT_TRUE(fallback_grants() - before <= 200 / 10);
        slots_cluster_free(c);
    }
}

/* Runs the cluster and pauses this process every 100 ms. */
static bool
drive_with_pauses(struct cluster *c, bool (*condition)(struct cluster *))
{
    ggw_ms end = slots_now() + CLUSTER_WAIT_LIMIT_MS;

    while (!condition(c) && slots_now() < end) {
        slots_drive_for(c, 100);
        g_usleep(PAUSE_MS * 1000);
    }
    return condition(c);
}

/*
 * Guards against an answer timeout caused by a pause of the asking gateway:
 * its timers ran before it had read the answers that arrived meanwhile.
 */
static void
test_paused_gateway(void)
{
    struct cluster *c = probing_cluster();
    uint64_t before = fallback_grants();

    grants_wanted = slots_stats.grants + 400;
    CU_ASSERT_TRUE(drive_with_pauses(c, enough_grants));
    CU_ASSERT_EQUAL(fallback_grants() - before, 0);
    slots_cluster_free(c);
}

/*
 * Guards against a server without requests whose draining goes unnoticed. Only
 * a probe can report it.
 */
static void
test_probe(void)
{
    struct cluster *c = slots_cluster(1, 1, false);

    slots_stats.probes_report_draining = true;
    CU_ASSERT_TRUE(cluster_wait(c, was_probed));
    cluster_run_once(c);
    slots_stats.refusals = 0;
    grants_wanted = 1;
    slots_send_request(&c->nodes[0]);
    CU_ASSERT_TRUE(cluster_wait(c, enough_refusals));
    CU_ASSERT_EQUAL(slots_stats.grants, 0);
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
    CU_add_test(suite, "first VM list", test_first_vm_list);
    CU_add_test(suite, "started after scale-in", test_started_after_scale_in);
    CU_add_test(suite, "policy without owner", test_policy_without_owner);
    CU_add_test(suite, "owner that scouts", test_owner_probes_first);
    CU_add_test(suite, "owner has newer settings",
                test_owner_has_newer_settings);
    CU_add_test(suite, "paused gateway", test_paused_gateway);
    CU_add_test(suite, "probe", test_probe);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    g_array_unref(slots_stats.running_requests);
    g_array_unref(slots_stats.delayed_probes);
    ggw_metrics_fini();
    return failures != 0;
}
