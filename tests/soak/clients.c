#include "tests/soak/clients.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "tests/soak/wire.h"

#define GROUPS (2 * SOAK_ZONES)
#define TICK_MS 10
#define TRIES 3
#define DIRECTORY_TIMEOUT_MS 1000.0
#define CONNECT_TIMEOUT_MS 1000.0
#define ASK_AGAIN_MS 100.0
#define REPEAT_MS 50.0

/* A gateway that failed a client is not used by it for this time, ms. */
#define AVOID_MS 1000.0

/* Part of the requests that use an open connection, if there is one. */
#define REUSE_PART 0.8

/* How long clients wait, by kind, ms. */
static const double deadlines[SOAK_KINDS] = {1500, 2500, 2500, 1500};

/* Kinds of ten requests. */
static const enum soak_kind mix[] = {
    SOAK_STATUS, SOAK_STATUS, SOAK_STATUS, SOAK_STATUS, SOAK_ORDER,
    SOAK_ORDER,  SOAK_ORDER,  SOAK_FILE,   SOAK_MOVED,  SOAK_MOVED};

/**
 * struct group - clients of one zone that behave alike
 * @keep_factor: how much longer than its time an answer is kept
 * @idle: open connections without a request, by gateway; struct soak_wire
 */
struct group {
    struct soak_clients *clients;
    int zone;
    double keep_factor;
    int gateways[SOAK_GATEWAYS];
    int gateways_len;
    ggw_ms ask_at;
    int ask_next; /* gateway whose directory is asked next */
    struct soak_wire *asking;
    ggw_ms asking_until;
    ggw_ms avoid_until[SOAK_GATEWAYS];
    GQueue idle[SOAK_GATEWAYS];
};

struct soak_clients {
    struct soak_world *world;
    GRand *rand;
    struct group groups[GROUPS];
    GQueue requests; /* struct request */
    double per_ms;
    double due;
    ggw_ms ticked;
    uv_timer_t tick;
};

/**
 * struct request - one request of a client, with the attempts for it
 * @attempt: under way, or NULL before @next_at
 */
struct request {
    struct group *group;
    enum soak_kind kind;
    ggw_ms until;
    int tries;
    ggw_ms next_at;
    struct soak_attempt *attempt;
    ggw_ms connect_until;
    struct conn *conn;
};

/* A connection to a gateway. */
struct conn {
    struct group *group;
    int gateway;
    struct soak_wire *wire;
    struct request *request;
};

static void
request_end(struct request *r)
{
    g_queue_remove(&r->group->clients->requests, r);
    g_free(r);
}

/* Plans another attempt if the kind and the time allow it. */
static void
request_repeat(struct request *r, bool not_run, ggw_ms after)
{
    ggw_ms now = soak_now();
    bool may = not_run || r->kind != SOAK_ORDER;

    r->attempt = NULL;
    r->conn = NULL;
    if (!may || --r->tries <= 0 || now + after >= r->until) {
        request_end(r);
        return;
    }
    r->next_at = now + after;
}

static bool
is_genuine(const struct soak_wire *w, const struct soak_attempt *a)
{
    const char *id = soak_wire_header(w, "attempt-id");
    const char *signature = soak_wire_header(w, "response-signature");
    size_t len;
    g_autofree char *body = soak_body(a->id, a->kind, &len);
    g_autofree char *end = g_strdup_printf(".%s.%zu", a->id, len);

    return g_strcmp0(id, a->id) == 0 && signature != NULL &&
           g_str_has_suffix(signature, end) && w->body->len == len &&
           memcmp(w->body->str, body, len) == 0;
}

static void
on_message(struct soak_wire *w)
{
    struct conn *c = w->data;
    struct request *r = c->request;
    int status = w->parser.status_code;
    const char *after = soak_wire_header(w, "retry-after");
    struct soak_record *record = c->group->clients->world->record;
    bool keep = http_should_keep_alive(&w->parser) != 0;

    if (r == NULL) {
        soak_record_violate(record, soak_now(), "MIXED",
                            "status %d from gateway %d without a request",
                            status, c->gateway);
        soak_wire_close(w, false);
        return;
    }
    c->request = NULL;
    soak_record_answered(record, r->attempt, status, is_genuine(w, r->attempt),
                         soak_now());
    if (status / 100 == 2) {
        request_end(r);
    }
    else {
        request_repeat(r, status == 503 || status == 429 || status == 421,
                       after != NULL ? 1e3 * g_ascii_strtod(after, NULL)
                                     : REPEAT_MS);
    }
    if (keep) {
        g_queue_push_tail(&c->group->idle[c->gateway], w);
    }
    else {
        soak_wire_close(w, false);
    }
}

static bool
is_leaving(const struct soak_world *w, int gateway)
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
    if (c->request != NULL) {
        c->group->avoid_until[c->gateway] = soak_now() + AVOID_MS;
        soak_record_cut(world->record, c->request->attempt,
                        is_leaving(world, c->gateway), soak_now());
        request_repeat(c->request, false, REPEAT_MS);
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
    c->wire = soak_wire_dial(g->clients->world->loop, &to, &wire_ops, c);
    return c;
}

static struct conn *
conn_for(struct group *g, int gateway)
{
    GQueue *idle = &g->idle[gateway];
    struct soak_wire *w = NULL;

    if (g_rand_double(g->clients->rand) < REUSE_PART) {
        w = g_queue_pop_tail(idle);
    }
    return w != NULL && !w->closing ? w->data : conn_new(g, gateway);
}

/* One of the group's gateways, of those that did not fail it lately. */
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
    ggw_ms left = r->until - now;
    g_autofree char *id = g_strdup_printf(
        "%08x%08x", g_rand_int(clients->rand), g_rand_int(clients->rand));
    g_autofree char *text = NULL;

    text = g_strdup_printf(
        "%s %s%s HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: %s\r\n"
        "Request-Deadline: %.0f\r\n%s\r\n",
        r->kind == SOAK_ORDER ? "POST" : "GET", soak_prefixes[r->kind], id, id,
        floor(left), r->kind == SOAK_ORDER ? "Content-Length: 0\r\n" : "");
    r->attempt = soak_record_sent(clients->world->record, id, r->kind, gateway,
                                  left, now);
    r->conn = conn_for(r->group, gateway);
    r->conn->request = r;
    r->connect_until = now + CONNECT_TIMEOUT_MS;
    soak_wire_send(r->conn->wire, text, strlen(text));
}

static void
request_new(struct soak_clients *c, ggw_ms now)
{
    struct group *g = &c->groups[g_rand_int_range(c->rand, 0, GROUPS)];
    struct request *r;

    if (g->gateways_len == 0) {
        return; /* knows no gateway yet */
    }
    r = g_new0(struct request, 1);
    r->group = g;
    r->kind = mix[g_rand_int_range(c->rand, 0, G_N_ELEMENTS(mix))];
    r->until = now + deadlines[r->kind];
    r->tries = TRIES;
    r->next_at = now;
    g_queue_push_tail(&c->requests, r);
}

/* Gives up what is late, and starts the attempts that are due. */
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
    if (now >= r->until) {
        soak_record_timed_out(r->group->clients->world->record, r->attempt);
        c->request = NULL;
        soak_wire_close(c->wire, false);
        request_end(r);
    }
    else if (!c->wire->connected && now >= r->connect_until) {
        soak_wire_close(c->wire, false); /* reported as cut */
        r->connect_until = INFINITY;
    }
}

static void
on_directory(struct soak_wire *w)
{
    struct group *g = w->data;
    json_t *root = json_loadb(w->body->str, w->body->len, 0, NULL);
    const json_t *list = json_object_get(root, "Addresses");
    double keep = json_number_value(json_object_get(root, "TtlS"));
    const json_t *entry;
    size_t i;

    if (w->parser.status_code == 200 && json_array_size(list) > 0) {
        g->gateways_len = 0;
        json_array_foreach(list, i, entry)
        {
            const char *text = json_string_value(entry);
            unsigned n;

            if (text != NULL && g->gateways_len < SOAK_GATEWAYS &&
                sscanf(text, "%*u.%*u.%*u.%u:", &n) == 1 && n >= 1 &&
                n <= SOAK_GATEWAYS) {
                g->gateways[g->gateways_len++] = (int)n - 1;
            }
        }
        g->ask_at = soak_now() + 1e3 * keep * g->keep_factor;
        g->ask_next = 0;
    }
    json_decref(root);
    soak_wire_close(w, false);
}

static void
on_directory_closed(struct soak_wire *w)
{
    ((struct group *)w->data)->asking = NULL;
}

static const struct soak_wire_ops directory_ops = {
    .message = on_directory,
    .closed = on_directory_closed,
};

/* Asks the directories one after the other, the own zone's first. */
static void
ask_directory(struct group *g, ggw_ms now)
{
    struct soak_world *world = g->clients->world;
    int nearest = g->ask_next % 2 * SOAK_ZONES + g->ask_next / 2;
    int gateway = (g->zone + nearest) % SOAK_GATEWAYS;
    struct sockaddr_in to =
        address_of(world, SOAK_NET_GATEWAYS, gateway, SOAK_DIRECTORY_PORT);
    g_autofree char *text = g_strdup_printf(
        "GET /v1/resolve?Name=soak.example&Region=r&Zone=%s HTTP/1.1\r\n"
        "Host: d\r\n\r\n",
        soak_zones[g->zone]);

    g->ask_next = (g->ask_next + 1) % SOAK_GATEWAYS;
    g->ask_at = now + ASK_AGAIN_MS;
    g->asking_until = now + DIRECTORY_TIMEOUT_MS;
    g->asking = soak_wire_dial(world->loop, &to, &directory_ops, g);
    soak_wire_send(g->asking, text, strlen(text));
}

static void
group_tick(struct group *g, ggw_ms now)
{
    if (g->asking == NULL && now >= g->ask_at) {
        ask_directory(g, now);
    }
    else if (g->asking != NULL && now >= g->asking_until) {
        soak_wire_close(g->asking, false);
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
    c->due += c->per_ms * (now - c->ticked);
    c->ticked = now;
    for (; c->due >= 1; c->due--) {
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
    c->ticked = soak_now();
    for (int i = 0; i < GROUPS; i++) {
        c->groups[i].clients = c;
        c->groups[i].zone = i % SOAK_ZONES;
        c->groups[i].keep_factor = i < SOAK_ZONES ? 1 : 3;
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
soak_clients_open(const struct soak_clients *c)
{
    return (int)c->requests.length;
}
