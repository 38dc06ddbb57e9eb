#include "proxy/proxy.h"

#include <math.h>
#include <signal.h>
#include <string.h>

#include "common/log.h"
#include "common/metrics.h"
#include "proxy/state.h"
#include "rollouts/status.h"

#define PART "proxy"

/* Defaults of options that are 0. */
#define HEAD_TIMEOUT_MS 10000
#define PROGRESS_TIMEOUT_MS 5000

/*
 * How long the listener stays open after cached entry responses have expired,
 * for clients whose clocks run slow.
 */
#define LEAVE_MARGIN_MS 1000

/* Interval of the steps of the shutdown. */
#define SHUTDOWN_POLL_MS 20

/*
 * The service "claims" writes the outcome of an order after the response was
 * sent; the kernel runs for this long after the last CLAIM_SETTLE so that the
 * outcome is written.
 */
#define SETTLE_GRACE_MS 500

static struct ggw_proxy *
self(struct ggw_service *service)
{
    return (struct ggw_proxy *)service;
}

static void
on_request(void *data, struct ggw_exchange *x)
{
    ggw_request_dispatch(data, x);
}

static bool
proxy_start(struct ggw_service *service, GError **error)
{
    struct ggw_proxy *p = self(service);
    uv_loop_t *loop = ggw_kernel_loop(service->kernel);
    struct ggw_listener_options options = {
        .host = p->options.listen_host,
        .port = p->options.listen_port,
        .head_timeout = p->options.head_timeout,
        .idle_timeout = p->options.client_idle_timeout,
        .progress_timeout = p->options.client_progress_timeout,
        .half_close_disconnects = p->options.half_close_disconnects,
        .memory = p->options.memory,
        .descriptors = p->options.descriptors,
        .request = on_request,
        .data = p,
    };

    signal(SIGPIPE, SIG_IGN); /* raised by a write to a closed connection */
    p->listener = ggw_listener_new(loop, &options);
    p->memory = ggw_listener_memory(p->listener);
    p->pools = ggw_pools_new(loop);
    ggw_pools_limit(p->pools, p->memory->passed, p->memory->server_buffer);
    uv_timer_init(loop, &p->shutdown_timer);
    p->shutdown_timer.data = p;
    p->started = true;
    p->started_at = ggw_kernel_now(service->kernel);
    p->added_latency = ggw_metric_histogram("ggw_added_ms");
    p->slot_wait = ggw_metric_histogram("ggw_slot_wait_ms");
    if (!ggw_listener_start(p->listener, error)) {
        return false;
    }
    ggw_log_info(PART, "listening on %s:%u", p->options.listen_host,
                 (unsigned)ggw_listener_port(p->listener));
    return true;
}

static void
record_routes(struct ggw_proxy *p, struct ggw_tree *tree)
{
    struct ggw_route_history *h =
        g_hash_table_lookup(p->histories, tree->team);

    if (h == NULL) {
        h = ggw_route_history_new();
        g_hash_table_insert(p->histories, g_strdup(tree->team), h);
    }
    ggw_route_history_record(h, tree);
}

/* Follows the largest body that any team's settings allow. */
static void
update_body_limit(struct ggw_proxy *p)
{
    GHashTableIter iter;
    gpointer value;
    int max = 0;

    g_hash_table_iter_init(&iter, p->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ggw_tree *tree = value;

        max = MAX(max, tree->body_max);
    }
    ggw_listener_limit_body(p->listener, (size_t)max);
}

static void
on_config(struct ggw_proxy *p, struct ggw_config_in_force *m)
{
    const struct ggw_tree *old = g_hash_table_lookup(p->teams, m->tree->team);

    if (old != NULL && old->revision >= m->tree->revision) {
        return;
    }
    g_hash_table_replace(p->teams, g_strdup(m->tree->team),
                         ggw_tree_ref(m->tree));
    record_routes(p, m->tree);
    update_body_limit(p);
}

static void
on_members(struct ggw_proxy *p, struct ggw_members_changed *m)
{
    if (p->members != NULL) {
        p->members->base.ops->destroy(&p->members->base);
    }
    p->members = ggw_members_changed_copy(m);
}

static void
on_vms(struct ggw_proxy *p, struct ggw_vms_changed *m)
{
    if (p->vms != NULL) {
        ggw_vm_list_unref(p->vms);
    }
    p->vms = ggw_vm_list_ref(m->list);
    ggw_pools_trim(p->pools, ggw_kernel_now(p->base.kernel));
}

/* Stops the kernel once no request or connection is left, or at the end. */
static void
check_drained(struct ggw_proxy *p, ggw_ms now)
{
    bool late = now >= p->drain_end;

    if (p->requests > 0 || ggw_listener_connections(p->listener) > 0) {
        if (!late) {
            return;
        }
        ggw_log_warn(PART,
                     "drain timeout: closing %u requests and %u "
                     "connections",
                     p->requests, ggw_listener_connections(p->listener));
    }
    else if (p->last_settle > 0 && now - p->last_settle < SETTLE_GRACE_MS &&
             !late) {
        return;
    }
    ggw_log_info(PART, "drained, stopping");
    uv_timer_stop(&p->shutdown_timer);
    ggw_kernel_stop(p->base.kernel);
}

static void
shutdown_cb(uv_timer_t *timer)
{
    struct ggw_proxy *p = timer->data;
    ggw_ms now = ggw_kernel_now(p->base.kernel);

    ggw_requests_refuse_unfinishable(p);
    if (now < p->listen_until) {
        return;
    }
    if (!p->listener_closed) {
        p->listener_closed = true;
        ggw_log_info(PART, "closing listener, %u requests in progress",
                     p->requests);
        ggw_listener_drain(p->listener);
        return;
    }
    check_drained(p, now);
}

static void
on_shutdown(struct ggw_proxy *p)
{
    ggw_ms now = ggw_kernel_now(p->base.kernel);

    if (p->leaving) {
        return;
    }
    ggw_log_info(PART,
                 "shutting down, listener closes in %.0f ms, requests are cut "
                 "in %.0f ms",
                 p->options.leave_listen,
                 p->options.leave_listen + p->options.drain);
    p->leaving = true;
    p->accept_until =
        p->options.leave_accept > 0 ? now + p->options.leave_accept : INFINITY;
    p->listen_until = now + p->options.leave_listen;
    p->drain_end = p->listen_until + p->options.drain;
    ggw_listener_disable_keepalive(p->listener);
    uv_timer_start(&p->shutdown_timer, shutdown_cb, SHUTDOWN_POLL_MS,
                   SHUTDOWN_POLL_MS);
}

static void
proxy_receive(struct ggw_service *service, struct ggw_message *m)
{
    struct ggw_proxy *p = self(service);
    struct ggw_request *r;

    if (p->stopped) {
        return;
    }
    if (m->ops == &ggw_slot_grant_ops || m->ops == &ggw_slot_refuse_ops) {
        /*
         * An answer that no request waits for has crossed a SLOT_CANCEL;
         * "slots" releases the slot itself.
         */
        r = g_hash_table_lookup(p->slot_waits, &m->tag);
        if (r != NULL && m->ops == &ggw_slot_grant_ops) {
            ggw_request_granted(r, (struct ggw_slot_grant *)m);
        }
        else if (r != NULL) {
            ggw_request_refused(r, (struct ggw_slot_refuse *)m);
        }
    }
    else if (m->ops == &ggw_claim_result_ops) {
        r = g_hash_table_lookup(p->claim_waits, &m->tag);
        if (r != NULL) {
            ggw_request_claimed(r, (struct ggw_claim_result *)m);
        }
    }
    else if (m->ops == &ggw_allotment_result_ops) {
        r = g_hash_table_lookup(p->allotment_waits, &m->tag);
        if (r != NULL) {
            ggw_request_allotted(r, (struct ggw_allotment_result *)m);
        }
    }
    else if (m->ops == &ggw_allotments_status_ops) {
        json_decref(p->customers);
        p->customers = json_incref(((struct ggw_allotments_status *)m)->json);
    }
    else if (m->ops == &ggw_config_in_force_ops) {
        on_config(p, (struct ggw_config_in_force *)m);
    }
    else if (m->ops == &ggw_members_changed_ops) {
        on_members(p, (struct ggw_members_changed *)m);
    }
    else if (m->ops == &ggw_vms_changed_ops) {
        on_vms(p, (struct ggw_vms_changed *)m);
    }
    else if (m->ops == &ggw_rollouts_status_ops) {
        json_decref(p->rollouts);
        p->rollouts =
            json_loads(((struct ggw_rollouts_status *)m)->json, 0, NULL);
    }
    else if (m->ops == &ggw_server_backoff_ops) {
        ggw_proxy_on_backoff(p, (struct ggw_server_backoff *)m);
    }
    else if (m->ops == &ggw_probe_request_ops) {
        ggw_proxy_probe(p, (struct ggw_probe_request *)m);
    }
    else if (m->ops == &ggw_shutdown_ops) {
        on_shutdown(p);
    }
}

static void
proxy_stop(struct ggw_service *service)
{
    struct ggw_proxy *p = self(service);

    if (!p->started || p->stopped) {
        return;
    }
    p->stopped = true;
    uv_close((uv_handle_t *)&p->shutdown_timer, NULL);
    ggw_listener_stop(p->listener);
    ggw_proxy_cancel_probes(p);
    ggw_requests_abandon(p);
    ggw_pools_stop(p->pools);
}

static void
service_state_free(void *data)
{
    struct ggw_proxy_service_state *state = data;

    g_hash_table_destroy(state->kinds);
    g_free(state);
}

static void
route_free(void *data)
{
    struct ggw_proxy_route_state *route = data;

    g_free(route->sent);
    g_free(route->split);
    g_free(route);
}

static void
kind_free(void *data)
{
    struct ggw_proxy_kind_state *k = data;

    g_free(k->labels);
    g_free(k);
}

static void
message_free(void *data)
{
    struct ggw_message *m = data;

    m->ops->destroy(m);
}

GHashTable *
ggw_proxy_kinds_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, kind_free);
}

static void
proxy_destroy(struct ggw_service *service)
{
    struct ggw_proxy *p = self(service);

    ggw_listener_destroy(p->listener);
    ggw_pools_destroy(p->pools);
    g_hash_table_destroy(p->teams);
    g_hash_table_destroy(p->histories);
    g_hash_table_destroy(p->services);
    g_hash_table_destroy(p->routes);
    g_hash_table_destroy(p->slot_waits);
    g_hash_table_destroy(p->claim_waits);
    g_hash_table_destroy(p->allotment_waits);
    json_decref(p->customers);
    g_hash_table_destroy(p->probes);
    g_hash_table_destroy(p->live);
    g_hash_table_destroy(p->backoffs);
    g_hash_table_destroy(p->malformed_backoffs);
    json_decref(p->rollouts);
    if (p->members != NULL) {
        p->members->base.ops->destroy(&p->members->base);
    }
    if (p->vms != NULL) {
        ggw_vm_list_unref(p->vms);
    }
    g_free((char *)p->options.name);
    g_free((char *)p->options.failure_domain);
    g_free((char *)p->options.listen_host);
    g_free((char *)p->options.advertise_host);
    g_free(p);
}

static const struct ggw_service_ops ops = {
    .name = "proxy",
    .start = proxy_start,
    .receive = proxy_receive,
    .stop = proxy_stop,
    .destroy = proxy_destroy,
};

struct ggw_service *
ggw_proxy_service_new(const struct ggw_proxy_options *options)
{
    struct ggw_proxy *p = g_new0(struct ggw_proxy, 1);

    p->base.ops = &ops;
    p->options = *options;
    p->options.name = g_strdup(options->name);
    p->options.failure_domain = g_strdup(options->failure_domain);
    p->options.listen_host = g_strdup(options->listen_host);
    p->options.advertise_host = g_strdup(options->advertise_host);
    if (p->options.head_timeout <= 0) {
        p->options.head_timeout = HEAD_TIMEOUT_MS;
    }
    if (p->options.progress_timeout <= 0) {
        p->options.progress_timeout = PROGRESS_TIMEOUT_MS;
    }
    if (p->options.leave_listen <= 0) {
        p->options.leave_listen = p->options.max_age + LEAVE_MARGIN_MS;
    }
    if (p->options.dialect == NULL) {
        p->options.dialect = &ggw_default_dialect;
    }
    p->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, route_free);
    p->teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                     (GDestroyNotify)ggw_tree_unref);
    p->histories =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                              (GDestroyNotify)ggw_route_history_free);
    p->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        service_state_free);
    p->slot_waits = g_hash_table_new(g_int64_hash, g_int64_equal);
    p->claim_waits = g_hash_table_new(g_int64_hash, g_int64_equal);
    p->allotment_waits = g_hash_table_new(g_int64_hash, g_int64_equal);
    p->probes = g_hash_table_new(NULL, NULL);
    p->live = g_hash_table_new(NULL, NULL);
    p->malformed_backoffs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    p->backoffs =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, message_free);
    return &p->base;
}

uint16_t
ggw_proxy_port(const struct ggw_service *service)
{
    const struct ggw_proxy *p = (const struct ggw_proxy *)service;

    return p->listener != NULL ? ggw_listener_port(p->listener) : 0;
}
