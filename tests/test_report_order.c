#include <CUnit/CUnit.h>

#include "decide/report_order.h"
#include "tests/suite.h"

/*
 * Guards against an older report of a server that replaces a newer one, and
 * against a new process whose reports are refused.
 */
static void
test_reports(void)
{
    static const struct {
        struct ggw_report known, offered;
        enum ggw_report_verdict verdict;
    } cases[] = {
        {{1700, 5, true}, {1700, 4, true}, GGW_REPORT_OLDER},
        {{1700, 5, true}, {1700, 0, true}, GGW_REPORT_OLDER},
        {{1700, 5, true}, {1700, 5, true}, GGW_REPORT_TAKE},
        {{1700, 5, true}, {1700, 6, true}, GGW_REPORT_TAKE},
        {{1700, 5, true}, {1701, 1, true}, GGW_REPORT_TAKE},
        {{1700, 5, true}, {1699, 9, true}, GGW_REPORT_EARLIER_START},
        {{1700, 5, true}, {0, 4, false}, GGW_REPORT_TAKE},
        {{1700, 0, false}, {1699, 4, true}, GGW_REPORT_TAKE},
    };
    const struct ggw_report first = {1700, 1, true};

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        CU_ASSERT_EQUAL(ggw_report_decide(&cases[i].known, &cases[i].offered),
                        cases[i].verdict);
    }
    CU_ASSERT_EQUAL(ggw_report_decide(NULL, &first), GGW_REPORT_TAKE);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"reports", test_reports},
        CU_TEST_INFO_NULL,
    };

    return suite_run("report_order", tests);
}
