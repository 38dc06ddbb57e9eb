#include "rig.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "store.h"

/* Time until the store and the gateways have to be ready, ms. */
#define START_LIMIT_MS 20000

/* Time for the processes to end, ms. */
#define END_LIMIT_MS 8000

/* Program of the deploy file and the project's own stand-in. */
#define GATEWAY "target/greengageway"
#define STORE "build/release/standins/platform"

struct rig rig;

static FILE *record;
static double started_at;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

double
rig_now(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return 1e3 * (double)t.tv_sec + (double)t.tv_nsec / 1e6;
}

void
rig_sleep(double ms)
{
    struct timespec t = {(time_t)(ms / 1e3),
                         (long)(1e6 * (ms - 1e3 * (double)(long)(ms / 1e3)))};

    if (ms > 0) {
        nanosleep(&t, NULL);
    }
}

static void
write_record(const char *format, va_list args)
{
    pthread_mutex_lock(&record_lock);
    if (record != NULL) {
        fprintf(record, "%9.3f  ", (rig_now() - started_at) / 1e3);
        vfprintf(record, format, args);
        fputc('\n', record);
        fflush(record);
    }
    pthread_mutex_unlock(&record_lock);
}

void
rig_record(const char *format, ...)
{
    va_list args;

    va_start(args, format);
    write_record(format, args);
    va_end(args);
}

/* Ends a process that this case has started. */
static void
stop(pid_t pid, double until)
{
    if (pid <= 0) {
        return;
    }
    while (waitpid(pid, NULL, WNOHANG) == 0) {
        if (rig_now() > until) {
            kill(pid, SIGKILL);
            waitpid(pid, NULL, 0);
            return;
        }
        rig_sleep(10);
    }
}

static void
remove_folder(void)
{
    DIR *d = opendir(rig.dir);
    struct dirent *e;

    while (d != NULL && (e = readdir(d)) != NULL) {
        char path[600];

        snprintf(path, sizeof(path), "%s/%s", rig.dir, e->d_name);
        unlink(path);
    }
    if (d != NULL) {
        closedir(d);
        rmdir(rig.dir);
    }
}

void
rig_end(int status)
{
    double until = rig_now() + END_LIMIT_MS;

    for (int i = 0; i < RIG_GATEWAYS; i++) {
        if (rig.gateways[i] > 0) {
            kill(rig.gateways[i], SIGCONT);
            kill(rig.gateways[i], SIGTERM);
        }
    }
    for (int i = 0; i < RIG_GATEWAYS; i++) {
        stop(rig.gateways[i], until);
    }
    if (rig.store > 0) {
        kill(rig.store, SIGTERM);
    }
    stop(rig.store, until);
    if (getenv("RIG_KEEP") == NULL && *rig.dir != '\0') {
        remove_folder();
    }
    rig_record("ends with exit status %d", status);
    _exit(status);
}

void
rig_fail(const char *format, ...)
{
    va_list args;

    va_start(args, format);
    write_record(format, args);
    va_end(args);
    va_start(args, format);
    vfprintf(stderr, format, args);
    va_end(args);
    fputc('\n', stderr);
    rig_end(2);
}

static void
set_address(struct sockaddr_in *sa, const char *host, int port)
{
    memset(sa, 0, sizeof(*sa));
    sa->sin_family = AF_INET;
    sa->sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, host, &sa->sin_addr);
}

static void
reserve_prefix(void)
{
    rig.prefix_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    for (int i = 0; i < 100; i++) {
        int n = 130 + (getpid() + i) % 100;
        struct sockaddr_in sa;
        char host[64];

        snprintf(rig.prefix, sizeof(rig.prefix), "127.%d", n);
        snprintf(host, sizeof(host), "%s.9.9", rig.prefix);
        set_address(&sa, host, RIG_CONTROL);
        if (bind(rig.prefix_socket, (struct sockaddr *)&sa, sizeof(sa)) == 0) {
            return;
        }
    }
    rig_fail("no free prefix of loopback addresses");
}

static pid_t
spawn(char *const *argv, char *const *envp, const char *log)
{
    char path[600];
    pid_t pid = fork();

    if (pid != 0) {
        return pid;
    }
    snprintf(path, sizeof(path), "%s/%s", rig.dir, log);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644), 1);
    dup2(1, 2);
    execve(argv[0], argv, envp);
    _exit(127);
}

int
rig_connect(const char *host, int port, double ms)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    struct pollfd p = {.fd = fd, .events = POLLOUT};
    struct sockaddr_in sa;
    int error = 0;
    socklen_t len = sizeof(error);

    set_address(&sa, host, port);
    if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 &&
        (errno != EINPROGRESS || poll(&p, 1, (int)ms) != 1 ||
         getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0 ||
         error != 0)) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

bool
rig_write(int fd, const void *bytes, size_t len)
{
    const char *at = bytes;

    while (len > 0) {
        ssize_t w = send(fd, at, len, MSG_NOSIGNAL);

        if (w <= 0) {
            return false;
        }
        at += w;
        len -= (size_t)w;
    }
    return true;
}

bool
rig_header(const char *head, const char *name, char *value, size_t size)
{
    size_t name_len = strlen(name);

    for (const char *line = strstr(head, "\r\n"); line != NULL;
         line = strstr(line, "\r\n")) {
        line += 2;
        if (strncasecmp(line, name, name_len) == 0 && line[name_len] == ':') {
            const char *from = line + name_len + 1;
            size_t len;

            from += strspn(from, " \t");
            len = strcspn(from, "\r");
            len = len < size - 1 ? len : size - 1;
            memcpy(value, from, len);
            value[len] = '\0';
            return true;
        }
    }
    *value = '\0';
    return false;
}

/* Reads more bytes until @until; returns 0 at the end, -1 if none came. */
static ssize_t
read_more(int fd, char *to, size_t size, double until)
{
    double left = until - rig_now();
    struct pollfd p = {.fd = fd, .events = POLLIN};

    if (left <= 0 || poll(&p, 1, (int)left + 1) != 1) {
        return -1;
    }
    return read(fd, to, size);
}

static void
append(struct rig_answer *a, const char *bytes, size_t len)
{
    a->body = realloc(a->body, a->len + len + 1);
    memcpy(a->body + a->len, bytes, len);
    a->len += len;
    a->body[a->len] = '\0';
}

/* Decodes chunks; returns 1 at the end, 0 if more is needed, -1 if broken. */
static int
decode_chunks(struct rig_answer *a, const char *raw, size_t raw_len)
{
    size_t at = 0;

    a->len = 0;
    for (;;) {
        const char *end = memmem(raw + at, raw_len - at, "\r\n", 2);
        size_t size;

        if (end == NULL) {
            return 0;
        }
        size = strtoul(raw + at, NULL, 16);
        at = (size_t)(end - raw) + 2;
        if (raw_len - at < size + 2) {
            return 0;
        }
        if (size == 0) {
            return 1;
        }
        append(a, raw + at, size);
        at += size + 2;
    }
}

bool
rig_read_answer(int fd, struct rig_answer *a, double until)
{
    char bytes[65536], value[64];
    char *raw = NULL;
    size_t raw_len = 0, head_len = 0, expected = 0;
    bool chunked = false, sized = false;
    ssize_t r;

    free(a->body);
    memset(a, 0, sizeof(*a));
    for (;;) {
        if (head_len == 0 && raw_len > 0) {
            char *end = memmem(raw, raw_len, "\r\n\r\n", 4);

            if (end != NULL) {
                head_len = (size_t)(end - raw) + 4;
                head_len = head_len < RIG_HEAD ? head_len : RIG_HEAD - 1;
                memcpy(a->head, raw, head_len);
                a->head[head_len] = '\0';
                a->status = atoi(a->head + strlen("HTTP/1.1 "));
                chunked = rig_header(a->head, "transfer-encoding", value,
                                     sizeof(value));
                sized = rig_header(a->head, "content-length", value,
                                   sizeof(value));
                expected = strtoul(value, NULL, 10);
            }
        }
        if (head_len > 0 && sized && raw_len - head_len >= expected) {
            append(a, raw + head_len, expected);
            a->complete = true;
            break;
        }
        if (head_len > 0 && chunked &&
            decode_chunks(a, raw + head_len, raw_len - head_len) == 1) {
            a->complete = true;
            break;
        }
        r = read_more(fd, bytes, sizeof(bytes), until);
        if (r <= 0) {
            if (r == 0 && head_len > 0 && !sized && !chunked) {
                append(a, raw + head_len, raw_len - head_len);
                a->complete = true;
            }
            break;
        }
        raw = realloc(raw, raw_len + (size_t)r);
        memcpy(raw + raw_len, bytes, (size_t)r);
        raw_len += (size_t)r;
    }
    free(raw);
    return a->complete;
}

static void
store_host(char *host)
{
    snprintf(host, 64, "%s.9.1", rig.prefix);
}

/* POST to the store; returns the status, 0 without an answer. */
static int
post(const char *path, const char *body)
{
    struct rig_answer a = {0};
    char host[64], head[512];
    int fd, status;

    store_host(host);
    fd = rig_connect(host, RIG_STORE, 1000);
    if (fd < 0) {
        return 0;
    }
    snprintf(head, sizeof(head),
             "POST %s HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
             "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
             path, strlen(body));
    rig_write(fd, head, strlen(head));
    rig_write(fd, body, strlen(body));
    rig_read_answer(fd, &a, rig_now() + 5000);
    status = a.status;
    close(fd);
    free(a.body);
    return status;
}

static char *
base64(const char *text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "abcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t len = strlen(text);
    char *out = malloc(4 * (len / 3 + 1) + 1);
    char *to = out;

    for (size_t i = 0; i < len; i += 3) {
        uint32_t v = (uint32_t)(unsigned char)text[i] << 16;

        v |= i + 1 < len ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
        v |= i + 2 < len ? (uint32_t)(unsigned char)text[i + 2] : 0;
        *to++ = digits[v >> 18 & 63];
        *to++ = digits[v >> 12 & 63];
        *to++ = i + 1 < len ? digits[v >> 6 & 63] : '=';
        *to++ = i + 2 < len ? digits[v & 63] : '=';
    }
    *to = '\0';
    return out;
}

void
rig_put_part(const char *table, const char *part, const char *key,
             const char *value)
{
    char *encoded = base64(value);

    store_write(table, part, key, encoded);
    free(encoded);
}

void
rig_put(const char *table, const char *key, const char *value)
{
    char *encoded = base64(value);
    size_t size = strlen(encoded) + 512;
    char *body = malloc(size);
    int status;

    if (rig.own_store) {
        rig_put_part(table, "", key, value);
        free(body);
        free(encoded);
        return;
    }
    snprintf(body, size,
             "{\"Expected\":[],\"Put\":[{\"Table\":\"%s\",\"part\":\"\","
             "\"Key\":\"%s\",\"Value\":\"%s\"}],\"Remove\":[]}",
             table, key, encoded);
    status = post("/v1/rows-tx", body);
    if (status != 200) {
        rig_fail("the store answers %d to a write of %s/%s", status, table,
                 key);
    }
    free(body);
    free(encoded);
}

void
rig_remove(const char *table, const char *key)
{
    char body[512];

    if (rig.own_store) {
        store_write(table, "", key, NULL);
        return;
    }
    snprintf(body, sizeof(body),
             "{\"Expected\":[],\"Put\":[],\"Remove\":[{\"Table\":\"%s\","
             "\"part\":\"\",\"Key\":\"%s\"}]}",
             table, key);
    post("/v1/rows-tx", body);
}

void
rig_gateway_host(int i, char *host)
{
    snprintf(host, 64, "%s.1.%d", rig.prefix, i + 1);
}

void
rig_server_host(int i, char *host)
{
    snprintf(host, 64, "%s.2.%d", rig.prefix, i + 1);
}

void
rig_start(const char *folder)
{
    const char *trouble = getenv("TROUBLE");
    char path[600], listen[80], host[64];
    char *argv[] = {(char *)STORE, (char *)"--listen", listen, NULL};
    char *envp[] = {NULL};
    double until;

    signal(SIGPIPE, SIG_IGN);
    started_at = rig_now();
    snprintf(path, sizeof(path), "%s/record.txt", folder);
    record = fopen(path, "w");
    rig.trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    snprintf(rig.dir, sizeof(rig.dir), "%s/ggw-review-XXXXXX",
             getenv("TMPDIR") != NULL ? getenv("TMPDIR") : "/tmp");
    if (record == NULL || mkdtemp(rig.dir) == NULL) {
        rig_fail("cannot write %s or a temporary folder", path);
    }
    reserve_prefix();
    store_host(host);
    snprintf(listen, sizeof(listen), "%s:%d", host, RIG_STORE);
    if (rig.own_store) {
        store_start(host, RIG_STORE);
    }
    else {
        rig.store = spawn(argv, envp, "store.log");
    }
    until = rig_now() + START_LIMIT_MS;
    for (;;) {
        int fd = rig_connect(host, RIG_STORE, 100);

        if (fd >= 0) {
            close(fd);
            break;
        }
        if (rig_now() > until) {
            rig_fail("the store does not start");
        }
        rig_sleep(20);
    }
    rig_record("starts, with%s the disruption", rig.trouble ? "" : "out");
}

/* What differs between the deployments nilestrand-gw and vmtc-gate-grown. */
static const char *const limits[] = {
    "\"MemoryMb\":650,\"MaxFds\":10250,\"LinkMbps\":2500.0",
    "\"MemoryMb\":512,\"MaxFds\":8192,\"LinkMbps\":200.0",
};
static const char *const contracts[] = {
    "\"places\",\"platform\"",
    "\"pool\",\"places\",\"tenants\",\"quota\",\"platform\"",
};
static const char *const bounds[] = {
    "\"AckMs\":4000,\"CatchUpS\":4,\"DrainMs\":2000,\"ConfigApplyMs\":2000,"
    "\"RetrySlack\":58,\"ColdSlack\":5",
    "\"AckMs\":5000,\"CatchUpS\":6,\"DrainMs\":2500,\"ConfigApplyMs\":2500,"
    "\"RetrySlack\":216,\"ColdSlack\":8,\"StrictRevoke\":false,"
    "\"RevokeMs\":5000,\"QuotaWindowS\":5,\"QuotaExcess\":0.1,"
    "\"QuotaSlack\":20",
};

static const char settings_format[] =
    "{\"NodeName\":\"front-%d\",\"Role\":\"gateway\","
    "\"MachineClass\":\"front\",\"Serves\":[\"front\",\"control\","
    "\"directory\"],\"Ip\":\"%s\",\"Zone\":\"%s\",\"Region\":\"cairo\","
    "\"Zones\":{\"cairo-a\":\"cairo\",\"cairo-b\":\"cairo\","
    "\"cairo-c\":\"cairo\"},\"Listen\":{\"Front\":\"%s:%d\","
    "\"Ready\":\"%s:%d\",\"Control\":\"%s:%d\",\"Directory\":\"%s:%d\"},"
    "\"InternalPorts\":[%d,%d],\"Seeds\":[%s],\"InFaultBudget\":false,"
    "\"Bootstrap\":true,\"Limits\":{\"CpuShare\":0.5,\"Cores\":1,%s,"
    "\"DiskMb\":0},\"Discovery\":\"platform\",\"Entry\":\"directory\","
    "\"HeartbeatMs\":1500,\"Platform\":{\"Address\":\"%s:%d\","
    "\"form\":\"table\",\"WritesPerS\":400,\"ReadsPerS\":2000},"
    "\"Contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\","
    "\"recover\",\"health\",%s],\"FaultTolerance\":{\"Machines\":1,"
    "\"Zones\":1,\"Regions\":0},\"Bounds\":{\"SeedLagS\":3,"
    "\"AddrReuseS\":2,\"StableWindowMs\":3000,\"GraceS\":6,"
    "\"LossSlackMs\":200,\"RollbackSlackMs\":250,\"OuterMs\":5000,"
    "\"RetryRatio\":0.2,\"RetryWindowS\":10,\"ColdExcess\":1.5,"
    "\"EvacuateMs\":5000,\"RecoveryS\":15,\"ttl_max_s\":5,"
    "\"ProbesPerS\":60,%s}}\n";

void
rig_start_gateway(int i, int n, const char *zone)
{
    char host[64], store[64], path[600], variable[640], log[32];
    char seeds[300] = "";
    char *argv[] = {(char *)GATEWAY, (char *)"node", NULL};
    char *envp[] = {variable, NULL};
    FILE *f;

    rig_gateway_host(i, host);
    store_host(store);
    for (int j = 0; j < n && j < 3; j++) {
        char seed[64];
        size_t len = strlen(seeds);

        rig_gateway_host(j, seed);
        snprintf(seeds + len, sizeof(seeds) - len, "%s\"%s:%d\"",
                 j > 0 ? "," : "", seed, RIG_CONTROL);
    }
    snprintf(path, sizeof(path), "%s/gateway-%d.json", rig.dir, i);
    snprintf(variable, sizeof(variable), "GREENGAGEWAY_SETTINGS=%s", path);
    snprintf(log, sizeof(log), "gateway-%d.log", i);
    f = fopen(path, "w");
    if (f == NULL) {
        rig_fail("cannot write %s", path);
    }
    fprintf(f, settings_format, i, host, zone, host, RIG_FRONT, host,
            RIG_READY, host, RIG_CONTROL, host, RIG_DIRECTORY, RIG_PEERS,
            RIG_PEERS + 15, seeds, limits[rig.has_tenants], store, RIG_STORE,
            contracts[rig.has_tenants], bounds[rig.has_tenants]);
    fclose(f);
    rig.gateways[i] = spawn(argv, envp, log);
}

void
rig_await_ready(int i)
{
    double until = rig_now() + START_LIMIT_MS;
    struct rig_answer a = {0};
    char host[64];

    rig_gateway_host(i, host);
    while (rig_now() < until) {
        int fd = rig_connect(host, RIG_READY, 200);

        if (fd >= 0) {
            static const char request[] =
                "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n"
                "Connection: close\r\n\r\n";

            rig_write(fd, request, strlen(request));
            rig_read_answer(fd, &a, rig_now() + 500);
            close(fd);
            if (a.status == 200) {
                free(a.body);
                return;
            }
        }
        rig_sleep(50);
    }
    rig_fail("gateway %d does not get ready", i);
}

void
rig_new_id(char *id, size_t size)
{
    static unsigned long next;

    snprintf(id, size, "%04x%012lx", (unsigned)getpid() & 0xffff,
             __atomic_add_fetch(&next, 1, __ATOMIC_RELAXED));
}

uint64_t
rig_hash(const char *bytes, size_t len)
{
    uint64_t h = 14695981039346656037ULL;

    for (size_t i = 0; i < len; i++) {
        h = (h ^ (unsigned char)bytes[i]) * 1099511628211ULL;
    }
    return h;
}
