#include <CUnit/CUnit.h>
#include <string.h>

#include "common/metrics.h"
#include "decide/view.h"
#include "peers/frame.h"
#include "peers/payload.h"
#include "tests/cluster.h"
#include "tests/suite.h"

/* Number of addresses above the maximum of one hello. */
#define MANY 80

/**
 * struct fake - gateway that only sends one hello and counts what it receives
 * @hello: frame to send once connected
 * @addresses: of char *; addresses that it was told
 * @hellos: hellos received
 * @heartbeats: heartbeats received
 * @closed: its connection has closed
 */
struct fake {
    uv_tcp_t tcp;
    uv_connect_t connect;
    uv_write_t write;
    GByteArray *hello;
    struct ggw_frame_decoder *decoder;
    GHashTable *addresses;
    int hellos;
    int heartbeats;
    bool closed;
};

static struct fake fakes[MANY + 1];
static int fakes_len;

static void
alloc_cb(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    static char input[64 * 1024];

    *buf = uv_buf_init(input, sizeof(input));
}

static void
read_hello(struct fake *f, const struct ggw_frame *frame)
{
    struct ggw_payload_reader r;
    struct ggw_payload_reader list;
    uint32_t n;

    ggw_payload_open(&r, frame->payload, frame->payload_len);
    ggw_payload_string(&r); /* name */
    ggw_payload_uint(&r);   /* incarnation */
    ggw_payload_string(&r); /* failure domain */
    ggw_payload_string(&r); /* host */
    ggw_payload_uint(&r);   /* port */
    ggw_payload_bool(&r);   /* leaving */
    ggw_payload_uint(&r);   /* dead incarnation */
    ggw_payload_string(&r); /* peer host */
    ggw_payload_uint(&r);   /* peer port */
    n = ggw_payload_array(&r, &list) / 2;
    CU_ASSERT_TRUE(r.ok);
    for (uint32_t i = 0; i < n; i++) {
        const char *host = ggw_payload_string(&list);

        g_hash_table_add(
            f->addresses,
            g_strdup_printf("%s:%u", host, (unsigned)ggw_payload_uint(&list)));
    }
    ggw_payload_close(&r);
    f->hellos++;
}

static void
read_cb(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    struct fake *f = stream->data;
    struct ggw_frame frame;

    if (n <= 0) {
        return;
    }
    ggw_frame_feed(f->decoder, buf->base, (size_t)n);
    while (ggw_frame_next(f->decoder, &frame) == GGW_FRAME_READY) {
        if (frame.type == GGW_PEER_HELLO) {
            read_hello(f, &frame);
        }
        f->heartbeats += frame.type == GGW_PEER_HEARTBEAT;
    }
}

static void
connect_cb(uv_connect_t *req, int status)
{
    struct fake *f = req->handle->data;
    uv_buf_t buf = uv_buf_init((char *)f->hello->data, f->hello->len);

    CU_ASSERT_EQUAL(status, 0);
    uv_read_start(req->handle, alloc_cb, read_cb);
    uv_write(&f->write, req->handle, &buf, 1, NULL);
}

static GByteArray *
make_hello(int i, bool wants_addresses)
{
    g_autofree char *name = g_strdup_printf("fake-%d", i);
    g_autofree char *host = g_strdup_printf("127.0.3.%d", i + 1);
    GByteArray *out = g_byte_array_new();
    struct ggw_payload_writer w;
    g_autoptr(GBytes) payload = NULL;
    gsize len;
    gconstpointer data;

    ggw_payload_begin(&w, 13);
    ggw_payload_put_string(&w, name);
    ggw_payload_put_uint(&w, 1);
    ggw_payload_put_string(&w, "cairo-a");
    ggw_payload_put_string(&w, host);
    ggw_payload_put_uint(&w, 80);
    ggw_payload_put_bool(&w, false);
    ggw_payload_put_uint(&w, 0);
    ggw_payload_put_string(&w, host);
    ggw_payload_put_uint(&w, 9);
    ggw_payload_put_array(&w, 0);
    ggw_payload_put_uint(&w, 0);
    ggw_payload_put_uint(&w, 0);
    ggw_payload_put_bool(&w, wants_addresses);
    payload = ggw_payload_end(&w);
    data = g_bytes_get_data(payload, &len);
    ggw_frame_encode(out, GGW_PEER_HELLO, 0, data, len);
    return out;
}

/* Connects one more fake gateway to the first gateway of the cluster. */
static struct fake *
add_fake(struct cluster *c, bool wants_addresses)
{
    struct fake *f = &fakes[fakes_len];
    struct sockaddr_in address;

    memset(f, 0, sizeof(*f));
    f->hello = make_hello(fakes_len++, wants_addresses);
    f->decoder = ggw_frame_decoder_new();
    f->addresses =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    uv_tcp_init(&c->relay_loop, &f->tcp);
    f->tcp.data = f;
    uv_ip4_addr("127.0.2.1", ggw_peers_port(c->nodes[0].peers), &address);
    uv_tcp_connect(&f->connect, &f->tcp, (struct sockaddr *)&address,
                   connect_cb);
    return f;
}

static void
closed_cb(uv_handle_t *handle)
{
    ((struct fake *)handle->data)->closed = true;
}

static bool
all_closed(struct cluster *c)
{
    for (int i = 0; i < fakes_len; i++) {
        if (!fakes[i].closed) {
            return false;
        }
    }
    return true;
}

static void
stop(struct cluster *c)
{
    for (int i = 0; i < fakes_len; i++) {
        uv_close((uv_handle_t *)&fakes[i].tcp, closed_cb);
    }
    CU_ASSERT_TRUE(cluster_wait(c, all_closed));
    for (int i = 0; i < fakes_len; i++) {
        ggw_frame_decoder_free(fakes[i].decoder);
        g_byte_array_unref(fakes[i].hello);
        g_hash_table_unref(fakes[i].addresses);
    }
    cluster_destroy(c);
}

static void
start(struct cluster *c)
{
    fakes_len = 0;
    cluster_init(c);
    cluster_add(c, "cairo-a", NULL, NULL);
}

static bool
all_greeted(struct cluster *c)
{
    for (int i = 0; i < fakes_len; i++) {
        if (fakes[i].heartbeats == 0) {
            return false;
        }
    }
    return true;
}

static bool
last_knows_all(struct cluster *c)
{
    return g_hash_table_size(fakes[fakes_len - 1].addresses) ==
           (guint)fakes_len;
}

/*
 * Guards against a gateway that never learns of some of the others because one
 * hello cannot hold all addresses.
 */
static void
test_many_addresses(void)
{
    struct cluster c;

    start(&c);
    for (int i = 0; i < MANY; i++) {
        add_fake(&c, false);
    }
    CU_ASSERT_TRUE(cluster_wait(&c, all_greeted));
    add_fake(&c, true);
    CU_ASSERT_TRUE(cluster_wait(&c, last_knows_all));
    stop(&c);
}

/*
 * Guards against addresses that every gateway sends to every other one. With
 * 189 gateways these were a quarter of all bytes of their start.
 */
static void
test_only_told_if_asked(void)
{
    struct cluster c;

    start(&c);
    add_fake(&c, true);
    CU_ASSERT_TRUE(cluster_wait(&c, all_greeted));
    for (int i = 0; i < 20; i++) {
        add_fake(&c, false);
    }
    CU_ASSERT_TRUE(cluster_wait(&c, all_greeted));
    cluster_run_for(&c, 200);
    /* The asking gateway learns the later addresses without asking again. */
    CU_ASSERT_EQUAL(g_hash_table_size(fakes[0].addresses), (guint)fakes_len);
    for (int i = 1; i < fakes_len; i++) {
        CU_ASSERT_EQUAL(g_hash_table_size(fakes[i].addresses), 0);
    }
    stop(&c);
}

/*
 * Guards against heartbeats to all gateways whenever one joins. They grew with
 * the square of the gateways that start together.
 */
static void
test_heartbeats_while_others_join(void)
{
    struct cluster c;
    ggw_ms started;
    ggw_ms elapsed;

    start(&c);
    add_fake(&c, false);
    CU_ASSERT_TRUE(cluster_wait(&c, all_greeted));
    fakes[0].heartbeats = 0;
    started = ggw_clock_now(ggw_clock_system());
    for (int i = 0; i < 20; i++) {
        add_fake(&c, false);
        cluster_run_for(&c, 60);
    }
    elapsed = ggw_clock_now(ggw_clock_system()) - started;
    CU_ASSERT_TRUE(fakes[0].heartbeats <=
                   elapsed / GGW_HEARTBEAT_INTERVAL + 1);
    stop(&c);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"many addresses", test_many_addresses},
        {"only told if asked", test_only_told_if_asked},
        {"heartbeats while others join", test_heartbeats_while_others_join},
        CU_TEST_INFO_NULL,
    };
    int status = suite_run("addresses", tests);

    ggw_metrics_fini();
    return status;
}
