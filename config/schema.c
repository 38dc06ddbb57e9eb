#include "config/schema.h"

#include <stdlib.h>
#include <string.h>

#include "common/error.h"
#include "config/setting.h"

/*
 * Names are used in request paths, where "/" separates them, and in paths of
 * settings, where "." does. Neither character is allowed in a name.
 */
#define NAME_CHARS                                                            \
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-"
#define MAX_ANY_NAME 200     /* bytes */
#define MAX_NAME 64          /* bytes */
#define MAX_PREFIX 8192      /* bytes */
#define MAX_ORDER_SEGMENT 31 /* index, from 0 */

#define MAX_HOST 8192 /* bytes */

#define MAX_WEIGHT 1000000

#define MAX_KEY 8192 /* bytes */

bool
ggw_setting_refuse(GError **error, const char *path, const char *format, ...)
{
    g_autofree char *text = NULL;
    va_list ap;

    va_start(ap, format);
    text = g_strdup_vprintf(format, ap);
    va_end(ap);
    g_set_error(error, GGW_ERROR, GGW_ERROR_INVALID, "%s: %s", path, text);
    return false;
}

/**
 * struct location - place of a value in the settings
 * @parent: place of the enclosing object; NULL at the top level
 * @name: name of the value; NULL at the top level
 *
 * The path is formatted only for an error: a configuration has tens of
 * thousands of values, and most have none.
 */
struct location {
    const struct location *parent;
    const char *name;
};

static char *
format_path(const struct location *at)
{
    g_autofree char *parent = NULL;

    if (at->parent == NULL) {
        return g_strdup("");
    }
    parent = format_path(at->parent);
    return g_strconcat(parent, *parent != '\0' ? "." : "", at->name, NULL);
}

/* As ggw_setting_refuse(). */
static bool G_GNUC_PRINTF(3, 4)
    refuse_at(GError **error, const struct location *at, const char *format,
              ...)
{
    g_autofree char *path = format_path(at);
    g_autofree char *text = NULL;
    va_list ap;

    va_start(ap, format);
    text = g_strdup_vprintf(format, ap);
    va_end(ap);
    return ggw_setting_refuse(error, *path != '\0' ? path : "settings", "%s",
                              text);
}

/* Formats a value as JSON of at most 60 bytes for an error message. */
static char *
format_value(const json_t *value)
{
    char *raw = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
    char *text =
        strlen(raw) > 60 ? g_strdup_printf("%.57s...", raw) : g_strdup(raw);

    free(raw);
    return text;
}

static char *
format_choices(const char *choices)
{
    g_auto(GStrv) parts = g_strsplit(choices, "|", -1);

    return g_strjoinv(", ", parts);
}

/* Returns the index of a text among choices separated by "|", or -1. */
static int
choice_index(const char *choices, const json_t *value)
{
    const char *text = json_string_value(value);
    size_t len = text != NULL ? strlen(text) : 0;
    const char *choice = choices;

    for (int i = 0; text != NULL; i++) {
        size_t choice_len = strcspn(choice, "|");

        if (choice_len == len && memcmp(choice, text, len) == 0) {
            return i;
        }
        if (choice[choice_len] == '\0') {
            break;
        }
        choice += choice_len + 1;
    }
    return -1;
}

static bool
parse_number(const struct ggw_setting *s, const json_t *value,
             const struct location *at, void *dest, GError **error)
{
    bool whole = s->type != GGW_SETTING_NUMBER;
    double number = json_number_value(value);
    g_autofree char *text = NULL;

    if (!(whole ? json_is_integer(value) : json_is_number(value)) ||
        !(number >= s->min && number <= s->max)) {
        text = format_value(value);
        return refuse_at(error, at, "%s is not %sin %.15g..%.15g", text,
                         whole && !json_is_integer(value) ? "a whole number "
                                                          : "",
                         s->min, s->max);
    }
    if (s->type == GGW_SETTING_INT) {
        *(int *)dest = (int)number;
    }
    else {
        *(double *)dest = number;
    }
    return true;
}

static bool
parse_choice(const struct ggw_setting *s, const json_t *value,
             const struct location *at, void *dest, GError **error)
{
    int i = choice_index(s->choices, value);

    if (i < 0) {
        g_autofree char *text = format_value(value);
        g_autofree char *allowed = format_choices(s->choices);

        return refuse_at(error, at, "%s is not one of %s", text, allowed);
    }
    if (s->type == GGW_SETTING_ENUM) {
        *(int *)dest = i;
    }
    else {
        *(char **)dest = g_strdup(json_string_value(value));
    }
    return true;
}

static bool
parse_methods(const struct ggw_setting *s, const json_t *value,
              const struct location *at, char ***dest, GError **error)
{
    size_t len = json_array_size(value);
    bool ok = len > 0;

    for (size_t i = 0; i < len && ok; i++) {
        ok = choice_index(s->choices, json_array_get(value, i)) >= 0;
    }
    if (!ok) {
        g_autofree char *text = format_value(value);
        g_autofree char *allowed = format_choices(s->choices);

        return refuse_at(error, at, "%s is not a list of some of %s", text,
                         allowed);
    }
    *dest = g_new0(char *, len + 1);
    for (size_t i = 0; i < len; i++) {
        (*dest)[i] = g_strdup(json_string_value(json_array_get(value, i)));
    }
    return true;
}

static bool
parse_text(const json_t *value, const struct location *at, char **dest,
           GError **error)
{
    if (!json_is_string(value)) {
        g_autofree char *json = format_value(value);

        return refuse_at(error, at, "%s is not a text", json);
    }
    *dest = g_strdup(json_string_value(value));
    return true;
}

static bool
parse_prefix(const json_t *value, const struct location *at, char **dest,
             GError **error)
{
    const char *text = json_string_value(value);

    if (text == NULL || *text != '/' || strlen(text) > MAX_PREFIX) {
        g_autofree char *json = format_value(value);

        return refuse_at(error, at,
                         "%s is not a path that begins with \"/\" and has at "
                         "most %d bytes",
                         json, MAX_PREFIX);
    }
    *dest = g_strdup(text);
    return true;
}

static bool
parse_order(const json_t *value, const struct location *at,
            struct ggw_kind *kind, GError **error)
{
    const char *text = json_string_value(value);
    g_autofree char *json = NULL;

    if (text != NULL && g_str_has_prefix(text, "header:")) {
        const char *name = text + strlen("header:");
        size_t len = strspn(name, NAME_CHARS);

        if (len > 0 && len <= MAX_NAME && name[len] == '\0') {
            kind->order_source = GGW_ORDER_FROM_HEADER;
            kind->order_header = g_strdup(name);
            return true;
        }
    }
    if (text != NULL && g_str_has_prefix(text, "path:")) {
        guint64 segment;

        if (g_ascii_string_to_unsigned(text + strlen("path:"), 10, 0,
                                       MAX_ORDER_SEGMENT, &segment, NULL)) {
            kind->order_source = GGW_ORDER_FROM_PATH;
            kind->order_segment = (int)segment;
            return true;
        }
    }
    json = format_value(value);
    return refuse_at(error, at,
                     "%s is not \"header:NAME\" or \"path:N\" with N in 0..%d",
                     json, MAX_ORDER_SEGMENT);
}

/* A host may hold any characters that a request can name it with. */
static bool
has_bad_host_char(const char *text)
{
    for (; *text != '\0'; text++) {
        if (g_ascii_iscntrl(*text) || g_ascii_isupper(*text) || *text == ' ') {
            return true;
        }
    }
    return false;
}

static bool
parse_host(const json_t *value, const struct location *at, char **dest,
           GError **error)
{
    const char *text = json_string_value(value);

    if (text == NULL || *text == '\0' || strlen(text) > MAX_HOST ||
        has_bad_host_char(text)) {
        g_autofree char *json = format_value(value);

        return refuse_at(error, at, "%s is not a host name in lower case",
                         json);
    }
    *dest = g_strdup(text);
    return true;
}

static bool
parse_split(const json_t *value, const struct location *at,
            struct ggw_route_rule *route, GError **error)
{
    const char *name;
    json_t *weight;

    if (!json_is_object(value)) {
        return refuse_at(error, at, "is not an object");
    }
    json_object_foreach((json_t *)value, name, weight)
    {
        json_int_t number = json_integer_value(weight);

        if (!json_is_integer(weight) || number < 0 || number > MAX_WEIGHT) {
            return refuse_at(error, at, "the weight of %s is not in 0..%d",
                             name, MAX_WEIGHT);
        }
        route->split =
            g_renew(struct ggw_split_part, route->split, route->split_len + 1);
        route->split[route->split_len++] = (struct ggw_split_part){
            .service = g_strdup(name), .weight = (int)number};
    }
    return true;
}

/* Whether a request can have @key as the value of a header. */
static bool
is_header_value(const char *key)
{
    size_t len = strlen(key);

    for (size_t i = 0; i < len; i++) {
        if (g_ascii_iscntrl(key[i])) {
            return false;
        }
    }
    return len > 0 && len <= MAX_KEY && key[0] != ' ' && key[len - 1] != ' ';
}

/* Refuses a key without repeating it, since keys are secret. */
static bool
parse_keys(const json_t *value, const struct location *at, char ***dest,
           GError **error)
{
    size_t len = json_array_size(value);

    if (!json_is_array(value)) {
        return refuse_at(error, at, "is not a list");
    }
    *dest = g_new0(char *, len + 1);
    for (size_t i = 0; i < len; i++) {
        const char *key = json_string_value(json_array_get(value, i));

        if (key == NULL || !is_header_value(key)) {
            return refuse_at(error, at,
                             "key %zu is not 1..%d bytes without control "
                             "characters and outer spaces",
                             i + 1, MAX_KEY);
        }
        (*dest)[i] = g_strdup(key);
    }
    return true;
}

static bool parse_level(const struct ggw_setting_level *level,
                        const json_t *value, const struct location *at,
                        void *entry, GError **error);

/* Returns the length of the part of @name that such a name may have. */
static size_t
any_name_span(const char *name)
{
    size_t len = 0;

    while (g_ascii_isgraph(name[len]) && strchr("\"\\", name[len]) == NULL) {
        len++;
    }
    return len;
}

bool
ggw_schema_is_any_name(const char *name)
{
    size_t len = any_name_span(name);

    return len > 0 && len <= MAX_ANY_NAME && name[len] == '\0';
}

static bool
check_any_name(const char *name, const struct location *at, GError **error)
{
    if (!ggw_schema_is_any_name(name)) {
        return refuse_at(error, at,
                         "the name \"%s\" is not 1..%d visible ASCII "
                         "characters without quotes and backslashes",
                         name, MAX_ANY_NAME);
    }
    return true;
}

bool
ggw_schema_is_name(const char *name)
{
    size_t len = strspn(name, NAME_CHARS);

    return len > 0 && len <= MAX_NAME && name[len] == '\0';
}

static bool
check_name(const char *name, const struct location *at, GError **error)
{
    if (!ggw_schema_is_name(name)) {
        return refuse_at(error, at,
                         "the name \"%s\" is not 1..%d letters, digits, \"_\" "
                         "or \"-\"",
                         name, MAX_NAME);
    }
    return true;
}

static bool
check_entry(const struct ggw_setting_level *level, const void *entry,
            const struct location *at, GError **error)
{
    g_autofree char *path = NULL;

    if (level->check == NULL) {
        return true;
    }
    path = format_path(at);
    return level->check(entry, path, error);
}

static bool
parse_entry(const struct ggw_setting_level *level, const char *name,
            const json_t *value, const struct location *at, void *parent,
            GError **error)
{
    const struct location child = {.parent = at, .name = name};
    void *entry = g_malloc0(level->size);
    bool ok = (level->any_name ? check_any_name(name, at, error)
                               : check_name(name, at, error)) &&
              parse_level(level, value, &child, entry, error) &&
              check_entry(level, entry, &child, error);

    if (ok) {
        level->add(parent, name, entry);
    }
    else if (level->clear != NULL) {
        level->clear(entry);
    }
    g_free(entry);
    return ok;
}

static bool
parse_map(const struct ggw_setting *s, const json_t *value,
          const struct location *at, void *parent, GError **error)
{
    const char *name;
    json_t *entry;

    if (!json_is_object(value)) {
        return refuse_at(error, at, "is not an object");
    }
    json_object_foreach((json_t *)value, name, entry)
    {
        if (!parse_entry(s->entries, name, entry, at, parent, error)) {
            return false;
        }
    }
    return true;
}

static bool
parse_setting(const struct ggw_setting *s, const json_t *value,
              const struct location *at, void *entry, GError **error)
{
    void *dest = (char *)entry + s->offset;

    switch (s->type) {
    case GGW_SETTING_INT:
    case GGW_SETTING_MS:
    case GGW_SETTING_NUMBER:
        return parse_number(s, value, at, dest, error);
    case GGW_SETTING_CHOICE:
    case GGW_SETTING_ENUM:
        return parse_choice(s, value, at, dest, error);
    case GGW_SETTING_METHODS:
        return parse_methods(s, value, at, dest, error);
    case GGW_SETTING_TEXT:
        return parse_text(value, at, dest, error);
    case GGW_SETTING_PREFIX:
        return parse_prefix(value, at, dest, error);
    case GGW_SETTING_HOST:
        return parse_host(value, at, dest, error);
    case GGW_SETTING_ORDER:
        return parse_order(value, at, entry, error);
    case GGW_SETTING_SPLIT:
        return parse_split(value, at, entry, error);
    case GGW_SETTING_KEYS:
        return parse_keys(value, at, dest, error);
    case GGW_SETTING_MAP:
        break;
    }
    return parse_map(s, value, at, entry, error);
}

static bool
check_setting_names(const struct ggw_setting_level *level, const json_t *value,
                    const struct location *at, GError **error)
{
    const char *name;
    json_t *member;

    json_object_foreach((json_t *)value, name, member)
    {
        const struct location child = {.parent = at, .name = name};
        const struct ggw_setting *s = level->settings;

        while (s->name != NULL && strcmp(s->name, name) != 0) {
            s++;
        }
        if (s->name == NULL) {
            return refuse_at(error, &child, "no such setting");
        }
    }
    return true;
}

/*
 * Returns the default of a setting, or NULL if it has none. The values are
 * kept for the life of the process.
 */
static const json_t *
default_value(const struct ggw_setting *s)
{
    static GHashTable *defaults;
    json_t *value;

    if (s->default_json == NULL) {
        return NULL;
    }
    if (defaults == NULL) {
        defaults = g_hash_table_new(g_direct_hash, g_direct_equal);
    }
    value = g_hash_table_lookup(defaults, s);
    if (value == NULL) {
        value = json_loads(s->default_json, JSON_DECODE_ANY, NULL);
        g_hash_table_insert(defaults, (gpointer)s, value);
    }
    return value;
}

static bool
parse_level(const struct ggw_setting_level *level, const json_t *value,
            const struct location *at, void *entry, GError **error)
{
    bool ok;

    if (!json_is_object(value)) {
        return refuse_at(error, at, "is not an object");
    }
    ok = check_setting_names(level, value, at, error);
    for (const struct ggw_setting *s = level->settings; ok && s->name != NULL;
         s++) {
        const struct location child = {.parent = at, .name = s->name};
        const json_t *configured = json_object_get(value, s->name);
        const json_t *used =
            configured != NULL ? configured : default_value(s);

        if (used != NULL) {
            ok = parse_setting(s, used, &child, entry, error);
        }
    }
    return ok;
}

bool
ggw_schema_parse(const json_t *root, struct ggw_tree *tree, GError **error)
{
    const struct location top = {0};

    return parse_level(&ggw_settings_root, root, &top, tree, error);
}

static char *
format_allowed(const struct ggw_setting *s)
{
    g_autofree char *choices =
        s->choices != NULL ? format_choices(s->choices) : g_strdup("");

    switch (s->type) {
    case GGW_SETTING_INT:
    case GGW_SETTING_MS:
        return g_strdup_printf("whole number, %.15g..%.15g", s->min, s->max);
    case GGW_SETTING_NUMBER:
        return g_strdup_printf("number, %.15g..%.15g", s->min, s->max);
    case GGW_SETTING_METHODS:
        return g_strdup_printf("list of %s", choices);
    case GGW_SETTING_TEXT:
        return g_strdup("text");
    case GGW_SETTING_PREFIX:
        return g_strdup_printf("path, at most %d bytes", MAX_PREFIX);
    case GGW_SETTING_ORDER:
        return g_strdup_printf("`header:NAME` or `path:N`, N in 0..%d",
                               MAX_ORDER_SEGMENT);
    case GGW_SETTING_HOST:
        return g_strdup_printf("host in lower case, at most %d bytes",
                               MAX_HOST);
    case GGW_SETTING_SPLIT:
        return g_strdup_printf("object of SERVICE to weight, 0..%d",
                               MAX_WEIGHT);
    case GGW_SETTING_KEYS:
        return g_strdup_printf("list of texts, 1..%d bytes without control "
                               "characters and outer spaces",
                               MAX_KEY);
    case GGW_SETTING_MAP:
        return g_strdup_printf("entries `%s`", s->entries->path);
    case GGW_SETTING_CHOICE:
    case GGW_SETTING_ENUM:
        break;
    }
    return g_steal_pointer(&choices);
}

static void
append_level(GString *out, const struct ggw_setting_level *level)
{
    g_string_append_printf(out,
                           "\n## %s%s%s\n\n"
                           "| setting | allowed | default | meaning |\n"
                           "| --- | --- | --- | --- |\n",
                           *level->path != '\0' ? "`" : "",
                           *level->path != '\0' ? level->path : "Top level",
                           *level->path != '\0' ? "`" : "");
    for (const struct ggw_setting *s = level->settings; s->name != NULL; s++) {
        g_autofree char *allowed = format_allowed(s);
        const char *default_text = s->default_json;

        if (default_text == NULL) {
            default_text =
                s->type == GGW_SETTING_MAP && !s->optional ? "{}" : "unset";
        }
        g_string_append_printf(out, "| `%s` | %s | `%s` | %s |\n", s->name,
                               allowed, default_text, s->help);
    }
    for (const struct ggw_setting *s = level->settings; s->name != NULL; s++) {
        if (s->type == GGW_SETTING_MAP) {
            append_level(out, s->entries);
        }
    }
}

void
ggw_schema_print(GString *out)
{
    g_string_append_printf(
        out,
        "# Settings of a team\n\n"
        "Generated by `greengageway settings`. The settings are one JSON\n"
        "object. Unknown settings are refused. Names in capitals stand for\n"
        "names of 1..%d letters, digits, `_` or `-`, those of customers for\n"
        "1..%d visible ASCII characters but `\"` and `\\`. Times are in ms.\n",
        MAX_NAME, MAX_ANY_NAME);
    append_level(out, &ggw_settings_root);
}
