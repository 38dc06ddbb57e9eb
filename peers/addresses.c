#include "common/metrics.h"
#include "peers/internal.h"
#include "peers/payload.h"

/*
 * How gateways learn each other's addresses. Each gateway asks a few others,
 * its seeds first, which tell it all addresses that they know and from then on
 * each new one. If every gateway told every other one, the bytes would grow
 * with the cube of the number of gateways.
 */

/* Maximum number of addresses in a hello, when sent and when received. */
#define MAX_ADDRESSES 64

/* Number of gateways that are asked. */
#define SOURCES 3

/*
 * Of two gateways that learn each other's address at the same time, one waits
 * this many ms for the link of the other before it dials.
 */
#define DIAL_YIELD 300.0

/* Selects the addresses of other gateways to send. */
enum address_set {
    ADDRESSES_ALL,
    ADDRESSES_NEW, /* those learned since the last announcement */
};

static bool
is_selected(const struct ggw_target *t, enum address_set which)
{
    return t->name != NULL && !t->self &&
           (which == ADDRESSES_ALL || t->unannounced);
}

static GPtrArray *
select_addresses(struct ggw_peers *p, enum address_set which)
{
    GPtrArray *selected = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (is_selected(value, which)) {
            g_ptr_array_add(selected, value);
        }
    }
    return selected;
}

void
ggw_peers_put_addresses(struct ggw_payload_writer *w, const GPtrArray *targets,
                        guint from, guint to)
{
    ggw_payload_put_array(w, (to - from) * 2);
    for (guint i = from; i < to; i++) {
        const struct ggw_target *t = g_ptr_array_index(targets, i);
        char host[INET_ADDRSTRLEN];

        uv_ip4_name(&t->address, host, sizeof(host));
        ggw_payload_put_string(w, host);
        ggw_payload_put_uint(w, ntohs(t->address.sin_port));
    }
}

/* Sends as many hellos as the addresses need. */
static void
send_addresses(struct ggw_conn *conn, const GPtrArray *targets)
{
    for (guint from = 0; from < targets->len; from += MAX_ADDRESSES) {
        guint to = MIN(from + MAX_ADDRESSES, targets->len);

        ggw_peers_send_hello_with(conn, 0, targets, from, to);
    }
}

/*
 * Every gateway that asked was sent all addresses known at that time, so only
 * new ones are sent here. With a list of VMs the others know them already.
 */
void
ggw_peers_announce_addresses(struct ggw_peers *p)
{
    g_autoptr(GPtrArray) targets = NULL;

    if (!p->has_unannounced) {
        return;
    }
    p->has_unannounced = false;
    targets = select_addresses(p, ADDRESSES_NEW);
    for (guint i = 0; !p->has_vm_list && i < p->conns->len; i++) {
        struct ggw_conn *c = g_ptr_array_index(p->conns, i);

        if (c->peer != NULL && c->wants_addresses) {
            send_addresses(c, targets);
            *ggw_counter("ggw_peer_new_addresses_sent_total") += targets->len;
        }
    }
    for (guint i = 0; i < targets->len; i++) {
        ((struct ggw_target *)g_ptr_array_index(targets, i))->unannounced =
            false;
    }
}

void
ggw_peers_set_wants_addresses(struct ggw_conn *conn, bool wants)
{
    bool first = wants && !conn->wants_addresses;

    conn->wants_addresses = wants;
    if (first) {
        g_autoptr(GPtrArray) targets =
            select_addresses(conn->peers, ADDRESSES_ALL);

        send_addresses(conn, targets);
    }
}

void
ggw_peers_learn_addresses(struct ggw_peers *p, struct ggw_payload_reader *list,
                          uint32_t n)
{
    for (uint32_t i = 0; i < MIN(n, MAX_ADDRESSES) && list->ok; i++) {
        const char *host = ggw_payload_string(list);
        uint64_t port = ggw_payload_uint(list);

        if (list->ok && port <= UINT16_MAX) {
            ggw_peers_learn_target(p, host, (uint16_t)port);
        }
    }
}

struct ggw_target *
ggw_peers_learn_target(struct ggw_peers *p, const char *host, uint16_t port)
{
    guint known = g_hash_table_size(p->targets);
    struct ggw_target *t = ggw_peers_find_or_add_target(p, host, port);
    struct sockaddr_in own;

    if (t == NULL || g_hash_table_size(p->targets) == known ||
        uv_ip4_addr(p->peer_host, p->listen_port, &own) != 0) {
        return t;
    }
    if (ggw_peers_compare_addresses(&own, &t->address) > 0) {
        t->yields_until = ggw_kernel_now(p->base.kernel) + DIAL_YIELD;
    }
    return t;
}

/* Links to seeds count twice as much as others. */
static int
source_weight(const struct ggw_conn *c)
{
    if (c->peer == NULL || c->asked_addresses) {
        return 0;
    }
    return c->target != NULL && c->target->seed ? 2 : 1;
}

static struct ggw_conn *
best_source(const struct ggw_peers *p)
{
    struct ggw_conn *best = NULL;

    for (guint i = 0; i < p->conns->len; i++) {
        struct ggw_conn *c = g_ptr_array_index(p->conns, i);

        if (source_weight(c) > (best != NULL ? source_weight(best) : 0)) {
            best = c;
        }
    }
    return best;
}

void
ggw_peers_ask_addresses(struct ggw_peers *p)
{
    guint asked = 0;
    struct ggw_conn *c;

    for (guint i = 0; i < p->conns->len; i++) {
        c = g_ptr_array_index(p->conns, i);
        asked += c->peer != NULL && c->asked_addresses;
    }
    while (asked < SOURCES && (c = best_source(p)) != NULL) {
        c->asked_addresses = true;
        ggw_peers_send_hello(c, 0);
        asked++;
    }
}
