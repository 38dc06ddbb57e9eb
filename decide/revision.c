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
