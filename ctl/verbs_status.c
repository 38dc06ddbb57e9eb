#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"
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
print_gateways(GArray *gateways, const char *team)
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

static const char *
string_member(const json_t *server, const char *name)
{
    const char *text = json_string_value(json_object_get(server, name));

    return text != NULL ? text : "";
}

/* Prints the backend servers that the first gateway with a page reports. */
static void
print_servers(GArray *gateways, const char *team)
{
    const json_t *servers = NULL, *server;
    size_t i;

    for (guint j = 0; j < gateways->len && servers == NULL; j++) {
        servers = json_object_get(
            g_array_index(gateways, struct ggw_gateway_status, j).page,
            "backend_servers");
    }
    printf("\n%-20s %-16s %-16s %-16s %s\n", "BACKEND-SERVER", "TEAM",
           "SERVICE", "FAILURE-DOMAIN", "STATE");
    json_array_foreach(servers, i, server)
    {
        if (team == NULL || strcmp(string_member(server, "team"), team) == 0) {
            printf("%-20s %-16s %-16s %-16s %s\n",
                   string_member(server, "name"),
                   string_member(server, "team"),
                   string_member(server, "service"),
                   string_member(server, "failure_domain"),
                   string_member(server, "state"));
        }
    }
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
    struct ggw_ctl_args args;
    GArray *gateways;

    ggw_ctl_parse(&usage, argc, argv, &args);
    gateways = ggw_ctl_collect_status(&args);
    if (gateways == NULL) {
        return ggw_ctl_fail(&args, GGW_CTL_UNREACHABLE,
                            "gateway %s:%u gives no answer", args.gateway.host,
                            args.gateway.port);
    }
    print_gateways(gateways, args.team);
    print_servers(gateways, args.team);
    g_array_unref(gateways);
    return GGW_CTL_DONE;
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
