#include <CUnit/Basic.h>
#include <string.h>

#include "common/metrics.h"
#include "config/config.h"
#include "peers/frame.h"
#include "tests/cluster.h"

/* Returns the number of links of all gateways that were closed for @reason. */
static uint64_t
closed_for(const char *reason)
{
    g_autofree char *name =
        g_strdup_printf("ggw_peer_links_closed_total{reason=\"%s\"}", reason);

    return *ggw_counter(name);
}

static struct cluster *
three_gateways(void (*on_message)(struct node *, struct ggw_message *))
{
    struct cluster *c = g_new(struct cluster, 1);

    cluster_init(c);
    cluster_add(c, "cairo-a", NULL, on_message);
    cluster_add(c, "cairo-b", NULL, on_message);
    cluster_add(c, "cairo-c", NULL, on_message);
    return c;
}

static void
free_cluster(struct cluster *c)
{
    cluster_destroy(c);
    g_free(c);
}

/*
 * Guards against gateways that know only their seed because they do not learn
 * the addresses of the others through it.
 */
static void
test_join(void)
{
    struct cluster *c = three_gateways(NULL);

    CU_ASSERT_TRUE(cluster_wait(c, cluster_joined));
    CU_ASSERT_EQUAL(c->nodes[2].client->known_gateways, 3);
    free_cluster(c);
}

/*
 * Guards against gateways that send all known addresses again whenever another
 * one joins. With 48 gateways that was half of all bytes sent between them.
 */
static void
test_addresses_announced_once(void)
{
    struct cluster c;
    uint64_t *sent = ggw_counter("ggw_peer_new_addresses_sent_total");
    const uint64_t others = CLUSTER_MAX - 1;

    cluster_init(&c);
    for (int i = 0; i < CLUSTER_MAX - 1; i++) {
        cluster_add(&c, "cairo-a", NULL, NULL);
    }
    CU_ASSERT_TRUE(cluster_wait(&c, cluster_joined));
    cluster_run_for(&c, 200);
    *sent = 0;
    cluster_add(&c, "cairo-a", NULL, NULL);
    CU_ASSERT_TRUE(cluster_wait(&c, cluster_joined));
    cluster_run_for(&c, 200);
    /*
     * The new gateway learns the addresses of all others, and all others learn
     * its address. Every learned address is sent once over every link, and a
     * pair of gateways may have two links.
     */
    CU_ASSERT_TRUE(*sent > 0);
    CU_ASSERT_TRUE(*sent <= (others + others) * 2 * others);
    cluster_destroy(&c);
}

static bool
first_is_leaving(struct cluster *c)
{
    return node_sees(&c->nodes[1], "gw-0", GGW_MEMBER_LEAVING) &&
           node_sees(&c->nodes[2], "gw-0", GGW_MEMBER_LEAVING);
}

/*
 * Guards against a leaving gateway that does not announce it, so that the
 * others only notice by its silence.
 */
static void
test_leave(void)
{
    struct cluster *c = three_gateways(NULL);

    CU_ASSERT_TRUE(cluster_wait(c, cluster_joined));
    ggw_kernel_publish(c->nodes[0].kernel, NULL, ggw_shutdown_new());
    CU_ASSERT_TRUE(cluster_wait(c, first_is_leaving));
    CU_ASSERT_TRUE(node_sees(&c->nodes[0], "gw-0", GGW_MEMBER_LEAVING));
    CU_ASSERT_EQUAL(c->nodes[1].client->known_gateways, 2);
    free_cluster(c);
}

static bool
first_is_suspected(struct cluster *c)
{
    return node_sees(&c->nodes[1], "gw-0", GGW_MEMBER_SUSPECTED);
}

static bool
first_is_dead(struct cluster *c)
{
    return node_sees(&c->nodes[1], "gw-0", GGW_MEMBER_DEAD) &&
           node_sees(&c->nodes[2], "gw-0", GGW_MEMBER_DEAD);
}

/* Whether the first gateway has counted another one as dead meanwhile. */
static bool first_saw_death;

static bool
joined_after_pause(struct cluster *c)
{
    first_saw_death = first_saw_death ||
                      node_sees(&c->nodes[0], "gw-1", GGW_MEMBER_DEAD) ||
                      node_sees(&c->nodes[0], "gw-2", GGW_MEMBER_DEAD);
    return cluster_joined(c);
}

/*
 * Guards against a paused gateway that can never rejoin because the others
 * declared its incarnation dead, and against one that declares all others dead
 * when it resumes because it received nothing during the pause.
 */
static void
test_pause_and_resume(void)
{
    struct cluster *c = three_gateways(NULL);

    CU_ASSERT_TRUE(cluster_wait(c, cluster_joined));
    c->nodes[0].paused = true;
    CU_ASSERT_TRUE(cluster_wait(c, first_is_suspected));
    CU_ASSERT_TRUE(cluster_wait(c, first_is_dead));
    CU_ASSERT_TRUE(node_sees(&c->nodes[0], "gw-1", GGW_MEMBER_ALIVE));
    c->nodes[0].paused = false;
    first_saw_death = false;
    CU_ASSERT_TRUE(cluster_wait(c, joined_after_pause));
    CU_ASSERT_FALSE(first_saw_death);
    free_cluster(c);
}

/*
 * Guards against gateways that stay disconnected after a partition has ended,
 * and against a partition that lowers the number of known gateways.
 */
static void
test_cut_and_heal(void)
{
    struct cluster *c = three_gateways(NULL);

    CU_ASSERT_TRUE(cluster_wait(c, cluster_joined));
    for (int i = 0; i < c->len; i++) {
        relay_set_mode(&c->nodes[i].relay, RELAY_CUT);
    }
    CU_ASSERT_TRUE(cluster_wait(c, first_is_dead));
    CU_ASSERT_EQUAL(c->nodes[1].client->known_gateways, 3);
    CU_ASSERT_TRUE(c->nodes[1].client->lost_peers >= 2);
    for (int i = 0; i < c->len; i++) {
        relay_set_mode(&c->nodes[i].relay, RELAY_FORWARD);
    }
    CU_ASSERT_TRUE(cluster_wait(c, cluster_joined));
    free_cluster(c);
}

static uint64_t silent_count_before;

static bool
silent_links_closed(struct cluster *c)
{
    return closed_for("silent") > silent_count_before;
}

/*
 * Guards against links that stay in use after they went silent although new
 * connections would work, and against gateways suspected because of such
 * links.
 */
static void
test_silent_links(void)
{
    struct cluster *c = three_gateways(NULL);

    CU_ASSERT_TRUE(cluster_wait(c, cluster_joined));
    silent_count_before = closed_for("silent");
    for (int i = 0; i < c->len; i++) {
        relay_silence(&c->nodes[i].relay);
    }
    CU_ASSERT_TRUE(cluster_wait(c, silent_links_closed));
    CU_ASSERT_TRUE(cluster_joined(c));
    CU_ASSERT_EQUAL(c->nodes[0].client->lost_peers, 0);
    free_cluster(c);
}

static int revisions_seen;

static void
count_revisions(struct node *node, struct ggw_message *message)
{
    if (message->ops == &ggw_peer_revision_ops) {
        revisions_seen++;
    }
}

/* Receive function of a fake service "config" in the first gateway. */
static void
config_receive(struct ggw_service *service, struct ggw_message *message)
{
    count_revisions(NULL, message);
}

static const struct ggw_service_ops config_ops = {
    .name = "config",
    .receive = config_receive,
    .destroy = (void (*)(struct ggw_service *))g_free,
};

static bool
revision_was_seen(struct cluster *c)
{
    return revisions_seen > 0;
}

/*
 * Guards against heartbeats that do not announce a newer configuration
 * revision, so that a gateway that missed it would never request it.
 */
static void
test_revisions(void)
{
    struct cluster c;
    struct ggw_service *config = g_new0(struct ggw_service, 1);
    struct ggw_tree *tree = ggw_tree_parse("nile-strand", 7, "{}", NULL);

    CU_ASSERT_PTR_NOT_NULL_FATAL(tree);
    config->ops = &config_ops;
    cluster_init(&c);
    cluster_add(&c, "cairo-a", config, NULL);
    cluster_add(&c, "cairo-b", NULL, NULL);
    ggw_kernel_publish(c.nodes[1].kernel, NULL, ggw_config_in_force_new(tree));
    CU_ASSERT_TRUE(cluster_wait(&c, revision_was_seen));
    ggw_tree_unref(tree);
    cluster_destroy(&c);
}

/**
 * struct raw_connection - a connection that sends arbitrary bytes to a gateway
 * @tcp: the connection
 * @connect: its connection attempt
 * @write: the write of @bytes
 * @bytes: bytes to send
 * @close_after_write: closes the connection from this end after the write
 * @closed: the connection has closed
 */
struct raw_connection {
    uv_tcp_t tcp;
    uv_connect_t connect;
    uv_write_t write;
    GByteArray *bytes;
    bool close_after_write;
    bool closed;
};

static void
raw_alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    static char input[4096];

    *buf = uv_buf_init(input, sizeof(input));
}

static void
raw_closed_cb(uv_handle_t *handle)
{
    ((struct raw_connection *)handle->data)->closed = true;
}

static void
raw_read_cb(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    if (n < 0) {
        uv_close((uv_handle_t *)stream, raw_closed_cb);
    }
}

static void
raw_written_cb(uv_write_t *req, int status)
{
    struct raw_connection *r = req->handle->data;

    if (r->close_after_write) {
        uv_close((uv_handle_t *)&r->tcp, raw_closed_cb);
    }
}

static void
raw_connect_cb(uv_connect_t *req, int status)
{
    struct raw_connection *r = req->handle->data;
    uv_buf_t buf = uv_buf_init((char *)r->bytes->data, r->bytes->len);

    CU_ASSERT_EQUAL(status, 0);
    uv_read_start(req->handle, raw_alloc_cb, raw_read_cb);
    uv_write(&r->write, req->handle, &buf, 1, raw_written_cb);
}

static struct raw_connection raw;
static const char *raw_reason;
static uint64_t raw_count_before;

static bool
raw_is_closed(struct cluster *c)
{
    return raw.closed && closed_for(raw_reason) > raw_count_before;
}

/*
 * Sends bytes to the first gateway on a new connection and expects that it
 * closes the link and counts @reason.
 */
static void
send_raw(struct cluster *c, const char *bytes, size_t len, const char *reason)
{
    struct sockaddr_in address;

    memset(&raw, 0, sizeof(raw));
    raw.close_after_write = strcmp(reason, "truncated") == 0;
    raw.bytes = g_byte_array_append(g_byte_array_new(), (const guint8 *)bytes,
                                    (guint)len);
    raw_reason = reason;
    raw_count_before = closed_for(reason);
    uv_tcp_init(&c->relay_loop, &raw.tcp);
    raw.tcp.data = &raw;
    uv_ip4_addr("127.0.2.1", ggw_peers_port(c->nodes[0].peers), &address);
    uv_tcp_connect(&raw.connect, &raw.tcp, (struct sockaddr *)&address,
                   raw_connect_cb);
    CU_ASSERT_TRUE(cluster_wait(c, raw_is_closed));
    g_byte_array_unref(raw.bytes);
}

/*
 * Guards against an invalid frame that affects more than its own link. Every
 * kind of error must be counted, and all gateways must stay joined.
 */
static void
test_invalid_frames(void)
{
    struct cluster *c = three_gateways(NULL);

    CU_ASSERT_TRUE(cluster_wait(c, cluster_joined));
    send_raw(c, "\xff\xff\xff\xff", 4, "oversized");
    send_raw(c, "\0\0\0\5\x93\x01\x01\x01\xc0", 9, "malformed");
    send_raw(c, "\0\0\0\5\x94\x63\x01\x01\xc0", 9, "version");
    send_raw(c, "\0\0\0\5\x94\x01\x01\x01\xc0", 9, "payload");
    send_raw(c, "\0\0\0\5\x94\x01\x02\x01\xc0", 9, "payload");
    send_raw(c, "\0\0\0\5\x94\x01", 6, "truncated");
    CU_ASSERT_TRUE(cluster_joined(c));
    CU_ASSERT_EQUAL(c->nodes[0].client->lost_peers, 0);
    free_cluster(c);
}

/*
 * Guards against memory that is filled over links whose other end has not said
 * which gateway it is: the first frame of a link is a hello, which is short.
 */
static void
test_large_first_frame(void)
{
    struct cluster *c = three_gateways(NULL);
    uint64_t silent;

    CU_ASSERT_TRUE(cluster_wait(c, cluster_joined));
    silent = closed_for("silent");
    send_raw(c, "\0\2\0\0\x94\x01\x01\x01", 8, "oversized");
    CU_ASSERT_EQUAL(closed_for("silent"), silent);
    CU_ASSERT_TRUE(cluster_joined(c));
    free_cluster(c);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("peers", NULL, NULL);
    CU_add_test(suite, "join", test_join);
    CU_add_test(suite, "addresses announced once",
                test_addresses_announced_once);
    CU_add_test(suite, "leave", test_leave);
    CU_add_test(suite, "pause and resume", test_pause_and_resume);
    CU_add_test(suite, "cut and heal", test_cut_and_heal);
    CU_add_test(suite, "silent links", test_silent_links);
    CU_add_test(suite, "revisions", test_revisions);
    CU_add_test(suite, "invalid frames", test_invalid_frames);
    CU_add_test(suite, "large first frame", test_large_first_frame);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    ggw_metrics_fini();
    return failures != 0;
}
