#ifndef GGW_ROLLOUTS_ROLLOUTS_H
#define GGW_ROLLOUTS_ROLLOUTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/kernel.h"

/**
 * DOC: service "rollouts"
 *
 * An operator orders that the requests of a service move to backend servers of
 * another version. One gateway, the decider of the service, judges the new
 * version by the results that the owners of the service's slots count, decides
 * the stage of the roll-out and writes its state to the store. Each gateway
 * applies the stage, which the decider sends to all.
 */

/**
 * enum ggw_rollout_stage - which versions of a service get requests
 * @GGW_ROLLOUT_NONE: no roll-out: only @allowed versions get requests
 * @GGW_ROLLOUT_TRIAL: servers of the new version get at most the share that
 *                     the exposure limit allows
 * @GGW_ROLLOUT_SWITCHING: only servers of the new version get requests; the
 *                         requests on the others end
 * @GGW_ROLLOUT_COMPLETED: only servers of the new version get requests
 * @GGW_ROLLOUT_ROLLED_BACK: servers of the new version get no requests
 *
 * The values are sent between gateways in ROLLOUT frames.
 */
enum ggw_rollout_stage {
    GGW_ROLLOUT_NONE,
    GGW_ROLLOUT_TRIAL,
    GGW_ROLLOUT_SWITCHING,
    GGW_ROLLOUT_COMPLETED,
    GGW_ROLLOUT_ROLLED_BACK,
};

/**
 * struct ggw_rollout_limits - message from "rollouts" to "slots" on the same
 *                             gateway: the stage that applies to a service
 * @base: message header
 * @team: name of the team
 * @service: name of the service
 * @order: number of the operator's order, which grows with each order; 0 for
 *         none
 * @term: number that grows with each stage of all orders of the service; a
 *        message with a lower one than before is ignored
 * @stage: stage that applies
 * @target: new version; NULL in GGW_ROLLOUT_NONE
 * @allowed: NULL-terminated list of the versions that may get requests beside
 *           @target; NULL: all but @target
 * @exposure_percent: in GGW_ROLLOUT_TRIAL, requests that servers of @target
 *                    may get, in percent of the requests that the owner has
 *                    granted since the order
 * @exposure_slack: further such requests, over all owners of the service
 */
struct ggw_rollout_limits {
    struct ggw_message base;
    char *team;
    char *service;
    uint64_t order;
    uint64_t term;
    enum ggw_rollout_stage stage;
    char *target;
    char **allowed;
    double exposure_percent;
    int exposure_slack;
};

extern const struct ggw_message_ops ggw_rollout_limits_ops;
struct ggw_message *ggw_rollout_limits_new(const char *team,
                                           const char *service);

/* Number of buckets of struct ggw_rollout_sample; see @latencies. */
#define GGW_ROLLOUT_LATENCY_BUCKETS 24

/**
 * struct ggw_rollout_sample - results of one version on one route
 * @route: name of the route or kind
 * @is_target: servers of the new version; otherwise of the others
 * @server: with @is_target, name of the server that the counts are for, so
 *          that one faulty server does not condemn its version; NULL without
 *          @is_target, and when the sender does not count by server
 * @granted: slots granted since the order
 * @failed: responses with a 5xx status, broken and silent attempts
 * @latencies: number of successful attempts by latency: bucket i holds
 *             latencies in ms from 2^(i/2) up to 2^((i+1)/2), the last one all
 *             longer ones
 *
 * The counts only grow while the sender counts the same order.
 */
struct ggw_rollout_sample {
    char *route;
    bool is_target;
    char *server;
    uint32_t granted;
    uint32_t failed;
    uint32_t latencies[GGW_ROLLOUT_LATENCY_BUCKETS];
};

/**
 * struct ggw_rollout_counts - message from "slots" to "rollouts" on the same
 *                             gateway, at most every 200 ms per service with a
 *                             roll-out, if something changed
 * @base: message header
 * @team: name of the team
 * @service: name of the service
 * @order: order that the counts are for
 * @term: term that this gateway applies
 * @held_old: requests of this gateway in progress on servers that are not of
 *            the new version, fallback grants included
 * @granted_old: grants of the ledgers of this gateway on such servers that
 *               have not ended
 * @since: when the ledgers of this gateway began to count, monotonic ms
 * @samples: array of struct ggw_rollout_sample, over all ledgers of the
 *           service that this gateway owns
 */
struct ggw_rollout_counts {
    struct ggw_message base;
    char *team;
    char *service;
    uint64_t order;
    uint64_t term;
    int held_old;
    int granted_old;
    ggw_ms since;
    GArray *samples;
};

extern const struct ggw_message_ops ggw_rollout_counts_ops;
struct ggw_message *ggw_rollout_counts_new(const char *team,
                                           const char *service);

/**
 * struct ggw_rollout_order - message from the platform to "rollouts": the
 *                            operator's order for a service
 * @base: message header
 * @team: name of the team
 * @service: name of the service
 * @order: number that grows with each order, for example the store's version
 *         of its row
 * @removed: the operator has removed the order; the other members are unset
 * @target: version that the requests move to
 * @duration: time from the order to its deadline, ms
 */
struct ggw_rollout_order {
    struct ggw_message base;
    char *team;
    char *service;
    uint64_t order;
    bool removed;
    char *target;
    ggw_ms duration;
};

extern const struct ggw_message_ops ggw_rollout_order_ops;
struct ggw_message *ggw_rollout_order_new(const char *team,
                                          const char *service);

/**
 * struct ggw_rollouts_options - options of the service
 * @self: name of this gateway
 * @failure_domain: failure domain of this gateway
 * @exposure_percent, @exposure_slack: as in struct ggw_rollout_limits
 * @rollback_limit: time in ms within which a bad version must get no more
 *                  requests
 */
struct ggw_rollouts_options {
    const char *self;
    const char *failure_domain;
    double exposure_percent;
    int exposure_slack;
    ggw_ms rollback_limit;
};

/**
 * ggw_rollouts_service_new() - create the service; copies @options
 */
struct ggw_service *
ggw_rollouts_service_new(const struct ggw_rollouts_options *options);

#endif
