#ifndef GGW_DECIDE_OWNER_H
#define GGW_DECIDE_OWNER_H

#include <stddef.h>

#include "peers/peers.h"

/**
 * DOC: Choice of the owner of a service in a failure domain (design 5.1)
 *
 * The owner is the gateway with the highest rendezvous hash among the alive
 * gateways of the failure domain, or among all alive gateways if the domain
 * has none. Gateways with links much slower than the fastest are left out.
 * When a gateway joins or leaves, only the services that it owns move.
 */

/**
 * ggw_owner_pick() - pick the owner according to one gateway's view
 * @team: team of the service
 * @service: name of the service
 * @failure_domain: failure domain of the servers, or GGW_SLOTS_ALL_DOMAINS for
 *                  the servers of all failure domains, in which no gateway is
 * @members: all gateways in the view
 * @len: number of @members
 *
 * Return: index into @members; (size_t)-1 if no gateway is alive.
 */
size_t ggw_owner_pick(const char *team, const char *service,
                      const char *failure_domain,
                      const struct ggw_member *members, size_t len);

#endif
