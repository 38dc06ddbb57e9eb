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
 * struct ggw_proxy_kind - metrics of one kind of request
 */
struct ggw_proxy_kind {
    struct ggw_histogram *latency;
    char *labels; /* team, service, kind */
};

/**
 * struct ggw_proxy_target - what is kept for one service of a team
 * @retries, @hedges: budgets
 * @latency: of successful attempts
 * @kinds: name to struct ggw_proxy_kind
 */
struct ggw_proxy_target {
    struct ggw_budget retries;
    struct ggw_budget hedges;
    struct ggw_latency latency;
    GHashTable *kinds;
};

/**
 * struct ggw_proxy - the service
 * @teams: team to struct ggw_tree in force
 * @targets: "TEAM/SERVICE" to struct ggw_proxy_target
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
    ggw_ms drain_end; /* monotonic; 0 before the listener is closed */
    ggw_ms settled;   /* last CLAIM_SETTLE, monotonic */

    struct ggw_histogram *added;
    struct ggw_histogram *slot_wait;
};

/**
 * struct ggw_attempt - one request to one backend server
 * @id: value of Greengageway-Request
 * @head: text of the request's head
 * @shed: the server said that it did not run the request
 * @has_head: a head has arrived
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
    bool ended;
};

/**
 * struct ggw_request - one request of a client
 * @x: NULL once the client has left or has its whole response
 * @tree: keeps @rule and @kind alive
 * @path: behind /TEAM/SERVICE, as received, with the query
 * @headers: those to forward, as text
 * @order: identifier of an order, or NULL
 * @retry: state for the retry rules
 * @wall_deadline: Unix ms, forwarded
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

    ggw_ms received;
    ggw_ms slot_asked;
    double wall_deadline;
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
void ggw_request_settle(struct ggw_request *r, enum ggw_claim_end end,
                        int status);
void ggw_request_count(struct ggw_request *r, enum ggw_outcome outcome,
                       const char *reason);
void ggw_request_done(struct ggw_request *r);
void ggw_requests_abandon(struct ggw_proxy *proxy);

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
