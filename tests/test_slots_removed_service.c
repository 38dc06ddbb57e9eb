#include <CUnit/CUnit.h>
#include <stdio.h>

#include "common/metrics.h"
#include "tests/slots_driver.h"
#include "tests/suite.h"

/*
 * A service that a version of the settings leaves out while requests wait for
 * its slots, and that a later version has again. Gateways get a version some
 * ms after each other, so an owner may have it before or after the gateways
 * that ask it.
 */

#define GATEWAYS 3

/* Servers with two slots each: fewer than the requests kept open. */
#define SERVERS 2

/* Time in ms for which only some gateways have a version. */
#define APART_MS 30

/*
 * Time in ms in which requests that can no longer be served are refused. It
 * is far below the second that they have to their deadline.
 */
#define REFUSED_MS 200

static const char tree_removed_json[] = "{\"services\":{}}";

/*
 * Settings of the service with an owner for all servers or one for each
 * failure domain.
 */
struct division {
    const char *second_domain;
    const char *json;
};

static const struct division divisions[] = {
    {"cairo-a",
     "{\"services\":{\"S\":{\"slots\":2,\"connections\":200,"
     "\"cold_ms\":0,\"queue\":64,\"policy\":\"slots\",\"kinds\":{}}}}"},
    {"cairo-b",
     "{\"services\":{\"S\":{\"slots\":2,\"connections\":200,"
     "\"cold_ms\":0,\"queue\":64,\"policy\":\"slots\",\"kinds\":{}}}}"},
    {"cairo-b", "{\"services\":{\"S\":{\"slots\":2,\"connections\":200,"
                "\"cold_ms\":0,\"queue\":64,\"policy\":\"slots\","
                "\"owner_scope\":\"service\",\"kinds\":{}}}}"},
};

static uint64_t revision;

/* Returns whether a server runs as many requests as it has slots. */
static bool
all_slots_are_used(struct cluster *c)
{
    return slots_stats.max_running >= 2;
}

/* Lets all gateways have the service and waits until its slots are used. */
static void
restore_service(struct cluster *c, const struct division *d)
{
    revision++;
    for (int i = 0; i < c->len; i++) {
        slots_publish_tree(&c->nodes[i], revision, d->json);
    }
    slots_stats.sending_stopped = false;
    slots_drive_for(c, APART_MS);
    slots_stats.max_running = 0;
    CU_ASSERT_TRUE(slots_drive_until(c, all_slots_are_used));
}

/* Publishes settings to one gateway before or after the others. */
static void
publish_apart(struct cluster *c, int alone, bool first, const char *json)
{
    revision++;
    for (int i = 0; i < c->len; i++) {
        if ((i == alone) == first) {
            slots_publish_tree(&c->nodes[i], revision, json);
        }
    }
    slots_drive_for(c, APART_MS);
    for (int i = 0; i < c->len; i++) {
        if ((i == alone) != first) {
            slots_publish_tree(&c->nodes[i], revision, json);
        }
    }
}

/* Number of open requests that neither run on a server nor were refused. */
static int
count_waiting(const struct cluster *c)
{
    int n = -(int)slots_stats.running_requests->len;

    for (int i = 0; i < c->len; i++) {
        n += slots_stats.open_requests[i];
    }
    return n;
}

/* Runs @play for each division, gateway and order of the gateways. */
static void
for_each_order(void (*play)(struct cluster *c, const struct division *d,
                            int alone, bool first))
{
    for (size_t i = 0; i < G_N_ELEMENTS(divisions); i++) {
        const struct division *d = &divisions[i];
        struct cluster *c =
            slots_cluster_in(d->second_domain, GATEWAYS, SERVERS, false);

        revision = 1;
        for (int alone = 0; alone < GATEWAYS; alone++) {
            for (int first = 0; first < 2; first++) {
                restore_service(c, d);
                play(c, d, alone, first);
            }
        }
        slots_cluster_free(c);
    }
}

static void
play_removal(struct cluster *c, const struct division *d, int alone,
             bool first)
{
    CU_ASSERT_TRUE(count_waiting(c) > 0);
    slots_stats.sending_stopped = true;
    publish_apart(c, alone, first, tree_removed_json);
    slots_drive_for(c, REFUSED_MS);
    CU_ASSERT_EQUAL(count_waiting(c), 0);
}

/*
 * Guards against a gateway that crashes when the owner of the slots grants or
 * refuses a request of a service that its own settings no longer have, and
 * against requests that wait until their deadline for such a service.
 */
static void
test_removed_while_waiting(void)
{
    for_each_order(play_removal);
}

static uint64_t
count_fallback_grants(void)
{
    return *ggw_counter("ggw_slots_fallback_grants_total");
}

static void
play_return(struct cluster *c, const struct division *d, int alone, bool first)
{
    uint64_t before;

    for (int i = 0; i < 3; i++) {
        publish_apart(c, alone, first, tree_removed_json);
        publish_apart(c, alone, !first, d->json);
    }
    before = count_fallback_grants();
    restore_service(c, d);
    /* Each other gateway in fallback may add its share of the slots, 1. */
    CU_ASSERT_TRUE(slots_stats.max_running <=
                   2 + (count_fallback_grants() > before ? 2 : 0));
}

/*
 * Guards against slots that stay taken, or are granted twice, when a service
 * is removed and comes back while grants and their answers are on the way.
 */
static void
test_removed_and_back(void)
{
    for_each_order(play_return);
}

static uint64_t
count_takeovers(void)
{
    return *ggw_counter("ggw_slots_takeovers_total");
}

static void
play_same_owner(struct cluster *c, const struct division *d, int alone,
                bool first)
{
    uint64_t before = count_takeovers();

    publish_apart(c, alone, first, tree_removed_json);
    slots_drive_for(c, APART_MS);
    publish_apart(c, alone, first, d->json);
    slots_drive_for(c, APART_MS);
    CU_ASSERT_EQUAL(count_takeovers(), before);
}

/*
 * Guards against a service that changes its owners when it is removed. The
 * former owner told gateways that still had the service that it is no owner,
 * so they granted slots which nobody counted, and the new owner of the
 * service that came back knew nothing of its servers.
 */
static void
test_owners_stay(void)
{
    for_each_order(play_same_owner);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"removed while requests wait", test_removed_while_waiting},
        {"removed and back", test_removed_and_back},
        {"owners stay", test_owners_stay},
        CU_TEST_INFO_NULL,
    };
    int status = suite_run("slots_removed_service", tests);

    ggw_metrics_fini();
    return status;
}
