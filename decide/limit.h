#ifndef GGW_DECIDE_LIMIT_H
#define GGW_DECIDE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"
#include "slots/slots.h"

/**
 * DOC: Concurrency limit of one backend server (design 5.2)
 *
 * Computes how many requests a server may run concurrently from the results of
 * its attempts and its load reports. The code does no I/O; the caller passes
 * in the time and the observations.
 */

/**
 * enum ggw_limit_state - state of a server
 * @GGW_LIMIT_COLD: runs cold_limit requests concurrently
 * @GGW_LIMIT_WARMING: the limit doubles after a number of successful attempts
 *                     or a time without a cold report
 * @GGW_LIMIT_WARM: runs requests in all its slots and queues those beyond
 * @GGW_LIMIT_EJECTED: gets only one trial request at a time, at intervals
 */
enum ggw_limit_state {
    GGW_LIMIT_COLD,
    GGW_LIMIT_WARMING,
    GGW_LIMIT_WARM,
    GGW_LIMIT_EJECTED,
};

/**
 * struct ggw_limit_rule - settings of the service that determine the limit
 * @slots: requests that a warm server runs concurrently
 * @cold_limit: requests that a cold server may run concurrently
 * @cold_time: duration of a cold start, ms; the limit doubles after a quarter
 *             of it without a cold report
 * @ahead: requests sent to a warm server beyond its slots, so that no slot is
 *         idle between a response and the next request. They wait in the
 *         server, which needs a queue of that length; docs/routing.md has the
 *         measurements. 0 for a server that sheds requests above its slots.
 * @cold_rate: requests per second to a cold server; 0: not limited
 * @max_trial_interval: longest interval between trials of an ejected server,
 *                      ms; 0: 10 s
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
 * struct ggw_limit_sample - result of one attempt
 * @result: how the attempt ended
 * @started: time of the grant, monotonic ms; results of attempts that started
 *           before the last change of state or limit neither warm the server
 *           up nor end a trial
 * @latency: time until the response, ms; for GGW_ATTEMPT_CANCELLED the time
 *           until the cancellation, which is a lower bound
 * @median: median latency of the service, ms; 0: not known
 * @no_eject_on_error: 5xx responses make the server cold instead of ejecting
 *                     it; see ggw_limit_ejection_cap_reached()
 */
struct ggw_limit_sample {
    enum ggw_attempt_result result;
    ggw_ms started;
    ggw_ms latency;
    ggw_ms median;
    bool no_eject_on_error;
};

/**
 * struct ggw_limit - state and concurrency limit of one server
 * @state: state of the server
 * @limit: requests that the server may run concurrently when not draining
 * @rule: settings of the service
 * @since: last change of state or limit, monotonic ms
 * @cold_at: last load report of a cold server, or @since, monotonic ms
 * @silent_at: last silent connection, monotonic ms
 * @trial_at: earliest time of the next trial, monotonic ms
 * @trial_wait: last interval between trials, ms; 0: none since the server was
 *              last warm or restarted
 * @incarnation: incarnation of the server's process; 0: not known
 * @successes: successful attempts since the last change
 * @failures: consecutive failed attempts
 * @slow: consecutive slow responses
 * @silent: consecutive silent connections that do not count as failures yet
 * @trial: a trial request is in flight
 * @cold_reported: the last load report said that the server is cold
 * @drain_reported: the last load report said that the server is draining
 * @drain_set: the server is leaving, or an operator drains it
 * @unproven: no successful attempt has started since the server's pause
 * @cold_until: reported end of the cold start, monotonic ms; 0: not known
 * @started_at: start of the last request, monotonic ms
 *
 * Only the functions below may write the members.
 */
struct ggw_limit {
    enum ggw_limit_state state;
    int limit;
    struct ggw_limit_rule rule;
    ggw_ms since;
    ggw_ms cold_at;
    ggw_ms silent_at;
    ggw_ms trial_at;
    ggw_ms trial_wait;
    uint64_t incarnation;
    int successes;
    int failures;
    int slow;
    int silent;
    bool trial;
    bool cold_reported;
    bool drain_reported;
    bool drain_set;
    bool unproven;
    ggw_ms cold_until;
    ggw_ms started_at;
};

/**
 * ggw_limit_init() - initialise the limit of a newly known server
 * @rule: settings of the service, which are copied
 * @cold: false if the server is known to have run for longer than cold_time,
 *        or if another owner has announced it as warm
 * @now: monotonic ms
 */
void ggw_limit_init(struct ggw_limit *l, const struct ggw_limit_rule *rule,
                    bool cold, ggw_ms now);

/**
 * ggw_limit_set_rule() - apply changed settings
 *
 * The limit of a warm server changes at once.
 */
void ggw_limit_set_rule(struct ggw_limit *l, const struct ggw_limit_rule *rule,
                        ggw_ms now);

/**
 * ggw_limit_slots() - number of requests that the server may run concurrently
 *
 * Return: 0 while the server is draining or ejected.
 */
int ggw_limit_slots(const struct ggw_limit *l);

/**
 * ggw_limit_may_start() - check whether one more request may be sent
 * @in_flight: number of requests that the server runs now
 *
 * The trial of an ejected server may start whatever @in_flight is, because
 * requests that hang on the server must not prevent it. Callers should not use
 * an order as the trial if another request waits.
 */
bool ggw_limit_may_start(const struct ggw_limit *l, int in_flight, ggw_ms now);

/**
 * ggw_limit_started() - record the start of a request
 *
 * Call it for each request that ggw_limit_may_start() permitted, before the
 * next call of that function. If a trial of an ejected server is due, the
 * request becomes the trial.
 */
void ggw_limit_started(struct ggw_limit *l, ggw_ms now);

/**
 * ggw_limit_result() - apply the result of an attempt
 *
 * If the release of a grant is lost, the caller passes GGW_ATTEMPT_CANCELLED
 * when the grant expires.
 */
void ggw_limit_result(struct ggw_limit *l,
                      const struct ggw_limit_sample *sample, ggw_ms now);

/**
 * ggw_limit_report() - apply a load report of a response or a probe
 *
 * Call it before ggw_limit_result() for the same attempt. A report of an older
 * incarnation is ignored.
 */
void ggw_limit_report(struct ggw_limit *l,
                      const struct ggw_load_report *report, ggw_ms now);

/**
 * ggw_limit_set_incarnation() - apply the incarnation from the VM list
 * @incarnation: a higher one than the known one makes the server cold; a lower
 *               one and 0 are ignored
 */
void ggw_limit_set_incarnation(struct ggw_limit *l, uint64_t incarnation,
                               ggw_ms now);

/**
 * ggw_limit_set_cold_until() - apply the reported end of a cold start
 * @until: monotonic ms; a time that has passed makes a cold server warm
 */
void ggw_limit_set_cold_until(struct ggw_limit *l, ggw_ms until, ggw_ms now);

/**
 * ggw_limit_next_start() - earliest time of the next request to a cold server
 *
 * Return: monotonic ms; 0 if no cold rate applies.
 */
ggw_ms ggw_limit_next_start(const struct ggw_limit *l);

/**
 * ggw_limit_set_draining() - start or stop draining the server
 * @draining: an operator drains the server, or the VM list says that it leaves
 */
void ggw_limit_set_draining(struct ggw_limit *l, bool draining);

/**
 * ggw_limit_set_cold() - make the server cold and forget its failures
 *
 * Called for each server of a failure domain that returns to service.
 */
void ggw_limit_set_cold(struct ggw_limit *l, ggw_ms now);

/**
 * ggw_limit_end_pause() - make the server cold after a pause that it asked for
 *
 * Until an attempt that started since has succeeded, load reports do not end
 * the cold state: they do not show that the server takes requests again.
 */
void ggw_limit_end_pause(struct ggw_limit *l, ggw_ms now);

/**
 * ggw_limit_next_trial() - time at which a trial of the server becomes due
 *
 * Return: monotonic ms; INFINITY if the server is not ejected, is draining or
 * runs a trial already.
 */
ggw_ms ggw_limit_next_trial(const struct ggw_limit *l);

/**
 * ggw_limit_ejection_cap_reached() - check whether 5xx responses may eject no
 *                                    further server
 * @servers: number of servers of the service that take requests
 * @ejected: number of them that are ejected
 *
 * Requests that fail on every server must not eject all servers of the
 * service. 5xx responses eject at most half of the servers, but always may
 * eject one.
 */
bool ggw_limit_ejection_cap_reached(int servers, int ejected);

/**
 * ggw_limit_hold_time() - time for which an attempt counts as in flight
 * @result: how the attempt ended
 * @latency: time from sending the request to the end of the response head, or
 *           to the end of the attempt if no head arrived, ms
 * @p90: 90th percentile of the service's latency, ms; 0: not known
 *
 * A failed attempt counts as in flight for @p90, so that a server that fails
 * fast does not look idle.
 *
 * Return: ms from the start of the attempt, at least @latency.
 */
ggw_ms ggw_limit_hold_time(enum ggw_attempt_result result, ggw_ms latency,
                           ggw_ms p90);

/**
 * ggw_attempt_timeout_result() - result of an attempt that timed out
 * @latency: time that the server had for the response, ms
 * @median: median latency of requests of this kind, ms; 0: not known
 *
 * A timeout of a request that was sent shortly before its deadline is no sign
 * of a faulty server. Under overload there are many of them.
 *
 * Return: GGW_ATTEMPT_SILENT, or GGW_ATTEMPT_CANCELLED if the server had too
 * little time.
 */
enum ggw_attempt_result ggw_attempt_timeout_result(ggw_ms latency,
                                                   ggw_ms median);

/**
 * ggw_attempt_failed() - check whether a result counts as a server failure
 *
 * Return: true for a 5xx response, a shed request, a refused and a broken
 * connection. A silent connection is handled by ggw_limit_result(), because a
 * single one is no sign of a faulty server.
 */
bool ggw_attempt_failed(enum ggw_attempt_result result);

#endif
