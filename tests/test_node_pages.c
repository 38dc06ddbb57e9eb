#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#include "tests/client.h"
#include "tests/node.h"
#include "tests/suite.h"

/*
 * Pages of the gateway itself on the users' platform: at the control address,
 * for operators, and nowhere else.
 */

#define KEY "key-of-first"

/* Headers of a client's request. */
#define CLIENT                                                                \
    "Host: " NODE_HOST "\r\nAttempt-Id: a1\r\nRequest-Deadline: 5000\r\n"

/* A change in the store is in force at a gateway within this time, ms. */
#define APPLY_MS 2500

static const struct node_options options = {
    .memory = 650, .descriptors = 4000, .body_max = 1048576};

static const char config[] =
    "{\"Version\":\"00000009\",\"Listeners\":[{\"Host\":\"" NODE_HOST
    "\",\"Rules\":[{\"Name\":\"read\",\"RouteType\":\"idempotent\","
    "\"Match\":{\"Prefix\":\"" NODE_PATH "\"},\"Action\":{\"Service\":\"s\","
    "\"TimeoutMs\":8000,\"MaxAttempts\":2}}]}],\"Clusters\":[{\"Name\":\"s\","
    "\"HealthPath\":\"/health\",\"MaxConns\":1000,\"ColdStartS\":1,"
    "\"ColdPerS\":100}],\"Tenants\":[{\"Name\":\"first-millers\",\"ApiKeys\":"
    "[\"" KEY "\"],\"RatePerS\":37}]}";

/* A page, and a text of its content. */
static const struct {
    const char *path;
    const char *text;
} pages[] = {
    {"/-/status", "first-millers"},
    {"/-/metrics", "first-millers"},
    {"/-/route?method=GET&host=" NODE_HOST "&path=" NODE_PATH, NODE_SERVER},
    {"/-/entry", "gateways"},
    {"/-/health", "ok"},
    {"/-/ready", "ready"},
};

static bool
has_customers(void *data)
{
    struct node *n = data;
    struct reply *r =
        client_request(n->front, "GET", NODE_PATH "10", CLIENT, NULL);
    int status = r->status;

    reply_free(r);
    return status == 401;
}

static struct node *
start_with_customers(void)
{
    struct node *n = node_start(&options);
    struct reply *r;

    node_write_row(n, "op/config", config);
    CU_ASSERT_TRUE(client_await(has_customers, n, APPLY_MS));
    r = client_request(n->front, "GET", NODE_PATH "10",
                       CLIENT "Api-Key: " KEY "\r\n", NULL);
    CU_ASSERT_EQUAL(r->status, 200);
    reply_free(r);
    return n;
}

/*
 * Guards against pages that answer clients where no route matches, and tell
 * one customer of the others.
 */
static void
test_hidden_from_clients(void)
{
    static const char *const methods[] = {"GET", "POST"};
    struct node *n = start_with_customers();

    for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(methods); j++) {
            struct reply *r =
                client_request(n->front, methods[j], pages[i].path,
                               "Api-Key: " KEY "\r\n", NULL);

            CU_ASSERT_EQUAL(r->status, 404);
            CU_ASSERT_PTR_NULL(strstr(reply_text(r), pages[i].text));
            reply_free(r);
        }
    }
    CU_ASSERT_TRUE(node_stop(n));
}

static bool
shows_customer(void *data)
{
    struct node *n = data;
    struct reply *r =
        client_request(n->control, "GET", pages[0].path, NULL, NULL);
    bool shown = strstr(reply_text(r), pages[0].text) != NULL;

    reply_free(r);
    return shown;
}

/* Guards against operators who find the pages nowhere. */
static void
test_served_to_operators(void)
{
    struct node *n = start_with_customers();
    struct reply *r;

    CU_ASSERT_TRUE(client_await(shows_customer, n, APPLY_MS));
    for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
        r = client_request(n->control, "GET", pages[i].path, NULL, NULL);
        CU_ASSERT_EQUAL(r->status, 200);
        CU_ASSERT_PTR_NOT_NULL(strstr(reply_text(r), pages[i].text));
        if (strstr(reply_text(r), pages[i].text) == NULL) {
            printf("%s: %.200s\n", pages[i].path, reply_text(r));
        }
        reply_free(r);
    }
    r = client_request(n->control, "GET", "/-/none", NULL, NULL);
    CU_ASSERT_EQUAL(r->status, 404);
    reply_free(r);
    r = client_request(n->control, "GET", "/metrics", NULL, NULL);
    CU_ASSERT_EQUAL(r->status, 200);
    CU_ASSERT_PTR_NOT_NULL(strstr(reply_text(r), "ggw_requests_total"));
    reply_free(r);
    CU_ASSERT_TRUE(node_stop(n));
}

/*
 * Guards against a status page whose members lead an operator's verbs to the
 * addresses of clients.
 */
static void
test_addresses_of_pages(void)
{
    struct node *n = start_with_customers();
    struct reply *r =
        client_request(n->control, "GET", "/-/status", NULL, NULL);
    g_autofree char *expected =
        g_strdup_printf("\"pages\":\"%s\"", n->control);

    CU_ASSERT_PTR_NOT_NULL(strstr(reply_text(r), expected));
    reply_free(r);
    CU_ASSERT_TRUE(node_stop(n));
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"hidden from clients", test_hidden_from_clients},
        {"served to operators", test_served_to_operators},
        {"addresses of pages", test_addresses_of_pages},
        CU_TEST_INFO_NULL,
    };

    return suite_run("node_pages", tests);
}
