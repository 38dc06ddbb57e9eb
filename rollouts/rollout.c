#include "rollouts/internal.h"

#include <math.h>

#include "decide/rollout.h"

/* Time after the deadline for which the decider reads the rows back, ms. */
#define VERIFY_AFTER 10000.0

ggw_ms
ggw_rollouts_now(const struct ggw_rollouts *p)
{
    return ggw_kernel_now(p->base.kernel);
}

void
ggw_rollout_free(gpointer data)
{
    struct ggw_rollout *r = data;

    g_free(r->team);
    g_free(r->name);
    g_free(r->order.target);
    ggw_rollout_state_clear(&r->state);
    ggw_rollout_state_clear(&r->save_state);
    if (r->own != NULL) {
        r->own->base.ops->destroy(&r->own->base);
    }
    ggw_rollout_judge_free(r->judge);
    g_hash_table_unref(r->reports);
    g_free(r);
}

struct ggw_rollout *
ggw_rollout_new(const char *team, const char *service)
{
    struct ggw_rollout *r = g_new0(struct ggw_rollout, 1);

    r->team = g_strdup(team);
    r->name = g_strdup(service);
    r->servers.others_gone_at = INFINITY;
    r->servers.allowed_gone_at = INFINITY;
    r->sent_at = -INFINITY;
    r->save_at = -INFINITY;
    r->save_timeout = GGW_ROLLOUT_SAVE_TIMEOUT;
    r->judge = ggw_rollout_judge_new();
    r->reports =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return r;
}

uint64_t
ggw_rollout_get_term(const struct ggw_rollout *r)
{
    return ggw_rollout_term(r->state.order, r->state.stage);
}

/* Whether a stage of the service is undecided or was decided just now. */
bool
ggw_rollout_is_active(const struct ggw_rollout *r, ggw_ms now)
{
    return r->known && r->state.stage != GGW_ROLLOUT_NONE &&
           (r->state.stage == GGW_ROLLOUT_TRIAL ||
            r->state.stage == GGW_ROLLOUT_SWITCHING ||
            now < MAX(r->state.deadline, r->stage_since) + VERIFY_AFTER);
}
