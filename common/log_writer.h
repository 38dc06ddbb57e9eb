#ifndef GGW_COMMON_LOG_WRITER_H
#define GGW_COMMON_LOG_WRITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"

/*
 * Writes log lines to a file descriptor without ever blocking on its reader.
 * Lines are queued in a ring buffer of fixed size, whose last quarter is
 * reserved for important lines. Lines that do not fit are dropped and counted.
 */

struct ggw_log_writer;

/**
 * enum ggw_log_importance - importance of a line
 * @GGW_LOG_ROUTINE: dropped when the ring buffer is three quarters full
 * @GGW_LOG_IMPORTANT: dropped when the ring buffer is full
 */
enum ggw_log_importance {
    GGW_LOG_ROUTINE,
    GGW_LOG_IMPORTANT,
};

/**
 * ggw_log_writer_new() - create a writer
 * @fd: file descriptor to write to; the caller keeps ownership
 * @size: size of the ring buffer in bytes
 *
 * Return: a new writer, to be freed with ggw_log_writer_free().
 */
struct ggw_log_writer *ggw_log_writer_new(int fd, size_t size);

/**
 * ggw_log_writer_free() - flush and free a writer
 * @w: writer to free; may be NULL
 *
 * Lines that cannot be written without blocking are lost.
 */
void ggw_log_writer_free(struct ggw_log_writer *w);

/**
 * ggw_log_writer_put() - queue one line
 * @importance: importance of the line
 * @line: line to queue, ending with a newline
 * @len: length of @line in bytes
 *
 * Return: false when the line was dropped.
 */
bool ggw_log_writer_put(struct ggw_log_writer *w,
                        enum ggw_log_importance importance, const char *line,
                        size_t len);

/**
 * ggw_log_writer_flush() - write queued lines as far as possible without
 *                          blocking
 */
void ggw_log_writer_flush(struct ggw_log_writer *w);

/**
 * ggw_log_writer_dropped() - get the number of lines dropped so far
 */
uint64_t ggw_log_writer_dropped(const struct ggw_log_writer *w);

#endif
