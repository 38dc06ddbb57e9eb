#ifndef GGW_SLOTS_EVENTS_H
#define GGW_SLOTS_EVENTS_H

#include "slots/internal.h"

/* Log lines on what this gateway believes of servers and owners. */

/* The ledger of an owned domain, once a second while it has work. */
void ggw_slots_log_ledger(struct ggw_slots *p, struct ggw_slots_domain *d,
                          ggw_ms now);

/* A server changed its state, with what the owner knows of it. */
void ggw_slots_log_server(const struct ggw_slots_domain *d,
                          const struct ggw_ledger_change *change);

/* This gateway became the owner, or ceased to be. */
void ggw_slots_log_owner(const struct ggw_slots_domain *d, const char *event);

/* A request was placed without its owner. */
void ggw_slots_log_fallback(const struct ggw_slots_pending *pd,
                            const char *server, const char *owner);

#endif
