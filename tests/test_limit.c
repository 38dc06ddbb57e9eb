#include <CUnit/Basic.h>
#include <math.h>

#include "decide/limit.h"

#define SEED 7

static const struct ggw_limit_rule rule = {
    .slots = 4,
    .cold_limit = 1,
    .cold_time = 5000,
};

static void
result(struct ggw_limit *l, enum ggw_attempt_result r, ggw_ms latency,
       ggw_ms now)
{
    struct ggw_limit_sample s = {
        .result = r,
        .started = now,
        .latency = latency,
        .median = 4,
    };

    ggw_limit_result(l, &s, now);
}

static void
results(struct ggw_limit *l, int n, enum ggw_attempt_result r, ggw_ms latency,
        ggw_ms now)
{
    while (n-- > 0) {
        result(l, r, latency, now);
    }
}

static void
report(struct ggw_limit *l, uint64_t incarnation, bool cold, bool draining)
{
    struct ggw_load_report r = {
        .present = true,
        .cold = cold,
        .draining = draining,
        .incarnation = incarnation,
    };

    ggw_limit_report(l, &r, 0);
}

/* Guards against a started server that gets full load at once. */
static void
test_warming(void)
{
    struct ggw_limit l;

    ggw_limit_init(&l, &rule, true, 0);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 1);
    results(&l, 19, GGW_ATTEMPT_OK, 4, 1);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 1);
    result(&l, GGW_ATTEMPT_OK, 4, 1);
    CU_ASSERT_EQUAL(l.state, GGW_LIMIT_WARMING);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 2);
    results(&l, 19, GGW_ATTEMPT_OK, 4, 2);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 2);
    /* A quarter of the cold time later one success is enough. */
    result(&l, GGW_ATTEMPT_OK, 4, 1252);
    CU_ASSERT_EQUAL(l.state, GGW_LIMIT_WARM);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 4);
}

/* Guards against full load on a server that turned cold without warning. */
static void
test_turns_cold(void)
{
    struct ggw_limit l;

    ggw_limit_init(&l, &rule, false, 0);
    result(&l, GGW_ATTEMPT_SHED, 1, 1);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 1);

    ggw_limit_init(&l, &rule, false, 0);
    report(&l, 5, true, false);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 1);
    results(&l, 100, GGW_ATTEMPT_OK, 4, 60000);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 1); /* it still says cold */
    report(&l, 5, false, false);
    results(&l, 40, GGW_ATTEMPT_OK, 4, 60000);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 4);
    report(&l, 4, true, true); /* late, from the process before */
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 4);
    report(&l, 6, false, false); /* restarted */
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 1);
    ggw_limit_incarnation(&l, 6, 0);
    results(&l, 40, GGW_ATTEMPT_OK, 4, 60000);
    ggw_limit_incarnation(&l, 7, 60000);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 1);
}

/* Guards against requests sent ahead to a server that is not warm. */
static void
test_ahead(void)
{
    struct ggw_limit_rule ahead = rule;
    struct ggw_limit l;

    ahead.ahead = 4;
    ggw_limit_init(&l, &ahead, false, 0);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 8);
    result(&l, GGW_ATTEMPT_SHED, 1, 1);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 1);
    results(&l, 20, GGW_ATTEMPT_OK, 4, 2);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 2);
    results(&l, 20, GGW_ATTEMPT_OK, 4, 3);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 8);
    ggw_limit_set_rule(&l, &rule, 4);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 4);
}

/*
 * Guards against requests from before the change that warm a cold server up,
 * eject it for what its previous process did, or prolong the ejection.
 */
static void
test_old_results(void)
{
    struct ggw_limit l;
    struct ggw_limit_sample old = {.started = 5, .latency = 4, .median = 4};

    ggw_limit_init(&l, &rule, false, 0);
    result(&l, GGW_ATTEMPT_SHED, 1, 10);
    for (int i = 0; i < 50; i++) {
        old.result = i % 2 != 0 ? GGW_ATTEMPT_OK : GGW_ATTEMPT_BROKEN;
        ggw_limit_result(&l, &old, 11);
    }
    CU_ASSERT_EQUAL(l.state, GGW_LIMIT_COLD);
    old.result = GGW_ATTEMPT_SHED;
    for (int i = 0; i < 5; i++) {
        ggw_limit_result(&l, &old, 12);
    }
    CU_ASSERT_EQUAL(l.state, GGW_LIMIT_COLD);
    results(&l, 3, GGW_ATTEMPT_ERROR, 1, 20);
    ggw_limit_result(&l, &old, 21);
    old.result = GGW_ATTEMPT_OK;
    ggw_limit_result(&l, &old, 22);
    CU_ASSERT_EQUAL(l.state, GGW_LIMIT_EJECTED);
    CU_ASSERT_EQUAL(ggw_limit_next_trial(&l), 520);
}

/* Guards against a slow server that keeps its full share, hedged or not. */
static void
test_slow(void)
{
    struct ggw_limit l;

    ggw_limit_init(&l, &rule, false, 0);
    results(&l, 4, GGW_ATTEMPT_OK, 17, 1);
    results(&l, 1, GGW_ATTEMPT_OK, 4, 1); /* breaks the run */
    results(&l, 4, GGW_ATTEMPT_OK, 17, 1);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 4);
    result(&l, GGW_ATTEMPT_CANCELLED, 2, 1); /* proves nothing */
    result(&l, GGW_ATTEMPT_CANCELLED, 17, 1);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 2);
    results(&l, 20, GGW_ATTEMPT_OK, 4, 2);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 4);
}

/* Guards against a failing server that gets more than its trial rate. */
static void
test_failing(void)
{
    struct ggw_limit l;
    ggw_ms last = -INFINITY, shortest = INFINITY;
    int sent = 0;

    ggw_limit_init(&l, &rule, false, 0);
    for (int now = 1; now < 60000; now++) {
        if (!ggw_limit_may_start(&l, 0, now)) {
            continue;
        }
        ggw_limit_started(&l, now);
        result(&l, sent % 2 != 0 ? GGW_ATTEMPT_SHED : GGW_ATTEMPT_ERROR, 0.1,
               now);
        if (sent++ > 3) {
            shortest = MIN(shortest, now - last);
        }
        last = now;
    }
    /* Trials 0.5, 1.5, 3.5, 7.5, 15.5 s after the ejection, then each 10 s. */
    CU_ASSERT_EQUAL(sent, 3 + 9);
    CU_ASSERT_TRUE(shortest >= 500);
    last = ggw_limit_next_trial(&l);
    ggw_limit_started(&l, last);
    result(&l, GGW_ATTEMPT_OK, 4, last);
    CU_ASSERT_EQUAL(l.state, GGW_LIMIT_COLD); /* may be a new process */
    results(&l, 3, GGW_ATTEMPT_ERROR, 0.1, last);
    CU_ASSERT_EQUAL(ggw_limit_next_trial(&l), last + 10000); /* not warm */
    ggw_limit_started(&l, last + 10000);
    results(&l, 41, GGW_ATTEMPT_OK, 4, last + 10000);
    CU_ASSERT_EQUAL(l.state, GGW_LIMIT_WARM);
    results(&l, 3, GGW_ATTEMPT_ERROR, 0.1, last + 10000);
    CU_ASSERT_EQUAL(ggw_limit_next_trial(&l), last + 10500);
}

/* Guards against a trial that is lost or repeated without a wait. */
static void
test_trial(void)
{
    struct ggw_limit l;

    ggw_limit_init(&l, &rule, false, 0);
    results(&l, 3, GGW_ATTEMPT_REFUSED, 0, 0);
    CU_ASSERT_FALSE(ggw_limit_may_start(&l, 0, 499));
    CU_ASSERT_TRUE(ggw_limit_may_start(&l, 9, 500)); /* 9 hang there */
    ggw_limit_started(&l, 500);
    CU_ASSERT_FALSE(ggw_limit_may_start(&l, 0, 501));
    result(&l, GGW_ATTEMPT_UNUSED, 0, 501);
    CU_ASSERT_TRUE(ggw_limit_may_start(&l, 0, 501));
    ggw_limit_started(&l, 501);
    result(&l, GGW_ATTEMPT_CANCELLED, 0, 502);
    CU_ASSERT_EQUAL(ggw_limit_next_trial(&l), 1002);
}

/*
 * Guards against a server ejected for one dead connection, and against a
 * paused server that is never found.
 */
static void
test_silent(void)
{
    struct ggw_limit l;

    ggw_limit_init(&l, &rule, false, 0);
    for (int i = 0; i < 10; i++) {
        result(&l, GGW_ATTEMPT_SILENT, 1000, i * 5001.0);
    }
    CU_ASSERT_EQUAL(l.state, GGW_LIMIT_WARM);
    ggw_limit_init(&l, &rule, false, 0);
    results(&l, 2, GGW_ATTEMPT_SILENT, 1000, 10);
    CU_ASSERT_EQUAL(l.failures, 2);
    result(&l, GGW_ATTEMPT_SILENT, 1000, 5000);
    CU_ASSERT_EQUAL(l.state, GGW_LIMIT_EJECTED);
}

/* Guards against new work on a draining server, or on a returned domain. */
static void
test_draining(void)
{
    struct ggw_limit l;

    ggw_limit_init(&l, &rule, false, 0);
    ggw_limit_set_draining(&l, true);
    CU_ASSERT_FALSE(ggw_limit_may_start(&l, 0, 1));
    results(&l, 3, GGW_ATTEMPT_BROKEN, 0, 1);
    CU_ASSERT_FALSE(ggw_limit_may_start(&l, 0, 1e6)); /* no trial either */
    ggw_limit_set_draining(&l, false);
    ggw_limit_set_cold(&l, 1e6);
    CU_ASSERT_EQUAL(ggw_limit_slots(&l), 1);
    report(&l, 1, false, true);
    CU_ASSERT_FALSE(ggw_limit_may_start(&l, 0, 2e6));
    report(&l, 1, false, false);
    CU_ASSERT_TRUE(ggw_limit_may_start(&l, 0, 2e6));
}

/* Guards against requests that always fail and eject every server. */
static void
test_keep(void)
{
    struct ggw_limit l[6];
    int ejected = 0;

    for (int i = 0; i < 6; i++) {
        struct ggw_limit_sample s = {.result = GGW_ATTEMPT_ERROR,
                                     .started = 1};

        ggw_limit_init(&l[i], &rule, false, 0);
        s.keep = ggw_limit_keep(6, ejected);
        for (int n = 0; n < 9; n++) {
            ggw_limit_result(&l[i], &s, 1);
        }
        ejected += l[i].state == GGW_LIMIT_EJECTED;
    }
    CU_ASSERT_EQUAL(ejected, 3);
    CU_ASSERT_EQUAL(l[5].state, GGW_LIMIT_COLD);
    results(&l[5], 3, GGW_ATTEMPT_REFUSED, 0, 2); /* no doubt here */
    CU_ASSERT_EQUAL(l[5].state, GGW_LIMIT_EJECTED);
}

/* Random events: no state admits more than its limit allows. */
static void
test_random_events(void)
{
    GRand *rand = g_rand_new_with_seed(SEED);
    struct ggw_limit l;
    ggw_ms now = 0;
    int seen[4] = {0}, broken = 0;

    ggw_limit_init(&l, &rule, true, now);
    for (int i = 0; i < 200000; i++) {
        bool drained = l.drain_set || l.drain_reported;
        int slots = ggw_limit_slots(&l);

        now += g_rand_double(rand) * 10;
        seen[l.state]++;
        broken += slots > rule.slots || slots < 0 || (drained && slots != 0);
        broken += l.state == GGW_LIMIT_COLD && slots > rule.cold_limit;
        broken += !drained && slots == 0 && l.state != GGW_LIMIT_EJECTED;
        broken += drained && ggw_limit_may_start(&l, 0, now);
        broken += l.trial && ggw_limit_may_start(&l, 0, now);
        if (ggw_limit_may_start(&l, slots, now)) {
            broken += l.state != GGW_LIMIT_EJECTED;
            ggw_limit_started(&l, now);
        }
        if (g_rand_int_range(rand, 0, 100) == 0) {
            report(&l, (uint64_t)(now / 20000), g_rand_boolean(rand),
                   g_rand_int_range(rand, 0, 4) == 0);
        }
        else if (g_rand_int_range(rand, 0, 4) == 0) {
            result(&l, (enum ggw_attempt_result)g_rand_int_range(rand, 0, 8),
                   g_rand_double(rand) * 40, now - g_rand_double(rand) * 9);
        }
        else {
            result(&l, GGW_ATTEMPT_OK, 4, now);
        }
    }
    CU_ASSERT_EQUAL(broken, 0);
    for (int i = 0; i < 4; i++) {
        CU_ASSERT_TRUE(seen[i] > 100); /* every state was reached */
    }
    g_rand_free(rand);
}

/* Guards against a cold server that gets more than its rate. */
static void
test_cold_rate(void)
{
    struct ggw_limit_rule slow = rule;
    struct ggw_limit l;
    int started = 0;

    slow.cold_rate = 3.4;
    slow.cold_limit = 4;
    ggw_limit_init(&l, &slow, true, 0);
    for (int ms = 0; ms < 10000; ms++) {
        if (ggw_limit_may_start(&l, 0, ms)) {
            ggw_limit_started(&l, ms);
            started++;
        }
    }
    CU_ASSERT_TRUE(started >= 33 && started <= 35);
    CU_ASSERT_TRUE(ggw_limit_next_start(&l) > 9900);
}

/* Guards against a stated cold start that ends too early, or never. */
static void
test_cold_until(void)
{
    struct ggw_limit_rule rate = rule;
    struct ggw_load_report report = {.present = true, .cold = true};
    struct ggw_limit l;

    ggw_limit_init(&l, &rule, false, 0);
    ggw_limit_cold_until(&l, 3000, 0);
    results(&l, 100, GGW_ATTEMPT_OK, 4, 2000);
    CU_ASSERT_EQUAL(l.state, GGW_LIMIT_COLD);
    ggw_limit_cold_until(&l, 3000, 3000);
    CU_ASSERT_EQUAL(l.state, GGW_LIMIT_WARM);

    /* A response that does not speak of it leaves a cold server cold. */
    rate.cold_rate = 3.4;
    ggw_limit_init(&l, &rate, false, 0);
    report.cold_left = 1000;
    ggw_limit_report(&l, &report, 0);
    CU_ASSERT_EQUAL(l.state, GGW_LIMIT_COLD);
    report = (struct ggw_load_report){.present = true, .cold_unknown = true};
    ggw_limit_report(&l, &report, 10);
    CU_ASSERT_EQUAL(l.state, GGW_LIMIT_COLD);
    report.cold_unknown = false;
    ggw_limit_report(&l, &report, 20);
    CU_ASSERT_EQUAL(l.state, GGW_LIMIT_WARM);
}

/* Guards against servers blamed for requests that had little time left. */
static void
test_short_attempts(void)
{
    CU_ASSERT_EQUAL(ggw_attempt_timeout_result(100, 120),
                    GGW_ATTEMPT_CANCELLED);
    CU_ASSERT_EQUAL(ggw_attempt_timeout_result(479, 120),
                    GGW_ATTEMPT_CANCELLED);
    CU_ASSERT_EQUAL(ggw_attempt_timeout_result(480, 120), GGW_ATTEMPT_SILENT);
    CU_ASSERT_EQUAL(ggw_attempt_timeout_result(100, 0), GGW_ATTEMPT_SILENT);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("limit", NULL, NULL);
    CU_add_test(suite, "warming", test_warming);
    CU_add_test(suite, "turns_cold", test_turns_cold);
    CU_add_test(suite, "old_results", test_old_results);
    CU_add_test(suite, "ahead", test_ahead);
    CU_add_test(suite, "slow", test_slow);
    CU_add_test(suite, "failing", test_failing);
    CU_add_test(suite, "trial", test_trial);
    CU_add_test(suite, "silent", test_silent);
    CU_add_test(suite, "draining", test_draining);
    CU_add_test(suite, "keep", test_keep);
    CU_add_test(suite, "cold_rate", test_cold_rate);
    CU_add_test(suite, "cold_until", test_cold_until);
    CU_add_test(suite, "short_attempts", test_short_attempts);
    CU_add_test(suite, "random_events", test_random_events);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
