#include "tests/proxy_env.h"

#include "proxy/dialect.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

/* Timeout of a wait for the thread of the kernel, s. */
#define WAIT_S 10

/**
 * struct connection - a connection that a scripted server accepted
 * @timer: delay of SCRIPT_SLOW
 * @input: bytes received that no response was sent for
 * @requests: number of requests received
 * @handles: number of handles that are not closed yet
 */
struct connection {
    uv_tcp_t tcp;
    uv_timer_t timer;
    struct env_server *server;
    GString *input;
    int requests;
    int handles;
};

static struct env *
env_of(struct ggw_service *service, size_t offset)
{
    return (struct env *)(void *)((char *)service - offset);
}

/* Wakes the test and releases the lock. */
static void
signal_and_unlock(struct env *env)
{
    pthread_cond_broadcast(&env->changed);
    pthread_mutex_unlock(&env->lock);
}

/* Scripted servers. */

static void
conn_closed(uv_handle_t *handle)
{
    struct connection *c = handle->data;

    if (--c->handles > 0) {
        return;
    }
    g_hash_table_remove(c->server->env->conns, c);
    g_string_free(c->input, TRUE);
    g_free(c);
}

static void
conn_close(struct connection *c)
{
    if (uv_is_closing((uv_handle_t *)&c->tcp)) {
        return;
    }
    uv_close((uv_handle_t *)&c->tcp, conn_closed);
    uv_close((uv_handle_t *)&c->timer, conn_closed);
}

static void
conn_reset(struct connection *c)
{
    struct linger hard = {.l_onoff = 1};
    int fd;

    uv_fileno((uv_handle_t *)&c->tcp, &fd);
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    conn_close(c);
}

/**
 * struct pending_write - a write in progress
 * @close: closes the connection once the text is written
 */
struct pending_write {
    GString *text;
    bool close;
};

static void
on_written(uv_write_t *req, int status)
{
    struct pending_write *o = req->data;
    struct connection *c = req->handle->data;

    if (o->close) {
        conn_close(c);
    }
    g_string_free(o->text, TRUE);
    g_free(o);
    g_free(req);
}

static void
write_response(struct connection *c, GString *text, bool close)
{
    uv_write_t *req = g_new0(uv_write_t, 1);
    struct pending_write *o = g_new0(struct pending_write, 1);
    uv_buf_t buf = uv_buf_init(text->str, (unsigned)text->len);

    o->text = text;
    o->close = close;
    req->data = o;
    uv_write(req, (uv_stream_t *)&c->tcp, &buf, 1, on_written);
}

/**
 * struct response - response of a script
 * @text: template; @h is replaced by the headers X-Server and Backend-Load, @n
 *        by the length of the body in bytes, @x by the same in hexadecimal, @d
 *        by twice the length, @b by the body, @i by the header with the id of
 *        the attempt, and @a by a header value of 200,000 bytes
 * @after: what happens to the connection after the response
 */
struct response {
    const char *text;
    enum {
        KEEP,
        CLOSE,
        RESET, /* without the response */
        RESET_AFTER
    } after;
};

#define SIZED "@hContent-Length: @n\r\n\r\n@b"
#define CHUNKED "@hTransfer-Encoding: chunked\r\n\r\n"

static const struct response responses[] = {
    [SCRIPT_OK] = {"HTTP/1.1 200 OK\r\n" SIZED, KEEP},
    [SCRIPT_SHED] = {"HTTP/1.1 503 Busy\r\nBackend-Outcome: not-run\r\n" SIZED,
                     KEEP},
    [SCRIPT_LATE] = {"HTTP/1.1 504 Late\r\nBackend-Outcome: not-run\r\n" SIZED,
                     KEEP},
    [SCRIPT_OTHER] = {"HTTP/1.1 421 Other\r\n" SIZED, KEEP},
    [SCRIPT_BARE_503] = {"HTTP/1.1 503 Broken\r\n" SIZED, KEEP},
    [SCRIPT_ERROR_500] = {"HTTP/1.1 500 Error\r\n" SIZED, KEEP},
    [SCRIPT_RESET] = {"", RESET},
    [SCRIPT_RESET_HEAD] = {"HTTP/1.1 200 O", CLOSE},
    [SCRIPT_LARGE_HEAD] = {"HTTP/1.1 200 OK\r\nX-A: @a", KEEP},
    [SCRIPT_SHORT] = {"HTTP/1.1 200 OK\r\n@hContent-Length: @d\r\n\r\n@b",
                      CLOSE},
    [SCRIPT_SHORT_CHUNK] = {"HTTP/1.1 200 OK\r\n" CHUNKED "@x\r\n@b\r\n",
                            CLOSE},
    [SCRIPT_UNFRAMED] = {"HTTP/1.1 200 OK\r\n@h\r\n@b", CLOSE},
    [SCRIPT_UNFRAMED_RESET] = {"HTTP/1.1 200 OK\r\n@h\r\n@b", RESET_AFTER},
    [SCRIPT_BOTH_FRAMED] = {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" CHUNKED
                            "5\r\nhello\r\n0\r\n\r\n",
                            KEEP},
    [SCRIPT_SILENT] = {"", KEEP},
    [SCRIPT_SILENT_BODY] = {"HTTP/1.1 200 OK\r\n@hContent-Length: @d\r\n\r\n"
                            "@b",
                            KEEP},
    [SCRIPT_SLOW] = {"HTTP/1.1 200 OK\r\n" SIZED, KEEP},
    [SCRIPT_CHUNKED] = {"HTTP/1.1 200 OK\r\n" CHUNKED
                        "3\r\nabc\r\n@x\r\n@b\r\n0\r\n\r\n",
                        KEEP},
    [SCRIPT_EXTRA] = {"HTTP/1.1 200 OK\r\n" SIZED
                      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
                      KEEP},
    [SCRIPT_RIGHT_ID] = {"HTTP/1.1 200 OK\r\n@i" SIZED, KEEP},
    [SCRIPT_WRONG_ID] =
        {"HTTP/1.1 200 OK\r\nGreengageway-Request: gw-1-0\r\n" SIZED, KEEP},
    [SCRIPT_NO_BODY] = {"HTTP/1.1 204 No Content\r\n@h\r\n", KEEP},
    [SCRIPT_HEAD] = {"HTTP/1.1 200 OK\r\n@hContent-Length: @n\r\n\r\n", KEEP},
    [SCRIPT_INTERIM] =
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" SIZED, KEEP},
    [SCRIPT_CLOSED] = {"", KEEP},
    [SCRIPT_ENDLESS] = {"HTTP/1.1 200 OK\r\n@h\r\n", KEEP},
    [SCRIPT_SHED_ID] =
        {"HTTP/1.1 503 Busy\r\n@iBackend-Outcome: not-run\r\n" SIZED, KEEP},
    [SCRIPT_STALE_SHED] = {"HTTP/1.1 200 OK\r\n" SIZED, KEEP},
    [SCRIPT_STALE_SHED_ID] = {"HTTP/1.1 200 OK\r\n" SIZED, KEEP},
    [SCRIPT_SHED_ENDLESS] =
        {"HTTP/1.1 503 Busy\r\nBackend-Outcome: not-run\r\n@h\r\n", KEEP},
};

/* Appends what the placeholder @what stands for. */
static void
expand(GString *out, const struct env_server *s, char what)
{
    const char *id;

    switch (what) {
    case 'h':
        g_string_append_printf(out, "X-Server: %s\r\n", s->name);
        if (s->load != NULL) {
            g_string_append_printf(out, "Backend-Load: %s\r\n", s->load);
        }
        break;
    case 'n':
        g_string_append_printf(out, "%zu", s->body_len);
        break;
    case 'd':
        g_string_append_printf(out, "%zu", 2 * s->body_len);
        break;
    case 'x':
        g_string_append_printf(out, "%zx", s->body_len);
        break;
    case 'b':
        g_string_append_len(out, s->body, (gssize)s->body_len);
        break;
    case 'i':
        id = g_strrstr(s->received->str, "greengageway-request: ");
        g_string_append_len(out, id, (gssize)strcspn(id, "\n") + 1);
        break;
    case 'a':
        for (int i = 0; i < 20000; i++) {
            g_string_append(out, "0123456789");
        }
        break;
    default:
        abort();
    }
}

static void
respond(struct connection *c)
{
    const struct response *r = &responses[c->server->script];
    GString *text = g_string_new(NULL);

    for (const char *t = r->text; *t != '\0'; t++) {
        if (*t == '@') {
            expand(text, c->server, *++t);
        }
        else {
            g_string_append_c(text, *t);
        }
    }
    if (r->after == RESET) {
        g_string_free(text, TRUE);
        conn_reset(c);
        return;
    }
    write_response(c, text, r->after == CLOSE);
    if (r->after == RESET_AFTER) {
        conn_reset(c);
    }
}

static void
slow_cb(uv_timer_t *timer)
{
    respond(timer->data);
}

/* Sends a refusal of an earlier request once more, then the response. */
static void
respond_after_stale_refusal(struct connection *c)
{
    static const char refusal[] =
        "HTTP/1.1 503 Busy\r\nBackend-Outcome: not-run\r\n"
        "Content-Length: 0\r\n\r\n";
    static const char with_id[] =
        "HTTP/1.1 503 Busy\r\nBackend-Outcome: not-run\r\n"
        "Greengageway-Request: gw-1-0\r\nContent-Length: 0\r\n\r\n";

    if (c->requests > 1) {
        write_response(c,
                       g_string_new(c->server->script == SCRIPT_STALE_SHED
                                        ? refusal
                                        : with_id),
                       false);
    }
    respond(c);
}

/* Interval in ms and size in bytes of the parts of an endless body. */
#define ENDLESS_INTERVAL_MS 1
#define ENDLESS_PART_BYTES 65536

static void
endless_cb(uv_timer_t *timer)
{
    struct connection *c = timer->data;
    struct env *env = c->server->env;
    g_autofree char *part = g_strnfill(ENDLESS_PART_BYTES, 'x');

    write_response(c, g_string_new(part), false);
    pthread_mutex_lock(&env->lock);
    c->server->body_sent += ENDLESS_PART_BYTES;
    signal_and_unlock(env);
}

static void
respond_endless(struct connection *c)
{
    respond(c);
    uv_timer_start(&c->timer, endless_cb, c->server->delay_ms,
                   ENDLESS_INTERVAL_MS);
}

/* Length of the first complete request in the input in bytes, or 0. */
static size_t
request_len(const GString *input)
{
    const char *end = strstr(input->str, "\r\n\r\n");
    const char *length;
    size_t len;

    if (end == NULL) {
        return 0;
    }
    len = (size_t)(end - input->str) + 4;
    length = strstr(input->str, "content-length: ");
    if (length != NULL && length < end) {
        len += strtoul(length + 16, NULL, 10);
    }
    return input->len >= len ? len : 0;
}

static void
conn_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    static char memory[65536]; /* only one loop reads at a time */

    *buf = uv_buf_init(memory, sizeof(memory));
}

static void
conn_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    struct connection *c = stream->data;
    struct env_server *s = c->server;
    size_t len;

    if (n > 0) {
        g_string_append_len(c->input, buf->base, n);
    }
    if (n < 0) {
        pthread_mutex_lock(&s->env->lock);
        s->closed++;
        signal_and_unlock(s->env);
        conn_close(c);
        return;
    }
    while (!uv_is_closing((uv_handle_t *)stream) &&
           (len = request_len(c->input)) > 0) {
        pthread_mutex_lock(&s->env->lock);
        g_string_append_len(s->received, c->input->str, (gssize)len);
        pthread_mutex_unlock(&s->env->lock);
        g_string_erase(c->input, 0, (gssize)len);
        c->requests++;
        if (s->script == SCRIPT_SLOW) {
            uv_timer_start(&c->timer, slow_cb, s->delay_ms, 0);
        }
        else if (s->script == SCRIPT_ENDLESS ||
                 s->script == SCRIPT_SHED_ENDLESS) {
            respond_endless(c);
        }
        else if (s->script == SCRIPT_STALE_SHED ||
                 s->script == SCRIPT_STALE_SHED_ID) {
            respond_after_stale_refusal(c);
        }
        else {
            respond(c);
        }
        /* Counted last, since the test may then change the script. */
        pthread_mutex_lock(&s->env->lock);
        s->requests++;
        signal_and_unlock(s->env);
    }
}

static void
server_accept(uv_stream_t *stream, int status)
{
    struct env_server *s = stream->data;
    struct connection *c = g_new0(struct connection, 1);

    c->server = s;
    c->input = g_string_new(NULL);
    c->handles = 2;
    g_hash_table_add(s->env->conns, c);
    uv_tcp_init(stream->loop, &c->tcp);
    uv_timer_init(stream->loop, &c->timer);
    c->tcp.data = c;
    c->timer.data = c;
    uv_accept(stream, (uv_stream_t *)&c->tcp);
    uv_tcp_nodelay(&c->tcp, 1); /* sends a second response at once */
    uv_read_start((uv_stream_t *)&c->tcp, conn_alloc, conn_read);
    pthread_mutex_lock(&s->env->lock);
    s->connections++;
    signal_and_unlock(s->env);
}

static void
server_start(struct env_server *s, uv_loop_t *loop)
{
    struct sockaddr_in address;
    int len = sizeof(address);

    uv_tcp_init(loop, &s->tcp);
    s->tcp.data = s;
    uv_ip4_addr("127.0.0.1", 0, &address);
    uv_tcp_bind(&s->tcp, (struct sockaddr *)&address, 0);
    uv_listen((uv_stream_t *)&s->tcp, 64, server_accept);
    uv_tcp_getsockname(&s->tcp, (struct sockaddr *)&address, &len);
    s->port = ntohs(address.sin_port);
}

/* Fake of "slots". */

static const struct env_server *
pick(struct env *env, char **avoid)
{
    for (size_t i = 0; i < ENV_SERVERS; i++) {
        if (avoid == NULL || env->only_first_server ||
            !g_strv_contains((const char *const *)avoid,
                             env->servers[i].name)) {
            return &env->servers[i];
        }
    }
    return NULL;
}

static void
slots_receive(struct ggw_service *service, struct ggw_message *m)
{
    struct env *env = env_of(service, offsetof(struct env, slots));

    pthread_mutex_lock(&env->lock);
    if (m->ops == &ggw_slot_request_ops) {
        const struct env_server *s =
            pick(env, ((struct ggw_slot_request *)m)->avoid);

        env->slot_requests++;
        if (env->slots_mode == ENV_HOLD) {
            /* No answer is sent. */
        }
        else if (s == NULL || env->slots_mode == ENV_REFUSE) {
            ggw_kernel_reply(service, m,
                             ggw_slot_refuse_new(s == NULL ? GGW_SLOT_NO_SERVER
                                                           : env->refusal,
                                                 1500));
        }
        else {
            /* Nothing listens on port 1 of the loopback address. */
            ggw_kernel_reply(service, m,
                             ggw_slot_grant_new(
                                 ++env->next_grant, s->name, "fd-a",
                                 "127.0.0.1",
                                 s->script == SCRIPT_CLOSED ? 1 : s->port, 8));
        }
    }
    else if (m->ops == &ggw_slot_release_ops) {
        g_array_append_val(env->releases, *(struct ggw_slot_release *)m);
    }
    else if (m->ops == &ggw_slot_cancel_ops) {
        env->cancels++;
    }
    else if (m->ops == &ggw_server_notice_ops) {
        g_array_append_val(env->notices,
                           ((struct ggw_server_notice *)m)->notice);
    }
    else if (m->ops == &ggw_probe_result_ops) {
        g_array_append_val(env->probe_results, *(struct ggw_probe_result *)m);
    }
    signal_and_unlock(env);
}

/* Fake of "claims". */

static void
claims_receive(struct ggw_service *service, struct ggw_message *m)
{
    struct env *env = env_of(service, offsetof(struct env, claims));

    pthread_mutex_lock(&env->lock);
    if (m->ops == &ggw_claim_request_ops) {
        env->claims_asked++;
        env->held_tag = m->tag;
        if (env->claims_mode == ENV_CLAIM) {
            struct ggw_claim_result *r = g_new0(struct ggw_claim_result, 1);

            r->base.ops = &ggw_claim_result_ops;
            r->state = env->claim_state;
            r->status = 201;
            r->claim = 77;
            ggw_kernel_reply(service, m, &r->base);
        }
    }
    else if (m->ops == &ggw_claim_settle_ops) {
        g_array_append_val(env->settles, *(struct ggw_claim_settle *)m);
    }
    signal_and_unlock(env);
}

/* Service "driver": starts the servers and delivers what the test posts. */

/**
 * struct posted - a message that the test posted
 * @to: name of the service; NULL to publish the message
 */
struct posted {
    char *to;
    struct ggw_message *message;
};

static void
async_cb(uv_async_t *async)
{
    struct env *env = async->data;
    struct posted *p;
    bool stop;

    pthread_mutex_lock(&env->lock);
    while ((p = g_queue_pop_head(&env->posted)) != NULL) {
        if (p->to == NULL) {
            ggw_kernel_publish(env->kernel, &env->driver, p->message);
        }
        else {
            ggw_kernel_send(env->kernel, p->to,
                            strcmp(p->to, "proxy") == 0 ? &env->slots
                                                        : &env->driver,
                            p->message);
        }
        g_free(p->to);
        g_free(p);
    }
    stop = env->stop;
    pthread_mutex_unlock(&env->lock);
    if (stop) {
        ggw_kernel_stop(env->kernel);
    }
}

static bool
driver_start(struct ggw_service *service, GError **error)
{
    struct env *env = env_of(service, offsetof(struct env, driver));
    uv_loop_t *loop = ggw_kernel_loop(env->kernel);

    uv_async_init(loop, &env->async, async_cb);
    env->async.data = env;
    for (size_t i = 0; i < ENV_SERVERS; i++) {
        server_start(&env->servers[i], loop);
    }
    pthread_mutex_lock(&env->lock);
    env->running = true;
    signal_and_unlock(env);
    return true;
}

/* Closes the listeners of the servers and their connections. */
static void
close_servers(struct env *env)
{
    g_autoptr(GList) conns = g_hash_table_get_keys(env->conns);

    for (size_t i = 0; i < ENV_SERVERS; i++) {
        uv_close((uv_handle_t *)&env->servers[i].tcp, NULL);
    }
    for (GList *l = conns; l != NULL; l = l->next) {
        conn_close(l->data);
    }
}

static void
driver_stop(struct ggw_service *service)
{
    struct env *env = env_of(service, offsetof(struct env, driver));

    uv_close((uv_handle_t *)&env->async, NULL);
    close_servers(env);
}

static const struct ggw_service_ops driver_ops = {
    .name = "driver", .start = driver_start, .stop = driver_stop};
static const struct ggw_service_ops slots_ops = {.name = "slots"};
static const struct ggw_service_ops claims_ops = {.name = "claims"};

static void
driver_receive(struct ggw_service *service, struct ggw_message *m)
{
}

/*
 * One thread runs all kernels and never ends: h2o caches memory per thread,
 * which the leak check would report once the thread has ended.
 */
static pthread_mutex_t worker_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t worker_wake = PTHREAD_COND_INITIALIZER;
static struct env *worker_env;

static void *
worker(void *arg)
{
    for (;;) {
        struct env *env;

        pthread_mutex_lock(&worker_lock);
        while (worker_env == NULL) {
            pthread_cond_wait(&worker_wake, &worker_lock);
        }
        env = worker_env;
        worker_env = NULL;
        pthread_mutex_unlock(&worker_lock);
        ggw_kernel_run(env->kernel, NULL);
        pthread_mutex_lock(&env->lock);
        env->ended = 1;
        signal_and_unlock(env);
    }
    return NULL;
}

static void
run(struct env *env)
{
    static bool started;
    pthread_t thread;

    pthread_mutex_lock(&worker_lock);
    worker_env = env;
    if (!started) {
        started = true;
        pthread_create(&thread, NULL, worker, NULL);
        pthread_detach(thread);
    }
    pthread_cond_signal(&worker_wake);
    pthread_mutex_unlock(&worker_lock);
}

struct ggw_tree *
env_tree(uint64_t revision, ggw_ms timeout, const char *domain_out)
{
    static const char format[] =
        "{\"failure_domains\":{\"%s\":{\"state\":\"out\"}},"
        "\"services\":{\"svc\":{\"slots\":2,\"connections\":8,"
        "\"kinds\":{"
        "\"read\":{\"methods\":[\"GET\",\"POST\",\"HEAD\"],"
        "\"path_prefix\":\"/read\",\"timeout_ms\":%.0f,"
        "\"idempotency\":\"idempotent\",\"attempts\":3},"
        "\"order\":{\"methods\":[\"POST\"],\"path_prefix\":\"/order\","
        "\"timeout_ms\":%.0f,\"idempotency\":\"order\","
        "\"order_from\":\"header:X-Order\",\"attempts\":3},"
        "\"other\":{\"methods\":[\"GET\"],\"path_prefix\":\"/other\","
        "\"timeout_ms\":%.0f,\"idempotency\":\"idempotent\","
        "\"attempts\":1}}}},"
        "\"routes\":{"
        "\"kept\":{\"host\":\"kept.example\",\"services\":{\"svc\":1},"
        "\"timeout_ms\":%.0f,\"attempts\":2,\"hold_bytes\":100000,"
        "\"retry_errors\":\"yes\"},"
        "\"once\":{\"host\":\"once.example\",\"services\":{\"svc\":1},"
        "\"timeout_ms\":%.0f,\"attempts\":2,\"hold_bytes\":100000,"
        "\"idempotency\":\"once\"}}}";
    g_autofree char *json = g_strdup_printf(
        format, domain_out, timeout, timeout, timeout, timeout, timeout);
    GError *error = NULL;
    struct ggw_tree *tree = ggw_tree_parse("team", revision, json, &error);

    if (tree == NULL) {
        fprintf(stderr, "%s\n", error->message);
        abort();
    }
    /*
     * Above the range of the settings: each call allows one retry and one
     * hedge.
     */
    tree->services[0].retry_percent = 100;
    tree->services[0].hedge_percent = 100;
    return tree;
}

static bool
is_other_server(int status)
{
    return status == 421;
}

static bool
is_other_probed_server(int status, const h2o_header_t *headers, size_t len,
                       const char *server)
{
    return status == 421;
}

static struct env *
start(ggw_ms max_age, ggw_ms drain, bool like_site)
{
    struct env *env = g_new0(struct env, 1);
    static struct ggw_dialect dialect;
    struct ggw_proxy_options options = {
        .name = "gw-1",
        .failure_domain = "fd-a",
        .incarnation = 42,
        .listen_host = "127.0.0.1",
        .max_age = max_age,
        .drain = drain,
        .head_timeout = 300,
        .progress_timeout = 300,
        .leave_accept = max_age + 500,
        .dialect = &dialect,
        .half_close_disconnects = like_site,
    };

    dialect = ggw_default_dialect;
    dialect.misdirected = is_other_server;
    dialect.status_promises = like_site;
    dialect.probe_misdirected = is_other_probed_server;

    pthread_mutex_init(&env->lock, NULL);
    pthread_cond_init(&env->changed, NULL);
    g_queue_init(&env->posted);
    env->conns = g_hash_table_new(NULL, NULL);
    env->releases = g_array_new(FALSE, FALSE, sizeof(struct ggw_slot_release));
    env->settles = g_array_new(FALSE, FALSE, sizeof(struct ggw_claim_settle));
    env->notices =
        g_array_new(FALSE, FALSE, sizeof(struct ggw_backoff_notice));
    env->probe_results =
        g_array_new(FALSE, FALSE, sizeof(struct ggw_probe_result));
    for (size_t i = 0; i < ENV_SERVERS; i++) {
        struct env_server *s = &env->servers[i];

        s->env = env;
        g_snprintf(s->name, sizeof(s->name), "s%zu", i);
        s->body = "hello";
        s->body_len = 5;
        s->received = g_string_new(NULL);
    }
    env->kernel = ggw_kernel_new(ggw_clock_system());
    env->proxy = ggw_proxy_service_new(&options);
    ggw_kernel_add(env->kernel, env->proxy);
    static struct ggw_service_ops d, s, c;
    d = driver_ops;
    d.receive = driver_receive;
    s = slots_ops;
    s.receive = slots_receive;
    c = claims_ops;
    c.receive = claims_receive;
    env->driver.ops = &d;
    env->slots.ops = &s;
    env->claims.ops = &c;
    ggw_kernel_add(env->kernel, &env->slots);
    ggw_kernel_add(env->kernel, &env->claims);
    ggw_kernel_add(env->kernel, &env->driver);
    run(env);
    pthread_mutex_lock(&env->lock);
    while (!env->running) {
        pthread_cond_wait(&env->changed, &env->lock);
    }
    pthread_mutex_unlock(&env->lock);
    return env;
}

struct env *
env_start_bare(ggw_ms max_age)
{
    return start(max_age, 5000, false);
}

static struct env *
start_ready(ggw_ms timeout, ggw_ms max_age, ggw_ms drain, bool like_site)
{
    struct env *env = start(max_age, drain, like_site);
    struct ggw_tree *tree = env_tree(7, timeout, "fd-out");
    bool ready = false;

    env_publish(env, ggw_config_in_force_new(tree));
    ggw_tree_unref(tree);
    while (!ready) {
        GString *r = env_ask(env, "GET /-/ready HTTP/1.1\r\nHost: x\r\n"
                                  "Connection: close\r\n\r\n");

        ready = env_status(r) == 200;
        g_string_free(r, TRUE);
    }
    return env;
}

struct env *
env_start(ggw_ms timeout, ggw_ms max_age, ggw_ms drain)
{
    return start_ready(timeout, max_age, drain, false);
}

struct env *
env_start_like_site(ggw_ms timeout, ggw_ms max_age, ggw_ms drain)
{
    return start_ready(timeout, max_age, drain, true);
}

static void
post(struct env *env, const char *to, struct ggw_message *message)
{
    struct posted *p = g_new0(struct posted, 1);

    p->to = g_strdup(to);
    p->message = message;
    pthread_mutex_lock(&env->lock);
    g_queue_push_tail(&env->posted, p);
    pthread_mutex_unlock(&env->lock);
    uv_async_send(&env->async);
}

void
env_publish(struct env *env, struct ggw_message *message)
{
    post(env, NULL, message);
}

void
env_send(struct env *env, const char *name, struct ggw_message *message)
{
    post(env, name, message);
}

void
env_stop(struct env *env)
{
    pthread_mutex_lock(&env->lock);
    env->stop = true;
    if (env->ended == 0) {
        uv_async_send(&env->async);
    }
    pthread_mutex_unlock(&env->lock);
    if (!env_wait_ended(env)) {
        abort(); /* the kernel did not stop */
    }
    ggw_kernel_destroy(env->kernel);
    for (size_t i = 0; i < ENV_SERVERS; i++) {
        g_string_free(env->servers[i].received, TRUE);
    }
    g_hash_table_destroy(env->conns);
    g_array_free(env->releases, TRUE);
    g_array_free(env->settles, TRUE);
    g_array_free(env->notices, TRUE);
    g_array_free(env->probe_results, TRUE);
    pthread_mutex_destroy(&env->lock);
    pthread_cond_destroy(&env->changed);
    g_free(env);
}

/* Waits until @value, an int or a guint, is at least @at_least. */
static bool
wait_value(struct env *env, const volatile int *value, int at_least)
{
    struct timespec t;
    int rc = 0;

    clock_gettime(CLOCK_REALTIME, &t);
    t.tv_sec += WAIT_S;
    pthread_mutex_lock(&env->lock);
    while (*value < at_least && rc == 0) {
        rc = pthread_cond_timedwait(&env->changed, &env->lock, &t);
    }
    pthread_mutex_unlock(&env->lock);
    return rc == 0;
}

bool
env_wait(struct env *env, const int *value, int at_least)
{
    return wait_value(env, value, at_least);
}

bool
env_wait_len(struct env *env, GArray *array, int at_least)
{
    return wait_value(env, (const volatile int *)&array->len, at_least);
}

bool
env_wait_ended(struct env *env)
{
    return wait_value(env, &env->ended, 1);
}
