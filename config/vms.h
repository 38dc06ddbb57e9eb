#ifndef GGW_CONFIG_VMS_H
#define GGW_CONFIG_VMS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/kernel.h"

/**
 * DOC: service "vms"
 *
 * The service polls the platform's list of VMs and publishes each newer
 * version. The list lags behind the actual state of the VMs.
 */

/**
 * enum ggw_vm_role - role of a VM
 * @GGW_VM_GATEWAY: the VM runs a gateway
 * @GGW_VM_BACKEND_SERVER: the VM is a backend server
 */
enum ggw_vm_role {
    GGW_VM_GATEWAY,
    GGW_VM_BACKEND_SERVER,
};

/**
 * struct ggw_vm - one entry of the list
 * @name: name of the VM
 * @role: role of the VM
 * @team: name of the team; empty for a gateway
 * @service: name of the service; empty for a gateway
 * @failure_domain: name of the failure domain
 * @host: IP address on which the VM accepts requests
 * @port: port on which the VM accepts requests
 * @peer_port: port on which a gateway accepts links from other gateways
 * @incarnation: number that increases with each start of the VM; 0 if the list
 *               has none or an empty text
 * @leaving: whether the platform is about to remove the VM
 * @slots: requests that the VM runs concurrently; 0 to use the service's
 *         setting
 * @reports_cold: whether @cold_until is known
 * @cold_until: monotonic time in ms until which the VM counts as just started;
 *              0 if it is warm
 * @version: version of the software that a backend server runs; NULL if the
 *           list does not state it
 */
struct ggw_vm {
    char *name;
    enum ggw_vm_role role;
    char *team;
    char *service;
    char *failure_domain;
    char *host;
    uint16_t port;
    uint16_t peer_port;
    uint64_t incarnation;
    bool leaving;
    int slots;
    bool reports_cold;
    ggw_ms cold_until;
    char *version;
};

/**
 * struct ggw_vm_list - one version of the list
 * @refs: reference count
 * @version: version of the list
 * @vms: entries
 * @len: number of elements in @vms
 */
struct ggw_vm_list {
    int refs;
    uint64_t version;
    struct ggw_vm *vms;
    size_t len;
};

/**
 * ggw_vm_list_parse() - parse the platform's list
 * @json: JSON text of the list
 * @error: GGW_ERROR_PROTOCOL when the text is malformed
 *
 * Return: a list with one reference, or NULL on error.
 */
struct ggw_vm_list *ggw_vm_list_parse(const char *json, GError **error);

/**
 * ggw_vm_list_has_gateways() - tell whether a list has an entry of a gateway
 * @list: list
 */
bool ggw_vm_list_has_gateways(const struct ggw_vm_list *list);

/**
 * ggw_vm_list_ref() - take a reference
 * @list: list
 *
 * Return: @list.
 */
struct ggw_vm_list *ggw_vm_list_ref(struct ggw_vm_list *list);

/**
 * ggw_vm_list_unref() - drop a reference and free the list with the last one
 * @list: list, or NULL
 */
void ggw_vm_list_unref(struct ggw_vm_list *list);

/**
 * struct ggw_vms_changed - message published for each newer version of the
 * list
 * @base: message header
 * @list: list; the message holds one reference
 */
struct ggw_vms_changed {
    struct ggw_message base;
    struct ggw_vm_list *list;
};

extern const struct ggw_message_ops ggw_vms_changed_ops;

/**
 * ggw_vms_changed_new() - create a message
 * @list: list; the message takes a reference of its own
 */
struct ggw_message *ggw_vms_changed_new(struct ggw_vm_list *list);

/**
 * ggw_vms_service_new() - create the service
 * @key: key of the object that holds the list, for example "platform/vms.json"
 * @poll: interval between two reads in ms
 */
struct ggw_service *ggw_vms_service_new(const char *key, ggw_ms poll);

#endif
