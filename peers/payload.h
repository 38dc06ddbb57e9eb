#ifndef GGW_PEERS_PAYLOAD_H
#define GGW_PEERS_PAYLOAD_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Payloads of frames are msgpack arrays with fields in a fixed order. A
 * reader ignores fields behind those that it knows.
 */

/**
 * struct ggw_payload_reader - reads one array field by field
 * @ok: becomes false at the first field that is missing or has the wrong
 *      type; every further read then returns 0, false or ""
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
 *
 * ggw_payload_close() must follow, also when @ok is false.
 */
void ggw_payload_open(struct ggw_payload_reader *r, const void *data,
                      size_t len);
void ggw_payload_close(struct ggw_payload_reader *r);

uint64_t ggw_payload_uint(struct ggw_payload_reader *r);
double ggw_payload_double(struct ggw_payload_reader *r);
bool ggw_payload_bool(struct ggw_payload_reader *r);
const char *ggw_payload_string(struct ggw_payload_reader *r);

/**
 * ggw_payload_array() - read a nested array
 * @inner: reads its elements; not to be closed
 *
 * Return: number of elements.
 */
uint32_t ggw_payload_array(struct ggw_payload_reader *r,
                           struct ggw_payload_reader *inner);

/**
 * struct ggw_payload_writer - writes one payload with @packer
 */
struct ggw_payload_writer {
    msgpack_sbuffer buffer;
    msgpack_packer packer;
};

/**
 * ggw_payload_begin() - start an array of @fields fields
 */
void ggw_payload_begin(struct ggw_payload_writer *w, uint32_t fields);
void ggw_payload_put_string(struct ggw_payload_writer *w, const char *s);
void ggw_payload_put_uint(struct ggw_payload_writer *w, uint64_t value);
void ggw_payload_put_double(struct ggw_payload_writer *w, double value);
void ggw_payload_put_bool(struct ggw_payload_writer *w, bool value);
void ggw_payload_put_array(struct ggw_payload_writer *w, uint32_t fields);

/**
 * ggw_payload_end() - the finished payload
 */
GBytes *ggw_payload_end(struct ggw_payload_writer *w);

#endif
