#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/route.h"
#include "tests/proxy_env.h"
#include "tests/suite.h"

#define ORDER                                                                 \
    "POST /team/svc/order HTTP/1.1\r\nHost: h\r\nX-Order: A1\r\n"             \
    "Content-Length: 3\r\n\r\nabc"

/* Waits for CLAIM_SETTLE number @i; returns its outcome and @status. */
static enum ggw_claim_outcome
wait_settled(struct env *env, guint i, int *status)
{
    enum ggw_claim_outcome outcome = GGW_CLAIM_OUTCOME_UNKNOWN;

    *status = -1;
    if (env_wait_len(env, env->settles, (int)i + 1)) {
        pthread_mutex_lock(&env->lock);
        outcome =
            g_array_index(env->settles, struct ggw_claim_settle, i).outcome;
        *status =
            g_array_index(env->settles, struct ggw_claim_settle, i).status;
        pthread_mutex_unlock(&env->lock);
    }
    return outcome;
}

/**
 * struct result - a script, and the response and settlement expected from it
 * @requests: number of requests that reach any server
 */
struct result {
    enum script script;
    int status;
    const char *outcome;
    const char *reason;
    enum ggw_claim_outcome end;
    int requests;
};

/*
 * Guards against an order that runs twice, because it is retried after it may
 * have run, and against a claim that is removed although the order may have
 * run.
 */
static void
test_results(void)
{
    /* An order that the first server did not run goes to the next, s1. */
    static const struct result results[] = {
        {SCRIPT_OK, 200, "done", "", GGW_CLAIM_OUTCOME_DONE, 1},
        {SCRIPT_ERROR_500, 500, "done", "", GGW_CLAIM_OUTCOME_DONE, 1},
        {SCRIPT_BARE_503, 503, "unknown", "", GGW_CLAIM_OUTCOME_UNKNOWN, 1},
        {SCRIPT_RESET, 502, "unknown", "broken", GGW_CLAIM_OUTCOME_UNKNOWN, 1},
        {SCRIPT_RESET_HEAD, 502, "unknown", "broken",
         GGW_CLAIM_OUTCOME_UNKNOWN, 1},
        {SCRIPT_SILENT, 504, "unknown", "timeout", GGW_CLAIM_OUTCOME_UNKNOWN,
         1},
        {SCRIPT_SHED, 200, "done", "", GGW_CLAIM_OUTCOME_DONE, 2},
        {SCRIPT_CLOSED, 200, "done", "", GGW_CLAIM_OUTCOME_DONE, 1},
    };
    struct env *env = env_start(500, 100, 1000);

    for (guint i = 0; i < G_N_ELEMENTS(results); i++) {
        const struct result *x = &results[i];
        int requests = env->servers[0].requests + env->servers[1].requests;
        int status;

        env->servers[0].script = x->script;
        CU_ASSERT_TRUE(
            env_expect(env, ORDER, x->status, x->outcome, x->reason));
        CU_ASSERT_EQUAL(wait_settled(env, i, &status), x->end);
        if (x->end == GGW_CLAIM_OUTCOME_DONE) {
            CU_ASSERT_EQUAL(status, x->status);
        }
        CU_ASSERT_EQUAL(env->servers[0].requests + env->servers[1].requests,
                        requests + x->requests);
    }
    CU_ASSERT_EQUAL(env->claims_asked, (int)G_N_ELEMENTS(results));
    env_stop(env);
}

/*
 * Guards against a claim that is kept although no attempt ran, which would
 * block the order forever.
 */
static void
test_not_run(void)
{
    struct env *env = env_start(500, 100, 1000);
    int status;

    for (size_t i = 0; i < ENV_SERVERS; i++) {
        env->servers[i].script = SCRIPT_SHED;
    }
    CU_ASSERT_TRUE(env_expect(env, ORDER, 503, "not-run", "shed"));
    CU_ASSERT_EQUAL(wait_settled(env, 0, &status), GGW_CLAIM_OUTCOME_NOT_RUN);
    env->slots_mode = ENV_REFUSE;
    CU_ASSERT_TRUE(env_expect(env, ORDER, 503, "not-run", "no-server"));
    CU_ASSERT_EQUAL(wait_settled(env, 1, &status), GGW_CLAIM_OUTCOME_NOT_RUN);
    env_stop(env);
}

/*
 * Guards against an order that is sent without a claim: it has no identifier,
 * or the claim is held by another request or unavailable.
 */
static void
test_claims(void)
{
    struct env *env = env_start(300, 100, 1000);
    GString *r;

    CU_ASSERT_TRUE(env_expect(
        env, "POST /team/svc/order HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400,
        "not-run", "no-order"));
    CU_ASSERT_TRUE(env_expect(env,
                              "POST /team/svc/order HTTP/1.1\r\nX-Order: 1\r\n"
                              "X-Order: 2\r\nContent-Length: 0\r\n\r\n",
                              400, "not-run", "no-order"));
    CU_ASSERT_EQUAL(env->claims_asked, 0);
    env->claim_state = GGW_CLAIM_DONE;
    r = env_ask(env, ORDER);
    CU_ASSERT_EQUAL(env_status(r), 409);
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "greengageway-outcome"), "done");
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "greengageway-reason"),
                           "already-run");
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "greengageway-status"), "201");
    g_string_free(r, TRUE);
    env->claim_state = GGW_CLAIM_TAKEN;
    CU_ASSERT_TRUE(env_expect(env, ORDER, 409, "unknown", "claimed"));
    env->claim_state = GGW_CLAIM_UNAVAILABLE;
    CU_ASSERT_TRUE(
        env_expect(env, ORDER, 503, "not-run", "claims-unavailable"));
    env->claims_mode = ENV_CLAIM_HOLD;
    CU_ASSERT_TRUE(
        env_expect(env, ORDER, 503, "not-run", "claims-unavailable"));
    CU_ASSERT_EQUAL(env->slot_requests, 0);
    CU_ASSERT_EQUAL(env->servers[0].requests, 0);
    CU_ASSERT_EQUAL(env->settles->len, 0);
    env_stop(env);
}

/*
 * Guards against two orders with the same identifier, and against one order
 * with two, depending on how its path is escaped.
 */
static void
test_order_identifiers(void)
{
    static const struct {
        const char *path;
        const char *order;
    } cases[] = {
        {"/t/s/order/A1/x", "A1"},     {"/t/s/order/%411?q", "A1"},
        {"/t/s/order/A%2F1", NULL},    {"/t/s/order", NULL},
        {"/t/s/order/?x/A1", NULL},    {"/t/s/order/%20", NULL},
        {"/t/s/order/A1?a=%2f", "A1"},
    };
    const struct ggw_kind kind = {.order_source = GGW_ORDER_FROM_PATH,
                                  .order_segment = 1};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ggw_request_path route;
        g_autofree char *order = NULL;

        CU_ASSERT_TRUE(ggw_request_path_parse(&route, cases[i].path,
                                              strlen(cases[i].path)));
        order = ggw_request_path_order_id(&kind, &route, NULL);
        CU_ASSERT_EQUAL(g_strcmp0(order, cases[i].order), 0);
        ggw_request_path_clear(&route);
    }
}

/*
 * Guards against an order that bypasses its claim because its path is escaped
 * and matches another kind.
 */
static void
test_escaped_path(void)
{
    struct env *env = env_start(500, 100, 1000);

    CU_ASSERT_TRUE(env_expect(env,
                              "POST /team/svc/%6frder HTTP/1.1\r\nX-Order: "
                              "B2\r\nContent-Length: 0\r\n\r\n",
                              200, "done", ""));
    CU_ASSERT_EQUAL(env->claims_asked, 1);
    env_stop(env);
}

/*
 * Guards against an order that is wait_settled as not run because its client
 * disconnected while it was in progress.
 */
static void
test_client_leaves(void)
{
    struct env *env = env_start(5000, 100, 1000);
    int fd, status;

    env->servers[0].script = SCRIPT_SLOW;
    env->servers[0].delay_ms = 300;
    fd = env_connect(env);
    send(fd, ORDER, strlen(ORDER), 0);
    CU_ASSERT_TRUE(env_wait(env, &env->servers[0].requests, 1));
    close(fd);
    CU_ASSERT_EQUAL(wait_settled(env, 0, &status), GGW_CLAIM_OUTCOME_DONE);
    CU_ASSERT_EQUAL(status, 200);
    CU_ASSERT_EQUAL(env_result(env, 0), GGW_ATTEMPT_OK);

    /* If it was not sent yet, the order is known not to have run. */
    env->slots_mode = ENV_HOLD;
    fd = env_connect(env);
    send(fd, ORDER, strlen(ORDER), 0);
    CU_ASSERT_TRUE(env_wait(env, &env->slot_requests, 2));
    close(fd);
    CU_ASSERT_EQUAL(wait_settled(env, 1, &status), GGW_CLAIM_OUTCOME_NOT_RUN);
    CU_ASSERT_TRUE(env_wait(env, &env->cancels, 1));
    env_stop(env);
}

/*
 * Guards against a claim that is never wait_settled because it was won after
 * the deadline of its request.
 */
static void
test_late_claim(void)
{
    struct env *env = env_start(100, 100, 1000);
    struct ggw_claim_result *result;
    int status;

    env->claims_mode = ENV_CLAIM_HOLD;
    CU_ASSERT_TRUE(
        env_expect(env, ORDER, 503, "not-run", "claims-unavailable"));
    result = g_new0(struct ggw_claim_result, 1);
    result->base.ops = &ggw_claim_result_ops;
    result->base.tag = env->held_tag;
    result->state = GGW_CLAIM_WON;
    result->claim = 5;
    env_send(env, "proxy", &result->base);
    CU_ASSERT_EQUAL(wait_settled(env, 0, &status), GGW_CLAIM_OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(env->servers[0].requests, 0);
    env_stop(env);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"results", test_results},
        {"not run", test_not_run},
        {"claims", test_claims},
        {"order identifiers", test_order_identifiers},
        {"escaped path", test_escaped_path},
        {"client leaves", test_client_leaves},
        {"late claim", test_late_claim},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proxy orders", tests);
}
