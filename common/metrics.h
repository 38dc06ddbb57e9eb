#ifndef GGW_COMMON_METRICS_H
#define GGW_COMMON_METRICS_H

#include <glib.h>
#include <stdint.h>

#include "common/histogram.h"

/*
 * The process's own counters, printed in the usual text format on the metrics
 * page. One loop on one thread updates them, so they need no lock.
 */

/**
 * ggw_counter() - find or make a counter
 * @name: metric name with its labels, for example
 *        "ggw_requests_total{outcome=\"done\"}"
 *
 * Return: a pointer that stays valid for the life of the process; callers on
 * a hot path keep it.
 */
uint64_t *ggw_counter(const char *name);

/**
 * ggw_count() - add one to a counter found by name
 */
void ggw_count(const char *name);

/**
 * ggw_metric_histogram() - find or make a histogram of durations
 */
struct ggw_histogram *ggw_metric_histogram(const char *name);

/**
 * ggw_metrics_print() - append all metrics in the text exposition format
 */
void ggw_metrics_print(GString *out);

void ggw_metrics_fini(void);

#endif
