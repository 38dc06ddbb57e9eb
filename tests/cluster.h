#ifndef GGW_TESTS_CLUSTER_H
#define GGW_TESTS_CLUSTER_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "kernel/kernel.h"
#include "peers/peers.h"
#include "tests/relay.h"

/*
 * Several gateways in one test process, each with its own kernel. They run in
 * turns on one thread, so a gateway that gets no turn behaves like a paused
 * process.
 */

#define CLUSTER_MAX 6
#define CLUSTER_WAIT_LIMIT_MS                                                 \
    20000.0 /* generous: for a wait that should succeed */

/**
 * struct node - one gateway
 * @client: service "proxy" of the test; see struct client
 * @paused: gets no turns
 */
struct node {
    char name[16];
    char domain[16];
    struct ggw_kernel *kernel;
    struct ggw_service *peers;
    struct client *client;
    struct relay relay; /* between its listener and the others */
    bool paused;
};

/**
 * struct client - stands in for the services that receive messages
 * @members: last MEMBERS_CHANGED
 * @lost: PEER_LOST received
 * @on_message: called with every other message; may be NULL
 */
struct client {
    struct ggw_service base;
    GPtrArray *members; /* of "name state" */
    int known_gateways;
    int lost;
    void (*on_message)(struct node *node, struct ggw_message *message);
    struct node *node;
};

struct cluster {
    struct node nodes[CLUSTER_MAX];
    int len;
    uv_loop_t relay_loop;
};

void cluster_init(struct cluster *c);

/**
 * cluster_add() - start a gateway whose seed is the first one
 * @slots: service "slots", or NULL
 * @on_message: see struct client
 */
struct node *
cluster_add(struct cluster *c, const char *domain, struct ggw_service *slots,
            void (*on_message)(struct node *, struct ggw_message *));

/**
 * cluster_run_once() - wait for events of any loop and handle them
 */
void cluster_run_once(struct cluster *c);

/**
 * cluster_wait() - turn until a condition holds
 *
 * Return: false when it did not within CLUSTER_WAIT_LIMIT_MS.
 */
bool cluster_wait(struct cluster *c, bool (*condition)(struct cluster *));

/**
 * cluster_run_for() - turn for a span of time, to see that nothing happens
 */
void cluster_run_for(struct cluster *c, ggw_ms span);

void cluster_remove(struct cluster *c, struct node *node);
void cluster_destroy(struct cluster *c);

/**
 * node_sees() - whether a gateway has another one in a state
 */
bool node_sees(const struct node *node, const char *name,
               enum ggw_member_state state);

/**
 * cluster_joined() - every running gateway has every one as alive
 */
bool cluster_joined(struct cluster *c);

#endif
