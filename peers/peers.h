#ifndef GGW_PEERS_PEERS_H
#define GGW_PEERS_PEERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/kernel.h"

/*
 * Service "peers": links to the other gateways, heartbeats and the view of
 * who is alive. Addresses come from the seeds and from the platform's list
 * of VMs.
 */

enum ggw_member_state {
    GGW_MEMBER_ALIVE,
    GGW_MEMBER_SUSPECTED, /* no heartbeat for 700 ms */
    GGW_MEMBER_LEAVING,
    GGW_MEMBER_DEAD,
};

/**
 * struct ggw_capacity - how much a gateway's machine can do
 * @link_mbps: speed of its link; 0: not known
 * @cpu_percent: its share of a core, in percent; 0: not known
 */
struct ggw_capacity {
    int link_mbps;
    int cpu_percent;
};

/**
 * struct ggw_member - one gateway as this one sees it
 * @incarnation: start time of its process in Unix ms
 * @self: this gateway
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
 * @members: of struct ggw_member, sorted by name, this gateway included
 * @known_gateways: gateways that exist as far as is known, alive or not; a
 *                  majority is counted of them
 * @majority_valid_until: see struct ggw_peer_heard
 */
struct ggw_members_changed {
    struct ggw_message base;
    GArray *members;
    int known_gateways;
    ggw_ms majority_valid_until;
};

extern const struct ggw_message_ops ggw_members_changed_ops;
struct ggw_message *ggw_members_changed_new(void);
struct ggw_members_changed *
ggw_members_changed_copy(const struct ggw_members_changed *m);
void ggw_members_add(struct ggw_members_changed *m,
                     const struct ggw_member *member);

/**
 * enum ggw_peer_frame_type - types of frames that services send to each other
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
    GGW_PEER_SLOT_QUEUED, /* the owner has queued a SLOT_ACQUIRE */
    GGW_PEER_ROWS,        /* rows of the platform's store */
    GGW_PEER_ROWS_GET,    /* asks for all of them */
};

/**
 * struct ggw_peer_send - send one frame to a gateway
 * @peer: name of the gateway; NULL sends to all that are connected
 * @type: type of the frame
 * @request_id: chosen by the sender; an answer carries the same
 * @payload: one msgpack object
 *
 * A frame to a gateway without a link is answered with ggw_peer_lost.
 */
struct ggw_peer_send {
    struct ggw_message base;
    char *peer;
    enum ggw_peer_frame_type type;
    uint64_t request_id;
    GBytes *payload;
};

extern const struct ggw_message_ops ggw_peer_send_ops;
struct ggw_message *ggw_peer_send_new(const char *peer,
                                      enum ggw_peer_frame_type type,
                                      uint64_t request_id, GBytes *payload);

/**
 * struct ggw_peer_received - a frame from another gateway
 *
 * SLOT_* frames go to the service "slots", CONFIG_* frames to "config", ROWS*
 * frames to "site".
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
 * struct ggw_peer_lost - published when the link to a gateway broke
 */
struct ggw_peer_lost {
    struct ggw_message base;
    char *peer;
};

extern const struct ggw_message_ops ggw_peer_lost_ops;

/**
 * struct ggw_peer_heard - sent to "slots" when a gateway acknowledged a
 *                         heartbeat
 * @rtt: round trip time to it
 * @majority_valid_until: until when a majority of the known gateways certainly
 *                        counts this one as alive; monotonic ms
 */
struct ggw_peer_heard {
    struct ggw_message base;
    char *peer;
    ggw_ms rtt;
    ggw_ms majority_valid_until;
};

extern const struct ggw_message_ops ggw_peer_heard_ops;

/**
 * struct ggw_peer_revision - sent to "config" when a heartbeat names a higher
 *                            revision of a team than the one in force here
 *
 * Repeated with each heartbeat until the higher revision is in force.
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
 * @listen_host, @listen_port: listener for gateways; port 0 picks a free one
 * @advertise_host: IP number where clients and other gateways reach this one
 * @advertise_port: port for clients
 * @seeds: NULL-terminated list of "IP:PORT" of peer listeners
 */
struct ggw_peers_options {
    const char *name;
    const char *failure_domain;
    const char *listen_host;
    uint16_t listen_port;
    const char *advertise_host;
    uint16_t advertise_port;
    struct ggw_capacity capacity;
    char **seeds;
};

struct ggw_service *
ggw_peers_service_new(const struct ggw_peers_options *options);

/**
 * ggw_peers_port() - port of the listener, also when the settings said 0
 *
 * Return: 0 before the service has started.
 */
uint16_t ggw_peers_port(const struct ggw_service *peers);

#endif
