#ifndef GGW_SOAK_WIRE_H
#define GGW_SOAK_WIRE_H

#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <uv.h>

#include "http/response_check.h"

/* HTTP/1.1 connections of the soak's clients and backend servers. */

struct soak_wire;

/**
 * struct soak_wire_ops - callbacks of a connection
 * @message: a complete message arrived; it is valid during the call
 * @closed: the connection was closed; it is freed after the call
 */
struct soak_wire_ops {
    void (*message)(struct soak_wire *w);
    void (*closed)(struct soak_wire *w);
};

/**
 * struct soak_wire - a connection
 * @data: of the user of the connection
 * @url, @body, @headers: of the message that is received; header names are in
 *                        lower case
 * @field, @value: the header that is parsed
 * @check: of the response that is received
 * @unsent: bytes to send once the connection is established
 * @connected: the connection is established
 * @message_started: a message was begun and is incomplete
 * @closing: soak_wire_close() was called
 * @ending: soak_wire_end() was called
 * @malformed: bytes arrived that are no message
 * @paced: a little is read after each soak_wire_resume()
 */
struct soak_wire {
    const struct soak_wire_ops *ops;
    void *data;
    uv_tcp_t tcp;
    uv_connect_t connect;
    http_parser parser;
    struct ggw_response_check check;
    GString *url;
    GString *body;
    GHashTable *headers;
    GString *field;
    GString *value;
    GString *unsent;
    bool connected;
    bool message_started;
    bool closing;
    bool ending;
    bool malformed;
    bool paced;
    uv_shutdown_t shutdown;
};

/*
 * Connects to @to and reads responses. A failure is reported by @closed of
 * @ops.
 */
struct soak_wire *soak_wire_connect(uv_loop_t *loop,
                                    const struct sockaddr_in *to,
                                    const struct soak_wire_ops *ops,
                                    void *data);

/*
 * Accepts a connection of @listener and reads requests. After a failure, it
 * returns NULL and @closed of @ops is still called.
 */
struct soak_wire *soak_wire_accept(uv_stream_t *listener,
                                   const struct soak_wire_ops *ops,
                                   void *data);

/* Sends a copy of @bytes, once the connection is established. */
void soak_wire_send(struct soak_wire *w, const char *bytes, size_t len);

/* Number of bytes that were passed to soak_wire_send() and are not sent. */
size_t soak_wire_unsent(const struct soak_wire *w);

/*
 * Ends the sending direction in order, after all that was sent; the connection
 * is closed once the peer has closed it.
 */
void soak_wire_end(struct soak_wire *w);

/* Makes a client read slowly, or as fast as it can. */
void soak_wire_set_paced(struct soak_wire *w, bool paced);

/* Lets a client that reads slowly read a little. */
void soak_wire_resume(struct soak_wire *w);

/* Closes the connection, by TCP reset if @reset; @closed is called later. */
void soak_wire_close(struct soak_wire *w, bool reset);

/* Value of a header of the received message, or NULL; @name is lower case. */
const char *soak_wire_header(const struct soak_wire *w, const char *name);

#endif
