#include <limits.h>
#include <stdio.h>

#include "bench/policy/sim.h"

/* Prints results of the simulation as lines "name value unit". */

#define REQUESTS 100000

/* Queue length above which a server sheds, in the overload runs. */
#define SERVER_QUEUE 16

static const struct deployment cairo = {
    "cairo_strand_status", 3,   10, 2, {0, 0, 0, 0, 1, 1, 1, 2, 2, 2},
    {0, 0, 1, 1, 2, 2},    0.1, 1,
};
static const struct deployment mombasa = {
    "mombasa_mooring_orders", 4,   8,   4, {0, 0, 1, 1, 2, 2, 3, 3},
    {0, 0, 1, 1, 2, 3},       0.1, 1.5,
};

static int
compare_latencies(gconstpointer a, gconstpointer b)
{
    const ggw_ms *x = a, *y = b;

    return (*x > *y) - (*x < *y);
}

static ggw_ms
quantile(const struct sim *s, double q)
{
    return g_array_index(s->latencies, ggw_ms,
                         (guint)(q * (s->latencies->len - 1)));
}

static void
print_result(const char *name, const char *what, double value,
             const char *unit)
{
    printf("%s_%s %.3f %s\n", name, what, value, unit);
}

static void
bench(const char *what, const struct run *run)
{
    struct sim *s = g_new(struct sim, 1);
    double percent = 100.0 / run->requests;
    char name[128];

    sim_run(s, run);
    g_array_sort(s->latencies, compare_latencies);
    (void)snprintf(name, sizeof(name), "%s_%s_%s", run->d->name, run->policy,
                   what);
    print_result(name, "p50", quantile(s, 0.5), "ms");
    print_result(name, "p99", quantile(s, 0.99), "ms");
    print_result(name, "p99.9", quantile(s, 0.999), "ms");
    print_result(name, "refused", percent * s->refused, "%");
    print_result(name, "shed", percent * s->shed, "%");
    if (run->load > 1) {
        for (int i = 0; i < 3; i++) {
            (void)snprintf(name, sizeof(name), "%s_%s_%s_priority%d",
                           run->d->name, run->policy, what, i);
            print_result(name, "done_in_time",
                         100.0 * s->done_in_time[i] / MAX(s->offered[i], 1),
                         "%");
        }
        (void)snprintf(name, sizeof(name), "%s_%s_%s", run->d->name,
                       run->policy, what);
        print_result(name, "done_in_time_of_capacity",
                     percent *
                         (s->done_in_time[0] + s->done_in_time[1] +
                          s->done_in_time[2]) *
                         run->load,
                     "%");
        print_result(name, "done_late", percent * s->late, "%");
    }
    if (run->fail_share > 0) {
        print_result(name, "failed", percent * s->failed, "%");
    }
    g_array_free(s->latencies, true);
    g_free(s);
}

/*
 * Counts the requests that reach a server after it turned cold and before the
 * owner lowers its limit.
 */
static void
bench_cold_detection(struct run run)
{
    struct sim *s = g_new(struct sim, 1);
    int sum = 0, max = 0;

    run.requests = 20000;
    for (int i = 0; i < 20; i++) {
        run.cold_at = 500 + 37 * i;
        sim_run(s, &run);
        sum += s->sent_to_cold;
        max = MAX(max, s->sent_to_cold);
        g_array_free(s->latencies, true);
    }
    print_result(run.d->name, "sent_after_turn_to_cold_mean", sum / 20.0,
                 "requests");
    print_result(run.d->name, "sent_after_turn_to_cold_max", max, "requests");
    g_free(s);
}

static void
bench_loads(struct run run)
{
    static const int loads[] = {50, 80, 95};
    static const int ages[] = {1, 5, 25, 100};
    int aheads[] = {0, 1, run.d->slots};
    char what[64];

    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        run.load = loads[i] / 100.0;
        if (g_str_equal(run.policy, "slots")) {
            for (size_t k = 0; k < G_N_ELEMENTS(aheads); k++) {
                run.ahead = aheads[k];
                (void)snprintf(what, sizeof(what), "load%d_ahead%d", loads[i],
                               run.ahead);
                bench(what, &run);
            }
        }
        else if (g_str_equal(run.policy, "power_of_two")) {
            for (size_t k = 0; k < G_N_ELEMENTS(ages); k++) {
                run.report_age = ages[k];
                (void)snprintf(what, sizeof(what), "load%d_reports%dms",
                               loads[i], ages[k]);
                bench(what, &run);
            }
        }
        else {
            (void)snprintf(what, sizeof(what), "load%d", loads[i]);
            bench(what, &run);
        }
    }
}

static void
bench_faults(struct run run)
{
    struct run faulty = run;

    run.ahead = run.d->slots;
    run.report_age = 5;
    run.load = 0.8;
    faulty = run;
    faulty.cold_at = 5000;
    faulty.cold_for = 5000;
    bench("load80_one_cold", &faulty);
    if (g_str_equal(run.policy, "slots")) {
        bench_cold_detection(faulty);
    }
    faulty = run;
    faulty.fail_share = 1;
    bench("load80_one_fails", &faulty);
    faulty.fail_share = 0.5;
    bench("load80_one_fails_half", &faulty);
    faulty = run;
    faulty.slow_factor = 10;
    bench("load80_one_slow", &faulty);
    run.load = 1.5;
    run.timeout = 100;
    run.server_queue = SERVER_QUEUE;
    bench("load150", &run);
}

int
main(void)
{
    static const struct deployment *const deployments[] = {&cairo, &mombasa};

    for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
        for (const char *const *p = ggw_policy_names(); *p != NULL; p++) {
            struct run run = {
                .d = deployments[i],
                .policy = *p,
                .requests = REQUESTS,
                .timeout = 1e6,
                .cold_at = 1e9,
                .server_queue = INT_MAX,
            };

            bench_loads(run);
            bench_faults(run);
        }
    }
    return 0;
}
