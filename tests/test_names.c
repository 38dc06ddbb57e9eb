#include <CUnit/CUnit.h>
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

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"customers", test_customers},
        {"services", test_services},
        {"failure domains", test_domains},
        CU_TEST_INFO_NULL,
    };

    return suite_run("names", tests);
}
