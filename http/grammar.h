#ifndef GGW_HTTP_GRAMMAR_H
#define GGW_HTTP_GRAMMAR_H

#include <stdbool.h>

/*
 * Classes of bytes in the heads of requests and responses (RFC 9110, section
 * 5).
 */

/**
 * ggw_is_token_char() - whether a byte may stand in a token, such as a method
 * or the name of a header
 */
bool ggw_is_token_char(char c);

/**
 * ggw_is_text_char() - whether a byte may stand in a reason phrase or in the
 * value of a header: a space, a tab or any byte that is no control character
 */
bool ggw_is_text_char(char c);

#endif
