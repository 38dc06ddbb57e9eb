#include "main/signals.h"

#include <signal.h>

#include "common/log.h"

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
    ggw_log_info("main", "signal %d, settings stay as they were at the start",
                 signum);
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
ggw_signals_watch(struct ggw_signals *signals, struct ggw_kernel *kernel)
{
    watch(kernel, &signals->term, SIGTERM, on_leave);
    watch(kernel, &signals->interrupt, SIGINT, on_leave);
    watch(kernel, &signals->hangup, SIGHUP, on_hangup);
    signal(SIGPIPE, SIG_IGN);
}

void
ggw_signals_close(struct ggw_signals *signals)
{
    uv_close((uv_handle_t *)&signals->term, NULL);
    uv_close((uv_handle_t *)&signals->interrupt, NULL);
    uv_close((uv_handle_t *)&signals->hangup, NULL);
}
