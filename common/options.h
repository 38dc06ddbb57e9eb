#ifndef GGW_COMMON_OPTIONS_H
#define GGW_COMMON_OPTIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * Process settings as one declarative table. It yields the flags, their
 * environment variables, defaults, checks and the --help text. A flag wins
 * over its variable, which wins over the default.
 */

/**
 * enum ggw_option_type - how the text of a setting is read
 * @GGW_OPTION_TEXT: char *, not empty
 * @GGW_OPTION_ADDRESS: struct ggw_address
 * @GGW_OPTION_LIST: char **, separated by commas, each "IP:PORT"
 * @GGW_OPTION_NUMBER: double in @min..@max
 */
enum ggw_option_type {
    GGW_OPTION_TEXT,
    GGW_OPTION_ADDRESS,
    GGW_OPTION_LIST,
    GGW_OPTION_NUMBER,
};

/**
 * struct ggw_option - one setting
 * @name: flag without dashes; the variable is GREENGAGEWAY_NAME in capitals
 *        with underscores
 * @arg: name of the argument in the help text
 * @value: default as text; NULL makes the setting required
 * @min, @max: range of a number, with the unit that @help states
 * @offset: of the field in the structure that is filled
 */
struct ggw_option {
    const char *name;
    enum ggw_option_type type;
    const char *arg;
    const char *value;
    double min;
    double max;
    size_t offset;
    const char *help;
};

/**
 * ggw_options_parse() - fill a structure from flags and environment
 * @table: ends with an entry without a name
 * @doc: first line of the --help text
 * @out: zeroed structure
 *
 * --help and --version print and exit; an unknown flag exits with status 2.
 *
 * Return: false with GGW_ERROR_INVALID that names the flag and its range.
 */
bool ggw_options_parse(const struct ggw_option *table, const char *doc,
                       int argc, char **argv, void *out, GError **error);

/**
 * ggw_options_clear() - free what ggw_options_parse() stored
 */
void ggw_options_clear(const struct ggw_option *table, void *out);

/**
 * ggw_option_variable() - name of the environment variable of a setting
 */
char *ggw_option_variable(const struct ggw_option *option);

#endif
