#ifndef GGW_PEERS_INTERNAL_H
#define GGW_PEERS_INTERNAL_H

#include <glib.h>
#include <netinet/in.h>
#include <uv.h>

#include "decide/view.h"
#include "peers/link.h"
#include "peers/payload.h"
#include "peers/peers.h"

/**
 * DOC: State shared by the files of the service "peers"
 */

/*
 * Number of heartbeats per peer whose send times are kept; 3.2 s at the
 * interval of 200 ms. Acknowledgements of older heartbeats are ignored.
 */
#define GGW_PEERS_HEARTBEAT_HISTORY 16

/* Initial delay before an address is dialled again, in ms. */
#define GGW_PEERS_INITIAL_BACKOFF 50.0

/**
 * struct ggw_target - an address to keep a link to
 * @key: "IP:PORT"
 * @address: the same address in binary form
 * @name: name of the gateway at this address; NULL while unknown
 * @unannounced: the address was learned after the last announcement of
 *               addresses to the other gateways
 * @seed: the address comes from the settings and is never removed
 * @listed: the address is in the current list of VMs
 * @self: the address is this gateway's own; it is not dialled
 * @conn: connection dialled to the address, or NULL
 * @yields_until: the gateway at the address dials this one first; until then
 *                it is not dialled; monotonic ms
 * @backoff: delay before the next dial, in ms, without jitter
 * @next_dial_at: earliest time of the next dial; monotonic ms
 */
struct ggw_target {
    char *key;
    struct sockaddr_in address;
    char *name;
    bool unannounced;
    bool seed;
    bool listed;
    bool self;
    struct ggw_conn *conn;
    ggw_ms yields_until;
    ggw_ms backoff;
    ggw_ms next_dial_at;
};

/**
 * struct ggw_peer - another gateway that has sent a hello
 * @name: name of the gateway
 * @conns: array of struct ggw_conn, in the order in which they were attached;
 *         empty if all links have closed
 * @incarnation: incarnation that @seq_received refers to
 * @seq: sequence number of the last heartbeat sent
 * @seq_received: sequence number of the last heartbeat received; 0 for none
 * @received_at: arrival time of that heartbeat; monotonic ms
 * @sent_seqs: sequence numbers of the last heartbeats sent, indexed by
 *             sequence number modulo GGW_PEERS_HEARTBEAT_HISTORY; 0 once
 *             acknowledged
 * @sent_at: their send times, indexed the same way; monotonic ms
 * @rtt: last measured round-trip time in ms
 * @heartbeat_due: it gets a heartbeat at the next tick
 */
struct ggw_peer {
    char *name;
    GPtrArray *conns;
    uint64_t incarnation;
    uint64_t seq;
    uint64_t seq_received;
    ggw_ms received_at;
    uint64_t sent_seqs[GGW_PEERS_HEARTBEAT_HISTORY];
    ggw_ms sent_at[GGW_PEERS_HEARTBEAT_HISTORY];
    ggw_ms rtt;
    bool heartbeat_due;
};

/**
 * struct ggw_conn - one link and the gateway at its other end
 * @peers: the service
 * @link: the TCP link
 * @peer: gateway at the other end; NULL before it has sent a hello
 * @target: address that was dialled; NULL for an accepted link and for a link
 *          that was replaced by a newer one to the same address
 * @dialled_by_lower: the link was dialled by the gateway whose name sorts
 *                    first
 * @asked_addresses: the other end was asked for the addresses that it knows
 * @wants_addresses: the other end has asked for them
 * @dirty: the link has buffered frames to flush
 * @opened_at: time when the link was established; monotonic ms
 * @heard_at: arrival time of the last frame, initially @opened_at; moved
 *            forward by the length of a stall of this process; monotonic ms
 */
struct ggw_conn {
    struct ggw_peers *peers;
    struct ggw_link *link;
    struct ggw_peer *peer;
    struct ggw_target *target;
    bool dialled_by_lower;
    bool asked_addresses;
    bool wants_addresses;
    bool dirty;
    ggw_ms opened_at;
    ggw_ms heard_at;
};

/**
 * struct ggw_peers - the service "peers"
 * @base: service header
 * @name: name of this gateway
 * @listen_host: IPv4 address that the listener binds to
 * @listen_port: port of the listener; 0 until a free one has been picked
 * @max_strangers: most accepted links without a hello
 * @peer_host: IPv4 address at which other gateways reach the listener
 * @view: liveness of all gateways
 * @peers: name to struct ggw_peer
 * @targets: key to struct ggw_target
 * @conns: array of struct ggw_conn with all links
 * @revisions: team to the uint64_t configuration revision in force
 * @rand: source of backoff jitter and initial sequence numbers
 * @listener: listener for other gateways
 * @timer: calls timer_cb() periodically
 * @next_heartbeat: time of the next heartbeats; monotonic ms
 * @next_scan: time of the next scan_peers(); monotonic ms
 * @published_at: time of the last MEMBERS_CHANGED; monotonic ms
 * @majority_valid_until: last ggw_view_majority_valid_until()
 * @ticked_at: time of the last timer_cb(); monotonic ms
 * @flush_queued: a flush message is on its way
 * @has_due_heartbeats: some peers have a heartbeat due
 * @has_vm_list: a list of VMs with gateways has arrived
 * @has_unannounced: some targets are unannounced
 * @stopping: the service is stopping and ignores messages
 */
struct ggw_peers {
    struct ggw_service base;
    char *name;
    char *listen_host;
    uint16_t listen_port;
    unsigned max_strangers;
    char *peer_host;
    struct ggw_view *view;

    GHashTable *peers;
    GHashTable *targets;
    GPtrArray *conns;
    GHashTable *revisions;
    GRand *rand;
    uv_tcp_t listener;
    uv_timer_t timer;
    ggw_ms next_heartbeat;
    ggw_ms next_scan;
    ggw_ms published_at;
    ggw_ms majority_valid_until;
    ggw_ms ticked_at;
    bool flush_queued;
    bool has_due_heartbeats;
    bool has_vm_list;
    bool has_unannounced;
    bool stopping;
};

/* peers/messages.c */

/**
 * ggw_peer_received_new() - create the message; copies the payload of @frame
 */
struct ggw_message *ggw_peer_received_new(const char *peer,
                                          const struct ggw_frame *frame);

/**
 * ggw_peer_lost_new() - create the message
 */
struct ggw_message *ggw_peer_lost_new(const char *peer);

/**
 * ggw_peer_heard_new() - create the message; times in ms
 */
struct ggw_message *ggw_peer_heard_new(const char *peer, ggw_ms rtt,
                                       ggw_ms majority_valid_until);

/**
 * ggw_peer_revision_new() - create the message
 */
struct ggw_message *ggw_peer_revision_new(const char *peer, const char *team,
                                          uint64_t revision);

/* peers/peers.c */

/**
 * ggw_peers_link_ops() - get the callbacks for links to other gateways
 */
const struct ggw_link_ops *ggw_peers_link_ops(void);

/**
 * ggw_peers_conn_add() - add a connection that has no link yet
 */
struct ggw_conn *ggw_peers_conn_add(struct ggw_peers *p);

/**
 * ggw_peers_send() - buffer one frame until the end of the current event loop
 *                    turn
 *
 * Return: false when the frame is oversized; it is dropped then.
 */
bool ggw_peers_send(struct ggw_conn *conn, enum ggw_peer_frame_type type,
                    uint64_t request_id, GBytes *payload);

/**
 * ggw_peers_publish() - publish the members if they changed since last time
 */
void ggw_peers_publish(struct ggw_peers *p);

/**
 * ggw_peers_publish_soon() - publish the members if they changed, now or at
 * the next tick
 *
 * Among many gateways, changes within a short time are published together.
 * Among few, a later change would let an owner that has lost its majority
 * grant beside its successor for a tick longer.
 */
void ggw_peers_publish_soon(struct ggw_peers *p, ggw_ms now);

/**
 * ggw_peers_update_majority_soon() - update @majority_valid_until, now or at
 * the next tick
 */
void ggw_peers_update_majority_soon(struct ggw_peers *p);

/* peers/dial.c */

/**
 * ggw_peers_find_or_add_target() - look up the target of an address, or add it
 *
 * Return: NULL when @host is not an IPv4 address or @port is 0.
 */
struct ggw_target *ggw_peers_find_or_add_target(struct ggw_peers *p,
                                                const char *host,
                                                uint16_t port);

/**
 * ggw_peers_add_seed() - add an "IP:PORT" address that is never removed
 *
 * Return: false when @seed is not such an address.
 */
bool ggw_peers_add_seed(struct ggw_peers *p, const char *seed);

/**
 * ggw_peers_apply_list() - add the gateways of a list of VMs as targets and
 *                          remove targets that are neither seeds nor listed
 *                          nor connected
 */
void ggw_peers_apply_list(struct ggw_peers *p, const struct ggw_vm_list *list);

/**
 * ggw_peers_dial() - dial the targets that are due and have no active link
 * @now: monotonic ms
 */
void ggw_peers_dial(struct ggw_peers *p, ggw_ms now);

/**
 * ggw_peers_dial_failed() - schedule the next dial after a dialled link failed
 *                           or closed
 */
void ggw_peers_dial_failed(struct ggw_peers *p, struct ggw_target *t);

/**
 * ggw_peers_target_free() - free a struct ggw_target; the type of the argument
 *                           suits GDestroyNotify
 */
void ggw_peers_target_free(gpointer target);

/**
 * ggw_peers_compare_addresses() - order addresses by IP and port
 *
 * Return: a number below, equal to or above 0, like memcmp().
 */
int ggw_peers_compare_addresses(const struct sockaddr_in *a,
                                const struct sockaddr_in *b);

/* peers/addresses.c */

/**
 * ggw_peers_learn_target() - add the target of an address that another gateway
 *                            or the list of VMs has given
 *
 * Only one of two gateways that learn each other's address dials at once.
 *
 * Return: NULL when @host is not an IPv4 address or @port is 0.
 */
struct ggw_target *ggw_peers_learn_target(struct ggw_peers *p,
                                          const char *host, uint16_t port);

/**
 * ggw_peers_ask_addresses() - ask further gateways for addresses if too few of
 *                             those that were asked have a link
 */
void ggw_peers_ask_addresses(struct ggw_peers *p);

/**
 * ggw_peers_set_wants_addresses() - note whether the other end of a link has
 *                                   asked; sends all addresses the first time
 */
void ggw_peers_set_wants_addresses(struct ggw_conn *conn, bool wants);

/**
 * ggw_peers_announce_addresses() - send the addresses learned since the last
 *                                  call to the gateways that asked
 *
 * With a list of VMs nothing is sent, because the list has the addresses.
 */
void ggw_peers_announce_addresses(struct ggw_peers *p);

/**
 * ggw_peers_put_addresses() - write the addresses of a hello
 * @targets: of struct ggw_target
 * @from: index of the first address
 * @to: index after the last address
 */
void ggw_peers_put_addresses(struct ggw_payload_writer *w,
                             const GPtrArray *targets, guint from, guint to);

/**
 * ggw_peers_learn_addresses() - add the addresses of a received hello
 * @n: number of addresses in @list
 */
void ggw_peers_learn_addresses(struct ggw_peers *p,
                               struct ggw_payload_reader *list, uint32_t n);

/* peers/hello.c */

/**
 * ggw_peers_send_hello() - describe this gateway to the other end of a link
 * @dead_incarnation: incarnation of the other end that this gateway considers
 *                    dead, so that the other end takes a new one; 0 for none
 */
void ggw_peers_send_hello(struct ggw_conn *conn, uint64_t dead_incarnation);

/**
 * ggw_peers_send_hello_with() - send a hello with addresses of other gateways
 * @targets: of struct ggw_target; may be NULL when there are none
 * @from: index of the first address
 * @to: index after the last address
 */
void ggw_peers_send_hello_with(struct ggw_conn *conn,
                               uint64_t dead_incarnation,
                               const GPtrArray *targets, guint from, guint to);

/**
 * ggw_peers_on_hello() - handle a hello; may close the link and free @conn
 *
 * Return: false when the payload is malformed or names another gateway than an
 * earlier hello on the link.
 */
bool ggw_peers_on_hello(struct ggw_conn *conn, const struct ggw_frame *frame);

/**
 * ggw_peers_send_heartbeat() - send the next heartbeat of @peer over @conn
 * @now: monotonic ms
 */
void ggw_peers_send_heartbeat(struct ggw_peer *peer, struct ggw_conn *conn,
                              ggw_ms now);

/**
 * ggw_peers_on_heartbeat() - handle a heartbeat; may close the link and free
 *                            @conn
 *
 * Return: false when the payload is malformed.
 */
bool ggw_peers_on_heartbeat(struct ggw_conn *conn,
                            const struct ggw_frame *frame);

#endif
