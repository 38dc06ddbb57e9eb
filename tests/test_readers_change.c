#include <CUnit/CUnit.h>
#include <math.h>

#include "common/log.h"
#include "common/metrics.h"
#include "tests/readers/model.h"
#include "tests/suite.h"

/*
 * Several gateways copy the entries of backend servers while the gateways that
 * read the store are lost.
 */

/*
 * A gateway must not use an entry for longer than this after a gateway it can
 * hear knew that it was removed or drained, ms (DrainMs).
 */
#define DRAIN_MS 2000.0

/*
 * The bound holds for a gateway that has reached the store and the others for
 * this time, ms (StableWindowMs).
 */
#define STABLE_MS 3000.0

/* Moments of the change of the entry, ms after LOSS_AT. */
#define FIRST_MOMENT (-600)
#define LAST_MOMENT 3000
#define MOMENT_STEP 100

/*
 * The server of an entry that expires writes it again this long after the
 * store is back at the earliest and at the latest, ms.
 */
#define FIRST_REWRITE 0
#define LAST_REWRITE 1700
#define REWRITE_STEP 100

static const char *const loss_names[] = {
    [LOSS_NONE] = "no reader lost",
    [LOSS_FIRST] = "first reader ends",
    [LOSS_SECOND] = "second reader ends",
    [LOSS_BOTH] = "both readers end",
    [LOSS_IN_TURN] = "both readers end in turn",
    [LOSS_THREE_IN_TURN] = "three readers end in turn",
    [LOSS_LINK_FIRST] = "first reader loses the store",
    [LOSS_LINK_BOTH] = "both readers lose the store",
    [LOSS_LINK_IN_TURN] = "both readers lose the store in turn",
    [LOSS_APART] = "both readers lose the store and the others",
};

static const char *const store_names[] = {
    [STORE_SOUND] = "store sound",
    [STORE_SLOW] = "store slow",
    [STORE_AWAY] = "store away",
    [STORE_HISTORY_LOST] = "history lost",
};

static const char *const change_names[] = {
    [CHANGE_REMOVED] = "entry removed",
    [CHANGE_DRAINED] = "entry drained",
    [CHANGE_BACK] = "entry removed and back",
    [CHANGE_EXPIRED] = "entry expired and back",
    [CHANGE_KEYS] = "keys changed",
};

/* Time of the next event after this moment, ms. */
static ggw_ms
next_time(const GArray *steps)
{
    ggw_ms next = END_AT;

    for (guint i = 0; i < steps->len; i++) {
        next = MIN(next, g_array_index(steps, struct step, i).at);
    }
    if (play->frames->len > 0) {
        const struct frame *f = g_ptr_array_index(play->frames, 0);

        next = MIN(next, f->due);
    }
    for (guint i = 0; i < play->calls->len; i++) {
        const struct call *c = g_ptr_array_index(play->calls, i);

        next = MIN(next, MIN(c->fails_at, c->dead ? INFINITY : c->due));
        if (c->feed && c->wait_until > play->now) {
            next = MIN(next, c->wait_until);
        }
    }
    for (int i = 0; i < GATEWAYS; i++) {
        uv_loop_t *loop = ggw_kernel_loop(play->gateways[i].kernel);
        int timeout;

        if (play->gateways[i].ended) {
            continue;
        }
        timeout = uv_backend_timeout(loop);
        if (timeout >= 0) {
            next = MIN(next, play->now + timeout);
        }
    }
    return next;
}

static bool
uses_changed(const struct gateway *g)
{
    return !g->view.removed && !g->view.draining;
}

/*
 * When a gateway must no longer use the entry, ms. The bound counts from the
 * write while the store is sound, else from when a gateway got the change from
 * the store. For one that was apart, it binds once the gateway has reached the
 * store for STABLE_MS.
 */
static ggw_ms
bound(const struct gateway *g)
{
    ggw_ms from =
        play->store == STORE_SOUND ? play->written_at : play->known_at;
    bool was_apart = play->loss == LOSS_APART &&
                     (g == play->order[0] || g == play->order[1]);

    return was_apart ? MAX(from + DRAIN_MS, LOSS_AT + LINK_BACK + STABLE_MS)
                     : from + DRAIN_MS;
}

static void
check_keys(const struct gateway *g)
{
    if (g->has_withdrawn) {
        model_note_wrong(g, "has a withdrawn key later than the bound");
    }
    if (!g->has_added) {
        model_note_wrong(g, "lacks an added key later than the bound");
    }
}

static void
check_bound(void)
{
    for (int i = 0; i < GATEWAYS; i++) {
        const struct gateway *g = &play->gateways[i];

        if (g->ended || play->now <= bound(g)) {
            continue;
        }
        if (play->change == CHANGE_KEYS) {
            check_keys(g);
        }
        else if (g->view.slots == 2 && uses_changed(g)) {
            model_note_wrong(g, "uses the entry later than the bound");
        }
    }
}

static void
check_end(void)
{
    bool expected = play->change == CHANGE_BACK ||
                    play->change == CHANGE_EXPIRED ||
                    play->change == CHANGE_KEYS;

    for (int i = 0; i < GATEWAYS; i++) {
        const struct gateway *g = &play->gateways[i];

        if (g->ended) {
            continue;
        }
        if (!g->has_list) {
            model_note_wrong(g, "has no list");
        }
        if (play->change == CHANGE_KEYS) {
            check_keys(g);
        }
        if (uses_changed(g) != expected) {
            model_note_wrong(g, "does not have the last version at the end");
        }
    }
}

/* Plays one case. Returns NULL, or what was wrong; the caller frees it. */
static char *
run_play(enum loss loss, enum store_fault store, enum change change,
         ggw_ms moment)
{
    struct play p = {
        .loss = loss,
        .store = store,
        .change = change,
        .moment = moment,
        .written_at = INFINITY,
        .known_at = INFINITY,
    };
    g_autoptr(GArray) steps = NULL;
    ggw_ms start = clock_now;

    play = &p;
    p.frames = g_ptr_array_new_with_free_func(model_frame_free);
    p.calls = g_ptr_array_new_with_free_func(model_call_free);
    p.log = g_ptr_array_new_with_free_func(ggw_store_row_free);
    p.rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                   ggw_store_row_free);
    model_write_row("kept", 2, "ready");
    model_write_row("changed", 2, "ready");
    if (change == CHANGE_KEYS) {
        model_write_config("\"kept\",\"withdrawn\"");
    }
    for (int i = 0; i < GATEWAYS; i++) {
        model_start_gateway(&p.gateways[i], i);
    }
    model_sort_gateways();
    steps = steps_new();
    while (p.now < END_AT) {
        model_run_gateways();
        for (guint i = 0; i < p.calls->len; i++) {
            model_answer_call(g_ptr_array_index(p.calls, i));
        }
        p.now = next_time(steps);
        clock_now = start + p.now;
        steps_run(steps);
        model_deliver_frames();
        model_end_calls();
        check_bound();
    }
    model_run_gateways();
    check_end();
    for (int i = 0; i < GATEWAYS; i++) {
        model_stop_gateway(&p.gateways[i]);
    }
    g_ptr_array_unref(p.frames);
    g_ptr_array_unref(p.calls);
    g_ptr_array_unref(p.log);
    g_clear_pointer(&p.config, ggw_store_row_free);
    g_hash_table_unref(p.rows);
    return p.wrong;
}

static void
check_play(enum loss loss, enum store_fault store, enum change change,
           ggw_ms moment)
{
    g_autofree char *wrong = run_play(loss, store, change, moment);

    if (wrong != NULL) {
        printf("\n    %s, %s, %s at %.0f ms: %s", loss_names[loss],
               store_names[store], change_names[change], moment, wrong);
    }
    CU_ASSERT_PTR_NULL(wrong);
}

/* Plays all losses and changes at each moment with one state of the store. */
static void
run_plays(enum store_fault store)
{
    for (enum loss loss = 0; loss < LOSSES; loss++) {
        for (int moment = FIRST_MOMENT; moment <= LAST_MOMENT;
             moment += MOMENT_STEP) {
            check_play(loss, store, CHANGE_REMOVED, moment);
            check_play(loss, store, CHANGE_DRAINED, moment);
            check_play(loss, store, CHANGE_BACK, moment);
        }
    }
}

/* Guards against entries that are used too long while readers change. */
static void
test_store_sound(void)
{
    run_plays(STORE_SOUND);
}

static void
test_store_slow(void)
{
    run_plays(STORE_SLOW);
}

static void
test_store_away(void)
{
    run_plays(STORE_AWAY);
}

static void
test_history_lost(void)
{
    run_plays(STORE_HISTORY_LOST);
}

/*
 * Whether a gateway that reads the store after its return has called it before
 * in vain. Where both readers lose the store when it is away, the next ones
 * read it only after its return. They cannot tell an entry that has expired
 * from one that was removed, and must not use the latter ("store sound").
 */
static bool
outage_is_seen(enum loss loss)
{
    return loss != LOSS_LINK_BOTH && loss != LOSS_LINK_IN_TURN;
}

/* Guards against a server that is lost since its entry has only expired. */
static void
test_expired(void)
{
    for (enum loss loss = 0; loss < LOSSES; loss++) {
        if (!outage_is_seen(loss)) {
            continue;
        }
        for (int moment = FIRST_REWRITE; moment <= LAST_REWRITE;
             moment += REWRITE_STEP) {
            check_play(loss, STORE_AWAY, CHANGE_EXPIRED, moment);
        }
    }
}

/*
 * Guards against a key that is withdrawn or added and that gateways which
 * cannot reach the store learn of too late, while readers change.
 */
static void
test_keys(void)
{
    for (enum loss loss = 0; loss < LOSSES; loss++) {
        for (int moment = FIRST_MOMENT; moment <= LAST_MOMENT;
             moment += MOMENT_STEP) {
            check_play(loss, STORE_SOUND, CHANGE_KEYS, moment);
            check_play(loss, STORE_SLOW, CHANGE_KEYS, moment);
            check_play(loss, STORE_AWAY, CHANGE_KEYS, moment);
        }
    }
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"store sound", test_store_sound},
        {"store slow", test_store_slow},
        {"store away", test_store_away},
        {"history lost", test_history_lost},
        {"expired", test_expired},
        {"keys", test_keys},
        CU_TEST_INFO_NULL,
    };
    int status = suite_run("readers_change", tests);

    ggw_metrics_fini();
    return status;
}
