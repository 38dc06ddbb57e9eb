#include "platform/http_call.h"

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/suite.h"

#define MIB ((size_t)1024 * 1024)

/* Requests that are in flight at a time. */
#define CALLS 16

/* Bytes that the store sends to each of several calls before it is silent. */
#define PART_BYTES (4 * MIB)

/* Memory for the bodies of all responses in progress; see docs/design.md. */
#define MAX_BODIES_BYTES (32 * MIB)

#define TIMEOUT_MS 5000.0

/* Time in ms in which the store sends all parts, on a busy machine. */
#define PARTS_MS 3000.0

/* Maximum time in ms for the end of a response without an end. */
#define CUT_MS 3000.0

/**
 * struct run - calls to a store of the test
 * @ended: number of calls that have ended
 * @early: number of them that ended before @early_until, monotonic ms
 */
struct run {
    uv_loop_t loop;
    struct ggw_http_client *http;
    pid_t store;
    int ended, early;
    ggw_ms early_until;
};

static ggw_ms
now_ms(void)
{
    return ggw_clock_now(ggw_clock_system());
}

/* A store connection and what was sent on it. */
struct served {
    int fd;
    size_t sent;
};

/* Sends up to @max bytes of a body without an end. */
static void
serve_more(struct served *c, size_t max)
{
    static const char head[] =
        "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n";
    static char block[65536];
    size_t len = MIN(sizeof(block), max - c->sent);
    ssize_t n;

    if (c->sent == 0 && write(c->fd, head, strlen(head)) < 0) {
        return;
    }
    memset(block, 'x', sizeof(block));
    n = send(c->fd, block, len, MSG_DONTWAIT | MSG_NOSIGNAL);
    c->sent += n > 0 ? (size_t)n : 0;
}

/* Serves CALLS connections until it is killed. */
static void
serve(int listener, size_t max)
{
    struct served conns[CALLS];
    struct pollfd fds[CALLS];
    char request[4096];

    for (int i = 0; i < CALLS; i++) {
        conns[i] = (struct served){.fd = accept(listener, NULL, NULL)};
        fds[i] = (struct pollfd){.fd = conns[i].fd, .events = POLLOUT};
        if (read(conns[i].fd, request, sizeof(request)) <= 0) {
            _exit(1);
        }
    }
    for (;;) {
        poll(fds, CALLS, -1);
        for (int i = 0; i < CALLS; i++) {
            if (conns[i].sent < max) {
                serve_more(&conns[i], max);
            }
            else {
                fds[i].fd = -1;
            }
        }
    }
}

static void
on_response(void *data, const struct ggw_http_response *response)
{
    struct run *run = data;

    CU_ASSERT_EQUAL(response->outcome, GGW_HTTP_UNKNOWN);
    run->ended++;
    run->early += now_ms() < run->early_until;
}

/* Listens on a free port of the loopback address; returns the descriptor. */
static int
listen_on_loopback(uint16_t *port)
{
    struct sockaddr_in sa = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t len = sizeof(sa);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    g_assert_true(bind(fd, (struct sockaddr *)&sa, len) == 0);
    g_assert_true(listen(fd, CALLS) == 0);
    g_assert_true(getsockname(fd, (struct sockaddr *)&sa, &len) == 0);
    *port = ntohs(sa.sin_port);
    return fd;
}

static void
start_store(struct run *run, size_t max, uint16_t *port)
{
    int fd = listen_on_loopback(port);

    run->store = fork();
    if (run->store == 0) {
        serve(fd, max);
    }
    close(fd);
}

/*
 * Sends CALLS requests to a store that sends @max bytes of each response, and
 * waits until they have ended.
 */
static void
run_calls(struct run *run, size_t max, ggw_ms early)
{
    uint16_t port;

    memset(run, 0, sizeof(*run));
    start_store(run, max, &port);
    uv_loop_init(&run->loop);
    run->http =
        ggw_http_new(&run->loop, ggw_clock_system(), "127.0.0.1", port, NULL);
    run->early_until = now_ms() + early;
    for (int i = 0; i < CALLS; i++) {
        ggw_http_send(run->http, &(struct ggw_http_request){
                                     .method = "GET",
                                     .path = "/",
                                     .timeout = TIMEOUT_MS,
                                     .cb = on_response,
                                     .data = run,
                                 });
    }
    while (run->ended < CALLS) {
        uv_run(&run->loop, UV_RUN_ONCE);
    }
    ggw_http_stop(run->http, g_free);
    uv_run(&run->loop, UV_RUN_DEFAULT);
    ggw_http_destroy(run->http);
    uv_loop_close(&run->loop);
    kill(run->store, SIGKILL);
    waitpid(run->store, NULL, 0);
}

/* Guards against the body of one call that fills the memory. */
static void
test_endless(void)
{
    struct run run;

    run_calls(&run, SIZE_MAX, CUT_MS);
    CU_ASSERT_EQUAL(run.early, CALLS);
}

/*
 * Guards against bodies that are bounded one by one, but not together: of the
 * calls that get PART_BYTES each, only those that fit into the limit go on.
 */
static void
test_sum(void)
{
    struct run run;

    run_calls(&run, PART_BYTES, PARTS_MS);
    CU_ASSERT_TRUE(run.early >= CALLS - (int)(MAX_BODIES_BYTES / PART_BYTES));
    CU_ASSERT_TRUE(run.early < CALLS);
}

/* Accepts one connection, sends @text on it and ends. */
static void
serve_text(int listener, const char *text)
{
    int fd = accept(listener, NULL, NULL);
    char request[4096];

    if (read(fd, request, sizeof(request)) <= 0) {
        _exit(1);
    }
    _exit(write(fd, text, strlen(text)) < 0 ? 1 : 0);
}

static void
on_outcome(void *data, const struct ggw_http_response *response)
{
    *(enum ggw_http_outcome *)data = response->outcome;
}

/* Outcome of a call to a store that sends @text. */
static enum ggw_http_outcome
outcome_of(const char *text)
{
    enum ggw_http_outcome outcome = GGW_HTTP_NOT_SENT;
    struct ggw_http_client *http;
    uv_loop_t loop;
    uint16_t port;
    int listener = listen_on_loopback(&port);
    pid_t store = fork();

    if (store == 0) {
        serve_text(listener, text);
    }
    close(listener);
    uv_loop_init(&loop);
    http = ggw_http_new(&loop, ggw_clock_system(), "127.0.0.1", port, NULL);
    ggw_http_send(http, &(struct ggw_http_request){
                            .method = "POST",
                            .path = "/",
                            .body = "{}",
                            .timeout = TIMEOUT_MS,
                            .cb = on_outcome,
                            .data = &outcome,
                        });
    while (outcome == GGW_HTTP_NOT_SENT) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    ggw_http_stop(http, g_free);
    uv_run(&loop, UV_RUN_DEFAULT);
    ggw_http_destroy(http);
    uv_loop_close(&loop);
    waitpid(store, NULL, 0);
    return outcome;
}

/* Guards against bytes that are no HTTP and are taken for a response. */
static void
test_malformed(void)
{
    static const char *const texts[] = {
        "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 2 00 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2;\001\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 103 E\r\nContent-Length: 2\r\n\r\n{}"
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
    };

    CU_ASSERT_EQUAL(
        outcome_of("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
        GGW_HTTP_COMPLETE);
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        CU_ASSERT_EQUAL(outcome_of(texts[i]), GGW_HTTP_UNKNOWN);
    }
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"endless", test_endless},
        {"sum of bodies", test_sum},
        {"malformed", test_malformed},
        CU_TEST_INFO_NULL,
    };

    return suite_run("calls to the store", tests);
}
