#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "common/metrics.h"
#include "config/config.h"
#include "config/vms.h"
#include "slots/slots.h"
#include "tests/cluster.h"

#define REQUESTS 4      /* that each gateway keeps open */
#define HOLD 3.0        /* ms that a request runs on a server */
#define DEADLINE 1000.0 /* ms */
#define COLD "s-cold"

static const char tree_json[] =
    "{\"failure_domains\":{},\"backend_servers\":{},\"services\":{\"S\":{"
    "\"slots\":2,\"connections\":200,\"cold_limit\":1,\"cold_ms\":5000,"
    "\"policy\":\"slots\",\"queue\":64,\"kinds\":{}}}}";

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

/* Servers need this long for a load report, ms. */
#define PROBE_TIME 7.0

/* Longer than any owner has to answer, ms. */
#define PAUSE 60

/* A probe that is answered later. */
struct late_probe {
    struct node *node;
    struct ggw_message request; /* sender and tag */
    char server[32];
    ggw_ms due;
};

/* One request that runs on a server. */
struct running {
    struct node *node;
    uint64_t grant;
    char server[32];
    ggw_ms ends;
    ggw_ms deadline;
};

/* What the test has seen; reset by each test. */
static struct {
    GArray *running; /* of struct running */
    int open[CLUSTER_MAX];
    uint64_t next_tag;
    int grants;
    int cold_grants;
    int cold_most; /* at a time, over all gateways */
    int most;      /* at a time on any other server */
    int refusals;
    ggw_ms last_grant;
    ggw_ms longest_gap;
    bool silent_driver; /* sends no new requests */
    int connections;    /* in the last grant */
    int spilled;        /* grants in another failure domain than the own */
    int probes;
    bool drain_at_probe;
    bool late_probes;   /* answered after PROBE_TIME */
    GArray *unanswered; /* of struct late_probe */
} seen;

static ggw_ms
now_ms(void)
{
    return ggw_clock_now(ggw_clock_system());
}

static void
reset_seen(void)
{
    if (seen.running != NULL) {
        g_array_unref(seen.running);
    }
    if (seen.unanswered != NULL) {
        g_array_unref(seen.unanswered);
    }
    memset(&seen, 0, sizeof(seen));
    seen.unanswered = g_array_new(FALSE, TRUE, sizeof(struct late_probe));
    seen.running = g_array_new(FALSE, TRUE, sizeof(struct running));
    seen.last_grant = now_ms();
}

/* Backend servers stop a request at its deadline. */
static int
count_on(const char *server)
{
    int n = 0;

    for (guint i = 0; i < seen.running->len; i++) {
        const struct running *r =
            &g_array_index(seen.running, struct running, i);

        n += strcmp(r->server, server) == 0 && now_ms() < r->deadline;
    }
    return n;
}

static void
on_grant(struct node *node, const struct ggw_slot_grant *m)
{
    struct running r = {.node = node,
                        .grant = m->grant,
                        .ends = now_ms() + HOLD,
                        .deadline = now_ms() + DEADLINE};
    bool cold = strcmp(m->vm, COLD) == 0;
    int n;

    g_strlcpy(r.server, m->vm, sizeof(r.server));
    g_array_append_val(seen.running, r);
    n = count_on(m->vm);
    seen.grants++;
    seen.connections = m->connections;
    seen.spilled += strcmp(m->failure_domain, node->domain) != 0;
    seen.cold_grants += cold;
    if (cold) {
        seen.cold_most = MAX(seen.cold_most, n);
    }
    else {
        seen.most = MAX(seen.most, n);
    }
    seen.longest_gap = MAX(seen.longest_gap, now_ms() - seen.last_grant);
    seen.last_grant = now_ms();
}

static void
add_late_probe(struct node *node, const struct ggw_probe_request *m)
{
    struct late_probe p = {
        .node = node, .request = m->base, .due = now_ms() + PROBE_TIME};

    g_strlcpy(p.server, m->vm, sizeof(p.server));
    g_array_append_val(seen.unanswered, p);
}

static void
answer_late_probes(void)
{
    struct ggw_load_report report = {
        .present = true, .slots = 2, .slow_percent = 400};

    for (guint i = seen.unanswered->len; i > 0; i--) {
        const struct late_probe *p =
            &g_array_index(seen.unanswered, struct late_probe, i - 1);

        if (p->due <= now_ms()) {
            ggw_kernel_reply(&p->node->client->base, &p->request,
                             ggw_probe_result_new(p->server, true, &report));
            g_array_remove_index_fast(seen.unanswered, i - 1);
        }
    }
}

/* Answers that the server drains, if the test wants that. */
static void
on_probe(struct node *node, const struct ggw_probe_request *m)
{
    struct ggw_load_report report = {
        .present = true, .slots = 2, .draining = true};

    if (seen.late_probes) {
        add_late_probe(node, m);
    }
    if (!seen.drain_at_probe) {
        return;
    }
    seen.probes++;
    ggw_kernel_reply(&node->client->base, &m->base,
                     ggw_probe_result_new(m->vm, true, &report));
}

static void
on_message(struct node *node, struct ggw_message *message)
{
    if (message->ops == &ggw_probe_request_ops) {
        on_probe(node, (struct ggw_probe_request *)message);
    }
    if (message->ops == &ggw_slot_grant_ops) {
        on_grant(node, (struct ggw_slot_grant *)message);
    }
    else if (message->ops == &ggw_slot_refuse_ops) {
        seen.refusals++;
        seen.open[node->name[3] - '0']--;
    }
}

static void
send_request(struct node *n)
{
    struct ggw_message *m =
        ggw_slot_request_new("T", "S", 1, now_ms() + DEADLINE, NULL);

    m->tag = ++seen.next_tag;
    ggw_kernel_send(n->kernel, "slots", &n->client->base, m);
    seen.open[n->name[3] - '0']++;
}

/* Ends requests that have run long enough and sends new ones. */
static void
drive(struct cluster *c)
{
    answer_late_probes();
    for (guint i = seen.running->len; i > 0; i--) {
        struct running *r =
            &g_array_index(seen.running, struct running, i - 1);
        struct ggw_load_report report = {
            .present = true,
            .slots = 2,
            .cold = strcmp(r->server, COLD) == 0,
        };

        if (r->node->paused || now_ms() < r->ends) {
            continue;
        }
        if (r->node->kernel != NULL) {
            seen.open[r->node->name[3] - '0']--;
            ggw_kernel_send(
                r->node->kernel, "slots", &r->node->client->base,
                ggw_slot_release_new(r->grant, GGW_ATTEMPT_OK, HOLD, &report));
        }
        g_array_remove_index_fast(seen.running, i - 1);
    }
    for (int i = 0; i < c->len && !seen.silent_driver; i++) {
        struct node *n = &c->nodes[i];

        while (n->kernel != NULL && !n->paused && seen.open[i] < REQUESTS) {
            send_request(n);
        }
    }
}

static void
drive_for(struct cluster *c, ggw_ms span)
{
    ggw_ms end = now_ms() + span;

    while (now_ms() < end) {
        drive(c);
        cluster_turn(c);
    }
}

static bool
drive_until(struct cluster *c, bool (*condition)(struct cluster *))
{
    ggw_ms end = now_ms() + CLUSTER_LIMIT;

    while (!condition(c)) {
        if (now_ms() > end) {
            return false;
        }
        drive(c);
        cluster_turn(c);
    }
    return true;
}

static void
append_gateways(GString *json, struct cluster *c)
{
    for (int i = 0; i < c->len; i++) {
        g_string_append_printf(json,
                               "%s{\"name\":\"gw-%d\",\"role\":\"gateway\","
                               "\"failure_domain\":\"%s\",\"state\":\"live\","
                               "\"address\":\"127.0.2.%d:80\","
                               "\"peer_address\":\"127.0.2.%d:%u\"}",
                               i > 0 ? "," : "", i, c->nodes[i].domain, i + 1,
                               i + 1, ggw_peers_port(c->nodes[i].peers));
    }
}

/*
 * A list of the gateways, servers s-0 to s-N and, if wanted, one that reports
 * to be cold.
 */
static void
publish_servers(struct cluster *c, struct node *n, uint64_t version, int warm,
                bool cold, bool leaving)
{
    g_autoptr(GString) json = g_string_new(NULL);
    struct ggw_vm_list *list;

    g_string_printf(json, "{\"version\":%d,\"vms\":[", (int)version);
    append_gateways(json, c);
    for (int i = 0; i < warm + cold; i++) {
        g_autofree char *name =
            i < warm ? g_strdup_printf("s-%d", i) : g_strdup(COLD);

        g_string_append_printf(
            json,
            ",{\"name\":\"%s\",\"role\":\"backend_server\",\"team\":\"T\","
            "\"service\":\"S\",\"failure_domain\":\"%s\","
            "\"address\":\"127.0.0.1:9\",\"incarnation\":\"1\","
            "\"state\":\"%s\"}",
            name, i < warm ? c->nodes[i % c->len].domain : "cairo-a",
            leaving ? "leaving" : "live");
    }
    g_string_append(json, "]}");
    list = ggw_vm_list_parse(json->str, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(list);
    ggw_kernel_publish(n->kernel, NULL, ggw_vms_changed_new(list));
    ggw_vm_list_unref(list);
}

static void
publish_tree(struct node *n, uint64_t revision, const char *json)
{
    struct ggw_tree *tree = ggw_tree_parse("T", revision, json, NULL);

    CU_ASSERT_PTR_NOT_NULL_FATAL(tree);
    ggw_kernel_publish(n->kernel, NULL, ggw_config_in_force_new(tree));
    ggw_tree_unref(tree);
}

/* Every other gateway and server is in a second failure domain. */
static struct cluster *
new_cluster_in(const char *second_domain, int gateways, int warm, bool cold)
{
    struct cluster *c = g_new(struct cluster, 1);

    reset_seen();
    cluster_init(c);
    for (int i = 0; i < gateways; i++) {
        g_autofree char *name = g_strdup_printf("gw-%d", i);
        const char *domain = i % 2 == 0 ? "cairo-a" : second_domain;
        struct node *n = cluster_add(
            c, domain, ggw_slots_service_new(name, domain, 7), on_message);

        publish_tree(n, 1, tree_json);
    }
    for (int i = 0; i < gateways; i++) {
        publish_servers(c, &c->nodes[i], 1, warm, cold, false);
    }
    CU_ASSERT_TRUE(cluster_wait(c, cluster_joined));
    return c;
}

static struct cluster *
new_cluster(int gateways, int warm, bool cold)
{
    return new_cluster_in("cairo-a", gateways, warm, cold);
}

static void
free_cluster(struct cluster *c)
{
    cluster_destroy(c);
    g_free(c);
}

static bool
all_slots_were_used(struct cluster *c)
{
    return seen.most >= 2;
}

static bool
cold_server_was_used(struct cluster *c)
{
    return seen.cold_grants >= 20;
}

static int grants_wanted;

static bool
enough_grants(struct cluster *c)
{
    return seen.grants >= grants_wanted;
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
    struct cluster *c = new_cluster(3, 3, true);

    CU_ASSERT_TRUE(drive_until(c, all_slots_were_used));
    CU_ASSERT_TRUE(drive_until(c, cold_server_was_used));
    CU_ASSERT_EQUAL(seen.cold_most, 1);
    /* A gateway that waited too long for an answer adds its share of one. */
    CU_ASSERT_TRUE(seen.most <= 2 + (fallback_grants() > before ? 2 : 0));
    free_cluster(c);
}

/*
 * Guards against a cold server that gets two requests, and against a gap in
 * grants longer than a suspicion takes, while each gateway in turn, and so the
 * owner, is paused until the others have buried it, and resumes.
 */
static void
test_owner_paused(void)
{
    struct cluster *c = new_cluster(3, 3, true);
    ggw_ms gap = 0;

    CU_ASSERT_TRUE(drive_until(c, cold_server_was_used));
    drive_for(c, 300);
    for (int i = 0; i < c->len; i++) {
        seen.longest_gap = 0;
        c->nodes[i].paused = true;
        state_of = i;
        CU_ASSERT_TRUE(drive_until(c, is_dead));
        c->nodes[i].paused = false;
        CU_ASSERT_TRUE(drive_until(c, cluster_joined));
        gap = MAX(gap, seen.longest_gap);
        seen.cold_grants = 0;
        CU_ASSERT_TRUE(drive_until(c, cold_server_was_used));
    }
    printf("longest gap in grants %.1f ms, ", gap);
    CU_ASSERT_TRUE(gap < 700);
    CU_ASSERT_EQUAL(seen.cold_most, 1);
    free_cluster(c);
}

/* Guards against the loss of an owner that stops grants or breaks a limit. */
static void
test_owner_killed(void)
{
    struct cluster *c = new_cluster(3, 3, true);

    CU_ASSERT_TRUE(drive_until(c, cold_server_was_used));
    drive_for(c, 300);
    for (int i = 0; i < 2; i++) {
        cluster_remove(c, &c->nodes[i]);
        seen.open[i] = 0;
        grants_wanted = seen.grants + 500;
        CU_ASSERT_TRUE(drive_until(c, enough_grants));
        if (i == 0) {
            seen.cold_grants = 0;
            CU_ASSERT_TRUE(drive_until(c, cold_server_was_used));
        }
    }
    CU_ASSERT_EQUAL(seen.cold_most, 1);
    /* Slots, plus one for each gateway that fell back (design 5.1). */
    CU_ASSERT_TRUE(seen.most <= 2 + 2);
    free_cluster(c);
}

/*
 * Guards against a minority that grants slots of a cold server: with every
 * link cut, each gateway believes to be the owner.
 */
static void
test_links_cut(void)
{
    struct cluster *c = new_cluster(3, 3, true);
    int before;

    CU_ASSERT_TRUE(drive_until(c, cold_server_was_used));
    drive_for(c, 300);
    for (int i = 0; i < c->len; i++) {
        relay_set_mode(&c->nodes[i].relay, RELAY_CUT);
    }
    state_of = 0;
    CU_ASSERT_TRUE(drive_until(c, is_dead));
    before = seen.cold_grants;
    grants_wanted = seen.grants + 500;
    CU_ASSERT_TRUE(drive_until(c, enough_grants));
    CU_ASSERT_EQUAL(seen.cold_grants, before);
    for (int i = 0; i < c->len; i++) {
        relay_set_mode(&c->nodes[i].relay, RELAY_CARRY);
    }
    CU_ASSERT_TRUE(drive_until(c, cluster_joined));
    seen.cold_grants = 0;
    CU_ASSERT_TRUE(drive_until(c, cold_server_was_used));
    CU_ASSERT_EQUAL(seen.cold_most, 1);
    /* Bound of design 5.1: the limit for each gateway that is an owner. */
    CU_ASSERT_TRUE(seen.most <= 2 * 3);
    free_cluster(c);
}

static bool
everything_refused(struct cluster *c)
{
    return seen.refusals >= grants_wanted;
}

/*
 * Guards against work for servers that leave and for failure domains that are
 * out, also from requests that waited when the message arrived.
 */
static void
test_closed_servers(void)
{
    struct cluster *c = new_cluster(1, 1, false);
    int grants;

    /* One cold server and four requests: three wait. */
    grants_wanted = 1;
    CU_ASSERT_TRUE(drive_until(c, enough_grants));
    seen.silent_driver = true;
    publish_servers(c, &c->nodes[0], 2, 1, false, true);
    grants = seen.grants;
    grants_wanted = REQUESTS - (int)seen.running->len;
    CU_ASSERT_TRUE(cluster_wait(c, everything_refused));
    CU_ASSERT_TRUE(seen.grants <= grants + 1);
    grants = seen.grants;
    publish_servers(c, &c->nodes[0], 3, 1, false, false);
    publish_tree(&c->nodes[0], 2, tree_out_json);
    seen.refusals = 0;
    grants_wanted = 1;
    cluster_turn(c);
    send_request(&c->nodes[0]);
    CU_ASSERT_TRUE(cluster_wait(c, everything_refused));
    CU_ASSERT_EQUAL(seen.grants, grants);
    free_cluster(c);
}

/* Guards against a request that is answered after it was cancelled. */
static void
test_cancel(void)
{
    struct cluster *c = new_cluster(1, 1, false);
    int grants;

    grants_wanted = 1;
    CU_ASSERT_TRUE(drive_until(c, enough_grants));
    seen.silent_driver = true;
    grants = seen.grants;
    /* The newest first, so that no slot becomes free in between. */
    for (uint64_t tag = seen.next_tag; tag > 0; tag--) {
        ggw_kernel_send(c->nodes[0].kernel, "slots", &c->nodes[0].client->base,
                        ggw_slot_cancel_new(tag));
    }
    drive_for(c, 100);
    CU_ASSERT_EQUAL(seen.grants, grants);
    /* The slot was given back: a new request gets it. */
    grants_wanted = grants + 1;
    send_request(&c->nodes[0]);
    CU_ASSERT_TRUE(drive_until(c, enough_grants));
    free_cluster(c);
}

static bool
spilled(struct cluster *c)
{
    return seen.spilled >= 20;
}

/* Guards against slots that stay idle while another failure domain is full. */
static void
test_spill(void)
{
    struct cluster *c = new_cluster_in("cairo-b", 2, 2, false);

    drive_for(c, 1500);
    seen.open[1] = 1000; /* the second gateway sends nothing more */
    CU_ASSERT_TRUE(drive_until(c, spilled));
    CU_ASSERT_EQUAL(seen.connections, 200 / 2);
    CU_ASSERT_TRUE(seen.most <= 2 + 2);
    free_cluster(c);
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
    struct cluster *c = new_cluster_in("cairo-b", 2, 4, false);

    publish_tree(&c->nodes[0], 2, tree_server_out_json);
    seen.open[0] = -12;
    seen.open[1] = 1000;
    CU_ASSERT_TRUE(drive_until(c, was_granted_out));
    drive_for(c, 500);
    free_cluster(c);
}

/* Gateways in two failure domains, without servers. */
static struct cluster *
new_sized_cluster(int gateways)
{
    struct cluster *c = new_cluster_in("cairo-b", gateways, 0, false);

    for (int i = 0; i < gateways; i++) {
        publish_tree(&c->nodes[i], 2, tree_size_json);
    }
    cluster_turn(c);
    return c;
}

/* Requests of gateway @i only, until it got @n grants. */
static void
expect_grants_of(struct cluster *c, int i, int n)
{
    for (int j = 0; j < c->len; j++) {
        seen.open[j] = j == i ? 0 : 1000;
    }
    seen.refusals = 0;
    seen.spilled = 0;
    grants_wanted = seen.grants + n;
    CU_ASSERT_TRUE(drive_until(c, enough_grants));
    CU_ASSERT_EQUAL(seen.refusals, 0);
    CU_ASSERT_EQUAL(seen.spilled, 0);
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
        publish_servers(c, &c->nodes[i], 2, 4 * 14, false, false);
    }
    for (int i = 0; i < 2; i++) {
        publish_servers(c, &c->nodes[i], 3, 4 * 14, false, false);
    }
    drive_for(c, 1500);
    expect_grants_of(c, 3, 100);
    free_cluster(c);
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
        publish_servers(c, &c->nodes[i], 2, 4 * 14, false, false);
    }
    for (int i = 0; i < 4; i++) {
        publish_servers(c, &c->nodes[i], 3, 4 * 5, false, false);
    }
    seen.open[3] = 1000;
    drive_for(c, 3000);
    expect_grants_of(c, 3, 100);
    free_cluster(c);
}

/* Guards against a baseline that is limited or asks an owner. */
static void
test_baseline(void)
{
    struct cluster *c = new_cluster(1, 2, false);

    publish_tree(&c->nodes[0], 2, tree_round_robin_json);
    cluster_turn(c);
    seen.silent_driver = true;
    for (int i = 0; i < 10; i++) {
        send_request(&c->nodes[0]);
    }
    grants_wanted = 10;
    CU_ASSERT_TRUE(cluster_wait(c, enough_grants));
    CU_ASSERT_EQUAL(count_on("s-0"), 5);
    CU_ASSERT_EQUAL(count_on("s-1"), 5);
    free_cluster(c);
}

static bool
was_probed(struct cluster *c)
{
    return seen.probes > 0;
}

/*
 * Guards against an owner that counts as silent while it waits for the load
 * reports that it asks for: every fifth request was then placed without it.
 */
static void
test_owner_that_scouts(void)
{
    struct cluster *c = new_cluster(2, 4, false);
    uint64_t before;

    drive_for(c, 1500);
    seen.late_probes = true;
    for (int i = 0; i < 2; i++) {
        publish_tree(&c->nodes[i], 2, tree_scout_json);
    }
    before = fallback_grants();
    grants_wanted = seen.grants + 200;
    CU_ASSERT_TRUE(drive_until(c, enough_grants));
    /* A pause of this process is seen by the few requests under way. */
    CU_ASSERT_TRUE(fallback_grants() - before <= 200 / 10);
    free_cluster(c);
}

/* Runs the cluster with a pause of this process every 100 ms. */
static bool
drive_with_pauses(struct cluster *c, bool (*condition)(struct cluster *))
{
    ggw_ms end = now_ms() + CLUSTER_LIMIT;

    while (!condition(c) && now_ms() < end) {
        drive_for(c, 100);
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
    struct cluster *c = new_cluster(2, 4, false);
    uint64_t before;

    drive_for(c, 1500);
    seen.late_probes = true;
    for (int i = 0; i < 2; i++) {
        publish_tree(&c->nodes[i], 2, tree_scout_json);
    }
    before = fallback_grants();
    grants_wanted = seen.grants + 400;
    CU_ASSERT_TRUE(drive_with_pauses(c, enough_grants));
    CU_ASSERT_EQUAL(fallback_grants() - before, 0);
    free_cluster(c);
}

/* Guards against a silent server whose draining nobody notices. */
static void
test_probe(void)
{
    struct cluster *c = new_cluster(1, 1, false);

    seen.drain_at_probe = true;
    CU_ASSERT_TRUE(cluster_wait(c, was_probed));
    cluster_turn(c);
    seen.refusals = 0;
    grants_wanted = 1;
    send_request(&c->nodes[0]);
    CU_ASSERT_TRUE(cluster_wait(c, everything_refused));
    CU_ASSERT_EQUAL(seen.grants, 0);
    free_cluster(c);
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
    g_array_unref(seen.running);
    g_array_unref(seen.unanswered);
    ggw_metrics_fini();
    return failures != 0;
}
