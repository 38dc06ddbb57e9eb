#include "decide/ledger.h"

/*
 * Time in ms for which the end of a grant is remembered. Reports of the grant
 * by other gateways that were sent before its end arrive within it.
 */
#define ENDED_RETENTION 2000.0

/* Returns whether 5xx responses may eject no further server. */
static bool
ejection_cap_reached(const struct ggw_ledger *l)
{
    int servers = 0;
    int ejected = 0;

    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_server_entry *s =
            g_ptr_array_index(l->servers, i);

        if (ggw_ledger_takes_requests(s)) {
            servers++;
            ejected += s->limit.state == GGW_LIMIT_EJECTED;
        }
    }
    return ggw_limit_ejection_cap_reached(servers, ejected);
}

/* Weight of one attempt in the moving average of failures. */
#define FAILURE_RATE_WEIGHT 0.2

static void
update_failure_rate(struct ggw_ledger_server_entry *s,
                    enum ggw_attempt_result result, ggw_ms now)
{
    bool failed = ggw_attempt_failed(result) || result == GGW_ATTEMPT_SILENT;

    if (!failed && result != GGW_ATTEMPT_OK) {
        return;
    }
    s->failure_rate +=
        FAILURE_RATE_WEIGHT * ((failed ? 1 : 0) - s->failure_rate);
    s->failed_at = failed ? now : s->failed_at;
}

/*
 * Returns whether a server shed a request although its report shows a free
 * slot. Such a server is not overloaded, and a lower limit would not help.
 */
static bool
is_shed_with_free_slot(const struct ggw_ledger_server_entry *s,
                       enum ggw_attempt_result result,
                       const struct ggw_load_report *report)
{
    return result == GGW_ATTEMPT_SHED && report != NULL && report->present &&
           report->queue == 0 && report->slots > 0 &&
           report->busy < report->slots;
}

static void
apply_result(struct ggw_ledger *l, struct ggw_ledger_server_entry *s,
             enum ggw_attempt_result result, ggw_ms started, ggw_ms latency,
             ggw_ms now)
{
    struct ggw_limit_sample sample = {
        .result = result,
        .started = started,
        .latency = latency,
        .median = l->latency.p50,
        .no_eject_on_error = ejection_cap_reached(l),
    };

    ggw_limit_result(&s->limit, &sample, now);
    if (result == GGW_ATTEMPT_UNUSED) {
        return;
    }
    s->observed = true;
    if (result == GGW_ATTEMPT_OK) {
        ggw_latency_add(&l->latency, latency);
        ggw_remaining_add(&l->remaining, latency);
    }
}

static void
apply_report(struct ggw_ledger_server_entry *s,
             const struct ggw_load_report *report, ggw_ms now)
{
    if (report == NULL || !report->present) {
        return;
    }
    s->observed = true;
    s->reported = true;
    s->load = report->busy + report->queue;
    s->foreign = MAX(s->load - s->in_flight, 0);
    s->slow_percent = report->slow_percent;
    s->reported_at = now;
    ggw_limit_report(&s->limit, report, now);
}

/*
 * Learns from the end of an attempt what full servers do. A reset counts when
 * a request that started before it succeeds: the process was alive.
 */
static void
learn_full(struct ggw_ledger *l, const struct ggw_ledger_grant *g,
           enum ggw_attempt_result result, ggw_ms latency, ggw_ms now)
{
    struct ggw_ledger_server_entry *s = g->server;
    enum ggw_full_behaviour event =
        ggw_full_server_event(result, latency, l->latency.p50);

    if (result == GGW_ATTEMPT_UNUSED || result == GGW_ATTEMPT_REFUSED) {
        return;
    }
    ggw_full_server_add_attempt(&l->full, g->last_slot);
    if (event == GGW_FULL_RESETS) {
        s->resets[g->last_slot ? 1 : 0]++;
        s->reset_at = now;
    }
    else if (event == GGW_FULL_ANSWERS ||
             (event == GGW_FULL_HANGS && s->ok_at > g->started)) {
        ggw_full_server_add_event(&l->full, event, g->last_slot);
    }
    if (event == GGW_FULL_HANGS && s->ok_at > g->started) {
        s->miscounted_at = now;
    }
    if (result != GGW_ATTEMPT_OK) {
        return;
    }
    s->ok_at = now;
    for (int i = 0; i < 2 && g->started < s->reset_at; i++) {
        while (s->resets[i] > 0) {
            s->resets[i]--;
            s->miscounted_at = s->reset_at;
            ggw_full_server_add_event(&l->full, GGW_FULL_RESETS, i == 1);
        }
    }
    if (g->started >= s->reset_at) {
        s->resets[0] = s->resets[1] = 0; /* perhaps another process */
    }
}

/*
 * Fraction of the cancelled attempts that have ended on their server when they
 * no longer count. With the mean remaining time, half of them still ran.
 */
#define ABANDONED_QUANTILE 0.95

/*
 * Keeps a cancelled attempt for requests that may not be repeated: the server
 * may run it for as long as such a run usually takes. Returns false if the
 * grant is of no further use.
 */
static bool
keep_abandoned(struct ggw_ledger *l, struct ggw_ledger_grant *g,
               enum ggw_attempt_result result, ggw_ms now)
{
    ggw_ms left = ggw_remaining_time(&l->remaining, now - g->started,
                                     ABANDONED_QUANTILE);

    if (!l->once_seen || l->full.behaviour == GGW_FULL_ANSWERS || left <= 0 ||
        (result != GGW_ATTEMPT_CANCELLED && result != GGW_ATTEMPT_SILENT)) {
        return false;
    }
    g->released = true;
    g->abandoned = true;
    g->server->in_flight--;
    g->server->abandoned++;
    ggw_ledger_set_expiry(g, MIN(g->expires, now + left));
    return true;
}

/*
 * Records the end of a grant, so that a report that another gateway sent
 * before the end does not add the grant again when it arrives later. Gateways
 * report grants for a while after a takeover and after a member has joined,
 * so the ends of known grants are recorded only during that time.
 */
static void
record_ended_grant(struct ggw_ledger *l, const struct ggw_ledger_key *key,
                   bool known, ggw_ms now)
{
    struct ggw_ledger_key *copy;

    if (known && now > l->hold_until + ENDED_RETENTION) {
        return;
    }
    copy = g_new(struct ggw_ledger_key, 1);
    copy->holder = g_strdup(key->holder);
    copy->id = key->id;
    g_hash_table_replace(l->ended, copy, g_memdup2(&now, sizeof(now)));
}

static gboolean
is_expired_end(gpointer key, gpointer value, gpointer now)
{
    return *(ggw_ms *)now - *(ggw_ms *)value > ENDED_RETENTION;
}

void
ggw_ledger_release(struct ggw_ledger *l, const char *holder, uint64_t id,
                   const char *server, enum ggw_attempt_result result,
                   ggw_ms latency, const struct ggw_load_report *report,
                   ggw_ms now)
{
    struct ggw_ledger_key key = {(char *)holder, id};
    struct ggw_ledger_grant *g = g_hash_table_lookup(l->grants, &key);
    struct ggw_ledger_server_entry *s =
        g != NULL ? g->server : ggw_ledger_find_server(l, server);
    ggw_ms hold_time;

    if (s == NULL || (g != NULL && g->released)) {
        return;
    }
    record_ended_grant(l, &key, g != NULL, now);
    update_failure_rate(s, result, now);
    if (g != NULL) {
        ggw_ledger_count_end(l, g, result, latency);
        ggw_ledger_count_work_end(
            l, g, result != GGW_ATTEMPT_UNUSED ? now - g->started : 0);
    }
    if (is_shed_with_free_slot(s, result, report)) {
        result = GGW_ATTEMPT_UNUSED;
    }
    apply_report(s, report, now);
    if (g == NULL) {
        apply_result(l, s, result, now - latency, latency, now);
        ggw_ledger_dispatch(l, now);
        return;
    }
    learn_full(l, g, result, latency, now);
    apply_result(l, s, result, g->started, latency, now);
    if (result != GGW_ATTEMPT_UNUSED) {
        ggw_admission_add_hold_time(l->queue, now - g->started);
        ggw_admission_add_customer_hold_time(l->queue, g->customer,
                                             now - g->started);
    }
    hold_time = ggw_limit_hold_time(result, latency, l->latency.p90);
    if (ggw_attempt_failed(result) && g->started + hold_time > now) {
        g->released = true;
        ggw_ledger_set_expiry(g, MIN(g->expires, g->started + hold_time));
    }
    else if (!keep_abandoned(l, g, result, now)) {
        ggw_ledger_drop_grant(l, g);
    }
    ggw_ledger_dispatch(l, now);
}

void
ggw_ledger_report(struct ggw_ledger *l, const char *server,
                  const struct ggw_load_report *report, ggw_ms now)
{
    struct ggw_ledger_server_entry *s = ggw_ledger_find_server(l, server);

    if (s != NULL) {
        apply_report(s, report, now);
        ggw_ledger_dispatch(l, now);
    }
}

void
ggw_ledger_expire_grants(struct ggw_ledger *l, ggw_ms now)
{
    GSequenceIter *first = g_sequence_get_begin_iter(l->by_expiry);

    while (!g_sequence_iter_is_end(first)) {
        struct ggw_ledger_grant *g = g_sequence_get(first);

        if (g->expires > now) {
            break;
        }
        if (!g->released) {
            apply_result(l, g->server, GGW_ATTEMPT_CANCELLED, g->started,
                         now - g->started, now);
            ggw_ledger_count_work_end(l, g, now - g->started);
        }
        ggw_ledger_drop_grant(l, g);
        first = g_sequence_get_begin_iter(l->by_expiry);
    }
    g_hash_table_foreach_remove(l->ended, is_expired_end, &now);
}
