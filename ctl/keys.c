#include "ctl/keys.h"

#include <glib.h>
#include <string.h>

#define HIDDEN "hidden "

/* Length of a digest in hexadecimal digits; enough to tell 10,000 keys apart.
 */
#define DIGEST_LEN 16

/* Text that stands for a key. */
static char *
hidden_text(const char *key)
{
    g_autofree char *digest =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);

    return g_strdup_printf(HIDDEN "%.*s", DIGEST_LEN, digest);
}

static bool
is_hidden(const char *key)
{
    const char *digest;

    if (key == NULL || !g_str_has_prefix(key, HIDDEN)) {
        return false;
    }
    digest = key + strlen(HIDDEN);
    return strlen(digest) == DIGEST_LEN &&
           strspn(digest, "0123456789abcdef") == DIGEST_LEN;
}

/*
 * Calls @change for each key of @tree. It returns the text that replaces the
 * key, to be freed, or NULL to keep it.
 */
static void
change_keys(json_t *tree, char *(*change)(const char *key, void *data),
            void *data)
{
    json_t *customers = json_object_get(tree, "customers");
    const char *name;
    json_t *customer, *key;
    size_t i;

    json_object_foreach(customers, name, customer)
    {
        json_t *keys = json_object_get(customer, "keys");

        json_array_foreach(keys, i, key)
        {
            const char *text = json_string_value(key);
            g_autofree char *changed =
                text != NULL ? change(text, data) : NULL;

            if (changed != NULL) {
                json_array_set_new(keys, i, json_string(changed));
            }
        }
    }
}

static char *
hide(const char *key, void *data)
{
    return is_hidden(key) ? NULL : hidden_text(key);
}

json_t *
ggw_ctl_hide_keys(const json_t *tree)
{
    json_t *copy = json_deep_copy(tree);

    change_keys(copy, hide, NULL);
    return copy;
}

static char *
collect(const char *key, void *data)
{
    g_hash_table_insert(data, hidden_text(key), g_strdup(key));
    return NULL;
}

static char *
restore(const char *key, void *data)
{
    return is_hidden(key) ? g_strdup(g_hash_table_lookup(data, key)) : NULL;
}

void
ggw_ctl_restore_keys(json_t *tree, const json_t *current)
{
    g_autoptr(GHashTable) keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

    change_keys((json_t *)current, collect, keys);
    change_keys(tree, restore, keys);
}

static char *
note_hidden(const char *key, void *data)
{
    bool *found = data;

    *found = *found || is_hidden(key);
    return NULL;
}

bool
ggw_ctl_has_hidden_keys(const json_t *tree)
{
    bool found = false;

    change_keys((json_t *)tree, note_hidden, &found);
    return found;
}
