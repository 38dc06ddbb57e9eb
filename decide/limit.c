#include "decide/limit.h"

#include <math.h>

/*
 * Thresholds of design 5.2. Together they detect a slow or failing server
 * within 5 requests.
 */
#define RAISE_SUCCESSES 20      /* successes that double the limit */
#define SLOW_RESPONSES 5        /* consecutive slow responses that halve it */
#define SLOW_FACTOR 4           /* slow: above this multiple of the median */
#define EJECT_FAILURES 3        /* consecutive failures that eject a server */
#define FIRST_TRIAL_DELAY 500.0 /* ms from the ejection to the first trial */
#define MAX_TRIAL_INTERVAL 10000.0 /* ms, longest interval between trials */

/*
 * Two silent connections within this time in ms count as failures of the
 * server (design 5.9).
 */
#define SILENT_WINDOW 5000.0

/*
 * An attempt that timed out counts as silent if the server had at least this
 * multiple of the median latency.
 */
#define SILENT_FACTOR 4

static void
set_state(struct ggw_limit *l, enum ggw_limit_state state, int limit,
          ggw_ms now)
{
    l->state = state;
    l->limit = limit;
    l->since = now;
    l->cold_at = now;
    l->successes = 0;
    l->slow = 0;
    l->trial = false;
    if (state == GGW_LIMIT_WARM) {
        l->trial_wait = 0;
    }
}

static void
enter_cold(struct ggw_limit *l, ggw_ms now)
{
    set_state(l, GGW_LIMIT_COLD, MIN(l->rule.cold_limit, l->rule.slots), now);
}

static void
enter_ejected(struct ggw_limit *l, ggw_ms now)
{
    ggw_ms max_interval = l->rule.max_trial_interval > 0
                              ? l->rule.max_trial_interval
                              : MAX_TRIAL_INTERVAL;

    set_state(l, GGW_LIMIT_EJECTED, 0, now);
    l->failures = 0;
    l->trial_wait = l->trial_wait > 0 ? MIN(2 * l->trial_wait, max_interval)
                                      : FIRST_TRIAL_DELAY;
    l->trial_at = now + l->trial_wait;
}

static void
enter_warm(struct ggw_limit *l, ggw_ms now)
{
    set_state(l, GGW_LIMIT_WARM, l->rule.slots + l->rule.ahead, now);
}

/* Forgets what is known of the previous process of the server. */
static void
restart(struct ggw_limit *l, ggw_ms now)
{
    l->failures = 0;
    l->silent = 0;
    l->silent_at = -INFINITY;
    l->drain_reported = false;
    l->unproven = false;
    l->trial_wait = 0;
    l->cold_until = 0;
    enter_cold(l, now);
}

void
ggw_limit_init(struct ggw_limit *l, const struct ggw_limit_rule *rule,
               bool cold, ggw_ms now)
{
    *l = (struct ggw_limit){.rule = *rule, .started_at = -INFINITY};
    restart(l, now);
    if (!cold) {
        enter_warm(l, now);
    }
}

void
ggw_limit_set_rule(struct ggw_limit *l, const struct ggw_limit_rule *rule,
                   ggw_ms now)
{
    l->rule = *rule;
    if (l->state == GGW_LIMIT_WARM) {
        l->limit = rule->slots + rule->ahead;
    }
    else if (l->state == GGW_LIMIT_COLD) {
        l->limit = MIN(rule->cold_limit, rule->slots);
    }
    else if (l->state == GGW_LIMIT_WARMING && l->limit >= rule->slots) {
        enter_warm(l, now);
    }
}

int
ggw_limit_slots(const struct ggw_limit *l)
{
    return l->drain_set || l->drain_reported ? 0 : l->limit;
}

ggw_ms
ggw_limit_next_trial(const struct ggw_limit *l)
{
    if (l->state != GGW_LIMIT_EJECTED || l->trial || l->drain_set ||
        l->drain_reported) {
        return INFINITY;
    }
    return l->trial_at;
}

ggw_ms
ggw_limit_next_start(const struct ggw_limit *l)
{
    if (l->state != GGW_LIMIT_COLD || l->rule.cold_rate <= 0) {
        return 0;
    }
    return l->started_at + 1e3 / l->rule.cold_rate;
}

bool
ggw_limit_may_start(const struct ggw_limit *l, int in_flight, ggw_ms now)
{
    if (now < ggw_limit_next_start(l)) {
        return false;
    }
    return in_flight < ggw_limit_slots(l) || now >= ggw_limit_next_trial(l);
}

void
ggw_limit_started(struct ggw_limit *l, ggw_ms now)
{
    l->started_at = now;
    if (now >= ggw_limit_next_trial(l)) {
        l->trial = true;
    }
}

enum ggw_attempt_result
ggw_attempt_timeout_result(ggw_ms latency, ggw_ms median)
{
    return latency < SILENT_FACTOR * median ? GGW_ATTEMPT_CANCELLED
                                            : GGW_ATTEMPT_SILENT;
}

bool
ggw_attempt_failed(enum ggw_attempt_result result)
{
    return result == GGW_ATTEMPT_ERROR || result == GGW_ATTEMPT_SHED ||
           result == GGW_ATTEMPT_REFUSED || result == GGW_ATTEMPT_BROKEN;
}

/*
 * Doubles the limit after RAISE_SUCCESSES successes, or with one success after
 * a quarter of the cold time without a cold report. Does nothing during a cold
 * start that the server has reported.
 */
static void
raise_limit(struct ggw_limit *l, ggw_ms now)
{
    int limit;

    if (l->state == GGW_LIMIT_WARM || l->cold_reported ||
        now < l->cold_until) {
        return;
    }
    l->successes++;
    if (l->successes < RAISE_SUCCESSES &&
        now - l->cold_at < l->rule.cold_time / 4) {
        return;
    }
    limit = 2 * l->limit;
    if (limit >= l->rule.slots) {
        enter_warm(l, now);
    }
    else {
        set_state(l, GGW_LIMIT_WARMING, limit, now);
    }
}

/*
 * Halves the limit after SLOW_RESPONSES consecutive slow responses. Successful
 * attempts raise it again.
 */
static void
check_latency(struct ggw_limit *l, const struct ggw_limit_sample *s,
              ggw_ms now)
{
    bool slow = s->median > 0 && s->latency > SLOW_FACTOR * s->median;

    if (!slow) {
        /* The latency of a cancelled attempt is only a lower bound. */
        l->slow = s->result == GGW_ATTEMPT_OK ? 0 : l->slow;
        return;
    }
    if (++l->slow < SLOW_RESPONSES) {
        return;
    }
    l->slow = 0;
    if (l->state != GGW_LIMIT_COLD && l->limit > 1) {
        set_state(l, GGW_LIMIT_WARMING, l->limit / 2, now);
    }
}

static void
count_failure(struct ggw_limit *l, const struct ggw_limit_sample *s, int count,
              ggw_ms now)
{
    l->failures += count;
    if (l->failures < EJECT_FAILURES) {
        return;
    }
    if (s->no_eject_on_error && s->result == GGW_ATTEMPT_ERROR) {
        l->failures = 0;
        enter_cold(l, now);
        return;
    }
    enter_ejected(l, now);
}

/*
 * A single silent connection is attributed to the connection, not to the
 * server. A silent connection is closed, so the next silent one is always a
 * different connection.
 */
static void
count_silent(struct ggw_limit *l, const struct ggw_limit_sample *s, ggw_ms now)
{
    bool pair = now - l->silent_at <= SILENT_WINDOW;
    int count = pair ? 1 + l->silent : 0;

    l->silent = pair ? 0 : 1;
    l->silent_at = now;
    count_failure(l, s, count, now);
}

static void
finish_trial(struct ggw_limit *l, const struct ggw_limit_sample *s, ggw_ms now)
{
    l->trial = false;
    switch (s->result) {
    case GGW_ATTEMPT_OK:
        /* The server may have restarted while it was ejected. */
        l->failures = 0;
        l->unproven = false;
        enter_cold(l, now);
        break;
    case GGW_ATTEMPT_UNUSED:
        break; /* the trial is still due */
    case GGW_ATTEMPT_CANCELLED:
        l->trial_at = now + l->trial_wait;
        break;
    default:
        enter_ejected(l, now);
        break;
    }
}

void
ggw_limit_result(struct ggw_limit *l, const struct ggw_limit_sample *s,
                 ggw_ms now)
{
    bool shed = s->result == GGW_ATTEMPT_SHED;

    /* A shed request shows that the limit is too high, even an old request. */
    if (shed &&
        (l->state == GGW_LIMIT_WARM || l->state == GGW_LIMIT_WARMING)) {
        l->failures++;
        enter_cold(l, now);
        return;
    }
    if (s->started < l->since) {
        return;
    }
    if (l->state == GGW_LIMIT_EJECTED) {
        if (l->trial) {
            finish_trial(l, s, now);
        }
        return;
    }
    if (s->result == GGW_ATTEMPT_OK) {
        l->failures = 0;
        l->silent = 0;
        l->unproven = false;
        check_latency(l, s, now);
        raise_limit(l, now);
    }
    else if (s->result == GGW_ATTEMPT_CANCELLED) {
        check_latency(l, s, now);
    }
    else if (s->result == GGW_ATTEMPT_SILENT) {
        count_silent(l, s, now);
    }
    else if (ggw_attempt_failed(s->result)) {
        count_failure(l, s, 1, now);
    }
}

void
ggw_limit_set_incarnation(struct ggw_limit *l, uint64_t incarnation,
                          ggw_ms now)
{
    if (incarnation <= l->incarnation) {
        return;
    }
    if (l->incarnation != 0) {
        restart(l, now);
    }
    l->incarnation = incarnation;
}

void
ggw_limit_report(struct ggw_limit *l, const struct ggw_load_report *report,
                 ggw_ms now)
{
    if (!report->present ||
        (report->incarnation != 0 && report->incarnation < l->incarnation)) {
        return;
    }
    ggw_limit_set_incarnation(l, report->incarnation, now);
    l->drain_reported = report->draining;
    if (report->cold_unknown) {
        return;
    }
    l->cold_reported = report->cold;
    if (!report->cold) {
        /* Servers with a cold rate report the end of their cold start. */
        if (!l->unproven && (l->cold_until > 0 || l->rule.cold_rate > 0)) {
            ggw_limit_set_cold_until(l, now, now);
        }
        return;
    }
    if (report->cold_left > 0) {
        l->cold_until = now + report->cold_left;
    }
    if (l->state == GGW_LIMIT_WARM || l->state == GGW_LIMIT_WARMING) {
        enter_cold(l, now);
    }
    l->cold_at = now;
    l->successes = 0;
}

void
ggw_limit_set_cold_until(struct ggw_limit *l, ggw_ms until, ggw_ms now)
{
    if (until <= now) {
        l->cold_until = 0;
        l->cold_reported = false;
        if (l->state == GGW_LIMIT_COLD) {
            enter_warm(l, now);
        }
        return;
    }
    l->cold_until = until;
    if (l->state == GGW_LIMIT_WARM || l->state == GGW_LIMIT_WARMING) {
        enter_cold(l, now);
    }
}

void
ggw_limit_set_draining(struct ggw_limit *l, bool draining)
{
    l->drain_set = draining;
}

void
ggw_limit_set_cold(struct ggw_limit *l, ggw_ms now)
{
    restart(l, now);
}

void
ggw_limit_end_pause(struct ggw_limit *l, ggw_ms now)
{
    restart(l, now);
    l->unproven = true;
}

bool
ggw_limit_ejection_cap_reached(int servers, int ejected)
{
    return ejected >= MAX(servers / 2, 1);
}

ggw_ms
ggw_limit_hold_time(enum ggw_attempt_result result, ggw_ms latency, ggw_ms p90)
{
    return ggw_attempt_failed(result) ? MAX(latency, p90) : latency;
}
