#include <math.h>
#include <string.h>

#include "common/metrics.h"
#include "slots/events.h"
#include "slots/internal.h"

/* Requests of "proxy": from whom they get a slot, and waiting here. */

#define RETRY_AFTER 100.0

/* An announced number of free slots loses half of its weight in this time. */
#define FREE_HALF_LIFE 400.0

static void start(struct ggw_slots *p, struct ggw_slots_pending *pd);
static void go_local(struct ggw_slots *p, struct ggw_slots_pending *pd);

static gint
by_due(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct ggw_slots_pending *x = a;
    const struct ggw_slots_pending *y = b;

    return (x->due > y->due) - (x->due < y->due);
}

static void
reschedule(struct ggw_slots *p, struct ggw_slots_pending *pd)
{
    ggw_ms due = pd->request->deadline;

    due = pd->home != NULL ? MIN(due, pd->home->due) : due;
    due = pd->spill != NULL ? MIN(due, pd->spill->due) : due;
    due = pd->local ? MIN(due, pd->retry_at) : due;
    if (due != pd->due) {
        pd->due = due;
        g_sequence_sort_changed(pd->iter, by_due, NULL);
        ggw_slots_wake(p, due);
    }
}

static void
pending_free(struct ggw_slots *p, struct ggw_slots_pending *pd)
{
    p->local_len -= pd->local;
    g_sequence_remove(pd->iter);
    if (pd->home != NULL) {
        ggw_slots_ask_free(p, pd->home);
    }
    if (pd->spill != NULL) {
        ggw_slots_ask_free(p, pd->spill);
    }
    pd->request->base.ops->destroy(&pd->request->base);
    g_free(pd);
}

/*
 * Takes the questions of a request back. Both are detached first: an owner
 * in this process hands a slot that becomes free to another request at once,
 * and answers that this causes must not reach a request that ends.
 */
static void
withdraw_all(struct ggw_slots *p, struct ggw_slots_pending *pd)
{
    struct ggw_slots_ask *const asks[] = {pd->home, pd->spill};

    for (size_t i = 0; i < G_N_ELEMENTS(asks); i++) {
        if (asks[i] != NULL) {
            ggw_slots_ask_detach(p, asks[i]);
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(asks); i++) {
        if (asks[i] != NULL) {
            ggw_slots_ask_cancel(p, asks[i]);
        }
    }
}

static void
refuse(struct ggw_slots *p, struct ggw_slots_pending *pd,
       enum ggw_slot_refusal reason, ggw_ms retry_after)
{
    withdraw_all(p, pd);
    ggw_kernel_reply(&p->base, &pd->request->base,
                     ggw_slot_refuse_new(reason, retry_after));
    pending_free(p, pd);
}

static void
grant(struct ggw_slots *p, struct ggw_slots_pending *pd, uint64_t id,
      struct ggw_slots_server *s, const char *owner)
{
    int share = MAX(pd->group->rule->connections / MAX(p->known, 1), 1);

    withdraw_all(p, pd);
    ggw_slots_hold(p, id, pd, s, owner);
    ggw_kernel_reply(&p->base, &pd->request->base,
                     ggw_slot_grant_new(id, s->name, s->failure_domain,
                                        s->host, s->port, share));
    pending_free(p, pd);
}

/* Asks the owner of a domain; the answer may arrive, and free @pd, at once. */
static void
ask(struct ggw_slots *p, struct ggw_slots_pending *pd,
    struct ggw_slots_domain *d, bool home)
{
    struct ggw_slots_ask *a = ggw_slots_ask_new(p, pd, d, home);

    reschedule(p, pd);
    ggw_slots_ask_send(p, a);
}

static double
free_slots(struct ggw_slots *p, const struct ggw_slots_domain *d)
{
    ggw_ms now = ggw_slots_now(p);
    const struct ggw_slots_peer *peer;
    ggw_ms age;

    if (d->ledger != NULL) {
        return ggw_ledger_available_slots(d->ledger, now);
    }
    if (d->owner == NULL) {
        return 0;
    }
    peer = ggw_slots_peer(p, d->owner);
    if (peer->silent) {
        return 0;
    }
    /* No change is announced while nothing changes; it was still heard. */
    age = now - MAX(d->free_at, peer->heard_at);
    return round(d->free * pow(0.5, age / FREE_HALF_LIFE));
}

/*
 * Asks another failure domain that announced free slots. Slots become free
 * many times between two announcements, so their number is no limit here: the
 * owner queues no spilled request, and its first refusal ends the spill until
 * the next tick.
 */
static bool
try_spill(struct ggw_slots *p, struct ggw_slots_pending *pd)
{
    struct ggw_slots_domain *home = ggw_slots_home(p, pd->group);
    struct ggw_slots_domain *best = NULL;
    double best_left = -INFINITY;

    for (guint i = 0; i < pd->group->domains->len; i++) {
        struct ggw_slots_domain *d = g_ptr_array_index(pd->group->domains, i);
        double n = d != home ? free_slots(p, d) : 0;

        if (n > 0 && !d->exhausted && n - d->spent > best_left &&
            ggw_slots_domain_open(d)) {
            best = d;
            best_left = n - d->spent;
        }
    }
    if (best == NULL || pd->spill != NULL) {
        return false;
    }
    best->spent++;
    ggw_count("ggw_slots_spills_total");
    ask(p, pd, best, false);
    return true;
}

static void
go_local(struct ggw_slots *p, struct ggw_slots_pending *pd)
{
    if (!pd->local && p->local_len >= pd->group->rule->queue) {
        refuse(p, pd, GGW_SLOT_QUEUE_FULL, RETRY_AFTER);
        return;
    }
    p->local_len += !pd->local;
    pd->local = true;
    pd->retry_at = ggw_slots_now(p) + GGW_SLOTS_RETRY;
    reschedule(p, pd);
}

static void
fall_back(struct ggw_slots *p, struct ggw_slots_pending *pd)
{
    struct ggw_slots_server *s = ggw_slots_fallback(p, pd);

    if (s != NULL) {
        struct ggw_slots_domain *home = ggw_slots_home(p, pd->group);

        ggw_count("ggw_slots_fallback_grants_total");
        ggw_slots_log_fallback(pd, s->name, home != NULL ? home->owner : NULL);
        grant(p, pd, ++p->next_id, s, NULL);
    }
    else if (!try_spill(p, pd)) {
        go_local(p, pd);
    }
}

static bool
any_open(const struct ggw_slots_group *g)
{
    for (guint i = 0; i < g->servers->len; i++) {
        if (ggw_slots_server_open(g_ptr_array_index(g->servers, i))) {
            return true;
        }
    }
    return false;
}

static void
start(struct ggw_slots *p, struct ggw_slots_pending *pd)
{
    struct ggw_slots_domain *home = ggw_slots_home(p, pd->group);

    p->local_len -= pd->local;
    pd->local = false;
    if (ggw_slots_now(p) >= pd->request->deadline) {
        refuse(p, pd, GGW_SLOT_TOO_LATE, RETRY_AFTER);
    }
    else if (pd->group->rule == NULL || !any_open(pd->group)) {
        refuse(p, pd, GGW_SLOT_NO_SERVER, RETRY_AFTER);
    }
    else if (home == NULL || !ggw_slots_domain_open(home)) {
        if (!try_spill(p, pd)) {
            go_local(p, pd);
        }
    }
    else if (home->ledger != NULL
                 ? ggw_slots_now(p) < p->gate.stopped_until
                 : home->owner == NULL ||
                       ggw_slots_peer(p, home->owner)->silent) {
        fall_back(p, pd);
    }
    else {
        ask(p, pd, home, true);
    }
}

static struct ggw_slot_request *
copy_request(const struct ggw_slot_request *r)
{
    struct ggw_slot_request *copy =
        (struct ggw_slot_request *)ggw_slot_request_new(
            r->team, r->service, r->priority, r->deadline, r->avoid);

    copy->cross_domain_cost = r->cross_domain_cost;
    copy->target = r->target;
    copy->median_latency = r->median_latency;
    copy->base.from = r->base.from;
    copy->base.tag = r->base.tag;
    return copy;
}

void
ggw_slots_request(struct ggw_slots *p, const struct ggw_slot_request *request)
{
    struct ggw_slots_group *g =
        ggw_slots_group(p, request->team, request->service);
    struct ggw_slots_pending *pd;
    struct ggw_slots_server *s;

    if (g == NULL || g->rule == NULL) {
        ggw_kernel_reply(&p->base, &request->base,
                         ggw_slot_refuse_new(GGW_SLOT_NO_SERVER, RETRY_AFTER));
        return;
    }
    pd = g_new0(struct ggw_slots_pending, 1);
    pd->request = copy_request(request);
    pd->group = g;
    pd->due = INFINITY;
    pd->iter = g_sequence_append(p->pending, pd);
    reschedule(p, pd);
    if (g->policy.ops == NULL || g->policy.ops->needs_owner) {
        start(p, pd);
        return;
    }
    s = ggw_slots_baseline(p, g, request);
    if (s != NULL) {
        grant(p, pd, ++p->next_id, s, NULL);
    }
    else {
        refuse(p, pd, GGW_SLOT_NO_SERVER, RETRY_AFTER);
    }
}

void
ggw_slots_cancel(struct ggw_slots *p, const struct ggw_message *message)
{
    GHashTableIter iter;
    gpointer value;

    for (GSequenceIter *i = g_sequence_get_begin_iter(p->pending);
         !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
        struct ggw_slots_pending *pd = g_sequence_get(i);

        if (pd->request->base.tag == message->tag &&
            pd->request->base.from == message->from) {
            withdraw_all(p, pd);
            pending_free(p, pd);
            return;
        }
    }
    g_hash_table_iter_init(&iter, p->held);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ggw_slots_held *h = value;
        struct ggw_slot_release unused = {.grant = h->id,
                                          .result = GGW_ATTEMPT_UNUSED};

        if (h->tag == message->tag && h->from == message->from) {
            ggw_slots_release(p, &unused);
            return;
        }
    }
}

static void
on_refused(struct ggw_slots *p, struct ggw_slots_ask *a, int reason,
           ggw_ms retry_after)
{
    struct ggw_slots_pending *pd = a->pending;
    bool home = pd->home == a;

    if (home && reason == GGW_SLOTS_NOT_OWNER) {
        /* Heard again, it learns of the grants that are made without it. */
        ggw_slots_peer(p, a->owner)->silent = true;
    }
    if (!home) {
        a->domain->exhausted = true;
    }
    ggw_slots_ask_free(p, a);
    reschedule(p, pd);
    if (home && reason == GGW_SLOTS_NOT_OWNER) {
        fall_back(p, pd);
        return;
    }
    if (home) {
        pd->refused = true;
        pd->reason = (enum ggw_slot_refusal)reason;
        pd->retry_after = retry_after;
        if (pd->spill == NULL && !try_spill(p, pd)) {
            refuse(p, pd, pd->reason, retry_after);
        }
        return;
    }
    if (pd->home != NULL) {
        return;
    }
    if (pd->refused) {
        refuse(p, pd, pd->reason, pd->retry_after);
    }
    else {
        go_local(p, pd);
    }
}

static void
on_granted(struct ggw_slots *p, struct ggw_slots_ask *a, const char *server)
{
    struct ggw_slots_pending *pd = a->pending;
    struct ggw_slots_server *s = ggw_slots_find_server(pd->group, server);
    g_autofree char *owner = g_strdup(a->owner);
    uint64_t id = a->id;

    if (s == NULL || !ggw_slots_server_open(s)) {
        /* This gateway knows already that it takes no new work. */
        ggw_count("ggw_slots_refused_grants_total");
        ggw_slots_ask_detach(p, a);
        reschedule(p, pd);
        if (pd->home == NULL && pd->spill == NULL) {
            go_local(p, pd);
        }
        ggw_slots_ask_cancel(p, a);
        return;
    }
    ggw_slots_ask_free(p, a);
    grant(p, pd, id, s, owner);
}

void
ggw_slots_answer(struct ggw_slots *p, const char *from, uint64_t id,
                 enum ggw_ledger_answer answer, const char *server, int reason,
                 ggw_ms retry_after)
{
    struct ggw_slots_ask *a = g_hash_table_lookup(p->asks, &id);

    if (a == NULL || strcmp(a->owner, from) != 0) {
        return;
    }
    switch (answer) {
    case GGW_LEDGER_GRANTED:
        on_granted(p, a, server);
        break;
    case GGW_LEDGER_REFUSED:
        on_refused(p, a, reason, retry_after);
        break;
    case GGW_LEDGER_QUEUED:
        ggw_slots_ask_queued(p, a);
        reschedule(p, a->pending);
        if (a->pending->home == a) {
            try_spill(p, a->pending);
        }
        break;
    }
}

/* A grant for a request that has been answered or cancelled. */
static void
give_back(struct ggw_slots *p, const struct ggw_peer_received *frame,
          const char *server)
{
    const struct ggw_slots_held *h =
        g_hash_table_lookup(p->held, &frame->request_id);
    GHashTableIter iter;
    gpointer value;

    if (h != NULL) {
        return; /* the same grant again */
    }
    ggw_count("ggw_slots_late_grants_total");
    g_hash_table_iter_init(&iter, p->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_slots_server *s = ggw_slots_find_server(value, server);

        if (s != NULL) {
            ggw_slots_release_unused(p, frame->peer, frame->request_id,
                                     s->domain, server);
        }
    }
}

void
ggw_slots_answer_frame(struct ggw_slots *p,
                       const struct ggw_peer_received *frame)
{
    gsize len;
    gconstpointer data = g_bytes_get_data(frame->payload, &len);
    enum ggw_ledger_answer answer = GGW_LEDGER_QUEUED;
    struct ggw_payload_reader r;
    const char *server = NULL;
    uint64_t reason = 0;
    ggw_ms retry_after = 0;

    ggw_payload_open(&r, data, len);
    if (frame->type == GGW_PEER_SLOT_GRANT) {
        answer = GGW_LEDGER_GRANTED;
        server = ggw_payload_string(&r);
    }
    else if (frame->type == GGW_PEER_SLOT_REFUSE) {
        answer = GGW_LEDGER_REFUSED;
        reason = ggw_payload_uint(&r);
        retry_after = ggw_payload_double(&r);
    }
    if (!r.ok ||
        (reason > GGW_SLOT_DISPLACED && reason != GGW_SLOTS_NOT_OWNER)) {
        ggw_count("ggw_slots_frames_malformed_total");
    }
    else {
        ggw_slots_peer_heard(p, frame->peer, -1);
        if (answer == GGW_LEDGER_GRANTED &&
            !g_hash_table_contains(p->asks, &frame->request_id)) {
            give_back(p, frame, server);
        }
        ggw_slots_answer(p, frame->peer, frame->request_id, answer, server,
                         (int)reason, retry_after);
    }
    ggw_payload_close(&r);
}

/*
 * An owner that was heard since it was asked is only late with this answer, so
 * that the next requests ask it again.
 */
static void
no_answer(struct ggw_slots *p, struct ggw_slots_ask *a)
{
    struct ggw_slots_pending *pd = a->pending;
    struct ggw_slots_peer *owner = ggw_slots_peer(p, a->owner);
    bool home = pd->home == a;

    owner->silent = owner->silent || owner->heard_at <= a->sent_at;
    owner->uncounted = true;
    ggw_slots_ask_detach(p, a);
    reschedule(p, pd);
    if (home) {
        fall_back(p, pd);
    }
    else if (pd->home == NULL && pd->refused) {
        refuse(p, pd, pd->reason, pd->retry_after);
    }
    else if (pd->home == NULL) {
        go_local(p, pd);
    }
    ggw_slots_ask_cancel(p, a);
}

void
ggw_slots_peer_silent(struct ggw_slots *p, const char *peer)
{
    g_autoptr(GArray) ids = ggw_slots_ask_ids(p, peer, NULL);

    ggw_slots_peer(p, peer)->silent = true;
    for (guint i = 0; i < ids->len; i++) {
        struct ggw_slots_ask *a =
            g_hash_table_lookup(p->asks, &g_array_index(ids, uint64_t, i));

        if (a != NULL) {
            no_answer(p, a);
        }
    }
}

void
ggw_slots_owner_changed(struct ggw_slots *p, struct ggw_slots_domain *d,
                        const char *old_owner)
{
    g_autoptr(GArray) ids = ggw_slots_ask_ids(p, old_owner, d);

    for (guint i = 0; i < ids->len; i++) {
        struct ggw_slots_ask *a =
            g_hash_table_lookup(p->asks, &g_array_index(ids, uint64_t, i));
        struct ggw_slots_pending *pd = a != NULL ? a->pending : NULL;
        bool home = pd != NULL && pd->home == a;

        if (pd == NULL) {
            continue;
        }
        ggw_slots_ask_detach(p, a);
        reschedule(p, pd);
        if (home) {
            start(p, pd);
        }
        else if (pd->home == NULL) {
            go_local(p, pd);
        }
        ggw_slots_ask_cancel(p, a);
    }
}

static void
ask_due(struct ggw_slots *p, struct ggw_slots_ask *a)
{
    struct ggw_slots_pending *pd = a->pending;

    if (!a->queued || a->asked_again) {
        no_answer(p, a);
        return;
    }
    ggw_slots_ask_repeat(p, a);
    reschedule(p, pd);
    if (pd->home == a) {
        try_spill(p, pd);
    }
}

void
ggw_slots_paused(struct ggw_slots *p, ggw_ms pause)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->asks);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_slots_ask *a = value;

        ggw_slots_ask_paused(p, a, pause);
        reschedule(p, a->pending);
    }
}

void
ggw_slots_due(struct ggw_slots *p, ggw_ms now)
{
    GSequenceIter *first = g_sequence_get_begin_iter(p->pending);

    while (!g_sequence_iter_is_end(first)) {
        struct ggw_slots_pending *pd = g_sequence_get(first);

        if (pd->due > now) {
            ggw_slots_wake(p, pd->due);
            return;
        }
        if (now >= pd->request->deadline) {
            refuse(p, pd, GGW_SLOT_TOO_LATE, RETRY_AFTER);
        }
        else if (pd->home != NULL && now >= pd->home->due) {
            ask_due(p, pd->home);
        }
        else if (pd->spill != NULL && now >= pd->spill->due) {
            ask_due(p, pd->spill);
        }
        else {
            start(p, pd);
        }
        first = g_sequence_get_begin_iter(p->pending);
    }
}

void
ggw_slots_drop_all(struct ggw_slots *p)
{
    GSequenceIter *first = g_sequence_get_begin_iter(p->pending);

    while (!g_sequence_iter_is_end(first)) {
        pending_free(p, g_sequence_get(first));
        first = g_sequence_get_begin_iter(p->pending);
    }
}
