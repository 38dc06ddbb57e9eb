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
 * @GGW_REVISION_OUTDATED: it was written before the one in force, but offered
 *                         under a revision that is not lower, by a gateway or
 *                         a store that does not know of the newer one
 */
enum ggw_revision_verdict {
    GGW_REVISION_APPLY,
    GGW_REVISION_SAME,
    GGW_REVISION_OLDER,
    GGW_REVISION_OUTDATED,
};

/**
 * ggw_revision_decide() - compare a received revision with the one in force
 * @in_force: revision in force; 0 if there are no settings yet
 * @offered: received revision; 0 is not a valid one and is never applied
 */
enum ggw_revision_verdict ggw_revision_decide(uint64_t in_force,
                                              uint64_t offered);

/**
 * struct ggw_settings_position - position of settings in their order
 * @written_version: number that their writer gave them; 0: unknown
 * @revision: revision under which they were read; 0: there are none
 */
struct ggw_settings_position {
    uint64_t written_version;
    uint64_t revision;
};

/**
 * ggw_settings_decide() - compare received settings with those in force
 *
 * The writer's numbers decide when both are known and differ, the revisions
 * otherwise.
 */
enum ggw_revision_verdict
ggw_settings_decide(const struct ggw_settings_position *in_force,
                    const struct ggw_settings_position *offered);

#endif
