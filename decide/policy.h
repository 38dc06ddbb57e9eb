#ifndef GGW_DECIDE_POLICY_H
#define GGW_DECIDE_POLICY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "kernel/clock.h"

/**
 * DOC: Load-balancing policies (design 5.12)
 *
 * A policy picks one of several backend servers for a request. The code does
 * no I/O; counts, load reports and the time are arguments.
 */

/* Returned by ggw_policy_pick() if no server can take the request. */
#define GGW_POLICY_NONE ((size_t)-1)

/*
 * Half-life of the weight of a load report, in ms. With 50 ms, power_of_two
 * did worse than with no reports at all (docs/routing.md).
 */
#define GGW_REPORT_HALF_LIFE 3.0

/**
 * struct ggw_candidate - one server to choose from
 * @in_flight: requests that the caller counts as running on the server: its
 *             own, or in the owner of the service those of all gateways; a
 *             failed request counts for the time given by
 *             ggw_limit_hold_time()
 * @limit: the server is eligible only while @in_flight is below this; 0 for a
 *         server that takes no requests
 * @avoid: the request was already sent to this server
 * @reported: a load report was received
 * @load: running plus queued requests in the last report
 * @reported_at: time of the last report, monotonic ms
 * @busy_limit: the server slows down with more requests than this; 0 for none
 * @slow_percent: latency in the last report as a percentage of the usual one;
 *                0 if unknown
 * @cost: extra cost of picking the server, as a multiple of the usual latency
 */
struct ggw_candidate {
    int in_flight;
    int limit;
    bool avoid;
    bool reported;
    int load;
    ggw_ms reported_at;
    int busy_limit;
    int slow_percent;
    double cost;
};

struct ggw_policy;

/**
 * struct ggw_policy_ops - implementation of one policy
 * @name: value of the service's setting "policy"
 * @pick: implements ggw_policy_pick()
 * @needs_owner: the policy needs the exact request counts of the owner
 */
struct ggw_policy_ops {
    const char *name;
    size_t (*pick)(struct ggw_policy *policy,
                   const struct ggw_candidate *candidates, size_t len,
                   ggw_ms now);
    bool needs_owner;
};

/**
 * struct ggw_policy - policy and its state
 * @ops: implementation of the policy
 * @rand: random number generator; the caller frees it
 * @next: index at which round_robin continues
 */
struct ggw_policy {
    const struct ggw_policy_ops *ops;
    GRand *rand;
    size_t next;
};

/**
 * ggw_policy_find() - look up a policy by name
 *
 * Return: NULL for an unknown name; the names are "slots", "fastest",
 * "random", "round_robin", "least_outstanding" and "power_of_two".
 */
const struct ggw_policy_ops *ggw_policy_find(const char *name);

/**
 * ggw_policy_names() - list the names of all policies
 *
 * Return: NULL-terminated static array.
 */
const char *const *ggw_policy_names(void);

/**
 * ggw_policy_pick() - pick a server for one request
 *
 * Never picks a server that is to be avoided or has reached its limit.
 *
 * Return: index into @candidates, or GGW_POLICY_NONE.
 */
size_t ggw_policy_pick(struct ggw_policy *policy,
                       const struct ggw_candidate *candidates, size_t len,
                       ggw_ms now);

/**
 * ggw_policy_useful_slots() - number of slots that maximizes throughput
 * @slots: slots of the server
 * @busy_percent: percentage of busy slots above which the server slows down
 *
 * Return: fewer than @slots if the slowdown costs more throughput than the
 * slots above @busy_percent add.
 */
int ggw_policy_useful_slots(int slots, int busy_percent);

/**
 * ggw_policy_expected_time() - estimate the cost of one more request
 * @now: monotonic ms
 *
 * Return: expected latency as a multiple of the usual one, plus the cost of
 * the candidate.
 */
double ggw_policy_expected_time(const struct ggw_candidate *c, ggw_ms now);

/**
 * ggw_policy_load() - estimate the number of requests on a server
 * @now: monotonic ms
 *
 * Return: @in_flight of the candidate, plus the load that the last report
 * shows beyond it, weighted by the age of the report.
 */
double ggw_policy_load(const struct ggw_candidate *c, ggw_ms now);

#endif
