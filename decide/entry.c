#include "decide/entry.h"

#include <string.h>

#include "decide/capacity.h"

/* Share of all gateways' processor time that suffices for all clients. */
#define MIN_CPU_SHARE (1.0 / 6)

static void
add_alive(GPtrArray *out, const GArray *members, const char *domain)
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

/* Assumed for gateways with unknown processor time, percent of a core. */
#define DEFAULT_CPU_PERCENT 100

static int
cpu_percent_of(const struct ggw_member *m)
{
    return m->capacity.cpu_percent > 0 ? m->capacity.cpu_percent
                                       : DEFAULT_CPU_PERCENT;
}

/*
 * Removes the gateways with slow links if the others have enough processor
 * time for all clients. Clients wait less at the others, and with fewer
 * gateways a larger part of the connections stays in use.
 */
static void
drop_slow_links(GPtrArray *picked, int fastest)
{
    int all = 0;
    int fast = 0;

    for (guint i = 0; i < picked->len; i++) {
        const struct ggw_member *m = g_ptr_array_index(picked, i);

        all += cpu_percent_of(m);
        fast += ggw_capacity_is_fast(m, fastest) ? cpu_percent_of(m) : 0;
    }
    if (fast < MIN_CPU_SHARE * all) {
        return;
    }
    for (guint i = picked->len; i > 0; i--) {
        if (!ggw_capacity_is_fast(g_ptr_array_index(picked, i - 1), fastest)) {
            g_ptr_array_remove_index(picked, i - 1);
        }
    }
}

GPtrArray *
ggw_entry_pick(const GArray *members, const char *domain)
{
    GPtrArray *out = g_ptr_array_new();

    if (domain != NULL) {
        add_alive(out, members, domain);
    }
    if (out->len == 0) {
        domain = NULL;
        add_alive(out, members, NULL);
    }
    drop_slow_links(
        out, ggw_capacity_max_link((const struct ggw_member *)members->data,
                                   members->len, domain));
    return out;
}
