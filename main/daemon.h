#ifndef GGW_MAIN_DAEMON_H
#define GGW_MAIN_DAEMON_H

#include <uv.h>

#include "kernel/kernel.h"

/**
 * struct ggw_daemon - what the gateway commands share: signals and the log
 * @reload: called at SIGHUP with @data; NULL only logs the signal
 *
 * SIGTERM and SIGINT let every service leave. @reload and @data are the
 * caller's.
 */
struct ggw_daemon {
    uv_signal_t term;
    uv_signal_t interrupt;
    uv_signal_t hangup;
    uv_timer_t flush;
    void (*reload)(void *data);
    void *data;
};

/**
 * ggw_daemon_prepare() - hold SIGHUP back until ggw_daemon_start()
 *
 * Called first, since the signal ends a process that has no handler yet.
 */
void ggw_daemon_prepare(void);

/**
 * ggw_daemon_start() - handle signals and pass log lines on; SIGPIPE is
 *                      ignored
 */
void ggw_daemon_start(struct ggw_daemon *daemon, struct ggw_kernel *kernel);

/**
 * ggw_daemon_close() - the loop must run once more afterwards
 */
void ggw_daemon_close(struct ggw_daemon *daemon);

#endif
