#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"
#include "ctl/server_list.h"
#include "ctl/status.h"
#include "ctl/verbs.h"

/* Verb "customers": what the status pages of all gateways say of customers. */

/**
 * struct sum - one customer over all gateways
 * @page: what the gateway that counts it says, or else any gateway
 */
struct sum {
    const json_t *page;
    double demand;
    json_int_t permitted;
    json_int_t refused;
    json_int_t waiting;
};

static double
number(const json_t *json, const char *name)
{
    return json_number_value(json_object_get(json, name));
}

static json_int_t
count(const json_t *json, const char *name)
{
    return json_integer_value(json_object_get(json, name));
}

static void
add_customer(GHashTable *sums, const json_t *customer)
{
    char *key = g_strconcat(ggw_ctl_string_member(customer, "team"), "/",
                            ggw_ctl_string_member(customer, "customer"), NULL);
    struct sum *sum = g_hash_table_lookup(sums, key);

    if (sum == NULL) {
        sum = g_new0(struct sum, 1);
        g_hash_table_insert(sums, key, sum);
    }
    else {
        g_free(key);
    }
    if (sum->page == NULL ||
        json_is_true(json_object_get(customer, "counted_here"))) {
        sum->page = customer;
    }
    sum->demand += number(customer, "demand");
    sum->permitted += count(customer, "permitted");
    sum->refused += count(customer, "refused");
    sum->waiting += count(customer, "waiting");
}

static GHashTable *
add_up(const GArray *gateways, const char *team)
{
    GHashTable *sums =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

    for (guint i = 0; i < gateways->len; i++) {
        const json_t *customers =
            ggw_gateway_page_member(gateways, i, "customers");
        const json_t *customer;
        size_t j;

        json_array_foreach(customers, j, customer)
        {
            if (team == NULL ||
                strcmp(ggw_ctl_string_member(customer, "team"), team) == 0) {
                add_customer(sums, customer);
            }
        }
    }
    return sums;
}

static void
print_sums(GHashTable *sums)
{
    g_autoptr(GList) keys =
        g_list_sort(g_hash_table_get_keys(sums), (GCompareFunc)strcmp);

    printf("%-24s %9s %9s %9s %9s %11s %9s %7s  %s\n", "CUSTOMER", "RATE",
           "BURST", "DEMAND", "TOKENS", "PERMITTED", "REFUSED", "WAITING",
           "COUNTED-BY");
    for (GList *l = keys; l != NULL; l = l->next) {
        const struct sum *sum = g_hash_table_lookup(sums, l->data);

        printf("%-24s %9.1f %9.1f %9.1f %9.1f %11" JSON_INTEGER_FORMAT
               " %9" JSON_INTEGER_FORMAT " %7" JSON_INTEGER_FORMAT "  %s\n",
               (const char *)l->data, number(sum->page, "rate"),
               number(sum->page, "burst"), sum->demand,
               number(sum->page, "tokens"), sum->permitted, sum->refused,
               sum->waiting, ggw_ctl_string_member(sum->page, "owner"));
    }
}

static void
print_customers(const GArray *gateways, const char *team)
{
    g_autoptr(GHashTable) sums = add_up(gateways, team);

    print_sums(sums);
}

int
ggw_ctl_customers(int argc, char **argv)
{
    static const struct ggw_ctl_usage usage = {
        .verb = "customers",
        .doc = "Print the rate and the use of each customer with requests in "
               "the last minute, over all gateways.",
        .option_groups = GGW_CTL_GATEWAY | GGW_CTL_TEAM_FILTER,
    };

    return ggw_ctl_print_status(&usage, argc, argv, print_customers);
}
