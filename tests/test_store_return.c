#include <CUnit/CUnit.h>
#include <jansson.h>
#include <string.h>

#include "common/metrics.h"
#include "config/config.h"
#include "config/vms.h"
#include "decide/domain_holds.h"
#include "decide/store_version.h"
#include "peers/peers.h"
#include "platform/relay.h"
#include "platform/site.h"
#include "platform/txn.h"
#include "tests/platform_process.h"
#include "tests/suite.h"

/* Time within which a change must reach every gateway, ms. */
#define MAX_CHANGE_DELAY_MS 2000

/* Time limit for what precedes the return, ms; enough on a busy machine. */
#define SETUP_LIMIT_MS 20000

/* Changes that the store loses. */
#define LOST_CHANGES 4

/* Time in which a return is noticed and all rows are read, ms. */
#define NOTICED_MS 1000

/**
 * struct node - the service "site" with fakes of "config" and "peers"
 * @prefix: route prefix of the last settings, or NULL
 * @domain_out: the last settings take failure domain "a" out of service
 * @revision: revision of the last settings
 * @list: last published list of VMs, or NULL
 * @sent: of GBytes; payloads of the ROWS frames sent to other gateways
 * @requested: payload of the last request for rows, or NULL
 */
struct node {
    struct ggw_kernel *kernel;
    struct ggw_service config;
    struct ggw_service peers;
    struct ggw_service *site;
    struct ggw_node_settings settings;
    char *prefix;
    bool domain_out;
    uint64_t revision;
    struct ggw_vm_list *list;
    GPtrArray *sent;
    GBytes *requested;
};

static struct platform_process store;
static struct node node;

static char *
find_prefix(const json_t *root)
{
    g_autofree char *text = json_dumps(root, JSON_COMPACT);

    for (int i = 1; i <= 9; i++) {
        g_autofree char *prefix = g_strdup_printf("/v%d/", i);

        if (text != NULL && strstr(text, prefix) != NULL) {
            return g_steal_pointer(&prefix);
        }
    }
    return NULL;
}

static void
config_receive(struct ggw_service *service, struct ggw_message *message)
{
    if (message->ops == &ggw_config_given_ops) {
        const struct ggw_config_given *m = (struct ggw_config_given *)message;

        if (m->tree->revision > node.revision) {
            g_free(node.prefix);
            node.prefix = find_prefix(m->root);
            node.domain_out =
                json_object_get(json_object_get(m->root, "failure_domains"),
                                "a") != NULL;
            node.revision = m->tree->revision;
        }
    }
    else if (message->ops == &ggw_vms_changed_ops) {
        ggw_vm_list_unref(node.list);
        node.list = ggw_vm_list_ref(((struct ggw_vms_changed *)message)->list);
    }
}

static void
peers_receive(struct ggw_service *service, struct ggw_message *message)
{
    const struct ggw_peer_send *m = (struct ggw_peer_send *)message;

    if (message->ops != &ggw_peer_send_ops) {
        return;
    }
    if (m->type == GGW_PEER_ROWS) {
        g_ptr_array_add(node.sent, g_bytes_ref(m->payload));
    }
    else if (m->type == GGW_PEER_ROWS_GET) {
        g_clear_pointer(&node.requested, g_bytes_unref);
        node.requested = g_bytes_ref(m->payload);
    }
}

static const struct ggw_service_ops config_ops = {.name = "config",
                                                  .receive = config_receive};
static const struct ggw_service_ops peers_ops = {.name = "peers",
                                                 .receive = peers_receive};

static void
node_start(uint16_t port)
{
    memset(&node, 0, sizeof(node));
    node.kernel = ggw_kernel_new(ggw_clock_system());
    node.sent = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    node.config.ops = &config_ops;
    node.peers.ops = &peers_ops;
    node.settings.name = (char *)"n1";
    node.settings.retry_percent = 20;
    node.settings.max_change_delay = MAX_CHANGE_DELAY_MS;
    g_strlcpy(node.settings.store.host, "127.0.0.1",
              sizeof(node.settings.store.host));
    node.settings.store.port = port;
    node.site = ggw_site_service_new(&node.settings);
    ggw_kernel_add(node.kernel, &node.config);
    ggw_kernel_add(node.kernel, &node.peers);
    ggw_kernel_add(node.kernel, node.site);
    g_assert_true(ggw_kernel_start(node.kernel, NULL));
}

static void
node_stop(void)
{
    ggw_kernel_stop(node.kernel);
    uv_run(ggw_kernel_loop(node.kernel), UV_RUN_DEFAULT);
    ggw_kernel_destroy(node.kernel);
    ggw_vm_list_unref(node.list);
    g_free(node.prefix);
    g_ptr_array_unref(node.sent);
    g_clear_pointer(&node.requested, g_bytes_unref);
}

/* Runs the node until a condition holds, at most for @limit ms. */
static bool
run_until(bool (*holds)(void), int limit)
{
    gint64 end = g_get_monotonic_time() + (gint64)limit * 1000;

    while (!holds() && g_get_monotonic_time() < end) {
        uv_run(ggw_kernel_loop(node.kernel), UV_RUN_NOWAIT);
        g_usleep(1000);
    }
    return holds();
}

static bool
never(void)
{
    return false;
}

static void
write_row(const char *key, const char *value)
{
    struct ggw_txn *txn = ggw_txn_new(0);
    g_autofree char *body = NULL;
    g_autofree char *response = NULL;

    ggw_txn_put(txn, key, value);
    body = ggw_txn_encode(txn);
    txn->base.ops->destroy(&txn->base);
    response = http_exchange(store.port, "POST", "/v1/rows-tx", body);
    g_assert_nonnull(strstr(response, "Ver"));
}

/* Writes a configuration whose route has the prefix "/v@version/". */
static void
write_config(int version)
{
    g_autofree char *text = g_strdup_printf(
        "{\"Version\":\"%08d\",\"Listeners\":[{\"Host\":\"h\",\"Rules\":[{"
        "\"Name\":\"r\",\"RouteType\":\"idempotent\",\"Match\":{\"Prefix\":"
        "\"/v%d/\"},\"Action\":{\"Service\":\"s\",\"TimeoutMs\":1000,"
        "\"MaxAttempts\":2}}]}],\"Clusters\":[{\"Name\":\"s\","
        "\"HealthPath\":\"/health\",\"MaxConns\":220}]}",
        version, version);

    write_row("op/config", text);
}

static char *
entry_text(int slots, const char *state)
{
    return g_strdup_printf(
        "{\"Service\":\"s\",\"Address\":\"10.128.0.9:8080\",\"Zone\":\"a\","
        "\"Slots\":%d,\"State\":\"%s\",\"ColdLeftMs\":0}",
        slots, state);
}

static void
write_entry(const char *id, int slots, const char *state)
{
    g_autofree char *key = g_strconcat("servers/", id, NULL);
    g_autofree char *text = entry_text(slots, state);

    write_row(key, text);
}

static void
write_unrelated(int n)
{
    for (int i = 0; i < n; i++) {
        write_row("op/unrelated", "{}");
    }
}

static const struct ggw_vm *
find_vm(const char *id)
{
    for (size_t i = 0; node.list != NULL && i < node.list->len; i++) {
        if (strcmp(node.list->vms[i].name, id) == 0) {
            return &node.list->vms[i];
        }
    }
    return NULL;
}

static bool
uses(const char *id)
{
    const struct ggw_vm *vm = find_vm(id);

    return vm != NULL && !vm->leaving;
}

static bool
has_v2(void)
{
    return g_strcmp0(node.prefix, "/v2/") == 0;
}

static bool
has_v3(void)
{
    return g_strcmp0(node.prefix, "/v3/") == 0;
}

static bool
has_three_slots(void)
{
    const struct ggw_vm *vm = find_vm("i-1");

    return vm != NULL && vm->slots == 3;
}

static bool
leaves(void)
{
    return !uses("i-1");
}

static bool
uses_new(void)
{
    return uses("i-3");
}

/*
 * Starts a node that follows a store which then loses its last changes: the
 * configuration 2, another entry of i-1, the entry of i-2 and some more.
 */
static void
start_before_return(void)
{
    write_config(1);
    write_entry("i-1", 2, "ready");
    platform_process_fault(&store, "{\"mode\":\"copy\"}");
    node_start(store.port);
    write_config(2);
    write_entry("i-1", 3, "ready");
    write_entry("i-2", 2, "ready");
    write_unrelated(LOST_CHANGES);
    CU_ASSERT_TRUE(run_until(has_v2, SETUP_LIMIT_MS));
    CU_ASSERT_TRUE(run_until(has_three_slots, SETUP_LIMIT_MS));
    run_until(never, MAX_CHANGE_DELAY_MS);
}

static void
clear_rows(void)
{
    write_row("servers/i-1", NULL);
    write_row("servers/i-2", NULL);
    write_row("servers/i-3", NULL);
}

/* Writes a configuration and @more changes before the node sees the return. */
static void
check_config_after_return(int more)
{
    start_before_return();
    platform_process_fault(&store, "{\"mode\":\"return\"}");
    write_config(3);
    write_unrelated(more);
    CU_ASSERT_TRUE(run_until(has_v3, MAX_CHANGE_DELAY_MS));
    clear_rows();
    node_stop();
}

/* The configuration and two entries are lost besides LOST_CHANGES. */
static void
test_config_counter_below(void)
{
    check_config_after_return(0);
}

static void
test_config_counter_equal(void)
{
    check_config_after_return(LOST_CHANGES + 2);
}

static void
test_config_counter_above(void)
{
    check_config_after_return(LOST_CHANGES + 5);
}

static void
check_entries_after_return(int more)
{
    start_before_return();
    platform_process_fault(&store, "{\"mode\":\"return\"}");
    write_config(3);
    write_entry("i-1", 3, "draining");
    write_entry("i-3", 2, "ready");
    write_unrelated(more);
    CU_ASSERT_TRUE(run_until(leaves, MAX_CHANGE_DELAY_MS));
    CU_ASSERT_TRUE(run_until(uses_new, MAX_CHANGE_DELAY_MS));
    clear_rows();
    node_stop();
}

static void
test_leaving_counter_below(void)
{
    check_entries_after_return(0);
}

static void
test_leaving_counter_equal(void)
{
    check_entries_after_return(LOST_CHANGES);
}

static void
test_leaving_counter_above(void)
{
    check_entries_after_return(LOST_CHANGES + 3);
}

static bool
lacks_lost(void)
{
    return find_vm("i-2") == NULL;
}

/* Guards against a server that no one writes again and that stays for ever. */
static void
test_lost_entry(void)
{
    start_before_return();
    platform_process_fault(&store, "{\"mode\":\"return\"}");
    CU_ASSERT_FALSE(run_until(lacks_lost, MAX_CHANGE_DELAY_MS / 2));
    CU_ASSERT_TRUE(run_until(lacks_lost, 2 * MAX_CHANGE_DELAY_MS));
    clear_rows();
    node_stop();
}

static void
deliver(const struct ggw_relay_frame *frame)
{
    g_autoptr(GBytes) payload =
        ggw_relay_pack(frame, 0, frame->delta.rows->len);
    struct ggw_peer_received *m = g_new0(struct ggw_peer_received, 1);

    m->base.ops = &ggw_peer_received_ops;
    m->peer = g_strdup("n2");
    m->type = GGW_PEER_ROWS;
    m->payload = g_bytes_ref(payload);
    ggw_kernel_send(node.kernel, "site", &node.peers, &m->base);
}

/* A link that was cut delivers what a reader sent before the return. */
static void
test_old_delta(void)
{
    g_autofree char *text = entry_text(2, "ready");
    struct ggw_store_row *row = g_new0(struct ggw_store_row, 1);
    struct ggw_relay_frame frame = {
        .delta = {.table = "servers", .base_version = 1, .version = 1000}};

    start_before_return();
    platform_process_fault(&store, "{\"mode\":\"return\"}");
    write_entry("i-1", 2, "draining");
    write_unrelated(2 * LOST_CHANGES);
    run_until(leaves, 2 * MAX_CHANGE_DELAY_MS);
    CU_ASSERT_TRUE(leaves());
    row->key = g_strdup("i-1");
    row->version = 999;
    row->value = g_bytes_new(text, strlen(text));
    frame.delta.rows = g_ptr_array_new_with_free_func(ggw_store_row_free);
    g_ptr_array_add(frame.delta.rows, row);
    deliver(&frame);
    run_until(never, MAX_CHANGE_DELAY_MS / 2);
    CU_ASSERT_TRUE(leaves());
    g_ptr_array_unref(frame.delta.rows);
    clear_rows();
    node_stop();
}

static void
publish_members(void)
{
    static const char *const names[] = {"n1", "n2", "n3", "n4"};
    struct ggw_message *message = ggw_members_changed_new();

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        struct ggw_member member = {.name = (char *)names[i],
                                    .failure_domain = (char *)"a",
                                    .host = (char *)"h",
                                    .incarnation = 1};

        member.capacity.link_mbps = i == 0 ? 10 : 200;
        ggw_members_add((struct ggw_members_changed *)message, &member);
    }
    ggw_kernel_publish(node.kernel, &node.peers, message);
}

/* Delivers one entry of i-1, which replaces all rows if it is a snapshot. */
static void
deliver_entry(bool snapshot, uint64_t base, uint64_t version,
              const char *state)
{
    g_autofree char *text = entry_text(2, state);
    struct ggw_store_row *row = g_new0(struct ggw_store_row, 1);
    struct ggw_relay_frame frame = {.delta = {.table = "servers",
                                              .base_version = base,
                                              .version = version},
                                    .snapshot = snapshot,
                                    .last = snapshot};

    row->key = g_strdup("i-1");
    row->version = version;
    row->value = g_bytes_new(text, strlen(text));
    frame.delta.rows = g_ptr_array_new_with_free_func(ggw_store_row_free);
    g_ptr_array_add(frame.delta.rows, row);
    deliver(&frame);
    g_ptr_array_unref(frame.delta.rows);
}

static void
deliver_report(uint64_t version)
{
    g_autoptr(GPtrArray) no_rows = g_ptr_array_new();
    struct ggw_relay_frame frame = {.delta = {.table = "servers",
                                              .base_version = version,
                                              .version = version,
                                              .rows = no_rows}};

    deliver(&frame);
}

/* Lowest version of the table of servers that the node has requested. */
static uint64_t
requested_version(void)
{
    g_autoptr(GArray) requests = node.requested != NULL
                                     ? ggw_relay_unpack_request(node.requested)
                                     : NULL;

    for (guint i = 0; requests != NULL && i < requests->len; i++) {
        const struct ggw_rows_request *r =
            &g_array_index(requests, struct ggw_rows_request, i);

        if (strcmp(r->table, "servers") == 0) {
            return r->min_version;
        }
    }
    return 0;
}

static bool
uses_first(void)
{
    return uses("i-1");
}

static bool
has_requested_new_era(void)
{
    return requested_version() == ggw_store_version(2, 5);
}

/* A gateway that does not read the store learns of the return from another. */
static void
test_learned_from_gateway(void)
{
    node_start(unused_port());
    publish_members();
    deliver_entry(true, 0, ggw_store_version(1, 9), "ready");
    CU_ASSERT_TRUE(run_until(uses_first, SETUP_LIMIT_MS));
    deliver_report(ggw_store_version(2, 5));
    CU_ASSERT_TRUE(run_until(has_requested_new_era, MAX_CHANGE_DELAY_MS));
    deliver_entry(true, 0, ggw_store_version(1, 20), "ready");
    deliver_entry(true, 0, ggw_store_version(2, 5), "draining");
    CU_ASSERT_TRUE(run_until(leaves, MAX_CHANGE_DELAY_MS));
    deliver_entry(false, 1, ggw_store_version(1, 30), "ready");
    run_until(never, NOTICED_MS / 4);
    CU_ASSERT_TRUE(leaves());
    node_stop();
}

/* Gateways of earlier versions send no era, which is the same as era 0. */
static void
test_gateway_without_era(void)
{
    node_start(unused_port());
    deliver_entry(true, 0, 9, "ready");
    CU_ASSERT_TRUE(run_until(uses_first, SETUP_LIMIT_MS));
    deliver_entry(false, ggw_store_version(1, 9), ggw_store_version(1, 10),
                  "draining");
    CU_ASSERT_TRUE(run_until(leaves, SETUP_LIMIT_MS));
    deliver_entry(false, 10, 11, "ready");
    CU_ASSERT_TRUE(run_until(uses_first, SETUP_LIMIT_MS));
    node_stop();
}

/* Whether the node has told that a copy of the era before has to be read. */
static bool
has_announced(void)
{
    bool announced = false;

    for (guint i = 0; i < node.sent->len; i++) {
        struct ggw_relay_frame frame;

        if (ggw_relay_unpack(g_ptr_array_index(node.sent, i), &frame)) {
            announced =
                announced || (strcmp(frame.delta.table, "servers") == 0 &&
                              ggw_store_version_era(frame.delta.version) > 1 &&
                              frame.delta.base_version == frame.delta.version);
        }
        ggw_relay_clear(&frame);
    }
    return announced;
}

static void
test_return_told(void)
{
    start_before_return();
    platform_process_fault(&store, "{\"mode\":\"return\"}");
    g_ptr_array_set_size(node.sent, 0);
    CU_ASSERT_TRUE(run_until(has_announced, NOTICED_MS));
    clear_rows();
    node_stop();
}

static bool
lacks_first(void)
{
    return find_vm("i-1") == NULL;
}

/*
 * Returns a store whose copy still has i-1, which has left since, to @node.
 */
static void
return_after_leave(void)
{
    write_entry("i-1", 2, "ready");
    write_entry("i-2", 2, "ready");
    platform_process_fault(&store, "{\"mode\":\"copy\"}");
    node_start(store.port);
    CU_ASSERT_TRUE(run_until(uses_first, SETUP_LIMIT_MS));
    write_entry("i-1", 2, "draining");
    CU_ASSERT_TRUE(run_until(leaves, SETUP_LIMIT_MS));
    write_row("servers/i-1", NULL);
    CU_ASSERT_TRUE(run_until(lacks_first, SETUP_LIMIT_MS));
    platform_process_fault(&store, "{\"mode\":\"return\"}");
}

/* An entry that no one removes again counts in the end. */
static void
test_left_server(void)
{
    return_after_leave();
    CU_ASSERT_FALSE(run_until(uses_first, NOTICED_MS));
    CU_ASSERT_TRUE(run_until(uses_first, 2 * MAX_CHANGE_DELAY_MS));
    clear_rows();
    node_stop();
}

/* A server that has left and started again needs not wait. */
static void
test_left_server_starts_again(void)
{
    return_after_leave();
    run_until(never, NOTICED_MS / 4);
    write_entry("i-1", 1, "ready");
    CU_ASSERT_TRUE(run_until(uses_first, NOTICED_MS));
    write_row("servers/i-1", NULL);
    CU_ASSERT_TRUE(run_until(lacks_first, 2 * MAX_CHANGE_DELAY_MS));
    CU_ASSERT_FALSE(run_until(uses_first, 2 * MAX_CHANGE_DELAY_MS));
    clear_rows();
    node_stop();
}

static bool
is_domain_out(void)
{
    return node.domain_out;
}

static bool
is_domain_in(void)
{
    return !node.domain_out && node.prefix != NULL;
}

/*
 * Starts a node with failure domain "a" out of service, or not, that follows a
 * store whose copy has it the other way.
 */
static void
start_with_domain(bool out)
{
    write_config(1);
    write_row("op/evacuate/a", out ? NULL : "{}");
    platform_process_fault(&store, "{\"mode\":\"copy\"}");
    node_start(store.port);
    write_config(2);
    write_row("op/evacuate/a", out ? "{}" : NULL);
    CU_ASSERT_TRUE(run_until(has_v2, SETUP_LIMIT_MS));
    CU_ASSERT_TRUE(
        run_until(out ? is_domain_out : is_domain_in, SETUP_LIMIT_MS));
    run_until(never, MAX_CHANGE_DELAY_MS);
    platform_process_fault(&store, "{\"mode\":\"return\"}");
    run_until(never, NOTICED_MS / 4);
}

/* The row is not written again, so that the store's rows count in the end. */
static void
check_domain_kept(bool out)
{
    bool (*kept)(void) = out ? is_domain_out : is_domain_in;
    bool (*changed)(void) = out ? is_domain_in : is_domain_out;

    start_with_domain(out);
    CU_ASSERT_FALSE(run_until(changed, NOTICED_MS));
    CU_ASSERT_TRUE(kept());
    write_config(3);
    CU_ASSERT_TRUE(run_until(has_v3, MAX_CHANGE_DELAY_MS));
    run_until(never, (int)GGW_DOMAIN_HOLD_MS);
    write_entry("i-1", 2, "ready");
    CU_ASSERT_TRUE(run_until(changed, MAX_CHANGE_DELAY_MS));
    write_row("op/evacuate/a", NULL);
    clear_rows();
    node_stop();
}

static void
test_domain_out_kept(void)
{
    check_domain_kept(true);
}

static void
test_domain_in_kept(void)
{
    check_domain_kept(false);
}

/* What the operator writes after the return counts at once. */
static void
test_domain_written_again(void)
{
    start_with_domain(true);
    write_row("op/evacuate/a", "{}");
    CU_ASSERT_FALSE(run_until(is_domain_in, 2 * MAX_CHANGE_DELAY_MS));
    write_row("op/evacuate/a", NULL);
    CU_ASSERT_TRUE(run_until(is_domain_in, MAX_CHANGE_DELAY_MS));
    node_stop();
}

static bool
has_one_slot(void)
{
    const struct ggw_vm *vm = find_vm("i-1");

    return vm != NULL && vm->slots == 1;
}

/* Bad eras end the calls and change nothing; a good one is followed again. */
static void
test_bad_eras(void)
{
    static const char *const bad[] = {"", "0", "-1", "x2", "99999999999"};

    write_entry("i-1", 2, "ready");
    node_start(store.port);
    CU_ASSERT_TRUE(run_until(uses_first, SETUP_LIMIT_MS));
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        uint64_t *impaired = ggw_counter("ggw_store_answers_impaired_total");
        uint64_t before = *impaired;
        g_autofree char *fault =
            g_strdup_printf("{\"mode\":\"era\",\"text\":\"%s\"}", bad[i]);

        platform_process_fault(&store, fault);
        write_entry("i-1", 4, "ready");
        run_until(never, NOTICED_MS);
        CU_ASSERT_TRUE(*impaired > before);
        CU_ASSERT_TRUE(uses_first());
    }
    platform_process_fault(&store, "{\"mode\":\"era\"}");
    write_entry("i-1", 1, "ready");
    CU_ASSERT_TRUE(run_until(has_one_slot, MAX_CHANGE_DELAY_MS));
    clear_rows();
    node_stop();
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"configuration late after the store returned, counter below",
         test_config_counter_below},
        {"configuration late after the store returned, counter equal",
         test_config_counter_equal},
        {"configuration late after the store returned, counter above",
         test_config_counter_above},
        {"leaving server used after the store returned, counter below",
         test_leaving_counter_below},
        {"leaving server used after the store returned, counter equal",
         test_leaving_counter_equal},
        {"leaving server used after the store returned, counter above",
         test_leaving_counter_above},
        {"lost server kept for ever after the store returned",
         test_lost_entry},
        {"old delta of another gateway after the return", test_old_delta},
        {"return not learned from another gateway", test_learned_from_gateway},
        {"rows of a gateway of an earlier version ignored",
         test_gateway_without_era},
        {"return not told to other gateways", test_return_told},
        {"rows lost by a bad era", test_bad_eras},
        {"failure domain back in service after the store returned",
         test_domain_out_kept},
        {"failure domain out again after the store returned",
         test_domain_in_kept},
        {"domain out of service not written again", test_domain_written_again},
        {"server that has left used after the store returned",
         test_left_server},
        {"server that has left not used when it starts again",
         test_left_server_starts_again},
        CU_TEST_INFO_NULL,
    };
    int status;

    platform_process_start(&store, NULL);
    status = suite_run("store_return", tests);
    return platform_process_stop(&store) != 0 ? 1 : status;
}
