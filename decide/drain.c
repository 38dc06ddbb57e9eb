#include "decide/drain.h"

#include <glib.h>
#include <math.h>

/*
 * Time from the expiry of the last cached address until the listener is
 * closed, for clients whose clocks run slow.
 */
#define LISTEN_MARGIN_MS 200.0

/*
 * New requests are refused after this time, however long the grace is. The
 * platform excuses a cut only for requests that were sent within 3 s.
 */
#define ACCEPT_MAX_MS 2900.0

/* Time for the process to end before SIGKILL: a part of the grace, limited. */
#define END_MARGIN_PARTS 12.0
#define END_MARGIN_MAX_MS 500.0

/* Largest share of the time until the end in which the listener is open. */
#define LISTEN_SHARE 0.75

/*
 * A request that must not be repeated is sent only if this many times the 95th
 * percentile of its latency is left. If it were cut, nobody could tell whether
 * it ran.
 */
#define ONCE_FACTOR 1.5

/*
 * Share of the time until its deadline that a request is expected to take
 * while the latency of its kind is not known. One that must not be repeated
 * gets no such credit.
 */
#define UNKNOWN_SHARE 0.5

struct ggw_drain_plan
ggw_drain_plan(ggw_ms grace, ggw_ms stale)
{
    ggw_ms margin = MIN(grace / END_MARGIN_PARTS, END_MARGIN_MAX_MS);
    struct ggw_drain_plan plan;

    plan.end = grace - margin;
    plan.listen = MIN(stale + LISTEN_MARGIN_MS, LISTEN_SHARE * plan.end);
    plan.accept = MIN(plan.listen, ACCEPT_MAX_MS);
    return plan;
}

ggw_ms
ggw_drain_send_by(ggw_ms end, const struct ggw_drain_request *r)
{
    ggw_ms p95 = r->latency->p95;

    if (r->deadline < end) {
        return INFINITY;
    }
    if (p95 > 0) {
        return end - (r->repeatable ? p95 : ONCE_FACTOR * p95);
    }
    if (!r->repeatable) {
        return -INFINITY;
    }
    /* Sent now, it is expected at now + UNKNOWN_SHARE * (deadline - now). */
    return (end - UNKNOWN_SHARE * r->deadline) / (1 - UNKNOWN_SHARE);
}

bool
ggw_drain_admits(ggw_ms end, const struct ggw_drain_request *r, ggw_ms now)
{
    return now < ggw_drain_send_by(end, r);
}
