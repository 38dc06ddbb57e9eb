#include "tests/soak/wire.h"

#include <string.h>
#include <sys/socket.h>

/* More bytes of a body are dropped; it is above the length of all bodies. */
#define MAX_BODY_BYTES ((size_t)4 * 1024 * 1024)

/* Bytes that a client reads at a time if it reads slowly. */
#define PACED_BYTES ((size_t)64 * 1024)

/* A write in progress with its copy of the bytes. */
struct write {
    uv_write_t req;
    char *bytes;
};

static void
close_cb(uv_handle_t *handle)
{
    struct soak_wire *w = handle->data;

    w->ops->closed(w);
    g_string_free(w->url, TRUE);
    g_string_free(w->body, TRUE);
    g_string_free(w->field, TRUE);
    g_string_free(w->value, TRUE);
    g_string_free(w->unsent, TRUE);
    g_hash_table_unref(w->headers);
    g_free(w);
}

/* libuv's own function does not reset while a shutdown is in progress. */
static void
reset_on_close(struct soak_wire *w)
{
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};
    int fd;

    if (uv_fileno((const uv_handle_t *)&w->tcp, &fd) == 0) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
}

void
soak_wire_close(struct soak_wire *w, bool reset)
{
    if (w->closing) {
        return;
    }
    w->closing = true;
    if (reset) {
        reset_on_close(w);
    }
    uv_close((uv_handle_t *)&w->tcp, close_cb);
}

static struct soak_wire *
wire_of(http_parser *parser)
{
    return parser->data;
}

/* Stores the header that was parsed last, if it is complete. */
static void
store_header(struct soak_wire *w)
{
    if (w->field->len > 0 && w->value->len > 0) {
        g_hash_table_replace(w->headers, g_ascii_strdown(w->field->str, -1),
                             g_strdup(w->value->str));
        g_string_truncate(w->field, 0);
        g_string_truncate(w->value, 0);
    }
}

static int
on_begin(http_parser *parser)
{
    struct soak_wire *w = wire_of(parser);

    w->message_started = true;
    g_string_truncate(w->url, 0);
    g_string_truncate(w->body, 0);
    g_string_truncate(w->field, 0);
    g_string_truncate(w->value, 0);
    g_hash_table_remove_all(w->headers);
    return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
    g_string_append_len(wire_of(parser)->url, at, (gssize)len);
    return 0;
}

static int
on_field(http_parser *parser, const char *at, size_t len)
{
    store_header(wire_of(parser));
    g_string_append_len(wire_of(parser)->field, at, (gssize)len);
    return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
    g_string_append_len(wire_of(parser)->value, at, (gssize)len);
    return 0;
}

static int
on_headers(http_parser *parser)
{
    store_header(wire_of(parser));
    return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    GString *body = wire_of(parser)->body;

    if (body->len < MAX_BODY_BYTES) {
        g_string_append_len(body, at, (gssize)len);
    }
    return 0;
}

static int
on_complete(http_parser *parser)
{
    struct soak_wire *w = wire_of(parser);

    w->message_started = false;
    ggw_response_check_init(&w->check, false); /* of the next response */
    if (!w->closing) {
        w->ops->message(w);
    }
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

static void
alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    static char buffer[PACED_BYTES];

    *buf = uv_buf_init(buffer, sizeof(buffer));
}

/*
 * Whether the peer has closed the stream in order. libuv also reports UV_EOF
 * for a connection that was reset behind the bytes it has read.
 */
static bool
ended_in_order(const struct soak_wire *w)
{
    char byte;
    int fd;

    return uv_fileno((const uv_handle_t *)&w->tcp, &fd) == 0 &&
           recv(fd, &byte, sizeof(byte), MSG_DONTWAIT) == 0;
}

static void
read_end(struct soak_wire *w, bool in_order)
{
    if (in_order) {
        http_parser_execute(&w->parser, &parser_settings, NULL, 0);
    }
    soak_wire_close(w, !in_order);
}

/* Reads bytes; returns whether they are a part of a message. */
static bool
parse(struct soak_wire *w, const char *bytes, size_t len)
{
    if (w->parser.type == HTTP_RESPONSE &&
        ggw_response_check_add(&w->check, bytes, len) < len) {
        return false;
    }
    return http_parser_execute(&w->parser, &parser_settings, bytes, len) ==
           len;
}

static void
read_cb(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    struct soak_wire *w = stream->data;
    size_t len = n > 0 ? (size_t)n : 0;

    if (n == 0) {
        return;
    }
    if (n < 0) {
        read_end(w, n == UV_EOF && ended_in_order(w));
        return;
    }
    if (w->paced) {
        uv_read_stop(stream);
    }
    if (!parse(w, buf->base, len)) {
        w->malformed = true;
        soak_wire_close(w, false);
    }
}

void
soak_wire_resume(struct soak_wire *w)
{
    if (w->connected && !w->closing) {
        uv_read_start((uv_stream_t *)&w->tcp, alloc_cb, read_cb);
    }
}

void
soak_wire_set_paced(struct soak_wire *w, bool paced)
{
    w->paced = paced;
    soak_wire_resume(w);
}

static struct soak_wire *
wire_new(uv_loop_t *loop, const struct soak_wire_ops *ops, void *data,
         enum http_parser_type type)
{
    struct soak_wire *w = g_new0(struct soak_wire, 1);

    w->ops = ops;
    w->data = data;
    w->url = g_string_new(NULL);
    w->body = g_string_new(NULL);
    w->field = g_string_new(NULL);
    w->value = g_string_new(NULL);
    w->unsent = g_string_new(NULL);
    w->headers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    ggw_response_check_init(&w->check, false);
    http_parser_init(&w->parser, type);
    w->parser.data = w;
    uv_tcp_init(loop, &w->tcp);
    w->tcp.data = w;
    w->connect.data = w;
    return w;
}

static void
start_reading(struct soak_wire *w)
{
    w->connected = true;
    uv_tcp_nodelay(&w->tcp, 1);
    uv_read_start((uv_stream_t *)&w->tcp, alloc_cb, read_cb);
}

static void
connect_cb(uv_connect_t *req, int status)
{
    struct soak_wire *w = req->data;

    if (w->closing) {
        return;
    }
    if (status != 0) {
        soak_wire_close(w, false);
        return;
    }
    start_reading(w);
    soak_wire_send(w, w->unsent->str, w->unsent->len);
}

struct soak_wire *
soak_wire_connect(uv_loop_t *loop, const struct sockaddr_in *to,
                  const struct soak_wire_ops *ops, void *data)
{
    struct soak_wire *w = wire_new(loop, ops, data, HTTP_RESPONSE);

    if (uv_tcp_connect(&w->connect, &w->tcp, (const struct sockaddr *)to,
                       connect_cb) != 0) {
        soak_wire_close(w, false);
    }
    return w;
}

struct soak_wire *
soak_wire_accept(uv_stream_t *listener, const struct soak_wire_ops *ops,
                 void *data)
{
    struct soak_wire *w = wire_new(listener->loop, ops, data, HTTP_REQUEST);

    if (uv_accept(listener, (uv_stream_t *)&w->tcp) != 0) {
        soak_wire_close(w, false);
        return NULL;
    }
    start_reading(w);
    return w;
}

static void
write_cb(uv_write_t *req, int status)
{
    struct write *out = (struct write *)req;
    struct soak_wire *w = req->handle->data;

    g_free(out->bytes);
    g_free(out);
    if (status != 0) {
        soak_wire_close(w, false);
    }
}

void
soak_wire_send(struct soak_wire *w, const char *bytes, size_t len)
{
    struct write *out;
    uv_buf_t buf;

    if (w->closing || len == 0) {
        return;
    }
    if (!w->connected) {
        g_string_append_len(w->unsent, bytes, (gssize)len);
        return;
    }
    out = g_new0(struct write, 1);
    out->bytes = g_memdup2(bytes, len);
    buf = uv_buf_init(out->bytes, (unsigned)len);
    if (uv_write(&out->req, (uv_stream_t *)&w->tcp, &buf, 1, write_cb) != 0) {
        g_free(out->bytes);
        g_free(out);
        soak_wire_close(w, false);
    }
}

size_t
soak_wire_unsent(const struct soak_wire *w)
{
    return uv_stream_get_write_queue_size((const uv_stream_t *)&w->tcp);
}

static void
shutdown_cb(uv_shutdown_t *req, int status)
{
    if (status != 0) {
        soak_wire_close(req->handle->data, false);
    }
}

void
soak_wire_end(struct soak_wire *w)
{
    if (w->closing || w->ending) {
        return;
    }
    w->ending = true;
    if (uv_shutdown(&w->shutdown, (uv_stream_t *)&w->tcp, shutdown_cb) != 0) {
        soak_wire_close(w, true);
    }
}

const char *
soak_wire_header(const struct soak_wire *w, const char *name)
{
    return g_hash_table_lookup(w->headers, name);
}
