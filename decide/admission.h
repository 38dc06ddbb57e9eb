#ifndef GGW_DECIDE_ADMISSION_H
#define GGW_DECIDE_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"

/*
 * The short queue of one owner (design 5.11). Strict priority, first come
 * first served within a priority. Nothing ages: a request of low priority
 * waits at most until its deadline and is refused then. Requests that can
 * still meet their target come before all others: under overload the server
 * time goes to responses that are in time, instead of to a queue in which
 * every request becomes late.
 */

/* Lower priorities than the last class share it. */
#define GGW_ADMISSION_CLASSES 8

struct ggw_admission;

/**
 * struct ggw_waiter - a request in the queue
 * @id: unique within the queue
 * @priority: 0 is the highest
 * @deadline: monotonic ms; must start before
 * @useful: until when a start brings the response within its target,
 *          monotonic ms; 0: no target. Later the waiter comes behind all that
 *          can still meet theirs.
 * @data: of the caller
 */
struct ggw_waiter {
    uint64_t id;
    int priority;
    ggw_ms deadline;
    ggw_ms useful;
    void *data;
};

enum ggw_admission_result {
    GGW_ADMISSION_QUEUED,
    GGW_ADMISSION_DISPLACED, /* queued, and another one was displaced */
    GGW_ADMISSION_FULL,      /* not queued */
    GGW_ADMISSION_TOO_LATE,  /* not queued: could not start in time */
};

/*
 * Waiters that will miss their target are kept up to this part of the slots:
 * enough to use a slot that falls free, few enough to be served before their
 * deadline.
 */
#define GGW_ADMISSION_LATE_PART 0.25

/**
 * ggw_admission_new() - make an empty queue
 * @max: most waiters; 0 refuses every push
 */
struct ggw_admission *ggw_admission_new(size_t max);

/**
 * ggw_admission_free() - free a queue; the waiters' data stays the caller's
 */
void ggw_admission_free(struct ggw_admission *a);

/**
 * ggw_admission_set_max() - change the bound; waiters above it stay queued
 */
void ggw_admission_set_max(struct ggw_admission *a, size_t max);

/**
 * ggw_admission_set_slots() - sum of the limits that serve this queue
 *
 * 0 makes every push too late, since nothing can start.
 */
void ggw_admission_set_slots(struct ggw_admission *a, int slots);

/**
 * ggw_admission_add_hold_time() - tell how long an attempt held its slot
 *
 * Feeds the estimate of the wait; without it no push is too late before its
 * deadline has passed.
 */
void ggw_admission_add_hold_time(struct ggw_admission *a, ggw_ms held);

/**
 * ggw_admission_push() - queue a request that found no free slot
 * @displaced: with GGW_ADMISSION_DISPLACED, the newest waiter of the lowest
 *             priority, which is no longer queued and must be refused
 *
 * O(log n). @waiter->id must not be queued already.
 */
enum ggw_admission_result ggw_admission_push(struct ggw_admission *a,
                                             const struct ggw_waiter *waiter,
                                             ggw_ms now,
                                             struct ggw_waiter *displaced);

/**
 * ggw_admission_pop() - take the next waiter for a slot that is free
 *
 * O(log n). Call ggw_admission_expire() first; waiters past their deadline
 * are never returned and stay for it.
 *
 * Return: false when no waiter can start.
 */
bool ggw_admission_pop(struct ggw_admission *a, ggw_ms now,
                       struct ggw_waiter *waiter);

/**
 * ggw_admission_expire() - take one waiter whose deadline has passed
 *
 * O(log n). Call it until it returns false and refuse each one as too late.
 */
bool ggw_admission_expire(struct ggw_admission *a, ggw_ms now,
                          struct ggw_waiter *waiter);

/**
 * ggw_admission_cancel() - take out a request that was cancelled
 *
 * O(log n). Return: false when no such request is queued.
 */
bool ggw_admission_cancel(struct ggw_admission *a, uint64_t id,
                          struct ggw_waiter *waiter);

size_t ggw_admission_len(const struct ggw_admission *a);

/**
 * ggw_admission_next_deadline() - earliest deadline in the queue
 *
 * Return: monotonic ms, INFINITY for an empty queue.
 */
ggw_ms ggw_admission_next_deadline(const struct ggw_admission *a);

/**
 * ggw_admission_wait() - estimated wait of a request pushed now
 *
 * Return: ms; 0 while the hold time is not known, INFINITY without slots.
 */
ggw_ms ggw_admission_wait(const struct ggw_admission *a, int priority);

/**
 * ggw_admission_retry_after() - delay to tell a refused client
 * @random: uniform in [0, 1); spreads the clients that were refused together
 *
 * Return: ms between GGW_RETRY_AFTER_MIN and GGW_RETRY_AFTER_MAX.
 */
ggw_ms ggw_admission_retry_after(const struct ggw_admission *a, int priority,
                                 double random);

#define GGW_RETRY_AFTER_MIN 100.0
#define GGW_RETRY_AFTER_MAX 10000.0

#endif
