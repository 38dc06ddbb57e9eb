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

/* Guards against a version that is read as another one. */
static void
test_version_texts(void)
{
    static const struct {
        const char *text;
        bool ok;
        uint64_t version;
    } cases[] = {
        {"0000000c", true, 12},
        {"0000000C", true, 12},
        {"ffffffff", true, UINT32_MAX},
        {"ffffffffffffffff", true, UINT64_MAX},
        {"7", true, 7},
        {"", false, 0},
        {"0x000007", false, 0},
        {" 0000007", false, 0},
        {"0000000g", false, 0},
        {"-0000007", false, 0},
        {"00000000000000007", false, 0},
        {NULL, false, 0},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        uint64_t version = 0;
        bool ok = ggw_config_version_parse(cases[i].text, &version);

        CU_ASSERT_EQUAL(ok, cases[i].ok);
        CU_ASSERT_TRUE(!ok || version == cases[i].version);
    }
}

/* Guards against a configuration that goes back, and one that stays. */
static void
test_versions(void)
{
    const uint64_t in_force = 12;

    CU_ASSERT_TRUE(ggw_config_version_decide(NULL, 0));
    CU_ASSERT_TRUE(ggw_config_version_decide(&in_force, 13));
    CU_ASSERT_TRUE(ggw_config_version_decide(&in_force, 12));
    CU_ASSERT_FALSE(ggw_config_version_decide(&in_force, 11));
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"reports", test_reports},
        {"texts of versions", test_version_texts},
        {"versions", test_versions},
        CU_TEST_INFO_NULL,
    };

    return suite_run("report_order", tests);
}
