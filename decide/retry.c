#include "decide/retry.h"

#include <glib.h>
#include <math.h>

/*
 * A quiet service may retry once in 10 s, and 10 times at once. Nothing is
 * granted in advance: with one token at the start, 15 nested hops reach 3
 * times the load in their first 15 calls.
 */
#define MIN_REFILL (1.0 / 10000)
#define MIN_BURST 10.0

/* ms in which the spare repeats are counted */
#define SPARE_WINDOW 10000.0

/*
 * A hedge is sent so that its response comes within the target if it takes
 * this many times the median; but not before the first attempt has had the
 * median and a little.
 */
#define HEDGE_MEDIANS 1.2
#define HEDGE_FIRST_MEDIANS 1.1

void
ggw_retry_budget_init(struct ggw_retry_budget *b, double percent, ggw_ms now)
{
    *b = (struct ggw_retry_budget){
        .share = percent / 100,
        .refilled = now,
        .window = now,
    };
}

void
ggw_retry_budget_set_spare(struct ggw_retry_budget *b, double spare)
{
    b->spare = spare;
}

void
ggw_retry_budget_set_percent(struct ggw_retry_budget *b, double percent)
{
    b->share = percent / 100;
}

/*
 * A busy service may save up one second's share, so that a server that fails
 * with all its requests at once does not use up the budget.
 */
static double
burst(const struct ggw_retry_budget *b)
{
    return MAX(MIN_BURST, b->share * MAX(b->calls, b->calls_before));
}

/* Half of the spare repeats may come at once, half in the course of 10 s. */
static double
refill_rate(const struct ggw_retry_budget *b)
{
    return b->spare > 0 ? b->spare / 2 / SPARE_WINDOW : MIN_REFILL;
}

static double
floor_burst(const struct ggw_retry_budget *b)
{
    return b->spare > 0 ? b->spare / 2 : MIN_BURST;
}

static void
refill(struct ggw_retry_budget *b, ggw_ms now)
{
    if (now - b->window >= 1000) {
        b->calls_before = now - b->window < 2000 ? b->calls : 0;
        b->calls = 0;
        b->window = now;
    }
    b->floor =
        MIN(b->floor + (now - b->refilled) * refill_rate(b), floor_burst(b));
    b->refilled = now;
}

void
ggw_retry_budget_count_call(struct ggw_retry_budget *b, int prior_retries,
                            ggw_ms now)
{
    refill(b, now);
    if (prior_retries > 0) {
        return;
    }
    b->calls++;
    b->tokens = MIN(b->tokens + b->share, burst(b));
    /* The minimum replaces the share of the calls, it does not add to it. */
    b->floor = b->spare > 0 ? b->floor : MAX(b->floor - b->share, 0);
}

static bool
charge(struct ggw_retry_budget *b, ggw_ms now)
{
    double from_floor;

    refill(b, now);
    if (b->share <= 0 || b->tokens + b->floor < 1) {
        return false;
    }
    from_floor = MIN(b->floor, 1);
    b->floor -= from_floor;
    b->tokens -= 1 - from_floor;
    return true;
}

const char *
ggw_retry_verdict_name(enum ggw_retry_verdict verdict)
{
    static const char *const names[] = {
        [GGW_RETRY] = "retry",       [GGW_RETRY_FINAL] = "final",
        [GGW_RETRY_ABOVE] = "above", [GGW_RETRY_ATTEMPTS] = "attempts",
        [GGW_RETRY_LATE] = "late",   [GGW_RETRY_BUDGET] = "budget",
    };

    return names[verdict];
}

static bool
may_repeat(enum ggw_idempotency idempotency, enum ggw_attempt_result result,
           enum ggw_outcome outcome)
{
    switch (result) {
    case GGW_ATTEMPT_SHED:
    case GGW_ATTEMPT_REFUSED:
    case GGW_ATTEMPT_BROKEN:
    case GGW_ATTEMPT_SILENT:
        return outcome == GGW_NOT_RUN ||
               (outcome == GGW_UNKNOWN && idempotency == GGW_IDEMPOTENT);
    default:
        return false;
    }
}

/* The conditions that retries and hedges share; charges the budget. */
static enum ggw_retry_verdict
decide(struct ggw_retry_budget *b, const struct ggw_retry_request *r,
       const struct ggw_latency *latency, ggw_ms now)
{
    if (r->prior_retries > 0) {
        return GGW_RETRY_ABOVE;
    }
    if (r->attempts >= r->max_attempts) {
        return GGW_RETRY_ATTEMPTS;
    }
    if (now >= r->deadline || now + latency->p50 > r->deadline) {
        return GGW_RETRY_LATE;
    }
    return charge(b, now) ? GGW_RETRY : GGW_RETRY_BUDGET;
}

enum ggw_retry_verdict
ggw_retry_decide(struct ggw_retry_budget *b, const struct ggw_retry_request *r,
                 enum ggw_attempt_result result, enum ggw_outcome outcome,
                 const struct ggw_latency *latency, ggw_ms now)
{
    if (!may_repeat(r->idempotency, result, outcome)) {
        return GGW_RETRY_FINAL;
    }
    return decide(b, r, latency, now);
}

ggw_ms
ggw_hedge_delay(const struct ggw_retry_request *r,
                const struct ggw_latency *latency)
{
    if (r->idempotency != GGW_IDEMPOTENT || r->prior_retries > 0 ||
        r->attempts >= MIN(r->max_attempts, 2)) {
        return INFINITY;
    }
    if (r->target_in > 0 && latency->p50 > 0) {
        return MAX(r->target_in - HEDGE_MEDIANS * latency->p50,
                   HEDGE_FIRST_MEDIANS * latency->p50);
    }
    return latency->p95 > 0 ? latency->p95 : INFINITY;
}

enum ggw_retry_verdict
ggw_hedge_decide(struct ggw_retry_budget *b, const struct ggw_retry_request *r,
                 ggw_ms elapsed, const struct ggw_latency *latency, ggw_ms now)
{
    if (elapsed < ggw_hedge_delay(r, latency)) {
        return GGW_RETRY_FINAL;
    }
    return decide(b, r, latency, now);
}

int
ggw_retry_attempt_header(const struct ggw_retry_request *r)
{
    return r->prior_retries + r->attempts;
}
