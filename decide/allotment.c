#include "decide/allotment.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Time constant of the demand of a holder in ms. */
#define DEMAND_MS 500.0

/*
 * Longest time that a refused client is told to wait, in ms. Further clients
 * are spread over the same time again.
 */
#define MAX_RETRY_AFTER 1000.0

/* Tokens of a bucket at first: a constant, and those of a time in ms. */
#define FIRST_TOKENS 1.0
#define FIRST_MS 50.0

/* Time in ms whose tokens a full bucket holds at least. */
#define MIN_DEPTH_MS 100.0

/* Changes of the owner for which a window has room. */
#define OWNER_CHANGES 3

/* Requests that are left over below the bound. */
#define MARGIN 2.0

/* Rounding error of sums of fractions of tokens. */
#define EPSILON 1e-6

double
ggw_allotment_bound(double rate, double burst)
{
    return (rate * GGW_ALLOTMENT_WINDOW + burst) * GGW_ALLOTMENT_FACTOR +
           GGW_ALLOTMENT_SLACK;
}

/*
 * Tokens that a full bucket holds: enough for the time between the asks of
 * several gateways, also without a burst.
 */
static double
depth(double rate, double burst)
{
    return fmax(burst * GGW_ALLOTMENT_DEPTH, rate * MIN_DEPTH_MS / 1000) +
           GGW_ALLOTMENT_SPARE;
}

/*
 * Tokens per second. They are chosen so that a window in which a full bucket
 * is used, with the leases of before, changes of the owner and the grants of
 * gateways without a majority, stays within the bound.
 */
static double
pace(double rate, double burst)
{
    double seconds =
        GGW_ALLOTMENT_WINDOW * (1 + GGW_ALLOTMENT_MINORITY_SHARE) +
        GGW_ALLOTMENT_LEASE / 1000 + OWNER_CHANGES * FIRST_MS / 1000;
    double tokens = ggw_allotment_bound(rate, burst) - depth(rate, burst) -
                    OWNER_CHANGES * FIRST_TOKENS - MARGIN;

    return tokens / seconds;
}

static void
refill(struct ggw_allotment_bucket *b, ggw_ms now)
{
    if (now > b->at) {
        b->level =
            fmin(b->level + b->rate * (now - b->at) / 1000, b->capacity);
        b->at = now;
    }
}

void
ggw_allotment_bucket_init(struct ggw_allotment_bucket *b, double rate,
                          double burst, ggw_ms since, ggw_ms now)
{
    *b = (struct ggw_allotment_bucket){
        .rate = pace(rate, burst),
        .capacity = depth(rate, burst),
        .since = fmin(since, now),
        .level = FIRST_TOKENS + pace(rate, burst) * FIRST_MS / 1000,
        .at = fmin(since, now),
    };
    refill(b, now);
}

void
ggw_allotment_bucket_set(struct ggw_allotment_bucket *b, double rate,
                         double burst, double share, ggw_ms now)
{
    refill(b, now);
    b->rate = pace(rate, burst) * share;
    b->capacity = fmax(depth(rate, burst) * share, 1);
    b->level = fmin(b->level, b->capacity);
}

void
ggw_allotment_bucket_reset(struct ggw_allotment_bucket *b, ggw_ms now)
{
    b->level = fmin(b->level, 0);
    b->since = now;
    b->at = now;
}

void
ggw_allotment_bucket_put(struct ggw_allotment_bucket *b, unsigned tokens,
                         ggw_ms now)
{
    refill(b, now);
    b->level = fmin(b->level + tokens, b->capacity);
}

/* Gives each refused request a time of its own, at the pace of the tokens. */
static void
plan_retries(struct ggw_allotment_bucket *b,
             struct ggw_allotment_answer *answer, ggw_ms now)
{
    ggw_ms token_at = now + (1 - b->level) * 1000 / b->rate;

    answer->step = 1000 / b->rate;
    if (b->retry_at < token_at || b->retry_at > now + MAX_RETRY_AFTER) {
        b->retry_at = token_at;
    }
    answer->retry_after = b->retry_at - now;
    b->retry_at += answer->refused * answer->step;
}

struct ggw_allotment_answer
ggw_allotment_bucket_take(struct ggw_allotment_bucket *b, unsigned needed,
                          unsigned ahead, ggw_ms now)
{
    struct ggw_allotment_answer answer = {0};

    refill(b, now);
    answer.granted =
        (unsigned)CLAMP(floor(b->level + EPSILON), 0, (double)needed + ahead);
    b->level -= answer.granted;
    if (answer.granted < needed && now >= b->since + GGW_ALLOTMENT_SETTLE) {
        answer.refused = needed - answer.granted;
        plan_retries(b, &answer, now);
    }
    return answer;
}

static void
drop_first(struct ggw_allotment_holder *h)
{
    h->len--;
    memmove(h->grants, h->grants + 1, h->len * sizeof(h->grants[0]));
}

/* Removes grants that have expired or are used up. */
static void
expire(struct ggw_allotment_holder *h, ggw_ms now)
{
    while (h->len > 0 &&
           (h->grants[0].tokens == 0 || h->grants[0].expires <= now)) {
        h->expired += h->grants[0].tokens;
        drop_first(h);
    }
}

/* Adds tokens; the shortest validity wins if there is no room for a grant. */
static void
add(struct ggw_allotment_holder *h, unsigned tokens, ggw_ms expires)
{
    size_t i = 0;

    if (tokens == 0) {
        return;
    }
    if (h->len == GGW_ALLOTMENT_GRANTS) {
        h->grants[0].tokens += tokens;
        h->grants[0].expires = fmin(h->grants[0].expires, expires);
        return;
    }
    while (i < h->len && h->grants[i].expires <= expires) {
        i++;
    }
    memmove(h->grants + i + 1, h->grants + i,
            (h->len - i) * sizeof(h->grants[0]));
    h->grants[i] = (struct ggw_allotment_grant){tokens, expires};
    h->len++;
}

static void
decay_demand(struct ggw_allotment_holder *h, ggw_ms now)
{
    h->demand *= exp(-fmax(now - h->demand_at, 0) / DEMAND_MS);
    h->demand_at = now;
}

void
ggw_allotment_holder_count(struct ggw_allotment_holder *h, ggw_ms now)
{
    decay_demand(h, now);
    h->demand += 1000 / DEMAND_MS;
}

bool
ggw_allotment_holder_use(struct ggw_allotment_holder *h, ggw_ms now)
{
    expire(h, now);
    if (h->len == 0) {
        return false;
    }
    h->grants[0].tokens--;
    return true;
}

unsigned
ggw_allotment_holder_tokens(struct ggw_allotment_holder *h, ggw_ms now)
{
    unsigned tokens = 0;

    expire(h, now);
    for (size_t i = 0; i < h->len; i++) {
        tokens += h->grants[i].tokens;
    }
    return tokens;
}

bool
ggw_allotment_holder_ask(struct ggw_allotment_holder *h, unsigned waiting,
                         unsigned *ahead, ggw_ms now)
{
    unsigned tokens = ggw_allotment_holder_tokens(h, now);
    unsigned target;

    decay_demand(h, now);
    target = (unsigned)fmin(h->demand * GGW_ALLOTMENT_AHEAD / 1000, 1e6);
    *ahead = target > tokens ? target - tokens : 0;
    if (h->asked_at > 0 && now < h->asked_at + GGW_ALLOTMENT_ANSWER) {
        return false;
    }
    if (now < h->next_ask || (waiting == 0 && tokens * 2 >= target)) {
        return false;
    }
    h->asked_at = now;
    return true;
}

void
ggw_allotment_holder_answered(struct ggw_allotment_holder *h, unsigned granted,
                              ggw_ms asked_at, bool refused, ggw_ms now)
{
    expire(h, now);
    if (h->asked_at == asked_at) {
        h->asked_at = 0;
    }
    h->next_ask = refused ? now + GGW_ALLOTMENT_PAUSE : h->next_ask;
    if (granted > 0) {
        h->granted_at = now;
        add(h, granted, asked_at + GGW_ALLOTMENT_LEASE);
    }
}

void
ggw_allotment_holder_return(struct ggw_allotment_holder *h, ggw_ms used_at,
                            ggw_ms now)
{
    if (now < used_at + GGW_ALLOTMENT_LEASE) {
        expire(h, now);
        add(h, 1, used_at + GGW_ALLOTMENT_LEASE);
    }
}
