#include "slots/events.h"

#include "common/log.h"

#define LOG_PART "slots"

/* Maximum number of lines per second of each event. */
#define LINES_PER_S 50

/* Minimum interval in ms between two lines about the same ledger. */
#define LEDGER_INTERVAL 1000.0

static struct ggw_log_event ledger_event = {.part = LOG_PART,
                                            .name = "ledger",
                                            .level = GGW_LOG_INFO,
                                            .importance = GGW_LOG_ROUTINE,
                                            .max_per_s = LINES_PER_S};
static struct ggw_log_event server_event = {.part = LOG_PART,
                                            .name = "server",
                                            .level = GGW_LOG_INFO,
                                            .importance = GGW_LOG_IMPORTANT,
                                            .max_per_s = LINES_PER_S};
static struct ggw_log_event owner_event = {.part = LOG_PART,
                                           .name = "owner",
                                           .level = GGW_LOG_INFO,
                                           .importance = GGW_LOG_IMPORTANT,
                                           .max_per_s = LINES_PER_S};
static struct ggw_log_event fallback_event = {.part = LOG_PART,
                                              .name = "fallback",
                                              .level = GGW_LOG_INFO,
                                              .importance = GGW_LOG_IMPORTANT,
                                              .max_per_s = LINES_PER_S};
static struct ggw_log_event removed_event = {.part = LOG_PART,
                                             .name = "removed",
                                             .level = GGW_LOG_INFO,
                                             .importance = GGW_LOG_IMPORTANT,
                                             .max_per_s = LINES_PER_S};

static struct ggw_log_event backoff_event = {.part = LOG_PART,
                                             .name = "backoff",
                                             .level = GGW_LOG_INFO,
                                             .importance = GGW_LOG_IMPORTANT,
                                             .max_per_s = LINES_PER_S};

void
ggw_slots_log_ledger(struct ggw_slots *p, struct ggw_slots_domain *d,
                     ggw_ms now)
{
    struct ggw_ledger_summary s;

    if (now - d->logged_at < LEDGER_INTERVAL ||
        !ggw_log_enabled(GGW_LOG_INFO)) {
        return;
    }
    d->logged_at = now;
    ggw_ledger_summary(d->ledger, &s);
    if (s.in_flight == 0 && s.waiting == 0) {
        return;
    }
    ggw_log_event(&ledger_event,
                  "service=%s domain=%s warm=%d warming=%d cold=%d ejected=%d "
                  "closed=%d in_flight=%d limit=%d waiting=%d median=%.1f",
                  d->group->service, d->name, s.states[GGW_LIMIT_WARM],
                  s.states[GGW_LIMIT_WARMING], s.states[GGW_LIMIT_COLD],
                  s.states[GGW_LIMIT_EJECTED], s.closed, s.in_flight, s.limit,
                  s.waiting, s.median);
}

void
ggw_slots_log_server(const struct ggw_slots_domain *d,
                     const struct ggw_ledger_change *change)
{
    static const char *const states[] = {
        [GGW_LIMIT_COLD] = "cold",
        [GGW_LIMIT_WARMING] = "warming",
        [GGW_LIMIT_WARM] = "warm",
        [GGW_LIMIT_EJECTED] = "ejected",
    };

    ggw_log_event(&server_event,
                  "service=%s server=%s from=%s to=%s limit=%d in_flight=%d "
                  "failures=%d report_age=%.0f slow_percent=%d",
                  d->group->service, change->server, states[change->from],
                  states[change->to], change->limit, change->in_flight,
                  change->failures, change->report_age, change->slow_percent);
}

void
ggw_slots_log_owner(const struct ggw_slots_domain *d, const char *change)
{
    ggw_log_event(&owner_event, "service=%s domain=%s change=%s owner=%s",
                  d->group->service, d->name, change,
                  d->owner != NULL ? d->owner : "none");
}

void
ggw_slots_log_fallback(const struct ggw_slots_pending *pd,
                       const char *server_name, const char *owner_name)
{
    ggw_log_event(&fallback_event, "service=%s server=%s owner=%s",
                  pd->group->service, server_name,
                  owner_name != NULL ? owner_name : "none");
}

void
ggw_slots_log_removed(const struct ggw_slots_pending *pd)
{
    ggw_log_event(
        &removed_event, "service=%s home=%s spill=%s queued_locally=%d",
        pd->group->service, pd->home != NULL ? pd->home->owner : "none",
        pd->spill != NULL ? pd->spill->owner : "none", pd->queued_locally);
}

void
ggw_slots_log_backoff(const struct ggw_slots_server *s, const char *source,
                      ggw_ms left)
{
    static const char *const states[] = {
        [GGW_BACKOFF_NONE] = "ended",
        [GGW_BACKOFF_PAUSED] = "paused",
        [GGW_BACKOFF_LEAVING] = "leaving",
    };

    ggw_log_event(
        &backoff_event, "service=%s server=%s state=%s left=%.0f source=%s",
        s->domain->group->service, s->name, states[s->backoff], left, source);
}
