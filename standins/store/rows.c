#include "standins/store/rows.h"

#include <glib.h>
#include <string.h>

#define ROWS_MAX 500    /* rows in a response */
#define ENTRIES_MAX 100 /* entries in a transaction */
#define KEY_MAX 200     /* bytes in a key, without the table */

/* A row. Removed rows are kept so that the feed can report the deletion. */
struct kv {
    char *value;
    int64_t version;
    bool removed;
};

/* Rows and versions, as they are now or were when a copy was taken. */
struct state {
    GTree *table;              /* "TABLE/KEY" to struct kv */
    int64_t version;           /* incremented by each transaction */
    int64_t compacted_version; /* changes up to it are discarded */
};

struct store_rows {
    struct state now;
    struct state copy; /* its table is NULL before the first copy */
    int64_t era;       /* incremented by each return to the copy */
    int64_t writes;
};

static void
kv_free(void *item)
{
    struct kv *kv = item;

    g_free(kv->value);
    g_free(kv);
}

static int
compare_keys(const void *a, const void *b, void *data)
{
    return strcmp(a, b);
}

char *
store_row_key(const char *table, const char *key)
{
    return g_strconcat(table, "/", key, NULL);
}

static json_t *
row_json(const char *full_key, const struct kv *kv)
{
    size_t len = strcspn(full_key, "/");
    json_t *row = json_pack("{s:s%,s:s,s:s,s:I}", "Table", full_key, len,
                            "part", "", "Key", full_key + len + 1, "Ver",
                            (json_int_t)(kv != NULL ? kv->version : 0));
    g_autofree char *value = NULL;

    if (kv != NULL && kv->removed) {
        json_object_set_new(row, "Deleted", json_true());
    }
    else if (kv != NULL) {
        value = g_base64_encode((const guchar *)kv->value, strlen(kv->value));
        json_object_set_new(row, "Value", json_string(value));
    }
    return row;
}

json_t *
store_rows_response(const struct store_rows *s, json_t *rows, bool more,
                    int64_t now)
{
    return json_pack("{s:o,s:b,s:I,s:I}", "Rows", rows, "HasMore", (int)more,
                     "Ver", (json_int_t)s->now.version, "NowMs",
                     (json_int_t)now);
}

static bool
is_present(const struct kv *kv)
{
    return kv != NULL && !kv->removed;
}

json_t *
store_rows_range(const struct store_rows *s, const char *table,
                 const char *from, const char *target, int64_t now)
{
    g_autofree char *first = NULL;
    g_autofree char *end = NULL;
    json_t *rows;
    bool more = false;

    first = store_row_key(table, from != NULL ? from : "");
    /* '0' follows '/' in ASCII, so this bound is above all "TABLE/..." */
    end = target != NULL ? store_row_key(table, target)
                         : g_strconcat(table, "0", NULL);
    rows = json_array();
    for (GTreeNode *n = g_tree_lower_bound(s->now.table, first); n != NULL;
         n = g_tree_node_next(n)) {
        const char *key = g_tree_node_key(n);

        if (strcmp(key, end) >= 0) {
            break;
        }
        if (json_array_size(rows) == ROWS_MAX) {
            more = true;
            break;
        }
        if (is_present(g_tree_node_value(n))) {
            json_array_append_new(rows, row_json(key, g_tree_node_value(n)));
        }
    }
    return store_rows_response(s, rows, more, now);
}

char *
store_entry_key(const json_t *entry)
{
    const char *table = json_string_value(json_object_get(entry, "Table"));
    const char *key = json_string_value(json_object_get(entry, "Key"));

    if (table == NULL || key == NULL || strlen(key) > KEY_MAX) {
        return NULL;
    }
    return store_row_key(table, key);
}

static bool
entries_valid(const json_t *list, const char *required_field, size_t *count)
{
    const json_t *entry;
    size_t i;

    json_array_foreach(list, i, entry)
    {
        g_autofree char *key = store_entry_key(entry);

        (*count)++;
        if (key == NULL || (required_field != NULL &&
                            json_object_get(entry, required_field) == NULL)) {
            return false;
        }
    }
    return true;
}

/*
 * Returns whether all expected versions match. Appends those of the rows that
 * exist to @rows, for the response to a failed transaction.
 */
static bool
expected_versions_match(const struct store_rows *s, const json_t *list,
                        json_t *rows)
{
    bool match = true;
    const json_t *entry;
    size_t i;

    json_array_foreach(list, i, entry)
    {
        g_autofree char *key = store_entry_key(entry);
        const struct kv *kv = g_tree_lookup(s->now.table, key);
        json_int_t current = is_present(kv) ? kv->version : 0;

        match = match &&
                json_integer_value(json_object_get(entry, "Ver")) == current;
        if (is_present(kv)) {
            json_array_append_new(rows, row_json(key, kv));
        }
    }
    return match;
}

static void
write_row(struct store_rows *s, const char *key, const char *value)
{
    struct kv *kv = g_new0(struct kv, 1);

    kv->value = g_strdup(value);
    kv->removed = value == NULL;
    kv->version = s->now.version;
    g_tree_replace(s->now.table, g_strdup(key), kv);
}

static void
apply_entries(struct store_rows *s, const json_t *list, bool put)
{
    const json_t *entry;
    size_t i;

    json_array_foreach(list, i, entry)
    {
        g_autofree char *key = store_entry_key(entry);
        const char *text = json_string_value(json_object_get(entry, "Value"));
        g_autofree guchar *raw = NULL;
        g_autofree char *value = NULL;
        gsize len = 0;

        if (put) {
            raw = g_base64_decode(text != NULL ? text : "", &len);
            value = g_strndup((const char *)raw, len);
        }
        write_row(s, key, value);
    }
}

/* Checks the whole request before the first write, so none is partial. */
json_t *
store_rows_apply(struct store_rows *s, const json_t *request, int64_t now,
                 int *status)
{
    const json_t *expected = json_object_get(request, "Expected");
    const json_t *put = json_object_get(request, "Put");
    const json_t *remove = json_object_get(request, "Remove");
    size_t count = 0;
    json_t *rows;

    if (!entries_valid(expected, "Ver", &count) ||
        !entries_valid(put, "Value", &count) ||
        !entries_valid(remove, NULL, &count) || count == 0 ||
        count > ENTRIES_MAX) {
        return NULL;
    }
    rows = json_array();
    if (!expected_versions_match(s, expected, rows)) {
        *status = 412;
        return store_rows_response(s, rows, false, now);
    }
    json_decref(rows);
    s->now.version++;
    s->writes++;
    apply_entries(s, put, true);
    apply_entries(s, remove, false);
    *status = 200;
    return json_pack("{s:I,s:I}", "Ver", (json_int_t)s->now.version, "NowMs",
                     (json_int_t)now);
}

static int
compare_versions(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct store_rows *s = data;
    const struct kv *x = g_tree_lookup(s->now.table, *(char *const *)a);
    const struct kv *y = g_tree_lookup(s->now.table, *(char *const *)b);

    return (x->version > y->version) - (x->version < y->version);
}

json_t *
store_rows_changed_after(struct store_rows *s, const char *table,
                         int64_t after)
{
    g_autofree char *first = store_row_key(table, "");
    g_autofree char *end = g_strconcat(table, "0", NULL);
    g_autoptr(GPtrArray) keys = g_ptr_array_new();
    json_t *rows = json_array();

    for (GTreeNode *n = g_tree_lower_bound(s->now.table, first);
         n != NULL && strcmp(g_tree_node_key(n), end) < 0;
         n = g_tree_node_next(n)) {
        const struct kv *kv = g_tree_node_value(n);

        if (kv->version > after) {
            g_ptr_array_add(keys, g_tree_node_key(n));
        }
    }
    g_ptr_array_sort_with_data(keys, compare_versions, s);
    for (guint i = 0; i < keys->len; i++) {
        const char *key = g_ptr_array_index(keys, i);

        json_array_append_new(rows,
                              row_json(key, g_tree_lookup(s->now.table, key)));
    }
    return rows;
}

bool
store_rows_has_history(const struct store_rows *s, int64_t after)
{
    return after >= s->now.compacted_version && after <= s->now.version;
}

void
store_rows_compact(struct store_rows *s)
{
    s->now.compacted_version = s->now.version;
}

static GTree *
table_new(void)
{
    return g_tree_new_full(compare_keys, NULL, g_free, kv_free);
}

static gboolean
copy_row(gpointer key, gpointer value, gpointer data)
{
    struct kv *kv = g_memdup2(value, sizeof(*kv));

    kv->value = g_strdup(kv->value);
    g_tree_insert(data, g_strdup(key), kv);
    return FALSE;
}

static struct state
state_copy(const struct state *from)
{
    struct state copy = *from;

    copy.table = table_new();
    g_tree_foreach(from->table, copy_row, copy.table);
    return copy;
}

void
store_rows_keep_copy(struct store_rows *s)
{
    g_clear_pointer(&s->copy.table, g_tree_unref);
    s->copy = state_copy(&s->now);
}

bool
store_rows_return(struct store_rows *s)
{
    if (s->copy.table == NULL) {
        return false;
    }
    g_tree_unref(s->now.table);
    s->now = state_copy(&s->copy);
    s->era++;
    return true;
}

int64_t
store_rows_era(const struct store_rows *s)
{
    return s->era;
}

int64_t
store_rows_writes(const struct store_rows *s)
{
    return s->writes;
}

struct store_rows *
store_rows_new(void)
{
    struct store_rows *s = g_new0(struct store_rows, 1);

    s->now.table = table_new();
    s->era = 1;
    return s;
}

void
store_rows_free(struct store_rows *s)
{
    g_tree_unref(s->now.table);
    g_clear_pointer(&s->copy.table, g_tree_unref);
    g_free(s);
}
