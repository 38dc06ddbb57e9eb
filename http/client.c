#include "http/client.h"

#include <glib.h>
#include <math.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "common/metrics.h"

/* A response is not read further while this many bytes wait for the client. */
#define PAUSE_BYTES 65536

/* Longest head of a response; h2o itself has no limit. */
#define HEAD_MAX 65536

/* Interval at which the size of an incomplete head is checked. */
#define HEAD_TICK_MS 50

/* Milliseconds of unacknowledged data after which a connection is dropped. */
#define TCP_USER_TIMEOUT_MS 5000

struct ggw_call {
    struct ggw_pool *pool;
    struct ggw_call_spec spec;
    const struct ggw_call_ops *ops;
    void *data;

    h2o_http1client_t *client; /* NULL once it has ended */
    h2o_iovec_t bufs[2];
    uv_timer_t timer;
    bool starting;  /* inside ggw_call_new() */
    bool connected; /* the first byte may have left */
    bool in_client; /* inside a callback of h2o's client */
    bool dead;      /* destroyed inside such a callback */
    bool asked;     /* ops->slow was called */
    bool pending;   /* ops->end has to be called after ggw_call_new() */
    bool counted;   /* in pool->used */
    enum ggw_call_end end;
    ggw_ms started_at;
    ggw_ms sent_at;
    ggw_ms head_at;

    h2o_socket_cb paused; /* read callback of a paused connection */
    h2o_buffer_t *rest;   /* bytes left when the client ended, or NULL */
};

static ggw_ms
now_ms(void)
{
    return (ggw_ms)uv_hrtime() / 1e6;
}

static void
timer_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void
free_call(struct ggw_call *call)
{
    if (call->rest != NULL) {
        h2o_buffer_dispose(&call->rest);
    }
    uv_close((uv_handle_t *)&call->timer, timer_closed);
}

static void
end_call(struct ggw_call *call, enum ggw_call_end end)
{
    call->client = NULL;
    call->end = end;
    call->paused = NULL;
    uv_timer_stop(&call->timer);
    if (call->counted) {
        call->counted = false;
        call->pool->used--;
    }
    if (call->starting) {
        call->pending = true;
        return;
    }
    call->ops->end(call->data, end);
}

static void timer_cb(uv_timer_t *timer);

static void
arm(struct ggw_call *call, ggw_ms delay)
{
    /* Rounded up: a limit must not end early. */
    uv_timer_start(&call->timer, timer_cb,
                   delay > 0 ? (uint64_t)ceil(delay) : 0, 0);
}

/* Time until the caller is asked, or until the head is due. */
static ggw_ms
head_due(const struct ggw_call *call)
{
    ggw_ms now = now_ms();
    ggw_ms limit = call->started_at + call->spec.head_limit - now;

    return call->asked ? limit
                       : MIN(limit, call->sent_at + call->spec.patience - now);
}

/* Returns whether to go on waiting for the head. */
static bool
wait_for_head(struct ggw_call *call)
{
    ggw_ms due = head_due(call);

    if (due <= 0 && !call->asked) {
        call->asked = true;
        due = call->ops->slow(call->data) ? 0 : head_due(call);
    }
    if (due <= 0) {
        return false;
    }
    arm(call, MIN(due, HEAD_TICK_MS));
    return true;
}

static void
timer_cb(uv_timer_t *timer)
{
    struct ggw_call *call = timer->data;
    enum ggw_call_end end = GGW_CALL_NOT_SENT;

    if (call->pending) {
        call->pending = false;
        call->ops->end(call->data, call->end);
        return;
    }
    if (call->connected) {
        end = GGW_CALL_SILENT;
    }
    if (call->connected && call->head_at == 0) {
        if (call->client->sock->input->size > HEAD_MAX) {
            end = GGW_CALL_BROKEN;
        }
        else if (wait_for_head(call)) {
            return;
        }
    }
    h2o_http1client_cancel(call->client);
    end_call(call, end);
}

static void
pause_reading(struct ggw_call *call)
{
    h2o_socket_t *sock = call->client->sock;

    if (call->paused != NULL || sock->_cb.read == NULL) {
        return;
    }
    call->paused = sock->_cb.read;
    h2o_socket_read_stop(sock);
    uv_timer_stop(&call->timer);
}

static void
resume_reading(struct ggw_call *call)
{
    h2o_socket_cb cb = call->paused;

    if (cb == NULL) {
        return;
    }
    call->paused = NULL;
    h2o_socket_read_start(call->client->sock, cb);
    arm(call, call->spec.progress_timeout);
}

bool
ggw_call_take(struct ggw_call *call, h2o_buffer_t **buffer)
{
    h2o_buffer_t **from = &call->rest;
    h2o_buffer_t *swap;

    if (call->client != NULL) {
        from = &call->client->sock->input;
    }
    if (*from == NULL || (*from)->size == 0) {
        return false;
    }
    swap = *buffer;
    *buffer = *from;
    *from = swap;
    if (call->client != NULL) {
        resume_reading(call);
    }
    return true;
}

/* Keeps the bytes that are lost when h2o takes its connection back. */
static void
keep_rest(struct ggw_call *call, h2o_socket_t *sock)
{
    call->rest = sock->input;
    h2o_buffer_init(&sock->input, &h2o_socket_buffer_prototype);
}

static int
on_body(h2o_http1client_t *client, const char *errstr)
{
    struct ggw_call *call = client->data;

    if (errstr == h2o_http1client_error_is_eos &&
        client->sock->bytes_read == 0) {
        /* h2o takes a close between two chunks for the end of the body. */
        end_call(call, GGW_CALL_BROKEN);
        return 0;
    }
    if (errstr == h2o_http1client_error_is_eos) {
        keep_rest(call, client->sock);
        end_call(call, GGW_CALL_WHOLE);
        return 0;
    }
    if (errstr != NULL) {
        end_call(call, GGW_CALL_BROKEN);
        return 0;
    }
    arm(call, call->spec.progress_timeout);
    if (client->sock->input->size >= PAUSE_BYTES) {
        pause_reading(call);
    }
    if (client->sock->input->size == 0) {
        return 0;
    }
    call->in_client = true;
    call->ops->body(call->data);
    call->in_client = false;
    if (call->dead) {
        free_call(call);
        return 1; /* h2o closes the connection */
    }
    return 0;
}

/*
 * Checks how the end of the body is stated. Without a length or chunks, the
 * end of the connection would be the end of the body, and a short response
 * would look whole; with both, two readers could disagree.
 */
static bool
framing_ok(const struct ggw_call *call, int status,
           const h2o_header_t *headers, size_t len, size_t *content_length)
{
    int lengths = 0;
    int chunked = 0;

    *content_length = SIZE_MAX;
    for (size_t i = 0; i < len; i++) {
        const h2o_iovec_t *name = headers[i].name;

        if (h2o_lcstris(name->base, name->len, H2O_STRLIT("content-length"))) {
            lengths++;
            *content_length =
                h2o_strtosize(headers[i].value.base, headers[i].value.len);
        }
        else if (h2o_lcstris(name->base, name->len,
                             H2O_STRLIT("transfer-encoding"))) {
            chunked++;
        }
    }
    if (lengths + chunked > 1 ||
        (lengths == 1 && *content_length == SIZE_MAX)) {
        return false;
    }
    if (status == 204) {
        return chunked == 0 && (lengths == 0 || *content_length == 0);
    }
    if (call->spec.is_head || status == 304) {
        return true;
    }
    return lengths + chunked == 1;
}

/*
 * A server that sends one response too many would answer the next request
 * with it. Servers that return the id make this visible.
 */
static bool
id_ok(const struct ggw_call *call, const h2o_header_t *headers, size_t len)
{
    const h2o_iovec_t *id = &call->spec.id;

    for (size_t i = 0; i < len && id->base != NULL; i++) {
        const h2o_iovec_t *name = headers[i].name;

        if (h2o_lcstris(name->base, name->len,
                        H2O_STRLIT("greengageway-request"))) {
            return h2o_memis(headers[i].value.base, headers[i].value.len,
                             id->base, id->len);
        }
    }
    return true;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *errstr, int minor_version,
        int status, h2o_iovec_t msg, h2o_header_t *headers, size_t num_headers,
        int rlen)
{
    struct ggw_call *call = client->data;
    bool eos = errstr == h2o_http1client_error_is_eos;
    struct ggw_call_head head = {.status = status,
                                 .reason = msg,
                                 .headers = headers,
                                 .headers_len = num_headers};

    if (errstr != NULL && !eos) {
        end_call(call, GGW_CALL_BROKEN);
        return NULL;
    }
    if (!id_ok(call, headers, num_headers) ||
        !framing_ok(call, status, headers, num_headers,
                    &head.content_length)) {
        /* h2o would keep the connection when it expects no body. */
        h2o_socket_close(h2o_http1client_steal_socket(client));
        end_call(call, GGW_CALL_BROKEN);
        return NULL;
    }
    call->head_at = now_ms();
    arm(call, call->spec.progress_timeout);
    call->in_client = true;
    call->ops->head(call->data, &head);
    call->in_client = false;
    if (call->dead) {
        free_call(call);
        return NULL;
    }
    if (eos) {
        end_call(call, GGW_CALL_WHOLE);
        return NULL;
    }
    return on_body;
}

static void
set_options(h2o_socket_t *sock)
{
    int fd = h2o_socket_get_fd(sock);
    int on = 1;
    int user_timeout = TCP_USER_TIMEOUT_MS;
    int idle = 5, interval = 2, count = 3; /* seconds, seconds, probes */

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
               sizeof(user_timeout));
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *errstr,
           h2o_iovec_t **reqbufs, size_t *reqbufcnt, int *method_is_head)
{
    static uint64_t *opened;
    struct ggw_call *call = client->data;

    if (errstr != NULL) {
        end_call(call, GGW_CALL_NOT_SENT);
        return NULL;
    }
    /* A connection from the pool is handed over inside the first call. */
    if (!call->starting) {
        if (opened == NULL) {
            opened = ggw_counter("ggw_connections_opened_total");
        }
        (*opened)++;
        set_options(client->sock);
    }
    call->connected = true;
    call->bufs[0] = call->spec.head;
    call->bufs[1] = call->spec.body;
    *reqbufs = call->bufs;
    *reqbufcnt = call->spec.body.len > 0 ? 2 : 1;
    *method_is_head = call->spec.is_head;
    call->sent_at = now_ms();
    arm(call, MIN(call->spec.patience, HEAD_TICK_MS));
    return on_head;
}

struct ggw_call *
ggw_call_new(struct ggw_pool *pool, const struct ggw_call_spec *spec,
             const struct ggw_call_ops *ops, void *data)
{
    struct ggw_call *call = g_new0(struct ggw_call, 1);

    call->pool = pool;
    call->spec = *spec;
    call->ops = ops;
    call->data = data;
    uv_timer_init(pool->client->loop, &call->timer);
    call->timer.data = call;
    call->counted = true;
    call->started_at = now_ms();
    pool->used++;
    arm(call, spec->connect_timeout);
    call->starting = true;
    if (spec->fresh) {
        h2o_http1client_connect(&call->client, call, pool->client,
                                h2o_iovec_init(pool->host, strlen(pool->host)),
                                pool->port, 0, on_connect);
    }
    else {
        h2o_http1client_connect_with_pool(&call->client, call, pool->client,
                                          &pool->sockets, on_connect);
    }
    call->starting = false;
    if (call->pending) {
        call->client = NULL;
        arm(call, 0);
    }
    return call;
}

ggw_ms
ggw_call_latency(const struct ggw_call *call)
{
    if (!call->connected) {
        return 0;
    }
    return (call->head_at > 0 ? call->head_at : now_ms()) - call->sent_at;
}

void
ggw_call_destroy(struct ggw_call *call)
{
    if (call == NULL) {
        return;
    }
    uv_timer_stop(&call->timer);
    call->paused = NULL;
    if (call->counted) {
        call->counted = false;
        call->pool->used--;
    }
    if (call->in_client) {
        call->dead = true;
        call->client = NULL;
        return;
    }
    if (call->client != NULL) {
        h2o_http1client_cancel(call->client);
    }
    free_call(call);
}
