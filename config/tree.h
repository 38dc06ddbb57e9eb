#ifndef GGW_CONFIG_TREE_H
#define GGW_CONFIG_TREE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"

/**
 * DOC: settings tree
 *
 * A settings tree is an immutable, reference-counted snapshot of one team's
 * settings. It is built from JSON that has passed the checks of
 * config/schema.h. All times are in ms.
 */

/*
 * Maximum size of one team's settings in bytes of JSON, enough for about
 * 35,000 routes. It bounds the memory and time that a faulty change can cost.
 */
#define GGW_TREE_JSON_MAX (8 * 1024 * 1024)

/**
 * enum ggw_idempotency - when a request may be sent again
 * @GGW_IDEMPOTENT: it may run again on another backend server
 * @GGW_AT_MOST_ONCE: it carries an order identifier, and a claim on that
 *                    identifier ensures that it runs at most once
 * @GGW_NO_REPEAT: it is sent again only when it is proven not to have run
 */
enum ggw_idempotency {
    GGW_IDEMPOTENT,
    GGW_AT_MOST_ONCE,
    GGW_NO_REPEAT,
};

/**
 * enum ggw_owner_scope - backend servers whose slots one gateway grants
 * @GGW_SCOPE_FAILURE_DOMAIN: those of one service in one failure domain
 * @GGW_SCOPE_SERVICE: all of one service
 * @GGW_SCOPE_SIZE: all of the service if it has few backend servers, otherwise
 *                  those in one failure domain
 */
enum ggw_owner_scope {
    GGW_SCOPE_FAILURE_DOMAIN,
    GGW_SCOPE_SERVICE,
    GGW_SCOPE_SIZE,
};

/**
 * enum ggw_order_source - part of a request that carries the order identifier
 * @GGW_ORDER_FROM_HEADER: a request header
 * @GGW_ORDER_FROM_PATH: a segment of the path
 */
enum ggw_order_source {
    GGW_ORDER_FROM_HEADER,
    GGW_ORDER_FROM_PATH,
};

/**
 * struct ggw_kind - rule for one kind of request
 * @name: name of the kind or of the route, also the label in metrics
 * @methods: NULL-terminated list of HTTP methods; NULL in a route
 * @path_prefix: prefix of the path that follows /TEAM/SERVICE; in a route,
 *               prefix of the whole path
 * @timeout: maximum time for one request including all attempts, in ms
 * @priority: 0 is the highest priority, 9 the lowest
 * @idempotency: when a request may be sent again
 * @order_source: part of the request that carries the order identifier
 * @order_header: name of the header for GGW_ORDER_FROM_HEADER, otherwise NULL
 * @order_segment: index of the path segment after /TEAM/SERVICE for
 *                 GGW_ORDER_FROM_PATH, counted from 0
 * @attempts: maximum number of attempts for one request
 * @target: time in ms within which a response has its full value; 0 if unset
 * @hold_bytes: maximum number of response bytes that are buffered until the
 *              response is complete, so that a truncated response can be
 *              replaced by a retry; a longer response is passed on as it
 *              arrives
 * @retry_errors: 1 to retry an idempotent request on another backend server
 *                after a 5xx response, 0 to pass the response on; an int
 *                because the table of settings stores it as an enum
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
    int retry_errors;
};

/**
 * struct ggw_split_part - one service of a route's traffic split
 * @service: name of the service
 * @weight: share of the route's requests, relative to the other weights of the
 *          route
 */
struct ggw_split_part {
    char *service;
    int weight;
};

/**
 * struct ggw_route_rule - route that matches requests by host and path
 * @name: name of the route
 * @host: host name in lower case, without a port
 * @kind: path prefix that the route matches, and how its requests are handled
 * @split: services that receive the requests, with their weights
 * @split_len: number of elements in @split, at least 1
 * @is_public: 1 if requests need no key of a customer, otherwise 0; an int
 *             because the table of settings stores it as an enum
 */
struct ggw_route_rule {
    char *name;
    char *host;
    struct ggw_kind kind;
    struct ggw_split_part *split;
    size_t split_len;
    int is_public;
};

/* Priority of a customer whose requests have the priority of their kind. */
#define GGW_CUSTOMER_PRIORITY_UNSET (-1)

/**
 * struct ggw_customer_rule - settings of one customer
 * @name: name of the customer, which backend servers get
 * @full_name: @name if it is not that of the entry; NULL once it is set
 * @keys: NULL-terminated list of the keys that identify the customer's
 *        requests; never written to logs, metrics or pages
 * @priority: priority of the customer's requests, which replaces that of the
 *            kind; GGW_CUSTOMER_PRIORITY_UNSET for none
 * @rate: requests per second that the customer may send to all gateways
 *        together; 0 for no limit
 * @burst: requests that the customer may send in addition to @rate
 */
struct ggw_customer_rule {
    char *name;
    char *full_name;
    char **keys;
    int priority;
    double rate;
    double burst;
};

/**
 * struct ggw_service_rule - settings of one service
 * @name: name of the service
 * @full_name: @name if it is not that of the entry; NULL once it is set
 * @slots: requests that one warm backend server runs concurrently
 * @ahead: additional requests that may wait in a warm backend server
 * @connections: connections that one backend server accepts from all gateways
 *               together
 * @cold_limit: concurrent requests for a backend server that has just started
 * @cold_time: time in ms after its start until a backend server is warm
 * @policy: name of the policy that selects a backend server
 * @measure_percent: budget for probes, in percent of slot time
 * @retry_percent: budget for retries, in percent of calls
 * @hedge_percent: budget for hedged requests, in percent of calls
 * @hedge_work_percent: slot time of hedged requests over all gateways, in
 *                      percent of that of other requests; 0: not limited
 * @queue: requests that may wait for a slot in one failure domain
 * @scope: backend servers whose slots one gateway grants
 * @cold_rate: requests per second for a backend server that has just started;
 *             0 for no limit
 * @spare_retries: retries and hedged requests per 10 s that all gateways
 *                 together may send in addition to the percentages
 * @probe_rate: load reports per second that may be requested from one backend
 *              server when a request is placed; 0 leaves only the budget of
 *              @measure_percent
 * @max_trial_interval: maximum interval in ms between two trials of an ejected
 *                      backend server
 * @busy_percent: utilization of its slots, in percent, above which a backend
 *                server becomes slow
 * @health_path: path that serves a load report
 * @kinds: rules of which the first that matches a request applies, sorted by
 *         descending length of the path prefix because the members of a JSON
 *         object are unordered
 * @kinds_len: number of elements in @kinds
 */
struct ggw_service_rule {
    char *name;
    char *full_name;
    int slots;
    int ahead;
    int connections;
    int cold_limit;
    ggw_ms cold_time;
    char *policy;
    double measure_percent;
    double retry_percent;
    double hedge_percent;
    double hedge_work_percent;
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

/**
 * struct ggw_tree - snapshot of one team's settings
 * @refs: reference count
 * @team: name of the team
 * @revision: revision of the settings
 * @written_version: number that the writer of the settings gave them; 0 if it
 *                   is unknown. Settings with a lower one are older even if
 *                   their revision is higher.
 * @domains_out: set of names of failure domains that are out of service
 * @servers_draining: set of names of backend servers that are draining
 * @services: services, sorted by name
 * @services_len: number of elements in @services
 * @routes: routes, sorted by host and then by descending length of the path
 *          prefix
 * @routes_len: number of elements in @routes
 * @route_index: index of @routes
 * @customers: customers, sorted by name
 * @customers_len: number of elements in @customers
 * @needs_key: requests to routes that are not public need a customer's key,
 *             since the settings have a member "customers", even an empty one
 * @customer_keys: key to struct ggw_customer_rule in @customers
 * @body_max: largest body of a request, bytes; 0 for the usual one
 */
struct ggw_tree {
    int refs;
    char *team;
    uint64_t revision;
    uint64_t written_version;
    GHashTable *domains_out;
    GHashTable *servers_draining;
    struct ggw_service_rule *services;
    size_t services_len;
    struct ggw_route_rule *routes;
    size_t routes_len;
    struct ggw_route_index *route_index;
    struct ggw_customer_rule *customers;
    size_t customers_len;
    bool needs_key;
    GHashTable *customer_keys;
    int body_max;
};

/**
 * ggw_tree_parse() - check a team's settings and build a snapshot of them
 * @team: name of the team
 * @revision: revision of the settings
 * @json: JSON text of the settings
 * @error: GGW_ERROR_INVALID when the text is not JSON, is too long or contains
 *         a value that is not allowed; the message names the path of the value
 *         and the allowed range, for example
 *         "services.orders.slots: 0 is not in 1..1024"
 *
 * Return: a snapshot with one reference, or NULL on error.
 */
struct ggw_tree *ggw_tree_parse(const char *team, uint64_t revision,
                                const char *json, GError **error);

/**
 * ggw_tree_build() - as ggw_tree_parse(), from JSON that is parsed already
 * @root: JSON value of the settings; not kept
 */
struct ggw_tree *ggw_tree_build(const char *team, uint64_t revision,
                                const json_t *root, GError **error);

/**
 * ggw_tree_ref() - take a reference
 * @tree: snapshot
 *
 * Return: @tree.
 */
struct ggw_tree *ggw_tree_ref(struct ggw_tree *tree);

/**
 * ggw_tree_unref() - drop a reference and free the snapshot with the last one
 * @tree: snapshot, or NULL
 */
void ggw_tree_unref(struct ggw_tree *tree);

/**
 * ggw_tree_service() - look up a service by name
 * @tree: snapshot
 * @service: name of the service
 *
 * Return: the settings of the service, or NULL if the team has no such
 * service.
 */
const struct ggw_service_rule *ggw_tree_service(const struct ggw_tree *tree,
                                                const char *service);

/**
 * ggw_service_kind() - find the kind of a request
 * @rule: settings of the service
 * @method: HTTP method
 * @path: path after /TEAM/SERVICE, beginning with "/"
 *
 * Return: the first kind that matches the method and the path, or NULL.
 */
const struct ggw_kind *ggw_service_kind(const struct ggw_service_rule *rule,
                                        const char *method, const char *path);

/**
 * ggw_tree_route() - find the route of a request
 * @tree: snapshot
 * @host: host as the client sent it, in any case; a port is ignored
 * @path: path without the query
 *
 * Return: the route of the host with the longest matching prefix, or NULL.
 */
const struct ggw_route_rule *ggw_tree_route(const struct ggw_tree *tree,
                                            const char *host,
                                            const char *path);

/**
 * ggw_tree_customer_by_key() - find the customer that a key identifies
 * @tree: snapshot
 * @key: key as the client sent it
 *
 * Return: the settings of the customer, or NULL for an unknown key.
 */
const struct ggw_customer_rule *
ggw_tree_customer_by_key(const struct ggw_tree *tree, const char *key);

/**
 * ggw_tree_customer() - look up a customer by name
 * @tree: snapshot
 * @name: name of the customer
 *
 * Return: the settings of the customer, or NULL.
 */
const struct ggw_customer_rule *ggw_tree_customer(const struct ggw_tree *tree,
                                                  const char *name);

/**
 * ggw_tree_domain_out() - tell whether a failure domain is out of service
 * @tree: snapshot
 * @failure_domain: name of the failure domain
 */
bool ggw_tree_domain_out(const struct ggw_tree *tree,
                         const char *failure_domain);

/**
 * ggw_tree_server_draining() - tell whether a backend server is draining
 * @tree: snapshot
 * @vm: name of the backend server's VM
 */
bool ggw_tree_server_draining(const struct ggw_tree *tree, const char *vm);

#endif
