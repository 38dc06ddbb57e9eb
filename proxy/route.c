#include "proxy/route.h"

#include <string.h>

/* Part of a key in the table service. */
#define ORDER_MAX 256

static char *
decode(const char *s, size_t len)
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
has_dot_segment(const char *plain)
{
    const char *segment = plain;

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

/* Cuts the next raw segment off @rest and decodes it. */
static char *
cut_segment(const char **rest, size_t *len)
{
    const char *start = *rest + 1;
    size_t n = *len - 1;
    const char *slash = memchr(start, '/', n);
    size_t segment = slash != NULL ? (size_t)(slash - start) : n;
    char *decoded = decode(start, segment);

    *rest = start + segment;
    *len = n - segment;
    return decoded;
}

bool
ggw_route_parse(struct ggw_route *route, const char *path, size_t len)
{
    const char *query = memchr(path, '?', len);
    size_t path_len = query != NULL ? (size_t)(query - path) : len;
    const char *rest = path;
    size_t rest_len = path_len;
    char *whole;
    bool ok;

    memset(route, 0, sizeof(*route));
    if (path_len == 0 || path[0] != '/') {
        return false;
    }
    whole = decode(path, path_len);
    ok = whole != NULL && !has_dot_segment(whole);
    g_free(whole);
    if (!ok) {
        return false;
    }
    route->team = cut_segment(&rest, &rest_len);
    route->service = rest_len > 0 ? cut_segment(&rest, &rest_len) : NULL;
    if (rest_len == 0) {
        route->plain = g_strdup("/");
        route->forward = g_strdup_printf("/%.*s", (int)(len - path_len),
                                         query != NULL ? query : "");
    }
    else {
        route->plain = decode(rest, rest_len);
        route->forward = g_strndup(rest, (size_t)(path + len - rest));
    }
    return true;
}

void
ggw_route_clear(struct ggw_route *route)
{
    g_free(route->team);
    g_free(route->service);
    g_free(route->forward);
    g_free(route->plain);
    memset(route, 0, sizeof(*route));
}

/*
 * Servers disagree on whether an escaped slash divides segments, so a path
 * with one does not name an order.
 */
static bool
has_escaped_slash(const char *forward)
{
    size_t len = strcspn(forward, "?");

    for (size_t i = 0; i + 2 < len; i++) {
        if (g_ascii_strncasecmp(forward + i, "%2f", 3) == 0) {
            return true;
        }
    }
    return false;
}

static char *
path_segment(const struct ggw_route *route, int index)
{
    g_auto(GStrv) segments = g_strsplit(route->plain, "/", -1);

    if (has_escaped_slash(route->forward)) {
        return NULL;
    }
    /* The first element stands before the leading slash. */
    for (int i = 0; segments[i] != NULL; i++) {
        if (i == index + 1) {
            return g_strdup(segments[i]);
        }
    }
    return NULL;
}

char *
ggw_route_order(const struct ggw_kind *kind, const struct ggw_route *route,
                const char *header)
{
    char *order = kind->order_source == GGW_ORDER_FROM_HEADER
                      ? g_strdup(header)
                      : path_segment(route, kind->order_segment);

    if (order == NULL) {
        return NULL;
    }
    g_strstrip(order);
    if (*order == '\0' || strlen(order) > ORDER_MAX ||
        !g_utf8_validate(order, -1, NULL)) {
        g_free(order);
        return NULL;
    }
    return order;
}
