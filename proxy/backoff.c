#include "proxy/state.h"

/*
 * Tells "slots" at once when a response says that its server wants no further
 * requests: the release of the slot may come much later.
 */
void
ggw_proxy_report_backoff(struct ggw_proxy *proxy, const char *vm,
                         const char *request, const struct ggw_call_head *head)
{
    struct ggw_backoff_notice notice = proxy->options.dialect->backoff(
        head->status, head->headers, head->headers_len);

    if (notice.leaving || notice.pause > 0) {
        ggw_kernel_send(proxy->base.kernel, "slots", &proxy->base,
                        ggw_server_notice_new(vm, &notice, request));
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
