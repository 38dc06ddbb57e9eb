#ifndef GGW_DECIDE_LIMIT_H
#define GGW_DECIDE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"
#include "slots/slots.h"

/*
 * How many requests one backend server may run at a time, from the results
 * of its attempts and its load reports (design 5.2). Pure: time and
 * observations are arguments.
 */

enum ggw_limit_state {
    GGW_LIMIT_COLD,    /* cold_limit requests at a time */
    GGW_LIMIT_WARMING, /* the limit doubles with success */
    GGW_LIMIT_WARM,    /* all slots, and the requests sent ahead */
    GGW_LIMIT_EJECTED, /* nothing but one trial request at intervals */
};

/**
 * struct ggw_limit_rule - settings of the service that a limit needs
 * @slots: requests that a warm server runs at a time
 * @cold_limit: requests at a time for a cold server
 * @cold_time: a quarter of it without a cold report doubles the limit
 * @ahead: further requests for a warm server, to hide the time that a slot
 *         stays idle between a response and the next request. They wait in
 *         the server, so it needs a queue of that length; docs/routing.md has
 *         the figures. 0 for a server that sheds above its slots.
 * @max_trial_interval: longest interval between trials of an ejected server;
 * 0: 10 s
 * @cold_rate: requests a second for a cold server; 0: no such limit
 */
struct ggw_limit_rule {
    int slots;
    int cold_limit;
    ggw_ms cold_time;
    int ahead;
    double cold_rate;
    ggw_ms max_trial_interval;
};

/**
 * struct ggw_limit_sample - one attempt that has ended
 * @result: how it ended
 * @started: when the grant was given, monotonic ms; results of attempts that
 *           started before the last change of state neither warm the server
 *           up nor count as the result of a trial
 * @latency: time to the answer, or for GGW_ATTEMPT_CANCELLED the time until
 *           it was cancelled, which is a lower bound
 * @median: the service's median latency; 0 when not known yet
 * @keep: true turns an ejection for answers of 5xx into a fall to cold; see
 *        ggw_limit_keep()
 */
struct ggw_limit_sample {
    enum ggw_attempt_result result;
    ggw_ms started;
    ggw_ms latency;
    ggw_ms median;
    bool keep;
};

/**
 * struct ggw_limit - limit of one server
 * @state: read-only for callers
 *
 * The other fields are private to decide/limit.c.
 */
struct ggw_limit {
    enum ggw_limit_state state;
    int limit;
    struct ggw_limit_rule rule;
    ggw_ms since;         /* last change of state or limit */
    ggw_ms cold_at;       /* last report that said cold, or since */
    ggw_ms silent_at;     /* last silent connection */
    ggw_ms trial_at;      /* earliest time of the next trial */
    ggw_ms trial_wait;    /* last interval; 0 since the server was warm */
    uint64_t incarnation; /* 0: not known */
    int successes;        /* since the last change */
    int failures;         /* consecutive */
    int slow;             /* consecutive */
    int silent;           /* consecutive and not counted as failures yet */
    bool trial;           /* a trial request is in flight */
    bool cold_reported;   /* last report said cold */
    bool drain_reported;  /* last report said draining */
    bool drain_set;       /* drained by an operator or leaving */
    ggw_ms cold_until;    /* stated end of a cold start; 0: not known */
    ggw_ms started_at;    /* last request */
};

/**
 * ggw_limit_init() - start with a server that was just learned of
 * @cold: false when the server is known to have run for longer than
 *        cold_time, or when other owners have had it warm
 */
void ggw_limit_init(struct ggw_limit *l, const struct ggw_limit_rule *rule,
                    bool cold, ggw_ms now);

/**
 * ggw_limit_set_rule() - apply changed settings
 *
 * A warm server has the new limit at once.
 */
void ggw_limit_set_rule(struct ggw_limit *l, const struct ggw_limit_rule *rule,
                        ggw_ms now);

/**
 * ggw_limit_slots() - requests that the server may run at a time
 *
 * Return: 0 while it is draining or ejected.
 */
int ggw_limit_slots(const struct ggw_limit *l);

/**
 * ggw_limit_may_start() - whether one more request may be sent
 * @in_flight: requests that the server runs now
 *
 * True also for the trial of an ejected server, whatever @in_flight is: the
 * requests that hang there must not prevent it. Callers should not use an
 * order as the trial when another request waits.
 */
bool ggw_limit_may_start(const struct ggw_limit *l, int in_flight, ggw_ms now);

/**
 * ggw_limit_started() - tell that a request was granted
 *
 * Must follow ggw_limit_may_start() before the next question; takes the
 * trial of an ejected server.
 */
void ggw_limit_started(struct ggw_limit *l, ggw_ms now);

/**
 * ggw_limit_result() - tell how an attempt ended
 *
 * A grant whose release got lost counts as GGW_ATTEMPT_CANCELLED at its
 * deadline.
 */
void ggw_limit_result(struct ggw_limit *l,
                      const struct ggw_limit_sample *sample, ggw_ms now);

/**
 * ggw_limit_report() - apply a load report of a response or a probe
 *
 * Call it before ggw_limit_result() of the same attempt. A report of an older
 * incarnation is ignored.
 */
void ggw_limit_report(struct ggw_limit *l,
                      const struct ggw_load_report *report, ggw_ms now);

/**
 * ggw_limit_incarnation() - apply the incarnation from the list of VMs
 *
 * A higher one than known makes the server cold; 0 and lower are ignored.
 */
void ggw_limit_incarnation(struct ggw_limit *l, uint64_t incarnation,
                           ggw_ms now);

/**
 * ggw_limit_cold_until() - apply a stated end of a cold start
 * @until: monotonic ms; a time that has passed makes a cold server warm
 */
void ggw_limit_cold_until(struct ggw_limit *l, ggw_ms until, ggw_ms now);

/**
 * ggw_limit_next_start() - when a cold server may start the next request
 *
 * Return: monotonic ms, 0 when the rate does not matter.
 */
ggw_ms ggw_limit_next_start(const struct ggw_limit *l);

/**
 * ggw_limit_set_draining() - drain on behalf of an operator or the VM list
 */
void ggw_limit_set_draining(struct ggw_limit *l, bool draining);

/**
 * ggw_limit_set_cold() - make the server cold
 *
 * For every server of a failure domain that returns to service.
 */
void ggw_limit_set_cold(struct ggw_limit *l, ggw_ms now);

/**
 * ggw_limit_next_trial() - when a trial of an ejected server becomes due
 *
 * Return: monotonic ms; INFINITY when no trial is to be expected.
 */
ggw_ms ggw_limit_next_trial(const struct ggw_limit *l);

/**
 * ggw_limit_keep() - whether 5xx answers may eject no further server
 * @servers: servers of the service that could take work
 * @ejected: how many of them are ejected
 *
 * Requests that fail on every server must not remove the whole service, so at
 * most half of the servers, and at least one, are ejected for 5xx answers.
 */
bool ggw_limit_keep(int servers, int ejected);

/**
 * ggw_limit_hold_time() - how long a finished attempt still counts as in
 *                         flight
 * @latency: time it took
 * @p90: the service's p90; 0 when not known yet
 *
 * A failed attempt counts for the service's p90, so that a server that fails
 * fast does not look idle.
 *
 * Return: time from the start of the attempt, at least @latency.
 */
ggw_ms ggw_limit_hold_time(enum ggw_attempt_result result, ggw_ms latency,
                           ggw_ms p90);

/**
 * ggw_attempt_timeout_result() - result of an attempt that its deadline ended
 * @latency: how long the server had
 * @median: usual latency; 0 when not known yet
 *
 * A request that was sent with little time left says nothing against the
 * server: under overload there are many.
 */
enum ggw_attempt_result ggw_attempt_timeout_result(ggw_ms latency,
                                                   ggw_ms median);

/**
 * ggw_attempt_failed() - whether a result speaks against the server
 *
 * True for 5xx, shed, refused and broken. A silent connection is judged by
 * ggw_limit_result() alone, because one of them says nothing of the server.
 */
bool ggw_attempt_failed(enum ggw_attempt_result result);

#endif
