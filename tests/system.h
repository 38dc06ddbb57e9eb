#ifndef GGW_TESTS_SYSTEM_H
#define GGW_TESTS_SYSTEM_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "tests/client.h"
#include "tests/platform_process.h"

/*
 * A whole deployment of processes on loopback, for tests: the platform, one
 * backend process per service and gateways over failure domains, with the
 * settings of an example.
 */

#define SYSTEM_GATEWAYS 6

/**
 * struct system_options - what to start
 * @settings: file with the team's settings, or NULL
 * @cold_ms: in place of the settings' cold_ms; 0 keeps them
 * @servers: backend servers of each service
 * @backend_flags: flags for every backend process, NULL-terminated, or NULL
 * @gateway_flags: flags for every gateway, NULL-terminated, or NULL
 * @relay: gateways reach each backend server over a relay route of its name
 */
struct system_options {
    const char *team;
    const char *settings;
    const char *const *domains;
    const char *const *services;
    int cold_ms;
    int servers;
    const char *const *backend_flags;
    const char *const *gateway_flags;
    bool relay;
};

extern const struct system_options system_cairo;

struct system_process {
    GPid pid;
    int out; /* read end of its standard output */
    bool running;
};

struct system_gateway {
    struct system_process process;
    char *name, *address, *peer_address;
    const char *domain;
};

struct system_server {
    char *name, *address;
    char *route; /* address of its relay route, or NULL */
    const char *domain, *service;
    bool leaving;
};

struct system_backend {
    struct system_process process;
    const char *service;
    char *control;
};

struct system {
    struct system_options options;
    struct platform_process platform;
    char *platform_address;
    struct system_process relay;
    char *relay_control;
    struct system_gateway gateways[SYSTEM_GATEWAYS];
    GPtrArray *backends; /* struct system_backend */
    GPtrArray *servers;  /* struct system_server */
    uint64_t version;    /* of the VM list */
    int listed;          /* gateways in it, and in each other's seeds */
};

/* Starts everything but the gateways from @gateways_len on; waits until all
 * that were started are ready. */
struct system *system_new(const struct system_options *options,
                          int gateways_len);

/* Ends all processes; false when one of them had ended by itself. */
bool system_free(struct system *s);

void system_start_gateway(struct system *s, int i);
bool system_gateway_ready(struct system *s, int i, int limit_ms);
void system_signal_gateway(struct system *s, int i, int number);

/* Waits for the end of a gateway; its exit status as of waitpid(). */
int system_wait_gateway(struct system *s, int i);

/* Writes the VM list, with a new version. */
void system_publish_vms(struct system *s);

/**
 * system_verb() - run an operators' verb for the system's team
 * @out: what it printed to standard output and error, to be freed; or NULL
 *
 * Return: its exit status.
 */
int system_verb(struct system *s, char **out, const char *const *args);

/* The two halves of system_verb(), for verbs at the same time. */
void system_verb_start(struct system *s, struct system_process *verb,
                       const char *const *args);
int system_verb_finish(struct system_process *verb, char **out);

void system_platform_fault(struct system *s, const char *json);

/* Sends a JSON object to the control page of one service's servers. */
void system_set_backend(struct system *s, const char *service,
                        const char *json);

/* Sends a JSON object to the control page of the relay. */
void system_set_relay(struct system *s, const char *json);

/* A number of one route; see standins/relay.c. */
double system_route_count(struct system *s, const char *route,
                          const char *field);

/* One count of one server. */
double system_server_count(struct system *s, const char *name,
                           const char *field);

/* Address of the control page of one service's servers. */
const char *system_control(struct system *s, const char *service);

/* Largest, or sum, of one count over the servers that match; NULL is any. */
double system_count_max(struct system *s, const char *field,
                        const char *service, const char *domain);
double system_count_sum(struct system *s, const char *field,
                        const char *service, const char *domain);

/* Wall clock in Unix ms, as in the servers' counts. */
double system_wall_ms(void);

/* The load tool as a process. */
struct system_load {
    struct system_process process;
    GHashTable *figures; /* name to double; after system_load_finish() */
    char *control;
};

/**
 * system_load_start() - start it towards all gateways; waits until it sends
 * @args: flags, NULL-terminated
 */
struct system_load *system_load_start(struct system *s,
                                      const char *const *args);

/* Ends the arrivals, waits for all requests and reads the figures; returns
 * the exit status. */
int system_load_finish(struct system_load *load);
double system_load_figure(const struct system_load *load, const char *name);

/* Requests of a kind served so far. */
double system_load_served(const struct system_load *load, const char *kind);

/* Requests of a kind with another result so far, such as "refused_shed". */
double system_load_result(const struct system_load *load, const char *kind,
                          const char *result);
void system_load_free(struct system_load *load);

#endif
