#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "tests/suite.h"

/*
 * Compares the tables "Places that promise 'not run', and that close a
 * client's connection" of the design with the code: each place and each test
 * that they name exists, and each place of the code is named.
 */

#define DESIGN "docs/design.md"
#define HEADING "### Places that promise"
#define FIRST_LINE "\n| place |"
#define LAST_LINE "### Operators' verbs"

static const char *const folders[] = {"http", "proxy", "platform"};

/* Calls that refuse a request, or close a connection to a client or server. */
static const char call_pattern[] =
    "\\b(ggw_exchange_(refuse|abort|truncate)|ggw_request_refuse"
    "|close_connection|ggw_http_conn_(close|reset)|(finish|respond)"
    "(?=\\(r, (408|421|429|503)))\\(";

/**
 * struct exception - a function with such a call that is no place of its own
 */
struct exception {
    const char *function;
    const char *reason;
};

static const struct exception exceptions[] = {
    {"generator_proceed", "goes on with what on_end() has begun"},
    {"replace_response", "answers 502"},
    {"ggw_request_refuse", "called by places"},
    {"respond", "called by places"},
    {"ggw_proxy_serve_page", "answers 404 and 405"},
    {"leave_order", "the client has left"},
    {"close_idle", "called by places"},
};

/* The section of the design with the tables. */
static char *
read_tables(void)
{
    char *text = NULL;
    char *first, *last;

    if (!g_file_get_contents(DESIGN, &text, NULL, NULL)) {
        return g_strdup("");
    }
    first = strstr(text, HEADING);
    first = first != NULL ? strstr(first, FIRST_LINE) : NULL;
    last = first != NULL ? strstr(first, LAST_LINE) : NULL;
    if (last == NULL) {
        g_free(text);
        return g_strdup("");
    }
    first = g_strndup(first, (gsize)(last - first));
    g_free(text);
    return first;
}

/* Whether a file has a function with this name. */
static bool
has_function(const char *path, const char *function)
{
    g_autofree char *text = NULL;
    g_autofree char *start = g_strdup_printf("\n%s(", function);

    return g_file_get_contents(path, &text, NULL, NULL) &&
           strstr(text, start) != NULL;
}

/* Whether a test program has a test with this name. */
static bool
has_test(const char *program, const char *test)
{
    g_autofree char *path = g_strdup_printf("tests/%s.c", program);
    g_autofree char *start = g_strdup_printf("{\"%s\", test_", test);
    g_autofree char *text = NULL;

    return g_file_get_contents(path, &text, NULL, NULL) &&
           strstr(text, start) != NULL;
}

/*
 * Calls @check for each word of @text that @pattern matches, together with the
 * last word before it that @owner_pattern matches. The first group of each
 * pattern is the word.
 */
static int
for_each(const char *text, const char *owner_pattern, const char *pattern,
         bool (*check)(const char *owner, const char *word))
{
    g_autofree char *both = g_strdup_printf("%s|%s", owner_pattern, pattern);
    g_autoptr(GRegex) regex = g_regex_new(both, 0, 0, NULL);
    g_autoptr(GMatchInfo) match = NULL;
    g_autofree char *owner = g_strdup("");
    int n = 0;

    g_regex_match(regex, text, 0, &match);
    for (; g_match_info_matches(match); g_match_info_next(match, NULL)) {
        g_autofree char *new_owner = g_match_info_fetch(match, 1);
        g_autofree char *word = g_match_info_fetch(match, 2);

        if (new_owner != NULL && *new_owner != '\0') {
            g_free(owner);
            owner = g_strdup(new_owner);
            continue;
        }
        n++;
        if (!check(owner, word)) {
            printf("%s has no %s\n", owner, word);
            CU_FAIL("the design names what does not exist");
        }
    }
    return n;
}

/* Guards against a table that names a function or test that is gone. */
static void
test_named_exist(void)
{
    g_autofree char *tables = read_tables();

    CU_ASSERT_TRUE(for_each(tables, "`([a-z_]+/[a-z_]+\\.c)`",
                            "[ ]`([a-z_]+)\\(\\)`", has_function) >= 25);
    CU_ASSERT_TRUE(for_each(tables, "`(test_[a-z_]+)`", "\"([^\"\n]+)\"",
                            has_test) >= 25);
}

static bool
is_exception(const char *function)
{
    for (size_t i = 0; i < G_N_ELEMENTS(exceptions); i++) {
        if (strcmp(exceptions[i].function, function) == 0) {
            return true;
        }
    }
    return false;
}

/* Whether a row of the tables names the function of the file. */
static bool
is_named(const char *tables, const char *path, const char *function)
{
    g_autofree char *pattern = g_strdup_printf(
        "`%s`(, `[a-z_]+\\(\\)`)*, `%s\\(\\)`", path, function);

    return g_regex_match_simple(pattern, tables, 0, 0);
}

/* Checks each call in a file; returns their number. */
static int
check_file(const char *tables, const char *path)
{
    g_autofree char *text = NULL;
    g_autofree char *function = g_strdup("");
    g_auto(GStrv) lines = NULL;
    int n = 0;

    CU_ASSERT_TRUE_FATAL(g_file_get_contents(path, &text, NULL, NULL));
    lines = g_strsplit(text, "\n", -1);
    for (char **l = lines; *l != NULL; l++) {
        if (g_regex_match_simple("^[a-z_]+\\(", *l, 0, 0)) {
            g_free(function);
            function = g_strndup(*l, strcspn(*l, "("));
            continue;
        }
        if (!g_regex_match_simple("^ ", *l, 0, 0) || strstr(*l, " * ") ||
            !g_regex_match_simple(call_pattern, *l, 0, 0)) {
            continue;
        }
        n++;
        if (!is_exception(function) && !is_named(tables, path, function)) {
            printf("%s, %s(): not in the tables\n", path, function);
            CU_FAIL("the design lacks a place");
        }
    }
    return n;
}

/*
 * Guards against a new place that refuses a request or closes a connection,
 * and of which nobody has written down what is known of the run.
 */
static void
test_all_named(void)
{
    g_autofree char *tables = read_tables();
    int n = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(folders); i++) {
        GDir *dir = g_dir_open(folders[i], 0, NULL);
        const char *name;

        CU_ASSERT_PTR_NOT_NULL_FATAL(dir);
        while ((name = g_dir_read_name(dir)) != NULL) {
            g_autofree char *path = g_build_filename(folders[i], name, NULL);

            n += g_str_has_suffix(name, ".c") ? check_file(tables, path) : 0;
        }
        g_dir_close(dir);
    }
    CU_ASSERT_TRUE(n >= 30);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"named exist", test_named_exist},
        {"all named", test_all_named},
        CU_TEST_INFO_NULL,
    };

    return suite_run("places", tests);
}
