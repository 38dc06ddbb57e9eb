#ifndef GGW_DECIDE_DRAIN_H
#define GGW_DECIDE_DRAIN_H

#include <stdbool.h>

#include "decide/latency.h"
#include "kernel/clock.h"

/**
 * DOC: Planned stop of a gateway (design 5.10)
 *
 * Divides the time between SIGTERM and SIGKILL, and decides which requests a
 * gateway that stops still sends to a backend server. The code does no I/O and
 * reads no clock.
 */

/**
 * struct ggw_drain_plan - what happens when, in ms from SIGTERM
 * @accept: later requests are refused
 * @listen: the listener closes
 * @end: requests in progress are cut
 *
 * @accept is at most @listen, and @listen at most @end.
 */
struct ggw_drain_plan {
    ggw_ms accept;
    ggw_ms listen;
    ggw_ms end;
};

/**
 * ggw_drain_plan() - divide the time of a planned stop
 * @grace: time from SIGTERM to SIGKILL, ms
 * @stale: time for which clients may use a cached address of this gateway, ms
 *
 * The end lies in the last sixth of @grace, so that requests get as much time
 * as possible, and before its last twelfth, so that the process ends itself.
 */
struct ggw_drain_plan ggw_drain_plan(ggw_ms grace, ggw_ms stale);

/**
 * struct ggw_drain_request - request that a stopping gateway may send
 * @deadline: time at which it gets a response at the latest, monotonic ms
 * @repeatable: it may be sent again if its response is lost
 * @latency: latency estimate of its kind
 */
struct ggw_drain_request {
    ggw_ms deadline;
    bool repeatable;
    const struct ggw_latency *latency;
};

/**
 * ggw_drain_send_by() - time before which a request has to be sent
 * @end: time at which requests in progress are cut, monotonic ms
 *
 * While the latency of its kind is not known, its deadline counts: all of the
 * time until then for a request that is not repeatable, half of it for another
 * one.
 *
 * Return: monotonic ms from which on its response cannot be expected before
 * @end; INFINITY if it always can, -INFINITY if it never can.
 */
ggw_ms ggw_drain_send_by(ggw_ms end, const struct ggw_drain_request *r);

/**
 * ggw_drain_admits() - decide whether to send a request to a backend server
 * @end: time at which requests in progress are cut, monotonic ms
 * @now: monotonic ms
 *
 * Return: whether @now is before ggw_drain_send_by().
 */
bool ggw_drain_admits(ggw_ms end, const struct ggw_drain_request *r,
                      ggw_ms now);

#endif
