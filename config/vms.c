#include "config/vms.h"

#include <jansson.h>
#include <string.h>

#include "common/address.h"
#include "common/error.h"
#include "common/json_text.h"
#include "common/log.h"
#include "common/metrics.h"
#include "platform/platform.h"

#define PART "vms"

/*
 * Timeout of one read in ms, and the maximum number of concurrent reads. Reads
 * overlap so that an unanswered one does not hold back the next.
 */
#define READ_TIMEOUT_MS 2000
#define MAX_READS_IN_FLIGHT 4

/**
 * struct priv - state of the service
 * @base: service header
 * @key: key of the object that holds the list
 * @poll: interval between two reads in ms
 * @timer: timer of the reads
 * @reads_in_flight: number of reads without a result yet
 * @etag: entity tag of the last object read, well-formed or not; NULL if none
 * @list: list in force; NULL until one has been read
 */
struct priv {
    struct ggw_service base;
    char *key;
    ggw_ms poll;
    uv_timer_t timer;
    unsigned reads_in_flight;
    char *etag;
    struct ggw_vm_list *list;
};

static bool
set_malformed_error(GError **error, size_t i, const char *member)
{
    g_set_error(error, GGW_ERROR, GGW_ERROR_PROTOCOL,
                "VM list: entry %zu: \"%s\" is missing or malformed", i,
                member);
    return false;
}

static bool
parse_text(const json_t *entry, const char *member, char **dest)
{
    *dest = g_strdup(json_string_value(json_object_get(entry, member)));
    return *dest != NULL && **dest != '\0';
}

static bool
parse_address(const json_t *entry, const char *member, char **host,
              uint16_t *port)
{
    const char *text = json_string_value(json_object_get(entry, member));
    struct ggw_address address;

    if (text == NULL || !ggw_address_parse(text, &address, NULL) ||
        address.port == 0) {
        return false;
    }
    *host = g_strdup(address.host);
    *port = address.port;
    return true;
}

/*
 * Parses an incarnation, which is a number or its decimal text. A missing
 * member or an empty text leaves the value unchanged at 0.
 */
static bool
parse_incarnation(const json_t *entry, uint64_t *incarnation)
{
    const json_t *value = json_object_get(entry, "incarnation");
    const char *text = json_string_value(value);
    guint64 number = 0;

    if (json_is_integer(value)) {
        *incarnation = (uint64_t)json_integer_value(value);
        return json_integer_value(value) >= 0;
    }
    if (value == NULL || (text != NULL && *text == '\0')) {
        return true;
    }
    if (text == NULL ||
        !g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &number, NULL)) {
        return false;
    }
    *incarnation = number;
    return true;
}

/* Parses a member with one of two values; @is_second tells which it is. */
static bool
parse_choice(const json_t *entry, const char *member, const char *first_choice,
             const char *second_choice, bool *is_second)
{
    const char *text = json_string_value(json_object_get(entry, member));

    *is_second = g_strcmp0(text, second_choice) == 0;
    return *is_second || g_strcmp0(text, first_choice) == 0;
}

static bool
parse_vm(const json_t *entry, size_t i, struct ggw_vm *vm, GError **error)
{
    g_autofree char *peer_host = NULL;
    bool is_server;

    if (!parse_text(entry, "name", &vm->name)) {
        return set_malformed_error(error, i, "name");
    }
    if (!parse_choice(entry, "role", "gateway", "backend_server",
                      &is_server)) {
        return set_malformed_error(error, i, "role");
    }
    vm->role = is_server ? GGW_VM_BACKEND_SERVER : GGW_VM_GATEWAY;
    if (!parse_text(entry, "team", &vm->team) && is_server) {
        return set_malformed_error(error, i, "team");
    }
    if (!parse_text(entry, "service", &vm->service) && is_server) {
        return set_malformed_error(error, i, "service");
    }
    if (!parse_text(entry, "failure_domain", &vm->failure_domain)) {
        return set_malformed_error(error, i, "failure_domain");
    }
    if (!parse_address(entry, "address", &vm->host, &vm->port)) {
        return set_malformed_error(error, i, "address");
    }
    if (!is_server &&
        !parse_address(entry, "peer_address", &peer_host, &vm->peer_port)) {
        return set_malformed_error(error, i, "peer_address");
    }
    if (!parse_incarnation(entry, &vm->incarnation)) {
        return set_malformed_error(error, i, "incarnation");
    }
    if (!parse_choice(entry, "state", "live", "leaving", &vm->leaving)) {
        return set_malformed_error(error, i, "state");
    }
    vm->team = vm->team != NULL ? vm->team : g_strdup("");
    vm->service = vm->service != NULL ? vm->service : g_strdup("");
    return true;
}

static struct ggw_vm_list *
parse_list(const json_t *root, GError **error)
{
    const json_t *version = json_object_get(root, "version");
    const json_t *vms = json_object_get(root, "vms");
    struct ggw_vm_list *list;
    const json_t *entry;
    size_t i;

    if (!json_is_integer(version) || json_integer_value(version) < 0 ||
        !json_is_array(vms)) {
        g_set_error(error, GGW_ERROR, GGW_ERROR_PROTOCOL,
                    "VM list: \"version\" or \"vms\" is missing or malformed");
        return NULL;
    }
    list = g_new0(struct ggw_vm_list, 1);
    list->refs = 1;
    list->version = (uint64_t)json_integer_value(version);
    list->vms = g_new0(struct ggw_vm, json_array_size(vms) + 1);
    json_array_foreach(vms, i, entry)
    {
        list->len = i + 1;
        if (!parse_vm(entry, i, &list->vms[i], error)) {
            ggw_vm_list_unref(list);
            return NULL;
        }
    }
    return list;
}

struct ggw_vm_list *
ggw_vm_list_parse(const char *json, GError **error)
{
    json_error_t e;
    json_t *root = ggw_json_parse("list of VMs", json, strlen(json),
                                  JSON_REJECT_DUPLICATES, &e);
    struct ggw_vm_list *list;

    if (root == NULL) {
        g_set_error(error, GGW_ERROR, GGW_ERROR_PROTOCOL,
                    "VM list: not JSON: line %d: %s", e.line, e.text);
        return NULL;
    }
    list = parse_list(root, error);
    json_decref(root);
    return list;
}

bool
ggw_vm_list_has_gateways(const struct ggw_vm_list *list)
{
    for (size_t i = 0; i < list->len; i++) {
        if (list->vms[i].role == GGW_VM_GATEWAY) {
            return true;
        }
    }
    return false;
}

struct ggw_vm_list *
ggw_vm_list_ref(struct ggw_vm_list *list)
{
    list->refs++;
    return list;
}

void
ggw_vm_list_unref(struct ggw_vm_list *list)
{
    if (list == NULL || --list->refs > 0) {
        return;
    }
    for (size_t i = 0; i < list->len; i++) {
        struct ggw_vm *vm = &list->vms[i];

        g_free(vm->name);
        g_free(vm->team);
        g_free(vm->service);
        g_free(vm->failure_domain);
        g_free(vm->host);
        g_free(vm->version);
    }
    g_free(list->vms);
    g_free(list);
}

static void
changed_destroy(struct ggw_message *message)
{
    ggw_vm_list_unref(((struct ggw_vms_changed *)message)->list);
    g_free(message);
}

const struct ggw_message_ops ggw_vms_changed_ops = {
    .name = "VMS_CHANGED",
    .destroy = changed_destroy,
};

struct ggw_message *
ggw_vms_changed_new(struct ggw_vm_list *list)
{
    struct ggw_vms_changed *m = g_new0(struct ggw_vms_changed, 1);

    m->base.ops = &ggw_vms_changed_ops;
    m->list = ggw_vm_list_ref(list);
    return &m->base;
}

static void
timer_cb(uv_timer_t *timer)
{
    struct priv *p = timer->data;

    if (p->reads_in_flight < MAX_READS_IN_FLIGHT) {
        p->reads_in_flight++;
        ggw_kernel_send(
            p->base.kernel, "platform", &p->base,
            ggw_object_request_new(p->key, p->etag, READ_TIMEOUT_MS));
    }
}

/*
 * Publishes a list whose version is higher than that of the list in force. An
 * older one is ignored, since the object store may return a stale object.
 */
static void
apply_if_newer(struct priv *p, struct ggw_vm_list *list)
{
    if (p->list != NULL && list->version <= p->list->version) {
        if (list->version < p->list->version) {
            ggw_count("ggw_vm_list_stale_total");
        }
        return;
    }
    ggw_vm_list_unref(p->list);
    p->list = ggw_vm_list_ref(list);
    *ggw_counter("ggw_vm_list_version") = list->version;
    ggw_log_info(PART,
                 "applied VM list version %" G_GUINT64_FORMAT " with %zu VMs",
                 (guint64)list->version, list->len);
    ggw_kernel_publish(p->base.kernel, &p->base, ggw_vms_changed_new(list));
}

static void
receive_list(struct priv *p, const struct ggw_object_result *result)
{
    g_autoptr(GError) error = NULL;
    g_autofree char *text = NULL;
    struct ggw_vm_list *list;
    size_t len;
    const char *bytes = g_bytes_get_data(result->body, &len);

    text = g_strndup(bytes, len);
    list = ggw_vm_list_parse(text, &error);
    /*
     * The entity tag of a malformed object is kept too, so that the object is
     * neither read nor reported again.
     */
    g_free(p->etag);
    p->etag = g_strdup(result->etag);
    if (list == NULL) {
        ggw_count("ggw_vm_list_malformed_total");
        ggw_log_error(PART, "%s", error->message);
        return;
    }
    apply_if_newer(p, list);
    ggw_vm_list_unref(list);
}

static void
vms_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct priv *p = (struct priv *)service;
    struct ggw_object_result *result = (struct ggw_object_result *)message;

    if (message->ops != &ggw_object_result_ops) {
        return;
    }
    p->reads_in_flight--;
    if (result->status == GGW_PLATFORM_OK && result->body != NULL) {
        receive_list(p, result);
    }
}

static bool
vms_start(struct ggw_service *service, GError **error)
{
    struct priv *p = (struct priv *)service;

    uv_timer_init(ggw_kernel_loop(service->kernel), &p->timer);
    p->timer.data = p;
    uv_timer_start(&p->timer, timer_cb, 0, (uint64_t)p->poll);
    return true;
}

static void
vms_stop(struct ggw_service *service)
{
    uv_close((uv_handle_t *)&((struct priv *)service)->timer, NULL);
}

static void
vms_destroy(struct ggw_service *service)
{
    struct priv *p = (struct priv *)service;

    ggw_vm_list_unref(p->list);
    g_free(p->etag);
    g_free(p->key);
    g_free(p);
}

static const struct ggw_service_ops vms_ops = {
    .name = "vms",
    .start = vms_start,
    .receive = vms_receive,
    .stop = vms_stop,
    .destroy = vms_destroy,
};

struct ggw_service *
ggw_vms_service_new(const char *key, ggw_ms poll)
{
    struct priv *p = g_new0(struct priv, 1);

    p->base.ops = &vms_ops;
    p->key = g_strdup(key);
    p->poll = poll;
    return &p->base;
}
