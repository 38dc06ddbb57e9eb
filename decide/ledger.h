#ifndef GGW_DECIDE_LEDGER_H
#define GGW_DECIDE_LEDGER_H

#include "decide/admission.h"
#include "decide/latency.h"
#include "decide/policy.h"
#include "decide/slots.h"

/* State that decide/slots.c and decide/ledger.c share. */

struct ggw_ledger_entry {
    char *name;
    struct ggw_limit limit;
    bool closed;
    bool out;
    bool listed;  /* mark while the list is applied */
    bool touched; /* this owner has had a result or report of it */
    int in_flight;
    bool reported;
    int load;
    int slow_percent;
    ggw_ms reported_at;
    double failing; /* share of recent attempts that failed */
    ggw_ms failed_at;
    char *failure_domain;
    int slots;                 /* 0: as the rule has it */
    enum ggw_limit_state told; /* state that ggw_ledger_change() has told */
};

struct ggw_ledger_key {
    char *holder;
    uint64_t id;
};

/* @done: the attempt failed fast and still counts for a while */
struct ggw_ledger_grant {
    struct ggw_ledger_key key;
    struct ggw_ledger_entry *server;
    ggw_ms started;
    ggw_ms expires;
    GSequenceIter *iter;
    bool done;
};

struct ggw_ledger_waiting {
    struct ggw_ledger_key key;
    uint64_t seq; /* its id in the queue */
    int priority;
    ggw_ms deadline;
    ggw_ms start_by;
    char **avoid;
    char *failure_domain; /* of the holder, or NULL */
    double cross_domain_cost;
};

struct ggw_ledger {
    const struct ggw_ledger_grant_limits *grant_limits;
    GRand *rand;
    struct ggw_limit_rule rule;
    int busy_percent;
    GPtrArray *servers; /* of struct ggw_ledger_entry */
    GHashTable *grants; /* struct ggw_ledger_key to struct ggw_ledger_grant */
    GSequence *by_expiry; /* of struct ggw_ledger_grant */
    GHashTable
        *waiting;   /* struct ggw_ledger_key to struct ggw_ledger_waiting */
    GQueue blocked; /* of struct ggw_ledger_waiting that avoid what is free */
    struct ggw_admission *queue;
    struct ggw_latency latency;
    struct ggw_policy policy;
    GQueue decisions;
    GArray *candidates;
    GHashTable *ended; /* struct ggw_ledger_key to its time, see note_end() */
    uint64_t next_seq;
    ggw_ms hold_until;
};

/**
 * struct ggw_ledger_wish - what the choice of a server depends on, beside the
 *                          servers
 */
struct ggw_ledger_wish {
    int priority;
    char *const *avoid;
    const char *failure_domain;
    double cross_domain_cost;
};

/* decide/place.c */

/**
 * ggw_ledger_pick() - a server for one request, or NULL
 *
 * An ejected server that is due for a trial gets it first, but an urgent
 * request only when nothing else is free.
 */
struct ggw_ledger_entry *ggw_ledger_pick(struct ggw_ledger *l,
                                         const struct ggw_ledger_wish *wish,
                                         ggw_ms now);

/* decide/slots.c */
struct ggw_ledger_entry *ggw_ledger_find_server(const struct ggw_ledger *l,
                                                const char *name);

/* Whether anything may be granted on a server, apart from its limit. */
bool ggw_ledger_is_open(const struct ggw_ledger *l,
                        const struct ggw_ledger_entry *s, ggw_ms now);

/* @key must have no grant and not wait. */
void ggw_ledger_add_grant(struct ggw_ledger *l,
                          const struct ggw_ledger_key *key,
                          struct ggw_ledger_entry *s, ggw_ms expires,
                          ggw_ms now);

/* Returns false when the request does not wait. */
bool ggw_ledger_remove_waiting(struct ggw_ledger *l,
                               const struct ggw_ledger_key *key);
void ggw_ledger_drop_grant(struct ggw_ledger *l, struct ggw_ledger_grant *g);

/* Gives free slots to waiting requests. */
void ggw_ledger_serve(struct ggw_ledger *l, ggw_ms now);

#endif
