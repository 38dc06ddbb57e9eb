#ifndef GGW_DECIDE_MEMORY_H
#define GGW_DECIDE_MEMORY_H

#include <stddef.h>
#include <stdint.h>

#include "decide/clients.h"

/**
 * DOC: Division of the machine's memory (design 5.9)
 *
 * Derives the limits for what clients and servers make a gateway hold from the
 * memory of its machine. The code does no I/O and reads no clock.
 */

/* Largest body of a request where the memory is not known, bytes. */
#define GGW_BODY_MAX ((size_t)1 << 20)

/* Limit for responses that are held until complete, in bytes, at most. */
#define GGW_HELD_BYTES_MAX ((size_t)32 << 20)

/* A response up to this size may be held beyond that limit, in bytes. */
#define GGW_HELD_SMALL_MAX ((size_t)64 << 10)

/**
 * struct ggw_memory_limits - limits that follow from the memory
 * @bytes: bytes of all requests that are read or in progress
 * @body: largest body of one request, bytes
 * @requests: requests in progress
 * @held: bytes of all responses that are held until they are complete
 * @held_small: size in bytes up to which a response is held beyond @held
 * @passed: bytes of all responses that are passed on and wait for their
 *          client; beyond it, each waits with one read
 * @receive_buffer: receive buffer of a connection from a client, bytes, as set
 *                  with SO_RCVBUF; 0 leaves it to the system
 * @server_buffer: the same of a connection to a backend server
 */
struct ggw_memory_limits {
    size_t bytes;
    size_t body;
    unsigned requests;
    size_t held;
    size_t held_small;
    size_t passed;
    int receive_buffer;
    int server_buffer;
};

/**
 * ggw_memory_limits() - divide the memory for the listener of requests
 * @memory: memory of the machine, bytes; 0 if unknown
 * @clients: limits that follow from the descriptors
 */
struct ggw_memory_limits
ggw_memory_limits(uint64_t memory, const struct ggw_client_limits *clients);

/**
 * ggw_page_memory_limits() - the same for one listener that serves pages only
 */
struct ggw_memory_limits
ggw_page_memory_limits(uint64_t memory,
                       const struct ggw_client_limits *clients);

/**
 * ggw_memory_worst() - most that a gateway's clients and servers make it hold
 *
 * Return: bytes, with one listener of requests and three of pages at all their
 * limits at once; without the gateway's own tables.
 */
uint64_t ggw_memory_worst(uint64_t memory, uint64_t descriptors);

#endif
