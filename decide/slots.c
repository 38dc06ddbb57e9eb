#include <math.h>
#include <string.h>

#include "decide/ledger.h"

/* Reports of a grant by other gateways arrive within this time. */
#define ENDED_KEEP 2000.0

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
    struct ggw_ledger_entry *s = data;

    g_free(s->name);
    g_free(s->failure_domain);
    g_free(s);
}

static void
waiting_free(gpointer data)
{
    struct ggw_ledger_waiting *w = data;

    g_free(w->key.holder);
    g_strfreev(w->avoid);
    g_free(w->failure_domain);
    g_free(w);
}

static void
grant_free(gpointer data)
{
    struct ggw_ledger_grant *g = data;

    g_free(g->key.holder);
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
    l->waiting =
        g_hash_table_new_full(key_hash, key_equal, NULL, waiting_free);
    g_queue_init(&l->blocked);
    g_queue_init(&l->decisions);
    l->queue = ggw_admission_new(0);
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
decide(struct ggw_ledger *l, const struct ggw_ledger_key *key,
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

static void
refuse(struct ggw_ledger *l, const struct ggw_ledger_key *key, int priority,
       enum ggw_slot_refusal reason)
{
    decide(
        l, key, GGW_LEDGER_REFUSED, NULL, reason,
        ggw_admission_retry_after(l->queue, priority, g_rand_double(l->rand)));
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

struct ggw_ledger_entry *
ggw_ledger_find_server(const struct ggw_ledger *l, const char *name)
{
    for (guint i = 0; i < l->servers->len; i++) {
        struct ggw_ledger_entry *s = g_ptr_array_index(l->servers, i);

        if (strcmp(s->name, name) == 0) {
            return s;
        }
    }
    return NULL;
}

/* Whether anything may be granted on a server, apart from its limit. */
bool
ggw_ledger_is_open(const struct ggw_ledger *l,
                   const struct ggw_ledger_entry *s, ggw_ms now)
{
    if (s->closed || now < l->grant_limits->stopped_until) {
        return false;
    }
    if (s->limit.state == GGW_LIMIT_WARM) {
        return true;
    }
    /*
     * A limit by rate is low enough for two owners at a time, so that it does
     * not depend on a majority.
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

void
ggw_ledger_add_grant(struct ggw_ledger *l, const struct ggw_ledger_key *key,
                     struct ggw_ledger_entry *s, ggw_ms expires, ggw_ms now)
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
}

void
ggw_ledger_drop_grant(struct ggw_ledger *l, struct ggw_ledger_grant *g)
{
    g->server->in_flight--;
    g_sequence_remove(g->iter);
    g_hash_table_remove(l->grants, &g->key);
}

static bool
try_grant(struct ggw_ledger *l, const struct ggw_ledger_key *key,
          const struct ggw_ledger_wish *wish, ggw_ms deadline, ggw_ms now)
{
    struct ggw_ledger_entry *s = ggw_ledger_pick(l, wish, now);

    if (s == NULL) {
        return false;
    }
    ggw_limit_started(&s->limit, now);
    ggw_ledger_add_grant(l, key, s, deadline + GGW_LEDGER_EXPIRY_MARGIN, now);
    decide(l, key, GGW_LEDGER_GRANTED, s->name, GGW_SLOT_NO_SERVER, 0);
    return true;
}

static void
count_slots(struct ggw_ledger *l)
{
    int slots = 0;

    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_entry *s = g_ptr_array_index(l->servers, i);

        if (!s->closed) {
            slots += ggw_limit_slots(&s->limit);
        }
    }
    ggw_admission_set_slots(l->queue, slots);
}

static bool
any_server(const struct ggw_ledger *l)
{
    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_entry *s = g_ptr_array_index(l->servers, i);

        if (!s->closed && !s->limit.drain_reported) {
            return true;
        }
    }
    return false;
}

static void
forget_waiting(struct ggw_ledger *l, struct ggw_ledger_waiting *w)
{
    g_hash_table_remove(l->waiting, &w->key);
}

static void
refuse_waiting(struct ggw_ledger *l, struct ggw_ledger_waiting *w,
               enum ggw_slot_refusal reason)
{
    refuse(l, &w->key, w->priority, reason);
    forget_waiting(l, w);
}

static void
refuse_all(struct ggw_ledger *l, enum ggw_slot_refusal reason)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, l->waiting);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_ledger_waiting *w = value;
        struct ggw_waiter out;

        refuse(l, &w->key, w->priority, reason);
        ggw_admission_cancel(l->queue, w->seq, &out);
        g_hash_table_iter_remove(&iter);
    }
    g_queue_clear(&l->blocked);
}

static void
expire_waiting(struct ggw_ledger *l, ggw_ms now)
{
    struct ggw_waiter out;
    GList *next;

    while (ggw_admission_expire(l->queue, now, &out)) {
        refuse_waiting(l, out.data, GGW_SLOT_TOO_LATE);
    }
    for (GList *i = l->blocked.head; i != NULL; i = next) {
        struct ggw_ledger_waiting *w = i->data;

        next = i->next;
        if (now >= w->start_by) {
            g_queue_delete_link(&l->blocked, i);
            refuse_waiting(l, w, GGW_SLOT_TOO_LATE);
        }
    }
}

static bool
grant_waiting(struct ggw_ledger *l, const struct ggw_ledger_waiting *w,
              ggw_ms now)
{
    struct ggw_ledger_wish wish = {w->priority, w->avoid, w->failure_domain,
                                   w->cross_domain_cost};

    return try_grant(l, &w->key, &wish, w->deadline, now);
}

/* Requests that avoid every free server are kept in their order. */
static void
serve_blocked(struct ggw_ledger *l, ggw_ms now)
{
    GList *next;

    for (GList *i = l->blocked.head; i != NULL; i = next) {
        struct ggw_ledger_waiting *w = i->data;

        next = i->next;
        if (grant_waiting(l, w, now)) {
            g_queue_delete_link(&l->blocked, i);
            forget_waiting(l, w);
        }
    }
}

void
ggw_ledger_serve(struct ggw_ledger *l, ggw_ms now)
{
    static const struct ggw_ledger_wish any = {.priority = 1};
    struct ggw_waiter out;

    count_slots(l);
    expire_waiting(l, now);
    if (g_hash_table_size(l->waiting) == 0) {
        return;
    }
    if (!any_server(l)) {
        refuse_all(l, GGW_SLOT_NO_SERVER);
        return;
    }
    serve_blocked(l, now);
    while (ggw_admission_len(l->queue) > 0 &&
           ggw_ledger_pick(l, &any, now) != NULL &&
           ggw_admission_pop(l->queue, now, &out)) {
        struct ggw_ledger_waiting *w = out.data;

        if (grant_waiting(l, w, now)) {
            forget_waiting(l, w);
        }
        else {
            g_queue_push_tail(&l->blocked, w);
        }
    }
}

/*
 * Work that is cut off by the deadline serves nobody, so it is not begun when
 * less than this part of its usual time is left.
 */
#define WORK_PART 0.8

/* Most work ends within this many times its usual time. */
#define LONG_WORK 1.5

static ggw_ms
latest_start(const struct ggw_ledger_request *ask)
{
    return ask->deadline - WORK_PART * ask->median_latency;
}

static void
push(struct ggw_ledger *l, const struct ggw_ledger_request *ask, ggw_ms now)
{
    struct ggw_ledger_key key = {(char *)ask->holder, ask->id};
    struct ggw_ledger_waiting *w = g_new0(struct ggw_ledger_waiting, 1);
    struct ggw_waiter waiter = {
        .id = ++l->next_seq,
        .priority = ask->priority,
        .deadline = latest_start(ask),
        .useful = ask->target > 0
                      ? ask->target - LONG_WORK * ask->median_latency
                      : 0,
        .data = w,
    };
    struct ggw_waiter displaced;

    w->key.holder = g_strdup(ask->holder);
    w->key.id = ask->id;
    w->seq = waiter.id;
    w->priority = ask->priority;
    w->deadline = ask->deadline;
    w->start_by = waiter.deadline;
    w->avoid = g_strdupv((char **)ask->avoid);
    w->failure_domain = g_strdup(ask->failure_domain);
    w->cross_domain_cost = ask->cross_domain_cost;
    switch (ggw_admission_push(l->queue, &waiter, now, &displaced)) {
    case GGW_ADMISSION_DISPLACED:
        refuse_waiting(l, displaced.data, GGW_SLOT_DISPLACED);
        break;
    case GGW_ADMISSION_QUEUED:
        break;
    case GGW_ADMISSION_FULL:
        refuse(l, &key, ask->priority, GGW_SLOT_QUEUE_FULL);
        waiting_free(w);
        return;
    case GGW_ADMISSION_TOO_LATE:
        refuse(l, &key, ask->priority, GGW_SLOT_TOO_LATE);
        waiting_free(w);
        return;
    }
    g_hash_table_insert(l->waiting, &w->key, w);
    decide(l, &key, GGW_LEDGER_QUEUED, NULL, GGW_SLOT_NO_SERVER, 0);
}

void
ggw_ledger_request(struct ggw_ledger *l, const struct ggw_ledger_request *ask,
                   ggw_ms now)
{
    struct ggw_ledger_key key = {(char *)ask->holder, ask->id};
    const struct ggw_ledger_grant *g = g_hash_table_lookup(l->grants, &key);
    struct ggw_ledger_wish wish = {ask->priority, ask->avoid,
                                   ask->failure_domain,
                                   ask->cross_domain_cost};
    bool behind = g_hash_table_size(l->waiting) > 0;

    if (g != NULL && g->done) {
        return; /* asked again before the holder knew of its grant */
    }
    if (g != NULL) {
        decide(l, &key, GGW_LEDGER_GRANTED, g->server->name,
               GGW_SLOT_NO_SERVER, 0);
    }
    else if (g_hash_table_contains(l->waiting, &key)) {
        decide(l, &key, GGW_LEDGER_QUEUED, NULL, GGW_SLOT_NO_SERVER, 0);
    }
    else if (!any_server(l)) {
        refuse(l, &key, ask->priority, GGW_SLOT_NO_SERVER);
    }
    else if (now >= latest_start(ask)) {
        refuse(l, &key, ask->priority, GGW_SLOT_TOO_LATE);
    }
    else if (!behind && try_grant(l, &key, &wish, ask->deadline, now)) {
        return;
    }
    else if (!ask->may_queue) {
        refuse(l, &key, ask->priority, GGW_SLOT_QUEUE_FULL);
    }
    else {
        push(l, ask, now);
        ggw_ledger_serve(l, now);
    }
}

bool
ggw_ledger_remove_waiting(struct ggw_ledger *l,
                          const struct ggw_ledger_key *key)
{
    struct ggw_ledger_waiting *w = g_hash_table_lookup(l->waiting, key);
    struct ggw_waiter out;

    if (w == NULL) {
        return false;
    }
    if (!ggw_admission_cancel(l->queue, w->seq, &out)) {
        g_queue_remove(&l->blocked, w);
    }
    forget_waiting(l, w);
    return true;
}

void
ggw_ledger_cancel(struct ggw_ledger *l, const char *holder, uint64_t id,
                  ggw_ms now)
{
    struct ggw_ledger_key key = {(char *)holder, id};

    if (!ggw_ledger_remove_waiting(l, &key)) {
        ggw_ledger_release(l, holder, id, "", GGW_ATTEMPT_UNUSED, 0, NULL,
                           now);
    }
}

static int
count_ejected(const struct ggw_ledger *l)
{
    int n = 0;

    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_entry *s = g_ptr_array_index(l->servers, i);

        n += s->limit.state == GGW_LIMIT_EJECTED;
    }
    return n;
}

/* Weight of one attempt in the share of those that failed. */
#define FAILING_WEIGHT 0.2

static void
note_outcome(struct ggw_ledger_entry *s, enum ggw_attempt_result result,
             ggw_ms now)
{
    bool failed = ggw_attempt_failed(result) || result == GGW_ATTEMPT_SILENT;

    if (!failed && result != GGW_ATTEMPT_OK) {
        return;
    }
    s->failing += FAILING_WEIGHT * ((failed ? 1 : 0) - s->failing);
    s->failed_at = failed ? now : s->failed_at;
}

/*
 * A server that sheds although it has a free slot is not overloaded: a lower
 * limit would not help it.
 */
static bool
is_spare_shed(const struct ggw_ledger_entry *s, enum ggw_attempt_result result,
              const struct ggw_load_report *report)
{
    return result == GGW_ATTEMPT_SHED && report != NULL && report->present &&
           report->queue == 0 && report->slots > 0 &&
           report->busy < report->slots;
}

static void
apply_result(struct ggw_ledger *l, struct ggw_ledger_entry *s,
             enum ggw_attempt_result result, ggw_ms started, ggw_ms latency,
             ggw_ms now)
{
    struct ggw_limit_sample sample = {
        .result = result,
        .started = started,
        .latency = latency,
        .median = l->latency.p50,
        .keep = ggw_limit_keep((int)l->servers->len, count_ejected(l)),
    };

    ggw_limit_result(&s->limit, &sample, now);
    if (result == GGW_ATTEMPT_UNUSED) {
        return;
    }
    s->touched = true;
    if (result == GGW_ATTEMPT_OK) {
        ggw_latency_add(&l->latency, latency);
    }
}

static void
apply_report(struct ggw_ledger_entry *s, const struct ggw_load_report *report,
             ggw_ms now)
{
    if (report == NULL || !report->present) {
        return;
    }
    s->touched = true;
    s->reported = true;
    s->load = report->busy + report->queue;
    s->slow_percent = report->slow_percent;
    s->reported_at = now;
    ggw_limit_report(&s->limit, report, now);
}

/*
 * Remembers that a grant has ended, so that a report of it by another
 * gateway, sent before and arriving later, does not bring it back. Grants
 * are reported for a while after a takeover or a new member.
 */
static void
note_end(struct ggw_ledger *l, const struct ggw_ledger_key *key, bool known,
         ggw_ms now)
{
    struct ggw_ledger_key *copy;

    if (known && now > l->hold_until + ENDED_KEEP) {
        return;
    }
    copy = g_new(struct ggw_ledger_key, 1);
    copy->holder = g_strdup(key->holder);
    copy->id = key->id;
    g_hash_table_replace(l->ended, copy, g_memdup2(&now, sizeof(now)));
}

static gboolean
is_old_end(gpointer key, gpointer value, gpointer now)
{
    return *(ggw_ms *)now - *(ggw_ms *)value > ENDED_KEEP;
}

void
ggw_ledger_release(struct ggw_ledger *l, const char *holder, uint64_t id,
                   const char *server, enum ggw_attempt_result result,
                   ggw_ms latency, const struct ggw_load_report *report,
                   ggw_ms now)
{
    struct ggw_ledger_key key = {(char *)holder, id};
    struct ggw_ledger_grant *g = g_hash_table_lookup(l->grants, &key);
    struct ggw_ledger_entry *s =
        g != NULL ? g->server : ggw_ledger_find_server(l, server);
    ggw_ms hold;

    if (s == NULL || (g != NULL && g->done)) {
        return;
    }
    note_end(l, &key, g != NULL, now);
    note_outcome(s, result, now);
    if (is_spare_shed(s, result, report)) {
        result = GGW_ATTEMPT_UNUSED;
    }
    apply_report(s, report, now);
    if (g == NULL) {
        apply_result(l, s, result, now - latency, latency, now);
        ggw_ledger_serve(l, now);
        return;
    }
    apply_result(l, s, result, g->started, latency, now);
    if (result != GGW_ATTEMPT_UNUSED) {
        ggw_admission_add_hold_time(l->queue, now - g->started);
    }
    hold = ggw_limit_hold_time(result, latency, l->latency.p90);
    if (ggw_attempt_failed(result) && g->started + hold > now) {
        g->done = true;
        g->expires = MIN(g->expires, g->started + hold);
        g_sequence_sort_changed(g->iter, by_expiry, NULL);
    }
    else {
        ggw_ledger_drop_grant(l, g);
    }
    ggw_ledger_serve(l, now);
}

void
ggw_ledger_report(struct ggw_ledger *l, const char *server,
                  const struct ggw_load_report *report, ggw_ms now)
{
    struct ggw_ledger_entry *s = ggw_ledger_find_server(l, server);

    if (s != NULL) {
        apply_report(s, report, now);
        ggw_ledger_serve(l, now);
    }
}

void
ggw_ledger_gateway_lost(struct ggw_ledger *l, const char *holder, ggw_ms now)
{
    g_autoptr(GPtrArray) gone = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, l->waiting);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_ledger_waiting *w = value;

        if (strcmp(w->key.holder, holder) == 0) {
            g_ptr_array_add(gone, w);
        }
    }
    for (guint i = 0; i < gone->len; i++) {
        struct ggw_ledger_waiting *w = g_ptr_array_index(gone, i);

        ggw_ledger_remove_waiting(l, &w->key);
    }
    ggw_ledger_serve(l, now);
}

/* Ends the cold starts whose stated time is over. */
static void
end_cold_starts(struct ggw_ledger *l, ggw_ms now)
{
    for (guint i = 0; i < l->servers->len; i++) {
        struct ggw_ledger_entry *s = g_ptr_array_index(l->servers, i);

        if (s->limit.cold_until > 0 && s->limit.cold_until <= now) {
            ggw_limit_cold_until(&s->limit, 0, now);
        }
    }
}

void
ggw_ledger_tick(struct ggw_ledger *l, ggw_ms now)
{
    GSequenceIter *first = g_sequence_get_begin_iter(l->by_expiry);

    while (!g_sequence_iter_is_end(first)) {
        struct ggw_ledger_grant *g = g_sequence_get(first);

        if (g->expires > now) {
            break;
        }
        if (!g->done) {
            apply_result(l, g->server, GGW_ATTEMPT_CANCELLED, g->started,
                         now - g->started, now);
        }
        ggw_ledger_drop_grant(l, g);
        first = g_sequence_get_begin_iter(l->by_expiry);
    }
    g_hash_table_foreach_remove(l->ended, is_old_end, &now);
    end_cold_starts(l, now);
    ggw_ledger_serve(l, now);
}

/* When a cold server may take the next of the requests that wait. */
static ggw_ms
next_cold_start(const struct ggw_ledger *l)
{
    ggw_ms next = INFINITY;

    if (g_hash_table_size(l->waiting) == 0) {
        return next;
    }
    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_entry *s = g_ptr_array_index(l->servers, i);
        ggw_ms at = ggw_limit_next_start(&s->limit);

        if (!s->closed && at > 0 &&
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
        next = MIN(next, ((struct ggw_ledger_waiting *)i->data)->start_by);
    }
    return MIN(next, next_cold_start(l));
}
