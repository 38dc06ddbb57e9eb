#include <math.h>
#include <string.h>

#include "slots/internal.h"

/* Acquire requests of this gateway to the owners of domains. */

/*
 * Minimum time in ms that an owner has to answer. An owner that may be in
 * another failure domain, or that probes servers before it answers, needs the
 * longer time.
 */
#define ANSWER_TIME_MIN 5.0
#define ANSWER_TIME_MIN_SLOW 40.0

/*
 * Pauses of this gateway extend the time to answer by at most this multiple of
 * it.
 */
#define PAUSE_ALLOWANCE_FACTOR 3

/*
 * Interval in ms at which a queued request is sent again to check that the
 * owner still runs. A single owner of all servers is asked less often.
 */
#define RESEND_INTERVAL 50.0
#define RESEND_INTERVAL_SINGLE_OWNER 250.0

/* Time to the target in ms in the SLOT_ACQUIRE of a request without one. */
#define NO_TARGET 1e9

static ggw_ms
answer_time(struct ggw_slots *p, const struct ggw_slots_acquire *a)
{
    const struct ggw_service_rule *rule = a->domain->group->rule;
    bool probes_first = rule != NULL && rule->probe_rate > 0;
    bool single_owner = strcmp(a->domain->name, GGW_SLOTS_ALL_DOMAINS) == 0;

    if (strcmp(a->owner, p->self) == 0) {
        return INFINITY;
    }
    return MAX(3 * ggw_slots_get_peer(p, a->owner)->rtt,
               probes_first || single_owner ? ANSWER_TIME_MIN_SLOW
                                            : ANSWER_TIME_MIN);
}

static ggw_ms
resend_interval(const struct ggw_slots_acquire *a)
{
    return strcmp(a->domain->name, GGW_SLOTS_ALL_DOMAINS) == 0
               ? RESEND_INTERVAL_SINGLE_OWNER
               : RESEND_INTERVAL;
}

struct ggw_slots_acquire *
ggw_slots_acquire_new(struct ggw_slots *p, struct ggw_slots_pending *pd,
                      struct ggw_slots_domain *d, bool home)
{
    struct ggw_slots_acquire *a = g_new0(struct ggw_slots_acquire, 1);

    a->id = ++p->next_id;
    a->pending = pd;
    a->domain = d;
    a->owner = g_strdup(d->owner);
    a->sent_at = ggw_slots_now(p);
    a->pause_allowance = PAUSE_ALLOWANCE_FACTOR * answer_time(p, a);
    a->due = a->sent_at + answer_time(p, a);
    g_assert(*(home ? &pd->home : &pd->spill) == NULL);
    *(home ? &pd->home : &pd->spill) = a;
    g_hash_table_insert(p->acquires, &a->id, a);
    return a;
}

static void
acquire_destroy(struct ggw_slots_acquire *a)
{
    g_free(a->owner);
    g_free(a);
}

void
ggw_slots_acquire_detach(struct ggw_slots *p, struct ggw_slots_acquire *a)
{
    if (a->pending->home == a) {
        a->pending->home = NULL;
    }
    if (a->pending->spill == a) {
        a->pending->spill = NULL;
    }
    a->pending = NULL;
    g_hash_table_remove(p->acquires, &a->id);
}

void
ggw_slots_acquire_free(struct ggw_slots *p, struct ggw_slots_acquire *a)
{
    ggw_slots_acquire_detach(p, a);
    acquire_destroy(a);
}

void
ggw_slots_acquire_cancel(struct ggw_slots *p, struct ggw_slots_acquire *a)
{
    struct ggw_slots_domain *d = a->domain;
    struct ggw_payload_writer w;

    g_assert(a->pending == NULL);
    if (strcmp(a->owner, p->self) != 0) {
        ggw_payload_begin(&w, 3);
        ggw_payload_put_string(&w, d->group->team);
        ggw_payload_put_string(&w, d->group->service);
        ggw_payload_put_string(&w, d->name);
        ggw_slots_send_frame(p, a->owner, GGW_PEER_SLOT_CANCEL, a->id, &w);
    }
    else if (d->ledger != NULL &&
             !ggw_slots_cancel_probing_request(d, p->self, a->id)) {
        ggw_ledger_cancel(d->ledger, p->self, a->id, ggw_slots_now(p));
        ggw_slots_flush_ledger(p, d);
    }
    acquire_destroy(a);
}

/* Owners use the route only during a roll-out. */
static const char *
route_to_send(const struct ggw_slots_acquire *a)
{
    const char *route = a->pending->request->route;

    return route != NULL &&
                   ggw_slots_rollout_counts_routes(a->pending->group->rollout)
               ? route
               : "";
}

static void
send_acquire(struct ggw_slots *p, const struct ggw_slots_acquire *a)
{
    const struct ggw_slot_request *r = a->pending->request;
    uint32_t avoid = r->avoid != NULL ? g_strv_length(r->avoid) : 0;
    struct ggw_payload_writer w;

    ggw_payload_begin(&w, 15);
    ggw_payload_put_string(&w, r->team);
    ggw_payload_put_string(&w, r->service);
    ggw_payload_put_string(&w, a->domain->name);
    ggw_payload_put_uint(&w, (uint64_t)MAX(r->priority, 0));
    ggw_payload_put_double(&w, r->deadline - ggw_slots_now(p));
    ggw_payload_put_bool(&w, a->pending->home == a);
    ggw_payload_put_array(&w, avoid);
    for (uint32_t i = 0; i < avoid; i++) {
        ggw_payload_put_string(&w, r->avoid[i]);
    }
    ggw_payload_put_double(&w, r->cross_domain_cost);
    ggw_payload_put_double(&w, r->target > 0 ? r->target - ggw_slots_now(p)
                                             : NO_TARGET);
    ggw_payload_put_double(&w, r->median_latency);
    ggw_payload_put_double(&w, answer_time(p, a));
    ggw_payload_put_string(&w, r->customer != NULL ? r->customer : "");
    ggw_payload_put_string(&w, route_to_send(a));
    ggw_payload_put_bool(&w, r->hedge);
    ggw_payload_put_bool(&w, r->once);
    ggw_slots_send_frame(p, a->owner, GGW_PEER_SLOT_ACQUIRE, a->id, &w);
}

void
ggw_slots_acquire_send(struct ggw_slots *p, const struct ggw_slots_acquire *a)
{
    struct ggw_slots_domain *d = a->domain;
    const struct ggw_slot_request *r = a->pending->request;
    struct ggw_ledger_request request = {
        .holder = p->self,
        .id = a->id,
        .priority = r->priority,
        .deadline = r->deadline,
        .avoid = r->avoid,
        .may_queue = a->pending->home == a,
        .failure_domain = p->domain,
        .cross_domain_cost = r->cross_domain_cost,
        .target = r->target,
        .median_latency = r->median_latency,
        .customer = r->customer,
        .customer_rate = ggw_slots_customer_rate(d, r->customer),
        .route = r->route,
        .hedge = r->hedge,
        .once = r->once,
    };

    if (d->ledger == NULL) {
        send_acquire(p, a);
        return;
    }
    ggw_slots_owner_acquire(p, d, &request, INFINITY);
    ggw_slots_flush_ledger(p, d);
}

void
ggw_slots_acquire_set_queued(struct ggw_slots *p, struct ggw_slots_acquire *a)
{
    a->queued = true;
    a->resent = false;
    a->due = ggw_slots_now(p) + resend_interval(a);
}

void
ggw_slots_acquire_resend(struct ggw_slots *p, struct ggw_slots_acquire *a)
{
    if (strcmp(a->owner, p->self) == 0) {
        a->due = ggw_slots_now(p) + resend_interval(a);
        return;
    }
    a->resent = true;
    a->sent_at = ggw_slots_now(p);
    a->pause_allowance = PAUSE_ALLOWANCE_FACTOR * answer_time(p, a);
    a->due = a->sent_at + answer_time(p, a);
    send_acquire(p, a);
}

void
ggw_slots_acquire_extend(struct ggw_slots *p, struct ggw_slots_acquire *a,
                         ggw_ms pause)
{
    bool awaits_answer = !a->queued || a->resent;
    ggw_ms due =
        MAX(a->due, ggw_slots_now(p) + MIN(pause, a->pause_allowance));

    if (awaits_answer && due > a->due) {
        a->pause_allowance -= MIN(a->pause_allowance, due - a->due);
        a->due = due;
    }
}

GArray *
ggw_slots_acquire_ids(struct ggw_slots *p, const char *owner,
                      const struct ggw_slots_domain *d)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->acquires);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ggw_slots_acquire *a = value;

        if (g_strcmp0(a->owner, owner) == 0 && (d == NULL || a->domain == d)) {
            g_array_append_val(ids, a->id);
        }
    }
    return ids;
}
