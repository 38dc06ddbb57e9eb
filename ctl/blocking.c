#include "ctl/blocking.h"

#include <string.h>

/*
 * Different addresses in one round. Each address has a service of its own, and
 * the kernel's table of services has room for 32.
 */
#define MAX_ADDRESSES 24

/* Service that sends the requests of one round and collects the results. */
struct requester {
    struct ggw_service base;
    struct ggw_blocking_request *requests;
    size_t len;
    size_t answered;
};

/*
 * Moves the contents of a result into a new message, because the kernel
 * destroys a message after its delivery. Returns NULL for other messages.
 */
static struct ggw_message *
move_result(struct ggw_message *message)
{
    if (message->ops == &ggw_txn_result_ops) {
        struct ggw_txn_result *from = (struct ggw_txn_result *)message;
        struct ggw_txn_result *to = ggw_txn_result_new(from->status);
        GArray *rows = to->rows;

        to->rows = from->rows;
        from->rows = rows;
        return &to->base;
    }
    if (message->ops == &ggw_object_result_ops) {
        struct ggw_object_result *from = (struct ggw_object_result *)message;
        struct ggw_object_result *to = ggw_object_result_new(from->status);

        to->etag = g_steal_pointer(&from->etag);
        to->body = g_steal_pointer(&from->body);
        return &to->base;
    }
    return NULL;
}

static void
requester_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct requester *requester = (struct requester *)service;
    struct ggw_message *result = move_result(message);

    if (result == NULL) {
        return;
    }
    requester->requests[message->tag].result = result;
    requester->answered++;
    if (requester->answered == requester->len) {
        ggw_kernel_stop(service->kernel);
    }
}

static const struct ggw_service_ops requester_ops = {
    .name = "asker",
    .receive = requester_receive,
};

/* Returns the index of the first request with the address of request i. */
static size_t
first_with_address(const struct ggw_blocking_request *requests, size_t i)
{
    for (size_t j = 0; j < i; j++) {
        if (strcmp(requests[j].host, requests[i].host) == 0 &&
            requests[j].port == requests[i].port) {
            return j;
        }
    }
    return i;
}

/* Returns how many requests, from the first on, fit into one round. */
static size_t
round_len(const struct ggw_blocking_request *requests, size_t len)
{
    size_t addresses = 0;

    for (size_t i = 0; i < len; i++) {
        addresses += first_with_address(requests, i) == i ? 1 : 0;
        if (addresses > MAX_ADDRESSES) {
            return i;
        }
    }
    return len;
}

static bool
run_round(struct ggw_blocking_request *requests, size_t len, GError **error)
{
    struct ggw_kernel *kernel = ggw_kernel_new(ggw_clock_system());
    struct requester requester = {
        .base.ops = &requester_ops,
        .requests = requests,
        .len = len,
    };
    struct ggw_service **services = g_new0(struct ggw_service *, len);
    bool ok;

    ggw_kernel_add(kernel, &requester.base);
    for (size_t i = 0; i < len; i++) {
        size_t first = first_with_address(requests, i);

        services[i] = services[first];
        if (first == i) {
            services[i] =
                ggw_platform_service_new(requests[i].host, requests[i].port);
            ggw_kernel_add(kernel, services[i]);
        }
        requests[i].result = NULL;
        requests[i].message->tag = i;
        ggw_kernel_send_id(kernel, services[i]->id, &requester.base,
                           requests[i].message);
        requests[i].message = NULL;
    }
    ok = ggw_kernel_run(kernel, error);
    ggw_kernel_destroy(kernel);
    g_free(services);
    return ok;
}

bool
ggw_blocking_run(struct ggw_blocking_request *requests, size_t len,
                 GError **error)
{
    bool ok = true;

    for (size_t i = 0, n; i < len; i += n) {
        n = round_len(requests + i, len - i);
        /* Runs every round, also after an error, to consume every message. */
        ok = run_round(requests + i, n, ok ? error : NULL) && ok;
    }
    return ok;
}

void
ggw_blocking_clear(struct ggw_blocking_request *requests, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        if (requests[i].result != NULL) {
            requests[i].result->ops->destroy(requests[i].result);
            requests[i].result = NULL;
        }
    }
}
