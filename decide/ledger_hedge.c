#include "decide/ledger.h"

/**
 * DOC: Hedges in the slot ledger
 *
 * Applies while a limit of the slot time of hedges is set. A hedge then gets a
 * slot that no other request needs, or none.
 */

void
ggw_ledger_set_hedge_work(struct ggw_ledger *l, double percent)
{
    l->hedge_percent = percent;
}

bool
ggw_ledger_limits_hedge(const struct ggw_ledger *l,
                        const struct ggw_ledger_pick_params *params)
{
    return params->hedge && l->hedge_percent > 0;
}

bool
ggw_ledger_suits_hedge(const struct ggw_ledger_server_entry *s)
{
    return !s->closed && s->limit.state == GGW_LIMIT_WARM &&
           !s->limit.unproven && !s->limit.drain_reported &&
           s->exposure == GGW_EXPOSURE_OPEN;
}

static bool
leaves_spare(const struct ggw_ledger *l)
{
    int free = 0;
    int slots = 0;

    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_server_entry *s =
            g_ptr_array_index(l->servers, i);

        if (ggw_ledger_suits_hedge(s)) {
            slots += ggw_limit_slots(&s->limit);
            free += MAX(ggw_limit_slots(&s->limit) - s->in_flight, 0);
        }
    }
    return ggw_hedge_leaves_spare(free, slots);
}

bool
ggw_ledger_may_hedge(const struct ggw_ledger *l, enum ggw_slot_refusal *reason)
{
    if (g_hash_table_size(l->waiting) > 0 || !leaves_spare(l)) {
        *reason = GGW_SLOT_HEDGE_BUSY;
        return false;
    }
    if (l->latency.p90 <= 0 ||
        !ggw_hedge_work_allows(&l->hedge_work, l->latency.p90)) {
        *reason = GGW_SLOT_HEDGE_WORK;
        return false;
    }
    *reason = GGW_SLOT_HEDGE_SERVER;
    return true;
}

static struct ggw_hedge_server
describe(const struct ggw_ledger_server_entry *s, ggw_ms now)
{
    return (struct ggw_hedge_server){
        .free = ggw_limit_slots(&s->limit) - s->in_flight,
        .warm = ggw_ledger_suits_hedge(s),
        .reported = s->reported,
        .slots = ggw_limit_slots(&s->limit),
        .load = s->load,
        .slow_percent = s->slow_percent,
        .report_age = now - s->reported_at,
    };
}

/* Returns the server of the last attempt, or NULL. */
static const struct ggw_ledger_server_entry *
find_tried(const struct ggw_ledger *l, char *const *avoid)
{
    const char *last = NULL;

    for (char *const *a = avoid; a != NULL && *a != NULL; a++) {
        last = *a;
    }
    return last != NULL ? ggw_ledger_find_server(l, last) : NULL;
}

void
ggw_ledger_close_slow(struct ggw_ledger *l,
                      const struct ggw_ledger_pick_params *params, ggw_ms now)
{
    const struct ggw_ledger_server_entry *entry = find_tried(l, params->avoid);
    struct ggw_hedge_server tried = {0};

    if (entry != NULL) {
        tried = describe(entry, now);
    }
    for (guint i = 0; i < l->servers->len; i++) {
        struct ggw_hedge_server s =
            describe(g_ptr_array_index(l->servers, i), now);

        if (!ggw_hedge_may_use(&s, entry != NULL ? &tried : NULL)) {
            g_array_index(l->candidates, struct ggw_candidate, i).limit = 0;
        }
    }
}

void
ggw_ledger_count_work(struct ggw_ledger *l, struct ggw_ledger_grant *g,
                      const struct ggw_ledger_pick_params *params)
{
    g->work = l->hedge_percent > 0;
    if (ggw_ledger_limits_hedge(l, params)) {
        g->hedge_cost = l->latency.p90;
        ggw_hedge_work_reserve(&l->hedge_work, g->hedge_cost);
    }
}

void
ggw_ledger_count_work_end(struct ggw_ledger *l, struct ggw_ledger_grant *g,
                          ggw_ms held)
{
    if (!g->work) {
        return;
    }
    g->work = false;
    if (g->hedge_cost > 0) {
        ggw_hedge_work_end(&l->hedge_work, g->hedge_cost, held);
    }
    else {
        ggw_hedge_work_earn(&l->hedge_work, held);
    }
}
