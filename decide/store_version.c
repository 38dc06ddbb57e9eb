#include "decide/store_version.h"

#include <glib.h>

/* Highest era in which no version was given out twice. */
#define FIRST_ERA 1

uint64_t
ggw_store_version(uint64_t era, uint64_t counter)
{
    return (MIN(era, GGW_STORE_ERA_MAX) << GGW_STORE_COUNTER_BITS) |
           MIN(counter, GGW_STORE_COUNTER_MAX);
}

uint64_t
ggw_store_version_era(uint64_t version)
{
    return version >> GGW_STORE_COUNTER_BITS;
}

uint64_t
ggw_store_version_counter(uint64_t version)
{
    return version & GGW_STORE_COUNTER_MAX;
}

uint64_t
ggw_store_version_in_era(uint64_t version, uint64_t era)
{
    return ggw_store_version(era, ggw_store_version_counter(version));
}

uint64_t
ggw_store_version_revision(uint64_t version, uint64_t last)
{
    uint64_t counter = ggw_store_version_counter(version);
    bool bare = ggw_store_version_era(version) <= FIRST_ERA && counter >= last;

    return bare ? counter : version;
}

enum ggw_store_answer
ggw_store_version_judge(uint64_t known_era, uint64_t copy, uint64_t answer)
{
    uint64_t copy_era = ggw_store_version_era(copy);
    uint64_t answer_era = ggw_store_version_era(answer);

    if (answer_era < MAX(known_era, copy_era)) {
        return GGW_STORE_ANSWER_IMPAIRED;
    }
    if (copy == 0) {
        return known_era > 0 && answer_era > known_era
                   ? GGW_STORE_ANSWER_RETURNED
                   : GGW_STORE_ANSWER_SAME;
    }
    if (answer_era == copy_era) {
        return answer < copy ? GGW_STORE_ANSWER_OLDER : GGW_STORE_ANSWER_SAME;
    }
    return copy_era == 0 && ggw_store_version_counter(answer) >= copy
               ? GGW_STORE_ANSWER_SAME
               : GGW_STORE_ANSWER_RETURNED;
}
