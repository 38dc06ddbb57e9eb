#include "peers/frame.h"

#include <msgpack.h>
#include <string.h>

/* Size of the length field in bytes. */
#define LENGTH_SIZE 4
/* First byte of a msgpack array of four elements. */
#define FIXARRAY_4 0x94
/*
 * Maximum nesting depth of a payload. Valid payloads have three levels; the
 * limit bounds the recursion of object_len().
 */
#define MAX_DEPTH 8

/**
 * struct ggw_frame_decoder - decodes the frames of one stream
 * @buffer: received bytes
 * @consumed: number of bytes at the start of @buffer that were decoded
 * @max: maximum size of a frame in bytes, not counting the length field
 * @failure: final status to return if @failed
 * @failed: decoding has failed; no more bytes are accepted
 */
struct ggw_frame_decoder {
    GByteArray *buffer;
    size_t consumed;
    uint32_t max;
    enum ggw_frame_status failure;
    bool failed;
};

const char *
ggw_frame_status_name(enum ggw_frame_status status)
{
    static const char *const names[] = {
        [GGW_FRAME_READY] = "ready",
        [GGW_FRAME_MORE] = "more",
        [GGW_FRAME_OVERSIZED] = "oversized",
        [GGW_FRAME_MALFORMED] = "malformed",
        [GGW_FRAME_VERSION_UNKNOWN] = "version",
    };

    return names[status];
}

static uint32_t
read_big_endian(const uint8_t *p, size_t len)
{
    uint32_t v = 0;

    for (size_t i = 0; i < len; i++) {
        v = v << 8 | p[i];
    }
    return v;
}

/* What follows the first byte of a msgpack object. */
enum body_kind {
    BODY_FIXED, /* @size bytes */
    BODY_BYTES, /* a length of @size bytes, then that many bytes plus @extra */
    BODY_ITEMS, /* a count of @size bytes, then that many objects */
    BODY_PAIRS, /* a count of @size bytes, then twice that many objects */
    BODY_INVALID,
};

/**
 * struct format - layout of a msgpack object, given by its first byte
 * @body: what follows the first byte
 * @size: size in bytes of the fixed body, the length or the count
 * @extra: number of bytes beyond the length, for the type of an ext object
 */
struct format {
    enum body_kind body;
    uint8_t size;
    uint8_t extra;
};

/* Formats of the first bytes 0xc0 to 0xdf in the msgpack specification. */
static const struct format formats[32] = {
    {BODY_FIXED, 0, 0},  {BODY_INVALID, 0, 0}, {BODY_FIXED, 0, 0},
    {BODY_FIXED, 0, 0},  {BODY_BYTES, 1, 0},   {BODY_BYTES, 2, 0},
    {BODY_BYTES, 4, 0},  {BODY_BYTES, 1, 1},   {BODY_BYTES, 2, 1},
    {BODY_BYTES, 4, 1},  {BODY_FIXED, 4, 0},   {BODY_FIXED, 8, 0},
    {BODY_FIXED, 1, 0},  {BODY_FIXED, 2, 0},   {BODY_FIXED, 4, 0},
    {BODY_FIXED, 8, 0},  {BODY_FIXED, 1, 0},   {BODY_FIXED, 2, 0},
    {BODY_FIXED, 4, 0},  {BODY_FIXED, 8, 0},   {BODY_FIXED, 2, 0},
    {BODY_FIXED, 3, 0},  {BODY_FIXED, 5, 0},   {BODY_FIXED, 9, 0},
    {BODY_FIXED, 17, 0}, {BODY_BYTES, 1, 0},   {BODY_BYTES, 2, 0},
    {BODY_BYTES, 4, 0},  {BODY_ITEMS, 2, 0},   {BODY_ITEMS, 4, 0},
    {BODY_PAIRS, 2, 0},  {BODY_PAIRS, 4, 0},
};

/*
 * Returns the length in bytes of the object at @p, or 0 if it is malformed or
 * longer than @len. msgpack-c allocates memory for the number of elements that
 * an array header declares, up to 96 GB, before it reads the elements.
 * Therefore declared counts are checked against the available bytes before
 * msgpack-c parses the payload.
 */
static size_t
object_len(const uint8_t *p, size_t len, int depth)
{
    size_t used = 1;
    uint64_t items = 0;
    struct format f;

    if (len == 0 || depth > MAX_DEPTH) {
        return 0;
    }
    if (p[0] < 0x80 || p[0] >= 0xe0) { /* fixint */
        return 1;
    }
    if (p[0] < 0xa0) { /* fixmap or fixarray */
        items = (uint64_t)(p[0] & 0x0f) * (p[0] < 0x90 ? 2 : 1);
    }
    else if (p[0] < 0xc0) { /* fixstr */
        used += p[0] & 0x1f;
    }
    else {
        f = formats[p[0] - 0xc0];
        used += f.size;
        if (f.body == BODY_INVALID || used > len) {
            return 0;
        }
        if (f.body == BODY_BYTES) {
            used += (size_t)read_big_endian(p + 1, f.size) + f.extra;
        }
        else if (f.body != BODY_FIXED) {
            items = (uint64_t)read_big_endian(p + 1, f.size) *
                    (f.body == BODY_PAIRS ? 2 : 1);
        }
    }
    if (used > len || items > len - used) {
        return 0;
    }
    while (items-- > 0) {
        size_t n = object_len(p + used, len - used, depth + 1);

        if (n == 0) {
            return 0;
        }
        used += n;
    }
    return used;
}

bool
ggw_frame_payload_is_valid(const void *payload, size_t len)
{
    return len > 0 && object_len(payload, len, 0) == len;
}

bool
ggw_frame_encode(GByteArray *out, int type, uint64_t request_id,
                 const void *payload, size_t payload_len)
{
    msgpack_sbuffer head;
    msgpack_packer packer;
    uint8_t length[LENGTH_SIZE];
    size_t len;

    msgpack_sbuffer_init(&head);
    msgpack_packer_init(&packer, &head, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, 4);
    msgpack_pack_int(&packer, GGW_FRAME_VERSION);
    msgpack_pack_int(&packer, type);
    msgpack_pack_uint64(&packer, request_id);
    len = head.size + payload_len;
    if (len <= GGW_FRAME_MAX) {
        for (int i = 0; i < LENGTH_SIZE; i++) {
            length[i] = (uint8_t)(len >> (8 * (LENGTH_SIZE - 1 - i)));
        }
        g_byte_array_append(out, length, LENGTH_SIZE);
        g_byte_array_append(out, (const guint8 *)head.data, head.size);
        g_byte_array_append(out, payload, payload_len);
    }
    msgpack_sbuffer_destroy(&head);
    return len <= GGW_FRAME_MAX;
}

struct ggw_frame_decoder *
ggw_frame_decoder_new(void)
{
    struct ggw_frame_decoder *d = g_new0(struct ggw_frame_decoder, 1);

    d->buffer = g_byte_array_new();
    d->max = GGW_FRAME_MAX;
    return d;
}

void
ggw_frame_limit(struct ggw_frame_decoder *d, uint32_t max)
{
    d->max = max;
}

void
ggw_frame_decoder_free(struct ggw_frame_decoder *d)
{
    if (d == NULL) {
        return;
    }
    g_byte_array_unref(d->buffer);
    g_free(d);
}

void
ggw_frame_feed(struct ggw_frame_decoder *d, const void *data, size_t len)
{
    if (d->failed) {
        return;
    }
    if (d->consumed > 0) {
        g_byte_array_remove_range(d->buffer, 0, d->consumed);
        d->consumed = 0;
    }
    g_byte_array_append(d->buffer, data, len);
}

static enum ggw_frame_status
fail_decoder(struct ggw_frame_decoder *d, enum ggw_frame_status status)
{
    d->failed = true;
    d->failure = status;
    g_byte_array_set_size(d->buffer, 0);
    d->consumed = 0;
    return status;
}

/* Reads a non-negative integer and advances @p past it. */
static bool
read_uint(const uint8_t **p, const uint8_t *end, uint64_t *value)
{
    size_t len = object_len(*p, (size_t)(end - *p), 0);
    msgpack_unpacked u;
    bool ok;

    if (len == 0) {
        return false;
    }
    msgpack_unpacked_init(&u);
    ok = msgpack_unpack_next(&u, (const char *)*p, len, NULL) ==
             MSGPACK_UNPACK_SUCCESS &&
         u.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER;
    if (ok) {
        *value = u.data.via.u64;
    }
    msgpack_unpacked_destroy(&u);
    *p += len;
    return ok;
}

static enum ggw_frame_status
decode_frame(const uint8_t *p, size_t len, struct ggw_frame *frame)
{
    const uint8_t *end = p + len;
    uint64_t version;
    uint64_t type;

    if (*p++ != FIXARRAY_4 || !read_uint(&p, end, &version)) {
        return GGW_FRAME_MALFORMED;
    }
    if (version != GGW_FRAME_VERSION) {
        return GGW_FRAME_VERSION_UNKNOWN;
    }
    if (!read_uint(&p, end, &type) || type > INT16_MAX ||
        !read_uint(&p, end, &frame->request_id) || p == end ||
        object_len(p, (size_t)(end - p), 0) != (size_t)(end - p)) {
        return GGW_FRAME_MALFORMED;
    }
    frame->type = (int)type;
    frame->payload = (const char *)p;
    frame->payload_len = (size_t)(end - p);
    return GGW_FRAME_READY;
}

enum ggw_frame_status
ggw_frame_next(struct ggw_frame_decoder *d, struct ggw_frame *frame)
{
    const uint8_t *p = d->buffer->data + d->consumed;
    size_t available = d->buffer->len - d->consumed;
    enum ggw_frame_status status;
    uint32_t len;

    if (d->failed) {
        return d->failure;
    }
    if (available < LENGTH_SIZE) {
        return GGW_FRAME_MORE;
    }
    len = read_big_endian(p, LENGTH_SIZE);
    if (len == 0 || len > d->max) {
        return fail_decoder(d, GGW_FRAME_OVERSIZED);
    }
    if (available - LENGTH_SIZE < len) {
        return GGW_FRAME_MORE;
    }
    status = decode_frame(p + LENGTH_SIZE, len, frame);
    if (status != GGW_FRAME_READY) {
        return fail_decoder(d, status);
    }
    d->consumed += LENGTH_SIZE + len;
    return GGW_FRAME_READY;
}

size_t
ggw_frame_pending(const struct ggw_frame_decoder *d)
{
    return d->buffer->len - d->consumed;
}
