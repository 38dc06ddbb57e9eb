#ifndef GGW_DECIDE_ANNOUNCE_H
#define GGW_DECIDE_ANNOUNCE_H

#include <stdbool.h>

#include "kernel/clock.h"

/**
 * DOC: When an owner announces free slots and warm servers
 *
 * Every announcement goes to all gateways, so its cost grows with their number
 * and with the number of owners. Changes that keep others from using slots or
 * servers wrongly are announced at once, the others at most once per
 * GGW_ANNOUNCE_INTERVAL.
 */

/* Minimum interval in ms between announcements that are not urgent. */
#define GGW_ANNOUNCE_INTERVAL 1000.0

/**
 * struct ggw_announce_state - what an owner has announced, and what it knows
 * @announced: an announcement was sent
 * @announced_at: monotonic ms at which it was sent
 * @announced_free_slots: free slots in it, rounded
 * @free_slots: free slots now, rounded
 * @warm_added: a server is warm now and was not in it
 * @warm_removed: a server was in it and is not warm now
 */
struct ggw_announce_state {
    bool announced;
    ggw_ms announced_at;
    int announced_free_slots;
    int free_slots;
    bool warm_added;
    bool warm_removed;
};

/**
 * ggw_announce_due() - test whether to announce now
 * @now: monotonic ms
 *
 * Other gateways must not use a server that is no longer warm without a grant,
 * and need to know at once whether there are any free slots.
 */
bool ggw_announce_due(const struct ggw_announce_state *s, ggw_ms now);

/**
 * ggw_announce_round_slots() - round a number of free slots for announcements
 *
 * Other gateways only need to know whether there are free slots and roughly
 * how many.
 *
 * Return: the highest power of two that is not above @free_slots; 0 for 0.
 */
int ggw_announce_round_slots(int free_slots);

#endif
