#include <stdio.h>
#include <string.h>

#include "ctl/args.h"
#include "ctl/blocking.h"
#include "ctl/ctl.h"
#include "ctl/server_list.h"
#include "ctl/verbs.h"

/*
 * Splits "HOST/PATH" at its first slash; the host is empty for
 * "/TEAM/SERVICE/PATH". Returns the path of the gateway's page that says where
 * such a request goes, or NULL without a slash.
 */
static char *
page_path(const char *method, const char *target)
{
    const char *slash = strchr(target, '/');
    g_autofree char *host_part = NULL;
    g_autofree char *host = NULL;
    g_autofree char *path = NULL;
    g_autofree char *verb = NULL;

    if (slash == NULL) {
        return NULL;
    }
    host_part = g_strndup(target, (gsize)(slash - target));
    host = g_uri_escape_string(host_part, NULL, FALSE);
    path = g_uri_escape_string(slash, NULL, FALSE);
    verb = g_uri_escape_string(method, NULL, FALSE);
    return g_strdup_printf("/-/route?method=%s&host=%s&path=%s", verb, host,
                           path);
}

/*
 * Reads a page of the gateway. Returns the exit status; @page is NULL if the
 * gateway has no such page.
 */
static int
read_page(const struct ggw_ctl_args *args, const char *path, json_t **page)
{
    struct ggw_blocking_request request = {
        .host = args->gateway.host,
        .port = args->gateway.port,
        .message = ggw_object_request_new(path, NULL, args->request_timeout),
    };
    const struct ggw_object_result *result = NULL;
    bool answered = false;

    if (ggw_blocking_run(&request, 1, NULL)) {
        result = (const struct ggw_object_result *)request.result;
        answered = result != NULL && result->status == GGW_PLATFORM_OK;
    }
    if (answered && result->body != NULL) {
        gsize len;
        const char *text = g_bytes_get_data(result->body, &len);

        *page = json_loadb(text, len, 0, NULL);
        answered = json_is_object(*page);
    }
    ggw_blocking_clear(&request, 1);
    if (!answered) {
        return ggw_ctl_fail(args, GGW_CTL_UNREACHABLE,
                            "gateway %s:%u gives no answer",
                            args->gateway.host, args->gateway.port);
    }
    return GGW_CTL_DONE;
}

static void
print_match(const json_t *page)
{
    const char *route = ggw_ctl_string_member(page, "route");
    const json_t *since = json_object_get(page, "since");

    if (*route != '\0') {
        printf("route %s: host %s, path %s\n", route,
               ggw_ctl_string_member(page, "host"),
               ggw_ctl_string_member(page, "path_prefix"));
    }
    else {
        printf("kind %s: path %s\n", ggw_ctl_string_member(page, "kind"),
               ggw_ctl_string_member(page, "path_prefix"));
    }
    printf("team %s, revision %" JSON_INTEGER_FORMAT,
           ggw_ctl_string_member(page, "team"),
           json_integer_value(json_object_get(page, "revision")));
    if (since != NULL) {
        printf(", unchanged since revision %" JSON_INTEGER_FORMAT "%s",
               json_integer_value(since),
               json_is_true(json_object_get(page, "or_earlier"))
                   ? " or earlier"
                   : "");
    }
    printf("\n%s, at most %" JSON_INTEGER_FORMAT
           " attempts within %" JSON_INTEGER_FORMAT " ms\n",
           ggw_ctl_string_member(page, "idempotency"),
           json_integer_value(json_object_get(page, "attempts")),
           json_integer_value(json_object_get(page, "timeout_ms")));
}

static void
print_service(const json_t *service)
{
    const json_t *server;
    size_t i;

    printf("\nservice %s, weight %" JSON_INTEGER_FORMAT "%s\n",
           ggw_ctl_string_member(service, "service"),
           json_integer_value(json_object_get(service, "weight")),
           json_is_true(json_object_get(service, "exists"))
               ? ""
               : ": not in the settings");
    ggw_ctl_print_server_titles();
    json_array_foreach(json_object_get(service, "backend_servers"), i, server)
    {
        ggw_ctl_print_server(server);
    }
}

int
ggw_ctl_route(int argc, char **argv)
{
    static const struct ggw_ctl_usage usage = {
        .verb = "route",
        .operands = "METHOD HOST/PATH",
        .operands_len = 2,
        .doc = "Print which route or kind matches a request, since which "
               "revision, and the backend servers of its services. Without "
               "HOST, PATH is /TEAM/SERVICE/REST.",
        .option_groups = GGW_CTL_GATEWAY | GGW_CTL_TEAM_FILTER,
    };
    struct ggw_ctl_args args;
    g_autofree char *path = NULL;
    json_t *page = NULL;
    const json_t *service;
    size_t i;
    int status;

    ggw_ctl_parse(&usage, argc, argv, &args);
    path = page_path(args.operands[0], args.operands[1]);
    if (path == NULL) {
        return ggw_ctl_fail(&args, GGW_CTL_REFUSED, "\"%s\" has no path",
                            args.operands[1]);
    }
    status = read_page(&args, path, &page);
    if (page != NULL && args.team != NULL &&
        strcmp(args.team, ggw_ctl_string_member(page, "team")) != 0) {
        json_decref(page);
        page = NULL;
    }
    if (status == GGW_CTL_DONE && page == NULL) {
        status =
            ggw_ctl_fail(&args, GGW_CTL_REFUSED, "no route%s%s matches %s %s",
                         args.team != NULL ? " of team " : "",
                         args.team != NULL ? args.team : "", args.operands[0],
                         args.operands[1]);
    }
    if (status == GGW_CTL_DONE) {
        print_match(page);
        json_array_foreach(json_object_get(page, "services"), i, service)
        {
            print_service(service);
        }
    }
    json_decref(page);
    return status;
}
