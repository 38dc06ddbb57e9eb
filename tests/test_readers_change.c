#include <CUnit/CUnit.h>
#include <math.h>
#include <string.h>
#include <time.h>

#include "common/log.h"
#include "common/metrics.h"
#include "config/vms.h"
#include "decide/readers.h"
#include "kernel/kernel.h"
#include "peers/peers.h"
#include "platform/settings.h"
#include "platform/site.h"
#include "platform/store.h"
#include "tests/suite.h"

/*
 * Several gateways copy the entries of backend servers while the gateways that
 * read the store are lost. The services "site" are real; the store, the links
 * between the gateways and the time are models, so that each moment of the
 * change can be played. clock_gettime() below is the time of all loops, and
 * the Makefile directs ggw_store_feed() and ggw_store_range() to this file.
 */

#define GATEWAYS 6

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

/* Time within which a change must reach every gateway, ms. */
#define MAX_CHANGE_DELAY_MS 2000

/* Latency of a link between gateways and of the store, ms. */
#define LINK_MS 2.0
#define STORE_MS 4.0
#define SLOW_STORE_MS 200.0

/* Times after the start of a play, ms. */
#define MEMBERS_AT 10.0
#define LOSS_AT 4000.0
#define END_AT 13000.0

/* Moments of the change of the entry, ms after LOSS_AT. */
#define FIRST_MOMENT (-600)
#define LAST_MOMENT 3000
#define MOMENT_STEP 100

/* Times after LOSS_AT, ms. */
#define NEXT_LOSS 500.0
#define STORE_BACK 1500.0
#define LINK_BACK 3000.0

/* Time after which a lost gateway is suspected by the others, ms. */
#define SUSPECTED_AFTER 700.0

/* Time after which a gateway that is back counts as alive, ms. */
#define ALIVE_AFTER 300.0

/* An entry that comes back does so after this time, ms. */
#define ENTRY_BACK 600.0

/*
 * An entry expires this long before the store is back, ms, and its server
 * writes it again this long after it at the earliest and at the latest.
 */
#define EXPIRES_BEFORE 100.0
#define FIRST_REWRITE 0
#define LAST_REWRITE 1700
#define REWRITE_STEP 100

/* The store tells no changes for this time before it drops its history, ms. */
#define MUTE_MS 1000.0

/* The play starts at this time of all clocks, ms. */
#define CLOCK_START 1e7

enum loss {
    LOSS_NONE,
    LOSS_FIRST,
    LOSS_SECOND,
    LOSS_BOTH,
    LOSS_IN_TURN,
    LOSS_THREE_IN_TURN,
    LOSS_LINK_FIRST,
    LOSS_LINK_BOTH,
    LOSS_LINK_IN_TURN,
    LOSS_APART,
    LOSSES
};

enum store_fault {
    STORE_SOUND,
    STORE_SLOW,
    STORE_AWAY,
    STORE_HISTORY_LOST,
    STORE_FAULTS
};

enum change {
    CHANGE_REMOVED,
    CHANGE_DRAINED,
    CHANGE_BACK,
    CHANGE_EXPIRED,
};

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
};

/**
 * struct view - what a gateway knows of the changed entry
 * @slots: slots of the entry; grows with each version of it
 * @draining: it was drained
 * @removed: it was removed, and not written again
 */
struct view {
    int slots;
    bool draining;
    bool removed;
};

/**
 * struct gateway - one gateway
 * @peers: stands for all other services
 * @ended: its process has ended
 * @no_store: it does not reach the store
 * @apart: it reaches only the gateways that are apart, too
 * @view: what it uses
 */
struct gateway {
    struct ggw_kernel *kernel;
    struct ggw_service peers;
    struct ggw_service *site;
    struct ggw_node_settings settings;
    char name[8];
    char domain[2];
    bool ended;
    bool no_store;
    bool apart;
    bool has_list;
    struct view view;
};

/**
 * struct frame - a message between gateways
 * @due: when it arrives, ms
 */
struct frame {
    ggw_ms due;
    struct gateway *from;
    struct gateway *to;
    enum ggw_peer_frame_type type;
    GBytes *payload;
};

/**
 * struct call - a call to the store
 * @after: version of a feed call; ignored for a range
 * @wait_until: when a feed call is answered without a change, ms
 * @fails_at: when its caller gives it up, ms
 * @due: when its response arrives, ms; INFINITY until the store has made it
 * @dead: no response can arrive any more
 */
struct call {
    struct gateway *from;
    char *table;
    bool feed;
    uint64_t after;
    ggw_ms wait_until;
    ggw_ms fails_at;
    ggw_ms due;
    bool dead;
    struct ggw_store_response response;
    ggw_store_cb cb;
    void *data;
};

/**
 * struct play - one play
 * @order: the gateways in the order of the readers
 * @rows: key to struct ggw_store_row, the rows of table "servers"
 * @log: of struct ggw_store_row, all changes of that table
 * @version: version of the store
 * @history_from: the store has the changes after this version
 * @changed_version: version in which the entry was removed or drained
 * @written_at: when it was written, ms; INFINITY before
 * @known_at: when a gateway that the others hear first got it, ms
 * @wrong: text of the first thing that was wrong, or NULL
 */
struct play {
    enum loss loss;
    enum store_fault store;
    enum change change;
    ggw_ms moment;
    ggw_ms now;
    struct gateway gateways[GATEWAYS];
    struct gateway *order[GATEWAYS];
    struct gateway *current;
    GPtrArray *frames;
    GPtrArray *calls;
    GHashTable *rows;
    GPtrArray *log;
    uint64_t version;
    uint64_t history_from;
    uint64_t changed_version;
    ggw_ms written_at;
    ggw_ms known_at;
    char *wrong;
};

static struct play *play;

/* The time of all clocks, ms. */
static ggw_ms clock_now = CLOCK_START;

int
clock_gettime(clockid_t id, struct timespec *ts)
{
    ts->tv_sec = (time_t)(clock_now / 1e3);
    ts->tv_nsec = (long)(fmod(clock_now, 1e3) * 1e6);
    return 0;
}

static void
note_wrong(const struct gateway *g, const char *what)
{
    if (play->wrong == NULL) {
        play->wrong = g_strdup_printf("%s at %.0f ms: %s", g->name,
                                      play->now - LOSS_AT, what);
    }
}

static struct ggw_store_row *
copy_row(const struct ggw_store_row *row)
{
    struct ggw_store_row *copy = g_new0(struct ggw_store_row, 1);

    copy->key = g_strdup(row->key);
    copy->value = row->value != NULL ? g_bytes_ref(row->value) : NULL;
    copy->version = row->version;
    copy->removed = row->removed;
    return copy;
}

static void
write_row(const char *key, int slots, const char *state)
{
    struct ggw_store_row row = {
        .key = (char *)key,
        .version = ++play->version,
        .removed = state == NULL,
    };
    struct ggw_store_row *copy;

    if (state != NULL) {
        char *text = g_strdup_printf(
            "{\"Service\":\"s\",\"Address\":\"10.128.0.9:8080\","
            "\"Zone\":\"a\",\"Slots\":%d,\"State\":\"%s\",\"ColdLeftMs\":0}",
            slots, state);

        row.value = g_bytes_new_take(text, strlen(text));
    }
    g_ptr_array_add(play->log, copy_row(&row));
    copy = copy_row(&row);
    if (row.removed) {
        g_hash_table_remove(play->rows, key);
        ggw_store_row_free(copy);
    }
    else {
        g_hash_table_replace(play->rows, copy->key, copy);
    }
    g_clear_pointer(&row.value, g_bytes_unref);
}

static void
call_free(gpointer data)
{
    struct call *c = data;

    g_ptr_array_unref(c->response.rows);
    g_free(c->table);
    g_free(c);
}

static struct call *
call_new(const char *table, ggw_ms timeout, ggw_store_cb cb, void *data)
{
    struct call *c = g_new0(struct call, 1);

    c->from = play->current;
    c->table = g_strdup(table);
    c->fails_at = play->now + timeout;
    c->due = INFINITY;
    c->cb = cb;
    c->data = data;
    c->response.rows = g_ptr_array_new_with_free_func(ggw_store_row_free);
    g_ptr_array_add(play->calls, c);
    return c;
}

void __wrap_ggw_store_range(struct ggw_http_client *http, const char *table,
                            const char *from, const char *end, ggw_ms timeout,
                            ggw_store_cb cb, void *data);
void __wrap_ggw_store_feed(struct ggw_http_client *http, const char *table,
                           uint64_t after, ggw_ms wait, ggw_ms timeout,
                           ggw_store_cb cb, void *data);

void
__wrap_ggw_store_range(struct ggw_http_client *http, const char *table,
                       const char *from, const char *end, ggw_ms timeout,
                       ggw_store_cb cb, void *data)
{
    call_new(table, timeout, cb, data);
}

void
__wrap_ggw_store_feed(struct ggw_http_client *http, const char *table,
                      uint64_t after, ggw_ms wait, ggw_ms timeout,
                      ggw_store_cb cb, void *data)
{
    struct call *c = call_new(table, timeout, cb, data);

    c->feed = true;
    c->after = after;
    c->wait_until = play->now + wait;
}

static bool
store_is_away(void)
{
    return play->store == STORE_AWAY && play->now >= LOSS_AT &&
           play->now < LOSS_AT + STORE_BACK;
}

/* Whether feeds are told nothing, before the history is dropped. */
static bool
store_is_mute(void)
{
    return play->store == STORE_HISTORY_LOST &&
           play->now >= play->written_at &&
           play->now < play->written_at + MUTE_MS;
}

static bool
is_servers(const struct call *c)
{
    return strcmp(c->table, "servers") == 0;
}

/* Adds the rows that the response has. Returns whether there are any. */
static bool
collect_rows(struct call *c)
{
    GHashTableIter iter;
    gpointer row;

    if (!is_servers(c)) {
        return false;
    }
    if (!c->feed) {
        g_hash_table_iter_init(&iter, play->rows);
        while (g_hash_table_iter_next(&iter, NULL, &row)) {
            g_ptr_array_add(c->response.rows, copy_row(row));
        }
        return true;
    }
    for (guint i = 0; i < play->log->len; i++) {
        const struct ggw_store_row *changed = g_ptr_array_index(play->log, i);

        if (changed->version > c->after) {
            g_ptr_array_add(c->response.rows, copy_row(changed));
        }
    }
    return c->response.rows->len > 0;
}

/* Makes the response of a call if the store has one now. */
static void
answer_call(struct call *c)
{
    bool slow = play->store == STORE_SLOW && play->now >= LOSS_AT;

    if (store_is_away() || c->from->no_store) {
        c->dead = true;
    }
    if (c->dead || isfinite(c->due)) {
        return;
    }
    if (c->feed && store_is_mute()) {
        return;
    }
    if (c->feed && c->after < play->history_from) {
        c->response.status = GGW_STORE_HISTORY_LOST;
    }
    else if (!collect_rows(c) && c->feed && play->now < c->wait_until) {
        return;
    }
    c->response.version = play->version;
    c->due = play->now + (slow ? SLOW_STORE_MS : STORE_MS);
}

/* Whether the others hear what a gateway learns now. */
static bool
is_heard(const struct gateway *g)
{
    bool parts = play->loss == LOSS_APART &&
                 (g == play->order[0] || g == play->order[1]);

    return !parts || play->now + LINK_MS < LOSS_AT;
}

/* Notes when a gateway first learned of the change from the store. */
static void
note_known(const struct call *c)
{
    if (is_servers(c) && is_heard(c->from) && play->changed_version > 0 &&
        c->response.status == GGW_STORE_OK &&
        c->response.version >= play->changed_version) {
        play->known_at = MIN(play->known_at, play->now);
    }
}

/* Ends the calls whose response or time limit is due. */
static void
end_calls(void)
{
    guint i = 0;

    while (i < play->calls->len) {
        struct call *c = g_ptr_array_index(play->calls, i);
        bool responds = !c->dead && c->due <= play->now;

        if (!c->from->ended && !responds && c->fails_at > play->now) {
            i++;
            continue;
        }
        g_ptr_array_steal_index(play->calls, i);
        if (!c->from->ended) {
            if (responds) {
                note_known(c);
            }
            else {
                c->response.status = GGW_STORE_NO_RESPONSE;
                g_ptr_array_set_size(c->response.rows, 0);
            }
            play->current = c->from;
            c->cb(c->data, &c->response);
        }
        call_free(c);
    }
}

static void
frame_free(gpointer data)
{
    struct frame *f = data;

    g_bytes_unref(f->payload);
    g_free(f);
}

static void
send_frame(struct gateway *from, struct gateway *to,
           const struct ggw_peer_send *m)
{
    struct frame *f;

    if (to == from || to->ended || to->apart != from->apart) {
        return;
    }
    f = g_new0(struct frame, 1);
    f->due = play->now + LINK_MS;
    f->from = from;
    f->to = to;
    f->type = m->type;
    f->payload = g_bytes_ref(m->payload);
    g_ptr_array_add(play->frames, f);
}

static void
deliver_frames(void)
{
    while (play->frames->len > 0) {
        struct frame *f = g_ptr_array_index(play->frames, 0);
        struct ggw_peer_received *m;

        if (f->due > play->now) {
            return;
        }
        g_ptr_array_steal_index(play->frames, 0);
        if (!f->to->ended && f->to->apart == f->from->apart) {
            m = g_new0(struct ggw_peer_received, 1);
            m->base.ops = &ggw_peer_received_ops;
            m->peer = g_strdup(f->from->name);
            m->type = f->type;
            m->payload = g_bytes_ref(f->payload);
            ggw_kernel_send(f->to->kernel, "site", &f->to->peers, &m->base);
        }
        frame_free(f);
    }
}

static const struct ggw_vm *
find_vm(const struct ggw_vm_list *list, const char *name)
{
    for (size_t i = 0; i < list->len; i++) {
        if (strcmp(list->vms[i].name, name) == 0) {
            return &list->vms[i];
        }
    }
    return NULL;
}

/* Checks a new list against what the gateway knew before. */
static void
on_list(struct gateway *g, const struct ggw_vm_list *list)
{
    const struct ggw_vm *vm = find_vm(list, "changed");
    struct view *v = &g->view;

    g->has_list = true;
    if (find_vm(list, "kept") == NULL) {
        note_wrong(g, "lost an entry that is there");
    }
    if (vm == NULL) {
        if (play->change == CHANGE_EXPIRED) {
            note_wrong(g, "lost an entry that has only expired");
        }
        v->removed = true;
        return;
    }
    if (vm->slots < v->slots || (v->removed && vm->slots == v->slots) ||
        (v->draining && !vm->leaving && vm->slots == v->slots)) {
        note_wrong(g, "took an older version over a newer one");
    }
    v->slots = vm->slots;
    v->draining = vm->leaving;
    v->removed = false;
}

static void
peers_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct gateway *g = play->current;
    const struct ggw_peer_send *m = (struct ggw_peer_send *)message;

    if (message->ops == &ggw_vms_changed_ops) {
        on_list(g, ((struct ggw_vms_changed *)message)->list);
    }
    if (message->ops != &ggw_peer_send_ops) {
        return;
    }
    for (int i = 0; i < GATEWAYS; i++) {
        struct gateway *to = &play->gateways[i];

        if (m->peer == NULL || strcmp(m->peer, to->name) == 0) {
            send_frame(g, to, m);
        }
    }
}

static const struct ggw_service_ops peers_ops = {.name = "peers",
                                                 .receive = peers_receive};

/* Runs the loop of a gateway until nothing is left for this moment. */
static void
run_gateway(struct gateway *g)
{
    play->current = g;
    do {
        uv_run(ggw_kernel_loop(g->kernel), UV_RUN_NOWAIT);
    } while (uv_backend_timeout(ggw_kernel_loop(g->kernel)) == 0);
}

static void
run_gateways(void)
{
    for (int i = 0; i < GATEWAYS; i++) {
        if (!play->gateways[i].ended) {
            run_gateway(&play->gateways[i]);
        }
    }
}

/* The members as @viewer knows them. */
static struct ggw_message *
members_message(const struct gateway *viewer)
{
    struct ggw_message *message = ggw_members_changed_new();

    for (int i = 0; i < GATEWAYS; i++) {
        struct gateway *g = &play->gateways[i];
        struct ggw_member m = {
            .name = g->name,
            .failure_domain = g->domain,
            .host = (char *)"h",
            .incarnation = 1,
            .state = g->ended || g->apart != viewer->apart
                         ? GGW_MEMBER_SUSPECTED
                         : GGW_MEMBER_ALIVE,
            .capacity = {.link_mbps = 1000},
        };

        ggw_members_add((struct ggw_members_changed *)message, &m);
    }
    return message;
}

static void
publish_members(void)
{
    for (int i = 0; i < GATEWAYS; i++) {
        struct gateway *g = &play->gateways[i];

        if (!g->ended) {
            ggw_kernel_publish(g->kernel, &g->peers, members_message(g));
        }
    }
}

/* Sorts the gateways in the order of the readers. */
static void
sort_gateways(void)
{
    struct ggw_message *message = members_message(&play->gateways[0]);
    const GArray *members = ((struct ggw_members_changed *)message)->members;

    for (int i = 0; i < GATEWAYS; i++) {
        struct gateway *g = &play->gateways[i];

        play->order[ggw_readers_rank(members, g->name)] = g;
    }
    message->ops->destroy(message);
}

static void
start_gateway(struct gateway *g, int i)
{
    static char *seeds[] = {(char *)"127.0.0.1:9", NULL};

    g_snprintf(g->name, sizeof(g->name), "n%d", i);
    g->domain[0] = (char)('a' + i / 2);
    g->kernel = ggw_kernel_new(ggw_clock_system());
    g->peers.ops = &peers_ops;
    g->settings.name = g->name;
    g->settings.max_change_delay = MAX_CHANGE_DELAY_MS;
    g_strlcpy(g->settings.store.host, "127.0.0.1",
              sizeof(g->settings.store.host));
    g->settings.store.port = 9;
    g->settings.seeds = seeds;
    g->site = ggw_site_service_new(&g->settings);
    play->current = g;
    ggw_kernel_add(g->kernel, &g->peers);
    ggw_kernel_add(g->kernel, g->site);
    g_assert_true(ggw_kernel_start(g->kernel, NULL));
}

static void
stop_gateway(struct gateway *g)
{
    play->current = g;
    ggw_kernel_stop(g->kernel);
    uv_run(ggw_kernel_loop(g->kernel), UV_RUN_DEFAULT);
    ggw_kernel_destroy(g->kernel);
}

/**
 * struct step - something that happens at a set time
 * @at: when, ms; INFINITY when it has happened
 */
struct step {
    ggw_ms at;
    void (*run)(struct gateway *g);
    struct gateway *gateway;
};

static void
step_members(struct gateway *g)
{
    publish_members();
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
    write_row("changed", 2, NULL);
}

static void
step_rewrite(struct gateway *g)
{
    write_row("changed", 2, "ready");
}

static void
step_change(struct gateway *g)
{
    write_row("changed", 2,
              play->change == CHANGE_DRAINED ? "draining" : NULL);
    play->changed_version = play->version;
    play->written_at = play->now;
}

static void
step_entry_back(struct gateway *g)
{
    write_row("changed", 3, "ready");
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

static GArray *
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

static void
run_steps(GArray *steps)
{
    for (guint i = 0; i < steps->len; i++) {
        struct step *s = &g_array_index(steps, struct step, i);

        if (s->at <= play->now) {
            s->at = INFINITY;
            s->run(s->gateway);
        }
    }
}

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
check_bound(void)
{
    for (int i = 0; i < GATEWAYS; i++) {
        const struct gateway *g = &play->gateways[i];

        if (!g->ended && g->view.slots == 2 && uses_changed(g) &&
            play->now > bound(g)) {
            note_wrong(g, "uses the entry later than the bound");
        }
    }
}

static void
check_end(void)
{
    bool expected =
        play->change == CHANGE_BACK || play->change == CHANGE_EXPIRED;

    for (int i = 0; i < GATEWAYS; i++) {
        const struct gateway *g = &play->gateways[i];

        if (g->ended) {
            continue;
        }
        if (!g->has_list) {
            note_wrong(g, "has no list");
        }
        if (uses_changed(g) != expected) {
            note_wrong(g, "does not have the last version at the end");
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
    p.frames = g_ptr_array_new_with_free_func(frame_free);
    p.calls = g_ptr_array_new_with_free_func(call_free);
    p.log = g_ptr_array_new_with_free_func(ggw_store_row_free);
    p.rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                   ggw_store_row_free);
    write_row("kept", 2, "ready");
    write_row("changed", 2, "ready");
    for (int i = 0; i < GATEWAYS; i++) {
        start_gateway(&p.gateways[i], i);
    }
    sort_gateways();
    steps = steps_new();
    while (p.now < END_AT) {
        run_gateways();
        for (guint i = 0; i < p.calls->len; i++) {
            answer_call(g_ptr_array_index(p.calls, i));
        }
        p.now = next_time(steps);
        clock_now = start + p.now;
        run_steps(steps);
        deliver_frames();
        end_calls();
        check_bound();
    }
    run_gateways();
    check_end();
    for (int i = 0; i < GATEWAYS; i++) {
        stop_gateway(&p.gateways[i]);
    }
    g_ptr_array_unref(p.frames);
    g_ptr_array_unref(p.calls);
    g_ptr_array_unref(p.log);
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

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"store sound", test_store_sound}, {"store slow", test_store_slow},
        {"store away", test_store_away},   {"history lost", test_history_lost},
        {"expired", test_expired},         CU_TEST_INFO_NULL,
    };
    int status = suite_run("readers_change", tests);

    ggw_metrics_fini();
    return status;
}
