#include "decide/announce.h"

bool
ggw_announce_due(const struct ggw_announce_state *s, ggw_ms now)
{
    bool slots_changed = s->free_slots != s->announced_free_slots;
    bool none_or_some = (s->free_slots == 0) != (s->announced_free_slots == 0);

    if (!s->announced || s->warm_removed || none_or_some) {
        return true;
    }
    return (slots_changed || s->warm_added) &&
           now - s->announced_at >= GGW_ANNOUNCE_INTERVAL;
}

int
ggw_announce_round_slots(int free_slots)
{
    int rounded = 1;

    if (free_slots <= 0) {
        return 0;
    }
    while (rounded <= free_slots / 2) {
        rounded *= 2;
    }
    return rounded;
}
