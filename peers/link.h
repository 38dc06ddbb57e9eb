#ifndef GGW_PEERS_LINK_H
#define GGW_PEERS_LINK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "peers/frame.h"

/*
 * One TCP link that carries frames. It knows nothing of who is at the other
 * end.
 */

struct ggw_link;

/**
 * struct ggw_link_ops - what the user of a link does
 * @opened: the connection is established
 * @frame: handles one frame; returns false to close the link because of a
 *         malformed payload
 * @closed: the last call; @reason is a label for metrics
 */
struct ggw_link_ops {
    void (*opened)(struct ggw_link *link);
    bool (*frame)(struct ggw_link *link, const struct ggw_frame *frame);
    void (*closed)(struct ggw_link *link, const char *reason);
};

/**
 * struct ggw_link - a link
 * @data: of the user
 *
 * The other fields are private to peers/link.c, which frees the link after
 * @ops->closed.
 */
struct ggw_link {
    void *data;
    const struct ggw_link_ops *ops;
    uv_tcp_t tcp;
    uv_connect_t connect;
    struct ggw_frame_decoder *decoder;
    GByteArray *out; /* frames not yet handed to libuv */
    bool closing;
};

/**
 * ggw_link_dial() - connect to an address
 *
 * Return: NULL when that failed at once.
 */
struct ggw_link *ggw_link_dial(uv_loop_t *loop, const struct sockaddr *address,
                               const struct ggw_link_ops *ops, void *data);

/**
 * ggw_link_accept() - accept a connection; @ops->opened is called before it
 *                     returns
 */
struct ggw_link *ggw_link_accept(uv_stream_t *listener,
                                 const struct ggw_link_ops *ops, void *data);

/**
 * ggw_link_send() - buffer one frame until ggw_link_flush()
 *
 * Return: false when the frame is oversized; it is not sent then.
 */
bool ggw_link_send(struct ggw_link *link, int type, uint64_t request_id,
                   const void *payload, size_t len);

/**
 * ggw_link_flush() - hand buffered frames to the network
 *
 * Closes a link whose peer does not read.
 */
void ggw_link_flush(struct ggw_link *link);

void ggw_link_close(struct ggw_link *link, const char *reason);

#endif
