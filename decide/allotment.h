#ifndef GGW_DECIDE_ALLOTMENT_H
#define GGW_DECIDE_ALLOTMENT_H

#include <stdbool.h>
#include <stddef.h>

#include "kernel/clock.h"

/**
 * DOC: Rate of a customer over all gateways (docs/design/allotments.md)
 *
 * One gateway owns the token bucket of a customer and grants tokens to the
 * gateways that ask for them. A gateway uses one token for each request and
 * asks ahead for what it expects to use soon. A grant is valid for
 * GGW_ALLOTMENT_LEASE only.
 *
 * In no window of 5 s may more than (rate * 5 + burst) * 1.1 + 20 requests
 * run. Requests below this bound are within the allotment. The bucket is
 * therefore refilled faster than at the customer's rate, and holds less than
 * the burst: a customer that sends evenly can use the whole bound, and a new
 * owner, which begins with few tokens, stays within it.
 */

/* The bound: length of a window in s, factor, and requests in addition. */
#define GGW_ALLOTMENT_WINDOW 5.0
#define GGW_ALLOTMENT_FACTOR 1.1
#define GGW_ALLOTMENT_SLACK 20.0

/* Validity of a grant in ms, from the time at which the gateway asked. */
#define GGW_ALLOTMENT_LEASE 200.0

/* Tokens for this time are asked for ahead of need, in ms. */
#define GGW_ALLOTMENT_AHEAD 150.0

/* Time without an answer after which a gateway asks again, in ms. */
#define GGW_ALLOTMENT_ANSWER 150.0

/* Pause before the next ask when the owner had too few tokens, in ms. */
#define GGW_ALLOTMENT_PAUSE 25.0

/* Longest time that a request waits for an answer of an owner, in ms. */
#define GGW_ALLOTMENT_MAX_WAIT 1500.0

/* Tokens that a full bucket holds: share of the burst, and in addition. */
#define GGW_ALLOTMENT_DEPTH 0.2
#define GGW_ALLOTMENT_SPARE 4.0

/*
 * Time after a change of the owner in which requests wait for a token instead
 * of being refused, in ms. The new owner has few tokens, although the customer
 * may be within its allotment.
 */
#define GGW_ALLOTMENT_SETTLE 1000.0

/*
 * Share of its rate that a customer has on the gateways that lack a majority,
 * over all of them together. They may be the smaller side of a partition whose
 * larger side grants the whole rate.
 */
#define GGW_ALLOTMENT_MINORITY_SHARE 0.02

/**
 * struct ggw_allotment_bucket - tokens of one customer, kept by its owner
 * @rate: tokens per second
 * @capacity: tokens that a full bucket holds
 * @since: time from which on no other gateway has granted tokens, monotonic ms
 * @level: tokens left at @at
 * @at: time of the last update, monotonic ms
 * @retry_at: time that the last refused request was told, monotonic ms
 */
struct ggw_allotment_bucket {
    double rate;
    double capacity;
    ggw_ms since;
    double level;
    ggw_ms at;
    ggw_ms retry_at;
};

/**
 * struct ggw_allotment_answer - answer of an owner
 * @granted: tokens granted
 * @refused: requests that get no token; the others wait and ask again
 * @retry_after: ms after which the first request without a token may come back
 * @step: ms by which each further one comes later
 */
struct ggw_allotment_answer {
    unsigned granted;
    unsigned refused;
    ggw_ms retry_after;
    ggw_ms step;
};

/**
 * ggw_allotment_bound() - requests that may run in a window
 */
double ggw_allotment_bound(double rate, double burst);

/**
 * ggw_allotment_bucket_init() - start to count a customer
 * @rate: requests per second of the settings
 * @burst: burst of the settings
 * @since: time from which on no other gateway has granted tokens, monotonic ms
 *
 * Tokens have collected since then, from a few on, so that a gateway that
 * takes over does not grant the burst a second time.
 */
void ggw_allotment_bucket_init(struct ggw_allotment_bucket *b, double rate,
                               double burst, ggw_ms since, ggw_ms now);

/**
 * ggw_allotment_bucket_set() - apply changed settings
 * @share: part of the rate and the burst that this gateway may grant; 1: all
 *
 * Tokens above a lower burst are lost at once.
 */
void ggw_allotment_bucket_set(struct ggw_allotment_bucket *b, double rate,
                              double burst, double share, ggw_ms now);

/**
 * ggw_allotment_bucket_reset() - forget collected tokens
 *
 * For an owner that other gateways may have replaced for some time.
 */
void ggw_allotment_bucket_reset(struct ggw_allotment_bucket *b, ggw_ms now);

/**
 * ggw_allotment_bucket_put() - take back tokens that were not used
 */
void ggw_allotment_bucket_put(struct ggw_allotment_bucket *b, unsigned tokens,
                              ggw_ms now);

/**
 * ggw_allotment_bucket_take() - grant tokens
 * @needed: requests that wait for a token
 * @ahead: tokens for requests that are expected soon
 */
struct ggw_allotment_answer
ggw_allotment_bucket_take(struct ggw_allotment_bucket *b, unsigned needed,
                          unsigned ahead, ggw_ms now);

/* Grants that a gateway holds at the same time. */
#define GGW_ALLOTMENT_GRANTS 4

/**
 * struct ggw_allotment_grant - tokens that expire together
 */
struct ggw_allotment_grant {
    unsigned tokens;
    ggw_ms expires;
};

/**
 * struct ggw_allotment_holder - tokens of one customer on one gateway
 * @grants: tokens to use, the one that expires first at the front
 * @len: number of @grants
 * @expired: tokens that expired and are given back with the next ask
 * @demand: requests per second of the last half second or so
 * @demand_at: time of the last update of @demand, monotonic ms
 * @asked_at: time of the ask whose answer is awaited, monotonic ms; 0: none
 * @next_ask: earliest time of the next ask, monotonic ms
 * @granted_at: time of the last grant, monotonic ms; 0: none
 */
struct ggw_allotment_holder {
    struct ggw_allotment_grant grants[GGW_ALLOTMENT_GRANTS];
    size_t len;
    unsigned expired;
    double demand;
    ggw_ms demand_at;
    ggw_ms asked_at;
    ggw_ms next_ask;
    ggw_ms granted_at;
};

/**
 * ggw_allotment_holder_count() - count a request in the demand
 */
void ggw_allotment_holder_count(struct ggw_allotment_holder *h, ggw_ms now);

/**
 * ggw_allotment_holder_use() - use one token
 *
 * Return: false if there is none.
 */
bool ggw_allotment_holder_use(struct ggw_allotment_holder *h, ggw_ms now);

/**
 * ggw_allotment_holder_tokens() - tokens that may be used now
 */
unsigned ggw_allotment_holder_tokens(struct ggw_allotment_holder *h,
                                     ggw_ms now);

/**
 * ggw_allotment_holder_ask() - decide whether to ask the owner now
 * @waiting: requests that wait for a token
 * @ahead: set to the tokens to ask for beyond those that wait
 *
 * Return: true if the caller is to ask now; the ask counts as sent.
 */
bool ggw_allotment_holder_ask(struct ggw_allotment_holder *h, unsigned waiting,
                              unsigned *ahead, ggw_ms now);

/**
 * ggw_allotment_holder_answered() - record an answer
 * @granted: tokens granted
 * @asked_at: time of the ask, monotonic ms; the tokens expire after it
 * @refused: the owner had fewer tokens than were needed
 */
void ggw_allotment_holder_answered(struct ggw_allotment_holder *h,
                                   unsigned granted, ggw_ms asked_at,
                                   bool refused, ggw_ms now);

/**
 * ggw_allotment_holder_return() - take back the token of a request that did
 *                                 not run
 * @used_at: time at which the token was used, monotonic ms
 *
 * A token that was used long ago is lost: returned later, it would allow more
 * than the rate in a period in which it does not count.
 */
void ggw_allotment_holder_return(struct ggw_allotment_holder *h,
                                 ggw_ms used_at, ggw_ms now);

#endif
