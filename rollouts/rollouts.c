#include "rollouts/rollouts.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/metrics.h"
#include "config/config.h"
#include "config/vms.h"
#include "decide/owner.h"
#include "decide/rollout.h"
#include "peers/peers.h"
#include "rollouts/rows.h"
#include "rollouts/state.h"
#include "rollouts/status.h"

#define PART "rollouts"

/* Interval of ggw_rollouts_tick(), ms. */
#define TICK 200.0

/*
 * A gap between two ticks that is longer than this, in ms, means that the
 * process did not run. What the others have reported before it is void.
 */
#define PAUSE 1000.0

/* Time after the start in which no gateway is the decider, ms: the others are
 * not known yet. */
#define SETTLE 2000.0

/*
 * The decider acts without the record in the store after this time, in ms,
 * while the store is away. A roll-back must not wait for the store.
 */
#define RECORD_WAIT 3000.0

/* Interval at which states and counts are repeated during a roll-out, ms. */
#define REPEAT 500.0

/*
 * Interval at which the decider reads back the rows during a roll-out, ms, and
 * time after the deadline for which it does so. A store that returns from an
 * older copy lacks the last state, which is then written again.
 */
#define VERIFY 2000.0
#define VERIFY_AFTER 10000.0

/* Timeout of a call to the store, and pause after one that failed, ms. */
#define SAVE_TIMEOUT 1000.0
#define SAVE_TIMEOUT_MAX 4000.0
#define SAVE_RETRY 500.0

/* Time after which all versions are allowed if none of the allowed ones has a
 * server, ms. */
#define LIFT_AFTER 5000.0

/* Bounds of the longest time that a request takes, ms. */
#define LONGEST_MIN 1000.0
#define LONGEST_MAX 15000.0
#define LONGEST_DEFAULT 3000.0

/*
 * Time after the switch, beside the longest request, after which a gateway's
 * requests on old servers are taken to have ended whatever it reports, ms.
 */
#define LOST_COUNT 5000.0

/* The part of the failure domain in the choice of the decider. */
#define ALL_DOMAINS "*"

/**
 * struct report - what a gateway has said last
 * @from: the report, for ggw_rollout_is_drained(); its state is unused
 * @order: order of the report
 */
struct report {
    struct ggw_rollout_report from;
    uint64_t order;
};

/**
 * struct order - the operator's last order for a service
 * @number: number of the order; 0: none
 * @removed: the operator has removed it
 * @target, @duration: see struct ggw_rollout_order
 * @read_at: when this gateway read it, monotonic ms
 */
struct order {
    uint64_t number;
    bool removed;
    char *target;
    ggw_ms duration;
    ggw_ms read_at;
};

/**
 * struct servers - servers of a service in the list of VMs
 * @target: number of servers of the new version
 * @others: number of servers of other versions
 * @allowed: number of servers that may get requests
 * @domains: number of failure domains with servers of the new version, up to 2
 * @others_gone_at: see struct ggw_rollout_view
 * @allowed_gone_at: as that, for @allowed
 */
struct servers {
    size_t target;
    size_t others;
    size_t allowed;
    size_t domains;
    ggw_ms others_gone_at;
    ggw_ms allowed_gone_at;
};

/**
 * struct rollout - roll-out of one service, or its allowed versions
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
 * @reports: name of a gateway to struct report
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
struct rollout {
    char *team;
    char *name;
    struct order order;
    struct ggw_rollout_state state;
    ggw_ms stage_since;
    struct servers servers;
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
 * struct priv - the service "rollouts"
 * @base: service header
 * @self: name of this gateway
 * @options: settings; the texts are unset
 * @timer: calls ggw_rollouts_tick()
 * @started_at, @ticked_at: monotonic ms
 * @rollouts: "TEAM/SERVICE" to struct rollout
 * @members: last MEMBERS_CHANGED, or NULL
 * @dead_since: name of a gateway to ggw_ms *, while it is dead
 * @vms: last list of VMs, or NULL
 * @trees: team to struct ggw_tree
 * @last_tag: last tag of a call to the store
 */
struct priv {
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

static ggw_ms
now_ms(const struct priv *p)
{
    return ggw_kernel_now(p->base.kernel);
}

static ggw_ms
wall_ms(const struct priv *p)
{
    return ggw_clock_wall(ggw_kernel_clock(p->base.kernel));
}

static void
rollout_free(gpointer data)
{
    struct rollout *r = data;

    g_free(r->team);
    g_free(r->name);
    g_free(r->order.target);
    ggw_rollout_state_clear(&r->state);
    ggw_rollout_state_clear(&r->save_state);
    if (r->own != NULL) {
        r->own->base.ops->destroy(&r->own->base);
    }
    ggw_rollout_judge_free(r->judge);
    g_hash_table_unref(r->reports);
    g_free(r);
}

static struct rollout *
get_rollout(struct priv *p, const char *team, const char *service)
{
    g_autofree char *key = g_strdup_printf("%s/%s", team, service);
    struct rollout *r = g_hash_table_lookup(p->rollouts, key);

    if (r == NULL) {
        r = g_new0(struct rollout, 1);
        r->team = g_strdup(team);
        r->name = g_strdup(service);
        r->servers.others_gone_at = INFINITY;
        r->servers.allowed_gone_at = INFINITY;
        r->sent_at = -INFINITY;
        r->save_at = -INFINITY;
        r->save_timeout = SAVE_TIMEOUT;
        r->judge = ggw_rollout_judge_new();
        r->reports =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(p->rollouts, g_steal_pointer(&key), r);
    }
    return r;
}

static uint64_t
get_term(const struct rollout *r)
{
    return ggw_rollout_term(r->state.order, r->state.stage);
}

/* Whether a stage of the service is undecided or was decided just now. */
static bool
is_active(const struct rollout *r, ggw_ms now)
{
    return r->known && r->state.stage != GGW_ROLLOUT_NONE &&
           (r->state.stage == GGW_ROLLOUT_TRIAL ||
            r->state.stage == GGW_ROLLOUT_SWITCHING ||
            now < MAX(r->state.deadline, r->stage_since) + VERIFY_AFTER);
}

/* Longest time that a request of the service takes. */
static ggw_ms
get_longest_request(const struct priv *p, const struct rollout *r)
{
    const struct ggw_tree *tree = g_hash_table_lookup(p->trees, r->team);
    ggw_ms longest = 0;

    for (size_t i = 0; tree != NULL && i < tree->routes_len; i++) {
        const struct ggw_route_rule *route = &tree->routes[i];

        for (size_t j = 0; j < route->split_len; j++) {
            if (strcmp(route->split[j].service, r->name) == 0) {
                longest = MAX(longest, route->kind.timeout);
            }
        }
    }
    return longest > 0 ? CLAMP(longest, LONGEST_MIN, LONGEST_MAX)
                       : LONGEST_DEFAULT;
}

static bool
is_allowed(const struct rollout *r, const char *version)
{
    bool target =
        g_strcmp0(r->state.target, version) == 0 && r->state.target != NULL;

    if (target || r->state.stage == GGW_ROLLOUT_SWITCHING ||
        r->state.stage == GGW_ROLLOUT_COMPLETED) {
        return target && r->state.stage != GGW_ROLLOUT_ROLLED_BACK;
    }
    return r->state.allowed == NULL ||
           (version != NULL &&
            g_strv_contains((const char *const *)r->state.allowed, version));
}

static bool
is_server_of(const struct rollout *r, const struct ggw_vm *vm)
{
    return vm->role == GGW_VM_BACKEND_SERVER &&
           strcmp(vm->team, r->team) == 0 && strcmp(vm->service, r->name) == 0;
}

/* The version that the last order or the current stage moves to, or NULL. */
static const char *
get_target(const struct rollout *r)
{
    return r->order.number > r->state.order ? r->order.target
                                            : r->state.target;
}

static void
set_gone(ggw_ms *gone_at, size_t servers, ggw_ms now)
{
    *gone_at = servers > 0 ? INFINITY : MIN(*gone_at, now);
}

static void
count_servers(struct priv *p, struct rollout *r)
{
    struct servers *s = &r->servers;
    const char *target = get_target(r);
    const char *domain = NULL;

    s->target = s->others = s->allowed = s->domains = 0;
    for (size_t i = 0; p->vms != NULL && i < p->vms->len; i++) {
        const struct ggw_vm *vm = &p->vms->vms[i];

        if (!is_server_of(r, vm)) {
            continue;
        }
        s->allowed += r->known && is_allowed(r, vm->version);
        if (target == NULL || g_strcmp0(vm->version, target) != 0) {
            s->others++;
            continue;
        }
        s->target++;
        s->domains = domain == NULL                            ? 1
                     : strcmp(domain, vm->failure_domain) != 0 ? 2
                                                               : s->domains;
        domain = domain == NULL ? vm->failure_domain : domain;
    }
    set_gone(&s->others_gone_at, s->others, now_ms(p));
    set_gone(&s->allowed_gone_at, s->allowed, now_ms(p));
}

/* Tells the judge the failure domains of the servers of the new version. */
static void
group_servers(struct priv *p, struct rollout *r)
{
    const char *target = get_target(r);

    for (size_t i = 0; p->vms != NULL && i < p->vms->len; i++) {
        const struct ggw_vm *vm = &p->vms->vms[i];

        if (is_server_of(r, vm) && target != NULL &&
            g_strcmp0(vm->version, target) == 0 && r->servers.domains > 1) {
            ggw_rollout_judge_group(r->judge, vm->name, vm->failure_domain);
        }
    }
}

static void
send_to_slots(struct priv *p, struct rollout *r)
{
    struct ggw_message *message = ggw_rollout_limits_new(r->team, r->name);
    struct ggw_rollout_limits *m = (struct ggw_rollout_limits *)message;
    double used = GGW_ROLLOUT_EXPOSURE_PERCENT / 100.0;

    m->order = r->state.order;
    m->term = get_term(r);
    m->stage = r->state.stage;
    if (!r->known) {
        /* The stage of the order is not known yet. */
        m->order = r->order.number;
        m->stage = GGW_ROLLOUT_TRIAL;
        m->target = g_strdup(r->order.target);
    }
    else if (r->lifted) {
        m->stage = GGW_ROLLOUT_NONE;
    }
    else {
        m->target = g_strdup(r->state.target);
        m->allowed = g_strdupv(r->state.allowed);
        m->exposure_percent = p->options.exposure_percent * used;
        m->exposure_slack = (int)(p->options.exposure_slack * used);
    }
    ggw_kernel_send(p->base.kernel, "slots", &p->base, message);
}

static json_t *
versions_json(char **versions)
{
    json_t *list = versions != NULL ? json_array() : json_null();

    for (int i = 0; versions != NULL && versions[i] != NULL; i++) {
        json_array_append_new(list, json_string(versions[i]));
    }
    return list;
}

static json_t *
rollout_json(const struct priv *p, const struct rollout *r)
{
    const struct ggw_rollout_finding *f = &r->finding;

    return json_pack(
        "{s:s,s:s,s:s,s:s*,s:o,s:I,s:b,s:f,s:s*,s:I,s:I,s:I,s:I,s:I,s:I}",
        "team", r->team, "service", r->name, "stage",
        ggw_rollout_stage_name(r->state.stage), "target", r->state.target,
        "allowed", versions_json(r->state.allowed), "order",
        (json_int_t)r->state.order, "decider", (int)r->deciding, "left_ms",
        round(r->state.deadline - now_ms(p)), "reason", r->state.reason,
        "granted", (json_int_t)f->granted, "granted_others",
        (json_int_t)f->others_granted, "results", (json_int_t)f->results,
        "failed", (json_int_t)f->failed, "slow", (json_int_t)f->slow,
        "failed_others", (json_int_t)f->others_failed);
}

static void
publish_status(struct priv *p)
{
    json_t *list = json_array();
    GHashTableIter iter;
    gpointer value;
    char *raw;

    g_hash_table_iter_init(&iter, p->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((struct rollout *)value)->known) {
            json_array_append_new(list, rollout_json(p, value));
        }
    }
    raw = json_dumps(list, JSON_COMPACT);
    ggw_kernel_publish(p->base.kernel, &p->base,
                       ggw_rollouts_status_new(g_strdup(raw)));
    free(raw); /* jansson allocates with malloc() */
    json_decref(list);
}

/* Sends the state to a gateway, or to all if @peer is NULL. */
static void
send_state(struct priv *p, struct rollout *r, const char *peer)
{
    g_autoptr(GBytes) payload =
        ggw_rollout_pack_state(r->team, r->name, &r->state, now_ms(p));

    ggw_kernel_send(p->base.kernel, "peers", &p->base,
                    ggw_peer_send_new(peer, GGW_PEER_ROLLOUT, 0, payload));
}

static void
log_stage(struct priv *p, const struct rollout *r, const char *by)
{
    const struct ggw_rollout_finding *f = &r->finding;
    g_autofree char *allowed = r->state.allowed != NULL
                                   ? g_strjoinv(",", r->state.allowed)
                                   : g_strdup("all others");
    g_autofree char *metric =
        g_strdup_printf("ggw_rollout_stages_total{stage=\"%s\"}",
                        ggw_rollout_stage_name(r->state.stage));

    ggw_count(metric);
    ggw_log_info(
        PART,
        "service %s: stage %s, order %" G_GUINT64_FORMAT
        ", version %s, other versions %s, decided by %s: %s; "
        "%.0f ms left, %" G_GUINT64_FORMAT " granted, %" G_GUINT64_FORMAT
        " results, %" G_GUINT64_FORMAT " failed, %" G_GUINT64_FORMAT
        " slow; others %" G_GUINT64_FORMAT " granted, %" G_GUINT64_FORMAT
        " results, %" G_GUINT64_FORMAT " failed; %zu servers, others %zu",
        r->name, ggw_rollout_stage_name(r->state.stage),
        (guint64)r->state.order,
        r->state.target != NULL ? r->state.target : "none", allowed, by,
        r->state.reason != NULL ? r->state.reason : "",
        MAX(r->state.deadline - now_ms(p), 0), (guint64)f->granted,
        (guint64)f->results, (guint64)f->failed, (guint64)f->slow,
        (guint64)f->others_granted, (guint64)f->others,
        (guint64)f->others_failed, r->servers.target, r->servers.others);
}

/* Applies a copy of @state, which @by has decided. */
static void
apply_state(struct priv *p, struct rollout *r,
            const struct ggw_rollout_state *state, const char *by)
{
    struct ggw_rollout_state copy;
    bool new_order = !r->known || state->order != r->state.order;

    ggw_rollout_state_copy(&copy, state);
    ggw_rollout_state_clear(&r->state);
    r->state = copy;
    r->known = true;
    r->lifted = false;
    r->completing = false;
    r->stage_since = now_ms(p);
    r->servers.allowed_gone_at = INFINITY;
    if (new_order) {
        ggw_rollout_judge_free(r->judge);
        r->judge = ggw_rollout_judge_new();
        r->finding = (struct ggw_rollout_finding){0};
        g_hash_table_remove_all(r->reports);
    }
    count_servers(p, r);
    log_stage(p, r, by);
    send_to_slots(p, r);
    publish_status(p);
}

/* Decides a stage as the decider, and sends it to all. */
static void
decide(struct priv *p, struct rollout *r, enum ggw_rollout_stage stage,
       const char *reason)
{
    struct ggw_rollout_state next;

    ggw_rollout_state_copy(&next, &r->state);
    next.stage = stage;
    g_free(next.reason);
    next.reason = g_strdup(reason);
    apply_state(p, r, &next, "this gateway");
    ggw_rollout_state_clear(&next);
    send_state(p, r, NULL);
    r->sent_at = now_ms(p);
}

/* Versions of the registered servers except @target; NULL for all. */
static char **
list_versions(struct priv *p, const struct rollout *r, const char *target)
{
    GPtrArray *versions = g_ptr_array_new();
    bool unstated = false;

    for (size_t i = 0; p->vms != NULL && i < p->vms->len; i++) {
        const struct ggw_vm *vm = &p->vms->vms[i];

        if (!is_server_of(r, vm) || g_strcmp0(vm->version, target) == 0) {
            continue;
        }
        unstated |= vm->version == NULL;
        if (vm->version != NULL &&
            !g_ptr_array_find_with_equal_func(versions, vm->version,
                                              g_str_equal, NULL)) {
            g_ptr_array_add(versions, g_strdup(vm->version));
        }
    }
    g_ptr_array_add(versions, NULL);
    if (unstated) {
        g_ptr_array_set_free_func(versions, g_free);
        g_ptr_array_unref(versions);
        return NULL;
    }
    return (char **)g_ptr_array_free(versions, FALSE);
}

/* Without an order, the versions that are registered first are allowed. */
static void
decide_baseline(struct priv *p, struct rollout *r)
{
    const char *target =
        r->order.number > 0 && r->servers.others > 0 ? r->order.target : NULL;
    struct ggw_rollout_state state = {
        .stage = GGW_ROLLOUT_NONE,
        .allowed = list_versions(p, r, target),
        .reason = g_strdup("versions of the registered servers"),
    };

    apply_state(p, r, &state, "this gateway");
    ggw_rollout_state_clear(&state);
    send_state(p, r, NULL);
}

static bool
equal_versions(char **a, char **b)
{
    return a == NULL || b == NULL
               ? a == b
               : g_strv_equal((const char *const *)a, (const char *const *)b);
}

/* Versions that may get requests before an order, without its target. */
static char **
allowed_before(const struct rollout *r, const char *target, bool *proven)
{
    GPtrArray *list = g_ptr_array_new();
    bool moved = r->state.stage == GGW_ROLLOUT_COMPLETED;

    *proven = moved && g_strcmp0(r->state.target, target) == 0;
    if (!moved && r->state.allowed == NULL) {
        g_ptr_array_unref(list);
        return NULL;
    }
    if (moved && !*proven) {
        g_ptr_array_add(list, g_strdup(r->state.target));
    }
    for (int i = 0; !moved && r->state.allowed[i] != NULL; i++) {
        if (g_strcmp0(r->state.allowed[i], target) == 0) {
            *proven = true;
        }
        else {
            g_ptr_array_add(list, g_strdup(r->state.allowed[i]));
        }
    }
    g_ptr_array_add(list, NULL);
    return (char **)g_ptr_array_free(list, FALSE);
}

/* Begins with the operator's last order. */
static void
begin_order(struct priv *p, struct rollout *r)
{
    const struct order *o = &r->order;
    bool proven = false;
    struct ggw_rollout_state state = {
        .order = o->number,
        .target = g_strdup(o->target),
        .allowed = allowed_before(r, o->target, &proven),
        .deadline = o->read_at + o->duration,
        .duration = o->duration,
    };

    state.stage = proven ? GGW_ROLLOUT_SWITCHING : GGW_ROLLOUT_TRIAL;
    state.reason = g_strdup(proven ? "the version was in use before the order"
                                   : "the operator has ordered it");
    apply_state(p, r, &state, "this gateway");
    ggw_rollout_state_clear(&state);
    send_state(p, r, NULL);
    r->sent_at = now_ms(p);
}

static bool
has_majority(const struct priv *p)
{
    int alive = 0;

    for (guint i = 0; p->members != NULL && i < p->members->members->len;
         i++) {
        const struct ggw_member *m =
            &g_array_index(p->members->members, struct ggw_member, i);

        alive += m->self || m->state == GGW_MEMBER_ALIVE ||
                 m->state == GGW_MEMBER_LEAVING;
    }
    return p->members == NULL || 2 * alive > p->members->known_gateways;
}

static bool
is_gateway_drained(const struct priv *p, const struct rollout *r,
                   const struct ggw_member *m)
{
    const struct report *report = g_hash_table_lookup(r->reports, m->name);
    const ggw_ms *dead_since = g_hash_table_lookup(p->dead_since, m->name);
    struct ggw_rollout_report from = {.heard_at = -INFINITY};
    ggw_ms now = now_ms(p);
    ggw_ms longest = get_longest_request(p, r);

    if (report != NULL && report->order == r->state.order) {
        from = report->from;
    }
    from.state = m->state;
    from.dead_since = dead_since != NULL ? *dead_since : now;
    if (now - r->stage_since >= longest + LOST_COUNT) {
        from.old_requests = 0;
    }
    return ggw_rollout_is_drained(&from, now, get_term(r), longest);
}

static bool
is_drained(const struct priv *p, const struct rollout *r)
{
    if (p->members == NULL || !has_majority(p)) {
        return false;
    }
    for (guint i = 0; i < p->members->members->len; i++) {
        if (!is_gateway_drained(
                p, r,
                &g_array_index(p->members->members, struct ggw_member, i))) {
            return false;
        }
    }
    return true;
}

/* Decides the next stage of the roll-out in progress. */
static void
step(struct priv *p, struct rollout *r)
{
    struct ggw_rollout_view v = {
        .now = now_ms(p),
        .ordered_at = r->state.deadline - r->state.duration,
        .deadline = r->state.deadline,
        .longest_request = get_longest_request(p, r),
        .stage = r->state.stage,
        .target_servers = r->servers.target,
        .others_gone_at = r->servers.others_gone_at,
    };
    struct ggw_rollout_step next;

    if (r->order.number == r->state.order && r->order.removed) {
        decide(p, r, GGW_ROLLOUT_ROLLED_BACK, "the order was removed");
        return;
    }
    group_servers(p, r);
    r->finding = ggw_rollout_judge_find(
        r->judge, v.now, r->state.stage == GGW_ROLLOUT_SWITCHING);
    v.finding = r->finding;
    v.drained = r->state.stage == GGW_ROLLOUT_SWITCHING && is_drained(p, r);
    next = ggw_rollout_next(&v);
    r->completing = next.stage == GGW_ROLLOUT_COMPLETED;
    if (!r->completing && next.stage != r->state.stage) {
        decide(p, r, next.stage, next.reason);
    }
}

static void
save(struct priv *p, struct rollout *r, const struct ggw_rollout_state *state)
{
    struct ggw_message *message = ggw_rollout_save_new(r->name);
    struct ggw_rollout_save *m = (struct ggw_rollout_save *)message;

    ggw_rollout_state_clear(&r->save_state);
    r->writing = state != NULL;
    if (r->writing) {
        ggw_rollout_state_copy(&r->save_state, state);
        m->record = ggw_rollout_record_print(state, now_ms(p), wall_ms(p));
        m->stage = state->stage;
        m->target = g_strdup(state->target);
    }
    m->record_version = r->record_version;
    m->state_version = r->state_version;
    m->timeout = r->save_timeout;
    r->save_tag = ++p->last_tag;
    message->tag = r->save_tag;
    ggw_kernel_send(p->base.kernel, "rollout-rows", &p->base, message);
}

static bool
must_write(const struct rollout *r)
{
    return r->known && (r->stored_term < get_term(r) || r->unsent ||
                        r->record_version == 0);
}

static bool
must_read(const struct rollout *r, ggw_ms now)
{
    return !r->read || r->reread ||
           (!r->completing && !must_write(r) && is_active(r, now) &&
            now >= r->verify_at);
}

/* Writes the state to the store, or reads it, when it is time to. */
static void
update_store(struct priv *p, struct rollout *r)
{
    ggw_ms now = now_ms(p);
    struct ggw_rollout_state completed = r->state;

    if (r->save_tag != 0 || now < r->save_at) {
        return;
    }
    if (must_read(r, now)) {
        save(p, r, NULL);
    }
    else if (r->completing) {
        completed.stage = GGW_ROLLOUT_COMPLETED;
        completed.reason = "no request is in progress on other versions";
        save(p, r, &completed);
    }
    else if (must_write(r)) {
        save(p, r, &r->state);
    }
}

static void
send_own_counts(struct priv *p, struct rollout *r, const char *decider)
{
    g_autoptr(GBytes) payload =
        ggw_rollout_pack_counts(r->own, r->state.deadline - now_ms(p));

    ggw_kernel_send(p->base.kernel, "peers", &p->base,
                    ggw_peer_send_new(decider, GGW_PEER_ROLLOUT, 0, payload));
}

/* Name of the decider in this gateway's view, or NULL. */
static const char *
find_decider(const struct priv *p, const struct rollout *r)
{
    size_t i;

    if (p->members == NULL) {
        return NULL;
    }
    i = ggw_owner_pick(r->team, r->name, ALL_DOMAINS,
                       (const struct ggw_member *)p->members->members->data,
                       p->members->members->len);
    return i != (size_t)-1
               ? g_array_index(p->members->members, struct ggw_member, i).name
               : NULL;
}

static void
start_deciding(struct priv *p, struct rollout *r)
{
    g_autoptr(GBytes) payload = ggw_rollout_pack_ask(r->team, r->name);

    r->deciding = true;
    r->deciding_since = now_ms(p);
    r->read = false;
    ggw_log_info(PART, "service %s: this gateway decides on roll-outs",
                 r->name);
    ggw_kernel_send(p->base.kernel, "peers", &p->base,
                    ggw_peer_send_new(NULL, GGW_PEER_ROLLOUT, 0, payload));
}

static void
update_deciding(struct priv *p, struct rollout *r)
{
    const char *decider = find_decider(p, r);
    bool deciding = decider != NULL && strcmp(decider, p->self) == 0 &&
                    now_ms(p) - p->started_at >= SETTLE;

    if (deciding && !r->deciding) {
        start_deciding(p, r);
    }
    else if (!deciding && r->deciding) {
        ggw_log_info(PART, "service %s: gateway %s decides on roll-outs",
                     r->name, decider != NULL ? decider : "none");
        r->deciding = false;
        r->completing = false;
    }
}

/* Adds the counts of a gateway to the judge and the reports. */
static void
add_counts(struct priv *p, struct rollout *r, const char *gateway,
           const struct ggw_rollout_counts *c)
{
    struct report *report;

    if (!r->known || c->order != r->state.order) {
        return;
    }
    report = g_hash_table_lookup(r->reports, gateway);
    if (report == NULL) {
        report = g_new0(struct report, 1);
        g_hash_table_insert(r->reports, g_strdup(gateway), report);
    }
    report->order = c->order;
    report->from.term = c->term;
    report->from.old_requests = c->held_old + c->granted_old;
    report->from.heard_at = now_ms(p);
    group_servers(p, r);
    ggw_rollout_judge_add(r->judge, gateway, (uint64_t)MAX(c->since, 0),
                          c->samples);
}

/* The decider's work. */
static void
tick_decider(struct priv *p, struct rollout *r)
{
    ggw_ms now = now_ms(p);
    bool may_act = r->read || now - r->deciding_since >= RECORD_WAIT;

    if (may_act && !r->known && r->servers.target + r->servers.others > 0) {
        decide_baseline(p, r);
    }
    /* A completion that is being written may still take effect. */
    if (may_act && r->known && r->order.number > r->state.order &&
        !r->order.removed && !(r->completing && r->save_tag != 0)) {
        begin_order(p, r);
    }
    if (r->known && (r->state.stage == GGW_ROLLOUT_TRIAL ||
                     r->state.stage == GGW_ROLLOUT_SWITCHING)) {
        step(p, r);
    }
    update_store(p, r);
    if (is_active(r, now) && now - r->sent_at >= REPEAT) {
        send_state(p, r, NULL);
        r->sent_at = now;
        publish_status(p);
    }
}

/* Sends this gateway's counts to the decider again. */
static void
tick_other(struct priv *p, struct rollout *r)
{
    const char *decider = find_decider(p, r);
    ggw_ms now = now_ms(p);

    if (decider != NULL && strcmp(decider, p->self) != 0 && r->own != NULL &&
        is_active(r, now) && now - r->sent_at >= REPEAT) {
        send_own_counts(p, r, decider);
        r->sent_at = now;
    }
}

/* Allows all versions while the allowed ones have no servers. */
static void
update_lifted(struct priv *p, struct rollout *r)
{
    bool settled = r->state.stage == GGW_ROLLOUT_NONE ||
                   r->state.stage == GGW_ROLLOUT_COMPLETED;
    bool any = r->servers.target + r->servers.others > 0;
    bool lifted = r->known && settled && any &&
                  now_ms(p) - r->servers.allowed_gone_at >= LIFT_AFTER;

    if (lifted == r->lifted) {
        return;
    }
    r->lifted = lifted;
    ggw_log_warn(PART,
                 lifted ? "service %s: no server of an allowed version is "
                          "registered, all versions are allowed"
                        : "service %s: servers of allowed versions are back",
                 r->name);
    send_to_slots(p, r);
}

static void
tick(struct priv *p, struct rollout *r)
{
    count_servers(p, r);
    update_deciding(p, r);
    if (r->deciding) {
        if (r->own != NULL) {
            add_counts(p, r, p->self, r->own);
        }
        tick_decider(p, r);
    }
    else {
        tick_other(p, r);
    }
    update_lifted(p, r);
}

static void
void_reports(struct rollout *r)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, r->reports);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct report *)value)->from.heard_at = -INFINITY;
    }
    r->completing = false;
}

void
ggw_rollouts_tick(struct ggw_service *service)
{
    struct priv *p = (struct priv *)service;
    ggw_ms now = now_ms(p);
    bool paused = now - p->ticked_at > PAUSE;
    GHashTableIter iter;
    gpointer value;

    p->ticked_at = now;
    g_hash_table_iter_init(&iter, p->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (paused) {
            /* Messages that have arrived meanwhile come first. */
            void_reports(value);
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
on_order(struct priv *p, const struct ggw_rollout_order *m)
{
    struct rollout *r = get_rollout(p, m->team, m->service);
    struct order *o = &r->order;

    if (m->removed) {
        ggw_log_info(
            PART,
            "service %s: the operator has removed order %" G_GUINT64_FORMAT,
            r->name, (guint64)o->number);
        o->removed = true;
        return;
    }
    if (m->order <= o->number) {
        return;
    }
    g_free(o->target);
    *o = (struct order){.number = m->order,
                        .target = g_strdup(m->target),
                        .duration = m->duration,
                        .read_at = now_ms(p)};
    count_servers(p, r);
    ggw_count("ggw_rollout_orders_total");
    ggw_log_info(PART,
                 "service %s: order %" G_GUINT64_FORMAT
                 " to move to version %s within %.0f ms; %zu servers of it, "
                 "%zu others",
                 r->name, (guint64)o->number, o->target, o->duration,
                 r->servers.target, r->servers.others);
    if (!r->known && r->servers.others > 0) {
        send_to_slots(p, r);
    }
    if (r->deciding) {
        tick_decider(p, r);
    }
}

/* Takes over a state of another gateway, or corrects that gateway. */
static void
on_state(struct priv *p, struct rollout *r, const char *peer,
         struct ggw_rollout_state *state)
{
    uint64_t term = ggw_rollout_term(state->order, state->stage);
    bool from_decider = g_strcmp0(find_decider(p, r), peer) == 0;

    if (r->known && state->order == r->state.order) {
        /* The gateway that has read the order first knows best. */
        r->state.deadline = MIN(r->state.deadline, state->deadline);
        state->deadline = r->state.deadline;
    }
    if (!r->known || term > get_term(r) ||
        (term == get_term(r) && from_decider && !r->deciding &&
         !equal_versions(state->allowed, r->state.allowed))) {
        apply_state(p, r, state, peer);
    }
    else if (term < get_term(r)) {
        send_state(p, r, peer);
    }
}

static void
on_frame(struct priv *p, const struct ggw_peer_received *m)
{
    struct ggw_rollout_frame frame;
    struct rollout *r;

    if (!ggw_rollout_unpack(m->payload, now_ms(p), &frame)) {
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
            r->state.deadline =
                MIN(r->state.deadline, now_ms(p) + MAX(frame.left, 0));
        }
        add_counts(p, r, m->peer, frame.counts);
        break;
    case GGW_ROLLOUT_FRAME_ASK:
        if (r->known) {
            send_state(p, r, m->peer);
        }
        break;
    }
    ggw_rollout_frame_clear(&frame);
}

static void
on_counts(struct priv *p, const struct ggw_rollout_counts *m)
{
    struct rollout *r = get_rollout(p, m->team, m->service);
    struct ggw_rollout_counts *copy =
        (struct ggw_rollout_counts *)ggw_rollout_counts_new(m->team,
                                                            m->service);
    const char *decider = find_decider(p, r);

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
        send_own_counts(p, r, decider);
        r->sent_at = now_ms(p);
    }
}

/* Takes over what the store says if it is newer. */
static void
adopt_record(struct priv *p, struct rollout *r, const char *text)
{
    struct ggw_rollout_state s;
    uint64_t term;

    r->stored_term = 0;
    if (text == NULL) {
        return;
    }
    if (!ggw_rollout_record_parse(text, now_ms(p), wall_ms(p), &s)) {
        ggw_log_warn(PART, "service %s: the record is malformed: %.200s",
                     r->name, text);
        return;
    }
    term = ggw_rollout_term(s.order, s.stage);
    r->stored_term = term;
    if (!r->known || term > get_term(r) ||
        (s.stage == GGW_ROLLOUT_NONE && term == get_term(r) &&
         !equal_versions(s.allowed, r->state.allowed))) {
        apply_state(p, r, &s, "the record");
        send_state(p, r, NULL);
    }
    else if (s.stage == GGW_ROLLOUT_COMPLETED && s.order < r->state.order &&
             r->state.stage == GGW_ROLLOUT_TRIAL) {
        /* The order before was completed: its old servers have stopped. */
        g_strfreev(r->state.allowed);
        r->state.allowed = g_new0(char *, 2);
        r->state.allowed[0] = g_strdup(s.target);
        g_free(r->state.reason);
        r->state.reason = g_strdup("the order before was completed");
        send_to_slots(p, r);
        send_state(p, r, NULL);
    }
    ggw_rollout_state_clear(&s);
}

static void
finish_write(struct priv *p, struct rollout *r)
{
    struct ggw_rollout_state *s = &r->save_state;

    r->stored_term = ggw_rollout_term(s->order, s->stage);
    r->unsent = false;
    ggw_count("ggw_rollout_writes_total{result=\"written\"}");
    ggw_log_info(PART,
                 "service %s: wrote stage %s of order %" G_GUINT64_FORMAT
                 ", version %s, as row version %" G_GINT64_FORMAT,
                 r->name, ggw_rollout_stage_name(s->stage), (guint64)s->order,
                 s->target != NULL ? s->target : "none",
                 (gint64)r->state_version);
    if (r->stored_term > get_term(r)) {
        apply_state(p, r, s, "this gateway");
        send_state(p, r, NULL);
    }
}

static struct rollout *
find_saving(struct priv *p, uint64_t tag)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((struct rollout *)value)->save_tag == tag) {
            return value;
        }
    }
    return NULL;
}

/* The stage that operators read while @stage applies. */
static enum ggw_rollout_stage
shown_stage(enum ggw_rollout_stage stage)
{
    return stage == GGW_ROLLOUT_SWITCHING ? GGW_ROLLOUT_TRIAL : stage;
}

/* Handles rows that were read, or that differ from what was expected. */
static void
on_rows(struct priv *p, struct rollout *r, const struct ggw_rollout_saved *m)
{
    r->read = true;
    adopt_record(p, r, m->record);
    r->unsent = r->known && r->state.stage != GGW_ROLLOUT_NONE &&
                (m->stage != shown_stage(r->state.stage) ||
                 g_strcmp0(m->target, r->state.target) != 0);
}

static void
on_saved(struct priv *p, const struct ggw_rollout_saved *m)
{
    struct rollout *r = m->base.tag != 0 ? find_saving(p, m->base.tag) : NULL;
    ggw_ms now = now_ms(p);

    if (r == NULL) {
        return;
    }
    r->save_tag = 0;
    if (m->status != GGW_PLATFORM_OK && m->status != GGW_PLATFORM_CONFLICT) {
        ggw_count("ggw_rollout_writes_total{result=\"failed\"}");
        r->save_at = now + SAVE_RETRY;
        r->reread |= m->status == GGW_PLATFORM_UNKNOWN;
        r->save_timeout = MIN(2 * r->save_timeout, SAVE_TIMEOUT_MAX);
        return;
    }
    r->save_timeout = SAVE_TIMEOUT;
    r->reread = false;
    r->verify_at = now + VERIFY;
    r->record_version = m->record_version;
    r->state_version = m->state_version;
    if (r->writing && m->status == GGW_PLATFORM_OK) {
        finish_write(p, r);
        return;
    }
    if (r->writing) {
        ggw_count("ggw_rollout_writes_total{result=\"conflict\"}");
    }
    on_rows(p, r, m);
}

static bool
is_new_gateway(const struct priv *p, const struct ggw_member *m)
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
greet(struct priv *p, const char *peer)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rollout *r = value;

        if (r->deciding && r->known) {
            send_state(p, r, peer);
        }
    }
}

static void
note_dead(struct priv *p, const struct ggw_member *m)
{
    ggw_ms now = now_ms(p);

    if (m->state != GGW_MEMBER_DEAD) {
        g_hash_table_remove(p->dead_since, m->name);
    }
    else if (!g_hash_table_contains(p->dead_since, m->name)) {
        g_hash_table_insert(p->dead_since, g_strdup(m->name),
                            g_memdup2(&now, sizeof(now)));
    }
}

static void
on_members(struct priv *p, const struct ggw_members_changed *m)
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
on_vms(struct priv *p, const struct ggw_vms_changed *m)
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
    struct priv *p = (struct priv *)service;

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
        on_saved(p, (struct ggw_rollout_saved *)m);
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
    struct priv *p = (struct priv *)service;

    p->started_at = now_ms(p);
    p->ticked_at = p->started_at;
    uv_timer_init(ggw_kernel_loop(service->kernel), &p->timer);
    p->timer.data = p;
    uv_timer_start(&p->timer, tick_cb, (uint64_t)TICK, (uint64_t)TICK);
    return true;
}

static void
stop(struct ggw_service *service)
{
    uv_close((uv_handle_t *)&((struct priv *)service)->timer, NULL);
}

static void
destroy(struct ggw_service *service)
{
    struct priv *p = (struct priv *)service;

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
    struct priv *p = g_new0(struct priv, 1);

    p->base.ops = &rollouts_ops;
    p->self = g_strdup(options->self);
    p->options = *options;
    p->options.self = NULL;
    p->options.failure_domain = NULL;
    p->rollouts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, rollout_free);
    p->dead_since =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    p->trees =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_tree);
    return &p->base;
}
