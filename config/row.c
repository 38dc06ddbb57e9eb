#include "config/row.h"

#include <stdlib.h>
#include <string.h>

#include "common/error.h"
#include "common/json_text.h"

bool
ggw_config_row_parse(const char *text, struct ggw_config_row *row,
                     GError **error)
{
    json_t *root = ggw_json_parse("row of settings", text, strlen(text),
                                  JSON_REJECT_DUPLICATES, NULL);
    const json_t *revision = json_object_get(root, "revision");
    json_t *tree = json_object_get(root, "tree");

    memset(row, 0, sizeof(*row));
    if (json_is_integer(revision) && json_integer_value(revision) > 0) {
        row->revision = (uint64_t)json_integer_value(revision);
    }
    row->change = g_strdup(json_string_value(json_object_get(root, "change")));
    row->who = g_strdup(json_string_value(json_object_get(root, "who")));
    row->when = g_strdup(json_string_value(json_object_get(root, "when")));
    row->tree = json_incref(tree);
    json_decref(root);
    if (row->revision == 0 || row->change == NULL || row->who == NULL ||
        row->when == NULL || !json_is_object(row->tree)) {
        g_set_error(
            error, GGW_ERROR, GGW_ERROR_PROTOCOL,
            "settings row: \"revision\", \"change\", \"who\", \"when\" or "
            "\"tree\" is missing or malformed");
        return false;
    }
    return true;
}

char *
ggw_config_row_serialize(const struct ggw_config_row *row)
{
    json_t *root =
        json_pack("{s:I, s:s, s:s, s:s, s:O}", "revision",
                  (json_int_t)row->revision, "change", row->change, "who",
                  row->who, "when", row->when, "tree", row->tree);
    char *raw = json_dumps(root, JSON_COMPACT);
    char *text = g_strdup(raw);

    free(raw);
    json_decref(root);
    return text;
}

void
ggw_config_row_clear(struct ggw_config_row *row)
{
    g_free(row->change);
    g_free(row->who);
    g_free(row->when);
    json_decref(row->tree);
    memset(row, 0, sizeof(*row));
}
