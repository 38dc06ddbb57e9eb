#ifndef GGW_DECIDE_HEDGE_H
#define GGW_DECIDE_HEDGE_H

#include <stdbool.h>

#include "decide/latency.h"
#include "decide/retry.h"
#include "kernel/clock.h"

/**
 * DOC: Decisions on hedges (design 5.7, docs/design/second-sends.md)
 *
 * Decides when a gateway asks for a second attempt beside a slow one, and
 * whether the owner of the slots grants it. The code does no I/O and reads no
 * clock.
 */

/**
 * ggw_hedge_delay() - get the time after which a request may be hedged
 *
 * Return: ms from sending the first attempt to calling ggw_hedge_decide();
 * INFINITY if the request may not be hedged or the latency is not known yet.
 */
ggw_ms ggw_hedge_delay(const struct ggw_retry_request *r,
                       const struct ggw_latency *latency);

/**
 * ggw_hedge_decide() - decide whether to send a second attempt in parallel
 * @b: hedge budget of the service
 * @elapsed: time since the first attempt was sent, ms
 * @latency: latency estimate of the request's kind
 * @now: monotonic ms
 *
 * Charges the budget only if it returns GGW_RETRY.
 */
enum ggw_retry_verdict ggw_hedge_decide(struct ggw_retry_budget *b,
                                        const struct ggw_retry_request *r,
                                        ggw_ms elapsed,
                                        const struct ggw_latency *latency,
                                        ggw_ms now);

/**
 * ggw_hedge_ask_again() - get the time after which a refused hedge is asked
 *                         for again
 * @refusals: number of refusals of hedges of the request
 * @latency: latency estimate of the request's kind
 *
 * Return: ms from the refusal; INFINITY: not again.
 */
ggw_ms ggw_hedge_ask_again(int refusals, const struct ggw_latency *latency);

/**
 * struct ggw_hedge_work - limit of the slot time that hedges take in a ledger
 * @share: slot time of hedges per slot time of other grants; 0: the limit is
 *         off
 * @max_credit: maximum of @credit, ms
 * @credit: slot time that hedges may still take, ms
 * @reserved: part of @credit that is reserved for hedges in progress, ms
 *
 * In any interval, hedges start to take at most @share of the slot time that
 * ends in the interval, plus @max_credit. All fields are private to
 * decide/hedge.c.
 */
struct ggw_hedge_work {
    double share;
    ggw_ms max_credit;
    ggw_ms credit;
    ggw_ms reserved;
};

/**
 * ggw_hedge_work_configure() - set the limit
 * @percent: slot time of hedges in percent of that of other grants; 0: off
 * @slots: number of slots that the limit is for
 */
void ggw_hedge_work_configure(struct ggw_hedge_work *w, double percent,
                              int slots);

/**
 * ggw_hedge_work_is_on() - tell whether a limit is set
 */
bool ggw_hedge_work_is_on(const struct ggw_hedge_work *w);

/**
 * ggw_hedge_work_allows() - tell whether a hedge of a cost is within the limit
 * @cost: expected slot time of the hedge, ms
 */
bool ggw_hedge_work_allows(const struct ggw_hedge_work *w, ggw_ms cost);

/**
 * ggw_hedge_work_reserve() - reserve slot time for a hedge that was granted
 * @cost: expected slot time of the hedge, ms
 */
void ggw_hedge_work_reserve(struct ggw_hedge_work *w, ggw_ms cost);

/**
 * ggw_hedge_work_end() - count the end of a hedge
 * @cost: slot time that was reserved, ms
 * @held: slot time that it took, ms
 */
void ggw_hedge_work_end(struct ggw_hedge_work *w, ggw_ms cost, ggw_ms held);

/**
 * ggw_hedge_work_earn() - count the end of a grant that is not a hedge
 * @held: slot time that it took, ms
 */
void ggw_hedge_work_earn(struct ggw_hedge_work *w, ggw_ms held);

/**
 * struct ggw_hedge_server - what is known of a server
 * @free: free slots
 * @warm: the server is warm and has proved itself
 * @reported: the members below are valid
 * @slots: requests that it runs concurrently
 * @load: running and queued requests in the last load report
 * @slow_percent: latency in the last load report as a percentage of the usual
 *                one; 0: not known
 * @report_age: time since the last load report, ms
 */
struct ggw_hedge_server {
    int free;
    bool warm;
    bool reported;
    int slots;
    int load;
    int slow_percent;
    ggw_ms report_age;
};

/**
 * ggw_hedge_may_use() - tell whether a hedge may use a server
 * @s: server that the request has not tried
 * @tried: server that runs the first attempt, or NULL if it is not known
 *
 * The server must have a slot to spare after the hedge, and a recent report
 * must show it to be about as fast as usual and no slower than @tried.
 */
bool ggw_hedge_may_use(const struct ggw_hedge_server *s,
                       const struct ggw_hedge_server *tried);

/**
 * ggw_hedge_leaves_spare() - tell whether enough slots stay free
 * @free: free slots of all servers before the hedge
 * @slots: slots of all servers
 */
bool ggw_hedge_leaves_spare(int free, int slots);

#endif
