#ifndef GGW_PEERS_PAYLOAD_H
#define GGW_PEERS_PAYLOAD_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Payloads of frames
 *
 * A payload is a msgpack array whose fields have a fixed order. Readers ignore
 * additional fields at the end, so that later versions can append fields.
 */

/**
 * struct ggw_payload_reader - reads one array field by field
 * @ok: false after a field was missing or had the wrong type; all later reads
 *      return 0, false or ""
 * @items: private; elements of the array
 * @len: private; number of elements
 * @next: private; index of the next element to read
 * @unpacked: private; the unpacked payload, in the outermost reader only
 * @strings: private; NUL-terminated copies of strings
 *
 * Strings are valid until the outermost reader is closed.
 */
struct ggw_payload_reader {
    bool ok;
    const msgpack_object *items;
    uint32_t len;
    uint32_t next;
    msgpack_unpacked unpacked;
    GStringChunk *strings;
};

/**
 * ggw_payload_open() - start to read a payload
 * @r: reader; @ok becomes false if the payload is not a msgpack array
 * @data: payload of a decoded frame; must stay valid while it is read
 * @len: size of @data in bytes
 *
 * Must be paired with ggw_payload_close(), even if @ok is false.
 */
void ggw_payload_open(struct ggw_payload_reader *r, const void *data,
                      size_t len);

/**
 * ggw_payload_close() - free the reader's memory, including all strings
 */
void ggw_payload_close(struct ggw_payload_reader *r);

/**
 * ggw_payload_at_end() - check whether all fields have been read
 *
 * For fields that earlier versions do not write.
 */
bool ggw_payload_at_end(const struct ggw_payload_reader *r);

/**
 * ggw_payload_uint() - read a non-negative integer; 0 on error
 */
uint64_t ggw_payload_uint(struct ggw_payload_reader *r);

/**
 * ggw_payload_double() - read a finite floating-point number; 0 on error
 */
double ggw_payload_double(struct ggw_payload_reader *r);

/**
 * ggw_payload_bool() - read a boolean; false on error
 */
bool ggw_payload_bool(struct ggw_payload_reader *r);

/**
 * ggw_payload_string() - read a string; "" on error
 */
const char *ggw_payload_string(struct ggw_payload_reader *r);

/**
 * ggw_payload_bytes() - read binary data
 * @size: filled with the size in bytes; 0 on error
 *
 * Return: the data, part of the payload; NULL on error.
 */
const void *ggw_payload_bytes(struct ggw_payload_reader *r, size_t *size);

/**
 * ggw_payload_array() - read a nested array
 * @r: reader of the enclosing array
 * @inner: becomes the reader of the nested array; must not be closed
 *
 * Return: number of elements; 0 on error.
 */
uint32_t ggw_payload_array(struct ggw_payload_reader *r,
                           struct ggw_payload_reader *inner);

/**
 * struct ggw_payload_writer - writes one payload
 * @buffer: bytes written so far
 * @packer: msgpack encoder that appends to @buffer
 */
struct ggw_payload_writer {
    msgpack_sbuffer buffer;
    msgpack_packer packer;
};

/**
 * ggw_payload_begin() - start a payload, an array of @fields fields
 *
 * The caller must write exactly @fields fields and then call
 * ggw_payload_end().
 */
void ggw_payload_begin(struct ggw_payload_writer *w, uint32_t fields);
void ggw_payload_put_string(struct ggw_payload_writer *w, const char *s);
void ggw_payload_put_uint(struct ggw_payload_writer *w, uint64_t value);
void ggw_payload_put_double(struct ggw_payload_writer *w, double value);
void ggw_payload_put_bytes(struct ggw_payload_writer *w, GBytes *bytes);
void ggw_payload_put_bool(struct ggw_payload_writer *w, bool value);

/**
 * ggw_payload_put_array() - start a nested array
 * @w: writer
 * @fields: number of elements; the next @fields values written belong to it
 */
void ggw_payload_put_array(struct ggw_payload_writer *w, uint32_t fields);

/**
 * ggw_payload_end() - finish the payload and free the writer's memory
 *
 * Return: the payload, owned by the caller.
 */
GBytes *ggw_payload_end(struct ggw_payload_writer *w);

#endif
