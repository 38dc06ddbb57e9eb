#include <math.h>
#include <string.h>

#include "common/metrics.h"
#include "slots/internal.h"

/*
 * Probes that an owner sends before it places a request. Periods in which a
 * server is slow begin and end within a few hundred ms, so only a current load
 * report shows them.
 */

/*
 * Age in ms from which on a probe in flight is no longer waited for: its
 * answer is late.
 */
#define PROBE_LATE 8.0

/* Age in ms up to which a load report makes a new probe unnecessary. */
#define REPORT_FRESH 30.0

/* Maximum number of servers probed for one request. */
#define PROBE_SERVERS 3

/**
 * struct probing_request - request that waits for load reports
 * @request: the request, with its own copies of the strings
 * @servers: names of the servers whose probes have not ended
 * @due: monotonic ms at which it is placed without the missing reports
 */
struct probing_request {
    struct ggw_ledger_request request;
    GPtrArray *servers;
    ggw_ms due;
};

void
ggw_slots_probing_request_free(gpointer data)
{
    struct probing_request *r = data;

    g_free((char *)r->request.holder);
    g_free((char *)r->request.failure_domain);
    g_strfreev((char **)r->request.avoid);
    g_free((char *)r->request.customer);
    g_free((char *)r->request.route);
    g_ptr_array_unref(r->servers);
    g_free(r);
}

static struct probing_request *
probing_request_new(const struct ggw_ledger_request *request, ggw_ms due)
{
    struct probing_request *r = g_new0(struct probing_request, 1);

    r->request = *request;
    r->request.holder = g_strdup(request->holder);
    r->request.failure_domain = g_strdup(request->failure_domain);
    r->request.avoid = g_strdupv((char **)request->avoid);
    r->request.customer = g_strdup(request->customer);
    r->request.route = g_strdup(request->route);
    r->servers = g_ptr_array_new_with_free_func(g_free);
    r->due = due;
    return r;
}

static bool
has_id(const struct probing_request *r, const char *holder, uint64_t id)
{
    return r->request.id == id && strcmp(r->request.holder, holder) == 0;
}

bool
ggw_slots_cancel_probing_request(struct ggw_slots_domain *d,
                                 const char *holder, uint64_t id)
{
    for (guint i = 0; i < d->probing_requests->len; i++) {
        if (has_id(g_ptr_array_index(d->probing_requests, i), holder, id)) {
            g_ptr_array_remove_index(d->probing_requests, i);
            return true;
        }
    }
    return false;
}

static bool
is_probing(const struct ggw_slots_domain *d,
           const struct ggw_ledger_request *request)
{
    for (guint i = 0; i < d->probing_requests->len; i++) {
        if (has_id(g_ptr_array_index(d->probing_requests, i), request->holder,
                   request->id)) {
            return true;
        }
    }
    return false;
}

/*
 * Probes a server unless a probe is in flight or the last one is too recent.
 * Returns whether to wait for the result.
 */
static bool
probe_server(struct ggw_slots *p, struct ggw_slots_domain *d, const char *name,
             ggw_ms now)
{
    struct ggw_slots_server *s = ggw_slots_find_server(d->group, name);

    if (s == NULL) {
        return false;
    }
    if (s->probing) {
        return now - s->probed_at < PROBE_LATE;
    }
    if (now - s->probed_at < 1e3 / d->group->rule->probe_rate) {
        return false;
    }
    ggw_slots_send_probe(p, s, now);
    return true;
}

void
ggw_slots_owner_acquire(struct ggw_slots *p, struct ggw_slots_domain *d,
                        const struct ggw_ledger_request *request,
                        ggw_ms answer_time)
{
    ggw_ms now = ggw_slots_now(p);
    const char *names[PROBE_SERVERS];
    size_t n = 0;
    ggw_ms max_wait = ggw_probe_max_wait(answer_time);
    struct probing_request *r;

    if (is_probing(d, request)) {
        return;
    }
    if (d->group->rule != NULL && d->group->rule->probe_rate > 0 &&
        max_wait > 0) {
        n = ggw_ledger_probe_candidates(d->ledger, request, REPORT_FRESH,
                                        names, PROBE_SERVERS, now);
    }
    r = probing_request_new(request, now + max_wait);
    for (size_t i = 0; i < n; i++) {
        if (probe_server(p, d, names[i], now)) {
            g_ptr_array_add(r->servers, g_strdup(names[i]));
        }
    }
    if (r->servers->len > 0) {
        g_ptr_array_add(d->probing_requests, r);
        ggw_slots_schedule_wake(p, r->due);
        return;
    }
    ggw_slots_probing_request_free(r);
    ggw_ledger_request(d->ledger, request, now);
}

/* Places the requests whose probes have ended or that have waited enough. */
static void
place_ready(struct ggw_slots *p, struct ggw_slots_domain *d, ggw_ms now)
{
    for (guint i = 0; i < d->probing_requests->len;) {
        struct probing_request *r = g_ptr_array_index(d->probing_requests, i);

        if (r->servers->len > 0 && r->due > now) {
            i++;
            continue;
        }
        if (r->servers->len > 0) {
            ggw_count("ggw_slots_scouts_late_total");
        }
        g_ptr_array_steal_index(d->probing_requests, i);
        ggw_ledger_request(d->ledger, &r->request, now);
        ggw_slots_probing_request_free(r);
    }
}

void
ggw_slots_probing_result(struct ggw_slots *p, struct ggw_slots_domain *d,
                         const char *server)
{
    for (guint i = 0; i < d->probing_requests->len; i++) {
        struct probing_request *r = g_ptr_array_index(d->probing_requests, i);

        for (guint j = 0; j < r->servers->len; j++) {
            if (strcmp(g_ptr_array_index(r->servers, j), server) == 0) {
                g_ptr_array_remove_index_fast(r->servers, j);
                break;
            }
        }
    }
    place_ready(p, d, ggw_slots_now(p));
}

ggw_ms
ggw_slots_probing_tick(struct ggw_slots *p, struct ggw_slots_domain *d,
                       ggw_ms now)
{
    ggw_ms next = INFINITY;

    place_ready(p, d, now);
    for (guint i = 0; i < d->probing_requests->len; i++) {
        const struct probing_request *r =
            g_ptr_array_index(d->probing_requests, i);

        next = MIN(next, r->due);
    }
    return next;
}
