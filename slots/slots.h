#ifndef GGW_SLOTS_SLOTS_H
#define GGW_SLOTS_SLOTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/outcome.h"
#include "kernel/kernel.h"

/*
 * Service "slots": decides which backend server a request goes to. The owner
 * of a service in a failure domain counts the slots of its servers and grants
 * them to all gateways.
 */

/**
 * struct ggw_slot_request - ask for a slot
 * @team, @service: whose servers
 * @priority: 0 is the highest
 * @deadline: monotonic ms; a grant after it is useless
 * @avoid: NULL-terminated names of servers that this request already tried,
 *         or NULL
 * @target: time by which the response has its full value, monotonic ms; 0:
 *          none. Set after ggw_slot_request_new(), like the next two.
 * @median_latency: usual time of the work; 0: not known
 * @cross_domain_cost: what a server in another failure domain costs, as a part
 *                     of the usual time of the work
 *
 * Answered by exactly one ggw_slot_grant or ggw_slot_refuse with its tag.
 */
struct ggw_slot_request {
    struct ggw_message base;
    char *team;
    char *service;
    int priority;
    ggw_ms deadline;
    char **avoid;
    ggw_ms target;
    ggw_ms median_latency;
    double cross_domain_cost;
};

extern const struct ggw_message_ops ggw_slot_request_ops;
struct ggw_message *ggw_slot_request_new(const char *team, const char *service,
                                         int priority, ggw_ms deadline,
                                         char **avoid);

/**
 * struct ggw_slot_grant - permission for one request to one backend server
 * @grant: identifies the grant in the release
 * @vm: name of the backend server
 * @connections: share of the server's connections that this gateway may hold
 */
struct ggw_slot_grant {
    struct ggw_message base;
    uint64_t grant;
    char *vm;
    char *failure_domain;
    char *host;
    uint16_t port;
    int connections;
};

extern const struct ggw_message_ops ggw_slot_grant_ops;
struct ggw_message *ggw_slot_grant_new(uint64_t grant, const char *vm,
                                       const char *failure_domain,
                                       const char *host, uint16_t port,
                                       int connections);

enum ggw_slot_refusal {
    GGW_SLOT_NO_SERVER, /* no backend server may take new work */
    GGW_SLOT_QUEUE_FULL,
    GGW_SLOT_TOO_LATE,  /* cannot start before the deadline */
    GGW_SLOT_DISPLACED, /* a request of higher priority took the place */
};

struct ggw_slot_refuse {
    struct ggw_message base;
    enum ggw_slot_refusal reason;
    ggw_ms retry_after;
};

extern const struct ggw_message_ops ggw_slot_refuse_ops;
struct ggw_message *ggw_slot_refuse_new(enum ggw_slot_refusal reason,
                                        ggw_ms retry_after);

/**
 * struct ggw_load_report - what a backend server said of itself
 * @present: false when the answer carried no report
 * @slow_percent: time that work takes there now, 100 as usual; 0: not known
 * @cold_left: how long the server stays cold; 0: not known or not cold
 * @cold_unknown: the report does not say whether the server is cold
 */
struct ggw_load_report {
    bool present;
    int slots;
    int busy;
    int queue;
    bool cold;
    bool draining;
    uint64_t incarnation;
    int slow_percent;
    ggw_ms cold_left;
    bool cold_unknown;
};

/**
 * enum ggw_attempt_result - how an attempt with a grant ended
 * @GGW_ATTEMPT_OK: the server answered with a status below 500
 * @GGW_ATTEMPT_ERROR: the server answered 5xx
 * @GGW_ATTEMPT_SHED: the server said that it did not run the request
 * @GGW_ATTEMPT_REFUSED: no connection to the server
 * @GGW_ATTEMPT_BROKEN: the connection broke or its answer ended short
 * @GGW_ATTEMPT_SILENT: no progress in time
 * @GGW_ATTEMPT_CANCELLED: the client left, or a hedge won
 * @GGW_ATTEMPT_UNUSED: the grant was not used
 */
enum ggw_attempt_result {
    GGW_ATTEMPT_OK,
    GGW_ATTEMPT_ERROR,
    GGW_ATTEMPT_SHED,
    GGW_ATTEMPT_REFUSED,
    GGW_ATTEMPT_BROKEN,
    GGW_ATTEMPT_SILENT,
    GGW_ATTEMPT_CANCELLED,
    GGW_ATTEMPT_UNUSED,
};

/**
 * struct ggw_slot_release - the attempt has ended
 * @latency: time from sending the request to the end of the answer's head
 */
struct ggw_slot_release {
    struct ggw_message base;
    uint64_t grant;
    enum ggw_attempt_result result;
    ggw_ms latency;
    struct ggw_load_report report;
};

extern const struct ggw_message_ops ggw_slot_release_ops;
struct ggw_message *ggw_slot_release_new(uint64_t grant,
                                         enum ggw_attempt_result result,
                                         ggw_ms latency,
                                         const struct ggw_load_report *report);

/**
 * struct ggw_slot_cancel - the request with this tag no longer needs a slot
 *
 * No answer follows. A grant already on its way is released by the service
 * "slots" itself.
 */
struct ggw_slot_cancel {
    struct ggw_message base;
};

extern const struct ggw_message_ops ggw_slot_cancel_ops;
struct ggw_message *ggw_slot_cancel_new(uint64_t tag);

/**
 * struct ggw_probe_request - "slots" asks "proxy" for a load report
 *
 * Sent only within the budget for measuring. "proxy" reads @path and answers
 * with a ggw_probe_result of the same tag.
 *
 * @path: set after ggw_probe_request_new(); NULL reads /-/load
 */
struct ggw_probe_request {
    struct ggw_message base;
    char *vm;
    char *host;
    uint16_t port;
    char *path;
    ggw_ms timeout;
};

extern const struct ggw_message_ops ggw_probe_request_ops;
struct ggw_message *ggw_probe_request_new(const char *vm, const char *host,
                                          uint16_t port, ggw_ms timeout);

struct ggw_probe_result {
    struct ggw_message base;
    char *vm;
    bool answered;
    struct ggw_load_report report;
};

extern const struct ggw_message_ops ggw_probe_result_ops;
struct ggw_message *ggw_probe_result_new(const char *vm, bool answered,
                                         const struct ggw_load_report *report);

/**
 * ggw_slots_service_new() - make the service
 * @self: name of this gateway
 * @failure_domain: failure domain of this gateway
 * @seed: of the random numbers that break ties
 */
struct ggw_service *ggw_slots_service_new(const char *self,
                                          const char *failure_domain,
                                          uint32_t seed);

#endif
