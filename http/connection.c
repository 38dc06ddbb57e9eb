#include "http/connection.h"

#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "common/metrics.h"
#include "http/request_check.h"

/*
 * Interval of the check for disconnected clients. Requests that take less need
 * no check.
 */
#define TICK_MS 20

/* The check of idle and slow connections runs once in this many ticks. */
#define CONNECTION_CHECK_TICKS 5

/* While draining, a connection is closed after this time without a request. */
#define DRAIN_IDLE_MS 500

/*
 * A request whose body is still arriving is refused this many head timeouts
 * after its first byte, even if no gap between two reads is too long.
 */
#define MAX_BODY_HEAD_TIMEOUTS 6

/**
 * struct ggw_connection - a connection from a client
 * @link: in the list of the owner
 * @owner: all connections of the listener
 * @sock: h2o's socket
 * @wrapped_reader: h2o's read callback, called by read_cb()
 * @request_started_at: loop time in ms of the first byte of the request that
 *                      is being read, 0 for none
 * @last_read_at: loop time in ms of the last read
 * @idle_since: loop time in ms of the end of the last request
 * @requests: requests in progress
 * @head_checked: the head of the request that is being read passed the check
 * @refused: a refusal was sent, and the connection is to be closed
 * @queued: in the owner's queue @unwrapped
 * @reset_on_close: the close resets the connection
 * @linger_fd: second descriptor of the socket for a lingering close, since h2o
 *             closes its own at once; -1 for none
 */
struct ggw_connection {
    h2o_linklist_t link;
    struct ggw_connections *owner;
    h2o_socket_t *sock;
    h2o_socket_cb wrapped_reader;
    ggw_ms request_started_at;
    ggw_ms last_read_at;
    ggw_ms idle_since;
    int requests;
    bool head_checked;
    bool refused;
    bool queued;
    bool reset_on_close;
    int linger_fd;
};

static ggw_ms
now_ms(const struct ggw_connections *c)
{
    return (ggw_ms)uv_now(c->loop);
}

static void
close_cb(void *data)
{
    struct ggw_connection *conn = data;

    conn->owner->len--;
    h2o_linklist_unlink(&conn->link);
    if (conn->queued) {
        g_queue_remove(&conn->owner->unwrapped, conn);
    }
    if (conn->linger_fd >= 0) {
        ggw_lingers_add(&conn->owner->lingers, conn->linger_fd);
    }
    g_free(conn);
}

/*
 * Prepares a lingering close. h2o closes the socket without one, so a second
 * descriptor keeps it open.
 */
static void
prepare_linger(struct ggw_connection *conn)
{
    if (conn->linger_fd < 0 && !conn->reset_on_close) {
        conn->linger_fd =
            fcntl(h2o_socket_get_fd(conn->sock), F_DUPFD_CLOEXEC, 0);
    }
}

/* Makes h2o close the connection, as if the client had closed it. */
static void
close_connection(struct ggw_connection *conn)
{
    h2o_socket_cb reader = conn->wrapped_reader;

    if (conn->sock->_cb.read == NULL || reader == NULL) {
        return; /* h2o is sending a response */
    }
    prepare_linger(conn);
    reader(conn->sock, h2o_socket_error_closed);
}

/* Sends a refusal and closes the connection. */
static void
refuse(struct ggw_connection *conn, int status, const char *reason)
{
    char text[512];
    int len = g_snprintf(
        text, sizeof(text),
        "HTTP/1.1 %d %s\r\nConnection: close\r\nServer: greengageway\r\n"
        "Content-Type: text/plain\r\nContent-Length: %zu\r\n"
        "Greengageway-Outcome: not-run\r\nGreengageway-Reason: %s\r\n\r\n"
        "%s: not-run\n",
        status, ggw_status_text(status),
        strlen(reason) + strlen(": not-run\n"), reason, reason);
    g_autofree char *metric =
        g_strdup_printf("ggw_bad_requests_total{reason=\"%s\"}", reason);
    int fd = h2o_socket_get_fd(conn->sock);

    ggw_count(metric);
    conn->refused = true;
    /*
     * h2o writes nothing while it reads, so these bytes cannot end up in the
     * middle of a response. A full socket means that the client does not read.
     */
    if (send(fd, text, (size_t)len, MSG_DONTWAIT | MSG_NOSIGNAL) != len) {
        ggw_count("ggw_refusals_unsent_total");
    }
    close_connection(conn);
}

static int
refusal_status(enum ggw_head_verdict verdict, const char **reason)
{
    switch (verdict) {
    case GGW_HEAD_OK:
    case GGW_HEAD_PARTIAL:
        return 200;
    case GGW_HEAD_TOO_LARGE:
        *reason = "head-too-large";
        return 431;
    case GGW_HEAD_BODY_TOO_LARGE:
        *reason = "body-too-large";
        return 413;
    case GGW_HEAD_BAD:
        break;
    }
    *reason = "bad-request";
    return 400;
}

static void
wrap_reader_later(struct ggw_connection *conn)
{
    if (!conn->queued) {
        conn->queued = true;
        g_queue_push_tail(&conn->owner->unwrapped, conn);
    }
}

static void
read_cb(h2o_socket_t *sock, const char *err)
{
    struct ggw_connection *conn = sock->on_close.data;
    enum ggw_head_verdict verdict;
    const char *reason;
    int status;

    if (err != NULL) {
        conn->wrapped_reader(sock, err);
        return;
    }
    if (conn->refused) {
        h2o_buffer_consume(&sock->input, sock->input->size);
        return;
    }
    conn->last_read_at = now_ms(conn->owner);
    if (conn->request_started_at == 0) {
        conn->request_started_at = conn->last_read_at;
    }
    if (!conn->head_checked) {
        verdict = ggw_head_check(sock->input->bytes, sock->input->size);
        conn->head_checked = verdict == GGW_HEAD_OK;
        status = refusal_status(verdict, &reason);
        if (status != 200) {
            h2o_buffer_consume(&sock->input, sock->input->size);
            refuse(conn, status, reason);
            return;
        }
    }
    wrap_reader_later(conn);
    conn->wrapped_reader(sock, NULL);
}

static void
wrap_reader(struct ggw_connection *conn)
{
    h2o_socket_cb cb = conn->sock->_cb.read;

    if (cb != NULL && cb != read_cb) {
        conn->wrapped_reader = cb;
        conn->sock->_cb.read = read_cb;
    }
}

/*
 * After a response, h2o has set its own read callback again. Wraps it before
 * the event loop waits for input.
 */
static void
prepare_cb(uv_prepare_t *handle)
{
    struct ggw_connections *c = handle->data;

    struct ggw_connection *conn;

    while ((conn = g_queue_pop_head(&c->unwrapped)) != NULL) {
        conn->queued = false;
        wrap_reader(conn);
    }
}

static struct ggw_connection *
connection_from_request(h2o_req_t *req)
{
    return req->conn->callbacks->get_socket(req->conn)->on_close.data;
}

int
ggw_connection_check_request(struct ggw_connections *c, struct ggw_exchange *x,
                             const char **reason)
{
    struct ggw_connection *conn = connection_from_request(x->req);
    h2o_buffer_t *input = conn->sock->input;
    bool head_checked = conn->head_checked;

    conn->requests++;
    conn->request_started_at = 0;
    conn->head_checked = false;
    x->conn = conn;
    if (head_checked) {
        return 200;
    }
    /*
     * Checks a pipelined request here: its first bytes arrived together with
     * an earlier request, so read_cb() did not check its head.
     */
    return refusal_status(ggw_head_check(input->bytes, input->size), reason);
}

void
ggw_connection_reset_on_close(struct ggw_connection *conn)
{
    /* Closing a socket with a linger time of 0 resets the connection. */
    struct linger reset = {.l_onoff = 1};

    conn->reset_on_close = true;
    setsockopt(h2o_socket_get_fd(conn->sock), SOL_SOCKET, SO_LINGER, &reset,
               sizeof(reset));
}

void
ggw_connection_request_done(struct ggw_connection *conn, bool persistent)
{
    struct ggw_connections *c = conn->owner;

    if (!persistent) {
        prepare_linger(conn);
    }

    conn->requests--;
    conn->idle_since = now_ms(c);
    wrap_reader_later(conn);
}

bool
ggw_connection_closes_after_response(const struct ggw_connection *conn)
{
    return conn->owner->keepalive_disabled || conn->owner->draining;
}

static void
check_timeouts(struct ggw_connections *c, struct ggw_connection *conn,
               ggw_ms now)
{
    if (conn->refused) {
        close_connection(conn);
        return;
    }
    if (conn->requests > 0 || conn->wrapped_reader == NULL) {
        return;
    }
    if (conn->request_started_at > 0) {
        bool slow = conn->head_checked
                        ? now - conn->last_read_at > c->head_timeout ||
                              now - conn->request_started_at >
                                  MAX_BODY_HEAD_TIMEOUTS * c->head_timeout
                        : now - conn->request_started_at > c->head_timeout;

        if (slow) {
            refuse(conn, 408, "slow-request");
        }
    }
    else if (c->draining && now - conn->idle_since > DRAIN_IDLE_MS) {
        struct pollfd p = {.fd = h2o_socket_get_fd(conn->sock),
                           .events = POLLIN};

        if (conn->sock->input->size == 0 && poll(&p, 1, 0) == 0) {
            close_connection(conn);
        }
    }
}

static void
check_connections(struct ggw_connections *c)
{
    ggw_ms now = now_ms(c);
    h2o_linklist_t *link = c->list.next;

    while (link != &c->list) {
        struct ggw_connection *conn =
            H2O_STRUCT_FROM_MEMBER(struct ggw_connection, link, link);

        link = link->next;
        /* h2o also sets its callback again after an interim response. */
        wrap_reader(conn);
        check_timeouts(c, conn, now);
    }
}

/*
 * Sends an interim response to find out whether a half-closed connection is
 * closed, which looks the same until something is sent. A client that still
 * reads ignores the response. If the client has closed its socket, its system
 * resets the connection, and the next check sees that.
 */
static void
probe_client(struct ggw_exchange *x)
{
    static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";

    if (!x->probed && !x->started && x->req->version >= 0x101) {
        x->probed = true;
        send(x->fd, interim, sizeof(interim) - 1, MSG_DONTWAIT | MSG_NOSIGNAL);
    }
}

static void
check_clients(struct ggw_connections *c)
{
    GArray *fds = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
    GPtrArray *exchanges = g_ptr_array_new();
    ggw_ms now = now_ms(c);

    for (h2o_linklist_t *link = c->exchanges.next; link != &c->exchanges;
         link = link->next) {
        struct ggw_exchange *x =
            H2O_STRUCT_FROM_MEMBER(struct ggw_exchange, link, link);
        struct pollfd p = {.fd = x->fd, .events = POLLRDHUP};

        if (x->finished && !x->sending) {
            continue;
        }
        if (!x->seen_by_check) {
            /* Skips the first check: most requests end before the next. */
            x->seen_by_check = true;
            continue;
        }
        g_array_append_val(fds, p);
        g_ptr_array_add(exchanges, x);
    }
    if (fds->len > 0 &&
        poll((struct pollfd *)(void *)fds->data, fds->len, 0) >= 0) {
        for (guint i = 0; i < fds->len; i++) {
            short events = g_array_index(fds, struct pollfd, i).revents;
            struct ggw_exchange *x = g_ptr_array_index(exchanges, i);

            bool half_closed = (events & POLLRDHUP) != 0;

            if ((events & (POLLHUP | POLLERR | POLLNVAL)) != 0 ||
                (half_closed && c->half_close_disconnects) ||
                (x->sending && now - x->sent_at > c->progress_timeout)) {
                ggw_exchange_abort(x, GGW_EXCHANGE_CLIENT_LEFT);
            }
            else if (half_closed) {
                probe_client(x);
            }
        }
    }
    g_array_free(fds, TRUE);
    g_ptr_array_free(exchanges, TRUE);
}

static void
timer_cb(uv_timer_t *timer)
{
    struct ggw_connections *c = timer->data;

    check_clients(c);
    if (++c->ticks % CONNECTION_CHECK_TICKS == 0) {
        check_connections(c);
    }
    if (c->len == 0 && !c->stopped) {
        uv_timer_stop(&c->timer);
    }
}

void
ggw_connections_init(struct ggw_connections *c, uv_loop_t *loop,
                     ggw_ms head_timeout, ggw_ms progress_timeout)
{
    c->loop = loop;
    c->head_timeout = head_timeout;
    c->progress_timeout = progress_timeout;
    h2o_linklist_init_anchor(&c->list);
    g_queue_init(&c->unwrapped);
    h2o_linklist_init_anchor(&c->exchanges);
    ggw_lingers_init(&c->lingers, loop);
    uv_timer_init(loop, &c->timer);
    uv_prepare_init(loop, &c->prepare);
    c->timer.data = c;
    c->prepare.data = c;
    uv_prepare_start(&c->prepare, prepare_cb);
}

void
ggw_connections_add(struct ggw_connections *c, h2o_socket_t *sock)
{
    struct ggw_connection *conn = g_new0(struct ggw_connection, 1);

    conn->owner = c;
    conn->sock = sock;
    conn->idle_since = now_ms(c);
    conn->linger_fd = -1;
    sock->on_close.cb = close_cb;
    sock->on_close.data = conn;
    h2o_linklist_insert(&c->list, &conn->link);
    wrap_reader(conn);
    if (c->len++ == 0 && !c->stopped) {
        uv_timer_start(&c->timer, timer_cb, TICK_MS, TICK_MS);
    }
}

void
ggw_connections_stop(struct ggw_connections *c)
{
    h2o_linklist_t *link;

    if (c->stopped) {
        return;
    }
    c->stopped = true;
    ggw_lingers_stop(&c->lingers);
    link = c->exchanges.next;
    while (link != &c->exchanges) {
        struct ggw_exchange *x =
            H2O_STRUCT_FROM_MEMBER(struct ggw_exchange, link, link);

        link = link->next;
        ggw_exchange_abort(x, GGW_EXCHANGE_STOPPING);
    }
    link = c->list.next;
    while (link != &c->list) {
        struct ggw_connection *conn =
            H2O_STRUCT_FROM_MEMBER(struct ggw_connection, link, link);

        link = link->next;
        wrap_reader(conn);
        if (conn->sock->_cb.read != NULL) {
            close_connection(conn);
        }
        else {
            shutdown(h2o_socket_get_fd(conn->sock), SHUT_WR);
        }
    }
    uv_close((uv_handle_t *)&c->timer, NULL);
    uv_close((uv_handle_t *)&c->prepare, NULL);
}
