#ifndef GGW_DECIDE_CLIENTS_H
#define GGW_DECIDE_CLIENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"

/**
 * DOC: Limits for all clients of a gateway together (design 5.9)
 *
 * Divides the descriptors of the process between clients and the rest, and
 * decides which connection gives way to a new one. The code does no I/O and
 * reads no clock.
 */

/* Most connections from clients, however many descriptors there are. */
#define GGW_CLIENT_CONNECTIONS_MAX 16384

/*
 * A connection gives way to a new one only after this time in its state, ms:
 * its next bytes may be on their way. New connections wait meanwhile.
 */
#define GGW_CLIENT_GRACE_MS 200

/* Limit for the bytes of all requests that have not been answered yet. */
#define GGW_CLIENT_BYTES_MAX ((size_t)32 << 20)

/**
 * struct ggw_client_limits - limits for all clients of a listener together
 * @connections: open connections, and closed ones whose client may not have
 *               its last response yet
 * @requests: requests in progress; less than @connections, so that a
 *            connection without a request in progress can give way
 * @bytes: bytes of requests that have not been answered yet
 */
struct ggw_client_limits {
    unsigned connections;
    unsigned requests;
    size_t bytes;
};

/**
 * ggw_client_limits() - divide the descriptors of a process
 * @descriptors: number of descriptors that the process may open
 *
 * A quarter of @descriptors, at most 2048, is kept for files, the store, other
 * gateways and the listeners of pages. Half of the rest is for clients, the
 * other half for backend servers.
 *
 * Return: the limits of the listener for requests to backend servers.
 */
struct ggw_client_limits ggw_client_limits(uint64_t descriptors);

/**
 * ggw_page_client_limits() - limits of a listener that serves pages only
 *
 * Return: limits that three such listeners can reach within the descriptors
 * that ggw_client_limits() keeps.
 */
struct ggw_client_limits ggw_page_client_limits(uint64_t descriptors);

/**
 * ggw_peer_link_limit() - most links whose other end has not said who it is
 *
 * Return: a quarter of the descriptors that ggw_client_limits() keeps. More
 * gateways than that do not connect at once.
 */
unsigned ggw_peer_link_limit(uint64_t descriptors);

/**
 * enum ggw_client_state - state of a connection; the first gives way first
 * @GGW_CLIENT_IDLE: no byte of a request has been read
 * @GGW_CLIENT_HEAD: a part of a request head has been read
 * @GGW_CLIENT_BODY: a request head and a part of its body have been read
 * @GGW_CLIENT_BUSY: a request is in progress, or a response is being sent
 */
enum ggw_client_state {
    GGW_CLIENT_IDLE,
    GGW_CLIENT_HEAD,
    GGW_CLIENT_BODY,
    GGW_CLIENT_BUSY,
};

/**
 * struct ggw_client - a connection as seen by the decision
 * @since: time at which it became idle, or of the first byte of the request
 *         that is being read, ms
 */
struct ggw_client {
    enum ggw_client_state state;
    ggw_ms since;
};

/**
 * ggw_client_gives_way() - whether a connection may be closed for another one
 * @now: ms
 *
 * Return: false while a request is in progress, which a server may run, and in
 * the first GGW_CLIENT_GRACE_MS of any state.
 */
bool ggw_client_gives_way(const struct ggw_client *c, ggw_ms now);

/**
 * ggw_client_gives_way_before() - compare two connections that may give way
 *
 * Return: whether @a gives way before @b: idle ones first, then those within a
 * head, then those within a body; among equals, the one that waits longest.
 */
bool ggw_client_gives_way_before(const struct ggw_client *a,
                                 const struct ggw_client *b);

#endif
