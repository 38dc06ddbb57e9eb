#include <math.h>

#include "decide/ledger.h"

/**
 * DOC: Servers of a ledger and the handover to the next owner
 */

static struct ggw_ledger_server_entry *
add_server(struct ggw_ledger *l, const struct ggw_ledger_server_config *config,
           ggw_ms now)
{
    struct ggw_ledger_server_entry *s =
        g_new0(struct ggw_ledger_server_entry, 1);

    s->name = g_strdup(config->name);
    s->out = config->out;
    s->ok_at = -INFINITY;
    s->miscounted_at = -INFINITY;
    ggw_limit_init(&s->limit, &l->rule, !config->warm, now);
    if (config->reports_cold) {
        ggw_limit_set_cold_until(&s->limit, config->cold_until, now);
    }
    s->notified_state = s->limit.state;
    g_ptr_array_add(l->servers, s);
    return s;
}

static void
remove_server(struct ggw_ledger *l, guint index)
{
    struct ggw_ledger_server_entry *s = g_ptr_array_index(l->servers, index);
    GSequenceIter *next;

    for (GSequenceIter *i = g_sequence_get_begin_iter(l->by_expiry);
         !g_sequence_iter_is_end(i); i = next) {
        struct ggw_ledger_grant *g = g_sequence_get(i);

        next = g_sequence_iter_next(i);
        if (g->server == s) {
            ggw_ledger_count_work_end(l, g, g->hedge_cost);
            ggw_ledger_drop_grant(l, g);
        }
    }
    g_ptr_array_remove_index(l->servers, index);
}

/* Returns the rule of one server, which may report its own slot count. */
static struct ggw_limit_rule
make_server_rule(const struct ggw_ledger *l,
                 const struct ggw_ledger_server_config *config)
{
    struct ggw_limit_rule rule = l->rule;

    if (config->slots > 0) {
        rule.slots = config->slots;
        if (l->busy_percent > 0) {
            rule.slots =
                ggw_policy_useful_slots(config->slots, l->busy_percent);
        }
    }
    return rule;
}

/*
 * Applies the incarnation and the end of the cold start from the VM list. The
 * end of a cold start that has passed makes a new incarnation warm, but does
 * not change the state of a process that is known already.
 */
static void
apply_start(struct ggw_ledger_server_entry *s,
            const struct ggw_ledger_server_config *config, ggw_ms now)
{
    uint64_t before = s->limit.incarnation;

    ggw_limit_set_incarnation(&s->limit, config->incarnation, now);
    if (!config->reports_cold) {
        return;
    }
    if (config->cold_until > now) {
        ggw_limit_set_cold_until(&s->limit, config->cold_until, now);
    }
    else if (before != 0 && s->limit.incarnation != before) {
        ggw_limit_set_cold_until(&s->limit, 0, now);
    }
}

void
ggw_ledger_configure(struct ggw_ledger *l, const struct ggw_limit_rule *rule,
                     int queue, const struct ggw_ledger_server_config *servers,
                     size_t len, ggw_ms now)
{
    l->rule = *rule;
    l->queue_max = (size_t)MAX(queue, 0);
    for (size_t i = 0; i < len; i++) {
        struct ggw_ledger_server_entry *s =
            ggw_ledger_find_server(l, servers[i].name);
        struct ggw_limit_rule server_rule;

        if (s == NULL) {
            s = add_server(l, &servers[i], now);
        }
        s->listed = true;
        s->closed = servers[i].closed || servers[i].out;
        if (s->paused_until > 0 && servers[i].paused_until == 0) {
            ggw_limit_end_pause(&s->limit, now);
        }
        s->paused_until = servers[i].paused_until;
        server_rule = make_server_rule(l, &servers[i]);
        ggw_limit_set_rule(&s->limit, &server_rule, now);
        apply_start(s, &servers[i], now);
        s->slots = servers[i].slots;
        g_free(s->failure_domain);
        s->failure_domain = g_strdup(servers[i].failure_domain);
        g_free(s->version);
        s->version = g_strdup(servers[i].version);
        ggw_ledger_classify(l, s);
        ggw_limit_set_draining(&s->limit, s->closed);
        if (s->out && !servers[i].out) {
            ggw_limit_set_cold(&s->limit, now);
        }
        s->out = servers[i].out;
    }
    for (guint i = l->servers->len; i > 0; i--) {
        struct ggw_ledger_server_entry *s =
            g_ptr_array_index(l->servers, i - 1);

        if (!s->listed) {
            remove_server(l, i - 1);
            continue;
        }
        s->listed = false;
    }
    ggw_ledger_dispatch(l, now);
}

void
ggw_ledger_set_policy(struct ggw_ledger *l,
                      const struct ggw_policy_ops *policy, int busy_percent)
{
    l->policy.ops = policy;
    l->busy_percent = busy_percent;
}

void
ggw_ledger_extend_hold_down(struct ggw_ledger *l, ggw_ms until)
{
    l->hold_until = MAX(l->hold_until, until);
}

/*
 * Adds a grant that another gateway reported, unless it is known or has ended.
 * A holder that has a grant no longer waits for it.
 */
static void
import_grant(struct ggw_ledger *l, const struct ggw_ledger_key *key,
             struct ggw_ledger_server_entry *s, ggw_ms expires, ggw_ms now)
{
    if (g_hash_table_contains(l->grants, key) ||
        g_hash_table_contains(l->ended, key)) {
        return;
    }
    ggw_ledger_remove_waiter(l, key);
    ggw_ledger_add_grant(l, key, s, expires, now);
}

void
ggw_ledger_import(struct ggw_ledger *l,
                  const struct ggw_ledger_handover_record *record, ggw_ms now)
{
    struct ggw_ledger_server_entry *s =
        ggw_ledger_find_server(l, record->server);
    struct ggw_ledger_key key = {(char *)record->holder, record->id};

    if (s == NULL) {
        return;
    }
    if (record->holder != NULL) {
        import_grant(l, &key, s, now + record->expires_in, now);
        return;
    }
    if (!s->observed && record->warm && !s->out && !s->limit.unproven &&
        s->limit.state == GGW_LIMIT_COLD &&
        (record->incarnation == 0 || s->limit.incarnation == 0 ||
         record->incarnation == s->limit.incarnation)) {
        struct ggw_limit_rule rule = s->limit.rule;
        uint64_t incarnation = s->limit.incarnation;

        ggw_limit_init(&s->limit, &rule, false, now);
        ggw_limit_set_incarnation(&s->limit, incarnation, now);
        ggw_limit_set_draining(&s->limit, s->closed);
    }
    ggw_ledger_dispatch(l, now);
}

GArray *
ggw_ledger_export(const struct ggw_ledger *l, ggw_ms now)
{
    GArray *out =
        g_array_new(FALSE, TRUE, sizeof(struct ggw_ledger_handover_record));
    GHashTableIter iter;
    gpointer value;

    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_server_entry *s =
            g_ptr_array_index(l->servers, i);
        struct ggw_ledger_handover_record record = {
            .server = s->name,
            .incarnation = s->limit.incarnation,
            .warm = s->limit.state == GGW_LIMIT_WARM && !s->out &&
                    s->paused_until == 0,
        };

        g_array_append_val(out, record);
    }
    g_hash_table_iter_init(&iter, l->grants);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ggw_ledger_grant *g = value;
        struct ggw_ledger_handover_record record = {
            .server = g->server->name,
            .holder = g->key.holder,
            .id = g->key.id,
            .expires_in = MAX(g->expires - now, 0),
        };

        if (!g->released) {
            g_array_append_val(out, record);
        }
    }
    return out;
}

int
ggw_ledger_available_slots(const struct ggw_ledger *l, ggw_ms now)
{
    int n = 0;
    int limited = 0;

    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_server_entry *s =
            g_ptr_array_index(l->servers, i);

        if (ggw_ledger_can_grant(l, s, now)) {
            *(s->exposure == GGW_EXPOSURE_LIMITED ? &limited : &n) +=
                MAX(ggw_limit_slots(&s->limit) - s->in_flight, 0);
        }
    }
    n += ggw_ledger_limit_exposed(l, limited);
    return MAX(n - (int)ggw_ledger_waiting_count(l), 0);
}

size_t
ggw_ledger_waiting_count(const struct ggw_ledger *l)
{
    return g_hash_table_size(l->waiting);
}

bool
ggw_ledger_server_limit(const struct ggw_ledger *l, const char *server,
                        int *in_flight, int *limit,
                        enum ggw_limit_state *state)
{
    const struct ggw_ledger_server_entry *s =
        ggw_ledger_find_server(l, server);

    if (s == NULL) {
        return false;
    }
    *in_flight = s->in_flight;
    *limit = ggw_limit_slots(&s->limit);
    *state = s->limit.state;
    return true;
}

void
ggw_ledger_summary(const struct ggw_ledger *l,
                   struct ggw_ledger_summary *summary)
{
    *summary = (struct ggw_ledger_summary){
        .waiting = (int)ggw_ledger_waiting_count(l),
        .median = l->latency.p50,
    };
    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_server_entry *s =
            g_ptr_array_index(l->servers, i);

        summary->in_flight += s->in_flight;
        if (s->closed || s->exposure == GGW_EXPOSURE_CLOSED) {
            summary->closed++;
            continue;
        }
        summary->states[s->limit.state]++;
        summary->limit += ggw_limit_slots(&s->limit);
    }
}

bool
ggw_ledger_change(struct ggw_ledger *l, struct ggw_ledger_change *change,
                  ggw_ms now)
{
    for (guint i = 0; i < l->servers->len; i++) {
        struct ggw_ledger_server_entry *s = g_ptr_array_index(l->servers, i);

        if (s->limit.state == s->notified_state) {
            continue;
        }
        *change = (struct ggw_ledger_change){
            .server = s->name,
            .from = s->notified_state,
            .to = s->limit.state,
            .limit = ggw_limit_slots(&s->limit),
            .in_flight = s->in_flight,
            .failures = s->limit.failures,
            .report_age = s->reported ? now - s->reported_at : -1,
            .slow_percent = s->slow_percent,
        };
        s->notified_state = s->limit.state;
        return true;
    }
    return false;
}
