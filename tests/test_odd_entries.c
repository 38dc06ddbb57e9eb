#include <CUnit/CUnit.h>
#include <math.h>
#include <string.h>

#include "platform/dialect.h"
#include "platform/relay.h"
#include "platform/servers.h"
#include "platform/site_rows.h"
#include "platform/store.h"
#include "tests/suite.h"

/*
 * Entries and headers that another program has written. Each names no server
 * to use, and the others hold.
 */

#define FIELDS(address, slots, cold, born)                                    \
    "{\"Service\":\"s\",\"Address\":\"" address "\",\"Zone\":\"a\","          \
    "\"Version\":\"1\",\"Slots\":" slots ",\"State\":\"ready\","              \
    "\"ColdLeftMs\":" cold ",\"Sequence\":3,\"born\":" born "}"
#define GOOD FIELDS("10.128.0.9:8080", "4", "0", "1700")

static void
put(struct ggw_servers *s, const char *id, const char *value, gsize len)
{
    g_autoptr(GBytes) bytes = g_bytes_new(value, len);

    ggw_servers_put(s, id, bytes, 100);
}

static size_t
count(struct ggw_servers *s)
{
    struct ggw_vm_list *list = ggw_servers_list(s);
    size_t len = list->len;

    ggw_vm_list_unref(list);
    return len;
}

/* Guards against an odd value that is used as a server. */
static void
test_values(void)
{
    static const char *const values[] = {
        FIELDS("10.128.0.9:65536", "4", "0", "1700"),
        FIELDS("10.128.0.9:0", "4", "0", "1700"),
        FIELDS("10.128.0.9:-1", "4", "0", "1700"),
        FIELDS("10.128.0.9:99999999999999999999", "4", "0", "1700"),
        FIELDS("[::1:80", "4", "0", "1700"),
        FIELDS("10.128.0.9:8080", "0", "0", "1700"),
        FIELDS("10.128.0.9:8080", "1e9", "0", "1700"),
        FIELDS("10.128.0.9:8080", "4000000000", "0", "1700"),
        FIELDS("10.128.0.9:8080", "99999999999999999999", "0", "1700"),
        FIELDS("10.128.0.9:8080", "4", "1e308", "1700"),
        FIELDS("10.128.0.9:8080", "4", "1e999", "1700"),
        FIELDS("10.128.0.9:8080", "4", "9223372036854775807", "1700"),
        FIELDS("10.128.0.9:8080", "4", "-1", "1700"),
        FIELDS("10.128.0.9:8080", "4", "0", "-1"),
        FIELDS("10.128.0.9:8080", "4", "0", "1700.5"),
        FIELDS("10.128.0.9:8080", "4", "0", "99999999999999999999"),
    };
    g_autofree char *deep = g_strnfill(65536, '[');
    g_autofree char *deep_field = g_strconcat("{\"Service\":", deep, NULL);
    struct ggw_servers *s = ggw_servers_new();

    put(s, "good", GOOD, strlen(GOOD));
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        put(s, "odd", values[i], strlen(values[i]));
        if (count(s) != 1) {
            printf("used: %s ", values[i]);
        }
        CU_ASSERT_EQUAL(count(s), 1);
    }
    put(s, "odd", deep, strlen(deep));
    put(s, "odd", deep_field, strlen(deep_field));
    put(s, "odd", GOOD "\0x", sizeof(GOOD) + 1);
    CU_ASSERT_EQUAL(count(s), 1);
    ggw_servers_free(s);
}

/*
 * Guards against an id that adds lines to the requests in which it is named.
 */
static void
test_ids(void)
{
    static const char *const ids[] = {
        "", "i-1\r\nContent-Length: 9", "i 1", "i-1\n", "i-\x7f", "i-\xc3\xa9",
    };
    struct ggw_servers *s = ggw_servers_new();

    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        put(s, ids[i], GOOD, strlen(GOOD));
        ggw_servers_remove(s, ids[i], 100, 100);
        put(s, ids[i], GOOD, strlen(GOOD));
    }
    CU_ASSERT_EQUAL(count(s), 0);
    put(s, "i-1", GOOD, strlen(GOOD));
    CU_ASSERT_EQUAL(count(s), 1);
    ggw_servers_free(s);
}

/*
 * Guards against a key that makes the whole list unreadable, so that a gateway
 * stops following it.
 */
static void
test_keys(void)
{
    static const char *const keys[] = {"a\\u0000b", "a\\ud800", "a\xff"};
    static const guint rows_read[] = {1, 2, 2};

    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        g_autoptr(GPtrArray) rows =
            g_ptr_array_new_with_free_func(ggw_store_row_free);
        struct ggw_store_response response = {.rows = rows};
        g_autofree char *text =
            g_strdup_printf("{\"Rows\":[{\"Key\":\"%s\",\"Value\":\"bm8=\","
                            "\"Ver\":4},{\"Key\":\"good\",\"Value\":\"bm8=\","
                            "\"Ver\":5}],\"Ver\":5}",
                            keys[i]);
        const struct ggw_store_row *last;

        CU_ASSERT_TRUE(
            ggw_store_decode("test", text, strlen(text), &response));
        CU_ASSERT_EQUAL_FATAL(rows->len, rows_read[i]);
        last = g_ptr_array_index(rows, rows->len - 1);
        CU_ASSERT_STRING_EQUAL(last->key, "good");
    }
}

static struct ggw_store_row *
row(const char *key, const char *value, gsize len)
{
    struct ggw_store_row *r = g_new0(struct ggw_store_row, 1);

    r->key = g_strdup(key);
    r->version = 4;
    r->value = g_bytes_new(value, len);
    return r;
}

/*
 * Guards against a value that the reader of the store refuses and that names a
 * server to the gateways to which it is relayed.
 */
static void
test_relayed_value(void)
{
    struct ggw_relay_frame out = {.delta = {.table = "servers"}};
    struct ggw_relay_frame in;
    struct ggw_servers *s = ggw_servers_new();
    g_autoptr(GBytes) payload = NULL;

    out.delta.rows = g_ptr_array_new_with_free_func(ggw_store_row_free);
    g_ptr_array_add(out.delta.rows, row("odd", GOOD "\0x", sizeof(GOOD) + 1));
    g_ptr_array_add(out.delta.rows, row("good", GOOD, strlen(GOOD)));
    payload = ggw_relay_pack(&out, 0, 2);
    CU_ASSERT_TRUE(ggw_relay_unpack(payload, &in));
    for (guint i = 0; i < in.delta.rows->len; i++) {
        const struct ggw_store_row *r = g_ptr_array_index(in.delta.rows, i);

        ggw_servers_put(s, r->key, r->value, 100);
    }
    CU_ASSERT_EQUAL(count(s), 1);
    ggw_relay_clear(&in);
    g_ptr_array_unref(out.delta.rows);
    ggw_servers_free(s);
}

/*
 * Guards against a time in a health response that no frame between gateways
 * can carry, so that the owner never learns of the report.
 */
static void
test_cold_time(void)
{
    static const char *const values[] = {"inf", "nan",  "1e999", "-1",
                                         "",    "soon", "1e308"};
    h2o_iovec_t name = {H2O_STRLIT("Cold-Remaining")};

    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        h2o_header_t header = {
            .name = &name,
            .value = h2o_iovec_init(values[i], strlen(values[i]))};
        struct ggw_load_report r = ggw_site_dialect.probe_load(&header, 1);

        CU_ASSERT_TRUE(isfinite(r.cold_left));
        CU_ASSERT_TRUE(r.cold_left >= 0 && r.cold_left <= 1e9);
        CU_ASSERT_EQUAL(r.cold, r.cold_left > 0);
    }
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"values", test_values},       {"ids", test_ids},
        {"keys", test_keys},           {"relayed value", test_relayed_value},
        {"cold time", test_cold_time}, CU_TEST_INFO_NULL,
    };

    return suite_run("odd_entries", tests);
}
