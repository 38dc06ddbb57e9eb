#ifndef GGW_TESTS_RELAY_H
#define GGW_TESTS_RELAY_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <uv.h>

/*
 * TCP relays in the test process, to make links silent or cut them.
 */

enum relay_mode {
    RELAY_FORWARD,
    RELAY_CUT, /* no connection, old or new */
};

struct relay {
    uv_tcp_t listener;
    enum relay_mode mode;
    struct sockaddr_in target;
    GPtrArray *pairs;
};

/**
 * relay_start() - relay connections
 * @from: address to listen on
 * @to: address to connect to
 */
void relay_start(struct relay *r, uv_loop_t *loop,
                 const struct sockaddr_in *from, const struct sockaddr_in *to);

/**
 * relay_silence() - existing connections stay open but carry nothing more;
 *                   new ones work
 */
void relay_silence(struct relay *r);

void relay_set_mode(struct relay *r, enum relay_mode mode);

/**
 * relay_stop() - close everything; the loop must run until it is closed
 */
void relay_stop(struct relay *r);

#endif
