#ifndef GGW_DECIDE_REVISION_H
#define GGW_DECIDE_REVISION_H

#include <stdint.h>

/**
 * enum ggw_revision_verdict - what to do with settings that were offered
 * @GGW_REVISION_APPLY: newer than those in force
 * @GGW_REVISION_SAME: those in force
 * @GGW_REVISION_OLDER: must not be applied; settings never revert
 */
enum ggw_revision_verdict {
    GGW_REVISION_APPLY,
    GGW_REVISION_SAME,
    GGW_REVISION_OLDER,
};

/**
 * ggw_revision_decide() - compare an offered revision with the one in force
 * @in_force: 0 when no settings are in force
 * @offered: 0 is not a revision and never applied
 */
enum ggw_revision_verdict ggw_revision_decide(uint64_t in_force,
                                              uint64_t offered);

#endif
