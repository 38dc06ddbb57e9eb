#ifndef GGW_CLAIMS_CLAIMS_H
#define GGW_CLAIMS_CLAIMS_H

#include <glib.h>
#include <stdint.h>

#include "kernel/kernel.h"

/**
 * DOC: Service "claims"
 *
 * Ensures that an order runs at most once: before an order is sent, a row for
 * it is written to the platform's table service. A claim never expires.
 */

/**
 * struct ggw_claim_request - asks to claim an order before it is sent
 * @base: message header
 * @team: team that the order belongs to
 * @service: service of the team that the order is sent to
 * @order: ID of the order, unique within the service
 * @deadline: monotonic ms; if the claim is undecided by then, the result is
 *            GGW_CLAIM_UNAVAILABLE
 *
 * Answered with struct ggw_claim_result.
 */
struct ggw_claim_request {
    struct ggw_message base;
    char *team;
    char *service;
    char *order;
    ggw_ms deadline;
};

extern const struct ggw_message_ops ggw_claim_request_ops;

/**
 * ggw_claim_request_new() - create the message; copies the strings
 */
struct ggw_message *ggw_claim_request_new(const char *team,
                                          const char *service,
                                          const char *order, ggw_ms deadline);

/**
 * enum ggw_claim_state - result of a claim request
 * @GGW_CLAIM_WON: the claim was written; only this request may send the order
 * @GGW_CLAIM_DONE: the order has already run
 * @GGW_CLAIM_TAKEN: another request has claimed the order; whether the order
 *                   ran is unknown
 * @GGW_CLAIM_UNAVAILABLE: the table service did not answer in time; the order
 *                         must not be sent
 */
enum ggw_claim_state {
    GGW_CLAIM_WON,
    GGW_CLAIM_DONE,
    GGW_CLAIM_TAKEN,
    GGW_CLAIM_UNAVAILABLE,
};

/**
 * struct ggw_claim_result - answer to struct ggw_claim_request
 * @base: message header
 * @state: result
 * @status: HTTP status of the earlier run if @state is GGW_CLAIM_DONE, else 0
 * @claim: ID of the claim for struct ggw_claim_settle, if @state is
 *         GGW_CLAIM_WON
 */
struct ggw_claim_result {
    struct ggw_message base;
    enum ggw_claim_state state;
    int status;
    uint64_t claim;
};

extern const struct ggw_message_ops ggw_claim_result_ops;

/**
 * enum ggw_claim_outcome - outcome of an order whose claim was won
 * @GGW_CLAIM_OUTCOME_DONE: it ran; repeats are answered with its status
 * @GGW_CLAIM_OUTCOME_NOT_RUN: it is proven not to have run; the row is marked
 *                             as not run, so that the order can be claimed
 *                             again
 * @GGW_CLAIM_OUTCOME_UNKNOWN: it may have run; the claim stays in the row, so
 *                             that the order is never sent again
 */
enum ggw_claim_outcome {
    GGW_CLAIM_OUTCOME_DONE,
    GGW_CLAIM_OUTCOME_NOT_RUN,
    GGW_CLAIM_OUTCOME_UNKNOWN,
};

/**
 * struct ggw_claim_settle - reports the outcome of an order
 * @base: message header
 * @claim: ID of the claim from struct ggw_claim_result
 * @outcome: outcome of the order
 * @status: HTTP status of the response, used if @outcome is
 *          GGW_CLAIM_OUTCOME_DONE
 *
 * There is no answer.
 */
struct ggw_claim_settle {
    struct ggw_message base;
    uint64_t claim;
    enum ggw_claim_outcome outcome;
    int status;
};

extern const struct ggw_message_ops ggw_claim_settle_ops;

/**
 * ggw_claim_settle_new() - create the message
 */
struct ggw_message *ggw_claim_settle_new(uint64_t claim,
                                         enum ggw_claim_outcome outcome,
                                         int status);

/**
 * ggw_claims_service_new() - create the service
 * @gateway: name of this gateway, stored in every row
 * @incarnation: start time of this process in Unix ms, stored in every row
 */
struct ggw_service *ggw_claims_service_new(const char *gateway,
                                           uint64_t incarnation);

#endif
