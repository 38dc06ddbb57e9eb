#include "slots/slots.h"

static void
request_destroy(struct ggw_message *message)
{
    struct ggw_slot_request *m = (struct ggw_slot_request *)message;

    g_free(m->team);
    g_free(m->service);
    g_strfreev(m->avoid);
    g_free(m->customer);
    g_free(m->route);
    g_free(m);
}

const struct ggw_message_ops ggw_slot_request_ops = {
    .name = "SLOT_REQUEST",
    .destroy = request_destroy,
};

struct ggw_message *
ggw_slot_request_new(const char *team, const char *service, int priority,
                     ggw_ms deadline, char **avoid)
{
    struct ggw_slot_request *m = g_new0(struct ggw_slot_request, 1);

    m->base.ops = &ggw_slot_request_ops;
    m->team = g_strdup(team);
    m->service = g_strdup(service);
    m->priority = priority;
    m->deadline = deadline;
    m->avoid = g_strdupv(avoid);
    return &m->base;
}

static void
grant_destroy(struct ggw_message *message)
{
    struct ggw_slot_grant *m = (struct ggw_slot_grant *)message;

    g_free(m->vm);
    g_free(m->failure_domain);
    g_free(m->host);
    g_free(m);
}

const struct ggw_message_ops ggw_slot_grant_ops = {
    .name = "SLOT_GRANT",
    .destroy = grant_destroy,
};

struct ggw_message *
ggw_slot_grant_new(uint64_t grant, const char *vm, const char *failure_domain,
                   const char *host, uint16_t port, int connections)
{
    struct ggw_slot_grant *m = g_new0(struct ggw_slot_grant, 1);

    m->base.ops = &ggw_slot_grant_ops;
    m->grant = grant;
    m->vm = g_strdup(vm);
    m->failure_domain = g_strdup(failure_domain);
    m->host = g_strdup(host);
    m->port = port;
    m->connections = connections;
    return &m->base;
}

static void
plain_destroy(struct ggw_message *message)
{
    g_free(message);
}

const struct ggw_message_ops ggw_slot_refuse_ops = {
    .name = "SLOT_REFUSE",
    .destroy = plain_destroy,
};

struct ggw_message *
ggw_slot_refuse_new(enum ggw_slot_refusal reason, ggw_ms retry_after)
{
    struct ggw_slot_refuse *m = g_new0(struct ggw_slot_refuse, 1);

    m->base.ops = &ggw_slot_refuse_ops;
    m->reason = reason;
    m->retry_after = retry_after;
    return &m->base;
}

const struct ggw_message_ops ggw_slot_release_ops = {
    .name = "SLOT_RELEASE",
    .destroy = plain_destroy,
};

struct ggw_message *
ggw_slot_release_new(uint64_t grant, enum ggw_attempt_result result,
                     ggw_ms latency, const struct ggw_load_report *report)
{
    struct ggw_slot_release *m = g_new0(struct ggw_slot_release, 1);

    m->base.ops = &ggw_slot_release_ops;
    m->grant = grant;
    m->result = result;
    m->latency = latency;
    if (report != NULL) {
        m->report = *report;
    }
    return &m->base;
}

const struct ggw_message_ops ggw_slot_cancel_ops = {
    .name = "SLOT_CANCEL",
    .destroy = plain_destroy,
};

struct ggw_message *
ggw_slot_cancel_new(uint64_t tag)
{
    struct ggw_slot_cancel *m = g_new0(struct ggw_slot_cancel, 1);

    m->base.ops = &ggw_slot_cancel_ops;
    m->base.tag = tag;
    return &m->base;
}

static void
probe_request_destroy(struct ggw_message *message)
{
    struct ggw_probe_request *m = (struct ggw_probe_request *)message;

    g_free(m->vm);
    g_free(m->host);
    g_free(m->path);
    g_free(m);
}

const struct ggw_message_ops ggw_probe_request_ops = {
    .name = "PROBE_REQUEST",
    .destroy = probe_request_destroy,
};

struct ggw_message *
ggw_probe_request_new(const char *vm, const char *host, uint16_t port,
                      ggw_ms timeout)
{
    struct ggw_probe_request *m = g_new0(struct ggw_probe_request, 1);

    m->base.ops = &ggw_probe_request_ops;
    m->vm = g_strdup(vm);
    m->host = g_strdup(host);
    m->port = port;
    m->timeout = timeout;
    return &m->base;
}

static void
probe_result_destroy(struct ggw_message *message)
{
    struct ggw_probe_result *m = (struct ggw_probe_result *)message;

    g_free(m->vm);
    g_free(m);
}

const struct ggw_message_ops ggw_probe_result_ops = {
    .name = "PROBE_RESULT",
    .destroy = probe_result_destroy,
};

struct ggw_message *
ggw_probe_result_new(const char *vm, bool answered,
                     const struct ggw_load_report *report)
{
    struct ggw_probe_result *m = g_new0(struct ggw_probe_result, 1);

    m->base.ops = &ggw_probe_result_ops;
    m->vm = g_strdup(vm);
    m->answered = answered;
    if (report != NULL) {
        m->report = *report;
    }
    return &m->base;
}

static void
server_notice_destroy(struct ggw_message *message)
{
    struct ggw_server_notice *m = (struct ggw_server_notice *)message;

    g_free(m->vm);
    g_free(m->request);
    g_free(m);
}

const struct ggw_message_ops ggw_server_notice_ops = {
    .name = "SERVER_NOTICE",
    .destroy = server_notice_destroy,
};

struct ggw_message *
ggw_server_notice_new(const char *vm, const struct ggw_backoff_notice *notice,
                      uint64_t grant, const char *request)
{
    struct ggw_server_notice *m = g_new0(struct ggw_server_notice, 1);

    m->base.ops = &ggw_server_notice_ops;
    m->vm = g_strdup(vm);
    m->notice = *notice;
    m->grant = grant;
    m->request = g_strdup(request);
    return &m->base;
}

static void
server_backoff_destroy(struct ggw_message *message)
{
    struct ggw_server_backoff *m = (struct ggw_server_backoff *)message;

    g_free(m->vm);
    g_free(m);
}

const struct ggw_message_ops ggw_server_backoff_ops = {
    .name = "SERVER_BACKOFF",
    .destroy = server_backoff_destroy,
};

struct ggw_message *
ggw_server_backoff_new(const char *vm, enum ggw_backoff_state state,
                       ggw_ms until)
{
    struct ggw_server_backoff *m = g_new0(struct ggw_server_backoff, 1);

    m->base.ops = &ggw_server_backoff_ops;
    m->vm = g_strdup(vm);
    m->state = state;
    m->until = until;
    return &m->base;
}
