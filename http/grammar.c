#include "http/grammar.h"

#include <glib.h>
#include <string.h>

bool
ggw_is_token_char(char c)
{
    return g_ascii_isalnum(c) ||
           (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

bool
ggw_is_text_char(char c)
{
    unsigned char byte = (unsigned char)c;

    return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}
