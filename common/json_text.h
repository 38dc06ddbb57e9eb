#ifndef GGW_COMMON_JSON_TEXT_H
#define GGW_COMMON_JSON_TEXT_H

#include <jansson.h>
#include <stddef.h>

/*
 * Maximum number of values of a text, counted by its braces, brackets, commas
 * and colons. A value takes up to 230 bytes of memory, however short its text
 * is.
 */
#define GGW_JSON_MAX_PARTS 1000000

/**
 * DOC: texts that are refused for their size
 *
 * The functions below take the source of a text, such as a key of the store.
 * One line is logged when a text of a source is refused because it has too
 * many values, and one when a later text of that source is not.
 */

/**
 * ggw_json_parse() - parse JSON that came from another process
 * @source: where the text came from, for the log
 * @text: JSON text
 * @len: its length in bytes
 * @flags: decoding flags of jansson
 * @error: receives line and text of an error, or NULL
 *
 * Return: the value, to be freed with json_decref(); NULL for malformed JSON
 * and for a text with more than GGW_JSON_MAX_PARTS parts, which is counted.
 */
json_t *ggw_json_parse(const char *source, const char *text, size_t len,
                       size_t flags, json_error_t *error);

/**
 * ggw_json_load() - parse JSON whose texts other programs have written
 * @source: where the text came from, for the log
 * @text: JSON text
 * @len: its length in bytes
 *
 * Texts may contain NUL characters. Bytes that are not UTF-8, and escapes of
 * surrogates that form no pair, are replaced by U+FFFD, so that one bad text
 * does not make the others unreadable.
 *
 * Return: as ggw_json_parse().
 */
json_t *ggw_json_load(const char *source, const char *text, size_t len);

/**
 * ggw_json_text() - get a text without NUL characters
 *
 * Return: the text, owned by @value; NULL for any other value and for a text
 * with a NUL character, which would end early where it is used.
 */
const char *ggw_json_text(const json_t *value);

#endif
