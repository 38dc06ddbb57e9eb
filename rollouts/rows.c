#include "rollouts/rows.h"

static void
save_destroy(struct ggw_message *message)
{
    struct ggw_rollout_save *m = (struct ggw_rollout_save *)message;

    g_free(m->service);
    g_free(m->record);
    g_free(m->target);
    g_free(m);
}

const struct ggw_message_ops ggw_rollout_save_ops = {
    .name = "ROLLOUT_SAVE",
    .destroy = save_destroy,
};

struct ggw_message *
ggw_rollout_save_new(const char *service)
{
    struct ggw_rollout_save *m = g_new0(struct ggw_rollout_save, 1);

    m->base.ops = &ggw_rollout_save_ops;
    m->service = g_strdup(service);
    return &m->base;
}

static void
saved_destroy(struct ggw_message *message)
{
    struct ggw_rollout_saved *m = (struct ggw_rollout_saved *)message;

    g_free(m->record);
    g_free(m->target);
    g_free(m);
}

const struct ggw_message_ops ggw_rollout_saved_ops = {
    .name = "ROLLOUT_SAVED",
    .destroy = saved_destroy,
};

struct ggw_rollout_saved *
ggw_rollout_saved_new(enum ggw_platform_status status)
{
    struct ggw_rollout_saved *m = g_new0(struct ggw_rollout_saved, 1);

    m->base.ops = &ggw_rollout_saved_ops;
    m->status = status;
    return m;
}
