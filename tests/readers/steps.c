#include "tests/readers/model.h"

#include <math.h>

static void
step_members(struct gateway *g)
{
    model_publish_members();
}

static void
step_end(struct gateway *g)
{
    g->ended = true;
}

static void
step_cut(struct gateway *g)
{
    g->no_store = true;
}

static void
step_mend(struct gateway *g)
{
    g->no_store = false;
}

static void
step_part(struct gateway *g)
{
    g->no_store = true;
    g->apart = true;
}

static void
step_join(struct gateway *g)
{
    g->no_store = false;
    g->apart = false;
}

static void
step_expire(struct gateway *g)
{
    model_write_row("changed", 2, NULL);
}

static void
step_rewrite(struct gateway *g)
{
    model_write_row("changed", 2, "ready");
}

static void
step_change(struct gateway *g)
{
    if (play->change == CHANGE_KEYS) {
        model_write_config("\"kept\",\"added\"");
    }
    else {
        model_write_row("changed", 2,
                        play->change == CHANGE_DRAINED ? "draining" : NULL);
    }
    play->changed_version = play->version;
    play->written_at = play->now;
}

static void
step_entry_back(struct gateway *g)
{
    model_write_row("changed", 3, "ready");
}

/* Drops the history and ends the calls that wait for changes. */
static void
step_drop_history(struct gateway *g)
{
    play->history_from = play->version;
    for (guint i = 0; i < play->calls->len; i++) {
        struct call *c = g_ptr_array_index(play->calls, i);

        if (c->feed) {
            c->dead = true;
            c->fails_at = play->now;
        }
    }
}

/* Does nothing: the play goes on at this time. */
static void
step_nothing(struct gateway *g)
{
}

static void
add_step(GArray *steps, ggw_ms at, void (*run)(struct gateway *g),
         struct gateway *g)
{
    struct step s = {.at = at, .run = run, .gateway = g};

    g_array_append_val(steps, s);
}

static void
add_end(GArray *steps, int rank, ggw_ms after)
{
    add_step(steps, LOSS_AT + after, step_end, play->order[rank]);
    add_step(steps, LOSS_AT + after + SUSPECTED_AFTER, step_members, NULL);
}

static void
add_cut(GArray *steps, int rank, ggw_ms after)
{
    add_step(steps, LOSS_AT + after, step_cut, play->order[rank]);
    add_step(steps, LOSS_AT + LINK_BACK, step_mend, play->order[rank]);
}

static void
add_part(GArray *steps, int rank)
{
    add_step(steps, LOSS_AT, step_part, play->order[rank]);
    add_step(steps, LOSS_AT + SUSPECTED_AFTER, step_members, NULL);
    add_step(steps, LOSS_AT + LINK_BACK, step_join, play->order[rank]);
    add_step(steps, LOSS_AT + LINK_BACK + ALIVE_AFTER, step_members, NULL);
}

static void
add_losses(GArray *steps)
{
    switch (play->loss) {
    case LOSS_FIRST:
        add_end(steps, 0, 0);
        break;
    case LOSS_SECOND:
        add_end(steps, 1, 0);
        break;
    case LOSS_BOTH:
        add_end(steps, 0, 0);
        add_end(steps, 1, 0);
        break;
    case LOSS_THREE_IN_TURN:
        add_end(steps, 2, 2 * NEXT_LOSS);
        /* fall through */
    case LOSS_IN_TURN:
        add_end(steps, 0, 0);
        add_end(steps, 1, NEXT_LOSS);
        break;
    case LOSS_LINK_FIRST:
        add_cut(steps, 0, 0);
        break;
    case LOSS_LINK_BOTH:
        add_cut(steps, 0, 0);
        add_cut(steps, 1, 0);
        break;
    case LOSS_LINK_IN_TURN:
        add_cut(steps, 0, 0);
        add_cut(steps, 1, NEXT_LOSS);
        break;
    case LOSS_APART:
        add_part(steps, 0);
        add_part(steps, 1);
        break;
    case LOSS_NONE:
    case LOSSES:
        break;
    }
}

static void
add_changes(GArray *steps)
{
    ggw_ms change_at = LOSS_AT + play->moment;
    ggw_ms back_at = LOSS_AT + STORE_BACK;

    if (play->change == CHANGE_EXPIRED) {
        add_step(steps, back_at - EXPIRES_BEFORE, step_expire, NULL);
        add_step(steps, back_at + play->moment, step_rewrite, NULL);
        return;
    }
    add_step(steps, change_at, step_change, NULL);
    if (play->change == CHANGE_BACK) {
        add_step(steps, change_at + ENTRY_BACK, step_entry_back, NULL);
    }
    if (play->store == STORE_HISTORY_LOST) {
        add_step(steps, change_at + MUTE_MS, step_drop_history, NULL);
    }
}

GArray *
steps_new(void)
{
    GArray *steps = g_array_new(FALSE, FALSE, sizeof(struct step));

    add_step(steps, MEMBERS_AT, step_members, NULL);
    add_losses(steps);
    add_changes(steps);
    add_step(steps, LOSS_AT, step_nothing, NULL);
    add_step(steps, LOSS_AT + STORE_BACK, step_nothing, NULL);
    add_step(steps, END_AT, step_nothing, NULL);
    return steps;
}

void
steps_run(GArray *steps)
{
    for (guint i = 0; i < steps->len; i++) {
        struct step *s = &g_array_index(steps, struct step, i);

        if (s->at <= play->now) {
            s->at = INFINITY;
            s->run(s->gateway);
        }
    }
}
