#include "proxy/headers.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Headers that are not forwarded: hop-by-hop ones (RFC 9110, section 7.6.1),
 * and those that the gateway handles or writes itself.
 */
static const char *const hop_by_hop[] = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authenticate",
    "proxy-authorization",
    "content-length",
    "expect",
    "host",
    "http2-settings",
};

static bool
is_stripped(const struct ggw_dialect *dialect, const h2o_iovec_t *name)
{
    for (const char *const *prefix = dialect->stripped_prefixes;
         *prefix != NULL; prefix++) {
        size_t len = strlen(*prefix);

        if (name->len >= len &&
            g_ascii_strncasecmp(name->base, *prefix, len) == 0) {
            return true;
        }
    }
    return false;
}

static bool
name_is(const h2o_iovec_t *name, const char *text)
{
    return name->len == strlen(text) &&
           g_ascii_strncasecmp(name->base, text, name->len) == 0;
}

/*
 * The same; "_" counts as "-", since many servers do not tell them apart.
 */
static bool
name_resembles(const h2o_iovec_t *name, const char *text)
{
    if (name->len != strlen(text)) {
        return false;
    }
    for (size_t i = 0; i < name->len; i++) {
        char c = name->base[i] == '_' ? '-' : g_ascii_tolower(name->base[i]);

        if (c != text[i]) {
            return false;
        }
    }
    return true;
}

/* Whether a request header is a key of a customer, or names a customer. */
static bool
identifies_customer(const struct ggw_dialect *dialect, const h2o_iovec_t *name)
{
    return name_resembles(name, dialect->customer_key) ||
           name_resembles(name, dialect->customer);
}

static bool
is_hop_by_hop(const h2o_iovec_t *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop); i++) {
        if (name_is(name, hop_by_hop[i])) {
            return true;
        }
    }
    return false;
}

/* Whether a Connection header lists @name, which makes it hop-by-hop. */
static bool
named_by_connection(const h2o_header_t *headers, size_t len,
                    const h2o_iovec_t *name)
{
    for (size_t i = 0; i < len; i++) {
        if (name_is(headers[i].name, "connection") &&
            h2o_contains_token(headers[i].value.base, headers[i].value.len,
                               name->base, name->len, ',')) {
            return true;
        }
    }
    return false;
}

static bool
is_forwarded(const struct ggw_dialect *dialect, const h2o_header_t *headers,
             size_t len, size_t i)
{
    return !is_hop_by_hop(headers[i].name) &&
           !is_stripped(dialect, headers[i].name) &&
           !named_by_connection(headers, len, headers[i].name);
}

char *
ggw_headers_find(const h2o_req_t *req, const char *name)
{
    for (size_t i = 0; i < req->headers.size; i++) {
        const h2o_header_t *h = &req->headers.entries[i];

        if (name_is(h->name, name)) {
            return g_strndup(h->value.base, h->value.len);
        }
    }
    return NULL;
}

char *
ggw_headers_find_single(const h2o_req_t *req, const char *name)
{
    int found = 0;

    for (size_t i = 0; i < req->headers.size; i++) {
        found += name_is(req->headers.entries[i].name, name) ? 1 : 0;
    }
    return found == 1 ? ggw_headers_find(req, name) : NULL;
}

GPtrArray *
ggw_headers_find_all(const h2o_req_t *req, const char *name)
{
    GPtrArray *values = g_ptr_array_new_with_free_func(g_free);

    for (size_t i = 0; i < req->headers.size; i++) {
        const h2o_header_t *h = &req->headers.entries[i];

        if (name_is(h->name, name)) {
            char *value = g_strndup(h->value.base, h->value.len);

            g_ptr_array_add(values, g_strstrip(value));
        }
    }
    return values;
}

GString *
ggw_headers_build_request(const h2o_req_t *req,
                          const struct ggw_dialect *dialect,
                          bool has_customers)
{
    GString *out = g_string_sized_new(512);

    g_string_append(out, "host: ");
    g_string_append_len(out, req->input.authority.base,
                        (gssize)req->input.authority.len);
    g_string_append(out, "\r\n");
    for (size_t i = 0; i < req->headers.size; i++) {
        const h2o_header_t *h = &req->headers.entries[i];

        if (!is_forwarded(dialect, req->headers.entries, req->headers.size,
                          i) ||
            (has_customers && identifies_customer(dialect, h->name))) {
            continue;
        }
        g_string_append_len(out, h->name->base, (gssize)h->name->len);
        g_string_append(out, ": ");
        g_string_append_len(out, h->value.base, (gssize)h->value.len);
        g_string_append(out, "\r\n");
    }
    if (req->entity.base != NULL) {
        g_string_append_printf(out, "content-length: %zu\r\n",
                               req->entity.len);
    }
    return out;
}

void
ggw_headers_append_value(GString *head, const char *text)
{
    size_t len = strlen(text);

    for (size_t i = 0; i < len; i++) {
        bool outer = i == 0 || i == len - 1;

        if (g_ascii_iscntrl(text[i]) || (outer && text[i] == ' ')) {
            g_string_append_printf(head, "%%%02X", (unsigned char)text[i]);
        }
        else {
            g_string_append_c(head, text[i]);
        }
    }
}

void
ggw_headers_copy_response(h2o_req_t *req, const struct ggw_dialect *dialect,
                          const h2o_header_t *headers, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        h2o_iovec_t name, value;

        /* h2o adds its own Date and Server. */
        if (!is_forwarded(dialect, headers, len, i) ||
            name_is(headers[i].name, "date") ||
            name_is(headers[i].name, "server")) {
            continue;
        }
        name = h2o_strdup(&req->pool, headers[i].name->base,
                          headers[i].name->len);
        value = h2o_strdup(&req->pool, headers[i].value.base,
                           headers[i].value.len);
        h2o_strtolower(name.base, name.len);
        h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
                              name.len, 1, NULL, value.base, value.len);
    }
}

static const h2o_iovec_t *
find_value(const h2o_header_t *headers, size_t len, const char *name)
{
    for (size_t i = 0; i < len; i++) {
        if (name_is(headers[i].name, name)) {
            return &headers[i].value;
        }
    }
    return NULL;
}

bool
ggw_headers_has(const h2o_header_t *headers, size_t len, const char *name)
{
    return find_value(headers, len, name) != NULL;
}

bool
ggw_headers_not_run(const h2o_header_t *headers, size_t len)
{
    const h2o_iovec_t *value = find_value(headers, len, "backend-outcome");

    return value != NULL && name_is(value, "not-run");
}

/* Parses a whole number from 0 to @max; returns false if it is malformed. */
static bool
parse_number(const char *text, uint64_t max, uint64_t *value)
{
    char *end;

    if (!g_ascii_isdigit(*text)) {
        return false;
    }
    *value = g_ascii_strtoull(text, &end, 10);
    return *end == '\0' && *value <= max;
}

/* Sets one field of a load report. Returns false if its value is malformed. */
static bool
set_load_field(struct ggw_load_report *r, const char *key, const char *text)
{
    uint64_t value;

    if (strcmp(key, "incarnation") == 0) {
        /* Servers without numbered incarnations send other text. */
        if (!parse_number(text, G_MAXUINT64 - 1, &r->incarnation)) {
            r->incarnation = 0;
        }
        return true;
    }
    if (!parse_number(text, G_MAXINT, &value)) {
        return false;
    }
    if (strcmp(key, "slots") == 0) {
        r->slots = (int)value;
    }
    else if (strcmp(key, "busy") == 0) {
        r->busy = (int)value;
    }
    else if (strcmp(key, "queue") == 0) {
        r->queue = (int)value;
    }
    else if (strcmp(key, "cold") == 0) {
        r->cold = value != 0;
    }
    else if (strcmp(key, "draining") == 0) {
        r->draining = value != 0;
    }
    return true;
}

struct ggw_load_report
ggw_headers_parse_load(const h2o_header_t *headers, size_t len)
{
    static const struct ggw_load_report absent;
    struct ggw_load_report r = {.present = true};
    const h2o_iovec_t *value = find_value(headers, len, "backend-load");
    g_autofree char *text = NULL;
    g_auto(GStrv) fields = NULL;

    if (value == NULL) {
        return absent;
    }
    text = g_strndup(value->base, value->len);
    fields = g_strsplit(text, ";", -1);
    for (char **f = fields; *f != NULL; f++) {
        char *equals = strchr(*f, '=');

        if (equals == NULL) {
            if (*g_strstrip(*f) == '\0') {
                continue;
            }
            return absent;
        }
        *equals = '\0';
        if (!set_load_field(&r, g_strstrip(*f), g_strstrip(equals + 1))) {
            return absent;
        }
    }
    return r;
}

/* Parses one value; returns false if it is malformed. */
static bool
parse_seconds(const h2o_iovec_t *value, ggw_ms *pause)
{
    g_autofree char *text = g_strndup(value->base, value->len);
    char *end;
    double seconds = g_ascii_strtod(text, &end);

    if (end == text || isnan(seconds) || seconds < 0) {
        return false;
    }
    *pause = MAX(*pause, MIN(1e3 * seconds, GGW_BACKOFF_MAX_PAUSE));
    return *end == '\0' && isfinite(seconds);
}

void
ggw_headers_parse_pause(const h2o_header_t *headers, size_t len,
                        struct ggw_backoff_notice *notice)
{
    for (size_t i = 0; i < len; i++) {
        if (name_is(headers[i].name, "retry-after") &&
            !parse_seconds(&headers[i].value, &notice->pause)) {
            notice->malformed = true;
        }
    }
}
