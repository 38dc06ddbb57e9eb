#ifndef GGW_PROXY_PROXY_H
#define GGW_PROXY_PROXY_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/kernel.h"
#include "proxy/dialect.h"

/*
 * Service "proxy": takes the clients' requests and forwards each to the
 * backend server that the service "slots" grants.
 */

/**
 * struct ggw_proxy_options - settings of the service
 * @name: of this gateway
 * @failure_domain: of this gateway
 * @incarnation: start time of this process in Unix ms
 * @listen_host: IP number
 * @listen_port: 0 lets the system choose one
 * @advertise_host: where clients reach this gateway; NULL for @listen_host
 * @advertise_port: 0 for the port that is listened on
 * @keep: longest time that clients use an entry response
 * @drain: longest time for the last requests at shutdown
 * @head_timeout: longest time for a request's head; 0 for 10 s
 * @ready_after: time from the start until the gateway reports ready
 * @progress_timeout: longest gap in a response's body; 0 for 5 s
 * @leave_listen: time from the start of leaving until the listener is closed;
 *                0 for a little more than @keep
 * @leave_accept: time from the start of leaving in which requests are taken;
 *                later ones that a route names are refused at once; 0 for all
 *                that arrive
 * @deadline_grace: time after a request's deadline in which its server's own
 *                  answer is awaited
 * @dialect: NULL for the project's own
 * @half_close_disconnects: a client that closes its sending side has left
 *
 * All times in ms. Strings are copied.
 */
struct ggw_proxy_options {
    const char *name;
    const char *failure_domain;
    uint64_t incarnation;
    const char *listen_host;
    uint16_t listen_port;
    const char *advertise_host;
    uint16_t advertise_port;
    ggw_ms keep;
    ggw_ms drain;
    ggw_ms head_timeout;
    ggw_ms ready_after;
    ggw_ms progress_timeout;
    ggw_ms leave_listen;
    ggw_ms leave_accept;
    ggw_ms deadline_grace;
    const struct ggw_dialect *dialect;
    bool half_close_disconnects;
};

struct ggw_service *
ggw_proxy_service_new(const struct ggw_proxy_options *options);

/**
 * ggw_proxy_port() - port of the listener; 0 before the service has started
 */
uint16_t ggw_proxy_port(const struct ggw_service *service);

#endif
