#include <jansson.h>
#include <math.h>
#include <string.h>

#include "common/address.h"
#include "common/metrics.h"
#include "proxy/headers.h"
#include "proxy/state.h"

/* Beginning of the paths of the gateway's own pages. */
#define PAGE_PREFIX "/-/"

static const char *const member_states[] = {
    [GGW_MEMBER_ALIVE] = "alive",
    [GGW_MEMBER_SUSPECTED] = "suspected",
    [GGW_MEMBER_LEAVING] = "leaving",
    [GGW_MEMBER_DEAD] = "dead",
};

/* Whether the gateway has settings and should receive requests. */
bool
ggw_proxy_ready(const struct ggw_proxy *proxy)
{
    ggw_ms age = ggw_kernel_now(proxy->base.kernel) - proxy->started_at;

    return !proxy->leaving && g_hash_table_size(proxy->teams) > 0 &&
           age >= proxy->options.ready_after;
}

void
ggw_proxy_respond_json(struct ggw_exchange *x, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);

    ggw_exchange_respond(x, 200, "application/json", text, strlen(text));
    free(text); /* allocated by jansson with malloc() */
    json_decref(json);
}

/* Adds one gateway to both lists of an entry response. */
static void
add_gateway(json_t *addresses, json_t *gateways, const char *name,
            const char *domain, const char *host, uint16_t port)
{
    g_autofree char *address = ggw_address_format(host, port);

    json_array_append_new(addresses, json_string(address));
    json_array_append_new(gateways,
                          json_pack("{s:s,s:s,s:s}", "name", name, "address",
                                    address, "failure_domain", domain));
}

static const char *
advertised_host(const struct ggw_proxy *proxy)
{
    return proxy->options.advertise_host != NULL
               ? proxy->options.advertise_host
               : proxy->options.listen_host;
}

static uint16_t
advertised_port(const struct ggw_proxy *proxy)
{
    return proxy->options.advertise_port != 0
               ? proxy->options.advertise_port
               : ggw_listener_port(proxy->listener);
}

/*
 * Adds the gateways that serve the team to an entry response.
 * @tree: settings of the team, or NULL
 * @domain: failure domain of the client, or NULL
 * @inside: adds the gateways inside @domain if true, else all others
 */
static void
add_gateways(const struct ggw_proxy *proxy, const struct ggw_tree *tree,
             const char *domain, bool inside, json_t *addresses,
             json_t *gateways)
{
    guint len = proxy->members != NULL ? proxy->members->members->len : 0;

    for (guint i = 0; i < len; i++) {
        const struct ggw_member *m =
            &g_array_index(proxy->members->members, struct ggw_member, i);

        if (m->state != GGW_MEMBER_ALIVE || (m->self && proxy->leaving) ||
            (tree != NULL && ggw_tree_domain_out(tree, m->failure_domain)) ||
            (g_strcmp0(m->failure_domain, domain) == 0) != inside) {
            continue;
        }
        add_gateway(addresses, gateways, m->name, m->failure_domain,
                    m->self ? advertised_host(proxy) : m->host,
                    m->self ? advertised_port(proxy) : m->port);
    }
    /* A gateway lists only itself until "peers" publishes MEMBERS_CHANGED. */
    if (len == 0 && !proxy->leaving &&
        (g_strcmp0(proxy->options.failure_domain, domain) == 0) == inside &&
        (tree == NULL ||
         !ggw_tree_domain_out(tree, proxy->options.failure_domain))) {
        add_gateway(addresses, gateways, proxy->options.name,
                    proxy->options.failure_domain, advertised_host(proxy),
                    advertised_port(proxy));
    }
}

static void
page_entry(struct ggw_proxy *proxy, struct ggw_exchange *x)
{
    h2o_req_t *req = x->req;
    g_autofree char *team = ggw_query_parameter(req, "team");
    g_autofree char *domain = ggw_query_parameter(req, "failure_domain");
    struct ggw_tree *tree = NULL;
    json_t *addresses, *gateways;
    char age[48];
    h2o_iovec_t value;

    if (g_hash_table_size(proxy->teams) == 0) {
        ggw_exchange_refuse(x, 503, "no-configuration", GGW_OUTCOME_NOT_RUN,
                            1000);
        return;
    }
    if (team != NULL) {
        tree = g_hash_table_lookup(proxy->teams, team);
        if (tree == NULL) {
            ggw_exchange_refuse(x, 404, "no-route", GGW_OUTCOME_NOT_RUN, 0);
            return;
        }
    }
    addresses = json_array();
    gateways = json_array();
    add_gateways(proxy, tree, domain, true, addresses, gateways);
    add_gateways(proxy, tree, domain, false, addresses, gateways);
    g_snprintf(age, sizeof(age), "max-age=%.0f",
               floor(proxy->options.max_age / 1e3));
    value = h2o_strdup(&req->pool, age, SIZE_MAX);
    h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CACHE_CONTROL,
                   NULL, value.base, value.len);
    ggw_proxy_respond_json(x, json_pack("{s:o,s:I,s:o}", "addresses",
                                        addresses, "keep_ms",
                                        (json_int_t)proxy->options.max_age,
                                        "gateways", gateways));
}

static json_t *
members_json(const struct ggw_proxy *proxy)
{
    json_t *list = json_array();

    for (guint i = 0;
         proxy->members != NULL && i < proxy->members->members->len; i++) {
        const struct ggw_member *m =
            &g_array_index(proxy->members->members, struct ggw_member, i);
        g_autofree char *address = ggw_address_format(m->host, m->port);
        g_autofree char *pages_address = ggw_address_format(
            m->host,
            proxy->options.pages_apart ? proxy->options.pages_port : m->port);

        json_array_append_new(
            list, json_pack("{s:s,s:s,s:s,s:s,s:I,s:s}", "name", m->name,
                            "failure_domain", m->failure_domain, "address",
                            address, "pages", pages_address, "incarnation",
                            (json_int_t)m->incarnation, "state",
                            member_states[m->state]));
    }
    return list;
}

/*
 * State of a server: as in the list of VMs, or what the server itself has said
 * of further requests.
 */
static const char *
server_state(const struct ggw_vm *vm, const struct ggw_server_backoff *b)
{
    if (vm->leaving) {
        return "leaving";
    }
    if (b == NULL) {
        return "live";
    }
    return b->state == GGW_BACKOFF_LEAVING ? "draining (said by server)"
                                           : "pausing";
}

json_t *
ggw_proxy_server_json(const struct ggw_proxy *proxy, const struct ggw_vm *vm)
{
    const struct ggw_server_backoff *b =
        g_hash_table_lookup(proxy->backoffs, vm->name);
    g_autofree char *address = ggw_address_format(vm->host, vm->port);
    ggw_ms now = ggw_kernel_now(proxy->base.kernel);
    json_t *json =
        json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:s}", "name", vm->name, "team",
                  vm->team, "service", vm->service, "failure_domain",
                  vm->failure_domain, "address", address, "incarnation",
                  (json_int_t)vm->incarnation, "state", server_state(vm, b));

    if (b != NULL && b->state == GGW_BACKOFF_PAUSED) {
        json_object_set_new(json, "pause_left_ms",
                            json_integer((json_int_t)MAX(b->until - now, 0)));
    }
    return json;
}

static json_t *
servers_json(const struct ggw_proxy *proxy)
{
    json_t *list = json_array();

    for (size_t i = 0; proxy->vms != NULL && i < proxy->vms->len; i++) {
        const struct ggw_vm *vm = &proxy->vms->vms[i];

        if (vm->role == GGW_VM_BACKEND_SERVER) {
            json_array_append_new(list, ggw_proxy_server_json(proxy, vm));
        }
    }
    return list;
}

static void
page_status(struct ggw_proxy *proxy, struct ggw_exchange *x)
{
    json_t *revisions = json_object();
    GHashTableIter iter;
    gpointer team, tree;
    json_t *page;

    g_hash_table_iter_init(&iter, proxy->teams);
    while (g_hash_table_iter_next(&iter, &team, &tree)) {
        json_object_set_new(
            revisions, team,
            json_integer((json_int_t)((struct ggw_tree *)tree)->revision));
    }
    page = json_pack(
        "{s:s,s:I,s:s,s:b,s:b,s:i,s:o,s:o,s:o}", "name", proxy->options.name,
        "incarnation", (json_int_t)proxy->options.incarnation,
        "failure_domain", proxy->options.failure_domain, "leaving",
        (int)proxy->leaving, "ready", (int)ggw_proxy_ready(proxy), "requests",
        (int)proxy->requests, "revisions", revisions, "members",
        members_json(proxy), "backend_servers", servers_json(proxy));
    if (proxy->customers != NULL) {
        json_object_set(page, "customers", proxy->customers);
    }
    if (proxy->rollouts != NULL) {
        json_object_set(page, "rollouts", proxy->rollouts);
    }
    ggw_proxy_respond_json(x, page);
}

static void
page_health(struct ggw_proxy *proxy, struct ggw_exchange *x)
{
    ggw_exchange_respond(x, 200, "text/plain", "ok\n", 3);
}

static void
page_ready(struct ggw_proxy *proxy, struct ggw_exchange *x)
{
    const char *text = ggw_proxy_ready(proxy) ? "ready\n"
                       : proxy->leaving       ? "leaving\n"
                                              : "no configuration\n";

    ggw_exchange_respond(x, ggw_proxy_ready(proxy) ? 200 : 503, "text/plain",
                         text, strlen(text));
}

static void
page_metrics(struct ggw_proxy *proxy, struct ggw_exchange *x)
{
    g_autoptr(GString) text = g_string_new(NULL);

    ggw_metrics_print(text);
    ggw_exchange_respond(x, 200, "text/plain; version=0.0.4", text->str,
                         text->len);
}

/**
 * struct page - page that the gateway serves itself
 */
struct page {
    const char *path;
    void (*respond)(struct ggw_proxy *proxy, struct ggw_exchange *x);
};

static const struct page pages[] = {
    {"/-/entry", page_entry},   {"/-/health", page_health},
    {"/-/ready", page_ready},   {"/-/metrics", page_metrics},
    {"/-/status", page_status}, {"/-/route", ggw_proxy_page_route},
};

bool
ggw_proxy_is_page(const struct ggw_exchange *x)
{
    const h2o_iovec_t *path = &x->req->input.path;

    return path->len >= strlen(PAGE_PREFIX) &&
           memcmp(path->base, PAGE_PREFIX, strlen(PAGE_PREFIX)) == 0;
}

void
ggw_proxy_serve_page(struct ggw_service *service, struct ggw_exchange *x)
{
    struct ggw_proxy *proxy = (struct ggw_proxy *)service;
    const h2o_req_t *req = x->req;
    const h2o_iovec_t *path = &req->input.path;
    const char *query = memchr(path->base, '?', path->len);
    size_t len = query != NULL ? (size_t)(query - path->base) : path->len;
    bool get = h2o_memis(req->input.method.base, req->input.method.len,
                         H2O_STRLIT("GET")) ||
               h2o_memis(req->input.method.base, req->input.method.len,
                         H2O_STRLIT("HEAD"));

    for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
        if (!h2o_memis(path->base, len, pages[i].path,
                       strlen(pages[i].path))) {
            continue;
        }
        if (!get) {
            ggw_exchange_refuse(x, 405, "bad-request", GGW_OUTCOME_NOT_RUN, 0);
            return;
        }
        pages[i].respond(proxy, x);
        return;
    }
    ggw_exchange_refuse(x, 404, "no-route", GGW_OUTCOME_NOT_RUN, 0);
}
