#include <CUnit/CUnit.h>
#include <math.h>
#include <stdio.h>

#include "decide/admission.h"
#include "decide/remaining.h"
#include "decide/slots.h"
#include "tests/suite.h"

#define SEED 44

#define MEDIAN 130.0  /* ms, run time of most requests */
#define LONG_FACTOR 7 /* a long run takes this many times as long */
#define LONG_SHARE 0.03

#define SLOTS 16
#define QUEUE 200

/* Time in ms from the arrival of a request to its target and its deadline. */
#define TARGET 400.0
#define DEADLINE 600.0

#define REQUESTS 6000

static ggw_ms
draw_run(GRand *rand)
{
    ggw_ms run = MEDIAN * g_rand_double_range(rand, 0.7, 1.3);

    return g_rand_double(rand) < LONG_SHARE ? LONG_FACTOR * run : run;
}

static void
learn(struct ggw_remaining *r, GRand *rand)
{
    ggw_remaining_init(r);
    for (int i = 0; i < 1000; i++) {
        ggw_remaining_add(r, draw_run(rand));
    }
}

/*
 * Guards against a change for services without long runs: the age of a run
 * says nothing about its end, and the estimate of waiting must stay as it is.
 */
static void
test_no_long_runs(void)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(SEED);
    struct ggw_remaining r;

    ggw_remaining_init(&r);
    CU_ASSERT_EQUAL(ggw_remaining_time(&r, 10), 0);
    for (int i = 0; i < 5000; i++) {
        ggw_remaining_add(&r, -log(1 - g_rand_double(rand)) * 100);
        CU_ASSERT_EQUAL(r.long_age, 0);
    }
    CU_ASSERT_EQUAL(ggw_remaining_return_rate(&r, 4, 4, 0.001), 1);
    CU_ASSERT_DOUBLE_EQUAL(ggw_remaining_time(&r, 100), 100, 20);
}

/*
 * Guards against slots of long runs that count as coming back at the average
 * rate, and against counting the usual share of long runs twice.
 */
static void
test_long_runs(void)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(SEED);
    struct ggw_remaining r;
    ggw_ms left;
    double usual;

    learn(&r, rand);
    CU_ASSERT_DOUBLE_EQUAL(r.long_age, 3 * MEDIAN, 0.15 * 3 * MEDIAN);
    left = ggw_remaining_time(&r, r.long_age);
    CU_ASSERT_DOUBLE_EQUAL(left, 4 * MEDIAN, MEDIAN);
    CU_ASSERT_TRUE(ggw_remaining_time(&r, 700) < left);
    CU_ASSERT_EQUAL(ggw_remaining_time(&r, 5000), 5000);
    /* Mean time of 1,000 runs past the long age, in slots of 100. */
    usual = 100 * LONG_SHARE * left / r.mean;
    CU_ASSERT_DOUBLE_EQUAL(
        ggw_remaining_return_rate(&r, 100, (int)usual, usual / left), 1, 0.1);
    CU_ASSERT_TRUE(ggw_remaining_return_rate(&r, 4, 4, 4 / left) < 0.4);
}

/* Guards against long runs of the past that count for ever. */
static void
test_forgets(void)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(SEED);
    struct ggw_remaining r;

    learn(&r, rand);
    for (int i = 0; i < 10000; i++) {
        ggw_remaining_add(&r, MEDIAN);
    }
    CU_ASSERT_EQUAL(r.long_age, 0);
}

/**
 * struct load - slots with a queue in virtual time
 * @busy: end of the run of each slot; 0: free
 * @since: start of the run of each slot
 * @on_time, @late, @refused, @given_up: results that callers got; @given_up
 *                                       counts refusals after a wait
 */
struct load {
    struct ggw_admission *queue;
    struct ggw_remaining remaining;
    GRand *rand;
    bool aged;
    ggw_ms busy[SLOTS];
    ggw_ms since[SLOTS];
    ggw_ms arrived[REQUESTS + 1];
    int on_time;
    int late;
    int refused;
    int given_up;
};

static void
start_run(struct load *l, int slot, uint64_t id, ggw_ms now)
{
    ggw_ms run = draw_run(l->rand);
    ggw_ms total = now + run - l->arrived[id];

    l->busy[slot] = now + run;
    l->since[slot] = now;
    l->on_time += total <= TARGET;
    l->late += total > TARGET;
}

static void
end_runs(struct load *l, ggw_ms now)
{
    struct ggw_waiter w;

    while (ggw_admission_expire(l->queue, now, &w)) {
        l->given_up++;
    }
    for (int i = 0; i < SLOTS; i++) {
        if (l->busy[i] == 0 || l->busy[i] > now) {
            continue;
        }
        ggw_admission_add_hold_time(l->queue, l->busy[i] - l->since[i]);
        ggw_remaining_add(&l->remaining, l->busy[i] - l->since[i]);
        l->busy[i] = 0;
        if (ggw_admission_pop(l->queue, now, &w)) {
            start_run(l, i, w.id, now);
        }
    }
}

static void
set_return_rate(struct load *l, ggw_ms now)
{
    int long_runs = 0;
    double rate = 0;

    for (int i = 0; i < SLOTS; i++) {
        if (l->busy[i] > 0 && now - l->since[i] >= l->remaining.long_age) {
            long_runs++;
            rate += 1 / ggw_remaining_time(&l->remaining, now - l->since[i]);
        }
    }
    ggw_admission_set_return_rate(
        l->queue,
        ggw_remaining_return_rate(&l->remaining, SLOTS, long_runs, rate));
}

static void
arrive(struct load *l, uint64_t id, ggw_ms now)
{
    struct ggw_waiter w = {.id = id,
                           .priority = 1,
                           .deadline = now + DEADLINE - 0.8 * MEDIAN,
                           .on_time_until = now + TARGET - 1.5 * MEDIAN};
    struct ggw_waiter displaced;

    l->arrived[id] = now;
    for (int i = 0; i < SLOTS; i++) {
        if (l->busy[i] == 0) {
            start_run(l, i, id, now);
            return;
        }
    }
    if (l->aged) {
        set_return_rate(l, now);
    }
    if (ggw_admission_push(l->queue, &w, now, &displaced) !=
        GGW_ADMISSION_QUEUED) {
        l->refused++; /* the request or the one that gave way */
    }
}

/* Plays requests that come in clumps, a little more than the slots can run. */
static void
play(struct load *l, guint seed, bool aged)
{
    ggw_ms now = 1;
    uint64_t id = 0;

    *l = (struct load){.queue = ggw_admission_new(QUEUE), .aged = aged};
    l->rand = g_rand_new_with_seed(seed);
    learn(&l->remaining, l->rand);
    ggw_admission_set_slots(l->queue, SLOTS);
    while (id < REQUESTS) {
        double rate = fmod(now, 4000) < 2000 ? 1.4 : 0.6;

        if (g_rand_double(l->rand) < rate * SLOTS / (1.18 * MEDIAN)) {
            arrive(l, ++id, now);
        }
        now++;
        end_runs(l, now);
    }
    g_rand_free(l->rand);
    ggw_admission_free(l->queue);
}

/*
 * Guards against requests that wait for slots of long runs until it is too
 * late, instead of being refused at once, and against refusals of requests
 * that could have been served.
 */
static void
test_clumps(void)
{
    struct load with = {0};
    struct load without = {0};
    int sum[2][4] = {{0}};

    for (guint seed = 1; seed <= 5; seed++) {
        play(&without, seed, false);
        play(&with, seed, true);
        for (int i = 0; i < 2; i++) {
            const struct load *l = i == 0 ? &without : &with;

            sum[i][0] += l->on_time;
            sum[i][1] += l->late;
            sum[i][2] += l->refused;
            sum[i][3] += l->given_up;
        }
    }
    for (int i = 0; i < 2; i++) {
        printf("%s: on time %d, late %d, refused %d, refused after a wait "
               "%d\n",
               i == 0 ? "without" : "with", sum[i][0], sum[i][1], sum[i][2],
               sum[i][3]);
    }
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"no long runs", test_no_long_runs},
        {"long runs", test_long_runs},
        {"forgets", test_forgets},
        {"clumps", test_clumps},
        CU_TEST_INFO_NULL,
    };

    return suite_run("remaining", tests);
}
