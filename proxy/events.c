#include "proxy/events.h"

#include "common/log.h"

#define PART "proxy"

/* Limit for each event that a normal request logs, lines per second. */
#define ROUTINE_PER_S 100

/*
 * Limit for each event about a refusal or retry, lines per second. It is
 * higher because these are looked for first.
 */
#define IMPORTANT_PER_S 200

#define ROUTINE(type)                                                         \
    {                                                                         \
        .part = PART, .name = (type), .level = GGW_LOG_INFO,                  \
        .importance = GGW_LOG_ROUTINE, .max_per_s = ROUTINE_PER_S             \
    }
#define IMPORTANT(type)                                                       \
    {                                                                         \
        .part = PART, .name = (type), .level = GGW_LOG_INFO,                  \
        .importance = GGW_LOG_IMPORTANT, .max_per_s = IMPORTANT_PER_S         \
    }

static struct ggw_log_event granted = ROUTINE("granted");
static struct ggw_log_event no_slot = IMPORTANT("no_slot");
static struct ggw_log_event over_allotment = IMPORTANT("over_allotment");
static struct ggw_log_event attempt = ROUTINE("attempt");
static struct ggw_log_event hedge = ROUTINE("hedge");
static struct ggw_log_event hedge_won = ROUTINE("hedge_won");
static struct ggw_log_event retry = IMPORTANT("retry");
static struct ggw_log_event response = ROUTINE("response");
static struct ggw_log_event refused = IMPORTANT("refused");
static struct ggw_log_event key_refused = IMPORTANT("key_refused");
static struct ggw_log_event client_left = ROUTINE("client_left");
static struct ggw_log_event cut = IMPORTANT("cut");
static struct ggw_log_event truncated = IMPORTANT("truncated");
static struct ggw_log_event malformed_backoff = IMPORTANT("malformed_backoff");

struct request_id_text {
    char text[64];
};

static struct request_id_text
request_id(const struct ggw_request *r)
{
    struct request_id_text id;

    if (r->client_attempt_id != NULL) {
        g_strlcpy(id.text, r->client_attempt_id, sizeof(id.text));
    }
    else {
        g_snprintf(id.text, sizeof(id.text), "%s-%" G_GUINT64_FORMAT,
                   r->proxy->options.name, (guint64)r->id);
    }
    return id;
}

static ggw_ms
request_now(const struct ggw_request *r)
{
    return ggw_kernel_now(r->proxy->base.kernel);
}

void
ggw_proxy_log_granted(const struct ggw_request *r,
                      const struct ggw_slot_grant *grant, ggw_ms waited)
{
    ggw_log_event(&granted,
                  "id=%s kind=%s service=%s server=%s domain=%s attempt=%d "
                  "waited=%.1f age=%.1f left=%.1f",
                  request_id(r).text, r->kind->name, r->rule->name, grant->vm,
                  grant->failure_domain, r->retry.attempts + 1, waited,
                  request_now(r) - r->received,
                  r->retry.deadline - request_now(r));
}

void
ggw_proxy_log_no_slot(const struct ggw_request *r,
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

    ggw_log_event(&no_slot,
                  "id=%s kind=%s service=%s reason=%s waited=%.1f age=%.1f "
                  "left=%.1f retry_after=%.0f",
                  request_id(r).text, r->kind->name, r->rule->name,
                  reasons[refuse->reason], request_now(r) - r->slot_requested,
                  request_now(r) - r->received,
                  r->retry.deadline - request_now(r), refuse->retry_after);
}

void
ggw_proxy_log_over_allotment(const struct ggw_request *r,
                             const struct ggw_allotment_result *result)
{
    ggw_log_event(&over_allotment,
                  "id=%s kind=%s customer=%s rate=%.1f tokens=%.0f "
                  "grant_age=%.1f owner=%s age=%.1f retry_after=%.0f",
                  request_id(r).text, r->kind->name, r->customer->name,
                  r->customer->rate, result->tokens, result->grant_age,
                  result->owner != NULL ? result->owner : "-",
                  request_now(r) - r->received, result->retry_after);
}

void
ggw_proxy_log_attempt(const struct ggw_attempt *a, const char *result,
                      ggw_ms latency)
{
    const struct ggw_request *r = a->request;
    struct ggw_call_facts facts = {.fault = GGW_FAULT_NONE};

    if (a->call != NULL) {
        facts = ggw_call_facts(a->call);
    }
    ggw_log_event(
        &attempt,
        "id=%s service=%s server=%s result=%s status=%d "
        "latency=%.1f busy=%d slots=%d slow_percent=%d age=%.1f "
        "fault=%s framing=%s bytes=%zu carried=%u",
        request_id(r).text, r->rule->name, a->vm, result, a->status, latency,
        a->report.busy, a->report.slots, a->report.slow_percent,
        request_now(r) - r->received, ggw_call_fault_name(facts.fault),
        ggw_framing_name(facts.framing), facts.body_bytes, facts.carried);
}

void
ggw_proxy_log_hedge(const struct ggw_request *r, ggw_ms after)
{
    ggw_log_event(&hedge, "id=%s service=%s after=%.1f median=%.1f",
                  request_id(r).text, r->rule->name, after,
                  r->kind_state->latency_estimate.p50);
}

void
ggw_proxy_log_hedge_won(const struct ggw_request *r, const char *vm)
{
    ggw_log_event(&hedge_won, "id=%s service=%s server=%s age=%.1f",
                  request_id(r).text, r->rule->name, vm,
                  request_now(r) - r->received);
}

void
ggw_proxy_log_retry(const struct ggw_request *r,
                    enum ggw_attempt_result result,
                    enum ggw_retry_verdict verdict)
{
    ggw_log_event(&retry,
                  "id=%s service=%s result=%d verdict=%s attempts=%d "
                  "left=%.1f",
                  request_id(r).text, r->rule->name, (int)result,
                  ggw_retry_verdict_name(verdict), r->retry.attempts,
                  r->retry.deadline - request_now(r));
}

void
ggw_proxy_log_response(const struct ggw_request *r, int status)
{
    ggw_log_event(&response,
                  "id=%s kind=%s service=%s status=%d age=%.1f target=%.0f "
                  "attempts=%d",
                  request_id(r).text, r->kind->name, r->rule->name, status,
                  request_now(r) - r->received, r->kind->target,
                  r->retry.attempts);
}

void
ggw_proxy_log_truncated(const struct ggw_attempt *a, enum ggw_call_end end)
{
    const struct ggw_request *r = a->request;

    ggw_log_event(&truncated,
                  "id=%s service=%s server=%s status=%d end=%d "
                  "age=%.1f",
                  request_id(r).text, r->rule->name, a->vm, a->status,
                  (int)end, request_now(r) - r->received);
}

void
ggw_proxy_log_malformed_backoff(const char *vm, const char *request,
                                const struct ggw_backoff_notice *notice)
{
    ggw_log_event(&malformed_backoff,
                  "server=%s id=%s taken_as_leaving=%d taken_as_pause=%.0f",
                  vm, request, notice->leaving ? 1 : 0, notice->pause);
}

void
ggw_proxy_log_refused(const struct ggw_request *r, int status,
                      const char *reason, enum ggw_outcome outcome,
                      ggw_ms retry_after)
{
    ggw_log_event(&refused,
                  "id=%s kind=%s service=%s status=%d reason=%s outcome=%s "
                  "attempts=%d age=%.1f left=%.1f retry_after=%.0f",
                  request_id(r).text, r->kind->name, r->rule->name, status,
                  reason, ggw_outcome_name(outcome), r->retry.attempts,
                  request_now(r) - r->received,
                  r->retry.deadline - request_now(r), retry_after);
}

void
ggw_proxy_log_key_refused(const char *id, const char *route,
                          const char *reason, uint64_t revision)
{
    ggw_log_event(&key_refused,
                  "id=%.63s kind=%s customer=unknown status=401 reason=%s "
                  "revision=%" G_GUINT64_FORMAT,
                  id != NULL ? id : "-", route, reason, (guint64)revision);
}

void
ggw_proxy_log_disconnected(const struct ggw_request *r,
                           enum ggw_exchange_end end, enum ggw_outcome outcome)
{
    ggw_log_event(end == GGW_EXCHANGE_STOPPING ? &cut : &client_left,
                  "id=%s kind=%s service=%s outcome=%s attempts=%d age=%.1f",
                  request_id(r).text, r->kind->name, r->rule->name,
                  ggw_outcome_name(outcome), r->retry.attempts,
                  request_now(r) - r->received);
}
