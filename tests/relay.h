#ifndef GGW_TESTS_RELAY_H
#define GGW_TESTS_RELAY_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <uv.h>

/**
 * DOC: TCP relay in the test process, which simulates network faults
 */

/**
 * enum relay_mode - what a relay does with connections
 * @RELAY_FORWARD: forwards them
 * @RELAY_CUT: closes existing connections at once and new ones on accept
 */
enum relay_mode {
    RELAY_FORWARD,
    RELAY_CUT,
};

/**
 * struct relay - a listener and the connections that it has accepted
 * @target: address to which connections are forwarded
 * @pairs: of struct pair, defined in relay.c
 */
struct relay {
    uv_tcp_t listener;
    enum relay_mode mode;
    struct sockaddr_in target;
    GPtrArray *pairs;
};

/**
 * relay_start() - listen and forward connections
 * @from: address to listen on
 * @to: address to connect to
 *
 * A failure to listen ends the test with a fatal assertion.
 */
void relay_start(struct relay *r, uv_loop_t *loop,
                 const struct sockaddr_in *from, const struct sockaddr_in *to);

/**
 * relay_silence() - stop forwarding data on the existing connections
 *
 * They stay open, but nothing arrives on them any more. New connections are
 * forwarded.
 */
void relay_silence(struct relay *r);

/* Sets the mode; RELAY_CUT also closes the existing connections. */
void relay_set_mode(struct relay *r, enum relay_mode mode);

/**
 * relay_stop() - close the listener and all connections
 *
 * The event loop must run afterwards until libuv has closed the handles.
 */
void relay_stop(struct relay *r);

#endif
