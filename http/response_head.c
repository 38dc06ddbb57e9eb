#include "http/response_head.h"

#include <string.h>
#include <strings.h>

#include "decide/surplus.h"

struct header {
    h2o_iovec_t name;
    GString *name_text;
    GString *value_text;
};

static void
header_free(gpointer data)
{
    struct header *h = data;

    g_string_free(h->name_text, TRUE);
    g_string_free(h->value_text, TRUE);
    g_free(h);
}

void
ggw_response_head_init(struct ggw_response_head *h)
{
    h->reason = g_string_new(NULL);
    h->headers = g_ptr_array_new_with_free_func(header_free);
    h->value_started = false;
}

void
ggw_response_head_clear(struct ggw_response_head *h)
{
    g_string_free(h->reason, TRUE);
    g_ptr_array_unref(h->headers);
}

void
ggw_response_head_reset(struct ggw_response_head *h)
{
    g_string_truncate(h->reason, 0);
    g_ptr_array_set_size(h->headers, 0);
    h->value_started = false;
}

static struct header *
last_header(const struct ggw_response_head *h)
{
    return g_ptr_array_index(h->headers, h->headers->len - 1);
}

bool
ggw_response_head_name(struct ggw_response_head *h, const char *bytes,
                       size_t len)
{
    if (h->headers->len == 0 || h->value_started) {
        struct header *added;

        if (h->headers->len == GGW_RESPONSE_MAX_HEADERS) {
            return false;
        }
        added = g_new0(struct header, 1);
        added->name_text = g_string_new(NULL);
        added->value_text = g_string_new(NULL);
        g_ptr_array_add(h->headers, added);
        h->value_started = false;
    }
    g_string_append_len(last_header(h)->name_text, bytes, (gssize)len);
    return true;
}

void
ggw_response_head_value(struct ggw_response_head *h, const char *bytes,
                        size_t len)
{
    h->value_started = true;
    g_string_append_len(last_header(h)->value_text, bytes, (gssize)len);
}

size_t
ggw_response_head_count(const struct ggw_response_head *h, const char *name)
{
    size_t n = 0;

    for (guint i = 0; i < h->headers->len; i++) {
        const struct header *x = g_ptr_array_index(h->headers, i);

        n += strcasecmp(x->name_text->str, name) == 0 ? 1 : 0;
    }
    return n;
}

const char *
ggw_response_head_find(const struct ggw_response_head *h, const char *name)
{
    for (guint i = 0; i < h->headers->len; i++) {
        const struct header *x = g_ptr_array_index(h->headers, i);

        if (strcasecmp(x->name_text->str, name) == 0) {
            return x->value_text->str;
        }
    }
    return NULL;
}

size_t
ggw_response_head_fill(const struct ggw_response_head *h, h2o_header_t *out)
{
    for (guint i = 0; i < h->headers->len; i++) {
        struct header *x = g_ptr_array_index(h->headers, i);

        x->name = h2o_iovec_init(x->name_text->str, x->name_text->len);
        out[i] = (h2o_header_t){
            .name = &x->name,
            .value = h2o_iovec_init(x->value_text->str, x->value_text->len),
        };
    }
    return h->headers->len;
}

static void
append_status_line(const struct ggw_response_head *h, GString *text)
{
    g_string_append_printf(text, "HTTP/%u.%u %u %s", h->major, h->minor,
                           h->status, h->reason->str);
}

GString *
ggw_response_head_text(const struct ggw_response_head *h)
{
    GString *text = g_string_sized_new(512);

    append_status_line(h, text);
    g_string_append(text, "\r\n");
    for (guint i = 0; i < h->headers->len; i++) {
        const struct header *x = g_ptr_array_index(h->headers, i);

        g_string_append_printf(text, "%s: %s\r\n", x->name_text->str,
                               x->value_text->str);
    }
    g_string_append(text, "\r\n");
    return text;
}

/* Whether a header value is continued by the head of a response. */
static bool
is_continued(const struct ggw_response_head *h, const GString *value,
             bool reused)
{
    g_autoptr(GString) own_status_line = NULL;

    if (strstr(value->str, "HTTP/1.") == NULL) {
        return false; /* nearly always */
    }
    if (reused) {
        return ggw_surplus_in_text(value->str, value->len);
    }
    own_status_line = g_string_new(NULL);
    append_status_line(h, own_status_line);
    return ggw_surplus_continues(value->str, own_status_line->str);
}

bool
ggw_response_head_is_mixed(const struct ggw_response_head *h, bool reused)
{
    if (ggw_surplus_in_text(h->reason->str, h->reason->len)) {
        return true;
    }
    for (guint i = 0; i < h->headers->len; i++) {
        const struct header *x = g_ptr_array_index(h->headers, i);

        if (is_continued(h, x->value_text, reused)) {
            return true;
        }
    }
    return false;
}
