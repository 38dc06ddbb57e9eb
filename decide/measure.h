#ifndef GGW_DECIDE_MEASURE_H
#define GGW_DECIDE_MEASURE_H

#include <stdbool.h>
#include <stddef.h>

#include "kernel/clock.h"

/*
 * When to probe backend servers, and which (design 5.8). The budget counts
 * slot time: a probe that takes 1 ms costs 1 ms of one slot.
 */

/* A server that reported more recently is not probed. */
#define GGW_PROBE_SILENCE 1000.0

/**
 * struct ggw_probe_budget - token bucket in ms of slot time
 *
 * Spends at most its share of slot time in every window of 1 s or longer.
 * All fields are private to decide/measure.c.
 */
struct ggw_probe_budget {
    double share;
    int slots;
    double tokens;
    ggw_ms refilled;
};

/**
 * ggw_probe_budget_init() - make an empty bucket
 * @percent: share of slot time, from the service's measure_percent
 *
 * It starts empty, so that a change of owner grants no extra probes.
 */
void ggw_probe_budget_init(struct ggw_probe_budget *b, double percent,
                           ggw_ms now);

/**
 * ggw_probe_budget_set() - apply a changed share or number of slots
 * @slots: configured slots of the servers that this gateway owns now
 */
void ggw_probe_budget_set(struct ggw_probe_budget *b, double percent,
                          int slots, ggw_ms now);

/**
 * ggw_probe_budget_charge() - charge one probe before it is sent
 * @cost: most slot time in ms that it may take, which is its timeout; the
 *        rest returns with ggw_probe_budget_refund()
 *
 * Return: false when the budget does not allow it now.
 */
bool ggw_probe_budget_charge(struct ggw_probe_budget *b, ggw_ms cost,
                             ggw_ms now);

/**
 * ggw_probe_budget_refund() - correct the charge when the probe has ended
 * @cost: what was charged
 * @spent: time from sending the probe to its answer or its timeout
 *
 * Without this call the budget has paid for the whole timeout.
 */
void ggw_probe_budget_refund(struct ggw_probe_budget *b, ggw_ms cost,
                             ggw_ms spent);

/**
 * struct ggw_probe_candidate - a server that this gateway owns
 * @heard_at: last load report or last probe sent, whichever is later;
 *            -INFINITY for never
 * @pending: a probe is in flight
 */
struct ggw_probe_candidate {
    ggw_ms heard_at;
    bool pending;
};

/**
 * ggw_probe_pick() - the server to probe next
 *
 * Return: position of the server with the oldest report among those silent
 * for longer than GGW_PROBE_SILENCE, or (size_t)-1.
 */
size_t ggw_probe_pick(const struct ggw_probe_candidate *servers, size_t len,
                      ggw_ms now);

/**
 * ggw_probe_next() - when the next probe may become due
 *
 * Return: monotonic ms at which a server has been silent for long enough;
 * INFINITY without servers.
 */
ggw_ms ggw_probe_next(const struct ggw_probe_candidate *servers, size_t len);

#endif
