#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"
#include "ctl/server_list.h"
#include "ctl/status.h"
#include "ctl/verbs.h"

static void
print_revisions(const struct ggw_gateway_status *g, const char *team)
{
    json_t *revisions = json_object_get(g->page, "revisions");
    const char *name;
    json_t *revision;
    bool any = false;

    json_object_foreach(revisions, name, revision)
    {
        if (team == NULL || strcmp(team, name) == 0) {
            printf("%s%s=%" JSON_INTEGER_FORMAT, any ? "," : "", name,
                   json_integer_value(revision));
            any = true;
        }
    }
    puts(any ? "" : "none");
}

static void
print_gateways(const GArray *gateways, const char *team)
{
    printf("%-20s %-16s %-21s %-10s %s\n", "GATEWAY", "FAILURE-DOMAIN",
           "ADDRESS", "STATE", "REVISIONS");
    for (guint i = 0; i < gateways->len; i++) {
        const struct ggw_gateway_status *g =
            &g_array_index(gateways, struct ggw_gateway_status, i);

        printf("%-20s %-16s %-21s %-10s ", g->name, g->failure_domain,
               g->address, g->state);
        if (g->page == NULL) {
            puts("no answer");
        }
        else {
            print_revisions(g, team);
        }
    }
}

/* Whether the server itself has said that it wants no requests. */
static bool
has_backed_off(const json_t *server)
{
    const char *state = ggw_ctl_string_member(server, "state");

    return strcmp(state, "live") != 0 && strcmp(state, "leaving") != 0;
}

/*
 * Maps the names of the servers that have told any gateway that they want no
 * requests to what that gateway's page says of them. A server tells gateways
 * one by one.
 */
static GHashTable *
collect_backed_off(const GArray *gateways)
{
    GHashTable *servers = g_hash_table_new(g_str_hash, g_str_equal);

    for (guint i = 0; i < gateways->len; i++) {
        json_t *server;
        size_t j;

        json_array_foreach(
            ggw_gateway_page_member(gateways, i, "backend_servers"), j, server)
        {
            if (has_backed_off(server)) {
                g_hash_table_replace(
                    servers, (char *)ggw_ctl_string_member(server, "name"),
                    server);
            }
        }
    }
    return servers;
}

/*
 * Prints the backend servers that the first gateway with a page reports. What
 * a server has said to another gateway goes before.
 */
static void
print_servers(const GArray *gateways, const char *team)
{
    g_autoptr(GHashTable) backed_off = collect_backed_off(gateways);
    const json_t *servers = NULL, *server;
    size_t i;

    for (guint j = 0; j < gateways->len && servers == NULL; j++) {
        servers = ggw_gateway_page_member(gateways, j, "backend_servers");
    }
    puts("");
    ggw_ctl_print_server_titles();
    json_array_foreach(servers, i, server)
    {
        if (team == NULL ||
            strcmp(ggw_ctl_string_member(server, "team"), team) == 0) {
            const json_t *told = g_hash_table_lookup(
                backed_off, ggw_ctl_string_member(server, "name"));

            ggw_ctl_print_server(told != NULL ? told : server);
        }
    }
}

static void
print_status(const GArray *gateways, const char *team)
{
    print_gateways(gateways, team);
    print_servers(gateways, team);
}

int
ggw_ctl_status(int argc, char **argv)
{
    static const struct ggw_ctl_usage usage = {
        .verb = "status",
        .doc = "Print the state and the revisions of every gateway, and the "
               "backend servers.",
        .option_groups = GGW_CTL_GATEWAY | GGW_CTL_TEAM_FILTER,
    };

    return ggw_ctl_print_status(&usage, argc, argv, print_status);
}

int
ggw_ctl_wait(int argc, char **argv)
{
    static const struct ggw_ctl_usage usage = {
        .verb = "wait",
        .operands = "REVISION",
        .operands_len = 1,
        .doc = "Wait until every alive gateway reports at least REVISION.",
        .option_groups = GGW_CTL_GATEWAY | GGW_CTL_TEAM,
    };
    struct ggw_ctl_args args;
    guint64 revision;

    ggw_ctl_parse(&usage, argc, argv, &args);
    if (!g_ascii_string_to_unsigned(args.operands[0], 10, 1, G_MAXINT64,
                                    &revision, NULL)) {
        return ggw_ctl_fail(&args, GGW_CTL_REFUSED, "\"%s\" is not a revision",
                            args.operands[0]);
    }
    return ggw_ctl_wait_for(&args, revision);
}
