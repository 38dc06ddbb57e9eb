#ifndef GGW_DECIDE_OWNER_H
#define GGW_DECIDE_OWNER_H

#include <stddef.h>

#include "peers/peers.h"

/*
 * Which gateway owns a service in a failure domain (design 5.1): the highest
 * rendezvous hash among the gateways of that failure domain that are alive,
 * or among all that are alive when it has none. When a gateway comes or goes,
 * only what it owned moves.
 */

/**
 * ggw_owner_pick() - the owner in one gateway's view
 *
 * Return: position in @members; (size_t)-1 when none is alive.
 */
size_t ggw_owner_pick(const char *team, const char *service,
                      const char *failure_domain,
                      const struct ggw_member *members, size_t len);

#endif
