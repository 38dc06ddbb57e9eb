#include <CUnit/CUnit.h>
#include <signal.h>
#include <string.h>

#include "config/config.h"
#include "config/vms.h"
#include "decide/readers.h"
#include "peers/peers.h"
#include "platform/relay.h"
#include "platform/site.h"
#include "platform/txn.h"
#include "tests/platform_process.h"
#include "tests/suite.h"

/* Limit for what must happen; generous for a busy machine. */
#define PATIENT_S 20

/* Time within which a change has to reach every gateway. */
#define CHANGE_LIMIT_MS 2000

/**
 * struct node - the service "site" with fakes of its neighbours
 * @given: settings handed to "config"
 * @list: last list of VMs
 * @sent: of GBytes, ROWS frames to all
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
};

static struct platform_process store;
static struct node *current;

static void
config_receive(struct ggw_service *service, struct ggw_message *message)
{
    if (message->ops == &ggw_config_given_ops) {
        current->given++;
        current->revision = ((struct ggw_config_given *)message)->revision;
    }
    else if (message->ops == &ggw_vms_changed_ops) {
        ggw_vm_list_unref(current->list);
        current->list =
            ggw_vm_list_ref(((struct ggw_vms_changed *)message)->list);
    }
}

static void
peers_receive(struct ggw_service *service, struct ggw_message *message)
{
    const struct ggw_peer_send *m = (struct ggw_peer_send *)message;

    if (message->ops == &ggw_peer_send_ops && m->type == GGW_PEER_ROWS) {
        g_ptr_array_add(current->sent, g_bytes_ref(m->payload));
    }
}

static const struct ggw_service_ops config_ops = {.name = "config",
                                                  .receive = config_receive};
static const struct ggw_service_ops peers_ops = {.name = "peers",
                                                 .receive = peers_receive};

static struct node *
node_start(uint16_t port)
{
    struct node *n = g_new0(struct node, 1);

    current = n;
    n->kernel = ggw_kernel_new(ggw_clock_system());
    n->config.ops = &config_ops;
    n->peers.ops = &peers_ops;
    n->sent = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    n->settings.name = (char *)"n1";
    n->settings.retry_percent = 20;
    n->settings.change_limit = CHANGE_LIMIT_MS;
    g_strlcpy(n->settings.store.host, "127.0.0.1",
              sizeof(n->settings.store.host));
    n->settings.store.port = port;
    n->site = ggw_site_service_new(&n->settings);
    ggw_kernel_add(n->kernel, &n->config);
    ggw_kernel_add(n->kernel, &n->peers);
    ggw_kernel_add(n->kernel, n->site);
    g_assert_true(ggw_kernel_start(n->kernel, NULL));
    return n;
}

static void
node_stop(struct node *n)
{
    ggw_kernel_stop(n->kernel);
    uv_run(ggw_kernel_loop(n->kernel), UV_RUN_DEFAULT);
    ggw_kernel_destroy(n->kernel);
    ggw_vm_list_unref(n->list);
    g_ptr_array_unref(n->sent);
    g_free(n);
}

/* Runs the node until a condition holds; false when it never does. */
static bool
run_until(struct node *n, bool (*holds)(const struct node *))
{
    gint64 end = g_get_monotonic_time() + PATIENT_S * G_USEC_PER_SEC;

    while (!holds(n) && g_get_monotonic_time() < end) {
        uv_run(ggw_kernel_loop(n->kernel), UV_RUN_ONCE);
    }
    return holds(n);
}

static void
write_row(const char *key, const char *value)
{
    struct ggw_txn *txn = ggw_txn_new(0);
    g_autofree char *body = NULL;
    g_autofree char *answer = NULL;

    ggw_txn_put(txn, key, value);
    body = ggw_txn_encode(txn);
    txn->base.ops->destroy(&txn->base);
    answer = http_exchange(store.port, "POST", "/v1/rows-tx", body);
    g_assert_nonnull(strstr(answer, "Ver"));
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
servers(const struct node *n)
{
    return n->list != NULL ? n->list->len : 0;
}

static bool
has_one(const struct node *n)
{
    return servers(n) == 1;
}

static bool
has_two(const struct node *n)
{
    return servers(n) == 2;
}

static bool
has_none(const struct node *n)
{
    return n->list != NULL && n->list->len == 0;
}

/* Guards against rows that are not read, or changes that are not followed. */
static void
test_follows(void)
{
    struct node *n;

    write_row("op/config", CONFIG);
    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_config));
    CU_ASSERT_TRUE(run_until(n, has_one));
    write_row("servers/i-2", ENTRY);
    CU_ASSERT_TRUE(run_until(n, has_two));
    write_row("servers/i-1", NULL);
    CU_ASSERT_TRUE(run_until(n, has_one));
    write_row("op/evacuate/a", "{}");
    n->given = 0;
    CU_ASSERT_TRUE(run_until(n, has_config));
    write_row("op/evacuate/a", NULL);
    write_row("servers/i-2", NULL);
    node_stop(n);
}

/* Guards against changes lost with the store's history. */
static void
test_history_lost(void)
{
    struct node *n;

    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_one));
    write_row("servers/i-1", NULL);
    write_row("servers/i-3", ENTRY);
    write_row("servers/i-4", ENTRY);
    platform_process_fault(&store, "{\"mode\":\"compact\"}");
    CU_ASSERT_TRUE(run_until(n, has_two));
    write_row("servers/i-3", NULL);
    write_row("servers/i-4", NULL);
    node_stop(n);
}

static void
deliver_from(struct node *n, const char *peer,
             const struct ggw_relay_frame *frame)
{
    g_autoptr(GBytes) payload =
        ggw_relay_pack(frame, 0, frame->delta.rows->len);
    struct ggw_peer_received *m = g_new0(struct ggw_peer_received, 1);

    m->base.ops = &ggw_peer_received_ops;
    m->peer = g_strdup(peer);
    m->type = GGW_PEER_ROWS;
    m->payload = g_bytes_ref(payload);
    ggw_kernel_send(n->kernel, "site", &n->peers, &m->base);
}

static void
deliver(struct node *n, const struct ggw_relay_frame *frame)
{
    deliver_from(n, "n2", frame);
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

/* Guards against a gateway that starts without the store and stays empty. */
static void
test_store_away(void)
{
    struct node *n = node_start(unused_port());
    struct ggw_relay_frame frame = {
        .delta = {.table = "servers", .version = 9}, .whole = true};

    frame.delta.rows = g_ptr_array_new_with_free_func(ggw_store_row_free);
    g_ptr_array_add(frame.delta.rows, entry_row("i-1", 7));
    deliver(n, &frame); /* a first part */
    frame.last = true;
    g_ptr_array_set_size(frame.delta.rows, 0);
    g_ptr_array_add(frame.delta.rows, entry_row("i-2", 8));
    deliver(n, &frame);
    CU_ASSERT_TRUE(run_until(n, has_two));

    /* Changes follow, but only if none before them is missing. */
    frame.whole = false;
    frame.delta.before = 9;
    frame.delta.version = 11;
    g_ptr_array_set_size(frame.delta.rows, 0);
    g_ptr_array_add(frame.delta.rows, entry_row("i-1", 10));
    ((struct ggw_store_row *)frame.delta.rows->pdata[0])->removed = true;
    deliver(n, &frame);
    CU_ASSERT_TRUE(run_until(n, has_one));
    g_ptr_array_unref(frame.delta.rows);
    node_stop(n);
}

/* Guards against servers forgotten because the store is away. */
static void
test_outage(void)
{
    struct node *n;

    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_one));
    platform_process_fault(&store, "{\"mode\":\"down\"}");
    for (int i = 0; i < 200; i++) {
        uv_run(ggw_kernel_loop(n->kernel), UV_RUN_NOWAIT);
    }
    CU_ASSERT_EQUAL(servers(n), 1);
    platform_process_fault(&store, "{\"mode\":\"none\"}");
    write_row("servers/i-1", NULL);
    CU_ASSERT_TRUE(run_until(n, has_none));
    node_stop(n);
}

/* Guards against rows that change on their way between gateways. */
static void
test_frames(void)
{
    struct ggw_relay_frame out = {
        .delta = {.table = "op", .before = 3, .version = 5}, .back_for = 12};
    struct ggw_relay_frame in;
    g_autoptr(GBytes) payload = NULL;
    g_autoptr(GBytes) garbage = g_bytes_new_static("\x93\x01\x02\x03", 4);
    const struct ggw_store_row *row;

    out.delta.rows = g_ptr_array_new_with_free_func(ggw_store_row_free);
    g_ptr_array_add(out.delta.rows, entry_row("i-1", 4));
    payload = ggw_relay_pack(&out, 0, 1);
    CU_ASSERT_TRUE(ggw_relay_unpack(payload, &in));
    CU_ASSERT_STRING_EQUAL(in.delta.table, "op");
    CU_ASSERT_EQUAL(in.delta.before, 3);
    CU_ASSERT_EQUAL(in.delta.version, 5);
    CU_ASSERT_EQUAL(in.back_for, 12);
    CU_ASSERT_EQUAL(in.delta.rows->len, 1);
    row = g_ptr_array_index(in.delta.rows, 0);
    CU_ASSERT_STRING_EQUAL(row->key, "i-1");
    CU_ASSERT_EQUAL(row->version, 4);
    CU_ASSERT_TRUE(g_bytes_equal(
        row->value,
        ((struct ggw_store_row *)out.delta.rows->pdata[0])->value));
    ggw_relay_clear(&in);
    CU_ASSERT_FALSE(ggw_relay_unpack(garbage, &in));
    ggw_relay_clear(&in);
    g_ptr_array_unref(out.delta.rows);
}

/* Frames that the node has sent with rows of a table. */
static int
frames_of(const struct node *n, const char *table)
{
    int frames = 0;

    for (guint i = 0; i < n->sent->len; i++) {
        struct ggw_relay_frame frame;

        if (ggw_relay_unpack(g_ptr_array_index(n->sent, i), &frame)) {
            frames += frame.whole && strcmp(frame.delta.table, table) == 0;
        }
        ggw_relay_clear(&frame);
    }
    return frames;
}

static bool
has_answered(const struct node *n)
{
    return frames_of(n, "op") > 0;
}

/*
 * Guards against a gateway that waits for the first configuration and is sent
 * all servers each time it asks for it.
 */
static void
test_wish(void)
{
    struct node *n;
    struct ggw_peer_received *m = g_new0(struct ggw_peer_received, 1);
    g_autoptr(GPtrArray) tables = g_ptr_array_new();

    write_row("op/config", CONFIG);
    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_one));
    CU_ASSERT_TRUE(run_until(n, has_config));
    g_ptr_array_add(tables, (gpointer) "op");
    m->base.ops = &ggw_peer_received_ops;
    m->peer = g_strdup("n2");
    m->type = GGW_PEER_ROWS_GET;
    m->payload = ggw_relay_pack_wish(tables);
    ggw_kernel_send(n->kernel, "site", &n->peers, &m->base);
    CU_ASSERT_TRUE(run_until(n, has_answered));
    CU_ASSERT_EQUAL(frames_of(n, "servers"), 0);
    write_row("servers/i-1", NULL);
    node_stop(n);
}

/*
 * Guards against a large configuration that a reader sends to every gateway
 * over its thin link.
 */
static void
test_large_rows(void)
{
    struct ggw_table_delta delta = {.table = "op", .version = 5};
    struct ggw_store_row *row = entry_row("config", 5);

    delta.rows = g_ptr_array_new_with_free_func(ggw_store_row_free);
    g_ptr_array_add(delta.rows, row);
    CU_ASSERT_TRUE(ggw_relay_fits(&delta));
    g_bytes_unref(row->value);
    row->value = g_bytes_new_take(g_malloc0(200000), 200000);
    CU_ASSERT_FALSE(ggw_relay_fits(&delta));
    g_ptr_array_set_size(delta.rows, 0);
    for (int i = 0; i < 400; i++) {
        g_ptr_array_add(delta.rows, entry_row("i-1", 5));
    }
    CU_ASSERT_FALSE(ggw_relay_fits(&delta));
    g_ptr_array_unref(delta.rows);
}

/* Guards against too few readers, or one on a gateway that is gone. */
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
            if (ggw_relay_rank(members, names[j]) < GGW_READERS &&
                j % 5 != 4) {
                readers++;
            }
        }
        CU_ASSERT_EQUAL(readers, MIN(i + 1, GGW_READERS));
    }
}

static void
publish_members(struct node *n)
{
    struct ggw_message *message = ggw_members_changed_new();
    struct ggw_members_changed *m = (struct ggw_members_changed *)message;
    static const char *const names[] = {"n1", "n2", "n3", "n4"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        struct ggw_member member = {.name = (char *)names[i],
                                    .failure_domain = (char *)"a",
                                    .host = (char *)"h",
                                    .incarnation = 1};

        /* The others have faster links, so that they come first. */
        member.capacity.link_mbps = i == 0 ? 10 : 200;
        ggw_members_add(m, &member);
    }
    CU_ASSERT_EQUAL(ggw_relay_rank(m->members, "n1"), 3);
    ggw_kernel_publish(n->kernel, &n->peers, message);
}

static bool
tells_state(const struct node *n)
{
    bool tells = false;

    for (guint i = 0; i < n->sent->len; i++) {
        struct ggw_relay_frame frame;

        if (ggw_relay_unpack(g_ptr_array_index(n->sent, i), &frame)) {
            tells = tells || (!frame.whole && frame.delta.version > 0);
        }
        ggw_relay_clear(&frame);
    }
    return tells;
}

/*
 * Guards against gateways that all read the store because it refuses both
 * readers: the first that can reads it for the others.
 */
static void
test_takes_over(void)
{
    struct node *n;

    write_row("servers/i-1", ENTRY);
    n = node_start(store.port);
    publish_members(n);
    CU_ASSERT_TRUE(run_until(n, has_one));
    g_ptr_array_set_size(n->sent, 0);
    CU_ASSERT_TRUE(run_until(n, tells_state));
    write_row("servers/i-1", NULL);
    node_stop(n);
}

/* Tells the node whether the store answers a reader. */
static void
deliver_state(struct node *n, const char *peer, bool lost)
{
    struct ggw_relay_frame frame = {
        .delta = {.table = "op"}, .lost = lost, .back_for = PATIENT_S * 1000};

    frame.delta.rows = g_ptr_array_new();
    deliver_from(n, peer, &frame);
    g_ptr_array_unref(frame.delta.rows);
}

static bool
tells_lost(const struct node *n)
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

static double
ms_until(struct node *n, bool (*holds)(const struct node *))
{
    gint64 start = g_get_monotonic_time();

    CU_ASSERT_TRUE(run_until(n, holds));
    return (double)(g_get_monotonic_time() - start) / 1000;
}

/* Runs the node for some time. */
static void
run_for(struct node *n, ggw_ms time)
{
    gint64 end = g_get_monotonic_time() + (gint64)(1000 * time);

    while (g_get_monotonic_time() < end) {
        uv_run(ggw_kernel_loop(n->kernel), UV_RUN_NOWAIT);
        g_usleep(1000);
    }
}

/*
 * Guards against a change that reaches nobody in time because the store went
 * silent for just those gateways that read it for the others.
 */
static void
test_silent_for_readers(void)
{
    struct node *n;
    ggw_ms until_told;
    ggw_ms until_read;

    write_row("op/config", CONFIG);
    n = node_start(store.port);
    CU_ASSERT_TRUE(run_until(n, has_config));
    run_for(n, 500);
    kill(store.pid, SIGSTOP);
    g_ptr_array_set_size(n->sent, 0);
    until_told = ms_until(n, tells_lost);
    kill(store.pid, SIGCONT);
    node_stop(n);

    n = node_start(store.port);
    publish_members(n);
    CU_ASSERT_TRUE(run_until(n, has_config));
    for (int i = 0; i < 5; i++) {
        deliver_state(n, "n2", false);
        deliver_state(n, "n3", false);
        run_for(n, 300);
    }
    deliver_state(n, "n2", true);
    deliver_state(n, "n3", true);
    g_ptr_array_set_size(n->sent, 0);
    until_read = ms_until(n, tells_state);
    node_stop(n);
    CU_ASSERT_TRUE(until_told + until_read < CHANGE_LIMIT_MS);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"follows", test_follows},
        {"history lost", test_history_lost},
        {"store away", test_store_away},
        {"outage", test_outage},
        {"frames", test_frames},
        {"large rows", test_large_rows},
        {"wish", test_wish},
        {"readers", test_readers},
        {"takes over", test_takes_over},
        {"silent for readers", test_silent_for_readers},
        CU_TEST_INFO_NULL,
    };
    int status;

    platform_process_start(&store, NULL);
    status = suite_run("table", tests);
    return platform_process_stop(&store) != 0 ? 1 : status;
}
