#include <string.h>

#include "slots/internal.h"

/* Selection of a server without the owner of the slots. */

static void
fill_candidate(const struct ggw_slots_server *s,
               const struct ggw_slot_request *r, int limit,
               struct ggw_candidate *c)
{
    bool avoid = r->avoid != NULL &&
                 g_strv_contains((const char *const *)r->avoid, s->name);

    *c = (struct ggw_candidate){
        .in_flight = s->own_in_flight,
        .limit = limit,
        .avoid = avoid,
        .reported = s->reported,
        .load = s->load,
        .reported_at = s->reported_at,
    };
}

/*
 * Returns this gateway's share of a server's slots. If all gateways use the
 * fallback, a server gets at most the number of its slots, rounded up to a
 * multiple of the number of gateways.
 */
static int
share_of_slots(const struct ggw_slots *p, const struct ggw_slots_group *g)
{
    int gateways = MAX(p->known_gateways, 1);

    return MAX((g->rule->slots + gateways - 1) / gateways, 1);
}

/*
 * Prefers the servers of this gateway's failure domain and uses those of other
 * failure domains only if none of its own is warm.
 */
struct ggw_slots_server *
ggw_slots_pick_fallback(struct ggw_slots *p,
                        const struct ggw_slots_pending *pd)
{
    struct ggw_slots_group *g = pd->group;
    struct ggw_candidate *c = g_new0(struct ggw_candidate, g->servers->len);
    struct ggw_policy policy = {ggw_policy_find("power_of_two"), p->rand, 0};
    int limit = share_of_slots(p, g);
    size_t i = GGW_POLICY_NONE;

    for (int pass = 0; pass < 2; pass++) {
        bool any = false;

        for (guint j = 0; j < g->servers->len; j++) {
            const struct ggw_slots_server *s =
                g_ptr_array_index(g->servers, j);
            bool home = strcmp(s->failure_domain, p->domain) == 0;
            bool usable = ggw_slots_server_is_open(s) &&
                          s->exposure == GGW_EXPOSURE_OPEN && s->warm &&
                          !s->suspect && (home || pass == 1);

            fill_candidate(s, pd->request, usable ? limit : 0, &c[j]);
            any |= usable;
        }
        i = any ? ggw_policy_pick(&policy, c, g->servers->len,
                                  ggw_slots_now(p))
                : GGW_POLICY_NONE;
        if (any) {
            break;
        }
    }
    g_free(c);
    return i != GGW_POLICY_NONE ? g_ptr_array_index(g->servers, i) : NULL;
}

/*
 * Requests that a gateway sends to a server whose slots nobody counts. One of
 * a version on trial gets none, because its share could not be limited.
 */
static int
limit_without_owner(const struct ggw_slots_server *s)
{
    if (!ggw_slots_server_is_open(s) || s->exposure != GGW_EXPOSURE_OPEN) {
        return 0;
    }
    return s->unproven ? 1 : G_MAXINT;
}

struct ggw_slots_server *
ggw_slots_pick_by_policy(struct ggw_slots *p, struct ggw_slots_group *g,
                         const struct ggw_slot_request *r)
{
    struct ggw_candidate *c = g_new0(struct ggw_candidate, g->servers->len);
    size_t i;

    for (guint j = 0; j < g->servers->len; j++) {
        const struct ggw_slots_server *s = g_ptr_array_index(g->servers, j);

        fill_candidate(s, r, limit_without_owner(s), &c[j]);
    }
    i = ggw_policy_pick(&g->policy, c, g->servers->len, ggw_slots_now(p));
    g_free(c);
    return i != GGW_POLICY_NONE ? g_ptr_array_index(g->servers, i) : NULL;
}
