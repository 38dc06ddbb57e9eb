#ifndef GGW_SLOTS_EVENTS_H
#define GGW_SLOTS_EVENTS_H

#include "slots/internal.h"

/* Log events about ledgers, servers and owners, as this gateway sees them. */

/*
 * Logs a summary of the ledger of an owned domain, at most once a second and
 * only while requests are in flight or waiting.
 */
void ggw_slots_log_ledger(struct ggw_slots *p, struct ggw_slots_domain *d,
                          ggw_ms now);

/* Logs that a server has changed its state and what its owner knows of it. */
void ggw_slots_log_server(const struct ggw_slots_domain *d,
                          const struct ggw_ledger_change *change);

/* Logs that this gateway has become the owner or has handed over. */
void ggw_slots_log_owner(const struct ggw_slots_domain *d, const char *change);

/*
 * Logs that a request was placed without a grant of the owner of its home
 * domain; @owner_name is NULL if the domain has none.
 */
void ggw_slots_log_fallback(const struct ggw_slots_pending *pd,
                            const char *server_name, const char *owner_name);

/*
 * Logs that a pending request is refused because the settings no longer have
 * its service, and which owners it was waiting for.
 */
void ggw_slots_log_removed(const struct ggw_slots_pending *pd);

/*
 * Logs that a server wants no requests, or takes them again.
 * @source: id of the request whose response said so, or the gateway that told
 * @left: ms until the end of a pause
 */
void ggw_slots_log_backoff(const struct ggw_slots_server *s,
                           const char *source, ggw_ms left);

#endif
