#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define STORE_PORT 8384
#define CONTROL_PORT 8382
#define PEER_PORT 7200
#define FIRST_INSTANCE_PORT 9000
#define RELAY_PORT_OFFSET 1000

/* Requests that wait at an instance for a slot. */
#define QUEUE 4

/* Interval at which an instance reports itself to the store, ms. */
#define HEARTBEAT_MS 1500

/* Time for a gateway to become ready, ms. */
#define READY_MS 15000

/* A case ends after this time at the latest, s. */
#define MAX_RUN_S 115

/* Fields of the settings, as the deploy file's template writes them. */
static const char settings_format[] =
    "{\"NodeName\":\"front-%d\",\"Role\":\"gateway\","
    "\"MachineClass\":\"front\",\"Ip\":\"%s\",\"Zone\":\"zone-%c\","
    "\"Region\":\"area\",\"Bootstrap\":%s,"
    "\"Limits\":{\"CpuShare\":0.5,\"Cores\":1,\"MemoryMb\":650,"
    "\"MaxFds\":10250,\"LinkMbps\":2500.0,\"DiskMb\":0},"
    "\"InternalPorts\":[%d,%d],"
    "\"Seeds\":[\"%s.1:%d\",\"%s.2:%d\",\"%s.3:%d\"],"
    "\"Listen\":{\"Front\":\"%s:%d\",\"Ready\":\"%s:%d\","
    "\"Control\":\"%s:%d\",\"Directory\":\"%s:%d\"},"
    "\"Zones\":{\"zone-a\":\"area\",\"zone-b\":\"area\",\"zone-c\":\"area\"},"
    "\"Platform\":{\"Address\":\"%s:%d\",\"form\":\"table\","
    "\"WritesPerS\":400,\"ReadsPerS\":2000},"
    "\"FaultTolerance\":{\"Machines\":1,\"Zones\":1,\"Regions\":0},"
    "\"Bounds\":{\"SeedLagS\":3,\"AddrReuseS\":2,\"StableWindowMs\":3000,"
    "\"AckMs\":4000,\"CatchUpS\":4,\"DrainMs\":2000,\"GraceS\":6,"
    "\"LossSlackMs\":200,\"ConfigApplyMs\":2000,\"RollbackSlackMs\":250,"
    "\"OuterMs\":5000,\"RetryRatio\":0.2,\"RetryWindowS\":10,"
    "\"RetrySlack\":58,\"ColdExcess\":1.5,\"ColdSlack\":5,"
    "\"EvacuateMs\":5000,\"RecoveryS\":15,\"ttl_max_s\":5,"
    "\"ProbesPerS\":60}}\n";

struct gateway {
    char host[32];
    pid_t pid;
    bool started;
};

static struct {
    char dir[64];
    char net[24]; /* first three bytes of the gateways' addresses */
    char store_host[32];
    char instance_host[32];
    pid_t store;
    struct gateway gateways[RIG_MAX_GATEWAYS];
    int gateways_len;
    GPtrArray *instances;
    GString *rules;
    GString *clusters;
    FILE *record;
    GMutex record_lock;
    gint64 started_at;
    bool bootstrap;
    volatile bool stopping;
} rig;

bool
rig_trouble(void)
{
    const char *text = getenv("TROUBLE");

    return text == NULL || strcmp(text, "0") != 0;
}

double
rig_now(void)
{
    return (double)(g_get_monotonic_time() - rig.started_at) / 1e3;
}

void
rig_sleep(double ms)
{
    if (ms > 0) {
        g_usleep((gulong)(ms * 1e3));
    }
}

void
rig_record(const char *format, ...)
{
    va_list ap;

    g_mutex_lock(&rig.record_lock);
    fprintf(rig.record, "%9.1f ms  ", rig_now());
    va_start(ap, format);
    vfprintf(rig.record, format, ap);
    va_end(ap);
    fputc('\n', rig.record);
    fflush(rig.record);
    g_mutex_unlock(&rig.record_lock);
}

static void
end_process(pid_t pid)
{
    int status;

    if (pid > 0) {
        kill(pid, SIGKILL);
        kill(pid, SIGCONT);
        waitpid(pid, &status, 0);
    }
}

static void
remove_dir(void)
{
    GDir *d = g_dir_open(rig.dir, 0, NULL);
    const char *name;

    while (d != NULL && (name = g_dir_read_name(d)) != NULL) {
        g_autofree char *path = g_build_filename(rig.dir, name, NULL);

        unlink(path);
    }
    if (d != NULL) {
        g_dir_close(d);
    }
    rmdir(rig.dir);
}

void
rig_exit(enum rig_result result)
{
    static const char *const texts[] = {"the rule held", "THE RULE IS BROKEN",
                                        "the case could not run"};

    rig.stopping = true;
    for (int i = 0; i < rig.gateways_len; i++) {
        if (rig.gateways[i].started) {
            end_process(rig.gateways[i].pid);
        }
    }
    end_process(rig.store);
    rig_record("end: %s", texts[result]);
    printf("%s\n", texts[result]);
    fflush(NULL);
    if (getenv("KEEP") == NULL) {
        remove_dir();
    }
    _exit(result);
}

static void
on_alarm(int number)
{
    rig_exit(RIG_CANNOT_RUN);
}

static void G_GNUC_PRINTF(1, 2) fail(const char *format, ...)
{
    va_list ap;

    va_start(ap, format);
    vfprintf(stderr, format, ap);
    va_end(ap);
    fputc('\n', stderr);
    rig_exit(RIG_CANNOT_RUN);
}

static struct sockaddr_in
address_of(const char *host, int port)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};

    inet_pton(AF_INET, host, &sa.sin_addr);
    return sa;
}

static int
listen_on(const char *host, int port)
{
    struct sockaddr_in sa = address_of(host, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
        listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int
rig_connect(const char *host, int port, int receive_buffer)
{
    struct sockaddr_in sa = address_of(host, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (receive_buffer > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                   sizeof(receive_buffer));
    }
    if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool
rig_send(int fd, const char *bytes, size_t len)
{
    while (len > 0) {
        ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

        if (n <= 0) {
            return false;
        }
        bytes += n;
        len -= (size_t)n;
    }
    return true;
}

static char *
find_header(const char *head, const char *name)
{
    size_t len = strlen(name);

    for (const char *line = strstr(head, "\r\n"); line != NULL;
         line = strstr(line + 2, "\r\n")) {
        const char *at = line + 2;

        if (g_ascii_strncasecmp(at, name, len) == 0 && at[len] == ':') {
            const char *value = at + len + 1 + strspn(at + len + 1, " ");

            return g_strndup(value, strcspn(value, "\r\n"));
        }
    }
    return NULL;
}

static const char *
find_end_of_head(const GByteArray *in)
{
    return in->len > 0 ? g_strstr_len((const char *)in->data, (gssize)in->len,
                                      "\r\n\r\n")
                       : NULL;
}

/* Reads bytes; returns 0 at the end, -1 for a reset, -2 after the limit. */
static int
read_some(int fd, GByteArray *in, double until, size_t max)
{
    char buffer[65536];
    struct pollfd p = {.fd = fd, .events = POLLIN};
    ssize_t n;

    if (poll(&p, 1, (int)MAX(until - rig_now(), 0)) <= 0) {
        return -2;
    }
    n = recv(fd, buffer, MIN(max, sizeof(buffer)), 0);
    if (n > 0) {
        g_byte_array_append(in, (const guint8 *)buffer, (guint)n);
    }
    return n > 0 ? 1 : n == 0 ? 0 : -1;
}

/*
 * Returns the length of a chunked body at @p, with its framing, or -1 while it
 * is incomplete. Appends the data to @out.
 */
static ssize_t
parse_chunks(const char *p, size_t len, GByteArray *out)
{
    size_t at = 0;

    g_byte_array_set_size(out, 0);
    for (;;) {
        const char *line = g_strstr_len(p + at, (gssize)(len - at), "\r\n");
        size_t size;

        if (line == NULL) {
            return -1;
        }
        size = strtoul(p + at, NULL, 16);
        at = (size_t)(line - p) + 2;
        if (at + size + 2 > len) {
            g_byte_array_append(out, (const guint8 *)p + at,
                                (guint)MIN(size, len - at));
            return -1;
        }
        g_byte_array_append(out, (const guint8 *)p + at, (guint)size);
        at += size + 2;
        if (size == 0) {
            return (ssize_t)at;
        }
    }
}

/* Returns the bytes of a complete answer in @in, or -1. */
static ssize_t
parse_answer(const GByteArray *in, bool ended, struct rig_answer *a)
{
    const char *text = (const char *)in->data;
    const char *end = find_end_of_head(in);
    size_t head_len;
    g_autofree char *length = NULL;
    g_autofree char *coding = NULL;

    if (end == NULL) {
        return -1;
    }
    head_len = (size_t)(end - text) + 4;
    g_free(a->head);
    a->head = g_strndup(text, head_len);
    a->status = atoi(a->head + strlen("HTTP/1.1 "));
    length = find_header(a->head, "content-length");
    coding = find_header(a->head, "transfer-encoding");
    a->framed = length != NULL || coding != NULL;
    if (coding != NULL) {
        ssize_t n = parse_chunks(text + head_len, in->len - head_len, a->body);

        a->complete = n >= 0;
        return n >= 0 ? (ssize_t)head_len + n : -1;
    }
    g_byte_array_set_size(a->body, 0);
    if (length != NULL) {
        size_t want = strtoul(length, NULL, 10);
        size_t have = MIN(want, in->len - head_len);

        g_byte_array_append(a->body, in->data + head_len, (guint)have);
        a->complete = have == want;
        return have == want ? (ssize_t)(head_len + want) : -1;
    }
    /* Without a length, an orderly end of the connection ends the body. */
    g_byte_array_append(a->body, in->data + head_len,
                        (guint)(in->len - head_len));
    a->complete = ended;
    return ended ? (ssize_t)in->len : -1;
}

void
rig_read_answer(int fd, double limit_ms, double pace_ms, size_t pace_bytes,
                GByteArray *carry, struct rig_answer *a)
{
    g_autoptr(GByteArray) own = g_byte_array_new();
    GByteArray *in = carry != NULL ? carry : own;
    double until = rig_now() + limit_ms;
    ssize_t used;
    int got = 1;

    *a = (struct rig_answer){.body = g_byte_array_new()};
    while ((used = parse_answer(in, got == 0, a)) < 0 && got > 0) {
        if (pace_ms > 0 && in->len > 0) {
            rig_sleep(pace_ms);
        }
        got = read_some(fd, in, until, pace_ms > 0 ? pace_bytes : 65536);
        a->closed = got == 0 || got == -1;
        a->reset = got == -1;
    }
    if (used < 0) {
        parse_answer(in, got == 0, a);
    }
    else {
        g_byte_array_remove_range(in, 0, (guint)used);
    }
}

void
rig_answer_clear(struct rig_answer *a)
{
    g_clear_pointer(&a->body, g_byte_array_unref);
    g_clear_pointer(&a->head, g_free);
}

char *
rig_format_request(const char *method, const char *path, const char *id,
                   double deadline_ms, size_t body_len)
{
    g_autofree char *length =
        body_len > 0 ? g_strdup_printf("Content-Length: %zu\r\n", body_len)
                     : g_strdup("");

    return g_strdup_printf("%s %s HTTP/1.1\r\nHost: shop.example\r\n"
                           "Attempt-Id: %s\r\nRequest-Deadline: %.0f\r\n"
                           "%s\r\n",
                           method, path, id, deadline_ms, length);
}

char *
rig_format_answer(const struct rig_instance *inst,
                  const struct rig_request *req, int status, ssize_t len,
                  bool close)
{
    g_autofree char *length =
        len >= 0 ? g_strdup_printf("Content-Length: %zd\r\n", len)
                 : g_strdup("");

    return g_strdup_printf(
        "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\n"
        "Response-Signature: %s.%s\r\nInstance-Load: %d,%d,%d,100\r\n"
        "%s%s\r\n",
        status, req->id, inst->id, req->id, inst->busy, inst->waiting,
        inst->slots, length, close ? "Connection: close\r\n" : "");
}

/* Calls the store; repeats a call that fails, as an operator would. */
static void
call_store(const char *body)
{
    for (int i = 0; i < 100; i++) {
        int fd = rig_connect(rig.store_host, STORE_PORT, 0);
        g_autofree char *text = g_strdup_printf(
            "POST /v1/rows-tx HTTP/1.1\r\nHost: store\r\n"
            "Content-Type: application/json\r\nContent-Length: %zu\r\n"
            "Connection: close\r\n\r\n%s",
            strlen(body), body);
        struct rig_answer a;
        int status = 0;

        if (fd >= 0) {
            if (rig_send(fd, text, strlen(text))) {
                rig_read_answer(fd, 2000, 0, 0, NULL, &a);
                status = a.status;
                rig_answer_clear(&a);
            }
            close(fd);
        }
        if (status == 200) {
            return;
        }
        rig_sleep(100);
    }
    if (!rig.stopping) {
        fail("the store's stand-in does not answer");
    }
}

static void
put_row(const char *table, const char *key, const char *value)
{
    g_autofree char *base64 =
        g_base64_encode((const guchar *)value, strlen(value));
    g_autofree char *body = g_strdup_printf(
        "{\"Expected\":[],\"Put\":[{\"Table\":\"%s\",\"part\":\"\","
        "\"Key\":\"%s\",\"Value\":\"%s\"}],\"Remove\":[]}",
        table, key, base64);

    call_store(body);
}

/* Reports an instance to the store every HEARTBEAT_MS. */
static gpointer
beat_thread(gpointer data)
{
    struct rig_instance *inst = data;

    for (int sequence = 1; !rig.stopping; sequence++) {
        g_autofree char *value = g_strdup_printf(
            "{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"%s\","
            "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"ready\","
            "\"ColdLeftMs\":0,\"Sequence\":%d,\"born\":1700000000000}",
            inst->service, inst->host, inst->reported_port, inst->zone,
            inst->slots, sequence);

        put_row("servers", inst->id, value);
        rig_sleep(HEARTBEAT_MS);
    }
    return NULL;
}

/* Reads the rest of a request's body; returns false if it does not come. */
static bool
read_body(int fd, GByteArray *in, size_t head_len, struct rig_request *req)
{
    g_autofree char *length = find_header(req->head, "content-length");

    req->body_len = length != NULL ? strtoul(length, NULL, 10) : 0;
    while (in->len < head_len + req->body_len) {
        if (read_some(fd, in, rig_now() + 10000, 65536) <= 0) {
            return false;
        }
    }
    g_byte_array_remove_range(in, 0, (guint)(head_len + req->body_len));
    return true;
}

static bool
read_request(int fd, GByteArray *in, struct rig_request *req)
{
    const char *end;
    g_autofree char *id = NULL;
    g_autofree char *deadline = NULL;
    size_t head_len;

    while ((end = find_end_of_head(in)) == NULL) {
        if (read_some(fd, in, rig_now() + 10000, 65536) <= 0) {
            return false;
        }
    }
    head_len = (size_t)(end - (const char *)in->data) + 4;
    req->head = g_strndup((const char *)in->data, head_len);
    sscanf(req->head, "%15s %255s", req->method, req->path);
    id = find_header(req->head, "attempt-id");
    deadline = find_header(req->head, "request-deadline");
    g_strlcpy(req->id, id != NULL ? id : "", sizeof(req->id));
    req->deadline_ms = deadline != NULL ? g_ascii_strtod(deadline, NULL) : -1;
    return read_body(fd, in, head_len, req);
}

static bool
refuse(struct rig_instance *inst, int fd, int status)
{
    g_autofree char *text = g_strdup_printf(
        "HTTP/1.1 %d X\r\nNot-Executed: 1\r\nInstance-Id: %s\r\n"
        "Instance-Load: %d,%d,%d,100\r\nContent-Length: 0\r\n\r\n",
        status, inst->id, inst->busy, inst->waiting, inst->slots);

    return rig_send(fd, text, strlen(text));
}

static bool
send_health(struct rig_instance *inst, int fd)
{
    g_autofree char *text = g_strdup_printf(
        "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
        "Instance-Load: %d,%d,%d,100\r\nContent-Length: 0\r\n\r\n",
        inst->id, inst->busy, inst->waiting, inst->slots);

    return rig_send(fd, text, strlen(text));
}

static bool
run_in_slot(struct rig_instance *inst, const struct rig_request *req, int fd)
{
    bool keep;

    g_mutex_lock(&inst->lock);
    if (inst->busy >= inst->slots && inst->waiting >= QUEUE) {
        g_mutex_unlock(&inst->lock);
        return refuse(inst, fd, 503);
    }
    inst->waiting++;
    while (inst->busy >= inst->slots) {
        g_cond_wait(&inst->freed, &inst->lock);
    }
    inst->waiting--;
    inst->busy++;
    g_mutex_unlock(&inst->lock);
    rig_record("instance %s runs %s %s %s", inst->id, req->method, req->path,
               req->id);
    keep = inst->run(inst, req, fd);
    g_mutex_lock(&inst->lock);
    inst->busy--;
    g_cond_signal(&inst->freed);
    g_mutex_unlock(&inst->lock);
    return keep;
}

static bool
serve_request(struct rig_instance *inst, const struct rig_request *req, int fd)
{
    g_autofree char *meant = find_header(req->head, "expected-instance");

    if (strcmp(req->path, "/health") == 0) {
        return send_health(inst, fd);
    }
    if (meant != NULL && strcmp(meant, inst->id) != 0) {
        return refuse(inst, fd, 421);
    }
    if (*req->id == '\0') {
        return refuse(inst, fd, 400);
    }
    return run_in_slot(inst, req, fd);
}

struct conn {
    struct rig_instance *inst;
    int fd;
};

static gpointer
conn_thread(gpointer data)
{
    struct conn *c = data;
    g_autoptr(GByteArray) in = g_byte_array_new();
    bool keep = true;

    while (keep) {
        struct rig_request req = {0};

        keep = read_request(c->fd, in, &req) &&
               serve_request(c->inst, &req, c->fd);
        g_free(req.head);
    }
    close(c->fd);
    g_free(c);
    return NULL;
}

struct acceptor {
    struct rig_instance *inst;
    int fd;
};

static gpointer
accept_thread(gpointer data)
{
    struct acceptor *a = data;

    for (;;) {
        int fd = accept4(a->fd, NULL, NULL, SOCK_CLOEXEC);
        struct conn *c;

        if (fd < 0) {
            continue;
        }
        c = g_new0(struct conn, 1);
        c->inst = a->inst;
        c->fd = fd;
        g_thread_unref(g_thread_new("conn", conn_thread, c));
    }
    return NULL;
}

/* A listener between the gateways and an instance. */
struct relay {
    struct rig_instance *inst;
    int fd;
    size_t cut_from;
    rig_cut_fn cut;
};

/* A relayed connection; freed by the second of its threads that ends. */
struct relayed {
    struct relay *relay;
    int gateway_fd;
    int instance_fd;
    gint users;
};

static void
relayed_unref(struct relayed *c)
{
    if (g_atomic_int_dec_and_test(&c->users)) {
        close(c->gateway_fd);
        close(c->instance_fd);
        g_free(c);
    }
}

static gpointer
relay_requests_thread(gpointer data)
{
    struct relayed *c = data;
    char buffer[65536];
    ssize_t n;

    while ((n = recv(c->gateway_fd, buffer, sizeof(buffer), 0)) > 0 &&
           rig_send(c->instance_fd, buffer, (size_t)n)) {
    }
    shutdown(c->instance_fd, SHUT_WR);
    relayed_unref(c);
    return NULL;
}

/* Resets a connection although another thread may still read from it. */
static void
reset_connection(int fd)
{
    struct linger at_once = {.l_onoff = 1};
    struct sockaddr unspec = {.sa_family = AF_UNSPEC};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    connect(fd, &unspec, sizeof(unspec));
}

static gpointer
relay_answers_thread(gpointer data)
{
    struct relayed *c = data;
    const struct relay *relay = c->relay;
    char buffer[65536];
    size_t passed = 0;
    size_t limit = relay->cut_from; /* where to ask, then where to cut */
    bool asked = false;
    ssize_t n;

    while ((n = recv(c->instance_fd, buffer,
                     limit > 0 ? MIN(limit - passed, sizeof(buffer))
                               : sizeof(buffer),
                     0)) > 0 &&
           rig_send(c->gateway_fd, buffer, (size_t)n)) {
        passed += (size_t)n;
        if (limit > 0 && passed == limit && !asked) {
            asked = true;
            limit = relay->cut();
        }
        if (limit > 0 && asked && passed >= limit) {
            reset_connection(c->gateway_fd);
            rig_record("the relay resets a connection to %s after %zu bytes",
                       relay->inst->id, passed);
            break;
        }
    }
    shutdown(c->gateway_fd, SHUT_RDWR);
    shutdown(c->instance_fd, SHUT_RD);
    relayed_unref(c);
    return NULL;
}

static gpointer
relay_thread(gpointer data)
{
    struct relay *relay = data;

    for (;;) {
        int fd = accept4(relay->fd, NULL, NULL, SOCK_CLOEXEC);
        struct relayed *c;

        if (fd < 0) {
            continue;
        }
        c = g_new0(struct relayed, 1);
        c->relay = relay;
        c->gateway_fd = fd;
        c->instance_fd = rig_connect(relay->inst->host, relay->inst->port, 0);
        c->users = 2;
        g_thread_unref(g_thread_new("requests", relay_requests_thread, c));
        g_thread_unref(g_thread_new("answers", relay_answers_thread, c));
    }
    return NULL;
}

static struct rig_instance *
add_instance(const char *service, int zone, int slots, rig_run_fn run,
             void *data, struct relay *relay)
{
    struct rig_instance *inst = g_new0(struct rig_instance, 1);
    struct acceptor *a = g_new0(struct acceptor, 1);
    bool known = false;

    for (guint i = 0; i < rig.instances->len; i++) {
        const struct rig_instance *other = g_ptr_array_index(rig.instances, i);

        known = known || strcmp(other->service, service) == 0;
    }
    inst->port = FIRST_INSTANCE_PORT + (int)rig.instances->len;
    g_strlcpy(inst->host, rig.instance_host, sizeof(inst->host));
    g_snprintf(inst->id, sizeof(inst->id), "i-%04d", inst->port);
    g_strlcpy(inst->service, service, sizeof(inst->service));
    g_snprintf(inst->zone, sizeof(inst->zone), "zone-%c", 'a' + zone);
    inst->slots = slots;
    inst->run = run;
    inst->data = data;
    a->inst = inst;
    a->fd = listen_on(inst->host, inst->port);
    if (a->fd < 0) {
        fail("instance cannot listen on %s:%d", inst->host, inst->port);
    }
    inst->reported_port = inst->port;
    if (relay != NULL) {
        inst->reported_port += RELAY_PORT_OFFSET;
        relay->inst = inst;
        relay->fd = listen_on(inst->host, inst->reported_port);
        if (relay->fd < 0) {
            fail("relay cannot listen on %s:%d", inst->host,
                 inst->reported_port);
        }
        g_thread_unref(g_thread_new("relay", relay_thread, relay));
    }
    g_ptr_array_add(rig.instances, inst);
    if (!known) {
        g_string_append_printf(
            rig.clusters,
            "%s{\"Name\":\"%s\",\"HealthPath\":\"/health\","
            "\"MaxConns\":220,\"Protocol\":\"h1\",\"Tls\":false,"
            "\"ColdStartS\":3.0,\"ColdPerS\":3.4}",
            rig.clusters->len > 0 ? "," : "", service);
    }
    g_thread_unref(g_thread_new("accept", accept_thread, a));
    g_thread_unref(g_thread_new("beat", beat_thread, inst));
    return inst;
}

struct rig_instance *
rig_add_instance(const char *service, int zone, int slots, rig_run_fn run,
                 void *data)
{
    return add_instance(service, zone, slots, run, data, NULL);
}

struct rig_instance *
rig_add_relayed_instance(const char *service, int zone, int slots,
                         rig_run_fn run, void *data, size_t cut_from,
                         rig_cut_fn cut)
{
    struct relay *relay = g_new0(struct relay, 1);

    relay->cut_from = cut_from;
    relay->cut = cut;
    return add_instance(service, zone, slots, run, data, relay);
}

void
rig_add_route(const char *prefix, const char *type, const char *service,
              double target_ms, double timeout_ms)
{
    g_autofree char *timeout =
        timeout_ms > 0 ? g_strdup_printf("\"TimeoutMs\":%.0f,", timeout_ms)
                       : g_strdup("");

    g_string_append_printf(
        rig.rules,
        "%s{\"Name\":\"r-%s\",\"RouteType\":\"%s\",\"TargetLatencyMs\":%.0f,"
        "\"Priority\":1,\"Match\":{\"Prefix\":\"%s\"},"
        "\"Action\":{\"Service\":\"%s\",%s\"MaxAttempts\":2}}",
        rig.rules->len > 0 ? "," : "", service, type, target_ms, prefix,
        service, timeout);
}

/* Runs in the child: no process outlives the case's program. */
static void
exec_child(char *const *argv, char *const *envp, const char *log)
{
    g_autofree char *path = g_build_filename(rig.dir, log, NULL);
    int fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);

    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execve(argv[0], argv, envp);
    _exit(127);
}

static pid_t
spawn(char *const *argv, char *const *envp, const char *log)
{
    pid_t pid = fork();

    if (pid == 0) {
        exec_child(argv, envp, log);
    }
    if (pid < 0) {
        fail("cannot start %s", argv[0]);
    }
    return pid;
}

void
rig_start_gateway(int index)
{
    struct gateway *g = &rig.gateways[index];
    g_autofree char *path =
        g_strdup_printf("%s/front-%d.json", rig.dir, index);
    g_autofree char *variable =
        g_strdup_printf("GREENGAGEWAY_SETTINGS=%s", path);
    g_autofree char *log = g_strdup_printf("front-%d.log", index);
    const char *h = g->host;
    g_autofree char *text = g_strdup_printf(
        settings_format, index, h, 'a' + index % 3,
        rig.bootstrap ? "true" : "false", PEER_PORT, PEER_PORT + 15, rig.net,
        CONTROL_PORT, rig.net, CONTROL_PORT, rig.net, CONTROL_PORT, h,
        RIG_FRONT_PORT, h, RIG_READY_PORT, h, CONTROL_PORT, h,
        RIG_DIRECTORY_PORT, rig.store_host, STORE_PORT);
    char *argv[] = {(char *)"target/greengageway", (char *)"node", NULL};
    char *envp[] = {variable, NULL};

    if (!g_file_set_contents(path, text, -1, NULL)) {
        fail("cannot write %s", path);
    }
    g->pid = spawn(argv, envp, log);
    g->started = true;
    rig_record("gateway %d starts", index);
}

const char *
rig_gateway_host(int index)
{
    return rig.gateways[index].host;
}

pid_t
rig_pid(int index)
{
    return rig.gateways[index].pid;
}

void
rig_signal(int index, int number)
{
    rig_record("gateway %d gets %s", index, strsignal(number));
    kill(rig.gateways[index].pid, number);
}

bool
rig_ended(int index, int *status)
{
    struct gateway *g = &rig.gateways[index];

    if (!g->started || waitpid(g->pid, status, WNOHANG) <= 0) {
        return !g->started;
    }
    g->started = false;
    rig_record("gateway %d has ended: %s %d", index,
               WIFEXITED(*status) ? "exit code" : "signal",
               WIFEXITED(*status) ? WEXITSTATUS(*status) : WTERMSIG(*status));
    return true;
}

double
rig_memory_mb(int index)
{
    g_autofree char *path =
        g_strdup_printf("/proc/%d/statm", (int)rig.gateways[index].pid);
    g_autofree char *text = NULL;
    long total, resident;

    if (!rig.gateways[index].started ||
        !g_file_get_contents(path, &text, NULL, NULL) ||
        sscanf(text, "%ld %ld", &total, &resident) != 2) {
        return 0;
    }
    return (double)resident * (double)sysconf(_SC_PAGESIZE) / 1048576;
}

/* GET of one of a gateway's own pages. Returns the status, 0 for none. */
static int
get_page(const char *host, int port, const char *path, char **body)
{
    int fd = rig_connect(host, port, 0);
    g_autofree char *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: %s\r\n"
                                            "Connection: close\r\n\r\n",
                                            path, host);
    struct rig_answer a;
    int status = 0;

    if (fd < 0) {
        return 0;
    }
    if (rig_send(fd, text, strlen(text))) {
        rig_read_answer(fd, 1000, 0, 0, NULL, &a);
        status = a.status;
        if (body != NULL) {
            *body = g_strndup((const char *)a.body->data, a.body->len);
        }
        rig_answer_clear(&a);
    }
    close(fd);
    return status;
}

void
rig_wait_ready(int index, double limit_ms)
{
    double until = rig_now() + limit_ms;

    while (get_page(rig.gateways[index].host, RIG_READY_PORT, "/v1/readiness",
                    NULL) != 200) {
        if (rig_now() > until) {
            fail("gateway %d does not become ready", index);
        }
        rig_sleep(50);
    }
    rig_record("gateway %d is ready", index);
}

bool
rig_directory_names(int asked, int index)
{
    g_autofree char *body = NULL;
    g_autofree char *address =
        g_strdup_printf("\"%s:%d\"", rig.gateways[index].host, RIG_FRONT_PORT);

    return get_page(rig.gateways[asked].host, RIG_DIRECTORY_PORT,
                    "/v1/resolve?Name=shop.example&Region=area&Zone=zone-a",
                    &body) == 200 &&
           strstr(body, address) != NULL;
}

/* Chooses addresses in 127/8 that no other run uses. */
static void
choose_net(void)
{
    for (int i = 0; i < 200; i++) {
        int a = g_random_int_range(130, 250);
        int b = g_random_int_range(1, 250);
        int fd;

        g_snprintf(rig.net, sizeof(rig.net), "127.%d.%d", a, b);
        g_snprintf(rig.store_host, sizeof(rig.store_host), "%s.200", rig.net);
        g_snprintf(rig.instance_host, sizeof(rig.instance_host), "%s.100",
                   rig.net);
        fd = listen_on(rig.store_host, STORE_PORT);
        if (fd >= 0) {
            close(fd);
            return;
        }
    }
    fail("no loopback addresses are free");
}

void
rig_open(int gateways, double timeout_ms)
{
    const char *record = getenv("RECORD");
    g_autofree char *listen = NULL;
    char *argv[] = {(char *)"review/build/standins/platform",
                    (char *)"--listen", NULL, NULL};
    char *envp[] = {NULL};

    rig.started_at = g_get_monotonic_time();
    rig.record = fopen(record != NULL ? record : "/dev/null", "w");
    if (rig.record == NULL) {
        exit(RIG_CANNOT_RUN);
    }
    rig_record("TROUBLE=%d", rig_trouble());
    signal(SIGPIPE, SIG_IGN);
    signal(SIGALRM, on_alarm);
    alarm(timeout_ms > 0 ? (unsigned)(timeout_ms / 1e3) : MAX_RUN_S);
    g_strlcpy(rig.dir, "/tmp/review-XXXXXX", sizeof(rig.dir));
    if (mkdtemp(rig.dir) == NULL || access(argv[0], X_OK) != 0 ||
        access("target/greengageway", X_OK) != 0) {
        fail("a program is missing: build with the deploy file's command and "
             "review/build.sh");
    }
    rig.instances = g_ptr_array_new();
    rig.rules = g_string_new(NULL);
    rig.clusters = g_string_new(NULL);
    rig.bootstrap = true;
    choose_net();
    listen = g_strdup_printf("%s:%d", rig.store_host, STORE_PORT);
    argv[2] = listen;
    rig.store = spawn(argv, envp, "store.log");
    rig.gateways_len = gateways;
    for (int i = 0; i < gateways; i++) {
        g_snprintf(rig.gateways[i].host, sizeof(rig.gateways[i].host), "%s.%d",
                   rig.net, i + 1);
    }
}

void
rig_start(void)
{
    g_autofree char *config = g_strdup_printf(
        "{\"Version\":\"00000007\",\"Limits\":{\"MaxHeaderBytes\":16384,"
        "\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,"
        "\"IdleTimeoutMs\":15000},\"Listeners\":[{\"Host\":\"shop.example\","
        "\"Rules\":[%s]}],\"Clusters\":[%s]}",
        rig.rules->str, rig.clusters->str);

    rig_record("configuration: %s", config);
    put_row("op", "config", config);
    for (int i = 0; i < rig.gateways_len; i++) {
        rig_start_gateway(i);
    }
    for (int i = 0; i < rig.gateways_len; i++) {
        rig_wait_ready(i, READY_MS);
    }
    rig.bootstrap = false;
    rig_sleep(3000); /* calm before the first request */
}
