#include "decide/report_order.h"

#include <stddef.h>

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
