#include <string.h>

#include "common/log.h"
#include "common/metrics.h"
#include "peers/internal.h"
#include "peers/payload.h"

void
ggw_peers_send_hello_with(struct ggw_conn *conn, uint64_t dead_incarnation,
                          const GPtrArray *targets, guint from, guint to)
{
    struct ggw_peers *p = conn->peers;
    const struct ggw_view_member *self = ggw_view_self(p->view);
    struct ggw_payload_writer w;
    g_autoptr(GBytes) payload = NULL;

    ggw_payload_begin(&w, 13);
    ggw_payload_put_string(&w, p->name);
    ggw_payload_put_uint(&w, self->member.incarnation);
    ggw_payload_put_string(&w, self->member.failure_domain);
    ggw_payload_put_string(&w, self->member.host);
    ggw_payload_put_uint(&w, self->member.port);
    ggw_payload_put_bool(&w, self->left);
    ggw_payload_put_uint(&w, dead_incarnation);
    ggw_payload_put_string(&w, p->peer_host);
    ggw_payload_put_uint(&w, p->listen_port);
    ggw_peers_put_addresses(&w, targets, from, to);
    ggw_payload_put_uint(&w, (uint64_t)self->member.capacity.link_mbps);
    ggw_payload_put_uint(&w, (uint64_t)self->member.capacity.cpu_percent);
    ggw_payload_put_bool(&w, conn->asked_addresses);
    payload = ggw_payload_end(&w);
    ggw_peers_send(conn, GGW_PEER_HELLO, 0, payload);
}

void
ggw_peers_send_hello(struct ggw_conn *conn, uint64_t dead_incarnation)
{
    ggw_peers_send_hello_with(conn, dead_incarnation, NULL, 0, 0);
}

/* A decoded hello. Strings are valid until its payload reader is closed. */
struct hello {
    struct ggw_view_hello view;
    uint64_t dead_incarnation;
    const char *peer_host;
    uint16_t peer_port;
    struct ggw_payload_reader addresses;
    uint32_t addresses_len;
    bool wants_addresses;
};

/* Maximum of each capacity value in a hello: Mbit/s or percent of a core. */
#define CAPACITY_MAX 10000000

/*
 * Reads the capacity. Gateways of earlier versions do not send it; it is then
 * left at 0, unknown.
 */
static void
read_capacity(struct ggw_payload_reader *r, struct ggw_capacity *c)
{
    uint64_t link = ggw_payload_uint(r);
    uint64_t cpu = ggw_payload_uint(r);

    if (r->ok && link <= CAPACITY_MAX && cpu <= CAPACITY_MAX) {
        c->link_mbps = (int)link;
        c->cpu_percent = (int)cpu;
    }
}

static bool
read_hello(struct ggw_payload_reader *r, struct hello *h)
{
    uint64_t port;
    uint64_t peer_port;
    bool ok;

    memset(h, 0, sizeof(*h));
    h->view.name = ggw_payload_string(r);
    h->view.incarnation = ggw_payload_uint(r);
    h->view.failure_domain = ggw_payload_string(r);
    h->view.host = ggw_payload_string(r);
    port = ggw_payload_uint(r);
    h->view.leaving = ggw_payload_bool(r);
    h->dead_incarnation = ggw_payload_uint(r);
    h->peer_host = ggw_payload_string(r);
    peer_port = ggw_payload_uint(r);
    h->view.port = (uint16_t)port;
    h->peer_port = (uint16_t)peer_port;
    ok = r->ok;
    h->addresses_len = ggw_payload_array(r, &h->addresses) / 2;
    read_capacity(r, &h->view.capacity);
    /* Gateways of earlier versions expect addresses without asking. */
    h->wants_addresses = ggw_payload_at_end(r) || ggw_payload_bool(r);
    return ok && *h->view.name != '\0' && h->view.incarnation != 0 &&
           port <= UINT16_MAX && peer_port <= UINT16_MAX;
}

static struct ggw_peer *
find_or_add_peer(struct ggw_peers *p, const char *name)
{
    struct ggw_peer *peer = g_hash_table_lookup(p->peers, name);

    if (peer == NULL) {
        peer = g_new0(struct ggw_peer, 1);
        peer->name = g_strdup(name);
        peer->conns = g_ptr_array_new();
        /*
         * Starting at a random number keeps acknowledgements that were meant
         * for an earlier process from matching.
         */
        peer->seq = g_rand_int(p->rand);
        g_hash_table_insert(p->peers, peer->name, peer);
    }
    return peer;
}

/*
 * Makes all targets without an active link due for dialling now. A new link
 * often means that a network fault has ended. If some pairs of gateways stayed
 * disconnected for the rest of their backoff, two gateways could each reach a
 * majority and own the same servers for longer than the hold-down of 1 s.
 */
static void
reset_dial_backoff(struct ggw_peers *p)
{
    ggw_ms now = ggw_kernel_now(p->base.kernel);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_target *t = value;

        t->next_dial_at = MIN(t->next_dial_at, now);
        t->backoff = GGW_PEERS_INITIAL_BACKOFF;
    }
}

/* Assigns a connection to the gateway that sent the first hello on it. */
static void
attach_to_peer(struct ggw_conn *conn, const struct hello *h)
{
    struct ggw_peers *p = conn->peers;
    bool we_are_lower = strcmp(p->name, h->view.name) < 0;
    bool dialled = conn->target != NULL;
    struct ggw_target *t =
        ggw_peers_find_or_add_target(p, h->peer_host, h->peer_port);

    conn->peer = find_or_add_peer(p, h->view.name);
    ggw_link_limit_frames(conn->link, GGW_FRAME_MAX);
    conn->dialled_by_lower = dialled == we_are_lower;
    g_ptr_array_add(conn->peer->conns, conn);
    reset_dial_backoff(p);
    if (dialled) {
        g_free(conn->target->name);
        conn->target->name = g_strdup(h->view.name);
    }
    if (t != NULL && t->name == NULL) {
        t->name = g_strdup(h->view.name);
        t->unannounced = true;
        p->has_unannounced = true;
    }
}

/* Takes a new incarnation after the other end declared this gateway dead. */
static void
renew_incarnation(struct ggw_conn *conn, uint64_t dead_incarnation)
{
    struct ggw_peers *p = conn->peers;
    const struct ggw_view_member *self = ggw_view_self(p->view);
    double wall = ggw_clock_wall(ggw_kernel_clock(p->base.kernel));
    uint64_t next = MAX((uint64_t)wall, dead_incarnation + 1);

    if (self->left) {
        return;
    }
    if (dead_incarnation < self->member.incarnation) {
        /*
         * The other end answered a hello that was sent before this gateway
         * took its current incarnation.
         */
        ggw_peers_send_hello(conn, 0);
        return;
    }
    ggw_log_warn("peers", "other gateways declared this one dead; rejoining "
                          "with a new incarnation");
    ggw_view_set_incarnation(p->view, next);
    for (guint i = 0; i < p->conns->len; i++) {
        struct ggw_conn *c = g_ptr_array_index(p->conns, i);

        if (c->peer != NULL) {
            ggw_peers_send_hello(c, 0);
        }
    }
}

/*
 * Tells the other end that its incarnation is considered dead. If a newer
 * process uses the same name, closes the link instead, which frees @conn.
 */
static bool
reject_incarnation(struct ggw_conn *conn, const char *name,
                   uint64_t incarnation)
{
    const struct ggw_view_member *m = ggw_view_find(conn->peers->view, name);

    if (m == NULL || incarnation < m->member.incarnation) {
        ggw_link_close(conn->link, "replaced");
        return true;
    }
    ggw_peers_send_hello(conn, m->gone);
    return true;
}

static bool
handle_hello(struct ggw_conn *conn, const struct hello *h)
{
    struct ggw_peers *p = conn->peers;
    ggw_ms now = ggw_kernel_now(p->base.kernel);

    if (strcmp(h->view.name, p->name) == 0) {
        if (conn->target != NULL) {
            conn->target->self = true;
        }
        ggw_link_close(conn->link, "self");
        return true;
    }
    if (conn->peer != NULL && strcmp(conn->peer->name, h->view.name) != 0) {
        return false;
    }
    if (h->dead_incarnation != 0) {
        renew_incarnation(conn, h->dead_incarnation);
    }
    if (conn->peer == NULL) {
        attach_to_peer(conn, h);
    }
    if (!ggw_view_hello(p->view, &h->view, now)) {
        return reject_incarnation(conn, h->view.name, h->view.incarnation);
    }
    if (conn->peer->incarnation != h->view.incarnation) {
        conn->peer->incarnation = h->view.incarnation;
        conn->peer->seq_received = 0;
    }
    conn->peer->heartbeat_due = true;
    p->has_due_heartbeats = true;
    ggw_peers_set_wants_addresses(conn, h->wants_addresses);
    ggw_peers_publish_soon(p, now);
    return true;
}

bool
ggw_peers_on_hello(struct ggw_conn *conn, const struct ggw_frame *frame)
{
    struct ggw_peers *p = conn->peers; /* handle_hello() may free @conn */
    struct ggw_payload_reader r;
    struct hello h;
    bool ok;

    ggw_payload_open(&r, frame->payload, frame->payload_len);
    ok = read_hello(&r, &h) && handle_hello(conn, &h);
    if (ok) {
        ggw_peers_learn_addresses(p, &h.addresses, h.addresses_len);
    }
    ggw_payload_close(&r);
    return ok;
}

static void
put_revisions(struct ggw_peers *p, struct ggw_payload_writer *w)
{
    GHashTableIter iter;
    gpointer team;
    gpointer revision;

    ggw_payload_put_array(w, g_hash_table_size(p->revisions) * 2);
    g_hash_table_iter_init(&iter, p->revisions);
    while (g_hash_table_iter_next(&iter, &team, &revision)) {
        ggw_payload_put_string(w, team);
        ggw_payload_put_uint(w, *(uint64_t *)revision);
    }
}

void
ggw_peers_send_heartbeat(struct ggw_peer *peer, struct ggw_conn *conn,
                         ggw_ms now)
{
    struct ggw_peers *p = conn->peers;
    const struct ggw_view_member *self = ggw_view_self(p->view);
    uint64_t seq = ++peer->seq;
    struct ggw_payload_writer w;
    g_autoptr(GBytes) payload = NULL;

    ggw_payload_begin(&w, 6);
    ggw_payload_put_uint(&w, self->member.incarnation);
    ggw_payload_put_bool(&w, self->left);
    ggw_payload_put_uint(&w, seq);
    ggw_payload_put_uint(&w, peer->seq_received);
    ggw_payload_put_double(&w, now - peer->received_at);
    put_revisions(p, &w);
    payload = ggw_payload_end(&w);
    peer->heartbeat_due = false;
    peer->sent_seqs[seq % GGW_PEERS_HEARTBEAT_HISTORY] = seq;
    peer->sent_at[seq % GGW_PEERS_HEARTBEAT_HISTORY] = now;
    ggw_peers_send(conn, GGW_PEER_HEARTBEAT, 0, payload);
}

/*
 * Handles the acknowledgement of a heartbeat. @ack_delay is the time in ms
 * between the arrival of that heartbeat at the other end and the
 * acknowledgement; it does not count towards the round-trip time.
 */
static void
on_ack(struct ggw_conn *conn, uint64_t seq, ggw_ms ack_delay, ggw_ms now)
{
    struct ggw_peers *p = conn->peers;
    struct ggw_peer *peer = conn->peer;
    size_t i = seq % GGW_PEERS_HEARTBEAT_HISTORY;

    if (seq == 0 || peer->sent_seqs[i] != seq) {
        return;
    }
    peer->sent_seqs[i] = 0; /* ignore repeated acknowledgements */
    peer->rtt = MAX(now - peer->sent_at[i] - ack_delay, 0);
    ggw_view_record_ack(p->view, peer->name, peer->incarnation,
                        peer->sent_at[i]);
    ggw_peers_update_majority_soon(p);
    ggw_kernel_send(
        p->base.kernel, "slots", &p->base,
        ggw_peer_heard_new(peer->name, peer->rtt, p->majority_valid_until));
    ggw_kernel_send(
        p->base.kernel, "allotments", &p->base,
        ggw_peer_heard_new(peer->name, peer->rtt, p->majority_valid_until));
}

/* Reports the teams whose revision is higher than the one in force here. */
static void
on_revisions(struct ggw_conn *conn, struct ggw_payload_reader *r)
{
    struct ggw_peers *p = conn->peers;
    struct ggw_payload_reader list;
    uint32_t n = ggw_payload_array(r, &list) / 2;

    for (uint32_t i = 0; i < n && list.ok; i++) {
        const char *team = ggw_payload_string(&list);
        uint64_t revision = ggw_payload_uint(&list);
        const uint64_t *own = g_hash_table_lookup(p->revisions, team);

        if (list.ok && revision > (own != NULL ? *own : 0)) {
            ggw_kernel_send(
                p->base.kernel, "config", &p->base,
                ggw_peer_revision_new(conn->peer->name, team, revision));
        }
    }
}

bool
ggw_peers_on_heartbeat(struct ggw_conn *conn, const struct ggw_frame *frame)
{
    struct ggw_peers *p = conn->peers;
    ggw_ms now = ggw_kernel_now(p->base.kernel);
    struct ggw_payload_reader r;
    uint64_t incarnation;
    uint64_t seq;
    uint64_t ack;
    ggw_ms ack_delay;
    bool leaving;
    bool ok;

    ggw_payload_open(&r, frame->payload, frame->payload_len);
    incarnation = ggw_payload_uint(&r);
    leaving = ggw_payload_bool(&r);
    seq = ggw_payload_uint(&r);
    ack = ggw_payload_uint(&r);
    ack_delay = ggw_payload_double(&r);
    ok = r.ok;
    if (ok && !ggw_view_record_heartbeat(p->view, conn->peer->name,
                                         incarnation, leaving, now)) {
        reject_incarnation(conn, conn->peer->name, incarnation);
    }
    else if (ok) {
        conn->peer->seq_received = seq;
        conn->peer->received_at = now;
        on_ack(conn, ack, ack_delay, now);
        on_revisions(conn, &r);
        ggw_peers_publish_soon(p, now);
    }
    ggw_payload_close(&r);
    return ok;
}
