#include <math.h>
#include <string.h>

#include "common/log.h"
#include "common/metrics.h"
#include "decide/drain.h"
#include "decide/hedge.h"
#include "decide/promise.h"
#include "proxy/events.h"
#include "proxy/headers.h"
#include "proxy/route.h"
#include "proxy/state.h"

/* Retry-After for a client whose attempts were all shed. */
#define SHED_RETRY_MS 1000

/*
 * Retry-After for a request that matched a route. It is short because the
 * servers behind routes also shed at random, and the client's latency target
 * runs from its first attempt.
 */
#define ROUTED_SHED_RETRY_MS 50

static void
handle_closed(uv_handle_t *handle)
{
    struct ggw_request *r = handle->data;

    /* Frees the request when the second of its two timers has closed. */
    if (!r->closing) {
        r->closing = true;
        return;
    }
    ggw_tree_unref(r->tree);
    g_free(r->method);
    g_free(r->path);
    g_free(r->order);
    g_free(r->client_attempt_id);
    g_bytes_unref(r->body);
    if (r->headers != NULL) {
        g_string_free(r->headers, TRUE);
    }
    g_ptr_array_free(r->tried, TRUE);
    g_free(r);
}

/*
 * Frees the request if its exchange has ended, it awaits no answer and no
 * attempt is in progress.
 */
void
ggw_request_free_if_unused(struct ggw_request *r)
{
    if (r->exchange != NULL || r->slot_tag != 0 || r->claim_tag != 0 ||
        r->allotment_tag != 0 || r->attempts[0] != NULL ||
        r->attempts[1] != NULL || uv_is_closing((uv_handle_t *)&r->timer)) {
        return;
    }
    g_hash_table_remove(r->proxy->live, r);
    r->proxy->requests--;
    uv_close((uv_handle_t *)&r->timer, handle_closed);
    uv_close((uv_handle_t *)&r->hedge_timer, handle_closed);
}

/*
 * Cancels and frees all requests when the kernel stops. Messages are no longer
 * delivered, so none is awaited.
 */
void
ggw_requests_abandon(struct ggw_proxy *proxy)
{
    g_autoptr(GList) live = g_hash_table_get_keys(proxy->live);

    for (GList *l = live; l != NULL; l = l->next) {
        struct ggw_request *r = l->data;

        if (r->exchange != NULL) {
            ggw_exchange_attach(r->exchange, NULL, NULL);
            r->exchange = NULL;
        }
        r->slot_tag = 0;
        r->claim_tag = 0;
        r->allotment_tag = 0;
        for (size_t i = 0; i < G_N_ELEMENTS(r->attempts); i++) {
            if (r->attempts[i] != NULL) {
                ggw_attempt_cancel(r->attempts[i]);
            }
        }
        ggw_request_free_if_unused(r);
    }
}

/*
 * Counts a request with its outcome and adds its latency to the histogram.
 * @reason: label in the metrics
 */
void
ggw_request_count_outcome(struct ggw_request *r, enum ggw_outcome outcome,
                          const char *reason)
{
    g_autofree char *name = NULL;

    r->responded = true;
    name = g_strdup_printf(
        "ggw_requests_total{%s,outcome=\"%s\",reason=\"%s\"}",
        r->kind_state->labels, ggw_outcome_name(outcome), reason);

    ggw_count(name);
    ggw_histogram_add(r->kind_state->latency_histogram,
                      ggw_kernel_now(r->proxy->base.kernel) - r->received);
}

/* Retry-After is at most the client's remaining time divided by this. */
#define RETRY_AFTER_DIVISOR 3

static ggw_ms
bound_retry_after(const struct ggw_request *r, ggw_ms retry_after)
{
    ggw_ms now = ggw_kernel_now(r->proxy->base.kernel);

    if (r->client_deadline == 0) {
        return retry_after;
    }
    return MAX(
        MIN(retry_after, (r->client_deadline - now) / RETRY_AFTER_DIVISOR), 0);
}

/* Sends a response that the gateway generates, if the client is connected. */
static void
respond(struct ggw_request *r, int status, const char *reason,
        enum ggw_outcome outcome, ggw_ms retry_after)
{
    struct ggw_exchange *x = r->exchange;

    if (!r->responded) {
        ggw_request_count_outcome(r, outcome, reason);
    }
    if (x != NULL) {
        ggw_exchange_attach(x, NULL, NULL);
        r->exchange = NULL;
        retry_after = bound_retry_after(r, retry_after);
        ggw_proxy_log_refused(r, status, reason, outcome, retry_after);
        ggw_exchange_refuse(x, status, reason, outcome, retry_after);
    }
}

/* Reports an order's outcome to "claims", if this request holds its claim. */
void
ggw_request_settle(struct ggw_request *r, enum ggw_claim_outcome outcome,
                   int status)
{
    struct ggw_proxy *proxy = r->proxy;

    if (!r->claimed) {
        return;
    }
    r->claimed = false;
    proxy->last_settle = ggw_kernel_now(proxy->base.kernel);
    ggw_kernel_send(proxy->base.kernel, "claims", &proxy->base,
                    ggw_claim_settle_new(r->claim, outcome, status));
}

/* Returns the permission of a request that did not run. */
static void
return_permission(struct ggw_request *r)
{
    struct ggw_proxy *proxy = r->proxy;

    if (r->permitted_at > 0) {
        ggw_kernel_send(proxy->base.kernel, "allotments", &proxy->base,
                        ggw_allotment_return_new(r->tree->team,
                                                 r->customer->name,
                                                 r->permitted_at));
        r->permitted_at = 0;
    }
}

/* Gives back what was charged for a repeat that is not sent. */
static void
refund_repeat(struct ggw_request *r)
{
    if (r->charged != NULL) {
        ggw_count("ggw_repeats_refunded_total");
        ggw_retry_budget_refund(r->charged, r->charged_at);
        r->charged = NULL;
    }
}

/* Cancels the hedge timer and a pending slot request. */
void
ggw_request_stop_waiting(struct ggw_request *r)
{
    struct ggw_proxy *proxy = r->proxy;

    uv_timer_stop(&r->hedge_timer);
    if (r->slot_tag == 0) {
        return;
    }
    g_hash_table_remove(proxy->slot_waits, &r->slot_tag);
    ggw_kernel_send(proxy->base.kernel, "slots", &proxy->base,
                    ggw_slot_cancel_new(r->slot_tag));
    r->slot_tag = 0;
    refund_repeat(r);
}

/*
 * Ends a request that got no response from a server. The outcome is unknown if
 * any attempt may have run, even if all others did not. @status, @reason and
 * @retry_after (ms) apply when no attempt was made. If attempts were made and
 * none ran, the response is 503 "shed"; @retry_after is then a minimum, and a
 * routed request ignores it unless no server takes requests.
 */
static void
finish(struct ggw_request *r, int status, const char *reason,
       ggw_ms retry_after)
{
    uv_timer_stop(&r->timer);
    if (r->unknown_status != 0) {
        ggw_request_settle(r, GGW_CLAIM_OUTCOME_UNKNOWN, 0);
        respond(r, r->unknown_status,
                r->unknown_status == 504 ? "timeout" : "broken",
                GGW_OUTCOME_UNKNOWN, 0);
    }
    else {
        ggw_request_settle(r, GGW_CLAIM_OUTCOME_NOT_RUN, 0);
        return_permission(r);
        if (r->retry.attempts > 0) {
            status = 503;
            reason = "shed";
            retry_after = r->route != NULL ? MAX(ROUTED_SHED_RETRY_MS,
                                                 r->no_server_retry_after)
                                           : MAX(retry_after, SHED_RETRY_MS);
        }
        respond(r, status, reason, GGW_OUTCOME_NOT_RUN, retry_after);
    }
    ggw_request_free_if_unused(r);
}

/*
 * Time, in monotonic ms, from which on the response to an attempt cannot be
 * expected before the gateway stops. To be asked if no other attempt is in
 * progress: else the request is exposed to the end anyway, and a second
 * attempt may help it.
 */
ggw_ms
ggw_request_send_by(const struct ggw_request *r)
{
    const struct ggw_proxy *proxy = r->proxy;
    const struct ggw_drain_request d = {
        .deadline = r->retry.deadline + proxy->options.deadline_grace,
        .repeatable = r->kind->idempotency == GGW_IDEMPOTENT,
        .latency = &r->kind_state->latency_estimate,
    };

    return proxy->leaving ? ggw_drain_send_by(proxy->drain_end, &d) : INFINITY;
}

static bool
can_finish(const struct ggw_request *r)
{
    return ggw_kernel_now(r->proxy->base.kernel) < ggw_request_send_by(r);
}

/* Ends a request that cannot finish before the gateway stops. */
static void
finish_leaving(struct ggw_request *r)
{
    finish(r, 503, "leaving", GGW_LEAVING_RETRY_MS);
}

/*
 * Refuses the requests that wait for a slot and could not finish any more if
 * they got one now, so that their clients can try another gateway.
 */
void
ggw_requests_refuse_unfinishable(struct ggw_proxy *proxy)
{
    g_autoptr(GList) waiting = g_hash_table_get_values(proxy->slot_waits);

    for (GList *l = waiting; l != NULL; l = l->next) {
        struct ggw_request *r = l->data;

        if (r->attempts[0] == NULL && !can_finish(r)) {
            ggw_request_stop_waiting(r);
            finish_leaving(r);
        }
    }
}

/* A customer's priority replaces that of the kind. */
static int
request_priority(const struct ggw_request *r)
{
    return r->customer != NULL &&
                   r->customer->priority != GGW_CUSTOMER_PRIORITY_UNSET
               ? r->customer->priority
               : r->kind->priority;
}

/*
 * Counts a decision on a repeat and remembers the budget that it has charged.
 */
static void
note_verdict(struct ggw_request *r, struct ggw_retry_budget *budget,
             enum ggw_retry_verdict verdict)
{
    bool hedges = budget == &r->service_state->hedges;

    if (verdict == GGW_RETRY) {
        r->charged = budget;
        r->charged_at = ggw_kernel_now(r->proxy->base.kernel);
        ggw_count(hedges ? "ggw_repeats_charged_total{budget=\"hedges\"}"
                         : "ggw_repeats_charged_total{budget=\"retries\"}");
    }
    else if (verdict == GGW_RETRY_BUDGET) {
        ggw_count(hedges ? "ggw_repeats_denied_total{budget=\"hedges\"}"
                         : "ggw_repeats_denied_total{budget=\"retries\"}");
    }
}

/*
 * Asks "slots" for a slot on a server that the request has not tried yet. The
 * owner of the slots treats a hedge differently only where the settings limit
 * the slot time of hedges.
 */
static void
request_slot(struct ggw_request *r, bool hedge)
{
    struct ggw_proxy *proxy = r->proxy;
    struct ggw_message *m = ggw_slot_request_new(
        r->tree->team, r->rule->name, request_priority(r), r->retry.deadline,
        r->tried->len > 1 ? (char **)r->tried->pdata : NULL);
    struct ggw_slot_request *slot = (struct ggw_slot_request *)m;

    slot->cross_domain_cost = ggw_request_cross_domain_cost(r);
    slot->target = r->target_at;
    slot->once = r->kind->idempotency != GGW_IDEMPOTENT;
    slot->median_latency = r->kind_state->latency_estimate.p50;
    slot->customer = r->customer != NULL ? g_strdup(r->customer->name) : NULL;
    slot->route = g_strdup(r->kind->name);
    slot->hedge = hedge && r->rule->hedge_work_percent > 0;
    r->awaits_hedge = slot->hedge;
    r->slot_tag = ++proxy->next_id;
    r->slot_requested = ggw_kernel_now(proxy->base.kernel);
    m->tag = r->slot_tag;
    g_hash_table_insert(proxy->slot_waits, &r->slot_tag, r);
    ggw_kernel_send(proxy->base.kernel, "slots", &proxy->base, m);
}

/* Requests a slot for a second attempt if the first has no response head. */
static void
hedge_cb(uv_timer_t *timer)
{
    struct ggw_request *r = timer->data;
    ggw_ms now = ggw_kernel_now(r->proxy->base.kernel);
    struct ggw_attempt *first = r->attempts[0];
    enum ggw_retry_verdict verdict;

    if (first == NULL || first->has_head || r->attempts[1] != NULL ||
        r->slot_tag != 0) {
        return;
    }
    verdict = ggw_hedge_decide(&r->service_state->hedges, &r->retry,
                               ggw_call_latency(first->call),
                               &r->kind_state->latency_estimate, now);
    note_verdict(r, &r->service_state->hedges, verdict);
    if (verdict != GGW_RETRY) {
        return;
    }
    ggw_count("ggw_hedges_total");
    ggw_proxy_log_hedge(r, now - r->received);
    request_slot(r, true);
}

/* Calls hedge_cb() after @delay ms; INFINITY: never. */
static void
schedule_hedge(struct ggw_request *r, ggw_ms delay)
{
    if (isfinite(delay)) {
        /* uv timers have a resolution of 1 ms and must not fire early. */
        uv_timer_start(&r->hedge_timer, hedge_cb, (uint64_t)ceil(delay) + 1,
                       0);
    }
}

/* Gives back a slot that came too late for the request. */
static void
return_slot(struct ggw_request *r, const struct ggw_slot_grant *grant)
{
    struct ggw_proxy *proxy = r->proxy;

    ggw_kernel_send(
        proxy->base.kernel, "slots", &proxy->base,
        ggw_slot_release_new(grant->grant, GGW_ATTEMPT_UNUSED, 0, NULL));
    refund_repeat(r);
    if (r->attempts[0] != NULL) {
        return;
    }
    if (can_finish(r)) {
        finish(r, 503, "too-late", SHED_RETRY_MS);
    }
    else {
        finish_leaving(r);
    }
}

/* Handles SLOT_GRANT: starts an attempt and schedules a hedge. */
void
ggw_request_granted(struct ggw_request *r, const struct ggw_slot_grant *grant)
{
    struct ggw_proxy *proxy = r->proxy;
    ggw_ms now = ggw_kernel_now(proxy->base.kernel);

    g_hash_table_remove(proxy->slot_waits, &r->slot_tag);
    r->slot_tag = 0;
    ggw_histogram_add(proxy->slot_wait, now - r->slot_requested);
    ggw_proxy_log_granted(r, grant, now - r->slot_requested);
    if (now >= r->retry.deadline ||
        (r->attempts[0] == NULL && !can_finish(r))) {
        return_slot(r, grant);
        return;
    }
    if (r->retry.attempts == 0 && r->target_at > now) {
        r->retry.target_in = r->target_at - now;
    }
    if (r->charged != NULL) {
        ggw_count("ggw_repeats_sent_total");
        ggw_retry_budget_sent(r->charged, r->charged_at, now);
        r->charged = NULL;
    }
    ggw_attempt_start(r, grant);
    if (r->attempts[0] == NULL || r->attempts[1] != NULL) {
        return;
    }
    schedule_hedge(
        r, ggw_hedge_delay(&r->retry, &r->kind_state->latency_estimate));
}

/* Handles SLOT_REFUSE: ends the request unless an attempt is in progress. */
void
ggw_request_refused(struct ggw_request *r,
                    const struct ggw_slot_refuse *refuse)
{
    static const char *const reasons[] = {
        [GGW_SLOT_NO_SERVER] = "no-server",
        [GGW_SLOT_QUEUE_FULL] = "queue-full",
        [GGW_SLOT_TOO_LATE] = "too-late",
        [GGW_SLOT_DISPLACED] = "displaced",
        [GGW_SLOT_HEDGE_BUSY] = "hedge-busy",
        [GGW_SLOT_HEDGE_WORK] = "hedge-work",
        [GGW_SLOT_HEDGE_SERVER] = "hedge-server",
    };
    static const char *const hedge_counters[] = {
        [GGW_SLOT_NO_SERVER] = "ggw_hedges_refused_other_total",
        [GGW_SLOT_QUEUE_FULL] = "ggw_hedges_refused_other_total",
        [GGW_SLOT_TOO_LATE] = "ggw_hedges_refused_other_total",
        [GGW_SLOT_DISPLACED] = "ggw_hedges_refused_other_total",
        [GGW_SLOT_HEDGE_BUSY] = "ggw_hedges_refused_busy_total",
        [GGW_SLOT_HEDGE_WORK] = "ggw_hedges_refused_work_total",
        [GGW_SLOT_HEDGE_SERVER] = "ggw_hedges_refused_server_total",
    };

    g_hash_table_remove(r->proxy->slot_waits, &r->slot_tag);
    r->slot_tag = 0;
    ggw_proxy_log_no_slot(r, refuse);
    refund_repeat(r);
    if (r->awaits_hedge) {
        ggw_count(hedge_counters[refuse->reason]);
        schedule_hedge(r,
                       ggw_hedge_ask_again(++r->hedge_refusals,
                                           &r->kind_state->latency_estimate));
    }
    if (r->attempts[0] != NULL || r->attempts[1] != NULL) {
        return; /* no slot for a hedge; the first attempt continues */
    }
    if (refuse->reason == GGW_SLOT_NO_SERVER) {
        r->no_server_retry_after = refuse->retry_after;
    }
    finish(r, 503, reasons[refuse->reason], MAX(refuse->retry_after, 1));
}

/*
 * Decides whether to send an attempt beside one that continues, and charges
 * the retry budget if so. A retry of a routed request may also use the hedge
 * budget, since a retry matters more than a hedge.
 */
static enum ggw_retry_verdict
decide_second_attempt(struct ggw_request *r, enum ggw_attempt_result result,
                      enum ggw_outcome outcome)
{
    ggw_ms now = ggw_kernel_now(r->proxy->base.kernel);
    struct ggw_retry_budget *budget = &r->service_state->retries;
    enum ggw_retry_verdict verdict =
        ggw_retry_decide(budget, &r->retry, result, outcome,
                         &r->kind_state->latency_estimate, now);

    if (verdict == GGW_RETRY_BUDGET && r->route != NULL) {
        budget = &r->service_state->hedges;
        verdict = ggw_retry_decide(budget, &r->retry, result, outcome,
                                   &r->kind_state->latency_estimate, now);
    }
    note_verdict(r, budget, verdict);
    return verdict;
}

/* The same for an attempt that replaces one which has ended or is given up. */
static enum ggw_retry_verdict
decide_retry(struct ggw_request *r, enum ggw_attempt_result result,
             enum ggw_outcome outcome)
{
    return can_finish(r) ? decide_second_attempt(r, result, outcome)
                         : GGW_RETRY_LATE;
}

/*
 * Handles an attempt that ended without a response for the client: retries, or
 * ends the request if no other attempt is in progress or awaits a slot.
 */
void
ggw_request_attempt_failed(struct ggw_request *r,
                           enum ggw_attempt_result result,
                           enum ggw_outcome outcome)
{
    ggw_ms now = ggw_kernel_now(r->proxy->base.kernel);
    enum ggw_retry_verdict verdict;

    if (outcome == GGW_OUTCOME_UNKNOWN) {
        r->unknown_status = result == GGW_ATTEMPT_SILENT ? 504 : 502;
    }
    if (r->attempts[0] == NULL && r->attempts[1] != NULL) {
        r->attempts[0] = r->attempts[1];
        r->attempts[1] = NULL;
    }
    if (r->attempts[0] != NULL) {
        return;
    }
    if (r->slot_tag != 0 && !r->awaits_hedge && now < r->retry.deadline) {
        return; /* the hedge that awaits a slot takes over */
    }
    /* A hedge that may be refused for want of spare slots becomes a retry. */
    ggw_request_stop_waiting(r);
    if (r->exchange == NULL) {
        finish(r, 503, "client-left", 0);
        return;
    }
    verdict = r->retry_granted ? GGW_RETRY : decide_retry(r, result, outcome);
    r->retry_granted = false;
    ggw_proxy_log_retry(r, result, verdict);
    if (verdict == GGW_RETRY) {
        ggw_count("ggw_retries_total");
        request_slot(r, false);
        return;
    }
    finish(r, 503, "shed", SHED_RETRY_MS);
}

/*
 * Handles a buffered error response of a server. Returns true if another
 * attempt is in progress, awaits a slot or has been charged to the budget, so
 * that its response can replace the error.
 */
bool
ggw_request_retry_error(struct ggw_request *r)
{
    if (r->kind->retry_errors == 0 || r->exchange == NULL ||
        r->kind->idempotency != GGW_IDEMPOTENT) {
        return false;
    }
    if (r->slot_tag != 0 ||
        (r->attempts[0] != NULL && r->attempts[1] != NULL)) {
        return true;
    }
    r->retry_granted =
        decide_retry(r, GGW_ATTEMPT_BROKEN, GGW_OUTCOME_UNKNOWN) == GGW_RETRY;
    return r->retry_granted;
}

/*
 * Handles a server that has not sent a response head in time. Returns true if
 * the attempt is to be abandoned, which happens only if another one may be
 * sent. Where responses are buffered, both attempts continue and the first
 * complete response is used, so that a server that is merely slow is not cut
 * off.
 */
bool
ggw_request_attempt_slow(struct ggw_request *r)
{
    if (r->exchange == NULL || r->slot_tag != 0 || r->attempts[1] != NULL) {
        return false;
    }
    if (r->kind->hold_bytes > 0) {
        if (decide_second_attempt(r, GGW_ATTEMPT_SILENT,
                                  GGW_OUTCOME_UNKNOWN) == GGW_RETRY) {
            request_slot(r, false);
        }
        return false;
    }
    r->retry_granted =
        decide_retry(r, GGW_ATTEMPT_SILENT, GGW_OUTCOME_UNKNOWN) == GGW_RETRY;
    return r->retry_granted;
}

/* Ends a request whose deadline passes while no attempt is in progress. */
static void
deadline_cb(uv_timer_t *timer)
{
    struct ggw_request *r = timer->data;

    if (r->attempts[0] != NULL || r->attempts[1] != NULL) {
        return; /* the timeout of the attempt ends the request */
    }
    if (r->allotment_tag != 0) {
        /* A permission that comes later is returned. */
        respond(r, 503, "too-late", GGW_OUTCOME_NOT_RUN, SHED_RETRY_MS);
        return;
    }
    if (r->claim_tag != 0) {
        /* If the claim is won later, ggw_request_claimed() settles it. */
        respond(r, 503, "claims-unavailable", GGW_OUTCOME_NOT_RUN,
                SHED_RETRY_MS);
        return;
    }
    ggw_request_stop_waiting(r);
    finish(r, 503, "too-late", SHED_RETRY_MS);
}

/* Handles CLAIM_RESULT: sends the order if this request won the claim. */
void
ggw_request_claimed(struct ggw_request *r,
                    const struct ggw_claim_result *result)
{
    struct ggw_exchange *x = r->exchange;
    char status[12];

    g_hash_table_remove(r->proxy->claim_waits, &r->claim_tag);
    r->claim_tag = 0;
    switch (result->state) {
    case GGW_CLAIM_WON:
        r->claim = result->claim;
        r->claimed = true;
        if (x == NULL) {
            finish(r, 503, "client-left", 0);
            return;
        }
        request_slot(r, false);
        return;
    case GGW_CLAIM_DONE:
        if (x != NULL) {
            h2o_iovec_t value;

            g_snprintf(status, sizeof(status), "%d", result->status);
            value = h2o_strdup(&x->req->pool, status, SIZE_MAX);
            h2o_add_header_by_str(&x->req->pool, &x->req->res.headers,
                                  H2O_STRLIT("greengageway-status"), 0, NULL,
                                  value.base, value.len);
            respond(r, 409, "already-run", GGW_OUTCOME_DONE, 0);
        }
        break;
    case GGW_CLAIM_TAKEN:
        if (x != NULL) {
            respond(r, 409, "claimed", GGW_OUTCOME_UNKNOWN, 0);
        }
        break;
    case GGW_CLAIM_UNAVAILABLE:
        if (x != NULL) {
            respond(r, 503, "claims-unavailable", GGW_OUTCOME_NOT_RUN,
                    SHED_RETRY_MS);
        }
        break;
    }
    return_permission(r);
    uv_timer_stop(&r->timer);
    ggw_request_free_if_unused(r);
}

static void
on_proceed(void *data)
{
    struct ggw_request *r = data;

    if (r->winner != NULL) {
        ggw_attempt_pump(r->winner);
    }
}

static enum ggw_attempt_stage
attempt_stage(const struct ggw_attempt *a)
{
    if (a == NULL) {
        return GGW_STAGE_NONE;
    }
    if (a->call == NULL || !ggw_call_is_sent(a->call)) {
        return GGW_STAGE_UNSENT;
    }
    return a->shed ? GGW_STAGE_SHED : GGW_STAGE_SENT;
}

/* What is known of the request if it ends now. */
static enum ggw_outcome
known_outcome(const struct ggw_request *r)
{
    const enum ggw_attempt_stage stages[] = {
        attempt_stage(r->attempts[0]),
        attempt_stage(r->attempts[1]),
    };

    return ggw_known_outcome(r->unknown_status != 0, stages,
                             G_N_ELEMENTS(stages));
}

/*
 * Ends a request that must not be repeated and whose client has disconnected.
 * If it was sent, it continues so that its result becomes known.
 */
static void
leave_order(struct ggw_request *r)
{
    if (r->attempts[0] != NULL && !r->attempts[0]->ended) {
        ggw_attempt_client_left(r->attempts[0]);
        return;
    }
    if (r->attempts[0] != NULL) {
        ggw_attempt_cancel(r->attempts[0]); /* already complete */
        ggw_request_free_if_unused(r);
        return;
    }
    if (r->claim_tag != 0 || r->allotment_tag != 0) {
        return;
    }
    ggw_request_stop_waiting(r);
    finish(r, 503, "client-left", 0);
}

/* Ends a request that may be repeated and whose client has disconnected. */
static void
cancel_request(struct ggw_request *r)
{
    if (!r->responded) {
        ggw_request_count_outcome(r, GGW_OUTCOME_UNKNOWN, "client-left");
    }
    ggw_request_stop_waiting(r);
    uv_timer_stop(&r->timer);
    if (known_outcome(r) == GGW_OUTCOME_NOT_RUN) {
        return_permission(r);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(r->attempts); i++) {
        if (r->attempts[i] != NULL) {
            ggw_attempt_cancel(r->attempts[i]);
        }
    }
    ggw_request_free_if_unused(r);
}

/* Handles the end of the exchange before its response is complete. */
static enum ggw_outcome
on_disconnected(void *data, enum ggw_exchange_end end)
{
    struct ggw_request *r = data;
    enum ggw_outcome outcome = known_outcome(r);

    r->exchange = NULL;
    ggw_proxy_log_disconnected(r, end, outcome);
    ggw_count(end == GGW_EXCHANGE_STOPPING ? "ggw_requests_cut_total"
                                           : "ggw_clients_left_total");
    if (r->kind->idempotency != GGW_IDEMPOTENT) {
        leave_order(r);
    }
    else {
        cancel_request(r);
    }
    return outcome;
}

static const struct ggw_exchange_ops exchange_ops = {
    .proceed = on_proceed,
    .disconnected = on_disconnected,
};

/*
 * Creates the request for @x; ggw_request_start() begins to process it.
 * @path: path and query for the backend server
 */
struct ggw_request *
ggw_request_new(struct ggw_proxy *proxy, struct ggw_exchange *x,
                struct ggw_tree *tree, const struct ggw_service_rule *rule,
                const struct ggw_kind *kind, const char *path)
{
    struct ggw_request *r = g_new0(struct ggw_request, 1);
    const h2o_req_t *req = x->req;
    ggw_ms now = ggw_kernel_now(proxy->base.kernel);

    proxy->requests++;
    g_hash_table_add(proxy->live, r);
    r->proxy = proxy;
    r->exchange = x;
    r->id = ++proxy->next_id;
    r->received = now;
    r->tree = ggw_tree_ref(tree);
    r->rule = rule;
    r->kind = kind;
    r->service_state = ggw_proxy_service_state(proxy, tree, rule, now);
    r->kind_state = ggw_proxy_kind_state(r->service_state, tree, rule, kind);
    r->method = g_strndup(req->input.method.base, req->input.method.len);
    r->path = g_strdup(path);
    r->headers = ggw_headers_build_request(req, proxy->options.dialect,
                                           tree->needs_key);
    if (req->entity.len > 0) {
        /* A copy, since the request may outlive the client's connection. */
        r->body = g_bytes_new(req->entity.base, req->entity.len);
    }
    r->tried = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(r->tried, NULL);
    uv_timer_init(ggw_kernel_loop(proxy->base.kernel), &r->timer);
    uv_timer_init(ggw_kernel_loop(proxy->base.kernel), &r->hedge_timer);
    r->timer.data = r;
    r->hedge_timer.data = r;
    r->retry.idempotency = kind->idempotency;
    r->retry.max_attempts = kind->attempts;
    r->target_at = kind->target > 0 ? now + kind->target : 0;
    ggw_exchange_attach(x, &exchange_ops, r);
    return r;
}

/* Asks "claims" for the claim on the order. */
static void
claim_order(struct ggw_request *r)
{
    struct ggw_proxy *proxy = r->proxy;
    struct ggw_message *m = ggw_claim_request_new(r->tree->team, r->rule->name,
                                                  r->order, r->retry.deadline);

    r->claim_tag = ++proxy->next_id;
    m->tag = r->claim_tag;
    g_hash_table_insert(proxy->claim_waits, &r->claim_tag, r);
    ggw_kernel_send(proxy->base.kernel, "claims", &proxy->base, m);
}

/* Asks "allotments" for permission to process the request. */
static void
ask_permission(struct ggw_request *r)
{
    struct ggw_proxy *proxy = r->proxy;
    struct ggw_message *m = ggw_allotment_request_new(
        r->tree->team, r->customer->name, r->retry.deadline);

    r->allotment_tag = ++proxy->next_id;
    m->tag = r->allotment_tag;
    g_hash_table_insert(proxy->allotment_waits, &r->allotment_tag, r);
    ggw_kernel_send(proxy->base.kernel, "allotments", &proxy->base, m);
}

/* Claims the order, or requests a slot. */
static void
proceed(struct ggw_request *r)
{
    if (r->order != NULL) {
        claim_order(r);
    }
    else {
        request_slot(r, false);
    }
}

/* Handles ALLOTMENT_RESULT: processes the request or refuses it. */
void
ggw_request_allotted(struct ggw_request *r,
                     const struct ggw_allotment_result *result)
{
    ggw_ms now = ggw_kernel_now(r->proxy->base.kernel);

    g_hash_table_remove(r->proxy->allotment_waits, &r->allotment_tag);
    r->allotment_tag = 0;
    if (!result->permitted) {
        if (r->exchange != NULL) {
            ggw_proxy_log_over_allotment(r, result);
        }
        uv_timer_stop(&r->timer);
        respond(r, 429, "allotment", GGW_OUTCOME_NOT_RUN,
                MAX(result->retry_after, 1));
        ggw_request_free_if_unused(r);
        return;
    }
    r->permitted_at = now;
    if (r->exchange == NULL || now >= r->retry.deadline) {
        finish(r, 503, "too-late", SHED_RETRY_MS);
    }
    else if (!can_finish(r)) {
        finish_leaving(r);
    }
    else {
        proceed(r);
    }
}

/*
 * Starts to process a request: asks for permission if its customer has a rate,
 * then claims its order or requests a slot. Refuses it if it cannot finish
 * before the gateway stops.
 * @deadline: monotonic ms
 */
void
ggw_request_start(struct ggw_request *r, ggw_ms deadline)
{
    ggw_ms now = ggw_kernel_now(r->proxy->base.kernel);

    r->retry.deadline = deadline;
    if (!can_finish(r)) {
        finish_leaving(r);
        return;
    }
    ggw_retry_budget_count_call(&r->service_state->retries,
                                r->retry.prior_retries, now);
    ggw_retry_budget_count_call(&r->service_state->hedges,
                                r->retry.prior_retries, now);
    uv_timer_start(&r->timer, deadline_cb, (uint64_t)ceil(deadline - now), 0);
    if (r->customer != NULL && r->customer->rate > 0) {
        ask_permission(r);
    }
    else {
        proceed(r);
    }
}
