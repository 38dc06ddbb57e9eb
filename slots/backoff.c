#include <math.h>

#include "common/metrics.h"
#include "slots/events.h"
#include "slots/internal.h"

/*
 * Servers that have asked for no requests. The gateway that was told stops at
 * once, whoever grants the slots, and tells the owner, so that the other
 * gateways stop, too.
 */

/* Number of fields of SLOT_NOTICE. */
#define NOTICE_FIELDS 6

void
ggw_slots_refresh_backoff(struct ggw_slots *p, struct ggw_slots_server *s,
                          const char *source)
{
    ggw_ms now = ggw_slots_now(p);
    ggw_ms until = ggw_backoffs_until(p->backoffs, s->name);
    enum ggw_backoff_state state =
        ggw_backoffs_state(p->backoffs, s->name, now);

    if (state != GGW_BACKOFF_PAUSED) {
        until = 0;
    }
    if (state == s->backoff && until == s->paused_until) {
        return;
    }
    s->backoff = state;
    s->paused_until = until;
    ggw_slots_log_backoff(s, source, MAX(until - now, 0));
    ggw_kernel_send(p->base.kernel, "proxy", &p->base,
                    ggw_server_backoff_new(s->name, state, until));
}

/* Applies the state of a server and tells the ledger, if it is counted here.
 */
static void
update_server(struct ggw_slots *p, struct ggw_slots_server *s,
              const char *source)
{
    ggw_slots_refresh_backoff(p, s, source);
    /* After a pause, the server counts as unknown until its owner says more.
     */
    s->suspect = true;
    if (s->domain->ledger != NULL) {
        ggw_slots_configure_ledger(p, s->domain);
        ggw_slots_flush_ledger(p, s->domain);
    }
}

/* Records what a server wants; returns whether that is new. */
static bool
record(struct ggw_slots *p, const struct ggw_slots_server *s,
       const struct ggw_backoff_notice *notice)
{
    ggw_ms now = ggw_slots_now(p);
    bool changed = false;

    if (notice->leaving) {
        changed =
            ggw_backoffs_leave(p->backoffs, s->name, s->incarnation, now);
    }
    if (ggw_backoffs_pause(p->backoffs, s->name, s->incarnation, notice->pause,
                           now)) {
        changed = true;
        p->pause_end = ggw_backoffs_next_end(p->backoffs, now);
    }
    return changed;
}

void
ggw_slots_send_notice(struct ggw_slots *p, const struct ggw_slots_server *s,
                      const char *owner)
{
    const struct ggw_slots_domain *d = s->domain;
    ggw_ms left = ggw_backoffs_until(p->backoffs, s->name) - ggw_slots_now(p);
    struct ggw_payload_writer w;

    if (owner == NULL || g_strcmp0(owner, p->self) == 0) {
        return;
    }
    ggw_payload_begin(&w, NOTICE_FIELDS);
    ggw_payload_put_string(&w, d->group->team);
    ggw_payload_put_string(&w, d->group->service);
    ggw_payload_put_string(&w, d->name);
    ggw_payload_put_string(&w, s->name);
    ggw_payload_put_bool(&w, s->backoff == GGW_BACKOFF_LEAVING);
    ggw_payload_put_double(&w, MAX(left, 0));
    ggw_slots_send_frame(p, owner, GGW_PEER_SLOT_NOTICE, 0, &w);
}

/* Whether a notice is from an earlier process of the server. */
static bool
is_outdated(const struct ggw_slots *p, const struct ggw_slots_server *s,
            const struct ggw_server_notice *m)
{
    const struct ggw_slots_held_grant *h =
        g_hash_table_lookup(p->held_grants, &m->grant);

    return h != NULL && h->incarnation < s->incarnation;
}

void
ggw_slots_on_notice(struct ggw_slots *p, const struct ggw_server_notice *m)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_slots_server *s = ggw_slots_find_server(value, m->vm);

        if (s == NULL || is_outdated(p, s, m) || !record(p, s, &m->notice)) {
            continue;
        }
        ggw_count(m->notice.leaving ? "ggw_servers_leaving_total"
                                    : "ggw_server_pauses_total");
        update_server(p, s, m->request);
        ggw_slots_send_notice(p, s, s->domain->owner);
    }
}

void
ggw_slots_on_notice_frame(struct ggw_slots *p,
                          const struct ggw_peer_received *frame)
{
    gsize len;
    gconstpointer data = g_bytes_get_data(frame->payload, &len);
    struct ggw_payload_reader r;
    struct ggw_backoff_notice notice = {.malformed = false};
    struct ggw_slots_domain *d;
    struct ggw_slots_server *s;

    ggw_payload_open(&r, data, len);
    d = ggw_slots_read_domain(p, &r);
    s = d != NULL ? ggw_slots_find_server(d->group, ggw_payload_string(&r))
                  : NULL;
    notice.leaving = ggw_payload_bool(&r);
    notice.pause = ggw_slots_read_time(&r);
    if (!r.ok) {
        ggw_count("ggw_slots_frames_malformed_total");
    }
    else if (s != NULL && record(p, s, &notice)) {
        update_server(p, s, frame->peer);
    }
    ggw_payload_close(&r);
}

void
ggw_slots_end_pauses(struct ggw_slots *p, ggw_ms now)
{
    GHashTableIter iter;
    gpointer value;

    if (now < p->pause_end) {
        return;
    }
    p->pause_end = ggw_backoffs_next_end(p->backoffs, now);
    g_hash_table_iter_init(&iter, p->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_slots_group *g = value;

        for (guint i = 0; i < g->servers->len; i++) {
            struct ggw_slots_server *s = g_ptr_array_index(g->servers, i);

            if (s->backoff == GGW_BACKOFF_PAUSED &&
                ggw_backoffs_state(p->backoffs, s->name, now) !=
                    GGW_BACKOFF_PAUSED) {
                s->unproven = true;
                update_server(p, s, "end");
            }
        }
    }
    ggw_backoffs_expire(p->backoffs, now);
}

ggw_ms
ggw_slots_time_to_end_of_pause(const struct ggw_slots *p,
                               const struct ggw_slots_group *g)
{
    ggw_ms first = INFINITY;

    for (guint i = 0; i < g->servers->len; i++) {
        const struct ggw_slots_server *s = g_ptr_array_index(g->servers, i);

        if (s->backoff == GGW_BACKOFF_PAUSED) {
            first = MIN(first, ggw_backoffs_until(p->backoffs, s->name));
        }
    }
    return isfinite(first) ? MAX(first - ggw_slots_now(p), 0) : 0;
}
