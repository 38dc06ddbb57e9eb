#include "config/schema.h"

#include <stdlib.h>
#include <string.h>

#include "common/error.h"

/* Names stand in paths of requests and settings, where "." and "/" divide. */
#define NAME_CHARS                                                            \
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-"
#define MAX_NAME 64
#define MAX_PREFIX 256
#define MAX_ORDER_SEGMENT 31

#define HOST_CHARS "abcdefghijklmnopqrstuvwxyz0123456789.-_"
#define MAX_HOST 253
#define MAX_WEIGHT 1000000

#define METHODS "GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS"
#define POLICIES                                                              \
    "slots|fastest|random|round_robin|least_outstanding|power_of_two"

enum setting_type {
    SETTING_INT,
    SETTING_MS,     /* whole number of milliseconds, stored as ggw_ms */
    SETTING_NUMBER, /* with fraction */
    SETTING_CHOICE, /* stored as text */
    SETTING_ENUM,   /* stored as the position in the choices */
    SETTING_METHODS,
    SETTING_PREFIX,
    SETTING_HOST,
    SETTING_ORDER, /* stored in three members of struct ggw_kind */
    SETTING_SPLIT, /* services with weights, of a struct ggw_route_rule */
    SETTING_MAP,   /* names, each with a level of its own */
};

struct level;

/*
 * @offset: place in the struct of the level
 * @min, @max: range of numbers
 * @fallback: JSON text of the default; NULL leaves the setting unset
 * @choices: allowed texts, divided by "|"
 * @entries: level below a map
 */
struct setting {
    const char *name;
    enum setting_type type;
    size_t offset;
    double min, max;
    const char *fallback;
    const char *choices;
    const struct level *entries;
    const char *help;
};

/*
 * @size: of the struct that holds the settings of one entry
 * @check: what depends on more than one setting, or NULL
 * @add: moves a checked entry into its parent
 * @clear: frees what a refused entry holds, or NULL
 */
struct level {
    const char *path; /* for the reference */
    const struct setting *settings;
    size_t size;
    bool (*check)(const void *entry, const char *path, GError **error);
    void (*add)(void *parent, const char *name, void *entry);
    void (*clear)(void *entry);
};

struct state_entry {
    int state; /* 0 is the default, "in" */
};

static bool refuse(GError **error, const char *path, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

static bool
refuse(GError **error, const char *path, const char *format, ...)
{
    g_autofree char *text = NULL;
    va_list ap;

    va_start(ap, format);
    text = g_strdup_vprintf(format, ap);
    va_end(ap);
    g_set_error(error, GGW_ERROR, GGW_ERROR_INVALID, "%s: %s", path, text);
    return false;
}

static bool
check_service(const void *entry, const char *path, GError **error)
{
    const struct ggw_service_rule *rule = entry;
    g_autofree char *setting = g_strconcat(path, ".cold_limit", NULL);

    if (rule->cold_limit > rule->slots) {
        return refuse(error, setting, "%d is not in 1..%d, the slots",
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
        return refuse(error, setting, "must be set");
    }
    if (route->kind.idempotency == GGW_AT_MOST_ONCE) {
        setting = g_strconcat(path, ".idempotency", NULL);
        return refuse(error, setting,
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
        return refuse(error, setting,
                      "must be set because idempotency is \"order\"");
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
        .type = SETTING_MS,                                                   \
        .offset = (base) + offsetof(struct ggw_kind, timeout),                \
        .min = 1,                                                             \
        .max = 600000,                                                        \
        .fallback = "1000",                                                   \
        .help = "longest time for one request with all its attempts",         \
    },                                                                        \
        {                                                                     \
            .name = "priority",                                               \
            .type = SETTING_INT,                                              \
            .offset = (base) + offsetof(struct ggw_kind, priority),           \
            .min = 0,                                                         \
            .max = 9,                                                         \
            .fallback = "1",                                                  \
            .help = "0 is the highest; lower ones are displaced first",       \
        },                                                                    \
        {                                                                     \
            .name = "idempotency",                                            \
            .type = SETTING_ENUM,                                             \
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
            .type = SETTING_INT,                                              \
            .offset = (base) + offsetof(struct ggw_kind, attempts),           \
            .min = 1,                                                         \
            .max = 10,                                                        \
            .fallback = "3",                                                  \
            .help = "most attempts for one request",                          \
        },                                                                    \
        {                                                                     \
            .name = "target_ms",                                              \
            .type = SETTING_MS,                                               \
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
            .type = SETTING_INT,                                              \
            .offset = (base) + offsetof(struct ggw_kind, hold),               \
            .min = 0,                                                         \
            .max = 16777216,                                                  \
            .fallback = "0",                                                  \
            .help =                                                           \
                "bytes of a response kept until it is whole, so that a "      \
                "broken one can be replaced; a longer one is passed on as "   \
                "it arrives",                                                 \
        },                                                                    \
    {                                                                         \
        .name = "retry_errors", .type = SETTING_ENUM,                         \
        .offset = (base) + offsetof(struct ggw_kind, retry_errors),           \
        .fallback = "\"no\"", .choices = "no|yes",                            \
        .help = "an idempotent request is tried elsewhere after a 5xx",       \
    }

static const struct setting kind_settings[] = {
    {
        .name = "methods",
        .type = SETTING_METHODS,
        .offset = offsetof(struct ggw_kind, methods),
        .fallback = "[\"GET\"]",
        .choices = METHODS,
        .help = "HTTP methods of the requests of this kind",
    },
    {
        .name = "path_prefix",
        .type = SETTING_PREFIX,
        .offset = offsetof(struct ggw_kind, path_prefix),
        .fallback = "\"/\"",
        .help = "beginning of the path behind /TEAM/SERVICE; when several "
                "kinds match, the longest prefix wins, then the first name",
    },
    KIND_SETTINGS(0),
    {
        .name = "order_from",
        .type = SETTING_ORDER,
        .help = "where the identifier of an order stands: a header, or a "
                "segment of the path behind /TEAM/SERVICE counted from 0",
    },
    {0},
};

static const struct level kind_level = {
    .path = "services.SERVICE.kinds.KIND",
    .settings = kind_settings,
    .size = sizeof(struct ggw_kind),
    .check = check_kind,
    .add = add_kind,
    .clear = clear_kind,
};

static const struct setting service_settings[] = {
    {
        .name = "slots",
        .type = SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, slots),
        .min = 1,
        .max = 1024,
        .fallback = "2",
        .help = "requests that one warm backend server runs at a time",
    },
    {
        .name = "ahead",
        .type = SETTING_INT,
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
        .type = SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, connections),
        .min = 1,
        .max = 100000,
        .fallback = "200",
        .help = "connections that one backend server accepts, over all "
                "gateways",
    },
    {
        .name = "cold_limit",
        .type = SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, cold_limit),
        .min = 1,
        .max = 1024,
        .fallback = "1",
        .help = "requests at a time for a backend server that has just "
                "started; at most the slots",
    },
    {
        .name = "cold_ms",
        .type = SETTING_MS,
        .offset = offsetof(struct ggw_service_rule, cold_time),
        .min = 0,
        .max = 3600000,
        .fallback = "5000",
        .help = "time until such a server is warm",
    },
    {
        .name = "policy",
        .type = SETTING_CHOICE,
        .offset = offsetof(struct ggw_service_rule, policy),
        .fallback = "\"slots\"",
        .choices = POLICIES,
        .help = "how a backend server is picked",
    },
    /* The promise to spend at most 1% on measuring holds for any setting. */
    {
        .name = "measure_percent",
        .type = SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, measure_percent),
        .min = 0,
        .max = 1,
        .fallback = "1",
        .help = "budget for probes as a share of slot time",
    },
    {
        .name = "retry_percent",
        .type = SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, retry_percent),
        .min = 0,
        .max = 50,
        .fallback = "10",
        .help = "budget for retries as a share of calls",
    },
    {
        .name = "hedge_percent",
        .type = SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, hedge_percent),
        .min = 0,
        .max = 50,
        .fallback = "5",
        .help = "budget for hedged requests as a share of calls",
    },
    {
        .name = "queue",
        .type = SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, queue),
        .min = 0,
        .max = 10000,
        .fallback = "64",
        .help = "requests that may wait for a slot in one failure domain",
    },
    {
        .name = "owner_scope",
        .type = SETTING_ENUM,
        .offset = offsetof(struct ggw_service_rule, scope),
        .fallback = "\"failure_domain\"",
        .choices = "failure_domain|service",
        .help = "whose slots one gateway grants; \"service\" suits work that "
                "takes far longer than a round trip between failure domains",
    },
    {
        .name = "cold_per_s",
        .type = SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, cold_rate),
        .min = 0,
        .max = 100000,
        .fallback = "0",
        .help = "requests a second for a server that has just started; 0: "
                "only cold_limit applies",
    },
    {
        .name = "spare_retries",
        .type = SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, spare_retries),
        .min = 0,
        .max = 100000,
        .fallback = "0",
        .help = "repeats in 10 s beside the percentages, over all gateways",
    },
    {
        .name = "probes_per_s",
        .type = SETTING_NUMBER,
        .offset = offsetof(struct ggw_service_rule, probe_rate),
        .min = 0,
        .max = 1000,
        .fallback = "0",
        .help = "load reports a second that may be asked of one server when "
                "a request is placed; 0: none",
    },
    {
        .name = "busy_percent",
        .type = SETTING_INT,
        .offset = offsetof(struct ggw_service_rule, busy_percent),
        .min = 1,
        .max = 100,
        .fallback = "100",
        .help = "share of its slots above which a server becomes slow",
    },
    {
        .name = "health_path",
        .type = SETTING_PREFIX,
        .offset = offsetof(struct ggw_service_rule, health_path),
        .fallback = "\"/-/load\"",
        .help = "path that answers with a load report",
    },
    {
        .name = "kinds",
        .type = SETTING_MAP,
        .entries = &kind_level,
        .help = "rules by kind of request; a request that no kind matches is "
                "refused",
    },
    {0},
};

static const struct level service_level = {
    .path = "services.SERVICE",
    .settings = service_settings,
    .size = sizeof(struct ggw_service_rule),
    .check = check_service,
    .add = add_service,
    .clear = clear_service,
};

static const struct setting route_settings[] = {
    {
        .name = "host",
        .type = SETTING_HOST,
        .offset = offsetof(struct ggw_route_rule, host),
        .help = "host that the client asks for, in lower case",
    },
    {
        .name = "path_prefix",
        .type = SETTING_PREFIX,
        .offset = offsetof(struct ggw_route_rule, kind.path_prefix),
        .fallback = "\"/\"",
        .help = "beginning of the path; the longest prefix of a host wins",
    },
    {
        .name = "services",
        .type = SETTING_SPLIT,
        .help = "services that the requests go to, each with its weight",
    },
    KIND_SETTINGS(offsetof(struct ggw_route_rule, kind)),
    {0},
};

static const struct level route_level = {
    .path = "routes.ROUTE",
    .settings = route_settings,
    .size = sizeof(struct ggw_route_rule),
    .check = check_route,
    .add = add_route,
    .clear = clear_route,
};

static const struct setting domain_settings[] = {
    {
        .name = "state",
        .type = SETTING_ENUM,
        .offset = offsetof(struct state_entry, state),
        .fallback = "\"in\"",
        .choices = "in|out",
        .help = "\"out\" takes the failure domain out of service",
    },
    {0},
};

static const struct level domain_level = {
    .path = "failure_domains.DOMAIN",
    .settings = domain_settings,
    .size = sizeof(struct state_entry),
    .add = add_domain,
};

static const struct setting server_settings[] = {
    {
        .name = "state",
        .type = SETTING_ENUM,
        .offset = offsetof(struct state_entry, state),
        .fallback = "\"in\"",
        .choices = "in|draining",
        .help = "\"draining\" gives the backend server no new work",
    },
    {0},
};

static const struct level server_level = {
    .path = "backend_servers.VM",
    .settings = server_settings,
    .size = sizeof(struct state_entry),
    .add = add_server,
};

static const struct setting root_settings[] = {
    {
        .name = "failure_domains",
        .type = SETTING_MAP,
        .entries = &domain_level,
        .help = "failure domains whose state operators set",
    },
    {
        .name = "backend_servers",
        .type = SETTING_MAP,
        .entries = &server_level,
        .help = "backend servers whose state operators set",
    },
    {
        .name = "services",
        .type = SETTING_MAP,
        .entries = &service_level,
        .help = "the team's services",
    },
    {
        .name = "routes",
        .type = SETTING_MAP,
        .entries = &route_level,
        .help = "requests that are found by host and path instead of "
                "/TEAM/SERVICE",
    },
    {0},
};

static const struct level root_level = {
    .path = "",
    .settings = root_settings,
};

/* The value as JSON, shortened for a message. */
static char *
shown(const json_t *value)
{
    char *raw = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
    char *text =
        strlen(raw) > 60 ? g_strdup_printf("%.57s...", raw) : g_strdup(raw);

    free(raw);
    return text;
}

static char *
listed(const char *choices)
{
    g_auto(GStrv) parts = g_strsplit(choices, "|", -1);

    return g_strjoinv(", ", parts);
}

static int
choice_index(const char *choices, const json_t *value)
{
    g_auto(GStrv) parts = g_strsplit(choices, "|", -1);
    const char *text = json_string_value(value);

    for (int i = 0; text != NULL && parts[i] != NULL; i++) {
        if (strcmp(parts[i], text) == 0) {
            return i;
        }
    }
    return -1;
}

static bool
parse_number(const struct setting *s, const json_t *value, const char *path,
             void *place, GError **error)
{
    bool whole = s->type != SETTING_NUMBER;
    double number = json_number_value(value);
    g_autofree char *text = NULL;

    if (!(whole ? json_is_integer(value) : json_is_number(value)) ||
        !(number >= s->min && number <= s->max)) {
        text = shown(value);
        return refuse(error, path, "%s is not %sin %.15g..%.15g", text,
                      whole && !json_is_integer(value) ? "a whole number "
                                                       : "",
                      s->min, s->max);
    }
    if (s->type == SETTING_INT) {
        *(int *)place = (int)number;
    }
    else {
        *(double *)place = number;
    }
    return true;
}

static bool
parse_choice(const struct setting *s, const json_t *value, const char *path,
             void *place, GError **error)
{
    int i = choice_index(s->choices, value);

    if (i < 0) {
        g_autofree char *text = shown(value);
        g_autofree char *allowed = listed(s->choices);

        return refuse(error, path, "%s is not one of %s", text, allowed);
    }
    if (s->type == SETTING_ENUM) {
        *(int *)place = i;
    }
    else {
        *(char **)place = g_strdup(json_string_value(value));
    }
    return true;
}

static bool
parse_methods(const struct setting *s, const json_t *value, const char *path,
              char ***place, GError **error)
{
    size_t len = json_array_size(value);
    bool ok = len > 0;

    for (size_t i = 0; i < len && ok; i++) {
        ok = choice_index(s->choices, json_array_get(value, i)) >= 0;
    }
    if (!ok) {
        g_autofree char *text = shown(value);
        g_autofree char *allowed = listed(s->choices);

        return refuse(error, path, "%s is not a list of some of %s", text,
                      allowed);
    }
    *place = g_new0(char *, len + 1);
    for (size_t i = 0; i < len; i++) {
        (*place)[i] = g_strdup(json_string_value(json_array_get(value, i)));
    }
    return true;
}

static bool
parse_prefix(const json_t *value, const char *path, char **place,
             GError **error)
{
    const char *text = json_string_value(value);

    if (text == NULL || *text != '/' || strlen(text) > MAX_PREFIX) {
        g_autofree char *json = shown(value);

        return refuse(error, path,
                      "%s is not a path that begins with \"/\" and has at "
                      "most %d bytes",
                      json, MAX_PREFIX);
    }
    *place = g_strdup(text);
    return true;
}

static bool
parse_order(const json_t *value, const char *path, struct ggw_kind *kind,
            GError **error)
{
    const char *text = json_string_value(value);
    g_autofree char *json = NULL;

    if (text != NULL && g_str_has_prefix(text, "header:")) {
        const char *name = text + strlen("header:");
        size_t len = strspn(name, NAME_CHARS);

        if (len > 0 && len <= MAX_NAME && name[len] == '\0') {
            kind->order_source = GGW_ORDER_FROM_HEADER;
            kind->order_header = g_strdup(name);
            return true;
        }
    }
    if (text != NULL && g_str_has_prefix(text, "path:")) {
        guint64 segment;

        if (g_ascii_string_to_unsigned(text + strlen("path:"), 10, 0,
                                       MAX_ORDER_SEGMENT, &segment, NULL)) {
            kind->order_source = GGW_ORDER_FROM_PATH;
            kind->order_segment = (int)segment;
            return true;
        }
    }
    json = shown(value);
    return refuse(error, path,
                  "%s is not \"header:NAME\" or \"path:N\" with N in 0..%d",
                  json, MAX_ORDER_SEGMENT);
}

static bool
parse_host(const json_t *value, const char *path, char **place, GError **error)
{
    const char *text = json_string_value(value);

    if (text == NULL || *text == '\0' || strlen(text) > MAX_HOST ||
        text[strspn(text, HOST_CHARS)] != '\0') {
        g_autofree char *json = shown(value);

        return refuse(error, path, "%s is not a host name in lower case",
                      json);
    }
    *place = g_strdup(text);
    return true;
}

static bool
parse_split(const json_t *value, const char *path,
            struct ggw_route_rule *route, GError **error)
{
    const char *name;
    json_t *weight;

    if (!json_is_object(value)) {
        return refuse(error, path, "is not an object");
    }
    json_object_foreach((json_t *)value, name, weight)
    {
        json_int_t number = json_integer_value(weight);

        if (!json_is_integer(weight) || number < 0 || number > MAX_WEIGHT) {
            return refuse(error, path, "the weight of %s is not in 0..%d",
                          name, MAX_WEIGHT);
        }
        route->split =
            g_renew(struct ggw_split_part, route->split, route->split_len + 1);
        route->split[route->split_len++] = (struct ggw_split_part){
            .service = g_strdup(name), .weight = (int)number};
    }
    return true;
}

static bool parse_level(const struct level *level, const json_t *value,
                        const char *path, void *entry, GError **error);

static bool
check_name(const char *name, const char *path, GError **error)
{
    size_t len = strspn(name, NAME_CHARS);

    if (len == 0 || len > MAX_NAME || name[len] != '\0') {
        return refuse(error, path,
                      "the name \"%s\" is not 1..%d letters, digits, \"_\" "
                      "or \"-\"",
                      name, MAX_NAME);
    }
    return true;
}

static bool
parse_entry(const struct level *level, const char *name, const json_t *value,
            const char *path, void *parent, GError **error)
{
    char *below = g_strconcat(path, ".", name, NULL);
    void *entry = g_malloc0(level->size);
    bool ok = check_name(name, path, error) &&
              parse_level(level, value, below, entry, error) &&
              (level->check == NULL || level->check(entry, below, error));

    if (ok) {
        level->add(parent, name, entry);
    }
    else if (level->clear != NULL) {
        level->clear(entry);
    }
    g_free(entry);
    g_free(below);
    return ok;
}

static bool
parse_map(const struct setting *s, const json_t *value, const char *path,
          void *parent, GError **error)
{
    const char *name;
    json_t *entry;

    if (!json_is_object(value)) {
        return refuse(error, path, "is not an object");
    }
    json_object_foreach((json_t *)value, name, entry)
    {
        if (!parse_entry(s->entries, name, entry, path, parent, error)) {
            return false;
        }
    }
    return true;
}

static bool
parse_setting(const struct setting *s, const json_t *value, const char *path,
              void *entry, GError **error)
{
    void *place = (char *)entry + s->offset;

    switch (s->type) {
    case SETTING_INT:
    case SETTING_MS:
    case SETTING_NUMBER:
        return parse_number(s, value, path, place, error);
    case SETTING_CHOICE:
    case SETTING_ENUM:
        return parse_choice(s, value, path, place, error);
    case SETTING_METHODS:
        return parse_methods(s, value, path, place, error);
    case SETTING_PREFIX:
        return parse_prefix(value, path, place, error);
    case SETTING_HOST:
        return parse_host(value, path, place, error);
    case SETTING_ORDER:
        return parse_order(value, path, entry, error);
    case SETTING_SPLIT:
        return parse_split(value, path, entry, error);
    case SETTING_MAP:
        break;
    }
    return parse_map(s, value, path, entry, error);
}

static bool
known_names(const struct level *level, const json_t *value, const char *path,
            GError **error)
{
    const char *name;
    json_t *member;

    json_object_foreach((json_t *)value, name, member)
    {
        const struct setting *s = level->settings;
        g_autofree char *below = NULL;

        while (s->name != NULL && strcmp(s->name, name) != 0) {
            s++;
        }
        if (s->name == NULL) {
            below = g_strconcat(path, *path != '\0' ? "." : "", name, NULL);
            return refuse(error, below, "no such setting");
        }
    }
    return true;
}

static bool
parse_level(const struct level *level, const json_t *value, const char *path,
            void *entry, GError **error)
{
    bool ok;

    if (!json_is_object(value)) {
        return refuse(error, *path != '\0' ? path : "settings",
                      "is not an object");
    }
    ok = known_names(level, value, path, error);
    for (const struct setting *s = level->settings; ok && s->name != NULL;
         s++) {
        json_t *given = json_object_get(value, s->name);
        json_t *fallback = NULL;
        g_autofree char *below =
            g_strconcat(path, *path != '\0' ? "." : "", s->name, NULL);

        if (given == NULL && s->fallback != NULL) {
            fallback = json_loads(s->fallback, JSON_DECODE_ANY, NULL);
        }
        if (given != NULL || fallback != NULL) {
            ok = parse_setting(s, given != NULL ? given : fallback, below,
                               entry, error);
        }
        json_decref(fallback);
    }
    return ok;
}

bool
ggw_schema_parse(const json_t *root, struct ggw_tree *tree, GError **error)
{
    return parse_level(&root_level, root, "", tree, error);
}

static char *
allowed_text(const struct setting *s)
{
    g_autofree char *choices =
        s->choices != NULL ? listed(s->choices) : g_strdup("");

    switch (s->type) {
    case SETTING_INT:
    case SETTING_MS:
        return g_strdup_printf("whole number, %.15g..%.15g", s->min, s->max);
    case SETTING_NUMBER:
        return g_strdup_printf("number, %.15g..%.15g", s->min, s->max);
    case SETTING_METHODS:
        return g_strdup_printf("list of %s", choices);
    case SETTING_PREFIX:
        return g_strdup_printf("path, at most %d bytes", MAX_PREFIX);
    case SETTING_ORDER:
        return g_strdup_printf("`header:NAME` or `path:N`, N in 0..%d",
                               MAX_ORDER_SEGMENT);
    case SETTING_HOST:
        return g_strdup_printf("host name, at most %d bytes", MAX_HOST);
    case SETTING_SPLIT:
        return g_strdup_printf("object of SERVICE to weight, 0..%d",
                               MAX_WEIGHT);
    case SETTING_MAP:
        return g_strdup_printf("entries `%s`", s->entries->path);
    case SETTING_CHOICE:
    case SETTING_ENUM:
        break;
    }
    return g_steal_pointer(&choices);
}

static void
print_level(GString *out, const struct level *level)
{
    g_string_append_printf(out,
                           "\n## %s%s%s\n\n"
                           "| setting | allowed | default | meaning |\n"
                           "| --- | --- | --- | --- |\n",
                           *level->path != '\0' ? "`" : "",
                           *level->path != '\0' ? level->path : "Top level",
                           *level->path != '\0' ? "`" : "");
    for (const struct setting *s = level->settings; s->name != NULL; s++) {
        g_autofree char *allowed = allowed_text(s);
        const char *fallback = s->fallback;

        if (fallback == NULL) {
            fallback = s->type == SETTING_MAP ? "{}" : "unset";
        }
        g_string_append_printf(out, "| `%s` | %s | `%s` | %s |\n", s->name,
                               allowed, fallback, s->help);
    }
    for (const struct setting *s = level->settings; s->name != NULL; s++) {
        if (s->type == SETTING_MAP) {
            print_level(out, s->entries);
        }
    }
}

void
ggw_schema_print(GString *out)
{
    g_string_append_printf(
        out,
        "# Settings of a team\n\n"
        "Generated by `greengageway settings`. The settings are one JSON\n"
        "object. Unknown settings are refused. Names in capitals stand for\n"
        "names of 1..%d letters, digits, `_` or `-`. Times are in ms.\n",
        MAX_NAME);
    print_level(out, &root_level);
}
