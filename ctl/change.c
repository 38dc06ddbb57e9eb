#include "ctl/change.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/audit.h"
#include "ctl/ctl.h"
#include "ctl/keys.h"
#include "ctl/path.h"
#include "ctl/status.h"
#include "ctl/table.h"

/* Pause between two reads of the audit row after a lost response, in us. */
#define SETTLE_INTERVAL_US 100000

/**
 * struct change - one change of a team's settings
 * @args: command line of the verb
 * @from: settings as read before the change
 * @to: settings row to write
 * @paths: changed paths, array of struct ggw_difference
 * @config_key: key of the settings row
 * @audit_key: key of the audit row of the new revision
 */
struct change {
    const struct ggw_ctl_args *args;
    struct ggw_ctl_settings from;
    struct ggw_config_row to;
    GArray *paths;
    char *config_key;
    char *audit_key;
};

static void
change_clear(struct change *c)
{
    ggw_config_row_clear(&c->from.row);
    ggw_config_row_clear(&c->to);
    if (c->paths != NULL) {
        g_array_unref(c->paths);
    }
    g_free(c->config_key);
    g_free(c->audit_key);
}

static char *
audit_text(const struct change *c)
{
    json_t *paths = json_array();
    json_t *root;
    char *raw, *text;

    for (guint i = 0; i < c->paths->len; i++) {
        const struct ggw_difference *d =
            &g_array_index(c->paths, struct ggw_difference, i);

        json_array_append_new(paths, json_string(d->path));
    }
    root = json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:o}", "change",
                     c->to.change, "who", c->to.who, "when", c->to.when,
                     "verb", c->args->usage->verb, "from",
                     (json_int_t)c->from.row.revision, "to",
                     (json_int_t)c->to.revision, "paths", paths);
    raw = json_dumps(root, JSON_COMPACT);
    text = g_strdup(raw);
    free(raw);
    json_decref(root);
    return text;
}

static struct ggw_txn *
build_txn(const struct change *c)
{
    struct ggw_txn *txn = ggw_txn_new(c->args->request_timeout);
    g_autofree char *row = ggw_config_row_serialize(&c->to);
    g_autofree char *audit = audit_text(c);

    if (c->from.mod_revision > 0) {
        ggw_txn_compare(txn, c->config_key, c->from.mod_revision);
    }
    else {
        ggw_txn_compare(txn, c->config_key, 0);
    }
    /* An audit row is never overwritten. */
    ggw_txn_compare(txn, c->audit_key, 0);
    ggw_txn_put(txn, c->config_key, row);
    ggw_txn_put(txn, c->audit_key, audit);
    ggw_txn_read(txn, c->audit_key);
    ggw_txn_read(txn, c->config_key);
    return txn;
}

/*
 * Returns the change id and the operator of the audit row; both are "" when
 * the result has no audit row.
 */
static void
read_audit(const struct change *c, const struct ggw_txn_result *result,
           char **change, char **who)
{
    const struct ggw_row *row = ggw_ctl_find_row(result, c->audit_key);
    json_t *root = row != NULL ? json_loads(row->value, 0, NULL) : NULL;
    const char *id = json_string_value(json_object_get(root, "change"));
    const char *name = json_string_value(json_object_get(root, "who"));

    *change = g_strdup(id != NULL ? id : "");
    *who = g_strdup(name != NULL ? name : "");
    json_decref(root);
}

static int
report_success(const struct change *c)
{
    json_t *before = ggw_ctl_hide_keys(c->from.row.tree);
    json_t *after = ggw_ctl_hide_keys(c->to.tree);
    g_autoptr(GArray) shown = ggw_json_diff(before, after);

    json_decref(before);
    json_decref(after);
    printf("%s: revision %" G_GUINT64_FORMAT "\n", c->args->team,
           (guint64)c->to.revision);
    for (guint i = 0; i < shown->len; i++) {
        const struct ggw_difference *d =
            &g_array_index(shown, struct ggw_difference, i);

        printf("%s: %s -> %s\n", d->path,
               d->before != NULL ? d->before : "unset",
               d->after != NULL ? d->after : "unset");
    }
    fflush(stdout);
    return c->args->wait ? ggw_ctl_wait_for(c->args, c->to.revision)
                         : GGW_CTL_DONE;
}

static int
fail_lost_race_to(const struct ggw_ctl_args *args, uint64_t revision,
                  const char *winner)
{
    return ggw_ctl_fail(args, GGW_CTL_LOST_RACE,
                        "lost the race: revision %" G_GUINT64_FORMAT
                        " by %s won; the change is not made",
                        (guint64)revision, winner);
}

static int
fail_lost_race(const struct change *c, const char *winner)
{
    if (*winner == '\0') {
        return ggw_ctl_fail(c->args, GGW_CTL_LOST_RACE,
                            "lost the race: the settings row changed without "
                            "an audit row; the change is not made");
    }
    return fail_lost_race_to(c->args, c->to.revision, winner);
}

/*
 * Finds out whether a write without a response took effect: polls the audit
 * row of the revision until it exists and compares its change id, for at most
 * --timeout. The write is never sent again, because the first one may still
 * take effect.
 */
static int
settle_unknown_outcome(const struct change *c)
{
    gint64 deadline =
        g_get_monotonic_time() + (gint64)(c->args->timeout * 1000);

    for (;;) {
        struct ggw_txn *txn = ggw_txn_new(c->args->request_timeout);
        struct ggw_txn_result *result;
        g_autofree char *id = NULL;
        g_autofree char *who = NULL;

        ggw_txn_read(txn, c->audit_key);
        result = ggw_ctl_run_txn(c->args, txn);
        read_audit(c, result, &id, &who);
        ggw_ctl_result_free(result);
        if (strcmp(id, c->to.change) == 0) {
            return report_success(c);
        }
        if (*id != '\0') {
            return fail_lost_race(c, who);
        }
        if (g_get_monotonic_time() >= deadline) {
            break;
        }
        g_usleep(SETTLE_INTERVAL_US);
    }
    return ggw_ctl_fail(c->args, GGW_CTL_UNREACHABLE,
                        "platform %s:%u gave no answer; it is unknown whether "
                        "the change is made: look for revision "
                        "%" G_GUINT64_FORMAT
                        " and change %s in the output of \"audit\"",
                        c->args->platform.host, c->args->platform.port,
                        (guint64)c->to.revision, c->to.change);
}

/*
 * Whether a write has met audit rows of settings that were deleted: there was
 * no settings row, and there is none now.
 */
static bool
settings_were_deleted(const struct change *c,
                      const struct ggw_txn_result *result)
{
    return result->status == GGW_PLATFORM_CONFLICT &&
           c->from.mod_revision == 0 &&
           ggw_ctl_find_row(result, c->config_key) == NULL;
}

/*
 * Numbers the change after the last revision that has an audit row. Gateways
 * refuse an older revision than the one in force.
 */
static bool
renumber(struct change *c)
{
    if (!ggw_ctl_last_revision(c->args, &c->from.row.revision)) {
        return false;
    }
    c->to.revision = c->from.row.revision + 1;
    g_free(c->audit_key);
    c->audit_key = ggw_ctl_audit_key(c->args, c->to.revision);
    return true;
}

static int
write_change(struct change *c, bool renumbered)
{
    struct ggw_txn_result *result = ggw_ctl_run_txn(c->args, build_txn(c));
    enum ggw_platform_status status = result->status;
    bool deleted = settings_were_deleted(c, result);
    g_autofree char *id = NULL;
    g_autofree char *who = NULL;

    read_audit(c, result, &id, &who);
    ggw_ctl_result_free(result);
    switch (status) {
    case GGW_PLATFORM_OK:
        return report_success(c);
    case GGW_PLATFORM_CONFLICT:
        if (!deleted || renumbered) {
            return fail_lost_race(c, who);
        }
        return renumber(c) ? write_change(c, true) : GGW_CTL_UNREACHABLE;
    case GGW_PLATFORM_NOT_SENT:
        return ggw_ctl_fail(c->args, GGW_CTL_UNREACHABLE,
                            "platform %s:%u gives no answer; the change is "
                            "not made",
                            c->args->platform.host, c->args->platform.port);
    case GGW_PLATFORM_NOT_MODIFIED:
    case GGW_PLATFORM_UNKNOWN:
        break;
    }
    return settle_unknown_outcome(c);
}

/* Fills in the rows to write. Takes over the reference to the edited tree. */
static void
prepare_change(struct change *c, json_t *tree)
{
    g_autoptr(GDateTime) now = g_date_time_new_now_utc();

    c->to.revision = c->from.row.revision + 1;
    c->to.change = g_uuid_string_random();
    c->to.who = g_strdup(c->args->who);
    c->to.when = g_date_time_format(now, "%Y-%m-%dT%H:%M:%SZ");
    c->to.tree = tree;
    c->paths = ggw_json_diff(c->from.row.tree, tree);
    c->config_key = ggw_ctl_config_key(c->args);
    c->audit_key = ggw_ctl_audit_key(c->args, c->to.revision);
}

static int
edit_and_write(const struct ggw_ctl_args *args, struct change *c,
               ggw_ctl_edit edit)
{
    json_t *tree = json_deep_copy(c->from.row.tree);
    int status = GGW_CTL_REFUSED;

    if (edit(args, &tree) &&
        ggw_ctl_check_settings(args, c->from.row.revision + 1, tree)) {
        prepare_change(c, tree);
        tree = NULL;
        if (c->paths->len > 0) {
            status = write_change(c, false);
        }
        else {
            printf("%s: revision %" G_GUINT64_FORMAT ", nothing to change\n",
                   args->team, (guint64)c->from.row.revision);
            status = args->wait ? ggw_ctl_wait_for(args, c->from.row.revision)
                                : GGW_CTL_DONE;
        }
    }
    json_decref(tree);
    return status;
}

int
ggw_ctl_change(const struct ggw_ctl_args *args, ggw_ctl_edit edit)
{
    struct change c = {.args = args};
    int status = GGW_CTL_UNREACHABLE;

    if (ggw_ctl_read_settings(args, &c.from)) {
        const struct ggw_config_row *row = &c.from.row;

        status =
            args->from == 0 || args->from == row->revision
                ? edit_and_write(args, &c, edit)
                : fail_lost_race_to(args, row->revision,
                                    row->who != NULL ? row->who : "nobody");
    }
    change_clear(&c);
    return status;
}
