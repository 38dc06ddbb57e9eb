#include <CUnit/Basic.h>

#include "kernel/kernel.h"

struct counter_service {
    struct ggw_service base;
    int received;
    int expected;
};

static void
counter_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct counter_service *s = (struct counter_service *)service;

    s->received++;
    if (s->received == s->expected) {
        ggw_kernel_stop(service->kernel);
    }
}

static const struct ggw_service_ops first_ops = {
    .name = "first",
    .receive = counter_receive,
};

static const struct ggw_service_ops second_ops = {
    .name = "second",
    .receive = counter_receive,
};

/*
 * Guards against messages that are delivered to the wrong service or lost: one
 * sent by name, one published, one sent to a name that does not exist.
 */
static void
test_delivery(void)
{
    struct ggw_kernel *k = ggw_kernel_new(ggw_clock_system());
    struct counter_service a = {.base.ops = &first_ops, .expected = -1};
    struct counter_service b = {.base.ops = &second_ops, .expected = 2};

    ggw_kernel_add(k, &a.base);
    ggw_kernel_add(k, &b.base);
    ggw_kernel_send(k, "second", &a.base, ggw_shutdown_new());
    ggw_kernel_publish(k, &a.base, ggw_shutdown_new());
    ggw_kernel_send(k, "absent", &a.base, ggw_shutdown_new());
    CU_ASSERT_TRUE(ggw_kernel_run(k, NULL));
    CU_ASSERT_EQUAL(a.received, 0);
    CU_ASSERT_EQUAL(b.received, 2);
    ggw_kernel_destroy(k);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("kernel", NULL, NULL);
    CU_add_test(suite, "delivery", test_delivery);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
