#include <CUnit/CUnit.h>

#include <string.h>

#include "decide/readers.h"
#include "tests/suite.h"

/* Longest time until a change has to reach every gateway. */
#define MAX_DELAY_MS 2000.0

/* Interval at which readers report that the store answers them. */
#define REPORT_INTERVAL_MS 300.0

static void
report_both(struct ggw_readers *r, ggw_ms now)
{
    ggw_readers_heard(r, "n0", now);
    ggw_readers_heard(r, "n1", now);
}

/*
 * Guards against store calls of gateways that need not read, while all is well
 * or when only one of the readers is lost.
 */
static void
test_few_readers(void)
{
    struct ggw_readers r;

    ggw_readers_init(&r, 0);
    for (int i = 0; i < 40; i++) {
        ggw_ms now = i * REPORT_INTERVAL_MS;

        report_both(&r, now);
        CU_ASSERT_TRUE(ggw_readers_needed(&r, 0, now));
        CU_ASSERT_TRUE(ggw_readers_needed(&r, 1, now));
        CU_ASSERT_FALSE(ggw_readers_needed(&r, 2, now));
    }
    ggw_readers_lost(&r, "n0", 40 * REPORT_INTERVAL_MS);
    CU_ASSERT_FALSE(ggw_readers_needed(&r, 2, 40 * REPORT_INTERVAL_MS));
    ggw_readers_clear(&r);
}

/*
 * Guards against gateways that wait for a timeout although all readers have
 * reported that the store no longer answers them.
 */
static void
test_both_lost(void)
{
    struct ggw_readers r;

    ggw_readers_init(&r, 0);
    report_both(&r, 5000);
    ggw_readers_lost(&r, "n0", 5100);
    ggw_readers_lost(&r, "n1", 5110);
    CU_ASSERT_TRUE(ggw_readers_needed(&r, 2, 5110));
    CU_ASSERT_FALSE(ggw_readers_needed(&r, 3, 5110));
    CU_ASSERT_TRUE(ggw_readers_needed(&r, 3, 5110 + 150));
    /* A repeated report does not delay the others. */
    ggw_readers_lost(&r, "n1", 5200);
    CU_ASSERT_TRUE(ggw_readers_needed(&r, 2, 5200));
    /* The store answers the gateway that took over. */
    ggw_readers_heard(&r, "n2", 5210);
    CU_ASSERT_FALSE(ggw_readers_needed(&r, 3, 5300));
    ggw_readers_clear(&r);
}

/*
 * Guards against changes that reach nobody in time because the readers ended
 * without a report, and against all gateways taking over at once.
 */
static void
test_silent(void)
{
    struct ggw_readers r;
    ggw_ms now = 5000;

    ggw_readers_init(&r, 0);
    report_both(&r, now);
    while (!ggw_readers_needed(&r, 2, now)) {
        now += 10;
    }
    CU_ASSERT_TRUE(now - 5000 > 2 * REPORT_INTERVAL_MS);
    CU_ASSERT_TRUE(now - 5000 < MAX_DELAY_MS / 2);
    /* A long silence before a report does not make all others read at once. */
    ggw_readers_heard(&r, "n0", 9000);
    ggw_readers_lost(&r, "n0", 9000);
    CU_ASSERT_TRUE(ggw_readers_needed(&r, 2, 9000));
    CU_ASSERT_FALSE(ggw_readers_needed(&r, 4, 9000));
    ggw_readers_clear(&r);
}

/*
 * Guards against every gateway reading the table right after its start, when
 * it has not heard of any reader yet.
 */
static void
test_start(void)
{
    struct ggw_readers r;

    ggw_readers_init(&r, 100);
    CU_ASSERT_FALSE(ggw_readers_needed(&r, 2, 100 + REPORT_INTERVAL_MS));
    CU_ASSERT_TRUE(ggw_readers_needed(&r, 2, 100 + MAX_DELAY_MS));
    ggw_readers_clear(&r);
}

/*
 * Guards against changes that two readers send to every gateway, and against
 * changes that nobody sends because the first reader has ended.
 */
static void
test_backup(void)
{
    struct ggw_readers r;

    ggw_readers_init(&r, 0);
    CU_ASSERT_FALSE(ggw_readers_others_relay(&r, 100));
    ggw_readers_heard(&r, "n0", 1000);
    CU_ASSERT_TRUE(ggw_readers_others_relay(&r, 1000 + REPORT_INTERVAL_MS));
    CU_ASSERT_FALSE(ggw_readers_others_relay(&r, 1000 + MAX_DELAY_MS / 2));
    ggw_readers_heard(&r, "n0", 5000);
    ggw_readers_lost(&r, "n0", 5010);
    CU_ASSERT_FALSE(ggw_readers_others_relay(&r, 5010));
    ggw_readers_clear(&r);
}

/* Names, domains and links of the gateways of a test. */
#define DOMAINS 5
#define PER_DOMAIN 38

struct fleet {
    GArray *members;
    char names[DOMAINS * PER_DOMAIN][8];
    char domains[DOMAINS][4];
};

static void
fleet_init(struct fleet *f)
{
    f->members = g_array_new(FALSE, TRUE, sizeof(struct ggw_member));
    for (int i = 0; i < DOMAINS * PER_DOMAIN; i++) {
        struct ggw_member m = {.name = f->names[i],
                               .failure_domain = f->domains[i % DOMAINS]};

        g_snprintf(f->names[i], sizeof(f->names[i]), "n%d", i);
        g_snprintf(f->domains[i % DOMAINS], sizeof(f->domains[0]), "d%d",
                   i % DOMAINS);
        m.capacity.link_mbps = i < 3 * DOMAINS ? 200 : 20;
        g_array_append_val(f->members, m);
    }
}

/*
 * Guards against store calls that grow with the number of gateways. While one
 * gateway of each failure domain can read the store, the others get the rows
 * from it.
 */
static void
test_fill_large_cluster(void)
{
    struct fleet f;
    int at_once = 0;
    int after_max_wait = 0;

    fleet_init(&f);
    for (int i = 0; i < DOMAINS * PER_DOMAIN; i++) {
        guint rank = ggw_readers_domain_rank(f.members, f.names[i]);

        at_once += ggw_readers_fill_from_store(rank, 0, false);
        after_max_wait +=
            ggw_readers_fill_from_store(rank, MAX_DELAY_MS / 2, false);
        /* Rows on their way take less time than all gateways reading. */
        CU_ASSERT_EQUAL(ggw_readers_fill_from_store(rank, 10, true), false);
        /* Whatever happens, a change reaches the gateway in time. */
        CU_ASSERT_TRUE(ggw_readers_fill_from_store(
            rank, MAX_DELAY_MS - REPORT_INTERVAL_MS, true));
    }
    CU_ASSERT_EQUAL(at_once, DOMAINS);
    CU_ASSERT_EQUAL(after_max_wait, DOMAINS * PER_DOMAIN);
    g_array_unref(f.members);
}

/*
 * Guards against rows that cross failure domains, against requests to a
 * gateway with a slow link, and against a gateway that is never asked.
 */
static void
test_sources(void)
{
    struct fleet f;
    g_autoptr(GHashTable) asked = g_hash_table_new(g_str_hash, g_str_equal);

    fleet_init(&f);
    for (guint attempt = 0; attempt < f.members->len - 1; attempt++) {
        const struct ggw_member *m =
            ggw_readers_source(f.members, "n7", attempt);

        CU_ASSERT_STRING_NOT_EQUAL(m->name, "n7");
        CU_ASSERT_EQUAL(strcmp(m->failure_domain, "d2") == 0,
                        attempt < PER_DOMAIN - 1);
        if (attempt < 2) {
            CU_ASSERT_EQUAL(m->capacity.link_mbps, 200);
        }
        g_hash_table_add(asked, m->name);
    }
    CU_ASSERT_EQUAL(g_hash_table_size(asked), f.members->len - 1);
    g_array_set_size(f.members, 1);
    CU_ASSERT_PTR_NULL(ggw_readers_source(f.members, "n0", 0));
    g_array_unref(f.members);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"few readers", test_few_readers},
        {"both lost", test_both_lost},
        {"silent", test_silent},
        {"start", test_start},
        {"backup", test_backup},
        {"fill a large cluster", test_fill_large_cluster},
        {"sources", test_sources},
        CU_TEST_INFO_NULL,
    };

    return suite_run("readers", tests);
}
