#include "slots/slots.h"

#include <string.h>

#include "config/config.h"
#include "config/vms.h"

/* Refused requests are told to come back after this time. */
#define RETRY_AFTER 100.0

struct grant {
    uint64_t id;
    char *vm;
};

struct priv {
    struct ggw_service base;
    GHashTable *trees; /* team to struct ggw_tree */
    struct ggw_vm_list *vms;
    GHashTable *in_flight; /* name of a server to its count */
    GHashTable *grants;    /* id to struct grant */
    GQueue waiters;        /* of struct ggw_slot_request */
    uint64_t next_grant;
};

static void
grant_free(gpointer data)
{
    struct grant *g = data;

    g_free(g->vm);
    g_free(g);
}

static int
count_of(struct priv *p, const char *vm)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(p->in_flight, vm));
}

static void
count_add(struct priv *p, const char *vm, int n)
{
    g_hash_table_insert(p->in_flight, g_strdup(vm),
                        GINT_TO_POINTER(count_of(p, vm) + n));
}

static bool
usable(const struct ggw_tree *tree, const struct ggw_vm *vm,
       const struct ggw_slot_request *r)
{
    return vm->role == GGW_VM_BACKEND_SERVER && !vm->leaving &&
           strcmp(vm->team, r->team) == 0 &&
           strcmp(vm->service, r->service) == 0 &&
           !ggw_tree_server_draining(tree, vm->name) &&
           !ggw_tree_domain_out(tree, vm->failure_domain) &&
           (r->avoid == NULL ||
            !g_strv_contains((const char *const *)r->avoid, vm->name));
}

/* Sets @any when a server may take new work, even if it is full now. */
static const struct ggw_vm *
pick(struct priv *p, const struct ggw_slot_request *r, bool *any)
{
    const struct ggw_tree *tree = g_hash_table_lookup(p->trees, r->team);
    const struct ggw_service_rule *rule =
        tree != NULL ? ggw_tree_service(tree, r->service) : NULL;
    const struct ggw_vm *best = NULL;

    *any = false;
    if (rule == NULL || p->vms == NULL) {
        return NULL;
    }
    for (size_t i = 0; i < p->vms->len; i++) {
        const struct ggw_vm *vm = &p->vms->vms[i];

        if (!usable(tree, vm, r)) {
            continue;
        }
        *any = true;
        if (count_of(p, vm->name) < rule->slots &&
            (best == NULL ||
             count_of(p, vm->name) < count_of(p, best->name))) {
            best = vm;
        }
    }
    return best;
}

static void
send_grant(struct priv *p, const struct ggw_slot_request *r,
           const struct ggw_vm *vm)
{
    struct grant *g = g_new0(struct grant, 1);
    const struct ggw_tree *tree = g_hash_table_lookup(p->trees, r->team);

    g->id = ++p->next_grant;
    g->vm = g_strdup(vm->name);
    g_hash_table_insert(p->grants, &g->id, g);
    count_add(p, vm->name, 1);
    ggw_kernel_reply(
        &p->base, &r->base,
        ggw_slot_grant_new(g->id, vm->name, vm->failure_domain, vm->host,
                           vm->port,
                           ggw_tree_service(tree, r->service)->connections));
}

/* Answers a request if that is possible now. */
static bool
try_answer(struct priv *p, const struct ggw_slot_request *r)
{
    bool any;
    const struct ggw_vm *vm = pick(p, r, &any);

    if (ggw_kernel_now(p->base.kernel) >= r->deadline) {
        ggw_kernel_reply(&p->base, &r->base,
                         ggw_slot_refuse_new(GGW_SLOT_TOO_LATE, RETRY_AFTER));
    }
    else if (vm != NULL) {
        send_grant(p, r, vm);
    }
    else if (!any) {
        ggw_kernel_reply(&p->base, &r->base,
                         ggw_slot_refuse_new(GGW_SLOT_NO_SERVER, RETRY_AFTER));
    }
    else {
        return false;
    }
    return true;
}

static struct ggw_slot_request *
copy_request(const struct ggw_slot_request *r)
{
    struct ggw_slot_request *copy =
        (struct ggw_slot_request *)ggw_slot_request_new(
            r->team, r->service, r->priority, r->deadline, r->avoid);

    copy->base.from = r->base.from;
    copy->base.tag = r->base.tag;
    return copy;
}

static void
drop_waiter(struct priv *p, GList *link)
{
    struct ggw_slot_request *r = link->data;

    g_queue_delete_link(&p->waiters, link);
    r->base.ops->destroy(&r->base);
}

static void
serve_waiters(struct priv *p)
{
    GList *next;

    for (GList *l = p->waiters.head; l != NULL; l = next) {
        next = l->next;
        if (try_answer(p, l->data)) {
            drop_waiter(p, l);
        }
    }
}

static void
on_request(struct priv *p, const struct ggw_slot_request *r)
{
    if (!try_answer(p, r)) {
        g_queue_push_tail(&p->waiters, copy_request(r));
    }
}

static void
on_release(struct priv *p, const struct ggw_slot_release *r)
{
    struct grant *g = g_hash_table_lookup(p->grants, &r->grant);

    if (g != NULL) {
        count_add(p, g->vm, -1);
        g_hash_table_remove(p->grants, &r->grant);
        serve_waiters(p);
    }
}

static void
on_cancel(struct priv *p, const struct ggw_message *m)
{
    for (GList *l = p->waiters.head; l != NULL; l = l->next) {
        struct ggw_slot_request *r = l->data;

        if (r->base.tag == m->tag && r->base.from == m->from) {
            drop_waiter(p, l);
            return;
        }
    }
}

static void
receive(struct ggw_service *service, struct ggw_message *message)
{
    struct priv *p = (struct priv *)service;

    if (message->ops == &ggw_slot_request_ops) {
        on_request(p, (struct ggw_slot_request *)message);
    }
    else if (message->ops == &ggw_slot_release_ops) {
        on_release(p, (struct ggw_slot_release *)message);
    }
    else if (message->ops == &ggw_slot_cancel_ops) {
        on_cancel(p, message);
    }
    else if (message->ops == &ggw_vms_changed_ops) {
        g_clear_pointer(&p->vms, ggw_vm_list_unref);
        p->vms = ggw_vm_list_ref(((struct ggw_vms_changed *)message)->list);
        serve_waiters(p);
    }
    else if (message->ops == &ggw_config_in_force_ops) {
        struct ggw_tree *t = ((struct ggw_config_in_force *)message)->tree;

        g_hash_table_replace(p->trees, t->team, ggw_tree_ref(t));
        serve_waiters(p);
    }
}

static void
destroy(struct ggw_service *service)
{
    struct priv *p = (struct priv *)service;

    while (p->waiters.head != NULL) {
        drop_waiter(p, p->waiters.head);
    }
    g_hash_table_destroy(p->trees);
    g_hash_table_destroy(p->grants);
    g_hash_table_destroy(p->in_flight);
    g_clear_pointer(&p->vms, ggw_vm_list_unref);
    g_free(p);
}

static const struct ggw_service_ops slots_ops = {
    .name = "slots",
    .receive = receive,
    .destroy = destroy,
};

struct ggw_service *
ggw_slots_service_new(const char *self, const char *failure_domain,
                      uint32_t seed)
{
    struct priv *p = g_new0(struct priv, 1);

    p->base.ops = &slots_ops;
    p->trees = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                     (GDestroyNotify)ggw_tree_unref);
    p->in_flight =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    p->grants =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, grant_free);
    g_queue_init(&p->waiters);
    return &p->base;
}
