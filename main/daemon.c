#include "main/daemon.h"

#include <signal.h>

#include "common/log.h"

/* Log lines wait for at most this time before they are passed on. */
#define FLUSH_MS 100

static void
flush_cb(uv_timer_t *timer)
{
    ggw_log_flush();
}

static void
on_leave(uv_signal_t *handle, int signum)
{
    struct ggw_kernel *kernel = handle->data;

    ggw_log_info("main", "signal %d, leaving", signum);
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
    ggw_log_info("main", "signal %d, settings stay as they were at the start",
                 signum);
}

static void
mask_hangup(int how)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    sigprocmask(how, &set, NULL);
}

void
ggw_daemon_prepare(void)
{
    mask_hangup(SIG_BLOCK);
}

/* The handle does not keep the loop alive once every service has stopped. */
static void
watch(struct ggw_kernel *kernel, uv_signal_t *handle, int signum,
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
    watch(kernel, &daemon->term, SIGTERM, on_leave);
    watch(kernel, &daemon->interrupt, SIGINT, on_leave);
    watch(kernel, &daemon->hangup, SIGHUP, on_hangup);
    daemon->hangup.data = daemon;
    mask_hangup(SIG_UNBLOCK);
    signal(SIGPIPE, SIG_IGN);
    uv_timer_init(ggw_kernel_loop(kernel), &daemon->flush);
    uv_timer_start(&daemon->flush, flush_cb, FLUSH_MS, FLUSH_MS);
    uv_unref((uv_handle_t *)&daemon->flush);
}

void
ggw_daemon_close(struct ggw_daemon *daemon)
{
    /* Without a handler the signal would end a process that just stops. */
    mask_hangup(SIG_BLOCK);
    uv_close((uv_handle_t *)&daemon->term, NULL);
    uv_close((uv_handle_t *)&daemon->interrupt, NULL);
    uv_close((uv_handle_t *)&daemon->hangup, NULL);
    uv_close((uv_handle_t *)&daemon->flush, NULL);
}
