#ifndef GGW_STANDINS_STORE_ROWS_H
#define GGW_STANDINS_STORE_ROWS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Rows of the stand-in for the platform's store: tables with transactions,
 * ranges and changes after a version, without the network. All answers are
 * JSON objects of the published calls, to be released by the caller; @now is
 * in ms.
 */

struct store_rows;

struct store_rows *store_rows_new(void);
void store_rows_free(struct store_rows *s);

/* "TABLE/KEY", to be freed. */
char *store_row_key(const char *table, const char *key);

/* The same of an entry of a transaction; NULL when it is malformed. */
char *store_entry_key(const json_t *entry);

/**
 * store_rows_range() - rows of a table in the order of their keys
 * @from: first key, or NULL
 * @target: first key that is left out, or NULL
 */
json_t *store_rows_range(const struct store_rows *s, const char *table,
                         const char *from, const char *target, int64_t now);

/**
 * store_rows_apply() - apply all entries of a transaction, or none
 * @status: set to that of the answer
 *
 * Return: NULL when the request is malformed.
 */
json_t *store_rows_apply(struct store_rows *s, const json_t *request,
                         int64_t now, int *status);

/**
 * store_rows_after() - rows that changed after a version, in that order
 *
 * Return: an array for store_rows_answer().
 */
json_t *store_rows_after(struct store_rows *s, const char *table,
                         int64_t after);

/* Makes an answer of an array of rows, which it takes over. */
json_t *store_rows_answer(const struct store_rows *s, json_t *rows, bool more,
                          int64_t now);

/* Whether all changes after a version are still known. */
bool store_rows_has_history(const struct store_rows *s, int64_t after);
void store_rows_forget_history(struct store_rows *s);

/* Transactions that were applied. */
int64_t store_rows_writes(const struct store_rows *s);

#endif
