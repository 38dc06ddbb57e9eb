#include "tests/client.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Receive timeout of a socket in ms; far longer than every timeout of the
 * gateway. */
#define READ_LIMIT_MS 20000

/* Time in ms between two checks of a condition in client_await(). */
#define POLL_INTERVAL_MS 10

static int
connect_to(const char *address)
{
    const char *colon = strchr(address, ':');
    g_autofree char *host = g_strndup(address, (gsize)(colon - address));
    struct timeval limit = {.tv_sec = READ_LIMIT_MS / 1000};
    struct sockaddr_in sa = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    sa.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
    inet_pton(AF_INET, host, &sa.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

char *
reply_header(const struct reply *reply, const char *name)
{
    g_auto(GStrv) lines = g_strsplit(reply->head->str, "\r\n", -1);
    size_t len = strlen(name);

    for (guint i = 1; lines[i] != NULL; i++) {
        if (g_ascii_strncasecmp(lines[i], name, len) == 0 &&
            lines[i][len] == ':') {
            return g_strdup(g_strstrip(lines[i] + len + 1));
        }
    }
    return NULL;
}

/* Moves the head out of the bytes received so far once it is complete. */
static void
split_head(struct reply *r)
{
    char *end;

    if (r->status != 0) {
        return;
    }
    end = g_strstr_len((char *)r->body->data, r->body->len, "\r\n\r\n");
    if (end != NULL) {
        gsize len = (gsize)(end + 4 - (char *)r->body->data);

        g_string_append_len(r->head, (char *)r->body->data, (gssize)len);
        g_byte_array_remove_range(r->body, 0, (guint)len);
        r->status = atoi(r->head->str + strlen("HTTP/1.1 "));
    }
}

/* Decodes a chunked body once its last chunk has been received; until then the
 * body stays encoded. Returns whether the body is complete. */
static bool
decode_chunks(struct reply *r)
{
    GByteArray *decoded = g_byte_array_new();
    guint at = 0;

    while (at < r->body->len) {
        char *line = (char *)r->body->data + at;
        char *end = g_strstr_len(line, r->body->len - at, "\r\n");
        gulong size = end != NULL ? strtoul(line, NULL, 16) : 0;
        guint data = end != NULL ? at + (guint)(end - line) + 2 : 0;

        if (end == NULL || data + size + 2 > r->body->len) {
            break;
        }
        if (size == 0) {
            g_byte_array_unref(r->body);
            r->body = decoded;
            return true;
        }
        g_byte_array_append(decoded, r->body->data + data, (guint)size);
        at = data + (guint)size + 2;
    }
    g_byte_array_unref(decoded);
    return false;
}

static bool
is_complete(struct reply *r)
{
    g_autofree char *length = NULL, *encoding = NULL;

    if (r->status == 0) {
        return false;
    }
    length = reply_header(r, "content-length");
    encoding = reply_header(r, "transfer-encoding");
    if (r->status == 204 || r->status == 304) {
        return true;
    }
    if (encoding != NULL) {
        return decode_chunks(r);
    }
    return length != NULL && r->body->len >= strtoul(length, NULL, 10);
}

static void
read_reply(int fd, struct reply *r)
{
    guint8 buf[65536];
    ssize_t n;

    while (!r->complete && (n = read(fd, buf, sizeof(buf))) > 0) {
        g_byte_array_append(r->body, buf, (guint)n);
        split_head(r);
        r->complete = is_complete(r);
    }
}

int
client_send(const char *address, const char *bytes, size_t len)
{
    int fd = connect_to(address);
    size_t sent = 0;
    ssize_t n;

    /* A gateway may respond and close the connection before it has read the
     * whole request: a failed send is no error here. */
    while (fd >= 0 && sent < len &&
           (n = send(fd, bytes + sent, len - sent, MSG_NOSIGNAL)) > 0) {
        sent += (size_t)n;
    }
    return fd;
}

struct reply *
client_read(int fd)
{
    struct reply *r = g_new0(struct reply, 1);

    r->head = g_string_new(NULL);
    r->body = g_byte_array_new();
    if (fd >= 0) {
        read_reply(fd, r);
        close(fd);
    }
    return r;
}

struct reply *
client_raw(const char *address, const char *bytes, size_t len)
{
    return client_read(client_send(address, bytes, len));
}

struct reply *
client_request(const char *address, const char *method, const char *path,
               const char *headers, const char *body)
{
    GString *text = g_string_new(NULL);
    struct reply *r;

    g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", method,
                           path, address, headers != NULL ? headers : "");
    if (body != NULL) {
        g_string_append_printf(text, "Content-Length: %zu\r\n", strlen(body));
    }
    g_string_append_printf(text, "\r\n%s", body != NULL ? body : "");
    r = client_raw(address, text->str, text->len);
    g_string_free(text, TRUE);
    return r;
}

const char *
reply_text(struct reply *reply)
{
    static const guint8 end = 0;

    g_byte_array_append(reply->body, &end, 1);
    g_byte_array_set_size(reply->body, reply->body->len - 1);
    return (const char *)reply->body->data;
}

void
reply_free(struct reply *reply)
{
    g_string_free(reply->head, TRUE);
    g_byte_array_unref(reply->body);
    g_free(reply);
}

bool
client_await(bool (*condition)(void *data), void *data, int limit_ms)
{
    gint64 end = g_get_monotonic_time() + (gint64)limit_ms * 1000;

    while (!condition(data)) {
        if (g_get_monotonic_time() > end) {
            return false;
        }
        poll(NULL, 0, POLL_INTERVAL_MS);
    }
    return true;
}
