#ifndef GGW_DECIDE_ENTRY_H
#define GGW_DECIDE_ENTRY_H

#include <glib.h>

#include "peers/peers.h"

/*
 * Which gateways a client is told to use.
 */

/**
 * ggw_entry_pick() - gateways for a client of a failure domain
 * @members: of struct ggw_member
 * @domain: failure domain of the client, or NULL
 *
 * Those of the client's failure domain; if none of them takes clients, all
 * that do.
 *
 * Return: array of const struct ggw_member pointers into @members; the caller
 * frees it.
 */
GPtrArray *ggw_entry_pick(const GArray *members, const char *domain);

#endif
