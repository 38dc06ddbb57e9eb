#ifndef GGW_COMMON_HISTOGRAM_H
#define GGW_COMMON_HISTOGRAM_H

#include <stdint.h>

#include "kernel/clock.h"

/*
 * Log-linear buckets: with 16 buckets per power of two, a quantile exceeds the
 * exact value by less than 7%, or by at most 1 microsecond below 16
 * microseconds.
 */
#define GGW_HISTOGRAM_SUBBUCKETS 16
#define GGW_HISTOGRAM_LEN (GGW_HISTOGRAM_SUBBUCKETS * 32)

/**
 * struct ggw_histogram - distribution of durations
 * @buckets: number of durations per bucket; bucket limits are in microseconds
 * @count: number of durations
 * @sum: sum of all durations in ms
 */
struct ggw_histogram {
    uint64_t buckets[GGW_HISTOGRAM_LEN];
    uint64_t count;
    ggw_ms sum;
};

/**
 * ggw_histogram_add() - record one duration
 * @value: duration in ms; a negative one is counted in the lowest bucket
 */
void ggw_histogram_add(struct ggw_histogram *h, ggw_ms value);

/**
 * ggw_histogram_quantile() - estimate a quantile of the recorded durations
 * @q: quantile from 0 to 1
 *
 * Return: upper limit in ms of the bucket that holds the quantile; 0 for an
 * empty histogram.
 */
ggw_ms ggw_histogram_quantile(const struct ggw_histogram *h, double q);

#endif
