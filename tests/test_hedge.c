#include <CUnit/CUnit.h>
#include <math.h>
#include <string.h>

#include "decide/hedge.h"
#include "decide/slots.h"
#include "tests/suite.h"

#define SEED 43
#define SERVERS 10
#define SLOTS 4
#define QUEUE 64

/* Limit of the slot time of hedges in percent. */
#define WORK_PERCENT 5.0

/* Times in ms. */
#define SERVICE_TIME 50
#define REQUEST_TIMEOUT 4000
#define RUN_TIME 60000
#define WARM_UP 2000
#define SPELL 300
#define PROBE_INTERVAL 100

static const char *const names[SERVERS] = {"s0", "s1", "s2", "s3", "s4",
                                           "s5", "s6", "s7", "s8", "s9"};
static const struct ggw_limit_rule rule = {
    .slots = SLOTS, .cold_limit = 1, .cold_time = 5000};
static struct ggw_ledger_grant_limits gate;

enum load {
    LOAD_NOISE,  /* each server is 4 times slower a quarter of the time */
    LOAD_LONG,   /* 3 in 100 runs take 7 times as long */
    LOAD_DOMAIN, /* half of the servers are 4 times slower, half of the time */
    LOAD_OVERLOAD, /* 1.3 times the capacity */
};

/**
 * struct attempt - an attempt that waits or runs
 * @id: identifier of its slot request
 * @request: index of the request
 * @server: index of the server; -1: waits for a slot
 * @started: time of the grant, ms
 * @ends: time of the response, ms
 * @hedge: it is a second attempt
 */
struct attempt {
    uint64_t id;
    guint request;
    int server;
    ggw_ms started;
    ggw_ms ends;
    bool hedge;
};

/**
 * struct caller - a request
 * @arrived: time of its arrival, ms
 * @first: time of the first grant, ms; 0: none
 * @server: server of the first attempt
 * @ask_at: time at which a hedge is asked for, ms
 * @refusals: refused hedges
 * @latency: time until its response, ms; 0: none yet; INFINITY: refused
 */
struct caller {
    ggw_ms arrived;
    ggw_ms first;
    int server;
    ggw_ms ask_at;
    int refusals;
    ggw_ms latency;
};

/**
 * struct work - slot time that ended
 * @at: time, ms
 * @first: slot time of first attempts, ms
 * @hedges: slot time of hedges, ms
 */
struct work {
    ggw_ms at;
    ggw_ms first;
    ggw_ms hedges;
};

/**
 * struct model - callers, gateway and servers in virtual time
 * @percent: limit of the slot time of hedges; 0: no hedges are asked for
 * @slow_until, @fast_until: current spell of each server, ms
 * @hedged_servers: bit mask of the servers that ran hedges
 * @refused: refused requests, by reason
 * @refused_first: requests that got no slot
 */
struct model {
    struct ggw_ledger *l;
    GRand *rand;
    enum load load;
    double percent;
    ggw_ms now;
    uint64_t next_id;
    GArray *attempts;
    GArray *callers;
    GArray *work;
    ggw_ms slow_until[SERVERS];
    ggw_ms next_spell[SERVERS];
    int hedges;
    unsigned hedged_servers;
    int refused[GGW_SLOT_HEDGE_SERVER + 1];
    int refused_first;
};

static void
model_init(struct model *m, enum load load, double percent)
{
    struct ggw_ledger_server_config s[SERVERS] = {0};

    *m = (struct model){
        .load = load,
        .percent = percent,
        .rand = g_rand_new_with_seed(SEED),
        .next_id = 1,
        .attempts = g_array_new(FALSE, TRUE, sizeof(struct attempt)),
        .callers = g_array_new(FALSE, TRUE, sizeof(struct caller)),
        .work = g_array_new(FALSE, TRUE, sizeof(struct work)),
    };
    gate.stopped_until = -INFINITY;
    gate.majority_valid_until = INFINITY;
    m->l = ggw_ledger_new(&gate, m->rand, 0);
    ggw_ledger_set_policy(m->l, ggw_policy_find("fastest"), 0);
    ggw_ledger_set_hedge_work(m->l, percent);
    for (int i = 0; i < SERVERS; i++) {
        s[i].name = names[i];
        s[i].incarnation = 1;
        s[i].warm = true;
        s[i].slots = SLOTS;
    }
    ggw_ledger_configure(m->l, &rule, QUEUE, s, SERVERS, 0);
}

static void
model_clear(struct model *m)
{
    ggw_ledger_free(m->l);
    g_array_unref(m->attempts);
    g_array_unref(m->callers);
    g_array_unref(m->work);
    g_rand_free(m->rand);
}

static bool
is_slow(struct model *m, int server)
{
    if (m->load == LOAD_DOMAIN) {
        /* Spells start between two probes. */
        return server < SERVERS / 2 && fmod(m->now + 50, 1000) < 500;
    }
    return m->load == LOAD_NOISE && m->now < m->slow_until[server];
}

/* Starts spells of SPELL ms that take a quarter of the time. */
static void
update_spells(struct model *m)
{
    for (int i = 0; i < SERVERS && m->load == LOAD_NOISE; i++) {
        if (m->now >= m->next_spell[i]) {
            m->slow_until[i] = m->now + SPELL;
            m->next_spell[i] =
                m->now + SPELL + g_rand_double_range(m->rand, 0, 6 * SPELL);
        }
    }
}

static int
count_running(const struct model *m, int server)
{
    int n = 0;

    for (guint i = 0; i < m->attempts->len; i++) {
        n += g_array_index(m->attempts, struct attempt, i).server == server;
    }
    return n;
}

static struct ggw_load_report
report_of(struct model *m, int server)
{
    return (struct ggw_load_report){
        .present = true,
        .slots = SLOTS,
        .busy = count_running(m, server),
        .incarnation = 1,
        .slow_percent = is_slow(m, server) ? 400 : 100,
    };
}

static ggw_ms
draw_time(struct model *m, int server)
{
    double t = SERVICE_TIME * g_rand_double_range(m->rand, 0.8, 1.2);

    if (m->load == LOAD_LONG && g_rand_int_range(m->rand, 0, 100) < 3) {
        t *= 7;
    }
    return is_slow(m, server) ? 4 * t : t;
}

static struct attempt *
find_attempt(struct model *m, uint64_t id, guint *index)
{
    for (guint i = 0; i < m->attempts->len; i++) {
        struct attempt *a = &g_array_index(m->attempts, struct attempt, i);

        if (a->id == id) {
            *index = i;
            return a;
        }
    }
    return NULL;
}

static void
on_grant(struct model *m, struct attempt *a, const char *server)
{
    struct caller *c = &g_array_index(m->callers, struct caller, a->request);

    a->server = server[1] - '0';
    a->started = m->now;
    a->ends = m->now + draw_time(m, a->server);
    if (a->hedge) {
        m->hedges++;
        m->hedged_servers |= 1U << a->server;
        CU_ASSERT_NOT_EQUAL(a->server, c->server);
        CU_ASSERT_EQUAL(ggw_ledger_waiting_count(m->l), 0);
    }
    else {
        c->first = m->now;
        c->ask_at = m->now + 1.5 * SERVICE_TIME;
        c->server = a->server;
    }
}

static void
on_refused(struct model *m, const struct attempt *a)
{
    static const struct ggw_latency latency = {.p50 = SERVICE_TIME};
    struct caller *c = &g_array_index(m->callers, struct caller, a->request);

    if (a->hedge) {
        c->ask_at = m->now + ggw_hedge_ask_again(++c->refusals, &latency);
    }
    else {
        m->refused_first++;
        c->latency = INFINITY;
    }
}

static void
take_decisions(struct model *m)
{
    struct ggw_ledger_decision d;
    guint i;

    while (ggw_ledger_decision(m->l, &d)) {
        struct attempt *a = find_attempt(m, d.id, &i);

        if (d.answer == GGW_LEDGER_GRANTED) {
            on_grant(m, a, d.server);
        }
        if (d.answer == GGW_LEDGER_QUEUED) {
            CU_ASSERT_FALSE(a->hedge);
        }
        if (d.answer == GGW_LEDGER_REFUSED) {
            m->refused[d.reason]++;
            on_refused(m, a);
            g_array_remove_index_fast(m->attempts, i);
        }
        g_free(d.holder);
        g_free(d.server);
    }
}

static void
ask(struct model *m, guint request, bool hedge)
{
    struct caller *c = &g_array_index(m->callers, struct caller, request);
    struct attempt a = {
        .id = m->next_id++, .request = request, .server = -1, .hedge = hedge};
    char *avoid[] = {hedge ? (char *)names[c->server] : NULL, NULL};
    struct ggw_ledger_request r = {
        .holder = "g0",
        .id = a.id,
        .priority = 1,
        .deadline = m->now + REQUEST_TIMEOUT,
        .may_queue = true,
        .avoid = hedge ? avoid : NULL,
        .hedge = hedge,
    };

    g_array_append_val(m->attempts, a);
    ggw_ledger_request(m->l, &r, m->now);
    take_decisions(m);
}

static void
release(struct model *m, const struct attempt *a,
        enum ggw_attempt_result result)
{
    struct ggw_load_report report = report_of(m, a->server);
    struct work w = {.at = m->now};

    *(a->hedge ? &w.hedges : &w.first) = m->now - a->started;
    g_array_append_val(m->work, w);
    ggw_ledger_release(m->l, "g0", a->id, names[a->server], result,
                       m->now - a->started,
                       result == GGW_ATTEMPT_OK ? &report : NULL, m->now);
    take_decisions(m);
}

/* Cancels the other attempt of a request that has its response. */
static void
cancel_other(struct model *m, guint request)
{
    for (guint i = 0; i < m->attempts->len; i++) {
        struct attempt a = g_array_index(m->attempts, struct attempt, i);

        if (a.request == request) {
            g_array_remove_index_fast(m->attempts, i);
            release(m, &a, GGW_ATTEMPT_CANCELLED);
            return;
        }
    }
}

static void
end_attempts(struct model *m)
{
    for (guint i = 0; i < m->attempts->len;) {
        struct attempt a = g_array_index(m->attempts, struct attempt, i);
        struct caller *c;

        if (a.server < 0 || a.ends > m->now) {
            i++;
            continue;
        }
        g_array_remove_index_fast(m->attempts, i);
        c = &g_array_index(m->callers, struct caller, a.request);
        c->latency = m->now - c->arrived;
        release(m, &a, GGW_ATTEMPT_OK);
        cancel_other(m, a.request);
        i = 0;
    }
}

static void
send_hedges(struct model *m)
{
    for (guint i = 0; i < m->attempts->len; i++) {
        struct attempt a = g_array_index(m->attempts, struct attempt, i);
        struct caller *c =
            &g_array_index(m->callers, struct caller, a.request);

        if (a.server >= 0 && !a.hedge && m->now >= c->ask_at) {
            c->ask_at = INFINITY;
            ask(m, a.request, true);
        }
    }
}

static void
probe(struct model *m)
{
    for (int i = 0; i < SERVERS; i++) {
        struct ggw_load_report r = report_of(m, i);

        ggw_ledger_report(m->l, names[i], &r, m->now);
    }
    take_decisions(m);
}

static void
run(struct model *m)
{
    double capacity = (double)SERVERS * SLOTS / SERVICE_TIME;
    double rate = (m->load == LOAD_OVERLOAD ? 1.3 : 0.4) * capacity;
    double due = 0;
    int arrivals;

    for (m->now = WARM_UP; m->now < WARM_UP + RUN_TIME; m->now++) {
        update_spells(m);
        end_attempts(m);
        if ((int)m->now % PROBE_INTERVAL == 0) {
            probe(m);
        }
        if (m->percent > 0) {
            send_hedges(m);
        }
        due += rate;
        arrivals = (int)due;
        due -= arrivals;
        for (int i = 0; i < arrivals; i++) {
            struct caller c = {.arrived = m->now};

            g_array_append_val(m->callers, c);
            ask(m, m->callers->len - 1, false);
        }
        ggw_ledger_tick(m->l, m->now);
        take_decisions(m);
    }
}

static gint
compare(gconstpointer a, gconstpointer b)
{
    ggw_ms x = *(const ggw_ms *)a;
    ggw_ms y = *(const ggw_ms *)b;

    return (x > y) - (x < y);
}

struct figures {
    double p50;
    double p99;
    double p999;
    double extra;
};

static struct figures
measure(const struct model *m, const char *name)
{
    g_autoptr(GArray) v = g_array_new(FALSE, FALSE, sizeof(ggw_ms));
    struct figures f;
    ggw_ms first = 0;
    ggw_ms hedges = 0;

    for (guint i = 0; i < m->callers->len; i++) {
        ggw_ms latency = g_array_index(m->callers, struct caller, i).latency;

        if (latency > 0 && isfinite(latency)) {
            g_array_append_val(v, latency);
        }
    }
    for (guint i = 0; i < m->work->len; i++) {
        first += g_array_index(m->work, struct work, i).first;
        hedges += g_array_index(m->work, struct work, i).hedges;
    }
    g_array_sort(v, compare);
    f.p50 = g_array_index(v, ggw_ms, v->len / 2);
    f.p99 = g_array_index(v, ggw_ms, v->len * 99 / 100);
    f.p999 = g_array_index(v, ggw_ms, (guint)(v->len * 0.999));
    f.extra = hedges / first;
    printf("\n    %s, %.0f%%: p50 %.0f, p99 %.0f, p99.9 %.0f ms; hedges %d, "
           "extra slot time %.4f; refused busy %d, work %d, server %d; "
           "served %u",
           name, m->percent, f.p50, f.p99, f.p999, m->hedges, f.extra,
           m->refused[GGW_SLOT_HEDGE_BUSY], m->refused[GGW_SLOT_HEDGE_WORK],
           m->refused[GGW_SLOT_HEDGE_SERVER], v->len);
    return f;
}

/*
 * Checks the limit in each window between the ends of attempts: the share of
 * the window and of what one second of all slots may save up, and one run on
 * each slot for the hedges in progress.
 */
static void
check_windows(const struct model *m)
{
    ggw_ms saved = WORK_PERCENT / 100 * SERVERS * SLOTS * 1000;
    /* Largest sum of hedges - share * first over the windows that end here. */
    double sum = 0;
    double most = 0;

    for (guint i = 0; i < m->work->len; i++) {
        const struct work *w = &g_array_index(m->work, struct work, i);

        sum = MAX(sum + w->hedges - WORK_PERCENT / 100 * w->first, 0);
        most = MAX(most, sum);
    }
    /* Hedges in progress may take longer than was reserved for them. */
    CU_ASSERT_TRUE(most <= saved + SLOTS * SERVERS * SERVICE_TIME);
}

static void
compare_load(enum load load, const char *name, struct figures *without,
             struct figures *with)
{
    struct model m;

    model_init(&m, load, 0);
    run(&m);
    *without = measure(&m, name);
    model_clear(&m);
    model_init(&m, load, WORK_PERCENT);
    run(&m);
    *with = measure(&m, name);
    check_windows(&m);
    CU_ASSERT_TRUE(m.hedges > 0);
    CU_ASSERT_TRUE(with->extra <= WORK_PERCENT / 100);
    model_clear(&m);
}

/* Guards against hedges that do not help in spells of slow servers. */
static void
test_noise(void)
{
    struct figures without;
    struct figures with;

    compare_load(LOAD_NOISE, "noise", &without, &with);
    CU_ASSERT_TRUE(with.p99 < without.p99);
    CU_ASSERT_TRUE(with.p999 < without.p999);
    CU_ASSERT_TRUE(with.p50 <= without.p50 + 1);
}

/* Guards against runs of 7 times the usual time that nobody cuts short. */
static void
test_long_runs(void)
{
    struct figures without;
    struct figures with;

    compare_load(LOAD_LONG, "long runs", &without, &with);
    CU_ASSERT_TRUE(with.p99 < without.p99);
    CU_ASSERT_TRUE(with.p50 <= without.p50 + 1);
}

/* Guards against hedges on the servers of a slow failure domain. */
static void
test_slow_domain(void)
{
    struct figures without;
    struct figures with;

    compare_load(LOAD_DOMAIN, "slow domain", &without, &with);
    CU_ASSERT_TRUE(with.p99 <= without.p99);
    CU_ASSERT_TRUE(with.p999 < without.p999);
    CU_ASSERT_TRUE(with.p50 <= without.p50 + 1);
}

/* Guards against hedges that take slots from requests under overload. */
static void
test_overload(void)
{
    struct model without;
    struct model with;

    model_init(&without, LOAD_OVERLOAD, 0);
    run(&without);
    measure(&without, "overload");
    model_init(&with, LOAD_OVERLOAD, WORK_PERCENT);
    run(&with);
    measure(&with, "overload");
    CU_ASSERT_EQUAL(with.hedges, 0);
    CU_ASSERT_EQUAL(with.refused_first, without.refused_first);
    model_clear(&without);
    model_clear(&with);
}

/* Guards against hedges beyond their share of the slot time. */
static void
test_work(void)
{
    struct ggw_hedge_work w = {0};

    ggw_hedge_work_configure(&w, 0, 10);
    ggw_hedge_work_earn(&w, 1e6);
    CU_ASSERT_FALSE(ggw_hedge_work_is_on(&w));
    CU_ASSERT_FALSE(ggw_hedge_work_allows(&w, 1));
    ggw_hedge_work_configure(&w, 10, 10);
    CU_ASSERT_FALSE(ggw_hedge_work_allows(&w, 1));
    ggw_hedge_work_earn(&w, 1000);
    CU_ASSERT_TRUE(ggw_hedge_work_allows(&w, 100));
    ggw_hedge_work_reserve(&w, 60);
    CU_ASSERT_FALSE(ggw_hedge_work_allows(&w, 60));
    ggw_hedge_work_end(&w, 60, 150); /* longer than reserved */
    CU_ASSERT_FALSE(ggw_hedge_work_allows(&w, 1));
    ggw_hedge_work_earn(&w, 1e9);
    CU_ASSERT_TRUE(ggw_hedge_work_allows(&w, 1000));
    CU_ASSERT_FALSE(ggw_hedge_work_allows(&w, 1001));
}

/* Guards against a hedge on a server that is slow, busy or not proved. */
static void
test_server(void)
{
    const struct ggw_hedge_server good = {.free = 2,
                                          .warm = true,
                                          .reported = true,
                                          .slots = 4,
                                          .load = 2,
                                          .slow_percent = 100,
                                          .report_age = 100};
    const struct ggw_hedge_server faster = {
        .reported = true, .slow_percent = 90, .report_age = 100};
    struct ggw_hedge_server s = good;

    CU_ASSERT_TRUE(ggw_hedge_may_use(&s, NULL));
    CU_ASSERT_FALSE(ggw_hedge_may_use(&s, &faster));
    s.free = 1;
    CU_ASSERT_FALSE(ggw_hedge_may_use(&s, NULL));
    s = good;
    s.warm = false;
    CU_ASSERT_FALSE(ggw_hedge_may_use(&s, NULL));
    s = good;
    s.reported = false;
    CU_ASSERT_FALSE(ggw_hedge_may_use(&s, NULL));
    s = good;
    s.report_age = 600;
    CU_ASSERT_FALSE(ggw_hedge_may_use(&s, NULL));
    s = good;
    s.slow_percent = 400;
    CU_ASSERT_FALSE(ggw_hedge_may_use(&s, NULL));
    s.slow_percent = 0;
    CU_ASSERT_TRUE(ggw_hedge_may_use(&s, NULL));
    s.load = 4;
    CU_ASSERT_FALSE(ggw_hedge_may_use(&s, NULL));
    CU_ASSERT_FALSE(ggw_hedge_leaves_spare(1, 10));
    CU_ASSERT_TRUE(ggw_hedge_leaves_spare(2, 10));
}

/* Fills the ledger's credit for hedges with requests that take one slot. */
static void
earn_credit(struct model *m)
{
    for (int i = 0; i < 100; i++) {
        struct caller c = {.arrived = m->now};
        struct attempt a;

        g_array_append_val(m->callers, c);
        ask(m, m->callers->len - 1, false);
        a = g_array_index(m->attempts, struct attempt, 0);
        m->now += SERVICE_TIME;
        g_array_remove_index_fast(m->attempts, 0);
        release(m, &a, GGW_ATTEMPT_OK);
    }
    probe(m);
}

/* Starts a request and asks for a hedge of it; returns the hedges granted. */
static int
ask_hedge(struct model *m)
{
    struct caller c = {.arrived = m->now};
    int before = m->hedges;

    g_array_append_val(m->callers, c);
    ask(m, m->callers->len - 1, false);
    ask(m, m->callers->len - 1, true);
    return m->hedges - before;
}

/* Guards against hedges that wait, or take the last free slots. */
static void
test_spare(void)
{
    struct model m;

    model_init(&m, LOAD_LONG, WORK_PERCENT);
    CU_ASSERT_EQUAL(ask_hedge(&m), 0);
    CU_ASSERT_EQUAL(m.refused[GGW_SLOT_HEDGE_WORK], 1);
    earn_credit(&m);
    CU_ASSERT_EQUAL(ask_hedge(&m), 1);
    for (int i = 0; i < 2 * SERVERS * SLOTS; i++) {
        int waiting = (int)ggw_ledger_waiting_count(m.l);

        if (ask_hedge(&m) > 0) {
            CU_ASSERT_EQUAL(waiting, 0);
        }
    }
    CU_ASSERT_TRUE(m.refused[GGW_SLOT_HEDGE_BUSY] > SERVERS * SLOTS);
    CU_ASSERT_EQUAL(m.refused_first, 0);
    model_clear(&m);
}

/* Guards against hedges on servers that start, leave, pause or are unproved.
 */
static void
test_unproved(void)
{
    for (int kind = 0; kind < 4; kind++) {
        /* Cold servers have slots to spare. */
        struct ggw_limit_rule cold_rule = rule;
        struct ggw_ledger_server_config s[SERVERS] = {0};
        struct ggw_exposure_limits limits = {.order = 1,
                                             .stage = GGW_ROLLOUT_TRIAL,
                                             .target = "v2",
                                             .percent = 0,
                                             .tally =
                                                 ggw_exposure_tally_new()};
        struct model m;

        model_init(&m, LOAD_LONG, WORK_PERCENT);
        earn_credit(&m);
        for (int i = 0; i < SERVERS; i++) {
            s[i] = (struct ggw_ledger_server_config){.name = names[i],
                                                     .incarnation = 1,
                                                     .warm = true,
                                                     .slots = SLOTS,
                                                     .version = "v1"};
            if (i > 0) {
                s[i].incarnation = kind == 0 ? 2 : 1;
                s[i].closed = kind == 1 || kind == 2;
                s[i].paused_until = kind == 2 ? m.now + 1000 : 0;
                s[i].version = kind == 3 ? "v2" : "v1";
            }
        }
        if (kind == 3) {
            ggw_ledger_set_exposure(m.l, &limits, 1, m.now);
        }
        cold_rule.cold_limit = SLOTS - 1;
        ggw_ledger_configure(m.l, &cold_rule, QUEUE, s, SERVERS, m.now);
        m.hedged_servers = 0;
        for (int i = 0; i < 2 * SERVERS; i++) {
            ask_hedge(&m);
        }
        /* A hedge of a request that runs on another server may use s0. */
        CU_ASSERT_EQUAL(m.hedged_servers & ~1U, 0);
        CU_ASSERT_TRUE(m.refused[GGW_SLOT_HEDGE_SERVER] +
                           m.refused[GGW_SLOT_HEDGE_BUSY] >
                       0);
        model_clear(&m);
        ggw_exposure_tally_free(limits.tally);
    }
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"work", test_work},
        {"server", test_server},
        {"spare", test_spare},
        {"unproved", test_unproved},
        {"noise", test_noise},
        {"long runs", test_long_runs},
        {"slow domain", test_slow_domain},
        {"overload", test_overload},
        CU_TEST_INFO_NULL,
    };

    return suite_run("hedge", tests);
}
