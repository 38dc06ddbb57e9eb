#ifndef GGW_CTL_CTL_H
#define GGW_CTL_CTL_H

/**
 * DOC: operators' verbs
 *
 * Each verb is a subcommand of the greengageway binary. A verb reads or
 * changes the settings of a team in the platform's store, or asks the gateways
 * for their state.
 */

/**
 * enum ggw_ctl_exit - exit status of a verb
 * @GGW_CTL_DONE: the verb did what was asked
 * @GGW_CTL_UNREACHABLE: the platform or a gateway gave no usable response, a
 *                       wait timed out, or the outcome of a change is unknown
 * @GGW_CTL_REFUSED: a value was refused, a file was not readable, or the
 *                   command line was wrong
 * @GGW_CTL_LOST_RACE: the settings are not at the expected revision, or
 *                     another change was written first; nothing was changed
 */
enum ggw_ctl_exit {
    GGW_CTL_DONE = 0,
    GGW_CTL_UNREACHABLE = 1,
    GGW_CTL_REFUSED = 2,
    GGW_CTL_LOST_RACE = 3,
};

/**
 * struct ggw_ctl_verb - one subcommand
 * @name: name as the operator types it
 * @help: one line for the list of commands
 * @run: runs the verb; argv[0] is the name of the verb, the arguments follow.
 *       Returns an enum ggw_ctl_exit. Exits the process on --help and on a
 *       wrong command line.
 */
struct ggw_ctl_verb {
    const char *name;
    const char *help;
    int (*run)(int argc, char **argv);
};

/* All verbs; an entry whose name is NULL ends the array. */
extern const struct ggw_ctl_verb ggw_ctl_verbs[];

#endif
