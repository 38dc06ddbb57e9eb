#ifndef GGW_HTTP_CONNECTION_H
#define GGW_HTTP_CONNECTION_H

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>

#include "decide/clients.h"
#include "http/exchange.h"
#include "http/linger.h"
#include "kernel/clock.h"

/*
 * The connections from clients to the gateway. h2o parses the requests. A
 * check in front of h2o's read callback refuses request heads that h2o would
 * accept wrongly or reject without the gateway's headers. A periodic check
 * finds slow senders, clients that have disconnected and, while draining,
 * connections that are idle.
 */

/**
 * enum ggw_client_limit - a limit of struct ggw_client_limits
 */
enum ggw_client_limit {
    GGW_LIMIT_CONNECTIONS,
    GGW_LIMIT_REQUESTS,
    GGW_LIMIT_BYTES,
    GGW_CLIENT_LIMITS,
};

/**
 * struct ggw_connections - all connections of a listener
 * @loop: event loop of the listener
 * @timer: runs the periodic checks while there are connections
 * @prepare: wraps the read callbacks of @unwrapped
 * @head_timeout: longest time in ms for a request head, and between two reads
 *                of a request body
 * @progress_timeout: a client that has not taken the bytes of one
 *                    ggw_exchange_send() after this time in ms counts as
 *                    disconnected, because its request holds a slot without
 *                    making progress
 * @limits: limits for all connections together
 * @body_max: largest body of a request, bytes
 * @busy: number of connections with a request in progress
 * @bytes: bytes of requests that have not been answered yet
 * @at_limit: by enum ggw_client_limit, whether it was reached and the log says
 *            so
 * @ticks: number of timer ticks so far
 * @len: number of connections in @list
 * @list: of struct ggw_connection
 * @unwrapped: connections whose read callback h2o may have set again, so that
 *             it has to be wrapped again
 * @exchanges: of struct ggw_exchange, requests in progress
 * @lingers: closed connections whose client may not have its last response yet
 * @keepalive_disabled: connections are closed after their next response
 * @draining: as @keepalive_disabled, and idle connections are closed
 * @half_close_disconnects: a client that closes its sending side counts as
 *                          disconnected
 * @stopped: ggw_connections_stop() was called
 */
struct ggw_connections {
    uv_loop_t *loop;
    uv_timer_t timer;
    uv_prepare_t prepare;
    ggw_ms head_timeout;
    ggw_ms progress_timeout;
    struct ggw_client_limits limits;
    size_t body_max;
    unsigned busy;
    size_t bytes;
    bool at_limit[GGW_CLIENT_LIMITS];
    unsigned ticks;
    unsigned len;
    h2o_linklist_t list;
    GQueue unwrapped;
    h2o_linklist_t exchanges;
    struct ggw_lingers lingers;
    bool keepalive_disabled;
    bool draining;
    bool half_close_disconnects;
    bool stopped;
};

/**
 * ggw_connections_init() - initialize an empty set of connections
 * @c: zeroed
 * @loop: event loop
 * @head_timeout: in ms, see struct ggw_connections
 * @progress_timeout: in ms, see struct ggw_connections
 */
void ggw_connections_init(struct ggw_connections *c, uv_loop_t *loop,
                          ggw_ms head_timeout, ggw_ms progress_timeout);

/**
 * ggw_connections_add() - add a connection that was passed to h2o_accept()
 */
void ggw_connections_add(struct ggw_connections *c, h2o_socket_t *sock);

/**
 * ggw_connections_make_room() - make room for one more connection
 *
 * At the limit, closes a connection that has no request in progress.
 *
 * Return: false when there is no room now.
 */
bool ggw_connections_make_room(struct ggw_connections *c);

/**
 * ggw_connections_are_full() - whether more requests are in progress than the
 *                              limit allows
 */
bool ggw_connections_are_full(struct ggw_connections *c);

/**
 * ggw_connection_check_request() - check a request that h2o has parsed
 * @c: the connections
 * @x: exchange of the request; its connection is set
 * @reason: set to the reason when the request is to be refused
 *
 * Return: 200, or the status with which to refuse the request.
 */
int ggw_connection_check_request(struct ggw_connections *c,
                                 struct ggw_exchange *x, const char **reason);

/**
 * ggw_connection_request_done() - note that h2o disposes of a request
 * @persistent: h2o keeps the connection open
 */
void ggw_connection_request_done(struct ggw_connection *conn, bool persistent);

/**
 * ggw_connection_reset_on_close() - let the close of a connection reset it
 *
 * For a response whose body an orderly close would complete.
 */
void ggw_connection_reset_on_close(struct ggw_connection *conn);

/**
 * ggw_connection_closes_after_response() - whether to disable keep-alive
 *
 * Return: true when the connection is to be closed after its next response.
 */
bool ggw_connection_closes_after_response(const struct ggw_connection *conn);

/**
 * ggw_connections_stop() - abort all responses and close all connections
 */
void ggw_connections_stop(struct ggw_connections *c);

#endif
