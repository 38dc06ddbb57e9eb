#include "tests/soak/clients.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "tests/soak/wire.h"

/* One group per zone obeys the TTL of the directory, one exceeds it. */
#define GROUPS (2 * SOAK_ZONES)
#define TICK_MS 10

/* Attempts at a request, with the first one. */
#define MAX_ATTEMPTS 3

#define DIRECTORY_TIMEOUT_MS 1000.0
#define CONNECT_TIMEOUT_MS 1000.0

/* Time between directory lookups until one succeeds, ms. */
#define DIRECTORY_RETRY_MS 100.0

/* Delay of a retry without a retry-after header, ms. */
#define RETRY_DELAY_MS 50.0

/* A group avoids a gateway this long after a broken connection, ms. */
#define AVOID_MS 1000.0

/* Bytes of a wrong body that are printed. */
#define LOGGED_BYTES ((size_t)300)

/* Ratio of requests that reuse an idle connection, if there is one. */
#define REUSE_RATIO 0.8

/* Time limit of a request with its retries, by enum soak_kind, ms. */
static const double timeouts_ms[SOAK_KINDS] = {1500, 2500, 2500, 1500, 1500};

/* Each request gets a random entry as its kind. */
static const enum soak_kind kind_mix[] = {
    SOAK_STATUS, SOAK_STATUS, SOAK_STATUS, SOAK_STATUS, SOAK_ORDER,
    SOAK_ORDER,  SOAK_ORDER,  SOAK_FILE,   SOAK_MOVED,  SOAK_MOVED};

/**
 * struct group - clients of one zone with a common directory cache
 * @ttl_factor: the directory's response is cached for its TTL times this
 * @gateways: indexes of the gateways in the cached response
 * @lookup_at: time of the next directory lookup, ms
 * @next_directory: which directory is asked next, counted from the nearest
 * @lookup: connection of the lookup in progress, or NULL
 * @lookup_deadline: when the lookup in progress is given up, ms
 * @avoid_until: by gateway, ms
 * @idle: idle connections by gateway, struct soak_wire
 */
struct group {
    struct soak_clients *clients;
    int zone;
    double ttl_factor;
    int gateways[SOAK_GATEWAYS];
    int gateways_len;
    ggw_ms lookup_at;
    int next_directory;
    struct soak_wire *lookup;
    ggw_ms lookup_deadline;
    ggw_ms avoid_until[SOAK_GATEWAYS];
    GQueue idle[SOAK_GATEWAYS];
};

/**
 * struct soak_clients - all clients of a run
 * @requests: requests in progress, struct request
 * @per_ms: request rate, per ms
 * @requests_due: requests to start; the fraction is carried over
 */
struct soak_clients {
    struct soak_world *world;
    GRand *rand;
    struct group groups[GROUPS];
    GQueue requests;
    double per_ms;
    double requests_due;
    ggw_ms last_tick_at;
    uv_timer_t tick;
};

/**
 * struct request - one request of a client
 * @deadline: when the client gives up, ms
 * @next_at: start of the next attempt, ms
 * @attempt: the attempt in progress, or NULL until @next_at
 * @connect_deadline: when an attempt to connect is given up, ms
 * @conn: connection of the attempt in progress
 */
struct request {
    struct group *group;
    enum soak_kind kind;
    ggw_ms deadline;
    int attempts_left;
    ggw_ms next_at;
    struct soak_attempt *attempt;
    ggw_ms connect_deadline;
    struct conn *conn;
};

/*
 * A connection to a gateway; @request is NULL while it is idle, and after its
 * client has @abandoned it.
 */
struct conn {
    struct group *group;
    int gateway;
    struct soak_wire *wire;
    struct request *request;
    bool abandoned;
};

static void
request_end(struct request *r)
{
    g_queue_remove(&r->group->clients->requests, r);
    g_free(r);
}

/* Schedules a retry in @delay ms, or ends a request that must not have one. */
static void
request_retry(struct request *r, bool not_run, ggw_ms delay)
{
    ggw_ms now = soak_now();
    bool may_retry = not_run || r->kind != SOAK_ORDER;

    r->attempt = NULL;
    r->conn = NULL;
    if (!may_retry || --r->attempts_left <= 0 || now + delay >= r->deadline) {
        request_end(r);
        return;
    }
    r->next_at = now + delay;
}

bool
soak_response_is_genuine(const struct soak_wire *w,
                         const struct soak_attempt *a)
{
    const char *id = soak_wire_header(w, "attempt-id");
    const char *signature = soak_wire_header(w, "response-signature");
    size_t len;
    g_autofree char *body = soak_response_body(a->id, a->kind, &len);
    g_autofree char *end = g_strdup_printf(".%s.%zu", a->id, len);

    return g_strcmp0(id, a->id) == 0 && signature != NULL &&
           g_str_has_suffix(signature, end) && w->body->len == len &&
           memcmp(w->body->str, body, len) == 0;
}

/* Prints how a body differs from the one that a server generates. */
static void
log_difference(const struct soak_wire *w, const struct soak_attempt *a,
               int gateway)
{
    size_t len;
    g_autofree char *body = soak_response_body(a->id, a->kind, &len);
    const char *id = soak_wire_header(w, "attempt-id");
    g_autofree char *text = NULL;
    g_autofree char *escaped = NULL;
    size_t at = 0;

    while (at < MIN(len, w->body->len) && body[at] == w->body->str[at]) {
        at++;
    }
    text = g_strndup(w->body->str + at, MIN(w->body->len - at, LOGGED_BYTES));
    escaped = g_strescape(text, NULL);
    printf("  attempt %s got id %s, %zu of %zu bytes, the first %zu right, "
           "then \"%s\", from gateway %d\n",
           a->id, id != NULL ? id : "none", w->body->len, len, at, escaped,
           gateway);
}

static void
on_message(struct soak_wire *w)
{
    struct conn *c = w->data;
    struct request *r = c->request;
    int status = w->parser.status_code;
    const char *id = soak_wire_header(w, "attempt-id");
    const char *retry_after = soak_wire_header(w, "retry-after");
    struct soak_record *record = c->group->clients->world->record;
    bool keep = http_should_keep_alive(&w->parser) != 0;

    if (r == NULL) {
        soak_record_add_violation(
            record, soak_now(), "MIXED",
            "unsolicited response with status %d from gateway %d", status,
            c->gateway);
        soak_wire_close(w, false);
        return;
    }
    c->request = NULL;
    soak_wire_set_paced(w, false);
    if (!soak_response_is_genuine(w, r->attempt) && status / 100 == 2) {
        log_difference(w, r->attempt, c->gateway);
    }
    soak_record_named(record, r->attempt, id, status, soak_now());
    soak_record_answered(record, r->attempt, status,
                         soak_response_is_genuine(w, r->attempt), soak_now());
    if (status / 100 == 2) {
        request_end(r);
    }
    else {
        request_retry(r, status == 503 || status == 429 || status == 421,
                      retry_after != NULL
                          ? 1e3 * g_ascii_strtod(retry_after, NULL)
                          : RETRY_DELAY_MS);
    }
    if (keep) {
        g_queue_push_tail(&c->group->idle[c->gateway], w);
    }
    else {
        soak_wire_close(w, false);
    }
}

/* Whether bytes arrived that are no part of a response to a request. */
static bool
got_stray_bytes(const struct soak_wire *w)
{
    const struct conn *c = w->data;

    return w->malformed ||
           (c->request == NULL && !c->abandoned && w->message_started);
}

static void
record_stray(const struct soak_wire *w)
{
    const struct conn *c = w->data;
    const struct soak_attempt *a =
        c->request != NULL ? c->request->attempt : NULL;

    printf("  gateway %d sent bytes that are no response: %s, status %u, %zu "
           "bytes of the body, attempt %s%s\n",
           c->gateway, http_errno_name((enum http_errno)w->parser.http_errno),
           w->parser.status_code, w->body->len, a != NULL ? a->id : "none",
           a != NULL && a->server_broke_off ? ", broken off by its server"
                                            : "");
    soak_record_stray(c->group->clients->world->record, c->gateway, a,
                      soak_now());
}

static bool
is_stopping(const struct soak_world *w, int gateway)
{
    const struct soak_gateway *g = &w->gateways[gateway];

    return g->state != SOAK_RUNNING && !g->killed;
}

static void
on_closed(struct soak_wire *w)
{
    struct conn *c = w->data;
    struct soak_world *world = c->group->clients->world;

    g_queue_remove(&c->group->idle[c->gateway], w);
    if (got_stray_bytes(w)) {
        record_stray(w);
    }
    if (c->request != NULL) {
        c->group->avoid_until[c->gateway] = soak_now() + AVOID_MS;
        soak_record_disconnected(world->record, c->request->attempt,
                                 is_stopping(world, c->gateway), soak_now());
        request_retry(c->request, false, RETRY_DELAY_MS);
    }
    g_free(c);
}

static const struct soak_wire_ops wire_ops = {
    .message = on_message,
    .closed = on_closed,
};

static struct sockaddr_in
address_of(const struct soak_world *w, enum soak_net net, int index, int port)
{
    g_autofree char *host = soak_world_host(w, net, index);
    struct sockaddr_in sa;

    uv_ip4_addr(host, port, &sa);
    return sa;
}

static struct conn *
conn_new(struct group *g, int gateway)
{
    struct conn *c = g_new0(struct conn, 1);
    struct sockaddr_in to = address_of(g->clients->world, SOAK_NET_FRONTS,
                                       gateway, SOAK_FRONT_PORT);

    c->group = g;
    c->gateway = gateway;
    c->wire = soak_wire_connect(g->clients->world->loop, &to, &wire_ops, c);
    return c;
}

static struct conn *
conn_get(struct group *g, int gateway)
{
    GQueue *idle = &g->idle[gateway];
    struct soak_wire *w = NULL;

    if (g_rand_double(g->clients->rand) < REUSE_RATIO) {
        w = g_queue_pop_tail(idle);
    }
    return w != NULL && !w->closing ? w->data : conn_new(g, gateway);
}

/* A random gateway of the cached ones; avoided ones only if all are. */
static int
pick_gateway(const struct group *g, ggw_ms now)
{
    int usable[SOAK_GATEWAYS];
    int n = 0;

    for (int i = 0; i < g->gateways_len; i++) {
        if (g->avoid_until[g->gateways[i]] <= now) {
            usable[n++] = g->gateways[i];
        }
    }
    if (n == 0) {
        return g
            ->gateways[g_rand_int_range(g->clients->rand, 0, g->gateways_len)];
    }
    return usable[g_rand_int_range(g->clients->rand, 0, n)];
}

static void
attempt_start(struct request *r, ggw_ms now)
{
    struct soak_clients *clients = r->group->clients;
    int gateway = pick_gateway(r->group, now);
    ggw_ms time_left = r->deadline - now;
    g_autofree char *id = g_strdup_printf(
        "%08x%08x", g_rand_int(clients->rand), g_rand_int(clients->rand));
    g_autofree char *text = NULL;

    text = g_strdup_printf(
        "%s %s%s HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: %s\r\n"
        "Request-Deadline: %.0f\r\n%s\r\n",
        r->kind == SOAK_ORDER ? "POST" : "GET", soak_prefixes[r->kind], id, id,
        floor(time_left),
        r->kind == SOAK_ORDER ? "Content-Length: 0\r\n" : "");
    r->attempt = soak_record_sent(clients->world->record, id, r->kind, gateway,
                                  time_left, now);
    r->conn = conn_get(r->group, gateway);
    r->conn->request = r;
    if (soak_response_is_large(id, r->kind)) {
        soak_wire_set_paced(r->conn->wire, true);
    }
    r->connect_deadline = now + CONNECT_TIMEOUT_MS;
    soak_wire_send(r->conn->wire, text, strlen(text));
}

static void
request_new(struct soak_clients *c, ggw_ms now)
{
    struct group *g = &c->groups[g_rand_int_range(c->rand, 0, GROUPS)];
    struct request *r;

    if (g->gateways_len == 0) {
        return; /* no directory lookup has succeeded yet */
    }
    r = g_new0(struct request, 1);
    r->group = g;
    r->kind = kind_mix[g_rand_int_range(c->rand, 0, G_N_ELEMENTS(kind_mix))];
    r->deadline = now + timeouts_ms[r->kind];
    r->attempts_left = MAX_ATTEMPTS;
    r->next_at = now;
    g_queue_push_tail(&c->requests, r);
}

/* Starts the attempt that is due, or applies the time limits. */
static void
request_tick(struct request *r, ggw_ms now)
{
    struct conn *c = r->conn;

    if (r->attempt == NULL) {
        if (now >= r->next_at) {
            attempt_start(r, now);
        }
        return;
    }
    if (now >= r->deadline) {
        soak_record_timed_out(r->group->clients->world->record, r->attempt);
        c->request = NULL;
        c->abandoned = true;
        soak_wire_close(c->wire, false);
        request_end(r);
    }
    else if (!c->wire->connected && now >= r->connect_deadline) {
        soak_wire_close(c->wire, false); /* on_closed() reports it */
        r->connect_deadline = INFINITY;
    }
    else if (c->wire->paced) {
        soak_wire_resume(c->wire);
    }
}

static void
on_directory(struct soak_wire *w)
{
    struct group *g = w->data;
    json_t *root = json_loadb(w->body->str, w->body->len, 0, NULL);
    const json_t *addresses = json_object_get(root, "Addresses");
    double ttl_s = json_number_value(json_object_get(root, "TtlS"));
    const json_t *entry;
    size_t i;

    if (w->parser.status_code == 200 && json_array_size(addresses) > 0) {
        g->gateways_len = 0;
        json_array_foreach(addresses, i, entry)
        {
            const char *text = json_string_value(entry);
            unsigned n;

            if (text != NULL && g->gateways_len < SOAK_GATEWAYS &&
                sscanf(text, "%*u.%*u.%*u.%u:", &n) == 1 && n >= 1 &&
                n <= SOAK_GATEWAYS) {
                g->gateways[g->gateways_len++] = (int)n - 1;
            }
        }
        g->lookup_at = soak_now() + 1e3 * ttl_s * g->ttl_factor;
        g->next_directory = 0;
    }
    json_decref(root);
    soak_wire_close(w, false);
}

static void
on_directory_closed(struct soak_wire *w)
{
    ((struct group *)w->data)->lookup = NULL;
}

static const struct soak_wire_ops directory_ops = {
    .message = on_directory,
    .closed = on_directory_closed,
};

/*
 * Looks gateways up in one directory. Each retry asks another gateway's
 * directory; the two in the group's own zone come first.
 */
static void
start_lookup(struct group *g, ggw_ms now)
{
    struct soak_world *world = g->clients->world;
    int offset = g->next_directory % 2 * SOAK_ZONES + g->next_directory / 2;
    int gateway = (g->zone + offset) % SOAK_GATEWAYS;
    struct sockaddr_in to =
        address_of(world, SOAK_NET_GATEWAYS, gateway, SOAK_DIRECTORY_PORT);
    g_autofree char *text = g_strdup_printf(
        "GET /v1/resolve?Name=soak.example&Region=r&Zone=%s HTTP/1.1\r\n"
        "Host: d\r\n\r\n",
        soak_zones[g->zone]);

    g->next_directory = (g->next_directory + 1) % SOAK_GATEWAYS;
    g->lookup_at = now + DIRECTORY_RETRY_MS;
    g->lookup_deadline = now + DIRECTORY_TIMEOUT_MS;
    g->lookup = soak_wire_connect(world->loop, &to, &directory_ops, g);
    soak_wire_send(g->lookup, text, strlen(text));
}

static void
group_tick(struct group *g, ggw_ms now)
{
    if (g->lookup == NULL && now >= g->lookup_at) {
        start_lookup(g, now);
    }
    else if (g->lookup != NULL && now >= g->lookup_deadline) {
        soak_wire_close(g->lookup, false);
    }
}

static void
tick_cb(uv_timer_t *timer)
{
    struct soak_clients *c = timer->data;
    ggw_ms now = soak_now();
    GList *next;

    for (int i = 0; i < GROUPS; i++) {
        group_tick(&c->groups[i], now);
    }
    c->requests_due += c->per_ms * (now - c->last_tick_at);
    c->last_tick_at = now;
    for (; c->requests_due >= 1; c->requests_due--) {
        request_new(c, now);
    }
    for (GList *i = c->requests.head; i != NULL; i = next) {
        next = i->next;
        request_tick(i->data, now);
    }
}

struct soak_clients *
soak_clients_new(struct soak_world *w, GRand *rand)
{
    struct soak_clients *c = g_new0(struct soak_clients, 1);

    c->world = w;
    c->rand = rand;
    c->last_tick_at = soak_now();
    for (int i = 0; i < GROUPS; i++) {
        c->groups[i].clients = c;
        c->groups[i].zone = i % SOAK_ZONES;
        c->groups[i].ttl_factor = i < SOAK_ZONES ? 1 : 3;
    }
    uv_timer_init(w->loop, &c->tick);
    c->tick.data = c;
    uv_timer_start(&c->tick, tick_cb, TICK_MS, TICK_MS);
    return c;
}

void
soak_clients_set_rate(struct soak_clients *c, double per_s)
{
    c->per_ms = per_s / 1e3;
}

int
soak_clients_pending(const struct soak_clients *c)
{
    return (int)c->requests.length;
}
