#include "decide/measure.h"

#include <glib.h>
#include <math.h>

/*
 * The bucket holds this part of the budget of one second and is refilled at
 * the rate of the remaining part. A full bucket plus the refill of one second
 * thus never exceed the budget of a second.
 */
#define BURST_SHARE 0.1

/* Longest wait in ms for load reports; a round trip takes a few ms. */
#define MAX_WAIT 8.0

/*
 * Part of the answer time that may pass before the placement. The rest is for
 * the acquire request and the answer on their way, and for late timers.
 */
#define WAIT_SHARE 0.5

static double
capacity(const struct ggw_probe_budget *b)
{
    return b->share * b->slots * 1000 * BURST_SHARE;
}

static void
refill(struct ggw_probe_budget *b, ggw_ms now)
{
    double rate = b->share * b->slots * (1 - BURST_SHARE);

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
    /*
     * A probe that costs more than the capacity needs a full bucket and
     * overdraws it.
     */
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
ggw_probe_due_at(const struct ggw_probe_candidate *servers, size_t len)
{
    ggw_ms heard_at = INFINITY;

    for (size_t i = 0; i < len; i++) {
        if (!servers[i].pending) {
            heard_at = MIN(heard_at, servers[i].heard_at);
        }
    }
    return heard_at + GGW_PROBE_SILENCE;
}

ggw_ms
ggw_probe_max_wait(ggw_ms answer_time)
{
    return answer_time * WAIT_SHARE >= MAX_WAIT ? MAX_WAIT : 0;
}
