#ifndef GGW_CTL_KEYS_H
#define GGW_CTL_KEYS_H

#include <jansson.h>
#include <stdbool.h>

/**
 * DOC: Keys of customers in the output of operators' verbs
 *
 * Keys are secret, so verbs print "hidden DIGEST" instead of them. The digest
 * tells keys apart and allows the printed settings to be edited and applied:
 * the keys in force that have the digests are put back. A hidden key that
 * belongs to none contains a space, so that the check of settings refuses it.
 */

/**
 * ggw_ctl_hide_keys() - replace the keys of customers
 * @tree: settings, which are not changed
 *
 * Return: a new reference to a copy without keys.
 */
json_t *ggw_ctl_hide_keys(const json_t *tree);

/**
 * ggw_ctl_restore_keys() - put hidden keys back
 * @tree: settings that may have hidden keys
 * @current: settings in force
 */
void ggw_ctl_restore_keys(json_t *tree, const json_t *current);

/* Whether settings have a hidden key. */
bool ggw_ctl_has_hidden_keys(const json_t *tree);

#endif
