/**
 * DOC: stand-in for the network
 *
 * Relays TCP connections on routes that delay each direction. Through the
 * control page, a route can be cut (connections are reset), silenced (its open
 * connections discard all data) or held (data waits), the last also in one
 * direction only.
 */
#include <glib.h>
#include <sys/socket.h>

#include "common/fine_timer.h"
#include "standins/control.h"

/*
 * Limit in bytes of the data that is on its way in one direction of a
 * connection; above it, the relay stops reading.
 */
#define MAX_QUEUED_BYTES (4 * 1024 * 1024)

/**
 * struct route - a listener whose connections are relayed to a target
 * @delay: one-way delay in ms
 * @cut: new connections are reset
 * @hold: data waits until the hold ends
 * @one_way: data from clients waits until this ends
 * @pairs: struct pair
 * @accepted: connections accepted so far
 * @bytes: bytes relayed so far, both directions
 */
struct route {
    char *name;
    struct sockaddr_in target;
    uint16_t port;
    ggw_ms delay;
    uv_tcp_t listener;
    bool cut, hold;
    bool one_way;
    GQueue pairs;
    uint64_t accepted, bytes;
};

/**
 * struct chunk - data on its way
 * @due: time of delivery, monotonic in ms
 * @len: bytes in @data; 0: end of the stream
 */
struct chunk {
    ggw_ms due;
    size_t len;
    char data[];
};

/**
 * struct endpoint - a socket of a relayed connection and the data read from it
 * @other: socket that the data is written to
 * @chunks: struct chunk, in the order read
 * @queued_bytes: bytes read and not yet written
 * @timer: delivery of the first chunk
 * @eof: the peer has closed its direction of the stream
 * @closed: closing has begun
 */
struct endpoint {
    uv_tcp_t tcp;
    struct pair *pair;
    struct endpoint *other;
    GQueue chunks;
    size_t queued_bytes;
    struct ggw_fine_timer timer;
    bool connected, reading, eof, closed;
};

/**
 * struct pair - a relayed connection
 * @client: socket of the client
 * @server: socket to the target of the route
 * @connect_timer: delays connecting to the target
 * @accepted: monotonic time in ms
 * @silent: data is read and discarded
 * @open: libuv handles that are not closed yet
 */
struct pair {
    struct route *route;
    struct endpoint client, server;
    struct ggw_fine_timer connect_timer;
    uv_connect_t connect;
    ggw_ms accepted;
    bool silent;
    int open;
};

/* A write of one chunk; freed when it completes. */
struct write {
    uv_write_t req;
    struct endpoint *from;
    struct chunk *chunk;
};

static struct {
    uv_loop_t loop;
    struct control control;
    struct ggw_fine_timers *timers;
    GPtrArray *routes; /* struct route */
} relay;

static struct {
    gchar **routes;
    gchar *control;
} opt = {.control = "127.0.0.1:0"};

static ggw_ms
now_ms(void)
{
    return ggw_clock_now(ggw_clock_system());
}

static void read_cb(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf);
static void alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf);

static void
endpoint_closed_cb(uv_handle_t *handle)
{
    struct endpoint *e = handle->data;
    struct pair *p = e->pair;

    g_queue_clear_full(&e->chunks, g_free);
    if (--p->open == 0) {
        g_queue_remove(&p->route->pairs, p);
        g_free(p);
    }
}

/* libuv's own function does not reset while a shutdown is in progress. */
static void
reset_on_close(struct endpoint *e)
{
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};
    int fd;

    if (uv_fileno((const uv_handle_t *)&e->tcp, &fd) == 0) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
}

static void
endpoint_close(struct endpoint *e, bool reset)
{
    if (e->closed) {
        return;
    }
    e->closed = true;
    ggw_fine_timer_stop(relay.timers, &e->timer);
    if (reset) {
        reset_on_close(e);
    }
    uv_close((uv_handle_t *)&e->tcp, endpoint_closed_cb);
}

static void
pair_close(struct pair *p, bool reset)
{
    ggw_fine_timer_stop(relay.timers, &p->connect_timer);
    endpoint_close(&p->client, reset);
    endpoint_close(&p->server, reset);
}

static void
endpoint_read(struct endpoint *e)
{
    if (!e->reading && !e->closed && !e->eof) {
        e->reading = true;
        uv_read_start((uv_stream_t *)&e->tcp, alloc_cb, read_cb);
    }
}

static void
written_cb(uv_write_t *req, int status)
{
    struct write *w = (struct write *)req;
    struct endpoint *from = w->from;

    from->queued_bytes -= w->chunk->len;
    if (status == 0 && from->queued_bytes < MAX_QUEUED_BYTES / 2) {
        endpoint_read(from);
    }
    g_free(w->chunk);
    g_free(w);
}

static void
shutdown_cb(uv_shutdown_t *req, int status)
{
    g_free(req);
}

/* Writes the first chunk that was read from @from to the other socket. */
static void
forward_chunk(struct endpoint *from)
{
    struct chunk *c = g_queue_pop_head(&from->chunks);
    uv_stream_t *to = (uv_stream_t *)&from->other->tcp;
    struct write *w;
    uv_buf_t buf;

    if (c->len == 0) {
        g_free(c);
        uv_shutdown(g_new0(uv_shutdown_t, 1), to, shutdown_cb);
        if (from->other->eof) {
            pair_close(from->pair, false);
        }
        return;
    }
    w = g_new0(struct write, 1);
    w->from = from;
    w->chunk = c;
    buf = uv_buf_init(c->data, (unsigned)c->len);
    from->pair->route->bytes += c->len;
    if (uv_write(&w->req, to, &buf, 1, written_cb) != 0) {
        from->queued_bytes -= c->len;
        g_free(c);
        g_free(w);
    }
}

static void endpoint_forward(struct endpoint *from);

static void
forward_cb(struct ggw_fine_timer *timer)
{
    endpoint_forward(timer->data);
}

static void
endpoint_forward(struct endpoint *from)
{
    struct chunk *c;

    const struct route *r = from->pair->route;

    if (r->hold || (r->one_way && from == &from->pair->client) ||
        from->pair->silent || !from->other->connected) {
        return;
    }
    while (!from->other->closed &&
           (c = g_queue_peek_head(&from->chunks)) != NULL) {
        if (c->due > now_ms()) {
            from->timer.data = from;
            ggw_fine_timer_start(relay.timers, &from->timer, c->due,
                                 forward_cb);
            return;
        }
        forward_chunk(from);
    }
}

/*
 * Returns the time of delivery of data read now. A client can send as soon as
 * the relay has accepted; over a real network it would wait for the SYN and
 * SYN-ACK, and its data would take another delay. Hence three delays from the
 * accept at the earliest.
 */
static ggw_ms
due_time(const struct endpoint *e)
{
    ggw_ms delay = e->pair->route->delay;
    ggw_ms due = now_ms() + delay;

    return MAX(due, e->pair->accepted + 3 * delay);
}

/* Queues data read from @e; @len 0 queues the end of the stream. */
static void
endpoint_enqueue(struct endpoint *e, const char *data, size_t len)
{
    struct chunk *c = g_malloc(sizeof(*c) + len);

    c->due = due_time(e);
    c->len = len;
    if (len > 0) {
        memcpy(c->data, data, len);
    }
    e->queued_bytes += len;
    g_queue_push_tail(&e->chunks, c);
    if (e->queued_bytes > MAX_QUEUED_BYTES) {
        e->reading = false;
        uv_read_stop((uv_stream_t *)&e->tcp);
    }
    if (e->timer.pos == 0) {
        endpoint_forward(e);
    }
}

static void
alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    static char buffer[64 * 1024];

    *buf = uv_buf_init(buffer, sizeof(buffer));
}

/*
 * Whether the peer has closed the stream in order. libuv also reports UV_EOF
 * for a connection that was reset behind the bytes it has read.
 */
static bool
ended_in_order(const struct endpoint *e)
{
    char byte;
    int fd;

    return uv_fileno((const uv_handle_t *)&e->tcp, &fd) == 0 &&
           recv(fd, &byte, sizeof(byte), MSG_DONTWAIT) == 0;
}

/* Discards data and the end of the stream of a silent connection. */
static void
read_silent(struct endpoint *e, ssize_t nread)
{
    if (nread < 0) {
        endpoint_close(e, false);
        if (e->other->closed) {
            pair_close(e->pair, false);
        }
    }
}

static void
read_cb(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
    struct endpoint *e = stream->data;

    if (e->pair->silent) {
        read_silent(e, nread);
    }
    else if (nread > 0) {
        endpoint_enqueue(e, buf->base, (size_t)nread);
    }
    else if (nread == UV_EOF && ended_in_order(e)) {
        e->eof = true;
        e->reading = false;
        uv_read_stop(stream);
        endpoint_enqueue(e, NULL, 0);
    }
    else if (nread < 0) {
        pair_close(e->pair, true);
    }
}

static void
connected_cb(uv_connect_t *req, int status)
{
    struct pair *p = req->data;

    if (status != 0) {
        pair_close(p, status != UV_ECANCELED);
        return;
    }
    p->server.connected = true;
    uv_tcp_nodelay(&p->server.tcp, 1);
    endpoint_read(&p->server);
    endpoint_forward(&p->client);
}

static void
connect_cb(struct ggw_fine_timer *timer)
{
    struct pair *p = timer->data;

    p->connect.data = p;
    if (uv_tcp_connect(&p->connect, &p->server.tcp,
                       (const struct sockaddr *)&p->route->target,
                       connected_cb) != 0) {
        pair_close(p, true);
    }
}

static void
endpoint_init(struct pair *p, struct endpoint *e, struct endpoint *other)
{
    uv_tcp_init(&relay.loop, &e->tcp);
    e->tcp.data = e;
    e->pair = p;
    e->other = other;
    g_queue_init(&e->chunks);
    p->open++;
}

static void
accept_cb(uv_stream_t *listener, int status)
{
    struct route *r = listener->data;
    struct pair *p = g_new0(struct pair, 1);

    p->route = r;
    p->accepted = now_ms();
    endpoint_init(p, &p->client, &p->server);
    endpoint_init(p, &p->server, &p->client);
    g_queue_push_tail(&r->pairs, p);
    if (status != 0 || uv_accept(listener, (uv_stream_t *)&p->client.tcp)) {
        pair_close(p, false);
        return;
    }
    r->accepted++;
    p->client.connected = true;
    if (r->cut) {
        pair_close(p, true);
        return;
    }
    uv_tcp_nodelay(&p->client.tcp, 1);
    endpoint_read(&p->client);
    p->connect_timer.data = p;
    ggw_fine_timer_start(relay.timers, &p->connect_timer,
                         p->accepted + r->delay, connect_cb);
}

static void
free_route_cb(uv_handle_t *listener)
{
    struct route *r = listener->data;

    g_free(r->name);
    g_free(r);
}

/*
 * Adds a route from "NAME,LISTEN,TARGET,DELAY_MS". Returns NULL, or a message
 * that describes the error.
 */
static const char *
route_add(const char *spec)
{
    gchar **f = g_strsplit(spec, ",", -1);
    struct route *r = g_new0(struct route, 1);
    const char *problem = NULL;
    char *colon;

    if (g_strv_length(f) != 4 || (colon = strchr(f[2], ':')) == NULL) {
        problem = "a route is NAME,LISTEN,IP:PORT,DELAY_MS";
        goto done;
    }
    *colon = '\0';
    uv_ip4_addr(f[2], (int)strtol(colon + 1, NULL, 10), &r->target);
    r->name = g_strdup(f[0]);
    r->delay = g_ascii_strtod(f[3], NULL);
    r->listener.data = r;
    g_queue_init(&r->pairs);
    if (!standin_listen(&relay.loop, &r->listener, f[1], &r->port,
                        accept_cb)) {
        problem = "cannot listen";
        /* The handle belongs to the loop until it is closed. */
        uv_close((uv_handle_t *)&r->listener, free_route_cb);
        r = NULL;
        goto done;
    }
    g_ptr_array_add(relay.routes, r);
    printf("route %s 127.0.0.1:%u\n", r->name, r->port);
    r = NULL;
done:
    g_strfreev(f);
    g_free(r);
    return problem;
}

static json_t *
control_get(const char *path)
{
    json_t *response;

    if (strcmp(path, "/-/routes") != 0) {
        return NULL;
    }
    response = json_object();
    for (guint i = 0; i < relay.routes->len; i++) {
        struct route *r = g_ptr_array_index(relay.routes, i);

        json_object_set_new(
            response, r->name,
            json_pack("{s:i, s:f, s:b, s:b, s:i, s:I, s:I}", "port", r->port,
                      "delay_ms", r->delay, "cut", r->cut ? 1 : 0, "hold",
                      r->hold ? 1 : 0, "connections", (int)r->pairs.length,
                      "accepted", (json_int_t)r->accepted, "bytes",
                      (json_int_t)r->bytes));
    }
    return response;
}

static void
route_cut(struct route *r)
{
    GList *next;

    r->cut = true;
    for (GList *i = r->pairs.head; i != NULL; i = next) {
        next = i->next;
        pair_close(i->data, true);
    }
}

/*
 * Makes the open connections silent, or ends that; new ones work. What a
 * silent connection has discarded stays lost.
 */
static void
route_silence(struct route *r, bool silent)
{
    for (GList *i = r->pairs.head; i != NULL; i = i->next) {
        ((struct pair *)i->data)->silent = silent;
    }
}

/* Forwards the data that is due, after a hold. */
static void
route_release(struct route *r)
{
    for (GList *i = r->pairs.head; i != NULL; i = i->next) {
        struct pair *p = i->data;

        endpoint_forward(&p->client);
        endpoint_forward(&p->server);
    }
}

static bool
route_set(struct route *r, const char *key, const json_t *value)
{
    if (strcmp(key, "cut") == 0) {
        r->cut = false;
        if (json_is_true(value)) {
            route_cut(r);
        }
    }
    else if (strcmp(key, "silent") == 0) {
        route_silence(r, json_is_true(value));
    }
    else if (strcmp(key, "hold") == 0) {
        r->hold = json_is_true(value);
        if (!r->hold) {
            route_release(r);
        }
    }
    else if (strcmp(key, "one_way") == 0) {
        r->one_way = json_is_true(value);
        if (!r->one_way) {
            route_release(r);
        }
    }
    else if (strcmp(key, "delay_ms") == 0) {
        r->delay = json_number_value(value);
    }
    else {
        return strcmp(key, "route") == 0;
    }
    return true;
}

/*
 * Handles POST /-/set. {"add":"NAME,LISTEN,TARGET,DELAY_MS"} adds a route;
 * {"route":GLOB} with any of the keys cut, silent, hold, one_way and delay_ms
 * changes all routes whose name matches.
 */
static const char *
control_set_routes(json_t *object)
{
    const char *add = json_string_value(json_object_get(object, "add"));
    const char *glob = json_string_value(json_object_get(object, "route"));
    const char *key;
    json_t *value;
    bool found = false;

    if (add != NULL) {
        return route_add(add);
    }
    for (guint i = 0; glob != NULL && i < relay.routes->len; i++) {
        struct route *r = g_ptr_array_index(relay.routes, i);

        if (!g_pattern_match_simple(glob, r->name)) {
            continue;
        }
        found = true;
        json_object_foreach(object, key, value)
        {
            if (!route_set(r, key, value)) {
                return "unknown key";
            }
        }
    }
    return found ? NULL : "no such route";
}

static const GOptionEntry option_entries[] = {
    {"route", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.routes,
     "a route, repeatable; LISTEN is [IP:]PORT, port 0 takes an unused one",
     "NAME,LISTEN,IP:PORT,DELAY_MS"},
    {"control", 0, 0, G_OPTION_ARG_STRING, &opt.control,
     "address of the control page", "IP:PORT"},
    {NULL},
};

static bool
start(int *argc, char ***argv)
{
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;
    const char *problem = NULL;

    g_option_context_add_main_entries(context, option_entries, NULL);
    if (!g_option_context_parse(context, argc, argv, &error)) {
        problem = error->message;
    }
    for (guint i = 0; problem == NULL && opt.routes && opt.routes[i]; i++) {
        problem = route_add(opt.routes[i]);
    }
    if (problem != NULL) {
        fprintf(stderr, "relay: %s\n", problem);
    }
    g_clear_error(&error);
    g_option_context_free(context);
    return problem == NULL;
}

int
main(int argc, char **argv)
{
    uv_loop_init(&relay.loop);
    standin_stop_on_signal(&relay.loop);
    relay.timers = ggw_fine_timers_new(&relay.loop);
    relay.routes = g_ptr_array_new();
    relay.control.get = control_get;
    relay.control.set = control_set_routes;
    if (!start(&argc, &argv) ||
        !control_start(&relay.control, &relay.loop, opt.control)) {
        return 1;
    }
    puts("ready");
    fflush(stdout);
    uv_run(&relay.loop, UV_RUN_DEFAULT);
    return 0;
}
