#include "main/daemon.h"

#include <signal.h>

#include "common/log.h"

/* Interval in ms between log flushes, hence the longest delay of a line. */
#define FLUSH_MS 100

static void
flush_cb(uv_timer_t *timer)
{
    ggw_log_flush();
}

static void
on_terminate(uv_signal_t *handle, int signum)
{
    struct ggw_daemon *daemon = handle->data;

    if (daemon->shutting_down) {
        ggw_log_info("main", "received signal %d, already shutting down",
                     signum);
        return;
    }
    ggw_log_info("main", "received signal %d, shutting down", signum);
    daemon->shutting_down = true;
    /* A second interrupt, from a terminal, ends the process at once. */
    uv_signal_stop(&daemon->interrupt);
    ggw_kernel_publish(daemon->kernel, NULL, ggw_shutdown_new());
}

static void
on_hangup(uv_signal_t *handle, int signum)
{
    const struct ggw_daemon *daemon = handle->data;

    if (daemon->reload != NULL) {
        daemon->reload(daemon->data);
        return;
    }
    ggw_log_info("main",
                 "received signal %d, settings keep their values from the "
                 "start",
                 signum);
}

/* Blocks or unblocks the signals that would end a process without handlers. */
static void
set_signal_mask(int how)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    sigaddset(&set, SIGTERM);
    sigprocmask(how, &set, NULL);
}

void
ggw_daemon_prepare(void)
{
    set_signal_mask(SIG_BLOCK);
}

/*
 * Starts a signal handle that does not keep the loop alive after all services
 * have stopped.
 */
static void
watch_signal(struct ggw_daemon *daemon, uv_signal_t *handle, int signum,
             uv_signal_cb cb)
{
    uv_signal_init(ggw_kernel_loop(daemon->kernel), handle);
    handle->data = daemon;
    uv_signal_start(handle, cb, signum);
    uv_unref((uv_handle_t *)handle);
}

void
ggw_daemon_start(struct ggw_daemon *daemon, struct ggw_kernel *kernel)
{
    daemon->kernel = kernel;
    daemon->shutting_down = false;
    watch_signal(daemon, &daemon->term, SIGTERM, on_terminate);
    watch_signal(daemon, &daemon->interrupt, SIGINT, on_terminate);
    watch_signal(daemon, &daemon->hangup, SIGHUP, on_hangup);
    set_signal_mask(SIG_UNBLOCK);
    signal(SIGPIPE, SIG_IGN);
    uv_timer_init(ggw_kernel_loop(kernel), &daemon->flush);
    uv_timer_start(&daemon->flush, flush_cb, FLUSH_MS, FLUSH_MS);
    uv_unref((uv_handle_t *)&daemon->flush);
}

void
ggw_daemon_close(struct ggw_daemon *daemon)
{
    /* Without handlers, they would kill the process during shutdown. */
    set_signal_mask(SIG_BLOCK);
    uv_close((uv_handle_t *)&daemon->term, NULL);
    uv_close((uv_handle_t *)&daemon->interrupt, NULL);
    uv_close((uv_handle_t *)&daemon->hangup, NULL);
    uv_close((uv_handle_t *)&daemon->flush, NULL);
}
