#include "decide/distrust.h"

#include <glib.h>

/* Time after the last suspect response, ms. */
#define DISTRUST_MS 60000.0

ggw_ms
ggw_distrust_until(ggw_ms until, ggw_ms now)
{
    return MAX(until, now + DISTRUST_MS);
}

bool
ggw_is_distrusted(ggw_ms until, ggw_ms now)
{
    return now < until;
}
