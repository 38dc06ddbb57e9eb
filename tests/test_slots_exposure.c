#include <CUnit/CUnit.h>
#include <math.h>
#include <string.h>

#include "decide/slots.h"
#include "tests/suite.h"

#define SEED 46

/* Servers s0 to s5 run the version "v1", s6 to s9 the version "v2". */
#define SERVERS 10
#define OLD_SERVERS 6
#define SLOTS 4

#define ROUTES 3
#define QUEUE 64

/* Times in ms. */
#define SERVICE_TIME 100
#define REQUEST_TIMEOUT 4000

static const char *const names[SERVERS] = {"s0", "s1", "s2", "s3", "s4",
                                           "s5", "s6", "s7", "s8", "s9"};
static const char *const routes[ROUTES] = {"r0", "r1", "r2"};
static const struct ggw_limit_rule rule = {
    .slots = SLOTS, .cold_limit = 1, .cold_time = 5000};
static struct ggw_ledger_grant_limits gate;

/**
 * struct run - a grant that runs on its server
 * @id: identifier of the request
 * @server: index of the server
 * @ends: time of its release, ms
 */
struct run {
    uint64_t id;
    int server;
    ggw_ms ends;
};

/**
 * struct model - a ledger with requests in virtual time
 * @limits: stage of the roll-out
 * @now: time, ms
 * @next_id: identifier of the next request
 * @runs: array of struct run
 * @sent: requests sent
 * @grants: grants, by server
 * @max_running: most requests that ran at the same time, by server
 * @by_route: grants on the new version, by route
 * @refused: refused requests
 * @reason: reason of the last refusal
 * @fail_percent: percentage of the requests on the new version that fail
 * @retries: failed requests are sent again; @sent does not count these
 */
struct model {
    struct ggw_ledger *l;
    GRand *rand;
    struct ggw_exposure_limits limits;
    ggw_ms now;
    uint64_t next_id;
    GArray *runs;
    int sent;
    int grants[SERVERS];
    int max_running[SERVERS];
    int by_route[ROUTES];
    int refused;
    enum ggw_slot_refusal reason;
    int fail_percent;
    bool retries;
};

static void
configure(struct model *m)
{
    struct ggw_ledger_server_config s[SERVERS] = {0};

    for (int i = 0; i < SERVERS; i++) {
        s[i].name = names[i];
        s[i].incarnation = 1;
        s[i].warm = true;
        s[i].version = i < OLD_SERVERS ? "v1" : "v2";
    }
    ggw_ledger_configure(m->l, &rule, QUEUE, s, SERVERS, m->now);
}

static void
model_init(struct model *m)
{
    *m = (struct model){
        .rand = g_rand_new_with_seed(SEED),
        .limits = {.order = 1,
                   .stage = GGW_ROLLOUT_TRIAL,
                   .target = "v2",
                   .percent = 10,
                   .tally = ggw_exposure_tally_new()},
        .runs = g_array_new(FALSE, FALSE, sizeof(struct run)),
        .next_id = 1,
    };
    gate.stopped_until = -INFINITY;
    gate.majority_valid_until = INFINITY;
    m->l = ggw_ledger_new(&gate, m->rand, 0);
    configure(m);
}

static void
model_clear(struct model *m)
{
    ggw_ledger_free(m->l);
    ggw_exposure_tally_free(m->limits.tally);
    g_array_unref(m->runs);
    g_rand_free(m->rand);
}

static void
set_stage(struct model *m, enum ggw_rollout_stage stage)
{
    m->limits.stage = stage;
    ggw_ledger_set_exposure(m->l, &m->limits, 1, m->now);
    ggw_ledger_tick(m->l, m->now);
}

static int
count_running(const struct model *m, int server)
{
    int n = 0;

    for (guint i = 0; i < m->runs->len; i++) {
        n += g_array_index(m->runs, struct run, i).server == server;
    }
    return n;
}

static int
granted_new(const struct model *m)
{
    int n = 0;

    for (int i = OLD_SERVERS; i < SERVERS; i++) {
        n += m->grants[i];
    }
    return n;
}

static int
granted_old(const struct model *m)
{
    int n = 0;

    for (int i = 0; i < OLD_SERVERS; i++) {
        n += m->grants[i];
    }
    return n;
}

static void
on_grant(struct model *m, const struct ggw_ledger_decision *d)
{
    struct run run = {.id = d->id,
                      .server = d->server[1] - '0',
                      .ends = m->now + SERVICE_TIME};
    int n;

    g_array_append_val(m->runs, run);
    m->grants[run.server]++;
    n = count_running(m, run.server);
    m->max_running[run.server] = MAX(m->max_running[run.server], n);
    if (run.server >= OLD_SERVERS) {
        m->by_route[d->id % ROUTES]++;
    }
}

static void
take_decisions(struct model *m)
{
    struct ggw_ledger_decision d;

    while (ggw_ledger_decision(m->l, &d)) {
        if (d.answer == GGW_LEDGER_GRANTED) {
            on_grant(m, &d);
        }
        if (d.answer == GGW_LEDGER_REFUSED) {
            m->refused++;
            m->reason = d.reason;
        }
        g_free(d.holder);
        g_free(d.server);
    }
}

static void
send_request(struct model *m, bool hedge, char *const *avoid)
{
    uint64_t id = m->next_id++;
    struct ggw_ledger_request request = {
        .holder = "g0",
        .id = id,
        .priority = 1,
        .deadline = m->now + REQUEST_TIMEOUT,
        .may_queue = true,
        .avoid = avoid,
        .route = routes[id % ROUTES],
        .hedge = hedge,
    };

    m->sent++;
    ggw_ledger_request(m->l, &request, m->now);
    take_decisions(m);
}

static void
end_runs(struct model *m)
{
    for (guint i = m->runs->len; i > 0; i--) {
        struct run run = g_array_index(m->runs, struct run, i - 1);
        bool fails = run.server >= OLD_SERVERS &&
                     g_rand_int_range(m->rand, 0, 100) < m->fail_percent;

        if (run.ends > m->now) {
            continue;
        }
        g_array_remove_index_fast(m->runs, i - 1);
        ggw_ledger_release(m->l, "g0", run.id, names[run.server],
                           fails ? GGW_ATTEMPT_ERROR : GGW_ATTEMPT_OK,
                           SERVICE_TIME, NULL, m->now);
        take_decisions(m);
        if (fails && m->retries) {
            char *avoid[] = {(char *)names[run.server], NULL};

            send_request(m, false, avoid);
            m->sent--;
        }
    }
}

/* Runs for @span ms with requests at a rate, in requests per second. */
static void
run_for(struct model *m, ggw_ms span, double rate)
{
    for (ggw_ms end = m->now + span; m->now < end; m->now++) {
        end_runs(m);
        if (g_rand_double(m->rand) < rate / 1000) {
            send_request(m, false, NULL);
        }
        if (fmod(m->now, 10) == 0) {
            ggw_ledger_tick(m->l, m->now);
            take_decisions(m);
        }
        if (m->limits.stage == GGW_ROLLOUT_TRIAL) {
            CU_ASSERT_TRUE(granted_new(m) <= 0.1 * m->sent + m->limits.slack);
        }
    }
}

/*
 * Guards against more requests on a version on trial than its limit, at low
 * load and when the other servers are full, and against an allowance that is
 * not used.
 */
static void
test_trial(void)
{
    static const double rates[] = {20, 150, 400}; /* 240 fill the old ones */

    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        struct model m;

        model_init(&m);
        set_stage(&m, GGW_ROLLOUT_TRIAL);
        run_for(&m, 10000, rates[i]);
        CU_ASSERT_TRUE(granted_new(&m) >=
                       0.1 * (granted_old(&m) + granted_new(&m)) - 3);
        model_clear(&m);
    }
}

/*
 * Guards against a version that gets more than its limit because it fails: its
 * slots are free, and the retries of its failures are grants, too.
 */
static void
test_failing_version(void)
{
    struct model m;

    model_init(&m);
    m.fail_percent = 40; /* too few in a row for an ejection */
    m.retries = true;
    set_stage(&m, GGW_ROLLOUT_TRIAL);
    run_for(&m, 20000, 150);
    CU_ASSERT_TRUE(granted_new(&m) > 0);
    model_clear(&m);
}

/* Trials that run at the same time in the next test. */
#define TRIALS_RUNNING 2

/*
 * Guards against trials that are spread so thin that no server of the version
 * sees load, that stay on one server, or that leave out a route.
 */
static void
test_concentration(void)
{
    struct model m;
    int full = 0;
    int used = 0;

    model_init(&m);
    set_stage(&m, GGW_ROLLOUT_TRIAL);
    run_for(&m, 20000, 10 * 1e3 / SERVICE_TIME * TRIALS_RUNNING);
    for (int i = OLD_SERVERS; i < SERVERS; i++) {
        full += m.max_running[i] >= TRIALS_RUNNING;
        used += m.grants[i] > 20;
    }
    CU_ASSERT_EQUAL(full, SERVERS - OLD_SERVERS);
    CU_ASSERT_EQUAL(used, SERVERS - OLD_SERVERS);
    for (int i = 0; i < ROUTES; i++) {
        CU_ASSERT_TRUE(m.by_route[i] >= granted_new(&m) / ROUTES / 2);
    }
    model_clear(&m);
}

/*
 * Guards against the slack of an order being used twice, by an owner that took
 * over after another had used it, or by each of several owners, and against a
 * slack that is never used.
 */
static void
test_slack(void)
{
    for (int taken_over = 0; taken_over < 2; taken_over++) {
        struct model m;

        model_init(&m);
        m.limits.slack = 20;
        m.now = taken_over ? GGW_LEDGER_HOLD_DOWN + 100 : 60000;
        configure(&m);
        set_stage(&m, GGW_ROLLOUT_TRIAL);
        CU_ASSERT_EQUAL(
            ggw_ledger_available_slots(m.l, m.now),
            OLD_SERVERS * SLOTS +
                (taken_over ? 0 : (SERVERS - OLD_SERVERS) * SLOTS));
        run_for(&m, 2000, 200);
        CU_ASSERT_TRUE(taken_over ? granted_new(&m) <= 0.1 * m.sent
                                  : granted_new(&m) >= 0.1 * m.sent + 15);
        model_clear(&m);
    }
    {
        struct model m;

        model_init(&m);
        m.limits.slack = 20;
        m.now = 60000;
        configure(&m);
        ggw_ledger_set_exposure(m.l, &m.limits, 4, m.now);
        CU_ASSERT_EQUAL(ggw_ledger_available_slots(m.l, m.now),
                        OLD_SERVERS * SLOTS + 20 / 4);
        model_clear(&m);
    }
}

/*
 * Guards against free slots of the version on trial that are announced to
 * other gateways or make requests wait, although none may be granted.
 */
static void
test_available_slots(void)
{
    struct model m;

    model_init(&m);
    set_stage(&m, GGW_ROLLOUT_TRIAL);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(m.l, 0), OLD_SERVERS * SLOTS);
    for (int i = 0; i < 10; i++) {
        send_request(&m, false, NULL);
    }
    CU_ASSERT_EQUAL(granted_new(&m), 0);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(m.l, 0),
                    OLD_SERVERS * SLOTS - 10 + 1);
    send_request(&m, false, NULL);
    CU_ASSERT_EQUAL(granted_new(&m), 1);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(m.l, 0),
                    OLD_SERVERS * SLOTS - 10);
    model_clear(&m);
}

/*
 * Guards against a hedge or a retry as a trial while another server can take
 * it, and against a retry that waits for the allowance although the only
 * server that it avoids could take it.
 */
static void
test_second_attempts(void)
{
    char *tried[OLD_SERVERS + 1] = {(char *)names[0]};
    struct model m;

    model_init(&m);
    set_stage(&m, GGW_ROLLOUT_TRIAL);
    for (int i = 0; i < 10; i++) {
        send_request(&m, false, NULL);
    }
    send_request(&m, true, tried);
    send_request(&m, false, tried);
    CU_ASSERT_EQUAL(granted_new(&m), 0);
    send_request(&m, false, NULL); /* the trial */
    CU_ASSERT_EQUAL(granted_new(&m), 1);
    for (int i = 0; i < OLD_SERVERS; i++) {
        tried[i] = (char *)names[i];
    }
    send_request(&m, false, tried);
    CU_ASSERT_EQUAL(granted_new(&m), 1);
    CU_ASSERT_EQUAL(ggw_ledger_waiting_count(m.l), 0);
    model_clear(&m);

    /* Only servers of the new version have a free slot. */
    model_init(&m);
    m.limits.percent = 0;
    set_stage(&m, GGW_ROLLOUT_TRIAL);
    for (int i = 0; i < OLD_SERVERS * SLOTS; i++) {
        send_request(&m, false, NULL);
    }
    m.limits.percent = 50;
    send_request(&m, true, NULL);
    CU_ASSERT_EQUAL(granted_new(&m), 0);
    send_request(&m, false, NULL);
    CU_ASSERT_EQUAL(granted_new(&m), 1);
    model_clear(&m);
}

/*
 * Guards against requests on old servers once the switch was ordered, also of
 * requests that waited before, and on new ones once they were rolled back.
 */
static void
test_stages(void)
{
    static const enum ggw_rollout_stage stages[] = {
        GGW_ROLLOUT_SWITCHING, GGW_ROLLOUT_COMPLETED, GGW_ROLLOUT_ROLLED_BACK};

    for (size_t i = 0; i < G_N_ELEMENTS(stages); i++) {
        bool back = stages[i] == GGW_ROLLOUT_ROLLED_BACK;
        struct model m;
        int closed;
        int open;

        model_init(&m);
        set_stage(&m, GGW_ROLLOUT_TRIAL);
        run_for(&m, 2000, 400);
        CU_ASSERT_TRUE(ggw_ledger_waiting_count(m.l) > 0);
        m.limits.stage = stages[i];
        closed = back ? granted_new(&m) : granted_old(&m);
        open = back ? granted_old(&m) : granted_new(&m);
        set_stage(&m, stages[i]);
        take_decisions(&m);
        run_for(&m, 3000, 100);
        CU_ASSERT_EQUAL(back ? granted_new(&m) : granted_old(&m), closed);
        CU_ASSERT_TRUE((back ? granted_old(&m) : granted_new(&m)) >
                       open + 200);
        CU_ASSERT_EQUAL(ggw_ledger_waiting_count(m.l), 0);
        if (!back) {
            CU_ASSERT_EQUAL(ggw_ledger_granted_old(m.l), 0);
        }
        model_clear(&m);
    }
}

/*
 * Guards against requests that wait for servers that the stage of the roll-out
 * closes: they are refused as without a server.
 */
static void
test_no_open_server(void)
{
    char *allowed[] = {(char *)"v0", NULL};
    struct model m;

    model_init(&m);
    m.limits.target = "v3";
    set_stage(&m, GGW_ROLLOUT_SWITCHING);
    send_request(&m, false, NULL);
    CU_ASSERT_EQUAL(m.refused, 1);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(m.l, 0), 0);
    model_clear(&m);

    /* Without other servers, the allowance of a trial never grows. */
    model_init(&m);
    m.limits.allowed = allowed;
    set_stage(&m, GGW_ROLLOUT_TRIAL);
    send_request(&m, false, NULL);
    CU_ASSERT_EQUAL(m.refused, 1);
    CU_ASSERT_EQUAL(m.reason, GGW_SLOT_NO_SERVER);
    model_clear(&m);
}

/*
 * Guards against a ledger that wants to run again at once, over and over,
 * because of a cold server that may not take the waiting requests.
 */
static void
test_cold_server_of_new_version(void)
{
    struct ggw_ledger_server_config s[2] = {
        {.name = "o0", .incarnation = 1, .warm = true, .version = "v1"},
        {.name = "n7", .incarnation = 1, .version = "v2"},
    };
    struct ggw_limit_rule cold_rule = rule;
    struct model m;

    model_init(&m);
    cold_rule.cold_rate = 20;
    m.now = 10000;
    ggw_ledger_configure(m.l, &cold_rule, QUEUE, s, 2, m.now);
    for (int i = 0; i < SLOTS + 1; i++) {
        send_request(&m, false, NULL);
    }
    CU_ASSERT_EQUAL(granted_new(&m), 1);
    m.now += 2 * SERVICE_TIME;
    end_runs(&m);
    set_stage(&m, GGW_ROLLOUT_TRIAL);
    for (int i = 0; i < SLOTS + 1; i++) {
        send_request(&m, false, NULL);
    }
    CU_ASSERT_EQUAL(ggw_ledger_waiting_count(m.l), 1);
    CU_ASSERT_TRUE(ggw_ledger_next_tick(m.l) > m.now);
    model_clear(&m);
}

/*
 * Guards against grants that count for a later order, and against an allowance
 * lost with grants with which nothing was sent.
 */
static void
test_orders(void)
{
    struct model m;

    model_init(&m);
    m.limits.percent = 0;
    set_stage(&m, GGW_ROLLOUT_TRIAL);
    run_for(&m, 1000, 100);
    m.limits.order = 2;
    m.limits.percent = 10;
    set_stage(&m, GGW_ROLLOUT_TRIAL);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(m.l, m.now),
                    OLD_SERVERS * SLOTS - (int)m.runs->len);
    model_clear(&m);

    model_init(&m);
    set_stage(&m, GGW_ROLLOUT_TRIAL);
    for (int i = 0; i < 11; i++) {
        send_request(&m, false, NULL);
    }
    CU_ASSERT_EQUAL(granted_new(&m), 1);
    ggw_ledger_cancel(m.l, "g0", m.next_id - 1, m.now);
    for (int i = 0; i < 4; i++) {
        send_request(&m, false, NULL);
    }
    CU_ASSERT_EQUAL(granted_new(&m), 2);
    model_clear(&m);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"trial", test_trial},
        {"failing version", test_failing_version},
        {"concentration", test_concentration},
        {"slack", test_slack},
        {"available slots", test_available_slots},
        {"second attempts", test_second_attempts},
        {"stages", test_stages},
        {"no open server", test_no_open_server},
        {"cold server of the new version", test_cold_server_of_new_version},
        {"orders", test_orders},
        CU_TEST_INFO_NULL,
    };

    return suite_run("slots exposure", tests);
}
