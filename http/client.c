#include "http/client.h"

#include <glib.h>
#include <http_parser.h>
#include <math.h>
#include <string.h>
#include <strings.h>

#include "http/conn.h"

/* A response is not read further while this many bytes wait for the client. */
#define PAUSE_BYTES 65536

/* Longest head of a response. */
#define HEAD_MAX 65536

/* A connection is kept for this time, or for less if the server says so. */
#define IDLE_MS 5000

/* A connection is closed this long before the server would close it. */
#define IDLE_MARGIN_MS 1000

/* A head with more headers than this is malformed. */
#define HEADERS_MAX 100

struct header {
    h2o_iovec_t name;
    GString *name_text;
    GString *value_text;
};

struct ggw_call {
    struct ggw_pool *pool;
    struct ggw_call_spec spec;
    const struct ggw_call_ops *ops;
    void *data;

    struct ggw_http_conn *conn; /* NULL once the call has ended */
    http_parser parser;
    uv_timer_t timer;
    bool connected; /* the first byte may have left */
    bool in_parser; /* inside http_parser_execute() */
    bool dead;      /* destroyed inside it */
    bool asked;     /* ops->slow was called */
    bool complete;  /* the last byte of the response has arrived */
    bool reading_head;
    ggw_ms started_at;
    ggw_ms sent_at;
    ggw_ms head_at;

    GString *reason;
    GPtrArray *headers; /* of struct header */
    bool value_open;    /* the last header already has a value */
    size_t head_bytes;
    size_t content_length;
    bool may_keep;
    ggw_ms keep_for;
    h2o_buffer_t *rest; /* bytes of the body that were not taken */
};

static ggw_ms
now_ms(void)
{
    return (ggw_ms)uv_hrtime() / 1e6;
}

static void
header_free(gpointer data)
{
    struct header *h = data;

    g_string_free(h->name_text, TRUE);
    g_string_free(h->value_text, TRUE);
    g_free(h);
}

static void
timer_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void
free_call(struct ggw_call *call)
{
    h2o_buffer_dispose(&call->rest);
    g_ptr_array_unref(call->headers);
    g_string_free(call->reason, TRUE);
    uv_close((uv_handle_t *)&call->timer, timer_closed);
}

/* Gives the connection back, or closes it. */
static void
release_conn(struct ggw_call *call, bool keep)
{
    struct ggw_http_conn *conn = call->conn;

    if (conn == NULL) {
        return;
    }
    call->conn = NULL;
    call->pool->active_calls--;
    if (keep) {
        ggw_http_conn_keep(conn, call->keep_for);
    }
    else {
        ggw_http_conn_close(conn);
    }
}

static void
end_call(struct ggw_call *call, enum ggw_call_end end, bool keep)
{
    uv_timer_stop(&call->timer);
    release_conn(call, keep);
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
    ggw_ms limit = call->started_at + call->spec.head_timeout - now;

    return call->asked
               ? limit
               : MIN(limit, call->sent_at + call->spec.slow_timeout - now);
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
    arm(call, due);
    return true;
}

static void
timer_cb(uv_timer_t *timer)
{
    struct ggw_call *call = timer->data;

    if (call->connected && call->head_at == 0 && wait_for_head(call)) {
        return;
    }
    end_call(call, call->connected ? GGW_CALL_TIMED_OUT : GGW_CALL_NOT_SENT,
             false);
}

bool
ggw_call_read_body(struct ggw_call *call, h2o_buffer_t **buffer)
{
    h2o_buffer_t *swap;

    if (call->rest->size == 0) {
        return false;
    }
    swap = *buffer;
    *buffer = call->rest;
    call->rest = swap;
    if (call->conn != NULL && !call->conn->reading) {
        ggw_http_conn_pause(call->conn, false);
        arm(call, call->spec.progress_timeout);
    }
    return true;
}

static struct ggw_call *
call_of(http_parser *parser)
{
    return parser->data;
}

static int
count_head(struct ggw_call *call, size_t len)
{
    call->head_bytes += len;
    return call->head_bytes > HEAD_MAX || call->headers->len > HEADERS_MAX;
}

static int
on_status(http_parser *parser, const char *at, size_t len)
{
    struct ggw_call *call = call_of(parser);

    g_string_append_len(call->reason, at, (gssize)len);
    return count_head(call, len);
}

static int
on_header_field(http_parser *parser, const char *at, size_t len)
{
    struct ggw_call *call = call_of(parser);
    struct header *h;

    if (!call->reading_head) {
        return 0; /* a trailer */
    }
    if (call->headers->len == 0 || call->value_open) {
        h = g_new0(struct header, 1);
        h->name_text = g_string_new(NULL);
        h->value_text = g_string_new(NULL);
        g_ptr_array_add(call->headers, h);
        call->value_open = false;
    }
    h = g_ptr_array_index(call->headers, call->headers->len - 1);
    g_string_append_len(h->name_text, at, (gssize)len);
    return count_head(call, len);
}

static int
on_header_value(http_parser *parser, const char *at, size_t len)
{
    struct ggw_call *call = call_of(parser);
    struct header *h;

    if (!call->reading_head) {
        return 0;
    }
    call->value_open = true;
    h = g_ptr_array_index(call->headers, call->headers->len - 1);
    g_string_append_len(h->value_text, at, (gssize)len);
    return count_head(call, len);
}

static const char *
find_header(const struct ggw_call *call, const char *name)
{
    for (guint i = 0; i < call->headers->len; i++) {
        const struct header *h = g_ptr_array_index(call->headers, i);

        if (strcasecmp(h->name_text->str, name) == 0) {
            return h->value_text->str;
        }
    }
    return NULL;
}

/*
 * A server that sends one response too many would answer the next request
 * with it. Servers that return the id make this visible.
 */
static bool
id_ok(const struct ggw_call *call)
{
    const h2o_iovec_t *id = &call->spec.id;
    const char *text;

    if (id->base == NULL) {
        return true;
    }
    text = find_header(call, call->spec.id_name);
    if (text == NULL) {
        return !call->spec.id_required;
    }
    return strlen(text) == id->len && memcmp(text, id->base, id->len) == 0;
}

/* "Keep-Alive: timeout=N" with N in seconds. */
static ggw_ms
keep_time(const struct ggw_call *call)
{
    const char *text = find_header(call, "keep-alive");
    const char *timeout = text != NULL ? strstr(text, "timeout=") : NULL;
    ggw_ms limit;

    if (timeout == NULL) {
        return IDLE_MS;
    }
    limit =
        1e3 * (ggw_ms)g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10);
    return MIN(IDLE_MS, MAX(limit - IDLE_MARGIN_MS, limit / 2));
}

static void
fill_headers(const struct ggw_call *call, h2o_header_t *out)
{
    for (guint i = 0; i < call->headers->len; i++) {
        struct header *h = g_ptr_array_index(call->headers, i);

        h->name = h2o_iovec_init(h->name_text->str, h->name_text->len);
        out[i] = (h2o_header_t){
            .name = &h->name,
            .value = h2o_iovec_init(h->value_text->str, h->value_text->len),
        };
    }
}

static bool
is_interim(const http_parser *parser)
{
    return parser->status_code >= 100 && parser->status_code < 200;
}

static bool
ends_with_connection(const struct ggw_call *call, const http_parser *parser)
{
    return !call->spec.is_head && parser->status_code != 204 &&
           parser->status_code != 304 &&
           (parser->flags & (F_CONTENTLENGTH | F_CHUNKED)) == 0;
}

static int
on_headers_complete(http_parser *parser)
{
    struct ggw_call *call = call_of(parser);
    h2o_header_t headers[HEADERS_MAX + 1];
    struct ggw_call_head head = {
        .status = (int)parser->status_code,
        .reason = h2o_iovec_init(call->reason->str, call->reason->len),
        .headers = headers,
        .headers_len = call->headers->len,
    };

    if (is_interim(parser)) {
        return 0;
    }
    call->reading_head = false;
    if (!id_ok(call)) {
        return -1;
    }
    call->head_at = now_ms();
    call->content_length = (parser->flags & F_CONTENTLENGTH) != 0
                               ? (size_t)parser->content_length
                               : SIZE_MAX;
    call->may_keep = http_should_keep_alive(parser) != 0;
    call->keep_for = keep_time(call);
    head.content_length = call->content_length;
    head.close_delimited = ends_with_connection(call, parser);
    head.may_keep = call->may_keep;
    fill_headers(call, headers);
    arm(call, call->spec.progress_timeout);
    call->ops->head(call->data, &head);
    if (call->dead) {
        return -1;
    }
    return call->spec.is_head ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    struct ggw_call *call = call_of(parser);
    h2o_iovec_t space = h2o_buffer_reserve(&call->rest, len);

    memcpy(space.base, at, len);
    call->rest->size += len;
    arm(call, call->spec.progress_timeout);
    if (call->rest->size >= PAUSE_BYTES && call->conn != NULL) {
        ggw_http_conn_pause(call->conn, true);
        uv_timer_stop(&call->timer);
    }
    call->ops->body(call->data);
    return call->dead ? -1 : 0;
}

static int
on_message_complete(http_parser *parser)
{
    struct ggw_call *call = call_of(parser);

    if (is_interim(parser)) {
        g_ptr_array_set_size(call->headers, 0);
        g_string_truncate(call->reason, 0);
        call->value_open = false;
        return 0;
    }
    call->complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_status = on_status,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/* Runs the parser; returns false when the call is gone. */
static bool
parse(struct ggw_call *call, const char *bytes, size_t len, size_t *used)
{
    call->in_parser = true;
    *used = http_parser_execute(&call->parser, &parser_settings, bytes, len);
    call->in_parser = false;
    if (call->dead) {
        free_call(call);
        return false;
    }
    return true;
}

static void
conn_data(void *user, const char *bytes, size_t len)
{
    struct ggw_call *call = user;
    size_t used;
    bool request_left, keep;

    if (!parse(call, bytes, len, &used)) {
        return;
    }
    if (call->complete) {
        /* A response before the whole request leaves bytes on their way. */
        request_left = call->conn->writes == 0;
        keep = call->may_keep && used == len && request_left &&
               !call->spec.new_connection;
        end_call(call, GGW_CALL_COMPLETE, keep);
    }
    else if (HTTP_PARSER_ERRNO(&call->parser) != HPE_OK) {
        end_call(call, GGW_CALL_BROKEN, false);
    }
}

static void
conn_closed(void *user, bool clean)
{
    struct ggw_call *call = user;
    size_t used;

    if (!call->connected) {
        end_call(call, GGW_CALL_NOT_SENT, false);
        return;
    }
    /* Without a length, the orderly end of the stream ends the body. */
    if (clean && call->head_at > 0 && !parse(call, NULL, 0, &used)) {
        return;
    }
    end_call(call, call->complete ? GGW_CALL_COMPLETE : GGW_CALL_BROKEN,
             false);
}

static void
send_request(struct ggw_call *call)
{
    h2o_iovec_t head = call->spec.head;
    h2o_iovec_t body = call->spec.body;
    g_autoptr(GString) text = g_string_sized_new(head.len + body.len);

    g_string_append_len(text, head.base, (gssize)head.len);
    if (body.len > 0) {
        g_string_append_len(text, body.base, (gssize)body.len);
    }
    call->connected = true;
    call->sent_at = now_ms();
    ggw_http_conn_write(call->conn, text->str, text->len);
    arm(call, MAX(head_due(call), 0));
}

static void
conn_opened(void *user)
{
    send_request(user);
}

static const struct ggw_http_conn_ops conn_ops = {
    .opened = conn_opened,
    .data = conn_data,
    .closed = conn_closed,
};

struct ggw_call *
ggw_call_new(struct ggw_pool *pool, const struct ggw_call_spec *spec,
             const struct ggw_call_ops *ops, void *data)
{
    struct ggw_call *call = g_new0(struct ggw_call, 1);

    call->pool = pool;
    call->spec = *spec;
    call->ops = ops;
    call->data = data;
    call->reading_head = true;
    call->reason = g_string_new(NULL);
    call->headers = g_ptr_array_new_with_free_func(header_free);
    h2o_buffer_init(&call->rest, &h2o_socket_buffer_prototype);
    http_parser_init(&call->parser, HTTP_RESPONSE);
    call->parser.data = call;
    uv_timer_init(pool->loop, &call->timer);
    call->timer.data = call;
    call->started_at = now_ms();
    pool->active_calls++;
    call->conn =
        ggw_http_conn_get(pool, spec->new_connection, &conn_ops, call);
    if (call->conn->open) {
        send_request(call);
    }
    else {
        arm(call, spec->connect_timeout);
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
    release_conn(call, false);
    if (call->in_parser) {
        call->dead = true;
        return;
    }
    free_call(call);
}
