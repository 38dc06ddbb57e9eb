#ifndef GGW_PROXY_ROUTE_H
#define GGW_PROXY_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "config/tree.h"

/**
 * struct ggw_route - a request's path, split
 * @team, @service: segments, decoded
 * @forward: path and query for the backend server, as received
 * @plain: path without the query, decoded; rules are matched against it
 */
struct ggw_route {
    char *team;
    char *service;
    char *forward;
    char *plain;
};

/**
 * ggw_route_parse() - split "/TEAM/SERVICE/REST"
 * @path: as received, with the query
 *
 * The rules see the decoded path, as the backend server does; otherwise an
 * order in other letters would pass as another kind of request.
 *
 * Return: false for a path that is not absolute, has a broken escape, a
 * control character or a "." or ".." segment.
 */
bool ggw_route_parse(struct ggw_route *route, const char *path, size_t len);

void ggw_route_clear(struct ggw_route *route);

/**
 * ggw_route_order() - the identifier of an order
 * @header: value of the kind's header, or NULL
 *
 * Return: NULL when the request has none, or when the segments of its path
 * are ambiguous; the caller frees it.
 */
char *ggw_route_order(const struct ggw_kind *kind,
                      const struct ggw_route *route, const char *header);

#endif
