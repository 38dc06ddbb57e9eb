#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/metrics.h"
#include "http/conn.h"
#include "tests/suite.h"

/* How connections to backend servers end: failed writes, and idle ones. */

/* The test gives up after this time in ms. */
#define WAIT_LIMIT 10000.0

/* Turns of the event loop after which nothing more is expected to happen. */
#define QUIET_TURNS 20

/* Time for which an idle connection is kept, ms. */
#define IDLE_MS 5000.0
#define SHORT_IDLE_MS 50.0

/**
 * struct fixture - a pool and its server
 * @listener: socket of the server
 * @end: reserved for the end of the gateway's sending side
 */
struct fixture {
    uv_loop_t loop;
    struct ggw_pools *pools;
    struct ggw_pool *pool;
    int listener;
    uv_shutdown_t end;
};

/**
 * struct user - the user of a connection
 * @peer: socket of the server, -1 before it has accepted
 * @closes_late: it does not close the connection in the callback
 * @opened: number of callbacks; likewise @closed
 * @clean: of the last call of ops->closed
 */
struct user {
    struct ggw_http_conn *conn;
    int peer;
    bool closes_late;
    int opened;
    int closed;
    bool clean;
};

static void
on_opened(void *data)
{
    struct user *u = data;

    u->opened++;
}

static void
on_data(void *data, const char *bytes, size_t len)
{
}

static void
on_closed(void *data, bool clean)
{
    struct user *u = data;

    u->closed++;
    u->clean = clean;
    if (!u->closes_late) {
        ggw_http_conn_close(u->conn);
    }
}

static const struct ggw_http_conn_ops ops = {
    .opened = on_opened, .data = on_data, .closed = on_closed};

static ggw_ms
now_ms(void)
{
    return ggw_clock_now(ggw_clock_system());
}

static void
fixture_start(struct fixture *f)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(address);

    memset(f, 0, sizeof(*f));
    f->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    CU_ASSERT_EQUAL(
        bind(f->listener, (struct sockaddr *)&address, sizeof(address)), 0);
    listen(f->listener, 8);
    getsockname(f->listener, (struct sockaddr *)&address, &len);
    uv_loop_init(&f->loop);
    f->pools = ggw_pools_new(&f->loop);
    f->pool = ggw_pools_get(f->pools, "127.0.0.1", ntohs(address.sin_port), 0);
}

static void
fixture_stop(struct fixture *f)
{
    ggw_ms end = now_ms() + WAIT_LIMIT;

    ggw_pools_stop(f->pools);
    while (uv_run(&f->loop, UV_RUN_NOWAIT) != 0 && now_ms() < end) {
    }
    ggw_pools_destroy(f->pools);
    CU_ASSERT_EQUAL(uv_loop_close(&f->loop), 0);
    close(f->listener);
}

/* Runs the loop until @value is not 0. */
static void
run_until(struct fixture *f, const int *value)
{
    ggw_ms end = now_ms() + WAIT_LIMIT;

    while (*value == 0 && now_ms() < end) {
        uv_run(&f->loop, UV_RUN_NOWAIT);
    }
    CU_ASSERT_TRUE(*value > 0);
}

static void
run_quietly(struct fixture *f)
{
    for (int i = 0; i < QUIET_TURNS; i++) {
        uv_run(&f->loop, UV_RUN_NOWAIT);
    }
}

/* Opens a connection, which the server accepts. */
static void
user_start(struct fixture *f, struct user *u)
{
    *u = (struct user){.peer = -1};
    u->conn = ggw_http_conn_get(f->pool, false, &ops, u);
    run_until(f, &u->opened);
    u->peer = accept4(f->listener, NULL, NULL, SOCK_CLOEXEC);
    CU_ASSERT_TRUE(u->peer >= 0);
}

static void
end_cb(uv_shutdown_t *req, int status)
{
}

/* Lets each further uv_write() on the connection fail at once. */
static void
break_writes(struct fixture *f, struct user *u)
{
    uv_buf_t none = uv_buf_init("x", 1);
    uv_write_t req;

    CU_ASSERT_EQUAL(uv_shutdown(&f->end, (uv_stream_t *)&u->conn->tcp, end_cb),
                    0);
    CU_ASSERT_NOT_EQUAL(
        uv_write(&req, (uv_stream_t *)&u->conn->tcp, &none, 1, NULL), 0);
}

/* Closes the socket of the server with a reset. */
static void
reset_peer(struct user *u)
{
    struct linger reset = {.l_onoff = 1};

    setsockopt(u->peer, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(u->peer);
    u->peer = -1;
}

/* Waits until the gateway has closed or reset the server's connection. */
static void
expect_closed_at_peer(struct fixture *f, struct user *u)
{
    ggw_ms end = now_ms() + WAIT_LIMIT;
    char buf[64];
    ssize_t n = 1;

    fcntl(u->peer, F_SETFL, O_NONBLOCK);
    while (now_ms() < end &&
           (n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)))) {
        uv_run(&f->loop, UV_RUN_NOWAIT);
        n = recv(u->peer, buf, sizeof(buf), 0);
    }
    CU_ASSERT_TRUE(n == 0 || errno == ECONNRESET);
    close(u->peer);
    u->peer = -1;
}

/* Whether the next request gets another connection, not yet open. */
static bool
gets_new_connection(struct fixture *f)
{
    struct user next = {.peer = -1};
    bool is_new;

    next.conn = ggw_http_conn_get(f->pool, false, &ops, &next);
    is_new = !next.conn->open && next.conn->carried == 0;
    ggw_http_conn_close(next.conn);
    return is_new;
}

/*
 * Guards against a write that fails at once and of which the user never hears,
 * hears twice, or hears inside of ggw_http_conn_write().
 */
static void
test_write_fails_at_once(void)
{
    for (int closes_late = 0; closes_late < 2; closes_late++) {
        struct fixture f;
        struct user u;

        fixture_start(&f);
        user_start(&f, &u);
        u.closes_late = closes_late != 0;
        break_writes(&f, &u);
        ggw_http_conn_write(u.conn, "GET", 3, NULL);
        CU_ASSERT_EQUAL(u.closed, 0);
        run_until(&f, &u.closed);
        run_quietly(&f);
        CU_ASSERT_EQUAL(u.closed, 1);
        CU_ASSERT_FALSE(u.clean);
        if (u.closes_late) {
            ggw_http_conn_close(u.conn);
        }
        CU_ASSERT_TRUE(gets_new_connection(&f));
        close(u.peer);
        fixture_stop(&f);
    }
}

/*
 * Guards against a connection whose write has failed at once and that is used
 * again, because it goes to the pool before the failure is reported.
 */
static void
test_release_after_failed_write(void)
{
    struct fixture f;
    struct user u;

    fixture_start(&f);
    user_start(&f, &u);
    break_writes(&f, &u);
    ggw_http_conn_write(u.conn, "GET", 3, NULL);
    ggw_http_conn_release(u.conn, IDLE_MS);
    CU_ASSERT_EQUAL(f.pool->idle.length, 0);
    CU_ASSERT_TRUE(gets_new_connection(&f));
    expect_closed_at_peer(&f, &u);
    CU_ASSERT_EQUAL(u.closed, 0);
    fixture_stop(&f);
}

/*
 * Guards against a write to a server that has reset the connection and that is
 * not reported, reported twice, or reported as an orderly end, which would
 * complete a response without a length.
 */
static void
test_write_to_reset(void)
{
    for (int released = 0; released < 2; released++) {
        struct fixture f;
        struct user u;

        fixture_start(&f);
        user_start(&f, &u);
        reset_peer(&u);
        ggw_http_conn_write(u.conn, "GET", 3, NULL);
        if (released != 0) {
            ggw_http_conn_release(u.conn, IDLE_MS);
            CU_ASSERT_EQUAL(f.pool->idle.length, 0);
        }
        else {
            run_until(&f, &u.closed);
        }
        run_quietly(&f);
        CU_ASSERT_EQUAL(u.closed, released != 0 ? 0 : 1);
        CU_ASSERT_FALSE(u.clean);
        CU_ASSERT_TRUE(gets_new_connection(&f));
        fixture_stop(&f);
    }
}

/*
 * Guards against an idle connection that is used again after the server has
 * closed it or sent bytes that answer no request.
 */
static void
test_idle_ends(void)
{
    for (int surplus = 0; surplus < 2; surplus++) {
        struct fixture f;
        struct user u;

        fixture_start(&f);
        user_start(&f, &u);
        ggw_http_conn_release(u.conn, IDLE_MS);
        CU_ASSERT_EQUAL(f.pool->idle.length, 1);
        if (surplus != 0) {
            CU_ASSERT_EQUAL(write(u.peer, "HTTP", 4), 4);
        }
        else {
            shutdown(u.peer, SHUT_WR);
        }
        expect_closed_at_peer(&f, &u);
        CU_ASSERT_TRUE(gets_new_connection(&f));
        CU_ASSERT_EQUAL(u.closed, 0);
        CU_ASSERT_EQUAL(ggw_pool_is_distrusted(f.pool), surplus != 0);
        fixture_stop(&f);
    }
}

/*
 * Guards against an idle connection that is kept beyond its limit, or by a
 * pool that is not used any more or has stopped.
 */
static void
test_idle_is_closed(void)
{
    enum {
        LIMIT,
        TRIM,
        STOP,
        WAYS
    };

    for (int way = LIMIT; way < WAYS; way++) {
        struct fixture f;
        struct user u;

        fixture_start(&f);
        user_start(&f, &u);
        ggw_http_conn_release(u.conn, way == LIMIT ? SHORT_IDLE_MS : IDLE_MS);
        run_quietly(&f);
        CU_ASSERT_EQUAL(f.pool->idle.length, 1);
        if (way == TRIM) {
            ggw_pools_trim(f.pools, 1e6);
        }
        else if (way == STOP) {
            ggw_pools_stop(f.pools);
        }
        expect_closed_at_peer(&f, &u);
        CU_ASSERT_EQUAL(u.closed, 0);
        fixture_stop(&f);
    }
}

/* Guards against a sound connection that is not used again. */
static void
test_reuse(void)
{
    struct fixture f;
    struct user u, next = {.peer = -1};

    fixture_start(&f);
    user_start(&f, &u);
    ggw_http_conn_write(u.conn, "GET", 3, NULL);
    run_quietly(&f);
    ggw_http_conn_release(u.conn, IDLE_MS);
    next.conn = ggw_http_conn_get(f.pool, false, &ops, &next);
    CU_ASSERT_PTR_EQUAL(next.conn, u.conn);
    CU_ASSERT_EQUAL(next.conn->carried, 1);
    ggw_http_conn_close(next.conn);
    close(u.peer);
    fixture_stop(&f);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"write fails at once", test_write_fails_at_once},
        {"release after failed write", test_release_after_failed_write},
        {"write to reset", test_write_to_reset},
        {"idle ends", test_idle_ends},
        {"idle is closed", test_idle_is_closed},
        {"reuse", test_reuse},
        CU_TEST_INFO_NULL,
    };
    int status = suite_run("conn", tests);

    ggw_metrics_fini();
    return status;
}
