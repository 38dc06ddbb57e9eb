#ifndef GGW_TESTS_SLOTS_DRIVER_H
#define GGW_TESTS_SLOTS_DRIVER_H

#include <glib.h>
#include <stdbool.h>

#include "config/config.h"
#include "config/vms.h"
#include "rollouts/rollouts.h"
#include "slots/slots.h"
#include "tests/cluster.h"

/*
 * Runs gateways with the services "peers" and "slots" in one process. The
 * driver acts as the service "proxy" of each gateway: it keeps a few requests
 * open and lets each one run on its server for a few ms.
 */

/* Number of requests that the driver keeps open per gateway. */
#define OPEN_REQUESTS 4

/* Name of the server that reports itself as cold. */
#define COLD_SERVER "s-cold"

/* Versions of the servers if slots_stats.new_from is set. */
#define OLD_VERSION "v1"
#define NEW_VERSION "v2"

/**
 * struct running_request - request that runs on a server
 * @node: gateway that sent it
 * @grant: id of its grant
 * @server: name of the server
 * @ends: monotonic ms at which it is released
 * @deadline: monotonic ms at which the server stops it
 */
struct running_request {
    struct node *node;
    uint64_t grant;
    char server[32];
    ggw_ms ends;
    ggw_ms deadline;
};

/**
 * struct slots_stats - state and counts of the driver
 * @running_requests: array of requests that run on servers
 * @open_requests: requests without a refusal or release, by gateway. A test
 *                 may set it high, so that a gateway sends no more requests,
 *                 or below 0, so that it keeps more of them open.
 * @next_tag: tag of the last slot request
 * @grants: number of grants
 * @cold_grants: number of grants on COLD_SERVER
 * @cold_max_running: most requests that ran concurrently on COLD_SERVER, over
 *                    all gateways
 * @max_running: most requests that ran concurrently on any other server
 * @refusals: number of refusals
 * @last_grant_at: monotonic ms of the last grant
 * @longest_gap: longest time in ms between two grants
 * @sending_stopped: set by a test to stop new requests
 * @connections: connections in the last grant
 * @spilled_grants: number of grants outside the gateway's failure domain
 * @probes: number of probes answered with a draining report
 * @probes_report_draining: set by a test to report draining in each probe
 * @delay_probe_results: set by a test to answer probes after some ms
 * @delayed_probes: array of probes that have not been answered yet
 * @watched: name of a server whose grants and probes are counted, or NULL
 * @watched_grants: grants on it, by gateway
 * @watched_until: end of its pause that a gateway told last, monotonic ms
 * @watched_ended: requests that ended on it
 * @watched_probes: probes of it
 * @retry_after: ms in the last refusal
 * @incarnation: of the servers in published lists; 0 stands for 1
 * @avoid: NULL-terminated names of servers that new requests have tried, or
 *         NULL
 * @new_from: index of the first server with NEW_VERSION in published lists,
 *            those before it have OLD_VERSION; 0: no versions
 * @route: route of new requests, or NULL
 * @old_grants: grants on servers before @new_from, by gateway
 * @new_grants: grants on the others, by gateway
 * @on_counts: called with each ggw_rollout_counts, or NULL
 *
 * Each new cluster resets it.
 */
struct slots_stats {
    GArray *running_requests;
    int open_requests[CLUSTER_MAX];
    uint64_t next_tag;
    int grants;
    int cold_grants;
    int cold_max_running;
    int max_running;
    int refusals;
    ggw_ms last_grant_at;
    ggw_ms longest_gap;
    bool sending_stopped;
    int connections;
    int spilled_grants;
    int probes;
    bool probes_report_draining;
    bool delay_probe_results;
    GArray *delayed_probes;
    const char *watched;
    int watched_grants[CLUSTER_MAX];
    ggw_ms watched_until;
    int watched_ended;
    int watched_probes;
    ggw_ms retry_after;
    int incarnation;
    char **avoid;
    int new_from;
    const char *route;
    int old_grants[CLUSTER_MAX];
    int new_grants[CLUSTER_MAX];
    void (*on_counts)(struct node *node, const struct ggw_rollout_counts *m);
};

extern struct slots_stats slots_stats;

ggw_ms slots_now(void);

/*
 * Returns the number of requests that run on a server and have not reached
 * their deadline.
 */
int slots_count_running(const char *server);

/* Sends one slot request to a gateway. */
void slots_send_request(struct node *n);

/*
 * Runs the gateways for @span ms. Releases requests after their service time
 * and sends new ones.
 */
void slots_drive_for(struct cluster *c, ggw_ms span);

/*
 * Runs the gateways until a condition holds. Returns false if it does not
 * hold within CLUSTER_WAIT_LIMIT_MS.
 */
bool slots_drive_until(struct cluster *c, bool (*condition)(struct cluster *));

/**
 * slots_publish_servers() - publish a list of VMs to one gateway
 * @version: version of the list
 * @warm: number of servers s-0, s-1 and so on, spread over the failure domains
 *        of the gateways
 * @cold: add COLD_SERVER, which reports itself as cold
 * @leaving: mark all servers as leaving
 */
void slots_publish_servers(struct cluster *c, struct node *n, uint64_t version,
                           int warm, bool cold, bool leaving);

/* Restarts the last gateway of a cluster with @warm servers. */
void slots_restart_last(struct cluster *c, uint64_t version, int warm);

/* Publishes settings of the team "T" to one gateway. */
void slots_publish_tree(struct node *n, uint64_t revision, const char *json);

/*
 * Creates a cluster in which every other gateway and server is in a second
 * failure domain. Returns when all gateways see each other as alive.
 */
struct cluster *slots_cluster_in(const char *second_domain, int gateways,
                                 int warm, bool cold);

/* Creates a cluster in one failure domain. */
struct cluster *slots_cluster(int gateways, int warm, bool cold);
void slots_cluster_free(struct cluster *c);

#endif
