#include <CUnit/CUnit.h>
#include <math.h>
#include <stdio.h>

#include "decide/slots.h"
#include "tests/suite.h"

/*
 * Plays a service under overload in virtual time on the ledger, and counts
 * what callers get. The load is that of the heaviest days: status lookups of
 * 120 ms with a target of 300 ms and a deadline of 1,500 ms, half as many
 * again as the servers can run.
 */

#define SERVERS 8
#define SLOTS 3
#define WORK 120.0
#define TARGET 300.0
#define DEADLINE 1500.0
#define DURATION 20000.0
#define REQUESTS 8000

/**
 * struct call - one request of the run
 * @ends: when its work ends; INFINITY while it does not run
 */
struct call {
    ggw_ms arrived;
    ggw_ms work;
    ggw_ms ends;
    char *server;
    bool running;
};

struct run {
    struct ggw_ledger *ledger;
    struct ggw_ledger_grant_limits gate;
    GRand *rand;
    struct call calls[REQUESTS];
    int len;
    bool targets;
    /* what callers got */
    int in_target;
    int late;
    int refused;
    int refused_at_once;
    int wasted; /* begun, and cut off by the deadline */
};

static void
configure(struct run *r)
{
    static const struct ggw_limit_rule rule = {
        .slots = SLOTS, .cold_limit = 1, .cold_time = 1000};
    struct ggw_ledger_server_config servers[SERVERS];
    static char names[SERVERS][8];

    for (int i = 0; i < SERVERS; i++) {
        g_snprintf(names[i], sizeof(names[i]), "s%d", i);
        servers[i] =
            (struct ggw_ledger_server_config){.name = names[i], .warm = true};
    }
    ggw_ledger_configure(r->ledger, &rule, 200, servers, SERVERS, 0);
}

static void
take_decisions(struct run *r, ggw_ms now)
{
    struct ggw_ledger_decision d;

    while (ggw_ledger_decision(r->ledger, &d)) {
        struct call *c = &r->calls[d.id];

        if (d.answer == GGW_LEDGER_GRANTED) {
            c->running = true;
            c->server = d.server;
            c->ends = MIN(now + c->work, c->arrived + DEADLINE);
            d.server = NULL;
        }
        else if (d.answer == GGW_LEDGER_REFUSED) {
            r->refused++;
            r->refused_at_once += now - c->arrived < 1;
        }
        g_free(d.holder);
        g_free(d.server);
    }
}

static void
arrive(struct run *r, ggw_ms now)
{
    struct call *c = &r->calls[r->len];
    struct ggw_ledger_request ask = {
        .holder = "g",
        .id = (uint64_t)r->len,
        .priority = 1,
        .deadline = now + DEADLINE,
        .may_queue = true,
        .target = r->targets ? now + TARGET : 0,
        .median_latency = r->targets ? WORK : 0,
    };

    r->len++;
    c->arrived = now;
    c->work = WORK * g_rand_double_range(r->rand, 0.5, 1.5);
    c->ends = INFINITY;
    ggw_ledger_request(r->ledger, &ask, now);
    take_decisions(r, now);
}

static void
end(struct run *r, struct call *c, ggw_ms now)
{
    bool whole = now - c->arrived < DEADLINE;

    c->running = false;
    c->ends = INFINITY;
    r->wasted += !whole;
    r->in_target += whole && now - c->arrived <= TARGET;
    r->late += whole && now - c->arrived > TARGET;
    ggw_ledger_release(r->ledger, "g", (uint64_t)(c - r->calls), c->server,
                       whole ? GGW_ATTEMPT_OK : GGW_ATTEMPT_CANCELLED, WORK,
                       NULL, now);
    g_free(c->server);
    take_decisions(r, now);
}

static struct call *
next_end(struct run *r)
{
    struct call *first = NULL;

    for (int i = 0; i < r->len; i++) {
        if (r->calls[i].running &&
            (first == NULL || r->calls[i].ends < first->ends)) {
            first = &r->calls[i];
        }
    }
    return first;
}

static struct run *
play(double load, bool targets)
{
    struct run *r = g_new0(struct run, 1);
    double per_ms = load * SERVERS * SLOTS / WORK;
    ggw_ms now = 0;
    ggw_ms arrival = 0;

    r->rand = g_rand_new_with_seed(7);
    r->gate.majority_valid_until = INFINITY;
    r->targets = targets;
    r->ledger = ggw_ledger_new(&r->gate, r->rand, -1e6);
    configure(r);
    while (now < DURATION && r->len < REQUESTS) {
        struct call *c = next_end(r);
        ggw_ms tick = ggw_ledger_next_tick(r->ledger);

        now = MIN(arrival, MIN(tick, c != NULL ? c->ends : INFINITY));
        if (c != NULL && c->ends <= now) {
            end(r, c, now);
        }
        else if (arrival <= now) {
            arrive(r, now);
            arrival = now - log(1 - g_rand_double(r->rand)) / per_ms;
        }
        else {
            ggw_ledger_tick(r->ledger, now);
            take_decisions(r, now);
        }
    }
    return r;
}

static void
run_free(struct run *r)
{
    for (int i = 0; i < r->len; i++) {
        if (r->calls[i].running) {
            g_free(r->calls[i].server);
        }
    }
    ggw_ledger_free(r->ledger);
    g_rand_free(r->rand);
    g_free(r);
}

static void
print(const char *name, const struct run *r)
{
    printf("%s: %d requests, in target %.3f, late %.3f, refused %.3f "
           "(at once %.3f), wasted %.3f\n",
           name, r->len, (double)r->in_target / r->len,
           (double)r->late / r->len, (double)r->refused / r->len,
           (double)r->refused_at_once / r->len, (double)r->wasted / r->len);
}

/*
 * Guards against a queue in which every request becomes late: with 1.5 times
 * the load that the servers can run, two thirds could be served in time.
 */
static void
test_overload(void)
{
    struct run *with = play(1.5, true);
    struct run *without = play(1.5, false);

    print("targets", with);
    print("first come first served", without);
    CU_ASSERT_TRUE(with->in_target > 0.85 * with->len / 1.5);
    CU_ASSERT_TRUE(without->in_target < 0.2 * without->len);
    CU_ASSERT_EQUAL(with->wasted, 0);
    /* Most of those that are refused learn it while they can go elsewhere. */
    CU_ASSERT_TRUE(with->refused_at_once > 0.5 * with->refused);
    run_free(with);
    run_free(without);
}

/* Guards against refusals while the servers can bear the load. */
static void
test_usual_load(void)
{
    struct run *r = play(0.7, true);

    print("usual load", r);
    CU_ASSERT_TRUE(r->in_target > 0.98 * r->len);
    CU_ASSERT_TRUE(r->refused < 0.01 * r->len);
    run_free(r);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"overload", test_overload},
        {"usual load", test_usual_load},
        CU_TEST_INFO_NULL,
    };

    return suite_run("overload", tests);
}
