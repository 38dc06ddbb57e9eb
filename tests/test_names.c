#include <CUnit/CUnit.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "config/config.h"
#include "platform/config.h"
#include "tests/suite.h"

/*
 * Names and values that the users' store accepts in a configuration, or in a
 * row beside it, and that are not allowed in the settings. None of them may
 * keep the rest of a version from coming into force.
 */

/* A name longer than those of the settings, with no character of them. */
#define LONG "\xc3\xa9 /.:\xc3\xa9 /.:\xc3\xa9 /.:\xc3\xa9 /.:\xc3\xa9 /.:"
#define LONG_NAME LONG LONG LONG LONG LONG LONG LONG LONG

/* Names as they stand in JSON, and the text that they mean. */
static const struct {
    const char *json;
    const char *text;
} names[] = {
    {"Nausori Tolls", "Nausori Tolls"},
    {"cairo.a", "cairo.a"},
    {"a/b", "a/b"},
    {"\\\"quoted\\\" \\\\", "\"quoted\" \\"},
    {"Viti\xc3\xa9", "Viti\xc3\xa9"},
    {"two\\nlines", "two\nlines"},
    {" ", " "},
    {"", ""},
    {LONG_NAME, LONG_NAME},
};

static const char config_format[] =
    "{\"Version\":\"0000000b\",\"Tenants\":[{\"Name\":\"suva\",\"ApiKeys\":"
    "[\"kept\"]},{\"Name\":\"lautoka\",\"ApiKeys\":[%s]}%s],"
    "\"Listeners\":[{\"Host\":\"h.example\",\"Rules\":[%s]}],"
    "\"Clusters\":[{\"Name\":\"s\"}%s]}";

#define RULE(name, prefix, action)                                            \
    "{\"Name\":\"" name "\",\"Match\":{\"Prefix\":\"" prefix                  \
    "\"},\"Action\":{" action "}}"
#define TO_S "\"Service\":\"s\""
#define RULE_S RULE("r", "/x/", TO_S)

/* Settings that follow from a configuration beside rows of other parts. */
static struct ggw_tree *
resolve(struct ggw_site_config *site, const char *text)
{
    struct ggw_node_settings node = {0};
    struct ggw_site_settings settings = {0};
    g_autoptr(GError) error = NULL;
    struct ggw_tree *tree;

    g_clear_pointer(&site->config, g_bytes_unref);
    site->config = g_bytes_new(text, strlen(text));
    ggw_site_resolve(site, &node, 1, &settings, &error);
    if (error != NULL) {
        printf("%s ", error->message);
    }
    CU_ASSERT_PTR_NULL(error);
    tree = g_steal_pointer(&settings.tree);
    ggw_site_settings_clear(&settings);
    return tree;
}

static struct ggw_tree *
resolve_alone(const char *text)
{
    struct ggw_site_config site = {
        .domains_out = g_hash_table_new(g_str_hash, g_str_equal),
    };
    struct ggw_tree *tree = resolve(&site, text);

    ggw_site_config_clear(&site);
    return tree;
}

/*
 * Guards against a key that goes on working after it was taken away, because
 * the version that takes it away adds a customer whose name the settings do
 * not allow; and against a customer that servers know by another name.
 */
static void
test_customers(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        g_autofree char *added = g_strdup_printf(
            ",{\"Name\":\"%s\",\"ApiKeys\":[\"new\"]}", names[i].json);
        g_autofree char *before =
            g_strdup_printf(config_format, "\"taken\"", "", RULE_S, "");
        g_autofree char *after =
            g_strdup_printf(config_format, "", added, RULE_S, "");
        struct ggw_site_config site = {
            .domains_out = g_hash_table_new(g_str_hash, g_str_equal),
        };
        struct ggw_tree *t = resolve(&site, before);
        const struct ggw_customer_rule *c;

        g_assert_nonnull(t);
        CU_ASSERT_PTR_NOT_NULL(ggw_tree_customer_by_key(t, "taken"));
        ggw_tree_unref(t);
        t = resolve(&site, after);
        g_assert_nonnull(t);
        CU_ASSERT_PTR_NULL(ggw_tree_customer_by_key(t, "taken"));
        CU_ASSERT_PTR_NOT_NULL(ggw_tree_customer_by_key(t, "kept"));
        c = ggw_tree_customer_by_key(t, "new");
        CU_ASSERT_TRUE(c != NULL && strcmp(c->name, names[i].text) == 0);
        CU_ASSERT_PTR_EQUAL(ggw_tree_customer(t, names[i].text), c);
        ggw_tree_unref(t);
        ggw_site_config_clear(&site);
    }
}

/*
 * Guards against a version that is refused for the name of a service, and
 * against routes to it that do not find it.
 */
static void
test_services(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        g_autofree char *rules = g_strdup_printf(
            RULE("r", "/x/", "\"Service\":\"%s\"") "," RULE(
                "q", "/y/",
                "\"TrafficSplit\":[{\"Service\":\"%s\",\"Weight\":1},"
                "{\"Service\":\"s\",\"Weight\":2}]"),
            names[i].json, names[i].json);
        g_autofree char *added =
            g_strdup_printf(",{\"Name\":\"%s\"}", names[i].json);
        g_autofree char *text =
            g_strdup_printf(config_format, "", "", rules, added);
        struct ggw_tree *t = resolve_alone(text);
        const struct ggw_service_rule *s;
        const struct ggw_route_rule *r;

        g_assert_nonnull(t);
        s = ggw_tree_service(t, names[i].text);
        CU_ASSERT_TRUE(s != NULL && strcmp(s->name, names[i].text) == 0);
        r = ggw_tree_route(t, "h.example", "/x/");
        CU_ASSERT_TRUE(r != NULL &&
                       strcmp(r->split[0].service, names[i].text) == 0);
        CU_ASSERT_PTR_NOT_NULL(ggw_tree_route(t, "h.example", "/y/"));
        ggw_tree_unref(t);
    }
}

/*
 * Guards against all versions being refused while a failure domain is out of
 * service whose name the settings do not allow.
 */
static void
test_domains(void)
{
    g_autofree char *text = g_strdup_printf(config_format, "", "", RULE_S, "");

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        struct ggw_site_config site = {
            .domains_out = g_hash_table_new(g_str_hash, g_str_equal),
        };
        struct ggw_tree *t;

        g_hash_table_add(site.domains_out, (gpointer)names[i].text);
        t = resolve(&site, text);
        g_assert_nonnull(t);
        CU_ASSERT_TRUE(ggw_tree_domain_out(t, names[i].text));
        CU_ASSERT_FALSE(ggw_tree_domain_out(t, "cairo-b"));
        ggw_tree_unref(t);
        ggw_site_config_clear(&site);
    }
}

/*
 * Guards against a version that is refused for a value beyond the ranges of
 * the settings which no page limits.
 */
static void
test_values(void)
{
    g_autofree char *key = g_strnfill(4000, 'k');
    g_autofree char *prefix = g_strnfill(2000, 'p');
    g_autofree char *tenants = g_strdup_printf(
        ",{\"Name\":\"t\",\"ApiKeys\":[\"%s\"],\"RatePerS\":1e12,"
        "\"Burst\":1e12}",
        key);
    g_autofree char *rules = g_strdup_printf(
        RULE("r", "/x/", TO_S) ",{\"Match\":{\"Prefix\":\"/%s/\"},"
                               "\"Action\":{" TO_S "}}",
        prefix);
    g_autofree char *path = g_strdup_printf("/%s/", prefix);
    g_autofree char *text = g_strdup_printf(
        config_format, "", tenants, rules,
        ",{\"Name\":\"t\",\"MaxConns\":1000000000,\"ColdStartS\":100000,"
        "\"ColdPerS\":1e9,\"HealthPath\":\"health\"}");
    struct ggw_tree *t = resolve_alone(text);
    const struct ggw_service_rule *s;

    g_assert_nonnull(t);
    CU_ASSERT_PTR_NOT_NULL(ggw_tree_customer_by_key(t, key));
    CU_ASSERT_PTR_NOT_NULL(ggw_tree_route(t, "h.example", path));
    s = ggw_tree_service(t, "t");
    g_assert_nonnull(s);
    CU_ASSERT_STRING_EQUAL(s->health_path, "/health");
    ggw_tree_unref(t);
}

/*
 * Guards against a version that is refused for the host of one route, or for
 * a key that requests can have.
 */
static void
test_hosts_and_keys(void)
{
    static const char *const keys[] = {"two words", "caf\xc3\xa9"};
    static const char *const hosts[] = {"h.example:8381", "[::1]",
                                        "caf\xc3\xa9.example", "~h"};

    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        g_autofree char *quoted = g_strdup_printf("\"%s\"", keys[i]);
        g_autofree char *text =
            g_strdup_printf(config_format, quoted, "", RULE_S, "");
        struct ggw_tree *t = resolve_alone(text);

        g_assert_nonnull(t);
        CU_ASSERT_PTR_NOT_NULL(ggw_tree_customer_by_key(t, keys[i]));
        ggw_tree_unref(t);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++) {
        g_autofree char *text = g_strdup_printf(
            "{\"Version\":\"0000000b\",\"Listeners\":[{\"Host\":\"%s\","
            "\"Rules\":[" RULE_S
            "]},{\"Host\":\"h.example\",\"Rules\":[" RULE_S
            "]}],\"Clusters\":[{\"Name\":\"s\"}]}",
            hosts[i]);
        struct ggw_tree *t = resolve_alone(text);

        g_assert_nonnull(t);
        CU_ASSERT_EQUAL(t->routes_len, 2);
        CU_ASSERT_PTR_NOT_NULL(ggw_tree_route(t, "h.example", "/x/"));
        ggw_tree_unref(t);
    }
}

/* Guards against shares of a route that differ from the weights. */
static void
test_weights(void)
{
    static const struct {
        const char *weights[2];
        double share; /* of the first one */
    } cases[] = {
        {{"1", "3"}, 0.25},
        {{"0.25", "0.75"}, 0.25},
        {{"0.5", "2"}, 0.2},
        {{"1e-9", "1e-9"}, 0.5},
        {{"3000000000", "1000000000"}, 0.75},
        {{"2.0", "0"}, 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *rules = g_strdup_printf(
            RULE("r", "/x/",
                 "\"TrafficSplit\":[{\"Service\":\"s\",\"Weight\":%s},"
                 "{\"Service\":\"t\",\"Weight\":%s}]"),
            cases[i].weights[0], cases[i].weights[1]);
        g_autofree char *text =
            g_strdup_printf(config_format, "", "", rules, ",{\"Name\":\"t\"}");
        struct ggw_tree *t = resolve_alone(text);
        const struct ggw_route_rule *r;
        double sum = 0, first = 0;

        g_assert_nonnull(t);
        r = ggw_tree_route(t, "h.example", "/x/");
        g_assert_nonnull(r);
        for (size_t j = 0; j < r->split_len; j++) {
            bool is_first = strcmp(r->split[j].service, "s") == 0;

            first += is_first ? r->split[j].weight : 0;
            sum += r->split[j].weight;
        }
        CU_ASSERT_TRUE(fabs(first / sum - cases[i].share) < 1e-6);
        ggw_tree_unref(t);
    }
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"customers", test_customers},
        {"services", test_services},
        {"failure domains", test_domains},
        {"values beyond the settings", test_values},
        {"hosts and keys", test_hosts_and_keys},
        {"weights", test_weights},
        CU_TEST_INFO_NULL,
    };

    return suite_run("names", tests);
}
