#include "decide/measure.h"

#include <glib.h>
#include <math.h>

/*
 * The bucket holds BURST of one second's budget and is refilled at the rest,
 * so that no window of a second spends more than the budget.
 */
#define BURST 0.1

static double
capacity(const struct ggw_probe_budget *b)
{
    return b->share * b->slots * 1000 * BURST;
}

static void
refill(struct ggw_probe_budget *b, ggw_ms now)
{
    double rate = b->share * b->slots * (1 - BURST);

    b->tokens = MIN(b->tokens + (now - b->refilled) * rate, capacity(b));
    b->refilled = now;
}

void
ggw_probe_budget_init(struct ggw_probe_budget *b, double percent, ggw_ms now)
{
    *b = (struct ggw_probe_budget){.share = percent / 100, .refilled = now};
}

void
ggw_probe_budget_set(struct ggw_probe_budget *b, double percent, int slots,
                     ggw_ms now)
{
    refill(b, now);
    b->share = percent / 100;
    b->slots = slots;
    b->tokens = MIN(b->tokens, capacity(b));
}

bool
ggw_probe_budget_charge(struct ggw_probe_budget *b, ggw_ms cost, ggw_ms now)
{
    double full;

    refill(b, now);
    full = capacity(b);
    /* A probe that costs more than the bucket holds runs from a full one. */
    if (full <= 0 || b->tokens < MIN(cost, full)) {
        return false;
    }
    b->tokens -= cost;
    return true;
}

void
ggw_probe_budget_refund(struct ggw_probe_budget *b, ggw_ms cost, ggw_ms spent)
{
    b->tokens = MIN(b->tokens + cost - spent, capacity(b));
}

size_t
ggw_probe_pick(const struct ggw_probe_candidate *servers, size_t len,
               ggw_ms now)
{
    size_t oldest = (size_t)-1;

    for (size_t i = 0; i < len; i++) {
        const struct ggw_probe_candidate *s = &servers[i];

        if (s->pending || now - s->heard_at <= GGW_PROBE_SILENCE) {
            continue;
        }
        if (oldest == (size_t)-1 || s->heard_at < servers[oldest].heard_at) {
            oldest = i;
        }
    }
    return oldest;
}

ggw_ms
ggw_probe_next(const struct ggw_probe_candidate *servers, size_t len)
{
    ggw_ms heard_at = INFINITY;

    for (size_t i = 0; i < len; i++) {
        if (!servers[i].pending) {
            heard_at = MIN(heard_at, servers[i].heard_at);
        }
    }
    return heard_at + GGW_PROBE_SILENCE;
}
