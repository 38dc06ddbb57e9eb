#include "http/listener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "common/error.h"
#include "common/metrics.h"
#include "decide/clients.h"
#include "decide/memory.h"
#include "http/connection.h"
#include "http/request_check.h"

/* Longest queue of connections that wait to be accepted. */
#define BACKLOG 1024

/* Interval of the checks for room for a connection that waits, ms. */
#define ROOM_CHECK_MS 5

struct ggw_listener {
    struct ggw_listener_options options;
    uv_loop_t *loop;
    uv_tcp_t tcp;
    bool listening; /* the handle tcp is open */
    bool stopped;
    bool waits;            /* a connection waits to be accepted */
    uv_timer_t room_timer; /* checks for room while @waits */
    uint16_t port;

    h2o_globalconf_t conf;
    h2o_context_t context;
    h2o_accept_ctx_t accept;

    struct ggw_connections connections;
    struct ggw_memory_limits memory;
};

struct handler {
    h2o_handler_t base;
    struct ggw_listener *listener;
};

static int
on_request(h2o_handler_t *base, h2o_req_t *req)
{
    struct ggw_listener *l = ((struct handler *)base)->listener;
    struct ggw_exchange *x =
        ggw_exchange_new(req, l, &l->connections.exchanges);
    const char *reason;
    int status = ggw_connection_check_request(&l->connections, x, &reason);

    if (status != 200) {
        req->http1_is_persistent = 0;
        ggw_exchange_refuse(x, status, reason, GGW_OUTCOME_NOT_RUN, 0);
    }
    else {
        l->options.request(l->options.data, x);
    }
    return 0;
}

/*
 * Adds the outcome headers to the error responses that h2o itself generates
 * for requests that it cannot parse. The filter is installed on the fallback
 * path, which only these responses use.
 */
static void
on_h2o_error(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
    const char *reason =
        req->res.status == 413 ? "body-too-large" : "bad-request";

    h2o_add_header_by_str(&req->pool, &req->res.headers,
                          H2O_STRLIT("greengageway-outcome"), 0, NULL,
                          H2O_STRLIT("not-run"));
    h2o_add_header_by_str(&req->pool, &req->res.headers,
                          H2O_STRLIT("greengageway-reason"), 0, NULL, reason,
                          strlen(reason));
    h2o_setup_next_ostream(req, slot);
}

/*
 * Unreferences the handles that h2o_context_init() added to the event loop.
 * The queue and the timers of an h2o context stay active when nothing waits
 * for them and can be closed only after the loop has ended, so they would keep
 * the loop running. Open connections still keep it running while they need it.
 */
static void
unref_new_handle(uv_handle_t *handle, void *existing)
{
    if (!g_hash_table_contains(existing, handle)) {
        uv_unref(handle);
    }
}

static void
collect_handle(uv_handle_t *handle, void *existing)
{
    g_hash_table_add(existing, handle);
}

/* Descriptors that the process may open; @max is 0 if the machine sets none.
 */
static uint64_t
count_descriptors(uint64_t max)
{
    struct rlimit descriptors = {.rlim_cur = 0};

    getrlimit(RLIMIT_NOFILE, &descriptors);
    return max > 0 ? MIN(max, descriptors.rlim_cur) : descriptors.rlim_cur;
}

static void
set_limits(struct ggw_listener *l)
{
    const struct ggw_listener_options *o = &l->options;
    uint64_t descriptors = count_descriptors(o->descriptors);
    struct ggw_client_limits c = o->pages_only
                                     ? ggw_page_client_limits(descriptors)
                                     : ggw_client_limits(descriptors);

    l->memory = o->pages_only ? ggw_page_memory_limits(o->memory, &c)
                              : ggw_memory_limits(o->memory, &c);
    c.requests = l->memory.requests;
    c.bytes = l->memory.bytes;
    l->connections.limits = c;
    ggw_listener_limit_body(l, 0);
}

void
ggw_listener_limit_body(struct ggw_listener *l, size_t max)
{
    size_t limit = MIN(GGW_BODY_MAX, l->memory.body);

    if (max > 0) {
        limit = MIN(max, l->memory.body);
    }
    l->connections.body_max = limit;
    l->conf.max_request_entity_size = limit;
}

const struct ggw_memory_limits *
ggw_listener_memory(const struct ggw_listener *l)
{
    return &l->memory;
}

struct ggw_listener *
ggw_listener_new(uv_loop_t *loop, const struct ggw_listener_options *options)
{
    struct ggw_listener *l = g_new0(struct ggw_listener, 1);
    GHashTable *existing = g_hash_table_new(NULL, NULL);
    h2o_hostconf_t *host;
    h2o_pathconf_t *path;
    struct handler *handler;

    l->options = *options;
    if (l->options.idle_timeout <= 0) {
        l->options.idle_timeout = GGW_LISTENER_IDLE_MS;
    }
    if (l->options.progress_timeout <= 0) {
        l->options.progress_timeout = GGW_LISTENER_PROGRESS_MS;
    }
    l->loop = loop;
    h2o_config_init(&l->conf);
    l->conf.server_name = h2o_iovec_init(H2O_STRLIT("greengageway"));
    l->conf.http1.req_timeout = (uint64_t)l->options.idle_timeout;
    /* ggw_head_check() cannot check the raw head of an HTTP/2 request. */
    l->conf.http1.upgrade_to_http2 = 0;
    host = h2o_config_register_host(
        &l->conf, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    path = h2o_config_register_path(host, "/", 0);
    handler = (struct handler *)h2o_create_handler(path, sizeof(*handler));
    handler->base.on_req = on_request;
    handler->listener = l;
    h2o_create_filter(&host->fallback_path, sizeof(h2o_filter_t))
        ->on_setup_ostream = on_h2o_error;
    uv_walk(loop, collect_handle, existing);
    h2o_context_init(&l->context, loop, &l->conf);
    uv_walk(loop, unref_new_handle, existing);
    g_hash_table_destroy(existing);
    l->accept.ctx = &l->context;
    l->accept.hosts = l->conf.hosts;
    ggw_connections_init(&l->connections, loop, l->options.head_timeout,
                         l->options.progress_timeout);
    set_limits(l);
    l->connections.half_close_disconnects = options->half_close_disconnects;
    return l;
}

static void
free_handle(uv_handle_t *handle)
{
    g_free(handle);
}

static void
serve_connection(struct ggw_listener *l, uv_tcp_t *tcp)
{
    h2o_socket_t *sock;

    uv_tcp_nodelay(tcp, 1);
    sock = h2o_uv_socket_create((uv_stream_t *)tcp, free_handle);
    h2o_accept(&l->accept, sock);
    ggw_connections_add(&l->connections, sock);
}

static void
accept_connection(struct ggw_listener *l)
{
    uv_tcp_t *tcp = g_new0(uv_tcp_t, 1);

    uv_tcp_init(l->loop, tcp);
    if (uv_accept((uv_stream_t *)&l->tcp, (uv_stream_t *)tcp) != 0) {
        uv_close((uv_handle_t *)tcp, free_handle);
        return;
    }
    serve_connection(l, tcp);
}

static void
room_cb(uv_timer_t *timer)
{
    struct ggw_listener *l = timer->data;

    if (!ggw_connections_make_room(&l->connections)) {
        return;
    }
    l->waits = false;
    uv_timer_stop(timer);
    accept_connection(l);
}

/*
 * Without room, the connection waits. libuv accepts no other one meanwhile, so
 * these wait in the queue of the listening socket.
 */
static void
connection_cb(uv_stream_t *stream, int status)
{
    struct ggw_listener *l = stream->data;

    if (status != 0) {
        return;
    }
    if (ggw_connections_make_room(&l->connections)) {
        accept_connection(l);
        return;
    }
    l->waits = true;
    ggw_count("ggw_accepts_delayed_total");
    uv_timer_start(&l->room_timer, room_cb, ROOM_CHECK_MS, ROOM_CHECK_MS);
}

/* Connections that are accepted take over the buffer of the listener. */
static void
limit_receive_buffer(struct ggw_listener *l)
{
    int bytes = l->memory.receive_buffer;

    if (bytes > 0) {
        uv_recv_buffer_size((uv_handle_t *)&l->tcp, &bytes);
    }
}

static int
bind_and_listen(struct ggw_listener *l)
{
    struct sockaddr_storage address;
    int len = sizeof(address);
    int rc;

    if (uv_ip4_addr(l->options.host, l->options.port,
                    (struct sockaddr_in *)&address) != 0) {
        rc = uv_ip6_addr(l->options.host, l->options.port,
                         (struct sockaddr_in6 *)&address);
        if (rc != 0) {
            return rc;
        }
    }
    rc = uv_tcp_bind(&l->tcp, (struct sockaddr *)&address, 0);
    if (rc == 0) {
        limit_receive_buffer(l);
        rc = uv_listen((uv_stream_t *)&l->tcp, BACKLOG, connection_cb);
    }
    if (rc == 0) {
        rc = uv_tcp_getsockname(&l->tcp, (struct sockaddr *)&address, &len);
    }
    if (rc == 0) {
        /* The port has the same offset for IPv4 and IPv6. */
        l->port = ntohs(((struct sockaddr_in *)&address)->sin_port);
    }
    return rc;
}

bool
ggw_listener_start(struct ggw_listener *l, GError **error)
{
    int rc;

    uv_tcp_init(l->loop, &l->tcp);
    l->tcp.data = l;
    uv_timer_init(l->loop, &l->room_timer);
    l->room_timer.data = l;
    l->listening = true;
    rc = bind_and_listen(l);
    if (rc != 0) {
        g_set_error(error, GGW_ERROR, GGW_ERROR_IO,
                    "cannot listen on %s:%u: %s", l->options.host,
                    (unsigned)l->options.port, uv_strerror(rc));
        return false;
    }
    return true;
}

uint16_t
ggw_listener_port(const struct ggw_listener *l)
{
    return l->port;
}

h2o_multithread_receiver_t *
ggw_listener_receiver(struct ggw_listener *l)
{
    return &l->context.receivers.hostinfo_getaddr;
}

unsigned
ggw_listener_connections(const struct ggw_listener *l)
{
    return l->connections.len + l->connections.lingers.len;
}

/*
 * Accepts the connections that wait in the queue of the listening socket.
 * Closing the socket would reset them, although their clients have connected
 * and may have sent a request.
 */
static void
accept_pending(struct ggw_listener *l)
{
    int listen_fd, fd;

    if (uv_fileno((uv_handle_t *)&l->tcp, &listen_fd) != 0) {
        return;
    }
    if (l->waits) {
        l->waits = false;
        accept_connection(l);
    }
    while ((fd = accept4(listen_fd, NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        uv_tcp_t *tcp = g_new0(uv_tcp_t, 1);

        uv_tcp_init(l->loop, tcp);
        if (uv_tcp_open(tcp, fd) != 0) {
            close(fd);
            uv_close((uv_handle_t *)tcp, free_handle);
            continue;
        }
        serve_connection(l, tcp);
    }
}

static void
close_listener(struct ggw_listener *l)
{
    if (l->listening) {
        l->listening = false;
        uv_close((uv_handle_t *)&l->tcp, NULL);
        uv_close((uv_handle_t *)&l->room_timer, NULL);
    }
}

void
ggw_listener_disable_keepalive(struct ggw_listener *l)
{
    l->connections.keepalive_disabled = true;
}

void
ggw_listener_drain(struct ggw_listener *l)
{
    if (!l->listening) {
        return;
    }
    accept_pending(l);
    close_listener(l);
    /*
     * Set directly, because h2o_context_request_shutdown() would start a timer
     * for HTTP/2 that cannot be stopped.
     */
    l->context.shutdown_requested = 1;
    l->connections.draining = true;
}

bool
ggw_listener_is_full(struct ggw_listener *l)
{
    return ggw_connections_are_full(&l->connections);
}

void
ggw_listener_stop(struct ggw_listener *l)
{
    if (l->stopped) {
        return;
    }
    l->stopped = true;
    close_listener(l);
    ggw_connections_stop(&l->connections);
}

void
ggw_listener_destroy(struct ggw_listener *l)
{
    if (l == NULL) {
        return;
    }
    h2o_context_dispose(&l->context);
    h2o_config_dispose(&l->conf);
    uv_run(l->loop, UV_RUN_NOWAIT); /* runs the close callbacks */
    g_free(l);
}
