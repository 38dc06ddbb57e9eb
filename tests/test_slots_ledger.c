#include <CUnit/Basic.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "decide/slots.h"

#define SEED 511
#define SERVERS 4
#define HOLDERS 3
#define QUEUE 8
#define RECENT_IDS 12 /* random operations refer to the last 12 requests */

static const char *const server_names[SERVERS] = {"s0", "s1", "s2", "s3"};
static const char *const holder_names[HOLDERS] = {"g0", "g1", "g2"};
static const struct ggw_limit_rule rule = {
    .slots = 2, .cold_limit = 1, .cold_time = 5000};
static struct ggw_ledger_grant_limits gate;

static void
configure_servers(struct ggw_ledger *l, bool warm, unsigned closed, bool out,
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
    ggw_ledger_configure(l, &rule, QUEUE, s, SERVERS, now);
}

static struct ggw_ledger *
new_ledger(GRand *r, bool warm)
{
    struct ggw_ledger *l = ggw_ledger_new(&gate, r, 0);

    gate.stopped_until = -INFINITY;
    gate.majority_valid_until = INFINITY;
    configure_servers(l, warm, 0, false, 0);
    return l;
}

static void
request_slot(struct ggw_ledger *l, int holder, uint64_t id, ggw_ms deadline,
             ggw_ms now)
{
    struct ggw_ledger_request request = {.holder = holder_names[holder],
                                         .id = id,
                                         .priority = 1,
                                         .deadline = deadline,
                                         .may_queue = true};

    ggw_ledger_request(l, &request, now);
}

/* Removes all pending decisions and returns how many have this answer. */
static int
count_decisions(struct ggw_ledger *l, enum ggw_ledger_answer answer)
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
slots_in_use(struct ggw_ledger *l, const char *server)
{
    enum ggw_limit_state state;
    int n;
    int limit;

    CU_ASSERT_TRUE(ggw_ledger_server_limit(l, server, &n, &limit, &state));
    return n;
}

/*
 * Guards against grants on cold servers by an owner that is in its hold-down
 * or has lost its majority: another owner may grant slots of the same servers.
 */
static void
test_cold_grants(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = new_ledger(r, false);

    request_slot(l, 0, 1, 5000, 10);
    CU_ASSERT_EQUAL(count_decisions(l, GGW_LEDGER_GRANTED), 0);
    gate.majority_valid_until = 500;
    ggw_ledger_tick(l, GGW_LEDGER_HOLD_DOWN + 1);
    CU_ASSERT_EQUAL(count_decisions(l, GGW_LEDGER_GRANTED), 0);
    gate.majority_valid_until = 2000;
    ggw_ledger_tick(l, GGW_LEDGER_HOLD_DOWN + 2);
    CU_ASSERT_EQUAL(count_decisions(l, GGW_LEDGER_GRANTED), 1);
    for (uint64_t id = 2; id < 9; id++) {
        request_slot(l, 1, id, 5000, 1100);
    }
    CU_ASSERT_EQUAL(count_decisions(l, GGW_LEDGER_GRANTED), SERVERS - 1);
    ggw_ledger_free(l);
}

/*
 * Guards against grants by a gateway for which granting is stopped after a
 * stall of its event loop.
 */
static void
test_loop_stall(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = new_ledger(r, true);

    gate.stopped_until = 300;
    request_slot(l, 0, 1, 5000, 10);
    CU_ASSERT_EQUAL(count_decisions(l, GGW_LEDGER_GRANTED), 0);
    ggw_ledger_tick(l, 301);
    CU_ASSERT_EQUAL(count_decisions(l, GGW_LEDGER_GRANTED), 1);
    ggw_ledger_free(l);
}

/*
 * Guards against slots that stay occupied for ever after their gateway was
 * lost, and against slots given back while its requests may still run.
 */
static void
test_lost_gateway(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = new_ledger(r, true);

    for (uint64_t id = 1; id <= SERVERS * 2 + 2; id++) {
        request_slot(l, 0, id, 1000, 0);
    }
    CU_ASSERT_EQUAL(count_decisions(l, GGW_LEDGER_GRANTED), SERVERS * 2);
    CU_ASSERT_EQUAL(ggw_ledger_waiting_count(l), 2);
    ggw_ledger_gateway_lost(l, "g0", 10);
    CU_ASSERT_EQUAL(ggw_ledger_waiting_count(l), 0);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(l, 10), 0);
    CU_ASSERT_EQUAL(ggw_ledger_next_tick(l), 1000 + GGW_LEDGER_EXPIRY_MARGIN);
    ggw_ledger_tick(l, 1000 + GGW_LEDGER_EXPIRY_MARGIN - 1);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(l, 1000), 0);
    ggw_ledger_tick(l, 1000 + GGW_LEDGER_EXPIRY_MARGIN);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(l, 1600), SERVERS * 2);
    ggw_ledger_free(l);
}

/*
 * Guards against a new owner that treats warm servers as cold, or loses or
 * duplicates grants, when it imports the state of the previous owner.
 */
static void
test_takeover(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *old = new_ledger(r, true);
    struct ggw_ledger *l = ggw_ledger_new(&gate, r, 0);
    g_autoptr(GArray) states = NULL;

    request_slot(old, 0, 1, 1000, 0);
    request_slot(old, 1, 1, 1000, 0);
    states = ggw_ledger_export(old, 0);
    configure_servers(l, false, 0, false, 0);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(l, 1), 0);
    for (int repeat = 0; repeat < 2; repeat++) {
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
    /* A late report of a grant that has ended must not add it again. */
    for (guint i = 0; i < states->len; i++) {
        ggw_ledger_import(
            l, &g_array_index(states, struct ggw_ledger_handover_record, i),
            2);
    }
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(l, 2), SERVERS * 2 - 1);
    configure_servers(l, false, 0, true, 3);
    configure_servers(l, false, 0, false, 4);
    /* The servers are cold after their failure domain was out. */
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(l, 4), 0);
    ggw_ledger_free(old);
    ggw_ledger_free(l);
}

/**
 * struct model - state of a random sequence of operations
 * @l: ledger under test
 * @rand: source of the operations
 * @now: monotonic ms
 * @closed: bit mask of the closed servers
 * @grants: number of grants so far
 * @last_id: identifier of the last request
 */
struct model {
    struct ggw_ledger *l;
    GRand *rand;
    ggw_ms now;
    unsigned closed;
    int grants;
    uint64_t last_id;
};

/*
 * Takes all pending decisions and checks each grant: its server is open and
 * within its limit, or ejected and the request is its trial.
 */
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

/* Imports a grant of a request that may be waiting, running or ended. */
static void
import_random_grant(struct model *m, const char *holder, uint64_t id)
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
    uint64_t id =
        m->last_id - (uint64_t)g_rand_int_range(m->rand, 0, RECENT_IDS);
    int holder = (int)(id % HOLDERS);
    enum ggw_attempt_result result = GGW_ATTEMPT_OK;
    struct ggw_load_report report = {.present = true, .slots = 2};

    switch (g_rand_int_range(m->rand, 0, 13)) {
    case 0:
        m->closed = (unsigned)g_rand_int_range(m->rand, 0, 1 << SERVERS);
        configure_servers(m->l, false, m->closed, false, m->now);
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
        import_random_grant(m, holder_names[holder], id);
        break;
    default:
        m->last_id++;
        request_slot(m->l, (int)(m->last_id % HOLDERS), m->last_id,
                     m->now + g_rand_double_range(m->rand, 1, 300), m->now);
        break;
    }
}

/*
 * Guards against more grants than a server's limit, or slots that are never
 * given back, after an unusual order of events.
 */
static void
test_random_operations(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    int grants = 0;

    for (int sequence = 0; sequence < 40; sequence++) {
        struct model m = {.l = new_ledger(r, sequence % 2 == 0),
                          .rand = r,
                          .last_id = RECENT_IDS};

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
            CU_ASSERT_TRUE(slots_in_use(m.l, server_names[i]) <= rule.slots);
        }
        m.now += 10000;
        ggw_ledger_tick(m.l, m.now);
        for (int i = 0; i < SERVERS; i++) {
            CU_ASSERT_EQUAL(slots_in_use(m.l, server_names[i]), 0);
        }
        grants += m.grants;
        ggw_ledger_free(m.l);
    }
    CU_ASSERT_TRUE(grants > 2000); /* otherwise too little was tested */
}

static void
request_and_shed(struct ggw_ledger *l, uint64_t id, int busy, ggw_ms now)
{
    struct ggw_load_report report = {
        .present = true, .slots = 2, .busy = busy, .cold_unknown = true};
    struct ggw_ledger_decision d;

    request_slot(l, 0, id, now + 1000, now);
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
 * Guards against a service of which all servers lose their slots because they
 * shed a part of the requests although they have free slots.
 */
static void
test_shed_with_free_slot(void)
{
    GRand *r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = new_ledger(r, true);
    struct ggw_ledger_summary s;

    for (uint64_t id = 1; id <= 100; id++) {
        request_and_shed(l, id, 1, 10.0 * (double)id);
    }
    ggw_ledger_summary(l, &s);
    CU_ASSERT_EQUAL(s.states[GGW_LIMIT_WARM], SERVERS);

    /* The limit of a server that sheds because it is full is lowered. */
    request_and_shed(l, 200, 2, 3000);
    ggw_ledger_summary(l, &s);
    CU_ASSERT_EQUAL(s.states[GGW_LIMIT_COLD], 1);
    ggw_ledger_free(l);
    g_rand_free(r);
}

/*
 * Guards against probes of servers that the policy would not pick, or whose
 * load report is recent.
 */
static void
test_probe_candidates(void)
{
    GRand *r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = new_ledger(r, true);
    struct ggw_ledger_request request = {
        .holder = "g0", .id = 1, .deadline = 1000};
    struct ggw_load_report report = {
        .present = true, .slots = 2, .slow_percent = 100};
    const char *names[8];

    ggw_ledger_set_policy(l, ggw_policy_find("fastest"), 80);
    CU_ASSERT_EQUAL(ggw_ledger_probe_candidates(l, &request, 30, names, 3, 10),
                    3);
    CU_ASSERT_EQUAL(ggw_ledger_probe_candidates(l, &request, 30, names, 8, 10),
                    SERVERS);
    /* One recent report of a server that is as fast as usual is enough. */
    ggw_ledger_report(l, "s2", &report, 10);
    CU_ASSERT_EQUAL(ggw_ledger_probe_candidates(l, &request, 30, names, 3, 20),
                    0);
    CU_ASSERT_TRUE(
        ggw_ledger_probe_candidates(l, &request, 30, names, 3, 100) > 0);
    ggw_ledger_free(l);
    g_rand_free(r);
}

/*
 * Guards against a use after free when a request is repeated after its attempt
 * has failed: a second grant with the same key freed the first one, which was
 * still in the sequence of expiry times.
 */
static void
test_ask_after_failure(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = new_ledger(r, true);
    ggw_ms now = 0;
    int occupied = 0;

    /* Establish the usual latency, for which a fast failure keeps its slot. */
    for (uint64_t id = 1; id <= 100; id++) {
        request_slot(l, 0, id, now + 1000, now);
        now += 100;
        ggw_ledger_release(l, holder_names[0], id, "", GGW_ATTEMPT_OK, 100,
                           NULL, now);
    }
    count_decisions(l, GGW_LEDGER_GRANTED);
    request_slot(l, 0, 101, now + 1000, now);
    CU_ASSERT_EQUAL(count_decisions(l, GGW_LEDGER_GRANTED), 1);
    ggw_ledger_release(l, holder_names[0], 101, "", GGW_ATTEMPT_REFUSED, 1,
                       NULL, now + 1);
    request_slot(l, 0, 101, now + 1000, now + 2);
    CU_ASSERT_EQUAL(count_decisions(l, GGW_LEDGER_GRANTED), 0);
    for (int i = 0; i < SERVERS; i++) {
        occupied += slots_in_use(l, server_names[i]);
    }
    CU_ASSERT_EQUAL(occupied, 1);
    ggw_ledger_tick(l, now + 1000 + GGW_LEDGER_EXPIRY_MARGIN);
    for (int i = 0; i < SERVERS; i++) {
        CU_ASSERT_EQUAL(slots_in_use(l, server_names[i]), 0);
    }
    ggw_ledger_free(l);
}

/*
 * Guards against a use after free when a waiting request turns out to have a
 * grant: an owner that gave up its ledger and took over again queues a
 * repeated request, and then the holder reports the grant of the first one. A
 * second grant with the same key freed the first one, which was still in the
 * sequence of expiry times.
 */
static void
test_import_while_waiting(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = new_ledger(r, true);
    struct ggw_ledger_handover_record state = {.server = "s0",
                                               .holder = holder_names[1],
                                               .id = 50,
                                               .expires_in = 900};

    for (uint64_t id = 1; id <= SERVERS * 2; id++) {
        request_slot(l, 0, id, 1000, 0);
    }
    CU_ASSERT_EQUAL(count_decisions(l, GGW_LEDGER_GRANTED), SERVERS * 2);
    request_slot(l, 1, 50, 1000, 1);
    CU_ASSERT_EQUAL(count_decisions(l, GGW_LEDGER_QUEUED), 1);
    ggw_ledger_import(l, &state, 2);
    CU_ASSERT_EQUAL(ggw_ledger_waiting_count(l), 0);
    for (uint64_t id = 1; id <= SERVERS * 2; id++) {
        ggw_ledger_release(l, holder_names[0], id, "", GGW_ATTEMPT_OK, 5, NULL,
                           10);
    }
    CU_ASSERT_EQUAL(count_decisions(l, GGW_LEDGER_GRANTED), 0);
    CU_ASSERT_EQUAL(slots_in_use(l, "s0"), 1);
    ggw_ledger_tick(l, 902);
    CU_ASSERT_EQUAL(slots_in_use(l, "s0"), 0);
    ggw_ledger_free(l);
}

/*
 * Guards against a new owner that uses the slots of the service instead of the
 * server's own after it has learned that the server is warm.
 */
static void
test_import_own_slots(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = ggw_ledger_new(&gate, r, 0);
    struct ggw_ledger_server_config s = {
        .name = "s0", .incarnation = 1, .slots = 5};
    struct ggw_ledger_handover_record warm = {
        .server = "s0", .incarnation = 1, .warm = true};

    gate.stopped_until = -INFINITY;
    ggw_ledger_configure(l, &rule, 8, &s, 1, 0);
    ggw_ledger_import(l, &warm, 1);
    CU_ASSERT_EQUAL(ggw_ledger_available_slots(l, 1), 5);
    ggw_ledger_free(l);
}

/* Fails requests that one server got, with 5xx, until it is no longer warm. */
static void
fail_server(struct ggw_ledger *l, const char *server, uint64_t first_id,
            ggw_ms now)
{
    for (uint64_t id = first_id; id < first_id + 3; id++) {
        ggw_ledger_release(l, holder_names[0], id, server, GGW_ATTEMPT_ERROR,
                           5, NULL, now);
    }
}

static enum ggw_limit_state
server_state(const struct ggw_ledger *l, const char *server)
{
    enum ggw_limit_state state = GGW_LIMIT_COLD;
    int n;
    int limit;

    CU_ASSERT_TRUE(ggw_ledger_server_limit(l, server, &n, &limit, &state));
    return state;
}

/*
 * Guards against 5xx responses that eject more than half of the servers which
 * take requests, and against failures everywhere that eject none of them: the
 * servers that leave count neither as servers nor as ejected.
 */
static void
test_ejection_cap(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);

    for (int leavers_failed = 0; leavers_failed < 2; leavers_failed++) {
        struct ggw_ledger *l = new_ledger(r, true);

        if (leavers_failed) {
            fail_server(l, "s2", 1, 10);
            fail_server(l, "s3", 11, 10);
            CU_ASSERT_EQUAL(server_state(l, "s3"), GGW_LIMIT_EJECTED);
        }
        configure_servers(l, true, 0xc, false, 20); /* s2 and s3 leave */
        fail_server(l, "s0", 21, 30);
        CU_ASSERT_EQUAL(server_state(l, "s0"), GGW_LIMIT_EJECTED);
        fail_server(l, "s1", 31, 30);
        CU_ASSERT_EQUAL(server_state(l, "s1"), GGW_LIMIT_COLD);
        ggw_ledger_free(l);
    }
}

/* Fills all slots and ends the grants of one server. */
static void
leave_slots_of(struct ggw_ledger *l, const char *server)
{
    struct ggw_ledger_decision d;

    for (uint64_t id = 101; id <= 100 + SERVERS * 2; id++) {
        request_slot(l, 1, id, 1000, 0);
    }
    while (ggw_ledger_decision(l, &d)) {
        CU_ASSERT_EQUAL(d.answer, GGW_LEDGER_GRANTED);
        if (g_strcmp0(d.server, server) == 0) {
            ggw_ledger_release(l, d.holder, d.id, "", GGW_ATTEMPT_OK, 1, NULL,
                               1);
        }
        g_free(d.holder);
        g_free(d.server);
    }
}

/*
 * Guards against more waiting requests than the queue of the service may have:
 * those that avoid every server with a free slot count, too.
 */
static void
test_blocked_in_queue(void)
{
    g_autoptr(GRand) r = g_rand_new_with_seed(SEED);
    struct ggw_ledger *l = new_ledger(r, true);
    char *avoid[] = {"s0", NULL};

    leave_slots_of(l, "s0");
    for (uint64_t id = 1; id <= QUEUE + 3; id++) {
        struct ggw_ledger_request request = {.holder = holder_names[0],
                                             .id = id,
                                             .priority = 1,
                                             .deadline = 1000,
                                             .avoid = avoid,
                                             .may_queue = true};

        ggw_ledger_request(l, &request, 2);
    }
    CU_ASSERT_EQUAL(ggw_ledger_waiting_count(l), QUEUE);
    CU_ASSERT_EQUAL(count_decisions(l, GGW_LEDGER_REFUSED), 3);
    ggw_ledger_free(l);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("slots ledger", NULL, NULL);
    CU_add_test(suite, "cold grants", test_cold_grants);
    CU_add_test(suite, "loop stall", test_loop_stall);
    CU_add_test(suite, "lost gateway", test_lost_gateway);
    CU_add_test(suite, "takeover", test_takeover);
    CU_add_test(suite, "shed with a free slot", test_shed_with_free_slot);
    CU_add_test(suite, "probe candidates", test_probe_candidates);
    CU_add_test(suite, "ask after failure", test_ask_after_failure);
    CU_add_test(suite, "adopt while waiting", test_import_while_waiting);
    CU_add_test(suite, "adopt own slots", test_import_own_slots);
    CU_add_test(suite, "ejection cap", test_ejection_cap);
    CU_add_test(suite, "blocked in queue", test_blocked_in_queue);
    CU_add_test(suite, "random operations", test_random_operations);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
