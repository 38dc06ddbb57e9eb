/*
 * Stand-in for backend servers: many servers in one process, each on its own
 * port, with slots, a bounded queue, load reports, shedding, cold starts and
 * faults that the control page turns on.
 */
#include <poll.h>
#include <unistd.h>

#include "common/fine_timer.h"
#include "standins/control.h"
#include "standins/pattern.h"
#include "standins/server_state.h"

#define CHUNK (64 * 1024) /* bytes of a body handed to h2o at a time */

enum call_state {
    CALL_NEW,
    CALL_WAITING,
    CALL_RUNNING,
    CALL_HELD, /* never answered */
    CALL_ENDED,
};

struct handler {
    h2o_handler_t super;
    struct server *server;
};

/* A connection, watched so that a close cancels its request at once. */
struct conn {
    uv_poll_t poll;
    uv_timer_t open_timer; /* time to open the connection */
    int fd;                /* duplicate, so that libuv has one watcher each */
    int handles;
    h2o_socket_t *sock;
    struct server *server;
    struct call *call;
};

struct call {
    h2o_generator_t generator;
    struct server *server;
    struct conn *conn;
    h2o_req_t *req;
    enum call_state state;
    struct ggw_fine_timer timer;
    ggw_ms deadline;
    char *path, *id, *order;
    /* body */
    uint64_t seed, offset, len, stop_at;
    char *chunk;
};

static struct {
    uv_loop_t loop;
    h2o_globalconf_t config;
    h2o_context_t ctx;
    struct control control;
    struct ggw_fine_timers *timers;
    GPtrArray *servers; /* struct server */
} world;

static void
add_header(h2o_req_t *req, const char *name, const char *value)
{
    size_t len = strlen(value);
    char *copy = h2o_mem_alloc_pool(&req->pool, len + 1);

    memcpy(copy, value, len + 1);
    h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name), 0,
                          NULL, copy, len);
}

static void
add_load(struct server *s, h2o_req_t *req)
{
    struct snapshot shot = lagged_snapshot(s);
    char text[160];

    if (s->misleading) {
        shot.busy = 0;
        shot.queue = 0;
    }
    snprintf(text, sizeof(text),
             "slots=%d; busy=%d; queue=%d; cold=%d; draining=%d; "
             "incarnation=%" G_GUINT64_FORMAT,
             s->slots, shot.busy, shot.queue, is_cold(s) ? 1 : 0,
             s->draining ? 1 : 0, s->incarnation);
    add_header(req, "backend-load", text);
    if (is_cold(s) && s->cold_told == 0) {
        s->cold_told = now_ms();
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
    add_load(s, req);
    add_header(req, "x-backend-server", s->name);
    add_header(req, "content-type", "application/json");
    h2o_send_inline(req, copy, len);
}

/* Removes a call from its server's books; its slot becomes free. */
static void
call_end(struct call *call)
{
    struct server *s = call->server;

    if (call->state == CALL_ENDED) {
        return;
    }
    ggw_fine_timer_stop(world.timers, &call->timer);
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

static void
answer_not_run(struct call *call, int status)
{
    call_end(call);
    add_header(call->req, "backend-outcome", "not-run");
    send_text(call->server, call->req, status, "{}");
}

static void
answer_bare(struct call *call, int status)
{
    call_end(call);
    send_text(call->server, call->req, status, "{}");
}

static void
body_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    struct call *c = H2O_STRUCT_FROM_MEMBER(struct call, generator, generator);
    uint64_t left = c->stop_at - c->offset;
    h2o_iovec_t buf;

    buf.len = left < CHUNK ? (size_t)left : CHUNK;
    buf.base = c->chunk;
    pattern_fill(c->seed, c->offset, buf.base, buf.len);
    c->offset += buf.len;
    if (c->offset < c->stop_at) {
        h2o_send(req, &buf, 1, H2O_SEND_STATE_IN_PROGRESS);
    }
    else if (c->stop_at < c->len) {
        h2o_send(req, &buf, 1, H2O_SEND_STATE_ERROR);
    }
    else {
        h2o_send(req, &buf, buf.len > 0 ? 1 : 0, H2O_SEND_STATE_FINAL);
    }
}

/* GET /body/N: N bytes; with "chunked" in the query, without a length. */
static void
answer_body(struct call *c)
{
    h2o_req_t *req = c->req;
    char text[32];

    c->len = g_ascii_strtoull(c->path + strlen("/body/"), NULL, 10);
    c->stop_at = c->server->short_body ? c->len / 2 : c->len;
    c->seed = pattern_seed(c->id);
    c->chunk = h2o_mem_alloc_pool(&req->pool, CHUNK);
    snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x",
             pattern_digest(c->seed, c->len));
    add_header(req, "x-body-digest", text);
    add_header(req, "x-request-id", c->id);
    add_header(req, "x-backend-server", c->server->name);
    add_header(req, "content-type", "application/octet-stream");
    add_load(c->server, req);
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
answer_done(struct call *c)
{
    char *text;

    if (c->server->lose_answers) {
        c->req->http1_is_persistent = 0;
        shutdown(c->conn->fd, SHUT_RDWR);
    }
    if (g_str_has_prefix(c->path, "/body/")) {
        answer_body(c);
        return;
    }
    text = g_strdup_printf(
        "{\"server\":\"%s\",\"id\":\"%s\",\"order\":\"%s\"}", c->server->name,
        c->id, c->order != NULL ? c->order : "");
    send_text(c->server, c->req, 200, text);
    g_free(text);
}

static void fill_slots(struct server *s);

static void
service_end_cb(struct ggw_fine_timer *timer)
{
    struct call *c = timer->data;
    struct server *s = c->server;

    call_end(c);
    answer_done(c);
    fill_slots(s);
}

static void
count_run(struct server *s, const char *order)
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

    if (c->deadline > 0 && ggw_clock_wall(ggw_clock_system()) > c->deadline) {
        s->late++;
        answer_not_run(c, 504);
        return;
    }
    count_run(s, c->order);
    c->state = CALL_RUNNING;
    s->busy++;
    take_snapshot(s);
    c->timer.data = c;
    ggw_fine_timer_start(world.timers, &c->timer, now_ms() + service_time(s),
                         service_end_cb);
}

static void
fill_slots(struct server *s)
{
    struct call *c;

    while (s->busy < s->slots && (c = g_queue_pop_head(&s->waiting)) != NULL) {
        c->state = CALL_NEW;
        call_run(c);
    }
}

/* The client closed the connection: the request ends without an answer. */
static void
call_cancel(struct call *c)
{
    if (c->state == CALL_ENDED) {
        return;
    }
    c->server->cancelled++;
    c->req->http1_is_persistent = 0;
    answer_bare(c, 503);
    fill_slots(c->server);
}

/*
 * Ends requests whose connection was closed but whose close the loop has not
 * reported yet, so that they do not count against the cold limit.
 */
static void
reap_closed(struct server *s)
{
    GList *next;

    for (GList *i = s->calls.head; i != NULL; i = next) {
        struct call *c = i->data;
        struct pollfd pfd = {.fd = c->conn->fd, .events = POLLRDHUP};

        next = i->next;
        if (poll(&pfd, 1, 0) > 0 && c->state != CALL_NEW) {
            call_cancel(c);
            next = s->calls.head; /* a cancelled call may start others */
        }
    }
}

static void
become_unusable(struct server *s)
{
    struct call *c;

    s->unusable_until = now_ms() + opt.cold_fails;
    while ((c = g_queue_peek_head(&s->calls)) != NULL) {
        answer_bare(c, 503);
    }
}

static void
count_call(struct server *s)
{
    bool cold = is_cold(s);
    int *most = cold ? &s->max_cold : &s->max_warm;

    s->started++;
    s->last_new = ggw_clock_wall(ggw_clock_system());
    if (cold && (int)s->calls.length > s->cold_limit) {
        reap_closed(s);
    }
    *most = MAX(*most, (int)s->calls.length);
    if (cold && s->cold_told > 0 && now_ms() > s->cold_told + COLD_TOLD_MS) {
        s->max_cold_told = MAX(s->max_cold_told, (int)s->calls.length);
    }
}

static void
call_admit(struct call *c)
{
    struct server *s = c->server;

    count_call(s);
    if (s->paused) {
        c->state = CALL_HELD;
    }
    else if (s->fail_status != 0) {
        answer_bare(c, s->fail_status);
    }
    else if (now_ms() < s->unusable_until) {
        answer_bare(c, 503);
    }
    else if (is_cold(s) && (int)s->calls.length > s->cold_limit) {
        s->shed++;
        if (opt.cold_fails > 0) {
            become_unusable(s);
        }
        else {
            answer_not_run(c, 503);
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
        answer_not_run(c, 503);
    }
}

static void
call_dispose(void *mem)
{
    struct call *c = mem;
    struct server *s = c->server;

    if (c->state != CALL_ENDED) {
        s->cancelled++;
        call_end(c);
        fill_slots(s);
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
on_req(h2o_handler_t *handler, h2o_req_t *req)
{
    struct server *s = ((struct handler *)handler)->server;
    struct conn *conn =
        req->conn->callbacks->get_socket(req->conn)->on_close.data;
    struct call *c;

    if (h2o_memis(req->path.base, req->path.len, H2O_STRLIT("/-/load")) &&
        !s->paused) {
        s->probes++;
        req->res.status = 204;
        req->res.reason = "No Content";
        add_load(s, req);
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
conn_handle_closed(uv_handle_t *handle)
{
    struct conn *conn = handle->data;

    if (--conn->handles == 0) {
        close(conn->fd);
        g_free(conn);
    }
}

static void
conn_on_close(void *data)
{
    struct conn *conn = data;

    conn->server->connections--;
    g_queue_remove(&conn->server->conns, conn);
    uv_close((uv_handle_t *)&conn->poll, conn_handle_closed);
    uv_close((uv_handle_t *)&conn->open_timer, conn_handle_closed);
}

static void
conn_event_cb(uv_poll_t *poll, int status, int events)
{
    struct conn *conn = poll->data;

    uv_poll_stop(poll);
    if (conn->call != NULL) {
        call_cancel(conn->call);
    }
}

/* A restart of the server ends its connections and the requests on them. */
static void
close_connections(struct server *s)
{
    struct call *c;

    for (GList *i = s->conns.head; i != NULL; i = i->next) {
        shutdown(((struct conn *)i->data)->fd, SHUT_RDWR);
    }
    while ((c = g_queue_peek_head(&s->calls)) != NULL) {
        c->req->http1_is_persistent = 0;
        answer_bare(c, 503);
    }
}

static void
conn_opened_cb(uv_timer_t *timer)
{
    struct conn *conn = timer->data;

    uv_poll_start(&conn->poll, UV_DISCONNECT, conn_event_cb);
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
    uv_poll_init(&world.loop, &conn->poll, conn->fd);
    uv_timer_init(&world.loop, &conn->open_timer);
    conn->poll.data = conn;
    conn->open_timer.data = conn;
    sock->on_close.cb = conn_on_close;
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
        &world.config, h2o_iovec_init(s->name, strlen(s->name)), 65535);
    if (s->hosts[0] == NULL) {
        fprintf(stderr, "server %s is named twice\n", s->name);
        return false;
    }
    handler = h2o_create_handler(h2o_config_register_path(s->hosts[0], "/", 0),
                                 sizeof(struct handler));
    handler->on_req = on_req;
    ((struct handler *)handler)->server = s;
    s->accept.ctx = &world.ctx;
    s->accept.hosts = s->hosts;
    s->listener.data = s;
    if (!standin_listen(&world.loop, &s->listener, address, &s->port,
                        accept_cb)) {
        return false;
    }
    printf("server %s 127.0.0.1:%u\n", s->name, s->port);
    return true;
}

static json_t *
control_get(const char *path)
{
    json_t *answer, *servers;

    if (strcmp(path, "/-/counts") != 0) {
        return NULL;
    }
    answer = json_object();
    servers = json_object();
    json_object_set_new(answer, "servers", servers);
    for (guint i = 0; i < world.servers->len; i++) {
        struct server *s = g_ptr_array_index(world.servers, i);

        json_object_set_new(servers, s->name, server_json(s));
    }
    return answer;
}

static const char *
control_set_servers(json_t *object)
{
    const char *glob = json_string_value(json_object_get(object, "server"));
    const char *key;
    json_t *value;
    bool found = false;

    for (guint i = 0; glob != NULL && i < world.servers->len; i++) {
        struct server *s = g_ptr_array_index(world.servers, i);

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
        const char *eq = strchr(opt.servers[i], '=');
        struct server *s = server_new(opt.servers[i], (guint32)opt.seed + i);

        g_ptr_array_add(world.servers, s);
        if (!server_start(s, eq != NULL ? eq + 1 : "0")) {
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
    uv_loop_init(&world.loop);
    standin_stop_on_signal(&world.loop);
    world.timers = ggw_fine_timers_new(&world.loop);
    world.servers = g_ptr_array_new();
    h2o_config_init(&world.config);
    world.config.http1.req_timeout = 60000;
    world.control.get = control_get;
    world.control.set = control_set_servers;
    if (!start_servers() ||
        !control_start(&world.control, &world.loop, opt.control)) {
        return 1;
    }
    h2o_context_init(&world.ctx, &world.loop, &world.config);
    puts("ready");
    fflush(stdout);
    uv_run(&world.loop, UV_RUN_DEFAULT);
    return 0;
}
