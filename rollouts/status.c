#include "rollouts/status.h"

static void
status_destroy(struct ggw_message *message)
{
    g_free(((struct ggw_rollouts_status *)message)->json);
    g_free(message);
}

const struct ggw_message_ops ggw_rollouts_status_ops = {
    .name = "ROLLOUTS_STATUS",
    .destroy = status_destroy,
};

struct ggw_message *
ggw_rollouts_status_new(char *json)
{
    struct ggw_rollouts_status *m = g_new0(struct ggw_rollouts_status, 1);

    m->base.ops = &ggw_rollouts_status_ops;
    m->json = json;
    return &m->base;
}
