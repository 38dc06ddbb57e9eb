#ifndef GGW_HTTP_CONN_H
#define GGW_HTTP_CONN_H

#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "http/pool.h"
#include "kernel/clock.h"

/*
 * A connection from the gateway to a backend server. It belongs to one user
 * or, while idle, to its pool. An idle connection is closed when bytes or the
 * end of the stream arrive, because there is no request that they could
 * answer.
 *
 * The system has no time limit of its own for an established connection. The
 * limits of its user and of its pool end it.
 */

/**
 * struct ggw_http_conn_ops - callbacks of a connection
 * @opened: the connection is established and a request may be written
 * @data: bytes have arrived; valid only inside the callback
 * @closed: the stream has ended. @clean is true if the peer closed it without
 *          an error, false if it was reset or could not be opened. The user
 *          must call ggw_http_conn_close().
 *
 * ggw_http_conn_get() runs none of them itself.
 */
struct ggw_http_conn_ops {
    void (*opened)(void *user);
    void (*data)(void *user, const char *bytes, size_t len);
    void (*closed)(void *user, bool clean);
};

/**
 * struct ggw_http_conn - a connection to a backend server
 * @ops: callbacks; NULL while idle or closing
 * @user: first argument of the callbacks
 * @pool: the pool that it came from
 * @carried: number of earlier requests on it
 * @open: the connection is established
 * @idle: it belongs to the pool
 * @reading: reading is not paused
 * @closing: ggw_http_conn_close() was called
 * @writes: number of writes in progress
 * @write_failed: a write has ended with an error
 * @tcp: the socket
 * @idle_timer: closes an idle connection; also reports, from the event loop, a
 *              connect or write that failed at once
 * @connect: the connection attempt
 * @open_handles: libuv handles that are not closed yet
 * @buffer: for reading
 */
struct ggw_http_conn {
    const struct ggw_http_conn_ops *ops;
    void *user;
    struct ggw_pool *pool;
    unsigned carried;
    bool open;
    bool idle;
    bool reading;
    bool closing;
    unsigned writes;
    bool write_failed;
    uv_tcp_t tcp;
    uv_timer_t idle_timer;
    uv_connect_t connect;
    int open_handles;
    char *buffer;
};

/**
 * enum ggw_surplus - where bytes arrived that answer no request
 * @GGW_SURPLUS_IDLE: on an idle connection
 * @GGW_SURPLUS_BEHIND: behind a complete response
 */
enum ggw_surplus {
    GGW_SURPLUS_IDLE,
    GGW_SURPLUS_BEHIND,
};

/**
 * ggw_http_conn_on_surplus() - log and count bytes that answer no request
 * @len: number of bytes
 *
 * For a while, the server's connections carry one request each.
 */
void ggw_http_conn_on_surplus(const struct ggw_http_conn *conn,
                              enum ggw_surplus where, size_t len);

/**
 * ggw_http_conn_address() - parse an IPv4 or IPv6 address
 * @host: address as text
 * @port: port to store in @address
 * @address: result
 *
 * Return: false when @host is not an IP address.
 */
bool ggw_http_conn_address(const char *host, uint16_t port,
                           struct sockaddr_storage *address);

/**
 * ggw_http_conn_get() - get an idle connection or open a new one
 * @pool: connections to the backend server
 * @new_connection: open a new connection even if there is an idle one
 * @ops: callbacks
 * @user: first argument of the callbacks
 *
 * A reused connection is already open, and ops->opened is not called for it.
 */
struct ggw_http_conn *ggw_http_conn_get(struct ggw_pool *pool,
                                        bool new_connection,
                                        const struct ggw_http_conn_ops *ops,
                                        void *user);

/**
 * ggw_http_conn_write() - send a copy of the bytes, and a body
 * @body: sent behind the bytes without a copy; NULL for none
 *
 * A failed write is reported by ops->closed.
 */
void ggw_http_conn_write(struct ggw_http_conn *conn, const char *bytes,
                         size_t len, GBytes *body);

/**
 * ggw_http_conn_pause() - stop or resume reading
 */
void ggw_http_conn_pause(struct ggw_http_conn *conn, bool pause);

/**
 * ggw_http_conn_release() - return the connection to its pool
 * @conn: the connection
 * @idle_limit: ms after which the idle connection is closed
 *
 * A connection that is not open, that has a write in progress or failed, or
 * for which @idle_limit is not above 0 is closed instead.
 */
void ggw_http_conn_release(struct ggw_http_conn *conn, ggw_ms idle_limit);

/**
 * ggw_http_conn_close() - close the connection
 *
 * No callback runs afterwards. NULL and a connection that is being closed are
 * ignored.
 */
void ggw_http_conn_close(struct ggw_http_conn *conn);

/**
 * ggw_http_conn_reset() - close the connection and drop what is not delivered
 *
 * For a request that is given up. After an ordinary close, the system would go
 * on sending it, and the server might run it seconds later.
 */
void ggw_http_conn_reset(struct ggw_http_conn *conn);

#endif
