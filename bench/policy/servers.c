#include "bench/policy/sim.h"

#include <math.h>

/* The backend servers of the simulation. */

/*
 * Time that a server needs for a request that starts now; work is the time
 * outside its slow phases, ms.
 */
static ggw_ms
service_time(const struct sim *s, const struct server *v, ggw_ms work)
{
    ggw_ms t = s->now;

    for (;;) {
        double x = fmod(t + v->phase, SLOW_PERIOD_MS);
        bool slow = x < SLOW_PHASE_MS;
        ggw_ms left = slow ? SLOW_PHASE_MS - x : SLOW_PERIOD_MS - x;
        double rate = slow ? 1 / SLOW_FACTOR : 1;

        if (work <= left * rate) {
            return t + work / rate - s->now;
        }
        work -= left * rate;
        t += left;
    }
}

static bool
is_cold(const struct sim *s, int server)
{
    return server == 0 && s->now >= s->run.cold_at &&
           s->now < s->run.cold_at + s->run.cold_for;
}

static void on_service_done(struct sim *s, struct request *r, int a, int b);

static void
on_load_report(struct sim *s, struct request *r, int server, int load)
{
    s->servers[server].reported_load = load;
}

static void
report_load(struct sim *s, int server)
{
    struct server *v = &s->servers[server];

    if (s->run.report_age > 0) {
        sim_schedule(s, s->run.report_age, on_load_report, NULL, server,
                     v->busy + (int)v->queue.length);
    }
}

static void
respond(struct sim *s, struct request *r, enum ggw_attempt_result result,
        ggw_ms delay)
{
    r->result = result;
    r->cold = is_cold(s, r->server);
    sim_schedule(s, delay + sim_delay_to_server(s, r), sim_on_response, r, 0,
                 0);
}

static void
start_service(struct sim *s, struct request *r)
{
    struct server *v = &s->servers[r->server];

    ggw_ms work = sim_exponential(s, MEAN_SERVICE_MS);

    work *= r->server == 0 && s->run.slow_factor > 0 ? s->run.slow_factor : 1;
    v->busy++;
    sim_schedule(s, service_time(s, v, work), on_service_done, r, 0, 0);
}

static void
on_service_done(struct sim *s, struct request *r, int a, int b)
{
    struct server *v = &s->servers[r->server];

    v->busy--;
    respond(s, r, GGW_ATTEMPT_OK, 0);
    if (v->queue.length > 0) {
        start_service(s, g_queue_pop_head(&v->queue));
    }
    report_load(s, r->server);
}

void
sim_on_server_request(struct sim *s, struct request *r, int a, int b)
{
    struct server *v = &s->servers[r->server];

    if (is_cold(s, r->server)) {
        s->sent_to_cold += isinf(s->limit_lowered_after);
        if (v->busy >= 1) {
            respond(s, r, GGW_ATTEMPT_SHED, FAST_FAILURE_MS);
            return;
        }
    }
    if (r->server == 0 && g_rand_double(s->rand) < s->run.fail_share) {
        respond(s, r, GGW_ATTEMPT_ERROR, FAST_FAILURE_MS);
    }
    else if (v->busy < s->run.d->slots) {
        start_service(s, r);
    }
    else if ((int)v->queue.length < s->run.server_queue) {
        g_queue_push_tail(&v->queue, r);
    }
    else {
        respond(s, r, GGW_ATTEMPT_SHED, FAST_FAILURE_MS);
    }
    report_load(s, r->server);
}
