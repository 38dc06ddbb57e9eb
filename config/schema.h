#ifndef GGW_CONFIG_SCHEMA_H
#define GGW_CONFIG_SCHEMA_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "config/tree.h"

/*
 * The settings of a team as tables of options, one for each level of the
 * tree. The tables drive the check, the defaults and the operators'
 * reference.
 */

/**
 * ggw_schema_parse() - check a tree and fill in the defaults
 * @root: JSON of the team's subtree
 * @tree: receives the settings; may be half filled on failure
 *
 * Return: false with GGW_ERROR_INVALID when a value is refused.
 */
bool ggw_schema_parse(const json_t *root, struct ggw_tree *tree,
                      GError **error);

/**
 * ggw_schema_print() - append the operators' reference as Markdown
 */
void ggw_schema_print(GString *out);

/* Frees what ggw_schema_parse() stored. */
void ggw_service_rule_clear(struct ggw_service_rule *rule);
void ggw_route_rule_clear(struct ggw_route_rule *route);

#endif
