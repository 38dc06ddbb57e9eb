#include <CUnit/Basic.h>
#include <string.h>

#include "claims/claims.h"
#include "decide/claim.h"
#include "platform/platform.h"

/**
 * DOC: Tests of the service "claims"
 *
 * Several claims services share a fake table service in memory that loses
 * answers, delays writes and refuses requests at random, from a fixed seed.
 * The messages to and from it are created by the product's own functions.
 */

#define GATEWAYS 3
#define ORDERS 1000
#define CLAIMS_PER_ORDER 4
#define SEQUENTIAL_ORDERS 50
#define SEED 20261204

/* A row in the fake table service. */
struct stored_row {
    char *value;
    int64_t mod_revision;
};

/**
 * struct table - fake table service, registered as "platform"
 * @base: service header
 * @rows: key to struct stored_row
 * @delayed: struct ggw_txn that were answered with GGW_PLATFORM_UNKNOWN and
 *           take effect later
 * @revision: revision of the last write
 * @rand: source of faults
 * @down: refuses every request
 * @reliable: injects no faults
 * @latency: simulated latency in ms; a transaction with a shorter timeout is
 *           applied but answered with GGW_PLATFORM_UNKNOWN
 * @txns: number of transactions received
 */
struct table {
    struct ggw_service base;
    GHashTable *rows;
    GQueue delayed;
    int64_t revision;
    GRand *rand;
    bool down;
    bool reliable;
    ggw_ms latency;
    int txns;
};

static void
stored_row_free(void *data)
{
    struct stored_row *s = data;

    g_free(s->value);
    g_free(s);
}

static int64_t
row_revision(struct table *t, const char *key)
{
    struct stored_row *s = g_hash_table_lookup(t->rows, key);

    return s != NULL ? s->mod_revision : 0;
}

/* Applies a transaction; returns false if a compare failed. */
static bool
apply_txn(struct table *t, const struct ggw_txn *txn)
{
    for (guint i = 0; i < txn->compares->len; i++) {
        struct ggw_compare *c =
            &g_array_index(txn->compares, struct ggw_compare, i);

        if (row_revision(t, c->key) != c->expected_revision) {
            return false;
        }
    }
    t->revision++;
    for (guint i = 0; i < txn->puts->len; i++) {
        struct ggw_row *row = &g_array_index(txn->puts, struct ggw_row, i);
        struct stored_row *s = g_new0(struct stored_row, 1);

        s->value = g_strdup(row->value);
        s->mod_revision = t->revision;
        g_hash_table_replace(t->rows, g_strdup(row->key), s);
    }
    return true;
}

static void
send_txn_result(struct table *t, const struct ggw_txn *txn,
                enum ggw_platform_status status)
{
    struct ggw_txn_result *r = ggw_txn_result_new(status);

    for (guint i = 0; status <= GGW_PLATFORM_CONFLICT && i < txn->reads->len;
         i++) {
        struct stored_row *s =
            g_hash_table_lookup(t->rows, txn->reads->pdata[i]);
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

/* Copies the compares and puts of a transaction. */
static struct ggw_txn *
copy_txn_writes(const struct ggw_txn *txn)
{
    struct ggw_txn *copy = ggw_txn_new(txn->timeout);

    for (guint i = 0; i < txn->compares->len; i++) {
        struct ggw_compare *c =
            &g_array_index(txn->compares, struct ggw_compare, i);

        ggw_txn_compare(copy, c->key, c->expected_revision);
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
    /* 1: lost answer, 2: delayed write, 3: refused request, else: no fault */
    int fault = t->reliable ? 0
                : t->down   ? 3
                            : g_rand_int_range(t->rand, 0, 10);

    if (message->ops != &ggw_txn_ops) {
        return;
    }
    t->txns++;
    /* A delayed write takes effect during a later request. */
    if (!g_queue_is_empty(&t->delayed) && g_rand_boolean(t->rand)) {
        struct ggw_txn *delayed_txn = g_queue_pop_head(&t->delayed);

        apply_txn(t, delayed_txn);
        delayed_txn->base.ops->destroy(&delayed_txn->base);
    }
    if (fault == 1 || txn->timeout < t->latency) {
        apply_txn(t, txn);
        send_txn_result(t, txn, GGW_PLATFORM_UNKNOWN);
    }
    else if (fault == 2) {
        g_queue_push_tail(&t->delayed, copy_txn_writes(txn));
        send_txn_result(t, txn, GGW_PLATFORM_UNKNOWN);
    }
    else if (fault == 3) {
        send_txn_result(t, txn, GGW_PLATFORM_NOT_SENT);
    }
    else {
        send_txn_result(t, txn,
                        apply_txn(t, txn) ? GGW_PLATFORM_OK
                                          : GGW_PLATFORM_CONFLICT);
    }
}

static const struct ggw_service_ops table_ops = {
    .name = "platform",
    .receive = table_receive,
};

/**
 * struct client - requests claims and checks their results
 * @base: service header
 * @gateways: claims services
 * @rand: source of gateways and outcomes
 * @claim_timeout: time in ms from a claim request to its deadline
 * @runs: number of times that each order may have run
 * @states: number of results of each enum ggw_claim_state
 * @waiting: number of requests without a result
 * @sequential: requests the next claim only after the result of the last one
 * @next: number of the next order if @sequential
 * @elapsed: time in ms from start to the last result
 * @order_ran_twice: an order may have run more than once
 * @done_without_run: an order was reported done that did not run, or with a
 *                    wrong status
 */
struct client {
    struct ggw_service base;
    struct ggw_service *gateways[GATEWAYS];
    GRand *rand;
    ggw_ms claim_timeout;
    int runs[ORDERS];
    int states[4];
    int waiting;
    bool sequential;
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
        "t", "orders", order,
        ggw_kernel_now(c->base.kernel) + c->claim_timeout);

    m->tag = (uint64_t)c->next++;
    ggw_kernel_send_id(c->base.kernel, c->gateways[gateway]->id, &c->base, m);
    c->waiting++;
}

/* Requests CLAIMS_PER_ORDER claims of every order, through random gateways. */
static void
send_claims(struct client *c)
{
    for (int i = 0; i < ORDERS * CLAIMS_PER_ORDER; i++) {
        g_autofree char *order = g_strdup_printf("o/%d", i % ORDERS);
        struct ggw_message *m = ggw_claim_request_new(
            "t", "orders", order,
            ggw_kernel_now(c->base.kernel) + c->claim_timeout);

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
    if (c->sequential) {
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

        /* An order with an unknown outcome may have run and counts as run. */
        if (end != GGW_CLAIM_OUTCOME_NOT_RUN) {
            c->order_ran_twice |= ++c->runs[order] > 1;
        }
        ggw_kernel_send_id(service->kernel, message->from, service,
                           ggw_claim_settle_new(r->claim, end, 201));
    }
    else if (r->state == GGW_CLAIM_DONE) {
        c->done_without_run |= c->runs[order] == 0 || r->status != 201;
    }
    if (c->sequential && c->next < SEQUENTIAL_ORDERS) {
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
    t->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                    stored_row_free);
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
        struct ggw_txn *delayed_txn = g_queue_pop_head(&t->delayed);

        delayed_txn->base.ops->destroy(&delayed_txn->base);
    }
    g_hash_table_destroy(t->rows);
    g_rand_free(t->rand);
    g_rand_free(c->rand);
}

/*
 * Guards against an order that runs twice because of lost answers, delayed
 * writes, repeated claims through other gateways, claims that were settled as
 * not run, or any combination of these.
 */
static void
test_at_most_once(void)
{
    struct client c = {.claim_timeout = 5000};
    struct table t = {0};
    int total_runs = 0;

    run(&c, &t);
    for (int i = 0; i < ORDERS; i++) {
        total_runs += c.runs[i];
    }
    CU_ASSERT_FALSE(c.order_ran_twice);
    CU_ASSERT_FALSE(c.done_without_run);
    CU_ASSERT_TRUE(total_runs > ORDERS / 2);
    CU_ASSERT_TRUE(c.states[GGW_CLAIM_TAKEN] > 0);
    CU_ASSERT_TRUE(c.states[GGW_CLAIM_DONE] > 0);
}

/*
 * Guards against an order that is sent without a claim while the table service
 * is down.
 */
static void
test_outage(void)
{
    struct client c = {.claim_timeout = 200};
    struct table t = {.down = true};

    run(&c, &t);
    CU_ASSERT_EQUAL(c.states[GGW_CLAIM_WON], 0);
    CU_ASSERT_EQUAL(c.states[GGW_CLAIM_UNAVAILABLE],
                    ORDERS * CLAIMS_PER_ORDER);
}

/*
 * Guards against more transactions than the table service accepts: several
 * hundred per second from 6 gateways, and therefore at most 100 per second
 * from each.
 */
static void
test_pacing(void)
{
    struct client c = {.claim_timeout = 5000, .sequential = true};
    struct table t = {.reliable = true};

    run(&c, &t);
    CU_ASSERT_EQUAL(c.states[GGW_CLAIM_WON], SEQUENTIAL_ORDERS);
    CU_ASSERT_TRUE(t.txns <= c.elapsed / 10 + 1);
}

/*
 * Guards against claims that never succeed with a slow table service because
 * every transaction times out before it is answered.
 */
static void
test_slow_table(void)
{
    struct client c = {.claim_timeout = 5000, .sequential = true};
    struct table t = {.reliable = true, .latency = 1500};

    run(&c, &t);
    CU_ASSERT_EQUAL(c.states[GGW_CLAIM_WON], SEQUENTIAL_ORDERS);
}

static enum ggw_claim_verdict
verdict_for(enum ggw_claim_row_state want, const char *nonce, const char *text)
{
    struct ggw_claim_row row = {
        .gateway = "g", .nonce = (char *)nonce, .state = want};
    int status = 0;

    return ggw_claim_decide(&row, text, &status);
}

/*
 * Guards against wrong decisions from a row that was read, for example a row
 * that cannot be parsed being treated as unclaimed.
 */
static void
test_verdicts(void)
{
    static const char claimed[] =
        "{\"gateway\":\"g\",\"incarnation\":1,\"nonce\":\"a\","
        "\"state\":\"claimed\",\"status\":0}";
    static const char not_run[] =
        "{\"gateway\":\"g\",\"incarnation\":1,\"nonce\":\"a\","
        "\"state\":\"not-run\",\"status\":0}";

    CU_ASSERT_EQUAL(verdict_for(GGW_CLAIM_ROW_CLAIMED, "b", NULL),
                    GGW_CLAIM_VERDICT_WRITE);
    CU_ASSERT_EQUAL(verdict_for(GGW_CLAIM_ROW_CLAIMED, "b", "garbage"),
                    GGW_CLAIM_VERDICT_TAKEN);
    CU_ASSERT_EQUAL(verdict_for(GGW_CLAIM_ROW_CLAIMED, "b", claimed),
                    GGW_CLAIM_VERDICT_TAKEN);
    CU_ASSERT_EQUAL(verdict_for(GGW_CLAIM_ROW_CLAIMED, "a", claimed),
                    GGW_CLAIM_VERDICT_WRITTEN);
    CU_ASSERT_EQUAL(verdict_for(GGW_CLAIM_ROW_CLAIMED, "b", not_run),
                    GGW_CLAIM_VERDICT_WRITE);
    CU_ASSERT_EQUAL(verdict_for(GGW_CLAIM_ROW_DONE, "b", claimed),
                    GGW_CLAIM_VERDICT_TAKEN);
    CU_ASSERT_EQUAL(verdict_for(GGW_CLAIM_ROW_DONE, "a", claimed),
                    GGW_CLAIM_VERDICT_WRITE);
    CU_ASSERT_EQUAL(verdict_for(GGW_CLAIM_ROW_DONE, "a", not_run),
                    GGW_CLAIM_VERDICT_TAKEN);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("claims", NULL, NULL);
    CU_add_test(suite, "verdicts", test_verdicts);
    CU_add_test(suite, "at most once", test_at_most_once);
    CU_add_test(suite, "outage", test_outage);
    CU_add_test(suite, "pacing", test_pacing);
    CU_add_test(suite, "slow table service", test_slow_table);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
