#ifndef GGW_COMMON_LOG_H
#define GGW_COMMON_LOG_H

#include <glib.h>
#include <stdbool.h>

#include "common/log_writer.h"

/*
 * Structured logs on standard output: one line an event, with fields by name:
 *
 *     ts=2026-12-04T08:12:03.120Z level=info part=proxy event=refused id=7f
 * ...
 *
 * Free text goes through log4c, one category per part, into the field "msg".
 */

enum ggw_log_level {
    GGW_LOG_ERROR,
    GGW_LOG_WARN,
    GGW_LOG_INFO,
    GGW_LOG_DEBUG,
};

/**
 * ggw_log_init() - set the level of all parts
 * @level: "error", "warn", "info" or "debug"
 *
 * Return: false with the error set when @level is not one of these.
 */
bool ggw_log_init(const char *level, GError **error);

/**
 * ggw_log() - write one line of text
 * @part: fixed prefix of the part, the name of its service
 */
void ggw_log(enum ggw_log_level level, const char *part, const char *format,
             ...) G_GNUC_PRINTF(3, 4);

#define ggw_log_error(part, ...) ggw_log(GGW_LOG_ERROR, part, __VA_ARGS__)
#define ggw_log_warn(part, ...) ggw_log(GGW_LOG_WARN, part, __VA_ARGS__)
#define ggw_log_info(part, ...) ggw_log(GGW_LOG_INFO, part, __VA_ARGS__)
#define ggw_log_debug(part, ...) ggw_log(GGW_LOG_DEBUG, part, __VA_ARGS__)

/**
 * struct ggw_log_event - one type of event
 * @level: at which it is written
 * @weight: of its lines
 * @per_s: lines a second; the others are counted
 *
 * The other fields are private to common/log.c.
 */
struct ggw_log_event {
    const char *part;
    const char *name;
    enum ggw_log_level level;
    enum ggw_log_weight weight;
    unsigned per_s;
    double second;
    unsigned written;
    unsigned omitted;
};

/**
 * ggw_log_event() - write one event
 * @format: fields as "name=value name=value"
 *
 * When a second had more than @event->per_s lines, the first line of a later
 * one says how many were omitted.
 */
void ggw_log_event(struct ggw_log_event *event, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/* Whether events of a level are written at all. */
bool ggw_log_wants(enum ggw_log_level level);

/**
 * ggw_log_flush() - pass waiting lines on to the reader, without waiting
 */
void ggw_log_flush(void);

void ggw_log_fini(void);

#endif
