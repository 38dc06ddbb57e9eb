#include "peers/payload.h"

#include <math.h>
#include <string.h>

void
ggw_payload_open(struct ggw_payload_reader *r, const void *data, size_t len)
{
    memset(r, 0, sizeof(*r));
    msgpack_unpacked_init(&r->unpacked);
    r->strings = g_string_chunk_new(256);
    if (msgpack_unpack_next(&r->unpacked, data, len, NULL) ==
            MSGPACK_UNPACK_SUCCESS &&
        r->unpacked.data.type == MSGPACK_OBJECT_ARRAY) {
        r->ok = true;
        r->items = r->unpacked.data.via.array.ptr;
        r->len = r->unpacked.data.via.array.size;
    }
}

void
ggw_payload_close(struct ggw_payload_reader *r)
{
    msgpack_unpacked_destroy(&r->unpacked);
    g_string_chunk_free(r->strings);
}

/*
 * Returns the next field. If there is none or its type is neither @type nor
 * @other_type, sets @ok to false and returns NULL.
 */
static const msgpack_object *
next_field(struct ggw_payload_reader *r, msgpack_object_type type,
           msgpack_object_type other_type)
{
    const msgpack_object *o;

    if (!r->ok || r->next >= r->len) {
        r->ok = false;
        return NULL;
    }
    o = &r->items[r->next++];
    if (o->type != type && o->type != other_type) {
        r->ok = false;
        return NULL;
    }
    return o;
}

bool
ggw_payload_at_end(const struct ggw_payload_reader *r)
{
    return r->next >= r->len;
}

uint64_t
ggw_payload_uint(struct ggw_payload_reader *r)
{
    const msgpack_object *o = next_field(r, MSGPACK_OBJECT_POSITIVE_INTEGER,
                                         MSGPACK_OBJECT_POSITIVE_INTEGER);

    return o != NULL ? o->via.u64 : 0;
}

double
ggw_payload_double(struct ggw_payload_reader *r)
{
    const msgpack_object *o =
        next_field(r, MSGPACK_OBJECT_FLOAT64, MSGPACK_OBJECT_FLOAT32);

    if (o != NULL && !isfinite(o->via.f64)) {
        r->ok = false;
        return 0;
    }
    return o != NULL ? o->via.f64 : 0;
}

bool
ggw_payload_bool(struct ggw_payload_reader *r)
{
    const msgpack_object *o =
        next_field(r, MSGPACK_OBJECT_BOOLEAN, MSGPACK_OBJECT_BOOLEAN);

    return o != NULL && o->via.boolean;
}

const char *
ggw_payload_string(struct ggw_payload_reader *r)
{
    const msgpack_object *o =
        next_field(r, MSGPACK_OBJECT_STR, MSGPACK_OBJECT_STR);

    if (o == NULL) {
        return "";
    }
    return g_string_chunk_insert_len(r->strings, o->via.str.ptr,
                                     o->via.str.size);
}

const void *
ggw_payload_bytes(struct ggw_payload_reader *r, size_t *size)
{
    const msgpack_object *o =
        next_field(r, MSGPACK_OBJECT_BIN, MSGPACK_OBJECT_BIN);

    *size = o != NULL ? o->via.bin.size : 0;
    return o != NULL ? o->via.bin.ptr : NULL;
}

uint32_t
ggw_payload_array(struct ggw_payload_reader *r,
                  struct ggw_payload_reader *inner)
{
    const msgpack_object *o =
        next_field(r, MSGPACK_OBJECT_ARRAY, MSGPACK_OBJECT_ARRAY);

    memset(inner, 0, sizeof(*inner));
    inner->strings = r->strings;
    if (o != NULL) {
        inner->ok = true;
        inner->items = o->via.array.ptr;
        inner->len = o->via.array.size;
    }
    return inner->len;
}

void
ggw_payload_begin(struct ggw_payload_writer *w, uint32_t fields)
{
    msgpack_sbuffer_init(&w->buffer);
    msgpack_packer_init(&w->packer, &w->buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&w->packer, fields);
}

void
ggw_payload_put_string(struct ggw_payload_writer *w, const char *s)
{
    size_t len = strlen(s);

    msgpack_pack_str(&w->packer, len);
    msgpack_pack_str_body(&w->packer, s, len);
}

void
ggw_payload_put_uint(struct ggw_payload_writer *w, uint64_t value)
{
    msgpack_pack_uint64(&w->packer, value);
}

void
ggw_payload_put_double(struct ggw_payload_writer *w, double value)
{
    msgpack_pack_double(&w->packer, value);
}

void
ggw_payload_put_bytes(struct ggw_payload_writer *w, GBytes *bytes)
{
    gsize size;
    gconstpointer data = g_bytes_get_data(bytes, &size);

    msgpack_pack_bin(&w->packer, size);
    msgpack_pack_bin_body(&w->packer, data, size);
}

void
ggw_payload_put_bool(struct ggw_payload_writer *w, bool value)
{
    if (value) {
        msgpack_pack_true(&w->packer);
    }
    else {
        msgpack_pack_false(&w->packer);
    }
}

void
ggw_payload_put_array(struct ggw_payload_writer *w, uint32_t fields)
{
    msgpack_pack_array(&w->packer, fields);
}

GBytes *
ggw_payload_end(struct ggw_payload_writer *w)
{
    GBytes *bytes = g_bytes_new(w->buffer.data, w->buffer.size);

    msgpack_sbuffer_destroy(&w->buffer);
    return bytes;
}
