#ifndef GGW_CUSTOMERS_ALLOTMENTS_H
#define GGW_CUSTOMERS_ALLOTMENTS_H

#include <stdbool.h>

#include "kernel/kernel.h"

/**
 * DOC: service "allotments"
 *
 * The service keeps the rate of each customer over the sum of all gateways.
 * "proxy" asks it for permission before each request of a customer with a
 * rate, and returns the permission of a request that did not run.
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
 */
struct ggw_allotment_return {
    struct ggw_message base;
    char *team;
    char *customer;
};

extern const struct ggw_message_ops ggw_allotment_return_ops;
struct ggw_message *ggw_allotment_return_new(const char *team,
                                             const char *customer);

/**
 * ggw_allotments_service_new() - create the service
 * @self: name of this gateway
 */
struct ggw_service *ggw_allotments_service_new(const char *self);

#endif
