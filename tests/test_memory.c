#include <glib.h>
#include <stdio.h>

#include "decide/memory.h"
#include "tests/suite.h"

#define MIB ((uint64_t)1 << 20)

/* Memory of a gateway without clients: one in so many bytes of the machine. */
#define OWN_PART 6

struct machine {
    uint64_t memory;
    uint64_t descriptors;
};

/* From the smallest machine to more than the largest, with its sockets. */
static const struct machine machines[] = {
    {48 * MIB, 300},    {160 * MIB, 3900},   {256 * MIB, 5000},
    {390 * MIB, 5950},  {512 * MIB, 7992},   {650 * MIB, 10050},
    {780 * MIB, 12100}, {4096 * MIB, 65000},
};

/*
 * Guards against limits that one crowd keeps and that several together exceed:
 * the sum of all of them has to fit beside the gateway's own memory.
 */
static void
test_sum(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(machines); i++) {
        const struct machine *m = &machines[i];
        uint64_t worst = ggw_memory_worst(m->memory, m->descriptors);

        printf("\n    %4.0f MiB, %5.0f sockets: %4.0f MiB",
               (double)m->memory / MIB, (double)m->descriptors,
               (double)worst / MIB);
        CU_ASSERT_TRUE(worst + m->memory / OWN_PART <= m->memory);
    }
}

/* Guards against limits that a client within the limits meets. */
static void
test_calm(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(machines); i++) {
        const struct machine *m = &machines[i];
        struct ggw_client_limits c = ggw_client_limits(m->descriptors);
        struct ggw_memory_limits l = ggw_memory_limits(m->memory, &c);

        CU_ASSERT_TRUE(l.body < l.bytes);
        CU_ASSERT_TRUE(l.body >= GGW_BODY_MAX);
        CU_ASSERT_TRUE(l.requests >= MIN(c.requests, 300));
        CU_ASSERT_TRUE(l.held_small > 0 && l.passed > 0);
        CU_ASSERT_TRUE(l.receive_buffer >= 16 * 1024);
        CU_ASSERT_TRUE(l.server_buffer >= 16 * 1024);
    }
}

/* Guards against other limits than before where the memory is not known. */
static void
test_unknown(void)
{
    struct ggw_client_limits c = ggw_client_limits(10250);
    struct ggw_memory_limits l = ggw_memory_limits(0, &c);
    struct ggw_memory_limits p = ggw_page_memory_limits(0, &c);

    CU_ASSERT_EQUAL(l.bytes, GGW_CLIENT_BYTES_MAX);
    CU_ASSERT_EQUAL(l.body, GGW_BODY_MAX);
    CU_ASSERT_EQUAL(l.requests, c.requests);
    CU_ASSERT_EQUAL(l.held, GGW_HELD_BYTES_MAX);
    CU_ASSERT_EQUAL(l.held_small, GGW_HELD_SMALL_MAX);
    CU_ASSERT_EQUAL(l.passed, SIZE_MAX);
    CU_ASSERT_EQUAL(l.receive_buffer, 0);
    CU_ASSERT_EQUAL(l.server_buffer, 0);
    CU_ASSERT_EQUAL(p.bytes, GGW_CLIENT_BYTES_MAX);
}

/* Guards against a limit that is undefined with very little memory. */
static void
test_tiny(void)
{
    struct ggw_client_limits c = ggw_client_limits(2);
    struct ggw_memory_limits l = ggw_memory_limits(1, &c);

    CU_ASSERT_EQUAL(l.requests, 1);
    CU_ASSERT_TRUE(l.receive_buffer > 0);
    CU_ASSERT_TRUE(ggw_peer_link_limit(0) > 0);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"sum", test_sum},   {"calm", test_calm}, {"unknown", test_unknown},
        {"tiny", test_tiny}, CU_TEST_INFO_NULL,
    };

    return suite_run("division of the memory", tests);
}
