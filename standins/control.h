#ifndef GGW_STANDINS_CONTROL_H
#define GGW_STANDINS_CONTROL_H

#include <arpa/inet.h>
#include <h2o.h>
#include <jansson.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <uv.h>

/**
 * DOC: common parts of the stand-ins
 *
 * Listening sockets on loopback addresses (127.0.0.0/8), a control page served
 * by h2o, and process exit on SIGTERM or SIGINT.
 */

/**
 * struct control - control page of a stand-in
 * @get: handles GET; returns the page, to be released by the caller, or NULL
 *       when @path does not exist
 * @set: applies the JSON object of a POST /-/set; returns NULL, or a message
 *       that describes the error
 */
struct control {
    json_t *(*get)(const char *path);
    const char *(*set)(json_t *settings);
    h2o_globalconf_t config;
    h2o_context_t ctx;
    h2o_accept_ctx_t accept;
    uv_tcp_t listener;
};

struct control_handler {
    h2o_handler_t super;
    struct control *control;
};

/**
 * standin_listen() - start listening on a TCP address
 * @tcp: initialized by the call
 * @address: "IP:PORT", or "PORT" on 127.0.0.1; port 0 takes an unused one
 * @port: set to the bound port
 * @cb: called for each new connection
 *
 * Return: false, with a message on stderr, when the address is unusable.
 */
static inline bool
standin_listen(uv_loop_t *loop, uv_tcp_t *tcp, const char *address,
               uint16_t *port, uv_connection_cb cb)
{
    char host[64] = "127.0.0.1";
    const char *colon = strrchr(address, ':');
    struct sockaddr_in sa;
    int len = sizeof(sa), err;

    if (colon != NULL) {
        snprintf(host, sizeof(host), "%.*s", (int)(colon - address), address);
        address = colon + 1;
    }
    err = uv_ip4_addr(host, (int)strtol(address, NULL, 10), &sa);
    uv_tcp_init(loop, tcp);
    err = err != 0 ? err : uv_tcp_bind(tcp, (struct sockaddr *)&sa, 0);
    err = err != 0 ? err : uv_listen((uv_stream_t *)tcp, 512, cb);
    if (err != 0) {
        fprintf(stderr, "cannot listen on %s:%s: %s\n", host, address,
                uv_strerror(err));
        return false;
    }
    uv_tcp_getsockname(tcp, (struct sockaddr *)&sa, &len);
    *port = ntohs(sa.sin_port);
    return true;
}

static inline void
standin_handle_closed_cb(uv_handle_t *handle)
{
    free(handle);
}

/**
 * standin_accept() - accept a connection
 *
 * Return: an h2o socket, or NULL on error.
 */
static inline h2o_socket_t *
standin_accept(uv_stream_t *listener)
{
    uv_tcp_t *conn = calloc(1, sizeof(*conn));

    uv_tcp_init(listener->loop, conn);
    if (uv_accept(listener, (uv_stream_t *)conn) != 0) {
        uv_close((uv_handle_t *)conn, standin_handle_closed_cb);
        return NULL;
    }
    uv_tcp_nodelay(conn, 1);
    return h2o_uv_socket_create((uv_stream_t *)conn, standin_handle_closed_cb);
}

static inline void
control_accept_cb(uv_stream_t *listener, int status)
{
    struct control *c = listener->data;
    h2o_socket_t *sock = status == 0 ? standin_accept(listener) : NULL;

    if (sock != NULL) {
        h2o_accept(&c->accept, sock);
    }
}

static inline int
control_respond(h2o_req_t *req, int status, char *text)
{
    size_t len = strlen(text);
    char *copy = h2o_mem_alloc_pool(&req->pool, len + 1);

    memcpy(copy, text, len + 1);
    free(text);
    req->res.status = status;
    req->res.reason = status == 200 ? "OK" : "Error";
    req->res.content_length = len;
    h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                   H2O_STRLIT("application/json"));
    h2o_send_inline(req, copy, len);
    return 0;
}

static inline int
control_set(struct control *c, h2o_req_t *req)
{
    json_t *settings = json_loadb(req->entity.base, req->entity.len, 0, NULL);
    const char *message = json_is_object(settings)
                              ? c->set(settings)
                              : "the body is no JSON object";
    json_t *response = json_object();
    char *text;

    if (message != NULL) {
        json_object_set_new(response, "error", json_string(message));
    }
    text = json_dumps(response, JSON_COMPACT);
    json_decref(response);
    json_decref(settings);
    return control_respond(req, message == NULL ? 200 : 400, text);
}

static inline int
control_on_request(h2o_handler_t *handler, h2o_req_t *req)
{
    struct control *c = ((struct control_handler *)handler)->control;
    char path[256];
    json_t *response;
    char *text;

    if (h2o_memis(req->method.base, req->method.len, H2O_STRLIT("POST"))) {
        return control_set(c, req);
    }
    snprintf(path, sizeof(path), "%.*s", (int)req->path.len, req->path.base);
    response = c->get(path);
    if (response == NULL) {
        return -1; /* h2o responds with 404 */
    }
    text = json_dumps(response, JSON_COMPACT);
    json_decref(response);
    return control_respond(req, 200, text);
}

/**
 * control_start() - serve the control page and print its port
 * @c: with @get and @set filled in
 * @address: "IP:PORT" or "PORT"
 *
 * Return: false, with a message on stderr, when the address is unusable.
 */
static inline bool
control_start(struct control *c, uv_loop_t *loop, const char *address)
{
    h2o_hostconf_t *host;
    h2o_handler_t *handler;
    uint16_t port = 0;

    h2o_config_init(&c->config);
    host = h2o_config_register_host(
        &c->config, h2o_iovec_init(H2O_STRLIT("control")), 65535);
    handler = h2o_create_handler(h2o_config_register_path(host, "/", 0),
                                 sizeof(struct control_handler));
    handler->on_req = control_on_request;
    ((struct control_handler *)handler)->control = c;
    h2o_context_init(&c->ctx, loop, &c->config);
    c->accept.ctx = &c->ctx;
    c->accept.hosts = c->config.hosts;
    c->listener.data = c;
    if (!standin_listen(loop, &c->listener, address, &port,
                        control_accept_cb)) {
        return false;
    }
    printf("control 127.0.0.1:%u\n", port);
    return true;
}

static inline void
standin_signal_cb(uv_signal_t *signal, int number)
{
    uv_stop(signal->loop);
}

/**
 * standin_stop_on_signal() - stop the loop on SIGTERM or SIGINT
 *
 * Also ignores SIGPIPE, so that writes to closed sockets return an error.
 */
static inline void
standin_stop_on_signal(uv_loop_t *loop)
{
    static uv_signal_t term, intr;

    signal(SIGPIPE, SIG_IGN);
    uv_signal_init(loop, &term);
    uv_signal_init(loop, &intr);
    uv_signal_start(&term, standin_signal_cb, SIGTERM);
    uv_signal_start(&intr, standin_signal_cb, SIGINT);
}

#endif
