#include "decide/capacity.h"

#include <glib.h>
#include <string.h>

/* Links slower than this part of the fastest are thin. */
#define FAST_PART 0.25

int
ggw_capacity_max_link(const struct ggw_member *members, size_t len,
                      const char *domain)
{
    int fastest = 0;

    for (size_t i = 0; i < len; i++) {
        if (members[i].state == GGW_MEMBER_ALIVE &&
            (domain == NULL ||
             strcmp(members[i].failure_domain, domain) == 0)) {
            fastest = MAX(fastest, members[i].capacity.link_mbps);
        }
    }
    return fastest;
}

bool
ggw_capacity_is_fast(const struct ggw_member *m, int fastest)
{
    return m->capacity.link_mbps == 0 ||
           m->capacity.link_mbps >= FAST_PART * fastest;
}
