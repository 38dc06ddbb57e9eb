#include <CUnit/Basic.h>
#include <string.h>

#include "common/metrics.h"
#include "config/config.h"
#include "config/exchange.h"
#include "config/row.h"
#include "decide/revision.h"
#include "peers/frame.h"
#include "peers/peers.h"
#include "platform/platform.h"

#define TREE "{\"failure_domains\":{}}"
#define INVALID_TREE "{\"failure_domain\":{}}"
#define MAX_RECORDED 16

/**
 * struct response - response of the fake table service to one read
 * @status: status of the read
 * @silent: never send the response
 * @revision: revision in the row; 0 for a response without a row
 * @tree: JSON text of the settings in the row
 */
struct response {
    enum ggw_platform_status status;
    bool silent;
    uint64_t revision;
    const char *tree;
};

/* Frame that the fake service "peers" delivers after the first query. */
struct frame {
    enum ggw_peer_frame_type type;
    GBytes *payload;
};

/**
 * struct fixture - input of a service "config" and record of its actions
 * @responses: responses to its reads, in order
 * @responses_len: number of elements in @responses
 * @mod_revisions: mod_revisions of the rows in @responses; NULL: all differ
 * @frames: frames that it receives from a peer
 * @frames_len: number of elements in @frames
 * @reads: number of reads so far
 * @frames_delivered: whether @frames have been delivered
 * @min_mod_revisions: lowest modification revision requested by each read
 * @in_force: revisions in the order in which they were published
 * @in_force_len: number of elements in @in_force
 * @sent: payloads of CONFIG_PUT frames in the order in which they were sent
 * @sent_to: receivers of @sent; NULL for all peers
 * @sent_len: number of elements in @sent
 */
struct fixture {
    const struct response *responses;
    size_t responses_len;
    const int64_t *mod_revisions;
    struct frame frames[MAX_RECORDED];
    size_t frames_len;
    size_t reads;
    bool frames_delivered;
    int64_t min_mod_revisions[MAX_RECORDED];
    uint64_t in_force[MAX_RECORDED];
    size_t in_force_len;
    GBytes *sent[MAX_RECORDED];
    char *sent_to[MAX_RECORDED];
    size_t sent_len;
};

struct fake {
    struct ggw_service base;
    struct fixture *fx;
};

static void
respond_to_read(struct fake *f, const struct ggw_txn *txn)
{
    struct fixture *fx = f->fx;
    struct ggw_txn_result *result;
    const struct response *a;
    struct ggw_row row = {0};

    if (fx->reads == fx->responses_len) {
        ggw_kernel_stop(f->base.kernel);
        return;
    }
    fx->min_mod_revisions[fx->reads] = txn->min_mod_revision;
    a = &fx->responses[fx->reads++];
    if (a->silent) {
        return;
    }
    result = ggw_txn_result_new(a->status);
    if (a->revision > 0) {
        row.key = g_strdup("config/team");
        row.value = g_strdup_printf(
            "{\"revision\":%d,\"change\":\"c\",\"who\":\"w\",\"when\":\"t\","
            "\"tree\":%s}",
            (int)a->revision, a->tree);
        row.mod_revision = fx->mod_revisions != NULL
                               ? fx->mod_revisions[fx->reads - 1]
                               : (int64_t)(100 + fx->reads);
        g_array_append_val(result->rows, row);
    }
    ggw_kernel_reply(&f->base, &txn->base, &result->base);
}

static void
platform_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct fake *f = (struct fake *)service;

    if (message->ops == &ggw_txn_ops) {
        respond_to_read(f, (struct ggw_txn *)message);
    }
    else if (message->ops == &ggw_config_in_force_ops) {
        struct ggw_config_in_force *m = (struct ggw_config_in_force *)message;

        f->fx->in_force[f->fx->in_force_len++] = m->tree->revision;
    }
}

static void
deliver_frames(struct fake *f)
{
    struct fixture *fx = f->fx;

    for (size_t i = 0; i < fx->frames_len && !fx->frames_delivered; i++) {
        struct ggw_peer_received *m = g_new0(struct ggw_peer_received, 1);

        m->base.ops = &ggw_peer_received_ops;
        m->peer = g_strdup("gateway-2");
        m->type = fx->frames[i].type;
        m->request_id = i;
        m->payload = g_bytes_ref(fx->frames[i].payload);
        ggw_kernel_send(f->base.kernel, "config", &f->base, &m->base);
    }
    fx->frames_delivered = true;
}

static void
peers_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct fake *f = (struct fake *)service;
    struct ggw_peer_send *send = (struct ggw_peer_send *)message;
    struct fixture *fx = f->fx;

    if (message->ops != &ggw_peer_send_ops) {
        return;
    }
    if (send->type == GGW_PEER_CONFIG_PUT) {
        fx->sent[fx->sent_len] = g_bytes_ref(send->payload);
        fx->sent_to[fx->sent_len++] = g_strdup(send->peer);
    }
    else if (send->type == GGW_PEER_CONFIG_GET) {
        deliver_frames(f);
    }
}

static const struct ggw_service_ops platform_ops = {
    .name = "platform",
    .receive = platform_receive,
};

static const struct ggw_service_ops peers_ops = {
    .name = "peers",
    .receive = peers_receive,
};

/* Runs the service until the fake platform has no response left. */
static void
run_service(struct fixture *fx)
{
    struct ggw_kernel *k = ggw_kernel_new(ggw_clock_system());
    struct fake platform = {.base.ops = &platform_ops, .fx = fx};
    struct fake peers = {.base.ops = &peers_ops, .fx = fx};

    ggw_kernel_add(k, &platform.base);
    ggw_kernel_add(k, &peers.base);
    ggw_kernel_add(k, ggw_config_service_new(5));
    CU_ASSERT_TRUE(ggw_kernel_run(k, NULL));
    ggw_kernel_destroy(k);
}

static void
fixture_clear(struct fixture *fx)
{
    for (size_t i = 0; i < fx->frames_len; i++) {
        g_bytes_unref(fx->frames[i].payload);
    }
    for (size_t i = 0; i < fx->sent_len; i++) {
        g_bytes_unref(fx->sent[i]);
        g_free(fx->sent_to[i]);
    }
}

static void
add_frame(struct fixture *fx, enum ggw_peer_frame_type type, GBytes *payload)
{
    fx->frames[fx->frames_len].type = type;
    fx->frames[fx->frames_len++].payload = payload;
}

static void
add_put(struct fixture *fx, uint64_t revision, const char *json)
{
    struct ggw_config_update update = {(char *)"team", revision, (char *)json,
                                       0};

    add_frame(fx, GGW_PEER_CONFIG_PUT, ggw_config_update_pack(&update));
}

static void
add_get(struct fixture *fx, const char *team, uint64_t known_revision)
{
    struct ggw_config_query query;

    ggw_config_query_init(&query);
    if (known_revision > 0) {
        ggw_config_query_add(&query, team, known_revision);
    }
    else {
        query.team = g_strdup(team);
    }
    add_frame(fx, GGW_PEER_CONFIG_GET, ggw_config_query_pack(&query));
    ggw_config_query_clear(&query);
}

static uint64_t
sent_revision(const struct fixture *fx, size_t i)
{
    struct ggw_config_update update;
    uint64_t revision = 0;

    if (ggw_config_update_unpack(fx->sent[i], &update)) {
        revision = update.revision;
    }
    ggw_config_update_clear(&update);
    return revision;
}

/*
 * Guards against applying a revision that is lower than the one in force, or
 * the same revision twice.
 */
static void
test_revision_order(void)
{
    CU_ASSERT_EQUAL(ggw_revision_decide(0, 1), GGW_REVISION_APPLY);
    CU_ASSERT_EQUAL(ggw_revision_decide(1, 2), GGW_REVISION_APPLY);
    CU_ASSERT_EQUAL(ggw_revision_decide(2, 2), GGW_REVISION_SAME);
    CU_ASSERT_EQUAL(ggw_revision_decide(2, 1), GGW_REVISION_OLDER);
    CU_ASSERT_EQUAL(ggw_revision_decide(2, 0), GGW_REVISION_OLDER);
    CU_ASSERT_EQUAL(ggw_revision_decide(0, 0), GGW_REVISION_OLDER);
}

/* Guards against a revision that counts more than what the writer says. */
static void
test_written_order(void)
{
    static const struct ggw_settings_position in_force = {10, 5};
    static const struct {
        struct ggw_settings_position offered;
        enum ggw_revision_verdict verdict;
    } cases[] = {
        {{10, 6}, GGW_REVISION_APPLY},   {{10, 5}, GGW_REVISION_SAME},
        {{10, 4}, GGW_REVISION_OLDER},   {{11, 6}, GGW_REVISION_APPLY},
        {{11, 4}, GGW_REVISION_APPLY},   {{11, 0}, GGW_REVISION_OLDER},
        {{9, 6}, GGW_REVISION_OUTDATED}, {{9, 5}, GGW_REVISION_OUTDATED},
        {{9, 4}, GGW_REVISION_OLDER},    {{0, 6}, GGW_REVISION_APPLY},
        {{0, 5}, GGW_REVISION_SAME},     {{0, 4}, GGW_REVISION_OLDER},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(ggw_settings_decide(&in_force, &cases[i].offered),
                        cases[i].verdict);
    }
}

/*
 * Guards against reverting to older settings when the store returns rows of an
 * outdated copy of the table.
 */
static void
test_platform_never_reverts(void)
{
    static const struct response responses[] = {
        {GGW_PLATFORM_OK, false, 0, NULL},
        {GGW_PLATFORM_OK, false, 5, TREE},
        {GGW_PLATFORM_UNKNOWN, false, 9, TREE},
        {GGW_PLATFORM_OK, false, 4, TREE},
        {GGW_PLATFORM_OK, false, 6, INVALID_TREE},
        {GGW_PLATFORM_OK, false, 5, TREE},
        {GGW_PLATFORM_OK, false, 7, TREE},
    };
    struct fixture fx = {
        .responses = responses,
        .responses_len = G_N_ELEMENTS(responses),
    };

    run_service(&fx);
    CU_ASSERT_EQUAL_FATAL(fx.in_force_len, 2);
    CU_ASSERT_EQUAL(fx.in_force[0], 5);
    CU_ASSERT_EQUAL(fx.in_force[1], 7);
    CU_ASSERT_EQUAL_FATAL(fx.sent_len, 2);
    CU_ASSERT_PTR_NULL(fx.sent_to[0]);
    CU_ASSERT_EQUAL(sent_revision(&fx, 0), 5);
    CU_ASSERT_EQUAL(sent_revision(&fx, 1), 7);
    /* Later reads request only rows that changed after the newest row read. */
    CU_ASSERT_EQUAL(fx.min_mod_revisions[0], 0);
    CU_ASSERT_EQUAL(fx.min_mod_revisions[2], 103);
    fixture_clear(&fx);
}

/*
 * Guards against a gateway that starts during an outage of the platform and
 * stays without settings although a peer has sent them, and against a peer's
 * older, invalid or malformed settings replacing those in force.
 */
static void
test_outage_at_start(void)
{
    static const struct response responses[] = {
        {GGW_PLATFORM_NOT_SENT, false, 0, NULL},
        {GGW_PLATFORM_UNKNOWN, false, 0, NULL},
        {GGW_PLATFORM_NOT_SENT, false, 0, NULL},
    };
    struct fixture fx = {
        .responses = responses,
        .responses_len = G_N_ELEMENTS(responses),
    };

    add_put(&fx, 5, TREE);
    add_put(&fx, 4, TREE);
    add_put(&fx, 6, INVALID_TREE);
    add_put(&fx, 5, TREE);
    add_put(&fx, 0, TREE);
    add_frame(&fx, GGW_PEER_CONFIG_PUT, g_bytes_new("\xc1", 1));
    add_frame(&fx, GGW_PEER_CONFIG_GET, g_bytes_new("\x81\xa1", 2));
    add_put(&fx, 7, TREE);
    run_service(&fx);
    CU_ASSERT_EQUAL_FATAL(fx.in_force_len, 2);
    CU_ASSERT_EQUAL(fx.in_force[0], 5);
    CU_ASSERT_EQUAL(fx.in_force[1], 7);
    CU_ASSERT_EQUAL(fx.sent_len, 2);
    fixture_clear(&fx);
}

/*
 * Guards against a change that does not reach other gateways, neither by
 * CONFIG_PUT nor in response to CONFIG_GET, when one gateway read it just
 * before an outage of the platform.
 */
static void
test_spreads_during_outage(void)
{
    static const struct response first_responses[] = {
        {GGW_PLATFORM_OK, false, 1, TREE},
        {GGW_PLATFORM_OK, false, 2, TREE},
        {GGW_PLATFORM_NOT_SENT, false, 0, NULL},
    };
    static const struct response second_responses[] = {
        {GGW_PLATFORM_NOT_SENT, false, 0, NULL},
        {GGW_PLATFORM_NOT_SENT, false, 0, NULL},
    };
    struct fixture first = {
        .responses = first_responses,
        .responses_len = G_N_ELEMENTS(first_responses),
    };
    struct fixture second = {
        .responses = second_responses,
        .responses_len = G_N_ELEMENTS(second_responses),
    };

    run_service(&first);
    CU_ASSERT_EQUAL_FATAL(first.sent_len, 2);
    for (size_t i = 0; i < first.sent_len; i++) {
        add_frame(&second, GGW_PEER_CONFIG_PUT, g_bytes_ref(first.sent[i]));
    }
    add_get(&second, "team", 1);
    add_get(&second, "team", 2);
    add_get(&second, "team", 0);
    add_get(&second, "other", 0);
    run_service(&second);
    CU_ASSERT_EQUAL_FATAL(second.in_force_len, 2);
    CU_ASSERT_EQUAL(second.in_force[1], 2);
    /* Both revisions are forwarded, then two of the four queries match. */
    CU_ASSERT_EQUAL_FATAL(second.sent_len, 4);
    CU_ASSERT_PTR_NULL(second.sent_to[1]);
    for (size_t i = 2; i < second.sent_len; i++) {
        CU_ASSERT_STRING_EQUAL(second.sent_to[i], "gateway-2");
        CU_ASSERT_EQUAL(sent_revision(&second, i), 2);
    }
    fixture_clear(&first);
    fixture_clear(&second);
}

static void
add_written(struct fixture *fx, uint64_t revision, uint64_t written_version)
{
    struct ggw_config_update update = {(char *)"team", revision, (char *)TREE,
                                       written_version};

    add_frame(fx, GGW_PEER_CONFIG_PUT, ggw_config_update_pack(&update));
}

static uint64_t
sent_written_version(const struct fixture *fx, size_t i)
{
    struct ggw_config_update update;
    uint64_t version = 0;

    if (ggw_config_update_unpack(fx->sent[i], &update)) {
        version = update.written_version;
    }
    ggw_config_update_clear(&update);
    return version;
}

/*
 * Guards against settings of a peer that were written before those in force
 * and go back to them by a higher revision, and against refusing those of a
 * gateway that does not tell when they were written.
 */
static void
test_older_version_of_a_peer(void)
{
    static const struct response responses[] = {
        {GGW_PLATFORM_NOT_SENT, false, 0, NULL},
        {GGW_PLATFORM_NOT_SENT, false, 0, NULL},
    };
    static const struct ggw_settings_position expected[] = {
        {10, 3}, {10, 5}, {10, 6}, {0, 7}, {2, 8}, {3, 9},
    };
    struct fixture fx = {
        .responses = responses,
        .responses_len = G_N_ELEMENTS(responses),
    };

    add_written(&fx, 3, 10);
    add_written(&fx, 2, 9);
    add_written(&fx, 4, 9);
    add_written(&fx, 6, 10);
    add_written(&fx, 7, 0);
    add_written(&fx, 8, 2);
    add_written(&fx, 8, 3);
    run_service(&fx);
    CU_ASSERT_EQUAL_FATAL(fx.in_force_len, G_N_ELEMENTS(expected));
    for (size_t i = 0; i < fx.in_force_len; i++) {
        CU_ASSERT_EQUAL(fx.in_force[i], expected[i].revision);
        CU_ASSERT_EQUAL(sent_written_version(&fx, i),
                        expected[i].written_version);
    }
    fixture_clear(&fx);
}

/*
 * Guards against newer settings that get the revision of those in force: the
 * proxy and the other gateways then do not take them.
 */
static void
test_newer_version_raises_revision(void)
{
    static const struct response responses[] = {
        {GGW_PLATFORM_NOT_SENT, false, 0, NULL},
        {GGW_PLATFORM_NOT_SENT, false, 0, NULL},
    };
    struct fixture fx = {
        .responses = responses,
        .responses_len = G_N_ELEMENTS(responses),
    };

    add_written(&fx, 3, 10);
    add_written(&fx, 3, 9);
    add_written(&fx, 4, 11);
    add_written(&fx, 8, 12);
    run_service(&fx);
    CU_ASSERT_EQUAL_FATAL(fx.in_force_len, 4);
    for (size_t i = 1; i < fx.in_force_len; i++) {
        CU_ASSERT_TRUE(fx.in_force[i] > fx.in_force[i - 1]);
    }
    fixture_clear(&fx);
}

/**
 * struct reader - fake service that reads settings and records those in force
 * @domain_out: whether the last settings in force take domain "a" out
 * @written_version: of the last settings in force
 */
struct reader {
    struct ggw_service base;
    bool domain_out;
    uint64_t written_version;
};

/* Gives settings that another service would have read from the platform. */
static void
give(struct reader *r, uint64_t revision, uint64_t written_version,
     const char *json)
{
    json_t *root = json_loads(json, 0, NULL);
    struct ggw_tree *tree = ggw_tree_build("team", revision, root, NULL);

    tree->written_version = written_version;
    ggw_kernel_send(r->base.kernel, "config", &r->base,
                    ggw_config_given_new(tree, root));
    ggw_tree_unref(tree);
    json_decref(root);
}

static bool
reader_start(struct ggw_service *service, GError **error)
{
    struct reader *r = (struct reader *)service;

    give(r, 3, 10, TREE);
    give(r, 4, 9, "{\"failure_domains\":{\"a\":{\"state\":\"out\"}}}");
    return true;
}

static void
reader_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct reader *r = (struct reader *)service;

    if (message->ops == &ggw_config_in_force_ops) {
        const struct ggw_tree *tree =
            ((struct ggw_config_in_force *)message)->tree;

        r->domain_out = ggw_tree_domain_out(tree, "a");
        r->written_version = tree->written_version;
        if (tree->revision == 5) {
            ggw_kernel_stop(service->kernel);
        }
    }
}

/*
 * Guards against rows that go back to an older configuration which a gateway
 * never had itself, and against a failure domain that then stays in service.
 */
static void
test_older_version_of_the_platform(void)
{
    static const struct ggw_service_ops reader_ops = {
        .name = "platform",
        .start = reader_start,
        .receive = reader_receive,
    };
    struct ggw_kernel *k = ggw_kernel_new(ggw_clock_system());
    struct reader reader = {.base.ops = &reader_ops};
    struct fixture fx = {0};
    struct fake peers = {.base.ops = &peers_ops, .fx = &fx};

    ggw_kernel_add(k, &peers.base);
    ggw_kernel_add(k, ggw_config_service_new(0));
    ggw_kernel_add(k, &reader.base);
    CU_ASSERT_TRUE(ggw_kernel_run(k, NULL));
    ggw_kernel_destroy(k);
    CU_ASSERT_TRUE(reader.domain_out);
    CU_ASSERT_EQUAL(reader.written_version, 10);
}

/* Returns the JSON text of settings with @len routes. */
static char *
settings_with_routes(int len)
{
    GString *s = g_string_new("{\"services\":{\"a\":{}},\"routes\":{");

    for (int i = 0; i < len; i++) {
        g_string_append_printf(
            s,
            "%s\"r-%08x\":{\"host\":\"h%d.example\",\"path_prefix\":"
            "\"/%x/\",\"services\":{\"a\":1},\"idempotency\":\"once\","
            "\"timeout_ms\":5000,\"target_ms\":400}",
            i > 0 ? "," : "", (unsigned)i * 2654435761u, i % 7, i);
    }
    g_string_append(s, "}}");
    return g_string_free(s, FALSE);
}

/*
 * Guards against settings with 10,000 routes that are refused, or that do not
 * fit into a frame even when compressed.
 */
static void
test_many_routes(void)
{
    g_autofree char *json = settings_with_routes(10000);
    struct ggw_config_update update = {(char *)"team", 3, json, 0};
    struct ggw_config_update unpacked;
    g_autoptr(GBytes) payload = ggw_config_update_pack(&update);
    g_autoptr(GByteArray) frame = g_byte_array_new();
    g_autoptr(GError) error = NULL;
    struct ggw_tree *tree = ggw_tree_parse("team", 3, json, &error);

    CU_ASSERT_PTR_NOT_NULL(tree);
    CU_ASSERT_TRUE(ggw_frame_encode(frame, GGW_PEER_CONFIG_PUT, 1,
                                    g_bytes_get_data(payload, NULL),
                                    g_bytes_get_size(payload)));
    CU_ASSERT_TRUE(ggw_config_update_unpack(payload, &unpacked));
    CU_ASSERT_STRING_EQUAL(unpacked.json, json);
    ggw_config_update_clear(&unpacked);
    ggw_tree_unref(tree);
}

/*
 * Guards against accepting a corrupted CONFIG_PUT with altered settings, for
 * example one whose "size" differs from the length of its settings. The lowest
 * bit of each byte is flipped in turn.
 */
static void
test_corrupted_update(void)
{
    struct ggw_config_update update = {(char *)"team", 3, (char *)TREE, 7};
    g_autoptr(GBytes) payload = ggw_config_update_pack(&update);
    gsize len;
    const char *data = g_bytes_get_data(payload, &len);

    for (gsize i = 0; i < len; i++) {
        g_autofree char *changed = g_memdup2(data, len);
        g_autoptr(GBytes) bytes = NULL;
        struct ggw_config_update unpacked;

        changed[i] ^= 1;
        bytes = g_bytes_new(changed, len);
        if (ggw_config_update_unpack(bytes, &unpacked)) {
            CU_ASSERT_STRING_EQUAL(unpacked.json, TREE);
        }
        ggw_config_update_clear(&unpacked);
    }
}

/* Guards against an unanswered read that holds back the next ones. */
static void
test_unanswered_reads(void)
{
    static const struct response responses[] = {
        {.silent = true},
        {.silent = true},
        {GGW_PLATFORM_OK, false, 1, TREE},
        {GGW_PLATFORM_OK, false, 2, TREE},
    };
    struct fixture fx = {
        .responses = responses,
        .responses_len = G_N_ELEMENTS(responses),
    };

    run_service(&fx);
    CU_ASSERT_EQUAL_FATAL(fx.in_force_len, 2);
    CU_ASSERT_EQUAL(fx.in_force[1], 2);
    fixture_clear(&fx);
}

/*
 * Guards against accepting a row that is truncated, or that another program
 * wrote in a different format.
 */
static void
test_malformed_rows(void)
{
    static const char *const texts[] = {
        "",
        "{\"revision\":1,\"change\":\"c\",\"who\":\"w\",\"when\":\"t\"}",
        "{\"revision\":0,\"change\":\"c\",\"who\":\"w\",\"when\":\"t\","
        "\"tree\":{}}",
        "{\"revision\":1,\"change\":\"c\",\"who\":\"w\",\"when\":\"t\","
        "\"tree\":[]}",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        struct ggw_config_row row;

        CU_ASSERT_FALSE(ggw_config_row_parse(texts[i], &row, NULL));
        ggw_config_row_clear(&row);
    }
}

/* Guards against a malformed row that is reported at each read. */
static void
test_malformed_row_reported_once(void)
{
    static const struct response responses[] = {
        {GGW_PLATFORM_OK, false, 1, TREE}, {GGW_PLATFORM_OK, false, 2, "{"},
        {GGW_PLATFORM_OK, false, 2, "{"},  {GGW_PLATFORM_OK, false, 2, "{"},
        {GGW_PLATFORM_OK, false, 2, "{"},  {GGW_PLATFORM_OK, false, 3, TREE},
    };
    static const int64_t mod_revisions[] = {7, 8, 8, 8, 9, 10};
    struct fixture fx = {
        .responses = responses,
        .responses_len = G_N_ELEMENTS(responses),
        .mod_revisions = mod_revisions,
    };
    uint64_t before = *ggw_counter("ggw_config_refused_total");

    run_service(&fx);
    CU_ASSERT_EQUAL(*ggw_counter("ggw_config_refused_total") - before, 2);
    CU_ASSERT_EQUAL_FATAL(fx.in_force_len, 2);
    CU_ASSERT_EQUAL(fx.in_force[1], 3);
    fixture_clear(&fx);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("config", NULL, NULL);
    CU_add_test(suite, "revision order", test_revision_order);
    CU_add_test(suite, "platform never reverts settings",
                test_platform_never_reverts);
    CU_add_test(suite, "platform outage at start", test_outage_at_start);
    CU_add_test(suite, "change spreads during platform outage",
                test_spreads_during_outage);
    CU_add_test(suite, "many routes", test_many_routes);
    CU_add_test(suite, "order of writing", test_written_order);
    CU_add_test(suite, "older version of a peer",
                test_older_version_of_a_peer);
    CU_add_test(suite, "newer version raises revision",
                test_newer_version_raises_revision);
    CU_add_test(suite, "older version of the platform",
                test_older_version_of_the_platform);
    CU_add_test(suite, "corrupted update", test_corrupted_update);
    CU_add_test(suite, "unanswered reads", test_unanswered_reads);
    CU_add_test(suite, "malformed rows", test_malformed_rows);
    CU_add_test(suite, "malformed row reported once",
                test_malformed_row_reported_once);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
