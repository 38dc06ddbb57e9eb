#include <math.h>
#include <string.h>

#include "tests/soak/record.h"
#include "tests/suite.h"

/* The soak's checks: each must see the fault that it guards against. */

/* Any time long after the start, when no fault has acted for a while. */
#define CALM 100000.0

static struct soak_record *record;

static void
begin(void)
{
    record = soak_record_new();
    soak_record_version(record, 1, 0, 0);
    soak_record_version_acked(record, 1, 1);
}

/* Whether a rule was broken, and nothing else. */
static void
expect(const char *rule)
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
        .closed_at = INFINITY,
    };
}

static void
arrive(const char *id, enum soak_kind kind, int service, ggw_ms now)
{
    struct soak_arrival a = arrival(id, kind, service);

    soak_record_arrived(record, &a, now);
}

static void
test_calm(void)
{
    struct soak_attempt *a;

    begin();
    a = send("a", SOAK_ORDER, CALM);
    arrive("a", SOAK_ORDER, 1, CALM + 1);
    soak_record_ran(record, a, CALM + 1);
    a->whole = true;
    soak_record_answered(record, a, 200, true, CALM + 50);
    soak_record_finish(record, CALM, CALM + 60);
    expect(NULL);
}

static void
test_twice(void)
{
    struct soak_attempt *a;

    begin();
    a = send("a", SOAK_ORDER, CALM);
    soak_record_ran(record, a, CALM);
    soak_record_ran(record, a, CALM + 1);
    expect("TWICE");
}

static void
test_refused(void)
{
    struct soak_attempt *a;

    begin();
    a = send("a", SOAK_ORDER, CALM);
    soak_record_ran(record, a, CALM);
    soak_record_answered(record, a, 503, false, CALM + 1);
    expect("REFUSED");

    begin();
    a = send("a", SOAK_ORDER, CALM);
    soak_record_answered(record, a, 503, false, CALM);
    soak_record_ran(record, a, CALM + 1);
    expect("REFUSED");
}

static void
test_mixed(void)
{
    struct soak_attempt *a;

    begin();
    a = send("a", SOAK_STATUS, CALM);
    a->whole = true;
    soak_record_answered(record, a, 200, false, CALM + 1);
    expect("MIXED");

    begin();
    a = send("a", SOAK_STATUS, CALM);
    soak_record_answered(record, a, 200, true, CALM + 1);
    expect("MIXED");
}

static void
test_unasked(void)
{
    begin();
    arrive("a", SOAK_STATUS, 0, CALM);
    expect("UNASKED");

    begin();
    send("a", SOAK_STATUS, CALM);
    arrive("a", SOAK_FILE, 2, CALM);
    expect("UNASKED");
}

static void
test_route(void)
{
    begin();
    send("a", SOAK_STATUS, CALM);
    arrive("a", SOAK_STATUS, 1, CALM);
    expect("ROUTE");

    begin();
    send("a", SOAK_MOVED, CALM);
    arrive("a", SOAK_MOVED, 2, CALM);
    expect("ROUTE");
}

static void
test_old_version(void)
{
    begin();
    soak_record_version(record, 2, 1, CALM);
    soak_record_version_acked(record, 2, CALM);
    send("a", SOAK_MOVED, CALM + SOAK_CONFIG_MS - 1);
    arrive("a", SOAK_MOVED, 0, CALM + SOAK_CONFIG_MS);
    expect(NULL);

    begin();
    soak_record_version(record, 2, 1, CALM);
    soak_record_version_acked(record, 2, CALM);
    send("a", SOAK_MOVED, CALM + SOAK_CONFIG_MS + 1);
    arrive("a", SOAK_MOVED, 0, CALM + SOAK_CONFIG_MS + 2);
    expect("CONFIG");
}

/* Also while the store is away: a gateway never goes back. */
static void
test_revert(void)
{
    ggw_ms later = CALM + SOAK_REVERT_SLOW * SOAK_REVERT_MS + 10;

    for (int restarted = 0; restarted < 2; restarted++) {
        begin();
        soak_record_version(record, 2, 1, CALM);
        soak_record_disturb(record, SOAK_STORE, INFINITY);
        send("a", SOAK_MOVED, CALM);
        arrive("a", SOAK_MOVED, 1, CALM + 1);
        if (restarted) {
            soak_record_restarted(record, 0);
        }
        send("b", SOAK_MOVED, later);
        arrive("b", SOAK_MOVED, 0, later);
        expect(restarted ? NULL : "CONFIG");
    }
}

static void
test_closed(void)
{
    struct soak_arrival a = arrival("a", SOAK_STATUS, 0);

    a.closed_at = CALM;
    a.closed_bound = SOAK_DRAIN_MS;
    for (int disturbed = 0; disturbed < 2; disturbed++) {
        begin();
        if (disturbed) {
            soak_record_disturb(record, 0, CALM);
        }
        send("a", SOAK_STATUS, CALM + SOAK_DRAIN_MS);
        soak_record_arrived(record, &a, CALM + SOAK_DRAIN_MS + 1);
        expect(disturbed ? NULL : "DRAIN");
    }
}

static void
test_cold(void)
{
    const int allowed =
        (int)(SOAK_COLD_PER_S * SOAK_COLD_EXCESS + SOAK_COLD_SLACK);
    struct soak_arrival a = arrival("a", SOAK_STATUS, 0);

    a.cold = true;
    begin();
    send("a", SOAK_STATUS, CALM);
    for (int i = 0; i <= allowed; i++) {
        soak_record_arrived(record, &a, CALM + i);
    }
    expect("FAILBACK");
}

static void
test_deadline(void)
{
    struct soak_arrival a = arrival("a", SOAK_STATUS, 0);

    for (int missing = 0; missing < 2; missing++) {
        a.deadline = missing ? -1 : 1501;
        begin();
        send("a", SOAK_STATUS, CALM);
        soak_record_arrived(record, &a, CALM);
        expect("BUDGET");
    }
}

static void
test_repeats(void)
{
    begin();
    send("a", SOAK_STATUS, CALM);
    for (int i = 0; i < SOAK_RETRY_SLACK + 3; i++) {
        arrive("a", SOAK_STATUS, 0, CALM + i);
    }
    soak_record_ran(record, send("b", SOAK_STATUS, CALM), CALM);
    soak_record_finish(record, CALM + 5, CALM + 5);
    CU_ASSERT_EQUAL(soak_record_violations(record)->len, 2);
    CU_ASSERT_PTR_NOT_NULL(strstr(
        g_ptr_array_index(soak_record_violations(record), 0), "BUDGET"));
    soak_record_free(record);
}

static void
test_cut(void)
{
    struct soak_attempt *a;

    begin();
    a = send("a", SOAK_STATUS, CALM);
    soak_record_cut(record, a, true, CALM + 1); /* reached no server */
    expect(NULL);

    begin();
    a = send("a", SOAK_STATUS, CALM);
    arrive("a", SOAK_STATUS, 0, CALM);
    soak_record_cut(record, a, true, CALM + 1);
    expect("LOST");
}

static void
test_denied(void)
{
    begin();
    soak_record_answered(record, send("a", SOAK_STATUS, CALM), 404, false,
                         CALM);
    expect("DENIED");
}

static void
test_recovery(void)
{
    begin();
    send("a", SOAK_STATUS, CALM);
    soak_record_finish(record, CALM, CALM + 2000);
    expect("RECOVER");
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"calm", test_calm},
        {"twice", test_twice},
        {"refused", test_refused},
        {"mixed", test_mixed},
        {"unasked", test_unasked},
        {"route", test_route},
        {"old version", test_old_version},
        {"revert", test_revert},
        {"closed", test_closed},
        {"cold", test_cold},
        {"deadline", test_deadline},
        {"repeats", test_repeats},
        {"cut", test_cut},
        {"denied", test_denied},
        {"recovery", test_recovery},
        CU_TEST_INFO_NULL,
    };

    return suite_run("soak record", tests);
}
