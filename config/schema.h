#ifndef GGW_CONFIG_SCHEMA_H
#define GGW_CONFIG_SCHEMA_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "config/tree.h"

/**
 * DOC: schema of a team's settings
 *
 * Tables describe the settings of each level of the tree. The checks, the
 * defaults and the operators' reference are derived from these tables.
 */

/**
 * ggw_schema_parse() - check settings, apply the defaults and store the result
 * @root: JSON value of the team's settings
 * @tree: receives the settings; partially filled on error
 * @error: GGW_ERROR_INVALID when a value is not allowed
 *
 * Return: true when all settings are valid.
 */
bool ggw_schema_parse(const json_t *root, struct ggw_tree *tree,
                      GError **error);

/**
 * ggw_schema_is_name() - test whether an entry of the settings may have a name
 */
bool ggw_schema_is_name(const char *name);

/**
 * ggw_schema_is_any_name() - test the same for entries chosen outside of the
 *                            project, such as customers
 */
bool ggw_schema_is_any_name(const char *name);

/**
 * ggw_schema_print() - append the operators' reference as Markdown
 * @out: text to append to
 */
void ggw_schema_print(GString *out);

/**
 * ggw_service_rule_clear() - free the members of a service's settings
 * @rule: settings that ggw_schema_parse() stored
 */
void ggw_service_rule_clear(struct ggw_service_rule *rule);

/**
 * ggw_route_rule_clear() - free the members of a route
 * @route: route that ggw_schema_parse() stored
 */
void ggw_route_rule_clear(struct ggw_route_rule *route);

/**
 * ggw_customer_rule_clear() - free the members of a customer's settings
 * @customer: settings that ggw_schema_parse() stored
 */
void ggw_customer_rule_clear(struct ggw_customer_rule *customer);

#endif
