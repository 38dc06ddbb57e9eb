#ifndef GGW_DECIDE_ROLLOUT_H
#define GGW_DECIDE_ROLLOUT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"
#include "peers/peers.h"
#include "rollouts/rollouts.h"

/**
 * DOC: Roll-out of a new version of a service (docs/design/rollouts.md)
 *
 * The judge compares the results of the new version with those of the others
 * on the same route at the same time. ggw_rollout_next() derives the stage
 * from its finding, the times and what the gateways report. The code does no
 * I/O and reads no clock.
 */

/*
 * Part of the exposure limit that is used, in percent. The rest covers
 * gateways that cannot be reached and requests that the platform attributes to
 * another moment.
 */
#define GGW_ROLLOUT_EXPOSURE_PERCENT 80

/* Fewest results of a new version that is taken to be good. */
#define GGW_ROLLOUT_MIN_RESULTS 20

/*
 * A route on which the others have GGW_ROLLOUT_ROUTE_OTHERS results needs
 * GGW_ROLLOUT_ROUTE_RESULTS of the new version before that is taken to be
 * good: some versions are bad on one route only.
 */
#define GGW_ROLLOUT_ROUTE_OTHERS 150
#define GGW_ROLLOUT_ROUTE_RESULTS 3

/* A report that is older than this, in ms, does not show that no request is
 * in progress on the old servers. */
#define GGW_ROLLOUT_REPORT_VALID 1500.0

/**
 * struct ggw_rollout_finding - what the results of a new version show
 * @bad: it is worse than the others
 * @doubtful: failures begin to show it to be worse
 * @maybe_slow: it is slow, but not for long enough to be @bad
 * @enough: there are enough results to take it to be good unless it is @bad
 * @results, @failed, @slow: its results, those that failed and those that took
 *                           several times as long as the others' median
 * @others, @others_failed: results of the others
 * @granted, @others_granted: granted slots
 * @reason: test and route that show it to be bad, or the route that lacks
 *          results
 */
struct ggw_rollout_finding {
    bool bad;
    bool doubtful;
    bool maybe_slow;
    bool enough;
    uint64_t results;
    uint64_t failed;
    uint64_t slow;
    uint64_t others;
    uint64_t others_failed;
    uint64_t granted;
    uint64_t others_granted;
    char reason[160];
};

struct ggw_rollout_judge;

/* Creates a judge without results. */
struct ggw_rollout_judge *ggw_rollout_judge_new(void);
void ggw_rollout_judge_free(struct ggw_rollout_judge *j);

/**
 * ggw_rollout_judge_group() - name the group of a server of the new version
 *
 * The faults of one group do not make a version bad if there are others, for
 * example because a failure domain is cut off. A server without a group is a
 * group of its own. A later call for the same server has no effect.
 */
void ggw_rollout_judge_group(struct ggw_rollout_judge *j, const char *server,
                             const char *group);

/**
 * ggw_rollout_judge_add() - add what one gateway has counted
 * @reporter: name of the gateway
 * @epoch: changes when the gateway begins to count anew
 * @samples: of struct ggw_rollout_sample; all counts since @epoch
 */
void ggw_rollout_judge_add(struct ggw_rollout_judge *j, const char *reporter,
                           uint64_t epoch, const GArray *samples);

/**
 * ggw_rollout_judge_find() - evaluate the results so far
 * @now: monotonic ms; call it at least every 500 ms
 * @switching: the new version gets all requests; its servers are then slower
 *             for a while because their load grows, so more is needed to take
 *             it to be slow
 */
struct ggw_rollout_finding ggw_rollout_judge_find(struct ggw_rollout_judge *j,
                                                  ggw_ms now, bool switching);

/**
 * struct ggw_rollout_view - what the next stage depends on
 * @now: monotonic ms
 * @ordered_at: when the order was read, monotonic ms
 * @deadline: monotonic ms
 * @longest_request: longest time that a request may take, ms
 * @stage: stage that applies
 * @proven: the target was in use before the order
 * @target_servers: number of servers of the new version
 * @others_gone_at: since when no other server is registered, monotonic ms;
 *                  INFINITY while there are some
 * @finding: what the judge has found
 * @drained: no gateway has requests on the other servers
 */
struct ggw_rollout_view {
    ggw_ms now;
    ggw_ms ordered_at;
    ggw_ms deadline;
    ggw_ms longest_request;
    enum ggw_rollout_stage stage;
    bool proven;
    size_t target_servers;
    ggw_ms others_gone_at;
    struct ggw_rollout_finding finding;
    bool drained;
};

/**
 * struct ggw_rollout_step - the stage that follows
 * @stage: it; GGW_ROLLOUT_COMPLETED applies once it is written
 * @reason: why it differs from the stage before; else empty
 */
struct ggw_rollout_step {
    enum ggw_rollout_stage stage;
    char reason[160];
};

/**
 * ggw_rollout_switch_at() - when the new version gets all requests
 *
 * As late as the requests in progress, the messages to all gateways and the
 * write to the store allow, because the exposure limit holds until the
 * deadline.
 */
ggw_ms ggw_rollout_switch_at(ggw_ms ordered_at, ggw_ms deadline,
                             ggw_ms longest_request);

/**
 * ggw_rollout_next() - decide the stage of a roll-out
 *
 * A stage never goes back: a trial ends switched or rolled back, a switch
 * completed or rolled back.
 */
struct ggw_rollout_step ggw_rollout_next(const struct ggw_rollout_view *view);

/**
 * struct ggw_rollout_report - what a gateway says of its requests
 * @state: state of the gateway
 * @dead_since: when it was declared dead, monotonic ms; INFINITY if it is not
 * @heard_at: when it reported last, monotonic ms; -INFINITY if never
 * @term: term that it applies
 * @old_requests: requests of the gateway on the other servers, and its grants
 *                for them
 */
struct ggw_rollout_report {
    enum ggw_member_state state;
    ggw_ms dead_since;
    ggw_ms heard_at;
    uint64_t term;
    int old_requests;
};

/**
 * ggw_rollout_is_drained() - whether a gateway keeps the other servers in use
 * @term: term of the stage in which it sends them no requests
 * @longest_request: longest time that a request may take, ms
 *
 * A dead gateway counts as drained when all requests that it had sent have
 * reached their timeout.
 */
bool ggw_rollout_is_drained(const struct ggw_rollout_report *report,
                            ggw_ms now, uint64_t term, ggw_ms longest_request);

#endif
