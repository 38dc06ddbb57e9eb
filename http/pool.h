#ifndef GGW_HTTP_POOL_H
#define GGW_HTTP_POOL_H

#include <glib.h>
#include <stdint.h>
#include <uv.h>

#include "kernel/clock.h"

/*
 * Connections to backend servers: one pool of idle connections for each
 * server, found by its address.
 */

struct ggw_pools;
struct ggw_http_conn;

/**
 * struct ggw_pool - connections to one backend server
 * @idle: of struct ggw_http_conn, the most recently used first
 * @host: IP number
 * @active_calls: calls that hold a connection now
 * @last_used: monotonic ms
 */
struct ggw_pool {
    uv_loop_t *loop;
    GQueue idle;
    char *host;
    uint16_t port;
    int active_calls;
    ggw_ms last_used;
};

/**
 * ggw_pools_new() - make an empty set of pools
 */
struct ggw_pools *ggw_pools_new(uv_loop_t *loop);

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
 * ggw_pools_stop() - close all idle connections
 */
void ggw_pools_stop(struct ggw_pools *pools);

/**
 * ggw_pools_destroy() - free the pools after the loop has ended
 */
void ggw_pools_destroy(struct ggw_pools *pools);

#endif
