#ifndef GGW_DECIDE_LEDGER_H
#define GGW_DECIDE_LEDGER_H

#include "decide/admission.h"
#include "decide/exposure.h"
#include "decide/full_server.h"
#include "decide/hedge.h"
#include "decide/latency.h"
#include "decide/policy.h"
#include "decide/remaining.h"
#include "decide/slots.h"

/**
 * DOC: Internals of the slot ledger
 *
 * Structures and functions that decide/slots.c, decide/ledger.c,
 * decide/ledger_exposure.c, decide/ledger_hedge.c and decide/place.c share.
 */

/**
 * struct ggw_ledger_server_entry - a backend server in the ledger
 * @name: name of the server
 * @limit: state and concurrency limit of the server
 * @closed: the server takes no new requests
 * @out: the server's failure domain is out of service
 * @listed: the server is in the list that ggw_ledger_configure() applies
 * @observed: this owner has had a result or load report of the server
 * @in_flight: grants that occupy a slot of the server
 * @reported: the members from the last load report are valid
 * @load: running and queued requests in the last load report
 * @slow_percent: latency in the last load report as a percentage of the usual
 *                one; 0: not known
 * @reported_at: time of the last load report, monotonic ms
 * @failure_rate: moving average of failures, 0 to 1
 * @failed_at: time of the last failed attempt, monotonic ms
 * @failure_domain: failure domain of the server, or NULL
 * @slots: requests that the server runs concurrently; 0: use the rule's number
 * @paused_until: end of the pause that the server wants, monotonic ms; 0: none
 * @notified_state: last state that ggw_ledger_change() returned
 * @version: version that the server runs; NULL: unknown
 * @exposure: whether the stage of a roll-out lets it take requests
 * @target: it runs the new version of a roll-out
 * @abandoned: cancelled attempts that the server may still run
 * @foreign: requests in the last load report beyond @in_flight
 * @resets: resets of connections, without and with the last slot taken, that
 *          are not known yet to come from a running process
 * @reset_at: time of the last of @resets, monotonic ms
 * @ok_at: end of the last successful attempt, monotonic ms
 * @miscounted_at: time at which a running process was last seen to reset or
 *                 ignore a request, monotonic ms
 */
struct ggw_ledger_server_entry {
    char *name;
    struct ggw_limit limit;
    bool closed;
    bool out;
    bool listed;
    bool observed;
    int in_flight;
    bool reported;
    int load;
    int slow_percent;
    ggw_ms reported_at;
    double failure_rate;
    ggw_ms failed_at;
    char *failure_domain;
    int slots;
    ggw_ms paused_until;
    enum ggw_limit_state notified_state;
    char *version;
    enum ggw_exposure_class exposure;
    bool target;
    int abandoned;
    int foreign;
    int resets[2];
    ggw_ms reset_at;
    ggw_ms ok_at;
    ggw_ms miscounted_at;
};

/**
 * struct ggw_ledger_key - identity of a grant or a waiting request
 * @holder: name of the gateway that requested the slot
 * @id: identifier of the request, unique per holder
 */
struct ggw_ledger_key {
    char *holder;
    uint64_t id;
};

/**
 * struct ggw_ledger_grant - a slot granted to a request
 * @key: holder and identifier of the request
 * @server: server whose slot the grant occupies
 * @started: time of the grant, monotonic ms
 * @expires: time at which the slot is given back without a release, monotonic
 *           ms
 * @iter: position in ggw_ledger.by_expiry
 * @customer: name of the customer that sent the request, or NULL
 * @released: the attempt has failed, but the grant occupies its slot until
 *            @expires, so that a server that fails fast does not look idle
 * @last_slot: the grant took the last slot of the server
 * @abandoned: the attempt was cancelled; the server may run it until @expires,
 *             but its slot counts as free except for requests that may not be
 *             repeated
 * @order: order of the roll-out that counts the grant; 0: none
 * @first: it is the first attempt of its request
 * @route: route of the request if @order is set, or NULL
 * @work: its slot time counts for ggw_ledger.hedge_work
 * @hedge_cost: slot time reserved for it if it is a hedge, ms; 0 otherwise
 */
struct ggw_ledger_grant {
    struct ggw_ledger_key key;
    struct ggw_ledger_server_entry *server;
    ggw_ms started;
    ggw_ms expires;
    GSequenceIter *iter;
    char *customer;
    bool released;
    bool last_slot;
    bool abandoned;
    uint64_t order;
    bool first;
    char *route;
    bool work;
    ggw_ms hedge_cost;
};

/**
 * struct ggw_ledger_waiter - a request that waits for a slot
 * @key: holder and identifier of the request
 * @queue_id: identifier in ggw_ledger.queue
 * @priority: 0 is the highest
 * @deadline: end of the request, monotonic ms
 * @start_by: monotonic ms; the request is refused as too late at this time
 * @avoid: NULL-terminated names of servers that the request already tried, or
 *         NULL
 * @failure_domain: failure domain of the holder, or NULL
 * @cross_domain_cost: cost of a server in another failure domain, as a
 *                     multiple of the usual latency of the request
 * @customer: name of the customer that sent the request, or NULL
 * @route: name of the route of the request, or NULL
 * @hedge: the slot is for a second attempt beside one that is in progress
 * @once: the request may not be sent again after it may have run
 */
struct ggw_ledger_waiter {
    struct ggw_ledger_key key;
    uint64_t queue_id;
    int priority;
    ggw_ms deadline;
    ggw_ms start_by;
    char **avoid;
    char *failure_domain;
    double cross_domain_cost;
    char *customer;
    char *route;
    bool hedge;
    bool once;
};

/**
 * struct ggw_ledger - slot ledger of one service in one failure domain, or in
 *                     all of them
 * @grant_limits: restrictions of all ledgers of the gateway
 * @rand: random numbers, owned by the caller
 * @rule: settings of the service that determine the limits of its servers
 * @busy_percent: percentage of its slots above which a server slows down
 * @servers: array of struct ggw_ledger_server_entry
 * @grants: struct ggw_ledger_key to struct ggw_ledger_grant
 * @by_expiry: the same grants in the order in which they expire
 * @waiting: struct ggw_ledger_key to struct ggw_ledger_waiter
 * @blocked: waiting requests that left @queue because they avoid every server
 *           that was free
 * @queue: the other waiting requests
 * @queue_max: most requests in @queue and @blocked together
 * @latency: latency of successful attempts
 * @remaining: distribution of the same latencies
 * @full: what full servers of the service do
 * @once_seen: a request that may not be repeated has asked for a slot
 * @policy: policy that picks servers
 * @decisions: struct ggw_ledger_decision that the caller has not taken yet
 * @candidates: buffer of struct ggw_candidate, one for each server
 * @ended: struct ggw_ledger_key of an ended grant to the time of its end; see
 *         record_ended_grant()
 * @last_queue_id: last identifier given to a request in @queue
 * @hold_until: until then no slots on servers that are not warm are granted,
 *              monotonic ms
 * @exposure: stage of a roll-out of the service; NULL for none
 * @exposure_counter: grants since the order of the roll-out
 * @hedge_percent: slot time that hedges may take, in percent of that of other
 *                 grants; 0: not limited
 * @hedge_work: slot time of hedges
 */
struct ggw_ledger {
    const struct ggw_ledger_grant_limits *grant_limits;
    GRand *rand;
    struct ggw_limit_rule rule;
    int busy_percent;
    GPtrArray *servers;
    GHashTable *grants;
    GSequence *by_expiry;
    GHashTable *waiting;
    GQueue blocked;
    struct ggw_admission *queue;
    size_t queue_max;
    struct ggw_latency latency;
    struct ggw_remaining remaining;
    struct ggw_full_server full;
    bool once_seen;
    struct ggw_policy policy;
    GQueue decisions;
    GArray *candidates;
    GHashTable *ended;
    uint64_t last_queue_id;
    ggw_ms hold_until;
    const struct ggw_exposure_limits *exposure;
    struct ggw_exposure_counter exposure_counter;
    double hedge_percent;
    struct ggw_hedge_work hedge_work;
};

/**
 * struct ggw_ledger_pick_params - properties of a request that affect the
 *                                 choice of its server
 * @priority: 0 is the highest
 * @avoid: NULL-terminated names of servers that the request already tried, or
 *         NULL
 * @failure_domain: failure domain of the holder, or NULL
 * @cross_domain_cost: cost of a server in another failure domain, as a
 *                     multiple of the usual latency of the request
 * @route: name of the route of the request, or NULL
 * @hedge: the slot is for a second attempt beside one that is in progress
 * @once: the request may not be sent again after it may have run
 */
struct ggw_ledger_pick_params {
    int priority;
    char *const *avoid;
    const char *failure_domain;
    double cross_domain_cost;
    const char *route;
    bool hedge;
    bool once;
};

/* decide/ledger_exposure.c */

/* Applies the stage of a roll-out to a server. */
void ggw_ledger_classify(const struct ggw_ledger *l,
                         struct ggw_ledger_server_entry *s);

/* Returns whether the stage of a roll-out lets a server take a request now. */
bool ggw_ledger_may_expose(const struct ggw_ledger *l,
                           const struct ggw_ledger_server_entry *s);

/*
 * Returns how many of @slots free slots of servers of the new version may be
 * granted now.
 */
int ggw_ledger_limit_exposed(const struct ggw_ledger *l, int slots);

/*
 * Returns how many of @limited slots of servers of the new version are in use
 * on average while @open slots of the other servers are.
 */
int ggw_ledger_share_exposed(const struct ggw_ledger *l, int open,
                             int limited);

/*
 * Picks one of l->candidates during a roll-out. Returns an index, or
 * GGW_POLICY_NONE.
 */
size_t ggw_ledger_pick_exposed(struct ggw_ledger *l,
                               const struct ggw_ledger_pick_params *params,
                               ggw_ms now);

/* Counts a new grant if a roll-out is in progress. */
void ggw_ledger_count_grant(struct ggw_ledger *l, struct ggw_ledger_grant *g,
                            const struct ggw_ledger_pick_params *params);

/* Counts the end of a grant if the order that counted it is in progress. */
void ggw_ledger_count_end(struct ggw_ledger *l,
                          const struct ggw_ledger_grant *g,
                          enum ggw_attempt_result result, ggw_ms latency);

/* decide/ledger_hedge.c */

/* Returns whether a request is a hedge and the slot time of these is limited.
 */
bool ggw_ledger_limits_hedge(const struct ggw_ledger *l,
                             const struct ggw_ledger_pick_params *params);

/* Returns whether a server is open, warm and has proved itself. */
bool ggw_ledger_suits_hedge(const struct ggw_ledger_server_entry *s);

/*
 * Returns whether a hedge may get a slot now. @reason becomes the reason of a
 * refusal, also of one because no server is picked.
 */
bool ggw_ledger_may_hedge(const struct ggw_ledger *l,
                          enum ggw_slot_refusal *reason);

/* Closes those of l->candidates that are too slow or busy for a hedge. */
void ggw_ledger_close_slow(struct ggw_ledger *l,
                           const struct ggw_ledger_pick_params *params,
                           ggw_ms now);

/* Counts the start of a grant for the limit of hedges. */
void ggw_ledger_count_work(struct ggw_ledger *l, struct ggw_ledger_grant *g,
                           const struct ggw_ledger_pick_params *params);

/*
 * Counts the end of a grant that held its slot for @held ms; the second call
 * for a grant has no effect.
 */
void ggw_ledger_count_work_end(struct ggw_ledger *l,
                               struct ggw_ledger_grant *g, ggw_ms held);

/* decide/ledger_results.c */

/* Ends the grants whose time is over, and forgets old ends of grants. */
void ggw_ledger_expire_grants(struct ggw_ledger *l, ggw_ms now);

/* decide/place.c */

/**
 * ggw_ledger_pick() - pick a server for one request
 *
 * An ejected server that is due for a trial is picked first. A request of the
 * highest priority becomes a trial only if no other server has a free slot.
 *
 * Return: NULL if no server may start the request now.
 */
struct ggw_ledger_server_entry *
ggw_ledger_pick(struct ggw_ledger *l,
                const struct ggw_ledger_pick_params *params, ggw_ms now);

/* decide/slots.c */

/* Returns the server with this name, or NULL. */
struct ggw_ledger_server_entry *
ggw_ledger_find_server(const struct ggw_ledger *l, const char *name);

/* Returns whether slots of a server may be granted, whatever its limit. */
bool ggw_ledger_can_grant(const struct ggw_ledger *l,
                          const struct ggw_ledger_server_entry *s, ggw_ms now);

/*
 * Adds a grant that expires at the given time, monotonic ms. The key must have
 * neither a grant nor a waiting request. Returns the grant.
 */
struct ggw_ledger_grant *
ggw_ledger_add_grant(struct ggw_ledger *l, const struct ggw_ledger_key *key,
                     struct ggw_ledger_server_entry *s, ggw_ms expires,
                     ggw_ms now);

/* Moves the time at which a grant expires. */
void ggw_ledger_set_expiry(struct ggw_ledger_grant *g, ggw_ms expires);

/* Returns whether a server is open to requests, whatever its limit. */
bool ggw_ledger_takes_requests(const struct ggw_ledger_server_entry *s);

/* Removes a waiting request; returns false if there is none with the key. */
bool ggw_ledger_remove_waiter(struct ggw_ledger *l,
                              const struct ggw_ledger_key *key);

/* Removes a grant and frees its slot and its memory. */
void ggw_ledger_drop_grant(struct ggw_ledger *l, struct ggw_ledger_grant *g);

/* Expires waiting requests and grants free slots to the others. */
void ggw_ledger_dispatch(struct ggw_ledger *l, ggw_ms now);

#endif
