#ifndef GGW_ROLLOUTS_INTERNAL_H
#define GGW_ROLLOUTS_INTERNAL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "config/vms.h"
#include "decide/rollout.h"
#include "kernel/kernel.h"
#include "peers/peers.h"
#include "rollouts/rollouts.h"
#include "rollouts/rows.h"
#include "rollouts/state.h"

/**
 * DOC: Private parts of the service "rollouts"
 *
 * Only the files of the service include this header. A file calls only those
 * whose declarations stand above its own here; rollouts.c, which receives the
 * messages, calls all of them. Times are monotonic ms where nothing else is
 * said.
 */

/* Name of the service in the log. */
#define GGW_ROLLOUTS_PART "rollouts"

/* Timeout of the first call to the store, ms. */
#define GGW_ROLLOUT_SAVE_TIMEOUT 1000.0

/**
 * struct ggw_rollout_gateway_report - what a gateway has said last
 * @from: the report, for ggw_rollout_is_drained(); its state is unused
 * @order: order of the report
 */
struct ggw_rollout_gateway_report {
    struct ggw_rollout_report from;
    uint64_t order;
};

/**
 * struct ggw_rollout_last_order - the operator's last order for a service
 * @number: number of the order; 0: none
 * @removed: the operator has removed it
 * @target, @duration: see struct ggw_rollout_order
 * @read_at: when this gateway read it, monotonic ms
 */
struct ggw_rollout_last_order {
    uint64_t number;
    bool removed;
    char *target;
    ggw_ms duration;
    ggw_ms read_at;
};

/**
 * struct ggw_rollout_servers - servers of a service in the list of VMs
 * @target: number of servers of the new version
 * @others: number of servers of other versions
 * @allowed: number of servers that may get requests
 * @domains: number of failure domains with servers of the new version, up to 2
 * @others_gone_at: see struct ggw_rollout_view
 * @allowed_gone_at: as that, for @allowed
 */
struct ggw_rollout_servers {
    size_t target;
    size_t others;
    size_t allowed;
    size_t domains;
    ggw_ms others_gone_at;
    ggw_ms allowed_gone_at;
};

/**
 * struct ggw_rollout - roll-out of one service, or its allowed versions
 * @team, @name: the service
 * @order: the operator's last order
 * @state: stage that this gateway applies
 * @stage_since: since when it applies it, monotonic ms
 * @servers: servers of the service
 * @own: last counts of this gateway, or NULL
 * @sent_at: when they, or the state, were sent to others; monotonic ms
 * @deciding_since: since when this gateway is the decider, monotonic ms
 * @judge: results of the order, in the decider
 * @finding: what the judge has found last
 * @reports: name of a gateway to struct ggw_rollout_gateway_report
 * @save_tag: tag of the call to the store in progress; 0: none
 * @save_state: state that it writes
 * @save_at: earliest time of the next call, monotonic ms
 * @save_timeout: timeout of the next call, ms
 * @verify_at: when the rows are read again, monotonic ms
 * @record_version, @state_version: versions of the rows
 * @stored_term: term of the state in the store
 * @known: whether @state is known
 * @lifted: all versions are allowed, because the allowed ones have no server
 * @deciding: this gateway is the decider
 * @completing: the last old request has ended; the state is to be written
 * @writing: the call in progress writes @save_state; otherwise it only reads
 * @read: whether the rows have been read
 * @reread: a write got no answer, so that the rows are not known
 * @unsent: the state that operators read differs from @state
 */
struct ggw_rollout {
    char *team;
    char *name;
    struct ggw_rollout_last_order order;
    struct ggw_rollout_state state;
    ggw_ms stage_since;
    struct ggw_rollout_servers servers;
    struct ggw_rollout_counts *own;
    ggw_ms sent_at;
    ggw_ms deciding_since;
    struct ggw_rollout_judge *judge;
    struct ggw_rollout_finding finding;
    GHashTable *reports;
    uint64_t save_tag;
    struct ggw_rollout_state save_state;
    ggw_ms save_at;
    ggw_ms save_timeout;
    ggw_ms verify_at;
    int64_t record_version;
    int64_t state_version;
    uint64_t stored_term;
    bool known;
    bool lifted;
    bool deciding;
    bool completing;
    bool writing;
    bool read;
    bool reread;
    bool unsent;
};

/**
 * struct ggw_rollouts - the service "rollouts"
 * @base: service header
 * @self: name of this gateway
 * @options: settings; the texts are unset
 * @timer: calls ggw_rollouts_tick()
 * @started_at, @ticked_at: monotonic ms
 * @rollouts: "TEAM/SERVICE" to struct ggw_rollout
 * @members: last MEMBERS_CHANGED, or NULL
 * @dead_since: name of a gateway to ggw_ms *, while it is dead
 * @vms: last list of VMs, or NULL
 * @trees: team to struct ggw_tree
 * @last_tag: last tag of a call to the store
 */
struct ggw_rollouts {
    struct ggw_service base;
    char *self;
    struct ggw_rollouts_options options;
    uv_timer_t timer;
    ggw_ms started_at;
    ggw_ms ticked_at;
    GHashTable *rollouts;
    struct ggw_members_changed *members;
    GHashTable *dead_since;
    struct ggw_vm_list *vms;
    GHashTable *trees;
    uint64_t last_tag;
};

/* rollout.c: one service's roll-out */

ggw_ms ggw_rollouts_now(const struct ggw_rollouts *p);

struct ggw_rollout *ggw_rollout_new(const char *team, const char *service);

/* Frees a struct ggw_rollout; a GDestroyNotify. */
void ggw_rollout_free(gpointer data);

/* Term of the stage that this gateway applies. */
uint64_t ggw_rollout_get_term(const struct ggw_rollout *r);

/* Whether a stage of the service is undecided or was decided just now. */
bool ggw_rollout_is_active(const struct ggw_rollout *r, ggw_ms now);

/* servers.c: servers and versions of a service */

/* Whether two lists of versions are equal; NULL equals only NULL. */
bool ggw_rollout_equal_versions(char **a, char **b);

/* Counts the servers of the service in the list of VMs. */
void ggw_rollout_count_servers(struct ggw_rollouts *p, struct ggw_rollout *r);

/* Tells the judge the failure domains of the servers of the new version. */
void ggw_rollout_group_servers(struct ggw_rollouts *p, struct ggw_rollout *r);

/**
 * ggw_rollout_list_versions() - list the versions of the registered servers
 * @target: version to leave out, or NULL
 *
 * Return: the caller frees it with g_strfreev(); NULL, which means all
 * versions, if a server states none.
 */
char **ggw_rollout_list_versions(struct ggw_rollouts *p,
                                 const struct ggw_rollout *r,
                                 const char *target);

/* outputs.c: what the service sends, publishes and logs */

/* Sends the stage that applies to the service "slots". */
void ggw_rollout_send_to_slots(struct ggw_rollouts *p, struct ggw_rollout *r);

/* Publishes the list of roll-outs for the status page. */
void ggw_rollouts_publish_status(struct ggw_rollouts *p);

/* Sends the state to a gateway, or to all if @peer is NULL. */
void ggw_rollout_send_state(struct ggw_rollouts *p, struct ggw_rollout *r,
                            const char *peer);

/* Sends the last counts of this gateway, which must be set, to @decider if
 * they are for the order whose state this gateway knows. */
void ggw_rollout_send_counts(struct ggw_rollouts *p, struct ggw_rollout *r,
                             const char *decider);

/* Logs and counts the stage, which @by has decided. */
void ggw_rollout_log_stage(struct ggw_rollouts *p, const struct ggw_rollout *r,
                           const char *by);

/* reports.c: what the gateways have counted */

/* Longest time that a request of the service takes, ms. */
ggw_ms ggw_rollout_longest_request(const struct ggw_rollouts *p,
                                   const struct ggw_rollout *r);

/* Adds the counts of a gateway to the judge and the reports. */
void ggw_rollout_add_counts(struct ggw_rollouts *p, struct ggw_rollout *r,
                            const char *gateway,
                            const struct ggw_rollout_counts *c);

/* Voids what was reported so far, and a completion that relied on it. */
void ggw_rollout_void_reports(struct ggw_rollout *r);

/* Whether most of the known gateways are alive in this gateway's view. */
bool ggw_rollouts_has_majority(const struct ggw_rollouts *p);

/* Whether no gateway has requests in progress on servers of old versions. */
bool ggw_rollout_all_drained(const struct ggw_rollouts *p,
                             const struct ggw_rollout *r);

/* stages.c: applies and decides stages */

/* Applies a copy of @state, which @by has decided. */
void ggw_rollout_apply(struct ggw_rollouts *p, struct ggw_rollout *r,
                       const struct ggw_rollout_state *state, const char *by);

/* Without an order, the versions that are registered first are allowed. */
void ggw_rollout_decide_baseline(struct ggw_rollouts *p,
                                 struct ggw_rollout *r);

/* Begins with the operator's last order. */
void ggw_rollout_begin_order(struct ggw_rollouts *p, struct ggw_rollout *r);

/* Decides the next stage of the roll-out in progress. */
void ggw_rollout_decide_next(struct ggw_rollouts *p, struct ggw_rollout *r);

/* Allows all versions while the allowed ones have no servers. */
void ggw_rollout_update_lifted(struct ggw_rollouts *p, struct ggw_rollout *r);

/* saving.c: rows of record and state in the store */

/*
 * Whether a completion is being written, or was written with an unknown
 * result. It may take effect, so no other stage and no new order begins.
 */
bool ggw_rollout_may_complete(const struct ggw_rollout *r);

/* Writes the state to the store, or reads it, when it is time to. */
void ggw_rollout_update_store(struct ggw_rollouts *p, struct ggw_rollout *r);

/* Handles the answer of "rollout-rows"; ignores one to an earlier call. */
void ggw_rollouts_on_saved(struct ggw_rollouts *p,
                           const struct ggw_rollout_saved *m);

/* decider.c: who decides, and the decider's periodic work */

/* Name of the decider in this gateway's view, or NULL. */
const char *ggw_rollout_find_decider(const struct ggw_rollouts *p,
                                     const struct ggw_rollout *r);

/* Starts or ends deciding when the members have changed. */
void ggw_rollout_update_deciding(struct ggw_rollouts *p,
                                 struct ggw_rollout *r);

/* The decider's work. */
void ggw_rollout_tick_decider(struct ggw_rollouts *p, struct ggw_rollout *r);

/* Sends this gateway's counts to the decider again. */
void ggw_rollout_tick_other(struct ggw_rollouts *p, struct ggw_rollout *r);

#endif
