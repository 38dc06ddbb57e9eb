#include "customers/allotments.h"

#include <glib.h>

static void
request_destroy(struct ggw_message *message)
{
    struct ggw_allotment_request *m = (struct ggw_allotment_request *)message;

    g_free(m->team);
    g_free(m->customer);
    g_free(m);
}

const struct ggw_message_ops ggw_allotment_request_ops = {
    .name = "ALLOTMENT_REQUEST",
    .destroy = request_destroy,
};

struct ggw_message *
ggw_allotment_request_new(const char *team, const char *customer,
                          ggw_ms deadline)
{
    struct ggw_allotment_request *m = g_new0(struct ggw_allotment_request, 1);

    m->base.ops = &ggw_allotment_request_ops;
    m->team = g_strdup(team);
    m->customer = g_strdup(customer);
    m->deadline = deadline;
    return &m->base;
}

static void
result_destroy(struct ggw_message *message)
{
    struct ggw_allotment_result *m = (struct ggw_allotment_result *)message;

    g_free(m->owner);
    g_free(m);
}

const struct ggw_message_ops ggw_allotment_result_ops = {
    .name = "ALLOTMENT_RESULT",
    .destroy = result_destroy,
};

struct ggw_message *
ggw_allotment_result_new(bool permitted, ggw_ms retry_after)
{
    struct ggw_allotment_result *m = g_new0(struct ggw_allotment_result, 1);

    m->base.ops = &ggw_allotment_result_ops;
    m->permitted = permitted;
    m->retry_after = retry_after;
    m->grant_age = -1;
    return &m->base;
}

static void
return_destroy(struct ggw_message *message)
{
    struct ggw_allotment_return *m = (struct ggw_allotment_return *)message;

    g_free(m->team);
    g_free(m->customer);
    g_free(m);
}

const struct ggw_message_ops ggw_allotment_return_ops = {
    .name = "ALLOTMENT_RETURN",
    .destroy = return_destroy,
};

struct ggw_message *
ggw_allotment_return_new(const char *team, const char *customer,
                         ggw_ms used_at)
{
    struct ggw_allotment_return *m = g_new0(struct ggw_allotment_return, 1);

    m->base.ops = &ggw_allotment_return_ops;
    m->team = g_strdup(team);
    m->customer = g_strdup(customer);
    m->used_at = used_at;
    return &m->base;
}

static void
status_destroy(struct ggw_message *message)
{
    struct ggw_allotments_status *m = (struct ggw_allotments_status *)message;

    json_decref(m->json);
    g_free(m);
}

const struct ggw_message_ops ggw_allotments_status_ops = {
    .name = "ALLOTMENTS_STATUS",
    .destroy = status_destroy,
};

struct ggw_message *
ggw_allotments_status_new(json_t *json)
{
    struct ggw_allotments_status *m = g_new0(struct ggw_allotments_status, 1);

    m->base.ops = &ggw_allotments_status_ops;
    m->json = json;
    return &m->base;
}
