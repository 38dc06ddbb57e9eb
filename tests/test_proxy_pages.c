#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config/vms.h"
#include "tests/proxy_env.h"
#include "tests/suite.h"

#define READ "GET /team/svc/read HTTP/1.1\r\nHost: h\r\n\r\n"

/* Requests a page, checks its status and returns its JSON, or NULL. */
static json_t *
get_page(struct env *env, const char *path, int status)
{
    g_autofree char *request =
        g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path);
    GString *r = env_ask(env, request);
    json_t *json;
    size_t len;
    const char *body = env_body(r, &len);

    CU_ASSERT_EQUAL(env_status(r), status);
    json = json_loadb(body, len, 0, NULL);
    g_string_free(r, TRUE);
    return json;
}

/* Returns the addresses in an entry response, separated by blanks. */
static char *
addresses(struct env *env, const char *path)
{
    json_t *json = get_page(env, path, 200);
    GString *text = g_string_new(NULL);
    json_t *item;
    size_t i;

    json_array_foreach(json_object_get(json, "addresses"), i, item)
    {
        g_string_append_printf(text, "%s%s", i > 0 ? " " : "",
                               json_string_value(item));
    }
    json_decref(json);
    return g_string_free(text, FALSE);
}

/* Adds a gateway to a MEMBERS_CHANGED. */
static void
add_member(struct ggw_message *m, const char *name, const char *domain,
           uint16_t port, enum ggw_member_state state, bool self)
{
    struct ggw_member member = {
        .name = (char *)name,
        .failure_domain = (char *)domain,
        .host = "127.0.0.1",
        .port = port,
        .incarnation = 1,
        .state = state,
        .self = self,
    };

    ggw_members_add((struct ggw_members_changed *)m, &member);
}

/*
 * Guards against entry responses that list gateways that do not serve:
 * suspected, leaving or dead ones and those in a domain that is out.
 */
static void
test_entry(void)
{
    struct env *env = env_start(1000, 2000, 1000);
    struct ggw_message *m = ggw_members_changed_new();
    struct ggw_tree *tree = env_tree(8, 1000, "fd-c");
    g_autofree char *own =
        g_strdup_printf("127.0.0.1:%u", (unsigned)ggw_proxy_port(env->proxy));
    g_autofree char *expected = NULL;
    g_autofree char *got = NULL;
    GString *r;

    got = addresses(env, "/-/entry?team=team&failure_domain=fd-b");
    CU_ASSERT_STRING_EQUAL(got, own);
    g_free(got);
    add_member(m, "gw-1", "fd-a", 1, GGW_MEMBER_ALIVE, true);
    add_member(m, "gw-2", "fd-a", 2, GGW_MEMBER_SUSPECTED, false);
    add_member(m, "gw-3", "fd-b", 3, GGW_MEMBER_ALIVE, false);
    add_member(m, "gw-4", "fd-b", 4, GGW_MEMBER_LEAVING, false);
    add_member(m, "gw-5", "fd-c", 5, GGW_MEMBER_ALIVE, false);
    add_member(m, "gw-6", "fd-c", 6, GGW_MEMBER_DEAD, false);
    env_publish(env, m);
    env_publish(env, ggw_config_in_force_new(tree));
    ggw_tree_unref(tree);
    got = addresses(env, "/-/entry?team=team&failure_domain=fd-b");
    expected = g_strdup_printf("127.0.0.1:3 %s", own);
    CU_ASSERT_STRING_EQUAL(got, expected);
    g_free(got);
    got = addresses(env, "/-/entry?failure_domain=fd-c");
    g_free(expected);
    expected = g_strdup_printf("127.0.0.1:5 %s 127.0.0.1:3", own);
    CU_ASSERT_STRING_EQUAL(got, expected);
    r = env_ask(env, "GET /-/entry?team=team HTTP/1.1\r\n\r\n");
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "cache-control"), "max-age=2");
    g_string_free(r, TRUE);
    CU_ASSERT_TRUE(env_expect(env, "GET /-/entry?team=x HTTP/1.1\r\n\r\n", 404,
                              "not-run", "no-route"));
    CU_ASSERT_TRUE(env_expect(env, "GET /-/nothing HTTP/1.1\r\n\r\n", 404,
                              "not-run", "no-route"));
    env_stop(env);
}

/*
 * Guards against settings of an older revision that replace newer ones, and
 * against missing values in the status and metrics pages.
 */
static void
test_status(void)
{
    struct env *env = env_start(1000, 100, 1000);
    struct ggw_tree *old = env_tree(3, 1000, "fd-out");
    json_t *json;
    GString *r;

    env_publish(env, ggw_config_in_force_new(old));
    ggw_tree_unref(old);
    CU_ASSERT_TRUE(env_expect(env, READ, 200, "done", ""));
    json = get_page(env, "/-/status", 200);
    CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(json, "name")),
                           "gw-1");
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(json, "incarnation")),
                    42);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(
                        json_object_get(json, "revisions"), "team")),
                    7);
    CU_ASSERT_TRUE(json_is_array(json_object_get(json, "members")));
    CU_ASSERT_TRUE(json_is_array(json_object_get(json, "backend_servers")));
    json_decref(json);
    r = env_ask(env, "GET /-/metrics HTTP/1.1\r\n\r\n");
    CU_ASSERT_PTR_NOT_NULL(strstr(
        r->str, "ggw_requests_total{team=\"team\",service=\"svc\",kind=\"read"
                "\",outcome=\"done\",reason=\"response\"}"));
    CU_ASSERT_PTR_NOT_NULL(strstr(r->str, "ggw_added_ms_count"));
    g_string_free(r, TRUE);
    env_stop(env);
}

static const char vms_json[] =
    "{\"version\":1,\"vms\":[{\"name\":\"s0\",\"role\":\"backend_server\","
    "\"team\":\"team\",\"service\":\"svc\",\"failure_domain\":\"fd-a\","
    "\"address\":\"127.0.0.1:9\",\"incarnation\":\"1\",\"state\":\"live\"}]}";

/* Returns the state of the only server in the status page, and its pause. */
static char *
server_state(struct env *env, json_int_t *pause_left)
{
    json_t *json = get_page(env, "/-/status", 200);
    json_t *server =
        json_array_get(json_object_get(json, "backend_servers"), 0);
    char *state =
        g_strdup(json_string_value(json_object_get(server, "state")));

    *pause_left = json_integer_value(json_object_get(server, "pause_left_ms"));
    json_decref(json);
    return state;
}

/* Guards against a status page that does not say what a server wants. */
static void
test_backoff_state(void)
{
    static const struct {
        enum ggw_backoff_state state;
        const char *text;
    } cases[] = {
        {GGW_BACKOFF_NONE, "live"},
        {GGW_BACKOFF_PAUSED, "pausing"},
        {GGW_BACKOFF_LEAVING, "draining (said by server)"},
        {GGW_BACKOFF_NONE, "live"},
    };
    struct env *env = env_start(1000, 100, 1000);
    struct ggw_vm_list *list = ggw_vm_list_parse(vms_json, NULL);
    ggw_ms until = ggw_clock_now(ggw_clock_system()) + 60000;

    env_publish(env, ggw_vms_changed_new(list));
    ggw_vm_list_unref(list);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *state = NULL;
        json_int_t left;

        env_send(env, "proxy",
                 ggw_server_backoff_new("s0", cases[i].state, until));
        state = server_state(env, &left);
        CU_ASSERT_STRING_EQUAL(state, cases[i].text);
        CU_ASSERT_EQUAL(left > 0, cases[i].state == GGW_BACKOFF_PAUSED);
    }
    env_stop(env);
}

/*
 * Guards against a shutdown that refuses, cuts off or loses a request: one in
 * progress, one on an idle connection, one on a connection opened later.
 */
static void
test_shutdown(void)
{
    struct env *env = env_start(10000, 200, 8000);
    int slow = env_connect(env);
    int idle = env_connect(env);
    GString *r;

    /* Ends after the listener has closed, 200 ms + 1 s after SHUTDOWN. */
    env->servers[0].script = SCRIPT_SLOW;
    env->servers[0].delay_ms = 1800;
    send(slow, READ, strlen(READ), 0);
    CU_ASSERT_TRUE(env_wait(env, &env->servers[0].requests, 1));
    env->servers[0].script = SCRIPT_OK;
    env_publish(env, ggw_shutdown_new());
    do { /* until SHUTDOWN has been delivered */
        r = env_ask(env, "GET /-/ready HTTP/1.1\r\n\r\n");
        if (env_status(r) == 503) {
            break;
        }
        g_string_free(r, TRUE);
    } while (true);
    g_string_free(r, TRUE);
    CU_ASSERT_TRUE(env_expect(env, READ, 200, "done", ""));
    send(idle, READ, strlen(READ), 0);
    r = env_read(idle, false);
    CU_ASSERT_EQUAL(env_status(r), 200);
    g_string_free(r, TRUE);
    r = env_read(slow, true);
    CU_ASSERT_EQUAL(env_status(r), 200);
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "connection"), "close");
    g_string_free(r, TRUE);
    close(slow);
    r = env_read(idle, true); /* closed without a byte */
    CU_ASSERT_EQUAL(r->len, 0);
    g_string_free(r, TRUE);
    close(idle);
    CU_ASSERT_TRUE(env_wait_ended(env));
    CU_ASSERT_EQUAL(env_connect(env), -1);
    env_stop(env);
}

/* Guards against a shutdown that never ends because a server is silent. */
static void
test_shutdown_timeout(void)
{
    struct env *env = env_start(60000, 50, 300);
    int fd = env_connect(env);

    env->servers[0].script = SCRIPT_SILENT;
    send(fd, "GET /team/svc/other HTTP/1.1\r\n\r\n", 32, 0);
    CU_ASSERT_TRUE(env_wait(env, &env->servers[0].requests, 1));
    env_publish(env, ggw_shutdown_new());
    CU_ASSERT_TRUE(env_wait_ended(env));
    close(fd);
    env_stop(env);
}

#define ROUTE_PAGE "/-/route?method=GET&"

/* Whether the page for a request names @name as its @member. */
static bool
route_is(struct env *env, const char *query, const char *member,
         const char *name)
{
    g_autofree char *path = g_strconcat(ROUTE_PAGE, query, NULL);
    json_t *json = get_page(env, path, 200);
    bool same =
        g_strcmp0(json_string_value(json_object_get(json, member)), name) == 0;

    json_decref(json);
    return same;
}

static bool
route_refused(struct env *env, const char *page, int status,
              const char *reason)
{
    g_autofree char *request =
        g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", page);

    return env_expect(env, request, status, "not-run", reason);
}

/*
 * Guards against a page that finds another route than a request does, and
 * against input that it cannot bear: no path, malformed escapes, a method in
 * lower case.
 */
static void
test_route(void)
{
    struct env *env = env_start(1000, 100, 1000);

    CU_ASSERT(route_is(env, "host=kept.example&path=/x", "route", "kept"));
    CU_ASSERT(
        route_is(env, "host=KEPT.example:80&path=/x?/y", "route", "kept"));
    CU_ASSERT(
        route_is(env, "host=once.example&path=/", "idempotency", "once"));
    CU_ASSERT(route_is(env, "path=/team/svc/read/1%3Fq=2", "kind", "read"));
    CU_ASSERT(route_is(env, "host=other.example&path=/team/svc/other", "kind",
                       "other"));
    CU_ASSERT(
        route_refused(env, ROUTE_PAGE "path=/team/svc/none", 404, "no-route"));
    CU_ASSERT(route_refused(env, ROUTE_PAGE "path=/team", 404, "no-route"));
    CU_ASSERT(route_refused(env, ROUTE_PAGE "path=", 404, "no-route"));
    CU_ASSERT(route_refused(env, ROUTE_PAGE "path=/%2525zz", 404, "no-route"));
    CU_ASSERT(route_refused(env, "/-/route?method=get&path=/team/svc/read",
                            404, "no-route"));
    CU_ASSERT(route_refused(env, ROUTE_PAGE "path=/%zz", 400, "bad-request"));
    CU_ASSERT(route_refused(env, ROUTE_PAGE "host=kept.example", 400,
                            "bad-request"));
    CU_ASSERT(route_refused(env, "/-/route?path=/", 400, "bad-request"));
    CU_ASSERT(route_refused(env, "/-/route", 400, "bad-request"));
    env_stop(env);
}

/* Guards against "no route matches" before any settings are known. */
static void
test_route_unconfigured(void)
{
    struct env *env = env_start_bare(100);

    CU_ASSERT(route_refused(env, ROUTE_PAGE "path=/team/svc/read", 503,
                            "no-configuration"));
    env_stop(env);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"entry", test_entry},
        {"status", test_status},
        {"backoff state", test_backoff_state},
        {"route", test_route},
        {"route without configuration", test_route_unconfigured},
        {"shutdown", test_shutdown},
        {"shutdown timeout", test_shutdown_timeout},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proxy pages", tests);
}
