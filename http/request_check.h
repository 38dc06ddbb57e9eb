#ifndef GGW_HTTP_REQUEST_CHECK_H
#define GGW_HTTP_REQUEST_CHECK_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Checks of the raw head of a request. h2o 2.2.5 takes the first framing
 * header that suits it and drops the others, so its parsed headers do not
 * show that a request had two.
 */

/* Longest request head, with request line and empty line. */
#define GGW_HEAD_MAX 16384

/* Longest request body. */
#define GGW_BODY_MAX 1048576

/**
 * enum ggw_head_verdict - what a raw head is
 * @GGW_HEAD_OK: one complete head that may be served
 * @GGW_HEAD_PARTIAL: more bytes are needed
 * @GGW_HEAD_BAD: malformed, or its framing is ambiguous
 * @GGW_HEAD_TOO_LARGE: above GGW_HEAD_MAX
 * @GGW_HEAD_LARGE_BODY: states a body above GGW_BODY_MAX
 */
enum ggw_head_verdict {
    GGW_HEAD_OK,
    GGW_HEAD_PARTIAL,
    GGW_HEAD_BAD,
    GGW_HEAD_TOO_LARGE,
    GGW_HEAD_LARGE_BODY,
};

/**
 * ggw_head_check() - check the bytes that a client sent
 * @bytes: from the first byte of the request
 *
 * Bad are: a control character, a folded line, a header line without a name
 * or colon, more than one Content-Length or Transfer-Encoding or both, a
 * Content-Length that is not a number, a transfer coding other than chunked.
 * More headers than h2o accepts make a head too large.
 */
enum ggw_head_verdict ggw_head_check(const char *bytes, size_t len);

#endif
