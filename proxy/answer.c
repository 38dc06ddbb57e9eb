#include <string.h>

#include "proxy/state.h"

/* Responses that are kept until they are whole. */

struct ggw_answer *
ggw_answer_new(const struct ggw_call_head *head)
{
    struct ggw_answer *a = g_new0(struct ggw_answer, 1);

    a->status = head->status;
    a->close_delimited = head->close_delimited;
    a->reason = g_strndup(head->reason.base, head->reason.len);
    a->len = head->headers_len;
    a->headers = g_new0(h2o_header_t, a->len + 1);
    a->names = g_new0(h2o_iovec_t, a->len + 1);
    a->body = g_string_new(NULL);
    for (size_t i = 0; i < a->len; i++) {
        const h2o_header_t *h = &head->headers[i];

        a->names[i].base = g_strndup(h->name->base, h->name->len);
        a->names[i].len = h->name->len;
        a->headers[i].name = &a->names[i];
        a->headers[i].value.base = g_strndup(h->value.base, h->value.len);
        a->headers[i].value.len = h->value.len;
    }
    return a;
}

void
ggw_answer_free(struct ggw_answer *a)
{
    if (a == NULL) {
        return;
    }
    for (size_t i = 0; i < a->len; i++) {
        g_free(a->names[i].base);
        g_free(a->headers[i].value.base);
    }
    g_free(a->names);
    g_free(a->headers);
    g_free(a->reason);
    g_string_free(a->body, TRUE);
    g_free(a);
}
