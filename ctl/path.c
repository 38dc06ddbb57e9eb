#include "ctl/path.h"

#include <stdlib.h>
#include <string.h>

#include "common/error.h"

bool
ggw_path_set(json_t *root, const char *path, json_t *value, GError **error)
{
    g_auto(GStrv) parts = g_strsplit(path, ".", -1);
    guint len = g_strv_length(parts);
    json_t *parent = root;

    for (guint i = 0; i + 1 < len && json_is_object(parent); i++) {
        json_t *child = json_object_get(parent, parts[i]);

        if (child == NULL) {
            child = json_object();
            json_object_set_new(parent, parts[i], child);
        }
        parent = child;
    }
    if (len == 0 || !json_is_object(parent)) {
        g_set_error(error, GGW_ERROR, GGW_ERROR_INVALID,
                    "\"%s\" is not a path to a setting", path);
        json_decref(value);
        return false;
    }
    if (json_is_null(value)) {
        json_object_del(parent, parts[len - 1]);
        json_decref(value);
    }
    else {
        json_object_set_new(parent, parts[len - 1], value);
    }
    return true;
}

json_t *
ggw_path_parse_value(const char *text)
{
    json_t *value =
        json_loads(text, JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, NULL);

    return value != NULL ? value : json_string(text);
}

static char *
json_to_text(const json_t *value)
{
    char *raw, *text;

    if (value == NULL) {
        return NULL;
    }
    raw = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
    text = g_strdup(raw);
    free(raw);
    return text;
}

static void
diff_values(const json_t *before, const json_t *after, const char *path,
            GArray *out)
{
    struct ggw_difference d;
    const char *name;
    json_t *value;
    bool recurse = (before == NULL || json_is_object(before)) &&
                   (after == NULL || json_is_object(after)) &&
                   json_object_size(before) + json_object_size(after) > 0;

    if (!recurse) {
        if (before != NULL && after != NULL && json_equal(before, after)) {
            return;
        }
        d = (struct ggw_difference){g_strdup(path), json_to_text(before),
                                    json_to_text(after)};
        g_array_append_val(out, d);
        return;
    }
    json_object_foreach((json_t *)before, name, value)
    {
        g_autofree char *child =
            g_strconcat(path, *path != '\0' ? "." : "", name, NULL);

        diff_values(value, json_object_get(after, name), child, out);
    }
    json_object_foreach((json_t *)after, name, value)
    {
        g_autofree char *child =
            g_strconcat(path, *path != '\0' ? "." : "", name, NULL);

        if (json_object_get(before, name) == NULL) {
            diff_values(NULL, value, child, out);
        }
    }
}

static void
free_difference_fields(void *item)
{
    struct ggw_difference *d = item;

    g_free(d->path);
    g_free(d->before);
    g_free(d->after);
}

static int
compare_paths(const void *a, const void *b)
{
    const struct ggw_difference *x = a, *y = b;

    return strcmp(x->path, y->path);
}

GArray *
ggw_json_diff(const json_t *before, const json_t *after)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct ggw_difference));

    g_array_set_clear_func(out, free_difference_fields);
    if (!json_equal(before, after)) {
        diff_values(before, after, "", out);
    }
    g_array_sort(out, compare_paths);
    return out;
}
