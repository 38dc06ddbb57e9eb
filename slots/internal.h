#ifndef GGW_SLOTS_INTERNAL_H
#define GGW_SLOTS_INTERNAL_H

#include <glib.h>
#include <uv.h>

#include "config/tree.h"
#include "config/vms.h"
#include "decide/measure.h"
#include "decide/policy.h"
#include "decide/slots.h"
#include "peers/payload.h"
#include "peers/peers.h"
#include "slots/rollout.h"
#include "slots/slots.h"

/* Types and functions shared by the files of the service "slots". */

/*
 * Reason in SLOT_REFUSE frames, besides the values of enum ggw_slot_refusal:
 * the receiver of a SLOT_ACQUIRE does not own the domain, or has stalled and
 * may have been replaced as its owner.
 */
#define GGW_SLOTS_NOT_OWNER 100

/* Name of the domain that contains all servers of a service. */
#define GGW_SLOTS_ALL_DOMAINS "*"

/* Longest time in a frame, in ms. A request may take at most 10 minutes. */
#define GGW_SLOTS_MAX_TIME 3600000.0

/* Interval in ms at which a request queued in this gateway tries again. */
#define GGW_SLOTS_LOCAL_RETRY_INTERVAL 10.0

/**
 * struct ggw_slots_server - one backend server, as known to every gateway
 * @name: name of the VM
 * @host: IP address
 * @domain: domain whose owner counts its slots
 * @incarnation: incarnation from the list of VMs; grows with each restart
 * @port: TCP port
 * @closed: the server is leaving or draining
 * @out: its failure domain is out of service
 * @backoff: what the server wants, as far as this gateway knows
 * @paused_until: end of the pause that it wants, monotonic ms; 0 for none
 * @unproven: no request of this gateway that started since the server's pause
 *            has succeeded
 * @warm: the owner announced it as warm with this incarnation
 * @suspect: since then, a request of this gateway failed there or a response
 *           reported the server as cold or draining
 * @listed: the list of VMs that is being applied contains the server
 * @own_in_flight: requests of this gateway in flight there
 * @reported: @load is valid
 * @load: busy plus queued requests in the last load report
 * @reported_at: monotonic ms of the last load report
 * @probed_at: monotonic ms of the last probe
 * @probing: a probe is in flight
 * @failure_domain: failure domain of the VM
 * @slots: slots stated in the list of VMs; 0 to use the service's setting
 * @reports_cold: @cold_until is valid
 * @cold_until: monotonic ms at which a cold start ends; 0 for a warm server
 * @version: version that the server runs; NULL: unknown
 * @exposure: whether the stage of a roll-out lets it take requests
 */
struct ggw_slots_server {
    char *name;
    char *host;
    struct ggw_slots_domain *domain;
    uint64_t incarnation;
    uint16_t port;
    bool closed;
    bool out;
    enum ggw_backoff_state backoff;
    ggw_ms paused_until;
    bool unproven;
    bool warm;
    bool suspect;
    bool listed;
    int own_in_flight;
    bool reported;
    int load;
    ggw_ms reported_at;
    ggw_ms probed_at;
    bool probing;
    char *failure_domain;
    int slots;
    bool reports_cold;
    ggw_ms cold_until;
    char *version;
    enum ggw_exposure_class exposure;
};

/**
 * struct ggw_slots_domain - servers of a service whose slots one owner counts:
 *                           those of one failure domain, or all
 * @group: service that the servers belong to
 * @name: name of the failure domain, or GGW_SLOTS_ALL_DOMAINS
 * @owner: name of the gateway that grants the slots; NULL for none
 * @ledger: ledger of the slots; NULL unless this gateway is the owner
 * @free_slots: free slots in the owner's last announcement
 * @spills_this_tick: spilled requests that this gateway sent to the owner in
 *                    the current tick
 * @exhausted: the owner had no free slot for a spilled request in this tick
 * @free_slots_at: monotonic ms of the owner's last announcement
 * @announced_warm: names of the warm servers in the last SLOT_LOAD sent to all
 *                  gateways; NULL before the first
 * @announced_free_slots: free slots in that SLOT_LOAD
 * @announced_at: monotonic ms at which it was sent
 * @probing_requests: requests that wait for load reports, see slots/probing.c
 * @logged_at: monotonic ms of the last log line about the ledger
 */
struct ggw_slots_domain {
    struct ggw_slots_group *group;
    char *name;
    char *owner;
    struct ggw_ledger *ledger;
    int free_slots;
    int spills_this_tick;
    bool exhausted;
    ggw_ms free_slots_at;
    GPtrArray *announced_warm;
    int announced_free_slots;
    ggw_ms announced_at;
    GPtrArray *probing_requests;
    ggw_ms logged_at;
};

/**
 * struct ggw_slots_iter - iterator over the domains of all services
 *
 * Domains must not be added or removed during the iteration.
 */
struct ggw_slots_iter {
    GHashTableIter groups;
    struct ggw_slots_group *group;
    guint next;
};

/**
 * struct ggw_slots_group - servers of one service of a team
 * @team: name of the team
 * @service: name of the service
 * @tree: settings that contain @rule; NULL before settings are in force
 * @rule: settings of the service; NULL if the team has no such service, and
 *        then no request of it is pending
 * @limit_rule: limits of the servers by the last @rule; they hold for what
 *              the ledgers know of the servers while there is no rule
 * @split: the service is large enough for one owner in each failure domain
 * @single_owner: one owner for all servers, by the last @rule
 * @servers: array of struct ggw_slots_server
 * @domains: array of struct ggw_slots_domain
 * @policy: policy that selects a server
 * @budget: budget of the probes of servers that this gateway owns
 * @rollout: roll-out of the service; NULL while no stage was sent
 */
struct ggw_slots_group {
    char *team;
    char *service;
    struct ggw_tree *tree;
    const struct ggw_service_rule *rule;
    struct ggw_limit_rule limit_rule;
    bool split;
    bool single_owner;
    GPtrArray *servers;
    GPtrArray *domains;
    struct ggw_policy policy;
    struct ggw_probe_budget budget;
    struct ggw_slots_rollout *rollout;
};

/**
 * struct ggw_slots_acquire - one acquire request to the owner of a domain
 * @id: id in the frames to and from the owner
 * @pending: request that needs the slot; NULL once detached
 * @domain: domain whose owner was asked
 * @owner: name of the gateway that was asked
 * @sent_at: monotonic ms at which the acquire request was last sent
 * @due: monotonic ms at which to give up waiting for an answer, or to resend
 *       if @queued and not @resent
 * @pause_allowance: ms by which pauses of this gateway may still postpone @due
 * @queued: the owner has queued the request
 * @resent: the queued request was sent again and has not been answered since
 */
struct ggw_slots_acquire {
    uint64_t id;
    struct ggw_slots_pending *pending;
    struct ggw_slots_domain *domain;
    char *owner;
    ggw_ms sent_at;
    ggw_ms due;
    ggw_ms pause_allowance;
    bool queued;
    bool resent;
};

/**
 * struct ggw_slots_pending - request of "proxy" that has no answer yet
 * @request: copy of the request
 * @group: service that it asks for
 * @home: acquire request to the owner of the home domain, or NULL
 * @spill: acquire request to the owner of another domain, or NULL
 * @queued_locally: the request waits in this gateway until @retry_at
 * @retry_at: monotonic ms of the next try
 * @refused: the home owner refused it with @reason and @retry_after
 * @reason: reason of that refusal
 * @retry_after: time in ms after which the client may retry
 * @iter: position in the sequence ordered by @due
 * @due: monotonic ms at which the request needs attention next
 */
struct ggw_slots_pending {
    struct ggw_slot_request *request;
    struct ggw_slots_group *group;
    struct ggw_slots_acquire *home;
    struct ggw_slots_acquire *spill;
    bool queued_locally;
    ggw_ms retry_at;
    bool refused;
    enum ggw_slot_refusal reason;
    ggw_ms retry_after;
    GSequenceIter *iter;
    ggw_ms due;
};

/**
 * struct ggw_slots_held_grant - grant that "proxy" has not released yet
 * @id: id of the grant
 * @group: service of the server
 * @server: name of the server
 * @incarnation: of the server when the grant was given
 * @domain: name of the domain that the server is counted in
 * @owner: name of the gateway that counts the grant; NULL if none does
 * @expires: monotonic ms at which an owner stops counting the grant
 * @since_pause: given after the end of the server's pause
 * @from: service that sent the slot request
 * @tag: tag of the slot request
 */
struct ggw_slots_held_grant {
    uint64_t id;
    struct ggw_slots_group *group;
    char *server;
    uint64_t incarnation;
    char *domain;
    char *owner;
    ggw_ms expires;
    bool since_pause;
    ggw_service_id from;
    uint64_t tag;
};

/**
 * struct ggw_slots_peer - another gateway
 * @rtt: round trip time in ms; it decreases at once and increases slowly
 * @heard_at: monotonic ms of the last answer or acknowledgement
 * @silent: the gateway did not answer in time, or it did not know yet that it
 *          is an owner; it gets no acquire requests until it is heard again
 * @missed_grants: requests were placed on its servers without its grant; it
 *                 learns of these grants once it is heard again
 */
struct ggw_slots_peer {
    ggw_ms rtt;
    ggw_ms heard_at;
    bool silent;
    bool missed_grants;
};

/**
 * struct ggw_slots - state of the service
 * @base: base of all services
 * @self: name of this gateway
 * @domain: failure domain of this gateway
 * @rand: random numbers for the choices between servers
 * @trees: team name to struct ggw_tree, the settings in force
 * @groups: "team/service" to struct ggw_slots_group
 * @rollouts: "team/service" to struct ggw_slots_rollout
 * @vms: last list of VMs; NULL before the first
 * @members: array of struct ggw_member, this gateway included
 * @known_gateways: number of gateways that exist, alive or not
 * @grant_limits: limits on granting for all ledgers
 * @peers: name to struct ggw_slots_peer
 * @acquires: id to struct ggw_slots_acquire
 * @held_grants: id to struct ggw_slots_held_grant
 * @pending: struct ggw_slots_pending in the order of their due times
 * @local_queue_len: number of pending requests queued in this gateway
 * @probes: id of a probe to the name of its server
 * @backoffs: servers that have asked for no requests
 * @pause_end: monotonic ms at which the first pause of a server ends; INFINITY
 *             for none
 * @next_id: last id used for an acquire request, grant or probe
 * @tick: periodic timer
 * @wake: timer for the next due time before the tick
 * @wake_at: monotonic ms at which @wake fires; INFINITY if it is not armed
 * @tick_at: monotonic ms at which @tick fires next
 * @last_run_at: monotonic ms at which the loop last ran this service
 */
struct ggw_slots {
    struct ggw_service base;
    char *self;
    char *domain;
    GRand *rand;
    GHashTable *trees;
    GHashTable *groups;
    GHashTable *rollouts;
    struct ggw_vm_list *vms;
    GArray *members;
    int known_gateways;
    struct ggw_ledger_grant_limits grant_limits;
    GHashTable *peers;
    GHashTable *acquires;
    GHashTable *held_grants;
    GSequence *pending;
    int local_queue_len;
    GHashTable *probes;
    struct ggw_backoffs *backoffs;
    ggw_ms pause_end;
    uint64_t next_id;
    uv_timer_t tick;
    uv_timer_t wake;
    ggw_ms wake_at;
    ggw_ms tick_at;
    ggw_ms last_run_at;
};

/* slots/slots.c */

/* Returns the monotonic time in ms. */
ggw_ms ggw_slots_now(const struct ggw_slots *p);

/*
 * Arms the timer that runs due requests and ledgers, for monotonic ms @at
 * unless it fires earlier. A time more than a tick away needs no timer,
 * because the tick runs them too.
 */
void ggw_slots_schedule_wake(struct ggw_slots *p, ggw_ms at);

/* Sends a frame to one gateway, NULL for all; frees the contents of @w. */
void ggw_slots_send_frame(struct ggw_slots *p, const char *peer,
                          enum ggw_peer_frame_type type, uint64_t id,
                          struct ggw_payload_writer *w);

/* Returns NULL for an unknown service. */
struct ggw_slots_group *ggw_slots_find_group(struct ggw_slots *p,
                                             const char *team,
                                             const char *service);

/* slots/groups.c */

/*
 * Reads team, service and domain from a frame. Returns NULL if the domain is
 * unknown or the frame is malformed.
 */
struct ggw_slots_domain *ggw_slots_read_domain(struct ggw_slots *p,
                                               struct ggw_payload_reader *r);

/*
 * Reads a time in ms from a frame, also a negative one. One above
 * GGW_SLOTS_MAX_TIME makes the frame malformed: a grant or a place in a queue
 * that ends so late would be lost.
 */
ggw_ms ggw_slots_read_time(struct ggw_payload_reader *r);

/* Applies the settings in force and the list of VMs to all services. */
void ggw_slots_update(struct ggw_slots *p);
void ggw_slots_group_free(gpointer group);

/* Return NULL for an unknown name. */
struct ggw_slots_server *ggw_slots_find_server(const struct ggw_slots_group *g,
                                               const char *name);
struct ggw_slots_domain *ggw_slots_find_domain(const struct ggw_slots_group *g,
                                               const char *name);

/* Returns whether the current division of the service counts servers in it. */
bool ggw_slots_domain_in_use(const struct ggw_slots_domain *d);

/**
 * ggw_slots_learn_split() - learn the division of a service from an owner
 * @team: name of the team in an announcement of free slots
 * @service: name of the service in it
 * @domain: name of the domain in it
 *
 * Between MERGE_BELOW_SERVERS and SPLIT_MIN_SERVERS servers, the division of
 * a service depends on its earlier size. A gateway that has just started
 * does not know that size and learns the division from announcements.
 */
void ggw_slots_learn_split(struct ggw_slots *p, const char *team,
                           const char *service, const char *domain);

/*
 * Returns the domain whose owner a request of this gateway asks first, or
 * NULL.
 */
struct ggw_slots_domain *
ggw_slots_home_domain(const struct ggw_slots *p,
                      const struct ggw_slots_group *g);

/*
 * A server is open if it accepts new requests and the stage of a roll-out lets
 * it take some.
 */
bool ggw_slots_domain_has_open_server(const struct ggw_slots_domain *d);
bool ggw_slots_server_is_open(const struct ggw_slots_server *s);

/* Handles ROLLOUT_LIMITS. */
void ggw_slots_on_rollout_limits(struct ggw_slots *p,
                                 const struct ggw_rollout_limits *m);

/* Sends "rollouts" the counts of all services with a roll-out that are due. */
void ggw_slots_report_rollouts(struct ggw_slots *p, ggw_ms now);

/* Applies settings and servers to the ledger of an owned domain. */
void ggw_slots_configure_ledger(struct ggw_slots *p,
                                struct ggw_slots_domain *d);

/* slots/owned.c */

/*
 * Requests per second that the settings allow a customer, whose name may be
 * NULL; 0: not limited, or not known.
 */
double ggw_slots_customer_rate(const struct ggw_slots_domain *d,
                               const char *customer);

/**
 * ggw_slots_update_owners() - determine the owner of each domain again
 * @old_members: previous members; NULL if they have not changed
 */
void ggw_slots_update_owners(struct ggw_slots *p, const GArray *old_members);

/*
 * Logs the changes of servers and sends the decisions that the ledger of a
 * domain has queued.
 */
void ggw_slots_flush_ledger(struct ggw_slots *p, struct ggw_slots_domain *d);

/* Handles SLOT_ACQUIRE, SLOT_RELEASE and SLOT_CANCEL as an owner. */
void ggw_slots_on_owner_frame(struct ggw_slots *p,
                              const struct ggw_peer_received *frame);

/*
 * Does the periodic work of an owner: expires grants, announces free slots
 * and probes servers.
 */
void ggw_slots_owner_tick(struct ggw_slots *p, ggw_ms now);

/*
 * Runs what is due in owned ledgers. Returns the next due time in monotonic
 * ms, INFINITY if there is none.
 */
ggw_ms ggw_slots_ledgers_tick(struct ggw_slots *p, ggw_ms now);

/* Handles the result of a probe. */
void ggw_slots_on_probe_result(struct ggw_slots *p,
                               const struct ggw_probe_result *m);

/* Requests a load report of a server from "proxy". */
void ggw_slots_send_probe(struct ggw_slots *p, struct ggw_slots_server *s,
                          ggw_ms now);

/* slots/announce.c */

/* Sends SLOT_LOAD to all gateways if the state of the domain has changed. */
void ggw_slots_announce(struct ggw_slots *p, struct ggw_slots_domain *d,
                        ggw_ms now);

/*
 * Sends the last announcement to one gateway that may not have it. Nothing is
 * sent unless this gateway owns the domain and has announced it.
 */
void ggw_slots_announce_to(struct ggw_slots *p,
                           const struct ggw_slots_domain *d, const char *peer);

/* slots/probing.c */

/**
 * ggw_slots_owner_acquire() - request a slot from the ledger of this gateway
 * @request: request; its strings are copied if it has to wait
 * @answer_time: time in ms that the gateway of the request waits for an answer
 *
 * If the service has probes before placements, the request waits for fresh
 * load reports first, for a part of @answer_time at most. The caller calls
 * ggw_slots_flush_ledger() afterwards.
 */
void ggw_slots_owner_acquire(struct ggw_slots *p, struct ggw_slots_domain *d,
                             const struct ggw_ledger_request *request,
                             ggw_ms answer_time);

/* Returns false if the request does not wait for load reports. */
bool ggw_slots_cancel_probing_request(struct ggw_slots_domain *d,
                                      const char *holder, uint64_t id);

/* Places the requests that waited only for the probe of @server. */
void ggw_slots_probing_result(struct ggw_slots *p, struct ggw_slots_domain *d,
                              const char *server);

/*
 * Places the requests that have waited long enough. Returns the next due time
 * in monotonic ms; INFINITY if no request waits.
 */
ggw_ms ggw_slots_probing_tick(struct ggw_slots *p, struct ggw_slots_domain *d,
                              ggw_ms now);
void ggw_slots_probing_request_free(gpointer data);

/* slots/handover.c */

/* Asks a gateway, or all if @peer is NULL, for grants and warm servers. */
void ggw_slots_request_sync(struct ggw_slots *p, struct ggw_slots_domain *d,
                            const char *peer);

/* Asks the owner of a domain to send SLOT_LOAD again. */
void ggw_slots_request_announcement(struct ggw_slots *p,
                                    struct ggw_slots_domain *d);

/* Sends the known grants and warm servers of a domain to a gateway. */
void ggw_slots_send_sync(struct ggw_slots *p, struct ggw_slots_domain *d,
                         const char *peer);

/* Handles SLOT_SYNC. */
void ggw_slots_on_sync(struct ggw_slots *p,
                       const struct ggw_peer_received *frame);

/* Adds the grants that this gateway holds to its own new ledger. */
void ggw_slots_import_held_grants(struct ggw_slots *p,
                                  struct ggw_slots_domain *d);

/* slots/acquire.c */

/**
 * ggw_slots_acquire_new() - create an acquire request to a domain's owner
 * @pd: request that needs the slot
 * @d: domain, which must have an owner
 * @home: true if the owner may queue the request; false for a spilled
 *        request, which the owner refuses if no slot is free
 */
struct ggw_slots_acquire *ggw_slots_acquire_new(struct ggw_slots *p,
                                                struct ggw_slots_pending *pd,
                                                struct ggw_slots_domain *d,
                                                bool home);

/*
 * Sends an acquire request to the owner. If this gateway is the owner, the
 * answer may arrive, and free @a, during the call.
 */
void ggw_slots_acquire_send(struct ggw_slots *p,
                            const struct ggw_slots_acquire *a);

/* Notes that the owner has queued the request. */
void ggw_slots_acquire_set_queued(struct ggw_slots *p,
                                  struct ggw_slots_acquire *a);

/* Checks that the owner still runs and has the request in its queue. */
void ggw_slots_acquire_resend(struct ggw_slots *p,
                              struct ggw_slots_acquire *a);

/**
 * ggw_slots_acquire_extend() - postpone the due time after a pause
 * @pause: time in ms for which this gateway has not run, at most
 */
void ggw_slots_acquire_extend(struct ggw_slots *p, struct ggw_slots_acquire *a,
                              ggw_ms pause);

/**
 * ggw_slots_acquire_detach() - separate an acquire request from its request
 *
 * Answers to it are ignored afterwards. The caller must call
 * ggw_slots_acquire_cancel() for it.
 */
void ggw_slots_acquire_detach(struct ggw_slots *p,
                              struct ggw_slots_acquire *a);

/**
 * ggw_slots_acquire_cancel() - withdraw a detached acquire request
 *
 * Tells the owner and frees @a. If this gateway is the owner, other requests
 * may be answered during the call.
 */
void ggw_slots_acquire_cancel(struct ggw_slots *p,
                              struct ggw_slots_acquire *a);

/* Frees an acquire request that has its final answer. */
void ggw_slots_acquire_free(struct ggw_slots *p, struct ggw_slots_acquire *a);

/**
 * ggw_slots_acquire_ids() - list the acquire requests to one owner
 * @owner: name of the owner
 * @d: domain that they are for; NULL for all domains
 *
 * Handling one acquire request may free others, so callers must look up each
 * id again.
 *
 * Return: array of ids; the caller frees it.
 */
GArray *ggw_slots_acquire_ids(struct ggw_slots *p, const char *owner,
                              const struct ggw_slots_domain *d);

/* slots/remote.c */

/* Handles SLOT_REQUEST. */
void ggw_slots_request(struct ggw_slots *p,
                       const struct ggw_slot_request *request);

/* Handles SLOT_CANCEL of "proxy". */
void ggw_slots_cancel(struct ggw_slots *p, const struct ggw_message *message);

/**
 * ggw_slots_on_answer() - handle the answer of an owner
 * @from: name of the gateway that answered
 * @id: id of the acquire request; an unknown one is ignored
 * @server: name of the server of a grant
 * @reason: reason of a refusal: enum ggw_slot_refusal or GGW_SLOTS_NOT_OWNER
 * @retry_after: with a refusal, time in ms after which the client may retry
 */
void ggw_slots_on_answer(struct ggw_slots *p, const char *from, uint64_t id,
                         enum ggw_ledger_answer answer, const char *server,
                         int reason, ggw_ms retry_after);

/* Handles SLOT_GRANT, SLOT_REFUSE and SLOT_QUEUED of an owner. */
void ggw_slots_on_answer_frame(struct ggw_slots *p,
                               const struct ggw_peer_received *frame);

/* Moves pending requests from the old owner of a domain to the new one. */
void ggw_slots_owner_changed(struct ggw_slots *p, struct ggw_slots_domain *d,
                             const char *old_owner);

/*
 * Refuses the pending requests of services that the settings in force do not
 * have, so that their clients come back for the new route. To be called when
 * the rules of the services have changed, before anything else can answer a
 * pending request: afterwards the service of each one has a rule.
 */
void ggw_slots_refuse_removed(struct ggw_slots *p);

/* Handles PEER_LOST: a gateway does not answer. */
void ggw_slots_on_peer_lost(struct ggw_slots *p, const char *peer);

/**
 * ggw_slots_on_pause() - postpone answer timeouts after a pause
 * @pause: time in ms for which this gateway has not run, at most
 *
 * Only the time in which this gateway could read answers counts towards the
 * timeout of an owner.
 */
void ggw_slots_on_pause(struct ggw_slots *p, ggw_ms pause);

/* Handles the pending requests that are due at monotonic ms @now. */
void ggw_slots_run_due(struct ggw_slots *p, ggw_ms now);

/* Frees all pending requests without an answer. */
void ggw_slots_drop_pending(struct ggw_slots *p);

/* slots/held.c */

/**
 * ggw_slots_add_held_grant() - record a grant until "proxy" releases it
 * @id: id of the grant
 * @pd: request that it answers
 * @s: granted server
 * @owner: gateway that counts the grant; NULL if none does
 *
 * Return: @id.
 */
uint64_t ggw_slots_add_held_grant(struct ggw_slots *p, uint64_t id,
                                  const struct ggw_slots_pending *pd,
                                  struct ggw_slots_server *s,
                                  const char *owner);

/* Handles SLOT_RELEASE of "proxy". */
void ggw_slots_release(struct ggw_slots *p, const struct ggw_slot_release *r);

/* Gives a grant that arrived too late back to the owner that granted it. */
void ggw_slots_release_unused(struct ggw_slots *p, const char *owner,
                              uint64_t id, const struct ggw_slots_domain *d,
                              const char *server);
void ggw_slots_held_grant_free(gpointer held);

/* Returns the state of a gateway, created on the first call. */
struct ggw_slots_peer *ggw_slots_get_peer(struct ggw_slots *p,
                                          const char *name);

/**
 * ggw_slots_peer_heard() - note that a gateway answered
 * @name: name of the gateway
 * @rtt: measured round trip time in ms; negative if not measured
 */
void ggw_slots_peer_heard(struct ggw_slots *p, const char *name, ggw_ms rtt);

/* slots/backoff.c */

/* Handles SERVER_NOTICE of "proxy". */
void ggw_slots_on_notice(struct ggw_slots *p,
                         const struct ggw_server_notice *m);

/* Handles SLOT_NOTICE of another gateway. */
void ggw_slots_on_notice_frame(struct ggw_slots *p,
                               const struct ggw_peer_received *frame);

/* Tells the owner @owner of the server what the server wants. */
void ggw_slots_send_notice(struct ggw_slots *p,
                           const struct ggw_slots_server *s,
                           const char *owner);

/*
 * Applies to a server of a group what is known of its wishes.
 * @source: why they may have changed, for the log
 */
void ggw_slots_refresh_backoff(struct ggw_slots *p, struct ggw_slots_server *s,
                               const char *source);

/* Returns servers to service whose pause is over at monotonic ms @now. */
void ggw_slots_end_pauses(struct ggw_slots *p, ggw_ms now);

/*
 * Returns the time in ms until the first server of a service takes requests
 * again after a pause; 0 if none has asked for one.
 */
ggw_ms ggw_slots_time_to_end_of_pause(const struct ggw_slots *p,
                                      const struct ggw_slots_group *g);

/* slots/fallback.c */

/*
 * Selects a server without the owner's grant, because the owner does not
 * answer. Returns NULL if no warm server has a free slot.
 */
struct ggw_slots_server *
ggw_slots_pick_fallback(struct ggw_slots *p,
                        const struct ggw_slots_pending *pd);

/*
 * Selects a server by a policy that needs no owner. Returns NULL if no server
 * accepts new requests.
 */
struct ggw_slots_server *
ggw_slots_pick_by_policy(struct ggw_slots *p, struct ggw_slots_group *g,
                         const struct ggw_slot_request *r);

/* slots/groups.c */
void ggw_slots_iter_init(struct ggw_slots_iter *it, struct ggw_slots *p);

/* Returns NULL after the last domain. */
struct ggw_slots_domain *ggw_slots_iter_next(struct ggw_slots_iter *it);

#endif
