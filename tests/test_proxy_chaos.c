#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/proxy_env.h"
#include "tests/suite.h"

/* Concurrent clients, and requests of each. */
#define CLIENTS 6
#define REQUESTS 120

struct client {
    struct env *env;
    uint32_t seed;
};

/* Sends requests of all kinds; sometimes disconnects before the response. */
static void *
run_client(void *arg)
{
    static const char *const requests[] = {
        "GET /team/svc/read HTTP/1.1\r\nConnection: close\r\n\r\n",
        "GET /team/svc/other HTTP/1.1\r\nConnection: close\r\n\r\n",
        "POST /team/svc/order HTTP/1.1\r\nX-Order: A\r\n"
        "Connection: close\r\nContent-Length: 3\r\n\r\nabc",
    };
    struct client *c = arg;
    GRand *rand = g_rand_new_with_seed(c->seed);

    for (int i = 0; i < REQUESTS; i++) {
        const char *request =
            requests[g_rand_int_range(rand, 0, G_N_ELEMENTS(requests))];
        int fd = env_connect(c->env);

        send(fd, request, strlen(request), MSG_NOSIGNAL);
        if (g_rand_int_range(rand, 0, 3) > 0) {
            g_string_free(env_read(fd, true), TRUE);
        }
        close(fd);
    }
    g_rand_free(rand);
    return NULL;
}

/*
 * Guards against a slot that is never released or released twice, and against
 * a claim that is won and never settled, when servers fail at random and
 * clients disconnect.
 */
static void
test_every_grant_is_released(void)
{
    static const enum script scripts[] = {
        SCRIPT_OK,          SCRIPT_SHED,       SCRIPT_BARE_503,
        SCRIPT_RESET,       SCRIPT_RESET_HEAD, SCRIPT_SHORT,
        SCRIPT_SHORT_CHUNK, SCRIPT_UNFRAMED,   SCRIPT_SILENT,
        SCRIPT_SILENT_BODY, SCRIPT_CHUNKED,    SCRIPT_EXTRA,
        SCRIPT_CLOSED,      SCRIPT_NO_BODY,    SCRIPT_INTERIM,
    };
    struct env *env = env_start(150, 100, 1000);
    struct client clients[CLIENTS];
    pthread_t threads[CLIENTS];
    GRand *rand = g_rand_new_with_seed(11);
    bool idle;
    GHashTable *released = g_hash_table_new(NULL, NULL);

    for (int i = 0; i < CLIENTS; i++) {
        clients[i] = (struct client){env, (uint32_t)i + 1};
        pthread_create(&threads[i], NULL, run_client, &clients[i]);
    }
    for (int n = 100; n < CLIENTS * REQUESTS / 2; n += 4) {
        /* Scripts change by number of requests, not by time. */
        CU_ASSERT_TRUE(env_wait(env, &env->slot_requests, n));
        env->servers[g_rand_int_range(rand, 0, ENV_SERVERS)].script =
            scripts[g_rand_int_range(rand, 0, G_N_ELEMENTS(scripts))];
    }
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(threads[i], NULL);
    }
    do {
        g_autoptr(GString) status = NULL;

        status = env_ask(env, "GET /-/status HTTP/1.1\r\n\r\n");
        idle = strstr(status->str, "\"requests\":0,") != NULL;
    } while (!idle);
    /* "slots" itself releases grants that crossed a cancellation. */
    CU_ASSERT_TRUE(env_wait_len(env, env->settles, env->claims_asked));
    CU_ASSERT_TRUE(
        env_wait_len(env, env->releases, (int)env->next_grant - env->cancels));
    pthread_mutex_lock(&env->lock);
    CU_ASSERT_EQUAL((int)env->settles->len, env->claims_asked);
    for (guint i = 0; i < env->releases->len; i++) {
        CU_ASSERT_TRUE(g_hash_table_add(
            released,
            GSIZE_TO_POINTER(
                g_array_index(env->releases, struct ggw_slot_release, i)
                    .grant)));
    }
    pthread_mutex_unlock(&env->lock);
    CU_ASSERT_TRUE(
        env_expect(env, "GET /-/health HTTP/1.1\r\n\r\n", 200, "", ""));
    g_hash_table_destroy(released);
    g_rand_free(rand);
    env_stop(env);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"every grant is released", test_every_grant_is_released},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proxy chaos", tests);
}
