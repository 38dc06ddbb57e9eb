#include "slots/slots.h"

#include <math.h>
#include <string.h>

#include "common/metrics.h"
#include "config/config.h"
#include "slots/internal.h"

/* Interval in ms of announcements; also the longest wait for due work. */
#define TICK_INTERVAL 100.0

/*
 * Delay in ms of a timer from which on the loop counts as paused. Answers that
 * arrived during a pause have not been read yet. Timers have a resolution of
 * 1 ms, so a smaller delay is no sign of a pause.
 */
#define PAUSE_THRESHOLD 2.0

/*
 * Time in ms without a run of the loop after which the other gateways may
 * have replaced this gateway as an owner: they suspect a gateway that sent no
 * heartbeat for this long, see GGW_SUSPECT_AFTER.
 */
#define STALL_THRESHOLD 700.0

/*
 * Time in ms after such a stall in which this gateway grants nothing, so that
 * it first learns whether it was replaced.
 */
#define STALL_GRANT_HOLD 300.0

static struct ggw_slots *
self_of(struct ggw_service *service)
{
    return (struct ggw_slots *)service;
}

ggw_ms
ggw_slots_now(const struct ggw_slots *p)
{
    return ggw_kernel_now(p->base.kernel);
}

void
ggw_slots_send_frame(struct ggw_slots *p, const char *peer,
                     enum ggw_peer_frame_type type, uint64_t id,
                     struct ggw_payload_writer *w)
{
    g_autoptr(GBytes) payload = ggw_payload_end(w);

    ggw_kernel_send(p->base.kernel, "peers", &p->base,
                    ggw_peer_send_new(peer, type, id, payload));
}

struct ggw_slots_group *
ggw_slots_find_group(struct ggw_slots *p, const char *team,
                     const char *service)
{
    char key[256];

    if ((size_t)g_snprintf(key, sizeof(key), "%s/%s", team, service) >=
        sizeof(key)) {
        return NULL;
    }
    return g_hash_table_lookup(p->groups, key);
}

/* Detects pauses. Must be called first whenever the loop runs the service. */
static void
check_stall(struct ggw_slots *p)
{
    ggw_ms now = ggw_slots_now(p);
    ggw_ms expected = MAX(p->last_run_at, MIN(p->wake_at, p->tick_at));

    if (now - expected > PAUSE_THRESHOLD) {
        ggw_slots_on_pause(p, now - p->last_run_at);
        ggw_count("ggw_slots_pauses_total");
    }
    if (now - p->last_run_at > STALL_THRESHOLD) {
        p->grant_limits.stopped_until = now + STALL_GRANT_HOLD;
        ggw_count("ggw_slots_stalls_total");
    }
    p->last_run_at = now;
}

static void
wake_cb(uv_timer_t *timer)
{
    struct ggw_slots *p = timer->data;
    ggw_ms now;

    check_stall(p);
    now = ggw_slots_now(p);
    p->wake_at = INFINITY;
    ggw_slots_run_due(p, now);
    ggw_slots_schedule_wake(p, ggw_slots_ledgers_tick(p, now));
}

void
ggw_slots_schedule_wake(struct ggw_slots *p, ggw_ms at)
{
    ggw_ms wait = at - ggw_slots_now(p);

    if (at >= p->wake_at || wait > TICK_INTERVAL ||
        uv_is_closing((uv_handle_t *)&p->wake)) {
        return;
    }
    p->wake_at = at;
    uv_update_time(ggw_kernel_loop(p->base.kernel));
    uv_timer_start(&p->wake, wake_cb, (uint64_t)ceil(MAX(wait, 0)), 0);
}

static void
tick_cb(uv_timer_t *timer)
{
    struct ggw_slots *p = timer->data;
    ggw_ms now;
    struct ggw_slots_iter iter;
    struct ggw_slots_domain *d;

    check_stall(p);
    now = ggw_slots_now(p);
    p->tick_at = now + TICK_INTERVAL;
    ggw_slots_iter_init(&iter, p);
    while ((d = ggw_slots_iter_next(&iter)) != NULL) {
        d->spills_this_tick = 0;
        d->exhausted = false;
    }
    ggw_slots_end_pauses(p, now);
    ggw_slots_owner_tick(p, now);
    ggw_slots_run_due(p, now);
    ggw_slots_report_rollouts(p, now);
    ggw_slots_schedule_wake(p, ggw_slots_ledgers_tick(p, now));
}

static void
clear_members(GArray *members)
{
    for (guint i = 0; i < members->len; i++) {
        struct ggw_member *m = &g_array_index(members, struct ggw_member, i);

        g_free(m->name);
        g_free(m->failure_domain);
        g_free(m->host);
    }
    g_array_unref(members);
}

static void
add_member(GArray *members, const struct ggw_member *member)
{
    struct ggw_member copy = *member;

    copy.name = g_strdup(member->name);
    copy.failure_domain = g_strdup(member->failure_domain);
    copy.host = g_strdup(member->host);
    g_array_append_val(members, copy);
}

static void
mark_gateway_lost(struct ggw_slots *p, const char *name)
{
    struct ggw_slots_iter iter;
    struct ggw_slots_domain *d;

    ggw_slots_iter_init(&iter, p);
    while ((d = ggw_slots_iter_next(&iter)) != NULL) {
        if (d->ledger != NULL) {
            ggw_ledger_gateway_lost(d->ledger, name, ggw_slots_now(p));
        }
    }
}

static void
on_members(struct ggw_slots *p, const struct ggw_members_changed *m)
{
    GArray *old = p->members;

    p->members = g_array_new(FALSE, TRUE, sizeof(struct ggw_member));
    for (guint i = 0; i < m->members->len; i++) {
        const struct ggw_member *member =
            &g_array_index(m->members, struct ggw_member, i);

        add_member(p->members, member);
        if (member->state == GGW_MEMBER_DEAD) {
            mark_gateway_lost(p, member->name);
        }
    }
    p->known_gateways = m->known_gateways;
    p->grant_limits.majority_valid_until = m->majority_valid_until;
    ggw_slots_update_owners(p, old);
    clear_members(old);
}

/* Learns the division of a service from the domain of an announcement. */
static void
learn_split(struct ggw_slots *p, gconstpointer data, gsize len)
{
    struct ggw_payload_reader r;
    const char *team;
    const char *service;
    const char *domain;

    ggw_payload_open(&r, data, len);
    team = ggw_payload_string(&r);
    service = ggw_payload_string(&r);
    domain = ggw_payload_string(&r);
    if (r.ok) {
        ggw_slots_learn_split(p, team, service, domain);
    }
    ggw_payload_close(&r);
}

static void
on_load(struct ggw_slots *p, const struct ggw_peer_received *frame)
{
    gsize len;
    gconstpointer data = g_bytes_get_data(frame->payload, &len);
    struct ggw_payload_reader r;
    struct ggw_payload_reader list;
    struct ggw_slots_domain *d;
    uint64_t free_slots;
    bool same_warm;
    uint32_t n;

    learn_split(p, data, len);
    ggw_payload_open(&r, data, len);
    d = ggw_slots_read_domain(p, &r);
    free_slots = ggw_payload_uint(&r);
    same_warm = ggw_payload_bool(&r);
    n = ggw_payload_array(&r, &list);
    if (!r.ok || d == NULL || g_strcmp0(d->owner, frame->peer) != 0) {
        ggw_payload_close(&r);
        return;
    }
    d->free_slots = (int)MIN(free_slots, INT16_MAX);
    d->free_slots_at = ggw_slots_now(p);
    for (guint i = 0; i < d->group->servers->len; i++) {
        struct ggw_slots_server *s = g_ptr_array_index(d->group->servers, i);

        if (s->domain == d && !same_warm) {
            s->warm = false;
        }
    }
    for (uint32_t i = 0; i < n && list.ok; i++) {
        struct ggw_slots_server *s =
            ggw_slots_find_server(d->group, ggw_payload_string(&list));

        if (s != NULL && !s->out) {
            s->warm = true;
            s->suspect = false;
        }
    }
    ggw_payload_close(&r);
}

static void
on_frame(struct ggw_slots *p, const struct ggw_peer_received *frame)
{
    switch (frame->type) {
    case GGW_PEER_SLOT_ACQUIRE:
    case GGW_PEER_SLOT_RELEASE:
    case GGW_PEER_SLOT_CANCEL:
        ggw_slots_on_owner_frame(p, frame);
        break;
    case GGW_PEER_SLOT_GRANT:
    case GGW_PEER_SLOT_REFUSE:
    case GGW_PEER_SLOT_QUEUED:
        ggw_slots_on_answer_frame(p, frame);
        break;
    case GGW_PEER_SLOT_SYNC:
        ggw_slots_on_sync(p, frame);
        break;
    case GGW_PEER_SLOT_LOAD:
        on_load(p, frame);
        break;
    case GGW_PEER_SLOT_NOTICE:
        ggw_slots_on_notice_frame(p, frame);
        break;
    default:
        break;
    }
}

static void
on_heard(struct ggw_slots *p, const struct ggw_peer_heard *m)
{
    p->grant_limits.majority_valid_until = m->majority_valid_until;
    ggw_slots_peer_heard(p, m->peer, m->rtt);
}

static void
on_config(struct ggw_slots *p, struct ggw_tree *tree)
{
    g_hash_table_replace(p->trees, tree->team, ggw_tree_ref(tree));
    ggw_slots_update(p);
}

static void
receive(struct ggw_service *service, struct ggw_message *message)
{
    struct ggw_slots *p = self_of(service);

    check_stall(p);
    if (message->ops == &ggw_slot_request_ops) {
        ggw_slots_request(p, (struct ggw_slot_request *)message);
    }
    else if (message->ops == &ggw_slot_release_ops) {
        ggw_slots_release(p, (struct ggw_slot_release *)message);
    }
    else if (message->ops == &ggw_slot_cancel_ops) {
        ggw_slots_cancel(p, message);
    }
    else if (message->ops == &ggw_peer_received_ops) {
        on_frame(p, (struct ggw_peer_received *)message);
    }
    else if (message->ops == &ggw_peer_heard_ops) {
        on_heard(p, (struct ggw_peer_heard *)message);
    }
    else if (message->ops == &ggw_peer_lost_ops) {
        ggw_slots_on_peer_lost(p, ((struct ggw_peer_lost *)message)->peer);
    }
    else if (message->ops == &ggw_members_changed_ops) {
        on_members(p, (struct ggw_members_changed *)message);
    }
    else if (message->ops == &ggw_vms_changed_ops) {
        g_clear_pointer(&p->vms, ggw_vm_list_unref);
        p->vms = ggw_vm_list_ref(((struct ggw_vms_changed *)message)->list);
        ggw_slots_update(p);
    }
    else if (message->ops == &ggw_config_in_force_ops) {
        on_config(p, ((struct ggw_config_in_force *)message)->tree);
    }
    else if (message->ops == &ggw_server_notice_ops) {
        ggw_slots_on_notice(p, (struct ggw_server_notice *)message);
    }
    else if (message->ops == &ggw_probe_result_ops) {
        ggw_slots_on_probe_result(p, (struct ggw_probe_result *)message);
    }
    else if (message->ops == &ggw_rollout_limits_ops) {
        ggw_slots_on_rollout_limits(p, (struct ggw_rollout_limits *)message);
    }
}

static bool
start(struct ggw_service *service, GError **error)
{
    struct ggw_slots *p = self_of(service);
    uv_loop_t *loop = ggw_kernel_loop(service->kernel);
    struct ggw_member self = {.name = p->self,
                              .failure_domain = p->domain,
                              .host = p->domain,
                              .state = GGW_MEMBER_ALIVE,
                              .self = true};

    uv_timer_init(loop, &p->tick);
    uv_timer_init(loop, &p->wake);
    p->tick.data = p;
    p->wake.data = p;
    p->last_run_at = ggw_slots_now(p);
    p->tick_at = p->last_run_at + TICK_INTERVAL;
    /*
     * Starts at the wall clock, so that no grant id of an earlier process
     * matches one of this process.
     */
    p->next_id = (uint64_t)ggw_clock_wall(ggw_kernel_clock(service->kernel))
                 << 20;
    /* Without the service "peers" this gateway is the only member. */
    add_member(p->members, &self);
    p->grant_limits.majority_valid_until =
        ggw_kernel_find(service->kernel, "peers") != 0 ? -INFINITY : INFINITY;
    uv_timer_start(&p->tick, tick_cb, (uint64_t)TICK_INTERVAL,
                   (uint64_t)TICK_INTERVAL);
    return true;
}

static void
stop(struct ggw_service *service)
{
    struct ggw_slots *p = self_of(service);

    uv_close((uv_handle_t *)&p->tick, NULL);
    uv_close((uv_handle_t *)&p->wake, NULL);
}

static void
destroy(struct ggw_service *service)
{
    struct ggw_slots *p = self_of(service);

    ggw_slots_drop_pending(p);
    g_sequence_free(p->pending);
    g_hash_table_destroy(p->acquires);
    g_hash_table_destroy(p->held_grants);
    g_hash_table_destroy(p->groups);
    g_hash_table_destroy(p->rollouts);
    g_hash_table_destroy(p->trees);
    g_hash_table_destroy(p->peers);
    g_hash_table_destroy(p->probes);
    ggw_backoffs_free(p->backoffs);
    g_clear_pointer(&p->vms, ggw_vm_list_unref);
    clear_members(p->members);
    g_rand_free(p->rand);
    g_free(p->self);
    g_free(p->domain);
    g_free(p);
}

static const struct ggw_service_ops slots_ops = {
    .name = "slots",
    .start = start,
    .receive = receive,
    .stop = stop,
    .destroy = destroy,
};

struct ggw_service *
ggw_slots_service_new(const char *self, const char *failure_domain,
                      uint32_t seed)
{
    struct ggw_slots *p = g_new0(struct ggw_slots, 1);

    p->base.ops = &slots_ops;
    p->self = g_strdup(self);
    p->domain = g_strdup(failure_domain);
    p->rand = g_rand_new_with_seed(seed);
    p->known_gateways = 1;
    p->wake_at = INFINITY;
    p->backoffs = ggw_backoffs_new();
    p->pause_end = INFINITY;
    p->trees = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                     (GDestroyNotify)ggw_tree_unref);
    p->groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                      ggw_slots_group_free);
    p->rollouts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        ggw_slots_rollout_free);
    p->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    p->acquires = g_hash_table_new(g_int64_hash, g_int64_equal);
    p->held_grants = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                           ggw_slots_held_grant_free);
    p->probes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    p->members = g_array_new(FALSE, TRUE, sizeof(struct ggw_member));
    p->pending = g_sequence_new(NULL);
    return &p->base;
}
