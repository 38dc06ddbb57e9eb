#ifndef GGW_HTTP_CONNECTION_H
#define GGW_HTTP_CONNECTION_H

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>

#include "http/exchange.h"
#include "kernel/clock.h"

/*
 * The clients' connections. A check in front of h2o's reader refuses heads
 * that h2o accepts or answers without the gateway's headers; a periodic check
 * finds slow senders, clients that left and, while draining, idle ones.
 */

/**
 * struct ggw_connections - all connections of a listener
 * @list: of struct ggw_connection
 * @unhooked: those whose h2o reader has to be wrapped again
 * @exchanges: of struct ggw_exchange, in progress
 * @leaving: responses end their connection
 * @draining: idle connections are closed
 * @half_close_disconnects: a client that closes its sending side has left
 */
struct ggw_connections {
    uv_loop_t *loop;
    uv_timer_t timer;
    uv_prepare_t prepare;
    ggw_ms head_timeout;
    unsigned ticks;
    unsigned len;
    h2o_linklist_t list;
    GQueue unhooked;
    h2o_linklist_t exchanges;
    bool leaving;
    bool draining;
    bool half_close_disconnects;
    bool stopped;
};

void ggw_connections_init(struct ggw_connections *c, uv_loop_t *loop,
                          ggw_ms head_timeout);

/**
 * ggw_connections_add() - watch a connection that h2o has accepted
 */
void ggw_connections_add(struct ggw_connections *c, h2o_socket_t *sock);

/**
 * ggw_connection_request() - check a request that h2o has parsed
 * @reason: set when it is refused
 *
 * Return: status of the refusal, or 200.
 */
int ggw_connection_request(struct ggw_connections *c, struct ggw_exchange *x,
                           const char **reason);

/**
 * ggw_connection_finished() - the request of an exchange is being disposed of
 */
void ggw_connection_finished(struct ggw_connection *conn);

/**
 * ggw_connection_leaving() - whether responses end their connection
 */
bool ggw_connection_leaving(const struct ggw_connection *conn);

/**
 * ggw_connections_stop() - break all responses and close all connections
 */
void ggw_connections_stop(struct ggw_connections *c);

#endif
