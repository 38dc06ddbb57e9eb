#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "decide/retry.h"
#include "tests/suite.h"

/**
 * DOC: Repeats of all gateways together
 *
 * Runs the budgets of many gateways in virtual time and compares the repeats
 * that they grant in any 10 s with the bound of the service: RATIO of its
 * requests and SLACK beside them. The requests are those of the same 10 s, of
 * the 10 s before or of the 10 s that began 5 s earlier, whichever are most.
 */

/* Times in ms. */
#define STEP 20
#define WINDOW 10000
#define MAX_DURATION 200000
#define MAX_STEPS (MAX_DURATION / STEP)
#define WINDOW_STEPS (WINDOW / STEP)

#define RATIO 0.2
#define RETRY_PERCENT 5.1
#define HEDGE_PERCENT 11.9
#define RETRY_SHARE 0.3

/* Part of the bound that a burst of failures must be able to use. */
#define USABLE 0.5

#define MAX_GATEWAYS 378

/**
 * struct scenario - what happens to the gateways
 * @gateways: number of gateways; all start at time 0
 * @slack: repeats that all of them may send in 10 s beside the ratio
 * @call_interval: time between two calls at a gateway, ms
 * @fails_from, @fails_until: repeats are asked for without end in this time
 * @duration: end of the simulation
 * @met_at: until this time a gateway knows only itself
 */
struct scenario {
    int gateways;
    double slack;
    int call_interval;
    int fails_from;
    int fails_until;
    int duration;
    int met_at;
};

struct gateway {
    struct ggw_retry_budget retries;
    struct ggw_retry_budget hedges;
};

static struct gateway gateways[MAX_GATEWAYS];
static int calls[MAX_STEPS];
static int repeats[MAX_STEPS];

static void
set_spare(struct gateway *g, const struct scenario *s, int now)
{
    double spare = ggw_retry_spare_part(
        (int)(0.85 * s->slack), now < s->met_at ? 1 : s->gateways, now);

    ggw_retry_budget_set_spare(&g->retries, RETRY_SHARE * spare);
    ggw_retry_budget_set_spare(&g->hedges, (1 - RETRY_SHARE) * spare);
}

/* Asks for repeats until the budget refuses one. */
static int
take_all(struct ggw_retry_budget *b, int now)
{
    static const struct ggw_latency no_latency;
    struct ggw_retry_request r = {
        .idempotency = GGW_IDEMPOTENT,
        .attempts = 1,
        .max_attempts = 2,
        .deadline = now + 1000,
    };
    int n = 0;

    while (ggw_retry_repeat(b, &r, &no_latency, now) == GGW_RETRY) {
        n++;
    }
    return n;
}

static void
step(const struct scenario *s, int i, int now)
{
    struct gateway *g = &gateways[i];

    set_spare(g, s, now);
    if (now % s->call_interval == i % (s->call_interval / STEP) * STEP) {
        ggw_retry_budget_count_call(&g->retries, 0, now);
        ggw_retry_budget_count_call(&g->hedges, 0, now);
        calls[now / STEP]++;
    }
    if (now >= s->fails_from && now < s->fails_until) {
        repeats[now / STEP] +=
            take_all(&g->retries, now) + take_all(&g->hedges, now);
    }
}

/* Sum over the WINDOW that starts at step @from; steps before 0 are empty. */
static int
window_sum(const int *counts, int from)
{
    int sum = 0;

    for (int i = MAX(from, 0); i < MIN(from + WINDOW_STEPS, MAX_STEPS); i++) {
        sum += counts[i];
    }
    return sum;
}

static double
bound(const struct scenario *s, int from)
{
    int most = window_sum(calls, from);

    most = MAX(most, window_sum(calls, from - WINDOW_STEPS / 2));
    most = MAX(most, window_sum(calls, from - WINDOW_STEPS));
    return RATIO * most + s->slack;
}

/* Returns the largest part of the bound that was used in any window. */
static double
play(const struct scenario *s)
{
    double worst = 0;

    memset(calls, 0, sizeof(calls));
    memset(repeats, 0, sizeof(repeats));
    for (int i = 0; i < s->gateways; i++) {
        ggw_retry_budget_init(&gateways[i].retries, RETRY_PERCENT, 0);
        ggw_retry_budget_init(&gateways[i].hedges, HEDGE_PERCENT, 0);
    }
    for (int now = 0; now < s->duration; now += STEP) {
        for (int i = 0; i < s->gateways; i++) {
            step(s, i, now);
        }
    }
    for (int from = 0; from < s->duration / STEP; from += 5) {
        worst = MAX(worst, window_sum(repeats, from) / bound(s, from));
    }
    printf("%d gateways: %.2f ", s->gateways, worst);
    return worst;
}

/* Guards against saved tokens that add up over many gateways. */
static void
test_saved_tokens(void)
{
    static const struct {
        double slack;
        int gateways;
        int call_interval;
    } sizes[] = {
        {58, 1, 20},     {58, 6, 20},     {192, 30, 60},
        {630, 189, 200}, {630, 378, 400},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct scenario s = {
            .gateways = sizes[i].gateways,
            .slack = sizes[i].slack,
            .call_interval = sizes[i].call_interval,
            .fails_from = 45000,
            .fails_until = 60000,
            .duration = 70000,
        };
        double used = play(&s);

        CU_ASSERT_TRUE(used <= 1);
        CU_ASSERT_TRUE(used >= USABLE);
    }
}

/* Guards against the same where each gateway has few calls. */
static void
test_saved_tokens_few_calls(void)
{
    static const int counts[] = {1, 6, 30, 189, 378};

    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        struct scenario s = {
            .gateways = counts[i],
            .slack = 10.0 * counts[i] / 3,
            .call_interval = 1000,
            .fails_from = 150000,
            .fails_until = 165000,
            .duration = 175000,
        };

        CU_ASSERT_TRUE(play(&s) <= 1);
    }
}

/* Guards against spare repeats before the gateways know each other. */
static void
test_spare_at_start(void)
{
    static const int counts[] = {1, 6, 30, 189, 378};

    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        struct scenario s = {
            .gateways = counts[i],
            .slack = 10.0 * counts[i] / 3,
            .call_interval = 200,
            .fails_until = 20000,
            .duration = 30000,
            .met_at = 2000,
        };

        CU_ASSERT_TRUE(play(&s) <= 1);
    }
}

/* Guards against two budgets of one window when waiting repeats are sent. */
static void
test_sent_later(void)
{
    const struct scenario s = {
        .gateways = 1,
        .slack = 58,
        .call_interval = STEP,
    };
    struct ggw_retry_budget *b = &gateways[0].hedges;
    const int charged_at = 30000;
    const int sent_at = 36000;
    int sent = 0;

    ggw_retry_budget_init(b, HEDGE_PERCENT, 0);
    ggw_retry_budget_init(&gateways[0].retries, RETRY_PERCENT, 0);
    for (int now = 0; now < sent_at + WINDOW; now += STEP) {
        set_spare(&gateways[0], &s, now);
        ggw_retry_budget_count_call(b, 0, now);
        if (now == charged_at) {
            sent = take_all(b, now);
        }
        for (int i = 0; now == sent_at && i < sent; i++) {
            ggw_retry_budget_sent(b, charged_at, now);
        }
        if (now > sent_at) {
            sent += take_all(b, now);
        }
    }
    printf("%d repeats ", sent);
    CU_ASSERT_TRUE(sent <= HEDGE_PERCENT / 100 * WINDOW / STEP +
                               (1 - RETRY_SHARE) * 0.85 * s.slack);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"saved tokens of many gateways", test_saved_tokens},
        {"saved tokens of many gateways with few calls",
         test_saved_tokens_few_calls},
        {"spare repeats before gateways know each other", test_spare_at_start},
        {"repeats that are sent later than charged", test_sent_later},
        CU_TEST_INFO_NULL,
    };

    return suite_run("retry_budget_sum", tests);
}
