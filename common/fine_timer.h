#ifndef GGW_COMMON_FINE_TIMER_H
#define GGW_COMMON_FINE_TIMER_H

#include <glib.h>
#include <stddef.h>
#include <uv.h>

#include "kernel/clock.h"

/*
 * Timers finer than the 1 ms of libuv: one timerfd per set, watched by the
 * loop, and a heap of deadlines.
 */

struct ggw_fine_timer;
typedef void (*ggw_fine_timer_cb)(struct ggw_fine_timer *timer);

/**
 * struct ggw_fine_timer - one deadline; embedded in its owner, zeroed first
 * @due: monotonic time in ms at which @cb is called
 * @cb: called once; it may start any timer again
 * @data: for the owner
 * @pos: position in the heap plus one; 0 while not started
 */
struct ggw_fine_timer {
    ggw_ms due;
    ggw_fine_timer_cb cb;
    void *data;
    size_t pos;
};

struct ggw_fine_timers;

/**
 * ggw_fine_timers_new() - make a set of timers on a loop
 *
 * Return: the set, or NULL when the system has no timerfd left.
 */
struct ggw_fine_timers *ggw_fine_timers_new(uv_loop_t *loop);

/**
 * ggw_fine_timers_close() - stop all timers; the loop frees the set
 */
void ggw_fine_timers_close(struct ggw_fine_timers *set);

/**
 * ggw_fine_timer_start() - start or move a timer
 * @due: monotonic time in ms, as of ggw_clock_now(ggw_clock_system()); timers
 *       with the same @due have no order among them
 */
void ggw_fine_timer_start(struct ggw_fine_timers *set,
                          struct ggw_fine_timer *timer, ggw_ms due,
                          ggw_fine_timer_cb cb);
void ggw_fine_timer_stop(struct ggw_fine_timers *set,
                         struct ggw_fine_timer *timer);

#endif
