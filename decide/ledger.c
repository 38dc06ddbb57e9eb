#include "decide/ledger.h"

/* The servers of a ledger, and what one owner hands to the next. */

static struct ggw_ledger_entry *
add_server(struct ggw_ledger *l, const struct ggw_ledger_server_config *info,
           ggw_ms now)
{
    struct ggw_ledger_entry *s = g_new0(struct ggw_ledger_entry, 1);

    s->name = g_strdup(info->name);
    s->out = info->out;
    ggw_limit_init(&s->limit, &l->rule, !info->warm, now);
    if (info->reports_cold) {
        ggw_limit_cold_until(&s->limit, info->cold_until, now);
    }
    s->told = s->limit.state;
    g_ptr_array_add(l->servers, s);
    return s;
}

static void
remove_server(struct ggw_ledger *l, guint index)
{
    struct ggw_ledger_entry *s = g_ptr_array_index(l->servers, index);
    GSequenceIter *next;

    for (GSequenceIter *i = g_sequence_get_begin_iter(l->by_expiry);
         !g_sequence_iter_is_end(i); i = next) {
        struct ggw_ledger_grant *g = g_sequence_get(i);

        next = g_sequence_iter_next(i);
        if (g->server == s) {
            ggw_ledger_drop_grant(l, g);
        }
    }
    g_ptr_array_remove_index(l->servers, index);
}

/* The rule for one server, which may state its own number of slots. */
static struct ggw_limit_rule
rule_of(const struct ggw_ledger *l,
        const struct ggw_ledger_server_config *info)
{
    struct ggw_limit_rule rule = l->rule;

    if (info->slots > 0) {
        rule.slots = info->slots;
        if (l->busy_percent > 0) {
            rule.slots = ggw_policy_useful_slots(info->slots, l->busy_percent);
        }
    }
    return rule;
}

/* A new incarnation, or a cold start that was announced since. */
static void
note_start(struct ggw_ledger_entry *s,
           const struct ggw_ledger_server_config *info, ggw_ms now)
{
    uint64_t before = s->limit.incarnation;

    ggw_limit_incarnation(&s->limit, info->incarnation, now);
    if (!info->reports_cold) {
        return;
    }
    if (info->cold_until > now) {
        ggw_limit_cold_until(&s->limit, info->cold_until, now);
    }
    else if (before != 0 && s->limit.incarnation != before) {
        ggw_limit_cold_until(&s->limit, 0, now);
    }
}

void
ggw_ledger_configure(struct ggw_ledger *l, const struct ggw_limit_rule *rule,
                     int queue, const struct ggw_ledger_server_config *servers,
                     size_t len, ggw_ms now)
{
    l->rule = *rule;
    ggw_admission_set_max(l->queue, (size_t)MAX(queue, 0));
    for (size_t i = 0; i < len; i++) {
        struct ggw_ledger_entry *s =
            ggw_ledger_find_server(l, servers[i].name);
        struct ggw_limit_rule server_rule;

        if (s == NULL) {
            s = add_server(l, &servers[i], now);
        }
        s->listed = true;
        s->closed = servers[i].closed || servers[i].out;
        server_rule = rule_of(l, &servers[i]);
        ggw_limit_set_rule(&s->limit, &server_rule, now);
        note_start(s, &servers[i], now);
        s->slots = servers[i].slots;
        g_free(s->failure_domain);
        s->failure_domain = g_strdup(servers[i].failure_domain);
        ggw_limit_set_draining(&s->limit, s->closed);
        if (s->out && !servers[i].out) {
            ggw_limit_set_cold(&s->limit, now);
        }
        s->out = servers[i].out;
    }
    for (guint i = l->servers->len; i > 0; i--) {
        struct ggw_ledger_entry *s = g_ptr_array_index(l->servers, i - 1);

        if (!s->listed) {
            remove_server(l, i - 1);
            continue;
        }
        s->listed = false;
    }
    ggw_ledger_serve(l, now);
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

/* A holder that has a grant does not wait for it any more. */
static void
import_grant(struct ggw_ledger *l, const struct ggw_ledger_key *key,
             struct ggw_ledger_entry *s, ggw_ms expires, ggw_ms now)
{
    if (g_hash_table_contains(l->grants, key) ||
        g_hash_table_contains(l->ended, key)) {
        return;
    }
    ggw_ledger_remove_waiting(l, key);
    ggw_ledger_add_grant(l, key, s, expires, now);
}

void
ggw_ledger_import(struct ggw_ledger *l,
                  const struct ggw_ledger_handover_record *state, ggw_ms now)
{
    struct ggw_ledger_entry *s = ggw_ledger_find_server(l, state->server);
    struct ggw_ledger_key key = {(char *)state->holder, state->id};

    if (s == NULL) {
        return;
    }
    if (state->holder != NULL) {
        import_grant(l, &key, s, now + state->expires_in, now);
        return;
    }
    if (!s->touched && state->warm && !s->out &&
        s->limit.state == GGW_LIMIT_COLD &&
        (state->incarnation == 0 || s->limit.incarnation == 0 ||
         state->incarnation == s->limit.incarnation)) {
        uint64_t incarnation = s->limit.incarnation;

        ggw_limit_init(&s->limit, &l->rule, false, now);
        ggw_limit_incarnation(&s->limit, incarnation, now);
        ggw_limit_set_draining(&s->limit, s->closed);
    }
    ggw_ledger_serve(l, now);
}

GArray *
ggw_ledger_export(const struct ggw_ledger *l, ggw_ms now)
{
    GArray *out =
        g_array_new(FALSE, TRUE, sizeof(struct ggw_ledger_handover_record));
    GHashTableIter iter;
    gpointer value;

    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_entry *s = g_ptr_array_index(l->servers, i);
        struct ggw_ledger_handover_record state = {
            .server = s->name,
            .incarnation = s->limit.incarnation,
            .warm = s->limit.state == GGW_LIMIT_WARM && !s->out,
        };

        g_array_append_val(out, state);
    }
    g_hash_table_iter_init(&iter, l->grants);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ggw_ledger_grant *g = value;
        struct ggw_ledger_handover_record state = {
            .server = g->server->name,
            .holder = g->key.holder,
            .id = g->key.id,
            .expires_in = MAX(g->expires - now, 0),
        };

        if (!g->done) {
            g_array_append_val(out, state);
        }
    }
    return out;
}

int
ggw_ledger_available_slots(const struct ggw_ledger *l, ggw_ms now)
{
    int n = 0;

    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_entry *s = g_ptr_array_index(l->servers, i);

        if (ggw_ledger_is_open(l, s, now)) {
            n += MAX(ggw_limit_slots(&s->limit) - s->in_flight, 0);
        }
    }
    return MAX(n - (int)ggw_ledger_waiting(l), 0);
}

size_t
ggw_ledger_waiting(const struct ggw_ledger *l)
{
    return g_hash_table_size(l->waiting);
}

bool
ggw_ledger_server_limit(const struct ggw_ledger *l, const char *server,
                        int *in_flight, int *limit,
                        enum ggw_limit_state *state)
{
    const struct ggw_ledger_entry *s = ggw_ledger_find_server(l, server);

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
        .waiting = (int)ggw_ledger_waiting(l),
        .median = l->latency.p50,
    };
    for (guint i = 0; i < l->servers->len; i++) {
        const struct ggw_ledger_entry *s = g_ptr_array_index(l->servers, i);

        summary->in_flight += s->in_flight;
        if (s->closed) {
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
        struct ggw_ledger_entry *s = g_ptr_array_index(l->servers, i);

        if (s->limit.state == s->told) {
            continue;
        }
        *change = (struct ggw_ledger_change){
            .server = s->name,
            .from = s->told,
            .to = s->limit.state,
            .limit = ggw_limit_slots(&s->limit),
            .in_flight = s->in_flight,
            .failures = s->limit.failures,
            .report_age = s->reported ? now - s->reported_at : -1,
            .slow_percent = s->slow_percent,
        };
        s->told = s->limit.state;
        return true;
    }
    return false;
}
