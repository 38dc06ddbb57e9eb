#include "kernel/clock.h"

#include <time.h>

static ggw_ms
read_clock_ms(clockid_t id)
{
    struct timespec ts;

    clock_gettime(id, &ts);
    return (ggw_ms)ts.tv_sec * 1e3 + (ggw_ms)ts.tv_nsec / 1e6;
}

static ggw_ms
system_monotonic(const struct ggw_clock *clock)
{
    return read_clock_ms(CLOCK_MONOTONIC);
}

static ggw_ms
system_wall(const struct ggw_clock *clock)
{
    return read_clock_ms(CLOCK_REALTIME);
}

static ggw_ms
manual_now(const struct ggw_clock *clock)
{
    return clock->manual_now;
}

static const struct ggw_clock_ops system_ops = {
    .monotonic = system_monotonic,
    .wall = system_wall,
};

static const struct ggw_clock_ops manual_ops = {
    .monotonic = manual_now,
    .wall = manual_now,
};

static const struct ggw_clock system_clock = {.ops = &system_ops};

const struct ggw_clock *
ggw_clock_system(void)
{
    return &system_clock;
}

void
ggw_clock_manual_init(struct ggw_clock *clock, ggw_ms now)
{
    clock->ops = &manual_ops;
    clock->manual_now = now;
}

ggw_ms
ggw_clock_now(const struct ggw_clock *clock)
{
    return clock->ops->monotonic(clock);
}

ggw_ms
ggw_clock_wall(const struct ggw_clock *clock)
{
    return clock->ops->wall(clock);
}
