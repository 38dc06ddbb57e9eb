#ifndef GGW_CTL_BLOCKING_H
#define GGW_CTL_BLOCKING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform/platform.h"

/**
 * struct ggw_blocking - one request of a program that may block
 * @host, @port: HTTP interface to ask, an IP number
 * @message: a ggw_txn or a ggw_object_request; the call takes it
 * @result: set by the call to the answer, which the caller destroys; NULL
 *          when @host is not an IP number
 */
struct ggw_blocking {
    const char *host;
    uint16_t port;
    struct ggw_message *message;
    struct ggw_message *result;
};

/**
 * ggw_blocking_run() - make requests at the same time, wait for all answers
 *
 * Requests to more than 24 addresses are made in rounds.
 *
 * Runs the service "platform" on a kernel of its own, so that gateways and
 * the operators' client share one HTTP client.
 *
 * Return: false with the error set when an address is not valid.
 */
bool ggw_blocking_run(struct ggw_blocking *requests, size_t len,
                      GError **error);

/* Destroys the results of the requests. */
void ggw_blocking_clear(struct ggw_blocking *requests, size_t len);

#endif
