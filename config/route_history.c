#include "config/route_history.h"

#include <string.h>

/**
 * struct ggw_route_history - the history of one team
 * @tree: settings that were recorded last, or NULL
 * @ages: maps the name of a route of @tree to its struct ggw_route_age
 */
struct ggw_route_history {
    struct ggw_tree *tree;
    GHashTable *ages;
};

static GHashTable *
new_ages(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

struct ggw_route_history *
ggw_route_history_new(void)
{
    struct ggw_route_history *h = g_new0(struct ggw_route_history, 1);

    h->ages = new_ages();
    return h;
}

void
ggw_route_history_free(struct ggw_route_history *h)
{
    g_hash_table_destroy(h->ages);
    ggw_tree_unref(h->tree);
    g_free(h);
}

static bool
kind_equals(const struct ggw_kind *a, const struct ggw_kind *b)
{
    return g_strcmp0(a->path_prefix, b->path_prefix) == 0 &&
           a->timeout == b->timeout && a->priority == b->priority &&
           a->idempotency == b->idempotency &&
           a->order_source == b->order_source &&
           g_strcmp0(a->order_header, b->order_header) == 0 &&
           a->order_segment == b->order_segment &&
           a->attempts == b->attempts && a->target == b->target &&
           a->hold_bytes == b->hold_bytes &&
           a->retry_errors == b->retry_errors;
}

static bool
split_equals(const struct ggw_route_rule *a, const struct ggw_route_rule *b)
{
    if (a->split_len != b->split_len) {
        return false;
    }
    for (size_t i = 0; i < a->split_len; i++) {
        if (a->split[i].weight != b->split[i].weight ||
            strcmp(a->split[i].service, b->split[i].service) != 0) {
            return false;
        }
    }
    return true;
}

static bool
route_equals(const struct ggw_route_rule *a, const struct ggw_route_rule *b)
{
    return strcmp(a->host, b->host) == 0 && kind_equals(&a->kind, &b->kind) &&
           split_equals(a, b);
}

/* Maps the names of the routes of @tree to the routes. */
static GHashTable *
index_routes(const struct ggw_tree *tree)
{
    GHashTable *routes = g_hash_table_new(g_str_hash, g_str_equal);

    for (size_t i = 0; tree != NULL && i < tree->routes_len; i++) {
        g_hash_table_insert(routes, tree->routes[i].name, &tree->routes[i]);
    }
    return routes;
}

void
ggw_route_history_record(struct ggw_route_history *h, struct ggw_tree *tree)
{
    g_autoptr(GHashTable) before = index_routes(h->tree);
    GHashTable *ages = new_ages();

    for (size_t i = 0; i < tree->routes_len; i++) {
        const struct ggw_route_rule *route = &tree->routes[i];
        const struct ggw_route_rule *old =
            g_hash_table_lookup(before, route->name);
        struct ggw_route_age *age = g_new0(struct ggw_route_age, 1);

        if (old != NULL && route_equals(old, route)) {
            *age = *(struct ggw_route_age *)g_hash_table_lookup(h->ages,
                                                                route->name);
        }
        else {
            age->since = tree->revision;
            age->or_earlier = h->tree == NULL;
        }
        g_hash_table_insert(ages, route->name, age);
    }
    g_hash_table_destroy(h->ages);
    h->ages = ages;
    ggw_tree_ref(tree);
    ggw_tree_unref(h->tree);
    h->tree = tree;
}

bool
ggw_route_history_age(const struct ggw_route_history *h, const char *route,
                      struct ggw_route_age *age)
{
    const struct ggw_route_age *known = g_hash_table_lookup(h->ages, route);

    if (known != NULL) {
        *age = *known;
    }
    return known != NULL;
}
