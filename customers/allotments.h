#ifndef GGW_CUSTOMERS_ALLOTMENTS_H
#define GGW_CUSTOMERS_ALLOTMENTS_H

#include <jansson.h>
#include <stdbool.h>

#include "kernel/kernel.h"

/**
 * DOC: service "allotments"
 *
 * The service keeps the rate of each customer over the sum of all gateways.
 * "proxy" asks it for permission before each request of a customer with a
 * rate, and returns the permission of a request that did not run.
 *
 * Payloads of ALLOTMENT frames are arrays that begin with a kind:
 *   0, ask: team, customer, gateway that asks, whether it was forwarded, time
 *   of the ask, tokens needed, tokens ahead, tokens given back;
 *   1, answer: team, customer, gateway that asked, time of the ask, tokens
 *   granted, requests refused, ms until the first of them may come back, ms
 *   between them, owner.
 * The time of the ask is one of the clock of the gateway that asks.
 */

/**
 * struct ggw_allotment_request - message from "proxy" that asks for permission
 *                                to process one request
 * @base: message header; the answer has the same tag
 * @team: name of the team
 * @customer: name of the customer
 * @deadline: monotonic ms after which the permission is useless
 *
 * The service answers each request with exactly one ggw_allotment_result.
 */
struct ggw_allotment_request {
    struct ggw_message base;
    char *team;
    char *customer;
    ggw_ms deadline;
};

extern const struct ggw_message_ops ggw_allotment_request_ops;
struct ggw_message *ggw_allotment_request_new(const char *team,
                                              const char *customer,
                                              ggw_ms deadline);

/**
 * struct ggw_allotment_result - answer to a ggw_allotment_request
 * @permitted: the request is within the customer's rate
 * @retry_after: if it is not, ms after which the client may retry
 * @tokens: tokens that this gateway has left
 * @grant_age: ms since the owner granted tokens to this gateway; -1: never
 * @owner: name of the gateway that counts the customer, or NULL
 */
struct ggw_allotment_result {
    struct ggw_message base;
    bool permitted;
    ggw_ms retry_after;
    double tokens;
    ggw_ms grant_age;
    char *owner;
};

extern const struct ggw_message_ops ggw_allotment_result_ops;
struct ggw_message *ggw_allotment_result_new(bool permitted,
                                             ggw_ms retry_after);

/**
 * struct ggw_allotment_return - message from "proxy": a permitted request did
 *                               not run
 * @base: message header
 * @team: name of the team
 * @customer: name of the customer
 * @used_at: time of the permission, monotonic ms
 */
struct ggw_allotment_return {
    struct ggw_message base;
    char *team;
    char *customer;
    ggw_ms used_at;
};

extern const struct ggw_message_ops ggw_allotment_return_ops;
struct ggw_message *ggw_allotment_return_new(const char *team,
                                             const char *customer,
                                             ggw_ms used_at);

/**
 * struct ggw_allotments_status - message to "proxy" with what the status page
 *                                shows
 * @base: message header
 * @json: array with one object for each customer
 */
struct ggw_allotments_status {
    struct ggw_message base;
    json_t *json;
};

extern const struct ggw_message_ops ggw_allotments_status_ops;

/**
 * ggw_allotments_status_new() - create the message; takes over @json
 */
struct ggw_message *ggw_allotments_status_new(json_t *json);

/**
 * ggw_allotments_service_new() - create the service
 * @self: name of this gateway
 */
struct ggw_service *ggw_allotments_service_new(const char *self);

#endif
