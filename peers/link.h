#ifndef GGW_PEERS_LINK_H
#define GGW_PEERS_LINK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "peers/frame.h"

/**
 * DOC: TCP links between gateways
 *
 * A link is one TCP connection that carries frames. It does not know which
 * gateway is at the other end.
 */

struct ggw_link;

/**
 * struct ggw_link_ops - callbacks of a link's user
 * @opened: the connection has been established
 * @frame: handles one frame; returns false for a malformed payload, which
 *         closes the link
 * @closed: the link is closing; no callback follows and the link must not be
 *          used any more. @reason is a label for metrics
 */
struct ggw_link_ops {
    void (*opened)(struct ggw_link *link);
    bool (*frame)(struct ggw_link *link, const struct ggw_frame *frame);
    void (*closed)(struct ggw_link *link, const char *reason);
};

/**
 * struct ggw_link - one TCP connection that carries frames
 * @data: pointer for the user
 * @ops: private; callbacks of the user
 * @tcp: private; the connection
 * @connect: private; connection attempt of a dialled link
 * @decoder: private; decoder of received bytes
 * @out: private; encoded frames that were not yet passed to libuv
 * @closing: private; the link is closing
 *
 * peers/link.c frees the link some time after it called @ops->closed.
 */
struct ggw_link {
    void *data;
    const struct ggw_link_ops *ops;
    uv_tcp_t tcp;
    uv_connect_t connect;
    struct ggw_frame_decoder *decoder;
    GByteArray *out;
    bool closing;
};

/**
 * ggw_link_dial() - start to connect to an address
 * @loop: event loop of the link
 * @address: address to connect to
 * @ops: callbacks; opened or closed reports the result
 * @data: pointer for the user
 *
 * Return: NULL when connecting failed immediately; no callback follows then.
 */
struct ggw_link *ggw_link_dial(uv_loop_t *loop, const struct sockaddr *address,
                               const struct ggw_link_ops *ops, void *data);

/**
 * ggw_link_accept() - accept a connection
 * @listener: listener with a pending connection
 * @ops: callbacks; opened is called before this function returns
 * @data: pointer for the user
 *
 * Return: NULL when accepting failed; no callback follows then.
 */
struct ggw_link *ggw_link_accept(uv_stream_t *listener,
                                 const struct ggw_link_ops *ops, void *data);

/**
 * ggw_link_limit_frames() - set the maximum size of the frames that arrive
 * @link: the link
 * @max: bytes, not counting the length field; at first GGW_FRAME_MAX
 *
 * A larger frame closes the link as soon as its length has arrived.
 */
void ggw_link_limit_frames(struct ggw_link *link, uint32_t max);

/**
 * ggw_link_send() - buffer one frame until ggw_link_flush()
 * @link: the link
 * @type: enum ggw_peer_frame_type
 * @request_id: see struct ggw_frame
 * @payload: encoding of one msgpack object
 * @len: size of @payload in bytes
 *
 * Return: false when the frame is oversized; it is not sent then.
 */
bool ggw_link_send(struct ggw_link *link, int type, uint64_t request_id,
                   const void *payload, size_t len);

/**
 * ggw_link_flush() - write the buffered frames
 *
 * Closes the link if writing fails or if too many bytes wait to be sent
 * because the other end does not read.
 */
void ggw_link_flush(struct ggw_link *link);

/**
 * ggw_link_close() - close a link
 * @link: the link; calls its callback closed unless it is already closing
 * @reason: label for metrics
 */
void ggw_link_close(struct ggw_link *link, const char *reason);

#endif
