#ifndef GGW_DECIDE_READERS_H
#define GGW_DECIDE_READERS_H

#include <glib.h>
#include <stdbool.h>

#include "kernel/clock.h"

/*
 * Which gateways read a table of the platform's store for all of them. A few
 * readers follow it; the others take over, one after the other in the order of
 * their ranks, when no reader is known to get answers. It answers two loads:
 * calls to the store stay few while all is well, and a change reaches every
 * gateway in time when the store is cut off from just those that read it.
 */

/* Gateways that read a table at a time while all is well. */
#define GGW_READERS 2

/**
 * struct ggw_readers - what one gateway knows of the readers of one table
 * @heard: reader's name to the time at which it last said that it is answered
 * @none_since: earliest time from which no reader was known
 */
struct ggw_readers {
    GHashTable *heard;
    ggw_ms none_since;
};

/**
 * ggw_readers_init() - start without any reader
 *
 * The others have as long to be heard of as a reader that falls silent.
 */
void ggw_readers_init(struct ggw_readers *r, ggw_ms now);

void ggw_readers_clear(struct ggw_readers *r);

/**
 * ggw_readers_heard() - a gateway said that the store answers it
 */
void ggw_readers_heard(struct ggw_readers *r, const char *name, ggw_ms now);

/**
 * ggw_readers_lost() - a gateway said that the store answers it no longer
 */
void ggw_readers_lost(struct ggw_readers *r, const char *name, ggw_ms now);

/**
 * ggw_readers_needed() - whether this gateway has to read the table
 * @rank: number of gateways that come before this one
 */
bool ggw_readers_needed(const struct ggw_readers *r, guint rank, ggw_ms now);

#endif
