#ifndef GGW_COMMON_JSON_TEXT_H
#define GGW_COMMON_JSON_TEXT_H

#include <jansson.h>
#include <stddef.h>

/**
 * ggw_json_load() - parse JSON whose texts other programs have written
 * @text: JSON text
 * @len: its length in bytes
 *
 * Texts may contain NUL characters. Bytes that are not UTF-8, and escapes of
 * surrogates that form no pair, are replaced by U+FFFD, so that one bad text
 * does not make the others unreadable.
 *
 * Return: the value, to be freed with json_decref(); NULL for malformed JSON.
 */
json_t *ggw_json_load(const char *text, size_t len);

/**
 * ggw_json_text() - get a text without NUL characters
 *
 * Return: the text, owned by @value; NULL for any other value and for a text
 * with a NUL character, which would end early where it is used.
 */
const char *ggw_json_text(const json_t *value);

#endif
