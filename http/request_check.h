#ifndef GGW_HTTP_REQUEST_CHECK_H
#define GGW_HTTP_REQUEST_CHECK_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Checks the raw head of a request. h2o 2.2.5 uses the first framing header
 * (Content-Length or Transfer-Encoding) that it accepts and discards the
 * others, so its parsed headers do not show that a request had several of
 * them.
 */

/*
 * Maximum size of a request head in bytes, including the request line and the
 * empty line at the end.
 */
#define GGW_HEAD_MAX 16384

/**
 * enum ggw_head_verdict - result of the check of a request head
 * @GGW_HEAD_OK: the head is complete and valid
 * @GGW_HEAD_PARTIAL: valid so far, but the end of the head is missing
 * @GGW_HEAD_BAD: malformed, or the framing of the body is ambiguous
 * @GGW_HEAD_TOO_LARGE: longer than GGW_HEAD_MAX, or more headers than h2o
 *                      accepts
 * @GGW_HEAD_BODY_TOO_LARGE: Content-Length is above the limit
 */
enum ggw_head_verdict {
    GGW_HEAD_OK,
    GGW_HEAD_PARTIAL,
    GGW_HEAD_BAD,
    GGW_HEAD_TOO_LARGE,
    GGW_HEAD_BODY_TOO_LARGE,
};

/**
 * ggw_head_check() - check the head of a request
 * @bytes: received bytes, from the first byte of the request on
 * @len: length of @bytes
 * @body_max: largest body, bytes
 *
 * A head is bad if it contains a control character, a malformed request line
 * or header name, a folded line, a header line without a name or colon, more
 * than one Content-Length or Transfer-Encoding or both of them, a
 * Content-Length that is not a number, a transfer coding other than chunked,
 * or any transfer coding in HTTP/1.0. At most one empty line may precede the
 * request line.
 */
enum ggw_head_verdict ggw_head_check(const char *bytes, size_t len,
                                     size_t body_max);

#endif
