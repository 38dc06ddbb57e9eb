#ifndef GGW_DECIDE_REPORT_ORDER_H
#define GGW_DECIDE_REPORT_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Order of the reports of one backend server and of the versions of a
 *      configuration
 *
 * A write that was delayed, or a store that returned from an older copy, puts
 * an older statement behind a newer one. The store's versions do not show
 * that, only the counters of those who wrote them.
 */

/**
 * struct ggw_report - position of a report among those of its server
 * @incarnation: grows with every start of the server; 0: unknown
 * @sequence: grows with every report of one incarnation
 * @ordered: both are known
 */
struct ggw_report {
    uint64_t incarnation;
    uint64_t sequence;
    bool ordered;
};

/**
 * enum ggw_report_verdict - decision on a report
 * @GGW_REPORT_TAKE: it is not known to be older
 * @GGW_REPORT_OLDER: the same process wrote it before the known one
 * @GGW_REPORT_EARLIER_START: a process that started before the one that wrote
 *                            the known report wrote it, or the clock of its
 *                            machine went back
 */
enum ggw_report_verdict {
    GGW_REPORT_TAKE,
    GGW_REPORT_OLDER,
    GGW_REPORT_EARLIER_START,
};

/**
 * ggw_report_decide() - compare a report with the last one that was taken
 * @known: the last one, or NULL
 */
enum ggw_report_verdict ggw_report_decide(const struct ggw_report *known,
                                          const struct ggw_report *offered);

/**
 * ggw_config_version_parse() - read an operator's version
 * @text: hexadecimal digits, at most 16; or NULL
 *
 * Return: false when @text is not a version.
 */
bool ggw_config_version_parse(const char *text, uint64_t *version);

/**
 * ggw_config_version_decide() - whether a configuration replaces the one in
 *                               force
 * @in_force: version in force, or NULL if there is none
 * @offered: its own version; an equal one replaces it
 */
bool ggw_config_version_decide(const uint64_t *in_force, uint64_t offered);

#endif
