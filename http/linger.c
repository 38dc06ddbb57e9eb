#include "http/linger.h"

#include <glib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/metrics.h"

/* Interval at which a socket is checked, ms. */
#define TICK_MS 20

/*
 * A socket is closed when the client has acknowledged no byte for this time,
 * or has acknowledged all bytes this long ago, ms.
 */
#define IDLE_MS 1000

/* A socket is closed after this time, ms. */
#define MAX_MS 30000

/* Time for all sockets after ggw_lingers_stop(), ms. */
#define STOP_MS 200

/**
 * struct lingering - a socket whose sending side is closed
 * @timer: closes the socket when it is due
 * @open_handles: libuv handles that are not closed yet
 * @owner: the set
 * @link: in the list of @owner
 * @unsent: bytes that the client had not acknowledged at the last check
 * @progress_at: loop time in ms of the last acknowledgement that was seen
 * @close_by: loop time in ms at which the socket is closed
 */
struct lingering {
    uv_tcp_t tcp;
    uv_timer_t timer;
    int open_handles;
    struct ggw_lingers *owner;
    h2o_linklist_t link;
    int unsent;
    ggw_ms progress_at;
    ggw_ms close_by;
};

static ggw_ms
now_ms(const struct ggw_lingers *l)
{
    return (ggw_ms)uv_now(l->loop);
}

static void
closed_cb(uv_handle_t *handle)
{
    struct lingering *s = handle->data;

    if (--s->open_handles == 0) {
        g_free(s);
    }
}

static void
close_lingering(struct lingering *s)
{
    h2o_linklist_unlink(&s->link);
    s->owner->len--;
    uv_close((uv_handle_t *)&s->tcp, closed_cb);
    uv_close((uv_handle_t *)&s->timer, closed_cb);
}

static void
alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    static char dropped[16384]; /* never read */

    *buf = uv_buf_init(dropped, sizeof(dropped));
}

static void
read_cb(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
    if (nread < 0) {
        close_lingering(stream->data);
    }
}

static int
unsent_bytes(const struct lingering *s)
{
    int fd, unsent;

    if (uv_fileno((const uv_handle_t *)&s->tcp, &fd) != 0 ||
        ioctl(fd, TIOCOUTQ, &unsent) != 0) {
        return 0;
    }
    return unsent;
}

static bool
is_due(struct lingering *s, ggw_ms now)
{
    int unsent = unsent_bytes(s);

    if (unsent != s->unsent) {
        s->unsent = unsent;
        s->progress_at = now;
    }
    return now >= s->close_by || now - s->progress_at >= IDLE_MS;
}

static void
timer_cb(uv_timer_t *timer)
{
    struct lingering *s = timer->data;

    if (is_due(s, now_ms(s->owner))) {
        close_lingering(s);
    }
}

void
ggw_lingers_init(struct ggw_lingers *l, uv_loop_t *loop)
{
    l->loop = loop;
    h2o_linklist_init_anchor(&l->list);
}

void
ggw_lingers_add(struct ggw_lingers *l, int fd)
{
    struct lingering *s = g_new0(struct lingering, 1);
    ggw_ms now = now_ms(l);

    s->owner = l;
    s->progress_at = now;
    s->close_by = now + (l->stopped ? STOP_MS : MAX_MS);
    uv_tcp_init(l->loop, &s->tcp);
    uv_timer_init(l->loop, &s->timer);
    s->tcp.data = s;
    s->timer.data = s;
    s->open_handles = 2;
    h2o_linklist_insert(&l->list, &s->link);
    l->len++;
    if (uv_tcp_open(&s->tcp, fd) != 0) {
        close(fd);
        close_lingering(s);
        return;
    }
    ggw_count("ggw_lingering_closes_total");
    shutdown(fd, SHUT_WR);
    s->unsent = unsent_bytes(s);
    uv_read_start((uv_stream_t *)&s->tcp, alloc_cb, read_cb);
    uv_timer_start(&s->timer, timer_cb, TICK_MS, TICK_MS);
}

bool
ggw_lingers_close_one(struct ggw_lingers *l)
{
    for (h2o_linklist_t *link = l->list.next; link != &l->list;
         link = link->next) {
        struct lingering *s =
            H2O_STRUCT_FROM_MEMBER(struct lingering, link, link);

        if (unsent_bytes(s) == 0) {
            close_lingering(s);
            return true;
        }
    }
    return false;
}

void
ggw_lingers_stop(struct ggw_lingers *l)
{
    ggw_ms close_by = now_ms(l) + STOP_MS;

    l->stopped = true;
    for (h2o_linklist_t *link = l->list.next; link != &l->list;
         link = link->next) {
        struct lingering *s =
            H2O_STRUCT_FROM_MEMBER(struct lingering, link, link);

        s->close_by = MIN(s->close_by, close_by);
    }
}
