#include "claims/claims.h"

static void
request_destroy(struct ggw_message *message)
{
    struct ggw_claim_request *m = (struct ggw_claim_request *)message;

    g_free(m->team);
    g_free(m->service);
    g_free(m->order);
    g_free(m);
}

static void
plain_destroy(struct ggw_message *message)
{
    g_free(message);
}

const struct ggw_message_ops ggw_claim_request_ops = {
    .name = "CLAIM_REQUEST",
    .destroy = request_destroy,
};

const struct ggw_message_ops ggw_claim_result_ops = {
    .name = "CLAIM_RESULT",
    .destroy = plain_destroy,
};

const struct ggw_message_ops ggw_claim_settle_ops = {
    .name = "CLAIM_SETTLE",
    .destroy = plain_destroy,
};

struct ggw_message *
ggw_claim_request_new(const char *team, const char *service, const char *order,
                      ggw_ms deadline)
{
    struct ggw_claim_request *m = g_new0(struct ggw_claim_request, 1);

    m->base.ops = &ggw_claim_request_ops;
    m->team = g_strdup(team);
    m->service = g_strdup(service);
    m->order = g_strdup(order);
    m->deadline = deadline;
    return &m->base;
}

struct ggw_message *
ggw_claim_settle_new(uint64_t claim, enum ggw_claim_outcome outcome,
                     int status)
{
    struct ggw_claim_settle *m = g_new0(struct ggw_claim_settle, 1);

    m->base.ops = &ggw_claim_settle_ops;
    m->claim = claim;
    m->outcome = outcome;
    m->status = status;
    return &m->base;
}
