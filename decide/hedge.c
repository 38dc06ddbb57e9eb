#include "decide/hedge.h"

#include <glib.h>
#include <math.h>

/*
 * A hedge is sent early enough to meet the target if its response takes
 * HEDGE_LEAD_MEDIANS times the median latency, but not before the first
 * attempt has run for HEDGE_MIN_MEDIANS times the median.
 */
#define HEDGE_LEAD_MEDIANS 1.2
#define HEDGE_MIN_MEDIANS 1.1

/*
 * A hedge is asked for at most MAX_ASKS times, so that refusals under load
 * cost few messages. AGAIN_MEDIANS is the time between them in multiples of
 * the median latency.
 */
#define MAX_ASKS 4
#define AGAIN_MEDIANS 0.5

/* Time in ms whose share of the slot time may be saved up for later hedges. */
#define WORK_WINDOW 1000.0

/*
 * Maximum age in ms of a load report that shows a server to be fast. Servers
 * may slow down for spells of a few hundred ms.
 */
#define MAX_REPORT_AGE 500.0

/* Latency, in percent of the usual one, up to which a server counts as fast */
#define MAX_SLOW_PERCENT 110

/* Slots that stay free after a hedge, in percent of all slots. */
#define SPARE_PERCENT 10

ggw_ms
ggw_hedge_delay(const struct ggw_retry_request *r,
                const struct ggw_latency *latency)
{
    if (r->idempotency != GGW_IDEMPOTENT || r->prior_retries > 0 ||
        r->attempts >= MIN(r->max_attempts, 2)) {
        return INFINITY;
    }
    if (r->target_in > 0 && latency->p50 > 0) {
        return MAX(r->target_in - HEDGE_LEAD_MEDIANS * latency->p50,
                   HEDGE_MIN_MEDIANS * latency->p50);
    }
    return latency->p95 > 0 ? latency->p95 : INFINITY;
}

enum ggw_retry_verdict
ggw_hedge_decide(struct ggw_retry_budget *b, const struct ggw_retry_request *r,
                 ggw_ms elapsed, const struct ggw_latency *latency, ggw_ms now)
{
    if (elapsed < ggw_hedge_delay(r, latency)) {
        return GGW_RETRY_FINAL;
    }
    return ggw_retry_repeat(b, r, latency, now);
}

ggw_ms
ggw_hedge_ask_again(int refusals, const struct ggw_latency *latency)
{
    return refusals < MAX_ASKS && latency->p50 > 0
               ? AGAIN_MEDIANS * latency->p50
               : INFINITY;
}

void
ggw_hedge_work_configure(struct ggw_hedge_work *w, double percent, int slots)
{
    w->share = percent / 100;
    w->max_credit = w->share * slots * WORK_WINDOW;
    w->credit = MIN(w->credit, w->max_credit);
}

bool
ggw_hedge_work_is_on(const struct ggw_hedge_work *w)
{
    return w->share > 0;
}

bool
ggw_hedge_work_allows(const struct ggw_hedge_work *w, ggw_ms cost)
{
    return w->credit - w->reserved >= cost;
}

void
ggw_hedge_work_reserve(struct ggw_hedge_work *w, ggw_ms cost)
{
    w->reserved += cost;
}

void
ggw_hedge_work_end(struct ggw_hedge_work *w, ggw_ms cost, ggw_ms held)
{
    w->reserved -= cost;
    w->credit -= held;
}

void
ggw_hedge_work_earn(struct ggw_hedge_work *w, ggw_ms held)
{
    w->credit = MIN(w->credit + w->share * held, w->max_credit);
}

static bool
is_recent(const struct ggw_hedge_server *s)
{
    return s->reported && s->report_age <= MAX_REPORT_AGE;
}

bool
ggw_hedge_may_use(const struct ggw_hedge_server *s,
                  const struct ggw_hedge_server *tried)
{
    /* One slot for the hedge, one that stays free. */
    if (!s->warm || s->free < 2 || !is_recent(s)) {
        return false;
    }
    if (s->slow_percent == 0) {
        return s->load < s->slots;
    }
    return s->slow_percent <= MAX_SLOW_PERCENT &&
           (tried == NULL || !is_recent(tried) || tried->slow_percent == 0 ||
            s->slow_percent <= tried->slow_percent);
}

bool
ggw_hedge_leaves_spare(int free, int slots)
{
    return 100 * (free - 1) >= SPARE_PERCENT * slots;
}
