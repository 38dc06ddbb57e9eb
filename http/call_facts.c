#include "http/call_facts.h"

const char *
ggw_call_fault_name(enum ggw_call_fault fault)
{
    static const char *const names[] = {
        [GGW_FAULT_NONE] = "none",
        [GGW_FAULT_RESET] = "reset",
        [GGW_FAULT_CUT] = "cut",
        [GGW_FAULT_MALFORMED] = "malformed",
        [GGW_FAULT_TOO_LARGE] = "too-large",
        [GGW_FAULT_OTHER_ID] = "other-id",
        [GGW_FAULT_SURPLUS] = "surplus",
    };

    return names[fault];
}

const char *
ggw_framing_name(enum ggw_framing framing)
{
    static const char *const names[] = {
        [GGW_FRAMING_UNKNOWN] = "unknown",
        [GGW_FRAMING_LENGTH] = "length",
        [GGW_FRAMING_CHUNKED] = "chunked",
        [GGW_FRAMING_CLOSE] = "close",
    };

    return names[framing];
}
