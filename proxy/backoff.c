#include "common/metrics.h"
#include "proxy/events.h"
#include "proxy/state.h"

/* The servers whose headers were logged are forgotten beyond this number. */
#define MAX_LOGGED_SERVERS 1000

/* Counts a header that could not be read; logs it once for each server. */
static void
report_malformed(struct ggw_proxy *proxy, const char *vm, const char *request,
                 const struct ggw_backoff_notice *notice)
{
    ggw_count("ggw_backoff_headers_malformed_total");
    if (g_hash_table_contains(proxy->malformed_backoffs, vm)) {
        return;
    }
    if (g_hash_table_size(proxy->malformed_backoffs) >= MAX_LOGGED_SERVERS) {
        g_hash_table_remove_all(proxy->malformed_backoffs);
    }
    g_hash_table_add(proxy->malformed_backoffs, g_strdup(vm));
    ggw_count("ggw_backoff_servers_malformed_total");
    ggw_proxy_log_malformed_backoff(vm, request, notice);
}

/*
 * Tells "slots" at once when a response says that its server wants no further
 * requests: the release of the slot may come much later.
 */
void
ggw_proxy_report_backoff(struct ggw_proxy *proxy, const char *vm,
                         uint64_t grant, const char *request,
                         const struct ggw_call_head *head)
{
    struct ggw_backoff_notice notice = proxy->options.dialect->backoff(
        head->status, head->headers, head->headers_len);

    if (notice.malformed) {
        report_malformed(proxy, vm, request, &notice);
    }
    if (notice.leaving || notice.pause > 0) {
        ggw_kernel_send(proxy->base.kernel, "slots", &proxy->base,
                        ggw_server_notice_new(vm, &notice, grant, request));
    }
}

void
ggw_proxy_on_backoff(struct ggw_proxy *proxy,
                     const struct ggw_server_backoff *m)
{
    struct ggw_message *copy;

    if (m->state == GGW_BACKOFF_NONE) {
        g_hash_table_remove(proxy->backoffs, m->vm);
        return;
    }
    copy = ggw_server_backoff_new(m->vm, m->state, m->until);
    g_hash_table_replace(proxy->backoffs,
                         ((struct ggw_server_backoff *)copy)->vm, copy);
}
