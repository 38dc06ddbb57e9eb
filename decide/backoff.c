#include "decide/backoff.h"

#include <math.h>

/*
 * A server that leaves is forgotten when it has not been listed for this time,
 * ms. A list that is this old is not in force anywhere.
 */
#define FORGET_AFTER 600000.0

/**
 * struct backoff - a server that wants no requests
 * @incarnation: of the server when it said so; 0: not known
 * @leaving: it leaves
 * @until: end of its pause, monotonic ms; 0 for none
 * @listed_at: when a list contained it last, monotonic ms
 */
struct backoff {
    uint64_t incarnation;
    bool leaving;
    ggw_ms until;
    ggw_ms listed_at;
};

struct ggw_backoffs {
    GHashTable *servers; /* name to struct backoff */
};

struct ggw_backoffs *
ggw_backoffs_new(void)
{
    struct ggw_backoffs *b = g_new0(struct ggw_backoffs, 1);

    b->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return b;
}

void
ggw_backoffs_free(struct ggw_backoffs *b)
{
    g_hash_table_unref(b->servers);
    g_free(b);
}

static struct backoff *
ensure_backoff(struct ggw_backoffs *b, const char *server,
               uint64_t incarnation, ggw_ms now)
{
    struct backoff *s = g_hash_table_lookup(b->servers, server);

    if (s == NULL) {
        s = g_new0(struct backoff, 1);
        s->incarnation = incarnation;
        s->listed_at = now;
        g_hash_table_insert(b->servers, g_strdup(server), s);
    }
    return s;
}

bool
ggw_backoffs_leave(struct ggw_backoffs *b, const char *server,
                   uint64_t incarnation, ggw_ms now)
{
    struct backoff *s = ensure_backoff(b, server, incarnation, now);
    bool known = s->leaving;

    s->leaving = true;
    return !known;
}

bool
ggw_backoffs_pause(struct ggw_backoffs *b, const char *server,
                   uint64_t incarnation, ggw_ms pause, ggw_ms now)
{
    ggw_ms until = now + MIN(pause, GGW_BACKOFF_MAX_PAUSE);
    struct backoff *s;

    if (pause <= 0) {
        return false;
    }
    s = ensure_backoff(b, server, incarnation, now);
    if (until <= s->until) {
        return false;
    }
    s->until = until;
    return true;
}

void
ggw_backoffs_listed(struct ggw_backoffs *b, const char *server,
                    uint64_t incarnation, ggw_ms now)
{
    struct backoff *s = g_hash_table_lookup(b->servers, server);

    if (s == NULL) {
        return;
    }
    if (s->incarnation != 0 && incarnation > s->incarnation) {
        g_hash_table_remove(b->servers, server);
        return;
    }
    /* Without the earlier one, it cannot be told from the same lifetime. */
    s->incarnation = MAX(s->incarnation, incarnation);
    s->listed_at = now;
}

enum ggw_backoff_state
ggw_backoffs_state(const struct ggw_backoffs *b, const char *server,
                   ggw_ms now)
{
    const struct backoff *s = g_hash_table_lookup(b->servers, server);

    if (s == NULL) {
        return GGW_BACKOFF_NONE;
    }
    if (s->leaving) {
        return GGW_BACKOFF_LEAVING;
    }
    return now < s->until ? GGW_BACKOFF_PAUSED : GGW_BACKOFF_NONE;
}

ggw_ms
ggw_backoffs_until(const struct ggw_backoffs *b, const char *server)
{
    const struct backoff *s = g_hash_table_lookup(b->servers, server);

    return s != NULL ? s->until : 0;
}

ggw_ms
ggw_backoffs_next_end(const struct ggw_backoffs *b, ggw_ms now)
{
    ggw_ms next = INFINITY;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, b->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct backoff *s = value;

        if (s->until > now) {
            next = MIN(next, s->until);
        }
    }
    return next;
}

static gboolean
is_over(gpointer key, gpointer value, gpointer data)
{
    const struct backoff *s = value;
    ggw_ms now = *(const ggw_ms *)data;

    return s->leaving ? now - s->listed_at > FORGET_AFTER : now >= s->until;
}

void
ggw_backoffs_expire(struct ggw_backoffs *b, ggw_ms now)
{
    g_hash_table_foreach_remove(b->servers, is_over, &now);
}
