#include <argp.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"
#include "main/cmd_gateway.h"
#include "main/cmd_node.h"
#include "main/daemon.h"

const char *argp_program_version = "greengageway 0.1.0";

struct command {
    const char *name;
    const char *help;
    int (*run)(int argc, char **argv);
};

static const struct command daemon_commands[] = {
    {"gateway", "run one gateway until SIGTERM", ggw_cmd_gateway},
    {"node", "run one gateway from the platform's settings file until SIGTERM",
     ggw_cmd_node},
};

struct invocation {
    int index; /* of the command in argv; 0 when none is given */
};

/*
 * Stops at the first argument that is not a flag. It names the command; the
 * arguments after it belong to the command.
 */
static error_t
parse_command(int key, char *arg, struct argp_state *state)
{
    struct invocation *invocation = state->input;

    if (key == ARGP_KEY_ARG) {
        invocation->index = state->next - 1;
        state->next = state->argc;
        return 0;
    }
    if (key == ARGP_KEY_NO_ARGS) {
        argp_usage(state);
    }
    return ARGP_ERR_UNKNOWN;
}

static char *
command_list(void)
{
    GString *doc = g_string_new("HTTP load balancer.\v"
                                "Commands (see COMMAND --help):\n");

    for (size_t i = 0; i < G_N_ELEMENTS(daemon_commands); i++) {
        g_string_append_printf(doc, "  %-12s %s\n", daemon_commands[i].name,
                               daemon_commands[i].help);
    }
    for (const struct ggw_ctl_verb *v = ggw_ctl_verbs; v->name != NULL; v++) {
        g_string_append_printf(doc, "  %-12s %s\n", v->name, v->help);
    }
    return g_string_free(doc, FALSE);
}

static int
run_command(int argc, char **argv)
{
    g_autofree char *name = NULL;
    const char *command = argv[0];

    /* argp prints argv[0] as the program name in messages. */
    name = g_strdup_printf("greengageway %s", command);
    argv[0] = name;
    for (size_t i = 0; i < G_N_ELEMENTS(daemon_commands); i++) {
        if (strcmp(command, daemon_commands[i].name) == 0) {
            ggw_daemon_prepare();
            return daemon_commands[i].run(argc, argv);
        }
    }
    for (const struct ggw_ctl_verb *v = ggw_ctl_verbs; v->name != NULL; v++) {
        if (strcmp(command, v->name) == 0) {
            return v->run(argc, argv);
        }
    }
    fprintf(stderr, "greengageway: unknown command \"%s\"; see --help\n",
            command);
    return 2;
}

int
main(int argc, char **argv)
{
    g_autofree char *doc = command_list();
    struct argp argp = {
        NULL, parse_command, "COMMAND [ARGUMENT...]", doc, NULL, NULL, NULL};
    struct invocation invocation = {0};

    argp_err_exit_status = 2;
    argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &invocation);
    return run_command(argc - invocation.index, argv + invocation.index);
}
