#ifndef GGW_KERNEL_KERNEL_H
#define GGW_KERNEL_KERNEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "kernel/clock.h"

/*
 * Micro-kernel: runs named services on one libuv loop. Each service owns its
 * sockets and its state. Services communicate only by messages. The kernel
 * queues messages and delivers them in order, never from within the call that
 * sends them.
 */

struct ggw_kernel;
struct ggw_service;
struct ggw_message;

/* Index of a service in the kernel's table plus one; 0 means no service. */
typedef uint32_t ggw_service_id;

/**
 * struct ggw_message_ops - message type
 * @name: name of the type in logs
 * @destroy: frees the message and everything that it owns
 */
struct ggw_message_ops {
    const char *name;
    void (*destroy)(struct ggw_message *message);
};

/**
 * struct ggw_message - header of a message, embedded as its first member
 * @ops: message type; receivers compare it with the addresses of known types
 * @from: sender, which receives replies; 0 when no service sent the message
 * @tag: identifier that the sender of a request chooses; ggw_kernel_reply()
 *       copies it into the reply
 */
struct ggw_message {
    const struct ggw_message_ops *ops;
    ggw_service_id from;
    uint64_t tag;
};

/**
 * struct ggw_service_ops - service type
 * @name: name by which ggw_kernel_find() and ggw_kernel_send() look it up
 * @start: opens sockets and timers; returns false with the error set on
 *         failure. May be NULL
 * @receive: handles one message, which the kernel destroys afterwards; NULL
 *           for a service that receives no messages
 * @stop: closes sockets and timers; the loop runs until all are closed. May be
 *        NULL
 * @destroy: frees the service after the loop has ended. May be NULL
 */
struct ggw_service_ops {
    const char *name;
    bool (*start)(struct ggw_service *service, GError **error);
    void (*receive)(struct ggw_service *service, struct ggw_message *message);
    void (*stop)(struct ggw_service *service);
    void (*destroy)(struct ggw_service *service);
};

/**
 * struct ggw_service - header of a service, embedded as its first member
 * @ops: service type
 * @kernel: kernel that owns the service; set by ggw_kernel_add()
 * @id: identifier within @kernel; set by ggw_kernel_add()
 */
struct ggw_service {
    const struct ggw_service_ops *ops;
    struct ggw_kernel *kernel;
    ggw_service_id id;
};

/**
 * ggw_kernel_new() - create a kernel with its own event loop
 * @clock: time source of all services; must outlive the kernel
 *
 * Return: a new kernel, to be freed with ggw_kernel_destroy().
 */
struct ggw_kernel *ggw_kernel_new(const struct ggw_clock *clock);

/**
 * ggw_kernel_add() - register a service
 * @service: service to register; the kernel takes ownership
 */
void ggw_kernel_add(struct ggw_kernel *kernel, struct ggw_service *service);

/**
 * ggw_kernel_find() - look up a service by name
 *
 * Return: the service's id, or 0 when no service has that name.
 */
ggw_service_id ggw_kernel_find(const struct ggw_kernel *kernel,
                               const char *name);

/**
 * ggw_kernel_send() - queue a message for a service looked up by name
 * @name: name of the receiver
 * @from: sender; NULL when no service sends the message
 * @message: message to send; the kernel takes ownership
 *
 * A message to an unknown name is destroyed, because some services are
 * optional. So is every message sent after ggw_kernel_stop().
 */
void ggw_kernel_send(struct ggw_kernel *kernel, const char *name,
                     struct ggw_service *from, struct ggw_message *message);

/**
 * ggw_kernel_reply() - queue a reply to the sender of a request
 * @from: service that replies
 * @request: request to reply to; its tag is copied into the reply
 * @reply: reply to send; the kernel takes ownership
 */
void ggw_kernel_reply(struct ggw_service *from,
                      const struct ggw_message *request,
                      struct ggw_message *reply);

/**
 * ggw_kernel_send_id() - queue a message for a service given by its id
 * @to: receiver; the message is destroyed when it is 0
 * @from: sender; NULL when no service sends the message
 * @message: message to send; the kernel takes ownership
 */
void ggw_kernel_send_id(struct ggw_kernel *kernel, ggw_service_id to,
                        struct ggw_service *from, struct ggw_message *message);

/**
 * ggw_kernel_publish() - queue a message for all services except the sender
 * @from: sender; NULL when no service sends the message
 * @message: message to send; the kernel takes ownership
 */
void ggw_kernel_publish(struct ggw_kernel *kernel, struct ggw_service *from,
                        struct ggw_message *message);

/**
 * ggw_kernel_loop() - get the event loop on which all services run
 */
uv_loop_t *ggw_kernel_loop(struct ggw_kernel *kernel);

/**
 * ggw_kernel_clock() - get the time source of all services
 */
const struct ggw_clock *ggw_kernel_clock(const struct ggw_kernel *kernel);

/**
 * ggw_kernel_now() - read the monotonic time of the kernel's clock in ms
 */
ggw_ms ggw_kernel_now(const struct ggw_kernel *kernel);

/**
 * ggw_kernel_start() - start all services in the order of registration
 *
 * For programs that run the loop of ggw_kernel_loop() themselves, such as
 * tests with several kernels.
 *
 * Return: false with the error set when a service failed to start; the kernel
 * is then stopped.
 */
bool ggw_kernel_start(struct ggw_kernel *kernel, GError **error);

/**
 * ggw_kernel_run() - start all services and run the loop until
 *                    ggw_kernel_stop()
 *
 * Return: false with the error set when a service failed to start.
 */
bool ggw_kernel_run(struct ggw_kernel *kernel, GError **error);

/**
 * ggw_kernel_stop() - stop all services in reverse order
 *
 * The loop ends once every handle is closed.
 */
void ggw_kernel_stop(struct ggw_kernel *kernel);

/**
 * ggw_kernel_destroy() - stop and free a kernel, its services and its queue
 * @kernel: kernel to free; may be NULL
 */
void ggw_kernel_destroy(struct ggw_kernel *kernel);

/*
 * Type of the message that is published once when the process is asked to
 * shut down. The service "proxy" calls ggw_kernel_stop() when its last request
 * has finished.
 */
extern const struct ggw_message_ops ggw_shutdown_ops;

/**
 * ggw_shutdown_new() - create a shutdown message
 */
struct ggw_message *ggw_shutdown_new(void);

#endif
