#ifndef GGW_CTL_CTL_H
#define GGW_CTL_CTL_H

/*
 * The operators' verbs. Each is a subcommand of the binary.
 */

/* Exit status of a verb. */
enum ggw_ctl_exit {
    GGW_CTL_DONE = 0,
    GGW_CTL_UNREACHABLE = 1, /* or the outcome of the change is unknown */
    GGW_CTL_REFUSED = 2,     /* value refused or wrong usage */
    GGW_CTL_LOST_RACE = 3,
};

/**
 * struct ggw_ctl_verb - one subcommand
 * @name: as the operator types it
 * @help: one line
 * @run: takes the arguments from the verb on, so that argv[0] is its name;
 *       returns the exit status; exits the process itself on --help and on
 *       wrong usage
 */
struct ggw_ctl_verb {
    const char *name;
    const char *help;
    int (*run)(int argc, char **argv);
};

/* All verbs, ended by an entry whose name is NULL. */
extern const struct ggw_ctl_verb ggw_ctl_verbs[];

#endif
