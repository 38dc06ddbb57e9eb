#ifndef GGW_COMMON_LOG_H
#define GGW_COMMON_LOG_H

#include <glib.h>
#include <stdbool.h>

#include "common/log_writer.h"

/*
 * Structured logging to standard output, one line of key=value fields per
 * event:
 *
 *     ts=2026-12-04T08:12:03.120Z level=info part=proxy event=refused id=7f
 *
 * Free-text messages go through log4c, with one category per part of the
 * program, and end up in the field "msg".
 */

/**
 * enum ggw_log_level - severity of a line, most severe first
 */
enum ggw_log_level {
    GGW_LOG_ERROR,
    GGW_LOG_WARN,
    GGW_LOG_INFO,
    GGW_LOG_DEBUG,
};

/**
 * ggw_log_init() - set the log level of all parts; open the log on first call
 * @level: "error", "warn", "info" or "debug"
 *
 * Return: false with GGW_ERROR_INVALID for any other @level.
 */
bool ggw_log_init(const char *level, GError **error);

/**
 * ggw_log() - write one free-text line
 * @level: severity; lines less severe than the log level are discarded
 * @part: part of the program that writes the line, usually the name of a
 *        service
 * @format: printf format of the text, which is cut off after 1023 bytes
 *
 * Discards the line while the log is not open.
 */
void ggw_log(enum ggw_log_level level, const char *part, const char *format,
             ...) G_GNUC_PRINTF(3, 4);

#define ggw_log_error(part, ...) ggw_log(GGW_LOG_ERROR, part, __VA_ARGS__)
#define ggw_log_warn(part, ...) ggw_log(GGW_LOG_WARN, part, __VA_ARGS__)
#define ggw_log_info(part, ...) ggw_log(GGW_LOG_INFO, part, __VA_ARGS__)
#define ggw_log_debug(part, ...) ggw_log(GGW_LOG_DEBUG, part, __VA_ARGS__)

/**
 * struct ggw_log_event - event type
 * @part: part of the program that writes the event
 * @name: name of the event type
 * @level: severity
 * @importance: decides which lines are dropped when the reader of standard
 *              output is slow
 * @max_per_s: maximum number of lines per second; further ones are omitted
 *
 * The other members are private to common/log.c.
 */
struct ggw_log_event {
    const char *part;
    const char *name;
    enum ggw_log_level level;
    enum ggw_log_importance importance;
    unsigned max_per_s;
    double second;
    unsigned written;
    unsigned omitted;
};

/**
 * ggw_log_event() - write one event
 * @event: event type
 * @format: printf format of the fields, "name=value name=value"
 *
 * The line is buffered until ggw_log_flush(). After lines have been omitted
 * because of @event->max_per_s, the next line states their number in the field
 * "omitted_before".
 */
void ggw_log_event(struct ggw_log_event *event, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/**
 * ggw_log_enabled() - check whether lines of a level are written
 */
bool ggw_log_enabled(enum ggw_log_level level);

/**
 * ggw_log_flush() - write buffered lines to standard output without blocking
 */
void ggw_log_flush(void);

/**
 * ggw_log_fini() - flush and close the log; no-op when it is not open
 */
void ggw_log_fini(void);

#endif
