#ifndef GGW_DECIDE_CAPACITY_H
#define GGW_DECIDE_CAPACITY_H

#include <stdbool.h>
#include <stddef.h>

#include "peers/peers.h"

/**
 * DOC: Selection of gateways by the speed of their link
 *
 * Work that other gateways wait for goes to gateways with fast links. On a
 * slow link, a large response delays all frames queued after it by tens of ms.
 */

/**
 * ggw_capacity_max_link() - highest link speed of the gateways that are alive
 * @domain: consider only the gateways in this failure domain; NULL: all
 *
 * Return: Mbit/s; 0 if no gateway reports its link speed.
 */
int ggw_capacity_max_link(const struct ggw_member *members, size_t len,
                          const char *domain);

/**
 * ggw_capacity_is_fast() - check whether a gateway's link is fast enough
 * @fastest: highest link speed of the gateways to compare with, Mbit/s
 *
 * Return: true if the link has at least a quarter of that speed, or if the
 * gateway does not report its link speed.
 */
bool ggw_capacity_is_fast(const struct ggw_member *m, int fastest);

#endif
