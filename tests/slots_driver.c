#include "tests/slots_driver.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define HOLD 3.0        /* ms that a request runs on a server */
#define DEADLINE 1000.0 /* ms */

static const char tree_json[] =
    "{\"failure_domains\":{},\"backend_servers\":{},\"services\":{\"S\":{"
    "\"slots\":2,\"connections\":200,\"cold_limit\":1,\"cold_ms\":5000,"
    "\"policy\":\"slots\",\"queue\":64,\"kinds\":{}}}}";

/* Servers need this long for a load report, ms. */
#define PROBE_TIME 7.0

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

struct slots_seen slots_seen;

ggw_ms
slots_now(void)
{
    return ggw_clock_now(ggw_clock_system());
}

static void
reset_seen(void)
{
    if (slots_seen.running != NULL) {
        g_array_unref(slots_seen.running);
    }
    if (slots_seen.unanswered != NULL) {
        g_array_unref(slots_seen.unanswered);
    }
    memset(&slots_seen, 0, sizeof(slots_seen));
    slots_seen.unanswered =
        g_array_new(FALSE, TRUE, sizeof(struct late_probe));
    slots_seen.running = g_array_new(FALSE, TRUE, sizeof(struct running));
    slots_seen.last_grant = slots_now();
}

/* Backend servers stop a request at its deadline. */
int
slots_count_on(const char *server)
{
    int n = 0;

    for (guint i = 0; i < slots_seen.running->len; i++) {
        const struct running *r =
            &g_array_index(slots_seen.running, struct running, i);

        n += strcmp(r->server, server) == 0 && slots_now() < r->deadline;
    }
    return n;
}

static void
on_grant(struct node *node, const struct ggw_slot_grant *m)
{
    struct running r = {.node = node,
                        .grant = m->grant,
                        .ends = slots_now() + HOLD,
                        .deadline = slots_now() + DEADLINE};
    bool cold = strcmp(m->vm, COLD) == 0;
    int n;

    g_strlcpy(r.server, m->vm, sizeof(r.server));
    g_array_append_val(slots_seen.running, r);
    n = slots_count_on(m->vm);
    slots_seen.grants++;
    slots_seen.connections = m->connections;
    slots_seen.spilled += strcmp(m->failure_domain, node->domain) != 0;
    slots_seen.cold_grants += cold;
    if (cold) {
        slots_seen.cold_most = MAX(slots_seen.cold_most, n);
    }
    else {
        slots_seen.most = MAX(slots_seen.most, n);
    }
    slots_seen.longest_gap =
        MAX(slots_seen.longest_gap, slots_now() - slots_seen.last_grant);
    slots_seen.last_grant = slots_now();
}

static void
add_late_probe(struct node *node, const struct ggw_probe_request *m)
{
    struct late_probe p = {
        .node = node, .request = m->base, .due = slots_now() + PROBE_TIME};

    g_strlcpy(p.server, m->vm, sizeof(p.server));
    g_array_append_val(slots_seen.unanswered, p);
}

static void
answer_late_probes(void)
{
    struct ggw_load_report report = {
        .present = true, .slots = 2, .slow_percent = 400};

    for (guint i = slots_seen.unanswered->len; i > 0; i--) {
        const struct late_probe *p =
            &g_array_index(slots_seen.unanswered, struct late_probe, i - 1);

        if (p->due <= slots_now()) {
            ggw_kernel_reply(&p->node->client->base, &p->request,
                             ggw_probe_result_new(p->server, true, &report));
            g_array_remove_index_fast(slots_seen.unanswered, i - 1);
        }
    }
}

/* Answers that the server drains, if the test wants that. */
static void
on_probe(struct node *node, const struct ggw_probe_request *m)
{
    struct ggw_load_report report = {
        .present = true, .slots = 2, .draining = true};

    if (slots_seen.late_probes) {
        add_late_probe(node, m);
    }
    if (!slots_seen.drain_at_probe) {
        return;
    }
    slots_seen.probes++;
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
        slots_seen.refusals++;
        slots_seen.open[node->name[3] - '0']--;
    }
}

void
slots_send_request(struct node *n)
{
    struct ggw_message *m =
        ggw_slot_request_new("T", "S", 1, slots_now() + DEADLINE, NULL);

    m->tag = ++slots_seen.next_tag;
    ggw_kernel_send(n->kernel, "slots", &n->client->base, m);
    slots_seen.open[n->name[3] - '0']++;
}

/* Ends requests that have run long enough and sends new ones. */
static void
drive(struct cluster *c)
{
    answer_late_probes();
    for (guint i = slots_seen.running->len; i > 0; i--) {
        struct running *r =
            &g_array_index(slots_seen.running, struct running, i - 1);
        struct ggw_load_report report = {
            .present = true,
            .slots = 2,
            .cold = strcmp(r->server, COLD) == 0,
        };

        if (r->node->paused || slots_now() < r->ends) {
            continue;
        }
        if (r->node->kernel != NULL) {
            slots_seen.open[r->node->name[3] - '0']--;
            ggw_kernel_send(
                r->node->kernel, "slots", &r->node->client->base,
                ggw_slot_release_new(r->grant, GGW_ATTEMPT_OK, HOLD, &report));
        }
        g_array_remove_index_fast(slots_seen.running, i - 1);
    }
    for (int i = 0; i < c->len && !slots_seen.silent_driver; i++) {
        struct node *n = &c->nodes[i];

        while (n->kernel != NULL && !n->paused &&
               slots_seen.open[i] < REQUESTS) {
            slots_send_request(n);
        }
    }
}

void
slots_drive_for(struct cluster *c, ggw_ms span)
{
    ggw_ms end = slots_now() + span;

    while (slots_now() < end) {
        drive(c);
        cluster_run_once(c);
    }
}

bool
slots_drive_until(struct cluster *c, bool (*condition)(struct cluster *))
{
    ggw_ms end = slots_now() + CLUSTER_LIMIT;

    while (!condition(c)) {
        if (slots_now() > end) {
            return false;
        }
        drive(c);
        cluster_run_once(c);
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
void
slots_publish_servers(struct cluster *c, struct node *n, uint64_t version,
                      int warm, bool cold, bool leaving)
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

void
slots_publish_tree(struct node *n, uint64_t revision, const char *json)
{
    struct ggw_tree *tree = ggw_tree_parse("T", revision, json, NULL);

    CU_ASSERT_PTR_NOT_NULL_FATAL(tree);
    ggw_kernel_publish(n->kernel, NULL, ggw_config_in_force_new(tree));
    ggw_tree_unref(tree);
}

struct cluster *
slots_cluster_in(const char *second_domain, int gateways, int warm, bool cold)
{
    struct cluster *c = g_new(struct cluster, 1);

    reset_seen();
    cluster_init(c);
    for (int i = 0; i < gateways; i++) {
        g_autofree char *name = g_strdup_printf("gw-%d", i);
        const char *domain = i % 2 == 0 ? "cairo-a" : second_domain;
        struct node *n = cluster_add(
            c, domain, ggw_slots_service_new(name, domain, 7), on_message);

        slots_publish_tree(n, 1, tree_json);
    }
    for (int i = 0; i < gateways; i++) {
        slots_publish_servers(c, &c->nodes[i], 1, warm, cold, false);
    }
    CU_ASSERT_TRUE(cluster_wait(c, cluster_joined));
    return c;
}

struct cluster *
slots_cluster(int gateways, int warm, bool cold)
{
    return slots_cluster_in("cairo-a", gateways, warm, cold);
}

void
slots_cluster_free(struct cluster *c)
{
    cluster_destroy(c);
    g_free(c);
}
