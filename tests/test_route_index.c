#include <CUnit/Basic.h>
#include <string.h>

#include "config/route_index.h"
#include "config/tree.h"
#include "tests/suite.h"

#define SEED 11
#define ROUTES 300
#define REQUESTS 20000

/* Parts of random hosts and paths; few, so that many requests match. */
static const char *const hosts[] = {"a.example", "b.example", "c.example"};
static const char *const segments[] = {"a", "b", "ab", "abc", "x1"};

/* Returns a random path of up to @max segments, to be freed by the caller. */
static char *
random_path(GRand *rand, int max, bool closed)
{
    int len = g_rand_int_range(rand, 0, max + 1);
    GString *path = g_string_new("/");

    for (int i = 0; i < len; i++) {
        g_string_append(path, segments[g_rand_int_range(
                                  rand, 0, (gint32)G_N_ELEMENTS(segments))]);
        if (closed || i + 1 < len) {
            g_string_append_c(path, '/');
        }
    }
    return g_string_free(path, FALSE);
}

static const char *
random_host(GRand *rand)
{
    return hosts[g_rand_int_range(rand, 0, (gint32)G_N_ELEMENTS(hosts))];
}

/* The first of the routes with the longest prefix that matches. */
static const struct ggw_route_rule *
scan(const struct ggw_route_rule *routes, size_t len, const char *host,
     const char *path)
{
    const struct ggw_route_rule *best = NULL;

    for (size_t i = 0; i < len; i++) {
        const struct ggw_route_rule *r = &routes[i];

        if (strcmp(r->host, host) == 0 &&
            g_str_has_prefix(path, r->kind.path_prefix) &&
            (best == NULL ||
             strlen(r->kind.path_prefix) > strlen(best->kind.path_prefix))) {
            best = r;
        }
    }
    return best;
}

/* Guards against another route than a scan of all of them finds. */
static void
test_as_a_scan(void)
{
    struct ggw_route_rule *routes = g_new0(struct ggw_route_rule, ROUTES);
    GRand *rand = g_rand_new_with_seed(SEED);
    struct ggw_route_index *index;
    int found = 0;

    for (size_t i = 0; i < ROUTES; i++) {
        routes[i].host = g_strdup(random_host(rand));
        routes[i].kind.path_prefix =
            random_path(rand, 4, g_rand_boolean(rand));
    }
    index = ggw_route_index_new(routes, ROUTES);
    for (int i = 0; i < REQUESTS; i++) {
        const char *host = random_host(rand);
        g_autofree char *path = random_path(rand, 6, g_rand_boolean(rand));
        const struct ggw_route_rule *route =
            ggw_route_index_find(index, host, path);

        CU_ASSERT_PTR_EQUAL(route, scan(routes, ROUTES, host, path));
        found += route != NULL;
    }
    CU_ASSERT_TRUE(found > REQUESTS / 2);
    ggw_route_index_free(index);
    for (size_t i = 0; i < ROUTES; i++) {
        g_free(routes[i].host);
        g_free(routes[i].kind.path_prefix);
    }
    g_free(routes);
    g_rand_free(rand);
}

/* Guards against hosts that are compared by case or with their port. */
static void
test_host(void)
{
    struct ggw_route_rule route = {.host = (char *)"a.example",
                                   .kind.path_prefix = (char *)"/p/"};
    struct ggw_route_index *index = ggw_route_index_new(&route, 1);

    CU_ASSERT_PTR_EQUAL(ggw_route_index_find(index, "A.Example:80", "/p/x"),
                        &route);
    CU_ASSERT_PTR_EQUAL(ggw_route_index_find(index, "a.example", "/p/"),
                        &route);
    CU_ASSERT_PTR_NULL(ggw_route_index_find(index, "a.example", "/p"));
    CU_ASSERT_PTR_NULL(ggw_route_index_find(index, "a.example", ""));
    CU_ASSERT_PTR_NULL(ggw_route_index_find(index, "", "/p/x"));
    CU_ASSERT_PTR_NULL(ggw_route_index_find(index, "b.example", "/p/x"));
    ggw_route_index_free(index);
}

/* Guards against an index without routes that cannot be searched. */
static void
test_empty(void)
{
    struct ggw_route_index *index = ggw_route_index_new(NULL, 0);

    CU_ASSERT_PTR_NULL(ggw_route_index_find(index, "a.example", "/"));
    ggw_route_index_free(index);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"as a scan", test_as_a_scan},
        {"host", test_host},
        {"empty", test_empty},
        CU_TEST_INFO_NULL,
    };

    return suite_run("route_index", tests);
}
