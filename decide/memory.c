#include "decide/memory.h"

#include <glib.h>

/* Parts of the memory: one in so many bytes. */
#define BYTES_PART 16       /* of requests */
#define REQUESTS_PART 10    /* for what each request in progress costs */
#define HELD_PART 32        /* of responses held until complete */
#define PASSED_PART 64      /* of responses that wait for their client */
#define SMALL_PART 64       /* for small responses beyond the limit */
#define RECEIVE_PART 8      /* received by the system and not yet read */
#define SERVER_PART 12      /* the same of connections to servers */
#define PAGE_BYTES_PART 256 /* of requests to one listener of pages */

/* Of the bytes of all requests, a body may have all but one in so many. */
#define BODY_SPARE_PART 8

/*
 * Memory of a request whose response is passed on to a slow client, bytes: a
 * read of 16 KiB from the server, one that is being sent, and buffers that
 * grow by doubling.
 */
#define REQUEST_COST (48 << 10)

/* Memory of a connection within a head, bytes. */
#define CONNECTION_COST (8 << 10)

/*
 * Memory of a byte of a request: h2o's buffer grows by doubling, and the proxy
 * keeps a copy of the body.
 */
#define BYTE_COST 3

/* Memory of a byte in any other buffer that grows by doubling. */
#define BUFFER_COST 2

/*
 * Limits of the receive buffer, bytes. A smaller one would slow down clients
 * that send large bodies.
 */
#define RECEIVE_MIN (16 << 10)
#define RECEIVE_MAX (64 << 10)

/* The system allows twice the receive buffer that is set. */
#define RECEIVE_COST 2

/* First frame of a connection from another gateway, bytes. */
#define FRAME_COST (64 << 10)

#define PAGE_LISTENERS 3

static const struct ggw_memory_limits unknown = {
    .bytes = GGW_CLIENT_BYTES_MAX,
    .body = GGW_BODY_MAX,
    .requests = G_MAXUINT,
    .held = GGW_HELD_BYTES_MAX,
    .held_small = GGW_HELD_SMALL_MAX,
    .passed = SIZE_MAX,
};

static int
buffer_for(uint64_t bytes, unsigned connections)
{
    return (int)CLAMP(bytes / RECEIVE_COST / connections, RECEIVE_MIN,
                      RECEIVE_MAX);
}

struct ggw_memory_limits
ggw_memory_limits(uint64_t memory, const struct ggw_client_limits *clients)
{
    struct ggw_memory_limits l = unknown;

    l.requests = clients->requests;
    if (memory == 0) {
        return l;
    }
    l.bytes = memory / BYTES_PART;
    l.body = l.bytes - l.bytes / BODY_SPARE_PART;
    l.requests = (unsigned)CLAMP(memory / REQUESTS_PART / REQUEST_COST, 1,
                                 MAX(clients->requests, 1));
    l.held = MIN(memory / HELD_PART, GGW_HELD_BYTES_MAX);
    l.held_small = MIN(memory / SMALL_PART / l.requests, GGW_HELD_SMALL_MAX);
    l.passed = memory / PASSED_PART;
    l.receive_buffer = buffer_for(memory / RECEIVE_PART, clients->connections);
    l.server_buffer = buffer_for(memory / SERVER_PART, l.requests);
    return l;
}

struct ggw_memory_limits
ggw_page_memory_limits(uint64_t memory,
                       const struct ggw_client_limits *clients)
{
    struct ggw_memory_limits l = ggw_memory_limits(memory, clients);

    if (memory > 0) {
        l.bytes = MIN(memory / PAGE_BYTES_PART, GGW_CLIENT_BYTES_MAX);
        l.body = MIN(l.bytes - l.bytes / BODY_SPARE_PART, GGW_BODY_MAX);
        l.receive_buffer = RECEIVE_MIN;
    }
    return l;
}

static uint64_t
worst_of(const struct ggw_client_limits *c, const struct ggw_memory_limits *m)
{
    return (uint64_t)m->bytes * BYTE_COST +
           (uint64_t)c->connections * CONNECTION_COST +
           (uint64_t)m->requests *
               (unsigned)(RECEIVE_COST * m->receive_buffer);
}

uint64_t
ggw_memory_worst(uint64_t memory, uint64_t descriptors)
{
    struct ggw_client_limits c = ggw_client_limits(descriptors);
    struct ggw_client_limits pages = ggw_page_client_limits(descriptors);
    struct ggw_memory_limits m = ggw_memory_limits(memory, &c);
    struct ggw_memory_limits p = ggw_page_memory_limits(memory, &pages);

    return worst_of(&c, &m) + PAGE_LISTENERS * worst_of(&pages, &p) +
           (uint64_t)m.requests *
               (REQUEST_COST + m.held_small +
                (unsigned)(RECEIVE_COST * m.server_buffer)) +
           (uint64_t)(m.held + m.passed) * BUFFER_COST +
           (uint64_t)ggw_peer_link_limit(descriptors) * FRAME_COST;
}
