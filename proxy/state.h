#ifndef GGW_PROXY_STATE_H
#define GGW_PROXY_STATE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "claims/claims.h"
#include "common/histogram.h"
#include "config/config.h"
#include "config/route_history.h"
#include "config/vms.h"
#include "customers/allotments.h"
#include "decide/retry.h"
#include "http/client.h"
#include "http/exchange.h"
#include "http/listener.h"
#include "peers/peers.h"
#include "proxy/proxy.h"
#include "proxy/route.h"
#include "slots/slots.h"

/* State that the files of the service "proxy" share. */

/* Retry-After for a request that comes while this gateway leaves, in ms. */
#define GGW_LEAVING_RETRY_MS 50

/**
 * struct ggw_proxy_kind_state - state kept for one kind of request
 * @latency_estimate: latency of the forwarded responses whose status is below
 *                    500, ms
 * @latency_histogram: time from the receipt of a request to its response, ms;
 *                     in the metrics
 * @labels: labels "team", "service" and "kind" of its metrics, as text
 */
struct ggw_proxy_kind_state {
    struct ggw_latency latency_estimate;
    struct ggw_histogram *latency_histogram;
    char *labels;
};

/**
 * struct ggw_proxy_service_state - state kept for one service of a team
 * @retries, @hedges: budgets
 * @kinds: maps the name of a kind to its struct ggw_proxy_kind_state
 */
struct ggw_proxy_service_state {
    struct ggw_retry_budget retries;
    struct ggw_retry_budget hedges;
    GHashTable *kinds;
};

/**
 * struct ggw_proxy_route_state - state kept for one route
 * @sent: number of requests sent to each part of the route's traffic split
 * @split: the services and weights that @sent is counted for
 * @revision: revision of the settings that @split was compared with
 * @bytes: moving average of the size of a response body, in bytes
 */
struct ggw_proxy_route_state {
    double *sent;
    char *split;
    uint64_t revision;
    double bytes;
};

/**
 * struct ggw_proxy - the service "proxy"
 * @teams: maps a team to its struct ggw_tree in force
 * @histories: maps a team to its struct ggw_route_history
 * @services: maps "TEAM/SERVICE" to struct ggw_proxy_service_state
 * @routes: maps the name of a route to struct ggw_proxy_route_state
 * @slot_waits, @claim_waits, @allotment_waits: map a message tag to the struct
 *                                              ggw_request that awaits the
 *                                              answer
 * @probes: set of struct probe in progress
 * @backoffs: maps a server that wants no requests to its last
 *            struct ggw_server_backoff
 * @malformed_backoffs: names of servers whose malformed headers were logged
 * @customers: last status of "allotments", or NULL
 * @live: set of struct ggw_request that have not been freed
 * @next_id: last number used as id of a request or as tag of a message
 * @requests: number of requests in progress
 * @vms: last list of VMs, or NULL
 * @members: last MEMBERS_CHANGED, or NULL
 * @rollouts: JSON list of the roll-outs, or NULL in a gateway without them
 * @shutdown_timer: while leaving, polls for the next step of the shutdown
 * @started_at: monotonic ms
 * @leaving: shutdown has begun: the gateway is not ready and does not list
 *           itself in entry responses
 * @listener_closed: the listener has been closed because of the shutdown
 * @accept_until: while leaving, later requests that match a route are refused;
 *                monotonic ms, INFINITY for no limit
 * @listen_until: while leaving, the listener is closed at this time, monotonic
 *                ms
 * @drain_end: while leaving, requests still in progress at this time are cut
 *             off, monotonic ms
 * @held_bytes: bytes of all responses that are buffered until they are
 *              complete, and of those that were, until they are sent
 * @last_settle: time of the last CLAIM_SETTLE, monotonic ms; 0: none
 * @added_latency: time that the gateway adds to a response, ms
 * @slot_wait: time from requesting a slot to its grant, ms
 */
struct ggw_proxy {
    struct ggw_service base;
    struct ggw_proxy_options options;
    struct ggw_listener *listener;
    struct ggw_pools *pools;

    GHashTable *teams;
    GHashTable *histories;
    GHashTable *services;
    GHashTable *routes;
    GHashTable *slot_waits;
    GHashTable *claim_waits;
    GHashTable *allotment_waits;
    json_t *customers;
    GHashTable *probes;
    GHashTable *backoffs;
    GHashTable *malformed_backoffs;
    GHashTable *live;
    uint64_t next_id;
    unsigned requests;

    struct ggw_vm_list *vms;
    struct ggw_members_changed *members;
    json_t *rollouts;

    uv_timer_t shutdown_timer;
    bool started;
    ggw_ms started_at;
    bool stopped;
    bool leaving;
    bool listener_closed;
    ggw_ms accept_until;
    ggw_ms listen_until;
    ggw_ms drain_end;
    ggw_ms last_settle;
    size_t held_bytes;
    const struct ggw_memory_limits *memory;

    struct ggw_histogram *added_latency;
    struct ggw_histogram *slot_wait;
};

/**
 * struct ggw_attempt - one request to one backend server
 * @call: NULL when no connection could be used
 * @grant: identifies the slot in its release
 * @vm: name of the backend server
 * @id: attempt id; the client's own, or made by the gateway
 * @head: request line and headers, as sent
 * @report: load report of the response
 * @status: HTTP status; 0 before the response head has arrived
 * @hedge: it started beside another attempt
 * @has_head: the response head has arrived
 * @shed: the response says that the request did not run
 * @misdirected: another server responded at the address
 * @signature_missing: a success without the server's signature
 * @unproven: the status would promise the client that the request did not run,
 *            which the response does not prove
 * @connect_shortened: its connection had to open earlier than usual, since the
 *                     gateway leaves
 * @ended: the call has ended and the slot is released
 * @buffered: response that is buffered until it is complete, or NULL
 * @discarded: body bytes read that nobody waits for
 */
struct ggw_attempt {
    struct ggw_request *request;
    struct ggw_call *call;
    struct ggw_pool *pool;
    uint64_t grant;
    char *vm;
    char *id;
    GString *head;
    struct ggw_load_report report;
    int status;
    bool hedge;
    bool has_head;
    bool shed;
    bool misdirected;
    bool signature_missing;
    bool unproven;
    bool connect_shortened;
    bool ended;
    struct ggw_buffered_response *buffered;
    size_t discarded;
};

/**
 * struct ggw_buffered_response - response held back until it is complete
 * @content_length: as in struct ggw_call_head
 * @reason: reason phrase
 * @headers: headers; their names and values are owned by this struct
 * @names: storage for the names in @headers
 * @len: number of headers
 * @body: bytes received so far
 */
struct ggw_buffered_response {
    int status;
    size_t content_length;
    char *reason;
    h2o_header_t *headers;
    h2o_iovec_t *names;
    size_t len;
    GString *body;
};

/**
 * struct ggw_request - one request of a client
 * @exchange: NULL once the client has disconnected or its response is sent
 * @id: unique in this process; part of the attempt ids
 * @tree: holds a reference that keeps @rule, @kind and @route valid
 * @service_state: budgets of the service
 * @kind_state: metrics of the kind
 * @path: path and query that the backend server gets, as received
 * @headers: headers to forward, as text
 * @order: identifier of an order, or NULL
 * @route: route that matched the request, or NULL for /TEAM/SERVICE
 * @route_state: state of @route, or NULL
 * @client_attempt_id: attempt id that the client chose, or NULL
 * @customer: customer that sent the request, or NULL; part of @tree
 * @received: time when the request was received, monotonic ms
 * @slot_requested: time of the last SLOT_REQUEST, monotonic ms
 * @wall_deadline: deadline that the backend server gets, Unix ms
 * @target_at: time by which a response has its full value, monotonic ms; 0:
 *             not set
 * @client_deadline: time until which the client waits, monotonic ms; 0 or
 *                   INFINITY: not known
 * @retry: input of the retry rules
 * @timer: fires at the deadline
 * @hedge_timer: fires when a hedge may be due
 * @tried: names of the servers tried, a NULL-terminated array
 * @slot_tag, @claim_tag, @allotment_tag: tag of the message whose answer is
 *                                        awaited, or 0
 * @permitted_at: time at which "allotments" permitted the request, monotonic
 *                ms; 0: not, or the permission was returned
 * @hedge_refusals: number of refused requests for the slot of a hedge
 * @awaits_hedge: the slot requested last is for a hedge whose slot time is
 *                limited
 * @claim: identifies the claim, if @claimed
 * @claimed: a claim was won and has not been settled
 * @retry_granted: the budget has already been charged for the next retry
 * @charged: budget that was charged for a repeat which is not sent yet, or
 *           NULL
 * @charged_at: time of that charge, monotonic ms
 * @response_mixed: a response may have been mixed with an earlier one of its
 *                  connection
 * @attempts: attempts in progress; the second is a hedge
 * @winner: attempt whose response is forwarded to the client, or NULL
 * @unknown_status: HTTP status to return because an attempt may have run, or 0
 * @no_server_retry_after: ms after which a server may take requests again,
 *                         when a slot was refused because none does
 * @responded: the outcome has been counted: the client has its response or
 *             has disconnected
 * @closing: one of the two timers has been closed
 */
struct ggw_request {
    struct ggw_proxy *proxy;
    struct ggw_exchange *exchange;
    uint64_t id;
    struct ggw_tree *tree;
    const struct ggw_service_rule *rule;
    const struct ggw_kind *kind;
    struct ggw_proxy_service_state *service_state;
    struct ggw_proxy_kind_state *kind_state;

    char *method;
    char *path;
    GString *headers;
    GBytes *body;
    char *order;
    const struct ggw_route_rule *route;
    struct ggw_proxy_route_state *route_state;
    char *client_attempt_id;
    const struct ggw_customer_rule *customer;

    ggw_ms received;
    ggw_ms slot_requested;
    double wall_deadline;
    ggw_ms target_at;
    ggw_ms client_deadline;
    struct ggw_retry_request retry;
    uv_timer_t timer;
    uv_timer_t hedge_timer;

    GPtrArray *tried;
    uint64_t slot_tag;
    uint64_t claim_tag;
    uint64_t allotment_tag;
    ggw_ms permitted_at;
    int hedge_refusals;
    bool awaits_hedge;
    uint64_t claim;
    bool claimed;
    bool retry_granted;
    struct ggw_retry_budget *charged;
    ggw_ms charged_at;
    bool response_mixed;
    struct ggw_attempt *attempts[2];
    struct ggw_attempt *winner;
    int unknown_status;
    ggw_ms no_server_retry_after;
    bool responded;
    bool closing;
};

/* proxy/dispatch.c */

/**
 * struct ggw_matched_kind - settings that apply to a request to /TEAM/SERVICE
 */
struct ggw_matched_kind {
    struct ggw_tree *tree;
    const struct ggw_service_rule *rule;
    const struct ggw_kind *kind;
};

/*
 * Finds the settings for a request to /TEAM/SERVICE. Returns the reason to
 * refuse the request, or NULL.
 */
const char *ggw_request_find_kind(const struct ggw_proxy *proxy,
                                  const struct ggw_request_path *parsed,
                                  const char *method,
                                  struct ggw_matched_kind *found);

/* Handles a new request: a route, a page of the gateway or /TEAM/SERVICE. */
void ggw_request_dispatch(struct ggw_proxy *proxy, struct ggw_exchange *x);

/*
 * Refuses a request for which no struct ggw_request exists.
 * @retry_after: ms; 0 for no Retry-After
 */
void ggw_request_refuse(struct ggw_exchange *x, int status, const char *reason,
                        ggw_ms retry_after);

/* proxy/service_state.c */

/* Returns the state of a service, with the budgets of its settings of now. */
struct ggw_proxy_service_state *
ggw_proxy_service_state(struct ggw_proxy *proxy, const struct ggw_tree *tree,
                        const struct ggw_service_rule *rule, ggw_ms now);

struct ggw_proxy_kind_state *ggw_proxy_kind_state(
    struct ggw_proxy_service_state *t, const struct ggw_tree *tree,
    const struct ggw_service_rule *rule, const struct ggw_kind *kind);

/* proxy/request.c */
struct ggw_request *
ggw_request_new(struct ggw_proxy *proxy, struct ggw_exchange *x,
                struct ggw_tree *tree, const struct ggw_service_rule *rule,
                const struct ggw_kind *kind, const char *path);
void ggw_request_start(struct ggw_request *r, ggw_ms deadline);
void ggw_request_granted(struct ggw_request *r,
                         const struct ggw_slot_grant *grant);
void ggw_request_refused(struct ggw_request *r,
                         const struct ggw_slot_refuse *refuse);
void ggw_request_claimed(struct ggw_request *r,
                         const struct ggw_claim_result *result);
void ggw_request_allotted(struct ggw_request *r,
                          const struct ggw_allotment_result *result);
void ggw_request_attempt_failed(struct ggw_request *r,
                                enum ggw_attempt_result result,
                                enum ggw_outcome outcome);
ggw_ms ggw_request_send_by(const struct ggw_request *r);
void ggw_request_stop_waiting(struct ggw_request *r);
bool ggw_request_attempt_slow(struct ggw_request *r);
bool ggw_request_retry_error(struct ggw_request *r);
void ggw_request_settle(struct ggw_request *r, enum ggw_claim_outcome outcome,
                        int status);
void ggw_request_count_outcome(struct ggw_request *r, enum ggw_outcome outcome,
                               const char *reason);
void ggw_request_free_if_unused(struct ggw_request *r);
void ggw_requests_refuse_unfinishable(struct ggw_proxy *proxy);
void ggw_requests_abandon(struct ggw_proxy *proxy);

/* proxy/identity.c */
bool ggw_request_identify(struct ggw_proxy *proxy, struct ggw_exchange *x,
                          const struct ggw_tree *tree, bool is_public,
                          const char *route,
                          const struct ggw_customer_rule **customer);

/* proxy/routed.c */
void ggw_request_start_routed(struct ggw_proxy *proxy, struct ggw_exchange *x,
                              struct ggw_tree *tree,
                              const struct ggw_route_rule *route);
const struct ggw_route_rule *
ggw_request_find_route(const struct ggw_proxy *proxy, const char *host,
                       const char *path, struct ggw_tree **tree);
double ggw_request_cross_domain_cost(const struct ggw_request *r);
void ggw_request_record_size(struct ggw_request *r, size_t bytes);

/* proxy/answer.c */
struct ggw_buffered_response *
ggw_buffered_response_new(const struct ggw_call_head *head);
void ggw_buffered_response_free(struct ggw_buffered_response *response);

/* proxy/attempt.c */
void ggw_attempt_start(struct ggw_request *r,
                       const struct ggw_slot_grant *grant);
void ggw_attempt_pump(struct ggw_attempt *a);
void ggw_attempt_client_left(struct ggw_attempt *a);
void ggw_attempt_cancel(struct ggw_attempt *a);

/* proxy/backoff.c */

/*
 * Reports to "slots" that a server wants no further requests, if its response
 * says so.
 * @request: id of the request, for the log
 */
void ggw_proxy_report_backoff(struct ggw_proxy *proxy, const char *vm,
                              uint64_t grant, const char *request,
                              const struct ggw_call_head *head);

/* Handles SERVER_BACKOFF, which the status page shows. */
void ggw_proxy_on_backoff(struct ggw_proxy *proxy,
                          const struct ggw_server_backoff *m);

/* proxy/proxy.c */
GHashTable *ggw_proxy_kinds_new(void);

/* proxy/probe.c */
void ggw_proxy_probe(struct ggw_proxy *proxy,
                     const struct ggw_probe_request *probe);

void ggw_proxy_cancel_probes(struct ggw_proxy *proxy);

/* proxy/pages.c */
bool ggw_proxy_ready(const struct ggw_proxy *proxy);

/* Sends a JSON body with status 200; takes over the reference to @json. */
void ggw_proxy_respond_json(struct ggw_exchange *x, json_t *json);

/* What the gateway knows of a backend server, as JSON. */
json_t *ggw_proxy_server_json(const struct ggw_proxy *proxy,
                              const struct ggw_vm *vm);

/* proxy/route_page.c */
void ggw_proxy_page_route(struct ggw_proxy *proxy, struct ggw_exchange *x);

#endif
