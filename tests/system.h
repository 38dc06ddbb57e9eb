#ifndef GGW_TESTS_SYSTEM_H
#define GGW_TESTS_SYSTEM_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "tests/client.h"
#include "tests/platform_process.h"

/**
 * DOC: deployment of separate processes on loopback, for tests
 *
 * A system is the stand-in for the platform, one backend process per service
 * and the gateways, which are spread over failure domains. The team's settings
 * come from an example file. Helpers that can't do their work, for instance
 * because a process doesn't start, abort the test with g_error().
 */

/* Largest number of gateways in a system. */
#define SYSTEM_GATEWAYS 6

/**
 * struct system_options - size and settings of a system
 * @team: name of the team that owns the services
 * @settings: file with the team's settings, or NULL to store none
 * @domains: failure domains, NULL-terminated; gateways and backend servers
 *           are assigned to them in turn
 * @services: names of the services, NULL-terminated
 * @cold_ms: overrides cold_ms of every service in the settings; 0 keeps the
 *           values of the file
 * @servers: number of backend servers of each service
 * @backend_flags: flags for every backend process, NULL-terminated, or NULL
 * @gateway_flags: flags for every gateway, NULL-terminated, or NULL
 * @relay: gateways connect to each backend server through a relay route that
 *         has the server's name
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

/* Team nile-strand of the Cairo example: three failure domains, three services
 * with six backend servers each. */
extern const struct system_options system_cairo;

/**
 * struct system_process - a child process
 * @out: read end of the pipe from its standard output
 * @running: started and not yet reaped
 */
struct system_process {
    GPid pid;
    int out;
    bool running;
};

/**
 * struct system_gateway - a gateway process
 * @address: "IP:PORT" for clients
 * @peer_address: "IP:PORT" for other gateways
 */
struct system_gateway {
    struct system_process process;
    char *name, *address, *peer_address;
    const char *domain;
};

/**
 * struct system_server - a backend server; a backend process runs several
 * @address: "IP:PORT" on which it listens
 * @route: "IP:PORT" of its relay route, or NULL
 * @leaving: the next VM list gives its state as "leaving", not "live"
 */
struct system_server {
    char *name, *address;
    char *route;
    const char *domain, *service;
    bool leaving;
};

/**
 * struct system_backend - process that runs all backend servers of a service
 * @control: "IP:PORT" of its control page
 */
struct system_backend {
    struct system_process process;
    const char *service;
    char *control;
};

/**
 * struct system - a running system
 * @relay_control: "IP:PORT" of the relay's control page, or NULL
 * @backends: of struct system_backend
 * @servers: of struct system_server, for all services
 * @version: version of the VM list written last
 * @listed_gateways: number of gateways, from the first on, that are in the VM
 *                   list and in the seeds of the other gateways
 */
struct system {
    struct system_options options;
    struct platform_process platform;
    char *platform_address;
    struct system_process relay;
    char *relay_control;
    struct system_gateway gateways[SYSTEM_GATEWAYS];
    GPtrArray *backends;
    GPtrArray *servers;
    uint64_t version;
    int listed_gateways;
};

/**
 * system_new() - start a system and wait until its gateways are ready
 * @gateways_len: number of gateways to start; the others can be started later
 *                with system_start_gateway()
 */
struct system *system_new(const struct system_options *options,
                          int gateways_len);

/**
 * system_free() - terminate all processes and free the system
 *
 * Return: false when a process had already terminated, or when the platform
 * stand-in exited with an error.
 */
bool system_free(struct system *s);

/* Starts a gateway without waiting until it is ready. */
void system_start_gateway(struct system *s, int i);

/* Waits until a gateway reports that it is ready; false when it doesn't
 * within @limit_ms. */
bool system_gateway_ready(struct system *s, int i, int limit_ms);
void system_signal_gateway(struct system *s, int i, int signum);

/* Waits until a gateway has terminated; returns its status in the encoding of
 * waitpid(). */
int system_wait_gateway(struct system *s, int i);

/* Writes the VM list to the platform, with the next version number. */
void system_publish_vms(struct system *s);

/**
 * system_verb() - run an operator command for the system's team
 * @out: receives the command's standard output and standard error, to be freed
 *       with g_free(); or NULL
 * @args: verb of the command and its arguments, NULL-terminated
 *
 * Return: the exit status, or -1 when a signal terminated the command.
 */
int system_verb(struct system *s, char **out, const char *const *args);

/* system_verb() in two steps, to run several commands concurrently. */
void system_verb_start(struct system *s, struct system_process *verb,
                       const char *const *args);
int system_verb_finish(struct system_process *verb, char **out);

/* Sets the platform's fault to a JSON object; see platform_process_fault(). */
void system_platform_fault(struct system *s, const char *json);

/* Posts a JSON object to the control page of a service's backend process. */
void system_set_backend(struct system *s, const char *service,
                        const char *json);

/* Posts a JSON object to the relay's control page. */
void system_set_relay(struct system *s, const char *json);

/* Value of a numeric field of a relay route; see standins/relay.c. */
double system_route_count(struct system *s, const char *route,
                          const char *field);

/* Value of a count of one backend server; see standins/server_state.h. */
double system_server_count(struct system *s, const char *name,
                           const char *field);

/* "IP:PORT" of the control page of a service's backend process. */
const char *system_control_address(struct system *s, const char *service);

/* Maximum or sum of a count over the backend servers of a service and failure
 * domain; NULL matches any. */
double system_count_max(struct system *s, const char *field,
                        const char *service, const char *domain);
double system_count_sum(struct system *s, const char *field,
                        const char *service, const char *domain);

/* Wall-clock time in ms since the Unix epoch, the clock of the backend
 * servers' last_new_ms. */
double system_wall_ms(void);

/**
 * struct system_load - process of the load generator, standins/load.c
 * @figures: name to double; NULL before system_load_finish()
 * @control: "IP:PORT" of its control page
 */
struct system_load {
    struct system_process process;
    GHashTable *figures;
    char *control;
};

/**
 * system_load_start() - start the load generator and wait until it is ready
 * @args: flags, NULL-terminated
 *
 * It sends to all gateways that run at the time of the call.
 */
struct system_load *system_load_start(struct system *s,
                                      const char *const *args);

/**
 * system_load_finish() - stop new requests and wait for those in flight
 *
 * Reads the figures that the load generator prints at its end and prints them
 * to standard output.
 *
 * Return: the exit status, or -1 when a signal terminated the process.
 */
int system_load_finish(struct system_load *load);

/* A figure printed by the load generator; 0 when it printed none of that
 * name. */
double system_load_figure(const struct system_load *load, const char *name);

/* Number of requests of a kind served so far. */
double system_load_served(const struct system_load *load, const char *kind);

/* Number of requests of a kind that were not served and ended with @result,
 * such as "refused_shed", so far. */
double system_load_result(const struct system_load *load, const char *kind,
                          const char *result);
void system_load_free(struct system_load *load);

#endif
