#include <CUnit/Basic.h>
#include <string.h>

#include "config/config.h"
#include "config/exchange.h"
#include "config/row.h"
#include "decide/revision.h"
#include "peers/frame.h"
#include "peers/peers.h"
#include "platform/platform.h"

#define TREE "{\"failure_domains\":{}}"
#define BAD_TREE "{\"failure_domain\":{}}"
#define MAX_SEEN 16

/*
 * One answer of the fake table service; revision 0 has no row. A silent one
 * never comes.
 */
struct answer {
    enum ggw_platform_status status;
    bool silent;
    uint64_t revision;
    const char *tree;
};

/* A frame that the fake service "peers" delivers at the start. */
struct frame {
    enum ggw_peer_frame_type type;
    GBytes *payload;
};

/* What surrounds a service "config", and what it did. */
struct world {
    const struct answer *answers;
    size_t answers_len;
    struct frame frames[MAX_SEEN];
    size_t frames_len;
    size_t reads;
    bool frames_sent;
    int64_t min_mod[MAX_SEEN];
    uint64_t in_force[MAX_SEEN]; /* revisions, in the order published */
    size_t in_force_len;
    GBytes *sent[MAX_SEEN]; /* CONFIG_PUT, in the order sent */
    char *sent_to[MAX_SEEN];
    size_t sent_len;
};

struct fake {
    struct ggw_service base;
    struct world *w;
};

static void
answer_read(struct fake *f, const struct ggw_txn *txn)
{
    struct world *w = f->w;
    struct ggw_txn_result *result;
    const struct answer *a;
    struct ggw_row row = {0};

    if (w->reads == w->answers_len) {
        ggw_kernel_stop(f->base.kernel);
        return;
    }
    w->min_mod[w->reads] = txn->min_mod_revision;
    a = &w->answers[w->reads++];
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
        row.mod_revision = (int64_t)(100 + w->reads);
        g_array_append_val(result->rows, row);
    }
    ggw_kernel_reply(&f->base, &txn->base, &result->base);
}

static void
platform_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct fake *f = (struct fake *)service;

    if (message->ops == &ggw_txn_ops) {
        answer_read(f, (struct ggw_txn *)message);
    }
    else if (message->ops == &ggw_config_in_force_ops) {
        struct ggw_config_in_force *m = (struct ggw_config_in_force *)message;

        f->w->in_force[f->w->in_force_len++] = m->tree->revision;
    }
}

static void
deliver_frames(struct fake *f)
{
    struct world *w = f->w;

    for (size_t i = 0; i < w->frames_len && !w->frames_sent; i++) {
        struct ggw_peer_received *m = g_new0(struct ggw_peer_received, 1);

        m->base.ops = &ggw_peer_received_ops;
        m->peer = g_strdup("gateway-2");
        m->type = w->frames[i].type;
        m->request_id = i;
        m->payload = g_bytes_ref(w->frames[i].payload);
        ggw_kernel_send(f->base.kernel, "config", &f->base, &m->base);
    }
    w->frames_sent = true;
}

static void
peers_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct fake *f = (struct fake *)service;
    struct ggw_peer_send *send = (struct ggw_peer_send *)message;
    struct world *w = f->w;

    if (message->ops != &ggw_peer_send_ops) {
        return;
    }
    if (send->type == GGW_PEER_CONFIG_PUT) {
        w->sent[w->sent_len] = g_bytes_ref(send->payload);
        w->sent_to[w->sent_len++] = g_strdup(send->peer);
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

/* Runs a gateway's service until the fake platform has no answer left. */
static void
run(struct world *w)
{
    struct ggw_kernel *k = ggw_kernel_new(ggw_clock_system());
    struct fake platform = {.base.ops = &platform_ops, .w = w};
    struct fake peers = {.base.ops = &peers_ops, .w = w};

    ggw_kernel_add(k, &platform.base);
    ggw_kernel_add(k, &peers.base);
    ggw_kernel_add(k, ggw_config_service_new(5));
    CU_ASSERT_TRUE(ggw_kernel_run(k, NULL));
    ggw_kernel_destroy(k);
}

static void
world_clear(struct world *w)
{
    for (size_t i = 0; i < w->frames_len; i++) {
        g_bytes_unref(w->frames[i].payload);
    }
    for (size_t i = 0; i < w->sent_len; i++) {
        g_bytes_unref(w->sent[i]);
        g_free(w->sent_to[i]);
    }
}

static void
add_frame(struct world *w, enum ggw_peer_frame_type type, GBytes *payload)
{
    w->frames[w->frames_len].type = type;
    w->frames[w->frames_len++].payload = payload;
}

static void
add_put(struct world *w, uint64_t revision, const char *json)
{
    struct ggw_config_offer offer = {(char *)"team", revision, (char *)json};

    add_frame(w, GGW_PEER_CONFIG_PUT, ggw_config_offer_pack(&offer));
}

static void
add_get(struct world *w, const char *team, uint64_t known)
{
    struct ggw_config_query query;

    ggw_config_query_init(&query);
    if (known > 0) {
        ggw_config_query_add(&query, team, known);
    }
    else {
        query.team = g_strdup(team);
    }
    add_frame(w, GGW_PEER_CONFIG_GET, ggw_config_query_pack(&query));
    ggw_config_query_clear(&query);
}

static uint64_t
sent_revision(const struct world *w, size_t i)
{
    struct ggw_config_offer offer;
    uint64_t revision = 0;

    if (ggw_config_offer_unpack(w->sent[i], &offer)) {
        revision = offer.revision;
    }
    ggw_config_offer_clear(&offer);
    return revision;
}

/* Guards against a revision that reverts or is applied twice. */
static void
test_decide(void)
{
    CU_ASSERT_EQUAL(ggw_revision_decide(0, 1), GGW_REVISION_APPLY);
    CU_ASSERT_EQUAL(ggw_revision_decide(1, 2), GGW_REVISION_APPLY);
    CU_ASSERT_EQUAL(ggw_revision_decide(2, 2), GGW_REVISION_SAME);
    CU_ASSERT_EQUAL(ggw_revision_decide(2, 1), GGW_REVISION_OLDER);
    CU_ASSERT_EQUAL(ggw_revision_decide(2, 0), GGW_REVISION_OLDER);
    CU_ASSERT_EQUAL(ggw_revision_decide(0, 0), GGW_REVISION_OLDER);
}

/* Guards against an old copy of the table that brings old settings back. */
static void
test_platform_never_reverts(void)
{
    static const struct answer answers[] = {
        {GGW_PLATFORM_OK, false, 0, NULL},
        {GGW_PLATFORM_OK, false, 5, TREE},
        {GGW_PLATFORM_UNKNOWN, false, 9, TREE},
        {GGW_PLATFORM_OK, false, 4, TREE},
        {GGW_PLATFORM_OK, false, 6, BAD_TREE},
        {GGW_PLATFORM_OK, false, 5, TREE},
        {GGW_PLATFORM_OK, false, 7, TREE},
    };
    struct world w = {
        .answers = answers,
        .answers_len = G_N_ELEMENTS(answers),
    };

    run(&w);
    CU_ASSERT_EQUAL_FATAL(w.in_force_len, 2);
    CU_ASSERT_EQUAL(w.in_force[0], 5);
    CU_ASSERT_EQUAL(w.in_force[1], 7);
    CU_ASSERT_EQUAL_FATAL(w.sent_len, 2);
    CU_ASSERT_PTR_NULL(w.sent_to[0]);
    CU_ASSERT_EQUAL(sent_revision(&w, 0), 5);
    CU_ASSERT_EQUAL(sent_revision(&w, 1), 7);
    /* Only what changed since the highest row is read again. */
    CU_ASSERT_EQUAL(w.min_mod[0], 0);
    CU_ASSERT_EQUAL(w.min_mod[2], 103);
    world_clear(&w);
}

/*
 * Guards against a gateway that starts during an outage and stays without
 * settings although a peer has them, and against a peer that reverts them.
 */
static void
test_outage_at_start(void)
{
    static const struct answer answers[] = {
        {GGW_PLATFORM_NOT_SENT, false, 0, NULL},
        {GGW_PLATFORM_UNKNOWN, false, 0, NULL},
        {GGW_PLATFORM_NOT_SENT, false, 0, NULL},
    };
    struct world w = {
        .answers = answers,
        .answers_len = G_N_ELEMENTS(answers),
    };

    add_put(&w, 5, TREE);
    add_put(&w, 4, TREE);
    add_put(&w, 6, BAD_TREE);
    add_put(&w, 5, TREE);
    add_put(&w, 0, TREE);
    add_frame(&w, GGW_PEER_CONFIG_PUT, g_bytes_new("\xc1", 1));
    add_frame(&w, GGW_PEER_CONFIG_GET, g_bytes_new("\x81\xa1", 2));
    add_put(&w, 7, TREE);
    run(&w);
    CU_ASSERT_EQUAL_FATAL(w.in_force_len, 2);
    CU_ASSERT_EQUAL(w.in_force[0], 5);
    CU_ASSERT_EQUAL(w.in_force[1], 7);
    CU_ASSERT_EQUAL(w.sent_len, 2);
    world_clear(&w);
}

/*
 * Guards against a change that one gateway read just before an outage and
 * that does not reach the others, by message or when they ask for it.
 */
static void
test_spreads_during_outage(void)
{
    static const struct answer first_answers[] = {
        {GGW_PLATFORM_OK, false, 1, TREE},
        {GGW_PLATFORM_OK, false, 2, TREE},
        {GGW_PLATFORM_NOT_SENT, false, 0, NULL},
    };
    static const struct answer second_answers[] = {
        {GGW_PLATFORM_NOT_SENT, false, 0, NULL},
        {GGW_PLATFORM_NOT_SENT, false, 0, NULL},
    };
    struct world first = {
        .answers = first_answers,
        .answers_len = G_N_ELEMENTS(first_answers),
    };
    struct world second = {
        .answers = second_answers,
        .answers_len = G_N_ELEMENTS(second_answers),
    };

    run(&first);
    CU_ASSERT_EQUAL_FATAL(first.sent_len, 2);
    for (size_t i = 0; i < first.sent_len; i++) {
        add_frame(&second, GGW_PEER_CONFIG_PUT, g_bytes_ref(first.sent[i]));
    }
    add_get(&second, "team", 1);
    add_get(&second, "team", 2);
    add_get(&second, "team", 0);
    add_get(&second, "other", 0);
    run(&second);
    CU_ASSERT_EQUAL_FATAL(second.in_force_len, 2);
    CU_ASSERT_EQUAL(second.in_force[1], 2);
    /* Both revisions passed on, then two of the four queries answered. */
    CU_ASSERT_EQUAL_FATAL(second.sent_len, 4);
    CU_ASSERT_PTR_NULL(second.sent_to[1]);
    for (size_t i = 2; i < second.sent_len; i++) {
        CU_ASSERT_STRING_EQUAL(second.sent_to[i], "gateway-2");
        CU_ASSERT_EQUAL(sent_revision(&second, i), 2);
    }
    world_clear(&first);
    world_clear(&second);
}

/* Settings of a team with @len routes. */
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
 * Guards against settings with many routes that are refused, or that cannot
 * be passed on in a frame.
 */
static void
test_many_routes(void)
{
    g_autofree char *json = settings_with_routes(10000);
    struct ggw_config_offer offer = {(char *)"team", 3, json};
    struct ggw_config_offer got;
    g_autoptr(GBytes) payload = ggw_config_offer_pack(&offer);
    g_autoptr(GByteArray) frame = g_byte_array_new();
    g_autoptr(GError) error = NULL;
    struct ggw_tree *tree = ggw_tree_parse("team", 3, json, &error);

    CU_ASSERT_PTR_NOT_NULL(tree);
    CU_ASSERT_TRUE(ggw_frame_encode(frame, GGW_PEER_CONFIG_PUT, 1,
                                    g_bytes_get_data(payload, NULL),
                                    g_bytes_get_size(payload)));
    CU_ASSERT_TRUE(ggw_config_offer_unpack(payload, &got));
    CU_ASSERT_STRING_EQUAL(got.json, json);
    ggw_config_offer_clear(&got);
    ggw_tree_unref(tree);
}

/* Guards against an offer that claims a length that it does not have. */
static void
test_wrong_size(void)
{
    struct ggw_config_offer offer = {(char *)"team", 3, (char *)TREE};
    g_autoptr(GBytes) payload = ggw_config_offer_pack(&offer);
    gsize len;
    const char *data = g_bytes_get_data(payload, &len);

    for (gsize i = 0; i < len; i++) {
        g_autofree char *changed = g_memdup2(data, len);
        g_autoptr(GBytes) bytes = NULL;
        struct ggw_config_offer got;

        changed[i] ^= 1;
        bytes = g_bytes_new(changed, len);
        if (ggw_config_offer_unpack(bytes, &got)) {
            CU_ASSERT_STRING_EQUAL(got.json, TREE);
        }
        ggw_config_offer_clear(&got);
    }
}

/* Guards against a silent read that holds back the next ones. */
static void
test_silent_platform(void)
{
    static const struct answer answers[] = {
        {.silent = true},
        {.silent = true},
        {GGW_PLATFORM_OK, false, 1, TREE},
        {GGW_PLATFORM_OK, false, 2, TREE},
    };
    struct world w = {
        .answers = answers,
        .answers_len = G_N_ELEMENTS(answers),
    };

    run(&w);
    CU_ASSERT_EQUAL_FATAL(w.in_force_len, 2);
    CU_ASSERT_EQUAL(w.in_force[1], 2);
    world_clear(&w);
}

/* Guards against a row that was cut off or written by something else. */
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

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("config", NULL, NULL);
    CU_add_test(suite, "decide", test_decide);
    CU_add_test(suite, "never reverts", test_platform_never_reverts);
    CU_add_test(suite, "outage at start", test_outage_at_start);
    CU_add_test(suite, "spreads in outage", test_spreads_during_outage);
    CU_add_test(suite, "many routes", test_many_routes);
    CU_add_test(suite, "wrong size", test_wrong_size);
    CU_add_test(suite, "silent platform", test_silent_platform);
    CU_add_test(suite, "malformed rows", test_malformed_rows);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
