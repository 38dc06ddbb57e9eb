#include <CUnit/CUnit.h>
#include <string.h>
#include <unistd.h>

#include "tests/proxy_env.h"
#include "tests/suite.h"

/* Responses that are kept until they are whole, and requests by host. */

#define KEPT "GET /any/path?q HTTP/1.1\r\nHost: kept.example\r\n\r\n"
#define ONCE                                                                  \
    "POST /o HTTP/1.1\r\nHost: once.example\r\nContent-Length: 2\r\n\r\nhi"

static bool
is_answered_by(struct env *env, const char *request, const char *server)
{
    GString *r = env_ask(env, request);
    bool ok = env_status(r) == 200 &&
              strcmp(env_header_or(r, "x-server"), server) == 0;

    g_string_free(r, TRUE);
    return ok;
}

/* Guards against a path or a host that changes on its way. */
static void
test_route(void)
{
    struct env *env = env_start(1000, 100, 1000);

    CU_ASSERT_TRUE(is_answered_by(env, KEPT, "s0"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(env->servers[0].seen->str, "GET /any/path?q HTTP/1.1\r\n"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(env->servers[0].seen->str, "host: kept.example\r\n"));
    CU_ASSERT_TRUE(env_expect(env,
                              "GET /x HTTP/1.1\r\nHost: none.example\r\n\r\n",
                              404, "not-run", "no-route"));
    env_stop(env);
}

/* Guards against a broken or failed response that another could replace. */
static void
test_replaced(void)
{
    static const enum script scripts[] = {
        SCRIPT_SHORT, SCRIPT_SHORT_CHUNK, SCRIPT_ERROR_500,   SCRIPT_BARE_503,
        SCRIPT_RESET, SCRIPT_RESET_HEAD,  SCRIPT_SILENT_BODY,
    };
    struct env *env = env_start(2000, 100, 1000);

    for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
        env->servers[0].script = scripts[i];
        CU_ASSERT_TRUE(is_answered_by(env, KEPT, "s1"));
    }
    env_stop(env);
}

/* Guards against an error that is hidden when nothing can replace it. */
static void
test_error_delivered(void)
{
    struct env *env = env_start(1000, 100, 1000);

    for (size_t i = 0; i < ENV_SERVERS; i++) {
        env->servers[i].script = SCRIPT_ERROR_500;
    }
    CU_ASSERT_TRUE(env_expect(env, KEPT, 500, "done", ""));
    env_stop(env);
}

/*
 * Guards against a server that is cut off at work for a repeat that then gets
 * no slot.
 */
static void
test_slow_goes_on(void)
{
    struct env *env = env_start(1000, 100, 1000);
    int fd = env_connect(env);
    GString *r;

    env->servers[0].script = SCRIPT_SLOW;
    env->servers[0].delay_ms = 700; /* asked again after 500 */
    CU_ASSERT_EQUAL(write(fd, KEPT, strlen(KEPT)), (ssize_t)strlen(KEPT));
    CU_ASSERT_TRUE(env_wait(env, &env->servers[0].requests, 1));
    env->refusal = GGW_SLOT_QUEUE_FULL;
    env->slots_mode = ENV_REFUSE;
    r = env_read(fd, false);
    CU_ASSERT_EQUAL(env_status(r), 200);
    CU_ASSERT_EQUAL(env->slot_requests, 2);
    g_string_free(r, TRUE);
    close(fd);
    env_stop(env);
}

/* Guards against a second run of a request that must not be repeated. */
static void
test_once(void)
{
    static const enum script unknown[] = {SCRIPT_RESET, SCRIPT_RESET_HEAD,
                                          SCRIPT_SHORT};
    struct env *env = env_start(1000, 100, 1000);

    for (size_t i = 0; i < G_N_ELEMENTS(unknown); i++) {
        env->servers[0].script = unknown[i];
        CU_ASSERT_TRUE(env_expect(env, ONCE, 502, "unknown", "broken"));
    }
    env->servers[0].script = SCRIPT_ERROR_500;
    CU_ASSERT_TRUE(env_expect(env, ONCE, 500, "done", ""));
    CU_ASSERT_EQUAL(env->servers[1].requests, 0);
    env->servers[0].script = SCRIPT_SHED;
    CU_ASSERT_TRUE(is_answered_by(env, ONCE, "s1"));
    env_stop(env);
}

/*
 * Guards against a response without a length that is passed on with one: its
 * end cannot be vouched for.
 */
static void
test_unframed(void)
{
    struct env *env = env_start(1000, 100, 1000);
    GString *r;

    env->servers[0].script = SCRIPT_UNFRAMED;
    r = env_ask(env, KEPT);
    CU_ASSERT_EQUAL(env_status(r), 200);
    CU_ASSERT_PTR_NULL(env_header(r, "content-length"));
    CU_ASSERT_PTR_NULL(env_header(r, "transfer-encoding"));
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "connection"), "close");
    g_string_free(r, TRUE);
    env_stop(env);
}

/*
 * Guards against a request that a leaving gateway takes so late that it has to
 * cut it at its end: it is refused while the listener is still open.
 */
static void
test_late_while_leaving(void)
{
    struct env *env = env_start(1000, 100, 1000);
    int served = 0;
    GString *r;

    env_publish(env, ggw_shutdown_new());
    while (is_answered_by(env, KEPT, "s0")) {
        served++;
        g_usleep(20000);
    }
    CU_ASSERT_TRUE(served > 0);
    r = env_ask(env, KEPT);
    CU_ASSERT_EQUAL(env_status(r), 503);
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "greengageway-reason"), "leaving");
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "greengageway-outcome"),
                           "not-run");
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "connection"), "close");
    g_string_free(r, TRUE);
    CU_ASSERT_EQUAL(env->servers[0].requests, served);
    CU_ASSERT_TRUE(env_wait_ended(env));
    env_stop(env);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"route", test_route},
        {"replaced", test_replaced},
        {"error delivered", test_error_delivered},
        {"slow goes on", test_slow_goes_on},
        {"once", test_once},
        {"unframed", test_unframed},
        {"late while leaving", test_late_while_leaving},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proxy_kept", tests);
}
