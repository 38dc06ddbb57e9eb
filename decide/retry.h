#ifndef GGW_DECIDE_RETRY_H
#define GGW_DECIDE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "common/outcome.h"
#include "config/tree.h"
#include "decide/latency.h"
#include "kernel/clock.h"
#include "slots/slots.h"

/**
 * DOC: Decisions on retries and budgets of repeats (design 5.6)
 *
 * Decides whether a request may be sent again after a failed attempt. The code
 * does no I/O and reads no clock: results, latencies and the time are
 * arguments.
 */

/* Periods in which a budget counts: those of 10 s and the current one. */
#define GGW_RETRY_PERIODS 41

/**
 * struct ggw_retry_period - counts of a period of 250 ms
 * @number: start of the period, in periods of the monotonic clock
 * @calls: calls that may earn tokens
 * @repeats: repeats sent in the period, and those charged in it that are not
 *           sent yet
 */
struct ggw_retry_period {
    int64_t number;
    int calls;
    int repeats;
};

/**
 * struct ggw_retry_budget - limit of the repeated calls of a service
 *
 * Each gateway has one for retries and one for hedges per service. Every call
 * adds its share of a token and every repeat takes one token. A service with
 * too few calls to earn one token in 10 s gets one in 10 s instead.
 *
 * Unless the minimum applies, saved tokens only pace the repeats: in any 10 s
 * there are at most as many as the share of the calls in the 10 s before one
 * of them and the spare repeats. So the sum over any number of gateways is
 * bounded. All fields are private to decide/retry.c.
 */
struct ggw_retry_budget {
    double share;        /* tokens earned per call */
    double call_tokens;  /* earned by calls */
    double time_tokens;  /* earned by time and not by calls since */
    ggw_ms refilled;     /* time of the last refill */
    ggw_ms window_start; /* start of the current second */
    int calls;           /* in the current second */
    int calls_before;    /* in the second before */
    double spare;        /* repeats per 10 s beside the share */
    struct ggw_retry_period periods[GGW_RETRY_PERIODS];
};

/**
 * ggw_retry_budget_init() - initialize a budget
 * @percent: percentage of calls that may be repeated; 0 allows no repeats
 * @now: monotonic ms
 */
void ggw_retry_budget_init(struct ggw_retry_budget *b, double percent,
                           ggw_ms now);

/**
 * ggw_retry_budget_set_percent() - change the share of calls that may be
 *                                  repeated
 * @percent: as in ggw_retry_budget_init()
 */
void ggw_retry_budget_set_percent(struct ggw_retry_budget *b, double percent);

/* In place of a number of spare repeats: one repeat in 10 s if calls are few
 */
#define GGW_RETRY_MINIMUM (-1.0)

/**
 * ggw_retry_budget_set_spare() - allow repeats beyond the share of the calls
 * @spare: number of these repeats in any 10 s, or GGW_RETRY_MINIMUM or any
 *         other negative number, which is what a new budget has
 */
void ggw_retry_budget_set_spare(struct ggw_retry_budget *b, double spare);

/**
 * ggw_retry_spare_part() - get the spare repeats that one gateway may send
 * @spare: number of spare repeats of all gateways in any 10 s; 0: the minimum
 *         applies
 * @gateways: number of gateways that this one knows, including itself
 * @uptime: time since this gateway started, ms
 *
 * There is none in the first 10 s: the gateways do not know each other yet,
 * and the others have divided the spare repeats among fewer.
 *
 * Return: argument for ggw_retry_budget_set_spare().
 */
double ggw_retry_spare_part(int spare, int gateways, ggw_ms uptime);

/**
 * ggw_retry_budget_count_call() - count one call for the budget
 * @prior_retries: value of Greengageway-Attempt in the request; 0 without the
 *                 header
 * @now: monotonic ms
 *
 * To be called once per call, not for its further attempts. A call that is a
 * retry by an earlier hop earns no tokens. If it did, the retries of nested
 * hops would multiply: 15 hops with 10 percent each would amplify the load by
 * 1.1^15 instead of 1 + 0.1 * 15.
 */
void ggw_retry_budget_count_call(struct ggw_retry_budget *b, int prior_retries,
                                 ggw_ms now);

/**
 * ggw_retry_budget_refund() - give back the token of a repeat that was not
 *                             sent
 * @charged_at: time of its charge, monotonic ms
 */
void ggw_retry_budget_refund(struct ggw_retry_budget *b, ggw_ms charged_at);

/**
 * ggw_retry_budget_sent() - record that a charged repeat is sent
 * @charged_at: time of its charge, monotonic ms
 * @now: monotonic ms
 *
 * Repeats that were charged over some time may be sent together. They count
 * when they are sent.
 */
void ggw_retry_budget_sent(struct ggw_retry_budget *b, ggw_ms charged_at,
                           ggw_ms now);

/**
 * struct ggw_retry_request - properties of a request that the rules depend on
 * @idempotency: set by the kind of the request
 * @attempts: number of attempts sent so far, hedges included
 * @max_attempts: set by the kind of the request
 * @prior_retries: value of Greengageway-Attempt in the request; 0 without the
 *                 header
 * @target_in: time from sending the first attempt to the latency target of the
 *             request, ms; 0 if it has none
 * @deadline: end of the time for the request, monotonic ms
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
 * enum ggw_retry_verdict - decision on a retry or hedge
 * @GGW_RETRY: send another attempt; the budget has been charged
 * @GGW_RETRY_FINAL: send no attempt: the result is final, the request must not
 *                   be repeated or the hedge is not due yet
 * @GGW_RETRY_PRIOR_RETRIES: an earlier hop has already retried the request
 * @GGW_RETRY_ATTEMPTS: the attempts that the kind allows are used up
 * @GGW_RETRY_LATE: less time is left than the median latency, or than another
 *                  attempt needs before the gateway stops
 * @GGW_RETRY_BUDGET: the budget is used up
 */
enum ggw_retry_verdict {
    GGW_RETRY,
    GGW_RETRY_FINAL,
    GGW_RETRY_PRIOR_RETRIES,
    GGW_RETRY_ATTEMPTS,
    GGW_RETRY_LATE,
    GGW_RETRY_BUDGET,
};

/**
 * ggw_retry_verdict_name() - get the name that log lines show
 */
const char *ggw_retry_verdict_name(enum ggw_retry_verdict verdict);

/**
 * ggw_retry_decide() - decide whether to retry a request on another server
 * @b: retry budget of the service
 * @result: how the last attempt ended
 * @outcome: whether the request ran; GGW_OUTCOME_NOT_RUN also for a connection
 *           that broke before the first byte was sent
 * @latency: latency estimate of the request's kind
 * @now: monotonic ms
 *
 * Charges the budget only if it returns GGW_RETRY.
 */
enum ggw_retry_verdict
ggw_retry_decide(struct ggw_retry_budget *b, const struct ggw_retry_request *r,
                 enum ggw_attempt_result result, enum ggw_outcome outcome,
                 const struct ggw_latency *latency, ggw_ms now);

/**
 * ggw_retry_repeat() - check the conditions common to retries and hedges
 * @b: budget of the repeat
 * @latency: latency estimate of the request's kind
 * @now: monotonic ms
 *
 * Charges the budget only if it returns GGW_RETRY.
 */
enum ggw_retry_verdict ggw_retry_repeat(struct ggw_retry_budget *b,
                                        const struct ggw_retry_request *r,
                                        const struct ggw_latency *latency,
                                        ggw_ms now);

/**
 * ggw_retry_attempt_header() - get the value of Greengageway-Attempt for the
 *                              next attempt
 *
 * Return: value received from the earlier hop plus the attempts sent so far.
 */
int ggw_retry_attempt_header(const struct ggw_retry_request *r);

#endif
