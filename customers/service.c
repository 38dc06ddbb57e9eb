#include <math.h>

#include "common/metrics.h"
#include "config/config.h"
#include "customers/internal.h"

/* Interval at which waiting requests are looked at, in ms. */
#define TICK_MS 10

/* Interval of the check for pauses of this process, in ms. */
#define HOUSEKEEPING_MS 250

/* Checks per status message and search for unused state. */
#define STATUS_EVERY 4

/*
 * Time in ms after which the state of a customer without requests is dropped.
 * It is longer than a bucket takes to fill up at usual settings.
 */
#define UNUSED_MS 60000.0

/* Greatest number of customers with metrics of their own. */
#define MAX_METRICS 100

static struct ggw_allotments *
self_of(struct ggw_service *service)
{
    return (struct ggw_allotments *)service;
}

ggw_ms
ggw_allotments_now(const struct ggw_allotments *p)
{
    return ggw_kernel_now(p->base.kernel);
}

const struct ggw_customer_rule *
ggw_allotments_rule(const struct ggw_allotments *p, const char *team,
                    const char *customer)
{
    const struct ggw_tree *tree = g_hash_table_lookup(p->trees, team);

    return tree != NULL ? ggw_tree_customer(tree, customer) : NULL;
}

static uint64_t *
customer_metric(const struct ggw_allotments_customer *c, const char *result)
{
    g_autofree char *customer = ggw_metric_label(c->name);
    g_autofree char *name = g_strdup_printf(
        "ggw_customer_requests_total{team=\"%s\",customer=\"%s\","
        "result=\"%s\"}",
        c->team, customer, result);

    return ggw_counter(name);
}

/* The first customers that are seen keep their metrics. */
static bool
may_have_metrics(struct ggw_allotments *p, const char *key)
{
    if (!g_hash_table_contains(p->with_metrics, key) &&
        g_hash_table_size(p->with_metrics) < MAX_METRICS) {
        g_hash_table_add(p->with_metrics, g_strdup(key));
    }
    return g_hash_table_contains(p->with_metrics, key);
}

struct ggw_allotments_customer *
ggw_allotments_find(struct ggw_allotments *p, const char *team,
                    const char *customer)
{
    g_autofree char *key = g_strconcat(team, "/", customer, NULL);

    return g_hash_table_lookup(p->customers, key);
}

struct ggw_allotments_customer *
ggw_allotments_customer(struct ggw_allotments *p, const char *team,
                        const char *customer)
{
    g_autofree char *key = g_strconcat(team, "/", customer, NULL);
    struct ggw_allotments_customer *c = g_hash_table_lookup(p->customers, key);

    if (c == NULL) {
        c = g_new0(struct ggw_allotments_customer, 1);
        c->team = g_strdup(team);
        c->name = g_strdup(customer);
        g_queue_init(&c->waiting);
        if (may_have_metrics(p, key)) {
            c->permitted = customer_metric(c, "permitted");
            c->refused = customer_metric(c, "refused");
        }
        g_hash_table_insert(p->customers, g_strdup(key), c);
    }
    c->used_at = ggw_allotments_now(p);
    return c;
}

static void
customer_free(void *data)
{
    struct ggw_allotments_customer *c = data;

    g_queue_clear_full(&c->waiting, g_free);
    g_free(c->owner);
    g_free(c->team);
    g_free(c->name);
    g_free(c);
}

static json_t *
customer_json(const struct ggw_allotments *p,
              const struct ggw_allotments_customer *c)
{
    const struct ggw_customer_rule *rule =
        ggw_allotments_rule(p, c->team, c->name);

    return json_pack(
        "{s:s, s:s, s:f, s:f, s:f, s:I, s:I, s:i, s:s, s:b, s:f}", "team",
        c->team, "customer", c->name, "rate", rule != NULL ? rule->rate : 0.0,
        "burst", rule != NULL ? rule->burst : 0.0, "demand", c->holder.demand,
        "permitted", (json_int_t)c->permitted_total, "refused",
        (json_int_t)c->refused_total, "waiting", (int)c->waiting.length,
        "owner", c->owner != NULL ? c->owner : "", "counted_here",
        (int)c->owned, "tokens", c->owned ? c->bucket.level : 0.0);
}

static void
send_status(struct ggw_allotments *p)
{
    GHashTableIter iter;
    gpointer value;
    json_t *json;

    if (g_hash_table_size(p->customers) == 0) {
        return;
    }
    json = json_array();
    g_hash_table_iter_init(&iter, p->customers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        json_array_append_new(json, customer_json(p, value));
    }
    ggw_kernel_send(p->base.kernel, "proxy", &p->base,
                    ggw_allotments_status_new(json));
}

static gboolean
is_unused(gpointer key, gpointer value, gpointer user_data)
{
    const struct ggw_allotments_customer *c = value;
    const ggw_ms *now = user_data;

    return g_queue_is_empty(
               &((struct ggw_allotments_customer *)value)->waiting) &&
           *now - c->used_at > UNUSED_MS;
}

static void
housekeeping_cb(uv_timer_t *timer)
{
    struct ggw_allotments *p = timer->data;
    ggw_ms now = ggw_allotments_now(p);

    ggw_allotments_check(p);
    if (++p->checks % STATUS_EVERY == 0) {
        g_hash_table_foreach_remove(p->customers, is_unused, &now);
        send_status(p);
    }
}

static void
tick_cb(uv_timer_t *timer)
{
    struct ggw_allotments *p = timer->data;

    ggw_allotments_check(p);
    ggw_allotments_run(p);
}

static bool
start(struct ggw_service *service, GError **error)
{
    struct ggw_allotments *p = self_of(service);
    uv_loop_t *loop = ggw_kernel_loop(service->kernel);

    p->ran_at = ggw_allotments_now(p);
    p->since = p->ran_at;
    uv_timer_init(loop, &p->tick);
    uv_timer_init(loop, &p->housekeeping);
    p->tick.data = p;
    p->housekeeping.data = p;
    uv_timer_start(&p->housekeeping, housekeeping_cb, HOUSEKEEPING_MS,
                   HOUSEKEEPING_MS);
    return true;
}

/* The tick runs only while requests wait. */
static void
update_tick(struct ggw_allotments *p)
{
    bool needed = p->waiting > 0;

    if (uv_is_closing((uv_handle_t *)&p->tick)) {
        return;
    }
    if (needed && !uv_is_active((uv_handle_t *)&p->tick)) {
        uv_timer_start(&p->tick, tick_cb, TICK_MS, TICK_MS);
    }
    else if (!needed) {
        uv_timer_stop(&p->tick);
    }
}

static void
receive(struct ggw_service *service, struct ggw_message *m)
{
    struct ggw_allotments *p = self_of(service);

    ggw_allotments_check(p);
    if (m->ops == &ggw_allotment_request_ops) {
        ggw_allotments_request(p, (struct ggw_allotment_request *)m);
    }
    else if (m->ops == &ggw_allotment_return_ops) {
        ggw_allotments_return(p, (struct ggw_allotment_return *)m);
    }
    else if (m->ops == &ggw_peer_received_ops) {
        ggw_allotments_on_frame(p, (struct ggw_peer_received *)m);
    }
    else if (m->ops == &ggw_peer_heard_ops) {
        p->majority_valid_until =
            ((struct ggw_peer_heard *)m)->majority_valid_until;
    }
    else if (m->ops == &ggw_members_changed_ops) {
        ggw_allotments_on_members(p, (struct ggw_members_changed *)m);
    }
    else if (m->ops == &ggw_peer_lost_ops) {
        ggw_allotments_on_lost(p, ((struct ggw_peer_lost *)m)->peer);
    }
    else if (m->ops == &ggw_config_in_force_ops) {
        struct ggw_tree *tree = ((struct ggw_config_in_force *)m)->tree;

        g_hash_table_replace(p->trees, g_strdup(tree->team),
                             ggw_tree_ref(tree));
        ggw_allotments_run(p);
    }
    update_tick(p);
}

static void
stop(struct ggw_service *service)
{
    struct ggw_allotments *p = self_of(service);

    if (p->tick.data != NULL && !uv_is_closing((uv_handle_t *)&p->tick)) {
        uv_close((uv_handle_t *)&p->tick, NULL);
        uv_close((uv_handle_t *)&p->housekeeping, NULL);
    }
}

static void
destroy(struct ggw_service *service)
{
    struct ggw_allotments *p = self_of(service);

    g_hash_table_destroy(p->customers);
    g_hash_table_destroy(p->trees);
    g_hash_table_destroy(p->lost);
    g_hash_table_destroy(p->with_metrics);
    if (p->members != NULL) {
        p->members->base.ops->destroy(&p->members->base);
        p->changed->base.ops->destroy(&p->changed->base);
    }
    g_free(p->self);
    g_free(p);
}

static const struct ggw_service_ops ops = {
    .name = "allotments",
    .start = start,
    .receive = receive,
    .stop = stop,
    .destroy = destroy,
};

struct ggw_service *
ggw_allotments_service_new(const char *self)
{
    struct ggw_allotments *p = g_new0(struct ggw_allotments, 1);

    p->base.ops = &ops;
    p->self = g_strdup(self);
    p->majority_valid_until = -INFINITY;
    p->customers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, customer_free);
    p->trees = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                     (GDestroyNotify)ggw_tree_unref);
    p->lost = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    p->with_metrics =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return &p->base;
}
