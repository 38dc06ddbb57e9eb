#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/metrics.h"
#include "proxy/events.h"
#include "proxy/headers.h"
#include "proxy/route.h"
#include "proxy/state.h"

/* Suggested to a client whose attempts were all shed. */
#define SHED_RETRY_MS 1000

/*
 * The servers of routed requests shed at random too, and the client's target
 * counts from its first attempt.
 */
#define ROUTED_SHED_RETRY_MS 50

/* Part of the spare repeats that is for retries; the rest is for hedges. */
#define RETRY_PART 0.3

static void
handle_closed(uv_handle_t *handle)
{
    struct ggw_request *r = handle->data;

    /* The second of the two timers to close frees the request. */
    if (!r->closing) {
        r->closing = true;
        return;
    }
    ggw_tree_unref(r->tree);
    g_free(r->method);
    g_free(r->path);
    g_free(r->order);
    g_free(r->client_id);
    g_free(r->body.base);
    if (r->headers != NULL) {
        g_string_free(r->headers, TRUE);
    }
    g_ptr_array_free(r->tried, TRUE);
    g_free(r);
}

/* Frees the request once nothing refers to it any more. */
void
ggw_request_done(struct ggw_request *r)
{
    if (r->x != NULL || r->slot_tag != 0 || r->claim_tag != 0 ||
        r->attempts[0] != NULL || r->attempts[1] != NULL ||
        uv_is_closing((uv_handle_t *)&r->timer)) {
        return;
    }
    g_hash_table_remove(r->proxy->live, r);
    r->proxy->requests--;
    uv_close((uv_handle_t *)&r->timer, handle_closed);
    uv_close((uv_handle_t *)&r->hedge_timer, handle_closed);
}

/* Drops what is left when the kernel stops; no message is delivered now. */
void
ggw_requests_abandon(struct ggw_proxy *proxy)
{
    g_autoptr(GList) live = g_hash_table_get_keys(proxy->live);

    for (GList *l = live; l != NULL; l = l->next) {
        struct ggw_request *r = l->data;

        if (r->x != NULL) {
            ggw_exchange_attach(r->x, NULL, NULL);
            r->x = NULL;
        }
        r->slot_tag = 0;
        r->claim_tag = 0;
        for (size_t i = 0; i < G_N_ELEMENTS(r->attempts); i++) {
            if (r->attempts[i] != NULL) {
                ggw_attempt_cancel(r->attempts[i]);
            }
        }
        ggw_request_done(r);
    }
}

void
ggw_request_count(struct ggw_request *r, enum ggw_outcome outcome,
                  const char *reason)
{
    g_autofree char *name = NULL;

    r->responded = true;
    name =
        g_strdup_printf("ggw_requests_total{%s,outcome=\"%s\",reason=\"%s\"}",
                        r->metrics->labels, ggw_outcome_name(outcome), reason);

    ggw_count(name);
    ggw_histogram_add(r->metrics->latency,
                      ggw_kernel_now(r->proxy->base.kernel) - r->received);
}

/* Clients wait for at most this part of the time that they have left. */
#define RETRY_AFTER_PART 3

static ggw_ms
bound_retry_after(const struct ggw_request *r, ggw_ms retry_after)
{
    ggw_ms now = ggw_kernel_now(r->proxy->base.kernel);

    if (r->client_deadline == 0) {
        return retry_after;
    }
    return MAX(MIN(retry_after, (r->client_deadline - now) / RETRY_AFTER_PART),
               0);
}

static void
respond(struct ggw_request *r, int status, const char *reason,
        enum ggw_outcome outcome, ggw_ms retry_after)
{
    struct ggw_exchange *x = r->x;

    if (!r->responded) {
        ggw_request_count(r, outcome, reason);
    }
    if (x != NULL) {
        ggw_exchange_attach(x, NULL, NULL);
        r->x = NULL;
        retry_after = bound_retry_after(r, retry_after);
        ggw_proxy_log_refused(r, status, reason, outcome, retry_after);
        ggw_exchange_refuse(x, status, reason, outcome, retry_after);
    }
}

void
ggw_request_settle(struct ggw_request *r, enum ggw_claim_outcome end,
                   int status)
{
    struct ggw_proxy *proxy = r->proxy;

    if (!r->claimed) {
        return;
    }
    r->claimed = false;
    proxy->settled = ggw_kernel_now(proxy->base.kernel);
    ggw_kernel_send(proxy->base.kernel, "claims", &proxy->base,
                    ggw_claim_settle_new(r->claim, end, status));
}

/* Stops waiting for a slot, if it does. */
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
}

/*
 * Ends a request that got no response. What is known of its attempts decides:
 * one that may have run outweighs all that did not.
 */
static void
finish(struct ggw_request *r, int status, const char *reason,
       ggw_ms retry_after)
{
    uv_timer_stop(&r->timer);
    if (r->unknown_status != 0) {
        ggw_request_settle(r, GGW_CLAIM_OUTCOME_UNKNOWN, 0);
        respond(r, r->unknown_status,
                r->unknown_status == 504 ? "timeout" : "broken", GGW_UNKNOWN,
                0);
    }
    else {
        ggw_request_settle(r, GGW_CLAIM_OUTCOME_NOT_RUN, 0);
        if (r->retry.attempts > 0) {
            status = 503;
            reason = "shed";
            retry_after = r->route != NULL ? ROUTED_SHED_RETRY_MS
                                           : MAX(retry_after, SHED_RETRY_MS);
        }
        respond(r, status, reason, GGW_NOT_RUN, retry_after);
    }
    ggw_request_done(r);
}

static void
ask_slot(struct ggw_request *r)
{
    struct ggw_proxy *proxy = r->proxy;
    struct ggw_message *m = ggw_slot_request_new(
        r->tree->team, r->rule->name, r->kind->priority, r->retry.deadline,
        r->tried->len > 1 ? (char **)r->tried->pdata : NULL);
    struct ggw_slot_request *slot = (struct ggw_slot_request *)m;

    slot->cross_domain_cost = ggw_request_far_cost(r);
    slot->target = r->target_at;
    slot->median_latency = r->metrics->usual.p50;
    r->slot_tag = ++proxy->next_id;
    r->slot_asked = ggw_kernel_now(proxy->base.kernel);
    m->tag = r->slot_tag;
    g_hash_table_insert(proxy->slot_waits, &r->slot_tag, r);
    ggw_kernel_send(proxy->base.kernel, "slots", &proxy->base, m);
}

static void
hedge_cb(uv_timer_t *timer)
{
    struct ggw_request *r = timer->data;
    ggw_ms now = ggw_kernel_now(r->proxy->base.kernel);
    struct ggw_attempt *first = r->attempts[0];

    if (first == NULL || first->has_head || r->attempts[1] != NULL ||
        r->slot_tag != 0 ||
        ggw_hedge_decide(&r->target->hedges, &r->retry,
                         ggw_call_latency(first->call), &r->metrics->usual,
                         now) != GGW_RETRY) {
        return;
    }
    ggw_count("ggw_hedges_total");
    ggw_proxy_log_hedge(r, now - r->received);
    ask_slot(r);
}

void
ggw_request_granted(struct ggw_request *r, const struct ggw_slot_grant *grant)
{
    struct ggw_proxy *proxy = r->proxy;
    ggw_ms now = ggw_kernel_now(proxy->base.kernel);
    ggw_ms delay;

    g_hash_table_remove(proxy->slot_waits, &r->slot_tag);
    r->slot_tag = 0;
    ggw_histogram_add(proxy->slot_wait, now - r->slot_asked);
    ggw_proxy_log_granted(r, grant, now - r->slot_asked);
    if (now >= r->retry.deadline) {
        ggw_kernel_send(
            proxy->base.kernel, "slots", &proxy->base,
            ggw_slot_release_new(grant->grant, GGW_ATTEMPT_UNUSED, 0, NULL));
        if (r->attempts[0] == NULL) {
            finish(r, 503, "too-late", SHED_RETRY_MS);
        }
        return;
    }
    if (r->retry.attempts == 0 && r->target_at > now) {
        r->retry.target_in = r->target_at - now;
    }
    ggw_attempt_start(r, grant);
    if (r->attempts[0] == NULL || r->attempts[1] != NULL) {
        return;
    }
    delay = ggw_hedge_delay(&r->retry, &r->metrics->usual);
    if (isfinite(delay)) {
        /* The timer counts whole ms and must not fire early. */
        uv_timer_start(&r->hedge_timer, hedge_cb, (uint64_t)ceil(delay) + 1,
                       0);
    }
}

void
ggw_request_refused(struct ggw_request *r,
                    const struct ggw_slot_refuse *refuse)
{
    static const char *const reasons[] = {
        [GGW_SLOT_NO_SERVER] = "no-server",
        [GGW_SLOT_QUEUE_FULL] = "queue-full",
        [GGW_SLOT_TOO_LATE] = "too-late",
        [GGW_SLOT_DISPLACED] = "displaced",
    };

    g_hash_table_remove(r->proxy->slot_waits, &r->slot_tag);
    r->slot_tag = 0;
    ggw_proxy_log_no_slot(r, refuse);
    if (r->attempts[0] != NULL || r->attempts[1] != NULL) {
        return; /* there is no slot for a hedge; the first goes on */
    }
    finish(r, 503, reasons[refuse->reason], MAX(refuse->retry_after, 1));
}

/*
 * Whether to send another attempt; charges a budget. Routed requests share
 * one budget between retries and hedges, and a retry needs it more.
 */
static enum ggw_retry_verdict
decide_retry(struct ggw_request *r, enum ggw_attempt_result result,
             enum ggw_outcome outcome)
{
    ggw_ms now = ggw_kernel_now(r->proxy->base.kernel);
    enum ggw_retry_verdict verdict =
        ggw_retry_decide(&r->target->retries, &r->retry, result, outcome,
                         &r->metrics->usual, now);

    if (verdict == GGW_RETRY_BUDGET && r->route != NULL) {
        verdict = ggw_retry_decide(&r->target->hedges, &r->retry, result,
                                   outcome, &r->metrics->usual, now);
    }
    return verdict;
}

void
ggw_request_attempt_failed(struct ggw_request *r,
                           enum ggw_attempt_result result,
                           enum ggw_outcome outcome)
{
    ggw_ms now = ggw_kernel_now(r->proxy->base.kernel);
    enum ggw_retry_verdict verdict;

    if (outcome == GGW_UNKNOWN) {
        r->unknown_status = result == GGW_ATTEMPT_SILENT ? 504 : 502;
    }
    if (r->attempts[0] == NULL && r->attempts[1] != NULL) {
        r->attempts[0] = r->attempts[1];
        r->attempts[1] = NULL;
    }
    if (r->attempts[0] != NULL) {
        return;
    }
    if (r->slot_tag != 0 && now < r->retry.deadline) {
        return; /* the hedge that waits for a slot takes over */
    }
    ggw_request_stop_waiting(r);
    if (r->x == NULL) {
        finish(r, 503, "client-left", 0);
        return;
    }
    verdict = r->retry_granted ? GGW_RETRY : decide_retry(r, result, outcome);
    r->retry_granted = false;
    ggw_proxy_log_retry(r, result, verdict);
    if (verdict == GGW_RETRY) {
        ggw_count("ggw_retries_total");
        ask_slot(r);
        return;
    }
    finish(r, 503, "shed", SHED_RETRY_MS);
}

/*
 * A server answered with an error. Returns whether another attempt runs, or
 * may run, whose response can replace it.
 */
bool
ggw_request_retry_error(struct ggw_request *r)
{
    if (r->kind->retry_errors == 0 || r->x == NULL ||
        r->kind->idempotency != GGW_IDEMPOTENT) {
        return false;
    }
    if (r->slot_tag != 0 ||
        (r->attempts[0] != NULL && r->attempts[1] != NULL)) {
        return true;
    }
    r->retry_granted =
        decide_retry(r, GGW_ATTEMPT_BROKEN, GGW_UNKNOWN) == GGW_RETRY;
    return r->retry_granted;
}

/*
 * A server has not responded for a while. Returns whether to give it up,
 * which is done only if another one may be tried. Where responses are kept
 * until they are whole, both go on and the first whole one counts: a server
 * that is only slow is not cut off.
 */
bool
ggw_request_attempt_slow(struct ggw_request *r)
{
    bool retry;

    if (r->x == NULL || r->slot_tag != 0 || r->attempts[1] != NULL) {
        return false;
    }
    retry = decide_retry(r, GGW_ATTEMPT_SILENT, GGW_UNKNOWN) == GGW_RETRY;
    if (retry && r->kind->hold_bytes > 0) {
        ask_slot(r);
        return false;
    }
    r->retry_granted = retry;
    return retry;
}

static void
deadline_cb(uv_timer_t *timer)
{
    struct ggw_request *r = timer->data;

    if (r->attempts[0] != NULL || r->attempts[1] != NULL) {
        return; /* its own timeout ends it */
    }
    if (r->claim_tag != 0) {
        /* A claim that is won later is settled when the answer arrives. */
        respond(r, 503, "claims-unavailable", GGW_NOT_RUN, SHED_RETRY_MS);
        return;
    }
    ggw_request_stop_waiting(r);
    finish(r, 503, "too-late", SHED_RETRY_MS);
}

void
ggw_request_claimed(struct ggw_request *r,
                    const struct ggw_claim_result *result)
{
    struct ggw_exchange *x = r->x;
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
        ask_slot(r);
        return;
    case GGW_CLAIM_DONE:
        if (x != NULL) {
            h2o_iovec_t value;

            g_snprintf(status, sizeof(status), "%d", result->status);
            value = h2o_strdup(&x->req->pool, status, SIZE_MAX);
            h2o_add_header_by_str(&x->req->pool, &x->req->res.headers,
                                  H2O_STRLIT("greengageway-status"), 0, NULL,
                                  value.base, value.len);
            respond(r, 409, "already-run", GGW_DONE, 0);
        }
        break;
    case GGW_CLAIM_TAKEN:
        if (x != NULL) {
            respond(r, 409, "claimed", GGW_UNKNOWN, 0);
        }
        break;
    case GGW_CLAIM_UNAVAILABLE:
        if (x != NULL) {
            respond(r, 503, "claims-unavailable", GGW_NOT_RUN, SHED_RETRY_MS);
        }
        break;
    }
    uv_timer_stop(&r->timer);
    ggw_request_done(r);
}

static void
on_proceed(void *data)
{
    struct ggw_request *r = data;

    if (r->winner != NULL) {
        ggw_attempt_pump(r->winner);
    }
}

/*
 * The client has left. An order that was sent goes on, so that its result is
 * known; everything else is cancelled.
 */
static void
on_gone(void *data)
{
    struct ggw_request *r = data;

    r->x = NULL;
    ggw_proxy_log_client_left(r);
    ggw_count("ggw_clients_left_total");
    if (r->kind->idempotency != GGW_IDEMPOTENT) {
        if (r->attempts[0] != NULL && !r->attempts[0]->ended) {
            ggw_attempt_pump(r->attempts[0]);
            return;
        }
        if (r->attempts[0] != NULL) {
            ggw_attempt_cancel(r->attempts[0]); /* all has arrived */
            ggw_request_done(r);
            return;
        }
        if (r->claim_tag != 0) {
            return;
        }
        ggw_request_stop_waiting(r);
        finish(r, 503, "client-left", 0);
        return;
    }
    if (!r->responded) {
        ggw_request_count(r, GGW_UNKNOWN, "client-left");
    }
    ggw_request_stop_waiting(r);
    uv_timer_stop(&r->timer);
    for (size_t i = 0; i < G_N_ELEMENTS(r->attempts); i++) {
        if (r->attempts[i] != NULL) {
            ggw_attempt_cancel(r->attempts[i]);
        }
    }
    ggw_request_done(r);
}

static const struct ggw_exchange_ops exchange_ops = {
    .proceed = on_proceed,
    .disconnected = on_gone,
};

/* Gateways that share a budget; those that died may still be counted. */
static int
gateways(const struct ggw_proxy *proxy)
{
    return proxy->members != NULL ? MAX((int)proxy->members->members->len, 1)
                                  : 1;
}

static struct ggw_proxy_target *
target_of(struct ggw_proxy *proxy, const struct ggw_tree *tree,
          const struct ggw_service_rule *rule, ggw_ms now)
{
    g_autofree char *key = g_strdup_printf("%s/%s", tree->team, rule->name);
    struct ggw_proxy_target *t = g_hash_table_lookup(proxy->targets, key);
    double spare;

    if (t == NULL) {
        t = g_new0(struct ggw_proxy_target, 1);
        ggw_retry_budget_init(&t->retries, rule->retry_percent, now);
        ggw_retry_budget_init(&t->hedges, rule->hedge_percent, now);
        t->kinds = ggw_proxy_kinds_new();
        g_hash_table_insert(proxy->targets, g_strdup(key), t);
    }
    ggw_retry_budget_set_percent(&t->retries, rule->retry_percent);
    ggw_retry_budget_set_percent(&t->hedges, rule->hedge_percent);
    spare = (double)rule->spare_retries / gateways(proxy);
    ggw_retry_budget_set_spare(&t->retries, RETRY_PART * spare);
    ggw_retry_budget_set_spare(&t->hedges, (1 - RETRY_PART) * spare);
    return t;
}

static struct ggw_proxy_kind *
kind_of(struct ggw_proxy_target *t, const struct ggw_tree *tree,
        const struct ggw_service_rule *rule, const struct ggw_kind *kind)
{
    struct ggw_proxy_kind *k = g_hash_table_lookup(t->kinds, kind->name);
    g_autofree char *name = NULL;

    if (k != NULL) {
        return k;
    }
    k = g_new0(struct ggw_proxy_kind, 1);
    k->labels = g_strdup_printf("team=\"%s\",service=\"%s\",kind=\"%s\"",
                                tree->team, rule->name, kind->name);
    name = g_strdup_printf("ggw_request_ms{%s}", k->labels);
    k->latency = ggw_metric_histogram(name);
    g_hash_table_insert(t->kinds, g_strdup(kind->name), k);
    return k;
}

/**
 * struct found - what the settings say about a request
 */
struct found {
    struct ggw_tree *tree;
    const struct ggw_service_rule *rule;
    const struct ggw_kind *kind;
};

/* Returns the reason of a refusal, or NULL. */
static const char *
look_up(struct ggw_proxy *proxy, const struct ggw_route *route,
        const char *method, struct found *f)
{
    if (g_hash_table_size(proxy->teams) == 0) {
        return "no-configuration";
    }
    if (route->team == NULL || route->service == NULL) {
        return "no-route";
    }
    f->tree = g_hash_table_lookup(proxy->teams, route->team);
    f->rule =
        f->tree != NULL ? ggw_tree_service(f->tree, route->service) : NULL;
    f->kind = f->rule != NULL ? ggw_service_kind(f->rule, method, route->plain)
                              : NULL;
    return f->kind != NULL ? NULL : "no-route";
}

/* Parses a header that holds a whole number; absent is @value unchanged. */
static bool
number_header(const h2o_req_t *req, const char *name, double max,
              double *value)
{
    g_autofree char *text = ggw_headers_find(req, name);
    char *end;
    double parsed;

    if (text == NULL) {
        return true;
    }
    if (!g_ascii_isdigit(*text)) {
        return false;
    }
    parsed = (double)g_ascii_strtoull(text, &end, 10);
    if (*end != '\0' || parsed > max) {
        return false;
    }
    *value = parsed;
    return true;
}

void
ggw_request_refuse(struct ggw_exchange *x, int status, const char *reason,
                   ggw_ms retry_after)
{
    g_autofree char *name = g_strdup_printf(
        "ggw_requests_total{outcome=\"not-run\",reason=\"%s\"}", reason);

    ggw_count(name);
    ggw_exchange_refuse(x, status, reason, GGW_NOT_RUN, retry_after);
}

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
    r->x = x;
    r->id = ++proxy->next_id;
    r->received = now;
    r->tree = ggw_tree_ref(tree);
    r->rule = rule;
    r->kind = kind;
    r->target = target_of(proxy, tree, rule, now);
    r->metrics = kind_of(r->target, tree, rule, kind);
    r->method = g_strndup(req->input.method.base, req->input.method.len);
    r->path = g_strdup(path);
    r->headers = ggw_headers_forward(req, proxy->options.dialect);
    if (req->entity.len > 0) {
        /* Outlives the client's connection if that breaks. */
        r->body.base = g_memdup2(req->entity.base, req->entity.len);
        r->body.len = req->entity.len;
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

static void
claim(struct ggw_request *r)
{
    struct ggw_proxy *proxy = r->proxy;
    struct ggw_message *m = ggw_claim_request_new(r->tree->team, r->rule->name,
                                                  r->order, r->retry.deadline);

    r->claim_tag = ++proxy->next_id;
    m->tag = r->claim_tag;
    g_hash_table_insert(proxy->claim_waits, &r->claim_tag, r);
    ggw_kernel_send(proxy->base.kernel, "claims", &proxy->base, m);
}

/* Starts the work on a request that ends at @deadline, monotonic ms. */
void
ggw_request_start(struct ggw_request *r, ggw_ms deadline)
{
    ggw_ms now = ggw_kernel_now(r->proxy->base.kernel);

    r->retry.deadline = deadline;
    ggw_retry_budget_count_call(&r->target->retries, r->retry.prior_retries,
                                now);
    ggw_retry_budget_count_call(&r->target->hedges, r->retry.prior_retries,
                                now);
    uv_timer_start(&r->timer, deadline_cb, (uint64_t)ceil(deadline - now), 0);
    if (r->order != NULL) {
        claim(r);
    }
    else {
        ask_slot(r);
    }
}

static void
begin(struct ggw_proxy *proxy, struct ggw_exchange *x,
      const struct ggw_route *route)
{
    const h2o_req_t *req = x->req;
    g_autofree char *method =
        g_strndup(req->input.method.base, req->input.method.len);
    ggw_ms now = ggw_kernel_now(proxy->base.kernel);
    ggw_ms wall = ggw_clock_wall(ggw_kernel_clock(proxy->base.kernel));
    struct found f = {0};
    const char *reason = look_up(proxy, route, method, &f);
    g_autofree char *order = NULL;
    double deadline, prior_retries = 0;
    struct ggw_request *r;

    if (reason != NULL) {
        ggw_request_refuse(x, strcmp(reason, "no-route") == 0 ? 404 : 503,
                           reason, 0);
        return;
    }
    deadline = wall + f.kind->timeout;
    if (!number_header(req, "greengageway-deadline", 1e15, &deadline) ||
        !number_header(req, "greengageway-attempt", 1e6, &prior_retries)) {
        ggw_request_refuse(x, 400, "bad-request", 0);
        return;
    }
    deadline = MIN(deadline, wall + f.kind->timeout);
    if (deadline <= wall) {
        ggw_request_refuse(x, 503, "too-late", SHED_RETRY_MS);
        return;
    }
    if (f.kind->idempotency == GGW_AT_MOST_ONCE) {
        g_autofree char *header =
            f.kind->order_header != NULL
                ? ggw_headers_only(req, f.kind->order_header)
                : NULL;

        order = ggw_route_order(f.kind, route, header);
        if (order == NULL) {
            ggw_request_refuse(x, 400, "no-order", 0);
            return;
        }
    }
    r = ggw_request_new(proxy, x, f.tree, f.rule, f.kind, route->forward);
    r->order = g_steal_pointer(&order);
    r->wall_deadline = floor(deadline);
    r->retry.prior_retries = (int)prior_retries;
    ggw_request_start(r, now + (deadline - wall));
}

void
ggw_request_begin(struct ggw_proxy *proxy, struct ggw_exchange *x)
{
    const h2o_iovec_t *path = &x->req->input.path;
    const struct ggw_route_rule *rule;
    struct ggw_tree *tree;
    struct ggw_route route;

    x->retry_after_decimals = proxy->options.dialect->retry_after_decimals;
    rule = ggw_request_find_route(proxy, x->req, &tree);
    if (rule != NULL && proxy->leaving &&
        ggw_kernel_now(proxy->base.kernel) >= proxy->take_until) {
        ggw_request_refuse(x, 503, "leaving", ROUTED_SHED_RETRY_MS);
        return;
    }
    if (rule != NULL) {
        ggw_request_route(proxy, x, tree, rule);
        return;
    }
    if (path->len >= 3 && memcmp(path->base, "/-/", 3) == 0) {
        ggw_proxy_page(proxy, x);
        return;
    }
    if (ggw_route_parse(&route, path->base, path->len)) {
        begin(proxy, x, &route);
    }
    else {
        ggw_request_refuse(x, 400, "bad-request", 0);
    }
    ggw_route_clear(&route);
}
