#include "tests/relay.h"

#include <CUnit/CUnit.h>
#include <stdbool.h>
#include <string.h>

/**
 * struct pair - an accepted connection and its connection to the target
 * @ends: [0] accepted, [1] to the target
 * @silent: received data is dropped and the end of the stream is ignored
 * @closed: number of ends that libuv has closed
 */
struct pair {
    struct relay *relay;
    uv_tcp_t ends[2];
    uv_connect_t connect;
    bool silent;
    bool closing;
    int closed;
};

/* Received data that is being written to the other end. */
struct chunk {
    uv_write_t req;
    char *data;
};

static void
end_closed_cb(uv_handle_t *handle)
{
    struct pair *p = handle->data;

    if (++p->closed == 2) {
        g_ptr_array_remove(p->relay->pairs, p);
        g_free(p);
    }
}

static void
close_pair(struct pair *p)
{
    if (!p->closing) {
        p->closing = true;
        uv_close((uv_handle_t *)&p->ends[0], end_closed_cb);
        uv_close((uv_handle_t *)&p->ends[1], end_closed_cb);
    }
}

static void
written_cb(uv_write_t *req, int status)
{
    struct chunk *c = req->data;

    g_free(c->data);
    g_free(c);
}

static void
alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    buf->base = g_malloc(suggested);
    buf->len = suggested;
}

static void
read_cb(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    struct pair *p = stream->data;
    uv_tcp_t *other =
        (uv_tcp_t *)stream == &p->ends[0] ? &p->ends[1] : &p->ends[0];

    if (n > 0 && !p->silent && !p->closing) {
        struct chunk *c = g_new0(struct chunk, 1);
        uv_buf_t out = uv_buf_init(buf->base, (unsigned)n);

        c->data = buf->base;
        c->req.data = c;
        if (uv_write(&c->req, (uv_stream_t *)other, &out, 1, written_cb) < 0) {
            written_cb(&c->req, 0);
        }
        return;
    }
    g_free(buf->base);
    if (n < 0 && !p->silent) {
        close_pair(p);
    }
    else if (n < 0) {
        uv_read_stop(stream);
    }
}

static void
connect_cb(uv_connect_t *req, int status)
{
    struct pair *p = req->data;

    if (p->closing) {
        return;
    }
    if (status < 0) {
        close_pair(p);
        return;
    }
    uv_read_start((uv_stream_t *)&p->ends[0], alloc_cb, read_cb);
    uv_read_start((uv_stream_t *)&p->ends[1], alloc_cb, read_cb);
}

static void
connection_cb(uv_stream_t *listener, int status)
{
    struct relay *r = listener->data;
    struct pair *p = g_new0(struct pair, 1);

    uv_tcp_init(listener->loop, &p->ends[0]);
    uv_tcp_init(listener->loop, &p->ends[1]);
    p->relay = r;
    p->ends[0].data = p;
    p->ends[1].data = p;
    p->connect.data = p;
    g_ptr_array_add(r->pairs, p);
    uv_accept(listener, (uv_stream_t *)&p->ends[0]);
    if (r->mode == RELAY_CUT) {
        close_pair(p);
        return;
    }
    uv_tcp_connect(&p->connect, &p->ends[1], (struct sockaddr *)&r->target,
                   connect_cb);
    /* Nagle's algorithm would hold a small frame back until the peer has
     * acknowledged the one before it. */
    uv_tcp_nodelay(&p->ends[0], 1);
    uv_tcp_nodelay(&p->ends[1], 1);
}

void
relay_start(struct relay *r, uv_loop_t *loop, const struct sockaddr_in *from,
            const struct sockaddr_in *to)
{
    r->mode = RELAY_FORWARD;
    r->target = *to;
    r->pairs = g_ptr_array_new();
    uv_tcp_init(loop, &r->listener);
    r->listener.data = r;
    uv_tcp_bind(&r->listener, (const struct sockaddr *)from, 0);
    CU_ASSERT_EQUAL_FATAL(
        uv_listen((uv_stream_t *)&r->listener, 16, connection_cb), 0);
}

void
relay_silence(struct relay *r)
{
    for (guint i = 0; i < r->pairs->len; i++) {
        ((struct pair *)g_ptr_array_index(r->pairs, i))->silent = true;
    }
}

void
relay_set_mode(struct relay *r, enum relay_mode mode)
{
    r->mode = mode;
    for (guint i = 0; mode == RELAY_CUT && i < r->pairs->len; i++) {
        close_pair(g_ptr_array_index(r->pairs, i));
    }
}

void
relay_stop(struct relay *r)
{
    relay_set_mode(r, RELAY_CUT);
    uv_close((uv_handle_t *)&r->listener, NULL);
}
