#include "decide/clients.h"

#include <glib.h>

/* Descriptors for files, the store and other gateways. */
#define RESERVED_MAX 2048
#define RESERVED_PART 4

/* Of the connections from clients, one in this many has no request. */
#define WITHOUT_REQUEST_PART 8

/* Connections to one listener of pages. */
#define PAGE_CONNECTIONS_MAX 256
#define PAGE_PART 8 /* of the reserved descriptors */

/* Links without a hello: one in so many of the reserved descriptors. */
#define LINK_PART 4

/* Limits for a number of connections. */
static struct ggw_client_limits
limits_for(uint64_t connections)
{
    struct ggw_client_limits l = {.bytes = GGW_CLIENT_BYTES_MAX};

    l.connections = (unsigned)MAX(connections, 2);
    l.requests = l.connections - MAX(l.connections / WITHOUT_REQUEST_PART, 1);
    return l;
}

static uint64_t
reserved_for(uint64_t descriptors)
{
    return MIN(descriptors / RESERVED_PART, RESERVED_MAX);
}

struct ggw_client_limits
ggw_client_limits(uint64_t descriptors)
{
    uint64_t connections = (descriptors - reserved_for(descriptors)) / 2;

    return limits_for(MIN(connections, GGW_CLIENT_CONNECTIONS_MAX));
}

struct ggw_client_limits
ggw_page_client_limits(uint64_t descriptors)
{
    uint64_t connections = reserved_for(descriptors) / PAGE_PART;

    return limits_for(MIN(connections, PAGE_CONNECTIONS_MAX));
}

unsigned
ggw_peer_link_limit(uint64_t descriptors)
{
    return (unsigned)MAX(reserved_for(descriptors) / LINK_PART, 1);
}

bool
ggw_client_gives_way(const struct ggw_client *c, ggw_ms now)
{
    return c->state < GGW_CLIENT_BUSY && now - c->since >= GGW_CLIENT_GRACE_MS;
}

bool
ggw_client_gives_way_before(const struct ggw_client *a,
                            const struct ggw_client *b)
{
    if (a->state != b->state) {
        return a->state < b->state;
    }
    return a->since < b->since;
}
