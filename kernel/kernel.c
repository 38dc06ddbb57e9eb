#include "kernel/kernel.h"

#include <string.h>

/* Capacity of the service table; a gateway has fewer than twelve services. */
#define MAX_SERVICES 32

struct delivery {
    ggw_service_id to; /* 0: all services except the sender */
    struct ggw_message *message;
};

struct ggw_kernel {
    const struct ggw_clock *clock;
    uv_loop_t loop;
    uv_prepare_t prepare; /* delivers messages before the loop polls */
    uv_check_t check;     /* delivers messages after the loop has polled */
    uv_idle_t idle;       /* keeps poll from blocking while messages wait */
    struct ggw_service *services[MAX_SERVICES];
    uint32_t services_len;
    uint32_t started_len; /* services started, the one that failed included */
    GQueue queue;         /* of struct delivery */
    bool stopping;
};

static void
deliver(struct ggw_kernel *kernel, struct delivery *delivery)
{
    struct ggw_message *m = delivery->message;

    for (uint32_t i = 0; i < kernel->started_len; i++) {
        struct ggw_service *s = kernel->services[i];
        bool is_receiver =
            delivery->to == 0 ? s->id != m->from : s->id == delivery->to;

        if (is_receiver && s->ops->receive != NULL) {
            s->ops->receive(s, m);
        }
    }
    m->ops->destroy(m);
    g_free(delivery);
}

/* The active handle alone makes the loop poll without blocking. */
static void
ignore_idle(uv_idle_t *idle)
{
}

/*
 * Delivers only the messages that were queued when the call began, so that two
 * services that reply to each other without end cannot starve the loop's
 * sockets.
 */
static void
deliver_queued(struct ggw_kernel *kernel)
{
    guint n = g_queue_get_length(&kernel->queue);

    while (n-- > 0) {
        deliver(kernel, g_queue_pop_head(&kernel->queue));
    }
    if (g_queue_is_empty(&kernel->queue)) {
        uv_idle_stop(&kernel->idle);
    }
}

static void
prepare_cb(uv_prepare_t *handle)
{
    deliver_queued(handle->data);
}

static void
check_cb(uv_check_t *handle)
{
    deliver_queued(handle->data);
}

struct ggw_kernel *
ggw_kernel_new(const struct ggw_clock *clock)
{
    struct ggw_kernel *k = g_new0(struct ggw_kernel, 1);

    k->clock = clock;
    g_queue_init(&k->queue);
    uv_loop_init(&k->loop);
    k->loop.data = k;
    uv_prepare_init(&k->loop, &k->prepare);
    uv_check_init(&k->loop, &k->check);
    uv_idle_init(&k->loop, &k->idle);
    k->prepare.data = k;
    k->check.data = k;
    return k;
}

void
ggw_kernel_add(struct ggw_kernel *kernel, struct ggw_service *service)
{
    g_assert(kernel->services_len < MAX_SERVICES);
    service->kernel = kernel;
    kernel->services[kernel->services_len] = service;
    service->id = ++kernel->services_len;
}

ggw_service_id
ggw_kernel_find(const struct ggw_kernel *kernel, const char *name)
{
    for (uint32_t i = 0; i < kernel->services_len; i++) {
        if (strcmp(kernel->services[i]->ops->name, name) == 0) {
            return kernel->services[i]->id;
        }
    }
    return 0;
}

static void
enqueue(struct ggw_kernel *kernel, ggw_service_id to, struct ggw_service *from,
        struct ggw_message *message)
{
    struct delivery *d = g_new(struct delivery, 1);

    message->from = from != NULL ? from->id : 0;
    d->to = to;
    d->message = message;
    g_queue_push_tail(&kernel->queue, d);
    if (!uv_is_closing((uv_handle_t *)&kernel->idle)) {
        uv_idle_start(&kernel->idle, ignore_idle);
    }
}

void
ggw_kernel_send_id(struct ggw_kernel *kernel, ggw_service_id to,
                   struct ggw_service *from, struct ggw_message *message)
{
    if (to == 0 || kernel->stopping) {
        message->ops->destroy(message);
        return;
    }
    enqueue(kernel, to, from, message);
}

void
ggw_kernel_send(struct ggw_kernel *kernel, const char *name,
                struct ggw_service *from, struct ggw_message *message)
{
    ggw_kernel_send_id(kernel, ggw_kernel_find(kernel, name), from, message);
}

void
ggw_kernel_reply(struct ggw_service *from, const struct ggw_message *request,
                 struct ggw_message *reply)
{
    reply->tag = request->tag;
    ggw_kernel_send_id(from->kernel, request->from, from, reply);
}

void
ggw_kernel_publish(struct ggw_kernel *kernel, struct ggw_service *from,
                   struct ggw_message *message)
{
    if (kernel->stopping) {
        message->ops->destroy(message);
        return;
    }
    enqueue(kernel, 0, from, message);
}

uv_loop_t *
ggw_kernel_loop(struct ggw_kernel *kernel)
{
    return &kernel->loop;
}

const struct ggw_clock *
ggw_kernel_clock(const struct ggw_kernel *kernel)
{
    return kernel->clock;
}

ggw_ms
ggw_kernel_now(const struct ggw_kernel *kernel)
{
    return ggw_clock_now(kernel->clock);
}

void
ggw_kernel_stop(struct ggw_kernel *kernel)
{
    if (kernel->stopping) {
        return;
    }
    kernel->stopping = true;
    for (uint32_t i = kernel->started_len; i > 0; i--) {
        struct ggw_service *s = kernel->services[i - 1];

        if (s->ops->stop != NULL) {
            s->ops->stop(s);
        }
    }
    uv_prepare_stop(&kernel->prepare);
    uv_check_stop(&kernel->check);
    uv_idle_stop(&kernel->idle);
    uv_close((uv_handle_t *)&kernel->prepare, NULL);
    uv_close((uv_handle_t *)&kernel->check, NULL);
    uv_close((uv_handle_t *)&kernel->idle, NULL);
}

bool
ggw_kernel_start(struct ggw_kernel *kernel, GError **error)
{
    bool ok = true;

    uv_prepare_start(&kernel->prepare, prepare_cb);
    uv_check_start(&kernel->check, check_cb);
    for (uint32_t i = 0; i < kernel->services_len && ok; i++) {
        struct ggw_service *s = kernel->services[i];

        ok = s->ops->start == NULL || s->ops->start(s, error);
        kernel->started_len = i + 1;
    }
    if (!ok) {
        ggw_kernel_stop(kernel);
    }
    return ok;
}

bool
ggw_kernel_run(struct ggw_kernel *kernel, GError **error)
{
    bool ok = ggw_kernel_start(kernel, error);

    uv_run(&kernel->loop, UV_RUN_DEFAULT);
    return ok;
}

void
ggw_kernel_destroy(struct ggw_kernel *kernel)
{
    struct delivery *d;

    if (kernel == NULL) {
        return;
    }
    if (!kernel->stopping) {
        ggw_kernel_stop(kernel);
        uv_run(&kernel->loop, UV_RUN_DEFAULT);
    }
    while ((d = g_queue_pop_head(&kernel->queue)) != NULL) {
        d->message->ops->destroy(d->message);
        g_free(d);
    }
    for (uint32_t i = 0; i < kernel->services_len; i++) {
        struct ggw_service *s = kernel->services[i];

        if (s->ops->destroy != NULL) {
            s->ops->destroy(s);
        }
    }
    uv_loop_close(&kernel->loop);
    g_free(kernel);
}

static void
shutdown_destroy(struct ggw_message *message)
{
    g_free(message);
}

const struct ggw_message_ops ggw_shutdown_ops = {
    .name = "SHUTDOWN",
    .destroy = shutdown_destroy,
};

struct ggw_message *
ggw_shutdown_new(void)
{
    struct ggw_message *m = g_new0(struct ggw_message, 1);

    m->ops = &ggw_shutdown_ops;
    return m;
}
