#ifndef GGW_COMMON_LOG_H
#define GGW_COMMON_LOG_H

#include <glib.h>
#include <stdbool.h>

/* Logs go to standard error through log4c, one category per part. */

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
 * ggw_log() - write one line "LEVEL part: text"
 * @part: fixed prefix of the part, the name of its service
 */
void ggw_log(enum ggw_log_level level, const char *part, const char *format,
             ...) G_GNUC_PRINTF(3, 4);

#define ggw_log_error(part, ...) ggw_log(GGW_LOG_ERROR, part, __VA_ARGS__)
#define ggw_log_warn(part, ...) ggw_log(GGW_LOG_WARN, part, __VA_ARGS__)
#define ggw_log_info(part, ...) ggw_log(GGW_LOG_INFO, part, __VA_ARGS__)
#define ggw_log_debug(part, ...) ggw_log(GGW_LOG_DEBUG, part, __VA_ARGS__)

void ggw_log_fini(void);

#endif
