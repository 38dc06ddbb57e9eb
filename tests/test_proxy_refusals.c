#include <CUnit/CUnit.h>
#include <string.h>
#include <unistd.h>

#include "config/tree.h"
#include "tests/proxy_env.h"
#include "tests/suite.h"

/*
 * Refusals of requests that match a route, before a slot is requested or
 * because it comes too late.
 */

#define REQUEST "GET /any HTTP/1.1\r\nHost: kept.example\r\n"

/* Settings with a route to a service that they do not contain. */
static const char route_without_service[] =
    "{\"services\":{},\"routes\":{\"lost\":{\"host\":\"lost.example\","
    "\"services\":{\"gone\":1},\"timeout_ms\":1000}}}";

/*
 * Guards against a request on a route to a missing service that is not
 * refused, or is refused as if it might have run.
 */
static void
test_route_without_service(void)
{
    struct env *env = env_start_like_site(1000, 100, 1000);
    GError *error = NULL;
    struct ggw_tree *tree =
        ggw_tree_parse("other", 1, route_without_service, &error);

    CU_ASSERT_PTR_NOT_NULL_FATAL(tree);
    env_publish(env, ggw_config_in_force_new(tree));
    ggw_tree_unref(tree);
    CU_ASSERT_TRUE(
        env_expect(env, "GET /any HTTP/1.1\r\nHost: lost.example\r\n\r\n", 503,
                   "not-run", "no-server"));
    CU_ASSERT_EQUAL(env->slot_requests, 0);
    env_stop(env);
}

/*
 * Guards against a routed request that is sent to a server although its client
 * has already given up, and against a malformed deadline that refuses it.
 */
static void
test_deadline_passed(void)
{
    struct env *env = env_start_like_site(1000, 100, 1000);

    CU_ASSERT_TRUE(env_expect(env, REQUEST "Greengageway-Deadline: 5\r\n\r\n",
                              503, "not-run", "too-late"));
    CU_ASSERT_EQUAL(env->slot_requests, 0);
    CU_ASSERT_TRUE(env_expect(env, REQUEST "Greengageway-Deadline: x\r\n\r\n",
                              200, "done", ""));
    env_stop(env);
}

/*
 * Guards against a routed request that waits for a slot longer than its
 * client, or is refused with a status that leaves open whether it ran.
 */
static void
test_no_slot_in_time(void)
{
    struct env *env = env_start_like_site(300, 100, 1000);

    env->slots_mode = ENV_HOLD;
    CU_ASSERT_TRUE(
        env_expect(env, REQUEST "\r\n", 503, "not-run", "too-late"));
    CU_ASSERT_TRUE(env_wait(env, &env->cancels, 1));
    CU_ASSERT_EQUAL(env->servers[0].requests, 0);
    env_stop(env);
}

/**
 * struct late_grant - a slot that is granted when it is of no use any more
 * @timeout: of the request, ms
 * @stall_ms: time for which the event loop stands still before the grant
 * @first_sheds: it is granted for a further attempt, after a shed one
 * @leaving: the gateway shuts down; it cuts requests after 2.1 s
 * @reason: of the refusal
 */
struct late_grant {
    ggw_ms timeout;
    unsigned stall_ms;
    bool first_sheds;
    bool leaving;
    const char *reason;
};

/* Waits until the gateway has begun to shut down. */
static void
wait_for_leaving(struct env *env)
{
    bool leaving = false;

    for (int i = 0; i < 1000 && !leaving; i++) {
        GString *r = env_ask(env, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");

        leaving = env_status(r) == 503;
        g_string_free(r, TRUE);
    }
    CU_ASSERT_TRUE(leaving);
}

static void
check_late_grant(struct env *env, const struct late_grant *c)
{
    int sent = c->first_sheds ? 1 : 0;
    int fd = env_connect(env);
    GString *r;

    CU_ASSERT_TRUE(write(fd, REQUEST "\r\n", strlen(REQUEST) + 2) > 0);
    CU_ASSERT_TRUE(env_wait(env, &env->slot_requests, 1));
    if (c->first_sheds) {
        env_grant(env, 0, 0);
        CU_ASSERT_TRUE(env_wait(env, &env->slot_requests, 2));
    }
    env_grant(env, 1, c->stall_ms);
    r = env_read(fd, false);
    CU_ASSERT_EQUAL(env_status(r), 503);
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "greengageway-outcome"),
                           "not-run");
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "greengageway-reason"), c->reason);
    CU_ASSERT_TRUE(env_wait_len(env, env->releases, sent + 1));
    CU_ASSERT_EQUAL(env_result(env, (guint)sent), GGW_ATTEMPT_UNUSED);
    CU_ASSERT_EQUAL(env->slot_requests, sent + 1);
    CU_ASSERT_EQUAL(env->servers[0].requests, sent);
    CU_ASSERT_EQUAL(env->servers[1].requests, 0);
    g_string_free(r, TRUE);
    close(fd);
}

/*
 * Guards against a slot that is granted in the turn of the event loop in which
 * its request can no longer use it, and with which the request is sent, or
 * that is not given back, or a refusal that leaves open whether it ran.
 */
static void
test_late_grant(void)
{
    static const struct late_grant cases[] = {
        {300, 400, false, false, "too-late"},
        {300, 400, true, false, "shed"},
        /* Half of the time until the deadline reaches beyond the end. */
        {3000, 1400, false, true, "leaving"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct late_grant *c = &cases[i];
        struct env *env = env_start_like_site(c->timeout, 100, 1000);

        env->slots_mode = ENV_HOLD;
        env->servers[0].script = c->first_sheds ? SCRIPT_SHED : SCRIPT_OK;
        if (c->leaving) {
            env_publish(env, ggw_shutdown_new());
            wait_for_leaving(env);
        }
        check_late_grant(env, c);
        env_stop(env);
    }
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"route without service", test_route_without_service},
        {"deadline passed", test_deadline_passed},
        {"no slot in time", test_no_slot_in_time},
        {"late grant", test_late_grant},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proxy_refusals", tests);
}
