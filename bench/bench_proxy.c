/*
 * Measures the latency that the service "proxy" adds to a call, and the calls
 * per second through one process. Each client thread alternates between a
 * direct call and a call through the gateway, so that both run under the same
 * conditions. A stub grants slots at once, so the figures are those of "proxy"
 * alone.
 *
 * Usage: bench_proxy [CALLS_PER_THREAD]
 */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/histogram.h"
#include "config/config.h"
#include "proxy/proxy.h"
#include "slots/slots.h"

#define MAX_THREADS 32
#define BODY_LEN 256

static const char settings[] =
    "{\"services\":{\"svc\":{\"kinds\":{\"read\":{\"methods\":[\"GET\"],"
    "\"path_prefix\":\"/\",\"timeout_ms\":5000,\"priority\":1,"
    "\"idempotency\":\"idempotent\",\"attempts\":1}}}}}";

static uint16_t server_port;
static struct ggw_service *proxy;

/* Backend server, in its own thread. */

struct conn {
    uv_tcp_t tcp;
    char input[4096];
    size_t len;
};

static char response[512 + BODY_LEN];
static size_t response_len;
static uv_sem_t server_ready;
static uv_async_t server_stop;

static void
conn_free(uv_handle_t *handle)
{
    free(handle);
}

static void
write_done(uv_write_t *req, int status)
{
    free(req);
}

static void
conn_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    struct conn *c = (struct conn *)handle;

    *buf = uv_buf_init(c->input + c->len, sizeof(c->input) - 1 - c->len);
}

static void
conn_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    struct conn *c = (struct conn *)stream;
    uv_buf_t out = uv_buf_init(response, (unsigned)response_len);

    if (n < 0) {
        uv_close((uv_handle_t *)stream, conn_free);
        return;
    }
    c->len += (size_t)n;
    c->input[c->len] = '\0';
    if (strstr(c->input, "\r\n\r\n") != NULL) {
        c->len = 0; /* the clients do not pipeline */
        uv_write(calloc(1, sizeof(uv_write_t)), stream, &out, 1, write_done);
    }
}

static void
server_accept(uv_stream_t *stream, int status)
{
    struct conn *c = calloc(1, sizeof(*c));

    uv_tcp_init(stream->loop, &c->tcp);
    uv_accept(stream, (uv_stream_t *)&c->tcp);
    uv_tcp_nodelay(&c->tcp, 1);
    uv_read_start((uv_stream_t *)&c->tcp, conn_alloc, conn_read);
}

static void
server_stop_cb(uv_async_t *async)
{
    uv_stop(async->loop);
}

static void *
server_run(void *arg)
{
    uv_loop_t loop;
    uv_tcp_t tcp;
    struct sockaddr_in address;
    int len = sizeof(address);

    uv_loop_init(&loop);
    uv_async_init(&loop, &server_stop, server_stop_cb);
    uv_tcp_init(&loop, &tcp);
    uv_ip4_addr("127.0.0.1", 0, &address);
    uv_tcp_bind(&tcp, (struct sockaddr *)&address, 0);
    uv_listen((uv_stream_t *)&tcp, 1024, server_accept);
    uv_tcp_getsockname(&tcp, (struct sockaddr *)&address, &len);
    server_port = ntohs(address.sin_port);
    uv_sem_post(&server_ready);
    uv_run(&loop, UV_RUN_DEFAULT);
    return NULL;
}

/* Client threads. */

struct client {
    int calls;
    bool direct; /* also make direct calls to the server */
    struct ggw_histogram gateway;
    struct ggw_histogram server;
    struct ggw_histogram added;
    int failed;
};

static int
connect_to(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        perror("connect");
        exit(1);
    }
    return fd;
}

static ggw_ms
do_call(int fd, const char *request, int *failed)
{
    ggw_ms start = ggw_clock_now(ggw_clock_system());
    char buf[4096];
    size_t len = 0;
    const char *end = NULL;

    if (send(fd, request, strlen(request), MSG_NOSIGNAL) < 0) {
        (*failed)++;
        return 0;
    }
    while (end == NULL || len < (size_t)(end - buf) + 4 + BODY_LEN) {
        ssize_t n = recv(fd, buf + len, sizeof(buf) - 1 - len, 0);

        if (n <= 0) {
            (*failed)++;
            return 0;
        }
        len += (size_t)n;
        buf[len] = '\0';
        end = strstr(buf, "\r\n\r\n");
    }
    if (strncmp(buf, "HTTP/1.1 200", 12) != 0) {
        (*failed)++;
    }
    return ggw_clock_now(ggw_clock_system()) - start;
}

static void *
client_run(void *arg)
{
    struct client *c = arg;
    int gateway = connect_to(ggw_proxy_port(proxy));
    int server = c->direct ? connect_to(server_port) : -1;

    for (int i = 0; i < c->calls; i++) {
        ggw_ms via_gateway =
            do_call(gateway, "GET /team/svc/a HTTP/1.1\r\nHost: h\r\n\r\n",
                    &c->failed);

        ggw_histogram_add(&c->gateway, via_gateway);
        if (c->direct) {
            ggw_ms direct = do_call(
                server, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", &c->failed);

            ggw_histogram_add(&c->server, direct);
            ggw_histogram_add(&c->added, via_gateway - direct);
        }
    }
    close(gateway);
    if (server >= 0) {
        close(server);
    }
    return NULL;
}

static void
histogram_merge(struct ggw_histogram *to, const struct ggw_histogram *from)
{
    for (size_t i = 0; i < GGW_HISTOGRAM_LEN; i++) {
        to->buckets[i] += from->buckets[i];
    }
    to->count += from->count;
    to->sum += from->sum;
}

/* CPU time of the whole process in ms. */
static ggw_ms
process_cpu_ms(void)
{
    struct timespec t;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return (ggw_ms)t.tv_sec * 1e3 + (ggw_ms)t.tv_nsec / 1e6;
}

static void
run_round(int threads, int calls, bool direct)
{
    static struct client clients[MAX_THREADS];
    pthread_t ids[MAX_THREADS];
    struct ggw_histogram gateway = {0}, server = {0}, added = {0};
    ggw_ms start, end, cpu;
    int failed = 0;

    memset(clients, 0, sizeof(clients));
    start = ggw_clock_now(ggw_clock_system());
    cpu = process_cpu_ms();
    for (int i = 0; i < threads; i++) {
        clients[i].calls = calls;
        clients[i].direct = direct;
        pthread_create(&ids[i], NULL, client_run, &clients[i]);
    }
    for (int i = 0; i < threads; i++) {
        pthread_join(ids[i], NULL);
        histogram_merge(&gateway, &clients[i].gateway);
        histogram_merge(&server, &clients[i].server);
        histogram_merge(&added, &clients[i].added);
        failed += clients[i].failed;
    }
    end = ggw_clock_now(ggw_clock_system());
    cpu = process_cpu_ms() - cpu;
    if (direct) {
        printf("proxy_%d_direct_p50 %.3f ms\n", threads,
               ggw_histogram_quantile(&server, 0.5));
        printf("proxy_%d_direct_p99 %.3f ms\n", threads,
               ggw_histogram_quantile(&server, 0.99));
        printf("proxy_%d_added_p50 %.3f ms\n", threads,
               ggw_histogram_quantile(&added, 0.5));
        printf("proxy_%d_added_p99 %.3f ms\n", threads,
               ggw_histogram_quantile(&added, 0.99));
    }
    else {
        printf("proxy_%d_calls %.0f calls/s\n", threads,
               (double)gateway.count / ((end - start) / 1e3));
        printf("proxy_%d_process_cpu %.1f us/call\n", threads,
               cpu * 1e3 / (double)gateway.count);
    }
    printf("proxy_%d_gateway_p50 %.3f ms\n", threads,
           ggw_histogram_quantile(&gateway, 0.5));
    printf("proxy_%d_gateway_p99 %.3f ms\n", threads,
           ggw_histogram_quantile(&gateway, 0.99));
    if (failed > 0) {
        fprintf(stderr, "%d calls failed\n", failed);
        exit(1);
    }
}

/* Stub of the service "slots": grants each request at once. */

static void
slots_receive(struct ggw_service *service, struct ggw_message *m)
{
    if (m->ops == &ggw_slot_request_ops) {
        ggw_kernel_reply(service, m,
                         ggw_slot_grant_new(1, "s0", "fd-a", "127.0.0.1",
                                            server_port, 200));
    }
}

static const struct ggw_service_ops slots_ops = {
    .name = "slots",
    .receive = slots_receive,
};

static struct ggw_kernel *kernel;
static uv_async_t gateway_stop;
static uv_sem_t gateway_ready;

static void
gateway_stop_cb(uv_async_t *async)
{
    uv_close((uv_handle_t *)async, NULL);
    ggw_kernel_stop(kernel);
}

static bool
driver_start(struct ggw_service *service, GError **error)
{
    struct ggw_tree *tree = ggw_tree_parse("team", 1, settings, error);

    if (tree == NULL) {
        return false;
    }
    ggw_kernel_publish(kernel, service, ggw_config_in_force_new(tree));
    ggw_tree_unref(tree);
    uv_async_init(ggw_kernel_loop(kernel), &gateway_stop, gateway_stop_cb);
    uv_sem_post(&gateway_ready);
    return true;
}

static void
driver_receive(struct ggw_service *service, struct ggw_message *m)
{
}

static const struct ggw_service_ops driver_ops = {
    .name = "driver",
    .start = driver_start,
    .receive = driver_receive,
};

static void *
gateway_run(void *arg)
{
    GError *error = NULL;

    if (!ggw_kernel_run(kernel, &error)) {
        fprintf(stderr, "%s\n", error->message);
        exit(1);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    static struct ggw_service slots = {.ops = &slots_ops};
    static struct ggw_service driver = {.ops = &driver_ops};
    const struct ggw_proxy_options options = {
        .name = "gw",
        .failure_domain = "fd-a",
        .listen_host = "127.0.0.1",
        .max_age = 100,
        .drain = 100,
    };
    int calls = argc > 1 ? atoi(argv[1]) : 20000;
    pthread_t server, gateway;

    response_len = (size_t)snprintf(
        response, sizeof(response),
        "HTTP/1.1 200 OK\r\nBackend-Load: slots=2; busy=1; queue=0; cold=0; "
        "draining=0; incarnation=1\r\nContent-Length: %d\r\n\r\n",
        BODY_LEN);
    memset(response + response_len, 'x', BODY_LEN);
    response_len += BODY_LEN;
    uv_sem_init(&server_ready, 0);
    uv_sem_init(&gateway_ready, 0);
    pthread_create(&server, NULL, server_run, NULL);
    uv_sem_wait(&server_ready);
    kernel = ggw_kernel_new(ggw_clock_system());
    proxy = ggw_proxy_service_new(&options);
    ggw_kernel_add(kernel, proxy);
    ggw_kernel_add(kernel, &slots);
    ggw_kernel_add(kernel, &driver);
    pthread_create(&gateway, NULL, gateway_run, NULL);
    uv_sem_wait(&gateway_ready);
    run_round(1, calls / 4, true);
    run_round(8, calls, true);
    run_round(1, calls / 4, false);
    run_round(16, calls, false);
    uv_async_send(&gateway_stop);
    pthread_join(gateway, NULL);
    uv_async_send(&server_stop);
    pthread_join(server, NULL);
    ggw_kernel_destroy(kernel);
    return 0;
}
