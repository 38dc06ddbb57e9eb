#include "common/metrics.h"
#include "proxy/state.h"

/* What is kept of a service and its kinds beyond single requests. */

/* Share of spare_retries that goes to retries; the rest goes to hedges. */
#define RETRY_SHARE 0.3

/*
 * Number of gateways that share spare_retries. Dead members that are still
 * listed count as well, and so do those that never said hello to this one.
 */
static int
gateway_count(const struct ggw_proxy *proxy)
{
    const struct ggw_members_changed *m = proxy->members;

    return m != NULL ? MAX((int)m->members->len, m->known_gateways) : 1;
}

struct ggw_proxy_service_state *
ggw_proxy_service_state(struct ggw_proxy *proxy, const struct ggw_tree *tree,
                        const struct ggw_service_rule *rule, ggw_ms now)
{
    g_autofree char *key = g_strdup_printf("%s/%s", tree->team, rule->name);
    struct ggw_proxy_service_state *t =
        g_hash_table_lookup(proxy->services, key);
    double spare;

    if (t == NULL) {
        t = g_new0(struct ggw_proxy_service_state, 1);
        ggw_retry_budget_init(&t->retries, rule->retry_percent, now);
        ggw_retry_budget_init(&t->hedges, rule->hedge_percent, now);
        t->kinds = ggw_proxy_kinds_new();
        g_hash_table_insert(proxy->services, g_strdup(key), t);
    }
    ggw_retry_budget_set_percent(&t->retries, rule->retry_percent);
    ggw_retry_budget_set_percent(&t->hedges, rule->hedge_percent);
    spare = ggw_retry_spare_part(rule->spare_retries, gateway_count(proxy),
                                 now - proxy->started_at);
    ggw_retry_budget_set_spare(&t->retries, RETRY_SHARE * spare);
    ggw_retry_budget_set_spare(&t->hedges, (1 - RETRY_SHARE) * spare);
    return t;
}

struct ggw_proxy_kind_state *
ggw_proxy_kind_state(struct ggw_proxy_service_state *t,
                     const struct ggw_tree *tree,
                     const struct ggw_service_rule *rule,
                     const struct ggw_kind *kind)
{
    struct ggw_proxy_kind_state *k = g_hash_table_lookup(t->kinds, kind->name);
    g_autofree char *service = NULL;
    g_autofree char *name = NULL;

    if (k != NULL) {
        return k;
    }
    k = g_new0(struct ggw_proxy_kind_state, 1);
    service = ggw_metric_label(rule->name);
    k->labels = g_strdup_printf("team=\"%s\",service=\"%s\",kind=\"%s\"",
                                tree->team, service, kind->name);
    name = g_strdup_printf("ggw_request_ms{%s}", k->labels);
    k->latency_histogram = ggw_metric_histogram(name);
    g_hash_table_insert(t->kinds, g_strdup(kind->name), k);
    return k;
}
