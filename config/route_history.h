#ifndef GGW_CONFIG_ROUTE_HISTORY_H
#define GGW_CONFIG_ROUTE_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/tree.h"

/**
 * DOC: Revision that last changed each route of a team
 *
 * Compares each new snapshot of a team's settings with the one before. What
 * was in force before the first snapshot is not known.
 */

/**
 * struct ggw_route_age - since when a route has been as it is
 * @since: revision of the settings that last changed the route
 * @or_earlier: @since is the first revision that was recorded, so that the
 *              route may be older
 */
struct ggw_route_age {
    uint64_t since;
    bool or_earlier;
};

struct ggw_route_history;

/* Allocates an empty history of one team. */
struct ggw_route_history *ggw_route_history_new(void);
void ggw_route_history_free(struct ggw_route_history *h);

/**
 * ggw_route_history_record() - record the settings that are now in force
 * @tree: newer than the settings recorded before
 */
void ggw_route_history_record(struct ggw_route_history *h,
                              struct ggw_tree *tree);

/**
 * ggw_route_history_age() - get since when a route has been as it is
 * @route: name of the route
 * @age: set if the route is in the recorded settings
 *
 * Return: false if it is not.
 */
bool ggw_route_history_age(const struct ggw_route_history *h,
                           const char *route, struct ggw_route_age *age);

#endif
