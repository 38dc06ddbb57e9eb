#ifndef GGW_PROXY_ROUTE_H
#define GGW_PROXY_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "config/tree.h"

/**
 * struct ggw_request_path - parsed path of a request to /TEAM/SERVICE
 * @team, @service: first two segments, percent-decoded; NULL if absent
 * @forward_path: path behind /TEAM/SERVICE with the query, as received; sent
 *                to the backend server
 * @decoded_path: path behind /TEAM/SERVICE without the query, percent-decoded;
 *                matched against the kinds of the service
 */
struct ggw_request_path {
    char *team;
    char *service;
    char *forward_path;
    char *decoded_path;
};

/**
 * ggw_request_path_parse() - parse "/TEAM/SERVICE/REST"
 * @parsed: result, to be cleared with ggw_request_path_clear() in any case
 * @path: path as received, with the query; not NUL-terminated
 * @len: length of @path in bytes
 *
 * Kinds are matched against the decoded path, which is what the backend server
 * acts on; otherwise a percent-encoded path of an order would match another
 * kind of request and bypass the claim.
 *
 * Return: false for a path that is not absolute, has a malformed escape, a
 * control character or a "." or ".." segment.
 */
bool ggw_request_path_parse(struct ggw_request_path *parsed, const char *path,
                            size_t len);

/**
 * ggw_request_path_clear() - free the members of a parsed path
 */
void ggw_request_path_clear(struct ggw_request_path *parsed);

/**
 * ggw_request_path_order_id() - get the identifier of an order
 * @kind: kind of the request; says where the identifier is
 * @header: value of the kind's order header, or NULL
 *
 * Return: the identifier, to be freed by the caller; NULL when the request has
 * none, when it is longer than 256 bytes or not UTF-8, or when the segments of
 * the path are ambiguous.
 */
char *ggw_request_path_order_id(const struct ggw_kind *kind,
                                const struct ggw_request_path *parsed,
                                const char *header);

#endif
