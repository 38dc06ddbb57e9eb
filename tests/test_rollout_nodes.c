#include <CUnit/CUnit.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/client.h"
#include "tests/platform_process.h"
#include "tests/suite.h"

/*
 * Processes of "greengageway node" and the stand-in of the users' store: an
 * operator's order is read, its state is written, and the state outlives the
 * gateway that decides.
 */

#define NODES 3
#define SERVICE "orders"

/* Time limits of a step, ms. A sanitizer build starts slowly on a busy
 * machine. */
#define START_MS 15000
#define DECIDE_MS 8000

/* Duration of the order, s; the switch is due after 65 % of it. */
#define ORDER_S "6"
#define POLL_MS 50

/* Ports of each node on an address of its own. */
#define FRONT_PORT 8381
#define CONTROL_PORT 8382
#define DIRECTORY_PORT 8383
#define READY_PORT 8388
#define PEER_PORT 7200

static const char settings_format[] =
    "{\"NodeName\":\"gw-%d\",\"Zone\":\"z-%d\",\"Ip\":\"%s\","
    "\"InternalPorts\":[%d,%d],\"Seeds\":[\"%s.1:%d\",\"%s.2:%d\"],"
    "\"Listen\":{\"Front\":\"%s:%d\",\"Ready\":\"%s:%d\","
    "\"Control\":\"%s:%d\",\"Directory\":\"%s:%d\"},"
    "\"Contracts\":[\"base\",\"rollout\"],"
    "\"Platform\":{\"Address\":\"127.0.0.1:%d\"},\"Bounds\":{\"GraceS\":2,"
    "\"RetryRatio\":0.2,\"RetryWindowS\":10,\"RetrySlack\":10,"
    "\"ExposureShare\":0.1,\"ExposureSlack\":50,\"RollbackMs\":5000,"
    "\"ttl_max_s\":5,\"ProbesPerS\":60}}\n";

/**
 * struct world - the processes
 * @prefix: first three numbers of the nodes' addresses
 * @pids: of the nodes; 0 for one that was killed
 * @dir: folder with the settings files
 */
struct world {
    struct platform_process store;
    char *prefix;
    GPid pids[NODES];
    char *dir;
};

static void
die_with_parent(void *data)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static char *
node_host(const struct world *w, int i)
{
    return g_strdup_printf("%s.%d", w->prefix, i + 1);
}

static char *
write_settings(struct world *w, int i)
{
    g_autofree char *host = node_host(w, i);
    g_autofree char *text = g_strdup_printf(
        settings_format, i, i, host, PEER_PORT, PEER_PORT + 15, w->prefix,
        CONTROL_PORT, w->prefix, CONTROL_PORT, host, FRONT_PORT, host,
        READY_PORT, host, CONTROL_PORT, host, DIRECTORY_PORT, w->store.port);
    char *path = g_strdup_printf("%s/gw-%d.json", w->dir, i);

    CU_ASSERT_TRUE_FATAL(g_file_set_contents(path, text, -1, NULL));
    return path;
}

static char *
binary_path(void)
{
    const char *build = g_getenv("GGW_BUILD");

    return g_strdup_printf("%s/greengageway",
                           build != NULL ? build : "build/asan");
}

static void
start_node(struct world *w, int i)
{
    g_autofree char *path = binary_path();
    g_autofree char *settings = write_settings(w, i);
    char *argv[] = {path, (char *)"node", (char *)"--settings", settings,
                    NULL};
    GSpawnFlags flags = G_SPAWN_DO_NOT_REAP_CHILD;

    if (g_getenv("VERBOSE") == NULL) {
        flags |= G_SPAWN_STDOUT_TO_DEV_NULL;
    }
    CU_ASSERT_TRUE_FATAL(g_spawn_async(
        NULL, argv, NULL, flags, die_with_parent, NULL, &w->pids[i], NULL));
}

/* Writes a row; the value is JSON. */
static void
put_row(struct world *w, const char *table, const char *key, const char *value)
{
    g_autofree char *base64 =
        g_base64_encode((const guchar *)value, strlen(value));
    g_autofree char *body = g_strdup_printf(
        "{\"Expected\":[],\"Put\":[{\"Table\":\"%s\",\"part\":\"\","
        "\"Key\":\"%s\",\"Value\":\"%s\"}],\"Remove\":[]}",
        table, key, base64);

    g_free(http_exchange(w->store.port, "POST", "/v1/rows-tx", body));
}

/* Returns the value of the only row of a table, or NULL. */
static char *
get_row(struct world *w, const char *table)
{
    g_autofree char *path =
        g_strdup_printf("/v1/rows-get?Table=%s&part=&Limit=5", table);
    g_autofree char *body = http_exchange(w->store.port, "GET", path, "");
    json_t *root = json_loads(body, 0, NULL);
    const char *base64 = json_string_value(json_object_get(
        json_array_get(json_object_get(root, "Rows"), 0), "Value"));
    gsize len = 0;
    guchar *bytes = base64 != NULL ? g_base64_decode(base64, &len) : NULL;
    char *text = bytes != NULL ? g_strndup((char *)bytes, len) : NULL;

    g_free(bytes);
    json_decref(root);
    return text;
}

/* Waits until the row of a table contains @part. */
static bool
wait_for_row(struct world *w, const char *table, const char *part, int limit)
{
    for (int ms = 0; ms < limit; ms += POLL_MS) {
        g_autofree char *text = get_row(w, table);

        if (text != NULL && strstr(text, part) != NULL) {
            return true;
        }
        g_usleep(POLL_MS * 1000);
    }
    return false;
}

/* Runs the verb "rollouts" at a node; returns what it prints. */
static char *
run_verb(struct world *w, int i)
{
    g_autofree char *path = binary_path();
    g_autofree char *gateway =
        g_strdup_printf("%s.%d:%d", w->prefix, i + 1, CONTROL_PORT);
    char *argv[] = {path, (char *)"rollouts", (char *)"--gateway", gateway,
                    NULL};
    char *out = NULL;
    int status = -1;

    CU_ASSERT_TRUE(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
                                &out, NULL, &status, NULL));
    CU_ASSERT_EQUAL(status, 0);
    return out;
}

static void
kill_node(struct world *w, int i, int number)
{
    int status;

    kill(w->pids[i], number);
    waitpid(w->pids[i], &status, 0);
    g_spawn_close_pid(w->pids[i]);
    w->pids[i] = 0;
    if (number == SIGTERM) {
        CU_ASSERT_EQUAL(status, 0);
    }
}

static void
world_init(struct world *w)
{
    static const char config[] =
        "{\"Version\":\"00000001\",\"Limits\":{\"MaxHeaderBytes\":16384,"
        "\"MaxBodyBytes\":1048576,\"HeaderTimeoutMs\":3000,"
        "\"IdleTimeoutMs\":15000},\"Listeners\":[{\"Host\":\"h\",\"Rules\":["
        "{\"Name\":\"r\",\"RouteType\":\"idempotent\",\"Priority\":1,"
        "\"TargetLatencyMs\":300,\"Match\":{\"Prefix\":\"/\"},"
        "\"Action\":{\"Service\":\"" SERVICE "\",\"TimeoutMs\":1000,"
        "\"MaxAttempts\":2}}]}],\"Clusters\":[{\"Name\":\"" SERVICE "\"}]}";

    platform_process_start(&w->store, NULL);
    w->prefix = g_strdup_printf("127.41.%d", (int)(getpid() % 250));
    w->dir = g_dir_make_tmp("ggw-rollout-XXXXXX", NULL);
    put_row(w, "op", "config", config);
    for (int i = 0; i < NODES; i++) {
        g_autofree char *key = g_strdup_printf("i-%d", i);
        g_autofree char *entry = g_strdup_printf(
            "{\"Service\":\"" SERVICE "\",\"Address\":\"127.0.0.1:%d\","
            "\"Zone\":\"z-%d\",\"Version\":\"v1\",\"Slots\":4,"
            "\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":1}",
            10 + i, i);

        put_row(w, "servers", key, entry);
    }
    for (int i = 0; i < NODES; i++) {
        start_node(w, i);
    }
}

static void
world_clear(struct world *w)
{
    for (int i = 0; i < NODES; i++) {
        g_autofree char *settings =
            g_strdup_printf("%s/gw-%d.json", w->dir, i);

        if (w->pids[i] != 0) {
            kill_node(w, i, SIGTERM);
        }
        g_unlink(settings);
    }
    g_rmdir(w->dir);
    g_free(w->dir);
    g_free(w->prefix);
    CU_ASSERT_EQUAL(platform_process_stop(&w->store), 0);
}

/* Index of the node that says that it decides; -1 if none does. */
static int
find_decider(struct world *w)
{
    for (int i = 0; i < NODES; i++) {
        g_autofree char *address =
            g_strdup_printf("%s.%d:%d", w->prefix, i + 1, CONTROL_PORT);
        struct reply *r;
        bool decides;

        if (w->pids[i] == 0) {
            continue;
        }
        r = client_request(address, "GET", "/-/status", NULL, NULL);
        decides = g_strstr_len((const char *)r->body->data, r->body->len,
                               "\"decider\":true") != NULL;
        reply_free(r);
        if (decides) {
            return i;
        }
    }
    return -1;
}

/*
 * Guards against an order that no process reads, a state that is not written,
 * and a roll-out that ends with the process that decides on it.
 */
static void
test_order(void)
{
    struct world w = {0};
    g_autofree char *out = NULL;
    int decider;

    world_init(&w);
    CU_ASSERT_TRUE(wait_for_row(&w, "greengageway", "\"v1\"", START_MS));
    put_row(&w, "op", "rollout/" SERVICE,
            "{\"Service\":\"" SERVICE "\",\"Target\":\"v2\","
            "\"DurationS\":" ORDER_S "}");
    CU_ASSERT_TRUE(wait_for_row(&w, "status", "\"running\"", DECIDE_MS));
    CU_ASSERT_TRUE(wait_for_row(&w, "greengageway", "\"trial\"", DECIDE_MS));
    decider = find_decider(&w);
    CU_ASSERT_FATAL(decider >= 0);
    kill_node(&w, decider, SIGKILL);
    CU_ASSERT_TRUE(wait_for_row(&w, "status", "\"rolled_back\"", DECIDE_MS));
    out = run_verb(&w, (decider + 1) % NODES);
    CU_ASSERT_PTR_NOT_NULL(strstr(out, "rolled back"));
    CU_ASSERT_PTR_NOT_NULL(strstr(out, "no server of the version"));
    world_clear(&w);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"order, with the decider killed", test_order},
        CU_TEST_INFO_NULL,
    };

    return suite_run("rollout nodes", tests);
}
