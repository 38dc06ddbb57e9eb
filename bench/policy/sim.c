#include "bench/policy/sim.h"

#include <limits.h>
#include <math.h>

/* Arrivals, gateways without an owner, and a whole run. */

static void
send_direct(struct sim *s, struct request *r)
{
    struct ggw_candidate c[MAX_SERVERS] = {0};

    for (int i = 0; i < s->run.d->servers; i++) {
        c[i].in_flight = s->sent_by[r->gateway][i];
        c[i].limit = INT_MAX;
        c[i].reported = s->run.report_age > 0;
        c[i].load = s->servers[i].reported_load;
        c[i].reported_at = s->now - s->run.report_age;
    }
    r->server = (int)ggw_policy_pick(&s->policy[r->gateway], c,
                                     (size_t)s->run.d->servers, s->now);
    r->started = s->now;
    s->sent_by[r->gateway][r->server]++;
    sim_schedule(s, sim_delay_to_server(s, r), sim_on_server_request, r, 0, 0);
}

/* Slot capacity in requests per ms. */
static double
capacity(const struct deployment *d)
{
    double slow_share = SLOW_PHASE_MS / SLOW_PERIOD_MS;

    return d->servers * d->slots / MEAN_SERVICE_MS *
           (1 - slow_share + slow_share / SLOW_FACTOR);
}

static void
on_arrival(struct sim *s, struct request *none, int a, int b)
{
    static const int priorities[] = {0, 1, 1, 1, 1, 1, 1, 2, 2, 2};
    struct request *r = g_new0(struct request, 1);

    s->active++;
    r->gateway = g_rand_int_range(s->rand, 0, GATEWAYS);
    r->arrived = s->now;
    r->deadline = s->now + s->run.timeout;
    if (s->run.load > 1) {
        r->priority = priorities[g_rand_int_range(s->rand, 0, 10)];
    }
    s->offered[r->priority]++;
    if (s->policy[0].ops == ggw_policy_find("slots")) {
        r->domain = s->run.d->gateway_domain[r->gateway];
        sim_schedule(s, sim_delay_to_owner(s, r->gateway, r->domain),
                     sim_on_slot_request, r, 0, 0);
    }
    else {
        r->domain = -1;
        send_direct(s, r);
    }
    if (--s->arrivals > 0) {
        sim_schedule(
            s, sim_exponential(s, 1 / (s->run.load * capacity(s->run.d))),
            on_arrival, NULL, 0, 0);
    }
}

void
sim_run(struct sim *s, const struct run *run)
{
    const struct ggw_limit_rule rule = {
        .slots = run->d->slots,
        .cold_limit = 1,
        .cold_time = 5000,
        .ahead = run->ahead,
    };

    *s = (struct sim){.run = *run, .arrivals = run->requests};
    s->rand = g_rand_new_with_seed(SEED);
    s->events = g_sequence_new(g_free);
    s->latencies = g_array_new(false, false, sizeof(ggw_ms));
    s->limit_lowered_after = INFINITY;
    for (int i = 0; i < run->d->servers; i++) {
        s->servers[i].phase = g_rand_double(s->rand) * SLOW_PERIOD_MS;
        ggw_limit_init(&s->servers[i].limit, &rule, false, 0);
    }
    for (int i = 0; i < GATEWAYS; i++) {
        s->policy[i].ops = ggw_policy_find(run->policy);
        s->policy[i].rand = s->rand;
    }
    for (int i = 0; i < run->d->domains; i++) {
        s->domains[i].queue = ggw_admission_new(64);
    }
    sim_schedule(s, 0, on_arrival, NULL, 0, 0);
    sim_schedule(s, 0, sim_on_advert_tick, NULL, 0, 0);
    while (sim_run_next_event(s)) {
    }
    for (int i = 0; i < run->d->domains; i++) {
        ggw_admission_free(s->domains[i].queue);
    }
    g_sequence_free(s->events);
    g_rand_free(s->rand);
}
