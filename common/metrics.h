#ifndef GGW_COMMON_METRICS_H
#define GGW_COMMON_METRICS_H

#include <glib.h>
#include <stdint.h>

#include "common/histogram.h"

/*
 * Metrics of this process, served on the metrics page in the Prometheus text
 * exposition format. A single thread updates them, so they need no lock.
 */

/**
 * ggw_counter() - look up a counter; create it at 0 when it does not exist
 * @name: metric name with labels, for example
 *        "ggw_requests_total{outcome=\"done\"}"
 *
 * Return: the counter, valid until ggw_metrics_fini(); callers on a hot path
 * keep the pointer to save the lookup.
 */
uint64_t *ggw_counter(const char *name);

/**
 * ggw_count() - increment a counter
 * @name: metric name with labels; the counter is created if necessary
 */
void ggw_count(const char *name);

/**
 * ggw_metric_histogram() - look up a histogram of durations; create it when
 *                          it does not exist
 * @name: metric name with labels
 *
 * Return: the histogram, valid until ggw_metrics_fini().
 */
struct ggw_histogram *ggw_metric_histogram(const char *name);

/**
 * ggw_metric_label() - get a text as the value of a label
 *
 * Return: @text with escaped quotes, backslashes and control characters, to be
 * freed with g_free().
 */
char *ggw_metric_label(const char *text);

/**
 * ggw_metrics_print() - append all metrics in the text exposition format
 *
 * A histogram is printed as a summary with the quantiles 0.5, 0.99 and 0.999
 * in ms.
 */
void ggw_metrics_print(GString *out);

/**
 * ggw_metrics_fini() - free all metrics
 */
void ggw_metrics_fini(void);

#endif
