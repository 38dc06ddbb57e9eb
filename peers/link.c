#include "peers/link.h"

#include "common/metrics.h"

/*
 * Maximum number of bytes that wait in libuv's write queue. More accumulate
 * only if the other end does not read.
 */
#define MAX_UNSENT_BYTES (4 * 1024 * 1024)

/* Size of the read buffer in bytes. */
#define READ_SIZE (64 * 1024)

/**
 * struct pending_write - a write in progress
 * @req: libuv's request
 * @bytes: the bytes being written; owned by this struct
 */
struct pending_write {
    uv_write_t req;
    GByteArray *bytes;
};

static void
link_free_cb(uv_handle_t *handle)
{
    struct ggw_link *l = handle->data;

    ggw_frame_decoder_free(l->decoder);
    g_byte_array_unref(l->out);
    g_free(l);
}

void
ggw_link_close(struct ggw_link *link, const char *reason)
{
    if (link->closing) {
        return;
    }
    link->closing = true;
    link->ops->closed(link, reason);
    uv_close((uv_handle_t *)&link->tcp, link_free_cb);
}

static void
alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    /*
     * libuv calls read_cb() right after this callback, before it asks for
     * another buffer, so that all links of a thread can share one.
     */
    static _Thread_local char input[READ_SIZE];

    buf->base = input;
    buf->len = sizeof(input);
}

static void
read_frames(struct ggw_link *l)
{
    enum ggw_frame_status status = GGW_FRAME_READY;
    struct ggw_frame frame;

    while (!l->closing) {
        status = ggw_frame_next(l->decoder, &frame);
        if (status != GGW_FRAME_READY) {
            break;
        }
        if (!l->ops->frame(l, &frame)) {
            ggw_link_close(l, "payload");
            return;
        }
    }
    if (!l->closing && status != GGW_FRAME_MORE) {
        ggw_link_close(l, ggw_frame_status_name(status));
    }
}

static void
read_cb(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    struct ggw_link *l = stream->data;

    if (n > 0) {
        *ggw_counter("ggw_peer_bytes_received_total") += (uint64_t)n;
        ggw_frame_feed(l->decoder, buf->base, (size_t)n);
        read_frames(l);
    }
    else if (n < 0) {
        bool truncated = ggw_frame_pending(l->decoder) > 0;

        ggw_link_close(l, truncated ? "truncated" : "ended");
    }
}

static void
on_connected(struct ggw_link *l)
{
    uv_tcp_nodelay(&l->tcp, 1);
    uv_read_start((uv_stream_t *)&l->tcp, alloc_cb, read_cb);
    l->ops->opened(l);
}

static void
connect_cb(uv_connect_t *req, int status)
{
    struct ggw_link *l = req->data;

    if (l->closing) {
        return;
    }
    if (status < 0) {
        ggw_link_close(l, "refused");
        return;
    }
    on_connected(l);
}

static struct ggw_link *
link_new(uv_loop_t *loop, const struct ggw_link_ops *ops, void *data)
{
    struct ggw_link *l = g_new0(struct ggw_link, 1);

    l->ops = ops;
    l->data = data;
    l->decoder = ggw_frame_decoder_new();
    l->out = g_byte_array_new();
    uv_tcp_init(loop, &l->tcp);
    l->tcp.data = l;
    l->connect.data = l;
    return l;
}

struct ggw_link *
ggw_link_dial(uv_loop_t *loop, const struct sockaddr *address,
              const struct ggw_link_ops *ops, void *data)
{
    struct ggw_link *l = link_new(loop, ops, data);

    if (uv_tcp_connect(&l->connect, &l->tcp, address, connect_cb) < 0) {
        l->closing = true;
        uv_close((uv_handle_t *)&l->tcp, link_free_cb);
        return NULL;
    }
    return l;
}

struct ggw_link *
ggw_link_accept(uv_stream_t *listener, const struct ggw_link_ops *ops,
                void *data)
{
    struct ggw_link *l = link_new(listener->loop, ops, data);

    if (uv_accept(listener, (uv_stream_t *)&l->tcp) < 0) {
        l->closing = true;
        uv_close((uv_handle_t *)&l->tcp, link_free_cb);
        return NULL;
    }
    on_connected(l);
    return l;
}

void
ggw_link_limit_frames(struct ggw_link *link, uint32_t max)
{
    ggw_frame_limit(link->decoder, max);
}

bool
ggw_link_send(struct ggw_link *link, int type, uint64_t request_id,
              const void *payload, size_t len)
{
    return ggw_frame_encode(link->out, type, request_id, payload, len);
}

static void
write_cb(uv_write_t *req, int status)
{
    struct pending_write *w = req->data;
    struct ggw_link *l = req->handle->data;

    g_byte_array_unref(w->bytes);
    g_free(w);
    if (status < 0) {
        ggw_link_close(l, "write");
    }
}

void
ggw_link_flush(struct ggw_link *link)
{
    struct pending_write *w;
    uv_buf_t buf;

    if (link->closing || link->out->len == 0) {
        return;
    }
    if (uv_stream_get_write_queue_size((uv_stream_t *)&link->tcp) >
        MAX_UNSENT_BYTES) {
        ggw_link_close(link, "unread");
        return;
    }
    *ggw_counter("ggw_peer_bytes_sent_total") += link->out->len;
    w = g_new(struct pending_write, 1);
    w->bytes = link->out;
    link->out = g_byte_array_new();
    buf = uv_buf_init((char *)w->bytes->data, w->bytes->len);
    w->req.data = w;
    if (uv_write(&w->req, (uv_stream_t *)&link->tcp, &buf, 1, write_cb) < 0) {
        g_byte_array_unref(w->bytes);
        g_free(w);
        ggw_link_close(link, "write");
    }
}
