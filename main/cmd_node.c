#include "main/cmd_node.h"

#include <malloc.h>
#include <signal.h>
#include <stdio.h>

#include "common/log.h"
#include "common/metrics.h"
#include "common/options.h"
#include "config/config.h"
#include "customers/allotments.h"
#include "decide/drain.h"
#include "kernel/kernel.h"
#include "main/daemon.h"
#include "peers/peers.h"
#include "platform/dialect.h"
#include "platform/pages.h"
#include "platform/platform.h"
#include "platform/rollouts.h"
#include "platform/settings.h"
#include "platform/site.h"
#include "proxy/proxy.h"
#include "rollouts/rollouts.h"
#include "slots/slots.h"

/*
 * Time for which clients may cache a directory response. Some clients use it
 * STALE_FACTOR times as long.
 */
#define DIRECTORY_MAX_AGE_MS 1000.0
#define STALE_FACTOR 3

/*
 * Time after a request's deadline in which the gateway still waits for the
 * response. Backend servers stop at the deadline and respond with 504
 * themselves; a gateway that gave up at the same moment would cut off some of
 * these responses.
 */
#define DEADLINE_GRACE_MS 100.0

/*
 * Blocks from this size on are given back to the system as soon as they are
 * freed, bytes. Without a fixed value, the C library raises it up to 32 MiB.
 */
#define MMAP_THRESHOLD (1 << 20)

struct node_options {
    char *settings;
    char *log_level;
    double hedge_work_percent;
};

#define FIELD(field) offsetof(struct node_options, field)

static const struct ggw_option options[] = {
    {"settings", GGW_OPTION_TEXT, "PATH", NULL, 0, 0, FIELD(settings),
     "settings file written by the platform"},
    {"log-level", GGW_OPTION_TEXT, "LEVEL", "info", 0, 0, FIELD(log_level),
     "error, warn, info or debug"},
    {"hedge-work-percent", GGW_OPTION_NUMBER, "PERCENT", "0", 0, 50,
     FIELD(hedge_work_percent),
     "slot time that hedged requests may take over all gateways, in percent "
     "of that of other requests; 0: not limited"},
    {.name = NULL},
};

static void
add_rollouts(struct ggw_kernel *kernel, const struct ggw_node_settings *s)
{
    const struct ggw_rollouts_options rollouts = {
        .self = s->name,
        .failure_domain = s->failure_domain,
        .exposure_percent = s->exposure_percent,
        .exposure_slack = s->exposure_slack,
        .rollback_limit = s->rollback_limit,
    };

    ggw_kernel_add(kernel,
                   ggw_platform_service_new(s->store.host, s->store.port));
    ggw_kernel_add(kernel, ggw_rollout_rows_service_new());
    ggw_kernel_add(kernel, ggw_rollouts_service_new(&rollouts));
}

static void
add_services(struct ggw_kernel *kernel, const struct ggw_node_settings *s,
             uint64_t incarnation)
{
    ggw_ms max_age = MIN(DIRECTORY_MAX_AGE_MS, s->max_age_limit);
    struct ggw_drain_plan plan =
        ggw_drain_plan(s->grace, STALE_FACTOR * max_age);
    const struct ggw_peers_options peers = {
        .name = s->name,
        .failure_domain = s->failure_domain,
        .listen_host = s->peers.host,
        .listen_port = s->peers.port,
        .advertise_host = s->front.host,
        .advertise_port = s->front.port,
        .seeds = s->seeds,
        .capacity = s->capacity,
        .descriptors = ggw_node_settings_sockets(s),
    };
    const struct ggw_proxy_options proxy = {
        .name = s->name,
        .failure_domain = s->failure_domain,
        .listen_host = s->front.host,
        .listen_port = s->front.port,
        .incarnation = incarnation,
        .max_age = max_age,
        .leave_listen = plan.listen,
        .leave_accept = plan.accept,
        .deadline_grace = DEADLINE_GRACE_MS,
        .drain = plan.end - plan.listen,
        .dialect = &ggw_site_dialect,
        .half_close_disconnects = true,
        .pages_apart = true,
        .pages_port = s->control.port,
        .memory = ggw_node_settings_memory(s),
        .descriptors = ggw_node_settings_sockets(s),
    };
    struct ggw_service *proxy_service;

    ggw_kernel_add(kernel, ggw_site_service_new(s));
    ggw_kernel_add(kernel, ggw_config_service_new(0));
    ggw_kernel_add(kernel, ggw_peers_service_new(&peers));
    ggw_kernel_add(kernel, ggw_slots_service_new(s->name, s->failure_domain,
                                                 (uint32_t)incarnation));
    ggw_kernel_add(kernel, ggw_allotments_service_new(s->name));
    proxy_service = ggw_proxy_service_new(&proxy);
    ggw_kernel_add(kernel, proxy_service);
    ggw_kernel_add(kernel, ggw_pages_service_new(s, max_age, proxy_service));
    if (s->rollouts) {
        add_rollouts(kernel, s);
    }
}

/* Argument of reload(). */
struct reload_data {
    const char *path;                         /* of the settings file */
    const struct ggw_node_settings *settings; /* settings in use */
};

/*
 * Checks the settings file at SIGHUP and logs the result without applying it.
 * The platform changes the file before a restart, so a file that the next
 * start would reject is reported while the gateway still runs.
 */
static void
reload(void *data)
{
    const struct reload_data *r = data;
    g_autoptr(GError) error = NULL;
    struct ggw_node_settings *s = ggw_node_settings_read(r->path, &error);
    g_autofree char *changed =
        s != NULL ? ggw_node_settings_changed(r->settings, s) : NULL;

    if (s == NULL) {
        ggw_log_error("main", "%s; the current settings stay in use",
                      error->message);
        return;
    }
    if (changed != NULL) {
        ggw_log_warn(
            "main",
            "%s: changed fields: %s; they take effect at the next start",
            r->path, changed);
    }
    else {
        ggw_log_info("main", "%s: read again, no field has changed", r->path);
    }
    ggw_node_settings_free(s);
}

int
ggw_cmd_node(int argc, char **argv)
{
    struct node_options o = {0};
    struct ggw_node_settings *s = NULL;
    g_autoptr(GError) error = NULL;
    struct ggw_kernel *kernel;
    struct reload_data reload_data;
    struct ggw_daemon daemon = {.reload = reload, .data = &reload_data};
    uint64_t incarnation;
    int status = 2;

    if (!ggw_options_parse(options,
                           "Runs one gateway from the platform's settings "
                           "file until SIGTERM.",
                           argc, argv, &o, &error) ||
        !ggw_log_init(o.log_level, &error)) {
        fprintf(stderr, "greengageway node: %s\n", error->message);
        goto done;
    }
    s = ggw_node_settings_read(o.settings, &error);
    if (s == NULL) {
        ggw_log_error("main", "%s", error->message);
        goto done;
    }
    s->hedge_work_percent = o.hedge_work_percent;
    reload_data = (struct reload_data){o.settings, s};
    if (s->memory > 0) {
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD);
    }
    kernel = ggw_kernel_new(ggw_clock_system());
    incarnation = (uint64_t)ggw_clock_wall(ggw_clock_system());
    add_services(kernel, s, incarnation);
    ggw_daemon_start(&daemon, kernel);
    ggw_log_info("main",
                 "gateway %s starts in failure domain %s, incarnation "
                 "%" G_GUINT64_FORMAT,
                 s->name, s->failure_domain, (guint64)incarnation);
    status = 0;
    if (!ggw_kernel_run(kernel, &error)) {
        ggw_log_error("main", "%s", error->message);
        status = 1;
    }
    ggw_daemon_close(&daemon);
    uv_run(ggw_kernel_loop(kernel), UV_RUN_DEFAULT);
    ggw_kernel_destroy(kernel);
    ggw_log_info("main", "gateway %s has stopped", s->name);
done:
    ggw_node_settings_free(s);
    ggw_options_clear(options, &o);
    ggw_metrics_fini();
    ggw_log_fini();
    return status;
}
