#include <math.h>
#include <string.h>

#include "common/metrics.h"
#include "proxy/headers.h"
#include "proxy/state.h"

/* How new requests are refused at once, or start. */

/* Retry-After for a request whose deadline has passed, in ms. */
#define TOO_LATE_RETRY_MS 1000

/*
 * Retry-After for a request that comes before the settings, in ms. A gateway
 * that starts has them within this time.
 */
#define NO_CONFIGURATION_RETRY_MS 500

/* Retry-After while too many requests are in progress, in ms. */
#define TOO_MANY_RETRY_MS 1000

const char *
ggw_request_find_kind(const struct ggw_proxy *proxy,
                      const struct ggw_request_path *parsed,
                      const char *method, struct ggw_matched_kind *f)
{
    if (g_hash_table_size(proxy->teams) == 0) {
        return "no-configuration";
    }
    if (parsed->team == NULL || parsed->service == NULL) {
        return "no-route";
    }
    f->tree = g_hash_table_lookup(proxy->teams, parsed->team);
    f->rule =
        f->tree != NULL ? ggw_tree_service(f->tree, parsed->service) : NULL;
    f->kind = f->rule != NULL
                  ? ggw_service_kind(f->rule, method, parsed->decoded_path)
                  : NULL;
    return f->kind != NULL ? NULL : "no-route";
}

/*
 * Parses a header that holds a whole number from 0 to @max. Leaves @value
 * unchanged if the header is absent. Returns false if it is malformed.
 */
static bool
parse_number_header(const h2o_req_t *req, const char *name, double max,
                    double *value)
{
    g_autofree char *text = ggw_headers_find(req, name);
    char *end;
    double parsed;

    if (text == NULL) {
        return true;
    }
    if (!g_ascii_isdigit(*text)) {
        return false;
    }
    parsed = (double)g_ascii_strtoull(text, &end, 10);
    if (*end != '\0' || parsed > max) {
        return false;
    }
    *value = parsed;
    return true;
}

void
ggw_request_refuse(struct ggw_exchange *x, int status, const char *reason,
                   ggw_ms retry_after)
{
    g_autofree char *name = g_strdup_printf(
        "ggw_requests_total{outcome=\"not-run\",reason=\"%s\"}", reason);

    ggw_count(name);
    ggw_exchange_refuse(x, status, reason, GGW_OUTCOME_NOT_RUN, retry_after);
}

/* Starts or refuses a request to /TEAM/SERVICE. */
static void
start_service_request(struct ggw_proxy *proxy, struct ggw_exchange *x,
                      const struct ggw_request_path *parsed)
{
    const h2o_req_t *req = x->req;
    g_autofree char *method =
        g_strndup(req->input.method.base, req->input.method.len);
    ggw_ms now = ggw_kernel_now(proxy->base.kernel);
    ggw_ms wall = ggw_clock_wall(ggw_kernel_clock(proxy->base.kernel));
    struct ggw_matched_kind f = {0};
    const char *reason = ggw_request_find_kind(proxy, parsed, method, &f);
    const struct ggw_customer_rule *customer;
    g_autofree char *order = NULL;
    double deadline, prior_retries = 0;
    struct ggw_request *r;

    if (reason != NULL) {
        bool no_route = strcmp(reason, "no-route") == 0;

        ggw_request_refuse(x, no_route ? 404 : 503, reason,
                           no_route ? 0 : NO_CONFIGURATION_RETRY_MS);
        return;
    }
    if (!ggw_request_identify(proxy, x, f.tree, false, f.kind->name,
                              &customer)) {
        return;
    }
    deadline = wall + f.kind->timeout;
    if (!parse_number_header(req, "greengageway-deadline", 1e15, &deadline) ||
        !parse_number_header(req, "greengageway-attempt", 1e6,
                             &prior_retries)) {
        ggw_request_refuse(x, 400, "bad-request", 0);
        return;
    }
    deadline = MIN(deadline, wall + f.kind->timeout);
    if (deadline <= wall) {
        ggw_request_refuse(x, 503, "too-late", TOO_LATE_RETRY_MS);
        return;
    }
    if (f.kind->idempotency == GGW_AT_MOST_ONCE) {
        g_autofree char *header =
            f.kind->order_header != NULL
                ? ggw_headers_find_single(req, f.kind->order_header)
                : NULL;

        order = ggw_request_path_order_id(f.kind, parsed, header);
        if (order == NULL) {
            ggw_request_refuse(x, 400, "no-order", 0);
            return;
        }
    }
    r = ggw_request_new(proxy, x, f.tree, f.rule, f.kind,
                        parsed->forward_path);
    r->customer = customer;
    r->order = g_steal_pointer(&order);
    r->wall_deadline = floor(deadline);
    r->retry.prior_retries = (int)prior_retries;
    ggw_request_start(r, now + (deadline - wall));
}

void
ggw_request_dispatch(struct ggw_proxy *proxy, struct ggw_exchange *x)
{
    const h2o_req_t *req = x->req;
    const h2o_iovec_t *path = &req->input.path;
    const char *query = memchr(path->base, '?', path->len);
    size_t len = query != NULL ? (size_t)(query - path->base) : path->len;
    g_autofree char *plain = g_strndup(path->base, len);
    g_autofree char *host =
        g_strndup(req->input.authority.base, req->input.authority.len);
    const struct ggw_route_rule *rule;
    struct ggw_tree *tree;
    struct ggw_request_path parsed;

    x->retry_after_decimals = proxy->options.dialect->retry_after_decimals;
    rule = ggw_request_find_route(proxy, host, plain, &tree);
    if (rule != NULL && proxy->leaving &&
        ggw_kernel_now(proxy->base.kernel) >= proxy->accept_until) {
        ggw_request_refuse(x, 503, "leaving", GGW_LEAVING_RETRY_MS);
        return;
    }
    if (rule == NULL && !proxy->options.pages_apart && ggw_proxy_is_page(x)) {
        ggw_proxy_serve_page(&proxy->base, x);
        return;
    }
    if (ggw_listener_is_full(proxy->listener)) {
        /* Its connection makes room for others at once. */
        x->req->http1_is_persistent = 0;
        ggw_request_refuse(x, 503, "too-many-requests", TOO_MANY_RETRY_MS);
        return;
    }
    if (rule != NULL) {
        ggw_request_start_routed(proxy, x, tree, rule);
        return;
    }
    if (ggw_request_path_parse(&parsed, path->base, path->len)) {
        start_service_request(proxy, x, &parsed);
    }
    else {
        ggw_request_refuse(x, 400, "bad-request", 0);
    }
    ggw_request_path_clear(&parsed);
}
