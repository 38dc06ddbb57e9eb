#include "decide/limit.h"

#include <math.h>

/* Design 5.2; together they detect a change within 5 requests. */
#define STEP_SUCCESSES 20
#define SLOW_LATENCIES 5
#define SLOW_FACTOR 4
#define EJECT_FAILURES 3
#define TRIAL_FIRST 500.0
#define TRIAL_LONGEST 10000.0

/* Design 5.9: two silent connections within it speak against the server. */
#define SILENT_WINDOW 5000.0

/* A server that had this many times the usual latency was silent. */
#define SILENT_MEDIANS 4

static void
enter(struct ggw_limit *l, enum ggw_limit_state state, int limit, ggw_ms now)
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
    enter(l, GGW_LIMIT_COLD, MIN(l->rule.cold_limit, l->rule.slots), now);
}

static void
enter_ejected(struct ggw_limit *l, ggw_ms now)
{
    ggw_ms longest = l->rule.max_trial_interval > 0
                         ? l->rule.max_trial_interval
                         : TRIAL_LONGEST;

    enter(l, GGW_LIMIT_EJECTED, 0, now);
    l->failures = 0;
    l->trial_wait =
        l->trial_wait > 0 ? MIN(2 * l->trial_wait, longest) : TRIAL_FIRST;
    l->trial_at = now + l->trial_wait;
}

static void
enter_warm(struct ggw_limit *l, ggw_ms now)
{
    enter(l, GGW_LIMIT_WARM, l->rule.slots + l->rule.ahead, now);
}

/* A new process: nothing that is known of the old one applies. */
static void
restart(struct ggw_limit *l, ggw_ms now)
{
    l->failures = 0;
    l->silent = 0;
    l->silent_at = -INFINITY;
    l->drain_reported = false;
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
    return latency < SILENT_MEDIANS * median ? GGW_ATTEMPT_CANCELLED
                                             : GGW_ATTEMPT_SILENT;
}

bool
ggw_attempt_failed(enum ggw_attempt_result result)
{
    return result == GGW_ATTEMPT_ERROR || result == GGW_ATTEMPT_SHED ||
           result == GGW_ATTEMPT_REFUSED || result == GGW_ATTEMPT_BROKEN;
}

/* Doubles the limit when the server has proven the present one. */
static void
step_up(struct ggw_limit *l, ggw_ms now)
{
    int limit;

    if (l->state == GGW_LIMIT_WARM || l->cold_reported ||
        now < l->cold_until) {
        return;
    }
    l->successes++;
    if (l->successes < STEP_SUCCESSES &&
        now - l->cold_at < l->rule.cold_time / 4) {
        return;
    }
    limit = 2 * l->limit;
    if (limit >= l->rule.slots) {
        enter_warm(l, now);
    }
    else {
        enter(l, GGW_LIMIT_WARMING, limit, now);
    }
}

/* Halves the limit after a run of slow answers; warming up restores it. */
static void
note_latency(struct ggw_limit *l, const struct ggw_limit_sample *s, ggw_ms now)
{
    bool slow = s->median > 0 && s->latency > SLOW_FACTOR * s->median;

    if (!slow) {
        /* A short cancelled attempt proves nothing. */
        l->slow = s->result == GGW_ATTEMPT_OK ? 0 : l->slow;
        return;
    }
    if (++l->slow < SLOW_LATENCIES) {
        return;
    }
    l->slow = 0;
    if (l->state != GGW_LIMIT_COLD && l->limit > 1) {
        enter(l, GGW_LIMIT_WARMING, l->limit / 2, now);
    }
}

static void
note_failure(struct ggw_limit *l, const struct ggw_limit_sample *s, int count,
             ggw_ms now)
{
    l->failures += count;
    if (l->failures < EJECT_FAILURES) {
        return;
    }
    if (s->keep && s->result == GGW_ATTEMPT_ERROR) {
        l->failures = 0;
        enter_cold(l, now);
        return;
    }
    enter_ejected(l, now);
}

/*
 * One silent connection is the connection's fault. A connection is closed
 * after it was silent, so the next silent one is always another one.
 */
static void
note_silent(struct ggw_limit *l, const struct ggw_limit_sample *s, ggw_ms now)
{
    bool pair = now - l->silent_at <= SILENT_WINDOW;
    int count = pair ? 1 + l->silent : 0;

    l->silent = pair ? 0 : 1;
    l->silent_at = now;
    note_failure(l, s, count, now);
}

static void
trial_ended(struct ggw_limit *l, const struct ggw_limit_sample *s, ggw_ms now)
{
    l->trial = false;
    switch (s->result) {
    case GGW_ATTEMPT_OK:
        /* What happened to the server is not known: it may be a new one. */
        l->failures = 0;
        enter_cold(l, now);
        break;
    case GGW_ATTEMPT_UNUSED:
        break; /* still due */
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

    /* Even an old request that was shed shows a limit that is too high. */
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
            trial_ended(l, s, now);
        }
        return;
    }
    if (s->result == GGW_ATTEMPT_OK) {
        l->failures = 0;
        l->silent = 0;
        note_latency(l, s, now);
        step_up(l, now);
    }
    else if (s->result == GGW_ATTEMPT_CANCELLED) {
        note_latency(l, s, now);
    }
    else if (s->result == GGW_ATTEMPT_SILENT) {
        note_silent(l, s, now);
    }
    else if (ggw_attempt_failed(s->result)) {
        note_failure(l, s, 1, now);
    }
}

void
ggw_limit_incarnation(struct ggw_limit *l, uint64_t incarnation, ggw_ms now)
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
    ggw_limit_incarnation(l, report->incarnation, now);
    l->drain_reported = report->draining;
    if (report->cold_unknown) {
        return;
    }
    l->cold_reported = report->cold;
    if (!report->cold) {
        /* Servers with a rate for cold starts state when they are over. */
        if (l->cold_until > 0 || l->rule.cold_rate > 0) {
            ggw_limit_cold_until(l, now, now);
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
ggw_limit_cold_until(struct ggw_limit *l, ggw_ms until, ggw_ms now)
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

bool
ggw_limit_keep(int servers, int ejected)
{
    return ejected >= MAX(servers / 2, 1);
}

ggw_ms
ggw_limit_hold_time(enum ggw_attempt_result result, ggw_ms latency, ggw_ms p90)
{
    return ggw_attempt_failed(result) ? MAX(latency, p90) : latency;
}
