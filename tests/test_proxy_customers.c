#include <CUnit/CUnit.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config/tree.h"
#include "tests/proxy_env.h"
#include "tests/suite.h"

/*
 * Requests of customers: what servers get of their keys and names, and which
 * requests are refused.
 */

/* Keys of customers "alpha" and "beta". */
#define KEY_A "secret-key-of-alpha"
#define KEY_B "secret-key-of-beta"

#define KEPT "GET /x HTTP/1.1\r\nHost: kept.example\r\n"
#define OPEN "GET /x HTTP/1.1\r\nHost: open.example\r\n"

/* Settings with customers; @customers is a list of JSON members. */
static struct ggw_tree *
customer_tree(uint64_t revision, const char *customers)
{
    static const char format[] =
        "{\"services\":{\"svc\":{\"slots\":2,\"connections\":8,"
        "\"kinds\":{\"read\":{\"methods\":[\"GET\"],\"path_prefix\":\"/read\","
        "\"timeout_ms\":1000,\"idempotency\":\"idempotent\"}}}},"
        "\"routes\":{"
        "\"kept\":{\"host\":\"kept.example\",\"services\":{\"svc\":1},"
        "\"timeout_ms\":1000,\"attempts\":2,\"hold_bytes\":100000,"
        "\"retry_errors\":\"yes\"},"
        "\"open\":{\"host\":\"open.example\",\"services\":{\"svc\":1},"
        "\"timeout_ms\":1000,\"public\":\"yes\"}},"
        "\"customers\":{%s}}";
    g_autofree char *json = g_strdup_printf(format, customers);
    GError *error = NULL;
    struct ggw_tree *tree = ggw_tree_parse("team", revision, json, &error);

    if (tree == NULL) {
        fprintf(stderr, "%s\n", error->message);
        abort();
    }
    tree->services[0].retry_percent = 100; /* one retry for each call */
    tree->services[0].hedge_percent = 100;
    return tree;
}

/* Publishes settings and waits until they are in force. */
static void
apply(struct env *env, uint64_t revision, const char *customers)
{
    struct ggw_tree *tree = customer_tree(revision, customers);
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

#define BOTH                                                                  \
    "\"alpha\":{\"keys\":[\"" KEY_A "\"]},"                                   \
    "\"beta\":{\"keys\":[\"" KEY_B "\"]}"

static struct env *
start_with_customers(void)
{
    struct env *env = env_start(1000, 100, 1000);

    apply(env, 8, BOTH);
    return env;
}

/* Whether any server got a key. */
static bool
key_leaked(const struct env *env)
{
    for (size_t i = 0; i < ENV_SERVERS; i++) {
        if (strstr(env->servers[i].received->str, "secret") != NULL) {
            return true;
        }
    }
    return false;
}

static int
count(const char *text, const char *part)
{
    int n = 0;

    for (const char *p = text; (p = strstr(p, part)) != NULL; p++) {
        n++;
    }
    return n;
}

/* Number of requests that a server got with the name of @customer. */
static int
named(const struct env *env, size_t server, const char *customer)
{
    g_autofree char *line = g_strdup_printf("x-customer: %s\r\n", customer);

    return count(env->servers[server].received->str, line);
}

/* Number of headers in any spelling that name a customer to a server. */
static int
name_headers(const struct env *env, size_t server)
{
    g_autofree char *lower =
        g_ascii_strdown(env->servers[server].received->str, -1);

    return count(lower, "x-customer:") + count(lower, "x_customer:");
}

static bool
is_answered(struct env *env, const char *request)
{
    GString *r = env_ask(env, request);
    bool ok = env_status(r) == 200;

    g_string_free(r, TRUE);
    return ok;
}

/*
 * Guards against a key that reaches a server, or a customer's name that the
 * client has chosen, whatever the spelling of their headers and whether
 * Connection or a trailer names them.
 */
static void
test_headers(void)
{
    static const char *const requests[] = {
        KEPT "X-Key: " KEY_A "\r\n\r\n",
        KEPT "x-KEY: " KEY_A "\r\nX-CUSTOMER: beta\r\n\r\n",
        KEPT "X-Key: " KEY_A "\r\nx-customer: beta\r\nX-Customer: c\r\n\r\n",
        KEPT "X-Key: " KEY_A "\r\nX_Customer: beta\r\nX_Key: secret\r\n\r\n",
        KEPT "X-Key:   " KEY_A "  \r\nConnection: x-key, x-customer\r\n"
             "X-Customer: beta\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: kept.example\r\nX-Key: " KEY_A "\r\n"
        "Transfer-Encoding: chunked\r\nTrailer: X-Key, X-Customer\r\n\r\n"
        "2\r\nhi\r\n0\r\nX-Key: " KEY_B "\r\nX-Customer: beta\r\n\r\n",
    };
    struct env *env = start_with_customers();

    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        CU_ASSERT_TRUE(is_answered(env, requests[i]));
        CU_ASSERT_EQUAL(named(env, 0, "alpha"), (int)i + 1);
        CU_ASSERT_EQUAL(name_headers(env, 0), (int)i + 1);
    }
    CU_ASSERT_TRUE(is_answered(env, "GET /team/svc/read HTTP/1.1\r\n"
                                    "X-Key: " KEY_B "\r\n\r\n"));
    CU_ASSERT_EQUAL(named(env, 0, "beta"), 1);
    CU_ASSERT_FALSE(key_leaked(env));
    env_stop(env);
}

/*
 * Guards against a customer's name that a server gets in part, or that adds
 * lines to the head of its request.
 */
static void
test_full_names(void)
{
    static const struct {
        const char *json;
        const char *sent;
    } cases[] = {
        {"Nausori Tolls", "Nausori Tolls"},
        {"Viti\xc3\xa9", "Viti\xc3\xa9"},
        {"a\\r\\nX-Key: secret", "a%0D%0AX-Key: secret"},
        {" outer ", "%20outer%20"},
    };
    struct env *env = start_with_customers();

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *customers = g_strdup_printf(
            "\"c\":{\"keys\":[\"" KEY_A "\"],\"full_name\":\"%s\"}",
            cases[i].json);

        apply(env, 9 + i, customers);
        CU_ASSERT_TRUE(is_answered(env, KEPT "X-Key: " KEY_A "\r\n\r\n"));
        CU_ASSERT_EQUAL(named(env, 0, cases[i].sent), 1);
        CU_ASSERT_EQUAL(name_headers(env, 0), (int)i + 1);
    }
    env_stop(env);
}

/*
 * Guards against a retry after a refusal, or a second attempt beside a slow
 * one, that has the key or lacks the customer's name.
 */
static void
test_further_attempts(void)
{
    static const enum script scripts[] = {SCRIPT_SHED, SCRIPT_ERROR_500,
                                          SCRIPT_RESET, SCRIPT_SLOW};
    struct env *env = start_with_customers();

    env->servers[0].delay_ms = 700; /* a second attempt is due after 500 */
    for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
        env->servers[0].script = scripts[i];
        CU_ASSERT_TRUE(is_answered(env, KEPT "X-Key: " KEY_A "\r\n"
                                             "X-Customer: beta\r\n\r\n"));
        CU_ASSERT_TRUE(env_wait(env, &env->servers[1].requests, (int)i + 1));
        CU_ASSERT_EQUAL(named(env, 0, "alpha"), (int)i + 1);
        CU_ASSERT_EQUAL(named(env, 1, "alpha"), (int)i + 1);
        CU_ASSERT_EQUAL(name_headers(env, 1), (int)i + 1);
    }
    CU_ASSERT_FALSE(key_leaked(env));
    env_stop(env);
}

/* Whether a request is refused with 401, without its key in the answer. */
static bool
is_refused(struct env *env, const char *request, const char *reason)
{
    GString *r = env_ask(env, request);
    bool ok =
        env_status(r) == 401 && strstr(r->str, "secret") == NULL &&
        strcmp(env_header_or(r, "greengageway-reason"), reason) == 0 &&
        strcmp(env_header_or(r, "greengageway-outcome"), "not-run") == 0 &&
        env_header(r, "www-authenticate") != NULL;

    g_string_free(r, TRUE);
    return ok;
}

/*
 * Guards against a request without one valid key that runs, and against 401
 * for a request that no route allows, which hides the wrong path.
 */
static void
test_refused(void)
{
    struct env *env = start_with_customers();

    CU_ASSERT_TRUE(is_refused(env, KEPT "\r\n", "no-key"));
    CU_ASSERT_TRUE(is_refused(env, KEPT "X_Key: " KEY_A "\r\n\r\n", "no-key"));
    CU_ASSERT_TRUE(
        is_refused(env, KEPT "X-Key: secret-other\r\n\r\n", "unknown-key"));
    CU_ASSERT_TRUE(is_refused(env, KEPT "X-Key:\r\n\r\n", "unknown-key"));
    CU_ASSERT_TRUE(
        is_refused(env, KEPT "X-Key: " KEY_A "\r\nx-key: " KEY_A "\r\n\r\n",
                   "repeated-key"));
    CU_ASSERT_TRUE(is_refused(
        env, "GET /team/svc/read HTTP/1.1\r\nHost: h\r\n\r\n", "no-key"));
    CU_ASSERT_TRUE(env_expect(env,
                              "GET /x HTTP/1.1\r\nHost: none.example\r\n\r\n",
                              404, "not-run", "no-route"));
    CU_ASSERT_EQUAL(env->slot_requests, 0);
    env_stop(env);
}

/*
 * Guards against a public route that asks for a key, passes one on, or lets
 * the client name a customer.
 */
static void
test_public(void)
{
    struct env *env = start_with_customers();

    CU_ASSERT_TRUE(is_answered(env, OPEN "\r\n"));
    CU_ASSERT_TRUE(is_answered(env, OPEN "X-Key: " KEY_A "\r\n"
                                         "X-Customer: beta\r\n\r\n"));
    CU_ASSERT_TRUE(is_answered(env, OPEN "X-Key: secret-other\r\n\r\n"));
    CU_ASSERT_EQUAL(env->servers[0].requests, 3);
    CU_ASSERT_EQUAL(name_headers(env, 0), 0);
    CU_ASSERT_FALSE(key_leaked(env));
    env_stop(env);
}

/*
 * Guards against headers that are removed although the settings have no
 * customers, so that an application which uses the names itself breaks.
 */
static void
test_no_customers(void)
{
    struct env *env = env_start(1000, 100, 1000);

    CU_ASSERT_TRUE(
        is_answered(env, KEPT "X-Key: own\r\nX-Customer: own\r\n\r\n"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(env->servers[0].received->str, "x-key: own\r\n"));
    CU_ASSERT_EQUAL(named(env, 0, "own"), 1);
    env_stop(env);
}

static void
send_text(int fd, const char *text)
{
    CU_ASSERT_EQUAL(send(fd, text, strlen(text), MSG_NOSIGNAL),
                    (ssize_t)strlen(text));
}

/*
 * Guards against a connection that keeps the identity of its first request:
 * pipelined requests have keys of different customers, none, and an unknown
 * one.
 */
static void
test_pipelined(void)
{
    struct env *env = start_with_customers();
    int fd = env_connect(env);
    GString *r;

    send_text(fd, KEPT "X-Key: " KEY_A "\r\n\r\n" KEPT "X-Key: " KEY_B
                       "\r\n\r\n" KEPT "\r\n" KEPT
                       "X-Key: secret-other\r\n\r\n" KEPT "X-Key: " KEY_B
                       "\r\nConnection: close\r\n\r\n");
    r = env_read(fd, true);
    CU_ASSERT_EQUAL(count(r->str, "HTTP/1.1 200"), 3);
    CU_ASSERT_EQUAL(count(r->str, "HTTP/1.1 401"), 2);
    CU_ASSERT_EQUAL(named(env, 0, "alpha"), 1);
    CU_ASSERT_EQUAL(named(env, 0, "beta"), 2);
    CU_ASSERT_EQUAL(env->servers[0].requests, 3);
    g_string_free(r, TRUE);
    close(fd);
    env_stop(env);
}

/* Sends a request on a connection and returns the status of the response. */
static int
status_on(int fd, const char *request)
{
    GString *r;
    int status;

    send_text(fd, request);
    r = env_read(fd, false);
    status = env_status(r);
    g_string_free(r, TRUE);
    return status;
}

/*
 * Guards against a key that is withdrawn, or moved to another customer,
 * between two requests of one connection and that acts as before, and against
 * an older configuration that comes late and brings it back.
 */
static void
test_withdrawn(void)
{
    static const char request[] = KEPT "X-Key: " KEY_A "\r\n\r\n";
    struct env *env = start_with_customers();
    struct ggw_tree *old = customer_tree(8, BOTH);
    int fd = env_connect(env);

    CU_ASSERT_EQUAL(status_on(fd, request), 200);
    apply(env, 9, "\"alpha\":{}");
    CU_ASSERT_EQUAL(status_on(fd, request), 401);
    apply(env, 10, "\"beta\":{\"keys\":[\"" KEY_A "\"]}");
    CU_ASSERT_EQUAL(status_on(fd, request), 200);
    CU_ASSERT_EQUAL(named(env, 0, "alpha"), 1);
    CU_ASSERT_EQUAL(named(env, 0, "beta"), 1);
    apply(env, 11, "");
    env_publish(env, ggw_config_in_force_new(old));
    CU_ASSERT_EQUAL(status_on(fd, request), 401);
    CU_ASSERT_EQUAL(status_on(fd, request), 401);
    CU_ASSERT_EQUAL(env->servers[0].requests, 2);
    ggw_tree_unref(old);
    close(fd);
    env_stop(env);
}

/* Guards against 401 from a gateway that knows no configuration yet. */
static void
test_no_configuration(void)
{
    struct env *env = env_start_bare(100);

    CU_ASSERT_TRUE(env_expect(
        env, "GET /team/svc/read HTTP/1.1\r\nX-Key: " KEY_A "\r\n\r\n", 503,
        "not-run", "no-configuration"));
    env_stop(env);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"headers", test_headers},
        {"full names", test_full_names},
        {"further attempts", test_further_attempts},
        {"refused", test_refused},
        {"public", test_public},
        {"no customers", test_no_customers},
        {"pipelined", test_pipelined},
        {"withdrawn", test_withdrawn},
        {"no configuration", test_no_configuration},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proxy_customers", tests);
}
