#ifndef GGW_KERNEL_KERNEL_H
#define GGW_KERNEL_KERNEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "kernel/clock.h"

/*
 * The micro-kernel: services registered under a name on one libuv loop. Each
 * service owns its sockets and its state. Services talk only by messages,
 * which the kernel queues and delivers in order, never from inside send().
 */

struct ggw_kernel;
struct ggw_service;
struct ggw_message;

/* Position of a service in the kernel's table plus one; 0 is no service. */
typedef uint32_t ggw_service_id;

/**
 * struct ggw_message_ops - type of a message
 * @name: name for logs
 * @destroy: frees the message and what it owns
 */
struct ggw_message_ops {
    const char *name;
    void (*destroy)(struct ggw_message *message);
};

/**
 * struct ggw_message - first member of every message
 * @ops: type; receivers compare it with the address of a known type
 * @from: sender, where an answer goes
 * @tag: set by the sender of a request and copied into its answer
 */
struct ggw_message {
    const struct ggw_message_ops *ops;
    ggw_service_id from;
    uint64_t tag;
};

/**
 * struct ggw_service_ops - type of a service
 * @name: name under which others find it
 * @start: opens its sockets and timers; returns false and sets the error on
 *         failure
 * @receive: handles one message; the kernel destroys it afterwards. NULL for a
 *           service that takes none
 * @stop: closes its sockets and timers; the loop runs until all are closed
 * @destroy: frees the service after the loop has ended
 */
struct ggw_service_ops {
    const char *name;
    bool (*start)(struct ggw_service *service, GError **error);
    void (*receive)(struct ggw_service *service, struct ggw_message *message);
    void (*stop)(struct ggw_service *service);
    void (*destroy)(struct ggw_service *service);
};

/**
 * struct ggw_service - first member of every service
 * @ops: type
 * @kernel: set by ggw_kernel_add()
 * @id: set by ggw_kernel_add()
 */
struct ggw_service {
    const struct ggw_service_ops *ops;
    struct ggw_kernel *kernel;
    ggw_service_id id;
};

/**
 * ggw_kernel_new() - make a kernel on a loop of its own
 * @clock: time for every service; must outlive the kernel
 */
struct ggw_kernel *ggw_kernel_new(const struct ggw_clock *clock);

/**
 * ggw_kernel_add() - register a service; the kernel owns it from now on
 */
void ggw_kernel_add(struct ggw_kernel *kernel, struct ggw_service *service);

/**
 * ggw_kernel_find() - look up a service by name
 *
 * Return: its id, or 0 when no service has that name.
 */
ggw_service_id ggw_kernel_find(const struct ggw_kernel *kernel,
                               const char *name);

/**
 * ggw_kernel_send() - queue a message for a service found by name
 *
 * Takes ownership of @message. A message to a name that does not exist is
 * destroyed; a gateway without an optional service then simply lacks it.
 */
void ggw_kernel_send(struct ggw_kernel *kernel, const char *name,
                     struct ggw_service *from, struct ggw_message *message);

/**
 * ggw_kernel_reply() - queue an answer to the sender of a request
 * @request: its sender receives @answer, with the same tag
 */
void ggw_kernel_reply(struct ggw_service *from,
                      const struct ggw_message *request,
                      struct ggw_message *answer);

/**
 * ggw_kernel_send_id() - queue a message for a service by its id
 */
void ggw_kernel_send_id(struct ggw_kernel *kernel, ggw_service_id to,
                        struct ggw_service *from, struct ggw_message *message);

/**
 * ggw_kernel_publish() - deliver one message to every other service
 */
void ggw_kernel_publish(struct ggw_kernel *kernel, struct ggw_service *from,
                        struct ggw_message *message);

uv_loop_t *ggw_kernel_loop(struct ggw_kernel *kernel);
const struct ggw_clock *ggw_kernel_clock(const struct ggw_kernel *kernel);
ggw_ms ggw_kernel_now(const struct ggw_kernel *kernel);

/**
 * ggw_kernel_start() - start all services
 *
 * For programs that drive the loop of ggw_kernel_loop() themselves, such as
 * tests with several kernels.
 *
 * Return: false with the error set when a service did not start.
 */
bool ggw_kernel_start(struct ggw_kernel *kernel, GError **error);

/**
 * ggw_kernel_run() - start all services and run until ggw_kernel_stop()
 *
 * Return: false with the error set when a service did not start.
 */
bool ggw_kernel_run(struct ggw_kernel *kernel, GError **error);

/**
 * ggw_kernel_stop() - stop every service and end the loop
 */
void ggw_kernel_stop(struct ggw_kernel *kernel);

void ggw_kernel_destroy(struct ggw_kernel *kernel);

/*
 * Published once when the process was asked to leave. The service "proxy"
 * calls ggw_kernel_stop() when its last request has finished.
 */
extern const struct ggw_message_ops ggw_shutdown_ops;
struct ggw_message *ggw_shutdown_new(void);

#endif
