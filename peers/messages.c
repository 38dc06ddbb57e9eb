#include "peers/internal.h"

static void
members_destroy(struct ggw_message *message)
{
    struct ggw_members_changed *m = (struct ggw_members_changed *)message;

    for (guint i = 0; i < m->members->len; i++) {
        struct ggw_member *member =
            &g_array_index(m->members, struct ggw_member, i);

        g_free(member->name);
        g_free(member->failure_domain);
        g_free(member->host);
    }
    g_array_unref(m->members);
    g_free(m);
}

const struct ggw_message_ops ggw_members_changed_ops = {
    .name = "MEMBERS_CHANGED",
    .destroy = members_destroy,
};

struct ggw_message *
ggw_members_changed_new(void)
{
    struct ggw_members_changed *m = g_new0(struct ggw_members_changed, 1);

    m->base.ops = &ggw_members_changed_ops;
    m->members = g_array_new(FALSE, TRUE, sizeof(struct ggw_member));
    return &m->base;
}

void
ggw_members_add(struct ggw_members_changed *m, const struct ggw_member *member)
{
    struct ggw_member copy = *member;

    copy.name = g_strdup(member->name);
    copy.failure_domain = g_strdup(member->failure_domain);
    copy.host = g_strdup(member->host);
    g_array_append_val(m->members, copy);
}

struct ggw_members_changed *
ggw_members_changed_copy(const struct ggw_members_changed *m)
{
    struct ggw_members_changed *copy =
        (struct ggw_members_changed *)ggw_members_changed_new();

    copy->known_gateways = m->known_gateways;
    copy->majority_valid_until = m->majority_valid_until;
    for (guint i = 0; i < m->members->len; i++) {
        ggw_members_add(copy,
                        &g_array_index(m->members, struct ggw_member, i));
    }
    return copy;
}

static void
send_destroy(struct ggw_message *message)
{
    struct ggw_peer_send *m = (struct ggw_peer_send *)message;

    g_free(m->peer);
    g_bytes_unref(m->payload);
    g_free(m);
}

const struct ggw_message_ops ggw_peer_send_ops = {
    .name = "PEER_SEND",
    .destroy = send_destroy,
};

struct ggw_message *
ggw_peer_send_new(const char *peer, enum ggw_peer_frame_type type,
                  uint64_t request_id, GBytes *payload)
{
    struct ggw_peer_send *m = g_new0(struct ggw_peer_send, 1);

    m->base.ops = &ggw_peer_send_ops;
    m->peer = g_strdup(peer);
    m->type = type;
    m->request_id = request_id;
    m->payload = g_bytes_ref(payload);
    return &m->base;
}

static void
received_destroy(struct ggw_message *message)
{
    struct ggw_peer_received *m = (struct ggw_peer_received *)message;

    g_free(m->peer);
    g_bytes_unref(m->payload);
    g_free(m);
}

const struct ggw_message_ops ggw_peer_received_ops = {
    .name = "PEER_RECEIVED",
    .destroy = received_destroy,
};

struct ggw_message *
ggw_peer_received_new(const char *peer, const struct ggw_frame *frame)
{
    struct ggw_peer_received *m = g_new0(struct ggw_peer_received, 1);

    m->base.ops = &ggw_peer_received_ops;
    m->peer = g_strdup(peer);
    m->type = (enum ggw_peer_frame_type)frame->type;
    m->request_id = frame->request_id;
    m->payload = g_bytes_new(frame->payload, frame->payload_len);
    return &m->base;
}

static void
lost_destroy(struct ggw_message *message)
{
    struct ggw_peer_lost *m = (struct ggw_peer_lost *)message;

    g_free(m->peer);
    g_free(m);
}

const struct ggw_message_ops ggw_peer_lost_ops = {
    .name = "PEER_LOST",
    .destroy = lost_destroy,
};

struct ggw_message *
ggw_peer_lost_new(const char *peer)
{
    struct ggw_peer_lost *m = g_new0(struct ggw_peer_lost, 1);

    m->base.ops = &ggw_peer_lost_ops;
    m->peer = g_strdup(peer);
    return &m->base;
}

static void
heard_destroy(struct ggw_message *message)
{
    struct ggw_peer_heard *m = (struct ggw_peer_heard *)message;

    g_free(m->peer);
    g_free(m);
}

const struct ggw_message_ops ggw_peer_heard_ops = {
    .name = "PEER_HEARD",
    .destroy = heard_destroy,
};

struct ggw_message *
ggw_peer_heard_new(const char *peer, ggw_ms rtt, ggw_ms majority_valid_until)
{
    struct ggw_peer_heard *m = g_new0(struct ggw_peer_heard, 1);

    m->base.ops = &ggw_peer_heard_ops;
    m->peer = g_strdup(peer);
    m->rtt = rtt;
    m->majority_valid_until = majority_valid_until;
    return &m->base;
}

static void
revision_destroy(struct ggw_message *message)
{
    struct ggw_peer_revision *m = (struct ggw_peer_revision *)message;

    g_free(m->peer);
    g_free(m->team);
    g_free(m);
}

const struct ggw_message_ops ggw_peer_revision_ops = {
    .name = "PEER_REVISION",
    .destroy = revision_destroy,
};

struct ggw_message *
ggw_peer_revision_new(const char *peer, const char *team, uint64_t revision)
{
    struct ggw_peer_revision *m = g_new0(struct ggw_peer_revision, 1);

    m->base.ops = &ggw_peer_revision_ops;
    m->peer = g_strdup(peer);
    m->team = g_strdup(team);
    m->revision = revision;
    return &m->base;
}
