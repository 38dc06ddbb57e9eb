#include <string.h>

#include "common/metrics.h"
#include "proxy/headers.h"
#include "proxy/state.h"

/**
 * struct probe - one request for a load report, on behalf of "slots"
 * @request: copy of the message header, whose sender and tag the reply needs
 * @vm: name of the backend server
 * @head: request line and headers
 * @misdirected: another server responded at the address
 */
struct probe {
    struct ggw_proxy *proxy;
    struct ggw_message request;
    char *vm;
    char *head;
    struct ggw_call *call;
    bool misdirected;
    struct ggw_load_report report;
};

static void
probe_free(struct probe *p)
{
    g_hash_table_remove(p->proxy->probes, p);
    ggw_call_destroy(p->call);
    g_free(p->vm);
    g_free(p->head);
    g_free(p);
}

/* A probe has a single timeout, so a slow server is given up at once. */
static bool
on_slow(void *data)
{
    return true;
}

static void
on_head(void *data, const struct ggw_call_head *head)
{
    struct probe *p = data;
    const struct ggw_dialect *dialect = p->proxy->options.dialect;

    p->misdirected = dialect->probe_misdirected != NULL &&
                     dialect->probe_misdirected(head->status, head->headers,
                                                head->headers_len, p->vm);
    p->report = dialect->probe_load(head->headers, head->headers_len);
    if (!p->misdirected) {
        ggw_proxy_report_backoff(p->proxy, p->vm, 0, "probe", head);
    }
}

/* Drops the body: the load report is in the headers. */
static void
on_body(void *data)
{
    struct probe *p = data;
    h2o_buffer_t *buffer;

    h2o_buffer_init(&buffer, &h2o_socket_buffer_prototype);
    ggw_call_read_body(p->call, &buffer);
    h2o_buffer_dispose(&buffer);
}

/* Sends PROBE_RESULT to the sender of the probe request. */
static void
reply(struct probe *p, bool answered)
{
    ggw_kernel_reply(&p->proxy->base, &p->request,
                     ggw_probe_result_new(p->vm, answered, &p->report));
}

static void
on_end(void *data, enum ggw_call_end end)
{
    struct probe *p = data;

    reply(p, end == GGW_CALL_COMPLETE && !p->misdirected);
    probe_free(p);
}

static const struct ggw_call_ops call_ops = {
    .slow = on_slow,
    .head = on_head,
    .body = on_body,
    .end = on_end,
};

/* Handles PROBE_REQUEST: asks a backend server for its load report. */
void
ggw_proxy_probe(struct ggw_proxy *proxy, const struct ggw_probe_request *probe)
{
    ggw_ms now = ggw_kernel_now(proxy->base.kernel);
    struct ggw_pool *pool =
        ggw_pools_get(proxy->pools, probe->host, probe->port, now);
    struct probe *p = g_new0(struct probe, 1);
    struct ggw_call_spec spec = {
        .id_name = proxy->options.dialect->attempt_id,
        .connect_timeout = probe->timeout,
        .slow_timeout = probe->timeout,
        .head_timeout = probe->timeout,
        .progress_timeout = probe->timeout,
        .complete_timeout = probe->timeout,
    };

    p->proxy = proxy;
    p->request = probe->base;
    p->vm = g_strdup(probe->vm);
    g_hash_table_add(proxy->probes, p);
    ggw_count("ggw_probes_total");
    if (pool == NULL) {
        reply(p, false);
        probe_free(p);
        return;
    }
    p->head = g_strdup_printf("GET %s HTTP/1.1\r\nhost: %s:%u\r\n\r\n",
                              probe->path != NULL ? probe->path : "/-/load",
                              probe->host, (unsigned)probe->port);
    spec.head = h2o_iovec_init(p->head, strlen(p->head));
    p->call = ggw_call_new(pool, &spec, &call_ops, p);
}

/* Cancels all probes without a reply. */
void
ggw_proxy_cancel_probes(struct ggw_proxy *proxy)
{
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, proxy->probes);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        struct probe *p = key;

        g_hash_table_iter_steal(&iter);
        ggw_call_destroy(p->call);
        g_free(p->vm);
        g_free(p->head);
        g_free(p);
    }
}
