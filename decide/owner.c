#include "decide/owner.h"

#include <string.h>
#include <xxhash.h>

#include "decide/capacity.h"

static uint64_t
hash_key(const char *team, const char *service, const char *failure_domain)
{
    uint64_t h = XXH64(team, strlen(team) + 1, 0);

    h = XXH64(service, strlen(service) + 1, h);
    return XXH64(failure_domain, strlen(failure_domain) + 1, h);
}

static size_t
pick(uint64_t key, const char *failure_domain,
     const struct ggw_member *members, size_t len)
{
    int fastest = ggw_capacity_max_link(members, len, failure_domain);
    size_t best = (size_t)-1;
    uint64_t best_hash = 0;

    for (size_t i = 0; i < len; i++) {
        const struct ggw_member *m = &members[i];
        uint64_t h;

        if (m->state != GGW_MEMBER_ALIVE ||
            (failure_domain != NULL &&
             strcmp(m->failure_domain, failure_domain) != 0) ||
            !ggw_capacity_is_fast(m, fastest)) {
            continue;
        }
        h = XXH64(m->name, strlen(m->name), key);
        if (best == (size_t)-1 || h > best_hash ||
            (h == best_hash && strcmp(m->name, members[best].name) < 0)) {
            best = i;
            best_hash = h;
        }
    }
    return best;
}

size_t
ggw_owner_pick(const char *team, const char *service,
               const char *failure_domain, const struct ggw_member *members,
               size_t len)
{
    uint64_t key = hash_key(team, service, failure_domain);
    size_t best = pick(key, failure_domain, members, len);

    return best != (size_t)-1 ? best : pick(key, NULL, members, len);
}
