#ifndef GGW_CONFIG_VMS_H
#define GGW_CONFIG_VMS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/kernel.h"

/*
 * Service "vms": reads the platform's list of VMs, which lags, and publishes
 * each newer version.
 */

enum ggw_vm_role {
    GGW_VM_GATEWAY,
    GGW_VM_BACKEND_SERVER,
};

/**
 * struct ggw_vm - one entry of the list
 * @team, @service: empty for a gateway
 * @host, @port: where it takes requests; an IP number
 * @peer_port: where a gateway takes links from other gateways
 * @incarnation: grows with every start; empty text becomes 0
 * @leaving: the platform is about to remove it
 * @slots: requests that it runs at a time; 0: the service's setting
 * @reports_cold: @cold_until is known
 * @cold_until: it has just started until then, monotonic ms; 0: it is warm
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
};

struct ggw_vm_list {
    int refs;
    uint64_t version;
    struct ggw_vm *vms;
    size_t len;
};

/**
 * ggw_vm_list_parse() - make a list from the platform's JSON
 *
 * Return: a list with one reference, or NULL with GGW_ERROR_PROTOCOL.
 */
struct ggw_vm_list *ggw_vm_list_parse(const char *json, GError **error);
/* Whether the list names gateways at all. */
bool ggw_vm_list_has_gateways(const struct ggw_vm_list *list);

struct ggw_vm_list *ggw_vm_list_ref(struct ggw_vm_list *list);
void ggw_vm_list_unref(struct ggw_vm_list *list);

struct ggw_vms_changed {
    struct ggw_message base;
    struct ggw_vm_list *list; /* the message holds one reference */
};

extern const struct ggw_message_ops ggw_vms_changed_ops;
struct ggw_message *ggw_vms_changed_new(struct ggw_vm_list *list);

/**
 * ggw_vms_service_new() - make the service
 * @key: object that holds the list, for example "platform/vms.json"
 * @poll: time between two reads
 */
struct ggw_service *ggw_vms_service_new(const char *key, ggw_ms poll);

#endif
