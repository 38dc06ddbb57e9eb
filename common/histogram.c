#include "common/histogram.h"

#include <math.h>

static unsigned
bucket_of(uint64_t us)
{
    unsigned exp, i;

    if (us < GGW_HISTOGRAM_SUB) {
        return (unsigned)us;
    }
    exp = 63U - (unsigned)__builtin_clzll(us); /* at least 4 */
    i = (exp - 3U) * GGW_HISTOGRAM_SUB +
        (unsigned)((us >> (exp - 4U)) & (GGW_HISTOGRAM_SUB - 1U));
    return i < GGW_HISTOGRAM_LEN ? i : GGW_HISTOGRAM_LEN - 1U;
}

/* Upper edge of a bucket in microseconds. */
static double
edge_of(unsigned i)
{
    unsigned exp, sub;

    if (i < GGW_HISTOGRAM_SUB) {
        return i + 1;
    }
    exp = i / GGW_HISTOGRAM_SUB + 3U;
    sub = i % GGW_HISTOGRAM_SUB;
    return ldexp(GGW_HISTOGRAM_SUB + sub + 1, (int)exp - 4);
}

void
ggw_histogram_add(struct ggw_histogram *h, ggw_ms value)
{
    double us = value > 0 ? value * 1e3 : 0;

    h->buckets[bucket_of((uint64_t)us)]++;
    h->count++;
    h->sum += value;
}

ggw_ms
ggw_histogram_quantile(const struct ggw_histogram *h, double q)
{
    uint64_t want, seen = 0;

    if (h->count == 0) {
        return 0;
    }
    want = (uint64_t)ceil(q * (double)h->count);
    if (want == 0) {
        want = 1;
    }
    for (unsigned i = 0; i < GGW_HISTOGRAM_LEN; i++) {
        seen += h->buckets[i];
        if (seen >= want) {
            return edge_of(i) / 1e3;
        }
    }
    return edge_of(GGW_HISTOGRAM_LEN - 1) / 1e3;
}
