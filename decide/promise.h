#ifndef GGW_DECIDE_PROMISE_H
#define GGW_DECIDE_PROMISE_H

#include <stdbool.h>
#include <stddef.h>

#include "common/outcome.h"

/**
 * DOC: What a gateway may promise when it ends a request itself
 *
 * Some statuses promise that a request has not run and never will, so that the
 * client may send it again even if it is not idempotent. The gateway may use
 * them only when it can prove that.
 */

/**
 * enum ggw_attempt_stage - how far an attempt has come
 * @GGW_STAGE_NONE: there is no attempt
 * @GGW_STAGE_UNSENT: no byte of the request has been written
 * @GGW_STAGE_SENT: the request may have reached the server
 * @GGW_STAGE_SHED: the server has said that it does not run the request
 */
enum ggw_attempt_stage {
    GGW_STAGE_NONE,
    GGW_STAGE_UNSENT,
    GGW_STAGE_SENT,
    GGW_STAGE_SHED,
};

/**
 * ggw_known_outcome() - what is known of a request that ends without a
 *                       response of a server
 * @ended_unknown: an earlier attempt has ended and may have run
 * @stages: attempts in progress, which are cancelled
 * @len: number of @stages
 *
 * Return: GGW_OUTCOME_NOT_RUN if no attempt can have run, else
 * GGW_OUTCOME_UNKNOWN.
 */
enum ggw_outcome ggw_known_outcome(bool ended_unknown,
                                   const enum ggw_attempt_stage *stages,
                                   size_t len);

/**
 * ggw_status_promises_not_run() - check whether clients take a status as proof
 *                                 that the request did not run
 */
bool ggw_status_promises_not_run(int status);

/**
 * ggw_refusal_status() - get the status for a request that ends without a
 *                        response of a server
 *
 * Return: 503 for GGW_OUTCOME_NOT_RUN, else 502, which promises nothing.
 */
int ggw_refusal_status(enum ggw_outcome outcome);

#endif
