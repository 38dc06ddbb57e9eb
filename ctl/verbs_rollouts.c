#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"
#include "ctl/server_list.h"
#include "ctl/status.h"
#include "ctl/verbs.h"

/*
 * Collects each service's roll-out: as the gateway that decides on it shows
 * it, which alone has the counts of all gateways; otherwise as any other one.
 */
static GHashTable *
collect(const GArray *gateways)
{
    GHashTable *rollouts = g_hash_table_new(g_str_hash, g_str_equal);

    for (guint i = 0; i < gateways->len; i++) {
        json_t *rollout;
        size_t j;

        json_array_foreach(ggw_gateway_page_member(gateways, i, "rollouts"), j,
                           rollout)
        {
            const char *service = ggw_ctl_string_member(rollout, "service");

            if (json_is_true(json_object_get(rollout, "decider")) ||
                !g_hash_table_contains(rollouts, service)) {
                g_hash_table_replace(rollouts, (char *)service, rollout);
            }
        }
    }
    return rollouts;
}

static json_int_t
get_count(const json_t *rollout, const char *name)
{
    return json_integer_value(json_object_get(rollout, name));
}

static void
print_rollout(const json_t *rollout)
{
    json_int_t granted = get_count(rollout, "granted");
    json_int_t total = granted + get_count(rollout, "granted_others");

    printf("%-20s %-12s %-12s %7.1f %8" JSON_INTEGER_FORMAT
           " %7" JSON_INTEGER_FORMAT " %7" JSON_INTEGER_FORMAT " %8.1f  %s\n",
           ggw_ctl_string_member(rollout, "service"),
           ggw_ctl_string_member(rollout, "target"),
           ggw_ctl_string_member(rollout, "stage"),
           total > 0 ? 100.0 * (double)granted / (double)total : 0,
           get_count(rollout, "results"), get_count(rollout, "failed"),
           get_count(rollout, "slow"),
           json_number_value(json_object_get(rollout, "left_ms")) / 1000,
           ggw_ctl_string_member(rollout, "reason"));
}

static void
print_rollouts(const GArray *gateways, const char *team)
{
    g_autoptr(GHashTable) rollouts = collect(gateways);
    g_autoptr(GList) services =
        g_list_sort(g_hash_table_get_keys(rollouts), (GCompareFunc)strcmp);

    printf("%-20s %-12s %-12s %7s %8s %7s %7s %8s  %s\n", "SERVICE", "VERSION",
           "STAGE", "SHARE-%", "RESULTS", "FAILED", "SLOW", "LEFT-S",
           "REASON");
    for (GList *l = services; l != NULL; l = l->next) {
        print_rollout(g_hash_table_lookup(rollouts, l->data));
    }
}

int
ggw_ctl_rollouts(int argc, char **argv)
{
    static const struct ggw_ctl_usage usage = {
        .verb = "rollouts",
        .doc = "Print the roll-out of each service: its stage, what the new "
               "version has done, and why the stage was reached.",
        .option_groups = GGW_CTL_GATEWAY,
    };

    return ggw_ctl_print_status(&usage, argc, argv, print_rollouts);
}
