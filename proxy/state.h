#ifndef GGW_PROXY_STATE_H
#define GGW_PROXY_STATE_H

#include <glib.h>
#include <stdbool.h>

#include "claims/claims.h"
#include "common/histogram.h"
#include "config/config.h"
#include "config/vms.h"
#include "decide/retry.h"
#include "http/client.h"
#include "http/exchange.h"
#include "http/listener.h"
#include "peers/peers.h"
#include "proxy/proxy.h"
#include "slots/slots.h"

/* State that the files of this folder share. */

/**
 * struct ggw_proxy_kind - what is kept for one kind of request
 * @usual: latency of successful attempts
 */
struct ggw_proxy_kind {
    struct ggw_latency usual;
    struct ggw_histogram *latency;
    char *labels; /* team, service, kind */
};

/**
 * struct ggw_proxy_target - what is kept for one service of a team
 * @retries, @hedges: budgets
 * @kinds: name to struct ggw_proxy_kind
 */
struct ggw_proxy_target {
    struct ggw_retry_budget retries;
    struct ggw_retry_budget hedges;
    GHashTable *kinds;
};

/**
 * struct ggw_proxy_route - what is kept for one route
 * @sent: requests sent to each part of its split
 * @sent_len: number of parts
 * @revision: of the settings that @sent belongs to
 * @bytes: usual size of a response's body
 */
struct ggw_proxy_route {
    double *sent;
    size_t sent_len;
    uint64_t revision;
    double bytes;
};

/**
 * struct ggw_proxy - the service
 * @teams: team to struct ggw_tree in force
 * @targets: "TEAM/SERVICE" to struct ggw_proxy_target
 * @routes: name to struct ggw_proxy_route
 * @slot_waits, @claim_waits: tag to struct ggw_request
 * @probes: struct probe in progress
 * @live: set of struct ggw_request not freed yet
 * @next_id: of the next request, and of the next tag
 * @requests: number of requests in progress
 * @vms: or NULL
 * @members: last MEMBERS_CHANGED, or NULL
 * @leaving: not named in entry responses, not ready
 */
struct ggw_proxy {
    struct ggw_service base;
    struct ggw_proxy_options options;
    struct ggw_listener *listener;
    struct ggw_pools *pools;

    GHashTable *teams;
    GHashTable *targets;
    GHashTable *routes;
    GHashTable *slot_waits;
    GHashTable *claim_waits;
    GHashTable *probes;
    GHashTable *live;
    uint64_t next_id;
    unsigned requests;

    struct ggw_vm_list *vms;
    struct ggw_members_changed *members;

    uv_timer_t shutdown_timer;
    bool started;
    ggw_ms started_at;
    bool stopped;
    bool leaving;
    ggw_ms take_until; /* while leaving */
    ggw_ms drain_end;  /* monotonic; 0 before the listener is closed */
    ggw_ms settled;    /* last CLAIM_SETTLE, monotonic */

    struct ggw_histogram *added;
    struct ggw_histogram *slot_wait;
};

/**
 * struct ggw_attempt - one request to one backend server
 * @id: value of Greengageway-Request
 * @head: text of the request's head
 * @shed: the server said that it did not run the request
 * @misdirected: another server answered at the address
 * @forged: a success without the server's signature
 * @has_head: a head has arrived
 * @answer: a response that is kept until it is whole, or NULL
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
    bool has_head;
    bool shed;
    bool misdirected;
    bool forged;
    bool ended;
    struct ggw_answer *answer;
};

/**
 * struct ggw_answer - a response that is kept
 * @close_delimited: as in struct ggw_call_head
 * @reason: reason phrase
 * @headers: of the response; names and values belong to it
 */
struct ggw_answer {
    int status;
    bool close_delimited;
    char *reason;
    h2o_header_t *headers;
    h2o_iovec_t *names;
    size_t len;
    GString *body;
};

/**
 * struct ggw_request - one request of a client
 * @x: NULL once the client has left or has its whole response
 * @tree: keeps @rule and @kind alive
 * @path: behind /TEAM/SERVICE, as received, with the query
 * @headers: those to forward, as text
 * @order: identifier of an order, or NULL
 * @retry: state for the retry rules
 * @route: that selected it, or NULL for /TEAM/SERVICE; @tree keeps it alive
 * @client_id: attempt id that the client chose, or NULL
 * @wall_deadline: Unix ms, forwarded
 * @target_at: time by which a response has its full value, monotonic ms; 0:
 * not set
 * @client_deadline: until when the client waits, monotonic ms
 * @tried: names of servers, a NULL-terminated array
 * @slot_tag, @claim_tag: of the message that an answer is awaited for, or 0
 * @claim: won and not settled, if @claimed
 * @retry_granted: the next retry has been charged already
 * @attempts: in progress; the second is a hedge
 * @winner: the attempt whose response the client gets
 * @unknown_status: status for an attempt that may have run, or 0
 * @responded: the client has its response, or has left
 */
struct ggw_request {
    struct ggw_proxy *proxy;
    struct ggw_exchange *x;
    uint64_t id;
    struct ggw_tree *tree;
    const struct ggw_service_rule *rule;
    const struct ggw_kind *kind;
    struct ggw_proxy_target *target;
    struct ggw_proxy_kind *metrics;

    char *method;
    char *path;
    GString *headers;
    h2o_iovec_t body;
    char *order;
    const struct ggw_route_rule *route;
    struct ggw_proxy_route *route_state;
    char *client_id;

    ggw_ms received;
    ggw_ms slot_asked;
    double wall_deadline;
    ggw_ms target_at;
    ggw_ms client_deadline;
    struct ggw_retry_request retry;
    uv_timer_t timer;
    uv_timer_t hedge_timer;

    GPtrArray *tried;
    uint64_t slot_tag;
    uint64_t claim_tag;
    uint64_t claim;
    bool claimed;
    bool retry_granted;
    struct ggw_attempt *attempts[2];
    struct ggw_attempt *winner;
    int unknown_status;
    bool responded;
    bool closing;
};

/* proxy/request.c */
void ggw_request_begin(struct ggw_proxy *proxy, struct ggw_exchange *x);
struct ggw_request *
ggw_request_new(struct ggw_proxy *proxy, struct ggw_exchange *x,
                struct ggw_tree *tree, const struct ggw_service_rule *rule,
                const struct ggw_kind *kind, const char *path);
void ggw_request_start(struct ggw_request *r, ggw_ms deadline);
void ggw_request_refuse(struct ggw_exchange *x, int status, const char *reason,
                        ggw_ms retry_after);
void ggw_request_granted(struct ggw_request *r,
                         const struct ggw_slot_grant *grant);
void ggw_request_refused(struct ggw_request *r,
                         const struct ggw_slot_refuse *refuse);
void ggw_request_claimed(struct ggw_request *r,
                         const struct ggw_claim_result *result);
void ggw_request_attempt_failed(struct ggw_request *r,
                                enum ggw_attempt_result result,
                                enum ggw_outcome outcome);
void ggw_request_stop_waiting(struct ggw_request *r);
bool ggw_request_attempt_slow(struct ggw_request *r);
bool ggw_request_retry_error(struct ggw_request *r);
void ggw_request_settle(struct ggw_request *r, enum ggw_claim_outcome end,
                        int status);
void ggw_request_count(struct ggw_request *r, enum ggw_outcome outcome,
                       const char *reason);
void ggw_request_done(struct ggw_request *r);
void ggw_requests_abandon(struct ggw_proxy *proxy);

/* proxy/routed.c */
void ggw_request_route(struct ggw_proxy *proxy, struct ggw_exchange *x,
                       struct ggw_tree *tree,
                       const struct ggw_route_rule *route);
const struct ggw_route_rule *ggw_request_find_route(struct ggw_proxy *proxy,
                                                    const h2o_req_t *req,
                                                    struct ggw_tree **tree);
double ggw_request_far_cost(const struct ggw_request *r);
void ggw_request_note_size(struct ggw_request *r, size_t bytes);

/* proxy/answer.c */
struct ggw_answer *ggw_answer_new(const struct ggw_call_head *head);
void ggw_answer_free(struct ggw_answer *answer);

/* proxy/attempt.c */
void ggw_attempt_start(struct ggw_request *r,
                       const struct ggw_slot_grant *grant);
void ggw_attempt_pump(struct ggw_attempt *a);
void ggw_attempt_cancel(struct ggw_attempt *a);

/* proxy/proxy.c */
GHashTable *ggw_proxy_kinds_new(void);

/* proxy/probe.c */
void ggw_proxy_probe(struct ggw_proxy *proxy,
                     const struct ggw_probe_request *probe);

void ggw_proxy_cancel_probes(struct ggw_proxy *proxy);

/* proxy/pages.c */
void ggw_proxy_page(struct ggw_proxy *proxy, struct ggw_exchange *x);
bool ggw_proxy_ready(const struct ggw_proxy *proxy);

#endif
