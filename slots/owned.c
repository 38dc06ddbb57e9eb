#include <math.h>
#include <string.h>

#include "common/metrics.h"
#include "decide/owner.h"
#include "slots/events.h"
#include "slots/internal.h"

/*
 * The domains that this gateway owns: their ledgers, the acquire requests of
 * other gateways, and the probes of their servers.
 */

/* Time in ms that a server has for a probe. */
#define PROBE_TIMEOUT 100.0

/*
 * Expected time of a probe in ms. The budget is charged with it before the
 * probe and corrected to the real time afterwards.
 */
#define EXPECTED_PROBE_TIME 1.0

static void
send_refusal(struct ggw_slots *p, const char *peer, uint64_t id, int reason,
             ggw_ms retry_after)
{
    struct ggw_payload_writer w;

    ggw_payload_begin(&w, 2);
    ggw_payload_put_uint(&w, (uint64_t)reason);
    ggw_payload_put_double(&w, retry_after);
    ggw_slots_send_frame(p, peer, GGW_PEER_SLOT_REFUSE, id, &w);
}

static void
send_decision(struct ggw_slots *p, const struct ggw_ledger_decision *d)
{
    struct ggw_payload_writer w;

    switch (d->answer) {
    case GGW_LEDGER_GRANTED:
        ggw_payload_begin(&w, 1);
        ggw_payload_put_string(&w, d->server);
        ggw_slots_send_frame(p, d->holder, GGW_PEER_SLOT_GRANT, d->id, &w);
        break;
    case GGW_LEDGER_QUEUED:
        ggw_payload_begin(&w, 0);
        ggw_slots_send_frame(p, d->holder, GGW_PEER_SLOT_QUEUED, d->id, &w);
        break;
    case GGW_LEDGER_REFUSED:
        send_refusal(p, d->holder, d->id, (int)d->reason, d->retry_after);
        break;
    }
}

void
ggw_slots_flush_ledger(struct ggw_slots *p, struct ggw_slots_domain *d)
{
    struct ggw_ledger_decision decision;
    struct ggw_ledger_change change;

    while (d->ledger != NULL &&
           ggw_ledger_change(d->ledger, &change, ggw_slots_now(p))) {
        ggw_slots_log_server(d, &change);
    }

    while (d->ledger != NULL && ggw_ledger_decision(d->ledger, &decision)) {
        if (strcmp(decision.holder, p->self) == 0) {
            ggw_slots_on_answer(p, p->self, decision.id, decision.answer,
                                decision.server, (int)decision.reason,
                                decision.retry_after);
        }
        else {
            send_decision(p, &decision);
        }
        g_free(decision.holder);
        g_free(decision.server);
    }
    if (d->ledger != NULL) {
        ggw_slots_schedule_wake(p, ggw_ledger_next_tick(d->ledger));
    }
}

static void
take_over(struct ggw_slots *p, struct ggw_slots_domain *d)
{
    ggw_count("ggw_slots_takeovers_total");
    ggw_slots_log_owner(d, "taken");
    d->ledger = ggw_ledger_new(&p->grant_limits, p->rand, ggw_slots_now(p));
    ggw_slots_configure_ledger(p, d);
    ggw_slots_import_held_grants(p, d);
    g_clear_pointer(&d->announced_warm, g_ptr_array_unref);
    ggw_slots_request_sync(p, d, NULL);
}

/*
 * Hands a domain over to its new owner. Requests of other gateways in the
 * queue are refused, so that their gateways ask the new owner.
 */
static void
hand_over(struct ggw_slots *p, struct ggw_slots_domain *d)
{
    struct ggw_limit_rule rule = {0};
    struct ggw_ledger_decision decision;

    if (d->owner != NULL) {
        ggw_slots_send_sync(p, d, d->owner);
    }
    ggw_ledger_configure(d->ledger, &rule, 0, NULL, 0, ggw_slots_now(p));
    while (ggw_ledger_decision(d->ledger, &decision)) {
        if (strcmp(decision.holder, p->self) != 0) {
            send_refusal(p, decision.holder, decision.id, GGW_SLOTS_NOT_OWNER,
                         0);
        }
        g_free(decision.holder);
        g_free(decision.server);
    }
    ggw_slots_log_owner(d, "given_up");
    /*
     * The gateways of the requests that wait for load reports ask the new
     * owner when they learn of the change.
     */
    g_ptr_array_set_size(d->probing_requests, 0);
    g_clear_pointer(&d->ledger, ggw_ledger_free);
}

/*
 * A domain in which the current division of the service counts no servers has
 * no owner.
 */
static const char *
pick_owner(struct ggw_slots *p, const struct ggw_slots_domain *d)
{
    const struct ggw_member *members =
        (const struct ggw_member *)p->members->data;
    size_t i;

    if (!ggw_slots_domain_in_use(d)) {
        return NULL;
    }
    i = ggw_owner_pick(d->group->team, d->group->service, d->name, members,
                       p->members->len);

    return i != (size_t)-1 ? members[i].name : NULL;
}

static bool
is_alive_in(const GArray *members, const char *name)
{
    for (guint i = 0; i < members->len; i++) {
        const struct ggw_member *m =
            &g_array_index(members, struct ggw_member, i);

        if (strcmp(m->name, name) == 0) {
            return m->state == GGW_MEMBER_ALIVE;
        }
    }
    return false;
}

/*
 * Requests the grants of gateways that have joined. Such a gateway may have
 * granted slots as the owner while it was unreachable, so servers that are not
 * warm get no grants until it has had time to answer.
 */
static void
sync_new_members(struct ggw_slots *p, struct ggw_slots_domain *d,
                 const GArray *old)
{
    for (guint i = 0; i < p->members->len; i++) {
        const struct ggw_member *m =
            &g_array_index(p->members, struct ggw_member, i);

        if (m->self || m->state != GGW_MEMBER_ALIVE ||
            is_alive_in(old, m->name)) {
            continue;
        }
        ggw_slots_announce_to(p, d, m->name);
        ggw_slots_request_sync(p, d, m->name);
        ggw_ledger_extend_hold_down(d->ledger,
                                    ggw_slots_now(p) + GGW_LEDGER_HOLD_DOWN);
    }
}

static void
reassign_domain(struct ggw_slots *p, struct ggw_slots_domain *d,
                const GArray *old_members)
{
    const char *owner = pick_owner(p, d);
    bool is_owner = g_strcmp0(owner, p->self) == 0;

    if (g_strcmp0(owner, d->owner) != 0) {
        g_autofree char *old = d->owner;

        d->owner = g_strdup(owner);
        d->free_slots = 0;
        if (d->ledger != NULL && !is_owner) {
            hand_over(p, d);
        }
        else if (is_owner) {
            take_over(p, d);
        }
        if (owner != NULL && !is_owner) {
            ggw_slots_request_announcement(p, d);
        }
        ggw_slots_owner_changed(p, d, old);
    }
    else if (is_owner && old_members != NULL) {
        sync_new_members(p, d, old_members);
    }
    if (d->ledger != NULL) {
        ggw_slots_flush_ledger(p, d);
    }
}

void
ggw_slots_update_owners(struct ggw_slots *p, const GArray *old_members)
{
    struct ggw_slots_iter iter;
    struct ggw_slots_domain *d;

    /*
     * Domains in use come first, so that requests which lose the owner of a
     * domain out of use find an owner at once.
     */
    for (int used = 1; used >= 0; used--) {
        ggw_slots_iter_init(&iter, p);
        while ((d = ggw_slots_iter_next(&iter)) != NULL) {
            if (ggw_slots_domain_in_use(d) == used) {
                reassign_domain(p, d, old_members);
            }
        }
    }
}

/* Reads a number limited to @max. MIN() would read the field twice. */
static int
read_capped_int(struct ggw_payload_reader *r, int max)
{
    uint64_t value = ggw_payload_uint(r);

    return value < (uint64_t)max ? (int)value : max;
}

static const char *
member_failure_domain(const struct ggw_slots *p, const char *name)
{
    for (guint i = 0; i < p->members->len; i++) {
        const struct ggw_member *m =
            &g_array_index(p->members, struct ggw_member, i);

        if (strcmp(m->name, name) == 0) {
            return m->failure_domain;
        }
    }
    return NULL;
}

static const char *
empty_to_null(const char *text)
{
    return *text != '\0' ? text : NULL;
}

double
ggw_slots_customer_rate(const struct ggw_slots_domain *d, const char *customer)
{
    const struct ggw_tree *tree = d->group->tree;
    const struct ggw_customer_rule *rule =
        tree != NULL && customer != NULL ? ggw_tree_customer(tree, customer)
                                         : NULL;

    return rule != NULL ? rule->rate : 0;
}

static void
on_acquire(struct ggw_slots *p, const struct ggw_peer_received *frame,
           struct ggw_payload_reader *r)
{
    struct ggw_slots_domain *d = ggw_slots_read_domain(p, r);
    struct ggw_payload_reader list;
    struct ggw_ledger_request request = {.holder = frame->peer,
                                         .id = frame->request_id};
    g_autoptr(GPtrArray) avoid = g_ptr_array_new();
    ggw_ms answer_time;
    uint32_t n;

    request.priority = read_capped_int(r, 100);
    request.deadline = ggw_slots_now(p) + ggw_slots_read_time(r);
    request.may_queue = ggw_payload_bool(r);
    n = ggw_payload_array(r, &list);
    for (uint32_t i = 0; i < n && list.ok; i++) {
        g_ptr_array_add(avoid, (gpointer)ggw_payload_string(&list));
    }
    request.cross_domain_cost = ggw_payload_double(r);
    request.target = ggw_slots_now(p) + ggw_payload_double(r);
    request.median_latency = ggw_slots_read_time(r);
    /* Earlier versions do not state how long they wait. */
    answer_time = ggw_payload_at_end(r) ? INFINITY : ggw_slots_read_time(r);
    /* Nor do they name the customer and the route. */
    if (!ggw_payload_at_end(r)) {
        request.customer = empty_to_null(ggw_payload_string(r));
        request.route = empty_to_null(ggw_payload_string(r));
        request.hedge = ggw_payload_bool(r);
    }
    /* Nor whether the request may be repeated. */
    if (!ggw_payload_at_end(r)) {
        request.once = ggw_payload_bool(r);
    }
    if (!r->ok || request.median_latency < 0) {
        ggw_count("ggw_slots_frames_malformed_total");
        return;
    }
    if (d == NULL || d->ledger == NULL ||
        ggw_slots_now(p) < p->grant_limits.stopped_until) {
        send_refusal(p, frame->peer, frame->request_id, GGW_SLOTS_NOT_OWNER,
                     0);
        return;
    }
    g_ptr_array_add(avoid, NULL);
    request.avoid = n > 0 ? (char *const *)avoid->pdata : NULL;
    request.failure_domain = member_failure_domain(p, frame->peer);
    request.customer_rate = ggw_slots_customer_rate(d, request.customer);
    ggw_slots_owner_acquire(p, d, &request, answer_time);
    ggw_slots_flush_ledger(p, d);
}

static void
on_release(struct ggw_slots *p, const struct ggw_peer_received *frame,
           struct ggw_payload_reader *r)
{
    struct ggw_slots_domain *d = ggw_slots_read_domain(p, r);
    const char *server = ggw_payload_string(r);
    uint64_t result = ggw_payload_uint(r);
    ggw_ms latency = ggw_slots_read_time(r);
    struct ggw_load_report report = {0};
    struct ggw_slots_server *s;

    report.present = ggw_payload_bool(r);
    report.slots = read_capped_int(r, INT16_MAX);
    report.busy = read_capped_int(r, INT16_MAX);
    report.queue = read_capped_int(r, INT16_MAX);
    report.cold = ggw_payload_bool(r);
    report.draining = ggw_payload_bool(r);
    report.incarnation = ggw_payload_uint(r);
    report.slow_percent = read_capped_int(r, INT16_MAX);
    report.cold_left = ggw_slots_read_time(r);
    report.cold_unknown = ggw_payload_bool(r);
    if (!r->ok || result > GGW_ATTEMPT_UNUSED || latency < 0) {
        ggw_count("ggw_slots_frames_malformed_total");
        return;
    }
    if (d == NULL || d->ledger == NULL) {
        return;
    }
    s = ggw_slots_find_server(d->group, server);
    if (s != NULL && report.present) {
        s->reported_at = ggw_slots_now(p);
    }
    ggw_ledger_release(d->ledger, frame->peer, frame->request_id, server,
                       (enum ggw_attempt_result)result, latency, &report,
                       ggw_slots_now(p));
    ggw_slots_flush_ledger(p, d);
}

static void
on_cancel(struct ggw_slots *p, const struct ggw_peer_received *frame,
          struct ggw_payload_reader *r)
{
    struct ggw_slots_domain *d = ggw_slots_read_domain(p, r);

    if (r->ok && d != NULL && d->ledger != NULL &&
        !ggw_slots_cancel_probing_request(d, frame->peer, frame->request_id)) {
        ggw_ledger_cancel(d->ledger, frame->peer, frame->request_id,
                          ggw_slots_now(p));
        ggw_slots_flush_ledger(p, d);
    }
}

void
ggw_slots_on_owner_frame(struct ggw_slots *p,
                         const struct ggw_peer_received *frame)
{
    gsize len;
    gconstpointer data = g_bytes_get_data(frame->payload, &len);
    struct ggw_payload_reader r;

    ggw_payload_open(&r, data, len);
    switch (frame->type) {
    case GGW_PEER_SLOT_ACQUIRE:
        on_acquire(p, frame, &r);
        break;
    case GGW_PEER_SLOT_RELEASE:
        on_release(p, frame, &r);
        break;
    default:
        on_cancel(p, frame, &r);
        break;
    }
    ggw_payload_close(&r);
}

void
ggw_slots_send_probe(struct ggw_slots *p, struct ggw_slots_server *s,
                     ggw_ms now)
{
    uint64_t *id = g_new(uint64_t, 1);
    const struct ggw_service_rule *rule = s->domain->group->rule;
    struct ggw_message *m =
        ggw_probe_request_new(s->name, s->host, s->port, PROBE_TIMEOUT);

    ((struct ggw_probe_request *)m)->path =
        g_strdup(rule != NULL ? rule->health_path : NULL);

    *id = ++p->next_id;
    m->tag = *id;
    s->probing = true;
    s->probed_at = now;
    g_hash_table_insert(p->probes, id, g_strdup(s->name));
    ggw_count("ggw_slots_probes_total");
    ggw_kernel_send(p->base.kernel, "proxy", &p->base, m);
}

static void
probe_silent_server(struct ggw_slots *p, struct ggw_slots_group *g, ggw_ms now)
{
    g_autoptr(GPtrArray) owned = g_ptr_array_new();
    struct ggw_probe_candidate *c =
        g_new0(struct ggw_probe_candidate, g->servers->len);
    size_t i;

    for (guint j = 0; j < g->servers->len; j++) {
        struct ggw_slots_server *s = g_ptr_array_index(g->servers, j);

        if (s->domain->ledger != NULL && ggw_slots_server_is_open(s)) {
            c[owned->len].heard_at = MAX(s->reported_at, s->probed_at);
            c[owned->len].pending = s->probing;
            g_ptr_array_add(owned, s);
        }
    }
    i = ggw_probe_pick(c, owned->len, now);
    g_free(c);
    if (i != (size_t)-1 &&
        ggw_probe_budget_charge(&g->budget, EXPECTED_PROBE_TIME, now)) {
        ggw_slots_send_probe(p, g_ptr_array_index(owned, i), now);
    }
}

void
ggw_slots_on_probe_result(struct ggw_slots *p,
                          const struct ggw_probe_result *m)
{
    const char *name = g_hash_table_lookup(p->probes, &m->base.tag);
    GHashTableIter iter;
    gpointer value;

    if (name == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, p->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_slots_group *g = value;
        struct ggw_slots_server *s = ggw_slots_find_server(g, name);

        if (s == NULL) {
            continue;
        }
        s->probing = false;
        ggw_probe_budget_refund(&g->budget, EXPECTED_PROBE_TIME,
                                ggw_slots_now(p) - s->probed_at);
        if (m->answered && s->domain->ledger != NULL) {
            s->reported_at = ggw_slots_now(p);
            ggw_ledger_report(s->domain->ledger, name, &m->report,
                              ggw_slots_now(p));
        }
        if (s->domain->ledger != NULL) {
            ggw_slots_probing_result(p, s->domain, name);
            ggw_slots_flush_ledger(p, s->domain);
        }
    }
    g_hash_table_remove(p->probes, &m->base.tag);
}

void
ggw_slots_owner_tick(struct ggw_slots *p, ggw_ms now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_slots_group *g = value;

        for (guint i = 0; i < g->domains->len; i++) {
            struct ggw_slots_domain *d = g_ptr_array_index(g->domains, i);

            if (d->ledger != NULL) {
                ggw_ledger_tick(d->ledger, now);
                ggw_slots_flush_ledger(p, d);
                ggw_slots_announce(p, d, now);
                ggw_slots_log_ledger(p, d, now);
            }
        }
        probe_silent_server(p, g, now);
    }
}

ggw_ms
ggw_slots_ledgers_tick(struct ggw_slots *p, ggw_ms now)
{
    ggw_ms next = INFINITY;
    struct ggw_slots_iter iter;
    struct ggw_slots_domain *d;

    ggw_slots_iter_init(&iter, p);
    while ((d = ggw_slots_iter_next(&iter)) != NULL) {
        if (d->ledger == NULL) {
            continue;
        }
        next = MIN(next, ggw_slots_probing_tick(p, d, now));
        ggw_slots_flush_ledger(p, d);
        if (ggw_ledger_next_tick(d->ledger) <= now) {
            ggw_ledger_tick(d->ledger, now);
            ggw_slots_flush_ledger(p, d);
        }
        next = MIN(next, ggw_ledger_next_tick(d->ledger));
    }
    return next;
}
