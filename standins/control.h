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

/*
 * What the stand-ins share: listening on 127.0.0.0/8, a control page served
 * by h2o, and the end of the process at SIGTERM or SIGINT.
 */

/**
 * struct control - control page of a stand-in
 * @get: answers GET; NULL means that there is no such page
 * @set: applies the object of POST /-/set; returns NULL or what is wrong
 */
struct control {
    json_t *(*get)(const char *path);
    const char *(*set)(json_t *object);
    h2o_globalconf_t config;
    h2o_context_t ctx;
    h2o_accept_ctx_t accept;
    uv_tcp_t listener;
};

struct control_handler {
    h2o_handler_t super;
    struct control *control;
};

/* Listens on "IP:PORT" or "PORT"; stores the port that was bound. */
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
standin_free_handle(uv_handle_t *handle)
{
    free(handle);
}

/* Accepts a connection as a socket of h2o; NULL when that failed. */
static inline h2o_socket_t *
standin_accept(uv_stream_t *listener)
{
    uv_tcp_t *conn = calloc(1, sizeof(*conn));

    uv_tcp_init(listener->loop, conn);
    if (uv_accept(listener, (uv_stream_t *)conn) != 0) {
        uv_close((uv_handle_t *)conn, standin_free_handle);
        return NULL;
    }
    uv_tcp_nodelay(conn, 1);
    return h2o_uv_socket_create((uv_stream_t *)conn, standin_free_handle);
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
control_send(h2o_req_t *req, int status, char *text)
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
    json_t *object = json_loadb(req->entity.base, req->entity.len, 0, NULL);
    const char *wrong =
        json_is_object(object) ? c->set(object) : "the body is no JSON object";
    json_t *answer = json_object();
    char *text;

    if (wrong != NULL) {
        json_object_set_new(answer, "error", json_string(wrong));
    }
    text = json_dumps(answer, JSON_COMPACT);
    json_decref(answer);
    json_decref(object);
    return control_send(req, wrong == NULL ? 200 : 400, text);
}

static inline int
control_on_req(h2o_handler_t *handler, h2o_req_t *req)
{
    struct control *c = ((struct control_handler *)handler)->control;
    char path[256];
    json_t *answer;
    char *text;

    if (h2o_memis(req->method.base, req->method.len, H2O_STRLIT("POST"))) {
        return control_set(c, req);
    }
    snprintf(path, sizeof(path), "%.*s", (int)req->path.len, req->path.base);
    answer = c->get(path);
    if (answer == NULL) {
        return -1; /* h2o answers 404 */
    }
    text = json_dumps(answer, JSON_COMPACT);
    json_decref(answer);
    return control_send(req, 200, text);
}

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
    handler->on_req = control_on_req;
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
