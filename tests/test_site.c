#include <CUnit/CUnit.h>
#include <math.h>
#include <string.h>

#include "common/error.h"
#include "config/tree.h"
#include "platform/config.h"
#include "platform/settings.h"
#include "tests/suite.h"

#define SETTINGS_HEAD                                                         \
    "{\"NodeName\":\"n1\",\"Zone\":\"a\",\"Ip\":\"10.1.0.18\","               \
    "\"InternalPorts\":[7200,7215],"                                          \
    "\"Seeds\":[\"10.1.0.18:8382\",\"10.2.0.34:8382\"],"                      \
    "\"Platform\":{\"Address\":\"10.200.1.7:8384\"},"                         \
    "\"Bounds\":{\"GraceS\":6,\"ttl_max_s\":5,\"RetryRatio\":0.2,"            \
    "\"RetryWindowS\":10,\"RetrySlack\":58,\"ProbesPerS\":60},"
#define LISTEN(ready)                                                         \
    "\"Listen\":{\"Front\":\"10.1.0.18:8381\",\"Ready\":" ready ","           \
    "\"Control\":\"10.1.0.18:8382\",\"Directory\":\"10.1.0.18:8383\"}}"
#define SETTINGS SETTINGS_HEAD LISTEN("\"10.1.0.18:8388\"")

static struct ggw_node_settings *
parse_settings(void)
{
    return ggw_node_settings_parse(SETTINGS, "file", NULL);
}

/* Guards against seeds with the wrong port, and bounds in the wrong unit. */
static void
test_settings(void)
{
    struct ggw_node_settings *s = parse_settings();

    g_assert_nonnull(s);
    CU_ASSERT_STRING_EQUAL(s->seeds[1], "10.2.0.34:7200");
    CU_ASSERT_EQUAL(s->peers.port, 7200);
    CU_ASSERT_EQUAL(s->grace, 6000);
    CU_ASSERT_EQUAL(s->retry_percent, 20);
    CU_ASSERT_EQUAL(s->spare_retries, 58);
    ggw_node_settings_free(s);
}

/*
 * Guards against a changed settings file whose changes are not reported: they
 * take effect only at the next start of the process.
 */
static void
test_settings_changed(void)
{
    struct ggw_node_settings *a = parse_settings();
    struct ggw_node_settings *b = parse_settings();
    g_autofree char *same = ggw_node_settings_changed(a, b);
    g_autofree char *changed = NULL;

    CU_ASSERT_PTR_NULL(same);
    b->store.port++;
    b->grace += 1;
    changed = ggw_node_settings_changed(a, b);
    CU_ASSERT_STRING_EQUAL(changed, "Platform.Address, Bounds");
    ggw_node_settings_free(a);
    ggw_node_settings_free(b);
}

/* Guards against an error message that does not name file and field. */
static void
test_settings_refused(void)
{
    g_autoptr(GError) error = NULL;
    g_autoptr(GError) other = NULL;

    CU_ASSERT_PTR_NULL(
        ggw_node_settings_parse(SETTINGS_HEAD LISTEN("7"), "file", &error));
    g_assert_nonnull(error);
    CU_ASSERT_STRING_EQUAL(error->message,
                           "file: Listen.Ready: is not a non-empty string");
    CU_ASSERT_PTR_NULL(ggw_node_settings_parse("{", "file", &other));
    CU_ASSERT_PTR_NOT_NULL(other);
}

static GBytes *
bytes(const char *text)
{
    return g_bytes_new_static(text, strlen(text));
}

#define CONFIG(rule)                                                          \
    "{\"Version\":\"00000007\",\"Listeners\":[{\"Host\":\"H.example\","       \
    "\"Rules\":[" rule "]}],\"Clusters\":[{\"Name\":\"s\","                   \
    "\"HealthPath\":\"/health\",\"MaxConns\":220,\"ColdStartS\":3.0,"         \
    "\"ColdPerS\":3.4},{\"Name\":\"t\",\"HealthPath\":\"/h\","                \
    "\"MaxConns\":220}]}"
#define RULE(type)                                                            \
    "{\"Name\":\"r\",\"RouteType\":\"" type                                   \
    "\",\"TargetLatencyMs\":300,\"Priority\":2,"                              \
    "\"Match\":{\"Prefix\":\"/p/\"},\"Action\":{\"TrafficSplit\":["           \
    "{\"Service\":\"s\",\"Weight\":90},{\"Service\":\"t\",\"Weight\":10}],"   \
    "\"TimeoutMs\":1200,\"MaxAttempts\":2}}"

static struct ggw_tree *
translate_config(const char *config, const char *domain_out, GError **error)
{
    struct ggw_node_settings *s = parse_settings();
    g_autoptr(GBytes) text = bytes(config);
    g_autoptr(GHashTable) domains_out =
        g_hash_table_new(g_str_hash, g_str_equal);
    g_autofree char *version = NULL;
    g_autofree char *json = NULL;
    struct ggw_tree *tree = NULL;

    if (domain_out != NULL) {
        g_hash_table_add(domains_out, (gpointer)domain_out);
    }
    json = ggw_site_translate(text, domains_out, s, &version, error);
    if (json != NULL) {
        tree = ggw_tree_parse(GGW_SITE_TEAM, 1, json, error);
    }
    ggw_node_settings_free(s);
    return tree;
}

/* Guards against settings that differ from the configuration they are from. */
static void
test_config(void)
{
    g_autoptr(GError) error = NULL;
    struct ggw_tree *tree =
        translate_config(CONFIG(RULE("non_idempotent")), "zone-b", &error);
    const struct ggw_route_rule *route;
    const struct ggw_service_rule *rule;

    g_assert_nonnull(tree);
    route = ggw_tree_route(tree, "h.example", "/p/x");
    g_assert_nonnull(route);
    CU_ASSERT_EQUAL(route->kind.idempotency, GGW_NO_REPEAT);
    CU_ASSERT_EQUAL(route->kind.timeout, 1200);
    CU_ASSERT_EQUAL(route->kind.target, 300);
    CU_ASSERT_EQUAL(route->kind.attempts, 2);
    CU_ASSERT_EQUAL(route->split_len, 2);
    rule = ggw_tree_service(tree, "s");
    g_assert_nonnull(rule);
    CU_ASSERT_EQUAL(rule->cold_time, 3000);
    CU_ASSERT_DOUBLE_EQUAL(rule->cold_rate, 3.4, 1e-9);
    CU_ASSERT_TRUE(rule->retry_percent + rule->hedge_percent <= 20);
    CU_ASSERT_TRUE(ggw_tree_domain_out(tree, "zone-b"));
    ggw_tree_unref(tree);
}

/*
 * Guards against a limit of the body that is not the configuration's, and
 * against settings that change where it states none.
 */
static void
test_body_limit(void)
{
    static const struct {
        const char *limits;
        int body_max;
    } cases[] = {
        {"", 0},
        {"\"Limits\":{},", 0},
        {"\"Limits\":{\"MaxBodyBytes\":67108864},", 67108864},
        {"\"Limits\":{\"MaxBodyBytes\":9000000000},", G_MAXINT},
        {"\"Limits\":{\"MaxBodyBytes\":-1},", 0},
        {"\"Limits\":{\"MaxBodyBytes\":\"x\"},", 0},
        {"\"Limits\":7,", 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autoptr(GError) error = NULL;
        g_autofree char *text = g_strdup_printf(
            "{%s%s", cases[i].limits, CONFIG(RULE("idempotent")) + 1);
        struct ggw_tree *tree = translate_config(text, NULL, &error);

        g_assert_nonnull(tree);
        CU_ASSERT_EQUAL(tree->body_max, cases[i].body_max);
        ggw_tree_unref(tree);
    }
}

/* Guards against limits for another machine than that of the settings. */
static void
test_machine(void)
{
    struct ggw_node_settings s = {.memory = 160, .max_fds = 4100};

    CU_ASSERT_EQUAL(ggw_node_settings_memory(&s), 160 * 1048576);
    CU_ASSERT_EQUAL(ggw_node_settings_sockets(&s), 3900);
    s = (struct ggw_node_settings){.max_fds = 100};
    CU_ASSERT_EQUAL(ggw_node_settings_memory(&s), 0);
    CU_ASSERT_EQUAL(ggw_node_settings_sockets(&s), 1);
    s.max_fds = 0;
    CU_ASSERT_EQUAL(ggw_node_settings_sockets(&s), 0);
}

/*
 * Guards against a limit of the slot time of hedges that does not reach the
 * services, and against one that nobody has set.
 */
static void
test_hedge_work(void)
{
    static const double percents[] = {0, 5};

    for (size_t i = 0; i < G_N_ELEMENTS(percents); i++) {
        struct ggw_node_settings *s = parse_settings();
        g_autoptr(GBytes) text = bytes(CONFIG(RULE("idempotent")));
        g_autoptr(GHashTable) domains_out =
            g_hash_table_new(g_str_hash, g_str_equal);
        g_autofree char *version = NULL;
        g_autofree char *json = NULL;
        struct ggw_tree *tree;

        s->hedge_work_percent = percents[i];
        json = ggw_site_translate(text, domains_out, s, &version, NULL);
        g_assert_nonnull(json);
        CU_ASSERT_EQUAL(strstr(json, "hedge_work_percent") != NULL,
                        percents[i] > 0);
        tree = ggw_tree_parse(GGW_SITE_TEAM, 1, json, NULL);
        g_assert_nonnull(tree);
        CU_ASSERT_EQUAL(ggw_tree_service(tree, "s")->hedge_work_percent,
                        percents[i]);
        ggw_tree_unref(tree);
        ggw_node_settings_free(s);
    }
}

/*
 * Guards against repeating requests that are not known to be idempotent: the
 * type of their route is new to the gateway.
 */
static void
test_unknown_type(void)
{
    struct ggw_tree *tree =
        translate_config(CONFIG(RULE("novel")), NULL, NULL);

    g_assert_nonnull(tree);
    CU_ASSERT_EQUAL(tree->routes[0].kind.idempotency, GGW_NO_REPEAT);
    ggw_tree_unref(tree);
    tree = translate_config(CONFIG(RULE("download")), NULL, NULL);
    g_assert_nonnull(tree);
    CU_ASSERT_EQUAL(tree->routes[0].kind.idempotency, GGW_IDEMPOTENT);
    ggw_tree_unref(tree);
}

/* Guards against a malformed configuration that is partly applied. */
static void
test_config_refused(void)
{
    static const char *const malformed[] = {
        "", "[]", "{\"Listeners\":[{}]",
        CONFIG("{\"Name\":\"r\",\"Match\":{\"Prefix\":\"/p/\"}}"),
        CONFIG("{\"Name\":\"r\",\"Action\":{\"Service\":\"s\"}}")};

    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        g_autoptr(GError) error = NULL;

        CU_ASSERT_PTR_NULL(translate_config(malformed[i], NULL, &error));
        CU_ASSERT_PTR_NOT_NULL(error);
    }
}

/* Settings that follow from a new configuration; NULL if there are none. */
static struct ggw_tree *
resolve(struct ggw_site_config *site, const char *config, GError **error)
{
    struct ggw_node_settings *s = parse_settings();
    struct ggw_site_settings settings = {0};
    struct ggw_tree *tree;

    g_clear_pointer(&site->config, g_bytes_unref);
    site->config = bytes(config);
    ggw_site_resolve(site, s, 1, &settings, error);
    ggw_node_settings_free(s);
    tree = g_steal_pointer(&settings.tree);
    ggw_site_settings_clear(&settings);
    return tree;
}

#define CUSTOMERS(tenants, rule)                                              \
    "{\"Version\":\"00000007\",\"Tenants\":" tenants                          \
    ",\"Listeners\":[{\"Host\":\"H.example\",\"Rules\":[" rule                \
    "]}],\"Clusters\":[{\"Name\":\"s\"},{\"Name\":\"t\"}]}"
#define PUBLIC_RULE                                                           \
    "{\"Name\":\"p\",\"Public\":true,\"Match\":{\"Prefix\":\"/o/\"},"         \
    "\"Action\":{\"Service\":\"s\"}}"
#define KEYED_RULE                                                            \
    "{\"Name\":\"k\",\"Public\":false,\"Match\":{\"Prefix\":\"/k/\"},"        \
    "\"Action\":{\"Service\":\"s\"}}"

/*
 * Guards against customers of a configuration whose keys, priority or rate are
 * lost or given to another one, and against a route that is public by
 * mistake.
 */
static void
test_tenants(void)
{
    struct ggw_tree *t = translate_config(
        CUSTOMERS("[{\"Name\":\"t.1\",\"ApiKeys\":[\"k1\",\"k2\"],"
                  "\"Priority\":1,\"RatePerS\":258,\"Burst\":129.5},"
                  "{\"Name\":\"t2\",\"ApiKeys\":[\"k3\"],\"Priority\":99},"
                  "{\"Name\":\"t3\"}]",
                  PUBLIC_RULE "," KEYED_RULE "," RULE("idempotent")),
        NULL, NULL);
    const struct ggw_customer_rule *c;

    g_assert_nonnull(t);
    CU_ASSERT_TRUE(t->needs_key);
    CU_ASSERT_EQUAL(t->customers_len, 3);
    c = ggw_tree_customer_by_key(t, "k2");
    g_assert_nonnull(c);
    CU_ASSERT_STRING_EQUAL(c->name, "t.1");
    CU_ASSERT_EQUAL(c->priority, 1);
    CU_ASSERT_EQUAL(c->rate, 258);
    CU_ASSERT_EQUAL(c->burst, 129.5);
    c = ggw_tree_customer_by_key(t, "k3");
    g_assert_nonnull(c);
    CU_ASSERT_STRING_EQUAL(c->name, "t2");
    CU_ASSERT_EQUAL(c->priority, 9);
    CU_ASSERT_EQUAL(c->rate, 0);
    c = ggw_tree_customer(t, "t3");
    g_assert_nonnull(c);
    CU_ASSERT_EQUAL(c->priority, GGW_CUSTOMER_PRIORITY_UNSET);
    for (size_t i = 0; i < t->routes_len; i++) {
        CU_ASSERT_EQUAL(t->routes[i].is_public,
                        strcmp(t->routes[i].name, "p") == 0);
    }
    ggw_tree_unref(t);
}

/*
 * Guards against a configuration with an empty list of customers that needs no
 * key, and against one without a list that needs one.
 */
static void
test_tenants_absent(void)
{
    struct ggw_tree *t =
        translate_config(CUSTOMERS("[]", KEYED_RULE), NULL, NULL);

    g_assert_nonnull(t);
    CU_ASSERT_TRUE(t->needs_key);
    ggw_tree_unref(t);
    t = translate_config(CUSTOMERS("null", KEYED_RULE), NULL, NULL);
    g_assert_nonnull(t);
    CU_ASSERT_FALSE(t->needs_key);
    ggw_tree_unref(t);
    t = translate_config(CONFIG(RULE("idempotent")), NULL, NULL);
    g_assert_nonnull(t);
    CU_ASSERT_FALSE(t->needs_key);
    ggw_tree_unref(t);
}

/*
 * Guards against a configuration with a key that two customers hold, or an
 * empty or malformed one, that is applied or ends the last valid one, and
 * against a reason that shows a key.
 */
static void
test_tenants_refused(void)
{
    static const char *const refused[] = {
        ("[{\"Name\":\"a\",\"ApiKeys\":[\"secret\"]},"
         "{\"Name\":\"b\",\"ApiKeys\":[\"x\",\"secret\"]}]"),
        "[{\"Name\":\"a\",\"ApiKeys\":[\"\"]}]",
        "[{\"Name\":\"a\",\"ApiKeys\":[\"secret\\nsecret\"]}]",
        "[{\"Name\":\"a\",\"ApiKeys\":[\" secret\"]}]",
        "[{\"Name\":\"a\",\"ApiKeys\":[\"secret \"]}]",
        "[{\"Name\":\"a\",\"ApiKeys\":[7]}]",
        "[{\"Name\":\"a\",\"ApiKeys\":\"secret\"}]",
        "[{\"Name\":\"a\"},{\"Name\":\"a\",\"ApiKeys\":[\"secret\"]}]",
        "[{\"ApiKeys\":[\"secret\"]}]",
        "[{\"Name\":\"a\",\"ApiKeys\":[\"secret\"],\"RatePerS\":-1}]",
        "[\"secret\"]",
        "{\"secret\":{}}",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(refused); i++) {
        struct ggw_site_config site = {
            .domains_out = g_hash_table_new(g_str_hash, g_str_equal),
        };
        g_autofree char *config = g_strdup_printf(
            "{\"Version\":\"00000009\",\"Tenants\":%s,\"Listeners\":[],"
            "\"Clusters\":[]}",
            refused[i]);
        g_autoptr(GError) error = NULL;
        struct ggw_tree *t = resolve(
            &site,
            CUSTOMERS("[{\"Name\":\"a\",\"ApiKeys\":[\"k\"]}]", KEYED_RULE),
            NULL);

        g_assert_nonnull(t);
        ggw_tree_unref(t);
        t = resolve(&site, config, &error);
        g_assert_nonnull(error);
        CU_ASSERT_PTR_NULL(strstr(error->message, "secret"));
        g_assert_nonnull(t);
        CU_ASSERT_PTR_NOT_NULL(ggw_tree_customer_by_key(t, "k"));
        CU_ASSERT_PTR_NOT_NULL(ggw_tree_route(t, "h.example", "/k/"));
        ggw_tree_unref(t);
        ggw_site_config_clear(&site);
    }
}

/* A rule that is malformed, and one that the settings do not allow. */
#define RULE_WITHOUT_PREFIX                                                   \
    "{\"Name\":\"lost\",\"Action\":{\"Service\":\"s\"}}"
#define RULE_WITHOUT_WEIGHT                                                   \
    "{\"Name\":\"lost\",\"Match\":{\"Prefix\":\"/q/\"},\"Action\":{"          \
    "\"TrafficSplit\":[{\"Service\":\"s\",\"Weight\":0}]}}"

/*
 * Guards against a failure domain that stays in service because the newest
 * configuration is refused, and against a refusal that is reported again and
 * again or does not name the route.
 */
static void
test_domain_out_while_refused(void)
{
    static const char *const refused[] = {
        CONFIG(RULE("idempotent") "," RULE_WITHOUT_PREFIX),
        CONFIG(RULE("idempotent") "," RULE_WITHOUT_WEIGHT),
    };

    for (size_t i = 0; i < G_N_ELEMENTS(refused); i++) {
        struct ggw_site_config site = {
            .domains_out = g_hash_table_new(g_str_hash, g_str_equal),
        };
        g_autoptr(GError) error = NULL;
        g_autoptr(GError) again = NULL;
        struct ggw_tree *tree;

        CU_ASSERT_PTR_NULL(resolve(&site, refused[i], &error));
        g_assert_nonnull(error);
        CU_ASSERT_PTR_NOT_NULL(strstr(error->message, "lost"));
        tree = resolve(&site, CONFIG(RULE("idempotent")), &again);
        CU_ASSERT_PTR_NOT_NULL(tree);
        ggw_tree_unref(tree);
        g_hash_table_add(site.domains_out, (gpointer) "zone-b");
        tree = resolve(&site, refused[i], &again);
        CU_ASSERT_PTR_NULL(again);
        g_assert_nonnull(tree);
        CU_ASSERT_TRUE(ggw_tree_domain_out(tree, "zone-b"));
        CU_ASSERT_PTR_NOT_NULL(ggw_tree_route(tree, "h.example", "/p/x"));
        ggw_tree_unref(tree);
        g_hash_table_remove(site.domains_out, "zone-b");
        tree = resolve(&site, refused[i], &again);
        g_assert_nonnull(tree);
        CU_ASSERT_FALSE(ggw_tree_domain_out(tree, "zone-b"));
        ggw_tree_unref(tree);
        ggw_site_config_clear(&site);
    }
}

/* A route, and a configuration with the routes of one host. */
#define ROUTE(name, prefix, target, timeout, to)                              \
    "{\"Name\":\"" name "\",\"TargetLatencyMs\":" target                      \
    ",\"Match\":{\"Prefix\":\"/" prefix "\"},\"Action\":{" to                 \
    ",\"TimeoutMs\":" timeout "}}"
#define TO_S "\"Service\":\"s\""
#define CLUSTERS "\"Clusters\":[{\"Name\":\"s\"}]"
#define VERSIONED(version, rules)                                             \
    "{\"Version\":" version ",\"Listeners\":[{\"Host\":\"h.example\","        \
    "\"Rules\":[" rules "]}]," CLUSTERS "}"
#define ROUTED(version, prefix)                                               \
    VERSIONED("\"" version "\"", ROUTE("a", prefix, "300", "1200", TO_S))

/* Whether the settings of a configuration have a route; unreferences them. */
static bool
has_route(struct ggw_tree *tree, const char *path)
{
    bool found = tree != NULL && ggw_tree_route(tree, "h.example", path);

    ggw_tree_unref(tree);
    return found;
}

/*
 * Guards against an older configuration written later that replaces a newer
 * one, is reported again and again, or leaves a gateway behind that knows only
 * the older one.
 */
static void
test_older_configuration_written_later(void)
{
    struct ggw_site_config site = {
        .domains_out = g_hash_table_new(g_str_hash, g_str_equal),
    };
    g_autoptr(GError) error = NULL;
    g_autoptr(GError) again = NULL;
    struct ggw_tree *tree;

    CU_ASSERT_TRUE(has_route(
        resolve(&site, ROUTED("0000000a", "new/"), &again), "/new/"));
    tree = resolve(&site, ROUTED("00000009", "old/"), &error);
    CU_ASSERT_TRUE(g_error_matches(error, GGW_ERROR, GGW_ERROR_OLDER));
    g_assert_nonnull(tree);
    CU_ASSERT_EQUAL(tree->revision, 2);
    CU_ASSERT_TRUE(has_route(tree, "/new/"));
    g_hash_table_add(site.domains_out, (gpointer) "zone-b");
    tree = resolve(&site, ROUTED("00000009", "old/"), &again);
    CU_ASSERT_PTR_NULL(again);
    g_assert_nonnull(tree);
    CU_ASSERT_TRUE(ggw_tree_domain_out(tree, "zone-b"));
    CU_ASSERT_TRUE(tree->revision > 2);
    CU_ASSERT_TRUE(has_route(tree, "/new/"));
    CU_ASSERT_TRUE(has_route(resolve(&site, ROUTED("0000000a", "same/"), NULL),
                             "/same/"));
    CU_ASSERT_TRUE(has_route(resolve(&site, ROUTED("0000000B", "next/"), NULL),
                             "/next/"));
    ggw_site_config_clear(&site);
}

/* Guards against an invalid configuration that is taken, even in part. */
static void
test_invalid_configuration(void)
{
    static const struct {
        const char *text;
        const char *field;
    } cases[] = {
        {"{\"Listeners\":[]," CLUSTERS "}", "Version"},
        {VERSIONED("7", ""), "Version"},
        {VERSIONED("\"\"", ""), "Version"},
        {VERSIONED("\"0000000x\"", ""), "Version"},
        {"{\"Version\":\"0000000b\"," CLUSTERS "}", "Listeners"},
        {"{\"Version\":\"0000000b\",\"Listeners\":[]}", "Clusters"},
        {VERSIONED("\"0000000b\"",
                   ROUTE("b", "x/", "300", "1200", "\"Service\":\"lost\"")),
         "Service"},
        {VERSIONED("\"0000000b\"",
                   ROUTE("c", "x/", "300", "1200",
                         "\"TrafficSplit\":[{\"Service\":\"s\",\"Weight\":1},"
                         "{\"Service\":\"lost\",\"Weight\":1}]")),
         "Service"},
        {ROUTED("0000000b", "x"), "Prefix"},
        {VERSIONED("\"0000000b\"",
                   ROUTE("d", "x/", "300", "1200",
                         TO_S) "," ROUTE("e", "x/", "200", "900", TO_S)),
         "Prefix"},
        {VERSIONED("\"0000000b\"", ROUTE("g", "x/", "0", "0", TO_S)),
         "TimeoutMs"},
        {VERSIONED("\"0000000b\"", ROUTE("h", "x/", "0", "-1", TO_S)),
         "TimeoutMs"},
        {VERSIONED("\"0000000b\"", ROUTE("i", "x/", "300", "3600001", TO_S)),
         "TimeoutMs"},
        {"{\"Version\":\"0000000b\",\"Listeners\":[],\"Clusters\":[", "JSON"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ggw_site_config site = {
            .domains_out = g_hash_table_new(g_str_hash, g_str_equal),
        };
        g_autoptr(GError) error = NULL;
        struct ggw_tree *tree;

        ggw_tree_unref(resolve(&site, ROUTED("0000000a", "good/"), NULL));
        tree = resolve(&site, cases[i].text, &error);
        CU_ASSERT_TRUE(has_route(tree, "/good/"));
        CU_ASSERT_TRUE(error != NULL &&
                       strstr(error->message, cases[i].field) != NULL);
        ggw_site_config_clear(&site);
    }
}

/* Guards against a configuration that is refused though no page rules it out.
 */
static void
test_unusual_configuration(void)
{
    static const char *const cases[] = {
        VERSIONED("\"0000000b\"", ""),
        VERSIONED("\"0000000b\"", ROUTE("j", "x/", "1200", "1200", TO_S)),
        VERSIONED("\"0000000b\"", ROUTE("j", "x/", "1200", "800", TO_S)),
        VERSIONED("\"0000000b\"", ROUTE("k", "x/", "300", "3600000", TO_S)),
        VERSIONED("\"0000000b\"", ROUTE("l", "x/", "null", "null", TO_S)),
        VERSIONED("\"0000000b\"", ROUTE("m", "", "300", "1200", TO_S)),
        VERSIONED("\"0000000b\"",
                  ROUTE("n", "x/", "300", "1200",
                        TO_S) "," ROUTE("o", "x/y/", "300", "1200", TO_S)),
        VERSIONED("\"0000000b\"",
                  ROUTE("p", "x/", "300", "1200",
                        "\"TrafficSplit\":[{\"Service\":\"s\",\"Weight\":1},"
                        "{\"Service\":\"lost\",\"Weight\":0}]")),
        VERSIONED("\"0000000b\"",
                  "{\"Name\":\"r\",\"Match\":{\"Prefix\":\"/x/\"},"
                  "\"Action\":{" TO_S "},\"Added\":7}"),
        ("{\"Version\":\"0000000b\",\"Listeners\":[{\"Host\":\"a.example\","
         "\"Rules\":[" ROUTE(
             "q", "x/", "300", "1200",
             TO_S) "]},{\"Host\":\"b.example\",\"Rules\":["
                   "{\"Name\":\"r\",\"Match\":{\"Prefix\":\"/x/\"},"
                   "\"Action\":{" TO_S "}}]}]," CLUSTERS "}"),
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autoptr(GError) error = NULL;
        struct ggw_tree *tree = translate_config(cases[i], NULL, &error);

        if (tree == NULL) {
            printf("%s ", error->message);
        }
        CU_ASSERT_PTR_NOT_NULL(tree);
        ggw_tree_unref(tree);
    }
}

/* Guards against an added route that is not served because of its name. */
static void
test_route_names(void)
{
    static const char *const paths[] = {"/a/", "/b/", "/c/", "/d/"};
    static const char config[] = VERSIONED(
        "\"0000000b\"",
        ROUTE("r", "a/", "300", "1200", TO_S) "," ROUTE(
            "r", "b/", "300", "1200",
            TO_S) "," ROUTE("added at 5:00/x.y", "c/", "300", "1200",
                            TO_S) "," ROUTE("a-name-of-more-than-sixty-four-"
                                            "characters-which-no-page-rules-"
                                            "out-for-a-route",
                                            "d/", "300", "1200", TO_S));

    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        CU_ASSERT_TRUE(
            has_route(translate_config(config, NULL, NULL), paths[i]));
    }
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"settings", test_settings},
        {"settings changed", test_settings_changed},
        {"settings refused", test_settings_refused},
        {"config", test_config},
        {"body limit", test_body_limit},
        {"machine", test_machine},
        {"hedge work", test_hedge_work},
        {"unknown route type", test_unknown_type},
        {"config refused", test_config_refused},
        {"customers", test_tenants},
        {"customers absent", test_tenants_absent},
        {"customers refused", test_tenants_refused},
        {"domain out while refused", test_domain_out_while_refused},
        {"older configuration written later",
         test_older_configuration_written_later},
        {"invalid configuration", test_invalid_configuration},
        {"unusual configuration", test_unusual_configuration},
        {"added route not served for its name", test_route_names},
        CU_TEST_INFO_NULL,
    };

    return suite_run("site", tests);
}
