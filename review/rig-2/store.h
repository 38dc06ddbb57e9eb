#ifndef RIG_STORE_H
#define RIG_STORE_H

#include <stdbool.h>

/*
 * Small stand-in for the reading calls of the platform's store, with parts.
 * The operator and the backend servers, which are threads of the same process,
 * write to it directly.
 */

/* Listens on the address of the store. */
void store_start(const char *host, int port);

/* Writes a row, or removes it if @value (base64) is NULL. */
void store_write(const char *table, const char *part, const char *key,
                 const char *value);

#endif
