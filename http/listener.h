#ifndef GGW_HTTP_LISTENER_H
#define GGW_HTTP_LISTENER_H

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>

#include "http/exchange.h"
#include "kernel/clock.h"

/*
 * The gateway's HTTP/1.1 listener: accepts connections, refuses malformed
 * requests and hands over the others.
 */

struct ggw_listener;

/**
 * struct ggw_listener_options - settings
 * @host: IP number
 * @port: 0 lets the system choose one
 * @head_timeout: longest time for a request's head, and between two reads of
 *                its body
 * @half_close_disconnects: a client that closes its sending side has left
 * @request: takes over one complete request
 */
struct ggw_listener_options {
    const char *host;
    uint16_t port;
    ggw_ms head_timeout;
    bool half_close_disconnects;
    void (*request)(void *data, struct ggw_exchange *x);
    void *data;
};

struct ggw_listener *
ggw_listener_new(uv_loop_t *loop, const struct ggw_listener_options *options);

/**
 * ggw_listener_start() - open the listening socket
 *
 * Return: false with GGW_ERROR_IO.
 */
bool ggw_listener_start(struct ggw_listener *l, GError **error);

uint16_t ggw_listener_port(const struct ggw_listener *l);

/**
 * ggw_listener_receiver() - receiver for clients on the same loop
 */
h2o_multithread_receiver_t *ggw_listener_receiver(struct ggw_listener *l);

/**
 * ggw_listener_drain() - accept no new connections
 *
 * Responses then carry "Connection: close", and idle connections are closed.
 */
void ggw_listener_drain(struct ggw_listener *l);

/**
 * ggw_listener_disable_keepalive() - let responses carry "Connection: close"
 *
 * New connections are still accepted.
 */
void ggw_listener_disable_keepalive(struct ggw_listener *l);

/**
 * ggw_listener_connections() - number of open connections
 */
unsigned ggw_listener_connections(const struct ggw_listener *l);

/**
 * ggw_listener_stop() - close everything; the loop runs until all is closed
 */
void ggw_listener_stop(struct ggw_listener *l);

/**
 * ggw_listener_destroy() - free the listener after the loop has ended
 */
void ggw_listener_destroy(struct ggw_listener *l);

#endif
