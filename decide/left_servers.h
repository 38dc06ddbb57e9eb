#ifndef GGW_DECIDE_LEFT_SERVERS_H
#define GGW_DECIDE_LEFT_SERVERS_H

#include <glib.h>
#include <stdbool.h>

#include "kernel/clock.h"

/**
 * DOC: Backend servers that left before the store returned from an older copy
 *
 * The store then has their entries again, until they are removed anew. Such an
 * entry is not used for a time in which that happens; then it counts. An entry
 * that is written after the return is that of a server that has started again.
 */

/* Time in ms for which a removed entry is remembered; copies are younger. */
#define GGW_LEFT_MEMORY_MS 15000.0

/* Time in ms in which an entry is removed, or written, again. */
#define GGW_LEFT_HOLD_MS 2000.0

/**
 * struct ggw_left_servers - servers that have left
 * @left: id to the time at which its entry was removed, monotonic ms
 * @held: id to the time until which its entry is not used, monotonic ms
 */
struct ggw_left_servers {
    GHashTable *left;
    GHashTable *held;
};

/* Initializes without any, and frees all. */
void ggw_left_servers_init(struct ggw_left_servers *l);
void ggw_left_servers_clear(struct ggw_left_servers *l);

/**
 * ggw_left_servers_removed() - record that an entry was removed
 * @now: monotonic ms
 */
void ggw_left_servers_removed(struct ggw_left_servers *l, const char *id,
                              ggw_ms now);

/**
 * ggw_left_servers_hold() - decide about an entry that is in the store
 * @returned: it was found when all rows were read after a return
 * @now: monotonic ms
 *
 * Return: whether it is not to be used, until ggw_left_servers_take().
 */
bool ggw_left_servers_hold(struct ggw_left_servers *l, const char *id,
                           bool returned, ggw_ms now);

/**
 * ggw_left_servers_take() - take an entry that was held long enough
 * @now: monotonic ms
 *
 * Also forgets what was removed long ago.
 *
 * Return: its id, to be freed with g_free(); NULL when there is none.
 */
char *ggw_left_servers_take(struct ggw_left_servers *l, ggw_ms now);

#endif
