#include <CUnit/CUnit.h>

#include "decide/promise.h"
#include "tests/suite.h"

#define NONE GGW_STAGE_NONE
#define UNSENT GGW_STAGE_UNSENT
#define SENT GGW_STAGE_SENT
#define SHED GGW_STAGE_SHED

/*
 * Guards against a promise "not run" for a request of which any attempt,
 * ended or in progress, may have run.
 */
static void
test_known_outcome(void)
{
    static const struct {
        bool ended_unknown;
        enum ggw_attempt_stage stages[2];
        enum ggw_outcome outcome;
    } cases[] = {
        {false, {NONE, NONE}, GGW_OUTCOME_NOT_RUN},
        {false, {UNSENT, NONE}, GGW_OUTCOME_NOT_RUN},
        {false, {SHED, NONE}, GGW_OUTCOME_NOT_RUN},
        {false, {SHED, UNSENT}, GGW_OUTCOME_NOT_RUN},
        {false, {SENT, NONE}, GGW_OUTCOME_UNKNOWN},
        {false, {NONE, SENT}, GGW_OUTCOME_UNKNOWN},
        {false, {SHED, SENT}, GGW_OUTCOME_UNKNOWN},
        {false, {UNSENT, SENT}, GGW_OUTCOME_UNKNOWN},
        {true, {NONE, NONE}, GGW_OUTCOME_UNKNOWN},
        {true, {SHED, UNSENT}, GGW_OUTCOME_UNKNOWN},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        CU_ASSERT_EQUAL(
            ggw_known_outcome(cases[i].ended_unknown, cases[i].stages, 2),
            cases[i].outcome);
    }
}

/* Guards against a status that promises more than is known. */
static void
test_refusal_status(void)
{
    static const int promises[] = {408, 421, 429, 503};

    for (size_t i = 0; i < sizeof(promises) / sizeof(promises[0]); i++) {
        CU_ASSERT_TRUE(ggw_status_promises_not_run(promises[i]));
    }
    CU_ASSERT_TRUE(
        ggw_status_promises_not_run(ggw_refusal_status(GGW_OUTCOME_NOT_RUN)));
    CU_ASSERT_FALSE(
        ggw_status_promises_not_run(ggw_refusal_status(GGW_OUTCOME_UNKNOWN)));
    CU_ASSERT_FALSE(
        ggw_status_promises_not_run(ggw_refusal_status(GGW_OUTCOME_DONE)));
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"known outcome", test_known_outcome},
        {"refusal status", test_refusal_status},
        CU_TEST_INFO_NULL,
    };

    return suite_run("promise", tests);
}
