#ifndef GGW_MAIN_SIGNALS_H
#define GGW_MAIN_SIGNALS_H

#include <uv.h>

#include "kernel/kernel.h"

/**
 * struct ggw_signals - signals that a daemon handles
 *
 * SIGTERM and SIGINT let every service leave. SIGHUP is logged only: settings
 * of the process are read at its start.
 */
struct ggw_signals {
    uv_signal_t term;
    uv_signal_t interrupt;
    uv_signal_t hangup;
};

/**
 * ggw_signals_watch() - begin to handle them; SIGPIPE is ignored
 */
void ggw_signals_watch(struct ggw_signals *signals, struct ggw_kernel *kernel);

/**
 * ggw_signals_close() - the loop must run once more afterwards
 */
void ggw_signals_close(struct ggw_signals *signals);

#endif
