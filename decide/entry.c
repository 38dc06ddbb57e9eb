#include "decide/entry.h"

#include <string.h>

static void
add(GPtrArray *out, const GArray *members, const char *domain)
{
    for (guint i = 0; i < members->len; i++) {
        const struct ggw_member *m =
            &g_array_index(members, struct ggw_member, i);

        if (m->state == GGW_MEMBER_ALIVE &&
            (domain == NULL || strcmp(m->failure_domain, domain) == 0)) {
            g_ptr_array_add(out, (gpointer)m);
        }
    }
}

GPtrArray *
ggw_entry_pick(const GArray *members, const char *domain)
{
    GPtrArray *out = g_ptr_array_new();

    if (domain != NULL) {
        add(out, members, domain);
    }
    if (out->len == 0) {
        add(out, members, NULL);
    }
    return out;
}
