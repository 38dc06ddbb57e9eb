#include <CUnit/CUnit.h>
#include <math.h>
#include <stdio.h>

#include "decide/slots.h"
#include "tests/suite.h"

/**
 * DOC: Simulation of a service under overload
 *
 * Runs the ledger in virtual time and counts what the clients get. The load is
 * that of the busiest days: status lookups that take 120 ms, with a target of
 * 300 ms and a deadline of 1,500 ms, at 1.5 times the rate that the servers
 * can process.
 */

#define SERVERS 8
#define SLOTS 3

/* Times in ms; the processing time is the mean of all requests. */
#define PROCESSING_TIME 120.0
#define TARGET 300.0
#define DEADLINE 1500.0
#define DURATION 20000.0

#define REQUESTS 8000

/**
 * struct client_request - one request of the simulation
 * @arrived_at: virtual time of its arrival, ms
 * @processing_time: time that its processing takes, ms
 * @ends_at: virtual time at which its processing ends, ms; INFINITY while it
 *           is not running
 * @server: name of the server that runs it
 * @running: it has a grant and has not ended
 */
struct client_request {
    ggw_ms arrived_at;
    ggw_ms processing_time;
    ggw_ms ends_at;
    char *server;
    bool running;
};

/**
 * struct simulation - state and counts of one simulation
 * @ledger: ledger under test
 * @gate: restrictions of the ledger
 * @rand: source of the arrivals and processing times
 * @requests: requests that have arrived
 * @request_count: number of them
 * @targets: whether the requests state their target
 * @on_time: requests that ended within their target
 * @late: requests that ended after their target
 * @refused: requests that got no slot
 * @refused_at_once: requests refused within 1 ms of their arrival
 * @cut_off: requests that started and were cut off by their deadline
 */
struct simulation {
    struct ggw_ledger *ledger;
    struct ggw_ledger_grant_limits gate;
    GRand *rand;
    struct client_request requests[REQUESTS];
    int request_count;
    bool targets;
    int on_time;
    int late;
    int refused;
    int refused_at_once;
    int cut_off;
};

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

static void
apply_decisions(struct simulation *sim, ggw_ms now)
{
    struct ggw_ledger_decision d;

    while (ggw_ledger_decision(sim->ledger, &d)) {
        struct client_request *request = &sim->requests[d.id];

        if (d.answer == GGW_LEDGER_GRANTED) {
            request->running = true;
            request->server = d.server;
            request->ends_at = MIN(now + request->processing_time,
                                   request->arrived_at + DEADLINE);
            d.server = NULL;
        }
        else if (d.answer == GGW_LEDGER_REFUSED) {
            sim->refused++;
            sim->refused_at_once += now - request->arrived_at < 1;
        }
        g_free(d.holder);
        g_free(d.server);
    }
}

static void
start_request(struct simulation *sim, ggw_ms now)
{
    struct client_request *request = &sim->requests[sim->request_count];
    struct ggw_ledger_request slot_request = {
        .holder = "g",
        .id = (uint64_t)sim->request_count,
        .priority = 1,
        .deadline = now + DEADLINE,
        .may_queue = true,
        .target = sim->targets ? now + TARGET : 0,
        .median_latency = sim->targets ? PROCESSING_TIME : 0,
    };

    sim->request_count++;
    request->arrived_at = now;
    request->processing_time =
        PROCESSING_TIME * g_rand_double_range(sim->rand, 0.5, 1.5);
    request->ends_at = INFINITY;
    ggw_ledger_request(sim->ledger, &slot_request, now);
    apply_decisions(sim, now);
}

static void
end_request(struct simulation *sim, struct client_request *request, ggw_ms now)
{
    bool completed = now - request->arrived_at < DEADLINE;

    request->running = false;
    request->ends_at = INFINITY;
    sim->cut_off += !completed;
    sim->on_time += completed && now - request->arrived_at <= TARGET;
    sim->late += completed && now - request->arrived_at > TARGET;
    ggw_ledger_release(sim->ledger, "g", (uint64_t)(request - sim->requests),
                       request->server,
                       completed ? GGW_ATTEMPT_OK : GGW_ATTEMPT_CANCELLED,
                       PROCESSING_TIME, NULL, now);
    g_free(request->server);
    apply_decisions(sim, now);
}

static struct client_request *
next_to_end(struct simulation *sim)
{
    struct client_request *first = NULL;

    for (int i = 0; i < sim->request_count; i++) {
        if (sim->requests[i].running &&
            (first == NULL || sim->requests[i].ends_at < first->ends_at)) {
            first = &sim->requests[i];
        }
    }
    return first;
}

static struct simulation *
simulate_load(double load, bool targets)
{
    struct simulation *sim = g_new0(struct simulation, 1);
    double per_ms = load * SERVERS * SLOTS / PROCESSING_TIME;
    ggw_ms now = 0;
    ggw_ms arrival = 0;

    sim->rand = g_rand_new_with_seed(7);
    sim->gate.majority_valid_until = INFINITY;
    sim->targets = targets;
    sim->ledger = ggw_ledger_new(&sim->gate, sim->rand, -1e6);
    configure_servers(sim);
    while (now < DURATION && sim->request_count < REQUESTS) {
        struct client_request *request = next_to_end(sim);
        ggw_ms tick = ggw_ledger_next_tick(sim->ledger);

        now = MIN(arrival,
                  MIN(tick, request != NULL ? request->ends_at : INFINITY));
        if (request != NULL && request->ends_at <= now) {
            end_request(sim, request, now);
        }
        else if (arrival <= now) {
            start_request(sim, now);
            arrival = now - log(1 - g_rand_double(sim->rand)) / per_ms;
        }
        else {
            ggw_ledger_tick(sim->ledger, now);
            apply_decisions(sim, now);
        }
    }
    return sim;
}

static void
simulation_free(struct simulation *sim)
{
    for (int i = 0; i < sim->request_count; i++) {
        if (sim->requests[i].running) {
            g_free(sim->requests[i].server);
        }
    }
    ggw_ledger_free(sim->ledger);
    g_rand_free(sim->rand);
    g_free(sim);
}

static void
print(const char *name, const struct simulation *sim)
{
    printf("%s: %d requests, in target %.3f, late %.3f, refused %.3f "
           "(at once %.3f), wasted %.3f\n",
           name, sim->request_count, (double)sim->on_time / sim->request_count,
           (double)sim->late / sim->request_count,
           (double)sim->refused / sim->request_count,
           (double)sim->refused_at_once / sim->request_count,
           (double)sim->cut_off / sim->request_count);
}

/*
 * Guards against a queue in which every request misses its target under
 * overload: at 1.5 times the load that the servers can process, two thirds of
 * the requests could be served on time.
 */
static void
test_overload(void)
{
    struct simulation *with_targets = simulate_load(1.5, true);
    struct simulation *without_targets = simulate_load(1.5, false);

    print("targets", with_targets);
    print("first come first served", without_targets);
    CU_ASSERT_TRUE(with_targets->on_time >
                   0.85 * with_targets->request_count / 1.5);
    CU_ASSERT_TRUE(without_targets->on_time <
                   0.2 * without_targets->request_count);
    CU_ASSERT_EQUAL(with_targets->cut_off, 0);
    /* Clients that are refused at once can still go elsewhere. */
    CU_ASSERT_TRUE(with_targets->refused_at_once >
                   0.5 * with_targets->refused);
    simulation_free(with_targets);
    simulation_free(without_targets);
}

/* Guards against refused requests while the servers can process the load. */
static void
test_usual_load(void)
{
    struct simulation *sim = simulate_load(0.7, true);

    print("usual load", sim);
    CU_ASSERT_TRUE(sim->on_time > 0.98 * sim->request_count);
    CU_ASSERT_TRUE(sim->refused < 0.01 * sim->request_count);
    simulation_free(sim);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"overload", test_overload},
        {"usual load", test_usual_load},
        CU_TEST_INFO_NULL,
    };

    return suite_run("overload", tests);
}
