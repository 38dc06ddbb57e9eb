#include <math.h>
#include <string.h>

#include "tests/soak/record.h"
#include "tests/suite.h"

/*
 * Tests of the soak's checks. Each check must report the violation that it
 * guards against; a check that stays silent would let the soak pass.
 */

/* A time long after the start and after any fault, ms. */
#define STABLE_AT 100000.0

static struct soak_record *record;

static void
begin_record(void)
{
    record = soak_record_new();
    soak_record_version(record, 1, 0, 0);
    soak_record_version_acked(record, 1, 1);
}

/*
 * Asserts that @rule was violated once and no other rule, or none at all if it
 * is NULL.
 */
static void
expect_violation(const char *rule)
{
    const GPtrArray *seen = soak_record_violations(record);

    CU_ASSERT_EQUAL(seen->len, rule != NULL ? 1 : 0);
    if (rule != NULL && seen->len > 0) {
        CU_ASSERT_PTR_NOT_NULL(strstr(g_ptr_array_index(seen, 0), rule));
    }
    soak_record_free(record);
}

static struct soak_attempt *
send(const char *id, enum soak_kind kind, ggw_ms now)
{
    return soak_record_sent(record, id, kind, 0, 1000, now);
}

static struct soak_arrival
arrival(const char *id, enum soak_kind kind, int service)
{
    return (struct soak_arrival){
        .id = id,
        .server = "i-01",
        .path_kind = (int)kind,
        .service = service,
        .deadline = 900,
        .drain_acked_at = INFINITY,
    };
}

static void
arrive(const char *id, enum soak_kind kind, int service, ggw_ms now)
{
    struct soak_arrival a = arrival(id, kind, service);

    soak_record_arrived(record, &a, now);
}

/* A request that a server has run and responded to. */
static struct soak_attempt *
serve(const char *id, ggw_ms now)
{
    struct soak_attempt *a = send(id, SOAK_STATUS, now);

    arrive(id, SOAK_STATUS, SOAK_STATUS, now);
    soak_record_ran(record, a, now);
    a->response_sent = true;
    return a;
}

/* A request that is served once must violate nothing. */
static void
test_no_violation(void)
{
    struct soak_attempt *a;

    begin_record();
    a = send("a", SOAK_ORDER, STABLE_AT);
    arrive("a", SOAK_ORDER, 1, STABLE_AT + 1);
    soak_record_ran(record, a, STABLE_AT + 1);
    a->response_sent = true;
    soak_record_answered(record, a, 200, true, STABLE_AT + 50);
    soak_record_finish(record, STABLE_AT, STABLE_AT + 60);
    expect_violation(NULL);
}

/* A gateway repeats an order that a server has already started. */
static void
test_order_runs_twice(void)
{
    struct soak_attempt *a;

    begin_record();
    a = send("a", SOAK_ORDER, STABLE_AT);
    soak_record_ran(record, a, STABLE_AT);
    soak_record_ran(record, a, STABLE_AT + 1);
    expect_violation("TWICE");
}

/* A client is told that an order has not run, but it ran or runs later. */
static void
test_order_runs_although_refused(void)
{
    struct soak_attempt *a;

    begin_record();
    a = send("a", SOAK_ORDER, STABLE_AT);
    soak_record_ran(record, a, STABLE_AT);
    soak_record_answered(record, a, 503, false, STABLE_AT + 1);
    expect_violation("REFUSED");

    begin_record();
    a = send("a", SOAK_ORDER, STABLE_AT);
    soak_record_answered(record, a, 503, false, STABLE_AT);
    soak_record_ran(record, a, STABLE_AT + 1);
    expect_violation("REFUSED");
}

/*
 * A client gets the response to another request, or one that no server has
 * sent completely.
 */
static void
test_response_of_no_server(void)
{
    struct soak_attempt *a;

    begin_record();
    a = send("a", SOAK_STATUS, STABLE_AT);
    a->response_sent = true;
    soak_record_answered(record, a, 200, false, STABLE_AT + 1);
    expect_violation("MIXED");

    begin_record();
    a = send("a", SOAK_STATUS, STABLE_AT);
    soak_record_answered(record, a, 200, true, STABLE_AT + 1);
    expect_violation("MIXED");
}

/* A response of any status names another attempt than that of its client. */
static void
test_response_to_another(void)
{
    static const int statuses[] = {200, 404, 500, 503};

    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
        begin_record();
        soak_record_named(record, send("a", SOAK_STATUS, STABLE_AT), "b",
                          statuses[i], STABLE_AT + 1);
        expect_violation("MIXED");
    }
    begin_record();
    soak_record_named(record, send("a", SOAK_STATUS, STABLE_AT), "a", 200,
                      STABLE_AT + 1);
    soak_record_named(record, send("b", SOAK_STATUS, STABLE_AT), NULL, 503,
                      STABLE_AT + 1);
    expect_violation(NULL);
}

/*
 * A gateway sends bytes that are no response, or that nobody waits for. That
 * the server broke its response off is no excuse.
 */
static void
test_stray_bytes(void)
{
    begin_record();
    soak_record_stray(record, 0, NULL, STABLE_AT);
    expect_violation("MIXED");

    for (int broke_off = 0; broke_off < 2; broke_off++) {
        struct soak_attempt *a;

        begin_record();
        a = serve("a", STABLE_AT);
        a->server_broke_off = broke_off;
        soak_record_stray(record, 0, a, STABLE_AT);
        expect_violation("MIXED");
    }
}

/* A gateway uses more memory than it may. */
static void
test_memory(void)
{
    begin_record();
    soak_record_memory(record, 0, 1 << 30, STABLE_AT);
    expect_violation("MEMORY");
}

/* A server gets a request that no client sent, or one with another path. */
static void
test_request_of_no_client(void)
{
    begin_record();
    arrive("a", SOAK_STATUS, 0, STABLE_AT);
    expect_violation("UNASKED");

    begin_record();
    send("a", SOAK_STATUS, STABLE_AT);
    arrive("a", SOAK_FILE, 2, STABLE_AT);
    expect_violation("UNASKED");
}

/* A request reaches a service to which no version routes it. */
static void
test_wrong_service(void)
{
    begin_record();
    send("a", SOAK_STATUS, STABLE_AT);
    arrive("a", SOAK_STATUS, 1, STABLE_AT);
    expect_violation("ROUTE");

    begin_record();
    send("a", SOAK_MOVED, STABLE_AT);
    arrive("a", SOAK_MOVED, 2, STABLE_AT);
    expect_violation("ROUTE");
}

/* A gateway uses an old version longer than SOAK_CONFIG_MS after a change. */
static void
test_old_version(void)
{
    begin_record();
    soak_record_version(record, 2, 1, STABLE_AT);
    soak_record_version_acked(record, 2, STABLE_AT);
    send("a", SOAK_MOVED, STABLE_AT + SOAK_CONFIG_MS - 1);
    arrive("a", SOAK_MOVED, 0, STABLE_AT + SOAK_CONFIG_MS);
    expect_violation(NULL);

    begin_record();
    soak_record_version(record, 2, 1, STABLE_AT);
    soak_record_version_acked(record, 2, STABLE_AT);
    send("a", SOAK_MOVED, STABLE_AT + SOAK_CONFIG_MS + 1);
    arrive("a", SOAK_MOVED, 0, STABLE_AT + SOAK_CONFIG_MS + 2);
    expect_violation("CONFIG");
}

/*
 * A gateway goes back to an older version, which is forbidden even while the
 * store is unavailable. Only a restarted gateway may do so.
 */
static void
test_back_to_older_version(void)
{
    ggw_ms later = STABLE_AT + SOAK_REVERT_MS + 10;

    for (int restarted = 0; restarted < 2; restarted++) {
        begin_record();
        soak_record_version(record, 2, 1, STABLE_AT);
        soak_record_add_fault(record, SOAK_SCOPE_STORE, INFINITY);
        send("a", SOAK_MOVED, STABLE_AT);
        arrive("a", SOAK_MOVED, 1, STABLE_AT + 1);
        if (restarted) {
            soak_record_gateway_restarted(record, 0);
        }
        send("b", SOAK_MOVED, later);
        arrive("b", SOAK_MOVED, 0, later);
        expect_violation(restarted ? NULL : "CONFIG");
    }
}

static void
set_versions(int len, ggw_ms at)
{
    for (int i = 2; i <= len; i++) {
        soak_record_version(record, i, i % SOAK_SERVICES, at);
        soak_record_version_acked(record, i, at);
    }
}

/* A gateway has handled a request on the route that version @route added. */
static void
handle_added(const char *id, int route, bool found, ggw_ms sent)
{
    struct soak_attempt *a = send(id, SOAK_ADDED, sent);
    struct soak_arrival seen = arrival(id, SOAK_ADDED, route % SOAK_SERVICES);

    a->route = route;
    seen.route = route;
    if (found) {
        soak_record_arrived(record, &seen, sent + 1);
    }
    else {
        soak_record_answered(record, a, 404, false, sent + 1);
    }
}

/*
 * Of versions 1 to 5, the last one has the routes 3 to 5: a gateway must serve
 * them, and not the others, SOAK_CONFIG_MS after the ack.
 */
static void
test_added_and_dropped_routes(void)
{
    for (int route = 1; route <= 5; route++) {
        for (int late = 0; late < 2; late++) {
            for (int found = 0; found < 2; found++) {
                bool right = found == (route > 2);

                begin_record();
                set_versions(5, STABLE_AT);
                handle_added("a", route, found,
                             STABLE_AT + SOAK_CONFIG_MS + (late ? 1 : -1));
                expect_violation(late && !right ? "CONFIG" : NULL);
            }
        }
    }
}

/* A gateway that has served the route of version 4 no longer finds it. */
static void
test_added_route_gone_again(void)
{
    for (int late = 0; late < 2; late++) {
        begin_record();
        set_versions(5, STABLE_AT);
        handle_added("a", 4, true, STABLE_AT);
        handle_added("b", 4, false,
                     STABLE_AT + 1 + SOAK_REVERT_MS + (late ? 1 : 0));
        expect_violation(late ? "CONFIG" : NULL);
    }
}

/* A store without its history extends the bound, and nothing else. */
static void
test_history_lost(void)
{
    for (int late = 0; late < 2; late++) {
        begin_record();
        set_versions(5, STABLE_AT);
        soak_record_add_fault(record, SOAK_SCOPE_HISTORY,
                              STABLE_AT + SOAK_OUTER_MS);
        handle_added("a", 1, true,
                     STABLE_AT + SOAK_CONFIG_MS + SOAK_OUTER_MS +
                         (late ? 1 : -1));
        expect_violation(late ? "CONFIG" : NULL);
    }
}

/* The route that was added last is refused by gateways in use. */
static void
test_added_route_not_served(void)
{
    for (int served = 0; served < 2; served++) {
        begin_record();
        for (int i = 0; i < 20; i++) {
            g_autofree char *id = g_strdup_printf("a%d", i);
            g_autofree char *other = g_strdup_printf("b%d", i);
            struct soak_attempt *a = send(id, SOAK_ADDED, STABLE_AT);

            a->route = 1;
            a->response_sent = true;
            soak_record_answered(record, a, served ? 200 : 503, true,
                                 STABLE_AT + 1);
            a = send(other, SOAK_STATUS, STABLE_AT);
            a->response_sent = true;
            soak_record_answered(record, a, 200, true, STABLE_AT + 1);
        }
        soak_record_finish(record, STABLE_AT, STABLE_AT + 60);
        expect_violation(served ? NULL : "CONFIG");
    }
}

/*
 * A request reaches a server after the time limit of its drain. The limit
 * isn't checked if the gateway had a fault.
 */
static void
test_request_after_drain(void)
{
    struct soak_arrival a = arrival("a", SOAK_STATUS, 0);

    a.drain_acked_at = STABLE_AT;
    a.drain_bound = SOAK_DRAIN_MS;
    for (int with_fault = 0; with_fault < 2; with_fault++) {
        begin_record();
        if (with_fault) {
            soak_record_add_fault(record, 0, STABLE_AT);
        }
        send("a", SOAK_STATUS, STABLE_AT + SOAK_DRAIN_MS);
        soak_record_arrived(record, &a, STABLE_AT + SOAK_DRAIN_MS + 1);
        expect_violation(with_fault ? NULL : "DRAIN");
    }
}

/* A server in its cold start gets more requests than its limit. */
static void
test_cold_server_overloaded(void)
{
    const int allowed =
        (int)(SOAK_COLD_PER_S * SOAK_COLD_MARGIN_FACTOR + SOAK_COLD_SLACK);
    struct soak_arrival a = arrival("a", SOAK_STATUS, 0);

    a.cold = true;
    begin_record();
    send("a", SOAK_STATUS, STABLE_AT);
    for (int i = 0; i <= allowed; i++) {
        soak_record_arrived(record, &a, STABLE_AT + i);
    }
    expect_violation("FAILBACK");
}

/*
 * A request to a server whose leave the gateway has passed on is a violation,
 * unless the gateway was restarted since.
 */
static void
test_request_after_leave(void)
{
    for (int restarted = 0; restarted < 2; restarted++) {
        struct soak_attempt *a;

        begin_record();
        a = send("a", SOAK_STATUS, STABLE_AT);
        arrive("a", SOAK_STATUS, SOAK_STATUS, STABLE_AT + 1);
        soak_record_ran(record, a, STABLE_AT + 1);
        a->response_sent = true;
        a->leaving = "i-01";
        soak_record_answered(record, a, 200, true, STABLE_AT + 50);
        send("b", SOAK_STATUS, STABLE_AT + 50 + SOAK_DRAIN_MS);
        arrive("b", SOAK_STATUS, SOAK_STATUS, STABLE_AT + 60 + SOAK_DRAIN_MS);
        if (restarted) {
            soak_record_gateway_restarted(record, 0);
        }
        send("c", SOAK_STATUS, STABLE_AT + 51 + SOAK_DRAIN_MS);
        arrive("c", SOAK_STATUS, SOAK_STATUS, STABLE_AT + 60 + SOAK_DRAIN_MS);
        expect_violation(restarted ? NULL : "DRAIN");
    }
}

/*
 * A response that was on its way when its server was restarted says nothing of
 * the server's new process; one of another server still does.
 */
static void
test_restart_after_leave(void)
{
    static const char *const servers[] = {"i-01", "i-02"};

    for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
        struct soak_attempt *a;

        begin_record();
        a = send("a", SOAK_STATUS, STABLE_AT);
        arrive("a", SOAK_STATUS, SOAK_STATUS, STABLE_AT + 1);
        soak_record_ran(record, a, STABLE_AT + 1);
        a->response_sent = true;
        a->leaving = "i-01";
        soak_record_server_restarted(record, servers[i]);
        soak_record_answered(record, a, 200, true, STABLE_AT + 50);
        send("b", SOAK_STATUS, STABLE_AT + 51 + SOAK_DRAIN_MS);
        arrive("b", SOAK_STATUS, SOAK_STATUS, STABLE_AT + 60 + SOAK_DRAIN_MS);
        expect_violation(i == 0 ? NULL : "DRAIN");
    }
}

/*
 * More than two requests in a pause are a violation; those shortly after the
 * refusal and after the end of the pause do not count.
 */
static void
test_requests_in_pause(void)
{
    for (int arrivals = 2; arrivals < 5; arrivals++) {
        begin_record();
        soak_record_paused(record, "i-01", 0, 3000, STABLE_AT);
        soak_record_paused(record, "i-01", 0, 1000, STABLE_AT + 100);
        for (int i = 0; i < 9; i++) {
            /* Before and after the time that counts. */
            g_autofree char *id = g_strdup_printf("early-%d", i);
            g_autofree char *late = g_strdup_printf("late-%d", i);

            send(id, SOAK_STATUS, STABLE_AT + 400);
            arrive(id, SOAK_STATUS, SOAK_STATUS, STABLE_AT + 499);
            send(late, SOAK_STATUS, STABLE_AT + 3000);
            arrive(late, SOAK_STATUS, SOAK_STATUS, STABLE_AT + 3001);
        }
        for (int i = 0; i < arrivals; i++) {
            g_autofree char *id = g_strdup_printf("in-%d", i);

            send(id, SOAK_STATUS, STABLE_AT + 2000);
            arrive(id, SOAK_STATUS, SOAK_STATUS, STABLE_AT + 2100);
        }
        expect_violation(arrivals > SOAK_PAUSE_ARRIVALS ? "BUDGET" : NULL);
    }
}

/* A gateway forwards no deadline, or a later one than the client's. */
static void
test_deadline(void)
{
    struct soak_arrival a = arrival("a", SOAK_STATUS, 0);

    for (int missing = 0; missing < 2; missing++) {
        a.deadline = missing ? -1 : 1501;
        begin_record();
        send("a", SOAK_STATUS, STABLE_AT);
        soak_record_arrived(record, &a, STABLE_AT);
        expect_violation("BUDGET");
    }
}

/*
 * Gateways exceed the retry budget of a service. The other violation is
 * RECOVER, as no request is sent after the recovery.
 */
static void
test_retry_budget(void)
{
    begin_record();
    send("a", SOAK_STATUS, STABLE_AT);
    for (int i = 0; i < SOAK_RETRY_SLACK + 3; i++) {
        arrive("a", SOAK_STATUS, 0, STABLE_AT + i);
    }
    soak_record_ran(record, send("b", SOAK_STATUS, STABLE_AT), STABLE_AT);
    soak_record_finish(record, STABLE_AT + 5, STABLE_AT + 5);
    CU_ASSERT_EQUAL(soak_record_violations(record)->len, 2);
    CU_ASSERT_PTR_NOT_NULL(strstr(
        g_ptr_array_index(soak_record_violations(record), 0), "BUDGET"));
    soak_record_free(record);
}

/*
 * A gateway that shuts down closes a connection although a server already has
 * the request.
 */
static void
test_disconnected_at_shutdown(void)
{
    struct soak_attempt *a;

    begin_record();
    a = send("a", SOAK_STATUS, STABLE_AT);
    /* No server got the request, so it isn't lost. */
    soak_record_disconnected(record, a, true, STABLE_AT + 1);
    expect_violation(NULL);

    begin_record();
    a = send("a", SOAK_STATUS, STABLE_AT);
    arrive("a", SOAK_STATUS, 0, STABLE_AT);
    soak_record_disconnected(record, a, true, STABLE_AT + 1);
    expect_violation("LOST");
}

/*
 * A gateway closes connections although it isn't stopping. It must, if a
 * server has cut the response or sent foreign bytes in it.
 */
static void
test_disconnected(void)
{
    for (int broke_off = 0; broke_off < 2; broke_off++) {
        begin_record();
        soak_record_answered(record, serve("served", STABLE_AT), 200, true,
                             STABLE_AT + 1);
        for (int i = 0; i < 4; i++) {
            g_autofree char *id = g_strdup_printf("a%d", i);
            struct soak_attempt *a = serve(id, STABLE_AT - 1);

            a->server_broke_off = broke_off;
            soak_record_disconnected(record, a, false, STABLE_AT);
        }
        soak_record_finish(record, STABLE_AT, STABLE_AT + 60);
        expect_violation(broke_off ? NULL : "LOST");
    }
}

/* A gateway rejects a valid request with 404. */
static void
test_valid_request_rejected(void)
{
    begin_record();
    soak_record_answered(record, send("a", SOAK_STATUS, STABLE_AT), 404, false,
                         STABLE_AT);
    expect_violation("DENIED");
}

/* Requests are still not served after the recovery. */
static void
test_recovery(void)
{
    begin_record();
    send("a", SOAK_STATUS, STABLE_AT);
    soak_record_finish(record, STABLE_AT, STABLE_AT + 2000);
    expect_violation("RECOVER");
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"no violation", test_no_violation},
        {"order runs twice", test_order_runs_twice},
        {"order runs although refused", test_order_runs_although_refused},
        {"response of no server", test_response_of_no_server},
        {"response to another attempt", test_response_to_another},
        {"stray bytes", test_stray_bytes},
        {"memory", test_memory},
        {"request of no client", test_request_of_no_client},
        {"wrong service", test_wrong_service},
        {"old version in use", test_old_version},
        {"back to older version", test_back_to_older_version},
        {"added and dropped routes", test_added_and_dropped_routes},
        {"added route gone again", test_added_route_gone_again},
        {"history of the store lost", test_history_lost},
        {"added route not served", test_added_route_not_served},
        {"request after drain", test_request_after_drain},
        {"cold server overloaded", test_cold_server_overloaded},
        {"request after a server said that it leaves",
         test_request_after_leave},
        {"restart after a server said that it leaves",
         test_restart_after_leave},
        {"requests in a pause", test_requests_in_pause},
        {"deadline missing or extended", test_deadline},
        {"retry budget exceeded", test_retry_budget},
        {"disconnected at shutdown", test_disconnected_at_shutdown},
        {"disconnected", test_disconnected},
        {"valid request rejected", test_valid_request_rejected},
        {"no recovery", test_recovery},
        CU_TEST_INFO_NULL,
    };

    return suite_run("soak record", tests);
}
