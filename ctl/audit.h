#ifndef GGW_CTL_AUDIT_H
#define GGW_CTL_AUDIT_H

#include <stdbool.h>
#include <stdint.h>

#include "ctl/args.h"

/**
 * ggw_ctl_last_revision() - find the last revision that has an audit row
 * @revision: set to it; 0 when the team has no audit rows
 *
 * Revisions have audit rows without gaps, so that a few reads of keys find
 * the last one among any number.
 *
 * Return: false after printing an error message when the platform gave no
 * response.
 */
bool ggw_ctl_last_revision(const struct ggw_ctl_args *args,
                           uint64_t *revision);

#endif
