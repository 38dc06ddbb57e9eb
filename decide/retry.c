#include "decide/retry.h"

#include <glib.h>
#include <math.h>

/*
 * A service with few calls may retry once in 10 s, and 10 times in a burst.
 * The bucket starts empty: with one token at the start, 15 nested hops would
 * reach 3 times the load in their first 15 calls.
 * MIN_REFILL is in tokens per ms, MIN_BURST in tokens.
 */
#define MIN_REFILL (1.0 / 10000)
#define MIN_BURST 10.0

/* Window in which the spare repeats are counted, ms. */
#define SPARE_WINDOW 10000.0

/* Length of a struct ggw_retry_period, ms. */
#define PERIOD (SPARE_WINDOW / (GGW_RETRY_PERIODS - 1))

void
ggw_retry_budget_init(struct ggw_retry_budget *b, double percent, ggw_ms now)
{
    *b = (struct ggw_retry_budget){
        .share = percent / 100,
        .refilled = now,
        .window_start = now,
        .spare = GGW_RETRY_MINIMUM,
    };
}

void
ggw_retry_budget_set_spare(struct ggw_retry_budget *b, double spare)
{
    b->spare = spare;
}

double
ggw_retry_spare_part(int spare, int gateways, ggw_ms uptime)
{
    if (spare == 0) {
        return GGW_RETRY_MINIMUM;
    }
    return uptime < SPARE_WINDOW ? 0 : (double)spare / MAX(gateways, 1);
}

void
ggw_retry_budget_set_percent(struct ggw_retry_budget *b, double percent)
{
    b->share = percent / 100;
}

static int64_t
period_number(ggw_ms time)
{
    return (int64_t)floor(time / PERIOD);
}

static struct ggw_retry_period *
period_slot(struct ggw_retry_budget *b, int64_t number)
{
    int64_t i = number % GGW_RETRY_PERIODS;

    return &b->periods[i < 0 ? i + GGW_RETRY_PERIODS : i];
}

static struct ggw_retry_period *
current_period(struct ggw_retry_budget *b, ggw_ms now)
{
    int64_t number = period_number(now);
    struct ggw_retry_period *p = period_slot(b, number);

    if (p->number != number) {
        *p = (struct ggw_retry_period){.number = number};
    }
    return p;
}

static void
uncount_repeat(struct ggw_retry_budget *b, ggw_ms charged_at)
{
    int64_t number = period_number(charged_at);
    struct ggw_retry_period *p = period_slot(b, number);

    if (p->number == number && p->repeats > 0) {
        p->repeats--;
    }
}

/*
 * The current period is not complete. So that the bound holds for any 10 s,
 * repeats are counted in slightly more and calls in slightly less than 10 s.
 */
static bool
window_allows(const struct ggw_retry_budget *b, ggw_ms now)
{
    int64_t current = period_number(now);
    int calls = 0;
    int repeats = 0;

    for (size_t i = 0; i < GGW_RETRY_PERIODS; i++) {
        const struct ggw_retry_period *p = &b->periods[i];
        int64_t age = current - p->number;

        calls += age < GGW_RETRY_PERIODS - 1 ? p->calls : 0;
        repeats += age < GGW_RETRY_PERIODS ? p->repeats : 0;
    }
    return repeats + 1 <= b->share * calls + b->spare;
}

/*
 * Capacity of the bucket for calls. A busy service may save up the share of
 * one second's calls, so that a server that fails with all its requests at
 * once does not use up the budget.
 */
static double
call_burst(const struct ggw_retry_budget *b)
{
    return MAX(MIN_BURST, b->share * MAX(b->calls, b->calls_before));
}

/*
 * Tokens per ms. Half of the spare repeats are refilled over 10 s, the other
 * half may come in a burst, see time_burst().
 */
static double
time_refill_rate(const struct ggw_retry_budget *b)
{
    return b->spare >= 0 ? b->spare / 2 / SPARE_WINDOW : MIN_REFILL;
}

static double
time_burst(const struct ggw_retry_budget *b)
{
    return b->spare >= 0 ? b->spare / 2 : MIN_BURST;
}

static void
refill(struct ggw_retry_budget *b, ggw_ms now)
{
    if (now - b->window_start >= 1000) {
        b->calls_before = now - b->window_start < 2000 ? b->calls : 0;
        b->calls = 0;
        b->window_start = now;
    }
    b->time_tokens =
        MIN(b->time_tokens + (now - b->refilled) * time_refill_rate(b),
            time_burst(b));
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
    current_period(b, now)->calls++;
    b->call_tokens = MIN(b->call_tokens + b->share, call_burst(b));
    /* The minimum replaces the share of the calls and does not add to it. */
    b->time_tokens =
        b->spare >= 0 ? b->time_tokens : MAX(b->time_tokens - b->share, 0);
}

static bool
charge(struct ggw_retry_budget *b, ggw_ms now)
{
    double from_time;

    refill(b, now);
    if (b->share <= 0 || b->call_tokens + b->time_tokens < 1 ||
        (b->spare >= 0 && !window_allows(b, now))) {
        return false;
    }
    from_time = MIN(b->time_tokens, 1);
    b->time_tokens -= from_time;
    b->call_tokens -= 1 - from_time;
    current_period(b, now)->repeats++;
    return true;
}

void
ggw_retry_budget_refund(struct ggw_retry_budget *b, ggw_ms charged_at)
{
    b->call_tokens = MIN(b->call_tokens + 1, call_burst(b));
    uncount_repeat(b, charged_at);
}

void
ggw_retry_budget_sent(struct ggw_retry_budget *b, ggw_ms charged_at,
                      ggw_ms now)
{
    uncount_repeat(b, charged_at);
    current_period(b, now)->repeats++;
}

const char *
ggw_retry_verdict_name(enum ggw_retry_verdict verdict)
{
    static const char *const names[] = {
        [GGW_RETRY] = "retry",
        [GGW_RETRY_FINAL] = "final",
        [GGW_RETRY_PRIOR_RETRIES] = "above",
        [GGW_RETRY_ATTEMPTS] = "attempts",
        [GGW_RETRY_LATE] = "late",
        [GGW_RETRY_BUDGET] = "budget",
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
        return outcome == GGW_OUTCOME_NOT_RUN ||
               (outcome == GGW_OUTCOME_UNKNOWN &&
                idempotency == GGW_IDEMPOTENT);
    default:
        return false;
    }
}

enum ggw_retry_verdict
ggw_retry_repeat(struct ggw_retry_budget *b, const struct ggw_retry_request *r,
                 const struct ggw_latency *latency, ggw_ms now)
{
    if (r->prior_retries > 0) {
        return GGW_RETRY_PRIOR_RETRIES;
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
    return ggw_retry_repeat(b, r, latency, now);
}

int
ggw_retry_attempt_header(const struct ggw_retry_request *r)
{
    return r->prior_retries + r->attempts;
}
