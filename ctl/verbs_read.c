#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/schema.h"
#include "ctl/ctl.h"
#include "ctl/keys.h"
#include "ctl/path.h"
#include "ctl/table.h"
#include "ctl/verbs.h"

int
ggw_ctl_show(int argc, char **argv)
{
    static const struct ggw_ctl_usage usage = {
        .verb = "show",
        .doc = "Print the settings of a team as JSON, and their revision to "
               "standard error.",
        .option_groups = GGW_CTL_TEAM | GGW_CTL_PLATFORM,
    };
    struct ggw_ctl_args args;
    struct ggw_ctl_settings settings;
    json_t *shown;

    ggw_ctl_parse(&usage, argc, argv, &args);
    if (!ggw_ctl_read_settings(&args, &settings)) {
        return GGW_CTL_UNREACHABLE;
    }
    if (settings.row.revision > 0) {
        fprintf(stderr, "%s: revision %" G_GUINT64_FORMAT " by %s at %s\n",
                args.team, (guint64)settings.row.revision, settings.row.who,
                settings.row.when);
    }
    else {
        fprintf(stderr, "%s: no settings yet\n", args.team);
    }
    shown = ggw_ctl_hide_keys(settings.row.tree);
    json_dumpf(shown, stdout, JSON_INDENT(2));
    putchar('\n');
    json_decref(shown);
    ggw_config_row_clear(&settings.row);
    return GGW_CTL_DONE;
}

static void
print_differences(const json_t *before, const json_t *after)
{
    json_t *shown_before = ggw_ctl_hide_keys(before);
    json_t *shown_after = ggw_ctl_hide_keys(after);
    GArray *paths = ggw_json_diff(shown_before, shown_after);

    for (guint i = 0; i < paths->len; i++) {
        const struct ggw_difference *d =
            &g_array_index(paths, struct ggw_difference, i);

        printf("%s: %s -> %s\n", d->path,
               d->before != NULL ? d->before : "unset",
               d->after != NULL ? d->after : "unset");
    }
    g_array_unref(paths);
    json_decref(shown_before);
    json_decref(shown_after);
}

static int
diff_settings(const struct ggw_ctl_args *args,
              const struct ggw_ctl_settings *settings, json_t *file,
              bool hidden)
{
    ggw_ctl_restore_keys(file, settings->row.tree);
    if (hidden && !ggw_ctl_check_settings(args, 1, file)) {
        return GGW_CTL_REFUSED;
    }
    print_differences(settings->row.tree, file);
    return GGW_CTL_DONE;
}

int
ggw_ctl_diff(int argc, char **argv)
{
    static const struct ggw_ctl_usage usage = {
        .verb = "diff",
        .operands = "FILE",
        .operands_len = 1,
        .doc = "Print each path whose value would change with \"apply FILE\".",
        .option_groups = GGW_CTL_TEAM | GGW_CTL_PLATFORM,
    };
    struct ggw_ctl_args args;
    struct ggw_ctl_settings settings;
    json_t *file;
    int status = GGW_CTL_REFUSED;
    bool hidden;

    ggw_ctl_parse(&usage, argc, argv, &args);
    file = ggw_ctl_read_file(&args, args.operands[0]);
    /* Settings with hidden keys can be checked only after these are known. */
    hidden = ggw_ctl_has_hidden_keys(file);
    if (file != NULL && (hidden || ggw_ctl_check_settings(&args, 1, file))) {
        status = GGW_CTL_UNREACHABLE;
        if (ggw_ctl_read_settings(&args, &settings)) {
            status = diff_settings(&args, &settings, file, hidden);
            ggw_config_row_clear(&settings.row);
        }
    }
    json_decref(file);
    return status;
}

static void
print_audit_row(const struct ggw_row *row)
{
    json_t *root = json_loads(row->value, 0, NULL);
    json_t *paths = json_object_get(root, "paths");
    const char *who = json_string_value(json_object_get(root, "who"));
    const char *when = json_string_value(json_object_get(root, "when"));
    const char *verb = json_string_value(json_object_get(root, "verb"));
    const char *change = json_string_value(json_object_get(root, "change"));

    if (who == NULL || when == NULL || verb == NULL || change == NULL) {
        printf("%s: malformed\n", row->key);
        json_decref(root);
        return;
    }
    printf("%" JSON_INTEGER_FORMAT " -> %" JSON_INTEGER_FORMAT " %s %s %s %s",
           json_integer_value(json_object_get(root, "from")),
           json_integer_value(json_object_get(root, "to")), when, who, verb,
           change);
    for (size_t i = 0; i < json_array_size(paths); i++) {
        const char *path = json_string_value(json_array_get(paths, i));

        printf(" %s", path != NULL ? path : "?");
    }
    putchar('\n');
    json_decref(root);
}

/*
 * Reads the audit rows of the last revisions by key. A read by prefix would
 * return all of them, and their number grows without limit.
 */
static struct ggw_txn_result *
read_audit(const struct ggw_ctl_args *args, uint64_t revision)
{
    struct ggw_txn *txn = ggw_txn_new(args->request_timeout);
    uint64_t first = revision > args->last ? revision - args->last + 1 : 1;

    for (uint64_t r = first; r <= revision; r++) {
        g_autofree char *key = ggw_ctl_audit_key(args, r);

        ggw_txn_read(txn, key);
    }
    return ggw_ctl_run_txn(args, txn);
}

int
ggw_ctl_audit(int argc, char **argv)
{
    static const struct ggw_ctl_usage usage = {
        .verb = "audit",
        .doc = "Print the last changes of a team, one per line: old and new "
               "revision, time, operator, verb, change id, changed paths.",
        .option_groups = GGW_CTL_TEAM | GGW_CTL_PLATFORM | GGW_CTL_LAST,
    };
    struct ggw_ctl_args args;
    struct ggw_ctl_settings settings;
    struct ggw_txn_result *result;
    int status = GGW_CTL_DONE;

    ggw_ctl_parse(&usage, argc, argv, &args);
    if (!ggw_ctl_read_settings(&args, &settings)) {
        return GGW_CTL_UNREACHABLE;
    }
    result = read_audit(&args, settings.row.revision);
    if (result->status == GGW_PLATFORM_OK) {
        for (guint i = 0; i < result->rows->len; i++) {
            print_audit_row(&g_array_index(result->rows, struct ggw_row, i));
        }
    }
    else {
        status = ggw_ctl_fail(&args, GGW_CTL_UNREACHABLE,
                              "platform %s:%u gives no answer",
                              args.platform.host, args.platform.port);
    }
    ggw_config_row_clear(&settings.row);
    ggw_ctl_result_free(result);
    return status;
}

int
ggw_ctl_settings(int argc, char **argv)
{
    static const struct ggw_ctl_usage usage = {
        .verb = "settings",
        .doc = "Print the reference of all settings as Markdown.",
    };
    struct ggw_ctl_args args;
    GString *text = g_string_new(NULL);

    ggw_ctl_parse(&usage, argc, argv, &args);
    ggw_schema_print(text);
    fputs(text->str, stdout);
    g_string_free(text, TRUE);
    return GGW_CTL_DONE;
}
