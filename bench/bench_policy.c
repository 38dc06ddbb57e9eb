#include <limits.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "decide/admission.h"
#include "decide/latency.h"
#include "decide/limit.h"
#include "decide/policy.h"

/*
 * Simulates the decision code in virtual time with a fixed seed: one service,
 * no lost connections. A load is a share of the slot capacity that remains
 * with the slow phases of the servers. Prints lines "name value unit".
 */

#define SEED 1
#define REQUESTS 100000
#define MEAN_SERVICE_MS 4.0

/* In each period a server has one phase in which it is slower. */
#define SLOW_PHASE_MS 20.0
#define SLOW_PERIOD_MS 200.0
#define SLOW_FACTOR 4.0

/* Interval at which owners advertise their free slots to each other. */
#define ADVERT_INTERVAL_MS 5.0

/* Time that a server takes for an error or to shed a request. */
#define FAST_FAILURE_MS 0.2

/* Queue length above which a server sheds, in the overload runs. */
#define SERVER_QUEUE 16

#define MAX_SERVERS 16
#define MAX_DOMAINS 4
#define GATEWAYS 6

struct deployment {
    const char *name;
    int domains, servers, slots;
    int server_domain[MAX_SERVERS];
    int gateway_domain[GATEWAYS];
    ggw_ms local_delay, cross_domain_delay; /* one way, ms */
};

static const struct deployment cairo = {
    "cairo_strand_status", 3,   10, 2, {0, 0, 0, 0, 1, 1, 1, 2, 2, 2},
    {0, 0, 1, 1, 2, 2},    0.1, 1,
};
static const struct deployment mombasa = {
    "mombasa_mooring_orders", 4,   8,   4, {0, 0, 1, 1, 2, 2, 3, 3},
    {0, 0, 1, 1, 2, 3},       0.1, 1.5,
};

/**
 * struct run - parameters of one simulation
 * @policy: "slots" simulates one owner per failure domain; with any other
 *          policy the gateways choose servers on their own
 * @requests: number of requests
 * @ahead: requests sent ahead to a warm server, see struct ggw_limit_rule
 * @server_queue: queue length above which a server sheds
 * @load: arrival rate as a share of the slot capacity
 * @report_age: delay of the load reports in ms, 0 for no reports
 * @timeout: time from arrival to deadline in ms
 * @cold_at: when server 0 turns cold, ms
 * @cold_for: how long server 0 stays cold, ms
 * @fail_share: share of the requests that server 0 fails at once
 * @slow_factor: factor on the service times of server 0, 0 for none
 */
struct run {
    const struct deployment *d;
    const char *policy;
    int requests, ahead, server_queue;
    double load;
    ggw_ms report_age, timeout;
    ggw_ms cold_at, cold_for;
    double fail_share, slow_factor;
};

struct request {
    int gateway, server, domain, priority;
    ggw_ms arrived, deadline, started;
    enum ggw_attempt_result result;
    bool cold; /* from the server's load report */
};

struct server {
    int busy;
    GQueue queue;
    double phase;      /* offset of its slow phases, ms */
    int reported_load; /* as known to the gateways */
    int granted;       /* slots, by the owner */
    struct ggw_limit limit;
};

struct domain {
    struct ggw_admission *queue;
    struct ggw_latency latency;
    int advertised_slots[MAX_DOMAINS]; /* of the other owners */
};

struct sim;
typedef void (*handler)(struct sim *s, struct request *r, int a, int b);

struct event {
    ggw_ms at;
    uint64_t order; /* of events at the same time */
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
    struct ggw_policy policy[GATEWAYS]; /* by gateway or owned domain */
    struct ggw_latency latency;
    struct server servers[MAX_SERVERS];
    struct domain domains[MAX_DOMAINS];
    /* requests in flight, by gateway and server */
    int sent_by[GATEWAYS][MAX_SERVERS];
    int arrivals, active;
    GArray *latencies;
    int done, done_in_time[3], offered[3], refused, shed, late, failed,
        sent_to_cold;
    ggw_ms limit_lowered_after; /* after cold_at, ms */
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
schedule(struct sim *s, ggw_ms delay, handler handle, struct request *r, int a,
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
network_delay(const struct sim *s, int domain, int other)
{
    return domain == other ? s->run.d->local_delay
                           : s->run.d->cross_domain_delay;
}

static ggw_ms
delay_to_server(const struct sim *s, const struct request *r)
{
    const struct deployment *d = s->run.d;

    return network_delay(s, d->gateway_domain[r->gateway],
                         d->server_domain[r->server]);
}

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

static void on_response(struct sim *s, struct request *r, int a, int b);
static void on_service_done(struct sim *s, struct request *r, int a, int b);
static void serve_queue(struct sim *s, int domain);

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
        schedule(s, s->run.report_age, on_load_report, NULL, server,
                 v->busy + (int)v->queue.length);
    }
}

static void
respond(struct sim *s, struct request *r, enum ggw_attempt_result result,
        ggw_ms delay)
{
    r->result = result;
    r->cold = is_cold(s, r->server);
    schedule(s, delay + delay_to_server(s, r), on_response, r, 0, 0);
}

static void
start_service(struct sim *s, struct request *r)
{
    struct server *v = &s->servers[r->server];

    ggw_ms work = exponential(s, MEAN_SERVICE_MS);

    work *= r->server == 0 && s->run.slow_factor > 0 ? s->run.slow_factor : 1;
    v->busy++;
    schedule(s, service_time(s, v, work), on_service_done, r, 0, 0);
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

static void
on_server_request(struct sim *s, struct request *r, int a, int b)
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

    schedule(s, ggw_limit_hold_time(r->result, held, latency->p90) - held,
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

static void
on_response(struct sim *s, struct request *r, int a, int b)
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
        schedule(s, delay_to_server(s, r), on_release, r, 0, 0);
        return;
    }
    if (ok) {
        ggw_latency_add(&s->latency, s->now - r->started);
    }
    release_slot(s, r, &s->latency);
}

/* Delay to the owner of a domain, which is the first gateway there, ms. */
static ggw_ms
delay_to_owner(const struct sim *s, int gateway, int domain)
{
    const int *at = s->run.d->gateway_domain;
    bool first = gateway == 0 || at[gateway] != at[gateway - 1];

    return at[gateway] == domain && first
               ? 0
               : network_delay(s, at[gateway], domain);
}

static void
on_grant(struct sim *s, struct request *r, int a, int b)
{
    schedule(s, delay_to_server(s, r), on_server_request, r, 0, 0);
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
    schedule(s, delay_to_owner(s, r->gateway, domain), on_grant, r, 0, 0);
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
        schedule(s, s->run.d->cross_domain_delay, on_spill, r, r->domain, 1);
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
    schedule(s, s->run.d->cross_domain_delay, on_spill, r, best, 0);
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

static void
on_slot_request(struct sim *s, struct request *r, int a, int b)
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

static void
on_advert_tick(struct sim *s, struct request *r, int a, int b)
{
    for (int i = 0; i < s->run.d->domains; i++) {
        int n = MAX(available_slots(s, i), 0);

        serve_queue(s, i);
        for (int j = 0; j < s->run.d->domains; j++) {
            if (i != j) {
                schedule(s, s->run.d->cross_domain_delay, on_advert, NULL, j,
                         n * MAX_DOMAINS + i);
            }
        }
    }
    if (s->active > 0 || s->arrivals > 0) {
        schedule(s, ADVERT_INTERVAL_MS, on_advert_tick, NULL, 0, 0);
    }
}

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
    schedule(s, delay_to_server(s, r), on_server_request, r, 0, 0);
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
        schedule(s, delay_to_owner(s, r->gateway, r->domain), on_slot_request,
                 r, 0, 0);
    }
    else {
        r->domain = -1;
        send_direct(s, r);
    }
    if (--s->arrivals > 0) {
        schedule(s, exponential(s, 1 / (s->run.load * capacity(s->run.d))),
                 on_arrival, NULL, 0, 0);
    }
}

static void
simulate(struct sim *s, const struct run *run)
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
    schedule(s, 0, on_arrival, NULL, 0, 0);
    schedule(s, 0, on_advert_tick, NULL, 0, 0);
    while (run_next_event(s)) {
    }
    for (int i = 0; i < run->d->domains; i++) {
        ggw_admission_free(s->domains[i].queue);
    }
    g_sequence_free(s->events);
    g_rand_free(s->rand);
}

static int
compare_latencies(gconstpointer a, gconstpointer b)
{
    const ggw_ms *x = a, *y = b;

    return (*x > *y) - (*x < *y);
}

static ggw_ms
quantile(const struct sim *s, double q)
{
    return g_array_index(s->latencies, ggw_ms,
                         (guint)(q * (s->latencies->len - 1)));
}

static void
print_result(const char *name, const char *what, double value,
             const char *unit)
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
    g_array_sort(s->latencies, compare_latencies);
    (void)snprintf(name, sizeof(name), "%s_%s_%s", run->d->name, run->policy,
                   what);
    print_result(name, "p50", quantile(s, 0.5), "ms");
    print_result(name, "p99", quantile(s, 0.99), "ms");
    print_result(name, "p99.9", quantile(s, 0.999), "ms");
    print_result(name, "refused", percent * s->refused, "%");
    print_result(name, "shed", percent * s->shed, "%");
    if (run->load > 1) {
        for (int i = 0; i < 3; i++) {
            (void)snprintf(name, sizeof(name), "%s_%s_%s_priority%d",
                           run->d->name, run->policy, what, i);
            print_result(name, "done_in_time",
                         100.0 * s->done_in_time[i] / MAX(s->offered[i], 1),
                         "%");
        }
        (void)snprintf(name, sizeof(name), "%s_%s_%s", run->d->name,
                       run->policy, what);
        print_result(name, "done_in_time_of_capacity",
                     percent *
                         (s->done_in_time[0] + s->done_in_time[1] +
                          s->done_in_time[2]) *
                         run->load,
                     "%");
        print_result(name, "done_late", percent * s->late, "%");
    }
    if (run->fail_share > 0) {
        print_result(name, "failed", percent * s->failed, "%");
    }
    g_array_free(s->latencies, true);
    g_free(s);
}

/*
 * Counts the requests that reach a server after it turned cold and before the
 * owner lowers its limit.
 */
static void
bench_cold_detection(struct run run)
{
    struct sim *s = g_new(struct sim, 1);
    int sum = 0, max = 0;

    run.requests = 20000;
    for (int i = 0; i < 20; i++) {
        run.cold_at = 500 + 37 * i;
        simulate(s, &run);
        sum += s->sent_to_cold;
        max = MAX(max, s->sent_to_cold);
        g_array_free(s->latencies, true);
    }
    print_result(run.d->name, "sent_after_turn_to_cold_mean", sum / 20.0,
                 "requests");
    print_result(run.d->name, "sent_after_turn_to_cold_max", max, "requests");
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
        bench_cold_detection(faulty);
    }
    faulty = run;
    faulty.fail_share = 1;
    bench("load80_one_fails", &faulty);
    faulty.fail_share = 0.5;
    bench("load80_one_fails_half", &faulty);
    faulty = run;
    faulty.slow_factor = 10;
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
