#ifndef GGW_CTL_ARGS_H
#define GGW_CTL_ARGS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/address.h"
#include "kernel/clock.h"

/* Groups of options that a verb accepts; the values are bits of a set. */
enum ggw_ctl_option_group {
    GGW_CTL_TEAM = 1,        /* --team, required */
    GGW_CTL_TEAM_FILTER = 2, /* --team, optional */
    GGW_CTL_PLATFORM = 4,    /* --platform, required */
    GGW_CTL_GATEWAY = 8,     /* --gateway, required */
    GGW_CTL_CHANGE = 16,     /* --who, --from, --wait (needs --gateway) */
    GGW_CTL_LAST = 32,       /* --last */
};

/**
 * struct ggw_ctl_usage - command line that a verb accepts
 * @verb: name of the verb
 * @operands: names of the operands for the help text, for example
 *            "PATH VALUE"; NULL when there are none
 * @operands_len: number of operands, all of them required
 * @doc: description for the help text
 * @option_groups: set of enum ggw_ctl_option_group
 */
struct ggw_ctl_usage {
    const char *verb;
    const char *operands;
    int operands_len;
    const char *doc;
    unsigned option_groups;
};

/**
 * struct ggw_ctl_args - parsed and checked command line
 * @usage: command line that the verb accepts
 * @team: team whose settings are read or changed; NULL when not given
 * @platform: HTTP interface of the platform
 * @gateway: gateway that is asked for the list of members
 * @has_platform: @platform is set
 * @has_gateway: @gateway is set
 * @who: operator that the audit row names
 * @wait: wait until every alive gateway has the change
 * @from: revision that a change must start from; 0 accepts any revision
 * @last: number of changes to print
 * @timeout: longest wait, in ms, for the gateways to have a revision, or for
 *           the outcome of a write whose answer was lost
 * @request_timeout: longest wait for one answer, in ms
 * @operands: operands in the order of the command line
 * @operands_len: number of operands
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
 * ggw_ctl_parse() - parse the command line of a verb
 * @usage: command line that the verb accepts; must outlive @args
 * @argv: argv[0] is replaced by "greengageway VERB", which argp prints
 * @args: filled in; its strings point into @argv and the environment
 *
 * Flags take precedence over environment variables. Exits the process with
 * status 0 on --help, and with status 2, GGW_CTL_REFUSED, on a wrong command
 * line.
 */
void ggw_ctl_parse(const struct ggw_ctl_usage *usage, int argc, char **argv,
                   struct ggw_ctl_args *args);

/**
 * ggw_ctl_fail() - print "greengageway VERB: MESSAGE" to standard error
 * @status: exit status to return
 * @format: format of the message, without a newline
 *
 * Return: @status, so that a verb can print and return in one statement.
 */
int ggw_ctl_fail(const struct ggw_ctl_args *args, int status,
                 const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
