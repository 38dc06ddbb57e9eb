#include <math.h>
#include <string.h>

#include "decide/split.h"
#include "proxy/headers.h"
#include "proxy/state.h"

/* Requests that match a route by host and path, not by /TEAM/SERVICE. */

/*
 * Cost of a server in another failure domain, as a fraction of the usual
 * latency: a constant, plus 1 for each CROSS_DOMAIN_COST_BYTES of the
 * response.
 */
#define CROSS_DOMAIN_COST 0.1
#define CROSS_DOMAIN_COST_BYTES 20000.0

/* Weight of one response in the moving average of the size. */
#define SIZE_SMOOTHING 0.1

/* Retry-After when the service of a route does not exist. */
#define NO_SERVER_RETRY_MS 500

/*
 * Finds the route of a request in the settings of all teams. Sets @tree to the
 * settings that have it. @path has no query. Returns NULL if no route matches.
 */
const struct ggw_route_rule *
ggw_request_find_route(const struct ggw_proxy *proxy, const char *host,
                       const char *path, struct ggw_tree **tree)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, proxy->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ggw_route_rule *route = ggw_tree_route(value, host, path);

        if (route != NULL) {
            *tree = value;
            return route;
        }
    }
    return NULL;
}

/* Returns the services of a route with their weights as text. */
static char *
describe_split(const struct ggw_route_rule *route)
{
    GString *text = g_string_new(NULL);

    for (size_t i = 0; i < route->split_len; i++) {
        g_string_append_printf(text, "%s=%d ", route->split[i].service,
                               route->split[i].weight);
    }
    return g_string_free(text, FALSE);
}

/* Starts the counts of a route anew if its split has changed. */
static void
update_split(struct ggw_proxy_route_state *state,
             const struct ggw_route_rule *route)
{
    g_autofree char *split = describe_split(route);

    if (g_strcmp0(split, state->split) == 0) {
        return;
    }
    g_free(state->split);
    state->split = g_steal_pointer(&split);
    g_free(state->sent);
    state->sent = g_new0(double, route->split_len);
}

/* Returns the state of a route, for the settings in force. */
static struct ggw_proxy_route_state *
get_route_state(struct ggw_proxy *proxy, const struct ggw_tree *tree,
                const struct ggw_route_rule *route)
{
    struct ggw_proxy_route_state *state =
        g_hash_table_lookup(proxy->routes, route->name);

    if (state == NULL) {
        state = g_new0(struct ggw_proxy_route_state, 1);
        g_hash_table_insert(proxy->routes, g_strdup(route->name), state);
    }
    if (state->revision != tree->revision) {
        update_split(state, route);
        state->revision = tree->revision;
    }
    return state;
}

/*
 * Returns what a server in another failure domain costs the request, as a
 * fraction of the usual latency.
 */
double
ggw_request_cross_domain_cost(const struct ggw_request *r)
{
    return r->route_state != NULL
               ? CROSS_DOMAIN_COST +
                     r->route_state->bytes / CROSS_DOMAIN_COST_BYTES
               : 0;
}

/* Adds the size of a response body to the average of the request's route. */
void
ggw_request_record_size(struct ggw_request *r, size_t bytes)
{
    struct ggw_proxy_route_state *state = r->route_state;

    if (state == NULL) {
        return;
    }
    state->bytes =
        state->bytes == 0
            ? (double)bytes
            : state->bytes + SIZE_SMOOTHING * ((double)bytes - state->bytes);
}

/*
 * Returns how long the client still waits, in ms; INFINITY without a valid
 * deadline header.
 */
static ggw_ms
client_time_left(const struct ggw_proxy *proxy, const h2o_req_t *req)
{
    const struct ggw_dialect *dialect = proxy->options.dialect;
    g_autofree char *text = ggw_headers_find(req, dialect->deadline);
    char *end;
    double value;

    if (text == NULL) {
        return INFINITY;
    }
    value = g_ascii_strtod(text, &end);
    if (end == text || !isfinite(value)) {
        return INFINITY;
    }
    return dialect->deadline_relative
               ? value
               : value - ggw_clock_wall(ggw_kernel_clock(proxy->base.kernel));
}

/* Starts or refuses a request that matched a route. */
void
ggw_request_start_routed(struct ggw_proxy *proxy, struct ggw_exchange *x,
                         struct ggw_tree *tree,
                         const struct ggw_route_rule *route)
{
    const h2o_req_t *req = x->req;
    const struct ggw_dialect *dialect = proxy->options.dialect;
    struct ggw_proxy_route_state *state = get_route_state(proxy, tree, route);
    size_t part = ggw_split_pick(route->split, route->split_len, state->sent);
    const struct ggw_service_rule *rule =
        ggw_tree_service(tree, route->split[part].service);
    ggw_ms now = ggw_kernel_now(proxy->base.kernel);
    ggw_ms left = client_time_left(proxy, req);
    g_autofree char *path = NULL;
    const struct ggw_customer_rule *customer;
    struct ggw_request *r;

    if (!ggw_request_identify(proxy, x, tree, route->is_public != 0,
                              route->name, &customer)) {
        return;
    }
    if (rule == NULL) {
        ggw_request_refuse(x, 503, "no-server", NO_SERVER_RETRY_MS);
        return;
    }
    if (left <= 0) {
        ggw_request_refuse(x, 503, "too-late", 0);
        return;
    }
    path = g_strndup(req->input.path.base, req->input.path.len);
    r = ggw_request_new(proxy, x, tree, rule, &route->kind, path);
    r->customer = customer;
    r->route = route;
    r->route_state = state;
    r->client_attempt_id = dialect->id_from_client
                               ? ggw_headers_find(req, dialect->attempt_id)
                               : NULL;
    r->client_deadline = now + left;
    ggw_request_start(r, now + MIN(left, route->kind.timeout));
}
