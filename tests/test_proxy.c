#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "tests/proxy_env.h"

static void
expect(struct env *env, const char *request, int status, const char *outcome,
       const char *reason)
{
    GString *r = env_ask(env, request);

    CU_ASSERT_EQUAL(env_status(r), status);
    CU_ASSERT_STRING_EQUAL(env_header(r, "greengageway-outcome")
                               ? env_header(r, "greengageway-outcome")
                               : "",
                           outcome);
    if (reason != NULL) {
        CU_ASSERT_STRING_EQUAL(env_header(r, "greengageway-reason")
                                   ? env_header(r, "greengageway-reason")
                                   : "",
                               reason);
    }
    if (env_status(r) != status) {
        printf("\n%s\n-> %s\n", request, r->str);
    }
    g_string_free(r, TRUE);
}

#define READ "GET /team/svc/read/a?b=c HTTP/1.1\r\nHost: h\r\n\r\n"

/* Guards against a whole path that does not work at all. */
static void
test_whole_path(void)
{
    struct env *env = env_start(1000, 100, 1000);
    struct ggw_slot_release *release;
    GString *r;
    size_t len;

    env->servers[0].load = "slots=2; busy=1; queue=3; cold=0; draining=0; "
                           "incarnation=9";
    r = env_ask(env, READ);
    CU_ASSERT_EQUAL(env_status(r), 200);
    CU_ASSERT_STRING_EQUAL(env_header(r, "greengageway-outcome"), "done");
    CU_ASSERT_STRING_EQUAL(env_header(r, "x-server"), "s0");
    CU_ASSERT_PTR_NULL(env_header(r, "backend-load"));
    CU_ASSERT_STRING_EQUAL(env_body(r, &len), "hello");
    g_string_free(r, TRUE);
    CU_ASSERT_TRUE(env_wait_len(env, &env->releases, 1));
    release = &g_array_index(env->releases, struct ggw_slot_release, 0);
    CU_ASSERT_EQUAL(release->result, GGW_ATTEMPT_OK);
    CU_ASSERT_TRUE(release->latency > 0);
    CU_ASSERT_TRUE(release->report.present);
    CU_ASSERT_EQUAL(release->report.queue, 3);
    CU_ASSERT_EQUAL(release->report.incarnation, 9);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(env->servers[0].seen->str, "GET /read/a?b=c HTTP/1.1\r\n"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(env->servers[0].seen->str, "greengageway-attempt: 0\r\n"));
    env_stop(env);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("proxy", NULL, NULL);
    CU_add_test(suite, "whole path", test_whole_path);
    (void)expect;
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
