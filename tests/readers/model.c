#include "tests/readers/model.h"

#include <math.h>
#include <string.h>
#include <time.h>

#include "config/config.h"
#include "decide/readers.h"
#include "platform/site.h"

struct play *play;
ggw_ms clock_now = CLOCK_START;

int
clock_gettime(clockid_t id, struct timespec *ts)
{
    ts->tv_sec = (time_t)(clock_now / 1e3);
    ts->tv_nsec = (long)(fmod(clock_now, 1e3) * 1e6);
    return 0;
}

void
model_note_wrong(const struct gateway *g, const char *what)
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

void
model_write_row(const char *key, int slots, const char *state)
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

void
model_write_config(const char *keys)
{
    char *text = g_strdup_printf(
        "{\"Version\":\"%" G_GUINT64_FORMAT "\",\"Tenants\":[{\"Name\":\"c\","
        "\"ApiKeys\":[%s]}],\"Listeners\":[],\"Clusters\":[]}",
        (guint64)play->version + 1, keys);
    struct ggw_store_row row = {
        .key = (char *)"config",
        .version = ++play->version,
        .value = g_bytes_new_take(text, strlen(text)),
    };

    if (play->config != NULL) {
        ggw_store_row_free(play->config);
    }
    play->config = copy_row(&row);
    g_bytes_unref(row.value);
}

void
model_call_free(gpointer data)
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

static bool
collect_config(struct call *c)
{
    if (play->config == NULL ||
        (c->feed && play->config->version <= c->after)) {
        return false;
    }
    g_ptr_array_add(c->response.rows, copy_row(play->config));
    return true;
}

/* Adds the rows that the response has. Returns whether there are any. */
static bool
collect_rows(struct call *c)
{
    GHashTableIter iter;
    gpointer row;

    if (!is_servers(c)) {
        return collect_config(c);
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
void
model_answer_call(struct call *c)
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

/* Whether a call reads the table that the play changes. */
static bool
is_changed_table(const struct call *c)
{
    return is_servers(c) == (play->change != CHANGE_KEYS);
}

/* Notes when a gateway first learned of the change from the store. */
static void
note_known(const struct call *c)
{
    if (is_changed_table(c) && is_heard(c->from) &&
        play->changed_version > 0 && c->response.status == GGW_STORE_OK &&
        c->response.version >= play->changed_version) {
        play->known_at = MIN(play->known_at, play->now);
    }
}

/* Ends the calls whose response or time limit is due. */
void
model_end_calls(void)
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
        model_call_free(c);
    }
}

void
model_frame_free(gpointer data)
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

void
model_deliver_frames(void)
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
        model_frame_free(f);
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
        model_note_wrong(g, "lost an entry that is there");
    }
    if (vm == NULL) {
        if (play->change == CHANGE_EXPIRED) {
            model_note_wrong(g, "lost an entry that has only expired");
        }
        v->removed = true;
        return;
    }
    if (vm->slots < v->slots || (v->removed && vm->slots == v->slots) ||
        (v->draining && !vm->leaving && vm->slots == v->slots)) {
        model_note_wrong(g, "took an older version over a newer one");
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

/* As the service "config", drops versions that are not newer. */
static void
config_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct gateway *g = play->current;
    const struct ggw_config_given *m = (struct ggw_config_given *)message;

    if (message->ops != &ggw_config_given_ops ||
        m->tree->revision <= g->revision) {
        return;
    }
    g->revision = m->tree->revision;
    g->has_config = true;
    g->has_withdrawn = ggw_tree_customer_by_key(m->tree, "withdrawn") != NULL;
    g->has_added = ggw_tree_customer_by_key(m->tree, "added") != NULL;
}

static const struct ggw_service_ops config_ops = {.name = "config",
                                                  .receive = config_receive};

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

void
model_run_gateways(void)
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

void
model_publish_members(void)
{
    for (int i = 0; i < GATEWAYS; i++) {
        struct gateway *g = &play->gateways[i];

        if (!g->ended) {
            ggw_kernel_publish(g->kernel, &g->peers, members_message(g));
        }
    }
}

/* Sorts the gateways in the order of the readers. */
void
model_sort_gateways(void)
{
    struct ggw_message *message = members_message(&play->gateways[0]);
    const GArray *members = ((struct ggw_members_changed *)message)->members;

    for (int i = 0; i < GATEWAYS; i++) {
        struct gateway *g = &play->gateways[i];

        play->order[ggw_readers_rank(members, g->name)] = g;
    }
    message->ops->destroy(message);
}

void
model_start_gateway(struct gateway *g, int i)
{
    static char *seeds[] = {(char *)"127.0.0.1:9", NULL};

    g_snprintf(g->name, sizeof(g->name), "n%d", i);
    g->domain[0] = (char)('a' + i / 2);
    g->kernel = ggw_kernel_new(ggw_clock_system());
    g->peers.ops = &peers_ops;
    g->config.ops = &config_ops;
    g->settings.name = g->name;
    g->settings.max_change_delay = MAX_CHANGE_DELAY_MS;
    g_strlcpy(g->settings.store.host, "127.0.0.1",
              sizeof(g->settings.store.host));
    g->settings.store.port = 9;
    g->settings.seeds = seeds;
    g->site = ggw_site_service_new(&g->settings);
    play->current = g;
    ggw_kernel_add(g->kernel, &g->peers);
    ggw_kernel_add(g->kernel, &g->config);
    ggw_kernel_add(g->kernel, g->site);
    g_assert_true(ggw_kernel_start(g->kernel, NULL));
}

void
model_stop_gateway(struct gateway *g)
{
    play->current = g;
    ggw_kernel_stop(g->kernel);
    uv_run(ggw_kernel_loop(g->kernel), UV_RUN_DEFAULT);
    ggw_kernel_destroy(g->kernel);
}
