#ifndef GGW_HTTP_CHUNK_LINE_H
#define GGW_HTTP_CHUNK_LINE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The line before a chunk: its size and extensions (RFC 9112, section 7.1).
 * The extensions are checked and ignored.
 */

/**
 * struct ggw_chunk_line - a line of which some bytes have been read
 * @size: size of the chunk in bytes
 * @digits: digits of the size
 * @part: private
 */
struct ggw_chunk_line {
    uint64_t size;
    unsigned digits;
    int part;
};

/**
 * ggw_chunk_line_begin() - begin with a line
 */
void ggw_chunk_line_begin(struct ggw_chunk_line *l);

/**
 * ggw_chunk_line_add() - read the next byte of the line
 *
 * Return: false if it cannot stand there.
 */
bool ggw_chunk_line_add(struct ggw_chunk_line *l, char c);

/**
 * ggw_chunk_line_is_complete() - whether the line may end here
 */
bool ggw_chunk_line_is_complete(const struct ggw_chunk_line *l);

#endif
