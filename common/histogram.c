#include "common/histogram.h"

#include <math.h>

static unsigned
bucket_index(uint64_t us)
{
    unsigned exponent, i;

    if (us < GGW_HISTOGRAM_SUBBUCKETS) {
        return (unsigned)us;
    }
    exponent = 63U - (unsigned)__builtin_clzll(us); /* at least 4 */
    i = (exponent - 3U) * GGW_HISTOGRAM_SUBBUCKETS +
        (unsigned)((us >> (exponent - 4U)) & (GGW_HISTOGRAM_SUBBUCKETS - 1U));
    return i < GGW_HISTOGRAM_LEN ? i : GGW_HISTOGRAM_LEN - 1U;
}

/* Returns the upper limit of a bucket in microseconds. */
static double
bucket_upper_us(unsigned i)
{
    unsigned exponent, sub;

    if (i < GGW_HISTOGRAM_SUBBUCKETS) {
        return i + 1;
    }
    exponent = i / GGW_HISTOGRAM_SUBBUCKETS + 3U;
    sub = i % GGW_HISTOGRAM_SUBBUCKETS;
    return ldexp(GGW_HISTOGRAM_SUBBUCKETS + sub + 1, (int)exponent - 4);
}

void
ggw_histogram_add(struct ggw_histogram *h, ggw_ms value)
{
    double us = value > 0 ? value * 1e3 : 0;

    h->buckets[bucket_index((uint64_t)us)]++;
    h->count++;
    h->sum += value;
}

ggw_ms
ggw_histogram_quantile(const struct ggw_histogram *h, double q)
{
    uint64_t rank, seen = 0;

    if (h->count == 0) {
        return 0;
    }
    rank = (uint64_t)ceil(q * (double)h->count);
    if (rank == 0) {
        rank = 1;
    }
    for (unsigned i = 0; i < GGW_HISTOGRAM_LEN; i++) {
        seen += h->buckets[i];
        if (seen >= rank) {
            return bucket_upper_us(i) / 1e3;
        }
    }
    return bucket_upper_us(GGW_HISTOGRAM_LEN - 1) / 1e3;
}
