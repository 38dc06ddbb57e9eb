#ifndef GGW_HTTP_POOL_H
#define GGW_HTTP_POOL_H

#include <h2o.h>
#include <stdint.h>

#include "kernel/clock.h"

/*
 * Connections to backend servers: one h2o socket pool for each server, found
 * by its address.
 */

struct ggw_pools;

/**
 * struct ggw_pool - connections to one backend server
 * @sockets: idle connections
 * @client: context of the HTTP client
 * @host: IP number
 * @used: calls that hold a connection now
 * @last_used: monotonic ms
 */
struct ggw_pool {
    h2o_socketpool_t sockets;
    h2o_http1client_ctx_t *client;
    char *host;
    uint16_t port;
    int used;
    ggw_ms last_used;
};

/**
 * ggw_pools_new() - make an empty set of pools
 * @receiver: of the h2o context on the same loop
 */
struct ggw_pools *ggw_pools_new(uv_loop_t *loop,
                                h2o_multithread_receiver_t *receiver);

/**
 * ggw_pools_get() - the pool of a server; made on first use
 * @host: IP number
 *
 * Return: NULL when @host is not an IP number.
 */
struct ggw_pool *ggw_pools_get(struct ggw_pools *pools, const char *host,
                               uint16_t port, ggw_ms now);

/**
 * ggw_pools_trim() - close the pools that were not used for a minute
 */
void ggw_pools_trim(struct ggw_pools *pools, ggw_ms now);

/**
 * ggw_pools_stop() - close all idle connections and timers
 */
void ggw_pools_stop(struct ggw_pools *pools);

/**
 * ggw_pools_destroy() - free the pools after the loop has ended
 */
void ggw_pools_destroy(struct ggw_pools *pools);

#endif
