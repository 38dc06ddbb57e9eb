#include <math.h>
#include <string.h>

#include "decide/ledger.h"

/* Which server a request gets. */

/* Cost of a server that fails all requests, in usual times of the work. */
#define FAILURE_COST 4.0

/* What is known of failures loses half of its weight in this time, in ms. */
#define FAILURE_HALF_LIFE 2000.0

static bool
is_avoided(char *const *avoid, const char *name)
{
    for (char *const *a = avoid; a != NULL && *a != NULL; a++) {
        if (strcmp(*a, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Whether every server that takes work is to be avoided. */
static bool
all_avoided(const struct ggw_ledger *l, char *const *avoid)
{
    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_entry *s = g_ptr_array_index(l->servers, i);

        if (!s->closed && s->limit.state != GGW_LIMIT_EJECTED &&
            !is_avoided(avoid, s->name)) {
            return false;
        }
    }
    return true;
}

/* Requests above this number make a server slow; 0 for no such limit. */
static int
busy_limit(const struct ggw_ledger *l, const struct ggw_ledger_entry *s)
{
    if (l->busy_percent <= 0 || l->busy_percent >= 100) {
        return 0;
    }
    return MAX(l->busy_percent * s->slots / 100, 1);
}

static double
cost_of(const struct ggw_ledger_entry *s, const struct ggw_ledger_wish *wish)
{
    return wish->failure_domain != NULL &&
                   g_strcmp0(wish->failure_domain, s->failure_domain) != 0
               ? wish->cross_domain_cost
               : 0;
}

/* Time that a failure is expected to cost, with the repeat elsewhere. */
static double
failure_cost(const struct ggw_ledger_entry *s, ggw_ms now)
{
    return FAILURE_COST * s->failing *
           exp2(-(now - s->failed_at) / FAILURE_HALF_LIFE);
}

/*
 * Fills l->candidates. An ejected server that is due for a trial is returned
 * instead of being a candidate.
 */
static struct ggw_ledger_entry *
fill_candidates(struct ggw_ledger *l, const struct ggw_ledger_wish *wish,
                ggw_ms now)
{
    char *const *avoid = wish->avoid;
    struct ggw_ledger_entry *trial = NULL;
    size_t i;

    if (avoid != NULL && all_avoided(l, avoid)) {
        avoid = NULL;
    }
    g_array_set_size(l->candidates, l->servers->len);
    for (i = 0; i < l->servers->len; i++) {
        struct ggw_ledger_entry *s = g_ptr_array_index(l->servers, i);
        bool may = ggw_ledger_is_open(l, s, now) &&
                   ggw_limit_may_start(&s->limit, s->in_flight, now);

        if (may && s->limit.state == GGW_LIMIT_EJECTED &&
            !is_avoided(avoid, s->name)) {
            trial = s;
            may = false;
        }
        g_array_index(l->candidates, struct ggw_candidate, i) =
            (struct ggw_candidate){
                .in_flight = s->in_flight,
                .limit = may ? ggw_limit_slots(&s->limit) : 0,
                .avoid = is_avoided(avoid, s->name),
                .reported = s->reported,
                .load = s->load,
                .reported_at = s->reported_at,
                .busy_limit = busy_limit(l, s),
                .slow_percent = s->slow_percent,
                .cost = cost_of(s, wish) + failure_cost(s, now),
            };
    }
    return trial;
}

struct ggw_ledger_entry *
ggw_ledger_pick(struct ggw_ledger *l, const struct ggw_ledger_wish *wish,
                ggw_ms now)
{
    struct ggw_ledger_entry *trial = fill_candidates(l, wish, now);
    size_t i;

    if (trial != NULL && wish->priority > 0) {
        return trial;
    }
    i = ggw_policy_pick(&l->policy,
                        (struct ggw_candidate *)l->candidates->data,
                        l->servers->len, now);
    return i != GGW_POLICY_NONE ? g_ptr_array_index(l->servers, i) : trial;
}

size_t
ggw_ledger_probe_candidates(struct ggw_ledger *l,
                            const struct ggw_ledger_request *ask, ggw_ms fresh,
                            const char **names, size_t max, ggw_ms now)
{
    struct ggw_ledger_wish wish = {ask->priority, ask->avoid,
                                   ask->failure_domain,
                                   ask->cross_domain_cost};
    size_t found = 0;

    if (g_hash_table_size(l->waiting) > 0) {
        return 0;
    }
    fill_candidates(l, &wish, now);
    while (found < max) {
        size_t i = ggw_policy_pick(&l->policy,
                                   (struct ggw_candidate *)l->candidates->data,
                                   l->servers->len, now);
        struct ggw_ledger_entry *s;

        if (i == GGW_POLICY_NONE) {
            break;
        }
        s = g_ptr_array_index(l->servers, i);
        g_array_index(l->candidates, struct ggw_candidate, i).limit = 0;
        if (s->slow_percent == 0 || now - s->reported_at > fresh) {
            names[found++] = s->name;
        }
        else if (s->slow_percent <= 100) {
            break; /* good enough, and known to be */
        }
    }
    return found;
}
