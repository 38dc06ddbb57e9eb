#include <CUnit/Basic.h>
#include <math.h>

#include "decide/hedge.h"
#include "decide/retry.h"

#define SEED 17
#define HOPS 15

static const struct ggw_latency no_latency;

static struct ggw_retry_request
request(enum ggw_idempotency idempotency)
{
    return (struct ggw_retry_request){
        .idempotency = idempotency,
        .attempts = 1,
        .max_attempts = 3,
        .deadline = 1000,
    };
}

/* Returns a budget that allows one retry at time 0. */
static struct ggw_retry_budget
one_token(double percent)
{
    struct ggw_retry_budget b;

    ggw_retry_budget_init(&b, percent, -10000);
    return b;
}

static enum ggw_retry_verdict
decide(const struct ggw_retry_request *r, enum ggw_attempt_result result,
       enum ggw_outcome outcome)
{
    struct ggw_retry_budget b = one_token(10);

    return ggw_retry_decide(&b, r, result, outcome, &no_latency, 0);
}

/*
 * Guards against an order that runs twice because it is retried with an
 * unknown outcome, and against a retry after a final response.
 */
static void
test_results(void)
{
    static const struct {
        enum ggw_attempt_result result;
        enum ggw_outcome outcome;
        bool idempotent, order;
    } cases[] = {
        {GGW_ATTEMPT_OK, GGW_OUTCOME_DONE, false, false},
        {GGW_ATTEMPT_ERROR, GGW_OUTCOME_DONE, false, false},
        {GGW_ATTEMPT_ERROR, GGW_OUTCOME_UNKNOWN, false, false},
        {GGW_ATTEMPT_SHED, GGW_OUTCOME_NOT_RUN, true, true},
        {GGW_ATTEMPT_REFUSED, GGW_OUTCOME_NOT_RUN, true, true},
        {GGW_ATTEMPT_BROKEN, GGW_OUTCOME_NOT_RUN, true, true},
        {GGW_ATTEMPT_BROKEN, GGW_OUTCOME_UNKNOWN, true, false},
        {GGW_ATTEMPT_BROKEN, GGW_OUTCOME_DONE, false, false},
        {GGW_ATTEMPT_SILENT, GGW_OUTCOME_UNKNOWN, true, false},
        {GGW_ATTEMPT_CANCELLED, GGW_OUTCOME_UNKNOWN, false, false},
        {GGW_ATTEMPT_UNUSED, GGW_OUTCOME_NOT_RUN, false, false},
    };
    struct ggw_retry_request r = request(GGW_IDEMPOTENT);
    struct ggw_retry_request order = request(GGW_AT_MOST_ONCE);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(decide(&r, cases[i].result, cases[i].outcome),
                        cases[i].idempotent ? GGW_RETRY : GGW_RETRY_FINAL);
        CU_ASSERT_EQUAL(decide(&order, cases[i].result, cases[i].outcome),
                        cases[i].order ? GGW_RETRY : GGW_RETRY_FINAL);
    }
}

/*
 * Guards against retries that cannot finish before the deadline, exceed the
 * number of attempts or multiply the retries of earlier hops.
 */
static void
test_request_limits(void)
{
    struct ggw_retry_request r = request(GGW_IDEMPOTENT);
    struct ggw_latency latency = {.p50 = 4};
    struct ggw_retry_budget b = one_token(10);

    r.prior_retries = 1;
    CU_ASSERT_EQUAL(decide(&r, GGW_ATTEMPT_SHED, GGW_OUTCOME_NOT_RUN),
                    GGW_RETRY_PRIOR_RETRIES);
    CU_ASSERT_EQUAL(ggw_retry_attempt_header(&r), 2);
    r.prior_retries = 0;
    r.attempts = 3;
    CU_ASSERT_EQUAL(decide(&r, GGW_ATTEMPT_SHED, GGW_OUTCOME_NOT_RUN),
                    GGW_RETRY_ATTEMPTS);
    r.attempts = 1;
    CU_ASSERT_EQUAL(ggw_retry_decide(&b, &r, GGW_ATTEMPT_SHED,
                                     GGW_OUTCOME_NOT_RUN, &latency, 997),
                    GGW_RETRY_LATE);
    CU_ASSERT_EQUAL(ggw_retry_decide(&b, &r, GGW_ATTEMPT_SHED,
                                     GGW_OUTCOME_NOT_RUN, &latency, 995),
                    GGW_RETRY);
}

/* Counts the retries granted to n failing calls, one every @interval ms. */
static int
retries(double percent, int n, ggw_ms interval)
{
    struct ggw_retry_request r = request(GGW_IDEMPOTENT);
    struct ggw_retry_budget b;
    int granted = 0;

    ggw_retry_budget_init(&b, percent, 0);
    for (int i = 0; i < n; i++) {
        ggw_ms now = i * interval;

        r.deadline = now + 1000;
        ggw_retry_budget_count_call(&b, 0, now);
        granted +=
            ggw_retry_decide(&b, &r, GGW_ATTEMPT_SHED, GGW_OUTCOME_NOT_RUN,
                             &no_latency, now) == GGW_RETRY;
    }
    return granted;
}

/*
 * Guards against retry storms when all calls fail, and against a service with
 * few calls that never gets a retry.
 */
static void
test_budget(void)
{
    int busy = retries(10, 100000, 0.1);

    CU_ASSERT_TRUE(busy > 9990 && busy <= 10000);
    CU_ASSERT_EQUAL(retries(0, 1000, 1000), 0);
    CU_ASSERT_EQUAL(retries(10, 100, 5000), 49); /* one in 10 s */
}

struct hop {
    struct ggw_retry_budget budget;
};

struct chain {
    struct hop hops[HOPS];
    bool attempt_count;            /* hops pass Greengageway-Attempt on */
    uint64_t last_server_requests; /* requests that reached the last server */
};

/* Every hop reports a refusal as a refusal, which is the worst case. */
static void
call(struct chain *c, int hop, int prior_retries, ggw_ms now)
{
    struct ggw_retry_request r = request(GGW_IDEMPOTENT);

    if (hop == HOPS) {
        c->last_server_requests++;
        return;
    }
    r.prior_retries = c->attempt_count ? prior_retries : 0;
    r.max_attempts = 2;
    r.deadline = now + 1000;
    r.attempts = 0;
    ggw_retry_budget_count_call(&c->hops[hop].budget, r.prior_retries, now);
    do {
        call(c, hop + 1, ggw_retry_attempt_header(&r), now);
        r.attempts++;
    } while (ggw_retry_decide(&c->hops[hop].budget, &r, GGW_ATTEMPT_SHED,
                              GGW_OUTCOME_NOT_RUN, &no_latency,
                              now) == GGW_RETRY);
}

static double
amplification(double percent, bool attempt_count, int calls)
{
    struct chain c = {.attempt_count = attempt_count};

    for (int i = 0; i < HOPS; i++) {
        ggw_retry_budget_init(&c.hops[i].budget, percent, 0);
    }
    for (int i = 0; i < calls; i++) {
        call(&c, 0, 0, i * 2.0);
    }
    return (double)c.last_server_requests / calls;
}

/*
 * Guards against retries that multiply at every hop of a deep call chain until
 * the last server is overloaded.
 */
static void
test_amplification(void)
{
    double both = amplification(10, true, 20000);
    double first = amplification(10, true, 15);
    double budget = amplification(10, false, 20000);
    double count = amplification(1e6, true, 200);
    double none = amplification(1e6, false, 4);

    printf("amplification over %d hops: %.3f; without the attempt count "
           "%.2f; without a budget %.1f; without both %.0f ",
           HOPS, both, budget, count, none);
    CU_ASSERT_TRUE(both < 2.5);
    CU_ASSERT_TRUE(first < 2.5);
    CU_ASSERT_TRUE(budget > both);
    CU_ASSERT_TRUE(count > both);
    CU_ASSERT_TRUE(none > 1000);
}

/*
 * Guards against hedges for orders, before p95, beyond the budget, next to a
 * second attempt or for requests that an earlier hop retried.
 */
static void
test_hedge(void)
{
    struct ggw_retry_request r = request(GGW_IDEMPOTENT);
    struct ggw_retry_request order = request(GGW_AT_MOST_ONCE);
    struct ggw_latency l = {.p50 = 4, .p95 = 12};
    struct ggw_retry_budget b = one_token(5);

    CU_ASSERT_EQUAL(ggw_hedge_delay(&r, &no_latency), INFINITY);
    CU_ASSERT_EQUAL(ggw_hedge_delay(&r, &l), 12);
    CU_ASSERT_EQUAL(ggw_hedge_delay(&order, &l), INFINITY);
    CU_ASSERT_EQUAL(ggw_hedge_decide(&b, &order, 500, &l, 0), GGW_RETRY_FINAL);
    CU_ASSERT_EQUAL(ggw_hedge_decide(&b, &r, 11, &l, 0), GGW_RETRY_FINAL);
    CU_ASSERT_EQUAL(ggw_hedge_decide(&b, &r, 12, &l, 0), GGW_RETRY);
    CU_ASSERT_EQUAL(ggw_hedge_decide(&b, &r, 12, &l, 0), GGW_RETRY_BUDGET);
    r.attempts = 2;
    CU_ASSERT_EQUAL(ggw_hedge_delay(&r, &l), INFINITY);
    r.attempts = 1;
    r.prior_retries = 1;
    CU_ASSERT_EQUAL(ggw_hedge_delay(&r, &l), INFINITY);
}

/*
 * Guards against a hedge that is sent too late to meet the latency target, or
 * before the first attempt had time to finish.
 */
static void
test_hedge_target(void)
{
    struct ggw_retry_request r = request(GGW_IDEMPOTENT);
    struct ggw_latency l = {.p50 = 120, .p95 = 480};

    r.target_in = 300;
    CU_ASSERT_DOUBLE_EQUAL(ggw_hedge_delay(&r, &l), 156, 1e-6);
    r.target_in = 200; /* the first attempt still gets 1.1 medians */
    CU_ASSERT_DOUBLE_EQUAL(ggw_hedge_delay(&r, &l), 132, 1e-6);
}

/*
 * Guards against more spare repeats than allowed in any 10 s, when the burst
 * and the refill add up.
 */
static void
test_spare(void)
{
    struct ggw_retry_request r = request(GGW_IDEMPOTENT);
    struct ggw_retry_budget b;
    int granted[60] = {0}; /* in each second */

    ggw_retry_budget_init(&b, 20, 0);
    ggw_retry_budget_set_spare(&b, 12);
    for (int ms = 0; ms < 60000; ms += 10) {
        r.deadline = ms + 1000;
        granted[ms / 1000] +=
            ggw_retry_decide(&b, &r, GGW_ATTEMPT_SHED, GGW_OUTCOME_NOT_RUN,
                             &no_latency, ms) == GGW_RETRY;
    }
    for (int start = 0; start + 10 <= 60; start++) {
        int sum = 0;

        for (int s = start; s < start + 10; s++) {
            sum += granted[s];
        }
        CU_ASSERT_TRUE(sum <= 12);
        CU_ASSERT_TRUE(sum >= 5);
    }
}

/*
 * Guards against hedges and retries at the wrong time because an estimate is
 * wrong or does not follow a change of the latency.
 */
static void
test_latency(void)
{
    GRand *rand = g_rand_new_with_seed(SEED);
    struct ggw_latency l = {0};

    for (int i = 0; i < GGW_LATENCY_MIN_COUNT - 1; i++) {
        ggw_latency_add(&l, 4);
    }
    CU_ASSERT_EQUAL(l.p95, 0);
    for (int mean = 4; mean <= 16; mean += 12) {
        double off[3] = {0};

        for (int i = 0; i < 1000; i++) {
            ggw_latency_add(&l, -log(1 - g_rand_double(rand)) * mean);
        }
        for (int i = 0; i < 10000; i++) {
            ggw_latency_add(&l, -log(1 - g_rand_double(rand)) * mean);
            off[0] = MAX(off[0], fabs(log(l.p50 / (mean * log(2)))));
            off[1] = MAX(off[1], fabs(log(l.p90 / (mean * log(10)))));
            off[2] = MAX(off[2], fabs(log(l.p95 / (mean * log(20)))));
        }
        printf("p50, p90, p95 off by at most %.2f %.2f %.2f ", expm1(off[0]),
               expm1(off[1]), expm1(off[2]));
        /* 0.5 is four standard deviations of the estimate. */
        CU_ASSERT_TRUE(expm1(MAX(off[0], MAX(off[1], off[2]))) < 0.5);
    }
    g_rand_free(rand);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("retry", NULL, NULL);
    CU_add_test(suite, "results", test_results);
    CU_add_test(suite, "request_limits", test_request_limits);
    CU_add_test(suite, "budget", test_budget);
    CU_add_test(suite, "amplification", test_amplification);
    CU_add_test(suite, "hedge", test_hedge);
    CU_add_test(suite, "hedge_target", test_hedge_target);
    CU_add_test(suite, "spare", test_spare);
    CU_add_test(suite, "latency", test_latency);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
