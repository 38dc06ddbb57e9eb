#ifndef GGW_PEERS_PEERS_H
#define GGW_PEERS_PEERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/kernel.h"

/**
 * DOC: Service "peers"
 *
 * Keeps TCP links to the other gateways, exchanges heartbeats over them and
 * publishes which gateways are alive. The addresses to dial come from the
 * configured seeds, from the platform's list of VMs and from other gateways.
 */

/**
 * enum ggw_member_state - liveness of a gateway
 * @GGW_MEMBER_ALIVE: it sends heartbeats
 * @GGW_MEMBER_SUSPECTED: no heartbeat arrived for GGW_SUSPECT_AFTER, 700 ms;
 *                        in large clusters a multiple of it
 * @GGW_MEMBER_LEAVING: it or the list of VMs announced that it leaves
 * @GGW_MEMBER_DEAD: no heartbeat arrived for GGW_DEAD_AFTER, 2 s; in large
 *                   clusters a multiple of it
 */
enum ggw_member_state {
    GGW_MEMBER_ALIVE,
    GGW_MEMBER_SUSPECTED,
    GGW_MEMBER_LEAVING,
    GGW_MEMBER_DEAD,
};

/**
 * struct ggw_capacity - resources of a gateway's VM
 * @link_mbps: network bandwidth in Mbit/s; 0 if unknown
 * @cpu_percent: CPU share in percent of one core; 0 if unknown
 */
struct ggw_capacity {
    int link_mbps;
    int cpu_percent;
};

/**
 * struct ggw_member - one gateway in this gateway's view
 * @name: unique name of the gateway
 * @failure_domain: failure domain that the gateway runs in
 * @host: IPv4 address at which clients reach the gateway
 * @incarnation: start time of its process in Unix ms; a higher number after
 *               other gateways have declared it dead and it rejoined
 * @state: liveness of the gateway
 * @port: port at which clients reach the gateway
 * @self: whether this is the local gateway
 * @capacity: resources of its VM
 */
struct ggw_member {
    char *name;
    char *failure_domain;
    char *host;
    uint64_t incarnation;
    enum ggw_member_state state;
    uint16_t port;
    bool self;
    struct ggw_capacity capacity;
};

/**
 * struct ggw_members_changed - published when the view of gateways changed
 * @base: message header
 * @members: array of struct ggw_member, sorted by name, including this gateway
 * @known_gateways: number of known gateways, alive or not; a majority is more
 *                  than half of them
 * @majority_valid_until: see struct ggw_peer_heard
 */
struct ggw_members_changed {
    struct ggw_message base;
    GArray *members;
    int known_gateways;
    ggw_ms majority_valid_until;
};

extern const struct ggw_message_ops ggw_members_changed_ops;

/**
 * ggw_members_changed_new() - create a message without members
 */
struct ggw_message *ggw_members_changed_new(void);

/**
 * ggw_members_changed_copy() - make a deep copy, which the caller owns
 */
struct ggw_members_changed *
ggw_members_changed_copy(const struct ggw_members_changed *m);

/**
 * ggw_members_add() - append a copy of @member and its strings
 */
void ggw_members_add(struct ggw_members_changed *m,
                     const struct ggw_member *member);

/**
 * enum ggw_peer_frame_type - types of frames that gateways send to each other
 * @GGW_PEER_HELLO: describes the sender; the first frame on every link
 * @GGW_PEER_HEARTBEAT: shows that the sender is alive, acknowledges the last
 *                      heartbeat received and lists configuration revisions
 * @GGW_PEER_SLOT_ACQUIRE: requests a slot from its owner
 * @GGW_PEER_SLOT_GRANT: grants a requested slot
 * @GGW_PEER_SLOT_REFUSE: refuses a requested slot
 * @GGW_PEER_SLOT_RELEASE: returns a slot to its owner
 * @GGW_PEER_SLOT_CANCEL: withdraws a SLOT_ACQUIRE
 * @GGW_PEER_SLOT_SYNC: requests or carries the slots in use and the warm
 *                      servers that a new owner must know, or requests a new
 *                      SLOT_LOAD
 * @GGW_PEER_SLOT_LOAD: announces an owner's free slots and warm servers
 * @GGW_PEER_CONFIG_GET: requests the configuration of one or all teams
 * @GGW_PEER_CONFIG_PUT: carries the configuration of a team
 * @GGW_PEER_SLOT_QUEUED: the owner has queued a SLOT_ACQUIRE
 * @GGW_PEER_ROWS: carries rows of the platform's store
 * @GGW_PEER_ROWS_GET: requests all of these rows
 * @GGW_PEER_ROWS_DEFLATED: ROWS with a compressed payload
 * @GGW_PEER_SLOT_NOTICE: tells an owner that a server wants no requests
 * @GGW_PEER_ALLOTMENT: exchanges what customers may still send, see
 *                      customers/allotments.h
 * @GGW_PEER_ROLLOUT: exchanges the state of roll-outs, see rollouts/rollouts.h
 *
 * Gateways of earlier versions ignore types that they do not know.
 */
enum ggw_peer_frame_type {
    GGW_PEER_HELLO = 1,
    GGW_PEER_HEARTBEAT,
    GGW_PEER_SLOT_ACQUIRE,
    GGW_PEER_SLOT_GRANT,
    GGW_PEER_SLOT_REFUSE,
    GGW_PEER_SLOT_RELEASE,
    GGW_PEER_SLOT_CANCEL,
    GGW_PEER_SLOT_SYNC,
    GGW_PEER_SLOT_LOAD,
    GGW_PEER_CONFIG_GET,
    GGW_PEER_CONFIG_PUT,
    GGW_PEER_SLOT_QUEUED,
    GGW_PEER_ROWS,
    GGW_PEER_ROWS_GET,
    GGW_PEER_ROWS_DEFLATED,
    GGW_PEER_SLOT_NOTICE,
    GGW_PEER_ALLOTMENT,
    GGW_PEER_ROLLOUT,
};

/**
 * struct ggw_peer_send - asks "peers" to send one frame to a gateway
 * @base: message header
 * @peer: name of the gateway; NULL sends to all connected gateways
 * @type: type of the frame
 * @request_id: chosen by the sender; the answer carries the same ID
 * @payload: one msgpack object
 *
 * If there is no link to the gateway, the frame is dropped and the sender of
 * this message receives struct ggw_peer_lost.
 */
struct ggw_peer_send {
    struct ggw_message base;
    char *peer;
    enum ggw_peer_frame_type type;
    uint64_t request_id;
    GBytes *payload;
};

extern const struct ggw_message_ops ggw_peer_send_ops;

/**
 * ggw_peer_send_new() - create the message; takes a reference to @payload
 */
struct ggw_message *ggw_peer_send_new(const char *peer,
                                      enum ggw_peer_frame_type type,
                                      uint64_t request_id, GBytes *payload);

/**
 * struct ggw_peer_received - delivers a frame from another gateway
 * @base: message header
 * @peer: name of the gateway that sent the frame
 * @type: type of the frame
 * @request_id: ID that the sender chose
 * @payload: one msgpack object
 *
 * SLOT_* frames go to the service "slots", CONFIG_* frames to "config", ROWS*
 * frames to "site", ALLOTMENT to "allotments" and ROLLOUT to "rollouts".
 */
struct ggw_peer_received {
    struct ggw_message base;
    char *peer;
    enum ggw_peer_frame_type type;
    uint64_t request_id;
    GBytes *payload;
};

extern const struct ggw_message_ops ggw_peer_received_ops;

/**
 * struct ggw_peer_lost - published when the last link to a gateway closed
 * @base: message header
 * @peer: name of the gateway
 *
 * Also the answer to a struct ggw_peer_send that names a gateway without a
 * link.
 */
struct ggw_peer_lost {
    struct ggw_message base;
    char *peer;
};

extern const struct ggw_message_ops ggw_peer_lost_ops;

/**
 * struct ggw_peer_heard - tells "slots" and "allotments" that a gateway
 *                         acknowledged a heartbeat
 * @base: message header
 * @peer: name of the gateway
 * @rtt: round-trip time to the gateway in ms
 * @majority_valid_until: time until which a majority of the known gateways is
 *                        guaranteed to count this one as alive; monotonic ms
 */
struct ggw_peer_heard {
    struct ggw_message base;
    char *peer;
    ggw_ms rtt;
    ggw_ms majority_valid_until;
};

extern const struct ggw_message_ops ggw_peer_heard_ops;

/**
 * struct ggw_peer_revision - tells "config" that a heartbeat listed a higher
 *                            configuration revision of a team than the one in
 *                            force on this gateway
 * @base: message header
 * @peer: name of the gateway that sent the heartbeat
 * @team: name of the team
 * @revision: revision in force on that gateway
 *
 * Sent again for every heartbeat until the higher revision is in force.
 */
struct ggw_peer_revision {
    struct ggw_message base;
    char *peer;
    char *team;
    uint64_t revision;
};

extern const struct ggw_message_ops ggw_peer_revision_ops;

/**
 * struct ggw_peers_options - settings of the service
 * @name: unique name of this gateway
 * @failure_domain: failure domain that this gateway runs in
 * @listen_host: IPv4 address of the listener for other gateways
 * @listen_port: its port; 0 picks a free one
 * @advertise_host: IPv4 address at which clients and other gateways reach this
 *                  gateway
 * @advertise_port: port at which clients reach this gateway
 * @capacity: resources of the VM
 * @descriptors: descriptors that the process may use for sockets; 0 if unknown
 * @seeds: NULL-terminated array of "IP:PORT" listener addresses of other
 *         gateways; may be NULL
 */
struct ggw_peers_options {
    const char *name;
    const char *failure_domain;
    const char *listen_host;
    uint16_t listen_port;
    const char *advertise_host;
    uint16_t advertise_port;
    struct ggw_capacity capacity;
    uint64_t descriptors;
    char **seeds;
};

/**
 * ggw_peers_service_new() - create the service; copies @options
 */
struct ggw_service *
ggw_peers_service_new(const struct ggw_peers_options *options);

/**
 * ggw_peers_port() - get the port of the listener for other gateways
 *
 * Return: the configured port; if that is 0, the port that was picked, or 0
 * before the service has started.
 */
uint16_t ggw_peers_port(const struct ggw_service *peers);

#endif
