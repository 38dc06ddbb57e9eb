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

#define CALL_TIMEOUT_MS 20000
#define WRITE_AGAIN_MS 100
#define RESTART_MS 300

/* A graceful stop must be over by then; the platform would kill it. */
#define STOP_MARGIN_MS 1000

/* Nets 127.FIRST_NET and the following, one for each run on the machine. */
#define FIRST_NET 20
#define NETS 100

/* Longest wait for the end of the processes at the end of a run. */
#define END_WAIT_MS 15000

/* Some settings of the platform that gateways read. */
static const char settings_format[] =
    "{\"NodeName\":\"gw-%d\",\"Zone\":\"%s\",\"Ip\":\"%s\","
    "\"InternalPorts\":[%d,%d],\"Seeds\":[\"%s:%d\",\"%s:%d\",\"%s:%d\"],"
    "\"Listen\":{\"Front\":\"%s:%d\",\"Ready\":\"%s:%d\","
    "\"Control\":\"%s:%d\",\"Directory\":\"%s:%d\"},"
    "\"Platform\":{\"Address\":\"%s:%d\"},\"Bounds\":{\"GraceS\":%g,"
    "\"RetryRatio\":%g,\"RetryWindowS\":%g,\"RetrySlack\":%d,"
    "\"ttl_max_s\":5,\"ProbesPerS\":60}}\n";

/* A run that is killed must not leave processes behind. */
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
        g_error("cannot write %s", path);
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

    g->pid = spawn(w, argv, log);
    g->state = SOAK_RUNNING;
    g->start_at = INFINITY;
    g->killed = false;
    g->paused = false;
    soak_record_restarted(w->record, i);
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
        g->stopping_at = soak_now();
    }
    g->paused =
        number == SIGSTOP ? true : (number == SIGCONT ? false : g->paused);
    kill(g->pid, number);
}

static void
note_end(struct soak_world *w, int i, int status, ggw_ms now)
{
    struct soak_gateway *g = &w->gateways[i];
    bool asked = g->state == SOAK_STOPPING;

    g->state = SOAK_ENDED;
    g->start_at = now + RESTART_MS;
    if (g->killed) {
        return;
    }
    if (!asked || !WIFEXITED(status) || WEXITSTATUS(status) != 0) {
        soak_record_violate(w->record, now, "EXIT",
                            "gateway %d ended by itself with status 0x%x", i,
                            status);
    }
}

void
soak_world_poll(struct soak_world *w, ggw_ms now)
{
    for (int i = 0; i < SOAK_GATEWAYS; i++) {
        struct soak_gateway *g = &w->gateways[i];
        int status;

        if (g->state != SOAK_ENDED && waitpid(g->pid, &status, WNOHANG) > 0) {
            note_end(w, i, status, now);
        }
        if (g->state == SOAK_STOPPING && !g->killed && !g->paused &&
            now > g->stopping_at + SOAK_GRACE_MS + STOP_MARGIN_MS) {
            soak_record_violate(w->record, now, "LOST",
                                "gateway %d has not stopped %.0f ms after "
                                "SIGTERM",
                                i, now - g->stopping_at);
            soak_world_signal(w, i, SIGKILL);
        }
        if (g->state == SOAK_ENDED && g->start_at <= now) {
            soak_world_start_gateway(w, i);
        }
    }
}

/* Runs side by side have different nets; a bound socket holds each. */
static void
take_net(struct soak_world *w)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    for (int i = 0; i < NETS; i++) {
        g_autofree char *host = NULL;
        struct sockaddr_in sa;

        g_snprintf(w->prefix, sizeof(w->prefix), "127.%d", FIRST_NET + i);
        host = g_strdup_printf("%s.9.9", w->prefix);
        uv_ip4_addr(host, SOAK_CONTROL_PORT, &sa);
        if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0) {
            w->net_lock = fd;
            return;
        }
    }
    g_error("no free net");
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
    take_net(w);
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
end_process(GPid pid, ggw_ms until)
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
    ggw_ms until = soak_now() + END_WAIT_MS;

    for (int i = 0; i < SOAK_GATEWAYS; i++) {
        struct soak_gateway *g = &w->gateways[i];

        if (g->state != SOAK_ENDED) {
            kill(g->pid, SIGCONT);
            kill(g->pid, SIGTERM);
        }
    }
    for (int i = 0; i < SOAK_GATEWAYS; i++) {
        if (w->gateways[i].state != SOAK_ENDED) {
            end_process(w->gateways[i].pid, until);
        }
    }
    end_process(w->relay, until);
    end_process(w->store, until);
    close(w->net_lock);
}

/* A call to the store or the relay. */
struct call {
    struct soak_world *world;
    struct ggw_http_client *http;
    char *path;
    char *body;
    void (*acked)(void *data);
    void *data;
    uv_timer_t again;
};

static void call_send(struct call *c);

static void
call_freed(uv_handle_t *handle)
{
    struct call *c = handle->data;

    g_free(c->path);
    g_free(c->body);
    g_free(c);
}

static void
again_cb(uv_timer_t *timer)
{
    call_send(timer->data);
}

static void
on_answer(void *data, const struct ggw_http_response *answer)
{
    struct call *c = data;

    if (answer->outcome != GGW_HTTP_COMPLETE || answer->status != 200) {
        uv_timer_start(&c->again, again_cb, WRITE_AGAIN_MS, 0);
        return;
    }
    if (c->acked != NULL) {
        c->acked(c->data);
    }
    uv_close((uv_handle_t *)&c->again, call_freed);
}

/* Sent again until it is answered, as the operator does. */
static void
call_send(struct call *c)
{
    struct ggw_http_request request = {
        .method = "POST",
        .path = c->path,
        .body = c->body,
        .timeout = CALL_TIMEOUT_MS,
        .cb = on_answer,
        .data = c,
    };

    ggw_http_send(c->http, &request);
}

static void
call_new(struct soak_world *w, struct ggw_http_client *http, const char *path,
         char *body, void (*acked)(void *), void *data)
{
    struct call *c = g_new0(struct call, 1);

    c->world = w;
    c->http = http;
    c->path = g_strdup(path);
    c->body = body;
    c->acked = acked;
    c->data = data;
    uv_timer_init(w->loop, &c->again);
    c->again.data = c;
    call_send(c);
}

void
soak_world_relay(struct soak_world *w, const char *json)
{
    call_new(w, w->relay_http, "/-/set", g_strdup(json), NULL, NULL);
}

void
soak_world_store_fault(struct soak_world *w, const char *json)
{
    call_new(w, w->store_http, "/-/fault", g_strdup(json), NULL, NULL);
}

void
soak_world_write(struct soak_world *w, const char *table, const char *key,
                 const char *value, void (*acked)(void *), void *data)
{
    g_autofree char *path = g_strdup_printf("%s/%s", table, key);
    struct ggw_txn *txn = ggw_txn_new(0);

    ggw_txn_put(txn, path, value);
    call_new(w, w->store_http, "/v1/rows-tx", ggw_txn_encode(txn), acked,
             data);
    txn->base.ops->destroy(&txn->base);
}
