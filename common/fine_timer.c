#include "common/fine_timer.h"

#include <errno.h>
#include <math.h>
#include <stdint.h>
#include <sys/timerfd.h>
#include <unistd.h>

struct ggw_fine_timers {
    uv_poll_t poll;
    int fd;
    GPtrArray *heap;  /* of struct ggw_fine_timer, earliest deadline at 0 */
    ggw_ms armed_due; /* deadline set in the timerfd in ms; 0 when disarmed */
};

static struct ggw_fine_timer *
timer_at(const struct ggw_fine_timers *set, size_t i)
{
    return g_ptr_array_index(set->heap, i);
}

static void
heap_set(struct ggw_fine_timers *set, size_t i, struct ggw_fine_timer *timer)
{
    set->heap->pdata[i] = timer;
    timer->pos = i + 1;
}

static void
sift_up(struct ggw_fine_timers *set, size_t i)
{
    struct ggw_fine_timer *t = timer_at(set, i);

    while (i > 0 && timer_at(set, (i - 1) / 2)->due > t->due) {
        heap_set(set, i, timer_at(set, (i - 1) / 2));
        i = (i - 1) / 2;
    }
    heap_set(set, i, t);
}

static void
sift_down(struct ggw_fine_timers *set, size_t i)
{
    struct ggw_fine_timer *t = timer_at(set, i);
    size_t len = set->heap->len;

    for (size_t child = 2 * i + 1; child < len; child = 2 * i + 1) {
        if (child + 1 < len &&
            timer_at(set, child + 1)->due < timer_at(set, child)->due) {
            child++;
        }
        if (timer_at(set, child)->due >= t->due) {
            break;
        }
        heap_set(set, i, timer_at(set, child));
        i = child;
    }
    heap_set(set, i, t);
}

/* Sets the timerfd to the earliest deadline. */
static void
arm_timerfd(struct ggw_fine_timers *set)
{
    struct itimerspec spec = {0};
    ggw_ms due = set->heap->len > 0 ? timer_at(set, 0)->due : 0;

    if (due == set->armed_due) {
        return;
    }
    set->armed_due = due;
    if (due > 0) {
        spec.it_value.tv_sec = (time_t)(due / 1e3);
        spec.it_value.tv_nsec = (long)(fmod(due, 1e3) * 1e6);
        if (spec.it_value.tv_sec == 0 && spec.it_value.tv_nsec == 0) {
            spec.it_value.tv_nsec = 1; /* 0 would disarm the timerfd */
        }
    }
    timerfd_settime(set->fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void
heap_remove(struct ggw_fine_timers *set, struct ggw_fine_timer *timer)
{
    size_t i = timer->pos - 1;
    struct ggw_fine_timer *last = timer_at(set, set->heap->len - 1);

    timer->pos = 0;
    g_ptr_array_set_size(set->heap, (gint)set->heap->len - 1);
    if (last != timer) {
        heap_set(set, i, last);
        sift_up(set, i);
        sift_down(set, last->pos - 1);
    }
}

static void
poll_cb(uv_poll_t *poll, int status, int events)
{
    struct ggw_fine_timers *set = poll->data;
    ggw_ms now = ggw_clock_now(ggw_clock_system());
    uint64_t expirations;

    if (read(set->fd, &expirations, sizeof(expirations)) < 0 &&
        errno != EAGAIN) {
        return;
    }
    set->armed_due = 0;
    while (set->heap->len > 0 && timer_at(set, 0)->due <= now) {
        struct ggw_fine_timer *t = timer_at(set, 0);

        heap_remove(set, t);
        t->cb(t);
    }
    arm_timerfd(set);
}

struct ggw_fine_timers *
ggw_fine_timers_new(uv_loop_t *loop)
{
    struct ggw_fine_timers *set;
    int fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);

    if (fd < 0) {
        return NULL;
    }
    set = g_new0(struct ggw_fine_timers, 1);
    set->fd = fd;
    set->heap = g_ptr_array_new();
    uv_poll_init(loop, &set->poll, fd);
    set->poll.data = set;
    uv_poll_start(&set->poll, UV_READABLE, poll_cb);
    return set;
}

static void
closed_cb(uv_handle_t *handle)
{
    struct ggw_fine_timers *set = handle->data;

    close(set->fd);
    g_ptr_array_free(set->heap, TRUE);
    g_free(set);
}

void
ggw_fine_timers_close(struct ggw_fine_timers *set)
{
    if (set == NULL) {
        return;
    }
    while (set->heap->len > 0) {
        heap_remove(set, timer_at(set, set->heap->len - 1));
    }
    uv_poll_stop(&set->poll);
    uv_close((uv_handle_t *)&set->poll, closed_cb);
}

void
ggw_fine_timer_stop(struct ggw_fine_timers *set, struct ggw_fine_timer *timer)
{
    if (timer->pos > 0) {
        heap_remove(set, timer);
        arm_timerfd(set);
    }
}

void
ggw_fine_timer_start(struct ggw_fine_timers *set, struct ggw_fine_timer *timer,
                     ggw_ms due, ggw_fine_timer_cb cb)
{
    if (timer->pos > 0) {
        heap_remove(set, timer);
    }
    timer->due = due;
    timer->cb = cb;
    g_ptr_array_add(set->heap, timer);
    heap_set(set, set->heap->len - 1, timer);
    sift_up(set, set->heap->len - 1);
    arm_timerfd(set);
}
