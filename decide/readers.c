#include "decide/readers.h"

/* A reader counts as lost after this time, three intervals of its reports. */
#define LOST_AFTER_MS 900

/*
 * Each gateway waits this many ms longer than the one ranked before it, so
 * that a few gateways take over and not all of them.
 */
#define RANK_STEP_MS 150

void
ggw_readers_init(struct ggw_readers *r, ggw_ms now)
{
    r->heard = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    r->none_since = now + LOST_AFTER_MS;
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

/* Time at which the last remaining reader counts as lost, monotonic ms. */
static ggw_ms
lost_at(const struct ggw_readers *r)
{
    ggw_ms latest = r->none_since;
    GHashTableIter iter;
    gpointer heard_at;

    g_hash_table_iter_init(&iter, r->heard);
    while (g_hash_table_iter_next(&iter, NULL, &heard_at)) {
        latest = MAX(latest, *(ggw_ms *)heard_at + LOST_AFTER_MS);
    }
    return latest;
}

void
ggw_readers_lost(struct ggw_readers *r, const char *name, ggw_ms now)
{
    if (g_hash_table_remove(r->heard, name) && lost_at(r) <= now) {
        r->none_since = now;
    }
}

bool
ggw_readers_needed(const struct ggw_readers *r, guint rank, ggw_ms now)
{
    guint takeover_rank = rank < GGW_READERS ? 0 : rank - GGW_READERS;

    return rank < GGW_READERS ||
           now - lost_at(r) >= (ggw_ms)takeover_rank * RANK_STEP_MS;
}
