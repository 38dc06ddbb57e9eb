#include "tests/crowd_cases.h"
#include "tests/suite.h"

/* Guards against the same crowds at a listener of pages. */
static void
check_page_door(enum crowd_door door)
{
    check_crowd(crowd_large_chunks(), door);
    check_crowd(crowd_small_chunks(), door);
    check_crowd(crowd_sent_over(), door);
    check_crowd(crowd_headers(), door);
    check_crowd(crowd_silent(), door);
}

static void
test_directory(void)
{
    check_page_door(DOOR_DIRECTORY);
}

static void
test_ready(void)
{
    check_page_door(DOOR_READY);
}

static void
test_control(void)
{
    check_page_door(DOOR_CONTROL);
}

/* Guards against connections that are no gateways at the port for gateways. */
static void
test_peers(void)
{
    check_crowd(crowd_silent(), DOOR_PEERS);
    check_crowd(crowd_frames(), DOOR_PEERS);
    check_crowd(crowd_large_chunks(), DOOR_PEERS);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"directory", test_directory},
        {"readiness", test_ready},
        {"control", test_control},
        {"port for gateways", test_peers},
        CU_TEST_INFO_NULL,
    };
    int status;

    crowd_make_texts();
    status = suite_run("crowds at the other ports", tests);
    crowd_free_texts();
    return status;
}
