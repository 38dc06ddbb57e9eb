#ifndef GGW_DECIDE_SPLIT_H
#define GGW_DECIDE_SPLIT_H

#include <stddef.h>

#include "config/tree.h"

/**
 * DOC: Traffic split of a route by weights
 */

/**
 * ggw_split_pick() - pick the part that is farthest below its share
 * @parts: services of the route with their weights
 * @len: number of @parts
 * @sent: number of requests sent to each part so far; the function increments
 *        that of the part that it picks
 *
 * After any number of requests, each part is at most one request off its
 * share.
 *
 * Return: index into @parts; a part with weight 0 only if all weights are 0.
 */
size_t ggw_split_pick(const struct ggw_split_part *parts, size_t len,
                      double *sent);

#endif
