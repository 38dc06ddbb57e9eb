#ifndef GGW_COMMON_DEFLATE_H
#define GGW_COMMON_DEFLATE_H

#include <glib.h>
#include <stddef.h>

/*
 * Compressed texts. Settings with thousands of routes repeat the same fields
 * for each of them, and links between gateways may be thin.
 */

/**
 * ggw_deflate() - compress a text
 */
GBytes *ggw_deflate(const char *text);

/**
 * ggw_inflate() - restore a text
 * @len: its length in bytes, without the NUL byte
 * @max: texts longer than this are refused before memory is taken for them
 *
 * Return: NULL when the data is malformed, of another length, or contains a
 * NUL byte.
 */
char *ggw_inflate(const void *data, size_t size, size_t len, size_t max);

#endif
