#ifndef GGW_CONFIG_ROW_H
#define GGW_CONFIG_ROW_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Prefix of the rows "config/TEAM" of the store. */
#define GGW_CONFIG_PREFIX "config/"

/**
 * struct ggw_config_row - the row that holds a team's settings
 * @revision: 1 for the first settings, one more with each change
 * @change: id of the change that wrote it
 * @who: operator who made the change
 * @when: time of the change, UTC
 * @tree: the settings
 */
struct ggw_config_row {
    uint64_t revision;
    char *change;
    char *who;
    char *when;
    json_t *tree;
};

/**
 * ggw_config_row_parse() - read the value of a row
 *
 * Return: false with GGW_ERROR_PROTOCOL when it is malformed; @row needs
 * ggw_config_row_clear() in either case.
 */
bool ggw_config_row_parse(const char *text, struct ggw_config_row *row,
                          GError **error);

char *ggw_config_row_serialize(const struct ggw_config_row *row);
void ggw_config_row_clear(struct ggw_config_row *row);

#endif
