/*
 * Weak stand-ins for messages and settings whose modules are not merged yet;
 * the real ones replace them at link time.
 */
#include <string.h>

#include "claims/claims.h"
#include "config/config.h"
#include "config/vms.h"
#include "peers/peers.h"

#define WEAK __attribute__((weak))

static void
claim_request_destroy(struct ggw_message *message)
{
    struct ggw_claim_request *m = (struct ggw_claim_request *)message;

    g_free(m->team);
    g_free(m->service);
    g_free(m->order);
    g_free(m);
}

static void
plain_destroy(struct ggw_message *message)
{
    g_free(message);
}

WEAK const struct ggw_message_ops ggw_claim_request_ops = {
    .name = "CLAIM_REQUEST", .destroy = claim_request_destroy};
WEAK const struct ggw_message_ops ggw_claim_result_ops = {
    .name = "CLAIM_RESULT", .destroy = plain_destroy};
WEAK const struct ggw_message_ops ggw_claim_settle_ops = {
    .name = "CLAIM_SETTLE", .destroy = plain_destroy};

WEAK struct ggw_message *
ggw_claim_request_new(const char *team, const char *service, const char *order,
                      ggw_ms deadline)
{
    struct ggw_claim_request *m = g_new0(struct ggw_claim_request, 1);

    m->base.ops = &ggw_claim_request_ops;
    m->team = g_strdup(team);
    m->service = g_strdup(service);
    m->order = g_strdup(order);
    m->deadline = deadline;
    return &m->base;
}

WEAK struct ggw_message *
ggw_claim_settle_new(uint64_t claim, enum ggw_claim_end end, int status)
{
    struct ggw_claim_settle *m = g_new0(struct ggw_claim_settle, 1);

    m->base.ops = &ggw_claim_settle_ops;
    m->claim = claim;
    m->end = end;
    m->status = status;
    return &m->base;
}

static void
config_destroy(struct ggw_message *message)
{
    struct ggw_config_in_force *m = (struct ggw_config_in_force *)message;

    ggw_tree_unref(m->tree);
    g_free(m);
}

WEAK const struct ggw_message_ops ggw_config_in_force_ops = {
    .name = "CONFIG_IN_FORCE", .destroy = config_destroy};

WEAK struct ggw_message *
ggw_config_in_force_new(struct ggw_tree *tree)
{
    struct ggw_config_in_force *m = g_new0(struct ggw_config_in_force, 1);

    m->base.ops = &ggw_config_in_force_ops;
    m->tree = ggw_tree_ref(tree);
    return &m->base;
}

WEAK struct ggw_tree *
ggw_tree_ref(struct ggw_tree *tree)
{
    tree->refs++;
    return tree;
}

static void
kind_clear(struct ggw_kind *k)
{
    g_free(k->name);
    g_strfreev(k->methods);
    g_free(k->path_prefix);
    g_free(k->order_header);
}

WEAK void
ggw_tree_unref(struct ggw_tree *tree)
{
    if (--tree->refs > 0) {
        return;
    }
    for (size_t i = 0; i < tree->services_len; i++) {
        struct ggw_service_rule *s = &tree->services[i];

        for (size_t j = 0; j < s->kinds_len; j++) {
            kind_clear(&s->kinds[j]);
        }
        g_free(s->kinds);
        g_free(s->name);
        g_free(s->policy);
    }
    g_free(tree->services);
    g_hash_table_destroy(tree->domains_out);
    g_hash_table_destroy(tree->servers_draining);
    g_free(tree->team);
    g_free(tree);
}

WEAK const struct ggw_service_rule *
ggw_tree_service(const struct ggw_tree *tree, const char *service)
{
    for (size_t i = 0; i < tree->services_len; i++) {
        if (strcmp(tree->services[i].name, service) == 0) {
            return &tree->services[i];
        }
    }
    return NULL;
}

WEAK const struct ggw_kind *
ggw_service_kind(const struct ggw_service_rule *rule, const char *method,
                 const char *path)
{
    for (size_t i = 0; i < rule->kinds_len; i++) {
        const struct ggw_kind *k = &rule->kinds[i];

        if (g_strv_contains((const char *const *)k->methods, method) &&
            g_str_has_prefix(path, k->path_prefix)) {
            return k;
        }
    }
    return NULL;
}

WEAK bool
ggw_tree_domain_out(const struct ggw_tree *tree, const char *failure_domain)
{
    return g_hash_table_contains(tree->domains_out, failure_domain);
}

static void
member_clear(void *data)
{
    struct ggw_member *m = data;

    g_free(m->name);
    g_free(m->failure_domain);
    g_free(m->host);
}

static void
members_destroy(struct ggw_message *message)
{
    struct ggw_members_changed *m = (struct ggw_members_changed *)message;

    g_array_free(m->members, TRUE);
    g_free(m);
}

WEAK const struct ggw_message_ops ggw_members_changed_ops = {
    .name = "MEMBERS_CHANGED", .destroy = members_destroy};

WEAK struct ggw_message *
ggw_members_changed_new(void)
{
    struct ggw_members_changed *m = g_new0(struct ggw_members_changed, 1);

    m->base.ops = &ggw_members_changed_ops;
    m->members = g_array_new(FALSE, FALSE, sizeof(struct ggw_member));
    g_array_set_clear_func(m->members, member_clear);
    return &m->base;
}

WEAK void
ggw_members_add(struct ggw_members_changed *m, const struct ggw_member *member)
{
    struct ggw_member copy = *member;

    copy.name = g_strdup(member->name);
    copy.failure_domain = g_strdup(member->failure_domain);
    copy.host = g_strdup(member->host);
    g_array_append_val(m->members, copy);
}

static void
vms_destroy(struct ggw_message *message)
{
    struct ggw_vms_changed *m = (struct ggw_vms_changed *)message;

    ggw_vm_list_unref(m->list);
    g_free(m);
}

WEAK const struct ggw_message_ops ggw_vms_changed_ops = {
    .name = "VMS_CHANGED", .destroy = vms_destroy};

WEAK struct ggw_vm_list *
ggw_vm_list_ref(struct ggw_vm_list *list)
{
    list->refs++;
    return list;
}

WEAK void
ggw_vm_list_unref(struct ggw_vm_list *list)
{
    if (--list->refs == 0) {
        g_free(list);
    }
}
