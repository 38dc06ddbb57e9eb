#ifndef GGW_SOAK_WORLD_H
#define GGW_SOAK_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "platform/http_call.h"
#include "tests/soak/record.h"
#include "tests/soak/servers.h"

/*
 * Test environment of a run: the processes of the store, the gateways and the
 * relay between them. Each role has its own subnet, so that all addresses of a
 * role have the same ports, as on the platform.
 */

/* Third number of an address, 127.N.NET.X. */
enum soak_net {
    SOAK_NET_PEERS = 1, /* gateways listen for peers */
    SOAK_NET_GATEWAYS,  /* published addresses of the gateways */
    SOAK_NET_FRONTS,    /* relay to the gateways, for clients */
    SOAK_NET_PUBLIC,    /* relay to the servers; published in the store */
    SOAK_NET_SERVERS,   /* servers listen */
    SOAK_NET_STORE,     /* relay to the store, an address per gateway */
};

#define SOAK_FRONT_PORT 8381
#define SOAK_CONTROL_PORT 8382
#define SOAK_DIRECTORY_PORT 8383
#define SOAK_READY_PORT 8388
#define SOAK_PEER_PORT 7200
#define SOAK_SERVER_PORT 8080
#define SOAK_STORE_PORT 8384

enum soak_process_state {
    SOAK_ENDED,
    SOAK_RUNNING,
    SOAK_STOPPING, /* SIGTERM was sent */
};

/**
 * struct soak_gateway - the process of a gateway
 * @started_at: when its process was started, monotonic ms
 * @sigterm_at: when SIGTERM was sent, ms
 * @paused_at: when SIGSTOP was last sent, ms
 * @stop_paused: time for which it was paused since SIGTERM was sent, ms
 * @sighup_at: when SIGHUP was last sent, ms; INFINITY if it was not
 * @restart_at: when it is started again, ms; INFINITY while it runs
 * @killed: the soak sent it SIGKILL
 * @paused: the soak sent it SIGSTOP, and no SIGCONT since
 * @memory_exceeded: it was recorded that it uses too much memory
 */
struct soak_gateway {
    GPid pid;
    enum soak_process_state state;
    ggw_ms started_at;
    ggw_ms sigterm_at;
    ggw_ms paused_at;
    ggw_ms stop_paused;
    ggw_ms sighup_at;
    ggw_ms restart_at;
    bool killed;
    bool paused;
    bool memory_exceeded;
};

struct soak_world {
    uv_loop_t *loop;
    struct soak_record *record;
    char *build;       /* directory of the programs */
    char *dir;         /* of the gateways' settings and of the logs */
    char prefix[8];    /* "127.N" */
    int prefix_socket; /* bound socket that reserves the prefix for this run */
    GPid store, relay;
    struct ggw_http_client *store_http;
    struct ggw_http_client *relay_http;
    GHashTable *rows; /* path of a row -> GQueue of writes in progress */
    struct soak_gateway gateways[SOAK_GATEWAYS];
    size_t most_memory; /* that a gateway has used so far, bytes */
};

/*
 * Reserves an address prefix, starts the store and the relay, and writes the
 * settings of the gateways. Each gateway is started by
 * soak_world_start_gateway().
 */
void soak_world_init(struct soak_world *w, uv_loop_t *loop,
                     struct soak_record *r, const char *build,
                     const char *dir);
void soak_world_start_gateway(struct soak_world *w, int i);

/* Sends a signal to gateway @i and updates its state, if it runs. */
void soak_world_signal(struct soak_world *w, int i, int number);

/*
 * Records the exit of gateways and the memory that they use, kills those that
 * exceed the grace period and restarts those that are due.
 */
void soak_world_poll(struct soak_world *w, ggw_ms now);

/* Stops all processes by SIGTERM, then by SIGKILL; waits until they end. */
void soak_world_end(struct soak_world *w);

/* Lets other runs use the address prefix, once nothing listens there. */
void soak_world_release_prefix(struct soak_world *w);

/* IPv4 address "127.N.NET.INDEX+1" as a text; the caller frees it. */
char *soak_world_host(const struct soak_world *w, enum soak_net net,
                      int index);

/* Sends @json to the relay's control page or the store's fault page. */
void soak_world_configure_relay(struct soak_world *w, const char *json);
void soak_world_store_fault(struct soak_world *w, const char *json,
                            void (*acked)(void *data), void *data);

/**
 * soak_world_write_row() - write a row to the store, as operator or server
 * @value: JSON, or NULL to remove the row
 * @acked: called with @data after the store acknowledged it; may be NULL
 *
 * The write is repeated until it succeeds. Writes of the same row succeed in
 * their order.
 */
void soak_world_write_row(struct soak_world *w, const char *table,
                          const char *key, const char *value,
                          void (*acked)(void *data), void *data);

#endif
