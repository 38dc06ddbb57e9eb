#ifndef GGW_CONFIG_SETTING_H
#define GGW_CONFIG_SETTING_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * What the tables of settings (config/settings_tables.c) and their parser
 * (config/schema.c) share.
 */

enum ggw_setting_type {
    GGW_SETTING_INT,
    GGW_SETTING_MS,     /* whole number of milliseconds, stored as ggw_ms */
    GGW_SETTING_NUMBER, /* with fraction */
    GGW_SETTING_CHOICE, /* stored as text */
    GGW_SETTING_ENUM,   /* stored as the position in the choices */
    GGW_SETTING_METHODS,
    GGW_SETTING_PREFIX,
    GGW_SETTING_HOST,
    GGW_SETTING_ORDER, /* stored in three members of struct ggw_kind */
    GGW_SETTING_SPLIT, /* services with weights, of a struct ggw_route_rule */
    GGW_SETTING_MAP,   /* names, each with a level of its own */
};

struct ggw_setting_level;

/*
 * @offset: place in the struct of the level
 * @min, @max: range of numbers
 * @fallback: JSON text of the default; NULL leaves the setting unset
 * @choices: allowed texts, divided by "|"
 * @entries: level below a map
 */
struct ggw_setting {
    const char *name;
    enum ggw_setting_type type;
    size_t offset;
    double min, max;
    const char *fallback;
    const char *choices;
    const struct ggw_setting_level *entries;
    const char *help;
};

/*
 * @size: of the struct that holds the settings of one entry
 * @check: what depends on more than one setting, or NULL
 * @add: moves a checked entry into its parent
 * @clear: frees what a refused entry holds, or NULL
 */
struct ggw_setting_level {
    const char *path; /* for the reference */
    const struct ggw_setting *settings;
    size_t size;
    bool (*check)(const void *entry, const char *path, GError **error);
    void (*add)(void *parent, const char *name, void *entry);
    void (*clear)(void *entry);
};

/**
 * ggw_setting_refuse() - report a value that is not allowed
 *
 * Return: false, for the caller to return.
 */
bool ggw_setting_refuse(GError **error, const char *path, const char *format,
                        ...) G_GNUC_PRINTF(3, 4);

extern const struct ggw_setting_level ggw_settings_root;

#endif
