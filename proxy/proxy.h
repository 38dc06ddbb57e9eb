#ifndef GGW_PROXY_PROXY_H
#define GGW_PROXY_PROXY_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/kernel.h"
#include "proxy/dialect.h"

struct ggw_exchange;

/*
 * Service "proxy": accepts requests from clients and forwards each one to the
 * backend server that the service "slots" grants.
 */

/**
 * struct ggw_proxy_options - options of the service
 * @name: name of this gateway
 * @failure_domain: failure domain of this gateway
 * @incarnation: start time of this process, Unix ms
 * @listen_host: IP address to listen on
 * @listen_port: port to listen on; 0 lets the system choose one
 * @advertise_host: IP address at which clients reach this gateway; NULL for
 *                  @listen_host
 * @advertise_port: port at which clients reach this gateway; 0 for the
 *                  listener's port
 * @max_age: how long clients may cache an entry response
 * @drain: how long requests in progress may take after the listener has
 *         closed at shutdown; then they are cut off. From SHUTDOWN on, no
 *         request is sent whose response cannot be expected before.
 * @head_timeout: longest time for a request head, and between two reads of a
 *                request body; 0 for 10 s
 * @client_idle_timeout: as idle_timeout of struct ggw_listener_options
 * @client_progress_timeout: as progress_timeout of that struct
 * @ready_after: shortest time from start until the gateway reports that it is
 *               ready; it also needs the settings of a team for that
 * @progress_timeout: longest gap between two reads of a response body; 0 for
 *                    5 s
 * @leave_listen: time from SHUTDOWN until the listener closes; 0 for @max_age
 *                plus 1 s
 * @leave_accept: time from SHUTDOWN during which all requests are accepted;
 *                later ones that match a route are refused at once. 0 accepts
 *                all requests until the listener closes.
 * @deadline_grace: how long to wait for the server's response after the
 *                  deadline of a request
 * @dialect: header names to use; NULL for ggw_default_dialect
 * @half_close_disconnects: a client that closes its sending side counts as
 *                          disconnected
 * @pages_apart: the gateway's own pages are not served to clients, but on
 *               another listener, which calls ggw_proxy_serve_page()
 * @pages_port: port of that listener, the same on all gateways
 * @memory: memory of the machine, bytes; 0 if unknown
 * @descriptors: descriptors that the machine leaves for sockets; 0 if unknown
 *
 * All durations are in ms. Strings are copied.
 */
struct ggw_proxy_options {
    const char *name;
    const char *failure_domain;
    uint64_t incarnation;
    const char *listen_host;
    uint16_t listen_port;
    const char *advertise_host;
    uint16_t advertise_port;
    ggw_ms max_age;
    ggw_ms drain;
    ggw_ms head_timeout;
    ggw_ms client_idle_timeout;
    ggw_ms client_progress_timeout;
    ggw_ms ready_after;
    ggw_ms progress_timeout;
    ggw_ms leave_listen;
    ggw_ms leave_accept;
    ggw_ms deadline_grace;
    const struct ggw_dialect *dialect;
    bool half_close_disconnects;
    bool pages_apart;
    uint16_t pages_port;
    uint64_t memory;
    uint64_t descriptors;
};

/**
 * ggw_proxy_service_new() - create the service
 *
 * Return: the service, to be added to a kernel, which destroys it.
 */
struct ggw_service *
ggw_proxy_service_new(const struct ggw_proxy_options *options);

/**
 * ggw_proxy_is_page() - whether a request is for a page of the gateway itself
 */
bool ggw_proxy_is_page(const struct ggw_exchange *x);

/**
 * ggw_proxy_serve_page() - respond to a request for a page of the gateway
 * @service: the service "proxy"
 * @x: exchange of any listener of the same event loop
 */
void ggw_proxy_serve_page(struct ggw_service *service, struct ggw_exchange *x);

/**
 * ggw_proxy_port() - port that the service listens on
 *
 * Return: 0 before the service has started.
 */
uint16_t ggw_proxy_port(const struct ggw_service *service);

#endif
