#include "tests/crowd_cases.h"
#include "tests/suite.h"

/* Guards against unfinished bodies in large chunks that fill the memory. */
static void
test_large_chunks(void)
{
    check_crowd(crowd_large_chunks(), DOOR_FRONT);
}

/* The same in chunks of a byte. */
static void
test_small_chunks(void)
{
    check_crowd(crowd_small_chunks(), DOOR_FRONT);
}

/* The same with an announced length. */
static void
test_announced(void)
{
    check_crowd(crowd_announced(), DOOR_FRONT);
}

/* Guards against announced bodies far over the limit that are read. */
static void
test_announced_over(void)
{
    check_crowd(crowd_announced_over(), DOOR_FRONT);
}

/* Guards against bodies far over the limit that are kept. */
static void
test_sent_over(void)
{
    check_crowd(crowd_sent_over(), DOOR_FRONT);
}

/* Guards against whole requests that fill the memory while others are
 * answered, and their responses while nobody reads them. */
static void
test_pipelined(void)
{
    check_crowd(crowd_pipelined(), DOOR_FRONT);
}

/* Guards against responses that fill the memory while nobody reads them. */
static void
test_slow_readers(void)
{
    check_crowd(crowd_slow_readers(), DOOR_FRONT);
}

/* Guards against parts of a request without an end that are kept. */
static void
test_endless(void)
{
    check_crowd(crowd_extensions(), DOOR_FRONT);
    check_crowd(crowd_headers(), DOOR_FRONT);
    check_crowd(crowd_trailers(), DOOR_FRONT);
}

/* Guards against connections that take all descriptors. */
static void
test_connections(void)
{
    check_crowd(crowd_slow_heads(), DOOR_FRONT);
    check_crowd(crowd_silent(), DOOR_FRONT);
}

/* Guards against limits that hold for one crowd and not for several. */
static void
test_together(void)
{
    struct crowd crowds[CROWDS] = {
        crowd_large_chunks(), crowd_pipelined(), crowd_slow_readers(),
        crowd_large_chunks(), crowd_silent(),    crowd_frames(),
    };
    const enum crowd_door doors[CROWDS] = {DOOR_FRONT,     DOOR_FRONT,
                                           DOOR_FRONT,     DOOR_CONTROL,
                                           DOOR_DIRECTORY, DOOR_PEERS};

    check_crowds(crowds, doors, CROWDS);
}

/* Guards against a body within the configuration's limit that is refused. */
static void
test_single(void)
{
    const struct node_options options = {MEMORY_MIB, DESCRIPTORS, BODY_MAX};
    struct node *n = node_start(&options);

    CU_ASSERT_EQUAL(node_post(n, BODY_MAX / 4), 200);
    CU_ASSERT_EQUAL(node_post(n, BODY_MAX), 200);
    CU_ASSERT_EQUAL(node_post(n, BODY_MAX + 1), 413);
    CU_ASSERT_TRUE(node_resident_peak(n) < MEMORY_BYTES);
    CU_ASSERT_TRUE(node_stop(n));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"single request", test_single},
        {"large chunks", test_large_chunks},
        {"small chunks", test_small_chunks},
        {"announced", test_announced},
        {"announced over the limit", test_announced_over},
        {"sent over the limit", test_sent_over},
        {"pipelined", test_pipelined},
        {"slow readers", test_slow_readers},
        {"endless parts", test_endless},
        {"connections", test_connections},
        {"together", test_together},
        CU_TEST_INFO_NULL,
    };
    int status;

    crowd_make_texts();
    status = suite_run("crowds at the port for clients", tests);
    crowd_free_texts();
    return status;
}
