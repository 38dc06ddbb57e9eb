#include "decide/entry.h"

#include <string.h>

#include "decide/capacity.h"

/* Part of the processor time that gateways need to carry all clients. */
#define CPU_PART (1.0 / 6)

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

/* Gateways that do not say how much processor time they have count alike. */
#define CPU_UNKNOWN 100

static int
cpu_of(const struct ggw_member *m)
{
    return m->capacity.cpu_percent > 0 ? m->capacity.cpu_percent : CPU_UNKNOWN;
}

/*
 * Drops the gateways with thin links if the others can carry all: clients
 * wait less there, and fewer gateways keep more connections in use.
 */
static void
drop_slow(GPtrArray *picked, int fastest)
{
    int all = 0;
    int fast = 0;

    for (guint i = 0; i < picked->len; i++) {
        const struct ggw_member *m = g_ptr_array_index(picked, i);

        all += cpu_of(m);
        fast += ggw_capacity_is_fast(m, fastest) ? cpu_of(m) : 0;
    }
    if (fast < CPU_PART * all) {
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
        add(out, members, domain);
    }
    if (out->len == 0) {
        domain = NULL;
        add(out, members, NULL);
    }
    drop_slow(out,
              ggw_capacity_max_link((const struct ggw_member *)members->data,
                                    members->len, domain));
    return out;
}
