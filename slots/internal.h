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
#include "slots/slots.h"

/* State that the files of this folder share. */

/* Reason in SLOT_REFUSE besides enum ggw_slot_refusal: ask the owner. */
#define GGW_SLOTS_NOT_OWNER 100

/* Name of the domain that has all servers of a service. */
#define GGW_SLOTS_ALL "*"

/* A request that waits in this gateway looks for a slot this often. */
#define GGW_SLOTS_RETRY 10.0

/**
 * struct ggw_slots_server - one backend server, as every gateway has it
 * @closed: leaving or draining
 * @out: its failure domain is out of service
 * @warm: the owner announced it as warm, with this incarnation
 * @suspect: an own request has failed there since
 * @own: requests of this gateway in flight there
 */
struct ggw_slots_server {
    char *name;
    char *host;
    struct ggw_slots_domain *domain;
    uint64_t incarnation;
    uint16_t port;
    bool closed;
    bool out;
    bool warm;
    bool suspect;
    bool listed; /* mark while a list is applied */
    int own;
    bool reported;
    int load;
    ggw_ms reported_at;
    ggw_ms probed_at;
    bool probing;
    char *failure_domain;
    int slots;
    bool reports_cold;
    ggw_ms cold_until;
};

/**
 * struct ggw_slots_domain - the servers of a service whose slots one owner
 *                           counts: those of a failure domain, or all
 * @name: of the failure domain, or GGW_SLOTS_ALL
 * @logged_at: last line on its ledger
 * @scouts: requests that wait for load reports, see slots/scout.c
 * @owner: name of the gateway that grants its slots; NULL for none
 * @ledger: not NULL while this gateway is the owner
 * @free: slots that the owner announced
 * @free_at: when it announced them
 * @spent: slots that this gateway asked for in the current tick
 * @exhausted: the owner had no free slot for a spilled request in this tick
 * @announced: names of warm servers in the last SLOT_LOAD sent
 * @announced_free: free slots in it
 * @announced_at: when it was sent
 */
struct ggw_slots_domain {
    struct ggw_slots_group *group;
    char *name;
    char *owner;
    struct ggw_ledger *ledger;
    int free;
    int spent;
    bool exhausted;
    ggw_ms free_at;
    GBytes *announced;
    int announced_free;
    ggw_ms announced_at;
    GPtrArray *scouts;
    ggw_ms logged_at;
};

/**
 * struct ggw_slots_iter - walk over the failure domains of all services
 *
 * Domains must not be added or removed during the walk.
 */
struct ggw_slots_iter {
    GHashTableIter groups;
    struct ggw_slots_group *group;
    guint next;
};

/**
 * struct ggw_slots_group - the servers of one service of a team
 * @tree: holds @rule; NULL before settings are in force
 * @split: large enough for one owner in each failure domain
 */
struct ggw_slots_group {
    char *team;
    char *service;
    struct ggw_tree *tree;
    const struct ggw_service_rule *rule;
    bool split;
    GPtrArray *servers; /* of struct ggw_slots_server */
    GPtrArray *domains; /* of struct ggw_slots_domain */
    struct ggw_policy policy;
    struct ggw_probe_budget budget;
};

/**
 * struct ggw_slots_ask - one question to one owner
 * @due: when to stop waiting for an answer, or to ask again if @queued
 * @grace: how much later that may become for pauses of this gateway
 * @asked_again: a repeated question has not been answered
 */
struct ggw_slots_ask {
    uint64_t id;
    struct ggw_slots_pending *pending;
    struct ggw_slots_domain *domain;
    char *owner;
    ggw_ms sent_at;
    ggw_ms due;
    ggw_ms grace;
    bool queued;
    bool asked_again;
};

/**
 * struct ggw_slots_pending - a request of "proxy" without an answer
 * @home: question to the owner of the own failure domain
 * @spill: question to the owner of another one
 * @local: waits in this gateway, until @retry_at
 * @refused: the home owner refused it with @reason
 */
struct ggw_slots_pending {
    struct ggw_slot_request *request;
    struct ggw_slots_group *group;
    struct ggw_slots_ask *home;
    struct ggw_slots_ask *spill;
    bool local;
    ggw_ms retry_at;
    bool refused;
    enum ggw_slot_refusal reason;
    ggw_ms retry_after;
    GSequenceIter *iter; /* in the sequence by due time */
    ggw_ms due;
};

/**
 * struct ggw_slots_held - a grant that "proxy" uses
 * @owner: gateway that counts it; NULL while none does
 */
struct ggw_slots_held {
    uint64_t id;
    struct ggw_slots_group *group;
    char *server;
    char *domain;
    char *owner;
    ggw_ms expires;
    ggw_service_id from; /* of the request that it answered */
    uint64_t tag;
};

/**
 * struct ggw_slots_peer - another gateway
 * @rtt: round trip time; falls at once and rises slowly
 * @silent: nothing was heard of it in time; asked again once it is heard
 * @uncounted: requests that it owns the servers of were placed without it; it
 *             is told once it is heard
 */
struct ggw_slots_peer {
    ggw_ms rtt;
    ggw_ms heard_at;
    bool silent;
    bool uncounted;
};

struct ggw_slots {
    struct ggw_service base;
    char *self;
    char *domain;
    GRand *rand;
    GHashTable *trees;  /* team to struct ggw_tree */
    GHashTable *groups; /* "team/service" to struct ggw_slots_group */
    struct ggw_vm_list *vms;
    GArray *members; /* of struct ggw_member */
    int known;
    struct ggw_ledger_grant_limits gate;
    GHashTable *peers;  /* name to struct ggw_slots_peer */
    GHashTable *asks;   /* id to struct ggw_slots_ask */
    GHashTable *held;   /* id to struct ggw_slots_held */
    GSequence *pending; /* of struct ggw_slots_pending, by due time */
    int local_len;      /* of them, those that wait in this gateway */
    GHashTable *probes; /* id to name of the server */
    uint64_t next_id;
    uv_timer_t tick;
    uv_timer_t wake;
    ggw_ms wake_at;
    ggw_ms tick_at; /* when @tick fires next */
    ggw_ms seen_at; /* last time the loop ran */
};

/* slots/slots.c */
ggw_ms ggw_slots_now(const struct ggw_slots *p);
void ggw_slots_wake(struct ggw_slots *p, ggw_ms at);
void ggw_slots_to_peer(struct ggw_slots *p, const char *peer,
                       enum ggw_peer_frame_type type, uint64_t id,
                       struct ggw_payload_writer *w);
struct ggw_slots_group *ggw_slots_group(struct ggw_slots *p, const char *team,
                                        const char *service);

/* slots/groups.c */
struct ggw_slots_domain *ggw_slots_read_domain(struct ggw_slots *p,
                                               struct ggw_payload_reader *r);
void ggw_slots_update(struct ggw_slots *p);
void ggw_slots_group_free(gpointer group);
struct ggw_slots_server *ggw_slots_find_server(const struct ggw_slots_group *g,
                                               const char *name);
struct ggw_slots_domain *ggw_slots_find_domain(const struct ggw_slots_group *g,
                                               const char *name);

/* Whether servers are counted in it as the service is divided now. */
bool ggw_slots_domain_used(const struct ggw_slots_domain *d);

/**
 * ggw_slots_announced() - an owner announced the free slots of a domain
 *
 * Between SPLIT_UNTIL and SPLIT_FROM servers the division of a service depends
 * on the past, which a gateway that has just started learns in this way.
 */
void ggw_slots_announced(struct ggw_slots *p, const char *team,
                         const char *service, const char *domain);
struct ggw_slots_domain *ggw_slots_home(const struct ggw_slots *p,
                                        const struct ggw_slots_group *g);
bool ggw_slots_domain_open(const struct ggw_slots_domain *d);
bool ggw_slots_server_open(const struct ggw_slots_server *s);
void ggw_slots_configure_ledger(struct ggw_slots *p,
                                struct ggw_slots_domain *d);

/* slots/owned.c */
void ggw_slots_reassign(struct ggw_slots *p, const GArray *old_members);
void ggw_slots_drain(struct ggw_slots *p, struct ggw_slots_domain *d);
void ggw_slots_owner_frame(struct ggw_slots *p,
                           const struct ggw_peer_received *frame);
void ggw_slots_owner_tick(struct ggw_slots *p, ggw_ms now);
ggw_ms ggw_slots_ledgers_tick(struct ggw_slots *p, ggw_ms now);
void ggw_slots_probe_result(struct ggw_slots *p,
                            const struct ggw_probe_result *m);

void ggw_slots_probe(struct ggw_slots *p, struct ggw_slots_server *s,
                     ggw_ms now);

/* slots/scout.c */

/**
 * ggw_slots_owner_ask() - ask the ledger, after fresh load reports if the
 *                         service has them
 *
 * The caller drains the domain afterwards.
 */
void ggw_slots_owner_ask(struct ggw_slots *p, struct ggw_slots_domain *d,
                         const struct ggw_ledger_request *ask);
bool ggw_slots_scout_cancel(struct ggw_slots_domain *d, const char *holder,
                            uint64_t id);
void ggw_slots_scout_result(struct ggw_slots *p, struct ggw_slots_domain *d,
                            const char *server);
ggw_ms ggw_slots_scouts_tick(struct ggw_slots *p, struct ggw_slots_domain *d,
                             ggw_ms now);
void ggw_slots_scout_free(gpointer scout);

/* slots/handover.c */
void ggw_slots_request_sync(struct ggw_slots *p, struct ggw_slots_domain *d,
                            const char *peer);
void ggw_slots_request_announcement(struct ggw_slots *p,
                                    struct ggw_slots_domain *d);
void ggw_slots_send_sync(struct ggw_slots *p, struct ggw_slots_domain *d,
                         const char *peer);
void ggw_slots_on_sync(struct ggw_slots *p,
                       const struct ggw_peer_received *frame);
void ggw_slots_adopt_held(struct ggw_slots *p, struct ggw_slots_domain *d);

/* slots/asks.c */

/**
 * ggw_slots_ask_new() - make a question of a request to a domain's owner
 * @home: it may queue there; else it is refused when no slot is free
 */
struct ggw_slots_ask *ggw_slots_ask_new(struct ggw_slots *p,
                                        struct ggw_slots_pending *pd,
                                        struct ggw_slots_domain *d, bool home);

/* The answer may arrive, and free @a, at once. */
void ggw_slots_ask_send(struct ggw_slots *p, const struct ggw_slots_ask *a);

/* The owner has queued the request. */
void ggw_slots_ask_queued(struct ggw_slots *p, struct ggw_slots_ask *a);

/* Asks whether a queued request still waits there. */
void ggw_slots_ask_repeat(struct ggw_slots *p, struct ggw_slots_ask *a);

/**
 * ggw_slots_ask_paused() - allow for a time in which this gateway did not run
 * @pause: at most how long, ms
 */
void ggw_slots_ask_paused(struct ggw_slots *p, struct ggw_slots_ask *a,
                          ggw_ms pause);

/**
 * ggw_slots_ask_detach() - separate a question from its request
 *
 * An answer to it is ignored from now on. The caller ends it with
 * ggw_slots_ask_cancel().
 */
void ggw_slots_ask_detach(struct ggw_slots *p, struct ggw_slots_ask *a);

/**
 * ggw_slots_ask_cancel() - tell the owner that a detached question is void
 *
 * Frees it. An owner in this process may answer other requests meanwhile.
 */
void ggw_slots_ask_cancel(struct ggw_slots *p, struct ggw_slots_ask *a);

/* Frees a question that has its final answer. */
void ggw_slots_ask_free(struct ggw_slots *p, struct ggw_slots_ask *a);

/**
 * ggw_slots_ask_ids() - ids of the questions to one owner
 * @d: only those for this domain; NULL for all
 *
 * Handling one may free others, so that each must be looked up again.
 */
GArray *ggw_slots_ask_ids(struct ggw_slots *p, const char *owner,
                          const struct ggw_slots_domain *d);

/* slots/remote.c */
void ggw_slots_request(struct ggw_slots *p,
                       const struct ggw_slot_request *request);
void ggw_slots_cancel(struct ggw_slots *p, const struct ggw_message *message);
void ggw_slots_answer(struct ggw_slots *p, const char *from, uint64_t id,
                      enum ggw_ledger_answer answer, const char *server,
                      int reason, ggw_ms retry_after);
void ggw_slots_answer_frame(struct ggw_slots *p,
                            const struct ggw_peer_received *frame);
void ggw_slots_owner_changed(struct ggw_slots *p, struct ggw_slots_domain *d,
                             const char *old_owner);
void ggw_slots_peer_silent(struct ggw_slots *p, const char *peer);

/**
 * ggw_slots_paused() - this gateway has not run for up to @pause ms
 *
 * Owners count as silent only for the time in which their answers could be
 * read.
 */
void ggw_slots_paused(struct ggw_slots *p, ggw_ms pause);
void ggw_slots_due(struct ggw_slots *p, ggw_ms now);
void ggw_slots_drop_all(struct ggw_slots *p);

/* slots/held.c */
uint64_t ggw_slots_hold(struct ggw_slots *p, uint64_t id,
                        const struct ggw_slots_pending *pd,
                        struct ggw_slots_server *s, const char *owner);
void ggw_slots_release(struct ggw_slots *p, const struct ggw_slot_release *r);
void ggw_slots_release_unused(struct ggw_slots *p, const char *owner,
                              uint64_t id, const struct ggw_slots_domain *d,
                              const char *server);
void ggw_slots_held_free(gpointer held);
struct ggw_slots_peer *ggw_slots_peer(struct ggw_slots *p, const char *name);
void ggw_slots_peer_heard(struct ggw_slots *p, const char *name, ggw_ms rtt);

/* slots/fallback.c */
struct ggw_slots_server *
ggw_slots_fallback(struct ggw_slots *p, const struct ggw_slots_pending *pd);
struct ggw_slots_server *ggw_slots_baseline(struct ggw_slots *p,
                                            struct ggw_slots_group *g,
                                            const struct ggw_slot_request *r);

void ggw_slots_iter_init(struct ggw_slots_iter *it, struct ggw_slots *p);

/* Return: NULL after the last domain. */
struct ggw_slots_domain *ggw_slots_iter_next(struct ggw_slots_iter *it);

#endif
