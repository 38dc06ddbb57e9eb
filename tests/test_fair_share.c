#include <CUnit/CUnit.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/admission.h"
#include "decide/slots.h"
#include "tests/suite.h"

/**
 * DOC: Simulation of customers that share a service
 *
 * Runs the ledger in virtual time and counts what the callers of each customer
 * get. The customers usually ask for 60% of the slot time of the service, in
 * shares that differ by a factor of 20; the settings allow each of them ten
 * times its usual rate.
 */

#define SERVERS 8
#define SLOTS 3
#define CUSTOMERS 20

/* Times in ms; the processing time is the mean of all requests. */
#define PROCESSING_TIME 120.0
#define TARGET 500.0
#define DEADLINE 2000.0
#define DURATION 20000.0

/* Usual load, as a fraction of the slot time of all servers. */
#define USUAL_LOAD 0.6

/* Allowed rate of a customer, as a multiple of its usual one. */
#define ALLOWED 10.0

/* Waiting requests and pops of the measurement. */
#define MANY 10000

#define MAX_REQUESTS 40000

/**
 * struct call - one attempt of a caller
 * @customer: index of the customer
 * @first_at: virtual time of the caller's first attempt, ms
 * @arrives_at: virtual time of this attempt, ms
 * @processing: time that it needs on a server, ms
 * @ends_at: virtual time at which it ends, ms; INFINITY while it is not
 * running
 * @repeats_left: times that the caller repeats it when it is refused
 * @server: server that runs it, or NULL
 */
struct call {
    int customer;
    ggw_ms first_at;
    ggw_ms arrives_at;
    ggw_ms processing;
    ggw_ms ends_at;
    int repeats_left;
    char *server;
};

/**
 * struct load - what the customers ask for
 * @times: multiple of its usual rate that each customer sends
 * @slow: customer whose requests take three times as long; -1: none
 * @repeats: times that a refused caller repeats its request, after 50 ms
 * @unlimited: the settings allow no customer a certain rate
 * @unnamed: the requests do not name their customer
 */
struct load {
    double times[CUSTOMERS];
    int slow;
    int repeats;
    bool unlimited;
    bool unnamed;
};

/**
 * struct counts - what the callers of one customer got
 * @asked: first attempts
 * @served: calls that ended before the deadline
 * @on_time: calls that ended within the target
 * @latencies: times in ms from the first attempt to the end, of served calls
 */
struct counts {
    int asked;
    int served;
    int on_time;
    GArray *latencies;
};

/**
 * struct simulation - state and counts of one simulation
 * @calls: all attempts; the index is the id of the request
 * @pending: struct call that have not arrived, in the order of their arrival
 * @running: indexes of the calls that run
 */
struct simulation {
    const struct load *load;
    struct ggw_ledger *ledger;
    struct ggw_ledger_grant_limits gate;
    GRand *rand;
    struct call *calls;
    int calls_len;
    GSequence *pending;
    GArray *running;
    struct counts counts[CUSTOMERS];
    char names[CUSTOMERS][8];
};

/* Usual share of a customer in all requests: from 1 to 20 parts. */
static double
usual_share(int customer)
{
    return (customer + 1) / (CUSTOMERS * (CUSTOMERS + 1) / 2.0);
}

/* Usual requests per ms of a customer. */
static double
usual_rate(int customer)
{
    return usual_share(customer) * USUAL_LOAD * SERVERS * SLOTS /
           PROCESSING_TIME;
}

static void
configure_servers(struct simulation *sim)
{
    static const struct ggw_limit_rule rule = {
        .slots = SLOTS, .cold_limit = 1, .cold_time = 1000};
    struct ggw_ledger_server_config servers[SERVERS];
    static char names[SERVERS][8];

    for (int i = 0; i < SERVERS; i++) {
        g_snprintf(names[i], sizeof(names[i]), "s%d", i);
        servers[i] =
            (struct ggw_ledger_server_config){.name = names[i], .warm = true};
    }
    ggw_ledger_configure(sim->ledger, &rule, 200, servers, SERVERS, 0);
}

static gint
by_arrival(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct call *x = a, *y = b;

    return (x->arrives_at > y->arrives_at) - (x->arrives_at < y->arrives_at);
}

static void
add_call(struct simulation *sim, const struct call *call)
{
    struct call *c = &sim->calls[sim->calls_len];

    g_assert(sim->calls_len < MAX_REQUESTS);
    sim->calls_len++;
    *c = *call;
    g_sequence_insert_sorted(sim->pending, c, by_arrival, NULL);
}

/* Draws the first attempts of all callers. */
static void
draw_calls(struct simulation *sim)
{
    for (int i = 0; i < CUSTOMERS; i++) {
        double per_ms = usual_rate(i) * sim->load->times[i];
        double mean = PROCESSING_TIME * (i == sim->load->slow ? 3 : 1);
        ggw_ms at = 0;

        while (per_ms > 0) {
            struct call call = {.customer = i,
                                .ends_at = INFINITY,
                                .repeats_left = sim->load->repeats};

            at -= log(1 - g_rand_double(sim->rand)) / per_ms;
            if (at >= DURATION) {
                break;
            }
            call.first_at = at;
            call.arrives_at = at;
            call.processing = mean * g_rand_double_range(sim->rand, 0.5, 1.5);
            add_call(sim, &call);
            sim->counts[i].asked++;
        }
    }
}

static void
repeat_call(struct simulation *sim, const struct call *refused, ggw_ms now)
{
    struct call again = *refused;

    if (refused->repeats_left > 0 && now + 50 < refused->first_at + DEADLINE) {
        again.repeats_left--;
        again.arrives_at = now + 50;
        add_call(sim, &again);
    }
}

static void
apply_decisions(struct simulation *sim, ggw_ms now)
{
    struct ggw_ledger_decision d;

    while (ggw_ledger_decision(sim->ledger, &d)) {
        struct call *c = &sim->calls[d.id];
        int index = (int)d.id;

        if (d.answer == GGW_LEDGER_GRANTED) {
            c->server = g_strdup(d.server);
            c->ends_at = MIN(now + c->processing, c->first_at + DEADLINE);
            g_array_append_val(sim->running, index);
        }
        else if (d.answer == GGW_LEDGER_REFUSED) {
            repeat_call(sim, c, now);
        }
        g_free(d.holder);
        g_free(d.server);
    }
}

static void
start_call(struct simulation *sim, const struct call *c)
{
    double rate = 1e3 * ALLOWED * usual_rate(c->customer);
    struct ggw_ledger_request request = {
        .holder = "g",
        .id = (uint64_t)(c - sim->calls),
        .priority = 1,
        .deadline = c->first_at + DEADLINE,
        .may_queue = true,
        .target = c->first_at + TARGET,
        .median_latency = PROCESSING_TIME,
        .customer = sim->load->unnamed ? NULL : sim->names[c->customer],
        .customer_rate = sim->load->unlimited ? 0 : rate,
    };

    ggw_ledger_request(sim->ledger, &request, c->arrives_at);
    apply_decisions(sim, c->arrives_at);
}

/* Returns the position in sim->running of the call that ends first, or -1. */
static int
next_to_end(const struct simulation *sim)
{
    int first = -1;
    ggw_ms at = INFINITY;

    for (guint i = 0; i < sim->running->len; i++) {
        const struct call *c =
            &sim->calls[g_array_index(sim->running, int, i)];

        if (c->ends_at < at) {
            first = (int)i;
            at = c->ends_at;
        }
    }
    return first;
}

static void
end_call(struct simulation *sim, int position)
{
    int index = g_array_index(sim->running, int, position);
    struct call *c = &sim->calls[index];
    struct counts *counts = &sim->counts[c->customer];
    ggw_ms latency = c->ends_at - c->first_at;
    bool completed = latency < DEADLINE;

    g_array_remove_index_fast(sim->running, (guint)position);
    if (completed) {
        counts->served++;
        counts->on_time += latency <= TARGET;
        g_array_append_val(counts->latencies, latency);
    }
    ggw_ledger_release(sim->ledger, "g", (uint64_t)index, c->server,
                       completed ? GGW_ATTEMPT_OK : GGW_ATTEMPT_CANCELLED,
                       c->processing, NULL, c->ends_at);
    g_free(c->server);
    apply_decisions(sim, c->ends_at);
}

/* Handles the next event. Returns false after the last one. */
static bool
step(struct simulation *sim)
{
    GSequenceIter *first = g_sequence_get_begin_iter(sim->pending);
    struct call *arriving =
        g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
    int ending = next_to_end(sim);
    ggw_ms ends_at =
        ending >= 0
            ? sim->calls[g_array_index(sim->running, int, ending)].ends_at
            : INFINITY;
    ggw_ms arrives_at = arriving != NULL ? arriving->arrives_at : INFINITY;
    ggw_ms tick = ggw_ledger_next_tick(sim->ledger);

    if (isinf(ends_at) && isinf(arrives_at)) {
        return false;
    }
    if (tick < MIN(ends_at, arrives_at)) {
        ggw_ledger_tick(sim->ledger, tick);
        apply_decisions(sim, tick);
    }
    else if (ends_at <= arrives_at) {
        end_call(sim, ending);
    }
    else if (arriving != NULL) {
        g_sequence_remove(first);
        start_call(sim, arriving);
    }
    return true;
}

static struct simulation *
simulate(const struct load *load)
{
    struct simulation *sim = g_new0(struct simulation, 1);

    sim->load = load;
    sim->rand = g_rand_new_with_seed(7);
    sim->gate.majority_valid_until = INFINITY;
    sim->ledger = ggw_ledger_new(&sim->gate, sim->rand, -1e6);
    sim->calls = g_new0(struct call, MAX_REQUESTS);
    sim->pending = g_sequence_new(NULL);
    sim->running = g_array_new(FALSE, FALSE, sizeof(int));
    for (int i = 0; i < CUSTOMERS; i++) {
        g_snprintf(sim->names[i], sizeof(sim->names[i]), "c%d", i);
        sim->counts[i].latencies = g_array_new(FALSE, FALSE, sizeof(ggw_ms));
    }
    configure_servers(sim);
    draw_calls(sim);
    while (step(sim)) {
    }
    return sim;
}

static void
simulation_free(struct simulation *sim)
{
    for (int i = 0; i < CUSTOMERS; i++) {
        g_array_unref(sim->counts[i].latencies);
    }
    ggw_ledger_free(sim->ledger);
    g_sequence_free(sim->pending);
    g_array_unref(sim->running);
    g_rand_free(sim->rand);
    g_free(sim->calls);
    g_free(sim);
}

static double
served_share(const struct counts *c)
{
    return c->asked > 0 ? (double)c->served / c->asked : 1;
}

static int
compare_times(const void *a, const void *b)
{
    const ggw_ms *x = a, *y = b;

    return (*x > *y) - (*x < *y);
}

static ggw_ms
p99(const struct counts *c)
{
    if (c->latencies->len == 0) {
        return 0;
    }
    g_array_sort(c->latencies, compare_times);
    return g_array_index(c->latencies, ggw_ms,
                         (guint)(0.99 * (c->latencies->len - 1)));
}

static double
served_of_all(const struct simulation *sim)
{
    struct counts all = {0};

    for (int i = 0; i < CUSTOMERS; i++) {
        all.asked += sim->counts[i].asked;
        all.served += sim->counts[i].served;
    }
    return served_share(&all);
}

static void
print(const char *name, const struct simulation *sim)
{
    printf("\n%s: served %.3f\n", name, served_of_all(sim));
    for (int i = 0; i < CUSTOMERS; i++) {
        const struct counts *c = &sim->counts[i];

        printf("  c%-2d x%-4.1f asked %5d served %.3f on time %.3f p99 %4.0f "
               "ms\n",
               i, sim->load->times[i], c->asked, served_share(c),
               c->asked > 0 ? (double)c->on_time / c->asked : 1, p99(c));
    }
}

/* Sets the usual rate for all customers. */
static struct load
usual_load(void)
{
    struct load load = {.slow = -1};

    for (int i = 0; i < CUSTOMERS; i++) {
        load.times[i] = 1;
    }
    return load;
}

/* Checks that no customer is served much less often than all. */
static void
check_nobody_starves(const struct simulation *sim)
{
    for (int i = 0; i < CUSTOMERS; i++) {
        CU_ASSERT_TRUE(served_share(&sim->counts[i]) >=
                       served_of_all(sim) / 4);
    }
}

/* Checks that customers at their usual rate get what they usually get. */
static void
check_usual_served(const struct simulation *sim, double least)
{
    for (int i = 0; i < CUSTOMERS; i++) {
        const struct counts *c = &sim->counts[i];

        if (sim->load->times[i] <= 1 && i != sim->load->slow) {
            CU_ASSERT_TRUE(served_share(c) >= least);
            CU_ASSERT_TRUE(p99(c) <= TARGET);
        }
    }
}

/* Returns the share of the customers at their usual rate that is served. */
static double
usual_served(const struct simulation *sim)
{
    struct counts usual = {0};

    for (int i = 0; i < CUSTOMERS; i++) {
        if (sim->load->times[i] <= 1) {
            usual.asked += sim->counts[i].asked;
            usual.served += sim->counts[i].served;
        }
    }
    return served_share(&usual);
}

/*
 * Load: the largest customer sends 10 times its usual, within what it may
 * send. Guards against callers of the others that are refused or late because
 * of it, as they are if the requests do not name their customers.
 */
static void
test_one_hot(void)
{
    struct load load = usual_load();
    struct simulation *sim;

    load.times[CUSTOMERS - 1] = 10;
    sim = simulate(&load);
    print("one customer at 10 times its usual", sim);
    check_usual_served(sim, 0.95);
    check_nobody_starves(sim);
    CU_ASSERT_TRUE(usual_served(sim) >= 0.99);
    simulation_free(sim);
    load.unnamed = true;
    sim = simulate(&load);
    print("the same without names of customers", sim);
    CU_ASSERT_TRUE(usual_served(sim) < 0.95);
    simulation_free(sim);
}

/*
 * Load: three customers, among them a small one, send 5 times their usual at
 * once. Guards against others that pay for them.
 */
static void
test_three_hot(void)
{
    struct load load = usual_load();
    struct simulation *sim;

    load.times[4] = 5;
    load.times[18] = 5;
    load.times[19] = 5;
    sim = simulate(&load);
    print("three customers at 5 times their usual", sim);
    check_usual_served(sim, 0.95);
    check_nobody_starves(sim);
    simulation_free(sim);
}

/*
 * Load: all customers send 3 times their usual. Guards against customers that
 * are served much less often than others since they are large or small.
 */
static void
test_burst_of_all(void)
{
    struct load load = usual_load();
    struct simulation *sim;

    for (int i = 0; i < CUSTOMERS; i++) {
        load.times[i] = 3;
    }
    sim = simulate(&load);
    print("all at 3 times their usual", sim);
    for (int i = 0; i < CUSTOMERS; i++) {
        CU_ASSERT_TRUE(served_share(&sim->counts[i]) >=
                       0.6 * served_of_all(sim));
    }
    simulation_free(sim);
}

/*
 * Load: the same without rates in the settings, so that the shares of large
 * and small customers cannot follow from them. Guards against a large customer
 * that starves.
 */
static void
test_burst_without_rates(void)
{
    struct load load = usual_load();
    struct simulation *sim;

    for (int i = 0; i < CUSTOMERS; i++) {
        load.times[i] = 3;
    }
    load.unlimited = true;
    sim = simulate(&load);
    print("all at 3 times their usual, no rates", sim);
    check_nobody_starves(sim);
    simulation_free(sim);
}

/*
 * Load: one customer sends 10 times its usual, and its callers repeat refused
 * requests at once, up to 10 times. Guards against callers that get more than
 * their share because they repeat.
 */
static void
test_repeats(void)
{
    struct load load = usual_load();
    struct simulation *sim;

    load.times[CUSTOMERS - 1] = 10;
    load.repeats = 10;
    sim = simulate(&load);
    print("one at 10 times its usual, callers repeat", sim);
    check_usual_served(sim, 0.95);
    check_nobody_starves(sim);
    simulation_free(sim);
}

/*
 * Load: a customer whose requests take three times as long as others' sends 5
 * times its usual. Guards against turns that count requests instead of slot
 * time.
 */
static void
test_slow_requests(void)
{
    struct load load = usual_load();
    struct simulation *sim;

    load.times[15] = 5;
    load.slow = 15;
    sim = simulate(&load);
    print("one at 5 times its usual with slow requests", sim);
    check_usual_served(sim, 0.95);
    check_nobody_starves(sim);
    simulation_free(sim);
}

static struct ggw_waiter
customer_waiter(uint64_t id, const char *customer)
{
    return (struct ggw_waiter){
        .id = id, .priority = 1, .deadline = 1e9, .customer = customer};
}

static void
push(struct ggw_admission *a, uint64_t id, const char *customer)
{
    struct ggw_waiter w = customer_waiter(id, customer), displaced;

    CU_ASSERT_EQUAL(ggw_admission_push(a, &w, 0, &displaced),
                    GGW_ADMISSION_QUEUED);
}

static uint64_t
pop(struct ggw_admission *a)
{
    struct ggw_waiter w = {0};

    CU_ASSERT_TRUE(ggw_admission_pop(a, 0, &w));
    return w.id;
}

/*
 * Guards against a customer that is idle for long and then is served alone,
 * since it has saved up turns.
 */
static void
test_idle_saves_nothing(void)
{
    struct ggw_admission *a = ggw_admission_new(100);
    int late = 0;

    ggw_admission_set_slots(a, 100);
    for (uint64_t id = 1; id <= 40; id++) {
        push(a, id, "busy");
    }
    for (int i = 0; i < 20; i++) {
        pop(a);
    }
    for (uint64_t id = 101; id <= 120; id++) {
        push(a, id, "idle");
    }
    for (int i = 0; i < 20; i++) {
        late += pop(a) > 100;
    }
    CU_ASSERT_TRUE(late >= 6 && late <= 14);
    ggw_admission_free(a);
}

/*
 * Guards against a full queue of one customer that keeps others out, and
 * against a customer that displaces its own requests.
 */
static void
test_longest_gives_way(void)
{
    struct ggw_admission *a = ggw_admission_new(10);
    struct ggw_waiter w = customer_waiter(21, "small"), out = {0};

    ggw_admission_set_slots(a, 10);
    for (uint64_t id = 1; id <= 8; id++) {
        push(a, id, "hot");
    }
    push(a, 11, "other");
    push(a, 12, "other");
    CU_ASSERT_EQUAL(ggw_admission_push(a, &w, 0, &out),
                    GGW_ADMISSION_DISPLACED);
    CU_ASSERT_EQUAL(out.id, 8);
    w = customer_waiter(9, "hot");
    CU_ASSERT_EQUAL(ggw_admission_push(a, &w, 0, &out), GGW_ADMISSION_FULL);
    CU_ASSERT_EQUAL(ggw_admission_len(a), 10);
    ggw_admission_free(a);
}

/*
 * Guards against turns of customers that come before priorities, or before
 * requests that can still be on time.
 */
static void
test_priorities_first(void)
{
    struct ggw_admission *a = ggw_admission_new(100);
    struct ggw_waiter w, out;

    ggw_admission_set_slots(a, 100);
    for (uint64_t id = 1; id <= 5; id++) {
        push(a, id, "hot");
    }
    w = customer_waiter(11, "low");
    w.priority = 2;
    ggw_admission_push(a, &w, 0, &out);
    w = customer_waiter(12, "late");
    w.on_time_until = 10;
    ggw_admission_push(a, &w, 0, &out);
    for (uint64_t id = 1; id <= 5; id++) {
        struct ggw_waiter next;

        CU_ASSERT_TRUE(ggw_admission_pop(a, 20, &next));
        CU_ASSERT_EQUAL(next.id, id);
    }
    CU_ASSERT_EQUAL(pop(a), 11);
    CU_ASSERT_EQUAL(pop(a), 12);
    ggw_admission_free(a);
}

/*
 * Prints the cost of a push and a pop with 10,000 waiting requests of
 * @customers customers.
 */
static void
measure(int customers)
{
    struct ggw_admission *a = ggw_admission_new(2 * MANY);
    struct ggw_waiter out;
    gint64 start;
    gint64 pushes, pops;

    ggw_admission_set_slots(a, MANY);
    for (int i = 0; i < MANY; i++) {
        g_autofree char *name = g_strdup_printf("c%d", i % MAX(customers, 1));

        push(a, (uint64_t)i + 1, customers > 0 ? name : NULL);
    }
    start = g_get_monotonic_time();
    for (int i = 0; i < 100; i++) {
        g_autofree char *name = g_strdup_printf("c%d", i % MAX(customers, 1));

        push(a, (uint64_t)(MANY + i + 1), customers > 0 ? name : NULL);
    }
    pushes = g_get_monotonic_time() - start;
    start = g_get_monotonic_time();
    for (int i = 0; i < 100; i++) {
        CU_ASSERT_TRUE(ggw_admission_pop(a, 0, &out));
    }
    pops = g_get_monotonic_time() - start;
    printf("\n%d waiting of %d customers: push %.2f us, pop %.2f us\n", MANY,
           customers, pushes / 100.0, pops / 100.0);
    ggw_admission_free(a);
}

/* Guards against requests that are lost in a long queue; prints its cost. */
static void
test_many_waiting(void)
{
    measure(0);
    measure(1);
    measure(86);
    measure(MANY);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"one hot", test_one_hot},
        {"three hot", test_three_hot},
        {"burst of all", test_burst_of_all},
        {"burst without rates", test_burst_without_rates},
        {"repeats", test_repeats},
        {"slow requests", test_slow_requests},
        {"idle saves nothing", test_idle_saves_nothing},
        {"longest gives way", test_longest_gives_way},
        {"priorities first", test_priorities_first},
        {"many waiting", test_many_waiting},
        CU_TEST_INFO_NULL,
    };

    return suite_run("fair_share", tests);
}
