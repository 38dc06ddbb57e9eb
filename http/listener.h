#ifndef GGW_HTTP_LISTENER_H
#define GGW_HTTP_LISTENER_H

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>

#include "decide/memory.h"
#include "http/exchange.h"
#include "kernel/clock.h"

/*
 * The gateway's HTTP/1.1 listener. Accepts connections, refuses malformed
 * requests and passes the others to a callback.
 */

struct ggw_listener;

/* Defaults of the timeouts in struct ggw_listener_options, ms. */
#define GGW_LISTENER_IDLE_MS 60000
#define GGW_LISTENER_PROGRESS_MS 30000

/**
 * struct ggw_listener_options - options of a listener
 * @host: IP address to listen on
 * @port: port to listen on; 0 lets the system choose one
 * @head_timeout: longest time in ms for a request head, and between two reads
 *                of a request body
 * @idle_timeout: time in ms after which a connection without a complete
 *                request is closed; 0 for GGW_LISTENER_IDLE_MS
 * @progress_timeout: time in ms after which a client that takes no bytes of
 *                    its response counts as disconnected; 0 for
 *                    GGW_LISTENER_PROGRESS_MS
 * @half_close_disconnects: a client that closes its sending side counts as
 *                          disconnected
 * @pages_only: no request is passed on to a backend server, so that few
 *              connections suffice
 * @memory: memory of the machine, bytes; 0 if unknown
 * @descriptors: descriptors that the machine leaves for sockets; 0 if unknown
 * @request: called for each complete request; has to respond, now or later
 * @data: first argument of @request
 */
struct ggw_listener_options {
    const char *host;
    uint16_t port;
    ggw_ms head_timeout;
    ggw_ms idle_timeout;
    ggw_ms progress_timeout;
    bool half_close_disconnects;
    bool pages_only;
    uint64_t memory;
    uint64_t descriptors;
    void (*request)(void *data, struct ggw_exchange *x);
    void *data;
};

/**
 * ggw_listener_new() - create a listener that does not listen yet
 * @loop: event loop
 * @options: copied, but not the text of @options->host
 *
 * Return: the listener, to be freed with ggw_listener_destroy().
 */
struct ggw_listener *
ggw_listener_new(uv_loop_t *loop, const struct ggw_listener_options *options);

/**
 * ggw_listener_start() - open the listening socket
 * @l: the listener
 * @error: set to GGW_ERROR_IO when it cannot listen on the address
 *
 * Return: false when it sets @error.
 */
bool ggw_listener_start(struct ggw_listener *l, GError **error);

/**
 * ggw_listener_port() - get the port on which the listener listens
 */
uint16_t ggw_listener_port(const struct ggw_listener *l);

/**
 * ggw_listener_receiver() - get h2o's receiver for clients on the same loop
 */
h2o_multithread_receiver_t *ggw_listener_receiver(struct ggw_listener *l);

/**
 * ggw_listener_limit_body() - set the largest body of a request
 * @max: bytes; 0 for GGW_BODY_MAX
 *
 * The memory of the machine may lower it. Where it is not known, no body above
 * GGW_BODY_MAX is accepted.
 */
void ggw_listener_limit_body(struct ggw_listener *l, size_t max);

/**
 * ggw_listener_memory() - get the limits that follow from the memory
 */
const struct ggw_memory_limits *
ggw_listener_memory(const struct ggw_listener *l);

/**
 * ggw_listener_drain() - stop accepting connections
 *
 * Responses carry "Connection: close" from now on, and idle connections are
 * closed.
 */
void ggw_listener_drain(struct ggw_listener *l);

/**
 * ggw_listener_disable_keepalive() - close each connection after its next
 *                                    response
 *
 * Responses carry "Connection: close" from now on. New connections are still
 * accepted.
 */
void ggw_listener_disable_keepalive(struct ggw_listener *l);

/**
 * ggw_listener_connections() - get the number of open connections
 */
unsigned ggw_listener_connections(const struct ggw_listener *l);

/**
 * ggw_listener_is_full() - whether the limit of requests in progress is
 *                          exceeded
 *
 * To be asked while a request is dispatched. It counts as in progress.
 */
bool ggw_listener_is_full(struct ggw_listener *l);

/**
 * ggw_listener_stop() - close the listening socket and all connections
 *
 * The connections keep the event loop running until they are closed.
 */
void ggw_listener_stop(struct ggw_listener *l);

/**
 * ggw_listener_destroy() - free the listener after the loop has ended
 */
void ggw_listener_destroy(struct ggw_listener *l);

#endif
