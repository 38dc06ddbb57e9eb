#include "decide/surplus.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* A status line up to its code; "0" stands for any digit. */
static const char status_line[] = "HTTP/1.0 000";

#define STATUS_LINE_LEN (sizeof(status_line) - 1)

/* A body that ends with this many bytes of a status line is suspect. */
#define MIN_CUT_BYTES (sizeof("HTTP/") - 1)

/* A head in a body that is longer than this is no head, in bytes. */
#define MAX_HEAD_BYTES 65536

static uint64_t
hash_mark(const char *name, size_t name_len, const char *value, size_t len)
{
    g_autofree char *lower = g_ascii_strdown(name, (gssize)name_len);

    return XXH64(value, len, XXH64(lower, name_len, 0));
}

void
ggw_surplus_scan_init(struct ggw_surplus_scan *s, bool reused, bool framed)
{
    memset(s, 0, sizeof(*s));
    s->reused = reused;
    s->framed = framed;
}

void
ggw_surplus_scan_mark(struct ggw_surplus_scan *s, const char *name,
                      const char *value, size_t len)
{
    g_assert(s->marks_len < GGW_SURPLUS_MARKS);
    s->marks[s->marks_len++] = hash_mark(name, strlen(name), value, len);
}

bool
ggw_surplus_scan_needs_head(const struct ggw_surplus_scan *s,
                            const char *bytes, size_t len)
{
    return !s->reused && s->own_head == NULL &&
           (s->matched > 0 || memchr(bytes, status_line[0], len) != NULL);
}

void
ggw_surplus_scan_set_head(struct ggw_surplus_scan *s, const char *head,
                          size_t len)
{
    s->own_head = head;
    s->own_head_len = len;
}

static bool
has_mark(const struct ggw_surplus_scan *s, uint64_t hash)
{
    for (size_t i = 0; i < s->marks_len; i++) {
        if (s->marks[i] == hash) {
            return true;
        }
    }
    return false;
}

static bool
is_space(char c)
{
    return c == ' ' || c == '\t' || c == '\r';
}

/* Whether the current line is one of the marks. */
static bool
is_marked(const struct ggw_surplus_scan *s)
{
    const char *colon = memchr(s->line, ':', s->line_len);
    const char *value, *end = s->line + s->line_len;

    if (colon == NULL) {
        return false;
    }
    value = colon + 1;
    while (value < end && is_space(*value)) {
        value++;
    }
    while (end > value && is_space(end[-1])) {
        end--;
    }
    return has_mark(s, hash_mark(s->line, (size_t)(colon - s->line), value,
                                 (size_t)(end - value)));
}

/*
 * Matches one more byte with a status line. After a mismatch, only the byte
 * itself can begin a new one, since "H" occurs at its start only.
 */
static size_t
match_status_line(size_t matched, char c)
{
    char expected = status_line[matched];
    bool matches = expected == '0' ? g_ascii_isdigit(c) : c == expected;

    if (matches) {
        return matched + 1;
    }
    return c == status_line[0] ? 1 : 0;
}

/* Whether the status line in @line is that of this response. */
static bool
begins_own_head(const struct ggw_surplus_scan *s)
{
    return s->own_head != NULL && s->own_head_len >= STATUS_LINE_LEN &&
           memcmp(s->own_head, s->line, STATUS_LINE_LEN) == 0;
}

static void
begin_head(struct ggw_surplus_scan *s)
{
    s->in_head = true;
    s->in_status_line = true;
    s->head_bytes = STATUS_LINE_LEN;
    s->own_status = begins_own_head(s);
    s->own_matched = s->own_status ? STATUS_LINE_LEN : 0;
    s->matched = 0;
    s->line_len = 0;
}

static void
scan_body(struct ggw_surplus_scan *s, char c)
{
    s->matched = match_status_line(s->matched, c);
    if (s->matched == 0) {
        return;
    }
    s->line[s->matched - 1] = c;
    if (s->matched == STATUS_LINE_LEN) {
        s->found = s->reused;
        begin_head(s);
    }
}

/* Compares one more byte with the head of this response. */
static void
match_own_head(struct ggw_surplus_scan *s, char c)
{
    if (s->own_matched == 0) {
        return;
    }
    if (s->own_head[s->own_matched] != c) {
        s->own_matched = 0;
        return;
    }
    s->own_matched++;
    s->found = s->own_matched == s->own_head_len;
}

static void
end_line(struct ggw_surplus_scan *s)
{
    bool empty = s->line_len == 0 || (s->line_len == 1 && *s->line == '\r');

    if (s->in_status_line) {
        s->in_status_line = false;
    }
    else if (empty) {
        s->in_head = false;
    }
    else {
        s->found = s->found || is_marked(s);
    }
    s->line_len = 0;
}

static void
scan_head(struct ggw_surplus_scan *s, char c)
{
    s->head_bytes++;
    match_own_head(s, c);
    if (c == '\n') {
        end_line(s);
    }
    else if (s->line_len < sizeof(s->line)) {
        s->line[s->line_len++] = c;
    }
    if (s->head_bytes > MAX_HEAD_BYTES) {
        s->in_head = false;
    }
}

bool
ggw_surplus_scan_feed(struct ggw_surplus_scan *s, const char *bytes,
                      size_t len)
{
    const char *end = bytes + len;

    while (bytes < end && !s->found) {
        if (s->in_head) {
            scan_head(s, *bytes++);
            continue;
        }
        if (s->matched == 0) {
            bytes = memchr(bytes, status_line[0], (size_t)(end - bytes));
            if (bytes == NULL) {
                break;
            }
        }
        scan_body(s, *bytes++);
    }
    return s->found;
}

size_t
ggw_surplus_scan_undecided(const struct ggw_surplus_scan *s)
{
    return s->in_head ? s->own_matched : s->matched;
}

bool
ggw_surplus_scan_end(const struct ggw_surplus_scan *s)
{
    bool cut_status_line = s->matched >= MIN_CUT_BYTES;
    bool cut_head = s->in_head && s->own_status;

    if (s->found || (s->in_head && s->own_matched > 0)) {
        return true;
    }
    if (s->framed) {
        /* A sound body with a length may well end with "HTTP/1.1". */
        return s->reused && cut_status_line;
    }
    return cut_status_line || cut_head;
}

bool
ggw_surplus_in_text(const char *text, size_t len)
{
    size_t matched = 0;

    for (size_t i = 0; i < len && matched < STATUS_LINE_LEN; i++) {
        matched = match_status_line(matched, text[i]);
    }
    return matched == STATUS_LINE_LEN;
}

bool
ggw_surplus_continues(const char *value, const char *own_status_line)
{
    return strlen(value) > strlen(own_status_line) &&
           g_str_has_suffix(value, own_status_line);
}
