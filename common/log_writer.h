#ifndef GGW_COMMON_LOG_WRITER_H
#define GGW_COMMON_LOG_WRITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"

/*
 * Writes log lines to a descriptor without ever waiting for its reader. Lines
 * wait in a ring of bounded size; lines on the routine leave its last part to
 * the important ones, and what finds no room is counted.
 */

struct ggw_log_writer;

enum ggw_log_weight {
    GGW_LOG_ROUTINE,
    GGW_LOG_IMPORTANT,
};

/**
 * ggw_log_writer_new() - make a writer
 * @fd: not closed by the writer
 * @size: of the ring in bytes
 */
struct ggw_log_writer *ggw_log_writer_new(int fd, size_t size);

/* Writes what the reader takes, and frees the writer. */
void ggw_log_writer_free(struct ggw_log_writer *w);

/**
 * ggw_log_writer_put() - add one line, which ends with a newline
 *
 * Return: false when it was dropped.
 */
bool ggw_log_writer_put(struct ggw_log_writer *w, enum ggw_log_weight weight,
                        const char *line, size_t len);

/**
 * ggw_log_writer_flush() - write as much as the reader takes at once
 */
void ggw_log_writer_flush(struct ggw_log_writer *w);

/* Lines dropped since the start. */
uint64_t ggw_log_writer_dropped(const struct ggw_log_writer *w);

#endif
