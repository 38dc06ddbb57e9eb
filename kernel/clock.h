#ifndef GGW_KERNEL_CLOCK_H
#define GGW_KERNEL_CLOCK_H

/* Milliseconds with a fraction; the only unit of time in the project. */
typedef double ggw_ms;

struct ggw_clock;

/**
 * struct ggw_clock_ops - source of time
 * @monotonic: milliseconds from an arbitrary start; never goes back
 * @wall: milliseconds since the Unix epoch
 */
struct ggw_clock_ops {
    ggw_ms (*monotonic)(const struct ggw_clock *clock);
    ggw_ms (*wall)(const struct ggw_clock *clock);
};

/**
 * struct ggw_clock - a clock
 * @ops: source of time
 * @manual_now: time that a manual clock reports; unused by the system clock
 */
struct ggw_clock {
    const struct ggw_clock_ops *ops;
    ggw_ms manual_now;
};

/**
 * ggw_clock_system() - the clock of the operating system
 */
const struct ggw_clock *ggw_clock_system(void);

/**
 * ggw_clock_manual_init() - make a clock that only moves when told to
 * @clock: clock to initialise; tests advance @clock->manual_now
 * @now: first reading in ms, for both the monotonic and the wall time
 */
void ggw_clock_manual_init(struct ggw_clock *clock, ggw_ms now);

ggw_ms ggw_clock_now(const struct ggw_clock *clock);
ggw_ms ggw_clock_wall(const struct ggw_clock *clock);

#endif
