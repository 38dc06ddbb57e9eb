#include <CUnit/CUnit.h>
#include <glib.h>

#include "decide/clients.h"
#include "tests/suite.h"

/* Connections of the simulated gateway, and length of the simulation in ms. */
#define CLIENTS 64
#define STEPS 60000

/*
 * Guards against limits that leave no descriptors for backend servers, other
 * gateways and the store, or no connection that can give way.
 */
static void
test_limits(void)
{
    static const uint64_t descriptors[] = {64,   100,   256,    1024,
                                           4096, 10250, 524288, UINT64_MAX};

    for (size_t i = 0; i < G_N_ELEMENTS(descriptors); i++) {
        uint64_t d = descriptors[i];
        struct ggw_client_limits l = ggw_client_limits(d);
        struct ggw_client_limits p = ggw_page_client_limits(d);
        uint64_t reserved = MIN(d / 4, 2048);

        CU_ASSERT_TRUE(l.requests > 0 && l.requests < l.connections);
        CU_ASSERT_TRUE(l.connections + l.requests + reserved <= d);
        CU_ASSERT_TRUE(3 * p.connections <= reserved / 2);
        CU_ASSERT_TRUE(l.connections <= GGW_CLIENT_CONNECTIONS_MAX);
        CU_ASSERT_TRUE(l.connections >= MIN(d / 3, 4096));
    }
    CU_ASSERT_TRUE(ggw_client_limits(0).requests > 0);
}

/* Guards against a wrong order among two connections. */
static void
test_order(void)
{
    static const struct ggw_client in_order[] = {
        {GGW_CLIENT_IDLE, 5}, {GGW_CLIENT_IDLE, 6}, {GGW_CLIENT_HEAD, 1},
        {GGW_CLIENT_HEAD, 9}, {GGW_CLIENT_BODY, 0}, {GGW_CLIENT_BODY, 3},
    };
    static const struct ggw_client busy = {GGW_CLIENT_BUSY, 0};

    for (size_t i = 0; i < G_N_ELEMENTS(in_order); i++) {
        CU_ASSERT_TRUE(ggw_client_gives_way(&in_order[i], 1000));
        for (size_t j = 0; j < G_N_ELEMENTS(in_order); j++) {
            CU_ASSERT_EQUAL(
                ggw_client_gives_way_before(&in_order[i], &in_order[j]),
                i < j);
        }
    }
    CU_ASSERT_FALSE(ggw_client_gives_way(&busy, 1e6));
    CU_ASSERT_FALSE(
        ggw_client_gives_way(&in_order[0], 4 + GGW_CLIENT_GRACE_MS));
    CU_ASSERT_TRUE(
        ggw_client_gives_way(&in_order[0], 5 + GGW_CLIENT_GRACE_MS));
}

/* Returns the connection that gives way first; -1 if none may. */
static int
find_first(const struct ggw_client *c, unsigned len, ggw_ms now)
{
    int first = -1;

    for (unsigned i = 0; i < len; i++) {
        if (ggw_client_gives_way(&c[i], now) &&
            (first < 0 || ggw_client_gives_way_before(&c[i], &c[first]))) {
            first = (int)i;
        }
    }
    return first;
}

/*
 * Guards against a gateway at its limits that closes a request in progress or
 * a connection that has just come, or that accepts no new connection for
 * longer than the grace although few requests are in progress. Clients open
 * connections, send requests slowly and get their responses, at random.
 */
static void
test_at_limits(void)
{
    struct ggw_client_limits l = ggw_client_limits(CLIENTS * 8 / 3);
    struct ggw_client c[CLIENTS];
    GRand *rand = g_rand_new_with_seed(7);
    unsigned len = 0, busy = 0;
    int displaced = 0, refused = 0;
    ggw_ms waits_since = -1;

    CU_ASSERT_TRUE_FATAL(l.connections <= CLIENTS);
    for (int step = 0; step < STEPS; step++) {
        ggw_ms now = step;
        unsigned i = (unsigned)g_rand_int_range(rand, 0, CLIENTS);
        bool full = len == l.connections;
        int first = full ? find_first(c, len, now) : -1;

        if (first >= 0) {
            CU_ASSERT_NOT_EQUAL(c[first].state, GGW_CLIENT_BUSY);
            c[first] = c[--len];
            displaced++;
        }
        if (!full || first >= 0) {
            c[len++] = (struct ggw_client){GGW_CLIENT_IDLE, now};
            waits_since = -1;
        }
        else {
            waits_since = waits_since < 0 ? now : waits_since;
            CU_ASSERT_TRUE(now - waits_since <= GGW_CLIENT_GRACE_MS);
        }
        if (i >= len || g_rand_int_range(rand, 0, 4) > 0) {
            continue;
        }
        if (c[i].state == GGW_CLIENT_BUSY) {
            c[i] = (struct ggw_client){GGW_CLIENT_IDLE, now};
            busy--;
        }
        else if (c[i].state == GGW_CLIENT_BODY && busy == l.requests) {
            c[i] = (struct ggw_client){GGW_CLIENT_IDLE, now};
            refused++;
        }
        else {
            c[i].state++;
            c[i].since = now;
            busy += c[i].state == GGW_CLIENT_BUSY;
        }
    }
    CU_ASSERT_TRUE(displaced > 0);
    printf("    %d displaced, %d refused, %u in progress\n", displaced,
           refused, busy);
    g_rand_free(rand);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"limits", test_limits},
        {"order", test_order},
        {"at limits", test_at_limits},
        CU_TEST_INFO_NULL,
    };

    return suite_run("clients", tests);
}
