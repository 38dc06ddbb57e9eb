#include "http/client.h"

#include <glib.h>
#include <http_parser.h>
#include <math.h>
#include <string.h>

#include "common/log.h"
#include "common/metrics.h"
#include "http/conn.h"
#include "http/response_body.h"
#include "http/response_check.h"
#include "http/response_head.h"

/*
 * Reading from the server pauses while this many body bytes are unread, or any
 * when those of all calls are too many.
 */
#define MAX_UNREAD_BYTES 65536

/* Maximum size of a response head, with its interim responses, in bytes. */
#define MAX_HEAD_BYTES 65536

/*
 * An idle connection is closed after this time, or earlier if the server
 * states a shorter timeout in its Keep-Alive header.
 */
#define MAX_IDLE_MS 5000

/*
 * An idle connection is closed this long before the timeout that the server
 * states, so that no request is sent on a connection that the server is
 * closing.
 */
#define IDLE_MARGIN_MS 1000

/* Status of a response without a body, whatever its head says. */
#define NO_CONTENT 204

/* Limit for log lines about malformed responses, lines per second. */
#define MALFORMED_LINES_PER_S 20

static struct ggw_log_event malformed = {
    .part = "http",
    .name = "malformed",
    .level = GGW_LOG_WARN,
    .importance = GGW_LOG_IMPORTANT,
    .max_per_s = MALFORMED_LINES_PER_S,
};

struct ggw_call {
    struct ggw_pool *pool;
    struct ggw_call_spec spec;
    const struct ggw_call_ops *ops;
    void *data;

    struct ggw_http_conn *conn; /* NULL after the call has ended */
    struct ggw_response_check check;
    http_parser parser;
    uv_timer_t timer;
    bool connected;     /* the request may have been sent */
    bool in_parser;     /* http_parser_execute() is running */
    bool destroyed;     /* while in_parser; freed after it */
    bool slow_reported; /* ops->slow was called */
    bool complete;      /* the last byte of the response has arrived */
    bool body_overdue;  /* its time has ended; what has arrived is read */
    bool reading_head;
    bool id_repeated; /* the response carries the id of the request */
    struct ggw_call_facts facts;
    struct ggw_response_body body;
    ggw_ms started_at;
    ggw_ms paused_at;   /* when reading was paused; 0 while reading */
    ggw_ms complete_by; /* end of spec.complete_timeout */
    ggw_ms sent_at;
    ggw_ms head_at;
    ggw_ms progress_at; /* when the timer for the body was last restarted */

    struct ggw_response_head head;
    size_t head_bytes;
    size_t content_length;
    bool keep_alive;
    ggw_ms idle_limit;
    h2o_buffer_t *unread_body; /* not yet read by the caller */
    size_t unread_counted;     /* of them, counted for all calls together */
};

/*
 * Time in ms between the end of the time for a body and its being given up, in
 * which the event loop reads once.
 */
#define READ_FIRST_MS 1

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
count_unread(struct ggw_call *call)
{
    size_t bytes = call->unread_body->size;

    ggw_pools_count_unread(call->pool->pools,
                           (ssize_t)bytes - (ssize_t)call->unread_counted);
    call->unread_counted = bytes;
}

static void
free_call(struct ggw_call *call)
{
    h2o_buffer_consume(&call->unread_body, call->unread_body->size);
    count_unread(call);
    h2o_buffer_dispose(&call->unread_body);
    ggw_response_head_clear(&call->head);
    ggw_response_body_clear(&call->body);
    uv_close((uv_handle_t *)&call->timer, timer_closed);
}

/* Returns the connection to its pool, or closes it. */
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
        ggw_http_conn_release(conn, call->idle_limit);
    }
    else if (call->complete) {
        ggw_http_conn_close(conn);
    }
    else {
        ggw_http_conn_reset(conn);
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
arm_timer(struct ggw_call *call, ggw_ms delay)
{
    /* Rounds up so that the timer never fires early. */
    uv_timer_start(&call->timer, timer_cb,
                   delay > 0 ? (uint64_t)ceil(delay) : 0, 0);
}

/* Milliseconds until the body is given up if no more of it arrives. */
static ggw_ms
time_to_body_timeout(const struct ggw_call *call)
{
    ggw_ms late = call->spec.late_progress_timeout;
    ggw_ms due = call->progress_at + call->spec.progress_timeout;

    if (late > 0) {
        due = MIN(due, MAX(call->progress_at + late,
                           call->started_at + call->spec.head_timeout));
    }
    return MIN(due, call->complete_by) - now_ms();
}

/* Starts the timer for the rest of the body. */
static void
arm_body_timer(struct ggw_call *call)
{
    call->body_overdue = false;
    call->progress_at = now_ms();
    arm_timer(call, time_to_body_timeout(call));
}

static void
pause_reading(struct ggw_call *call)
{
    ggw_http_conn_pause(call->conn, true);
    uv_timer_stop(&call->timer);
    call->paused_at = now_ms();
}

static void
resume_reading(struct ggw_call *call)
{
    ggw_http_conn_pause(call->conn, false);
    call->complete_by += now_ms() - call->paused_at;
    call->paused_at = 0;
    arm_body_timer(call);
}

/*
 * Milliseconds until the timeout for the head or, if it comes earlier and has
 * not been called yet, until ops->slow.
 */
static ggw_ms
time_to_head_timeout(const struct ggw_call *call)
{
    ggw_ms now = now_ms();
    ggw_ms limit = call->started_at + call->spec.head_timeout - now;

    return call->slow_reported
               ? limit
               : MIN(limit, call->sent_at + call->spec.slow_timeout - now);
}

/*
 * Calls ops->slow when it is due and restarts the timer. Returns false when
 * the time for the head has run out or the caller abandons the call.
 */
static bool
keep_waiting_for_head(struct ggw_call *call)
{
    ggw_ms due = time_to_head_timeout(call);

    if (due <= 0 && !call->slow_reported) {
        call->slow_reported = true;
        due = call->ops->slow(call->data) ? 0 : time_to_head_timeout(call);
    }
    if (due <= 0) {
        return false;
    }
    arm_timer(call, due);
    return true;
}

/*
 * Restarts the timer if it has fired early, since an event loop that was busy
 * has an old time, or if nothing was read since the time for the body ended:
 * bytes may have arrived while this process did not run. Returns false when
 * the body is to be given up: at spec.complete_timeout at once, since its
 * bytes may arrive without end.
 */
static bool
keep_waiting_for_body(struct ggw_call *call)
{
    ggw_ms due = time_to_body_timeout(call);

    if (due <= 0 && (call->body_overdue || now_ms() >= call->complete_by)) {
        return false;
    }
    call->body_overdue = due <= 0;
    arm_timer(call, due > 0 ? due : READ_FIRST_MS);
    return true;
}

static void
timer_cb(uv_timer_t *timer)
{
    struct ggw_call *call = timer->data;

    if (call->connected && call->head_at == 0 && keep_waiting_for_head(call)) {
        return;
    }
    if (call->head_at > 0 && keep_waiting_for_body(call)) {
        return;
    }
    if (now_ms() >= call->complete_by) {
        ggw_count("ggw_call_complete_timeouts_total");
    }
    end_call(call, call->connected ? GGW_CALL_TIMED_OUT : GGW_CALL_NOT_SENT,
             false);
}

bool
ggw_call_read_body(struct ggw_call *call, h2o_buffer_t **buffer)
{
    h2o_buffer_t *swap;

    if (call->unread_body->size == 0) {
        return false;
    }
    swap = *buffer;
    *buffer = call->unread_body;
    call->unread_body = swap;
    count_unread(call);
    if (call->conn != NULL && call->paused_at > 0) {
        resume_reading(call);
    }
    return true;
}

static struct ggw_call *
call_from_parser(http_parser *parser)
{
    return parser->data;
}

static int
on_status(http_parser *parser, const char *at, size_t len)
{
    struct ggw_call *call = call_from_parser(parser);

    g_string_append_len(call->head.reason, at, (gssize)len);
    return 0;
}

static int
on_header_field(http_parser *parser, const char *at, size_t len)
{
    struct ggw_call *call = call_from_parser(parser);

    if (!call->reading_head) {
        return 0; /* a trailer field */
    }
    if (!ggw_response_head_name(&call->head, at, len)) {
        call->facts.fault = GGW_FAULT_TOO_LARGE;
        return -1;
    }
    return 0;
}

static int
on_header_value(http_parser *parser, const char *at, size_t len)
{
    struct ggw_call *call = call_from_parser(parser);

    if (call->reading_head) {
        ggw_response_head_value(&call->head, at, len);
    }
    return 0;
}

static const char *
find_header(const struct ggw_call *call, const char *name)
{
    return ggw_response_head_find(&call->head, name);
}

/*
 * Checks that the response belongs to this request. After a surplus response
 * from the server, each later request on the connection would get the response
 * to another one; servers that echo the id make this detectable.
 */
static bool
id_matches(struct ggw_call *call)
{
    const h2o_iovec_t *id = &call->spec.id;
    const char *text;

    if (call->spec.id_name == NULL) {
        return true;
    }
    text = find_header(call, call->spec.id_name);
    if (id->base == NULL) {
        return text == NULL; /* else it responds to a request with an id */
    }
    if (text == NULL) {
        return !call->spec.id_required;
    }
    call->id_repeated =
        strlen(text) == id->len && memcmp(text, id->base, id->len) == 0 &&
        ggw_response_head_count(&call->head, call->spec.id_name) == 1;
    return call->id_repeated;
}

/* Prepares to find another response within the body. */
static void
start_body(struct ggw_call *call)
{
    const struct ggw_call_spec *spec = &call->spec;
    const char *signature = spec->signature_name != NULL
                                ? find_header(call, spec->signature_name)
                                : NULL;

    ggw_response_body_init(&call->body, &call->head, call->conn->carried > 0,
                           call->facts.framing != GGW_FRAMING_CLOSE);
    if (spec->id.base != NULL) {
        ggw_surplus_scan_mark(&call->body.scan, spec->id_name, spec->id.base,
                              spec->id.len);
    }
    if (signature != NULL) {
        ggw_surplus_scan_mark(&call->body.scan, spec->signature_name,
                              signature, strlen(signature));
    }
}

/*
 * Whether the connection may carry another request after this response. If the
 * server sent a refusal without an id once more, it could not be told from the
 * refusal of that request, which may run meanwhile.
 */
static bool
may_reuse_connection(const struct ggw_call *call)
{
    bool anonymous_refusal = call->spec.id.base != NULL &&
                             !call->id_repeated &&
                             call->parser.status_code >= 400;

    return call->keep_alive && !call->spec.new_connection &&
           !anonymous_refusal;
}

/*
 * Milliseconds for which the connection may stay idle, from the response
 * header "Keep-Alive: timeout=N" with N in seconds.
 */
static ggw_ms
connection_idle_limit(const struct ggw_call *call)
{
    const char *text = find_header(call, "keep-alive");
    const char *timeout = text != NULL ? strstr(text, "timeout=") : NULL;
    ggw_ms limit;

    if (timeout == NULL) {
        return MAX_IDLE_MS;
    }
    limit =
        1e3 * (ggw_ms)g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10);
    return MIN(MAX_IDLE_MS, MAX(limit - IDLE_MARGIN_MS, limit / 2));
}

static bool
is_interim_response(const http_parser *parser)
{
    return parser->status_code >= 100 && parser->status_code < 200;
}

static enum ggw_framing
framing_of(const struct ggw_call *call)
{
    if (!call->check.has_body || call->check.has_length) {
        return GGW_FRAMING_LENGTH;
    }
    return call->check.is_chunked ? GGW_FRAMING_CHUNKED : GGW_FRAMING_CLOSE;
}

/* Whether the parser reads the framing of the body as the check does. */
static bool
framing_agrees(const struct ggw_call *call, const http_parser *parser)
{
    const struct ggw_response_check *check = &call->check;
    bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;
    bool is_chunked = (parser->flags & F_CHUNKED) != 0;

    return is_chunked == check->is_chunked &&
           has_length == check->has_length &&
           (!has_length || parser->content_length == check->length);
}

/* Length that the head states for the client; some servers state 0 with 204.
 */
static size_t
content_length(const struct ggw_call *call)
{
    return call->check.has_length && call->head.status != NO_CONTENT
               ? (size_t)call->check.length
               : SIZE_MAX;
}

static int
on_headers_complete(http_parser *parser)
{
    struct ggw_call *call = call_from_parser(parser);
    h2o_header_t headers[GGW_RESPONSE_MAX_HEADERS];
    struct ggw_call_head head = {
        .status = (int)parser->status_code,
        .reason =
            h2o_iovec_init(call->head.reason->str, call->head.reason->len),
        .headers = headers,
    };

    if (is_interim_response(parser)) {
        return 0;
    }
    call->reading_head = false;
    if (!framing_agrees(call, parser)) {
        return -1;
    }
    if (!id_matches(call)) {
        call->facts.fault = GGW_FAULT_OTHER_ID;
        return -1;
    }
    call->head.major = parser->http_major;
    call->head.minor = parser->http_minor;
    call->head.status = parser->status_code;
    if (ggw_response_head_is_mixed(&call->head, call->conn->carried > 0)) {
        call->facts.fault = GGW_FAULT_SURPLUS;
        return -1;
    }
    call->head_at = now_ms();
    call->content_length = content_length(call);
    call->keep_alive = http_should_keep_alive(parser) != 0;
    call->idle_limit = connection_idle_limit(call);
    head.content_length = call->content_length;
    call->facts.framing = framing_of(call);
    start_body(call);
    head.keep_alive = call->keep_alive;
    head.headers_len = ggw_response_head_fill(&call->head, headers);
    arm_body_timer(call);
    call->ops->head(call->data, &head);
    if (call->destroyed) {
        return -1;
    }
    return call->check.has_body ? 0 : 1; /* 1: no body follows */
}

/* Hands the bytes of the body that are decided to the caller. */
static void
report_body(struct ggw_call *call)
{
    size_t limit =
        ggw_pools_are_full(call->pool->pools) ? 1 : MAX_UNREAD_BYTES;

    count_unread(call);
    if (call->unread_body->size >= limit && call->conn != NULL &&
        call->paused_at == 0) {
        pause_reading(call);
    }
    if (call->unread_body->size > 0) {
        call->ops->body(call->data);
    }
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    struct ggw_call *call = call_from_parser(parser);

    if (!ggw_response_body_add(&call->body, at, len, &call->unread_body)) {
        call->facts.fault = GGW_FAULT_SURPLUS;
        return -1;
    }
    call->facts.body_bytes += len;
    arm_body_timer(call);
    report_body(call);
    return call->destroyed ? -1 : 0;
}

static int
on_message_complete(http_parser *parser)
{
    struct ggw_call *call = call_from_parser(parser);

    if (is_interim_response(parser)) {
        ggw_response_head_reset(&call->head);
        return 0;
    }
    if (!ggw_response_body_end(&call->body, &call->unread_body)) {
        call->facts.fault = GGW_FAULT_SURPLUS;
        return -1;
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

/* Parses received bytes; returns false if a callback destroyed the call. */
static bool
run_parser(struct ggw_call *call, const char *bytes, size_t len,
           size_t *parsed)
{
    call->in_parser = true;
    *parsed = http_parser_execute(&call->parser, &parser_settings, bytes, len);
    call->in_parser = false;
    if (call->destroyed) {
        free_call(call);
        return false;
    }
    return true;
}

/* Ends a call whose response is broken, for @fault if no other is known. */
static void
end_broken(struct ggw_call *call, enum ggw_call_fault fault)
{
    if (call->facts.fault == GGW_FAULT_NONE) {
        call->facts.fault = fault;
    }
    if (call->facts.fault == GGW_FAULT_SURPLUS ||
        call->facts.fault == GGW_FAULT_OTHER_ID) {
        ggw_pool_distrust(call->pool);
    }
    end_call(call, GGW_CALL_BROKEN, false);
}

/*
 * Ends a call whose response is no HTTP, or with which a callback of the
 * parser has found another fault.
 */
static void
end_malformed(struct ggw_call *call)
{
    if (call->facts.fault == GGW_FAULT_NONE) {
        ggw_count("ggw_responses_malformed_total");
        ggw_log_event(&malformed, "server=%s:%u in=%s carried=%u",
                      call->pool->host, (unsigned)call->pool->port,
                      ggw_response_part_name(call->check.part),
                      call->facts.carried);
    }
    end_broken(call, GGW_FAULT_MALFORMED);
}

/*
 * Ends a call whose response is complete.
 * @surplus: bytes that came behind it
 */
static void
end_complete(struct ggw_call *call, size_t surplus)
{
    bool request_sent, keep;

    if (surplus > 0) {
        ggw_http_conn_on_surplus(call->conn, GGW_SURPLUS_BEHIND, surplus);
    }
    /*
     * If the server responds before the whole request was written, the rest of
     * it is still being sent and the connection is not reusable.
     */
    request_sent = call->conn->writes == 0;
    keep = may_reuse_connection(call) && surplus == 0 && request_sent;
    end_call(call, GGW_CALL_COMPLETE, keep);
}

/* The parser reads only bytes that the check has found to be in order. */
static void
conn_data(void *user, const char *bytes, size_t len)
{
    struct ggw_call *call = user;
    size_t valid = ggw_response_check_add(&call->check, bytes, len);
    size_t parsed = 0;

    /* Without bytes, the parser would take the response for ended. */
    if (valid > 0 && !run_parser(call, bytes, valid, &parsed)) {
        return;
    }
    if (call->reading_head) {
        call->head_bytes += len;
    }
    if (call->complete) {
        end_complete(call, len - parsed);
    }
    else if (valid < len || HTTP_PARSER_ERRNO(&call->parser) != HPE_OK) {
        end_malformed(call);
    }
    else if (call->head_bytes > MAX_HEAD_BYTES) {
        end_broken(call, GGW_FAULT_TOO_LARGE);
    }
}

static void
conn_closed(void *user, bool clean)
{
    struct ggw_call *call = user;
    size_t parsed;

    if (!call->connected) {
        end_call(call, GGW_CALL_NOT_SENT, false);
        return;
    }
    /*
     * Tells the parser about the end of the stream, which is the end of a body
     * without a length.
     */
    if (clean && call->head_at > 0 && !run_parser(call, NULL, 0, &parsed)) {
        return;
    }
    if (call->complete) {
        end_call(call, GGW_CALL_COMPLETE, false);
        return;
    }
    end_broken(call, clean ? GGW_FAULT_CUT : GGW_FAULT_RESET);
}

static void
send_request(struct ggw_call *call)
{
    h2o_iovec_t head = call->spec.head;

    call->connected = true;
    call->sent_at = now_ms();
    ggw_http_conn_write(call->conn, head.base, head.len, call->spec.body);
    arm_timer(call, MAX(time_to_head_timeout(call), 0));
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
    ggw_response_head_init(&call->head);
    h2o_buffer_init(&call->unread_body, &h2o_socket_buffer_prototype);
    ggw_response_check_init(&call->check, spec->is_head);
    http_parser_init(&call->parser, HTTP_RESPONSE);
    call->parser.data = call;
    uv_timer_init(pool->loop, &call->timer);
    call->timer.data = call;
    call->started_at = now_ms();
    call->complete_by = call->started_at + spec->complete_timeout;
    pool->active_calls++;
    call->conn =
        ggw_http_conn_get(pool, spec->new_connection, &conn_ops, call);
    call->facts.carried = call->conn->carried;
    if (call->conn->open) {
        send_request(call);
    }
    else {
        arm_timer(call, spec->connect_timeout);
    }
    return call;
}

void
ggw_call_limit_body(struct ggw_call *call, ggw_ms limit)
{
    call->complete_by = MIN(call->complete_by, now_ms() + limit);
    if (call->paused_at == 0) {
        arm_body_timer(call);
    }
}

ggw_ms
ggw_call_latency(const struct ggw_call *call)
{
    if (!call->connected) {
        return 0;
    }
    return (call->head_at > 0 ? call->head_at : now_ms()) - call->sent_at;
}

struct ggw_call_facts
ggw_call_facts(const struct ggw_call *call)
{
    return call->facts;
}

bool
ggw_call_is_sent(const struct ggw_call *call)
{
    return call->connected;
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
        call->destroyed = true;
        return;
    }
    free_call(call);
}
