#include "rollouts/internal.h"

#include <string.h>

#include "common/log.h"
#include "decide/owner.h"
#include "peers/peers.h"

/* Time after the start in which no gateway is the decider, ms: the others are
 * not known yet. */
#define SETTLE 2000.0

/*
 * The decider acts without the record in the store after this time, in ms,
 * while the store is away. A roll-back must not wait for the store.
 */
#define RECORD_WAIT 3000.0

/* Interval at which states and counts are repeated during a roll-out, ms. */
#define REPEAT 500.0

/* The part of the failure domain in the choice of the decider. */
#define ALL_DOMAINS "*"

/* Name of the decider in this gateway's view, or NULL. */
const char *
ggw_rollout_find_decider(const struct ggw_rollouts *p,
                         const struct ggw_rollout *r)
{
    size_t i;

    if (p->members == NULL) {
        return NULL;
    }
    i = ggw_owner_pick(r->team, r->name, ALL_DOMAINS,
                       (const struct ggw_member *)p->members->members->data,
                       p->members->members->len);
    return i != (size_t)-1
               ? g_array_index(p->members->members, struct ggw_member, i).name
               : NULL;
}

static void
start_deciding(struct ggw_rollouts *p, struct ggw_rollout *r)
{
    g_autoptr(GBytes) payload = ggw_rollout_pack_ask(r->team, r->name);

    r->deciding = true;
    r->deciding_since = ggw_rollouts_now(p);
    r->read = false;
    ggw_log_info(GGW_ROLLOUTS_PART,
                 "service %s: this gateway decides on roll-outs", r->name);
    ggw_kernel_send(p->base.kernel, "peers", &p->base,
                    ggw_peer_send_new(NULL, GGW_PEER_ROLLOUT, 0, payload));
}

void
ggw_rollout_update_deciding(struct ggw_rollouts *p, struct ggw_rollout *r)
{
    const char *decider = ggw_rollout_find_decider(p, r);
    bool deciding = decider != NULL && strcmp(decider, p->self) == 0 &&
                    ggw_rollouts_now(p) - p->started_at >= SETTLE;

    if (deciding && !r->deciding) {
        start_deciding(p, r);
    }
    else if (!deciding && r->deciding) {
        ggw_log_info(GGW_ROLLOUTS_PART,
                     "service %s: gateway %s decides on roll-outs", r->name,
                     decider != NULL ? decider : "none");
        r->deciding = false;
        r->completing = false;
    }
}

/* The decider's work. */
void
ggw_rollout_tick_decider(struct ggw_rollouts *p, struct ggw_rollout *r)
{
    ggw_ms now = ggw_rollouts_now(p);
    bool may_act = r->read || now - r->deciding_since >= RECORD_WAIT;

    if (may_act && !r->known && r->servers.target + r->servers.others > 0) {
        ggw_rollout_decide_baseline(p, r);
    }
    if (may_act && r->known && r->order.number > r->state.order &&
        !r->order.removed && !ggw_rollout_may_complete(r)) {
        ggw_rollout_begin_order(p, r);
    }
    if (r->known && (r->state.stage == GGW_ROLLOUT_TRIAL ||
                     r->state.stage == GGW_ROLLOUT_SWITCHING)) {
        ggw_rollout_decide_next(p, r);
    }
    ggw_rollout_update_store(p, r);
    if (ggw_rollout_is_active(r, now) && now - r->sent_at >= REPEAT) {
        ggw_rollout_send_state(p, r, NULL);
        r->sent_at = now;
        ggw_rollouts_publish_status(p);
    }
}

/* Sends this gateway's counts to the decider again. */
void
ggw_rollout_tick_other(struct ggw_rollouts *p, struct ggw_rollout *r)
{
    const char *decider = ggw_rollout_find_decider(p, r);
    ggw_ms now = ggw_rollouts_now(p);

    if (decider != NULL && strcmp(decider, p->self) != 0 && r->own != NULL &&
        ggw_rollout_is_active(r, now) && now - r->sent_at >= REPEAT) {
        ggw_rollout_send_counts(p, r, decider);
        r->sent_at = now;
    }
}
