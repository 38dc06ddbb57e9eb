#include "rollouts/internal.h"

#include <math.h>
#include <string.h>

#include "config/config.h"
#include "decide/rollout.h"
#include "peers/peers.h"

/* Bounds of the longest time that a request takes, ms. */
#define LONGEST_MIN 1000.0
#define LONGEST_MAX 15000.0
#define LONGEST_DEFAULT 3000.0

/*
 * Time after the switch, beside the longest request, after which a gateway's
 * requests on old servers are taken to have ended whatever it reports, ms.
 */
#define LOST_COUNT 5000.0

/* Longest time that a request of the service takes. */
ggw_ms
ggw_rollout_longest_request(const struct ggw_rollouts *p,
                            const struct ggw_rollout *r)
{
    const struct ggw_tree *tree = g_hash_table_lookup(p->trees, r->team);
    ggw_ms longest = 0;

    for (size_t i = 0; tree != NULL && i < tree->routes_len; i++) {
        const struct ggw_route_rule *route = &tree->routes[i];

        for (size_t j = 0; j < route->split_len; j++) {
            if (strcmp(route->split[j].service, r->name) == 0) {
                longest = MAX(longest, route->kind.timeout);
            }
        }
    }
    return longest > 0 ? CLAMP(longest, LONGEST_MIN, LONGEST_MAX)
                       : LONGEST_DEFAULT;
}

/* Adds the counts of a gateway to the judge and the reports. */
void
ggw_rollout_add_counts(struct ggw_rollouts *p, struct ggw_rollout *r,
                       const char *gateway, const struct ggw_rollout_counts *c)
{
    struct ggw_rollout_gateway_report *report;

    if (!r->known || c->order != r->state.order) {
        return;
    }
    report = g_hash_table_lookup(r->reports, gateway);
    if (report == NULL) {
        report = g_new0(struct ggw_rollout_gateway_report, 1);
        g_hash_table_insert(r->reports, g_strdup(gateway), report);
    }
    report->order = c->order;
    report->from.term = c->term;
    report->from.old_requests = c->held_old + c->granted_old;
    report->from.heard_at = ggw_rollouts_now(p);
    ggw_rollout_group_servers(p, r);
    ggw_rollout_judge_add(r->judge, gateway, (uint64_t)MAX(c->since, 0),
                          c->samples);
}

void
ggw_rollout_void_reports(struct ggw_rollout *r)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, r->reports);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct ggw_rollout_gateway_report *)value)->from.heard_at =
            -INFINITY;
    }
    r->completing = false;
}

bool
ggw_rollouts_has_majority(const struct ggw_rollouts *p)
{
    int alive = 0;

    for (guint i = 0; p->members != NULL && i < p->members->members->len;
         i++) {
        const struct ggw_member *m =
            &g_array_index(p->members->members, struct ggw_member, i);

        alive += m->self || m->state == GGW_MEMBER_ALIVE ||
                 m->state == GGW_MEMBER_LEAVING;
    }
    return p->members == NULL || 2 * alive > p->members->known_gateways;
}

static bool
is_gateway_drained(const struct ggw_rollouts *p, const struct ggw_rollout *r,
                   const struct ggw_member *m)
{
    const struct ggw_rollout_gateway_report *report =
        g_hash_table_lookup(r->reports, m->name);
    const ggw_ms *dead_since = g_hash_table_lookup(p->dead_since, m->name);
    struct ggw_rollout_report from = {.heard_at = -INFINITY};
    ggw_ms now = ggw_rollouts_now(p);
    ggw_ms longest = ggw_rollout_longest_request(p, r);

    if (report != NULL && report->order == r->state.order) {
        from = report->from;
    }
    from.state = m->state;
    from.dead_since = dead_since != NULL ? *dead_since : now;
    if (now - r->stage_since >= longest + LOST_COUNT) {
        from.old_requests = 0;
    }
    return ggw_rollout_is_drained(&from, now, ggw_rollout_get_term(r),
                                  longest);
}

bool
ggw_rollout_all_drained(const struct ggw_rollouts *p,
                        const struct ggw_rollout *r)
{
    if (p->members == NULL || !ggw_rollouts_has_majority(p)) {
        return false;
    }
    for (guint i = 0; i < p->members->members->len; i++) {
        if (!is_gateway_drained(
                p, r,
                &g_array_index(p->members->members, struct ggw_member, i))) {
            return false;
        }
    }
    return true;
}
