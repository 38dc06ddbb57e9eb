#ifndef GGW_KERNEL_CLOCK_H
#define GGW_KERNEL_CLOCK_H

/* A time or duration in milliseconds, with fractions. */
typedef double ggw_ms;

struct ggw_clock;

/**
 * struct ggw_clock_ops - operations of a time source
 * @monotonic: returns milliseconds since an arbitrary start; never decreases
 * @wall: returns milliseconds since the Unix epoch
 */
struct ggw_clock_ops {
    ggw_ms (*monotonic)(const struct ggw_clock *clock);
    ggw_ms (*wall)(const struct ggw_clock *clock);
};

/**
 * struct ggw_clock - source of monotonic and wall-clock time
 * @ops: operations of the system clock or of a manual clock
 * @manual_now: time in ms that a manual clock returns; the system clock does
 *              not use it
 */
struct ggw_clock {
    const struct ggw_clock_ops *ops;
    ggw_ms manual_now;
};

/**
 * ggw_clock_system() - get the clock of the operating system
 *
 * Return: a static clock that reads CLOCK_MONOTONIC and CLOCK_REALTIME.
 */
const struct ggw_clock *ggw_clock_system(void);

/**
 * ggw_clock_manual_init() - initialise a clock that the caller advances
 * @clock: clock to initialise; the caller advances @clock->manual_now
 * @now: initial monotonic and wall-clock time in ms
 */
void ggw_clock_manual_init(struct ggw_clock *clock, ggw_ms now);

/**
 * ggw_clock_now() - read the monotonic time in ms
 */
ggw_ms ggw_clock_now(const struct ggw_clock *clock);

/**
 * ggw_clock_wall() - read the wall-clock time in ms since the Unix epoch
 */
ggw_ms ggw_clock_wall(const struct ggw_clock *clock);

#endif
