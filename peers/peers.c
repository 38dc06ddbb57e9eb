#include "peers/peers.h"

#include <math.h>
#include <string.h>

#include "common/error.h"
#include "common/log.h"
#include "common/metrics.h"
#include "config/config.h"
#include "config/vms.h"
#include "decide/clients.h"
#include "peers/internal.h"

/*
 * Timer period in ms. Dialling and detecting silent gateways are late by at
 * most this time.
 */
#define TICK_INTERVAL 50.0

/* Links opened within this time of each other, in ms, are simultaneous. */
#define SIMULTANEOUS_WINDOW 1000.0

/*
 * Maximum size in bytes of the first frame of a link, a hello, which carries
 * at most 64 addresses.
 */
#define FIRST_FRAME_MAX 65536

static struct ggw_log_event strangers_event = {
    .part = "peers",
    .name = "links_without_hello",
    .level = GGW_LOG_WARN,
    .importance = GGW_LOG_ROUTINE,
    .max_per_s = 1,
};

static struct ggw_peers *
self_of(struct ggw_service *service)
{
    return (struct ggw_peers *)service;
}

static void
peer_free(gpointer data)
{
    struct ggw_peer *peer = data;

    g_ptr_array_unref(peer->conns);
    g_free(peer->name);
    g_free(peer);
}

/*
 * Returns the connection that frames to a peer are sent on, or NULL. If both
 * ends dialled simultaneously, both choose the link that was dialled by the
 * gateway whose name sorts first. Otherwise they choose the newer link,
 * because the older one was silent when the newer one was dialled. The unused
 * link carries no heartbeats and is therefore closed as silent.
 */
static struct ggw_conn *
preferred_conn(const struct ggw_peer *peer)
{
    struct ggw_conn *best = NULL;

    for (guint i = 0; peer != NULL && i < peer->conns->len; i++) {
        struct ggw_conn *c = g_ptr_array_index(peer->conns, i);

        if (best == NULL ||
            c->opened_at - best->opened_at > SIMULTANEOUS_WINDOW ||
            c->dialled_by_lower >= best->dialled_by_lower) {
            best = c;
        }
    }
    return best;
}

static void
flush_destroy(struct ggw_message *message)
{
    g_free(message);
}

/*
 * Message that the service sends to itself, so that all frames queued in one
 * event loop turn are written together.
 */
static const struct ggw_message_ops flush_ops = {
    .name = "PEER_FLUSH",
    .destroy = flush_destroy,
};

static void
flush_later(struct ggw_peers *p)
{
    struct ggw_message *m;

    if (p->flush_queued) {
        return;
    }
    m = g_new0(struct ggw_message, 1);
    m->ops = &flush_ops;
    p->flush_queued = true;
    ggw_kernel_send_id(p->base.kernel, p->base.id, &p->base, m);
}

static void
flush_all(struct ggw_peers *p)
{
    p->flush_queued = false;
    for (guint i = p->conns->len; i > 0; i--) {
        struct ggw_conn *c = g_ptr_array_index(p->conns, i - 1);

        if (c->dirty) {
            c->dirty = false;
            ggw_link_flush(c->link); /* may remove @c from the array */
        }
    }
}

bool
ggw_peers_send(struct ggw_conn *conn, enum ggw_peer_frame_type type,
               uint64_t request_id, GBytes *payload)
{
    gsize len;
    gconstpointer data = g_bytes_get_data(payload, &len);

    if (!ggw_link_send(conn->link, (int)type, request_id, data, len)) {
        ggw_count("ggw_peer_frames_too_long_total");
        return false;
    }
    conn->dirty = true;
    flush_later(conn->peers);
    return true;
}

static void
update_majority(struct ggw_peers *p)
{
    p->majority_valid_until = ggw_view_majority_valid_until(p->view);
}

/* Whether work that grows with the number of gateways has to wait for a tick.
 */
static bool
is_large(const struct ggw_peers *p)
{
    return ggw_view_interval_factor(p->view) > 1;
}

void
ggw_peers_update_majority_soon(struct ggw_peers *p)
{
    if (!is_large(p)) {
        update_majority(p);
    }
}

void
ggw_peers_publish(struct ggw_peers *p)
{
    const GPtrArray *members = ggw_view_members(p->view);
    struct ggw_message *message;
    struct ggw_members_changed *m;

    if (!ggw_view_changed(p->view)) {
        return;
    }
    message = ggw_members_changed_new();
    m = (struct ggw_members_changed *)message;
    m->known_gateways = ggw_view_cluster_size(p->view);
    update_majority(p);
    m->majority_valid_until = p->majority_valid_until;
    for (guint i = 0; i < members->len; i++) {
        const struct ggw_view_member *known = g_ptr_array_index(members, i);
        struct ggw_member member = known->member;

        if (member.incarnation != 0) {
            member.state = ggw_view_state(known);
            ggw_members_add(m, &member);
        }
    }
    ggw_kernel_publish(p->base.kernel, &p->base, message);
    p->published_at = ggw_kernel_now(p->base.kernel);
}

void
ggw_peers_publish_soon(struct ggw_peers *p, ggw_ms now)
{
    if (!is_large(p) || now - p->published_at >= TICK_INTERVAL) {
        ggw_peers_publish(p);
    }
}

struct ggw_conn *
ggw_peers_conn_add(struct ggw_peers *p)
{
    struct ggw_conn *c = g_new0(struct ggw_conn, 1);

    c->peers = p;
    c->opened_at = ggw_kernel_now(p->base.kernel);
    c->heard_at = c->opened_at;
    g_ptr_array_add(p->conns, c);
    return c;
}

static void
link_opened(struct ggw_link *link)
{
    struct ggw_conn *c = link->data;

    c->link = link;
    c->opened_at = ggw_kernel_now(c->peers->base.kernel);
    c->heard_at = c->opened_at;
    c->asked_addresses = c->target != NULL && c->target->seed;
    ggw_link_limit_frames(link, FIRST_FRAME_MAX);
    ggw_peers_send_hello(c, 0);
}

/* Returns the service that handles a type of frame, or NULL if unknown. */
static const char *
service_for_frame(int type)
{
    switch (type) {
    case GGW_PEER_SLOT_ACQUIRE:
    case GGW_PEER_SLOT_GRANT:
    case GGW_PEER_SLOT_REFUSE:
    case GGW_PEER_SLOT_RELEASE:
    case GGW_PEER_SLOT_CANCEL:
    case GGW_PEER_SLOT_SYNC:
    case GGW_PEER_SLOT_LOAD:
    case GGW_PEER_SLOT_QUEUED:
    case GGW_PEER_SLOT_NOTICE:
        return "slots";
    case GGW_PEER_CONFIG_GET:
    case GGW_PEER_CONFIG_PUT:
        return "config";
    case GGW_PEER_ROWS:
    case GGW_PEER_ROWS_GET:
    case GGW_PEER_ROWS_DEFLATED:
        return "site";
    case GGW_PEER_ALLOTMENT:
        return "allotments";
    case GGW_PEER_ROLLOUT:
        return "rollouts";
    default:
        return NULL;
    }
}

static bool
link_frame(struct ggw_link *link, const struct ggw_frame *frame)
{
    struct ggw_conn *c = link->data;
    struct ggw_peers *p = c->peers;
    const char *service = service_for_frame(frame->type);

    c->heard_at = ggw_kernel_now(p->base.kernel);
    if (frame->type == GGW_PEER_HELLO) {
        return ggw_peers_on_hello(c, frame);
    }
    if (c->peer == NULL) {
        return false;
    }
    if (frame->type == GGW_PEER_HEARTBEAT) {
        return ggw_peers_on_heartbeat(c, frame);
    }
    if (service == NULL) {
        ggw_count("ggw_peer_frames_unknown_total");
        return true;
    }
    ggw_kernel_send(p->base.kernel, service, &p->base,
                    ggw_peer_received_new(c->peer->name, frame));
    return true;
}

static void
link_closed(struct ggw_link *link, const char *reason)
{
    struct ggw_conn *c = link->data;
    struct ggw_peers *p = c->peers;
    g_autofree char *metric =
        g_strdup_printf("ggw_peer_links_closed_total{reason=\"%s\"}", reason);

    ggw_count(metric);
    ggw_log_debug("peers", "link to %s closed: %s",
                  c->peer != NULL ? c->peer->name : "unknown", reason);
    if (c->target != NULL) {
        ggw_peers_dial_failed(p, c->target);
    }
    if (c->peer != NULL) {
        g_ptr_array_remove(c->peer->conns, c);
        if (c->peer->conns->len == 0) {
            ggw_kernel_publish(p->base.kernel, &p->base,
                               ggw_peer_lost_new(c->peer->name));
        }
    }
    g_ptr_array_remove(p->conns, c);
}

static const struct ggw_link_ops link_ops = {
    .opened = link_opened,
    .frame = link_frame,
    .closed = link_closed,
};

const struct ggw_link_ops *
ggw_peers_link_ops(void)
{
    return &link_ops;
}

/*
 * Closes the oldest accepted link whose other end has not said who it is, if
 * there are as many as allowed. A gateway sends its hello at once.
 */
static void
limit_strangers(struct ggw_peers *p)
{
    struct ggw_conn *oldest = NULL;
    unsigned count = 0;

    for (guint i = 0; i < p->conns->len; i++) {
        struct ggw_conn *c = g_ptr_array_index(p->conns, i);

        if (c->peer != NULL || c->target != NULL || c->link == NULL) {
            continue;
        }
        count++;
        if (oldest == NULL || c->opened_at < oldest->opened_at) {
            oldest = c;
        }
    }
    if (oldest != NULL && count >= p->max_strangers) {
        ggw_log_event(&strangers_event, "count=%u max=%u", count,
                      p->max_strangers);
        ggw_link_close(oldest->link, "too-many-links");
    }
}

static void
connection_cb(uv_stream_t *listener, int status)
{
    struct ggw_peers *p = listener->data;
    struct ggw_conn *c;

    if (status < 0) {
        return;
    }
    limit_strangers(p);
    c = ggw_peers_conn_add(p);
    if (ggw_link_accept(listener, &link_ops, c) == NULL) {
        g_ptr_array_remove(p->conns, c);
    }
}

/* Sends heartbeats to all peers, or only to those with one due. */
static void
send_heartbeats(struct ggw_peers *p, bool all, ggw_ms now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_peer *peer = value;
        struct ggw_conn *c = preferred_conn(peer);

        if (c != NULL && (all || peer->heartbeat_due)) {
            ggw_peers_send_heartbeat(peer, c, now);
        }
    }
    p->has_due_heartbeats = false;
}

static void
send_all_heartbeats(struct ggw_peers *p, ggw_ms now)
{
    send_heartbeats(p, true, now);
    p->next_heartbeat =
        now + ggw_view_interval_factor(p->view) * GGW_HEARTBEAT_INTERVAL;
}

static void
close_silent_links(struct ggw_peers *p, ggw_ms now)
{
    for (guint i = p->conns->len; i > 0; i--) {
        struct ggw_conn *c = g_ptr_array_index(p->conns, i - 1);

        if (now - c->heard_at >
            ggw_view_interval_factor(p->view) * GGW_DEAD_AFTER) {
            ggw_link_close(c->link, "silent");
        }
    }
}

static gboolean
is_unused_peer(gpointer key, gpointer value, gpointer data)
{
    const struct ggw_peer *peer = value;
    struct ggw_peers *p = data;

    return peer->conns->len == 0 && ggw_view_find(p->view, key) == NULL;
}

/*
 * If this process was not scheduled for a while, it received nothing in that
 * time. The times at which it last heard the others are moved forward by the
 * length of the stall, so that they do not count as silent.
 */
static void
compensate_for_stall(struct ggw_peers *p, ggw_ms now)
{
    ggw_ms stalled = now - p->ticked_at - TICK_INTERVAL;

    p->ticked_at = now;
    if (stalled < GGW_HEARTBEAT_INTERVAL) {
        return;
    }
    ggw_view_add_stall(p->view, stalled);
    for (guint i = 0; i < p->conns->len; i++) {
        struct ggw_conn *c = g_ptr_array_index(p->conns, i);

        c->heard_at += stalled;
    }
}

/*
 * Looks for silent gateways and links, and for addresses to dial. In large
 * clusters this is done less often, like the heartbeats.
 */
static void
scan_peers(struct ggw_peers *p, ggw_ms now)
{
    if (now < p->next_scan) {
        return;
    }
    p->next_scan =
        now + (ggw_view_interval_factor(p->view) - 1) * TICK_INTERVAL;
    ggw_view_tick(p->view, now);
    g_hash_table_foreach_remove(p->peers, is_unused_peer, p);
    close_silent_links(p, now);
    ggw_peers_dial(p, now);
    ggw_peers_ask_addresses(p);
}

static void
timer_cb(uv_timer_t *timer)
{
    struct ggw_peers *p = timer->data;
    ggw_ms now = ggw_kernel_now(p->base.kernel);

    compensate_for_stall(p, now);
    scan_peers(p, now);
    ggw_peers_announce_addresses(p);
    if (now >= p->next_heartbeat) {
        send_all_heartbeats(p, now);
    }
    else if (p->has_due_heartbeats) {
        send_heartbeats(p, false, now);
    }
    update_majority(p);
    ggw_peers_publish(p);
}

static bool
listen_on(struct ggw_peers *p, GError **error)
{
    struct sockaddr_in address;
    int len = sizeof(address);
    int r = uv_ip4_addr(p->listen_host, p->listen_port, &address);

    if (r == 0) {
        r = uv_tcp_bind(&p->listener, (struct sockaddr *)&address, 0);
    }
    if (r == 0) {
        r = uv_listen((uv_stream_t *)&p->listener, 128, connection_cb);
    }
    if (r == 0) {
        r = uv_tcp_getsockname(&p->listener, (struct sockaddr *)&address,
                               &len);
        p->listen_port = ntohs(address.sin_port);
    }
    if (r != 0) {
        g_set_error(error, GGW_ERROR, GGW_ERROR_IO,
                    "cannot listen for gateways on %s:%u: %s", p->listen_host,
                    p->listen_port, uv_strerror(r));
    }
    return r == 0;
}

static bool
start(struct ggw_service *service, GError **error)
{
    struct ggw_peers *p = self_of(service);
    uv_loop_t *loop = ggw_kernel_loop(service->kernel);
    g_autofree char *own = NULL;
    struct ggw_target *t;

    uv_tcp_init(loop, &p->listener);
    uv_timer_init(loop, &p->timer);
    p->listener.data = p;
    p->timer.data = p;
    p->ticked_at = ggw_kernel_now(service->kernel);
    if (!listen_on(p, error)) {
        return false;
    }
    own = g_strdup_printf("%s:%u", p->peer_host, p->listen_port);
    t = g_hash_table_lookup(p->targets, own);
    if (t != NULL) {
        t->self = true;
    }
    ggw_view_set_incarnation(
        p->view, (uint64_t)ggw_clock_wall(ggw_kernel_clock(service->kernel)));
    uv_timer_start(&p->timer, timer_cb, 0, (uint64_t)TICK_INTERVAL);
    ggw_peers_publish(p);
    return true;
}

static void
on_send(struct ggw_peers *p, const struct ggw_peer_send *m)
{
    GHashTableIter iter;
    gpointer value;
    struct ggw_conn *c;

    if (m->peer != NULL) {
        c = preferred_conn(g_hash_table_lookup(p->peers, m->peer));
        if (c == NULL) {
            ggw_kernel_reply(&p->base, &m->base, ggw_peer_lost_new(m->peer));
            return;
        }
        ggw_peers_send(c, m->type, m->request_id, m->payload);
        return;
    }
    g_hash_table_iter_init(&iter, p->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        c = preferred_conn(value);
        if (c != NULL) {
            ggw_peers_send(c, m->type, m->request_id, m->payload);
        }
    }
}

static void
receive(struct ggw_service *service, struct ggw_message *message)
{
    struct ggw_peers *p = self_of(service);

    if (p->stopping) {
        return;
    }
    if (message->ops == &flush_ops) {
        flush_all(p);
    }
    else if (message->ops == &ggw_peer_send_ops) {
        on_send(p, (struct ggw_peer_send *)message);
    }
    else if (message->ops == &ggw_vms_changed_ops) {
        struct ggw_vms_changed *m = (struct ggw_vms_changed *)message;

        if (!ggw_vm_list_has_gateways(m->list)) {
            return; /* the list has no information about gateways */
        }
        p->has_vm_list = true;
        ggw_view_apply_vm_list(p->view, m->list);
        ggw_peers_apply_list(p, m->list);
        ggw_peers_publish(p);
    }
    else if (message->ops == &ggw_config_in_force_ops) {
        struct ggw_tree *t = ((struct ggw_config_in_force *)message)->tree;

        g_hash_table_replace(p->revisions, g_strdup(t->team),
                             g_memdup2(&t->revision, sizeof(t->revision)));
    }
    else if (message->ops == &ggw_shutdown_ops) {
        ggw_view_leave(p->view);
        send_all_heartbeats(p, ggw_kernel_now(service->kernel));
        ggw_peers_publish(p);
    }
}

static void
stop(struct ggw_service *service)
{
    struct ggw_peers *p = self_of(service);

    p->stopping = true;
    for (guint i = p->conns->len; i > 0; i--) {
        struct ggw_conn *c = g_ptr_array_index(p->conns, i - 1);

        ggw_link_flush(c->link);
    }
    while (p->conns->len > 0) {
        struct ggw_conn *c = g_ptr_array_index(p->conns, 0);

        ggw_link_close(c->link, "stopped");
    }
    uv_close((uv_handle_t *)&p->listener, NULL);
    uv_close((uv_handle_t *)&p->timer, NULL);
}

static void
destroy(struct ggw_service *service)
{
    struct ggw_peers *p = self_of(service);

    ggw_view_free(p->view);
    g_hash_table_destroy(p->peers);
    g_hash_table_destroy(p->targets);
    g_hash_table_destroy(p->revisions);
    g_ptr_array_unref(p->conns);
    g_rand_free(p->rand);
    g_free(p->name);
    g_free(p->listen_host);
    g_free(p->peer_host);
    g_free(p);
}

static const struct ggw_service_ops peers_ops = {
    .name = "peers",
    .start = start,
    .receive = receive,
    .stop = stop,
    .destroy = destroy,
};

static void
add_seeds(struct ggw_peers *p, char **seeds)
{
    for (char **s = seeds; s != NULL && *s != NULL; s++) {
        if (!ggw_peers_add_seed(p, *s)) {
            ggw_log_warn("peers",
                         "ignoring seed \"%s\": not an IPv4 address with a "
                         "port (IP:PORT)",
                         *s);
        }
    }
}

static int
count_other_seeds(struct ggw_peers *p)
{
    GHashTableIter iter;
    gpointer value;
    int n = 0;

    g_hash_table_iter_init(&iter, p->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        n += !((struct ggw_target *)value)->self;
    }
    return n;
}

struct ggw_service *
ggw_peers_service_new(const struct ggw_peers_options *options)
{
    struct ggw_peers *p = g_new0(struct ggw_peers, 1);
    struct ggw_view_hello self;

    p->base.ops = &peers_ops;
    p->name = g_strdup(options->name);
    p->listen_host = g_strdup(options->listen_host);
    p->listen_port = options->listen_port;
    p->peer_host = g_strdup(options->advertise_host);
    p->max_strangers = options->descriptors > 0
                           ? ggw_peer_link_limit(options->descriptors)
                           : G_MAXUINT;
    p->rand = g_rand_new();
    p->conns = g_ptr_array_new_with_free_func(g_free);
    p->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
    p->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                       ggw_peers_target_free);
    p->revisions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    add_seeds(p, options->seeds);
    self = (struct ggw_view_hello){
        .name = p->name,
        .failure_domain = options->failure_domain,
        .host = options->advertise_host,
        .port = options->advertise_port,
        .capacity = options->capacity,
    };
    p->view = ggw_view_new(&self, count_other_seeds(p), 0);
    p->published_at = -INFINITY;
    update_majority(p);
    return &p->base;
}

uint16_t
ggw_peers_port(const struct ggw_service *peers)
{
    return ((const struct ggw_peers *)peers)->listen_port;
}
