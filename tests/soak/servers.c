#include "tests/soak/servers.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "tests/soak/wire.h"

/* Requests that a server processes at once, and that it queues. */
#define MAX_RUNNING 2
#define MAX_QUEUED 4

/* Time to process a request, before a random factor, ms. */
#define WORK_MS 40.0

/*
 * Sizes of the response bodies: of SOAK_FILE, some of which are large, and of
 * the other kinds.
 */
#define BODY_BYTES 100
#define FILE_BYTES 60000
#define LARGE_FILE_BYTES (3 * 1024 * 1024)

/* Files whose id begins with one of these digits are large. */
#define LARGE_FILE_DIGITS "0123"

const char *const soak_zones[SOAK_ZONES] = {"zone-a", "zone-b", "zone-c"};
const char *const soak_services[SOAK_SERVICES] = {"status", "orders", "files"};
const char *const soak_prefixes[SOAK_KINDS] = {
    "/status/", "/orders/", "/files/", "/moved/", "/added-"};

struct soak_servers {
    uv_loop_t *loop;
    struct soak_record *record;
    GRand *rand;
    struct ggw_fine_timers *timers;
    struct soak_server servers[SOAK_SERVERS];
};

/* A connection to a server; @work is its current request, or NULL. */
struct conn {
    struct soak_server *server;
    struct soak_responder *responder;
    struct work *work;
};

/* A request that a server accepted; @wire is NULL once it was closed. */
struct work {
    struct soak_server *server;
    struct soak_wire *wire;
    struct soak_attempt *attempt;
    ggw_ms deadline;
    uv_timer_t timer;
    bool running;
};

ggw_ms
soak_now(void)
{
    return ggw_clock_now(ggw_clock_system());
}

bool
soak_response_is_large(const char *id, enum soak_kind kind)
{
    return kind == SOAK_FILE && strchr(LARGE_FILE_DIGITS, id[0]) != NULL;
}

char *
soak_response_body(const char *id, enum soak_kind kind, size_t *len)
{
    size_t id_len = strlen(id);
    char *body;

    *len = kind == SOAK_FILE ? FILE_BYTES : BODY_BYTES;
    if (soak_response_is_large(id, kind)) {
        *len = LARGE_FILE_BYTES;
    }
    body = g_malloc(*len);
    for (size_t i = 0; i < *len; i++) {
        body[i] = id[i % id_len];
    }
    return body;
}

static struct soak_responder *
responder_of(const struct soak_wire *w)
{
    return ((struct conn *)w->data)->responder;
}

/* Header lines of each response, and @more lines. */
static char *
header_lines(const struct soak_server *s, const char *more)
{
    return g_strdup_printf(
        "Instance-Id: %s\r\nInstance-Load: %d,%u,%d,%.0f\r\n%s%s%s", s->id,
        s->busy, s->queue.length, MAX_RUNNING, 100 * s->slowdown, more,
        s->leaving ? "Server-Leaving: 1\r\n" : "",
        s->cold_until > soak_now() ? "Cold-Remaining: 1000\r\n" : "");
}

/* Sends a response without a body; @id is NULL if it names no attempt. */
static void
send_empty(struct soak_server *s, struct soak_wire *w, int status,
           const char *id, const char *more)
{
    g_autofree char *headers = header_lines(s, more);
    struct soak_response response = {
        .status = status,
        .id = id,
        .headers = headers,
        .body = "",
    };

    soak_responder_send(responder_of(w), &response);
}

static void
refuse(struct soak_server *s, struct soak_wire *w, int status)
{
    send_empty(s, w, status, NULL, "Not-Executed: 1\r\n");
}

/* Refuses an attempt and asks its gateway for a pause. */
static void
refuse_for_pause(struct soak_server *s, struct soak_wire *w,
                 const struct soak_attempt *a)
{
    g_autofree char *more = g_strdup_printf(
        "Not-Executed: 1\r\nRetry-After: %.3f\r\n", s->pause / 1e3);

    soak_record_paused(s->pool->record, s->id, a->gateway, s->pause,
                       soak_now());
    send_empty(s, w, 503, a->id, more);
}

static void start_queued(struct soak_server *s);

static void
work_close_cb(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void
work_end(struct work *work)
{
    struct soak_server *s = work->server;

    if (work->running) {
        s->busy--;
    }
    else {
        g_queue_remove(&s->queue, work);
    }
    if (work->wire != NULL) {
        ((struct conn *)work->wire->data)->work = NULL;
    }
    uv_close((uv_handle_t *)&work->timer, work_close_cb);
    start_queued(s);
}

static void
send_response(struct work *work)
{
    struct soak_server *s = work->server;
    struct soak_attempt *a = work->attempt;
    GRand *rand = s->pool->rand;
    size_t len;
    g_autofree char *body = soak_response_body(a->id, a->kind, &len);
    g_autofree char *more = g_strdup_printf(
        "Response-Signature: %s.%s.%zu\r\n", s->id, a->id, len);
    g_autofree char *headers = header_lines(s, more);
    struct soak_response response = {200, a->id, headers, body, len};
    struct soak_responder *responder = responder_of(work->wire);
    double draw = g_rand_double(rand);

    if (draw < s->lose_ratio) {
        soak_wire_close(work->wire, true);
    }
    else if (draw < s->lose_ratio + s->truncate_ratio) {
        bool framed = g_rand_double(rand) >= s->faults.unframed_ratio;

        soak_responder_send_half(responder, &response, framed, a);
    }
    else {
        a->leaving = s->leaving ? s->id : NULL;
        soak_responder_send_faulty(responder, &response, &s->faults, a);
    }
}

static void
work_done_cb(uv_timer_t *timer)
{
    struct work *work = timer->data;

    if (work->wire != NULL) {
        send_response(work);
    }
    work_end(work);
}

static void
work_run(struct work *work)
{
    struct soak_server *s = work->server;
    double factor = g_rand_double_range(s->pool->rand, 0.7, 1.5);

    work->running = true;
    s->busy++;
    soak_record_ran(s->pool->record, work->attempt, soak_now());
    uv_timer_start(&work->timer, work_done_cb,
                   (uint64_t)(WORK_MS * factor * s->slowdown), 0);
}

static void
start_queued(struct soak_server *s)
{
    while (s->running && s->busy < MAX_RUNNING) {
        struct work *work = g_queue_pop_head(&s->queue);

        if (work == NULL) {
            return;
        }
        if (soak_now() > work->deadline) {
            refuse(s, work->wire, 503);
            work->running = true; /* as it has left the queue */
            s->busy++;
            work_end(work);
            return;
        }
        work_run(work);
    }
}

static int
kind_of_path(const char *url)
{
    for (int i = 0; i < SOAK_KINDS; i++) {
        if (g_str_has_prefix(url, soak_prefixes[i])) {
            return i;
        }
    }
    return -1;
}

char *
soak_added_prefix(int version)
{
    return g_strdup_printf("%s%d/", soak_prefixes[SOAK_ADDED], version);
}

/* Number in the prefix of SOAK_ADDED; 0 in other paths. */
static int
route_of_path(const char *url)
{
    int route = 0;

    return sscanf(url, "/added-%d/", &route) == 1 ? route : 0;
}

static struct work *
work_new(struct soak_server *s, struct soak_wire *w, struct soak_attempt *a,
         ggw_ms deadline)
{
    struct work *work = g_new0(struct work, 1);

    work->server = s;
    work->wire = w;
    work->attempt = a;
    work->deadline = soak_now() + deadline;
    uv_timer_init(s->pool->loop, &work->timer);
    work->timer.data = work;
    ((struct conn *)w->data)->work = work;
    return work;
}

static void
accept_request(struct soak_server *s, struct soak_wire *w)
{
    const char *deadline = soak_wire_header(w, "request-deadline");
    ggw_ms now = soak_now();
    struct soak_arrival arrival = {
        .id = soak_wire_header(w, "attempt-id"),
        .server = s->id,
        .path_kind = kind_of_path(w->url->str),
        .route = route_of_path(w->url->str),
        .service = s->service,
        .deadline = deadline != NULL ? g_ascii_strtod(deadline, NULL) : -1,
        .drain_acked_at = s->drain_acked_at,
        .drain_bound = s->drain_bound,
        .cold = s->cold_until > now,
    };
    struct soak_attempt *a =
        soak_record_arrived(s->pool->record, &arrival, now);

    if (a == NULL) {
        refuse(s, w, 400);
        return;
    }
    if (s->pause > 0) {
        refuse_for_pause(s, w, a);
    }
    else if (s->busy < MAX_RUNNING) {
        work_run(work_new(s, w, a, arrival.deadline));
    }
    else if (s->queue.length < MAX_QUEUED) {
        g_queue_push_tail(&s->queue, work_new(s, w, a, arrival.deadline));
    }
    else {
        refuse(s, w, 503);
    }
}

static void
on_message(struct soak_wire *w)
{
    struct soak_server *s = ((struct conn *)w->data)->server;
    const char *expected = soak_wire_header(w, "expected-instance");

    if (soak_responder_is_ended(responder_of(w))) {
        return; /* it crossed the end of the connection */
    }
    if (strcmp(w->url->str, "/health") == 0) {
        send_empty(s, w, 200, NULL, "");
    }
    else if (expected != NULL && strcmp(expected, s->id) != 0) {
        refuse(s, w, 421);
    }
    else {
        accept_request(s, w);
    }
}

static void
on_closed(struct soak_wire *w)
{
    struct conn *c = w->data;

    g_queue_remove(&c->server->wires, w);
    if (c->work != NULL) {
        c->work->wire = NULL; /* closing cancels the request */
        uv_timer_stop(&c->work->timer);
        work_end(c->work);
    }
    if (c->responder != NULL) {
        soak_responder_free(c->responder);
    }
    g_free(c);
}

static const struct soak_wire_ops wire_ops = {
    .message = on_message,
    .closed = on_closed,
};

static void
accept_cb(uv_stream_t *listener, int status)
{
    struct soak_server *s = listener->data;
    struct conn *c = g_new0(struct conn, 1);
    struct soak_wire *w;

    c->server = s;
    w = soak_wire_accept(listener, &wire_ops, c);
    if (w == NULL) {
        return; /* on_closed() frees @c */
    }
    c->responder = soak_responder_new(w, s->pool->rand, s->pool->timers);
    g_queue_push_tail(&s->wires, w);
    if (!s->running) {
        soak_wire_close(w, true);
    }
}

void
soak_server_record_cut(struct soak_server *s)
{
    for (GList *i = s->wires.head; i != NULL; i = i->next) {
        soak_responder_record_cut(responder_of(i->data));
    }
}

void
soak_server_crash(struct soak_server *s)
{
    s->running = false;
    soak_server_record_cut(s);
    for (GList *i = s->wires.head; i != NULL; i = i->next) {
        soak_wire_close(i->data, true);
    }
}

void
soak_server_start(struct soak_server *s, ggw_ms cold)
{
    s->running = true;
    s->born = (guint64)ggw_clock_wall(ggw_clock_system());
    s->cold_until = cold > 0 ? soak_now() + cold : 0;
    s->drain_acked_at = INFINITY;
    s->leaving = false;
    s->pause = 0;
    soak_record_server_restarted(s->pool->record, s->id);
}

struct soak_server *
soak_servers_get(struct soak_servers *pool, int index)
{
    return &pool->servers[index];
}

static void
server_init(struct soak_servers *pool, int index, const char *host, int port)
{
    struct soak_server *s = &pool->servers[index];
    g_autofree char *address = g_strdup_printf("%s.%d", host, index + 1);
    struct sockaddr_in sa;

    s->pool = pool;
    s->index = index;
    s->id = g_strdup_printf("i-%02d", index);
    s->service = index % SOAK_SERVICES;
    s->zone = index / SOAK_SERVICES % SOAK_ZONES;
    s->slowdown = 1;
    s->rewrite_at = INFINITY;
    uv_ip4_addr(address, port, &sa);
    uv_tcp_init(pool->loop, &s->listener);
    s->listener.data = s;
    if (uv_tcp_bind(&s->listener, (struct sockaddr *)&sa, 0) != 0 ||
        uv_listen((uv_stream_t *)&s->listener, 128, accept_cb) != 0) {
        g_error("backend server cannot listen on %s:%d", address, port);
    }
    soak_server_start(s, 0);
}

struct soak_servers *
soak_servers_new(uv_loop_t *loop, struct soak_record *r, GRand *rand,
                 const char *host, int port)
{
    struct soak_servers *pool = g_new0(struct soak_servers, 1);

    pool->loop = loop;
    pool->record = r;
    pool->rand = rand;
    pool->timers = ggw_fine_timers_new(loop);
    for (int i = 0; i < SOAK_SERVERS; i++) {
        server_init(pool, i, host, port);
    }
    return pool;
}

void
soak_servers_stop_listening(struct soak_servers *pool)
{
    for (int i = 0; i < SOAK_SERVERS; i++) {
        uv_close((uv_handle_t *)&pool->servers[i].listener, NULL);
    }
}
