#ifndef GGW_CONFIG_ROUTE_INDEX_H
#define GGW_CONFIG_ROUTE_INDEX_H

#include <stddef.h>

struct ggw_route_rule;

/**
 * DOC: Index of routes by host and path prefix
 *
 * Finding a route takes one look-up for each length of a prefix that the host
 * has, however many routes there are.
 */

struct ggw_route_index;

/**
 * ggw_route_index_new() - index routes
 * @routes: must outlive the index; of two with the same host and prefix the
 *          first one counts
 * @len: number of elements in @routes
 */
struct ggw_route_index *
ggw_route_index_new(const struct ggw_route_rule *routes, size_t len);

/* Frees an index; NULL is allowed. */
void ggw_route_index_free(struct ggw_route_index *index);

/**
 * ggw_route_index_find() - find the route of a request
 * @host: in any case; a port is ignored
 * @path: path without the query
 *
 * Return: the route of the host with the longest matching prefix, or NULL.
 */
const struct ggw_route_rule *
ggw_route_index_find(const struct ggw_route_index *index, const char *host,
                     const char *path);

#endif
