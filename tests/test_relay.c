#include <CUnit/CUnit.h>
#include <math.h>
#include <string.h>

#include "peers/frame.h"
#include "platform/relay.h"
#include "platform/site_rows.h"
#include "platform/store.h"
#include "tests/suite.h"

/* Frames with rows of the store that gateways relay to each other. */

#define ENTRY                                                                 \
    "{\"Service\":\"s\",\"Address\":\"10.128.0.9:8080\",\"Zone\":\"a\","      \
    "\"Slots\":2,\"State\":\"ready\",\"ColdLeftMs\":0}"

static struct ggw_store_row *
entry_row(const char *id, uint64_t version)
{
    struct ggw_store_row *row = g_new0(struct ggw_store_row, 1);

    row->key = g_strdup(id);
    row->version = version;
    row->value = g_bytes_new_static(ENTRY, strlen(ENTRY));
    return row;
}

/*
 * Guards against rows that are refused because their sender has not called the
 * store itself, so that its uptime of the store is infinite.
 */
static void
test_unknown_uptime(void)
{
    g_autoptr(GPtrArray) rows = g_ptr_array_new();
    struct ggw_relay_frame out = {.delta = {.table = "op", .rows = rows},
                                  .store_uptime = INFINITY};
    struct ggw_relay_frame in;
    g_autoptr(GBytes) payload = ggw_relay_pack(&out, 0, 0);

    CU_ASSERT_TRUE(ggw_relay_unpack(payload, &in));
    CU_ASSERT_TRUE(in.store_uptime > 1e9);
    ggw_relay_clear(&in);
}

/* Guards against rows that encoding and decoding a frame changes. */
static void
test_frames(void)
{
    struct ggw_relay_frame out = {
        .delta = {.table = "op", .base_version = 3, .version = 5},
        .store_uptime = 12};
    struct ggw_relay_frame in;
    g_autoptr(GBytes) payload = NULL;
    g_autoptr(GBytes) garbage = g_bytes_new_static("\x93\x01\x02\x03", 4);
    const struct ggw_store_row *row;

    out.delta.rows = g_ptr_array_new_with_free_func(ggw_store_row_free);
    g_ptr_array_add(out.delta.rows, entry_row("i-1", 4));
    payload = ggw_relay_pack(&out, 0, 1);
    CU_ASSERT_TRUE(ggw_relay_unpack(payload, &in));
    CU_ASSERT_STRING_EQUAL(in.delta.table, "op");
    CU_ASSERT_EQUAL(in.delta.base_version, 3);
    CU_ASSERT_EQUAL(in.delta.version, 5);
    CU_ASSERT_EQUAL(in.store_uptime, 12);
    CU_ASSERT_EQUAL(in.delta.rows->len, 1);
    row = g_ptr_array_index(in.delta.rows, 0);
    CU_ASSERT_STRING_EQUAL(row->key, "i-1");
    CU_ASSERT_EQUAL(row->version, 4);
    CU_ASSERT_TRUE(g_bytes_equal(
        row->value,
        ((struct ggw_store_row *)out.delta.rows->pdata[0])->value));
    ggw_relay_clear(&in);
    CU_ASSERT_FALSE(ggw_relay_unpack(garbage, &in));
    ggw_relay_clear(&in);
    g_ptr_array_unref(out.delta.rows);
}

/*
 * Guards against compressed rows that differ from the original ones, and
 * against malformed ones that are accepted or exhaust the memory.
 */
static void
test_deflated(void)
{
    struct ggw_relay_frame out = {.delta = {.table = "servers"}};
    g_autoptr(GBytes) payload = NULL;
    g_autoptr(GBytes) deflated = NULL;
    g_autoptr(GBytes) inflated = NULL;
    const guint8 *data;
    gsize len;

    out.delta.rows = g_ptr_array_new_with_free_func(ggw_store_row_free);
    for (int i = 0; i < 100; i++) {
        g_autofree char *id = g_strdup_printf("i-%d", i);

        g_ptr_array_add(out.delta.rows, entry_row(id, 5));
    }
    payload = ggw_relay_pack(&out, 0, 100);
    deflated = ggw_relay_deflate(payload);
    CU_ASSERT_PTR_NOT_NULL_FATAL(deflated);
    CU_ASSERT_TRUE(g_bytes_get_size(deflated) < g_bytes_get_size(payload) / 4);
    inflated = ggw_relay_inflate(deflated);
    CU_ASSERT_TRUE(g_bytes_equal(inflated, payload));
    data = g_bytes_get_data(deflated, &len);
    for (gsize i = 0; i < len; i++) {
        g_autofree guint8 *changed = g_memdup2(data, len);
        g_autoptr(GBytes) cut = g_bytes_new(data, i);
        g_autoptr(GBytes) other = NULL;
        g_autoptr(GBytes) result = ggw_relay_inflate(cut);

        CU_ASSERT_PTR_NULL(result);
        changed[i] ^= 0x55;
        other = g_bytes_new(changed, len);
        g_clear_pointer(&result, g_bytes_unref);
        result = ggw_relay_inflate(other);
        CU_ASSERT_TRUE(result == NULL || g_bytes_equal(result, payload));
    }
    g_ptr_array_set_size(out.delta.rows, 0);
    g_clear_pointer(&payload, g_bytes_unref);
    payload = ggw_relay_pack(&out, 0, 0);
    CU_ASSERT_PTR_NULL(ggw_relay_deflate(payload));
    g_ptr_array_unref(out.delta.rows);
}

static bool
is_valid(GBytes *payload)
{
    gsize len;
    gconstpointer data = g_bytes_get_data(payload, &len);

    return ggw_frame_payload_is_valid(data, len);
}

/* Changes up to three bytes of a payload, or cuts it. */
static GBytes *
mutate(GBytes *payload, GRand *rand)
{
    gsize len;
    gconstpointer data = g_bytes_get_data(payload, &len);
    g_autofree guint8 *changed = g_memdup2(data, len);
    gsize end = g_rand_boolean(rand)
                    ? len
                    : (gsize)g_rand_int_range(rand, 0, (gint32)len);

    for (int i = g_rand_int_range(rand, 0, 4); i > 0; i--) {
        changed[g_rand_int_range(rand, 0, (gint32)len)] =
            (guint8)g_rand_int(rand);
    }
    return g_bytes_new(changed, end);
}

/* Guards against a malformed frame of rows that ends the process. */
static void
test_mutated_frames(void)
{
    struct ggw_relay_frame out = {.delta = {.table = "servers"}};
    struct ggw_rows_request request = {.table = "op", .min_version = 7};
    g_autoptr(GArray) requests =
        g_array_new(FALSE, FALSE, sizeof(struct ggw_rows_request));
    GRand *rand = g_rand_new_with_seed(20);
    g_autoptr(GBytes) rows = NULL;
    g_autoptr(GBytes) deflated = NULL;
    g_autoptr(GBytes) rows_get = NULL;

    out.delta.rows = g_ptr_array_new_with_free_func(ggw_store_row_free);
    for (int i = 0; i < 20; i++) {
        g_ptr_array_add(out.delta.rows, entry_row("i-1", 5));
    }
    g_array_append_val(requests, request);
    rows = ggw_relay_pack(&out, 0, out.delta.rows->len);
    deflated = ggw_relay_deflate(rows);
    rows_get = ggw_relay_pack_request(requests);
    for (int i = 0; i < 5000; i++) {
        g_autoptr(GBytes) a = mutate(rows, rand);
        g_autoptr(GBytes) b = mutate(deflated, rand);
        g_autoptr(GBytes) c = mutate(rows_get, rand);
        /* A deflated payload whose content is malformed. */
        g_autoptr(GBytes) d = ggw_relay_deflate(a);
        g_autoptr(GBytes) from_b = is_valid(b) ? ggw_relay_inflate(b) : NULL;
        g_autoptr(GBytes) from_d = d != NULL ? ggw_relay_inflate(d) : NULL;

        CU_ASSERT_TRUE(from_b == NULL || g_bytes_equal(from_b, rows));
        CU_ASSERT_EQUAL(from_d != NULL, d != NULL && is_valid(a));
        if (is_valid(a)) {
            struct ggw_relay_frame in;

            ggw_relay_unpack(a, &in);
            ggw_relay_clear(&in);
        }
        if (is_valid(c)) {
            g_autoptr(GArray) decoded = ggw_relay_unpack_request(c);

            CU_ASSERT_TRUE(decoded->len <= g_bytes_get_size(c));
        }
    }
    g_rand_free(rand);
    g_ptr_array_unref(out.delta.rows);
}

/*
 * Guards against relaying a large configuration to every gateway, which would
 * saturate the reader's link.
 */
static void
test_large_rows(void)
{
    struct ggw_table_delta delta = {.table = "op", .version = 5};
    struct ggw_store_row *row = entry_row("config", 5);

    delta.rows = g_ptr_array_new_with_free_func(ggw_store_row_free);
    g_ptr_array_add(delta.rows, row);
    CU_ASSERT_TRUE(ggw_relay_within_limit(&delta));
    g_bytes_unref(row->value);
    row->value = g_bytes_new_take(g_malloc0(200000), 200000);
    CU_ASSERT_FALSE(ggw_relay_within_limit(&delta));
    g_ptr_array_set_size(delta.rows, 0);
    for (int i = 0; i < 400; i++) {
        g_ptr_array_add(delta.rows, entry_row("i-1", 5));
    }
    CU_ASSERT_FALSE(ggw_relay_within_limit(&delta));
    g_ptr_array_unref(delta.rows);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"frames", test_frames},
        {"unknown uptime", test_unknown_uptime},
        {"deflated rows", test_deflated},
        {"mutated frames", test_mutated_frames},
        {"large rows", test_large_rows},
        CU_TEST_INFO_NULL,
    };

    return suite_run("relay", tests);
}
