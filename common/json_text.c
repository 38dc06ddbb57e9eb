#include "common/json_text.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Length of an escape "\uXXXX" in bytes. */
#define ESCAPE_LEN 6

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

json_t *
ggw_json_load(const char *text, size_t len)
{
    json_t *root = json_loadb(text, len, JSON_ALLOW_NUL, NULL);
    g_autofree char *repaired = NULL;

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
