#include <jansson.h>
#include <string.h>

#include "proxy/route.h"
#include "proxy/state.h"

/*
 * Page that says how the gateway would handle a request: route or kind,
 * services, their servers now, and the revision that decides.
 */

static const char *const idempotency_names[] = {
    [GGW_IDEMPOTENT] = "idempotent",
    [GGW_AT_MOST_ONCE] = "order",
    [GGW_NO_REPEAT] = "once",
};

/* Why a server gets no requests; NULL if it does as far as settings say. */
static const char *
excluded_by_settings(const struct ggw_tree *tree, const struct ggw_vm *vm)
{
    if (ggw_tree_domain_out(tree, vm->failure_domain)) {
        return "failure domain out";
    }
    return ggw_tree_server_draining(tree, vm->name) ? "draining (by operator)"
                                                    : NULL;
}

static json_t *
server_json(const struct ggw_proxy *proxy, const struct ggw_tree *tree,
            const struct ggw_vm *vm)
{
    json_t *json = ggw_proxy_server_json(proxy, vm);
    const char *excluded = excluded_by_settings(tree, vm);

    if (excluded != NULL) {
        json_object_set_new(json, "state", json_string(excluded));
    }
    return json;
}

static json_t *
servers_json(const struct ggw_proxy *proxy, const struct ggw_tree *tree,
             const char *service)
{
    json_t *list = json_array();

    for (size_t i = 0; proxy->vms != NULL && i < proxy->vms->len; i++) {
        const struct ggw_vm *vm = &proxy->vms->vms[i];

        if (vm->role == GGW_VM_BACKEND_SERVER &&
            strcmp(vm->team, tree->team) == 0 &&
            strcmp(vm->service, service) == 0) {
            json_array_append_new(list, server_json(proxy, tree, vm));
        }
    }
    return list;
}

static json_t *
service_json(const struct ggw_proxy *proxy, const struct ggw_tree *tree,
             const char *service, int weight)
{
    return json_pack("{s:s,s:i,s:b,s:o}", "service", service, "weight", weight,
                     "exists", ggw_tree_service(tree, service) != NULL,
                     "backend_servers", servers_json(proxy, tree, service));
}

/* What a route and a kind have in common. */
static json_t *
match_json(const struct ggw_tree *tree, const struct ggw_kind *kind,
           json_t *services)
{
    return json_pack("{s:s,s:I,s:s,s:s,s:I,s:i,s:o}", "team", tree->team,
                     "revision", (json_int_t)tree->revision, "path_prefix",
                     kind->path_prefix, "idempotency",
                     idempotency_names[kind->idempotency], "timeout_ms",
                     (json_int_t)kind->timeout, "attempts", kind->attempts,
                     "services", services);
}

static json_t *
route_json(const struct ggw_proxy *proxy, const struct ggw_tree *tree,
           const struct ggw_route_rule *route)
{
    const struct ggw_route_history *history =
        g_hash_table_lookup(proxy->histories, tree->team);
    json_t *services = json_array();
    struct ggw_route_age age;
    json_t *json;

    for (size_t i = 0; i < route->split_len; i++) {
        json_array_append_new(services, service_json(proxy, tree,
                                                     route->split[i].service,
                                                     route->split[i].weight));
    }
    json = match_json(tree, &route->kind, services);
    json_object_set_new(json, "route", json_string(route->name));
    json_object_set_new(json, "host", json_string(route->host));
    if (ggw_route_history_age(history, route->name, &age)) {
        json_object_set_new(json, "since",
                            json_integer((json_int_t)age.since));
        json_object_set_new(json, "or_earlier", json_boolean(age.or_earlier));
    }
    return json;
}

/* Returns NULL and sets @reason if no kind matches the request. */
static json_t *
kind_json(const struct ggw_proxy *proxy, const char *method, const char *path,
          const char **reason)
{
    struct ggw_matched_kind f = {0};
    struct ggw_request_path parsed;
    json_t *json = NULL;

    *reason = "no-route";
    if (ggw_request_path_parse(&parsed, path, strlen(path))) {
        *reason = ggw_request_find_kind(proxy, &parsed, method, &f);
    }
    if (*reason == NULL) {
        json_t *services = json_array();

        json_array_append_new(services,
                              service_json(proxy, f.tree, f.rule->name, 1));
        json = match_json(f.tree, f.kind, services);
        json_object_set_new(json, "kind", json_string(f.kind->name));
    }
    ggw_request_path_clear(&parsed);
    return json;
}

static void
refuse(struct ggw_exchange *x, const char *reason)
{
    int status = g_strcmp0(reason, "no-configuration") == 0 ? 503 : 404;

    ggw_exchange_refuse(x, status, status == 503 ? reason : "no-route",
                        GGW_OUTCOME_NOT_RUN, 0);
}

void
ggw_proxy_page_route(struct ggw_proxy *proxy, struct ggw_exchange *x)
{
    g_autofree char *host = ggw_query_parameter(x->req, "host");
    g_autofree char *path = ggw_query_parameter(x->req, "path");
    g_autofree char *method = ggw_query_parameter(x->req, "method");
    g_autofree char *plain = NULL;
    const struct ggw_route_rule *route;
    const char *reason = NULL;
    struct ggw_tree *tree;
    json_t *json;

    if (path == NULL || method == NULL) {
        ggw_exchange_refuse(x, 400, "bad-request", GGW_OUTCOME_NOT_RUN, 0);
        return;
    }
    plain = g_strndup(path, strcspn(path, "?"));
    route =
        ggw_request_find_route(proxy, host != NULL ? host : "", plain, &tree);
    json = route != NULL ? route_json(proxy, tree, route)
                         : kind_json(proxy, method, path, &reason);
    if (json == NULL) {
        refuse(x, reason);
        return;
    }
    ggw_proxy_respond_json(x, json);
}
