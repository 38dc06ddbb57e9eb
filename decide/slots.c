#include <math.h>
#include <string.h>

#include "decide/ledger.h"

static guint
key_hash(gconstpointer p)
{
    const struct ggw_ledger_key *k = p;

    return g_str_hash(k->holder) ^ (guint)k->id ^ (guint)(k->id >> 32);
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
    const struct ggw_ledger_key *x = a;
    const struct ggw_ledger_key *y = b;

    return x->id == y->id && strcmp(x->holder, y->holder) == 0;
}

static void
server_free(gpointer data)
{
    struct ggw_ledger_server_entry *s = data;

    g_free(s->name);
    g_free(s->failure_domain);
    g_free(s->version);
    g_free(s);
}

static void
waiter_free(gpointer data)
{
    struct ggw_ledger_waiter *w = data;

    g_free(w->key.holder);
    g_strfreev(w->avoid);
    g_free(w->failure_domain);
    g_free(w->customer);
    g_free(w->route);
    g_free(w);
}

static void
grant_free(gpointer data)
{
    struct ggw_ledger_grant *g = data;

    g_free(g->key.holder);
    g_free(g->customer);
    g_free(g->route);
    g_free(g);
}

static void
ended_free(gpointer data)
{
    struct ggw_ledger_key *key = data;

    g_free(key->holder);
    g_free(key);
}

struct ggw_ledger *
ggw_ledger_new(const struct ggw_ledger_grant_limits *grant_limits, GRand *rand,
               ggw_ms now)
{
    struct ggw_ledger *l = g_new0(struct ggw_ledger, 1);

    l->grant_limits = grant_limits;
    l->rand = rand;
    l->servers = g_ptr_array_new_with_free_func(server_free);
    l->grants = g_hash_table_new_full(key_hash, key_equal, NULL, grant_free);
    l->by_expiry = g_sequence_new(NULL);
    l->ended = g_hash_table_new_full(key_hash, key_equal, ended_free, g_free);
    l->waiting = g_hash_table_new_full(key_hash, key_equal, NULL, waiter_free);
    g_queue_init(&l->blocked);
    g_queue_init(&l->decisions);
    l->queue = ggw_admission_new(0);
    ggw_remaining_init(&l->remaining);
    l->candidates = g_array_new(FALSE, TRUE, sizeof(struct ggw_candidate));
    l->policy.ops = ggw_policy_find("slots");
    l->policy.rand = rand;
    l->hold_until = now + GGW_LEDGER_HOLD_DOWN;
    return l;
}

void
ggw_ledger_free(struct ggw_ledger *l)
{
    struct ggw_ledger_decision d;

    if (l == NULL) {
        return;
    }
    while (ggw_ledger_decision(l, &d)) {
        g_free(d.holder);
        g_free(d.server);
    }
    g_queue_clear(&l->blocked);
    ggw_admission_free(l->queue);
    g_hash_table_destroy(l->waiting);
    g_sequence_free(l->by_expiry);
    g_hash_table_destroy(l->ended);
    g_hash_table_destroy(l->grants);
    g_ptr_array_unref(l->servers);
    g_array_unref(l->candidates);
    g_free(l);
}

static void
push_decision(struct ggw_ledger *l, const struct ggw_ledger_key *key,
              enum ggw_ledger_answer answer, const char *server,
              enum ggw_slot_refusal reason, ggw_ms retry_after)
{
    struct ggw_ledger_decision *d = g_new0(struct ggw_ledger_decision, 1);

    d->holder = g_strdup(key->holder);
    d->id = key->id;
    d->answer = answer;
    d->server = g_strdup(server);
    d->reason = reason;
    d->retry_after = retry_after;
    g_queue_push_tail(&l->decisions, d);
}

/*
 * Time until the first server whose pause ends, in ms; 0 if none has asked for
 * a pause.
 */
static ggw_ms
time_to_end_of_pause(const struct ggw_ledger *l, ggw_ms now)
{
    ggw_ms first = INFINITY;

    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_server_entry *s =
            g_ptr_array_index(l->servers, i);

        if (s->paused_until > now) {
            first = MIN(first, s->paused_until);
        }
    }
    return isfinite(first) ? first - now : 0;
}

static void
refuse(struct ggw_ledger *l, const struct ggw_ledger_key *key, int priority,
       enum ggw_slot_refusal reason, ggw_ms now)
{
    ggw_ms pause =
        reason == GGW_SLOT_NO_SERVER ? time_to_end_of_pause(l, now) : 0;
    double spread = g_rand_double(l->rand);
    ggw_ms retry_after =
        pause > 0
            ? MAX(pause + spread * GGW_RETURN_SPREAD, GGW_RETRY_AFTER_MIN)
            : ggw_admission_retry_after(l->queue, priority, spread);

    push_decision(l, key, GGW_LEDGER_REFUSED, NULL, reason, retry_after);
}

bool
ggw_ledger_decision(struct ggw_ledger *l, struct ggw_ledger_decision *decision)
{
    struct ggw_ledger_decision *d = g_queue_pop_head(&l->decisions);

    if (d == NULL) {
        return false;
    }
    *decision = *d;
    g_free(d);
    return true;
}

struct ggw_ledger_server_entry *
ggw_ledger_find_server(const struct ggw_ledger *l, const char *name)
{
    for (guint i = 0; i < l->servers->len; i++) {
        struct ggw_ledger_server_entry *s = g_ptr_array_index(l->servers, i);

        if (strcmp(s->name, name) == 0) {
            return s;
        }
    }
    return NULL;
}

bool
ggw_ledger_can_grant(const struct ggw_ledger *l,
                     const struct ggw_ledger_server_entry *s, ggw_ms now)
{
    if (s->closed || !ggw_ledger_may_expose(l, s) ||
        now < l->grant_limits->stopped_until) {
        return false;
    }
    if (s->limit.state == GGW_LIMIT_WARM) {
        return true;
    }
    /*
     * A cold rate is low enough to be applied by two owners at the same time,
     * so it needs no majority.
     */
    return now >= l->hold_until &&
           (l->rule.cold_rate > 0 ||
            now < l->grant_limits->majority_valid_until);
}

static gint
by_expiry(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct ggw_ledger_grant *x = a;
    const struct ggw_ledger_grant *y = b;

    return (x->expires > y->expires) - (x->expires < y->expires);
}

struct ggw_ledger_grant *
ggw_ledger_add_grant(struct ggw_ledger *l, const struct ggw_ledger_key *key,
                     struct ggw_ledger_server_entry *s, ggw_ms expires,
                     ggw_ms now)
{
    struct ggw_ledger_grant *g = g_new0(struct ggw_ledger_grant, 1);

    g->key.holder = g_strdup(key->holder);
    g->key.id = key->id;
    g->server = s;
    g->started = now;
    g->expires = expires;
    g->iter = g_sequence_insert_sorted(l->by_expiry, g, by_expiry, NULL);
    g_hash_table_insert(l->grants, &g->key, g);
    s->in_flight++;
    return g;
}

void
ggw_ledger_set_expiry(struct ggw_ledger_grant *g, ggw_ms expires)
{
    g->expires = expires;
    g_sequence_sort_changed(g->iter, by_expiry, NULL);
}

void
ggw_ledger_drop_grant(struct ggw_ledger *l, struct ggw_ledger_grant *g)
{
    (*(g->abandoned ? &g->server->abandoned : &g->server->in_flight))--;
    g_sequence_remove(g->iter);
    g_hash_table_remove(l->grants, &g->key);
}

static bool
try_grant(struct ggw_ledger *l, const struct ggw_ledger_key *key,
          const struct ggw_ledger_pick_params *params, const char *customer,
          ggw_ms deadline, ggw_ms now)
{
    struct ggw_ledger_server_entry *s = ggw_ledger_pick(l, params, now);
    struct ggw_ledger_grant *g;

    if (s == NULL) {
        return false;
    }
    ggw_limit_started(&s->limit, now);
    g = ggw_ledger_add_grant(l, key, s, deadline + GGW_LEDGER_EXPIRY_MARGIN,
                             now);
    g->customer = g_strdup(customer);
    g->last_slot = s->in_flight >= s->limit.rule.slots + s->limit.rule.ahead;
    ggw_ledger_count_grant(l, g, params);
    ggw_ledger_count_work(l, g, params);
    push_decision(l, key, GGW_LEDGER_GRANTED, s->name, GGW_SLOT_NO_SERVER, 0);
    return true;
}

static void
update_slot_total(struct ggw_ledger *l)
{
    int slots[GGW_EXPOSURE_CLOSED + 1] = {0};

    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_server_entry *s =
            g_ptr_array_index(l->servers, i);

        if (!s->closed) {
            slots[s->exposure] += ggw_limit_slots(&s->limit);
        }
    }
    ggw_hedge_work_configure(&l->hedge_work, l->hedge_percent,
                             slots[GGW_EXPOSURE_OPEN]);
    ggw_admission_set_slots(
        l->queue, slots[GGW_EXPOSURE_OPEN] +
                      ggw_ledger_share_exposed(l, slots[GGW_EXPOSURE_OPEN],
                                               slots[GGW_EXPOSURE_LIMITED]));
}

bool
ggw_ledger_takes_requests(const struct ggw_ledger_server_entry *s)
{
    return !s->closed && s->exposure != GGW_EXPOSURE_CLOSED &&
           !s->limit.drain_reported;
}

static bool
has_open_server(const struct ggw_ledger *l)
{
    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_server_entry *s =
            g_ptr_array_index(l->servers, i);

        if (ggw_ledger_takes_requests(s) && ggw_ledger_may_expose(l, s)) {
            return true;
        }
    }
    return false;
}

static void
drop_waiter(struct ggw_ledger *l, struct ggw_ledger_waiter *w)
{
    g_hash_table_remove(l->waiting, &w->key);
}

static void
refuse_waiter(struct ggw_ledger *l, struct ggw_ledger_waiter *w,
              enum ggw_slot_refusal reason, ggw_ms now)
{
    refuse(l, &w->key, w->priority, reason, now);
    drop_waiter(l, w);
}

static void
refuse_all_waiters(struct ggw_ledger *l, enum ggw_slot_refusal reason,
                   ggw_ms now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, l->waiting);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_ledger_waiter *w = value;
        struct ggw_waiter out;

        refuse(l, &w->key, w->priority, reason, now);
        ggw_admission_cancel(l->queue, w->queue_id, &out);
        g_hash_table_iter_remove(&iter);
    }
    g_queue_clear(&l->blocked);
}

static void
expire_waiters(struct ggw_ledger *l, ggw_ms now)
{
    struct ggw_waiter out;
    GList *next;

    while (ggw_admission_expire(l->queue, now, &out)) {
        refuse_waiter(l, out.data, GGW_SLOT_TOO_LATE, now);
    }
    for (GList *i = l->blocked.head; i != NULL; i = next) {
        struct ggw_ledger_waiter *w = i->data;

        next = i->next;
        if (now >= w->start_by) {
            g_queue_delete_link(&l->blocked, i);
            refuse_waiter(l, w, GGW_SLOT_TOO_LATE, now);
        }
    }
}

static bool
grant_waiter(struct ggw_ledger *l, const struct ggw_ledger_waiter *w,
             ggw_ms now)
{
    struct ggw_ledger_pick_params params = {w->priority,
                                            w->avoid,
                                            w->failure_domain,
                                            w->cross_domain_cost,
                                            w->route,
                                            w->hedge,
                                            w->once};

    return try_grant(l, &w->key, &params, w->customer, w->deadline, now);
}

/*
 * Grants slots to the blocked requests, which avoid every server that was
 * free, in the order of their arrival.
 */
static void
grant_blocked(struct ggw_ledger *l, ggw_ms now)
{
    GList *next;

    for (GList *i = l->blocked.head; i != NULL; i = next) {
        struct ggw_ledger_waiter *w = i->data;

        next = i->next;
        if (grant_waiter(l, w, now)) {
            g_queue_delete_link(&l->blocked, i);
            drop_waiter(l, w);
        }
    }
}

void
ggw_ledger_dispatch(struct ggw_ledger *l, ggw_ms now)
{
    static const struct ggw_ledger_pick_params any = {.priority = 1};
    struct ggw_waiter out;

    update_slot_total(l);
    expire_waiters(l, now);
    if (g_hash_table_size(l->waiting) == 0) {
        return;
    }
    if (!has_open_server(l)) {
        refuse_all_waiters(l, GGW_SLOT_NO_SERVER, now);
        return;
    }
    grant_blocked(l, now);
    while (ggw_admission_len(l->queue) > 0 &&
           ggw_ledger_pick(l, &any, now) != NULL &&
           ggw_admission_pop(l->queue, now, &out)) {
        struct ggw_ledger_waiter *w = out.data;

        if (grant_waiter(l, w, now)) {
            drop_waiter(l, w);
        }
        else {
            g_queue_push_tail(&l->blocked, w);
        }
    }
}

/*
 * A request is refused as too late when less than this fraction of the median
 * latency of its kind is left before its deadline: the deadline would cut it
 * off on the server, and nobody would get a response.
 */
#define MIN_LATENCY_FRACTION 0.8

/* Most requests end within this multiple of their kind's median latency. */
#define LONG_LATENCY_FACTOR 1.5

static ggw_ms
latest_start(const struct ggw_ledger_request *request)
{
    return request->deadline - MIN_LATENCY_FRACTION * request->median_latency;
}

/* The blocked requests take places of the queue. */
static void
update_queue_max(struct ggw_ledger *l)
{
    size_t blocked = g_queue_get_length(&l->blocked);

    ggw_admission_set_max(l->queue, l->queue_max - MIN(blocked, l->queue_max));
}

static void
enqueue(struct ggw_ledger *l, const struct ggw_ledger_request *request,
        ggw_ms now)
{
    struct ggw_ledger_key key = {(char *)request->holder, request->id};
    struct ggw_ledger_waiter *w = g_new0(struct ggw_ledger_waiter, 1);
    struct ggw_waiter waiter = {
        .id = ++l->last_queue_id,
        .priority = request->priority,
        .deadline = latest_start(request),
        .on_time_until = request->target > 0
                             ? request->target - LONG_LATENCY_FACTOR *
                                                     request->median_latency
                             : 0,
        .customer = request->customer,
        .customer_rate = request->customer_rate,
        .data = w,
    };
    struct ggw_waiter displaced;

    w->key.holder = g_strdup(request->holder);
    w->key.id = request->id;
    w->queue_id = waiter.id;
    w->priority = request->priority;
    w->deadline = request->deadline;
    w->start_by = waiter.deadline;
    w->avoid = g_strdupv((char **)request->avoid);
    w->failure_domain = g_strdup(request->failure_domain);
    w->customer = g_strdup(request->customer);
    w->cross_domain_cost = request->cross_domain_cost;
    w->route = g_strdup(request->route);
    w->hedge = request->hedge;
    w->once = request->once;
    update_queue_max(l);
    switch (ggw_admission_push(l->queue, &waiter, now, &displaced)) {
    case GGW_ADMISSION_DISPLACED:
        refuse_waiter(l, displaced.data, GGW_SLOT_DISPLACED, now);
        break;
    case GGW_ADMISSION_QUEUED:
        break;
    case GGW_ADMISSION_FULL:
        refuse(l, &key, request->priority, GGW_SLOT_QUEUE_FULL, now);
        waiter_free(w);
        return;
    case GGW_ADMISSION_TOO_LATE:
        refuse(l, &key, request->priority, GGW_SLOT_TOO_LATE, now);
        waiter_free(w);
        return;
    }
    g_hash_table_insert(l->waiting, &w->key, w);
    push_decision(l, &key, GGW_LEDGER_QUEUED, NULL, GGW_SLOT_NO_SERVER, 0);
}

/* Grants a slot to a hedge or refuses it: a hedge does not wait. */
static void
request_hedge(struct ggw_ledger *l, const struct ggw_ledger_key *key,
              const struct ggw_ledger_request *request,
              const struct ggw_ledger_pick_params *params, ggw_ms now)
{
    enum ggw_slot_refusal reason;

    if (!ggw_ledger_may_hedge(l, &reason) ||
        !try_grant(l, key, params, request->customer, request->deadline,
                   now)) {
        refuse(l, key, request->priority, reason, now);
    }
}

void
ggw_ledger_request(struct ggw_ledger *l,
                   const struct ggw_ledger_request *request, ggw_ms now)
{
    struct ggw_ledger_key key = {(char *)request->holder, request->id};
    const struct ggw_ledger_grant *g = g_hash_table_lookup(l->grants, &key);
    struct ggw_ledger_pick_params params = {request->priority,
                                            request->avoid,
                                            request->failure_domain,
                                            request->cross_domain_cost,
                                            request->route,
                                            request->hedge,
                                            request->once};
    bool others_waiting = g_hash_table_size(l->waiting) > 0;

    l->once_seen |= request->once;
    if (g != NULL && g->released) {
        return; /* repeated before the holder had received the grant */
    }
    if (g != NULL) {
        push_decision(l, &key, GGW_LEDGER_GRANTED, g->server->name,
                      GGW_SLOT_NO_SERVER, 0);
    }
    else if (g_hash_table_contains(l->waiting, &key)) {
        push_decision(l, &key, GGW_LEDGER_QUEUED, NULL, GGW_SLOT_NO_SERVER, 0);
    }
    else if (!has_open_server(l)) {
        refuse(l, &key, request->priority, GGW_SLOT_NO_SERVER, now);
    }
    else if (now >= latest_start(request)) {
        refuse(l, &key, request->priority, GGW_SLOT_TOO_LATE, now);
    }
    else if (ggw_ledger_limits_hedge(l, &params)) {
        request_hedge(l, &key, request, &params, now);
    }
    else if (!others_waiting && try_grant(l, &key, &params, request->customer,
                                          request->deadline, now)) {
        return;
    }
    else if (!request->may_queue) {
        refuse(l, &key, request->priority, GGW_SLOT_QUEUE_FULL, now);
    }
    else {
        enqueue(l, request, now);
        ggw_ledger_dispatch(l, now);
    }
}

bool
ggw_ledger_remove_waiter(struct ggw_ledger *l,
                         const struct ggw_ledger_key *key)
{
    struct ggw_ledger_waiter *w = g_hash_table_lookup(l->waiting, key);
    struct ggw_waiter out;

    if (w == NULL) {
        return false;
    }
    if (!ggw_admission_cancel(l->queue, w->queue_id, &out)) {
        g_queue_remove(&l->blocked, w);
    }
    drop_waiter(l, w);
    return true;
}

void
ggw_ledger_cancel(struct ggw_ledger *l, const char *holder, uint64_t id,
                  ggw_ms now)
{
    struct ggw_ledger_key key = {(char *)holder, id};

    if (!ggw_ledger_remove_waiter(l, &key)) {
        ggw_ledger_release(l, holder, id, "", GGW_ATTEMPT_UNUSED, 0, NULL,
                           now);
    }
}

void
ggw_ledger_gateway_lost(struct ggw_ledger *l, const char *holder, ggw_ms now)
{
    g_autoptr(GPtrArray) lost_waiters = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, l->waiting);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_ledger_waiter *w = value;

        if (strcmp(w->key.holder, holder) == 0) {
            g_ptr_array_add(lost_waiters, w);
        }
    }
    for (guint i = 0; i < lost_waiters->len; i++) {
        struct ggw_ledger_waiter *w = g_ptr_array_index(lost_waiters, i);

        ggw_ledger_remove_waiter(l, &w->key);
    }
    ggw_ledger_dispatch(l, now);
}

/* Ends the cold starts whose reported end has passed. */
static void
end_cold_starts(struct ggw_ledger *l, ggw_ms now)
{
    for (guint i = 0; i < l->servers->len; i++) {
        struct ggw_ledger_server_entry *s = g_ptr_array_index(l->servers, i);

        if (s->limit.cold_until > 0 && s->limit.cold_until <= now) {
            ggw_limit_set_cold_until(&s->limit, 0, now);
        }
    }
}

void
ggw_ledger_tick(struct ggw_ledger *l, ggw_ms now)
{
    ggw_ledger_expire_grants(l, now);
    end_cold_starts(l, now);
    ggw_ledger_dispatch(l, now);
}

/* Returns when a cold server may start the next waiting request. */
static ggw_ms
next_cold_start(const struct ggw_ledger *l)
{
    ggw_ms next = INFINITY;

    if (g_hash_table_size(l->waiting) == 0) {
        return next;
    }
    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_server_entry *s =
            g_ptr_array_index(l->servers, i);
        ggw_ms at = ggw_limit_next_start(&s->limit);

        if (!s->closed && ggw_ledger_may_expose(l, s) && at > 0 &&
            s->in_flight < ggw_limit_slots(&s->limit)) {
            next = MIN(next, MAX(at, l->hold_until));
        }
    }
    return next;
}

ggw_ms
ggw_ledger_next_tick(const struct ggw_ledger *l)
{
    GSequenceIter *first = g_sequence_get_begin_iter(l->by_expiry);
    ggw_ms next = ggw_admission_next_deadline(l->queue);

    if (!g_sequence_iter_is_end(first)) {
        next = MIN(
            next, ((struct ggw_ledger_grant *)g_sequence_get(first))->expires);
    }
    for (GList *i = l->blocked.head; i != NULL; i = i->next) {
        next = MIN(next, ((struct ggw_ledger_waiter *)i->data)->start_by);
    }
    return MIN(next, next_cold_start(l));
}
