#ifndef GGW_STANDINS_CLIENT_GATEWAY_LIST_H
#define GGW_STANDINS_CLIENT_GATEWAY_LIST_H

#include <glib.h>
#include <stdbool.h>

#include "kernel/clock.h"

/**
 * DOC: addresses of gateways, as a client keeps them
 *
 * Taken from the last entry page. Those of the client's own failure domain
 * come first and are used alone while there are any.
 */

struct gateway_list;

/**
 * gateway_list_new() - create an empty list
 * @seeds: addresses to use while the list is empty; NULL-terminated, at least
 *         one
 * @failure_domain: the client's own
 *
 * The arguments must stay valid as long as the list.
 */
struct gateway_list *gateway_list_new(char **seeds,
                                      const char *failure_domain);

/**
 * gateway_list_parse() - replace the addresses by those of an entry page
 * @body: the page
 * @len: length of @body in bytes
 * @keep: set to the time for which the page is valid, in ms; 0 if it has none
 *
 * Return: false, with the list unchanged, when the page has no addresses.
 */
bool gateway_list_parse(struct gateway_list *list, const char *body, gsize len,
                        ggw_ms *keep);

/* Returns the next address in round-robin order. */
const char *gateway_list_next(struct gateway_list *list);

/* Returns the seed with this number, counted round. */
const char *gateway_list_seed(const struct gateway_list *list, guint number);

/* Removes an address until the entry page next lists it. */
void gateway_list_remove(struct gateway_list *list, const char *address);

/* Number of addresses that are known beside the seeds. */
guint gateway_list_len(const struct gateway_list *list);

#endif
