#ifndef GGW_DECIDE_STORE_VERSION_H
#define GGW_DECIDE_STORE_VERSION_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Order of the versions of the platform's store
 *
 * A store that returns from an older copy gives versions out again. Its era
 * then rises by one. A version is therefore known by its era and its counter,
 * which are packed into one number that orders by era, then by counter: era 0
 * is an era that is not known. Versions of two eras are never compared by
 * their counters alone.
 */

/* The highest order of a roll-out, times its stages, fits into 63 bits. */
#define GGW_STORE_ERA_BITS 12
#define GGW_STORE_COUNTER_BITS 48

#define GGW_STORE_ERA_MAX ((1U << GGW_STORE_ERA_BITS) - 1)
#define GGW_STORE_COUNTER_MAX ((UINT64_C(1) << GGW_STORE_COUNTER_BITS) - 1)

/**
 * ggw_store_version() - pack an era and a counter
 *
 * Values above the maxima, which no sound store has, become the maxima.
 */
uint64_t ggw_store_version(uint64_t era, uint64_t counter);

/* Parts of a packed version. */
uint64_t ggw_store_version_era(uint64_t version);
uint64_t ggw_store_version_counter(uint64_t version);

/**
 * ggw_store_version_in_era() - replace the era of a version
 */
uint64_t ggw_store_version_in_era(uint64_t version, uint64_t era);

/**
 * ggw_store_version_revision() - number of the settings of a version
 * @last: number of the settings before; 0 if there are none
 *
 * Before the first return, when the era is unknown or 1, it is the counter
 * alone, as for gateways of earlier versions, which know no eras.
 */
uint64_t ggw_store_version_revision(uint64_t version, uint64_t last);

/**
 * enum ggw_store_answer - what an answer of the store means for a copy
 * @GGW_STORE_ANSWER_SAME: it is of the era of the copy
 * @GGW_STORE_ANSWER_OLDER: it is of that era and older than the copy
 * @GGW_STORE_ANSWER_RETURNED: the store has returned; all rows must be read
 * @GGW_STORE_ANSWER_IMPAIRED: it is of an earlier era, or of none
 */
enum ggw_store_answer {
    GGW_STORE_ANSWER_SAME,
    GGW_STORE_ANSWER_OLDER,
    GGW_STORE_ANSWER_RETURNED,
    GGW_STORE_ANSWER_IMPAIRED,
};

/**
 * ggw_store_version_judge() - decide what an answer means for a copy
 * @known_era: highest era that the gateway has learned of; 0: none
 * @copy: version of the copy; 0: there is none
 * @answer: version of the answer
 *
 * A copy of an unknown era takes over that of the first answer which is not
 * older.
 */
enum ggw_store_answer ggw_store_version_judge(uint64_t known_era,
                                              uint64_t copy, uint64_t answer);

#endif
