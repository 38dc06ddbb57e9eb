#ifndef GGW_COMMON_OPTIONS_H
#define GGW_COMMON_OPTIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * Command-line options of a process, declared in one table. The table defines
 * the flags, their environment variables, defaults, validation and the --help
 * text. A flag overrides its environment variable, which overrides the
 * default.
 */

/**
 * enum ggw_option_type - type of an option's value and of the member it fills
 * @GGW_OPTION_TEXT: char *; a non-empty string
 * @GGW_OPTION_ADDRESS: struct ggw_address; "IP:PORT"
 * @GGW_OPTION_LIST: char **; comma-separated list of "IP:PORT", may be empty
 * @GGW_OPTION_NUMBER: double; a number in @min..@max
 */
enum ggw_option_type {
    GGW_OPTION_TEXT,
    GGW_OPTION_ADDRESS,
    GGW_OPTION_LIST,
    GGW_OPTION_NUMBER,
};

/**
 * struct ggw_option - one option
 * @name: name of the flag without dashes; the environment variable is
 *        "GREENGAGEWAY_" followed by @name in upper case, with "-" replaced by
 *        "_"
 * @type: type of the value
 * @arg: placeholder of the value in the --help text
 * @value: default value as text; NULL makes the option required
 * @min: least valid number; @help states the unit
 * @max: greatest valid number
 * @offset: offset of the member to fill in the output structure
 * @help: description in the --help text
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
 * ggw_options_parse() - fill a structure from flags, environment variables and
 *                       defaults
 * @table: options, terminated by an entry whose name is NULL
 * @doc: first line of the --help text
 * @out: zeroed structure to fill; to be cleared with ggw_options_clear()
 *
 * Exits with status 0 after printing --help or --version, and with status 2
 * on an unknown flag or an unexpected argument.
 *
 * Return: false with GGW_ERROR_INVALID when a required option is missing or a
 * value is invalid; the message names the flag and the valid range.
 */
bool ggw_options_parse(const struct ggw_option *table, const char *doc,
                       int argc, char **argv, void *out, GError **error);

/**
 * ggw_options_clear() - free the strings and lists that ggw_options_parse()
 *                       stored
 */
void ggw_options_clear(const struct ggw_option *table, void *out);

/**
 * ggw_option_variable() - get the environment variable of an option
 *
 * Return: a new string, to be freed.
 */
char *ggw_option_variable(const struct ggw_option *option);

#endif
