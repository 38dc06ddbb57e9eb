#include <string.h>

#include "common/log.h"
#include "common/metrics.h"
#include "peers/internal.h"
#include "peers/payload.h"

#define MAX_ADDRESSES 64

/* Which addresses of other gateways a hello has. */
enum addresses {
    ADDRESSES_ALL,
    ADDRESSES_NEW, /* learned since the others were told last */
};

static bool
is_told(const struct ggw_target *t, enum addresses which)
{
    return t->name != NULL && !t->self &&
           (which == ADDRESSES_ALL || t->untold);
}

static void
put_addresses(struct ggw_peers *p, struct ggw_payload_writer *w,
              enum addresses which)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t n = 0;

    g_hash_table_iter_init(&iter, p->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        n += is_told(value, which) && n < MAX_ADDRESSES;
    }
    if (which == ADDRESSES_NEW) {
        *ggw_counter("ggw_peer_new_addresses_sent_total") += n;
    }
    ggw_payload_put_array(w, n * 2);
    g_hash_table_iter_init(&iter, p->targets);
    while (n > 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ggw_target *t = value;
        char host[INET_ADDRSTRLEN];

        if (is_told(t, which)) {
            uv_ip4_name(&t->address, host, sizeof(host));
            ggw_payload_put_string(w, host);
            ggw_payload_put_uint(w, ntohs(t->address.sin_port));
            n--;
        }
    }
}

static void
send_hello(struct ggw_conn *conn, uint64_t refused, enum addresses which)
{
    struct ggw_peers *p = conn->peers;
    const struct ggw_view_member *self = ggw_view_self(p->view);
    struct ggw_payload_writer w;
    g_autoptr(GBytes) payload = NULL;

    ggw_payload_begin(&w, 12);
    ggw_payload_put_string(&w, p->name);
    ggw_payload_put_uint(&w, self->member.incarnation);
    ggw_payload_put_string(&w, self->member.failure_domain);
    ggw_payload_put_string(&w, self->member.host);
    ggw_payload_put_uint(&w, self->member.port);
    ggw_payload_put_bool(&w, self->left);
    ggw_payload_put_uint(&w, refused);
    ggw_payload_put_string(&w, p->peer_host);
    ggw_payload_put_uint(&w, p->listen_port);
    put_addresses(p, &w, which);
    ggw_payload_put_uint(&w, (uint64_t)self->member.capacity.link_mbps);
    ggw_payload_put_uint(&w, (uint64_t)self->member.capacity.cpu_percent);
    payload = ggw_payload_end(&w);
    ggw_peers_send(conn, GGW_PEER_HELLO, 0, payload);
}

void
ggw_peers_send_hello(struct ggw_conn *conn, uint64_t refused)
{
    send_hello(conn, refused, ADDRESSES_ALL);
}

struct hello {
    struct ggw_view_hello view;
    uint64_t refused;
    const char *peer_host;
    uint16_t peer_port;
    struct ggw_payload_reader addresses;
    uint32_t addresses_len;
};

#define CAPACITY_MAX 10000000 /* of a figure in a hello */

/* Gateways of earlier versions do not tell it. */
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
    h->refused = ggw_payload_uint(r);
    h->peer_host = ggw_payload_string(r);
    peer_port = ggw_payload_uint(r);
    h->view.port = (uint16_t)port;
    h->peer_port = (uint16_t)peer_port;
    ok = r->ok;
    h->addresses_len = ggw_payload_array(r, &h->addresses) / 2;
    read_capacity(r, &h->view.capacity);
    return ok && *h->view.name != '\0' && h->view.incarnation != 0 &&
           port <= UINT16_MAX && peer_port <= UINT16_MAX;
}

/* Addresses that the other end knows, so that one seed is enough. */
static void
learn_addresses(struct ggw_peers *p, struct hello *h)
{
    struct ggw_payload_reader *list = &h->addresses;
    uint32_t n = MIN(h->addresses_len, MAX_ADDRESSES);

    for (uint32_t i = 0; i < n && list->ok; i++) {
        const char *host = ggw_payload_string(list);
        uint64_t port = ggw_payload_uint(list);

        if (list->ok && port <= UINT16_MAX) {
            ggw_peers_target(p, host, (uint16_t)port);
        }
    }
}

static struct ggw_peer *
peer_of(struct ggw_peers *p, const char *name)
{
    struct ggw_peer *peer = g_hash_table_lookup(p->peers, name);

    if (peer == NULL) {
        peer = g_new0(struct ggw_peer, 1);
        peer->name = g_strdup(name);
        peer->conns = g_ptr_array_new();
        /* Echoes meant for an earlier process must not match. */
        peer->seq = g_rand_int(p->rand);
        g_hash_table_insert(p->peers, peer->name, peer);
    }
    return peer;
}

/*
 * With a list of VMs the others know new addresses already. Each of them was
 * sent all that was known when its link opened, so that only new ones follow.
 */
void
ggw_peers_tell_addresses(struct ggw_peers *p)
{
    GHashTableIter iter;
    gpointer value;

    if (!p->new_addresses) {
        return;
    }
    p->new_addresses = false;
    for (guint i = 0; !p->has_list && i < p->conns->len; i++) {
        struct ggw_conn *c = g_ptr_array_index(p->conns, i);

        if (c->peer != NULL) {
            send_hello(c, 0, ADDRESSES_NEW);
        }
    }
    g_hash_table_iter_init(&iter, p->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct ggw_target *)value)->untold = false;
    }
}

/*
 * Dials all missing gateways at once. A new link often means that a network
 * fault has ended; if some pairs then stayed apart for as long as their
 * backoff, two gateways could each reach a majority and be owner of the same
 * servers for longer than the hold-down of 1 s.
 */
static void
dial_missing(struct ggw_peers *p)
{
    ggw_ms now = ggw_kernel_now(p->base.kernel);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_target *t = value;

        t->next_at = MIN(t->next_at, now);
        t->backoff = GGW_PEERS_BACKOFF;
    }
}

static void
attach(struct ggw_conn *conn, const struct hello *h)
{
    struct ggw_peers *p = conn->peers;
    bool we_are_lower = strcmp(p->name, h->view.name) < 0;
    bool dialled = conn->target != NULL;
    struct ggw_target *t = ggw_peers_target(p, h->peer_host, h->peer_port);

    conn->peer = peer_of(p, h->view.name);
    conn->by_lower = dialled == we_are_lower;
    g_ptr_array_add(conn->peer->conns, conn);
    dial_missing(p);
    if (dialled) {
        g_free(conn->target->name);
        conn->target->name = g_strdup(h->view.name);
    }
    if (t != NULL && t->name == NULL) {
        t->name = g_strdup(h->view.name);
        t->untold = true;
        p->new_addresses = true;
    }
}

/* The other end counts this incarnation as dead: take a new one. */
static void
renew(struct ggw_conn *conn, uint64_t refused)
{
    struct ggw_peers *p = conn->peers;
    const struct ggw_view_member *self = ggw_view_self(p->view);
    double wall = ggw_clock_wall(ggw_kernel_clock(p->base.kernel));
    uint64_t next = MAX((uint64_t)wall, refused + 1);

    if (self->left) {
        return;
    }
    if (refused < self->member.incarnation) {
        /* The hello on this link was sent before the new incarnation. */
        ggw_peers_send_hello(conn, 0);
        return;
    }
    ggw_log_warn("peers", "others count this gateway as dead; it joins again");
    ggw_view_set_incarnation(p->view, next);
    for (guint i = 0; i < p->conns->len; i++) {
        struct ggw_conn *c = g_ptr_array_index(p->conns, i);

        if (c->peer != NULL) {
            ggw_peers_send_hello(c, 0);
        }
    }
}

/*
 * Tells the other end that its incarnation is over, unless a newer process
 * has the name; then the link is closed.
 */
static bool
refuse(struct ggw_conn *conn, const char *name, uint64_t incarnation)
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
    if (h->refused != 0) {
        renew(conn, h->refused);
    }
    if (conn->peer == NULL) {
        attach(conn, h);
    }
    if (!ggw_view_hello(p->view, &h->view, now)) {
        return refuse(conn, h->view.name, h->view.incarnation);
    }
    if (conn->peer->incarnation != h->view.incarnation) {
        conn->peer->incarnation = h->view.incarnation;
        conn->peer->seq_received = 0;
    }
    p->next_heartbeat = MIN(p->next_heartbeat, now);
    ggw_peers_publish(p);
    return true;
}

bool
ggw_peers_on_hello(struct ggw_conn *conn, const struct ggw_frame *frame)
{
    struct ggw_peers *p = conn->peers; /* @conn may be freed below */
    struct ggw_payload_reader r;
    struct hello h;
    bool ok;

    ggw_payload_open(&r, frame->payload, frame->payload_len);
    ok = read_hello(&r, &h) && handle_hello(conn, &h);
    if (ok) {
        learn_addresses(p, &h);
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
    peer->sent_seqs[seq % GGW_PEERS_SENT] = seq;
    peer->sent_at[seq % GGW_PEERS_SENT] = now;
    ggw_peers_send(conn, GGW_PEER_HEARTBEAT, 0, payload);
}

static void
on_ack(struct ggw_conn *conn, uint64_t seq, ggw_ms held, ggw_ms now)
{
    struct ggw_peers *p = conn->peers;
    struct ggw_peer *peer = conn->peer;
    size_t i = seq % GGW_PEERS_SENT;

    if (seq == 0 || peer->sent_seqs[i] != seq) {
        return;
    }
    peer->sent_seqs[i] = 0; /* a repeated echo says nothing new */
    peer->rtt = MAX(now - peer->sent_at[i] - held, 0);
    ggw_view_record_ack(p->view, peer->name, peer->incarnation,
                        peer->sent_at[i]);
    ggw_kernel_send(p->base.kernel, "slots", &p->base,
                    ggw_peer_heard_new(peer->name, peer->rtt,
                                       ggw_view_majority_until(p->view)));
}

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
    ggw_ms held;
    bool leaving;
    bool ok;

    ggw_payload_open(&r, frame->payload, frame->payload_len);
    incarnation = ggw_payload_uint(&r);
    leaving = ggw_payload_bool(&r);
    seq = ggw_payload_uint(&r);
    ack = ggw_payload_uint(&r);
    held = ggw_payload_double(&r);
    ok = r.ok;
    if (ok && !ggw_view_record_heartbeat(p->view, conn->peer->name,
                                         incarnation, leaving, now)) {
        refuse(conn, conn->peer->name, incarnation);
    }
    else if (ok) {
        conn->peer->seq_received = seq;
        conn->peer->received_at = now;
        on_ack(conn, ack, held, now);
        on_revisions(conn, &r);
        ggw_peers_publish(p);
    }
    ggw_payload_close(&r);
    return ok;
}
