#include "standins/client/gateway_list.h"

#include <jansson.h>
#include <string.h>

/**
 * struct gateway_list - the list
 * @addresses: those of the own failure domain first
 * @own_domain_len: number of addresses in the own failure domain
 * @next: number of addresses handed out
 */
struct gateway_list {
    char **seeds;
    const char *failure_domain;
    GPtrArray *addresses;
    guint own_domain_len;
    guint next;
};

struct gateway_list *
gateway_list_new(char **seeds, const char *failure_domain)
{
    struct gateway_list *list = g_new0(struct gateway_list, 1);

    list->seeds = seeds;
    list->failure_domain = failure_domain;
    list->addresses = g_ptr_array_new_with_free_func(g_free);
    return list;
}

const char *
gateway_list_seed(const struct gateway_list *list, guint number)
{
    return list->seeds[number % g_strv_length(list->seeds)];
}

const char *
gateway_list_next(struct gateway_list *list)
{
    guint n =
        list->own_domain_len > 0 ? list->own_domain_len : list->addresses->len;
    guint number = list->next++;

    return n > 0 ? g_ptr_array_index(list->addresses, number % n)
                 : gateway_list_seed(list, number);
}

void
gateway_list_remove(struct gateway_list *list, const char *address)
{
    for (guint i = 0; i < list->addresses->len; i++) {
        if (strcmp(g_ptr_array_index(list->addresses, i), address) == 0) {
            g_ptr_array_remove_index(list->addresses, i);
            list->own_domain_len -= i < list->own_domain_len ? 1 : 0;
            return;
        }
    }
}

/* Adds a gateway of the entry page: an address, or an object with one. */
static void
add_address(struct gateway_list *list, const json_t *item)
{
    const char *address = json_string_value(item), *domain = NULL;

    if (json_is_object(item)) {
        address = json_string_value(json_object_get(item, "address"));
        domain = json_string_value(json_object_get(item, "failure_domain"));
    }
    if (address == NULL) {
        return;
    }
    if (domain != NULL && strcmp(domain, list->failure_domain) == 0) {
        g_ptr_array_insert(list->addresses, (gint)list->own_domain_len++,
                           g_strdup(address));
        return;
    }
    g_ptr_array_add(list->addresses, g_strdup(address));
}

bool
gateway_list_parse(struct gateway_list *list, const char *body, gsize len,
                   ggw_ms *keep)
{
    json_t *page = json_loadb(body, len, 0, NULL);
    const json_t *gateways = json_object_get(page, "gateways");
    bool ok = json_array_size(gateways) > 0;
    const json_t *item;
    size_t i;

    if (ok) {
        g_ptr_array_set_size(list->addresses, 0);
        list->own_domain_len = 0;
        json_array_foreach(gateways, i, item)
        {
            add_address(list, item);
        }
        *keep = json_number_value(json_object_get(page, "keep_ms"));
    }
    json_decref(page);
    return ok;
}

guint
gateway_list_len(const struct gateway_list *list)
{
    return list->addresses->len;
}
