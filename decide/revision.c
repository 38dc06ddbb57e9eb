#include "decide/revision.h"

enum ggw_revision_verdict
ggw_revision_decide(uint64_t in_force, uint64_t offered)
{
    if (offered > in_force) {
        return GGW_REVISION_APPLY;
    }
    if (offered < in_force || offered == 0) {
        return GGW_REVISION_OLDER;
    }
    return GGW_REVISION_SAME;
}

enum ggw_revision_verdict
ggw_settings_decide(const struct ggw_settings_position *in_force,
                    const struct ggw_settings_position *offered)
{
    if (offered->revision == 0 || in_force->written_version == 0 ||
        offered->written_version == 0 ||
        in_force->written_version == offered->written_version) {
        return ggw_revision_decide(in_force->revision, offered->revision);
    }
    if (offered->written_version > in_force->written_version) {
        return GGW_REVISION_APPLY;
    }
    return offered->revision >= in_force->revision ? GGW_REVISION_OUTDATED
                                                   : GGW_REVISION_OLDER;
}
