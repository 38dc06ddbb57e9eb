#include "slots/rollout.h"

#include <math.h>

/* Shortest time in ms between two reports of the counts of a service. */
#define REPORT_INTERVAL 200.0

/**
 * struct ggw_slots_rollout - roll-out of one service in this gateway
 * @team: name of the team; NULL before the first message
 * @service: name of the service
 * @term: term of the last message
 * @limits: stage that applies
 * @target: new version, to which @limits points
 * @allowed: allowed versions, to which @limits points
 * @tally: results that the ledgers of this gateway count
 * @since: when they began to count, monotonic ms
 * @reported_at: time of the last report, monotonic ms
 * @reported: the members below are those of the last report
 * @changes: number of changes of @tally
 * @held_old, @granted_old: see struct ggw_rollout_counts
 */
struct ggw_slots_rollout {
    char *team;
    char *service;
    uint64_t term;
    struct ggw_exposure_limits limits;
    char *target;
    char **allowed;
    struct ggw_exposure_tally *tally;
    ggw_ms since;
    ggw_ms reported_at;
    bool reported;
    uint64_t changes;
    int held_old;
    int granted_old;
};

struct ggw_slots_rollout *
ggw_slots_rollout_new(void)
{
    struct ggw_slots_rollout *r = g_new0(struct ggw_slots_rollout, 1);

    r->tally = ggw_exposure_tally_new();
    r->reported_at = -INFINITY;
    return r;
}

void
ggw_slots_rollout_free(gpointer rollout)
{
    struct ggw_slots_rollout *r = rollout;

    ggw_exposure_tally_free(r->tally);
    g_strfreev(r->allowed);
    g_free(r->target);
    g_free(r->team);
    g_free(r->service);
    g_free(r);
}

static void
store_limits(struct ggw_slots_rollout *r, const struct ggw_rollout_limits *m)
{
    g_free(r->target);
    g_strfreev(r->allowed);
    r->target = g_strdup(m->target);
    r->allowed = g_strdupv(m->allowed);
    r->limits = (struct ggw_exposure_limits){
        .order = m->order,
        .stage = m->stage,
        .target = r->target,
        .allowed = r->allowed,
        .percent = m->exposure_percent,
        .slack = m->exposure_slack,
        .tally = r->tally,
    };
}

static bool
equal_versions(char *const *a, char *const *b)
{
    return a == NULL || b == NULL
               ? a == b
               : g_strv_equal((const char *const *)a, (const char *const *)b);
}

static bool
is_same(const struct ggw_slots_rollout *r, const struct ggw_rollout_limits *m)
{
    return r->team != NULL && m->term == r->term &&
           m->order == r->limits.order && m->stage == r->limits.stage &&
           m->exposure_percent == r->limits.percent &&
           m->exposure_slack == r->limits.slack &&
           g_strcmp0(m->target, r->target) == 0 &&
           equal_versions(m->allowed, r->allowed);
}

bool
ggw_slots_rollout_apply(struct ggw_slots_rollout *r,
                        const struct ggw_rollout_limits *m, ggw_ms now)
{
    if ((r->team != NULL && m->term < r->term) || is_same(r, m)) {
        return false;
    }
    if (r->team == NULL) {
        r->team = g_strdup(m->team);
        r->service = g_strdup(m->service);
    }
    if (m->order != r->limits.order) {
        ggw_exposure_tally_reset(r->tally);
        r->since = now;
    }
    r->reported = r->reported && m->term == r->term;
    r->term = m->term;
    store_limits(r, m);
    return true;
}

const struct ggw_exposure_limits *
ggw_slots_rollout_limits(const struct ggw_slots_rollout *r)
{
    return r != NULL && r->team != NULL ? &r->limits : NULL;
}

bool
ggw_slots_rollout_counts_routes(const struct ggw_slots_rollout *r)
{
    return r != NULL && ggw_exposure_is_judged(&r->limits);
}

/* Returns whether "rollouts" waits for what the report says. */
static bool
is_urgent(const struct ggw_slots_rollout *r, int held_old, int granted_old)
{
    return !r->reported || (r->limits.stage == GGW_ROLLOUT_SWITCHING &&
                            ((held_old == 0 && r->held_old > 0) ||
                             (granted_old == 0 && r->granted_old > 0)));
}

static bool
has_changed(const struct ggw_slots_rollout *r, int held_old, int granted_old)
{
    return r->changes != ggw_exposure_tally_changes(r->tally) ||
           r->held_old != held_old || r->granted_old != granted_old;
}

struct ggw_message *
ggw_slots_rollout_report(struct ggw_slots_rollout *r, int held_old,
                         int granted_old, ggw_ms now)
{
    struct ggw_rollout_counts *m;
    bool due = r->limits.stage != GGW_ROLLOUT_ROLLED_BACK &&
               now - r->reported_at >= REPORT_INTERVAL &&
               has_changed(r, held_old, granted_old);

    if (r->limits.order == 0 ||
        (!due && !is_urgent(r, held_old, granted_old))) {
        return NULL;
    }
    r->reported = true;
    r->reported_at = now;
    r->changes = ggw_exposure_tally_changes(r->tally);
    r->held_old = held_old;
    r->granted_old = granted_old;
    m = (struct ggw_rollout_counts *)ggw_rollout_counts_new(r->team,
                                                            r->service);
    m->order = r->limits.order;
    m->term = r->term;
    m->held_old = held_old;
    m->granted_old = granted_old;
    m->since = r->since;
    ggw_exposure_tally_samples(r->tally, m->samples);
    return &m->base;
}
