#ifndef GGW_PROXY_HEADERS_H
#define GGW_PROXY_HEADERS_H

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>

#include "proxy/dialect.h"
#include "slots/slots.h"

/* Conversion of headers between client and backend server. */

/**
 * ggw_headers_find() - get the value of a request header
 * @name: name in lower case
 *
 * Return: the value of the first such header, to be freed by the caller; NULL
 * when there is none.
 */
char *ggw_headers_find(const h2o_req_t *req, const char *name);

/**
 * ggw_headers_find_single() - get a header that must not be repeated
 * @name: name of the header
 *
 * Return: the value, to be freed by the caller; NULL when the request has no
 * such header or more than one.
 */
char *ggw_headers_find_single(const h2o_req_t *req, const char *name);

/**
 * ggw_headers_find_all() - get the values of a header that may be repeated
 * @name: name in lower case
 *
 * Return: an array of texts without white space around them, in the order of
 * the request, to be freed by the caller.
 */
GPtrArray *ggw_headers_find_all(const h2o_req_t *req, const char *name);

/**
 * ggw_headers_build_request() - build the headers for the backend server
 * @has_customers: the settings have customers; the headers that identify one
 *                 are left out, also on routes that need no key
 *
 * Hop-by-hop headers and those that the dialect replaces are left out.
 *
 * Return: header lines with Host and, for a request with a body,
 * Content-Length.
 */
GString *ggw_headers_build_request(const h2o_req_t *req,
                                   const struct ggw_dialect *dialect,
                                   bool has_customers);

/**
 * ggw_headers_append_value() - append any text as the value of a header
 * @head: head of a message
 * @text: the text
 *
 * Control characters, and spaces at either end, which would change the value
 * or the head, are written as "%" and two hexadecimal digits.
 */
void ggw_headers_append_value(GString *head, const char *text);

/**
 * ggw_headers_copy_response() - copy headers of a server's response
 * @req: request of the client, whose response gets the headers
 *
 * Hop-by-hop headers, those that the dialect replaces, Date and Server are
 * left out.
 */
void ggw_headers_copy_response(h2o_req_t *req,
                               const struct ggw_dialect *dialect,
                               const h2o_header_t *headers, size_t len);

/**
 * ggw_headers_has() - whether a response has a header
 * @name: name in lower case
 */
bool ggw_headers_has(const h2o_header_t *headers, size_t len,
                     const char *name);

/**
 * ggw_headers_not_run() - whether a response says "Backend-Outcome: not-run"
 */
bool ggw_headers_not_run(const h2o_header_t *headers, size_t len);

/**
 * ggw_headers_parse_load() - parse the load report in Backend-Load
 *
 * Return: the report; not present when the header is absent or malformed.
 */
struct ggw_load_report ggw_headers_parse_load(const h2o_header_t *headers,
                                              size_t len);

/**
 * ggw_headers_parse_pause() - parse the pause in Retry-After
 * @notice: its pause is set, at most to GGW_BACKOFF_MAX_PAUSE; 0 without such
 * a header
 *
 * The header states seconds, with or without a fraction. If it is given twice,
 * the longer time counts; of a text that begins with a number, the number
 * does. A date, a negative number and other text ask for no pause. All of
 * these but a time that is given twice count as malformed.
 */
void ggw_headers_parse_pause(const h2o_header_t *headers, size_t len,
                             struct ggw_backoff_notice *notice);

#endif
