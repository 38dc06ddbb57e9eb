#include "rollouts/internal.h"

#include <math.h>
#include <string.h>

#include "config/vms.h"
#include "decide/rollout.h"

bool
ggw_rollout_equal_versions(char **a, char **b)
{
    return a == NULL || b == NULL
               ? a == b
               : g_strv_equal((const char *const *)a, (const char *const *)b);
}

static bool
is_allowed(const struct ggw_rollout *r, const char *version)
{
    bool target =
        g_strcmp0(r->state.target, version) == 0 && r->state.target != NULL;

    if (target || r->state.stage == GGW_ROLLOUT_SWITCHING ||
        r->state.stage == GGW_ROLLOUT_COMPLETED) {
        return target && r->state.stage != GGW_ROLLOUT_ROLLED_BACK;
    }
    return r->state.allowed == NULL ||
           (version != NULL &&
            g_strv_contains((const char *const *)r->state.allowed, version));
}

static bool
is_server_of(const struct ggw_rollout *r, const struct ggw_vm *vm)
{
    return vm->role == GGW_VM_BACKEND_SERVER &&
           strcmp(vm->team, r->team) == 0 && strcmp(vm->service, r->name) == 0;
}

/* The version that the last order or the current stage moves to, or NULL. */
static const char *
get_target(const struct ggw_rollout *r)
{
    return r->order.number > r->state.order ? r->order.target
                                            : r->state.target;
}

static void
set_gone(ggw_ms *gone_at, size_t servers, ggw_ms now)
{
    *gone_at = servers > 0 ? INFINITY : MIN(*gone_at, now);
}

void
ggw_rollout_count_servers(struct ggw_rollouts *p, struct ggw_rollout *r)
{
    struct ggw_rollout_servers *s = &r->servers;
    const char *target = get_target(r);
    const char *domain = NULL;

    s->target = s->others = s->allowed = s->domains = 0;
    for (size_t i = 0; p->vms != NULL && i < p->vms->len; i++) {
        const struct ggw_vm *vm = &p->vms->vms[i];

        if (!is_server_of(r, vm)) {
            continue;
        }
        s->allowed += r->known && is_allowed(r, vm->version);
        if (target == NULL || g_strcmp0(vm->version, target) != 0) {
            s->others++;
            continue;
        }
        s->target++;
        s->domains = domain == NULL                            ? 1
                     : strcmp(domain, vm->failure_domain) != 0 ? 2
                                                               : s->domains;
        domain = domain == NULL ? vm->failure_domain : domain;
    }
    set_gone(&s->others_gone_at, s->others, ggw_rollouts_now(p));
    set_gone(&s->allowed_gone_at, s->allowed, ggw_rollouts_now(p));
}

/* Tells the judge the failure domains of the servers of the new version. */
void
ggw_rollout_group_servers(struct ggw_rollouts *p, struct ggw_rollout *r)
{
    const char *target = get_target(r);

    for (size_t i = 0; p->vms != NULL && i < p->vms->len; i++) {
        const struct ggw_vm *vm = &p->vms->vms[i];

        if (is_server_of(r, vm) && target != NULL &&
            g_strcmp0(vm->version, target) == 0 && r->servers.domains > 1) {
            ggw_rollout_judge_group(r->judge, vm->name, vm->failure_domain);
        }
    }
}

/* Versions of the registered servers except @target; NULL for all. */
char **
ggw_rollout_list_versions(struct ggw_rollouts *p, const struct ggw_rollout *r,
                          const char *target)
{
    GPtrArray *versions = g_ptr_array_new();
    bool unstated = false;

    for (size_t i = 0; p->vms != NULL && i < p->vms->len; i++) {
        const struct ggw_vm *vm = &p->vms->vms[i];

        if (!is_server_of(r, vm) || g_strcmp0(vm->version, target) == 0) {
            continue;
        }
        unstated |= vm->version == NULL;
        if (vm->version != NULL &&
            !g_ptr_array_find_with_equal_func(versions, vm->version,
                                              g_str_equal, NULL)) {
            g_ptr_array_add(versions, g_strdup(vm->version));
        }
    }
    g_ptr_array_add(versions, NULL);
    if (unstated) {
        g_ptr_array_set_free_func(versions, g_free);
        g_ptr_array_unref(versions);
        return NULL;
    }
    return (char **)g_ptr_array_free(versions, FALSE);
}
