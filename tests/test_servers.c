#include <CUnit/CUnit.h>
#include <math.h>
#include <string.h>

#include "platform/servers.h"
#include "tests/suite.h"

/* Entries of backend servers in the store of the users' platform. */

static GBytes *
bytes(const char *text)
{
    return g_bytes_new_static(text, strlen(text));
}

#define ENTRY(state, cold)                                                    \
    "{\"Service\":\"s\",\"Address\":\"10.128.0.9:8080\",\"Zone\":\"a\","      \
    "\"Version\":\"v1\",\"Slots\":4,\"State\":\"" state                       \
    "\",\"ColdLeftMs\":" cold ",\"Sequence\":4,\"born\":1700}"

static guint
count_servers(struct ggw_servers *s)
{
    struct ggw_vm_list *list = ggw_servers_list(s);
    guint n = (guint)list->len;

    ggw_vm_list_unref(list);
    return n;
}

static void
put_entry(struct ggw_servers *s, const char *id, const char *text, ggw_ms now)
{
    g_autoptr(GBytes) value = bytes(text);

    ggw_servers_put(s, id, value, now);
}

/* Guards against a field of an entry that is missing in the list of VMs. */
static void
test_entry(void)
{
    struct ggw_servers *s = ggw_servers_new();
    struct ggw_vm_list *list;

    put_entry(s, "i-1", ENTRY("draining", "1500"), 100);
    CU_ASSERT_TRUE(ggw_servers_changed(s));
    list = ggw_servers_list(s);
    CU_ASSERT_EQUAL_FATAL(list->len, 1);
    CU_ASSERT_STRING_EQUAL(list->vms[0].name, "i-1");
    CU_ASSERT_STRING_EQUAL(list->vms[0].host, "10.128.0.9");
    CU_ASSERT_EQUAL(list->vms[0].slots, 4);
    CU_ASSERT_EQUAL(list->vms[0].incarnation, 1700);
    CU_ASSERT_EQUAL(list->vms[0].cold_until, 1600);
    CU_ASSERT_TRUE(list->vms[0].leaving);
    ggw_vm_list_unref(list);
    put_entry(s, "i-1", ENTRY("draining", "1500"), 100);
    CU_ASSERT_FALSE(ggw_servers_changed(s));
    ggw_servers_free(s);
}

/*
 * Guards against malformed entries, for example of another program, that are
 * used as servers.
 */
static void
test_malformed_entries(void)
{
    static const char *const malformed[] = {
        "",
        "[]",
        "{}",
        "\xff\xfe",
        ENTRY("resting", "0"),
        ENTRY("ready", "\"soon\""),
        "{\"Service\":7,\"Address\":\"10.128.0.9:8080\",\"Zone\":\"a\","
        "\"Slots\":4,\"State\":\"ready\",\"ColdLeftMs\":0}",
        "{\"Service\":\"s\",\"Address\":\"10.128.0.9\",\"Zone\":\"a\","
        "\"Slots\":4,\"State\":\"ready\",\"ColdLeftMs\":0}",
    };
    struct ggw_servers *s = ggw_servers_new();

    put_entry(s, "good", ENTRY("ready", "0"), 0);
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        put_entry(s, "bad", malformed[i], 0);
    }
    ggw_servers_put(s, "bad", NULL, 0);
    CU_ASSERT_EQUAL(count_servers(s), 1);
    ggw_servers_free(s);
}

/*
 * Guards against servers that are removed only because their entries expired
 * while the store was unavailable.
 */
static void
test_expired(void)
{
    struct ggw_servers *s = ggw_servers_new();
    ggw_ms next;

    put_entry(s, "i-1", ENTRY("ready", "0"), 0);
    put_entry(s, "i-2", ENTRY("ready", "0"), 0);
    put_entry(s, "i-3", ENTRY("ready", "0"), 0);
    ggw_servers_remove(s, "i-1", 2700, 1000);
    ggw_servers_remove(s, "i-2", 2700, 1000);
    ggw_servers_remove(s, "i-3", 1000, 1000);
    CU_ASSERT_EQUAL(count_servers(s), 2);
    next = ggw_servers_update(s, 1000);
    CU_ASSERT_EQUAL(next, 2700);
    put_entry(s, "i-1", ENTRY("ready", "0"), 2500);
    ggw_servers_update(s, next);
    CU_ASSERT_EQUAL(count_servers(s), 1);
    CU_ASSERT_EQUAL(ggw_servers_update(s, 1e6), INFINITY);
    ggw_servers_free(s);
}

#define REPORT(state, sequence, born)                                         \
    "{\"Service\":\"s\",\"Address\":\"10.128.0.9:8080\",\"Zone\":\"a\","      \
    "\"Version\":\"v1\",\"Slots\":4,\"State\":\"" state                       \
    "\",\"ColdLeftMs\":0,\"Sequence\":" sequence ",\"born\":" born "}"

/* Number of servers that take new requests. */
static guint
count_ready(struct ggw_servers *s)
{
    struct ggw_vm_list *list = ggw_servers_list(s);
    guint n = 0;

    for (size_t i = 0; i < list->len; i++) {
        n += list->vms[i].leaving ? 0 : 1;
    }
    ggw_vm_list_unref(list);
    return n;
}

/*
 * Guards against an older report of a draining server that makes it ready, and
 * against one that is removed and comes back.
 */
static void
test_older_report_of_draining_server(void)
{
    struct ggw_servers *s = ggw_servers_new();

    put_entry(s, "i-1", REPORT("ready", "7", "1700"), 0);
    put_entry(s, "i-1", REPORT("draining", "9", "1700"), 10);
    put_entry(s, "i-1", REPORT("ready", "8", "1700"), 20);
    CU_ASSERT_EQUAL(count_ready(s), 0);
    CU_ASSERT_EQUAL(count_servers(s), 1);
    ggw_servers_remove(s, "i-1", 30, 30);
    put_entry(s, "i-1", REPORT("ready", "8", "1700"), 599000);
    CU_ASSERT_EQUAL(count_servers(s), 0);
    put_entry(s, "i-1", REPORT("ready", "1", "1701"), 599010);
    CU_ASSERT_EQUAL(count_ready(s), 1);
    put_entry(s, "i-1", REPORT("draining", "99", "1700"), 599020);
    CU_ASSERT_EQUAL(count_ready(s), 1);
    ggw_servers_free(s);
}

/*
 * Guards against a server that lives and is not used: it reports again after
 * its entry expired, its clock went back before its start, or its reports
 * carry no count.
 */
static void
test_report_of_living_server(void)
{
    struct ggw_servers *s = ggw_servers_new();
    ggw_ms next;

    put_entry(s, "i-1", REPORT("ready", "7", "1700"), 0);
    ggw_servers_remove(s, "i-1", 10, 10);
    put_entry(s, "i-1", REPORT("ready", "30", "1700"), 20);
    CU_ASSERT_EQUAL(count_ready(s), 1);
    put_entry(s, "i-1", REPORT("draining", "31", "1700"), 30);
    put_entry(s, "i-1", REPORT("ready", "1", "1600"), 40);
    CU_ASSERT_EQUAL(count_ready(s), 0);
    next = ggw_servers_update(s, 40);
    CU_ASSERT_EQUAL(next, 5040);
    CU_ASSERT_EQUAL(ggw_servers_update(s, next), INFINITY);
    CU_ASSERT_EQUAL(count_ready(s), 1);
    put_entry(s, "i-1", REPORT("draining", "2", "1600"), 5050);
    CU_ASSERT_EQUAL(count_ready(s), 0);
    put_entry(s, "i-1", REPORT("ready", "\"x\"", "1600"), 5060);
    CU_ASSERT_EQUAL(count_ready(s), 1);
    ggw_servers_free(s);
}

/*
 * Guards against a report of an earlier start that is used although the server
 * has reported since, or its entry was removed.
 */
static void
test_report_of_earlier_start(void)
{
    struct ggw_servers *s = ggw_servers_new();

    put_entry(s, "i-1", REPORT("draining", "7", "1700"), 0);
    put_entry(s, "i-1", REPORT("ready", "9", "1600"), 10);
    put_entry(s, "i-1", REPORT("draining", "8", "1700"), 20);
    CU_ASSERT_EQUAL(ggw_servers_update(s, 6000), INFINITY);
    CU_ASSERT_EQUAL(count_ready(s), 0);
    put_entry(s, "i-1", REPORT("ready", "9", "1600"), 6000);
    ggw_servers_remove(s, "i-1", 6010, 6010);
    CU_ASSERT_EQUAL(ggw_servers_update(s, 12000), INFINITY);
    CU_ASSERT_EQUAL(count_servers(s), 0);
    ggw_servers_free(s);
}

/*
 * Guards against a living server that is never used after its clock went back.
 */
static void
test_reports_after_clock_went_back(void)
{
    struct ggw_servers *s = ggw_servers_new();

    put_entry(s, "i-1", REPORT("ready", "7", "1700"), 0);
    ggw_servers_remove(s, "i-1", 10, 10);
    for (int i = 0; i < 40; i++) {
        g_autofree char *report =
            g_strdup_printf(REPORT("ready", "%d", "1600"), i);

        put_entry(s, "i-1", report, 20 + 1500 * i);
        ggw_servers_update(s, 20 + 1500 * i);
    }
    CU_ASSERT_EQUAL(count_ready(s), 1);
    put_entry(s, "i-1", REPORT("draining", "40", "1600"), 60020);
    ggw_servers_update(s, 60020);
    CU_ASSERT_EQUAL(count_ready(s), 0);
    ggw_servers_free(s);
}

/* Guards against a memory of removed servers that grows without bound. */
static void
test_reports_of_many_servers(void)
{
    struct ggw_servers *s = ggw_servers_new();

    for (int i = 0; i < 10100; i++) {
        g_autofree char *id = g_strdup_printf("i-%d", i);

        put_entry(s, id, REPORT("ready", "7", "1700"), i);
        ggw_servers_remove(s, id, i, i);
    }
    put_entry(s, "i-0", REPORT("ready", "6", "1700"), 10100);
    CU_ASSERT_EQUAL(count_servers(s), 1);
    put_entry(s, "i-10099", REPORT("ready", "6", "1700"), 10100);
    CU_ASSERT_EQUAL(count_servers(s), 1);
    put_entry(s, "i-10099", REPORT("ready", "6", "1700"), 620000);
    CU_ASSERT_EQUAL(count_servers(s), 2);
    ggw_servers_free(s);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"entry", test_entry},
        {"malformed entries", test_malformed_entries},
        {"expired entries", test_expired},
        {"older report of a draining server",
         test_older_report_of_draining_server},
        {"report of a living server", test_report_of_living_server},
        {"report of an earlier start", test_report_of_earlier_start},
        {"reports after clock went back", test_reports_after_clock_went_back},
        {"reports of many servers", test_reports_of_many_servers},
        CU_TEST_INFO_NULL,
    };

    return suite_run("servers", tests);
}
