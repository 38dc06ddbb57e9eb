#include "rollouts/internal.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>

#include "common/log.h"
#include "common/metrics.h"
#include "peers/peers.h"
#include "rollouts/status.h"

void
ggw_rollout_send_to_slots(struct ggw_rollouts *p, struct ggw_rollout *r)
{
    struct ggw_message *message = ggw_rollout_limits_new(r->team, r->name);
    struct ggw_rollout_limits *m = (struct ggw_rollout_limits *)message;
    double used = GGW_ROLLOUT_EXPOSURE_PERCENT / 100.0;

    m->order = r->state.order;
    m->term = ggw_rollout_get_term(r);
    m->stage = r->state.stage;
    if (!r->known) {
        /* The stage of the order is not known yet. */
        m->order = r->order.number;
        m->stage = GGW_ROLLOUT_TRIAL;
        m->target = g_strdup(r->order.target);
    }
    else if (r->lifted) {
        m->stage = GGW_ROLLOUT_NONE;
    }
    else {
        m->target = g_strdup(r->state.target);
        m->allowed = g_strdupv(r->state.allowed);
        m->exposure_percent = p->options.exposure_percent * used;
        m->exposure_slack = (int)(p->options.exposure_slack * used);
    }
    ggw_kernel_send(p->base.kernel, "slots", &p->base, message);
}

static json_t *
versions_json(char **versions)
{
    json_t *list = versions != NULL ? json_array() : json_null();

    for (int i = 0; versions != NULL && versions[i] != NULL; i++) {
        json_array_append_new(list, json_string(versions[i]));
    }
    return list;
}

static json_t *
rollout_json(const struct ggw_rollouts *p, const struct ggw_rollout *r)
{
    const struct ggw_rollout_finding *f = &r->finding;

    return json_pack(
        "{s:s,s:s,s:s,s:s*,s:o,s:I,s:b,s:f,s:s*,s:I,s:I,s:I,s:I,s:I,s:I}",
        "team", r->team, "service", r->name, "stage",
        ggw_rollout_stage_name(r->state.stage), "target", r->state.target,
        "allowed", versions_json(r->state.allowed), "order",
        (json_int_t)r->state.order, "decider", (int)r->deciding, "left_ms",
        round(r->state.deadline - ggw_rollouts_now(p)), "reason",
        r->state.reason, "granted", (json_int_t)f->granted, "granted_others",
        (json_int_t)f->others_granted, "results", (json_int_t)f->results,
        "failed", (json_int_t)f->failed, "slow", (json_int_t)f->slow,
        "failed_others", (json_int_t)f->others_failed);
}

void
ggw_rollouts_publish_status(struct ggw_rollouts *p)
{
    json_t *list = json_array();
    GHashTableIter iter;
    gpointer value;
    char *raw;

    g_hash_table_iter_init(&iter, p->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((struct ggw_rollout *)value)->known) {
            json_array_append_new(list, rollout_json(p, value));
        }
    }
    raw = json_dumps(list, JSON_COMPACT);
    ggw_kernel_publish(p->base.kernel, &p->base,
                       ggw_rollouts_status_new(g_strdup(raw)));
    free(raw); /* jansson allocates with malloc() */
    json_decref(list);
}

/* Sends the state to a gateway, or to all if @peer is NULL. */
void
ggw_rollout_send_state(struct ggw_rollouts *p, struct ggw_rollout *r,
                       const char *peer)
{
    g_autoptr(GBytes) payload = ggw_rollout_pack_state(
        r->team, r->name, &r->state, ggw_rollouts_now(p));

    ggw_kernel_send(p->base.kernel, "peers", &p->base,
                    ggw_peer_send_new(peer, GGW_PEER_ROLLOUT, 0, payload));
}

void
ggw_rollout_send_counts(struct ggw_rollouts *p, struct ggw_rollout *r,
                        const char *decider)
{
    g_autoptr(GBytes) payload = NULL;

    /*
     * The frame carries the time to the deadline of the order of the counts.
     * It is not known before the state of that order; "slots" reports again
     * when the state has come.
     */
    if (!r->known || r->own->order != r->state.order) {
        return;
    }
    payload = ggw_rollout_pack_counts(r->own,
                                      r->state.deadline - ggw_rollouts_now(p));
    ggw_kernel_send(p->base.kernel, "peers", &p->base,
                    ggw_peer_send_new(decider, GGW_PEER_ROLLOUT, 0, payload));
}

void
ggw_rollout_log_stage(struct ggw_rollouts *p, const struct ggw_rollout *r,
                      const char *by)
{
    const struct ggw_rollout_finding *f = &r->finding;
    g_autofree char *allowed = r->state.allowed != NULL
                                   ? g_strjoinv(",", r->state.allowed)
                                   : g_strdup("all others");
    g_autofree char *metric =
        g_strdup_printf("ggw_rollout_stages_total{stage=\"%s\"}",
                        ggw_rollout_stage_name(r->state.stage));

    ggw_count(metric);
    ggw_log_info(
        GGW_ROLLOUTS_PART,
        "service %s: stage %s, order %" G_GUINT64_FORMAT
        ", version %s, other versions %s, decided by %s: %s; "
        "%.0f ms left, %" G_GUINT64_FORMAT " granted, %" G_GUINT64_FORMAT
        " results, %" G_GUINT64_FORMAT " failed, %" G_GUINT64_FORMAT
        " slow; others %" G_GUINT64_FORMAT " granted, %" G_GUINT64_FORMAT
        " results, %" G_GUINT64_FORMAT " failed; %zu servers, others %zu",
        r->name, ggw_rollout_stage_name(r->state.stage),
        (guint64)r->state.order,
        r->state.target != NULL ? r->state.target : "none", allowed, by,
        r->state.reason != NULL ? r->state.reason : "",
        MAX(r->state.deadline - ggw_rollouts_now(p), 0), (guint64)f->granted,
        (guint64)f->results, (guint64)f->failed, (guint64)f->slow,
        (guint64)f->others_granted, (guint64)f->others,
        (guint64)f->others_failed, r->servers.target, r->servers.others);
}
