#include <CUnit/CUnit.h>
#include <string.h>

#include "config/vms.h"
#include "decide/store_version.h"
#include "platform/rollouts.h"
#include "platform/servers.h"
#include "rollouts/rollouts.h"
#include "tests/suite.h"

/* Faults in the order of statements that KNOWN-RED.txt lists as open. */

static void
put_entry(struct ggw_servers *s, const char *state, int born, ggw_ms now)
{
    g_autofree char *text = g_strdup_printf(
        "{\"Service\":\"s\",\"Address\":\"10.128.0.9:8080\",\"Zone\":\"a\","
        "\"Version\":\"v1\",\"Slots\":4,\"State\":\"%s\",\"ColdLeftMs\":0,"
        "\"Sequence\":3,\"born\":%d}",
        state, born);
    g_autoptr(GBytes) value = g_bytes_new(text, strlen(text));

    ggw_servers_put(s, "i-1", value, now);
    ggw_servers_update(s, now);
}

/* Guards against a server that says it leaves, after its clock went back. */
static void
test_draining_after_clock_went_back(void)
{
    struct ggw_servers *s = ggw_servers_new();
    struct ggw_vm_list *list;

    put_entry(s, "ready", 1700, 0);
    put_entry(s, "draining", 1600, 1500);
    list = ggw_servers_list(s);
    CU_ASSERT_EQUAL_FATAL(list->len, 1);
    CU_ASSERT_TRUE(list->vms[0].leaving);
    ggw_vm_list_unref(list);
    ggw_servers_free(s);
}

/* Guards against a finished order that counts as a new one after a return. */
static void
test_order_number_after_return(void)
{
    static const char json[] =
        "{\"Service\":\"s\",\"Target\":\"v2\",\"DurationS\":60}";
    struct ggw_store_row row = {
        .key = (char *)GGW_ROLLOUT_ORDER_PREFIX "s",
        .value = g_bytes_new_static(json, sizeof(json) - 1),
        .version = ggw_store_version(1, 120),
    };
    struct ggw_message *before = ggw_rollout_order_read(&row);
    struct ggw_message *after;

    row.version = ggw_store_version(2, 120);
    after = ggw_rollout_order_read(&row);
    CU_ASSERT_EQUAL(((struct ggw_rollout_order *)before)->order,
                    ((struct ggw_rollout_order *)after)->order);
    before->ops->destroy(before);
    after->ops->destroy(after);
    g_bytes_unref(row.value);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"draining after clock went back",
         test_draining_after_clock_went_back},
        {"order number after return", test_order_number_after_return},
        CU_TEST_INFO_NULL,
    };

    return suite_run("open_order", tests);
}
