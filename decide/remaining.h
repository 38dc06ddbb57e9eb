#ifndef GGW_DECIDE_REMAINING_H
#define GGW_DECIDE_REMAINING_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"

/**
 * DOC: Remaining time of a run, given its age
 *
 * Answers a load in which a few requests take several times as long as the
 * others: slots that such runs hold do not come back at the average rate. The
 * estimate follows from the service's own latencies.
 */

/* Buckets per power of two; a bucket is 9% wide. */
#define GGW_REMAINING_SUBBUCKETS 8

/* Number of buckets; the last one starts at about 60 s. */
#define GGW_REMAINING_LEN (GGW_REMAINING_SUBBUCKETS * 16)

/**
 * struct ggw_remaining - distribution of the run times of a service
 * @long_age: age from which a run counts as long, ms; 0: the service has no
 *            long runs, or too few responses were added to tell
 * @mean: mean run time, ms; valid if @long_age is not 0
 * @short_rate: runs that end in 1 ms for each slot whose run has not reached
 *              @long_age; valid if @long_age is not 0
 * @weights: private; number of responses in each bucket, with older ones
 *           counted less
 * @total: private; sum of @weights
 * @until_update: private; responses until @long_age is computed again
 */
struct ggw_remaining {
    ggw_ms long_age;
    ggw_ms mean;
    double short_rate;
    float weights[GGW_REMAINING_LEN];
    double total;
    int until_update;
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
 * ggw_remaining_time() - expected remaining time of a run
 * @age: time since the start of the run, ms
 *
 * Return: ms; @age if no response took longer than @age, 0 without responses.
 */
ggw_ms ggw_remaining_time(const struct ggw_remaining *r, ggw_ms age);

/**
 * ggw_remaining_return_rate() - rate at which slots come back, compared with
 *                               the average rate
 * @slots: number of slots
 * @long_runs: number of slots whose run has reached @long_age
 * @long_rate: sum of 1 / ggw_remaining_time() over these runs, 1/ms
 *
 * With the usual share of long runs the result is about 1; with more it is
 * lower.
 *
 * Return: factor above 0; 1 if @long_age is 0.
 */
double ggw_remaining_return_rate(const struct ggw_remaining *r, int slots,
                                 int long_runs, double long_rate);

#endif
