#include <signal.h>

#include "tests/suite.h"
#include "tests/system.h"

/* Longest time in ms for the orders of one phase of the test, long enough for
 * a sanitizer build. */
#define PROGRESS_LIMIT_MS 60000

static const char kind[] =
    "order,1,POST,/nile-strand/repair-orders/orders/{id}";

/* What has_served() waits for: @served orders of @load. */
struct progress {
    struct system_load *load;
    double served;
};

static bool
has_served(void *data)
{
    const struct progress *p = data;

    return system_load_served(p->load, "order") >= p->served;
}

static bool
await_served(struct system_load *load, double served)
{
    struct progress p = {load, served};

    return client_await(has_served, &p, PROGRESS_LIMIT_MS);
}

/* What has_claimed() waits for: @txns transactions at the platform. */
struct claims {
    struct system *s;
    int64_t txns;
};

static bool
has_claimed(void *data)
{
    const struct claims *c = data;

    return platform_process_stat(&c->s->platform, "txns") >= c->txns;
}

/* At least five orders were refused because another attempt holds the claim,
 * so that their outcome is unknown to the client. */
static bool
has_unknown_outcomes(void *data)
{
    const struct system_load *load = data;

    return system_load_result(load, "order", "refused_claimed") >= 5;
}

/*
 * Requirements R5 and R6. Guards against an order that runs twice, and against
 * an order that ran but is refused as "not run". This can come about when the
 * platform's responses to claims are lost, when gateways are killed or when
 * responses of backend servers are lost, while clients retry each order
 * through other gateways.
 */
static void
test_orders_run_once(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);
    struct system_load *load = system_load_start(
        s, (const char *[]){"--kind", kind, "--rate", "150", "--retries", "4",
                            "--counts",
                            system_control_address(s, "repair-orders"), NULL});
    struct claims claims = {s, 200};

    CU_ASSERT(await_served(load, 100));
    system_platform_fault(s,
                          "{\"mode\":\"lost-answer\",\"prefix\":\"claims/\"}");
    CU_ASSERT(client_await(has_claimed, &claims, PROGRESS_LIMIT_MS));
    system_platform_fault(s, "{\"mode\":\"none\"}");
    CU_ASSERT(await_served(load, 300));
    system_signal_gateway(s, 2, SIGKILL);
    system_wait_gateway(s, 2);
    CU_ASSERT(await_served(load, 500));
    system_set_backend(s, "repair-orders",
                       "{\"server\":\"*\",\"lose_answers\":true}");
    CU_ASSERT(client_await(has_unknown_outcomes, load, PROGRESS_LIMIT_MS));
    system_set_backend(s, "repair-orders",
                       "{\"server\":\"*\",\"lose_answers\":false}");
    CU_ASSERT(await_served(load, 700));
    system_signal_gateway(s, 4, SIGKILL);
    system_wait_gateway(s, 4);
    CU_ASSERT(await_served(load, 1000));

    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    CU_ASSERT(system_load_figure(load, "order_sent") >= 1000);
    CU_ASSERT_EQUAL(system_load_figure(load, "orders_ran_twice"), 0);
    CU_ASSERT_EQUAL(system_load_figure(load, "orders_refused_but_ran"), 0);
    CU_ASSERT_EQUAL(system_load_figure(load, "orders_served_but_not_ran"), 0);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"orders run at most once", test_orders_run_once},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proof of orders", tests);
}
