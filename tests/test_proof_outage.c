#include <string.h>

#include "tests/suite.h"
#include "tests/system.h"

/* Requirement R9: longest time in ms for a gateway to become ready, and then
 * to serve requests, while the settings can't be read from the platform. */
#define BOUND_MS 12000

static const char status_path[] = "/nile-strand/strand-status/status/1?id=1";

static bool
is_served(void *data)
{
    struct reply *r = client_request(data, "GET", status_path, NULL, NULL);
    bool served = r->status == 200;

    reply_free(r);
    return served;
}

/* Requirement R9. Guards against a gateway that starts while the platform's
 * settings rows can't be read and serves no request, although its peers have
 * the settings. */
static void
test_start_in_outage(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS - 1);
    int last = SYSTEM_GATEWAYS - 1;

    system_platform_fault(s, "{\"mode\":\"down\",\"prefix\":\"config/\"}");
    system_start_gateway(s, last);
    CU_ASSERT(system_gateway_ready(s, last, BOUND_MS));
    CU_ASSERT(client_await(is_served, s->gateways[last].address, BOUND_MS));
    system_platform_fault(s, "{\"mode\":\"none\"}");
    CU_ASSERT(system_free(s));
}

/* Requirements R5 and R6. Guards against an order that is sent to a backend
 * server without a claim, and against a refusal that doesn't tell the client
 * that the order was not run. The whole platform is down. */
static void
test_orders_in_outage(void)
{
    struct system *s = system_new(&system_cairo, 2);
    struct reply *r;
    char *outcome, *reason;

    system_platform_fault(s, "{\"mode\":\"down\"}");
    r = client_request(s->gateways[0].address, "POST",
                       "/nile-strand/repair-orders/orders/o1",
                       "X-Order-Id: o1\r\n", "{}");
    outcome = reply_header(r, "Greengageway-Outcome");
    reason = reply_header(r, "Greengageway-Reason");
    CU_ASSERT_EQUAL(r->status, 503);
    CU_ASSERT_EQUAL(g_strcmp0(outcome, "not-run"), 0);
    CU_ASSERT_EQUAL(g_strcmp0(reason, "claims-unavailable"), 0);
    CU_ASSERT_EQUAL(system_count_sum(s, "ran", "repair-orders", NULL), 0);
    CU_ASSERT(is_served(s->gateways[0].address));
    g_free(outcome);
    g_free(reason);
    reply_free(r);
    CU_ASSERT(system_free(s));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"gateway started during an outage", test_start_in_outage},
        {"orders during an outage", test_orders_in_outage},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proof of outages", tests);
}
