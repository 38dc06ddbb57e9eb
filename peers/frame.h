#ifndef GGW_PEERS_FRAME_H
#define GGW_PEERS_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Frames between gateways
 *
 * A frame is a 4-byte big-endian length, followed by one msgpack array of that
 * many bytes: [version, type, request_id, payload]. Encoding and decoding do
 * no I/O.
 */

/* Maximum size of the msgpack array in bytes, not counting the length field.
 */
#define GGW_FRAME_MAX (2 * 1024 * 1024)

/* Version of the protocol, the first element of the array. */
#define GGW_FRAME_VERSION 1

/**
 * struct ggw_frame - one decoded frame
 * @type: enum ggw_peer_frame_type; not checked against the known types, so
 *        that a newer gateway can send types that an older one ignores
 * @request_id: ID chosen by the sender; an answer carries the ID of its
 *              request
 * @payload: encoding of one well-formed msgpack object; points into the
 *           decoder's buffer and is valid until the decoder is used again
 * @payload_len: size of @payload in bytes
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
 * @GGW_FRAME_MORE: the next frame is incomplete; more bytes are needed
 * @GGW_FRAME_OVERSIZED: the length field is 0 or above the maximum
 * @GGW_FRAME_MALFORMED: the content is not a valid frame array
 * @GGW_FRAME_VERSION_UNKNOWN: the frame has another protocol version
 *
 * The last three are final: the stream cannot be decoded any further and every
 * later call returns the same status.
 */
enum ggw_frame_status {
    GGW_FRAME_READY,
    GGW_FRAME_MORE,
    GGW_FRAME_OVERSIZED,
    GGW_FRAME_MALFORMED,
    GGW_FRAME_VERSION_UNKNOWN,
};

/**
 * ggw_frame_status_name() - get the name of a status for metrics and logs
 */
const char *ggw_frame_status_name(enum ggw_frame_status status);

/**
 * ggw_frame_encode() - append one encoded frame to a buffer
 * @out: buffer to append to
 * @type: enum ggw_peer_frame_type
 * @request_id: see struct ggw_frame
 * @payload: encoding of one msgpack object; not validated
 * @payload_len: size of @payload in bytes
 *
 * Return: false, with @out unchanged, when the frame would be oversized.
 */
bool ggw_frame_encode(GByteArray *out, int type, uint64_t request_id,
                      const void *payload, size_t payload_len);

/**
 * ggw_frame_payload_is_valid() - check that bytes are one msgpack object
 * @len: size of @payload in bytes
 *
 * Payloads of decoded frames are valid. Bytes from elsewhere, such as the
 * content of a compressed payload, have to be checked before msgpack-c reads
 * them: it allocates memory for as many elements as an array declares.
 */
bool ggw_frame_payload_is_valid(const void *payload, size_t len);

struct ggw_frame_decoder;

/**
 * ggw_frame_decoder_new() - create a decoder for one stream
 */
struct ggw_frame_decoder *ggw_frame_decoder_new(void);

/**
 * ggw_frame_decoder_free() - free a decoder; accepts NULL
 */
void ggw_frame_decoder_free(struct ggw_frame_decoder *d);

/**
 * ggw_frame_limit() - set the maximum size of the next frames
 * @d: decoder
 * @max: bytes, not counting the length field; at first GGW_FRAME_MAX
 */
void ggw_frame_limit(struct ggw_frame_decoder *d, uint32_t max);

/**
 * ggw_frame_feed() - append received bytes to the decoder's buffer
 * @d: decoder; ignores the bytes after a final status
 * @data: bytes in the order in which they arrived, split anywhere
 * @len: number of bytes
 */
void ggw_frame_feed(struct ggw_frame_decoder *d, const void *data, size_t len);

/**
 * ggw_frame_next() - decode the next frame
 * @d: decoder
 * @frame: receives the frame if the status is GGW_FRAME_READY
 *
 * To be called after ggw_frame_feed() until it returns another status than
 * GGW_FRAME_READY.
 */
enum ggw_frame_status ggw_frame_next(struct ggw_frame_decoder *d,
                                     struct ggw_frame *frame);

/**
 * ggw_frame_pending() - get the number of buffered bytes not yet decoded
 *
 * If it is not 0 at the end of a stream, the last frame was truncated.
 */
size_t ggw_frame_pending(const struct ggw_frame_decoder *d);

#endif
