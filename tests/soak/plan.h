#ifndef GGW_SOAK_PLAN_H
#define GGW_SOAK_PLAN_H

#include <glib.h>
#include <stdbool.h>

#include "kernel/clock.h"

/*
 * Generates the faults and the maintenance operations of a run from its seed.
 * Does no I/O.
 */

enum soak_fault {
    /* planned maintenance */
    SOAK_CHANGE_CONFIG,
    SOAK_EVACUATE_ZONE,
    SOAK_STOP_GATEWAY,   /* SIGTERM */
    SOAK_RELOAD_GATEWAY, /* SIGHUP */
    SOAK_DRAIN_SERVER,
    /* unplanned faults */
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
    SOAK_TRUNCATE_RESPONSES,
    /* what servers say; not drawn with the others */
    SOAK_SERVER_LEAVES,
    SOAK_SERVER_PAUSES,
    /* what servers send; not drawn with the others */
    SOAK_UNFRAMED_RESPONSES,
    SOAK_REPEATED_RESPONSES,
    SOAK_ENDLESS_RESPONSES,
    SOAK_MALFORMED_RESPONSES,
    SOAK_REMOVE_ENTRY, /* of a server that leaves; not drawn with the others */
    /* the store takes a copy, and returns to it; not drawn with the others */
    SOAK_STORE_RETURNS,
    SOAK_FAULTS,
};

#define SOAK_FIRST_UNPLANNED SOAK_KILL_GATEWAY
#define SOAK_FIRST_SAID SOAK_SERVER_LEAVES
#define SOAK_FIRST_SENT SOAK_UNFRAMED_RESPONSES

/**
 * struct soak_step - one fault or maintenance operation of a plan
 * @at: when it begins, ms from the start of the traffic
 * @duration: how long it lasts, ms
 * @target: index of a gateway, server or zone
 * @variant: index into soak_link_faults or soak_store_faults
 */
struct soak_step {
    ggw_ms at;
    ggw_ms duration;
    enum soak_fault fault;
    int target;
    int variant;
};

/* Names for the verbose log, by enum soak_fault. */
extern const char *const soak_fault_names[SOAK_FAULTS];

/*
 * JSON of each variant: members of the object that the relay's control page
 * takes, and whole objects for the fault page of the store.
 */
#define SOAK_LINK_FAULTS 5
#define SOAK_STORE_FAULTS 5
#define SOAK_SILENT_LINK 1
#define SOAK_COMPACT 4
extern const char *const soak_link_faults[SOAK_LINK_FAULTS];
extern const char *const soak_store_faults[SOAK_STORE_FAULTS];

/*
 * Seeds from this one on have only series of changes of the configuration, of
 * servers that leave and of faults of one kind on one gateway after another.
 */
#define SOAK_FIRST_SERIES 100000

/* In seeds from this one on, the store also returns from an older copy. */
#define SOAK_FIRST_RETURN 200000

/* Variant of SOAK_CHANGE_CONFIG with many more routes. */
#define SOAK_LARGE_CONFIG SOAK_LINK_FAULTS

/**
 * soak_plan() - generate the steps of a seed
 * @span: time in which all of them begin and end, ms
 *
 * Seeds that are multiples of 3 have planned maintenance only.
 *
 * Return: new array of struct soak_step, sorted by time.
 */
GArray *soak_plan(guint32 seed, ggw_ms span);

#endif
