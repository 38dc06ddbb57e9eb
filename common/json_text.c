#include "common/json_text.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/metrics.h"

/* Length of an escape "\uXXXX" in bytes. */
#define ESCAPE_LEN 6

/* Lines per second that are logged about refused texts. */
#define REFUSAL_LINES_PER_S 5

/* Number of sources above which all of them are forgotten. */
#define MAX_REFUSED_SOURCES 64

static struct ggw_log_event refused = {
    .part = "json",
    .name = "json_refused",
    .level = GGW_LOG_WARN,
    .importance = GGW_LOG_IMPORTANT,
    .max_per_s = REFUSAL_LINES_PER_S,
};

static struct ggw_log_event accepted = {
    .part = "json",
    .name = "json_accepted",
    .level = GGW_LOG_INFO,
    .importance = GGW_LOG_IMPORTANT,
    .max_per_s = REFUSAL_LINES_PER_S,
};

/* Set of the sources whose last text was refused; NULL before the first. */
static GHashTable *refused_sources;

/* The value of the escape "\uXXXX" at @at, or -1 if there is none. */
static long
escaped_value(const char *at)
{
    char digits[5] = {0};

    if (at[0] != '\\' || at[1] != 'u') {
        return -1;
    }
    for (int i = 0; i < 4; i++) {
        if (!g_ascii_isxdigit(at[2 + i])) {
            return -1;
        }
        digits[i] = at[2 + i];
    }
    return strtol(digits, NULL, 16);
}

static bool
is_high_surrogate(long value)
{
    return value >= 0xd800 && value <= 0xdbff;
}

static bool
is_low_surrogate(long value)
{
    return value >= 0xdc00 && value <= 0xdfff;
}

/* Replaces escapes of surrogates that form no pair, in place. */
static void
replace_lone_surrogates(char *text)
{
    while (*text != '\0') {
        long value = escaped_value(text);

        if (is_high_surrogate(value) &&
            is_low_surrogate(escaped_value(text + ESCAPE_LEN))) {
            text += 2 * ESCAPE_LEN;
        }
        else if (is_high_surrogate(value) || is_low_surrogate(value)) {
            memcpy(text, "\\ufffd", ESCAPE_LEN);
            text += ESCAPE_LEN;
        }
        else {
            /* Skips the second character of other escapes, as in "\\u". */
            text += text[0] == '\\' && text[1] != '\0' ? 2 : 1;
        }
    }
}

/* Whether a character begins a value or a member, or separates two. */
static bool
is_part(char c)
{
    return c == '[' || c == '{' || c == ',' || c == ':';
}

/* Counts the parts of a text outside of strings. */
static size_t
count_parts(const char *text, size_t len)
{
    size_t parts = 0;
    bool in_string = false;

    for (size_t i = 0; i < len; i++) {
        if (in_string && text[i] == '\\') {
            i++;
        }
        else if (text[i] == '"') {
            in_string = !in_string;
        }
        else if (!in_string) {
            parts += is_part(text[i]);
        }
    }
    return parts;
}

static void
on_refused(const char *source, size_t len, size_t parts)
{
    ggw_count("ggw_json_too_large_total");
    if (refused_sources == NULL) {
        refused_sources =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    }
    if (g_hash_table_contains(refused_sources, source)) {
        return;
    }
    if (g_hash_table_size(refused_sources) >= MAX_REFUSED_SOURCES) {
        g_hash_table_remove_all(refused_sources);
    }
    g_hash_table_add(refused_sources, g_strdup(source));
    ggw_log_event(&refused, "source=\"%s\" bytes=%zu parts=%zu max_parts=%d",
                  source, len, parts, GGW_JSON_MAX_PARTS);
}

static void
on_accepted(const char *source)
{
    if (refused_sources != NULL &&
        g_hash_table_remove(refused_sources, source)) {
        ggw_log_event(&accepted, "source=\"%s\"", source);
    }
}

/* Whether a text has more than GGW_JSON_MAX_PARTS parts. */
static bool
is_too_large(const char *source, const char *text, size_t len)
{
    /* A part takes at least one byte. */
    size_t parts = len > GGW_JSON_MAX_PARTS ? count_parts(text, len) : 0;

    if (parts <= GGW_JSON_MAX_PARTS) {
        on_accepted(source);
        return false;
    }
    on_refused(source, len, parts);
    return true;
}

json_t *
ggw_json_parse(const char *source, const char *text, size_t len, size_t flags,
               json_error_t *error)
{
    if (!is_too_large(source, text, len)) {
        return json_loadb(text, len, flags, error);
    }
    if (error != NULL) {
        memset(error, 0, sizeof(*error));
        g_strlcpy(error->text, "too many values", sizeof(error->text));
    }
    return NULL;
}

json_t *
ggw_json_load(const char *source, const char *text, size_t len)
{
    g_autofree char *repaired = NULL;
    json_t *root;

    if (is_too_large(source, text, len)) {
        return NULL;
    }
    root = json_loadb(text, len, JSON_ALLOW_NUL, NULL);
    if (root != NULL) {
        return root;
    }
    repaired = g_utf8_make_valid(text, (gssize)len);
    replace_lone_surrogates(repaired);
    return json_loads(repaired, JSON_ALLOW_NUL, NULL);
}

const char *
ggw_json_text(const json_t *value)
{
    const char *text = json_string_value(value);

    return text != NULL && strlen(text) == json_string_length(value) ? text
                                                                     : NULL;
}
