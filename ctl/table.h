#ifndef GGW_CTL_TABLE_H
#define GGW_CTL_TABLE_H

#include <stdbool.h>

#include "config/row.h"
#include "ctl/args.h"
#include "platform/platform.h"

/**
 * ggw_ctl_txn() - run a transaction and wait for its result
 * @txn: the call takes it
 *
 * Return: the result, freed with ggw_ctl_result_free().
 */
struct ggw_txn_result *ggw_ctl_txn(const struct ggw_ctl_args *args,
                                   struct ggw_txn *txn);
void ggw_ctl_result_free(struct ggw_txn_result *result);

/* The row with a key, or NULL. */
const struct ggw_row *ggw_ctl_find_row(const struct ggw_txn_result *result,
                                       const char *key);

char *ggw_ctl_config_key(const struct ggw_ctl_args *args);
char *ggw_ctl_audit_key(const struct ggw_ctl_args *args, uint64_t revision);

/**
 * struct ggw_ctl_settings - a team's settings as read from the table
 * @row: revision 0 and an empty tree when the team has none
 * @mod_revision: of the row; 0 when there is none
 */
struct ggw_ctl_settings {
    struct ggw_config_row row;
    int64_t mod_revision;
};

/**
 * ggw_ctl_read_settings() - read a team's settings
 *
 * Return: false after an error message.
 */
bool ggw_ctl_read_settings(const struct ggw_ctl_args *args,
                           struct ggw_ctl_settings *settings);

/**
 * ggw_ctl_read_file() - read JSON from a file, or from "-"
 *
 * Return: NULL after an error message.
 */
json_t *ggw_ctl_read_file(const struct ggw_ctl_args *args, const char *path);

/**
 * ggw_ctl_check() - check settings as a gateway does
 *
 * Return: false after an error message with the path and the allowed range.
 */
bool ggw_ctl_check(const struct ggw_ctl_args *args, uint64_t revision,
                   const json_t *tree);

#endif
