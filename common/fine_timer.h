#ifndef GGW_COMMON_FINE_TIMER_H
#define GGW_COMMON_FINE_TIMER_H

#include <glib.h>
#include <stddef.h>
#include <uv.h>

#include "kernel/clock.h"

/*
 * Timers with a finer resolution than the 1 ms of libuv. Each set polls one
 * timerfd in the loop and keeps its timers in a binary heap by deadline.
 */

struct ggw_fine_timer;

/* Called when a timer expires. */
typedef void (*ggw_fine_timer_cb)(struct ggw_fine_timer *timer);

/**
 * struct ggw_fine_timer - one-shot timer, embedded in its owner
 * @due: monotonic time in ms at which @cb is called
 * @cb: called once per start; it may start any timer again
 * @data: pointer for use by the owner
 * @pos: index in the heap plus one; 0 while the timer is stopped
 *
 * The owner zeroes it before first use.
 */
struct ggw_fine_timer {
    ggw_ms due;
    ggw_fine_timer_cb cb;
    void *data;
    size_t pos;
};

struct ggw_fine_timers;

/**
 * ggw_fine_timers_new() - create a set of timers on a loop
 *
 * Return: the set, or NULL when no timerfd could be created.
 */
struct ggw_fine_timers *ggw_fine_timers_new(uv_loop_t *loop);

/**
 * ggw_fine_timers_close() - stop all timers of a set and close it
 * @set: set to close, freed on a later iteration of the loop; may be NULL
 */
void ggw_fine_timers_close(struct ggw_fine_timers *set);

/**
 * ggw_fine_timer_start() - start a timer or change its deadline
 * @due: deadline as monotonic time in ms of ggw_clock_system(); timers with
 *       equal deadlines expire in unspecified order
 * @cb: callback to call at the deadline
 */
void ggw_fine_timer_start(struct ggw_fine_timers *set,
                          struct ggw_fine_timer *timer, ggw_ms due,
                          ggw_fine_timer_cb cb);

/**
 * ggw_fine_timer_stop() - stop a timer; no-op for a stopped timer
 */
void ggw_fine_timer_stop(struct ggw_fine_timers *set,
                         struct ggw_fine_timer *timer);

#endif
