#include <CUnit/Basic.h>
#include <string.h>

#include "claims/claims.h"
#include "decide/claim.h"
#include "platform/platform.h"

/*
 * Claims against a table service in memory that loses answers, delays writes
 * and refuses requests, driven by one seed. The platform's message
 * constructors are those of the product.
 */

#define GATEWAYS 3
#define ORDERS 1000
#define TRIES 4
#define SERIAL_ORDERS 50
#define SEED 20261204

struct stored {
    char *value;
    int64_t mod_revision;
};

struct table {
    struct ggw_service base;
    GHashTable *rows;
    GQueue delayed; /* of struct ggw_txn whose effect comes later */
    int64_t revision;
    GRand *rand;
    bool down;
    bool reliable;
    ggw_ms latency; /* a shorter timeout gets no answer; the write is made */
    int txns;
};

static void
stored_free(void *data)
{
    struct stored *s = data;

    g_free(s->value);
    g_free(s);
}

static int64_t
row_revision(struct table *t, const char *key)
{
    struct stored *s = g_hash_table_lookup(t->rows, key);

    return s != NULL ? s->mod_revision : 0;
}

static bool
apply(struct table *t, const struct ggw_txn *txn)
{
    for (guint i = 0; i < txn->compares->len; i++) {
        struct ggw_compare *c =
            &g_array_index(txn->compares, struct ggw_compare, i);

        if (row_revision(t, c->key) != c->equals) {
            return false;
        }
    }
    t->revision++;
    for (guint i = 0; i < txn->puts->len; i++) {
        struct ggw_row *row = &g_array_index(txn->puts, struct ggw_row, i);
        struct stored *s = g_new0(struct stored, 1);

        s->value = g_strdup(row->value);
        s->mod_revision = t->revision;
        g_hash_table_replace(t->rows, g_strdup(row->key), s);
    }
    return true;
}

static void
answer(struct table *t, const struct ggw_txn *txn,
       enum ggw_platform_status status)
{
    struct ggw_txn_result *r = ggw_txn_result_new(status);

    for (guint i = 0; status <= GGW_PLATFORM_CONFLICT && i < txn->reads->len;
         i++) {
        struct stored *s = g_hash_table_lookup(t->rows, txn->reads->pdata[i]);
        struct ggw_row row = {0};

        if (s != NULL) {
            row.key = g_strdup(txn->reads->pdata[i]);
            row.value = g_strdup(s->value);
            row.mod_revision = s->mod_revision;
            g_array_append_val(r->rows, row);
        }
    }
    ggw_kernel_reply(&t->base, &txn->base, &r->base);
}

static struct ggw_txn *
copy_writes(const struct ggw_txn *txn)
{
    struct ggw_txn *copy = ggw_txn_new(txn->timeout);

    for (guint i = 0; i < txn->compares->len; i++) {
        struct ggw_compare *c =
            &g_array_index(txn->compares, struct ggw_compare, i);

        ggw_txn_compare(copy, c->key, c->equals);
    }
    for (guint i = 0; i < txn->puts->len; i++) {
        struct ggw_row *row = &g_array_index(txn->puts, struct ggw_row, i);

        ggw_txn_put(copy, row->key, row->value);
    }
    return copy;
}

static void
table_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct table *t = (struct table *)service;
    struct ggw_txn *txn = (struct ggw_txn *)message;
    int fault = t->reliable ? 0
                : t->down   ? 3
                            : g_rand_int_range(t->rand, 0, 10);

    if (message->ops != &ggw_txn_ops) {
        return;
    }
    t->txns++;
    /* A delayed write takes effect at some later request. */
    if (!g_queue_is_empty(&t->delayed) && g_rand_boolean(t->rand)) {
        struct ggw_txn *late = g_queue_pop_head(&t->delayed);

        apply(t, late);
        late->base.ops->destroy(&late->base);
    }
    if (fault == 1 || txn->timeout < t->latency) {
        apply(t, txn);
        answer(t, txn, GGW_PLATFORM_UNKNOWN);
    }
    else if (fault == 2) {
        g_queue_push_tail(&t->delayed, copy_writes(txn));
        answer(t, txn, GGW_PLATFORM_UNKNOWN);
    }
    else if (fault == 3) {
        answer(t, txn, GGW_PLATFORM_NOT_SENT);
    }
    else {
        answer(t, txn,
               apply(t, txn) ? GGW_PLATFORM_OK : GGW_PLATFORM_CONFLICT);
    }
}

static const struct ggw_service_ops table_ops = {
    .name = "platform",
    .receive = table_receive,
};

struct client {
    struct ggw_service base;
    struct ggw_service *gateways[GATEWAYS];
    GRand *rand;
    ggw_ms patience; /* from a claim to its deadline */
    int runs[ORDERS];
    int states[4]; /* results by enum ggw_claim_state */
    int waiting;
    bool one_by_one; /* claims the next order after the answer for one */
    int next;
    ggw_ms elapsed;
    bool order_ran_twice;
    bool done_without_run;
};

static void
send_claim(struct client *c, int gateway)
{
    g_autofree char *order = g_strdup_printf("n/%d", c->next);
    struct ggw_message *m = ggw_claim_request_new(
        "t", "orders", order, ggw_kernel_now(c->base.kernel) + c->patience);

    m->tag = (uint64_t)c->next++;
    ggw_kernel_send_id(c->base.kernel, c->gateways[gateway]->id, &c->base, m);
    c->waiting++;
}

static void
send_claims(struct client *c)
{
    for (int i = 0; i < ORDERS * TRIES; i++) {
        g_autofree char *order = g_strdup_printf("o/%d", i % ORDERS);
        struct ggw_message *m = ggw_claim_request_new(
            "t", "orders", order,
            ggw_kernel_now(c->base.kernel) + c->patience);

        m->tag = (uint64_t)(i % ORDERS);
        ggw_kernel_send_id(
            c->base.kernel,
            c->gateways[g_rand_int_range(c->rand, 0, GATEWAYS)]->id, &c->base,
            m);
        c->waiting++;
    }
}

static bool
client_start(struct ggw_service *service, GError **error)
{
    struct client *c = (struct client *)service;

    c->elapsed = -ggw_kernel_now(service->kernel);
    if (c->one_by_one) {
        send_claim(c, 0);
    }
    else {
        send_claims(c);
    }
    return true;
}

static void
client_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct client *c = (struct client *)service;
    struct ggw_claim_result *r = (struct ggw_claim_result *)message;
    int order;

    if (message->ops != &ggw_claim_result_ops) {
        return;
    }
    order = (int)message->tag;
    c->states[r->state]++;
    if (r->state == GGW_CLAIM_WON) {
        enum ggw_claim_outcome end =
            (enum ggw_claim_outcome)g_rand_int_range(c->rand, 0, 3);

        /* An order of unknown end counts as run: it may have run. */
        if (end != GGW_CLAIM_OUTCOME_NOT_RUN) {
            c->order_ran_twice |= ++c->runs[order] > 1;
        }
        ggw_kernel_send_id(service->kernel, message->from, service,
                           ggw_claim_settle_new(r->claim, end, 201));
    }
    else if (r->state == GGW_CLAIM_DONE) {
        c->done_without_run |= c->runs[order] == 0 || r->status != 201;
    }
    if (c->one_by_one && c->next < SERIAL_ORDERS) {
        send_claim(c, 0);
    }
    if (--c->waiting == 0) {
        c->elapsed += ggw_kernel_now(service->kernel);
        ggw_kernel_stop(service->kernel);
    }
}

static const struct ggw_service_ops client_ops = {
    .name = "client",
    .start = client_start,
    .receive = client_receive,
};

static void
run(struct client *c, struct table *t)
{
    struct ggw_kernel *k = ggw_kernel_new(ggw_clock_system());

    c->base.ops = &client_ops;
    c->rand = g_rand_new_with_seed(SEED);
    t->base.ops = &table_ops;
    t->rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, stored_free);
    t->rand = g_rand_new_with_seed(SEED + 1);
    g_queue_init(&t->delayed);
    ggw_kernel_add(k, &t->base);
    for (int i = 0; i < GATEWAYS; i++) {
        c->gateways[i] = ggw_claims_service_new("gw", 1);
        ggw_kernel_add(k, c->gateways[i]);
    }
    ggw_kernel_add(k, &c->base);
    CU_ASSERT_TRUE(ggw_kernel_run(k, NULL));
    ggw_kernel_destroy(k);
    while (!g_queue_is_empty(&t->delayed)) {
        struct ggw_txn *late = g_queue_pop_head(&t->delayed);

        late->base.ops->destroy(&late->base);
    }
    g_hash_table_destroy(t->rows);
    g_rand_free(t->rand);
    g_rand_free(c->rand);
}

/* Guards against an order that runs twice through any mix of lost answers,
 * delayed writes, repeats through other gateways and released claims. */
static void
test_at_most_once(void)
{
    struct client c = {.patience = 5000};
    struct table t = {0};
    int ran = 0;

    run(&c, &t);
    for (int i = 0; i < ORDERS; i++) {
        ran += c.runs[i];
    }
    CU_ASSERT_FALSE(c.order_ran_twice);
    CU_ASSERT_FALSE(c.done_without_run);
    CU_ASSERT_TRUE(ran > ORDERS / 2);
    CU_ASSERT_TRUE(c.states[GGW_CLAIM_TAKEN] > 0);
    CU_ASSERT_TRUE(c.states[GGW_CLAIM_DONE] > 0);
}

/* Guards against an order that is sent while the table service is down. */
static void
test_outage(void)
{
    struct client c = {.patience = 200};
    struct table t = {.down = true};

    run(&c, &t);
    CU_ASSERT_EQUAL(c.states[GGW_CLAIM_WON], 0);
    CU_ASSERT_EQUAL(c.states[GGW_CLAIM_UNAVAILABLE], ORDERS * TRIES);
}

/* Guards against more transactions than the table service takes: several
 * hundred a second for 6 gateways, so at most 100 for each. */
static void
test_pacing(void)
{
    struct client c = {.patience = 5000, .one_by_one = true};
    struct table t = {.reliable = true};

    run(&c, &t);
    CU_ASSERT_EQUAL(c.states[GGW_CLAIM_WON], SERIAL_ORDERS);
    CU_ASSERT_TRUE(t.txns <= c.elapsed / 10 + 1);
}

/* Guards against a table service that is slow but answers, while every
 * transaction is given up before its answer. */
static void
test_slow_table(void)
{
    struct client c = {.patience = 5000, .one_by_one = true};
    struct table t = {.reliable = true, .latency = 1500};

    run(&c, &t);
    CU_ASSERT_EQUAL(c.states[GGW_CLAIM_WON], SERIAL_ORDERS);
}

static enum ggw_claim_verdict
judge(enum ggw_claim_row_state want, const char *nonce, const char *text)
{
    struct ggw_claim_row row = {
        .gateway = "g", .nonce = (char *)nonce, .state = want};
    int status = 0;

    return ggw_claim_decide(&row, text, &status);
}

/* Guards against a row that cannot be read being taken as free. */
static void
test_judge(void)
{
    static const char claimed[] =
        "{\"gateway\":\"g\",\"incarnation\":1,\"nonce\":\"a\","
        "\"state\":\"claimed\",\"status\":0}";
    static const char not_run[] =
        "{\"gateway\":\"g\",\"incarnation\":1,\"nonce\":\"a\","
        "\"state\":\"not-run\",\"status\":0}";

    CU_ASSERT_EQUAL(judge(GGW_CLAIM_ROW_CLAIMED, "b", NULL),
                    GGW_CLAIM_VERDICT_WRITE);
    CU_ASSERT_EQUAL(judge(GGW_CLAIM_ROW_CLAIMED, "b", "garbage"),
                    GGW_CLAIM_VERDICT_TAKEN);
    CU_ASSERT_EQUAL(judge(GGW_CLAIM_ROW_CLAIMED, "b", claimed),
                    GGW_CLAIM_VERDICT_TAKEN);
    CU_ASSERT_EQUAL(judge(GGW_CLAIM_ROW_CLAIMED, "a", claimed),
                    GGW_CLAIM_VERDICT_WRITTEN);
    CU_ASSERT_EQUAL(judge(GGW_CLAIM_ROW_CLAIMED, "b", not_run),
                    GGW_CLAIM_VERDICT_WRITE);
    CU_ASSERT_EQUAL(judge(GGW_CLAIM_ROW_DONE, "b", claimed),
                    GGW_CLAIM_VERDICT_TAKEN);
    CU_ASSERT_EQUAL(judge(GGW_CLAIM_ROW_DONE, "a", claimed),
                    GGW_CLAIM_VERDICT_WRITE);
    CU_ASSERT_EQUAL(judge(GGW_CLAIM_ROW_DONE, "a", not_run),
                    GGW_CLAIM_VERDICT_TAKEN);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("claims", NULL, NULL);
    CU_add_test(suite, "judge", test_judge);
    CU_add_test(suite, "at most once", test_at_most_once);
    CU_add_test(suite, "outage", test_outage);
    CU_add_test(suite, "pacing", test_pacing);
    CU_add_test(suite, "slow table service", test_slow_table);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
