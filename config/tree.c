#include "config/tree.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "common/error.h"
#include "common/json_text.h"
#include "config/route_index.h"
#include "config/schema.h"

/*
 * Sorts by descending length of the path prefix. Prefixes of equal length are
 * sorted by name, which makes the order deterministic.
 */
static int
compare_kinds(const void *a, const void *b)
{
    const struct ggw_kind *x = a, *y = b;
    size_t xlen = strlen(x->path_prefix), ylen = strlen(y->path_prefix);

    if (xlen != ylen) {
        return xlen > ylen ? -1 : 1;
    }
    return strcmp(x->name, y->name);
}

static int
compare_routes(const void *a, const void *b)
{
    const struct ggw_route_rule *x = a, *y = b;
    int by_host = strcmp(x->host, y->host);

    return by_host != 0 ? by_host : compare_kinds(&x->kind, &y->kind);
}

static int
compare_services(const void *a, const void *b)
{
    const struct ggw_service_rule *x = a, *y = b;

    return strcmp(x->name, y->name);
}

static int
compare_customers(const void *a, const void *b)
{
    const struct ggw_customer_rule *x = a, *y = b;

    return strcmp(x->name, y->name);
}

/* Refuses two customers of one name: their allotments would be one. */
static bool
check_customer_names(const struct ggw_tree *tree, GError **error)
{
    for (size_t i = 1; i < tree->customers_len; i++) {
        const struct ggw_customer_rule *c = &tree->customers[i];

        if (strcmp(c->name, tree->customers[i - 1].name) == 0) {
            g_set_error(error, GGW_ERROR, GGW_ERROR_INVALID,
                        "customers: two entries have the name \"%s\"",
                        c->name);
            return false;
        }
    }
    return true;
}

/* Refuses a key that two customers hold, without repeating the key. */
static bool
index_customers(struct ggw_tree *tree, GError **error)
{
    if (tree->customers_len > 0) {
        qsort(tree->customers, tree->customers_len, sizeof(*tree->customers),
              compare_customers);
    }
    if (!check_customer_names(tree, error)) {
        return false;
    }
    for (size_t i = 0; i < tree->customers_len; i++) {
        struct ggw_customer_rule *c = &tree->customers[i];

        for (char **key = c->keys; *key != NULL; key++) {
            const struct ggw_customer_rule *other =
                g_hash_table_lookup(tree->customer_keys, *key);

            if (other != NULL && other != c) {
                g_set_error(error, GGW_ERROR, GGW_ERROR_INVALID,
                            "customers.%s.keys: key %d is a key of %s, too",
                            c->name, (int)(key - c->keys) + 1, other->name);
                return false;
            }
            g_hash_table_insert(tree->customer_keys, *key, c);
        }
    }
    return true;
}

static void
sort_rules(struct ggw_tree *tree)
{
    if (tree->services_len > 0) {
        qsort(tree->services, tree->services_len, sizeof(*tree->services),
              compare_services);
    }
    if (tree->routes_len > 0) {
        qsort(tree->routes, tree->routes_len, sizeof(*tree->routes),
              compare_routes);
    }
    for (size_t i = 0; i < tree->services_len; i++) {
        struct ggw_service_rule *rule = &tree->services[i];

        if (rule->kinds_len > 0) {
            qsort(rule->kinds, rule->kinds_len, sizeof(*rule->kinds),
                  compare_kinds);
        }
    }
}

/*
 * Removes the part of the text that an error message repeats, if the text may
 * contain keys of customers.
 */
static void
hide_keys(char *message, const char *text)
{
    char *near = strstr(message, " near ");

    if (near != NULL && strstr(text, "\"customers\"") != NULL) {
        *near = '\0';
    }
}

static json_t *
parse_json(const char *text, GError **error)
{
    json_error_t e;
    json_t *root;

    if (strlen(text) > GGW_TREE_JSON_MAX) {
        g_set_error(error, GGW_ERROR, GGW_ERROR_INVALID,
                    "settings: %zu bytes of JSON are not in 2..%d",
                    strlen(text), GGW_TREE_JSON_MAX);
        return NULL;
    }
    root = ggw_json_parse("settings", text, strlen(text),
                          JSON_REJECT_DUPLICATES, &e);
    if (root == NULL) {
        hide_keys(e.text, text);
        g_set_error(error, GGW_ERROR, GGW_ERROR_INVALID,
                    "settings: not JSON: line %d: %s", e.line, e.text);
    }
    return root;
}

struct ggw_tree *
ggw_tree_build(const char *team, uint64_t revision, const json_t *root,
               GError **error)
{
    struct ggw_tree *tree = g_new0(struct ggw_tree, 1);

    tree->refs = 1;
    tree->team = g_strdup(team);
    tree->revision = revision;
    tree->domains_out =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    tree->servers_draining =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    tree->customer_keys = g_hash_table_new(g_str_hash, g_str_equal);
    tree->needs_key = json_object_get(root, "customers") != NULL;
    if (ggw_schema_parse(root, tree, error) && index_customers(tree, error)) {
        sort_rules(tree);
        tree->route_index =
            ggw_route_index_new(tree->routes, tree->routes_len);
    }
    else {
        g_clear_pointer(&tree, ggw_tree_unref);
    }
    return tree;
}

struct ggw_tree *
ggw_tree_parse(const char *team, uint64_t revision, const char *json,
               GError **error)
{
    json_t *root = parse_json(json, error);
    struct ggw_tree *tree =
        root != NULL ? ggw_tree_build(team, revision, root, error) : NULL;

    json_decref(root);
    return tree;
}

struct ggw_tree *
ggw_tree_ref(struct ggw_tree *tree)
{
    tree->refs++;
    return tree;
}

void
ggw_tree_unref(struct ggw_tree *tree)
{
    if (tree == NULL || --tree->refs > 0) {
        return;
    }
    for (size_t i = 0; i < tree->services_len; i++) {
        ggw_service_rule_clear(&tree->services[i]);
    }
    for (size_t i = 0; i < tree->routes_len; i++) {
        ggw_route_rule_clear(&tree->routes[i]);
    }
    for (size_t i = 0; i < tree->customers_len; i++) {
        ggw_customer_rule_clear(&tree->customers[i]);
    }
    ggw_route_index_free(tree->route_index);
    g_hash_table_destroy(tree->customer_keys);
    g_free(tree->customers);
    g_free(tree->routes);
    g_free(tree->services);
    g_hash_table_destroy(tree->domains_out);
    g_hash_table_destroy(tree->servers_draining);
    g_free(tree->team);
    g_free(tree);
}

const struct ggw_service_rule *
ggw_tree_service(const struct ggw_tree *tree, const char *service)
{
    struct ggw_service_rule key = {.name = (char *)service};

    if (tree->services_len == 0) {
        return NULL;
    }
    return bsearch(&key, tree->services, tree->services_len,
                   sizeof(*tree->services), compare_services);
}

const struct ggw_kind *
ggw_service_kind(const struct ggw_service_rule *rule, const char *method,
                 const char *path)
{
    for (size_t i = 0; i < rule->kinds_len; i++) {
        const struct ggw_kind *kind = &rule->kinds[i];

        if (g_str_has_prefix(path, kind->path_prefix) &&
            g_strv_contains((const char *const *)kind->methods, method)) {
            return kind;
        }
    }
    return NULL;
}

const struct ggw_route_rule *
ggw_tree_route(const struct ggw_tree *tree, const char *host, const char *path)
{
    return ggw_route_index_find(tree->route_index, host, path);
}

const struct ggw_customer_rule *
ggw_tree_customer_by_key(const struct ggw_tree *tree, const char *key)
{
    return g_hash_table_lookup(tree->customer_keys, key);
}

const struct ggw_customer_rule *
ggw_tree_customer(const struct ggw_tree *tree, const char *name)
{
    struct ggw_customer_rule key = {.name = (char *)name};

    if (tree->customers_len == 0) {
        return NULL;
    }
    return bsearch(&key, tree->customers, tree->customers_len,
                   sizeof(*tree->customers), compare_customers);
}

bool
ggw_tree_domain_out(const struct ggw_tree *tree, const char *failure_domain)
{
    return g_hash_table_contains(tree->domains_out, failure_domain);
}

bool
ggw_tree_server_draining(const struct ggw_tree *tree, const char *vm)
{
    return g_hash_table_contains(tree->servers_draining, vm);
}
