#include <CUnit/CUnit.h>
#include <glib.h>
#include <string.h>

#include "common/json_text.h"
#include "tests/suite.h"

/*
 * Guards against one text that makes a whole list unreadable, and against a
 * text that is taken for the part before its NUL character.
 */
static void
test_odd_texts(void)
{
    static const struct {
        const char *json;
        const char *text; /* of the first element; NULL: not usable */
    } cases[] = {
        {"[\"plain\",1]", "plain"},
        {"[\"a\\u0000b\",1]", NULL},
        {"[\"a\\ud800b\",1]", "a\xef\xbf\xbd"
                              "b"},
        {"[\"a\\udc00\",1]", "a\xef\xbf\xbd"},
        {"[\"\\ud800\\ud83d\\ude00\",1]", "\xef\xbf\xbd\xf0\x9f\x98\x80"},
        {"[\"\\ud83d\\ude00\",1]", "\xf0\x9f\x98\x80"},
        {"[\"\\\\ud800\",1]", "\\ud800"},
        {"[\"a\xff\",1]", "a\xef\xbf\xbd"},
        {"[17,1]", NULL},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        json_t *root = ggw_json_load(cases[i].json, strlen(cases[i].json));
        const char *text = ggw_json_text(json_array_get(root, 0));

        CU_ASSERT_TRUE(json_is_integer(json_array_get(root, 1)));
        CU_ASSERT_EQUAL(g_strcmp0(text, cases[i].text), 0);
        json_decref(root);
    }
}

/* Guards against malformed JSON that is accepted. */
static void
test_malformed(void)
{
    static const char *const texts[] = {
        "", "[", "[\"\\u12\"]", "[\"\\ud800", "[\"\\", "[\"a\"]x",
    };
    g_autofree char *deep = g_strnfill(100000, '[');

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        CU_ASSERT_PTR_NULL(ggw_json_load(texts[i], strlen(texts[i])));
    }
    CU_ASSERT_PTR_NULL(ggw_json_load(deep, strlen(deep)));
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"odd texts", test_odd_texts},
        {"malformed", test_malformed},
        CU_TEST_INFO_NULL,
    };

    return suite_run("json_text", tests);
}
