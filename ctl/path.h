#ifndef GGW_CTL_PATH_H
#define GGW_CTL_PATH_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/**
 * ggw_path_set() - set the value at a path such as "services.orders.slots"
 * @root: object that is changed; objects on the way are made
 * @value: null removes the setting; the call takes the reference
 *
 * Return: false with GGW_ERROR_INVALID when the path leads through a value
 * that is not an object.
 */
bool ggw_path_set(json_t *root, const char *path, json_t *value,
                  GError **error);

/**
 * ggw_path_value() - read a value as an operator types it
 *
 * Return: the JSON value of the text, or the text itself when it is not JSON.
 */
json_t *ggw_path_value(const char *text);

/**
 * struct ggw_difference - one path at which two trees differ
 * @before, @after: JSON text, or NULL when the path is not set
 */
struct ggw_difference {
    char *path;
    char *before;
    char *after;
};

/**
 * ggw_tree_compare() - list the paths at which two trees differ
 *
 * Return: of struct ggw_difference, sorted by path.
 */
GArray *ggw_tree_compare(const json_t *before, const json_t *after);

#endif
