#ifndef GGW_SOAK_WIRE_H
#define GGW_SOAK_WIRE_H

#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <uv.h>

/* HTTP/1.1 messages on one TCP connection, for the soak's both ends. */

struct soak_wire;

/**
 * struct soak_wire_ops - what the user of a connection gets
 * @message: a whole message arrived; it is valid during the call
 * @closed: the connection is gone; the wire is freed afterwards
 */
struct soak_wire_ops {
    void (*message)(struct soak_wire *w);
    void (*closed)(struct soak_wire *w);
};

/**
 * struct soak_wire - a connection
 * @url, @body, @headers: of the message that arrives; header names in lower
 *                        case
 * @begun: a part of a message has arrived
 */
struct soak_wire {
    const struct soak_wire_ops *ops;
    void *data;
    uv_tcp_t tcp;
    uv_connect_t connect;
    http_parser parser;
    GString *url;
    GString *body;
    GHashTable *headers;
    GString *field;
    GString *value;
    GString *unsent; /* until the connection is established */
    bool connected;
    bool begun;
    bool closing;
};

/* A connection to @to, on which responses are read. */
struct soak_wire *soak_wire_dial(uv_loop_t *loop, const struct sockaddr_in *to,
                                 const struct soak_wire_ops *ops, void *data);

/* A connection that @listener has, on which requests are read; or NULL. */
struct soak_wire *soak_wire_accept(uv_stream_t *listener,
                                   const struct soak_wire_ops *ops,
                                   void *data);
void soak_wire_send(struct soak_wire *w, const char *bytes, size_t len);

/* Closes it, by a reset if @reset; @closed is called later. */
void soak_wire_close(struct soak_wire *w, bool reset);

/* A header of the message, or NULL. */
const char *soak_wire_header(const struct soak_wire *w, const char *name);

#endif
