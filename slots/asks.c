#include <math.h>
#include <string.h>

#include "slots/internal.h"

/* Questions of this gateway to the owners of slots. */

/*
 * Time that an owner has at least to answer, ms. One that may be far away, or
 * that asks servers for their load before it answers, has longer.
 */
#define ANSWER_MIN 5.0
#define ANSWER_MIN_LONG 40.0

/* Pauses of this gateway add at most this many times that time. */
#define GRACE_TIMES 3

/* A queued request asks again this often whether its owner still runs. */
#define ASK_AGAIN 50.0
#define ASK_AGAIN_WHOLE 250.0

/* In a SLOT_ACQUIRE, for a request without a target. */
#define NO_TARGET 1e9

static ggw_ms
answer_time(struct ggw_slots *p, const struct ggw_slots_ask *a)
{
    const struct ggw_service_rule *rule = a->domain->group->rule;
    bool scouts = rule != NULL && rule->probe_rate > 0;
    bool whole = strcmp(a->domain->name, GGW_SLOTS_ALL) == 0;

    if (strcmp(a->owner, p->self) == 0) {
        return INFINITY;
    }
    return MAX(3 * ggw_slots_peer(p, a->owner)->rtt,
               scouts || whole ? ANSWER_MIN_LONG : ANSWER_MIN);
}

static ggw_ms
ask_again(const struct ggw_slots_ask *a)
{
    return strcmp(a->domain->name, GGW_SLOTS_ALL) == 0 ? ASK_AGAIN_WHOLE
                                                       : ASK_AGAIN;
}

struct ggw_slots_ask *
ggw_slots_ask_new(struct ggw_slots *p, struct ggw_slots_pending *pd,
                  struct ggw_slots_domain *d, bool home)
{
    struct ggw_slots_ask *a = g_new0(struct ggw_slots_ask, 1);

    a->id = ++p->next_id;
    a->pending = pd;
    a->domain = d;
    a->owner = g_strdup(d->owner);
    a->sent_at = ggw_slots_now(p);
    a->grace = GRACE_TIMES * answer_time(p, a);
    a->due = a->sent_at + answer_time(p, a);
    g_assert(*(home ? &pd->home : &pd->spill) == NULL);
    *(home ? &pd->home : &pd->spill) = a;
    g_hash_table_insert(p->asks, &a->id, a);
    return a;
}

static void
ask_destroy(struct ggw_slots_ask *a)
{
    g_free(a->owner);
    g_free(a);
}

void
ggw_slots_ask_detach(struct ggw_slots *p, struct ggw_slots_ask *a)
{
    if (a->pending->home == a) {
        a->pending->home = NULL;
    }
    if (a->pending->spill == a) {
        a->pending->spill = NULL;
    }
    a->pending = NULL;
    g_hash_table_remove(p->asks, &a->id);
}

void
ggw_slots_ask_free(struct ggw_slots *p, struct ggw_slots_ask *a)
{
    ggw_slots_ask_detach(p, a);
    ask_destroy(a);
}

void
ggw_slots_ask_cancel(struct ggw_slots *p, struct ggw_slots_ask *a)
{
    struct ggw_slots_domain *d = a->domain;
    struct ggw_payload_writer w;

    g_assert(a->pending == NULL);
    if (strcmp(a->owner, p->self) != 0) {
        ggw_payload_begin(&w, 3);
        ggw_payload_put_string(&w, d->group->team);
        ggw_payload_put_string(&w, d->group->service);
        ggw_payload_put_string(&w, d->name);
        ggw_slots_to_peer(p, a->owner, GGW_PEER_SLOT_CANCEL, a->id, &w);
    }
    else if (d->ledger != NULL && !ggw_slots_scout_cancel(d, p->self, a->id)) {
        ggw_ledger_cancel(d->ledger, p->self, a->id, ggw_slots_now(p));
        ggw_slots_drain(p, d);
    }
    ask_destroy(a);
}

static void
send_acquire(struct ggw_slots *p, const struct ggw_slots_ask *a)
{
    const struct ggw_slot_request *r = a->pending->request;
    uint32_t avoid = r->avoid != NULL ? g_strv_length(r->avoid) : 0;
    struct ggw_payload_writer w;

    ggw_payload_begin(&w, 10);
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
    ggw_slots_to_peer(p, a->owner, GGW_PEER_SLOT_ACQUIRE, a->id, &w);
}

void
ggw_slots_ask_send(struct ggw_slots *p, const struct ggw_slots_ask *a)
{
    struct ggw_slots_domain *d = a->domain;
    const struct ggw_slot_request *r = a->pending->request;
    struct ggw_ledger_request question = {
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
    };

    if (d->ledger == NULL) {
        send_acquire(p, a);
        return;
    }
    ggw_slots_owner_ask(p, d, &question);
    ggw_slots_drain(p, d);
}

void
ggw_slots_ask_queued(struct ggw_slots *p, struct ggw_slots_ask *a)
{
    a->queued = true;
    a->asked_again = false;
    a->due = ggw_slots_now(p) + ask_again(a);
}

void
ggw_slots_ask_repeat(struct ggw_slots *p, struct ggw_slots_ask *a)
{
    if (strcmp(a->owner, p->self) == 0) {
        a->due = ggw_slots_now(p) + ask_again(a);
        return;
    }
    a->asked_again = true;
    a->sent_at = ggw_slots_now(p);
    a->grace = GRACE_TIMES * answer_time(p, a);
    a->due = a->sent_at + answer_time(p, a);
    send_acquire(p, a);
}

void
ggw_slots_ask_paused(struct ggw_slots *p, struct ggw_slots_ask *a,
                     ggw_ms pause)
{
    bool awaits_answer = !a->queued || a->asked_again;
    ggw_ms due = MAX(a->due, ggw_slots_now(p) + MIN(pause, a->grace));

    if (awaits_answer && due > a->due) {
        a->grace -= MIN(a->grace, due - a->due);
        a->due = due;
    }
}

GArray *
ggw_slots_ask_ids(struct ggw_slots *p, const char *owner,
                  const struct ggw_slots_domain *d)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->asks);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ggw_slots_ask *a = value;

        if (g_strcmp0(a->owner, owner) == 0 && (d == NULL || a->domain == d)) {
            g_array_append_val(ids, a->id);
        }
    }
    return ids;
}
