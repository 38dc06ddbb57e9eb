#include "tests/soak/world.h"

#include <errno.h>
#include <fcntl.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "platform/platform.h"
#include "platform/txn.h"

/* Time limit of a call to the store or the relay, ms. */
#define CALL_TIMEOUT_MS 5000

/* Delay before a failed call is sent again, ms. */
#define CALL_RETRY_MS 100

/* Time from the exit of a gateway to its restart, ms. */
#define RESTART_MS 300

/*
 * Longest time in ms from the start of a process until its main() runs, with
 * sanitizers on a busy machine.
 */
#define EXEC_MAX_MS 1000

/*
 * A gateway must exit this long after its grace period at the latest, ms. The
 * platform would kill it.
 */
#define STOP_MARGIN_MS 1000

/* Each run on the machine reserves one prefix, from 127.FIRST_PREFIX on. */
#define FIRST_PREFIX 20
#define PREFIXES 100

/* Resident memory that a gateway may use, bytes. */
#ifdef __SANITIZE_ADDRESS__
#define MAX_GATEWAY_BYTES ((size_t)512 * 1024 * 1024)
#else
#define MAX_GATEWAY_BYTES ((size_t)64 * 1024 * 1024)
#endif

/* Time for all processes to exit at the end of a run, ms. */
#define SHUTDOWN_TIMEOUT_MS 15000

/* Settings file of a gateway, with a part of the platform's settings. */
static const char settings_format[] =
    "{\"NodeName\":\"gw-%d\",\"Zone\":\"%s\",\"Ip\":\"%s\","
    "\"InternalPorts\":[%d,%d],\"Seeds\":[\"%s:%d\",\"%s:%d\",\"%s:%d\"],"
    "\"Listen\":{\"Front\":\"%s:%d\",\"Ready\":\"%s:%d\","
    "\"Control\":\"%s:%d\",\"Directory\":\"%s:%d\"},"
    "\"Platform\":{\"Address\":\"%s:%d\"},\"Bounds\":{\"GraceS\":%g,"
    "\"RetryRatio\":%g,\"RetryWindowS\":%g,\"RetrySlack\":%d,"
    "\"ttl_max_s\":5,\"ProbesPerS\":60}}\n";

/* Runs in the child before exec, so that a killed run leaves no processes. */
static void
die_with_parent(void *data)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

char *
soak_world_host(const struct soak_world *w, enum soak_net net, int index)
{
    return g_strdup_printf("%s.%d.%d", w->prefix, (int)net, index + 1);
}

static GPid
spawn(const struct soak_world *w, char **argv, const char *log)
{
    g_autofree char *path = g_build_filename(w->dir, log, NULL);
    g_autoptr(GError) error = NULL;
    int fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);
    GPid pid;

    if (!g_spawn_async_with_fds(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                                die_with_parent, NULL, &pid, -1, fd, fd,
                                &error)) {
        g_error("cannot start %s: %s", argv[0], error->message);
    }
    close(fd);
    return pid;
}

static void
start_store(struct soak_world *w)
{
    g_autofree char *path = g_strdup_printf("%s/standins/platform", w->build);
    g_autofree char *listen =
        g_strdup_printf("%s.9.1:%d", w->prefix, SOAK_STORE_PORT);
    char *argv[] = {path, (char *)"--listen", listen, NULL};

    w->store = spawn(w, argv, "store.log");
}

static void
add_route(struct soak_world *w, GPtrArray *argv, const char *name, int index,
          enum soak_net net, int port, const char *target, int target_port)
{
    g_autofree char *host = soak_world_host(w, net, index);

    g_ptr_array_add(argv, g_strdup("--route"));
    g_ptr_array_add(argv,
                    g_strdup_printf("%s-%02d,%s:%d,%s:%d,0.1", name, index,
                                    host, port, target, target_port));
}

static void
start_relay(struct soak_world *w)
{
    GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
    g_autofree char *store = g_strdup_printf("%s.9.1", w->prefix);

    g_ptr_array_add(argv, g_strdup_printf("%s/standins/relay", w->build));
    g_ptr_array_add(argv, g_strdup("--control"));
    g_ptr_array_add(
        argv, g_strdup_printf("%s.9.2:%d", w->prefix, SOAK_CONTROL_PORT));
    for (int i = 0; i < SOAK_GATEWAYS; i++) {
        g_autofree char *peer = soak_world_host(w, SOAK_NET_PEERS, i);
        g_autofree char *front = soak_world_host(w, SOAK_NET_GATEWAYS, i);

        add_route(w, argv, "peer", i, SOAK_NET_GATEWAYS, SOAK_PEER_PORT, peer,
                  SOAK_PEER_PORT);
        add_route(w, argv, "front", i, SOAK_NET_FRONTS, SOAK_FRONT_PORT, front,
                  SOAK_FRONT_PORT);
        add_route(w, argv, "store", i, SOAK_NET_STORE, SOAK_STORE_PORT, store,
                  SOAK_STORE_PORT);
    }
    for (int i = 0; i < SOAK_SERVERS; i++) {
        g_autofree char *server = soak_world_host(w, SOAK_NET_SERVERS, i);

        add_route(w, argv, "server", i, SOAK_NET_PUBLIC, SOAK_SERVER_PORT,
                  server, SOAK_SERVER_PORT);
    }
    g_ptr_array_add(argv, NULL);
    w->relay = spawn(w, (char **)argv->pdata, "relay.log");
    g_ptr_array_unref(argv);
}

static char *
settings_path(const struct soak_world *w, int i)
{
    return g_strdup_printf("%s/gw-%d.json", w->dir, i);
}

static void
write_settings(struct soak_world *w, int i)
{
    g_autofree char *peer = soak_world_host(w, SOAK_NET_PEERS, i);
    g_autofree char *self = soak_world_host(w, SOAK_NET_GATEWAYS, i);
    g_autofree char *store = soak_world_host(w, SOAK_NET_STORE, i);
    g_autofree char *seed0 = soak_world_host(w, SOAK_NET_GATEWAYS, 0);
    g_autofree char *seed1 = soak_world_host(w, SOAK_NET_GATEWAYS, 1);
    g_autofree char *seed2 = soak_world_host(w, SOAK_NET_GATEWAYS, 2);
    g_autofree char *path = settings_path(w, i);
    g_autofree char *text = g_strdup_printf(
        settings_format, i, soak_zones[i % SOAK_ZONES], peer, SOAK_PEER_PORT,
        SOAK_PEER_PORT + 15, seed0, SOAK_CONTROL_PORT, seed1,
        SOAK_CONTROL_PORT, seed2, SOAK_CONTROL_PORT, self, SOAK_FRONT_PORT,
        self, SOAK_READY_PORT, self, SOAK_CONTROL_PORT, self,
        SOAK_DIRECTORY_PORT, store, SOAK_STORE_PORT, SOAK_GRACE_MS / 1e3,
        SOAK_RETRY_RATIO, SOAK_RETRY_WINDOW_MS / 1e3, SOAK_RETRY_SLACK);

    if (!g_file_set_contents(path, text, -1, NULL)) {
        g_error("cannot write settings file %s", path);
    }
}

void
soak_world_start_gateway(struct soak_world *w, int i)
{
    struct soak_gateway *g = &w->gateways[i];
    g_autofree char *path = g_strdup_printf("%s/greengageway", w->build);
    g_autofree char *settings = settings_path(w, i);
    g_autofree char *log = g_strdup_printf("gw-%d.log", i);
    char *argv[] = {path, (char *)"node", (char *)"--settings", settings,
                    NULL};

    if (g->killed) {
        soak_record_add_fault(w->record, i, soak_now());
    }
    g->pid = spawn(w, argv, log);
    g->state = SOAK_RUNNING;
    g->started_at = soak_now();
    g->restart_at = INFINITY;
    g->sighup_at = INFINITY;
    g->killed = false;
    g->paused = false;
    g->stop_paused = 0;
    g->memory_exceeded = false;
    soak_record_gateway_restarted(w->record, i);
}

void
soak_world_signal(struct soak_world *w, int i, int number)
{
    struct soak_gateway *g = &w->gateways[i];

    if (g->state == SOAK_ENDED) {
        return;
    }
    if (number == SIGKILL) {
        g->killed = true;
    }
    if (number == SIGTERM) {
        g->state = SOAK_STOPPING;
        g->sigterm_at = soak_now();
    }
    if (number == SIGHUP) {
        g->sighup_at = soak_now();
    }
    if (number == SIGSTOP) {
        g->paused_at = soak_now();
    }
    if (number == SIGCONT && g->paused && g->state == SOAK_STOPPING) {
        g->stop_paused += soak_now() - MAX(g->paused_at, g->sigterm_at);
    }
    g->paused =
        number == SIGSTOP ? true : (number == SIGCONT ? false : g->paused);
    kill(g->pid, number);
}

/*
 * A SIGTERM or SIGHUP that arrives before main() runs ends the process: no
 * code of the gateway can prevent that, and it has accepted nothing yet.
 */
static bool
ended_before_main(const struct soak_gateway *g, int status)
{
    int number = WIFSIGNALED(status) ? WTERMSIG(status) : 0;

    if (number == SIGTERM) {
        return g->state == SOAK_STOPPING &&
               g->sigterm_at - g->started_at < EXEC_MAX_MS;
    }
    return number == SIGHUP && g->sighup_at - g->started_at < EXEC_MAX_MS;
}

static void
record_exit(struct soak_world *w, int i, int status, ggw_ms now)
{
    struct soak_gateway *g = &w->gateways[i];
    bool sigterm_sent = g->state == SOAK_STOPPING;
    bool before_main = ended_before_main(g, status);

    g->state = SOAK_ENDED;
    g->restart_at = now + RESTART_MS;
    if (g->killed || before_main) {
        return;
    }
    if (!sigterm_sent || !WIFEXITED(status) || WEXITSTATUS(status) != 0) {
        soak_record_add_violation(
            w->record, now, "EXIT",
            "gateway %d exited unexpectedly with wait status 0x%x", i, status);
    }
}

/* Resident memory of a process, bytes; 0 if it has ended. */
static size_t
resident_bytes(GPid pid)
{
    g_autofree char *path = g_strdup_printf("/proc/%d/statm", (int)pid);
    g_autofree char *text = NULL;
    size_t pages = 0;

    if (g_file_get_contents(path, &text, NULL, NULL) &&
        sscanf(text, "%*u %zu", &pages) != 1) {
        pages = 0;
    }
    return pages * (size_t)sysconf(_SC_PAGESIZE);
}

static void
check_memory(struct soak_world *w, int i, ggw_ms now)
{
    struct soak_gateway *g = &w->gateways[i];
    size_t bytes = resident_bytes(g->pid);

    w->most_memory = MAX(w->most_memory, bytes);
    if (bytes > MAX_GATEWAY_BYTES && !g->memory_exceeded) {
        g->memory_exceeded = true;
        soak_record_memory(w->record, i, bytes, now);
    }
}

void
soak_world_poll(struct soak_world *w, ggw_ms now)
{
    for (int i = 0; i < SOAK_GATEWAYS; i++) {
        struct soak_gateway *g = &w->gateways[i];
        int status;

        if (g->state != SOAK_ENDED && waitpid(g->pid, &status, WNOHANG) > 0) {
            record_exit(w, i, status, now);
        }
        if (g->state != SOAK_ENDED) {
            check_memory(w, i, now);
        }
        if (g->state == SOAK_STOPPING && !g->killed && !g->paused &&
            now > g->sigterm_at + g->stop_paused + SOAK_GRACE_MS +
                      STOP_MARGIN_MS) {
            soak_record_add_violation(
                w->record, now, "LOST",
                "gateway %d is still running %.0f ms after SIGTERM", i,
                now - g->sigterm_at);
            soak_world_signal(w, i, SIGKILL);
        }
        if (g->state == SOAK_ENDED && g->restart_at <= now) {
            soak_world_start_gateway(w, i);
        }
    }
}

/* Reserves a prefix by a bound socket, so that concurrent runs differ. */
static void
reserve_prefix(struct soak_world *w)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    for (int i = 0; i < PREFIXES; i++) {
        g_autofree char *host = NULL;
        struct sockaddr_in sa;

        g_snprintf(w->prefix, sizeof(w->prefix), "127.%d", FIRST_PREFIX + i);
        host = g_strdup_printf("%s.9.9", w->prefix);
        uv_ip4_addr(host, SOAK_CONTROL_PORT, &sa);
        if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0) {
            w->prefix_socket = fd;
            return;
        }
    }
    g_error("all address prefixes are in use by other runs");
}

void
soak_world_init(struct soak_world *w, uv_loop_t *loop, struct soak_record *r,
                const char *build, const char *dir)
{
    g_autofree char *store = NULL;
    g_autofree char *relay = NULL;

    w->loop = loop;
    w->record = r;
    w->build = g_strdup(build);
    w->dir = g_strdup(dir);
    w->rows = g_hash_table_new(g_str_hash, g_str_equal);
    reserve_prefix(w);
    store = g_strdup_printf("%s.9.1", w->prefix);
    relay = g_strdup_printf("%s.9.2", w->prefix);
    start_store(w);
    start_relay(w);
    w->store_http =
        ggw_http_new(loop, ggw_clock_system(), store, SOAK_STORE_PORT, NULL);
    w->relay_http =
        ggw_http_new(loop, ggw_clock_system(), relay, SOAK_CONTROL_PORT, NULL);
    for (int i = 0; i < SOAK_GATEWAYS; i++) {
        write_settings(w, i);
    }
}

static void
stop_process(GPid pid, ggw_ms until)
{
    int status;

    kill(pid, SIGCONT);
    kill(pid, SIGTERM);
    while (waitpid(pid, &status, WNOHANG) == 0) {
        if (soak_now() > until) {
            kill(pid, SIGKILL);
            waitpid(pid, &status, 0);
            return;
        }
        g_usleep(10000);
    }
}

void
soak_world_end(struct soak_world *w)
{
    ggw_ms until = soak_now() + SHUTDOWN_TIMEOUT_MS;

    for (int i = 0; i < SOAK_GATEWAYS; i++) {
        struct soak_gateway *g = &w->gateways[i];

        if (g->state != SOAK_ENDED) {
            kill(g->pid, SIGCONT);
            kill(g->pid, SIGTERM);
        }
    }
    for (int i = 0; i < SOAK_GATEWAYS; i++) {
        if (w->gateways[i].state != SOAK_ENDED) {
            stop_process(w->gateways[i].pid, until);
        }
    }
    stop_process(w->relay, until);
    stop_process(w->store, until);
}

void
soak_world_release_prefix(struct soak_world *w)
{
    close(w->prefix_socket);
}

/**
 * struct call - a POST to the store or the relay, repeated until it succeeds
 * @row: calls for the same row in their order, this one first; NULL if none
 */
struct call {
    struct soak_world *world;
    struct ggw_http_client *http;
    char *path;
    char *body;
    void (*acked)(void *data);
    void *data;
    GQueue *row;
    uv_timer_t retry_timer;
};

static void call_send(struct call *c);

static void
call_close_cb(uv_handle_t *handle)
{
    struct call *c = handle->data;

    g_free(c->path);
    g_free(c->body);
    g_free(c);
}

static void
retry_cb(uv_timer_t *timer)
{
    call_send(timer->data);
}

static void
on_response(void *data, const struct ggw_http_response *answer)
{
    struct call *c = data;

    if (answer->outcome != GGW_HTTP_COMPLETE || answer->status != 200) {
        uv_timer_start(&c->retry_timer, retry_cb, CALL_RETRY_MS, 0);
        return;
    }
    if (c->acked != NULL) {
        c->acked(c->data);
    }
    if (c->row != NULL) {
        g_queue_pop_head(c->row);
        if (c->row->length > 0) {
            call_send(g_queue_peek_head(c->row));
        }
    }
    uv_close((uv_handle_t *)&c->retry_timer, call_close_cb);
}

/* A failed call is sent again, as an operator would do. */
static void
call_send(struct call *c)
{
    struct ggw_http_request request = {
        .method = "POST",
        .path = c->path,
        .body = c->body,
        .timeout = CALL_TIMEOUT_MS,
        .cb = on_response,
        .data = c,
    };

    ggw_http_send(c->http, &request);
}

/* A write of a row begins when the writes of it before have ended. */
static void
call_new(struct soak_world *w, struct ggw_http_client *http, const char *path,
         char *body, GQueue *row, void (*acked)(void *), void *data)
{
    struct call *c = g_new0(struct call, 1);

    c->world = w;
    c->http = http;
    c->path = g_strdup(path);
    c->body = body;
    c->acked = acked;
    c->data = data;
    c->row = row;
    uv_timer_init(w->loop, &c->retry_timer);
    c->retry_timer.data = c;
    if (row != NULL) {
        g_queue_push_tail(row, c);
    }
    if (row == NULL || row->length == 1) {
        call_send(c);
    }
}

void
soak_world_configure_relay(struct soak_world *w, const char *json)
{
    call_new(w, w->relay_http, "/-/set", g_strdup(json), NULL, NULL, NULL);
}

void
soak_world_store_fault(struct soak_world *w, const char *json,
                       void (*acked)(void *), void *data)
{
    call_new(w, w->store_http, "/-/fault", g_strdup(json), NULL, acked, data);
}

void
soak_world_write_row(struct soak_world *w, const char *table, const char *key,
                     const char *value, void (*acked)(void *), void *data)
{
    g_autofree char *path = g_strdup_printf("%s/%s", table, key);
    struct ggw_txn *txn = ggw_txn_new(0);
    GQueue *row = g_hash_table_lookup(w->rows, path);

    if (row == NULL) {
        row = g_queue_new();
        g_hash_table_insert(w->rows, g_strdup(path), row);
    }
    ggw_txn_put(txn, path, value);
    call_new(w, w->store_http, "/v1/rows-tx", ggw_txn_encode(txn), row, acked,
             data);
    txn->base.ops->destroy(&txn->base);
}
