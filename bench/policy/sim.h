#ifndef GGW_BENCH_POLICY_SIM_H
#define GGW_BENCH_POLICY_SIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "decide/admission.h"
#include "decide/latency.h"
#include "decide/limit.h"
#include "decide/policy.h"

/**
 * DOC: simulation of the decision code
 *
 * Virtual time with a fixed seed: one service, no lost connections. A load is
 * a share of the slot capacity that remains with the slow phases of the
 * servers.
 */

#define SEED 1
#define MEAN_SERVICE_MS 4.0

/* In each period a server has one phase in which it is slower. */
#define SLOW_PHASE_MS 20.0
#define SLOW_PERIOD_MS 200.0
#define SLOW_FACTOR 4.0

/* Interval at which owners advertise their free slots to each other. */
#define ADVERT_INTERVAL_MS 5.0

/* Time that a server takes for an error or to shed a request. */
#define FAST_FAILURE_MS 0.2

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

/* events.c */

/* Runs @handle after a delay in ms. */
void sim_schedule(struct sim *s, ggw_ms delay, handler handle,
                  struct request *r, int a, int b);

/* Returns false when no event is left. */
bool sim_run_next_event(struct sim *s);
ggw_ms sim_exponential(struct sim *s, ggw_ms mean);
ggw_ms sim_network_delay(const struct sim *s, int domain, int other);
ggw_ms sim_delay_to_server(const struct sim *s, const struct request *r);

/* servers.c */
void sim_on_server_request(struct sim *s, struct request *r, int a, int b);

/* owners.c */
void sim_on_response(struct sim *s, struct request *r, int a, int b);
void sim_on_slot_request(struct sim *s, struct request *r, int a, int b);
void sim_on_advert_tick(struct sim *s, struct request *r, int a, int b);

/* Delay to the owner of a domain, which is the first gateway there, ms. */
ggw_ms sim_delay_to_owner(const struct sim *s, int gateway, int domain);

/* sim.c */

/**
 * sim_run() - simulate one run
 * @s: filled in; the caller frees its @latencies
 */
void sim_run(struct sim *s, const struct run *run);

#endif
