#include "tests/slots_driver.h"

#include <CUnit/CUnit.h>
#include <string.h>

/* Time in ms that a request runs on a server. */
#define SERVICE_TIME 3.0

/* Time in ms from a slot request to its deadline. */
#define REQUEST_TIMEOUT 1000.0

static const char tree_json[] =
    "{\"failure_domains\":{},\"backend_servers\":{},\"services\":{\"S\":{"
    "\"slots\":2,\"connections\":200,\"cold_limit\":1,\"cold_ms\":5000,"
    "\"policy\":\"slots\",\"queue\":64,\"kinds\":{}}}}";

/* Time in ms until the answer of a delayed probe. */
#define PROBE_DELAY 7.0

/**
 * struct delayed_probe - probe that is answered later
 * @node: gateway that sent it
 * @request: sender and tag of the probe
 * @server: name of the server
 * @due: monotonic ms of the answer
 */
struct delayed_probe {
    struct node *node;
    struct ggw_message request;
    char server[32];
    ggw_ms due;
};

struct slots_stats slots_stats;

ggw_ms
slots_now(void)
{
    return ggw_clock_now(ggw_clock_system());
}

static void
reset_stats(void)
{
    if (slots_stats.running_requests != NULL) {
        g_array_unref(slots_stats.running_requests);
    }
    if (slots_stats.delayed_probes != NULL) {
        g_array_unref(slots_stats.delayed_probes);
    }
    memset(&slots_stats, 0, sizeof(slots_stats));
    slots_stats.delayed_probes =
        g_array_new(FALSE, TRUE, sizeof(struct delayed_probe));
    slots_stats.running_requests =
        g_array_new(FALSE, TRUE, sizeof(struct running_request));
    slots_stats.last_grant_at = slots_now();
}

/* Skips requests past their deadline, because backend servers stop them. */
int
slots_count_running(const char *server)
{
    int n = 0;

    for (guint i = 0; i < slots_stats.running_requests->len; i++) {
        const struct running_request *r = &g_array_index(
            slots_stats.running_requests, struct running_request, i);

        n += strcmp(r->server, server) == 0 && slots_now() < r->deadline;
    }
    return n;
}

static void
count_version(const struct node *node, const char *server)
{
    int gateway = node->name[3] - '0';

    if (slots_stats.new_from > 0 && server[2] - '0' < slots_stats.new_from) {
        slots_stats.old_grants[gateway]++;
    }
    else if (slots_stats.new_from > 0) {
        slots_stats.new_grants[gateway]++;
    }
}

static void
on_grant(struct node *node, const struct ggw_slot_grant *m)
{
    struct running_request r = {.node = node,
                                .grant = m->grant,
                                .ends = slots_now() + SERVICE_TIME,
                                .deadline = slots_now() + REQUEST_TIMEOUT};
    bool cold = strcmp(m->vm, COLD_SERVER) == 0;
    int n;

    g_strlcpy(r.server, m->vm, sizeof(r.server));
    g_array_append_val(slots_stats.running_requests, r);
    n = slots_count_running(m->vm);
    slots_stats.grants++;
    count_version(node, m->vm);
    slots_stats.watched_grants[node->name[3] - '0'] +=
        g_strcmp0(m->vm, slots_stats.watched) == 0;
    slots_stats.connections = m->connections;
    slots_stats.spilled_grants += strcmp(m->failure_domain, node->domain) != 0;
    slots_stats.cold_grants += cold;
    if (cold) {
        slots_stats.cold_max_running = MAX(slots_stats.cold_max_running, n);
    }
    else {
        slots_stats.max_running = MAX(slots_stats.max_running, n);
    }
    slots_stats.longest_gap =
        MAX(slots_stats.longest_gap, slots_now() - slots_stats.last_grant_at);
    slots_stats.last_grant_at = slots_now();
}

static void
add_delayed_probe(struct node *node, const struct ggw_probe_request *m)
{
    struct delayed_probe p = {
        .node = node, .request = m->base, .due = slots_now() + PROBE_DELAY};

    g_strlcpy(p.server, m->vm, sizeof(p.server));
    g_array_append_val(slots_stats.delayed_probes, p);
}

static void
answer_delayed_probes(void)
{
    struct ggw_load_report report = {
        .present = true, .slots = 2, .slow_percent = 400};

    for (guint i = slots_stats.delayed_probes->len; i > 0; i--) {
        const struct delayed_probe *p = &g_array_index(
            slots_stats.delayed_probes, struct delayed_probe, i - 1);

        if (p->due <= slots_now()) {
            ggw_kernel_reply(&p->node->client->base, &p->request,
                             ggw_probe_result_new(p->server, true, &report));
            g_array_remove_index_fast(slots_stats.delayed_probes, i - 1);
        }
    }
}

/* Reports the server as draining if the test has enabled that. */
static void
on_probe(struct node *node, const struct ggw_probe_request *m)
{
    struct ggw_load_report report = {
        .present = true, .slots = 2, .draining = true};

    slots_stats.watched_probes += g_strcmp0(m->vm, slots_stats.watched) == 0;
    if (slots_stats.delay_probe_results) {
        add_delayed_probe(node, m);
    }
    if (!slots_stats.probes_report_draining) {
        return;
    }
    slots_stats.probes++;
    ggw_kernel_reply(&node->client->base, &m->base,
                     ggw_probe_result_new(m->vm, true, &report));
}

static void
on_backoff(const struct ggw_server_backoff *m)
{
    if (g_strcmp0(m->vm, slots_stats.watched) == 0) {
        slots_stats.watched_until = m->until;
    }
}

static void
on_message(struct node *node, struct ggw_message *message)
{
    if (message->ops == &ggw_server_backoff_ops) {
        on_backoff((struct ggw_server_backoff *)message);
    }
    if (message->ops == &ggw_probe_request_ops) {
        on_probe(node, (struct ggw_probe_request *)message);
    }
    if (message->ops == &ggw_rollout_counts_ops &&
        slots_stats.on_counts != NULL) {
        slots_stats.on_counts(node, (struct ggw_rollout_counts *)message);
    }
    if (message->ops == &ggw_slot_grant_ops) {
        on_grant(node, (struct ggw_slot_grant *)message);
    }
    else if (message->ops == &ggw_slot_refuse_ops) {
        slots_stats.refusals++;
        slots_stats.retry_after =
            ((struct ggw_slot_refuse *)message)->retry_after;
        slots_stats.open_requests[node->name[3] - '0']--;
    }
}

void
slots_send_request(struct node *n)
{
    struct ggw_message *m = ggw_slot_request_new(
        "T", "S", 1, slots_now() + REQUEST_TIMEOUT, slots_stats.avoid);

    m->tag = ++slots_stats.next_tag;
    ((struct ggw_slot_request *)m)->route = g_strdup(slots_stats.route);
    ggw_kernel_send(n->kernel, "slots", &n->client->base, m);
    slots_stats.open_requests[n->name[3] - '0']++;
}

/* Releases requests after their service time and sends new ones. */
static void
drive(struct cluster *c)
{
    answer_delayed_probes();
    for (guint i = slots_stats.running_requests->len; i > 0; i--) {
        struct running_request *r = &g_array_index(
            slots_stats.running_requests, struct running_request, i - 1);
        struct ggw_load_report report = {
            .present = true,
            .slots = 2,
            .cold = strcmp(r->server, COLD_SERVER) == 0,
        };

        if (r->node->paused || slots_now() < r->ends) {
            continue;
        }
        slots_stats.watched_ended +=
            g_strcmp0(r->server, slots_stats.watched) == 0;
        if (r->node->kernel != NULL) {
            slots_stats.open_requests[r->node->name[3] - '0']--;
            ggw_kernel_send(r->node->kernel, "slots", &r->node->client->base,
                            ggw_slot_release_new(r->grant, GGW_ATTEMPT_OK,
                                                 SERVICE_TIME, &report));
        }
        g_array_remove_index_fast(slots_stats.running_requests, i - 1);
    }
    for (int i = 0; i < c->len && !slots_stats.sending_stopped; i++) {
        struct node *n = &c->nodes[i];

        while (n->kernel != NULL && !n->paused &&
               slots_stats.open_requests[i] < OPEN_REQUESTS) {
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
    ggw_ms end = slots_now() + CLUSTER_WAIT_LIMIT_MS;

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

/* The servers follow the gateways in the list. */
static void
set_versions(struct ggw_vm_list *list, int gateways)
{
    g_assert(list != NULL);
    for (size_t i = 0; i < list->len && slots_stats.new_from > 0; i++) {
        int server = (int)i - gateways;

        if (server >= 0) {
            list->vms[i].version = g_strdup(
                server < slots_stats.new_from ? OLD_VERSION : NEW_VERSION);
        }
    }
}

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
            i < warm ? g_strdup_printf("s-%d", i) : g_strdup(COLD_SERVER);

        g_string_append_printf(
            json,
            ",{\"name\":\"%s\",\"role\":\"backend_server\",\"team\":\"T\","
            "\"service\":\"S\",\"failure_domain\":\"%s\","
            "\"address\":\"127.0.0.1:9\",\"incarnation\":\"%d\","
            "\"state\":\"%s\"}",
            name, i < warm ? c->nodes[i % c->len].domain : "cairo-a",
            MAX(slots_stats.incarnation, 1), leaving ? "leaving" : "live");
    }
    g_string_append(json, "]}");
    list = ggw_vm_list_parse(json->str, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(list);
    set_versions(list, c->len);
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

static void
add_gateway(struct cluster *c, const char *domain)
{
    g_autofree char *name = g_strdup_printf("gw-%d", c->len);
    struct node *n = cluster_add(
        c, domain, ggw_slots_service_new(name, domain, 7), on_message);

    slots_publish_tree(n, 1, tree_json);
}

static void
forget_requests(const struct node *n)
{
    GArray *running = slots_stats.running_requests;

    for (guint i = running->len; i > 0; i--) {
        if (g_array_index(running, struct running_request, i - 1).node == n) {
            g_array_remove_index_fast(running, i - 1);
        }
    }
    slots_stats.open_requests[n->name[3] - '0'] = 0;
}

void
slots_restart_last(struct cluster *c, uint64_t version, int warm)
{
    struct node *n = &c->nodes[c->len - 1];
    g_autofree char *domain = g_strdup(n->domain);

    forget_requests(n);
    cluster_remove(c, n);
    c->len--;
    add_gateway(c, domain);
    for (int i = 0; i < c->len; i++) {
        slots_publish_servers(c, &c->nodes[i], version, warm, false, false);
    }
}

struct cluster *
slots_cluster_in(const char *second_domain, int gateways, int warm, bool cold)
{
    struct cluster *c = g_new(struct cluster, 1);

    reset_stats();
    cluster_init(c);
    for (int i = 0; i < gateways; i++) {
        add_gateway(c, i % 2 == 0 ? "cairo-a" : second_domain);
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
