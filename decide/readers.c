#include "decide/readers.h"

/* A reader of which nothing is heard for three of its messages is lost. */
#define SILENT_MS 900

/*
 * Each later gateway waits this much longer, so that a few take over and not
 * all of them.
 */
#define RANK_STEP_MS 150

void
ggw_readers_init(struct ggw_readers *r, ggw_ms now)
{
    r->heard = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    r->none_since = now + SILENT_MS;
}

void
ggw_readers_clear(struct ggw_readers *r)
{
    g_clear_pointer(&r->heard, g_hash_table_unref);
}

void
ggw_readers_heard(struct ggw_readers *r, const char *name, ggw_ms now)
{
    g_hash_table_insert(r->heard, g_strdup(name),
                        g_memdup2(&now, sizeof(now)));
}

/* When the reader that was heard of last counts as lost. */
static ggw_ms
silent_at(const struct ggw_readers *r)
{
    ggw_ms latest = r->none_since;
    GHashTableIter iter;
    gpointer heard_at;

    g_hash_table_iter_init(&iter, r->heard);
    while (g_hash_table_iter_next(&iter, NULL, &heard_at)) {
        latest = MAX(latest, *(ggw_ms *)heard_at + SILENT_MS);
    }
    return latest;
}

void
ggw_readers_lost(struct ggw_readers *r, const char *name, ggw_ms now)
{
    if (g_hash_table_remove(r->heard, name) && silent_at(r) <= now) {
        r->none_since = now;
    }
}

bool
ggw_readers_needed(const struct ggw_readers *r, guint rank, ggw_ms now)
{
    guint behind = rank < GGW_READERS ? 0 : rank - GGW_READERS;

    return rank < GGW_READERS ||
           now - silent_at(r) >= (ggw_ms)behind * RANK_STEP_MS;
}
