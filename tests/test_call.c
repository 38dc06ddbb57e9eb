#include <CUnit/CUnit.h>
#include <fcntl.h>
#include <math.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/resource.h>
#include <unistd.h>

#include "common/log.h"
#include "common/metrics.h"
#include "http/client.h"
#include "tests/suite.h"

/* Timeouts of the calls in ms. */
#define HEAD_TIMEOUT 300.0
#define PROGRESS_TIMEOUT 100.0
#define COMPLETE_TIMEOUT 500.0

/* Interval in ms at which the server sends more bytes. */
#define SEND_INTERVAL 20

/* The test gives up after this time in ms. */
#define WAIT_LIMIT 20000.0

/**
 * struct server - server that sends the same bytes again and again
 * @first: bytes that it sends once
 * @more: bytes that it sends at each interval
 * @after: what it does to the connection right after @first
 * @deaf: it reads nothing
 * @closed: the gateway has closed the connection
 * @was_reset: by a reset
 */
struct server {
    uv_loop_t loop;
    uv_tcp_t listener;
    uv_tcp_t peer;
    uv_timer_t timer;
    uint16_t port;
    const char *first;
    const char *more;
    enum {
        CONTINUE,
        CLOSE,
        RESET
    } after;
    bool deaf;
    bool accepted;
    bool closed;
    bool was_reset;
};

/**
 * struct caller - the call to that server
 * @end: how it ended
 * @ended_at: when it ended, monotonic ms; 0 while it runs
 * @body_bytes: body bytes read
 * @has_head: the head of the response was reported
 */
struct caller {
    struct ggw_call *call;
    enum ggw_call_end end;
    ggw_ms ended_at;
    size_t body_bytes;
    bool has_head;
    bool reads_body;
};

static void
write_cb(uv_write_t *req, int status)
{
    struct server *s = req->handle->data;

    if (status == UV_ECONNRESET || status == UV_EPIPE) {
        s->was_reset = true; /* the read that follows may report the end */
    }
    g_free(req);
}

static void
send_text(struct server *s, const char *text)
{
    uv_buf_t buf = uv_buf_init((char *)text, (unsigned)strlen(text));
    uv_write_t *req = g_new0(uv_write_t, 1);

    if (uv_write(req, (uv_stream_t *)&s->peer, &buf, 1, write_cb) != 0) {
        g_free(req);
    }
}

static void
alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    static char input[4096];

    *buf = uv_buf_init(input, sizeof(input));
}

static void
timer_cb(uv_timer_t *timer)
{
    struct server *s = timer->data;

    send_text(s, s->more);
}

/*
 * Closes the connection before the loop runs on, so that the bytes and the end
 * of the stream reach the gateway together.
 */
static void
end_peer(struct server *s)
{
    if (s->after == RESET) {
        uv_tcp_close_reset(&s->peer, NULL);
    }
    else {
        uv_close((uv_handle_t *)&s->peer, NULL);
    }
    s->accepted = false;
    s->closed = true;
}

static void
read_cb(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    struct server *s = stream->data;

    if (n < 0 && !s->closed) {
        s->closed = true;
        s->was_reset = s->was_reset || n == UV_ECONNRESET;
        uv_timer_stop(&s->timer);
    }
    else if (n > 0) {
        send_text(s, s->first);
        if (s->after != CONTINUE) {
            end_peer(s);
            return;
        }
        uv_timer_start(&s->timer, timer_cb, SEND_INTERVAL, SEND_INTERVAL);
    }
}

static void
connection_cb(uv_stream_t *listener, int status)
{
    struct server *s = listener->data;

    uv_tcp_init(&s->loop, &s->peer);
    s->peer.data = s;
    s->accepted = true;
    CU_ASSERT_EQUAL(uv_accept(listener, (uv_stream_t *)&s->peer), 0);
    if (!s->deaf) {
        uv_read_start((uv_stream_t *)&s->peer, alloc_cb, read_cb);
    }
}

static void
server_start(struct server *s, const char *first, const char *more)
{
    struct sockaddr_in address;
    int len = sizeof(address);

    memset(s, 0, sizeof(*s));
    s->first = first;
    s->more = more;
    uv_loop_init(&s->loop);
    uv_tcp_init(&s->loop, &s->listener);
    uv_timer_init(&s->loop, &s->timer);
    s->listener.data = s;
    s->timer.data = s;
    uv_ip4_addr("127.0.0.1", 0, &address);
    uv_tcp_bind(&s->listener, (struct sockaddr *)&address, 0);
    uv_listen((uv_stream_t *)&s->listener, 8, connection_cb);
    uv_tcp_getsockname(&s->listener, (struct sockaddr *)&address, &len);
    s->port = ntohs(address.sin_port);
}

static void
server_stop(struct server *s)
{
    uv_close((uv_handle_t *)&s->listener, NULL);
    uv_close((uv_handle_t *)&s->timer, NULL);
    if (s->accepted) {
        uv_close((uv_handle_t *)&s->peer, NULL);
    }
    uv_run(&s->loop, UV_RUN_DEFAULT);
    CU_ASSERT_EQUAL(uv_loop_close(&s->loop), 0);
}

static bool
on_slow(void *data)
{
    return false;
}

static void
on_head(void *data, const struct ggw_call_head *head)
{
    struct caller *c = data;

    c->has_head = true;
}

static void
on_body(void *data)
{
    struct caller *c = data;
    h2o_buffer_t *buffer;

    if (!c->reads_body) {
        return;
    }
    h2o_buffer_init(&buffer, &h2o_socket_buffer_prototype);
    ggw_call_read_body(c->call, &buffer);
    c->body_bytes += buffer->size;
    h2o_buffer_dispose(&buffer);
}

static void
on_end(void *data, enum ggw_call_end end)
{
    struct caller *c = data;

    c->end = end;
    c->ended_at = ggw_clock_now(ggw_clock_system());
}

static const struct ggw_call_ops call_ops = {
    .slow = on_slow, .head = on_head, .body = on_body, .end = on_end};

static const char request[] = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";

static void
caller_start_with(struct caller *c, struct ggw_pools *pools, struct server *s,
                  const struct ggw_call_spec *spec)
{
    ggw_ms now = ggw_clock_now(ggw_clock_system());

    c->call = ggw_call_new(ggw_pools_get(pools, "127.0.0.1", s->port, now),
                           spec, &call_ops, c);
}

static void
caller_start(struct caller *c, struct ggw_pools *pools, struct server *s,
             bool reads_body)
{
    struct ggw_call_spec spec = {
        .head = h2o_iovec_init(request, strlen(request)),
        .signature_name = "signature",
        .connect_timeout = HEAD_TIMEOUT,
        .slow_timeout = HEAD_TIMEOUT,
        .head_timeout = HEAD_TIMEOUT,
        .progress_timeout = PROGRESS_TIMEOUT,
        .complete_timeout = COMPLETE_TIMEOUT,
    };

    memset(c, 0, sizeof(*c));
    c->reads_body = reads_body;
    caller_start_with(c, pools, s, &spec);
}

static void
run_until_closed(struct server *s, const struct caller *c)
{
    ggw_ms end = ggw_clock_now(ggw_clock_system()) + WAIT_LIMIT;

    while (!(c->ended_at > 0 && s->closed) &&
           ggw_clock_now(ggw_clock_system()) < end) {
        uv_run(&s->loop, UV_RUN_ONCE);
    }
}

static void
stop(struct server *s, struct ggw_pools *pools, struct caller *c)
{
    ggw_call_destroy(c->call);
    ggw_pools_stop(pools);
    server_stop(s);
    ggw_pools_destroy(pools);
}

#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNKED_HEAD OK_HEAD "transfer-encoding: chunked\r\n\r\n"

/**
 * struct endless - bytes that never become a complete response
 * @name: for messages
 * @first: bytes sent once
 * @more: bytes sent again and again
 */
struct endless {
    const char *name;
    const char *first;
    const char *more;
};

static const struct endless endless[] = {
    {"status line", "HTTP/1.1 200 ", "x"},
    {"header name", OK_HEAD, "x"},
    {"header value", OK_HEAD "a: ", "x"},
    {"headers", OK_HEAD, "a: b\r\n"},
    {"interim responses", "HTTP/1.1 100 C\r\n\r\n", "HTTP/1.1 100 C\r\n\r\n"},
    {"interim responses without a reason", "HTTP/1.1 100 \r\n\r\n",
     "HTTP/1.1 100 \r\n\r\n"},
    {"chunks", CHUNKED_HEAD, "1\r\nx\r\n"},
    {"one chunk", CHUNKED_HEAD "ffffff\r\n", "x"},
    {"chunk extension", CHUNKED_HEAD "1;", "x"},
    {"trailers", CHUNKED_HEAD "0\r\n", "a: b\r\n"},
    {"body without a length", OK_HEAD "\r\n", "x"},
    {"long body", OK_HEAD "content-length: 99999999\r\n\r\n", "x"},
    {"no HTTP", "x", "x"},
};

/*
 * Guards against a response whose bytes never end and that holds its
 * connection, and a slot of its server, for as long as the server likes.
 */
static void
test_endless(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(endless); i++) {
        const struct endless *e = &endless[i];
        ggw_ms started = ggw_clock_now(ggw_clock_system());
        struct server s;
        struct caller c;
        struct ggw_pools *pools;

        server_start(&s, e->first, e->more);
        pools = ggw_pools_new(&s.loop);
        caller_start(&c, pools, &s, true);
        run_until_closed(&s, &c);
        if (c.ended_at == 0 || !s.closed) {
            printf("%s: not ended, ", e->name);
        }
        /* Else the system might deliver a request that was given up. */
        CU_ASSERT_TRUE(s.was_reset);
        CU_ASSERT_TRUE(c.ended_at > 0);
        CU_ASSERT_TRUE(s.closed);
        CU_ASSERT_NOT_EQUAL(c.end, GGW_CALL_COMPLETE);
        /* Well below WAIT_LIMIT, with room for a busy machine. */
        CU_ASSERT_TRUE(c.ended_at - started < 10 * COMPLETE_TIMEOUT);
        stop(&s, pools, &c);
    }
}

/*
 * Guards against interim responses that a server sends as fast as it can until
 * the time for the head is over.
 */
static void
test_interim_flood(void)
{
    static const char interim[] = "HTTP/1.1 100 \r\n\r\n";
    g_autoptr(GString) block = g_string_new(NULL);
    struct server s;
    struct caller c;
    struct ggw_pools *pools;

    while (block->len < 32768) {
        g_string_append(block, interim);
    }
    server_start(&s, interim, block->str);
    pools = ggw_pools_new(&s.loop);
    caller_start(&c, pools, &s, true);
    run_until_closed(&s, &c);
    CU_ASSERT_TRUE(c.ended_at > 0);
    CU_ASSERT_EQUAL(c.end, GGW_CALL_BROKEN);
    CU_ASSERT_EQUAL(ggw_call_facts(c.call).fault, GGW_FAULT_TOO_LARGE);
    stop(&s, pools, &c);
}

/*
 * Guards against a slow reader whose response is cut: the time in which the
 * call does not read from the server does not count.
 */
static void
test_slow_reader(void)
{
    g_autofree char *block = g_strnfill(16384, 'x');
    struct server s;
    struct caller c;
    struct ggw_pools *pools;
    ggw_ms end = ggw_clock_now(ggw_clock_system()) + 2 * COMPLETE_TIMEOUT;

    server_start(&s, OK_HEAD "content-length: 99999999\r\n\r\n", block);
    pools = ggw_pools_new(&s.loop);
    caller_start(&c, pools, &s, false);
    while (ggw_clock_now(ggw_clock_system()) < end) {
        uv_run(&s.loop, UV_RUN_ONCE);
    }
    CU_ASSERT_EQUAL(c.ended_at, 0);
    stop(&s, pools, &c);
}

/* Bytes of a body that the buffers of two sockets cannot hold. */
#define LONG_BODY_BYTES ((size_t)32 * 1024 * 1024)

/* Time in ms after which the system would have ended the connection. */
#define LONG_HEAD_TIMEOUT 5000.0

/*
 * Guards against a connection that the system ends before the call does, with
 * a part of the request not delivered: only a call that ends its connection
 * itself resets it, so that the part is not delivered later.
 */
static void
test_system_timeout(void)
{
    g_autoptr(GBytes) bytes =
        g_bytes_new_take(g_strnfill(LONG_BODY_BYTES, 'x'), LONG_BODY_BYTES);
    ggw_ms started = ggw_clock_now(ggw_clock_system());
    struct ggw_call_spec spec = {
        .head = h2o_iovec_init(request, strlen(request)),
        .body = bytes,
        .connect_timeout = HEAD_TIMEOUT,
        .slow_timeout = LONG_HEAD_TIMEOUT,
        .head_timeout = LONG_HEAD_TIMEOUT,
        .progress_timeout = LONG_HEAD_TIMEOUT,
        .complete_timeout = LONG_HEAD_TIMEOUT,
    };
    struct server s;
    struct caller c = {0};
    struct ggw_pools *pools;

    server_start(&s, "", NULL);
    s.deaf = true;
    pools = ggw_pools_new(&s.loop);
    caller_start_with(&c, pools, &s, &spec);
    while (c.ended_at == 0 &&
           ggw_clock_now(ggw_clock_system()) < started + WAIT_LIMIT) {
        uv_run(&s.loop, UV_RUN_ONCE);
    }
    CU_ASSERT_EQUAL(c.end, GGW_CALL_TIMED_OUT);
    CU_ASSERT_TRUE(c.ended_at - started >= LONG_HEAD_TIMEOUT);
    stop(&s, pools, &c);
}

#define LATE_PROGRESS_TIMEOUT 150.0

/* Runs a call whose body goes on after the time for the head, or stops. */
static void
run_late(struct server *s, struct caller *c, const char *more, ggw_ms span)
{
    struct ggw_call_spec spec = {
        .head = h2o_iovec_init(request, strlen(request)),
        .connect_timeout = HEAD_TIMEOUT,
        .slow_timeout = HEAD_TIMEOUT,
        .head_timeout = HEAD_TIMEOUT,
        .progress_timeout = LONG_HEAD_TIMEOUT,
        .late_progress_timeout = LATE_PROGRESS_TIMEOUT,
        .complete_timeout = LONG_HEAD_TIMEOUT,
    };
    ggw_ms end = ggw_clock_now(ggw_clock_system()) + span;
    struct ggw_pools *pools;

    memset(c, 0, sizeof(*c));
    c->reads_body = true;
    server_start(s, OK_HEAD "content-length: 99999999\r\n\r\nx", more);
    pools = ggw_pools_new(&s->loop);
    caller_start_with(c, pools, s, &spec);
    while (c->ended_at == 0 && ggw_clock_now(ggw_clock_system()) < end) {
        uv_run(&s->loop, UV_RUN_ONCE);
    }
    stop(s, pools, c);
}

/*
 * Guards against a response whose body stops and that is not given up when its
 * request's time is over, and against one that is given up before, or while
 * its bytes still arrive.
 */
static void
test_late_body(void)
{
    ggw_ms started = ggw_clock_now(ggw_clock_system());
    struct server s;
    struct caller c;

    run_late(&s, &c, "", LONG_HEAD_TIMEOUT / 2);
    CU_ASSERT_TRUE(c.ended_at > 0);
    CU_ASSERT_EQUAL(c.end, GGW_CALL_TIMED_OUT);
    CU_ASSERT_TRUE(c.ended_at - started >= HEAD_TIMEOUT);
    run_late(&s, &c, "x", LONG_HEAD_TIMEOUT / 2);
    CU_ASSERT_EQUAL(c.ended_at, 0);
}

static const char whole_head[] =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nattempt-id: i-1\r\n"
    "content-length: 4\r\n\r\n";

/*
 * Guards against a server that stops anywhere in the head of its response and
 * closes, and whose response is handed on with an empty or short body.
 */
static void
test_cut_head(void)
{
    for (size_t len = 0; len < sizeof(whole_head) - 1; len++) {
        g_autofree char *text = g_strndup(whole_head, len);
        struct server s;
        struct caller c;
        struct ggw_pools *pools;

        server_start(&s, text, NULL);
        s.after = CLOSE;
        pools = ggw_pools_new(&s.loop);
        caller_start(&c, pools, &s, true);
        run_until_closed(&s, &c);
        CU_ASSERT_TRUE(c.ended_at > 0);
        CU_ASSERT_EQUAL(c.end, GGW_CALL_BROKEN);
        CU_ASSERT_FALSE(c.has_head);
        stop(&s, pools, &c);
    }
}

/**
 * struct ending - how a response ends with its connection
 * @name: for messages
 * @text: bytes of the response
 * @reset: the connection is reset, else closed in order
 * @fault: expected; a call without a fault is complete
 */
struct ending {
    const char *name;
    const char *text;
    bool reset;
    enum ggw_call_fault fault;
};

static const struct ending endings[] = {
    {"body without a length", OK_HEAD "\r\nbody", false, GGW_FAULT_NONE},
    {"empty body without a length", OK_HEAD "\r\n", false, GGW_FAULT_NONE},
    {"reset in a body without a length", OK_HEAD "\r\nbody", true,
     GGW_FAULT_RESET},
    {"reset before a body without a length", OK_HEAD "\r\n", true,
     GGW_FAULT_RESET},
    {"chunks without the last one", CHUNKED_HEAD "4\r\nbody\r\n", false,
     GGW_FAULT_CUT},
    {"chunks without the last line", CHUNKED_HEAD "4\r\nbody\r\n0\r\n", false,
     GGW_FAULT_CUT},
    {"cut trailer", CHUNKED_HEAD "4\r\nbody\r\n0\r\na: b\r\n", false,
     GGW_FAULT_CUT},
    {"cut body with a length", OK_HEAD "content-length: 5\r\n\r\nbody", false,
     GGW_FAULT_CUT},
    {"reset after a body with a length",
     OK_HEAD "content-length: 4\r\n\r\nbody", true, GGW_FAULT_NONE},
    {"no HTTP", "HTTP/1.1 two\r\n\r\n", false, GGW_FAULT_MALFORMED},
    {"switch of protocols before a response",
     "HTTP/1.1 101 S\r\n\r\n" OK_HEAD "content-length: 4\r\n\r\nbody", false,
     GGW_FAULT_MALFORMED},
    {"switch of protocols before other bytes",
     "HTTP/1.1 101 S\r\nupgrade: x\r\nconnection: upgrade\r\n\r\nbytes", false,
     GGW_FAULT_MALFORMED},
    {"status that is none", "HTTP/1.1 000 X\r\ncontent-length: 4\r\n\r\nbody",
     false, GGW_FAULT_MALFORMED},
    {"name with a blank", OK_HEAD "a b: c\r\ncontent-length: 4\r\n\r\nbody",
     false, GGW_FAULT_MALFORMED},
    {"interim response with a body",
     "HTTP/1.1 103 E\r\ncontent-length: 4\r\n\r\nbody" OK_HEAD
     "content-length: 4\r\n\r\nbody",
     false, GGW_FAULT_MALFORMED},
    {"malformed trailer", CHUNKED_HEAD "4\r\nbody\r\n0\r\na b: c\r\n\r\n",
     false, GGW_FAULT_MALFORMED},
    {"copy with the same signature",
     OK_HEAD "a: b\r\nsignature: s1\r\n\r\nbody" OK_HEAD
             "c: d\r\nsignature: s1\r\n\r\nbody",
     false, GGW_FAULT_SURPLUS},
    {"quoted response with another signature",
     OK_HEAD "a: b\r\nsignature: s1\r\n\r\nbody" OK_HEAD
             "c: d\r\nsignature: s2\r\n\r\nbody",
     false, GGW_FAULT_NONE},
};

/*
 * Guards against a response that is handed on as complete although its
 * connection was reset behind the bytes: libuv reports both ends alike.
 */
static void
test_endings(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(endings); i++) {
        const struct ending *e = &endings[i];
        struct server s;
        struct caller c;
        struct ggw_pools *pools;

        server_start(&s, e->text, NULL);
        s.after = e->reset ? RESET : CLOSE;
        pools = ggw_pools_new(&s.loop);
        caller_start(&c, pools, &s, true);
        run_until_closed(&s, &c);
        if (c.ended_at == 0 || ggw_call_facts(c.call).fault != e->fault) {
            printf("%s: end %d, ", e->name, (int)c.end);
        }
        CU_ASSERT_TRUE(c.ended_at > 0);
        CU_ASSERT_EQUAL(c.end, e->fault == GGW_FAULT_NONE ? GGW_CALL_COMPLETE
                                                          : GGW_CALL_BROKEN);
        CU_ASSERT_EQUAL(ggw_call_facts(c.call).fault, e->fault);
        stop(&s, pools, &c);
    }
}

/* Size of the log that a test reads, bytes. */
#define LOG_BYTES 4096

/* Sends a request to @s with standard output in a file; returns the lines. */
static char *
log_of_call(struct server *s, struct ggw_pools *pools, struct caller *c)
{
    char *text = g_malloc0(LOG_BYTES);
    int file = memfd_create("log", MFD_CLOEXEC);
    int out = dup(STDOUT_FILENO);

    fflush(stdout);
    dup2(file, STDOUT_FILENO);
    CU_ASSERT_TRUE(ggw_log_init("info", NULL));
    caller_start(c, pools, s, true);
    run_until_closed(s, c);
    ggw_log_fini();
    dup2(out, STDOUT_FILENO);
    CU_ASSERT_TRUE(pread(file, text, LOG_BYTES - 1, 0) >= 0);
    close(out);
    close(file);
    return text;
}

/* Guards against a malformed response that no operator hears of. */
static void
test_malformed_logged(void)
{
    uint64_t before = *ggw_counter("ggw_responses_malformed_total");
    g_autofree char *log = NULL, *fields = NULL;
    struct server s;
    struct caller c;
    struct ggw_pools *pools;

    server_start(&s, OK_HEAD "a b: c\r\n\r\n", NULL);
    s.after = CLOSE;
    pools = ggw_pools_new(&s.loop);
    log = log_of_call(&s, pools, &c);
    fields = g_strdup_printf("event=malformed server=127.0.0.1:%u in=header "
                             "carried=0\n",
                             (unsigned)s.port);
    CU_ASSERT_PTR_NOT_NULL(strstr(log, fields));
    CU_ASSERT_EQUAL(*ggw_counter("ggw_responses_malformed_total"), before + 1);
    stop(&s, pools, &c);
}

static const char *const last_responses[] = {
    OK_HEAD "connection: close\r\ncontent-length: 4\r\n\r\nbody",
    OK_HEAD "connection: close\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    OK_HEAD "keep-alive: timeout=0\r\ncontent-length: 4\r\n\r\nbody",
    "HTTP/1.0 200 OK\r\ncontent-length: 4\r\n\r\nbody",
};

/*
 * Guards against a connection that is kept although its server closes it, and
 * against one that is reset behind a complete response.
 */
static void
test_closed_after_response(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(last_responses); i++) {
        struct server s;
        struct caller c;
        struct ggw_pools *pools;

        server_start(&s, last_responses[i], "");
        pools = ggw_pools_new(&s.loop);
        caller_start(&c, pools, &s, true);
        run_until_closed(&s, &c);
        CU_ASSERT_TRUE(c.ended_at > 0);
        CU_ASSERT_EQUAL(c.end, GGW_CALL_COMPLETE);
        CU_ASSERT_TRUE(s.closed);
        CU_ASSERT_FALSE(s.was_reset);
        stop(&s, pools, &c);
    }
}

/* Opens a listening socket that accepts nothing; returns its descriptor. */
static int
listen_only(uint16_t *port)
{
    struct sockaddr_in address;
    socklen_t len = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    uv_ip4_addr("127.0.0.1", 0, &address);
    CU_ASSERT_EQUAL(bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
    listen(fd, 8);
    getsockname(fd, (struct sockaddr *)&address, &len);
    *port = ntohs(address.sin_port);
    return fd;
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

static void
run_until_ended(struct server *s, const struct caller *c)
{
    ggw_ms end = ggw_clock_now(ggw_clock_system()) + WAIT_LIMIT;

    while (c->ended_at == 0 && ggw_clock_now(ggw_clock_system()) < end) {
        uv_run(&s->loop, UV_RUN_ONCE);
    }
}

/*
 * Guards against a server that counts as out of reach because idle connections
 * to other servers hold all descriptors.
 */
static void
test_no_descriptor(void)
{
    struct server s, other = {.port = 0};
    struct caller first, second;
    struct ggw_pools *pools;
    struct rlimit usual;
    int fd;

    server_start(&s, OK_HEAD "content-length: 4\r\n\r\nbody", "");
    pools = ggw_pools_new(&s.loop);
    caller_start(&first, pools, &s, true);
    run_until_ended(&s, &first);
    CU_ASSERT_EQUAL(first.end, GGW_CALL_COMPLETE);
    ggw_call_destroy(first.call);
    fd = listen_only(&other.port);
    usual = use_all_descriptors();
    caller_start(&second, pools, &other, true);
    run_until_ended(&s, &second);
    setrlimit(RLIMIT_NOFILE, &usual);
    /* The request was sent, and the server said nothing. */
    CU_ASSERT_EQUAL(second.end, GGW_CALL_TIMED_OUT);
    stop(&s, pools, &second);
    close(fd);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"no descriptor", test_no_descriptor},
        {"cut head", test_cut_head},
        {"endings", test_endings},
        {"malformed logged", test_malformed_logged},
        {"closed after response", test_closed_after_response},
        {"endless", test_endless},
        {"slow reader", test_slow_reader},
        {"late body", test_late_body},
        {"system timeout", test_system_timeout},
        {"interim flood", test_interim_flood},
        CU_TEST_INFO_NULL,
    };

    int status = suite_run("call", tests);

    ggw_metrics_fini();
    return status;
}
