#include <CUnit/CUnit.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include "common/log.h"
#include "common/metrics.h"
#include "tests/slots_driver.h"
#include "tests/suite.h"

/* Events that the service "slots" logs. */

#define LEAVING_SERVER "s-0"
#define PAUSING_SERVER "s-1"
#define REQUEST "request-17"
#define PAUSE 30000.0
#define LONGER_PAUSE 50000.0

/* Time in ms in which a gateway has handled a notice. */
#define HANDLED_MS 50

/* Size of the log that a test reads, bytes. */
#define LOG_BYTES 65536

/* Tells a gateway what a response to REQUEST has said. */
static void
tell(struct cluster *c, const char *server, bool leaving, ggw_ms pause)
{
    struct ggw_backoff_notice notice = {.leaving = leaving, .pause = pause};
    struct node *n = &c->nodes[0];

    ggw_kernel_send(n->kernel, "slots", &n->client->base,
                    ggw_server_notice_new(server, &notice, 0, REQUEST));
    slots_drive_for(c, HANDLED_MS);
}

/* Lines of the type "backoff" in a log, without what is before it. */
static GPtrArray *
backoff_lines(const char *log)
{
    GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
    g_auto(GStrv) all = g_strsplit(log, "\n", -1);

    for (char **l = all; *l != NULL; l++) {
        const char *event = strstr(*l, "event=backoff ");

        if (event != NULL) {
            g_ptr_array_add(lines, g_strdup(event));
        }
    }
    return lines;
}

static void
play_notices(struct cluster *c)
{
    tell(c, LEAVING_SERVER, true, 0);
    tell(c, LEAVING_SERVER, true, 0);
    tell(c, PAUSING_SERVER, false, PAUSE);
    tell(c, PAUSING_SERVER, false, PAUSE / 2);
    tell(c, PAUSING_SERVER, false, LONGER_PAUSE);
}

/* Plays the notices with standard output in a file; returns the lines. */
static GPtrArray *
log_of_notices(void)
{
    g_autofree char *text = g_malloc0(LOG_BYTES);
    struct cluster *c = slots_cluster(1, 2, false);
    int file = memfd_create("log", MFD_CLOEXEC);
    int out = dup(STDOUT_FILENO);

    fflush(stdout);
    dup2(file, STDOUT_FILENO);
    CU_ASSERT_TRUE(ggw_log_init("info", NULL));
    play_notices(c);
    ggw_log_fini();
    dup2(out, STDOUT_FILENO);
    CU_ASSERT_TRUE(pread(file, text, LOG_BYTES - 1, 0) >= 0);
    close(out);
    close(file);
    slots_cluster_free(c);
    return backoff_lines(text);
}

static void
expect_line(const GPtrArray *lines, guint i, const char *pattern)
{
    const char *line =
        i < lines->len ? (const char *)g_ptr_array_index(lines, i) : "";

    CU_ASSERT_TRUE(g_regex_match_simple(pattern, line, 0, 0));
    if (!g_regex_match_simple(pattern, line, 0, 0)) {
        printf("line %u: %s\n", i, line);
    }
}

/*
 * Guards against a log that does not say which request's response told that a
 * server wants no requests, or says it once more for each such response.
 */
static void
test_backoff(void)
{
    g_autoptr(GPtrArray) lines = log_of_notices();

    CU_ASSERT_EQUAL(lines->len, 3);
    expect_line(lines, 0,
                "server=" LEAVING_SERVER " state=leaving left=0 "
                "source=" REQUEST "$");
    expect_line(lines, 1,
                "server=" PAUSING_SERVER " state=paused "
                "left=(30000|29[0-9]{3}) source=" REQUEST "$");
    expect_line(lines, 2,
                "server=" PAUSING_SERVER " state=paused "
                "left=(50000|49[0-9]{3}) source=" REQUEST "$");
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"backoff", test_backoff},
        CU_TEST_INFO_NULL,
    };
    int status = suite_run("slots_events", tests);

    ggw_metrics_fini();
    return status;
}
