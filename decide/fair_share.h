#ifndef GGW_DECIDE_FAIR_SHARE_H
#define GGW_DECIDE_FAIR_SHARE_H

#include <glib.h>

#include "kernel/clock.h"

/**
 * DOC: Fair share of slot time between the customers whose requests wait
 *
 * Start-time fair queueing. Each customer has a virtual time, which grows by
 * the slot time that it gets, divided by its weight; the request of the
 * customer with the lowest virtual time is served next. A customer whose
 * requests did not wait starts at the virtual time of the request served last,
 * so that it has saved nothing up.
 *
 * The weight is the sum of three parts. One follows from the rate that the
 * settings allow the customer: it keeps a customer that sends many times its
 * usual from pushing out the others. One follows from what the customer has
 * sent lately: it bounds how much less than all others a customer is served
 * whose rate does not match what it sends. One is the same for all: it lets a
 * small customer have a few requests close to each other, which would else
 * wait for as long as its small share takes.
 *
 * Each priority has virtual times of its own.
 */

/* Number of priorities. */
#define GGW_FAIR_PRIORITIES 8

/* Share of the weight that follows from what a customer has sent lately. */
#define GGW_FAIR_DEMAND_SHARE 0.3

/* Share of the weight that is the same for all customers. */
#define GGW_FAIR_EQUAL_SHARE 0.35

/**
 * struct ggw_fair_flow - requests of one customer in the queue
 * @customer: name; NULL for requests without a customer
 * @rate: requests per second that the settings allow; 0: not limited
 * @waiting: number of requests that wait
 * @queued: the same by class of the queue, which counts them: priorities of
 *          requests that can meet their target, then of those that cannot
 * @active: link in the list of the flows with waiting requests
 * @hold_time: moving average of the time that an attempt holds its slot, ms;
 *             0: not known
 * @demand: slot time that was requested, decayed to @demand_at, ms
 * @demand_at: monotonic ms
 * @finish: virtual time up to which the flow has been served
 */
struct ggw_fair_flow {
    char *customer;
    double rate;
    guint waiting;
    guint queued[2 * GGW_FAIR_PRIORITIES];
    GList active;
    ggw_ms hold_time;
    double demand;
    ggw_ms demand_at;
    double finish[GGW_FAIR_PRIORITIES];
};

struct ggw_fair_share;

/* Allocates the state of one queue. */
struct ggw_fair_share *ggw_fair_share_new(void);
void ggw_fair_share_free(struct ggw_fair_share *fs);

/**
 * ggw_fair_share_flow() - get the flow of a customer
 * @customer: name, or NULL
 * @rate: requests per second that the settings allow; 0: not limited
 * @now: monotonic ms
 *
 * Return: the flow. It stays valid while requests of it wait, and otherwise
 * until the next call.
 */
struct ggw_fair_flow *ggw_fair_share_flow(struct ggw_fair_share *fs,
                                          const char *customer, double rate,
                                          ggw_ms now);

/**
 * ggw_fair_share_request() - count a request that is to be queued
 * @cost: slot time that it is expected to need, ms
 */
void ggw_fair_share_request(struct ggw_fair_share *fs,
                            struct ggw_fair_flow *flow, ggw_ms cost,
                            ggw_ms now);

/**
 * ggw_fair_share_weight() - get the weight of a flow
 *
 * Return: above 0; the weights of all flows add up to about 1.
 */
double ggw_fair_share_weight(const struct ggw_fair_share *fs,
                             const struct ggw_fair_flow *flow);

/**
 * ggw_fair_share_start() - get the virtual time of the flow's next request
 */
double ggw_fair_share_start(const struct ggw_fair_share *fs,
                            const struct ggw_fair_flow *flow, int priority);

/**
 * ggw_fair_share_serve() - charge a flow for a request that leaves the queue
 *                          for a slot
 * @cost: slot time that it is expected to need, ms
 */
void ggw_fair_share_serve(struct ggw_fair_share *fs,
                          struct ggw_fair_flow *flow, int priority,
                          ggw_ms cost);

/**
 * ggw_fair_share_restart() - forget who was served more than others
 *
 * To be called when no request of the priority waits.
 */
void ggw_fair_share_restart(struct ggw_fair_share *fs, int priority);

/**
 * ggw_fair_share_add_hold_time() - record how long an attempt held its slot
 * @customer: name, or NULL
 * @held: ms
 */
void ggw_fair_share_add_hold_time(struct ggw_fair_share *fs,
                                  const char *customer, ggw_ms held);

/* Counts a request of the flow that begins or ceases to wait in a class. */
void ggw_fair_share_add_waiting(struct ggw_fair_share *fs,
                                struct ggw_fair_flow *flow, int class);
void ggw_fair_share_drop_waiting(struct ggw_fair_share *fs,
                                 struct ggw_fair_flow *flow, int class);

/**
 * ggw_fair_share_active() - get the flows with waiting requests
 *
 * Return: the first link of a list of struct ggw_fair_flow, or NULL.
 */
const GList *ggw_fair_share_active(const struct ggw_fair_share *fs);

#endif
