#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/proxy_env.h"
#include "tests/suite.h"

/* How requests end when the gateway stops or their client disconnects. */

#define BUFFERED_REQUEST "GET /any HTTP/1.1\r\nHost: kept.example\r\n\r\n"
#define NO_REPEAT_REQUEST                                                     \
    "POST /o HTTP/1.1\r\nHost: once.example\r\nContent-Length: 2\r\n\r\nhi"

/* Delay of a server that responds after the gateway has stopped, ms. */
#define TOO_SLOW_MS 5000

static int
send_request(struct env *env, const char *request)
{
    int fd = env_connect(env);

    CU_ASSERT_EQUAL(write(fd, request, strlen(request)),
                    (ssize_t)strlen(request));
    return fd;
}

/* Whether the response on @fd has this status and outcome. Closes @fd. */
static bool
is_refused(int fd, int status, const char *outcome)
{
    GString *r = env_read(fd, false);
    bool ok = env_status(r) == status &&
              strcmp(env_header_or(r, "greengageway-outcome"), outcome) == 0;

    if (!ok) {
        printf("expected %d %s, got: %s\n", status, outcome, r->str);
    }
    g_string_free(r, TRUE);
    close(fd);
    return ok;
}

/*
 * Guards against a request that runs at a server when the drain ends and is
 * answered with 503, so that its client sends it again and it runs twice.
 */
static void
test_running_at_drain_end(void)
{
    static const char *const requests[] = {NO_REPEAT_REQUEST,
                                           BUFFERED_REQUEST};

    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        struct env *env = env_start(2 * TOO_SLOW_MS, 100, 100);
        int fd;

        env->servers[0].script = SCRIPT_SLOW;
        env->servers[0].delay_ms = TOO_SLOW_MS;
        fd = send_request(env, requests[i]);
        CU_ASSERT_TRUE(env_wait(env, &env->servers[0].requests, 1));
        env_publish(env, ggw_shutdown_new());
        CU_ASSERT_TRUE(is_refused(fd, 502, "unknown"));
        CU_ASSERT_TRUE(env_wait_ended(env));
        env_stop(env);
    }
}

/*
 * Guards against a request that still waits for a server when the drain ends
 * and is answered as if it might have run, so that its client gives it up.
 */
static void
test_waiting_at_drain_end(void)
{
    struct env *env = env_start(2 * TOO_SLOW_MS, 100, 100);
    int fd;

    env->slots_mode = ENV_HOLD;
    fd = send_request(env, NO_REPEAT_REQUEST);
    CU_ASSERT_TRUE(env_wait(env, &env->slot_requests, 1));
    env_publish(env, ggw_shutdown_new());
    CU_ASSERT_TRUE(is_refused(fd, 503, "not-run"));
    CU_ASSERT_TRUE(env_wait_ended(env));
    env_stop(env);
}

/*
 * Guards against a client that closes only its sending side and is told 503
 * while the request that it sent runs on.
 */
static void
test_half_closed_while_running(void)
{
    struct env *env = env_start_like_site(2 * TOO_SLOW_MS, 100, 100);
    int fd;

    env->servers[0].script = SCRIPT_SLOW;
    env->servers[0].delay_ms = TOO_SLOW_MS;
    fd = send_request(env, NO_REPEAT_REQUEST);
    CU_ASSERT_TRUE(env_wait(env, &env->servers[0].requests, 1));
    shutdown(fd, SHUT_WR);
    CU_ASSERT_TRUE(is_refused(fd, 502, "unknown"));
    env_stop(env);
}

/*
 * Guards against a server's own 503 that does not say "not run" and that makes
 * a client send a request again that must not be repeated.
 */
static void
test_promise_without_proof(void)
{
    struct env *env = env_start_like_site(2 * TOO_SLOW_MS, 100, 100);

    env->servers[0].script = SCRIPT_BARE_503;
    CU_ASSERT_TRUE(
        is_refused(send_request(env, NO_REPEAT_REQUEST), 502, "unknown"));
    CU_ASSERT_EQUAL(env_result(env, 0), GGW_ATTEMPT_ERROR);
    for (size_t i = 0; i < ENV_SERVERS; i++) {
        env->servers[i].script = SCRIPT_BARE_503;
    }
    CU_ASSERT_TRUE(
        is_refused(send_request(env, BUFFERED_REQUEST), 503, "unknown"));
    env_stop(env);
}

/*
 * Most body bytes that a server can send before it sees that the gateway has
 * closed: what the gateway discards and what the sockets hold.
 */
#define MAX_DISCARDED_BYTES (16 * 1024 * 1024)

/*
 * Guards against a response without an end that is buffered, or read, for an
 * order whose client has left, until the gateway exceeds its memory.
 */
static void
test_endless_without_client(void)
{
    static const unsigned body_delays_ms[] = {0, 200};

    for (size_t i = 0; i < G_N_ELEMENTS(body_delays_ms); i++) {
        struct env *env = env_start(2 * TOO_SLOW_MS, 100, 100);
        int fd;

        env->servers[0].script = SCRIPT_ENDLESS;
        env->servers[0].delay_ms = body_delays_ms[i];
        fd = send_request(env, NO_REPEAT_REQUEST);
        CU_ASSERT_TRUE(env_wait(env, &env->servers[0].requests, 1));
        close(fd);
        CU_ASSERT_TRUE(env_wait(env, &env->servers[0].closed, 1));
        CU_ASSERT_TRUE(env->servers[0].body_sent < MAX_DISCARDED_BYTES);
        CU_ASSERT_TRUE(env_wait_len(env, env->releases, 1));
        env_stop(env);
    }
}

/*
 * Guards against a refusal of a server whose body never ends and that keeps
 * its request from being tried elsewhere.
 */
static void
test_endless_refusal(void)
{
    static const char *const requests[] = {NO_REPEAT_REQUEST,
                                           BUFFERED_REQUEST};

    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        struct env *env = env_start(2 * TOO_SLOW_MS, 100, 100);
        GString *r;

        env->servers[0].script = SCRIPT_SHED_ENDLESS;
        r = env_ask(env, requests[i]);
        CU_ASSERT_EQUAL(env_status(r), 200);
        CU_ASSERT_STRING_EQUAL(env_header_or(r, "x-server"), "s1");
        g_string_free(r, TRUE);
        CU_ASSERT_EQUAL(env_result(env, 0), GGW_ATTEMPT_SHED);
        CU_ASSERT_TRUE(env_wait(env, &env->servers[0].closed, 1));
        CU_ASSERT_TRUE(env->servers[0].body_sent < MAX_DISCARDED_BYTES);
        env_stop(env);
    }
}

/* Size in bytes of a response, and of the receive buffer of a slow client. */
#define LARGE_BYTES 30000
#define SMALL_WINDOW_BYTES 8192

/**
 * struct ending - how a connection with an unread request is closed
 * @script: script of the server
 * @request: the first request
 * @leaving: the gateway shuts down in the meantime
 */
struct ending {
    enum script script;
    const char *request;
    bool leaving;
};

/* Connects with a small receive buffer. */
static int
connect_slowly(struct env *env)
{
    int fd = env_connect_with_window(env, SMALL_WINDOW_BYTES);

    CU_ASSERT_TRUE(fd >= 0);
    return fd;
}

/* Waits until the event loop of the gateway has had a turn. */
static void
wait_for_turn(struct env *env)
{
    GString *r = env_ask(env, "GET /-/health HTTP/1.1\r\nHost: h\r\n\r\n");

    g_string_free(r, TRUE);
}

/*
 * Sends a request, and a further one that the gateway leaves unread because it
 * closes the connection after the first response. Returns the size of the body
 * that the client gets, or -1 if its connection is reset.
 */
static int
body_before_unread(const struct ending *e)
{
    struct env *env = env_start(2 * TOO_SLOW_MS, 1000, 3000);
    g_autofree char *body = g_strnfill(LARGE_BYTES, 'x');
    int fd = connect_slowly(env);
    GString *r;
    size_t len;
    bool in_order;

    env->servers[0].body = body;
    env->servers[0].body_len = LARGE_BYTES;
    env->servers[0].script = e->script;
    env->servers[0].delay_ms = 100;
    CU_ASSERT_TRUE(write(fd, e->request, strlen(e->request)) > 0);
    CU_ASSERT_TRUE(env_wait(env, &env->servers[0].requests, 1));
    if (e->leaving) {
        env_publish(env, ggw_shutdown_new());
    }
    CU_ASSERT_TRUE(write(fd, BUFFERED_REQUEST, strlen(BUFFERED_REQUEST)) > 0);
    CU_ASSERT_TRUE(env_wait_len(env, env->releases, 1));
    wait_for_turn(env);
    wait_for_turn(env);
    r = env_read(fd, true);
    in_order = recv(fd, &len, 1, 0) == 0;
    env_body(r, &len);
    g_string_free(r, TRUE);
    close(fd);
    env_stop(env);
    return in_order ? (int)len : -1;
}

/*
 * Guards against a response that is cut by a reset because the gateway closes
 * the connection while a further request lies unread in its socket.
 */
static void
test_close_with_unread_request(void)
{
    static const struct ending endings[] = {
        {SCRIPT_SLOW, BUFFERED_REQUEST, true},
        {SCRIPT_SLOW,
         "GET /any HTTP/1.1\r\nHost: kept.example\r\nConnection: close\r\n"
         "\r\n",
         false},
        {SCRIPT_UNFRAMED, "GET /team/svc/other HTTP/1.0\r\nHost: h\r\n\r\n",
         false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(endings); i++) {
        CU_ASSERT_EQUAL(body_before_unread(&endings[i]), LARGE_BYTES);
    }
}

/* Size in bytes of a response that the sockets cannot hold. */
#define HUGE_BYTES (16 * 1024 * 1024)

/* Whether a response states a length that its body does not reach. */
static bool
is_short(const GString *r)
{
    const char *length = env_header(r, "content-length");
    size_t stated = length != NULL ? strtoul(length, NULL, 10) : 0;
    size_t len;

    env_body(r, &len);
    return len < stated;
}

/*
 * Whether what comes until the connection ends shows that it is incomplete: it
 * is reset, shorter than its length, or in chunks without the last one.
 */
static bool
is_visibly_cut(int fd)
{
    g_autoptr(GString) r = g_string_new(NULL);
    char buf[65536];
    ssize_t n;

    while ((n = recv(fd, buf, sizeof(buf), 0)) > 0) {
        g_string_append_len(r, buf, n);
    }
    if (n < 0) {
        return errno == ECONNRESET;
    }
    if (strcmp(env_header_or(r, "transfer-encoding"), "chunked") != 0) {
        return is_short(r);
    }
    return !g_str_has_suffix(r->str, "\r\n0\r\n\r\n");
}

/*
 * Guards against a response without a length that looks complete because its
 * connection is closed in order when the drain ends, or when its client has
 * not read for too long.
 */
static void
test_cut_without_length(void)
{
    static const char old[] = "GET /any HTTP/1.0\r\nHost: kept.example\r\n"
                              "\r\n";
    static const enum script scripts[] = {SCRIPT_UNFRAMED,
                                          SCRIPT_UNFRAMED_206};
    const char *const requests[] = {BUFFERED_REQUEST, old};
    g_autofree char *body = g_strnfill(HUGE_BYTES, 'x');

    for (size_t i = 0; i < 4; i++) {
        struct env *env = env_start(2 * TOO_SLOW_MS, 100, 300);
        const char *request = requests[i % 2];
        int fd = connect_slowly(env);

        env->servers[0].body = body;
        env->servers[0].body_len = HUGE_BYTES;
        env->servers[0].script = scripts[i / 2];
        CU_ASSERT_TRUE(write(fd, request, strlen(request)) > 0);
        CU_ASSERT_TRUE(env_wait(env, &env->servers[0].requests, 1));
        env_publish(env, ggw_shutdown_new());
        CU_ASSERT_TRUE(env_wait_ended(env));
        CU_ASSERT_TRUE(is_visibly_cut(fd));
        close(fd);
        env_stop(env);
    }
}

/* Limit for a client that takes no bytes, ms. */
#define PROGRESS_MS 300

/*
 * Guards against a client that takes no bytes of its response and holds a slot
 * for ever, and against a part of a response that then looks complete.
 */
static void
test_client_takes_nothing(void)
{
    static const struct env_client_limits limits = {.progress = PROGRESS_MS};
    static const struct {
        enum script script;
        const char *request;
    } cases[] = {
        {SCRIPT_OK, "GET /team/svc/other HTTP/1.1\r\nHost: h\r\n\r\n"},
        {SCRIPT_OK, BUFFERED_REQUEST},
        {SCRIPT_OK, NO_REPEAT_REQUEST},
        {SCRIPT_UNFRAMED, BUFFERED_REQUEST},
        {SCRIPT_UNFRAMED, "GET /any HTTP/1.0\r\nHost: kept.example\r\n\r\n"},
    };
    g_autofree char *body = g_strnfill(HUGE_BYTES, 'x');

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct env *env = env_start_impatient(2 * TOO_SLOW_MS, &limits);
        int fd = connect_slowly(env);
        gint64 start = g_get_monotonic_time();

        env->servers[0].body = body;
        env->servers[0].body_len = HUGE_BYTES;
        env->servers[0].script = cases[i].script;
        CU_ASSERT_TRUE(write(fd, cases[i].request, strlen(cases[i].request)) >
                       0);
        CU_ASSERT_TRUE(env_wait_len(env, env->releases, 1));
        CU_ASSERT_TRUE(g_get_monotonic_time() - start >= 1000 * PROGRESS_MS);
        CU_ASSERT_TRUE(env_wait(env, &env->servers[0].closed, 1));
        CU_ASSERT_TRUE(is_visibly_cut(fd));
        close(fd);
        env_stop(env);
    }
}

/* Limit for a connection without a request, ms. */
#define IDLE_MS 400

/*
 * Shortest time until the close, in us: the limit counts from the start of a
 * turn of the event loop, which may lie before the client's own time.
 */
#define MIN_IDLE_US (1000 * IDLE_MS / 2)

/*
 * Guards against an idle connection that is kept for ever, and against one
 * that is closed with a response still to come.
 */
static void
test_client_is_idle(void)
{
    static const struct env_client_limits limits = {.idle = IDLE_MS};
    struct env *env = env_start_impatient(2 * TOO_SLOW_MS, &limits);
    gint64 start = g_get_monotonic_time();
    int silent = env_connect(env);
    int served = env_connect(env);
    char byte;
    GString *r;

    env->servers[0].script = SCRIPT_SLOW;
    env->servers[0].delay_ms = 2 * IDLE_MS;
    CU_ASSERT_TRUE(write(served, BUFFERED_REQUEST, strlen(BUFFERED_REQUEST)) >
                   0);
    CU_ASSERT_EQUAL(recv(silent, &byte, 1, 0), 0);
    CU_ASSERT_TRUE(g_get_monotonic_time() - start >= MIN_IDLE_US);
    r = env_read(served, false);
    start = g_get_monotonic_time();
    CU_ASSERT_EQUAL(env_status(r), 200);
    CU_ASSERT_EQUAL(recv(served, &byte, 1, 0), 0);
    CU_ASSERT_TRUE(g_get_monotonic_time() - start >= MIN_IDLE_US);
    g_string_free(r, TRUE);
    close(silent);
    close(served);
    env_stop(env);
}

/* Drain that an idle connection must not use up, ms. */
#define LONG_DRAIN_MS 30000

/*
 * Guards against an idle connection that keeps the gateway from ending, and
 * against one that is reset.
 */
static void
test_idle_at_shutdown(void)
{
    struct env *env = env_start(2 * TOO_SLOW_MS, 100, LONG_DRAIN_MS);
    int fd = env_connect(env);
    GString *r;
    char byte;

    CU_ASSERT_TRUE(write(fd, BUFFERED_REQUEST, strlen(BUFFERED_REQUEST)) > 0);
    r = env_read(fd, false);
    CU_ASSERT_EQUAL(env_status(r), 200);
    env_publish(env, ggw_shutdown_new());
    CU_ASSERT_EQUAL(recv(fd, &byte, 1, 0), 0);
    CU_ASSERT_TRUE(env_wait_ended(env));
    g_string_free(r, TRUE);
    close(fd);
    env_stop(env);
}

/* Lowers the limit of descriptors to those that are open. */
static struct rlimit
use_all_descriptors(void)
{
    struct rlimit usual, none;
    int fd = open("/dev/null", O_RDONLY | O_CLOEXEC);

    getrlimit(RLIMIT_NOFILE, &usual);
    none = (struct rlimit){(rlim_t)fd, usual.rlim_max};
    close(fd);
    setrlimit(RLIMIT_NOFILE, &none);
    return usual;
}

/* Connects and sends a request; returns whether the connection was closed. */
static bool
is_closed_unanswered(struct env *env, int fd)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(ggw_proxy_port(env->proxy)),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    struct timeval limit = {.tv_sec = 10};
    char byte;
    ssize_t n;

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        return false;
    }
    (void)send(fd, BUFFERED_REQUEST, strlen(BUFFERED_REQUEST), MSG_NOSIGNAL);
    n = read(fd, &byte, 1);
    return n == 0 || (n < 0 && errno == ECONNRESET);
}

/*
 * Waits until the event loop of the gateway has ended the turn that it is in.
 * The gateway handles the probe request in a later one.
 */
static void
wait_for_next_turn(struct env *env)
{
    env_send(
        env, "proxy",
        ggw_probe_request_new("s0", "127.0.0.1", env->servers[0].port, 1000));
    CU_ASSERT_TRUE(env_wait_len(env, env->probe_results, 1));
}

/* Connections that are tried, and the pause between two of them, us. */
#define TRIES 20
#define TRY_PAUSE_US 200000

/*
 * Guards against a gateway without a free descriptor that lets connections
 * wait for good, runs their requests, or accepts none any more afterwards. The
 * first ones may be accepted, and served or refused, as long as the gateway
 * closes earlier connections.
 */
static void
test_no_descriptor(void)
{
    struct env *env = env_start(1000, 100, 1000);
    struct rlimit usual;
    int fds[TRIES];
    int accepted = 0;

    for (int i = 0; i < TRIES; i++) {
        fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    }
    usual = use_all_descriptors();
    while (accepted < TRIES && !is_closed_unanswered(env, fds[accepted])) {
        g_usleep(TRY_PAUSE_US);
        accepted++;
    }
    setrlimit(RLIMIT_NOFILE, &usual);
    CU_ASSERT_TRUE(accepted < TRIES);
    CU_ASSERT_TRUE(env->servers[0].requests <= accepted);
    for (int i = 0; i < TRIES; i++) {
        close(fds[i]);
    }
    /*
     * The turn that found no descriptor closes all connections that come
     * during it, also with a descriptor.
     */
    wait_for_next_turn(env);
    CU_ASSERT_TRUE(env_expect(env, BUFFERED_REQUEST, 200, "done", ""));
    env_stop(env);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"running at drain end", test_running_at_drain_end},
        {"waiting at drain end", test_waiting_at_drain_end},
        {"half closed while running", test_half_closed_while_running},
        {"promise without proof", test_promise_without_proof},
        {"endless without client", test_endless_without_client},
        {"endless refusal", test_endless_refusal},
        {"close with unread request", test_close_with_unread_request},
        {"cut without length", test_cut_without_length},
        {"client takes nothing", test_client_takes_nothing},
        {"client is idle", test_client_is_idle},
        {"idle at shutdown", test_idle_at_shutdown},
        {"no descriptor", test_no_descriptor},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proxy_end", tests);
}
