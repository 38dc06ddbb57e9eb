#include "config/config.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/metrics.h"
#include "config/exchange.h"
#include "config/row.h"
#include "decide/revision.h"
#include "peers/peers.h"
#include "platform/platform.h"

#define PART "config"

/*
 * A slow platform may take this long; the next reads do not wait for it, so
 * that a silent one delays a change by little when it answers again.
 */
#define READ_TIMEOUT 2000
#define MAX_READS 4

/* Repairs a CONFIG_PUT lost with a link; the target is 3 s to everywhere. */
#define ASK_PEERS_MS 2000

/*
 * Most reads ask only for rows changed since the last one. A full read now
 * and then finds the rows of a table that was restored from a copy, whose
 * counters may be lower.
 */
#define FULL_READ_EVERY 20

/*
 * A gateway that does not read the store asks a peer for a higher
 * revision after this time: by then it has usually been given it.
 */
#define PULL_AFTER_MS 400.0

/* A peer that was asked has this long before another one is. */
#define PULL_AGAIN_MS 2000.0

/* Limits what a faulty peer can make a gateway remember. */
#define MAX_TEAMS 1000

/*
 * @json, @tree: in force; NULL until there are settings
 * @refused: highest revision that did not pass the check
 * @pull_at: when a peer with a higher one is asked for it; 0: none was heard
 */
struct team {
    char *name;
    char *json;
    struct ggw_tree *tree;
    uint64_t refused;
    ggw_ms pull_at;
};

struct priv {
    struct ggw_service base;
    ggw_ms poll;
    uv_timer_t poll_timer;
    uv_timer_t ask_timer;
    GRand *rand;
    GHashTable *teams; /* name, struct team */
    int64_t seen;      /* highest mod_revision read */
    unsigned reads;
    unsigned reads_open; /* without a result yet */
    unsigned alive;      /* other gateways */
    uint64_t next_request;
};

static void
in_force_destroy(struct ggw_message *message)
{
    ggw_tree_unref(((struct ggw_config_in_force *)message)->tree);
    g_free(message);
}

const struct ggw_message_ops ggw_config_in_force_ops = {
    .name = "CONFIG_IN_FORCE",
    .destroy = in_force_destroy,
};

struct ggw_message *
ggw_config_in_force_new(struct ggw_tree *tree)
{
    struct ggw_config_in_force *m = g_new0(struct ggw_config_in_force, 1);

    m->base.ops = &ggw_config_in_force_ops;
    m->tree = ggw_tree_ref(tree);
    return &m->base;
}

static void
given_destroy(struct ggw_message *message)
{
    struct ggw_config_given *m = (struct ggw_config_given *)message;

    g_free(m->team);
    g_free(m->json);
    g_free(m);
}

const struct ggw_message_ops ggw_config_given_ops = {
    .name = "CONFIG_GIVEN",
    .destroy = given_destroy,
};

struct ggw_message *
ggw_config_given_new(const char *team, uint64_t revision, const char *json)
{
    struct ggw_config_given *m = g_new0(struct ggw_config_given, 1);

    m->base.ops = &ggw_config_given_ops;
    m->team = g_strdup(team);
    m->revision = revision;
    m->json = g_strdup(json);
    return &m->base;
}

static void
team_free(void *item)
{
    struct team *t = item;

    g_free(t->name);
    g_free(t->json);
    ggw_tree_unref(t->tree);
    g_free(t);
}

static struct team *
find_team(struct priv *p, const char *name)
{
    struct team *t = g_hash_table_lookup(p->teams, name);

    if (t == NULL && g_hash_table_size(p->teams) < MAX_TEAMS) {
        t = g_new0(struct team, 1);
        t->name = g_strdup(name);
        g_hash_table_insert(p->teams, t->name, t);
    }
    return t;
}

/* @peer: NULL sends to all */
static void
send_put(struct priv *p, const struct team *t, const char *peer,
         uint64_t request_id)
{
    struct ggw_config_offer offer = {
        .team = t->name,
        .revision = t->tree->revision,
        .json = t->json,
    };
    g_autoptr(GBytes) payload = ggw_config_offer_pack(&offer);

    ggw_kernel_send(
        p->base.kernel, "peers", &p->base,
        ggw_peer_send_new(peer, GGW_PEER_CONFIG_PUT, request_id, payload));
}

static void
refuse(struct team *t, uint64_t revision, const char *source,
       const GError *error)
{
    t->refused = revision;
    ggw_count("ggw_config_refused_total");
    ggw_log_error(PART,
                  "team %s: revision %" G_GUINT64_FORMAT
                  " from %s is not applied: %s",
                  t->name, (guint64)revision, source, error->message);
}

/* Applies settings that are newer than those in force and passes them on. */
static void
offer_settings(struct priv *p, const char *team, uint64_t revision,
               const char *json, const char *source)
{
    struct team *t = find_team(p, team);
    g_autoptr(GError) error = NULL;
    struct ggw_tree *tree;

    if (t == NULL) {
        ggw_count("ggw_config_teams_exceeded_total");
        return;
    }
    switch (ggw_revision_decide(t->tree != NULL ? t->tree->revision : 0,
                                revision)) {
    case GGW_REVISION_OLDER:
        ggw_count("ggw_config_older_total");
        return;
    case GGW_REVISION_SAME:
        return;
    case GGW_REVISION_APPLY:
        break;
    }
    if (revision == t->refused) {
        return;
    }
    tree = ggw_tree_parse(team, revision, json, &error);
    if (tree == NULL) {
        refuse(t, revision, source, error);
        return;
    }
    ggw_tree_unref(t->tree);
    t->tree = tree;
    t->pull_at = 0;
    g_free(t->json);
    t->json = g_strdup(json);
    ggw_count("ggw_config_applied_total");
    ggw_log_info(PART,
                 "team %s: revision %" G_GUINT64_FORMAT " in force, from %s",
                 team, (guint64)revision, source);
    ggw_kernel_publish(p->base.kernel, &p->base,
                       ggw_config_in_force_new(tree));
    if (p->poll > 0) {
        send_put(p, t, NULL, ++p->next_request);
    }
}

static void
read_table(struct priv *p)
{
    struct ggw_txn *txn = ggw_txn_new(READ_TIMEOUT);

    if (p->reads++ % FULL_READ_EVERY != 0) {
        txn->min_mod_revision = p->seen + 1;
    }
    p->reads_open++;
    ggw_txn_read(txn, GGW_CONFIG_PREFIX);
    ggw_kernel_send(p->base.kernel, "platform", &p->base, &txn->base);
}

static void
poll_cb(uv_timer_t *timer)
{
    struct priv *p = timer->data;
    double jitter = g_rand_double_range(p->rand, 0.9, 1.1);

    if (p->reads_open < MAX_READS) {
        read_table(p);
    }
    uv_timer_start(timer, poll_cb, (uint64_t)(p->poll * jitter), 0);
}

static void
offer_row(struct priv *p, const struct ggw_row *row)
{
    const char *team = row->key + strlen(GGW_CONFIG_PREFIX);
    g_autoptr(GError) error = NULL;
    struct ggw_config_row parsed;
    char *json;

    if (ggw_config_row_parse(row->value, &parsed, &error)) {
        json = json_dumps(parsed.tree, JSON_COMPACT);
        offer_settings(p, team, parsed.revision, json, "the platform");
        free(json);
    }
    else {
        ggw_count("ggw_config_refused_total");
        ggw_log_error(PART, "team %s: %s", team, error->message);
    }
    ggw_config_row_clear(&parsed);
}

static void
receive_rows(struct priv *p, const struct ggw_txn_result *result)
{
    p->reads_open--;
    if (result->status == GGW_PLATFORM_OK) {
        for (guint i = 0; i < result->rows->len; i++) {
            const struct ggw_row *row =
                &g_array_index(result->rows, struct ggw_row, i);

            if (g_str_has_prefix(row->key, GGW_CONFIG_PREFIX)) {
                offer_row(p, row);
                p->seen = MAX(p->seen, row->mod_revision);
            }
        }
    }
}

/* Asks all peers for what is newer than the settings in force. */
static void
ask_peers(struct priv *p)
{
    struct ggw_config_query query;
    g_autoptr(GBytes) payload = NULL;
    GHashTableIter iter;
    void *item;

    ggw_config_query_init(&query);
    g_hash_table_iter_init(&iter, p->teams);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const struct team *t = item;

        if (t->tree != NULL) {
            ggw_config_query_add(&query, t->name, t->tree->revision);
        }
    }
    payload = ggw_config_query_pack(&query);
    ggw_config_query_clear(&query);
    ggw_kernel_send(p->base.kernel, "peers", &p->base,
                    ggw_peer_send_new(NULL, GGW_PEER_CONFIG_GET,
                                      ++p->next_request, payload));
}

static void
ask_cb(uv_timer_t *timer)
{
    ask_peers(timer->data);
}

static void
answer_query(struct priv *p, const struct ggw_peer_received *frame)
{
    struct ggw_config_query query;
    GHashTableIter iter;
    void *item;

    if (ggw_config_query_unpack(frame->payload, &query)) {
        g_hash_table_iter_init(&iter, p->teams);
        while (g_hash_table_iter_next(&iter, NULL, &item)) {
            const struct team *t = item;

            if (t->tree != NULL &&
                ggw_config_query_wants(&query, t->name, t->tree->revision)) {
                send_put(p, t, frame->peer, frame->request_id);
            }
        }
    }
    else {
        ggw_count("ggw_config_malformed_frames_total");
    }
    ggw_config_query_clear(&query);
}

static void
receive_offer(struct priv *p, const struct ggw_peer_received *frame)
{
    struct ggw_config_offer offer;

    if (ggw_config_offer_unpack(frame->payload, &offer)) {
        offer_settings(p, offer.team, offer.revision, offer.json, frame->peer);
    }
    else {
        ggw_count("ggw_config_malformed_frames_total");
    }
    ggw_config_offer_clear(&offer);
}

/*
 * A peer has a higher revision. A gateway that reads the store asks
 * all peers from time to time anyway.
 */
static void
receive_revision(struct priv *p, const struct ggw_peer_revision *m)
{
    struct team *t = p->poll > 0 ? NULL : find_team(p, m->team);
    ggw_ms now = ggw_kernel_now(p->base.kernel);
    struct ggw_config_query query;
    g_autoptr(GBytes) payload = NULL;

    if (t == NULL || m->revision == t->refused) {
        return;
    }
    if (t->pull_at == 0) {
        t->pull_at = now + PULL_AFTER_MS;
    }
    if (now < t->pull_at) {
        return;
    }
    t->pull_at = now + PULL_AGAIN_MS;
    ggw_config_query_init(&query);
    query.team = g_strdup(m->team);
    payload = ggw_config_query_pack(&query);
    ggw_config_query_clear(&query);
    ggw_kernel_send(p->base.kernel, "peers", &p->base,
                    ggw_peer_send_new(m->peer, GGW_PEER_CONFIG_GET,
                                      ++p->next_request, payload));
}

/* A gateway that joined may know settings that this one does not. */
static void
receive_members(struct priv *p, const struct ggw_members_changed *changed)
{
    unsigned alive = 0;

    for (guint i = 0; i < changed->members->len; i++) {
        const struct ggw_member *m =
            &g_array_index(changed->members, struct ggw_member, i);

        if (!m->self && m->state == GGW_MEMBER_ALIVE) {
            alive++;
        }
    }
    if (alive > p->alive && p->poll > 0) {
        ask_peers(p);
    }
    p->alive = alive;
}

static void
config_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct priv *p = (struct priv *)service;

    if (message->ops == &ggw_txn_result_ops) {
        receive_rows(p, (struct ggw_txn_result *)message);
    }
    else if (message->ops == &ggw_config_given_ops) {
        const struct ggw_config_given *m = (struct ggw_config_given *)message;

        offer_settings(p, m->team, m->revision, m->json, "the platform");
    }
    else if (message->ops == &ggw_peer_revision_ops) {
        receive_revision(p, (struct ggw_peer_revision *)message);
    }
    else if (message->ops == &ggw_members_changed_ops) {
        receive_members(p, (struct ggw_members_changed *)message);
    }
    else if (message->ops == &ggw_peer_received_ops) {
        struct ggw_peer_received *frame = (struct ggw_peer_received *)message;

        if (frame->type == GGW_PEER_CONFIG_GET) {
            answer_query(p, frame);
        }
        else if (frame->type == GGW_PEER_CONFIG_PUT) {
            receive_offer(p, frame);
        }
    }
}

static bool
config_start(struct ggw_service *service, GError **error)
{
    struct priv *p = (struct priv *)service;
    uv_loop_t *loop = ggw_kernel_loop(service->kernel);

    uv_timer_init(loop, &p->poll_timer);
    p->poll_timer.data = p;
    uv_timer_init(loop, &p->ask_timer);
    p->ask_timer.data = p;
    if (p->poll > 0) {
        uv_timer_start(&p->ask_timer, ask_cb, 0, ASK_PEERS_MS);
        uv_timer_start(&p->poll_timer, poll_cb, 0, 0);
    }
    return true;
}

static void
config_stop(struct ggw_service *service)
{
    struct priv *p = (struct priv *)service;

    uv_close((uv_handle_t *)&p->poll_timer, NULL);
    uv_close((uv_handle_t *)&p->ask_timer, NULL);
}

static void
config_destroy(struct ggw_service *service)
{
    struct priv *p = (struct priv *)service;

    g_hash_table_destroy(p->teams);
    g_rand_free(p->rand);
    g_free(p);
}

static const struct ggw_service_ops config_ops = {
    .name = "config",
    .start = config_start,
    .receive = config_receive,
    .stop = config_stop,
    .destroy = config_destroy,
};

struct ggw_service *
ggw_config_service_new(ggw_ms poll)
{
    struct priv *p = g_new0(struct priv, 1);

    p->base.ops = &config_ops;
    p->poll = poll;
    p->rand = g_rand_new();
    p->teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_free);
    return &p->base;
}
