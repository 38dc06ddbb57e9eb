#ifndef GGW_DECIDE_MEASURE_H
#define GGW_DECIDE_MEASURE_H

#include <stdbool.h>
#include <stddef.h>

#include "kernel/clock.h"

/**
 * DOC: Scheduling of probes to backend servers (design 5.8)
 *
 * Decides when to probe a server, and which one. The budget is slot time: a
 * probe that takes 1 ms costs 1 ms of one slot.
 */

/* A server is probed only after sending no report for this long, in ms. */
#define GGW_PROBE_SILENCE 1000.0

/**
 * struct ggw_probe_budget - token bucket in ms of slot time
 *
 * In every window of 1 s or longer, probes take at most the given share of
 * slot time.
 * All fields are private to decide/measure.c.
 */
struct ggw_probe_budget {
    double share;    /* part of slot time that probes may take, 0 to 1 */
    int slots;       /* configured slots of the owned servers */
    double tokens;   /* ms of slot time; negative after an overdraft */
    ggw_ms refilled; /* time of the last refill */
};

/**
 * ggw_probe_budget_init() - initialize an empty bucket without slots
 * @percent: percentage of slot time, the service's setting measure_percent
 * @now: monotonic ms
 *
 * The bucket starts empty so that a change of owner grants no extra probes.
 */
void ggw_probe_budget_init(struct ggw_probe_budget *b, double percent,
                           ggw_ms now);

/**
 * ggw_probe_budget_set() - change the share or the number of slots
 * @percent: as in ggw_probe_budget_init()
 * @slots: configured slots of the servers that this gateway owns now
 * @now: monotonic ms
 */
void ggw_probe_budget_set(struct ggw_probe_budget *b, double percent,
                          int slots, ggw_ms now);

/**
 * ggw_probe_budget_charge() - charge the budget for a probe before it is sent
 * @cost: slot time that the probe is expected to take, ms;
 *        ggw_probe_budget_refund() corrects the charge afterwards
 * @now: monotonic ms
 *
 * Return: false if the budget does not allow the probe now.
 */
bool ggw_probe_budget_charge(struct ggw_probe_budget *b, ggw_ms cost,
                             ggw_ms now);

/**
 * ggw_probe_budget_refund() - correct a charge after the probe
 * @cost: slot time charged with ggw_probe_budget_charge(), ms
 * @spent: time from sending the probe to its answer or timeout, ms
 *
 * Refunds @cost and charges @spent, which may be more. Without this call the
 * probe stays charged with @cost.
 */
void ggw_probe_budget_refund(struct ggw_probe_budget *b, ggw_ms cost,
                             ggw_ms spent);

/**
 * struct ggw_probe_candidate - server that this gateway owns
 * @heard_at: time of the last load report or the last probe sent, whichever is
 *            later, monotonic ms; -INFINITY for neither
 * @pending: a probe of the server is in flight
 */
struct ggw_probe_candidate {
    ggw_ms heard_at;
    bool pending;
};

/**
 * ggw_probe_pick() - pick the server to probe next
 * @now: monotonic ms
 *
 * Return: index of the server with the oldest @heard_at among those silent for
 * longer than GGW_PROBE_SILENCE, or (size_t)-1 if there is none.
 */
size_t ggw_probe_pick(const struct ggw_probe_candidate *servers, size_t len,
                      ggw_ms now);

/**
 * ggw_probe_due_at() - get the earliest time at which a probe becomes due
 *
 * Return: monotonic ms at which the first server will have been silent for
 * GGW_PROBE_SILENCE; INFINITY if every server has a probe in flight.
 */
ggw_ms ggw_probe_due_at(const struct ggw_probe_candidate *servers, size_t len);

/**
 * ggw_probe_max_wait() - get how long a placement may wait for load reports
 * @answer_time: time that the gateway of the request waits for an answer, ms;
 *               INFINITY if it does not give up
 *
 * The settings of that gateway may differ from those of the owner, so the
 * owner cannot derive @answer_time from its own settings. A gateway that waits
 * only for a short time does not know that the owner probes.
 *
 * Return: time in ms; 0 to place the request without probes.
 */
ggw_ms ggw_probe_max_wait(ggw_ms answer_time);

#endif
