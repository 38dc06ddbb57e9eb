#ifndef GGW_CONFIG_SETTING_H
#define GGW_CONFIG_SETTING_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: tables of settings
 *
 * Declarations shared by the tables that describe the settings
 * (config/settings_tables.c) and the parser that interprets them
 * (config/schema.c).
 */

/**
 * enum ggw_setting_type - type of a setting and how its value is stored
 * @GGW_SETTING_INT: whole number, stored as int
 * @GGW_SETTING_MS: whole number of milliseconds, stored as ggw_ms
 * @GGW_SETTING_NUMBER: number with a fraction, stored as double
 * @GGW_SETTING_CHOICE: one of the choices, stored as text
 * @GGW_SETTING_ENUM: one of the choices, stored as its index in an int
 * @GGW_SETTING_METHODS: list of choices, stored as a NULL-terminated array
 * @GGW_SETTING_TEXT: any text
 * @GGW_SETTING_PREFIX: path that begins with "/", stored as text
 * @GGW_SETTING_HOST: host name in lower case, stored as text
 * @GGW_SETTING_ORDER: source of the order identifier, stored in three members
 *                     of struct ggw_kind
 * @GGW_SETTING_SPLIT: object of service names and weights, stored in
 *                     struct ggw_route_rule
 * @GGW_SETTING_KEYS: list of customers' keys, stored as a NULL-terminated
 *                    array; their text is left out of error messages
 * @GGW_SETTING_MAP: object of named entries, each parsed as a level of its own
 */
enum ggw_setting_type {
    GGW_SETTING_INT,
    GGW_SETTING_MS,
    GGW_SETTING_NUMBER,
    GGW_SETTING_CHOICE,
    GGW_SETTING_ENUM,
    GGW_SETTING_METHODS,
    GGW_SETTING_TEXT,
    GGW_SETTING_PREFIX,
    GGW_SETTING_HOST,
    GGW_SETTING_ORDER,
    GGW_SETTING_SPLIT,
    GGW_SETTING_KEYS,
    GGW_SETTING_MAP,
};

struct ggw_setting_level;

/**
 * struct ggw_setting - description of one setting
 * @name: key in the JSON object
 * @type: type of the value
 * @optional: an absent map means something else than an empty one
 * @offset: offset of the value in the struct of the level, in bytes
 * @min: minimum of a number, inclusive
 * @max: maximum of a number, inclusive
 * @default_json: JSON text of the default; NULL leaves the setting unset
 * @choices: allowed texts, separated by "|"
 * @entries: level of the entries of a map
 * @help: description in the operators' reference
 */
struct ggw_setting {
    const char *name;
    enum ggw_setting_type type;
    bool optional;
    size_t offset;
    double min, max;
    const char *default_json;
    const char *choices;
    const struct ggw_setting_level *entries;
    const char *help;
};

/**
 * struct ggw_setting_level - one level of the settings tree
 * @path: path of the level in the operators' reference
 * @settings: settings of the level, terminated by an entry without a name
 * @any_name: names of entries may hold any visible ASCII characters but quotes
 *            and backslashes, since they are chosen outside of the project
 * @size: size of the struct that stores the settings of one entry, in bytes
 * @check: check of rules that involve more than one setting, or NULL
 * @add: moves a checked entry into its parent
 * @clear: frees the members of a refused entry, or NULL
 */
struct ggw_setting_level {
    const char *path;
    const struct ggw_setting *settings;
    bool any_name;
    size_t size;
    bool (*check)(const void *entry, const char *path, GError **error);
    void (*add)(void *parent, const char *name, void *entry);
    void (*clear)(void *entry);
};

/**
 * ggw_setting_refuse() - set the error for a value that is not allowed
 * @error: set to GGW_ERROR_INVALID
 * @path: path of the setting
 * @format: printf format of the reason
 *
 * Return: always false, so that the caller can return the result.
 */
bool ggw_setting_refuse(GError **error, const char *path, const char *format,
                        ...) G_GNUC_PRINTF(3, 4);

/* Top level of the settings tree; its values are stored in a ggw_tree. */
extern const struct ggw_setting_level ggw_settings_root;

#endif
