#ifndef GGW_DECIDE_LATENCY_H
#define GGW_DECIDE_LATENCY_H

#include <stdint.h>

#include "kernel/clock.h"

/**
 * struct ggw_latency - running estimate of a service's latency
 * @count: answers seen
 * @p50, @p90, @p95: quantiles; 0 until GGW_LATENCY_MIN answers were seen
 * @raw: private
 *
 * Feed it with successful answers only.
 */
struct ggw_latency {
    uint64_t count;
    ggw_ms p50;
    ggw_ms p90;
    ggw_ms p95;
    double raw[3];
};

/* Fewer answers give no usable p95. */
#define GGW_LATENCY_MIN 20

void ggw_latency_add(struct ggw_latency *l, ggw_ms latency);

#endif
