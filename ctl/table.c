#include "ctl/table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/tree.h"
#include "ctl/blocking.h"
#include "ctl/ctl.h"
#include "ctl/keys.h"

struct ggw_txn_result *
ggw_ctl_run_txn(const struct ggw_ctl_args *args, struct ggw_txn *txn)
{
    struct ggw_blocking_request request = {
        .host = args->platform.host,
        .port = args->platform.port,
        .message = &txn->base,
    };

    /* ggw_ctl_parse() has checked the address, so this cannot fail. */
    if (!ggw_blocking_run(&request, 1, NULL)) {
        abort();
    }
    return (struct ggw_txn_result *)request.result;
}

void
ggw_ctl_result_free(struct ggw_txn_result *result)
{
    result->base.ops->destroy(&result->base);
}

const struct ggw_row *
ggw_ctl_find_row(const struct ggw_txn_result *result, const char *key)
{
    for (guint i = 0; i < result->rows->len; i++) {
        const struct ggw_row *row =
            &g_array_index(result->rows, struct ggw_row, i);

        if (strcmp(row->key, key) == 0) {
            return row;
        }
    }
    return NULL;
}

char *
ggw_ctl_config_key(const struct ggw_ctl_args *args)
{
    return g_strconcat(GGW_CONFIG_PREFIX, args->team, NULL);
}

char *
ggw_ctl_audit_key(const struct ggw_ctl_args *args, uint64_t revision)
{
    return g_strdup_printf("audit/%s/%010" G_GUINT64_FORMAT, args->team,
                           (guint64)revision);
}

static bool
parse_settings(const struct ggw_ctl_args *args, const struct ggw_row *row,
               struct ggw_ctl_settings *settings)
{
    g_autoptr(GError) error = NULL;

    if (row == NULL) {
        settings->row.tree = json_object();
        return true;
    }
    settings->mod_revision = row->mod_revision;
    if (!ggw_config_row_parse(row->value, &settings->row, &error)) {
        ggw_config_row_clear(&settings->row);
        ggw_ctl_fail(args, 0, "%s: %s", row->key, error->message);
        return false;
    }
    return true;
}

bool
ggw_ctl_read_settings(const struct ggw_ctl_args *args,
                      struct ggw_ctl_settings *settings)
{
    struct ggw_txn *txn = ggw_txn_new(args->request_timeout);
    g_autofree char *key = ggw_ctl_config_key(args);
    struct ggw_txn_result *result;
    bool ok;

    memset(settings, 0, sizeof(*settings));
    ggw_txn_read(txn, key);
    result = ggw_ctl_run_txn(args, txn);
    ok = result->status == GGW_PLATFORM_OK;
    if (ok) {
        ok = parse_settings(args, ggw_ctl_find_row(result, key), settings);
    }
    else {
        ggw_ctl_fail(args, 0, "platform %s:%u gives no answer%s",
                     args->platform.host, args->platform.port,
                     (args->usage->option_groups & GGW_CTL_CHANGE) != 0
                         ? "; the change is not made"
                         : "");
    }
    ggw_ctl_result_free(result);
    return ok;
}

json_t *
ggw_ctl_read_file(const struct ggw_ctl_args *args, const char *path)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
    json_error_t error;
    json_t *root;

    if (file == NULL) {
        ggw_ctl_fail(args, 0, "cannot open %s", path);
        return NULL;
    }
    root = json_loadf(file, JSON_REJECT_DUPLICATES, &error);
    if (root == NULL) {
        ggw_ctl_fail(args, 0, "%s: line %d: %s", path, error.line, error.text);
    }
    if (file != stdin) {
        fclose(file);
    }
    return root;
}

bool
ggw_ctl_check_settings(const struct ggw_ctl_args *args, uint64_t revision,
                       const json_t *tree)
{
    g_autoptr(GError) error = NULL;
    struct ggw_tree *parsed;
    char *text;
    bool ok;

    if (ggw_ctl_has_hidden_keys(tree)) {
        ggw_ctl_fail(args, 0,
                     "customers: a hidden key stands for none of the keys of "
                     "that customer in force");
        return false;
    }
    text = json_dumps(tree, JSON_COMPACT | JSON_ENCODE_ANY);
    parsed = ggw_tree_parse(args->team, revision, text, &error);
    ok = parsed != NULL;
    free(text);
    if (!ok) {
        ggw_ctl_fail(args, 0, "%s", error->message);
    }
    ggw_tree_unref(parsed);
    return ok;
}
