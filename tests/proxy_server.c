#include "tests/proxy_server.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/**
 * struct connection - a connection that a scripted server accepted
 * @timer: delay of SCRIPT_SLOW
 * @input: bytes received that no response was sent for
 * @first_id: header with the id of the first request; NULL until then
 * @requests: number of requests received
 * @handles: number of handles that are not closed yet
 */
struct connection {
    uv_tcp_t tcp;
    uv_timer_t timer;
    struct env_server *server;
    GString *input;
    char *first_id;
    int requests;
    int handles;
};

static void
conn_closed(uv_handle_t *handle)
{
    struct connection *c = handle->data;

    if (--c->handles > 0) {
        return;
    }
    g_hash_table_remove(c->server->env->conns, c);
    g_string_free(c->input, TRUE);
    g_free(c->first_id);
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
 *        the attempt, @e by that of the connection's first attempt, @0 by a
 *        NUL, and @a by a header value of 200,000 bytes
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
#define EARLIER "Content-Length: 7\r\n\r\nearlier"
#define EARLIER_COPY "HTTP/1.1 200 OK\r\n@e" EARLIER

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
    [SCRIPT_UNFRAMED_206] = {"HTTP/1.1 206 Partial Content\r\n@h\r\n@b",
                             CLOSE},
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
    [SCRIPT_TEXT] = {"", KEEP},
    [SCRIPT_COPY_BEHIND] = {"HTTP/1.1 200 OK\r\n@i@h\r\n@b" EARLIER_COPY,
                            CLOSE},
    [SCRIPT_COPY_BEHIND_NO_ID] =
        {"HTTP/1.1 200 OK\r\n@h\r\n@bHTTP/1.1 200 OK\r\n" EARLIER, CLOSE},
    [SCRIPT_COPY_BEHIND_CUT] = {"HTTP/1.1 200 OK\r\n@i@h\r\n@bHTTP/1.1 2",
                                CLOSE},
    [SCRIPT_COPY_INSIDE] = {"HTTP/1.1 200 OK\r\n@i@hContent-Length: @n\r\n"
                            "\r\nhe" EARLIER_COPY "@b",
                            KEEP},
    [SCRIPT_COPY_OF_ITSELF] = {"HTTP/1.1 200 OK\r\n@i@h\r\n@b"
                               "HTTP/1.1 200 OK\r\n@i@h\r\n@b",
                               CLOSE},
    [SCRIPT_HEAD_IN_HEADER] = {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                               "X-Note: cuHTTP/1.1 200 OK\r\n@i@h\r\n@b",
                               CLOSE},
};

/* Response to the first request of a connection that gets a copy later. */
static const struct response earlier = {"HTTP/1.1 200 OK\r\n@i" EARLIER, KEEP};
static const struct response earlier_without_id = {
    "HTTP/1.1 200 OK\r\n" EARLIER, KEEP};

/* The response that the script gives to the current request of @c. */
static const struct response *
select_response(const struct connection *c)
{
    enum script script = c->server->script;

    if (c->requests > 1 || script < SCRIPT_COPY_BEHIND ||
        script == SCRIPT_COPY_OF_ITSELF) {
        return &responses[script];
    }
    return script == SCRIPT_COPY_BEHIND_NO_ID ? &earlier_without_id : &earlier;
}

/* Returns the header with the id of the last request received, if it had one.
 */
static char *
last_id(const struct env_server *s)
{
    const char *id = g_strrstr(s->received->str, "greengageway-request: ");

    return id != NULL ? g_strndup(id, strcspn(id, "\n") + 1) : g_strdup("");
}

/* Appends what the placeholder @what stands for. */
static void
expand(GString *out, const struct connection *c, char what)
{
    const struct env_server *s = c->server;
    g_autofree char *id = NULL;

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
        id = last_id(s);
        g_string_append(out, id);
        break;
    case 'e':
        g_string_append(out, c->first_id);
        break;
    case '0':
        g_string_append_c(out, '\0');
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
    const struct response *r = select_response(c);
    const char *template =
        c->server->script == SCRIPT_TEXT ? c->server->text : r->text;
    GString *text = g_string_new(NULL);

    for (const char *t = template; *t != '\0'; t++) {
        if (*t == '@') {
            expand(text, c, *++t);
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
    env_signal_and_unlock(env);
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
        env_signal_and_unlock(s->env);
        conn_close(c);
        return;
    }
    while (!uv_is_closing((uv_handle_t *)stream) &&
           (len = request_len(c->input)) > 0) {
        pthread_mutex_lock(&s->env->lock);
        g_string_append_len(s->received, c->input->str, (gssize)len);
        pthread_mutex_unlock(&s->env->lock);
        g_string_erase(c->input, 0, (gssize)len);
        if (c->requests++ == 0) {
            c->first_id = last_id(s);
        }
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
        env_signal_and_unlock(s->env);
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
    env_signal_and_unlock(s->env);
}

void
proxy_server_start(struct env_server *s, uv_loop_t *loop)
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

void
proxy_servers_close(struct env *env)
{
    g_autoptr(GList) conns = g_hash_table_get_keys(env->conns);

    for (size_t i = 0; i < ENV_SERVERS; i++) {
        uv_close((uv_handle_t *)&env->servers[i].tcp, NULL);
    }
    for (GList *l = conns; l != NULL; l = l->next) {
        conn_close(l->data);
    }
}
