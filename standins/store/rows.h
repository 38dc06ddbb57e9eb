#ifndef GGW_STANDINS_STORE_ROWS_H
#define GGW_STANDINS_STORE_ROWS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: in-memory row store of the platform stand-in
 *
 * Versioned rows in tables, with conditional transactions, range reads and a
 * feed of changes; does no network I/O. Functions that return json_t * build
 * the response body of a published call; the caller owns the reference. @now
 * is a monotonic time in ms and is only copied into the response.
 */

struct store_rows;

/**
 * store_rows_new() - create an empty store at version 0
 *
 * Return: the store, to be released with store_rows_free().
 */
struct store_rows *store_rows_new(void);
void store_rows_free(struct store_rows *s);

/**
 * store_row_key() - build the full key "TABLE/KEY" of a row
 *
 * Return: a string, to be released with g_free().
 */
char *store_row_key(const char *table, const char *key);

/**
 * store_entry_key() - build the full key of a transaction entry
 *
 * Return: a string, to be released with g_free(), or NULL when the table or
 * the key is missing or the key is too long.
 */
char *store_entry_key(const json_t *entry);

/**
 * store_rows_range() - read rows of a table in key order
 * @from: inclusive lower bound, or NULL for the start of the table
 * @target: exclusive upper bound, or NULL for the end of the table
 *
 * Return: the response body; HasMore is set when the row limit cut it off.
 */
json_t *store_rows_range(const struct store_rows *s, const char *table,
                         const char *from, const char *target, int64_t now);

/**
 * store_rows_apply() - apply all entries of a transaction, or none
 * @status: set to the HTTP status of the response: 200 when the transaction
 *          was applied, 412 when an expected version did not match
 *
 * Return: the response body, or NULL when the request is malformed; @status
 * is then left unchanged.
 */
json_t *store_rows_apply(struct store_rows *s, const json_t *request,
                         int64_t now, int *status);

/**
 * store_rows_changed_after() - list rows changed after a version, in version
 * order
 *
 * Removed rows are included, marked as deleted.
 *
 * Return: an array of rows for store_rows_response().
 */
json_t *store_rows_changed_after(struct store_rows *s, const char *table,
                                 int64_t after);

/**
 * store_rows_response() - build the response body of a read
 * @rows: array of rows; the function takes over the reference
 * @more: value of HasMore
 */
json_t *store_rows_response(const struct store_rows *s, json_t *rows,
                            bool more, int64_t now);

/**
 * store_rows_has_history() - check that the store has had a version, and that
 *                            no change after it was compacted away
 */
bool store_rows_has_history(const struct store_rows *s, int64_t after);

/**
 * store_rows_compact() - compact the history up to the current version
 */
void store_rows_compact(struct store_rows *s);

/**
 * store_rows_keep_copy() - remember the current state, in place of an earlier
 *                          copy
 */
void store_rows_keep_copy(struct store_rows *s);

/**
 * store_rows_return() - lose all changes since store_rows_keep_copy()
 *
 * Versions go back to that of the copy, and the era rises by one.
 *
 * Return: false when there is no copy.
 */
bool store_rows_return(struct store_rows *s);

/**
 * store_rows_era() - number of returns, from 1 at the start
 */
int64_t store_rows_era(const struct store_rows *s);

/**
 * store_rows_writes() - number of transactions applied
 */
int64_t store_rows_writes(const struct store_rows *s);

#endif
