#include <CUnit/Basic.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "decide/slots.h"

#define SEED 511
#define SERVERS 4
#define HOLDERS 3
#define IDS 12 /* the last requests, which operations refer to */

static const char *const server_names[SERVERS] = {"s0", "s1", "s2", "s3"};
static const char *const holder_names[HOLDERS] = {"g0", "g1", "g2"};
static const struct ggw_limit_rule rule = {
    .slots = 2, .cold_limit = 1, .cold_time = 5000};
static struct ggw_ledger_grant_limits gate;

static void
configure(struct ggw_ledger *l, bool warm, unsigned closed, bool out,
          ggw_ms now)
{
    struct ggw_ledger_server_config s[SERVERS] = {0};

    for (int i = 0; i < SERVERS; i++) {
        s[i].name = server_names[i];
        s[i].incarnation = 1;
        s[i].closed = (closed >> i & 1) != 0;
        s[i].out = out;
        s[i].warm = warm;
    }
    ggw_ledger_configure(l, &rule, 8, s, SERVERS, now);
}

static struct ggw_ledger *
new_ledger(GRand *r, bool warm)
{
    struct ggw_ledger *l = ggw_ledger_new(&gate, r, 0);

    gate.stopped_until = -INFINITY;
    gate.majority_valid_until = INFINITY;
    configure(l, warm, 0, false, 0);
    return l;
}

static void
ask(struct ggw_ledger *l, int holder, uint64_t id, ggw_ms deadline, ggw_ms now)
{
    struct ggw_ledger_request a = {.holder = holder_names[holder],
                                   .id = id,
                                   .priority = 1,
                                   .deadline = deadline,
                                   .may_queue = true};

    ggw_ledger_request(l, &a, now);
}

/* Takes all decisions; counts those of one kind. */
static int
decisions(struct ggw_ledger *l, enum ggw_ledger_answer answer)
{
    struct ggw_ledger_decision d;
    int n = 0;

    while (ggw_ledger_decision(l, &d)) {
        n += d.answer == answer;
        g_free(d.holder);
        g_free(d.server);
    }
    return n;
}

static int
in_flight(struct ggw_ledger *l, const char *server)
{
    enum ggw_limit_state state;
    int n;
    int limit;

    CU_ASSERT_TRUE(ggw_ledger_server_limit(l, server, &n, &limit, &state));
    return n;
}

/* Guards against cold grants in the hold-down or without a majority. */
static void
test_cold(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = new_ledger(r, false);

    ask(l, 0, 1, 5000, 10);
    CU_ASSERT_EQUAL(decisions(l, GGW_LEDGER_GRANTED), 0);
    gate.majority_valid_until = 500;
    ggw_ledger_tick(l, GGW_LEDGER_HOLD_DOWN + 1);
    CU_ASSERT_EQUAL(decisions(l, GGW_LEDGER_GRANTED), 0);
    gate.majority_valid_until = 2000;
    ggw_ledger_tick(l, GGW_LEDGER_HOLD_DOWN + 2);
    CU_ASSERT_EQUAL(decisions(l, GGW_LEDGER_GRANTED), 1);
    for (uint64_t id = 2; id < 9; id++) {
        ask(l, 1, id, 5000, 1100);
    }
    CU_ASSERT_EQUAL(decisions(l, GGW_LEDGER_GRANTED), SERVERS - 1);
    ggw_ledger_free(l);
}

/* Guards against any grant of a gateway whose loop has just stalled. */
static void
test_stopped(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = new_ledger(r, true);

    gate.stopped_until = 300;
    ask(l, 0, 1, 5000, 10);
    CU_ASSERT_EQUAL(decisions(l, GGW_LEDGER_GRANTED), 0);
    ggw_ledger_tick(l, 301);
    CU_ASSERT_EQUAL(decisions(l, GGW_LEDGER_GRANTED), 1);
    ggw_ledger_free(l);
}

/* Guards against slots lost with a gateway, or given back while in use. */
static void
test_lost_gateway(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = new_ledger(r, true);

    for (uint64_t id = 1; id <= SERVERS * 2 + 2; id++) {
        ask(l, 0, id, 1000, 0);
    }
    CU_ASSERT_EQUAL(decisions(l, GGW_LEDGER_GRANTED), SERVERS * 2);
    CU_ASSERT_EQUAL(ggw_ledger_waiting(l), 2);
    ggw_ledger_gateway_lost(l, "g0", 10);
    CU_ASSERT_EQUAL(ggw_ledger_waiting(l), 0);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(l, 10), 0);
    CU_ASSERT_EQUAL(ggw_ledger_next_tick(l), 1000 + GGW_LEDGER_EXPIRY_MARGIN);
    ggw_ledger_tick(l, 1000 + GGW_LEDGER_EXPIRY_MARGIN - 1);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(l, 1000), 0);
    ggw_ledger_tick(l, 1000 + GGW_LEDGER_EXPIRY_MARGIN);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(l, 1600), SERVERS * 2);
    ggw_ledger_free(l);
}

/* Guards against a takeover that makes servers cold or forgets grants. */
static void
test_takeover(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *old = new_ledger(r, true);
    struct ggw_ledger *l = ggw_ledger_new(&gate, r, 0);
    g_autoptr(GArray) states = NULL;

    ask(old, 0, 1, 1000, 0);
    ask(old, 1, 1, 1000, 0);
    states = ggw_ledger_export(old, 0);
    configure(l, false, 0, false, 0);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(l, 1), 0);
    for (int twice = 0; twice < 2; twice++) {
        for (guint i = 0; i < states->len; i++) {
            ggw_ledger_import(
                l,
                &g_array_index(states, struct ggw_ledger_handover_record, i),
                1);
        }
    }
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(l, 1), SERVERS * 2 - 2);
    ggw_ledger_release(l, "g1", 1, "", GGW_ATTEMPT_OK, 1, NULL, 2);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(l, 2), SERVERS * 2 - 1);
    /* A late report of the same grant must not bring it back. */
    for (guint i = 0; i < states->len; i++) {
        ggw_ledger_import(
            l, &g_array_index(states, struct ggw_ledger_handover_record, i),
            2);
    }
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(l, 2), SERVERS * 2 - 1);
    configure(l, false, 0, true, 3);
    configure(l, false, 0, false, 4);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(l, 4), 0); /* cold again */
    ggw_ledger_free(old);
    ggw_ledger_free(l);
}

struct model {
    struct ggw_ledger *l;
    GRand *rand;
    ggw_ms now;
    unsigned closed;
    int grants;
    uint64_t next_id;
};

/* Checks each grant when it is made: the server is open and below its limit
 * or, for a trial of an ejected one, otherwise without a new request. */
static void
check_grants(struct model *m)
{
    struct ggw_ledger_decision d;

    while (ggw_ledger_decision(m->l, &d)) {
        enum ggw_limit_state state = GGW_LIMIT_COLD;
        int n = 0;
        int limit = 0;

        if (d.answer == GGW_LEDGER_GRANTED) {
            CU_ASSERT_TRUE(
                ggw_ledger_server_limit(m->l, d.server, &n, &limit, &state));
            CU_ASSERT_TRUE(state == GGW_LIMIT_EJECTED || n <= limit);
            CU_ASSERT_TRUE(limit <= rule.slots);
            CU_ASSERT_FALSE(m->closed >> (d.server[1] - '0') & 1);
            CU_ASSERT_TRUE(m->now >= gate.stopped_until);
            CU_ASSERT_TRUE(state == GGW_LIMIT_WARM ||
                           m->now < gate.majority_valid_until);
            m->grants++;
        }
        g_free(d.holder);
        g_free(d.server);
    }
}

/* A report of a grant, which may name one that waits, runs or has ended. */
static void
adopt(struct model *m, const char *holder, uint64_t id)
{
    const struct ggw_ledger_handover_record state = {
        .server = server_names[id % SERVERS],
        .holder = holder,
        .id = id,
        .expires_in = g_rand_double_range(m->rand, 1, 300),
    };

    ggw_ledger_import(m->l, &state, m->now);
}

static void
random_operation(struct model *m)
{
    uint64_t id = m->next_id - (uint64_t)g_rand_int_range(m->rand, 0, IDS);
    int holder = (int)(id % HOLDERS);
    enum ggw_attempt_result result = GGW_ATTEMPT_OK;
    struct ggw_load_report report = {.present = true, .slots = 2};

    switch (g_rand_int_range(m->rand, 0, 13)) {
    case 0:
        m->closed = (unsigned)g_rand_int_range(m->rand, 0, 1 << SERVERS);
        configure(m->l, false, m->closed, false, m->now);
        break;
    case 1:
        ggw_ledger_cancel(m->l, holder_names[holder], id, m->now);
        break;
    case 2:
        gate.majority_valid_until =
            m->now + g_rand_double_range(m->rand, -50, 200);
        gate.stopped_until = m->now + g_rand_double_range(m->rand, -90, 10);
        break;
    case 3:
        ggw_ledger_gateway_lost(m->l, holder_names[holder], m->now);
        break;
    case 4:
    case 5:
    case 6:
        if (g_rand_int_range(m->rand, 0, 20) == 0) {
            result = (enum ggw_attempt_result)g_rand_int_range(
                m->rand, 0, GGW_ATTEMPT_UNUSED + 1);
        }
        report.cold = g_rand_int_range(m->rand, 0, 200) == 0;
        ggw_ledger_release(m->l, holder_names[holder], id,
                           server_names[id % SERVERS], result, 2, &report,
                           m->now);
        break;
    case 7:
        ggw_ledger_tick(m->l, m->now);
        break;
    case 8:
        adopt(m, holder_names[holder], id);
        break;
    default:
        m->next_id++;
        ask(m->l, (int)(m->next_id % HOLDERS), m->next_id,
            m->now + g_rand_double_range(m->rand, 1, 300), m->now);
        break;
    }
}

/* Guards against a sum of grants above the limit in any order of events. */
static void
test_random_operations(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    int grants = 0;

    for (int history = 0; history < 40; history++) {
        struct model m = {
            .l = new_ledger(r, history % 2 == 0), .rand = r, .next_id = IDS};

        for (int step = 0; step < 2000; step++) {
            m.now += g_rand_double_range(r, 0, 4);
            random_operation(&m);
            check_grants(&m);
        }
        gate.stopped_until = -INFINITY;
        m.closed = 0;
        m.now += 10000;
        ggw_ledger_tick(m.l, m.now);
        for (int i = 0; i < SERVERS; i++) {
            CU_ASSERT_TRUE(in_flight(m.l, server_names[i]) <= rule.slots);
        }
        m.now += 10000;
        ggw_ledger_tick(m.l, m.now);
        for (int i = 0; i < SERVERS; i++) {
            CU_ASSERT_EQUAL(in_flight(m.l, server_names[i]), 0);
        }
        grants += m.grants;
        ggw_ledger_free(m.l);
    }
    CU_ASSERT_TRUE(grants > 2000); /* else little was tested */
}

static void
shed(struct ggw_ledger *l, uint64_t id, int busy, ggw_ms now)
{
    struct ggw_load_report report = {
        .present = true, .slots = 2, .busy = busy, .cold_unknown = true};
    struct ggw_ledger_decision d;

    ask(l, 0, id, now + 1000, now);
    while (ggw_ledger_decision(l, &d)) {
        if (d.answer == GGW_LEDGER_GRANTED) {
            ggw_ledger_release(l, d.holder, d.id, d.server, GGW_ATTEMPT_SHED,
                               1, &report, now);
        }
        g_free(d.holder);
        g_free(d.server);
    }
}

/*
 * Guards against a whole service that is ejected because its servers shed a
 * part of their requests although they have free slots.
 */
static void
test_spare_sheds(void)
{
    GRand *r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = new_ledger(r, true);
    struct ggw_ledger_summary s;

    for (uint64_t id = 1; id <= 100; id++) {
        shed(l, id, 1, 10.0 * (double)id);
    }
    ggw_ledger_summary(l, &s);
    CU_ASSERT_EQUAL(s.states[GGW_LIMIT_WARM], SERVERS);

    /* A server that sheds because it is full gets less. */
    shed(l, 200, 2, 3000);
    ggw_ledger_summary(l, &s);
    CU_ASSERT_EQUAL(s.states[GGW_LIMIT_COLD], 1);
    ggw_ledger_free(l);
    g_rand_free(r);
}

/* Guards against questions to servers that would not be picked. */
static void
test_scout(void)
{
    GRand *r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = new_ledger(r, true);
    struct ggw_ledger_request a = {.holder = "g0", .id = 1, .deadline = 1000};
    struct ggw_load_report report = {
        .present = true, .slots = 2, .slow_percent = 100};
    const char *names[8];

    ggw_ledger_set_policy(l, ggw_policy_find("fastest"), 80);
    CU_ASSERT_EQUAL(ggw_ledger_probe_candidates(l, &a, 30, names, 3, 10), 3);
    CU_ASSERT_EQUAL(ggw_ledger_probe_candidates(l, &a, 30, names, 8, 10),
                    SERVERS);
    /* A fresh report of a server that is as fast as usual is enough. */
    ggw_ledger_report(l, "s2", &report, 10);
    CU_ASSERT_EQUAL(ggw_ledger_probe_candidates(l, &a, 30, names, 3, 20), 0);
    CU_ASSERT_TRUE(ggw_ledger_probe_candidates(l, &a, 30, names, 3, 100) > 0);
    ggw_ledger_free(l);
    g_rand_free(r);
}

/*
 * Guards against a repeated question that arrives after its attempt has
 * failed: a second grant under the same key freed the first one, which still
 * stood in the order of expiry.
 */
static void
test_ask_after_failure(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = new_ledger(r, true);
    ggw_ms now = 0;
    int held = 0;

    /* The usual time, for which the slot of a fast failure stays taken. */
    for (uint64_t id = 1; id <= 100; id++) {
        ask(l, 0, id, now + 1000, now);
        now += 100;
        ggw_ledger_release(l, holder_names[0], id, "", GGW_ATTEMPT_OK, 100,
                           NULL, now);
    }
    decisions(l, GGW_LEDGER_GRANTED);
    ask(l, 0, 101, now + 1000, now);
    CU_ASSERT_EQUAL(decisions(l, GGW_LEDGER_GRANTED), 1);
    ggw_ledger_release(l, holder_names[0], 101, "", GGW_ATTEMPT_REFUSED, 1,
                       NULL, now + 1);
    ask(l, 0, 101, now + 1000, now + 2);
    CU_ASSERT_EQUAL(decisions(l, GGW_LEDGER_GRANTED), 0);
    for (int i = 0; i < SERVERS; i++) {
        held += in_flight(l, server_names[i]);
    }
    CU_ASSERT_EQUAL(held, 1);
    ggw_ledger_tick(l, now + 1000 + GGW_LEDGER_EXPIRY_MARGIN);
    for (int i = 0; i < SERVERS; i++) {
        CU_ASSERT_EQUAL(in_flight(l, server_names[i]), 0);
    }
    ggw_ledger_free(l);
}

/*
 * Guards against two grants under one key: an owner that gave up its ledger
 * and took over again queues a repeated question, and then hears from the
 * holder of the grant that the first question got. The second grant freed the
 * first one, which still stood in the order of expiry.
 */
static void
test_adopt_while_waiting(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = new_ledger(r, true);
    struct ggw_ledger_handover_record state = {.server = "s0",
                                               .holder = holder_names[1],
                                               .id = 50,
                                               .expires_in = 900};

    for (uint64_t id = 1; id <= SERVERS * 2; id++) {
        ask(l, 0, id, 1000, 0);
    }
    CU_ASSERT_EQUAL(decisions(l, GGW_LEDGER_GRANTED), SERVERS * 2);
    ask(l, 1, 50, 1000, 1);
    CU_ASSERT_EQUAL(decisions(l, GGW_LEDGER_QUEUED), 1);
    ggw_ledger_import(l, &state, 2);
    CU_ASSERT_EQUAL(ggw_ledger_waiting(l), 0);
    for (uint64_t id = 1; id <= SERVERS * 2; id++) {
        ggw_ledger_release(l, holder_names[0], id, "", GGW_ATTEMPT_OK, 5, NULL,
                           10);
    }
    CU_ASSERT_EQUAL(decisions(l, GGW_LEDGER_GRANTED), 0);
    CU_ASSERT_EQUAL(in_flight(l, "s0"), 1);
    ggw_ledger_tick(l, 902);
    CU_ASSERT_EQUAL(in_flight(l, "s0"), 0);
    ggw_ledger_free(l);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("slots ledger", NULL, NULL);
    CU_add_test(suite, "cold", test_cold);
    CU_add_test(suite, "stopped", test_stopped);
    CU_add_test(suite, "lost gateway", test_lost_gateway);
    CU_add_test(suite, "takeover", test_takeover);
    CU_add_test(suite, "spare sheds", test_spare_sheds);
    CU_add_test(suite, "scout", test_scout);
    CU_add_test(suite, "ask after failure", test_ask_after_failure);
    CU_add_test(suite, "adopt while waiting", test_adopt_while_waiting);
    CU_add_test(suite, "random operations", test_random_operations);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
