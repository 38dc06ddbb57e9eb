#include <CUnit/CUnit.h>
#include <string.h>

#include "platform/store.h"
#include "tests/suite.h"

/* Responses of the users' store. */

static bool
decode(const char *text, GPtrArray *rows)
{
    struct ggw_store_response response = {.rows = rows};

    return ggw_store_decode("test", text, strlen(text), &response);
}

/*
 * Guards against a row of another part of a table that is taken for the row
 * with the same key that gateways follow, or for its removal.
 */
static void
test_rows_of_other_parts(void)
{
    g_autoptr(GPtrArray) rows =
        g_ptr_array_new_with_free_func(ggw_store_row_free);
    const struct ggw_store_row *row;

    CU_ASSERT_TRUE(decode(
        "{\"Rows\":[{\"Table\":\"op\",\"part\":\"\",\"Key\":\"config\","
        "\"Value\":\"bm8=\",\"Ver\":4},{\"Table\":\"op\",\"part\":\"next\","
        "\"Key\":\"config\",\"Value\":\"bm8=\",\"Ver\":5},{\"Table\":"
        "\"op\",\"part\":\"next\",\"Key\":\"config\",\"Ver\":6,"
        "\"Deleted\":true},{\"Table\":\"op\",\"part\":7,\"Key\":"
        "\"config\",\"Ver\":7}],\"Ver\":7}",
        rows));
    CU_ASSERT_EQUAL_FATAL(rows->len, 1);
    row = g_ptr_array_index(rows, 0);
    CU_ASSERT_EQUAL(row->version, 4);
    CU_ASSERT_FALSE(row->removed);
}

/* Guards against accepting a response that is not one of the store. */
static void
test_store_responses(void)
{
    g_autoptr(GPtrArray) rows =
        g_ptr_array_new_with_free_func(ggw_store_row_free);
    const struct ggw_store_row *row;

    CU_ASSERT_FALSE(decode("", rows));
    CU_ASSERT_FALSE(decode("{\"Rows\":[]}", rows));
    CU_ASSERT_FALSE(decode("{\"Rows\":[{\"Key\":1}],\"Ver\":5}", rows));
    CU_ASSERT_EQUAL(rows->len, 0);
    CU_ASSERT_TRUE(decode("{\"Rows\":[{\"Key\":\"k\",\"Value\":\"bm8=\","
                          "\"Ver\":4},{\"Key\":\"l\",\"Ver\":5,"
                          "\"Deleted\":true}],\"Ver\":5}",
                          rows));
    CU_ASSERT_EQUAL_FATAL(rows->len, 2);
    row = g_ptr_array_index(rows, 0);
    CU_ASSERT_EQUAL(g_bytes_get_size(row->value), 2);
    row = g_ptr_array_index(rows, 1);
    CU_ASSERT_TRUE(row->removed);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"rows of other parts", test_rows_of_other_parts},
        {"store responses", test_store_responses},
        CU_TEST_INFO_NULL,
    };

    return suite_run("store", tests);
}
