#include <math.h>
#include <string.h>

#include "common/metrics.h"
#include "decide/limit.h"
#include "decide/promise.h"
#include "proxy/events.h"
#include "proxy/headers.h"
#include "proxy/state.h"

/*
 * A connection opens in about 1 ms; if a packet of the handshake is lost, it
 * is sent again only after 1 s.
 */
#define CONNECT_TIMEOUT_MS 500

/*
 * Time in ms after the timeout for the head in which the rest of a body may
 * arrive. A server stops its work at the deadline, so that only bytes on their
 * way are left.
 */
#define LATE_BODY_MS 5000.0

/*
 * Longest time in ms without bytes of a body that is late: its server has
 * stopped its work, and a client that still waits is told so.
 */
#define LATE_PROGRESS_MS 300.0

/* A server counts as slow after this many times the usual p95 latency. */
#define SLOW_P95_FACTOR 10

/*
 * A server counts as slow no earlier than this, unless half of the time left
 * for the request is shorter. Pauses of this length are common on busy VMs.
 */
#define SLOW_MIN_MS 200

/*
 * A body that nobody waits for is read to its end, so that the server is not
 * interrupted and the connection can be kept. Beyond this many bytes it is cut
 * off, because it may have no end.
 */
#define MAX_DISCARDED_BYTES ((size_t)1024 * 1024)

/*
 * Time in ms in which the body of a refusal may arrive after its head. The
 * request is tried elsewhere only afterwards.
 */
#define REFUSAL_BODY_MS 100.0

static const char *const result_names[] = {
    [GGW_ATTEMPT_OK] = "ok",
    [GGW_ATTEMPT_ERROR] = "error",
    [GGW_ATTEMPT_SHED] = "shed",
    [GGW_ATTEMPT_REFUSED] = "refused",
    [GGW_ATTEMPT_BROKEN] = "broken",
    [GGW_ATTEMPT_SILENT] = "silent",
    [GGW_ATTEMPT_CANCELLED] = "cancelled",
    [GGW_ATTEMPT_UNUSED] = "unused",
};

static void
count_result(enum ggw_attempt_result result)
{
    static uint64_t *counters[G_N_ELEMENTS(result_names)];

    if (counters[result] == NULL) {
        g_autofree char *name = g_strdup_printf(
            "ggw_attempts_total{result=\"%s\"}", result_names[result]);

        counters[result] = ggw_counter(name);
    }
    (*counters[result])++;
}

/* Logs and counts the result of an attempt and releases its slot. */
static void
release_slot(struct ggw_attempt *a, enum ggw_attempt_result result)
{
    struct ggw_proxy *proxy = a->request->proxy;

    ggw_ms latency = a->call != NULL ? ggw_call_latency(a->call) : 0;

    count_result(result);
    ggw_proxy_log_attempt(a, result_names[result], latency);
    ggw_kernel_send(
        proxy->base.kernel, "slots", &proxy->base,
        ggw_slot_release_new(a->grant, result, latency, &a->report));
}

/* Frees the buffered response, if there is one. */
static void
drop_buffered(struct ggw_attempt *a)
{
    if (a->buffered == NULL) {
        return;
    }
    a->request->proxy->held_bytes -= a->buffered->body->len;
    ggw_buffered_response_free(a->buffered);
    a->buffered = NULL;
}

/* Removes the attempt from its request and frees it. */
static void
attempt_free(struct ggw_attempt *a)
{
    struct ggw_request *r = a->request;

    for (size_t i = 0; i < G_N_ELEMENTS(r->attempts); i++) {
        if (r->attempts[i] == a) {
            r->attempts[i] = NULL;
        }
    }
    if (r->winner == a) {
        r->winner = NULL;
    }
    ggw_call_destroy(a->call);
    drop_buffered(a);
    g_string_free(a->head, TRUE);
    g_free(a->vm);
    g_free(a->id);
    g_free(a);
}

/* Cancels the call, if it has not ended, and frees the attempt. */
void
ggw_attempt_cancel(struct ggw_attempt *a)
{
    if (!a->ended) {
        release_slot(a, GGW_ATTEMPT_CANCELLED);
    }
    attempt_free(a);
}

static void on_end(void *data, enum ggw_call_end end);

/* Whether the response is not for the client, whatever its body is. */
static bool
is_rejected(const struct ggw_attempt *a)
{
    return a->shed || a->signature_missing || a->unproven;
}

/*
 * Ends an attempt whose body nobody waits for and that is too long. What the
 * head says stands.
 */
static void
cut_body(struct ggw_attempt *a)
{
    struct ggw_request *r = a->request;

    ggw_count("ggw_bodies_cut_total");
    if (is_rejected(a)) {
        on_end(a, GGW_CALL_BROKEN);
        return;
    }
    ggw_attempt_cancel(a);
    ggw_request_free_if_unused(r);
}

/* Drops the body bytes that have arrived. May free the attempt. */
static void
discard_body(struct ggw_attempt *a)
{
    h2o_buffer_t *buffer;

    h2o_buffer_init(&buffer, &h2o_socket_buffer_prototype);
    while (ggw_call_read_body(a->call, &buffer)) {
        a->discarded += buffer->size;
        h2o_buffer_consume(&buffer, buffer->size);
    }
    h2o_buffer_dispose(&buffer);
    if (a->discarded > MAX_DISCARDED_BYTES) {
        cut_body(a);
    }
}

/*
 * Sends the body bytes that have arrived to the client. Frees the attempt once
 * the last byte is sent. Drops the bytes if the client has disconnected, which
 * may free the attempt, too.
 */
void
ggw_attempt_pump(struct ggw_attempt *a)
{
    struct ggw_request *r = a->request;
    struct ggw_exchange *x = r->exchange;

    if (x == NULL || r->winner != a) {
        discard_body(a);
        return;
    }
    if (x->sending) {
        return;
    }
    h2o_buffer_consume(&x->buffer, x->buffer->size);
    if (!ggw_call_read_body(a->call, &x->buffer) && !a->ended) {
        return;
    }
    if (!a->ended) {
        ggw_exchange_send(x, h2o_iovec_init(x->buffer->bytes, x->buffer->size),
                          false);
        return;
    }
    r->exchange = NULL;
    ggw_exchange_send(x, h2o_iovec_init(x->buffer->bytes, x->buffer->size),
                      true);
    attempt_free(a);
    ggw_request_free_if_unused(r);
}

/* Status 502, 503 or 504 leaves it open whether the request ran. */
static enum ggw_outcome
outcome_of(int status)
{
    return status >= 502 && status <= 504 ? GGW_OUTCOME_UNKNOWN
                                          : GGW_OUTCOME_DONE;
}

static void
settle_claim(struct ggw_request *r, int status)
{
    ggw_request_settle(r,
                       outcome_of(status) == GGW_OUTCOME_DONE
                           ? GGW_CLAIM_OUTCOME_DONE
                           : GGW_CLAIM_OUTCOME_UNKNOWN,
                       status);
}

/*
 * Sends the head of a server's response to the client.
 * @content_length: SIZE_MAX when not known
 */
static void
start_response(struct ggw_attempt *a, int status, h2o_iovec_t reason,
               const h2o_header_t *headers, size_t headers_len,
               size_t content_length)
{
    struct ggw_request *r = a->request;
    struct ggw_proxy *proxy = r->proxy;
    h2o_req_t *req = r->exchange->req;
    h2o_iovec_t text = h2o_strdup(&req->pool, reason.base, reason.len);

    req->res.status = status;
    req->res.reason = text.base;
    req->res.content_length = content_length;
    ggw_headers_copy_response(req, proxy->options.dialect, headers,
                              headers_len);
    ggw_exchange_set_outcome(r->exchange, outcome_of(status), NULL);
    ggw_request_count_outcome(r, outcome_of(status), "response");
    ggw_proxy_log_response(r, status);
    ggw_histogram_add(proxy->added_latency,
                      ggw_kernel_now(proxy->base.kernel) - r->received -
                          ggw_call_latency(a->call));
    ggw_exchange_start(r->exchange);
}

/*
 * Selects the attempt whose response the client gets, cancels the other one
 * and settles the claim.
 */
static void
select_winner(struct ggw_attempt *a, int status)
{
    struct ggw_request *r = a->request;

    if (status < 500) {
        ggw_latency_add(&r->kind_state->latency_estimate,
                        ggw_call_latency(a->call));
    }
    r->winner = a;
    uv_timer_stop(&r->timer);
    if (a->hedge) {
        ggw_count("ggw_hedges_won_total");
        ggw_proxy_log_hedge_won(r, a->vm);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(r->attempts); i++) {
        if (r->attempts[i] != NULL && r->attempts[i] != a) {
            if (r->attempts[i]->hedge) {
                ggw_count("ggw_hedges_cancelled_total");
            }
            ggw_attempt_cancel(r->attempts[i]);
        }
    }
    ggw_request_stop_waiting(r); /* a hedge may still await a slot */
    settle_claim(r, status);
}

/*
 * Returns false for a success without the dialect's signature header. Such a
 * response did not come from the server.
 */
static bool
is_signed(const struct ggw_attempt *a, const struct ggw_call_head *head)
{
    const char *signature = a->request->proxy->options.dialect->signature;

    return signature == NULL || head->status >= 300 ||
           ggw_headers_has(head->headers, head->headers_len, signature);
}

/*
 * Whether a client would send the request again because of this status,
 * although it may have run.
 */
static bool
is_unproven_promise(const struct ggw_attempt *a)
{
    const struct ggw_request *r = a->request;

    return r->proxy->options.dialect->status_promises &&
           r->kind->idempotency != GGW_IDEMPOTENT &&
           ggw_status_promises_not_run(a->status) && !a->shed;
}

static void
on_head(void *data, const struct ggw_call_head *head)
{
    struct ggw_attempt *a = data;
    struct ggw_request *r = a->request;
    const struct ggw_dialect *dialect = r->proxy->options.dialect;

    a->has_head = true;
    a->status = head->status;
    a->misdirected =
        dialect->misdirected != NULL && dialect->misdirected(head->status);
    if (!a->misdirected) {
        a->report = dialect->load(head->headers, head->headers_len);
        ggw_proxy_report_backoff(r->proxy, a->vm, a->grant, a->id, head);
    }
    a->shed = a->misdirected ||
              dialect->not_run(head->status, head->headers, head->headers_len);
    a->signature_missing = !is_signed(a, head);
    a->unproven = is_unproven_promise(a);
    if (is_rejected(a)) {
        ggw_call_limit_body(a->call, REFUSAL_BODY_MS);
        return;
    }
    if (r->winner != NULL) {
        return;
    }
    if (r->kind->hold_bytes > 0 && r->exchange != NULL) {
        a->buffered = ggw_buffered_response_new(head);
        return;
    }
    select_winner(a, head->status);
    if (r->exchange != NULL) {
        start_response(a, head->status, head->reason, head->headers,
                       head->headers_len, head->content_length);
    }
}

/*
 * Selects the attempt and sends the head of its buffered response to the
 * client.
 * @content_length: bytes; SIZE_MAX when the body is not complete yet
 */
static void
forward_buffered(struct ggw_attempt *a, size_t content_length)
{
    struct ggw_request *r = a->request;
    struct ggw_buffered_response *response = a->buffered;
    h2o_iovec_t reason =
        h2o_iovec_init(response->reason, strlen(response->reason));

    select_winner(a, response->status);
    if (r->exchange == NULL) {
        return;
    }
    start_response(a, response->status, reason, response->headers,
                   response->len, content_length);
}

/* Appends the body bytes that have arrived to the buffered response. */
static void
buffer_body(struct ggw_attempt *a)
{
    h2o_buffer_t *buffer;

    h2o_buffer_init(&buffer, &h2o_socket_buffer_prototype);
    while (ggw_call_read_body(a->call, &buffer)) {
        a->request->proxy->held_bytes += buffer->size;
        g_string_append_len(a->buffered->body, buffer->bytes,
                            (gssize)buffer->size);
        h2o_buffer_consume(&buffer, buffer->size);
    }
    h2o_buffer_dispose(&buffer);
}

/*
 * Whether the buffered response has to be passed on before it is complete:
 * it is too large, or all of them together are, but for small ones.
 */
static bool
exceeds_buffer(const struct ggw_attempt *a)
{
    const struct ggw_request *r = a->request;
    const struct ggw_memory_limits *memory = r->proxy->memory;
    size_t len = a->buffered->body->len;

    if (r->proxy->held_bytes > memory->held && len > memory->held_small) {
        ggw_count("ggw_responses_unbuffered_total");
        return true;
    }
    return len > (size_t)r->kind->hold_bytes;
}

/* Moves the buffered body to the exchange, which sends it. */
static void
send_buffered(struct ggw_attempt *a, bool last)
{
    struct ggw_exchange *x = a->request->exchange;
    GString *body = a->buffered->body;
    h2o_iovec_t space = h2o_buffer_reserve(&x->buffer, MAX(body->len, 1));

    memcpy(space.base, body->str, body->len);
    x->buffer->size += body->len;
    drop_buffered(a);
    ggw_exchange_count_held(x, &a->request->proxy->held_bytes);
    ggw_exchange_send(x, h2o_iovec_init(x->buffer->bytes, x->buffer->size),
                      last);
}

/*
 * Handles a client that has disconnected while the attempt continues. Its
 * response is no longer buffered: only what its head says is of use.
 */
void
ggw_attempt_client_left(struct ggw_attempt *a)
{
    if (a->buffered != NULL && a->request->winner == NULL) {
        select_winner(a, a->status);
    }
    drop_buffered(a);
    ggw_attempt_pump(a);
}

static void
on_body(void *data)
{
    struct ggw_attempt *a = data;
    struct ggw_request *r = a->request;

    if (a->buffered == NULL || r->winner == a) {
        ggw_attempt_pump(a);
        return;
    }
    buffer_body(a);
    if (r->exchange != NULL && exceeds_buffer(a)) {
        forward_buffered(a, SIZE_MAX);
        send_buffered(a, false);
    }
}

/*
 * Another server at the address means that the intended server is gone, just
 * as a refused connection does.
 */
static enum ggw_attempt_result
result_of(const struct ggw_attempt *a, enum ggw_call_end end)
{
    if (a->misdirected) {
        return GGW_ATTEMPT_REFUSED;
    }
    if (a->shed) {
        return GGW_ATTEMPT_SHED;
    }
    if (a->signature_missing) {
        return GGW_ATTEMPT_BROKEN;
    }
    if (a->unproven) {
        return GGW_ATTEMPT_ERROR;
    }
    switch (end) {
    case GGW_CALL_NOT_SENT:
        return GGW_ATTEMPT_REFUSED;
    case GGW_CALL_TIMED_OUT:
        return GGW_ATTEMPT_SILENT;
    case GGW_CALL_BROKEN:
        return GGW_ATTEMPT_BROKEN;
    case GGW_CALL_COMPLETE:
        break;
    }
    return a->status >= 500 ? GGW_ATTEMPT_ERROR : GGW_ATTEMPT_OK;
}

/*
 * The length that a complete response states to the client. One to HEAD, or
 * with 304, states that of a body which it does not have.
 */
static size_t
stated_length(const struct ggw_attempt *a)
{
    const struct ggw_buffered_response *response = a->buffered;
    bool has_body = response->status != 204 && response->status != 304 &&
                    strcmp(a->request->method, "HEAD") != 0;

    return has_body ? response->body->len : response->content_length;
}

/*
 * Sends a buffered response that is complete, unless it is an error that
 * another attempt may replace. Returns whether it was sent.
 */
static bool
deliver_buffered(struct ggw_attempt *a, enum ggw_attempt_result result)
{
    struct ggw_request *r = a->request;
    bool complete = result == GGW_ATTEMPT_OK || result == GGW_ATTEMPT_ERROR;

    if (a->buffered == NULL || !complete || r->winner != NULL) {
        return false;
    }
    buffer_body(a);
    if (result == GGW_ATTEMPT_ERROR && ggw_request_retry_error(r)) {
        return false;
    }
    ggw_request_record_size(r, a->buffered->body->len);
    forward_buffered(a, stated_length(a));
    if (r->exchange != NULL) {
        send_buffered(a, true);
        r->exchange = NULL;
    }
    attempt_free(a);
    ggw_request_free_if_unused(r);
    return true;
}

/*
 * What the result says of the server. A server is neither slow nor gone
 * because this gateway gave it little time.
 */
static enum ggw_attempt_result
result_for_slot(const struct ggw_attempt *a, enum ggw_attempt_result result)
{
    if (result == GGW_ATTEMPT_SILENT) {
        return ggw_attempt_timeout_result(
            ggw_call_latency(a->call),
            a->request->kind_state->latency_estimate.p50);
    }
    if (result == GGW_ATTEMPT_REFUSED && a->connect_shortened &&
        !ggw_call_is_sent(a->call)) {
        return GGW_ATTEMPT_UNUSED;
    }
    return result;
}

/*
 * Forgets what the head of a response has said that turned out to be no HTTP:
 * it proves neither that the request did not run nor who responded.
 */
static void
forget_head(struct ggw_attempt *a)
{
    a->shed = false;
    a->misdirected = false;
    a->signature_missing = false;
    a->unproven = false;
    a->report = (struct ggw_load_report){.present = false};
}

static void
on_end(void *data, enum ggw_call_end end)
{
    struct ggw_attempt *a = data;
    struct ggw_request *r = a->request;
    enum ggw_call_fault fault = ggw_call_facts(a->call).fault;
    enum ggw_attempt_result result;
    bool won = r->winner == a;

    a->ended = true;
    if (fault == GGW_FAULT_SURPLUS) {
        r->response_mixed = true;
    }
    if (fault == GGW_FAULT_MALFORMED) {
        forget_head(a);
    }
    result = result_of(a, end);
    release_slot(a, result_for_slot(a, result));
    if (deliver_buffered(a, result)) {
        return;
    }
    if (won && end == GGW_CALL_COMPLETE && r->exchange != NULL) {
        ggw_attempt_pump(a); /* frees the attempt after the last byte */
        return;
    }
    if (won) {
        if (r->exchange != NULL) {
            ggw_count("ggw_responses_broken_total");
            ggw_proxy_log_truncated(a, end);
            ggw_exchange_truncate(r->exchange);
            r->exchange = NULL;
        }
        attempt_free(a);
        ggw_request_free_if_unused(r);
        return;
    }
    attempt_free(a);
    ggw_request_attempt_failed(r, result,
                               result == GGW_ATTEMPT_SHED ||
                                       result == GGW_ATTEMPT_REFUSED
                                   ? GGW_OUTCOME_NOT_RUN
                                   : GGW_OUTCOME_UNKNOWN);
}

static bool
on_slow(void *data)
{
    struct ggw_attempt *a = data;

    return ggw_request_attempt_slow(a->request);
}

static const struct ggw_call_ops call_ops = {
    .slow = on_slow,
    .head = on_head,
    .body = on_body,
    .end = on_end,
};

/*
 * Time without a response head after which another server may be tried, ms.
 * It is well above the usual latency, so that slow work is not thrown away;
 * while that latency is not known, it is half of the time left. For a request
 * that must not be repeated it is all of the time left.
 */
static ggw_ms
slow_after(const struct ggw_request *r, ggw_ms left)
{
    const struct ggw_latency *l = &r->kind_state->latency_estimate;
    ggw_ms threshold = MAX(SLOW_P95_FACTOR * l->p95, SLOW_MIN_MS);

    if (r->kind->idempotency != GGW_IDEMPOTENT) {
        return left;
    }
    return l->p95 > 0 ? MIN(threshold, left / 2) : left / 2;
}

static void
append_deadline(const struct ggw_request *r, GString *head)
{
    const struct ggw_dialect *dialect = r->proxy->options.dialect;
    ggw_ms now = ggw_kernel_now(r->proxy->base.kernel);

    g_string_append_printf(head, "%s: %.0f\r\n", dialect->deadline,
                           dialect->deadline_relative
                               ? MAX(floor(r->retry.deadline - now), 1)
                               : r->wall_deadline);
}

/*
 * Builds the request line and headers of an attempt.
 * @id: attempt id
 * @server: name of the backend server
 * @new_connection: the connection is closed after the response
 */
static GString *
build_head(const struct ggw_request *r, const char *id, const char *server,
           bool new_connection)
{
    const struct ggw_dialect *dialect = r->proxy->options.dialect;
    GString *head = g_string_sized_new(256 + r->headers->len);

    g_string_append(head, r->method);
    g_string_append_c(head, ' ');
    g_string_append(head, r->path);
    g_string_append(head, " HTTP/1.1\r\n");
    g_string_append_len(head, r->headers->str, (gssize)r->headers->len);
    append_deadline(r, head);
    if (!dialect->id_from_client) {
        g_string_append_printf(head, "%s: %s\r\n", dialect->attempt_id, id);
    }
    if (dialect->retry_count != NULL) {
        g_string_append_printf(head, "%s: %d\r\n", dialect->retry_count,
                               ggw_retry_attempt_header(&r->retry));
    }
    if (dialect->server_id != NULL) {
        g_string_append_printf(head, "%s: %s\r\n", dialect->server_id, server);
    }
    if (r->customer != NULL) {
        g_string_append_printf(head, "%s: ", dialect->customer);
        ggw_headers_append_value(head, r->customer->name);
        g_string_append(head, "\r\n");
    }
    if (new_connection) {
        g_string_append(head, "connection: close\r\n");
    }
    g_string_append(head, "\r\n");
    return head;
}

/*
 * A request that must not be repeated gets a new connection, since it could
 * not be sent again if an idle connection turned out to be closed. So does one
 * that the server has refused before: on the kept connection, a second copy of
 * that refusal could not be told from a refusal of this attempt. So does one
 * with a response that may have been mixed with an earlier one, and one to a
 * server that mixes responses: on a new connection there is no earlier one.
 */
static bool
needs_new_connection(const struct ggw_request *r, const char *server,
                     const struct ggw_pool *pool)
{
    return r->kind->idempotency != GGW_IDEMPOTENT || r->response_mixed ||
           (pool != NULL && ggw_pool_is_distrusted(pool)) ||
           g_strv_contains((const char *const *)r->tried->pdata, server);
}

/*
 * Time for opening the connection, ms. On one that opens later than
 * ggw_request_send_by(), the request would be cut when the gateway stops.
 */
static ggw_ms
connect_timeout(struct ggw_attempt *a, ggw_ms slow_timeout, ggw_ms now)
{
    const struct ggw_request *r = a->request;
    ggw_ms usual = MIN(CONNECT_TIMEOUT_MS, slow_timeout);
    ggw_ms left = ggw_request_send_by(r) - now;

    if (r->attempts[0] != a || left >= usual) {
        return usual;
    }
    a->connect_shortened = true;
    return left;
}

/* Sends the request to the backend server that was granted. */
void
ggw_attempt_start(struct ggw_request *r, const struct ggw_slot_grant *grant)
{
    struct ggw_proxy *proxy = r->proxy;
    ggw_ms now = ggw_kernel_now(proxy->base.kernel);
    struct ggw_attempt *a = g_new0(struct ggw_attempt, 1);
    bool hedge = r->attempts[0] != NULL;
    bool new_connection;
    const struct ggw_dialect *dialect = proxy->options.dialect;
    struct ggw_call_spec spec = {
        .body = r->body,
        .id_name = dialect->attempt_id,
        .id_required = dialect->id_from_client,
        .signature_name = dialect->signature,
        .is_head = strcmp(r->method, "HEAD") == 0,
        .progress_timeout = proxy->options.progress_timeout,
    };

    a->request = r;
    a->grant = grant->grant;
    a->vm = g_strdup(grant->vm);
    a->id =
        r->client_attempt_id != NULL
            ? g_strdup(r->client_attempt_id)
            : g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%d",
                              proxy->options.name, r->id, r->retry.attempts);
    a->pool = ggw_pools_get(proxy->pools, grant->host, grant->port, now);
    new_connection = needs_new_connection(r, grant->vm, a->pool);
    a->head = build_head(r, a->id, grant->vm, new_connection);
    a->hedge = hedge;
    r->attempts[hedge ? 1 : 0] = a;
    r->retry.attempts++;
    g_ptr_array_insert(r->tried, (int)r->tried->len - 1, g_strdup(grant->vm));
    if (a->pool == NULL ||
        a->pool->active_calls >= MAX(grant->connections, 1)) {
        release_slot(a, a->pool == NULL ? GGW_ATTEMPT_REFUSED
                                        : GGW_ATTEMPT_UNUSED);
        attempt_free(a);
        ggw_request_attempt_failed(r, GGW_ATTEMPT_REFUSED,
                                   GGW_OUTCOME_NOT_RUN);
        return;
    }
    spec.new_connection = new_connection;
    spec.head = h2o_iovec_init(a->head->str, a->head->len);
    spec.id = h2o_iovec_init(a->id, strlen(a->id));
    spec.slow_timeout = slow_after(r, r->retry.deadline - now);
    spec.head_timeout =
        r->retry.deadline - now + proxy->options.deadline_grace;
    spec.late_progress_timeout = LATE_PROGRESS_MS;
    spec.complete_timeout = spec.head_timeout + LATE_BODY_MS;
    spec.connect_timeout = connect_timeout(a, spec.slow_timeout, now);
    a->call = ggw_call_new(a->pool, &spec, &call_ops, a);
}
