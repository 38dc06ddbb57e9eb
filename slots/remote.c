#include <math.h>
#include <string.h>

#include "common/metrics.h"
#include "slots/events.h"
#include "slots/internal.h"

/*
 * Slot requests of "proxy". A request goes to the owner of its home domain,
 * spills to another domain with free slots, waits in this gateway, or gets a
 * fallback grant when the owner does not answer.
 */

/* Time in ms after which a client may retry a refused request. */
#define RETRY_AFTER 100.0

/* Time in ms in which an announced number of free slots is halved. */
#define FREE_SLOTS_HALF_LIFE 400.0

static void place_pending(struct ggw_slots *p, struct ggw_slots_pending *pd);
static void queue_locally(struct ggw_slots *p, struct ggw_slots_pending *pd);

static gint
compare_due(gconstpointer a, gconstpointer b, gpointer data)
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
    due = pd->queued_locally ? MIN(due, pd->retry_at) : due;
    if (due != pd->due) {
        pd->due = due;
        g_sequence_sort_changed(pd->iter, compare_due, NULL);
        ggw_slots_schedule_wake(p, due);
    }
}

static void
pending_free(struct ggw_slots *p, struct ggw_slots_pending *pd)
{
    p->local_queue_len -= pd->queued_locally;
    g_sequence_remove(pd->iter);
    if (pd->home != NULL) {
        ggw_slots_acquire_free(p, pd->home);
    }
    if (pd->spill != NULL) {
        ggw_slots_acquire_free(p, pd->spill);
    }
    pd->request->base.ops->destroy(&pd->request->base);
    g_free(pd);
}

/*
 * Cancels the acquire requests of a request. Both are detached first: if this
 * gateway is the owner, the cancellation grants the freed slot to another
 * request at once, and answers that this causes must not reach a request that
 * has ended.
 */
static void
cancel_acquires(struct ggw_slots *p, struct ggw_slots_pending *pd)
{
    struct ggw_slots_acquire *const acquires[] = {pd->home, pd->spill};

    for (size_t i = 0; i < G_N_ELEMENTS(acquires); i++) {
        if (acquires[i] != NULL) {
            ggw_slots_acquire_detach(p, acquires[i]);
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(acquires); i++) {
        if (acquires[i] != NULL) {
            ggw_slots_acquire_cancel(p, acquires[i]);
        }
    }
}

static void
refuse(struct ggw_slots *p, struct ggw_slots_pending *pd,
       enum ggw_slot_refusal reason, ggw_ms retry_after)
{
    cancel_acquires(p, pd);
    ggw_kernel_reply(&p->base, &pd->request->base,
                     ggw_slot_refuse_new(reason, retry_after));
    pending_free(p, pd);
}

/* No server of the service takes requests, perhaps until a pause ends. */
static void
refuse_without_server(struct ggw_slots *p, struct ggw_slots_pending *pd)
{
    refuse(p, pd, GGW_SLOT_NO_SERVER,
           MAX(RETRY_AFTER, ggw_slots_time_to_end_of_pause(p, pd->group)));
}

static void
grant(struct ggw_slots *p, struct ggw_slots_pending *pd, uint64_t id,
      struct ggw_slots_server *s, const char *owner)
{
    int share =
        MAX(pd->group->rule->connections / MAX(p->known_gateways, 1), 1);

    cancel_acquires(p, pd);
    ggw_slots_add_held_grant(p, id, pd, s, owner);
    ggw_kernel_reply(&p->base, &pd->request->base,
                     ggw_slot_grant_new(id, s->name, s->failure_domain,
                                        s->host, s->port, share));
    pending_free(p, pd);
}

/* Asks the owner of a domain. Its answer may free @pd during the call. */
static void
acquire_from(struct ggw_slots *p, struct ggw_slots_pending *pd,
             struct ggw_slots_domain *d, bool home)
{
    struct ggw_slots_acquire *a = ggw_slots_acquire_new(p, pd, d, home);

    reschedule(p, pd);
    ggw_slots_acquire_send(p, a);
}

static double
estimate_free_slots(struct ggw_slots *p, const struct ggw_slots_domain *d)
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
    peer = ggw_slots_get_peer(p, d->owner);
    if (peer->silent) {
        return 0;
    }
    /*
     * An owner announces only changes, so its number stays current as long as
     * the owner is heard.
     */
    age = now - MAX(d->free_slots_at, peer->heard_at);
    return round(d->free_slots * pow(0.5, age / FREE_SLOTS_HALF_LIFE));
}

/*
 * Spills a request to the other domain with the most free slots. Slots become
 * free many times between two announcements, so the announced number does not
 * limit the spilled requests: the owner does not queue them, and its first
 * refusal ends the spill to it until the next tick.
 */
static bool
try_spill(struct ggw_slots *p, struct ggw_slots_pending *pd)
{
    struct ggw_slots_domain *home = ggw_slots_home_domain(p, pd->group);
    struct ggw_slots_domain *best = NULL;
    double best_remaining = -INFINITY;

    for (guint i = 0; i < pd->group->domains->len; i++) {
        struct ggw_slots_domain *d = g_ptr_array_index(pd->group->domains, i);
        double n = d != home ? estimate_free_slots(p, d) : 0;

        if (n > 0 && !d->exhausted &&
            n - d->spills_this_tick > best_remaining &&
            ggw_slots_domain_has_open_server(d)) {
            best = d;
            best_remaining = n - d->spills_this_tick;
        }
    }
    if (best == NULL || pd->spill != NULL) {
        return false;
    }
    best->spills_this_tick++;
    ggw_count("ggw_slots_spills_total");
    acquire_from(p, pd, best, false);
    return true;
}

static void
queue_locally(struct ggw_slots *p, struct ggw_slots_pending *pd)
{
    if (pd->request->hedge) {
        refuse(p, pd, GGW_SLOT_HEDGE_BUSY, RETRY_AFTER);
        return;
    }
    if (!pd->queued_locally && p->local_queue_len >= pd->group->rule->queue) {
        refuse(p, pd, GGW_SLOT_QUEUE_FULL, RETRY_AFTER);
        return;
    }
    p->local_queue_len += !pd->queued_locally;
    pd->queued_locally = true;
    pd->retry_at = ggw_slots_now(p) + GGW_SLOTS_LOCAL_RETRY_INTERVAL;
    reschedule(p, pd);
}

static void
grant_fallback(struct ggw_slots *p, struct ggw_slots_pending *pd)
{
    /* Nobody counts the slot time of a hedge that no owner has granted. */
    struct ggw_slots_server *s =
        pd->request->hedge ? NULL : ggw_slots_pick_fallback(p, pd);

    if (s != NULL) {
        struct ggw_slots_domain *home = ggw_slots_home_domain(p, pd->group);

        ggw_count("ggw_slots_fallback_grants_total");
        ggw_slots_log_fallback(pd, s->name, home != NULL ? home->owner : NULL);
        grant(p, pd, ++p->next_id, s, NULL);
    }
    else if (!try_spill(p, pd)) {
        queue_locally(p, pd);
    }
}

static bool
has_open_server(const struct ggw_slots_group *g)
{
    for (guint i = 0; i < g->servers->len; i++) {
        if (ggw_slots_server_is_open(g_ptr_array_index(g->servers, i))) {
            return true;
        }
    }
    return false;
}

static void
place_pending(struct ggw_slots *p, struct ggw_slots_pending *pd)
{
    struct ggw_slots_domain *home = ggw_slots_home_domain(p, pd->group);

    p->local_queue_len -= pd->queued_locally;
    pd->queued_locally = false;
    if (ggw_slots_now(p) >= pd->request->deadline) {
        refuse(p, pd, GGW_SLOT_TOO_LATE, RETRY_AFTER);
    }
    else if (pd->group->rule == NULL || !has_open_server(pd->group)) {
        refuse_without_server(p, pd);
    }
    else if (home == NULL || !ggw_slots_domain_has_open_server(home)) {
        if (!try_spill(p, pd)) {
            queue_locally(p, pd);
        }
    }
    else if (home->ledger != NULL
                 ? ggw_slots_now(p) < p->grant_limits.stopped_until
                 : home->owner == NULL ||
                       ggw_slots_get_peer(p, home->owner)->silent) {
        grant_fallback(p, pd);
    }
    else {
        acquire_from(p, pd, home, true);
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
    copy->customer = g_strdup(r->customer);
    copy->route = g_strdup(r->route);
    copy->hedge = r->hedge;
    copy->once = r->once;
    copy->base.from = r->base.from;
    copy->base.tag = r->base.tag;
    return copy;
}

void
ggw_slots_request(struct ggw_slots *p, const struct ggw_slot_request *request)
{
    struct ggw_slots_group *g =
        ggw_slots_find_group(p, request->team, request->service);
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
        place_pending(p, pd);
        return;
    }
    s = request->hedge ? NULL : ggw_slots_pick_by_policy(p, g, request);
    if (s != NULL) {
        grant(p, pd, ++p->next_id, s, NULL);
    }
    else {
        refuse_without_server(p, pd);
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
            cancel_acquires(p, pd);
            pending_free(p, pd);
            return;
        }
    }
    g_hash_table_iter_init(&iter, p->held_grants);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ggw_slots_held_grant *h = value;
        struct ggw_slot_release unused = {.grant = h->id,
                                          .result = GGW_ATTEMPT_UNUSED};

        if (h->tag == message->tag && h->from == message->from) {
            ggw_slots_release(p, &unused);
            return;
        }
    }
}

static void
on_refused(struct ggw_slots *p, struct ggw_slots_acquire *a, int reason,
           ggw_ms retry_after)
{
    struct ggw_slots_pending *pd = a->pending;
    bool home = pd->home == a;

    if (home && reason == GGW_SLOTS_NOT_OWNER) {
        /* Once the owner is heard again, it learns of the fallback grants. */
        ggw_slots_get_peer(p, a->owner)->silent = true;
    }
    if (!home) {
        a->domain->exhausted = true;
    }
    ggw_slots_acquire_free(p, a);
    reschedule(p, pd);
    if (home && reason == GGW_SLOTS_NOT_OWNER) {
        grant_fallback(p, pd);
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
        queue_locally(p, pd);
    }
}

static void
on_granted(struct ggw_slots *p, struct ggw_slots_acquire *a,
           const char *server)
{
    struct ggw_slots_pending *pd = a->pending;
    struct ggw_slots_server *s = ggw_slots_find_server(pd->group, server);
    g_autofree char *owner = g_strdup(a->owner);
    uint64_t id = a->id;

    if (s == NULL || !ggw_slots_server_is_open(s)) {
        /* The owner does not know yet that the server is closed or out. */
        ggw_count("ggw_slots_refused_grants_total");
        if (s != NULL && s->backoff != GGW_BACKOFF_NONE) {
            ggw_slots_send_notice(p, s, owner);
        }
        ggw_slots_acquire_detach(p, a);
        reschedule(p, pd);
        if (pd->home == NULL && pd->spill == NULL) {
            queue_locally(p, pd);
        }
        ggw_slots_acquire_cancel(p, a);
        return;
    }
    ggw_slots_acquire_free(p, a);
    grant(p, pd, id, s, owner);
}

void
ggw_slots_on_answer(struct ggw_slots *p, const char *from, uint64_t id,
                    enum ggw_ledger_answer answer, const char *server,
                    int reason, ggw_ms retry_after)
{
    struct ggw_slots_acquire *a = g_hash_table_lookup(p->acquires, &id);

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
        ggw_slots_acquire_set_queued(p, a);
        reschedule(p, a->pending);
        if (a->pending->home == a) {
            try_spill(p, a->pending);
        }
        break;
    }
}

/* Returns a grant for a request that has been answered or cancelled. */
static void
return_late_grant(struct ggw_slots *p, const struct ggw_peer_received *frame,
                  const char *server)
{
    const struct ggw_slots_held_grant *h =
        g_hash_table_lookup(p->held_grants, &frame->request_id);
    GHashTableIter iter;
    gpointer value;

    if (h != NULL) {
        return; /* a repetition of a grant in use */
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
ggw_slots_on_answer_frame(struct ggw_slots *p,
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
        retry_after = ggw_slots_read_time(&r);
    }
    if (!r.ok ||
        (reason > GGW_SLOT_HEDGE_SERVER && reason != GGW_SLOTS_NOT_OWNER)) {
        ggw_count("ggw_slots_frames_malformed_total");
    }
    else {
        ggw_slots_peer_heard(p, frame->peer, -1);
        if (answer == GGW_LEDGER_GRANTED &&
            !g_hash_table_contains(p->acquires, &frame->request_id)) {
            return_late_grant(p, frame, server);
        }
        ggw_slots_on_answer(p, frame->peer, frame->request_id, answer, server,
                            (int)reason, retry_after);
    }
    ggw_payload_close(&r);
}

/*
 * Handles an acquire request without an answer in time. If the owner was heard
 * since the request was sent, only this answer is late, and later requests are
 * sent to the owner as before.
 */
static void
on_no_answer(struct ggw_slots *p, struct ggw_slots_acquire *a)
{
    struct ggw_slots_pending *pd = a->pending;
    struct ggw_slots_peer *owner = ggw_slots_get_peer(p, a->owner);
    bool home = pd->home == a;

    ggw_count("ggw_slots_unanswered_total");
    owner->silent = owner->silent || owner->heard_at <= a->sent_at;
    owner->missed_grants = true;
    ggw_slots_acquire_detach(p, a);
    reschedule(p, pd);
    if (home) {
        grant_fallback(p, pd);
    }
    else if (pd->home == NULL && pd->refused) {
        refuse(p, pd, pd->reason, pd->retry_after);
    }
    else if (pd->home == NULL) {
        queue_locally(p, pd);
    }
    ggw_slots_acquire_cancel(p, a);
}

void
ggw_slots_on_peer_lost(struct ggw_slots *p, const char *peer)
{
    g_autoptr(GArray) ids = ggw_slots_acquire_ids(p, peer, NULL);

    ggw_slots_get_peer(p, peer)->silent = true;
    for (guint i = 0; i < ids->len; i++) {
        struct ggw_slots_acquire *a =
            g_hash_table_lookup(p->acquires, &g_array_index(ids, uint64_t, i));

        if (a != NULL) {
            on_no_answer(p, a);
        }
    }
}

void
ggw_slots_owner_changed(struct ggw_slots *p, struct ggw_slots_domain *d,
                        const char *old_owner)
{
    g_autoptr(GArray) ids = ggw_slots_acquire_ids(p, old_owner, d);

    for (guint i = 0; i < ids->len; i++) {
        struct ggw_slots_acquire *a =
            g_hash_table_lookup(p->acquires, &g_array_index(ids, uint64_t, i));
        struct ggw_slots_pending *pd = a != NULL ? a->pending : NULL;
        bool home = pd != NULL && pd->home == a;

        if (pd == NULL) {
            continue;
        }
        ggw_slots_acquire_detach(p, a);
        reschedule(p, pd);
        if (home) {
            place_pending(p, pd);
        }
        else if (pd->home == NULL) {
            queue_locally(p, pd);
        }
        ggw_slots_acquire_cancel(p, a);
    }
}

/* Returns the requests whose service the settings in force do not have. */
static GPtrArray *
find_removed(struct ggw_slots *p)
{
    GPtrArray *removed = g_ptr_array_new();

    for (GSequenceIter *i = g_sequence_get_begin_iter(p->pending);
         !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
        struct ggw_slots_pending *pd = g_sequence_get(i);

        if (pd->group->rule == NULL) {
            g_ptr_array_add(removed, pd);
        }
    }
    return removed;
}

/*
 * All acquire requests are detached before the first one is cancelled: a
 * cancellation at an own ledger grants the slot to the next request in its
 * queue, which may be another one of the removed service.
 */
void
ggw_slots_refuse_removed(struct ggw_slots *p)
{
    g_autoptr(GPtrArray) removed = find_removed(p);
    g_autoptr(GPtrArray) acquires = g_ptr_array_new();

    for (guint i = 0; i < removed->len; i++) {
        struct ggw_slots_pending *pd = g_ptr_array_index(removed, i);
        struct ggw_slots_acquire *const own[] = {pd->home, pd->spill};

        ggw_count("ggw_slots_refused_removed_total");
        ggw_slots_log_removed(pd);
        for (size_t j = 0; j < G_N_ELEMENTS(own); j++) {
            if (own[j] != NULL) {
                ggw_slots_acquire_detach(p, own[j]);
                g_ptr_array_add(acquires, own[j]);
            }
        }
        refuse(p, pd, GGW_SLOT_NO_SERVER, RETRY_AFTER);
    }
    for (guint i = 0; i < acquires->len; i++) {
        ggw_slots_acquire_cancel(p, g_ptr_array_index(acquires, i));
    }
}

static void
on_acquire_due(struct ggw_slots *p, struct ggw_slots_acquire *a)
{
    struct ggw_slots_pending *pd = a->pending;

    if (!a->queued || a->resent) {
        on_no_answer(p, a);
        return;
    }
    ggw_slots_acquire_resend(p, a);
    reschedule(p, pd);
    if (pd->home == a) {
        try_spill(p, pd);
    }
}

void
ggw_slots_on_pause(struct ggw_slots *p, ggw_ms pause)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->acquires);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_slots_acquire *a = value;

        ggw_slots_acquire_extend(p, a, pause);
        reschedule(p, a->pending);
    }
}

void
ggw_slots_run_due(struct ggw_slots *p, ggw_ms now)
{
    GSequenceIter *first = g_sequence_get_begin_iter(p->pending);

    while (!g_sequence_iter_is_end(first)) {
        struct ggw_slots_pending *pd = g_sequence_get(first);

        if (pd->due > now) {
            ggw_slots_schedule_wake(p, pd->due);
            return;
        }
        if (now >= pd->request->deadline) {
            refuse(p, pd, GGW_SLOT_TOO_LATE, RETRY_AFTER);
        }
        else if (pd->home != NULL && now >= pd->home->due) {
            on_acquire_due(p, pd->home);
        }
        else if (pd->spill != NULL && now >= pd->spill->due) {
            on_acquire_due(p, pd->spill);
        }
        else {
            place_pending(p, pd);
        }
        first = g_sequence_get_begin_iter(p->pending);
    }
}

void
ggw_slots_drop_pending(struct ggw_slots *p)
{
    GSequenceIter *first = g_sequence_get_begin_iter(p->pending);

    while (!g_sequence_iter_is_end(first)) {
        pending_free(p, g_sequence_get(first));
        first = g_sequence_get_begin_iter(p->pending);
    }
}
