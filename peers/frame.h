#ifndef GGW_PEERS_FRAME_H
#define GGW_PEERS_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Frames between gateways: a 4-byte big-endian length, then one msgpack array
 * [version, type, request_id, payload]. Pure: bytes in, frames out.
 */

/* Longest msgpack array in a frame, without the length in front. */
#define GGW_FRAME_MAX (2 * 1024 * 1024)
#define GGW_FRAME_VERSION 1

/**
 * struct ggw_frame - one decoded frame
 * @type: enum ggw_peer_frame_type; not checked against the known types, so
 *        that a newer gateway can send types that an older one ignores
 * @payload: the bytes of one well-formed msgpack object; they point into the
 *           decoder and are valid until its next call
 */
struct ggw_frame {
    int type;
    uint64_t request_id;
    const char *payload;
    size_t payload_len;
};

/**
 * enum ggw_frame_status - result of ggw_frame_next()
 * @GGW_FRAME_READY: a frame was decoded
 * @GGW_FRAME_MORE: needs more bytes
 * @GGW_FRAME_OVERSIZED: the length is zero or above GGW_FRAME_MAX
 * @GGW_FRAME_MALFORMED: not the msgpack array that a frame consists of
 * @GGW_FRAME_VERSION_UNKNOWN: another version of the protocol
 *
 * After one of the last three the stream cannot be used any more; each
 * further call returns the same.
 */
enum ggw_frame_status {
    GGW_FRAME_READY,
    GGW_FRAME_MORE,
    GGW_FRAME_OVERSIZED,
    GGW_FRAME_MALFORMED,
    GGW_FRAME_VERSION_UNKNOWN,
};

/**
 * ggw_frame_status_name() - label for metrics and logs
 */
const char *ggw_frame_status_name(enum ggw_frame_status status);

/**
 * ggw_frame_encode() - append one frame
 * @payload: bytes of one msgpack object
 *
 * Return: false, with @out unchanged, when the frame would be oversized.
 */
bool ggw_frame_encode(GByteArray *out, int type, uint64_t request_id,
                      const void *payload, size_t payload_len);

struct ggw_frame_decoder;

struct ggw_frame_decoder *ggw_frame_decoder_new(void);
void ggw_frame_decoder_free(struct ggw_frame_decoder *d);

/**
 * ggw_frame_feed() - add bytes as they arrived from the network
 */
void ggw_frame_feed(struct ggw_frame_decoder *d, const void *data, size_t len);

/**
 * ggw_frame_next() - decode the next frame
 *
 * Call it until it returns something other than GGW_FRAME_READY.
 */
enum ggw_frame_status ggw_frame_next(struct ggw_frame_decoder *d,
                                     struct ggw_frame *frame);

/**
 * ggw_frame_pending() - bytes of an incomplete frame
 *
 * Not 0 at the end of a stream means that its last frame was truncated.
 */
size_t ggw_frame_pending(const struct ggw_frame_decoder *d);

#endif
