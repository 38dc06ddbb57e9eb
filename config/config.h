#ifndef GGW_CONFIG_CONFIG_H
#define GGW_CONFIG_CONFIG_H

#include "config/tree.h"
#include "kernel/kernel.h"

/**
 * DOC: service "config"
 *
 * The service keeps the settings in force of every team. It polls the store
 * for them or, when polling is disabled, gets them from another service. It
 * also receives newer revisions from other gateways, and it never replaces a
 * revision by a lower one.
 */

/**
 * struct ggw_config_in_force - message published when a new revision of a
 *                              team's settings is applied
 * @base: message header
 * @tree: snapshot that is now in force; the message holds one reference
 */
struct ggw_config_in_force {
    struct ggw_message base;
    struct ggw_tree *tree;
};

extern const struct ggw_message_ops ggw_config_in_force_ops;

/**
 * ggw_config_in_force_new() - create a message
 * @tree: snapshot; the message takes a reference of its own
 */
struct ggw_message *ggw_config_in_force_new(struct ggw_tree *tree);

/**
 * struct ggw_config_given - message with settings that another service has
 * read
 * @base: message header
 * @tree: checked snapshot of the settings; the message holds one reference
 * @root: JSON value that @tree was built from; the message holds one reference
 *
 * Used in a gateway where this service does not poll the store.
 */
struct ggw_config_given {
    struct ggw_message base;
    struct ggw_tree *tree;
    json_t *root;
};

extern const struct ggw_message_ops ggw_config_given_ops;

/**
 * ggw_config_given_new() - create a message
 * @tree: snapshot; the message takes a reference of its own
 * @root: JSON value; the message takes a reference of its own
 */
struct ggw_message *ggw_config_given_new(struct ggw_tree *tree, json_t *root);

/**
 * ggw_config_service_new() - create the service
 * @poll: mean interval between two reads of the store in ms; 0 disables
 *        reading the store
 */
struct ggw_service *ggw_config_service_new(ggw_ms poll);

#endif
