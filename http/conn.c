#include "http/conn.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "common/metrics.h"

#define READ_BYTES 16384

/* Milliseconds of unacknowledged data after which a connection is dropped. */
#define TCP_USER_TIMEOUT_MS 3000

/* Seconds of silence before the first keepalive probe, and between two. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

struct write {
    uv_write_t req;
    struct ggw_http_conn *conn;
    char bytes[];
};

bool
ggw_http_conn_address(const char *host, uint16_t port,
                      struct sockaddr_storage *address)
{
    return uv_ip4_addr(host, port, (struct sockaddr_in *)address) == 0 ||
           uv_ip6_addr(host, port, (struct sockaddr_in6 *)address) == 0;
}

static void
handle_closed(uv_handle_t *handle)
{
    struct ggw_http_conn *conn = handle->data;

    if (--conn->handles > 0) {
        return;
    }
    g_free(conn->buffer);
    g_free(conn);
}

void
ggw_http_conn_close(struct ggw_http_conn *conn)
{
    if (conn == NULL || conn->closing) {
        return;
    }
    conn->closing = true;
    conn->ops = NULL;
    uv_close((uv_handle_t *)&conn->tcp, handle_closed);
    uv_close((uv_handle_t *)&conn->idle_timer, handle_closed);
}

static void
drop_idle(struct ggw_http_conn *conn)
{
    g_queue_remove(&conn->pool->idle, conn);
    ggw_http_conn_close(conn);
}

static void
alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    struct ggw_http_conn *conn = handle->data;

    if (conn->buffer == NULL) {
        conn->buffer = g_malloc(READ_BYTES);
    }
    *buf = uv_buf_init(conn->buffer, READ_BYTES);
}

static void
report_closed(struct ggw_http_conn *conn, bool clean)
{
    if (conn->idle) {
        drop_idle(conn);
    }
    else if (conn->ops != NULL) {
        ggw_http_conn_pause(conn, true);
        conn->ops->closed(conn->user, clean);
    }
}

static void
read_cb(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
    struct ggw_http_conn *conn = stream->data;

    if (nread == 0) {
        return;
    }
    if (nread < 0) {
        report_closed(conn, nread == UV_EOF);
    }
    else if (conn->idle) {
        drop_idle(conn);
    }
    else if (conn->ops != NULL) {
        conn->ops->data(conn->user, buf->base, (size_t)nread);
    }
}

void
ggw_http_conn_pause(struct ggw_http_conn *conn, bool pause)
{
    if (conn->closing || !conn->open || conn->reading == !pause) {
        return;
    }
    conn->reading = !pause;
    if (pause) {
        uv_read_stop((uv_stream_t *)&conn->tcp);
    }
    else {
        uv_read_start((uv_stream_t *)&conn->tcp, alloc_cb, read_cb);
    }
}

static void
set_options(uv_tcp_t *tcp)
{
    int fd;
    int on = 1;
    int idle = KEEPALIVE_IDLE_S;
    int interval = KEEPALIVE_INTERVAL_S;
    int probes = KEEPALIVE_PROBES;
    int user_timeout = TCP_USER_TIMEOUT_MS;

    if (uv_fileno((uv_handle_t *)tcp, &fd) != 0) {
        return;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
               sizeof(user_timeout));
}

static void
connect_cb(uv_connect_t *req, int status)
{
    static uint64_t *opened;
    struct ggw_http_conn *conn = req->handle->data;

    if (conn->ops == NULL) {
        return;
    }
    if (status != 0) {
        report_closed(conn, false);
        return;
    }
    if (opened == NULL) {
        opened = ggw_counter("ggw_connections_opened_total");
    }
    (*opened)++;
    set_options(&conn->tcp);
    conn->open = true;
    ggw_http_conn_pause(conn, false);
    conn->ops->opened(conn->user);
}

/* Reports a connection that could not even be started from the loop. */
static void
failed_cb(uv_timer_t *timer)
{
    report_closed(timer->data, false);
}

static struct ggw_http_conn *
conn_open(struct ggw_pool *pool)
{
    struct ggw_http_conn *conn = g_new0(struct ggw_http_conn, 1);
    struct sockaddr_storage address;

    conn->pool = pool;
    uv_tcp_init(pool->loop, &conn->tcp);
    uv_timer_init(pool->loop, &conn->idle_timer);
    conn->tcp.data = conn;
    conn->idle_timer.data = conn;
    conn->handles = 2;
    if (!ggw_http_conn_address(pool->host, pool->port, &address) ||
        uv_tcp_connect(&conn->connect, &conn->tcp, (struct sockaddr *)&address,
                       connect_cb) != 0) {
        uv_timer_start(&conn->idle_timer, failed_cb, 0, 0);
    }
    return conn;
}

struct ggw_http_conn *
ggw_http_conn_get(struct ggw_pool *pool, bool new_connection,
                  const struct ggw_http_conn_ops *ops, void *user)
{
    struct ggw_http_conn *conn =
        new_connection ? NULL : g_queue_pop_head(&pool->idle);

    if (conn == NULL) {
        conn = conn_open(pool);
    }
    else {
        uv_timer_stop(&conn->idle_timer);
        conn->idle = false;
        conn->reused = true;
    }
    conn->ops = ops;
    conn->user = user;
    return conn;
}

static void
write_cb(uv_write_t *req, int status)
{
    struct write *w = (struct write *)req;

    w->conn->writes--;
    /* A failed write also ends the stream for the reader. */
    g_free(w);
}

void
ggw_http_conn_write(struct ggw_http_conn *conn, const char *bytes, size_t len)
{
    struct write *w = g_malloc(sizeof(*w) + len);
    uv_buf_t buf = uv_buf_init(w->bytes, (unsigned)len);

    memcpy(w->bytes, bytes, len);
    w->conn = conn;
    if (uv_write(&w->req, (uv_stream_t *)&conn->tcp, &buf, 1, write_cb) != 0) {
        g_free(w);
        uv_timer_start(&conn->idle_timer, failed_cb, 0, 0);
        return;
    }
    conn->writes++;
}

static void
idle_cb(uv_timer_t *timer)
{
    drop_idle(timer->data);
}

void
ggw_http_conn_keep(struct ggw_http_conn *conn, ggw_ms idle_limit)
{
    if (conn->closing) {
        return;
    }
    if (conn->writes > 0 || !conn->open || idle_limit <= 0) {
        ggw_http_conn_close(conn);
        return;
    }
    conn->ops = NULL;
    conn->idle = true;
    ggw_http_conn_pause(conn, false);
    g_queue_push_head(&conn->pool->idle, conn);
    uv_timer_start(&conn->idle_timer, idle_cb, (uint64_t)idle_limit, 0);
}
