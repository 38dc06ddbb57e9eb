#ifndef GGW_CONFIG_TREE_H
#define GGW_CONFIG_TREE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"

/*
 * One team's settings as the gateway uses them: an immutable snapshot with a
 * reference count, made from the checked JSON of the team's subtree.
 */

/*
 * Longest JSON of one team's settings in bytes; about 35,000 routes. It bounds
 * the memory and the time that a faulty change can cost.
 */
#define GGW_TREE_JSON_MAX (8 * 1024 * 1024)

enum ggw_idempotency {
    GGW_IDEMPOTENT,   /* may run again on another backend server */
    GGW_AT_MOST_ONCE, /* identified by its order; needs a claim */
    GGW_NO_REPEAT,    /* sent again only when it is proven not to have run */
};

/**
 * enum ggw_owner_scope - which servers one owner counts the slots of
 */
enum ggw_owner_scope {
    GGW_SCOPE_FAILURE_DOMAIN,
    GGW_SCOPE_SERVICE,
    GGW_SCOPE_SIZE, /* the service, or a failure domain if it has many */
};

enum ggw_order_source {
    GGW_ORDER_FROM_HEADER,
    GGW_ORDER_FROM_PATH,
};

/**
 * struct ggw_kind - rule for one kind of request of a service
 * @name: name of the kind, also the label in metrics
 * @methods: NULL-terminated list of HTTP methods
 * @path_prefix: matched against the path behind /TEAM/SERVICE
 * @timeout: longest time for one request with all its attempts
 * @priority: 0 is the highest
 * @idempotency: whether a request may run again
 * @order_source: where the identifier of an order stands
 * @order_header: header name for GGW_ORDER_FROM_HEADER
 * @order_segment: index of the path segment behind /TEAM/SERVICE, from 0
 * @attempts: most attempts for one request
 * @target: time within which a response has its full value; 0: not set
 * @hold_bytes: bytes of a response that are kept until it is whole, so that a
 *              broken one can be replaced; a longer one is passed on as it
 *              arrives
 * @retry_errors: an idempotent request is tried elsewhere after a 5xx
 */
struct ggw_kind {
    char *name;
    char **methods;
    char *path_prefix;
    ggw_ms timeout;
    int priority;
    enum ggw_idempotency idempotency;
    enum ggw_order_source order_source;
    char *order_header;
    int order_segment;
    int attempts;
    ggw_ms target;
    int hold_bytes;
    int retry_errors; /* 0 or 1 */
};

/**
 * struct ggw_split_part - a service and its share of a route's requests
 */
struct ggw_split_part {
    char *service;
    int weight;
};

/**
 * struct ggw_route_rule - requests that are found by host and path
 * @host: without port, in lower case
 * @kind: how the requests are treated; its @path_prefix selects them
 * @split: where they go; one part, or several with weights
 */
struct ggw_route_rule {
    char *name;
    char *host;
    struct ggw_kind kind;
    struct ggw_split_part *split;
    size_t split_len;
};

/**
 * struct ggw_service_rule - settings of one service
 * @slots: requests that one warm backend server runs at a time
 * @ahead: further requests that wait in a warm backend server
 * @connections: connections that one backend server accepts, over all
 *               gateways
 * @cold_limit: requests at a time for a server that has just started
 * @cold_time: time until such a server is warm
 * @policy: name of the policy that picks a backend server
 * @measure_percent: budget for probes as a share of slot time
 * @retry_percent: budget for retries as a share of calls
 * @hedge_percent: budget for hedged requests as a share of calls
 * @queue: requests that may wait for a slot in one failure domain
 * @scope: whose slots one owner counts
 * @cold_rate: requests a second for a server that has just started; 0: no
 *             limit
 * @spare_retries: repeats in 10 s beside the percentages, over all gateways
 * @probe_rate: load reports a second that may be asked of one server when a
 *              request is placed; 0: only the budget of @measure_percent
 * @max_trial_interval: longest interval between trials of an ejected server
 * @busy_percent: share of its slots above which a server becomes slow
 * @health_path: answers with a load report
 * @kinds: rules, the first that matches a request applies; the longest path
 *         prefix comes first, since members of a JSON object have no order
 */
struct ggw_service_rule {
    char *name;
    int slots;
    int ahead;
    int connections;
    int cold_limit;
    ggw_ms cold_time;
    char *policy;
    double measure_percent;
    double retry_percent;
    double hedge_percent;
    int queue;
    enum ggw_owner_scope scope;
    double cold_rate;
    int spare_retries;
    double probe_rate;
    ggw_ms max_trial_interval;
    int busy_percent;
    char *health_path;
    struct ggw_kind *kinds;
    size_t kinds_len;
};

struct ggw_tree {
    int refs;
    char *team;
    uint64_t revision;
    GHashTable *domains_out;      /* set of failure domains taken out */
    GHashTable *servers_draining; /* set of backend server names */
    struct ggw_service_rule *services;
    size_t services_len;
    struct ggw_route_rule *routes; /* by host, then the longest prefix first */
    size_t routes_len;
};

/**
 * ggw_tree_parse() - check the JSON of a subtree and make a snapshot
 * @team: owner of the subtree
 * @revision: revision that the JSON has
 * @json: text of the subtree
 * @error: on refusal, GGW_ERROR_INVALID with the path of the offending value
 *         and the allowed range, for example
 *         "services.orders.slots: 0 is not in 1..1024"
 *
 * Return: a snapshot with one reference, or NULL.
 */
struct ggw_tree *ggw_tree_parse(const char *team, uint64_t revision,
                                const char *json, GError **error);

struct ggw_tree *ggw_tree_ref(struct ggw_tree *tree);
void ggw_tree_unref(struct ggw_tree *tree);

const struct ggw_service_rule *ggw_tree_service(const struct ggw_tree *tree,
                                                const char *service);

/**
 * ggw_service_kind() - the rule for a request
 * @path: path behind /TEAM/SERVICE, beginning with "/"
 *
 * Return: the first kind that matches, or NULL.
 */
const struct ggw_kind *ggw_service_kind(const struct ggw_service_rule *rule,
                                        const char *method, const char *path);

/**
 * ggw_tree_route() - the route of a request
 * @host: as the client sent it; a port is ignored
 * @path: without the query
 *
 * Return: the route with the longest prefix, or NULL.
 */
const struct ggw_route_rule *ggw_tree_route(const struct ggw_tree *tree,
                                            const char *host,
                                            const char *path);

bool ggw_tree_domain_out(const struct ggw_tree *tree,
                         const char *failure_domain);
bool ggw_tree_server_draining(const struct ggw_tree *tree, const char *vm);

#endif
