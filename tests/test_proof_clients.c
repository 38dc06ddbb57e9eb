#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <math.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/suite.h"
#include "tests/system.h"

/**
 * DOC: proof that many slow clients and servers do no harm
 *
 * A gateway with few descriptors gets more connections than it has
 * descriptors. It must go on accepting and serving other clients, keep its
 * connection to the other gateway, keep its memory bounded, and refuse
 * requests only as not run. The bounds follow from decide/clients.h.
 */

#define KIB 1024
#define MIB (1024 * KIB)

/* Descriptors of the gateway under test. */
#define DESCRIPTORS 256

/* Connections that the clients open; more than DESCRIPTORS. */
#define CLIENTS 400

/* Time in ms for which the clients keep their connections. */
#define RUN_MS 3000

/* Interval in ms of the requests of another client. */
#define SOUND_INTERVAL_MS 50

/* Service time in ms of the slow servers, below the timeout. */
#define SLOW_MS "1500"

/* Share of a processor that the gateway may use while clients do nothing. */
#define IDLE_CPU 0.5

/* Body of a request that is sent slowly: all but its last byte is sent. */
#define BODY_BYTES MIB

/* Memory of a gateway without requests; a sanitizer adds its own. */
#if defined(__SANITIZE_ADDRESS__)
#define BASE_BYTES (160.0 * MIB)
#else
#define BASE_BYTES (48.0 * MIB)
#endif

/* Limit for all bodies of requests, in buffers that grow by doubling. */
#define BODIES_BYTES (2.0 * 32 * MIB)

/*
 * Limit for one response that is passed on to a client that does not read it,
 * as in test_proof_endless.
 */
#define RESPONSE_BYTES (2.0 * 2 * (64 + 64 + 16) * KIB)

#define WARM_AT_ONCE "\"slots\":200,\"cold_limit\":200,\"cold_ms\":0"

static const char settings[] =
    "{\"failure_domains\":{\"d\":{\"state\":\"in\"}},"
    "\"backend_servers\":{},\"services\":{"
    "\"slow\":{" WARM_AT_ONCE ",\"queue\":2000,\"kinds\":{"
    "\"order\":{\"methods\":[\"POST\"],\"path_prefix\":\"/\","
    "\"timeout_ms\":8000,\"idempotency\":\"once\"}}},"
    "\"sound\":{" WARM_AT_ONCE ",\"kinds\":{"
    "\"read\":{\"methods\":[\"GET\",\"POST\"],\"path_prefix\":\"/\","
    "\"timeout_ms\":5000,\"idempotency\":\"idempotent\",\"attempts\":3}}}}}";

static const char *const services[] = {"slow", "sound", NULL};
static const char *const domains[] = {"d", NULL};
static const char *const backend_flags[] = {
    "--slots", "200",          "--queue", "400",       "--connections",
    "2000",    "--cold-limit", "200",     "--service", "const",
    NULL};

static struct system *s;
static const char *gateway;
static int clients[CLIENTS];
static int sound_sent, sound_served;
static double sound_slowest;

static double
now_ms(void)
{
    return (double)g_get_monotonic_time() / 1e3;
}

/* Memory that a sanitizer keeps back after it is freed is not counted. */
static void
limit_quarantine(void)
{
    const char *old = g_getenv("ASAN_OPTIONS");
    g_autofree char *options =
        g_strconcat(old != NULL ? old : "", old != NULL ? ":" : "",
                    "quarantine_size_mb=8", NULL);

    g_setenv("ASAN_OPTIONS", options, TRUE);
}

/* Starts the gateway under test, with few descriptors. */
static void
start_limited_gateway(void)
{
    struct rlimit usual, few;

    getrlimit(RLIMIT_NOFILE, &usual);
    few = (struct rlimit){.rlim_cur = DESCRIPTORS, .rlim_max = usual.rlim_max};
    setrlimit(RLIMIT_NOFILE, &few);
    system_start_gateway(s, 1);
    setrlimit(RLIMIT_NOFILE, &usual);
    CU_ASSERT_TRUE_FATAL(system_gateway_ready(s, 1, 20000));
    gateway = s->gateways[1].address;
}

static void
start_system(void)
{
    struct system_options options = system_cairo;
    g_autofree char *path = NULL;
    int fd = g_file_open_tmp("ggw-clients-XXXXXX", &path, NULL);

    CU_ASSERT_FATAL(fd >= 0);
    close(fd);
    CU_ASSERT_TRUE_FATAL(g_file_set_contents(path, settings, -1, NULL));
    options.team = "team";
    options.settings = path;
    options.services = services;
    options.domains = domains;
    options.servers = 2;
    options.backend_flags = backend_flags;
    s = system_new(&options, 1);
    start_limited_gateway();
    system_set_backend(s, "slow",
                       "{\"server\":\"*\",\"service_ms\":" SLOW_MS "}");
    for (int i = 0; i < CLIENTS; i++) {
        clients[i] = -1;
    }
    sound_sent = 0;
    sound_served = 0;
    sound_slowest = 0;
    g_unlink(path);
}

static char *
read_proc(const char *file)
{
    g_autofree char *path =
        g_strdup_printf("/proc/%d/%s", s->gateways[1].process.pid, file);
    char *text = NULL;

    return g_file_get_contents(path, &text, NULL, NULL) ? text : g_strdup("");
}

/* Largest memory that the gateway has had, in bytes. */
static double
peak_memory(void)
{
    g_autofree char *text = read_proc("status");
    const char *line = strstr(text, "VmHWM:");

    return line != NULL ? g_ascii_strtod(line + strlen("VmHWM:"), NULL) * KIB
                        : INFINITY;
}

/* Processor time that the gateway has used, in ms. */
static double
cpu_ms(void)
{
    g_autofree char *text = read_proc("stat");
    const char *fields = strrchr(text, ')');
    g_auto(GStrv) f = g_strsplit(fields != NULL ? fields : "", " ", -1);

    if (g_strv_length(f) < 14) {
        return INFINITY;
    }
    return (g_ascii_strtod(f[12], NULL) + g_ascii_strtod(f[13], NULL)) * 1e3 /
           (double)sysconf(_SC_CLK_TCK);
}

static int
count_descriptors(void)
{
    g_autofree char *path =
        g_strdup_printf("/proc/%d/fd", s->gateways[1].process.pid);
    GDir *dir = g_dir_open(path, 0, NULL);
    int n = 0;

    while (dir != NULL && g_dir_read_name(dir) != NULL) {
        n++;
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    return n;
}

/* Sum of the counters of the gateway whose name begins with @name. */
static double
metric(const char *name)
{
    struct reply *r = client_request(gateway, "GET", "/-/metrics", NULL, NULL);
    g_auto(GStrv) lines = g_strsplit(reply_text(r), "\n", -1);
    double sum = 0;

    for (char **l = lines; *l != NULL; l++) {
        const char *value = strrchr(*l, ' ');

        if (value != NULL && g_str_has_prefix(*l, name)) {
            sum += g_ascii_strtod(value, NULL);
        }
    }
    reply_free(r);
    return sum;
}

static void
request_sound(void)
{
    double at = now_ms();
    struct reply *r =
        client_request(gateway, "GET", "/team/sound/a", NULL, NULL);

    sound_sent++;
    sound_served += r->status == 200;
    sound_slowest = MAX(sound_slowest, now_ms() - at);
    reply_free(r);
}

/* Requests of another client until RUN_MS have passed. */
static void
run_sound(void)
{
    double started_at = now_ms();

    while (now_ms() - started_at < RUN_MS) {
        request_sound();
        poll(NULL, 0, SOUND_INTERVAL_MS);
    }
}

/* Opens connections of clients that send @text and then nothing. */
static void
open_clients(int n, const char *text, size_t len)
{
    for (int i = 0; i < n; i++) {
        clients[i] = client_send(gateway, text, len);
        CU_ASSERT_TRUE(clients[i] >= 0);
    }
}

static void
close_clients(void)
{
    for (int i = 0; i < CLIENTS; i++) {
        if (clients[i] >= 0) {
            close(clients[i]);
        }
        clients[i] = -1;
    }
}

static bool
has_few_descriptors(void *data)
{
    return count_descriptors() < DESCRIPTORS / 4;
}

/* Checks what must hold at the end of each test. */
static void
finish(const char *name, double cpu, double memory)
{
    double lost;

    close_clients();
    lost = metric("ggw_peer_links_closed_total");

    printf("    %s: %d of %d other requests served, slowest %.0f ms; "
           "processor %.0f ms; peak memory %.0f of %.0f MiB; "
           "%.0f links to gateways closed; "
           "connections displaced: %.0f, refused requests: %.0f\n",
           name, sound_served, sound_sent, sound_slowest, cpu,
           peak_memory() / MIB, memory / MIB, lost,
           metric("ggw_clients_displaced_total"),
           metric("ggw_requests_total{outcome=\"not-run\","
                  "reason=\"too-many-requests\"}"));
    CU_ASSERT_EQUAL(sound_served, sound_sent);
    CU_ASSERT_EQUAL(lost, 0);
    CU_ASSERT_TRUE(peak_memory() < memory);
    CU_ASSERT_TRUE(client_await(has_few_descriptors, NULL, 10000));
    CU_ASSERT_TRUE(system_free(s));
}

/*
 * Guards against idle connections, or connections with a part of a request
 * head, that keep other clients from being served.
 */
static void
test_idle(void)
{
    static const char *const texts[] = {"", "GET /team/sound/a HTTP/1.1\r\n"};

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        double cpu;

        start_system();
        open_clients(CLIENTS, texts[i], strlen(texts[i]));
        cpu = cpu_ms();
        run_sound();
        cpu = cpu_ms() - cpu;
        CU_ASSERT_TRUE(cpu < IDLE_CPU * RUN_MS);
        finish(i == 0 ? "idle" : "heads", cpu, BASE_BYTES);
    }
}

/* Guards against bodies of requests that together fill the memory. */
static void
test_bodies(void)
{
    g_autofree char *head =
        g_strdup_printf("POST /team/sound/a HTTP/1.1\r\nHost: a\r\n"
                        "Content-Length: %d\r\n\r\n",
                        BODY_BYTES);
    g_autoptr(GString) text = g_string_new(head);
    double cpu;

    g_string_set_size(text, text->len + BODY_BYTES - 1);
    memset(text->str + strlen(head), 'x', BODY_BYTES - 1);
    start_system();
    cpu = cpu_ms();
    open_clients(80, text->str, text->len);
    run_sound();
    finish("bodies", cpu_ms() - cpu, BASE_BYTES + BODIES_BYTES);
}

/* Whether a response states that the request did not run, and when to retry.
 */
static bool
is_refusal(const struct reply *r)
{
    g_autofree char *outcome = NULL;
    g_autofree char *retry = NULL;

    if (r->status != 503) {
        return false;
    }
    outcome = reply_header(r, "Greengageway-Outcome");
    retry = reply_header(r, "Retry-After");
    return g_strcmp0(outcome, "not-run") == 0 && retry != NULL;
}

/*
 * Guards against requests to slow servers that are broken off, or refused
 * although they ran, when there are more than the gateway has descriptors.
 */
static void
test_slow_servers(void)
{
    int served = 0, refused = 0, other = 0;
    double started;
    double cpu;

    start_system();
    cpu = cpu_ms();
    for (int i = 0; i < CLIENTS; i++) {
        g_autofree char *text =
            g_strdup_printf("POST /team/slow/%d HTTP/1.1\r\nHost: a\r\n"
                            "Connection: close\r\nContent-Length: 0\r\n\r\n",
                            i);

        clients[i] = client_send(gateway, text, strlen(text));
    }
    for (int i = 0; i < CLIENTS; i++) {
        struct reply *r = client_read(clients[i]);

        clients[i] = -1;
        if (r->status == 200) {
            served++;
        }
        else if (is_refusal(r)) {
            refused++;
        }
        else {
            other++;
        }
        reply_free(r);
    }
    started = system_count_sum(s, "started", "slow", NULL);
    printf("    %d served, %d refused, %d others; %.0f started at servers\n",
           served, refused, other, started);
    CU_ASSERT_EQUAL(other, 0);
    CU_ASSERT_EQUAL(started, served);
    CU_ASSERT_TRUE(served >= DESCRIPTORS / 4);
    run_sound();
    finish("slow servers", cpu_ms() - cpu, BASE_BYTES);
}

/*
 * Guards against clients that do not read their responses and fill the memory,
 * or keep other clients from an answer. Their requests are in progress, so
 * that other clients are refused until some are cut.
 */
static void
test_slow_readers(void)
{
    static const char text[] = "GET /team/sound/body/8000000 HTTP/1.1\r\n"
                               "Host: a\r\n\r\n";
    int refused = 0, other = 0;
    double started_at, cpu;

    start_system();
    cpu = cpu_ms();
    open_clients(CLIENTS, text, strlen(text));
    started_at = now_ms();
    while (now_ms() - started_at < RUN_MS) {
        struct reply *r =
            client_request(gateway, "GET", "/team/sound/a", NULL, NULL);

        refused += is_refusal(r);
        other += !is_refusal(r) && r->status != 200;
        reply_free(r);
        poll(NULL, 0, SOUND_INTERVAL_MS);
    }
    printf("    %d refused, %d others\n", refused, other);
    CU_ASSERT_EQUAL(other, 0);
    CU_ASSERT_TRUE(refused > 2);
    close_clients();
    run_sound();
    finish("slow readers", cpu_ms() - cpu,
           BASE_BYTES + DESCRIPTORS / 2.0 * RESPONSE_BYTES);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"idle", test_idle},
        {"bodies", test_bodies},
        {"slow servers", test_slow_servers},
        {"slow readers", test_slow_readers},
        CU_TEST_INFO_NULL,
    };

    limit_quarantine();
    return suite_run("proof of many clients", tests);
}
