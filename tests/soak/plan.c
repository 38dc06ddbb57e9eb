#include "tests/soak/plan.h"

#include "tests/soak/servers.h"

/* Time without faults at the start of the traffic, ms. */
#define FAULT_FREE_MS 1000.0

/* Shortest and longest duration of a fault, ms. */
#define MIN_FAULT_MS 200.0
#define MAX_FAULT_MS 4000.0

/* Steps of a plan. */
#define MIN_STEPS 6
#define MAX_STEPS 16

const char *const soak_fault_names[SOAK_FAULTS] = {
    [SOAK_CHANGE_CONFIG] = "change config",
    [SOAK_EVACUATE_ZONE] = "evacuate zone",
    [SOAK_STOP_GATEWAY] = "stop gateway",
    [SOAK_RELOAD_GATEWAY] = "reload gateway",
    [SOAK_DRAIN_SERVER] = "drain server",
    [SOAK_KILL_GATEWAY] = "kill gateway",
    [SOAK_KILL_ALL] = "kill all gateways",
    [SOAK_PAUSE_GATEWAY] = "pause gateway",
    [SOAK_PEER_LINK] = "peer links of gateway",
    [SOAK_FRONT_LINK] = "client links of gateway",
    [SOAK_STORE_LINK] = "store link of gateway",
    [SOAK_SERVER_LINK] = "links to server",
    [SOAK_STORE_FAULT] = "store",
    [SOAK_CRASH_SERVER] = "crash server",
    [SOAK_SLOW_SERVER] = "slow server",
    [SOAK_LOSE_RESPONSES] = "lose responses",
    [SOAK_TRUNCATE_RESPONSES] = "truncate responses",
    [SOAK_SERVER_LEAVES] = "server leaves",
    [SOAK_SERVER_PAUSES] = "server pauses",
    [SOAK_UNFRAMED_RESPONSES] = "unframed responses",
    [SOAK_REPEATED_RESPONSES] = "repeated responses",
    [SOAK_ENDLESS_RESPONSES] = "endless responses",
    [SOAK_MALFORMED_RESPONSES] = "malformed responses",
    [SOAK_REMOVE_ENTRY] = "remove entry of server",
    [SOAK_STORE_RETURNS] = "store returns from a copy",
};

const char *const soak_link_faults[SOAK_LINK_FAULTS] = {
    "\"cut\":true", "\"silent\":true", "\"hold\":true", "\"one_way\":true",
    "\"delay_ms\":80"};
const char *const soak_store_faults[SOAK_STORE_FAULTS] = {
    "{\"mode\":\"down\"}", "{\"mode\":\"slow\",\"ms\":300}",
    "{\"mode\":\"silent\"}", "{\"mode\":\"lost-answer\"}",
    "{\"mode\":\"compact\"}"};

static int
pick_target(enum soak_fault fault, GRand *rand)
{
    switch (fault) {
    case SOAK_EVACUATE_ZONE:
        return g_rand_int_range(rand, 0, SOAK_ZONES);
    case SOAK_DRAIN_SERVER:
    case SOAK_SERVER_LINK:
    case SOAK_CRASH_SERVER:
    case SOAK_SLOW_SERVER:
    case SOAK_LOSE_RESPONSES:
    case SOAK_TRUNCATE_RESPONSES:
    case SOAK_SERVER_LEAVES:
    case SOAK_SERVER_PAUSES:
    case SOAK_UNFRAMED_RESPONSES:
    case SOAK_REPEATED_RESPONSES:
    case SOAK_ENDLESS_RESPONSES:
    case SOAK_MALFORMED_RESPONSES:
    case SOAK_REMOVE_ENTRY:
        return g_rand_int_range(rand, 0, SOAK_SERVERS);
    default:
        return g_rand_int_range(rand, 0, SOAK_GATEWAYS);
    }
}

static gint
by_time(gconstpointer a, gconstpointer b)
{
    const struct soak_step *x = a;
    const struct soak_step *y = b;

    return (x->at > y->at) - (x->at < y->at);
}

/*
 * Steps in which a server says that it wants no requests, and their duration,
 * ms. It is well above the time in which requests may still arrive.
 */
#define SAID_STEPS 3
#define MIN_SAID_MS 7000.0
#define MAX_SAID_MS 10000.0

/*
 * Steps in which servers send unusual responses, and their duration, ms.
 * Responses without a length are sound, so that planned maintenance has them
 * too.
 */
#define REPEATED_STEPS 4
#define MIN_UNFRAMED_MS 7000.0
#define MAX_UNFRAMED_MS 12000.0
#define MIN_REPEATED_MS 3000.0
#define MAX_REPEATED_MS 8000.0
#define MIN_ENDLESS_MS 3000.0
#define MAX_ENDLESS_MS 6000.0
#define MIN_MALFORMED_MS 3000.0
#define MAX_MALFORMED_MS 6000.0

static void
add_step(GArray *steps, GRand *rand, int first, int end, ggw_ms shortest,
         ggw_ms longest, ggw_ms span)
{
    struct soak_step step = {
        .duration = g_rand_double_range(rand, shortest, longest),
        .fault = (enum soak_fault)g_rand_int_range(rand, first, end),
    };

    step.at = g_rand_double_range(rand, FAULT_FREE_MS, span - step.duration);
    step.target = pick_target(step.fault, rand);
    step.variant = g_rand_int_range(rand, 0, SOAK_LINK_FAULTS);
    g_array_append_val(steps, step);
}

static void
add_sent_steps(GArray *steps, GRand *rand, bool with_faults, ggw_ms span)
{
    add_step(steps, rand, SOAK_UNFRAMED_RESPONSES, SOAK_REPEATED_RESPONSES,
             MIN_UNFRAMED_MS, MAX_UNFRAMED_MS, span);
    for (int i = 0; with_faults && i < REPEATED_STEPS; i++) {
        add_step(steps, rand, SOAK_REPEATED_RESPONSES, SOAK_ENDLESS_RESPONSES,
                 MIN_REPEATED_MS, MAX_REPEATED_MS, span);
    }
    if (with_faults) {
        add_step(steps, rand, SOAK_ENDLESS_RESPONSES, SOAK_MALFORMED_RESPONSES,
                 MIN_ENDLESS_MS, MAX_ENDLESS_MS, span);
    }
}

/*
 * Durations for which several gateways are paused together, ms: below and
 * above the time after which a gateway counts as dead, and as long as the span
 * allows.
 */
static const ggw_ms pauses[] = {1000.0, 5000.0, 12000.0};

/* Pauses one to all gateways at the same time. */
static void
add_pauses(GArray *steps, GRand *rand, ggw_ms span)
{
    int first = g_rand_int_range(rand, 0, SOAK_GATEWAYS);
    int len = g_rand_int_range(rand, 1, SOAK_GATEWAYS + 1);
    int i = g_rand_int_range(rand, 0, G_N_ELEMENTS(pauses));
    ggw_ms at = g_rand_double_range(rand, FAULT_FREE_MS, span - pauses[i]);

    for (int n = 0; n < len; n++) {
        struct soak_step step = {
            .at = at,
            .duration = pauses[i],
            .fault = SOAK_PAUSE_GATEWAY,
            .target = (first + n) % SOAK_GATEWAYS,
        };

        g_array_append_val(steps, step);
    }
}

/* Bursts of versions, the versions of each, and the time between them, ms. */
#define BURSTS 4
#define MIN_BURST 2
#define MAX_BURST 7
#define MIN_BURST_GAP_MS 10.0
#define MAX_BURST_GAP_MS 600.0

/* Servers that leave in a series, and for how long before their end, ms. */
#define LEAVING_STEPS 6
#define MIN_LEAVING_MS 3500.0
#define MAX_LEAVING_MS 6000.0

/* Faults of a series, their durations and the time between them, ms. */
#define MIN_SERIES 2
#define MAX_SERIES 6
#define MIN_SERIES_MS 800.0
#define MAX_SERIES_MS 4000.0
#define MAX_SERIES_GAP_MS 1600.0

static const enum soak_fault series_faults[] = {
    SOAK_STORE_LINK, SOAK_STORE_LINK, SOAK_PEER_LINK, SOAK_PAUSE_GATEWAY,
    SOAK_KILL_GATEWAY};

static void
add_burst(GArray *steps, GRand *rand, ggw_ms span)
{
    int len = g_rand_int_range(rand, MIN_BURST, MAX_BURST + 1);
    struct soak_step step = {
        .at = g_rand_double_range(rand, FAULT_FREE_MS,
                                  span - MAX_BURST * MAX_BURST_GAP_MS),
        .fault = SOAK_CHANGE_CONFIG,
    };

    for (int i = 0; i < len; i++) {
        step.variant = g_rand_boolean(rand) ? SOAK_LARGE_CONFIG : 0;
        g_array_append_val(steps, step);
        step.at +=
            g_rand_double_range(rand, MIN_BURST_GAP_MS, MAX_BURST_GAP_MS);
    }
}

/* Draws an order of the gateways. */
static void
draw_order(int *gateways, GRand *rand)
{
    for (int i = 0; i < SOAK_GATEWAYS; i++) {
        int other = g_rand_int_range(rand, 0, i + 1);

        gateways[i] = gateways[other];
        gateways[other] = i;
    }
}

/* Faults of one kind on gateways one after another; they may overlap. */
static void
add_series(GArray *steps, GRand *rand, ggw_ms span)
{
    int len = g_rand_int_range(rand, MIN_SERIES, MAX_SERIES + 1);
    int kind = g_rand_int_range(rand, 0, G_N_ELEMENTS(series_faults));
    struct soak_step step = {
        .at = g_rand_double_range(rand, FAULT_FREE_MS,
                                  span - MAX_SERIES * MAX_SERIES_GAP_MS -
                                      MAX_SERIES_MS),
        .fault = series_faults[kind],
        .variant = g_rand_int_range(rand, 0, SOAK_LINK_FAULTS),
    };
    ggw_ms gap = g_rand_double_range(rand, 0, MAX_SERIES_GAP_MS);
    int gateways[SOAK_GATEWAYS];

    draw_order(gateways, rand);

    for (int i = 0; i < len; i++) {
        step.target = gateways[i];
        step.duration =
            g_rand_double_range(rand, MIN_SERIES_MS, MAX_SERIES_MS);
        g_array_append_val(steps, step);
        step.at += gap;
    }
}

static void
add_all_series(GArray *steps, GRand *rand, bool with_faults, ggw_ms span)
{
    for (int i = 0; i < BURSTS; i++) {
        add_burst(steps, rand, span);
    }
    for (int i = 0; i < LEAVING_STEPS; i++) {
        enum soak_fault fault =
            g_rand_boolean(rand) ? SOAK_DRAIN_SERVER : SOAK_REMOVE_ENTRY;

        add_step(steps, rand, fault, fault + 1, MIN_LEAVING_MS, MAX_LEAVING_MS,
                 span);
    }
    if (with_faults) {
        add_series(steps, rand, span);
        add_series(steps, rand, span);
    }
}

/* Age of the copy from which the store returns, ms. */
#define MIN_COPY_AGE_MS 1000.0
#define MAX_COPY_AGE_MS 6000.0

/* Whether one in @n seeds is drawn. */
static bool
draw_one_in(GRand *rand, int n)
{
    return g_rand_int_range(rand, 0, n) == 0;
}

/* Series, and at times a fault of the store or the end of all gateways. */
static void
add_series_only(GArray *steps, GRand *rand, ggw_ms span)
{
    add_all_series(steps, rand, true, span);
    if (draw_one_in(rand, 3)) {
        add_step(steps, rand, SOAK_KILL_ALL, SOAK_KILL_ALL + 1, MIN_FAULT_MS,
                 MAX_FAULT_MS, span);
    }
    if (draw_one_in(rand, 3)) {
        add_step(steps, rand, SOAK_STORE_FAULT, SOAK_STORE_FAULT + 1,
                 MIN_FAULT_MS, MAX_FAULT_MS, span);
    }
}

static void
add_mixed(GArray *steps, GRand *rand, bool with_faults, ggw_ms span)
{
    int end = with_faults ? SOAK_FIRST_SAID : SOAK_FIRST_UNPLANNED;
    int len = g_rand_int_range(rand, MIN_STEPS, MAX_STEPS + 1);

    for (int i = 0; i < len; i++) {
        add_step(steps, rand, 0, end, MIN_FAULT_MS, MAX_FAULT_MS, span);
    }
    /* Drawn last, so that the other steps of a seed stay what they were. */
    for (int i = 0; i < SAID_STEPS; i++) {
        add_step(steps, rand, SOAK_FIRST_SAID, SOAK_FIRST_SENT, MIN_SAID_MS,
                 MAX_SAID_MS, span);
    }
    add_sent_steps(steps, rand, with_faults, span);
    if (with_faults) {
        add_pauses(steps, rand, span);
        add_step(steps, rand, SOAK_MALFORMED_RESPONSES, SOAK_REMOVE_ENTRY,
                 MIN_MALFORMED_MS, MAX_MALFORMED_MS, span);
    }
    add_all_series(steps, rand, with_faults, span);
}

GArray *
soak_plan(guint32 seed, ggw_ms span)
{
    GRand *rand = g_rand_new_with_seed(seed);
    GArray *steps = g_array_new(FALSE, FALSE, sizeof(struct soak_step));

    if (seed >= SOAK_FIRST_SERIES) {
        add_series_only(steps, rand, span);
    }
    else {
        add_mixed(steps, rand, seed % 3 != 0, span);
    }
    if (seed >= SOAK_FIRST_RETURN) {
        add_step(steps, rand, SOAK_STORE_RETURNS, SOAK_STORE_RETURNS + 1,
                 MIN_COPY_AGE_MS, MAX_COPY_AGE_MS, span);
    }
    g_array_sort(steps, by_time);
    g_rand_free(rand);
    return steps;
}
