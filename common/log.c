#include "common/log.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/error.h"

struct level {
    const char *name;
    int priority;
};

static const struct level levels[] = {
    [GGW_LOG_ERROR] = {"error", LOG4C_PRIORITY_ERROR},
    [GGW_LOG_WARN] = {"warn", LOG4C_PRIORITY_WARN},
    [GGW_LOG_INFO] = {"info", LOG4C_PRIORITY_INFO},
    [GGW_LOG_DEBUG] = {"debug", LOG4C_PRIORITY_DEBUG},
};

static int max_level = GGW_LOG_INFO;
static bool initialised;

static const char *
level_name(int priority)
{
    for (size_t i = 0; i < sizeof(levels) / sizeof(levels[0]); i++) {
        if (levels[i].priority == priority) {
            return levels[i].name;
        }
    }
    return "info";
}

/* Size in bytes of the buffer for lines that the reader has not taken yet. */
#define BUFFER_BYTES 262144

/* Longest line in bytes, including the NUL byte; longer lines are cut off. */
#define MAX_LINE_BYTES 1200

/* Non-NULL while the log is open. */
static struct ggw_log_writer *writer;

static void
format_time(char *out, size_t size)
{
    struct timespec now;
    struct tm tm;
    char second[32];

    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &tm);
    strftime(second, sizeof(second), "%Y-%m-%dT%H:%M:%S", &tm);
    snprintf(out, size, "%s.%03ldZ", second, now.tv_nsec / 1000000);
}

static const char *
layout_format(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    static char line[MAX_LINE_BYTES];
    g_autofree char *text = g_strescape(event->evt_msg, "");
    char stamp[48];

    format_time(stamp, sizeof(stamp));
    snprintf(line, sizeof(line) - 1, "ts=%s level=%s part=%s msg=\"%s\"",
             stamp, level_name(event->evt_priority), event->evt_category,
             text);
    g_strlcat(line, "\n", sizeof(line));
    return line;
}

/* Replaces log4c's stream appender, which blocks when the reader stalls. */
static int
appender_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    const char *line = event->evt_rendered_msg;

    ggw_log_writer_put(writer, GGW_LOG_IMPORTANT, line, strlen(line));
    ggw_log_writer_flush(writer);
    return 0;
}

static const log4c_appender_type_t appender_type = {"ggw", NULL,
                                                    appender_append, NULL};
static const log4c_layout_type_t layout_type = {"ggw", layout_format};

bool
ggw_log_init(const char *level, GError **error)
{
    int index = -1;

    for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
        if (strcmp(levels[i].name, level) == 0) {
            index = (int)i;
        }
    }
    if (index < 0) {
        g_set_error(error, GGW_ERROR, GGW_ERROR_INVALID,
                    "log level \"%s\" is not one of error, warn, info, debug",
                    level);
        return false;
    }
    max_level = index;
    if (!initialised) {
        log4c_appender_t *appender;
        log4c_layout_t *layout;
        log4c_category_t *root;

        writer = ggw_log_writer_new(STDOUT_FILENO, BUFFER_BYTES);
        log4c_init();
        log4c_layout_type_set(&layout_type);
        layout = log4c_layout_get("ggw");
        log4c_layout_set_type(layout, &layout_type);
        log4c_appender_type_set(&appender_type);
        appender = log4c_appender_get("ggw");
        log4c_appender_set_type(appender, &appender_type);
        log4c_appender_set_layout(appender, layout);
        root = log4c_category_get("root");
        log4c_category_set_appender(root, appender);
        log4c_category_set_priority(root, LOG4C_PRIORITY_TRACE);
        initialised = true;
    }
    return true;
}

void
ggw_log(enum ggw_log_level level, const char *part, const char *format, ...)
{
    char text[1024];
    va_list ap;

    if ((int)level > max_level || !initialised) {
        return;
    }
    va_start(ap, format);
    vsnprintf(text, sizeof(text), format, ap);
    va_end(ap);
    log4c_category_log(log4c_category_get(part), levels[level].priority, "%s",
                       text);
}

bool
ggw_log_enabled(enum ggw_log_level level)
{
    return initialised && (int)level <= max_level;
}

/* Counts a line as written or omitted; returns whether to write it. */
static bool
within_rate_limit(struct ggw_log_event *event)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    if ((double)now.tv_sec != event->second) {
        event->second = (double)now.tv_sec;
        event->written = 0;
    }
    if (event->written >= event->max_per_s) {
        event->omitted++;
        return false;
    }
    event->written++;
    return true;
}

/* Keeps an event on one line: names in it may come from outside. */
static void
replace_control_characters(char *text)
{
    for (char *c = text; *c != '\0'; c++) {
        *c = g_ascii_iscntrl(*c) ? '?' : *c;
    }
}

void
ggw_log_event(struct ggw_log_event *event, const char *format, ...)
{
    char line[MAX_LINE_BYTES];
    char stamp[48];
    size_t len;
    va_list ap;

    if (!ggw_log_enabled(event->level) || !within_rate_limit(event)) {
        return;
    }
    format_time(stamp, sizeof(stamp));
    len = (size_t)snprintf(
        line, sizeof(line), "ts=%s level=%s part=%s event=%s ", stamp,
        levels[event->level].name, event->part, event->name);
    if (event->omitted > 0) {
        len += (size_t)snprintf(line + len, sizeof(line) - len,
                                "omitted_before=%u ", event->omitted);
        event->omitted = 0;
    }
    va_start(ap, format);
    vsnprintf(line + len, sizeof(line) - len - 1, format, ap);
    va_end(ap);
    replace_control_characters(line + len);
    g_strlcat(line, "\n", sizeof(line));
    ggw_log_writer_put(writer, event->importance, line, strlen(line));
}

void
ggw_log_flush(void)
{
    if (initialised) {
        ggw_log_writer_flush(writer);
    }
}

void
ggw_log_fini(void)
{
    if (initialised) {
        initialised = false;
        g_clear_pointer(&writer, ggw_log_writer_free);
        log4c_fini();
    }
}
