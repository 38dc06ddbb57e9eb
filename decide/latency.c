#include "decide/latency.h"

#include <glib.h>
#include <math.h>

/*
 * Each estimate moves by a small step in the logarithm: up by step * q for
 * an answer above it, down by step * (1 - q) for one below, which balances
 * at the quantile q (stochastic approximation, Robbins and Monro, 1951).
 * It takes 24 bytes where a pair of rotating histograms takes 8 KB.
 *
 * The steps let every estimate follow a change within about 150 answers of
 * an exponential distribution; 0.05 for all had p50 off by up to 61%.
 */
static const struct {
    double q;
    double step;
} quantiles[] = {{0.5, 0.02}, {0.9, 0.03}, {0.95, 0.05}};

/* The first answers move an estimate more, since it starts far off. */
#define FIRST_STEP 0.5

static double
step_of(double step, uint64_t count)
{
    return MAX(step, FIRST_STEP / (1.0 + (double)count / 20.0));
}

void
ggw_latency_add(struct ggw_latency *l, ggw_ms latency)
{
    double x = log(MAX(latency, 1e-3));

    for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
        double q = quantiles[i].q;
        double step = step_of(quantiles[i].step, l->count);

        if (l->count == 0) {
            l->raw[i] = x;
        }
        l->raw[i] += x > l->raw[i] ? step * q : -step * (1 - q);
    }
    l->count++;
    if (l->count >= GGW_LATENCY_MIN) {
        l->p50 = exp(l->raw[0]);
        l->p90 = MAX(l->p50, exp(l->raw[1]));
        l->p95 = MAX(l->p90, exp(l->raw[2]));
    }
}
