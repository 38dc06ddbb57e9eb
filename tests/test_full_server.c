#include <CUnit/CUnit.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>

#include "decide/full_server.h"
#include "decide/slots.h"
#include "tests/suite.h"

#define SEED 44

#define SERVERS 8
#define SLOTS 2
#define RUN_MS 130.0    /* mean time of a run */
#define TARGET_MS 400.0 /* from the arrival to a response in time */
#define DEADLINE_MS 1000.0
#define DURATION_MS 60000.0
#define MAX_REQUESTS 8000

static void
add(struct ggw_full_server *f, enum ggw_full_behaviour event, bool last_slot,
    int attempts, int events)
{
    for (int i = 0; i < attempts; i++) {
        ggw_full_server_add_attempt(f, last_slot);
        if (i < events) {
            ggw_full_server_add_event(f, event, last_slot);
        }
    }
}

/*
 * Guards against servers whose connections break at any load being taken for
 * servers that reset when full, and against a behaviour that is never
 * forgotten.
 */
static void
test_learning(void)
{
    struct ggw_full_server f = {0};
    struct ggw_full_server broken = {0};
    struct ggw_full_server hangs = {0};
    struct ggw_full_server answers = {0};

    add(&f, GGW_FULL_RESETS, false, 100, 0);
    add(&f, GGW_FULL_RESETS, true, 2, 2);
    CU_ASSERT_EQUAL(f.behaviour, GGW_FULL_UNKNOWN);
    add(&f, GGW_FULL_RESETS, true, 20, 2);
    CU_ASSERT_EQUAL(f.behaviour, GGW_FULL_RESETS);
    add(&f, GGW_FULL_RESETS, true, 20000, 0);
    CU_ASSERT_EQUAL(f.behaviour, GGW_FULL_UNKNOWN);
    add(&broken, GGW_FULL_RESETS, false, 100, 20);
    add(&broken, GGW_FULL_RESETS, true, 100, 25);
    CU_ASSERT_EQUAL(broken.behaviour, GGW_FULL_UNKNOWN);
    add(&hangs, GGW_FULL_HANGS, true, 10, 5);
    CU_ASSERT_EQUAL(hangs.behaviour, GGW_FULL_HANGS);
    add(&answers, GGW_FULL_ANSWERS, true, 10, 5);
    CU_ASSERT_EQUAL(answers.behaviour, GGW_FULL_ANSWERS);
}

/* Guards against resets late in a run being taken for a lack of room. */
static void
test_event(void)
{
    CU_ASSERT_EQUAL(ggw_full_server_event(GGW_ATTEMPT_BROKEN, 5, 100),
                    GGW_FULL_RESETS);
    CU_ASSERT_EQUAL(ggw_full_server_event(GGW_ATTEMPT_BROKEN, 90, 100),
                    GGW_FULL_UNKNOWN);
    CU_ASSERT_EQUAL(ggw_full_server_event(GGW_ATTEMPT_BROKEN, 5, 0),
                    GGW_FULL_UNKNOWN);
    CU_ASSERT_EQUAL(ggw_full_server_event(GGW_ATTEMPT_SILENT, 900, 100),
                    GGW_FULL_HANGS);
    CU_ASSERT_EQUAL(ggw_full_server_event(GGW_ATTEMPT_SHED, 5, 100),
                    GGW_FULL_ANSWERS);
    CU_ASSERT_EQUAL(ggw_full_server_event(GGW_ATTEMPT_OK, 5, 100),
                    GGW_FULL_UNKNOWN);
}

/* Guards against requests beyond what others and cancelled ones leave free. */
static void
test_room(void)
{
    struct ggw_full_load load = {.slots = 2,
                                 .in_flight = 1,
                                 .report_age = INFINITY,
                                 .event_age = INFINITY};

    CU_ASSERT_TRUE(ggw_full_server_has_room(&load));
    load.abandoned = 1;
    CU_ASSERT_FALSE(ggw_full_server_has_room(&load));
    load.abandoned = 0;
    load.foreign = 1;
    CU_ASSERT_TRUE(ggw_full_server_has_room(&load)); /* no report */
    load.report_age = 10;
    CU_ASSERT_FALSE(ggw_full_server_has_room(&load));
    load.foreign = 0;
    load.event_age = GGW_FULL_DISTRUST;
    CU_ASSERT_FALSE(ggw_full_server_has_room(&load));
    load.event_age = GGW_FULL_DISTRUST + 1;
    CU_ASSERT_TRUE(ggw_full_server_has_room(&load));
}

/**
 * struct request - a request of the load test
 * @order: it may not be repeated
 * @server: server of the attempt; -1: none
 * @ends: end of the run on the server
 * @leaves: time at which the client cancels it; INFINITY: never
 */
struct request {
    bool order;
    int server;
    ggw_ms arrived;
    ggw_ms started;
    ggw_ms ends;
    ggw_ms leaves;
    bool done;
};

/**
 * struct load - servers that reset when full and run cancelled requests on
 * @with: the ledger knows which requests may not be repeated
 * @on_time, @late, @refused, @reset: results of reads and, second, of orders
 */
struct load {
    bool with;
    GRand *rand;
    struct ggw_ledger *ledger;
    struct request requests[MAX_REQUESTS];
    uint64_t len;
    int on_time[2];
    int late[2];
    int refused[2];
    int reset[2];
};

static const char *const names[SERVERS] = {"s0", "s1", "s2", "s3",
                                           "s4", "s5", "s6", "s7"};

static int
running(const struct load *l, int server, ggw_ms now)
{
    int n = 0;

    for (uint64_t i = l->len > 500 ? l->len - 500 : 0; i < l->len; i++) {
        n += l->requests[i].server == server && l->requests[i].ends > now;
    }
    return n;
}

static void
release(struct load *l, uint64_t id, enum ggw_attempt_result result,
        ggw_ms now)
{
    struct request *r = &l->requests[id];

    r->done = true;
    ggw_ledger_release(l->ledger, "g", id, "", result, now - r->started, NULL,
                       now);
}

static void
start(struct load *l, uint64_t id, const char *server, ggw_ms now)
{
    struct request *r = &l->requests[id];
    int i = server[1] - '0';
    ggw_ms run = RUN_MS * g_rand_double_range(l->rand, 0.7, 1.3);

    r->started = now;
    if (running(l, i, now) >= SLOTS) {
        l->reset[r->order]++;
        release(l, id, GGW_ATTEMPT_BROKEN, now + 1);
        return;
    }
    r->server = i;
    r->ends = now + run;
}

static void
take_decisions(struct load *l, ggw_ms now)
{
    struct ggw_ledger_decision d;

    while (ggw_ledger_decision(l->ledger, &d)) {
        struct request *r = &l->requests[d.id];

        if (d.answer == GGW_LEDGER_GRANTED && !r->done) {
            start(l, d.id, d.server, now);
        }
        else if (d.answer == GGW_LEDGER_REFUSED) {
            l->refused[r->order]++;
            r->done = true;
        }
        g_free(d.holder);
        g_free(d.server);
    }
}

static void
arrive(struct load *l, ggw_ms now)
{
    uint64_t id = l->len++;
    struct request *r = &l->requests[id];
    struct ggw_ledger_request request = {.holder = "g",
                                         .id = id,
                                         .priority = 1,
                                         .deadline = now + DEADLINE_MS,
                                         .may_queue = true};

    r->order = g_rand_double(l->rand) < 0.3;
    r->server = -1;
    r->arrived = now;
    r->leaves =
        !r->order && g_rand_double(l->rand) < 0.2 ? now + 50 : INFINITY;
    request.once = l->with && r->order;
    ggw_ledger_request(l->ledger, &request, now);
    take_decisions(l, now);
}

static void
end_requests(struct load *l, ggw_ms now)
{
    for (uint64_t id = l->len > 500 ? l->len - 500 : 0; id < l->len; id++) {
        struct request *r = &l->requests[id];

        if (r->done) {
            continue;
        }
        if (r->leaves <= now && r->server < 0) {
            r->done = true;
            ggw_ledger_cancel(l->ledger, "g", id, now);
        }
        else if (r->leaves <= now) {
            release(l, id, GGW_ATTEMPT_CANCELLED, now);
        }
        else if (r->server >= 0 && r->ends <= now) {
            (now - r->arrived <= TARGET_MS ? l->on_time : l->late)[r->order]++;
            release(l, id, GGW_ATTEMPT_OK, now);
        }
        take_decisions(l, now);
    }
}

static void
play(struct load *l, bool with)
{
    struct ggw_ledger_grant_limits limits = {-INFINITY, INFINITY};
    struct ggw_limit_rule rule = {
        .slots = SLOTS, .cold_limit = SLOTS, .cold_time = 100};
    struct ggw_ledger_server_config servers[SERVERS] = {0};

    l->with = with;
    l->rand = g_rand_new_with_seed(SEED);
    l->ledger = ggw_ledger_new(&limits, l->rand, -2 * GGW_LEDGER_HOLD_DOWN);
    for (int i = 0; i < SERVERS; i++) {
        servers[i].name = names[i];
        servers[i].warm = true;
    }
    ggw_ledger_configure(l->ledger, &rule, 100, servers, SERVERS, 0);
    for (int ms = 1; ms < DURATION_MS; ms++) {
        ggw_ms now = ms;

        if (now < DURATION_MS - 2000 && g_rand_double(l->rand) < 0.075) {
            arrive(l, now);
        }
        end_requests(l, now);
        ggw_ledger_tick(l->ledger, now);
        take_decisions(l, now);
    }
    ggw_ledger_free(l->ledger);
    g_rand_free(l->rand);
}

static double
share(int part, int n)
{
    return (double)part / MAX(n, 1);
}

/*
 * Guards against orders that are reset, with unknown outcome, because a full
 * server still runs requests that were cancelled.
 */
static void
test_orders(void)
{
    struct load *l = g_new0(struct load, 2);
    double good[2];

    for (int i = 0; i < 2; i++) {
        play(&l[i], i == 1);
        for (int k = 0; k < 2; k++) {
            printf("%s, %s: in target %d, late %d, refused %d, reset %d\n",
                   i == 1 ? "with" : "without", k == 1 ? "orders" : "reads",
                   l[i].on_time[k], l[i].late[k], l[i].refused[k],
                   l[i].reset[k]);
        }
        good[i] = share(l[i].on_time[1], l[i].on_time[1] + l[i].late[1] +
                                             l[i].refused[1] + l[i].reset[1]);
    }
    CU_ASSERT_TRUE(l[0].reset[1] >= 20);
    CU_ASSERT_TRUE(l[1].reset[1] * 10 <= l[0].reset[1]);
    CU_ASSERT_TRUE(good[1] > good[0]);
    g_free(l);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"learning", test_learning}, {"event", test_event},
        {"room", test_room},         {"orders", test_orders},
        CU_TEST_INFO_NULL,
    };

    return suite_run("full server", tests);
}
