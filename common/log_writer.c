#include "common/log_writer.h"

#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

/* Bytes that a pipe accepts without blocking when poll() reports POLLOUT. */
#define CHUNK PIPE_BUF

struct ggw_log_writer {
    int fd;
    char *buffer;
    size_t size;
    size_t start;
    size_t len;
    uint64_t dropped;
};

struct ggw_log_writer *
ggw_log_writer_new(int fd, size_t size)
{
    struct ggw_log_writer *w = g_new0(struct ggw_log_writer, 1);

    w->fd = fd;
    w->size = size;
    w->buffer = g_malloc(size);
    return w;
}

void
ggw_log_writer_free(struct ggw_log_writer *w)
{
    if (w == NULL) {
        return;
    }
    ggw_log_writer_flush(w);
    g_free(w->buffer);
    g_free(w);
}

/*
 * Returns the free bytes of the ring buffer for a line of the given
 * importance. Routine lines may use three quarters of the buffer.
 */
static size_t
free_space(const struct ggw_log_writer *w, enum ggw_log_importance importance)
{
    size_t limit = importance == GGW_LOG_IMPORTANT ? w->size : w->size / 4 * 3;

    return limit > w->len ? limit - w->len : 0;
}

bool
ggw_log_writer_put(struct ggw_log_writer *w,
                   enum ggw_log_importance importance, const char *line,
                   size_t len)
{
    size_t end = (w->start + w->len) % w->size;
    size_t first = MIN(len, w->size - end);

    if (len > free_space(w, importance)) {
        w->dropped++;
        return false;
    }
    memcpy(w->buffer + end, line, first);
    memcpy(w->buffer, line + first, len - first);
    w->len += len;
    return true;
}

static bool
is_writable(int fd)
{
    struct pollfd p = {.fd = fd, .events = POLLOUT};

    return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0;
}

void
ggw_log_writer_flush(struct ggw_log_writer *w)
{
    while (w->len > 0 && is_writable(w->fd)) {
        size_t n = MIN(MIN(w->len, w->size - w->start), (size_t)CHUNK);
        ssize_t written = write(w->fd, w->buffer + w->start, n);

        if (written <= 0) {
            return;
        }
        w->start = (w->start + (size_t)written) % w->size;
        w->len -= (size_t)written;
    }
}

uint64_t
ggw_log_writer_dropped(const struct ggw_log_writer *w)
{
    return w->dropped;
}
