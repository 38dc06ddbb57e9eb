#include <CUnit/CUnit.h>
#include <math.h>
#include <signal.h>
#include <string.h>

#include "common/metrics.h"
#include "config/config.h"
#include "config/vms.h"
#include "decide/readers.h"
#include "peers/frame.h"
#include "peers/peers.h"
#include "platform/relay.h"
#include "platform/site.h"
#include "platform/txn.h"
#include "tests/platform_process.h"
#include "tests/suite.h"

/* Time limit for expected events, in seconds; enough on a busy machine. */
#define WAIT_LIMIT_S 20

/* Time within which a change must reach every gateway. */
#define MAX_CHANGE_DELAY_MS 2000

/**
 * struct node - the service "site" with fakes of "config" and "peers"
 * @given: number of settings sent to "config"
 * @revision: revision of the last settings
 * @list: last published list of VMs, or NULL
 * @sent: of GBytes; payloads of the ROWS frames sent to other gateways
 * @source: gateway that rows were last requested from, or NULL
 * @requested: payload of that request
 */
struct node {
    struct ggw_kernel *kernel;
    struct ggw_service config;
    struct ggw_service peers;
    struct ggw_service *site;
    struct ggw_node_settings settings;
    int given;
    uint64_t revision;
    struct ggw_vm_list *list;
    GPtrArray *sent;
    char *source;
    GBytes *requested;
};

static struct platform_process store;
static struct node *current_node;

static void
config_receive(struct ggw_service *service, struct ggw_message *message)
{
    if (message->ops == &ggw_config_given_ops) {
        current_node->given++;
        current_node->revision =
            ((struct ggw_config_given *)message)->tree->revision;
    }
    else if (message->ops == &ggw_vms_changed_ops) {
        ggw_vm_list_unref(current_node->list);
        current_node->list =
            ggw_vm_list_ref(((struct ggw_vms_changed *)message)->list);
    }
}

static void
peers_receive(struct ggw_service *service, struct ggw_message *message)
{
    const struct ggw_peer_send *m = (struct ggw_peer_send *)message;

    if (message->ops == &ggw_peer_send_ops && m->type == GGW_PEER_ROWS) {
        g_ptr_array_add(current_node->sent, g_bytes_ref(m->payload));
    }
    else if (message->ops == &ggw_peer_send_ops &&
             m->type == GGW_PEER_ROWS_DEFLATED) {
        GBytes *inflated = ggw_relay_inflate(m->payload);

        CU_ASSERT_PTR_NOT_NULL(inflated);
        if (inflated != NULL) {
            g_ptr_array_add(current_node->sent, inflated);
        }
    }
    else if (message->ops == &ggw_peer_send_ops &&
             m->type == GGW_PEER_ROWS_GET) {
        g_free(current_node->source);
        current_node->source = g_strdup(m->peer);
        g_clear_pointer(&current_node->requested, g_bytes_unref);
        current_node->requested = g_bytes_ref(m->payload);
    }
}

static const struct ggw_service_ops config_ops = {.name = "config",
                                                  .receive = config_receive};
static const struct ggw_service_ops peers_ops = {.name = "peers",
                                                 .receive = peers_receive};

static struct node *
node_start_with_seeds(uint16_t port, char **seeds)
{
    struct node *n = g_new0(struct node, 1);

    current_node = n;
    n->kernel = ggw_kernel_new(ggw_clock_system());
    n->config.ops = &config_ops;
    n->peers.ops = &peers_ops;
    n->sent = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    n->settings.name = (char *)"n1";
    n->settings.retry_percent = 20;
    n->settings.max_change_delay = MAX_CHANGE_DELAY_MS;
    g_strlcpy(n->settings.store.host, "127.0.0.1",
              sizeof(n->settings.store.host));
    n->settings.store.port = port;
    n->settings.seeds = seeds;
    n->site = ggw_site_service_new(&n->settings);
    ggw_kernel_add(n->kernel, &n->config);
    ggw_kernel_add(n->kernel, &n->peers);
    ggw_kernel_add(n->kernel, n->site);
    g_assert_true(ggw_kernel_start(n->kernel, NULL));
    return n;
}

/* Starts a node that expects no other gateways. */
static struct node *
node_start(uint16_t port)
{
    return node_start_with_seeds(port, NULL);
}

static void
node_stop(struct node *n)
{
    ggw_kernel_stop(n->kernel);
    uv_run(ggw_kernel_loop(n->kernel), UV_RUN_DEFAULT);
    ggw_kernel_destroy(n->kernel);
    ggw_vm_list_unref(n->list);
    g_ptr_array_unref(n->sent);
    g_free(n->source);
    g_clear_pointer(&n->requested, g_bytes_unref);
    g_free(n);
}

/* Runs the node until a condition holds; returns false after the limit. */
static bool
run_until(struct node *n, bool (*holds)(const struct node *))
{
    gint64 end = g_get_monotonic_time() + WAIT_LIMIT_S * G_USEC_PER_SEC;

    while (!holds(n) && g_get_monotonic_time() < end) {
        uv_run(ggw_kernel_loop(n->kernel), UV_RUN_ONCE);
    }
    return holds(n);
}

static double
measure_until(struct node *n, bool (*holds)(const struct node *))
{
    gint64 start = g_get_monotonic_time();

    CU_ASSERT_TRUE(run_until(n, holds));
    return (double)(g_get_monotonic_time() - start) / 1000;
}

/* Runs the node for @time ms. */
static void
run_for(struct node *n, ggw_ms time)
{
    gint64 end = g_get_monotonic_time() + (gint64)(1000 * time);

    while (g_get_monotonic_time() < end) {
        uv_run(ggw_kernel_loop(n->kernel), UV_RUN_NOWAIT);
        g_usleep(1000);
    }
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

#define CONFIG                                                                \
    "{\"Version\":\"00000001\",\"Listeners\":[{\"Host\":\"h\",\"Rules\":[{"   \
    "\"Name\":\"r\",\"RouteType\":\"idempotent\",\"Match\":{\"Prefix\":"      \
    "\"/p/\"},\"Action\":{\"Service\":\"s\",\"TimeoutMs\":1000,"              \
    "\"MaxAttempts\":2}}]}],\"Clusters\":[{\"Name\":\"s\","                   \
    "\"HealthPath\":\"/health\",\"MaxConns\":220}]}"
#define ENTRY                                                                 \
    "{\"Service\":\"s\",\"Address\":\"10.128.0.9:8080\",\"Zone\":\"a\","      \
    "\"Slots\":2,\"State\":\"ready\",\"ColdLeftMs\":0}"

static bool
has_config(const struct node *n)
{
    return n->given > 0;
}

static size_t
server_count(const struct node *n)
{
    return n->list != NULL ? n->list->len : 0;
}

static bool
has_one_server(const struct node *n)
{
    return server_count(n) == 1;
}

static bool
has_two_servers(const struct node *n)
{
    return server_count(n) == 2;
}

static bool
has_three_servers(const struct node *n)
{
    return server_count(n) == 3;
}

static bool
has_no_server(const struct node *n)
{
    return n->list != NULL && n->list->len == 0;
}

/* Guards against rows that are not read, and changes that are not noticed. */
static void
test_follow_feed(void)
{
    struct node *n;

    write_row("op/config", CONFIG);
    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_config));
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    write_row("servers/i-2", ENTRY);
    CU_ASSERT_TRUE(run_until(n, has_two_servers));
    write_row("servers/i-1", NULL);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    write_row("op/evacuate/a", "{}");
    n->given = 0;
    CU_ASSERT_TRUE(run_until(n, has_config));
    write_row("op/evacuate/a", NULL);
    write_row("servers/i-2", NULL);
    node_stop(n);
}

/*
 * Guards against a gateway that ends, or stops following the table, because
 * another writer left odd entries, and against their use as servers.
 */
static void
test_odd_entries(void)
{
    static const char *const odd[] = {
        "servers/deep",  "servers/port",       "servers/number",
        "servers/text",  "servers/with space", "servers/new\nline",
        "servers/nested"};
    g_autofree char *deep = g_strnfill(40000, '[');
    g_autofree char *nested = g_strconcat("{\"Service\":", deep, NULL);
    const char *const values[] = {
        deep,
        "{\"Service\":\"s\",\"Address\":\"10.128.0.9:99999\",\"Zone\":"
        "\"a\",\"Slots\":2,\"State\":\"ready\",\"ColdLeftMs\":0}",
        "{\"Service\":\"s\",\"Address\":\"10.128.0.9:8080\",\"Zone\":"
        "\"a\",\"Slots\":1e400,\"State\":\"ready\",\"ColdLeftMs\":0}",
        "\x01\xff",
        ENTRY,
        ENTRY,
        nested};
    struct node *n;

    write_row("servers/i-1", ENTRY);
    write_row(odd[0], values[0]);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
        write_row(odd[i], values[i]);
    }
    write_row("servers/i-2", ENTRY);
    CU_ASSERT_TRUE(run_until(n, has_two_servers));
    write_row("servers/i-1", NULL);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    write_row("servers/i-2", NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
        write_row(odd[i], NULL);
    }
    node_stop(n);
}

/*
 * A removed entry is kept for this time, ms, if it may have expired while the
 * store was unavailable. A change takes effect in less.
 */
#define EXPIRED_KEEP_MS 1800
#define CHANGE_MS 1300

/*
 * Guards against a new reader that takes its first answer of the store for the
 * store's return, and keeps entries of servers that have left.
 */
static void
test_first_answer_is_no_return(void)
{
    struct node *n;

    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    write_row("servers/i-1", NULL);
    CU_ASSERT_TRUE(measure_until(n, has_no_server) < CHANGE_MS);
    node_stop(n);
}

/*
 * Guards against entries that expired while the store was unavailable and are
 * removed before their servers can write them again.
 */
static void
test_kept_after_return(void)
{
    struct node *n;

    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    platform_process_fault(&store, "{\"mode\":\"down\"}");
    run_for(n, 3 * CHANGE_MS);
    platform_process_fault(&store, "{\"mode\":\"none\"}");
    write_row("servers/i-1", NULL);
    CU_ASSERT_TRUE(measure_until(n, has_no_server) > EXPIRED_KEEP_MS - 100);
    node_stop(n);
}

/* Guards against missing changes that the store has compacted. */
static void
test_history_lost(void)
{
    struct node *n;

    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    write_row("servers/i-1", NULL);
    write_row("servers/i-3", ENTRY);
    write_row("servers/i-4", ENTRY);
    platform_process_fault(&store, "{\"mode\":\"compact\"}");
    CU_ASSERT_TRUE(run_until(n, has_two_servers));
    write_row("servers/i-3", NULL);
    write_row("servers/i-4", NULL);
    node_stop(n);
}

/* Delivers the rows @from to @to, the latter excluded, as one frame. */
static void
deliver_part(struct node *n, const char *peer,
             const struct ggw_relay_frame *frame, guint from, guint to)
{
    g_autoptr(GBytes) payload = ggw_relay_pack(frame, from, to);
    struct ggw_peer_received *m = g_new0(struct ggw_peer_received, 1);

    m->base.ops = &ggw_peer_received_ops;
    m->peer = g_strdup(peer);
    m->type = GGW_PEER_ROWS;
    m->payload = g_bytes_ref(payload);
    ggw_kernel_send(n->kernel, "site", &n->peers, &m->base);
}

static void
deliver_rows_from(struct node *n, const char *peer,
                  const struct ggw_relay_frame *frame)
{
    deliver_part(n, peer, frame, 0, frame->delta.rows->len);
}

static void
deliver_rows(struct node *n, const struct ggw_relay_frame *frame)
{
    deliver_rows_from(n, "n2", frame);
}

/* Another gateway reports that the store has always answered it. */
static void
report_sound_store(struct node *n)
{
    struct ggw_relay_frame frame = {.delta = {.table = "servers"},
                                    .store_uptime = WAIT_LIMIT_S * 1000};

    frame.delta.rows = g_ptr_array_new();
    deliver_rows(n, &frame);
    g_ptr_array_unref(frame.delta.rows);
}

/*
 * Guards against a gateway whose own link to the store was cut and that takes
 * its end for the store's return, so that all keep entries that were removed.
 */
static void
test_own_link_is_no_return(void)
{
    struct node *n;

    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    platform_process_fault(&store, "{\"mode\":\"down\"}");
    for (int i = 0; i < 10; i++) {
        report_sound_store(n);
        run_for(n, 300);
    }
    platform_process_fault(&store, "{\"mode\":\"none\"}");
    write_row("servers/i-1", NULL);
    CU_ASSERT_TRUE(measure_until(n, has_no_server) < CHANGE_MS);
    node_stop(n);
}

static struct ggw_store_row *
entry_row(const char *id, uint64_t version)
{
    struct ggw_store_row *row = g_new0(struct ggw_store_row, 1);

    row->key = g_strdup(id);
    row->version = version;
    row->value = g_bytes_new_static(ENTRY, strlen(ENTRY));
    return row;
}

/*
 * Guards against a gateway that has no rows because it starts while the store
 * is unavailable, and ignores the rows of other gateways.
 */
static void
test_store_unavailable(void)
{
    struct node *n = node_start(unused_port());
    struct ggw_relay_frame frame = {
        .delta = {.table = "servers", .version = 9}, .snapshot = true};

    frame.delta.rows = g_ptr_array_new_with_free_func(ggw_store_row_free);
    g_ptr_array_add(frame.delta.rows, entry_row("i-1", 7));
    g_ptr_array_add(frame.delta.rows, entry_row("i-2", 8));
    deliver_part(n, "n2", &frame, 0, 1);
    frame.last = true;
    deliver_part(n, "n2", &frame, 1, 2);
    CU_ASSERT_TRUE(run_until(n, has_two_servers));

    /* Changes whose base version the node has are applied. */
    frame.snapshot = false;
    frame.delta.base_version = 9;
    frame.delta.version = 11;
    g_ptr_array_set_size(frame.delta.rows, 0);
    g_ptr_array_add(frame.delta.rows, entry_row("i-1", 10));
    ((struct ggw_store_row *)frame.delta.rows->pdata[0])->removed = true;
    deliver_rows(n, &frame);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    g_ptr_array_unref(frame.delta.rows);
    node_stop(n);
}

/* Guards against servers that are removed because the store is unavailable. */
static void
test_outage(void)
{
    struct node *n;

    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    platform_process_fault(&store, "{\"mode\":\"down\"}");
    for (int i = 0; i < 200; i++) {
        uv_run(ggw_kernel_loop(n->kernel), UV_RUN_NOWAIT);
    }
    CU_ASSERT_EQUAL(server_count(n), 1);
    platform_process_fault(&store, "{\"mode\":\"none\"}");
    write_row("servers/i-1", NULL);
    CU_ASSERT_TRUE(run_until(n, has_no_server));
    node_stop(n);
}

/* Counts the frames that the node has sent in snapshots of a table. */
static int
count_snapshot_frames(const struct node *n, const char *table)
{
    int frames = 0;

    for (guint i = 0; i < n->sent->len; i++) {
        struct ggw_relay_frame frame;

        if (ggw_relay_unpack(g_ptr_array_index(n->sent, i), &frame)) {
            frames += frame.snapshot && strcmp(frame.delta.table, table) == 0;
        }
        ggw_relay_clear(&frame);
    }
    return frames;
}

static bool
has_sent_snapshot(const struct node *n)
{
    return count_snapshot_frames(n, "op") > 0;
}

/* Lets gateway "n2" request a snapshot of a table. */
static void
request_table(struct node *n, const char *table)
{
    struct ggw_peer_received *m = g_new0(struct ggw_peer_received, 1);
    struct ggw_rows_request request = {.table = table};
    g_autoptr(GArray) requests =
        g_array_new(FALSE, FALSE, sizeof(struct ggw_rows_request));

    g_array_append_val(requests, request);
    m->base.ops = &ggw_peer_received_ops;
    m->peer = g_strdup("n2");
    m->type = GGW_PEER_ROWS_GET;
    m->payload = ggw_relay_pack_request(requests);
    ggw_kernel_send(n->kernel, "site", &n->peers, &m->base);
}

/*
 * Guards against sending the rows of all servers to a gateway that repeatedly
 * requests only the table with the configuration.
 */
static void
test_rows_request(void)
{
    struct node *n;

    write_row("op/config", CONFIG);
    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    CU_ASSERT_TRUE(run_until(n, has_config));
    request_table(n, "op");
    CU_ASSERT_TRUE(run_until(n, has_sent_snapshot));
    CU_ASSERT_EQUAL(count_snapshot_frames(n, "servers"), 0);
    write_row("servers/i-1", NULL);
    node_stop(n);
}

/* Guards against too few readers, and against a dead gateway as reader. */
static void
test_readers(void)
{
    g_autoptr(GArray) members =
        g_array_new(FALSE, TRUE, sizeof(struct ggw_member));
    char names[40][8];

    for (int i = 0; i < 40; i++) {
        struct ggw_member m = {.failure_domain = (char *)"a"};
        int readers = 0;

        g_snprintf(names[i], sizeof(names[i]), "n%d", i);
        m.name = names[i];
        m.state = i % 5 == 4 ? GGW_MEMBER_DEAD : GGW_MEMBER_ALIVE;
        g_array_append_val(members, m);
        for (int j = 0; j <= i; j++) {
            if (ggw_readers_rank(members, names[j]) < GGW_READERS &&
                j % 5 != 4) {
                readers++;
            }
        }
        CU_ASSERT_EQUAL(readers, MIN(i + 1, GGW_READERS));
    }
}

/* Publishes @len members. The node "n1" has the highest rank, @len - 1. */
static void
publish_some_members(struct node *n, guint len)
{
    struct ggw_message *message = ggw_members_changed_new();
    struct ggw_members_changed *m = (struct ggw_members_changed *)message;
    static const char *const names[] = {"n1", "n2", "n3", "n4"};

    for (guint i = 0; i < len; i++) {
        struct ggw_member member = {.name = (char *)names[i],
                                    .failure_domain = (char *)"a",
                                    .host = (char *)"h",
                                    .incarnation = 1};

        /* The other gateways have faster links and thus lower ranks. */
        member.capacity.link_mbps = i == 0 ? 10 : 200;
        ggw_members_add(m, &member);
    }
    CU_ASSERT_EQUAL(ggw_readers_rank(m->members, "n1"), len - 1);
    ggw_kernel_publish(n->kernel, &n->peers, message);
}

static void
publish_members(struct node *n)
{
    publish_some_members(n, 4);
}

static bool
sends_progress(const struct node *n)
{
    bool sends = false;

    for (guint i = 0; i < n->sent->len; i++) {
        struct ggw_relay_frame frame;

        if (ggw_relay_unpack(g_ptr_array_index(n->sent, i), &frame)) {
            sends = sends || (!frame.snapshot && frame.delta.version > 0);
        }
        ggw_relay_clear(&frame);
    }
    return sends;
}

/*
 * Guards against a failed takeover when no reader is known, as when the store
 * refuses both readers: the next gateway must read for the others, instead of
 * all gateways reading the store.
 */
static void
test_takeover(void)
{
    struct node *n;

    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    publish_members(n);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    g_ptr_array_set_size(n->sent, 0);
    CU_ASSERT_TRUE(run_until(n, sends_progress));
    write_row("servers/i-1", NULL);
    node_stop(n);
}

static bool
has_requested_rows(const struct node *n)
{
    return n->source != NULL;
}

/* Lowest version of the table of servers that the node has requested. */
static uint64_t
requested_version(const struct node *n)
{
    g_autoptr(GArray) requests = ggw_relay_unpack_request(n->requested);
    uint64_t version = 0;

    for (guint i = 0; i < requests->len; i++) {
        const struct ggw_rows_request *r =
            &g_array_index(requests, struct ggw_rows_request, i);

        if (strcmp(r->table, "servers") == 0) {
            version = r->min_version;
        }
    }
    return version;
}

/* Starts a node that knows three other gateways, with nothing read yet. */
static struct node *
start_in_cluster(uint16_t port)
{
    static char *seeds[] = {(char *)"127.0.0.1:9", NULL};
    struct node *n = node_start_with_seeds(port, seeds);

    publish_members(n);
    CU_ASSERT_TRUE(run_until(n, has_requested_rows));
    return n;
}

/* Delivers a whole snapshot of servers "i-@first" to "i-@last". */
static void
deliver_snapshot(struct node *n, const char *peer, uint64_t version, int first,
                 int last)
{
    struct ggw_relay_frame frame = {
        .delta = {.table = "servers", .version = version},
        .snapshot = true,
        .last = true};

    frame.delta.rows = g_ptr_array_new_with_free_func(ggw_store_row_free);
    for (int i = first; i <= last; i++) {
        g_autofree char *id = g_strdup_printf("i-%d", i);

        g_ptr_array_add(frame.delta.rows, entry_row(id, version));
    }
    deliver_rows_from(n, peer, &frame);
    g_ptr_array_unref(frame.delta.rows);
}

static bool
sends_no_progress(struct node *n)
{
    g_ptr_array_set_size(n->sent, 0);
    run_for(n, 400);
    return !sends_progress(n);
}

/*
 * Guards against store calls of every gateway that starts. In a cluster of
 * hundreds, these were most of all calls.
 */
static void
test_rows_from_gateway(void)
{
    uint64_t calls = *ggw_counter("ggw_store_calls_total");
    struct node *n = start_in_cluster(store.port);

    CU_ASSERT_STRING_NOT_EQUAL(n->source, "n1");
    CU_ASSERT_EQUAL(requested_version(n), 0);
    deliver_snapshot(n, n->source, 9, 1, 2);
    CU_ASSERT_TRUE(run_until(n, has_two_servers));
    CU_ASSERT_EQUAL(*ggw_counter("ggw_store_calls_total"), calls);
    CU_ASSERT_TRUE(sends_no_progress(n));
    node_stop(n);
}

/*
 * Guards against a server that has left and is used again, because the rows of
 * two copies of different age were mixed.
 */
static void
test_mixed_snapshots(void)
{
    struct node *n = start_in_cluster(unused_port());
    g_autofree char *source = g_strdup(n->source);
    struct ggw_relay_frame frame = {
        .delta = {.table = "servers", .version = 9}, .snapshot = true};

    frame.delta.rows = g_ptr_array_new_with_free_func(ggw_store_row_free);
    g_ptr_array_add(frame.delta.rows, entry_row("i-7", 7));
    deliver_rows_from(n, source, &frame);
    /* The rest is lost with the link; another gateway's rows are older. */
    deliver_snapshot(n, strcmp(source, "n2") == 0 ? "n3" : "n2", 8, 6, 7);
    deliver_snapshot(n, source, 10, 1, 2);
    CU_ASSERT_TRUE(run_until(n, has_two_servers));
    run_for(n, 50);
    CU_ASSERT_EQUAL(server_count(n), 2);
    g_ptr_array_unref(frame.delta.rows);
    node_stop(n);
}

/*
 * Guards against a large change, which is only announced, that every gateway
 * reads from the store, and against rows that are older than that change.
 */
static void
test_announced_change(void)
{
    struct node *n = start_in_cluster(unused_port());
    struct ggw_relay_frame announced = {
        .delta = {.table = "servers", .base_version = 15, .version = 15}};

    announced.delta.rows = g_ptr_array_new();
    deliver_snapshot(n, n->source, 9, 1, 1);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    g_clear_pointer(&n->source, g_free);
    deliver_rows_from(n, "n2", &announced);
    CU_ASSERT_TRUE(run_until(n, has_requested_rows));
    CU_ASSERT_EQUAL(requested_version(n), 15);
    deliver_snapshot(n, n->source, 14, 1, 5);
    run_for(n, 50);
    CU_ASSERT_EQUAL(server_count(n), 1);
    deliver_snapshot(n, n->source, 15, 2, 3);
    CU_ASSERT_TRUE(run_until(n, has_two_servers));
    g_ptr_array_unref(announced.delta.rows);
    node_stop(n);
}

/*
 * Guards against gateways that ask one after another because the first one is
 * still reading the rows.
 */
static void
test_request_before_rows(void)
{
    struct node *n;

    write_row("op/config", CONFIG);
    n = node_start(store.port);
    request_table(n, "op");
    CU_ASSERT_TRUE(run_until(n, has_sent_snapshot));
    node_stop(n);
}

/* Number of large rows, and the size of each in bytes. */
#define LARGE_ROWS 60
#define LARGE_ROW_BYTES 48000

static bool
has_sent_all_rows(const struct node *n)
{
    guint rows = 0;

    for (guint i = 0; i < n->sent->len; i++) {
        GBytes *payload = g_ptr_array_index(n->sent, i);
        struct ggw_relay_frame frame;

        if (ggw_relay_unpack(payload, &frame) && frame.snapshot &&
            g_bytes_get_size(payload) < GGW_FRAME_MAX) {
            rows += frame.delta.rows->len;
        }
        ggw_relay_clear(&frame);
    }
    return rows == LARGE_ROWS;
}

/*
 * Guards against large entries that make a frame with many rows exceed the
 * limit of a frame, so that gateways that start get no rows from others.
 */
static void
test_large_entries(void)
{
    g_autofree char *filler = g_strnfill(LARGE_ROW_BYTES, 'x');
    struct node *n;

    for (int i = 0; i < LARGE_ROWS; i++) {
        g_autofree char *key = g_strdup_printf("servers/large-%d", i);

        write_row(key, filler);
    }
    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    write_row("servers/i-1", NULL);
    CU_ASSERT_TRUE(run_until(n, has_no_server));
    request_table(n, "servers");
    CU_ASSERT_TRUE(run_until(n, has_sent_all_rows));
    for (int i = 0; i < LARGE_ROWS; i++) {
        g_autofree char *key = g_strdup_printf("servers/large-%d", i);

        write_row(key, NULL);
    }
    node_stop(n);
}

static bool
sends_rows(const struct node *n)
{
    bool sends = false;

    for (guint i = 0; i < n->sent->len; i++) {
        struct ggw_relay_frame frame;

        if (ggw_relay_unpack(g_ptr_array_index(n->sent, i), &frame)) {
            sends = sends || (!frame.snapshot && frame.delta.rows->len > 0);
        }
        ggw_relay_clear(&frame);
    }
    return sends;
}

/* Delivers a reader's report that it has all changes up to a version. */
static void
deliver_report(struct node *n, const char *peer, const char *table,
               uint64_t version)
{
    struct ggw_relay_frame frame = {
        .delta = {.table = table, .version = version}};

    frame.delta.rows = g_ptr_array_new();
    deliver_rows_from(n, peer, &frame);
    g_ptr_array_unref(frame.delta.rows);
}

/* Returns the highest version of a table that the node has reported. */
static uint64_t
reported_version(const struct node *n, const char *table)
{
    uint64_t version = 0;

    for (guint i = 0; i < n->sent->len; i++) {
        struct ggw_relay_frame frame;

        if (ggw_relay_unpack(g_ptr_array_index(n->sent, i), &frame) &&
            strcmp(frame.delta.table, table) == 0) {
            version = MAX(version, frame.delta.version);
        }
        ggw_relay_clear(&frame);
    }
    return version;
}

static bool
has_reported_servers(const struct node *n)
{
    return reported_version(n, "servers") > 0;
}

/*
 * Guards against a change that reaches nobody because each of two readers
 * leaves it to the other, and against two readers that both send it.
 */
static void
test_backup_reader(void)
{
    struct node *n;
    uint64_t version;

    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    publish_some_members(n, 2);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    CU_ASSERT_TRUE(run_until(n, has_reported_servers));
    version = reported_version(n, "servers");
    g_ptr_array_set_size(n->sent, 0);

    /* The reader before this one relays the change. */
    deliver_report(n, "n2", "servers", version);
    write_row("servers/i-2", ENTRY);
    CU_ASSERT_TRUE(run_until(n, has_two_servers));
    CU_ASSERT_FALSE(sends_rows(n));
    deliver_report(n, "n2", "servers", version + 1);
    run_for(n, 2 * GGW_READERS_BACKUP_DELAY);
    CU_ASSERT_FALSE(sends_rows(n));

    /* It does not relay the next one. */
    write_row("servers/i-3", ENTRY);
    CU_ASSERT_TRUE(run_until(n, has_three_servers));
    CU_ASSERT_TRUE(reported_version(n, "servers") < version + 2);
    CU_ASSERT_TRUE(measure_until(n, sends_rows) < 0.5 * MAX_CHANGE_DELAY_MS);
    write_row("servers/i-1", NULL);
    write_row("servers/i-2", NULL);
    write_row("servers/i-3", NULL);
    node_stop(n);
}

/* Delivers the removal of server "i-1" as a delta of gateway "n2". */
static void
deliver_removal(struct node *n, uint64_t base_version, uint64_t version)
{
    struct ggw_relay_frame frame = {.delta = {.table = "servers",
                                              .base_version = base_version,
                                              .version = version},
                                    .store_uptime = WAIT_LIMIT_S * 1000};
    struct ggw_store_row *row = entry_row("i-1", version);

    row->removed = true;
    frame.delta.rows = g_ptr_array_new_with_free_func(ggw_store_row_free);
    g_ptr_array_add(frame.delta.rows, row);
    deliver_rows(n, &frame);
    g_ptr_array_unref(frame.delta.rows);
}

/*
 * Guards against a server that has left and is used again, because the store's
 * response with an earlier change of its entry arrives after its removal.
 */
static void
test_removal_before_response(void)
{
    struct node *n;
    uint64_t version;

    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    CU_ASSERT_TRUE(run_until(n, has_reported_servers));
    run_for(n, 500);
    version = reported_version(n, "servers");

    write_row("servers/i-1", ENTRY);
    write_row("servers/i-1", NULL);
    deliver_removal(n, version, version + 2);
    CU_ASSERT_TRUE(run_until(n, has_no_server));
    run_for(n, 500);
    CU_ASSERT_EQUAL(server_count(n), 0);
    node_stop(n);
}

/* Tells the node that a reader's store responds, or no longer does. */
static void
deliver_progress(struct node *n, const char *peer, const char *table,
                 bool lost)
{
    struct ggw_relay_frame frame = {.delta = {.table = table},
                                    .lost = lost,
                                    .store_uptime = WAIT_LIMIT_S * 1000};

    frame.delta.rows = g_ptr_array_new();
    deliver_rows_from(n, peer, &frame);
    g_ptr_array_unref(frame.delta.rows);
}

static bool
sends_lost(const struct node *n)
{
    bool lost = false;

    for (guint i = 0; i < n->sent->len; i++) {
        struct ggw_relay_frame frame;

        if (ggw_relay_unpack(g_ptr_array_index(n->sent, i), &frame)) {
            lost =
                lost || (frame.lost && strcmp(frame.delta.table, "op") == 0);
        }
        ggw_relay_clear(&frame);
    }
    return lost;
}

/*
 * Guards against a change that reaches no gateway in time because the store
 * stops responding to exactly the gateways that read it for the others.
 */
static void
test_store_silent_for_readers(void)
{
    struct node *n;
    ggw_ms time_until_lost;
    ggw_ms time_until_read;

    write_row("op/config", CONFIG);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_config));
    run_for(n, 500);
    kill(store.pid, SIGSTOP);
    g_ptr_array_set_size(n->sent, 0);
    time_until_lost = measure_until(n, sends_lost);
    kill(store.pid, SIGCONT);
    node_stop(n);

    n = node_start(store.port);
    publish_members(n);
    CU_ASSERT_TRUE(run_until(n, has_config));
    for (int i = 0; i < 5; i++) {
        deliver_progress(n, "n2", "op", false);
        deliver_progress(n, "n3", "op", false);
        run_for(n, 300);
    }
    deliver_progress(n, "n2", "op", true);
    deliver_progress(n, "n3", "op", true);
    g_ptr_array_set_size(n->sent, 0);
    time_until_read = measure_until(n, sends_progress);
    node_stop(n);
    CU_ASSERT_TRUE(time_until_lost + time_until_read < MAX_CHANGE_DELAY_MS);
}

/*
 * Guards against a new reader that takes the end of its own failures, long
 * past, for the store's return, and keeps entries of servers that have left.
 */
static void
test_old_failure_is_no_return(void)
{
    struct node *n;

    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    publish_members(n);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    platform_process_fault(&store, "{\"mode\":\"down\"}");
    run_for(n, 2 * CHANGE_MS);
    deliver_progress(n, "n2", "servers", false);
    run_for(n, 500);
    platform_process_fault(&store, "{\"mode\":\"none\"}");
    for (int i = 0; i < 8; i++) {
        deliver_progress(n, "n2", "servers", false);
        run_for(n, 300);
    }
    write_row("servers/i-1", NULL);
    deliver_progress(n, "n2", "servers", true);
    CU_ASSERT_TRUE(measure_until(n, has_no_server) < CHANGE_MS);
    node_stop(n);
}

/*
 * Guards against a reader that takes the end of its own failures for the
 * store's return although another reader had the store all the while.
 */
static void
test_own_failure_is_no_return(void)
{
    struct node *n;

    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    publish_some_members(n, 2);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    platform_process_fault(&store, "{\"mode\":\"down\"}");
    for (int i = 0; i < 12; i++) {
        deliver_progress(n, "n2", "servers", false);
        run_for(n, 300);
    }
    platform_process_fault(&store, "{\"mode\":\"none\"}");
    write_row("servers/i-1", NULL);
    CU_ASSERT_TRUE(measure_until(n, has_no_server) < CHANGE_MS);
    node_stop(n);
}

/*
 * Guards against a reader that takes the end of a short failure of its own for
 * the store's return although another reader had the store all the while.
 */
static void
test_short_own_failure_is_no_return(void)
{
    struct node *n;

    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    publish_some_members(n, 2);
    CU_ASSERT_TRUE(run_until(n, has_one_server));
    platform_process_fault(&store, "{\"mode\":\"down\"}");
    for (int i = 0; i < 4; i++) {
        deliver_progress(n, "n2", "servers", false);
        run_for(n, 300);
    }
    platform_process_fault(&store, "{\"mode\":\"none\"}");
    write_row("servers/i-1", NULL);
    CU_ASSERT_TRUE(measure_until(n, has_no_server) < CHANGE_MS);
    node_stop(n);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"follow feed", test_follow_feed},
        {"odd entries", test_odd_entries},
        {"first answer is no return", test_first_answer_is_no_return},
        {"kept after return", test_kept_after_return},
        {"old failure is no return", test_old_failure_is_no_return},
        {"own failure is no return", test_own_failure_is_no_return},
        {"own link is no return", test_own_link_is_no_return},
        {"short own failure is no return",
         test_short_own_failure_is_no_return},
        {"history lost", test_history_lost},
        {"start without store", test_store_unavailable},
        {"outage", test_outage},
        {"rows request", test_rows_request},
        {"request before rows", test_request_before_rows},
        {"large entries", test_large_entries},
        {"rows from another gateway", test_rows_from_gateway},
        {"mixed snapshots", test_mixed_snapshots},
        {"announced change", test_announced_change},
        {"readers", test_readers},
        {"takeover", test_takeover},
        {"backup reader", test_backup_reader},
        {"removal before response", test_removal_before_response},
        {"store silent for readers", test_store_silent_for_readers},
        CU_TEST_INFO_NULL,
    };
    int status;

    platform_process_start(&store, NULL);
    status = suite_run("table", tests);
    return platform_process_stop(&store) != 0 ? 1 : status;
}
