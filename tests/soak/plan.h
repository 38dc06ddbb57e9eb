#ifndef GGW_SOAK_PLAN_H
#define GGW_SOAK_PLAN_H

#include <glib.h>
#include <stdbool.h>

#include "kernel/clock.h"

/* Which faults and which planned work a seed stands for. Pure. */

enum soak_fault {
    /* planned work */
    SOAK_CHANGE_CONFIG,
    SOAK_TAKE_ZONE_OUT,
    SOAK_STOP_GATEWAY,   /* SIGTERM */
    SOAK_RELOAD_GATEWAY, /* SIGHUP */
    SOAK_DRAIN_SERVER,
    /* unplanned */
    SOAK_KILL_GATEWAY,
    SOAK_KILL_ALL,
    SOAK_PAUSE_GATEWAY, /* SIGSTOP */
    SOAK_PEER_LINK,
    SOAK_FRONT_LINK,
    SOAK_STORE_LINK,
    SOAK_SERVER_LINK,
    SOAK_STORE_FAULT,
    SOAK_CRASH_SERVER,
    SOAK_SLOW_SERVER,
    SOAK_LOSE_RESPONSES,
    SOAK_SPOIL_RESPONSES,
    SOAK_FAULTS,
};

#define SOAK_FIRST_UNPLANNED SOAK_KILL_GATEWAY

/**
 * struct soak_step - one fault
 * @at: from the start of the traffic, ms
 * @length: how long it acts, ms
 * @target: number of a gateway, server or zone
 * @how: variant of faults of links and the store
 */
struct soak_step {
    ggw_ms at;
    ggw_ms length;
    enum soak_fault fault;
    int target;
    int how;
};

extern const char *const soak_fault_names[SOAK_FAULTS];

/* JSON of each variant, for the control page of the relay or the store. */
#define SOAK_LINK_FAULTS 5
#define SOAK_STORE_FAULTS 5
extern const char *const soak_link_faults[SOAK_LINK_FAULTS];
extern const char *const soak_store_faults[SOAK_STORE_FAULTS];

/**
 * soak_plan() - steps of a seed in order of time
 * @span: they all end before this time
 *
 * Every third seed has planned work only.
 *
 * Return: array of struct soak_step.
 */
GArray *soak_plan(guint32 seed, ggw_ms span);

#endif
