/**
 * DOC: stand-in for backend servers
 *
 * One process runs many servers, each on its own port, with slots, a bounded
 * queue, load reports, load shedding, cold starts, and faults that are
 * injected through the control page.
 */
#include <poll.h>
#include <unistd.h>

#include "common/fine_timer.h"
#include "standins/control.h"
#include "standins/endless.h"
#include "standins/pattern.h"
#include "standins/server_state.h"

#define CHUNK (64 * 1024) /* bytes of a body passed to h2o at a time */

enum call_state {
    CALL_NEW,
    CALL_WAITING,
    CALL_RUNNING,
    CALL_HELD, /* received while the server was paused; gets no response */
    CALL_ENDED,
};

struct handler {
    h2o_handler_t super;
    struct server *server;
};

/**
 * struct conn - a client connection
 * @poll: reports a close by the client, which cancels @call at once, and that
 *        the socket takes more bytes of @endless
 * @open_timer: simulates the time to open a connection, see --open-ms
 * @fd: duplicate of the socket's descriptor; libuv allows one watcher per
 *      descriptor, and h2o has one on the original
 * @handles: libuv handles that are not closed yet
 * @call: latest request, or NULL after it was freed
 * @endless: response without an end, written past h2o
 */
struct conn {
    uv_poll_t poll;
    uv_timer_t open_timer;
    int fd;
    int handles;
    h2o_socket_t *sock;
    struct server *server;
    struct call *call;
    struct endless endless;
};

/**
 * struct call - a request
 * @timer: end of the service time
 * @deadline: wall clock time in ms, from Greengageway-Deadline; 0: none
 * @path: with the query string
 * @id: request id; empty when the request has none
 * @order: order id, or NULL when the request is not for /orders/
 * @seed: seed of the generated body
 * @offset: bytes of the body sent so far
 * @len: length of the body in bytes
 * @send_len: bytes to send; less than @len when the body is to break off
 * @fails: the request gets status 500, because the version is bad
 * @chunk: buffer of CHUNK bytes
 */
struct call {
    h2o_generator_t generator;
    struct server *server;
    struct conn *conn;
    h2o_req_t *req;
    enum call_state state;
    struct ggw_fine_timer timer;
    ggw_ms deadline;
    char *path, *id, *order;
    bool fails;
    /* response body of /body/ */
    uint64_t seed, offset, len, send_len;
    char *chunk;
};

static struct {
    uv_loop_t loop;
    h2o_globalconf_t config;
    h2o_context_t ctx;
    struct control control;
    struct ggw_fine_timers *timers;
    GPtrArray *servers; /* struct server */
} backend;

static void
add_header(h2o_req_t *req, const char *name, const char *value)
{
    size_t len = strlen(value);
    char *copy = h2o_mem_alloc_pool(&req->pool, len + 1);

    memcpy(copy, value, len + 1);
    h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name), 0,
                          NULL, copy, len);
}

/* Adds the load report header. */
static void
add_load_header(struct server *s, h2o_req_t *req)
{
    struct snapshot snapshot = lagged_snapshot(s);
    char text[160];

    if (s->misleading) {
        snapshot.busy = 0;
        snapshot.queue = 0;
    }
    snprintf(text, sizeof(text),
             "slots=%d; busy=%d; queue=%d; cold=%d; draining=%d; "
             "incarnation=%" G_GUINT64_FORMAT,
             s->slots, snapshot.busy, snapshot.queue, is_cold(s) ? 1 : 0,
             s->draining ? 1 : 0, s->incarnation);
    add_header(req, "backend-load", text);
    if (is_cold(s) && s->cold_reported == 0) {
        s->cold_reported = now_ms();
    }
}

static void
send_text(struct server *s, h2o_req_t *req, int status, const char *text)
{
    size_t len = strlen(text);
    char *copy = h2o_mem_alloc_pool(&req->pool, len + 1);

    memcpy(copy, text, len + 1);
    req->res.status = status;
    req->res.reason = status < 300 ? "OK" : "Error";
    req->res.content_length = len;
    add_load_header(s, req);
    add_header(req, "x-backend-server", s->name);
    add_header(req, "content-type", "application/json");
    h2o_send_inline(req, copy, len);
}

/* Ends the accounting of a call and frees its slot; sends no response. */
static void
call_finish(struct call *call)
{
    struct server *s = call->server;

    if (call->state == CALL_ENDED) {
        return;
    }
    ggw_fine_timer_stop(backend.timers, &call->timer);
    if (call->state == CALL_WAITING) {
        g_queue_remove(&s->waiting, call);
    }
    if (call->state == CALL_RUNNING) {
        s->busy--;
    }
    g_queue_remove(&s->calls, call);
    call->state = CALL_ENDED;
    take_snapshot(s);
}

/* Ends a call with a response that says that the request did not run. */
static void
respond_not_run(struct call *call, int status)
{
    call_finish(call);
    add_header(call->req, "backend-outcome", "not-run");
    send_text(call->server, call->req, status, "{}");
}

/* Ends a call with a response that does not say whether the request ran. */
static void
respond_empty(struct call *call, int status)
{
    call_finish(call);
    send_text(call->server, call->req, status, "{}");
}

static void
body_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    struct call *c = H2O_STRUCT_FROM_MEMBER(struct call, generator, generator);
    uint64_t left = c->send_len - c->offset;
    h2o_iovec_t buf;

    buf.len = left < CHUNK ? (size_t)left : CHUNK;
    buf.base = c->chunk;
    pattern_fill(c->seed, c->offset, buf.base, buf.len);
    c->offset += buf.len;
    if (c->offset < c->send_len) {
        h2o_send(req, &buf, 1, H2O_SEND_STATE_IN_PROGRESS);
    }
    else if (c->send_len < c->len) {
        h2o_send(req, &buf, 1, H2O_SEND_STATE_ERROR);
    }
    else {
        h2o_send(req, &buf, buf.len > 0 ? 1 : 0, H2O_SEND_STATE_FINAL);
    }
}

/*
 * Responds to GET /body/N with N bytes. With "chunked" in the query string,
 * the response has no Content-Length.
 */
static void
respond_body(struct call *c)
{
    h2o_req_t *req = c->req;
    char text[32];

    c->len = g_ascii_strtoull(c->path + strlen("/body/"), NULL, 10);
    c->send_len = c->server->short_body ? c->len / 2 : c->len;
    c->seed = pattern_seed(c->id);
    c->chunk = h2o_mem_alloc_pool(&req->pool, CHUNK);
    snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x",
             pattern_digest(c->seed, c->len));
    add_header(req, "x-body-digest", text);
    add_header(req, "x-request-id", c->id);
    add_header(req, "x-backend-server", c->server->name);
    add_header(req, "content-type", "application/octet-stream");
    add_load_header(c->server, req);
    req->res.status = 200;
    req->res.reason = "OK";
    if (strstr(c->path, "chunked") == NULL) {
        req->res.content_length = c->len;
    }
    c->generator.proceed = body_proceed;
    h2o_start_response(req, &c->generator);
    body_proceed(&c->generator, req);
}

static void
respond_result(struct call *c)
{
    char *text;

    if (c->server->lose_answers) {
        c->req->http1_is_persistent = 0;
        shutdown(c->conn->fd, SHUT_RDWR);
    }
    if (c->fails) {
        send_text(c->server, c->req, 500, "{}");
        return;
    }
    if (g_str_has_prefix(c->path, "/body/")) {
        respond_body(c);
        return;
    }
    text = g_strdup_printf(
        "{\"server\":\"%s\",\"id\":\"%s\",\"order\":\"%s\"}", c->server->name,
        c->id, c->order != NULL ? c->order : "");
    send_text(c->server, c->req, 200, text);
    g_free(text);
}

static void start_waiting_calls(struct server *s);

static void
service_done_cb(struct ggw_fine_timer *timer)
{
    struct call *c = timer->data;
    struct server *s = c->server;

    call_finish(c);
    s->answered = true;
    respond_result(c);
    start_waiting_calls(s);
}

static void
count_order_run(struct server *s, const char *order)
{
    gpointer runs;

    s->ran++;
    if (order != NULL) {
        runs = g_hash_table_lookup(s->runs, order);
        g_hash_table_insert(s->runs, g_strdup(order),
                            GINT_TO_POINTER(GPOINTER_TO_INT(runs) + 1));
    }
}

static void
call_run(struct call *c)
{
    struct server *s = c->server;
    ggw_ms time;

    if (c->deadline > 0 && ggw_clock_wall(ggw_clock_system()) > c->deadline) {
        s->late++;
        respond_not_run(c, 504);
        return;
    }
    count_order_run(s, c->order);
    c->state = CALL_RUNNING;
    s->busy++;
    take_snapshot(s);
    time = service_time(s);
    if (bad_version_affects(&s->bad, c->path, s->busy, now_ms())) {
        c->fails = bad_version_fails(&s->bad, s->rand);
        time *= s->bad.slow > 0 ? s->bad.slow : 1;
    }
    c->timer.data = c;
    ggw_fine_timer_start(backend.timers, &c->timer, now_ms() + time,
                         service_done_cb);
}

static void
start_waiting_calls(struct server *s)
{
    struct call *c;

    while (s->busy < s->slots && (c = g_queue_pop_head(&s->waiting)) != NULL) {
        c->state = CALL_NEW;
        call_run(c);
    }
}

/* Ends a call whose client has closed the connection. */
static void
call_cancel(struct call *c)
{
    if (c->state == CALL_ENDED) {
        return;
    }
    c->server->cancelled++;
    c->req->http1_is_persistent = 0;
    respond_empty(c, 503);
    start_waiting_calls(c->server);
}

/*
 * Cancels requests whose connection the client has closed, although the loop
 * has not reported the close yet. Otherwise they would count against the cold
 * limit.
 */
static void
cancel_disconnected(struct server *s)
{
    GList *next;

    for (GList *i = s->calls.head; i != NULL; i = next) {
        struct call *c = i->data;
        struct pollfd pfd = {.fd = c->conn->fd, .events = POLLRDHUP};

        next = i->next;
        if (poll(&pfd, 1, 0) > 0 && c->state != CALL_NEW) {
            call_cancel(c);
            next = s->calls.head; /* this may have started or ended others */
        }
    }
}

/* Responds with 503 to all open requests, and to new ones for --cold-fails. */
static void
start_failing(struct server *s)
{
    struct call *c;

    s->failing_until = now_ms() + opt.cold_fails;
    while ((c = g_queue_peek_head(&s->calls)) != NULL) {
        respond_empty(c, 503);
    }
}

static void
count_arrival(struct server *s)
{
    bool cold = is_cold(s);
    int *max = cold ? &s->max_cold : &s->max_warm;

    s->started++;
    s->last_arrival = ggw_clock_wall(ggw_clock_system());
    if (cold && (int)s->calls.length > s->cold_limit) {
        cancel_disconnected(s);
    }
    *max = MAX(*max, (int)s->calls.length);
    if (!s->answered && s->pause_s <= 0) {
        s->max_return = MAX(s->max_return, (int)s->calls.length);
    }
    if (cold && s->cold_reported > 0 &&
        now_ms() > s->cold_reported + COLD_REPORT_GRACE_MS) {
        s->max_cold_told = MAX(s->max_cold_told, (int)s->calls.length);
    }
}

static void
conn_disconnect_cb(uv_poll_t *poll, int status, int events)
{
    struct conn *conn = poll->data;

    uv_poll_stop(poll);
    if (conn->call != NULL) {
        call_cancel(conn->call);
    }
}

static void
endless_cb(uv_poll_t *poll, int status, int events)
{
    struct conn *conn = poll->data;

    if (status != 0 || (events & UV_DISCONNECT) != 0) {
        conn_disconnect_cb(poll, status, events);
        return;
    }
    endless_send(&conn->endless, conn->fd);
}

/* The endless form that a request gets, or NULL. */
static const struct endless_form *
find_endless(const struct server *s, const char *path)
{
    const char *parameter = strstr(path, "endless=");

    return s->endless != NULL  ? s->endless
           : parameter != NULL ? endless_find(parameter + strlen("endless="))
                               : NULL;
}

/* Responds without an end, until the client closes the connection. */
static void
respond_endless(struct call *c, const struct endless_form *form)
{
    struct conn *conn = c->conn;

    c->state = CALL_HELD;
    endless_start(&conn->endless, form);
    uv_poll_start(&conn->poll, UV_WRITABLE | UV_DISCONNECT, endless_cb);
}

/* Sheds a request and asks its gateway for a pause. */
static void
respond_pause(struct call *c)
{
    char text[32];

    c->server->shed++;
    snprintf(text, sizeof(text), "%.3f", c->server->pause_s);
    add_header(c->req, "retry-after", text);
    respond_not_run(c, 503);
}

static void
call_admit(struct call *c)
{
    struct server *s = c->server;
    const struct endless_form *form = find_endless(s, c->path);

    count_arrival(s);
    if (s->paused) {
        c->state = CALL_HELD;
    }
    else if (form != NULL) {
        respond_endless(c, form);
    }
    else if (s->fail_status != 0) {
        respond_empty(c, s->fail_status);
    }
    else if (now_ms() < s->failing_until) {
        respond_empty(c, 503);
    }
    else if (s->pause_s > 0) {
        respond_pause(c);
    }
    else if (is_cold(s) && (int)s->calls.length > s->cold_limit) {
        s->shed++;
        if (opt.cold_fails > 0) {
            start_failing(s);
        }
        else {
            respond_not_run(c, 503);
        }
    }
    else if (s->busy < s->slots) {
        call_run(c);
    }
    else if ((int)s->waiting.length < s->queue_max) {
        c->state = CALL_WAITING;
        g_queue_push_tail(&s->waiting, c);
        take_snapshot(s);
    }
    else {
        s->shed++;
        respond_not_run(c, 503);
    }
}

static void
call_dispose(void *mem)
{
    struct call *c = mem;
    struct server *s = c->server;

    if (c->state != CALL_ENDED) {
        s->cancelled++;
        call_finish(c);
        start_waiting_calls(s);
    }
    if (c->conn->call == c) {
        c->conn->call = NULL;
    }
    g_free(c->path);
    g_free(c->id);
    g_free(c->order);
}

static char *
header_value(h2o_req_t *req, const char *name)
{
    ssize_t i =
        h2o_find_header_by_str(&req->headers, name, strlen(name), SIZE_MAX);

    return i < 0 ? NULL
                 : g_strndup(req->headers.entries[i].value.base,
                             req->headers.entries[i].value.len);
}

static void
call_parse(struct call *c, h2o_req_t *req)
{
    char *deadline = header_value(req, "greengageway-deadline");
    const char *id;

    c->deadline = deadline != NULL ? g_ascii_strtod(deadline, NULL) : 0;
    g_free(deadline);
    c->path = g_strndup(req->path.base, req->path.len);
    id = strstr(c->path, "id=");
    if (id != NULL) {
        c->id = g_strndup(id + 3, strcspn(id + 3, "&"));
    }
    else {
        c->id = header_value(req, "x-request-id");
    }
    if (c->id == NULL) {
        c->id = header_value(req, "greengageway-request");
    }
    if (c->id == NULL) {
        c->id = g_strdup("");
    }
    if (g_str_has_prefix(c->path, "/orders/")) {
        c->order = g_strdup(c->path + strlen("/orders/"));
        c->order[strcspn(c->order, "?/")] = '\0';
    }
}

static int
on_request(h2o_handler_t *handler, h2o_req_t *req)
{
    struct server *s = ((struct handler *)handler)->server;
    struct conn *conn =
        req->conn->callbacks->get_socket(req->conn)->on_close.data;
    struct call *c;

    if (h2o_memis(req->path.base, req->path.len, H2O_STRLIT("/-/load")) &&
        !s->paused && s->endless == NULL) {
        s->probes++;
        req->res.status = 204;
        req->res.reason = "No Content";
        add_load_header(s, req);
        h2o_send_inline(req, "", 0);
        return 0;
    }
    c = h2o_mem_alloc_shared(&req->pool, sizeof(*c), call_dispose);
    memset(c, 0, sizeof(*c));
    c->server = s;
    c->conn = conn;
    c->req = req;
    conn->call = c;
    call_parse(c, req);
    g_queue_push_tail(&s->calls, c);
    call_admit(c);
    return 0;
}

static void
conn_handle_closed_cb(uv_handle_t *handle)
{
    struct conn *conn = handle->data;

    if (--conn->handles == 0) {
        close(conn->fd);
        endless_clear(&conn->endless);
        g_free(conn);
    }
}

static void
conn_on_close_cb(void *data)
{
    struct conn *conn = data;

    conn->server->connections--;
    g_queue_remove(&conn->server->conns, conn);
    uv_close((uv_handle_t *)&conn->poll, conn_handle_closed_cb);
    uv_close((uv_handle_t *)&conn->open_timer, conn_handle_closed_cb);
}

/* Closes all connections and ends their requests, as a restart does. */
static void
close_connections(struct server *s)
{
    struct call *c;

    for (GList *i = s->conns.head; i != NULL; i = i->next) {
        shutdown(((struct conn *)i->data)->fd, SHUT_RDWR);
    }
    while ((c = g_queue_peek_head(&s->calls)) != NULL) {
        c->req->http1_is_persistent = 0;
        respond_empty(c, 503);
    }
}

static void
conn_opened_cb(uv_timer_t *timer)
{
    struct conn *conn = timer->data;

    uv_poll_start(&conn->poll, UV_DISCONNECT, conn_disconnect_cb);
    h2o_accept(&conn->server->accept, conn->sock);
}

static void
accept_cb(uv_stream_t *listener, int status)
{
    struct server *s = listener->data;
    h2o_socket_t *sock = status == 0 ? standin_accept(listener) : NULL;
    struct conn *conn;

    if (sock == NULL) {
        return;
    }
    if (s->connections >= s->connections_max) {
        s->refused_connections++;
        h2o_socket_close(sock);
        return;
    }
    conn = g_new0(struct conn, 1);
    s->connections++;
    g_queue_push_tail(&s->conns, conn);
    conn->server = s;
    conn->sock = sock;
    conn->handles = 2;
    conn->fd = dup(h2o_socket_get_fd(sock));
    uv_poll_init(&backend.loop, &conn->poll, conn->fd);
    uv_timer_init(&backend.loop, &conn->open_timer);
    conn->poll.data = conn;
    conn->open_timer.data = conn;
    sock->on_close.cb = conn_on_close_cb;
    sock->on_close.data = conn;
    if (opt.open_ms == 0) {
        conn_opened_cb(&conn->open_timer);
        return;
    }
    uv_timer_start(&conn->open_timer, conn_opened_cb, (uint64_t)opt.open_ms,
                   0);
}

static bool
server_start(struct server *s, const char *address)
{
    h2o_handler_t *handler;

    s->hosts[0] = h2o_config_register_host(
        &backend.config, h2o_iovec_init(s->name, strlen(s->name)), 65535);
    if (s->hosts[0] == NULL) {
        fprintf(stderr, "backend: duplicate server name: %s\n", s->name);
        return false;
    }
    handler = h2o_create_handler(h2o_config_register_path(s->hosts[0], "/", 0),
                                 sizeof(struct handler));
    handler->on_req = on_request;
    ((struct handler *)handler)->server = s;
    s->accept.ctx = &backend.ctx;
    s->accept.hosts = s->hosts;
    s->listener.data = s;
    if (!standin_listen(&backend.loop, &s->listener, address, &s->port,
                        accept_cb)) {
        return false;
    }
    printf("server %s 127.0.0.1:%u\n", s->name, s->port);
    return true;
}

static json_t *
control_get(const char *path)
{
    json_t *response, *servers;

    if (strcmp(path, "/-/counts") != 0) {
        return NULL;
    }
    response = json_object();
    servers = json_object();
    json_object_set_new(response, "servers", servers);
    for (guint i = 0; i < backend.servers->len; i++) {
        struct server *s = g_ptr_array_index(backend.servers, i);

        json_object_set_new(servers, s->name, server_json(s));
    }
    return response;
}

static const char *
control_set_servers(json_t *object)
{
    const char *glob = json_string_value(json_object_get(object, "server"));
    const char *key;
    json_t *value;
    bool found = false;

    for (guint i = 0; glob != NULL && i < backend.servers->len; i++) {
        struct server *s = g_ptr_array_index(backend.servers, i);

        if (!g_pattern_match_simple(glob, s->name)) {
            continue;
        }
        found = true;
        json_object_foreach(object, key, value)
        {
            if (!server_set(s, key, value)) {
                return "unknown key";
            }
        }
    }
    return found ? NULL : "no such server";
}

static bool
start_servers(void)
{
    for (guint i = 0; opt.servers[i] != NULL; i++) {
        const char *equals = strchr(opt.servers[i], '=');
        struct server *s = server_new(opt.servers[i], (guint32)opt.seed + i);

        g_ptr_array_add(backend.servers, s);
        if (!server_start(s, equals != NULL ? equals + 1 : "0")) {
            return false;
        }
    }
    return true;
}

int
main(int argc, char **argv)
{
    if (!parse_flags(&argc, &argv)) {
        return 2;
    }
    uv_loop_init(&backend.loop);
    standin_stop_on_signal(&backend.loop);
    backend.timers = ggw_fine_timers_new(&backend.loop);
    backend.servers = g_ptr_array_new();
    h2o_config_init(&backend.config);
    backend.config.http1.req_timeout = 60000;
    backend.control.get = control_get;
    backend.control.set = control_set_servers;
    if (!start_servers() ||
        !control_start(&backend.control, &backend.loop, opt.control)) {
        return 1;
    }
    h2o_context_init(&backend.ctx, &backend.loop, &backend.config);
    puts("ready");
    fflush(stdout);
    uv_run(&backend.loop, UV_RUN_DEFAULT);
    return 0;
}
