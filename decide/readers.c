#include "decide/readers.h"

#include <string.h>
#include <xxhash.h>

#include "decide/capacity.h"

/* A reader counts as lost after this time, three intervals of its reports. */
#define LOST_AFTER_MS 900

/*
 * Each gateway waits this many ms longer than the one ranked before it, so
 * that a few gateways take over and not all of them.
 */
#define RANK_STEP_MS 150

/*
 * A gateway whose rows are not complete waits this many ms for each gateway of
 * its failure domain ranked before it, from which the rows may come, up to a
 * maximum. While another gateway is asked or sends rows it waits longer. The
 * longest wait and the reading together are shorter than the time in which a
 * change must take effect.
 */
#define FILL_STEP_MS 200
#define FILL_WAIT_MAX_MS 900
#define FILL_WAIT_ACTIVE_MAX_MS 1500

/* Any value that orders gateways differently from the owners of slots. */
#define RANK_HASH_SEED 7

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

bool
ggw_readers_others_relay(const struct ggw_readers *r, ggw_ms now)
{
    GHashTableIter iter;
    gpointer heard_at;

    g_hash_table_iter_init(&iter, r->heard);
    while (g_hash_table_iter_next(&iter, NULL, &heard_at)) {
        if (now - *(ggw_ms *)heard_at < LOST_AFTER_MS) {
            return true;
        }
    }
    return false;
}

/* Whether @a precedes @b in the order of the readers. */
static bool
ranks_before(const struct ggw_member *a, const struct ggw_member *b,
             int max_link)
{
    bool a_fast = ggw_capacity_is_fast(a, max_link);
    bool b_fast = ggw_capacity_is_fast(b, max_link);
    uint64_t a_hash = XXH64(a->name, strlen(a->name), RANK_HASH_SEED);
    uint64_t b_hash = XXH64(b->name, strlen(b->name), RANK_HASH_SEED);

    if (a_fast != b_fast) {
        return a_fast;
    }
    return a_hash != b_hash ? a_hash > b_hash : strcmp(a->name, b->name) < 0;
}

static const struct ggw_member *
find_member(const GArray *members, const char *name)
{
    for (guint i = 0; i < members->len; i++) {
        const struct ggw_member *m =
            &g_array_index(members, struct ggw_member, i);

        if (strcmp(m->name, name) == 0) {
            return m;
        }
    }
    return NULL;
}

static int
max_link_of(const GArray *members)
{
    return ggw_capacity_max_link((const struct ggw_member *)members->data,
                                 members->len, NULL);
}

/*
 * Counts the living gateways that precede @member. If @domain is set, only
 * those in that failure domain count.
 */
static guint
count_before(const GArray *members, const struct ggw_member *member,
             const char *domain)
{
    int max_link = max_link_of(members);
    guint n = 0;

    for (guint i = 0; i < members->len; i++) {
        const struct ggw_member *m =
            &g_array_index(members, struct ggw_member, i);
        bool counts = domain == NULL || strcmp(m->failure_domain, domain) == 0;

        n += m != member && counts && m->state == GGW_MEMBER_ALIVE &&
             ranks_before(m, member, max_link);
    }
    return n;
}

guint
ggw_readers_rank(const GArray *members, const char *name)
{
    const struct ggw_member *member = find_member(members, name);

    return member != NULL ? count_before(members, member, NULL) : members->len;
}

guint
ggw_readers_domain_rank(const GArray *members, const char *name)
{
    const struct ggw_member *member = find_member(members, name);

    return member != NULL
               ? count_before(members, member, member->failure_domain)
               : 0;
}

/**
 * struct source_order - how ggw_readers_source() sorts gateways
 * @domain: failure domain whose gateways come first
 * @max_link: highest link speed of all gateways, Mbit/s
 */
struct source_order {
    const char *domain;
    int max_link;
};

static gint
compare_sources(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct ggw_member *x = *(const struct ggw_member *const *)a;
    const struct ggw_member *y = *(const struct ggw_member *const *)b;
    const struct source_order *order = data;
    bool x_near = strcmp(x->failure_domain, order->domain) == 0;
    bool y_near = strcmp(y->failure_domain, order->domain) == 0;

    if (x_near != y_near) {
        return x_near ? -1 : 1;
    }
    return ranks_before(x, y, order->max_link) ? -1 : 1;
}

const struct ggw_member *
ggw_readers_source(const GArray *members, const char *name, guint attempt)
{
    const struct ggw_member *self = find_member(members, name);
    struct source_order order = {
        .domain = self != NULL ? self->failure_domain : "",
        .max_link = max_link_of(members),
    };
    g_autoptr(GPtrArray) sources = g_ptr_array_new();

    for (guint i = 0; i < members->len; i++) {
        struct ggw_member *m = &g_array_index(members, struct ggw_member, i);

        if (m != self && m->state == GGW_MEMBER_ALIVE) {
            g_ptr_array_add(sources, m);
        }
    }
    g_ptr_array_sort_with_data(sources, compare_sources, &order);
    return sources->len > 0
               ? g_ptr_array_index(sources, attempt % sources->len)
               : NULL;
}

bool
ggw_readers_fill_from_store(guint domain_rank, ggw_ms missing_for,
                            bool source_active)
{
    ggw_ms wait = MIN((ggw_ms)domain_rank * FILL_STEP_MS, FILL_WAIT_MAX_MS);

    return missing_for >= (source_active ? FILL_WAIT_ACTIVE_MAX_MS : wait);
}
