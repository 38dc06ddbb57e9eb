#ifndef GGW_SOAK_RECORD_H
#define GGW_SOAK_RECORD_H

#include <glib.h>
#include <stdbool.h>

#include "kernel/clock.h"

/*
 * Records what the clients and the backend servers of a run observe, and
 * checks the guarantees of the load balancer against it. Does no I/O and
 * reads no clock: times are arguments, in ms.
 */

#define SOAK_GATEWAYS 6
#define SOAK_SERVICES 3

/*
 * Time limits of the guarantees, in ms. Of these, only SOAK_GRACE_MS is set
 * in the settings of the gateways.
 */
#define SOAK_STABLE_MS 3000.0
#define SOAK_DRAIN_MS 2000.0
#define SOAK_CONFIG_MS 2000.0
#define SOAK_EVACUATE_MS 5000.0
#define SOAK_GRACE_MS 6000.0
#define SOAK_REVERT_MS 250.0

/*
 * SOAK_CONFIG_MS and SOAK_EVACUATE_MS are longer by this while the store has
 * lost its history, and SOAK_STABLE_MS after that.
 */
#define SOAK_OUTER_MS 5000.0

/* Each version adds a route, and drops the one added this many before it. */
#define SOAK_ADDED_VERSIONS 3

/*
 * Within a window, a service may get SOAK_RETRY_RATIO times its requests plus
 * SOAK_RETRY_SLACK as repeats.
 */
#define SOAK_RETRY_WINDOW_MS 10000.0
#define SOAK_RETRY_RATIO 0.2
#define SOAK_RETRY_SLACK 58

/*
 * A cold server may get SOAK_COLD_PER_S requests per second. The check allows
 * SOAK_COLD_MARGIN_FACTOR times that, plus SOAK_COLD_SLACK.
 */
#define SOAK_COLD_PER_S 6.0
#define SOAK_COLD_MARGIN_FACTOR 1.5
#define SOAK_COLD_SLACK 5.0

enum soak_kind {
    SOAK_STATUS, /* idempotent */
    SOAK_ORDER,  /* not idempotent, must not run twice */
    SOAK_FILE,   /* idempotent, with a large response */
    SOAK_MOVED,  /* idempotent; each version routes it to another service */
    SOAK_ADDED,  /* idempotent, on a route that only some versions have */
    SOAK_KINDS,
};

/* What is unusual about the last response that a server has sent. */
enum soak_sent {
    SOAK_SENT_PLAIN,
    SOAK_SENT_UNFRAMED,     /* without a length */
    SOAK_SENT_COPY,         /* with a copy of itself behind it */
    SOAK_SENT_EARLIER_COPY, /* with a copy of an earlier one */
    SOAK_SENT_ENDLESS,
    SOAK_SENT_MALFORMED, /* its head is no HTTP */
    SOAK_SENT_FORMS,
};

/**
 * struct soak_attempt - one attempt of a client at a request
 * @id: attempt-id header, unique in the run
 * @gateway: index of the gateway that it was sent to
 * @route: of SOAK_ADDED: version that added its route
 * @sent: when the client sent it, ms
 * @deadline: how long the client waits for the response, ms
 * @runs: how many times a server started to process it
 * @arrivals: how many times a server received it
 * @response_sent: a server has sent a complete response to it
 * @server_broke_off: a server has cut its response, or has sent foreign bytes
 *                    in or behind its body
 * @sent_form: how a server has responded
 * @ended: the client has a response, lost the connection or timed out
 * @served: the client got a 2xx response
 * @status: of the response; 0 if there was none
 * @leaving: id of the server whose response says that it leaves, or NULL
 */
struct soak_attempt {
    char *id;
    enum soak_kind kind;
    int gateway;
    int route;
    ggw_ms sent;
    ggw_ms deadline;
    int runs;
    int arrivals;
    bool response_sent;
    bool server_broke_off;
    enum soak_sent sent_form;
    bool ended;
    bool served;
    int status;
    const char *leaving;
};

struct soak_record;

struct soak_record *soak_record_new(void);
void soak_record_free(struct soak_record *r);

/* Descriptions of the violations so far, "TIME RULE: TEXT". */
const GPtrArray *soak_record_violations(const struct soak_record *r);

/**
 * soak_record_add_violation() - record that a guarantee was broken
 * @rule: short name of the guarantee, in capitals
 */
void soak_record_add_violation(struct soak_record *r, ggw_ms now,
                               const char *rule, const char *format, ...)
    G_GNUC_PRINTF(4, 5);

/* Scopes of a fault, besides the index of a gateway. */
#define SOAK_SCOPE_STORE (-1)
#define SOAK_SCOPE_SERVERS (-2) /* backend servers and the links to them */
#define SOAK_SCOPE_HISTORY (-3) /* the store loses its history */

/**
 * soak_record_add_fault() - record an unplanned fault
 * @scope: index of the affected gateway, or SOAK_SCOPE_*
 * @until: when the fault ends, ms
 *
 * Guarantees with a time limit are checked only for gateways that had no fault
 * of their own or of the store in the last SOAK_STABLE_MS.
 */
void soak_record_add_fault(struct soak_record *r, int scope, ggw_ms until);

/* Whether guarantees with a time limit hold for @gateway at @now. */
bool soak_record_is_stable(const struct soak_record *r, int gateway,
                           ggw_ms now);

/*
 * Time after a server has asked a gateway for a pause, ms, in which requests
 * still arrive, and how many may arrive afterwards until the pause ends.
 */
#define SOAK_PAUSE_LAG_MS 500.0
#define SOAK_PAUSE_ARRIVALS 2

/* Server @server has refused a request of a gateway and asked for a pause. */
void soak_record_paused(struct soak_record *r, const char *server, int gateway,
                        ggw_ms pause, ggw_ms now);

/* A server was restarted, so that what it has said no longer holds. */
void soak_record_server_restarted(struct soak_record *r, const char *server);

/* A gateway was restarted; it may use an older configuration at first. */
void soak_record_gateway_restarted(struct soak_record *r, int gateway);

struct soak_attempt *soak_record_sent(struct soak_record *r, const char *id,
                                      enum soak_kind kind, int gateway,
                                      ggw_ms deadline, ggw_ms now);

/**
 * struct soak_arrival - a request as a server received it
 * @id: attempt-id header, or NULL
 * @server: instance id of the server
 * @path_kind: the kind that its path belongs to; -1 for another path
 * @route: of SOAK_ADDED: version that added the route of its path
 * @service: index of the server's service
 * @deadline: request-deadline header, the time that the client still waits,
 *            ms; -1 if missing
 * @drain_acked_at: when the store acknowledged the drain of the server or the
 *                  evacuation of its zone, ms; INFINITY if there is none
 * @drain_bound: how long after that the server may still get new requests, ms
 * @cold: the server is in its cold start
 */
struct soak_arrival {
    const char *id;
    const char *server;
    int path_kind;
    int route;
    int service;
    ggw_ms deadline;
    ggw_ms drain_acked_at;
    ggw_ms drain_bound;
    bool cold;
};

/* Return: the attempt that arrived, or NULL if no client has sent it. */
struct soak_attempt *soak_record_arrived(struct soak_record *r,
                                         const struct soak_arrival *a,
                                         ggw_ms now);

/* A server started to process @a. */
void soak_record_ran(struct soak_record *r, struct soak_attempt *a,
                     ggw_ms now);

/*
 * A configuration that routes SOAK_MOVED to @service, and has the routes of
 * SOAK_ADDED of the last SOAK_ADDED_VERSIONS versions, was written to the
 * store at @sent; later, the store acknowledged it.
 */
void soak_record_version(struct soak_record *r, int version, int service,
                         ggw_ms sent);
void soak_record_version_acked(struct soak_record *r, int version, ggw_ms now);

/**
 * soak_record_answered() - a client got a complete response
 * @genuine: body and headers match what a server generates for this attempt
 */
void soak_record_answered(struct soak_record *r, struct soak_attempt *a,
                          int status, bool genuine, ggw_ms now);

/**
 * soak_record_named() - a client got a response, with any status, that names
 * an attempt
 * @id: attempt-id header of the response, or NULL
 */
void soak_record_named(struct soak_record *r, const struct soak_attempt *a,
                       const char *id, int status, ggw_ms now);

/**
 * soak_record_stray() - a client's connection to @gateway ended after bytes
 * that are no part of a response
 * @a: the attempt that was waiting for its response, or NULL
 */
void soak_record_stray(struct soak_record *r, int gateway,
                       const struct soak_attempt *a, ggw_ms now);

/* The process of @gateway uses @bytes of memory, more than it may. */
void soak_record_memory(struct soak_record *r, int gateway, size_t bytes,
                        ggw_ms now);

/**
 * soak_record_disconnected() - the connection ended before a full response
 * @stopping: the gateway was shutting down after SIGTERM
 */
void soak_record_disconnected(struct soak_record *r, struct soak_attempt *a,
                              bool stopping, ggw_ms now);

/* The client closed the connection at its deadline. */
void soak_record_timed_out(struct soak_record *r, struct soak_attempt *a);

/**
 * soak_record_finish() - run the checks that need the complete record
 * @recovered_from: most requests sent at this time or later must be served, ms
 */
void soak_record_finish(struct soak_record *r, ggw_ms recovered_from,
                        ggw_ms now);

/* Counts of the run in one line; the caller frees it. */
char *soak_record_summary(const struct soak_record *r);

#endif
