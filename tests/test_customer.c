#include <CUnit/CUnit.h>
#include <string.h>

#include "decide/customer.h"
#include "tests/suite.h"

/* Number of customers, keys of each, and lookups of the test of many keys. */
#define MANY_CUSTOMERS 5000
#define KEYS_EACH 2

static struct ggw_tree *
parse(const char *json)
{
    struct ggw_tree *tree = ggw_tree_parse("team", 1, json, NULL);

    g_assert_nonnull(tree);
    return tree;
}

/**
 * struct identity_case - keys of a request and the expected result
 * @customer: name, or NULL
 * @reason: of the refusal, or NULL
 */
struct identity_case {
    const char *keys[2];
    size_t len;
    bool is_public;
    enum ggw_identity identity;
    const char *customer;
    const char *reason;
};

static void
check_cases(const struct ggw_tree *tree, const struct identity_case *cases,
            size_t len)
{
    for (size_t i = 0; i < len; i++) {
        const struct identity_case *c = &cases[i];
        const struct ggw_customer_rule *customer = NULL;
        enum ggw_identity identity = ggw_customer_identify(
            tree, c->is_public, c->keys, c->len, &customer);

        CU_ASSERT_EQUAL(identity, c->identity);
        CU_ASSERT_EQUAL(
            g_strcmp0(customer != NULL ? customer->name : NULL, c->customer),
            0);
        CU_ASSERT_EQUAL(g_strcmp0(ggw_identity_reason(identity), c->reason),
                        0);
    }
}

/*
 * Guards against a request that is taken for another customer's, and against
 * a missing, repeated or unknown key that is accepted.
 */
static void
test_keys(void)
{
    static const struct identity_case cases[] = {
        {{"ka"}, 1, false, GGW_IDENTITY_KNOWN, "a", NULL},
        {{"ka2"}, 1, false, GGW_IDENTITY_KNOWN, "a", NULL},
        {{"kb"}, 1, false, GGW_IDENTITY_KNOWN, "b.x", NULL},
        {{NULL}, 0, false, GGW_IDENTITY_NO_KEY, NULL, "no-key"},
        {{"ka", "ka"},
         2,
         false,
         GGW_IDENTITY_REPEATED_KEY,
         NULL,
         "repeated-key"},
        {{"ka", "kb"},
         2,
         false,
         GGW_IDENTITY_REPEATED_KEY,
         NULL,
         "repeated-key"},
        {{"KA"}, 1, false, GGW_IDENTITY_UNKNOWN_KEY, NULL, "unknown-key"},
        {{"ka "}, 1, false, GGW_IDENTITY_UNKNOWN_KEY, NULL, "unknown-key"},
        {{"ka, kb"}, 1, false, GGW_IDENTITY_UNKNOWN_KEY, NULL, "unknown-key"},
        {{""}, 1, false, GGW_IDENTITY_UNKNOWN_KEY, NULL, "unknown-key"},
        {{"ka"}, 1, true, GGW_IDENTITY_NOT_NEEDED, NULL, NULL},
        {{"x", "y"}, 2, true, GGW_IDENTITY_NOT_NEEDED, NULL, NULL},
    };
    struct ggw_tree *tree = parse("{\"customers\":{\"a\":{\"keys\":[\"ka\","
                                  "\"ka2\"]},\"b.x\":{\"keys\":[\"kb\"]},"
                                  "\"c\":{}}}");

    check_cases(tree, cases, G_N_ELEMENTS(cases));
    ggw_tree_unref(tree);
}

/*
 * Guards against an empty list of customers that lets every request through,
 * and against settings without customers that ask for a key.
 */
static void
test_empty_list(void)
{
    static const struct identity_case unknown[] = {
        {{"ka"}, 1, false, GGW_IDENTITY_UNKNOWN_KEY, NULL, "unknown-key"},
        {{NULL}, 0, false, GGW_IDENTITY_NO_KEY, NULL, "no-key"},
        {{NULL}, 0, true, GGW_IDENTITY_NOT_NEEDED, NULL, NULL},
    };
    static const struct identity_case not_needed[] = {
        {{"ka"}, 1, false, GGW_IDENTITY_NOT_NEEDED, NULL, NULL},
        {{NULL}, 0, false, GGW_IDENTITY_NOT_NEEDED, NULL, NULL},
        {{"x", "y"}, 2, false, GGW_IDENTITY_NOT_NEEDED, NULL, NULL},
    };
    struct ggw_tree *empty = parse("{\"customers\":{}}");
    struct ggw_tree *absent = parse("{}");

    check_cases(empty, unknown, G_N_ELEMENTS(unknown));
    check_cases(absent, not_needed, G_N_ELEMENTS(not_needed));
    ggw_tree_unref(empty);
    ggw_tree_unref(absent);
}

/* Guards against a key among many that is found for another customer. */
static void
test_many_keys(void)
{
    g_autoptr(GString) json = g_string_new("{\"customers\":{");
    struct ggw_tree *tree;

    for (int i = 0; i < MANY_CUSTOMERS; i++) {
        g_string_append_printf(json,
                               "%s\"c%d\":{\"keys\":[\"k%d-0\","
                               "\"k%d-1\"]}",
                               i > 0 ? "," : "", i, i, i);
    }
    g_string_append(json, "}}");
    tree = parse(json->str);
    for (int i = 0; i < MANY_CUSTOMERS * KEYS_EACH; i++) {
        g_autofree char *key =
            g_strdup_printf("k%d-%d", i / KEYS_EACH, i % KEYS_EACH);
        g_autofree char *name = g_strdup_printf("c%d", i / KEYS_EACH);
        const char *keys[] = {key};
        const struct ggw_customer_rule *customer;

        CU_ASSERT_EQUAL_FATAL(
            ggw_customer_identify(tree, false, keys, 1, &customer),
            GGW_IDENTITY_KNOWN);
        CU_ASSERT_STRING_EQUAL(customer->name, name);
    }
    ggw_tree_unref(tree);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"keys", test_keys},
        {"empty list", test_empty_list},
        {"many keys", test_many_keys},
        CU_TEST_INFO_NULL,
    };

    return suite_run("customer", tests);
}
