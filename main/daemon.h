#ifndef GGW_MAIN_DAEMON_H
#define GGW_MAIN_DAEMON_H

#include <stdbool.h>
#include <uv.h>

#include "kernel/kernel.h"

/**
 * struct ggw_daemon - signal handling and log flushing of the gateway commands
 * @term: SIGTERM, which shuts down all services
 * @interrupt: SIGINT, which does the same
 * @hangup: SIGHUP
 * @flush: timer that writes buffered log lines
 * @reload: called on SIGHUP with @data; when NULL, SIGHUP is only logged
 * @data: argument of @reload
 * @kernel: kernel to shut down
 * @shutting_down: the shutdown has begun; further signals do not end it
 *
 * The caller sets @reload and @data and zeroes the other members.
 */
struct ggw_daemon {
    uv_signal_t term;
    uv_signal_t interrupt;
    uv_signal_t hangup;
    uv_timer_t flush;
    void (*reload)(void *data);
    void *data;
    struct ggw_kernel *kernel;
    bool shutting_down;
};

/**
 * ggw_daemon_prepare() - block SIGHUP and SIGTERM until ggw_daemon_start()
 *
 * Called before a command starts, because they kill a process that has no
 * handler yet.
 */
void ggw_daemon_prepare(void);

/**
 * ggw_daemon_start() - start to handle signals and to flush the log
 * @kernel: kernel to shut down on SIGTERM or SIGINT
 *
 * Ignores SIGPIPE.
 */
void ggw_daemon_start(struct ggw_daemon *daemon, struct ggw_kernel *kernel);

/**
 * ggw_daemon_close() - close all handles, block SIGHUP and SIGTERM
 *
 * The caller must run the loop once more afterwards.
 */
void ggw_daemon_close(struct ggw_daemon *daemon);

#endif
