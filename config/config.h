#ifndef GGW_CONFIG_CONFIG_H
#define GGW_CONFIG_CONFIG_H

#include "config/tree.h"
#include "kernel/kernel.h"

/*
 * Service "config": keeps the settings of every team in force. It reads them
 * from the store, learns newer revisions from other gateways and
 * never applies a lower one.
 */

/**
 * struct ggw_config_in_force - published when a team's revision changed
 * @tree: the snapshot now in force; the message holds one reference
 */
struct ggw_config_in_force {
    struct ggw_message base;
    struct ggw_tree *tree;
};

extern const struct ggw_message_ops ggw_config_in_force_ops;
struct ggw_message *ggw_config_in_force_new(struct ggw_tree *tree);

/**
 * struct ggw_config_given - settings that another service has read
 *
 * For a gateway whose settings do not come from the store.
 */
struct ggw_config_given {
    struct ggw_message base;
    char *team;
    uint64_t revision;
    char *json;
};

extern const struct ggw_message_ops ggw_config_given_ops;
struct ggw_message *ggw_config_given_new(const char *team, uint64_t revision,
                                         const char *json);

/**
 * ggw_config_service_new() - make the service
 * @poll: time between two reads of the store; 0 does not read it
 */
struct ggw_service *ggw_config_service_new(ggw_ms poll);

#endif
