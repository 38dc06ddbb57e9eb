#ifndef GGW_ROLLOUTS_STATUS_H
#define GGW_ROLLOUTS_STATUS_H

#include "kernel/kernel.h"

/**
 * struct ggw_rollouts_status - message published when the roll-outs on the
 *                              status page change
 * @base: message header
 * @json: JSON text of the list
 */
struct ggw_rollouts_status {
    struct ggw_message base;
    char *json;
};

extern const struct ggw_message_ops ggw_rollouts_status_ops;

/* Creates the message; takes over @json, which g_free() frees. */
struct ggw_message *ggw_rollouts_status_new(char *json);

#endif
