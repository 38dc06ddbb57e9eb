#include <string.h>

#include "tests/session.h"
#include "tests/suite.h"

#define BASE "/nile-strand"

/*
 * Guards against changes in the status, the headers or the outcome of
 * responses to a request of each kind: compares whole responses with a golden
 * file.
 */
static void
test_plain_requests(void)
{
    struct system *s = system_new(&system_cairo, 1);
    struct session *t = session_new("requests", s);

    session_note(t, "a lookup");
    session_request(t, "GET", BASE "/strand-status/status/7?id=7", NULL, NULL);
    session_note(t, "an order, and the same order again");
    session_request(t, "POST", BASE "/repair-orders/orders/o1",
                    "X-Order-Id: o1\r\n", "{}");
    session_request(t, "POST", BASE "/repair-orders/orders/o1",
                    "X-Order-Id: o1\r\n", "{}");
    session_note(t, "a download");
    session_request(t, "GET", BASE "/archive/body/0?id=a", NULL, NULL);
    CU_ASSERT(session_end(t));
    CU_ASSERT(system_free(s));
}

/* Sends a text unchanged to the gateway. */
static void
send_raw(struct session *t, const char *what, const char *bytes)
{
    session_raw(t, what, bytes, strlen(bytes));
}

/*
 * Guards against input limits that are not enforced or whose refusal changes:
 * compares the responses to malformed, too large and unroutable requests with
 * a golden file and checks that no backend server gets any of them.
 */
static void
test_bad_input(void)
{
    struct system *s = system_new(&system_cairo, 1);
    struct session *t = session_new("bad_input", s);
    g_autofree char *filler = g_strnfill((gsize)17 * 1024, 'a');
    g_autofree char *big_head = g_strconcat(
        "GET " BASE "/strand-status/x HTTP/1.1\r\nHost: a\r\nX-Filler: ",
        filler, "\r\n\r\n", NULL);

    send_raw(t, "a head above 16 KiB", big_head);
    send_raw(t, "a body above 1 MiB, by its length",
             "POST " BASE "/repair-orders/orders/o2 HTTP/1.1\r\nHost: a\r\n"
             "X-Order-Id: o2\r\nContent-Length: 1048577\r\n\r\n");
    send_raw(t, "both framings",
             "POST " BASE "/repair-orders/orders/o3 HTTP/1.1\r\nHost: a\r\n"
             "X-Order-Id: o3\r\nContent-Length: 2\r\n"
             "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n");
    send_raw(
        t, "a broken chunk",
        "POST " BASE "/repair-orders/orders/o4 HTTP/1.1\r\nHost: a\r\n"
        "X-Order-Id: o4\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n");
    send_raw(t, "a malformed request line", "GET\r\n\r\n");
    session_note(t, "no such team, service and kind");
    session_request(t, "GET", "/nobody/strand-status/x", NULL, NULL);
    session_request(t, "GET", BASE "/nothing/x", NULL, NULL);
    session_request(t, "DELETE", BASE "/strand-status/x", NULL, NULL);
    session_note(t, "an order without its identifier");
    session_request(t, "POST", BASE "/repair-orders/orders/o5", NULL, "{}");
    CU_ASSERT_EQUAL(system_count_sum(s, "started", NULL, NULL), 0);
    CU_ASSERT(session_end(t));
    CU_ASSERT(system_free(s));
}

/*
 * While the platform is down, guards against refused orders that are not
 * marked as not run and against lookups that fail because they depend on the
 * platform.
 */
static void
test_platform_outage(void)
{
    struct system *s = system_new(&system_cairo, 1);
    struct session *t = session_new("platform_outage", s);

    system_platform_fault(s, "{\"mode\":\"down\"}");
    session_note(t, "the platform is down");
    session_request(t, "GET", BASE "/strand-status/status/7?id=7", NULL, NULL);
    session_request(t, "POST", BASE "/repair-orders/orders/o1",
                    "X-Order-Id: o1\r\n", "{}");
    session_verb(t, (const char *[]){"domain-out", "cairo-b", NULL});
    system_platform_fault(s, "{\"mode\":\"none\"}");
    session_note(t, "the platform is back");
    session_request(t, "POST", BASE "/repair-orders/orders/o1",
                    "X-Order-Id: o1\r\n", "{}");
    CU_ASSERT(session_end(t));
    CU_ASSERT(system_free(s));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"plain requests", test_plain_requests},
        {"bad input", test_bad_input},
        {"platform outage", test_platform_outage},
        CU_TEST_INFO_NULL,
    };

    return suite_run("sessions of requests", tests);
}
