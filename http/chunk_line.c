#include "http/chunk_line.h"

#include <glib.h>

#include "http/grammar.h"

/* Maximum number of digits of a size, so that it fits into 60 bits. */
#define MAX_DIGITS 15

enum part {
    SIZE,
    BEFORE_SEMICOLON, /* white space behind the size or a value */
    BEFORE_NAME,
    NAME,
    BEFORE_EQUALS, /* white space behind a name */
    BEFORE_VALUE,
    TOKEN,
    QUOTED,
    QUOTED_PAIR, /* behind a backslash */
    QUOTED_END,  /* behind the closing quote */
};

void
ggw_chunk_line_begin(struct ggw_chunk_line *l)
{
    *l = (struct ggw_chunk_line){.part = SIZE};
}

static bool
enter(struct ggw_chunk_line *l, enum part part)
{
    l->part = part;
    return true;
}

static bool
is_space(char c)
{
    return c == ' ' || c == '\t';
}

/* Reads a byte behind which an extension may begin. */
static bool
add_separator(struct ggw_chunk_line *l, char c)
{
    if (is_space(c)) {
        return enter(l, BEFORE_SEMICOLON);
    }
    return c == ';' && enter(l, BEFORE_NAME);
}

static bool
add_to_size(struct ggw_chunk_line *l, char c)
{
    if (!g_ascii_isxdigit(c)) {
        return l->digits > 0 && add_separator(l, c);
    }
    l->size = 16 * l->size + (uint64_t)g_ascii_xdigit_value(c);
    return ++l->digits <= MAX_DIGITS;
}

static bool
add_behind_name(struct ggw_chunk_line *l, char c)
{
    if (is_space(c)) {
        return enter(l, BEFORE_EQUALS);
    }
    if (c == '=') {
        return enter(l, BEFORE_VALUE);
    }
    return c == ';' && enter(l, BEFORE_NAME);
}

static bool
add_to_quoted(struct ggw_chunk_line *l, char c)
{
    if (c == '\\') {
        return enter(l, QUOTED_PAIR);
    }
    if (c == '"') {
        return enter(l, QUOTED_END);
    }
    return ggw_is_text_char(c);
}

bool
ggw_chunk_line_add(struct ggw_chunk_line *l, char c)
{
    switch ((enum part)l->part) {
    case SIZE:
        return add_to_size(l, c);
    case BEFORE_SEMICOLON:
    case QUOTED_END:
        return add_separator(l, c);
    case BEFORE_NAME:
        return is_space(c) || (ggw_is_token_char(c) && enter(l, NAME));
    case NAME:
        return ggw_is_token_char(c) || add_behind_name(l, c);
    case BEFORE_EQUALS:
        return add_behind_name(l, c);
    case BEFORE_VALUE:
        return is_space(c) || (c == '"' && enter(l, QUOTED)) ||
               (ggw_is_token_char(c) && enter(l, TOKEN));
    case TOKEN:
        return ggw_is_token_char(c) || add_separator(l, c);
    case QUOTED:
        return add_to_quoted(l, c);
    case QUOTED_PAIR:
        return ggw_is_text_char(c) && enter(l, QUOTED);
    }
    return false;
}

bool
ggw_chunk_line_is_complete(const struct ggw_chunk_line *l)
{
    return (l->part == SIZE && l->digits > 0) || l->part == NAME ||
           l->part == TOKEN || l->part == QUOTED_END;
}
