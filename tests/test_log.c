#include <CUnit/CUnit.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "common/log_writer.h"
#include "tests/suite.h"

#define RING 1000
#define LINE "0123456789012345678901234567890123456789012345678\n"

static bool
put(struct ggw_log_writer *w, enum ggw_log_weight weight)
{
    return ggw_log_writer_put(w, weight, LINE, strlen(LINE));
}

/* Guards against a log that blocks, or grows, when its reader stops. */
static void
test_reader_stops(void)
{
    struct ggw_log_writer *w;
    int fds[2];
    int accepted = 0;

    CU_ASSERT_EQUAL_FATAL(pipe(fds), 0);
    w = ggw_log_writer_new(fds[1], RING);
    /* Far more than the pipe and the ring hold; nobody reads. */
    for (int i = 0; i < 20000; i++) {
        accepted += put(w, GGW_LOG_ROUTINE);
        ggw_log_writer_flush(w);
    }
    CU_ASSERT_TRUE(accepted < 20000);
    CU_ASSERT_EQUAL(ggw_log_writer_dropped(w), (uint64_t)(20000 - accepted));
    CU_ASSERT_TRUE(put(w, GGW_LOG_IMPORTANT));
    close(fds[0]);
    ggw_log_writer_free(w);
    close(fds[1]);
}

/* Guards against lines on the routine that push out the important ones. */
static void
test_weight(void)
{
    struct ggw_log_writer *w;
    int fds[2];
    char buf[2 * RING];
    ssize_t n;
    int routine = 0;
    int important = 0;

    CU_ASSERT_EQUAL_FATAL(pipe(fds), 0);
    w = ggw_log_writer_new(fds[1], RING);
    while (put(w, GGW_LOG_ROUTINE)) {
        routine++;
    }
    while (put(w, GGW_LOG_IMPORTANT)) {
        important++;
    }
    CU_ASSERT_EQUAL(routine, 15);
    CU_ASSERT_EQUAL(important, 5);
    ggw_log_writer_flush(w);
    n = read(fds[0], buf, sizeof(buf));
    CU_ASSERT_EQUAL(n, RING);
    CU_ASSERT_TRUE(put(w, GGW_LOG_ROUTINE));
    ggw_log_writer_free(w);
    close(fds[0]);
    close(fds[1]);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"reader stops", test_reader_stops},
        {"weight", test_weight},
        CU_TEST_INFO_NULL,
    };

    signal(SIGPIPE, SIG_IGN);
    return suite_run("log", tests);
}
