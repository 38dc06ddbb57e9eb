#include <math.h>
#include <string.h>

#include "common/metrics.h"
#include "slots/internal.h"

/*
 * Load reports that an owner asks for before it places a request. Spells in
 * which a server is slow begin and end within a few hundred ms, so that only
 * a report of this moment tells.
 */

/* Longest wait for the reports; a round trip takes a few ms. */
#define SCOUT_WAIT 8.0

/* A report at most this old is as good as a new one. */
#define SCOUT_FRESH 30.0

/* Servers asked for one request. */
#define SCOUT_SERVERS 3

/**
 * struct scout - a request that waits for load reports
 * @ask: the question, with its own copies of the texts
 * @servers: names that have not answered
 * @due: when it is placed without the missing reports
 */
struct scout {
    struct ggw_ledger_request ask;
    GPtrArray *servers;
    ggw_ms due;
};

void
ggw_slots_scout_free(gpointer data)
{
    struct scout *s = data;

    g_free((char *)s->ask.holder);
    g_free((char *)s->ask.failure_domain);
    g_strfreev((char **)s->ask.avoid);
    g_ptr_array_unref(s->servers);
    g_free(s);
}

static struct scout *
scout_new(const struct ggw_ledger_request *ask, ggw_ms now)
{
    struct scout *s = g_new0(struct scout, 1);

    s->ask = *ask;
    s->ask.holder = g_strdup(ask->holder);
    s->ask.failure_domain = g_strdup(ask->failure_domain);
    s->ask.avoid = g_strdupv((char **)ask->avoid);
    s->servers = g_ptr_array_new_with_free_func(g_free);
    s->due = now + SCOUT_WAIT;
    return s;
}

static bool
same_request(const struct scout *s, const char *holder, uint64_t id)
{
    return s->ask.id == id && strcmp(s->ask.holder, holder) == 0;
}

bool
ggw_slots_scout_cancel(struct ggw_slots_domain *d, const char *holder,
                       uint64_t id)
{
    for (guint i = 0; i < d->scouts->len; i++) {
        if (same_request(g_ptr_array_index(d->scouts, i), holder, id)) {
            g_ptr_array_remove_index(d->scouts, i);
            return true;
        }
    }
    return false;
}

static bool
is_scouting(const struct ggw_slots_domain *d,
            const struct ggw_ledger_request *ask)
{
    for (guint i = 0; i < d->scouts->len; i++) {
        if (same_request(g_ptr_array_index(d->scouts, i), ask->holder,
                         ask->id)) {
            return true;
        }
    }
    return false;
}

/* Asks a server for its load unless that is under way or too frequent. */
static bool
ask_server(struct ggw_slots *p, struct ggw_slots_domain *d, const char *name,
           ggw_ms now)
{
    struct ggw_slots_server *s = ggw_slots_find_server(d->group, name);

    if (s == NULL) {
        return false;
    }
    if (s->probing) {
        return now - s->probed_at < SCOUT_WAIT;
    }
    if (now - s->probed_at < 1e3 / d->group->rule->probe_rate) {
        return false;
    }
    ggw_slots_probe(p, s, now);
    return true;
}

void
ggw_slots_owner_ask(struct ggw_slots *p, struct ggw_slots_domain *d,
                    const struct ggw_ledger_request *ask)
{
    ggw_ms now = ggw_slots_now(p);
    const char *names[SCOUT_SERVERS];
    size_t n = 0;
    struct scout *s;

    if (is_scouting(d, ask)) {
        return;
    }
    if (d->group->rule != NULL && d->group->rule->probe_rate > 0) {
        n = ggw_ledger_probe_candidates(d->ledger, ask, SCOUT_FRESH, names,
                                        SCOUT_SERVERS, now);
    }
    s = scout_new(ask, now);
    for (size_t i = 0; i < n; i++) {
        if (ask_server(p, d, names[i], now)) {
            g_ptr_array_add(s->servers, g_strdup(names[i]));
        }
    }
    if (s->servers->len > 0) {
        g_ptr_array_add(d->scouts, s);
        ggw_slots_wake(p, s->due);
        return;
    }
    ggw_slots_scout_free(s);
    ggw_ledger_request(d->ledger, ask, now);
}

/* Places the requests that wait for nothing more. */
static void
place_ready(struct ggw_slots *p, struct ggw_slots_domain *d, ggw_ms now)
{
    for (guint i = 0; i < d->scouts->len;) {
        struct scout *s = g_ptr_array_index(d->scouts, i);

        if (s->servers->len > 0 && s->due > now) {
            i++;
            continue;
        }
        if (s->servers->len > 0) {
            ggw_count("ggw_slots_scouts_late_total");
        }
        g_ptr_array_steal_index(d->scouts, i);
        ggw_ledger_request(d->ledger, &s->ask, now);
        ggw_slots_scout_free(s);
    }
}

void
ggw_slots_scout_result(struct ggw_slots *p, struct ggw_slots_domain *d,
                       const char *server)
{
    for (guint i = 0; i < d->scouts->len; i++) {
        struct scout *s = g_ptr_array_index(d->scouts, i);

        for (guint j = 0; j < s->servers->len; j++) {
            if (strcmp(g_ptr_array_index(s->servers, j), server) == 0) {
                g_ptr_array_remove_index_fast(s->servers, j);
                break;
            }
        }
    }
    place_ready(p, d, ggw_slots_now(p));
}

ggw_ms
ggw_slots_scouts_tick(struct ggw_slots *p, struct ggw_slots_domain *d,
                      ggw_ms now)
{
    ggw_ms next = INFINITY;

    place_ready(p, d, now);
    for (guint i = 0; i < d->scouts->len; i++) {
        const struct scout *s = g_ptr_array_index(d->scouts, i);

        next = MIN(next, s->due);
    }
    return next;
}
