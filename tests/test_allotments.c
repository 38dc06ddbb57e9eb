#include <CUnit/CUnit.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "config/config.h"
#include "customers/allotments.h"
#include "peers/payload.h"
#include "peers/peers.h"
#include "tests/suite.h"

/*
 * The service "allotments" of several gateways. Each has a kernel of its own
 * with fakes of "peers" and "proxy"; frames go straight to the other kernel.
 * Times are those of the system clock.
 */

#define GATEWAYS 5

/* Settings of the customers: rate 20 a second, bursts of 10. */
#define RATE 20.0
#define BURST 10.0
#define SPARE 4.0

static const char settings[] =
    "{\"customers\":{\"acme\":{\"keys\":[\"k\"],\"rate\":20,\"burst\":10}},"
    "\"services\":{},\"routes\":{}}";

static const char settings_without_limit[] =
    "{\"customers\":{\"acme\":{\"keys\":[\"k\"]}},"
    "\"services\":{},\"routes\":{}}";

static const char *const names[GATEWAYS] = {"g0", "g1", "g2", "g3", "g4"};

struct gateway {
    struct ggw_kernel *kernel;
    struct ggw_service peers;
    struct ggw_service proxy;
    int index;
    bool dead;
    bool paused;
    int side; /* frames pass only between gateways of the same side */
    unsigned asked, permitted, refused, frames;
    char *owner;
    ggw_ms longest_wait;
    json_t *status;
    GHashTable *sent_at; /* tag to time of the request */
};

static struct gateway gateways[GATEWAYS];
static ggw_ms permitted_at[10000];
static unsigned permitted_len;

static ggw_ms
now(void)
{
    return ggw_clock_now(ggw_clock_system());
}

static bool
linked(const struct gateway *a, const struct gateway *b)
{
    return !a->dead && !b->dead && a->side == b->side;
}

static void
peers_receive(struct ggw_service *service, struct ggw_message *m)
{
    struct gateway *from =
        (struct gateway *)((char *)service - offsetof(struct gateway, peers));
    const struct ggw_peer_send *s = (struct ggw_peer_send *)m;

    if (m->ops != &ggw_peer_send_ops) {
        return;
    }
    from->frames++;
    for (int i = 0; i < GATEWAYS; i++) {
        struct gateway *to = &gateways[i];
        struct ggw_peer_received *r;

        if (strcmp(s->peer, names[i]) != 0 || !linked(from, to)) {
            continue;
        }
        r = g_new0(struct ggw_peer_received, 1);
        r->base.ops = &ggw_peer_received_ops;
        r->peer = g_strdup(names[from->index]);
        r->type = s->type;
        r->payload = g_bytes_ref(s->payload);
        ggw_kernel_send(to->kernel, "allotments", NULL, &r->base);
    }
}

static void
proxy_receive(struct ggw_service *service, struct ggw_message *m)
{
    struct gateway *g =
        (struct gateway *)((char *)service - offsetof(struct gateway, proxy));
    const struct ggw_allotment_result *result =
        (struct ggw_allotment_result *)m;
    ggw_ms *at;

    if (m->ops == &ggw_allotments_status_ops) {
        json_decref(g->status);
        g->status = json_incref(((struct ggw_allotments_status *)m)->json);
    }
    if (m->ops != &ggw_allotment_result_ops) {
        return;
    }
    at = g_hash_table_lookup(g->sent_at, GUINT_TO_POINTER((guint)m->tag));
    g->longest_wait = fmax(g->longest_wait, now() - *at);
    g_hash_table_remove(g->sent_at, GUINT_TO_POINTER((guint)m->tag));
    g_free(g->owner);
    g->owner = g_strdup(result->owner);
    if (result->permitted) {
        g->permitted++;
        permitted_at[permitted_len++] = now();
    }
    else {
        g->refused++;
        CU_ASSERT_TRUE(result->retry_after > 0);
    }
}

static struct ggw_service_ops peers_ops = {.name = "peers"};
static struct ggw_service_ops proxy_ops = {.name = "proxy"};

/* Publishes the list of gateways as @g sees it; @dead of them are not alive.
 */
static void
publish_members(struct gateway *g, const bool *alive, bool majority)
{
    struct ggw_message *m = ggw_members_changed_new();
    struct ggw_members_changed *changed = (struct ggw_members_changed *)m;

    for (int i = 0; i < GATEWAYS; i++) {
        ggw_members_add(changed, &(struct ggw_member){
                                     .name = (char *)names[i],
                                     .failure_domain = (char *)"fd",
                                     .host = (char *)"127.0.0.1",
                                     .self = i == g->index,
                                     .state = alive[i] ? GGW_MEMBER_ALIVE
                                                       : GGW_MEMBER_SUSPECTED,
                                 });
    }
    changed->known_gateways = GATEWAYS;
    changed->majority_valid_until = majority ? INFINITY : -INFINITY;
    ggw_kernel_publish(g->kernel, NULL, m);
}

static void
publish_settings(struct gateway *g, uint64_t revision, const char *json)
{
    struct ggw_tree *tree = ggw_tree_parse("team", revision, json, NULL);

    CU_ASSERT_PTR_NOT_NULL_FATAL(tree);
    ggw_kernel_publish(g->kernel, NULL, ggw_config_in_force_new(tree));
    ggw_tree_unref(tree);
}

/* Runs all kernels for @duration ms. */
static void
run(ggw_ms duration)
{
    ggw_ms end = now() + duration;

    while (now() < end) {
        for (int i = 0; i < GATEWAYS; i++) {
            if (!gateways[i].dead && !gateways[i].paused) {
                uv_run(ggw_kernel_loop(gateways[i].kernel), UV_RUN_NOWAIT);
            }
        }
        g_usleep(500);
    }
}

static void
start_gateway(int i)
{
    static const bool all[GATEWAYS] = {true, true, true, true, true};
    struct gateway *g = &gateways[i];

    *g = (struct gateway){.index = i};
    g->kernel = ggw_kernel_new(ggw_clock_system());
    g->sent_at = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    g->peers.ops = &peers_ops;
    g->proxy.ops = &proxy_ops;
    ggw_kernel_add(g->kernel, &g->peers);
    ggw_kernel_add(g->kernel, &g->proxy);
    ggw_kernel_add(g->kernel, ggw_allotments_service_new(names[i]));
    CU_ASSERT_TRUE(ggw_kernel_start(g->kernel, NULL));
    publish_settings(g, 1, settings);
    publish_members(g, all, true);
}

/* Starts all gateways and waits until their buckets are full. */
static void
start(void)
{
    peers_ops.receive = peers_receive;
    proxy_ops.receive = proxy_receive;
    permitted_len = 0;
    for (int i = 0; i < GATEWAYS; i++) {
        start_gateway(i);
    }
    run(1100);
}

static void
stop_gateway(struct gateway *g)
{
    ggw_kernel_stop(g->kernel);
    uv_run(ggw_kernel_loop(g->kernel), UV_RUN_DEFAULT);
    ggw_kernel_destroy(g->kernel);
    g_hash_table_destroy(g->sent_at);
    json_decref(g->status);
    g_free(g->owner);
}

static void
stop(void)
{
    for (int i = 0; i < GATEWAYS; i++) {
        stop_gateway(&gateways[i]);
    }
}

static void
ask(struct gateway *g)
{
    struct ggw_message *m =
        ggw_allotment_request_new("team", "acme", now() + 5000);
    ggw_ms at = now();

    m->tag = ++g->asked;
    g_hash_table_insert(g->sent_at, GUINT_TO_POINTER(g->asked),
                        g_memdup2(&at, sizeof(at)));
    ggw_kernel_send(g->kernel, "allotments", &g->proxy, m);
}

/* Sends requests evenly, in turn at the gateways of @at, for @duration ms. */
static void
load(const char *at, double per_s, ggw_ms duration)
{
    int n = (int)(per_s * duration / 1000);

    for (int i = 0; i < n; i++) {
        ask(&gateways[at[(size_t)i % strlen(at)] - '0']);
        run(1000 / per_s);
    }
}

/* Most permissions in any window of @window ms. */
static unsigned
most_in(ggw_ms window)
{
    unsigned first = 0, most = 0;

    for (unsigned i = 0; i < permitted_len; i++) {
        while (permitted_at[first] <= permitted_at[i] - window) {
            first++;
        }
        most = MAX(most, i - first + 1);
    }
    return most;
}

static unsigned
total(size_t offset)
{
    unsigned n = 0;

    for (int i = 0; i < GATEWAYS; i++) {
        n += *(unsigned *)((char *)&gateways[i] + offset);
    }
    return n;
}

#define TOTAL(member) total(offsetof(struct gateway, member))

/* Runs the gateways until each request has its answer, at most 10 s. */
static void
run_until_answered(void)
{
    for (int i = 0;
         i < 1000 && TOTAL(permitted) + TOTAL(refused) < TOTAL(asked); i++) {
        run(10);
    }
    CU_ASSERT_EQUAL(TOTAL(permitted) + TOTAL(refused), TOTAL(asked));
}

/* Returns the gateway that counts the customer, as all gateways say. */
static int
find_owner(void)
{
    int owner = -1;

    for (int i = 0; i < GATEWAYS; i++) {
        ask(&gateways[i]);
    }
    run_until_answered();
    for (int i = 0; i < GATEWAYS; i++) {
        CU_ASSERT_PTR_NOT_NULL_FATAL(gateways[i].owner);
        CU_ASSERT_STRING_EQUAL(gateways[i].owner, gateways[0].owner);
        owner = gateways[0].owner[1] - '0';
    }
    return owner;
}

/* Names of two gateways other than the owner. */
static const char *
others(int owner)
{
    static char text[3];
    int n = 0;

    for (int i = 0; i < GATEWAYS && n < 2; i++) {
        if (i != owner) {
            text[n++] = (char)('0' + i);
        }
    }
    return text;
}

/* Guards against a limit for each gateway instead of one for all. */
static void
test_sum(void)
{
    start();
    load("01234", 200, 2000);
    run(100);
    CU_ASSERT_TRUE(permitted_len >= RATE * 2 + BURST - 5);
    CU_ASSERT_TRUE(most_in(2000) <= RATE * 2.2 + BURST + SPARE + 5);
    CU_ASSERT_EQUAL(TOTAL(permitted) + TOTAL(refused), TOTAL(asked));
    stop();
}

/* Guards against refusals and waits of a customer at its usual load. */
static void
test_usual(void)
{
    start();
    load("012", RATE / 1.6, 3000);
    run(50);
    CU_ASSERT_EQUAL(TOTAL(refused), 0);
    CU_ASSERT_EQUAL(permitted_len, TOTAL(asked));
    stop();
}

static void
lose_owner(int owner)
{
    bool alive[GATEWAYS] = {true, true, true, true, true};

    alive[owner] = false;
    for (int i = 0; i < GATEWAYS; i++) {
        if (i != owner && gateways[i].side == 0) {
            publish_members(&gateways[i], alive, true);
        }
    }
}

/*
 * Guards against a second burst, or refusals of usual load, after the owner
 * was killed and its links broke.
 */
static void
test_owner_killed(void)
{
    for (int hot = 0; hot <= 1; hot++) {
        double per_s = hot ? 10 * RATE : RATE / 1.6;
        int owner;

        start();
        owner = find_owner();
        load(others(owner), per_s, 1500);
        gateways[owner].dead = true;
        for (int i = 0; i < GATEWAYS; i++) {
            struct ggw_peer_lost *lost = g_new0(struct ggw_peer_lost, 1);

            lost->base.ops = &ggw_peer_lost_ops;
            lost->peer = g_strdup(names[owner]);
            ggw_kernel_publish(gateways[i].kernel, NULL, &lost->base);
        }
        load(others(owner), per_s, 500);
        lose_owner(owner);
        load(others(owner), per_s, 1500);
        run(1600);
        printf("owner killed, load %.0f: %u of %u permitted, longest wait "
               "%.0f ms\n",
               per_s, permitted_len, TOTAL(asked),
               gateways[others(owner)[0] - '0'].longest_wait);
        CU_ASSERT_TRUE(most_in(5000) <= (RATE * 5 + BURST) * 1.1 + 20);
        CU_ASSERT_TRUE(most_in(2000) <= RATE * 2.5 + BURST + SPARE + 5);
        CU_ASSERT_TRUE(hot || permitted_len == TOTAL(asked));
        gateways[owner].dead = false;
        stop();
    }
}

/*
 * Guards against an owner that grants what it collected during a pause, while
 * another gateway was the owner.
 */
static void
test_owner_paused(void)
{
    static const bool all[GATEWAYS] = {true, true, true, true, true};
    int owner;

    start();
    owner = find_owner();
    load(others(owner), 10 * RATE, 1000);
    gateways[owner].paused = true;
    load(others(owner), 10 * RATE, 700);
    lose_owner(owner);
    load(others(owner), 10 * RATE, 1500);
    gateways[owner].paused = false;
    run(20);
    for (int i = 0; i < GATEWAYS; i++) {
        publish_members(&gateways[i], all, true);
    }
    load(others(owner), 10 * RATE, 1000);
    printf("owner paused: %u permitted in 5 s\n", most_in(5000));
    CU_ASSERT_TRUE(most_in(5000) <= RATE * 5.2 + BURST + SPARE + 5);
    stop();
}

/* Guards against a smaller side of a partition that grants the whole rate. */
static void
test_partition(void)
{
    static const bool left[GATEWAYS] = {true, true, false, false, false};
    static const bool right[GATEWAYS] = {false, false, true, true, true};
    unsigned before;

    start();
    for (int i = 0; i < GATEWAYS; i++) {
        gateways[i].side = i < 2;
        publish_members(&gateways[i], i < 2 ? left : right, i >= 2);
    }
    run(1000);
    load("01", 10 * RATE, 2000);
    CU_ASSERT_TRUE(permitted_len <= 4);
    before = permitted_len;
    load("234", 10 * RATE, 2000);
    CU_ASSERT_TRUE(permitted_len - before >= RATE * 2);
    CU_ASSERT_TRUE(permitted_len <= (RATE * 5 + BURST) * 1.1 + 20);
    run(1600);
    CU_ASSERT_EQUAL(TOTAL(permitted) + TOTAL(refused), TOTAL(asked));
    stop();
}

/*
 * Guards against two owners while the views of the gateways differ: an ask
 * reaches the owner through a gateway that knows it.
 */
static void
test_views_differ(void)
{
    bool alive[GATEWAYS] = {true, true, true, true, true};
    int owner, stray;

    start();
    owner = find_owner();
    stray = others(owner)[0] - '0';
    alive[owner] = false;
    publish_members(&gateways[stray], alive, true);
    run(10);
    load(others(owner), 10 * RATE, 2000);
    run(100);
    printf("views differ: %u permitted in 2 s\n", most_in(2000));
    CU_ASSERT_TRUE(most_in(2000) <= RATE * 2.2 + BURST + SPARE + 10);
    stop();
}

/*
 * Guards against a gateway that counts the customers of another one for good
 * after its link to it was lost for a moment: the list of gateways does not
 * change, so it is not published again.
 */
static void
test_link_back(void)
{
    const char *stray_owner;
    int owner;

    start();
    owner = find_owner();
    for (const char *other = others(owner); *other != '\0'; other++) {
        struct ggw_peer_lost *lost = g_new0(struct ggw_peer_lost, 1);

        lost->base.ops = &ggw_peer_lost_ops;
        lost->peer = g_strdup(names[owner]);
        ggw_kernel_send(gateways[*other - '0'].kernel, "allotments", NULL,
                        &lost->base);
    }
    run(1500);
    for (const char *other = others(owner); *other != '\0'; other++) {
        ask(&gateways[*other - '0']);
        run_until_answered();
        stray_owner = gateways[*other - '0'].owner;
        CU_ASSERT_STRING_EQUAL(stray_owner != NULL ? stray_owner : "",
                               names[owner]);
    }
    stop();
}

/* Guards against requests that wait although the limit was removed. */
static void
test_limit_removed(void)
{
    start();
    for (int i = 0; i < 200; i++) {
        ask(&gateways[1]);
    }
    for (int i = 0; i < GATEWAYS; i++) {
        publish_settings(&gateways[i], 2, settings_without_limit);
    }
    run(20);
    permitted_len = 0;
    for (int i = 0; i < 200; i++) {
        ask(&gateways[1]);
    }
    run_until_answered();
    CU_ASSERT_EQUAL(permitted_len, 200);
    stop();
}

/* Guards against a status page that does not show who counts a customer. */
static void
test_status(void)
{
    int owner, counted = 0;

    start();
    owner = find_owner();
    run(1300);
    for (int i = 0; i < GATEWAYS; i++) {
        const json_t *c = json_array_get(gateways[i].status, 0);

        CU_ASSERT_EQUAL(json_integer_value(json_object_get(c, "permitted")),
                        1);
        CU_ASSERT_EQUAL(json_number_value(json_object_get(c, "rate")), RATE);
        counted += json_is_true(json_object_get(c, "counted_here"));
    }
    CU_ASSERT_EQUAL(counted, 1);
    CU_ASSERT_TRUE(json_is_true(json_object_get(
        json_array_get(gateways[owner].status, 0), "counted_here")));
    stop();
}

/* Guards against requests without an answer when no gateway is the owner. */
static void
test_no_owner(void)
{
    static const bool none[GATEWAYS] = {false};

    start();
    publish_members(&gateways[0], none, false);
    ask(&gateways[0]);
    run(100);
    CU_ASSERT_EQUAL(TOTAL(permitted) + TOTAL(refused), 0);
    run(1700);
    CU_ASSERT_EQUAL(TOTAL(refused), 1);
    stop();
}

/* Guards against damage by malformed frames. */
static void
test_malformed(void)
{
    /* No array, without fields, with a field of a wrong type, empty. */
    static const struct {
        const char *bytes;
        size_t len;
    } payloads[] = {{"\xc1", 1},     {"\x90", 1},         {"\x91\x00", 2},
                    {"\x91\x01", 2}, {"\x92\x00\xc0", 3}, {"", 0}};

    start();
    for (size_t i = 0; i < G_N_ELEMENTS(payloads); i++) {
        struct ggw_peer_received *r = g_new0(struct ggw_peer_received, 1);

        r->base.ops = &ggw_peer_received_ops;
        r->peer = g_strdup("g1");
        r->type = GGW_PEER_ALLOTMENT;
        r->payload = g_bytes_new(payloads[i].bytes, payloads[i].len);
        ggw_kernel_send(gateways[0].kernel, "allotments", NULL, &r->base);
    }
    run(10);
    ask(&gateways[0]);
    run_until_answered();
    CU_ASSERT_EQUAL(permitted_len, 1);
    stop();
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"sum", test_sum},
        {"usual load", test_usual},
        {"owner killed", test_owner_killed},
        {"owner paused", test_owner_paused},
        {"partition", test_partition},
        {"views differ", test_views_differ},
        {"link back", test_link_back},
        {"limit removed", test_limit_removed},
        {"status", test_status},
        {"no owner", test_no_owner},
        {"malformed", test_malformed},
        CU_TEST_INFO_NULL,
    };

    return suite_run("allotments", tests);
}
