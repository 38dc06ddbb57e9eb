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
    struct ggw_kernel *kernel = handle->data;

    ggw_log_info("main", "received signal %d, shutting down", signum);
    uv_signal_stop(handle);
    ggw_kernel_publish(kernel, NULL, ggw_shutdown_new());
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

static void
set_hangup_mask(int how)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    sigprocmask(how, &set, NULL);
}

void
ggw_daemon_prepare(void)
{
    set_hangup_mask(SIG_BLOCK);
}

/*
 * Starts a signal handle that does not keep the loop alive after all services
 * have stopped.
 */
static void
watch_signal(struct ggw_kernel *kernel, uv_signal_t *handle, int signum,
             uv_signal_cb cb)
{
    uv_signal_init(ggw_kernel_loop(kernel), handle);
    handle->data = kernel;
    uv_signal_start(handle, cb, signum);
    uv_unref((uv_handle_t *)handle);
}

void
ggw_daemon_start(struct ggw_daemon *daemon, struct ggw_kernel *kernel)
{
    watch_signal(kernel, &daemon->term, SIGTERM, on_terminate);
    watch_signal(kernel, &daemon->interrupt, SIGINT, on_terminate);
    watch_signal(kernel, &daemon->hangup, SIGHUP, on_hangup);
    daemon->hangup.data = daemon;
    set_hangup_mask(SIG_UNBLOCK);
    signal(SIGPIPE, SIG_IGN);
    uv_timer_init(ggw_kernel_loop(kernel), &daemon->flush);
    uv_timer_start(&daemon->flush, flush_cb, FLUSH_MS, FLUSH_MS);
    uv_unref((uv_handle_t *)&daemon->flush);
}

void
ggw_daemon_close(struct ggw_daemon *daemon)
{
    /* Without a handler, SIGHUP would kill the process during shutdown. */
    set_hangup_mask(SIG_BLOCK);
    uv_close((uv_handle_t *)&daemon->term, NULL);
    uv_close((uv_handle_t *)&daemon->interrupt, NULL);
    uv_close((uv_handle_t *)&daemon->hangup, NULL);
    uv_close((uv_handle_t *)&daemon->flush, NULL);
}
