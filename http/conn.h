#ifndef GGW_HTTP_CONN_H
#define GGW_HTTP_CONN_H

#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "http/pool.h"
#include "kernel/clock.h"

/*
 * One client connection to a server. It belongs either to one user or, while
 * idle, to its pool. An idle connection that receives anything, even the end
 * of the stream, is closed: such bytes answer no request.
 */

/**
 * struct ggw_http_conn_ops - what a connection tells its user
 * @opened: the connection is established; the first request may be written
 * @data: bytes arrived
 * @closed: the stream ended; @clean says that the peer closed it in order,
 *          otherwise it was reset or the connection could not be opened.
 *          The user must call ggw_http_conn_close() or drop the connection.
 *
 * None is called from inside ggw_http_conn_get().
 */
struct ggw_http_conn_ops {
    void (*opened)(void *user);
    void (*data)(void *user, const char *bytes, size_t len);
    void (*closed)(void *user, bool clean);
};

/**
 * struct ggw_http_conn - private to http/conn.c but for the first fields
 * @reused: it has carried a request before
 */
struct ggw_http_conn {
    const struct ggw_http_conn_ops *ops;
    void *user;
    struct ggw_pool *pool;
    bool reused;
    bool open;
    bool idle;
    bool reading;
    bool closing;
    unsigned writes; /* in progress */
    uv_tcp_t tcp;
    uv_timer_t idle_timer;
    uv_connect_t connect;
    int handles; /* not closed yet */
    char *buffer;
};

/**
 * ggw_http_conn_address() - parse an IP number
 */
bool ggw_http_conn_address(const char *host, uint16_t port,
                           struct sockaddr_storage *address);

/**
 * ggw_http_conn_get() - take an idle connection or open a new one
 * @new_connection: do not take an idle one
 *
 * An idle connection is open at once and gets no @opened.
 */
struct ggw_http_conn *ggw_http_conn_get(struct ggw_pool *pool,
                                        bool new_connection,
                                        const struct ggw_http_conn_ops *ops,
                                        void *user);

/**
 * ggw_http_conn_write() - send bytes, which are copied
 */
void ggw_http_conn_write(struct ggw_http_conn *conn, const char *bytes,
                         size_t len);

/**
 * ggw_http_conn_pause() - stop or resume reading
 */
void ggw_http_conn_pause(struct ggw_http_conn *conn, bool pause);

/**
 * ggw_http_conn_keep() - give the connection back to its pool
 * @idle_limit: ms after which it is closed
 *
 * A connection with a write in progress is closed instead.
 */
void ggw_http_conn_keep(struct ggw_http_conn *conn, ggw_ms idle_limit);

/**
 * ggw_http_conn_close() - close it; the user is not told anything afterwards
 */
void ggw_http_conn_close(struct ggw_http_conn *conn);

#endif
