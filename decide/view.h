#ifndef GGW_DECIDE_VIEW_H
#define GGW_DECIDE_VIEW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/vms.h"
#include "kernel/clock.h"
#include "peers/peers.h"

/**
 * DOC: Membership view of one gateway (design 5.3)
 *
 * Tracks which gateways are alive, suspected, leaving or dead. The code does
 * no I/O and reads no clock: heartbeats, lists of VMs and the time are
 * arguments.
 *
 * An incarnation that left or died is never accepted again. A gateway that was
 * only paused, and learns that others count it as dead, takes a new
 * incarnation.
 */

/* Times in ms, all multiplied by ggw_view_interval_factor(). */
#define GGW_HEARTBEAT_INTERVAL 200.0
#define GGW_SUSPECT_AFTER 700.0 /* without a heartbeat */
#define GGW_DEAD_AFTER 2000.0   /* without a heartbeat */

/*
 * Every gateway sends heartbeats to every other one. With more members than
 * this, ggw_view_interval_factor() exceeds 1 and grows with their number up to
 * a maximum.
 */
#define GGW_VIEW_UNSCALED_MAX 12

/*
 * Dead members are removed this many ms after their last heartbeat unless the
 * list of VMs has them. This only bounds the table: a process that still runs
 * announces itself with a hello.
 */
#define GGW_VIEW_FORGET_AFTER 3600e3

/**
 * struct ggw_view_member - state of one gateway in the view
 * @member: published part; @member.incarnation is 0 until the first hello
 * @gone: highest incarnation that left or died; 0 for none
 * @left: the incarnation in @member announced that it leaves
 * @heard_at: time of its last hello or heartbeat, monotonic ms
 * @acked_at: sending time of the latest heartbeat that it acknowledged,
 *            monotonic ms; -INFINITY for none
 * @listed: the current list of VMs contains it
 * @listed_leaving: the current list of VMs marks it as leaving
 */
struct ggw_view_member {
    struct ggw_member member;
    uint64_t gone;
    bool left;
    ggw_ms heard_at;
    ggw_ms acked_at;
    bool listed;
    bool listed_leaving;
};

/**
 * struct ggw_view_hello - description that a gateway sends of itself
 * @name: unique name of the gateway
 * @failure_domain: failure domain that it runs in
 * @host: address at which it accepts client requests
 * @port: port at which it accepts client requests
 * @incarnation: start time of its process in Unix ms
 * @leaving: it is shutting down
 * @capacity: link speed and processor share of its machine
 */
struct ggw_view_hello {
    const char *name;
    const char *failure_domain;
    const char *host;
    uint16_t port;
    uint64_t incarnation;
    bool leaving;
    struct ggw_capacity capacity;
};

struct ggw_view;

/**
 * ggw_view_new() - create a view that contains only this gateway
 * @self: description of this gateway
 * @seeds: number of other gateways named in the settings; until a list of VMs
 *         arrives, ggw_view_cluster_size() counts at least this many others,
 *         less those that left
 * @now: monotonic ms
 *
 * Return: view to be released with ggw_view_free().
 */
struct ggw_view *ggw_view_new(const struct ggw_view_hello *self, int seeds,
                              ggw_ms now);

/**
 * ggw_view_free() - release a view; NULL is ignored
 */
void ggw_view_free(struct ggw_view *v);

/**
 * ggw_view_hello() - record the hello of another gateway
 *
 * Return: false if this incarnation left, died or was replaced by a newer one,
 * or if the name is this gateway's own.
 */
bool ggw_view_hello(struct ggw_view *v, const struct ggw_view_hello *hello,
                    ggw_ms now);

/**
 * ggw_view_record_heartbeat() - record a heartbeat of another gateway
 * @leaving: the sender is shutting down
 * @now: monotonic ms
 *
 * Return: false as for ggw_view_hello(), and for a gateway that sent no hello
 * with this incarnation.
 */
bool ggw_view_record_heartbeat(struct ggw_view *v, const char *name,
                               uint64_t incarnation, bool leaving, ggw_ms now);

/**
 * ggw_view_record_ack() - record that a gateway acknowledged a heartbeat
 * @sent_at: when this gateway sent that heartbeat, monotonic ms
 */
void ggw_view_record_ack(struct ggw_view *v, const char *name,
                         uint64_t incarnation, ggw_ms sent_at);

/**
 * ggw_view_apply_vm_list() - apply a list of VMs, unless it is older than the
 *                            last one
 *
 * The list is only a hint: it never makes a member alive. A gateway that it
 * marks as leaving counts as leaving until a newer list no longer does so.
 */
void ggw_view_apply_vm_list(struct ggw_view *v,
                            const struct ggw_vm_list *list);

/**
 * ggw_view_tick() - mark silent members as suspected or dead
 * @now: monotonic ms
 *
 * Also removes dead members that are due by GGW_VIEW_FORGET_AFTER.
 */
void ggw_view_tick(struct ggw_view *v, ggw_ms now);

/**
 * ggw_view_add_stall() - exclude a pause of this process from all silences
 * @duration: time in which this process did not run, ms
 *
 * It could not receive heartbeats in that time, so their absence says nothing
 * about the other gateways.
 */
void ggw_view_add_stall(struct ggw_view *v, ggw_ms duration);

/**
 * ggw_view_leave() - mark this gateway as leaving
 */
void ggw_view_leave(struct ggw_view *v);

/**
 * ggw_view_set_incarnation() - give this gateway a new incarnation
 * @incarnation: ignored unless it is higher than the current one
 *
 * Used when other gateways count the current incarnation as dead.
 */
void ggw_view_set_incarnation(struct ggw_view *v, uint64_t incarnation);

/**
 * ggw_view_interval_factor() - factor for heartbeat interval and timeouts
 *
 * Return: 1 up to GGW_VIEW_UNSCALED_MAX members, more above.
 */
double ggw_view_interval_factor(const struct ggw_view *v);

/**
 * ggw_view_changed() - test whether the published part changed
 *
 * Return: true if it changed since the previous call.
 */
bool ggw_view_changed(struct ggw_view *v);

/**
 * ggw_view_state() - get the state of a member to be published
 *
 * Return: its own state, or GGW_MEMBER_LEAVING if it is not dead and the list
 * of VMs marks it as leaving.
 */
enum ggw_member_state ggw_view_state(const struct ggw_view_member *m);

/**
 * ggw_view_find() - look up a member by name
 *
 * Return: member owned by the view, or NULL for an unknown name.
 */
const struct ggw_view_member *ggw_view_find(const struct ggw_view *v,
                                            const char *name);

/**
 * ggw_view_self() - get the entry of this gateway
 */
const struct ggw_view_member *ggw_view_self(const struct ggw_view *v);

/**
 * ggw_view_members() - get all members, this gateway included
 *
 * Return: array of struct ggw_view_member pointers, sorted by name. The view
 * owns it; the next call that changes the view invalidates it.
 */
const GPtrArray *ggw_view_members(const struct ggw_view *v);

/**
 * ggw_view_cluster_size() - number of gateways of which a majority is counted
 *
 * A dead member still counts until the list of VMs no longer contains it.
 * Otherwise both sides of a network partition could each form a majority.
 *
 * Return: at least 1, for this gateway.
 */
int ggw_view_cluster_size(const struct ggw_view *v);

/**
 * ggw_view_majority_valid_until() - end of the time in which a majority of
 *                                   gateways is certain to count this gateway
 *                                   as alive
 *
 * Return: monotonic ms; INFINITY if this gateway alone is a majority,
 * -INFINITY if too few gateways have acknowledged a heartbeat.
 */
ggw_ms ggw_view_majority_valid_until(const struct ggw_view *v);

#endif
