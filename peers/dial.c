#include <string.h>

#include "common/log.h"
#include "peers/internal.h"

/* Longest delay between two dials of an address, in ms. */
#define BACKOFF_MAX 2000.0

/*
 * A gateway that is silent for this time, in ms, is dialled again even though
 * TCP keeps its link open. At that point two heartbeats are missing, and a
 * working link can still be opened before the gateway is suspected at
 * GGW_SUSPECT_AFTER.
 */
#define STALE_AFTER 500.0

void
ggw_peers_target_free(gpointer target)
{
    struct ggw_target *t = target;

    g_free(t->key);
    g_free(t->name);
    g_free(t);
}

int
ggw_peers_compare_addresses(const struct sockaddr_in *a,
                            const struct sockaddr_in *b)
{
    int order = memcmp(&a->sin_addr, &b->sin_addr, sizeof(a->sin_addr));

    return order != 0
               ? order
               : memcmp(&a->sin_port, &b->sin_port, sizeof(a->sin_port));
}

struct ggw_target *
ggw_peers_find_or_add_target(struct ggw_peers *p, const char *host,
                             uint16_t port)
{
    struct ggw_target *t;
    struct sockaddr_in address;
    char *key;

    if (port == 0 || uv_ip4_addr(host, port, &address) != 0) {
        return NULL;
    }
    key = g_strdup_printf("%s:%u", host, port);
    t = g_hash_table_lookup(p->targets, key);
    if (t != NULL) {
        g_free(key);
        return t;
    }
    t = g_new0(struct ggw_target, 1);
    t->key = key;
    t->address = address;
    t->backoff = GGW_PEERS_INITIAL_BACKOFF;
    t->self = port == p->listen_port && strcmp(host, p->peer_host) == 0;
    g_hash_table_insert(p->targets, t->key, t);
    return t;
}

bool
ggw_peers_add_seed(struct ggw_peers *p, const char *seed)
{
    g_auto(GStrv) parts = g_strsplit(seed, ":", 2);
    struct ggw_target *t;
    guint64 port;

    if (parts[0] == NULL || parts[1] == NULL ||
        !g_ascii_string_to_unsigned(parts[1], 10, 1, UINT16_MAX, &port,
                                    NULL)) {
        return false;
    }
    t = ggw_peers_find_or_add_target(p, parts[0], (uint16_t)port);
    if (t != NULL) {
        t->seed = true;
    }
    return t != NULL;
}

static gboolean
is_unused_target(gpointer key, gpointer value, gpointer data)
{
    const struct ggw_target *t = value;

    return !t->seed && !t->listed && t->conn == NULL;
}

void
ggw_peers_apply_list(struct ggw_peers *p, const struct ggw_vm_list *list)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct ggw_target *)value)->listed = false;
    }
    for (size_t i = 0; i < list->len; i++) {
        const struct ggw_vm *vm = &list->vms[i];
        struct ggw_target *t;

        if (vm->role != GGW_VM_GATEWAY || strcmp(vm->name, p->name) == 0) {
            continue;
        }
        t = ggw_peers_learn_target(p, vm->host, vm->peer_port);
        if (t != NULL) {
            t->listed = true;
            g_free(t->name);
            t->name = g_strdup(vm->name);
        }
    }
    g_hash_table_foreach_remove(p->targets, is_unused_target, NULL);
}

/* Whether any link to the gateway has received a frame recently enough. */
static bool
has_active_link(const struct ggw_peers *p, const char *name, ggw_ms now)
{
    const struct ggw_peer *peer =
        name != NULL ? g_hash_table_lookup(p->peers, name) : NULL;

    for (guint i = 0; peer != NULL && i < peer->conns->len; i++) {
        const struct ggw_conn *c = g_ptr_array_index(peer->conns, i);

        if (now - c->heard_at <
            ggw_view_interval_factor(p->view) * STALE_AFTER) {
            return true;
        }
    }
    return false;
}

static void
dial(struct ggw_peers *p, struct ggw_target *t)
{
    struct ggw_conn *c = ggw_peers_conn_add(p);

    c->target = t;
    t->conn = c;
    c->link =
        ggw_link_dial(ggw_kernel_loop(p->base.kernel),
                      (struct sockaddr *)&t->address, ggw_peers_link_ops(), c);
    if (c->link == NULL) {
        ggw_peers_dial_failed(p, t);
        g_ptr_array_remove(p->conns, c);
    }
}

void
ggw_peers_dial(struct ggw_peers *p, ggw_ms now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_target *t = value;
        bool pending = t->conn != NULL &&
                       now - t->conn->heard_at <
                           ggw_view_interval_factor(p->view) * STALE_AFTER;

        if (t->self || pending ||
            now < MAX(t->next_dial_at, t->yields_until) ||
            has_active_link(p, t->name, now)) {
            continue;
        }
        if (t->conn != NULL) {
            /* The old link stays open until it is closed as silent. */
            t->conn->target = NULL;
            t->conn = NULL;
        }
        t->next_dial_at = now + t->backoff;
        dial(p, t);
    }
}

void
ggw_peers_dial_failed(struct ggw_peers *p, struct ggw_target *t)
{
    ggw_ms now = ggw_kernel_now(p->base.kernel);

    t->conn = NULL;
    t->next_dial_at = now + t->backoff * g_rand_double_range(p->rand, 0.5, 1);
    t->backoff = MIN(t->backoff * 2, BACKOFF_MAX);
}
