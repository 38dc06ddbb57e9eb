#include "decide/customer.h"

#include <glib.h>

enum ggw_identity
ggw_customer_identify(const struct ggw_tree *tree, bool is_public,
                      const char *const *keys, size_t len,
                      const struct ggw_customer_rule **customer)
{
    *customer = NULL;
    if (!tree->needs_key || is_public) {
        return GGW_IDENTITY_NOT_NEEDED;
    }
    if (len == 0) {
        return GGW_IDENTITY_NO_KEY;
    }
    if (len > 1) {
        return GGW_IDENTITY_REPEATED_KEY;
    }
    *customer = ggw_tree_customer_by_key(tree, keys[0]);
    return *customer != NULL ? GGW_IDENTITY_KNOWN : GGW_IDENTITY_UNKNOWN_KEY;
}

const char *
ggw_identity_reason(enum ggw_identity identity)
{
    static const char *const reasons[] = {
        [GGW_IDENTITY_NO_KEY] = "no-key",
        [GGW_IDENTITY_REPEATED_KEY] = "repeated-key",
        [GGW_IDENTITY_UNKNOWN_KEY] = "unknown-key",
    };

    return (size_t)identity < G_N_ELEMENTS(reasons) ? reasons[identity] : NULL;
}
