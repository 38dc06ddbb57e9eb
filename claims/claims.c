#include "claims/claims.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "common/metrics.h"
#include "decide/claim.h"
#include "platform/platform.h"

/**
 * DOC: Implementation of the service "claims"
 *
 * Every claim and every settlement writes one row. The writes wait in one
 * queue and are sent in batches, because the platform accepts only several
 * hundred write transactions per second and a batch counts as one.
 */

/* Maximum number of writes in a batch. */
#define MAX_BATCH_WRITES 32
/* More than one, so that a slow transaction does not block all others. */
#define MAX_BATCHES_IN_FLIGHT 4
/*
 * Initial and shortest timeout of a transaction in ms. It is short, so that an
 * unresponsive connection delays an order little. It is doubled while there is
 * no answer, because the answers of a slow platform would otherwise always
 * arrive too late.
 */
#define TXN_TIMEOUT 500.0
/* Longest timeout of a transaction in ms. */
#define TXN_TIMEOUT_MAX 4000.0
/*
 * Ratio of the timeout to the last measured latency, so that the next answer
 * arrives in time with a margin.
 */
#define TXN_TIMEOUT_FACTOR 4
/*
 * Period of timer_cb() in ms. It sends settlements, retries after a
 * transaction that could not be sent and gives up writes whose deadline has
 * passed.
 */
#define RETRY_DELAY 50.0
/*
 * Minimum time between two transactions in ms. Limits 6 gateways to 600
 * transactions per second, claims and settlements together; the platform
 * accepts several hundred per second.
 */
#define TXN_INTERVAL 10.0
/*
 * Time in ms after which a settlement that cannot be written is dropped, which
 * bounds memory use. Repeats of its order are then answered "unknown" instead
 * of "already run".
 */
#define SETTLE_TIMEOUT 30000.0

/**
 * enum write_phase - state of a claim
 * @WRITE_CLAIM: the claim is to be written; no result has been sent yet
 * @WRITE_HELD: the claim was won and awaits its settlement; not queued
 * @WRITE_SETTLE: the settlement, done or not run, is to be written
 */
enum write_phase {
    WRITE_CLAIM,
    WRITE_HELD,
    WRITE_SETTLE,
};

/**
 * struct claim_write - a claim and the next write of its row
 * @id: ID of the claim
 * @phase: state of the claim
 * @key: key of the row
 * @row: content to write
 * @mod_revision: revision of the row that the write may replace; 0 if there
 *                must be no row; -1, which no row has, if the result of the
 *                last write lacked the row
 * @maybe_written: an earlier transaction with this write may have taken effect
 *                 or may still do so
 * @client: service that requested the claim
 * @tag: tag of its request
 * @deadline: time at which the write is given up; monotonic ms
 */
struct claim_write {
    uint64_t id;
    enum write_phase phase;
    char *key;
    struct ggw_claim_row row;
    int64_t mod_revision;
    bool maybe_written;
    ggw_service_id client;
    uint64_t tag;
    ggw_ms deadline;
};

/**
 * struct batch - a transaction in flight
 * @tag: tag of the request to the platform
 * @sent_at: time when it was sent; monotonic ms
 * @writes: array of struct claim_write, which are owned by struct priv
 */
struct batch {
    uint64_t tag;
    ggw_ms sent_at;
    GPtrArray *writes;
};

/**
 * struct priv - the service "claims"
 * @base: service header
 * @gateway: name of this gateway
 * @incarnation: start time of this process in Unix ms
 * @last_id: last ID or tag that was assigned
 * @writes: ID to struct claim_write
 * @queue: struct claim_write that wait to be sent
 * @batches: tag to struct batch
 * @timer: calls timer_cb() every RETRY_DELAY
 * @pace_timer: sends the next batch when TXN_INTERVAL has passed
 * @paused: a transaction could not be sent; nothing is sent until timer_cb()
 * @claims_queued: number of queued writes that a client waits for
 * @txn_timeout: timeout of the next transaction in ms
 * @last_sent_at: time when the last transaction was sent; monotonic ms
 */
struct priv {
    struct ggw_service base;
    char *gateway;
    uint64_t incarnation;
    uint64_t last_id;
    GHashTable *writes;
    GQueue queue;
    GHashTable *batches;
    uv_timer_t timer;
    uv_timer_t pace_timer;
    bool paused;
    int claims_queued;
    ggw_ms txn_timeout;
    ggw_ms last_sent_at;
};

static void
write_free(void *data)
{
    struct claim_write *w = data;

    g_free(w->key);
    ggw_claim_row_clear(&w->row);
    g_free(w);
}

static void
batch_free(void *data)
{
    struct batch *b = data;

    g_ptr_array_unref(b->writes);
    g_free(b);
}

static void
drop_write(struct priv *p, struct claim_write *w)
{
    g_hash_table_remove(p->writes, &w->id);
}

static void
queue_push(struct priv *p, struct claim_write *w)
{
    p->claims_queued += w->phase == WRITE_CLAIM;
    g_queue_push_tail(&p->queue, w);
}

static struct claim_write *
queue_pop(struct priv *p)
{
    struct claim_write *w = g_queue_pop_head(&p->queue);

    p->claims_queued -= w->phase == WRITE_CLAIM;
    return w;
}

static void
send_result(struct priv *p, struct claim_write *w, enum ggw_claim_state state,
            int status)
{
    struct ggw_claim_result *m = g_new0(struct ggw_claim_result, 1);

    m->base.ops = &ggw_claim_result_ops;
    m->base.tag = w->tag;
    m->state = state;
    m->status = status;
    m->claim = w->id;
    ggw_kernel_send_id(p->base.kernel, w->client, &p->base, &m->base);
}

static void
begin_settlement(struct priv *p, struct claim_write *w,
                 enum ggw_claim_row_state state, int status)
{
    w->phase = WRITE_SETTLE;
    w->row.state = state;
    w->row.status = status;
    w->deadline = ggw_kernel_now(p->base.kernel) + SETTLE_TIMEOUT;
    queue_push(p, w);
}

/*
 * Gives up a write whose deadline has passed. If a claim may have taken effect
 * or may still do so, the row is then marked as not run, because the order was
 * not sent.
 */
static void
expire_write(struct priv *p, struct claim_write *w)
{
    if (w->phase == WRITE_SETTLE) {
        ggw_count("ggw_claim_settlements_lost_total");
        drop_write(p, w);
        return;
    }
    ggw_count("ggw_claims_total{state=\"unavailable\"}");
    send_result(p, w, GGW_CLAIM_UNAVAILABLE, 0);
    if (w->maybe_written) {
        begin_settlement(p, w, GGW_CLAIM_ROW_NOT_RUN, 0);
    }
    else {
        drop_write(p, w);
    }
}

static void
add_to_txn(struct ggw_txn *txn, const struct claim_write *w)
{
    g_autofree char *text = ggw_claim_row_print(&w->row);

    if (w->mod_revision == 0) {
        ggw_txn_compare(txn, w->key, 0);
    }
    else {
        ggw_txn_compare(txn, w->key, w->mod_revision);
    }
    ggw_txn_put(txn, w->key, text);
    ggw_txn_read(txn, w->key);
}

static bool
batch_has_key(const struct batch *b, const char *key)
{
    for (guint i = 0; i < b->writes->len; i++) {
        if (strcmp(((struct claim_write *)b->writes->pdata[i])->key, key) ==
            0) {
            return true;
        }
    }
    return false;
}

/*
 * Moves writes from the queue to a batch. A second write of the same key stays
 * queued, because a transaction writes each key only once.
 */
static void
fill_batch(struct priv *p, struct batch *b, struct ggw_txn *txn)
{
    guint n = g_queue_get_length(&p->queue);
    ggw_ms now = ggw_kernel_now(p->base.kernel);

    while (n-- > 0 && b->writes->len < MAX_BATCH_WRITES) {
        struct claim_write *w = queue_pop(p);

        if (now >= w->deadline) {
            expire_write(p, w);
        }
        else if (batch_has_key(b, w->key)) {
            queue_push(p, w);
        }
        else {
            add_to_txn(txn, w);
            g_ptr_array_add(b->writes, w);
        }
    }
}

static void
send_batch(struct priv *p)
{
    struct batch *b = g_new0(struct batch, 1);
    struct ggw_txn *txn = ggw_txn_new(p->txn_timeout);

    b->writes = g_ptr_array_new();
    fill_batch(p, b, txn);
    if (b->writes->len == 0) {
        batch_free(b);
        txn->base.ops->destroy(&txn->base);
        return;
    }
    b->tag = ++p->last_id;
    txn->base.tag = b->tag;
    g_hash_table_insert(p->batches, &b->tag, b);
    b->sent_at = ggw_kernel_now(p->base.kernel);
    p->last_sent_at = b->sent_at;
    ggw_kernel_send(p->base.kernel, "platform", &p->base, &txn->base);
}

static void pace_cb(uv_timer_t *timer);

/*
 * Sends the next batch if TXN_INTERVAL has passed since the last one. No
 * client waits for a settlement; if only settlements are queued, they wait for
 * the next periodic call (@tick), so that they can share a transaction.
 */
static void
send_batches(struct priv *p, bool tick)
{
    ggw_ms wait =
        p->last_sent_at + TXN_INTERVAL - ggw_kernel_now(p->base.kernel);

    if (p->paused || g_queue_is_empty(&p->queue) ||
        (p->claims_queued == 0 && !tick) ||
        g_hash_table_size(p->batches) >= MAX_BATCHES_IN_FLIGHT) {
        return;
    }
    if (wait <= 0) {
        send_batch(p);
        wait = TXN_INTERVAL;
    }
    if (p->claims_queued > 0 && !uv_is_active((uv_handle_t *)&p->pace_timer)) {
        uv_timer_start(&p->pace_timer, pace_cb, (uint64_t)ceil(wait), 0);
    }
}

static void
pace_cb(uv_timer_t *timer)
{
    send_batches(timer->data, false);
}

/* Handles a write that has taken effect. */
static void
finish_write(struct priv *p, struct claim_write *w)
{
    if (w->phase == WRITE_SETTLE) {
        drop_write(p, w);
        return;
    }
    if (ggw_kernel_now(p->base.kernel) >= w->deadline) {
        w->maybe_written = true;
        expire_write(p, w);
        return;
    }
    ggw_count("ggw_claims_total{state=\"won\"}");
    w->phase = WRITE_HELD;
    send_result(p, w, GGW_CLAIM_WON, 0);
}

/* Handles a write that failed because another claim holds the row. */
static void
reject_write(struct priv *p, struct claim_write *w,
             enum ggw_claim_verdict verdict, int status)
{
    if (w->phase == WRITE_SETTLE) {
        ggw_log_warn("claims", "cannot settle %s: the row holds another claim",
                     w->key);
    }
    else if (verdict == GGW_CLAIM_VERDICT_DONE) {
        ggw_count("ggw_claims_total{state=\"done\"}");
        send_result(p, w, GGW_CLAIM_DONE, status);
    }
    else {
        ggw_count("ggw_claims_total{state=\"taken\"}");
        send_result(p, w, GGW_CLAIM_TAKEN, 0);
    }
    drop_write(p, w);
}

/*
 * Decides how to continue a write after a conflict, which may be due to an
 * earlier transaction whose answer was lost. @row is the current row or NULL.
 */
static void
resolve_write(struct priv *p, struct claim_write *w, const struct ggw_row *row)
{
    int status = 0;
    enum ggw_claim_verdict verdict =
        ggw_claim_decide(&w->row, row != NULL ? row->value : NULL, &status);

    w->mod_revision = row != NULL ? row->mod_revision : 0;
    switch (verdict) {
    case GGW_CLAIM_VERDICT_WRITE:
        queue_push(p, w);
        return;
    case GGW_CLAIM_VERDICT_WRITTEN:
        finish_write(p, w);
        return;
    case GGW_CLAIM_VERDICT_DONE:
    case GGW_CLAIM_VERDICT_TAKEN:
        reject_write(p, w, verdict, status);
        return;
    }
}

static const struct ggw_row *
find_row(const GArray *rows, const char *key)
{
    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct ggw_row *row = &g_array_index(rows, struct ggw_row, i);

        if (strcmp(row->key, key) == 0) {
            return row;
        }
    }
    return NULL;
}

/* Adjusts the transaction timeout to the latency of the store. */
static void
adapt_timeout(struct priv *p, const struct batch *b,
              enum ggw_platform_status status)
{
    ggw_ms latency = ggw_kernel_now(p->base.kernel) - b->sent_at;

    if (status == GGW_PLATFORM_UNKNOWN) {
        p->txn_timeout = MIN(2 * p->txn_timeout, TXN_TIMEOUT_MAX);
    }
    else if (status != GGW_PLATFORM_NOT_SENT) {
        p->txn_timeout =
            CLAMP(TXN_TIMEOUT_FACTOR * latency, TXN_TIMEOUT, TXN_TIMEOUT_MAX);
    }
}

static void
complete_batch(struct priv *p, struct batch *b, const struct ggw_txn_result *r)
{
    for (guint i = 0; i < b->writes->len; i++) {
        struct claim_write *w = b->writes->pdata[i];
        const struct ggw_row *row = find_row(r->rows, w->key);

        if (r->status == GGW_PLATFORM_OK) {
            w->mod_revision = row != NULL ? row->mod_revision : -1;
            finish_write(p, w);
        }
        else if (r->status == GGW_PLATFORM_CONFLICT) {
            resolve_write(p, w, row);
        }
        else {
            w->maybe_written |= r->status == GGW_PLATFORM_UNKNOWN;
            queue_push(p, w);
            /* A refused connection fails immediately; avoid a busy loop. */
            p->paused |= r->status == GGW_PLATFORM_NOT_SENT;
        }
    }
}

static void
expire_queue(struct priv *p)
{
    ggw_ms now = ggw_kernel_now(p->base.kernel);
    guint n = g_queue_get_length(&p->queue);

    while (n-- > 0) {
        struct claim_write *w = queue_pop(p);

        if (now >= w->deadline) {
            expire_write(p, w);
        }
        else {
            queue_push(p, w);
        }
    }
}

static void
timer_cb(uv_timer_t *timer)
{
    struct priv *p = timer->data;

    p->paused = false;
    expire_queue(p);
    send_batches(p, true);
}

static void
on_txn_result(struct priv *p, const struct ggw_txn_result *r)
{
    struct batch *b = g_hash_table_lookup(p->batches, &r->base.tag);

    if (b == NULL) {
        return;
    }
    g_hash_table_steal(p->batches, &r->base.tag);
    adapt_timeout(p, b, r->status);
    complete_batch(p, b, r);
    batch_free(b);
    send_batches(p, false);
}

/* Maximum length in bytes of a row key in the store, after "claims/". */
#define MAX_KEY_LEN 200

/* Returns the key of an order's row; long order IDs are replaced by a hash. */
static char *
claim_key(const struct ggw_claim_request *m)
{
    g_autofree char *order = g_uri_escape_string(m->order, NULL, FALSE);
    char *key = g_strdup_printf("claims/%s/%s/%s", m->team, m->service, order);
    XXH128_hash_t hash;

    if (strlen(key) <= strlen("claims/") + MAX_KEY_LEN) {
        return key;
    }
    g_free(key);
    hash = XXH3_128bits(m->order, strlen(m->order));
    return g_strdup_printf(
        "claims/%s/%s/%%%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
        m->team, m->service, (guint64)hash.high64, (guint64)hash.low64);
}

static void
on_request(struct priv *p, const struct ggw_claim_request *m)
{
    struct claim_write *w = g_new0(struct claim_write, 1);

    w->id = ++p->last_id;
    w->key = claim_key(m);
    w->row.gateway = g_strdup(p->gateway);
    w->row.incarnation = p->incarnation;
    w->row.nonce = g_uuid_string_random();
    w->client = m->base.from;
    w->tag = m->base.tag;
    w->deadline = m->deadline;
    g_hash_table_insert(p->writes, &w->id, w);
    queue_push(p, w);
    send_batches(p, false);
}

static void
on_settle(struct priv *p, const struct ggw_claim_settle *m)
{
    struct claim_write *w = g_hash_table_lookup(p->writes, &m->claim);

    if (w == NULL || w->phase != WRITE_HELD) {
        return;
    }
    if (m->outcome == GGW_CLAIM_OUTCOME_UNKNOWN) {
        drop_write(p, w);
        return;
    }
    begin_settlement(p, w,
                     m->outcome == GGW_CLAIM_OUTCOME_DONE
                         ? GGW_CLAIM_ROW_DONE
                         : GGW_CLAIM_ROW_NOT_RUN,
                     m->status);
    send_batches(p, false);
}

static void
receive(struct ggw_service *service, struct ggw_message *message)
{
    struct priv *p = (struct priv *)service;

    if (message->ops == &ggw_claim_request_ops) {
        on_request(p, (struct ggw_claim_request *)message);
    }
    else if (message->ops == &ggw_claim_settle_ops) {
        on_settle(p, (struct ggw_claim_settle *)message);
    }
    else if (message->ops == &ggw_txn_result_ops) {
        on_txn_result(p, (struct ggw_txn_result *)message);
    }
}

static bool
start(struct ggw_service *service, GError **error)
{
    struct priv *p = (struct priv *)service;

    uv_timer_init(ggw_kernel_loop(service->kernel), &p->timer);
    uv_timer_init(ggw_kernel_loop(service->kernel), &p->pace_timer);
    p->pace_timer.data = p;
    p->last_sent_at = -TXN_INTERVAL;
    p->timer.data = p;
    uv_timer_start(&p->timer, timer_cb, (uint64_t)RETRY_DELAY,
                   (uint64_t)RETRY_DELAY);
    return true;
}

static void
stop(struct ggw_service *service)
{
    struct priv *p = (struct priv *)service;

    if (!g_queue_is_empty(&p->queue)) {
        ggw_log_warn("claims", "stopping; %u queued writes were not sent",
                     g_queue_get_length(&p->queue));
    }
    uv_close((uv_handle_t *)&p->timer, NULL);
    uv_close((uv_handle_t *)&p->pace_timer, NULL);
}

static void
destroy(struct ggw_service *service)
{
    struct priv *p = (struct priv *)service;

    g_queue_clear(&p->queue);
    g_hash_table_destroy(p->batches);
    g_hash_table_destroy(p->writes);
    g_free(p->gateway);
    g_free(p);
}

static const struct ggw_service_ops claims_ops = {
    .name = "claims",
    .start = start,
    .receive = receive,
    .stop = stop,
    .destroy = destroy,
};

struct ggw_service *
ggw_claims_service_new(const char *gateway, uint64_t incarnation)
{
    struct priv *p = g_new0(struct priv, 1);

    p->base.ops = &claims_ops;
    p->gateway = g_strdup(gateway);
    p->incarnation = incarnation;
    p->txn_timeout = TXN_TIMEOUT;
    p->writes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, write_free);
    p->batches =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, batch_free);
    g_queue_init(&p->queue);
    return &p->base;
}
