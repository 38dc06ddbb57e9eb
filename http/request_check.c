#include "http/request_check.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

#include "http/grammar.h"

/*
 * h2o 2.2.5 rejects a request with more headers itself, with a response that
 * lacks the outcome header.
 */
#define MAX_HEADERS 100

struct framing {
    int content_lengths;
    int transfer_codings;
    int headers;
    bool bad;
    bool body_too_large;
    size_t body_max;
};

static bool
has_control(const char *s, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        if (!ggw_is_text_char(s[i])) {
            return true;
        }
    }
    return false;
}

static bool
name_is(const char *s, size_t len, const char *name)
{
    return len == strlen(name) && strncasecmp(s, name, len) == 0;
}

static void
trim(const char **s, size_t *len)
{
    while (*len > 0 && (**s == ' ' || **s == '\t')) {
        (*s)++;
        (*len)--;
    }
    while (*len > 0 && ((*s)[*len - 1] == ' ' || (*s)[*len - 1] == '\t')) {
        (*len)--;
    }
}

static bool
is_decimal_number(const char *s, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        if (!g_ascii_isdigit(s[i])) {
            return false;
        }
    }
    return len > 0 && len < 19;
}

static void
check_header(struct framing *f, const char *line, size_t len)
{
    const char *colon = memchr(line, ':', len);
    const char *value;
    size_t name_len, value_len;

    f->headers++;
    if (colon == NULL || colon == line) {
        f->bad = true;
        return;
    }
    name_len = (size_t)(colon - line);
    for (size_t i = 0; i < name_len; i++) {
        /* Also refuses folded lines, which start with a space or tab. */
        f->bad = f->bad || !ggw_is_token_char(line[i]);
    }
    value = colon + 1;
    value_len = len - name_len - 1;
    trim(&value, &value_len);
    if (name_is(line, name_len, "content-length")) {
        f->content_lengths++;
        if (!is_decimal_number(value, value_len)) {
            f->bad = true;
            return;
        }
        f->body_too_large = g_ascii_strtoull(value, NULL, 10) > f->body_max;
    }
    else if (name_is(line, name_len, "transfer-encoding")) {
        f->transfer_codings++;
        f->bad = f->bad || !name_is(value, value_len, "chunked");
    }
}

/*
 * Checks that the request line has the form METHOD SP TARGET SP HTTP/1.x. The
 * details of the target are left to h2o.
 */
static bool
request_line_ok(const char *line, size_t len, bool *version_10)
{
    const char *end = line + len;
    const char *method_end = memchr(line, ' ', len);
    const char *target_end;

    if (method_end == NULL || method_end == line) {
        return false;
    }
    for (const char *c = line; c < method_end; c++) {
        if (!ggw_is_token_char(*c)) {
            return false;
        }
    }
    target_end = memchr(method_end + 1, ' ', (size_t)(end - method_end - 1));
    if (target_end == NULL || target_end == method_end + 1 ||
        memchr(method_end, '\t', (size_t)(end - method_end)) != NULL) {
        return false;
    }
    *version_10 =
        name_is(target_end + 1, (size_t)(end - target_end - 1), "HTTP/1.0");
    return *version_10 ||
           name_is(target_end + 1, (size_t)(end - target_end - 1), "HTTP/1.1");
}

enum ggw_head_verdict
ggw_head_check(const char *bytes, size_t len, size_t body_max)
{
    struct framing f = {.body_max = body_max};
    size_t limit = MIN(len, GGW_HEAD_MAX);
    size_t at = 0;
    int lines = 0;
    bool version_10 = false;

    while (at < limit) {
        const char *line = bytes + at;
        const char *newline = memchr(line, '\n', limit - at);
        size_t line_len;

        if (newline == NULL) {
            break;
        }
        line_len = (size_t)(newline - line);
        at += line_len + 1;
        if (line_len > 0 && line[line_len - 1] == '\r') {
            line_len--;
        }
        if (line_len == 0 && lines == 0 && at <= 2) {
            continue; /* one empty line before a request is allowed */
        }
        if (line_len == 0) {
            if (lines == 0 || f.content_lengths + f.transfer_codings > 1 ||
                (version_10 && f.transfer_codings > 0)) {
                return GGW_HEAD_BAD;
            }
            return f.body_too_large ? GGW_HEAD_BODY_TOO_LARGE : GGW_HEAD_OK;
        }
        if (has_control(line, line_len)) {
            return GGW_HEAD_BAD;
        }
        if (lines++ == 0) {
            if (!request_line_ok(line, line_len, &version_10)) {
                return GGW_HEAD_BAD;
            }
            continue;
        }
        check_header(&f, line, line_len);
        if (f.bad) {
            return GGW_HEAD_BAD;
        }
        if (f.headers > MAX_HEADERS) {
            return GGW_HEAD_TOO_LARGE;
        }
    }
    if (len >= GGW_HEAD_MAX) {
        return GGW_HEAD_TOO_LARGE;
    }
    if (len > at && bytes[len - 1] == '\r') {
        len--;
    }
    return has_control(bytes + at, len - at) ? GGW_HEAD_BAD : GGW_HEAD_PARTIAL;
}
