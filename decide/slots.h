#ifndef GGW_DECIDE_SLOTS_H
#define GGW_DECIDE_SLOTS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "decide/exposure.h"
#include "decide/limit.h"
#include "decide/policy.h"
#include "kernel/clock.h"
#include "slots/slots.h"

/**
 * DOC: Slot ledger of one service in one failure domain, or in all of them
 *      (design 5.1)
 *
 * The gateway that owns these servers of the service keeps the ledger: the
 * servers, the grants in flight to all gateways and the queued requests. The
 * code does no I/O; the caller passes in the time and the random numbers.
 */

/*
 * For this time in ms after it took over, a new owner grants no slots on
 * servers that are not warm.
 */
#define GGW_LEDGER_HOLD_DOWN 1000.0

/*
 * A grant without a release expires this many ms after the deadline of its
 * request. The holder and the backend server both enforce the deadline itself.
 */
#define GGW_LEDGER_EXPIRY_MARGIN 500.0

/*
 * Requests that are refused because all servers want a pause are told to come
 * back at some time within this many ms after the end of the first pause: the
 * server is cold then.
 */
#define GGW_RETURN_SPREAD 500.0

/**
 * struct ggw_ledger_grant_limits - times that restrict all ledgers of a
 *                                  gateway
 * @stopped_until: no slot is granted before this time, because the event loop
 *                 stalled; monotonic ms
 * @majority_valid_until: a majority of the gateways counts this one as alive
 *                        until this time, monotonic ms; after it, slots are
 *                        granted only on warm servers and in services with a
 *                        cold rate
 */
struct ggw_ledger_grant_limits {
    ggw_ms stopped_until;
    ggw_ms majority_valid_until;
};

/**
 * struct ggw_ledger_server_config - server data from the VM list and the
 *                                   settings
 * @name: name of the backend server
 * @failure_domain: failure domain of the server, or NULL
 * @incarnation: incarnation in the VM list; 0: not known
 * @cold_until: end of the cold start, monotonic ms; 0: the server is warm
 * @slots: requests that the server runs concurrently; 0: use the rule's number
 * @closed: the server takes no new requests: it is leaving or draining, or the
 *          service has no rule
 * @out: its failure domain is out of service; the server is cold when the
 *       failure domain returns
 * @warm: another owner has announced the server as warm
 * @reports_cold: @cold_until is valid
 * @paused_until: end of the pause that the server wants, monotonic ms; 0:
 * none. The server is closed until then and cold afterwards.
 * @version: version that the server runs; NULL: unknown
 */
struct ggw_ledger_server_config {
    const char *name;
    const char *failure_domain;
    uint64_t incarnation;
    ggw_ms cold_until;
    int slots;
    bool closed;
    bool out;
    bool warm;
    bool reports_cold;
    ggw_ms paused_until;
    const char *version;
};

/**
 * struct ggw_ledger_request - request for a slot
 * @holder: name of the requesting gateway; @holder and @id identify the grant
 * @id: identifier of the request, unique per holder
 * @priority: 0 is the highest
 * @deadline: end of the request, monotonic ms
 * @avoid: NULL-terminated names of servers that the request already tried, or
 *         NULL
 * @may_queue: if false, the request is refused when no slot is free
 * @target: time until which the response has its full value, monotonic ms;
 *          0: none
 * @median_latency: median latency of requests of this kind, ms; 0: not known
 * @failure_domain: failure domain of the holder, or NULL
 * @cross_domain_cost: cost of a server in another failure domain, as a
 *                     multiple of the usual latency of the request
 * @customer: name of the customer that sent the request, or NULL
 * @customer_rate: requests per second that the settings allow the customer; 0:
 *                 not limited
 * @route: name of the route or kind of the request, or NULL
 * @hedge: the slot is for a second attempt beside one that is in progress
 * @once: the request may not be sent again after it may have run
 */
struct ggw_ledger_request {
    const char *holder;
    uint64_t id;
    int priority;
    ggw_ms deadline;
    char *const *avoid;
    bool may_queue;
    ggw_ms target;
    ggw_ms median_latency;
    const char *failure_domain;
    double cross_domain_cost;
    const char *customer;
    double customer_rate;
    const char *route;
    bool hedge;
    bool once;
};

/**
 * enum ggw_ledger_answer - answer to a request for a slot
 * @GGW_LEDGER_GRANTED: the holder may send the request to the named server
 * @GGW_LEDGER_QUEUED: the request waits; a further decision follows
 * @GGW_LEDGER_REFUSED: the request gets no slot
 */
enum ggw_ledger_answer {
    GGW_LEDGER_GRANTED,
    GGW_LEDGER_QUEUED,
    GGW_LEDGER_REFUSED,
};

/**
 * struct ggw_ledger_decision - answer to send to the holder of a request
 * @holder: name of the gateway; free with g_free()
 * @id: identifier of the request
 * @answer: kind of the answer
 * @server: name of the granted server, or NULL; free with g_free()
 * @reason: reason of a refusal
 * @retry_after: for a refusal, delay before the client retries, ms
 */
struct ggw_ledger_decision {
    char *holder;
    uint64_t id;
    enum ggw_ledger_answer answer;
    char *server;
    enum ggw_slot_refusal reason;
    ggw_ms retry_after;
};

/**
 * struct ggw_ledger_handover_record - server or grant that is handed to the
 *                                     next owner
 * @server: name of the backend server
 * @incarnation: incarnation of the server; 0: not known
 * @warm: all slots of the server may be used
 * @holder: gateway that holds the grant; NULL for a server
 * @id: identifier of the grant's request
 * @expires_in: time until the grant expires, ms
 */
struct ggw_ledger_handover_record {
    const char *server;
    uint64_t incarnation;
    bool warm;
    const char *holder;
    uint64_t id;
    ggw_ms expires_in;
};

struct ggw_ledger;

/**
 * ggw_ledger_new() - create an empty ledger and start its hold-down
 * @grant_limits: shared by all ledgers of the gateway; must outlive the ledger
 * @rand: random numbers, owned by the caller; must outlive the ledger
 * @now: monotonic ms
 *
 * Return: ledger; free with ggw_ledger_free().
 */
struct ggw_ledger *
ggw_ledger_new(const struct ggw_ledger_grant_limits *grant_limits, GRand *rand,
               ggw_ms now);

/**
 * ggw_ledger_free() - free a ledger and its pending decisions
 * @l: ledger, or NULL
 */
void ggw_ledger_free(struct ggw_ledger *l);

/**
 * ggw_ledger_configure() - apply settings and the list of servers
 * @rule: settings of the service that determine the limits of its servers
 * @queue: maximum number of queued requests
 * @servers: all servers that the ledger counts; others are removed with their
 *           grants
 * @len: number of servers
 *
 * Refuses the waiting requests if no server is left.
 */
void ggw_ledger_configure(struct ggw_ledger *l,
                          const struct ggw_limit_rule *rule, int queue,
                          const struct ggw_ledger_server_config *servers,
                          size_t len, ggw_ms now);

/**
 * ggw_ledger_set_policy() - set the policy that picks servers
 * @policy: a policy with ggw_policy_ops.needs_owner
 * @busy_percent: percentage of its slots above which a server slows down; 0 or
 *                100 for servers that do not
 */
void ggw_ledger_set_policy(struct ggw_ledger *l,
                           const struct ggw_policy_ops *policy,
                           int busy_percent);

/**
 * ggw_ledger_set_exposure() - apply the stage of a roll-out
 * @limits: stage; NULL for none. It must stay valid until the next call or
 *          the end of the ledger.
 * @owners: number of ledgers that share the slack of the order
 *
 * A ledger starts to count when it learns of an order; the counts of another
 * owner are not handed over, since each owner earns its own allowance.
 * ggw_ledger_tick() or ggw_ledger_configure() grants the slots that became
 * free.
 */
void ggw_ledger_set_exposure(struct ggw_ledger *l,
                             const struct ggw_exposure_limits *limits,
                             int owners, ggw_ms now);

/**
 * ggw_ledger_set_hedge_work() - limit the slot time of hedges
 * @percent: slot time of hedges in percent of that of other grants; 0: hedges
 *           get slots like other requests
 *
 * With a limit, a hedge never waits for a slot. It gets one only while no
 * request waits and enough slots are free, on a warm server that the request
 * has not tried and that a recent load report shows to be fast.
 */
void ggw_ledger_set_hedge_work(struct ggw_ledger *l, double percent);

/**
 * ggw_ledger_granted_old() - number of grants in use on servers that do not
 *                            run the new version of a roll-out
 */
int ggw_ledger_granted_old(const struct ggw_ledger *l);

/**
 * ggw_ledger_probe_candidates() - list the servers to probe before a request
 *                                 is granted
 * @request: request for a slot
 * @max_age: servers with a load report of at most this age, in ms, are not
 *           listed
 * @names: filled with names in the order in which the policy picks the
 *         servers; they belong to the ledger
 * @max: maximum number of names
 *
 * The list ends before the first server that a recent report shows to be as
 * fast as usual.
 *
 * Return: number of names; 0 if other requests wait already.
 */
size_t ggw_ledger_probe_candidates(struct ggw_ledger *l,
                                   const struct ggw_ledger_request *request,
                                   ggw_ms max_age, const char **names,
                                   size_t max, ggw_ms now);

/**
 * ggw_ledger_extend_hold_down() - extend the hold-down
 * @until: no slots on servers that are not warm are granted before this time,
 *         monotonic ms; an earlier time than the current one has no effect
 */
void ggw_ledger_extend_hold_down(struct ggw_ledger *l, ggw_ms until);

/**
 * ggw_ledger_request() - request a slot
 *
 * The answer is queued for ggw_ledger_decision(). A repeated request with the
 * same holder and id gets the same answer again, but none while a failed
 * attempt of it still occupies its slot.
 */
void ggw_ledger_request(struct ggw_ledger *l,
                        const struct ggw_ledger_request *request, ggw_ms now);

/**
 * ggw_ledger_cancel() - remove a waiting request or give back its unused grant
 */
void ggw_ledger_cancel(struct ggw_ledger *l, const char *holder, uint64_t id,
                       ggw_ms now);

/**
 * ggw_ledger_release() - record the end of an attempt and release its slot
 * @holder: gateway that holds the grant
 * @id: identifier of the request
 * @server: name of the server, used if this owner does not know the grant
 * @result: how the attempt ended
 * @latency: time from sending the request to the end of the response head, or
 *           to the end of the attempt if no head arrived, ms
 * @report: load report of the response, or NULL
 *
 * The slot of an attempt that failed stays occupied for ggw_limit_hold_time().
 */
void ggw_ledger_release(struct ggw_ledger *l, const char *holder, uint64_t id,
                        const char *server, enum ggw_attempt_result result,
                        ggw_ms latency, const struct ggw_load_report *report,
                        ggw_ms now);

/**
 * ggw_ledger_report() - apply the load report of a probe
 */
void ggw_ledger_report(struct ggw_ledger *l, const char *server,
                       const struct ggw_load_report *report, ggw_ms now);

/**
 * ggw_ledger_gateway_lost() - drop the waiting requests of a lost gateway
 * @holder: name of the gateway
 *
 * Its grants stay until they expire, because its requests may still run.
 */
void ggw_ledger_gateway_lost(struct ggw_ledger *l, const char *holder,
                             ggw_ms now);

/**
 * ggw_ledger_import() - import a server state or a grant of another owner
 *
 * A grant occupies a slot even above the limit. A server state is applied only
 * while this owner has no result or load report of the server itself.
 */
void ggw_ledger_import(struct ggw_ledger *l,
                       const struct ggw_ledger_handover_record *record,
                       ggw_ms now);

/**
 * ggw_ledger_export() - export the servers and grants for the next owner
 *
 * Return: array of struct ggw_ledger_handover_record whose strings belong to
 * the ledger; the caller frees the array.
 */
GArray *ggw_ledger_export(const struct ggw_ledger *l, ggw_ms now);

/**
 * ggw_ledger_tick() - expire grants and waiting requests, then grant the slots
 *                     that became free
 */
void ggw_ledger_tick(struct ggw_ledger *l, ggw_ms now);

/**
 * ggw_ledger_next_tick() - time at which ggw_ledger_tick() has to run next
 *
 * Return: monotonic ms, INFINITY if nothing is pending.
 */
ggw_ms ggw_ledger_next_tick(const struct ggw_ledger *l);

/**
 * ggw_ledger_decision() - remove the oldest pending decision
 * @decision: filled with the decision; the caller frees its strings
 *
 * Return: false if none is pending.
 */
bool ggw_ledger_decision(struct ggw_ledger *l,
                         struct ggw_ledger_decision *decision);

/**
 * ggw_ledger_available_slots() - number of slots that could be granted now,
 *                                beyond those that the waiting requests need
 */
int ggw_ledger_available_slots(const struct ggw_ledger *l, ggw_ms now);

/**
 * ggw_ledger_waiting_count() - number of waiting requests
 */
size_t ggw_ledger_waiting_count(const struct ggw_ledger *l);

/**
 * struct ggw_ledger_summary - totals of a ledger
 * @states: number of open servers in each state
 * @closed: number of servers that take no new requests
 * @in_flight: requests that count as running on all servers
 * @limit: requests that the open servers may run concurrently
 * @waiting: number of waiting requests
 * @median: median latency of successful attempts, ms; 0: not known
 */
struct ggw_ledger_summary {
    int states[GGW_LIMIT_EJECTED + 1];
    int closed;
    int in_flight;
    int limit;
    int waiting;
    ggw_ms median;
};

/**
 * ggw_ledger_summary() - compute the totals of a ledger
 */
void ggw_ledger_summary(const struct ggw_ledger *l,
                        struct ggw_ledger_summary *summary);

/**
 * struct ggw_ledger_change - state change of a server
 * @server: name, which belongs to the ledger
 * @from: state at the previous notification
 * @to: state now
 * @limit: requests that the server may run concurrently now
 * @in_flight: requests that count as running on the server now
 * @failures: consecutive failed attempts
 * @report_age: time since the last load report, ms; -1: none received
 * @slow_percent: latency in the last load report as a percentage of the usual
 *                one; 0: not known
 */
struct ggw_ledger_change {
    const char *server;
    enum ggw_limit_state from;
    enum ggw_limit_state to;
    int limit;
    int in_flight;
    int failures;
    ggw_ms report_age;
    int slow_percent;
};

/**
 * ggw_ledger_change() - return the next state change not yet returned
 *
 * Return: false if there is none.
 */
bool ggw_ledger_change(struct ggw_ledger *l, struct ggw_ledger_change *change,
                       ggw_ms now);

/**
 * ggw_ledger_server_limit() - get the limit, use and state of a server
 *
 * For tests and status pages.
 *
 * Return: false for an unknown server.
 */
bool ggw_ledger_server_limit(const struct ggw_ledger *l, const char *server,
                             int *in_flight, int *limit,
                             enum ggw_limit_state *state);

#endif
