#ifndef GGW_ROLLOUTS_ROWS_H
#define GGW_ROLLOUTS_ROWS_H

#include <stdint.h>

#include "kernel/kernel.h"
#include "platform/platform.h"
#include "rollouts/rollouts.h"

/**
 * DOC: Messages between "rollouts" and "rollout-rows"
 *
 * "rollout-rows" keeps two rows of a service in the platform's store: the
 * record, whose text is up to "rollouts", and the state that operators read.
 * Both are written together under the condition that neither has changed.
 */

/**
 * struct ggw_rollout_save - asks "rollout-rows" to write or read the rows
 * @base: message header
 * @service: name of the service
 * @record: text of the record; NULL only reads both rows
 * @stage: stage that operators read; GGW_ROLLOUT_NONE writes no state
 * @target: new version; NULL in GGW_ROLLOUT_NONE
 * @record_version, @state_version: versions that the rows must have; 0: the
 *                                  row must not exist
 * @timeout: maximum time until the answer, in ms
 */
struct ggw_rollout_save {
    struct ggw_message base;
    char *service;
    char *record;
    enum ggw_rollout_stage stage;
    char *target;
    int64_t record_version;
    int64_t state_version;
    ggw_ms timeout;
};

extern const struct ggw_message_ops ggw_rollout_save_ops;
struct ggw_message *ggw_rollout_save_new(const char *service);

/**
 * struct ggw_rollout_saved - answer to struct ggw_rollout_save
 * @base: message header, with the tag of the request
 * @status: outcome; the other members are set only with GGW_PLATFORM_OK and
 *          GGW_PLATFORM_CONFLICT
 * @record: text of the record; NULL if there is none
 * @record_version, @state_version: versions of the rows; 0 if they do not
 *                                  exist
 * @stage: stage that operators read; GGW_ROLLOUT_NONE if there is no state
 * @target: version that the state names, or NULL
 */
struct ggw_rollout_saved {
    struct ggw_message base;
    enum ggw_platform_status status;
    char *record;
    int64_t record_version;
    int64_t state_version;
    enum ggw_rollout_stage stage;
    char *target;
};

extern const struct ggw_message_ops ggw_rollout_saved_ops;
struct ggw_rollout_saved *
ggw_rollout_saved_new(enum ggw_platform_status status);

#endif
