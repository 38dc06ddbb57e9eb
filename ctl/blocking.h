#ifndef GGW_CTL_BLOCKING_H
#define GGW_CTL_BLOCKING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform/platform.h"

/**
 * struct ggw_blocking_request - one request for which a program blocks
 * @host: IP address of the HTTP interface
 * @port: port of the HTTP interface
 * @message: a struct ggw_txn or struct ggw_object_request;
 *           ggw_blocking_run() takes ownership and sets it to NULL
 * @result: set by ggw_blocking_run() to a struct ggw_txn_result or struct
 *          ggw_object_result, which the caller destroys; NULL when @host is
 *          not an IP address
 */
struct ggw_blocking_request {
    const char *host;
    uint16_t port;
    struct ggw_message *message;
    struct ggw_message *result;
};

/**
 * ggw_blocking_run() - send requests concurrently and wait for all
 *                      results
 * @requests: requests to send; each gets its result
 * @len: number of requests
 * @error: set on failure
 *
 * Requests to more than 24 different addresses are sent in rounds, one after
 * the other.
 *
 * Runs the service "platform" on a kernel of its own, so that the operators'
 * verbs use the same HTTP client as the gateways.
 *
 * Return: false with @error set when an address is not valid.
 */
bool ggw_blocking_run(struct ggw_blocking_request *requests, size_t len,
                      GError **error);

/* Destroys the results of the requests and sets them to NULL. */
void ggw_blocking_clear(struct ggw_blocking_request *requests, size_t len);

#endif
