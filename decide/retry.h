#ifndef GGW_DECIDE_RETRY_H
#define GGW_DECIDE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "common/outcome.h"
#include "config/tree.h"
#include "decide/latency.h"
#include "kernel/clock.h"
#include "slots/slots.h"

/*
 * Whether a request may run again or be hedged (design 5.6 and 5.7).
 */

/**
 * struct ggw_retry_budget - share of a service's calls that may be repeated
 *
 * One for retries and one for hedges, per service and gateway. Each call adds
 * its share. A quiet service that earns less than one repetition in 10 s has
 * that minimum instead.
 * All fields are private to decide/retry.c.
 */
struct ggw_retry_budget {
    double share;
    double tokens; /* earned by calls */
    double floor;  /* earned by time and not by calls since */
    ggw_ms refilled;
    ggw_ms window; /* start of the current second */
    int calls;     /* in it */
    int calls_before;
    double spare; /* beside the share, in 10 s; 0: the minimum applies */
};

/**
 * ggw_retry_budget_init() - make a budget
 * @percent: of calls; 0 allows none
 */
void ggw_retry_budget_init(struct ggw_retry_budget *b, double percent,
                           ggw_ms now);

/**
 * ggw_retry_budget_set_percent() - apply a changed setting
 */
void ggw_retry_budget_set_percent(struct ggw_retry_budget *b, double percent);

/**
 * ggw_retry_budget_set_spare() - allow repeats beside the share of the calls
 * @spare: in any 10 s
 */
void ggw_retry_budget_set_spare(struct ggw_retry_budget *b, double spare);

/**
 * ggw_retry_budget_count_call() - count one call, not its further attempts
 * @prior_retries: value of Greengageway-Attempt in the request; 0 without it
 *
 * Calls that are themselves retries of a hop above earn nothing. If they did,
 * the retries of nested hops would multiply: 1.1^15 in place of 1 + 0.1 * 15.
 */
void ggw_retry_budget_count_call(struct ggw_retry_budget *b, int prior_retries,
                                 ggw_ms now);

/**
 * struct ggw_retry_request - what the rules need to know of a request
 * @idempotency: from its kind
 * @attempts: attempts sent so far, hedges included
 * @max_attempts: from its kind
 * @prior_retries: value of Greengageway-Attempt in the request; 0 without it
 * @target_in: time from the first sending until which a response has its full
 *             value, ms; 0: not set
 * @deadline: monotonic ms
 */
struct ggw_retry_request {
    enum ggw_idempotency idempotency;
    int attempts;
    int max_attempts;
    int prior_retries;
    ggw_ms target_in;
    ggw_ms deadline;
};

/**
 * enum ggw_retry_verdict - the answer, also the label of a metric
 * @GGW_RETRY: send another attempt; the budget has been charged
 * @GGW_RETRY_FINAL: the result is passed on or must not be repeated
 * @GGW_RETRY_ABOVE: a hop above has retried already
 * @GGW_RETRY_ATTEMPTS: all attempts of the kind are used
 * @GGW_RETRY_LATE: the time left is shorter than the median latency
 * @GGW_RETRY_BUDGET: the budget is used up
 */
enum ggw_retry_verdict {
    GGW_RETRY,
    GGW_RETRY_FINAL,
    GGW_RETRY_ABOVE,
    GGW_RETRY_ATTEMPTS,
    GGW_RETRY_LATE,
    GGW_RETRY_BUDGET,
};

const char *ggw_retry_verdict_name(enum ggw_retry_verdict verdict);

/**
 * ggw_retry_decide() - whether to try again on another server
 * @result: how the last attempt ended
 * @outcome: what that says of the request: GGW_NOT_RUN also for a connection
 *           that broke before the first byte
 * @latency: of the service
 *
 * Charges the budget only with GGW_RETRY.
 */
enum ggw_retry_verdict
ggw_retry_decide(struct ggw_retry_budget *b, const struct ggw_retry_request *r,
                 enum ggw_attempt_result result, enum ggw_outcome outcome,
                 const struct ggw_latency *latency, ggw_ms now);

/**
 * ggw_hedge_delay() - when to ask ggw_hedge_decide() for a request
 *
 * Return: ms after the first attempt was sent; INFINITY when the request may
 * not be hedged or p95 is not known yet.
 */
ggw_ms ggw_hedge_delay(const struct ggw_retry_request *r,
                       const struct ggw_latency *latency);

/**
 * ggw_hedge_decide() - whether to send a second attempt next to the first
 * @b: the hedge budget
 * @elapsed: time since the first attempt was sent
 *
 * Charges the budget only with GGW_RETRY.
 */
enum ggw_retry_verdict ggw_hedge_decide(struct ggw_retry_budget *b,
                                        const struct ggw_retry_request *r,
                                        ggw_ms elapsed,
                                        const struct ggw_latency *latency,
                                        ggw_ms now);

/**
 * ggw_retry_attempt_header() - value of Greengageway-Attempt for the next
 *                              attempt
 */
int ggw_retry_attempt_header(const struct ggw_retry_request *r);

#endif
