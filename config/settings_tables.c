#include <string.h>

#include "config/schema.h"
#include "config/setting.h"

/* Tables that describe a team's settings, one for each level of the tree. */

#define METHODS "GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS"
#define POLICIES                                                              \
    "slots|fastest|random|round_robin|least_outstanding|power_of_two"

/* Settings of one backend server. */
struct state_entry {
    int state; /* index of the choice; 0 is the default, "in" */
};

/* Settings of one failure domain. */
struct domain_entry {
    int state;       /* as for a backend server */
    char *full_name; /* NULL for the name of the entry */
};

static bool
check_service(const void *entry, const char *path, GError **error)
{
    const struct ggw_service_rule *rule = entry;
    g_autofree char *setting = g_strconcat(path, ".cold_limit", NULL);

    if (rule->cold_limit > rule->slots) {
        return ggw_setting_refuse(error, setting,
                                  "%d is not in 1..%d, the slots",
                                  rule->cold_limit, rule->slots);
    }
    return true;
}

static bool
has_weight(const struct ggw_route_rule *route)
{
    for (size_t i = 0; i < route->split_len; i++) {
        if (route->split[i].weight > 0) {
            return true;
        }
    }
    return false;
}

static bool
check_route(const void *entry, const char *path, GError **error)
{
    const struct ggw_route_rule *route = entry;
    const char *missing = route->host == NULL     ? "host"
                          : route->split_len == 0 ? "services"
                                                  : NULL;
    g_autofree char *setting = NULL;

    if (missing != NULL) {
        setting = g_strconcat(path, ".", missing, NULL);
        return ggw_setting_refuse(error, setting, "must be set");
    }
    if (!has_weight(route)) {
        setting = g_strconcat(path, ".services", NULL);
        return ggw_setting_refuse(error, setting, "no weight is above 0");
    }
    if (route->kind.idempotency == GGW_AT_MOST_ONCE) {
        setting = g_strconcat(path, ".idempotency", NULL);
        return ggw_setting_refuse(error, setting,
                                  "\"order\" is for kinds of a service only");
    }
    return true;
}

static bool
check_kind(const void *entry, const char *path, GError **error)
{
    const struct ggw_kind *kind = entry;
    bool has_source = kind->order_header != NULL ||
                      kind->order_source == GGW_ORDER_FROM_PATH;
    g_autofree char *setting = g_strconcat(path, ".order_from", NULL);

    if (kind->idempotency == GGW_AT_MOST_ONCE && !has_source) {
        return ggw_setting_refuse(
            error, setting, "must be set because idempotency is \"order\"");
    }
    return true;
}

/* Takes the name that an entry states, or that of the entry itself. */
static char *
take_name(char **full_name, const char *name)
{
    char *stated = g_steal_pointer(full_name);

    return stated != NULL ? stated : g_strdup(name);
}

static void
add_domain(void *parent, const char *name, void *entry)
{
    struct ggw_tree *tree = parent;
    struct domain_entry *e = entry;
    g_autofree char *domain = take_name(&e->full_name, name);

    if (e->state != 0) {
        g_hash_table_add(tree->domains_out, g_steal_pointer(&domain));
    }
}

static void
clear_domain(void *entry)
{
    g_free(((struct domain_entry *)entry)->full_name);
}

static void
add_server(void *parent, const char *name, void *entry)
{
    struct ggw_tree *tree = parent;

    if (((struct state_entry *)entry)->state != 0) {
        g_hash_table_add(tree->servers_draining, g_strdup(name));
    }
}

static void
add_service(void *parent, const char *name, void *entry)
{
    struct ggw_tree *tree = parent;
    struct ggw_service_rule *rule = entry;

    rule->name = take_name(&rule->full_name, name);
    tree->services = g_renew(struct ggw_service_rule, tree->services,
                             tree->services_len + 1);
    tree->services[tree->services_len++] = *rule;
}

static void
add_kind(void *parent, const char *name, void *entry)
{
    struct ggw_service_rule *rule = parent;
    struct ggw_kind *kind = entry;

    kind->name = g_strdup(name);
    rule->kinds = g_renew(struct ggw_kind, rule->kinds, rule->kinds_len + 1);
    rule->kinds[rule->kinds_len++] = *kind;
}

static void
add_route(void *parent, const char *name, void *entry)
{
    struct ggw_tree *tree = parent;
    struct ggw_route_rule *route = entry;

    route->name = g_strdup(name);
    route->kind.name = g_strdup(name);
    tree->routes =
        g_renew(struct ggw_route_rule, tree->routes, tree->routes_len + 1);
    tree->routes[tree->routes_len++] = *route;
}

static void
clear_kind(void *entry)
{
    struct ggw_kind *kind = entry;

    g_free(kind->name);
    g_strfreev(kind->methods);
    g_free(kind->path_prefix);
    g_free(kind->order_header);
}

void
ggw_service_rule_clear(struct ggw_service_rule *rule)
{
    for (size_t i = 0; i < rule->kinds_len; i++) {
        clear_kind(&rule->kinds[i]);
    }
    g_free(rule->kinds);
    g_free(rule->name);
    g_free(rule->full_name);
    g_free(rule->policy);
    g_free(rule->health_path);
}

void
ggw_route_rule_clear(struct ggw_route_rule *route)
{
    for (size_t i = 0; i < route->split_len; i++) {
        g_free(route->split[i].service);
    }
    g_free(route->split);
    clear_kind(&route->kind);
    g_free(route->name);
    g_free(route->host);
}

void
ggw_customer_rule_clear(struct ggw_customer_rule *customer)
{
    g_strfreev(customer->keys);
    g_free(customer->name);
    g_free(customer->full_name);
}

static void
add_customer(void *parent, const char *name, void *entry)
{
    struct ggw_tree *tree = parent;
    struct ggw_customer_rule *customer = entry;

    customer->name = take_name(&customer->full_name, name);
    tree->customers = g_renew(struct ggw_customer_rule, tree->customers,
                              tree->customers_len + 1);
    tree->customers[tree->customers_len++] = *customer;
}

static void
clear_customer(void *entry)
{
    ggw_customer_rule_clear(entry);
}

static void
clear_route(void *entry)
{
    ggw_route_rule_clear(entry);
}

static void
clear_service(void *entry)
{
    ggw_service_rule_clear(entry);
}

/* Name of an entry of type @entry that may hold any characters. */
#define FULL_NAME(entry)                                                      \
    {                                                                         \
        .name = "full_name", .type = GGW_SETTING_TEXT,                        \
        .offset = offsetof(entry, full_name),                                 \
        .help = "name that counts in place of the entry's own, which may "    \
                "not hold all characters",                                    \
    }

/*
 * Settings common to kinds and routes. @base is the offset of the struct
 * ggw_kind in the struct of the level, in bytes.
 */
#define KIND_SETTINGS(base)                                                   \
    {                                                                         \
        .name = "timeout_ms",                                                 \
        .type = GGW_SETTING_MS,                                               \
        .offset = (base) + offsetof(struct ggw_kind, timeout),                \
        .min = 1,                                                             \
        .max = 600000,                                                        \
        .default_json = "1000",                                               \
        .help = "maximum time for one request including all attempts",        \
    },                                                                        \
        {                                                                     \
            .name = "priority",                                               \
            .type = GGW_SETTING_INT,                                          \
            .offset = (base) + offsetof(struct ggw_kind, priority),           \
            .min = 0,                                                         \
            .max = 9,                                                         \
            .default_json = "1",                                              \
            .help =                                                           \
                "0 is the highest priority; requests of lower priority are "  \
                "displaced first",                                            \
        },                                                                    \
        {                                                                     \
            .name = "idempotency",                                            \
            .type = GGW_SETTING_ENUM,                                         \
            .offset = (base) + offsetof(struct ggw_kind, idempotency),        \
            .default_json = "\"idempotent\"",                                 \
            .choices = "idempotent|order|once",                               \
            .help =                                                           \
                "an idempotent request may run again on another backend "     \
                "server; an order runs at most once; a \"once\" request is "  \
                "sent again only when it is proven not to have run",          \
        },                                                                    \
        {                                                                     \
            .name = "attempts",                                               \
            .type = GGW_SETTING_INT,                                          \
            .offset = (base) + offsetof(struct ggw_kind, attempts),           \
            .min = 1,                                                         \
            .max = 10,                                                        \
            .default_json = "3",                                              \
            .help = "maximum number of attempts for one request",             \
        },                                                                    \
        {                                                                     \
            .name = "target_ms",                                              \
            .type = GGW_SETTING_MS,                                           \
            .offset = (base) + offsetof(struct ggw_kind, target),             \
            .min = 0,                                                         \
            .max = 600000,                                                    \
            .default_json = "0",                                              \
            .help = "time within which a response has its full value; 0: "    \
                    "unset",                                                  \
        },                                                                    \
        {                                                                     \
            .name = "hold_bytes",                                             \
            .type = GGW_SETTING_INT,                                          \
            .offset = (base) + offsetof(struct ggw_kind, hold_bytes),         \
            .min = 0,                                                         \
            .max = 16777216,                                                  \
            .default_json = "0",                                              \
            .help =                                                           \
                "maximum number of response bytes buffered until the "        \
                "response is complete, so that a truncated response can be "  \
                "replaced by a retry; a longer response is passed on as it "  \
                "arrives",                                                    \
        },                                                                    \
    {                                                                         \
        .name = "retry_errors", .type = GGW_SETTING_ENUM,                     \
        .offset = (base) + offsetof(struct ggw_kind, retry_errors),           \
        .default_json = "\"no\"", .choices = "no|yes",                        \
        .help =                                                               \
            "whether an idempotent request is retried on another backend "    \
            "server after a 5xx response",                                    \
    }

static const struct ggw_setting kind_settings[] = {
    {
        .name = "methods",
        .type = GGW_SETTING_METHODS,
        .offset = offsetof(struct ggw_kind, methods),
        .default_json = "[\"GET\"]",
        .choices = METHODS,
        .help = "HTTP methods of the requests of this kind",
    },
    {
        .name = "path_prefix",
        .type = GGW_SETTING_PREFIX,
        .offset = offsetof(struct ggw_kind, path_prefix),
        .default_json = "\"/\"",
        .help = "prefix of the path that follows /TEAM/SERVICE; of several "
                "matching kinds, the one with the longest prefix applies, "
                "then the first by name",
    },
    KIND_SETTINGS(0),
    {
        .name = "order_from",
        .type = GGW_SETTING_ORDER,
        .help = "part of the request that carries the order identifier: a "
                "header, or a segment of the path after /TEAM/SERVICE, "
                "counted from 0",
    },
    {0},
};

static const struct ggw_setting_level kind_level = {
    .path = "services.SERVICE.kinds.KIND",
    .settings = kind_settings,
    .size = sizeof(struct ggw_kind),
    .check = check_kind,
    .add = add_kind,
    .clear = clear_kind,
};

static const struct ggw_setting service_settings[] = {
    FULL_NAME(struct ggw_service_rule),
    {
        .name = "slots",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, slots),
        .min = 1,
        .max = 1024,
        .default_json = "2",
        .help = "requests that one warm backend server runs concurrently",
    },
    {
        .name = "ahead",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, ahead),
        .min = 0,
        .max = 1024,
        .default_json = "0",
        .help =
            "additional requests sent to a warm backend server, which wait "
            "there and hide the time until a free slot receives the next "
            "request; 0 for servers that shed load above their slots",
    },
    {
        .name = "connections",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, connections),
        .min = 1,
        .max = 100000,
        .default_json = "200",
        .help =
            "connections that one backend server accepts from all gateways "
            "together",
    },
    {
        .name = "cold_limit",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, cold_limit),
        .min = 1,
        .max = 1024,
        .default_json = "1",
        .help = "concurrent requests for a backend server that has just "
                "started; at most the value of slots",
    },
    {
        .name = "cold_ms",
        .type = GGW_SETTING_MS,
        .offset = offsetof(struct ggw_service_rule, cold_time),
        .min = 0,
        .max = 3600000,
        .default_json = "5000",
        .help = "time after its start until a backend server is warm",
    },
    {
        .name = "policy",
        .type = GGW_SETTING_CHOICE,
        .offset = offsetof(struct ggw_service_rule, policy),
        .default_json = "\"slots\"",
        .choices = POLICIES,
        .help = "policy that selects a backend server",
    },
    /*
     * The maximum of 1 keeps the guarantee that probes take at most 1% of the
     * slot time, whatever a team configures.
     */
    {
        .name = "measure_percent",
        .type = GGW_SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, measure_percent),
        .min = 0,
        .max = 1,
        .default_json = "1",
        .help = "budget for probes, in percent of slot time",
    },
    {
        .name = "retry_percent",
        .type = GGW_SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, retry_percent),
        .min = 0,
        .max = 50,
        .default_json = "10",
        .help = "budget for retries, in percent of calls",
    },
    {
        .name = "hedge_percent",
        .type = GGW_SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, hedge_percent),
        .min = 0,
        .max = 50,
        .default_json = "5",
        .help = "budget for hedged requests, in percent of calls",
    },
    {
        .name = "hedge_work_percent",
        .type = GGW_SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, hedge_work_percent),
        .min = 0,
        .max = 50,
        .default_json = "0",
        .help = "slot time that hedged requests may take over all gateways, "
                "in percent of the slot time of the other requests; hedged "
                "requests then get only spare slots of fast backend servers; "
                "0: not limited",
    },
    {
        .name = "queue",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, queue),
        .min = 0,
        .max = 10000,
        .default_json = "64",
        .help = "requests that may wait for a slot in one failure domain",
    },
    {
        .name = "owner_scope",
        .type = GGW_SETTING_ENUM,
        .offset = offsetof(struct ggw_service_rule, scope),
        .default_json = "\"failure_domain\"",
        .choices = "failure_domain|service|size",
        .help = "backend servers whose slots one gateway grants: those of the "
                "service in one failure domain, or all of the service; "
                "\"service\" suits requests that take far longer than a round "
                "trip between failure domains; \"size\" acts as \"service\" "
                "for a service with few backend servers and as "
                "\"failure_domain\" otherwise",
    },
    {
        .name = "cold_per_s",
        .type = GGW_SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, cold_rate),
        .min = 0,
        .max = 100000,
        .default_json = "0",
        .help = "requests per second for a backend server that has just "
                "started; 0: only cold_limit applies",
    },
    {
        .name = "spare_retries",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, spare_retries),
        .min = 0,
        .max = 100000,
        .default_json = "0",
        .help =
            "retries and hedged requests per 10 s that all gateways together "
            "may send in addition to the percentages",
    },
    {
        .name = "probes_per_s",
        .type = GGW_SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, probe_rate),
        .min = 0,
        .max = 1000,
        .default_json = "0",
        .help = "load reports per second that may be requested from one "
                "backend server when a request is placed; 0: none",
    },
    {
        .name = "trial_longest_ms",
        .type = GGW_SETTING_MS,
        .offset = offsetof(struct ggw_service_rule, max_trial_interval),
        .min = 500,
        .max = 3600000,
        .default_json = "10000",
        .help = "maximum interval between two trials of an ejected backend "
                "server",
    },
    {
        .name = "busy_percent",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, busy_percent),
        .min = 1,
        .max = 100,
        .default_json = "100",
        .help = "utilization of its slots, in percent, above which a backend "
                "server becomes slow",
    },
    {
        .name = "health_path",
        .type = GGW_SETTING_PREFIX,
        .offset = offsetof(struct ggw_service_rule, health_path),
        .default_json = "\"/-/load\"",
        .help = "path that serves a load report",
    },
    {
        .name = "kinds",
        .type = GGW_SETTING_MAP,
        .entries = &kind_level,
        .help =
            "rules for each kind of request; a request that matches no kind "
            "is refused",
    },
    {0},
};

static const struct ggw_setting_level service_level = {
    .path = "services.SERVICE",
    .settings = service_settings,
    .size = sizeof(struct ggw_service_rule),
    .check = check_service,
    .add = add_service,
    .clear = clear_service,
};

static const struct ggw_setting route_settings[] = {
    {
        .name = "host",
        .type = GGW_SETTING_HOST,
        .offset = offsetof(struct ggw_route_rule, host),
        .help = "host name that the client requests, in lower case",
    },
    {
        .name = "path_prefix",
        .type = GGW_SETTING_PREFIX,
        .offset = offsetof(struct ggw_route_rule, kind.path_prefix),
        .default_json = "\"/\"",
        .help =
            "prefix of the path; of a host's matching routes, the one with "
            "the longest prefix applies",
    },
    {
        .name = "services",
        .type = GGW_SETTING_SPLIT,
        .help = "services that receive the requests, each with its weight",
    },
    KIND_SETTINGS(offsetof(struct ggw_route_rule, kind)),
    {
        .name = "public",
        .type = GGW_SETTING_ENUM,
        .offset = offsetof(struct ggw_route_rule, is_public),
        .default_json = "\"no\"",
        .choices = "no|yes",
        .help = "\"yes\": requests need no key of a customer",
    },
    {0},
};

static const struct ggw_setting_level route_level = {
    .path = "routes.ROUTE",
    .settings = route_settings,
    .size = sizeof(struct ggw_route_rule),
    .check = check_route,
    .add = add_route,
    .clear = clear_route,
};

static const struct ggw_setting customer_settings[] = {
    FULL_NAME(struct ggw_customer_rule),
    {
        .name = "keys",
        .type = GGW_SETTING_KEYS,
        .offset = offsetof(struct ggw_customer_rule, keys),
        .default_json = "[]",
        .help = "keys that identify the customer's requests; two customers "
                "cannot hold the same key",
    },
    {
        .name = "priority",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_customer_rule, priority),
        .min = GGW_CUSTOMER_PRIORITY_UNSET,
        .max = 9,
        .default_json = "-1",
        .help = "priority of the customer's requests, which replaces that of "
                "the route; -1: that of the route",
    },
    {
        .name = "rate",
        .type = GGW_SETTING_NUMBER,
        .offset = offsetof(struct ggw_customer_rule, rate),
        .min = 0,
        .max = 1e9,
        .default_json = "0",
        .help = "requests per second that the customer may send to all "
                "gateways together; 0: no limit",
    },
    {
        .name = "burst",
        .type = GGW_SETTING_NUMBER,
        .offset = offsetof(struct ggw_customer_rule, burst),
        .min = 0,
        .max = 1e9,
        .default_json = "0",
        .help = "requests that the customer may send at once in addition to "
                "its rate",
    },
    {0},
};

static const struct ggw_setting_level customer_level = {
    .path = "customers.CUSTOMER",
    .settings = customer_settings,
    .any_name = true,
    .size = sizeof(struct ggw_customer_rule),
    .add = add_customer,
    .clear = clear_customer,
};

static const struct ggw_setting domain_settings[] = {
    FULL_NAME(struct domain_entry),
    {
        .name = "state",
        .type = GGW_SETTING_ENUM,
        .offset = offsetof(struct domain_entry, state),
        .default_json = "\"in\"",
        .choices = "in|out",
        .help = "\"out\" takes the failure domain out of service",
    },
    {0},
};

static const struct ggw_setting_level domain_level = {
    .path = "failure_domains.DOMAIN",
    .settings = domain_settings,
    .size = sizeof(struct domain_entry),
    .add = add_domain,
    .clear = clear_domain,
};

static const struct ggw_setting server_settings[] = {
    {
        .name = "state",
        .type = GGW_SETTING_ENUM,
        .offset = offsetof(struct state_entry, state),
        .default_json = "\"in\"",
        .choices = "in|draining",
        .help = "\"draining\" sends the backend server no new requests",
    },
    {0},
};

static const struct ggw_setting_level server_level = {
    .path = "backend_servers.VM",
    .settings = server_settings,
    .size = sizeof(struct state_entry),
    .add = add_server,
};

static const struct ggw_setting root_settings[] = {
    {
        .name = "failure_domains",
        .type = GGW_SETTING_MAP,
        .entries = &domain_level,
        .help = "failure domains whose state is set by operators",
    },
    {
        .name = "backend_servers",
        .type = GGW_SETTING_MAP,
        .entries = &server_level,
        .help = "backend servers whose state is set by operators",
    },
    {
        .name = "services",
        .type = GGW_SETTING_MAP,
        .entries = &service_level,
        .help = "the team's services",
    },
    {
        .name = "routes",
        .type = GGW_SETTING_MAP,
        .entries = &route_level,
        .help = "routes that match requests by host and path instead of "
                "/TEAM/SERVICE",
    },
    {
        .name = "customers",
        .type = GGW_SETTING_MAP,
        .entries = &customer_level,
        .optional = true,
        .help =
            "customers, one of which each request to a route that is not "
            "public must name by a key; if this setting is absent, requests "
            "need no key, and if it is empty, every key is unknown",
    },
    {
        .name = "body_max",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_tree, body_max),
        .min = 0,
        .max = G_MAXINT,
        .default_json = "0",
        .help = "largest body of a request in bytes, as far as the memory of "
                "the machine allows; 0 for 1 MiB",
    },
    {0},
};

const struct ggw_setting_level ggw_settings_root = {
    .path = "",
    .settings = root_settings,
};
