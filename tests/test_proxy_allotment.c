#include <CUnit/CUnit.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/metrics.h"
#include "config/tree.h"
#include "tests/proxy_env.h"
#include "tests/suite.h"

/* Requests of a customer with a rate. */

#define REQUEST                                                               \
    "GET /any HTTP/1.1\r\nHost: limited.example\r\nX-Key: key-of-acme\r\n"

static const char settings[] =
    "{\"customers\":{\"acme\":{\"keys\":[\"key-of-acme\"],\"rate\":5,"
    "\"burst\":5},\"free\":{\"keys\":[\"key-of-free\"]}},"
    "\"services\":{\"svc\":{\"slots\":2,\"connections\":8}},"
    "\"routes\":{\"limited\":{\"host\":\"limited.example\","
    "\"services\":{\"svc\":1},\"timeout_ms\":300,\"attempts\":2}}}";

static struct env *
start(void)
{
    struct env *env = env_start_like_site(1000, 100, 1000);
    GError *error = NULL;
    struct ggw_tree *tree = ggw_tree_parse("other", 1, settings, &error);

    if (tree == NULL) {
        abort(); /* the settings above are malformed */
    }
    tree->services[0].retry_percent = 100;
    env_publish(env, ggw_config_in_force_new(tree));
    ggw_tree_unref(tree);
    return env;
}

/*
 * Guards against a request over the allotment that runs, that is refused as if
 * it might have run, or whose client is not told when to return.
 */
static void
test_over(void)
{
    struct env *env = start();
    GString *r;

    env->allotments_mode = ENV_PERMIT_NOT;
    CU_ASSERT_TRUE(
        env_expect(env, REQUEST "\r\n", 429, "not-run", "allotment"));
    r = env_ask(env, REQUEST "Connection: close\r\n\r\n");
    CU_ASSERT_EQUAL(env_status(r), 429);
    CU_ASSERT_PTR_NOT_NULL(env_header(r, "Retry-After"));
    g_string_free(r, TRUE);
    CU_ASSERT_EQUAL(env->slot_requests, 0);
    CU_ASSERT_EQUAL(env->permissions_returned, 0);
    env_stop(env);
}

/* Guards against a request that uses two tokens since it is sent twice. */
static void
test_one_permission(void)
{
    struct env *env = start();

    env->servers[0].script = SCRIPT_SHED;
    CU_ASSERT_TRUE(env_expect(env, REQUEST "\r\n", 200, "done", ""));
    CU_ASSERT_EQUAL(env->slot_requests, 2);
    CU_ASSERT_EQUAL(env->permissions_asked, 1);
    CU_ASSERT_EQUAL(env->permissions_returned, 0);
    env_stop(env);
}

/* Guards against a limit for a customer that has none. */
static void
test_no_rate(void)
{
    struct env *env = start();

    env->allotments_mode = ENV_PERMIT_NOT;
    CU_ASSERT_TRUE(env_expect(env,
                              "GET /any HTTP/1.1\r\nHost: limited.example\r\n"
                              "X-Key: key-of-free\r\n\r\n",
                              200, "done", ""));
    CU_ASSERT_EQUAL(env->permissions_asked, 0);
    env_stop(env);
}

/* Guards against the loss of a token when no slot is free. */
static void
test_no_slot(void)
{
    struct env *env = start();

    env->slots_mode = ENV_REFUSE;
    env->refusal = GGW_SLOT_QUEUE_FULL;
    CU_ASSERT_TRUE(
        env_expect(env, REQUEST "\r\n", 503, "not-run", "queue-full"));
    CU_ASSERT_TRUE(env_wait(env, &env->permissions_returned, 1));
    env_stop(env);
}

/*
 * Guards against a request that waits longer than its deadline for permission,
 * and that runs when the permission comes afterwards.
 */
static void
test_late_permission(void)
{
    struct env *env = start();

    env->allotments_mode = ENV_PERMIT_HOLD;
    CU_ASSERT_TRUE(
        env_expect(env, REQUEST "\r\n", 503, "not-run", "too-late"));
    env_permit(env);
    CU_ASSERT_TRUE(env_wait(env, &env->permissions_returned, 1));
    CU_ASSERT_EQUAL(env->slot_requests, 0);
    env_stop(env);
}

/* Waits until a counter of the proxy has reached a value, at most 10 s. */
static void
wait_for_counter(const char *name, uint64_t value)
{
    const volatile uint64_t *counter = ggw_counter(name);

    for (int i = 0; i < 1000 && *counter < value; i++) {
        g_usleep(10000);
    }
    CU_ASSERT_TRUE(*counter >= value);
}

/* Guards against a request that runs although its client has left. */
static void
test_client_left(void)
{
    struct env *env = start();
    uint64_t left = *ggw_counter("ggw_clients_left_total");
    int fd = env_connect(env);

    env->allotments_mode = ENV_PERMIT_HOLD;
    CU_ASSERT_TRUE(write(fd, REQUEST "\r\n", strlen(REQUEST "\r\n")) > 0);
    CU_ASSERT_TRUE(env_wait(env, &env->permissions_asked, 1));
    close(fd);
    wait_for_counter("ggw_clients_left_total", left + 1);
    env_permit(env);
    CU_ASSERT_TRUE(env_wait(env, &env->permissions_returned, 1));
    CU_ASSERT_EQUAL(env->slot_requests, 0);
    env_stop(env);
}

/* Guards against a stop of the gateway that waits for a permission. */
static void
test_stop(void)
{
    struct env *env = start();
    int fd = env_connect(env);

    env->allotments_mode = ENV_PERMIT_HOLD;
    CU_ASSERT_TRUE(write(fd, REQUEST "\r\n", strlen(REQUEST "\r\n")) > 0);
    CU_ASSERT_TRUE(env_wait(env, &env->permissions_asked, 1));
    env_stop(env);
    close(fd);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"over the allotment", test_over},
        {"one permission", test_one_permission},
        {"no rate", test_no_rate},
        {"no slot", test_no_slot},
        {"late permission", test_late_permission},
        {"client left", test_client_left},
        {"stop", test_stop},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proxy allotment", tests);
}
