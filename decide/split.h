#ifndef GGW_DECIDE_SPLIT_H
#define GGW_DECIDE_SPLIT_H

#include <stddef.h>

#include "config/tree.h"

/*
 * Which service of a split route gets the next request.
 */

/**
 * ggw_split_pick() - the part that is farthest behind its share
 * @sent: requests sent to each part so far; the one picked is counted
 *
 * After any number of requests, each part is at most one request off its
 * share.
 *
 * Return: position of the part; a part with weight 0 only if all have it.
 */
size_t ggw_split_pick(const struct ggw_split_part *parts, size_t len,
                      double *sent);

#endif
