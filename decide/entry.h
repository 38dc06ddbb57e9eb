#ifndef GGW_DECIDE_ENTRY_H
#define GGW_DECIDE_ENTRY_H

#include <glib.h>

#include "peers/peers.h"

/**
 * DOC: Choice of the gateways that a client is told to use
 */

/**
 * ggw_entry_pick() - pick the gateways for a client
 * @members: array of struct ggw_member with all gateways
 * @domain: failure domain of the client; NULL if unknown
 *
 * Picks the alive gateways of the client's failure domain, or all alive
 * gateways if it has none. Gateways with slow links are left out if the others
 * have enough processor time.
 *
 * Return: array of const struct ggw_member pointers into @members, to be
 * released with g_ptr_array_unref().
 */
GPtrArray *ggw_entry_pick(const GArray *members, const char *domain);

#endif
