#ifndef GGW_SOAK_RECORD_H
#define GGW_SOAK_RECORD_H

#include <glib.h>
#include <stdbool.h>

#include "kernel/clock.h"

/*
 * What clients and servers saw of a run, and the promises checked on it.
 * Pure: times are arguments.
 */

#define SOAK_GATEWAYS 6
#define SOAK_SERVICES 3

/* Bounds that the gateways are told in their settings, in ms. */
#define SOAK_STABLE_MS 3000.0
#define SOAK_DRAIN_MS 2000.0
#define SOAK_CONFIG_MS 2000.0
#define SOAK_OUT_MS 5000.0
#define SOAK_GRACE_MS 6000.0
#define SOAK_REVERT_MS 250.0

/* A machine that is slowed, as one that runs sanitizers, has longer. */
#define SOAK_REVERT_SLOW 8

/* Repeats of a service in a window, as a part of its requests and besides. */
#define SOAK_RETRY_WINDOW_MS 10000.0
#define SOAK_RETRY_RATIO 0.2
#define SOAK_RETRY_SLACK 58

/* Requests that a cold server is sent within a second. */
#define SOAK_COLD_PER_S 6.0
#define SOAK_COLD_EXCESS 1.5
#define SOAK_COLD_SLACK 5.0

enum soak_kind {
    SOAK_STATUS, /* idempotent */
    SOAK_ORDER,  /* must not run twice */
    SOAK_FILE,   /* idempotent, a large response */
    SOAK_MOVED,  /* idempotent; each version sends it to another service */
    SOAK_KINDS,
};

/**
 * struct soak_attempt - one request of a client with its own id
 * @gateway: which it was sent to
 * @runs: how often a server began to work on it
 * @arrivals: how often it reached a server
 * @whole: a server has sent its whole response
 */
struct soak_attempt {
    char *id;
    enum soak_kind kind;
    int gateway;
    ggw_ms sent;
    ggw_ms deadline; /* how long the client waits */
    int runs;
    int arrivals;
    bool whole;
    bool ended;
    bool served;
    int status; /* 0: the connection ended without a response */
};

struct soak_record;

struct soak_record *soak_record_new(void);
void soak_record_free(struct soak_record *r);

/* Descriptions of what broke a promise. */
const GPtrArray *soak_record_violations(const struct soak_record *r);
void soak_record_violate(struct soak_record *r, ggw_ms now, const char *rule,
                         const char *format, ...) G_GNUC_PRINTF(4, 5);

/* What a fault acts on, besides the number of a gateway. */
#define SOAK_STORE (-1)
#define SOAK_OTHERS (-2) /* servers, and the links to them */

/**
 * soak_record_disturb() - an unplanned fault acts until @until
 *
 * Promises with a bound in time hold only for gateways without a fault of
 * their own or of the store in the last SOAK_STABLE_MS.
 */
void soak_record_disturb(struct soak_record *r, int what, ggw_ms until);
bool soak_record_in_touch(const struct soak_record *r, int gateway,
                          ggw_ms now);

/* A gateway has started anew and may know only older settings at first. */
void soak_record_restarted(struct soak_record *r, int gateway);

struct soak_attempt *soak_record_sent(struct soak_record *r, const char *id,
                                      enum soak_kind kind, int gateway,
                                      ggw_ms deadline, ggw_ms now);

/**
 * struct soak_arrival - a request as a server got it
 * @path_kind: the kind that its path belongs to; -1 for another path
 * @deadline: how long the gateway says that the client still waits; -1: did
 *            not say
 * @closed_at: when the store acknowledged that the server takes no new work,
 *             or INFINITY
 * @closed_bound: how long after that it may still get some
 * @cold: the server is cold
 */
struct soak_arrival {
    const char *id;
    const char *server;
    int path_kind;
    int service;
    ggw_ms deadline;
    ggw_ms closed_at;
    ggw_ms closed_bound;
    bool cold;
};

/* Return: NULL when no client has sent it. */
struct soak_attempt *soak_record_arrived(struct soak_record *r,
                                         const struct soak_arrival *a,
                                         ggw_ms now);
void soak_record_ran(struct soak_record *r, struct soak_attempt *a,
                     ggw_ms now);

/* Settings with a version, that send SOAK_MOVED to a service. */
void soak_record_version(struct soak_record *r, int version, int service,
                         ggw_ms sent);
void soak_record_version_acked(struct soak_record *r, int version, ggw_ms now);

/**
 * soak_record_answered() - a client has a whole response
 * @genuine: body and headers are those that a server made for this attempt
 */
void soak_record_answered(struct soak_record *r, struct soak_attempt *a,
                          int status, bool genuine, ggw_ms now);

/**
 * soak_record_cut() - the connection ended without a whole response
 * @leaving: the gateway was stopping by SIGTERM
 */
void soak_record_cut(struct soak_record *r, struct soak_attempt *a,
                     bool leaving, ggw_ms now);

/* The client gave up. */
void soak_record_timed_out(struct soak_record *r, struct soak_attempt *a);

/**
 * soak_record_finish() - check what only the end shows
 * @recovered_from: requests sent later must mostly be served
 */
void soak_record_finish(struct soak_record *r, ggw_ms recovered_from,
                        ggw_ms now);

/* One line of counts. */
char *soak_record_summary(const struct soak_record *r);

#endif
