#ifndef GGW_SLOTS_ROLLOUT_H
#define GGW_SLOTS_ROLLOUT_H

#include <glib.h>
#include <stdbool.h>

#include "decide/exposure.h"
#include "kernel/kernel.h"
#include "rollouts/rollouts.h"

/**
 * DOC: State of the roll-out of one service in this gateway
 *
 * Holds the stage that "rollouts" has sent and the counts of this gateway's
 * ledgers, and reports the counts to "rollouts".
 */

struct ggw_slots_rollout;

/* Creates the state of a service for which no stage was sent yet. */
struct ggw_slots_rollout *ggw_slots_rollout_new(void);
void ggw_slots_rollout_free(gpointer rollout);

/**
 * ggw_slots_rollout_apply() - store the stage of a message
 * @now: monotonic ms
 *
 * Return: false if the message is older than the stored one or changes
 * nothing.
 */
bool ggw_slots_rollout_apply(struct ggw_slots_rollout *r,
                             const struct ggw_rollout_limits *m, ggw_ms now);

/**
 * ggw_slots_rollout_limits() - get the stage that applies
 * @r: state of the service, or NULL
 *
 * Return: NULL without a roll-out; otherwise owned by @r and valid as long as
 * @r, with members that the next message changes.
 */
const struct ggw_exposure_limits *
ggw_slots_rollout_limits(const struct ggw_slots_rollout *r);

/**
 * ggw_slots_rollout_counts_routes() - tell whether owners count by route now
 * @r: state of the service, or NULL
 */
bool ggw_slots_rollout_counts_routes(const struct ggw_slots_rollout *r);

/**
 * ggw_slots_rollout_report() - create the message with the counts
 * @held_old, @granted_old: see struct ggw_rollout_counts
 *
 * A new term, and in GGW_ROLLOUT_SWITCHING the end of the last old request, is
 * reported at once; other changes wait for the interval between reports. After
 * a roll-back, only the new term is reported.
 *
 * Return: message for "rollouts", or NULL if there is nothing to report now.
 */
struct ggw_message *ggw_slots_rollout_report(struct ggw_slots_rollout *r,
                                             int held_old, int granted_old,
                                             ggw_ms now);

#endif
