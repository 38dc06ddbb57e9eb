#ifndef GGW_DECIDE_SLOTS_H
#define GGW_DECIDE_SLOTS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "decide/limit.h"
#include "decide/policy.h"
#include "kernel/clock.h"
#include "slots/slots.h"

/*
 * The owner's ledger of one service in one failure domain (design 5.1): its
 * servers, the grants in flight to all gateways and the requests that wait.
 * Pure: time and random numbers are arguments.
 */

/* A new owner grants no slot of a server that is not warm for this time. */
#define GGW_LEDGER_HOLD_DOWN 1000.0

/*
 * A grant whose release does not arrive is given back this long after its
 * deadline, which the holder and the backend server enforce.
 */
#define GGW_LEDGER_EXPIRY_MARGIN 500.0

/**
 * struct ggw_ledger_grant_limits - limits on granting for all ledgers of a
 *                                  gateway
 * @stopped_until: no grants at all, because the loop stalled
 * @majority_valid_until: until then a majority counts this gateway as alive;
 *                        servers that are not warm get no grants later
 */
struct ggw_ledger_grant_limits {
    ggw_ms stopped_until;
    ggw_ms majority_valid_until;
};

/**
 * struct ggw_ledger_server_config - a server as the list of VMs and the
 *                                   settings have it
 * @closed: leaving, draining or its failure domain is out
 * @out: its failure domain is out; when it returns, the server is cold
 * @warm: another owner has announced it as warm
 * @failure_domain: or NULL
 * @slots: requests that it runs at a time; 0: as the rule has it
 * @reports_cold: @cold_until is known
 * @cold_until: end of a cold start, monotonic ms; 0: it is warm
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
};

/**
 * struct ggw_ledger_request - a request for a slot
 * @holder: gateway that asks; with @id it names the grant
 * @avoid: names of servers that the request already tried, or NULL
 * @may_queue: false refuses it when no slot is free now
 * @target: by when the response has its full value, monotonic ms; 0: none
 * @median_latency: usual time of the work; 0: not known
 * @failure_domain: of the holder, or NULL
 * @cross_domain_cost: of a server in another one, as a part of the usual time
 *                     of work
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
};

enum ggw_ledger_answer {
    GGW_LEDGER_GRANTED,
    GGW_LEDGER_QUEUED,
    GGW_LEDGER_REFUSED,
};

/**
 * struct ggw_ledger_decision - what to tell the holder of a request
 * @holder: free with g_free()
 * @server: for a grant; free with g_free()
 * @reason, @retry_after: for a refusal
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
 * struct ggw_ledger_handover_record - a server or a grant, for the next owner
 * @holder: NULL for the state of a server
 * @warm: the server may take all its slots
 * @expires_in: for a grant, ms until it is given back
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
 * ggw_ledger_new() - start to own
 * @grant_limits: shared; must outlive the ledger
 * @rand: owned by the caller
 */
struct ggw_ledger *
ggw_ledger_new(const struct ggw_ledger_grant_limits *grant_limits, GRand *rand,
               ggw_ms now);
void ggw_ledger_free(struct ggw_ledger *l);

/**
 * ggw_ledger_configure() - apply settings and the list of servers
 *
 * Waiting requests are refused when no server is left.
 */
void ggw_ledger_configure(struct ggw_ledger *l,
                          const struct ggw_limit_rule *rule, int queue,
                          const struct ggw_ledger_server_config *servers,
                          size_t len, ggw_ms now);

/**
 * ggw_ledger_set_policy() - how a server is picked
 * @policy: one that is owned
 * @busy_percent: share of its slots above which a server becomes slow
 */
void ggw_ledger_set_policy(struct ggw_ledger *l,
                           const struct ggw_policy_ops *policy,
                           int busy_percent);

/**
 * ggw_ledger_probe_candidates() - servers whose load should be asked before a
 *                                 request
 * @fresh: a report at most this old needs no repeat
 * @names: filled with at most @max names, which belong to the ledger
 *
 * Return: number of names; 0 also when the request would have to wait.
 */
size_t ggw_ledger_probe_candidates(struct ggw_ledger *l,
                                   const struct ggw_ledger_request *ask,
                                   ggw_ms fresh, const char **names,
                                   size_t max, ggw_ms now);

/**
 * ggw_ledger_extend_hold_down() - grant no slot of servers that are not warm
 *                                 until then
 */
void ggw_ledger_extend_hold_down(struct ggw_ledger *l, ggw_ms until);

/**
 * ggw_ledger_request() - ask for a slot
 *
 * The answer is among the decisions. Asking again for the same holder and id
 * repeats the answer.
 */
void ggw_ledger_request(struct ggw_ledger *l,
                        const struct ggw_ledger_request *ask, ggw_ms now);

/**
 * ggw_ledger_cancel() - the request needs no slot; gives back its grant too
 */
void ggw_ledger_cancel(struct ggw_ledger *l, const char *holder, uint64_t id,
                       ggw_ms now);

/**
 * ggw_ledger_release() - an attempt has ended
 * @server: where; needed when this owner does not know of the grant
 */
void ggw_ledger_release(struct ggw_ledger *l, const char *holder, uint64_t id,
                        const char *server, enum ggw_attempt_result result,
                        ggw_ms latency, const struct ggw_load_report *report,
                        ggw_ms now);

/**
 * ggw_ledger_report() - a load report of a probe
 */
void ggw_ledger_report(struct ggw_ledger *l, const char *server,
                       const struct ggw_load_report *report, ggw_ms now);

/**
 * ggw_ledger_gateway_lost() - a gateway is gone
 *
 * Its waiting requests are dropped. Its grants stay until they expire,
 * because its requests may still run.
 */
void ggw_ledger_gateway_lost(struct ggw_ledger *l, const char *holder,
                             ggw_ms now);

/**
 * ggw_ledger_import() - learn a server's state or a grant of another owner
 *
 * Grants count even above the limit. A state is used only while this owner
 * has seen nothing of the server itself.
 */
void ggw_ledger_import(struct ggw_ledger *l,
                       const struct ggw_ledger_handover_record *state,
                       ggw_ms now);

/**
 * ggw_ledger_export() - what the next owner needs
 *
 * Return: array of struct ggw_ledger_handover_record whose strings belong to
 * the ledger; the caller frees the array.
 */
GArray *ggw_ledger_export(const struct ggw_ledger *l, ggw_ms now);

/**
 * ggw_ledger_tick() - expire grants and waiting requests, then grant again
 */
void ggw_ledger_tick(struct ggw_ledger *l, ggw_ms now);

/**
 * ggw_ledger_next_tick() - when ggw_ledger_tick() has something to do
 */
ggw_ms ggw_ledger_next_tick(const struct ggw_ledger *l);

/**
 * ggw_ledger_decision() - take the next decision
 *
 * Return: false when there is none.
 */
bool ggw_ledger_decision(struct ggw_ledger *l,
                         struct ggw_ledger_decision *decision);

/**
 * ggw_ledger_available_slots() - slots that could be granted now
 */
int ggw_ledger_available_slots(const struct ggw_ledger *l, ggw_ms now);

size_t ggw_ledger_waiting(const struct ggw_ledger *l);

/**
 * struct ggw_ledger_summary - a ledger at a glance
 * @states: number of open servers in each state
 * @closed: servers that take no new work
 * @limit: requests that open servers may run at a time
 * @median: latency of successful attempts; 0: not known
 */
struct ggw_ledger_summary {
    int states[GGW_LIMIT_EJECTED + 1];
    int closed;
    int in_flight;
    int limit;
    int waiting;
    ggw_ms median;
};

void ggw_ledger_summary(const struct ggw_ledger *l,
                        struct ggw_ledger_summary *summary);

/**
 * struct ggw_ledger_change - a server has changed its state
 * @server: belongs to the ledger
 * @report_age: time since its last load report; -1 without one
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
 * ggw_ledger_change() - take the next change since the last call
 *
 * Return: false when there is none.
 */
bool ggw_ledger_change(struct ggw_ledger *l, struct ggw_ledger_change *change,
                       ggw_ms now);

/**
 * ggw_ledger_server_limit() - limit and use of a server, for tests and pages
 *
 * Return: false for an unknown server.
 */
bool ggw_ledger_server_limit(const struct ggw_ledger *l, const char *server,
                             int *in_flight, int *limit,
                             enum ggw_limit_state *state);

#endif
