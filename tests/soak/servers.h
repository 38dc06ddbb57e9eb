#ifndef GGW_SOAK_SERVERS_H
#define GGW_SOAK_SERVERS_H

#include <glib.h>
#include <uv.h>

#include "tests/soak/record.h"

/*
 * Backend servers of the soak, in its own process, so that it sees each
 * request that reaches them. They speak the platform's published protocol.
 */

#define SOAK_ZONES 3
#define SOAK_PER_ZONE 3
#define SOAK_SERVERS (SOAK_SERVICES * SOAK_ZONES * SOAK_PER_ZONE)

extern const char *const soak_zones[SOAK_ZONES];
extern const char *const soak_services[SOAK_SERVICES];
extern const char *const soak_prefixes[SOAK_KINDS];

struct soak_servers;

/**
 * struct soak_server - one of them; the soak changes the second group
 * @born: start of its present process, Unix ms
 * @closed_at, @closed_bound: see struct soak_arrival
 * @slow: factor of the usual time of work
 * @lose, @spoil: part of the responses that are not sent, or not whole
 */
struct soak_server {
    struct soak_servers *all;
    char *id;
    int index;
    int service;
    int zone;
    guint64 born;
    uv_tcp_t listener;
    bool running;
    int busy;
    GQueue waiting; /* struct work */
    GQueue wires;   /* struct soak_wire */

    ggw_ms closed_at;
    ggw_ms closed_bound;
    ggw_ms cold_until;
    double slow;
    double lose;
    double spoil;
};

/**
 * soak_servers_new() - start all of them
 * @host: first three numbers of their addresses; the last is the index + 1
 */
struct soak_servers *soak_servers_new(uv_loop_t *loop, struct soak_record *r,
                                      GRand *rand, const char *host, int port);
struct soak_server *soak_servers_get(struct soak_servers *all, int index);

/* Ends a server's process: its connections are reset. */
void soak_server_crash(struct soak_server *s);

/* Starts it again under the same id, cold for @cold ms. */
void soak_server_start(struct soak_server *s, ggw_ms cold);

/* Body that a server sends for an attempt. */
char *soak_body(const char *id, enum soak_kind kind, size_t *len);
ggw_ms soak_now(void);

#endif
