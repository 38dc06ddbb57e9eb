#ifndef GGW_DECIDE_EXPOSURE_H
#define GGW_DECIDE_EXPOSURE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "rollouts/rollouts.h"
#include "slots/slots.h"

/**
 * DOC: Exposure of a new version during a roll-out
 *
 * Tells which backend servers may get requests in each stage of a roll-out,
 * limits the requests that the new version gets while it is on trial, and
 * counts the results of both versions. Each owner of slots applies the limit
 * to its own grants, so the limit holds for their sum without messages between
 * the owners. The code does no I/O.
 */

/**
 * enum ggw_exposure_class - whether a server may get requests
 * @GGW_EXPOSURE_OPEN: as if there were no roll-out
 * @GGW_EXPOSURE_LIMITED: within the allowance of the new version only
 * @GGW_EXPOSURE_CLOSED: none
 */
enum ggw_exposure_class {
    GGW_EXPOSURE_OPEN,
    GGW_EXPOSURE_LIMITED,
    GGW_EXPOSURE_CLOSED,
};

struct ggw_exposure_tally;

/**
 * struct ggw_exposure_limits - stage of a roll-out, see
 *                              struct ggw_rollout_limits
 * @order: number of the operator's order; 0 for none
 * @stage: stage that applies
 * @target: new version, or NULL
 * @allowed: NULL-terminated list of the versions that may get requests beside
 *           @target; NULL: all but @target
 * @percent: grants that servers of @target may get, in percent of the requests
 *           that an owner has granted since it learned of the order
 * @slack: further such grants, over all owners of the service
 * @tally: counts of the results of this gateway's ledgers
 */
struct ggw_exposure_limits {
    uint64_t order;
    enum ggw_rollout_stage stage;
    const char *target;
    char *const *allowed;
    double percent;
    double slack;
    struct ggw_exposure_tally *tally;
};

/**
 * struct ggw_exposure_counter - grants of one owner since it learned of an
 *                               order
 * @order: number of the order
 * @slack_share: part of the slack that the owner may use, 0 to 1
 * @requests: first attempts granted; retries and hedges earn no allowance
 * @target: grants on servers of the new version, of any attempt
 * @since_trial: first attempts granted since the last one of @target
 */
struct ggw_exposure_counter {
    uint64_t order;
    double slack_share;
    uint32_t requests;
    uint32_t target;
    uint32_t since_trial;
};

/**
 * ggw_exposure_is_target() - tell whether a server runs the new version
 * @limits: stage of the roll-out, or NULL for none
 * @version: version of the server; NULL: unknown
 */
bool ggw_exposure_is_target(const struct ggw_exposure_limits *limits,
                            const char *version);

/**
 * ggw_exposure_classify() - tell whether a server may get requests
 * @limits: stage of the roll-out, or NULL for none
 * @version: version of the server; NULL: unknown
 *
 * A server of an unknown version counts as an old one, but is in no list of
 * allowed versions.
 */
enum ggw_exposure_class
ggw_exposure_classify(const struct ggw_exposure_limits *limits,
                      const char *version);

/**
 * ggw_exposure_is_judged() - tell whether grants and results are counted
 * @limits: stage of the roll-out, or NULL for none
 *
 * They are while the new version may still prove to be bad.
 */
bool ggw_exposure_is_judged(const struct ggw_exposure_limits *limits);

/**
 * ggw_exposure_begin() - start to count the grants of an owner for an order
 * @slack_share: part of the slack that the owner may use, 0 to 1
 */
void ggw_exposure_begin(struct ggw_exposure_counter *counter, uint64_t order,
                        double slack_share);

/**
 * ggw_exposure_allowance() - number of grants that the new version may get now
 *
 * Return: a fraction of a grant counts when it has grown to a whole one; below
 * 0 after the limit was lowered.
 */
double ggw_exposure_allowance(const struct ggw_exposure_limits *limits,
                              const struct ggw_exposure_counter *counter);

/**
 * ggw_exposure_granted() - count a grant
 * @first: it is the first attempt of a request
 * @target: it is for a server of the new version
 */
void ggw_exposure_granted(struct ggw_exposure_counter *counter, bool first,
                          bool target);

/**
 * ggw_exposure_returned() - take back a grant with which nothing was sent
 */
void ggw_exposure_returned(struct ggw_exposure_counter *counter, bool first,
                           bool target);

/**
 * ggw_exposure_wants_trial() - tell whether a request should go to the new
 *                              version
 * @route: name of the request's route, or NULL
 *
 * An allowance that has grown, for example before the first server of the new
 * version was ready, is used up over a multiple of the usual share, so that a
 * bad version does not get most of the requests for a while. The last grant of
 * the allowance is kept for routes that have had less than their share of
 * trials, so that each route is tried.
 */
bool ggw_exposure_wants_trial(const struct ggw_exposure_limits *limits,
                              const struct ggw_exposure_counter *counter,
                              const char *route);

/**
 * ggw_exposure_tally_new() - create empty counts
 */
struct ggw_exposure_tally *ggw_exposure_tally_new(void);
void ggw_exposure_tally_free(struct ggw_exposure_tally *t);

/* Removes all counts, because another order begins. */
void ggw_exposure_tally_reset(struct ggw_exposure_tally *t);

/* Returns the number of changes of the counts. */
uint64_t ggw_exposure_tally_changes(const struct ggw_exposure_tally *t);

/**
 * ggw_exposure_tally_granted() - count a grant
 * @route: name of the request's route, or NULL
 * @server: name of the server if it runs the new version, otherwise NULL
 */
void ggw_exposure_tally_granted(struct ggw_exposure_tally *t,
                                const char *route, const char *server);

/**
 * ggw_exposure_tally_result() - count the result of an attempt
 * @server: as for ggw_exposure_tally_granted()
 * @latency: time to the end of the response head, ms
 */
void ggw_exposure_tally_result(struct ggw_exposure_tally *t, const char *route,
                               const char *server,
                               enum ggw_attempt_result result, ggw_ms latency);

/**
 * ggw_exposure_tally_samples() - append copies of all counts
 * @samples: array of struct ggw_rollout_sample
 */
void ggw_exposure_tally_samples(const struct ggw_exposure_tally *t,
                                GArray *samples);

#endif
