#include "decide/report_order.h"

#include <glib.h>
#include <stddef.h>
#include <string.h>

/* Digits of a version of 64 bits. */
#define MAX_VERSION_DIGITS 16

enum ggw_report_verdict
ggw_report_decide(const struct ggw_report *known,
                  const struct ggw_report *offered)
{
    if (known == NULL || !known->ordered || !offered->ordered ||
        offered->incarnation > known->incarnation) {
        return GGW_REPORT_TAKE;
    }
    if (offered->incarnation < known->incarnation) {
        return GGW_REPORT_EARLIER_START;
    }
    return offered->sequence < known->sequence ? GGW_REPORT_OLDER
                                               : GGW_REPORT_TAKE;
}

bool
ggw_config_version_parse(const char *text, uint64_t *version)
{
    size_t len = text != NULL ? strlen(text) : 0;

    if (len == 0 || len > MAX_VERSION_DIGITS) {
        return false;
    }
    *version = 0;
    for (size_t i = 0; i < len; i++) {
        if (!g_ascii_isxdigit(text[i])) {
            return false;
        }
        *version = *version << 4 | (uint64_t)g_ascii_xdigit_value(text[i]);
    }
    return true;
}

bool
ggw_config_version_decide(const uint64_t *in_force, uint64_t offered)
{
    return in_force == NULL || offered >= *in_force;
}
