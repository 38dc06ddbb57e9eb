#ifndef GGW_SOAK_WORLD_H
#define GGW_SOAK_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "platform/http_call.h"
#include "tests/soak/record.h"
#include "tests/soak/servers.h"

/*
 * The processes of a run: the store, the relay between everyone, and the
 * gateways. Each kind of address has its own net, so that the ports can be
 * the same everywhere, as on the platform.
 */

enum soak_net {
    SOAK_NET_PEERS = 1, /* gateways listen for each other */
    SOAK_NET_GATEWAYS,  /* addresses that gateways tell */
    SOAK_NET_FRONTS,    /* relay to the front addresses, for clients */
    SOAK_NET_PUBLIC,    /* relay to the servers; in their entries */
    SOAK_NET_SERVERS,   /* servers listen */
    SOAK_NET_STORE,     /* relay to the store, one for each gateway */
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
 * struct soak_gateway - a gateway's process
 * @stopping_at: when SIGTERM was sent
 * @start_at: when it is started again; INFINITY: not planned
 * @killed: its end is the soak's doing
 */
struct soak_gateway {
    GPid pid;
    enum soak_process_state state;
    ggw_ms stopping_at;
    ggw_ms start_at;
    bool killed;
    bool paused;
};

struct soak_world {
    uv_loop_t *loop;
    struct soak_record *record;
    char *build;
    char *dir;      /* settings and logs */
    char prefix[8]; /* "127.N" */
    int net_lock;   /* socket that holds the net for this run */
    GPid store, relay;
    struct ggw_http_client *store_http;
    struct ggw_http_client *relay_http;
    struct soak_gateway gateways[SOAK_GATEWAYS];
};

/* Starts store and relay, then the gateways are started one by one. */
void soak_world_init(struct soak_world *w, uv_loop_t *loop,
                     struct soak_record *r, const char *build,
                     const char *dir);
void soak_world_start_gateway(struct soak_world *w, int i);
void soak_world_signal(struct soak_world *w, int i, int number);

/* Notes ended gateways and starts those that are due. */
void soak_world_poll(struct soak_world *w, ggw_ms now);

/* Ends all processes; those that do not end in time are killed. */
void soak_world_end(struct soak_world *w);

/* "127.N.NET.INDEX+1" */
char *soak_world_host(const struct soak_world *w, enum soak_net net,
                      int index);

/* Sends @json to the control page of the relay, or a fault to the store. */
void soak_world_relay(struct soak_world *w, const char *json);
void soak_world_store_fault(struct soak_world *w, const char *json);

/**
 * soak_world_write() - write a row as the operator or a server
 * @value: JSON; NULL removes the row
 * @acked: called once the store has acknowledged it; may be NULL
 */
void soak_world_write(struct soak_world *w, const char *table, const char *key,
                      const char *value, void (*acked)(void *data),
                      void *data);

#endif
