#include "rollouts/internal.h"

#include "common/log.h"
#include "common/metrics.h"
#include "rollouts/rows.h"

/*
 * Interval at which the decider reads back the rows during a roll-out, ms. A
 * store that returns from an older copy lacks the last state, which is then
 * written again.
 */
#define VERIFY 2000.0

/* Maximum timeout of a call to the store, and pause after one that failed,
 * ms. */
#define SAVE_TIMEOUT_MAX 4000.0
#define SAVE_RETRY 500.0

static ggw_ms
wall_ms(const struct ggw_rollouts *p)
{
    return ggw_clock_wall(ggw_kernel_clock(p->base.kernel));
}

static void
save(struct ggw_rollouts *p, struct ggw_rollout *r,
     const struct ggw_rollout_state *state)
{
    struct ggw_message *message = ggw_rollout_save_new(r->name);
    struct ggw_rollout_save *m = (struct ggw_rollout_save *)message;

    ggw_rollout_state_clear(&r->save_state);
    r->writing = state != NULL;
    if (r->writing) {
        ggw_rollout_state_copy(&r->save_state, state);
        m->record =
            ggw_rollout_record_print(state, ggw_rollouts_now(p), wall_ms(p));
        m->stage = state->stage;
        m->target = g_strdup(state->target);
    }
    m->record_version = r->record_version;
    m->state_version = r->state_version;
    m->timeout = r->save_timeout;
    r->save_tag = ++p->last_tag;
    message->tag = r->save_tag;
    ggw_kernel_send(p->base.kernel, "rollout-rows", &p->base, message);
}

static bool
must_write(const struct ggw_rollout *r)
{
    return r->known && (r->stored_term < ggw_rollout_get_term(r) ||
                        r->unsent || r->record_version == 0);
}

static bool
must_read(const struct ggw_rollout *r, ggw_ms now)
{
    return !r->read || r->reread ||
           (!r->completing && !must_write(r) &&
            ggw_rollout_is_active(r, now) && now >= r->verify_at);
}

bool
ggw_rollout_may_complete(const struct ggw_rollout *r)
{
    return r->writing && r->save_state.stage == GGW_ROLLOUT_COMPLETED &&
           (r->save_tag != 0 || r->reread);
}

/* Writes the state to the store, or reads it, when it is time to. */
void
ggw_rollout_update_store(struct ggw_rollouts *p, struct ggw_rollout *r)
{
    ggw_ms now = ggw_rollouts_now(p);
    struct ggw_rollout_state completed = r->state;

    if (r->save_tag != 0 || now < r->save_at) {
        return;
    }
    if (must_read(r, now)) {
        save(p, r, NULL);
    }
    else if (r->completing) {
        completed.stage = GGW_ROLLOUT_COMPLETED;
        completed.reason = "no request is in progress on other versions";
        save(p, r, &completed);
    }
    else if (must_write(r)) {
        save(p, r, &r->state);
    }
}

/* Takes over what the store says if it is newer. */
static void
adopt_record(struct ggw_rollouts *p, struct ggw_rollout *r, const char *text)
{
    struct ggw_rollout_state s;
    uint64_t term;

    r->stored_term = 0;
    if (text == NULL) {
        return;
    }
    if (!ggw_rollout_record_parse(text, ggw_rollouts_now(p), wall_ms(p), &s)) {
        ggw_log_warn(GGW_ROLLOUTS_PART,
                     "service %s: the record is malformed: %.200s", r->name,
                     text);
        return;
    }
    term = ggw_rollout_term(s.order, s.stage);
    r->stored_term = term;
    if (!r->known || term > ggw_rollout_get_term(r) ||
        (s.stage == GGW_ROLLOUT_NONE && term == ggw_rollout_get_term(r) &&
         !ggw_rollout_equal_versions(s.allowed, r->state.allowed))) {
        ggw_rollout_apply(p, r, &s, "the record");
        ggw_rollout_send_state(p, r, NULL);
    }
    else if (s.stage == GGW_ROLLOUT_COMPLETED && s.order < r->state.order &&
             r->state.stage == GGW_ROLLOUT_TRIAL) {
        /* The order before was completed: its old servers have stopped. */
        g_strfreev(r->state.allowed);
        r->state.allowed = g_new0(char *, 2);
        r->state.allowed[0] = g_strdup(s.target);
        g_free(r->state.reason);
        r->state.reason = g_strdup("the order before was completed");
        ggw_rollout_send_to_slots(p, r);
        ggw_rollout_send_state(p, r, NULL);
    }
    ggw_rollout_state_clear(&s);
}

static void
finish_write(struct ggw_rollouts *p, struct ggw_rollout *r)
{
    struct ggw_rollout_state *s = &r->save_state;

    r->stored_term = ggw_rollout_term(s->order, s->stage);
    r->unsent = false;
    ggw_count("ggw_rollout_writes_total{result=\"written\"}");
    ggw_log_info(GGW_ROLLOUTS_PART,
                 "service %s: wrote stage %s of order %" G_GUINT64_FORMAT
                 ", version %s, as row version %" G_GINT64_FORMAT,
                 r->name, ggw_rollout_stage_name(s->stage), (guint64)s->order,
                 s->target != NULL ? s->target : "none",
                 (gint64)r->state_version);
    if (r->stored_term > ggw_rollout_get_term(r)) {
        ggw_rollout_apply(p, r, s, "this gateway");
        ggw_rollout_send_state(p, r, NULL);
    }
}

static struct ggw_rollout *
find_saving(struct ggw_rollouts *p, uint64_t tag)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, p->rollouts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((struct ggw_rollout *)value)->save_tag == tag) {
            return value;
        }
    }
    return NULL;
}

/* The stage that operators read while @stage applies. */
static enum ggw_rollout_stage
shown_stage(enum ggw_rollout_stage stage)
{
    return stage == GGW_ROLLOUT_SWITCHING ? GGW_ROLLOUT_TRIAL : stage;
}

/* Handles rows that were read, or that differ from what was expected. */
static void
on_rows(struct ggw_rollouts *p, struct ggw_rollout *r,
        const struct ggw_rollout_saved *m)
{
    r->read = true;
    adopt_record(p, r, m->record);
    r->unsent = r->known && r->state.stage != GGW_ROLLOUT_NONE &&
                (m->stage != shown_stage(r->state.stage) ||
                 g_strcmp0(m->target, r->state.target) != 0);
}

void
ggw_rollouts_on_saved(struct ggw_rollouts *p,
                      const struct ggw_rollout_saved *m)
{
    struct ggw_rollout *r =
        m->base.tag != 0 ? find_saving(p, m->base.tag) : NULL;
    ggw_ms now = ggw_rollouts_now(p);

    if (r == NULL) {
        return;
    }
    r->save_tag = 0;
    if (m->status != GGW_PLATFORM_OK && m->status != GGW_PLATFORM_CONFLICT) {
        ggw_count("ggw_rollout_writes_total{result=\"failed\"}");
        r->save_at = now + SAVE_RETRY;
        r->reread |= m->status == GGW_PLATFORM_UNKNOWN;
        r->save_timeout = MIN(2 * r->save_timeout, SAVE_TIMEOUT_MAX);
        return;
    }
    r->save_timeout = GGW_ROLLOUT_SAVE_TIMEOUT;
    r->reread = false;
    r->verify_at = now + VERIFY;
    r->record_version = m->record_version;
    r->state_version = m->state_version;
    if (r->writing && m->status == GGW_PLATFORM_OK) {
        finish_write(p, r);
        return;
    }
    if (r->writing) {
        ggw_count("ggw_rollout_writes_total{result=\"conflict\"}");
    }
    on_rows(p, r, m);
}
