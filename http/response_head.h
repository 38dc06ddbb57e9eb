#ifndef GGW_HTTP_RESPONSE_HEAD_H
#define GGW_HTTP_RESPONSE_HEAD_H

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>

/*
 * The status line and headers of a response, collected from the parts in
 * which a parser reports them.
 */

/* A response with more headers counts as malformed. */
#define GGW_RESPONSE_MAX_HEADERS 100

/**
 * struct ggw_response_head - status line and headers
 * @major, @minor: version of HTTP
 * @status: status code
 * @reason: reason phrase
 * @headers: private
 * @value_started: the value of the last header has begun
 */
struct ggw_response_head {
    unsigned major;
    unsigned minor;
    unsigned status;
    GString *reason;
    GPtrArray *headers;
    bool value_started;
};

void ggw_response_head_init(struct ggw_response_head *h);
void ggw_response_head_clear(struct ggw_response_head *h);

/**
 * ggw_response_head_reset() - forget an interim response
 */
void ggw_response_head_reset(struct ggw_response_head *h);

/**
 * ggw_response_head_name() - append bytes to the name of a header
 *
 * Bytes behind those of a value begin a new header.
 *
 * Return: false if there are too many headers.
 */
bool ggw_response_head_name(struct ggw_response_head *h, const char *bytes,
                            size_t len);

/**
 * ggw_response_head_value() - append bytes to the value of the last header
 */
void ggw_response_head_value(struct ggw_response_head *h, const char *bytes,
                             size_t len);

/**
 * ggw_response_head_find() - look up a header
 * @name: in any case
 *
 * Return: the value of the first one; NULL if there is none.
 */
const char *ggw_response_head_find(const struct ggw_response_head *h,
                                   const char *name);

/**
 * ggw_response_head_count() - count the headers with a name
 * @name: in any case
 */
size_t ggw_response_head_count(const struct ggw_response_head *h,
                               const char *name);

/**
 * ggw_response_head_fill() - list the headers
 * @out: for GGW_RESPONSE_MAX_HEADERS headers, valid as long as @h
 *
 * Return: their number.
 */
size_t ggw_response_head_fill(const struct ggw_response_head *h,
                              h2o_header_t *out);

/**
 * ggw_response_head_text() - write the head as a server usually sends it
 *
 * Return: status line, headers and the empty line; to be freed by the caller.
 */
GString *ggw_response_head_text(const struct ggw_response_head *h);

/**
 * ggw_response_head_is_mixed() - whether the head may have begun as that of
 * another response, which was cut
 * @reused: the connection has carried an earlier response
 */
bool ggw_response_head_is_mixed(const struct ggw_response_head *h,
                                bool reused);

#endif
