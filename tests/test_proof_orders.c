#include <signal.h>

#include "tests/suite.h"
#include "tests/system.h"

/* Time in which that many orders are served even under a sanitizer. */
#define PROGRESS_LIMIT_MS 60000

static const char kind[] =
    "order,1,POST,/nile-strand/repair-orders/orders/{id}";

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

/* Clients were told of orders whose outcome is not known. */
static bool
has_lost(void *data)
{
    const struct system_load *load = data;

    return system_load_result(load, "order", "refused_claimed") >= 5;
}

/*
 * R5, R6. Guards against an order that runs twice, and against a refusal "not
 * run" of an order that ran: the answers to some claims are lost, two gateways
 * are killed, answers of backend servers are lost, and clients try each order
 * again through other gateways.
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
    CU_ASSERT(client_await(has_lost, load, PROGRESS_LIMIT_MS));
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
