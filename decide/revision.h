#ifndef GGW_DECIDE_REVISION_H
#define GGW_DECIDE_REVISION_H

#include <stdint.h>

/**
 * DOC: Ordering of settings by revision
 */

/**
 * enum ggw_revision_verdict - decision on a received revision of the settings
 * @GGW_REVISION_APPLY: it is newer than the one in force and is to be applied
 * @GGW_REVISION_SAME: it is the one in force
 * @GGW_REVISION_OLDER: it must not be applied; settings never go back to an
 *                      older revision
 */
enum ggw_revision_verdict {
    GGW_REVISION_APPLY,
    GGW_REVISION_SAME,
    GGW_REVISION_OLDER,
};

/**
 * ggw_revision_decide() - compare a received revision with the one in force
 * @in_force: revision in force; 0 if there are no settings yet
 * @offered: received revision; 0 is not a valid one and is never applied
 */
enum ggw_revision_verdict ggw_revision_decide(uint64_t in_force,
                                              uint64_t offered);

#endif
