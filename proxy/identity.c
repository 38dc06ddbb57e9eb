#include "decide/customer.h"
#include "proxy/events.h"
#include "proxy/headers.h"
#include "proxy/state.h"

/* Which customer sent a request, and the refusal if none is known. */

/*
 * Finds the customer of a request. Refuses the request and returns false if it
 * needs a key of a customer and has none.
 * @route: name of the route or kind, for the log
 */
bool
ggw_request_identify(struct ggw_proxy *proxy, struct ggw_exchange *x,
                     const struct ggw_tree *tree, bool is_public,
                     const char *route,
                     const struct ggw_customer_rule **customer)
{
    const struct ggw_dialect *dialect = proxy->options.dialect;
    g_autoptr(GPtrArray) keys = NULL;
    g_autofree char *id = NULL;
    const char *reason;

    *customer = NULL;
    if (!tree->needs_key) {
        return true;
    }
    keys = ggw_headers_find_all(x->req, dialect->customer_key);
    reason = ggw_identity_reason(ggw_customer_identify(
        tree, is_public, (const char *const *)keys->pdata, keys->len,
        customer));
    if (reason == NULL) {
        return true;
    }
    id = dialect->id_from_client
             ? ggw_headers_find(x->req, dialect->attempt_id)
             : NULL;
    ggw_proxy_log_key_refused(id, route, reason, tree->revision);
    /* RFC 9110, section 15.5.2, requires a challenge. */
    h2o_add_header_by_str(&x->req->pool, &x->req->res.headers,
                          H2O_STRLIT("www-authenticate"), 1, NULL,
                          H2O_STRLIT("Greengageway-Key"));
    ggw_request_refuse(x, 401, reason, 0);
    return false;
}
