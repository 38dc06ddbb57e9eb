#include "bench/policy/sim.h"

#include <math.h>

/* Owners that grant slots, queue requests and pass them on to each other. */

static void serve_queue(struct sim *s, int domain);

static void
request_free(struct sim *s, struct request *r)
{
    s->active--;
    g_free(r);
}

static void
refuse(struct sim *s, struct request *r)
{
    s->refused++;
    request_free(s, r);
}

static void
on_slot_free(struct sim *s, struct request *r, int a, int b)
{
    if (r->domain >= 0) {
        s->servers[r->server].granted--;
        serve_queue(s, s->run.d->server_domain[r->server]);
    }
    else {
        s->sent_by[r->gateway][r->server]--;
    }
    request_free(s, r);
}

/* Frees the slot of an attempt, that of a failed one after its hold time. */
static void
release_slot(struct sim *s, struct request *r,
             const struct ggw_latency *latency)
{
    ggw_ms held = s->now - r->started;

    sim_schedule(s, ggw_limit_hold_time(r->result, held, latency->p90) - held,
                 on_slot_free, r, 0, 0);
}

static void
on_release(struct sim *s, struct request *r, int a, int b)
{
    struct server *v = &s->servers[r->server];
    struct domain *d = &s->domains[s->run.d->server_domain[r->server]];
    struct ggw_load_report report = {.present = true, .cold = r->cold};
    struct ggw_limit_sample sample = {
        .result = r->result,
        .started = r->started,
        .latency = s->now - r->started,
        .median = d->latency.p50,
    };

    ggw_limit_report(&v->limit, &report, s->now);
    ggw_limit_result(&v->limit, &sample, s->now);
    if (r->server == 0 && s->now >= s->run.cold_at &&
        isinf(s->limit_lowered_after) && v->limit.state != GGW_LIMIT_WARM) {
        s->limit_lowered_after = s->now - s->run.cold_at;
    }
    if (r->result == GGW_ATTEMPT_OK) {
        ggw_latency_add(&d->latency, sample.latency);
    }
    ggw_admission_add_hold_time(d->queue, sample.latency);
    release_slot(s, r, &d->latency);
}

void
sim_on_response(struct sim *s, struct request *r, int a, int b)
{
    ggw_ms t = s->now - r->arrived;
    bool ok = r->result == GGW_ATTEMPT_OK;

    s->done += ok;
    s->failed += r->result == GGW_ATTEMPT_ERROR;
    s->shed += r->result == GGW_ATTEMPT_SHED;
    s->late += ok && s->now > r->deadline;
    s->done_in_time[r->priority] += ok && s->now <= r->deadline;
    if (ok && r->arrived > 1000) {
        g_array_append_val(s->latencies, t);
    }
    if (r->domain >= 0) {
        sim_schedule(s, sim_delay_to_server(s, r), on_release, r, 0, 0);
        return;
    }
    if (ok) {
        ggw_latency_add(&s->latency, s->now - r->started);
    }
    release_slot(s, r, &s->latency);
}

/* Delay to the owner of a domain, which is the first gateway there, ms. */
ggw_ms
sim_delay_to_owner(const struct sim *s, int gateway, int domain)
{
    const int *at = s->run.d->gateway_domain;
    bool first = gateway == 0 || at[gateway] != at[gateway - 1];

    return at[gateway] == domain && first
               ? 0
               : sim_network_delay(s, at[gateway], domain);
}

static void
on_grant(struct sim *s, struct request *r, int a, int b)
{
    sim_schedule(s, sim_delay_to_server(s, r), sim_on_server_request, r, 0, 0);
}

static int
available_slots(const struct sim *s, int domain)
{
    int n = -(int)ggw_admission_len(s->domains[domain].queue);

    for (int i = 0; i < s->run.d->servers; i++) {
        const struct server *v = &s->servers[i];

        if (s->run.d->server_domain[i] == domain) {
            n += MAX(ggw_limit_slots(&v->limit) - v->granted, 0);
        }
    }
    return n;
}

static bool
grant(struct sim *s, struct request *r, int domain)
{
    struct ggw_candidate c[MAX_SERVERS] = {0};
    struct server *v;
    size_t at;

    for (int i = 0; i < s->run.d->servers; i++) {
        v = &s->servers[i];
        if (s->run.d->server_domain[i] == domain &&
            ggw_limit_may_start(&v->limit, v->granted, s->now)) {
            c[i].in_flight = v->granted;
            c[i].limit = MAX(ggw_limit_slots(&v->limit), v->granted + 1);
        }
    }
    at = ggw_policy_pick(&s->policy[domain], c, MAX_SERVERS, s->now);
    if (at == GGW_POLICY_NONE) {
        return false;
    }
    v = &s->servers[at];
    ggw_limit_started(&v->limit, s->now);
    v->granted++;
    r->server = (int)at;
    r->started = s->now;
    sim_schedule(s, sim_delay_to_owner(s, r->gateway, domain), on_grant, r, 0,
                 0);
    return true;
}

static void
enqueue(struct sim *s, struct request *r, int domain)
{
    struct ggw_waiter w = {.id = ++s->id,
                           .priority = r->priority,
                           .deadline = r->deadline,
                           .data = r};
    struct ggw_waiter displaced;

    switch (
        ggw_admission_push(s->domains[domain].queue, &w, s->now, &displaced)) {
    case GGW_ADMISSION_QUEUED:
        break;
    case GGW_ADMISSION_DISPLACED:
        refuse(s, displaced.data);
        break;
    default:
        refuse(s, r);
    }
}

static void
on_spill(struct sim *s, struct request *r, int domain, int back)
{
    if (back) {
        if (!grant(s, r, domain)) {
            enqueue(s, r, domain);
        }
    }
    else if (!grant(s, r, domain)) {
        sim_schedule(s, s->run.d->cross_domain_delay, on_spill, r, r->domain,
                     1);
    }
}

/*
 * Passes a request to the owner that advertised most free slots. Return: false
 * if no other owner has any.
 */
static bool
spill(struct sim *s, struct request *r)
{
    int *advertised_slots = s->domains[r->domain].advertised_slots, best = 0;

    for (int i = 1; i < s->run.d->domains; i++) {
        best = advertised_slots[i] > advertised_slots[best] ? i : best;
    }
    if (advertised_slots[best] <= 0) {
        return false;
    }
    advertised_slots[best]--;
    sim_schedule(s, s->run.d->cross_domain_delay, on_spill, r, best, 0);
    return true;
}

static void
serve_queue(struct sim *s, int domain)
{
    struct ggw_waiter w;
    int slots = 0;

    for (int i = 0; i < s->run.d->servers; i++) {
        if (s->run.d->server_domain[i] == domain) {
            slots += ggw_limit_slots(&s->servers[i].limit);
        }
    }
    ggw_admission_set_slots(s->domains[domain].queue, slots);
    while (ggw_admission_expire(s->domains[domain].queue, s->now, &w)) {
        refuse(s, w.data);
    }
    while (available_slots(s, domain) +
                   (int)ggw_admission_len(s->domains[domain].queue) >
               0 &&
           ggw_admission_pop(s->domains[domain].queue, s->now, &w)) {
        if (!grant(s, w.data, domain)) {
            enqueue(s, w.data, domain);
            break;
        }
    }
}

void
sim_on_slot_request(struct sim *s, struct request *r, int a, int b)
{
    serve_queue(s, r->domain);
    if (!grant(s, r, r->domain) && !spill(s, r)) {
        enqueue(s, r, r->domain);
    }
}

/* from is the number of free slots * MAX_DOMAINS + the advertising domain. */
static void
on_advert(struct sim *s, struct request *r, int domain, int from)
{
    struct domain *d = &s->domains[domain];
    struct ggw_waiter w;

    d->advertised_slots[from % MAX_DOMAINS] = from / MAX_DOMAINS;
    while (from / MAX_DOMAINS > 0 &&
           d->advertised_slots[from % MAX_DOMAINS] > 0 &&
           ggw_admission_pop(d->queue, s->now, &w)) {
        spill(s, w.data);
    }
}

void
sim_on_advert_tick(struct sim *s, struct request *r, int a, int b)
{
    for (int i = 0; i < s->run.d->domains; i++) {
        int n = MAX(available_slots(s, i), 0);

        serve_queue(s, i);
        for (int j = 0; j < s->run.d->domains; j++) {
            if (i != j) {
                sim_schedule(s, s->run.d->cross_domain_delay, on_advert, NULL,
                             j, n * MAX_DOMAINS + i);
            }
        }
    }
    if (s->active > 0 || s->arrivals > 0) {
        sim_schedule(s, ADVERT_INTERVAL_MS, sim_on_advert_tick, NULL, 0, 0);
    }
}
