#ifndef GGW_CTL_TABLE_H
#define GGW_CTL_TABLE_H

#include <stdbool.h>

#include "config/row.h"
#include "ctl/args.h"
#include "platform/platform.h"

/**
 * ggw_ctl_run_txn() - run a transaction on the platform and wait for it
 * @args: names the platform, whose address must be valid
 * @txn: transaction to run; the function takes ownership
 *
 * Return: the result, never NULL; the caller frees it with
 * ggw_ctl_result_free().
 */
struct ggw_txn_result *ggw_ctl_run_txn(const struct ggw_ctl_args *args,
                                       struct ggw_txn *txn);

/* Frees a result of ggw_ctl_run_txn(). */
void ggw_ctl_result_free(struct ggw_txn_result *result);

/* Returns the row with the key, or NULL when the result has none. */
const struct ggw_row *ggw_ctl_find_row(const struct ggw_txn_result *result,
                                       const char *key);

/* Returns the key of the row that holds the settings of the team. */
char *ggw_ctl_config_key(const struct ggw_ctl_args *args);

/* Highest revision whose audit key has the width of the others. */
#define GGW_CTL_MAX_REVISION 9999999999

/* Returns the key of the audit row of a revision of the team's settings. */
char *ggw_ctl_audit_key(const struct ggw_ctl_args *args, uint64_t revision);

/**
 * struct ggw_ctl_settings - a team's settings as read from the store
 * @row: settings; revision 0 and an empty tree when the team has none
 * @mod_revision: mod_revision of the row in the store; 0 when there is no row
 */
struct ggw_ctl_settings {
    struct ggw_config_row row;
    int64_t mod_revision;
};

/**
 * ggw_ctl_read_settings() - read a team's settings from the store
 * @settings: filled in; the caller clears its row with ggw_config_row_clear()
 *
 * Return: false after printing an error message when the platform gave no
 * response or the row is malformed.
 */
bool ggw_ctl_read_settings(const struct ggw_ctl_args *args,
                           struct ggw_ctl_settings *settings);

/**
 * ggw_ctl_read_file() - read JSON from a file
 * @path: path of the file, or "-" for standard input
 *
 * Return: the JSON value, which the caller owns, or NULL after printing an
 * error message when the file cannot be opened or is not JSON.
 */
json_t *ggw_ctl_read_file(const struct ggw_ctl_args *args, const char *path);

/**
 * ggw_ctl_check_settings() - validate settings with the checks of a gateway
 * @revision: revision that the settings will have
 * @tree: settings to validate
 *
 * Return: false after printing an error message that names the path of the
 * invalid setting and its allowed range.
 */
bool ggw_ctl_check_settings(const struct ggw_ctl_args *args, uint64_t revision,
                            const json_t *tree);

#endif
