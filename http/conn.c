#include "http/conn.h"

#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#include "common/log.h"
#include "common/metrics.h"

/* Size of the buffer for one read. */
#define READ_BUFFER_BYTES 16384

/* Limit for log lines about surplus bytes, lines per second. */
#define SURPLUS_LINES_PER_S 20

static struct ggw_log_event surplus = {
    .part = "http",
    .name = "surplus",
    .level = GGW_LOG_INFO,
    .importance = GGW_LOG_ROUTINE,
    .max_per_s = SURPLUS_LINES_PER_S,
};

struct write {
    uv_write_t req;
    struct ggw_http_conn *conn;
    GBytes *body;
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

    if (--conn->open_handles > 0) {
        return;
    }
    g_free(conn->buffer);
    g_free(conn);
}

static void
close_conn(struct ggw_http_conn *conn, bool reset)
{
    if (conn == NULL || conn->closing) {
        return;
    }
    conn->closing = true;
    conn->ops = NULL;
    if (!reset || uv_tcp_close_reset(&conn->tcp, handle_closed) != 0) {
        uv_close((uv_handle_t *)&conn->tcp, handle_closed);
    }
    uv_close((uv_handle_t *)&conn->idle_timer, handle_closed);
}

void
ggw_http_conn_close(struct ggw_http_conn *conn)
{
    close_conn(conn, false);
}

void
ggw_http_conn_reset(struct ggw_http_conn *conn)
{
    close_conn(conn, conn != NULL && conn->open);
}

static void
close_idle_conn(struct ggw_http_conn *conn)
{
    g_queue_remove(&conn->pool->idle, conn);
    ggw_http_conn_close(conn);
}

static void
alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    struct ggw_http_conn *conn = handle->data;

    if (conn->buffer == NULL) {
        conn->buffer = g_malloc(READ_BUFFER_BYTES);
    }
    *buf = uv_buf_init(conn->buffer, READ_BUFFER_BYTES);
}

static void
report_closed(struct ggw_http_conn *conn, bool clean)
{
    if (conn->idle) {
        close_idle_conn(conn);
    }
    else if (conn->ops != NULL) {
        ggw_http_conn_pause(conn, true);
        conn->ops->closed(conn->user, clean);
    }
}

/*
 * Whether the peer has closed the stream in order. libuv also reports UV_EOF
 * for a connection that was reset behind the bytes it has read, since it takes
 * the hang-up for the end; a further read of the socket tells the two apart. A
 * write that has failed may have taken the error from the socket.
 */
static bool
ended_in_order(const struct ggw_http_conn *conn)
{
    char byte;
    int fd;

    return !conn->write_failed &&
           uv_fileno((const uv_handle_t *)&conn->tcp, &fd) == 0 &&
           read(fd, &byte, sizeof(byte)) == 0;
}

void
ggw_http_conn_on_surplus(const struct ggw_http_conn *conn,
                         enum ggw_surplus where, size_t len)
{
    static const char *const places[] = {
        [GGW_SURPLUS_IDLE] = "idle",
        [GGW_SURPLUS_BEHIND] = "behind",
    };
    static const char *const counters[] = {
        [GGW_SURPLUS_IDLE] = "ggw_surplus_total{where=\"idle\"}",
        [GGW_SURPLUS_BEHIND] = "ggw_surplus_total{where=\"behind\"}",
    };

    ggw_pool_distrust(conn->pool);
    ggw_count(counters[where]);
    ggw_log_event(&surplus, "server=%s:%u where=%s bytes=%zu carried=%u",
                  conn->pool->host, (unsigned)conn->pool->port, places[where],
                  len, conn->carried);
}

static void
read_cb(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
    struct ggw_http_conn *conn = stream->data;

    if (nread == 0) {
        return;
    }
    if (nread < 0) {
        report_closed(conn, nread == UV_EOF && ended_in_order(conn));
    }
    else if (conn->idle) {
        ggw_http_conn_on_surplus(conn, GGW_SURPLUS_IDLE, (size_t)nread);
        close_idle_conn(conn);
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
    /*
     * No keepalive and no TCP_USER_TIMEOUT: if the system ended the
     * connection, what it has not delivered could still reach the server.
     */
    uv_tcp_nodelay(&conn->tcp, 1);
    conn->open = true;
    ggw_http_conn_pause(conn, false);
    conn->ops->opened(conn->user);
}

/*
 * Reports a connect or write that failed at once. It runs from the event loop,
 * so that the callback does not run inside the function that failed.
 */
static void
report_failure_cb(uv_timer_t *timer)
{
    report_closed(timer->data, false);
}

/* The buffer has to be set before the connection opens. */
static void
limit_receive_buffer(struct ggw_http_conn *conn)
{
    int bytes = ggw_pools_receive_buffer(conn->pool->pools);

    if (bytes > 0) {
        uv_recv_buffer_size((uv_handle_t *)&conn->tcp, &bytes);
    }
}

/* Connects; without a free descriptor, closes an idle connection for it. */
static int
connect_conn(struct ggw_http_conn *conn,
             const struct sockaddr_storage *address)
{
    int rc;

    limit_receive_buffer(conn);
    do {
        rc = uv_tcp_connect(&conn->connect, &conn->tcp,
                            (const struct sockaddr *)address, connect_cb);
    } while ((rc == UV_EMFILE || rc == UV_ENFILE) &&
             ggw_pools_close_idle(conn->pool->pools));
    if (rc == UV_EMFILE || rc == UV_ENFILE) {
        ggw_count("ggw_connects_without_descriptor_total");
    }
    return rc;
}

/*
 * Opens the socket at once where its buffer is to be set; else the connect
 * does, which can be repeated without a free descriptor.
 */
static void
open_socket(struct ggw_http_conn *conn, const struct sockaddr_storage *address)
{
    unsigned flags = ggw_pools_receive_buffer(conn->pool->pools) > 0
                         ? address->ss_family
                         : AF_UNSPEC;

    if (uv_tcp_init_ex(conn->pool->loop, &conn->tcp, flags) != 0) {
        uv_tcp_init(conn->pool->loop, &conn->tcp);
    }
}

static struct ggw_http_conn *
open_conn(struct ggw_pool *pool)
{
    struct ggw_http_conn *conn = g_new0(struct ggw_http_conn, 1);
    struct sockaddr_storage address = {.ss_family = AF_UNSPEC};
    bool valid = ggw_http_conn_address(pool->host, pool->port, &address);

    conn->pool = pool;
    open_socket(conn, &address);
    uv_timer_init(pool->loop, &conn->idle_timer);
    conn->tcp.data = conn;
    conn->idle_timer.data = conn;
    conn->open_handles = 2;
    if (!valid || connect_conn(conn, &address) != 0) {
        uv_timer_start(&conn->idle_timer, report_failure_cb, 0, 0);
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
        conn = open_conn(pool);
    }
    else {
        uv_timer_stop(&conn->idle_timer);
        conn->idle = false;
        conn->carried++;
    }
    conn->ops = ops;
    conn->user = user;
    return conn;
}

static void
write_free(struct write *w)
{
    g_bytes_unref(w->body);
    g_free(w);
}

static void
write_cb(uv_write_t *req, int status)
{
    struct write *w = (struct write *)req;

    w->conn->writes--;
    if (status != 0) {
        /* This also ends the stream, which read_cb() reports. */
        w->conn->write_failed = true;
    }
    write_free(w);
}

void
ggw_http_conn_write(struct ggw_http_conn *conn, const char *bytes, size_t len,
                    GBytes *body)
{
    struct write *w = g_malloc(sizeof(*w) + len);
    uv_buf_t bufs[2] = {uv_buf_init(w->bytes, (unsigned)len)};
    unsigned bufs_len = 1;

    memcpy(w->bytes, bytes, len);
    w->conn = conn;
    w->body = body != NULL ? g_bytes_ref(body) : NULL;
    if (body != NULL) {
        gsize body_len;
        gconstpointer data = g_bytes_get_data(body, &body_len);

        bufs[bufs_len++] = uv_buf_init((char *)data, (unsigned)body_len);
    }
    if (uv_write(&w->req, (uv_stream_t *)&conn->tcp, bufs, bufs_len,
                 write_cb) != 0) {
        write_free(w);
        conn->write_failed = true;
        uv_timer_start(&conn->idle_timer, report_failure_cb, 0, 0);
        return;
    }
    conn->writes++;
}

static void
idle_cb(uv_timer_t *timer)
{
    close_idle_conn(timer->data);
}

void
ggw_http_conn_release(struct ggw_http_conn *conn, ggw_ms idle_limit)
{
    if (conn->closing) {
        return;
    }
    if (conn->writes > 0 || conn->write_failed || !conn->open ||
        idle_limit <= 0) {
        ggw_http_conn_close(conn);
        return;
    }
    conn->ops = NULL;
    conn->idle = true;
    ggw_http_conn_pause(conn, false);
    g_queue_push_head(&conn->pool->idle, conn);
    uv_timer_start(&conn->idle_timer, idle_cb, (uint64_t)idle_limit, 0);
}
