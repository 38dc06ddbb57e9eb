#include <CUnit/CUnit.h>
#include <glib.h>
#include <string.h>

#include "common/log.h"
#include "common/metrics.h"
#include "config/vms.h"
#include "decide/owner.h"
#include "peers/peers.h"
#include "platform/platform.h"
#include "platform/rollouts.h"
#include "rollouts/rollouts.h"
#include "rollouts/state.h"
#include "tests/suite.h"

/*
 * The service "rollouts" of several gateways, in virtual time. The links
 * between the gateways, the slots and the store are fakes; the rows are
 * translated by the product's own "rollout-rows".
 */

#define GATEWAYS 3
#define STEP 100.0
#define SERVICE "orders"
#define TEAM "site"
#define DURATION_S 12
#define DURATION (DURATION_S * 1000.0)
#define MAX_VMS 16

/* Time from the start until a gateway decides, with margin, ms. */
#define SETTLED 4000.0

#define STATE_ROW "status/rollout/" SERVICE
#define RECORD_ROW "greengageway/rollout/" SERVICE

/**
 * struct row - row of the fake store
 */
struct row {
    char *value;
    int64_t version;
};

/**
 * struct gateway - one gateway with its fakes
 * @kernel: runs the services
 * @clock: its manual clock
 * @alive: whether the process runs
 * @cut: whether it has no links to the others
 * @paused: whether its process stands still
 * @order, @term, @stage, @target, @allowed, @percent: last limits that "slots"
 * got
 * @old_held: requests on old servers
 * @switching_at: when it switched, ms
 * @samples: counts
 */
struct gateway {
    struct ggw_kernel *kernel;
    struct ggw_clock clock;
    struct ggw_service *rollouts;
    char *name;
    bool alive;
    bool cut;
    bool paused;
    uint64_t order;
    uint64_t term;
    enum ggw_rollout_stage stage;
    char *target;
    char **allowed;
    double percent;
    int old_held;
    ggw_ms switching_at;
    GArray *samples;
};

/**
 * struct world - the gateways and the store
 * @now: monotonic ms
 * @rows, @version: rows of the store and version of its last write
 * @bad: results of the new version fail
 * @down: the store refuses all calls
 * @lose_every: the answer of every n-th write is lost; 0: none
 * @writes: number of writes
 * @hold_state: writes of this state are performed later, in @held
 * @drain: time that requests on old servers take to end, ms
 * @completed_with_old: a completion was written while a gateway had requests
 *                      on old servers or might send some
 * @states: the states that were written, in order, each once in a row
 * @vms, @vms_len, @vms_version: list of VMs
 */
struct world {
    struct gateway gateways[GATEWAYS];
    ggw_ms now;
    GHashTable *rows;
    int64_t version;
    bool bad;
    bool down;
    int lose_every;
    int writes;
    const char *hold_state;
    GPtrArray *held;
    ggw_ms drain;
    bool completed_with_old;
    GString *states;
    struct ggw_vm vms[MAX_VMS];
    size_t vms_len;
    uint64_t vms_version;
};

/* Fake services find the world through their gateway. */
struct fake {
    struct ggw_service base;
    struct world *w;
    int gateway;
};

static void
row_free(gpointer data)
{
    g_free(((struct row *)data)->value);
    g_free(data);
}

static const char *
get_row(struct world *w, const char *key)
{
    struct row *row = g_hash_table_lookup(w->rows, key);

    return row != NULL ? row->value : NULL;
}

static int64_t
row_version(struct world *w, const char *key)
{
    struct row *row = g_hash_table_lookup(w->rows, key);

    return row != NULL ? row->version : 0;
}

static void
put_row(struct world *w, const char *key, const char *value)
{
    struct row *row = g_new0(struct row, 1);

    row->value = g_strdup(value);
    row->version = w->version;
    g_hash_table_replace(w->rows, g_strdup(key), row);
}

/* Notes a written state, and whether old servers may stop then. */
static void
note_state(struct world *w, const char *value)
{
    bool completed = strstr(value, "completed") != NULL;

    const char *state = completed                          ? "completed "
                        : strstr(value, "running") != NULL ? "running "
                                                           : "rolled_back ";

    if (!g_str_has_suffix(w->states->str, state)) {
        g_string_append(w->states, state);
    }
    for (int i = 0; completed && i < GATEWAYS; i++) {
        const struct gateway *g = &w->gateways[i];

        if (g->alive &&
            (g->old_held > 0 || (g->stage != GGW_ROLLOUT_SWITCHING &&
                                 g->stage != GGW_ROLLOUT_COMPLETED))) {
            w->completed_with_old = true;
        }
    }
}

static bool
apply_txn(struct world *w, const struct ggw_txn *txn)
{
    for (guint i = 0; i < txn->compares->len; i++) {
        struct ggw_compare *c =
            &g_array_index(txn->compares, struct ggw_compare, i);

        if (row_version(w, c->key) != c->expected_revision) {
            return false;
        }
    }
    w->version += txn->puts->len > 0;
    for (guint i = 0; i < txn->puts->len; i++) {
        struct ggw_row *r = &g_array_index(txn->puts, struct ggw_row, i);

        put_row(w, r->key, r->value);
        if (strcmp(r->key, STATE_ROW) == 0) {
            note_state(w, r->value);
        }
    }
    return true;
}

static bool
is_held(const struct world *w, const struct ggw_txn *txn)
{
    for (guint i = 0; w->hold_state != NULL && i < txn->puts->len; i++) {
        struct ggw_row *r = &g_array_index(txn->puts, struct ggw_row, i);

        if (strcmp(r->key, STATE_ROW) == 0 &&
            strstr(r->value, w->hold_state) != NULL) {
            return true;
        }
    }
    return false;
}

static struct ggw_txn *
copy_writes(const struct ggw_txn *txn)
{
    struct ggw_txn *copy = ggw_txn_new(txn->timeout);

    for (guint i = 0; i < txn->compares->len; i++) {
        struct ggw_compare *c =
            &g_array_index(txn->compares, struct ggw_compare, i);

        ggw_txn_compare(copy, c->key, c->expected_revision);
    }
    for (guint i = 0; i < txn->puts->len; i++) {
        struct ggw_row *r = &g_array_index(txn->puts, struct ggw_row, i);

        ggw_txn_put(copy, r->key, r->value);
    }
    return copy;
}

static enum ggw_platform_status
perform(struct world *w, const struct ggw_txn *txn)
{
    bool write = txn->puts->len > 0;
    bool ok;

    if (w->down) {
        return GGW_PLATFORM_NOT_SENT;
    }
    if (is_held(w, txn)) {
        g_ptr_array_add(w->held, copy_writes(txn));
        return GGW_PLATFORM_UNKNOWN;
    }
    ok = apply_txn(w, txn);
    if (write && w->lose_every > 0 && ++w->writes % w->lose_every == 0) {
        return GGW_PLATFORM_UNKNOWN;
    }
    return ok ? GGW_PLATFORM_OK : GGW_PLATFORM_CONFLICT;
}

static void
store_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct fake *f = (struct fake *)service;
    struct ggw_txn *txn = (struct ggw_txn *)message;
    struct ggw_txn_result *r;

    if (message->ops != &ggw_txn_ops) {
        return;
    }
    r = ggw_txn_result_new(perform(f->w, txn));
    for (guint i = 0;
         r->status <= GGW_PLATFORM_CONFLICT && i < txn->reads->len; i++) {
        const char *key = txn->reads->pdata[i];

        if (get_row(f->w, key) != NULL) {
            struct ggw_row row = {.key = g_strdup(key),
                                  .value = g_strdup(get_row(f->w, key)),
                                  .mod_revision = row_version(f->w, key)};

            g_array_append_val(r->rows, row);
        }
    }
    ggw_kernel_reply(service, message, &r->base);
}

static void
peers_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct fake *f = (struct fake *)service;
    struct ggw_peer_send *m = (struct ggw_peer_send *)message;
    struct gateway *from = &f->w->gateways[f->gateway];

    if (message->ops != &ggw_peer_send_ops || from->cut) {
        return;
    }
    for (int i = 0; i < GATEWAYS; i++) {
        struct gateway *to = &f->w->gateways[i];
        struct ggw_peer_received *r;

        if (i == f->gateway || !to->alive || to->cut ||
            (m->peer != NULL && strcmp(m->peer, to->name) != 0)) {
            continue;
        }
        r = g_new0(struct ggw_peer_received, 1);
        r->base.ops = &ggw_peer_received_ops;
        r->peer = g_strdup(from->name);
        r->type = m->type;
        r->payload = g_bytes_ref(m->payload);
        ggw_kernel_send(to->kernel, "rollouts", NULL, &r->base);
    }
}

static void
slots_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct fake *f = (struct fake *)service;
    struct gateway *g = &f->w->gateways[f->gateway];
    struct ggw_rollout_limits *m = (struct ggw_rollout_limits *)message;

    if (message->ops != &ggw_rollout_limits_ops || m->term < g->term) {
        return;
    }
    if (m->order != g->order) {
        g_array_set_size(g->samples, 0);
    }
    if (m->stage == GGW_ROLLOUT_SWITCHING && g->stage != m->stage) {
        g->switching_at = f->w->now;
    }
    g->order = m->order;
    g->term = m->term;
    g->stage = m->stage;
    g->percent = m->exposure_percent;
    g_free(g->target);
    g->target = g_strdup(m->target);
    g_strfreev(g->allowed);
    g->allowed = g_strdupv(m->allowed);
}

static void
fake_destroy(struct ggw_service *service)
{
    g_free(service);
}

static const struct ggw_service_ops fakes[] = {
    {"platform", NULL, store_receive, NULL, fake_destroy},
    {"peers", NULL, peers_receive, NULL, fake_destroy},
    {"slots", NULL, slots_receive, NULL, fake_destroy},
};

static void
clear_sample(gpointer data)
{
    g_free(((struct ggw_rollout_sample *)data)->route);
    g_free(((struct ggw_rollout_sample *)data)->server);
}

static void
run_loop(struct gateway *g)
{
    for (int i = 0; i < 4; i++) {
        uv_run(ggw_kernel_loop(g->kernel), UV_RUN_NOWAIT);
    }
}

static void
start_gateway(struct world *w, int i)
{
    struct gateway *g = &w->gateways[i];
    struct ggw_rollouts_options options = {
        .self = g->name,
        .failure_domain = "d",
        .exposure_percent = 10,
        .exposure_slack = 50,
        .rollback_limit = 5000,
    };

    ggw_clock_manual_init(&g->clock, w->now);
    g->kernel = ggw_kernel_new(&g->clock);
    for (guint j = 0; j < G_N_ELEMENTS(fakes); j++) {
        struct fake *f = g_new0(struct fake, 1);

        f->base.ops = &fakes[j];
        f->w = w;
        f->gateway = i;
        ggw_kernel_add(g->kernel, &f->base);
    }
    ggw_kernel_add(g->kernel, ggw_rollout_rows_service_new());
    g->rollouts = ggw_rollouts_service_new(&options);
    ggw_kernel_add(g->kernel, g->rollouts);
    g->samples = g_array_new(FALSE, TRUE, sizeof(struct ggw_rollout_sample));
    g_array_set_clear_func(g->samples, clear_sample);
    g->alive = true;
    g->term = 0;
    g->order = 0;
    g->stage = GGW_ROLLOUT_NONE;
    CU_ASSERT_TRUE(ggw_kernel_start(g->kernel, NULL));
}

static void
free_kernel(struct gateway *g)
{
    ggw_kernel_stop(g->kernel);
    uv_run(ggw_kernel_loop(g->kernel), UV_RUN_DEFAULT);
    ggw_kernel_destroy(g->kernel);
    g->kernel = NULL;
}

static void
kill_gateway(struct world *w, int i)
{
    struct gateway *g = &w->gateways[i];

    g->alive = false;
    free_kernel(g);
    g_array_unref(g->samples);
    g_clear_pointer(&g->target, g_free);
    g_clear_pointer(&g->allowed, g_strfreev);
}

/* Whether gateway @i is alive in the view of gateway @viewer. */
static bool
is_seen(const struct world *w, int viewer, int i)
{
    return viewer == i || (w->gateways[i].alive && !w->gateways[i].cut &&
                           !w->gateways[viewer].cut && !w->gateways[i].paused);
}

static void
publish_members(struct world *w)
{
    for (int viewer = 0; viewer < GATEWAYS; viewer++) {
        struct ggw_message *m = ggw_members_changed_new();
        struct ggw_members_changed *changed = (struct ggw_members_changed *)m;

        for (int i = 0; i < GATEWAYS; i++) {
            struct ggw_member member = {
                .name = w->gateways[i].name,
                .failure_domain = "d",
                .host = "127.0.0.1",
                .incarnation = 1,
                .state =
                    is_seen(w, viewer, i) ? GGW_MEMBER_ALIVE : GGW_MEMBER_DEAD,
                .self = viewer == i,
            };

            ggw_members_add(changed, &member);
        }
        changed->known_gateways = GATEWAYS;
        if (w->gateways[viewer].alive) {
            ggw_kernel_publish(w->gateways[viewer].kernel, NULL, m);
        }
        else {
            m->ops->destroy(m);
        }
    }
}

static void
clear_vm(struct ggw_vm *vm)
{
    g_free(vm->name);
    g_free(vm->team);
    g_free(vm->service);
    g_free(vm->failure_domain);
    g_free(vm->host);
    g_free(vm->version);
}

static void
add_servers(struct world *w, const char *version, int n)
{
    for (int i = 0; i < n; i++) {
        struct ggw_vm vm = {
            .name = g_strdup_printf("%s-%d", version, i),
            .role = GGW_VM_BACKEND_SERVER,
            .team = g_strdup(TEAM),
            .service = g_strdup(SERVICE),
            .failure_domain = g_strdup_printf("d-%d", i),
            .host = g_strdup("127.0.0.1"),
            .version = g_strdup(version),
        };

        w->vms[w->vms_len++] = vm;
    }
}

static void
remove_servers(struct world *w, const char *version)
{
    size_t n = 0;

    for (size_t i = 0; i < w->vms_len; i++) {
        if (strcmp(w->vms[i].version, version) == 0) {
            clear_vm(&w->vms[i]);
        }
        else {
            w->vms[n++] = w->vms[i];
        }
    }
    w->vms_len = n;
}

static void
publish_vms(struct world *w)
{
    w->vms_version++;
    for (int i = 0; i < GATEWAYS; i++) {
        struct ggw_vm_list *list;

        if (!w->gateways[i].alive) {
            continue;
        }
        list = g_new0(struct ggw_vm_list, 1);
        list->refs = 1;
        list->version = w->vms_version;
        list->len = w->vms_len;
        list->vms = g_new0(struct ggw_vm, w->vms_len);
        for (size_t j = 0; j < w->vms_len; j++) {
            struct ggw_vm *vm = &list->vms[j];

            *vm = w->vms[j];
            vm->name = g_strdup(vm->name);
            vm->team = g_strdup(vm->team);
            vm->service = g_strdup(vm->service);
            vm->failure_domain = g_strdup(vm->failure_domain);
            vm->host = g_strdup(vm->host);
            vm->version = g_strdup(vm->version);
        }
        ggw_kernel_publish(w->gateways[i].kernel, NULL,
                           ggw_vms_changed_new(list));
        ggw_vm_list_unref(list);
    }
}

static struct ggw_rollout_sample *
get_sample(GArray *samples, const char *server)
{
    struct ggw_rollout_sample s = {.is_target = server != NULL};

    for (guint i = 0; i < samples->len; i++) {
        struct ggw_rollout_sample *found =
            &g_array_index(samples, struct ggw_rollout_sample, i);

        if (g_strcmp0(found->server, server) == 0) {
            return found;
        }
    }
    s.route = g_strdup("all");
    s.server = g_strdup(server);
    g_array_append_val(samples, s);
    return &g_array_index(samples, struct ggw_rollout_sample,
                          samples->len - 1);
}

/* Adds the results of one step to the counts of a gateway. */
static void
count_results(struct world *w, struct gateway *g)
{
    bool may_trial = g->stage == GGW_ROLLOUT_TRIAL && g->percent > 0;

    get_sample(g->samples, NULL)->latencies[14] += 5;
    for (int i = 0; i < 3; i++) {
        g_autofree char *server = g_strdup_printf("%s-%d", g->target, i);
        struct ggw_rollout_sample *s = get_sample(g->samples, server);

        if (may_trial || g->stage == GGW_ROLLOUT_SWITCHING) {
            s->granted++;
            s->failed += w->bad;
            s->latencies[14] += !w->bad;
        }
    }
}

static void
send_counts(struct world *w, struct gateway *g)
{
    struct ggw_message *message = ggw_rollout_counts_new(TEAM, SERVICE);
    struct ggw_rollout_counts *m = (struct ggw_rollout_counts *)message;

    count_results(w, g);
    m->order = g->order;
    m->term = g->term;
    m->held_old = g->old_held;
    m->since = 1;
    for (guint i = 0; i < g->samples->len; i++) {
        struct ggw_rollout_sample s =
            g_array_index(g->samples, struct ggw_rollout_sample, i);

        s.route = g_strdup(s.route);
        s.server = g_strdup(s.server);
        g_array_append_val(m->samples, s);
    }
    ggw_kernel_send(g->kernel, "rollouts", NULL, message);
}

static void
step(struct world *w)
{
    w->now += STEP;
    for (int i = 0; i < GATEWAYS; i++) {
        struct gateway *g = &w->gateways[i];

        if (!g->alive || g->paused) {
            continue;
        }
        g->clock.manual_now = w->now;
        g->old_held = g->stage != GGW_ROLLOUT_SWITCHING &&
                              g->stage != GGW_ROLLOUT_COMPLETED
                          ? 3
                      : w->now - g->switching_at < w->drain ? 1
                                                            : 0;
        if (g->order > 0) {
            send_counts(w, g);
        }
        run_loop(g);
        ggw_rollouts_tick(g->rollouts);
        run_loop(g);
    }
}

static void
run(struct world *w, ggw_ms time)
{
    ggw_ms end = w->now + time;

    while (w->now < end) {
        step(w);
    }
}

static void
world_init(struct world *w)
{
    w->now = 1e6;
    w->drain = 1000;
    w->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, row_free);
    w->held = g_ptr_array_new();
    w->states = g_string_new(NULL);
    add_servers(w, "v1", 3);
    for (int i = 0; i < GATEWAYS; i++) {
        w->gateways[i].name = g_strdup_printf("gw-%d", i);
        start_gateway(w, i);
    }
    publish_members(w);
    publish_vms(w);
    run(w, SETTLED);
    add_servers(w, "v2", 3);
    publish_vms(w);
}

static void
world_clear(struct world *w)
{
    for (int i = 0; i < GATEWAYS; i++) {
        if (w->gateways[i].alive) {
            kill_gateway(w, i);
        }
        g_free(w->gateways[i].name);
    }
    for (guint i = 0; i < w->held->len; i++) {
        struct ggw_message *txn = g_ptr_array_index(w->held, i);

        txn->ops->destroy(txn);
    }
    g_ptr_array_unref(w->held);
    for (size_t i = 0; i < w->vms_len; i++) {
        clear_vm(&w->vms[i]);
    }
    g_hash_table_unref(w->rows);
    g_string_free(w->states, TRUE);
}

/* Sends a row of the operator to all gateways; @json NULL removes it. */
static void
send_order(struct world *w, const char *json)
{
    struct ggw_store_row row = {
        .key = GGW_ROLLOUT_ORDER_PREFIX SERVICE,
        .value = json != NULL ? g_bytes_new(json, strlen(json)) : NULL,
        .version = (uint64_t)++w->version,
        .removed = json == NULL,
    };

    for (int i = 0; i < GATEWAYS; i++) {
        struct ggw_message *m = ggw_rollout_order_read(&row);

        if (m != NULL && w->gateways[i].alive) {
            ggw_kernel_send(w->gateways[i].kernel, "rollouts", NULL, m);
        }
        else if (m != NULL) {
            m->ops->destroy(m);
        }
    }
    g_bytes_unref(row.value);
}

static void
order(struct world *w, const char *target)
{
    g_autofree char *json = g_strdup_printf(
        "{\"Service\":\"" SERVICE "\",\"Target\":\"%s\",\"DurationS\":%d}",
        target, DURATION_S);

    send_order(w, json);
}

static bool
all_in(const struct world *w, enum ggw_rollout_stage stage)
{
    for (int i = 0; i < GATEWAYS; i++) {
        if (w->gateways[i].alive && !w->gateways[i].paused &&
            w->gateways[i].stage != stage) {
            return false;
        }
    }
    return true;
}

static bool
state_is(struct world *w, const char *state, const char *target)
{
    const char *row = get_row(w, STATE_ROW);
    g_autofree char *quoted_state = g_strdup_printf("\"%s\"", state);
    g_autofree char *quoted_target = g_strdup_printf("\"%s\"", target);

    return row != NULL && strstr(row, quoted_state) != NULL &&
           strstr(row, quoted_target) != NULL;
}

/* Gateway that decides, as its log says: it alone sends TRIAL states. */
static int
find_decider(struct world *w)
{
    struct ggw_member members[GATEWAYS] = {0};
    int alive[GATEWAYS];
    size_t n = 0;

    for (int i = 0; i < GATEWAYS; i++) {
        if (w->gateways[i].alive && !w->gateways[i].paused) {
            alive[n] = i;
            members[n++] = (struct ggw_member){.name = w->gateways[i].name,
                                               .failure_domain = "d"};
        }
    }
    return alive[ggw_owner_pick(TEAM, SERVICE, "*", members, n)];
}

/* Guards against a good version that is not completed by its deadline, and
 * against a completion while a gateway still has requests on old servers. */
static void
test_good(void)
{
    struct world w = {0};

    world_init(&w);
    order(&w, "v2");
    run(&w, 2000);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_TRIAL));
    CU_ASSERT_DOUBLE_EQUAL(w.gateways[0].percent, 8, 0.01);
    CU_ASSERT_TRUE(state_is(&w, "running", "v2"));
    run(&w, DURATION - 2000);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_COMPLETED));
    CU_ASSERT_TRUE(state_is(&w, "completed", "v2"));
    CU_ASSERT_FALSE(w.completed_with_old);
    CU_ASSERT_STRING_EQUAL(w.states->str, "running completed ");
    world_clear(&w);
}

/* Guards against a bad version that goes on getting requests. */
static void
test_bad(void)
{
    struct world w = {0};

    world_init(&w);
    order(&w, "v2");
    run(&w, 2000);
    w.bad = true;
    run(&w, 3000);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_ROLLED_BACK));
    CU_ASSERT_TRUE(state_is(&w, "rolled_back", "v2"));
    run(&w, DURATION);
    CU_ASSERT_STRING_EQUAL(w.states->str, "running rolled_back ");
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_ROLLED_BACK));
    world_clear(&w);
}

/* Guards against a verdict that is forgotten when the decider is killed before
 * it has written the state. */
static void
test_decider_killed(void)
{
    struct world w = {0};

    world_init(&w);
    order(&w, "v2");
    run(&w, 2000);
    w.bad = true;
    w.hold_state = "rolled_back";
    for (int i = 0; i < 50 && !all_in(&w, GGW_ROLLOUT_ROLLED_BACK); i++) {
        step(&w);
    }
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_ROLLED_BACK));
    CU_ASSERT_TRUE(state_is(&w, "running", "v2"));
    w.bad = false;
    kill_gateway(&w, find_decider(&w));
    w.hold_state = NULL;
    publish_members(&w);
    run(&w, 3000);
    CU_ASSERT_TRUE(state_is(&w, "rolled_back", "v2"));
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_ROLLED_BACK));
    world_clear(&w);
}

/* Guards against a decider that stood still and then writes an older verdict
 * over that of its successor. */
static void
test_paused_writer(void)
{
    struct world w = {0};
    int decider;

    world_init(&w);
    order(&w, "v2");
    w.hold_state = "completed";
    for (int i = 0; i < DURATION / STEP && w.held->len == 0; i++) {
        step(&w);
    }
    CU_ASSERT_FATAL(w.held->len > 0);
    decider = find_decider(&w);
    w.gateways[decider].paused = true;
    publish_members(&w);
    w.bad = true;
    run(&w, 4000);
    CU_ASSERT_TRUE(state_is(&w, "rolled_back", "v2"));
    /* The store performs the write of the old decider now. */
    w.hold_state = NULL;
    CU_ASSERT_FALSE(apply_txn(&w, g_ptr_array_index(w.held, 0)));
    w.gateways[decider].paused = false;
    publish_members(&w);
    run(&w, 4000);
    CU_ASSERT_TRUE(state_is(&w, "rolled_back", "v2"));
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_ROLLED_BACK));
    CU_ASSERT_STRING_EQUAL(w.states->str, "running rolled_back ");
    world_clear(&w);
}

/* Guards against a decider that stood still and then completes the roll-out
 * because of what it had heard before: its timers run before it reads what has
 * arrived meanwhile. */
static void
test_paused_before_write(void)
{
    struct world w = {0};
    struct gateway *g;

    world_init(&w);
    order(&w, "v2");
    run(&w, 3000);
    w.down = true;
    run(&w, DURATION);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_SWITCHING));
    g = &w.gateways[find_decider(&w)];
    g->paused = true;
    publish_members(&w);
    w.bad = true;
    run(&w, 4000);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_ROLLED_BACK));
    w.down = false;
    g->paused = false;
    g->clock.manual_now = w.now;
    ggw_rollouts_tick(g->rollouts);
    ggw_rollouts_tick(g->rollouts);
    run(&w, 4000);
    CU_ASSERT_TRUE(state_is(&w, "rolled_back", "v2"));
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_ROLLED_BACK));
    CU_ASSERT_STRING_EQUAL(w.states->str, "running rolled_back ");
    world_clear(&w);
}

/* Guards against states that are lost or go back when answers are lost. */
static void
test_lost_answers(void)
{
    for (int every = 1; every <= 2; every++) {
        struct world w = {.lose_every = every};

        world_init(&w);
        order(&w, "v2");
        run(&w, DURATION);
        CU_ASSERT_TRUE(state_is(&w, "completed", "v2"));
        CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_COMPLETED));
        CU_ASSERT_STRING_EQUAL(w.states->str, "running completed ");
        CU_ASSERT_FALSE(w.completed_with_old);
        world_clear(&w);
    }
}

/* Guards against a completion that is lost, or applies before it is written,
 * when the store is away at the deadline. */
static void
test_store_away(void)
{
    struct world w = {0};

    world_init(&w);
    order(&w, "v2");
    run(&w, 3000);
    w.down = true;
    run(&w, DURATION);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_SWITCHING));
    CU_ASSERT_TRUE(state_is(&w, "running", "v2"));
    w.down = false;
    run(&w, 3000);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_COMPLETED));
    CU_ASSERT_TRUE(state_is(&w, "completed", "v2"));
    CU_ASSERT_FALSE(w.completed_with_old);
    world_clear(&w);
}

/* Guards against a roll-back that waits for the store. */
static void
test_bad_while_store_away(void)
{
    struct world w = {0};

    world_init(&w);
    order(&w, "v2");
    run(&w, 2000);
    w.down = true;
    w.bad = true;
    run(&w, 3000);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_ROLLED_BACK));
    CU_ASSERT_TRUE(state_is(&w, "running", "v2"));
    w.down = false;
    run(&w, 3000);
    CU_ASSERT_TRUE(state_is(&w, "rolled_back", "v2"));
    world_clear(&w);
}

/* Guards against a state that is lost when the store returns from an older
 * copy. */
static void
test_older_copy(void)
{
    struct world w = {0};
    g_autofree char *state = NULL;
    g_autofree char *record = NULL;

    world_init(&w);
    order(&w, "v2");
    run(&w, 2000);
    state = g_strdup(get_row(&w, STATE_ROW));
    record = g_strdup(get_row(&w, RECORD_ROW));
    run(&w, DURATION - 2000);
    CU_ASSERT_TRUE(state_is(&w, "completed", "v2"));
    put_row(&w, STATE_ROW, state);
    put_row(&w, RECORD_ROW, record);
    run(&w, 4000);
    CU_ASSERT_TRUE(state_is(&w, "completed", "v2"));
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_COMPLETED));
    world_clear(&w);
}

/* Guards against an order that goes on after another one has replaced it. */
static void
test_replaced(void)
{
    struct world w = {0};

    world_init(&w);
    order(&w, "v2");
    run(&w, 4000);
    add_servers(&w, "v3", 3);
    publish_vms(&w);
    order(&w, "v3");
    run(&w, 2000);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_TRIAL));
    CU_ASSERT_STRING_EQUAL(w.gateways[0].target, "v3");
    CU_ASSERT_STRING_EQUAL(w.gateways[0].allowed[0], "v1");
    CU_ASSERT_PTR_NULL(w.gateways[0].allowed[1]);
    CU_ASSERT_TRUE(state_is(&w, "running", "v3"));
    run(&w, DURATION - 2000);
    CU_ASSERT_TRUE(state_is(&w, "completed", "v3"));
    CU_ASSERT_STRING_EQUAL(w.states->str, "running completed ");
    world_clear(&w);
}

/* Guards against a trial that goes on after its order was removed, and against
 * a completed one that the removal undoes. */
static void
test_removed(void)
{
    struct world w = {0};

    world_init(&w);
    order(&w, "v2");
    run(&w, 3000);
    send_order(&w, NULL);
    run(&w, 1000);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_ROLLED_BACK));
    CU_ASSERT_TRUE(state_is(&w, "rolled_back", "v2"));
    order(&w, "v2");
    run(&w, DURATION);
    CU_ASSERT_TRUE(state_is(&w, "completed", "v2"));
    send_order(&w, NULL);
    run(&w, 1000);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_COMPLETED));
    CU_ASSERT_TRUE(state_is(&w, "completed", "v2"));
    world_clear(&w);
}

/*
 * Guards against a service without any open version after an order for the
 * version that is in use was removed.
 */
static void
test_removed_in_use(void)
{
    struct world w = {0};

    world_init(&w);
    run(&w, 1000);
    order(&w, "v1");
    run(&w, STEP);
    send_order(&w, NULL);
    run(&w, DURATION);
    for (int i = 0; i < GATEWAYS; i++) {
        CU_ASSERT_NOT_EQUAL(w.gateways[i].stage, GGW_ROLLOUT_ROLLED_BACK);
    }
    world_clear(&w);
}

/* Guards against malformed orders that end the process or a roll-out. */
static void
test_malformed(void)
{
    static const char *const orders[] = {
        "",
        "{",
        "[]",
        "null",
        "{\"Service\":\"other\",\"Target\":\"v3\",\"DurationS\":12}",
        "{\"Service\":\"" SERVICE "\",\"DurationS\":12}",
        "{\"Service\":\"" SERVICE "\",\"Target\":3,\"DurationS\":12}",
        "{\"Service\":\"" SERVICE "\",\"Target\":\"\",\"DurationS\":12}",
        "{\"Service\":\"" SERVICE "\",\"Target\":\"a\\nb\","
        "\"DurationS\":12}",
        "{\"Service\":\"" SERVICE "\",\"Target\":\"v3\"}",
        "{\"Service\":\"" SERVICE "\",\"Target\":\"v3\",\"DurationS\":-1}",
        "{\"Service\":\"" SERVICE "\",\"Target\":\"v3\","
        "\"DurationS\":1e300}",
    };
    struct world w = {0};

    world_init(&w);
    order(&w, "v2");
    run(&w, 1000);
    for (guint i = 0; i < G_N_ELEMENTS(orders); i++) {
        send_order(&w, orders[i]);
        run(&w, STEP);
    }
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_TRIAL));
    run(&w, DURATION);
    CU_ASSERT_TRUE(state_is(&w, "completed", "v2"));
    world_clear(&w);
}

/* Guards against a completion while a gateway that the others do not hear may
 * still have requests on old servers. */
static void
test_cut_gateway(void)
{
    struct world w = {0};
    int cut;
    ggw_ms completed_at = 0;
    ggw_ms cut_at;

    world_init(&w);
    order(&w, "v2");
    cut = (find_decider(&w) + 1) % GATEWAYS;
    for (int i = 0; i < 100 && !all_in(&w, GGW_ROLLOUT_SWITCHING); i++) {
        step(&w);
    }
    w.gateways[cut].cut = true;
    publish_members(&w);
    cut_at = w.now;
    for (int i = 0; i < 100 && completed_at == 0; i++) {
        step(&w);
        completed_at = state_is(&w, "completed", "v2") ? w.now : 0;
    }
    CU_ASSERT_TRUE(completed_at >= cut_at + 3000);
    w.gateways[cut].cut = false;
    publish_members(&w);
    run(&w, 1000);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_COMPLETED));
    world_clear(&w);
}

/* Guards against a gateway without a majority that completes a roll-out by
 * itself. */
static void
test_minority(void)
{
    struct world w = {0};
    int decider;

    world_init(&w);
    order(&w, "v2");
    run(&w, 1000);
    decider = find_decider(&w);
    w.gateways[decider].cut = true;
    publish_members(&w);
    w.gateways[(decider + 1) % GATEWAYS].cut = true;
    publish_members(&w);
    run(&w, 3 * DURATION);
    CU_ASSERT_TRUE(state_is(&w, "running", "v2"));
    CU_ASSERT_NOT_EQUAL(w.gateways[decider].stage, GGW_ROLLOUT_ROLLED_BACK);
    world_clear(&w);
}

/* Guards against requests to a version that no order names, also after a
 * restart of all gateways, and against a service without any server. */
static void
test_without_order(void)
{
    struct world w = {0};

    world_init(&w);
    run(&w, 1000);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_NONE));
    CU_ASSERT_PTR_NOT_NULL(w.gateways[0].allowed);
    for (int i = 0; i < GATEWAYS; i++) {
        kill_gateway(&w, i);
        start_gateway(&w, i);
    }
    publish_members(&w);
    publish_vms(&w);
    run(&w, SETTLED);
    for (int i = 0; i < GATEWAYS; i++) {
        char **allowed = w.gateways[i].allowed;

        CU_ASSERT_TRUE(allowed != NULL && g_strv_length(allowed) == 1 &&
                       strcmp(allowed[0], "v1") == 0);
    }
    remove_servers(&w, "v1");
    publish_vms(&w);
    run(&w, 6000);
    CU_ASSERT_PTR_NULL(w.gateways[0].allowed);
    add_servers(&w, "v1", 1);
    publish_vms(&w);
    run(&w, 1000);
    CU_ASSERT_PTR_NOT_NULL(w.gateways[0].allowed);
    world_clear(&w);
}

/* Guards against an order for which no server registers and that stays open.
 */
static void
test_no_server(void)
{
    struct world w = {0};

    world_init(&w);
    order(&w, "v9");
    run(&w, DURATION);
    CU_ASSERT_TRUE(state_is(&w, "rolled_back", "v9"));
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_ROLLED_BACK));
    world_clear(&w);
}

/* Guards against a restart of all gateways that forgets a roll-out. */
static void
test_restart(void)
{
    struct world w = {0};

    world_init(&w);
    order(&w, "v2");
    run(&w, 2000);
    w.bad = true;
    run(&w, 2000);
    CU_ASSERT_TRUE(state_is(&w, "rolled_back", "v2"));
    w.bad = false;
    for (int i = 0; i < GATEWAYS; i++) {
        kill_gateway(&w, i);
        start_gateway(&w, i);
    }
    /* They read the same order again. */
    w.version--;
    publish_members(&w);
    publish_vms(&w);
    run(&w, SETTLED + DURATION);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_ROLLED_BACK));
    CU_ASSERT_STRING_EQUAL(w.states->str, "running rolled_back ");
    world_clear(&w);
}

/* Guards against a gateway that has read the order, but does not know its
 * stage yet, and ends the trial early: its counts moved the deadline of the
 * decider to the present. */
static void
test_order_before_state(void)
{
    struct world w = {0};
    int64_t number;
    int restarted;

    world_init(&w);
    order(&w, "v2");
    number = w.version;
    run(&w, 1000);
    restarted = (find_decider(&w) + 1) % GATEWAYS;
    /* Restarts at each point of the interval at which states are repeated. */
    for (int i = 0; i < 5; i++) {
        int64_t version = w.version;

        kill_gateway(&w, restarted);
        start_gateway(&w, restarted);
        publish_members(&w);
        publish_vms(&w);
        w.version = number - 1;
        order(&w, "v2");
        w.version = version;
        run(&w, 2 * STEP);
    }
    run(&w, 1000);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_TRIAL));
    run(&w, DURATION - 3000);
    CU_ASSERT_TRUE(all_in(&w, GGW_ROLLOUT_COMPLETED));
    CU_ASSERT_STRING_EQUAL(w.states->str, "running completed ");
    world_clear(&w);
}

/* Guards against frames with odd values that end the process. */
static void
test_odd_frames(void)
{
    GRand *rand = g_rand_new_with_seed(1);
    struct ggw_rollout_state state = {
        .order = 7,
        .stage = GGW_ROLLOUT_TRIAL,
        .target = (char *)"v2",
        .reason = (char *)"r",
        .duration = 12000,
        .deadline = 12000,
    };
    struct ggw_message *message = ggw_rollout_counts_new(TEAM, SERVICE);
    struct ggw_rollout_counts *counts = (struct ggw_rollout_counts *)message;
    g_autoptr(GBytes) first = NULL;
    g_autoptr(GBytes) second = NULL;

    get_sample(counts->samples, "s")->failed = 1;
    first = ggw_rollout_pack_state(TEAM, SERVICE, &state, 0);
    second = ggw_rollout_pack_counts(counts, 100);
    for (int i = 0; i < 100000; i++) {
        gsize len;
        const char *bytes = g_bytes_get_data(i % 2 ? first : second, &len);
        g_autofree char *copy = g_memdup2(bytes, len);
        g_autoptr(GBytes) payload = NULL;
        struct ggw_rollout_frame frame;

        for (int j = g_rand_int_range(rand, 0, 3); j >= 0; j--) {
            /* No longer arrays than the frame has: msgpack allocates them. */
            copy[g_rand_int_range(rand, 0, (gint32)len)] =
                (char)g_rand_int_range(rand, 0, 0xc4);
        }
        payload = g_bytes_new(
            copy,
            (gsize)g_rand_int_range(rand, (gint32)len / 2, (gint32)len) + 1);
        ggw_rollout_unpack(payload, 0, &frame);
        ggw_rollout_frame_clear(&frame);
    }
    message->ops->destroy(message);
    g_rand_free(rand);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"good version", test_good},
        {"bad version", test_bad},
        {"decider killed before the write", test_decider_killed},
        {"paused writer", test_paused_writer},
        {"paused before the write", test_paused_before_write},
        {"lost answers", test_lost_answers},
        {"store away at the deadline", test_store_away},
        {"bad while the store is away", test_bad_while_store_away},
        {"older copy of the store", test_older_copy},
        {"replaced order", test_replaced},
        {"removed order", test_removed},
        {"removed order, version in use", test_removed_in_use},
        {"malformed orders", test_malformed},
        {"gateway cut off", test_cut_gateway},
        {"no majority", test_minority},
        {"version without an order", test_without_order},
        {"no server of the version", test_no_server},
        {"restart of all gateways", test_restart},
        {"order read before the state", test_order_before_state},
        {"odd frames", test_odd_frames},
        CU_TEST_INFO_NULL,
    };
    int status;

    if (!ggw_log_init("error", NULL)) {
        return 1;
    }
    status = suite_run("rollouts", tests);
    ggw_log_fini();
    ggw_metrics_fini();
    return status;
}
