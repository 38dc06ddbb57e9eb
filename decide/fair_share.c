#include "decide/fair_share.h"

#include <math.h>

/* Time constant in ms with which earlier demand is forgotten. */
#define DEMAND_DECAY_MS 5000.0

/* Weight of a new hold time in the moving average. */
#define HOLD_TIME_WEIGHT (1.0 / 16)

/* Interval in ms at which idle flows are dropped. */
#define SWEEP_INTERVAL_MS 5000.0

/* A flow whose last request is older than this in ms is dropped. */
#define IDLE_MS 30000.0

/**
 * struct ggw_fair_share - state of one queue
 * @flows: name of a customer to its struct ggw_fair_flow
 * @nobody: flow of the requests without a customer
 * @active: flows with waiting requests
 * @rate_sum: sum of the rates of the flows that have one
 * @rated: number of these flows
 * @count: number of flows that have had a request
 * @demand: sum of the demands of all flows, decayed to @demand_at, ms
 * @demand_at: monotonic ms
 * @now: virtual time of the request served last
 * @finish: highest virtual time up to which a flow has been served
 * @swept_at: time of the last removal of idle flows, monotonic ms
 */
struct ggw_fair_share {
    GHashTable *flows;
    struct ggw_fair_flow nobody;
    GQueue active;
    double rate_sum;
    guint rated;
    guint count;
    double demand;
    ggw_ms demand_at;
    double now[GGW_FAIR_PRIORITIES];
    double finish[GGW_FAIR_PRIORITIES];
    ggw_ms swept_at;
};

static void
flow_free(gpointer data)
{
    struct ggw_fair_flow *flow = data;

    g_free(flow->customer);
    g_free(flow);
}

struct ggw_fair_share *
ggw_fair_share_new(void)
{
    struct ggw_fair_share *fs = g_new0(struct ggw_fair_share, 1);

    fs->flows =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, flow_free);
    fs->nobody.active.data = &fs->nobody;
    g_queue_init(&fs->active);
    return fs;
}

void
ggw_fair_share_free(struct ggw_fair_share *fs)
{
    g_hash_table_destroy(fs->flows);
    g_free(fs);
}

static void
set_rate(struct ggw_fair_share *fs, struct ggw_fair_flow *flow, double rate)
{
    fs->rated += (rate > 0) - (flow->rate > 0);
    fs->rate_sum = fs->rated > 0 ? fs->rate_sum + rate - flow->rate : 0;
    flow->rate = rate;
}

static double
decayed(double demand, ggw_ms since, ggw_ms now)
{
    return demand * exp(-MAX(now - since, 0) / DEMAND_DECAY_MS);
}

static void
sweep(struct ggw_fair_share *fs, ggw_ms now)
{
    GHashTableIter iter;
    gpointer value;

    if (now - fs->swept_at < SWEEP_INTERVAL_MS) {
        return;
    }
    fs->swept_at = now;
    g_hash_table_iter_init(&iter, fs->flows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_fair_flow *flow = value;

        if (flow->waiting == 0 && now - flow->demand_at > IDLE_MS) {
            set_rate(fs, flow, 0);
            fs->count--;
            g_hash_table_iter_remove(&iter);
        }
    }
}

struct ggw_fair_flow *
ggw_fair_share_flow(struct ggw_fair_share *fs, const char *customer,
                    double rate, ggw_ms now)
{
    struct ggw_fair_flow *flow;

    if (customer == NULL) {
        return &fs->nobody;
    }
    sweep(fs, now);
    flow = g_hash_table_lookup(fs->flows, customer);
    if (flow == NULL) {
        flow = g_new0(struct ggw_fair_flow, 1);
        flow->customer = g_strdup(customer);
        flow->active.data = flow;
        flow->demand_at = now;
        fs->count++;
        g_hash_table_insert(fs->flows, flow->customer, flow);
    }
    set_rate(fs, flow, rate);
    return flow;
}

void
ggw_fair_share_request(struct ggw_fair_share *fs, struct ggw_fair_flow *flow,
                       ggw_ms cost, ggw_ms now)
{
    flow->demand = decayed(flow->demand, flow->demand_at, now) + cost;
    flow->demand_at = now;
    fs->demand = decayed(fs->demand, fs->demand_at, now) + cost;
    fs->demand_at = now;
}

/* A flow without a limit counts as one with the mean of the limits. */
static double
rate_share(const struct ggw_fair_share *fs, const struct ggw_fair_flow *flow)
{
    double mean = fs->rated > 0 ? fs->rate_sum / fs->rated : 1;
    guint unrated = fs->count + 1 - fs->rated;
    double sum = fs->rate_sum + unrated * mean;

    return (flow->rate > 0 ? flow->rate : mean) / sum;
}

double
ggw_fair_share_weight(const struct ggw_fair_share *fs,
                      const struct ggw_fair_flow *flow)
{
    double demand = decayed(flow->demand, flow->demand_at, fs->demand_at);
    double demand_share = fs->demand > 0 ? demand / fs->demand : 0;

    return GGW_FAIR_DEMAND_SHARE * demand_share +
           GGW_FAIR_EQUAL_SHARE / (fs->count + 1) +
           (1 - GGW_FAIR_DEMAND_SHARE - GGW_FAIR_EQUAL_SHARE) *
               rate_share(fs, flow);
}

double
ggw_fair_share_start(const struct ggw_fair_share *fs,
                     const struct ggw_fair_flow *flow, int priority)
{
    return MAX(flow->finish[priority], fs->now[priority]);
}

void
ggw_fair_share_serve(struct ggw_fair_share *fs, struct ggw_fair_flow *flow,
                     int priority, ggw_ms cost)
{
    double start = ggw_fair_share_start(fs, flow, priority);

    fs->now[priority] = start;
    flow->finish[priority] = start + cost / ggw_fair_share_weight(fs, flow);
    fs->finish[priority] = MAX(fs->finish[priority], flow->finish[priority]);
}

void
ggw_fair_share_restart(struct ggw_fair_share *fs, int priority)
{
    fs->now[priority] = fs->finish[priority];
}

void
ggw_fair_share_add_hold_time(struct ggw_fair_share *fs, const char *customer,
                             ggw_ms held)
{
    struct ggw_fair_flow *flow = customer != NULL
                                     ? g_hash_table_lookup(fs->flows, customer)
                                     : &fs->nobody;

    if (flow != NULL) {
        flow->hold_time += flow->hold_time > 0
                               ? (held - flow->hold_time) * HOLD_TIME_WEIGHT
                               : held;
    }
}

void
ggw_fair_share_add_waiting(struct ggw_fair_share *fs,
                           struct ggw_fair_flow *flow, int class)
{
    flow->queued[class]++;
    if (flow->waiting++ == 0) {
        g_queue_push_tail_link(&fs->active, &flow->active);
    }
}

void
ggw_fair_share_drop_waiting(struct ggw_fair_share *fs,
                            struct ggw_fair_flow *flow, int class)
{
    flow->queued[class]--;
    if (--flow->waiting == 0) {
        g_queue_unlink(&fs->active, &flow->active);
    }
}

const GList *
ggw_fair_share_active(const struct ggw_fair_share *fs)
{
    return fs->active.head;
}
