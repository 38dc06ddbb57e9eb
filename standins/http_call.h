#ifndef GGW_STANDINS_HTTP_CALL_H
#define GGW_STANDINS_HTTP_CALL_H

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>
#include <string.h>

#include "common/fine_timer.h"

/**
 * DOC: HTTP/1.1 client of the stand-ins
 *
 * Wraps h2o's client, with one connection pool per address and a timeout for
 * the whole request.
 */

/**
 * struct http_calls - shared state of all requests of a process
 * @pools: "IP:PORT" to h2o_socketpool_t
 */
struct http_calls {
    uv_loop_t *loop;
    struct ggw_fine_timers *timers;
    h2o_timeout_t io_timeout;
    h2o_http1client_ctx_t ctx;
    GHashTable *pools;
};

/**
 * struct http_call - one request; zeroed before the first http_call_start()
 * @done: called once, possibly from inside http_call_start(); may free @call
 * @data: for the owner
 * @error: NULL when the whole response was read; otherwise "no-connection",
 *         "broken" or "timeout"
 * @sent: the request was handed to a connection
 * @status: HTTP status; 0 without a response
 * @outcome: Greengageway-Outcome header; empty when absent
 * @reason: Greengageway-Reason header; empty when absent
 * @digest: X-Body-Digest header
 * @body: response body; released by http_call_clear()
 */
struct http_call {
    struct http_calls *calls;
    void (*done)(struct http_call *call);
    void *data;
    const char *error;
    bool sent;
    int status;
    char outcome[16], reason[32];
    uint64_t digest;
    GByteArray *body;
    /* private */
    h2o_http1client_t *client;
    struct ggw_fine_timer timer;
    char *request;
    h2o_iovec_t request_iovec;
};

/**
 * http_calls_init() - initialize the shared state of requests on a loop
 */
static inline void
http_calls_init(struct http_calls *calls, uv_loop_t *loop,
                struct ggw_fine_timers *timers)
{
    calls->loop = loop;
    calls->timers = timers;
    /* ms; above every request's own timeout, so it never fires first */
    h2o_timeout_init(loop, &calls->io_timeout, 600000);
    calls->ctx.loop = loop;
    calls->ctx.io_timeout = &calls->io_timeout;
    calls->pools =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* Returns the pool of "IP:PORT", or NULL when the address is malformed. */
static inline h2o_socketpool_t *
http_calls_pool(struct http_calls *calls, const char *address)
{
    h2o_socketpool_t *pool = g_hash_table_lookup(calls->pools, address);
    const char *colon = strchr(address, ':');
    struct sockaddr_in sa;
    char host[64];

    if (pool != NULL || colon == NULL) {
        return pool;
    }
    g_strlcpy(host, address, MIN(sizeof(host), (size_t)(colon - address) + 1));
    if (uv_ip4_addr(host, (int)strtol(colon + 1, NULL, 10), &sa) != 0) {
        return NULL;
    }
    pool = g_new0(h2o_socketpool_t, 1);
    h2o_socketpool_init_by_address(pool, (struct sockaddr *)&sa, sizeof(sa), 0,
                                   SIZE_MAX);
    /*
     * h2o 2.2.5 reads the clock of a pool's loop even when the pool has no
     * timeout; this call gives the pool its loop. The timeout is in ms.
     */
    h2o_socketpool_set_timeout(pool, calls->loop, 8000);
    g_hash_table_insert(calls->pools, g_strdup(address), pool);
    return pool;
}

static inline void
http_call_finish(struct http_call *call, const char *error)
{
    ggw_fine_timer_stop(call->calls->timers, &call->timer);
    call->client = NULL;
    call->error = error;
    g_free(call->request);
    call->request = NULL;
    call->done(call);
}

static inline void
http_call_on_timeout(struct ggw_fine_timer *timer)
{
    struct http_call *call = timer->data;

    if (call->client != NULL) {
        h2o_http1client_cancel(call->client);
    }
    http_call_finish(call, "timeout");
}

static inline int
http_call_on_body(h2o_http1client_t *client, const char *errstr)
{
    struct http_call *call = client->data;

    if (errstr != NULL && errstr != h2o_http1client_error_is_eos) {
        http_call_finish(call, "broken");
        return -1;
    }
    g_byte_array_append(call->body, (guint8 *)client->sock->input->bytes,
                        (guint)client->sock->input->size);
    h2o_buffer_consume(&client->sock->input, client->sock->input->size);
    if (errstr != NULL) {
        http_call_finish(call, NULL);
    }
    return 0;
}

static inline void
http_call_on_header(struct http_call *call, const h2o_header_t *h)
{
    char value[64];

    g_strlcpy(value, h->value.base, MIN(sizeof(value), h->value.len + 1));
    if (h2o_lcstris(h->name->base, h->name->len,
                    H2O_STRLIT("greengageway-outcome"))) {
        g_strlcpy(call->outcome, value, sizeof(call->outcome));
    }
    else if (h2o_lcstris(h->name->base, h->name->len,
                         H2O_STRLIT("greengageway-reason"))) {
        g_strlcpy(call->reason, value, sizeof(call->reason));
    }
    else if (h2o_lcstris(h->name->base, h->name->len,
                         H2O_STRLIT("x-body-digest"))) {
        call->digest = g_ascii_strtoull(value, NULL, 16);
    }
}

static inline h2o_http1client_body_cb
http_call_on_head(h2o_http1client_t *client, const char *errstr,
                  int minor_version, int status, h2o_iovec_t msg,
                  h2o_header_t *headers, size_t num_headers, int rlen)
{
    struct http_call *call = client->data;

    if (errstr != NULL && errstr != h2o_http1client_error_is_eos) {
        http_call_finish(call, "broken");
        return NULL;
    }
    call->status = status;
    for (size_t i = 0; i < num_headers; i++) {
        http_call_on_header(call, &headers[i]);
    }
    if (errstr != NULL) {
        http_call_finish(call, NULL);
        return NULL;
    }
    return http_call_on_body;
}

static inline h2o_http1client_head_cb
http_call_on_connect(h2o_http1client_t *client, const char *errstr,
                     h2o_iovec_t **bufs, size_t *bufcnt, int *method_is_head)
{
    struct http_call *call = client->data;

    if (errstr != NULL) {
        http_call_finish(call, "no-connection");
        return NULL;
    }
    call->sent = true;
    *bufs = &call->request_iovec;
    *bufcnt = 1;
    *method_is_head = 0;
    return http_call_on_head;
}

/**
 * http_call_start() - send a request
 * @call: reusable after its done callback has run
 * @address: "IP:PORT"
 * @headers: header lines, each terminated by CRLF; may be empty
 * @body: request body, or NULL for none
 * @timeout: limit in ms for the whole request, including the connection
 */
static inline void
http_call_start(struct http_calls *calls, struct http_call *call,
                const char *address, const char *method, const char *path,
                const char *headers, const char *body, ggw_ms timeout)
{
    h2o_socketpool_t *pool = http_calls_pool(calls, address);
    char length_header[64] = "";

    call->calls = calls;
    if (call->body == NULL) {
        call->body = g_byte_array_new();
    }
    g_byte_array_set_size(call->body, 0);
    call->sent = false;
    call->status = 0;
    call->outcome[0] = call->reason[0] = '\0';
    if (body != NULL) {
        g_snprintf(length_header, sizeof(length_header),
                   "Content-Length: %zu\r\n", strlen(body));
    }
    call->request = g_strdup_printf("%s %s HTTP/1.1\r\nHost: %s\r\n%s%s\r\n%s",
                                    method, path, address, headers,
                                    length_header, body != NULL ? body : "");
    call->request_iovec = h2o_iovec_init(call->request, strlen(call->request));
    if (pool == NULL) {
        http_call_finish(call, "no-connection");
        return;
    }
    call->timer.data = call;
    ggw_fine_timer_start(calls->timers, &call->timer,
                         ggw_clock_now(ggw_clock_system()) + timeout,
                         http_call_on_timeout);
    h2o_http1client_connect_with_pool(&call->client, call, &calls->ctx, pool,
                                      http_call_on_connect);
}

/**
 * http_call_clear() - release the response body
 */
static inline void
http_call_clear(struct http_call *call)
{
    if (call->body != NULL) {
        g_byte_array_unref(call->body);
        call->body = NULL;
    }
}

#endif
