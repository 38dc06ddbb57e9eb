#include "http/response_check.h"

#include <glib.h>
#include <string.h>

#include "http/grammar.h"

/* Beginning of a status line; "#" stands for any digit. */
static const char status_line[] = "HTTP/1.# ###";

#define STATUS_LINE_LEN (sizeof(status_line) - 1)

/* Offsets of the minor version and of the status in a status line. */
#define MINOR_VERSION_AT 7
#define STATUS_AT 9

/* Maximum number of digits of a length, so that it fits into 60 bits. */
#define MAX_LENGTH_DIGITS 18

enum {
    SWITCHING_PROTOCOLS = 101,
    NO_CONTENT = 204,
    NOT_MODIFIED = 304,
};

enum state {
    IN_STATUS_LINE,
    IN_REASON,
    AT_LINE_START, /* of a header, a trailer or the empty line */
    IN_NAME,
    IN_VALUE,
    IN_SIZED_BODY,
    IN_CHUNK_LINE,
    IN_CHUNK,
    BEHIND_CHUNK,
    IN_UNFRAMED_BODY,
    AT_END,
};

const char *
ggw_response_part_name(enum ggw_response_part part)
{
    static const char *const names[] = {
        [GGW_RESPONSE_STATUS_LINE] = "status-line",
        [GGW_RESPONSE_HEADER] = "header",
        [GGW_RESPONSE_FRAMING] = "framing",
        [GGW_RESPONSE_BODY] = "body",
        [GGW_RESPONSE_CHUNK] = "chunk",
        [GGW_RESPONSE_TRAILER] = "trailer",
    };

    return names[part];
}

static void
begin_head(struct ggw_response_check *c)
{
    c->state = IN_STATUS_LINE;
    c->part = GGW_RESPONSE_STATUS_LINE;
    c->status = 0;
    c->line_len = 0;
    c->name_len = 0;
}

void
ggw_response_check_init(struct ggw_response_check *c, bool is_head)
{
    memset(c, 0, sizeof(*c));
    c->is_head = is_head;
    begin_head(c);
}

static bool
add_to_status_line(struct ggw_response_check *c, char b)
{
    size_t at = c->line_len++;

    if (at == STATUS_LINE_LEN) {
        c->state = IN_REASON;
        return b == ' ';
    }
    if (status_line[at] != '#') {
        return b == status_line[at];
    }
    if (!g_ascii_isdigit(b)) {
        return false;
    }
    if (at == MINOR_VERSION_AT) {
        c->is_http_10 = b == '0';
    }
    if (at < STATUS_AT) {
        return true;
    }
    c->status = 10 * c->status + (unsigned)g_ascii_digit_value(b);
    /* The first digit is the class of the status. */
    return at > STATUS_AT || (b >= '1' && b <= '5');
}

static bool
add_to_name(struct ggw_response_check *c, char b)
{
    if (b == ':') {
        c->state = IN_VALUE;
        c->value_len = 0;
        return c->name_len > 0;
    }
    if (c->name_len < sizeof(c->name)) {
        c->name[c->name_len] = g_ascii_tolower(b);
    }
    c->name_len++;
    return ggw_is_token_char(b);
}

static bool
name_is(const struct ggw_response_check *c, const char *name)
{
    return c->name_len == strlen(name) &&
           memcmp(c->name, name, c->name_len) == 0;
}

static bool
is_framing_header(const struct ggw_response_check *c)
{
    return name_is(c, "content-length") || name_is(c, "transfer-encoding");
}

/* Begins a line that continues the value of the header before it. */
static bool
continue_value(struct ggw_response_check *c)
{
    c->state = IN_VALUE;
    return c->name_len > 0 && !is_framing_header(c);
}

static bool
begin_name(struct ggw_response_check *c, char b)
{
    if (b == ' ' || b == '\t') {
        return continue_value(c);
    }
    c->state = IN_NAME;
    c->name_len = 0;
    return add_to_name(c, b);
}

static bool
add_to_value(struct ggw_response_check *c, char b)
{
    if (c->value_len == 0 && (b == ' ' || b == '\t')) {
        return true; /* white space before the value */
    }
    if (c->value_len < sizeof(c->value)) {
        c->value[c->value_len] = b;
    }
    c->value_len++;
    return ggw_is_text_char(b);
}

static bool
add_to_line(struct ggw_response_check *c, char b)
{
    switch ((enum state)c->state) {
    case IN_STATUS_LINE:
        return add_to_status_line(c, b);
    case IN_REASON:
        return ggw_is_text_char(b);
    case AT_LINE_START:
        return begin_name(c, b);
    case IN_NAME:
        return add_to_name(c, b);
    case IN_VALUE:
        return add_to_value(c, b);
    case IN_CHUNK_LINE:
        return ggw_chunk_line_add(&c->chunk, b);
    default:
        return false;
    }
}

/*
 * Takes the blanks off the end of a value that was kept whole. The parser does
 * not take a tab off a transfer coding.
 */
static void
trim_value(struct ggw_response_check *c)
{
    while (c->value_len > 0 && c->value[c->value_len - 1] == ' ') {
        c->value_len--;
    }
}

static bool
set_length(struct ggw_response_check *c)
{
    bool repeated = c->has_length;

    c->has_length = true;
    c->length = 0;
    for (size_t i = 0; i < c->value_len; i++) {
        if (!g_ascii_isdigit(c->value[i])) {
            return false;
        }
        c->length =
            10 * c->length + (uint64_t)g_ascii_digit_value(c->value[i]);
    }
    return !repeated && c->value_len > 0 && c->value_len <= MAX_LENGTH_DIGITS;
}

/* No request offers to take another transfer coding than this one. */
static bool
set_chunked(struct ggw_response_check *c)
{
    static const char chunked[] = "chunked";
    bool repeated = c->is_chunked;

    c->is_chunked = true;
    return !repeated && c->value_len == strlen(chunked) &&
           g_ascii_strncasecmp(c->value, chunked, c->value_len) == 0;
}

static bool
end_header(struct ggw_response_check *c)
{
    if (c->part == GGW_RESPONSE_TRAILER || !is_framing_header(c)) {
        return true;
    }
    c->part = GGW_RESPONSE_FRAMING;
    if (c->value_len > sizeof(c->value)) {
        return false;
    }
    trim_value(c);
    return name_is(c, "content-length") ? set_length(c) : set_chunked(c);
}

static bool
is_interim(const struct ggw_response_check *c)
{
    return c->status < 200;
}

/* Whether what the head says of the body is in order. */
static bool
is_framing_valid(const struct ggw_response_check *c)
{
    if (is_interim(c)) {
        return !c->has_length && !c->is_chunked;
    }
    if (c->is_chunked) {
        return !c->has_length && !c->is_http_10 && c->status != NO_CONTENT;
    }
    return c->status != NO_CONTENT || c->length == 0;
}

static void
begin_chunk_line(struct ggw_response_check *c)
{
    c->state = IN_CHUNK_LINE;
    ggw_chunk_line_begin(&c->chunk);
}

static void
begin_body(struct ggw_response_check *c)
{
    c->has_body =
        !c->is_head && c->status != NO_CONTENT && c->status != NOT_MODIFIED;
    c->part = GGW_RESPONSE_BODY;
    if (!c->has_body) {
        c->state = AT_END;
    }
    else if (c->is_chunked) {
        c->part = GGW_RESPONSE_CHUNK;
        begin_chunk_line(c);
    }
    else if (c->has_length) {
        c->body_left = c->length;
        c->state = c->length > 0 ? IN_SIZED_BODY : AT_END;
    }
    else {
        c->state = IN_UNFRAMED_BODY;
    }
}

/* Handles the empty line behind the headers or the trailers. */
static bool
end_head(struct ggw_response_check *c)
{
    if (c->part == GGW_RESPONSE_TRAILER) {
        c->state = AT_END;
        return true;
    }
    if (c->status == SWITCHING_PROTOCOLS) {
        c->part = GGW_RESPONSE_STATUS_LINE;
        return false; /* no request asks for it */
    }
    if (!is_framing_valid(c)) {
        c->part = GGW_RESPONSE_FRAMING;
        return false;
    }
    if (is_interim(c)) {
        begin_head(c);
    }
    else {
        begin_body(c);
    }
    return true;
}

static bool
end_chunk_line(struct ggw_response_check *c)
{
    if (!ggw_chunk_line_is_complete(&c->chunk)) {
        return false;
    }
    c->body_left = c->chunk.size;
    c->state = IN_CHUNK;
    if (c->chunk.size == 0) {
        c->part = GGW_RESPONSE_TRAILER;
        c->state = AT_LINE_START;
        c->name_len = 0;
    }
    return true;
}

static bool
end_line(struct ggw_response_check *c)
{
    switch ((enum state)c->state) {
    case IN_STATUS_LINE:
        if (c->line_len < STATUS_LINE_LEN) {
            return false;
        }
        break;
    case IN_VALUE:
        if (!end_header(c)) {
            return false;
        }
        break;
    case AT_LINE_START:
        return end_head(c);
    case IN_CHUNK_LINE:
        return end_chunk_line(c);
    case BEHIND_CHUNK:
        begin_chunk_line(c);
        return true;
    case IN_NAME:
        return false; /* there is no colon */
    default:
        break;
    }
    if (c->part != GGW_RESPONSE_TRAILER) {
        c->part = GGW_RESPONSE_HEADER;
    }
    c->state = AT_LINE_START;
    return true;
}

/* Checks a byte of a line. Only lines of a head may end without a return. */
static bool
check_line(struct ggw_response_check *c, char b)
{
    if (c->after_return) {
        c->after_return = false;
        return b == '\n' && end_line(c);
    }
    if (b == '\r') {
        c->after_return = true;
        return true;
    }
    if (b == '\n') {
        return c->state != IN_CHUNK_LINE && c->state != BEHIND_CHUNK &&
               end_line(c);
    }
    return add_to_line(c, b);
}

/* Passes over the bytes of a body; returns their number. */
static size_t
skip_body(struct ggw_response_check *c, size_t len)
{
    size_t skipped = (size_t)MIN(c->body_left, (uint64_t)len);

    c->body_left -= skipped;
    if (c->body_left == 0) {
        c->state = c->state == IN_CHUNK ? BEHIND_CHUNK : AT_END;
    }
    return skipped;
}

size_t
ggw_response_check_add(struct ggw_response_check *c, const char *bytes,
                       size_t len)
{
    size_t at = 0;

    while (at < len && c->state != AT_END && c->state != IN_UNFRAMED_BODY) {
        if (c->state == IN_SIZED_BODY || c->state == IN_CHUNK) {
            at += skip_body(c, len - at);
        }
        else if (check_line(c, bytes[at])) {
            at++;
        }
        else {
            return at;
        }
    }
    return len;
}
