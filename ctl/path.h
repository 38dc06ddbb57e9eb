#ifndef GGW_CTL_PATH_H
#define GGW_CTL_PATH_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/**
 * ggw_path_set() - set the value at a path such as "services.orders.slots"
 * @root: object to change; missing objects along the path are created
 * @path: member names joined by "."
 * @value: new value; JSON null removes the setting. The function takes over
 *         the reference, also when it fails.
 * @error: set on failure
 *
 * Return: false with GGW_ERROR_INVALID when the path is empty or a part of it
 * other than the last names a value that is not an object.
 */
bool ggw_path_set(json_t *root, const char *path, json_t *value,
                  GError **error);

/**
 * ggw_path_parse_value() - parse a value that an operator typed
 *
 * Return: the value that the text encodes as JSON, or a JSON string of the
 * text when it is not valid JSON. The caller owns the reference.
 */
json_t *ggw_path_parse_value(const char *text);

/**
 * struct ggw_difference - one path at which two JSON trees differ
 * @path: member names joined by "."
 * @before: old value as JSON text, or NULL when the path was not set
 * @after: new value as JSON text, or NULL when the path is not set any more
 */
struct ggw_difference {
    char *path;
    char *before;
    char *after;
};

/**
 * ggw_json_diff() - list the paths at which two JSON trees differ
 *
 * Objects are compared member by member, all other values as a whole.
 *
 * Return: array of struct ggw_difference, sorted by path; empty when the trees
 * are equal. The caller frees it with g_array_unref().
 */
GArray *ggw_json_diff(const json_t *before, const json_t *after);

#endif
