#include <CUnit/Basic.h>
#include <string.h>

#include "common/address.h"
#include "common/options.h"

struct test_options {
    char *name;
    struct ggw_address listen;
    char **seeds;
    double keep_ms;
};

static const struct ggw_option table[] = {
    {"name", GGW_OPTION_TEXT, "NAME", NULL, 0, 0,
     offsetof(struct test_options, name), "a name"},
    {"listen", GGW_OPTION_ADDRESS, "IP:PORT", "127.0.0.1:80", 0, 0,
     offsetof(struct test_options, listen), "an address"},
    {"seeds", GGW_OPTION_LIST, "IP:PORT,...", "", 0, 0,
     offsetof(struct test_options, seeds), "a list"},
    {"keep-ms", GGW_OPTION_NUMBER, "MS", "2000", 100, 60000,
     offsetof(struct test_options, keep_ms), "a time"},
    {.name = NULL},
};

/* Returns the error message, or NULL when the command line was accepted. */
static char *
parse(struct test_options *s, const char *command_line)
{
    g_auto(GStrv) argv = g_strsplit(command_line, " ", -1);
    g_autoptr(GError) error = NULL;

    memset(s, 0, sizeof(*s));
    if (ggw_options_parse(table, "test", (int)g_strv_length(argv), argv, s,
                          &error)) {
        return NULL;
    }
    return g_strdup(error->message);
}

/*
 * Guards against a wrong order of precedence of flag, environment variable and
 * default.
 */
static void
test_precedence(void)
{
    struct test_options s;

    g_setenv("GREENGAGEWAY_KEEP_MS", "300", TRUE);
    CU_ASSERT_PTR_NULL(parse(&s, "p --name=g --seeds=127.0.0.1:1,[::1]:2"));
    CU_ASSERT_STRING_EQUAL(s.name, "g");
    CU_ASSERT_STRING_EQUAL(s.listen.host, "127.0.0.1");
    CU_ASSERT_EQUAL(s.listen.port, 80);
    CU_ASSERT_EQUAL(s.keep_ms, 300);
    CU_ASSERT_STRING_EQUAL(s.seeds[1], "[::1]:2");
    ggw_options_clear(table, &s);
    CU_ASSERT_PTR_NULL(parse(&s, "p --name=g --keep-ms=400"));
    CU_ASSERT_EQUAL(s.keep_ms, 400);
    ggw_options_clear(table, &s);
    g_unsetenv("GREENGAGEWAY_KEEP_MS");
}

static void
check_error(const char *command_line, const char *expected)
{
    struct test_options s;
    g_autofree char *message = parse(&s, command_line);

    CU_ASSERT_EQUAL(g_strcmp0(message, expected), 0);
}

/*
 * Guards against a gateway that starts with an invalid value or without a
 * required option.
 */
static void
test_invalid_values(void)
{
    check_error("p", "--name (or GREENGAGEWAY_NAME) is required");
    check_error("p --name=g --keep-ms=99",
                "--keep-ms: \"99\" is not a number in 100..60000");
    check_error("p --name=g --keep-ms=nan",
                "--keep-ms: \"nan\" is not a number in 100..60000");
    check_error("p --name=g --listen=localhost:80",
                "--listen: \"localhost:80\" is not IP:PORT with a port in "
                "0..65535");
    check_error("p --name=g --seeds=127.0.0.1:70000",
                "--seeds: \"127.0.0.1:70000\" is not IP:PORT with a port in "
                "0..65535");
    check_error("p --name=", "--name: value is empty");
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("options", NULL, NULL);
    CU_add_test(suite, "precedence", test_precedence);
    CU_add_test(suite, "invalid values", test_invalid_values);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
