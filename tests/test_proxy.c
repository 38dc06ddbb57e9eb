#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/metrics.h"
#include "config/tree.h"
#include "tests/proxy_env.h"
#include "tests/suite.h"

#define READ "GET /team/svc/read/a?b=c HTTP/1.1\r\nHost: h\r\n\r\n"
#define OTHER "GET /team/svc/other HTTP/1.1\r\nHost: h\r\n\r\n"

/*
 * Guards against a gateway that does not forward requests at all, and against
 * the loss of the query, the response headers or the load report on the way.
 */
static void
test_end_to_end(void)
{
    struct env *env = env_start(1000, 100, 1000);
    struct ggw_slot_release *release;
    GString *r;
    size_t len;

    env->servers[0].load = "slots=2; busy=1; queue=3; cold=0; draining=0; "
                           "incarnation=9";
    r = env_ask(env, READ);
    CU_ASSERT_EQUAL(env_status(r), 200);
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "greengageway-outcome"), "done");
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "x-server"), "s0");
    CU_ASSERT_PTR_NULL(env_header(r, "backend-load"));
    CU_ASSERT_STRING_EQUAL(env_body(r, &len), "hello");
    g_string_free(r, TRUE);
    CU_ASSERT_EQUAL(env_result(env, 0), GGW_ATTEMPT_OK);
    release = &g_array_index(env->releases, struct ggw_slot_release, 0);
    CU_ASSERT_TRUE(release->latency > 0);
    CU_ASSERT_TRUE(release->report.present);
    CU_ASSERT_EQUAL(release->report.queue, 3);
    CU_ASSERT_EQUAL(release->report.incarnation, 9);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(env->servers[0].received->str, "GET /read/a?b=c HTTP/1.1\r\n"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(env->servers[0].received->str, "greengageway-attempt: 0\r\n"));
    env_stop(env);
}

/*
 * Guards against refusals with a wrong status, outcome or reason: unknown
 * routes, malformed requests, passed deadlines and refused slots.
 */
static void
test_refusals(void)
{
    struct env *env = env_start(300, 100, 1000);
    GString *r;

    CU_ASSERT_TRUE(env_expect(env, "GET /nobody/svc/read HTTP/1.1\r\n\r\n",
                              404, "not-run", "no-route"));
    CU_ASSERT_TRUE(env_expect(env, "GET /team/other/read HTTP/1.1\r\n\r\n",
                              404, "not-run", "no-route"));
    CU_ASSERT_TRUE(env_expect(env, "PUT /team/svc/read HTTP/1.1\r\n\r\n", 404,
                              "not-run", "no-route"));
    CU_ASSERT_TRUE(env_expect(env, "GET /team HTTP/1.1\r\n\r\n", 404,
                              "not-run", "no-route"));
    CU_ASSERT_TRUE(env_expect(env,
                              "GET /team/svc/other/../order HTTP/1.1\r\n\r\n",
                              400, "not-run", "bad-request"));
    CU_ASSERT_TRUE(
        env_expect(env, "GET /team/svc/other/%2e%2E/order HTTP/1.1\r\n\r\n",
                   400, "not-run", "bad-request"));
    CU_ASSERT_TRUE(env_expect(env, "GET /team/svc/read%00 HTTP/1.1\r\n\r\n",
                              400, "not-run", "bad-request"));
    CU_ASSERT_TRUE(env_expect(
        env, "GET /team/svc/read HTTP/1.1\r\nGreengageway-Deadline: x\r\n\r\n",
        400, "not-run", "bad-request"));
    CU_ASSERT_TRUE(env_expect(
        env, "GET /team/svc/read HTTP/1.1\r\nGreengageway-Deadline: 5\r\n\r\n",
        503, "not-run", "too-late"));
    env->slots_mode = ENV_REFUSE;
    env->refusal = GGW_SLOT_NO_SERVER;
    r = env_ask(env, READ);
    CU_ASSERT_EQUAL(env_status(r), 503);
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "greengageway-reason"),
                           "no-server");
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "retry-after"), "2");
    g_string_free(r, TRUE);
    env->refusal = GGW_SLOT_QUEUE_FULL;
    CU_ASSERT_TRUE(env_expect(env, READ, 503, "not-run", "queue-full"));
    env->refusal = GGW_SLOT_TOO_LATE;
    CU_ASSERT_TRUE(env_expect(env, READ, 503, "not-run", "too-late"));
    env->refusal = GGW_SLOT_DISPLACED;
    CU_ASSERT_TRUE(env_expect(env, READ, 503, "not-run", "displaced"));
    env->slots_mode = ENV_HOLD;
    CU_ASSERT_TRUE(env_expect(env, READ, 503, "not-run", "too-late"));
    CU_ASSERT_TRUE(env_wait(env, &env->cancels, 1));
    CU_ASSERT_EQUAL(env->servers[0].requests, 0);
    env_stop(env);
}

/*
 * Guards against a gateway without settings that reports that it is ready or
 * forwards requests.
 */
static void
test_no_configuration(void)
{
    struct env *env = env_start_bare(100);
    GString *r;

    CU_ASSERT_TRUE(env_expect(env, READ, 503, "not-run", "no-configuration"));
    r = env_ask(env, READ);
    /* Without it clients use up their retries before the settings are read. */
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "retry-after"), "1");
    g_string_free(r, TRUE);
    r = env_ask(env, "GET /-/ready HTTP/1.1\r\n\r\n");
    CU_ASSERT_EQUAL(env_status(r), 503);
    g_string_free(r, TRUE);
    r = env_ask(env, "GET /-/health HTTP/1.1\r\n\r\n");
    CU_ASSERT_EQUAL(env_status(r), 200);
    g_string_free(r, TRUE);
    env_stop(env);
}

/**
 * struct failure - a script and the response and result expected from it
 */
struct failure {
    enum script script;
    int status;
    const char *outcome;
    const char *reason;
    enum ggw_attempt_result result;
};

/*
 * Guards against a wrong outcome after a single failed attempt. The kind
 * "other" has one attempt, so that nothing is retried.
 */
static void
test_single_failures(void)
{
    static const struct failure failures[] = {
        {SCRIPT_RIGHT_ID, 200, "done", "", GGW_ATTEMPT_OK},
        {SCRIPT_SHED, 503, "not-run", "shed", GGW_ATTEMPT_SHED},
        {SCRIPT_LATE, 503, "not-run", "shed", GGW_ATTEMPT_SHED},
        {SCRIPT_CLOSED, 503, "not-run", "shed", GGW_ATTEMPT_REFUSED},
        {SCRIPT_OTHER, 503, "not-run", "shed", GGW_ATTEMPT_REFUSED},
        {SCRIPT_BARE_503, 503, "unknown", "", GGW_ATTEMPT_ERROR},
        {SCRIPT_ERROR_500, 500, "done", "", GGW_ATTEMPT_ERROR},
        {SCRIPT_RESET, 502, "unknown", "broken", GGW_ATTEMPT_BROKEN},
        {SCRIPT_RESET_HEAD, 502, "unknown", "broken", GGW_ATTEMPT_BROKEN},
        {SCRIPT_LARGE_HEAD, 502, "unknown", "broken", GGW_ATTEMPT_BROKEN},
        {SCRIPT_UNFRAMED, 200, "done", "", GGW_ATTEMPT_OK},
        {SCRIPT_BOTH_FRAMED, 502, "unknown", "broken", GGW_ATTEMPT_BROKEN},
        {SCRIPT_WRONG_ID, 502, "unknown", "broken", GGW_ATTEMPT_BROKEN},
        {SCRIPT_SILENT, 504, "unknown", "timeout", GGW_ATTEMPT_SILENT},
    };
    struct env *env = env_start(400, 100, 1000);

    for (guint i = 0; i < G_N_ELEMENTS(failures); i++) {
        const struct failure *f = &failures[i];

        env->servers[0].script = f->script;
        CU_ASSERT_TRUE(
            env_expect(env, OTHER, f->status, f->outcome, f->reason));
        CU_ASSERT_EQUAL(env_result(env, i), f->result);
    }
    CU_ASSERT_EQUAL(env->slot_requests, (int)G_N_ELEMENTS(failures));
    env_stop(env);
}

/*
 * Guards against a load report from another server at a reused address. It
 * made the server that is gone look idle, so that most requests went to it.
 */
static void
test_other_server(void)
{
    struct env *env = env_start(400, 100, 1000);
    const struct ggw_slot_release *release;

    env->servers[0].script = SCRIPT_OTHER;
    env->servers[0].load = "0,0,2";
    CU_ASSERT_TRUE(env_expect(env, OTHER, 503, "not-run", "shed"));
    CU_ASSERT_TRUE(env_wait_len(env, env->releases, 1));
    release = &g_array_index(env->releases, struct ggw_slot_release, 0);
    CU_ASSERT_EQUAL(release->result, GGW_ATTEMPT_REFUSED);
    CU_ASSERT_FALSE(release->report.present);
    env_stop(env);
}

/* Guards against an idempotent request that is not retried after a failure. */
static void
test_retry(void)
{
    static const enum script scripts[] = {
        SCRIPT_SHED,       SCRIPT_CLOSED,      SCRIPT_RESET,
        SCRIPT_RESET_HEAD, SCRIPT_BOTH_FRAMED, SCRIPT_SILENT};
    struct env *env = env_start(1000, 100, 1000);

    for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
        GString *r;

        env->servers[0].script = scripts[i];
        r = env_ask(env, READ);
        CU_ASSERT_EQUAL(env_status(r), 200);
        CU_ASSERT_STRING_EQUAL(env_header_or(r, "x-server"), "s1");
        g_string_free(r, TRUE);
    }
    CU_ASSERT_PTR_NOT_NULL(
        strstr(env->servers[1].received->str, "greengageway-attempt: 1\r\n"));
    CU_ASSERT_PTR_NULL(
        strstr(env->servers[1].received->str, "greengageway-attempt: 0\r\n"));
    env_stop(env);
}

/*
 * Guards against retries that multiply over several hops: a request that an
 * upstream hop has retried must not be retried again.
 */
static void
test_no_retry_after_upstream(void)
{
    struct env *env = env_start(1000, 100, 1000);

    env->servers[0].script = SCRIPT_SHED;
    CU_ASSERT_TRUE(env_expect(env,
                              "GET /team/svc/read HTTP/1.1\r\n"
                              "Greengageway-Attempt: 1\r\n\r\n",
                              503, "not-run", "shed"));
    CU_ASSERT_EQUAL(env->slot_requests, 1);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(env->servers[0].received->str, "greengageway-attempt: 1\r\n"));
    env_stop(env);
}

/* Guards against unlimited retries when all servers fail. */
static void
test_attempt_limit(void)
{
    struct env *env = env_start(2000, 100, 1000);

    for (size_t i = 0; i < ENV_SERVERS; i++) {
        env->servers[i].script = SCRIPT_SHED;
    }
    /* Adds to the budget so that one request may be retried twice. */
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(env_expect(env, OTHER, 503, "not-run", "shed"));
    }
    env->slot_requests = 0;
    CU_ASSERT_TRUE(env_expect(env, READ, 503, "not-run", "shed"));
    CU_ASSERT_EQUAL(env->slot_requests, 3);
    env_stop(env);
}

/*
 * Guards against the outcome "not-run" for a request whose first attempt may
 * have run, although the last attempt did not.
 */
static void
test_unknown_precedence(void)
{
    struct env *env = env_start(1000, 100, 1000);

    env->servers[0].script = SCRIPT_RESET;
    for (size_t i = 1; i < ENV_SERVERS; i++) {
        env->servers[i].script = SCRIPT_SHED;
    }
    CU_ASSERT_TRUE(env_expect(env, READ, 502, "unknown", "broken"));
    CU_ASSERT_EQUAL(env_result(env, 1), GGW_ATTEMPT_SHED);
    env_stop(env);
}

/*
 * Guards against a connection that is reused after a timeout or an unsolicited
 * response, so that the next request gets the wrong response.
 */
static void
test_no_connection_reuse(void)
{
    struct env *env = env_start(300, 100, 1000);

    CU_ASSERT_TRUE(env_expect(env, OTHER, 200, "done", ""));
    CU_ASSERT_TRUE(env_expect(env, OTHER, 200, "done", ""));
    CU_ASSERT_EQUAL(env->servers[0].connections, 1);
    env->servers[0].script = SCRIPT_SILENT;
    CU_ASSERT_TRUE(env_expect(env, OTHER, 504, "unknown", "timeout"));
    CU_ASSERT_TRUE(env_wait(env, &env->servers[0].closed, 1));
    env->servers[0].script = SCRIPT_OK;
    CU_ASSERT_TRUE(env_expect(env, OTHER, 200, "done", ""));
    CU_ASSERT_EQUAL(env->servers[0].connections, 2);
    /* The next request must not get the unsolicited response. */
    env->servers[0].script = SCRIPT_EXTRA;
    CU_ASSERT_TRUE(env_expect(env, OTHER, 200, "done", ""));
    env->servers[0].script = SCRIPT_OK;
    for (int i = 0; i < 20; i++) {
        GString *r = env_ask(env, OTHER);
        size_t len;

        CU_ASSERT_STRING_EQUAL(env_body(r, &len), "hello");
        g_string_free(r, TRUE);
    }
    env_stop(env);
}

/*
 * Guards against hop-by-hop headers and forged gateway headers that are
 * forwarded, and against end-to-end headers that are lost.
 */
static void
test_headers(void)
{
    struct env *env = env_start(1000, 100, 1000);
    const char *received;

    CU_ASSERT_TRUE(env_expect(
        env,
        "POST /team/svc/read HTTP/1.1\r\nHost: h:1\r\n"
        "Connection: X-Hop, close\r\nX-Hop: 1\r\nTE: trailers\r\n"
        "Upgrade: foo\r\nKeep-Alive: 3\r\nX-End: kept\r\n"
        "Greengageway-Request: forged\r\nProxy-Authorization: x\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        200, "done", ""));
    received = env->servers[0].received->str;
    CU_ASSERT_PTR_NOT_NULL(strstr(received, "host: h:1\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(received, "x-end: kept\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(received, "content-length: 5\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(received, "\r\n\r\nabcde"));
    CU_ASSERT_PTR_NULL(strstr(received, "x-hop"));
    CU_ASSERT_PTR_NULL(strstr(received, "te: "));
    CU_ASSERT_PTR_NULL(strstr(received, "upgrade"));
    CU_ASSERT_PTR_NULL(strstr(received, "keep-alive"));
    CU_ASSERT_PTR_NULL(strstr(received, "forged"));
    CU_ASSERT_PTR_NULL(strstr(received, "proxy-"));
    CU_ASSERT_PTR_NULL(strstr(received, "transfer-encoding"));
    env_stop(env);
}

/* Guards against responses without a body that stall or are given a body. */
static void
test_no_body(void)
{
    struct env *env = env_start(1000, 100, 1000);
    GString *r;

    for (int i = 0; i < 3; i++) {
        env->servers[0].script = SCRIPT_NO_BODY;
        r = env_ask(env, "GET /team/svc/other HTTP/1.1\r\n"
                         "Connection: close\r\n\r\n");
        CU_ASSERT_EQUAL(env_status(r), 204);
        CU_ASSERT_TRUE(g_str_has_suffix(r->str, "\r\n\r\n"));
        CU_ASSERT_PTR_NULL(env_header(r, "transfer-encoding"));
        g_string_free(r, TRUE);
        env->servers[0].script = SCRIPT_HEAD;
        r = env_ask(env, "HEAD /team/svc/read HTTP/1.1\r\n"
                         "Connection: close\r\n\r\n");
        CU_ASSERT_EQUAL(env_status(r), 200);
        CU_ASSERT_STRING_EQUAL(env_header_or(r, "content-length"), "5");
        CU_ASSERT_TRUE(g_str_has_suffix(r->str, "\r\n\r\n"));
        g_string_free(r, TRUE);
    }
    CU_ASSERT_EQUAL(env->servers[0].connections, 1);
    r = env_ask(env, "HEAD /-/health HTTP/1.1\r\nConnection: close\r\n\r\n");
    CU_ASSERT_EQUAL(env_status(r), 200);
    CU_ASSERT_TRUE(g_str_has_suffix(r->str, "\r\n\r\n"));
    g_string_free(r, TRUE);
    env->servers[0].script = SCRIPT_INTERIM;
    CU_ASSERT_TRUE(env_expect(env, OTHER, 200, "done", ""));
    env_stop(env);
}

/*
 * Guards against a hedge that is not sent when the first server is slow, and
 * against a slower attempt that is not cancelled.
 */
static void
test_hedge(void)
{
    struct env *env = env_start(3000, 100, 1000);
    GString *r;

    for (int i = 0; i < 30; i++) {
        CU_ASSERT_TRUE(env_expect(env, READ, 200, "done", ""));
    }
    env->servers[0].script = SCRIPT_SLOW;
    env->servers[0].delay_ms = 1500;
    r = env_ask(env, READ);
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "x-server"), "s1");
    g_string_free(r, TRUE);
    CU_ASSERT_TRUE(env_wait(env, &env->servers[0].closed, 1));
    CU_ASSERT_EQUAL(env_result(env, 30), GGW_ATTEMPT_CANCELLED);
    env_stop(env);
}

/* Applies a limit of the slot time of hedges. */
static void
limit_hedges(struct env *env)
{
    struct ggw_tree *tree = env_tree(8, 3000, "fd-out");
    bool in_force = false;

    tree->services[0].hedge_work_percent = 5;
    env_publish(env, ggw_config_in_force_new(tree));
    ggw_tree_unref(tree);
    for (int i = 0; i < 1000 && !in_force; i++) {
        GString *r = env_ask(env, "GET /-/status HTTP/1.1\r\nHost: x\r\n\r\n");

        in_force = strstr(r->str, "\"team\":8") != NULL;
        g_string_free(r, TRUE);
    }
    CU_ASSERT_TRUE(in_force);
}

/*
 * Guards against a hedge that the owner of the slots takes for a usual
 * request, and one that is not asked for again after a refusal, or again and
 * again.
 */
static void
test_limited_hedge(void)
{
    struct env *env = env_start(3000, 1000, 1000);
    GString *r;

    for (int i = 0; i < 30; i++) {
        CU_ASSERT_TRUE(env_expect(env, READ, 200, "done", ""));
    }
    env->servers[0].script = SCRIPT_SLOW;
    env->servers[0].delay_ms = 150;
    CU_ASSERT_EQUAL(env->hedge_requests, 0);
    limit_hedges(env);
    env->refused_hedges = 2;
    r = env_ask(env, READ);
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "x-server"), "s1");
    g_string_free(r, TRUE);
    CU_ASSERT_EQUAL(env->hedge_requests, 3);
    CU_ASSERT_TRUE(env_wait(env, &env->servers[0].closed, 1));
    env->refused_hedges = 100;
    r = env_ask(env, READ);
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "x-server"), "s0");
    g_string_free(r, TRUE);
    CU_ASSERT_EQUAL(env->hedge_requests, 7);
    env_stop(env);
}

/*
 * Guards against a probe without a result: its load report is lost, or its
 * timeout is not reported.
 */
static void
test_probe(void)
{
    struct env *env = env_start(1000, 100, 1000);
    struct ggw_probe_result *result;

    env->servers[0].load = "slots=2; busy=2; queue=0; cold=1; draining=0; "
                           "incarnation=5";
    env_send(
        env, "proxy",
        ggw_probe_request_new("s0", "127.0.0.1", env->servers[0].port, 1000));
    CU_ASSERT_TRUE(env_wait_len(env, env->probe_results, 1));
    result = &g_array_index(env->probe_results, struct ggw_probe_result, 0);
    CU_ASSERT_TRUE(result->answered);
    CU_ASSERT_TRUE(result->report.cold);
    env->servers[0].script = SCRIPT_SILENT;
    env_send(
        env, "proxy",
        ggw_probe_request_new("s0", "127.0.0.1", env->servers[0].port, 100));
    CU_ASSERT_TRUE(env_wait_len(env, env->probe_results, 2));
    result = &g_array_index(env->probe_results, struct ggw_probe_result, 1);
    CU_ASSERT_FALSE(result->answered);
    env_stop(env);
}

/* Puts settings with a route of weights 2 and 1 into force. */
static void
apply_split(struct env *env, uint64_t revision)
{
    static const char json[] =
        "{\"services\":{\"a\":{},\"b\":{}},\"routes\":{\"r\":{"
        "\"host\":\"split.example\",\"services\":{\"a\":2,\"b\":1},"
        "\"timeout_ms\":1000}}}";
    struct ggw_tree *tree = ggw_tree_parse("team", revision, json, NULL);
    g_autofree char *expected =
        g_strdup_printf("\"team\":%" G_GUINT64_FORMAT, (guint64)revision);
    bool in_force = false;

    env_publish(env, ggw_config_in_force_new(tree));
    ggw_tree_unref(tree);
    for (int i = 0; i < 1000 && !in_force; i++) {
        GString *r = env_ask(env, "GET /-/status HTTP/1.1\r\nHost: x\r\n\r\n");

        in_force = strstr(r->str, expected) != NULL;
        g_string_free(r, TRUE);
    }
    CU_ASSERT_TRUE_FATAL(in_force);
}

/* Number of requests that were answered for a service. */
static int
count_answered(const char *service)
{
    g_autofree char *name = g_strdup_printf("service=\"%s\"", service);
    g_autoptr(GString) text = g_string_new(NULL);
    g_auto(GStrv) lines = NULL;
    int n = 0;

    ggw_metrics_print(text);
    lines = g_strsplit(text->str, "\n", -1);
    for (char **l = lines; *l != NULL; l++) {
        if (g_str_has_prefix(*l, "ggw_requests_total{") &&
            strstr(*l, name) != NULL) {
            n += atoi(strrchr(*l, ' '));
        }
    }
    return n;
}

/*
 * Guards against a split that sends all to its largest part because each new
 * revision of the settings, whatever it changes, starts its shares anew.
 */
static void
test_split_kept_over_revisions(void)
{
    struct env *env = env_start(1000, 100, 1000);
    const int requests = 30;

    for (int i = 0; i < requests; i++) {
        GString *r;

        apply_split(env, 100 + (uint64_t)i);
        r = env_ask(env, "GET /x HTTP/1.1\r\nHost: split.example\r\n\r\n");
        CU_ASSERT_EQUAL(env_status(r), 200);
        g_string_free(r, TRUE);
    }
    env_stop(env);
    CU_ASSERT_EQUAL(count_answered("a") + count_answered("b"), requests);
    CU_ASSERT_TRUE(abs(count_answered("b") - requests / 3) <= 1);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"end to end", test_end_to_end},
        {"refusals", test_refusals},
        {"no configuration", test_no_configuration},
        {"single failures", test_single_failures},
        {"other server", test_other_server},
        {"retry", test_retry},
        {"no retry after an upstream retry", test_no_retry_after_upstream},
        {"attempt limit", test_attempt_limit},
        {"unknown takes precedence", test_unknown_precedence},
        {"no connection reuse", test_no_connection_reuse},
        {"headers", test_headers},
        {"no body", test_no_body},
        {"hedge", test_hedge},
        {"limited hedge", test_limited_hedge},
        {"probe", test_probe},
        {"split kept over revisions", test_split_kept_over_revisions},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proxy", tests);
}
