#include "rollouts/rollouts.h"

#include <string.h>

#include "common/log.h"
#include "common/metrics.h"
#include "config/config.h"
#include "config/vms.h"
#include "peers/peers.h"
#include "rollouts/internal.h"
#include "rollouts/rows.h"

/* Interval of ggw_rollouts_tick(), ms. */
#define TICK 200.0

/*
 * A gap between two ticks that is longer than this, in ms, means that the
 * process did not run. What the others have reported before it is void.
 */
#define PAUSE 1000.0

static struct ggw_rollout *
get_rollout(struct ggw_rollouts *p, const char *team, const char *service)
{
    g_autofree char *key = g_strdup_printf("%s/%s", team, service);
    struct ggw_rollout *r = g_hash_table_lookup(p->rollouts, key);

    if (r == NULL) {
        r = ggw_rollout_new(team, service);
        g_hash_table_insert(p->rollouts, g_steal_pointer(&key), r);
    }
    return r;
}

static void
tick(struct ggw_rollouts *p, struct ggw_rollout *r)
{
    ggw_rollout_count_servers(p, r);
    ggw_rollout_update_deciding(p, r);
    if (r->deciding) {
        if (r->own != NULL) {
            ggw_rollout_add_counts(p, r, p->self, r->own);
        }
        ggw_rollout_tick_decider(p, r);
    }
    else {
        ggw_rollout_tick_other(p, r);
    }
    ggw_rollout_update_lifted(p, r);
}

void
ggw_rollouts_tick(struct ggw_service *service)
{
    struct ggw_rollouts *p = (struct ggw_rollouts *)service;
    ggw_ms now = ggw_rollouts_now(p);
    bool paused = now - p->ticked_at > PAUSE;
    GHashTableIter iter;
    gpointer value;

    p->ticked_at = now;
    g_hash_table_iter_init(&iter, p->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (paused) {
            /* Messages that have arrived meanwhile come first. */
            ggw_rollout_void_reports(value);
        }
        else {
            tick(p, value);
        }
    }
}

static void
tick_cb(uv_timer_t *timer)
{
    ggw_rollouts_tick(timer->data);
}

static void
on_order(struct ggw_rollouts *p, const struct ggw_rollout_order *m)
{
    struct ggw_rollout *r = get_rollout(p, m->team, m->service);
    struct ggw_rollout_last_order *o = &r->order;

    if (m->removed) {
        ggw_log_info(
            GGW_ROLLOUTS_PART,
            "service %s: the operator has removed order %" G_GUINT64_FORMAT,
            r->name, (guint64)o->number);
        o->removed = true;
        return;
    }
    if (m->order <= o->number) {
        return;
    }
    g_free(o->target);
    *o = (struct ggw_rollout_last_order){.number = m->order,
                                         .target = g_strdup(m->target),
                                         .duration = m->duration,
                                         .read_at = ggw_rollouts_now(p)};
    ggw_rollout_count_servers(p, r);
    ggw_count("ggw_rollout_orders_total");
    ggw_log_info(GGW_ROLLOUTS_PART,
                 "service %s: order %" G_GUINT64_FORMAT
                 " to move to version %s within %.0f ms; %zu servers of it, "
                 "%zu others",
                 r->name, (guint64)o->number, o->target, o->duration,
                 r->servers.target, r->servers.others);
    if (!r->known && r->servers.others > 0) {
        ggw_rollout_send_to_slots(p, r);
    }
    if (r->deciding) {
        ggw_rollout_tick_decider(p, r);
    }
}

/* Takes over a state of another gateway, or corrects that gateway. */
static void
on_state(struct ggw_rollouts *p, struct ggw_rollout *r, const char *peer,
         struct ggw_rollout_state *state)
{
    uint64_t term = ggw_rollout_term(state->order, state->stage);
    bool from_decider = g_strcmp0(ggw_rollout_find_decider(p, r), peer) == 0;

    if (r->known && state->order == r->state.order) {
        /* The gateway that has read the order first knows best. */
        r->state.deadline = MIN(r->state.deadline, state->deadline);
        state->deadline = r->state.deadline;
    }
    if (!r->known || term > ggw_rollout_get_term(r) ||
        (term == ggw_rollout_get_term(r) && from_decider && !r->deciding &&
         !ggw_rollout_equal_versions(state->allowed, r->state.allowed))) {
        ggw_rollout_apply(p, r, state, peer);
    }
    else if (term < ggw_rollout_get_term(r)) {
        ggw_rollout_send_state(p, r, peer);
    }
}

static void
on_frame(struct ggw_rollouts *p, const struct ggw_peer_received *m)
{
    struct ggw_rollout_frame frame;
    struct ggw_rollout *r;

    if (!ggw_rollout_unpack(m->payload, ggw_rollouts_now(p), &frame)) {
        ggw_count("ggw_rollout_frames_malformed_total");
        ggw_rollout_frame_clear(&frame);
        return;
    }
    r = get_rollout(p, frame.team, frame.service);
    switch (frame.kind) {
    case GGW_ROLLOUT_FRAME_STATE:
        on_state(p, r, m->peer, &frame.state);
        break;
    case GGW_ROLLOUT_FRAME_COUNTS:
        if (r->known && frame.counts->order == r->state.order) {
            r->state.deadline = MIN(r->state.deadline,
                                    ggw_rollouts_now(p) + MAX(frame.left, 0));
        }
        ggw_rollout_add_counts(p, r, m->peer, frame.counts);
        break;
    case GGW_ROLLOUT_FRAME_ASK:
        if (r->known) {
            ggw_rollout_send_state(p, r, m->peer);
        }
        break;
    }
    ggw_rollout_frame_clear(&frame);
}

static void
on_counts(struct ggw_rollouts *p, const struct ggw_rollout_counts *m)
{
    struct ggw_rollout *r = get_rollout(p, m->team, m->service);
    struct ggw_rollout_counts *copy =
        (struct ggw_rollout_counts *)ggw_rollout_counts_new(m->team,
                                                            m->service);
    const char *decider = ggw_rollout_find_decider(p, r);

    copy->order = m->order;
    copy->term = m->term;
    copy->held_old = m->held_old;
    copy->granted_old = m->granted_old;
    copy->since = m->since;
    for (guint i = 0; i < m->samples->len; i++) {
        struct ggw_rollout_sample s =
            g_array_index(m->samples, struct ggw_rollout_sample, i);

        s.route = g_strdup(s.route);
        s.server = g_strdup(s.server);
        g_array_append_val(copy->samples, s);
    }
    if (r->own != NULL) {
        r->own->base.ops->destroy(&r->own->base);
    }
    r->own = copy;
    if (decider != NULL && strcmp(decider, p->self) != 0) {
        ggw_rollout_send_counts(p, r, decider);
        r->sent_at = ggw_rollouts_now(p);
    }
}

static bool
is_new_gateway(const struct ggw_rollouts *p, const struct ggw_member *m)
{
    for (guint i = 0; p->members != NULL && i < p->members->members->len;
         i++) {
        const struct ggw_member *old =
            &g_array_index(p->members->members, struct ggw_member, i);

        if (strcmp(old->name, m->name) == 0) {
            return old->incarnation != m->incarnation ||
                   old->state == GGW_MEMBER_DEAD;
        }
    }
    return true;
}

/* Sends a gateway that has just joined what this one has decided. */
static void
greet(struct ggw_rollouts *p, const char *peer)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_rollout *r = value;

        if (r->deciding && r->known) {
            ggw_rollout_send_state(p, r, peer);
        }
    }
}

static void
note_dead(struct ggw_rollouts *p, const struct ggw_member *m)
{
    ggw_ms now = ggw_rollouts_now(p);

    if (m->state != GGW_MEMBER_DEAD) {
        g_hash_table_remove(p->dead_since, m->name);
    }
    else if (!g_hash_table_contains(p->dead_since, m->name)) {
        g_hash_table_insert(p->dead_since, g_strdup(m->name),
                            g_memdup2(&now, sizeof(now)));
    }
}

static void
on_members(struct ggw_rollouts *p, const struct ggw_members_changed *m)
{
    for (guint i = 0; i < m->members->len; i++) {
        const struct ggw_member *member =
            &g_array_index(m->members, struct ggw_member, i);

        note_dead(p, member);
        if (!member->self && member->state != GGW_MEMBER_DEAD &&
            is_new_gateway(p, member)) {
            greet(p, member->name);
        }
    }
    if (p->members != NULL) {
        p->members->base.ops->destroy(&p->members->base);
    }
    p->members = ggw_members_changed_copy(m);
}

/* Services with servers have allowed versions, also without an order. */
static void
on_vms(struct ggw_rollouts *p, const struct ggw_vms_changed *m)
{
    ggw_vm_list_unref(p->vms);
    p->vms = ggw_vm_list_ref(m->list);
    for (size_t i = 0; i < p->vms->len; i++) {
        const struct ggw_vm *vm = &p->vms->vms[i];

        if (vm->role == GGW_VM_BACKEND_SERVER) {
            get_rollout(p, vm->team, vm->service);
        }
    }
}

static void
receive(struct ggw_service *service, struct ggw_message *m)
{
    struct ggw_rollouts *p = (struct ggw_rollouts *)service;

    if (m->ops == &ggw_rollout_order_ops) {
        on_order(p, (struct ggw_rollout_order *)m);
    }
    else if (m->ops == &ggw_rollout_counts_ops) {
        on_counts(p, (struct ggw_rollout_counts *)m);
    }
    else if (m->ops == &ggw_peer_received_ops) {
        on_frame(p, (struct ggw_peer_received *)m);
    }
    else if (m->ops == &ggw_rollout_saved_ops) {
        ggw_rollouts_on_saved(p, (struct ggw_rollout_saved *)m);
    }
    else if (m->ops == &ggw_members_changed_ops) {
        on_members(p, (struct ggw_members_changed *)m);
    }
    else if (m->ops == &ggw_vms_changed_ops) {
        on_vms(p, (struct ggw_vms_changed *)m);
    }
    else if (m->ops == &ggw_config_in_force_ops) {
        struct ggw_tree *tree = ((struct ggw_config_in_force *)m)->tree;

        g_hash_table_replace(p->trees, g_strdup(tree->team),
                             ggw_tree_ref(tree));
    }
}

static bool
start(struct ggw_service *service, GError **error)
{
    struct ggw_rollouts *p = (struct ggw_rollouts *)service;

    p->started_at = ggw_rollouts_now(p);
    p->ticked_at = p->started_at;
    uv_timer_init(ggw_kernel_loop(service->kernel), &p->timer);
    p->timer.data = p;
    uv_timer_start(&p->timer, tick_cb, (uint64_t)TICK, (uint64_t)TICK);
    return true;
}

static void
stop(struct ggw_service *service)
{
    uv_close((uv_handle_t *)&((struct ggw_rollouts *)service)->timer, NULL);
}

static void
destroy(struct ggw_service *service)
{
    struct ggw_rollouts *p = (struct ggw_rollouts *)service;

    g_hash_table_unref(p->rollouts);
    g_hash_table_unref(p->dead_since);
    g_hash_table_unref(p->trees);
    ggw_vm_list_unref(p->vms);
    if (p->members != NULL) {
        p->members->base.ops->destroy(&p->members->base);
    }
    g_free(p->self);
    g_free(p);
}

static const struct ggw_service_ops rollouts_ops = {
    .name = "rollouts",
    .start = start,
    .receive = receive,
    .stop = stop,
    .destroy = destroy,
};

static void
unref_tree(gpointer tree)
{
    ggw_tree_unref(tree);
}

struct ggw_service *
ggw_rollouts_service_new(const struct ggw_rollouts_options *options)
{
    struct ggw_rollouts *p = g_new0(struct ggw_rollouts, 1);

    p->base.ops = &rollouts_ops;
    p->self = g_strdup(options->self);
    p->options = *options;
    p->options.self = NULL;
    p->options.failure_domain = NULL;
    p->rollouts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        ggw_rollout_free);
    p->dead_since =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    p->trees =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_tree);
    return &p->base;
}
