#ifndef GGW_DECIDE_READERS_H
#define GGW_DECIDE_READERS_H

#include <glib.h>
#include <stdbool.h>

#include "kernel/clock.h"
#include "peers/peers.h"

/**
 * DOC: Selection of the gateways that follow a table of the platform's store
 *
 * A few gateways, the readers, follow the table and relay its changes to the
 * others. When no reader is known to get answers from the store, the other
 * gateways take over one after another, in the order of their ranks. This
 * keeps calls to the store few in normal operation, and changes still reach
 * every gateway in time when only the readers are cut off from the store.
 *
 * A gateway that starts gets all rows from another gateway, from its own
 * failure domain if possible. At the start of a whole cluster, the first
 * gateway of each failure domain reads the store.
 */

/* Number of gateways that read a table in normal operation. */
#define GGW_READERS 2

/*
 * Time in ms in which a gateway that starts learns of the others. Before that
 * it does not know whether it has to read the store.
 */
#define GGW_READERS_DISCOVERY 200.0

/**
 * struct ggw_readers - readers of one table, as seen by one gateway
 * @heard: maps the name of a reader to the time of its last report that the
 *         store answers it, monotonic ms
 * @none_since: lower bound of the time from which no reader is known,
 *              monotonic ms
 */
struct ggw_readers {
    GHashTable *heard;
    ggw_ms none_since;
};

/**
 * ggw_readers_init() - initialize without any reader
 * @now: monotonic ms
 *
 * The first report of a reader may take as long as a reader may be silent, so
 * that not every gateway reads the table right after its start.
 */
void ggw_readers_init(struct ggw_readers *r, ggw_ms now);

/**
 * ggw_readers_clear() - free the table of readers
 */
void ggw_readers_clear(struct ggw_readers *r);

/**
 * ggw_readers_heard() - record a report that the store answers a gateway
 * @name: name of that gateway
 * @now: monotonic ms
 */
void ggw_readers_heard(struct ggw_readers *r, const char *name, ggw_ms now);

/**
 * ggw_readers_lost() - record a report that the store stopped answering a
 *                      gateway
 * @name: name of that gateway
 * @now: monotonic ms
 */
void ggw_readers_lost(struct ggw_readers *r, const char *name, ggw_ms now);

/**
 * ggw_readers_needed() - test whether this gateway has to read the table
 * @rank: number of gateways ranked before this one
 * @now: monotonic ms
 */
bool ggw_readers_needed(const struct ggw_readers *r, guint rank, ggw_ms now);

/*
 * Time in ms after which a reader relays a change that the reader before it in
 * the order has not relayed.
 */
#define GGW_READERS_BACKUP_DELAY 300.0

/**
 * ggw_readers_others_relay() - test whether this reader leaves the relaying of
 *                              changes to another one
 * @now: monotonic ms
 *
 * For a reader that records only reports of readers that precede it.
 */
bool ggw_readers_others_relay(const struct ggw_readers *r, ggw_ms now);

/**
 * ggw_readers_rank() - get the rank of a gateway in the order of the readers
 * @members: of struct ggw_member
 * @name: name of the gateway
 *
 * Gateways with fast links come first. Those of a rank of GGW_READERS or
 * higher read the store only while those of lower rank cannot. All gateways
 * with the same list of members compute the same ranks.
 *
 * Return: number of living gateways that precede it in the order; the number
 * of members when the gateway is not one of them.
 */
guint ggw_readers_rank(const GArray *members, const char *name);

/**
 * ggw_readers_domain_rank() - get the rank among the gateways of the same
 *                             failure domain
 *
 * Return: as for ggw_readers_rank(); 0 when the gateway is not a member.
 */
guint ggw_readers_domain_rank(const GArray *members, const char *name);

/**
 * ggw_readers_source() - pick a gateway to request all rows from
 * @members: of struct ggw_member
 * @name: name of the requesting gateway
 * @attempt: number of gateways that were asked before
 *
 * The gateways of the own failure domain come first, in the order of their
 * ranks, then the others.
 *
 * Return: the member, NULL when no other gateway is alive.
 */
const struct ggw_member *ggw_readers_source(const GArray *members,
                                            const char *name, guint attempt);

/**
 * ggw_readers_fill_from_store() - test whether a gateway whose rows are not
 *                                 complete has to read the store itself
 * @domain_rank: its rank among the gateways of its failure domain
 * @missing_for: time in ms since it learned that rows are missing; after its
 *               start the time beyond GGW_READERS_DISCOVERY
 * @source_active: another gateway was asked for the rows, or has sent some,
 *                 a short time ago
 */
bool ggw_readers_fill_from_store(guint domain_rank, ggw_ms missing_for,
                                 bool source_active);

#endif
