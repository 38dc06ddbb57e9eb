#ifndef GGW_CTL_STATUS_H
#define GGW_CTL_STATUS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "ctl/args.h"

/**
 * struct ggw_gateway_status - one gateway, as seen by the operators' verbs
 * @name: name of the gateway
 * @failure_domain: failure domain of the gateway
 * @address: IP:PORT for clients
 * @pages_address: IP:PORT of its pages
 * @state: its state in the member list of the gateway of the command line
 * @page: its own /-/status page, or NULL when it gave no usable response or
 *        was not asked because it is dead
 */
struct ggw_gateway_status {
    char *name;
    char *failure_domain;
    char *address;
    char *pages_address;
    char *state;
    json_t *page;
};

/**
 * ggw_ctl_collect_status() - read the status pages of all known gateways
 *
 * Asks the gateway of the command line for its member list, then all members
 * that are not dead concurrently for their status pages.
 *
 * Return: array of struct ggw_gateway_status, which the caller frees with
 * g_array_unref(), or NULL when the gateway of the command line gave no usable
 * response.
 */
GArray *ggw_ctl_collect_status(const struct ggw_ctl_args *args);

/**
 * ggw_ctl_print_status() - run a verb that prints status pages
 * @usage: usage of the verb; has the option group GGW_CTL_GATEWAY
 * @print: prints the array of struct ggw_gateway_status; @team is the team of
 *         the command line, or NULL
 *
 * Return: GGW_CTL_DONE, or GGW_CTL_UNREACHABLE with a printed error message
 * when the gateway of the command line gave no usable response.
 */
int
ggw_ctl_print_status(const struct ggw_ctl_usage *usage, int argc, char **argv,
                     void (*print)(const GArray *gateways, const char *team));

/* Returns a member of a gateway's status page; NULL when it has none. */
json_t *ggw_gateway_page_member(const GArray *gateways, guint i,
                                const char *name);

/* Returns the revision of a team on a status page; 0 when it has none. */
uint64_t ggw_gateway_revision(const struct ggw_gateway_status *gateway,
                              const char *team);

/**
 * ggw_ctl_wait_for() - wait until every alive gateway has a revision
 * @revision: lowest revision of the team's settings that a gateway must have
 *
 * Return: GGW_CTL_DONE, or GGW_CTL_UNREACHABLE after --timeout, when a printed
 * error message names the gateways that lack the revision.
 */
int ggw_ctl_wait_for(const struct ggw_ctl_args *args, uint64_t revision);

#endif
