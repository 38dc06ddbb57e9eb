#ifndef GGW_DECIDE_CUSTOMER_H
#define GGW_DECIDE_CUSTOMER_H

#include <stdbool.h>
#include <stddef.h>

#include "config/tree.h"

/**
 * DOC: Which customer sent a request
 *
 * Decided anew for each request, so that a connection keeps no identity. The
 * settings are those in force when the request is handled.
 */

/**
 * enum ggw_identity - result of the check of a request's key
 * @GGW_IDENTITY_NOT_NEEDED: the request needs no key; a key that it has is
 *                           ignored
 * @GGW_IDENTITY_KNOWN: the key is one of a customer
 * @GGW_IDENTITY_NO_KEY: the request has no key
 * @GGW_IDENTITY_REPEATED_KEY: the request has more than one key
 * @GGW_IDENTITY_UNKNOWN_KEY: no customer has the key
 */
enum ggw_identity {
    GGW_IDENTITY_NOT_NEEDED,
    GGW_IDENTITY_KNOWN,
    GGW_IDENTITY_NO_KEY,
    GGW_IDENTITY_REPEATED_KEY,
    GGW_IDENTITY_UNKNOWN_KEY,
};

/**
 * ggw_customer_identify() - find the customer that sent a request
 * @tree: settings in force
 * @is_public: the route of the request is public
 * @keys: values of the headers that hold a key, in the order of the request
 * @len: number of @keys
 * @customer: set to the customer for GGW_IDENTITY_KNOWN, otherwise to NULL;
 *            part of @tree
 */
enum ggw_identity
ggw_customer_identify(const struct ggw_tree *tree, bool is_public,
                      const char *const *keys, size_t len,
                      const struct ggw_customer_rule **customer);

/**
 * ggw_identity_reason() - get the reason for which a request is refused
 *
 * Return: static text, or NULL if the request is not refused.
 */
const char *ggw_identity_reason(enum ggw_identity identity);

#endif
