#ifndef GGW_TESTS_SLOTS_DRIVER_H
#define GGW_TESTS_SLOTS_DRIVER_H

#include <glib.h>
#include <stdbool.h>

#include "config/config.h"
#include "config/vms.h"
#include "slots/slots.h"
#include "tests/cluster.h"

/*
 * Gateways with the services "peers" and "slots" in one process, whose clients
 * keep a few requests open each and let them run on servers for some ms.
 */

/* Requests that each gateway keeps open. */
#define REQUESTS 4

/* Name of the server that reports to be cold. */
#define COLD "s-cold"

/* What a test has seen; reset with each cluster. */
struct slots_seen {
    GArray *running; /* requests that run on servers */
    int open[CLUSTER_MAX];
    uint64_t next_tag;
    int grants;
    int cold_grants;
    int cold_most; /* at a time, over all gateways */
    int most;      /* at a time on any other server */
    int refusals;
    ggw_ms last_grant;
    ggw_ms longest_gap;
    bool silent_driver; /* sends no new requests */
    int connections;    /* in the last grant */
    int spilled;        /* grants in another failure domain than the own */
    int probes;
    bool drain_at_probe;
    bool late_probes;   /* answered after some ms */
    GArray *unanswered; /* probes that wait for their answer */
};

extern struct slots_seen slots_seen;

ggw_ms slots_now(void);

/* Requests that run on a server and have not reached their deadline. */
int slots_count_on(const char *server);

void slots_send_request(struct node *n);

/* Runs the gateways: requests end after their time, new ones are sent. */
void slots_drive_for(struct cluster *c, ggw_ms span);

/* Returns false when the condition does not hold within CLUSTER_LIMIT. */
bool slots_drive_until(struct cluster *c, bool (*condition)(struct cluster *));

/**
 * slots_publish_servers() - hand a list of VMs to one gateway
 * @warm: number of servers, spread over the gateways' failure domains
 * @cold: also one that reports to be cold
 * @leaving: all servers leave
 */
void slots_publish_servers(struct cluster *c, struct node *n, uint64_t version,
                           int warm, bool cold, bool leaving);
void slots_publish_tree(struct node *n, uint64_t revision, const char *json);

/* Every other gateway and server is in a second failure domain. */
struct cluster *slots_cluster_in(const char *second_domain, int gateways,
                                 int warm, bool cold);
struct cluster *slots_cluster(int gateways, int warm, bool cold);
void slots_cluster_free(struct cluster *c);

#endif
