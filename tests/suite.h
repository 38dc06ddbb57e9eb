#ifndef GGW_TESTS_SUITE_H
#define GGW_TESTS_SUITE_H

#include <CUnit/CUnit.h>

/**
 * suite_run() - run one suite of tests verbosely
 * @name: name of the suite
 * @tests: array of tests, terminated by CU_TEST_INFO_NULL
 *
 * Return: exit status of the program; 0 when all assertions passed.
 */
int suite_run(const char *name, CU_TestInfo *tests);

#endif
