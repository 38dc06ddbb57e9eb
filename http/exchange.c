#include "http/exchange.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <sys/socket.h>

#include "decide/promise.h"
#include "http/connection.h"

#define OUTCOME_HEADER "greengageway-outcome"
#define REASON_HEADER "greengageway-reason"

struct status_text {
    int status;
    const char *text;
};

static const struct status_text status_texts[] = {
    {200, "OK"},
    {400, "Bad Request"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {413, "Content Too Large"},
    {421, "Misdirected Request"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
};

const char *
ggw_status_text(int status)
{
    for (size_t i = 0; i < G_N_ELEMENTS(status_texts); i++) {
        if (status_texts[i].status == status) {
            return status_texts[i].text;
        }
    }
    return "Status";
}

static const char *const end_reasons[] = {
    [GGW_EXCHANGE_CLIENT_LEFT] = "client-left",
    [GGW_EXCHANGE_STOPPING] = "stopping",
};

/*
 * Runs ops->disconnected, once, and removes the callbacks. Without callbacks,
 * no request was passed on.
 */
static enum ggw_outcome
notify_disconnected(struct ggw_exchange *x, enum ggw_exchange_end end)
{
    const struct ggw_exchange_ops *ops = x->ops;

    x->ops = NULL;
    return ops != NULL ? ops->disconnected(x->data, end) : GGW_OUTCOME_NOT_RUN;
}

/* Ends the count of the bytes in the buffer and frees its memory. */
static void
release_held(struct ggw_exchange *x)
{
    if (x->held == NULL) {
        return;
    }
    *x->held -= x->held_len;
    x->held = NULL;
    h2o_buffer_dispose(&x->buffer);
    h2o_buffer_init(&x->buffer, &h2o_socket_buffer_prototype);
}

void
ggw_exchange_count_held(struct ggw_exchange *x, size_t *sum)
{
    x->held = sum;
    x->held_len = x->buffer->size;
    *sum += x->held_len;
}

static void
dispose_exchange(void *chunk)
{
    struct ggw_exchange *x = chunk;

    if (h2o_linklist_is_linked(&x->link)) {
        h2o_linklist_unlink(&x->link);
    }
    notify_disconnected(x, GGW_EXCHANGE_CLIENT_LEFT);
    if (x->conn != NULL) {
        ggw_connection_request_done(x->conn, x->req->http1_is_persistent);
    }
    release_held(x);
    h2o_buffer_dispose(&x->buffer);
}

static void
generator_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    struct ggw_exchange *x = (struct ggw_exchange *)generator;

    x->sending = false;
    release_held(x);
    if (x->truncate_pending) {
        ggw_exchange_truncate(x);
    }
    else if (x->ops != NULL) {
        x->ops->proceed(x->data);
    }
}

static void
generator_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    struct ggw_exchange *x = (struct ggw_exchange *)generator;

    x->finished = true;
    notify_disconnected(x, GGW_EXCHANGE_CLIENT_LEFT);
}

struct ggw_exchange *
ggw_exchange_new(h2o_req_t *req, struct ggw_listener *listener,
                 h2o_linklist_t *list)
{
    struct ggw_exchange *x =
        h2o_mem_alloc_shared(&req->pool, sizeof(*x), dispose_exchange);

    memset(x, 0, sizeof(*x));
    x->generator.proceed = generator_proceed;
    x->generator.stop = generator_stop;
    x->req = req;
    x->listener = listener;
    h2o_buffer_init(&x->buffer, &h2o_socket_buffer_prototype);
    x->fd = h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn));
    h2o_linklist_insert(list, &x->link);
    return x;
}

void
ggw_exchange_attach(struct ggw_exchange *x, const struct ggw_exchange_ops *ops,
                    void *data)
{
    x->ops = ops;
    x->data = data;
}

/* Whether an orderly close of the connection completes the body. */
static bool
is_completed_by_close(const struct ggw_exchange *x)
{
    return x->req->version < 0x101 && x->req->res.content_length == SIZE_MAX;
}

static bool
has_body(const h2o_req_t *req)
{
    return req->res.status != 204 && req->res.status != 304 &&
           !h2o_memis(req->input.method.base, req->input.method.len,
                      H2O_STRLIT("HEAD"));
}

static bool
is_chunked(const struct ggw_exchange *x)
{
    return x->req->version >= 0x101 &&
           x->req->res.content_length == SIZE_MAX && has_body(x->req);
}

/*
 * Starts the response with the status 200 where h2o would otherwise not send
 * the body in chunks; the status is written later, with the first bytes.
 */
static void
start_response(struct ggw_exchange *x)
{
    int status = x->req->res.status;

    if (is_chunked(x)) {
        x->req->res.status = 200;
    }
    h2o_start_response(x->req, &x->generator);
    x->req->res.status = status;
}

void
ggw_exchange_start(struct ggw_exchange *x)
{
    x->started = true;
    if (is_completed_by_close(x) ||
        (x->conn != NULL && ggw_connection_closes_after_response(x->conn))) {
        x->req->http1_is_persistent = 0;
    }
}

void
ggw_exchange_send(struct ggw_exchange *x, h2o_iovec_t bytes, bool last)
{
    if (!x->head_sent) {
        x->head_sent = true;
        start_response(x);
    }
    x->sending = true;
    x->sent_at = (ggw_ms)uv_now(x->req->conn->ctx->loop);
    if (last) {
        x->finished = true;
        x->ops = NULL;
    }
    h2o_send(x->req, &bytes, bytes.len > 0 ? 1 : 0,
             last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

/* Lets the close of the connection show that the response is incomplete. */
static void
mark_incomplete(struct ggw_exchange *x)
{
    if (x->started && is_completed_by_close(x)) {
        ggw_connection_reset_on_close(x->conn);
    }
}

/*
 * Ends a connection on which bytes are being sent, so that their write fails
 * and h2o closes the connection. An orderly end would complete a body that
 * ends with the connection.
 */
static void
end_connection(struct ggw_exchange *x)
{
    const struct sockaddr none = {.sa_family = AF_UNSPEC};

    mark_incomplete(x);
    if (x->started && is_completed_by_close(x) &&
        connect(x->fd, &none, sizeof(none)) == 0) {
        return; /* the connection is reset */
    }
    shutdown(x->fd, SHUT_RDWR);
}

void
ggw_exchange_set_outcome(struct ggw_exchange *x, enum ggw_outcome outcome,
                         const char *reason)
{
    const char *name = ggw_outcome_name(outcome);
    h2o_req_t *req = x->req;

    h2o_add_header_by_str(&req->pool, &req->res.headers,
                          H2O_STRLIT(OUTCOME_HEADER), 0, NULL, name,
                          strlen(name));
    if (reason != NULL) {
        h2o_add_header_by_str(&req->pool, &req->res.headers,
                              H2O_STRLIT(REASON_HEADER), 0, NULL, reason,
                              strlen(reason));
    }
}

char *
ggw_query_parameter(const h2o_req_t *req, const char *name)
{
    const h2o_iovec_t *path = &req->input.path;
    const char *query = memchr(path->base, '?', path->len);
    g_autofree char *text = NULL;
    g_auto(GStrv) pairs = NULL;
    size_t len = strlen(name);

    if (query == NULL) {
        return NULL;
    }
    text = g_strndup(query + 1, (size_t)(path->base + path->len - query - 1));
    pairs = g_strsplit(text, "&", -1);
    for (char **p = pairs; *p != NULL; p++) {
        if (strncmp(*p, name, len) == 0 && (*p)[len] == '=') {
            return g_uri_unescape_string(*p + len + 1, NULL);
        }
    }
    return NULL;
}

void
ggw_exchange_respond(struct ggw_exchange *x, int status, const char *type,
                     const char *body, size_t len)
{
    h2o_req_t *req = x->req;
    h2o_iovec_t bytes = h2o_strdup(&req->pool, body, len);

    req->res.status = status;
    req->res.reason = ggw_status_text(status);
    req->res.content_length = len;
    if (type != NULL) {
        h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
                       NULL, type, strlen(type));
    }
    ggw_exchange_start(x);
    if (h2o_memis(req->input.method.base, req->input.method.len,
                  H2O_STRLIT("HEAD"))) {
        bytes.len = 0;
    }
    ggw_exchange_send(x, bytes, true);
}

static double
round_up(double value, int decimals)
{
    double unit = pow(10, -decimals);

    return ceil(value / unit) * unit;
}

void
ggw_exchange_refuse(struct ggw_exchange *x, int status, const char *reason,
                    enum ggw_outcome outcome, ggw_ms retry_after)
{
    h2o_req_t *req = x->req;
    char text[256];

    ggw_exchange_set_outcome(x, outcome, reason);
    if (retry_after > 0) {
        h2o_iovec_t value;
        char seconds[24];

        g_snprintf(seconds, sizeof(seconds), "%.*f", x->retry_after_decimals,
                   round_up(retry_after / 1e3, x->retry_after_decimals));
        value = h2o_strdup(&req->pool, seconds, SIZE_MAX);
        h2o_add_header_by_str(&req->pool, &req->res.headers,
                              H2O_STRLIT("retry-after"), 1, NULL, value.base,
                              value.len);
    }
    g_snprintf(text, sizeof(text), "%s: %s\n", reason,
               ggw_outcome_name(outcome));
    ggw_exchange_respond(x, status, "text/plain", text, strlen(text));
}

/* Responds with an error in place of a response that has not been sent yet. */
static void
replace_response(struct ggw_exchange *x)
{
    x->started = false;
    x->req->res.headers = (h2o_headers_t){.entries = NULL};
    ggw_exchange_refuse(x, 502, "broken", GGW_OUTCOME_UNKNOWN, 0);
}

void
ggw_exchange_truncate(struct ggw_exchange *x)
{
    x->ops = NULL;
    if (x->finished) {
        return;
    }
    if (x->sending) {
        x->truncate_pending = true;
        return;
    }
    if (!x->head_sent) {
        replace_response(x);
        return;
    }
    x->finished = true;
    x->req->http1_is_persistent = 0;
    mark_incomplete(x);
    if (x->started && is_chunked(x)) {
        /* h2o would send bytes that are no chunk. */
        shutdown(x->fd, SHUT_WR);
    }
    h2o_send(x->req, NULL, 0, H2O_SEND_STATE_ERROR);
}

void
ggw_exchange_abort(struct ggw_exchange *x, enum ggw_exchange_end end)
{
    enum ggw_outcome outcome = notify_disconnected(x, end);

    x->req->http1_is_persistent = 0;
    if (x->sending) {
        x->truncate_pending = !x->finished;
        end_connection(x);
    }
    else if (x->finished) {
        return;
    }
    else if (x->started) {
        ggw_exchange_truncate(x);
    }
    else {
        ggw_exchange_refuse(x, ggw_refusal_status(outcome), end_reasons[end],
                            outcome, 0);
    }
}
