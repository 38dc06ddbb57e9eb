#include "decide/remaining.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* With this many responses, older ones lose half of their weight. */
#define MAX_TOTAL 2000.0

static int
bucket_of(ggw_ms latency)
{
    int i = (int)(log2(MAX(latency, 1)) * GGW_REMAINING_SUBBUCKETS);

    return MIN(i, GGW_REMAINING_LEN - 1);
}

/* Geometric middle of a bucket, ms. */
static ggw_ms
middle(int bucket)
{
    return exp2((bucket + 0.5) / GGW_REMAINING_SUBBUCKETS);
}

static ggw_ms
upper_limit(int bucket)
{
    return exp2((bucket + 1.0) / GGW_REMAINING_SUBBUCKETS);
}

void
ggw_remaining_init(struct ggw_remaining *r)
{
    memset(r, 0, sizeof(*r));
}

/* Number of responses that took longer than @age, in counted responses. */
static double
weight_above(const struct ggw_remaining *r, ggw_ms age)
{
    double sum = 0;

    for (int i = 0; i < GGW_REMAINING_LEN; i++) {
        sum += middle(i) > age ? r->weights[i] : 0;
    }
    return sum;
}

static void
halve(struct ggw_remaining *r)
{
    for (int i = 0; i < GGW_REMAINING_LEN; i++) {
        r->weights[i] /= 2;
    }
    r->total /= 2;
}

void
ggw_remaining_add(struct ggw_remaining *r, ggw_ms latency)
{
    r->weights[bucket_of(latency)] += 1;
    r->total += 1;
    if (r->total >= MAX_TOTAL) {
        halve(r);
    }
}

ggw_ms
ggw_remaining_time(const struct ggw_remaining *r, ggw_ms age, double q)
{
    double above = weight_above(r, age);
    double sum = 0;

    if (r->total <= 0) {
        return 0;
    }
    for (int i = 0; i < GGW_REMAINING_LEN; i++) {
        sum += middle(i) > age ? r->weights[i] : 0;
        if (sum > 0 && sum >= q * above) {
            return upper_limit(i) - age;
        }
    }
    return age;
}
