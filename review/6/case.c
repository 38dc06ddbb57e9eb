/*
 * A version moves a route to another service and leaves the old service out,
 * while requests for it wait for a free slot. Looks for gateways that end, and
 * for requests whose connection ends without an answer.
 */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "rig-2/server.h"

/* Two zones with three gateways and 14 servers of the old service each. */
#define GATEWAYS 6
#define OLD_SERVERS 28
#define NEW_SERVERS 28
#define CLIENTS 240

#define DEADLINE_MS 2500.0
#define ROUNDS 6
#define PAUSE_MS 2500.0

/* ConfigApplyMs of pwani-gw + 1 s, in which a version counts as planned work.
 */
#define WINDOW_MS 3000.0

/* LossSlackMs of pwani-gw, and seven tenths of the route's time. */
#define SLACK_MS 200.0
#define USED_MS (0.7 * 1200.0)

static struct server servers[OLD_SERVERS + NEW_SERVERS];
static const char *const zones[] = {"cairo-a", "cairo-b"};
static bool ended;
static int sent, answered, cut, ends;
static int cut_beside, cut_at_other_times;
static double started_at, beside_ms, acked_at = -1e9;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Further routes of the operator, which get no requests here. */
#define IDLE_ROUTES 300

#define CLUSTER(name)                                                         \
    "{\"Name\":\"" name "\",\"HealthPath\":\"/health\",\"MaxConns\":220,"     \
    "\"ColdStartS\":3,\"ColdPerS\":3.4}"

static const char config_format[] =
    "{\"Version\":\"%08x\",\"Limits\":{\"MaxHeaderBytes\":16384,"
    "\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,"
    "\"IdleTimeoutMs\":15000},\"Listeners\":[{\"Host\":\"desk.example\","
    "\"Rules\":[%s{\"Name\":\"r-1\",\"RouteType\":\"idempotent\","
    "\"TargetLatencyMs\":300,\"Priority\":2,\"Match\":{\"Prefix\":"
    "\"/status/\"},\"Action\":{\"Service\":\"%s\",\"TimeoutMs\":1200,"
    "\"MaxAttempts\":2}}]}],\"Clusters\":[%s]}";

static const char idle_format[] =
    "{\"Name\":\"r-%d\",\"RouteType\":\"idempotent\","
    "\"TargetLatencyMs\":300,\"Priority\":2,\"Match\":{\"Prefix\":"
    "\"/idle%d/\"},\"Action\":{\"Service\":\"new-desk\","
    "\"TimeoutMs\":1200,\"MaxAttempts\":2}},";

static char idle_routes[IDLE_ROUTES * 256];

static void
make_idle_routes(void)
{
    size_t len = 0;

    for (int i = 0; i < IDLE_ROUTES; i++) {
        len += (size_t)snprintf(idle_routes + len, sizeof(idle_routes) - len,
                                idle_format, i + 2, i + 2);
    }
}

static void
put_config(int version, const char *service, bool with_old)
{
    char text[sizeof(idle_routes) + 4096];

    snprintf(text, sizeof(text), config_format, version, idle_routes, service,
             with_old ? CLUSTER("spec-desk") "," CLUSTER("new-desk")
                      : CLUSTER("new-desk"));
    rig_put("op", "config", text);
    acked_at = rig_now();
    beside_ms += PAUSE_MS;
    rig_record("version %d is acknowledged: /status/ goes to %s, spec-desk is "
               "%s",
               version, service, with_old ? "there" : "left out");
}

/* Notes gateways that have ended by themselves, and starts them again. */
static void
check_gateways(void)
{
    for (int i = 0; i < GATEWAYS; i++) {
        int status;

        if (waitpid(rig.gateways[i], &status, WNOHANG) != rig.gateways[i]) {
            continue;
        }
        ends++;
        rig_record("gateway %d has ended by itself: %s %d", i,
                   WIFSIGNALED(status) ? "signal" : "exit status",
                   WIFSIGNALED(status) ? WTERMSIG(status)
                                       : WEXITSTATUS(status));
        rig_start_gateway(i, GATEWAYS, zones[i % 2]);
    }
}

static void
pause_checking(double ms)
{
    double until = rig_now() + ms;

    while (rig_now() < until) {
        check_gateways();
        rig_sleep(10);
    }
}

/* Judges a request by LOST. */
static void
judge(const char *id, int gateway, const struct rig_answer *a, double from)
{
    double took = rig_now() - from;
    bool passed_on = server_has_run(id);

    pthread_mutex_lock(&lock);
    sent++;
    answered += a->complete ? 1 : 0;
    if (!a->complete && took < DEADLINE_MS - 1) {
        cut++;
        rig_record("request %s at gateway %d: the connection ends after %.0f "
                   "ms without an answer, %s",
                   id, gateway, took,
                   passed_on ? "a server runs it" : "not passed on");
    }
    if (!a->complete && (passed_on || took > SLACK_MS) && took < USED_MS) {
        if (rig_now() - acked_at < WINDOW_MS) {
            cut_beside++;
        }
        else {
            cut_at_other_times++;
        }
    }
    pthread_mutex_unlock(&lock);
}

/* Whether requests are cut over three times as often beside a version. */
static bool
is_cut_by_versions(void)
{
    double other_ms = rig_now() - started_at - beside_ms;
    double other = other_ms > 0 ? cut_at_other_times / other_ms : 0;

    return cut_beside > 0 && cut_beside / beside_ms > 3 * other;
}

static void *
client(void *data)
{
    int n = (int)(intptr_t)data;
    unsigned seed = (unsigned)n * 7919 + (unsigned)getpid();
    struct rig_answer a = {0};
    char host[64], id[32], text[512];
    int fd = -1;

    rig_gateway_host(n % GATEWAYS, host);
    while (!ended) {
        double from;

        if (fd < 0) {
            fd = rig_connect(host, RIG_FRONT, 1000);
        }
        if (fd < 0) {
            rig_sleep(50);
            continue;
        }
        rig_new_id(id, sizeof(id));
        snprintf(text, sizeof(text),
                 "GET /status/400 HTTP/1.1\r\nHost: desk.example\r\n"
                 "Attempt-Id: %s\r\nRequest-Deadline: %.0f\r\n\r\n",
                 id, DEADLINE_MS);
        from = rig_now();
        rig_write(fd, text, strlen(text));
        rig_read_answer(fd, &a, from + DEADLINE_MS);
        judge(id, n % GATEWAYS, &a, from);
        if (!a.complete || strstr(a.head, "close") != NULL) {
            close(fd);
            fd = -1;
        }
        if (a.status == 503) {
            rig_sleep(50);
        }
        rig_sleep(rand_r(&seed) % 10);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    int version = 7;
    pthread_t thread;
    bool broken;

    rig_start(argc > 1 ? argv[1] : ".");
    make_idle_routes();
    put_config(version, "spec-desk", true);
    for (int i = 0; i < OLD_SERVERS + NEW_SERVERS; i++) {
        servers[i] =
            (struct server){.index = i, .slots = 4, .work_ms = 60};
        snprintf(servers[i].service, sizeof(servers[i].service), "%s",
                 i < OLD_SERVERS ? "spec-desk" : "new-desk");
        snprintf(servers[i].zone, sizeof(servers[i].zone), "%s",
                 zones[i % 2]);
        server_start(&servers[i]);
    }
    for (int i = 0; i < GATEWAYS; i++) {
        rig_start_gateway(i, GATEWAYS, zones[i % 2]);
    }
    for (int i = 0; i < GATEWAYS; i++) {
        rig_await_ready(i);
    }
    rig_sleep(4000);
    for (int i = 0; i < CLIENTS; i++) {
        pthread_create(&thread, NULL, client, (void *)(intptr_t)i);
    }
    started_at = rig_now();
    pause_checking(4000);
    beside_ms = 0;
    for (int i = 0; i < ROUNDS; i++) {
        put_config(version += 2, "new-desk", !rig.trouble);
        pause_checking(PAUSE_MS);
        put_config(version += 3, "spec-desk", true);
        pause_checking(PAUSE_MS);
    }
    ended = true;
    rig_sleep(DEADLINE_MS);
    check_gateways();
    broken = is_cut_by_versions();
    rig_record("sent %d, answered %d; connections that ended without an "
               "answer %d; of these that count by LOST, beside a version %d, "
               "at other times %d; gateways that ended by themselves %d",
               sent, answered, cut, cut_beside, cut_at_other_times, ends);
    printf("sent %d, cut %d (%d count by LOST), gateways ended %d: rule %s\n",
           sent, cut, cut_beside, ends, broken ? "broken" : "held");
    fflush(stdout);
    rig_end(broken ? 1 : 0);
}
