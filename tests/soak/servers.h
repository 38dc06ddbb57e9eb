#ifndef GGW_SOAK_SERVERS_H
#define GGW_SOAK_SERVERS_H

#include <glib.h>
#include <uv.h>

#include "tests/soak/record.h"
#include "tests/soak/responses.h"

/*
 * Backend servers of the soak. They run in the soak's own process, so that it
 * records each request that reaches them, and implement the platform's
 * published protocol.
 */

#define SOAK_ZONES 3
#define SOAK_SERVERS_PER_ZONE 3
#define SOAK_SERVERS (SOAK_SERVICES * SOAK_ZONES * SOAK_SERVERS_PER_ZONE)

extern const char *const soak_zones[SOAK_ZONES];
extern const char *const soak_services[SOAK_SERVICES];
extern const char *const soak_prefixes[SOAK_KINDS]; /* of paths */

/* Prefix of the route that @version adds; the caller frees it. */
char *soak_added_prefix(int version);

struct soak_servers;

/**
 * struct soak_server - a backend server
 * @id: instance id, kept over restarts
 * @service, @zone: indexes into soak_services and soak_zones
 * @born: start of its current simulated process, Unix ms
 * @running: false between a crash and the next start
 * @busy: number of requests that are processed
 * @queue: accepted requests that wait for a free slot, struct work
 * @wires: open connections, struct soak_wire
 * @drain_acked_at, @drain_bound: see struct soak_arrival
 * @state: of its entry in the store, as last written; NULL: it has none
 * @rewrite_at: when it writes its entry again, ms; INFINITY if it does not
 * @drained_born: @born when its drain was last written to the store
 * @cold_until: end of the cold start, ms; 0 if there is none
 * @slowdown: factor on the processing time
 * @lose_ratio: ratio of responses replaced by a connection reset
 * @leaving: its responses say that it leaves
 * @pause: it refuses requests and asks for a pause of this many ms; 0: it does
 *         not
 * @truncate_ratio: ratio of responses cut off in the middle of the body
 * @faults: what else is unusual about its responses
 *
 * The members after the blank line may be set by the user.
 */
struct soak_server {
    struct soak_servers *pool;
    char *id;
    int index;
    int service;
    int zone;
    guint64 born;
    uv_tcp_t listener;
    bool running;
    int busy;
    GQueue queue;
    GQueue wires;

    ggw_ms drain_acked_at;
    ggw_ms drain_bound;
    const char *state;
    ggw_ms rewrite_at;
    guint64 drained_born;
    ggw_ms cold_until;
    double slowdown;
    double lose_ratio;
    bool leaving;
    ggw_ms pause;
    double truncate_ratio;
    struct soak_response_faults faults;
};

/**
 * soak_servers_new() - start all servers
 * @host: first three numbers of their IPv4 addresses; the last is index + 1
 */
struct soak_servers *soak_servers_new(uv_loop_t *loop, struct soak_record *r,
                                      GRand *rand, const char *host, int port);

/* Closes the listeners, so that another process can use their addresses. */
void soak_servers_stop_listening(struct soak_servers *pool);

/* The server with an index from 0 to SOAK_SERVERS - 1. */
struct soak_server *soak_servers_get(struct soak_servers *pool, int index);

/* Records that the responses that the server is sending are cut. */
void soak_server_record_cut(struct soak_server *s);

/* Simulates a crash: the server's connections are reset. */
void soak_server_crash(struct soak_server *s);

/* Starts the server under its old id with a cold start of @cold ms. */
void soak_server_start(struct soak_server *s, ggw_ms cold);

/* Whether the response to an attempt is too large to be held by a gateway. */
bool soak_response_is_large(const char *id, enum soak_kind kind);

/* Body of the response to an attempt, @len bytes; the caller frees it. */
char *soak_response_body(const char *id, enum soak_kind kind, size_t *len);

/* Monotonic time, ms. */
ggw_ms soak_now(void);

#endif
