#ifndef GGW_CTL_SERVER_LIST_H
#define GGW_CTL_SERVER_LIST_H

#include <jansson.h>

/* How verbs print backend servers: one line each, under a line of titles. */

/* Returns a string member of an object on a gateway's page; "" if absent. */
const char *ggw_ctl_string_member(const json_t *object, const char *name);

void ggw_ctl_print_server_titles(void);

/* Prints one server of a gateway's page. */
void ggw_ctl_print_server(const json_t *server);

#endif
