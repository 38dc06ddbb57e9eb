#include "rollouts/internal.h"

#include <math.h>

#include "common/log.h"
#include "decide/rollout.h"

/* Time after which all versions are allowed if none of the allowed ones has a
 * server, ms. */
#define LIFT_AFTER 5000.0

/* Applies a copy of @state, which @by has decided. */
void
ggw_rollout_apply(struct ggw_rollouts *p, struct ggw_rollout *r,
                  const struct ggw_rollout_state *state, const char *by)
{
    struct ggw_rollout_state copy;
    bool new_order = !r->known || state->order != r->state.order;

    ggw_rollout_state_copy(&copy, state);
    ggw_rollout_state_clear(&r->state);
    r->state = copy;
    r->known = true;
    r->lifted = false;
    r->completing = false;
    r->stage_since = ggw_rollouts_now(p);
    r->servers.allowed_gone_at = INFINITY;
    if (new_order) {
        ggw_rollout_judge_free(r->judge);
        r->judge = ggw_rollout_judge_new();
        r->finding = (struct ggw_rollout_finding){0};
        g_hash_table_remove_all(r->reports);
    }
    ggw_rollout_count_servers(p, r);
    ggw_rollout_log_stage(p, r, by);
    ggw_rollout_send_to_slots(p, r);
    ggw_rollouts_publish_status(p);
}

/* Decides a stage as the decider, and sends it to all. */
static void
decide(struct ggw_rollouts *p, struct ggw_rollout *r,
       enum ggw_rollout_stage stage, const char *reason)
{
    struct ggw_rollout_state next;

    ggw_rollout_state_copy(&next, &r->state);
    next.stage = stage;
    g_free(next.reason);
    next.reason = g_strdup(reason);
    ggw_rollout_apply(p, r, &next, "this gateway");
    ggw_rollout_state_clear(&next);
    ggw_rollout_send_state(p, r, NULL);
    r->sent_at = ggw_rollouts_now(p);
}

/* Without an order, the versions that are registered first are allowed. */
void
ggw_rollout_decide_baseline(struct ggw_rollouts *p, struct ggw_rollout *r)
{
    const char *target =
        r->order.number > 0 && r->servers.others > 0 ? r->order.target : NULL;
    struct ggw_rollout_state state = {
        .stage = GGW_ROLLOUT_NONE,
        .allowed = ggw_rollout_list_versions(p, r, target),
        .reason = g_strdup("versions of the registered servers"),
    };

    ggw_rollout_apply(p, r, &state, "this gateway");
    ggw_rollout_state_clear(&state);
    ggw_rollout_send_state(p, r, NULL);
}

/*
 * Versions that may get requests before an order. The target of the order is
 * among them only if it was in use already, which is stored in @proven.
 */
static char **
allowed_before(const struct ggw_rollout *r, const char *target, bool *proven)
{
    GPtrArray *list = g_ptr_array_new();
    bool moved = r->state.stage == GGW_ROLLOUT_COMPLETED;

    *proven = moved && g_strcmp0(r->state.target, target) == 0;
    if (!moved && r->state.allowed == NULL) {
        g_ptr_array_unref(list);
        return NULL;
    }
    if (moved) {
        g_ptr_array_add(list, g_strdup(r->state.target));
    }
    for (int i = 0; !moved && r->state.allowed[i] != NULL; i++) {
        *proven |= g_strcmp0(r->state.allowed[i], target) == 0;
        g_ptr_array_add(list, g_strdup(r->state.allowed[i]));
    }
    g_ptr_array_add(list, NULL);
    return (char **)g_ptr_array_free(list, FALSE);
}

/* Begins with the operator's last order. */
void
ggw_rollout_begin_order(struct ggw_rollouts *p, struct ggw_rollout *r)
{
    const struct ggw_rollout_last_order *o = &r->order;
    bool proven = false;
    struct ggw_rollout_state state = {
        .order = o->number,
        .target = g_strdup(o->target),
        .allowed = allowed_before(r, o->target, &proven),
        .deadline = o->read_at + o->duration,
        .duration = o->duration,
    };

    state.stage = proven ? GGW_ROLLOUT_SWITCHING : GGW_ROLLOUT_TRIAL;
    state.reason = g_strdup(proven ? "the version was in use before the order"
                                   : "the operator has ordered it");
    ggw_rollout_apply(p, r, &state, "this gateway");
    ggw_rollout_state_clear(&state);
    ggw_rollout_send_state(p, r, NULL);
    r->sent_at = ggw_rollouts_now(p);
}

/* Whether the new version was in use before the order. */
static bool
is_proven(const struct ggw_rollout *r)
{
    return r->state.allowed != NULL && r->state.target != NULL &&
           g_strv_contains((const char *const *)r->state.allowed,
                           r->state.target);
}

/* Decides the next stage of the roll-out in progress. */
void
ggw_rollout_decide_next(struct ggw_rollouts *p, struct ggw_rollout *r)
{
    struct ggw_rollout_view v = {
        .now = ggw_rollouts_now(p),
        .ordered_at = r->state.deadline - r->state.duration,
        .deadline = r->state.deadline,
        .longest_request = ggw_rollout_longest_request(p, r),
        .stage = r->state.stage,
        .target_servers = r->servers.target,
        .others_gone_at = r->servers.others_gone_at,
        .proven = is_proven(r),
    };
    struct ggw_rollout_step next;

    if (ggw_rollout_may_complete(r)) {
        return;
    }
    /* A version that was in use before the order has nothing to go back to. */
    if (r->order.number == r->state.order && r->order.removed && !v.proven) {
        decide(p, r, GGW_ROLLOUT_ROLLED_BACK, "the order was removed");
        return;
    }
    ggw_rollout_group_servers(p, r);
    r->finding = ggw_rollout_judge_find(
        r->judge, v.now, r->state.stage == GGW_ROLLOUT_SWITCHING);
    v.finding = r->finding;
    v.drained = r->state.stage == GGW_ROLLOUT_SWITCHING &&
                ggw_rollout_all_drained(p, r);
    next = ggw_rollout_next(&v);
    r->completing = next.stage == GGW_ROLLOUT_COMPLETED;
    /* A minority lacks the results of the others, which may be good. */
    if (next.stage == GGW_ROLLOUT_ROLLED_BACK && !v.finding.bad &&
        !ggw_rollouts_has_majority(p)) {
        return;
    }
    if (!r->completing && next.stage != r->state.stage) {
        decide(p, r, next.stage, next.reason);
    }
}

/* Allows all versions while the allowed ones have no servers. */
void
ggw_rollout_update_lifted(struct ggw_rollouts *p, struct ggw_rollout *r)
{
    bool settled = r->state.stage == GGW_ROLLOUT_NONE ||
                   r->state.stage == GGW_ROLLOUT_COMPLETED;
    bool any = r->servers.target + r->servers.others > 0;
    bool lifted =
        r->known && settled && any &&
        ggw_rollouts_now(p) - r->servers.allowed_gone_at >= LIFT_AFTER;

    if (lifted == r->lifted) {
        return;
    }
    r->lifted = lifted;
    ggw_log_warn(GGW_ROLLOUTS_PART,
                 lifted ? "service %s: no server of an allowed version is "
                          "registered, all versions are allowed"
                        : "service %s: servers of allowed versions are back",
                 r->name);
    ggw_rollout_send_to_slots(p, r);
}
