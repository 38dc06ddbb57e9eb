#include "decide/ledger.h"

/**
 * DOC: Roll-outs in the slot ledger
 */

/*
 * Grants after which the next server of the new version is filled first. Few
 * servers at a time get many requests each, because a version may fail under
 * load only; the servers take turns, because one of them may differ.
 */
#define GRANTS_PER_TURN 30

/*
 * An owner gets its share of the slack of an order only if it knew all
 * gateways for at least this long, in ms, when it learned of the order.
 * Otherwise an earlier owner may have used the slack: a gateway that starts,
 * or is reached again, learns of the orders in force within this time.
 */
#define SLACK_MIN_AGE 5000.0

static void
begin_order(struct ggw_ledger *l, int owners, ggw_ms now)
{
    bool knew_gateways = now - l->hold_until >= SLACK_MIN_AGE &&
                         now < l->grant_limits->majority_valid_until;

    ggw_exposure_begin(&l->exposure_counter, l->exposure->order,
                       knew_gateways ? 1.0 / MAX(owners, 1) : 0);
}

void
ggw_ledger_set_exposure(struct ggw_ledger *l,
                        const struct ggw_exposure_limits *limits, int owners,
                        ggw_ms now)
{
    l->exposure = limits;
    if (limits != NULL && limits->order != l->exposure_counter.order) {
        begin_order(l, owners, now);
    }
    for (guint i = 0; i < l->servers->len; i++) {
        ggw_ledger_classify(l, g_ptr_array_index(l->servers, i));
    }
}

void
ggw_ledger_classify(const struct ggw_ledger *l,
                    struct ggw_ledger_server_entry *s)
{
    s->exposure = ggw_exposure_classify(l->exposure, s->version);
    s->target = ggw_exposure_is_target(l->exposure, s->version);
}

bool
ggw_ledger_may_expose(const struct ggw_ledger *l,
                      const struct ggw_ledger_server_entry *s)
{
    return s->exposure == GGW_EXPOSURE_OPEN ||
           (s->exposure == GGW_EXPOSURE_LIMITED &&
            ggw_exposure_allowance(l->exposure, &l->exposure_counter) >= 1);
}

int
ggw_ledger_limit_exposed(const struct ggw_ledger *l, int slots)
{
    double allowance =
        l->exposure != NULL
            ? ggw_exposure_allowance(l->exposure, &l->exposure_counter)
            : 0;

    return (int)CLAMP(allowance, 0, slots);
}

int
ggw_ledger_share_exposed(const struct ggw_ledger *l, int open, int limited)
{
    double share = l->exposure != NULL ? l->exposure->percent * open / 100 : 0;

    return (int)MIN(share, limited);
}

static bool
is_free(const struct ggw_candidate *c)
{
    return c->in_flight < c->limit && !c->avoid;
}

/*
 * Returns the first server of the new version that has a free slot, from the
 * one whose turn it is; GGW_POLICY_NONE if none has.
 */
static size_t
first_limited(const struct ggw_ledger *l)
{
    g_autoptr(GArray) limited = NULL;
    guint first = l->exposure_counter.target / GRANTS_PER_TURN;

    if (l->exposure->stage != GGW_ROLLOUT_TRIAL) {
        return GGW_POLICY_NONE;
    }
    limited = g_array_new(FALSE, FALSE, sizeof(guint));
    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_server_entry *s =
            g_ptr_array_index(l->servers, i);

        if (s->exposure == GGW_EXPOSURE_LIMITED) {
            g_array_append_val(limited, i);
        }
    }
    for (guint i = 0; i < limited->len; i++) {
        guint j = g_array_index(limited, guint, (first + i) % limited->len);

        if (is_free(&g_array_index(l->candidates, struct ggw_candidate, j))) {
            return j;
        }
    }
    return GGW_POLICY_NONE;
}

static void
close_limited(struct ggw_ledger *l)
{
    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_server_entry *s =
            g_ptr_array_index(l->servers, i);

        if (s->exposure == GGW_EXPOSURE_LIMITED) {
            g_array_index(l->candidates, struct ggw_candidate, i).limit = 0;
        }
    }
}

/* Retries go to the other versions as long as these have a free slot. */
size_t
ggw_ledger_pick_exposed(struct ggw_ledger *l,
                        const struct ggw_ledger_pick_params *params,
                        ggw_ms now)
{
    size_t limited = first_limited(l);
    size_t i;

    if (limited != GGW_POLICY_NONE && params->avoid == NULL &&
        ggw_exposure_wants_trial(l->exposure, &l->exposure_counter,
                                 params->route)) {
        return limited;
    }
    close_limited(l);
    i = ggw_policy_pick(&l->policy,
                        (struct ggw_candidate *)l->candidates->data,
                        l->servers->len, now);
    return i != GGW_POLICY_NONE ? i : limited;
}

/* Returns the name of a grant's server if it runs the new version. */
static const char *
target_name(const struct ggw_ledger_grant *g)
{
    return g->server->target ? g->server->name : NULL;
}

void
ggw_ledger_count_grant(struct ggw_ledger *l, struct ggw_ledger_grant *g,
                       const struct ggw_ledger_pick_params *params)
{
    if (!ggw_exposure_is_judged(l->exposure)) {
        return;
    }
    g->order = l->exposure->order;
    g->first = params->avoid == NULL && !params->hedge;
    g->route = g_strdup(params->route);
    ggw_exposure_granted(&l->exposure_counter, g->first, g->server->target);
    ggw_exposure_tally_granted(l->exposure->tally, g->route, target_name(g));
}

void
ggw_ledger_count_end(struct ggw_ledger *l, const struct ggw_ledger_grant *g,
                     enum ggw_attempt_result result, ggw_ms latency)
{
    if (l->exposure == NULL || g->order == 0 ||
        g->order != l->exposure->order) {
        return;
    }
    if (result == GGW_ATTEMPT_UNUSED) {
        ggw_exposure_returned(&l->exposure_counter, g->first,
                              g->server->target);
    }
    ggw_exposure_tally_result(l->exposure->tally, g->route, target_name(g),
                              result, latency);
}

int
ggw_ledger_granted_old(const struct ggw_ledger *l)
{
    GHashTableIter iter;
    gpointer value;
    int n = 0;

    g_hash_table_iter_init(&iter, l->grants);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ggw_ledger_grant *g = value;

        n += !g->released && !g->server->target;
    }
    return n;
}
