#ifndef GGW_PROXY_HEADERS_H
#define GGW_PROXY_HEADERS_H

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>

#include "proxy/dialect.h"
#include "slots/slots.h"

/* Translation of headers between the client and the backend server. */

/**
 * ggw_headers_find() - value of a header of a request
 * @name: in lower case
 *
 * Return: NULL without it; the caller frees it.
 */
char *ggw_headers_find(const h2o_req_t *req, const char *name);

/**
 * ggw_headers_only() - value of a header that a request must not repeat
 *
 * Return: NULL without it or with more than one; the caller frees it.
 */
char *ggw_headers_only(const h2o_req_t *req, const char *name);

/**
 * ggw_headers_forward() - headers of a request for the backend server
 *
 * Left out are the headers of this hop and those that the dialect replaces.
 *
 * Return: text of lines, with Host and Content-Length.
 */
GString *ggw_headers_forward(const h2o_req_t *req,
                             const struct ggw_dialect *dialect);

/**
 * ggw_headers_back() - copy the headers of a response to the client
 */
void ggw_headers_back(h2o_req_t *req, const struct ggw_dialect *dialect,
                      const h2o_header_t *headers, size_t len);

/**
 * ggw_headers_has() - whether a response has a header
 * @name: in lower case
 */
bool ggw_headers_has(const h2o_header_t *headers, size_t len,
                     const char *name);

/**
 * ggw_headers_not_run() - whether a response says "Backend-Outcome: not-run"
 */
bool ggw_headers_not_run(const h2o_header_t *headers, size_t len);

/**
 * ggw_headers_load() - parse Backend-Load
 *
 * A malformed report counts as absent.
 */
struct ggw_load_report ggw_headers_load(const h2o_header_t *headers,
                                        size_t len);

#endif
