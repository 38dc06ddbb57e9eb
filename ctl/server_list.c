#include "ctl/server_list.h"

#include <stdio.h>

const char *
ggw_ctl_string_member(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));

    return text != NULL ? text : "";
}

void
ggw_ctl_print_server_titles(void)
{
    printf("%-20s %-16s %-16s %-16s %s\n", "BACKEND-SERVER", "TEAM", "SERVICE",
           "FAILURE-DOMAIN", "STATE");
}

void
ggw_ctl_print_server(const json_t *server)
{
    const json_t *left = json_object_get(server, "pause_left_ms");

    printf("%-20s %-16s %-16s %-16s %s", ggw_ctl_string_member(server, "name"),
           ggw_ctl_string_member(server, "team"),
           ggw_ctl_string_member(server, "service"),
           ggw_ctl_string_member(server, "failure_domain"),
           ggw_ctl_string_member(server, "state"));
    if (left != NULL) {
        printf(", %" JSON_INTEGER_FORMAT " ms left", json_integer_value(left));
    }
    puts("");
}
