#include "common/outcome.h"

const char *
ggw_outcome_name(enum ggw_outcome outcome)
{
    switch (outcome) {
    case GGW_OUTCOME_DONE:
        return "done";
    case GGW_OUTCOME_NOT_RUN:
        return "not-run";
    case GGW_OUTCOME_UNKNOWN:
        break;
    }
    return "unknown";
}
