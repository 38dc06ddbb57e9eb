#include "http/connection.h"

#include <fcntl.h>
#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "common/log.h"
#include "common/metrics.h"
#include "http/request_check.h"

/*
 * Interval of the check for disconnected clients. Requests that take less need
 * no check.
 */
#define TICK_MS 20

/* The check of idle and slow connections runs once in this many ticks. */
#define CONNECTION_CHECK_TICKS 5

/* The free memory of the process is checked once in this many ticks. */
#define HEAP_CHECK_TICKS 50

/* Free memory that the process keeps for its next requests, bytes. */
#define MAX_FREE_BYTES ((size_t)8 << 20)

/* While draining, a connection is closed after this time without a request. */
#define DRAIN_IDLE_MS 500

/*
 * A request whose body is still arriving is refused this many head timeouts
 * after its first byte, even if no gap between two reads is too long.
 */
#define MAX_BODY_HEAD_TIMEOUTS 6

/* Time after which a client is to retry when a limit was reached, s. */
#define RETRY_AFTER_S "1"

/*
 * No connection gives way while this part of the limit is taken by clients
 * that have not taken their last response yet.
 */
#define OVER_LIMIT_PART 8

/* A limit counts as reached until this part of it is free again. */
#define FREE_PART 8

static struct ggw_log_event limit_event = {
    .part = "http",
    .name = "client_limit",
    .level = GGW_LOG_WARN,
    .importance = GGW_LOG_ROUTINE,
    .max_per_s = 10,
};

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
 * @bytes: bytes of the request that is being read or in progress
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
    size_t bytes;
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
forget_bytes(struct ggw_connection *conn)
{
    conn->owner->bytes -= conn->bytes;
    conn->bytes = 0;
}

static void
close_cb(void *data)
{
    struct ggw_connection *conn = data;

    conn->owner->len--;
    forget_bytes(conn);
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

/*
 * Sends a refusal and closes the connection.
 * @retry_after: value of Retry-After in s, or NULL
 */
static void
refuse_with(struct ggw_connection *conn, int status, const char *reason,
            const char *retry_after)
{
    char text[512];
    int len = g_snprintf(
        text, sizeof(text),
        "HTTP/1.1 %d %s\r\nConnection: close\r\nServer: greengageway\r\n"
        "Content-Type: text/plain\r\nContent-Length: %zu\r\n"
        "Greengageway-Outcome: not-run\r\nGreengageway-Reason: %s\r\n"
        "%s%s%s\r\n%s: not-run\n",
        status, ggw_status_text(status),
        strlen(reason) + strlen(": not-run\n"), reason,
        retry_after != NULL ? "Retry-After: " : "",
        retry_after != NULL ? retry_after : "",
        retry_after != NULL ? "\r\n" : "", reason);
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

static void
refuse(struct ggw_connection *conn, int status, const char *reason)
{
    refuse_with(conn, status, reason, NULL);
}

static const char *const limit_names[] = {
    [GGW_LIMIT_CONNECTIONS] = "connections",
    [GGW_LIMIT_REQUESTS] = "requests",
    [GGW_LIMIT_BYTES] = "bytes",
};

static size_t
count_of(const struct ggw_connections *c, enum ggw_client_limit which)
{
    switch (which) {
    case GGW_LIMIT_CONNECTIONS:
        return c->len + c->lingers.len;
    case GGW_LIMIT_REQUESTS:
        return c->busy;
    case GGW_LIMIT_BYTES:
    case GGW_CLIENT_LIMITS:
        break;
    }
    return c->bytes;
}

static size_t
limit_of(const struct ggw_connections *c, enum ggw_client_limit which)
{
    switch (which) {
    case GGW_LIMIT_CONNECTIONS:
        return c->limits.connections;
    case GGW_LIMIT_REQUESTS:
        return c->limits.requests;
    case GGW_LIMIT_BYTES:
    case GGW_CLIENT_LIMITS:
        break;
    }
    return c->limits.bytes;
}

static void
set_at_limit(struct ggw_connections *c, enum ggw_client_limit which,
             bool reached)
{
    if (c->at_limit[which] == reached) {
        return;
    }
    c->at_limit[which] = reached;
    ggw_log_event(&limit_event, "limit=%s state=%s count=%zu max=%zu",
                  limit_names[which], reached ? "reached" : "ended",
                  count_of(c, which), limit_of(c, which));
}

static void
check_limits(struct ggw_connections *c)
{
    for (int i = 0; i < GGW_CLIENT_LIMITS; i++) {
        size_t limit = limit_of(c, i);

        if (count_of(c, i) < limit - limit / FREE_PART) {
            set_at_limit(c, i, false);
        }
    }
}

/* Whether bytes wait in the socket. */
static bool
has_unread_input(const struct ggw_connection *conn)
{
    struct pollfd p = {.fd = h2o_socket_get_fd(conn->sock), .events = POLLIN};

    return poll(&p, 1, 0) != 0;
}

/* State of a connection, as far as it has been read. */
static struct ggw_client
read_state(const struct ggw_connection *conn)
{
    if (conn->requests > 0 || conn->refused || conn->wrapped_reader == NULL ||
        conn->sock->_cb.read == NULL) {
        return (struct ggw_client){GGW_CLIENT_BUSY, 0};
    }
    if (conn->request_started_at > 0) {
        return (struct ggw_client){conn->head_checked ? GGW_CLIENT_BODY
                                                      : GGW_CLIENT_HEAD,
                                   conn->request_started_at};
    }
    return (struct ggw_client){GGW_CLIENT_IDLE, conn->idle_since};
}

/*
 * Finds the connection that gives way first at the time @now; NULL if none
 * may. Those with unread input do not, since they are about to be read.
 * @first: set to its state
 * @from: connections in an earlier state are left out
 */
static struct ggw_connection *
find_first(struct ggw_connections *c, enum ggw_client_state from, ggw_ms now,
           struct ggw_client *first)
{
    struct ggw_connection *found = NULL;

    for (h2o_linklist_t *link = c->list.next; link != &c->list;
         link = link->next) {
        struct ggw_connection *conn =
            H2O_STRUCT_FROM_MEMBER(struct ggw_connection, link, link);
        struct ggw_client state = read_state(conn);

        if (state.state >= from && ggw_client_gives_way(&state, now) &&
            (found == NULL || ggw_client_gives_way_before(&state, first)) &&
            !has_unread_input(conn)) {
            found = conn;
            *first = state;
        }
    }
    return found;
}

static void
count_displaced(enum ggw_client_state state)
{
    static const char *const counters[] = {
        [GGW_CLIENT_IDLE] = "ggw_clients_displaced_total{state=\"idle\"}",
        [GGW_CLIENT_HEAD] = "ggw_clients_displaced_total{state=\"head\"}",
        [GGW_CLIENT_BODY] = "ggw_clients_displaced_total{state=\"body\"}",
        [GGW_CLIENT_BUSY] = "ggw_clients_displaced_total{state=\"busy\"}",
    };

    ggw_count(counters[state]);
}

/* Closes the connection that gives way first. */
static bool
displace_one(struct ggw_connections *c)
{
    struct ggw_client state;
    struct ggw_connection *conn =
        find_first(c, GGW_CLIENT_IDLE, now_ms(c), &state);

    if (conn == NULL) {
        return false;
    }
    count_displaced(state.state);
    if (state.state == GGW_CLIENT_IDLE) {
        conn->wrapped_reader(conn->sock, h2o_socket_error_closed);
    }
    else {
        refuse_with(conn, 503, "too-many-connections", RETRY_AFTER_S);
    }
    return true;
}

bool
ggw_connections_make_room(struct ggw_connections *c)
{
    size_t limit = c->limits.connections;

    if (count_of(c, GGW_LIMIT_CONNECTIONS) < limit) {
        return true;
    }
    set_at_limit(c, GGW_LIMIT_CONNECTIONS, true);
    while (count_of(c, GGW_LIMIT_CONNECTIONS) >= limit) {
        if (!ggw_lingers_close_one(&c->lingers)) {
            return c->lingers.len <= limit / OVER_LIMIT_PART &&
                   displace_one(c);
        }
    }
    return true;
}

bool
ggw_connections_are_full(struct ggw_connections *c)
{
    if (c->busy <= c->limits.requests) {
        return false;
    }
    set_at_limit(c, GGW_LIMIT_REQUESTS, true);
    return true;
}

/*
 * Counts the bytes of a request. At the limit, requests whose body arrives
 * most slowly give way. Returns false when @conn is closed for it.
 */
static bool
add_bytes(struct ggw_connection *conn, size_t bytes)
{
    struct ggw_connections *c = conn->owner;

    conn->bytes += bytes;
    c->bytes += bytes;
    while (c->bytes > c->limits.bytes) {
        struct ggw_client state;
        struct ggw_connection *first =
            find_first(c, GGW_CLIENT_BODY, INFINITY, &state);

        set_at_limit(c, GGW_LIMIT_BYTES, true);
        if (first == NULL || first == conn) {
            h2o_buffer_consume(&conn->sock->input, conn->sock->input->size);
            first = conn;
        }
        count_displaced(GGW_CLIENT_BODY);
        refuse_with(first, 503, "too-many-bytes", RETRY_AFTER_S);
        if (first == conn) {
            return false;
        }
    }
    return true;
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
        verdict = ggw_head_check(sock->input->bytes, sock->input->size,
                                 conn->owner->body_max);
        conn->head_checked = verdict == GGW_HEAD_OK;
        status = refusal_status(verdict, &reason);
        if (status != 200) {
            h2o_buffer_consume(&sock->input, sock->input->size);
            refuse(conn, status, reason);
            return;
        }
    }
    if (!add_bytes(conn, sock->bytes_read)) {
        return;
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

    if (conn->requests++ == 0) {
        c->busy++;
    }
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
    return refusal_status(
        ggw_head_check(input->bytes, input->size, c->body_max), reason);
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

    if (--conn->requests == 0) {
        c->busy--;
        forget_bytes(conn);
    }
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
        if (conn->sock->input->size == 0 && !has_unread_input(conn)) {
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

/*
 * Gives free memory back to the system. The C library keeps what lies between
 * blocks that are in use.
 */
static void
give_back_memory(void)
{
    if (mallinfo2().fordblks > MAX_FREE_BYTES) {
        malloc_trim(0);
        ggw_count("ggw_heap_trims_total");
    }
}

static void
timer_cb(uv_timer_t *timer)
{
    struct ggw_connections *c = timer->data;

    check_clients(c);
    if (++c->ticks % CONNECTION_CHECK_TICKS == 0) {
        check_connections(c);
    }
    check_limits(c);
    if (c->ticks % HEAP_CHECK_TICKS == 0 || c->len == 0) {
        give_back_memory();
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
