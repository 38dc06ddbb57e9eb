#include "ctl/status.h"

#include <stdio.h>
#include <string.h>

#include "ctl/blocking.h"
#include "ctl/ctl.h"

/* Pause between two reads of all status pages, in us. */
#define POLL_INTERVAL_US 100000

static void
clear_gateway(void *item)
{
    struct ggw_gateway_status *g = item;

    g_free(g->name);
    g_free(g->failure_domain);
    g_free(g->address);
    g_free(g->pages_address);
    g_free(g->state);
    json_decref(g->page);
}

/* Parses the status page in a result; NULL when there is no valid one. */
static json_t *
parse_page(const struct ggw_blocking_request *request)
{
    const struct ggw_object_result *result =
        (const struct ggw_object_result *)request->result;
    const char *text;
    json_t *page;
    size_t len;

    if (result == NULL || result->status != GGW_PLATFORM_OK ||
        result->body == NULL) {
        return NULL;
    }
    text = g_bytes_get_data(result->body, &len);
    page = json_loadb(text, len, 0, NULL);
    if (!json_is_object(page)) {
        json_decref(page);
        return NULL;
    }
    return page;
}

static struct ggw_blocking_request
page_request(const struct ggw_ctl_args *args,
             const struct ggw_address *address)
{
    return (struct ggw_blocking_request){
        .host = address->host,
        .port = address->port,
        .message =
            ggw_object_request_new("/-/status", NULL, args->request_timeout),
    };
}

static json_t *
read_page(const struct ggw_ctl_args *args)
{
    struct ggw_blocking_request request = page_request(args, &args->gateway);
    json_t *page = NULL;

    if (ggw_blocking_run(&request, 1, NULL)) {
        page = parse_page(&request);
    }
    ggw_blocking_clear(&request, 1);
    return page;
}

static char *
member_text(const json_t *member, const char *name)
{
    const char *text = json_string_value(json_object_get(member, name));

    return g_strdup(text != NULL ? text : "");
}

/* Gateways of earlier versions state no other address than that of clients. */
static char *
pages_address(const json_t *member)
{
    return member_text(member, json_object_get(member, "pages") != NULL
                                   ? "pages"
                                   : "address");
}

static GArray *
list_members(const json_t *page)
{
    GArray *gateways =
        g_array_new(FALSE, TRUE, sizeof(struct ggw_gateway_status));
    const json_t *member;
    size_t i;

    g_array_set_clear_func(gateways, clear_gateway);
    json_array_foreach(json_object_get(page, "members"), i, member)
    {
        struct ggw_gateway_status g = {
            .name = member_text(member, "name"),
            .failure_domain = member_text(member, "failure_domain"),
            .address = member_text(member, "address"),
            .pages_address = pages_address(member),
            .state = member_text(member, "state"),
        };

        g_array_append_val(gateways, g);
    }
    return gateways;
}

/*
 * Reads the status page of each gateway that is not dead. The address of a
 * dead gateway may meanwhile belong to another program.
 */
static void
read_pages(const struct ggw_ctl_args *args, GArray *gateways)
{
    guint n = gateways->len;
    struct ggw_blocking_request *requests =
        g_new0(struct ggw_blocking_request, n + 1);
    struct ggw_address *addresses = g_new0(struct ggw_address, n + 1);
    guint *indexes = g_new0(guint, n + 1);
    size_t len = 0;

    for (guint i = 0; i < n; i++) {
        const struct ggw_gateway_status *g =
            &g_array_index(gateways, struct ggw_gateway_status, i);

        if (strcmp(g->state, "dead") != 0 &&
            ggw_address_parse(g->pages_address, &addresses[len], NULL)) {
            requests[len] = page_request(args, &addresses[len]);
            indexes[len++] = i;
        }
    }
    if (ggw_blocking_run(requests, len, NULL)) {
        for (size_t i = 0; i < len; i++) {
            struct ggw_gateway_status *g = &g_array_index(
                gateways, struct ggw_gateway_status, indexes[i]);

            g->page = parse_page(&requests[i]);
        }
    }
    ggw_blocking_clear(requests, len);
    g_free(requests);
    g_free(addresses);
    g_free(indexes);
}

GArray *
ggw_ctl_collect_status(const struct ggw_ctl_args *args)
{
    json_t *page = read_page(args);
    GArray *gateways;

    if (page == NULL) {
        return NULL;
    }
    gateways = list_members(page);
    json_decref(page);
    read_pages(args, gateways);
    return gateways;
}

int
ggw_ctl_print_status(const struct ggw_ctl_usage *usage, int argc, char **argv,
                     void (*print)(const GArray *gateways, const char *team))
{
    struct ggw_ctl_args args;
    GArray *gateways;

    ggw_ctl_parse(usage, argc, argv, &args);
    gateways = ggw_ctl_collect_status(&args);
    if (gateways == NULL) {
        return ggw_ctl_fail(&args, GGW_CTL_UNREACHABLE,
                            "gateway %s:%u gives no answer", args.gateway.host,
                            args.gateway.port);
    }
    print(gateways, args.team);
    g_array_unref(gateways);
    return GGW_CTL_DONE;
}

json_t *
ggw_gateway_page_member(const GArray *gateways, guint i, const char *name)
{
    return json_object_get(
        g_array_index(gateways, struct ggw_gateway_status, i).page, name);
}

uint64_t
ggw_gateway_revision(const struct ggw_gateway_status *gateway,
                     const char *team)
{
    const json_t *revisions = json_object_get(gateway->page, "revisions");

    return (uint64_t)json_integer_value(json_object_get(revisions, team));
}

/* Lists the alive gateways that lack a revision; "" when all have it. */
static GString *
describe_lagging(const struct ggw_ctl_args *args, GArray *gateways,
                 uint64_t revision)
{
    GString *text = g_string_new(NULL);

    for (guint i = 0; i < gateways->len; i++) {
        const struct ggw_gateway_status *g =
            &g_array_index(gateways, struct ggw_gateway_status, i);
        uint64_t has = ggw_gateway_revision(g, args->team);

        if (strcmp(g->state, "alive") != 0 || has >= revision) {
            continue;
        }
        g_string_append_printf(text, "%s%s ", text->len > 0 ? ", " : "",
                               g->name);
        if (g->page == NULL) {
            g_string_append(text, "gives no answer");
        }
        else {
            g_string_append_printf(text, "has %" G_GUINT64_FORMAT,
                                   (guint64)has);
        }
    }
    return text;
}

int
ggw_ctl_wait_for(const struct ggw_ctl_args *args, uint64_t revision)
{
    gint64 deadline = g_get_monotonic_time() + (gint64)(args->timeout * 1000);
    g_autofree char *reason = NULL;

    for (;;) {
        GArray *gateways = ggw_ctl_collect_status(args);
        GString *text;
        guint n = gateways != NULL ? gateways->len : 0;

        if (n == 0) {
            text = g_string_new(NULL);
            g_string_printf(text, "gateway %s:%u gives no answer",
                            args->gateway.host, args->gateway.port);
        }
        else {
            text = describe_lagging(args, gateways, revision);
        }
        g_clear_pointer(&gateways, g_array_unref);
        g_free(reason);
        reason = g_string_free(text, FALSE);
        if (*reason == '\0') {
            printf("%s: every gateway has revision %" G_GUINT64_FORMAT "\n",
                   args->team, (guint64)revision);
            return GGW_CTL_DONE;
        }
        if (g_get_monotonic_time() >= deadline) {
            break;
        }
        g_usleep(POLL_INTERVAL_US);
    }
    return ggw_ctl_fail(args, GGW_CTL_UNREACHABLE,
                        "revision %" G_GUINT64_FORMAT
                        " is not on every gateway: %s",
                        (guint64)revision, reason);
}
