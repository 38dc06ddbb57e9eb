#include "rollouts/rollouts.h"

static void
limits_destroy(struct ggw_message *message)
{
    struct ggw_rollout_limits *m = (struct ggw_rollout_limits *)message;

    g_free(m->team);
    g_free(m->service);
    g_free(m->target);
    g_strfreev(m->allowed);
    g_free(m);
}

const struct ggw_message_ops ggw_rollout_limits_ops = {
    .name = "ROLLOUT_LIMITS",
    .destroy = limits_destroy,
};

struct ggw_message *
ggw_rollout_limits_new(const char *team, const char *service)
{
    struct ggw_rollout_limits *m = g_new0(struct ggw_rollout_limits, 1);

    m->base.ops = &ggw_rollout_limits_ops;
    m->team = g_strdup(team);
    m->service = g_strdup(service);
    return &m->base;
}

static void
sample_clear(gpointer data)
{
    struct ggw_rollout_sample *sample = data;

    g_free(sample->route);
    g_free(sample->server);
}

static void
counts_destroy(struct ggw_message *message)
{
    struct ggw_rollout_counts *m = (struct ggw_rollout_counts *)message;

    g_free(m->team);
    g_free(m->service);
    g_array_unref(m->samples);
    g_free(m);
}

const struct ggw_message_ops ggw_rollout_counts_ops = {
    .name = "ROLLOUT_COUNTS",
    .destroy = counts_destroy,
};

struct ggw_message *
ggw_rollout_counts_new(const char *team, const char *service)
{
    struct ggw_rollout_counts *m = g_new0(struct ggw_rollout_counts, 1);

    m->base.ops = &ggw_rollout_counts_ops;
    m->team = g_strdup(team);
    m->service = g_strdup(service);
    m->samples = g_array_new(FALSE, FALSE, sizeof(struct ggw_rollout_sample));
    g_array_set_clear_func(m->samples, sample_clear);
    return &m->base;
}

static void
order_destroy(struct ggw_message *message)
{
    struct ggw_rollout_order *m = (struct ggw_rollout_order *)message;

    g_free(m->team);
    g_free(m->service);
    g_free(m->target);
    g_free(m);
}

const struct ggw_message_ops ggw_rollout_order_ops = {
    .name = "ROLLOUT_ORDER",
    .destroy = order_destroy,
};

struct ggw_message *
ggw_rollout_order_new(const char *team, const char *service)
{
    struct ggw_rollout_order *m = g_new0(struct ggw_rollout_order, 1);

    m->base.ops = &ggw_rollout_order_ops;
    m->team = g_strdup(team);
    m->service = g_strdup(service);
    return &m->base;
}
