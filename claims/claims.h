#ifndef GGW_CLAIMS_CLAIMS_H
#define GGW_CLAIMS_CLAIMS_H

#include <glib.h>
#include <stdint.h>

#include "kernel/kernel.h"

/*
 * Service "claims": one row of the table service for each order, so that an
 * order runs at most once. A claim never lapses.
 */

/**
 * struct ggw_claim_request - claim an order before it is sent
 * @deadline: monotonic ms; without a result by then the claim is unavailable
 */
struct ggw_claim_request {
    struct ggw_message base;
    char *team;
    char *service;
    char *order;
    ggw_ms deadline;
};

extern const struct ggw_message_ops ggw_claim_request_ops;
struct ggw_message *ggw_claim_request_new(const char *team,
                                          const char *service,
                                          const char *order, ggw_ms deadline);

/**
 * enum ggw_claim_state - answer to a claim
 * @GGW_CLAIM_WON: this request alone may send the order
 * @GGW_CLAIM_DONE: the order ran before; @status holds its HTTP status
 * @GGW_CLAIM_TAKEN: another request holds it; whether it ran is unknown
 * @GGW_CLAIM_UNAVAILABLE: the table service gave no answer; not sent
 */
enum ggw_claim_state {
    GGW_CLAIM_WON,
    GGW_CLAIM_DONE,
    GGW_CLAIM_TAKEN,
    GGW_CLAIM_UNAVAILABLE,
};

struct ggw_claim_result {
    struct ggw_message base;
    enum ggw_claim_state state;
    int status;
    uint64_t claim; /* names the claim in the settlement, if won */
};

extern const struct ggw_message_ops ggw_claim_result_ops;

/**
 * enum ggw_claim_outcome - how an order that was won ended
 * @GGW_CLAIM_OUTCOME_DONE: it ran; a repeat is answered with its status
 * @GGW_CLAIM_OUTCOME_NOT_RUN: proven not to have run; the row is removed
 * @GGW_CLAIM_OUTCOME_UNKNOWN: the row stays, so the order never runs again
 */
enum ggw_claim_outcome {
    GGW_CLAIM_OUTCOME_DONE,
    GGW_CLAIM_OUTCOME_NOT_RUN,
    GGW_CLAIM_OUTCOME_UNKNOWN,
};

struct ggw_claim_settle {
    struct ggw_message base;
    uint64_t claim;
    enum ggw_claim_outcome end;
    int status;
};

extern const struct ggw_message_ops ggw_claim_settle_ops;
struct ggw_message *
ggw_claim_settle_new(uint64_t claim, enum ggw_claim_outcome end, int status);

/**
 * ggw_claims_service_new() - make the service
 * @gateway: name of this gateway, kept in each row
 * @incarnation: start time of this process in Unix ms, kept in each row
 */
struct ggw_service *ggw_claims_service_new(const char *gateway,
                                           uint64_t incarnation);

#endif
