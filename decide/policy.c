#include "decide/policy.h"

#include <math.h>

/*
 * Work is slowed down in spells of a few hundred ms by other programs on the
 * server's machine. A report of one loses half of its weight in this time.
 */
#define SPELL_HALF_LIFE 200.0

/* Time of work, over all spells and pauses between them. */
#define MEAN_SLOWNESS 1.75

/* A server with nearly all slots busy takes longer by this factor. */
#define BUSY_FACTOR 1.7

/* Among servers that are equally fast, the least busy one is picked. */
#define BUSY_TIE 0.1

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

/* Position of the eligible candidate number n. */
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
below(GRand *rand, size_t n)
{
    return (size_t)g_rand_int_range(rand, 0, (gint32)n);
}

static size_t
random_pick(struct ggw_policy *p, const struct ggw_candidate *c, size_t len,
            ggw_ms now)
{
    size_t n = count_eligible(c, len);

    return n > 0 ? nth_eligible(c, len, below(p->rand, n)) : GGW_POLICY_NONE;
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

/* The lowest value among the eligible; ties are broken at random. */
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
        if (v <= lowest && below(p->rand, ++ties) == 0) {
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
    a = below(p->rand, n);
    b = below(p->rand, n - 1);
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

/* For an owner, whose counts are exact: reports add nothing to them. */
static size_t
slots_pick(struct ggw_policy *p, const struct ggw_candidate *c, size_t len,
           ggw_ms now)
{
    return pick_lowest(p, c, len, busy_share);
}

int
ggw_policy_useful_slots(int slots, int busy_percent)
{
    int fast = busy_percent * slots / 100;

    return fast < slots && fast > slots / BUSY_FACTOR ? fast : slots;
}

double
ggw_policy_work(const struct ggw_candidate *c, ggw_ms now)
{
    double work = MEAN_SLOWNESS;
    double weight;

    if (c->slow_percent > 0) {
        weight = exp2(-(now - c->reported_at) / SPELL_HALF_LIFE);
        work += (c->slow_percent / 100.0 - MEAN_SLOWNESS) * weight;
    }
    if (c->busy_limit > 0 && c->in_flight >= c->busy_limit) {
        work *= BUSY_FACTOR;
    }
    return work + c->cost;
}

/* For an owner, whose counts are exact and whose reports are fresh. */
static size_t
fastest_pick(struct ggw_policy *p, const struct ggw_candidate *c, size_t len,
             ggw_ms now)
{
    size_t best = GGW_POLICY_NONE;
    double lowest = INFINITY;
    size_t ties = 0;

    for (size_t i = 0; i < len; i++) {
        double work;

        if (!eligible(&c[i])) {
            continue;
        }
        work = ggw_policy_work(&c[i], now) + BUSY_TIE * busy_share(&c[i]);
        if (work < lowest) {
            lowest = work;
            ties = 0;
        }
        if (work <= lowest && below(p->rand, ++ties) == 0) {
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
