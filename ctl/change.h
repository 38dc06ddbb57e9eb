#ifndef GGW_CTL_CHANGE_H
#define GGW_CTL_CHANGE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "ctl/args.h"

/**
 * typedef ggw_ctl_edit - edit a copy of the settings
 * @args: command line of the verb
 * @tree: settings to edit; the callback may replace the tree, and then drops
 *        the reference to the old one
 *
 * Return: false after printing an error message when the edit is refused.
 */
typedef bool (*ggw_ctl_edit)(const struct ggw_ctl_args *args, json_t **tree);

/**
 * ggw_ctl_change() - change a team's settings and write the audit row
 * @edit: called once with a copy of the current settings
 *
 * Reads the settings, edits and validates the copy, then writes the settings
 * and the audit row in one transaction, which fails if the settings have
 * changed since they were read. Prints the new revision and each changed
 * path. An edit that changes nothing writes nothing. With --wait, waits until
 * every alive gateway has the revision.
 *
 * Return: an enum ggw_ctl_exit; an error message was printed unless it is
 * GGW_CTL_DONE.
 */
int ggw_ctl_change(const struct ggw_ctl_args *args, ggw_ctl_edit edit);

#endif
