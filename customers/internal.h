#ifndef GGW_CUSTOMERS_INTERNAL_H
#define GGW_CUSTOMERS_INTERNAL_H

#include <glib.h>
#include <uv.h>

#include "config/tree.h"
#include "customers/allotments.h"
#include "decide/allotment.h"
#include "peers/peers.h"

/* State of the service "allotments". */

/**
 * struct ggw_allotment_waiter - request that waits for a token
 * @from: service that asked for permission
 * @tag: tag of its message
 * @since: time of its message, monotonic ms
 * @until: time from which on it is refused, monotonic ms
 */
struct ggw_allotment_waiter {
    ggw_service_id from;
    uint64_t tag;
    ggw_ms since;
    ggw_ms until;
};

/**
 * struct ggw_allotments_customer - one customer with a rate
 * @holder: tokens of this gateway
 * @waiting: struct ggw_allotment_waiter, first come first served
 * @owner: name of the gateway that counts the customer, or NULL
 * @view: value of @view of the service at which @owner was picked
 * @owned: this gateway counts the customer in @bucket
 * @used_at: time of the last request or ask, monotonic ms
 * @permitted_total, @refused_total: requests since the start
 * @permitted, @refused: metrics; NULL beyond their greatest number
 */
struct ggw_allotments_customer {
    char *team;
    char *name;
    struct ggw_allotment_holder holder;
    GQueue waiting;
    char *owner;
    uint64_t view;
    bool owned;
    struct ggw_allotment_bucket bucket;
    ggw_ms used_at;
    uint64_t permitted_total;
    uint64_t refused_total;
    uint64_t *permitted;
    uint64_t *refused;
};

/**
 * struct ggw_allotments - the service
 * @self: name of this gateway
 * @customers: "TEAM/CUSTOMER" to struct ggw_allotments_customer
 * @trees: team to struct ggw_tree
 * @members: struct ggw_member; those with a lost link count as suspected
 * @changed: last MEMBERS_CHANGED, or NULL before the first
 * @lost: gateway to the time until which its lost link counts, ggw_ms
 * @view: incremented when @members changes
 * @majority_valid_until: see struct ggw_peer_heard
 * @has_majority: state at the last check
 * @since: time from which on only this gateway may have granted tokens of the
 *         customers that it owns, monotonic ms
 * @ran_at: time of the last check, monotonic ms
 * @with_metrics: set of "TEAM/CUSTOMER" that have metrics
 * @waiting: number of requests that wait
 * @checks: checks for pauses since the start
 */
struct ggw_allotments {
    struct ggw_service base;
    char *self;
    uv_timer_t tick;
    uv_timer_t housekeeping;
    GHashTable *customers;
    GHashTable *trees;
    struct ggw_members_changed *members;
    struct ggw_members_changed *changed;
    GHashTable *lost;
    uint64_t view;
    ggw_ms majority_valid_until;
    bool has_majority;
    ggw_ms since;
    ggw_ms ran_at;
    GHashTable *with_metrics;
    unsigned waiting;
    unsigned checks;
};

/* Ask of a gateway, as in a frame. */
struct ggw_allotment_ask {
    const char *team;
    const char *customer;
    const char *origin;
    bool forwarded;
    ggw_ms asked_at;
    unsigned needed;
    unsigned ahead;
    unsigned returned;
};

/* Answer of an owner, as in a frame. */
struct ggw_allotment_reply {
    const char *team;
    const char *customer;
    const char *origin;
    ggw_ms asked_at;
    unsigned granted;
    unsigned refused;
    ggw_ms retry_after;
    ggw_ms step;
    const char *owner;
};

/* customers/service.c */
ggw_ms ggw_allotments_now(const struct ggw_allotments *p);

/* Returns the settings of a customer, or NULL. */
const struct ggw_customer_rule *
ggw_allotments_rule(const struct ggw_allotments *p, const char *team,
                    const char *customer);

/* Returns the state of a customer, or NULL if it has none. */
struct ggw_allotments_customer *ggw_allotments_find(struct ggw_allotments *p,
                                                    const char *team,
                                                    const char *customer);

/* Returns the state of a customer; creates it if necessary. */
struct ggw_allotments_customer *
ggw_allotments_customer(struct ggw_allotments *p, const char *team,
                        const char *customer);

/* customers/view.c */

/* Returns the gateway that counts a customer, or NULL if none is alive. */
const char *ggw_allotments_owner(struct ggw_allotments *p,
                                 struct ggw_allotments_customer *c);

/* Handles a changed list of gateways. */
void ggw_allotments_on_members(struct ggw_allotments *p,
                               const struct ggw_members_changed *m);

/* Handles the loss of the last link to a gateway. */
void ggw_allotments_on_lost(struct ggw_allotments *p, const char *peer);

/* Part of the rate that this gateway may grant; 1 with a majority. */
double ggw_allotments_share(const struct ggw_allotments *p);

/* Detects pauses of this process and changes of the majority. */
void ggw_allotments_check(struct ggw_allotments *p);

/* customers/owned.c */

/* Answers an ask for a customer that this gateway counts. */
void ggw_allotments_grant(struct ggw_allotments *p,
                          const struct ggw_allotment_ask *ask,
                          struct ggw_allotment_reply *reply);

/* Handles a frame of type ALLOTMENT. */
void ggw_allotments_on_frame(struct ggw_allotments *p,
                             const struct ggw_peer_received *frame);

/* Sends an ask to a gateway. */
void ggw_allotments_send_ask(struct ggw_allotments *p, const char *peer,
                             const struct ggw_allotment_ask *ask);

/* customers/held.c */
void ggw_allotments_request(struct ggw_allotments *p,
                            const struct ggw_allotment_request *m);
void ggw_allotments_return(struct ggw_allotments *p,
                           const struct ggw_allotment_return *m);

/* Handles the answer of an owner. */
void ggw_allotments_on_reply(struct ggw_allotments *p,
                             const struct ggw_allotment_reply *reply);

/* Asks the owner for tokens, if it is time to. */
void ggw_allotments_ask(struct ggw_allotments *p,
                        struct ggw_allotments_customer *c);

/* Asks for the requests that wait, and refuses those that waited too long. */
void ggw_allotments_run(struct ggw_allotments *p);

#endif
