#include "customers/internal.h"
#include "decide/owner.h"

/* Which gateway counts a customer, and when this one may grant tokens. */

/*
 * Time for which a gateway with a lost link is no owner, in ms. The list of
 * gateways says within this time whether it is alive.
 */
#define LOST_HOLD_MS 1000.0

/*
 * Gap between two runs of the service, in ms, after which other gateways may
 * have replaced this one as an owner. They suspect it after 700 ms.
 */
#define STALL_MS 500.0

/* Failure domain in which no gateway is: all gateways can be the owner. */
#define ALL_DOMAINS "*"

static const struct ggw_member *
member_at(const struct ggw_members_changed *m, size_t i)
{
    return &g_array_index(m->members, struct ggw_member, i);
}

static bool
is_alive(const struct ggw_members_changed *m, const char *name)
{
    for (guint i = 0; i < m->members->len; i++) {
        if (g_strcmp0(member_at(m, i)->name, name) == 0) {
            return member_at(m, i)->state == GGW_MEMBER_ALIVE;
        }
    }
    return false;
}

/* Whether a gateway that was alive before is no longer. */
static bool
any_left(const struct ggw_members_changed *old,
         const struct ggw_members_changed *m)
{
    for (guint i = 0; i < old->members->len; i++) {
        const struct ggw_member *member = member_at(old, i);

        if (member->state == GGW_MEMBER_ALIVE && !is_alive(m, member->name)) {
            return true;
        }
    }
    return false;
}

static void
mark_lost(struct ggw_allotments *p, struct ggw_members_changed *m)
{
    ggw_ms now = ggw_allotments_now(p);

    for (guint i = 0; i < m->members->len; i++) {
        struct ggw_member *member =
            &g_array_index(m->members, struct ggw_member, i);
        const ggw_ms *until = g_hash_table_lookup(p->lost, member->name);

        if (until != NULL && now >= *until) {
            g_hash_table_remove(p->lost, member->name);
        }
        else if (until != NULL && member->state == GGW_MEMBER_ALIVE) {
            member->state = GGW_MEMBER_SUSPECTED;
        }
    }
}

/* Stops to count customers that another gateway counts now. */
static void
update_owners(struct ggw_allotments *p)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->customers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_allotments_customer *c = value;
        g_autofree char *old = g_strdup(c->owner);
        const char *owner = ggw_allotments_owner(p, c);

        if (g_strcmp0(old, owner) != 0) {
            c->owned = false;
            c->holder.expired = 0;
            c->holder.asked_at = 0;
            c->holder.next_ask = 0;
        }
    }
}

/* Computes the list of gateways from the last one and the lost links. */
static void
update_members(struct ggw_allotments *p)
{
    struct ggw_members_changed *old = p->members;

    p->members = ggw_members_changed_copy(p->changed);
    mark_lost(p, p->members);
    p->view++;
    if (old == NULL || any_left(old, p->members)) {
        p->since = ggw_allotments_now(p);
    }
    if (old != NULL) {
        old->base.ops->destroy(&old->base);
    }
    update_owners(p);
    ggw_allotments_run(p);
}

const char *
ggw_allotments_owner(struct ggw_allotments *p,
                     struct ggw_allotments_customer *c)
{
    size_t i;

    if (c->view == p->view) {
        return c->owner;
    }
    c->view = p->view;
    g_clear_pointer(&c->owner, g_free);
    i = p->members != NULL
            ? ggw_owner_pick(c->team, c->name, ALL_DOMAINS,
                             (struct ggw_member *)p->members->members->data,
                             p->members->members->len)
            : (size_t)-1;
    if (i != (size_t)-1) {
        c->owner = g_strdup(member_at(p->members, i)->name);
    }
    return c->owner;
}

void
ggw_allotments_on_members(struct ggw_allotments *p,
                          const struct ggw_members_changed *m)
{
    if (p->changed != NULL) {
        p->changed->base.ops->destroy(&p->changed->base);
    }
    p->changed = ggw_members_changed_copy(m);
    p->majority_valid_until = m->majority_valid_until;
    update_members(p);
}

void
ggw_allotments_on_lost(struct ggw_allotments *p, const char *peer)
{
    ggw_ms until = ggw_allotments_now(p) + LOST_HOLD_MS;

    g_hash_table_replace(p->lost, g_strdup(peer),
                         g_memdup2(&until, sizeof(until)));
    if (p->changed != NULL && is_alive(p->members, peer)) {
        update_members(p);
    }
}

static unsigned
count_alive(const struct ggw_members_changed *m)
{
    unsigned n = 0;

    for (guint i = 0; i < m->members->len; i++) {
        n += member_at(m, i)->state == GGW_MEMBER_ALIVE;
    }
    return n;
}

double
ggw_allotments_share(const struct ggw_allotments *p)
{
    if (p->has_majority) {
        return 1;
    }
    return GGW_ALLOTMENT_MINORITY_SHARE * count_alive(p->members) /
           MAX(p->members->known_gateways, 1);
}

/* Forgets collected tokens, since other gateways may have granted some. */
static void
reset_buckets(struct ggw_allotments *p, ggw_ms now)
{
    GHashTableIter iter;
    gpointer value;

    p->since = now;
    g_hash_table_iter_init(&iter, p->customers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_allotments_customer *c = value;

        if (c->owned) {
            ggw_allotment_bucket_reset(&c->bucket, now);
        }
    }
}

static gboolean
is_over(gpointer key, gpointer value, gpointer user_data)
{
    const ggw_ms *until = value;
    const ggw_ms *now = user_data;

    return *now >= *until;
}

/*
 * A lost link that is back changes no state of its gateway, so the list of
 * gateways is not published again. The gateway counts as an owner again here.
 */
static void
end_lost(struct ggw_allotments *p, ggw_ms now)
{
    if (g_hash_table_size(p->lost) > 0 &&
        g_hash_table_foreach_remove(p->lost, is_over, &now) > 0 &&
        p->changed != NULL) {
        update_members(p);
    }
}

void
ggw_allotments_check(struct ggw_allotments *p)
{
    ggw_ms now = ggw_allotments_now(p);
    bool has_majority = now < p->majority_valid_until;

    end_lost(p, now);

    if (now - p->ran_at > STALL_MS || has_majority != p->has_majority) {
        p->has_majority = has_majority;
        reset_buckets(p, now);
    }
    p->ran_at = now;
}
