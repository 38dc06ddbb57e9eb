#include <math.h>
#include <string.h>

#include "slots/internal.h"

/* Services and servers, as defined by the settings and the list of VMs. */

/*
 * Number of servers in each failure domain at which a service gets one owner
 * per failure domain, and below which it gets a single owner again. The
 * distance between them keeps the ownership from switching back and forth
 * when a few servers are added or removed.
 */
#define SPLIT_MIN_SERVERS 14
#define MERGE_BELOW_SERVERS 8

static void
server_free(gpointer data)
{
    struct ggw_slots_server *s = data;

    g_free(s->name);
    g_free(s->host);
    g_free(s->failure_domain);
    g_free(s->version);
    g_free(s);
}

static void
domain_free(gpointer data)
{
    struct ggw_slots_domain *d = data;

    ggw_ledger_free(d->ledger);
    g_ptr_array_unref(d->probing_requests);
    g_clear_pointer(&d->announced_warm, g_ptr_array_unref);
    g_free(d->name);
    g_free(d->owner);
    g_free(d);
}

void
ggw_slots_group_free(gpointer data)
{
    struct ggw_slots_group *g = data;

    g_ptr_array_unref(g->servers);
    g_ptr_array_unref(g->domains);
    g_clear_pointer(&g->tree, ggw_tree_unref);
    g_free(g->team);
    g_free(g->service);
    g_free(g);
}

struct ggw_slots_server *
ggw_slots_find_server(const struct ggw_slots_group *g, const char *name)
{
    for (guint i = 0; i < g->servers->len; i++) {
        struct ggw_slots_server *s = g_ptr_array_index(g->servers, i);

        if (strcmp(s->name, name) == 0) {
            return s;
        }
    }
    return NULL;
}

struct ggw_slots_domain *
ggw_slots_find_domain(const struct ggw_slots_group *g, const char *name)
{
    for (guint i = 0; i < g->domains->len; i++) {
        struct ggw_slots_domain *d = g_ptr_array_index(g->domains, i);

        if (strcmp(d->name, name) == 0) {
            return d;
        }
    }
    return NULL;
}

bool
ggw_slots_domain_in_use(const struct ggw_slots_domain *d)
{
    return d->group->single_owner ==
           (strcmp(d->name, GGW_SLOTS_ALL_DOMAINS) == 0);
}

struct ggw_slots_domain *
ggw_slots_home_domain(const struct ggw_slots *p,
                      const struct ggw_slots_group *g)
{
    return ggw_slots_find_domain(g, g->single_owner ? GGW_SLOTS_ALL_DOMAINS
                                                    : p->domain);
}

struct ggw_slots_domain *
ggw_slots_read_domain(struct ggw_slots *p, struct ggw_payload_reader *r)
{
    const char *team = ggw_payload_string(r);
    const char *service = ggw_payload_string(r);
    const char *domain = ggw_payload_string(r);
    struct ggw_slots_group *g =
        r->ok ? ggw_slots_find_group(p, team, service) : NULL;

    return g != NULL ? ggw_slots_find_domain(g, domain) : NULL;
}

ggw_ms
ggw_slots_read_time(struct ggw_payload_reader *r)
{
    ggw_ms time = ggw_payload_double(r);

    if (fabs(time) > GGW_SLOTS_MAX_TIME) {
        r->ok = false;
        return 0;
    }
    return time;
}

bool
ggw_slots_server_is_open(const struct ggw_slots_server *s)
{
    return !s->closed && !s->out && s->backoff == GGW_BACKOFF_NONE &&
           s->exposure != GGW_EXPOSURE_CLOSED;
}

bool
ggw_slots_domain_has_open_server(const struct ggw_slots_domain *d)
{
    for (guint i = 0; i < d->group->servers->len; i++) {
        const struct ggw_slots_server *s =
            g_ptr_array_index(d->group->servers, i);

        if (s->domain == d && ggw_slots_server_is_open(s)) {
            return true;
        }
    }
    return false;
}

static struct ggw_slots_domain *
ensure_domain(struct ggw_slots_group *g, const char *name)
{
    struct ggw_slots_domain *d = ggw_slots_find_domain(g, name);

    if (d == NULL) {
        d = g_new0(struct ggw_slots_domain, 1);
        d->group = g;
        d->name = g_strdup(name);
        d->probing_requests =
            g_ptr_array_new_with_free_func(ggw_slots_probing_request_free);
        g_ptr_array_add(g->domains, d);
    }
    return d;
}

static struct ggw_limit_rule
make_limit_rule(const struct ggw_service_rule *rule)
{
    return (struct ggw_limit_rule){
        .slots = rule->slots,
        .ahead = rule->ahead,
        .cold_limit = rule->cold_limit,
        .cold_time = rule->cold_time,
        .cold_rate = rule->cold_rate,
        .max_trial_interval = rule->max_trial_interval,
    };
}

static void
apply_rule(struct ggw_slots *p, struct ggw_slots_group *g)
{
    struct ggw_tree *tree = g_hash_table_lookup(p->trees, g->team);

    if (tree == NULL || tree == g->tree) {
        return;
    }
    g_clear_pointer(&g->tree, ggw_tree_unref);
    g->tree = ggw_tree_ref(tree);
    g->rule = ggw_tree_service(tree, g->service);
    g->policy.ops = g->rule != NULL ? ggw_policy_find(g->rule->policy) : NULL;
    if (g->rule != NULL) {
        g->limit_rule = make_limit_rule(g->rule);
    }
}

static struct ggw_slots_group *
ensure_group(struct ggw_slots *p, const char *team, const char *service)
{
    struct ggw_slots_group *g = ggw_slots_find_group(p, team, service);

    if (g == NULL) {
        g_autofree char *key = g_strdup_printf("%s/%s", team, service);

        g = g_new0(struct ggw_slots_group, 1);
        g->team = g_strdup(team);
        g->service = g_strdup(service);
        g->servers = g_ptr_array_new_with_free_func(server_free);
        g->domains = g_ptr_array_new_with_free_func(domain_free);
        g->policy.rand = p->rand;
        ggw_probe_budget_init(&g->budget, 0, ggw_slots_now(p));
        g->rollout = g_hash_table_lookup(p->rollouts, key);
        g_hash_table_insert(p->groups, g_steal_pointer(&key), g);
        apply_rule(p, g);
    }
    return g;
}

static void
classify_server(struct ggw_slots_server *s, const struct ggw_slots_group *g)
{
    s->exposure = ggw_exposure_classify(ggw_slots_rollout_limits(g->rollout),
                                        s->version);
}

static void
apply_vm(struct ggw_slots *p, const struct ggw_vm *vm)
{
    struct ggw_slots_group *g = ensure_group(p, vm->team, vm->service);
    struct ggw_slots_server *s = ggw_slots_find_server(g, vm->name);

    if (s == NULL) {
        s = g_new0(struct ggw_slots_server, 1);
        s->name = g_strdup(vm->name);
        s->probed_at = ggw_slots_now(p);
        g_ptr_array_add(g->servers, s);
    }
    if (vm->incarnation > s->incarnation) {
        s->warm = false;
        s->reported = false;
        s->unproven = false;
        s->incarnation = vm->incarnation;
    }
    if (vm->reports_cold && !s->reports_cold) {
        s->warm = vm->cold_until <= ggw_slots_now(p);
    }
    s->reports_cold = vm->reports_cold;
    s->cold_until = vm->cold_until;
    s->slots = vm->slots;
    g_free(s->failure_domain);
    s->failure_domain = g_strdup(vm->failure_domain);
    s->domain = ensure_domain(g, g->single_owner ? GGW_SLOTS_ALL_DOMAINS
                                                 : vm->failure_domain);
    g_free(s->host);
    s->host = g_strdup(vm->host);
    s->port = vm->port;
    g_free(s->version);
    s->version = g_strdup(vm->version);
    classify_server(s, g);
    s->closed = vm->leaving;
    ggw_backoffs_listed(p->backoffs, s->name, s->incarnation,
                        ggw_slots_now(p));
    s->listed = true;
    ggw_slots_refresh_backoff(p, s, "list");
}

static void
apply_server_states(struct ggw_slots *p, struct ggw_slots_group *g)
{
    struct ggw_tree *tree = g->tree;

    if (tree == NULL) {
        return;
    }
    for (guint i = 0; i < g->servers->len; i++) {
        struct ggw_slots_server *s = g_ptr_array_index(g->servers, i);

        s->closed = s->closed || ggw_tree_server_draining(tree, s->name);
        s->out = ggw_tree_domain_out(tree, s->failure_domain);
        if (s->out) {
            s->warm = false; /* cold when the failure domain returns */
        }
    }
}

/* Returns the number of ledgers of a service. */
static int
count_owners(const struct ggw_slots_group *g)
{
    int n = 0;

    for (guint i = 0; i < g->domains->len; i++) {
        n += ggw_slots_domain_in_use(g_ptr_array_index(g->domains, i));
    }
    return n;
}

void
ggw_slots_configure_ledger(struct ggw_slots *p, struct ggw_slots_domain *d)
{
    struct ggw_slots_group *g = d->group;
    g_autoptr(GArray) servers =
        g_array_new(FALSE, TRUE, sizeof(struct ggw_ledger_server_config));

    if (g->rule != NULL) {
        ggw_ledger_set_hedge_work(d->ledger, g->rule->hedge_work_percent);
        if (g->policy.ops != NULL && g->policy.ops->needs_owner) {
            ggw_ledger_set_policy(d->ledger, g->policy.ops,
                                  g->rule->busy_percent);
        }
    }
    for (guint i = 0; i < g->servers->len; i++) {
        const struct ggw_slots_server *s = g_ptr_array_index(g->servers, i);
        struct ggw_ledger_server_config info = {
            .name = s->name,
            .incarnation = s->incarnation,
            .closed =
                s->closed || g->rule == NULL || s->backoff != GGW_BACKOFF_NONE,
            .paused_until = s->backoff == GGW_BACKOFF_PAUSED
                                ? ggw_backoffs_until(p->backoffs, s->name)
                                : 0,
            .out = s->out,
            .warm = s->warm && !s->suspect,
            .failure_domain = s->failure_domain,
            .slots = s->slots,
            .reports_cold = s->reports_cold,
            .cold_until = s->cold_until,
            .version = s->version,
        };

        if (s->domain == d) {
            g_array_append_val(servers, info);
        }
    }
    ggw_ledger_set_exposure(d->ledger, ggw_slots_rollout_limits(g->rollout),
                            count_owners(g), ggw_slots_now(p));
    ggw_ledger_configure(d->ledger, &g->limit_rule,
                         g->rule != NULL ? g->rule->queue : 0,
                         (struct ggw_ledger_server_config *)servers->data,
                         servers->len, ggw_slots_now(p));
}

static void
remove_unlisted(struct ggw_slots_group *g)
{
    for (guint i = g->servers->len; i > 0; i--) {
        struct ggw_slots_server *s = g_ptr_array_index(g->servers, i - 1);

        if (!s->listed) {
            g_ptr_array_remove_index(g->servers, i - 1);
        }
    }
}

static void
configure_ledgers(struct ggw_slots *p, struct ggw_slots_group *g)
{
    int slots = 0;

    for (guint i = 0; i < g->domains->len; i++) {
        struct ggw_slots_domain *d = g_ptr_array_index(g->domains, i);

        if (d->ledger != NULL) {
            ggw_slots_configure_ledger(p, d);
            ggw_slots_flush_ledger(p, d);
        }
    }
    for (guint i = 0; g->rule != NULL && i < g->servers->len; i++) {
        const struct ggw_slots_server *s = g_ptr_array_index(g->servers, i);

        slots += s->domain->ledger != NULL ? g->rule->slots : 0;
    }
    ggw_probe_budget_set(&g->budget,
                         g->rule != NULL ? g->rule->measure_percent : 0, slots,
                         ggw_slots_now(p));
}

/*
 * Returns the number of servers in the failure domain that has the fewest;
 * 0 if all servers are in one failure domain.
 */
static guint
fewest_servers(const struct ggw_slots *p, const struct ggw_slots_group *g)
{
    g_autoptr(GHashTable) counts = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer value;
    guint fewest = G_MAXUINT;

    for (size_t i = 0; p->vms != NULL && i < p->vms->len; i++) {
        const struct ggw_vm *vm = &p->vms->vms[i];

        if (vm->role == GGW_VM_BACKEND_SERVER && !vm->leaving &&
            strcmp(vm->service, g->service) == 0 &&
            strcmp(vm->team, g->team) == 0) {
            value = g_hash_table_lookup(counts, vm->failure_domain);
            g_hash_table_insert(counts, vm->failure_domain,
                                GUINT_TO_POINTER(GPOINTER_TO_UINT(value) + 1));
        }
    }
    g_hash_table_iter_init(&iter, counts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        fewest = MIN(fewest, GPOINTER_TO_UINT(value));
    }
    return g_hash_table_size(counts) > 1 ? fewest : 0;
}

/*
 * Decides whether the service gets one owner per failure domain. With few
 * servers, a single owner makes better choices because it sees all of them.
 * With many servers, an owner in each failure domain is closer and has less
 * load.
 */
static void
update_split(struct ggw_slots *p, struct ggw_slots_group *g)
{
    guint fewest = fewest_servers(p, g);

    if (fewest >= SPLIT_MIN_SERVERS) {
        g->split = true;
    }
    else if (fewest < MERGE_BELOW_SERVERS) {
        g->split = false;
    }
}

/*
 * A service that the settings leave out keeps its owners: they refuse the
 * requests of gateways that still have it, and know its servers if a later
 * version has it again.
 */
static void
update_single_owner(struct ggw_slots *p, struct ggw_slots_group *g)
{
    if (g->rule == NULL) {
        return;
    }
    if (g->rule->scope == GGW_SCOPE_SIZE) {
        update_split(p, g);
    }
    g->single_owner = g->rule->scope == GGW_SCOPE_SERVICE ||
                      (g->rule->scope == GGW_SCOPE_SIZE && !g->split);
}

/*
 * Creates the groups of all services before their servers are added, because
 * the division of a service depends on all of its servers.
 */
static void
add_groups(struct ggw_slots *p)
{
    for (size_t i = 0; p->vms != NULL && i < p->vms->len; i++) {
        const struct ggw_vm *vm = &p->vms->vms[i];

        if (vm->role == GGW_VM_BACKEND_SERVER) {
            ensure_group(p, vm->team, vm->service);
        }
    }
}

void
ggw_slots_update(struct ggw_slots *p)
{
    GHashTableIter iter;
    gpointer value;

    add_groups(p);
    g_hash_table_iter_init(&iter, p->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_slots_group *g = value;

        apply_rule(p, g);
        update_single_owner(p, g);
        for (guint i = 0; i < g->servers->len; i++) {
            struct ggw_slots_server *s = g_ptr_array_index(g->servers, i);

            s->listed = false;
        }
    }
    ggw_slots_refuse_removed(p);
    for (size_t i = 0; p->vms != NULL && i < p->vms->len; i++) {
        if (p->vms->vms[i].role == GGW_VM_BACKEND_SERVER) {
            apply_vm(p, &p->vms->vms[i]);
        }
    }
    g_hash_table_iter_init(&iter, p->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        remove_unlisted(value);
        apply_server_states(p, value);
    }
    ggw_slots_update_owners(p, NULL);
    g_hash_table_iter_init(&iter, p->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        configure_ledgers(p, value);
    }
}

void
ggw_slots_learn_split(struct ggw_slots *p, const char *team,
                      const char *service, const char *domain)
{
    struct ggw_slots_group *g = ggw_slots_find_group(p, team, service);

    if (g == NULL || g->rule == NULL || g->rule->scope != GGW_SCOPE_SIZE ||
        g->split || strcmp(domain, GGW_SLOTS_ALL_DOMAINS) == 0 ||
        fewest_servers(p, g) < MERGE_BELOW_SERVERS) {
        return;
    }
    g->split = true;
    ggw_slots_update(p);
}

void
ggw_slots_iter_init(struct ggw_slots_iter *it, struct ggw_slots *p)
{
    g_hash_table_iter_init(&it->groups, p->groups);
    it->group = NULL;
    it->next = 0;
}

struct ggw_slots_domain *
ggw_slots_iter_next(struct ggw_slots_iter *it)
{
    gpointer value;

    while (it->group == NULL || it->next >= it->group->domains->len) {
        if (!g_hash_table_iter_next(&it->groups, NULL, &value)) {
            return NULL;
        }
        it->group = value;
        it->next = 0;
    }
    return g_ptr_array_index(it->group->domains, it->next++);
}

static struct ggw_slots_rollout *
ensure_rollout(struct ggw_slots *p, const struct ggw_rollout_limits *m)
{
    g_autofree char *key = g_strdup_printf("%s/%s", m->team, m->service);
    struct ggw_slots_rollout *r = g_hash_table_lookup(p->rollouts, key);

    if (r == NULL) {
        r = ggw_slots_rollout_new();
        g_hash_table_insert(p->rollouts, g_steal_pointer(&key), r);
    }
    return r;
}

void
ggw_slots_on_rollout_limits(struct ggw_slots *p,
                            const struct ggw_rollout_limits *m)
{
    struct ggw_slots_rollout *r = ensure_rollout(p, m);
    struct ggw_slots_group *g = ggw_slots_find_group(p, m->team, m->service);

    if (!ggw_slots_rollout_apply(r, m, ggw_slots_now(p)) || g == NULL) {
        return; /* a service without servers gets it with the first one */
    }
    g->rollout = r;
    for (guint i = 0; i < g->servers->len; i++) {
        classify_server(g_ptr_array_index(g->servers, i), g);
    }
    configure_ledgers(p, g);
    ggw_slots_report_rollouts(p, ggw_slots_now(p));
}

/* Counts the grants in use on servers that do not run the new version. */
static int
count_held_old(const struct ggw_slots *p, const struct ggw_slots_group *g)
{
    const struct ggw_exposure_limits *limits =
        ggw_slots_rollout_limits(g->rollout);
    GHashTableIter iter;
    gpointer value;
    int n = 0;

    g_hash_table_iter_init(&iter, p->held_grants);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ggw_slots_held_grant *h = value;
        const struct ggw_slots_server *s =
            h->group == g ? ggw_slots_find_server(g, h->server) : NULL;

        /* A server that is no longer listed may have been an old one. */
        n += h->group == g &&
             (s == NULL || !ggw_exposure_is_target(limits, s->version));
    }
    return n;
}

static int
count_granted_old(const struct ggw_slots_group *g)
{
    int n = 0;

    for (guint i = 0; i < g->domains->len; i++) {
        const struct ggw_slots_domain *d = g_ptr_array_index(g->domains, i);

        n += d->ledger != NULL ? ggw_ledger_granted_old(d->ledger) : 0;
    }
    return n;
}

void
ggw_slots_report_rollouts(struct ggw_slots *p, ggw_ms now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ggw_slots_group *g = value;
        struct ggw_message *m;

        if (g->rollout == NULL) {
            continue;
        }
        m = ggw_slots_rollout_report(g->rollout, count_held_old(p, g),
                                     count_granted_old(g), now);
        if (m != NULL) {
            ggw_kernel_send(p->base.kernel, "rollouts", &p->base, m);
        }
    }
}
