#ifndef GGW_COMMON_HISTOGRAM_H
#define GGW_COMMON_HISTOGRAM_H

#include <stdint.h>

#include "kernel/clock.h"

/* Log-linear buckets: 16 per power of two, so a value is off by under 7%. */
#define GGW_HISTOGRAM_SUB 16
#define GGW_HISTOGRAM_LEN (GGW_HISTOGRAM_SUB * 32)

/**
 * struct ggw_histogram - counts of durations
 * @buckets: counts by duration in microseconds
 * @count: number of durations
 * @sum: their sum in ms
 */
struct ggw_histogram {
    uint64_t buckets[GGW_HISTOGRAM_LEN];
    uint64_t count;
    ggw_ms sum;
};

void ggw_histogram_add(struct ggw_histogram *h, ggw_ms value);

/**
 * ggw_histogram_quantile() - value below which a share of the durations lie
 * @q: share from 0 to 1
 *
 * Return: upper edge of the bucket in ms; 0 for an empty histogram.
 */
ggw_ms ggw_histogram_quantile(const struct ggw_histogram *h, double q);

#endif
