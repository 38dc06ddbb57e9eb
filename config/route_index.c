#include "config/route_index.h"

#include <glib.h>
#include <string.h>

#include "config/tree.h"

/**
 * struct host_routes - the routes of one host
 * @by_prefix: maps a path prefix to its route
 * @lengths: lengths of the prefixes, size_t, in descending order
 */
struct host_routes {
    GHashTable *by_prefix;
    GArray *lengths;
};

/**
 * struct ggw_route_index - the index
 * @hosts: maps a host to its struct host_routes
 */
struct ggw_route_index {
    GHashTable *hosts;
};

static void
host_routes_free(void *item)
{
    struct host_routes *h = item;

    g_hash_table_destroy(h->by_prefix);
    g_array_unref(h->lengths);
    g_free(h);
}

static struct host_routes *
find_or_add_host(struct ggw_route_index *index, const char *host)
{
    struct host_routes *h = g_hash_table_lookup(index->hosts, host);

    if (h == NULL) {
        h = g_new0(struct host_routes, 1);
        h->by_prefix = g_hash_table_new(g_str_hash, g_str_equal);
        h->lengths = g_array_new(FALSE, FALSE, sizeof(size_t));
        g_hash_table_insert(index->hosts, (char *)host, h);
    }
    return h;
}

/* Adds a length at its place unless it is there. */
static void
add_length(GArray *lengths, size_t len)
{
    guint i = 0;

    while (i < lengths->len && g_array_index(lengths, size_t, i) > len) {
        i++;
    }
    if (i == lengths->len || g_array_index(lengths, size_t, i) != len) {
        g_array_insert_val(lengths, i, len);
    }
}

struct ggw_route_index *
ggw_route_index_new(const struct ggw_route_rule *routes, size_t len)
{
    struct ggw_route_index *index = g_new0(struct ggw_route_index, 1);

    index->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_routes_free);
    for (size_t i = 0; i < len; i++) {
        struct host_routes *h = find_or_add_host(index, routes[i].host);
        const char *prefix = routes[i].kind.path_prefix;

        if (!g_hash_table_contains(h->by_prefix, prefix)) {
            g_hash_table_insert(h->by_prefix, (char *)prefix,
                                (struct ggw_route_rule *)&routes[i]);
            add_length(h->lengths, strlen(prefix));
        }
    }
    return index;
}

void
ggw_route_index_free(struct ggw_route_index *index)
{
    if (index != NULL) {
        g_hash_table_destroy(index->hosts);
        g_free(index);
    }
}

/* Finds the longest prefix of @path; cuts it off at shorter and shorter ones.
 */
static const struct ggw_route_rule *
find_prefix(const struct host_routes *h, char *path)
{
    size_t path_len = strlen(path);

    for (guint i = 0; i < h->lengths->len; i++) {
        size_t len = g_array_index(h->lengths, size_t, i);
        const struct ggw_route_rule *route;

        if (len > path_len) {
            continue;
        }
        path[len] = '\0';
        route = g_hash_table_lookup(h->by_prefix, path);
        if (route != NULL) {
            return route;
        }
    }
    return NULL;
}

const struct ggw_route_rule *
ggw_route_index_find(const struct ggw_route_index *index, const char *host,
                     const char *path)
{
    g_autofree char *name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
    const struct host_routes *h = g_hash_table_lookup(index->hosts, name);
    g_autofree char *copy = NULL;

    if (h == NULL) {
        return NULL;
    }
    copy = g_strndup(path, g_array_index(h->lengths, size_t, 0));
    return find_prefix(h, copy);
}
