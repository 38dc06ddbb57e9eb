#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include "common/json_text.h"
#include "common/log.h"
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
        json_t *root =
            ggw_json_load("test", cases[i].json, strlen(cases[i].json));
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
        CU_ASSERT_PTR_NULL(ggw_json_load("test", texts[i], strlen(texts[i])));
    }
    CU_ASSERT_PTR_NULL(ggw_json_load("test", deep, strlen(deep)));
}

/* Makes an array of @n values. */
static char *
make_array(const char *value, size_t n)
{
    GString *text = g_string_new("[");

    for (size_t i = 0; i < n; i++) {
        g_string_append_printf(text, "%s%s", i > 0 ? "," : "", value);
    }
    g_string_append_c(text, ']');
    return g_string_free(text, FALSE);
}

/*
 * Guards against a text of a few MiB whose values take hundreds of MiB: an
 * empty object takes over 200 bytes.
 */
static void
test_many_values(void)
{
    static const char *const values[] = {"{}", "[]", "0", "{\"a\":0}", "\"\""};
    g_autofree char *comma = make_array("\",,[[{{::\\\",,\"", 200000);
    json_t *root = ggw_json_load("test", comma, strlen(comma));

    CU_ASSERT_PTR_NOT_NULL(root);
    json_decref(root);
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        g_autofree char *many = make_array(values[i], GGW_JSON_MAX_PARTS + 1);
        g_autofree char *few = make_array(values[i], GGW_JSON_MAX_PARTS / 4);

        root = ggw_json_load("test", many, strlen(many));
        CU_ASSERT_PTR_NULL(root);
        json_decref(root);
        root = ggw_json_load("test", few, strlen(few));
        CU_ASSERT_PTR_NOT_NULL(root);
        json_decref(root);
    }
}

/* Size of the log that a test reads, bytes. */
#define LOG_BYTES 65536

/*
 * Parses what @parse is for with standard output in a file. Returns the lines
 * that were logged.
 */
static char *
log_of(void (*parse)(void))
{
    char *text = g_malloc0(LOG_BYTES);
    int file = memfd_create("log", MFD_CLOEXEC);
    int out = dup(STDOUT_FILENO);

    fflush(stdout);
    dup2(file, STDOUT_FILENO);
    CU_ASSERT_TRUE(ggw_log_init("info", NULL));
    parse();
    ggw_log_fini();
    dup2(out, STDOUT_FILENO);
    CU_ASSERT_TRUE(pread(file, text, LOG_BYTES - 1, 0) >= 0);
    close(out);
    close(file);
    return text;
}

static int
count(const char *text, const char *part)
{
    int n = 0;

    for (const char *at = strstr(text, part); at != NULL;
         at = strstr(at + 1, part)) {
        n++;
    }
    return n;
}

/* Reads two sources three times, the first of which then becomes readable. */
static void
parse_two_sources(void)
{
    g_autofree char *many = make_array("{}", GGW_JSON_MAX_PARTS + 1);

    for (int i = 0; i < 3; i++) {
        CU_ASSERT_PTR_NULL(ggw_json_load("first", many, strlen(many)));
        CU_ASSERT_PTR_NULL(
            ggw_json_parse("second", many, strlen(many), 0, NULL));
    }
    for (int i = 0; i < 3; i++) {
        json_decref(ggw_json_load("first", "[]", 2));
        json_decref(ggw_json_load("third", "[]", 2));
    }
}

/* Guards against a refused text of which the log says nothing, or too much. */
static void
test_refusal_is_logged_once(void)
{
    g_autofree char *log = log_of(parse_two_sources);

    CU_ASSERT_EQUAL(count(log, "event=json_refused"), 2);
    CU_ASSERT_EQUAL(count(log, "event=json_refused source=\"first\""), 1);
    CU_ASSERT_EQUAL(count(log, "event=json_refused source=\"second\""), 1);
    CU_ASSERT_EQUAL(count(log, "event=json_accepted"), 1);
    CU_ASSERT_EQUAL(count(log, "event=json_accepted source=\"first\""), 1);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"odd texts", test_odd_texts},
        {"malformed", test_malformed},
        {"many values", test_many_values},
        {"refusal is logged once", test_refusal_is_logged_once},
        CU_TEST_INFO_NULL,
    };

    return suite_run("json_text", tests);
}
