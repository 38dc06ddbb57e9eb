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
 * Timeout of one read in ms, and the maximum number of concurrent reads. Reads
 * overlap so that an unanswered one does not hold back the next, and a change
 * is seen soon after an unresponsive platform recovers.
 */
#define READ_TIMEOUT_MS 2000
#define MAX_READS_IN_FLIGHT 4

/*
 * Interval in ms between two queries to all peers. A query recovers a
 * CONFIG_PUT that was lost with a link. The interval is below 3 s, the target
 * time for a change to reach all gateways.
 */
#define QUERY_INTERVAL_MS 2000

/*
 * One of this many reads is a full read; the others request only rows that
 * changed since the last one. A full read finds the rows of a table that was
 * restored from a backup, whose mod_revisions may be lower.
 */
#define READS_PER_FULL_READ 20

/*
 * Delay in ms after which a service that does not poll the store requests a
 * higher revision from a peer. In most cases another service of this gateway
 * has delivered the revision by then.
 */
#define PULL_DELAY_MS 400.0

/* Time in ms to wait for a peer's response before another peer is queried. */
#define PULL_RETRY_MS 2000.0

/* Member of the settings that lists failure domains. */
#define DOMAINS "failure_domains"

/* Bounds the memory that a faulty peer can make a gateway allocate. */
#define MAX_TEAMS 1000

/**
 * struct team - settings of one team
 * @name: name of the team
 * @json: JSON text of the settings in force; NULL if there are none, or
 *        while only @root is known
 * @root: JSON value of the settings in force, until the text is needed
 * @tree: snapshot of the settings in force; NULL if there are none
 * @refused_revision: last revision that failed the checks; 0 if none did
 * @malformed_mod_revision: mod_revision of the last row that could not be
 *                          parsed; 0 if there was none
 * @pull_at: monotonic time in ms from which a peer that has a higher revision
 *           is queried for it; 0 if no peer has reported a higher one
 */
struct team {
    char *name;
    char *json;
    json_t *root;
    struct ggw_tree *tree;
    uint64_t refused_revision;
    int64_t malformed_mod_revision;
    ggw_ms pull_at;
};

/**
 * struct priv - state of the service
 * @base: service header
 * @poll: mean interval between two reads of the store in ms; 0 disables them
 * @poll_timer: timer of the reads
 * @query_timer: timer of the queries to all peers
 * @rand: source of the jitter between two reads
 * @teams: hash table from the name to the struct team
 * @max_mod_revision: highest mod_revision of a row read so far
 * @reads: number of reads started
 * @reads_in_flight: number of reads without a result yet
 * @alive_peers: number of other gateways that are alive
 * @next_request: last request id that was used
 */
struct priv {
    struct ggw_service base;
    ggw_ms poll;
    uv_timer_t poll_timer;
    uv_timer_t query_timer;
    GRand *rand;
    GHashTable *teams;
    int64_t max_mod_revision;
    unsigned reads;
    unsigned reads_in_flight;
    unsigned alive_peers;
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

    ggw_tree_unref(m->tree);
    json_decref(m->root);
    g_free(m);
}

const struct ggw_message_ops ggw_config_given_ops = {
    .name = "CONFIG_GIVEN",
    .destroy = given_destroy,
};

struct ggw_message *
ggw_config_given_new(struct ggw_tree *tree, json_t *root)
{
    struct ggw_config_given *m = g_new0(struct ggw_config_given, 1);

    m->base.ops = &ggw_config_given_ops;
    m->tree = ggw_tree_ref(tree);
    m->root = json_incref(root);
    return &m->base;
}

static void
team_free(void *item)
{
    struct team *t = item;

    g_free(t->name);
    g_free(t->json);
    json_decref(t->root);
    ggw_tree_unref(t->tree);
    g_free(t);
}

static struct team *
find_or_add_team(struct priv *p, const char *name)
{
    struct team *t = g_hash_table_lookup(p->teams, name);

    if (t == NULL && g_hash_table_size(p->teams) < MAX_TEAMS) {
        t = g_new0(struct team, 1);
        t->name = g_strdup(name);
        g_hash_table_insert(p->teams, t->name, t);
    }
    return t;
}

/*
 * Formats the settings of a team when a peer needs them for the first time.
 * Most gateways are never asked.
 */
static char *
team_json(struct team *t)
{
    char *raw;

    if (t->json == NULL) {
        raw = json_dumps(t->root, JSON_COMPACT);
        t->json = g_strdup(raw);
        free(raw); /* jansson allocates with malloc() */
        g_clear_pointer(&t->root, json_decref);
    }
    return t->json;
}

/* Sends a team's settings to one peer, or to all peers if @peer is NULL. */
static void
send_put(struct priv *p, struct team *t, const char *peer, uint64_t request_id)
{
    struct ggw_config_update update = {
        .team = t->name,
        .revision = t->tree->revision,
        .json = team_json(t),
        .written_version = t->tree->written_version,
    };
    g_autoptr(GBytes) payload = ggw_config_update_pack(&update);

    ggw_kernel_send(
        p->base.kernel, "peers", &p->base,
        ggw_peer_send_new(peer, GGW_PEER_CONFIG_PUT, request_id, payload));
}

static void
reject_settings(struct team *t, uint64_t revision, const char *source,
                const GError *error)
{
    t->refused_revision = revision;
    ggw_count("ggw_config_refused_total");
    ggw_log_error(PART,
                  "team %s: rejected settings revision %" G_GUINT64_FORMAT
                  " from %s: %s",
                  t->name, (guint64)revision, source, error->message);
}

/*
 * Returns the team if settings are to be applied, or are outdated as the peer
 * or the store that offers them must learn; otherwise NULL.
 */
static struct team *
find_older_team(struct priv *p, const char *team, uint64_t revision,
                uint64_t written_version, bool *outdated)
{
    const struct ggw_settings_position offered = {written_version, revision};
    struct ggw_settings_position in_force = {0};
    struct team *t = find_or_add_team(p, team);

    if (t == NULL) {
        ggw_count("ggw_config_teams_exceeded_total");
        return NULL;
    }
    if (t->tree != NULL) {
        in_force.written_version = t->tree->written_version;
        in_force.revision = t->tree->revision;
    }
    *outdated = false;
    switch (ggw_settings_decide(&in_force, &offered)) {
    case GGW_REVISION_OLDER:
        ggw_count("ggw_config_older_total");
        return NULL;
    case GGW_REVISION_SAME:
        return NULL;
    case GGW_REVISION_OUTDATED:
        *outdated = true;
        return t;
    case GGW_REVISION_APPLY:
        break;
    }
    return revision != t->refused_revision ? t : NULL;
}

/*
 * Puts settings into force. Takes over @tree and either of @json and @root. A
 * service that polls the store also sends them to all peers.
 */
static void
apply(struct priv *p, struct team *t, struct ggw_tree *tree, char *json,
      json_t *root, const char *source)
{
    ggw_tree_unref(t->tree);
    t->tree = tree;
    t->pull_at = 0;
    g_free(t->json);
    t->json = json;
    json_decref(t->root);
    t->root = root;
    ggw_count("ggw_config_applied_total");
    ggw_log_info(PART,
                 "team %s: applied settings revision %" G_GUINT64_FORMAT
                 " from %s",
                 t->name, (guint64)tree->revision, source);
    ggw_kernel_publish(p->base.kernel, &p->base,
                       ggw_config_in_force_new(tree));
    if (p->poll > 0) {
        send_put(p, t, NULL, ++p->next_request);
    }
}

/*
 * Handles settings that were written before those in force: of them, only the
 * failure domains are applied, which have no part in the writer's number. The
 * revision becomes higher, so that the gateways that know only those settings
 * get the ones in force.
 */
static void
apply_outdated(struct priv *p, struct team *t, const struct ggw_tree *offered,
               const json_t *domains, const char *source)
{
    json_t *root = json_loads(team_json(t), 0, NULL);
    struct ggw_tree *tree;

    ggw_count("ggw_config_older_version_total");
    ggw_log_warn(
        PART,
        "team %s: version %08" G_GINT64_MODIFIER
        "x of revision %" G_GUINT64_FORMAT
        " from %s is older than version %08" G_GINT64_MODIFIER "x in force",
        t->name, (guint64)offered->written_version, (guint64)offered->revision,
        source, (guint64)t->tree->written_version);
    if (domains != NULL) {
        json_object_set(root, DOMAINS, (json_t *)domains);
    }
    tree = ggw_tree_build(t->name, offered->revision + 1, root, NULL);
    if (tree == NULL) {
        json_decref(root);
        return;
    }
    tree->written_version = t->tree->written_version;
    apply(p, t, tree, NULL, root, source);
}

/*
 * Applies settings. Their revision becomes higher than that of the settings in
 * force, since the other services and the peers take over no other.
 */
static void
apply_newer(struct priv *p, struct team *t, struct ggw_tree *tree, char *json,
            json_t *root, const char *source)
{
    if (t->tree != NULL) {
        tree->revision = MAX(tree->revision, t->tree->revision + 1);
    }
    apply(p, t, tree, json, root, source);
}

/* Checks settings that are newer than those in force and applies them. */
static void
apply_if_newer(struct priv *p, const char *team, uint64_t revision,
               const char *json, uint64_t written_version, const char *source)
{
    bool outdated;
    struct team *t =
        find_older_team(p, team, revision, written_version, &outdated);
    g_autoptr(GError) error = NULL;
    struct ggw_tree *tree;

    if (t == NULL) {
        return;
    }
    tree = ggw_tree_parse(team, revision, json, &error);
    if (tree == NULL) {
        reject_settings(t, revision, source, error);
        return;
    }
    tree->written_version = written_version;
    if (outdated) {
        json_t *root = json_loads(json, 0, NULL);

        apply_outdated(p, t, tree, json_object_get(root, DOMAINS), source);
        json_decref(root);
        ggw_tree_unref(tree);
        return;
    }
    apply_newer(p, t, tree, g_strdup(json), NULL, source);
}

/* Applies settings that another service of this gateway has checked. */
static void
receive_given(struct priv *p, const struct ggw_config_given *m)
{
    bool outdated;
    struct team *t = find_older_team(p, m->tree->team, m->tree->revision,
                                     m->tree->written_version, &outdated);

    if (t == NULL) {
        return;
    }
    if (outdated) {
        apply_outdated(p, t, m->tree, json_object_get(m->root, DOMAINS),
                       "the platform");
        return;
    }
    apply_newer(p, t, ggw_tree_ref(m->tree), NULL, json_incref(m->root),
                "the platform");
}

static void
read_table(struct priv *p)
{
    struct ggw_txn *txn = ggw_txn_new(READ_TIMEOUT_MS);

    if (p->reads++ % READS_PER_FULL_READ != 0) {
        txn->min_mod_revision = p->max_mod_revision + 1;
    }
    p->reads_in_flight++;
    ggw_txn_read(txn, GGW_CONFIG_PREFIX);
    ggw_kernel_send(p->base.kernel, "platform", &p->base, &txn->base);
}

static void
poll_cb(uv_timer_t *timer)
{
    struct priv *p = timer->data;
    double jitter = g_rand_double_range(p->rand, 0.9, 1.1);

    if (p->reads_in_flight < MAX_READS_IN_FLIGHT) {
        read_table(p);
    }
    uv_timer_start(timer, poll_cb, (uint64_t)(p->poll * jitter), 0);
}

/* Reports a malformed row once, and not again at each full read. */
static void
reject_row(struct priv *p, const char *team, const struct ggw_row *row,
           const GError *error)
{
    struct team *t = find_or_add_team(p, team);

    if (t == NULL || t->malformed_mod_revision == row->mod_revision) {
        return;
    }
    t->malformed_mod_revision = row->mod_revision;
    ggw_count("ggw_config_refused_total");
    ggw_log_error(PART, "team %s: %s", team, error->message);
}

static void
apply_row(struct priv *p, const struct ggw_row *row)
{
    const char *team = row->key + strlen(GGW_CONFIG_PREFIX);
    g_autoptr(GError) error = NULL;
    struct ggw_config_row parsed;
    char *json;

    if (ggw_config_row_parse(row->value, &parsed, &error)) {
        json = json_dumps(parsed.tree, JSON_COMPACT);
        apply_if_newer(p, team, parsed.revision, json, 0, "the platform");
        free(json);
    }
    else {
        reject_row(p, team, row, error);
    }
    ggw_config_row_clear(&parsed);
}

static void
receive_rows(struct priv *p, const struct ggw_txn_result *result)
{
    p->reads_in_flight--;
    if (result->status == GGW_PLATFORM_OK) {
        for (guint i = 0; i < result->rows->len; i++) {
            const struct ggw_row *row =
                &g_array_index(result->rows, struct ggw_row, i);

            if (g_str_has_prefix(row->key, GGW_CONFIG_PREFIX)) {
                apply_row(p, row);
                p->max_mod_revision =
                    MAX(p->max_mod_revision, row->mod_revision);
            }
        }
    }
}

/* Queries all peers for settings that are newer than those in force. */
static void
query_peers(struct priv *p)
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
query_cb(uv_timer_t *timer)
{
    query_peers(timer->data);
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
            struct team *t = item;

            if (t->tree != NULL &&
                ggw_config_query_matches(&query, t->name, t->tree->revision)) {
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
receive_update(struct priv *p, const struct ggw_peer_received *frame)
{
    struct ggw_config_update update;

    if (ggw_config_update_unpack(frame->payload, &update)) {
        apply_if_newer(p, update.team, update.revision, update.json,
                       update.written_version, frame->peer);
    }
    else {
        ggw_count("ggw_config_malformed_frames_total");
    }
    ggw_config_update_clear(&update);
}

/*
 * Handles the report that a peer has a higher revision. A service that polls
 * the store ignores it because it queries all peers periodically.
 */
static void
receive_revision(struct priv *p, const struct ggw_peer_revision *m)
{
    struct team *t = p->poll > 0 ? NULL : find_or_add_team(p, m->team);
    ggw_ms now = ggw_kernel_now(p->base.kernel);
    struct ggw_config_query query;
    g_autoptr(GBytes) payload = NULL;

    if (t == NULL || m->revision == t->refused_revision) {
        return;
    }
    if (t->pull_at == 0) {
        t->pull_at = now + PULL_DELAY_MS;
    }
    if (now < t->pull_at) {
        return;
    }
    t->pull_at = now + PULL_RETRY_MS;
    ggw_config_query_init(&query);
    query.team = g_strdup(m->team);
    payload = ggw_config_query_pack(&query);
    ggw_config_query_clear(&query);
    ggw_kernel_send(p->base.kernel, "peers", &p->base,
                    ggw_peer_send_new(m->peer, GGW_PEER_CONFIG_GET,
                                      ++p->next_request, payload));
}

/* Queries all peers when a gateway joins, as it may have newer settings. */
static void
receive_members(struct priv *p, const struct ggw_members_changed *changed)
{
    unsigned alive_peers = 0;

    for (guint i = 0; i < changed->members->len; i++) {
        const struct ggw_member *m =
            &g_array_index(changed->members, struct ggw_member, i);

        if (!m->self && m->state == GGW_MEMBER_ALIVE) {
            alive_peers++;
        }
    }
    if (alive_peers > p->alive_peers && p->poll > 0) {
        query_peers(p);
    }
    p->alive_peers = alive_peers;
}

static void
config_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct priv *p = (struct priv *)service;

    if (message->ops == &ggw_txn_result_ops) {
        receive_rows(p, (struct ggw_txn_result *)message);
    }
    else if (message->ops == &ggw_config_given_ops) {
        receive_given(p, (struct ggw_config_given *)message);
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
            receive_update(p, frame);
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
    uv_timer_init(loop, &p->query_timer);
    p->query_timer.data = p;
    if (p->poll > 0) {
        uv_timer_start(&p->query_timer, query_cb, 0, QUERY_INTERVAL_MS);
        uv_timer_start(&p->poll_timer, poll_cb, 0, 0);
    }
    return true;
}

static void
config_stop(struct ggw_service *service)
{
    struct priv *p = (struct priv *)service;

    uv_close((uv_handle_t *)&p->poll_timer, NULL);
    uv_close((uv_handle_t *)&p->query_timer, NULL);
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
