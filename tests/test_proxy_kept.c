#include <CUnit/CUnit.h>
#include <string.h>
#include <unistd.h>

#include "common/metrics.h"
#include "tests/proxy_env.h"
#include "tests/suite.h"

/* Responses that are buffered until complete, and requests routed by host. */

#define BUFFERED_REQUEST                                                      \
    "GET /any/path?q HTTP/1.1\r\nHost: kept.example\r\n\r\n"
#define HEAD_REQUEST "HEAD /any/path HTTP/1.1\r\nHost: kept.example\r\n\r\n"
#define NO_REPEAT_REQUEST                                                     \
    "POST /o HTTP/1.1\r\nHost: once.example\r\nContent-Length: 2\r\n\r\nhi"

/* Whether the response is a 200 of @server. */
static bool
is_answered_by(struct env *env, const char *request, const char *server)
{
    GString *r = env_ask(env, request);
    bool ok = env_status(r) == 200 &&
              strcmp(env_header_or(r, "x-server"), server) == 0;

    g_string_free(r, TRUE);
    return ok;
}

/* Guards against a routed request whose path or host is changed. */
static void
test_route(void)
{
    struct env *env = env_start(1000, 100, 1000);

    CU_ASSERT_TRUE(is_answered_by(env, BUFFERED_REQUEST, "s0"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(env->servers[0].received->str, "GET /any/path?q HTTP/1.1\r\n"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(env->servers[0].received->str, "host: kept.example\r\n"));
    CU_ASSERT_TRUE(env_expect(env,
                              "GET /x HTTP/1.1\r\nHost: none.example\r\n\r\n",
                              404, "not-run", "no-route"));
    env_stop(env);
}

/*
 * Guards against a broken or failed response that is forwarded although a
 * retry on another server would succeed.
 */
static void
test_failure_replaced(void)
{
    static const enum script scripts[] = {
        SCRIPT_SHORT,       SCRIPT_SHORT_CHUNK,    SCRIPT_ERROR_500,
        SCRIPT_BARE_503,    SCRIPT_RESET,          SCRIPT_RESET_HEAD,
        SCRIPT_SILENT_BODY, SCRIPT_UNFRAMED_RESET,
    };
    struct env *env = env_start(2000, 100, 1000);

    for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
        env->servers[0].script = scripts[i];
        CU_ASSERT_TRUE(is_answered_by(env, BUFFERED_REQUEST, "s1"));
    }
    env_stop(env);
}

/*
 * Guards against a server's error that is replaced by one of the gateway when
 * all servers fail.
 */
static void
test_error_delivered(void)
{
    struct env *env = env_start(1000, 100, 1000);

    for (size_t i = 0; i < ENV_SERVERS; i++) {
        env->servers[i].script = SCRIPT_ERROR_500;
    }
    CU_ASSERT_TRUE(env_expect(env, BUFFERED_REQUEST, 500, "done", ""));
    env_stop(env);
}

/*
 * Guards against a slow attempt that is abandoned for a retry that then gets
 * no slot.
 */
static void
test_slow_attempt_continues(void)
{
    struct env *env = env_start(1000, 100, 1000);
    int fd = env_connect(env);
    GString *r;

    env->servers[0].script = SCRIPT_SLOW;
    env->servers[0].delay_ms = 700; /* a retry is due after 500 */
    CU_ASSERT_EQUAL(write(fd, BUFFERED_REQUEST, strlen(BUFFERED_REQUEST)),
                    (ssize_t)strlen(BUFFERED_REQUEST));
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

/*
 * Guards against a request that must not be repeated and runs twice, because
 * it is retried after a failure that does not prove that it did not run.
 */
static void
test_no_repeat(void)
{
    static const enum script unknown[] = {SCRIPT_RESET, SCRIPT_RESET_HEAD,
                                          SCRIPT_SHORT};
    struct env *env = env_start(1000, 100, 1000);

    for (size_t i = 0; i < G_N_ELEMENTS(unknown); i++) {
        env->servers[0].script = unknown[i];
        CU_ASSERT_TRUE(
            env_expect(env, NO_REPEAT_REQUEST, 502, "unknown", "broken"));
    }
    env->servers[0].script = SCRIPT_ERROR_500;
    CU_ASSERT_TRUE(env_expect(env, NO_REPEAT_REQUEST, 500, "done", ""));
    CU_ASSERT_EQUAL(env->servers[1].requests, 0);
    env->servers[0].script = SCRIPT_SHED;
    CU_ASSERT_TRUE(is_answered_by(env, NO_REPEAT_REQUEST, "s1"));
    env_stop(env);
}

/*
 * Guards against an earlier refusal that a server sends once more on a kept
 * connection, and that is taken for the refusal of the request that runs.
 */
static void
test_stale_refusal(void)
{
    static const char other[] =
        "GET /team/svc/other/1 HTTP/1.1\r\nHost: h\r\n\r\n";
    struct env *env = env_start(1000, 100, 1000);

    /* A server that does not repeat ids. */
    env->servers[0].script = SCRIPT_SHED;
    CU_ASSERT_TRUE(env_expect(env, other, 503, "not-run", "shed"));
    env->servers[0].script = SCRIPT_STALE_SHED;
    CU_ASSERT_TRUE(is_answered_by(env, other, "s0"));
    env_stop(env);

    /* A server that repeats ids. */
    env = env_start(1000, 100, 1000);
    env->servers[0].script = SCRIPT_SHED_ID;
    CU_ASSERT_TRUE(env_expect(env, other, 503, "not-run", "shed"));
    env->servers[0].script = SCRIPT_STALE_SHED_ID;
    CU_ASSERT_TRUE(env_expect(env, other, 502, "unknown", "broken"));
    env_stop(env);

    /* An order; it is not sent on a kept connection. */
    env = env_start(1000, 100, 1000);
    env->servers[0].script = SCRIPT_SHED_ID;
    CU_ASSERT_TRUE(env_expect(env, other, 503, "not-run", "shed"));
    env->servers[0].script = SCRIPT_STALE_SHED;
    CU_ASSERT_TRUE(is_answered_by(env, NO_REPEAT_REQUEST, "s0"));
    CU_ASSERT_EQUAL(env->servers[0].connections, 2);
    env_stop(env);
}

/*
 * Guards against a refusal of the first attempt that a server sends once more
 * when the same request is tried there again, with the same id.
 */
static void
test_stale_refusal_of_same_request(void)
{
    struct env *env = env_start(1000, 100, 1000);

    env->only_first_server = true;
    env->servers[0].script = SCRIPT_SHED_ID;
    CU_ASSERT_TRUE(env_expect(env, BUFFERED_REQUEST, 503, "not-run", "shed"));
    CU_ASSERT_EQUAL(env->servers[0].requests, 2);
    CU_ASSERT_EQUAL(env->servers[0].connections, 2);
    env_stop(env);
}

static ggw_ms
reported_pause(struct env *env, guint i)
{
    return env_wait_len(env, env->notices, (int)i + 1)
               ? g_array_index(env->notices, struct ggw_backoff_notice, i)
                     .pause
               : -1;
}

/*
 * Guards against a server's request for a pause that is not reported: in a
 * refusal, also of a request whose client has left, and in a probe's response.
 */
static void
test_pause_reported(void)
{
    struct env *env = env_start(1000, 100, 1000);
    int fd;

    /* The fixture writes this into the head as it is. */
    env->servers[0].load = "busy=1\r\nRetry-After: 2.5";
    env->servers[0].script = SCRIPT_SHED;
    CU_ASSERT_TRUE(is_answered_by(env, BUFFERED_REQUEST, "s1"));
    CU_ASSERT_EQUAL(reported_pause(env, 0), 2500);
    env_send(
        env, "proxy",
        ggw_probe_request_new("s0", "127.0.0.1", env->servers[0].port, 1000));
    CU_ASSERT_EQUAL(reported_pause(env, 1), 2500);

    env->servers[0].script = SCRIPT_SLOW;
    env->servers[0].delay_ms = 200;
    fd = env_connect(env);
    CU_ASSERT_EQUAL(write(fd, NO_REPEAT_REQUEST, strlen(NO_REPEAT_REQUEST)),
                    (ssize_t)strlen(NO_REPEAT_REQUEST));
    CU_ASSERT_TRUE(env_wait(env, &env->servers[0].requests, 3));
    env->servers[0].script = SCRIPT_SHED; /* what the slow response says */
    close(fd);
    CU_ASSERT_EQUAL(reported_pause(env, 2), 2500);

    /* A response that is no refusal asks for no pause. */
    env->servers[0].script = SCRIPT_OK;
    CU_ASSERT_TRUE(is_answered_by(env, BUFFERED_REQUEST, "s0"));
    CU_ASSERT_EQUAL(env->notices->len, 3);
    env_stop(env);
}

/*
 * Guards against a retry budget that is used up by repeats which no server
 * takes: another request then fails although servers would take its repeats.
 */
static void
test_budget_without_server(void)
{
    static const char read[] =
        "GET /team/svc/read/1 HTTP/1.1\r\nHost: h\r\n\r\n";
    struct env *env = env_start(1000, 100, 1000);

    env->servers[0].script = SCRIPT_SHED;
    env->refuse_repeats = true;
    for (int i = 0; i < 5; i++) {
        CU_ASSERT_TRUE(env_expect(env, read, 503, "not-run", "shed"));
    }
    env->refuse_repeats = false;
    env->servers[1].script = SCRIPT_SHED;
    CU_ASSERT_TRUE(is_answered_by(env, read, "s2"));
    CU_ASSERT_EQUAL(env->servers[1].requests, 1);
    env_stop(env);
}

/*
 * Guards against a malformed request for a pause that is logged for each
 * response, or for none.
 */
static void
test_malformed_pause_logged_once(void)
{
    struct env *env = env_start(1000, 100, 1000);
    uint64_t *headers = ggw_counter("ggw_backoff_headers_malformed_total");
    uint64_t *servers = ggw_counter("ggw_backoff_servers_malformed_total");
    uint64_t headers_before = *headers;
    uint64_t servers_before = *servers;

    env->servers[0].load = "busy=1\r\nRetry-After: soon";
    env->servers[0].script = SCRIPT_SHED;
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(is_answered_by(env, BUFFERED_REQUEST, "s1"));
    }
    CU_ASSERT_EQUAL(*headers - headers_before, 3);
    CU_ASSERT_EQUAL(*servers - servers_before, 1);
    CU_ASSERT_EQUAL(env->notices->len, 0);
    env_stop(env);
}

/*
 * Guards against a response without a length that looks complete to the client
 * when the gateway ends while it forwards the response.
 */
static void
test_unframed(void)
{
    static const char old[] = "GET /any HTTP/1.0\r\nHost: kept.example\r\n"
                              "Connection: keep-alive\r\n\r\n";
    struct env *env = env_start(1000, 100, 1000);
    const char *const requests[] = {BUFFERED_REQUEST, old};

    env->servers[0].script = SCRIPT_UNFRAMED;
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        GString *r = env_ask(env, requests[i]);

        CU_ASSERT_EQUAL(env_status(r), 200);
        CU_ASSERT_STRING_EQUAL(env_header_or(r, "content-length"), "5");
        CU_ASSERT_PTR_NULL(env_header(r, "transfer-encoding"));
        g_string_free(r, TRUE);
    }
    env_stop(env);
}

/* Guards against a buffered response to HEAD that states no or another length.
 */
static void
test_head(void)
{
    struct env *env = env_start(1000, 100, 1000);
    int fd = env_connect(env);
    GString *r;

    env->servers[0].script = SCRIPT_HEAD;
    CU_ASSERT_TRUE(write(fd, HEAD_REQUEST, strlen(HEAD_REQUEST)) > 0);
    r = env_read_until(fd, "\r\n\r\n");
    CU_ASSERT_EQUAL(env_status(r), 200);
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "content-length"), "5");
    g_string_free(r, TRUE);
    close(fd);
    env_stop(env);
}

/*
 * Guards against a request that a leaving gateway accepts so late that it is
 * cut off when the gateway stops. Such a request is refused while the listener
 * is still open.
 */
static void
test_refused_while_leaving(void)
{
    struct env *env = env_start(1000, 100, 1000);
    int served = 0;
    GString *r;

    env_publish(env, ggw_shutdown_new());
    while (is_answered_by(env, BUFFERED_REQUEST, "s0")) {
        served++;
        g_usleep(20000);
    }
    CU_ASSERT_TRUE(served > 0);
    r = env_ask(env, BUFFERED_REQUEST);
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
        {"route by host", test_route},
        {"failure replaced", test_failure_replaced},
        {"error delivered", test_error_delivered},
        {"slow attempt continues", test_slow_attempt_continues},
        {"no repeat", test_no_repeat},
        {"stale refusal", test_stale_refusal},
        {"stale refusal of same request", test_stale_refusal_of_same_request},
        {"pause reported", test_pause_reported},
        {"budget without server", test_budget_without_server},
        {"malformed pause logged once", test_malformed_pause_logged_once},
        {"unframed", test_unframed},
        {"HEAD", test_head},
        {"refused while leaving", test_refused_while_leaving},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proxy_kept", tests);
}
