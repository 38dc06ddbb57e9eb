#include "tests/suite.h"

#include <CUnit/Basic.h>

int
suite_run(const char *name, CU_TestInfo *tests)
{
    CU_SuiteInfo suites[] = {
        {name, NULL, NULL, NULL, NULL, tests},
        CU_SUITE_INFO_NULL,
    };
    unsigned failures;

    if (CU_initialize_registry() != CUE_SUCCESS ||
        CU_register_suites(suites) != CUE_SUCCESS) {
        return 1;
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? 0 : 1;
}
