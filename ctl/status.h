#ifndef GGW_CTL_STATUS_H
#define GGW_CTL_STATUS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "ctl/args.h"

/**
 * struct ggw_gateway_status - one gateway as the operators' client sees it
 * @state: in the member list of the gateway that was asked first
 * @page: its own /-/status page, or NULL when it gave no answer
 */
struct ggw_gateway_status {
    char *name;
    char *failure_domain;
    char *address;
    char *state;
    json_t *page;
};

/**
 * ggw_ctl_gather() - read the status pages of all known gateways
 *
 * Asks the gateway of the command line for its members, then all of them at
 * the same time.
 *
 * Return: of struct ggw_gateway_status, or NULL when the first gateway gave
 * no usable answer.
 */
GArray *ggw_ctl_gather(const struct ggw_ctl_args *args);

/* The revision of a team on a status page; 0 when there is none. */
uint64_t ggw_gateway_revision(const struct ggw_gateway_status *gateway,
                              const char *team);

/**
 * ggw_ctl_wait_for() - wait until every alive gateway has a revision
 *
 * Return: exit status, after a message that names the gateways that lack it.
 */
int ggw_ctl_wait_for(const struct ggw_ctl_args *args, uint64_t revision);

#endif
