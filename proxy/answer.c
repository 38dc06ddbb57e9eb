#include <string.h>

#include "proxy/state.h"

/*
 * Responses that are buffered until they are complete, so that a broken one
 * can be replaced by the response of another attempt.
 */

/* Copies the head of a response; the body is empty. */
struct ggw_buffered_response *
ggw_buffered_response_new(const struct ggw_call_head *head)
{
    struct ggw_buffered_response *r = g_new0(struct ggw_buffered_response, 1);

    r->status = head->status;
    r->content_length = head->content_length;
    r->reason = g_strndup(head->reason.base, head->reason.len);
    r->len = head->headers_len;
    r->headers = g_new0(h2o_header_t, r->len + 1);
    r->names = g_new0(h2o_iovec_t, r->len + 1);
    r->body = g_string_new(NULL);
    for (size_t i = 0; i < r->len; i++) {
        const h2o_header_t *h = &head->headers[i];

        r->names[i].base = g_strndup(h->name->base, h->name->len);
        r->names[i].len = h->name->len;
        r->headers[i].name = &r->names[i];
        r->headers[i].value.base = g_strndup(h->value.base, h->value.len);
        r->headers[i].value.len = h->value.len;
    }
    return r;
}

/* Frees a response; NULL is allowed. */
void
ggw_buffered_response_free(struct ggw_buffered_response *r)
{
    if (r == NULL) {
        return;
    }
    for (size_t i = 0; i < r->len; i++) {
        g_free(r->names[i].base);
        g_free(r->headers[i].value.base);
    }
    g_free(r->names);
    g_free(r->headers);
    g_free(r->reason);
    g_string_free(r->body, TRUE);
    g_free(r);
}
