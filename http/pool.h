#ifndef GGW_HTTP_POOL_H
#define GGW_HTTP_POOL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>
#include <uv.h>

#include "kernel/clock.h"

/*
 * Pools of connections to backend servers, one pool for the address of each
 * server.
 */

struct ggw_pools;
struct ggw_http_conn;

/**
 * struct ggw_pool - connections to one backend server
 * @pools: the set that it belongs to
 * @loop: event loop
 * @idle: idle connections, struct ggw_http_conn, the most recently used first
 * @host: IP address of the server
 * @port: port of the server
 * @active_calls: number of calls that hold a connection
 * @last_used: monotonic ms of the last ggw_pools_get()
 * @distrusted_until: loop time in ms; see ggw_distrust_until()
 */
struct ggw_pool {
    struct ggw_pools *pools;
    uv_loop_t *loop;
    GQueue idle;
    char *host;
    uint16_t port;
    int active_calls;
    ggw_ms last_used;
    ggw_ms distrusted_until;
};

/**
 * ggw_pools_new() - create an empty set of pools
 */
struct ggw_pools *ggw_pools_new(uv_loop_t *loop);

/**
 * ggw_pools_limit() - limit the memory of all responses together
 * @unread: bytes that wait for their client; beyond it, each response waits
 *          with one read
 * @receive_buffer: receive buffer of a new connection, bytes; 0 leaves it to
 *                  the system
 */
void ggw_pools_limit(struct ggw_pools *pools, size_t unread,
                     int receive_buffer);

/**
 * ggw_pools_count_unread() - count bytes that wait, or no longer wait
 */
void ggw_pools_count_unread(struct ggw_pools *pools, ssize_t bytes);

/**
 * ggw_pools_are_full() - whether more bytes wait than the limit allows
 */
bool ggw_pools_are_full(const struct ggw_pools *pools);

/**
 * ggw_pools_receive_buffer() - get the receive buffer of a new connection
 */
int ggw_pools_receive_buffer(const struct ggw_pools *pools);

/**
 * ggw_pools_get() - get the pool of a server, creating it on first use
 * @pools: the pools
 * @host: IP address of the server
 * @port: port of the server
 * @now: monotonic ms
 *
 * Return: the pool, owned by @pools. NULL when @host is not an IP address, or
 * when the pool does not exist and ggw_pools_stop() was called.
 */
struct ggw_pool *ggw_pools_get(struct ggw_pools *pools, const char *host,
                               uint16_t port, ggw_ms now);

/**
 * ggw_pool_distrust() - note that the server has mixed up responses
 *
 * On a connection that carries one request only, no earlier response can get
 * into a later one.
 */
void ggw_pool_distrust(struct ggw_pool *pool);

/**
 * ggw_pool_is_distrusted() - whether to send each request on a connection of
 * its own
 *
 * Return: true for a while after ggw_pool_distrust(); decide/distrust.h.
 */
bool ggw_pool_is_distrusted(const struct ggw_pool *pool);

/**
 * ggw_pools_trim() - free the pools that were not used for a minute
 * @pools: the pools
 * @now: monotonic ms
 *
 * Closes their idle connections. A pool with a call in progress stays.
 */
void ggw_pools_trim(struct ggw_pools *pools, ggw_ms now);

/**
 * ggw_pools_close_idle() - close one idle connection, to free its descriptor
 *
 * Of the pool that was not used for the longest time.
 *
 * Return: false when no connection is idle.
 */
bool ggw_pools_close_idle(struct ggw_pools *pools);

/**
 * ggw_pools_stop() - close all idle connections and create no more pools
 */
void ggw_pools_stop(struct ggw_pools *pools);

/**
 * ggw_pools_destroy() - free the pools after the event loop has ended
 */
void ggw_pools_destroy(struct ggw_pools *pools);

#endif
