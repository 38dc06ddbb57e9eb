#include "decide/left_servers.h"

static GHashTable *
times_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
set_time(GHashTable *times, const char *id, ggw_ms at)
{
    g_hash_table_insert(times, g_strdup(id), g_memdup2(&at, sizeof(at)));
}

void
ggw_left_servers_init(struct ggw_left_servers *l)
{
    l->left = times_new();
    l->held = times_new();
}

void
ggw_left_servers_clear(struct ggw_left_servers *l)
{
    g_clear_pointer(&l->left, g_hash_table_unref);
    g_clear_pointer(&l->held, g_hash_table_unref);
}

void
ggw_left_servers_removed(struct ggw_left_servers *l, const char *id,
                         ggw_ms now)
{
    set_time(l->left, id, now);
    g_hash_table_remove(l->held, id);
}

bool
ggw_left_servers_hold(struct ggw_left_servers *l, const char *id,
                      bool returned, ggw_ms now)
{
    const ggw_ms *left_at = g_hash_table_lookup(l->left, id);
    bool hold =
        returned && left_at != NULL && now - *left_at < GGW_LEFT_MEMORY_MS;

    g_hash_table_remove(l->held, id);
    if (hold) {
        set_time(l->held, id, now + GGW_LEFT_HOLD_MS);
    }
    else {
        g_hash_table_remove(l->left, id);
    }
    return hold;
}

static gboolean
is_forgotten(gpointer id, gpointer left_at, gpointer now)
{
    return *(ggw_ms *)now - *(ggw_ms *)left_at >= GGW_LEFT_MEMORY_MS;
}

char *
ggw_left_servers_take(struct ggw_left_servers *l, ggw_ms now)
{
    GHashTableIter iter;
    gpointer id;
    gpointer until;

    g_hash_table_foreach_remove(l->left, is_forgotten, &now);
    g_hash_table_iter_init(&iter, l->held);
    while (g_hash_table_iter_next(&iter, &id, &until)) {
        if (*(ggw_ms *)until <= now) {
            char *name = g_strdup(id);

            g_hash_table_iter_remove(&iter);
            return name;
        }
    }
    return NULL;
}
