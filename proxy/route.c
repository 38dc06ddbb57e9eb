#include "proxy/route.h"

#include <string.h>

/* The identifier is part of a key in the table service. */
#define ORDER_ID_MAX_BYTES 256

/* Returns NULL for a malformed escape or a control character. */
static char *
percent_decode(const char *s, size_t len)
{
    GString *out = g_string_sized_new(len);

    for (size_t i = 0; i < len; i++) {
        int c = (unsigned char)s[i];

        if (c == '%') {
            int high = i + 1 < len ? g_ascii_xdigit_value(s[i + 1]) : -1;
            int low = i + 2 < len ? g_ascii_xdigit_value(s[i + 2]) : -1;

            if (high < 0 || low < 0) {
                g_string_free(out, TRUE);
                return NULL;
            }
            c = high * 16 + low;
            i += 2;
        }
        if (c < 0x20 || c == 0x7f) {
            g_string_free(out, TRUE);
            return NULL;
        }
        g_string_append_c(out, (char)c);
    }
    return g_string_free(out, FALSE);
}

static bool
has_dot_segment(const char *decoded)
{
    const char *segment = decoded;

    while (segment != NULL && *segment != '\0') {
        const char *slash = strchr(segment, '/');
        size_t len =
            slash != NULL ? (size_t)(slash - segment) : strlen(segment);

        if ((len == 1 && segment[0] == '.') ||
            (len == 2 && strncmp(segment, "..", 2) == 0)) {
            return true;
        }
        segment = slash != NULL ? slash + 1 : NULL;
    }
    return false;
}

/* Removes the first segment from @rest and returns it percent-decoded. */
static char *
cut_segment(const char **rest, size_t *len)
{
    const char *start = *rest + 1;
    size_t n = *len - 1;
    const char *slash = memchr(start, '/', n);
    size_t segment = slash != NULL ? (size_t)(slash - start) : n;
    char *decoded = percent_decode(start, segment);

    *rest = start + segment;
    *len = n - segment;
    return decoded;
}

bool
ggw_request_path_parse(struct ggw_request_path *parsed, const char *path,
                       size_t len)
{
    const char *query = memchr(path, '?', len);
    size_t path_len = query != NULL ? (size_t)(query - path) : len;
    const char *rest = path;
    size_t rest_len = path_len;
    char *decoded;
    bool ok;

    memset(parsed, 0, sizeof(*parsed));
    if (path_len == 0 || path[0] != '/') {
        return false;
    }
    decoded = percent_decode(path, path_len);
    ok = decoded != NULL && !has_dot_segment(decoded);
    g_free(decoded);
    if (!ok) {
        return false;
    }
    parsed->team = cut_segment(&rest, &rest_len);
    parsed->service = rest_len > 0 ? cut_segment(&rest, &rest_len) : NULL;
    if (rest_len == 0) {
        parsed->decoded_path = g_strdup("/");
        parsed->forward_path = g_strdup_printf("/%.*s", (int)(len - path_len),
                                               query != NULL ? query : "");
    }
    else {
        parsed->decoded_path = percent_decode(rest, rest_len);
        parsed->forward_path = g_strndup(rest, (size_t)(path + len - rest));
    }
    return true;
}

void
ggw_request_path_clear(struct ggw_request_path *parsed)
{
    g_free(parsed->team);
    g_free(parsed->service);
    g_free(parsed->forward_path);
    g_free(parsed->decoded_path);
    memset(parsed, 0, sizeof(*parsed));
}

/*
 * Servers disagree on whether an escaped slash separates segments, so no
 * identifier of an order is taken from a path that has one.
 */
static bool
has_escaped_slash(const char *forward_path)
{
    size_t len = strcspn(forward_path, "?");

    for (size_t i = 0; i + 2 < len; i++) {
        if (g_ascii_strncasecmp(forward_path + i, "%2f", 3) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns segment @index of the decoded path, or NULL. */
static char *
path_segment(const struct ggw_request_path *parsed, int index)
{
    g_auto(GStrv) segments = g_strsplit(parsed->decoded_path, "/", -1);

    if (has_escaped_slash(parsed->forward_path)) {
        return NULL;
    }
    /* The first element is the empty text before the leading slash. */
    for (int i = 0; segments[i] != NULL; i++) {
        if (i == index + 1) {
            return g_strdup(segments[i]);
        }
    }
    return NULL;
}

char *
ggw_request_path_order_id(const struct ggw_kind *kind,
                          const struct ggw_request_path *parsed,
                          const char *header)
{
    char *order = kind->order_source == GGW_ORDER_FROM_HEADER
                      ? g_strdup(header)
                      : path_segment(parsed, kind->order_segment);

    if (order == NULL) {
        return NULL;
    }
    g_strstrip(order);
    if (*order == '\0' || strlen(order) > ORDER_ID_MAX_BYTES ||
        !g_utf8_validate(order, -1, NULL)) {
        g_free(order);
        return NULL;
    }
    return order;
}
