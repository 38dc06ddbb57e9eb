#include <CUnit/CUnit.h>

#include "tests/client.h"
#include "tests/node.h"
#include "tests/suite.h"

/* A change in the store is in force at a gateway within this time, ms. */
#define APPLY_MS 2000

#define LATE_PATH "/late/"

#define RULE(name, path)                                                      \
    "{\"Name\":\"" name "\",\"RouteType\":\"idempotent\",\"Priority\":0,"     \
    "\"TargetLatencyMs\":500,\"Match\":{\"Prefix\":\"" path "\"},"            \
    "\"Action\":{\"Service\":\"s\",\"TimeoutMs\":8000,\"MaxAttempts\":2}}"
#define LISTENERS(rules)                                                      \
    "\"Listeners\":[{\"Host\":\"" NODE_HOST "\",\"Rules\":[" rules "]}]"
#define CLUSTERS                                                              \
    "\"Clusters\":[{\"Name\":\"s\",\"HealthPath\":\"/health\","               \
    "\"MaxConns\":1000,\"ColdStartS\":1,\"ColdPerS\":100}]"
#define CONFIG(version, rules)                                                \
    "{\"Version\":\"" version "\"," LISTENERS(rules) "," CLUSTERS "}"
#define WITH_LATE(version)                                                    \
    CONFIG(version, RULE("read", NODE_PATH) "," RULE("late", LATE_PATH))
#define WITHOUT_LATE(version) CONFIG(version, RULE("read", NODE_PATH))

#define REPORT(state, sequence, born)                                         \
    "{\"Service\":\"s\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"a\","         \
    "\"Version\":\"v1\",\"Slots\":64,\"State\":\"" state                      \
    "\",\"ColdLeftMs\":0,\"Sequence\":" sequence ",\"born\":" born "}"

static const struct node_options options = {
    .memory = 650, .descriptors = 4000, .body_max = 1048576};

static void
write_config(const struct node *n, const char *text)
{
    node_write_row(n, "op/config", text);
}

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

/* Guards against a configuration that goes back. */
static void
test_older_configuration_written_later(void)
{
    struct node *n = node_start(&options);

    write_config(n, WITH_LATE("0000000a"));
    CU_ASSERT_TRUE(becomes(n, LATE_PATH, 200));
    write_config(n, WITHOUT_LATE("00000009"));
    CU_ASSERT_TRUE(stays(n, LATE_PATH, 200));
    write_config(n, WITHOUT_LATE("0000000b"));
    CU_ASSERT_TRUE(becomes(n, LATE_PATH, 404));
    CU_ASSERT_TRUE(node_stop(n));
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

/* Guards against an invalid configuration that is taken. */
static void
test_invalid_configuration(void)
{
    static const char *const invalid[] = {
        "{\"Version\":\"0000000b\"," LISTENERS("") "," CLUSTERS,
        "{" LISTENERS(RULE("late", LATE_PATH)) "," CLUSTERS "}",
        "{\"Version\":\"0000000b\"," CLUSTERS "}",
        "{\"Version\":\"0000000b\"," LISTENERS(
            RULE("late", LATE_PATH)) ",\"Clusters\":[]}",
        CONFIG("0000000b", RULE("late", LATE_PATH) "," RULE("a", "/a")),
        CONFIG("0000000b", RULE("late", LATE_PATH) "," RULE("a", LATE_PATH)),
    };
    struct node *n = node_start(&options);

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        write_config(n, invalid[i]);
        CU_ASSERT_TRUE(stays(n, NODE_PATH, 200));
        CU_ASSERT_EQUAL(node_get(n, LATE_PATH), 404);
    }
    write_config(n, WITH_LATE("0000000c"));
    CU_ASSERT_TRUE(becomes(n, LATE_PATH, 200));
    CU_ASSERT_TRUE(node_stop(n));
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"older configuration written later",
         test_older_configuration_written_later},
        {"older report of a draining server",
         test_older_report_of_draining_server},
        {"invalid configuration", test_invalid_configuration},
        CU_TEST_INFO_NULL,
    };

    return suite_run("older statements", tests);
}
