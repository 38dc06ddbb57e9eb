#ifndef GGW_CTL_ARGS_H
#define GGW_CTL_ARGS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/address.h"
#include "kernel/clock.h"

/* What a verb takes. */
enum ggw_ctl_takes {
    GGW_CTL_TEAM = 1,        /* --team, required */
    GGW_CTL_TEAM_FILTER = 2, /* --team, optional */
    GGW_CTL_PLATFORM = 4,    /* --platform, required */
    GGW_CTL_GATEWAY = 8,     /* --gateway, required */
    GGW_CTL_CHANGE = 16,     /* --who, --from, --wait and with it --gateway */
    GGW_CTL_LAST = 32,       /* --last */
};

/**
 * struct ggw_ctl_usage - command line of a verb
 * @verb: its name
 * @operands: names for the help text, for example "PATH VALUE"
 * @doc: one sentence for the help text
 * @takes: set of enum ggw_ctl_takes
 */
struct ggw_ctl_usage {
    const char *verb;
    const char *operands;
    int operands_len;
    const char *doc;
    unsigned takes;
};

/**
 * struct ggw_ctl_args - checked command line
 * @from: revision that a change must start from; 0 is any
 * @last: number of changes to print
 * @timeout: longest wait for gateways, or for a lost answer to be settled
 * @request_timeout: longest wait for one answer
 */
struct ggw_ctl_args {
    const struct ggw_ctl_usage *usage;
    const char *team;
    struct ggw_address platform;
    struct ggw_address gateway;
    bool has_platform;
    bool has_gateway;
    const char *who;
    bool wait;
    uint64_t from;
    unsigned last;
    ggw_ms timeout;
    ggw_ms request_timeout;
    const char *operands[2];
    int operands_len;
};

/**
 * ggw_ctl_parse() - read the command line of a verb
 *
 * Flags win over environment variables. Exits the process on --help and, with
 * status 2, on wrong usage.
 */
void ggw_ctl_parse(const struct ggw_ctl_usage *usage, int argc, char **argv,
                   struct ggw_ctl_args *args);

/**
 * ggw_ctl_fail() - print "greengageway VERB: text" to standard error
 *
 * Return: @status
 */
int ggw_ctl_fail(const struct ggw_ctl_args *args, int status,
                 const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
