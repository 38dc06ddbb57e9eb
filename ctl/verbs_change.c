#include <stdio.h>
#include <string.h>

#include "ctl/change.h"
#include "ctl/ctl.h"
#include "ctl/keys.h"
#include "ctl/path.h"
#include "ctl/table.h"
#include "ctl/verbs.h"

#define CHANGE_OPTIONS (GGW_CTL_TEAM | GGW_CTL_PLATFORM | GGW_CTL_CHANGE)

static int
run_change(const struct ggw_ctl_usage *usage, int argc, char **argv,
           ggw_ctl_edit edit)
{
    struct ggw_ctl_args args;

    ggw_ctl_parse(usage, argc, argv, &args);
    return ggw_ctl_change(&args, edit);
}

static bool
set_setting(const struct ggw_ctl_args *args, json_t *tree, const char *path,
            json_t *value)
{
    g_autoptr(GError) error = NULL;

    if (!ggw_path_set(tree, path, value, &error)) {
        ggw_ctl_fail(args, 0, "%s", error->message);
        return false;
    }
    return true;
}

static bool
edit_set(const struct ggw_ctl_args *args, json_t **tree)
{
    json_t *current = json_deep_copy(*tree);
    bool ok = set_setting(args, *tree, args->operands[0],
                          ggw_path_parse_value(args->operands[1]));

    if (ok) {
        ggw_ctl_restore_keys(*tree, current);
    }
    json_decref(current);
    return ok;
}

int
ggw_ctl_set(int argc, char **argv)
{
    static const struct ggw_ctl_usage usage = {
        .verb = "set",
        .operands = "PATH VALUE",
        .operands_len = 2,
        .doc = "Change one setting, for example services.orders.slots 4. "
               "VALUE is JSON or plain text; null removes the setting.",
        .option_groups = CHANGE_OPTIONS,
    };

    return run_change(&usage, argc, argv, edit_set);
}

static bool
edit_apply(const struct ggw_ctl_args *args, json_t **tree)
{
    json_t *file = ggw_ctl_read_file(args, args->operands[0]);

    if (file == NULL) {
        return false;
    }
    ggw_ctl_restore_keys(file, *tree);
    json_decref(*tree);
    *tree = file;
    return true;
}

int
ggw_ctl_apply(int argc, char **argv)
{
    static const struct ggw_ctl_usage usage = {
        .verb = "apply",
        .operands = "FILE",
        .operands_len = 1,
        .doc = "Replace all settings of a team by the JSON in FILE, or in "
               "standard input for \"-\".",
        .option_groups = CHANGE_OPTIONS,
    };

    return run_change(&usage, argc, argv, edit_apply);
}

/* Sets the state of the entry of @map that the first operand names. */
static bool
set_state(const struct ggw_ctl_args *args, json_t *tree, const char *map,
          const char *state)
{
    const char *name = args->operands[0];
    g_autofree char *path = NULL;

    if (*name == '\0' || strchr(name, '.') != NULL) {
        ggw_ctl_fail(args, 0,
                     "\"%s\" is not a valid name: it is empty or contains "
                     "\".\"",
                     name);
        return false;
    }
    path = g_strdup_printf("%s.%s.state", map, name);
    return set_setting(args, tree, path, json_string(state));
}

static bool
edit_domain_out(const struct ggw_ctl_args *args, json_t **tree)
{
    return set_state(args, *tree, "failure_domains", "out");
}

int
ggw_ctl_domain_out(int argc, char **argv)
{
    static const struct ggw_ctl_usage usage = {
        .verb = "domain-out",
        .operands = "DOMAIN",
        .operands_len = 1,
        .doc = "Take a failure domain out of service.",
        .option_groups = CHANGE_OPTIONS,
    };

    return run_change(&usage, argc, argv, edit_domain_out);
}

static bool
edit_domain_in(const struct ggw_ctl_args *args, json_t **tree)
{
    return set_state(args, *tree, "failure_domains", "in");
}

int
ggw_ctl_domain_in(int argc, char **argv)
{
    static const struct ggw_ctl_usage usage = {
        .verb = "domain-in",
        .operands = "DOMAIN",
        .operands_len = 1,
        .doc = "Put a failure domain back into service.",
        .option_groups = CHANGE_OPTIONS,
    };

    return run_change(&usage, argc, argv, edit_domain_in);
}

static bool
edit_drain(const struct ggw_ctl_args *args, json_t **tree)
{
    return set_state(args, *tree, "backend_servers", "draining");
}

int
ggw_ctl_drain(int argc, char **argv)
{
    static const struct ggw_ctl_usage usage = {
        .verb = "drain",
        .operands = "VM",
        .operands_len = 1,
        .doc = "Give a backend server no new work.",
        .option_groups = CHANGE_OPTIONS,
    };

    return run_change(&usage, argc, argv, edit_drain);
}

static bool
edit_undrain(const struct ggw_ctl_args *args, json_t **tree)
{
    return set_state(args, *tree, "backend_servers", "in");
}

int
ggw_ctl_undrain(int argc, char **argv)
{
    static const struct ggw_ctl_usage usage = {
        .verb = "undrain",
        .operands = "VM",
        .operands_len = 1,
        .doc = "Give a backend server work again.",
        .option_groups = CHANGE_OPTIONS,
    };

    return run_change(&usage, argc, argv, edit_undrain);
}
