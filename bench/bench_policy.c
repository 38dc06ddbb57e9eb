#include <limits.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "decide/admission.h"
#include "decide/latency.h"
#include "decide/limit.h"
#include "decide/policy.h"

/*
 * Measures the decision code in virtual time with a fixed seed. One service;
 * no connection is lost. Loads are shares of the slot capacity that is left
 * after the slow spells. Prints lines of "name value unit".
 */

#define SEED 1
#define REQUESTS 100000
#define MEAN_SERVICE 4.0
#define SPELL 20.0 /* of every SPELL_PERIOD a server is SPELL_SLOWER */
#define SPELL_PERIOD 200.0
#define SPELL_SLOWER 4.0
#define ADVERT 5.0 /* interval at which owners tell their free slots */
#define FAST_FAILURE 0.2
#define SERVER_QUEUE 16 /* a server sheds above it in the overload runs */
#define MAX_SERVERS 16
#define MAX_DOMAINS 4
#define GATEWAYS 6

struct deployment {
    const char *name;
    int domains, servers, slots;
    int server_domain[MAX_SERVERS];
    int gateway_domain[GATEWAYS];
    ggw_ms within, between; /* one way */
};

static const struct deployment cairo = {
    "cairo_strand_status", 3,   10, 2, {0, 0, 0, 0, 1, 1, 1, 2, 2, 2},
    {0, 0, 1, 1, 2, 2},    0.1, 1,
};
static const struct deployment mombasa = {
    "mombasa_mooring_orders", 4,   8,   4, {0, 0, 1, 1, 2, 2, 3, 3},
    {0, 0, 1, 1, 2, 3},       0.1, 1.5,
};

/*
 * The faults are those of server 0: cold from cold_at for cold_for, fails a
 * share of its requests fast, takes slower times as long.
 */
struct run {
    const struct deployment *d;
    const char *policy; /* "slots" is the owner per failure domain */
    int requests, ahead, server_queue;
    double load;
    ggw_ms report_age, timeout;
    ggw_ms cold_at, cold_for;
    double fail_share, slower;
};

struct request {
    int gateway, server, domain, priority;
    ggw_ms arrived, deadline, started;
    enum ggw_attempt_result result;
    bool cold; /* reported by the server */
};

struct server {
    int busy;
    GQueue queue;
    double phase;
    int visible; /* load as the gateways know it */
    int counted; /* by the owner */
    struct ggw_limit limit;
};

struct domain {
    struct ggw_admission *queue;
    struct ggw_latency latency;
    int free_of[MAX_DOMAINS]; /* last advert of the other owners */
};

struct sim;
typedef void (*handler)(struct sim *s, struct request *r, int a, int b);

struct event {
    ggw_ms at;
    uint64_t order;
    handler handle;
    struct request *r;
    int a, b;
};

struct sim {
    struct run run;
    GRand *rand;
    GSequence *events;
    uint64_t order, id;
    ggw_ms now;
    struct ggw_policy policy[GATEWAYS]; /* or of the owner of a domain */
    struct ggw_latency latency;
    struct server servers[MAX_SERVERS];
    struct domain domains[MAX_DOMAINS];
    int own[GATEWAYS][MAX_SERVERS];
    int arrivals, live;
    GArray *times;
    int done, useful[3], offered[3], refused, shed, late, failed, at_cold;
    ggw_ms limit_dropped; /* after cold_at */
};

static int
compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct event *x = a, *y = b;

    if (x->at < y->at || x->at > y->at) {
        return x->at < y->at ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order;
}

static void
after(struct sim *s, ggw_ms delay, handler handle, struct request *r, int a,
      int b)
{
    struct event e = {s->now + delay, s->order++, handle, r, a, b};

    g_sequence_insert_sorted(s->events, g_memdup2(&e, sizeof(e)),
                             compare_events, NULL);
}

static bool
run_next_event(struct sim *s)
{
    GSequenceIter *first = g_sequence_get_begin_iter(s->events);
    struct event *e;

    if (g_sequence_iter_is_end(first)) {
        return false;
    }
    e = g_sequence_get(first);
    s->now = e->at;
    e->handle(s, e->r, e->a, e->b);
    g_sequence_remove(first); /* frees e */
    return true;
}

static ggw_ms
exponential(struct sim *s, ggw_ms mean)
{
    return -log(1 - g_rand_double(s->rand)) * mean;
}

static ggw_ms
distance(const struct sim *s, int domain, int other)
{
    return domain == other ? s->run.d->within : s->run.d->between;
}

static ggw_ms
to_server(const struct sim *s, const struct request *r)
{
    const struct deployment *d = s->run.d;

    return distance(s, d->gateway_domain[r->gateway],
                    d->server_domain[r->server]);
}

/* Time that a server needs for some work that starts now. */
static ggw_ms
time_for(const struct sim *s, const struct server *v, ggw_ms work)
{
    ggw_ms t = s->now;

    for (;;) {
        double x = fmod(t + v->phase, SPELL_PERIOD);
        bool slow = x < SPELL;
        ggw_ms left = slow ? SPELL - x : SPELL_PERIOD - x;
        double rate = slow ? 1 / SPELL_SLOWER : 1;

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

static void on_response(struct sim *s, struct request *r, int a, int b);
static void on_finished(struct sim *s, struct request *r, int a, int b);
static void serve_queue(struct sim *s, int domain);

static void
on_visible(struct sim *s, struct request *r, int server, int load)
{
    s->servers[server].visible = load;
}

static void
load_changed(struct sim *s, int server)
{
    struct server *v = &s->servers[server];

    if (s->run.report_age > 0) {
        after(s, s->run.report_age, on_visible, NULL, server,
              v->busy + (int)v->queue.length);
    }
}

static void
respond(struct sim *s, struct request *r, enum ggw_attempt_result result,
        ggw_ms delay)
{
    r->result = result;
    r->cold = is_cold(s, r->server);
    after(s, delay + to_server(s, r), on_response, r, 0, 0);
}

static void
begin(struct sim *s, struct request *r)
{
    struct server *v = &s->servers[r->server];

    ggw_ms work = exponential(s, MEAN_SERVICE);

    work *= r->server == 0 && s->run.slower > 0 ? s->run.slower : 1;
    v->busy++;
    after(s, time_for(s, v, work), on_finished, r, 0, 0);
}

static void
on_finished(struct sim *s, struct request *r, int a, int b)
{
    struct server *v = &s->servers[r->server];

    v->busy--;
    respond(s, r, GGW_ATTEMPT_OK, 0);
    if (v->queue.length > 0) {
        begin(s, g_queue_pop_head(&v->queue));
    }
    load_changed(s, r->server);
}

static void
on_server(struct sim *s, struct request *r, int a, int b)
{
    struct server *v = &s->servers[r->server];

    if (is_cold(s, r->server)) {
        s->at_cold += isinf(s->limit_dropped);
        if (v->busy >= 1) {
            respond(s, r, GGW_ATTEMPT_SHED, FAST_FAILURE);
            return;
        }
    }
    if (r->server == 0 && g_rand_double(s->rand) < s->run.fail_share) {
        respond(s, r, GGW_ATTEMPT_ERROR, FAST_FAILURE);
    }
    else if (v->busy < s->run.d->slots) {
        begin(s, r);
    }
    else if ((int)v->queue.length < s->run.server_queue) {
        g_queue_push_tail(&v->queue, r);
    }
    else {
        respond(s, r, GGW_ATTEMPT_SHED, FAST_FAILURE);
    }
    load_changed(s, r->server);
}

static void
end(struct sim *s, struct request *r)
{
    s->live--;
    g_free(r);
}

static void
refuse(struct sim *s, struct request *r)
{
    s->refused++;
    end(s, r);
}

static void
on_uncount(struct sim *s, struct request *r, int a, int b)
{
    if (r->domain >= 0) {
        s->servers[r->server].counted--;
        serve_queue(s, s->run.d->server_domain[r->server]);
    }
    else {
        s->own[r->gateway][r->server]--;
    }
    end(s, r);
}

/* The attempt's slot is free again, for a failed one after its hold time. */
static void
uncount(struct sim *s, struct request *r, const struct ggw_latency *latency)
{
    ggw_ms held = s->now - r->started;

    after(s, ggw_limit_hold_time(r->result, held, latency->p90) - held,
          on_uncount, r, 0, 0);
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
        isinf(s->limit_dropped) && v->limit.state != GGW_LIMIT_WARM) {
        s->limit_dropped = s->now - s->run.cold_at;
    }
    if (r->result == GGW_ATTEMPT_OK) {
        ggw_latency_add(&d->latency, sample.latency);
    }
    ggw_admission_add_hold_time(d->queue, sample.latency);
    uncount(s, r, &d->latency);
}

static void
on_response(struct sim *s, struct request *r, int a, int b)
{
    ggw_ms t = s->now - r->arrived;
    bool ok = r->result == GGW_ATTEMPT_OK;

    s->done += ok;
    s->failed += r->result == GGW_ATTEMPT_ERROR;
    s->shed += r->result == GGW_ATTEMPT_SHED;
    s->late += ok && s->now > r->deadline;
    s->useful[r->priority] += ok && s->now <= r->deadline;
    if (ok && r->arrived > 1000) {
        g_array_append_val(s->times, t);
    }
    if (r->domain >= 0) {
        after(s, to_server(s, r), on_release, r, 0, 0);
        return;
    }
    if (ok) {
        ggw_latency_add(&s->latency, s->now - r->started);
    }
    uncount(s, r, &s->latency);
}

/* From a gateway to the owner of a domain, which is its first gateway. */
static ggw_ms
to_owner(const struct sim *s, int gateway, int domain)
{
    const int *at = s->run.d->gateway_domain;
    bool first = gateway == 0 || at[gateway] != at[gateway - 1];

    return at[gateway] == domain && first ? 0
                                          : distance(s, at[gateway], domain);
}

static void
on_granted(struct sim *s, struct request *r, int a, int b)
{
    after(s, to_server(s, r), on_server, r, 0, 0);
}

static int
free_slots(const struct sim *s, int domain)
{
    int n = -(int)ggw_admission_len(s->domains[domain].queue);

    for (int i = 0; i < s->run.d->servers; i++) {
        const struct server *v = &s->servers[i];

        if (s->run.d->server_domain[i] == domain) {
            n += MAX(ggw_limit_slots(&v->limit) - v->counted, 0);
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
            ggw_limit_may_start(&v->limit, v->counted, s->now)) {
            c[i].in_flight = v->counted;
            c[i].limit = MAX(ggw_limit_slots(&v->limit), v->counted + 1);
        }
    }
    at = ggw_policy_pick(&s->policy[domain], c, MAX_SERVERS, s->now);
    if (at == GGW_POLICY_NONE) {
        return false;
    }
    v = &s->servers[at];
    ggw_limit_started(&v->limit, s->now);
    v->counted++;
    r->server = (int)at;
    r->started = s->now;
    after(s, to_owner(s, r->gateway, domain), on_granted, r, 0, 0);
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
on_spilled(struct sim *s, struct request *r, int domain, int back)
{
    if (back) {
        if (!grant(s, r, domain)) {
            enqueue(s, r, domain);
        }
    }
    else if (!grant(s, r, domain)) {
        after(s, s->run.d->between, on_spilled, r, r->domain, 1);
    }
}

/* Passes a request to another owner with free slots; false without one. */
static bool
spill(struct sim *s, struct request *r)
{
    int *free_of = s->domains[r->domain].free_of, best = 0;

    for (int i = 1; i < s->run.d->domains; i++) {
        best = free_of[i] > free_of[best] ? i : best;
    }
    if (free_of[best] <= 0) {
        return false;
    }
    free_of[best]--;
    after(s, s->run.d->between, on_spilled, r, best, 0);
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
    while (free_slots(s, domain) +
                   (int)ggw_admission_len(s->domains[domain].queue) >
               0 &&
           ggw_admission_pop(s->domains[domain].queue, s->now, &w)) {
        if (!grant(s, w.data, domain)) {
            enqueue(s, w.data, domain);
            break;
        }
    }
}

static void
on_ask(struct sim *s, struct request *r, int a, int b)
{
    serve_queue(s, r->domain);
    if (!grant(s, r, r->domain) && !spill(s, r)) {
        enqueue(s, r, r->domain);
    }
}

static void
on_advert(struct sim *s, struct request *r, int domain, int from)
{
    struct domain *d = &s->domains[domain];
    struct ggw_waiter w;

    d->free_of[from % MAX_DOMAINS] = from / MAX_DOMAINS;
    while (from / MAX_DOMAINS > 0 && d->free_of[from % MAX_DOMAINS] > 0 &&
           ggw_admission_pop(d->queue, s->now, &w)) {
        spill(s, w.data);
    }
}

static void
on_advert_tick(struct sim *s, struct request *r, int a, int b)
{
    for (int i = 0; i < s->run.d->domains; i++) {
        int n = MAX(free_slots(s, i), 0);

        serve_queue(s, i);
        for (int j = 0; j < s->run.d->domains; j++) {
            if (i != j) {
                after(s, s->run.d->between, on_advert, NULL, j,
                      n * MAX_DOMAINS + i);
            }
        }
    }
    if (s->live > 0 || s->arrivals > 0) {
        after(s, ADVERT, on_advert_tick, NULL, 0, 0);
    }
}

static void
send_direct(struct sim *s, struct request *r)
{
    struct ggw_candidate c[MAX_SERVERS] = {0};

    for (int i = 0; i < s->run.d->servers; i++) {
        c[i].in_flight = s->own[r->gateway][i];
        c[i].limit = INT_MAX;
        c[i].reported = s->run.report_age > 0;
        c[i].load = s->servers[i].visible;
        c[i].reported_at = s->now - s->run.report_age;
    }
    r->server = (int)ggw_policy_pick(&s->policy[r->gateway], c,
                                     (size_t)s->run.d->servers, s->now);
    r->started = s->now;
    s->own[r->gateway][r->server]++;
    after(s, to_server(s, r), on_server, r, 0, 0);
}

static double
capacity(const struct deployment *d)
{
    double spell = SPELL / SPELL_PERIOD;

    return d->servers * d->slots / MEAN_SERVICE *
           (1 - spell + spell / SPELL_SLOWER);
}

static void
on_arrival(struct sim *s, struct request *none, int a, int b)
{
    static const int priorities[] = {0, 1, 1, 1, 1, 1, 1, 2, 2, 2};
    struct request *r = g_new0(struct request, 1);

    s->live++;
    r->gateway = g_rand_int_range(s->rand, 0, GATEWAYS);
    r->arrived = s->now;
    r->deadline = s->now + s->run.timeout;
    if (s->run.load > 1) {
        r->priority = priorities[g_rand_int_range(s->rand, 0, 10)];
    }
    s->offered[r->priority]++;
    if (s->policy[0].ops == ggw_policy_find("slots")) {
        r->domain = s->run.d->gateway_domain[r->gateway];
        after(s, to_owner(s, r->gateway, r->domain), on_ask, r, 0, 0);
    }
    else {
        r->domain = -1;
        send_direct(s, r);
    }
    if (--s->arrivals > 0) {
        after(s, exponential(s, 1 / (s->run.load * capacity(s->run.d))),
              on_arrival, NULL, 0, 0);
    }
}

static void
simulate(struct sim *s, const struct run *run)
{
    const struct ggw_limit_rule rule = {run->d->slots, 1, 5000, run->ahead};

    *s = (struct sim){.run = *run, .arrivals = run->requests};
    s->rand = g_rand_new_with_seed(SEED);
    s->events = g_sequence_new(g_free);
    s->times = g_array_new(false, false, sizeof(ggw_ms));
    s->limit_dropped = INFINITY;
    for (int i = 0; i < run->d->servers; i++) {
        s->servers[i].phase = g_rand_double(s->rand) * SPELL_PERIOD;
        ggw_limit_init(&s->servers[i].limit, &rule, false, 0);
    }
    for (int i = 0; i < GATEWAYS; i++) {
        s->policy[i].ops = ggw_policy_find(run->policy);
        s->policy[i].rand = s->rand;
    }
    for (int i = 0; i < run->d->domains; i++) {
        s->domains[i].queue = ggw_admission_new(64);
    }
    after(s, 0, on_arrival, NULL, 0, 0);
    after(s, 0, on_advert_tick, NULL, 0, 0);
    while (run_next_event(s)) {
    }
    for (int i = 0; i < run->d->domains; i++) {
        ggw_admission_free(s->domains[i].queue);
    }
    g_sequence_free(s->events);
    g_rand_free(s->rand);
}

static int
compare(gconstpointer a, gconstpointer b)
{
    const ggw_ms *x = a, *y = b;

    return (*x > *y) - (*x < *y);
}

static ggw_ms
quantile(const struct sim *s, double q)
{
    return g_array_index(s->times, ggw_ms, (guint)(q * (s->times->len - 1)));
}

static void
print(const char *name, const char *what, double value, const char *unit)
{
    printf("%s_%s %.3f %s\n", name, what, value, unit);
}

static void
bench(const char *what, const struct run *run)
{
    struct sim *s = g_new(struct sim, 1);
    double percent = 100.0 / run->requests;
    char name[128];

    simulate(s, run);
    g_array_sort(s->times, compare);
    (void)snprintf(name, sizeof(name), "%s_%s_%s", run->d->name, run->policy,
                   what);
    print(name, "p50", quantile(s, 0.5), "ms");
    print(name, "p99", quantile(s, 0.99), "ms");
    print(name, "p99.9", quantile(s, 0.999), "ms");
    print(name, "refused", percent * s->refused, "%");
    print(name, "shed", percent * s->shed, "%");
    if (run->load > 1) {
        for (int i = 0; i < 3; i++) {
            (void)snprintf(name, sizeof(name), "%s_%s_%s_priority%d",
                           run->d->name, run->policy, what, i);
            print(name, "done_in_time",
                  100.0 * s->useful[i] / MAX(s->offered[i], 1), "%");
        }
        (void)snprintf(name, sizeof(name), "%s_%s_%s", run->d->name,
                       run->policy, what);
        print(name, "done_in_time_of_capacity",
              percent * (s->useful[0] + s->useful[1] + s->useful[2]) *
                  run->load,
              "%");
        print(name, "done_late", percent * s->late, "%");
    }
    if (run->fail_share > 0) {
        print(name, "failed", percent * s->failed, "%");
    }
    g_array_free(s->times, true);
    g_free(s);
}

/* Requests that reach a server from its turn to cold to the lower limit. */
static void
bench_turn_cold(struct run run)
{
    struct sim *s = g_new(struct sim, 1);
    int sum = 0, most = 0;

    run.requests = 20000;
    for (int i = 0; i < 20; i++) {
        run.cold_at = 500 + 37 * i;
        simulate(s, &run);
        sum += s->at_cold;
        most = MAX(most, s->at_cold);
        g_array_free(s->times, true);
    }
    print(run.d->name, "sent_after_turn_to_cold_mean", sum / 20.0, "requests");
    print(run.d->name, "sent_after_turn_to_cold_max", most, "requests");
    g_free(s);
}

static void
bench_loads(struct run run)
{
    static const int loads[] = {50, 80, 95};
    static const int ages[] = {1, 5, 25, 100};
    int aheads[] = {0, 1, run.d->slots};
    char what[64];

    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        run.load = loads[i] / 100.0;
        if (g_str_equal(run.policy, "slots")) {
            for (size_t k = 0; k < G_N_ELEMENTS(aheads); k++) {
                run.ahead = aheads[k];
                (void)snprintf(what, sizeof(what), "load%d_ahead%d", loads[i],
                               run.ahead);
                bench(what, &run);
            }
        }
        else if (g_str_equal(run.policy, "power_of_two")) {
            for (size_t k = 0; k < G_N_ELEMENTS(ages); k++) {
                run.report_age = ages[k];
                (void)snprintf(what, sizeof(what), "load%d_reports%dms",
                               loads[i], ages[k]);
                bench(what, &run);
            }
        }
        else {
            (void)snprintf(what, sizeof(what), "load%d", loads[i]);
            bench(what, &run);
        }
    }
}

static void
bench_faults(struct run run)
{
    struct run faulty = run;

    run.ahead = run.d->slots;
    run.report_age = 5;
    run.load = 0.8;
    faulty = run;
    faulty.cold_at = 5000;
    faulty.cold_for = 5000;
    bench("load80_one_cold", &faulty);
    if (g_str_equal(run.policy, "slots")) {
        bench_turn_cold(faulty);
    }
    faulty = run;
    faulty.fail_share = 1;
    bench("load80_one_fails", &faulty);
    faulty.fail_share = 0.5;
    bench("load80_one_fails_half", &faulty);
    faulty = run;
    faulty.slower = 10;
    bench("load80_one_slow", &faulty);
    run.load = 1.5;
    run.timeout = 100;
    run.server_queue = SERVER_QUEUE;
    bench("load150", &run);
}

int
main(void)
{
    static const struct deployment *const deployments[] = {&cairo, &mombasa};

    for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
        for (const char *const *p = ggw_policy_names(); *p != NULL; p++) {
            struct run run = {
                .d = deployments[i],
                .policy = *p,
                .requests = REQUESTS,
                .timeout = 1e6,
                .cold_at = 1e9,
                .server_queue = INT_MAX,
            };

            bench_loads(run);
            bench_faults(run);
        }
    }
    return 0;
}
