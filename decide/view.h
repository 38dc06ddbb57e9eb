#ifndef GGW_DECIDE_VIEW_H
#define GGW_DECIDE_VIEW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/vms.h"
#include "kernel/clock.h"
#include "peers/peers.h"

/*
 * One gateway's view of the others (design 5.3). Pure: heartbeats, lists of
 * VMs and the time are arguments.
 *
 * An incarnation that left or died never returns. A gateway that was only
 * paused, and finds that others counted it as dead, takes a new incarnation.
 */

#define GGW_HEARTBEAT_INTERVAL 200.0
#define GGW_SUSPECT_AFTER 700.0
#define GGW_DEAD_AFTER 2000.0

/*
 * Every gateway sends heartbeats to every other. Beyond this number of them,
 * all of these times are longer by ggw_view_interval_factor(), which grows
 * with their number.
 */
#define GGW_VIEW_SMALL 12

/*
 * Dead members are forgotten after this time unless the list of VMs has
 * them. It only bounds the table: a process that lives says so itself.
 */
#define GGW_VIEW_KEEP 3600e3

/**
 * struct ggw_view_member - what is known of one gateway
 * @member: as published; @member.incarnation is 0 until it was heard
 * @gone: highest incarnation that left or died; 0 for none
 * @left: the incarnation now in @member announced that it leaves
 * @heard_at: when it was heard last
 * @acked_at: when the last heartbeat was sent that it acknowledged;
 *            -INFINITY for never
 * @listed: in the current list of VMs
 * @listed_leaving: that list says that it leaves
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
 * struct ggw_view_hello - how a gateway describes itself
 * @host, @port: where it takes requests of clients
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
 * ggw_view_new() - make a view that holds only this gateway
 * @seeds: other gateways that the settings name; while there is no list of
 *         VMs, at least as many count as known
 */
struct ggw_view *ggw_view_new(const struct ggw_view_hello *self, int seeds,
                              ggw_ms now);
void ggw_view_free(struct ggw_view *v);

/**
 * ggw_view_hello() - a gateway described itself
 *
 * Return: false when that incarnation left, died or was replaced.
 */
bool ggw_view_hello(struct ggw_view *v, const struct ggw_view_hello *hello,
                    ggw_ms now);

/**
 * ggw_view_record_heartbeat() - a heartbeat arrived
 *
 * Return: false as for ggw_view_hello(), and for a name without a hello.
 */
bool ggw_view_record_heartbeat(struct ggw_view *v, const char *name,
                               uint64_t incarnation, bool leaving, ggw_ms now);

/**
 * ggw_view_record_ack() - a gateway acknowledged a heartbeat of this one
 * @sent_at: when that heartbeat was sent
 */
void ggw_view_record_ack(struct ggw_view *v, const char *name,
                         uint64_t incarnation, ggw_ms sent_at);

/**
 * ggw_view_apply_vm_list() - apply a list of VMs, which is only a hint
 *
 * It makes nobody alive. A gateway that it lists as leaving counts as leaving
 * until a newer list says otherwise.
 */
void ggw_view_apply_vm_list(struct ggw_view *v,
                            const struct ggw_vm_list *list);

/**
 * ggw_view_tick() - suspect and bury members that were not heard
 */
void ggw_view_tick(struct ggw_view *v, ggw_ms now);

/**
 * ggw_view_add_stall() - this gateway did not run for a while
 *
 * Silence during that time says nothing about the others.
 */
void ggw_view_add_stall(struct ggw_view *v, ggw_ms duration);

/**
 * ggw_view_leave() - this gateway is leaving
 */
void ggw_view_leave(struct ggw_view *v);

/**
 * ggw_view_set_incarnation() - take a new incarnation after others buried the
 *                              old one
 */
void ggw_view_set_incarnation(struct ggw_view *v, uint64_t incarnation);

/**
 * ggw_view_interval_factor() - factor of the times above
 */
double ggw_view_interval_factor(const struct ggw_view *v);

/**
 * ggw_view_changed() - whether the published part changed since the last call
 */
bool ggw_view_changed(struct ggw_view *v);

/**
 * ggw_view_state() - published state, with the list of VMs taken into account
 */
enum ggw_member_state ggw_view_state(const struct ggw_view_member *m);

/**
 * ggw_view_find() - look up a member; NULL for an unknown name
 */
const struct ggw_view_member *ggw_view_find(const struct ggw_view *v,
                                            const char *name);
const struct ggw_view_member *ggw_view_self(const struct ggw_view *v);

/**
 * ggw_view_members() - all that are known, sorted by name
 *
 * Return: array of struct ggw_view_member pointers, owned by the view and
 * valid until its next call.
 */
const GPtrArray *ggw_view_members(const struct ggw_view *v);

/**
 * ggw_view_cluster_size() - gateways that a majority is counted of
 *
 * A member that died stays among them until the list of VMs has dropped it,
 * so that both sides of a partition cannot each become a majority.
 */
int ggw_view_cluster_size(const struct ggw_view *v);

/**
 * ggw_view_majority_until() - until when a majority certainly counts this
 *                             gateway as alive
 *
 * Return: monotonic ms; INFINITY when this gateway alone is a majority,
 * -INFINITY when too few have ever acknowledged a heartbeat.
 */
ggw_ms ggw_view_majority_until(const struct ggw_view *v);

#endif
