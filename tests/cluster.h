#ifndef GGW_TESTS_CLUSTER_H
#define GGW_TESTS_CLUSTER_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "kernel/kernel.h"
#include "peers/peers.h"
#include "tests/relay.h"

/**
 * DOC: cluster of gateways in one test process
 *
 * Each gateway has a kernel and an event loop of its own. All event loops run
 * on one thread, one after the other, so a gateway whose event loop is skipped
 * behaves like a paused process.
 */

/* Largest number of gateways in a cluster. */
#define CLUSTER_MAX 6

/*
 * Longest wait in ms for a condition that should hold at the end; far longer
 * than any test needs.
 */
#define CLUSTER_WAIT_LIMIT_MS 20000.0

/**
 * struct node - a gateway
 * @domain: its failure domain
 * @kernel: NULL after cluster_remove()
 * @client: service "proxy" of the test; see struct client
 * @relay: forwards the connections of the other gateways to its peer listener
 * @paused: its event loop is skipped
 */
struct node {
    char name[16];
    char domain[16];
    struct ggw_kernel *kernel;
    struct ggw_service *peers;
    struct client *client;
    struct relay relay;
    bool paused;
};

/**
 * struct client - service that receives the messages of a gateway's peers
 *                 service in place of the proxy
 * @members: members of the last MEMBERS_CHANGED, as text "NAME STATE" with the
 *           number of the enum ggw_member_state
 * @known_gateways: number of known gateways in the last MEMBERS_CHANGED
 * @lost_peers: number of PEER_LOST received
 * @on_message: called with every other message; may be NULL. Messages to
 *              "rollouts" are passed to it, too.
 */
struct client {
    struct ggw_service base;
    GPtrArray *members;
    int known_gateways;
    int lost_peers;
    void (*on_message)(struct node *node, struct ggw_message *message);
    struct node *node;
};

/**
 * struct cluster - the gateways of a test
 * @nodes: the first @len are in use
 * @relay_loop: event loop of all relays
 */
struct cluster {
    struct node nodes[CLUSTER_MAX];
    int len;
    uv_loop_t relay_loop;
};

void cluster_init(struct cluster *c);

/**
 * cluster_add() - start a gateway whose seed is the first gateway
 * @domain: its failure domain
 * @slots: service "slots" to add to its kernel, or NULL
 * @on_message: see struct client
 */
struct node *
cluster_add(struct cluster *c, const char *domain, struct ggw_service *slots,
            void (*on_message)(struct node *, struct ggw_message *));

/**
 * cluster_run_once() - wait up to 100 ms for events of any event loop and run
 *                      all event loops once
 */
void cluster_run_once(struct cluster *c);

/**
 * cluster_wait() - run the event loops until a condition holds
 *
 * Return: false when it didn't hold within CLUSTER_WAIT_LIMIT_MS ms.
 */
bool cluster_wait(struct cluster *c, bool (*condition)(struct cluster *));

/**
 * cluster_run_for() - run the event loops for @span ms, for instance to check
 *                     that nothing happens in that time
 */
void cluster_run_for(struct cluster *c, ggw_ms span);

/* Stops a gateway and its relay, and closes their connections. */
void cluster_remove(struct cluster *c, struct node *node);

/* Removes all gateways and closes the event loop of the relays. */
void cluster_destroy(struct cluster *c);

/**
 * node_sees() - whether a gateway's member list has another gateway in a state
 */
bool node_sees(const struct node *node, const char *name,
               enum ggw_member_state state);

/**
 * cluster_joined() - whether every running gateway that isn't paused has all
 *                    running gateways in its member list as alive
 */
bool cluster_joined(struct cluster *c);

#endif
