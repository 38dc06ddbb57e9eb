#include "tests/soak/probes.h"

#include <string.h>

#include "tests/soak/clients.h"
#include "tests/soak/wire.h"

#define TICK_MS 10

/* Mean time between two requests to a gateway, ms. */
#define INTERVAL_MS 60.0

/* Requests that may wait for their responses on a connection. */
#define MAX_PENDING 6

/* Delay before a closed connection is opened again, ms. */
#define RECONNECT_MS 100.0

/* Time limit of a request, ms; its connection is closed then. */
#define TIMEOUT_MS 1500.0

/**
 * struct line - the connection to a gateway
 * @wire: NULL while it is closed
 * @pending: attempts that wait for their responses, in the order of sending
 * @next_at: time of the next connection or request, ms
 */
struct line {
    struct soak_probes *probes;
    int gateway;
    struct soak_wire *wire;
    GQueue pending;
    ggw_ms next_at;
};

struct soak_probes {
    struct soak_world *world;
    GRand *rand;
    const int *version;
    bool active;
    struct line lines[SOAK_GATEWAYS];
    uv_timer_t tick;
};

static void
on_message(struct soak_wire *w)
{
    struct line *l = w->data;
    struct soak_record *record = l->probes->world->record;
    struct soak_attempt *a = g_queue_pop_head(&l->pending);
    int status = w->parser.status_code;

    if (a == NULL) {
        soak_record_stray(record, l->gateway, NULL, soak_now());
        soak_wire_close(w, false);
        return;
    }
    soak_record_named(record, a, soak_wire_header(w, "attempt-id"), status,
                      soak_now());
    soak_record_answered(record, a, status, soak_response_is_genuine(w, a),
                         soak_now());
    if (!http_should_keep_alive(&w->parser)) {
        soak_wire_close(w, false);
    }
}

static void
on_closed(struct soak_wire *w)
{
    struct line *l = w->data;
    struct soak_world *world = l->probes->world;
    const struct soak_gateway *g = &world->gateways[l->gateway];
    bool stopping = g->state != SOAK_RUNNING && !g->killed;
    struct soak_attempt *a;

    if (w->malformed) {
        soak_record_stray(world->record, l->gateway,
                          g_queue_peek_head(&l->pending), soak_now());
    }
    while ((a = g_queue_pop_head(&l->pending)) != NULL) {
        soak_record_disconnected(world->record, a, stopping, soak_now());
    }
    l->wire = NULL;
    l->next_at = soak_now() + RECONNECT_MS;
}

static const struct soak_wire_ops wire_ops = {
    .message = on_message,
    .closed = on_closed,
};

static void
open_line(struct line *l)
{
    struct soak_world *w = l->probes->world;
    g_autofree char *host = soak_world_host(w, SOAK_NET_FRONTS, l->gateway);
    struct sockaddr_in sa;

    uv_ip4_addr(host, SOAK_FRONT_PORT, &sa);
    l->wire = soak_wire_connect(w->loop, &sa, &wire_ops, l);
}

/* Asks for the moved route, or for an added one that may be dropped again. */
static void
send_probe(struct line *l, ggw_ms now)
{
    GRand *rand = l->probes->rand;
    int behind = g_rand_int_range(rand, -2, SOAK_ADDED_VERSIONS + 2);
    int route = MAX(*l->probes->version - behind, 1);
    enum soak_kind kind = behind < 0 ? SOAK_MOVED : SOAK_ADDED;
    g_autofree char *id =
        g_strdup_printf("%08x%08x", g_rand_int(rand), g_rand_int(rand));
    g_autofree char *path = kind == SOAK_MOVED ? g_strdup(soak_prefixes[kind])
                                               : soak_added_prefix(route);
    g_autofree char *text = g_strdup_printf(
        "GET %s%s HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: %s\r\n"
        "Request-Deadline: %.0f\r\n\r\n",
        path, id, id, TIMEOUT_MS);
    struct soak_attempt *a = soak_record_sent(
        l->probes->world->record, id, kind, l->gateway, TIMEOUT_MS, now);

    a->route = kind == SOAK_ADDED ? route : 0;
    g_queue_push_tail(&l->pending, a);
    soak_wire_send(l->wire, text, strlen(text));
}

/* Gives up on all requests of a connection. */
static void
give_up(struct line *l)
{
    struct soak_attempt *a;

    while ((a = g_queue_pop_head(&l->pending)) != NULL) {
        soak_record_timed_out(l->probes->world->record, a);
    }
    soak_wire_close(l->wire, false);
}

static void
line_tick(struct line *l, ggw_ms now)
{
    const struct soak_attempt *first = g_queue_peek_head(&l->pending);

    if (l->wire != NULL && l->wire->closing) {
        return;
    }
    if (first != NULL && now > first->sent + TIMEOUT_MS) {
        give_up(l);
        return;
    }
    if (!l->probes->active || now < l->next_at) {
        return;
    }
    if (l->wire == NULL) {
        open_line(l);
    }
    if (l->pending.length < MAX_PENDING) {
        send_probe(l, now);
    }
    l->next_at =
        now + g_rand_double_range(l->probes->rand, 0, 2 * INTERVAL_MS);
}

static void
tick_cb(uv_timer_t *timer)
{
    struct soak_probes *p = timer->data;

    for (int i = 0; i < SOAK_GATEWAYS; i++) {
        line_tick(&p->lines[i], soak_now());
    }
}

struct soak_probes *
soak_probes_new(struct soak_world *w, GRand *rand, const int *version)
{
    struct soak_probes *p = g_new0(struct soak_probes, 1);

    p->world = w;
    p->rand = rand;
    p->version = version;
    for (int i = 0; i < SOAK_GATEWAYS; i++) {
        p->lines[i].probes = p;
        p->lines[i].gateway = i;
    }
    uv_timer_init(w->loop, &p->tick);
    p->tick.data = p;
    uv_timer_start(&p->tick, tick_cb, TICK_MS, TICK_MS);
    return p;
}

void
soak_probes_set_active(struct soak_probes *p, bool active)
{
    p->active = active;
}
