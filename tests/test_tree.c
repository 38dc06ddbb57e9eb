#include <CUnit/Basic.h>
#include <string.h>

#include "common/error.h"
#include "config/tree.h"

static const char example_json[] =
    "{\"failure_domains\":{\"cairo-a\":{\"state\":\"out\"},\"cairo-b\":{}},"
    "\"backend_servers\":{\"strand-1\":{\"state\":\"draining\"},"
    "\"strand-2\":{\"state\":\"in\"}},"
    "\"services\":{\"strand-status\":{\"slots\":4},"
    "\"repair-orders\":{\"retry_percent\":2.5,\"kinds\":{"
    "\"rest\":{\"path_prefix\":\"/\",\"methods\":[\"GET\",\"POST\"]},"
    "\"confirm\":{\"path_prefix\":\"/confirm\",\"methods\":[\"POST\"],"
    "\"idempotency\":\"order\",\"order_from\":\"path:2\",\"attempts\":1},"
    "\"pay\":{\"path_prefix\":\"/pay\",\"methods\":[\"POST\"],"
    "\"idempotency\":\"order\",\"order_from\":\"header:X-Order-Id\"}}}}}";

/* Guards against defaults that differ from those in docs/settings.md. */
static void
test_defaults(void)
{
    struct ggw_tree *t = ggw_tree_parse("nile-strand", 7, example_json, NULL);
    const struct ggw_service_rule *rule;

    g_assert_nonnull(t);
    CU_ASSERT_STRING_EQUAL(t->team, "nile-strand");
    CU_ASSERT_EQUAL(t->revision, 7);
    CU_ASSERT_PTR_NULL(ggw_tree_service(t, "absent"));
    rule = ggw_tree_service(t, "strand-status");
    g_assert_nonnull(rule);
    CU_ASSERT_EQUAL(rule->slots, 4);
    CU_ASSERT_EQUAL(rule->connections, 200);
    CU_ASSERT_EQUAL(rule->cold_limit, 1);
    CU_ASSERT_EQUAL(rule->cold_time, 5000);
    CU_ASSERT_STRING_EQUAL(rule->policy, "slots");
    CU_ASSERT_EQUAL(rule->measure_percent, 1);
    CU_ASSERT_EQUAL(rule->retry_percent, 10);
    CU_ASSERT_EQUAL(rule->hedge_percent, 5);
    CU_ASSERT_EQUAL(rule->queue, 64);
    CU_ASSERT_EQUAL(rule->kinds_len, 0);
    CU_ASSERT_PTR_NULL(ggw_service_kind(rule, "GET", "/"));
    ggw_tree_unref(t);
}

/*
 * Guards against a request that gets the wrong kind. The members of a JSON
 * object are unordered, so the longest path prefix must decide.
 */
static void
test_kinds(void)
{
    struct ggw_tree *t = ggw_tree_parse("nile-strand", 1, example_json, NULL);
    const struct ggw_service_rule *rule = ggw_tree_service(t, "repair-orders");
    const struct ggw_kind *kind = ggw_service_kind(rule, "POST", "/confirm/9");

    g_assert_nonnull(kind);
    CU_ASSERT_STRING_EQUAL(kind->name, "confirm");
    CU_ASSERT_EQUAL(kind->idempotency, GGW_AT_MOST_ONCE);
    CU_ASSERT_EQUAL(kind->order_source, GGW_ORDER_FROM_PATH);
    CU_ASSERT_EQUAL(kind->order_segment, 2);
    CU_ASSERT_EQUAL(kind->attempts, 1);
    kind = ggw_service_kind(rule, "POST", "/pay");
    g_assert_nonnull(kind);
    CU_ASSERT_EQUAL(kind->order_source, GGW_ORDER_FROM_HEADER);
    CU_ASSERT_STRING_EQUAL(kind->order_header, "X-Order-Id");
    kind = ggw_service_kind(rule, "GET", "/confirm/9");
    g_assert_nonnull(kind);
    CU_ASSERT_STRING_EQUAL(kind->name, "rest");
    CU_ASSERT_EQUAL(kind->timeout, 1000);
    CU_ASSERT_PTR_NULL(ggw_service_kind(rule, "DELETE", "/confirm/9"));
    ggw_tree_unref(t);
}

/*
 * Guards against the wrong state of a failure domain or backend server, and
 * against a snapshot that is freed while a reference remains.
 */
static void
test_states(void)
{
    struct ggw_tree *t = ggw_tree_parse("nile-strand", 1, example_json, NULL);

    CU_ASSERT_TRUE(ggw_tree_domain_out(t, "cairo-a"));
    CU_ASSERT_FALSE(ggw_tree_domain_out(t, "cairo-b"));
    CU_ASSERT_FALSE(ggw_tree_domain_out(t, "absent"));
    CU_ASSERT_TRUE(ggw_tree_server_draining(t, "strand-1"));
    CU_ASSERT_FALSE(ggw_tree_server_draining(t, "strand-2"));
    ggw_tree_unref(ggw_tree_ref(t));
    CU_ASSERT_TRUE(ggw_tree_domain_out(t, "cairo-a"));
    ggw_tree_unref(t);
}

struct invalid_tree {
    const char *json;
    const char *message;
};

#define KEY "not-to-be-shown"
#define CUSTOMER(settings) "{\"customers\":{\"c\":{" settings "}}}"
#define SERVICE(settings) "{\"services\":{\"s\":{" settings "}}}"
#define KIND(settings) SERVICE("\"kinds\":{\"k\":{" settings "}}")

static const struct invalid_tree invalid_trees[] = {
    {"[]", "settings: is not an object"},
    {"{", "settings: not JSON: line 1: string or '}' expected near end of "
          "file"},
    {"{\"services\":{},\"services\":{}}",
     "settings: not JSON: line 1: duplicate object key near '\"services\"'"},
    {"{\"servces\":{}}", "servces: no such setting"},
    {"{\"services\":{\"a.b\":{}}}",
     "services: the name \"a.b\" is not 1..64 letters, digits, \"_\" or "
     "\"-\""},
    {"{\"failure_domains\":{\"d\":{\"state\":\"off\"}}}",
     "failure_domains.d.state: \"off\" is not one of in, out"},
    {"{\"backend_servers\":{\"v\":{\"state\":true}}}",
     "backend_servers.v.state: true is not one of in, draining"},
    {SERVICE("\"slots\":0"), "services.s.slots: 0 is not in 1..1024"},
    {SERVICE("\"slots\":\"2\""),
     "services.s.slots: \"2\" is not a whole number in 1..1024"},
    {SERVICE("\"slots\":2.5"),
     "services.s.slots: 2.5 is not a whole number in 1..1024"},
    {SERVICE("\"slot\":2"), "services.s.slot: no such setting"},
    {SERVICE("\"cold_limit\":3"),
     "services.s.cold_limit: 3 is not in 1..2, the slots"},
    {SERVICE("\"measure_percent\":1.5"),
     "services.s.measure_percent: 1.5 is not in 0..1"},
    {SERVICE("\"policy\":\"best\""),
     "services.s.policy: \"best\" is not one of slots, fastest, random, "
     "round_robin, least_outstanding, power_of_two"},
    {SERVICE("\"kinds\":[]"), "services.s.kinds: is not an object"},
    {KIND("\"methods\":[]"),
     "services.s.kinds.k.methods: [] is not a list of some of GET, HEAD, "
     "POST, PUT, PATCH, DELETE, OPTIONS"},
    {KIND("\"path_prefix\":\"x\""),
     "services.s.kinds.k.path_prefix: \"x\" is not a path that begins with "
     "\"/\" and has at most 8192 bytes"},
    {KIND("\"idempotency\":\"order\""),
     "services.s.kinds.k.order_from: must be set because idempotency is "
     "\"order\""},
    {KIND("\"order_from\":\"path:32\""),
     "services.s.kinds.k.order_from: \"path:32\" is not \"header:NAME\" or "
     "\"path:N\" with N in 0..31"},
    {KIND("\"order_from\":\"header:a b\""),
     "services.s.kinds.k.order_from: \"header:a b\" is not \"header:NAME\" "
     "or \"path:N\" with N in 0..31"},
    {"{\"services\":{\"s\":{}},\"routes\":{\"r\":{\"host\":\"h\","
     "\"services\":{\"s\":0}}}}",
     "routes.r.services: no weight is above 0"},
    {"{\"customers\":{\"c\":{\"keys\":[\"" KEY "\"]},"
     "\"d\":{\"keys\":[\"x\",\"" KEY "\"]}}}",
     "customers.d.keys: key 2 is a key of c, too"},
    {CUSTOMER("\"keys\":[\"x\",\"\"]"),
     "customers.c.keys: key 2 is not 1..8192 bytes without control "
     "characters and outer spaces"},
    {CUSTOMER("\"keys\":[\"" KEY " \"]"),
     "customers.c.keys: key 1 is not 1..8192 bytes without control "
     "characters and outer spaces"},
    {CUSTOMER("\"keys\":[\"" KEY "\\n\"]"),
     "customers.c.keys: key 1 is not 1..8192 bytes without control "
     "characters and outer spaces"},
    {CUSTOMER("\"keys\":[\" " KEY "\"]"),
     "customers.c.keys: key 1 is not 1..8192 bytes without control "
     "characters and outer spaces"},
    {CUSTOMER("\"keys\":[7]"),
     "customers.c.keys: key 1 is not 1..8192 bytes without control "
     "characters and outer spaces"},
    {CUSTOMER("\"keys\":\"" KEY "\""), "customers.c.keys: is not a list"},
    {CUSTOMER("\"keys\":[\"" KEY "\" 7]"),
     "settings: not JSON: line 1: ']' expected"},
    {"{\"customers\":{\"c\":{\"full_name\":\"x y\"},"
     "\"d\":{\"full_name\":\"x y\"}}}",
     "customers: two entries have the name \"x y\""},
    {CUSTOMER("\"full_name\":7"), "customers.c.full_name: 7 is not a text"},
    {CUSTOMER("\"rate\":-1"), "customers.c.rate: -1 is not in 0..1000000000"},
    {"{\"customers\":{\"a\\\"b\":{}}}",
     "customers: the name \"a\"b\" is not 1..200 visible ASCII characters "
     "without quotes and backslashes"},
    {"{\"customers\":{\"a b\":{}}}",
     "customers: the name \"a b\" is not 1..200 visible ASCII characters "
     "without quotes and backslashes"},
    {KIND("\"timeout_ms\":0"),
     "services.s.kinds.k.timeout_ms: 0 is not in 1..600000"},
};

/*
 * Guards against invalid settings that are accepted, or refused with a message
 * that lacks the path of the setting or the allowed values.
 */
static void
test_refusals(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_trees); i++) {
        GError *error = NULL;

        CU_ASSERT_PTR_NULL(
            ggw_tree_parse("team", 1, invalid_trees[i].json, &error));
        g_assert_nonnull(error);
        CU_ASSERT_TRUE(g_error_matches(error, GGW_ERROR, GGW_ERROR_INVALID));
        CU_ASSERT_STRING_EQUAL(error->message, invalid_trees[i].message);
        if (strcmp(error->message, invalid_trees[i].message) != 0) {
            g_printerr("got: %s\n", error->message);
        }
        g_error_free(error);
    }
}

static const char routes_json[] =
    "{\"services\":{\"s\":{},\"t\":{}},\"routes\":{"
    "\"short\":{\"host\":\"h.example\",\"path_prefix\":\"/a/\","
    "\"services\":{\"s\":1}},"
    "\"long\":{\"host\":\"h.example\",\"path_prefix\":\"/a/b/\","
    "\"services\":{\"s\":9,\"t\":1},\"idempotency\":\"once\"},"
    "\"other\":{\"host\":\"g.example\",\"path_prefix\":\"/a/\","
    "\"services\":{\"t\":1}}}}";

/*
 * Guards against selecting a route of another host, or one with a shorter
 * prefix although a longer one matches.
 */
static void
test_routes(void)
{
    struct ggw_tree *t = ggw_tree_parse("team", 1, routes_json, NULL);
    const struct ggw_route_rule *route;

    g_assert_nonnull(t);
    route = ggw_tree_route(t, "H.example:8080", "/a/b/c");
    g_assert_nonnull(route);
    CU_ASSERT_STRING_EQUAL(route->name, "long");
    CU_ASSERT_EQUAL(route->split_len, 2);
    CU_ASSERT_EQUAL(route->kind.idempotency, GGW_NO_REPEAT);
    route = ggw_tree_route(t, "h.example", "/a/bc");
    g_assert_nonnull(route);
    CU_ASSERT_STRING_EQUAL(route->name, "short");
    route = ggw_tree_route(t, "g.example", "/a/b/c");
    g_assert_nonnull(route);
    CU_ASSERT_STRING_EQUAL(route->name, "other");
    CU_ASSERT_PTR_NULL(ggw_tree_route(t, "g.example", "/b/"));
    CU_ASSERT_PTR_NULL(ggw_tree_route(t, "i.example", "/a/"));
    ggw_tree_unref(t);
}

/*
 * Guards against customers that get each other's settings, and against an
 * empty list that is taken for an absent one.
 */
static void
test_customers(void)
{
    struct ggw_tree *t =
        ggw_tree_parse("team", 1,
                       "{\"customers\":{\"b/x\":{\"keys\":[\"k1\",\"k1\"],"
                       "\"priority\":3,\"rate\":2.5,\"burst\":10},\"a\":{}}}",
                       NULL);
    const struct ggw_customer_rule *c;

    g_assert_nonnull(t);
    CU_ASSERT_TRUE(t->needs_key);
    c = ggw_tree_customer_by_key(t, "k1");
    g_assert_nonnull(c);
    CU_ASSERT_STRING_EQUAL(c->name, "b/x");
    CU_ASSERT_EQUAL(c->priority, 3);
    CU_ASSERT_EQUAL(c->rate, 2.5);
    CU_ASSERT_EQUAL(c->burst, 10);
    CU_ASSERT_PTR_EQUAL(ggw_tree_customer(t, "b/x"), c);
    c = ggw_tree_customer(t, "a");
    g_assert_nonnull(c);
    CU_ASSERT_EQUAL(c->priority, GGW_CUSTOMER_PRIORITY_UNSET);
    CU_ASSERT_EQUAL(c->rate, 0);
    CU_ASSERT_PTR_NULL(ggw_tree_customer(t, "c"));
    CU_ASSERT_PTR_NULL(ggw_tree_customer_by_key(t, "k2"));
    ggw_tree_unref(t);
    t = ggw_tree_parse("team", 1, "{\"customers\":{}}", NULL);
    g_assert_nonnull(t);
    CU_ASSERT_TRUE(t->needs_key);
    ggw_tree_unref(t);
    t = ggw_tree_parse("team", 1, "{}", NULL);
    g_assert_nonnull(t);
    CU_ASSERT_FALSE(t->needs_key);
    ggw_tree_unref(t);
}

/* Guards against parsing settings of unbounded size. */
static void
test_size(void)
{
    g_autofree char *blank = g_strnfill(GGW_TREE_JSON_MAX, ' ');
    g_autofree char *json = g_strconcat("{", blank, "}", NULL);
    GError *error = NULL;

    CU_ASSERT_PTR_NULL(ggw_tree_parse("team", 1, json, &error));
    g_assert_nonnull(error);
    CU_ASSERT_STRING_EQUAL(
        error->message,
        "settings: 8388610 bytes of JSON are not in 2..8388608");
    g_error_free(error);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("tree", NULL, NULL);
    CU_add_test(suite, "defaults", test_defaults);
    CU_add_test(suite, "kinds", test_kinds);
    CU_add_test(suite, "states", test_states);
    CU_add_test(suite, "invalid settings", test_refusals);
    CU_add_test(suite, "routes", test_routes);
    CU_add_test(suite, "customers", test_customers);
    CU_add_test(suite, "maximum size", test_size);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
