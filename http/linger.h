#ifndef GGW_HTTP_LINGER_H
#define GGW_HTTP_LINGER_H

#include <h2o.h>
#include <stdbool.h>

#include "kernel/clock.h"

/*
 * Sockets of clients whose last response has been written. Closing a socket
 * with unread input, or on which more input arrives, resets the connection,
 * and the client loses what it has not taken yet. The sending side is
 * therefore closed first, and input is read and dropped until the client
 * closes or has had time to take the response.
 */

/**
 * struct ggw_lingers - all lingering sockets of a listener
 * @loop: event loop
 * @list: of struct lingering
 * @len: number of sockets in @list
 * @stopped: ggw_lingers_stop() was called
 */
struct ggw_lingers {
    uv_loop_t *loop;
    h2o_linklist_t list;
    unsigned len;
    bool stopped;
};

/**
 * ggw_lingers_init() - initialize an empty set
 */
void ggw_lingers_init(struct ggw_lingers *l, uv_loop_t *loop);

/**
 * ggw_lingers_add() - close the sending side of a socket, and the socket later
 * @fd: the socket; owned by the set from now on
 */
void ggw_lingers_add(struct ggw_lingers *l, int fd);

/**
 * ggw_lingers_close_one() - close a socket whose client has all bytes
 *
 * Return: false when there is none.
 */
bool ggw_lingers_close_one(struct ggw_lingers *l);

/**
 * ggw_lingers_stop() - close all sockets within 200 ms
 *
 * The loop runs on until they are closed.
 */
void ggw_lingers_stop(struct ggw_lingers *l);

#endif
