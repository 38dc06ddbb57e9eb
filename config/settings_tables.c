#include <string.h>

#include "config/schema.h"
#include "config/setting.h"

/* The settings of a team: one table for each level of the tree. */

#define METHODS "GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS"
#define POLICIES                                                              \
    "slots|fastest|random|round_robin|least_outstanding|power_of_two"

struct state_entry {
    int state; /* 0 is the default, "in" */
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

static void
add_domain(void *parent, const char *name, void *entry)
{
    struct ggw_tree *tree = parent;

    if (((struct state_entry *)entry)->state != 0) {
        g_hash_table_add(tree->domains_out, g_strdup(name));
    }
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

    rule->name = g_strdup(name);
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

/* Settings that kinds and routes share; @base is the place of the kind. */
#define KIND_SETTINGS(base)                                                   \
    {                                                                         \
        .name = "timeout_ms",                                                 \
        .type = GGW_SETTING_MS,                                               \
        .offset = (base) + offsetof(struct ggw_kind, timeout),                \
        .min = 1,                                                             \
        .max = 600000,                                                        \
        .fallback = "1000",                                                   \
        .help = "longest time for one request with all its attempts",         \
    },                                                                        \
        {                                                                     \
            .name = "priority",                                               \
            .type = GGW_SETTING_INT,                                          \
            .offset = (base) + offsetof(struct ggw_kind, priority),           \
            .min = 0,                                                         \
            .max = 9,                                                         \
            .fallback = "1",                                                  \
            .help = "0 is the highest; lower ones are displaced first",       \
        },                                                                    \
        {                                                                     \
            .name = "idempotency",                                            \
            .type = GGW_SETTING_ENUM,                                         \
            .offset = (base) + offsetof(struct ggw_kind, idempotency),        \
            .fallback = "\"idempotent\"",                                     \
            .choices = "idempotent|order|once",                               \
            .help =                                                           \
                "an idempotent request may run again elsewhere; an order "    \
                "runs at most once; \"once\" is sent again only when it is "  \
                "proven not to have run",                                     \
        },                                                                    \
        {                                                                     \
            .name = "attempts",                                               \
            .type = GGW_SETTING_INT,                                          \
            .offset = (base) + offsetof(struct ggw_kind, attempts),           \
            .min = 1,                                                         \
            .max = 10,                                                        \
            .fallback = "3",                                                  \
            .help = "most attempts for one request",                          \
        },                                                                    \
        {                                                                     \
            .name = "target_ms",                                              \
            .type = GGW_SETTING_MS,                                           \
            .offset = (base) + offsetof(struct ggw_kind, target),             \
            .min = 0,                                                         \
            .max = 600000,                                                    \
            .fallback = "0",                                                  \
            .help =                                                           \
                "time within which a response has its full value; 0: not "    \
                "set",                                                        \
        },                                                                    \
        {                                                                     \
            .name = "hold_bytes",                                             \
            .type = GGW_SETTING_INT,                                          \
            .offset = (base) + offsetof(struct ggw_kind, hold_bytes),         \
            .min = 0,                                                         \
            .max = 16777216,                                                  \
            .fallback = "0",                                                  \
            .help =                                                           \
                "bytes of a response kept until it is whole, so that a "      \
                "broken one can be replaced; a longer one is passed on as "   \
                "it arrives",                                                 \
        },                                                                    \
    {                                                                         \
        .name = "retry_errors", .type = GGW_SETTING_ENUM,                     \
        .offset = (base) + offsetof(struct ggw_kind, retry_errors),           \
        .fallback = "\"no\"", .choices = "no|yes",                            \
        .help = "an idempotent request is tried elsewhere after a 5xx",       \
    }

static const struct ggw_setting kind_settings[] = {
    {
        .name = "methods",
        .type = GGW_SETTING_METHODS,
        .offset = offsetof(struct ggw_kind, methods),
        .fallback = "[\"GET\"]",
        .choices = METHODS,
        .help = "HTTP methods of the requests of this kind",
    },
    {
        .name = "path_prefix",
        .type = GGW_SETTING_PREFIX,
        .offset = offsetof(struct ggw_kind, path_prefix),
        .fallback = "\"/\"",
        .help = "beginning of the path behind /TEAM/SERVICE; when several "
                "kinds match, the longest prefix wins, then the first name",
    },
    KIND_SETTINGS(0),
    {
        .name = "order_from",
        .type = GGW_SETTING_ORDER,
        .help = "where the identifier of an order stands: a header, or a "
                "segment of the path behind /TEAM/SERVICE counted from 0",
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
    {
        .name = "slots",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, slots),
        .min = 1,
        .max = 1024,
        .fallback = "2",
        .help = "requests that one warm backend server runs at a time",
    },
    {
        .name = "ahead",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, ahead),
        .min = 0,
        .max = 1024,
        .fallback = "0",
        .help = "further requests for a warm backend server, which wait "
                "there and hide the time until a free slot gets the next "
                "one; 0 for servers that shed above their slots",
    },
    {
        .name = "connections",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, connections),
        .min = 1,
        .max = 100000,
        .fallback = "200",
        .help = "connections that one backend server accepts, over all "
                "gateways",
    },
    {
        .name = "cold_limit",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, cold_limit),
        .min = 1,
        .max = 1024,
        .fallback = "1",
        .help = "requests at a time for a backend server that has just "
                "started; at most the slots",
    },
    {
        .name = "cold_ms",
        .type = GGW_SETTING_MS,
        .offset = offsetof(struct ggw_service_rule, cold_time),
        .min = 0,
        .max = 3600000,
        .fallback = "5000",
        .help = "time until such a server is warm",
    },
    {
        .name = "policy",
        .type = GGW_SETTING_CHOICE,
        .offset = offsetof(struct ggw_service_rule, policy),
        .fallback = "\"slots\"",
        .choices = POLICIES,
        .help = "how a backend server is picked",
    },
    /* The promise to spend at most 1% on measuring holds for any setting. */
    {
        .name = "measure_percent",
        .type = GGW_SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, measure_percent),
        .min = 0,
        .max = 1,
        .fallback = "1",
        .help = "budget for probes as a share of slot time",
    },
    {
        .name = "retry_percent",
        .type = GGW_SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, retry_percent),
        .min = 0,
        .max = 50,
        .fallback = "10",
        .help = "budget for retries as a share of calls",
    },
    {
        .name = "hedge_percent",
        .type = GGW_SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, hedge_percent),
        .min = 0,
        .max = 50,
        .fallback = "5",
        .help = "budget for hedged requests as a share of calls",
    },
    {
        .name = "queue",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, queue),
        .min = 0,
        .max = 10000,
        .fallback = "64",
        .help = "requests that may wait for a slot in one failure domain",
    },
    {
        .name = "owner_scope",
        .type = GGW_SETTING_ENUM,
        .offset = offsetof(struct ggw_service_rule, scope),
        .fallback = "\"failure_domain\"",
        .choices = "failure_domain|service|size",
        .help = "whose slots one gateway grants; \"service\" suits work that "
                "takes far longer than a round trip between failure domains, "
                "\"size\" is that for services of few servers only",
    },
    {
        .name = "cold_per_s",
        .type = GGW_SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, cold_rate),
        .min = 0,
        .max = 100000,
        .fallback = "0",
        .help = "requests a second for a server that has just started; 0: "
                "only cold_limit applies",
    },
    {
        .name = "spare_retries",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, spare_retries),
        .min = 0,
        .max = 100000,
        .fallback = "0",
        .help = "repeats in 10 s beside the percentages, over all gateways",
    },
    {
        .name = "probes_per_s",
        .type = GGW_SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, probe_rate),
        .min = 0,
        .max = 1000,
        .fallback = "0",
        .help = "load reports a second that may be asked of one server when "
                "a request is placed; 0: none",
    },
    {
        .name = "trial_longest_ms",
        .type = GGW_SETTING_MS,
        .offset = offsetof(struct ggw_service_rule, max_trial_interval),
        .min = 500,
        .max = 3600000,
        .fallback = "10000",
        .help = "longest interval between trials of an ejected server",
    },
    {
        .name = "busy_percent",
        .type = GGW_SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, busy_percent),
        .min = 1,
        .max = 100,
        .fallback = "100",
        .help = "share of its slots above which a server becomes slow",
    },
    {
        .name = "health_path",
        .type = GGW_SETTING_PREFIX,
        .offset = offsetof(struct ggw_service_rule, health_path),
        .fallback = "\"/-/load\"",
        .help = "path that answers with a load report",
    },
    {
        .name = "kinds",
        .type = GGW_SETTING_MAP,
        .entries = &kind_level,
        .help = "rules by kind of request; a request that no kind matches is "
                "refused",
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
        .help = "host that the client asks for, in lower case",
    },
    {
        .name = "path_prefix",
        .type = GGW_SETTING_PREFIX,
        .offset = offsetof(struct ggw_route_rule, kind.path_prefix),
        .fallback = "\"/\"",
        .help = "beginning of the path; the longest prefix of a host wins",
    },
    {
        .name = "services",
        .type = GGW_SETTING_SPLIT,
        .help = "services that the requests go to, each with its weight",
    },
    KIND_SETTINGS(offsetof(struct ggw_route_rule, kind)),
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

static const struct ggw_setting domain_settings[] = {
    {
        .name = "state",
        .type = GGW_SETTING_ENUM,
        .offset = offsetof(struct state_entry, state),
        .fallback = "\"in\"",
        .choices = "in|out",
        .help = "\"out\" takes the failure domain out of service",
    },
    {0},
};

static const struct ggw_setting_level domain_level = {
    .path = "failure_domains.DOMAIN",
    .settings = domain_settings,
    .size = sizeof(struct state_entry),
    .add = add_domain,
};

static const struct ggw_setting server_settings[] = {
    {
        .name = "state",
        .type = GGW_SETTING_ENUM,
        .offset = offsetof(struct state_entry, state),
        .fallback = "\"in\"",
        .choices = "in|draining",
        .help = "\"draining\" gives the backend server no new work",
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
        .help = "failure domains whose state operators set",
    },
    {
        .name = "backend_servers",
        .type = GGW_SETTING_MAP,
        .entries = &server_level,
        .help = "backend servers whose state operators set",
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
        .help = "requests that are found by host and path instead of "
                "/TEAM/SERVICE",
    },
    {0},
};

const struct ggw_setting_level ggw_settings_root = {
    .path = "",
    .settings = root_settings,
};
