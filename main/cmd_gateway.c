#include "main/cmd_gateway.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "claims/claims.h"
#include "common/address.h"
#include "common/log.h"
#include "common/metrics.h"
#include "common/options.h"
#include "config/config.h"
#include "config/vms.h"
#include "customers/allotments.h"
#include "kernel/kernel.h"
#include "main/daemon.h"
#include "peers/peers.h"
#include "platform/platform.h"
#include "proxy/proxy.h"
#include "slots/slots.h"

struct gateway_options {
    char *name;
    char *failure_domain;
    struct ggw_address listen;
    struct ggw_address advertise;
    struct ggw_address peer_listen;
    struct ggw_address platform;
    char *vm_list;
    char **seeds;
    char *log_level;
    double keep_ms;
    double drain_ms;
    double poll_ms;
};

/*
 * Time in ms from the start until the gateway reports ready. When all gateways
 * start at once, every backend server counts as cold and is granted no request
 * during the hold-down of 1 s (design.md 5.1); earlier requests would queue.
 */
#define READY_DELAY_MS 1500.0

#define FIELD(field) offsetof(struct gateway_options, field)

static const struct ggw_option options[] = {
    {"name", GGW_OPTION_TEXT, "NAME", NULL, 0, 0, FIELD(name),
     "name of this gateway's VM, as the platform lists it"},
    {"failure-domain", GGW_OPTION_TEXT, "NAME", NULL, 0, 0,
     FIELD(failure_domain), "failure domain of this gateway"},
    {"listen", GGW_OPTION_ADDRESS, "IP:PORT", NULL, 0, 0, FIELD(listen),
     "address to listen on for clients"},
    {"advertise", GGW_OPTION_ADDRESS, "IP:PORT", "0.0.0.0:0", 0, 0,
     FIELD(advertise),
     "address advertised to clients; with port 0, the address of --listen"},
    {"peer-listen", GGW_OPTION_ADDRESS, "IP:PORT", NULL, 0, 0,
     FIELD(peer_listen), "address to listen on for other gateways"},
    {"platform", GGW_OPTION_ADDRESS, "IP:PORT", NULL, 0, 0, FIELD(platform),
     "address of the platform's table service and object store"},
    {"vm-list", GGW_OPTION_TEXT, "BUCKET/KEY", "platform/vms.json", 0, 0,
     FIELD(vm_list), "object that holds the platform's list of VMs"},
    {"seeds", GGW_OPTION_LIST, "IP:PORT,...", "", 0, 0, FIELD(seeds),
     "peer addresses of other gateways, in addition to the list of VMs"},
    {"log-level", GGW_OPTION_TEXT, "LEVEL", "info", 0, 0, FIELD(log_level),
     "error, warn, info or debug"},
    {"keep-ms", GGW_OPTION_NUMBER, "MS", "2000", 100, 60000, FIELD(keep_ms),
     "time for which clients may cache the addresses of gateways"},
    {"drain-ms", GGW_OPTION_NUMBER, "MS", "60000", 0, 3600000, FIELD(drain_ms),
     "longest wait for requests in progress at shutdown"},
    {"poll-ms", GGW_OPTION_NUMBER, "MS", "500", 50, 60000, FIELD(poll_ms),
     "interval at which the settings and the list of VMs are polled"},
    {.name = NULL},
};

static void
add_services(struct ggw_kernel *kernel, const struct gateway_options *s,
             uint64_t incarnation)
{
    const struct ggw_address *advertise =
        s->advertise.port != 0 ? &s->advertise : &s->listen;
    const struct ggw_peers_options peers = {
        .name = s->name,
        .failure_domain = s->failure_domain,
        .listen_host = s->peer_listen.host,
        .listen_port = s->peer_listen.port,
        .advertise_host = advertise->host,
        .advertise_port = advertise->port,
        .seeds = s->seeds,
    };
    const struct ggw_proxy_options proxy = {
        .name = s->name,
        .failure_domain = s->failure_domain,
        .listen_host = s->listen.host,
        .listen_port = s->listen.port,
        .advertise_host = advertise->host,
        .advertise_port = advertise->port,
        .incarnation = incarnation,
        .ready_after = READY_DELAY_MS,
        .max_age = s->keep_ms,
        .drain = s->drain_ms,
    };

    ggw_kernel_add(
        kernel, ggw_platform_service_new(s->platform.host, s->platform.port));
    ggw_kernel_add(kernel, ggw_config_service_new(s->poll_ms));
    ggw_kernel_add(kernel, ggw_vms_service_new(s->vm_list, s->poll_ms));
    ggw_kernel_add(kernel, ggw_peers_service_new(&peers));
    ggw_kernel_add(kernel, ggw_slots_service_new(s->name, s->failure_domain,
                                                 (uint32_t)incarnation));
    ggw_kernel_add(kernel, ggw_claims_service_new(s->name, incarnation));
    ggw_kernel_add(kernel, ggw_allotments_service_new(s->name));
    ggw_kernel_add(kernel, ggw_proxy_service_new(&proxy));
}

int
ggw_cmd_gateway(int argc, char **argv)
{
    struct gateway_options s = {0};
    g_autoptr(GError) error = NULL;
    struct ggw_kernel *kernel = NULL;
    struct ggw_daemon daemon = {0};
    uint64_t incarnation;
    int status = 2;

    if (!ggw_options_parse(options, "Runs one gateway until SIGTERM.", argc,
                           argv, &s, &error) ||
        !ggw_log_init(s.log_level, &error)) {
        fprintf(stderr, "greengageway gateway: %s\n", error->message);
        goto done;
    }
    kernel = ggw_kernel_new(ggw_clock_system());
    incarnation = (uint64_t)ggw_clock_wall(ggw_clock_system());
    add_services(kernel, &s, incarnation);
    ggw_daemon_start(&daemon, kernel);
    ggw_log_info("main",
                 "gateway %s starts in failure domain %s, incarnation "
                 "%" G_GUINT64_FORMAT,
                 s.name, s.failure_domain, (guint64)incarnation);
    status = 0;
    if (!ggw_kernel_run(kernel, &error)) {
        ggw_log_error("main", "%s", error->message);
        status = 1;
    }
    ggw_daemon_close(&daemon);
    uv_run(ggw_kernel_loop(kernel), UV_RUN_DEFAULT);
    ggw_kernel_destroy(kernel);
    ggw_log_info("main", "gateway %s has stopped", s.name);
done:
    ggw_options_clear(options, &s);
    ggw_metrics_fini();
    ggw_log_fini();
    return status;
}
