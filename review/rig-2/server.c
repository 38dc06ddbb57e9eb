#include "server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Interval of the reports to the store, ms. */
#define REPORT_MS 1500

/* An entry is removed after this many intervals of silence. */
#define SILENT_REPORTS 3

/* Bytes that are sent at a time where the link has a limit. */
#define PIECE 4096

/* Attempts that are remembered, by the number in their ids. */
#define ATTEMPTS (1 << 20)

static char has_run[ATTEMPTS];

struct connection {
    struct server *server;
    int start;
    int fd;
};

static bool
is_gone(const struct server *s, int start)
{
    return s->dark || s->start != start;
}

/*
 * Ends a connection of a server that has lost its power. The peer hears
 * nothing until the server starts again; then its bytes are answered with a
 * reset.
 */
static void
stay_silent(const struct connection *c)
{
    struct linger reset = {.l_onoff = 1};

    while (c->server->start == c->start) {
        rig_sleep(10);
    }
    setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

static void
server_id(const struct server *s, int start, char *id, size_t size)
{
    snprintf(id, size, "i-%04x%02x", (unsigned)s->index, (unsigned)start);
}

/* Takes the time that @len bytes need on the link. */
static void
use_link(struct server *s, size_t len)
{
    double now = rig_now(), at;

    if (s->rate <= 0) {
        return;
    }
    pthread_mutex_lock(&s->lock);
    at = s->link_free_at > now ? s->link_free_at : now;
    s->link_free_at = at + (double)len / s->rate;
    at = s->link_free_at;
    pthread_mutex_unlock(&s->lock);
    rig_sleep(at - now);
}

static bool
send_paced(struct connection *c, const char *bytes, size_t len)
{
    while (len > 0) {
        size_t piece = len < PIECE ? len : PIECE;

        use_link(c->server, piece);
        if (is_gone(c->server, c->start) || !rig_write(c->fd, bytes, piece)) {
            return false;
        }
        bytes += piece;
        len -= piece;
    }
    return true;
}

/* Reads a head; returns the bytes behind it, or -1. */
static ssize_t
read_head(struct connection *c, char *head, size_t *head_len)
{
    size_t len = 0;

    while (len < RIG_HEAD - 1) {
        struct pollfd p = {.fd = c->fd, .events = POLLIN};
        char *end;
        ssize_t r;

        if (poll(&p, 1, 10) == 0) {
            if (is_gone(c->server, c->start)) {
                return -1;
            }
            continue;
        }
        if (is_gone(c->server, c->start)) {
            return -1;
        }
        r = read(c->fd, head + len, RIG_HEAD - 1 - len);
        if (r <= 0) {
            return -1;
        }
        len += (size_t)r;
        head[len] = '\0';
        end = strstr(head, "\r\n\r\n");
        if (end != NULL) {
            *head_len = (size_t)(end + 4 - head);
            return (ssize_t)(len - *head_len);
        }
    }
    return -1;
}

static void
load_header(struct server *s, char *text, size_t size)
{
    snprintf(text, size, "%d,0,%d,100", s->running, s->slots);
}

static bool
answer_health(struct connection *c, const char *id)
{
    struct server *s = c->server;
    double cold = s->cold_until - rig_now();
    char text[512], load[64];

    load_header(s, load, sizeof(load));
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nInstance-Load: %s\r\n"
             "Cold-Remaining: %.0f\r\nContent-Length: 0\r\n\r\n",
             id, load, cold > 0 ? cold : 0);
    return rig_write(c->fd, text, strlen(text));
}

static bool
answer_other_id(struct connection *c, const char *attempt, const char *id)
{
    char text[512];

    snprintf(text, sizeof(text),
             "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\n"
             "Instance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
             attempt, id);
    return rig_write(c->fd, text, strlen(text));
}

void
server_signature(const char *attempt, const char *body, size_t len,
                 char *signature, size_t size)
{
    snprintf(signature, size, "%s.%zu.%016lx", attempt, len,
             (unsigned long)rig_hash(body, len));
}

/* The number of an attempt in the id of rig_new_id(). */
static size_t
attempt_number(const char *attempt)
{
    return strlen(attempt) > 4 ? strtoul(attempt + 4, NULL, 16) % ATTEMPTS : 0;
}

bool
server_has_run(const char *attempt)
{
    return __atomic_load_n(&has_run[attempt_number(attempt)],
                           __ATOMIC_RELAXED) != 0;
}

static char *
make_body(const char *attempt, size_t len)
{
    char *body = malloc(len + 1);
    size_t n = strlen(attempt);

    for (size_t i = 0; i < len; i++) {
        body[i] = i % 64 == 63 ? '\n' : attempt[i % 64 % n];
    }
    return body;
}

static bool
run(struct connection *c, const char *head, const char *attempt)
{
    struct server *s = c->server;
    char path[1024] = "", signature[128], load[64], text[1024];
    const char *last;
    char *body;
    size_t len;
    bool sent;

    sscanf(head, "%*s %1023s", path);
    last = strrchr(path, '/');
    len = last != NULL ? strtoul(last + 1, NULL, 10) : 0;
    pthread_mutex_lock(&s->lock);
    while (s->running >= s->slots) {
        pthread_cond_wait(&s->freed, &s->lock);
    }
    s->running++;
    s->ran++;
    pthread_mutex_unlock(&s->lock);
    __atomic_store_n(&has_run[attempt_number(attempt)], 1, __ATOMIC_RELAXED);
    rig_sleep(s->work_ms);
    body = make_body(attempt, len);
    server_signature(attempt, body, len, signature, sizeof(signature));
    load_header(s, load, sizeof(load));
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\n"
             "Instance-Load: %s\r\nContent-Length: %zu\r\n\r\n",
             attempt, signature, load, len);
    sent = !is_gone(s, c->start) && rig_write(c->fd, text, strlen(text)) &&
           send_paced(c, body, len);
    pthread_mutex_lock(&s->lock);
    s->running--;
    pthread_cond_signal(&s->freed);
    pthread_mutex_unlock(&s->lock);
    free(body);
    return sent;
}

/* Reads the rest of a body, of which @behind bytes have arrived. */
static bool
skip_body(struct connection *c, const char *head, size_t behind)
{
    char value[32], bytes[16384];
    size_t len;

    rig_header(head, "content-length", value, sizeof(value));
    len = strtoul(value, NULL, 10);
    len -= behind < len ? behind : len;
    while (len > 0) {
        ssize_t r =
            read(c->fd, bytes, len < sizeof(bytes) ? len : sizeof(bytes));

        if (r <= 0) {
            return false;
        }
        len -= (size_t)r;
    }
    return true;
}

static void *
serve(void *data)
{
    struct connection *c = data;
    struct server *s = c->server;
    char head[RIG_HEAD], id[32], attempt[64], meant[64];
    size_t head_len;
    ssize_t behind;
    bool ok = true;

    server_id(s, c->start, id, sizeof(id));
    while (ok && (behind = read_head(c, head, &head_len)) >= 0) {
        head[head_len] = '\0';
        rig_header(head, "attempt-id", attempt, sizeof(attempt));
        if (!skip_body(c, head, (size_t)behind)) {
            break;
        }
        if (strstr(head, " /health ") != NULL) {
            ok = answer_health(c, id);
        }
        else if (rig_header(head, "expected-instance", meant,
                            sizeof(meant)) &&
                 strcmp(meant, id) != 0) {
            ok = answer_other_id(c, attempt, id);
        }
        else {
            ok = run(c, head, attempt);
        }
    }
    if (is_gone(s, c->start)) {
        stay_silent(c);
    }
    close(c->fd);
    free(c);
    return NULL;
}

static void
open_listener(struct server *s)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_port = htons(RIG_SERVER)};
    char host[64];
    int on = 1;

    rig_server_host(s->index, host);
    inet_pton(AF_INET, host, &sa.sin_addr);
    s->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(s->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(s->listener, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
        listen(s->listener, 512) != 0) {
        rig_fail("server %d cannot listen: %s", s->index, strerror(errno));
    }
}

static void *
accept_all(void *data)
{
    struct server *s = data;
    int on = 1;

    for (;;) {
        struct pollfd p = {.fd = s->listener, .events = POLLIN};
        struct connection *c;
        pthread_t thread;
        int fd;

        if (s->dark || poll(&p, 1, 5) != 1 || s->dark) {
            if (s->dark) {
                rig_sleep(5);
            }
            continue;
        }
        fd = accept4(s->listener, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        c = calloc(1, sizeof(*c));
        *c = (struct connection){s, s->start, fd};
        pthread_create(&thread, NULL, serve, c);
        pthread_detach(thread);
    }
    return NULL;
}

static void
report(struct server *s)
{
    double cold = s->cold_until - rig_now();
    char id[32], key[64], host[64], text[512];

    server_id(s, s->start, id, sizeof(id));
    rig_server_host(s->index, host);
    snprintf(key, sizeof(key), "%s", id);
    snprintf(text, sizeof(text),
             "{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"%s\","
             "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"ready\","
             "\"ColdLeftMs\":%.0f,\"Sequence\":%d}",
             s->service, host, RIG_SERVER, s->zone, s->slots,
             cold > 0 ? cold : 0, ++s->sequence);
    rig_put("servers", key, text);
}

/* Reports; removes the entry of a start that has long been silent. */
static void *
report_all(void *data)
{
    struct server *s = data;
    double reported_at = -1e9, silent_at = 0;
    int start = s->start, silent_start = 0;

    for (;;) {
        if (s->dark && silent_start != s->start) {
            silent_start = s->start;
            silent_at = reported_at + SILENT_REPORTS * REPORT_MS;
        }
        if (silent_start != 0 && silent_at > 0 && rig_now() >= silent_at) {
            char id[32];

            server_id(s, silent_start, id, sizeof(id));
            rig_remove("servers", id);
            silent_at = 0;
        }
        if (!s->dark &&
            (start != s->start || rig_now() - reported_at >= REPORT_MS)) {
            start = s->start;
            reported_at = rig_now();
            report(s);
        }
        rig_sleep(20);
    }
    return NULL;
}

void
server_start(struct server *s)
{
    pthread_t thread;

    pthread_mutex_init(&s->lock, NULL);
    pthread_cond_init(&s->freed, NULL);
    s->start = 1;
    open_listener(s);
    pthread_create(&thread, NULL, accept_all, s);
    pthread_create(&thread, NULL, report_all, s);
}

/*
 * Connections of a machine without power do not open. The queue of the
 * listening socket is made short and filled, so that the system drops the
 * packets that open further ones.
 */
void
server_darken(struct server *s)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_port = htons(RIG_SERVER)};
    char host[64];

    rig_server_host(s->index, host);
    inet_pton(AF_INET, host, &sa.sin_addr);
    s->dark = true;
    listen(s->listener, 0);
    for (int i = 0; i < 3; i++) {
        s->fillers[i] =
            socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        connect(s->fillers[i], (struct sockaddr *)&sa, sizeof(sa));
    }
    rig_record("server %d in %s loses its power with %d requests at work",
               s->index, s->zone, s->running);
}

void
server_restart(struct server *s, double cold_ms)
{
    for (int i = 0; i < 3; i++) {
        close(s->fillers[i]);
    }
    close(s->listener);
    open_listener(s);
    s->cold_until = rig_now() + cold_ms;
    s->start++;
    s->dark = false;
    rig_record("server %d is back", s->index);
}
