#ifndef GGW_DECIDE_READERS_H
#define GGW_DECIDE_READERS_H

#include <glib.h>
#include <stdbool.h>

#include "kernel/clock.h"

/**
 * DOC: Selection of the gateways that follow a table of the platform's store
 *
 * A few gateways, the readers, follow the table and relay its changes to the
 * others. When no reader is known to get answers from the store, the other
 * gateways take over one after another, in the order of their ranks. This
 * keeps calls to the store few in normal operation, and changes still reach
 * every gateway in time when only the readers are cut off from the store.
 */

/* Number of gateways that read a table in normal operation. */
#define GGW_READERS 2

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

#endif
