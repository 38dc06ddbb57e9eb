#include <CUnit/Basic.h>

#include "config/route_history.h"
#include "tests/suite.h"

#define ROUTE                                                                 \
    "{\"host\":\"%s\",\"path_prefix\":\"%s\",\"services\":{\"s\":%d}}"

/* Settings with the routes "kept" and "changed". */
static struct ggw_tree *
tree_with_weight(uint64_t revision, int weight)
{
    g_autofree char *kept = g_strdup_printf(ROUTE, "a.example", "/a/", 1);
    g_autofree char *changed =
        g_strdup_printf(ROUTE, "b.example", "/b/", weight);
    g_autofree char *json =
        g_strdup_printf("{\"services\":{\"s\":{}},\"routes\":{\"kept\":%s,"
                        "\"changed\":%s}}",
                        kept, changed);
    struct ggw_tree *tree = ggw_tree_parse("team", revision, json, NULL);

    g_assert_nonnull(tree);
    return tree;
}

static void
record(struct ggw_route_history *h, struct ggw_tree *tree)
{
    ggw_route_history_record(h, tree);
    ggw_tree_unref(tree);
}

static void
expect_age(const struct ggw_route_history *h, const char *route,
           uint64_t since, bool or_earlier)
{
    struct ggw_route_age age = {0};

    CU_ASSERT_TRUE(ggw_route_history_age(h, route, &age));
    CU_ASSERT_EQUAL(age.since, since);
    CU_ASSERT_EQUAL(age.or_earlier, or_earlier);
}

/* Guards against a route that looks changed because another one was. */
static void
test_since_last_change(void)
{
    struct ggw_route_history *h = ggw_route_history_new();

    record(h, tree_with_weight(4, 1));
    expect_age(h, "kept", 4, true);
    expect_age(h, "changed", 4, true);
    record(h, tree_with_weight(6, 2));
    record(h, tree_with_weight(9, 2));
    expect_age(h, "kept", 4, true);
    expect_age(h, "changed", 6, false);
    ggw_route_history_free(h);
}

/* Guards against an age that survives the removal of its route. */
static void
test_removed_and_back(void)
{
    struct ggw_route_history *h = ggw_route_history_new();
    struct ggw_route_age age;

    record(h, tree_with_weight(1, 1));
    record(h, ggw_tree_parse("team", 2, "{\"services\":{\"s\":{}}}", NULL));
    CU_ASSERT_FALSE(ggw_route_history_age(h, "kept", &age));
    record(h, tree_with_weight(3, 1));
    expect_age(h, "kept", 3, false);
    ggw_route_history_free(h);
}

/* Guards against a change of one member that is not seen as a change. */
static void
test_each_member(void)
{
    static const char *const changes[] = {
        "{\"host\":\"x.example\",\"path_prefix\":\"/a/\","
        "\"services\":{\"s\":1}}",
        "{\"host\":\"a.example\",\"path_prefix\":\"/x/\","
        "\"services\":{\"s\":1}}",
        "{\"host\":\"a.example\",\"path_prefix\":\"/a/\","
        "\"services\":{\"s\":2}}",
        "{\"host\":\"a.example\",\"path_prefix\":\"/a/\","
        "\"services\":{\"t\":1}}",
        "{\"host\":\"a.example\",\"path_prefix\":\"/a/\","
        "\"services\":{\"s\":1,\"t\":1}}",
        "{\"host\":\"a.example\",\"path_prefix\":\"/a/\","
        "\"services\":{\"s\":1},\"timeout_ms\":77}",
        "{\"host\":\"a.example\",\"path_prefix\":\"/a/\","
        "\"services\":{\"s\":1},\"attempts\":2}",
        "{\"host\":\"a.example\",\"path_prefix\":\"/a/\","
        "\"services\":{\"s\":1},\"priority\":3}",
        "{\"host\":\"a.example\",\"path_prefix\":\"/a/\","
        "\"services\":{\"s\":1},\"target_ms\":33}",
        "{\"host\":\"a.example\",\"path_prefix\":\"/a/\","
        "\"services\":{\"s\":1},\"hold_bytes\":99}",
        "{\"host\":\"a.example\",\"path_prefix\":\"/a/\","
        "\"services\":{\"s\":1},\"retry_errors\":\"yes\"}",
        "{\"host\":\"a.example\",\"path_prefix\":\"/a/\","
        "\"services\":{\"s\":1},\"idempotency\":\"once\"}",
    };
    static const char format[] =
        "{\"services\":{\"s\":{},\"t\":{}},\"routes\":{\"r\":%s}}";

    for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
        struct ggw_route_history *h = ggw_route_history_new();
        g_autofree char *plain = g_strdup_printf(ROUTE, "a.example", "/a/", 1);
        g_autofree char *before = g_strdup_printf(format, plain);
        g_autofree char *after = g_strdup_printf(format, changes[i]);
        struct ggw_tree *tree = ggw_tree_parse("team", 2, after, NULL);

        CU_ASSERT_PTR_NOT_NULL(tree);
        record(h, ggw_tree_parse("team", 1, before, NULL));
        if (tree != NULL) {
            record(h, tree);
            expect_age(h, "r", 2, false);
        }
        ggw_route_history_free(h);
    }
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"since last change", test_since_last_change},
        {"removed and back", test_removed_and_back},
        {"each member", test_each_member},
        CU_TEST_INFO_NULL,
    };

    return suite_run("route_history", tests);
}
