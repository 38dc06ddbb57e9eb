#include "decide/policy.h"

#include <math.h>

/*
 * Other programs on a server's machine slow it down for a few hundred ms at a
 * time. A report of such a slowdown loses half of its weight in this many ms.
 */
#define SLOWDOWN_HALF_LIFE 200.0

/* Latency averaged over slow and normal periods; 1 is the usual one. */
#define MEAN_SLOWDOWN 1.75

/* Factor by which the latency grows when nearly all slots are busy. */
#define BUSY_SLOWDOWN 1.7

/* Makes the policy "fastest" prefer the least busy of equally fast servers. */
#define BUSY_TIE_WEIGHT 0.1

static bool
eligible(const struct ggw_candidate *c)
{
    return !c->avoid && c->in_flight < c->limit;
}

double
ggw_policy_load(const struct ggw_candidate *c, ggw_ms now)
{
    double weight;

    if (!c->reported || c->load <= c->in_flight) {
        return c->in_flight;
    }
    weight = exp2(-(now - c->reported_at) / GGW_REPORT_HALF_LIFE);
    return c->in_flight + (c->load - c->in_flight) * weight;
}

static size_t
count_eligible(const struct ggw_candidate *c, size_t len)
{
    size_t n = 0;

    for (size_t i = 0; i < len; i++) {
        n += eligible(&c[i]);
    }
    return n;
}

/* Index of the n-th eligible candidate, counted from 0. */
static size_t
nth_eligible(const struct ggw_candidate *c, size_t len, size_t n)
{
    for (size_t i = 0; i < len; i++) {
        if (eligible(&c[i]) && n-- == 0) {
            return i;
        }
    }
    return GGW_POLICY_NONE;
}

static size_t
random_below(GRand *rand, size_t n)
{
    return (size_t)g_rand_int_range(rand, 0, (gint32)n);
}

static size_t
random_pick(struct ggw_policy *p, const struct ggw_candidate *c, size_t len,
            ggw_ms now)
{
    size_t n = count_eligible(c, len);

    return n > 0 ? nth_eligible(c, len, random_below(p->rand, n))
                 : GGW_POLICY_NONE;
}

static size_t
round_robin_pick(struct ggw_policy *p, const struct ggw_candidate *c,
                 size_t len, ggw_ms now)
{
    for (size_t i = 0; i < len; i++) {
        size_t at = (p->next + i) % len;

        if (eligible(&c[at])) {
            p->next = at + 1;
            return at;
        }
    }
    return GGW_POLICY_NONE;
}

/* Picks the eligible candidate with the lowest value, ties at random. */
static size_t
pick_lowest(struct ggw_policy *p, const struct ggw_candidate *c, size_t len,
            double (*value)(const struct ggw_candidate *c))
{
    size_t best = GGW_POLICY_NONE;
    double lowest = INFINITY;
    size_t ties = 0;

    for (size_t i = 0; i < len; i++) {
        double v;

        if (!eligible(&c[i])) {
            continue;
        }
        v = value(&c[i]);
        if (v < lowest) {
            lowest = v;
            ties = 0;
        }
        if (v <= lowest && random_below(p->rand, ++ties) == 0) {
            best = i;
        }
    }
    return best;
}

static double
outstanding(const struct ggw_candidate *c)
{
    return c->in_flight;
}

static size_t
least_outstanding_pick(struct ggw_policy *p, const struct ggw_candidate *c,
                       size_t len, ggw_ms now)
{
    return pick_lowest(p, c, len, outstanding);
}

static size_t
power_of_two_pick(struct ggw_policy *p, const struct ggw_candidate *c,
                  size_t len, ggw_ms now)
{
    size_t n = count_eligible(c, len);
    size_t a, b;

    if (n < 2) {
        return n > 0 ? nth_eligible(c, len, 0) : GGW_POLICY_NONE;
    }
    a = random_below(p->rand, n);
    b = random_below(p->rand, n - 1);
    b += b >= a;
    a = nth_eligible(c, len, a);
    b = nth_eligible(c, len, b);
    return ggw_policy_load(&c[b], now) < ggw_policy_load(&c[a], now) ? b : a;
}

static double
busy_share(const struct ggw_candidate *c)
{
    return (double)c->in_flight / c->limit;
}

/* Used by the owner, whose counts are exact: load reports add nothing. */
static size_t
slots_pick(struct ggw_policy *p, const struct ggw_candidate *c, size_t len,
           ggw_ms now)
{
    return pick_lowest(p, c, len, busy_share);
}

int
ggw_policy_useful_slots(int slots, int busy_percent)
{
    int fast_slots = busy_percent * slots / 100;

    return fast_slots < slots && fast_slots > slots / BUSY_SLOWDOWN
               ? fast_slots
               : slots;
}

double
ggw_policy_expected_time(const struct ggw_candidate *c, ggw_ms now)
{
    double expected = MEAN_SLOWDOWN;
    double weight;

    if (c->slow_percent > 0) {
        weight = exp2(-(now - c->reported_at) / SLOWDOWN_HALF_LIFE);
        expected += (c->slow_percent / 100.0 - MEAN_SLOWDOWN) * weight;
    }
    if (c->busy_limit > 0 && c->in_flight >= c->busy_limit) {
        expected *= BUSY_SLOWDOWN;
    }
    return expected + c->cost;
}

/* Used by the owner, whose counts are exact and whose reports are recent. */
static size_t
fastest_pick(struct ggw_policy *p, const struct ggw_candidate *c, size_t len,
             ggw_ms now)
{
    size_t best = GGW_POLICY_NONE;
    double lowest = INFINITY;
    size_t ties = 0;

    for (size_t i = 0; i < len; i++) {
        double expected;

        if (!eligible(&c[i])) {
            continue;
        }
        expected = ggw_policy_expected_time(&c[i], now) +
                   BUSY_TIE_WEIGHT * busy_share(&c[i]);
        if (expected < lowest) {
            lowest = expected;
            ties = 0;
        }
        if (expected <= lowest && random_below(p->rand, ++ties) == 0) {
            best = i;
        }
    }
    return best;
}

static const struct ggw_policy_ops policies[] = {
    {.name = "slots", .pick = slots_pick, .needs_owner = true},
    {.name = "fastest", .pick = fastest_pick, .needs_owner = true},
    {.name = "random", .pick = random_pick},
    {.name = "round_robin", .pick = round_robin_pick},
    {.name = "least_outstanding", .pick = least_outstanding_pick},
    {.name = "power_of_two", .pick = power_of_two_pick},
};

const struct ggw_policy_ops *
ggw_policy_find(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
        if (g_str_equal(policies[i].name, name)) {
            return &policies[i];
        }
    }
    return NULL;
}

const char *const *
ggw_policy_names(void)
{
    static const char *const names[] = {
        "slots",       "fastest",           "random",
        "round_robin", "least_outstanding", "power_of_two",
        NULL,
    };

    return names;
}

size_t
ggw_policy_pick(struct ggw_policy *policy,
                const struct ggw_candidate *candidates, size_t len, ggw_ms now)
{
    return policy->ops->pick(policy, candidates, len, now);
}
