#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "common/histogram.h"
#include "common/metrics.h"
#include "config/config.h"
#include "config/vms.h"
#include "decide/owner.h"
#include "peers/peers.h"
#include "slots/slots.h"

/*
 * Measures the cost of links between gateways and of slot grants. All gateways
 * run alternately on one thread, so the CPU time of a remote grant is the sum
 * of both sides and latencies include the time that the other gateway runs.
 * Prints lines "name value unit".
 */

#define MAX_GATEWAYS 6
#define SERVERS 10
#define SLOTS 16

/* Stub of the service "proxy": keeps target_open slot requests open. */
struct client {
    struct ggw_service base;
    int open_requests;
    int target_open;
    uint64_t grants;
    ggw_ms sent_at; /* time of the last request */
    ggw_ms last_grant;
    ggw_ms longest_gap;
    struct ggw_histogram latency; /* only with one request at a time */
};

struct gateway {
    char name[16];
    struct ggw_kernel *kernel;
    struct ggw_service *peers;
    struct client client;
    bool paused;
};

static struct gateway gateways[MAX_GATEWAYS];
static int gateways_len;
static char service_name[16];

static ggw_ms
now_ms(void)
{
    return ggw_clock_now(ggw_clock_system());
}

static double
cpu_us(void)
{
    struct rusage u;

    getrusage(RUSAGE_SELF, &u);
    return (double)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1e6 +
           (double)(u.ru_utime.tv_usec + u.ru_stime.tv_usec);
}

static void
send_request(struct client *c)
{
    c->sent_at = now_ms();
    c->open_requests++;
    ggw_kernel_send(
        c->base.kernel, "slots", &c->base,
        ggw_slot_request_new("T", service_name, 1, c->sent_at + 5000, NULL));
}

static void
client_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct client *c = (struct client *)service;
    ggw_ms now = now_ms();

    if (message->ops == &ggw_slot_grant_ops) {
        struct ggw_slot_grant *g = (struct ggw_slot_grant *)message;

        c->grants++;
        if (c->target_open == 1) {
            ggw_histogram_add(&c->latency, now - c->sent_at);
        }
        c->longest_gap = MAX(c->longest_gap, now - c->last_grant);
        c->last_grant = now;
        ggw_kernel_send(
            service->kernel, "slots", service,
            ggw_slot_release_new(g->grant, GGW_ATTEMPT_OK, 0.1, NULL));
        c->open_requests--;
    }
    else if (message->ops == &ggw_slot_refuse_ops) {
        c->open_requests--;
    }
    while (c->open_requests < c->target_open) {
        send_request(c);
    }
}

static const struct ggw_service_ops client_ops = {
    .name = "proxy",
    .receive = client_receive,
};

static void
publish_settings(struct ggw_kernel *kernel)
{
    g_autofree char *json = g_strdup_printf(
        "{\"services\":{\"%s\":{\"slots\":%d,\"cold_ms\":100,\"kinds\":{}}}}",
        service_name, SLOTS);
    struct ggw_tree *tree = ggw_tree_parse("T", 1, json, NULL);
    g_autoptr(GString) list = g_string_new("{\"version\":1,\"vms\":[");
    struct ggw_vm_list *vms;

    for (int i = 0; i < SERVERS; i++) {
        g_string_append_printf(
            list,
            "%s{\"name\":\"s%d\",\"role\":\"backend_server\",\"team\":\"T\","
            "\"service\":\"%s\",\"failure_domain\":\"cairo-a\","
            "\"address\":\"127.0.0.1:9\",\"state\":\"live\"}",
            i > 0 ? "," : "", i, service_name);
    }
    g_string_append(list, "]}");
    vms = ggw_vm_list_parse(list->str, NULL);
    g_assert(tree != NULL && vms != NULL);
    ggw_kernel_publish(kernel, NULL, ggw_config_in_force_new(tree));
    ggw_kernel_publish(kernel, NULL, ggw_vms_changed_new(vms));
    ggw_tree_unref(tree);
    ggw_vm_list_unref(vms);
}

static void
add_gateway(bool with_slots)
{
    struct gateway *g = &gateways[gateways_len];
    g_autofree char *seed = g_strdup_printf(
        "127.0.0.1:%u",
        gateways_len > 0 ? ggw_peers_port(gateways[0].peers) : 1);
    char *seeds[] = {gateways_len > 0 ? seed : NULL, NULL};
    struct ggw_peers_options options = {
        .name = g->name,
        .failure_domain = "cairo-a",
        .listen_host = "127.0.0.1",
        .advertise_host = "127.0.0.1",
        .seeds = seeds,
    };

    memset(g, 0, sizeof(*g));
    snprintf(g->name, sizeof(g->name), "gw-%d", gateways_len++);
    g->kernel = ggw_kernel_new(ggw_clock_system());
    g->peers = ggw_peers_service_new(&options);
    g->client.base.ops = &client_ops;
    ggw_kernel_add(g->kernel, g->peers);
    ggw_kernel_add(g->kernel, &g->client.base);
    if (with_slots) {
        ggw_kernel_add(g->kernel,
                       ggw_slots_service_new(g->name, "cairo-a", 1));
    }
    if (!ggw_kernel_start(g->kernel, NULL)) {
        fprintf(stderr, "bench_peers: a gateway did not start\n");
        exit(1);
    }
    if (with_slots) {
        publish_settings(g->kernel);
    }
}

/* Polls all gateways that are not paused and runs their loops once. */
static void
run_once(void)
{
    struct pollfd fds[MAX_GATEWAYS];
    int timeout = 100;
    int n = 0;

    for (int i = 0; i < gateways_len; i++) {
        uv_loop_t *loop = ggw_kernel_loop(gateways[i].kernel);
        int t;

        if (gateways[i].paused) {
            continue;
        }
        uv_update_time(loop);
        t = uv_backend_timeout(loop);
        timeout = t >= 0 ? MIN(timeout, t) : timeout;
        fds[n].fd = uv_backend_fd(loop);
        fds[n++].events = POLLIN;
    }
    poll(fds, (nfds_t)n, timeout);
    for (int i = 0; i < gateways_len; i++) {
        if (!gateways[i].paused) {
            uv_run(ggw_kernel_loop(gateways[i].kernel), UV_RUN_NOWAIT);
        }
    }
}

static void
run_for(ggw_ms duration)
{
    ggw_ms end = now_ms() + duration;

    while (now_ms() < end) {
        run_once();
    }
}

static void
stop_gateways(void)
{
    for (int i = 0; i < gateways_len; i++) {
        ggw_kernel_destroy(gateways[i].kernel);
    }
    gateways_len = 0;
}

static void
bench_idle(void)
{
    const int n = MAX_GATEWAYS;
    const ggw_ms duration = 5000;
    uint64_t *sent = ggw_counter("ggw_peer_bytes_sent_total");
    uint64_t before;
    double cpu;

    for (int i = 0; i < n; i++) {
        add_gateway(false);
    }
    run_for(3000); /* until duplicate links have been closed */
    before = *sent;
    cpu = cpu_us();
    run_for(duration);
    printf("peers_idle_bytes_per_peer %.0f B/s\n",
           (double)(*sent - before) / n / (n - 1) / (duration / 1e3));
    printf("peers_idle_cpu_per_gateway %.3f %%\n",
           (cpu_us() - cpu) / n / (duration * 1e3) * 100);
    stop_gateways();
}

/* Sets service_name to a name whose owner of two gateways is this one. */
static void
choose_service_of(const char *owner)
{
    struct ggw_member members[2] = {
        {.name = (char *)"gw-0", .failure_domain = (char *)"cairo-a"},
        {.name = (char *)"gw-1", .failure_domain = (char *)"cairo-a"},
    };
    size_t i;

    for (int n = 0;; n++) {
        snprintf(service_name, sizeof(service_name), "S%d", n);
        i = ggw_owner_pick("T", service_name, "cairo-a", members, 2);
        if (strcmp(members[i].name, owner) == 0) {
            return;
        }
    }
}

/* Runs requests until the servers are warm and the links are stable. */
static void
warm_up(struct client *c, int target_open)
{
    c->target_open = 8;
    send_request(c);
    run_for(4000);
    c->target_open = 0;
    run_for(100);
    c->target_open = target_open;
    c->grants = 0;
}

static void
run_and_print(const char *name, struct client *c)
{
    uint64_t fallbacks = *ggw_counter("ggw_slots_fallback_grants_total");
    double cpu = cpu_us();

    send_request(c);
    run_for(3000);
    printf("%s_cpu %.2f us\n", name, (cpu_us() - cpu) / (double)c->grants);
    printf("%s_rate %.0f grants/s\n", name, (double)c->grants / 3);
    printf(
        "%s_fallbacks %.4f %%\n", name,
        (double)(*ggw_counter("ggw_slots_fallback_grants_total") - fallbacks) /
            (double)c->grants * 100);
}

static void
bench_local(void)
{
    snprintf(service_name, sizeof(service_name), "S");
    add_gateway(true);
    warm_up(&gateways[0].client, 8);
    run_and_print("grant_local", &gateways[0].client);
    stop_gateways();
}

static void
bench_remote(void)
{
    struct client *c = &gateways[0].client;

    choose_service_of("gw-1");
    add_gateway(true);
    add_gateway(true);
    warm_up(c, 8);
    run_and_print("grant_remote", c);
    stop_gateways();
    add_gateway(true);
    add_gateway(true);
    warm_up(c, 1);
    send_request(c);
    run_for(3000);
    printf("grant_remote_p50 %.3f ms\n",
           ggw_histogram_quantile(&c->latency, 0.5));
    printf("grant_remote_p99 %.3f ms\n",
           ggw_histogram_quantile(&c->latency, 0.99));
    stop_gateways();
}

/*
 * Measures the longest time without a grant while the owner is paused and
 * after it has resumed.
 */
static void
bench_paused(void)
{
    struct client *c = &gateways[0].client;

    choose_service_of("gw-1");
    add_gateway(true);
    add_gateway(true);
    warm_up(c, 4);
    send_request(c);
    run_for(500);
    c->longest_gap = 0;
    gateways[1].paused = true;
    run_for(3000);
    printf("grant_gap_owner_paused %.1f ms\n", c->longest_gap);
    c->longest_gap = 0;
    gateways[1].paused = false;
    run_for(3000);
    printf("grant_gap_owner_resumed %.1f ms\n", c->longest_gap);
    stop_gateways();
}

int
main(void)
{
    bench_idle();
    bench_local();
    bench_remote();
    bench_paused();
    ggw_metrics_fini();
    return 0;
}
