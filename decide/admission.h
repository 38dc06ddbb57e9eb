#ifndef GGW_DECIDE_ADMISSION_H
#define GGW_DECIDE_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"

/**
 * DOC: Bounded queue of the requests that wait for a slot (design 5.11)
 *
 * The queue has strict priorities. Within a priority, customers take turns by
 * the slot time that they use (decide/fair_share.h); the requests of one
 * customer, and all requests if none has a customer, are served first come,
 * first served. If the queue is full, a request of low priority gives way, or
 * else one of the customer with the longest queue. Waiting does not raise a
 * priority: a request of low priority waits at most until its deadline and is
 * refused then. Requests that can still meet their target come before all
 * others. Under overload, the servers then spend their time on responses that
 * are on time, instead of on a queue in which every request becomes late.
 */

/* Number of priorities; lower priorities are treated as the last one. */
#define GGW_ADMISSION_CLASSES 8

struct ggw_admission;

/**
 * struct ggw_waiter - a request in the queue
 * @id: unique within the queue
 * @priority: 0 is the highest
 * @deadline: the request must start before it, monotonic ms
 * @on_time_until: latest start with which the response meets its target,
 *                 monotonic ms; 0: no target. After it, the request comes
 *                 after all requests that can still meet their target.
 * @customer: name of the customer, or NULL; used during the push only
 * @customer_rate: requests per second that the settings allow the customer; 0:
 *                 not limited
 * @data: pointer for the caller
 */
struct ggw_waiter {
    uint64_t id;
    int priority;
    ggw_ms deadline;
    ggw_ms on_time_until;
    const char *customer;
    double customer_rate;
    void *data;
};

/**
 * enum ggw_admission_result - result of ggw_admission_push()
 * @GGW_ADMISSION_QUEUED: the request is queued
 * @GGW_ADMISSION_DISPLACED: the request is queued in place of another one
 * @GGW_ADMISSION_FULL: not queued, because the queue is full
 * @GGW_ADMISSION_TOO_LATE: not queued, because the request could not start in
 *                          time
 */
enum ggw_admission_result {
    GGW_ADMISSION_QUEUED,
    GGW_ADMISSION_DISPLACED,
    GGW_ADMISSION_FULL,
    GGW_ADMISSION_TOO_LATE,
};

/*
 * Maximum number of queued requests that will miss their target, as a fraction
 * of the slots: enough to use a slot that becomes free, and few enough to be
 * served before their deadline.
 */
#define GGW_ADMISSION_LATE_FRACTION 0.25

/**
 * ggw_admission_new() - create an empty queue
 * @max: maximum number of queued requests; 0 refuses every push
 *
 * Return: queue; free with ggw_admission_free().
 */
struct ggw_admission *ggw_admission_new(size_t max);

/**
 * ggw_admission_free() - free a queue
 * @a: queue, or NULL
 *
 * Does not free the data of the requests that are still queued.
 */
void ggw_admission_free(struct ggw_admission *a);

/**
 * ggw_admission_set_max() - change the maximum number of queued requests
 *
 * Requests that are queued already stay queued.
 */
void ggw_admission_set_max(struct ggw_admission *a, size_t max);

/**
 * ggw_admission_set_slots() - set the number of slots that serve the queue
 * @slots: sum of the limits of all servers; with 0 every push is too late,
 *         because no request can start
 */
void ggw_admission_set_slots(struct ggw_admission *a, int slots);

/**
 * ggw_admission_add_hold_time() - add the hold time of a slot to the moving
 *                                 average
 * @held: time for which an attempt held its slot, ms
 *
 * The average determines the estimated wait. Until the first call, the wait is
 * estimated as 0 and a push is too late only after its deadline.
 */
void ggw_admission_add_hold_time(struct ggw_admission *a, ggw_ms held);

/**
 * ggw_admission_add_customer_hold_time() - the same for one customer
 * @customer: name, or NULL
 *
 * The average determines what a request of the customer is charged.
 */
void ggw_admission_add_customer_hold_time(struct ggw_admission *a,
                                          const char *customer, ggw_ms held);

/**
 * ggw_admission_push() - queue a request that found no free slot
 * @waiter: request, which is copied; its id must not be queued already
 * @now: monotonic ms
 * @displaced: with GGW_ADMISSION_DISPLACED, filled with the newest request of
 *             the lowest priority, which is no longer queued and must be
 *             refused; if several customers have requests of that priority,
 *             with that of the customer with the longest queue for its weight
 *
 * Takes O(log n + number of customers that wait), and O(n) if the queue is
 * full.
 */
enum ggw_admission_result ggw_admission_push(struct ggw_admission *a,
                                             const struct ggw_waiter *waiter,
                                             ggw_ms now,
                                             struct ggw_waiter *displaced);

/**
 * ggw_admission_pop() - remove the next request for a free slot
 * @now: monotonic ms
 * @waiter: filled with the request
 *
 * Takes O(n), because it checks the targets of the queued requests and whose
 * turn it is. Call
 * ggw_admission_expire() first: requests past their deadline are never
 * returned here and stay queued.
 *
 * Return: false if no request can start.
 */
bool ggw_admission_pop(struct ggw_admission *a, ggw_ms now,
                       struct ggw_waiter *waiter);

/**
 * ggw_admission_expire() - remove one request whose deadline has passed
 * @now: monotonic ms
 * @waiter: filled with the request
 *
 * Takes O(log n). Call it until it returns false, and refuse each request as
 * too late.
 *
 * Return: false if no deadline has passed.
 */
bool ggw_admission_expire(struct ggw_admission *a, ggw_ms now,
                          struct ggw_waiter *waiter);

/**
 * ggw_admission_cancel() - remove a cancelled request
 * @id: identifier of the request
 * @waiter: filled with the request
 *
 * Takes O(log n).
 *
 * Return: false if no such request is queued.
 */
bool ggw_admission_cancel(struct ggw_admission *a, uint64_t id,
                          struct ggw_waiter *waiter);

/**
 * ggw_admission_len() - number of queued requests
 */
size_t ggw_admission_len(const struct ggw_admission *a);

/**
 * ggw_admission_next_deadline() - earliest deadline in the queue
 *
 * Return: monotonic ms, INFINITY for an empty queue.
 */
ggw_ms ggw_admission_next_deadline(const struct ggw_admission *a);

/**
 * ggw_admission_wait() - estimate the wait of a request pushed now
 *
 * Return: ms; 0 while the hold time is not known, INFINITY without slots.
 */
ggw_ms ggw_admission_wait(const struct ggw_admission *a, int priority);

/**
 * ggw_admission_retry_after() - delay before a refused client should retry
 * @priority: priority of the refused request
 * @random: uniform in [0, 1); spreads the retries of clients that were refused
 *          at the same time
 *
 * Return: ms from GGW_RETRY_AFTER_MIN to GGW_RETRY_AFTER_MAX.
 */
ggw_ms ggw_admission_retry_after(const struct ggw_admission *a, int priority,
                                 double random);

/* Bounds of ggw_admission_retry_after(), ms. */
#define GGW_RETRY_AFTER_MIN 100.0
#define GGW_RETRY_AFTER_MAX 10000.0

#endif
