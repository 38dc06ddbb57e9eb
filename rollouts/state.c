#include "rollouts/state.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "peers/payload.h"

/* Stages of an order that have terms of their own. */
#define TERMS_OF_ORDER 8

/* Longest duration of an order that another gateway may state, ms. */
#define MAX_DURATION (30 * 24 * 3600 * 1000.0)

/* More versions, or results of more routes and servers, are malformed. */
#define MAX_VERSIONS 1000
#define MAX_SAMPLES 20000

/* Requests in progress of one gateway; a higher number is cut off. */
#define MAX_REQUESTS 1000000

/* Stands in a frame for a list of versions that holds all of them. */
#define ALL_VERSIONS ""

/*
 * Rank of each stage among those of an order. A switch may still be rolled
 * back. A roll-back gives way only to a completion that is in the store: the
 * old servers have stopped then.
 */
static const uint64_t ranks[] = {
    [GGW_ROLLOUT_NONE] = 0,      [GGW_ROLLOUT_TRIAL] = 1,
    [GGW_ROLLOUT_SWITCHING] = 2, [GGW_ROLLOUT_ROLLED_BACK] = 3,
    [GGW_ROLLOUT_COMPLETED] = 4,
};

static const char *const stage_names[] = {
    [GGW_ROLLOUT_NONE] = "none",
    [GGW_ROLLOUT_TRIAL] = "trial",
    [GGW_ROLLOUT_SWITCHING] = "switching",
    [GGW_ROLLOUT_COMPLETED] = "completed",
    [GGW_ROLLOUT_ROLLED_BACK] = "rolled back",
};

uint64_t
ggw_rollout_term(uint64_t order, enum ggw_rollout_stage stage)
{
    return order * TERMS_OF_ORDER + ranks[stage];
}

const char *
ggw_rollout_stage_name(enum ggw_rollout_stage stage)
{
    return stage_names[stage];
}

void
ggw_rollout_state_clear(struct ggw_rollout_state *s)
{
    g_free(s->target);
    g_strfreev(s->allowed);
    g_free(s->reason);
    *s = (struct ggw_rollout_state){0};
}

void
ggw_rollout_state_copy(struct ggw_rollout_state *to,
                       const struct ggw_rollout_state *from)
{
    *to = *from;
    to->target = g_strdup(from->target);
    to->allowed = g_strdupv(from->allowed);
    to->reason = g_strdup(from->reason);
}

char *
ggw_rollout_record_print(const struct ggw_rollout_state *s, ggw_ms now,
                         ggw_ms wall)
{
    json_t *allowed = s->allowed != NULL ? json_array() : json_null();
    json_t *root;
    char *raw, *text;

    for (int i = 0; s->allowed != NULL && s->allowed[i] != NULL; i++) {
        json_array_append_new(allowed, json_string(s->allowed[i]));
    }
    root = json_pack("{s:I,s:s,s:s*,s:o,s:f,s:f,s:s*}", "order",
                     (json_int_t)s->order, "stage", stage_names[s->stage],
                     "target", s->target, "allowed", allowed,
                     "deadline_wall_ms", s->deadline - now + wall,
                     "duration_ms", s->duration, "reason", s->reason);
    raw = json_dumps(root, JSON_COMPACT);
    text = g_strdup(raw);
    free(raw); /* jansson allocates with malloc() */
    json_decref(root);
    return text;
}

static bool
find_stage(const char *name, enum ggw_rollout_stage *stage)
{
    for (guint i = 0; i < G_N_ELEMENTS(stage_names); i++) {
        if (g_strcmp0(name, stage_names[i]) == 0) {
            *stage = (enum ggw_rollout_stage)i;
            return true;
        }
    }
    return false;
}

static char **
parse_versions(const json_t *list)
{
    GPtrArray *versions;
    json_t *version;
    size_t i;

    if (!json_is_array(list)) {
        return NULL;
    }
    versions = g_ptr_array_new();
    json_array_foreach(list, i, version)
    {
        if (json_is_string(version)) {
            g_ptr_array_add(versions, g_strdup(json_string_value(version)));
        }
    }
    g_ptr_array_add(versions, NULL);
    return (char **)g_ptr_array_free(versions, FALSE);
}

bool
ggw_rollout_record_parse(const char *text, ggw_ms now, ggw_ms wall,
                         struct ggw_rollout_state *s)
{
    json_t *root = json_loads(text, 0, NULL);
    json_int_t order = json_integer_value(json_object_get(root, "order"));
    double left =
        json_number_value(json_object_get(root, "deadline_wall_ms")) - wall;

    *s = (struct ggw_rollout_state){0};
    if (!find_stage(json_string_value(json_object_get(root, "stage")),
                    &s->stage) ||
        order < 0 ||
        (s->stage != GGW_ROLLOUT_NONE &&
         !json_is_string(json_object_get(root, "target")))) {
        json_decref(root);
        return false;
    }
    s->order = (uint64_t)order;
    s->target = g_strdup(json_string_value(json_object_get(root, "target")));
    s->allowed = parse_versions(json_object_get(root, "allowed"));
    s->duration =
        CLAMP(json_number_value(json_object_get(root, "duration_ms")), 0,
              MAX_DURATION);
    s->deadline = now + CLAMP(left, 0, s->duration);
    s->reason = g_strdup(json_string_value(json_object_get(root, "reason")));
    json_decref(root);
    return true;
}

GBytes *
ggw_rollout_pack_state(const char *team, const char *service,
                       const struct ggw_rollout_state *s, ggw_ms now)
{
    struct ggw_payload_writer w;
    static char *all[] = {ALL_VERSIONS, NULL};
    char **allowed = s->allowed != NULL ? s->allowed : all;
    guint n = g_strv_length(allowed);

    ggw_payload_begin(&w, 10);
    ggw_payload_put_uint(&w, GGW_ROLLOUT_FRAME_STATE);
    ggw_payload_put_string(&w, team);
    ggw_payload_put_string(&w, service);
    ggw_payload_put_uint(&w, s->order);
    ggw_payload_put_uint(&w, s->stage);
    ggw_payload_put_string(&w, s->target != NULL ? s->target : "");
    ggw_payload_put_array(&w, n);
    for (guint i = 0; i < n; i++) {
        ggw_payload_put_string(&w, allowed[i]);
    }
    ggw_payload_put_double(&w, s->deadline - now);
    ggw_payload_put_double(&w, s->duration);
    ggw_payload_put_string(&w, s->reason != NULL ? s->reason : "");
    return ggw_payload_end(&w);
}

static void
pack_sample(struct ggw_payload_writer *w, const struct ggw_rollout_sample *s)
{
    ggw_payload_put_array(w, 6);
    ggw_payload_put_string(w, s->route);
    ggw_payload_put_bool(w, s->is_target);
    ggw_payload_put_string(w, s->server != NULL ? s->server : "");
    ggw_payload_put_uint(w, s->granted);
    ggw_payload_put_uint(w, s->failed);
    ggw_payload_put_array(w, GGW_ROLLOUT_LATENCY_BUCKETS);
    for (int i = 0; i < GGW_ROLLOUT_LATENCY_BUCKETS; i++) {
        ggw_payload_put_uint(w, s->latencies[i]);
    }
}

GBytes *
ggw_rollout_pack_counts(const struct ggw_rollout_counts *counts, ggw_ms left)
{
    struct ggw_payload_writer w;

    ggw_payload_begin(&w, 10);
    ggw_payload_put_uint(&w, GGW_ROLLOUT_FRAME_COUNTS);
    ggw_payload_put_string(&w, counts->team);
    ggw_payload_put_string(&w, counts->service);
    ggw_payload_put_uint(&w, counts->order);
    ggw_payload_put_uint(&w, counts->term);
    ggw_payload_put_uint(&w, (uint64_t)MAX(counts->held_old, 0));
    ggw_payload_put_uint(&w, (uint64_t)MAX(counts->granted_old, 0));
    ggw_payload_put_double(&w, counts->since);
    ggw_payload_put_double(&w, left);
    ggw_payload_put_array(&w, counts->samples->len);
    for (guint i = 0; i < counts->samples->len; i++) {
        pack_sample(
            &w, &g_array_index(counts->samples, struct ggw_rollout_sample, i));
    }
    return ggw_payload_end(&w);
}

GBytes *
ggw_rollout_pack_ask(const char *team, const char *service)
{
    struct ggw_payload_writer w;

    ggw_payload_begin(&w, 3);
    ggw_payload_put_uint(&w, GGW_ROLLOUT_FRAME_ASK);
    ggw_payload_put_string(&w, team);
    ggw_payload_put_string(&w, service);
    return ggw_payload_end(&w);
}

static char **
read_versions(struct ggw_payload_reader *r)
{
    struct ggw_payload_reader inner;
    uint32_t n = ggw_payload_array(r, &inner);
    GPtrArray *versions = g_ptr_array_new();
    char **list;

    for (uint32_t i = 0; r->ok && i < MIN(n, MAX_VERSIONS); i++) {
        g_ptr_array_add(versions, g_strdup(ggw_payload_string(&inner)));
    }
    r->ok = r->ok && n <= MAX_VERSIONS && (n == 0 || inner.ok);
    g_ptr_array_add(versions, NULL);
    list = (char **)g_ptr_array_free(versions, FALSE);
    if (list[0] != NULL && strcmp(list[0], ALL_VERSIONS) == 0) {
        g_clear_pointer(&list, g_strfreev);
    }
    return list;
}

static bool
read_state(struct ggw_payload_reader *r, ggw_ms now,
           struct ggw_rollout_state *s)
{
    uint64_t stage;
    const char *target;
    ggw_ms left;
    ggw_ms duration;

    s->order = ggw_payload_uint(r);
    stage = ggw_payload_uint(r);
    target = ggw_payload_string(r);
    s->allowed = read_versions(r);
    left = ggw_payload_double(r);
    duration = ggw_payload_double(r);
    s->duration = CLAMP(duration, 0, MAX_DURATION);
    s->deadline = now + CLAMP(left, -MAX_DURATION, s->duration);
    s->reason = g_strdup(ggw_payload_string(r));
    if (!r->ok || stage >= G_N_ELEMENTS(stage_names) ||
        s->order > G_MAXINT64 / TERMS_OF_ORDER ||
        (stage != GGW_ROLLOUT_NONE && *target == '\0')) {
        return false;
    }
    s->stage = (enum ggw_rollout_stage)stage;
    s->target = s->stage != GGW_ROLLOUT_NONE ? g_strdup(target) : NULL;
    return true;
}

static uint32_t
read_count(struct ggw_payload_reader *r)
{
    uint64_t count = ggw_payload_uint(r);

    return (uint32_t)MIN(count, G_MAXUINT32);
}

static bool
read_sample(struct ggw_payload_reader *r, GArray *samples)
{
    struct ggw_payload_reader inner;
    struct ggw_payload_reader latencies;
    struct ggw_rollout_sample s = {0};
    const char *server;

    if (ggw_payload_array(r, &inner) == 0) {
        return false;
    }
    s.route = g_strdup(ggw_payload_string(&inner));
    s.is_target = ggw_payload_bool(&inner);
    server = ggw_payload_string(&inner);
    s.server = *server != '\0' ? g_strdup(server) : NULL;
    s.granted = read_count(&inner);
    s.failed = read_count(&inner);
    if (ggw_payload_array(&inner, &latencies) == 0) {
        inner.ok = false;
    }
    for (int i = 0; inner.ok && i < GGW_ROLLOUT_LATENCY_BUCKETS; i++) {
        s.latencies[i] = read_count(&latencies);
    }
    g_array_append_val(samples, s);
    return inner.ok && latencies.ok;
}

static bool
read_counts(struct ggw_payload_reader *r, struct ggw_rollout_frame *frame)
{
    struct ggw_payload_reader samples;
    struct ggw_rollout_counts *c =
        (struct ggw_rollout_counts *)ggw_rollout_counts_new(frame->team,
                                                            frame->service);
    uint32_t held, granted, n;

    frame->counts = c;
    c->order = ggw_payload_uint(r);
    c->term = ggw_payload_uint(r);
    held = read_count(r);
    granted = read_count(r);
    c->held_old = (int)MIN(held, MAX_REQUESTS);
    c->granted_old = (int)MIN(granted, MAX_REQUESTS);
    c->since = ggw_payload_double(r);
    frame->left = ggw_payload_double(r);
    n = ggw_payload_array(r, &samples);
    if (!r->ok || n > MAX_SAMPLES) {
        return false;
    }
    for (uint32_t i = 0; i < n; i++) {
        if (!read_sample(&samples, c->samples)) {
            return false;
        }
    }
    return true;
}

bool
ggw_rollout_unpack(GBytes *payload, ggw_ms now,
                   struct ggw_rollout_frame *frame)
{
    struct ggw_payload_reader r;
    gsize len;
    const void *data = g_bytes_get_data(payload, &len);
    uint64_t kind;
    bool ok = false;

    *frame = (struct ggw_rollout_frame){0};
    ggw_payload_open(&r, data, len);
    kind = ggw_payload_uint(&r);
    frame->team = g_strdup(ggw_payload_string(&r));
    frame->service = g_strdup(ggw_payload_string(&r));
    if (!r.ok || *frame->service == '\0') {
        ggw_payload_close(&r);
        return false;
    }
    switch (kind) {
    case GGW_ROLLOUT_FRAME_STATE:
        ok = read_state(&r, now, &frame->state);
        break;
    case GGW_ROLLOUT_FRAME_COUNTS:
        ok = read_counts(&r, frame);
        break;
    case GGW_ROLLOUT_FRAME_ASK:
        ok = true;
        break;
    default:
        break;
    }
    frame->kind = ok ? (enum ggw_rollout_frame_kind)kind : 0;
    ggw_payload_close(&r);
    return ok;
}

void
ggw_rollout_frame_clear(struct ggw_rollout_frame *frame)
{
    g_free(frame->team);
    g_free(frame->service);
    ggw_rollout_state_clear(&frame->state);
    if (frame->counts != NULL) {
        frame->counts->base.ops->destroy(&frame->counts->base);
    }
}
