#include "decide/domain_holds.h"

/**
 * struct ggw_domain_hold - a change that has not taken effect
 * @out: the store says that the failure domain is out of service
 * @until: when the change takes effect, monotonic ms
 */
struct ggw_domain_hold {
    bool out;
    ggw_ms until;
};

void
ggw_domain_holds_init(struct ggw_domain_holds *h)
{
    h->held = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
ggw_domain_holds_clear(struct ggw_domain_holds *h)
{
    g_clear_pointer(&h->held, g_hash_table_unref);
}

bool
ggw_domain_holds_note(struct ggw_domain_holds *h, const char *domain, bool out,
                      bool in_force, bool returned, ggw_ms now)
{
    struct ggw_domain_hold hold = {.out = out,
                                   .until = now + GGW_DOMAIN_HOLD_MS};

    if (!returned || out == in_force) {
        g_hash_table_remove(h->held, domain);
        return true;
    }
    g_hash_table_insert(h->held, g_strdup(domain),
                        g_memdup2(&hold, sizeof(hold)));
    return false;
}

char *
ggw_domain_holds_take(struct ggw_domain_holds *h, bool *out, ggw_ms now)
{
    GHashTableIter iter;
    gpointer domain;
    gpointer value;

    g_hash_table_iter_init(&iter, h->held);
    while (g_hash_table_iter_next(&iter, &domain, &value)) {
        const struct ggw_domain_hold *hold = value;

        if (hold->until <= now) {
            char *name = g_strdup(domain);

            *out = hold->out;
            g_hash_table_iter_remove(&iter);
            return name;
        }
    }
    return NULL;
}
