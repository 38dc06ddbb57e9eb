/*
 * Stand-in for the network: TCP routes with a delay per direction, which the
 * control page can cut, silence or hold, in one direction or both.
 */
#include <glib.h>

#include "common/fine_timer.h"
#include "standins/control.h"

/* Bytes under way in one direction before the relay stops reading. */
#define MAX_QUEUED (4 * 1024 * 1024)

struct route {
    char *name;
    struct sockaddr_in target;
    uint16_t port;
    ggw_ms delay;
    uv_tcp_t listener;
    bool cut, hold;
    bool one_way; /* what clients send is held */
    GQueue pairs; /* struct pair */
    uint64_t accepted, bytes;
};

struct chunk {
    ggw_ms due;
    size_t len; /* 0: end of the stream */
    char data[];
};

/* One direction of a connection: from the peer of @tcp to the other side. */
struct side {
    uv_tcp_t tcp;
    struct pair *pair;
    struct side *other;
    GQueue chunks; /* struct chunk, read from this side, in order */
    size_t queued;
    struct ggw_fine_timer timer;
    bool connected, reading, ended, closed;
};

struct pair {
    struct route *route;
    struct side client, server;
    struct ggw_fine_timer connect_timer;
    uv_connect_t connect;
    ggw_ms accepted;
    bool silent;
    int open; /* handles that libuv has not closed yet */
};

struct write {
    uv_write_t req;
    struct side *from;
    struct chunk *chunk;
};

static struct {
    uv_loop_t loop;
    struct control control;
    struct ggw_fine_timers *timers;
    GPtrArray *routes;
} world;

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
side_closed_cb(uv_handle_t *handle)
{
    struct side *s = handle->data;
    struct pair *p = s->pair;

    g_queue_clear_full(&s->chunks, g_free);
    if (--p->open == 0) {
        g_queue_remove(&p->route->pairs, p);
        g_free(p);
    }
}

static void
side_close(struct side *s, bool reset)
{
    if (s->closed) {
        return;
    }
    s->closed = true;
    ggw_fine_timer_stop(world.timers, &s->timer);
    /* A reset is refused once a shutdown is under way. */
    if (reset && s->connected &&
        uv_tcp_close_reset(&s->tcp, side_closed_cb) == 0) {
        return;
    }
    uv_close((uv_handle_t *)&s->tcp, side_closed_cb);
}

static void
pair_close(struct pair *p, bool reset)
{
    ggw_fine_timer_stop(world.timers, &p->connect_timer);
    side_close(&p->client, reset);
    side_close(&p->server, reset);
}

static void
side_read(struct side *s)
{
    if (!s->reading && !s->closed && !s->ended) {
        s->reading = true;
        uv_read_start((uv_stream_t *)&s->tcp, alloc_cb, read_cb);
    }
}

static void
written_cb(uv_write_t *req, int status)
{
    struct write *w = (struct write *)req;
    struct side *from = w->from;

    from->queued -= w->chunk->len;
    if (status == 0 && from->queued < MAX_QUEUED / 2) {
        side_read(from);
    }
    g_free(w->chunk);
    g_free(w);
}

static void
shut_cb(uv_shutdown_t *req, int status)
{
    g_free(req);
}

/* Takes the next chunk of @from off its queue and sends it on. */
static void
forward_one(struct side *from)
{
    struct chunk *c = g_queue_pop_head(&from->chunks);
    uv_stream_t *to = (uv_stream_t *)&from->other->tcp;
    struct write *w;
    uv_buf_t buf;

    if (c->len == 0) {
        g_free(c);
        uv_shutdown(g_new0(uv_shutdown_t, 1), to, shut_cb);
        if (from->other->ended) {
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
        from->queued -= c->len;
        g_free(c);
        g_free(w);
    }
}

static void side_forward(struct side *from);

static void
forward_cb(struct ggw_fine_timer *timer)
{
    side_forward(timer->data);
}

static void
side_forward(struct side *from)
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
            ggw_fine_timer_start(world.timers, &from->timer, c->due,
                                 forward_cb);
            return;
        }
        forward_one(from);
    }
}

/*
 * A client may send as soon as the relay has accepted. Over a real network it
 * would wait for SYN and SYN-ACK first, so nothing passes before then.
 */
static ggw_ms
due_time(const struct side *s)
{
    ggw_ms delay = s->pair->route->delay;
    ggw_ms due = now_ms() + delay;

    return MAX(due, s->pair->accepted + 3 * delay);
}

static void
side_push(struct side *s, const char *data, size_t len)
{
    struct chunk *c = g_malloc(sizeof(*c) + len);

    c->due = due_time(s);
    c->len = len;
    if (len > 0) {
        memcpy(c->data, data, len);
    }
    s->queued += len;
    g_queue_push_tail(&s->chunks, c);
    if (s->queued > MAX_QUEUED) {
        s->reading = false;
        uv_read_stop((uv_stream_t *)&s->tcp);
    }
    if (s->timer.pos == 0) {
        side_forward(s);
    }
}

static void
alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    static char space[64 * 1024];

    *buf = uv_buf_init(space, sizeof(space));
}

/* A silent connection takes data and its end without passing them on. */
static void
read_silent(struct side *s, ssize_t nread)
{
    if (nread < 0) {
        side_close(s, false);
        if (s->other->closed) {
            pair_close(s->pair, false);
        }
    }
}

static void
read_cb(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
    struct side *s = stream->data;

    if (s->pair->silent) {
        read_silent(s, nread);
    }
    else if (nread > 0) {
        side_push(s, buf->base, (size_t)nread);
    }
    else if (nread == UV_EOF) {
        s->ended = true;
        s->reading = false;
        uv_read_stop(stream);
        side_push(s, NULL, 0);
    }
    else if (nread < 0) {
        pair_close(s->pair, true);
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
    side_read(&p->server);
    side_forward(&p->client);
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
side_init(struct pair *p, struct side *s, struct side *other)
{
    uv_tcp_init(&world.loop, &s->tcp);
    s->tcp.data = s;
    s->pair = p;
    s->other = other;
    g_queue_init(&s->chunks);
    p->open++;
}

static void
accept_cb(uv_stream_t *listener, int status)
{
    struct route *r = listener->data;
    struct pair *p = g_new0(struct pair, 1);

    p->route = r;
    p->accepted = now_ms();
    side_init(p, &p->client, &p->server);
    side_init(p, &p->server, &p->client);
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
    side_read(&p->client);
    p->connect_timer.data = p;
    ggw_fine_timer_start(world.timers, &p->connect_timer,
                         p->accepted + r->delay, connect_cb);
}

/* "NAME,LISTEN,TARGET,DELAY_MS" */
static const char *
route_add(const char *spec)
{
    gchar **f = g_strsplit(spec, ",", -1);
    struct route *r = g_new0(struct route, 1);
    const char *wrong = NULL;
    char *colon;

    if (g_strv_length(f) != 4 || (colon = strchr(f[2], ':')) == NULL) {
        wrong = "a route is NAME,LISTEN,IP:PORT,DELAY_MS";
        goto done;
    }
    *colon = '\0';
    uv_ip4_addr(f[2], (int)strtol(colon + 1, NULL, 10), &r->target);
    r->name = g_strdup(f[0]);
    r->delay = g_ascii_strtod(f[3], NULL);
    r->listener.data = r;
    g_queue_init(&r->pairs);
    if (!standin_listen(&world.loop, &r->listener, f[1], &r->port,
                        accept_cb)) {
        wrong = "cannot listen";
        goto done;
    }
    g_ptr_array_add(world.routes, r);
    printf("route %s 127.0.0.1:%u\n", r->name, r->port);
    r = NULL;
done:
    g_strfreev(f);
    if (r != NULL) {
        g_free(r->name);
        g_free(r);
    }
    return wrong;
}

static json_t *
control_get(const char *path)
{
    json_t *answer;

    if (strcmp(path, "/-/routes") != 0) {
        return NULL;
    }
    answer = json_object();
    for (guint i = 0; i < world.routes->len; i++) {
        struct route *r = g_ptr_array_index(world.routes, i);

        json_object_set_new(
            answer, r->name,
            json_pack("{s:i, s:f, s:b, s:b, s:i, s:I, s:I}", "port", r->port,
                      "delay_ms", r->delay, "cut", r->cut ? 1 : 0, "hold",
                      r->hold ? 1 : 0, "connections", (int)r->pairs.length,
                      "accepted", (json_int_t)r->accepted, "bytes",
                      (json_int_t)r->bytes));
    }
    return answer;
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

static void
route_silence(struct route *r)
{
    for (GList *i = r->pairs.head; i != NULL; i = i->next) {
        ((struct pair *)i->data)->silent = true;
    }
}

static void
route_release(struct route *r)
{
    for (GList *i = r->pairs.head; i != NULL; i = i->next) {
        struct pair *p = i->data;

        side_forward(&p->client);
        side_forward(&p->server);
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
        route_silence(r);
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
 * {"add":"NAME,..."}, or {"route":GLOB} with cut, silent, hold, one_way,
 * delay_ms.
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
    for (guint i = 0; glob != NULL && i < world.routes->len; i++) {
        struct route *r = g_ptr_array_index(world.routes, i);

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

static const GOptionEntry entries[] = {
    {"route", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.routes,
     "a route, repeated; port 0 takes an unused one",
     "NAME,LISTEN,IP:PORT,DELAY_MS"},
    {"control", 0, 0, G_OPTION_ARG_STRING, &opt.control, "control page",
     "IP:PORT"},
    {NULL},
};

static bool
start(int *argc, char ***argv)
{
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;
    const char *wrong = NULL;

    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, argc, argv, &error)) {
        wrong = error->message;
    }
    for (guint i = 0; wrong == NULL && opt.routes && opt.routes[i]; i++) {
        wrong = route_add(opt.routes[i]);
    }
    if (wrong != NULL) {
        fprintf(stderr, "relay: %s\n", wrong);
    }
    g_clear_error(&error);
    g_option_context_free(context);
    return wrong == NULL;
}

int
main(int argc, char **argv)
{
    uv_loop_init(&world.loop);
    standin_stop_on_signal(&world.loop);
    world.timers = ggw_fine_timers_new(&world.loop);
    world.routes = g_ptr_array_new();
    world.control.get = control_get;
    world.control.set = control_set_routes;
    if (!start(&argc, &argv) ||
        !control_start(&world.control, &world.loop, opt.control)) {
        return 1;
    }
    puts("ready");
    fflush(stdout);
    uv_run(&world.loop, UV_RUN_DEFAULT);
    return 0;
}
