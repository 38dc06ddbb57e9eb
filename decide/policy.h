#ifndef GGW_DECIDE_POLICY_H
#define GGW_DECIDE_POLICY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "kernel/clock.h"

/*
 * Policies that pick one backend server out of several (design 5.12).
 */

#define GGW_POLICY_NONE ((size_t)-1)

/*
 * A load report loses half of its weight in this time. 50 ms made power of
 * two choices worse than no reports at all: docs/routing.md.
 */
#define GGW_REPORT_HALF_LIFE 3.0

/**
 * struct ggw_candidate - what is known of one server
 * @in_flight: requests that the caller counts as running there: its own, or
 *             for an owner those of all gateways; a failed one counts until
 *             ggw_limit_hold_time()
 * @limit: a server with @in_flight at or above it is not picked; 0 for a
 *         server that takes no work
 * @avoid: the request already tried this server
 * @reported: whether a load report is known
 * @load: busy plus queued requests in the last report
 * @reported_at: time of the last report, monotonic ms
 * @busy_limit: a server with more requests than this becomes slow; 0: none
 * @slow_percent: time of work there in the last report, 100 as usual; 0: not
 *                known
 * @cost: of picking it, as a part of the usual time of the work
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
 * struct ggw_policy_ops - one policy
 * @name: value of the service's setting "policy"
 * @pick: see ggw_policy_pick()
 * @needs_owner: it needs the counts of an owner
 */
struct ggw_policy_ops {
    const char *name;
    size_t (*pick)(struct ggw_policy *policy,
                   const struct ggw_candidate *candidates, size_t len,
                   ggw_ms now);
    bool needs_owner;
};

/**
 * struct ggw_policy - a policy with its state
 * @ops: the policy
 * @rand: random numbers, owned by the caller
 * @next: position for round_robin
 */
struct ggw_policy {
    const struct ggw_policy_ops *ops;
    GRand *rand;
    size_t next;
};

/**
 * ggw_policy_find() - look up a policy by name
 *
 * Return: NULL when there is none; the names are "slots", "fastest",
 * "random", "round_robin", "least_outstanding" and "power_of_two".
 */
const struct ggw_policy_ops *ggw_policy_find(const char *name);

/**
 * ggw_policy_names() - NULL-terminated names of all policies
 */
const char *const *ggw_policy_names(void);

/**
 * ggw_policy_pick() - pick a server for one request
 *
 * Never picks a server that is to be avoided or has no room below its limit.
 *
 * Return: position in @candidates, or GGW_POLICY_NONE.
 */
size_t ggw_policy_pick(struct ggw_policy *policy,
                       const struct ggw_candidate *candidates, size_t len,
                       ggw_ms now);

/**
 * ggw_policy_useful_slots() - slots of a server that are worth using
 * @busy_percent: share of its slots above which it becomes slow
 *
 * Less than all when the slowdown costs more than the further slots bring.
 */
int ggw_policy_useful_slots(int slots, int busy_percent);

/**
 * ggw_policy_work() - expected time of one more request on a server
 *
 * Return: as a part of the usual time of the work, with the candidate's cost.
 */
double ggw_policy_work(const struct ggw_candidate *c, ggw_ms now);

/**
 * ggw_policy_load() - estimated number of requests on a server
 *
 * Own requests, plus what the last report had beyond them, weighted down
 * with the age of the report.
 */
double ggw_policy_load(const struct ggw_candidate *c, ggw_ms now);

#endif
