#ifndef GGW_DECIDE_LATENCY_H
#define GGW_DECIDE_LATENCY_H

#include <stdint.h>

#include "kernel/clock.h"

/**
 * DOC: Running estimate of latency quantiles
 */

/**
 * struct ggw_latency - running estimate of the latency of a service, or of one
 *                      kind of its requests
 * @count: number of responses added
 * @p50: median, ms; like the other quantiles 0 until GGW_LATENCY_MIN_COUNT
 *       responses were added
 * @p90: 90th percentile, ms
 * @p95: 95th percentile, ms
 * @log_estimates: private; natural logarithms of the three quantiles in ms
 */
struct ggw_latency {
    uint64_t count;
    ggw_ms p50;
    ggw_ms p90;
    ggw_ms p95;
    double log_estimates[3];
};

/* With fewer responses, the estimate of p95 is not usable. */
#define GGW_LATENCY_MIN_COUNT 20

/**
 * ggw_latency_add() - update the estimate with one response
 * @latency: latency of a successful response, ms; others must not be added
 */
void ggw_latency_add(struct ggw_latency *l, ggw_ms latency);

#endif
