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

enum ggw_idempotency {
    GGW_IDEMPOTENT,   /* may run again on another backend server */
    GGW_AT_MOST_ONCE, /* identified by its order; needs a claim */
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

bool ggw_tree_domain_out(const struct ggw_tree *tree,
                         const char *failure_domain);
bool ggw_tree_server_draining(const struct ggw_tree *tree, const char *vm);

#endif
