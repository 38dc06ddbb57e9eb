#include "http/connection.h"

#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "common/metrics.h"
#include "http/request_check.h"

/* Time until a client that left is noticed; shorter requests need no check. */
#define TICK_MS 20

/* The slower checks run once in this many ticks. */
#define SLOW_TICKS 5

/*
 * After a refusal the rest of the request is read and dropped for this time:
 * closing at once would reset the connection and lose the response.
 */
#define LINGER_MS 1000

/* While draining, a connection without a request is closed after this time. */
#define DRAIN_IDLE_MS 500

/* A client that takes no byte for this time holds a slot for nothing. */
#define CLIENT_PROGRESS_MS 30000

/* A request that keeps arriving is refused after this many head timeouts. */
#define BODY_TIMEOUTS 6

/**
 * struct ggw_connection - one client connection
 * @read: h2o's reader, wrapped by read_cb()
 * @since: first byte of the request that is being read, 0 for none
 * @last: last read
 * @idle: end of the last request
 * @requests: requests in progress
 * @checked: the head of the request being read is good
 * @refused: a refusal was sent; input is dropped
 * @queued: in the queue of connections to hook
 */
struct ggw_connection {
    h2o_linklist_t link;
    struct ggw_connections *owner;
    h2o_socket_t *sock;
    h2o_socket_cb read;
    ggw_ms since;
    ggw_ms last;
    ggw_ms idle;
    int requests;
    bool checked;
    bool refused;
    bool queued;
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
        g_queue_remove(&conn->owner->unhooked, conn);
    }
    g_free(conn);
}

/* Lets h2o close the connection as if the client had. */
static void
close_connection(struct ggw_connection *conn)
{
    h2o_socket_cb read = conn->read;

    if (conn->sock->_cb.read == NULL || read == NULL) {
        return; /* h2o is responding */
    }
    read(conn->sock, h2o_socket_error_closed);
}

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
    conn->last = now_ms(conn->owner);
    /* h2o writes nothing while it reads, so the order is not disturbed. */
    if (send(fd, text, (size_t)len, MSG_DONTWAIT | MSG_NOSIGNAL) == len) {
        shutdown(fd, SHUT_WR);
    }
}

static int
refusal_of(enum ggw_head_verdict verdict, const char **reason)
{
    switch (verdict) {
    case GGW_HEAD_OK:
    case GGW_HEAD_PARTIAL:
        return 200;
    case GGW_HEAD_TOO_LARGE:
        *reason = "head-too-large";
        return 431;
    case GGW_HEAD_LARGE_BODY:
        *reason = "body-too-large";
        return 413;
    case GGW_HEAD_BAD:
        break;
    }
    *reason = "bad-request";
    return 400;
}

static void
hook_later(struct ggw_connection *conn)
{
    if (!conn->queued) {
        conn->queued = true;
        g_queue_push_tail(&conn->owner->unhooked, conn);
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
        conn->read(sock, err);
        return;
    }
    if (conn->refused) {
        h2o_buffer_consume(&sock->input, sock->input->size);
        return;
    }
    conn->last = now_ms(conn->owner);
    if (conn->since == 0) {
        conn->since = conn->last;
    }
    if (!conn->checked) {
        verdict = ggw_head_check(sock->input->bytes, sock->input->size);
        conn->checked = verdict == GGW_HEAD_OK;
        status = refusal_of(verdict, &reason);
        if (status != 200) {
            refuse(conn, status, reason);
            h2o_buffer_consume(&sock->input, sock->input->size);
            return;
        }
    }
    hook_later(conn);
    conn->read(sock, NULL);
}

static void
hook(struct ggw_connection *conn)
{
    h2o_socket_cb cb = conn->sock->_cb.read;

    if (cb != NULL && cb != read_cb) {
        conn->read = cb;
        conn->sock->_cb.read = read_cb;
    }
}

/* h2o has set its own reader again after a response. */
static void
prepare_cb(uv_prepare_t *handle)
{
    struct ggw_connections *c = handle->data;

    struct ggw_connection *conn;

    while ((conn = g_queue_pop_head(&c->unhooked)) != NULL) {
        conn->queued = false;
        hook(conn);
    }
}

static struct ggw_connection *
connection_of(h2o_req_t *req)
{
    return req->conn->callbacks->get_socket(req->conn)->on_close.data;
}

int
ggw_connection_request(struct ggw_connections *c, struct ggw_exchange *x,
                       const char **reason)
{
    struct ggw_connection *conn = connection_of(x->req);
    h2o_buffer_t *input = conn->sock->input;
    bool checked = conn->checked;

    conn->requests++;
    conn->since = 0;
    conn->checked = false;
    x->conn = conn;
    if (checked) {
        return 200;
    }
    /* A pipelined request, which read_cb() has not seen at its start. */
    return refusal_of(ggw_head_check(input->bytes, input->size), reason);
}

void
ggw_connection_finished(struct ggw_connection *conn)
{
    struct ggw_connections *c = conn->owner;

    conn->requests--;
    conn->idle = now_ms(c);
    hook_later(conn);
}

bool
ggw_connection_leaving(const struct ggw_connection *conn)
{
    return conn->owner->leaving || conn->owner->draining;
}

static void
check_slow(struct ggw_connections *c, struct ggw_connection *conn, ggw_ms now)
{
    if (conn->refused) {
        if (now - conn->last > LINGER_MS) {
            close_connection(conn);
        }
        return;
    }
    if (conn->requests > 0 || conn->read == NULL) {
        return;
    }
    if (conn->since > 0) {
        bool slow = conn->checked ? now - conn->last > c->head_timeout ||
                                        now - conn->since >
                                            BODY_TIMEOUTS * c->head_timeout
                                  : now - conn->since > c->head_timeout;

        if (slow) {
            refuse(conn, 408, "slow-request");
        }
    }
    else if (c->draining && now - conn->idle > DRAIN_IDLE_MS) {
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
        hook(conn); /* after an interim response h2o has set its reader */
        check_slow(c, conn, now);
    }
}

/*
 * A closed connection and a half-closed one look alike until something is
 * sent: an interim response is ignored by a client that still reads, and
 * makes the system of one that left reset the connection.
 */
static void
probe(struct ggw_exchange *x)
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
        if (!x->seen) {
            x->seen = true; /* most requests end before the next tick */
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
                (x->sending && now - x->sent_at > CLIENT_PROGRESS_MS)) {
                ggw_exchange_abort(x, "client-left");
            }
            else if (half_closed) {
                probe(x);
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
    if (++c->ticks % SLOW_TICKS == 0) {
        check_connections(c);
    }
    if (c->len == 0 && !c->stopped) {
        uv_timer_stop(&c->timer);
    }
}

void
ggw_connections_init(struct ggw_connections *c, uv_loop_t *loop,
                     ggw_ms head_timeout)
{
    c->loop = loop;
    c->head_timeout = head_timeout;
    h2o_linklist_init_anchor(&c->list);
    g_queue_init(&c->unhooked);
    h2o_linklist_init_anchor(&c->exchanges);
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
    conn->idle = now_ms(c);
    sock->on_close.cb = close_cb;
    sock->on_close.data = conn;
    h2o_linklist_insert(&c->list, &conn->link);
    hook(conn);
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
    link = c->exchanges.next;
    while (link != &c->exchanges) {
        struct ggw_exchange *x =
            H2O_STRUCT_FROM_MEMBER(struct ggw_exchange, link, link);

        link = link->next;
        ggw_exchange_abort(x, "stopping");
    }
    link = c->list.next;
    while (link != &c->list) {
        struct ggw_connection *conn =
            H2O_STRUCT_FROM_MEMBER(struct ggw_connection, link, link);

        link = link->next;
        hook(conn);
        if (conn->sock->_cb.read != NULL) {
            close_connection(conn);
        }
        else {
            shutdown(h2o_socket_get_fd(conn->sock), SHUT_RDWR);
        }
    }
    uv_close((uv_handle_t *)&c->timer, NULL);
    uv_close((uv_handle_t *)&c->prepare, NULL);
}
