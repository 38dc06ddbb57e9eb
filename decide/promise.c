#include "decide/promise.h"

enum ggw_outcome
ggw_known_outcome(bool ended_unknown, const enum ggw_attempt_stage *stages,
                  size_t len)
{
    if (ended_unknown) {
        return GGW_OUTCOME_UNKNOWN;
    }
    for (size_t i = 0; i < len; i++) {
        if (stages[i] == GGW_STAGE_SENT) {
            return GGW_OUTCOME_UNKNOWN;
        }
    }
    return GGW_OUTCOME_NOT_RUN;
}

bool
ggw_status_promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

int
ggw_refusal_status(enum ggw_outcome outcome)
{
    return outcome == GGW_OUTCOME_NOT_RUN ? 503 : 502;
}
