#ifndef GGW_CTL_CHANGE_H
#define GGW_CTL_CHANGE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "ctl/args.h"

/**
 * ggw_ctl_edit - edits a copy of the settings
 * @tree: may be replaced
 *
 * Return: false after an error message when the edit is refused.
 */
typedef bool (*ggw_ctl_edit)(const struct ggw_ctl_args *args, json_t **tree);

/**
 * ggw_ctl_change() - make one change with its audit row
 *
 * Return: exit status.
 */
int ggw_ctl_change(const struct ggw_ctl_args *args, ggw_ctl_edit edit);

#endif
