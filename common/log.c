#include "common/log.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

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

static int threshold = GGW_LOG_INFO;
static bool initialised;

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    static char line[1200];
    const char *priority = log4c_priority_to_string(event->evt_priority);
    struct tm tm;
    char stamp[32];
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &tm);
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
    snprintf(line, sizeof(line), "%s.%03ldZ %s %s: %s\n", stamp,
             now.tv_nsec / 1000000, priority, event->evt_category,
             event->evt_msg);
    return line;
}

/* log4c's own stream appender puts its name before each line. */
static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    return fputs(event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t appender_type = {"ggw", NULL, append_line,
                                                    NULL};
static const log4c_layout_type_t layout_type = {"ggw", format_line};

bool
ggw_log_init(const char *level, GError **error)
{
    int found = -1;

    for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
        if (strcmp(levels[i].name, level) == 0) {
            found = (int)i;
        }
    }
    if (found < 0) {
        g_set_error(error, GGW_ERROR, GGW_ERROR_INVALID,
                    "log level \"%s\" is not one of error, warn, info, debug",
                    level);
        return false;
    }
    threshold = found;
    if (!initialised) {
        log4c_appender_t *appender;
        log4c_layout_t *layout;
        log4c_category_t *root;

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

    if ((int)level > threshold || !initialised) {
        return;
    }
    va_start(ap, format);
    vsnprintf(text, sizeof(text), format, ap);
    va_end(ap);
    log4c_category_log(log4c_category_get(part), levels[level].priority, "%s",
                       text);
}

void
ggw_log_fini(void)
{
    if (initialised) {
        initialised = false;
        log4c_fini();
    }
}
