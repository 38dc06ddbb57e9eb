#ifndef GGW_CONFIG_ROW_H
#define GGW_CONFIG_ROW_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Prefix of the keys "config/TEAM" of the rows that hold settings. */
#define GGW_CONFIG_PREFIX "config/"

/**
 * struct ggw_config_row - value of the store's row with a team's settings
 * @revision: revision of the settings, 1 at first and incremented with each
 *            change
 * @change: id of the change that wrote the row
 * @who: operator who made the change
 * @when: time of the change in UTC
 * @tree: JSON object of the settings
 */
struct ggw_config_row {
    uint64_t revision;
    char *change;
    char *who;
    char *when;
    json_t *tree;
};

/**
 * ggw_config_row_parse() - parse the value of a row
 * @text: JSON text of the value
 * @row: receives the members; needs ggw_config_row_clear() in either case
 * @error: GGW_ERROR_PROTOCOL when the value is malformed
 *
 * Return: true when the value is well-formed.
 */
bool ggw_config_row_parse(const char *text, struct ggw_config_row *row,
                          GError **error);

/**
 * ggw_config_row_serialize() - serialize the value of a row
 * @row: members of the row
 *
 * Return: new JSON text, to be freed with g_free().
 */
char *ggw_config_row_serialize(const struct ggw_config_row *row);

/**
 * ggw_config_row_clear() - free and zero the members of a row
 * @row: members of the row
 */
void ggw_config_row_clear(struct ggw_config_row *row);

#endif
