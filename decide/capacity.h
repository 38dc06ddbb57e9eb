#ifndef GGW_DECIDE_CAPACITY_H
#define GGW_DECIDE_CAPACITY_H

#include <stdbool.h>
#include <stddef.h>

#include "peers/peers.h"

/*
 * Which gateways are fit for work that others wait for. On a thin link a
 * large response holds up all frames behind it, for tens of ms.
 */

/**
 * ggw_capacity_max_link() - fastest link of a gateway that is alive, Mbit/s
 * @domain: of the gateways in it; NULL for all
 */
int ggw_capacity_max_link(const struct ggw_member *members, size_t len,
                          const char *domain);

/**
 * ggw_capacity_is_fast() - whether a gateway's link is not much slower
 * @fastest: of those that it is compared with
 *
 * A gateway that does not say how fast its link is counts as fast.
 */
bool ggw_capacity_is_fast(const struct ggw_member *m, int fastest);

#endif
