#include "main/cmd_node.h"

#include <signal.h>
#include <stdio.h>

#include "common/log.h"
#include "common/metrics.h"
#include "common/options.h"
#include "config/config.h"
#include "kernel/kernel.h"
#include "main/daemon.h"
#include "peers/peers.h"
#include "platform/dialect.h"
#include "platform/pages.h"
#include "platform/settings.h"
#include "platform/site.h"
#include "proxy/proxy.h"
#include "slots/slots.h"

/*
 * Clients keep an answer of the directory for this time, and some of them
 * KEEP_FACTOR times as long.
 */
#define KEEP_MS 1000.0
#define KEEP_FACTOR 3

/* Time between the last answer's end and the closing of the listener. */
#define LEAVE_MARGIN_MS 200.0

/*
 * Servers end their work at the deadline and answer 504 themselves. A gateway
 * that gave up at the same moment would cut some of them off before it.
 */
#define DEADLINE_GRACE_MS 100.0

/*
 * A request taken later than this after SIGTERM might be cut at the end, when
 * its server needs long; the client is served better elsewhere at once.
 */
#define TAKE_MS 2900.0

/* The process ends this long before the platform would kill it. */
#define GRACE_MARGIN_MS 500.0

struct options {
    char *settings;
    char *log_level;
};

#define FIELD(field) offsetof(struct options, field)

static const struct ggw_option options[] = {
    {"settings", GGW_OPTION_TEXT, "PATH", NULL, 0, 0, FIELD(settings),
     "settings file that the platform writes"},
    {"log-level", GGW_OPTION_TEXT, "LEVEL", "info", 0, 0, FIELD(log_level),
     "error, warn, info or debug"},
    {.name = NULL},
};

static void
add_services(struct ggw_kernel *kernel, const struct ggw_node_settings *s,
             uint64_t incarnation)
{
    ggw_ms keep = MIN(KEEP_MS, s->keep_max);
    ggw_ms leave_wait = KEEP_FACTOR * keep + LEAVE_MARGIN_MS;
    const struct ggw_peers_options peers = {
        .name = s->name,
        .failure_domain = s->failure_domain,
        .listen_host = s->peers.host,
        .listen_port = s->peers.port,
        .advertise_host = s->front.host,
        .advertise_port = s->front.port,
        .seeds = s->seeds,
        .capacity = s->capacity,
    };
    const struct ggw_proxy_options proxy = {
        .name = s->name,
        .failure_domain = s->failure_domain,
        .listen_host = s->front.host,
        .listen_port = s->front.port,
        .incarnation = incarnation,
        .keep = keep,
        .leave_listen = leave_wait,
        .leave_accept = MIN(TAKE_MS, leave_wait),
        .deadline_grace = DEADLINE_GRACE_MS,
        .drain = MAX(s->grace - leave_wait - GRACE_MARGIN_MS, 0),
        .dialect = &ggw_site_dialect,
        .half_close_disconnects = true,
    };

    ggw_kernel_add(kernel, ggw_site_service_new(s));
    ggw_kernel_add(kernel, ggw_config_service_new(0));
    ggw_kernel_add(kernel, ggw_peers_service_new(&peers));
    ggw_kernel_add(kernel, ggw_slots_service_new(s->name, s->failure_domain,
                                                 (uint32_t)incarnation));
    ggw_kernel_add(kernel, ggw_proxy_service_new(&proxy));
    ggw_kernel_add(kernel, ggw_pages_service_new(s, keep));
}

/* What the process runs with, and where the file is read again. */
struct reload {
    const char *path;
    const struct ggw_node_settings *settings;
};

/*
 * The platform changes the file before a restart. A file that a start would
 * refuse is reported now, while the gateway still runs.
 */
static void
reload(void *data)
{
    const struct reload *r = data;
    g_autoptr(GError) error = NULL;
    struct ggw_node_settings *s = ggw_node_settings_read(r->path, &error);
    g_autofree char *changed =
        s != NULL ? ggw_node_settings_changed(r->settings, s) : NULL;

    if (s == NULL) {
        ggw_log_error("main", "%s; the last settings stay in use",
                      error->message);
        return;
    }
    if (changed != NULL) {
        ggw_log_warn("main", "%s: changed: %s; in use from the next start on",
                     r->path, changed);
    }
    else {
        ggw_log_info("main", "%s is read again, nothing has changed", r->path);
    }
    ggw_node_settings_free(s);
}

int
ggw_cmd_node(int argc, char **argv)
{
    struct options o = {0};
    struct ggw_node_settings *s = NULL;
    g_autoptr(GError) error = NULL;
    struct ggw_kernel *kernel;
    struct reload reloaded;
    struct ggw_daemon daemon = {.reload = reload, .data = &reloaded};
    uint64_t incarnation;
    int status = 2;

    if (!ggw_options_parse(options,
                           "Runs one gateway on the platform until SIGTERM.",
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
    reloaded = (struct reload){o.settings, s};
    kernel = ggw_kernel_new(ggw_clock_system());
    incarnation = (uint64_t)ggw_clock_wall(ggw_clock_system());
    add_services(kernel, s, incarnation);
    ggw_daemon_start(&daemon, kernel);
    ggw_log_info("main",
                 "gateway %s starts in %s, incarnation %" G_GUINT64_FORMAT,
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
