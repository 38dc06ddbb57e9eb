#ifndef GGW_SLOTS_SLOTS_H
#define GGW_SLOTS_SLOTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/outcome.h"
#include "decide/backoff.h"
#include "kernel/kernel.h"

/*
 * Service "slots" selects the backend server for each request. A slot is the
 * capacity of a backend server for one concurrent request. One gateway, the
 * owner, counts the slots of a service in a failure domain, or in all of them,
 * and grants them to all gateways.
 */

/**
 * struct ggw_slot_request - message that requests a slot
 * @team: team that the service belongs to
 * @service: service whose backend servers may take the request
 * @priority: priority of the request; 0 is the highest
 * @deadline: monotonic ms after which a grant is useless
 * @avoid: NULL-terminated names of servers that this request already tried,
 *         or NULL
 * @target: monotonic ms by which a response has its full value; 0 for none.
 *          Set after ggw_slot_request_new(), like @median_latency and
 *          @cross_domain_cost.
 * @median_latency: median latency of requests of this kind, in ms; 0 if
 *                  unknown
 * @cross_domain_cost: cost of a server in another failure domain, as a
 *                     multiple of the usual latency
 * @customer: name of the customer that sent the request, or NULL
 * @route: name of the route or kind of the request, or NULL
 * @hedge: the slot is for a second attempt beside one that is in progress
 * @once: the request may not be sent again after it may have run
 *
 * The service answers each request with exactly one ggw_slot_grant or
 * ggw_slot_refuse that has the same tag.
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
    char *customer;
    char *route;
    bool hedge;
    bool once;
};

extern const struct ggw_message_ops ggw_slot_request_ops;
struct ggw_message *ggw_slot_request_new(const char *team, const char *service,
                                         int priority, ggw_ms deadline,
                                         char **avoid);

/**
 * struct ggw_slot_grant - permission to send one request to a backend server
 * @grant: id that the release must repeat
 * @vm: name of the backend server
 * @failure_domain: failure domain of the backend server
 * @host: IP address of the backend server
 * @port: TCP port of the backend server
 * @connections: number of connections to the server that this gateway may
 *               keep open
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

/**
 * enum ggw_slot_refusal - reason of a refusal
 * @GGW_SLOT_NO_SERVER: no backend server accepts new requests
 * @GGW_SLOT_QUEUE_FULL: the queue has reached its limit
 * @GGW_SLOT_TOO_LATE: the request cannot start before its deadline
 * @GGW_SLOT_DISPLACED: a request of higher priority took its place in the
 *                      queue
 * @GGW_SLOT_HEDGE_BUSY: a hedge was refused because too few slots are free
 * @GGW_SLOT_HEDGE_WORK: a hedge was refused because hedges have taken their
 *                       share of the slot time
 * @GGW_SLOT_HEDGE_SERVER: a hedge was refused because no server is known to be
 *                         fast enough
 *
 * The values are sent between gateways in SLOT_REFUSE frames.
 */
enum ggw_slot_refusal {
    GGW_SLOT_NO_SERVER,
    GGW_SLOT_QUEUE_FULL,
    GGW_SLOT_TOO_LATE,
    GGW_SLOT_DISPLACED,
    GGW_SLOT_HEDGE_BUSY,
    GGW_SLOT_HEDGE_WORK,
    GGW_SLOT_HEDGE_SERVER,
};

/**
 * struct ggw_slot_refuse - message that refuses a slot
 * @reason: why no slot was granted
 * @retry_after: time in ms after which the client may retry
 */
struct ggw_slot_refuse {
    struct ggw_message base;
    enum ggw_slot_refusal reason;
    ggw_ms retry_after;
};

extern const struct ggw_message_ops ggw_slot_refuse_ops;
struct ggw_message *ggw_slot_refuse_new(enum ggw_slot_refusal reason,
                                        ggw_ms retry_after);

/**
 * struct ggw_load_report - load that a backend server reported about itself
 * @present: false if the response carried no report
 * @slots: number of requests that the server can run concurrently
 * @busy: number of requests that it runs
 * @queue: number of requests that wait in the server
 * @cold: the server has started recently and is still slow
 * @draining: the server accepts no new requests
 * @incarnation: incarnation of the server process; grows with each restart
 * @slow_percent: current latency as a percentage of the usual latency; 0 if
 *                unknown
 * @cold_left: time in ms until the server is warm; 0 if unknown or not cold
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
 * enum ggw_attempt_result - result of an attempt that had a grant
 * @GGW_ATTEMPT_OK: the server responded with a status below 500
 * @GGW_ATTEMPT_ERROR: the server responded with a 5xx status
 * @GGW_ATTEMPT_SHED: the server responded that it did not run the request
 * @GGW_ATTEMPT_REFUSED: no connection to the server could be opened
 * @GGW_ATTEMPT_BROKEN: the connection closed before the response was complete
 * @GGW_ATTEMPT_SILENT: the attempt made no progress before its timeout
 * @GGW_ATTEMPT_CANCELLED: the client closed its connection, or a hedged
 *                         attempt responded first
 * @GGW_ATTEMPT_UNUSED: no request was sent with the grant
 *
 * The values are sent between gateways in SLOT_RELEASE frames.
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
 * struct ggw_slot_release - message that returns the slot of a grant
 * @grant: id of the grant
 * @result: result of the attempt
 * @latency: time in ms from sending the request to the end of the response
 *           head, or to the end of the attempt if no head arrived
 * @report: load report of the response
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
 * struct ggw_slot_cancel - message that withdraws the slot request of its tag
 *
 * The service sends no answer. It releases a grant that it has already given
 * to the request.
 */
struct ggw_slot_cancel {
    struct ggw_message base;
};

extern const struct ggw_message_ops ggw_slot_cancel_ops;
struct ggw_message *ggw_slot_cancel_new(uint64_t tag);

/**
 * struct ggw_probe_request - message from "slots" to "proxy" that requests a
 *                            load report of a backend server
 * @vm: name of the backend server
 * @host: IP address of the backend server
 * @port: TCP port of the backend server
 * @path: path of the HTTP request, set after ggw_probe_request_new(); NULL for
 *        /-/load
 * @timeout: time limit of the probe in ms
 *
 * Periodic probes are sent only within the probe budget of the service. Probes
 * before a placement are sent to each server at most as often as the service's
 * setting "probes_per_s" allows. "proxy" answers with a ggw_probe_result that
 * has the same tag.
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

/**
 * struct ggw_probe_result - message with the result of a probe
 * @vm: name of the backend server
 * @answered: the server responded in time
 * @report: load report of the response
 */
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
 * struct ggw_server_notice - message from "proxy": a server wants no requests
 * @vm: name of the backend server
 * @notice: what its response says
 * @grant: the grant that the request was sent with; 0 for a probe
 * @request: id of the request that got the response, for the log
 */
struct ggw_server_notice {
    struct ggw_message base;
    char *vm;
    struct ggw_backoff_notice notice;
    uint64_t grant;
    char *request;
};

extern const struct ggw_message_ops ggw_server_notice_ops;
struct ggw_message *
ggw_server_notice_new(const char *vm, const struct ggw_backoff_notice *notice,
                      uint64_t grant, const char *request);

/**
 * struct ggw_server_backoff - message to "proxy": what a server wants, as far
 *                             as this gateway knows
 * @vm: name of the backend server
 * @until: end of the pause, monotonic ms
 */
struct ggw_server_backoff {
    struct ggw_message base;
    char *vm;
    enum ggw_backoff_state state;
    ggw_ms until;
};

extern const struct ggw_message_ops ggw_server_backoff_ops;
struct ggw_message *ggw_server_backoff_new(const char *vm,
                                           enum ggw_backoff_state state,
                                           ggw_ms until);

/**
 * ggw_slots_service_new() - create the service
 * @self: name of this gateway
 * @failure_domain: failure domain of this gateway
 * @seed: seed of the random choices between servers
 *
 * Return: the service, owned by the kernel that it is added to.
 */
struct ggw_service *ggw_slots_service_new(const char *self,
                                          const char *failure_domain,
                                          uint32_t seed);

#endif
