#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/metrics.h"
#include "http/linger.h"
#include "kernel/clock.h"
#include "tests/suite.h"

/* Size in bytes of the response, and of the client's receive buffer. */
#define RESPONSE_BYTES 60000
#define WINDOW_BYTES 8192

/* The test gives up after this time in ms. */
#define WAIT_LIMIT 10000.0

/**
 * struct ends - the two ends of a connection
 * @gateway: socket of the gateway, to which the response was written
 * @client: non-blocking socket of the client
 */
struct ends {
    int gateway;
    int client;
};

static ggw_ms
now_ms(void)
{
    return ggw_clock_now(ggw_clock_system());
}

/* Connects; the response is written and input of the client lies unread. */
static struct ends
connect_ends(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(address);
    int window = WINDOW_BYTES;
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_autofree char *response = g_strnfill(RESPONSE_BYTES, 'x');
    struct ends e;

    CU_ASSERT_EQUAL(
        bind(listener, (struct sockaddr *)&address, sizeof(address)), 0);
    listen(listener, 1);
    getsockname(listener, (struct sockaddr *)&address, &len);
    e.client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(e.client, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    CU_ASSERT_EQUAL(
        connect(e.client, (struct sockaddr *)&address, sizeof(address)), 0);
    e.gateway = accept4(listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
    close(listener);
    CU_ASSERT_EQUAL(write(e.gateway, response, RESPONSE_BYTES),
                    RESPONSE_BYTES);
    CU_ASSERT_EQUAL(write(e.client, "more", 4), 4);
    fcntl(e.client, F_SETFL, O_NONBLOCK);
    return e;
}

/**
 * struct reader - a client that reads whenever the loop turns
 * @bytes: bytes received
 * @result: of the last recv(): 0 after an orderly end
 * @sends: sends a byte at each turn
 */
struct reader {
    int fd;
    size_t bytes;
    ssize_t result;
    bool sends;
};

/* Runs the loop, with the client reading, until no socket lingers. */
static void
run_with_reader(uv_loop_t *loop, const struct ggw_lingers *l, struct reader *r)
{
    ggw_ms end = now_ms() + WAIT_LIMIT;
    char buf[4096];

    while (l->len > 0 && now_ms() < end) {
        if (r->sends) {
            send(r->fd, "x", 1, MSG_NOSIGNAL);
        }
        r->result = recv(r->fd, buf, sizeof(buf), 0);
        r->bytes += r->result > 0 ? (size_t)r->result : 0;
        uv_run(loop, UV_RUN_NOWAIT);
    }
    CU_ASSERT_EQUAL(l->len, 0);
    while ((r->result = recv(r->fd, buf, sizeof(buf), 0)) > 0) {
        r->bytes += (size_t)r->result;
    }
}

static void
close_loop(uv_loop_t *loop)
{
    uv_run(loop, UV_RUN_DEFAULT);
    CU_ASSERT_EQUAL(uv_loop_close(loop), 0);
}

/*
 * Guards against a response that is lost because the connection is closed with
 * unread input, also when more input arrives, and against a client that keeps
 * the socket open by sending.
 */
static void
test_response_is_taken(void)
{
    for (int sends = 0; sends < 2; sends++) {
        struct ggw_lingers l = {0};
        struct ends e = connect_ends();
        struct reader r = {.fd = e.client, .sends = sends != 0};
        uv_loop_t loop;

        uv_loop_init(&loop);
        ggw_lingers_init(&l, &loop);
        ggw_lingers_add(&l, e.gateway);
        run_with_reader(&loop, &l, &r);
        CU_ASSERT_EQUAL(r.bytes, RESPONSE_BYTES);
        CU_ASSERT_TRUE(r.sends || r.result == 0);
        close(e.client);
        close_loop(&loop);
    }
}

/* Guards against a socket that stays open after its client has closed. */
static void
test_client_closes(void)
{
    struct ggw_lingers l = {0};
    struct ends e = connect_ends();
    ggw_ms started = now_ms();
    uv_loop_t loop;

    uv_loop_init(&loop);
    ggw_lingers_init(&l, &loop);
    ggw_lingers_add(&l, e.gateway);
    close(e.client);
    uv_run(&loop, UV_RUN_DEFAULT);
    CU_ASSERT_EQUAL(l.len, 0);
    CU_ASSERT_TRUE(now_ms() - started < 1000); /* the idle limit */
    close_loop(&loop);
}

/*
 * Guards against a process that does not end because a client neither reads
 * nor closes.
 */
static void
test_stop(void)
{
    struct ggw_lingers l = {0};
    struct ends e = connect_ends();
    struct ends later = connect_ends();
    ggw_ms started = now_ms();
    uv_loop_t loop;

    uv_loop_init(&loop);
    ggw_lingers_init(&l, &loop);
    ggw_lingers_add(&l, e.gateway);
    ggw_lingers_stop(&l);
    ggw_lingers_add(&l, later.gateway);
    uv_run(&loop, UV_RUN_DEFAULT);
    CU_ASSERT_EQUAL(l.len, 0);
    CU_ASSERT_TRUE(now_ms() - started < 1000);
    close(e.client);
    close(later.client);
    close_loop(&loop);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"response is taken", test_response_is_taken},
        {"client closes", test_client_closes},
        {"stop", test_stop},
        CU_TEST_INFO_NULL,
    };
    int status = suite_run("linger", tests);

    ggw_metrics_fini();
    return status;
}
