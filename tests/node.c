#include "tests/node.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "platform/txn.h"
#include "tests/client.h"

#define KIB 1024.0

/* Interval of the entries of the backend server in the store, ms. */
#define BEAT_MS 500

/* Longest wait for the first response of the node, ms. */
#define START_LIMIT_MS 30000

/* Longest head of a request that the backend server reads, bytes. */
#define HEAD_MAX 32768

/* State of a listening socket in /proc/net/tcp. */
#define TCP_LISTENING 0x0a

static const char settings_format[] =
    "{\"NodeName\":\"front-a-1\",\"Zone\":\"a\",\"Ip\":\"%s\","
    "\"InternalPorts\":[7720,7735],\"Seeds\":[\"%s:8286\"],"
    "\"Listen\":{\"Front\":\"%s:8280\",\"Ready\":\"%s:8284\","
    "\"Control\":\"%s:8286\",\"Directory\":\"%s:8283\"},"
    "\"Limits\":{\"CpuShare\":0.5,\"Cores\":1,\"MemoryMb\":%d,"
    "\"MaxFds\":%d,\"LinkMbps\":200.0,\"DiskMb\":0},"
    "\"Platform\":{\"Address\":\"127.0.0.1:%u\"},\"Bounds\":{\"GraceS\":6,"
    "\"RetryRatio\":0.2,\"RetryWindowS\":10,\"RetrySlack\":216,"
    "\"ttl_max_s\":5,\"ProbesPerS\":60}}\n";

static const char config_format[] =
    "{\"Version\":\"00000007\",\"Limits\":{\"MaxHeaderBytes\":16384,"
    "\"MaxBodyBytes\":%d,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
    "\"Listeners\":[{\"Host\":\"" NODE_HOST "\",\"Rules\":["
    "{\"Name\":\"read\",\"RouteType\":\"idempotent\",\"Priority\":0,"
    "\"TargetLatencyMs\":500,\"Match\":{\"Prefix\":\"" NODE_PATH "\"},"
    "\"Action\":{\"Service\":\"s\",\"TimeoutMs\":8000,\"MaxAttempts\":2}}]}],"
    "\"Clusters\":[{\"Name\":\"s\",\"HealthPath\":\"/health\","
    "\"MaxConns\":1000,\"ColdStartS\":1,\"ColdPerS\":100}]}";

/* Runs in the child before exec: no process outlives the test. */
static void
kill_with_parent(void *data)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void
node_write_row(const struct node *n, const char *key, const char *value)
{
    struct ggw_txn *txn = ggw_txn_new(0);
    g_autofree char *body = NULL;

    ggw_txn_put(txn, key, value);
    body = ggw_txn_encode(txn);
    g_free(http_exchange(n->platform.port, "POST", "/v1/rows-tx", body));
    txn->base.ops->destroy(&txn->base);
}

void
node_remove_row(const struct node *n, const char *table, const char *key)
{
    g_autofree char *body =
        g_strdup_printf("{\"Expected\":[],\"Put\":[],\"Remove\":[{\"Table\":"
                        "\"%s\",\"part\":\"\",\"Key\":\"%s\"}]}",
                        table, key);

    g_free(http_exchange(n->platform.port, "POST", "/v1/rows-tx", body));
}

static void *
beat(void *data)
{
    struct node *n = data;

    for (int i = 1; !g_atomic_int_get(&n->ended); i++) {
        g_autofree char *text = g_strdup_printf(
            "{\"Service\":\"s\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"a\","
            "\"Version\":\"v1\",\"Slots\":64,\"State\":\"ready\","
            "\"ColdLeftMs\":0,\"Sequence\":%d}",
            n->backend_port, i);

        if (!g_atomic_int_get(&n->quiet)) {
            node_write_row(n, "servers/" NODE_SERVER, text);
        }
        g_usleep(BEAT_MS * 1000);
    }
    return NULL;
}

/* Reads a head into @head; returns the number of body bytes behind it in
 * @head, or -1 at the end of the connection. */
static ssize_t
read_head(int fd, char *head, size_t *head_len)
{
    size_t len = 0;

    while (len < HEAD_MAX - 1) {
        ssize_t r = read(fd, head + len, HEAD_MAX - 1 - len);
        char *end;

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

static char *
header_of(const char *head, const char *name)
{
    g_autofree char *key = g_strdup_printf("\r\n%s:", name);
    g_autofree char *lower = g_ascii_strdown(head, -1);
    const char *at = strstr(lower, key);
    const char *value;

    if (at == NULL) {
        return NULL;
    }
    value = head + (at - lower) + strlen(key);
    return g_strstrip(g_strndup(value, strcspn(value, "\r")));
}

static bool
write_all(int fd, const char *bytes, size_t len)
{
    while (len > 0) {
        ssize_t w = write(fd, bytes, len);

        if (w <= 0) {
            return false;
        }
        bytes += w;
        len -= (size_t)w;
    }
    return true;
}

/* Responds with as many bytes as the last part of the path states. */
static bool
respond(int fd, const char *head)
{
    g_autofree char *id = header_of(head, "attempt-id");
    g_auto(GStrv) words = g_strsplit(head, " ", 3);
    size_t len = strtoul(strrchr(words[1], '/') + 1, NULL, 10);
    g_autofree char *line = g_strdup_printf(
        "HTTP/1.1 200 OK\r\n%s%s%sInstance-Id: i-1\r\n"
        "Response-Signature: i-1.%s.%zu\r\nContent-Length: %zu\r\n\r\n",
        id != NULL ? "Attempt-Id: " : "", id != NULL ? id : "",
        id != NULL ? "\r\n" : "", id != NULL ? id : "", len, len);
    g_autofree char *body = g_strnfill(len, 'b');

    return write_all(fd, line, strlen(line)) && write_all(fd, body, len);
}

/* One connection to the backend server; the gateway sends a length. */
static void *
serve(void *data)
{
    int fd = GPOINTER_TO_INT(data);
    char head[HEAD_MAX];
    char rest[16384];
    size_t head_len;
    ssize_t behind;

    while ((behind = read_head(fd, head, &head_len)) >= 0) {
        g_autofree char *text = NULL;
        size_t left;

        head[head_len] = '\0';
        text = header_of(head, "content-length");
        left = text != NULL ? strtoul(text, NULL, 10) : 0;
        left -= MIN(left, (size_t)behind);
        while (left > 0) {
            ssize_t r = read(fd, rest, MIN(left, sizeof(rest)));

            if (r <= 0) {
                break;
            }
            left -= (size_t)r;
        }
        if (left > 0 || !respond(fd, head)) {
            break;
        }
    }
    close(fd);
    return NULL;
}

static void *
accept_all(void *data)
{
    struct node *n = data;

    for (;;) {
        int fd = accept4(n->backend_fd, NULL, NULL, SOCK_CLOEXEC);
        pthread_t thread;

        if (fd < 0) {
            return NULL;
        }
        if (pthread_create(&thread, NULL, serve, GINT_TO_POINTER(fd)) != 0) {
            close(fd);
            continue;
        }
        pthread_detach(thread);
    }
}

static void
start_backend(struct node *n)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(sa);

    n->backend_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(n->backend_fd, (struct sockaddr *)&sa, len) != 0 ||
        listen(n->backend_fd, 128) != 0 ||
        getsockname(n->backend_fd, (struct sockaddr *)&sa, &len) != 0) {
        g_error("cannot start the backend server");
    }
    n->backend_port = ntohs(sa.sin_port);
    pthread_create(&n->backend_thread, NULL, accept_all, n);
}

static void
start_process(struct node *n)
{
    const char *build = g_getenv("GGW_BUILD");
    g_autofree char *path = g_strdup_printf(
        "%s/greengageway", build != NULL ? build : "build/asan");
    char *argv[] = {path,        (char *)"node",        (char *)"--settings",
                    n->settings, (char *)"--log-level", (char *)"warn",
                    NULL};
    g_autoptr(GError) error = NULL;
    g_auto(GStrv) env = g_get_environ();
    const char *asan = g_environ_getenv(env, "ASAN_OPTIONS");
    g_autofree char *options =
        g_strconcat(asan != NULL ? asan : "", asan != NULL ? ":" : "",
                    "quarantine_size_mb=8", NULL);

    /* Memory that a sanitizer keeps back after it is freed is not counted. */
    env = g_environ_setenv(env, "ASAN_OPTIONS", options, TRUE);
    if (!g_spawn_async(NULL, argv, env, G_SPAWN_DO_NOT_REAP_CHILD,
                       kill_with_parent, NULL, &n->pid, &error)) {
        g_error("%s", error->message);
    }
}

static void
write_settings(struct node *n)
{
    const char *h = n->host;
    g_autofree char *text =
        g_strdup_printf(settings_format, h, h, h, h, h, h, n->options.memory,
                        n->options.descriptors, n->platform.port);
    int fd = g_file_open_tmp("ggw-node-XXXXXX.json", &n->settings, NULL);

    if (fd < 0 || !write_all(fd, text, strlen(text))) {
        g_error("cannot write the settings file");
    }
    close(fd);
}

void
node_end_reports(struct node *n)
{
    g_atomic_int_set(&n->quiet, 1);
    g_usleep(BEAT_MS * 1000); /* a report may be on its way */
}

static bool
answers(void *data)
{
    return node_answers(data);
}

struct node *
node_start(const struct node_options *options)
{
    static int started;
    struct node *n = g_new0(struct node, 1);
    g_autofree char *config =
        g_strdup_printf(config_format, options->body_max);

    n->options = *options;
    n->host = g_strdup_printf("127.%d.%d.%d", 1 + getpid() / 250 % 250,
                              1 + getpid() % 250, 1 + started++);
    n->front = g_strconcat(n->host, ":8280", NULL);
    n->directory = g_strconcat(n->host, ":8283", NULL);
    n->ready = g_strconcat(n->host, ":8284", NULL);
    n->control = g_strconcat(n->host, ":8286", NULL);
    n->peers = g_strconcat(n->host, ":7720", NULL);
    platform_process_start(&n->platform, NULL);
    start_backend(n);
    write_settings(n);
    node_write_row(n, "op/config", config);
    pthread_create(&n->beat_thread, NULL, beat, n);
    start_process(n);
    if (!client_await(answers, n, START_LIMIT_MS)) {
        g_error("no response of the node");
    }
    return n;
}

bool
node_lives(const struct node *n)
{
    siginfo_t info = {.si_pid = 0};

    return waitid(P_PID, (id_t)n->pid, &info, WEXITED | WNOHANG | WNOWAIT) ==
               0 &&
           info.si_pid == 0;
}

bool
node_stop(struct node *n)
{
    bool lived = node_lives(n);
    int status;

    kill(n->pid, SIGTERM);
    waitpid(n->pid, &status, 0);
    g_atomic_int_set(&n->ended, 1);
    pthread_join(n->beat_thread, NULL);
    shutdown(n->backend_fd, SHUT_RDWR);
    pthread_join(n->backend_thread, NULL);
    close(n->backend_fd);
    lived = platform_process_stop(&n->platform) == 0 && lived;
    lived = lived && WIFEXITED(status) && WEXITSTATUS(status) == 0;
    g_unlink(n->settings);
    g_free(n->settings);
    g_free(n->host);
    g_free(n->front);
    g_free(n->directory);
    g_free(n->ready);
    g_free(n->control);
    g_free(n->peers);
    g_free(n);
    return lived;
}

static double
status_bytes(const struct node *n, const char *field)
{
    g_autofree char *path = g_strdup_printf("/proc/%d/status", n->pid);
    g_autofree char *text = NULL;
    const char *line;

    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return 0;
    }
    line = strstr(text, field);
    return line != NULL ? g_ascii_strtod(line + strlen(field), NULL) * KIB : 0;
}

double
node_resident(const struct node *n)
{
    return status_bytes(n, "VmRSS:");
}

double
node_resident_peak(const struct node *n)
{
    return status_bytes(n, "VmHWM:");
}

/*
 * Bytes that the node's system has received and the node has not yet read, at
 * its addresses and from the backend server.
 */
static double
unread_bytes(const struct node *n)
{
    struct in_addr address;
    FILE *file = fopen("/proc/net/tcp", "r");
    char line[256];
    double sum = 0;

    inet_pton(AF_INET, n->host, &address);
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        unsigned local, remote_port, state;
        unsigned long received;

        if (sscanf(line, " %*d: %x:%*x %*x:%x %x %*x:%lx", &local,
                   &remote_port, &state, &received) == 4 &&
            (local == address.s_addr || remote_port == n->backend_port) &&
            state != TCP_LISTENING) {
            sum += (double)received;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return sum;
}

static int
count_descriptors(const struct node *n)
{
    g_autofree char *path = g_strdup_printf("/proc/%d/fd", n->pid);
    GDir *dir = g_dir_open(path, 0, NULL);
    int count = 0;

    while (dir != NULL && g_dir_read_name(dir) != NULL) {
        count++;
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    return count;
}

void
node_sample(struct node *n)
{
    n->peak_bytes = MAX(n->peak_bytes, node_resident(n) + unread_bytes(n));
    n->peak_descriptors = MAX(n->peak_descriptors, count_descriptors(n));
}

/* Sends one request on a connection of its own. */
static struct reply *
request(const struct node *n, const char *method, const char *path,
        const char *headers, const char *body)
{
    g_autoptr(GString) text = g_string_new(NULL);

    g_string_append_printf(text,
                           "%s %s10 HTTP/1.1\r\nHost: " NODE_HOST
                           "\r\nAttempt-Id: a1\r\nRequest-Deadline: 8000\r\n"
                           "Connection: close\r\n%s\r\n%s",
                           method, path, headers, body);
    return client_raw(n->front, text->str, text->len);
}

bool
node_answers(struct node *n)
{
    struct reply *r = request(n, "GET", NODE_PATH, "", "");
    bool ok = r->status == 200 && r->complete && r->body->len == 10;

    reply_free(r);
    return ok;
}

int
node_get(const struct node *n, const char *path)
{
    struct reply *r = request(n, "GET", path, "", "");
    int status = r->complete ? r->status : 0;

    reply_free(r);
    return status;
}

int
node_post(struct node *n, size_t len)
{
    g_autofree char *headers = g_strdup_printf("Content-Length: %zu\r\n", len);
    g_autofree char *body = g_strnfill(len, 'x');
    struct reply *r = request(n, "POST", NODE_PATH, headers, body);
    int status = r->complete ? r->status : 0;

    reply_free(r);
    return status;
}
