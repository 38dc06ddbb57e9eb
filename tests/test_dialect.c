#include <CUnit/CUnit.h>
#include <math.h>
#include <string.h>

#include "platform/dialect.h"
#include "tests/suite.h"

/* Headers of the users' platform. */

/*
 * Guards against a refused request that is taken as run, which is then not
 * repeated, and against a run request that is taken as refused.
 */
static void
test_dialect(void)
{
    h2o_iovec_t refused = {H2O_STRLIT("Not-Executed")};
    h2o_iovec_t load = {H2O_STRLIT("Instance-Load")};
    h2o_iovec_t cold = {H2O_STRLIT("Cold-Remaining")};
    h2o_iovec_t name = {H2O_STRLIT("Instance-Id")};
    h2o_header_t id = {.name = &name, .value = {H2O_STRLIT("i-2")}};
    h2o_header_t headers[] = {
        {.name = &refused, .value = {H2O_STRLIT("1")}},
        {.name = &load, .value = {H2O_STRLIT("3,1,8,400")}},
        {.name = &cold, .value = {H2O_STRLIT("1200")}},
    };
    struct ggw_load_report r;

    CU_ASSERT_TRUE(ggw_site_dialect.not_run(503, headers, 3));
    CU_ASSERT_TRUE(ggw_site_dialect.not_run(421, headers + 1, 2));
    CU_ASSERT_FALSE(ggw_site_dialect.not_run(503, headers + 1, 2));
    CU_ASSERT_FALSE(ggw_site_dialect.not_run(200, headers, 3));
    CU_ASSERT_TRUE(ggw_site_dialect.misdirected(421));
    CU_ASSERT_FALSE(ggw_site_dialect.misdirected(200));
    CU_ASSERT_FALSE(ggw_site_dialect.misdirected(503));
    CU_ASSERT_TRUE(ggw_site_dialect.probe_misdirected(421, headers, 3, "i-1"));
    CU_ASSERT_TRUE(ggw_site_dialect.probe_misdirected(200, &id, 1, "i-1"));
    CU_ASSERT_FALSE(ggw_site_dialect.probe_misdirected(200, &id, 1, "i-2"));
    CU_ASSERT_TRUE(ggw_site_dialect.probe_misdirected(200, headers, 3, "i-1"));
    CU_ASSERT_FALSE(
        ggw_site_dialect.probe_misdirected(503, headers, 3, "i-1"));
    r = ggw_site_dialect.load(headers, 3);
    CU_ASSERT_TRUE(r.present && r.cold_unknown);
    CU_ASSERT_EQUAL(r.busy, 3);
    CU_ASSERT_EQUAL(r.queue, 1);
    CU_ASSERT_EQUAL(r.slots, 8);
    CU_ASSERT_EQUAL(r.slow_percent, 400);
    r = ggw_site_dialect.probe_load(headers, 3);
    CU_ASSERT_TRUE(r.cold && !r.cold_unknown);
    CU_ASSERT_EQUAL(r.cold_left, 1200);
}

/*
 * Guards against a malformed load report that is read as 0, so that a full
 * server looks idle; further fields are for later versions.
 */
static void
test_malformed_load(void)
{
    static const struct {
        const char *text;
        bool present;
    } reports[] = {
        {"3,1,8", true},       {"3,1,8,250", true},    {" 3 , 1 , 8 ", true},
        {"3,1,8,100,7", true}, {"3,1,8,100,x", true},  {"", false},
        {"3", false},          {"3,1", false},         {"x,1,8", false},
        {"3,,8", false},       {"3,1,8 slots", false}, {"-3,1,8", false},
        {"3,1,8,", false},     {"nan,1,8", false},     {"inf,1,8", false},
        {"3;1;8", false},
    };
    h2o_iovec_t name = {H2O_STRLIT("Instance-Load")};

    for (size_t i = 0; i < G_N_ELEMENTS(reports); i++) {
        h2o_header_t header = {
            .name = &name,
            .value = {(char *)reports[i].text, strlen(reports[i].text)}};
        struct ggw_load_report r = ggw_site_dialect.load(&header, 1);

        CU_ASSERT_EQUAL(r.present, reports[i].present);
        CU_ASSERT_EQUAL(r.busy, reports[i].present ? 3 : 0);
    }
}

/* Whether a response with these two headers says that its server leaves. */
static bool
says_leaving(const char *first, const char *second)
{
    h2o_iovec_t name = {H2O_STRLIT("Server-Leaving")};
    h2o_header_t headers[] = {
        {.name = &name, .value = {(char *)first, strlen(first)}},
        {.name = &name, .value = {(char *)second, strlen(second)}},
    };

    return ggw_site_dialect.backoff(200, headers, 2).leaving;
}

/* What a response with one or two Retry-After headers says. */
static struct ggw_backoff_notice
notice_in(int status, const char *first, const char *second)
{
    h2o_iovec_t name = {H2O_STRLIT("Retry-After")};
    h2o_header_t headers[] = {
        {.name = &name, .value = {(char *)first, strlen(first)}},
        {.name = &name, .value = {(char *)second, strlen(second)}},
    };
    size_t len = second[0] != '\0' ? 2 : 1;

    return ggw_site_dialect.backoff(status, headers, len);
}

static ggw_ms
pause_in(int status, const char *first, const char *second)
{
    return notice_in(status, first, second).pause;
}

/*
 * Guards against a leave or a pause that is not read, and against values that
 * are odd: a number that can be read counts, none exceeds the maximum.
 */
static void
test_backoff(void)
{
    CU_ASSERT_TRUE(says_leaving("1", "1"));
    CU_ASSERT_TRUE(says_leaving("0", "1"));
    CU_ASSERT_TRUE(says_leaving("1", "0"));
    CU_ASSERT_TRUE(says_leaving("true", "0"));
    CU_ASSERT_FALSE(says_leaving("0", "0"));
    CU_ASSERT_EQUAL(pause_in(503, "3", ""), 3000);
    CU_ASSERT_EQUAL(pause_in(503, "0.25", ""), 250);
    CU_ASSERT_EQUAL(pause_in(503, "1", "4"), 4000);
    CU_ASSERT_EQUAL(pause_in(503, "4", "1"), 4000);
    CU_ASSERT_EQUAL(pause_in(503, "2 s", ""), 2000);
    CU_ASSERT_EQUAL(pause_in(503, "1e300", ""), GGW_BACKOFF_MAX_PAUSE);
    CU_ASSERT_EQUAL(pause_in(503, "1e999", ""), GGW_BACKOFF_MAX_PAUSE);
    CU_ASSERT_EQUAL(pause_in(503, "-3", ""), 0);
    CU_ASSERT_EQUAL(pause_in(503, "nan", ""), 0);
    CU_ASSERT_EQUAL(pause_in(503, "soon", ""), 0);
    CU_ASSERT_EQUAL(pause_in(503, "Sat, 05 Dec 2026 04:36:13 GMT", ""), 0);
    CU_ASSERT_EQUAL(pause_in(503, "soon", "2"), 2000);
    CU_ASSERT_EQUAL(pause_in(429, "3", ""), 0);
    CU_ASSERT_EQUAL(pause_in(200, "3", ""), 0);
}

/* Guards against a malformed value that no operator hears of. */
static void
test_malformed_backoff(void)
{
    static const char *const malformed[] = {
        "2 s", "1e999", "-3", "nan", "soon", "Sat, 05 Dec 2026 04:36:13 GMT",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        CU_ASSERT_TRUE(notice_in(503, malformed[i], "").malformed);
        CU_ASSERT_TRUE(notice_in(503, malformed[i], "2").malformed);
        CU_ASSERT_FALSE(notice_in(200, malformed[i], "").malformed);
    }
    CU_ASSERT_FALSE(notice_in(503, "2.5", "3").malformed);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"dialect", test_dialect},
        {"malformed load", test_malformed_load},
        {"backoff", test_backoff},
        {"malformed backoff", test_malformed_backoff},
        CU_TEST_INFO_NULL,
    };

    return suite_run("dialect", tests);
}
