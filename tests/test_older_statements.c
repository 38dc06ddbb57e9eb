#include <CUnit/CUnit.h>

#include "tests/client.h"
#include "tests/node.h"
#include "tests/suite.h"

/* A change in the store is in force at a gateway within this time, ms. */
#define APPLY_MS 2000

#define REPORT(state, sequence, born)                                         \
    "{\"Service\":\"s\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"a\","         \
    "\"Version\":\"v1\",\"Slots\":64,\"State\":\"" state                      \
    "\",\"ColdLeftMs\":0,\"Sequence\":" sequence ",\"born\":" born "}"

static const struct node_options options = {
    .memory = 650, .descriptors = 4000, .body_max = 1048576};

G_GNUC_PRINTF(2, 0)
static void
write_report(const struct node *n, const char *format)
{
    g_autofree char *text = g_strdup_printf(format, n->backend_port);

    node_write_row(n, "servers/" NODE_SERVER, text);
}

/* A status that a path has or gets. */
struct expected {
    const struct node *node;
    const char *path;
    int status;
};

static bool
has_status(void *data)
{
    const struct expected *e = data;

    return node_get(e->node, e->path) == e->status;
}

static bool
has_other_status(void *data)
{
    return !has_status(data);
}

/* Whether a path gets a status in time. */
static bool
becomes(const struct node *n, const char *path, int status)
{
    struct expected e = {n, path, status};

    return client_await(has_status, &e, APPLY_MS);
}

/* Whether a path keeps its status for longer than a change takes. */
static bool
stays(const struct node *n, const char *path, int status)
{
    struct expected e = {n, path, status};

    return !client_await(has_other_status, &e, APPLY_MS);
}

/* Guards against a draining server that gets requests again. */
static void
test_older_report_of_draining_server(void)
{
    struct node *n = node_start(&options);

    node_end_reports(n);
    write_report(n, REPORT("draining", "9", "1700"));
    CU_ASSERT_TRUE(becomes(n, NODE_PATH, 503));
    write_report(n, REPORT("ready", "8", "1700"));
    CU_ASSERT_TRUE(stays(n, NODE_PATH, 503));
    node_remove_row(n, "servers", NODE_SERVER);
    write_report(n, REPORT("ready", "8", "1700"));
    CU_ASSERT_TRUE(stays(n, NODE_PATH, 503));
    write_report(n, REPORT("ready", "1", "1701"));
    CU_ASSERT_TRUE(becomes(n, NODE_PATH, 200));
    CU_ASSERT_TRUE(node_stop(n));
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"older report of a draining server",
         test_older_report_of_draining_server},
        CU_TEST_INFO_NULL,
    };

    return suite_run("older statements", tests);
}
