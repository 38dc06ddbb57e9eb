#ifndef GGW_HTTP_RESPONSE_CHECK_H
#define GGW_HTTP_RESPONSE_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http/chunk_line.h"

/**
 * DOC: Check of the bytes of a response
 *
 * Checks the bytes that a server sends for one request against the grammar of
 * RFC 9112, sections 4 to 7, before the parser reads them: the status line,
 * the header lines, what they say of the body together, and the lines and
 * trailers of a chunked body. The parser takes much more for a response.
 *
 * A recipient may repair some faults. The parser repairs a line of a head that
 * ends with a line feed only, a status line that ends behind the status, and a
 * value that is continued on the next line. All other faults make the response
 * malformed.
 *
 * The code reads no sockets.
 */

/* Bytes of a header's name that are kept; the longest one looked for has 17.
 */
#define GGW_RESPONSE_CHECK_NAME_BYTES 18

/* Bytes of a header's value that are kept. */
#define GGW_RESPONSE_CHECK_VALUE_BYTES 32

/**
 * enum ggw_response_part - part of a response
 */
enum ggw_response_part {
    GGW_RESPONSE_STATUS_LINE,
    GGW_RESPONSE_HEADER,
    GGW_RESPONSE_FRAMING,
    GGW_RESPONSE_BODY,
    GGW_RESPONSE_CHUNK,
    GGW_RESPONSE_TRAILER,
};

/**
 * struct ggw_response_check - state of the check
 * @is_head: the response is to a HEAD request and has no body
 * @status: status code of the last status line
 * @has_length: a Content-Length was read
 * @length: its value in bytes
 * @is_chunked: the body is chunked
 * @has_body: a body may follow the head of the final response
 * @part: where the next byte stands; behind a failure, what is malformed
 *
 * The other members are private.
 */
struct ggw_response_check {
    bool is_head;
    unsigned status;
    bool has_length;
    uint64_t length;
    bool is_chunked;
    bool has_body;
    enum ggw_response_part part;

    int state;
    bool after_return; /* the last byte was a carriage return */
    size_t line_len;   /* bytes of the status line */
    bool is_http_10;
    char name[GGW_RESPONSE_CHECK_NAME_BYTES];
    size_t name_len;
    char value[GGW_RESPONSE_CHECK_VALUE_BYTES];
    size_t value_len;
    struct ggw_chunk_line chunk;
    uint64_t body_left; /* bytes of a body with a length, or of a chunk */
};

/**
 * ggw_response_check_init() - begin with the response to a request
 * @is_head: the method of the request is HEAD
 */
void ggw_response_check_init(struct ggw_response_check *c, bool is_head);

/**
 * ggw_response_check_add() - check the next bytes
 *
 * Bytes behind the end of the response are not looked at.
 *
 * Return: number of bytes before the first one that makes the response
 * malformed; @len if there is none. After less than @len, the check is not to
 * be used any more.
 */
size_t ggw_response_check_add(struct ggw_response_check *c, const char *bytes,
                              size_t len);

/**
 * ggw_response_part_name() - get the name of a part for the log
 */
const char *ggw_response_part_name(enum ggw_response_part part);

#endif
