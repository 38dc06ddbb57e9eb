#ifndef GGW_PEERS_INTERNAL_H
#define GGW_PEERS_INTERNAL_H

#include <glib.h>
#include <netinet/in.h>
#include <uv.h>

#include "decide/view.h"
#include "peers/link.h"
#include "peers/peers.h"

/* State that the files of this folder share. */

/* Heartbeats whose sending time is remembered: 3.2 s of them. */
#define GGW_PEERS_SENT 16

/* First wait before an address is dialled again. */
#define GGW_PEERS_BACKOFF 50.0

/**
 * struct ggw_target - an address to keep a link to
 * @name: gateway that was found there; NULL while unknown
 * @untold: learned since the other gateways were told of addresses
 * @seed: from the settings, never dropped
 * @listed: in the current list of VMs
 * @self: this gateway itself, not dialled
 * @conn: the link that was dialled, or NULL
 * @backoff: wait before the next attempt
 * @next_at: time of the next attempt
 */
struct ggw_target {
    char *key; /* "IP:PORT" */
    struct sockaddr_in address;
    char *name;
    bool untold;
    bool seed;
    bool listed;
    bool self;
    struct ggw_conn *conn;
    ggw_ms backoff;
    ggw_ms next_at;
};

/**
 * struct ggw_peer - another gateway with at least one link
 * @conns: of struct ggw_conn, in the order in which they were opened
 * @incarnation: that the other numbers refer to
 * @seq_received: last heartbeat that arrived, 0 for none
 * @sent_seqs, @sent_at: the last heartbeats sent, by sequence number modulo
 *                       GGW_PEERS_SENT
 */
struct ggw_peer {
    char *name;
    GPtrArray *conns;
    uint64_t incarnation;
    uint64_t seq; /* of the last heartbeat sent */
    uint64_t seq_received;
    ggw_ms received_at;
    uint64_t sent_seqs[GGW_PEERS_SENT];
    ggw_ms sent_at[GGW_PEERS_SENT];
    ggw_ms rtt;
};

/**
 * struct ggw_conn - one link and who is at its other end
 * @peer: NULL before the other end has sent its hello
 * @target: address that was dialled; NULL for an accepted link
 * @by_lower: dialled by the gateway with the lower name
 * @heard_at: last frame, or the opening
 * @dirty: has frames to flush
 */
struct ggw_conn {
    struct ggw_peers *peers;
    struct ggw_link *link;
    struct ggw_peer *peer;
    struct ggw_target *target;
    bool by_lower;
    bool dirty;
    ggw_ms opened_at;
    ggw_ms heard_at;
};

struct ggw_peers {
    struct ggw_service base;
    char *name;
    char *listen_host;
    uint16_t listen_port;
    char *peer_host; /* under which other gateways reach the listener */
    struct ggw_view *view;

    GHashTable *peers;     /* name to struct ggw_peer */
    GHashTable *targets;   /* key to struct ggw_target */
    GPtrArray *conns;      /* of struct ggw_conn, all links */
    GHashTable *revisions; /* team to its uint64_t */
    GRand *rand;
    uv_tcp_t listener;
    uv_timer_t timer;
    ggw_ms next_heartbeat;
    ggw_ms ticked_at;
    bool flush_queued;
    bool has_list;
    bool new_addresses; /* some targets are untold */ /* of VMs */
    bool stopping;
};

/* peers/messages.c */
struct ggw_message *ggw_peer_received_new(const char *peer,
                                          const struct ggw_frame *frame);
struct ggw_message *ggw_peer_lost_new(const char *peer);
struct ggw_message *ggw_peer_heard_new(const char *peer, ggw_ms rtt,
                                       ggw_ms majority_valid_until);
struct ggw_message *ggw_peer_revision_new(const char *peer, const char *team,
                                          uint64_t revision);

/* peers/peers.c */
const struct ggw_link_ops *ggw_peers_link_ops(void);
struct ggw_conn *ggw_peers_conn_add(struct ggw_peers *p);
bool ggw_peers_send(struct ggw_conn *conn, enum ggw_peer_frame_type type,
                    uint64_t request_id, GBytes *payload);
void ggw_peers_publish(struct ggw_peers *p);

/* peers/dial.c */
struct ggw_target *ggw_peers_target(struct ggw_peers *p, const char *host,
                                    uint16_t port);
bool ggw_peers_add_seed(struct ggw_peers *p, const char *seed);
void ggw_peers_apply_list(struct ggw_peers *p, const struct ggw_vm_list *list);
void ggw_peers_dial(struct ggw_peers *p, ggw_ms now);
void ggw_peers_dial_failed(struct ggw_peers *p, struct ggw_target *t);
void ggw_peers_target_free(gpointer target);

/* peers/hello.c */

/**
 * ggw_peers_send_hello() - describe this gateway
 * @refused: incarnation of the other end that this gateway counts as dead, so
 *           that it takes a new one; 0 for none
 */
void ggw_peers_send_hello(struct ggw_conn *conn, uint64_t refused);

/* Tells all others of the addresses that were learned since the last call. */
void ggw_peers_tell_addresses(struct ggw_peers *p);
bool ggw_peers_on_hello(struct ggw_conn *conn, const struct ggw_frame *frame);
void ggw_peers_send_heartbeat(struct ggw_peer *peer, struct ggw_conn *conn,
                              ggw_ms now);
bool ggw_peers_on_heartbeat(struct ggw_conn *conn,
                            const struct ggw_frame *frame);

#endif
