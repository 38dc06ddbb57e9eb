#include "decide/remaining.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* With this many responses, older ones lose half of their weight. */
#define MAX_TOTAL 2000.0

/* With fewer responses, the share of long runs is not usable. */
#define MIN_TOTAL 200.0

/* Long runs must be at least this many of the counted responses. */
#define MIN_LONG 4.0

/* Responses between two updates of the derived members. */
#define UPDATE_INTERVAL 50

/* A run is long from this multiple of the median run time. */
#define LONG_AGE_FACTOR 3.0

/*
 * Long runs count only if the expected remaining time at the age of a long run
 * is at least this multiple of the mean run time. It is 1 for an exponential
 * distribution, where the age of a run says nothing about its end.
 */
#define MIN_REMAINING_FACTOR 2.0

/* Lower bound of the factor, so that the estimated wait stays finite. */
#define MIN_RETURN_RATE 0.01

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

void
ggw_remaining_init(struct ggw_remaining *r)
{
    memset(r, 0, sizeof(*r));
    r->until_update = UPDATE_INTERVAL;
}

static ggw_ms
median(const struct ggw_remaining *r)
{
    double sum = 0;

    for (int i = 0; i < GGW_REMAINING_LEN; i++) {
        sum += r->weights[i];
        if (sum >= r->total / 2) {
            return middle(i);
        }
    }
    return 0;
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

/* Mean of the run times, each counted as at most @limit, ms. */
static ggw_ms
mean_up_to(const struct ggw_remaining *r, ggw_ms limit)
{
    double sum = 0;

    for (int i = 0; i < GGW_REMAINING_LEN; i++) {
        sum += r->weights[i] * MIN(middle(i), limit);
    }
    return sum / r->total;
}

static void
update(struct ggw_remaining *r)
{
    ggw_ms age = LONG_AGE_FACTOR * median(r);
    double above = weight_above(r, age);

    r->long_age = 0;
    r->mean = mean_up_to(r, INFINITY);
    if (r->total < MIN_TOTAL || above < MIN_LONG ||
        ggw_remaining_time(r, age) < MIN_REMAINING_FACTOR * r->mean) {
        return;
    }
    r->long_age = age;
    /* Runs that become long leave this set without giving back a slot. */
    r->short_rate = (1 - above / r->total) / mean_up_to(r, age);
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
    r->until_update--;
    if (r->until_update <= 0) {
        r->until_update = UPDATE_INTERVAL;
        update(r);
    }
}

ggw_ms
ggw_remaining_time(const struct ggw_remaining *r, ggw_ms age)
{
    double above = weight_above(r, age);
    double sum = 0;

    if (r->total <= 0) {
        return 0;
    }
    if (above <= 0) {
        return age;
    }
    for (int i = 0; i < GGW_REMAINING_LEN; i++) {
        sum += middle(i) > age ? r->weights[i] * (middle(i) - age) : 0;
    }
    return sum / above;
}

double
ggw_remaining_return_rate(const struct ggw_remaining *r, int slots,
                          int long_runs, double long_rate)
{
    double rate;

    if (r->long_age <= 0 || slots <= 0) {
        return 1;
    }
    rate = MAX(slots - long_runs, 0) * r->short_rate + long_rate;
    return MAX(rate * r->mean / slots, MIN_RETURN_RATE);
}
