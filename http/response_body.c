#include "http/response_body.h"

#include <string.h>

void
ggw_response_body_init(struct ggw_response_body *b,
                       const struct ggw_response_head *head, bool reused,
                       bool framed)
{
    ggw_surplus_scan_init(&b->scan, reused, framed);
    b->head = head;
    b->own_head = NULL;
    b->withheld = g_string_new(NULL);
}

void
ggw_response_body_clear(struct ggw_response_body *b)
{
    if (b->own_head != NULL) {
        g_string_free(b->own_head, TRUE);
    }
    if (b->withheld != NULL) {
        g_string_free(b->withheld, TRUE);
    }
}

static void
append(h2o_buffer_t **out, const char *bytes, size_t len)
{
    h2o_iovec_t space;

    if (len == 0) {
        return;
    }
    space = h2o_buffer_reserve(out, len);
    memcpy(space.base, bytes, len);
    (*out)->size += len;
}

/* Lets the scan know the head of this response where it may need it. */
static void
provide_head(struct ggw_response_body *b, const char *bytes, size_t len)
{
    if (!ggw_surplus_scan_needs_head(&b->scan, bytes, len)) {
        return;
    }
    b->own_head = ggw_response_head_text(b->head);
    ggw_surplus_scan_set_head(&b->scan, b->own_head->str, b->own_head->len);
}

bool
ggw_response_body_add(struct ggw_response_body *b, const char *bytes,
                      size_t len, h2o_buffer_t **out)
{
    size_t undecided, decided;

    provide_head(b, bytes, len);
    if (ggw_surplus_scan_feed(&b->scan, bytes, len)) {
        return false;
    }
    undecided = ggw_surplus_scan_undecided(&b->scan);
    if (undecided == 0 && b->withheld->len == 0) {
        append(out, bytes, len);
        return true;
    }
    g_string_append_len(b->withheld, bytes, (gssize)len);
    decided = b->withheld->len - undecided;
    append(out, b->withheld->str, decided);
    g_string_erase(b->withheld, 0, (gssize)decided);
    return true;
}

bool
ggw_response_body_end(struct ggw_response_body *b, h2o_buffer_t **out)
{
    if (ggw_surplus_scan_end(&b->scan)) {
        return false;
    }
    append(out, b->withheld->str, b->withheld->len);
    g_string_truncate(b->withheld, 0);
    return true;
}
