#ifndef GGW_COMMON_DEFLATE_H
#define GGW_COMMON_DEFLATE_H

#include <glib.h>
#include <stddef.h>

/*
 * zlib compression. Settings with thousands of routes repeat the
 * same fields for each route, and links between gateways may have little
 * bandwidth.
 */

/**
 * ggw_deflate() - compress a string
 *
 * Return: the compressed data, without the terminating NUL byte.
 */
GBytes *ggw_deflate(const char *text);

/**
 * ggw_inflate() - decompress a string
 * @data: result of ggw_deflate()
 * @size: size of @data in bytes
 * @len: length of the string in bytes, without the terminating NUL byte
 * @max: upper limit of @len, checked before memory is allocated
 *
 * Return: a new string, to be freed; NULL when @len exceeds @max, or when the
 * data is malformed, does not have @len bytes or contains a NUL byte.
 */
char *ggw_inflate(const void *data, size_t size, size_t len, size_t max);

/**
 * ggw_deflate_bytes() - compress data that may contain NUL bytes
 */
GBytes *ggw_deflate_bytes(GBytes *bytes);

/**
 * ggw_inflate_bytes() - decompress the result of ggw_deflate_bytes()
 *
 * The arguments are those of ggw_inflate().
 *
 * Return: NULL when @len exceeds @max, or when the data is malformed or does
 * not have @len bytes.
 */
GBytes *ggw_inflate_bytes(const void *data, size_t size, size_t len,
                          size_t max);

#endif
