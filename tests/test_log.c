#include <CUnit/CUnit.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "common/log_writer.h"
#include "tests/suite.h"

#define BUFFER_BYTES 1000
#define LINE "0123456789012345678901234567890123456789012345678\n"

static bool
put(struct ggw_log_writer *w, enum ggw_log_importance importance)
{
    return ggw_log_writer_put(w, importance, LINE, strlen(LINE));
}

/*
 * Guards against a log writer that blocks or uses more and more memory when
 * the reader of its pipe stalls.
 */
static void
test_reader_stalls(void)
{
    struct ggw_log_writer *w;
    int fds[2];
    int accepted = 0;

    CU_ASSERT_EQUAL_FATAL(pipe(fds), 0);
    w = ggw_log_writer_new(fds[1], BUFFER_BYTES);
    /* Far more lines than fit into the pipe and the ring buffer together. */
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

/*
 * Guards against routine lines that fill the whole ring buffer, so that
 * important lines are dropped.
 */
static void
test_importance(void)
{
    struct ggw_log_writer *w;
    int fds[2];
    char buf[2 * BUFFER_BYTES];
    ssize_t n;
    int routine = 0;
    int important = 0;

    CU_ASSERT_EQUAL_FATAL(pipe(fds), 0);
    w = ggw_log_writer_new(fds[1], BUFFER_BYTES);
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
    CU_ASSERT_EQUAL(n, BUFFER_BYTES);
    CU_ASSERT_TRUE(put(w, GGW_LOG_ROUTINE));
    ggw_log_writer_free(w);
    close(fds[0]);
    close(fds[1]);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"reader stalls", test_reader_stalls},
        {"importance", test_importance},
        CU_TEST_INFO_NULL,
    };

    signal(SIGPIPE, SIG_IGN);
    return suite_run("log", tests);
}
