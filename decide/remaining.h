#ifndef GGW_DECIDE_REMAINING_H
#define GGW_DECIDE_REMAINING_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"

/**
 * DOC: Remaining time of a run, given its age
 *
 * Answers a load in which a few requests take several times as long as the
 * others: the older a run is, the later it may end. The estimate follows from
 * the service's own latencies.
 */

/* Buckets per power of two; a bucket is 9% wide. */
#define GGW_REMAINING_SUBBUCKETS 8

/* Number of buckets; the last one starts at about 60 s. */
#define GGW_REMAINING_LEN (GGW_REMAINING_SUBBUCKETS * 16)

/**
 * struct ggw_remaining - distribution of the run times of a service
 * @weights: private; number of responses in each bucket, with older ones
 *           counted less
 * @total: private; sum of @weights
 */
struct ggw_remaining {
    float weights[GGW_REMAINING_LEN];
    double total;
};

/**
 * ggw_remaining_init() - start with no responses
 */
void ggw_remaining_init(struct ggw_remaining *r);

/**
 * ggw_remaining_add() - add the latency of a successful response
 * @latency: ms; values below 1 ms count as 1 ms
 */
void ggw_remaining_add(struct ggw_remaining *r, ggw_ms latency);

/**
 * ggw_remaining_time() - remaining time of a run
 * @age: time since the start of the run, ms
 * @q: fraction of the runs that have reached @age and end within the result, 0
 *     to 1
 *
 * Return: ms; @age if no response took longer than @age, 0 without responses.
 */
ggw_ms ggw_remaining_time(const struct ggw_remaining *r, ggw_ms age, double q);

#endif
