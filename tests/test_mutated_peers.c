#include <arpa/inet.h>
#include <math.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/metrics.h"
#include "peers/frame.h"
#include "peers/internal.h"
#include "peers/payload.h"
#include "peers/peers.h"
#include "tests/slots_driver.h"
#include "tests/suite.h"

/*
 * Frames between gateways whose fields have odd values or types. Each frame is
 * well-formed msgpack, so that it reaches the code that uses the fields. A
 * frame may be refused or may mislead; it must not end the process, which the
 * sanitizers watch.
 */

#define SEED 3

/* Frames to the service "slots", and connections with a hello. */
#define SLOT_FRAMES 100000
#define CONNECTIONS 300

/* Frames between two runs of the event loops. */
#define FRAMES_OF_RUN 100

/* Frames of each kind whose times have no end. */
#define TIMES_FRAMES 100

/* Version of a list of servers that is newer than the first one. */
#define NEXT_LIST 100

/* Address of the first gateway; see tests/cluster.c. */
#define GATEWAY_HOST "127.0.2.1"

/**
 * struct frame_form - fields of a frame
 * @type: enum ggw_peer_frame_type
 * @fields: one letter for each field: s string, u integer, d double, b
 *          boolean, a array of strings, r array of handover records, p array
 *          of strings and integers
 */
struct frame_form {
    int type;
    const char *fields;
};

static const struct frame_form slot_forms[] = {
    {GGW_PEER_SLOT_ACQUIRE, "sssudbadddd"},
    {GGW_PEER_SLOT_ACQUIRE, "sssudbaddddssb"},
    {GGW_PEER_SLOT_GRANT, "s"},
    {GGW_PEER_SLOT_REFUSE, "ud"},
    {GGW_PEER_SLOT_RELEASE, "ssssudbuuubbuudb"},
    {GGW_PEER_SLOT_CANCEL, "sss"},
    {GGW_PEER_SLOT_SYNC, "usssr"},
    {GGW_PEER_SLOT_LOAD, "sssuba"},
    {GGW_PEER_SLOT_QUEUED, ""},
    {GGW_PEER_SLOT_NOTICE, "ssssbd"},
};

static const struct frame_form link_forms[] = {
    {GGW_PEER_HELLO, "susssbuSupuub"},
    {GGW_PEER_HEARTBEAT, "ubuudp"},
};

/* All addresses are on loopback, where the gateway may connect. */
static const char *const strings[] = {
    "T",  "S",    "cairo-a", "a",         "s-0",       "s-1",
    "",   "gw-0", "gw-1",    "gw-9",      "\xff\xfe",  "a\r\nb: c\"",
    "%s", "::1",  "x",       "127.0.0.1", "999.1.1.1",
};

static const uint64_t integers[] = {
    0,         1,          2,         3,          7,         100,
    INT16_MAX, UINT16_MAX, INT32_MAX, UINT32_MAX, INT64_MAX, UINT64_MAX,
};

static const double doubles[] = {
    0,        1,      -1,       0.5, 20,   1000, 1e9,  -1e18,     1e300,
    -1.7e308, 5e-324, INFINITY, NAN, 1e15, 50,   -0.0, -INFINITY, 1e19,
};

#define PICK(rand, list)                                                      \
    ((list)[g_rand_int_range(rand, 0, (gint32)G_N_ELEMENTS(list))])

static void
put_string(struct ggw_payload_writer *w, GRand *rand)
{
    g_autofree char *longest = NULL;

    if (g_rand_int_range(rand, 0, 50) == 0) {
        longest = g_strnfill(5000, 'x');
        ggw_payload_put_string(w, longest);
        return;
    }
    ggw_payload_put_string(w, PICK(rand, strings));
}

static void
put_strings(struct ggw_payload_writer *w, GRand *rand)
{
    uint32_t n = (uint32_t)g_rand_int_range(rand, 0, 6);

    ggw_payload_put_array(w, n);
    for (uint32_t i = 0; i < n; i++) {
        put_string(w, rand);
    }
}

static void put_field(struct ggw_payload_writer *w, char field, GRand *rand);

/* Puts arrays with the fields of handover records. */
static void
put_records(struct ggw_payload_writer *w, GRand *rand)
{
    static const char record[] = "subsud";
    uint32_t n = (uint32_t)g_rand_int_range(rand, 0, 4);

    ggw_payload_put_array(w, n);
    for (uint32_t i = 0; i < n; i++) {
        ggw_payload_put_array(w, strlen(record));
        for (const char *f = record; *f != '\0'; f++) {
            put_field(w, *f, rand);
        }
    }
}

static void
put_pairs(struct ggw_payload_writer *w, GRand *rand)
{
    uint32_t n = (uint32_t)g_rand_int_range(rand, 0, 6);

    ggw_payload_put_array(w, 2 * n);
    for (uint32_t i = 0; i < n; i++) {
        put_string(w, rand);
        ggw_payload_put_uint(w, PICK(rand, integers));
    }
}

/* Puts a value of the field's type, now and then of another one. */
static void
put_field(struct ggw_payload_writer *w, char field, GRand *rand)
{
    static const char types[] = "sudbap";

    if (g_rand_int_range(rand, 0, 60) == 0) {
        field = types[g_rand_int_range(rand, 0, sizeof(types) - 1)];
    }
    switch (field) {
    case 'u':
        ggw_payload_put_uint(w, PICK(rand, integers));
        break;
    case 'd':
        ggw_payload_put_double(w, PICK(rand, doubles));
        break;
    case 'b':
        ggw_payload_put_bool(w, g_rand_boolean(rand));
        break;
    case 'a':
        put_strings(w, rand);
        break;
    case 'r':
        put_records(w, rand);
        break;
    case 'p':
        put_pairs(w, rand);
        break;
    case 'S':
        ggw_payload_put_string(w, "127.0.0.1");
        break;
    default:
        put_string(w, rand);
        break;
    }
}

/* The domain's names are right in most frames, so that its state is reached.
 */
static GBytes *
make_payload(const struct frame_form *form, GRand *rand)
{
    uint32_t len = (uint32_t)strlen(form->fields);
    bool known = g_rand_int_range(rand, 0, 10) > 0;
    int names = 0;
    struct ggw_payload_writer w;

    if (g_rand_int_range(rand, 0, 20) == 0) {
        len = (uint32_t)g_rand_int_range(rand, 0, (gint32)len + 1);
    }
    ggw_payload_begin(&w, len);
    for (uint32_t i = 0; i < len; i++) {
        if (form->fields[i] == 's' && known && names < 3 && len >= 3 &&
            form->type != GGW_PEER_HELLO) {
            static const char *const right[] = {"T", "S", "cairo-a"};

            ggw_payload_put_string(&w, right[names++]);
            continue;
        }
        put_field(&w, form->fields[i], rand);
    }
    return ggw_payload_end(&w);
}

static void
send_to_slots(struct cluster *c, GRand *rand)
{
    const struct frame_form *form = &PICK(rand, slot_forms);
    g_autoptr(GBytes) payload = make_payload(form, rand);
    struct node *n = &c->nodes[g_rand_int_range(rand, 0, c->len)];
    const char *peer = g_rand_int_range(rand, 0, 10) == 0 ? "gw-9" : "gw-1";
    struct ggw_frame frame = {
        .type = form->type,
        .request_id = PICK(rand, integers),
        .payload = g_bytes_get_data(payload, NULL),
        .payload_len = g_bytes_get_size(payload),
    };

    ggw_kernel_send(n->kernel, "slots", &n->client->base,
                    ggw_peer_received_new(peer, &frame));
}

static bool
has_new_grants(struct cluster *c)
{
    return slots_stats.grants > 20;
}

/* Guards against a frame about slots that ends the process of its receiver. */
static void
test_slot_frames(void)
{
    struct cluster *c = slots_cluster(2, 3, false);
    GRand *rand = g_rand_new_with_seed(SEED);

    for (int i = 0; i < SLOT_FRAMES; i++) {
        send_to_slots(c, rand);
        if (i % FRAMES_OF_RUN == 0) {
            slots_drive_for(c, 1);
        }
    }
    /* A frame may have said that a server leaves, which its restart ends. */
    slots_stats.incarnation = 2;
    for (int i = 0; i < c->len; i++) {
        slots_publish_servers(c, &c->nodes[i], NEXT_LIST, 3, false, false);
    }
    slots_stats.grants = 0;
    CU_ASSERT_TRUE(slots_drive_until(c, has_new_grants));
    slots_cluster_free(c);
    g_rand_free(rand);
}

/* Sends a frame about slots to each gateway, as if the other one had sent it.
 */
static void
send_frame(struct cluster *c, int type, uint64_t id,
           struct ggw_payload_writer *w)
{
    g_autoptr(GBytes) payload = ggw_payload_end(w);
    struct ggw_frame frame = {
        .type = type,
        .request_id = id,
        .payload = g_bytes_get_data(payload, NULL),
        .payload_len = g_bytes_get_size(payload),
    };

    for (int i = 0; i < c->len; i++) {
        struct node *n = &c->nodes[i];

        ggw_kernel_send(
            n->kernel, "slots", &n->client->base,
            ggw_peer_received_new(i == 0 ? "gw-1" : "gw-0", &frame));
    }
}

static void
put_domain(struct ggw_payload_writer *w, uint32_t fields)
{
    ggw_payload_begin(w, fields);
    ggw_payload_put_string(w, "T");
    ggw_payload_put_string(w, "S");
    ggw_payload_put_string(w, "cairo-a");
}

static void
send_acquire(struct cluster *c, uint64_t id, double deadline, double median)
{
    struct ggw_payload_writer w;

    put_domain(&w, 11);
    ggw_payload_put_uint(&w, 1);
    ggw_payload_put_double(&w, deadline);
    ggw_payload_put_bool(&w, true);
    ggw_payload_put_array(&w, 0);
    ggw_payload_put_double(&w, 0);
    ggw_payload_put_double(&w, 100);
    ggw_payload_put_double(&w, median);
    ggw_payload_put_double(&w, 50);
    send_frame(c, GGW_PEER_SLOT_ACQUIRE, id, &w);
}

/* Sends the handover record of a grant that never expires. */
static void
send_record(struct cluster *c, uint64_t id, const char *server)
{
    struct ggw_payload_writer w;

    ggw_payload_begin(&w, 5);
    ggw_payload_put_uint(&w, 1); /* an answer */
    ggw_payload_put_string(&w, "T");
    ggw_payload_put_string(&w, "S");
    ggw_payload_put_string(&w, "cairo-a");
    ggw_payload_put_array(&w, 1);
    ggw_payload_put_array(&w, 6);
    ggw_payload_put_string(&w, server);
    ggw_payload_put_uint(&w, 1);
    ggw_payload_put_bool(&w, true);
    ggw_payload_put_string(&w, "gw-1");
    ggw_payload_put_uint(&w, id);
    ggw_payload_put_double(&w, 1e300);
    send_frame(c, GGW_PEER_SLOT_SYNC, 0, &w);
}

static uint64_t
malformed(void)
{
    return *ggw_counter("ggw_slots_frames_malformed_total");
}

/*
 * Guards against a frame whose times take the slots of a server, or the places
 * of a queue, for good.
 */
static void
test_times(void)
{
    struct cluster *c = slots_cluster(2, 3, false);
    uint64_t before = malformed();

    for (uint64_t id = 1; id <= TIMES_FRAMES; id++) {
        send_acquire(c, 5 * id, 1e300, 5);
        send_acquire(c, 5 * id + 1, 1000, -1e300);
        send_record(c, 5 * id + 2, "s-0");
        send_record(c, 5 * id + 3, "s-1");
        send_record(c, 5 * id + 4, "s-2");
    }
    cluster_run_for(c, 100);
    /* The records are read by the owner alone. */
    CU_ASSERT_EQUAL(malformed() - before, (2 * 2 + 3) * TIMES_FRAMES);
    slots_stats.grants = 0;
    CU_ASSERT_TRUE(slots_drive_until(c, has_new_grants));
    slots_cluster_free(c);
}

static void
append_frame(GByteArray *out, const struct frame_form *form, GRand *rand)
{
    g_autoptr(GBytes) payload = make_payload(form, rand);

    ggw_frame_encode(out, form->type, PICK(rand, integers),
                     g_bytes_get_data(payload, NULL),
                     g_bytes_get_size(payload));
}

/* Sends a hello and further frames on a new connection. */
static void
send_hello(struct cluster *c, GRand *rand)
{
    struct sockaddr_in sa = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    g_autoptr(GByteArray) bytes = g_byte_array_new();

    sa.sin_port = htons(ggw_peers_port(c->nodes[0].peers));
    inet_pton(AF_INET, GATEWAY_HOST, &sa.sin_addr);
    append_frame(bytes, &link_forms[0], rand);
    for (int i = g_rand_int_range(rand, 0, 20); i > 0; i--) {
        append_frame(bytes, &PICK(rand, link_forms), rand);
        append_frame(bytes, &PICK(rand, slot_forms), rand);
    }
    CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
    CU_ASSERT_TRUE(send(fd, bytes->data, bytes->len, MSG_NOSIGNAL) > 0);
    cluster_run_once(c);
    cluster_run_once(c);
    close(fd);
}

/* Guards against a hello or heartbeat that ends the process. */
static void
test_link_frames(void)
{
    struct cluster *c = slots_cluster(2, 3, false);
    GRand *rand = g_rand_new_with_seed(SEED);

    for (int i = 0; i < CONNECTIONS; i++) {
        send_hello(c, rand);
    }
    cluster_run_for(c, 300);
    slots_cluster_free(c);
    g_rand_free(rand);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"times", test_times},
        {"frames about slots", test_slot_frames},
        {"hellos and heartbeats", test_link_frames},
        CU_TEST_INFO_NULL,
    };

    return suite_run("mutated frames of peers", tests);
}
