#include <CUnit/CUnit.h>
#include <math.h>
#include <string.h>

#include "decide/backoff.h"
#include "decide/slots.h"
#include "tests/suite.h"

/* Servers that ask for a pause, in the ledger of their owner. */

#define SEED 911
#define SERVERS 4
#define HOLDERS 3
#define QUEUE 64
#define SLOTS 2

/* The server that asks for a pause in tests of one server. */
#define FIRST "s0"

/* End of the hold-down of a new owner, and of the first pause, ms. */
#define STARTED (GGW_LEDGER_HOLD_DOWN + 1)
#define PAUSE_END 4000.0

/* Time in ms in which a cold server becomes warm. */
#define COLD_TIME 5000

/* Deadline of requests that can wait for longer than any test runs, ms. */
#define FAR 100000.0

static const char *const names[SERVERS] = {"s0", "s1", "s2", "s3"};
static const char *const holders[HOLDERS] = {"g0", "g1", "g2"};
static struct ggw_ledger_grant_limits grant_limits;

/**
 * struct owner - a ledger with what its gateway knows of pauses
 * @cold: the first server is cold at the start
 * @next_id: last identifier of a request
 * @granted: identifier of the request granted last, by server
 * @holder: its holder
 * @grants: grants since the last reset, by server
 * @refusals: refusals since then
 * @reason: reason of the last refusal
 * @retry_after: delay in the last refusal, ms
 * @earliest, @latest: times at which refused requests return, monotonic ms
 */
struct owner {
    GRand *rand;
    struct ggw_ledger *ledger;
    struct ggw_backoffs *backoffs;
    struct ggw_limit_rule rule;
    bool cold;
    uint64_t next_id;
    uint64_t granted[SERVERS];
    const char *holder[SERVERS];
    int grants[SERVERS];
    int refusals;
    enum ggw_slot_refusal reason;
    ggw_ms retry_after;
    ggw_ms earliest, latest;
};

static void
configure(struct owner *o, ggw_ms now)
{
    struct ggw_ledger_server_config s[SERVERS] = {0};

    for (int i = 0; i < SERVERS; i++) {
        enum ggw_backoff_state state =
            ggw_backoffs_state(o->backoffs, names[i], now);

        s[i].name = names[i];
        s[i].incarnation = 1;
        s[i].warm = i > 0 || !o->cold;
        s[i].closed = state != GGW_BACKOFF_NONE;
        s[i].paused_until = state == GGW_BACKOFF_PAUSED
                                ? ggw_backoffs_until(o->backoffs, names[i])
                                : 0;
    }
    ggw_ledger_configure(o->ledger, &o->rule, QUEUE, s, SERVERS, now);
}

static struct owner *
start_with(double cold_rate, bool cold)
{
    struct owner *o = g_new0(struct owner, 1);

    o->cold = cold;
    grant_limits.stopped_until = -INFINITY;
    grant_limits.majority_valid_until = INFINITY;
    o->rand = g_rand_new_with_seed(SEED);
    o->backoffs = ggw_backoffs_new();
    o->ledger = ggw_ledger_new(&grant_limits, o->rand, 0);
    o->rule = (struct ggw_limit_rule){.slots = SLOTS,
                                      .cold_limit = 1,
                                      .cold_time = COLD_TIME,
                                      .cold_rate = cold_rate};
    configure(o, 0);
    return o;
}

static struct owner *
start(double cold_rate)
{
    return start_with(cold_rate, false);
}

static void
stop(struct owner *o)
{
    ggw_ledger_free(o->ledger);
    ggw_backoffs_free(o->backoffs);
    g_rand_free(o->rand);
    g_free(o);
}

static void
reset(struct owner *o)
{
    memset(o->grants, 0, sizeof(o->grants));
    o->refusals = 0;
    o->retry_after = 0;
    o->earliest = INFINITY;
    o->latest = 0;
}

static void
take_decisions(struct owner *o, ggw_ms now)
{
    struct ggw_ledger_decision d;

    while (ggw_ledger_decision(o->ledger, &d)) {
        if (d.answer == GGW_LEDGER_GRANTED) {
            int i = d.server[1] - '0';

            o->grants[i]++;
            o->granted[i] = d.id;
            o->holder[i] = holders[d.holder[1] - '0'];
        }
        if (d.answer == GGW_LEDGER_REFUSED) {
            o->refusals++;
            o->reason = d.reason;
            o->retry_after = d.retry_after;
            o->earliest = MIN(o->earliest, now + d.retry_after);
            o->latest = MAX(o->latest, now + d.retry_after);
        }
        g_free(d.holder);
        g_free(d.server);
    }
}

/* Sends @n requests, of all gateways in turn. */
static void
ask(struct owner *o, int n, ggw_ms deadline, ggw_ms now)
{
    for (int i = 0; i < n; i++) {
        struct ggw_ledger_request r = {.holder = holders[i % HOLDERS],
                                       .id = ++o->next_id,
                                       .priority = 1,
                                       .deadline = deadline,
                                       .may_queue = true};

        ggw_ledger_request(o->ledger, &r, now);
    }
    take_decisions(o, now);
}

/* Ends the request that was granted last on a server with a good response. */
static void
succeed(struct owner *o, int server, ggw_ms latency, ggw_ms now)
{
    const struct ggw_load_report report = {.present = true, .slots = SLOTS};

    ggw_ledger_release(o->ledger, o->holder[server], o->granted[server],
                       names[server], GGW_ATTEMPT_OK, latency, &report, now);
    take_decisions(o, now);
}

static void
tell(struct owner *o, const char *server, ggw_ms pause, ggw_ms now)
{
    ggw_backoffs_pause(o->backoffs, server, 1, pause, now);
    configure(o, now);
    take_decisions(o, now);
}

static void
tell_all(struct owner *o, ggw_ms pause, ggw_ms now)
{
    for (int i = 0; i < SERVERS; i++) {
        tell(o, names[i], pause, now);
    }
}

static void
pass(struct owner *o, ggw_ms now)
{
    configure(o, now);
    ggw_ledger_tick(o->ledger, now);
    take_decisions(o, now);
}

static int
in_flight(const struct owner *o, const char *server)
{
    enum ggw_limit_state state;
    int n;
    int limit;

    CU_ASSERT_TRUE(
        ggw_ledger_server_limit(o->ledger, server, &n, &limit, &state));
    return n;
}

static bool
is_exported_as_warm(const struct owner *o, const char *server)
{
    g_autoptr(GArray) records = ggw_ledger_export(o->ledger, STARTED);

    for (guint i = 0; i < records->len; i++) {
        const struct ggw_ledger_handover_record *r =
            &g_array_index(records, struct ggw_ledger_handover_record, i);

        if (r->holder == NULL && strcmp(r->server, server) == 0) {
            return r->warm;
        }
    }
    return false;
}

/*
 * Guards against a server that gets as many requests as a warm one right after
 * its pause, from the gateways together, before it has answered one well.
 */
static void
test_return(void)
{
    struct owner *o = start(0);

    ask(o, 1, FAR, STARTED);
    tell(o, FIRST, PAUSE_END - STARTED, STARTED);
    reset(o);
    ask(o, 30, FAR, STARTED + 10);
    pass(o, PAUSE_END - 1);
    CU_ASSERT_EQUAL(o->grants[0], 0);
    pass(o, PAUSE_END);
    CU_ASSERT_EQUAL(o->grants[0], 1);
    pass(o, PAUSE_END + 1000);
    CU_ASSERT_EQUAL(o->grants[0], 1);
    succeed(o, 0, 10, PAUSE_END + 1010);
    CU_ASSERT_TRUE(o->grants[0] >= 2);
    stop(o);
}

/*
 * Guards against several servers that each get more than one request when
 * their pauses end at the same time, with requests of all gateways waiting.
 */
static void
test_all_return(void)
{
    struct owner *o = start(0);

    tell_all(o, PAUSE_END - STARTED, STARTED);
    ask(o, 3, FAR, STARTED + 10);
    CU_ASSERT_EQUAL(o->refusals, 3);
    pass(o, PAUSE_END);
    ask(o, 30, FAR, PAUSE_END + 1);
    pass(o, PAUSE_END + 500);
    for (int i = 0; i < SERVERS; i++) {
        CU_ASSERT_EQUAL(o->grants[i], 1);
        CU_ASSERT_EQUAL(in_flight(o, names[i]), 1);
    }
    stop(o);
}

/*
 * Guards against a pause that ends when the first of several gateways was
 * told, though another was told later or of a longer one.
 */
static void
test_told_at_different_moments(void)
{
    struct owner *o = start(0);

    tell(o, FIRST, 1000, STARTED);
    tell(o, FIRST, 1000, STARTED + 500);
    tell(o, FIRST, 200, STARTED + 600);
    ask(o, 30, FAR, STARTED + 700);
    pass(o, STARTED + 1000);
    CU_ASSERT_EQUAL(o->grants[0], 0);
    tell(o, FIRST, 3000, STARTED + 1400);
    pass(o, STARTED + 1500);
    pass(o, STARTED + 4399);
    CU_ASSERT_EQUAL(o->grants[0], 0);
    pass(o, STARTED + 4400);
    CU_ASSERT_EQUAL(o->grants[0], 1);
    stop(o);
}

/*
 * Guards against a server that counts as warm after its pause because of the
 * response to a request from before it, or of a probe: neither shows that it
 * takes requests again.
 */
static void
test_late_response(void)
{
    const struct ggw_load_report report = {.present = true, .slots = SLOTS};

    for (int rate = 0; rate <= 1000; rate += 1000) {
        struct owner *o = start(rate);

        ask(o, SERVERS, FAR, STARTED);
        CU_ASSERT_EQUAL(o->grants[0], 1);
        tell(o, FIRST, PAUSE_END - STARTED, STARTED);
        pass(o, PAUSE_END);
        ggw_ledger_report(o->ledger, FIRST, &report, PAUSE_END + 1);
        succeed(o, 0, PAUSE_END + 2 - STARTED, PAUSE_END + 2);
        reset(o);
        ask(o, 30, FAR, PAUSE_END + 10);
        pass(o, PAUSE_END + 1000);
        CU_ASSERT_EQUAL(o->grants[0], 1);
        stop(o);
    }
}

/*
 * Guards against a server that counts as warm after its pause because another
 * gateway, which was not told of the pause, has seen it warm.
 */
static void
test_handed_over(void)
{
    const struct ggw_ledger_handover_record record = {
        .server = FIRST, .incarnation = 1, .warm = true};

    for (int after = 0; after < 2; after++) {
        struct owner *o = start(0);

        tell(o, FIRST, PAUSE_END - STARTED, STARTED);
        if (!after) {
            ggw_ledger_import(o->ledger, &record, PAUSE_END - 1);
        }
        pass(o, PAUSE_END);
        if (after) {
            ggw_ledger_import(o->ledger, &record, PAUSE_END + 1);
        }
        ask(o, 30, FAR, PAUSE_END + 10);
        pass(o, PAUSE_END + 1000);
        CU_ASSERT_EQUAL(o->grants[0], 1);
        stop(o);
    }
}

/*
 * Guards against a next owner that learns from this one that a server is warm,
 * but not that it wants a pause.
 */
static void
test_not_exported_as_warm(void)
{
    struct owner *o = start(0);

    CU_ASSERT_TRUE(is_exported_as_warm(o, FIRST));
    tell(o, FIRST, PAUSE_END - STARTED, STARTED);
    CU_ASSERT_FALSE(is_exported_as_warm(o, FIRST));
    CU_ASSERT_TRUE(is_exported_as_warm(o, "s1"));
    pass(o, PAUSE_END);
    CU_ASSERT_FALSE(is_exported_as_warm(o, FIRST));
    stop(o);
}

/*
 * Guards against a server that gets no request after its pause, or more than
 * one, because it was ejected when the pause began.
 */
static void
test_ejected_before(void)
{
    struct owner *o = start(0);
    ggw_ms now = STARTED;

    for (int i = 0; i < 10; i++) {
        ggw_ledger_release(o->ledger, "g0", 1000 + (uint64_t)i, FIRST,
                           GGW_ATTEMPT_BROKEN, 1, NULL, now++);
    }
    tell(o, FIRST, PAUSE_END - now, now);
    ask(o, 30, FAR, now);
    pass(o, PAUSE_END - 1);
    CU_ASSERT_EQUAL(o->grants[0], 0);
    pass(o, PAUSE_END);
    pass(o, PAUSE_END + 1000);
    CU_ASSERT_EQUAL(o->grants[0], 1);
    stop(o);
}

/* Requests that come at once, many enough to see that they are spread. */
#define MANY 50

/* Expects that all refused requests return soon after the end of a pause. */
static void
expect_return_after_pause(const struct owner *o, ggw_ms end)
{
    CU_ASSERT_TRUE(o->earliest >= end - 0.001);
    CU_ASSERT_TRUE(o->latest <= end + GGW_RETURN_SPREAD);
}

/*
 * Guards against requests that wait for servers which all want a pause or
 * leave: those that come, and those that wait already. Each is told when the
 * first server wants requests.
 */
static void
test_all_refused_at_once(void)
{
    struct owner *o = start(0);

    ask(o, SERVERS * SLOTS + 5, FAR, STARTED);
    reset(o);
    tell(o, "s3", 9000, STARTED + 10);
    for (int i = 0; i < SERVERS - 1; i++) {
        tell(o, names[i], 2000 + i, STARTED + 10);
    }
    CU_ASSERT_EQUAL(o->refusals, 5);
    CU_ASSERT_EQUAL(o->reason, GGW_SLOT_NO_SERVER);
    expect_return_after_pause(o, STARTED + 2010);
    ask(o, 1, FAR, STARTED + 20);
    CU_ASSERT_EQUAL(o->refusals, 6);
    expect_return_after_pause(o, STARTED + 2010);
    ask(o, MANY, FAR, STARTED + 25);
    CU_ASSERT_EQUAL(o->refusals, 6 + MANY);
    expect_return_after_pause(o, STARTED + 2010);
    CU_ASSERT_TRUE(o->latest - o->earliest > GGW_RETURN_SPREAD / 2);
    o->refusals = 6;
    for (int i = 0; i < SERVERS; i++) {
        ggw_backoffs_leave(o->backoffs, names[i], 1, STARTED + 30);
    }
    configure(o, STARTED + 30);
    ask(o, 1, FAR, STARTED + 40);
    CU_ASSERT_EQUAL(o->refusals, 7);
    CU_ASSERT_EQUAL(o->reason, GGW_SLOT_NO_SERVER);
    stop(o);
}

/*
 * Guards against requests that wait for the only server left beyond the time
 * at which they could still be served, and against the refusal of those that
 * it can serve in time.
 */
static void
test_one_left(void)
{
    struct owner *o = start(0);

    ask(o, SERVERS * SLOTS, FAR, STARTED);
    for (int i = 0; i < SERVERS - 1; i++) {
        tell(o, names[i], 50000, STARTED);
    }
    reset(o);
    ask(o, 1, STARTED + 1000, STARTED + 1);
    ask(o, 1, STARTED + 300, STARTED + 2);
    CU_ASSERT_EQUAL(o->refusals, 0);
    pass(o, STARTED + 301);
    CU_ASSERT_EQUAL(o->refusals, 1);
    CU_ASSERT_EQUAL(o->reason, GGW_SLOT_TOO_LATE);
    succeed(o, SERVERS - 1, 400, STARTED + 400);
    CU_ASSERT_EQUAL(o->grants[SERVERS - 1], 1);
    CU_ASSERT_EQUAL(o->refusals, 1);
    stop(o);
}

static void
tell_of(struct owner *o, bool leaving, ggw_ms now)
{
    if (leaving) {
        ggw_backoffs_leave(o->backoffs, FIRST, 1, now);
    }
    tell(o, FIRST, leaving ? 0 : FAR, now);
}

/*
 * Guards against a cold server that leaves or wants a pause and gets the cold
 * slot, or requests at the end of its cold start.
 */
static void
test_cold(void)
{
    for (int leaving = 0; leaving < 2; leaving++) {
        for (int used = 0; used < 2; used++) {
            struct owner *o = start_with(0, true);

            if (used) {
                ask(o, SERVERS * SLOTS, FAR, STARTED);
                CU_ASSERT_EQUAL(o->grants[0], 1);
            }
            reset(o);
            tell_of(o, leaving, STARTED);
            ask(o, SERVERS * SLOTS + 5, FAR, STARTED + 1);
            if (used) {
                succeed(o, 0, 10, STARTED + 10);
            }
            for (int t = 0; t <= 2 * COLD_TIME; t += 100) {
                pass(o, STARTED + t);
            }
            CU_ASSERT_EQUAL(o->grants[0], 0);
            stop(o);
        }
    }
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"return", test_return},
        {"all return", test_all_return},
        {"told at different moments", test_told_at_different_moments},
        {"late response", test_late_response},
        {"handed over", test_handed_over},
        {"not exported as warm", test_not_exported_as_warm},
        {"ejected before", test_ejected_before},
        {"all refused at once", test_all_refused_at_once},
        {"one left", test_one_left},
        {"cold", test_cold},
        CU_TEST_INFO_NULL,
    };

    return suite_run("ledger_pause", tests);
}
