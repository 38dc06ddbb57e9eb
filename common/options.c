#include "common/options.h"

#include <argp.h>
#include <string.h>

#include "common/address.h"
#include "common/error.h"

/*
 * First argp key. It lies above the characters, because argp derives a short
 * flag from a key that is a character.
 */
#define FIRST_OPTION_KEY 0x100

struct parser {
    const struct ggw_option *table;
    const char **values; /* given by flags, by index in the table */
    int len;             /* number of options in the table */
};

char *
ggw_option_variable(const struct ggw_option *option)
{
    g_autofree char *upper = g_ascii_strup(option->name, -1);

    g_strdelimit(upper, "-", '_');
    return g_strconcat("GREENGAGEWAY_", upper, NULL);
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct parser *parser = state->input;

    /* The keys that argp defines, such as ARGP_KEY_INIT, are far higher. */
    if (key >= FIRST_OPTION_KEY && key < FIRST_OPTION_KEY + parser->len) {
        parser->values[key - FIRST_OPTION_KEY] = arg;
        return 0;
    }
    if (key == ARGP_KEY_ARG) {
        argp_error(state, "unexpected argument \"%s\"", arg);
    }
    return ARGP_ERR_UNKNOWN;
}

static bool
store_list(const char *text, char ***out, GError **error)
{
    char **list = g_strsplit(text, ",", -1);
    size_t n = 0;

    for (size_t i = 0; list[i] != NULL; i++) {
        struct ggw_address address;

        if (*list[i] == '\0') {
            g_free(list[i]);
            continue;
        }
        list[n++] = list[i];
        if (!ggw_address_parse(list[n - 1], &address, error)) {
            g_strfreev(list);
            return false;
        }
    }
    list[n] = NULL;
    *out = list;
    return true;
}

static bool
store_number(const struct ggw_option *o, const char *text, double *out,
             GError **error)
{
    char *end;
    double value = g_ascii_strtod(text, &end);

    if (end == text || *end != '\0' || !(value >= o->min) ||
        !(value <= o->max)) {
        g_set_error(error, GGW_ERROR, GGW_ERROR_INVALID,
                    "\"%s\" is not a number in %g..%g", text, o->min, o->max);
        return false;
    }
    *out = value;
    return true;
}

static bool
store(const struct ggw_option *o, const char *text, void *out, GError **error)
{
    void *field = (char *)out + o->offset;

    switch (o->type) {
    case GGW_OPTION_TEXT:
        if (*text == '\0') {
            g_set_error(error, GGW_ERROR, GGW_ERROR_INVALID, "value is empty");
            return false;
        }
        *(char **)field = g_strdup(text);
        return true;
    case GGW_OPTION_ADDRESS:
        return ggw_address_parse(text, field, error);
    case GGW_OPTION_LIST:
        return store_list(text, field, error);
    case GGW_OPTION_NUMBER:
        return store_number(o, text, field, error);
    }
    g_assert_not_reached();
}

static bool
store_values(const struct parser *parser, void *out, GError **error)
{
    for (int i = 0; parser->table[i].name != NULL; i++) {
        const struct ggw_option *o = &parser->table[i];
        g_autofree char *variable = ggw_option_variable(o);
        const char *text = parser->values[i];

        if (text == NULL) {
            text = g_getenv(variable);
        }
        if (text == NULL) {
            text = o->value;
        }
        if (text == NULL) {
            g_set_error(error, GGW_ERROR, GGW_ERROR_INVALID,
                        "--%s (or %s) is required", o->name, variable);
            return false;
        }
        if (!store(o, text, out, error)) {
            g_prefix_error(error, "--%s: ", o->name);
            return false;
        }
    }
    return true;
}

/* Returns the help text of an option with its variable and its default. */
static char *
format_help(const struct ggw_option *o)
{
    g_autofree char *variable = ggw_option_variable(o);

    if (o->value == NULL) {
        return g_strdup_printf("%s (required; %s)", o->help, variable);
    }
    return g_strdup_printf("%s (default \"%s\"; %s)", o->help, o->value,
                           variable);
}

bool
ggw_options_parse(const struct ggw_option *table, const char *doc, int argc,
                  char **argv, void *out, GError **error)
{
    size_t n = 0;
    struct argp_option *options;
    struct parser parser = {.table = table};
    bool ok;

    while (table[n].name != NULL) {
        n++;
    }
    parser.len = (int)n;
    options = g_new0(struct argp_option, n + 1);
    parser.values = g_new0(const char *, n + 1);
    for (size_t i = 0; i < n; i++) {
        options[i].name = table[i].name;
        options[i].key = FIRST_OPTION_KEY + (int)i;
        options[i].arg = table[i].arg;
        options[i].doc = format_help(&table[i]);
    }
    argp_err_exit_status = 2;
    argp_parse(
        &(struct argp){options, parse_option, NULL, doc, NULL, NULL, NULL},
        argc, argv, 0, NULL, &parser);
    ok = store_values(&parser, out, error);
    if (!ok) {
        ggw_options_clear(table, out);
    }
    for (size_t i = 0; i < n; i++) {
        g_free((char *)options[i].doc);
    }
    g_free(options);
    g_free(parser.values);
    return ok;
}

void
ggw_options_clear(const struct ggw_option *table, void *out)
{
    for (; table->name != NULL; table++) {
        void *field = (char *)out + table->offset;

        if (table->type == GGW_OPTION_TEXT) {
            g_clear_pointer((char **)field, g_free);
        }
        else if (table->type == GGW_OPTION_LIST) {
            g_clear_pointer((char ***)field, g_strfreev);
        }
    }
}
