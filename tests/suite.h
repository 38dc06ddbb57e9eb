#ifndef GGW_TESTS_SUITE_H
#define GGW_TESTS_SUITE_H

#include <CUnit/CUnit.h>

/* Runs one suite of tests, ended by CU_TEST_INFO_NULL; returns the exit
 * status of the program. */
int suite_run(const char *name, CU_TestInfo *tests);

#endif
