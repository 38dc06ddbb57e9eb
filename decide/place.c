#include <math.h>
#include <string.h>

#include "decide/ledger.h"

/**
 * DOC: Choice of the server for a request
 */

/* Cost of a server that fails all requests; 1 is the usual latency. */
#define FAILURE_COST 4.0

/* The recorded failure rate loses half of its weight in this time, in ms. */
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

/* Returns whether the request avoids every server that takes requests. */
static bool
all_avoided(const struct ggw_ledger *l, char *const *avoid)
{
    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_server_entry *s =
            g_ptr_array_index(l->servers, i);

        if (!s->closed && ggw_ledger_may_expose(l, s) &&
            s->limit.state != GGW_LIMIT_EJECTED &&
            !is_avoided(avoid, s->name)) {
            return false;
        }
    }
    return true;
}

/* Returns the number of requests above which a server slows down; 0: none. */
static int
busy_limit(const struct ggw_ledger *l, const struct ggw_ledger_server_entry *s)
{
    if (l->busy_percent <= 0 || l->busy_percent >= 100) {
        return 0;
    }
    return MAX(l->busy_percent * s->slots / 100, 1);
}

static double
domain_cost(const struct ggw_ledger_server_entry *s,
            const struct ggw_ledger_pick_params *params)
{
    return params->failure_domain != NULL &&
                   g_strcmp0(params->failure_domain, s->failure_domain) != 0
               ? params->cross_domain_cost
               : 0;
}

/*
 * Returns the expected cost of failures on a server, including the retry on
 * another server, as a multiple of the usual latency.
 */
static double
failure_cost(const struct ggw_ledger_server_entry *s, ggw_ms now)
{
    return FAILURE_COST * s->failure_rate *
           exp2(-(now - s->failed_at) / FAILURE_HALF_LIFE);
}

/*
 * Fills l->candidates. Returns an ejected server that is due for a trial,
 * which is not eligible as a candidate, or NULL.
 */
static struct ggw_ledger_server_entry *
fill_candidates(struct ggw_ledger *l,
                const struct ggw_ledger_pick_params *params, ggw_ms now)
{
    char *const *avoid = params->avoid;
    bool limits_hedge = ggw_ledger_limits_hedge(l, params);
    struct ggw_ledger_server_entry *trial = NULL;
    size_t i;

    if (avoid != NULL && !limits_hedge && all_avoided(l, avoid)) {
        avoid = NULL;
    }
    g_array_set_size(l->candidates, l->servers->len);
    for (i = 0; i < l->servers->len; i++) {
        struct ggw_ledger_server_entry *s = g_ptr_array_index(l->servers, i);
        bool startable =
            !(params->hedge && s->exposure == GGW_EXPOSURE_LIMITED) &&
            ggw_ledger_can_grant(l, s, now) &&
            ggw_limit_may_start(&s->limit, s->in_flight, now);

        if (limits_hedge) {
            startable = startable && ggw_ledger_suits_hedge(s) &&
                        !is_avoided(avoid, s->name);
        }
        if (startable && s->limit.state == GGW_LIMIT_EJECTED &&
            !is_avoided(avoid, s->name)) {
            trial = s;
            startable = false;
        }
        g_array_index(l->candidates, struct ggw_candidate, i) =
            (struct ggw_candidate){
                .in_flight = s->in_flight,
                .limit = startable ? ggw_limit_slots(&s->limit) : 0,
                .avoid = is_avoided(avoid, s->name),
                .reported = s->reported,
                .load = s->load,
                .reported_at = s->reported_at,
                .busy_limit = busy_limit(l, s),
                .slow_percent = s->slow_percent,
                .cost = domain_cost(s, params) + failure_cost(s, now),
            };
    }
    return trial;
}

static bool
has_room(const struct ggw_ledger_server_entry *s, ggw_ms now)
{
    struct ggw_full_load load = {
        .slots = ggw_limit_slots(&s->limit),
        .in_flight = s->in_flight,
        .abandoned = s->abandoned,
        .foreign = s->foreign,
        .report_age = s->reported ? now - s->reported_at : INFINITY,
        .event_age = now - s->miscounted_at,
    };

    return ggw_full_server_has_room(&load);
}

/*
 * Leaves only candidates with a slot that is free by all that is known. While
 * it is not known that full servers cut requests off, the others stay if
 * there is no such candidate.
 */
static void
keep_candidates_with_room(struct ggw_ledger *l, ggw_ms now)
{
    struct ggw_candidate *c = (struct ggw_candidate *)l->candidates->data;
    bool any = false;

    for (guint i = 0; i < l->servers->len; i++) {
        any |= c[i].limit > 0 && !c[i].avoid &&
               has_room(g_ptr_array_index(l->servers, i), now);
    }
    if (!any && l->full.behaviour == GGW_FULL_UNKNOWN) {
        return;
    }
    for (guint i = 0; i < l->servers->len; i++) {
        if (!has_room(g_ptr_array_index(l->servers, i), now)) {
            c[i].limit = 0;
        }
    }
}

struct ggw_ledger_server_entry *
ggw_ledger_pick(struct ggw_ledger *l,
                const struct ggw_ledger_pick_params *params, ggw_ms now)
{
    struct ggw_ledger_server_entry *trial = fill_candidates(l, params, now);
    size_t i;

    if (params->once && l->full.behaviour != GGW_FULL_ANSWERS) {
        keep_candidates_with_room(l, now);
    }
    if (ggw_ledger_limits_hedge(l, params)) {
        ggw_ledger_close_slow(l, params, now);
    }
    if (trial != NULL && params->priority > 0) {
        return trial;
    }
    i = l->exposure != NULL
            ? ggw_ledger_pick_exposed(l, params, now)
            : ggw_policy_pick(&l->policy,
                              (struct ggw_candidate *)l->candidates->data,
                              l->servers->len, now);
    return i != GGW_POLICY_NONE ? g_ptr_array_index(l->servers, i) : trial;
}

size_t
ggw_ledger_probe_candidates(struct ggw_ledger *l,
                            const struct ggw_ledger_request *request,
                            ggw_ms max_age, const char **names, size_t max,
                            ggw_ms now)
{
    struct ggw_ledger_pick_params params = {request->priority,
                                            request->avoid,
                                            request->failure_domain,
                                            request->cross_domain_cost,
                                            request->route,
                                            request->hedge,
                                            request->once};
    size_t found = 0;
    enum ggw_slot_refusal reason;

    if (g_hash_table_size(l->waiting) > 0 ||
        (ggw_ledger_limits_hedge(l, &params) &&
         !ggw_ledger_may_hedge(l, &reason))) {
        return 0;
    }
    fill_candidates(l, &params, now);
    while (found < max) {
        size_t i = ggw_policy_pick(&l->policy,
                                   (struct ggw_candidate *)l->candidates->data,
                                   l->servers->len, now);
        struct ggw_ledger_server_entry *s;

        if (i == GGW_POLICY_NONE) {
            break;
        }
        s = g_ptr_array_index(l->servers, i);
        g_array_index(l->candidates, struct ggw_candidate, i).limit = 0;
        if (s->slow_percent == 0 || now - s->reported_at > max_age) {
            names[found++] = s->name;
        }
        else if (s->slow_percent <= 100) {
            break; /* a recent report shows it as fast as usual */
        }
    }
    return found;
}
