#ifndef GGW_ROLLOUTS_STATE_H
#define GGW_ROLLOUTS_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "rollouts/rollouts.h"

/**
 * DOC: State of a service's roll-out, as it is sent and stored
 *
 * The term follows from the number of the order and the stage, so that
 * gateways which do not hear of each other give the same stage the same term,
 * and the higher term wins wherever two states meet.
 */

/**
 * struct ggw_rollout_state - stage of a service with what belongs to it
 * @order: number of the operator's order; 0 before the first one
 * @stage: stage that applies
 * @target: new version; NULL in GGW_ROLLOUT_NONE
 * @allowed: NULL-terminated list of the versions that may get requests beside
 *           @target; NULL: all others, and servers that state no version
 * @deadline: of the order, monotonic ms; sent as the time that is left and
 *            stored as wall-clock time
 * @duration: time from the order to its deadline, ms
 * @reason: why the stage was reached
 */
struct ggw_rollout_state {
    uint64_t order;
    enum ggw_rollout_stage stage;
    char *target;
    char **allowed;
    ggw_ms deadline;
    ggw_ms duration;
    char *reason;
};

void ggw_rollout_state_clear(struct ggw_rollout_state *s);

/* Copies @from to the cleared or uninitialized @to. */
void ggw_rollout_state_copy(struct ggw_rollout_state *to,
                            const struct ggw_rollout_state *from);

/* Term of a stage of an order; later stages of an order have higher terms. */
uint64_t ggw_rollout_term(uint64_t order, enum ggw_rollout_stage stage);

/* Name of a stage in logs, records and on pages, for example "rolled back". */
const char *ggw_rollout_stage_name(enum ggw_rollout_stage stage);

/**
 * ggw_rollout_record_print() - encode a state as text for the store
 * @now: monotonic ms
 * @wall: wall-clock time in Unix ms
 *
 * Return: the caller frees it with g_free().
 */
char *ggw_rollout_record_print(const struct ggw_rollout_state *s, ggw_ms now,
                               ggw_ms wall);

/**
 * ggw_rollout_record_parse() - decode the text of a record
 *
 * The time that is left is at most the duration of the order, however the wall
 * clocks of two gateways differ.
 *
 * Return: false if the text is malformed; @s is then unset.
 */
bool ggw_rollout_record_parse(const char *text, ggw_ms now, ggw_ms wall,
                              struct ggw_rollout_state *s);

/**
 * enum ggw_rollout_frame_kind - what a ROLLOUT frame carries
 * @GGW_ROLLOUT_FRAME_STATE: state of a service
 * @GGW_ROLLOUT_FRAME_COUNTS: counts of the sender, to the decider
 * @GGW_ROLLOUT_FRAME_ASK: requests the state of a service
 *
 * The values are sent between gateways.
 */
enum ggw_rollout_frame_kind {
    GGW_ROLLOUT_FRAME_STATE = 1,
    GGW_ROLLOUT_FRAME_COUNTS,
    GGW_ROLLOUT_FRAME_ASK,
};

/**
 * struct ggw_rollout_frame - decoded ROLLOUT frame
 * @kind: what it carries
 * @team, @service: service that it is about
 * @state: with FRAME_STATE
 * @counts: with FRAME_COUNTS; a message that the receiver frees. Its @since
 *          is a number that changes when the sender begins to count anew.
 * @left: with FRAME_COUNTS, time to the deadline by the sender's clock, ms
 */
struct ggw_rollout_frame {
    enum ggw_rollout_frame_kind kind;
    char *team;
    char *service;
    struct ggw_rollout_state state;
    struct ggw_rollout_counts *counts;
    ggw_ms left;
};

/* Each encodes the payload of one frame, which the caller owns. */
GBytes *ggw_rollout_pack_state(const char *team, const char *service,
                               const struct ggw_rollout_state *s, ggw_ms now);
GBytes *ggw_rollout_pack_counts(const struct ggw_rollout_counts *counts,
                                ggw_ms left);
GBytes *ggw_rollout_pack_ask(const char *team, const char *service);

/**
 * ggw_rollout_unpack() - decode a frame
 * @now: monotonic ms
 *
 * The caller clears @frame with ggw_rollout_frame_clear() in either case.
 *
 * Return: false if the payload is malformed or of an unknown kind.
 */
bool ggw_rollout_unpack(GBytes *payload, ggw_ms now,
                        struct ggw_rollout_frame *frame);
void ggw_rollout_frame_clear(struct ggw_rollout_frame *frame);

#endif
